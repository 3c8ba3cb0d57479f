//! Which client connections a drained gatekeeper closes, and what it keeps the others for.

use std::fmt;

#[cfg(test)]
mod tests;

/// A connection that waits for nothing is closed after it was quiet for so long, in seconds. The front sends new
/// connections for 0.2 s after a no and clients use open ones for a while: a request that is on its way when the
/// connection closes would be lost.
pub const QUIET_CLOSE_AFTER_S: f64 = 0.25;
/// One that connected and said nothing is closed after so long, in seconds.
pub const UNUSED_CLOSE_AFTER_S: f64 = 0.5;
/// So long after the drain began, in seconds, a connection that waits for nothing is closed however busy it was, and so is one
/// with standing calls that had a request in the last [`BUSY_WINDOW_S`], as others can take the ends of those.
pub const BUSY_CLOSE_AFTER_S: f64 = 1.5;
const BUSY_WINDOW_S: f64 = 0.5;
/// So long after the drain began, in seconds, no connection may be held idle, or with a request of the last [`IN_USE_WINDOW_S`].
pub const DEADLINE_S: f64 = 4.0;
/// A connection is in use with a request of this last time, in seconds.
pub const IN_USE_WINDOW_S: f64 = 2.0;
/// Set-ups are refused from so long after the drain began on, in seconds: those that come later are in use at the term.
pub const REFUSE_AFTER_S: f64 = DEADLINE_S - IN_USE_WINDOW_S;
/// Whatever must not be held at the term is closed so long after the drain began, in seconds: early enough for a process that
/// turns late or is paused.
pub const FINAL_CLOSE_AFTER_S: f64 = 3.5;
/// So long after the drain began, in seconds, bytes that wait to be written keep a connection no more: it is closed, and the
/// peer has until [`DROP_AFTER_S`] to read them.
const UNWRITTEN_CLOSE_AFTER_S: f64 = 2.5;
/// Closed connections to which bytes still wait to be written are dropped so long after the drain began, in seconds: their
/// peers have not seen the close.
pub const DROP_AFTER_S: f64 = 3.8;
/// So long after the drain began, in seconds, the term is past: the last connection on which ends of calls can be told stays.
const PAST_DEADLINE_S: f64 = DEADLINE_S + 0.2;

/// What a client connection is like at the moment.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionState {
    /// When it connected.
    pub since: f64,
    /// When it last said or was told something.
    pub last_used_at: f64,
    /// When its last set-up came.
    pub last_set_up_at: Option<f64>,
    /// Whether it was ever told anything.
    pub sent_anything: bool,
    /// A set-up came after something was told of a call: its caller reads what it is sent.
    pub set_up_after_reply: bool,
    /// Calls of it that wait for their final answer.
    pub open: usize,
    /// Calls of it that stand: their end is to reach the caller, and a drained gatekeeper takes no new
    /// connection on which it could.
    pub standing: usize,
    /// Bytes wait to be written to it.
    pub writing: bool,
    /// A part of a message has come.
    pub reading: bool,
    /// It is the one that stays for the ends of calls, see [`end_delivery_rank`].
    pub delivers_other_ends: bool,
}

/// What becomes of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It is closed.
    Close,
    /// Its set-ups get their final answer now, and it is closed then.
    AnswerSetUps,
    /// It is the last on which ends of calls can be told whose own connection does not stay, and must go: those calls are cut
    /// and sent_anything, and it is closed then.
    CutCalls,
    /// It stays.
    Keep(KeepReason),
}

/// Why a connection stays.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeepReason {
    /// A set-up waits for its answer.
    OpenSetUp,
    /// A call that came on it stands.
    StandingCall,
    /// The ends of calls whose own connection is gone or goes.
    OtherCallEnds,
    /// Bytes wait to be written.
    Writing,
    /// The rest of a message is on its way.
    Reading,
    /// It was used a moment ago.
    RecentUse,
}

impl fmt::Display for KeepReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            KeepReason::OpenSetUp => "open-set-up",
            KeepReason::StandingCall => "standing-call",
            KeepReason::OtherCallEnds => "ends-of-other-calls",
            KeepReason::Writing => "writing",
            KeepReason::Reading => "reading",
            KeepReason::RecentUse => "recent-use",
        })
    }
}

/// Whether set-ups are refused at a gatekeeper that is drained since then.
pub fn refuses_set_ups(now: f64, drained_since: f64) -> bool {
    now - drained_since >= REFUSE_AFTER_S
}

/// Decides on a connection of a gatekeeper that is drained since then.
pub fn decide(now: f64, drained_since: f64, c: &ConnectionState) -> Decision {
    let age = now - drained_since;
    let in_use_at_term = asked_late(drained_since, c.last_set_up_at);
    if c.open > 0 {
        return match in_use_at_term && age >= FINAL_CLOSE_AFTER_S {
            true => Decision::AnswerSetUps,
            false => Decision::Keep(KeepReason::OpenSetUp),
        };
    }
    if c.writing && age < UNWRITTEN_CLOSE_AFTER_S {
        return Decision::Keep(KeepReason::Writing);
    }
    if c.reading && age < FINAL_CLOSE_AFTER_S {
        return Decision::Keep(KeepReason::Reading);
    }
    let may_remain = may_remain(now, drained_since, c);
    if c.delivers_other_ends {
        return match may_remain || !(FINAL_CLOSE_AFTER_S..PAST_DEADLINE_S).contains(&age) {
            true => Decision::Keep(KeepReason::OtherCallEnds),
            false => Decision::CutCalls,
        };
    }
    if may_remain {
        return Decision::Keep(KeepReason::StandingCall);
    }
    if age >= BUSY_CLOSE_AFTER_S || is_quiet(now, drained_since, c) {
        return Decision::Close;
    }
    Decision::Keep(KeepReason::RecentUse)
}

/// Whether a connection stays, as things are, for the calls that stand, which came on it.
pub fn may_remain(now: f64, drained_since: f64, c: &ConnectionState) -> bool {
    let firm = now - drained_since >= BUSY_CLOSE_AFTER_S;
    let busy = firm && c.last_set_up_at.is_some_and(|at| now - at < BUSY_WINDOW_S);
    c.standing > 0 && !busy && !asked_late(drained_since, c.last_set_up_at)
}

/// How fit a connection is to be the one that stays for the ends of calls whose own does not, the fittest being the greatest:
/// its caller reads, it may stay beyond the term, and it was used longest ago.
pub fn end_delivery_rank(now: f64, drained_since: f64, c: &ConnectionState) -> (bool, bool, f64) {
    (
        c.set_up_after_reply && !c.writing,
        may_remain(now, drained_since, c),
        -c.last_set_up_at.unwrap_or(f64::NEG_INFINITY),
    )
}

/// Whether a connection is in use at the term by its last request.
fn asked_late(drained_since: f64, last_set_up_at: Option<f64>) -> bool {
    last_set_up_at.is_some_and(|at| refuses_set_ups(at, drained_since))
}

/// Whether nothing was said on a connection for a while. What was said before the drain began counts as said at its start.
fn is_quiet(now: f64, drained_since: f64, c: &ConnectionState) -> bool {
    let quiet_for = |at: f64| now - at.max(drained_since);
    match c.sent_anything {
        true => quiet_for(c.last_used_at) >= QUIET_CLOSE_AFTER_S,
        false => quiet_for(c.since) >= UNUSED_CLOSE_AFTER_S,
    }
}
