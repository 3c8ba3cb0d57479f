use super::*;
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};

const POOLS: u64 = 2;

/// What the model holds of one call: what its caller may still be told, and the attempt out.
#[derive(Default)]
struct Model {
    answered: bool,
    over: bool,
    abandoned: bool,
    out: Option<PoolId>,
    standing: Option<PoolId>,
    tried: BTreeSet<PoolId>,
    /// Attempts begun, and those whose end the module was told.
    attempts: u8,
    ended: u8,
}

struct Bench {
    calls: Calls,
    now: f64,
    models: BTreeMap<u64, Model>,
}

impl Bench {
    /// Checks all that the core says since the last step.
    fn settle(&mut self) {
        for effect in std::mem::take(&mut self.calls.effects) {
            match effect {
                Effect::Caller { id, reply, .. } => {
                    let m = self.models.get_mut(&id).expect("a reply to a call never offered");
                    assert!(!m.abandoned && !m.over, "a reply to a caller that waits for none");
                    match reply {
                        Reply::Over { .. } => {
                            assert!(m.answered, "over before it stood");
                            (m.over, m.standing) = (true, None);
                        }
                        reply => {
                            assert!(!m.answered, "a second final answer");
                            m.answered = true;
                            m.over = !matches!(reply, Reply::Stands(_));
                        }
                    }
                }
                Effect::Server { pool, id, order } => {
                    let Some(m) = self.models.get_mut(&id) else {
                        assert_eq!(order, Order::Release, "an order for a call never offered");
                        continue;
                    };
                    match order {
                        Order::SetUp { until, .. } => {
                            assert!(until > self.now && m.out.is_none() && m.standing.is_none());
                            assert!(!m.answered && !m.abandoned, "sent after its final answer");
                            m.out = Some(pool);
                            m.tried.insert(pool);
                            m.attempts += 1;
                        }
                        Order::GiveUp => assert_eq!(m.out.take(), Some(pool), "nothing to give up"),
                        Order::Release => m.standing = m.standing.filter(|at| *at != pool),
                    }
                }
                Effect::Stray { .. } | Effect::EndOfUnknown { .. } | Effect::ReleaseOfUnknown { .. } => {
                    panic!("every call of this test was offered")
                }
                Effect::Deadline { .. } | Effect::Limit { .. } => {}
            }
        }
        for event in std::mem::take(&mut self.calls.events) {
            let Event::Ended { call, attempt, .. } = event else { continue };
            let m = self.models.get_mut(&u64::from(call)).expect("the end of a call never offered");
            assert_eq!(attempt, m.ended, "the module is told of each end once, in order");
            m.ended += 1;
        }
    }

    /// Ends the attempt that is out, by one of the ways in which a server's side can.
    fn end_attempt(&mut self, id: u64, pool: PoolId, how: u8) {
        if let Some(m) = self.models.get_mut(&id).filter(|m| m.out == Some(pool)) {
            m.out = None;
        }
        match how {
            0 => self.calls.never_ran(pool, id),
            1 => self.calls.reset(pool, id),
            2 => self.calls.ended(self.now, pool, id, End::of(Outcome::Full)),
            _ => self.calls.ended(self.now, pool, id, End::of(Outcome::Done)),
        }
    }

    fn step(&mut self, what: u8, id: u64, pool: PoolId) {
        // The core numbers calls as they come, and so does the model.
        let (call, origin) = (id as CallId, (id % 3) as Origin);
        let m = self.models.entry(id).or_default();
        match what {
            0 | 1 => {
                let gone = !self.calls.calls.contains_key(&call);
                self.calls.send(self.now, call, pool, if what == 0 { 0.0 } else { 1.0 });
                if gone {
                    let end = End::of(Outcome::NotSent).event(call, pool, 0, true);
                    assert_eq!(self.calls.events, [end], "the module counts what it sent");
                    self.calls.events.clear();
                }
            }
            2 => self.calls.cancel(call, m.attempts.saturating_sub(1)),
            3 => self.calls.limit(call, m.attempts.saturating_sub(1)),
            4 => self.calls.refuse(call, 0.5),
            5 => self.calls.fail(call),
            6 => self.calls.deadline(self.now, call),
            7 => {
                m.abandoned = true;
                self.calls.caller_release(self.now, id);
            }
            8 => {
                let lost = |id: &u64, m: &Model| (*id % 3) as Origin == origin && !m.answered;
                for (id, m) in &mut self.models {
                    m.abandoned |= lost(id, m);
                }
                self.calls.origin_lost(self.now, origin);
            }
            9..=11 => {
                let stands = m.out == Some(pool);
                if stands {
                    (m.out, m.standing) = (None, Some(pool));
                }
                let gone = !self.calls.calls.contains_key(&call);
                let crossed = m.standing != Some(pool) && (gone || m.tried.contains(&pool));
                self.calls.stood(self.now, pool, id, None);
                let release = Effect::Server { pool, id, order: Order::Release };
                assert_eq!(self.calls.effects.contains(&release), crossed, "an answer that crossed");
            }
            12..=15 => self.end_attempt(id, pool, what - 12),
            16 => self.calls.gave_up(pool, id),
            _ => drop(self.calls.cut(pool, self.now, what == 17)),
        }
    }
}

#[test]
fn what_stood_before_a_restart_is_ended_for_both_sides() {
    let mut calls = Calls::new(0.0, 0);
    calls.ended(1.0, PoolId(1), 7, End::of(Outcome::Done));
    let reply = Reply::Over { cut: false };
    assert_eq!(calls.effects, [Effect::Caller { origin: NO_ORIGIN, id: 7, class: NO_CLASS, reply }]);
    calls.effects.clear();
    calls.ended(1.5, PoolId(1), 7, End::of(Outcome::Done));
    assert_eq!(calls.effects, [], "once, though the server says it again");
    calls.caller_release(1.0, 8);
    assert_eq!(calls.effects, [Effect::Stray { id: 8 }]);
    calls.effects.clear();
    // A refusal belongs to no call that stood.
    calls.ended(1.0, PoolId(1), 9, End::of(Outcome::Full));
    assert_eq!(calls.effects, []);
    // Made-up ids are not multiplied by the servers without end, nor believed for ever.
    (100..1100).for_each(|id| calls.caller_release(1.0, id));
    assert_eq!(calls.effects.len(), STRAYS as usize - 1);
    calls.caller_release(EARLIER, 9);
    calls.ended(EARLIER, PoolId(1), 9, End::of(Outcome::Done));
    assert_eq!(calls.effects.len(), STRAYS as usize - 1);
    // Where calls stand for minutes, one from before the start may stand for as long.
    calls.effects.clear();
    calls.calls_last(Some(60.0));
    calls.ended(EARLIER + 1.0, PoolId(1), 10, End::of(Outcome::Done));
    assert_eq!(calls.effects.len(), 1);
}

fn request(id: u64) -> Request {
    Request { id, class: 0, wait: 30.0, dialled: id, first_choice: 0, content: Content::default() }
}

/// Guards against a flood that ranks and outnumbers the calls of others, and against a pool that
/// looks stopped because an attempt that never left is counted as out.
#[test]
fn a_call_taken_back_at_once_leaves_no_trace_with_the_module() {
    let mut calls = Calls::new(0.0, 1 << 20);
    calls.offer(0.0, 1, request(1)).unwrap();
    calls.caller_release(0.0, 1);
    assert!(calls.events.is_empty() && calls.effects.is_empty() && calls.held_bytes == 0);
    calls.send(0.0, 1, PoolId(1), 0.0);
    assert_eq!(calls.events, [End::of(Outcome::NotSent).event(1, PoolId(1), 0, true)]);
}

/// Guards against two calls that servers and callers could not tell apart, and against a set-up sent
/// again before the release time by way of the caller.
#[test]
fn an_id_is_taken_once() {
    let mut calls = Calls::new(0.0, 1 << 20);
    calls.offer(0.0, 1, request(7)).unwrap();
    assert_eq!(calls.offer(0.0, 1, request(7)), Err(NotTaken::Repeated));
    assert_eq!(calls.offer(0.0, 2, request(7)), Err(NotTaken::Known));
    assert_eq!((calls.open_from(1), calls.open_from(2)), (1, 0));
    calls.refuse(1, 0.0);
    assert_eq!(calls.offer(0.0, 1, request(7)), Err(NotTaken::Known));
    // Answers ahead are neither passed on nor remembered, nor is anything released for them.
    calls.effects.clear();
    calls.stood(0.0, PoolId(1), 8, None);
    assert_eq!((calls.effects.len(), calls.offer(0.0, 1, request(8))), (0, Ok(())));
    calls.send(0.0, 2, PoolId(1), 0.0);
    calls.effects.clear();
    calls.stood(0.0, PoolId(2), 8, None);
    assert_eq!(calls.effects, []);
}

proptest! {
    /// Random steps of callers, servers, time and module against a model of each call.
    #[test]
    fn each_call_has_one_attempt_out_and_one_final_answer(
        steps in prop::collection::vec((0u8..19, 1u64..8, 0..POOLS), 1..150),
    ) {
        let mut bench = Bench { calls: Calls::new(0.0, 1 << 20), now: 0.0, models: BTreeMap::new() };
        for id in 1..8 {
            prop_assert_eq!(bench.calls.offer(0.0, (id % 3) as Origin, request(id)), Ok(()));
            bench.models.insert(id, Model::default());
        }
        bench.settle();
        for (what, id, pool) in steps {
            bench.now += 0.1;
            bench.step(what, id, PoolId(pool));
            bench.settle();
        }
        // Past the deadline every call gets its answer, whatever the module does.
        for id in (1..8).chain(1..8) {
            bench.calls.deadline(40.0, id as CallId);
            bench.settle();
        }
        let open: BTreeSet<u64> =
            bench.models.iter().filter(|(_, m)| !m.answered && !m.abandoned).map(|(id, _)| *id).collect();
        prop_assert_eq!(open, BTreeSet::new());
        prop_assert_eq!(bench.calls.count().0, 0);
        prop_assert_eq!((bench.calls.held_bytes, bench.calls.open.len()), (0, 0));
        prop_assert_eq!(bench.models.values().filter(|m| m.standing.is_some()).count(), bench.calls.count().1);
        for m in bench.models.values() {
            let standing = u8::from(m.standing.is_some());
            prop_assert_eq!(m.attempts, m.ended + standing, "each attempt ends once");
        }
    }
}
