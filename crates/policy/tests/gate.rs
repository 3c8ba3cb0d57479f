//! What the module makes of a gate's answers.

mod harness;

use std::collections::BTreeSet;

use harness::{entry, settings, SettingsShape};
use hollypaddle_policy::{
    Action, CallId, Candidate, Cause, Controller, Denial, Event, Gate, ListKind, Outcome, PoolId, Readiness,
    Report,
};

/// Denies what it is told to, and remembers what it was asked.
#[derive(Default)]
struct Scripted {
    shut: BTreeSet<PoolId>,
    /// Lets a call go there as a last resort all the same.
    bends: bool,
    asked: Vec<(PoolId, bool)>,
    sent: Vec<(CallId, PoolId, u32)>,
    away: Vec<(CallId, PoolId)>,
}

impl Gate for Scripted {
    fn on_event(&mut self, _: f64, _: &Event) {}

    fn may_send(&mut self, _: f64, c: &Candidate) -> Result<(), Denial> {
        self.asked.push((c.pool, c.last_resort));
        match self.shut.contains(&c.pool) && !(self.bends && c.last_resort) {
            true => Err(Denial { reason: "scripted", retry_after: 1.7 }),
            false => Ok(()),
        }
    }

    fn on_sent(&mut self, _: f64, c: &Candidate) {
        self.sent.push((c.call, c.pool, c.attempt));
    }

    fn on_refused(&mut self, _: f64, c: &Candidate, denial: &Denial) {
        assert_eq!(denial.reason, "scripted");
        self.away.push((c.call, c.pool));
    }
}

const A: PoolId = PoolId(1);
const B: PoolId = PoolId(2);

struct World {
    controller: Controller<Scripted>,
    now: f64,
    next: CallId,
    timer: Option<(f64, u32)>,
}

impl World {
    fn new(shut: &[PoolId]) -> World {
        let gate = Scripted { shut: shut.iter().copied().collect(), ..Scripted::default() };
        let shape = SettingsShape { gatekeepers: 1, ..SettingsShape::default() };
        let controller = Controller::with_gate(settings(&shape), 1, gate);
        let mut world = World { controller, now: 100.0, next: 0, timer: None };
        let entries = vec![entry(1, Readiness::Ready, 0.0), entry(2, Readiness::Ready, 0.0)];
        world.tell(Event::List { kind: ListKind::Cached, entries });
        // Pools that have carried calls admit those of another first choice.
        let open = std::mem::take(&mut world.controller.gate_mut().shut);
        for n in 0..400 {
            let call = world.next + 1;
            world.call(1 + n % 2);
            world.now += 0.02;
            let pool = PoolId(u64::from(1 + n % 2));
            world.tell(Event::Established { call, pool, delay: 0.02, attempt: 0 });
            world.now += 0.03;
        }
        let gate = world.controller.gate_mut();
        (gate.shut, gate.asked, gate.sent) = (open, Vec::new(), Vec::new());
        world
    }

    fn tell(&mut self, event: Event) -> Vec<Action> {
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

    /// Lets time pass until the module does something.
    fn wait(&mut self) -> Vec<Action> {
        for _ in 0..500 {
            self.now += 0.01;
            if let Some((_, token)) = self.timer.take_if(|t| t.0 <= self.now) {
                let out = self.tell(Event::Timer { token });
                if !out.is_empty() {
                    return out;
                }
            }
        }
        panic!("nothing happens");
    }

    fn call(&mut self, first_choice: u32) -> Vec<Action> {
        self.next += 1;
        let (call, dialled) = (self.next, u64::from(self.next));
        self.tell(Event::Call { call, class: 0, tenant: 0, time_left: 5.0, dialled, first_choice })
    }
}

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
    assert_eq!(gate.away, []);
}

/// Guards against a denied call that is held though nothing will come of it.
#[test]
fn a_call_that_is_denied_everywhere_is_refused_at_once_and_told_when_to_return() {
    let mut world = World::new(&[A, B]);
    let actions = world.call(1);
    assert!(
        matches!(actions[..], [Action::Refuse { retry_after, .. }] if (1.7..=2.0).contains(&retry_after)),
        "{actions:?}"
    );
    let call = world.next;
    let gate = world.controller.gate_mut();
    assert_eq!(gate.asked, [(A, false), (B, false), (A, true), (B, true)]);
    assert_eq!((&gate.away[..], gate.sent.len()), (&[(call, A)][..], 0), "once, for its first choice");
}

#[test]
fn the_last_resort_is_asked_in_the_modules_order() {
    let mut world = World::new(&[A, B]);
    world.controller.gate_mut().bends = true;
    assert_eq!(sent_to(&world.call(2)), Some(B));
    assert_eq!(world.controller.gate_mut().asked, [(B, false), (A, false), (B, true)]);
}

/// Guards against further attempts that pass a gate by, or that forget the release time for it.
#[test]
fn further_attempts_are_asked_for_like_first_ones_after_the_release_time() {
    let mut world = World::new(&[]);
    let actions = world.call(1);
    let (call, pool) = (world.next, sent_to(&actions).unwrap());
    let end = |attempt, outcome| {
        let (cause, retry_after, report) = (Cause::Unknown, None, Report::default());
        Event::Ended { call, pool, attempt, complete: false, outcome, cause, retry_after, report }
    };
    world.now += 0.05;
    assert_eq!(sent_to(&world.tell(end(0, Outcome::Reset))), None);
    world.controller.gate_mut().shut.extend([A, B]);
    let (asked, reset_at) = (world.controller.gate_mut().asked.len(), world.now);
    let answer = world.wait();
    assert!(matches!(answer[..], [Action::Refuse { .. }]), "{answer:?}");
    assert!(world.now >= reset_at + 0.3, "before the release time");
    let gate = world.controller.gate_mut();
    assert!(gate.asked.len() > asked, "not asked");
    assert_eq!((gate.sent.len(), gate.away.len()), (1, 1));
}
