//! Client connections that this side closes, or that are found to be closed or broken.

use std::net::{Shutdown, TcpStream};

use hollypaddle_core::calls::{Calls, Reply};
use hollypaddle_platform::connection::{CloseReason, Connection};

use super::ends::CallEnd;
use super::reply::encode_reply;
use super::{Client, Clients};
use crate::node::delivery::{CloseKind, Pending};
use crate::node::poller::{Key, Poller};

/// Time after which a connection is closed if nothing was sent on it and nothing is pending, in seconds. Also the time in which
/// a caller must complete a message that it has begun. A caller is owed a message or a close within 3 s of connecting.
const NO_REPLY_TIMEOUT_S: f64 = 2.0;
/// Time after which a connection is closed if something was sent on it and nothing is pending, in seconds. Usual callers close
/// such a connection themselves after 4 s.
const IDLE_TIMEOUT_S: f64 = 8.0;
/// Time for which a connection closed here is still read, discarding the input, in seconds. If it were closed at once with input
/// unread, the kernel would reset it, and a reset can destroy an answer that the peer has not read yet.
const LINGER_S: f64 = 1.0;

/// Time for which a connection closed by its caller is watched for a reset, in seconds, if the last message sent on it was the
/// end of a call. It is long enough for the kernel of a distant peer to answer a message that crossed the close.
pub(super) const RESET_WAIT_S: f64 = 0.25;

/// A connection that one side has closed.
pub(super) struct Closing {
    connection: Connection<TcpStream>,
    closed_by: ClosedBy,
    pending_ends: Pending<CallEnd>,
    /// When that side closed it, in Unix seconds.
    closed_at: f64,
}

impl Closing {
    /// Whether this side has waited long enough and may drop the connection.
    fn is_expired(&self, now: f64) -> bool {
        let wait = match self.closed_by {
            ClosedBy::Us => LINGER_S,
            ClosedBy::Caller => RESET_WAIT_S,
        };
        now >= self.closed_at + wait
    }

    /// Whether a reset may still arrive that would prove that the caller left the end of a call unread.
    pub(super) fn awaits_reset(&self, now: f64) -> bool {
        let recent = now < self.closed_at + RESET_WAIT_S;
        recent && self.pending_ends.reset_would_prove_unread(now, self.connection.written())
    }

    /// Whether there are unwritten bytes.
    pub(super) fn is_blocked(&self) -> bool {
        self.connection.blocked()
    }

    /// When the connection was closed, in Unix seconds.
    pub(super) fn closed_at(&self) -> f64 {
        self.closed_at
    }
}

/// Which side has closed a connection.
#[derive(Clone, Copy, PartialEq, Eq)]
enum ClosedBy {
    /// This side; see [`LINGER_S`].
    Us,
    /// The caller; see [`RESET_WAIT_S`].
    Caller,
}

/// Whether a connection must stay open: it has open set-ups, or standing calls whose callers wait for the end on it, or it is the
/// one reserved for the ends of other calls.
fn is_needed(key: Key, reserved: Option<Key>, calls: &Calls) -> bool {
    calls.open_count(key) > 0 || calls.standing_count(key) > 0 || Some(key) == reserved
}

impl Clients {
    /// Closes the connections that have been unused for too long, and drops those that were closed long enough ago.
    pub(super) fn close_unused(&mut self, now: f64, poller: &Poller, calls: &mut Calls) {
        let (keys, reserved) =
            (self.connections.keys().copied().collect::<Vec<Key>>(), self.reserved_connection(calls));
        for key in keys {
            let reason = |c: &mut Client, calls: &Calls| {
                let unused =
                    c.is_unused(now, NO_REPLY_TIMEOUT_S, IDLE_TIMEOUT_S) && !is_needed(key, reserved, calls);
                match c.connection.stalled(now, NO_REPLY_TIMEOUT_S) {
                    true => Some(CloseReason::IncompleteMessage),
                    false => unused.then_some(CloseReason::Idle),
                }
            };
            if self.connections.get_mut(&key).is_some_and(|c| reason(c, calls).is_some()) {
                self.close_if(now, key, reason, poller, calls);
            }
        }
        let expired: Vec<Key> =
            self.closing.iter().filter(|(_, c)| c.is_expired(now)).map(|(key, _)| *key).collect();
        expired.into_iter().for_each(|key| self.drop_closing(now, key, CloseKind::Graceful, poller));
    }

    /// Reads a connection a last time, then closes it if there is still a reason to. Returns whether there was. Without this
    /// read, a set-up would be lost that arrived since the poll, or long ago while this process was not scheduled.
    pub(super) fn close_if(
        &mut self,
        now: f64,
        key: Key,
        reason: impl Fn(&mut Client, &Calls) -> Option<CloseReason>,
        poller: &Poller,
        calls: &mut Calls,
    ) -> bool {
        self.read_before_close(now, key, poller, calls);
        let Some(client) = self.connections.get_mut(&key) else { return false };
        let Some(reason) = reason(client, calls) else { return false };
        self.close_if_over(now, key, Err(reason), poller, calls);
        true
    }

    /// Closes every connection once its unwritten bytes are written.
    pub fn close_all(&mut self, now: f64, poller: &Poller, calls: &mut Calls) {
        let keys: Vec<Key> = self.connections.keys().copied().collect();
        keys.into_iter().for_each(|key| self.close_if_over(now, key, Err(CloseReason::Idle), poller, calls));
    }

    /// Whether any connection that was closed here is not yet closed by its peer.
    pub fn has_closing_connections(&self) -> bool {
        self.closing.values().any(|closing| closing.closed_by == ClosedBy::Us)
    }

    /// Continues to close a connection whose socket is ready. If this side closed it, writes the remaining bytes, shuts the write
    /// side down, and discards input. If the caller closed it, only a reset can still arrive.
    pub(super) fn continue_closing(&mut self, now: f64, key: Key, poller: &Poller) {
        let Some(closing) = self.closing.get_mut(&key) else { return };
        if closing.closed_by == ClosedBy::Caller {
            // If it was closed in this iteration, the poller may report it for input that arrived before.
            if is_reset(&closing.connection) {
                self.remove_closing(now, key, CloseKind::Reset, poller);
            }
            return;
        }
        let before = closing.connection.blocked();
        let written = closing.connection.flush();
        if before && written.is_ok() && !closing.connection.blocked() {
            poller.set_interest(key, closing.connection.stream(), true, false);
            drop(closing.connection.stream().shutdown(Shutdown::Write));
        }
        let Err(reason) = written.and_then(|()| closing.connection.discard_input()) else { return };
        let reset = matches!(reason, CloseReason::Broken(_)) || is_reset(&closing.connection);
        self.remove_closing(now, key, if reset { CloseKind::Reset } else { CloseKind::Graceful }, poller);
    }

    /// Handles a connection closed by its caller. Keeps it for a while if a reset would prove that the caller left ends unread.
    fn handle_close_by_caller(
        &mut self,
        now: f64,
        key: Key,
        connection: Connection<TcpStream>,
        mut pending_ends: Pending<CallEnd>,
        reset_seen: bool,
        poller: &Poller,
    ) {
        self.unread_ends.extend(pending_ends.take_unwritten(connection.written()));
        let reset = reset_seen || is_reset(&connection);
        if !reset && !connection.blocked() && pending_ends.reset_would_prove_unread(now, connection.written())
        {
            // Watched for errors only: after the peer's close the socket is readable for good.
            poller.set_interest(key, connection.stream(), false, false);
            let closed_by = ClosedBy::Caller;
            self.closing.insert(key, Closing { connection, closed_by, pending_ends, closed_at: now });
            return;
        }
        poller.remove(connection.stream());
        let closed = if reset { CloseKind::Reset } else { CloseKind::Graceful };
        self.settle_ends(now, &mut pending_ends, closed, &connection);
    }

    /// Drops a connection that one side has closed, checking for a reset a last time; `otherwise` applies if there was none.
    pub(super) fn drop_closing(&mut self, now: f64, key: Key, otherwise: CloseKind, poller: &Poller) {
        let Some(closing) = self.closing.get(&key) else { return };
        let closed = if is_reset(&closing.connection) { CloseKind::Reset } else { otherwise };
        self.remove_closing(now, key, closed, poller);
    }

    fn remove_closing(&mut self, now: f64, key: Key, closed: CloseKind, poller: &Poller) {
        let Some(mut closing) = self.closing.remove(&key) else { return };
        poller.remove(closing.connection.stream());
        self.settle_ends(now, &mut closing.pending_ends, closed, &closing.connection);
        self.resume_accepting(poller);
    }

    /// Closes a connection if `end` is an error, which is the reason.
    pub(super) fn close_if_over(
        &mut self,
        now: f64,
        key: Key,
        end: Result<(), CloseReason>,
        poller: &Poller,
        calls: &mut Calls,
    ) {
        let Some(client) = self.connections.get_mut(&key) else { return };
        let Err(error) = end else { return client.update_watch(key, poller) };
        log::debug!(caller = key, reason:% = error; "caller-closed");
        let Some(client) = self.connections.remove(&key) else { return };
        if calls.standing_count(key) > 0 {
            self.closed_addresses.insert(key, client.address);
        }
        match error {
            CloseReason::Closed | CloseReason::Broken(_) => {
                let reset = client.reset_seen || matches!(error, CloseReason::Broken(_));
                self.handle_close_by_caller(now, key, client.connection, client.pending_ends, reset, poller);
            }
            _ if client.reset_seen => {
                self.handle_close_by_caller(now, key, client.connection, client.pending_ends, true, poller);
            }
            _ => self.close_gracefully(now, key, client, poller, calls),
        }
        calls.origin_lost(now, key);
    }

    /// Closes a connection on which the caller sent something invalid, or that is unused. Its open set-ups are still answered.
    fn close_gracefully(&mut self, now: f64, key: Key, mut client: Client, poller: &Poller, calls: &Calls) {
        let answered = |id: &u64| client.connection.send(&encode_reply(*id, Reply::Failed)).is_ok();
        let _ = calls.open_ids(key).iter().all(answered);
        if !client.connection.blocked() {
            drop(client.connection.stream().shutdown(Shutdown::Write));
        }
        client.update_watch(key, poller);
        let Client { connection, pending_ends, .. } = client;
        let closed_by = ClosedBy::Us;
        self.closing.insert(key, Closing { connection, closed_by, pending_ends, closed_at: now });
    }
}

/// Whether the kernel has received a reset of a connection since its last read or write. The kernel reports it only once.
fn is_reset(connection: &Connection<TcpStream>) -> bool {
    matches!(connection.stream().take_error(), Ok(Some(_)))
}
