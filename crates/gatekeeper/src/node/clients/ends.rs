//! The ends of calls that stood, and the connections on which they are sent to callers.

use std::io::ErrorKind;

use hollypaddle_core::calls::{Calls, Reply};
use hollypaddle_platform::message::Message;

use super::reply::encode;
use super::{BestReply, Clients};
use crate::node::poller::{Key, Watch};

/// Ends kept for callers while none is connected.
const MAX_UNDELIVERED: usize = 4096;
/// An end waits so long, in seconds, for a connection whose caller is known to have calls; it is owed within 1 s, and then any
/// connection has to do.
const ANY_CONNECTION_AFTER: f64 = 0.5;

/// The end of a call that stood.
#[derive(Clone, Copy, Debug)]
pub(super) struct CallEnd {
    /// The call.
    pub id: u64,
    /// Whether it was cut.
    pub cut: bool,
}

impl CallEnd {
    /// The release that tells a caller of it.
    pub fn message(self) -> Message {
        encode(self.id, Reply::Over { cut: self.cut })
    }
}

impl Clients {
    /// Sends the end of a call whose caller's own connection is gone on the successor connection, or keeps it until there is one.
    ///
    /// An end that was written to the caller's own connection is not told again, also where that is reset. A reset tells that
    /// something was unread there, not what: where the answer was, the caller never had the call, and whoever hears of its
    /// end has an answer that no server made.
    pub(super) fn send_end_to_successor(&mut self, now: f64, end: CallEnd, watch: &Watch, calls: &mut Calls) {
        while let Some(key) = self.successor().filter(|key| !self.poll_connection(now, *key, watch, calls)) {
            log::debug!(caller = key; "caller-left");
        }
        match self.successor() {
            Some(key) => drop(self.send(now, key, &end.message(), BestReply::Outcome, watch)),
            None if self.undelivered.len() < MAX_UNDELIVERED => self.undelivered.push_back((now, end)),
            None => log::debug!(call:% = format_args!("{:016x}", end.id); "end-dropped"),
        }
    }

    /// Reads what a caller has sent since its connection was read; returns whether it is still there. Guards against something
    /// written to a connection that was closed meanwhile: the system takes it, and nobody reads it.
    pub(super) fn poll_connection(&mut self, now: f64, key: Key, watch: &Watch, calls: &mut Calls) -> bool {
        let Some(client) = self.connections.get(&key) else { return false };
        let nothing_came = matches!(
            client.connection.stream().peek(&mut [0]),
            Err(error) if error.kind() == ErrorKind::WouldBlock
        );
        if !nothing_came {
            self.read(now, key, watch, calls);
        }
        #[cfg(test)]
        if let Some(hook) = self.after_poll.take() {
            hook();
        }
        self.connections.contains_key(&key)
    }

    /// Whether a connection is there on which the end of any call can be sent.
    pub fn has_successor(&self) -> bool {
        self.successor().is_some()
    }

    /// Takes the ends for which no caller is there, and whether each was cut; they are for others to send then.
    pub fn take_undelivered(&mut self) -> impl Iterator<Item = (u64, bool)> + '_ {
        self.undelivered.drain(..).map(|(_, end)| (end.id, end.cut))
    }

    /// The connection that stays open for the ends of calls whose caller's own connection is gone. Guards against ends that
    /// nobody is there to receive any more, as this side has closed the last connection.
    pub(super) fn reserved(&self, calls: &Calls) -> Option<Key> {
        let newest = || self.connections.keys().next_back().copied();
        match calls.stands_elsewhere(|origin| self.connections.contains_key(&origin)) {
            _ if !self.undelivered.is_empty() => newest(),
            true => self.successor().or_else(newest),
            false => None,
        }
    }

    /// The connection on which the end of a call is sent whose caller's own connection is gone: one that was sent an answer, as
    /// whoever never had a call passes over it; the newest of them as the least likely to be closing.
    fn successor(&self) -> Option<Key> {
        let known = self.connections.iter().filter(|(_, c)| c.best_reply >= BestReply::Outcome);
        known.max_by_key(|(&key, c)| (c.best_reply, key)).map(|(key, _)| *key)
    }

    /// Sends the ends that have waited long enough on any connection.
    pub(super) fn send_undelivered(&mut self, now: f64, watch: &Watch) {
        let Some(newest) = self.connections.keys().next_back().copied() else { return };
        let due = |(since, _): &mut (f64, CallEnd)| now - *since >= ANY_CONNECTION_AFTER;
        while let Some((_, end)) = self.undelivered.pop_front_if(due) {
            self.send(now, newest, &end.message(), BestReply::Notice, watch);
        }
    }
}
