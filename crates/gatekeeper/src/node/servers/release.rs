//! The release of one call at a session server.

use hollypaddle_platform::message::{cause, kind, Message};

/// A release that was sent again is not sent once more after so long, in seconds. A server that closes idle connections would be
/// sent it on each next one.
pub(super) const RESEND_LIMIT_S: f64 = 30.0;

/// The release of a call at a server, or of an attempt that is given up there.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Release {
    /// The call.
    pub id: u64,
    /// When it was ordered.
    pub ordered_at: f64,
    /// When it was first sent again.
    pub resent_at: Option<f64>,
}

impl Release {
    /// One that is ordered now.
    pub fn new(now: f64, id: u64) -> Self {
        Release { id, ordered_at: now, resent_at: None }
    }

    /// What tells the server.
    pub fn message(self) -> Message {
        Message::new(kind::RELEASE, self.id).caused(cause::NORMAL)
    }

    /// When it is too late to send it once more.
    pub fn expires_at(self) -> f64 {
        self.resent_at.map_or(f64::INFINITY, |at| at + RESEND_LIMIT_S)
    }
}
