//! Traffic between districts: complete gatekeepers against stand-in servers, with a delay of 12 to 24 ms between
//! districts. The tests advance a simulated clock in fixed steps, so a minute takes a fraction of a second, and
//! compare the accounts of the gatekeepers with what the servers recorded.

use std::collections::BTreeMap;
use std::path::PathBuf;

use hollypaddle::node::clock::Clock;
use hollypaddle::node::config::Config;
use hollypaddle::node::event_loop::Gatekeeper;
use hollypaddle_crossing::{Report, Span};
use hollypaddle_standin::callers::End;
use hollypaddle_standin::server::What;
use hollypaddle_standin::world::{classes, ClassPlan, Plan, World, DISTRICTS, WAYS};

/// Step of the simulated clock in seconds, and the Unix time at which each test starts.
const STEP_S: f64 = 0.005;
const START_UNIX_S: f64 = 1_800_000_000.0;

struct Fleet {
    world: World,
    gatekeepers: Vec<Gatekeeper>,
    now: f64,
    dir: tempfile::TempDir,
}

impl Fleet {
    fn new(plan: Plan, conf: &str) -> Fleet {
        let mut world = World::open(plan).unwrap();
        let dir = tempfile::tempdir().unwrap();
        let mut instances = Vec::new();
        for gatekeeper in 0..world.plan.fronts.len() {
            let config = load_config(&dir, &world, gatekeeper, conf);
            instances.push(Gatekeeper::with_clock(config, Clock::manual(START_UNIX_S)).unwrap());
        }
        let addresses: Vec<_> = instances.iter().map(Gatekeeper::address).collect();
        world.connect(&addresses);
        let mut fleet = Fleet { world, gatekeepers: instances, now: START_UNIX_S, dir };
        fleet.advance(0.3);
        fleet
    }

    fn step(&mut self) {
        self.now += STEP_S;
        self.world.turn(self.now);
        for instance in &mut self.gatekeepers {
            instance.advance_clock(STEP_S);
            instance.run_once().unwrap();
        }
    }

    fn advance(&mut self, seconds: f64) {
        (0..(seconds / STEP_S) as usize).for_each(|_| self.step());
    }

    /// Generates traffic for some seconds: set-ups per second by gatekeeper, and the first choice as a function of the
    /// gatekeeper and two random draws.
    fn generate_traffic(&mut self, seconds: f64, rates: &[f64], choice: impl Fn(usize, f64, f64) -> u32) {
        for _ in 0..(seconds / STEP_S) as usize {
            for (gatekeeper, rate) in rates.iter().enumerate() {
                self.world.traffic(self.now, gatekeeper, *rate, |a, b| choice(gatekeeper, a, b));
            }
            self.step();
        }
    }

    /// Advances until no set-up and no call is open any more; fails after 90 s.
    fn finish_calls(&mut self) {
        for _ in 0..(90.0 / STEP_S) as usize {
            let open: usize = self.world.callers.iter().map(|c| c.unanswered() + c.standing()).sum();
            let held: usize =
                self.gatekeepers.iter_mut().filter_map(|n| n.crossing().map(|c| c.open_calls())).sum();
            if open + held == 0 {
                return;
            }
            self.step();
        }
        let callers: Vec<_> = self.world.callers.iter().map(|c| (c.unanswered(), c.standing())).collect();
        let held: Vec<_> =
            self.gatekeepers.iter_mut().filter_map(|n| n.crossing().map(|c| c.open_calls())).collect();
        let standing: Vec<_> = self.world.servers.iter().map(|s| s.standing()).collect();
        panic!(
            "calls still open after 90 s: (unanswered, standing) by callers {callers:?}, held by gatekeepers {held:?}, \
             standing by server {standing:?}"
        );
    }

    fn report(&mut self, gatekeeper: usize) -> Report {
        self.gatekeepers[gatekeeper].report(Span::Total).unwrap()
    }

    fn reload(&mut self, conf: &str) {
        for gatekeeper in 0..self.gatekeepers.len() {
            let config = load_config(&self.dir, &self.world, gatekeeper, conf);
            self.gatekeepers[gatekeeper].reload(Ok(config));
        }
    }

    /// Checks that each call had exactly one final answer, that no server held two attempts of one call, and that every
    /// account equals what the servers recorded, by class and district.
    fn check_accounts(&mut self) {
        self.finish_calls();
        for callers in &self.world.callers {
            assert!(
                callers.calls.values().all(|c| c.answers == 1),
                "a call had none or several final answers"
            );
        }
        assert_eq!(self.world.servers.iter().map(|s| s.doubles()).sum::<usize>(), 0);
        for gatekeeper in 0..self.gatekeepers.len() {
            let mut seen: BTreeMap<(String, String), BTreeMap<&str, u64>> = BTreeMap::new();
            for (server, plan) in self.world.servers.iter().zip(&self.world.plan.servers) {
                for s in server.seen.iter().filter(|s| s.door == gatekeeper) {
                    let cell = seen.entry((s.class.clone(), DISTRICTS[plan.0].into())).or_default();
                    let what = match s.what {
                        What::SetUp => "sent",
                        What::Stood => "stood",
                        What::Refused => "refused",
                        What::Reset => "reset",
                        What::GivenUp => "given up",
                        What::Ended | What::Released => "ended",
                        What::Cut => "cut",
                    };
                    *cell.entry(what).or_default() += 1;
                }
            }
            let crossing = self.gatekeepers[gatekeeper].crossing().unwrap();
            assert!(crossing.account().balances());
            let report = self.report(gatekeeper);
            let cells = report.rows.iter().filter(|r| r.class != "all" && r.to != "all" && r.to != "abroad");
            let mut compared_rows = 0;
            for row in cells.filter(|r| r.counts.sent > 0) {
                compared_rows += 1;
                let seen = &seen[&(row.class.clone(), row.to.clone())];
                let seen = |what: &str| seen.get(what).copied().unwrap_or(0);
                let c = &row.counts;
                // No server here answers with an error: a failed set-up found no connection and never arrived.
                assert_eq!(c.sent - c.failed, seen("sent"), "{row:?}");
                assert_eq!(c.refused, seen("refused"), "{row:?}");
                // A call whose answer crosses the give-up, or is lost with its server, was established at the server
                // only.
                let crossed = seen("stood") - c.established;
                assert_eq!(c.given_up + c.reset, seen("given up") + seen("reset") + crossed, "{row:?}");
                assert!(crossed > 0 || c.reset == seen("reset"), "{row:?}");
                assert_eq!(c.ended + c.cut + crossed, seen("ended") + seen("cut"), "{row:?}");
                assert_eq!(c.sent, c.established + c.refused + c.failed + c.reset + c.given_up, "{row:?}");
                assert_eq!((row.in_flight, row.standing), (0, 0), "{row:?}");
            }
            assert_eq!(compared_rows, seen.len(), "the report lacks a row for a class and district");
            // The callers' own measurement of late answers, with a tolerance of three steps around the goal time.
            let goal = |class: &str| self.world.plan.classes.iter().find(|c| c.name == class).unwrap().goal;
            let measured_late = |slack: f64| {
                let calls = self.world.callers[gatekeeper].calls.values();
                let late =
                    calls.filter(|c| c.stood.is_some_and(|at| at - c.offered > goal(&c.class) + slack));
                late.count() as u64
            };
            let all = report.rows.iter().find(|r| r.class == "all" && r.to == "all");
            let reported = all.map_or(0, |r| r.counts.late);
            assert!(
                (measured_late(3.0 * STEP_S)..=measured_late(-3.0 * STEP_S)).contains(&reported),
                "late: reported {reported}, measured {}",
                measured_late(0.0)
            );
        }
    }

    fn sent_abroad(&mut self, gatekeeper: usize, class: &str) -> u64 {
        let report = self.report(gatekeeper);
        report.rows.iter().find(|r| r.class == class && r.to == "abroad").map_or(0, |r| r.counts.sent)
    }
}

fn load_config(dir: &tempfile::TempDir, world: &World, gatekeeper: usize, conf: &str) -> Config {
    let path: PathBuf = dir.path().join("hollypaddle.conf");
    std::fs::write(&path, conf).unwrap();
    let text = world.config(gatekeeper).unwrap();
    let config = Config::parse(format!("n{gatekeeper}"), "127.0.0.1:0", &text).unwrap();
    config.with_own_file(&path).map_err(|e| e.to_string()).unwrap()
}

/// The classes with a fifth of the calls urgent, so that a short test sees enough of them, and with short calls.
fn mixed_classes() -> Vec<ClassPlan> {
    let mut all = classes();
    (all[0].share, all[1].share) = (0.8, 0.2);
    (all[0].hold, all[1].hold) = (3.0, 2.0);
    all
}

const NO_BUDGET_CONF: &str = "crossings {\n urgent valve-set\n}\n";

/// Hard case a. All servers of the home district become 2.8 times slower at once, so that only crossings keep urgent
/// calls established.
#[test]
fn urgent_calls_overdraw_the_budget_and_are_established_abroad_while_the_home_district_is_slow() {
    let overdraft_conf =
        "crossings {\n urgent valve-set\n bend window 5s\n budget all {\n  rate 0.5/s burst 2\n  \
                   overdraft 40\n  floor 25%\n }\n}\n";
    let no_overdraft_conf = "crossings {\n budget all {\n  rate 0.5/s burst 2\n }\n}\n";
    let run = |conf: &str| {
        let servers = vec![(0, 9.0), (0, 9.0), (1, 40.0), (2, 40.0)];
        let plan = Plan { fronts: vec![0, 0, 1, 2], servers, classes: mixed_classes(), seed: 11 };
        let mut fleet = Fleet::new(plan, conf);
        let rates = [6.0, 6.0, 6.0, 6.0];
        // Gatekeepers of the slow district choose either of its servers with equal probability.
        let choice = |gatekeeper: usize, a: f64, _: f64| match gatekeeper {
            0 | 1 => u32::from(a < 0.5),
            n => n as u32,
        };
        fleet.generate_traffic(20.0, &rates, choice);
        let (slowed_at, before) =
            (fleet.now, [fleet.sent_abroad(0, "meter-read"), fleet.sent_abroad(1, "meter-read")]);
        (0..2).for_each(|n| fleet.world.servers[n].slow = 2.8);
        fleet.generate_traffic(40.0, &rates, choice);
        let recovered_at = fleet.now;
        (0..2).for_each(|n| fleet.world.servers[n].slow = 1.0);
        let crossed: Vec<u64> = (0..2).map(|f| fleet.sent_abroad(f, "meter-read") - before[f]).collect();
        fleet.generate_traffic(20.0, &rates, choice);
        let class = fleet.world.plan.classes[1].name;
        let established = |fleet: &Fleet| {
            let calls = fleet.world.callers[..2].iter().flat_map(|c| c.calls.values());
            let affected =
                calls.filter(|c| c.class == class && c.offered >= slowed_at && c.offered < recovered_at);
            let (mut all, mut established) = (0, 0);
            for call in affected {
                all += 1;
                established += u32::from(call.stood.is_some());
            }
            (established, all)
        };
        let result = established(&fleet);
        let overdrafts: Vec<_> = (0..2).map(|f| fleet.report(f).overdrafts).collect();
        fleet.check_accounts();
        (result, crossed, overdrafts)
    };
    let (unlimited, _, _) = run(NO_BUDGET_CONF);
    let (with_overdraft, crossed, overdrafts) = run(overdraft_conf);
    let (without_overdraft, _, _) = run(no_overdraft_conf);
    println!("established of offered: no budget {unlimited:?}, with overdraft {with_overdraft:?}, without {without_overdraft:?}; meter-read abroad {crossed:?}");
    assert_eq!(unlimited.1, with_overdraft.1, "the runs offered different numbers of calls");
    assert!(
        f64::from(with_overdraft.0) >= 0.98 * f64::from(unlimited.0),
        "with overdraft {with_overdraft:?}, without a budget {unlimited:?}"
    );
    assert!(
        without_overdraft.0 < with_overdraft.0,
        "a budget without overdraft costs no urgent calls: {without_overdraft:?} against {with_overdraft:?}"
    );
    // 0.5 per second for 40 s and a burst of 2, plus one set-up; ordinary calls never overdraw.
    assert!(crossed.iter().all(|n| *n <= 23), "{crossed:?}");
    for row in overdrafts.iter().flatten() {
        assert!(row.starts >= 1 && !row.active, "{row:?}");
        assert!(row.state_age_s >= 20.0 - 2.0 * 5.0, "the overdraft lasted more than two windows: {row:?}");
        assert!(row.starts <= 3, "the overdraft flaps: {row:?}");
    }
}

/// Whatever makes the home district unavailable, urgent calls go abroad on the overdraft, and ordinary calls do not.
#[test]
fn only_urgent_calls_overdraw_the_budget_for_each_fault_of_the_home_district() {
    type Fault = fn(&mut World, f64);
    let faults: [(&str, Fault); 5] = [
        ("draining", |w, _| w.drain(0, true)),
        ("gone", |w, now| w.remove(0, now)),
        ("silent", |w, _| w.servers[0].silent = true),
        ("cold", |w, now| w.replace(0, now)),
        ("overloaded", |w, _| w.servers[0].slow = 8.0),
    ];
    let conf = "crossings {\n urgent valve-set\n budget all {\n  rate 6/min burst 1\n  overdraft 60\n }\n}\n";
    for (name, fault) in faults {
        let servers = vec![(0, 16.0), (1, 60.0), (2, 60.0)];
        let plan = Plan { fronts: vec![0], servers, classes: mixed_classes(), seed: 6 };
        let mut fleet = Fleet::new(plan, conf);
        fleet.generate_traffic(20.0, &[12.0], |_, _, _| 0);
        let before = fleet.sent_abroad(0, "meter-read");
        let now = fleet.now;
        fault(&mut fleet.world, now);
        // It takes a moment to detect that a server is silent.
        fleet.generate_traffic(3.0, &[12.0], |_, _, _| 0);
        let detected_at = fleet.now;
        fleet.generate_traffic(12.0, &[12.0], |_, _, _| 0);
        let ordinary = fleet.sent_abroad(0, "meter-read") - before;
        let report = fleet.report(0);
        let row = report.rows.iter().find(|r| r.class == "valve-set" && r.to == "abroad").unwrap();
        let (by_overdraft, overdraft_report) = (row.counts.overdrew, &report.overdrafts[0]);
        fleet.advance(3.0);
        let calls = fleet.world.callers[0].calls.values();
        let urgent: Vec<_> = calls
            .filter(|c| c.class == "valve-set" && c.offered >= detected_at && c.offered < detected_at + 12.0)
            .collect();
        let established = urgent.iter().filter(|c| c.stood.is_some()).count();
        println!(
            "{name}: {established} of {} urgent calls established, {by_overdraft} by overdraft, {ordinary} ordinary calls abroad",
            urgent.len()
        );
        // A cold or overloaded server still accepts some of the urgent calls.
        let min_by_overdraft = if matches!(name, "cold" | "overloaded") { 2 } else { 10 };
        assert!(
            by_overdraft >= min_by_overdraft && overdraft_report.starts >= 1,
            "{name}: {by_overdraft} by overdraft, {overdraft_report:?}"
        );
        assert!(
            established * 10 >= urgent.len() * 9,
            "{name}: {established} of {} urgent calls established",
            urgent.len()
        );
        assert!(ordinary <= 3, "{name}: {ordinary} ordinary calls abroad with a budget of 6/min");
        if name == "silent" {
            fleet.world.servers[0].silent = false;
        }
        if name != "gone" {
            fleet.finish_calls();
        }
        assert!(fleet.gatekeepers[0].crossing().unwrap().account().balances());
    }
}

/// Hard case b. The budget is spent while a server abroad drains and the one of the home district comes back cold.
#[test]
fn a_draining_server_gets_no_set_up_and_a_cold_one_no_overload_while_the_budget_is_spent() {
    let conf = "crossings {\n urgent valve-set\n budget all {\n  rate 0.2/s burst 1\n  overdraft 3\n }\n}\n";
    let servers = vec![(0, 30.0), (1, 30.0), (2, 30.0)];
    let plan = Plan { fronts: vec![0, 0, 0, 1], servers, classes: mixed_classes(), seed: 5 };
    let mut fleet = Fleet::new(plan, conf);
    let rates = [5.0, 5.0, 5.0, 5.0];
    let choice = |_: usize, a: f64, b: f64| if a < 0.7 { 0 } else { 1 + u32::from(b < 0.5) };
    fleet.generate_traffic(30.0, &rates, choice);
    let drained_at = fleet.now;
    fleet.world.drain(1, true);
    fleet.world.replace(0, drained_at);
    fleet.generate_traffic(14.0, &rates, choice);
    let sent_after_drain: Vec<f64> = (fleet.world.servers[1].seen.iter())
        .filter(|s| s.what == What::SetUp)
        .map(|s| s.at - WAYS[fleet.world.plan.fronts[s.door]][1])
        .filter(|sent| *sent > drained_at + 0.25)
        .collect();
    assert_eq!(sent_after_drain, [0.0; 0], "set-ups were sent to a draining server");
    let load = &fleet.world.servers[0].cold_load;
    assert!(load.values().map(|l| l.0).sum::<u32>() > 20, "the cold server was left idle: {load:?}");
    for (second, (sent, can)) in load {
        assert!(f64::from(*sent) < 3.0 * can, "{sent} set-ups in second {second}, capacity {can:.1}");
    }
    let denied_set_ups: u64 = (0..3).flat_map(|f| fleet.report(f).budgets).map(|b| b.used.denied).sum();
    assert!(denied_set_ups > 20, "the budget was not spent: {denied_set_ups} set-ups denied");
    for callers in &fleet.world.callers {
        assert!(callers.calls.values().all(|c| c.answers <= 1));
    }
    fleet.check_accounts();
}

/// Hard case c. An attempt abroad is reset, and the budget is spent by the time the release time has passed.
#[test]
fn a_set_up_reset_abroad_is_debited_once_and_answered_once_when_the_budget_is_spent_before_its_retry() {
    let conf = "crossings {\n budget all {\n  rate 60/min burst 1\n }\n}\n";
    let plan =
        Plan { fronts: vec![0], servers: vec![(0, 20.0), (1, 20.0)], classes: mixed_classes(), seed: 3 };
    let mut fleet = Fleet::new(plan, conf);
    fleet.world.drain(0, true);
    fleet.advance(2.0);
    fleet.world.servers[1].resets = 1;
    let offered = fleet.now;
    let id = fleet.world.callers[0].offer(fleet.now, "meter-read", 1, 3.0).unwrap();
    fleet.advance(0.25);
    assert_eq!(fleet.world.callers[0].calls[&id].answers, 0, "answered before the release time has passed");
    fleet.advance(0.35);
    let call = fleet.world.callers[0].calls[&id].clone();
    let Some((at, End::Refused(after))) = call.end else { panic!("{call:?}") };
    assert!(
        (0.3..0.5).contains(&(at - offered)),
        "not refused as soon as it may be retried: {} s after the offer",
        at - offered
    );
    assert!(after > 0.5, "the retry-after is too short for the budget to recover: {after} s");
    let report = fleet.report(0);
    let (row, used) = (&report.rows[0], report.budgets[0].used);
    assert_eq!((row.counts.sent, row.counts.reset, row.counts.denied), (1, 1, 1));
    assert_eq!((used.debits, used.refunded, used.denied), (1, 0, 1));
    fleet.check_accounts();
}

/// Hard case d. Eight gatekeepers with uneven traffic share a budget of the fleet.
#[test]
fn a_fleet_with_uneven_traffic_keeps_its_budget_and_uses_more_of_it_with_configured_shares() {
    let run = |shares: &str| {
        let conf =
            format!("crossings {{\n{shares} budget class meter-read {{\n  rate 8/s burst 8 fleet\n }}\n}}\n");
        let servers = vec![(0, 60.0), (1, 60.0), (2, 60.0)];
        let mut short = classes();
        short.iter_mut().for_each(|c| c.hold = 2.0);
        let plan = Plan { fronts: vec![0; 8], servers, classes: short, seed: 9 };
        let mut fleet = Fleet::new(plan, &conf);
        let rates = [24.0, 12.0, 6.0, 3.0, 2.0, 1.0, 0.5, 0.5];
        let before = fleet.now;
        fleet.generate_traffic(60.0, &rates, |_, a, _| 1 + u32::from(a < 0.5));
        let took = fleet.now - before;
        let sent: u64 = (0..8).map(|f| fleet.sent_abroad(f, "meter-read")).sum();
        fleet.check_accounts();
        (sent as f64, took)
    };
    let (equal_shares, took) = run("");
    let (configured_shares, _) =
        run(" share-of n0 45%\n share-of n1 25%\n share-of n2 13%\n share-of n3 7%\n");
    println!("meter-read abroad in {took:.0} s at 8/s: equal shares {equal_shares}, configured shares {configured_shares}");
    // The burst of a gatekeeper is at least one, so eight gatekeepers hold at most eight; the clock had advanced 0.3 s
    // before.
    let limit = 8.0 * (took + 0.5) + 8.0;
    assert!(
        equal_shares <= limit && configured_shares <= limit,
        "equal shares {equal_shares}, configured shares {configured_shares}, limit {limit}"
    );
    assert!(
        configured_shares > 0.9 * 8.0 * took,
        "configured shares leave too much of the budget unused: {configured_shares}"
    );
    assert!(
        equal_shares < 0.85 * configured_shares,
        "equal shares should leave the part of gatekeepers with little traffic unused: {equal_shares}"
    );
}

/// Hard case e. A load of 120% with every first choice abroad: the state that is kept is bounded by the number of open
/// calls.
#[test]
fn an_overload_across_districts_keeps_bounded_state_and_none_once_calls_end() {
    let conf = "crossings {\n urgent valve-set\n budget all {\n  rate 4/s\n  share 30% over 10s\n  standing 10\n }\n \
                budget from downtown to riverside class meter-read {\n  rate 2/s\n }\n}\n";
    let plan = Plan {
        fronts: vec![0],
        servers: vec![(0, 20.0), (1, 10.0), (2, 10.0)],
        classes: mixed_classes(),
        seed: 2,
    };
    let mut fleet = Fleet::new(plan, conf);
    let mut open_calls = Vec::new();
    for _ in 0..6 {
        fleet.generate_traffic(10.0, &[48.0], |_, a, _| 1 + u32::from(a < 0.5));
        let crossing = fleet.gatekeepers[0].crossing().unwrap();
        open_calls.push(crossing.open_calls());
        assert!(crossing.account().cells().count() <= 2 * 4);
    }
    assert!(open_calls.iter().all(|n| *n <= 48 * 6), "{open_calls:?}");
    let report = fleet.report(0);
    assert!(report.budgets.iter().all(|b| b.remaining.overdrawn <= b.remaining.overdraft));
    assert!(report.budgets.iter().map(|b| b.used.denied).sum::<u64>() > 100);
    fleet.check_accounts();
    assert_eq!(fleet.gatekeepers[0].crossing().unwrap().open_calls(), 0);
}

/// Under load, budgets shrink, grow, are added and removed, and a server changes its district.
#[test]
fn a_reload_under_load_keeps_the_account_and_overdrafts() {
    let all = |inner: &str| format!("crossings {{\n urgent valve-set\n{inner}}}\n");
    let rate = |rate: f64| all(&format!(" budget all {{\n  rate {rate}/s burst 4\n  overdraft 4\n }}\n"));
    let class = all(" budget class meter-read {\n  standing 3\n }\n budget all {\n  rate 2/s\n }\n");
    let plan = Plan {
        fronts: vec![0, 1],
        servers: vec![(0, 30.0), (1, 30.0), (2, 30.0)],
        classes: mixed_classes(),
        seed: 4,
    };
    let mut fleet = Fleet::new(plan, &rate(2.0));
    let choice = |_: usize, a: f64, _: f64| (a * 3.0) as u32;
    for conf in [rate(0.2), rate(20.0), class.clone(), all(""), class, rate(1.0)] {
        fleet.generate_traffic(6.0, &[10.0, 10.0], choice);
        fleet.reload(&conf);
        for gatekeeper in 0..2 {
            let report = fleet.report(gatekeeper);
            assert!(report.budgets.iter().all(|b| b.remaining.overdrawn <= b.remaining.overdraft.max(4.0)));
            assert!(report.age_s > 5.0, "the account was reset");
        }
    }
    // A file with errors changes nothing.
    let before = fleet.report(0).budgets.len();
    let path = fleet.dir.path().join("bad.conf");
    std::fs::write(&path, "crossings {\n budgett all {\n }\n").unwrap();
    let text = fleet.world.config(0).unwrap();
    let bad = Config::parse("n0".into(), "127.0.0.1:0", &text).unwrap().with_own_file(&path);
    assert!(bad.is_err());
    fleet.gatekeepers[0].reload(bad);
    assert_eq!(fleet.report(0).budgets.len(), before);
    // Nor does a file that is valid only with the class names of a newer platform file: those apply at the next start.
    std::fs::write(&path, "crossings {\n budget class gauge-read {\n  rate 1/s\n }\n}\n").unwrap();
    let renamed = text.replace("meter-read", "gauge-read");
    let other = Config::parse("n0".into(), "127.0.0.1:0", &renamed).unwrap().with_own_file(&path);
    assert!(other.is_ok());
    fleet.gatekeepers[0].reload(other);
    assert_eq!(fleet.report(0).budgets.len(), before);
    assert_eq!(fleet.report(0).budgets[0].scope, "all");
    fleet.generate_traffic(3.0, &[10.0, 10.0], choice);
    fleet.check_accounts();
    // With its new label the server belongs to the home district, where no budget applies.
    let sent = |fleet: &mut Fleet| {
        let report = fleet.report(0);
        let rows = report.rows.iter().filter(|r| r.class == "meter-read");
        rows.map(|r| (r.to.clone(), r.counts.sent)).collect::<BTreeMap<String, u64>>()
    };
    fleet.reload(&rate(0.1));
    fleet.world.relabel(1, 0);
    fleet.advance(0.5);
    let before = sent(&mut fleet);
    fleet.generate_traffic(5.0, &[10.0, 10.0], |_, _, _| 1);
    let after = sent(&mut fleet);
    assert!(after["downtown"] > before["downtown"] + 25, "{before:?} {after:?}");
    assert_eq!(after["medical-center"], before["medical-center"]);
    fleet.finish_calls();
    assert!((0..2).all(|f| fleet.gatekeepers[f].crossing().unwrap().account().balances()));
}
