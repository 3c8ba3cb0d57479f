//! The release of one call at a session server.

use hollypaddle_platform::message::{cause, kind, Message};

/// Time after its first resend for which a release may be resent, in seconds. Without this limit, a server that closes idle
/// connections would be sent it on each next one.
pub(super) const RESEND_LIMIT_S: f64 = 30.0;

/// The release of a call at a server, or of an attempt that is given up there. Times are in Unix seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Release {
    /// The call's 64-bit id.
    pub id: u64,
    /// When the release was first sent again.
    pub resent_at: Option<f64>,
}

impl Release {
    /// Creates a release that was not sent yet.
    pub fn new(id: u64) -> Self {
        Release { id, resent_at: None }
    }

    /// The message for the server.
    pub fn message(self) -> Message {
        Message::new(kind::RELEASE, self.id).with_cause(cause::NORMAL)
    }

    /// Time after which the release is not sent again, in Unix seconds.
    pub fn expires_at(self) -> f64 {
        self.resent_at.map_or(f64::INFINITY, |at| at + RESEND_LIMIT_S)
    }
}
