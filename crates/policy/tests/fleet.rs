//! Many fronts that know nothing of each other, each with few calls, on the same few pools: what counts
//! is what they send in sum.

mod harness;

use harness::{entry, settings, SettingsShape, TestGatekeeper};
use hollypaddle_policy::{Cause, Event, ListKind, Outcome, PoolId, Readiness, Report};

const FRONTS: u64 = 200;
const POOLS: u64 = 5;
const STEP: f64 = 0.05;
/// Calls a second that a front has for one pool.
const EACH: f64 = 0.3;
const STRUCK: PoolId = PoolId(1);

struct Fleet {
    fronts: Vec<TestGatekeeper>,
    dice: u64,
}

impl Fleet {
    fn new() -> Self {
        let shape = SettingsShape { gatekeepers: FRONTS as u32, ..SettingsShape::default() };
        let fronts = (0..FRONTS).map(|seed| {
            let mut gatekeeper = TestGatekeeper::new(settings(&shape), seed);
            let pools = (1..=POOLS).map(|n| entry(n as u32, Readiness::Ready, 0.0)).collect();
            gatekeeper.list(ListKind::Cached, pools);
            gatekeeper.answers.extend((1..=POOLS).map(|n| (PoolId(n), 0.03)));
            gatekeeper
        });
        Fleet { fronts: fronts.collect(), dice: 1 }
    }

    fn chance(&mut self, p: f64) -> bool {
        self.dice = self.dice.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
        ((self.dice >> 33) as f64) < p * (1u64 << 31) as f64
    }

    /// Calls come at `EACH` a second and pool, those of the pools in `times` so many times as often.
    fn run(&mut self, seconds: f64, times: &[(u64, f64)]) {
        for _ in 0..(seconds / STEP) as usize {
            for f in 0..self.fronts.len() {
                for pool in 1..=POOLS {
                    let often = times.iter().find(|t| t.0 == pool).map_or(1.0, |t| t.1);
                    if self.chance(EACH * STEP * often) {
                        self.fronts[f].call(0, pool as u32);
                    }
                }
                self.fronts[f].run(STEP);
            }
        }
    }

    fn each(&mut self, mut f: impl FnMut(&mut TestGatekeeper)) {
        self.fronts.iter_mut().for_each(&mut f);
    }

    /// Set-ups that all fronts sent to a pool between two times.
    fn sent(&self, pool: PoolId, from: f64, to: f64) -> usize {
        let sends = self.fronts.iter().flat_map(|f| &f.sends);
        sends.filter(|s| s.pool == pool && s.at > from && s.at <= to).count()
    }

    fn now(&self) -> f64 {
        self.fronts[0].now
    }
}

#[test]
fn a_cold_pool_is_sent_within_its_budget_by_all_fronts_in_sum_though_each_sends_little() {
    let mut fleet = Fleet::new();
    fleet.run(20.0, &[]);
    let start = fleet.now();
    let usual = fleet.sent(STRUCK, start - 10.0, start) as f64 / 10.0;
    fleet.each(|f| f.list(ListKind::Changes, vec![entry(1, Readiness::Ready, f.now)]));
    // Its own callers come twice as often as before, and another pool is gone.
    fleet.each(|f| f.list(ListKind::Changes, vec![entry(2, Readiness::Draining, 0.0)]));
    fleet.run(12.0, &[(1, 2.0)]);
    let mut all = 0;
    for second in 0..12 {
        let from = start + f64::from(second);
        let sent = fleet.sent(STRUCK, from, from + 1.0);
        all += sent;
        let warm = 0.3 + 0.7 * f64::from(second) / 14.0;
        let bound = usual * 2.5 * warm;
        assert!((sent as f64) < bound, "{sent} in second {second}, {bound:.0} would push it over");
    }
    // Nor is it left idle: at least a third of what it could do meanwhile.
    let could = usual * (0..12).map(|s| 0.3 + 0.7 * f64::from(s) / 14.0).sum::<f64>();
    assert!(all as f64 > could / 3.0, "{all} of {could:.0}");
}

/// Some fronts hear late that a pool has started: those who were told keep to their part of what it bears, and take no more
/// of it for what the others send. N and three roots of it and three is what it bears in the time that the settings name.
#[test]
fn fronts_that_were_told_of_a_start_keep_to_their_part_though_others_were_not() {
    for late in [2, 3, 5] {
        let mut fleet = Fleet::new();
        fleet.run(20.0, &[]);
        let start = fleet.now();
        let usual = fleet.sent(STRUCK, start - 10.0, start) as f64 / 10.0;
        let told = |n: usize| !n.is_multiple_of(late);
        for n in (0..fleet.fronts.len()).filter(|n| told(*n)) {
            let gatekeeper = &mut fleet.fronts[n];
            gatekeeper.list(ListKind::Changes, vec![entry(1, Readiness::Ready, gatekeeper.now)]);
        }
        fleet.run(4.0, &[(1, 1.5)]);
        let part = (0..fleet.fronts.len()).filter(|n| told(*n)).count() as f64 / FRONTS as f64;
        for second in 0..4 {
            let from = start + f64::from(second);
            let within = |s: &&harness::Sent| s.pool == STRUCK && s.at >= from && s.at < from + 1.0;
            let by = |n: usize| fleet.fronts[n].sends.iter().filter(within).count();
            let sent: usize = (0..fleet.fronts.len()).filter(|n| told(*n)).map(by).sum();
            let n = part * usual * 2.5 * (0.3 + 0.7 * f64::from(second) / 14.0);
            let bears = n + 3.0 * n.sqrt() + 3.0;
            assert!(
                (sent as f64) < bears,
                "{sent} by {part} in second {second}, {bears:.0} would be its part"
            );
        }
    }
}

#[test]
fn a_silent_pool_is_probed_by_a_part_of_its_calls_not_by_one_from_every_front() {
    let mut fleet = Fleet::new();
    fleet.run(20.0, &[]);
    let usual = fleet.sent(STRUCK, fleet.now() - 10.0, fleet.now()) as f64 / 10.0;
    fleet.each(|f| f.answers.retain(|pool, _| *pool != STRUCK));
    // Each front has had to lose a call by then.
    fleet.run(12.0, &[]);
    let from = fleet.now();
    fleet.run(10.0, &[]);
    let probes = fleet.sent(STRUCK, from, fleet.now()) as f64 / 10.0;
    assert!(probes < 0.4 * usual, "{probes} a second are lost there, {usual} were usual");
    assert!(probes > 0.01 * usual, "its return would not be seen");
}

#[test]
fn a_pressed_pool_is_spared_until_a_front_hears_of_it_again_however_seldom_that_is() {
    let mut fleet = Fleet::new();
    fleet.run(20.0, &[]);
    let start = fleet.now();
    let usual = fleet.sent(STRUCK, start - 10.0, start) as f64 / 10.0;
    // One report of a line of seven wait units, and no word after it.
    let report = Report { wait: Some(2.1), ..Report::default() };
    fleet.each(|f| f.event(Event::Load { pool: STRUCK, report }));
    fleet.each(|f| f.answers.retain(|pool, _| *pool != STRUCK));
    fleet.run(8.0, &[]);
    let sent = fleet.sent(STRUCK, start, fleet.now()) as f64 / 8.0;
    assert!(sent < 0.15 * usual, "{sent} a second went to a line of over two seconds, {usual} were usual");
}

#[test]
fn calls_of_a_drained_pool_go_where_there_is_room_and_not_to_a_pool_without() {
    let mut fleet = Fleet::new();
    fleet.fronts.clear();
    let shape = SettingsShape { gatekeepers: FRONTS as u32, ..SettingsShape::default() };
    for seed in 0..FRONTS {
        let settings = hollypaddle_policy::Settings { mean_holding_time: Some(8.0), ..settings(&shape) };
        let mut gatekeeper = TestGatekeeper::new(settings, seed);
        gatekeeper
            .list(ListKind::Cached, (1..=POOLS).map(|n| entry(n as u32, Readiness::Ready, 0.0)).collect());
        gatekeeper.answers.extend((1..=POOLS).map(|n| (PoolId(n), 0.03)));
        fleet.fronts.push(gatekeeper);
    }
    let tell = |f: &mut TestGatekeeper| {
        for (pool, free) in [(3, 0.0), (4, 300.0)] {
            let report = Report { free_lines: Some(free), total_lines: Some(800.0), ..Report::default() };
            f.event(Event::Load { pool: PoolId(pool), report });
        }
    };
    fleet.each(tell);
    fleet.run(20.0, &[]);
    let (start, before) = (fleet.now(), 20.0);
    let usual = |fleet: &Fleet, pool| fleet.sent(PoolId(pool), start - before, start) as f64 / before;
    let (usual_3, usual_4) = (usual(&fleet, 3), usual(&fleet, 4));
    fleet.each(|f| f.list(ListKind::Changes, vec![entry(1, Readiness::Draining, 0.0)]));
    fleet.run(5.0, &[]);
    let after = |pool| fleet.sent(PoolId(pool), start, fleet.now()) as f64 / 5.0;
    assert!(after(3) < 1.15 * usual_3, "{} a second, {usual_3} before, no line free", after(3));
    assert!(after(4) > 1.1 * usual_4, "{} a second, {usual_4} before, 300 lines free", after(4));
}

#[test]
fn a_lost_answer_is_told_from_a_slow_pool_by_a_report_that_came_since() {
    let lone = |wait: f64| {
        let mut fleet = Fleet::new();
        fleet.fronts.truncate(1);
        let gatekeeper = &mut fleet.fronts[0];
        for n in 0..60 {
            gatekeeper.call(0, 1 + n % POOLS as u32);
            gatekeeper.run(0.3);
        }
        gatekeeper.answers.remove(&STRUCK);
        let call = gatekeeper.call(0, 1);
        assert_eq!(gatekeeper.out_to(call), Some(STRUCK));
        gatekeeper.run(0.5);
        let report = Report { wait: Some(wait), ..Report::default() };
        gatekeeper.event(Event::Load { pool: STRUCK, report });
        gatekeeper.run(0.5);
        gatekeeper.cancels
    };
    assert_eq!(lone(0.01), 1, "a prompt pool lost its answer: called off");
    assert_eq!(lone(1.5), 0, "a slow pool still works on it: left alone");
}

#[test]
fn settings_without_fronts_and_reports_of_no_lines_break_nothing() {
    for fronts in [0, u32::MAX] {
        let shape = SettingsShape { gatekeepers: fronts, ..SettingsShape::default() };
        let hold = if fronts == 0 { Some(f64::NAN) } else { Some(0.0) };
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
