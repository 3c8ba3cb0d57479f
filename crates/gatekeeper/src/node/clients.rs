//! The callers' side: the listener, the client connections, and the messages on them.

mod closing;
mod draining;
mod ends;
mod eviction;
mod input;
mod owed;
mod receiving;
mod reply;
mod set_up;

use std::collections::{BTreeMap, VecDeque};
use std::io::{self, ErrorKind};
use std::net::{IpAddr, Shutdown, SocketAddr, TcpListener, TcpStream};

use self::closing::Closing;
use self::draining::Drain;
pub use self::draining::DrainCounts;
use self::ends::CallEnd;
pub use self::ends::EndCounts;
use self::input::InputBudget;
use self::owed::OwedEnds;
use self::reply::encode_reply;
use super::config::ProtocolClass;
use super::delivery::Pending;
use super::listen::bind;
use super::poller::{Key, Poller, Ready};
use super::steering::{self, Steering};
use hollypaddle_core::calls::{Calls, Origin, Reply};
use hollypaddle_platform::connection::{CloseReason, Connection};
use hollypaddle_platform::message::{Message, MAX_MESSAGE_BYTES};
use hollypaddle_service::drain::KeepReason;

/// Longest time after which a caller refused by an overloaded gatekeeper may try again, in seconds. The longest time that callers
/// accept applies if it is shorter.
const MAX_CROWDED_RETRY_AFTER_S: f64 = 1.0;
/// Length of the listener's queue of connections to be accepted. Callers connect by the hundreds at once; the standard library's
/// 128 are too few.
const LISTEN_BACKLOG: i32 = 1024;

/// An open client connection. Times are in Unix seconds.
struct Client {
    connection: Connection<TcpStream>,
    /// How much may be read from it in this iteration of the event loop.
    input_budget: InputBudget,
    /// The peer's address.
    address: IpAddr,
    /// Whether the socket is watched for writability too.
    watches_writable: bool,
    /// When the connection was accepted.
    connected_at: f64,
    /// When the caller last sent or was sent something.
    used_at: f64,
    /// When the last set-up was read.
    last_set_up_at: Option<f64>,
    /// Whether a set-up was read that followed a reply about a call. Such a set-up shows that the caller reads replies.
    set_up_after_reply: bool,
    best_reply: BestReply,
    /// When the first call was established on the connection.
    first_established_at: Option<f64>,
    /// Number of invalid set-ups read so far.
    invalid_set_ups: u32,
    /// Ends of calls sent on this connection that the caller has not confirmed.
    pending_ends: Pending<CallEnd>,
    /// A write or a poll failed: the connection was reset, and the kernel reports that only once.
    reset_seen: bool,
    /// The caller has closed the connection, behind input that is not read yet. What is read from now on starts no call.
    has_left: bool,
    /// Why the connection was last kept in a drain; logged when it changes.
    kept_for: Option<KeepReason>,
}

/// The most significant message sent on a connection so far.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum BestReply {
    None,
    /// The end of a call, sent without knowing whether this caller had one.
    UnprovenEnd,
    /// The result of a test, or the refusal of an invalid set-up.
    Notice,
    /// The result of a call other than its answer.
    Outcome,
    /// The answer that establishes a call.
    Established,
}

/// The listener and all client connections. Times are in Unix seconds.
pub struct Clients {
    /// The address of the listener, kept while it is closed in a drain.
    address: SocketAddr,
    /// Classes of set-ups, indexed by class number.
    classes: Vec<ProtocolClass>,
    listener: Option<TcpListener>,
    listener_key: Key,
    /// Set while the listener is about to close.
    steering: Option<Steering>,
    /// Accepting is paused, for lack of descriptors.
    accept_paused: bool,
    /// Since when callers wait to be accepted because all connection slots are taken.
    full_since: Option<f64>,
    /// Maximum number of client connections, closing ones included.
    max_connections: usize,
    /// Maximum number of unwritten bytes for one caller.
    max_unwritten_bytes: usize,
    connections: BTreeMap<Key, Client>,
    /// Number of the iteration of the event loop.
    iteration: u64,
    /// Connections that one side has closed, kept until it is known whether the messages sent on them were read.
    closing: BTreeMap<Key, Closing>,
    /// Retry-after time for callers refused by an overloaded gatekeeper, in seconds; none if callers are sent no such time.
    crowded_retry_after: Option<f64>,
    /// Ends of established calls that wait for a connection of their caller.
    owed_ends: OwedEnds,
    /// The peers' addresses of closed connections whose calls still stand.
    closed_addresses: BTreeMap<Key, IpAddr>,
    /// Ends that were not read on a connection that is closed now, to be sent on another one at once.
    unread_ends: VecDeque<CallEnd>,
    end_counts: EndCounts,
    /// Set while the gatekeeper is drained.
    drain: Option<Drain>,
    drain_counts: DrainCounts,
    /// Classes of the set-ups refused here, for overload or in a drain, that the metrics do not count yet.
    pub refused_classes: Vec<usize>,
    /// Called between the last accept and the close of the listener, with its address.
    #[cfg(test)]
    pub before_close: Option<Box<dyn FnMut(SocketAddr)>>,
    /// Called between the next poll of a connection and the write that follows.
    #[cfg(test)]
    pub after_poll: Option<Box<dyn FnOnce()>>,
}

impl Clients {
    /// Opens the listener. At most `max_connections` connections are held at once, with `memory_bytes` for unwritten output on
    /// all of them together.
    pub fn listen(
        address: SocketAddr,
        max_connections: usize,
        memory_bytes: usize,
        classes: Vec<ProtocolClass>,
        poller: &mut Poller,
    ) -> io::Result<Self> {
        let listener = bind(address, LISTEN_BACKLOG)?;
        steering::reset_to_hash(&listener);
        let address = listener.local_addr()?;
        let listener_key = poller.add(&listener, false)?;
        let (listener, connections) = (Some(listener), BTreeMap::new());
        let accept_paused = false;
        let max_unwritten_bytes =
            (memory_bytes / max_connections).clamp(2 * MAX_MESSAGE_BYTES, 8 * MAX_MESSAGE_BYTES);
        let refused_classes = Vec::new();
        Ok(Clients {
            address,
            classes,
            listener,
            listener_key,
            steering: None,
            accept_paused,
            full_since: None,
            max_connections,
            max_unwritten_bytes,
            connections,
            iteration: 0,
            closing: BTreeMap::new(),
            crowded_retry_after: None,
            owed_ends: OwedEnds::default(),
            closed_addresses: BTreeMap::new(),
            unread_ends: VecDeque::new(),
            end_counts: EndCounts::default(),
            drain: None,
            drain_counts: DrainCounts::default(),
            refused_classes,
            #[cfg(test)]
            before_close: None,
            #[cfg(test)]
            after_poll: None,
        })
    }

    /// The address of the listener, if it is open.
    pub fn address(&self) -> Option<SocketAddr> {
        self.listener.as_ref()?.local_addr().ok()
    }

    /// Steers new connections to another process that listens at the same address, if there is one: the listener is about to
    /// close, and would reset those that arrive between its last accept and its close.
    pub fn steer_away(&mut self, now: f64) {
        if let Some(listener) = &self.listener {
            self.steering = Some(Steering::begin(now, listener));
        }
    }

    /// Accepts a share of the new connections again.
    pub fn steer_back(&mut self) {
        if let (Some(_), Some(listener)) = (self.steering.take(), &self.listener) {
            steering::reset_to_hash(listener);
        }
    }

    /// Stops accepting connections; returns whether the listener is closed. Connections in its queue are accepted first: closing
    /// a listener resets the connections queued to it, and in an upgrade they were meant for this process. If there are no slots
    /// for them, the listener stays open, and this must be called again.
    pub fn stop_listening(&mut self, now: f64, poller: &mut Poller, calls: &mut Calls) -> bool {
        self.accept(now, poller, calls);
        if self.accept_paused {
            return false;
        }
        self.close_listener(poller);
        true
    }

    /// Accepts the connections in the listener's queue, even with descriptors reserved for servers, and closes the listener once
    /// the queue is empty: the program ends, and callers that waited for a slot must still get a reply.
    pub fn accept_remaining(&mut self, now: f64, poller: &mut Poller, calls: &mut Calls) {
        self.max_connections = usize::MAX;
        self.stop_listening(now, poller, calls);
    }

    fn close_listener(&mut self, poller: &Poller) {
        let Some(listener) = self.listener.take() else { return };
        #[cfg(test)]
        if let Some(hook) = &mut self.before_close {
            hook(self.address);
        }
        poller.remove(&listener);
        self.accept_paused = false;
        self.steering = None;
    }

    /// Closes unused connections, sends ends that were held back, and resumes accepting after a pause. Called periodically.
    pub fn maintain(&mut self, now: f64, poller: &Poller, calls: &mut Calls) {
        self.close_unused(now, poller, calls);
        self.send_unread(now, poller, calls);
        self.send_owed(now, poller, calls);
        self.closed_addresses.retain(|key, _| calls.standing_count(*key) > 0);
        if let (true, Some(listener)) = (self.accept_paused, &self.listener) {
            self.accept_paused = false;
            poller.set_interest(self.listener_key, listener, true, false);
        }
    }

    /// Replaces the classes, indexed by class number, after the settings were read again.
    pub fn set_classes(&mut self, classes: Vec<ProtocolClass>) {
        self.classes = classes;
    }

    /// Sets the longest retry-after time that callers accept, in seconds; none if they are sent no such time.
    pub fn set_max_retry_after(&mut self, max: Option<f64>) {
        self.crowded_retry_after = max.map(|max| max.min(MAX_CROWDED_RETRY_AFTER_S));
    }

    /// Time after which callers refused here may try again, in seconds.
    pub fn retry_after(&self) -> f64 {
        self.crowded_retry_after.unwrap_or(0.0)
    }

    /// Sets the maximum number of client connections.
    pub fn set_max_connections(&mut self, max: usize) {
        self.max_connections = max.max(1);
    }

    /// Whether the listener is open.
    pub fn is_listening(&self) -> bool {
        self.listener.is_some()
    }

    /// Opens the listener again at its address, after a drain.
    pub fn resume_listening(&mut self, poller: &mut Poller) -> io::Result<()> {
        if self.listener.is_none() {
            let listener = bind(self.address, LISTEN_BACKLOG)?;
            steering::reset_to_hash(&listener);
            self.listener_key = poller.add(&listener, false)?;
            (self.listener, self.accept_paused) = (Some(listener), false);
        }
        Ok(())
    }

    /// Handles a ready socket if it is the listener or a client connection.
    pub fn handle_ready(&mut self, now: f64, ready: Ready, poller: &mut Poller, calls: &mut Calls) {
        if ready.key == self.listener_key {
            self.accept(now, poller, calls);
        } else if self.closing.contains_key(&ready.key) {
            self.continue_closing(now, ready.key, poller);
        } else if let Some(client) = self.connections.get_mut(&ready.key) {
            if ready.writable {
                let end = client.connection.flush();
                self.close_if_over(now, ready.key, end, poller, calls);
            }
            if ready.readable {
                self.read(now, ready.key, poller, calls);
            }
        }
        self.send_unread(now, poller, calls);
    }

    fn accept(&mut self, now: f64, poller: &mut Poller, calls: &mut Calls) {
        loop {
            if self.socket_count() >= self.max_connections {
                self.free_slot(now, poller, calls);
            }
            if self.socket_count() >= self.max_connections {
                self.full_since.get_or_insert(now);
            }
            let Some(listener) = &self.listener else { return };
            let accepted = match self.socket_count() < self.max_connections {
                true => listener.accept(),
                false => Err(io::Error::other("the maximum number of client connections is reached")),
            };
            if let (Ok(_), Some(steering)) = (&accepted, &mut self.steering) {
                steering.connection_accepted(now, listener);
            }
            let error = match accepted.and_then(|(stream, peer)| self.admit(now, stream, peer.ip(), poller)) {
                Ok(()) => continue,
                Err(error) => error,
            };
            match error.kind() {
                ErrorKind::WouldBlock => {
                    self.full_since = None;
                    return;
                }
                // The caller has already closed the connection.
                ErrorKind::Interrupted | ErrorKind::ConnectionAborted | ErrorKind::ConnectionReset => {}
                // Out of descriptors or slots. The poller is level-triggered and would report the listener again at
                // once, in a busy loop. Waiting connections are accepted at the next maintenance.
                _ => {
                    log::debug!(error:%; "accept-paused");
                    if let Some(listener) = &self.listener {
                        poller.set_interest(self.listener_key, listener, false, false);
                    }
                    self.accept_paused = true;
                    return;
                }
            }
        }
    }

    /// Whether any connection has unwritten bytes.
    #[cfg(test)]
    pub fn blocked(&self) -> bool {
        self.connections.values().any(|client| client.connection.blocked())
    }

    /// Makes the kernel's send buffers so small that few bytes fill them.
    #[cfg(test)]
    pub fn shrink_send_buffers(&self) {
        let sockets = self.connections.values().map(|client| client.connection.stream());
        sockets.for_each(|socket| drop(socket2::SockRef::from(socket).set_send_buffer_size(4096)));
    }

    /// Number of sockets of callers, closing ones included.
    fn socket_count(&self) -> usize {
        self.connections.len() + self.closing.len()
    }

    fn admit(&mut self, now: f64, stream: TcpStream, address: IpAddr, poller: &mut Poller) -> io::Result<()> {
        stream.set_nonblocking(true)?;
        stream.set_nodelay(true)?;
        let key = poller.add(&stream, false)?;
        let connection = Connection::new(stream, self.max_unwritten_bytes);
        let client = Client {
            connection,
            input_budget: InputBudget::default(),
            address,
            watches_writable: false,
            connected_at: now,
            used_at: now,
            last_set_up_at: None,
            set_up_after_reply: false,
            best_reply: BestReply::None,
            first_established_at: None,
            invalid_set_ups: 0,
            pending_ends: Pending::default(),
            reset_seen: false,
            has_left: false,
            kept_for: None,
        };
        self.connections.insert(key, client);
        Ok(())
    }

    /// Sends a caller the result of a call. Returns whether it could be sent: not if the caller's connection is gone, except for
    /// the end of an established call, which is then sent on another connection.
    pub fn reply(
        &mut self,
        now: f64,
        origin: Origin,
        id: u64,
        reply: Reply,
        poller: &Poller,
        calls: &mut Calls,
    ) -> bool {
        if let Reply::Ended { cut } = reply {
            let end = CallEnd { id, cut, ended_at: now, address: self.address_of(origin) };
            self.send_end(now, origin, end, poller, calls);
            return true;
        }
        let is_established = matches!(reply, Reply::Established(_));
        if is_established {
            let was_established = calls.is_standing(id);
            let connected = self.poll_connection(now, origin, poller, calls);
            // The poll found the call cancelled, and it is released at its server: no answer is owed.
            if was_established && !calls.is_standing(id) && connected {
                return true;
            }
        }
        // A caller whose connection is gone has given up its calls that are not established.
        if !self.is_connected(origin) {
            return false;
        }
        let best_reply = if is_established { BestReply::Established } else { BestReply::Outcome };
        let sent = self.send(now, origin, &encode_reply(id, reply), best_reply, poller);
        if is_established {
            self.handle_established(now, origin, poller, calls);
        }
        sent
    }

    /// Sends a message; returns whether it was written or buffered.
    fn send(
        &mut self,
        now: f64,
        key: Key,
        message: &Message,
        best_reply: BestReply,
        poller: &Poller,
    ) -> bool {
        let Some(client) = self.connections.get_mut(&key) else { return false };
        (client.used_at, client.best_reply) = (now, client.best_reply.max(best_reply));
        let sent = client.connection.send(message).map(drop);
        client.handle_write_result(key, &sent);
        client.update_watch(key, poller);
        sent.is_ok()
    }
}

impl Client {
    /// Whether the connection has been unused for too long, by timeouts in seconds: `no_reply_timeout` since the connect if no
    /// message was sent on it, else `idle_timeout` since the last message.
    fn is_unused(&self, now: f64, no_reply_timeout: f64, idle_timeout: f64) -> bool {
        match self.best_reply {
            BestReply::None => now - self.connected_at >= no_reply_timeout,
            _ => now - self.used_at >= idle_timeout,
        }
    }

    /// Handles the result of a write.
    fn handle_write_result(&mut self, key: Key, written: &Result<(), CloseReason>) {
        match written {
            Ok(()) => {}
            // The caller does not read. The poller reports the socket after the shutdown, and it is closed then.
            Err(CloseReason::WriteBacklog) => drop(self.connection.stream().shutdown(Shutdown::Both)),
            // The poller reports a broken connection too.
            Err(error) => {
                self.reset_seen = true;
                log::debug!(caller = key, error:%; "caller-broken");
            }
        }
    }

    fn update_watch(&mut self, key: Key, poller: &Poller) {
        let watches_writable = self.connection.blocked();
        if watches_writable != self.watches_writable {
            self.watches_writable = watches_writable;
            poller.set_interest(key, self.connection.stream(), true, watches_writable);
        }
    }
}
