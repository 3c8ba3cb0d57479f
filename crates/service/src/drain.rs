//! Decides which client connections a draining gatekeeper closes, and why it keeps the others.

use std::fmt;

#[cfg(test)]
mod tests;

/// Time without traffic after which a connection that waits for nothing is closed, in seconds. The load balancer sends new
/// connections for 0.2 s after the gatekeeper reports that it is not ready, and clients use open ones for a while: a request
/// that is on its way when the connection closes would be lost.
pub const QUIET_CLOSE_AFTER_S: f64 = 0.25;
/// Time after which a connection that was never sent anything is closed, in seconds.
pub const UNUSED_CLOSE_AFTER_S: f64 = 0.5;
/// Time after the start of the drain, in seconds, from which a connection that waits for nothing is closed even if it is busy.
/// So is one with standing calls and a set-up in the last [`BUSY_WINDOW_S`], as other connections can deliver the ends of
/// those calls.
pub const BUSY_CLOSE_AFTER_S: f64 = 1.5;
/// A connection with standing calls is busy if it had a set-up in this last time, in seconds.
const BUSY_WINDOW_S: f64 = 0.5;
/// Deadline of a drain, in seconds after its start: from then on no connection may be held that is idle or had a set-up in the
/// last [`IN_USE_WINDOW_S`].
pub const DEADLINE_S: f64 = 4.0;
/// A connection is in use if it had a set-up in this last time, in seconds.
pub const IN_USE_WINDOW_S: f64 = 2.0;
/// Time after the start of the drain, in seconds, from which set-ups are refused: the connection of a later set-up would be in
/// use at the deadline.
pub const REFUSE_AFTER_S: f64 = DEADLINE_S - IN_USE_WINDOW_S;
/// Time after the start of the drain, in seconds, at which everything is closed that must not be held at the deadline. It is
/// early enough for a process whose event loop is late or that is paused.
pub const FINAL_CLOSE_AFTER_S: f64 = 3.5;
/// Time after the start of the drain, in seconds, from which bytes that wait to be written no longer keep a connection open: it
/// is closed, and the peer has until [`DROP_AFTER_S`] to read them.
const UNWRITTEN_CLOSE_AFTER_S: f64 = 2.5;
/// Time after the start of the drain, in seconds, at which closed connections with bytes that still wait to be written are
/// dropped: their peers have not seen the close.
pub const DROP_AFTER_S: f64 = 3.8;
/// Time after the start of the drain, in seconds, from which the deadline has passed: the last connection that can deliver ends
/// of calls is kept.
const PAST_DEADLINE_S: f64 = DEADLINE_S + 0.2;

/// Current state of a client connection. Times are in seconds.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionState {
    /// When it was opened.
    pub since: f64,
    /// When a message was last received or sent on it.
    pub last_used_at: f64,
    /// When its last set-up was received.
    pub last_set_up_at: Option<f64>,
    /// Whether anything was ever sent to the caller.
    pub sent_anything: bool,
    /// Whether a set-up was received after a reply was sent, which shows that the caller reads what it is sent.
    pub set_up_after_reply: bool,
    /// Number of its calls that wait for their final answer.
    pub open: usize,
    /// Number of its standing calls. Their ends must reach the caller, and a draining gatekeeper accepts no new
    /// connection on which they could.
    pub standing: usize,
    /// Whether bytes wait to be written to it.
    pub writing: bool,
    /// Whether a part of a message has been received.
    pub reading: bool,
    /// Whether it is the one kept to deliver the ends of other connections' calls, see [`end_delivery_rank`].
    pub delivers_other_ends: bool,
}

/// What to do with a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Close it.
    Close,
    /// Send the final answers to its set-ups now, then close it.
    AnswerSetUps,
    /// It is the last connection that can deliver the ends of calls whose own connection is not kept, and it must be closed: cut
    /// those calls, send their ends on it, then close it.
    CutCalls,
    /// Keep it.
    Keep(KeepReason),
}

/// Why a connection is kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeepReason {
    /// A set-up waits for its answer.
    OpenSetUp,
    /// It has a standing call.
    StandingCall,
    /// It must deliver the ends of calls whose own connection is closed or will be.
    OtherCallEnds,
    /// Bytes wait to be written.
    Writing,
    /// A message has been received only in part.
    Reading,
    /// It was used recently.
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

/// Returns whether a gatekeeper that has been draining since `drained_since` refuses set-ups.
pub fn refuses_set_ups(now: f64, drained_since: f64) -> bool {
    now - drained_since >= REFUSE_AFTER_S
}

/// Decides what to do with a connection of a gatekeeper that has been draining since `drained_since`.
pub fn decide(now: f64, drained_since: f64, c: &ConnectionState) -> Decision {
    let age = now - drained_since;
    let is_in_use = in_use_at_deadline(drained_since, c.last_set_up_at);
    if c.open > 0 {
        return match is_in_use && age >= FINAL_CLOSE_AFTER_S {
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

/// Returns whether a connection may be kept for its standing calls.
pub fn may_remain(now: f64, drained_since: f64, c: &ConnectionState) -> bool {
    let past_busy_close = now - drained_since >= BUSY_CLOSE_AFTER_S;
    let busy = past_busy_close && c.last_set_up_at.is_some_and(|at| now - at < BUSY_WINDOW_S);
    c.standing > 0 && !busy && !in_use_at_deadline(drained_since, c.last_set_up_at)
}

/// Ranks a connection for delivering the ends of calls whose own connection is not kept; the greatest rank is the best. Preferred
/// are connections whose caller reads, then those that may be kept beyond the deadline, then those with the oldest last set-up.
pub fn end_delivery_rank(now: f64, drained_since: f64, c: &ConnectionState) -> (bool, bool, f64) {
    (
        c.set_up_after_reply && !c.writing,
        may_remain(now, drained_since, c),
        -c.last_set_up_at.unwrap_or(f64::NEG_INFINITY),
    )
}

/// Returns whether a connection is in use at the deadline because of its last set-up.
fn in_use_at_deadline(drained_since: f64, last_set_up_at: Option<f64>) -> bool {
    last_set_up_at.is_some_and(|at| refuses_set_ups(at, drained_since))
}

/// Returns whether a connection has had no traffic for a while. Traffic before the drain counts as traffic at its start.
fn is_quiet(now: f64, drained_since: f64, c: &ConnectionState) -> bool {
    let quiet_for = |at: f64| now - at.max(drained_since);
    match c.sent_anything {
        true => quiet_for(c.last_used_at) >= QUIET_CLOSE_AFTER_S,
        false => quiet_for(c.since) >= UNUSED_CLOSE_AFTER_S,
    }
}
