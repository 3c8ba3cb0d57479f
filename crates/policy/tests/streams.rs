//! Long random but legal streams of events; `TestGatekeeper` asserts the five rules and a final answer for
//! every call after every step.

mod harness;

use harness::{entry, settings, FinalAnswer, SettingsShape, TestGatekeeper};
use hollypaddle_policy::{
    Action, Candidate, Cause, Controller, Denial, Event, Gate, ListKind, Outcome, Readiness, Report,
};
use rand_chacha::ChaCha8Rng;
use rand_core::{RngCore, SeedableRng};

struct Dice(ChaCha8Rng);

impl Dice {
    fn below(&mut self, n: u64) -> u64 {
        self.0.next_u64() % n
    }
    fn unit(&mut self) -> f64 {
        self.below(1_000_000) as f64 / 1e6
    }
}

fn report(dice: &mut Dice, reports: bool) -> Report {
    if !reports {
        return Report::default();
    }
    Report {
        free_lines: Some(dice.below(50) as f64),
        total_lines: (dice.below(3) > 0).then(|| dice.below(60) as f64),
        wait: Some(dice.unit() * if dice.below(8) == 0 { 4.0 } else { 0.3 }),
        utilization: (dice.below(2) == 0).then(|| dice.unit()),
        max_set_up_rate: Some(dice.unit() * 60.0),
        hold_back_ratio: (dice.below(4) == 0).then(|| dice.unit()),
    }
}

fn stream(shape: &SettingsShape, reports: bool, hints: bool, seed: u64) -> TestGatekeeper {
    let mut dice = Dice(ChaCha8Rng::seed_from_u64(seed));
    let mut gatekeeper = TestGatekeeper::new(settings(shape), seed);
    let readiness =
        [Readiness::Ready, Readiness::Ready, Readiness::Ready, Readiness::Draining, Readiness::Gone];
    gatekeeper.list(ListKind::Cached, (1..4).map(|n| entry(n, Readiness::Ready, 0.0)).collect());
    for _ in 0..1000 {
        match dice.below(24) {
            0..=9 => {
                let left = if dice.below(40) == 0 { 0.0 } else { dice.unit() * 3.5 };
                let (class, tenant) = (dice.below(3) as usize, dice.below(4) as usize);
                let number = 1 + dice.below(5) as u32;
                let dialled = if dice.below(4) == 0 { 7 } else { dice.below(1000) };
                gatekeeper.call_with(class, tenant, number, left, dialled);
            }
            10..=17 => {
                let out: Vec<u32> =
                    gatekeeper.calls.iter().filter(|(_, c)| c.out.is_some()).map(|(id, _)| *id).collect();
                if out.is_empty() {
                    continue;
                }
                let call = out[dice.below(out.len() as u64) as usize];
                let report = report(&mut dice, reports);
                let full = if hints && dice.below(2) == 0 { Some(dice.unit() * 3.0) } else { None };
                match dice.below(12) {
                    0 => gatekeeper.end_full(call, full, report),
                    1 => gatekeeper.end_with(call, Outcome::Full, Cause::NoLine, report),
                    2 => gatekeeper.end_with(call, Outcome::Error, Cause::NumberBusy, report),
                    3 => gatekeeper.end_with(call, Outcome::Error, Cause::Unknown, report),
                    4 => gatekeeper.end_with(call, Outcome::ConnectFailed, Cause::Unknown, report),
                    5 => gatekeeper.end_with(call, Outcome::Reset, Cause::Unknown, report),
                    6 => gatekeeper.end_with(call, Outcome::NotSent, Cause::Unknown, report),
                    _ if gatekeeper.calls[&call].answer.is_some() => {
                        gatekeeper.end_with(call, Outcome::Cancelled, Cause::Unknown, report)
                    }
                    _ => {
                        let lag = gatekeeper.now - gatekeeper.calls[&call].sent;
                        gatekeeper.establish(call, lag);
                    }
                }
            }
            18 => {
                let changed = entry(1 + dice.below(4) as u32, readiness[dice.below(5) as usize], 0.0);
                gatekeeper.list(ListKind::Changes, vec![changed]);
            }
            19 => {
                let (number, now) = (1 + dice.below(4) as u32, gatekeeper.now);
                gatekeeper.list(ListKind::Changes, vec![entry(number, Readiness::Ready, now)]);
            }
            20 => {
                let entries =
                    (1..1 + dice.below(5) as u32).map(|n| entry(n, Readiness::Ready, 0.0)).collect();
                gatekeeper.list(ListKind::Full, entries);
            }
            21 => {
                let waiting: Vec<u32> =
                    gatekeeper.calls.iter().filter(|(_, c)| c.answer.is_none()).map(|(id, _)| *id).collect();
                if let Some(call) = waiting.first() {
                    gatekeeper.abandon(*call);
                }
            }
            22 => {
                let figures = report(&mut dice, reports);
                let pool = entry(1 + dice.below(6) as u32, Readiness::Ready, 0.0).pool;
                gatekeeper.event(Event::Load { pool, report: figures });
                gatekeeper.event(Event::Timer { token: dice.below(5000) as u32 });
                gatekeeper.event(Event::Peer { from: 1, data: vec![0; dice.below(20) as usize] });
            }
            _ => gatekeeper.run(dice.unit() * 0.2),
        }
        gatekeeper.run(0.005);
    }
    gatekeeper.run(5.0);
    assert!(gatekeeper.calls.values().all(|c| c.answer.is_some()));
    let stood = gatekeeper.calls.values().filter(|c| c.answer == Some(FinalAnswer::Established)).count();
    assert!(stood > 0, "no call stood");
    gatekeeper
}

/// One stream for each shape of settings, with the shape and the seed.
fn streams() -> Vec<(SettingsShape, u64, TestGatekeeper)> {
    let mut all = Vec::new();
    for tenants in [0, 3] {
        for (reports, hints) in [(true, true), (true, false), (false, true), (false, false)] {
            for (retransmit, may_cancel, try_limit, gatekeepers) in
                [(0.4, true, 6, 4), (0.8, false, 5, 8), (0.0, true, 2, 1), (0.0, false, 1, 1)]
            {
                let seed = 101 + all.len() as u64;
                let shape = SettingsShape { tenants, retransmit, try_limit, may_cancel, gatekeepers };
                let gatekeeper = stream(&shape, reports, hints, seed);
                all.push((shape, seed, gatekeeper));
            }
        }
    }
    all
}

/// A number that stands for a text (FNV-1a).
fn digest(text: &str) -> u64 {
    text.bytes().fold(0xcbf2_9ce4_8422_2325, |h, b| (h ^ u64::from(b)).wrapping_mul(0x100_0000_01b3))
}

/// Lets everything pass, and keeps what it was told.
#[derive(Default)]
struct Watching {
    heard: usize,
    asked: Vec<Candidate>,
    sent: Vec<Candidate>,
}

impl Gate for Watching {
    fn on_event(&mut self, _: f64, _: &Event) {
        self.heard += 1;
    }

    fn may_send(&mut self, _: f64, candidate: &Candidate) -> Result<(), Denial> {
        self.asked.push(*candidate);
        Ok(())
    }

    fn on_sent(&mut self, _: f64, candidate: &Candidate) {
        self.sent.push(*candidate);
    }

    fn on_refused(&mut self, _: f64, _: &Candidate, _: &Denial) {
        panic!("nothing is denied");
    }
}

/// Digest of the actions of all streams without a gate. Introducing gates did not change it; later it changed because the
/// whole excess of a measured set-up delay counts as wait and because a full pool that claims a long wait is probed, and
/// because a log text was reworded. Update it when the module's behaviour is changed on purpose.
const ACTIONS_DIGEST: u64 = 0xc454_4bb2_bf1f_cd5e;

/// Over random legal streams under every shape of settings, [`TestGatekeeper`] holds the five rules; the actions
/// are, byte for byte, those without a gate; and a gate that lets everything pass changes
/// nothing, is asked once for each set-up and told of each.
#[test]
fn the_five_rules_hold_and_an_open_gate_changes_nothing() {
    let mut before = String::new();
    for (shape, seed, gatekeeper) in streams() {
        let mut controller = Controller::with_gate(settings(&shape), seed, Watching::default());
        let mut sends = Vec::new();
        for (now, event, actions) in &gatekeeper.record {
            let mut out = Vec::new();
            controller.handle(*now, event.clone(), &mut out);
            assert_eq!(format!("{out:?}"), format!("{actions:?}"), "seed {seed} at {now}");
            before.push_str(&format!("{actions:?}"));
            sends.extend(out.into_iter().filter_map(|a| match a {
                Action::Send { call, pool, .. } => Some((call, pool)),
                _ => None,
            }));
        }
        let gate = controller.gate_mut();
        let told: Vec<_> = gate.sent.iter().map(|c| (c.call, c.pool)).collect();
        assert_eq!((gate.heard, &gate.asked, told), (gatekeeper.record.len(), &gate.sent, sends));
        assert!(gate.asked.iter().all(|c| !c.last_resort));
    }
    assert_eq!(digest(&before), ACTIONS_DIGEST);
}

#[test]
fn settings_without_sense_do_not_break_the_controller() {
    let mut odd = settings(&SettingsShape::default());
    odd.classes.clear();
    odd.gatekeepers = 0;
    odd.retransmit_time = f64::NAN;
    odd.warm_up_time = f64::NAN;
    odd.initial_capacity_ratio = -1.0;
    odd.min_batch_interval = 0.0;
    odd.release_time = -3.0;
    let mut controller = Controller::new(odd, 1);
    let mut out = Vec::new();
    let entries = vec![entry(1, Readiness::Ready, f64::NAN)];
    controller.handle(0.0, Event::List { kind: ListKind::Full, entries }, &mut out);
    for n in 0..50 {
        let call = Event::Call { call: n, class: 9, tenant: 9, time_left: 1.0, dialled: 1, first_choice: 1 };
        controller.handle(f64::from(n) * 0.01, call, &mut out);
        controller.handle(f64::from(n) * 0.01, Event::Timer { token: n + 1 }, &mut out);
    }
    assert!(!out.is_empty());
}
