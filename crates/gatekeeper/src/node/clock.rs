//! The clock: monotonic, anchored to Unix time at start.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Tells Unix time in seconds that never goes back, whatever is done to the system's clock.
///
/// The decision module runs on this clock too, so that a server's start, told in Unix milliseconds,
/// is a time of its own even where the server started before this gatekeeper did.
pub struct Clock {
    /// None for a clock that stands still but for [`Clock::advance`].
    started: Option<Instant>,
    anchor: Duration,
}

impl Default for Clock {
    fn default() -> Self {
        Clock::new()
    }
}

impl Clock {
    /// A clock anchored now.
    pub fn new() -> Self {
        let anchor = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { started: Some(Instant::now()), anchor }
    }

    /// A clock that stands at a time and moves by [`Clock::advance`] alone, for tests and measurements.
    pub fn manual(at: f64) -> Self {
        Clock { started: None, anchor: Duration::from_secs_f64(at) }
    }

    /// Whether it moves by itself.
    pub fn is_real_time(&self) -> bool {
        self.started.is_some()
    }

    /// Seconds since the Unix epoch.
    pub fn now(&self) -> f64 {
        (self.anchor + self.started.map_or(Duration::ZERO, |s| s.elapsed())).as_secs_f64()
    }

    /// Lets time pass at once.
    pub fn advance(&mut self, seconds: f64) {
        self.anchor += Duration::from_secs_f64(seconds);
    }
}
