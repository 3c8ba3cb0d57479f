//! Tracks how many leaves a relay may have over time.
//!
//! The number up to which a relay accepts leaves follows the leaves and relays that are present
//! ([`crate::placement::leaf_limit`]). It falls in one step when a relay comes back or leaves end elsewhere. Leaves
//! return to their preferred relay slowly on purpose, so the number that a relay may *have* rises at once and falls
//! evenly over the time that they take; leaves beyond it are sent away.

/// The number of leaves that a relay may have, and the target that it falls to.
#[derive(Clone, Copy, Debug)]
pub struct LeafLimit {
    limit: f64,
    target: usize,
    /// Leaves per second by which the limit falls to its target.
    fall_per_s: f64,
    updated_at: f64,
}

impl LeafLimit {
    /// The limit at a start: the number of leaves that the relay accepts at that time.
    pub fn new(now: f64, accepted: usize) -> LeafLimit {
        LeafLimit { limit: accepted as f64, target: accepted, fall_per_s: 0.0, updated_at: now }
    }

    /// The most leaves that the relay may have now.
    pub fn limit(&self) -> usize {
        self.limit.ceil() as usize
    }

    /// Raises the limit at once if the relay accepts more leaves than the limit allows.
    pub fn raise_to(&mut self, accepted: usize) {
        if accepted as f64 >= self.limit {
            (self.limit, self.target, self.fall_per_s) = (accepted as f64, accepted, 0.0);
        }
    }

    /// Moves the limit towards `accepted`, over `fall_s` seconds from the moment in which that number fell. One step
    /// counts for at most `max_step_s`, so that a pause of the process does not shed many leaves at one moment.
    pub fn step_towards(&mut self, now: f64, accepted: usize, fall_s: f64, max_step_s: f64) {
        let elapsed_s = (now - self.updated_at).clamp(0.0, max_step_s);
        self.updated_at = now;
        self.raise_to(accepted);
        if accepted as f64 >= self.limit {
            return;
        }
        if accepted < self.target {
            // The rate never decreases: a target that moves up and down a little must not delay the end of the fall.
            self.fall_per_s = self.fall_per_s.max((self.limit - accepted as f64) / fall_s.max(max_step_s));
        }
        self.target = accepted;
        self.limit = (self.limit - self.fall_per_s * elapsed_s).max(accepted as f64);
    }
}
