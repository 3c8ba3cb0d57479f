//! The ends of calls that were written to a caller's connection a moment ago.
//!
//! That bytes were written tells nothing of whether the caller read them: where it closes its connection before, the system
//! resets it. So the ends of the last moment are kept, and those of a connection that is reset are told on another one.

use std::collections::VecDeque;

/// So long after an end was written, a reset of its connection counts as not having read it, in seconds. An end is owed
/// within 1 s, and another connection has to carry it by then.
pub const UNSURE: f64 = 0.25;
/// Ends kept for one connection at most.
const MOST: usize = 256;

/// The end of a call that stood.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct End {
    /// The call.
    pub id: u64,
    /// Whether it was cut.
    pub cut: bool,
}

/// Ends of the last moment, the oldest first.
#[derive(Debug, Default)]
pub struct RecentEnds(VecDeque<(f64, End)>);

impl RecentEnds {
    /// Notes that an end was written.
    pub fn written(&mut self, now: f64, end: End) {
        self.forget(now);
        if self.0.len() == MOST {
            self.0.pop_front();
        }
        self.0.push_back((now, end));
    }

    /// Those of which it is not sure that they were read, as the connection is over.
    pub fn unsure(&mut self, now: f64) -> Vec<End> {
        self.forget(now);
        self.0.drain(..).map(|(_, end)| end).collect()
    }

    fn forget(&mut self, now: f64) {
        while self.0.pop_front_if(|(at, _)| now - *at > UNSURE).is_some() {}
    }
}
