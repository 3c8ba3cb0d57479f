//! A monotonic clock that is anchored to Unix time when the program starts.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Gives the Unix time in seconds. It never goes back, even if the system's clock is set.
///
/// The decision module uses this clock too. A server's start time, which comes in Unix milliseconds, can therefore be
/// compared with it even if the server started before this gatekeeper.
pub struct Clock {
    /// `None` for a clock that only moves by [`Clock::advance`].
    started: Option<Instant>,
    anchor: Duration,
}

impl Default for Clock {
    fn default() -> Self {
        Clock::new()
    }
}

impl Clock {
    /// A clock that is anchored to the system's clock now.
    pub fn new() -> Self {
        let anchor = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { started: Some(Instant::now()), anchor }
    }

    /// A clock that starts at the Unix time `at`, in seconds, and only moves by [`Clock::advance`]. For tests and measurements.
    pub fn manual(at: f64) -> Self {
        Clock { started: None, anchor: Duration::from_secs_f64(at) }
    }

    /// Whether the clock follows real time, rather than only moving by [`Clock::advance`].
    pub fn is_real_time(&self) -> bool {
        self.started.is_some()
    }

    /// The time, in seconds since the Unix epoch.
    pub fn now(&self) -> f64 {
        (self.anchor + self.started.map_or(Duration::ZERO, |s| s.elapsed())).as_secs_f64()
    }

    /// Moves the clock forward.
    pub fn advance(&mut self, seconds: f64) {
        self.anchor += Duration::from_secs_f64(seconds);
    }
}
