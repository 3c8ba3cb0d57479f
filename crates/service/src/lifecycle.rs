//! Readiness and lameduck: whether the gatekeeper takes clients.

#[cfg(test)]
mod tests;

/// So long after a drain began, in seconds, the clients' listener still takes connections: the front sends new ones
/// for 0.2 s after its no, and a few more may be on their way.
pub const ACCEPT_AFTER_DRAIN_START_S: f64 = 0.5;

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

    /// Since when it is drained, if it is.
    pub fn drained_since(&self) -> Option<f64> {
        (self.phase == Phase::Lameduck).then_some(self.since)
    }

    /// Whether the front may send it clients.
    pub fn ready(&self) -> bool {
        self.phase == Phase::Serving
    }

    /// Lameduck on; returns whether that changed anything. Twice is once.
    pub fn lameduck_on(&mut self, now: f64) -> bool {
        self.transition(now, Phase::Serving, Phase::Lameduck)
    }

    /// Lameduck off; returns whether that changed anything. Off while not on changes nothing.
    pub fn lameduck_off(&mut self, now: f64) -> bool {
        self.transition(now, Phase::Lameduck, Phase::Serving)
    }

    /// SIGTERM: from any phase, and for good.
    pub fn stop(&mut self, now: f64) -> bool {
        let changed = self.phase != Phase::Stopping;
        if changed {
            (self.phase, self.since) = (Phase::Stopping, now);
        }
        changed
    }

    fn transition(&mut self, now: f64, from: Phase, to: Phase) -> bool {
        let changed = self.phase == from;
        if changed {
            (self.phase, self.since, self.changes) = (to, now, self.changes + 1);
        }
        changed
    }

    /// Whether the clients' listener is to take connections now. While drained, it stops a little after
    /// the drain began: a listener that takes connections tells the front that it takes work. Stopping is
    /// seen to by the program's own end.
    pub fn accepts_connections(&self, now: f64) -> bool {
        match self.phase {
            Phase::Serving | Phase::Stopping => true,
            Phase::Lameduck => now - self.since < ACCEPT_AFTER_DRAIN_START_S,
        }
    }
}
