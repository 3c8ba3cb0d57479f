//! Bytes a second on one link: a token bucket.

/// What a message costs beside its own bytes: the headers of the packet that carries it and of the one that acknowledges it,
/// IPv4 and TCP with time stamps, 52 bytes each. A message that shares a packet with others costs less than it is charged.
pub const PACKET_HEADER_BYTES: usize = 104;

/// A rate of bytes with a burst. It may go into debt by one message, which is paid back before the next.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ByteBudget {
    rate: f64,
    most: f64,
    left: f64,
    at: f64,
}

impl ByteBudget {
    /// Full, with a burst of so many seconds of the rate.
    pub fn new(now: f64, rate: f64, burst: f64) -> ByteBudget {
        let most = rate * burst;
        ByteBudget { rate, most, left: most, at: now }
    }

    fn fill(&mut self, now: f64) {
        // A clock that is set back brings nothing and takes nothing.
        self.left = (self.left + (now - self.at).max(0.0) * self.rate).min(self.most);
        self.at = self.at.max(now);
    }

    /// Whether something may be said now, of any length.
    pub fn can_send(&mut self, now: f64) -> bool {
        self.fill(now);
        self.left > 0.0
    }

    /// Something of so many bytes was said. What must be said at once, such as an answer to a ping, is charged as well.
    pub fn spend(&mut self, now: f64, bytes: usize) {
        self.fill(now);
        self.left -= (bytes + PACKET_HEADER_BYTES) as f64;
    }

    /// When something may be said again.
    pub fn can_send_at(&self) -> f64 {
        self.at + (-self.left).max(0.0) / self.rate + 1e-6
    }
}
