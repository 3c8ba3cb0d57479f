//! Plays random schedules of workers that receive updates late, are paused, killed and replaced, while set-ups
//! with few call ids reach all of them. No call id may be in flight at two workers, or be sent again before the
//! release time.

use std::collections::{BTreeMap, BTreeSet};

use hollypaddle_cores::supervisor::{Action, RestartPolicy, State, Supervisor};
use hollypaddle_cores::table::OwnershipTable;
use hollypaddle_cores::view::{Decision, TableHistory, Timing, WorkerView};
use hollypaddle_cores::Worker;
use proptest::prelude::*;

const SLOTS: u16 = 3;
const TIMING: Timing = Timing { lease_s: 0.1, release_s: 0.35, max_call_s: 3.0, silence_limit_s: 0.6 };

struct WorkerProcess {
    view: WorkerView,
    /// Until then the process receives updates but does not act on them.
    paused_until: f64,
    /// Updates in transit: when they arrive, when they were sent, and the tables.
    updates: Vec<(f64, f64, TableHistory)>,
    /// The calls that the process holds, with the time at which each is over.
    held_calls: BTreeMap<u64, f64>,
}

struct World {
    now: f64,
    supervisor: Supervisor,
    processes: BTreeMap<Worker, WorkerProcess>,
    history: TableHistory,
    /// The last owner of each call id, and until when its attempt may be in flight.
    in_flight_until: BTreeMap<u64, (Worker, f64)>,
    sent: usize,
}

impl World {
    fn new() -> World {
        let history = TableHistory::new(TIMING.schedule_change(0.0, OwnershipTable::new(SLOTS)), TIMING);
        let mut world = World {
            now: 1.0,
            supervisor: Supervisor::new(
                SLOTS,
                RestartPolicy {
                    max_consecutive_deaths: 1000,
                    silence_limit_s: TIMING.silence_limit_s,
                    ..RestartPolicy::default()
                },
                0.0,
            ),
            processes: BTreeMap::new(),
            history,
            in_flight_until: BTreeMap::new(),
            sent: 0,
        };
        (0..20).for_each(|_| world.advance(0.05, 0.01));
        world
    }

    /// Sends the tables to all workers, with a different delay to each.
    fn broadcast(&mut self, delay: f64) {
        for (n, process) in self.processes.values_mut().enumerate() {
            let arrives = self.now + delay * (1.0 + n as f64);
            process.updates.push((arrives, self.now, self.history.clone()));
        }
    }

    fn action(&mut self, actions: Vec<Action>, delay: f64) {
        for action in actions {
            match action {
                Action::Start(worker) => {
                    let (view, held_calls) = (WorkerView::new(worker, TIMING), BTreeMap::new());
                    self.processes.insert(
                        worker,
                        WorkerProcess { view, paused_until: 0.0, updates: Vec::new(), held_calls },
                    );
                    let actions = self.supervisor.record_serving(self.now, worker);
                    self.action(actions, delay);
                }
                Action::Serving(worker) => {
                    self.history.record_change(self.now, worker, true);
                    self.broadcast(delay);
                }
                Action::Lost(worker) => {
                    self.history.record_death(self.now, worker);
                    self.broadcast(delay);
                }
                Action::Kill(worker) => self.kill(worker, 0.5, delay),
                Action::LeftOut(_) => {}
            }
        }
    }

    fn advance(&mut self, seconds: f64, delay: f64) {
        self.now += seconds;
        let actions = self.supervisor.tick(self.now);
        self.action(actions, delay);
        self.broadcast(delay);
        let now = self.now;
        for (worker, process) in self.processes.iter_mut().filter(|(_, p)| p.paused_until <= now) {
            self.supervisor.record_message(now, *worker);
            let (arrived, rest): (Vec<_>, Vec<_>) = process.updates.drain(..).partition(|n| n.0 <= now);
            process.updates = rest;
            arrived.iter().for_each(|(_, sent, history)| process.view.receive(*sent, history));
            process.held_calls.retain(|_, over| *over > now);
        }
    }

    /// Offers a set-up to a worker and follows the decisions of the workers.
    fn offer(&mut self, worker: Worker, call: u64) {
        let mut at = worker;
        for _ in 0..4 {
            let Some(process) = self.processes.get(&at).filter(|p| p.paused_until <= self.now) else {
                return;
            };
            match process.view.decide(self.now, call) {
                Decision::Forward(to) => at = to,
                Decision::Accept => return self.send(at, call),
                Decision::Ask(_) => {
                    // All workers that may hold the call must answer that they do not; a paused one does not
                    // answer.
                    let before = process.view.previous_owners(self.now, call);
                    let says_no = |w: &Worker| {
                        self.processes
                            .get(w)
                            .is_some_and(|p| p.paused_until <= self.now && !p.held_calls.contains_key(&call))
                    };
                    if before.iter().all(says_no) {
                        self.send(at, call);
                    }
                    return;
                }
                Decision::Wait(until) => {
                    assert!(until > self.now && until <= self.now + TIMING.release_s.max(TIMING.lease_s));
                    return;
                }
                Decision::Refuse => return,
            }
        }
    }

    fn send(&mut self, worker: Worker, call: u64) {
        let now = self.now;
        let process = self.processes.get_mut(&worker).unwrap();
        // The core of a worker accepts an id only once while it holds it.
        if process.held_calls.contains_key(&call) {
            return;
        }
        if let Some((other, until)) = self.in_flight_until.get(&call) {
            assert!(
                now >= *until,
                "call {call} sent by {worker:?} while in flight at {other:?} until {until}, now {now}"
            );
        }
        process.held_calls.insert(call, now + TIMING.max_call_s);
        self.in_flight_until.insert(call, (worker, now + TIMING.max_call_s));
        self.sent += 1;
    }

    fn kill(&mut self, worker: Worker, chance: f64, delay: f64) {
        if let Some(process) = self.processes.remove(&worker) {
            // The attempts of the dead worker may run on at the server for the release time.
            for call in process.held_calls.keys() {
                self.in_flight_until.insert(*call, (worker, self.now + TIMING.release_s));
            }
            let actions = self.supervisor.record_exit(self.now, worker, chance);
            self.action(actions, delay);
        }
    }
}

proptest! {
    #[test]
    fn call_is_never_in_flight_at_two_workers_under_random_faults(
        steps in prop::collection::vec((0u8..12, 0..SLOTS, 0u64..6, 0.001..0.25f64, 0.0..0.09f64), 1..250),
    ) {
        let mut world = World::new();
        for (what, slot, call, advance, delay) in steps {
            let worker = Worker(slot);
            match what {
                0..=6 => world.offer(worker, call),
                7 => world.kill(worker, advance * 4.0, delay),
                8 => {
                    if let Some(process) = world.processes.get_mut(&worker) {
                        process.paused_until = process.paused_until.max(world.now + advance * 4.0);
                        // Nobody gives up the calls of a paused worker before it resumes or is killed.
                        for call in process.held_calls.keys() {
                            let out = world.in_flight_until.entry(*call).or_insert((worker, 0.0));
                            *out = (worker, out.1.max(process.paused_until));
                        }
                    }
                }
                _ => {}
            }
            world.advance(advance, delay);
        }
    }
}

/// Guards against safeguards that let no call through.
#[test]
fn workers_send_most_calls_while_workers_die_and_return() {
    let mut world = World::new();
    // Let the tables of the start expire.
    (0..80).for_each(|_| world.advance(0.05, 0.005));
    let mut call = 100;
    for round in 0..40u16 {
        if round % 10 == 5 {
            world.kill(Worker(round / 10 % SLOTS), 0.5, 0.01);
        }
        for slot in 0..SLOTS {
            call += 1;
            world.offer(Worker(slot), call);
        }
        world.advance(0.05, 0.005);
    }
    // Four deaths, each of which fences a third of the ids for 0.35 s of the 2 s.
    assert!(world.sent > 60, "{} of 120", world.sent);
    let owners: BTreeSet<Worker> = world.in_flight_until.values().map(|o| o.0).collect();
    assert_eq!(owners.len(), usize::from(SLOTS), "a worker owns no call");
}

/// Guards against a worker that acts on old tables when it resumes from a pause.
#[test]
fn worker_refuses_calls_after_a_pause_until_it_receives_the_tables_again() {
    let mut view = WorkerView::new(Worker(0), TIMING);
    assert_eq!(view.decide(5.0, 1), Decision::Refuse);
    let dated = TableHistory::new(
        TIMING.schedule_change(5.0, OwnershipTable::new(1).with_serving(Worker(0), true)),
        TIMING,
    );
    view.receive(5.0, &dated);
    assert_eq!(view.decide(5.05, 1), Decision::Refuse, "the table is not in effect yet");
    view.receive(5.1, &dated);
    assert_eq!(view.decide(5.15, 1), Decision::Accept);
    assert!(!view.is_fresh(5.3));
    assert_eq!(view.decide(5.3, 1), Decision::Refuse);
    // An older update does not renew the lease.
    view.receive(5.12, &dated);
    assert!(!view.is_fresh(5.3));
}

/// Guards against a worker that accepts a call because the table that gave it to another worker was dropped.
#[test]
fn every_worker_counts_as_previous_owner_when_tables_were_dropped_early() {
    let table =
        (0..SLOTS).fold(OwnershipTable::new(SLOTS), |table, slot| table.with_serving(Worker(slot), true));
    let mut history = TableHistory::new(TIMING.schedule_change(0.0, table), TIMING);
    let mut now = 10.0;
    for n in 0..60 {
        now += 0.01;
        history.record_change(now, Worker(2), n % 2 == 1);
    }
    now = history.newest().unwrap().effective_from + 0.01;
    for slot in 0..2 {
        let mut view = WorkerView::new(Worker(slot), TIMING);
        view.receive(now, &history);
        let others: Vec<Worker> = (0..SLOTS).map(Worker).filter(|w| *w != Worker(slot)).collect();
        assert!((0..50).all(|call| view.previous_owners(now, call) == others));
        view.receive(now + 20.0, &history);
        assert!(
            (0..50).all(|call| view.previous_owners(now + 20.0, call).is_empty()),
            "the calls of that time are over"
        );
    }
}

#[test]
fn worker_that_dies_repeatedly_is_left_out_and_reported() {
    let policy = RestartPolicy::default();
    let mut supervisor = Supervisor::new(2, policy, 0.0);
    let (mut now, mut pauses) = (0.0, Vec::new());
    assert_eq!(supervisor.tick(now).len(), 2);
    supervisor.record_serving(now, Worker(1));
    let left_out = loop {
        let actions = supervisor.record_exit(now, Worker(0), 0.5);
        if actions.contains(&Action::LeftOut(Worker(0))) {
            break pauses.len();
        }
        let Some(State::BackingOff(until)) = supervisor.state(Worker(0)) else { panic!("{actions:?}") };
        pauses.push(until - now);
        supervisor.record_message(until, Worker(1));
        assert_eq!(supervisor.tick(until - 0.001), []);
        now = until;
        assert_eq!(supervisor.tick(now), [Action::Start(Worker(0))]);
    };
    assert_eq!(left_out as u32 + 1, policy.max_consecutive_deaths);
    assert!(pauses.windows(2).all(|p| p[1] > 1.5 * p[0]), "{pauses:?}");
    supervisor.record_message(now + 1e6, Worker(1));
    assert_eq!(supervisor.tick(now + 1e6), [], "a left-out worker was started again");
    // The deaths of a worker that served for long enough are forgotten.
    assert_eq!(supervisor.record_exit(now + 1e6, Worker(1), 0.5), [Action::Lost(Worker(1))]);
    assert_eq!(supervisor.record_exit(now + 1e6, Worker(1), 0.5), [], "its exit was recorded already");
    assert_eq!(supervisor.tick(now + 1e6 + 1.0), [Action::Start(Worker(1))]);
    assert_eq!(supervisor.record_serving(now + 1e6 + 1.0, Worker(1)), [Action::Serving(Worker(1))]);
    let silent = now + 1e6 + 1.0 + policy.silence_limit_s;
    assert_eq!(supervisor.tick(silent), [Action::Kill(Worker(1))], "it is silent");
    supervisor.stop();
    assert!(!supervisor.is_finished());
    assert_eq!(supervisor.record_exit(silent, Worker(1), 0.5), [Action::Lost(Worker(1))]);
    assert!(supervisor.is_finished() && supervisor.tick(now + 2e6).is_empty());
}

proptest! {
    /// Guards against two workers that both own a call because only one of them has received a change.
    #[test]
    fn call_is_never_owned_by_both_an_old_and_a_new_table(table_age in 0.0..0.1f64, after in 0.0..0.3f64, call: u64) {
        let mut history = TableHistory::new(TIMING.schedule_change(0.0, OwnershipTable::new(2).with_serving(Worker(0), true)), TIMING);
        let (mut old, mut new) = (WorkerView::new(Worker(0), TIMING), WorkerView::new(Worker(1), TIMING));
        old.receive(10.0 - table_age, &history);
        prop_assert!(old.decide(10.0 - table_age, call) == Decision::Accept);
        history.record_change(10.0, Worker(1), true);
        let now = 10.0 + after;
        new.receive(now, &history);
        let actions = |verdict| matches!(verdict, Decision::Accept | Decision::Ask(_));
        prop_assert!(!(actions(old.decide(now, call)) && actions(new.decide(now, call))));
        // Once the new table is in effect, the new owner asks the old one for calls that it may hold.
        let verdict = new.decide(now, call);
        if after > TIMING.lease_s {
            let owner = OwnershipTable::new(2).with_serving(Worker(0), true).with_serving(Worker(1), true).owner(call);
            prop_assert_eq!(verdict == Decision::Ask(Worker(0)), owner == Some(Worker(1)));
        }
    }
}
