//! Answers of the resolver that cannot be taken, and when that is to be told.
//!
//! A list that does not fit into an answer is never whole, however often it is asked for: the gatekeeper goes on with the list
//! that it has, and hears of no drain, start or end of a server any more. A single spoilt answer is nothing to tell.

use hickory_proto::op::ResponseCode;
use hickory_proto::serialize::binary::DecodeError;

/// Answers in a row that cannot be taken before it is told for the first time: two seconds at the slowest rate of questions.
const FIRST_TOLD: u32 = 8;
/// Each time it is told the next one takes twice as many, up to this: a resolver that comes and goes does not fill the log.
const MOST_TOLD: u32 = 4096;

/// Why an answer to a question of ours cannot be taken.
#[derive(Debug, thiserror::Error)]
pub enum Unusable {
    /// It is no message, or a part of one.
    #[error("it cannot be read: {0}")]
    Unreadable(#[from] DecodeError),
    /// It says so itself.
    #[error("it is cut short: the list does not fit into an answer; list fewer servers for this gatekeeper")]
    CutShort,
    /// The resolver has no list.
    #[error("the resolver answers {0}: see whether it serves the list's name")]
    Refused(ResponseCode),
    /// Records are missing, or make no sense.
    #[error("records are missing or make no sense: see what the resolver serves")]
    Incomplete,
}

/// Counts answers.
#[derive(Debug)]
pub struct Answers {
    /// Answers that could not be taken, since the start.
    pub unusable: u64,
    in_a_row: u32,
    tell_at: u32,
    told: bool,
}

impl Default for Answers {
    fn default() -> Answers {
        Answers { unusable: 0, in_a_row: 0, tell_at: FIRST_TOLD, told: false }
    }
}

impl Answers {
    /// One could not be taken; returns whether that is to be told now.
    pub fn unusable(&mut self) -> bool {
        self.unusable += 1;
        self.in_a_row = self.in_a_row.saturating_add(1);
        let tell = !self.told && self.in_a_row >= self.tell_at;
        if tell {
            self.told = true;
            self.tell_at = (self.tell_at * 2).min(MOST_TOLD);
        }
        tell
    }

    /// One was taken; returns whether it was told that they could not be.
    pub fn usable(&mut self) -> bool {
        self.in_a_row = 0;
        std::mem::take(&mut self.told)
    }
}
