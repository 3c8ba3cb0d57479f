//! Connections of callers that are closed by this side, or found to be over.

use std::net::{Shutdown, TcpStream};

use hollypaddle_core::calls::{Calls, Reply};
use hollypaddle_platform::connection::{Connection, Over};

use super::ends::CallEnd;
use super::reply::encode;
use super::{Client, Clients};
use crate::node::delivery::{Closed, Pending};
use crate::node::poller::{Key, Poller};

/// A caller that was sent nothing and waits for nothing is closed after so long, in seconds, and so is one that began a
/// message and does not end it: it is owed a message or a close within 3 s of connecting.
const MUTE_TIMEOUT_S: f64 = 2.0;
/// One that was sent something and waits for nothing is closed after so long, in seconds. Usual callers close such a
/// connection themselves after 4 s.
const IDLE_TIMEOUT_S: f64 = 8.0;
/// A connection closed here is read to its end for so long, in seconds, with what comes thrown away: closed outright
/// with something unread in it, the system resets it, and a reset can destroy an answer that the peer has not read yet.
const LINGER_S: f64 = 1.0;

/// A connection that its caller closed is watched for a reset for so long, in seconds, where the ends of calls were sent on it
/// last. Time enough for the system of a peer that is far away to answer what crossed the close.
pub(super) const RESET_WAIT_S: f64 = 0.25;

/// A connection that one side has closed.
pub(super) struct Closing {
    connection: Connection<TcpStream>,
    side: ClosedBy,
    pending_ends: Pending<CallEnd>,
    /// When that side closed it.
    closed_at: f64,
}

impl Closing {
    /// Whether its time is up, with what this side waits for.
    fn is_expired(&self, now: f64) -> bool {
        let wait = match self.side {
            ClosedBy::Us => LINGER_S,
            ClosedBy::Caller => RESET_WAIT_S,
        };
        now >= self.closed_at + wait
    }

    /// Whether a reset is still likely to come and would tell that its caller left the end of a call unread.
    pub(super) fn awaits_evidence(&self, now: f64) -> bool {
        let recent = now < self.closed_at + RESET_WAIT_S;
        recent && self.pending_ends.awaits_evidence(now, self.connection.written())
    }

    /// Whether something still waits to be written.
    pub(super) fn is_blocked(&self) -> bool {
        self.connection.blocked()
    }

    /// When the side that closed it did so.
    pub(super) fn closed_at(&self) -> f64 {
        self.closed_at
    }
}

/// Which side has closed a connection.
#[derive(Clone, Copy, PartialEq, Eq)]
enum ClosedBy {
    /// This one; see [`LINGER_S`].
    Us,
    /// The caller; see [`RESET_WAIT_S`].
    Caller,
}

/// Whether a connection has to stay: set-ups are open on it, calls stand that came on it, as their callers wait for the end
/// there, or it is the one that stays for others.
fn is_needed(key: Key, reserved: Option<Key>, calls: &Calls) -> bool {
    calls.open_count(key) > 0 || calls.standing_count(key) > 0 || Some(key) == reserved
}

impl Clients {
    /// Closes the connections that have been of no use for too long, and drops those that were closed long enough ago.
    pub(super) fn close_unused(&mut self, now: f64, poller: &Poller, calls: &mut Calls) {
        let (keys, reserved) = (self.connections.keys().copied().collect::<Vec<Key>>(), self.reserved(calls));
        for key in keys {
            let reason = |c: &mut Client, calls: &Calls| {
                let unused =
                    c.unused(now, MUTE_TIMEOUT_S, IDLE_TIMEOUT_S) && !is_needed(key, reserved, calls);
                match c.connection.stalled(now, MUTE_TIMEOUT_S) {
                    true => Some(Over::Stalled),
                    false => unused.then_some(Over::Idle),
                }
            };
            if self.connections.get_mut(&key).is_some_and(|c| reason(c, calls).is_some()) {
                self.close_if(now, key, reason, poller, calls);
            }
        }
        let late: Vec<Key> =
            self.closing.iter().filter(|(_, c)| c.is_expired(now)).map(|(key, _)| *key).collect();
        late.into_iter().for_each(|key| self.drop_closing(now, key, Closed::InOrder, poller));
    }

    /// Closes a connection that nothing seems to come on, if there is a reason still once it was read a last time; returns
    /// whether there was. Guards against a set-up that came since the poll, or long ago while this process had no processor: it
    /// would be lost.
    pub(super) fn close_if(
        &mut self,
        now: f64,
        key: Key,
        reason: impl Fn(&mut Client, &Calls) -> Option<Over>,
        poller: &Poller,
        calls: &mut Calls,
    ) -> bool {
        self.read(now, key, poller, calls);
        let Some(client) = self.connections.get_mut(&key) else { return false };
        let Some(reason) = reason(client, calls) else { return false };
        self.close_if_over(now, key, Err(reason), poller, calls);
        true
    }

    /// Closes every connection, once all that waits on it is written.
    pub fn close_all(&mut self, now: f64, poller: &Poller, calls: &mut Calls) {
        let keys: Vec<Key> = self.connections.keys().copied().collect();
        keys.into_iter().for_each(|key| self.close_if_over(now, key, Err(Over::Idle), poller, calls));
    }

    /// Whether connections that are closed here are not closed by their peers yet.
    pub fn has_closing_connections(&self) -> bool {
        self.closing.values().any(|closing| closing.side == ClosedBy::Us)
    }

    /// Writes what is left on a connection that is closed here, then its end, and throws away what comes. On one that its caller
    /// has closed nothing can come but a reset.
    pub(super) fn finish_closing(&mut self, now: f64, key: Key, poller: &Poller) {
        let Some(closing) = self.closing.get_mut(&key) else { return };
        if closing.side == ClosedBy::Caller {
            // One that was closed in this turn may be told ready for what came before.
            if is_reset(&closing.connection) {
                self.end_closing(now, key, Closed::Reset, poller);
            }
            return;
        }
        let before = closing.connection.blocked();
        let written = closing.connection.flush();
        if before && written.is_ok() && !closing.connection.blocked() {
            poller.set_interest(key, closing.connection.stream(), true, false);
            drop(closing.connection.stream().shutdown(Shutdown::Write));
        }
        let Err(reason) = written.and_then(|()| closing.connection.pass_over()) else { return };
        let reset = matches!(reason, Over::Broken(_)) || is_reset(&closing.connection);
        self.end_closing(now, key, if reset { Closed::Reset } else { Closed::InOrder }, poller);
    }

    /// Takes a connection that its caller has closed. It stays while a reset would tell that the caller left ends unread.
    fn closed_by_caller(
        &mut self,
        now: f64,
        key: Key,
        connection: Connection<TcpStream>,
        mut pending_ends: Pending<CallEnd>,
        reset_seen: bool,
        poller: &Poller,
    ) {
        self.unread.extend(pending_ends.take_unwritten(connection.written()));
        let reset = reset_seen || is_reset(&connection);
        if !reset && !connection.blocked() && pending_ends.awaits_evidence(now, connection.written()) {
            // Nothing but errors is waited for: its end makes it readable for good.
            poller.set_interest(key, connection.stream(), false, false);
            let side = ClosedBy::Caller;
            self.closing.insert(key, Closing { connection, side, pending_ends, closed_at: now });
            return;
        }
        poller.remove(connection.stream());
        let closed = if reset { Closed::Reset } else { Closed::InOrder };
        self.ends_closed(now, &mut pending_ends, closed, &connection);
    }

    /// Drops a connection that one side has closed, and of which no reset came so far.
    pub(super) fn drop_closing(&mut self, now: f64, key: Key, otherwise: Closed, poller: &Poller) {
        let Some(closing) = self.closing.get(&key) else { return };
        let closed = if is_reset(&closing.connection) { Closed::Reset } else { otherwise };
        self.end_closing(now, key, closed, poller);
    }

    fn end_closing(&mut self, now: f64, key: Key, closed: Closed, poller: &Poller) {
        let Some(mut closing) = self.closing.remove(&key) else { return };
        poller.remove(closing.connection.stream());
        self.ends_closed(now, &mut closing.pending_ends, closed, &closing.connection);
        self.resume_accepting(poller);
    }

    /// Closes a connection that was found to be over, for this reason.
    pub(super) fn close_if_over(
        &mut self,
        now: f64,
        key: Key,
        end: Result<(), Over>,
        poller: &Poller,
        calls: &mut Calls,
    ) {
        let Some(client) = self.connections.get_mut(&key) else { return };
        let Err(error) = end else { return client.watch(key, poller) };
        log::debug!(caller = key, reason:% = error; "caller-closed");
        let Some(client) = self.connections.remove(&key) else { return };
        match error {
            Over::Closed | Over::Broken(_) => {
                let reset = client.reset_seen || matches!(error, Over::Broken(_));
                self.closed_by_caller(now, key, client.connection, client.pending_ends, reset, poller);
            }
            _ if client.reset_seen => {
                self.closed_by_caller(now, key, client.connection, client.pending_ends, true, poller);
            }
            _ => self.close_in_order(now, key, client, poller, calls),
        }
        calls.origin_lost(now, key);
    }

    /// Closes a connection for what its caller sent, or as of no use. It is still owed the answers to what it sent before.
    fn close_in_order(&mut self, now: f64, key: Key, mut client: Client, poller: &Poller, calls: &Calls) {
        let answered = |id: &u64| client.connection.send(&encode(*id, Reply::Failed)).is_ok();
        let _ = calls.open_ids(key).iter().all(answered);
        if !client.connection.blocked() {
            drop(client.connection.stream().shutdown(Shutdown::Write));
        }
        client.watch(key, poller);
        let Client { connection, pending_ends, .. } = client;
        let side = ClosedBy::Us;
        self.closing.insert(key, Closing { connection, side, pending_ends, closed_at: now });
    }
}

/// Whether the system has seen a reset of a connection since it was last read or written. It tells this once.
fn is_reset(connection: &Connection<TcpStream>) -> bool {
    matches!(connection.stream().take_error(), Ok(Some(_)))
}
