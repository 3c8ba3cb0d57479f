//! A connection to a session server, with the set-ups and releases sent on it.

use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::{SocketAddr, TcpStream};

use hollypaddle_platform::connection::{CloseReason, Connection};
use hollypaddle_platform::message::Message;
use hollypaddle_policy::PoolId;
use socket2::{Domain, Socket, Type};

use super::release::Release;
use super::replacement::Verification;
use super::Context;
use crate::node::delivery::Pending;
use crate::node::poller::{Key, Poller};

/// The error code of Linux for a non-blocking connect that is in progress.
const EINPROGRESS: i32 = 115;

/// A connection to a session server, established or being established. Times are in Unix seconds.
pub(super) struct Channel {
    pub connection: Connection<TcpStream>,
    /// Whether the connection is established.
    pub up: bool,
    /// When the connection was established, or the attempt was started if it is not yet.
    pub since: f64,
    /// When the last message was received on it, or it was established.
    pub heard_at: f64,
    /// Whether the socket is watched for writability too.
    pub watches_writable: bool,
    /// Since when a message is held back, see [`super::MAX_MESSAGE_HOLD_S`].
    pub held_since: Option<f64>,
    /// Open set-ups sent on this connection, by call id.
    pub open: BTreeMap<u64, SentSetUp>,
    /// Give-ups being written: the offset in the byte stream at which each ends, and its call id.
    pub give_ups: VecDeque<(u64, u64)>,
    /// Releases and give-ups sent on this connection that were not confirmed.
    pub releases: Pending<Release>,
    /// Set while it is being verified that the process at the other end runs.
    pub verification: Option<Verification>,
    /// The id of the last test that was sent on it.
    pub last_test: u64,
}

/// An open set-up that was sent on a connection.
#[derive(Clone, Copy)]
pub(super) struct SentSetUp {
    /// When it was sent, in Unix seconds.
    pub sent_at: f64,
    /// Offset in the byte stream at which its message ends.
    pub end_offset: u64,
}

impl Channel {
    /// Sends a message; returns the offset in the byte stream at which it ends, or none if the connection is broken. A broken
    /// connection is reported by the poller and closed then.
    pub(super) fn send(&mut self, key: Key, message: &Message, poller: &Poller) -> Option<u64> {
        let end = match self.connection.send(message) {
            Ok(end) => Some(end),
            Err(error) => {
                log::debug!(connection = key, error:%; "connection-broken");
                if let CloseReason::WriteBacklog = error {
                    drop(self.connection.stream().shutdown(std::net::Shutdown::Both));
                }
                None
            }
        };
        self.update_watch(key, poller);
        end
    }

    /// Records since when a message is held back, if one is.
    pub(super) fn update_held_since(&mut self, now: f64) {
        let since = self.held_since.unwrap_or(now);
        self.held_since = self.connection.has_held_message().then_some(since);
    }

    /// Reports the give-ups that are fully written to the calls.
    pub(super) fn report_give_ups(&mut self, pool: PoolId, key: Key, ctx: &mut Context) {
        let written = self.connection.written();
        while let Some((_, id)) = self.give_ups.pop_front_if(|(end_offset, _)| *end_offset <= written) {
            ctx.calls.give_up_written(pool, id);
        }
        self.update_watch(key, ctx.poller);
    }

    pub(super) fn update_watch(&mut self, key: Key, poller: &Poller) {
        let watches_writable = !self.up || self.connection.blocked();
        if watches_writable != self.watches_writable {
            self.watches_writable = watches_writable;
            poller.set_interest(key, self.connection.stream(), true, watches_writable);
        }
    }
}

/// Returns the connection to send on: the established one that last received a message.
pub(super) fn most_recent_channel(channels: &mut BTreeMap<Key, Channel>) -> Option<(Key, &mut Channel)> {
    let up = channels.iter_mut().filter(|(_, c)| c.up);
    up.max_by(|a, b| a.1.heard_at.total_cmp(&b.1.heard_at)).map(|(key, channel)| (*key, channel))
}

/// Starts a connection attempt without waiting for its result.
pub(in crate::node) fn connect_nonblocking(address: SocketAddr) -> io::Result<TcpStream> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_nonblocking(true)?;
    socket.set_tcp_nodelay(true)?;
    match socket.connect(&address.into()) {
        Ok(()) => {}
        Err(error) if error.raw_os_error() == Some(EINPROGRESS) => {}
        Err(error) => return Err(error),
    }
    Ok(socket.into())
}
