//! The ends of calls that were written to a caller's connection last.
//!
//! That bytes were written tells nothing of whether the caller read them: where it closes its connection before, the system
//! resets it. What was written last is unread then for certain, and what was written together with it as good as for certain:
//! those ends are told on another connection. What was written earlier may have been read, and is not told twice.

/// So long after the last write, a reset of its connection counts as not having read it, in seconds. An end is owed within
/// 1 s, and another connection has to carry it by then.
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

/// The ends among what was written in one turn, the last one in which anything was.
#[derive(Debug, Default)]
pub struct LastEnds {
    written_at: f64,
    ends: Vec<End>,
}

impl LastEnds {
    /// Notes that something was written.
    pub fn written(&mut self, now: f64) {
        if now > self.written_at {
            self.written_at = now;
            self.ends.clear();
        }
    }

    /// Notes that this was an end.
    pub fn end_written(&mut self, now: f64, end: End) {
        self.written(now);
        if self.ends.len() < MOST {
            self.ends.push(end);
        }
    }

    /// Those that were not read if the connection, which is over now, turns out to be reset.
    pub fn unsure(&mut self, now: f64) -> Vec<End> {
        match now - self.written_at <= UNSURE {
            true => std::mem::take(&mut self.ends),
            false => Vec::new(),
        }
    }
}
