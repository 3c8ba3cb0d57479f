//! Limits the bytes per second on one link with a token bucket.

/// Overhead charged per message in addition to its own bytes: the headers of the packet that carries it and of the
/// packet that acknowledges it (IPv4 and TCP with time stamps, 52 bytes each). A message that shares a packet with
/// others costs less than it is charged.
pub const PACKET_HEADER_BYTES: usize = 104;

/// A token bucket of bytes. It may go into debt by one message, which is paid back before the next one.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ByteBudget {
    bytes_per_s: f64,
    capacity: f64,
    left: f64,
    updated_at: f64,
}

impl ByteBudget {
    /// A full bucket that holds `burst_s` seconds of `bytes_per_s`.
    pub fn new(now: f64, bytes_per_s: f64, burst_s: f64) -> ByteBudget {
        let capacity = bytes_per_s * burst_s;
        ByteBudget { bytes_per_s, capacity, left: capacity, updated_at: now }
    }

    fn refill(&mut self, now: f64) {
        // A clock that is set back neither adds nor removes tokens.
        self.left = (self.left + (now - self.updated_at).max(0.0) * self.bytes_per_s).min(self.capacity);
        self.updated_at = self.updated_at.max(now);
    }

    /// Whether a message of any length may be sent now.
    pub fn can_send(&mut self, now: f64) -> bool {
        self.refill(now);
        self.left > 0.0
    }

    /// Charges a message of this many bytes. Messages that must be sent at once, such as answers to pings, are
    /// charged as well.
    pub fn spend(&mut self, now: f64, bytes: usize) {
        self.refill(now);
        self.left -= (bytes + PACKET_HEADER_BYTES) as f64;
    }

    /// When a message may be sent again.
    pub fn can_send_at(&self) -> f64 {
        self.updated_at + (-self.left).max(0.0) / self.bytes_per_s + 1e-6
    }
}
