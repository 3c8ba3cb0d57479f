//! The ends of established calls, and the connections on which they are sent to callers.

use std::io::ErrorKind;
use std::net::TcpStream;

use hollypaddle_core::calls::{Calls, Reply, ANY_ORIGIN};
use hollypaddle_platform::connection::Connection;
use hollypaddle_platform::message::Message;

use super::reply::encode_reply;
use super::{BestReply, Client, Clients};
use crate::node::delivery::{CloseKind, Pending};
use crate::node::poller::{Key, Poller};

/// Maximum number of ends kept while there is no connection to send them on.
const MAX_UNDELIVERED_ENDS: usize = 4096;
/// Time that an end waits for a connection whose caller is known to have had calls, in seconds. After that any connection is
/// used, as the end is owed within 1 s.
const ANY_CONNECTION_AFTER_S: f64 = 0.5;

/// Time after the end of a call in which it must be delivered, in seconds; after that it is dropped.
const DELIVERY_LIMIT_S: f64 = 8.0;

/// The end of an established call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct CallEnd {
    /// The call's 64-bit id.
    pub id: u64,
    /// Whether the call was cut rather than ended normally.
    pub cut: bool,
    /// When the call ended, in Unix seconds.
    pub ended_at: f64,
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

    /// Sends the end of a call on its caller's connection, or on the fallback connection if that one is gone. If there is no
    /// connection, the end is kept until there is one.
    pub(super) fn send_end(
        &mut self,
        now: f64,
        origin: Key,
        end: CallEnd,
        best_reply: BestReply,
        poller: &Poller,
        calls: &mut Calls,
    ) {
        let own = self.connections.contains_key(&origin).then_some(origin);
        let mut candidate = own.or_else(|| self.fallback_connection());
        while let Some(key) = candidate {
            if self.poll_connection(now, key, poller, calls) {
                return self.write_end(now, key, end, best_reply, poller);
            }
            log::debug!(caller = key; "caller-left");
            candidate = self.fallback_connection();
        }
        match self.undelivered_ends.len() < MAX_UNDELIVERED_ENDS {
            true => self.undelivered_ends.push_back(end),
            false => log::debug!(call:% = format_args!("{:016x}", end.id); "end-dropped"),
        }
    }

    fn write_end(&mut self, now: f64, key: Key, end: CallEnd, best_reply: BestReply, poller: &Poller) {
        log::debug!(call:% = format_args!("{:016x}", end.id), caller = key, cut = end.cut; "end-sent");
        self.send(now, key, &end.message(), best_reply, poller);
        let Some(client) = self.connections.get_mut(&key) else { return };
        let (end_offset, written) = (client.connection.queued(), client.connection.written());
        client.pending_ends.record_sent(now, end, end_offset, written, end.ended_at + DELIVERY_LIMIT_S);
    }

    /// Sends the ends that were left unread on closed connections on another one.
    pub(super) fn send_unread(&mut self, now: f64, poller: &Poller, calls: &mut Calls) {
        // Sending may find another connection closed, which adds that connection's unread ends.
        while let Some(end) = self.unread_ends.pop_front() {
            log::debug!(call:% = format_args!("{:016x}", end.id); "end-redelivered");
            self.end_counts.redelivered += 1;
            self.send_end(now, ANY_ORIGIN, end, BestReply::Outcome, poller, calls);
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

    /// Reads what a caller has sent since its connection was last read; returns whether the connection is still open. Guards
    /// against writing to a connection that was closed meanwhile: the kernel accepts the bytes, but nobody reads them.
    pub(super) fn poll_connection(&mut self, now: f64, key: Key, poller: &Poller, calls: &mut Calls) -> bool {
        let Some(client) = self.connections.get_mut(&key) else { return false };
        match client.connection.stream().peek(&mut [0]) {
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            peeked => {
                client.reset_seen |= peeked.is_err();
                self.read(now, key, poller, calls);
            }
        }
        #[cfg(test)]
        if let Some(hook) = self.after_poll.take() {
            hook();
        }
        self.connections.contains_key(&key)
    }

    /// Whether there is a connection on which the end of any call can be sent.
    pub fn has_fallback_connection(&self) -> bool {
        self.fallback_connection().is_some()
    }

    /// Removes and returns the ends that have no connection here, each with whether its call was cut, so that other gatekeepers
    /// can send them.
    pub fn take_undelivered(&mut self) -> impl Iterator<Item = (u64, bool)> + '_ {
        self.undelivered_ends.drain(..).map(|end| (end.id, end.cut))
    }

    /// Returns the connection that stays open for the ends of calls whose own connection is gone. If this side closed its last
    /// connection, nobody could receive those ends.
    pub(super) fn reserved_connection(&self, calls: &Calls) -> Option<Key> {
        let newest = || self.connections.keys().next_back().copied();
        match calls.has_standing_call_outside(|origin| self.connections.contains_key(&origin)) {
            _ if !self.undelivered_ends.is_empty() => newest(),
            true => self.fallback_connection().or_else(newest),
            false => None,
        }
    }

    /// Returns the connection for ends of calls whose own connection is gone. It must be one on which the result of a call was
    /// sent, as a caller that never had a call ignores ends. Connections whose caller sent a set-up after that come first, the
    /// latest of them, as their callers read replies: a caller that sends one set-up may leave ends unread. Then comes the newest
    /// connection, as the least likely to be closing.
    fn fallback_connection(&self) -> Option<Key> {
        let known =
            self.connections.iter().filter(|(_, c)| c.best_reply >= BestReply::Outcome && !c.reset_seen);
        let order = |c: &Client| (c.best_reply, c.set_up_after_reply_at.unwrap_or(f64::NEG_INFINITY));
        let best = known.max_by(|(a_key, a), (b_key, b)| {
            let (a, b) = (order(a), order(b));
            a.1.total_cmp(&b.1).then(a.0.cmp(&b.0)).then(a_key.cmp(b_key))
        });
        best.map(|(key, _)| *key)
    }

    /// Sends the ends that have waited long enough for a suitable connection on any connection.
    pub(super) fn send_undelivered(&mut self, now: f64, poller: &Poller, calls: &mut Calls) {
        self.send_undelivered_if(now, |end| now - end.ended_at >= ANY_CONNECTION_AFTER_S, poller, calls);
    }

    /// Sends all ends that wait for a suitable connection on any connection.
    pub(super) fn send_all_undelivered(&mut self, now: f64, poller: &Poller, calls: &mut Calls) {
        self.send_undelivered_if(now, |_| true, poller, calls);
    }

    fn send_undelivered_if(
        &mut self,
        now: f64,
        due: impl Fn(&mut CallEnd) -> bool,
        poller: &Poller,
        calls: &mut Calls,
    ) {
        while let Some(newest) = self.connections.keys().next_back().copied() {
            let Some(end) = self.undelivered_ends.pop_front_if(&due) else { return };
            // It is not known whether this caller ever had a call.
            self.send_end(now, newest, end, BestReply::Notice, poller, calls);
        }
    }
}
