//! Readiness and lameduck: whether the gatekeeper takes clients, and which client connections it closes
//! while it is drained.

/// Once drained, a connection that waits for nothing is closed after it was quiet for so long, in seconds.
/// The front sends new connections for 0.2 s after a no and clients use open ones for a while: a request
/// that is on its way when the connection closes would be lost, so a short quiet comes first.
pub const QUIET: f64 = 0.25;
/// One that connected and said nothing is closed after so long.
pub const MUTE: f64 = 0.5;
/// So long after the drain began, a connection that waits for nothing is closed however busy it was: at
/// 4 s none may be held that had a request in the last 2 s, and clients keep asking on open connections.
pub const FIRM: f64 = 1.5;

/// So long after a drain began, the clients' listener still takes connections: the front sends new ones
/// for 0.2 s after its no, and a few more may be on their way.
pub const HOLD_OPEN: f64 = 0.5;

/// Where the gatekeeper stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It takes clients.
    Serving,
    /// Lameduck: it serves what comes but says that it is not ready, and lets its clients go.
    Lameduck,
    /// SIGTERM: it finishes what it holds and ends.
    Stopping,
}

/// What a client connection is like at the moment, for the question whether to close it.
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
}

/// Readiness and lameduck.
#[derive(Clone, Debug)]
pub struct Lifecycle {
    phase: Phase,
    /// Since when it is in its phase.
    since: f64,
    /// How often lameduck was turned on and off, for the log and the figures.
    pub changes: u64,
}

impl Lifecycle {
    /// Serving from now on.
    pub fn new(now: f64) -> Self {
        Lifecycle { phase: Phase::Serving, since: now, changes: 0 }
    }

    /// Where it stands.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Since when.
    pub fn since(&self) -> f64 {
        self.since
    }

    /// Whether the front may send it clients.
    pub fn ready(&self) -> bool {
        self.phase == Phase::Serving
    }

    /// Lameduck on; returns whether that changed anything. Twice is once.
    pub fn lameduck_on(&mut self, now: f64) -> bool {
        self.to(now, Phase::Serving, Phase::Lameduck)
    }

    /// Lameduck off; returns whether that changed anything. Off while not on changes nothing.
    pub fn lameduck_off(&mut self, now: f64) -> bool {
        self.to(now, Phase::Lameduck, Phase::Serving)
    }

    /// SIGTERM: from any phase, and for good.
    pub fn stop(&mut self, now: f64) -> bool {
        let changed = self.phase != Phase::Stopping;
        if changed {
            (self.phase, self.since) = (Phase::Stopping, now);
        }
        changed
    }

    fn to(&mut self, now: f64, from: Phase, to: Phase) -> bool {
        let changed = self.phase == from;
        if changed {
            (self.phase, self.since, self.changes) = (to, now, self.changes + 1);
        }
        changed
    }

    /// Whether the clients' listener is to take connections now. While drained, it stops a little after
    /// the drain began: a listener that takes connections tells the front that it takes work. Stopping is
    /// seen to by the program's own end.
    pub fn listens(&self, now: f64) -> bool {
        match self.phase {
            Phase::Serving | Phase::Stopping => true,
            Phase::Lameduck => now - self.since < HOLD_OPEN,
        }
    }

    /// Whether a client connection is to be closed now. Only while drained, and only one that waits for
    /// no answer and has nothing on its way to it: a request of the last moments is answered first.
    pub fn closes(&self, now: f64, c: &Connection) -> bool {
        if self.phase != Phase::Lameduck || c.open > 0 || c.standing > 0 || c.writing {
            return false;
        }
        if now - self.since >= FIRM {
            return true;
        }
        // Whatever was said before the drain began counts as quiet from its start.
        let since = |t: f64| now - t.max(self.since);
        match c.told {
            true => since(c.used_at) >= QUIET,
            false => since(c.since) >= MUTE,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn quiet(since: f64, used_at: f64) -> Connection {
        Connection { since, used_at, told: true, open: 0, standing: 0, writing: false }
    }

    #[test]
    fn lameduck_twice_is_once_and_off_while_not_on_is_nothing() {
        let mut life = Lifecycle::new(0.0);
        assert!(life.ready());
        assert!(!life.lameduck_off(1.0));
        assert!(life.ready());
        assert!(life.lameduck_on(2.0));
        assert!(!life.lameduck_on(3.0));
        assert_eq!(life.since(), 2.0);
        assert!(!life.ready());
        assert!(life.lameduck_off(4.0));
        assert!(life.ready());
        assert_eq!(life.changes, 2);
    }

    #[test]
    fn the_listener_stops_a_little_after_a_drain_and_listens_again_after_it() {
        let mut life = Lifecycle::new(0.0);
        assert!(life.listens(0.0));
        life.lameduck_on(5.0);
        assert!(life.listens(5.0 + HOLD_OPEN - 0.01));
        assert!(!life.listens(5.0 + HOLD_OPEN));
        life.lameduck_off(9.0);
        assert!(life.listens(9.0));
    }

    #[test]
    fn a_stopping_gatekeeper_is_never_ready_again() {
        let mut life = Lifecycle::new(0.0);
        life.lameduck_on(1.0);
        assert!(life.stop(2.0));
        assert!(!life.lameduck_off(3.0));
        assert!(!life.ready());
        assert_eq!(life.phase(), Phase::Stopping);
    }

    #[test]
    fn only_quiet_connections_close_and_only_while_drained() {
        let mut life = Lifecycle::new(0.0);
        let old = quiet(0.0, 1.0);
        assert!(!life.closes(100.0, &old), "serving: nothing is closed here");
        life.lameduck_on(10.0);
        // Quiet since long before the drain: counted from the drain's start.
        assert!(!life.closes(10.2, &old));
        assert!(life.closes(10.25, &old));
        // A request of the last moment is answered before its connection goes.
        let asking = Connection { open: 1, ..old };
        assert!(!life.closes(13.0, &asking));
        let answering = Connection { writing: true, ..old };
        let standing = Connection { standing: 1, ..old };
        assert!(!life.closes(13.0, &standing), "the end of what stands is owed to it");
        assert!(!life.closes(13.0, &answering));
        let answered = quiet(10.1, 10.8);
        assert!(!life.closes(11.0, &answered));
        assert!(life.closes(11.05, &answered));
        // A new connection that says nothing gets a little longer to say it.
        let mute = Connection { told: false, ..quiet(10.1, 10.1) };
        assert!(!life.closes(10.5, &mute));
        assert!(life.closes(10.6, &mute));
        // One that keeps asking is let go once the drain is firm, between its answers.
        let busy = quiet(10.1, 11.49);
        assert!(!life.closes(11.49, &busy));
        assert!(life.closes(11.5, &busy));
        // Every connection that waits for nothing is gone well before 4 s.
        assert!([old, answered, mute, busy].iter().all(|c| life.closes(11.5, c)));
        life.lameduck_off(14.0);
        assert!(!life.closes(20.0, &old));
    }
}
