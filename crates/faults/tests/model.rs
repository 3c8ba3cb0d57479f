//! The protocol of adoption under a model checker: three members, as the program has them, and every order of a crash, a
//! start, a pause, a cut, an end told by a server, and time passing, to a stated depth.

use std::hash::{Hash, Hasher};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

use hollypaddle_faults::check::What;
use hollypaddle_faults::script::{End, Fault};
use hollypaddle_faults::world::{Plan, Planted, World};
use stateright::{Checker, Model, Property};

const MEMBERS: usize = 3;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    Kill(usize),
    Start(usize),
    Pause(usize),
    Wake(usize),
    /// What one says to another is lost from now on.
    Cut(usize, usize),
    Heal,
    /// A server ends the call.
    EndCall,
    /// Less than it takes to notice a death; and more.
    Short,
    Long,
}

#[derive(Clone)]
struct State {
    world: World,
    call: u64,
    /// What has been done, in brief: faults that are there, and steps taken.
    steps: Vec<Step>,
}

/// States are one where all members hold and believe the same, and what has been told is the same. When it was is left
/// out but for a coarse clock; the steps so far tell the rest.
impl Hash for State {
    fn hash<H: Hasher>(&self, state: &mut H) {
        for n in 0..MEMBERS {
            let member = self.world.member(n);
            member.is_some().hash(state);
            let Some(member) = member else { continue };
            member.is_caught_up().hash(state);
            for row in member.snapshot() {
                (row.origin, row.version, row.hash).hash(state);
            }
            for row in member.view().snapshot(self.world.now) {
                (row.member, row.state.name(), row.linked).hash(state);
            }
            member.adopted_call(self.call).is_some().hash(state);
        }
        let told =
            self.world.history.events.iter().filter(|(_, w)| matches!(w, What::Told(..) | What::Ended(_)));
        told.count().hash(state);
        ((self.world.now / 0.5) as u64).hash(state);
        let last = self.steps.len().saturating_sub(2);
        self.steps[last..].iter().for_each(|step| format!("{step:?}").hash(state));
    }
}

/// By the same that is hashed.
impl PartialEq for State {
    fn eq(&self, other: &State) -> bool {
        let hash = |s: &State| {
            let mut hasher = std::hash::DefaultHasher::new();
            s.hash(&mut hasher);
            hasher.finish()
        };
        hash(self) == hash(other)
    }
}

impl std::fmt::Debug for State {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:?}", self.steps)
    }
}

struct Adoption {
    planted: Option<Planted>,
    settled: Arc<AtomicUsize>,
}

fn pair(a: usize, b: usize) -> (End, End) {
    (End::Gatekeeper(a), End::Gatekeeper(b))
}

impl Model for Adoption {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        let mut world = World::new(Plan { calls: 0.0, planted: self.planted, ..Plan::of(MEMBERS) }, 1);
        world.pass(1.5);
        let call = world.call(0).expect("the first member takes a call");
        world.pass(0.5);
        vec![State { world, call, steps: Vec::new() }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Step>) {
        let up = |n: usize| state.world.member(n).is_some();
        // One member is never killed or paused, so that somebody sees it all.
        for n in 0..MEMBERS - 1 {
            match up(n) {
                true => actions.extend([Step::Kill(n), Step::Pause(n), Step::Wake(n)]),
                false => actions.push(Step::Start(n)),
            }
        }
        actions.extend([
            Step::Cut(0, 1),
            Step::Cut(2, 0),
            Step::Heal,
            Step::EndCall,
            Step::Short,
            Step::Long,
        ]);
    }

    fn next_state(&self, last: &State, step: Step) -> Option<State> {
        let mut next = last.clone();
        match step {
            Step::Kill(n) => next.world.fault(Fault::Kill(n)),
            Step::Start(n) => next.world.fault(Fault::Start(n)),
            Step::Pause(n) => next.world.fault(Fault::Pause(n)),
            Step::Wake(n) => next.world.fault(Fault::Wake(n)),
            Step::Cut(a, b) => {
                let (a, b) = pair(a, b);
                next.world.fault(Fault::Cut(a, b));
            }
            Step::Heal => next.world.fault(Fault::Heal),
            Step::EndCall => next.world.end(next.call),
            Step::Short => next.world.pass(0.25),
            Step::Long => next.world.pass(2.6),
        }
        next.world.pass(0.02);
        next.steps.push(step);
        Some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(
                "once all is mended, no end is forgotten, copies are equal, one sees to a call",
                |m: &Self, s: &State| {
                    m.settled.fetch_add(1, Ordering::Relaxed);
                    s.world.clone().settle().is_empty()
                },
            ),
            Property::always("an end is told by two at the most", |_, s: &State| {
                let told = |w: &What| matches!(w, What::Told(..));
                s.world.history.events.iter().filter(|(_, w)| told(w)).count() <= 2
            }),
        ]
    }
}

fn check(planted: Option<Planted>, depth: usize) -> (Option<String>, usize) {
    let settled = Arc::new(AtomicUsize::new(0));
    let model = Adoption { planted, settled: Arc::clone(&settled) };
    let threads = std::thread::available_parallelism().map_or(2, usize::from);
    let checker = model.checker().threads(threads).target_max_depth(depth).spawn_bfs().join();
    let found = checker.discoveries().into_iter().next().map(|(name, path)| {
        let last = path.last_state().clone();
        let broken = last.world.clone().settle();
        format!("{name}: {last:?}: {broken:?}")
    });
    // The states that were settled and held to the rules; those that would come next are found, and not looked at.
    (found, settled.load(Ordering::Relaxed))
}

/// Every order of four steps; `DEPTH=5` and more for longer.
#[test]
fn every_order_of_steps_keeps_the_promise() {
    let depth = std::env::var("DEPTH").ok().and_then(|d| d.parse().ok()).unwrap_or(4);
    let (found, states) = check(None, depth + 2);
    println!("{states} states to a depth of {depth} steps");
    assert_eq!(found, None);
    assert!(states > 3_000 || depth < 4, "{states}");
}

/// A member that never yields is found.
#[test]
fn a_planted_fault_is_found_by_the_model_checker() {
    let (found, states) = check(Some(Planted::NeverYields), 5);
    println!("found after {states} states");
    assert!(found.is_some());
}
