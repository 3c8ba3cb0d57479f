//! Tracks readiness and lameduck, which decide whether the gatekeeper accepts clients.

#[cfg(test)]
mod tests;

/// How long the clients' listener still accepts connections after the start of a drain, in seconds: the load balancer sends
/// new ones for 0.2 s after the gatekeeper reports that it is not ready, and a few more may be on their way.
pub const ACCEPT_AFTER_DRAIN_START_S: f64 = 0.5;

/// Phase of the gatekeeper's life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It accepts clients.
    Serving,
    /// Lameduck: it still serves requests but reports that it is not ready, and closes its clients' connections.
    Lameduck,
    /// After SIGTERM: it finishes its open work and exits.
    Stopping,
}

/// The current phase and its start.
#[derive(Clone, Debug)]
pub struct Lifecycle {
    phase: Phase,
    /// Start of the current phase, in seconds.
    since: f64,
    /// Number of times that lameduck was turned on or off, for the log and the figures.
    pub changes: u64,
}

impl Lifecycle {
    /// Starts in the phase `Serving`.
    pub fn new(now: f64) -> Self {
        Lifecycle { phase: Phase::Serving, since: now, changes: 0 }
    }

    /// The current phase.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Start of the current phase, in seconds.
    pub fn since(&self) -> f64 {
        self.since
    }

    /// Start of the drain in seconds, if the gatekeeper is in lameduck.
    pub fn drained_since(&self) -> Option<f64> {
        (self.phase == Phase::Lameduck).then_some(self.since)
    }

    /// Returns whether the load balancer may send it clients.
    pub fn ready(&self) -> bool {
        self.phase == Phase::Serving
    }

    /// Turns lameduck on; returns whether that changed the phase. Turning it on again changes nothing.
    pub fn lameduck_on(&mut self, now: f64) -> bool {
        self.transition(now, Phase::Serving, Phase::Lameduck)
    }

    /// Turns lameduck off; returns whether that changed the phase. Turning it off while it is not on changes nothing.
    pub fn lameduck_off(&mut self, now: f64) -> bool {
        self.transition(now, Phase::Lameduck, Phase::Serving)
    }

    /// Handles SIGTERM: enters `Stopping` from any phase, for good. Returns whether that changed the phase.
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

    /// Returns whether the clients' listener accepts connections now. During a drain it stops
    /// [`ACCEPT_AFTER_DRAIN_START_S`] after the start, because a listener that accepts connections signals to the load
    /// balancer that the gatekeeper accepts work. In `Stopping`, the program closes the listener itself when it exits.
    pub fn accepts_connections(&self, now: f64) -> bool {
        match self.phase {
            Phase::Serving | Phase::Stopping => true,
            Phase::Lameduck => now - self.since < ACCEPT_AFTER_DRAIN_START_S,
        }
    }
}
