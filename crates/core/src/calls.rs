//! The calls: the core of the gatekeeper, without sockets and without a word of any protocol.
//!
//! It knows each call by its caller's 64-bit id and by the decision module's [`CallId`], keeps its one
//! open attempt, its deadline and where it stands, and sees to it that every call gets exactly one
//! final answer. Fronts tell it what callers and servers said; it tells the decision module what
//! happened ([`Event`]) and the fronts what to do ([`Effect`]).

use std::collections::{HashMap, HashSet, VecDeque};
use std::fmt;
use std::rc::Rc;

use hollypaddle_policy::{CallId, Cause, Event, Outcome, PoolId, Report};

/// What a held call costs beside its content.
const CALL_BYTES: usize = 512;
/// How long a call may stay with the decision module past its deadline. It answers the time-out in the
/// same turn, so this only guards the caller's final answer against a fault of ours.
const SLACK: f64 = 0.01;
/// The deadline lies before the end of the caller's wait by so long, in seconds, and by no more than this share of the wait.
/// The wait runs at the caller, from when it sent; counted in full from when it was read here, each refusal at the deadline
/// comes to a caller that has just given up unanswered. Two ticks of the fronts' timers, or way enough in a zone.
const AHEAD: f64 = 0.01;
const AHEAD_SHARE: f64 = 0.1;

/// Ids remembered after their calls: an id is taken once, and one never offered may have stood through
/// this gatekeeper before its restart.
const MOST_REMEMBERED: usize = 1 << 14;
/// Calls from before a restart are reckoned with for so long at least, in seconds, and for so many times as long as a call
/// stands on average: of 20,000 one is not over then.
const EARLIER: f64 = 120.0;
const EARLIER_HOLDS: f64 = 10.0;
/// Releases of such calls that are passed on at once, and a second. Each goes to every server, so a flood
/// of made-up ids would be multiplied.
const STRAYS: f64 = 100.0;
const STRAYS_PER_S: f64 = 50.0;
/// The origin of a call that came before a restart: any connection will do.
pub const NO_ORIGIN: Origin = 0;
/// The class of a call of an earlier life, which is not known.
pub const NO_CLASS: usize = usize::MAX;

/// The connection on which a call came; means something to its front alone.
pub type Origin = usize;

/// What a set-up carries through unchanged.
#[derive(Debug, Default, PartialEq)]
pub struct Content {
    /// The number called.
    pub number: Vec<u8>,
    /// The description, if there is one.
    pub description: Option<Vec<u8>>,
}

/// A call as its caller offers it.
#[derive(Debug)]
pub struct Request {
    /// The caller's id.
    pub id: u64,
    /// Class, an index into the settings.
    pub class: usize,
    /// How long the caller waits, in seconds.
    pub wait: f64,
    /// The number called, as the decision module takes it.
    pub dialled: u64,
    /// Number of the pool of first choice.
    pub first_choice: u32,
    /// What is passed on.
    pub content: Content,
}

/// Why a call was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotTaken {
    /// A call of that id came earlier, on another connection or to its end.
    Known,
    /// A call of that id came on the same connection and is not over: whatever were said of the second
    /// there would be taken for the first.
    Repeated,
    /// Too many calls are held.
    Crowded,
}

impl fmt::Display for NotTaken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            NotTaken::Known => write!(f, "a call of this id came earlier"),
            NotTaken::Repeated => write!(f, "a call of this id is open on this connection"),
            NotTaken::Crowded => write!(f, "too many calls are held"),
        }
    }
}

impl std::error::Error for NotTaken {}

/// What a caller is told.
#[derive(Clone, Debug, PartialEq)]
#[expect(missing_docs, reason = "the variants tell what their fields are")]
pub enum Reply {
    /// The call stands.
    Stands(Option<Vec<u8>>),
    /// Refused: trying again is harmless, after so many seconds.
    Refused(f64),
    /// Failed.
    Failed,
    /// A call that stood is over: ended or cut.
    Over { cut: bool },
}

/// What a server is told.
#[derive(Clone, Debug, PartialEq)]
#[expect(missing_docs, reason = "the variants tell what their fields are")]
pub enum Order {
    /// A set-up, worth an answer until then.
    SetUp { class: usize, until: f64, content: Rc<Content> },
    /// The set-up is given up.
    GiveUp,
    /// The call that stands is released.
    Release,
}

/// What the fronts are to do.
#[derive(Clone, Debug, PartialEq)]
#[expect(missing_docs, reason = "the variants tell what their fields are")]
pub enum Effect {
    /// Tell a caller. The class is the call's, for the figures; [`NO_CLASS`] where the call is of an
    /// earlier life.
    Caller { origin: Origin, id: u64, class: usize, reply: Reply },
    /// Tell a server.
    Server { pool: PoolId, id: u64, order: Order },
    /// Release a call at whichever server it stands.
    Stray { id: u64 },
    /// A server ended a call that is not known here, told only where changes are noted. `earlier` where it may have
    /// stood here before a restart.
    EndOfUnknown { pool: PoolId, id: u64, cut: bool, earlier: bool },
    /// A caller released a call that is not known here, told only where changes are noted; `stray` where it may be
    /// released at every server.
    ReleaseOfUnknown { id: u64, stray: bool },
    /// Call [`Calls::deadline`] then.
    Deadline { call: CallId, at: f64 },
    /// Call [`Calls::limit`] then.
    Limit { call: CallId, attempt: u8, at: f64 },
}

/// How a server ended an attempt or a call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct End {
    /// How.
    pub outcome: Outcome,
    /// Why it was turned back.
    pub cause: Cause,
    /// How long a full processor asks to be left alone.
    pub wait: Option<f64>,
    /// The server's load.
    pub report: Report,
}

impl End {
    /// An end of which only the outcome is known.
    pub fn of(outcome: Outcome) -> Self {
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
    /// Set once the attempt is to be given up: how it ends when its give-up is written.
    leaving: Option<Outcome>,
}

enum State {
    /// With the decision module, no attempt out.
    Held,
    /// An attempt is out.
    Out(Attempt),
    /// The call stands.
    Standing { pool: PoolId, since: f64 },
}

struct Call {
    id: u64,
    class: usize,
    origin: Origin,
    deadline: f64,
    content: Rc<Content>,
    /// Attempts so far; the present one has the number below.
    attempts: u8,
    /// Where they went.
    tried: Vec<PoolId>,
    state: State,
}

impl Call {
    fn bytes(&self) -> usize {
        CALL_BYTES + self.content.number.len() + self.content.description.as_ref().map_or(0, Vec::len)
    }

    fn ended(&self, call: CallId, pool: PoolId, complete: bool, end: End) -> Event {
        end.event(call, pool, self.attempts.saturating_sub(1), complete)
    }
}

/// One less of an origin's.
fn less(of: &mut HashMap<Origin, usize>, origin: Origin) {
    if let Some(count) = of.get_mut(&origin) {
        *count -= 1;
        if *count == 0 {
            of.remove(&origin);
        }
    }
}

/// A call that stands, or no longer does, to be told to other gatekeepers.
#[derive(Clone, Copy, Debug, PartialEq)]
#[expect(missing_docs, reason = "the variants tell what their fields are")]
pub enum Change {
    /// It stands, since then.
    Stands { id: u64, class: usize, pool: PoolId, since: f64 },
    /// It is over.
    Over { id: u64 },
}

/// A call that stood through another gatekeeper, which is gone: its end is to be seen to here.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Adopted {
    pool: PoolId,
    since: f64,
}

/// All calls of this gatekeeper.
pub struct Calls {
    /// When this gatekeeper started, and most bytes of set-ups held for calls that do not stand yet;
    /// beyond it new ones are turned away.
    started: f64,
    most_held: usize,
    /// For how long calls from before the start are reckoned with.
    earlier_for: f64,
    /// Strays that may be passed on, as of then.
    strays: (f64, f64),
    /// Calls without a final answer, by origin; an origin without any is not there.
    open: HashMap<Origin, usize>,
    /// Calls that stand, by the origin whose caller is to hear of their end; an origin without any is not there.
    standing: HashMap<Origin, usize>,
    calls: HashMap<CallId, Call>,
    ids: HashMap<u64, CallId>,
    next: CallId,
    held_bytes: usize,
    /// Ids offered since the start, the latest of them.
    offered: HashSet<u64>,
    offered_order: VecDeque<u64>,
    /// Calls of gatekeepers that are gone, by id.
    adopted: HashMap<u64, Adopted>,
    /// Calls that stand or are over since this was last taken; none are noted unless somebody wants them.
    changes: Option<Vec<Change>>,
    /// What the decision module has yet to be told.
    pub events: Vec<Event>,
    /// What the fronts have yet to do.
    pub effects: Vec<Effect>,
    /// Attempts written whole to servers, as the fronts count them.
    pub forwards: u64,
}

impl Calls {
    /// No calls yet.
    pub fn new(now: f64, most_held: usize) -> Self {
        Calls {
            started: now,
            most_held,
            earlier_for: EARLIER,
            strays: (STRAYS, now),
            open: HashMap::new(),
            standing: HashMap::new(),
            calls: HashMap::new(),
            ids: HashMap::new(),
            next: 0,
            held_bytes: 0,
            offered: HashSet::new(),
            offered_order: VecDeque::new(),
            adopted: HashMap::new(),
            changes: None,
            events: Vec::new(),
            effects: Vec::new(),
            forwards: 0,
        }
    }

    /// Takes how long a call stands on average, in seconds, where that is told.
    pub fn calls_last(&mut self, hold: Option<f64>) {
        self.earlier_for = hold.map_or(EARLIER, |hold| (EARLIER_HOLDS * hold).max(EARLIER));
    }

    /// How many calls of an origin wait for their final answer.
    pub fn open_from(&self, origin: Origin) -> usize {
        self.open.get(&origin).copied().unwrap_or(0)
    }

    /// Whether something is still to be told to an origin's caller in this turn.
    pub fn owes_reply(&self, origin: Origin) -> bool {
        let owed = |effect: &Effect| matches!(effect, Effect::Caller { origin: to, .. } if *to == origin);
        self.effects.iter().any(owed)
    }

    /// Ids of the calls of an origin that wait for their final answer.
    pub fn ids_from(&self, origin: Origin) -> Vec<u64> {
        if self.open_from(origin) == 0 {
            return Vec::new();
        }
        let open = |c: &&Call| c.origin == origin && !matches!(c.state, State::Standing { .. });
        let mut ids: Vec<u64> = self.calls.values().filter(open).map(|c| c.id).collect();
        ids.sort_unstable();
        ids
    }

    /// A call has its final answer, or is owed none any more.
    fn settled(&mut self, origin: Origin, bytes: usize) {
        self.held_bytes -= bytes;
        less(&mut self.open, origin);
    }

    /// How many calls of an origin stand.
    pub fn standing_from(&self, origin: Origin) -> usize {
        self.standing.get(&origin).copied().unwrap_or(0)
    }

    /// Whether a call stands, here or in place of another gatekeeper, whose origin is none of these.
    pub fn stands_elsewhere(&self, here: impl Fn(Origin) -> bool) -> bool {
        !self.adopted.is_empty() || self.standing.keys().any(|origin| !here(*origin))
    }

    /// Calls that still need their final answer, and calls that stand.
    pub fn count(&self) -> (usize, usize) {
        let standing = self.standing.values().sum::<usize>();
        (self.calls.len() - standing, standing)
    }

    /// Takes a call from a caller.
    pub fn offer(&mut self, now: f64, origin: Origin, request: Request) -> Result<(), NotTaken> {
        let Request { id, class, wait, dialled, first_choice, content } = request;
        // An id is taken once: the servers and the caller tell calls apart by it alone.
        match self.ids.get(&id).and_then(|call| self.calls.get(call)) {
            Some(first) if first.origin == origin => return Err(NotTaken::Repeated),
            _ if self.is_known(id) => return Err(NotTaken::Known),
            _ => {}
        }
        if self.held_bytes > self.most_held {
            return Err(NotTaken::Crowded);
        }
        self.next = self.next.wrapping_add(1);
        let wait = wait - AHEAD.min(AHEAD_SHARE * wait);
        let (call, deadline) = (self.next, now + wait);
        let content = Rc::new(content);
        let (attempts, tried, state) = (0, Vec::new(), State::Held);
        let new = Call { id, class, origin, deadline, content, attempts, tried, state };
        self.held_bytes += new.bytes();
        *self.open.entry(origin).or_default() += 1;
        self.calls.insert(call, new);
        self.ids.insert(id, call);
        self.remember(id);
        self.effects.push(Effect::Deadline { call, at: deadline });
        self.events.push(Event::Call { call, class, tenant: 0, time_left: wait, dialled, first_choice });
        Ok(())
    }

    /// Whether a call of this id came earlier, as far as is remembered.
    pub fn is_known(&self, id: u64) -> bool {
        self.ids.contains_key(&id) || self.offered.contains(&id) || self.adopted.contains_key(&id)
    }

    /// An id is known from now on, as long as not too many came since.
    fn remember(&mut self, id: u64) {
        if self.offered.insert(id) {
            self.offered_order.push_back(id);
        }
        if self.offered_order.len() > MOST_REMEMBERED {
            self.offered_order.pop_front().map(|old| self.offered.remove(&old));
        }
    }

    fn remove(&mut self, call: CallId) -> Option<Call> {
        let gone = self.calls.remove(&call)?;
        self.ids.remove(&gone.id);
        if matches!(gone.state, State::Standing { .. }) {
            less(&mut self.standing, gone.origin);
            self.note(Change::Over { id: gone.id });
        } else {
            self.settled(gone.origin, gone.bytes());
        }
        Some(gone)
    }

    fn order(&mut self, pool: PoolId, id: u64, order: Order) {
        self.effects.push(Effect::Server { pool, id, order });
    }

    // ---- What other gatekeepers are told, and what is seen to in their place

    /// Notes the calls that stand and that are over from now on, or stops it. Those that stand now are noted.
    pub fn note_changes(&mut self, on: bool) {
        self.changes = on.then(Vec::new);
        let standing: Vec<Change> = (self.calls.values())
            .filter_map(|c| match c.state {
                State::Standing { pool, since } => {
                    Some(Change::Stands { id: c.id, class: c.class, pool, since })
                }
                _ => None,
            })
            .collect();
        standing.into_iter().for_each(|change| self.note(change));
        if !on {
            self.adopted.clear();
        }
    }

    fn note(&mut self, change: Change) {
        if let Some(changes) = &mut self.changes {
            changes.push(change);
        }
    }

    /// What was noted since this was last asked.
    pub fn changes(&mut self) -> Vec<Change> {
        self.changes.as_mut().map(std::mem::take).unwrap_or_default()
    }

    /// Sees to the end of a call that stood through a gatekeeper that is gone. One that is known here already is its
    /// own matter.
    pub fn adopt(&mut self, id: u64, pool: PoolId, since: f64) {
        if !self.ids.contains_key(&id) {
            self.adopted.insert(id, Adopted { pool, since });
        }
    }

    /// Leaves a call to another gatekeeper again; or it is over, and its caller knows.
    pub fn yield_call(&mut self, id: u64) {
        self.adopted.remove(&id);
    }

    /// An own call was ended by another gatekeeper, which told its caller: nothing more is said of it.
    pub fn ended_elsewhere(&mut self, id: u64) {
        let standing = |c: &Call| match c.state {
            State::Standing { pool, .. } => Some(pool),
            _ => None,
        };
        let Some(call) = self.ids.get(&id).copied() else { return };
        if let Some(pool) = self.calls.get(&call).and_then(standing) {
            if let Some(gone) = self.remove(call) {
                self.events.push(gone.ended(call, pool, true, End::of(Outcome::Done)));
            }
        }
    }

    /// Calls that are seen to in place of other gatekeepers.
    pub fn adopted(&self) -> usize {
        self.adopted.len()
    }

    /// A caller released a call that stands through another gatekeeper.
    pub fn released_elsewhere(&mut self, id: u64) {
        self.note(Change::Over { id });
    }

    /// Tells a caller the end of a call that is not known here.
    pub fn tell_end(&mut self, id: u64, cut: bool) {
        self.adopted.remove(&id);
        self.note(Change::Over { id });
        let reply = Reply::Over { cut };
        self.effects.push(Effect::Caller { origin: NO_ORIGIN, id, class: NO_CLASS, reply });
    }

    // ---- What the decision module asks for

    /// Starts an attempt.
    pub fn send(&mut self, now: f64, call: CallId, pool: PoolId, limit: f64) {
        let Some(c) = self.calls.get_mut(&call) else {
            // Its caller went while the module decided. The module counts this attempt as out until it is
            // told of its end, and a set-up out for ever makes a pool look as if it had stopped.
            let end = End::of(Outcome::NotSent);
            return self.events.push(end.event(call, pool, 0, true));
        };
        if !matches!(c.state, State::Held) {
            return log::error!(call:% = format_args!("{:016x}", c.id); "module-sent-a-call-not-held");
        }
        let attempt = c.attempts;
        c.attempts = attempt.saturating_add(1);
        // A limit of 0 is until the caller's deadline, whose timer runs already.
        let until = if limit > 0.0 { c.deadline.min(now + limit) } else { c.deadline };
        if now >= until {
            self.events.push(c.ended(call, pool, false, End::of(Outcome::NotSent)));
            return;
        }
        c.state = State::Out(Attempt { pool, sent_at: now, leaving: None });
        c.tried.push(pool);
        let (id, class, content) = (c.id, c.class, Rc::clone(&c.content));
        if until < c.deadline {
            self.effects.push(Effect::Limit { call, attempt, at: until });
        }
        self.order(pool, id, Order::SetUp { class, until, content });
    }

    /// Gives an attempt up. It has ended once the give-up is written, see [`Calls::gave_up`].
    pub fn cancel(&mut self, call: CallId, attempt: u8) {
        self.leave(call, attempt, Outcome::Cancelled);
    }

    /// An attempt's own time limit has passed.
    pub fn limit(&mut self, call: CallId, attempt: u8) {
        self.leave(call, attempt, Outcome::Timeout);
    }

    fn leave(&mut self, call: CallId, attempt: u8, outcome: Outcome) {
        let Some(c) = self.calls.get_mut(&call) else { return };
        if let State::Out(Attempt { pool, leaving: leaving @ None, .. }) = &mut c.state {
            if c.attempts == attempt.saturating_add(1) {
                *leaving = Some(outcome);
                let (pool, id) = (*pool, c.id);
                self.order(pool, id, Order::GiveUp);
            }
        }
    }

    /// Final answer: refused.
    pub fn refuse(&mut self, call: CallId, retry_after: f64) {
        self.answer(call, Reply::Refused(retry_after));
    }

    /// Final answer: failed.
    pub fn fail(&mut self, call: CallId) {
        self.answer(call, Reply::Failed);
    }

    fn answer(&mut self, call: CallId, reply: Reply) {
        // One that stands has had its final answer.
        if self.calls.get(&call).is_some_and(|c| matches!(c.state, State::Standing { .. })) {
            return;
        }
        let Some(gone) = self.remove(call) else { return };
        self.forsake(call, &gone);
        self.effects.push(Effect::Caller { origin: gone.origin, id: gone.id, class: gone.class, reply });
    }

    /// Gives up the attempt of a call that is over, unless its give-up is on its way already. The module
    /// counts what is out at each pool, so it is told of this end too.
    fn forsake(&mut self, call: CallId, gone: &Call) {
        if let State::Out(Attempt { pool, leaving, .. }) = gone.state {
            if leaving.is_none() {
                self.order(pool, gone.id, Order::GiveUp);
            }
            let end = End::of(leaving.unwrap_or(Outcome::Cancelled));
            self.events.push(gone.ended(call, pool, true, end));
        }
    }

    // ---- What time brings

    /// The caller's deadline has passed. The module is owed the time-out of an open attempt and answers
    /// it in the slack; a call that it still holds after that is failed here.
    pub fn deadline(&mut self, now: f64, call: CallId) {
        let Some(c) = self.calls.get_mut(&call) else { return };
        match std::mem::replace(&mut c.state, State::Held) {
            State::Out(Attempt { pool, leaving, .. }) => {
                let id = c.id;
                self.events.push(c.ended(call, pool, false, End::of(Outcome::Timeout)));
                self.effects.push(Effect::Deadline { call, at: now + SLACK });
                if leaving.is_none() {
                    self.order(pool, id, Order::GiveUp);
                }
            }
            State::Held => {
                self.events.push(Event::Abandoned { call });
                self.fail(call);
            }
            standing => c.state = standing,
        }
    }

    /// Answers all calls that have no final answer, before the program ends: refused, with the time to stay away, or failed
    /// where an attempt may have run and the class may not be repeated, as a caller that is refused tries again.
    pub fn answer_all(&mut self, repeatable: impl Fn(usize) -> bool, stay_away: f64) {
        self.answer_now(|_| true, repeatable, stay_away);
    }

    /// Answers the calls of an origin that have no final answer in the same way, as its connection is to be closed.
    pub fn answer_from(&mut self, origin: Origin, repeatable: impl Fn(usize) -> bool, stay_away: f64) {
        self.answer_now(|from| from == origin, repeatable, stay_away);
    }

    fn answer_now(
        &mut self,
        from: impl Fn(Origin) -> bool,
        repeatable: impl Fn(usize) -> bool,
        stay_away: f64,
    ) {
        let open = |(_, c): &(&CallId, &Call)| from(c.origin) && !matches!(c.state, State::Standing { .. });
        let mut all: Vec<(CallId, bool)> = (self.calls.iter().filter(open))
            .map(|(call, c)| (*call, c.attempts == 0 || repeatable(c.class)))
            .collect();
        all.sort_unstable();
        for (call, harmless) in all {
            self.events.push(Event::Abandoned { call });
            match harmless {
                true => self.refuse(call, stay_away),
                false => self.fail(call),
            }
        }
    }

    /// Cuts the calls of these origins that stand, as their ends could not be told to anybody: their servers and callers are
    /// told now. Returns how many.
    pub fn cut_standing(&mut self, from: impl Fn(Origin) -> bool) -> usize {
        let standing = |(call, c): (&CallId, &Call)| match c.state {
            State::Standing { pool, .. } if from(c.origin) => Some((*call, pool, c.id)),
            _ => None,
        };
        let mut all: Vec<(CallId, PoolId, u64)> = self.calls.iter().filter_map(standing).collect();
        all.sort_unstable();
        for &(call, pool, id) in &all {
            // The server is not to blame.
            self.over(call, pool, End::of(Outcome::Cancelled));
            self.order(pool, id, Order::Release);
        }
        all.len()
    }

    // ---- What callers say

    /// A caller gives a call up, or releases one that stands.
    pub fn caller_release(&mut self, now: f64, id: u64) {
        let Some(call) = self.ids.get(&id).copied() else {
            if let Some(adopted) = self.adopted.remove(&id) {
                self.note(Change::Over { id });
                return self.order(adopted.pool, id, Order::Release);
            }
            // It may have stood through this gatekeeper before a restart, which knows not where.
            let mut stray = false;
            if self.earlier(now, id) {
                let (left, at) = self.strays;
                let left = (left + (now - at) * STRAYS_PER_S).min(STRAYS);
                self.strays = (left, now);
                if left >= 1.0 {
                    self.strays.0 -= 1.0;
                    stray = true;
                }
            }
            match self.changes.is_some() {
                true => self.effects.push(Effect::ReleaseOfUnknown { id, stray }),
                false if stray => self.effects.push(Effect::Stray { id }),
                false => {}
            }
            return;
        };
        let Some(gone) = self.remove(call) else { return };
        // Taken back before the module was told of it: there is nothing to decide and nothing to count.
        // Guards against floods of such calls, which would rank and outnumber those of other callers.
        let untold = |e: &Event| matches!(e, Event::Call { call: new, .. } if *new == call);
        if let Some(at) = self.events.iter().rposition(untold) {
            self.events.remove(at);
            let timer = |e: &Effect| matches!(e, Effect::Deadline { call: new, .. } if *new == call);
            if let Some(at) = self.effects.iter().rposition(timer) {
                self.effects.remove(at);
            }
            return;
        }
        match gone.state {
            State::Standing { pool, .. } => {
                self.order(pool, id, Order::Release);
                self.events.push(gone.ended(call, pool, true, End::of(Outcome::Cancelled)));
            }
            State::Out(_) | State::Held => {
                self.events.push(Event::Abandoned { call });
                self.forsake(call, &gone);
            }
        }
    }

    /// A caller's connection is gone: its open set-ups are given up. What stands belongs to no connection.
    pub fn origin_lost(&mut self, now: f64, origin: Origin) {
        for id in self.ids_from(origin) {
            self.caller_release(now, id);
        }
    }

    /// Whether an id may be of a call that stood through this gatekeeper before it started.
    fn earlier(&self, now: f64, id: u64) -> bool {
        now - self.started < self.earlier_for && !self.offered.contains(&id)
    }

    // ---- What servers say

    /// A server answered: the call stands there.
    pub fn stood(&mut self, now: f64, pool: PoolId, id: u64, description: Option<Vec<u8>>) {
        let known = self.ids.get(&id).copied();
        if let Some((call, c)) = known.and_then(|call| Some((call, self.calls.get_mut(&call)?))) {
            match c.state {
                State::Out(Attempt { pool: at, sent_at, leaving: None }) if at == pool => {
                    let (origin, bytes, class) = (c.origin, c.bytes(), c.class);
                    let change = Change::Stands { id, class, pool, since: now };
                    c.content = Rc::default();
                    c.state = State::Standing { pool, since: now };
                    let attempt = c.attempts.saturating_sub(1);
                    self.events.push(Event::Established { call, pool, delay: now - sent_at, attempt });
                    self.settled(origin, bytes);
                    *self.standing.entry(origin).or_default() += 1;
                    self.note(change);
                    let reply = Reply::Stands(description);
                    self.effects.push(Effect::Caller { origin, id, class, reply });
                    return;
                }
                // A second copy.
                State::Standing { pool: at, .. } if at == pool => return,
                // An answer ahead, to what was never sent there.
                _ if !c.tried.contains(&pool) => return,
                _ => {}
            }
        } else if !self.offered.contains(&id) {
            // An answer ahead of its call. A release now might cut the call when it comes.
            return;
        }
        // The answer crossed the give-up: nobody waits for this call, and it must not stand on.
        self.order(pool, id, Order::Release);
    }

    /// A server ended an attempt, or a call that stood.
    pub fn ended(&mut self, now: f64, pool: PoolId, id: u64, end: End) {
        let known = self.ids.get(&id).copied();
        if let Some((call, c)) = known.and_then(|call| Some((call, self.calls.get_mut(&call)?))) {
            match c.state {
                State::Out(Attempt { pool: at, .. }) if at == pool => {
                    // An end before the answer tells that the answer got lost: the call stood, and is over.
                    c.state = State::Held;
                    self.events.push(c.ended(call, pool, false, end));
                    return;
                }
                State::Standing { pool: at, .. } if at == pool => {
                    let outcome = if end.outcome == Outcome::Done { Outcome::Done } else { Outcome::Reset };
                    return self.over(call, pool, End { outcome, ..end });
                }
                _ => {}
            }
        }
        let (over, cut) =
            (matches!(end.outcome, Outcome::Done | Outcome::Reset), end.outcome != Outcome::Done);
        // Set-ups of an earlier life were given up with its connections, so this ends a call that stood
        // then. Ends of calls of this life that crossed their give-up are no news to anyone.
        let earlier = self.earlier(now, id);
        if self.adopted.get(&id).is_some_and(|a| a.pool == pool) {
            self.tell_end(id, cut);
        } else if self.changes.is_some() {
            if over && known.is_none() && !self.offered.contains(&id) {
                self.effects.push(Effect::EndOfUnknown { pool, id, cut, earlier });
            }
        } else if earlier && over {
            // A server says an end again on the next connection that is opened. Guards against a second word to a caller
            // whose call was answered by nobody before the restart: it would take it for a second answer.
            self.remember(id);
            let reply = Reply::Over { cut };
            self.effects.push(Effect::Caller { origin: NO_ORIGIN, id, class: NO_CLASS, reply });
        }
        self.events.push(Event::Load { pool, report: end.report });
    }

    fn over(&mut self, call: CallId, pool: PoolId, end: End) {
        let Some(gone) = self.remove(call) else { return };
        self.events.push(gone.ended(call, pool, true, end));
        let reply = Reply::Over { cut: end.outcome != Outcome::Done };
        self.effects.push(Effect::Caller { origin: gone.origin, id: gone.id, class: gone.class, reply });
    }

    /// The give-up of an attempt is written, or was not needed.
    pub fn gave_up(&mut self, pool: PoolId, id: u64) {
        self.attempt_over(pool, id, None);
    }

    /// An attempt never left: no connection came up.
    pub fn never_ran(&mut self, pool: PoolId, id: u64) {
        self.attempt_over(pool, id, Some(Outcome::ConnectFailed));
    }

    /// The connection of an attempt broke.
    pub fn reset(&mut self, pool: PoolId, id: u64) {
        self.attempt_over(pool, id, Some(Outcome::Reset));
    }

    fn attempt_over(&mut self, pool: PoolId, id: u64, outcome: Option<Outcome>) {
        let Some(call) = self.ids.get(&id).copied() else { return };
        let Some(c) = self.calls.get_mut(&call) else { return };
        if let State::Out(Attempt { pool: at, leaving, .. }) = c.state {
            if let (true, Some(outcome)) = (at == pool, leaving.or(outcome)) {
                c.state = State::Held;
                self.events.push(c.ended(call, pool, false, End::of(outcome)));
            }
        }
    }

    /// The calls that stood at a pool before then were cut, by a server that could not say so. With
    /// `tell` it is told when it can be reached: it may only have been cut off, and hold them still.
    pub fn cut(&mut self, pool: PoolId, before: f64, tell: bool) -> usize {
        let cut = |c: &&Call| matches!(c.state, State::Standing { pool: at, since } if at == pool && since < before);
        let mut ids: Vec<u64> = self.calls.values().filter(cut).map(|c| c.id).collect();
        ids.sort_unstable();
        for &id in &ids {
            if let Some(call) = self.ids.get(&id).copied() {
                self.over(call, pool, End::of(Outcome::Reset));
                if tell {
                    self.order(pool, id, Order::Release);
                }
            }
        }
        let cut = |(_, a): &(&u64, &Adopted)| a.pool == pool && a.since < before;
        let mut adopted: Vec<u64> = self.adopted.iter().filter(cut).map(|(id, _)| *id).collect();
        adopted.sort_unstable();
        for &id in &adopted {
            self.tell_end(id, true);
            if tell {
                self.order(pool, id, Order::Release);
            }
        }
        ids.len() + adopted.len()
    }

    /// Whether a call that came here stands.
    pub fn stands(&self, id: u64) -> bool {
        let call = self.ids.get(&id).and_then(|call| self.calls.get(call));
        call.is_some_and(|c| matches!(c.state, State::Standing { .. }))
    }

    /// Whether a call has no final answer yet: an attempt of it is out or may still come.
    pub fn is_open(&self, id: u64) -> bool {
        let call = self.ids.get(&id).and_then(|call| self.calls.get(call));
        call.is_some_and(|c| !matches!(c.state, State::Standing { .. }))
    }

    /// Whether a call stands at a pool, or waits for an answer from it.
    pub fn is_at(&self, pool: PoolId, id: u64) -> bool {
        let call = self.ids.get(&id).and_then(|call| self.calls.get(call));
        call.is_some_and(|c| match c.state {
            State::Held => false,
            State::Out(Attempt { pool: at, .. }) | State::Standing { pool: at, .. } => at == pool,
        }) || self.adopted.get(&id).is_some_and(|a| a.pool == pool)
    }

    /// Whether any call stands at a pool, or waits for an answer from it.
    pub fn any_at(&self, pool: PoolId) -> bool {
        self.calls.values().any(|c| match c.state {
            State::Held => false,
            State::Out(Attempt { pool: at, .. }) | State::Standing { pool: at, .. } => at == pool,
        }) || self.adopted.values().any(|a| a.pool == pool)
    }

    /// News of a pool's load that belongs to no call.
    pub fn load(&mut self, pool: PoolId, report: Report) {
        self.events.push(Event::Load { pool, report });
    }
}

#[cfg(test)]
mod tests;
