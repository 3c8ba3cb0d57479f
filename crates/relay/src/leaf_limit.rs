//! How many leaves a relay may have.
//!
//! What it takes further leaves up to follows the leaves and relays that are there ([`crate::placement::leaf_limit`]), and falls in
//! one step as a relay comes back or leaves end elsewhere. Leaves go home slowly on purpose, so what it may *have* rises at
//! once and falls evenly over the time in which they do; what is beyond it then is to be shed.

/// Leaves that a relay may have.
#[derive(Clone, Copy, Debug)]
pub struct LeafLimit {
    limit: f64,
    target: usize,
    /// Leaves a second by which the limit falls to its target.
    rate: f64,
    at: f64,
}

impl LeafLimit {
    /// At a start, with what the relay takes then.
    pub fn new(now: f64, takes: usize) -> LeafLimit {
        LeafLimit { limit: takes as f64, target: takes, rate: 0.0, at: now }
    }

    /// The most leaves that the relay may have now.
    pub fn limit(&self) -> usize {
        self.limit.ceil() as usize
    }

    /// Leaves are taken up to `takes`: at once, where that is more than the relay might have.
    pub fn raise_to(&mut self, takes: usize) {
        if takes as f64 >= self.limit {
            (self.limit, self.target, self.rate) = (takes as f64, takes, 0.0);
        }
    }

    /// Goes on towards `takes`, over `falls` seconds from the moment in which that fell. A step counts for `longest` seconds at
    /// the most: after a pause nothing is shed in one moment.
    pub fn step_towards(&mut self, now: f64, takes: usize, falls: f64, longest: f64) {
        let passed = (now - self.at).clamp(0.0, longest);
        self.at = now;
        self.raise_to(takes);
        if takes as f64 >= self.limit {
            return;
        }
        if takes < self.target {
            // Never slower than before: a target that goes up and down a little must not put the end off.
            self.rate = self.rate.max((self.limit - takes as f64) / falls.max(longest));
        }
        self.target = takes;
        self.limit = (self.limit - self.rate * passed).max(takes as f64);
    }
}
