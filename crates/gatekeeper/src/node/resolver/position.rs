//! Decides which of the resolver's lists are applied, by their positions and by the order of the queries that they answer.
//!
//! Within one life of a gatekeeper a list with a higher position is newer. Events are numbered anew each time a gatekeeper starts,
//! so an answer from before a restart may have a higher position than any list since. A list from a single answer is therefore
//! replaced by an older one as soon as two answers to different queries agree on that. A list that was received twice is never
//! replaced by an older one.
//!
//! An answer to one of the latest queries is *recent*. A later one may have been on its way for long, and what it holds may be as
//! old as its query. So it counts for less:
//!
//! - A newer list is applied at once only if no later query was answered before; otherwise a second answer must be newer too.
//! - It confirms the current list, or speaks for an older one, only if its query was sent after the current list was received.

use std::cmp::Ordering;

/// An answer is recent if it is to one of this many latest queries.
const RECENT_QUERIES: u64 = 8;

/// What to do with a list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Verdict {
    /// It becomes the current list.
    Apply,
    /// It is the current list.
    Current,
    /// It is passed over.
    PassOver,
}

/// An older list that the resolver may have gone back to.
#[derive(Clone, Copy, Debug)]
struct OlderCandidate {
    position: u64,
    query: u64,
}

/// The position of the current list, and how certain it is. Queries are given by their numbers.
#[derive(Debug)]
pub(super) struct ListPosition {
    /// The number of the last event that the current list contains.
    position: u64,
    /// The current list came in a single answer, and no other answer has confirmed it yet.
    unverified: bool,
    /// The last query that was sent before the current list was received.
    received_after: u64,
    /// The latest query that was answered.
    latest_answered: u64,
    /// An older list that was received since the current one.
    older_candidate: Option<OlderCandidate>,
    /// The query of a newer list that was not applied, as its answer came late and out of order.
    newer_candidate: Option<u64>,
}

impl ListPosition {
    /// Starts with a list from the configuration.
    pub fn new(position: u64) -> Self {
        ListPosition {
            position,
            unverified: false,
            received_after: 0,
            latest_answered: 0,
            older_candidate: None,
            newer_candidate: None,
        }
    }

    /// The position of the current list.
    pub fn get(&self) -> u64 {
        self.position
    }

    /// Advances to a list from the configuration, which needs no other answer to confirm it. Returns whether that list is newer
    /// than the current one.
    pub fn advance_to_configured(&mut self, position: u64) -> bool {
        let is_newer = position > self.position;
        if is_newer {
            self.replace(position, false, self.received_after);
        }
        is_newer
    }

    /// Judges the list at a position in the answer to `query`, when `last_query` is the query that was sent last.
    pub fn judge(&mut self, position: u64, query: u64, last_query: u64) -> Verdict {
        let is_recent = query + RECENT_QUERIES > last_query;
        let is_in_order = query > self.latest_answered;
        self.latest_answered = self.latest_answered.max(query);
        let tells_of_current = is_recent || query > self.received_after;
        match position.cmp(&self.position) {
            Ordering::Greater if is_recent || is_in_order || self.agrees_on_newer(query) => {
                self.replace(position, true, last_query);
                Verdict::Apply
            }
            Ordering::Equal => {
                if tells_of_current {
                    (self.unverified, self.older_candidate, self.newer_candidate) = (false, None, None);
                }
                Verdict::Current
            }
            Ordering::Less
                if self.unverified && tells_of_current && self.agrees_on_older(position, query) =>
            {
                log::info!(held = self.position, told = position; "list-of-an-earlier-life");
                self.replace(position, false, last_query);
                Verdict::Apply
            }
            Ordering::Greater | Ordering::Less => Verdict::PassOver,
        }
    }

    fn replace(&mut self, position: u64, unverified: bool, received_after: u64) {
        let latest_answered = self.latest_answered;
        *self = ListPosition { unverified, received_after, latest_answered, ..ListPosition::new(position) };
    }

    /// Whether another answer had a newer list that was not applied. If not, this one is remembered.
    fn agrees_on_newer(&mut self, query: u64) -> bool {
        self.newer_candidate.replace(query).is_some_and(|other| other != query)
    }

    /// Whether the previous answer with an older list had the same one. If not, this one is remembered.
    fn agrees_on_older(&mut self, position: u64, query: u64) -> bool {
        let previous = self.older_candidate.replace(OlderCandidate { position, query });
        previous.is_some_and(|previous| previous.position == position && previous.query != query)
    }
}
