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
/// So long after the drain began, in seconds, a connection that waits for nothing is closed however busy it was.
pub const FIRM_AFTER_S: f64 = 1.5;
/// So long after the drain began, in seconds, no connection may be held idle, or with a request of the last 2 s.
pub const TERM_S: f64 = 4.0;

/// What a client connection is like at the moment.
#[derive(Clone, Copy, Debug)]
pub struct Connection {
    /// When it connected.
    pub since: f64,
    /// When it last said or was told something.
    pub used_at: f64,
    /// Whether it was ever told anything.
    pub told: bool,
    /// Calls of it that wait for their final answer.
    pub open: usize,
    /// Calls of it that stand: their end is to reach the caller, and a drained gatekeeper takes no new
    /// connection on which it could.
    pub standing: usize,
    /// Bytes wait to be written to it.
    pub writing: bool,
    /// It stays for the ends of calls whose own connection is gone.
    pub reserved: bool,
}

/// What becomes of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It is closed.
    Close,
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
    /// The ends of calls whose own connection is gone.
    OtherEnds,
    /// Bytes wait to be written.
    Writing,
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
            KeptFor::RecentUse => "recent-use",
        })
    }
}

/// Decides on a connection of a gatekeeper that is drained since then.
pub fn decide(now: f64, drained_since: f64, c: &Connection) -> Decision {
    if c.reserved {
        return Decision::Keep(KeptFor::OtherEnds);
    }
    if c.open > 0 {
        return Decision::Keep(KeptFor::OpenSetUp);
    }
    if c.standing > 0 {
        return Decision::Keep(KeptFor::StandingCall);
    }
    if c.writing {
        return Decision::Keep(KeptFor::Writing);
    }
    if now - drained_since >= FIRM_AFTER_S || is_quiet(now, drained_since, c) {
        return Decision::Close;
    }
    Decision::Keep(KeptFor::RecentUse)
}

/// Whether nothing was said on a connection for a while. What was said before the drain began counts as said at its start.
fn is_quiet(now: f64, drained_since: f64, c: &Connection) -> bool {
    let quiet_for = |at: f64| now - at.max(drained_since);
    match c.told {
        true => quiet_for(c.used_at) >= QUIET_S,
        false => quiet_for(c.since) >= MUTE_S,
    }
}
