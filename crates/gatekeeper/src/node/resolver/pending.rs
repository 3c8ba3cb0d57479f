//! Queries to the resolver whose answers are awaited.
//!
//! A query is awaited for a time, not until some number of others has been sent: queries are sent at short intervals, so a number
//! of them would limit how slow a resolver may be.

use std::collections::VecDeque;

/// Time for which the answer to a query is awaited, in seconds: the longest timeout that the C library's resolver can be set to.
pub(super) const ANSWER_TIMEOUT_S: f64 = 30.0;
/// Maximum number of queries that are awaited; beyond it the oldest is dropped. At the shortest polling interval fewer are sent
/// within [`ANSWER_TIMEOUT_S`].
pub(super) const MAX_PENDING_QUERIES: usize = 2048;
/// Step between the ids of two queries. It is odd, so all ids are used before one repeats.
const ID_STEP: u16 = 0x9e37;

/// A query that was sent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct SentQuery {
    /// Its id in the DNS message.
    pub id: u16,
    /// Its number, in the order of sending.
    pub number: u64,
    /// When it was sent, in Unix seconds.
    pub sent_at: f64,
}

/// The queries whose answers are awaited, oldest first.
#[derive(Debug)]
pub(super) struct PendingQueries {
    queries: VecDeque<SentQuery>,
    last_id: u16,
    last_number: u64,
}

impl PendingQueries {
    /// Starts without queries. Ids follow `last_id`.
    pub fn new(last_id: u16) -> Self {
        PendingQueries { queries: VecDeque::new(), last_id, last_number: 0 }
    }

    /// Adds a query that is sent now, and drops those that are no longer awaited.
    pub fn add(&mut self, now: f64) -> SentQuery {
        self.last_id = self.last_id.wrapping_add(ID_STEP);
        self.last_number += 1;
        while self.queries.pop_front_if(|oldest| !is_awaited(now, oldest)).is_some() {}
        if self.queries.len() >= MAX_PENDING_QUERIES {
            self.queries.pop_front();
        }
        let query = SentQuery { id: self.last_id, number: self.last_number, sent_at: now };
        self.queries.push_back(query);
        query
    }

    /// Returns the awaited query with this id.
    pub fn find(&self, now: f64, id: u16) -> Option<SentQuery> {
        self.queries.iter().find(|query| query.id == id && is_awaited(now, query)).copied()
    }

    /// Stops awaiting a query, as it was answered.
    pub fn remove(&mut self, number: u64) {
        self.queries.retain(|query| query.number != number);
    }

    /// Stops awaiting all queries.
    pub fn clear(&mut self) {
        self.queries.clear();
    }

    /// The number of the query that was sent last, or 0.
    pub fn last_number(&self) -> u64 {
        self.last_number
    }

    /// The number of queries that are kept.
    #[cfg(test)]
    pub fn len(&self) -> usize {
        self.queries.len()
    }
}

fn is_awaited(now: f64, query: &SentQuery) -> bool {
    now - query.sent_at <= ANSWER_TIMEOUT_S
}
