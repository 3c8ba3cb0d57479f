//! Ends of calls that no caller could be sent yet.
//!
//! Only a connection on which a call was established is known to be a caller's; see `Clients::caller_connection`. An end is owed
//! until there is one. Meanwhile it is also sent on another connection, as its caller may be connected without a call: but that may
//! be anybody's connection, so the end stays owed.

use std::collections::BTreeMap;

use hollypaddle_core::calls::Calls;

use super::ends::{CallEnd, DELIVERY_LIMIT_S};
use super::{BestReply, Client, Clients};
use crate::node::poller::{Key, Poller};

/// Maximum number of ends kept while there is no connection to send them on.
const MAX_OWED_ENDS: usize = 4096;
/// Time that an end waits for a connection that is known to be a caller's, in seconds. After that it is also sent on another one,
/// as it is due within 1 s.
const UNPROVEN_AFTER_S: f64 = 0.5;

/// An end that was not sent on a connection known to be a caller's.
#[derive(Debug)]
struct OwedEnd {
    end: CallEnd,
    /// The other connection on which it was sent.
    sent_on: Option<Key>,
}

/// The ends that wait for a connection of their caller, by call id.
#[derive(Debug, Default)]
pub(super) struct OwedEnds {
    ends: BTreeMap<u64, OwedEnd>,
}

impl OwedEnds {
    pub(super) fn is_empty(&self) -> bool {
        self.ends.is_empty()
    }

    /// Adds an end. One that is here already was left unread on the other connection. Returns whether there was room.
    pub(super) fn insert(&mut self, end: CallEnd) -> bool {
        let has_room = self.ends.len() < MAX_OWED_ENDS || self.ends.contains_key(&end.id);
        if has_room {
            self.ends.insert(end.id, OwedEnd { end, sent_on: None });
        }
        has_room
    }

    pub(super) fn remove(&mut self, id: u64) {
        self.ends.remove(&id);
    }

    /// Removes the ends that were sent on any connection and are past the time in which they must be delivered.
    fn forget_expired(&mut self, now: f64) {
        self.ends.retain(|_, owed| owed.sent_on.is_none() || now <= owed.end.ended_at + DELIVERY_LIMIT_S);
    }

    /// Marks the ends as sent on this connection that satisfy `is_due` and were not sent yet, and returns them.
    fn take_due(&mut self, key: Key, is_due: impl Fn(&CallEnd) -> bool) -> Vec<CallEnd> {
        let due = self.ends.values_mut().filter(|owed| owed.sent_on.is_none() && is_due(&owed.end));
        due.map(|owed| {
            owed.sent_on = Some(key);
            owed.end
        })
        .collect()
    }

    /// Removes all ends, and returns those that were not sent on this connection.
    fn drain_except(&mut self, key: Key) -> Vec<CallEnd> {
        let owed = std::mem::take(&mut self.ends).into_values();
        owed.filter(|owed| owed.sent_on != Some(key)).map(|owed| owed.end).collect()
    }

    /// Removes and returns the ends that were sent on no connection.
    fn drain_unsent(&mut self) -> Vec<CallEnd> {
        let unsent = self.ends.extract_if(.., |_, owed| owed.sent_on.is_none());
        unsent.map(|(_, owed)| owed.end).collect()
    }
}

impl Clients {
    /// Handles that a call was established on a connection: it is a caller's, so the owed ends are sent there.
    pub(super) fn handle_established(&mut self, now: f64, key: Key, poller: &Poller, calls: &mut Calls) {
        let Some(client) = self.connections.get_mut(&key) else { return };
        client.first_established_at.get_or_insert(now);
        for end in self.owed_ends.drain_except(key) {
            self.send_end(now, key, end, poller, calls);
        }
    }

    /// Removes and returns the ends that were sent on no connection here, each with whether its call was cut, so that other
    /// gatekeepers can send them.
    pub fn take_unsent_ends(&mut self) -> impl Iterator<Item = (u64, bool)> {
        self.owed_ends.drain_unsent().into_iter().map(|end| (end.id, end.cut))
    }

    /// Sends the ends that have been owed for long enough on a connection that may be a caller's.
    pub(super) fn send_owed(&mut self, now: f64, poller: &Poller, calls: &mut Calls) {
        self.owed_ends.forget_expired(now);
        let Some(key) = self.unproven_connection() else { return };
        self.send_owed_on(now, key, |end| now - end.ended_at >= UNPROVEN_AFTER_S, poller, calls);
    }

    /// Sends all owed ends on the newest connection, because no caller can connect any more.
    pub(super) fn send_all_owed(&mut self, now: f64, poller: &Poller, calls: &mut Calls) {
        let newest = self.connections.keys().next_back().copied();
        let Some(key) = self.unproven_connection().or(newest) else { return };
        self.send_owed_on(now, key, |_| true, poller, calls);
    }

    fn send_owed_on(
        &mut self,
        now: f64,
        key: Key,
        is_due: impl Fn(&CallEnd) -> bool,
        poller: &Poller,
        calls: &mut Calls,
    ) {
        if self.owed_ends.is_empty() || !self.poll_connection(now, key, poller, calls) {
            return;
        }
        for end in self.owed_ends.take_due(key, is_due) {
            self.write_end(now, key, end, BestReply::UnprovenEnd, poller);
        }
    }

    /// Returns the connection that most likely is a caller's, of those on which no call was established: the newest one on which a
    /// call was refused or failed, or else the newest one that has not been used otherwise. A peer that has only sent tests or
    /// invalid set-ups is no caller.
    fn unproven_connection(&self) -> Option<Key> {
        let may_be_caller = |c: &Client| c.best_reply != BestReply::Notice && !c.reset_seen && !c.has_left;
        let unproven = self.connections.iter().filter(|(_, c)| may_be_caller(c));
        let best = unproven.max_by_key(|(key, c)| (c.best_reply >= BestReply::Outcome, **key));
        best.map(|(key, _)| *key)
    }
}
