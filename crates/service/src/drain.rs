//! Which client connections a drained gatekeeper closes, and what it keeps the others for.

use std::fmt;

#[cfg(test)]
mod tests;

/// A connection that waits for nothing is closed after it was quiet for so long, in seconds. The front sends new
/// connections for 0.2 s after a no and clients use open ones for a while: a request that is on its way when the
/// connection closes would be lost.
pub const QUIET_S: f64 = 0.25;
/// One that connected and said nothing is closed after so long, in seconds.
pub const MUTE_S: f64 = 0.5;
/// So long after the drain began, in seconds, a connection that waits for nothing is closed however busy it was, and so is one
/// with standing calls that had a request in the last [`BUSY_S`], as others can take the ends of those.
pub const FIRM_AFTER_S: f64 = 1.5;
const BUSY_S: f64 = 0.5;
/// So long after the drain began, in seconds, no connection may be held idle, or with a request of the last [`IN_USE_S`].
pub const TERM_S: f64 = 4.0;
/// A connection is in use with a request of this last time, in seconds.
pub const IN_USE_S: f64 = 2.0;
/// Set-ups are refused from so long after the drain began on, in seconds: those that come later are in use at the term.
pub const REFUSE_AFTER_S: f64 = TERM_S - IN_USE_S;
/// Whatever must not be held at the term is closed so long after the drain began, in seconds: early enough for a process that
/// turns late or is paused.
pub const FINAL_AFTER_S: f64 = 3.5;
/// So long after the drain began, in seconds, bytes that wait to be written keep a connection no more: it is closed, and the
/// peer has until [`DROP_AFTER_S`] to read them.
const BLOCKED_AFTER_S: f64 = 2.5;
/// Closed connections to which bytes still wait to be written are dropped so long after the drain began, in seconds: their
/// peers have not seen the close.
pub const DROP_AFTER_S: f64 = 3.8;
/// So long after the drain began, in seconds, the term is past: the last connection on which ends of calls can be told stays.
const PAST_TERM_S: f64 = TERM_S + 0.2;

/// What a client connection is like at the moment.
#[derive(Clone, Copy, Debug)]
pub struct Connection {
    /// When it connected.
    pub since: f64,
    /// When it last said or was told something.
    pub used_at: f64,
    /// When its last set-up came.
    pub asked_at: Option<f64>,
    /// Whether it was ever told anything.
    pub told: bool,
    /// A set-up came after something was told of a call: its caller reads what it is sent.
    pub asks_again: bool,
    /// Calls of it that wait for their final answer.
    pub open: usize,
    /// Calls of it that stand: their end is to reach the caller, and a drained gatekeeper takes no new
    /// connection on which it could.
    pub standing: usize,
    /// Bytes wait to be written to it.
    pub writing: bool,
    /// A part of a message has come.
    pub reading: bool,
    /// It is the one that stays for the ends of calls, see [`fitness_for_ends`].
    pub end_path: bool,
}

/// What becomes of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It is closed.
    Close,
    /// Its set-ups get their final answer now, and it is closed then.
    AnswerSetUps,
    /// It is the last on which ends of calls can be told whose own connection does not stay, and must go: those calls are cut
    /// and told, and it is closed then.
    CutCalls,
    /// It stays.
    Keep(KeptFor),
}

/// Why a connection stays.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeptFor {
    /// A set-up waits for its answer.
    OpenSetUp,
    /// A call that came on it stands.
    StandingCall,
    /// The ends of calls whose own connection is gone or goes.
    OtherEnds,
    /// Bytes wait to be written.
    Writing,
    /// The rest of a message is on its way.
    Reading,
    /// It was used a moment ago.
    RecentUse,
}

impl fmt::Display for KeptFor {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            KeptFor::OpenSetUp => "open-set-up",
            KeptFor::StandingCall => "standing-call",
            KeptFor::OtherEnds => "ends-of-other-calls",
            KeptFor::Writing => "writing",
            KeptFor::Reading => "reading",
            KeptFor::RecentUse => "recent-use",
        })
    }
}

/// Whether set-ups are refused at a gatekeeper that is drained since then.
pub fn refuses_set_ups(now: f64, drained_since: f64) -> bool {
    now - drained_since >= REFUSE_AFTER_S
}

/// Decides on a connection of a gatekeeper that is drained since then.
pub fn decide(now: f64, drained_since: f64, c: &Connection) -> Decision {
    let age = now - drained_since;
    let in_use_at_term = asked_late(drained_since, c.asked_at);
    if c.open > 0 {
        return match in_use_at_term && age >= FINAL_AFTER_S {
            true => Decision::AnswerSetUps,
            false => Decision::Keep(KeptFor::OpenSetUp),
        };
    }
    if c.writing && age < BLOCKED_AFTER_S {
        return Decision::Keep(KeptFor::Writing);
    }
    if c.reading && age < FINAL_AFTER_S {
        return Decision::Keep(KeptFor::Reading);
    }
    let may_stay = may_stay(now, drained_since, c);
    if c.end_path {
        return match may_stay || !(FINAL_AFTER_S..PAST_TERM_S).contains(&age) {
            true => Decision::Keep(KeptFor::OtherEnds),
            false => Decision::CutCalls,
        };
    }
    if may_stay {
        return Decision::Keep(KeptFor::StandingCall);
    }
    if age >= FIRM_AFTER_S || is_quiet(now, drained_since, c) {
        return Decision::Close;
    }
    Decision::Keep(KeptFor::RecentUse)
}

/// Whether a connection stays, as things are, for the calls that stand, which came on it.
pub fn may_stay(now: f64, drained_since: f64, c: &Connection) -> bool {
    let firm = now - drained_since >= FIRM_AFTER_S;
    let busy = firm && c.asked_at.is_some_and(|at| now - at < BUSY_S);
    c.standing > 0 && !busy && !asked_late(drained_since, c.asked_at)
}

/// How fit a connection is to be the one that stays for the ends of calls whose own does not, the fittest being the greatest:
/// its caller reads, it may stay beyond the term, and it was used longest ago.
pub fn fitness_for_ends(now: f64, drained_since: f64, c: &Connection) -> (bool, bool, f64) {
    (c.asks_again && !c.writing, may_stay(now, drained_since, c), -c.asked_at.unwrap_or(f64::NEG_INFINITY))
}

/// Whether a connection is in use at the term by its last request.
fn asked_late(drained_since: f64, asked_at: Option<f64>) -> bool {
    asked_at.is_some_and(|at| refuses_set_ups(at, drained_since))
}

/// Whether nothing was said on a connection for a while. What was said before the drain began counts as said at its start.
fn is_quiet(now: f64, drained_since: f64, c: &Connection) -> bool {
    let quiet_for = |at: f64| now - at.max(drained_since);
    match c.told {
        true => quiet_for(c.used_at) >= QUIET_S,
        false => quiet_for(c.since) >= MUTE_S,
    }
}
