//! Unusable answers of the resolver, and when to warn about them.
//!
//! A list that does not fit into an answer stays incomplete however often it is queried: the gatekeeper continues with its
//! current list and no longer learns of servers that drain, start or end. A single damaged answer needs no warning.

use hickory_proto::op::ResponseCode;
use hickory_proto::serialize::binary::DecodeError;

/// Number of consecutive unusable answers before the first warning: two seconds at the slowest polling rate.
const FIRST_WARNING_ANSWERS: u32 = 8;
/// Each warning doubles the number of unusable answers needed for the next one, up to this limit, so that a resolver that fails
/// intermittently does not flood the log.
const MAX_WARNING_ANSWERS: u32 = 4096;

/// Why an answer to one of our queries is unusable.
#[derive(Debug, thiserror::Error)]
pub enum Unusable {
    /// The answer is not a complete DNS message.
    #[error("cannot decode the DNS message: {0}")]
    Unreadable(#[from] DecodeError),
    /// The answer has its truncation flag set.
    #[error(
        "truncated: the server list does not fit into an answer; list fewer servers for this gatekeeper"
    )]
    Truncated,
    /// The resolver returned an error code.
    #[error("the resolver returned {0}: check that it serves the name of the server list")]
    Refused(ResponseCode),
    /// Records are missing or invalid.
    #[error("records are missing or invalid: check the data that the resolver serves")]
    Incomplete,
}

/// Counts unusable answers and decides when to warn about them.
#[derive(Debug)]
pub struct AnswerStats {
    /// Number of unusable answers since the start.
    pub unusable: u64,
    /// Number of unusable answers since the last usable one.
    consecutive: u32,
    /// The next warning is due at this number of consecutive unusable answers.
    warn_at: u32,
    /// A warning was given since the last usable answer.
    warned: bool,
}

impl Default for AnswerStats {
    fn default() -> AnswerStats {
        AnswerStats { unusable: 0, consecutive: 0, warn_at: FIRST_WARNING_ANSWERS, warned: false }
    }
}

impl AnswerStats {
    /// Counts an unusable answer; returns whether a warning is due.
    pub fn record_unusable(&mut self) -> bool {
        self.unusable += 1;
        self.consecutive = self.consecutive.saturating_add(1);
        let warn = !self.warned && self.consecutive >= self.warn_at;
        if warn {
            self.warned = true;
            self.warn_at = (self.warn_at * 2).min(MAX_WARNING_ANSWERS);
        }
        warn
    }

    /// Records a usable answer; returns whether a warning about unusable ones was given before it.
    pub fn record_usable(&mut self) -> bool {
        self.consecutive = 0;
        std::mem::take(&mut self.warned)
    }
}
