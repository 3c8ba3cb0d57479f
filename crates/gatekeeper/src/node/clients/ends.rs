//! The ends of established calls, and the connections on which they are sent to callers.

use std::net::{IpAddr, TcpStream};

use hollypaddle_core::calls::{Calls, Reply, ANY_ORIGIN};
use hollypaddle_platform::connection::Connection;
use hollypaddle_platform::message::Message;

use super::reply::encode_reply;
use super::{BestReply, Client, Clients};
use crate::node::delivery::{CloseKind, Pending};
use crate::node::poller::{Key, Poller};

/// Time after the end of a call in which it must be delivered, in seconds; after that it is dropped.
pub(super) const DELIVERY_LIMIT_S: f64 = 8.0;

/// The end of an established call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct CallEnd {
    /// The call's 64-bit id.
    pub id: u64,
    /// Whether the call was cut rather than ended normally.
    pub cut: bool,
    /// When the call ended, in Unix seconds.
    pub ended_at: f64,
    /// The address from which the call came, if it is known.
    pub address: Option<IpAddr>,
}

impl CallEnd {
    /// The release message that reports this end to a caller.
    pub fn message(self) -> Message {
        encode_reply(self.id, Reply::Ended { cut: self.cut })
    }
}

/// Counts of ends whose connection closed before they were confirmed, since the start of the program.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EndCounts {
    /// Ends sent again on another connection, as they were not read on the first one.
    pub redelivered: u64,
    /// Ends not sent again, as it is not known whether they were read.
    pub unconfirmed: u64,
}

impl Clients {
    /// Counts of ends whose connection closed before they were confirmed.
    pub fn end_counts(&self) -> EndCounts {
        self.end_counts
    }

    /// Sends the end of a call on its own connection, or on another one of a caller if that one is gone. If there is none, the
    /// end is owed until there is.
    pub(super) fn send_end(
        &mut self,
        now: f64,
        origin: Key,
        end: CallEnd,
        poller: &Poller,
        calls: &mut Calls,
    ) {
        let own = self.is_connected(origin).then_some(origin);
        let mut candidate = own.or_else(|| self.caller_connection(end.address));
        while let Some(key) = candidate {
            if self.poll_connection(now, key, poller, calls) {
                self.owed_ends.remove(end.id);
                return self.write_end(now, key, end, BestReply::Outcome, poller);
            }
            log::debug!(caller = key; "caller-left");
            candidate = self.caller_connection(end.address);
        }
        if !self.owed_ends.insert(end) {
            log::debug!(call:% = format_args!("{:016x}", end.id); "end-dropped");
        }
    }

    pub(super) fn write_end(
        &mut self,
        now: f64,
        key: Key,
        end: CallEnd,
        best_reply: BestReply,
        poller: &Poller,
    ) {
        log::debug!(call:% = format_args!("{:016x}", end.id), caller = key, cut = end.cut; "end-sent");
        self.send(now, key, &end.message(), best_reply, poller);
        let Some(client) = self.connections.get_mut(&key) else { return };
        let (end_offset, written) = (client.connection.queued(), client.connection.written());
        client.pending_ends.record_sent(now, end, end_offset, written, end.ended_at + DELIVERY_LIMIT_S);
    }

    /// Returns the address from which a connection came, if it is open or has standing calls.
    pub(super) fn address_of(&self, key: Key) -> Option<IpAddr> {
        let open = self.connections.get(&key).map(|client| client.address);
        open.or_else(|| self.closed_addresses.get(&key).copied())
    }

    /// Sends the ends that were left unread on closed connections on another one.
    pub(super) fn send_unread(&mut self, now: f64, poller: &Poller, calls: &mut Calls) {
        // Sending may find another connection closed, which adds that connection's unread ends.
        while let Some(end) = self.unread_ends.pop_front() {
            log::debug!(call:% = format_args!("{:016x}", end.id); "end-redelivered");
            self.end_counts.redelivered += 1;
            self.send_end(now, ANY_ORIGIN, end, poller, calls);
        }
    }

    /// Counts the unconfirmed ends of a closed connection, and queues the unread ones to be sent again.
    pub(super) fn settle_ends(
        &mut self,
        now: f64,
        pending: &mut Pending<CallEnd>,
        closed: CloseKind,
        connection: &Connection<TcpStream>,
    ) {
        let outcome = pending.close(now, closed, connection.written());
        self.end_counts.unconfirmed += outcome.unconfirmed;
        self.unread_ends.extend(outcome.unread);
    }

    /// Whether a caller is connected that can be sent the end of any call.
    pub fn has_caller_connection(&self) -> bool {
        self.caller_connection(None).is_some()
    }

    /// Returns the connection that stays open for the ends of calls whose own connection is gone. If this side closed its last
    /// connection, nobody could receive those ends.
    pub(super) fn reserved_connection(&self, calls: &Calls) -> Option<Key> {
        let newest = || self.connections.keys().next_back().copied();
        match calls.has_standing_call_outside(|origin| self.connections.contains_key(&origin)) {
            _ if !self.owed_ends.is_empty() => newest(),
            true => self.caller_connection(None).or_else(newest),
            false => None,
        }
    }

    /// Returns the connection for the end of a call that came from this address and whose own connection is gone. It is one on
    /// which a call was established. That is evidence which a peer can't make up: servers answer its set-ups or don't. Among these
    /// connections, those from the call's address come first, then those whose callers have sent a set-up after a reply, as a
    /// caller that makes one set-up may leave ends unread, then those on which a call was established first.
    fn caller_connection(&self, address: Option<IpAddr>) -> Option<Key> {
        let callers = self.connections.iter().filter(|(_, c)| c.had_call() && !c.reset_seen && !c.has_left);
        let order = |c: &Client| (Some(c.address) == address, c.set_up_after_reply);
        let age = |c: &Client| c.first_established_at.map_or(f64::NEG_INFINITY, |at| -at);
        let best = callers.max_by(|(a_key, a), (b_key, b)| {
            order(a).cmp(&order(b)).then(age(a).total_cmp(&age(b))).then(b_key.cmp(a_key))
        });
        best.map(|(key, _)| *key)
    }
}

impl Client {
    /// Whether a call was established on this connection.
    pub(super) fn had_call(&self) -> bool {
        self.first_established_at.is_some()
    }
}
