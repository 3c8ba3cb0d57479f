//! The ends of calls that stood, and the connections on which they are sent to callers.

use std::io::ErrorKind;
use std::net::TcpStream;

use hollypaddle_core::calls::{Calls, Reply, ANY_ORIGIN};
use hollypaddle_platform::connection::Connection;
use hollypaddle_platform::message::Message;

use super::reply::encode;
use super::{BestReply, Client, Clients};
use crate::node::delivery::{Closed, Pending};
use crate::node::poller::{Key, Poller};

/// Ends kept for callers while none is connected.
const MAX_UNDELIVERED: usize = 4096;
/// An end waits so long, in seconds, for a connection whose caller is known to have calls; it is owed within 1 s, and then any
/// connection has to do.
const ANY_CONNECTION_AFTER: f64 = 0.5;

/// The end of a call is delivered within so many seconds, or not at all.
const DELIVERY_LIMIT: f64 = 8.0;

/// The end of a call that stood.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct CallEnd {
    /// The call.
    pub id: u64,
    /// Whether it was cut.
    pub cut: bool,
    /// When it ended.
    pub ended_at: f64,
}

impl CallEnd {
    /// The release that tells a caller of it.
    pub fn message(self) -> Message {
        encode(self.id, Reply::Ended { cut: self.cut })
    }
}

/// What became of ends on connections that were reset, since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EndCounts {
    /// Sent on another connection, as theirs was over and they were not read there.
    pub redelivered: u64,
    /// Not sent again, as nothing tells whether they were read.
    pub unconfirmed: u64,
}

impl Clients {
    /// What became of ends on connections that were reset.
    pub fn end_counts(&self) -> EndCounts {
        self.end_counts
    }

    /// Sends the end of a call on its caller's connection, or on the successor connection where that one is gone. Where there is
    /// none, it is kept until there is one.
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
        let mut candidate = own.or_else(|| self.successor());
        while let Some(key) = candidate {
            if self.poll_connection(now, key, poller, calls) {
                return self.write_end(now, key, end, best_reply, poller);
            }
            log::debug!(caller = key; "caller-left");
            candidate = self.successor();
        }
        match self.undelivered.len() < MAX_UNDELIVERED {
            true => self.undelivered.push_back(end),
            false => log::debug!(call:% = format_args!("{:016x}", end.id); "end-dropped"),
        }
    }

    fn write_end(&mut self, now: f64, key: Key, end: CallEnd, best_reply: BestReply, poller: &Poller) {
        log::debug!(call:% = format_args!("{:016x}", end.id), caller = key, cut = end.cut; "end-sent");
        self.send(now, key, &end.message(), best_reply, poller);
        let Some(client) = self.connections.get_mut(&key) else { return };
        let (position, written) = (client.connection.queued(), client.connection.written());
        client.pending_ends.sent(now, end, position, written, end.ended_at + DELIVERY_LIMIT);
    }

    /// Sends the ends that were not read on connections that are over on another one.
    pub(super) fn send_unread(&mut self, now: f64, poller: &Poller, calls: &mut Calls) {
        // A connection that is found to be over meanwhile adds its own.
        while let Some(end) = self.unread.pop_front() {
            log::debug!(call:% = format_args!("{:016x}", end.id); "end-redelivered");
            self.end_counts.redelivered += 1;
            self.send_end(now, ANY_ORIGIN, end, BestReply::Outcome, poller, calls);
        }
    }

    /// Takes what became of the ends on a connection that is over, of which so many bytes were written.
    pub(super) fn ends_closed(
        &mut self,
        now: f64,
        pending: &mut Pending<CallEnd>,
        closed: Closed,
        connection: &Connection<TcpStream>,
    ) {
        let outcome = pending.close(now, closed, connection.written());
        self.end_counts.unconfirmed += outcome.unconfirmed;
        self.unread.extend(outcome.unread);
    }

    /// Reads what a caller has sent since its connection was read; returns whether it is still there. Guards against something
    /// written to a connection that was closed meanwhile: the system takes it, and nobody reads it.
    pub(super) fn poll_connection(&mut self, now: f64, key: Key, poller: &Poller, calls: &mut Calls) -> bool {
        let Some(client) = self.connections.get_mut(&key) else { return false };
        match client.connection.stream().peek(&mut [0]) {
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            came => {
                client.reset_seen |= came.is_err();
                self.read(now, key, poller, calls);
            }
        }
        #[cfg(test)]
        if let Some(hook) = self.after_poll.take() {
            hook();
        }
        self.connections.contains_key(&key)
    }

    /// Whether a connection is there on which the end of any call can be sent.
    pub fn has_fallback_connection(&self) -> bool {
        self.successor().is_some()
    }

    /// Takes the ends for which no caller is there, and whether each was cut; they are for others to send then.
    pub fn take_undelivered(&mut self) -> impl Iterator<Item = (u64, bool)> + '_ {
        self.undelivered.drain(..).map(|end| (end.id, end.cut))
    }

    /// The connection that stays open for the ends of calls whose caller's own connection is gone. Guards against ends that
    /// nobody is there to receive any more, as this side has closed the last connection.
    pub(super) fn reserved(&self, calls: &Calls) -> Option<Key> {
        let newest = || self.connections.keys().next_back().copied();
        match calls.has_standing_call_outside(|origin| self.connections.contains_key(&origin)) {
            _ if !self.undelivered.is_empty() => newest(),
            true => self.successor().or_else(newest),
            false => None,
        }
    }

    /// The connection on which the end of a call is sent whose caller's own connection is gone: one that was sent an answer, as
    /// whoever never had a call passes over it. First one whose caller asked again after that, so that it reads, the latest of
    /// them; then the newest as the least likely to be closing. Guards against ends left unread by callers that ask once.
    fn successor(&self) -> Option<Key> {
        let known =
            self.connections.iter().filter(|(_, c)| c.best_reply >= BestReply::Outcome && !c.reset_seen);
        let order = |c: &Client| (c.best_reply, c.asked_again_at.unwrap_or(f64::NEG_INFINITY));
        let best = known.max_by(|(a_key, a), (b_key, b)| {
            let (a, b) = (order(a), order(b));
            a.1.total_cmp(&b.1).then(a.0.cmp(&b.0)).then(a_key.cmp(b_key))
        });
        best.map(|(key, _)| *key)
    }

    /// Sends the ends that have waited long enough for a better connection on any.
    pub(super) fn send_undelivered(&mut self, now: f64, poller: &Poller, calls: &mut Calls) {
        self.send_undelivered_if(now, |end| now - end.ended_at >= ANY_CONNECTION_AFTER, poller, calls);
    }

    /// Sends all ends that wait for a better connection on any.
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
            let Some(end) = self.undelivered.pop_front_if(&due) else { return };
            // Whether its caller ever has a call is not known.
            self.send_end(now, newest, end, BestReply::Notice, poller, calls);
        }
    }
}
