//! Encodes replies to callers as protocol messages.

use hollypaddle_core::calls::Reply;
use hollypaddle_platform::message::{cause, code, kind, Message};

pub(super) fn encode_reply(id: u64, reply: Reply) -> Message {
    let release = Message::new(kind::RELEASE, id);
    match reply {
        Reply::Established(None) => Message::new(kind::ANSWER, id),
        Reply::Established(Some(description)) => {
            Message::new(kind::ANSWER, id).with(code::DESCRIPTION, description)
        }
        Reply::Refused(after) => {
            let refusal = release.with_cause(cause::CONGESTION);
            // The parameter is left out if there is no retry-after time, or if callers may try again at once.
            match (after * 1000.0).round() {
                ms if ms >= 1.0 => refusal.with(code::RETRY_AFTER, format!("{ms:.0}")),
                _ => refusal,
            }
        }
        Reply::Failed => release.with_cause(cause::TEMPORARY_FAILURE),
        Reply::Ended { cut: false } => release.with_cause(cause::NORMAL),
        Reply::Ended { cut: true } => release.with_cause(cause::TEMPORARY_FAILURE),
    }
}
