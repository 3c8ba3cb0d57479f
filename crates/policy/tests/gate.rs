//! How the decision module acts on a gate's answers.

mod harness;

use std::collections::BTreeSet;

use harness::{entry, settings, SettingsShape};
use hollypaddle_policy::{
    Action, CallId, Candidate, Cause, Controller, Denial, Event, Gate, ListKind, Outcome, PoolId, Readiness,
    Report,
};

/// Denies set-ups to given pools, and records the calls of its methods.
#[derive(Default)]
struct ScriptedGate {
    /// The pools to which set-ups are denied.
    denied_pools: BTreeSet<PoolId>,
    /// Whether these pools are allowed as a last resort.
    allows_last_resort: bool,
    /// Pool and last-resort flag of each candidate that the module asked about.
    asked: Vec<(PoolId, bool)>,
    /// Call, pool and attempt of each set-up that was sent.
    sent: Vec<(CallId, PoolId, u32)>,
    /// Call and pool of each refusal.
    refused: Vec<(CallId, PoolId)>,
}

impl Gate for ScriptedGate {
    fn on_event(&mut self, _: f64, _: &Event) {}

    fn may_send(&mut self, _: f64, c: &Candidate) -> Result<(), Denial> {
        self.asked.push((c.pool, c.last_resort));
        match self.denied_pools.contains(&c.pool) && !(self.allows_last_resort && c.last_resort) {
            true => Err(Denial { reason: "scripted", retry_after: 1.7 }),
            false => Ok(()),
        }
    }

    fn on_sent(&mut self, _: f64, c: &Candidate) {
        self.sent.push((c.call, c.pool, c.attempt));
    }

    fn on_refused(&mut self, _: f64, c: &Candidate, denial: &Denial) {
        assert_eq!(denial.reason, "scripted");
        self.refused.push((c.call, c.pool));
    }
}

const A: PoolId = PoolId(1);
const B: PoolId = PoolId(2);

/// One controller with a scripted gate and two pools, both of which have carried calls.
struct World {
    controller: Controller<ScriptedGate>,
    now: f64,
    /// The last call offered.
    last_call: CallId,
    /// When the running timer is due, and its token.
    timer: Option<(f64, u32)>,
}

impl World {
    fn new(denied: &[PoolId]) -> World {
        let gate = ScriptedGate { denied_pools: denied.iter().copied().collect(), ..ScriptedGate::default() };
        let shape = SettingsShape { gatekeepers: 1, ..SettingsShape::default() };
        let controller = Controller::with_gate(settings(&shape), 1, gate);
        let mut world = World { controller, now: 100.0, last_call: 0, timer: None };
        let entries = vec![entry(1, Readiness::Ready, 0.0), entry(2, Readiness::Ready, 0.0)];
        world.handle(Event::List { kind: ListKind::Cached, entries });
        // A pool accepts calls of another first choice only once it has carried calls.
        let denied = std::mem::take(&mut world.controller.gate_mut().denied_pools);
        for n in 0..400 {
            let call = world.last_call + 1;
            world.call(1 + n % 2);
            world.now += 0.02;
            let pool = PoolId(u64::from(1 + n % 2));
            world.handle(Event::Established { call, pool, delay: 0.02, attempt: 0 });
            world.now += 0.03;
        }
        let gate = world.controller.gate_mut();
        (gate.denied_pools, gate.asked, gate.sent) = (denied, Vec::new(), Vec::new());
        world
    }

    /// Passes an event to the controller and returns the actions other than timers and log lines.
    fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.controller.handle(self.now, event, &mut out);
        for action in &out {
            if let Action::Timer { at, token } = action {
                self.timer = Some((*at, *token));
            }
        }
        out.retain(|a| !matches!(a, Action::Timer { .. } | Action::Log(_)));
        out
    }

    /// Advances the time until the controller returns actions.
    fn run_until_action(&mut self) -> Vec<Action> {
        for _ in 0..500 {
            self.now += 0.01;
            if let Some((_, token)) = self.timer.take_if(|t| t.0 <= self.now) {
                let out = self.handle(Event::Timer { token });
                if !out.is_empty() {
                    return out;
                }
            }
        }
        panic!("no action within 5 s");
    }

    /// Offers a call and returns the resulting actions.
    fn call(&mut self, first_choice: u32) -> Vec<Action> {
        self.last_call += 1;
        let (call, dialled) = (self.last_call, u64::from(self.last_call));
        self.handle(Event::Call { call, class: 0, tenant: 0, time_left: 5.0, dialled, first_choice })
    }
}

/// The pool that the actions send a set-up to.
fn sent_to(actions: &[Action]) -> Option<PoolId> {
    actions.iter().find_map(|a| match a {
        Action::Send { pool, .. } => Some(*pool),
        _ => None,
    })
}

#[test]
fn a_denied_first_choice_goes_to_another_open_pool() {
    let mut world = World::new(&[A]);
    let actions = world.call(1);
    assert_eq!(sent_to(&actions), Some(B));
    let gate = world.controller.gate_mut();
    assert_eq!(gate.asked, [(A, false), (B, false)], "the first choice first, and no last resort");
    assert_eq!(gate.refused, []);
}

/// Guards against a denied call that is held although it cannot be sent.
#[test]
fn a_call_that_the_gate_denies_every_pool_is_refused_at_once_with_a_retry_after_time() {
    let mut world = World::new(&[A, B]);
    let actions = world.call(1);
    assert!(
        matches!(actions[..], [Action::Refuse { retry_after, .. }] if (1.7..=2.0).contains(&retry_after)),
        "{actions:?}"
    );
    let call = world.last_call;
    let gate = world.controller.gate_mut();
    assert_eq!(gate.asked, [(A, false), (B, false), (A, true), (B, true)]);
    assert_eq!((&gate.refused[..], gate.sent.len()), (&[(call, A)][..], 0), "once, for its first choice");
}

#[test]
fn the_last_resort_is_asked_for_in_order_of_preference() {
    let mut world = World::new(&[A, B]);
    world.controller.gate_mut().allows_last_resort = true;
    assert_eq!(sent_to(&world.call(2)), Some(B));
    assert_eq!(world.controller.gate_mut().asked, [(B, false), (A, false), (B, true)]);
}

/// Guards against further attempts that bypass the gate, or that are sent before the release time because of it.
#[test]
fn the_gate_is_asked_about_further_attempts_after_the_release_time() {
    let mut world = World::new(&[]);
    let actions = world.call(1);
    let (call, pool) = (world.last_call, sent_to(&actions).unwrap());
    let end = |attempt, outcome| {
        let (cause, retry_after, report) = (Cause::Unknown, None, Report::default());
        Event::Ended { call, pool, attempt, complete: false, outcome, cause, retry_after, report }
    };
    world.now += 0.05;
    assert_eq!(sent_to(&world.handle(end(0, Outcome::Reset))), None);
    world.controller.gate_mut().denied_pools.extend([A, B]);
    let (asked, reset_at) = (world.controller.gate_mut().asked.len(), world.now);
    let answer = world.run_until_action();
    assert!(matches!(answer[..], [Action::Refuse { .. }]), "{answer:?}");
    assert!(world.now >= reset_at + 0.3, "answered before the release time");
    let gate = world.controller.gate_mut();
    assert!(gate.asked.len() > asked, "the gate was not asked");
    assert_eq!((gate.sent.len(), gate.refused.len()), (1, 1));
}
