//! State of all calls. This is the core of the gatekeeper; it uses no sockets and knows no wire protocol.
//!
//! Each call is known by its caller's 64-bit id and by the decision module's [`CallId`]. [`Calls`] keeps the
//! call's only open attempt, its deadline and the server at which it stands, and ensures that every call gets
//! exactly one final answer. The connection layer reports what callers and servers sent; [`Calls`] reports to the
//! decision module what happened ([`Event`]) and requests work from the connection layer ([`Effect`]).

mod callers;
mod elsewhere;
mod servers;
mod types;

use std::collections::{HashMap, HashSet, VecDeque};
use std::rc::Rc;

use hollypaddle_policy::{CallId, Event, Outcome, PoolId};

pub use self::types::*;

/// Memory that a held call is counted with, in addition to its content.
const CALL_OVERHEAD_BYTES: usize = 512;
/// How long the decision module may keep a call past its deadline, in seconds. It answers the timeout in the same
/// iteration of the event loop, so this only ensures the caller's final answer if there is a bug in the gatekeeper.
const DEADLINE_SLACK_S: f64 = 0.01;
/// How long before the end of the caller's wait a call's deadline is set, in seconds. The wait starts when the caller sends
/// the set-up; if it were counted in full from when the set-up is read here, a refusal sent at the deadline would reach a
/// caller that has just given up without an answer. This is two ticks of the event loop's timer wheel, and enough for the
/// way to the caller within a zone.
const DEADLINE_LEAD_S: f64 = 0.01;
/// Largest part of the caller's wait by which the deadline is brought forward. Applies to short waits.
const MAX_DEADLINE_LEAD_RATIO: f64 = 0.1;

/// Ids that are remembered after their calls ended. An id is accepted only once, and an id that was never offered to this
/// process may belong to a call that stood through this gatekeeper before its restart.
const MAX_REMEMBERED_IDS: usize = 1 << 14;
/// Shortest time after the start during which calls from before the restart are expected, in seconds.
const MIN_EARLIER_CALLS_S: f64 = 120.0;
/// Calls from before the restart are expected for this many mean call durations: one call in 20,000 lasts longer than that.
const EARLIER_CALLS_HOLD_RATIO: f64 = 10.0;
/// Releases of calls from before the restart that are passed on in one burst. Each goes to every server, so a flood of
/// made-up ids would be multiplied by the number of servers.
const MAX_STRAY_RELEASES: f64 = 100.0;
/// Releases of calls from before the restart that are passed on per second in the long run; see [`MAX_STRAY_RELEASES`].
const STRAY_RELEASES_PER_S: f64 = 50.0;

struct Attempt {
    pool: PoolId,
    sent_at: f64,
    /// Set once the attempt is being given up: the outcome that is reported when the give-up is written.
    giving_up: Option<Outcome>,
}

enum State {
    /// The decision module has the call, and no attempt is open.
    Pending,
    /// An attempt is open at a server.
    Attempting(Attempt),
    /// A server has answered the call, on the connection `connection`. `answer_sent` is set once the answer was sent to the caller.
    Standing { pool: PoolId, connection: ServerConnection, since: f64, answer_sent: bool },
}

struct Call {
    id: u64,
    class: usize,
    origin: Origin,
    deadline: f64,
    content: Rc<Content>,
    /// Number of attempts so far. The current attempt's number is one less.
    attempts: u8,
    /// The pools that the attempts went to.
    tried: Vec<PoolId>,
    state: State,
}

impl Call {
    fn held_bytes(&self) -> usize {
        CALL_OVERHEAD_BYTES
            + self.content.number.len()
            + self.content.description.as_ref().map_or(0, Vec::len)
    }

    fn ended(&self, call: CallId, pool: PoolId, complete: bool, end: End) -> Event {
        end.event(call, pool, self.attempts.saturating_sub(1), complete)
    }

    fn is_open(&self) -> bool {
        !matches!(self.state, State::Standing { .. })
    }

    /// Whether a release from this origin may be from the call's own caller. A set-up is given up on the connection on which it
    /// came. A standing call may be released on any connection, but not before its caller was sent the answer.
    fn accepts_release_from(&self, origin: Origin) -> bool {
        self.origin == origin || matches!(self.state, State::Standing { answer_sent: true, .. })
    }
}

/// Decrements an origin's count, and removes the entry at zero.
fn decrement(of: &mut HashMap<Origin, usize>, origin: Origin) {
    if let Some(count) = of.get_mut(&origin) {
        *count -= 1;
        if *count == 0 {
            of.remove(&origin);
        }
    }
}

/// All calls of this gatekeeper.
pub struct Calls {
    /// When this gatekeeper started.
    started: f64,
    /// Limit of the memory held for calls without a final answer. New calls are rejected beyond it.
    max_held_bytes: usize,
    /// How long after the start calls from before it are expected, in seconds.
    earlier_calls_s: f64,
    /// Token bucket for releases that go to every server: the tokens left, and the time at which they were counted.
    stray_tokens: (f64, f64),
    /// Number of calls without a final answer, by origin. Origins without any have no entry.
    open_by_origin: HashMap<Origin, usize>,
    /// Number of standing calls, by the origin whose caller is told of their end. Origins without any have no entry.
    standing_by_origin: HashMap<Origin, usize>,
    calls: HashMap<CallId, Call>,
    calls_by_id: HashMap<u64, CallId>,
    last_call: CallId,
    held_bytes: usize,
    /// The ids that were offered most recently since the start, and the same ids ordered from the oldest.
    offered_ids: HashSet<u64>,
    offered_order: VecDeque<u64>,
    /// Standing calls of gatekeepers that are gone, whose ends this gatekeeper handles: the pool of each, by id.
    adopted: HashMap<u64, PoolId>,
    /// Changes since they were last taken. `None` while changes are not recorded.
    changes: Option<Vec<CallChange>>,
    /// Events that the decision module has not handled yet.
    pub events: Vec<Event>,
    /// Work that the connection layer has not done yet.
    pub effects: Vec<Effect>,
    /// Calls whose offer is among the events.
    queued_offers: HashSet<CallId>,
    /// Whether the events and effects contain offers and timers of calls that were given up since; see
    /// [`Calls::remove_withdrawn`].
    has_withdrawn: bool,
    /// Set-ups that were written to servers completely. Counted by the connection layer.
    pub forwards: u64,
    /// Calls whose server was replaced at its address: those that moved to the new entry of its list, and those that were cut as
    /// nothing showed that the new process holds them.
    pub replaced: ReplacedCalls,
}

impl Calls {
    /// Starts without calls at the time `now`, in seconds. Calls without a final answer may take up `max_held_bytes`.
    pub fn new(now: f64, max_held_bytes: usize) -> Self {
        Calls {
            started: now,
            max_held_bytes,
            earlier_calls_s: MIN_EARLIER_CALLS_S,
            stray_tokens: (MAX_STRAY_RELEASES, now),
            open_by_origin: HashMap::new(),
            standing_by_origin: HashMap::new(),
            calls: HashMap::new(),
            calls_by_id: HashMap::new(),
            last_call: 0,
            held_bytes: 0,
            offered_ids: HashSet::new(),
            offered_order: VecDeque::new(),
            adopted: HashMap::new(),
            changes: None,
            events: Vec::new(),
            effects: Vec::new(),
            queued_offers: HashSet::new(),
            has_withdrawn: false,
            forwards: 0,
            replaced: ReplacedCalls::default(),
        }
    }

    /// Sets the mean duration of a standing call, in seconds, or `None` if it is not known.
    pub fn set_mean_call_duration(&mut self, hold: Option<f64>) {
        self.earlier_calls_s = hold
            .map_or(MIN_EARLIER_CALLS_S, |hold| (EARLIER_CALLS_HOLD_RATIO * hold).max(MIN_EARLIER_CALLS_S));
    }

    /// The number of an origin's calls that wait for their final answer.
    pub fn open_count(&self, origin: Origin) -> usize {
        self.open_by_origin.get(&origin).copied().unwrap_or(0)
    }

    /// Whether a reply to an origin's caller is still pending in this iteration of the event loop.
    pub fn has_pending_reply(&self, origin: Origin) -> bool {
        let owed = |effect: &Effect| matches!(effect, Effect::Reply { origin: to, .. } if *to == origin);
        self.effects.iter().any(owed)
    }

    /// The ids of an origin's calls that wait for their final answer, in ascending order.
    pub fn open_ids(&self, origin: Origin) -> Vec<u64> {
        if self.open_count(origin) == 0 {
            return Vec::new();
        }
        let open = |c: &&Call| c.origin == origin && c.is_open();
        let mut ids: Vec<u64> = self.calls.values().filter(open).map(|c| c.id).collect();
        ids.sort_unstable();
        ids
    }

    /// Stops counting a call that got its final answer or no longer needs one.
    fn remove_open(&mut self, origin: Origin, bytes: usize) {
        self.held_bytes -= bytes;
        decrement(&mut self.open_by_origin, origin);
    }

    /// The number of an origin's standing calls.
    pub fn standing_count(&self, origin: Origin) -> usize {
        self.standing_by_origin.get(&origin).copied().unwrap_or(0)
    }

    /// Whether there is a standing call whose origin doesn't satisfy `here`, or one adopted from another gatekeeper.
    pub fn has_standing_call_outside(&self, here: impl Fn(Origin) -> bool) -> bool {
        !self.adopted.is_empty() || self.standing_by_origin.keys().any(|origin| !here(*origin))
    }

    /// The number of calls that still need their final answer, and the number of standing calls.
    pub fn count(&self) -> (usize, usize) {
        let standing = self.standing_by_origin.values().sum::<usize>();
        (self.calls.len() - standing, standing)
    }

    /// Accepts a call from a caller.
    ///
    /// # Errors
    ///
    /// Fails if a call with this id came before, or if too many calls are held. Nothing has changed then.
    pub fn offer(&mut self, now: f64, origin: Origin, request: Request) -> Result<(), OfferError> {
        let Request { id, class, wait, dialled, first_choice, content } = request;
        // An id is accepted only once, because servers and callers identify a call by its id alone.
        match self.calls_by_id.get(&id).and_then(|call| self.calls.get(call)) {
            Some(first) if first.origin == origin => return Err(OfferError::DuplicateId),
            _ if self.is_known(id) => return Err(OfferError::KnownId),
            _ => {}
        }
        if self.held_bytes > self.max_held_bytes {
            return Err(OfferError::TooManyHeld);
        }
        self.last_call = self.last_call.wrapping_add(1);
        let wait = wait - DEADLINE_LEAD_S.min(MAX_DEADLINE_LEAD_RATIO * wait);
        let (call, deadline) = (self.last_call, now + wait);
        let content = Rc::new(content);
        let (attempts, tried, state) = (0, Vec::new(), State::Pending);
        let new = Call { id, class, origin, deadline, content, attempts, tried, state };
        self.held_bytes += new.held_bytes();
        *self.open_by_origin.entry(origin).or_default() += 1;
        self.calls.insert(call, new);
        self.calls_by_id.insert(id, call);
        self.remember_id(id);
        self.effects.push(Effect::DeadlineTimer { call, at: deadline });
        self.queued_offers.insert(call);
        self.events.push(Event::Call { call, class, tenant: 0, time_left: wait, dialled, first_choice });
        Ok(())
    }

    /// Whether a call, as the decision module knows it, has no final answer yet.
    pub fn awaits_answer(&self, call: CallId) -> bool {
        self.calls.get(&call).is_some_and(Call::is_open)
    }

    /// Removes and returns the events that the decision module has not handled yet.
    pub fn take_events(&mut self) -> Vec<Event> {
        self.remove_withdrawn();
        self.queued_offers.clear();
        std::mem::take(&mut self.events)
    }

    /// Removes and returns the work that the connection layer has not done yet.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        self.remove_withdrawn();
        std::mem::take(&mut self.effects)
    }

    /// Removes the offers and the deadline timers of calls that were given up before the decision module handled their offer. All of
    /// them are removed together: a search for each one would take time that grows with the square of their number.
    fn remove_withdrawn(&mut self) {
        if !std::mem::take(&mut self.has_withdrawn) {
            return;
        }
        let calls = &self.calls;
        self.events.retain(|event| !matches!(event, Event::Call { call, .. } if !calls.contains_key(call)));
        self.effects.retain(
            |effect| !matches!(effect, Effect::DeadlineTimer { call, .. } if !calls.contains_key(call)),
        );
    }

    /// Whether a call with this id came earlier, as far as ids are remembered.
    pub fn is_known(&self, id: u64) -> bool {
        self.calls_by_id.contains_key(&id) || self.offered_ids.contains(&id) || self.adopted.contains_key(&id)
    }

    /// Remembers an id until [`MAX_REMEMBERED_IDS`] newer ones have come.
    fn remember_id(&mut self, id: u64) {
        if self.offered_ids.insert(id) {
            self.offered_order.push_back(id);
        }
        if self.offered_order.len() > MAX_REMEMBERED_IDS {
            self.offered_order.pop_front().map(|old| self.offered_ids.remove(&old));
        }
    }

    fn remove(&mut self, call: CallId) -> Option<Call> {
        let removed = self.calls.remove(&call)?;
        self.calls_by_id.remove(&removed.id);
        if removed.is_open() {
            self.remove_open(removed.origin, removed.held_bytes());
        } else {
            decrement(&mut self.standing_by_origin, removed.origin);
            self.record_change(CallChange::Ended { id: removed.id });
        }
        Some(removed)
    }

    fn push_command(&mut self, pool: PoolId, id: u64, command: Command) {
        self.effects.push(Effect::Command { pool, id, command });
    }

    // ---- Actions of the decision module

    /// Starts an attempt at a pool, with a time limit in seconds. A limit of 0 means the caller's deadline.
    pub fn start_attempt(&mut self, now: f64, call: CallId, pool: PoolId, limit: f64) {
        let Some(c) = self.calls.get_mut(&call) else {
            // The caller gave up while the module decided. The module counts this attempt as open until its end is
            // reported, and a set-up that stays open makes a pool look as if it no longer answers.
            let end = End::with_outcome(Outcome::NotSent);
            return self.events.push(end.event(call, pool, 0, true));
        };
        if !matches!(c.state, State::Pending) {
            return log::error!(call:% = format_args!("{:016x}", c.id); "module-sent-a-call-not-held");
        }
        let attempt = c.attempts;
        c.attempts = attempt.saturating_add(1);
        // The timer of the caller's deadline is already set, so only a shorter limit needs one.
        let until = if limit > 0.0 { c.deadline.min(now + limit) } else { c.deadline };
        if now >= until {
            self.events.push(c.ended(call, pool, false, End::with_outcome(Outcome::NotSent)));
            return;
        }
        c.state = State::Attempting(Attempt { pool, sent_at: now, giving_up: None });
        c.tried.push(pool);
        let (id, class, content) = (c.id, c.class, Rc::clone(&c.content));
        if until < c.deadline {
            self.effects.push(Effect::AttemptTimer { call, attempt, at: until });
        }
        self.push_command(pool, id, Command::SetUp { class, until, content });
    }

    /// Gives up an attempt. It ends when the give-up is written; see [`Calls::give_up_written`].
    pub fn cancel(&mut self, call: CallId, attempt: u8) {
        self.give_up_attempt(call, attempt, Outcome::Cancelled);
    }

    /// Handles the end of an attempt's own time limit.
    pub fn attempt_timed_out(&mut self, call: CallId, attempt: u8) {
        self.give_up_attempt(call, attempt, Outcome::Timeout);
    }

    fn give_up_attempt(&mut self, call: CallId, attempt: u8, outcome: Outcome) {
        let Some(c) = self.calls.get_mut(&call) else { return };
        if let State::Attempting(Attempt { pool, giving_up: giving_up @ None, .. }) = &mut c.state {
            if c.attempts == attempt.saturating_add(1) {
                *giving_up = Some(outcome);
                let (pool, id) = (*pool, c.id);
                self.push_command(pool, id, Command::GiveUp);
            }
        }
    }

    /// Gives the call its final answer: refused. The caller may try again after `retry_after` seconds.
    pub fn refuse(&mut self, call: CallId, retry_after: f64) {
        self.send_final_answer(call, Reply::Refused(retry_after));
    }

    /// Gives the call its final answer: failed.
    pub fn fail(&mut self, call: CallId) {
        self.send_final_answer(call, Reply::Failed);
    }

    fn send_final_answer(&mut self, call: CallId, reply: Reply) {
        // A standing call has already had its final answer.
        if self.calls.get(&call).is_some_and(|c| !c.is_open()) {
            return;
        }
        let Some(removed) = self.remove(call) else { return };
        self.give_up_removed(call, &removed);
        self.effects.push(Effect::Reply {
            origin: removed.origin,
            id: removed.id,
            class: removed.class,
            reply,
        });
    }

    /// Gives up the attempt of a call that was removed, unless it is already being given up. The decision module counts the
    /// open attempts of each pool, so this end is reported to it too.
    fn give_up_removed(&mut self, call: CallId, removed: &Call) {
        if let State::Attempting(Attempt { pool, giving_up, .. }) = removed.state {
            if giving_up.is_none() {
                self.push_command(pool, removed.id, Command::GiveUp);
            }
            let end = End::with_outcome(giving_up.unwrap_or(Outcome::Cancelled));
            self.events.push(removed.ended(call, pool, true, end));
        }
    }

    // ---- Timers

    /// Handles a caller's deadline. The timeout of an open attempt is reported to the decision module, which answers it
    /// within `DEADLINE_SLACK_S`; a call that is still pending after that fails here.
    pub fn deadline_passed(&mut self, now: f64, call: CallId) {
        let Some(c) = self.calls.get_mut(&call) else { return };
        match std::mem::replace(&mut c.state, State::Pending) {
            State::Attempting(Attempt { pool, giving_up, .. }) => {
                let id = c.id;
                self.events.push(c.ended(call, pool, false, End::with_outcome(Outcome::Timeout)));
                self.effects.push(Effect::DeadlineTimer { call, at: now + DEADLINE_SLACK_S });
                if giving_up.is_none() {
                    self.push_command(pool, id, Command::GiveUp);
                }
            }
            State::Pending => {
                self.events.push(Event::Abandoned { call });
                self.fail(call);
            }
            standing => c.state = standing,
        }
    }

    /// Answers all calls that have no final answer, before the program ends. A call is refused for `stay_away` seconds, or
    /// fails if an attempt may have reached a server and its class may not be repeated, because a refused caller tries
    /// again.
    pub fn answer_all(&mut self, repeatable: impl Fn(usize) -> bool, stay_away: f64) {
        self.answer_open(|_| true, repeatable, stay_away);
    }

    /// Answers the calls of one origin in the same way, before its connection is closed.
    pub fn answer_origin(&mut self, origin: Origin, repeatable: impl Fn(usize) -> bool, stay_away: f64) {
        self.answer_open(|from| from == origin, repeatable, stay_away);
    }

    fn answer_open(
        &mut self,
        matches: impl Fn(Origin) -> bool,
        repeatable: impl Fn(usize) -> bool,
        stay_away: f64,
    ) {
        let open = |(_, c): &(&CallId, &Call)| matches(c.origin) && c.is_open();
        let mut all: Vec<(CallId, bool)> = (self.calls.iter().filter(open))
            .map(|(call, c)| (*call, c.attempts == 0 || repeatable(c.class)))
            .collect();
        all.sort_unstable();
        for (call, may_refuse) in all {
            self.events.push(Event::Abandoned { call });
            match may_refuse {
                true => self.refuse(call, stay_away),
                false => self.fail(call),
            }
        }
    }

    /// Cuts the standing calls whose origin satisfies `matches`, because nobody could report their end later. Their servers
    /// and callers are told now. Returns the number of calls.
    pub fn cut_standing(&mut self, matches: impl Fn(Origin) -> bool) -> usize {
        let standing = |(call, c): (&CallId, &Call)| match c.state {
            State::Standing { pool, .. } if matches(c.origin) => Some((*call, pool, c.id)),
            _ => None,
        };
        let mut all: Vec<(CallId, PoolId, u64)> = self.calls.iter().filter_map(standing).collect();
        all.sort_unstable();
        for &(call, pool, id) in &all {
            // `Cancelled`, because the cut must not count against the server.
            self.end_standing(call, pool, End::with_outcome(Outcome::Cancelled));
            self.push_command(pool, id, Command::Release);
        }
        all.len()
    }
}

#[cfg(test)]
mod tests;
