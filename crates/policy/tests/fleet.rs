//! Many gatekeepers that do not know of each other, each with few calls, share a few pools. The tests check the
//! sum of what they send.

mod harness;

use harness::{entry, settings, SettingsShape, TestGatekeeper};
use hollypaddle_policy::{Cause, Event, ListKind, Outcome, PoolId, Readiness, Report};

const GATEKEEPERS: u64 = 200;
const POOLS: u64 = 5;
/// Time step of the simulation.
const STEP_S: f64 = 0.05;
/// Calls per second of one gatekeeper with one pool as first choice.
const RATE_PER_S: f64 = 0.3;
/// The pool whose set-ups are counted.
const TARGET: PoolId = PoolId(1);

struct Fleet {
    gatekeepers: Vec<TestGatekeeper>,
    /// State of a linear congruential generator.
    rng_state: u64,
}

impl Fleet {
    fn new() -> Self {
        let shape = SettingsShape { gatekeepers: GATEKEEPERS as u32, ..SettingsShape::default() };
        let gatekeepers = (0..GATEKEEPERS).map(|seed| {
            let mut gatekeeper = TestGatekeeper::new(settings(&shape), seed);
            let pools = (1..=POOLS).map(|n| entry(n as u32, Readiness::Ready, 0.0)).collect();
            gatekeeper.list(ListKind::Cached, pools);
            gatekeeper.answers.extend((1..=POOLS).map(|n| (PoolId(n), 0.03)));
            gatekeeper
        });
        Fleet { gatekeepers: gatekeepers.collect(), rng_state: 1 }
    }

    /// Returns true with probability `p`.
    fn chance(&mut self, p: f64) -> bool {
        self.rng_state = self.rng_state.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
        ((self.rng_state >> 33) as f64) < p * (1u64 << 31) as f64
    }

    /// Runs with `RATE_PER_S` calls per second, gatekeeper and pool, multiplied by the factors of `factors` by pool.
    fn run(&mut self, seconds: f64, factors: &[(u64, f64)]) {
        for _ in 0..(seconds / STEP_S) as usize {
            for f in 0..self.gatekeepers.len() {
                for pool in 1..=POOLS {
                    let factor = factors.iter().find(|t| t.0 == pool).map_or(1.0, |t| t.1);
                    if self.chance(RATE_PER_S * STEP_S * factor) {
                        self.gatekeepers[f].call(0, pool as u32);
                    }
                }
                self.gatekeepers[f].run(STEP_S);
            }
        }
    }

    /// Calls `f` for each gatekeeper.
    fn each(&mut self, mut f: impl FnMut(&mut TestGatekeeper)) {
        self.gatekeepers.iter_mut().for_each(&mut f);
    }

    /// Number of set-ups that all gatekeepers sent to a pool between two times.
    fn sent(&self, pool: PoolId, from: f64, to: f64) -> usize {
        let sends = self.gatekeepers.iter().flat_map(|f| &f.sends);
        sends.filter(|s| s.pool == pool && s.at > from && s.at <= to).count()
    }

    fn now(&self) -> f64 {
        self.gatekeepers[0].now
    }
}

#[test]
fn all_gatekeepers_together_stay_within_the_budget_of_a_cold_pool_though_each_sends_little() {
    let mut fleet = Fleet::new();
    fleet.run(20.0, &[]);
    let start = fleet.now();
    let usual = fleet.sent(TARGET, start - 10.0, start) as f64 / 10.0;
    fleet.each(|f| f.list(ListKind::Changes, vec![entry(1, Readiness::Ready, f.now)]));
    // Calls of its first choice double, and another pool drains.
    fleet.each(|f| f.list(ListKind::Changes, vec![entry(2, Readiness::Draining, 0.0)]));
    fleet.run(12.0, &[(1, 2.0)]);
    let mut total = 0;
    for second in 0..12 {
        let from = start + f64::from(second);
        let sent = fleet.sent(TARGET, from, from + 1.0);
        total += sent;
        let capacity_ratio = 0.3 + 0.7 * f64::from(second) / 14.0;
        let limit = usual * 2.5 * capacity_ratio;
        assert!((sent as f64) < limit, "{sent} in second {second}, {limit:.0} would overload it");
    }
    // It is not left idle: it gets at least a third of its capacity.
    let possible = usual * (0..12).map(|s| 0.3 + 0.7 * f64::from(s) / 14.0).sum::<f64>();
    assert!(total as f64 > possible / 3.0, "{total} of {possible:.0}");
}

/// Some gatekeepers learn late that a pool was restarted. Those that know of it send no more than their part of what the
/// pool can serve, whatever the others send. The limit in each second is N + 3 sqrt(N) + 3, where N is their part of
/// the calls that the settings allow at the time.
#[test]
fn gatekeepers_that_know_of_a_restart_keep_to_their_part_though_others_do_not() {
    for uninformed_every in [2, 3, 5] {
        let mut fleet = Fleet::new();
        fleet.run(20.0, &[]);
        let start = fleet.now();
        let usual = fleet.sent(TARGET, start - 10.0, start) as f64 / 10.0;
        let informed = |n: usize| !n.is_multiple_of(uninformed_every);
        for n in (0..fleet.gatekeepers.len()).filter(|n| informed(*n)) {
            let gatekeeper = &mut fleet.gatekeepers[n];
            gatekeeper.list(ListKind::Changes, vec![entry(1, Readiness::Ready, gatekeeper.now)]);
        }
        fleet.run(4.0, &[(1, 1.5)]);
        let part = (0..fleet.gatekeepers.len()).filter(|n| informed(*n)).count() as f64 / GATEKEEPERS as f64;
        for second in 0..4 {
            let from = start + f64::from(second);
            let within = |s: &&harness::Sent| s.pool == TARGET && s.at >= from && s.at < from + 1.0;
            let by = |n: usize| fleet.gatekeepers[n].sends.iter().filter(within).count();
            let sent: usize = (0..fleet.gatekeepers.len()).filter(|n| informed(*n)).map(by).sum();
            let n = part * usual * 2.5 * (0.3 + 0.7 * f64::from(second) / 14.0);
            let limit = n + 3.0 * n.sqrt() + 3.0;
            assert!(
                (sent as f64) < limit,
                "{sent} by {part} of the gatekeepers in second {second}, limit {limit:.0}"
            );
        }
    }
}

#[test]
fn a_silent_pool_is_probed_by_a_fraction_of_its_calls_not_by_one_from_every_gatekeeper() {
    let mut fleet = Fleet::new();
    fleet.run(20.0, &[]);
    let usual = fleet.sent(TARGET, fleet.now() - 10.0, fleet.now()) as f64 / 10.0;
    fleet.each(|f| f.answers.retain(|pool, _| *pool != TARGET));
    // By then each gatekeeper has lost a call.
    fleet.run(12.0, &[]);
    let from = fleet.now();
    fleet.run(10.0, &[]);
    let probes = fleet.sent(TARGET, from, fleet.now()) as f64 / 10.0;
    assert!(probes < 0.4 * usual, "{probes} probes per second, {usual} calls per second before");
    assert!(probes > 0.01 * usual, "too few probes to notice its recovery");
}

#[test]
fn a_loaded_pool_gets_few_calls_until_a_gatekeeper_has_news_of_it_however_rare_they_are() {
    let mut fleet = Fleet::new();
    fleet.run(20.0, &[]);
    let start = fleet.now();
    let usual = fleet.sent(TARGET, start - 10.0, start) as f64 / 10.0;
    // One report of a wait of seven wait units, and nothing after it.
    let report = Report { wait: Some(2.1), ..Report::default() };
    fleet.each(|f| f.event(Event::Load { pool: TARGET, report }));
    fleet.each(|f| f.answers.retain(|pool, _| *pool != TARGET));
    fleet.run(8.0, &[]);
    let sent = fleet.sent(TARGET, start, fleet.now()) as f64 / 8.0;
    assert!(
        sent < 0.15 * usual,
        "{sent} per second went to a pool with a wait of over two seconds, {usual} before"
    );
}

#[test]
fn calls_of_a_draining_pool_go_to_a_pool_with_free_lines_and_not_to_one_without() {
    let mut fleet = Fleet::new();
    fleet.gatekeepers.clear();
    let shape = SettingsShape { gatekeepers: GATEKEEPERS as u32, ..SettingsShape::default() };
    for seed in 0..GATEKEEPERS {
        let settings = hollypaddle_policy::Settings { mean_holding_time: Some(8.0), ..settings(&shape) };
        let mut gatekeeper = TestGatekeeper::new(settings, seed);
        gatekeeper
            .list(ListKind::Cached, (1..=POOLS).map(|n| entry(n as u32, Readiness::Ready, 0.0)).collect());
        gatekeeper.answers.extend((1..=POOLS).map(|n| (PoolId(n), 0.03)));
        fleet.gatekeepers.push(gatekeeper);
    }
    let report_lines = |f: &mut TestGatekeeper| {
        for (pool, free) in [(3, 0.0), (4, 300.0)] {
            let report = Report { free_lines: Some(free), total_lines: Some(800.0), ..Report::default() };
            f.event(Event::Load { pool: PoolId(pool), report });
        }
    };
    fleet.each(report_lines);
    fleet.run(20.0, &[]);
    let (start, before) = (fleet.now(), 20.0);
    let usual = |fleet: &Fleet, pool| fleet.sent(PoolId(pool), start - before, start) as f64 / before;
    let (usual_3, usual_4) = (usual(&fleet, 3), usual(&fleet, 4));
    fleet.each(|f| f.list(ListKind::Changes, vec![entry(1, Readiness::Draining, 0.0)]));
    fleet.run(5.0, &[]);
    let after = |pool| fleet.sent(PoolId(pool), start, fleet.now()) as f64 / 5.0;
    assert!(after(3) < 1.15 * usual_3, "{} per second, {usual_3} before, no free line", after(3));
    assert!(after(4) > 1.1 * usual_4, "{} per second, {usual_4} before, 300 free lines", after(4));
}

#[test]
fn a_report_after_the_set_up_distinguishes_a_lost_answer_from_a_slow_pool() {
    let cancels_with_wait = |wait: f64| {
        let mut fleet = Fleet::new();
        fleet.gatekeepers.truncate(1);
        let gatekeeper = &mut fleet.gatekeepers[0];
        for n in 0..60 {
            gatekeeper.call(0, 1 + n % POOLS as u32);
            gatekeeper.run(0.3);
        }
        gatekeeper.answers.remove(&TARGET);
        let call = gatekeeper.call(0, 1);
        assert_eq!(gatekeeper.out_to(call), Some(TARGET));
        gatekeeper.run(0.5);
        let report = Report { wait: Some(wait), ..Report::default() };
        gatekeeper.event(Event::Load { pool: TARGET, report });
        gatekeeper.run(0.5);
        gatekeeper.cancels
    };
    assert_eq!(cancels_with_wait(0.01), 1, "the pool is prompt, so the answer is lost: cancelled");
    assert_eq!(cancels_with_wait(1.5), 0, "the pool is slow and still works on it: not cancelled");
}

#[test]
fn settings_without_gatekeepers_and_reports_without_lines_do_not_break_the_controller() {
    for gatekeepers in [0, u32::MAX] {
        let shape = SettingsShape { gatekeepers, ..SettingsShape::default() };
        let hold = if gatekeepers == 0 { Some(f64::NAN) } else { Some(0.0) };
        let mut gatekeeper = TestGatekeeper::new(
            hollypaddle_policy::Settings { mean_holding_time: hold, ..settings(&shape) },
            3,
        );
        gatekeeper.list(ListKind::Cached, (1..=3).map(|n| entry(n, Readiness::Ready, 0.0)).collect());
        for free in [0.0, -5.0, f64::NAN, f64::INFINITY, 9.0] {
            for pool in 1..=3 {
                let report = Report {
                    free_lines: Some(free),
                    total_lines: Some(0.0),
                    max_set_up_rate: Some(free),
                    ..Report::default()
                };
                gatekeeper.event(Event::Load { pool: PoolId(pool), report });
            }
            let call = gatekeeper.call(0, 1);
            gatekeeper.end(call, Outcome::Full, Cause::NoLine);
            gatekeeper.event(Event::Peer { from: u32::MAX, data: vec![0xff; 256] });
            gatekeeper.run(4.0);
        }
        assert!(gatekeeper.calls.values().all(|c| c.answer.is_some()));
    }
}
