//! Reads what clients send, with a bound for each iteration of the event loop: a client that sends at full speed must not keep the
//! others waiting. Before a reply is written its connection is read again, and what is read there may cause further replies in the
//! same iteration, so the bound holds for all reads of an iteration together.

use std::io::{self, ErrorKind};

use hollypaddle_core::calls::Calls;
use hollypaddle_platform::boundary::{Candidate, Verdict};
use hollypaddle_platform::connection::CloseReason;
use hollypaddle_platform::message::Message;

use super::Clients;
use crate::node::poller::{is_closed_by_peer, Key, Poller};

/// Maximum number of bytes read from one client in an iteration of the event loop. What is left is read in the next one.
const MAX_BYTES_PER_ITERATION: usize = 4096;

/// How much has been read from a client in an iteration of the event loop.
#[derive(Debug, Default)]
pub(super) struct InputBudget {
    iteration: u64,
    used: usize,
}

impl InputBudget {
    /// Returns the number of bytes that may still be read in this iteration.
    fn left(&self, iteration: u64) -> usize {
        match self.iteration == iteration {
            true => MAX_BYTES_PER_ITERATION.saturating_sub(self.used),
            false => MAX_BYTES_PER_ITERATION,
        }
    }

    fn add(&mut self, iteration: u64, bytes: usize) {
        let used = if self.iteration == iteration { self.used } else { 0 };
        *self = InputBudget { iteration, used: used.saturating_add(bytes) };
    }
}

impl Clients {
    /// Handles that an iteration of the event loop begins: each client may be read again.
    pub fn begin_iteration(&mut self) {
        self.iteration += 1;
    }

    /// Reads and handles the messages that have arrived on a connection, as far as its budget goes.
    pub(super) fn read(&mut self, now: f64, key: Key, poller: &Poller, calls: &mut Calls) {
        let Some(client) = self.connections.get_mut(&key) else { return };
        if client.has_left {
            return self.read_before_close(now, key, poller, calls);
        }
        let left = client.input_budget.left(self.iteration);
        if left == 0 {
            return;
        }
        let before = client.connection.received();
        let mut messages = Vec::new();
        let end = client.connection.read_limited(left, &mut messages, &judge);
        let bytes = client.connection.received() - before;
        client.input_budget.add(self.iteration, bytes as usize);
        self.check_for_close(now, key, calls);
        self.receive_all(now, key, messages, end, poller, calls);
    }

    /// Reads and handles the messages that have arrived on a connection that may be closed afterwards, also beyond its budget:
    /// what is not read now is lost.
    pub(super) fn read_before_close(&mut self, now: f64, key: Key, poller: &Poller, calls: &mut Calls) {
        let Some(client) = self.connections.get_mut(&key) else { return };
        let mut messages = Vec::new();
        let end = client.connection.read_checked(&mut messages, &judge);
        self.receive_all(now, key, messages, end, poller, calls);
    }

    /// Reads and handles everything that callers have sent so far.
    pub fn read_all(&mut self, now: f64, poller: &Poller, calls: &mut Calls) {
        let keys: Vec<Key> = self.connections.keys().copied().collect();
        keys.into_iter().for_each(|key| self.read_before_close(now, key, poller, calls));
    }

    /// Reads what a caller has sent since its connection was last read; returns whether the connection is still open. Guards
    /// against writing to a connection that was closed meanwhile: the kernel accepts the bytes, but nobody reads them. Of a client
    /// that has used up its budget only a close without input before it is seen.
    pub(super) fn poll_connection(&mut self, now: f64, key: Key, poller: &Poller, calls: &mut Calls) -> bool {
        let Some(client) = self.connections.get_mut(&key) else { return false };
        match client.connection.stream().peek(&mut [0]) {
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            Ok(1..) => self.read(now, key, poller, calls),
            closed => self.read_close(now, key, &closed, poller, calls),
        }
        #[cfg(test)]
        if let Some(hook) = self.after_poll.take() {
            hook();
        }
        self.is_connected(key)
    }

    /// Whether a connection is open, and its caller has not closed it behind input that is not read yet.
    pub(super) fn is_connected(&self, key: Key) -> bool {
        self.connections.get(&key).is_some_and(|client| !client.has_left)
    }

    /// Checks whether the caller of a connection that has used up its budget has closed it, and if so gives up its open set-ups. The
    /// close itself is read only after all input before it.
    fn check_for_close(&mut self, now: f64, key: Key, calls: &mut Calls) {
        let Some(client) = self.connections.get_mut(&key) else { return };
        let is_unread = client.input_budget.left(self.iteration) == 0;
        if is_unread && is_closed_by_peer(client.connection.stream()) {
            client.has_left = true;
            calls.origin_lost(now, key);
        }
    }

    /// Reads the close of a connection, which nothing stands before.
    fn read_close(
        &mut self,
        now: f64,
        key: Key,
        closed: &io::Result<usize>,
        poller: &Poller,
        calls: &mut Calls,
    ) {
        let Some(client) = self.connections.get_mut(&key) else { return };
        client.reset_seen |= closed.is_err();
        self.read_before_close(now, key, poller, calls);
    }

    fn receive_all(
        &mut self,
        now: f64,
        key: Key,
        messages: Vec<Message>,
        mut end: Result<(), CloseReason>,
        poller: &Poller,
        calls: &mut Calls,
    ) {
        for message in messages {
            if let Err(reason) = self.receive(now, key, &message, poller, calls) {
                end = Err(reason);
                break;
            }
        }
        self.close_if_over(now, key, end, poller, calls);
    }
}

/// Judges whether a set-up was sent completely. An undecided one is accepted at once rather than held back until more bytes
/// arrive: a caller's next message seldom arrives more than an iteration of the event loop later, and an answer is due by the
/// caller's deadline.
fn judge(candidate: Candidate) -> Verdict {
    match candidate.verdict(|_| false) {
        Verdict::Truncated => Verdict::Truncated,
        Verdict::Complete | Verdict::Undecided => Verdict::Complete,
    }
}
