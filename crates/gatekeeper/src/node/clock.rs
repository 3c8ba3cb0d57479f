//! The clock: monotonic, anchored to Unix time at start.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Tells Unix time in seconds that never goes back, whatever is done to the system's clock.
///
/// The decision module runs on this clock too, so that a server's start, told in Unix milliseconds,
/// is a time of its own even where the server started before this gatekeeper did.
pub struct Clock {
    started: Instant,
    anchor: Duration,
}

impl Clock {
    /// A clock anchored now.
    pub fn new() -> Self {
        let anchor = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { started: Instant::now(), anchor }
    }

    /// Seconds since the Unix epoch.
    pub fn now(&self) -> f64 {
        (self.anchor + self.started.elapsed()).as_secs_f64()
    }

    /// Lets time pass at once.
    #[cfg(test)]
    pub fn skip(&mut self, seconds: f64) {
        self.anchor += Duration::from_secs_f64(seconds);
    }
}
