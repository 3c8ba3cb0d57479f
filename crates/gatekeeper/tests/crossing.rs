//! Traffic that crosses districts: whole gatekeepers against stand-in servers that are 12 to 24 ms away on a
//! crossing. Time is skipped in steps, so that a minute takes moments; what the gatekeepers' accounts say is
//! held against what the servers saw.

use std::collections::BTreeMap;
use std::path::PathBuf;

use hollypaddle::node::clock::Clock;
use hollypaddle::node::config::Config;
use hollypaddle::node::event_loop::Gatekeeper;
use hollypaddle_crossing::{Report, Span};
use hollypaddle_standin::callers::End;
use hollypaddle_standin::server::What;
use hollypaddle_standin::world::{classes, ClassPlan, Plan, World, DISTRICTS, WAYS};

/// A step of skipped time, and when tests begin, in Unix seconds.
const STEP: f64 = 0.005;
const BEGIN: f64 = 1_800_000_000.0;

struct Fleet {
    world: World,
    nodes: Vec<Gatekeeper>,
    now: f64,
    folder: tempfile::TempDir,
}

impl Fleet {
    fn new(plan: Plan, conf: &str) -> Fleet {
        let mut world = World::open(plan).unwrap();
        let folder = tempfile::tempdir().unwrap();
        let mut fleet_nodes = Vec::new();
        for front in 0..world.plan.fronts.len() {
            let config = read(&folder, &world, front, conf);
            fleet_nodes.push(Gatekeeper::with_clock(config, Clock::manual(BEGIN)).unwrap());
        }
        let addresses: Vec<_> = fleet_nodes.iter().map(Gatekeeper::address).collect();
        world.connect(&addresses);
        let mut fleet = Fleet { world, nodes: fleet_nodes, now: BEGIN, folder };
        fleet.pass(0.3);
        fleet
    }

    fn step(&mut self) {
        self.now += STEP;
        self.world.turn(self.now);
        for node in &mut self.nodes {
            node.advance_clock(STEP);
            node.run_once().unwrap();
        }
    }

    fn pass(&mut self, seconds: f64) {
        (0..(seconds / STEP) as usize).for_each(|_| self.step());
    }

    /// Traffic for a while: each front its rate, its first choice by two draws.
    fn run(&mut self, seconds: f64, rates: &[f64], choice: impl Fn(usize, f64, f64) -> u32) {
        for _ in 0..(seconds / STEP) as usize {
            for (front, rate) in rates.iter().enumerate() {
                self.world.traffic(self.now, front, *rate, |a, b| choice(front, a, b));
            }
            self.step();
        }
    }

    /// Lets all that is open come to its end.
    fn settle(&mut self) {
        for _ in 0..(90.0 / STEP) as usize {
            let open: usize = self.world.callers.iter().map(|c| c.unanswered() + c.standing()).sum();
            let held: usize = self.nodes.iter_mut().filter_map(|n| n.crossing().map(|c| c.open())).sum();
            if open + held == 0 {
                return;
            }
            self.step();
        }
        let callers: Vec<_> = self.world.callers.iter().map(|c| (c.unanswered(), c.standing())).collect();
        let held: Vec<_> = self.nodes.iter_mut().filter_map(|n| n.crossing().map(|c| c.open())).collect();
        let standing: Vec<_> = self.world.servers.iter().map(|s| s.standing()).collect();
        panic!(
            "calls are open that nobody ends: {callers:?} at callers, {held:?} held, {standing:?} at servers"
        );
    }

    fn report(&mut self, front: usize) -> Report {
        self.nodes[front].report(Span::Total).unwrap()
    }

    fn reload(&mut self, conf: &str) {
        for front in 0..self.nodes.len() {
            let config = read(&self.folder, &self.world, front, conf);
            self.nodes[front].reload(Ok(config));
        }
    }

    /// Each call had one final answer, no server held two of one call, and every account equals what the
    /// servers saw, by class and district.
    fn check(&mut self) {
        self.settle();
        for callers in &self.world.callers {
            assert!(callers.calls.values().all(|c| c.answers == 1), "one final answer each");
        }
        assert_eq!(self.world.servers.iter().map(|s| s.doubles()).sum::<usize>(), 0);
        for front in 0..self.nodes.len() {
            let mut seen: BTreeMap<(String, String), BTreeMap<&str, u64>> = BTreeMap::new();
            for (server, plan) in self.world.servers.iter().zip(&self.world.plan.servers) {
                for s in server.seen.iter().filter(|s| s.door == front) {
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
            let crossing = self.nodes[front].crossing().unwrap();
            assert!(crossing.account().balances());
            let report = self.report(front);
            let cells = report.rows.iter().filter(|r| r.class != "all" && r.to != "all" && r.to != "abroad");
            let mut told = 0;
            for row in cells.filter(|r| r.counts.sent > 0) {
                told += 1;
                let seen = &seen[&(row.class.clone(), row.to.clone())];
                let seen = |what: &str| seen.get(what).copied().unwrap_or(0);
                let c = &row.counts;
                // No server here answers in error: what failed found no connection, and never arrived.
                assert_eq!(c.sent - c.failed, seen("sent"), "{row:?}");
                assert_eq!(c.refused, seen("refused"), "{row:?}");
                // An answer that crosses its give-up, or is lost with its server, has stood there alone.
                let crossed = seen("stood") - c.stood;
                assert_eq!(c.given_up + c.reset, seen("given up") + seen("reset") + crossed, "{row:?}");
                assert!(crossed > 0 || c.reset == seen("reset"), "{row:?}");
                assert_eq!(c.ended + c.cut + crossed, seen("ended") + seen("cut"), "{row:?}");
                assert_eq!(c.sent, c.stood + c.refused + c.failed + c.reset + c.given_up, "{row:?}");
                assert_eq!((row.out, row.standing), (0, 0), "{row:?}");
            }
            assert_eq!(told, seen.len(), "a cell is missing");
            // The callers' own watches, to a step of time at either end of the wanted time.
            let goal = |class: &str| self.world.plan.classes.iter().find(|c| c.name == class).unwrap().goal;
            let late = |slack: f64| {
                let calls = self.world.callers[front].calls.values();
                let late =
                    calls.filter(|c| c.stood.is_some_and(|at| at - c.offered > goal(&c.class) + slack));
                late.count() as u64
            };
            let all = report.rows.iter().find(|r| r.class == "all" && r.to == "all");
            let told = all.map_or(0, |r| r.counts.late);
            assert!((late(3.0 * STEP)..=late(-3.0 * STEP)).contains(&told), "late: {told}, {}", late(0.0));
        }
    }

    fn sent_abroad(&mut self, front: usize, class: &str) -> u64 {
        let report = self.report(front);
        report.rows.iter().find(|r| r.class == class && r.to == "abroad").map_or(0, |r| r.counts.sent)
    }
}

fn read(folder: &tempfile::TempDir, world: &World, front: usize, conf: &str) -> Config {
    let path: PathBuf = folder.path().join("hollypaddle.conf");
    std::fs::write(&path, conf).unwrap();
    let text = world.config(front).unwrap();
    let config = Config::parse(format!("n{front}"), "127.0.0.1:0", &text).unwrap();
    config.with_own_file(&path).map_err(|e| e.to_string()).unwrap()
}

/// Half the calls are urgent, so that a short test sees enough of them.
fn mixed() -> Vec<ClassPlan> {
    let mut all = classes();
    (all[0].share, all[1].share) = (0.8, 0.2);
    (all[0].hold, all[1].hold) = (3.0, 2.0);
    all
}

const ACCOUNT: &str = "crossings {\n urgent valve-set\n}\n";

/// Hard case a. All servers at home slow down 2.8 times together: crossing is the only way to keep urgent
/// calls standing.
#[test]
fn urgent_calls_keep_standing_abroad_while_the_own_district_is_slow() {
    let bending = "crossings {\n urgent valve-set\n bend window 5s\n budget all {\n  rate 0.5/s burst 2\n  \
                   overdraft 40\n  floor 25%\n }\n}\n";
    let hard = "crossings {\n budget all {\n  rate 0.5/s burst 2\n }\n}\n";
    let run = |conf: &str| {
        let servers = vec![(0, 9.0), (0, 9.0), (1, 40.0), (2, 40.0)];
        let plan = Plan { fronts: vec![0, 0, 1, 2], servers, classes: mixed(), seed: 11 };
        let mut fleet = Fleet::new(plan, conf);
        let rates = [6.0, 6.0, 6.0, 6.0];
        // At home, as likely to either server there.
        let choice = |front: usize, a: f64, _: f64| match front {
            0 | 1 => u32::from(a < 0.5),
            n => n as u32,
        };
        fleet.run(20.0, &rates, choice);
        let (slow, before) =
            (fleet.now, [fleet.sent_abroad(0, "meter-read"), fleet.sent_abroad(1, "meter-read")]);
        (0..2).for_each(|n| fleet.world.servers[n].slow = 2.8);
        fleet.run(40.0, &rates, choice);
        let recovered = fleet.now;
        (0..2).for_each(|n| fleet.world.servers[n].slow = 1.0);
        let crossed: Vec<u64> = (0..2).map(|f| fleet.sent_abroad(f, "meter-read") - before[f]).collect();
        fleet.run(20.0, &rates, choice);
        let class = fleet.world.plan.classes[1].name;
        let stood = |fleet: &Fleet| {
            let calls = fleet.world.callers[..2].iter().flat_map(|c| c.calls.values());
            let struck = calls.filter(|c| c.class == class && c.offered >= slow && c.offered < recovered);
            let (mut all, mut stood) = (0, 0);
            for call in struck {
                all += 1;
                stood += u32::from(call.stood.is_some());
            }
            (stood, all)
        };
        let result = stood(&fleet);
        let bend: Vec<_> = (0..2).map(|f| fleet.report(f).bending).collect();
        fleet.check();
        (result, crossed, bend)
    };
    let (free, _, _) = run(ACCOUNT);
    let (bent, crossed, bend) = run(bending);
    let (stiff, _, _) = run(hard);
    println!("stood of offered: no budget {free:?}, bending {bent:?}, hard {stiff:?}; meter-read abroad {crossed:?}");
    assert_eq!(free.1, bent.1, "the same calls were offered");
    assert!(f64::from(bent.0) >= 0.98 * f64::from(free.0), "{bent:?} against {free:?} without a budget");
    assert!(stiff.0 < bent.0, "a budget that does not bend costs urgent calls: {stiff:?}");
    // 0.5 a second for 40 s and a burst of 2, within one set-up; ordinary calls never overdraw.
    assert!(crossed.iter().all(|n| *n <= 23), "{crossed:?}");
    for row in bend.iter().flatten() {
        assert!(row.times >= 1 && !row.bending, "{row:?}");
        assert!(row.since >= 20.0 - 2.0 * 5.0, "it went on for more than two windows: {row:?}");
        assert!(row.times <= 3, "it flaps: {row:?}");
    }
}

/// Whatever closes the own district, urgent calls go abroad on the overdraft, and ordinary ones do not.
#[test]
fn each_way_in_which_the_own_district_is_closed_lets_urgent_calls_bend() {
    type Fault = fn(&mut World, f64);
    let faults: [(&str, Fault); 5] = [
        ("draining", |w, _| w.drain(0, true)),
        ("gone", |w, now| w.remove(0, now)),
        ("silent", |w, _| w.servers[0].silent = true),
        ("cold", |w, now| w.replace(0, now)),
        ("pressed", |w, _| w.servers[0].slow = 8.0),
    ];
    let conf = "crossings {\n urgent valve-set\n budget all {\n  rate 6/min burst 1\n  overdraft 60\n }\n}\n";
    for (name, fault) in faults {
        let servers = vec![(0, 16.0), (1, 60.0), (2, 60.0)];
        let plan = Plan { fronts: vec![0], servers, classes: mixed(), seed: 6 };
        let mut fleet = Fleet::new(plan, conf);
        fleet.run(20.0, &[12.0], |_, _, _| 0);
        let before = fleet.sent_abroad(0, "meter-read");
        let now = fleet.now;
        fault(&mut fleet.world, now);
        // It takes a moment to see that a server says nothing any more.
        fleet.run(3.0, &[12.0], |_, _, _| 0);
        let seen = fleet.now;
        fleet.run(12.0, &[12.0], |_, _, _| 0);
        let ordinary = fleet.sent_abroad(0, "meter-read") - before;
        let report = fleet.report(0);
        let row = report.rows.iter().find(|r| r.class == "valve-set" && r.to == "abroad").unwrap();
        let (bent, bending) = (row.counts.bent, &report.bending[0]);
        fleet.pass(3.0);
        let calls = fleet.world.callers[0].calls.values();
        let urgent: Vec<_> = calls
            .filter(|c| c.class == "valve-set" && c.offered >= seen && c.offered < seen + 12.0)
            .collect();
        let stood = urgent.iter().filter(|c| c.stood.is_some()).count();
        println!(
            "{name}: {stood} of {} urgent calls stood, {bent} bent, {ordinary} ordinary ones abroad",
            urgent.len()
        );
        // Cold and pressed, it takes some of them itself.
        let least = if matches!(name, "cold" | "pressed") { 2 } else { 10 };
        assert!(bent >= least && bending.times >= 1, "{name}: {bent} bent, {bending:?}");
        assert!(stood * 10 >= urgent.len() * 9, "{name}: {stood} of {}", urgent.len());
        assert!(ordinary <= 3, "{name}: {ordinary} ordinary calls abroad at 6 a minute");
        if name == "silent" {
            fleet.world.servers[0].silent = false;
        }
        if name != "gone" {
            fleet.settle();
        }
        assert!(fleet.nodes[0].crossing().unwrap().account().balances());
    }
}

/// Hard case b. The budget is spent as a server abroad drains and the one at home comes back cold.
#[test]
fn a_drain_abroad_and_a_cold_server_at_home_keep_their_rules_with_the_budget_spent() {
    let conf = "crossings {\n urgent valve-set\n budget all {\n  rate 0.2/s burst 1\n  overdraft 3\n }\n}\n";
    let servers = vec![(0, 30.0), (1, 30.0), (2, 30.0)];
    let plan = Plan { fronts: vec![0, 0, 0, 1], servers, classes: mixed(), seed: 5 };
    let mut fleet = Fleet::new(plan, conf);
    let rates = [5.0, 5.0, 5.0, 5.0];
    let choice = |_: usize, a: f64, b: f64| if a < 0.7 { 0 } else { 1 + u32::from(b < 0.5) };
    fleet.run(30.0, &rates, choice);
    let drained = fleet.now;
    fleet.world.drain(1, true);
    fleet.world.replace(0, drained);
    fleet.run(14.0, &rates, choice);
    let late: Vec<f64> = (fleet.world.servers[1].seen.iter())
        .filter(|s| s.what == What::SetUp)
        .map(|s| s.at - WAYS[fleet.world.plan.fronts[s.door]][1])
        .filter(|sent| *sent > drained + 0.25)
        .collect();
    assert_eq!(late, [0.0; 0], "sent to a server that drains");
    let load = &fleet.world.servers[0].cold_load;
    assert!(load.values().map(|l| l.0).sum::<u32>() > 20, "it was left idle: {load:?}");
    for (second, (sent, can)) in load {
        assert!(f64::from(*sent) < 3.0 * can, "{sent} in second {second}, it can do {can:.1}");
    }
    let spent: u64 = (0..3).flat_map(|f| fleet.report(f).budgets).map(|b| b.used.denied).sum();
    assert!(spent > 20, "the budget was not spent: {spent}");
    for callers in &fleet.world.callers {
        assert!(callers.calls.values().all(|c| c.answers <= 1));
    }
    fleet.check();
}

/// Hard case c. An attempt abroad is reset; when its release time is over, the budget is spent.
#[test]
fn a_reset_abroad_is_one_debit_and_one_answer_though_the_budget_is_spent_meanwhile() {
    let conf = "crossings {\n budget all {\n  rate 60/min burst 1\n }\n}\n";
    let plan = Plan { fronts: vec![0], servers: vec![(0, 20.0), (1, 20.0)], classes: mixed(), seed: 3 };
    let mut fleet = Fleet::new(plan, conf);
    fleet.world.drain(0, true);
    fleet.pass(2.0);
    fleet.world.servers[1].resets = 1;
    let offered = fleet.now;
    let id = fleet.world.callers[0].offer(fleet.now, "meter-read", 1, 3.0).unwrap();
    fleet.pass(0.25);
    assert_eq!(fleet.world.callers[0].calls[&id].answers, 0, "it waits for its release");
    fleet.pass(0.35);
    let call = fleet.world.callers[0].calls[&id].clone();
    let Some((at, End::Refused(after))) = call.end else { panic!("{call:?}") };
    assert!((0.3..0.5).contains(&(at - offered)), "refused at once when it may go again: {}", at - offered);
    assert!(after > 0.5, "told to come back when there is budget again: {after}");
    let report = fleet.report(0);
    let (row, used) = (&report.rows[0], report.budgets[0].used);
    assert_eq!((row.counts.sent, row.counts.reset, row.counts.denied), (1, 1, 1));
    assert_eq!((used.debits, used.handed_back, used.denied), (1, 0, 1));
    fleet.check();
}

/// Hard case d. Eight gatekeepers with uneven traffic hold a budget of the fleet.
#[test]
fn an_uneven_fleet_holds_its_budget_and_wastes_less_of_it_divided_by_hand() {
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
        fleet.run(60.0, &rates, |_, a, _| 1 + u32::from(a < 0.5));
        let took = fleet.now - before;
        let sent: u64 = (0..8).map(|f| fleet.sent_abroad(f, "meter-read")).sum();
        fleet.check();
        (sent as f64, took)
    };
    let (even, took) = run("");
    let (uneven, _) = run(" share-of n0 45%\n share-of n1 25%\n share-of n2 13%\n share-of n3 7%\n");
    println!("meter-read abroad in {took:.0} s at 8/s: divided evenly {even}, by hand {uneven}");
    // A front's burst is never under one, so a fleet of eight holds eight at the most; 0.3 s ran before.
    let most = 8.0 * (took + 0.5) + 8.0;
    assert!(even <= most && uneven <= most, "{even}, {uneven}, {most}");
    assert!(uneven > 0.9 * 8.0 * took, "divided as the traffic is, little of it is lost: {uneven}");
    assert!(even < 0.85 * uneven, "divided evenly, small fronts leave theirs unused: {even}");
}

/// Hard case e. A flood at 120% with every first choice abroad: what is remembered is bounded by the calls
/// that are open.
#[test]
fn a_flood_across_districts_leaves_nothing_behind() {
    let conf = "crossings {\n urgent valve-set\n budget all {\n  rate 4/s\n  share 30% over 10s\n  standing 10\n }\n \
                budget from downtown to riverside class meter-read {\n  rate 2/s\n }\n}\n";
    let plan =
        Plan { fronts: vec![0], servers: vec![(0, 20.0), (1, 10.0), (2, 10.0)], classes: mixed(), seed: 2 };
    let mut fleet = Fleet::new(plan, conf);
    let mut most = Vec::new();
    for _ in 0..6 {
        fleet.run(10.0, &[48.0], |_, a, _| 1 + u32::from(a < 0.5));
        let crossing = fleet.nodes[0].crossing().unwrap();
        most.push(crossing.open());
        assert!(crossing.account().cells().count() <= 2 * 4);
    }
    assert!(most.iter().all(|n| *n <= 48 * 6), "{most:?}");
    let report = fleet.report(0);
    assert!(report.budgets.iter().all(|b| b.left.overdrawn <= b.left.overdraft));
    assert!(report.budgets.iter().map(|b| b.used.denied).sum::<u64>() > 100);
    fleet.check();
    assert_eq!(fleet.nodes[0].crossing().unwrap().open(), 0);
}

/// Budgets that become smaller, larger, new and none under load, and a server that changes district.
#[test]
fn a_reload_under_load_keeps_account_and_debts() {
    let all = |inner: &str| format!("crossings {{\n urgent valve-set\n{inner}}}\n");
    let rate = |rate: f64| all(&format!(" budget all {{\n  rate {rate}/s burst 4\n  overdraft 4\n }}\n"));
    let class = all(" budget class meter-read {\n  standing 3\n }\n budget all {\n  rate 2/s\n }\n");
    let plan = Plan {
        fronts: vec![0, 1],
        servers: vec![(0, 30.0), (1, 30.0), (2, 30.0)],
        classes: mixed(),
        seed: 4,
    };
    let mut fleet = Fleet::new(plan, &rate(2.0));
    let choice = |_: usize, a: f64, _: f64| (a * 3.0) as u32;
    for conf in [rate(0.2), rate(20.0), class.clone(), all(""), class, rate(1.0)] {
        fleet.run(6.0, &[10.0, 10.0], choice);
        fleet.reload(&conf);
        for front in 0..2 {
            let report = fleet.report(front);
            assert!(report.budgets.iter().all(|b| b.left.overdrawn <= b.left.overdraft.max(4.0)));
            assert!(report.age > 5.0, "the account began anew");
        }
    }
    // A bad file changes nothing.
    let before = fleet.report(0).budgets.len();
    let path = fleet.folder.path().join("bad.conf");
    std::fs::write(&path, "crossings {\n budgett all {\n }\n").unwrap();
    let text = fleet.world.config(0).unwrap();
    let bad = Config::parse("n0".into(), "127.0.0.1:0", &text).unwrap().with_own_file(&path);
    assert!(bad.is_err());
    fleet.nodes[0].reload(bad);
    assert_eq!(fleet.report(0).budgets.len(), before);
    // Nor does one that is sound by a platform's file read since, whose names are those of the next start.
    std::fs::write(&path, "crossings {\n budget class gauge-read {\n  rate 1/s\n }\n}\n").unwrap();
    let renamed = text.replace("meter-read", "gauge-read");
    let other = Config::parse("n0".into(), "127.0.0.1:0", &renamed).unwrap().with_own_file(&path);
    assert!(other.is_ok());
    fleet.nodes[0].reload(other);
    assert_eq!(fleet.report(0).budgets.len(), before);
    assert_eq!(fleet.report(0).budgets[0].scope, "all");
    fleet.run(3.0, &[10.0, 10.0], choice);
    fleet.check();
    // Under its new label the server is at home, and free of budgets.
    let sent = |fleet: &mut Fleet| {
        let report = fleet.report(0);
        let rows = report.rows.iter().filter(|r| r.class == "meter-read");
        rows.map(|r| (r.to.clone(), r.counts.sent)).collect::<BTreeMap<String, u64>>()
    };
    fleet.reload(&rate(0.1));
    fleet.world.relabel(1, 0);
    fleet.pass(0.5);
    let before = sent(&mut fleet);
    fleet.run(5.0, &[10.0, 10.0], |_, _, _| 1);
    let after = sent(&mut fleet);
    assert!(after["downtown"] > before["downtown"] + 25, "{before:?} {after:?}");
    assert_eq!(after["medical-center"], before["medical-center"]);
    fleet.settle();
    assert!((0..2).all(|f| fleet.nodes[f].crossing().unwrap().account().balances()));
}
