//! The lease agreement under a model checker: three members as the program has them, clocks an hour off and a hundredth apart
//! in pace, and every order of a kill, a start, a pause, a wake, a cut, a hand-over and time, to a stated depth. In each state
//! at most one may act, nothing is done under an epoch that is over, and once all is mended there is one holder.

use std::hash::{Hash, Hasher};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

use hollypaddle_faults::duties::{duty, id, Plan, Planted, World};
use stateright::{Checker, Model, Property};

const MEMBERS: usize = 3;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    Kill(usize),
    Start(usize),
    /// Killed and started in one moment.
    Restart(usize),
    Pause(usize),
    Wake(usize),
    /// What one says to the others is lost from now on, and what they say to it.
    Cut(usize),
    /// One way alone.
    OneWay(usize, usize),
    Heal,
    /// The holder hands the duty on.
    HandOn,
    /// Less than it takes to renew; and more than a term.
    Short,
    Long,
}

#[derive(Clone)]
struct State {
    world: World,
    steps: Vec<Step>,
}

/// States are one where all members hold and grant the same. The steps so far tell the rest.
impl Hash for State {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.world.state(state);
        self.steps.iter().for_each(|step| format!("{step:?}").hash(state));
    }
}

impl PartialEq for State {
    fn eq(&self, other: &State) -> bool {
        self.steps == other.steps
    }
}

impl std::fmt::Debug for State {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:?}", self.steps)
    }
}

struct Lease {
    planted: Option<Planted>,
    /// Which steps are taken, where not all are.
    only: Option<fn(&Step) -> bool>,
    settled: Arc<AtomicUsize>,
}

impl Model for Lease {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        let mut world = World::new(Plan { planted: self.planted, ..Plan::of(MEMBERS) }, 11);
        world.pass(4.0);
        vec![State { world, steps: Vec::new() }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Step>) {
        for n in 0..MEMBERS {
            match state.world.is_up(n) {
                true if state.world.acts(n) => {
                    actions.extend([Step::Kill(n), Step::Restart(n), Step::Pause(n), Step::Cut(n)])
                }
                true => actions.extend([Step::Kill(n), Step::Wake(n)]),
                false => actions.push(Step::Start(n)),
            }
        }
        actions.extend([
            Step::OneWay(0, 1),
            Step::OneWay(1, 2),
            Step::HandOn,
            Step::Heal,
            Step::Short,
            Step::Long,
        ]);
        if let Some(only) = self.only {
            actions.retain(only);
        }
    }

    fn next_state(&self, last: &State, step: Step) -> Option<State> {
        let mut state = last.clone();
        let world = &mut state.world;
        match step {
            Step::Kill(n) => world.kill(n),
            Step::Start(n) => world.start(n),
            Step::Restart(n) => {
                world.kill(n);
                world.start(n);
            }
            Step::Pause(n) => world.pause(n, true),
            Step::Wake(n) => world.pause(n, false),
            Step::Cut(n) => {
                let others: Vec<usize> = (0..MEMBERS).filter(|m| *m != n).collect();
                world.split(&[n], &others);
            }
            Step::OneWay(a, b) => world.cut(a, b, true),
            Step::Heal => world.heal(),
            Step::HandOn => {
                let holder = world.holders(duty(0).key()).first().copied()?;
                let (duties, local) = world.duties(holder)?;
                duties.hand_over(local, duty(0).key(), Some(id((holder + 1) % MEMBERS)));
                world.pass(0.01);
            }
            Step::Short => world.pass(0.4),
            Step::Long => world.pass(2.4),
        }
        // What was just done takes its first effect.
        if !matches!(step, Step::Short | Step::Long) {
            world.pass(0.03);
        }
        state.steps.push(step);
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(
                "at most one may act, and nothing is done under an epoch that is over",
                |_, state: &State| state.world.broken.is_empty(),
            ),
            Property::always("once all is mended there is one holder", |model: &Lease, state: &State| {
                model.settled.fetch_add(1, Ordering::Relaxed);
                let mut world = state.world.clone();
                world.heal();
                let within = 2.5 * world.plan.settings.grant_duration();
                world.pass(within);
                world.holders(duty(0).key()).len() == 1
            }),
        ]
    }
}

fn check(planted: Option<Planted>, only: Option<fn(&Step) -> bool>, depth: usize) -> (usize, Vec<String>) {
    let settled = Arc::new(AtomicUsize::new(0));
    let model = Lease { planted, only, settled };
    let threads = std::thread::available_parallelism().map_or(2, |n| n.get());
    let checker = model.checker().threads(threads).target_max_depth(depth).spawn_bfs().join();
    let found = checker.discoveries().into_iter().map(|(name, path)| format!("{name}: {path:?}")).collect();
    (checker.unique_state_count(), found)
}

/// To a depth of `DEPTH` states, the first among them; 4 in the tests.
#[test]
fn the_lease_holds_in_every_order_of_faults() {
    let depth = std::env::var("DEPTH").ok().and_then(|n| n.parse().ok()).unwrap_or(4);
    let (states, found) = check(None, None, depth);
    println!("{states} states to a depth of {depth}");
    assert!(found.is_empty(), "{found:?}");
    assert!(states > 1000, "{states} states tell too little");
}

/// Three faults put in on purpose are found, each among the steps that matter for it: all steps find them too, in 80,000 and
/// 500,000 states.
#[test]
fn faults_put_into_the_lease_are_found() {
    let restarts: fn(&Step) -> bool = |s| matches!(s, Step::Restart(_) | Step::HandOn | Step::Short);
    let pauses: fn(&Step) -> bool =
        |s| matches!(s, Step::Pause(_) | Step::Wake(_) | Step::Short | Step::Long);
    for (planted, only, depth) in [
        (Planted::NoQuarantine, Some(restarts), 5),
        (Planted::SmallMajority, None, 4),
        (Planted::NoFence, Some(pauses), 6),
    ] {
        let (states, found) = check(Some(planted), only, depth);
        println!("{planted:?} is found within {states} states");
        assert!(!found.is_empty(), "{planted:?} is not found in {states} states");
        let (_, found) = check(None, only, depth.min(5));
        assert!(found.is_empty(), "without it nothing is: {found:?}");
    }
}
