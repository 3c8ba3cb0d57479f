//! A connection to a session server, and what is out on it.

use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::{SocketAddr, TcpStream};

use hollypaddle_platform::connection::{Connection, Over};
use hollypaddle_platform::message::Message;
use hollypaddle_policy::PoolId;
use socket2::{Domain, Socket, Type};

use super::release::Release;
use super::Context;
use crate::node::delivery::Pending;
use crate::node::poller::{Key, Poller};

/// What Linux says of a connection that is on its way.
const EINPROGRESS: i32 = 115;

/// A connection to a session server.
pub(super) struct Channel {
    pub connection: Connection<TcpStream>,
    pub up: bool,
    /// When it was tried, or came up.
    pub since: f64,
    pub heard_at: f64,
    /// Watched for writing too.
    pub writing: bool,
    /// Since when a message is held back, see [`super::MAX_HOLD_S`].
    pub held_since: Option<f64>,
    /// Set-ups out on this connection.
    pub open: BTreeMap<u64, SentSetUp>,
    /// Give-ups being written: the position at which each ends, and its call.
    pub give_ups: VecDeque<(u64, u64)>,
    /// Releases and give-ups sent on this connection that were not confirmed.
    pub releases: Pending<Release>,
}

/// A set-up that is out on a connection.
#[derive(Clone, Copy)]
pub(super) struct SentSetUp {
    pub sent_at: f64,
    /// Where it ends in the stream.
    pub end: u64,
}

impl Channel {
    /// Sends a message; returns where it ends in the stream. A broken connection is found ready with its
    /// end, in its turn.
    pub(super) fn send(&mut self, key: Key, message: &Message, poller: &Poller) -> Option<u64> {
        let end = match self.connection.send(message) {
            Ok(end) => Some(end),
            Err(error) => {
                log::debug!(connection = key, error:%; "connection-broken");
                if let Over::Stuck = error {
                    drop(self.connection.stream().shutdown(std::net::Shutdown::Both));
                }
                None
            }
        };
        self.watch(key, poller);
        end
    }

    /// Notes since when a message is held back, if one is.
    pub(super) fn note_held(&mut self, now: f64) {
        let since = self.held_since.unwrap_or(now);
        self.held_since = self.connection.holds_message().then_some(since);
    }

    /// Reports the give-ups that are out.
    pub(super) fn report_give_ups(&mut self, pool: PoolId, key: Key, ctx: &mut Context) {
        let written = self.connection.written();
        while let Some((_, id)) = self.give_ups.pop_front_if(|(end, _)| *end <= written) {
            ctx.calls.give_up_written(pool, id);
        }
        self.watch(key, ctx.poller);
    }

    pub(super) fn watch(&mut self, key: Key, poller: &Poller) {
        let writing = !self.up || self.connection.blocked();
        if writing != self.writing {
            self.writing = writing;
            poller.set_interest(key, self.connection.stream(), true, writing);
        }
    }
}

/// The connection for what is to be sent: the one last heard.
pub(super) fn last_heard(channels: &mut BTreeMap<Key, Channel>) -> Option<(Key, &mut Channel)> {
    let up = channels.iter_mut().filter(|(_, c)| c.up);
    up.max_by(|a, b| a.1.heard_at.total_cmp(&b.1.heard_at)).map(|(key, channel)| (*key, channel))
}

/// Begins to connect without waiting.
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
