//! State of all calls. This is the core of the gatekeeper; it uses no sockets and knows no wire protocol.
//!
//! Each call is known by its caller's 64-bit id and by the decision module's [`CallId`]. [`Calls`] keeps the
//! call's only open attempt, its deadline and the server at which it stands, and ensures that every call gets
//! exactly one final answer. The connection layer reports what callers and servers sent; [`Calls`] reports to the
//! decision module what happened ([`Event`]) and requests work from the connection layer ([`Effect`]).

use std::collections::{HashMap, HashSet, VecDeque};
use std::fmt;
use std::rc::Rc;

use hollypaddle_policy::{CallId, Cause, Event, Outcome, PoolId, Report};

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
/// The origin of a call from before a restart or of another gatekeeper: a reply may go out on any connection.
pub const ANY_ORIGIN: Origin = 0;
/// The class of a call from before a restart or of another gatekeeper, which is not known.
pub const UNKNOWN_CLASS: usize = usize::MAX;

/// Identifies the connection on which a call came. Only the connection layer interprets it.
pub type Origin = usize;

/// The parts of a set-up that are passed to the server unchanged.
#[derive(Debug, Default, PartialEq)]
pub struct Content {
    /// The number dialled, as it was received.
    pub number: Vec<u8>,
    /// The session description, if there is one.
    pub description: Option<Vec<u8>>,
}

/// A call as its caller offers it.
#[derive(Debug)]
pub struct Request {
    /// The caller's id of the call.
    pub id: u64,
    /// Class of the call, as an index into the settings.
    pub class: usize,
    /// How long the caller waits for a final answer, in seconds.
    pub wait: f64,
    /// The number dialled, in the form that the decision module uses.
    pub dialled: u64,
    /// Number of the pool of first choice.
    pub first_choice: u32,
    /// The parts that are passed to the server unchanged.
    pub content: Content,
}

/// Why an offered call was not accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OfferError {
    /// A call with this id came earlier: on another connection, or it has already ended.
    KnownId,
    /// A call with this id came on the same connection and has not ended. The caller would mistake every reply to the
    /// second call for one to the first.
    DuplicateId,
    /// The calls that wait for their final answer take up all the memory allowed for them.
    TooManyHeld,
}

impl fmt::Display for OfferError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            OfferError::KnownId => write!(f, "a call with this id was offered before"),
            OfferError::DuplicateId => write!(f, "a call with this id is still open on this connection"),
            OfferError::TooManyHeld => write!(f, "the memory for calls without a final answer is used up"),
        }
    }
}

impl std::error::Error for OfferError {}

/// A reply to a caller.
#[derive(Clone, Debug, PartialEq)]
#[expect(missing_docs, reason = "the comments on the variants describe their fields")]
pub enum Reply {
    /// The call is established, with the server's session description if it gave one.
    Established(Option<Vec<u8>>),
    /// The call is refused. The caller may safely try again after this many seconds.
    Refused(f64),
    /// The call failed.
    Failed,
    /// A standing call has ended normally, or was cut.
    Ended { cut: bool },
}

/// A command to a server, concerning one call.
#[derive(Clone, Debug, PartialEq)]
#[expect(missing_docs, reason = "the comments on the variants describe their fields")]
pub enum Command {
    /// Set up the call. An answer is of use until the time `until`, in seconds.
    SetUp { class: usize, until: f64, content: Rc<Content> },
    /// The set-up is given up.
    GiveUp,
    /// The standing call is released.
    Release,
}

/// Work for the connection layer.
#[derive(Clone, Debug, PartialEq)]
#[expect(missing_docs, reason = "the comments on the variants describe their fields")]
pub enum Effect {
    /// Send a reply to a caller. `class` is the call's class, for the metrics, or [`UNKNOWN_CLASS`] for a call from
    /// before a restart or of another gatekeeper.
    Reply { origin: Origin, id: u64, class: usize, reply: Reply },
    /// Send a command to a server.
    Command { pool: PoolId, id: u64, command: Command },
    /// Release a call at every server, because the server at which it stands is not known.
    ReleaseEverywhere { id: u64 },
    /// A server ended a call that is not known here. Only reported while changes are recorded. `may_predate_start` is set
    /// if the call may have stood through this gatekeeper before a restart.
    UnknownCallEnded { pool: PoolId, id: u64, cut: bool, may_predate_start: bool },
    /// A caller released a call that is not known here. Only reported while changes are recorded. `release_everywhere` is
    /// set if it may be released at every server.
    UnknownCallReleased { id: u64, release_everywhere: bool },
    /// Call [`Calls::deadline_passed`] at the time `at`.
    DeadlineTimer { call: CallId, at: f64 },
    /// Call [`Calls::attempt_timed_out`] at the time `at`.
    AttemptTimer { call: CallId, attempt: u8, at: f64 },
}

/// How a server ended an attempt or a call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct End {
    /// How it ended.
    pub outcome: Outcome,
    /// Why the server rejected the set-up.
    pub cause: Cause,
    /// How long an overloaded server asks not to be sent set-ups, in seconds.
    pub wait: Option<f64>,
    /// The server's load report.
    pub report: Report,
}

impl End {
    /// An end of which only the outcome is known.
    pub fn with_outcome(outcome: Outcome) -> Self {
        End { outcome, cause: Cause::Unknown, wait: None, report: Report::default() }
    }

    fn event(self, call: CallId, pool: PoolId, attempt: u8, complete: bool) -> Event {
        let End { outcome, cause, wait, report } = self;
        Event::Ended { call, pool, attempt, complete, outcome, cause, retry_after: wait, report }
    }
}

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
    /// A server has answered the call. `answer_sent` is set once the answer was sent to the caller.
    Standing { pool: PoolId, since: f64, answer_sent: bool },
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

/// A change of a standing call that is reported to other gatekeepers.
#[derive(Clone, Copy, Debug, PartialEq)]
#[expect(missing_docs, reason = "the comments on the variants describe their fields")]
pub enum CallChange {
    /// The call has been standing since the time `since`.
    Established { id: u64, class: usize, pool: PoolId, since: f64 },
    /// The call has ended.
    Ended { id: u64 },
}

/// A standing call of another gatekeeper that is gone. This gatekeeper handles its end.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Adopted {
    pool: PoolId,
    since: f64,
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
    /// Standing calls of gatekeepers that are gone, by id.
    adopted: HashMap<u64, Adopted>,
    /// Changes since they were last taken. `None` while changes are not recorded.
    changes: Option<Vec<CallChange>>,
    /// Events that the decision module has not handled yet.
    pub events: Vec<Event>,
    /// Work that the connection layer has not done yet.
    pub effects: Vec<Effect>,
    /// Set-ups that were written to servers completely. Counted by the connection layer.
    pub forwards: u64,
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
            forwards: 0,
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
        self.events.push(Event::Call { call, class, tenant: 0, time_left: wait, dialled, first_choice });
        Ok(())
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

    // ---- Changes for other gatekeepers, and calls adopted from them

    /// Starts or stops recording changes of standing calls. At the start the calls that stand now are recorded; at the
    /// stop the adopted calls are forgotten.
    pub fn record_changes(&mut self, on: bool) {
        self.changes = on.then(Vec::new);
        let standing: Vec<CallChange> = (self.calls.values())
            .filter_map(|c| match c.state {
                State::Standing { pool, since, .. } => {
                    Some(CallChange::Established { id: c.id, class: c.class, pool, since })
                }
                _ => None,
            })
            .collect();
        standing.into_iter().for_each(|change| self.record_change(change));
        if !on {
            self.adopted.clear();
        }
    }

    fn record_change(&mut self, change: CallChange) {
        if let Some(changes) = &mut self.changes {
            changes.push(change);
        }
    }

    /// Returns the changes since the last call of this function.
    pub fn take_changes(&mut self) -> Vec<CallChange> {
        self.changes.as_mut().map(std::mem::take).unwrap_or_default()
    }

    /// Takes over a standing call of a gatekeeper that is gone: its end is handled here from now on. Has no effect if this
    /// gatekeeper has a call with the same id.
    pub fn adopt(&mut self, id: u64, pool: PoolId, since: f64) {
        if !self.calls_by_id.contains_key(&id) {
            self.adopted.insert(id, Adopted { pool, since });
        }
    }

    /// Drops an adopted call: another gatekeeper handles it again, or it has ended and its caller knows.
    pub fn drop_adopted(&mut self, id: u64) {
        self.adopted.remove(&id);
    }

    /// Removes a standing call of this gatekeeper whose caller was told of the end by another gatekeeper. Sends nothing.
    pub fn ended_elsewhere(&mut self, id: u64) {
        let standing = |c: &Call| match c.state {
            State::Standing { pool, .. } => Some(pool),
            _ => None,
        };
        let Some(call) = self.calls_by_id.get(&id).copied() else { return };
        if let Some(pool) = self.calls.get(&call).and_then(standing) {
            if let Some(removed) = self.remove(call) {
                self.events.push(removed.ended(call, pool, true, End::with_outcome(Outcome::Done)));
            }
        }
    }

    /// The number of adopted calls.
    pub fn adopted_count(&self) -> usize {
        self.adopted.len()
    }

    /// Records that a caller released a standing call of another gatekeeper.
    pub fn released_elsewhere(&mut self, id: u64) {
        self.record_change(CallChange::Ended { id });
    }

    /// Reports the end of a call that is not known here to its caller, on any connection. Has no effect on an open call of this
    /// gatekeeper: its caller would take the end for the final answer.
    pub fn report_end(&mut self, id: u64, cut: bool) {
        if self.is_open(id) {
            return;
        }
        self.adopted.remove(&id);
        self.record_change(CallChange::Ended { id });
        let reply = Reply::Ended { cut };
        self.effects.push(Effect::Reply { origin: ANY_ORIGIN, id, class: UNKNOWN_CLASS, reply });
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

    // ---- Messages from callers

    /// Handles a release that came on the connection `origin`: it gives up a set-up of that connection, or ends a standing call of
    /// any. The open set-up of another connection is left alone, as its caller still waits for the final answer.
    pub fn caller_release(&mut self, now: f64, origin: Origin, id: u64) {
        let Some(call) = self.calls_by_id.get(&id).copied() else {
            return self.release_unknown_call(now, id);
        };
        if self.calls.get(&call).is_some_and(|c| c.accepts_release_from(origin)) {
            self.release(call);
        } else {
            log::debug!(call:% = format_args!("{id:016x}"), caller = origin; "release-ignored");
        }
    }

    /// Handles that a caller was sent the answer that establishes its call.
    pub fn answer_sent(&mut self, id: u64) {
        let call = self.calls_by_id.get(&id).and_then(|call| self.calls.get_mut(call));
        if let Some(State::Standing { answer_sent, .. }) = call.map(|c| &mut c.state) {
            *answer_sent = true;
        }
    }

    /// Handles that the answer could not be sent, because the caller left before it: the call is released at its server.
    pub fn answer_not_sent(&mut self, id: u64) {
        if let Some(call) = self.calls_by_id.get(&id).copied() {
            self.release(call);
        }
    }

    /// Removes a call that its caller gave up or ended, and tells its server and the decision module.
    fn release(&mut self, call: CallId) {
        let Some(removed) = self.remove(call) else { return };
        // The call was given up before the module handled it, so it is neither decided nor counted. Otherwise a flood of
        // such calls would be ranked with other callers' calls and outnumber them.
        let queued_offer = |e: &Event| matches!(e, Event::Call { call: new, .. } if *new == call);
        if let Some(at) = self.events.iter().rposition(queued_offer) {
            self.events.remove(at);
            let timer = |e: &Effect| matches!(e, Effect::DeadlineTimer { call: new, .. } if *new == call);
            if let Some(at) = self.effects.iter().rposition(timer) {
                self.effects.remove(at);
            }
            return;
        }
        match removed.state {
            State::Standing { pool, .. } => {
                self.push_command(pool, removed.id, Command::Release);
                self.events.push(removed.ended(call, pool, true, End::with_outcome(Outcome::Cancelled)));
            }
            State::Attempting(_) | State::Pending => {
                self.events.push(Event::Abandoned { call });
                self.give_up_removed(call, &removed);
            }
        }
    }

    /// Handles the release of a call that is not one of this process: an adopted call, or possibly one that stood through this
    /// gatekeeper before a restart. The server of the latter is not known.
    fn release_unknown_call(&mut self, now: f64, id: u64) {
        if let Some(adopted) = self.adopted.remove(&id) {
            self.record_change(CallChange::Ended { id });
            return self.push_command(adopted.pool, id, Command::Release);
        }
        let release_everywhere = self.may_predate_start(now, id) && self.take_stray_token(now);
        match self.changes.is_some() {
            true => self.effects.push(Effect::UnknownCallReleased { id, release_everywhere }),
            false if release_everywhere => self.effects.push(Effect::ReleaseEverywhere { id }),
            false => {}
        }
    }

    /// Takes a token for a release that goes to every server; returns whether there was one.
    fn take_stray_token(&mut self, now: f64) -> bool {
        let (left, at) = self.stray_tokens;
        let left = (left + (now - at) * STRAY_RELEASES_PER_S).min(MAX_STRAY_RELEASES);
        let is_available = left >= 1.0;
        self.stray_tokens = (if is_available { left - 1.0 } else { left }, now);
        is_available
    }

    /// Gives up the open set-ups of a caller's connection that was lost. Standing calls belong to no connection and stay.
    pub fn origin_lost(&mut self, now: f64, origin: Origin) {
        for id in self.open_ids(origin) {
            self.caller_release(now, origin, id);
        }
    }

    /// Whether an id may belong to a call that stood through this gatekeeper before it was restarted.
    fn may_predate_start(&self, now: f64, id: u64) -> bool {
        now - self.started < self.earlier_calls_s && !self.offered_ids.contains(&id)
    }

    // ---- Messages from servers

    /// Handles a server's answer to a set-up: the call is established there.
    pub fn established(&mut self, now: f64, pool: PoolId, id: u64, description: Option<Vec<u8>>) {
        let known = self.calls_by_id.get(&id).copied();
        if let Some((call, c)) = known.and_then(|call| Some((call, self.calls.get_mut(&call)?))) {
            match c.state {
                State::Attempting(Attempt { pool: at, sent_at, giving_up: None }) if at == pool => {
                    let (origin, bytes, class) = (c.origin, c.held_bytes(), c.class);
                    let change = CallChange::Established { id, class, pool, since: now };
                    c.content = Rc::default();
                    c.state = State::Standing { pool, since: now, answer_sent: false };
                    let attempt = c.attempts.saturating_sub(1);
                    self.events.push(Event::Established { call, pool, delay: now - sent_at, attempt });
                    self.remove_open(origin, bytes);
                    *self.standing_by_origin.entry(origin).or_default() += 1;
                    self.record_change(change);
                    let reply = Reply::Established(description);
                    self.effects.push(Effect::Reply { origin, id, class, reply });
                    return;
                }
                // A repeated answer.
                State::Standing { pool: at, .. } if at == pool => return,
                // An answer to a set-up that was never sent to this pool.
                _ if !c.tried.contains(&pool) => return,
                _ => {}
            }
        } else if !self.offered_ids.contains(&id) {
            // An answer to a call that was not offered yet. A release sent now might cut that call later.
            return;
        }
        // The answer crossed the give-up. Nobody waits for this call any more, so it is released.
        self.push_command(pool, id, Command::Release);
    }

    /// Handles the end of an attempt or of a standing call, as reported by a server.
    pub fn ended(&mut self, now: f64, pool: PoolId, id: u64, end: End) {
        let known = self.calls_by_id.get(&id).copied();
        if let Some((call, c)) = known.and_then(|call| Some((call, self.calls.get_mut(&call)?))) {
            match c.state {
                State::Attempting(Attempt { pool: at, .. }) if at == pool => {
                    // `Done` before the answer means that the answer was lost: the call was established and has ended.
                    c.state = State::Pending;
                    self.events.push(c.ended(call, pool, false, end));
                    return;
                }
                State::Standing { pool: at, .. } if at == pool => {
                    let outcome = if end.outcome == Outcome::Done { Outcome::Done } else { Outcome::Reset };
                    return self.end_standing(call, pool, End { outcome, ..end });
                }
                _ => {}
            }
        }
        let (over, cut) =
            (matches!(end.outcome, Outcome::Done | Outcome::Reset), end.outcome != Outcome::Done);
        // Set-ups from before a restart were given up when the connections closed, so this is the end of a call that
        // stood then. Ends of this process's calls that crossed their give-up need no report.
        let may_predate_start = self.may_predate_start(now, id);
        if self.adopted.get(&id).is_some_and(|a| a.pool == pool) {
            self.report_end(id, cut);
        } else if self.changes.is_some() {
            if over && known.is_none() && !self.offered_ids.contains(&id) {
                self.effects.push(Effect::UnknownCallEnded { pool, id, cut, may_predate_start });
            }
        } else if may_predate_start && over {
            // A server repeats an end on the next connection that is opened. Remembering the id prevents a second report
            // to a caller whose call had no answer before the restart: it would take that for a second final answer.
            self.remember_id(id);
            let reply = Reply::Ended { cut };
            self.effects.push(Effect::Reply { origin: ANY_ORIGIN, id, class: UNKNOWN_CLASS, reply });
        }
        self.events.push(Event::Load { pool, report: end.report });
    }

    fn end_standing(&mut self, call: CallId, pool: PoolId, end: End) {
        let Some(removed) = self.remove(call) else { return };
        self.events.push(removed.ended(call, pool, true, end));
        let reply = Reply::Ended { cut: end.outcome != Outcome::Done };
        self.effects.push(Effect::Reply {
            origin: removed.origin,
            id: removed.id,
            class: removed.class,
            reply,
        });
    }

    /// Handles that an attempt's give-up was written, or was not needed.
    pub fn give_up_written(&mut self, pool: PoolId, id: u64) {
        self.end_attempt(pool, id, None);
    }

    /// Handles that an attempt was never sent, because no connection was established.
    pub fn attempt_not_sent(&mut self, pool: PoolId, id: u64) {
        self.end_attempt(pool, id, Some(Outcome::ConnectFailed));
    }

    /// Handles the loss of the connection of an attempt.
    pub fn attempt_reset(&mut self, pool: PoolId, id: u64) {
        self.end_attempt(pool, id, Some(Outcome::Reset));
    }

    fn end_attempt(&mut self, pool: PoolId, id: u64, outcome: Option<Outcome>) {
        let Some(call) = self.calls_by_id.get(&id).copied() else { return };
        let Some(c) = self.calls.get_mut(&call) else { return };
        if let State::Attempting(Attempt { pool: at, giving_up, .. }) = c.state {
            if let (true, Some(outcome)) = (at == pool, giving_up.or(outcome)) {
                c.state = State::Pending;
                self.events.push(c.ended(call, pool, false, End::with_outcome(outcome)));
            }
        }
    }

    /// Cuts the calls that have been standing at a pool since before the time `before`, because the server is gone or was
    /// restarted and can't report their ends. With `release` the server gets a release for each as soon as it can be
    /// reached: it may only have been unreachable and may still hold the calls. Returns the number of calls.
    pub fn cut_calls_at(&mut self, pool: PoolId, before: f64, release: bool) -> usize {
        let cut = |c: &&Call| matches!(c.state, State::Standing { pool: at, since, .. } if at == pool && since < before);
        let mut ids: Vec<u64> = self.calls.values().filter(cut).map(|c| c.id).collect();
        ids.sort_unstable();
        for &id in &ids {
            if let Some(call) = self.calls_by_id.get(&id).copied() {
                self.end_standing(call, pool, End::with_outcome(Outcome::Reset));
                if release {
                    self.push_command(pool, id, Command::Release);
                }
            }
        }
        let cut = |(_, a): &(&u64, &Adopted)| a.pool == pool && a.since < before;
        let mut adopted: Vec<u64> = self.adopted.iter().filter(cut).map(|(id, _)| *id).collect();
        adopted.sort_unstable();
        for &id in &adopted {
            self.report_end(id, true);
            if release {
                self.push_command(pool, id, Command::Release);
            }
        }
        ids.len() + adopted.len()
    }

    /// Whether a call that came to this gatekeeper is standing.
    pub fn is_standing(&self, id: u64) -> bool {
        let call = self.calls_by_id.get(&id).and_then(|call| self.calls.get(call));
        call.is_some_and(|c| !c.is_open())
    }

    /// Whether a call has no final answer yet: an attempt is open or may still follow.
    pub fn is_open(&self, id: u64) -> bool {
        let call = self.calls_by_id.get(&id).and_then(|call| self.calls.get(call));
        call.is_some_and(Call::is_open)
    }

    /// Whether a call is standing at a pool, or has an open attempt there.
    pub fn is_at(&self, pool: PoolId, id: u64) -> bool {
        let call = self.calls_by_id.get(&id).and_then(|call| self.calls.get(call));
        call.is_some_and(|c| match c.state {
            State::Pending => false,
            State::Attempting(Attempt { pool: at, .. }) | State::Standing { pool: at, .. } => at == pool,
        }) || self.adopted.get(&id).is_some_and(|a| a.pool == pool)
    }

    /// Whether any call is standing at a pool, or has an open attempt there.
    pub fn has_calls_at(&self, pool: PoolId) -> bool {
        self.calls.values().any(|c| match c.state {
            State::Pending => false,
            State::Attempting(Attempt { pool: at, .. }) | State::Standing { pool: at, .. } => at == pool,
        }) || self.adopted.values().any(|a| a.pool == pool)
    }

    /// Handles a server's load report that belongs to no call.
    pub fn load_reported(&mut self, pool: PoolId, report: Report) {
        self.events.push(Event::Load { pool, report });
    }
}

#[cfg(test)]
mod tests;
