//! The links between leaves and relays: the sockets of a [`Node`], for both roles.
//!
//! The node decides which links to make, what to send on each and which to close. This module makes, accepts, reads, writes and
//! closes them. A relay listens at the address of its `relay` line for leaves and other relays; a leaf doesn't listen. Nothing
//! is queued for a link: a message is created when its link has room. A link whose peer doesn't read therefore holds one message
//! here and what fits into the system's buffer, which is bounded too, and doesn't affect other links.
//!
//! The address must be on a private network: whoever reaches it can claim to be a leaf.

use std::collections::BTreeMap;
use std::error::Error;
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, TcpListener, TcpStream};

use hollypaddle_membership::MemberId;
use hollypaddle_platform::connection::{CloseReason, Connection, Frame};
use hollypaddle_relay::message::{self, Message};
use hollypaddle_relay::{LinkError, LinkId, Node};
use socket2::SockRef;

use super::listen::bind;
use super::poller::{Key, Poller, Ready};
use super::servers::connect_nonblocking;

/// Unsent bytes that may be queued on a link.
const MAX_QUEUED_BYTES: usize = 2 * message::MAX_FRAME_BYTES;
/// Approximate size of the system's send buffer of a link. The system doubles the value for its own overhead.
const SEND_BUFFER_BYTES: usize = 32 * 1024;
/// Time after which a link that accepts none of the queued bytes is closed.
const STUCK_TIMEOUT_S: f64 = 3.0;
/// Time after which a link that is not established, or on which no valid message has come, is closed.
const HANDSHAKE_TIMEOUT_S: f64 = 1.0;
/// Time for the last messages on a closing link to be written and read.
const CLOSE_TIMEOUT_S: f64 = 0.5;
/// Connections that may wait to be accepted.
const LISTEN_BACKLOG: i32 = 512;
/// Accepted links on which no valid message has come yet.
const MAX_UNIDENTIFIED_LINKS: usize = 64;
/// Age at which the oldest unidentified link may be closed to make room. Until then further connections wait: after the end of a
/// relay many leaves connect at once, and their hellos are in transit.
const MIN_IDENTIFY_TIME_S: f64 = 0.2;
/// Messages sent on one link in one iteration of the event loop.
const MAX_MESSAGES_PER_ITERATION: usize = 32;
/// Links that a leaf has at once: to its relay, to its second choice, one being opened and one being closed.
const MAX_LEAF_LINKS: usize = 4;

/// Returns how many descriptors the links of a relay may use. Each leaf is attached to one relay and keeps a link to a second.
pub fn max_links(leaves: usize, relays: usize) -> usize {
    2 * leaves + relays + MAX_UNIDENTIFIED_LINKS + 1
}

/// Returns how many descriptors the links of a leaf may use.
pub fn max_leaf_links() -> usize {
    MAX_LEAF_LINKS
}

/// Why a link between a leaf and a relay, or between two relays, is closed. It is made again automatically.
#[derive(Debug, thiserror::Error)]
pub enum RelayLinkError {
    /// The node rejected a message.
    #[error(transparent)]
    Node(#[from] LinkError),
    /// Input that is not a valid message.
    #[error("{0}: not a leaf or relay, or another version of the program; check who connects to the relay's address")]
    Unreadable(String),
    /// The peer sent no valid message in time.
    #[error("no hello within {HANDSHAKE_TIMEOUT_S} s: not a leaf or relay, or a paused machine; check who connects there")]
    NoHello,
    /// The connection was not established in time.
    #[error("not established within {HANDSHAKE_TIMEOUT_S} s: check that the relay's machine runs and its address can be reached from here")]
    NotUp,
    /// The peer accepts none of the queued bytes.
    #[error("no queued bytes were accepted for {STUCK_TIMEOUT_S} s: the peer is paused or overloaded, or the path is cut; check its machine")]
    Stuck,
    /// There were so many unidentified links that this one had to make room.
    #[error(
        "{MAX_UNIDENTIFIED_LINKS} links on which no hello has come: check who connects to the relay's address"
    )]
    Strangers,
}

impl RelayLinkError {
    /// Returns the label used in the log and on the page for on-call staff.
    pub fn name(&self) -> &'static str {
        match self {
            RelayLinkError::Node(error) => error.name(),
            RelayLinkError::Unreadable(_) => "relay-unreadable",
            RelayLinkError::NoHello => "relay-no-hello",
            RelayLinkError::NotUp => "relay-not-up",
            RelayLinkError::Stuck => "relay-stuck",
            RelayLinkError::Strangers => "relay-strangers",
        }
    }
}

/// A message in its frame, with its encoded size if it was received.
struct Framed(Message, u64);

impl Frame for Framed {
    fn encode(&self, out: &mut Vec<u8>) {
        self.0.encode(out);
    }

    fn decode(data: &[u8]) -> Result<Option<(Self, usize)>, Box<dyn Error + Send + Sync>> {
        Ok(Message::decode(data)?.map(|(message, length)| (Framed(message, length as u64), length)))
    }
}

/// Counters of all links since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct Counts {
    /// Links that were closed for an error, see [`RelayLinkError`].
    pub refused: u64,
    /// Messages sent.
    #[serde(rename = "said")]
    pub sent: u64,
    /// Messages received.
    #[serde(rename = "heard")]
    pub received: u64,
    /// Messages received of a kind that this version doesn't know.
    pub unknown: u64,
    /// Bytes sent.
    #[serde(rename = "bytes")]
    pub bytes_sent: u64,
    /// Bytes received.
    #[serde(rename = "bytes_heard")]
    pub bytes_received: u64,
    /// Links that were closed because sending made no progress.
    pub stuck: u64,
}

struct Link {
    id: LinkId,
    /// The relay that was dialed; `None` for an accepted link.
    to: Option<MemberId>,
    connection: Connection<TcpStream, Framed>,
    up: bool,
    /// Whether the node has accepted a message on it.
    identified: bool,
    since: f64,
    /// Bytes that were written, and when that last changed or nothing was queued.
    written: (u64, f64),
    watching_writable: bool,
    /// Since when the link is closing. The node no longer uses it.
    closing_since: Option<f64>,
}

/// The links of a node.
pub struct Links {
    listener: Option<(TcpListener, Key)>,
    address: Option<SocketAddr>,
    accept_paused: bool,
    /// Limit of simultaneous links.
    max_links: usize,
    addresses: BTreeMap<MemberId, SocketAddr>,
    links: BTreeMap<Key, Link>,
    by_id: BTreeMap<LinkId, Key>,
    /// Counters of all links.
    pub counts: Counts,
}

impl Links {
    /// Opens the listener, if there is one, for at most this many simultaneous links.
    pub fn open(listen: Option<SocketAddr>, max_links: usize, poller: &mut Poller) -> io::Result<Links> {
        let (mut listener, mut address) = (None, None);
        if let Some(listen) = listen {
            let opened = bind(listen, LISTEN_BACKLOG)?;
            address = Some(opened.local_addr()?);
            let key = poller.add(&opened, false)?;
            listener = Some((opened, key));
        }
        Ok(Links {
            listener,
            address,
            accept_paused: false,
            max_links,
            addresses: BTreeMap::new(),
            links: BTreeMap::new(),
            by_id: BTreeMap::new(),
            counts: Counts::default(),
        })
    }

    /// Returns the address of the listener.
    pub fn address(&self) -> Option<SocketAddr> {
        self.address
    }

    /// Applies the addresses of the relays and the limit of links. Links to a relay whose address has changed are closed.
    pub fn reconfigure(
        &mut self,
        now: f64,
        max_links: usize,
        addresses: BTreeMap<MemberId, SocketAddr>,
        node: &mut dyn Node,
        poller: &Poller,
    ) {
        self.max_links = max_links;
        let address_changed =
            |link: &Link| link.to.is_some_and(|to| self.addresses.get(&to) != addresses.get(&to));
        let keys: Vec<Key> =
            self.links.iter().filter(|(_, l)| address_changed(l)).map(|(key, _)| *key).collect();
        self.addresses = addresses;
        keys.into_iter().for_each(|key| self.handle_link_down(now, key, false, node, poller));
    }

    /// Returns the number of links.
    pub fn len(&self) -> usize {
        self.links.len()
    }

    /// Whether there are no links.
    pub fn is_empty(&self) -> bool {
        self.links.is_empty()
    }

    /// Sends a message on every link that is established and has room.
    pub fn send_to_all(&mut self, message: &Message) {
        for link in self.links.values_mut().filter(|l| l.up && l.closing_since.is_none()) {
            if !link.connection.blocked() {
                // If the link is broken, the peer notices it.
                let _ = link.connection.send(&Framed(message.clone(), 0));
            }
        }
    }

    /// Closes all sockets, after watching_writable what can be written without waiting.
    pub fn close_all(mut self, poller: &Poller) {
        if let Some((listener, _)) = self.listener.take() {
            poller.remove(&listener);
        }
        for link in self.links.values_mut() {
            // Unwritten bytes are lost; the peer sees the link closed.
            let _ = link.connection.flush();
            poller.remove(link.connection.stream());
        }
    }

    // ---- Socket events

    /// Whether a key belongs to a link or to the listener.
    pub fn owns(&self, key: Key) -> bool {
        self.links.contains_key(&key)
            || self.listener.as_ref().is_some_and(|(_, listener_key)| *listener_key == key)
    }

    /// Handles a socket that is ready, if it belongs to a link or is the listener; returns whether it does.
    pub fn handle_ready(&mut self, now: f64, ready: Ready, node: &mut dyn Node, poller: &mut Poller) -> bool {
        if self.listener.as_ref().is_some_and(|(_, key)| *key == ready.key) {
            self.accept(now, node, poller);
            return true;
        }
        let Some(link) = self.links.get_mut(&ready.key) else { return false };
        if link.closing_since.is_some() {
            // Waits for the peer to close the link or for an error. What the peer still sends is discarded.
            if link.connection.flush().is_err() || link.connection.discard_input().is_err() {
                self.drop_link(ready.key, poller);
            } else {
                link.watch(ready.key, poller);
                self.shutdown_write(ready.key);
            }
        } else if !link.up {
            self.connected(now, ready.key, node, poller);
        } else {
            self.read_and_write(now, ready, node, poller);
        }
        true
    }

    fn read_and_write(&mut self, now: f64, ready: Ready, node: &mut dyn Node, poller: &Poller) {
        let Some(link) = self.links.get_mut(&ready.key) else { return };
        if ready.writable {
            let was_blocked = link.connection.blocked();
            if link.connection.flush().is_err() {
                return self.handle_link_down(now, ready.key, false, node, poller);
            }
            link.record_progress(now);
            if was_blocked && !link.connection.blocked() {
                node.link_writable(now, link.id);
            }
        }
        link.watch(ready.key, poller);
        if !ready.readable {
            return;
        }
        let (id, mut messages) = (link.id, Vec::new());
        let end = link.connection.read(&mut messages);
        for Framed(message, length) in messages {
            self.counts.received += 1;
            self.counts.bytes_received += length;
            self.counts.unknown += u64::from(matches!(message, Message::Unknown(_)));
            if let Err(error) = node.receive(now, id, &message) {
                return self.refuse(now, ready.key, &error.into(), node, poller);
            }
            if let Some(link) = self.links.get_mut(&ready.key) {
                link.identified = true;
            }
        }
        match end {
            Ok(()) => {}
            Err(CloseReason::Closed | CloseReason::Broken(_)) => {
                self.handle_link_down(now, ready.key, false, node, poller)
            }
            Err(reason) => {
                let error = RelayLinkError::Unreadable(reason.to_string());
                self.refuse(now, ready.key, &error, node, poller);
            }
        }
    }

    fn accept(&mut self, now: f64, node: &mut dyn Node, poller: &mut Poller) {
        loop {
            let unidentified = self.links.iter().filter(|(_, l)| l.is_unidentified());
            let oldest = unidentified.clone().min_by(|a, b| a.1.since.total_cmp(&b.1.since));
            let oldest = oldest.map(|(key, link)| (*key, link.since));
            if unidentified.count() >= MAX_UNIDENTIFIED_LINKS {
                match oldest.filter(|(_, since)| now - since >= MIN_IDENTIFY_TIME_S) {
                    Some((key, _)) => self.refuse(now, key, &RelayLinkError::Strangers, node, poller),
                    None => return self.pause_accept(poller),
                }
            }
            if self.links.len() >= self.max_links {
                return self.pause_accept(poller);
            }
            let Some((listener, _)) = &self.listener else { return };
            let accepted = listener.accept().and_then(|(stream, _)| {
                stream.set_nonblocking(true)?;
                stream.set_nodelay(true)?;
                SockRef::from(&stream).set_send_buffer_size(SEND_BUFFER_BYTES)?;
                Ok((poller.add(&stream, false)?, stream))
            });
            match accepted {
                Ok((key, stream)) => {
                    let id = node.accept_link(now);
                    self.insert(key, Link::new(now, id, None, stream));
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                Err(error)
                    if matches!(
                        error.kind(),
                        ErrorKind::Interrupted | ErrorKind::ConnectionAborted | ErrorKind::ConnectionReset
                    ) => {}
                // Out of descriptors.
                Err(_) => return self.pause_accept(poller),
            }
        }
    }

    /// Stops accepting. Waiting connections are accepted at the next call of [`maintain`](Self::maintain).
    fn pause_accept(&mut self, poller: &Poller) {
        if let Some((listener, key)) = &self.listener {
            self.accept_paused = true;
            poller.set_interest(*key, listener, false, false);
        }
    }

    fn insert(&mut self, key: Key, link: Link) {
        self.by_id.insert(link.id, key);
        self.links.insert(key, link);
    }

    fn connected(&mut self, now: f64, key: Key, node: &mut dyn Node, poller: &Poller) {
        let Some(link) = self.links.get_mut(&key) else { return };
        let stream = link.connection.stream();
        let result = match stream.take_error() {
            Ok(None) => stream.peer_addr().map(drop),
            Ok(Some(error)) | Err(error) => Err(error),
        };
        match result {
            Err(error) if error.kind() == ErrorKind::NotConnected => {}
            Err(error) => {
                self.handle_link_down(now, key, error.kind() == ErrorKind::ConnectionRefused, node, poller)
            }
            Ok(()) => {
                (link.up, link.since) = (true, now);
                link.watch(key, poller);
                node.link_up(now, link.id);
            }
        }
    }

    // ---- The end of a link

    /// Closes a link for an error and informs the node.
    fn refuse(&mut self, now: f64, key: Key, error: &RelayLinkError, node: &mut dyn Node, poller: &Poller) {
        self.counts.refused += 1;
        self.counts.stuck += u64::from(matches!(error, RelayLinkError::Stuck));
        let link = self.links.get(&key);
        let peer = link.and_then(|l| l.connection.stream().peer_addr().ok()).map(|a| a.to_string());
        let (reason, peer) = (error.name(), peer.as_deref().unwrap_or("-"));
        log::debug!(peer, reason, error:%; "relay-link-refused");
        let rejected = matches!(error, RelayLinkError::Node(_));
        let Some(link) = self.links.get_mut(&key).filter(|l| rejected && l.up && l.closing_since.is_none())
        else {
            return self.handle_link_down(now, key, false, node, poller);
        };
        // A node may answer what it rejects: another relay learns which incarnation of it is known here.
        for _ in 0..MAX_MESSAGES_PER_ITERATION {
            let Some(message) = node.next_message(now, link.id).filter(|_| !link.connection.blocked()) else {
                break;
            };
            self.counts.sent += 1;
            if link.connection.send(&Framed(message, 0)).is_err() {
                break;
            }
        }
        let id = link.id;
        node.link_down(now, id, false);
        self.close(now, id, poller);
    }

    /// Removes a link that is down and informs the node.
    fn handle_link_down(&mut self, now: f64, key: Key, refused: bool, node: &mut dyn Node, poller: &Poller) {
        let active = self.links.get(&key).filter(|link| link.closing_since.is_none()).map(|link| link.id);
        self.drop_link(key, poller);
        if let Some(id) = active {
            node.link_down(now, id, refused);
        }
    }

    fn drop_link(&mut self, key: Key, poller: &Poller) {
        if let Some(link) = self.links.remove(&key) {
            poller.remove(link.connection.stream());
            if self.by_id.get(&link.id) == Some(&key) {
                self.by_id.remove(&link.id);
            }
        }
    }

    /// Closes a link that the node no longer uses. The socket is closed once everything is written and the peer has closed its
    /// end too. Closing it earlier, with unread input, could lose the last message.
    fn close(&mut self, now: f64, id: LinkId, poller: &Poller) {
        let Some(key) = self.by_id.remove(&id) else { return };
        let Some(link) = self.links.get_mut(&key) else { return };
        match link.up {
            false => self.drop_link(key, poller),
            true => {
                link.closing_since = Some(now);
                self.shutdown_write(key);
            }
        }
    }

    /// Shuts down the sending direction once everything is written.
    fn shutdown_write(&mut self, key: Key) {
        if let Some(link) = self.links.get(&key).filter(|link| !link.connection.blocked()) {
            // If the peer has closed the link already, the next read shows it.
            let _ = link.connection.stream().shutdown(std::net::Shutdown::Write);
        }
    }

    // ---- The steps of an iteration of the event loop

    /// Closes links that have timed out and resumes accepting. Called periodically.
    pub fn maintain(&mut self, now: f64, node: &mut dyn Node, poller: &mut Poller) {
        let keys: Vec<Key> = self.links.keys().copied().collect();
        for key in keys {
            let Some(link) = self.links.get_mut(&key) else { continue };
            link.record_progress(now);
            let error = match () {
                () if link.closing_since.is_some_and(|since| now - since >= CLOSE_TIMEOUT_S) => {
                    self.drop_link(key, poller);
                    continue;
                }
                () if link.closing_since.is_some() => continue,
                () if !link.up && now - link.since >= HANDSHAKE_TIMEOUT_S => RelayLinkError::NotUp,
                () if link.is_unidentified() && now - link.since >= HANDSHAKE_TIMEOUT_S => {
                    RelayLinkError::NoHello
                }
                () if now - link.written.1 >= STUCK_TIMEOUT_S => RelayLinkError::Stuck,
                () => continue,
            };
            self.refuse(now, key, &error, node, poller);
        }
        if std::mem::take(&mut self.accept_paused) {
            if let Some((listener, key)) = &self.listener {
                poller.set_interest(*key, listener, true, false);
            }
            self.accept(now, node, poller);
        }
    }

    /// Makes links, sends messages and closes links as the node requests. Called at the end of an iteration.
    pub fn apply_node_actions(&mut self, now: f64, node: &mut dyn Node, poller: &mut Poller) {
        for (id, to) in node.links_to_open(now) {
            let dialed = match self.addresses.get(&to) {
                Some(address) => connect_nonblocking(*address),
                None => Err(ErrorKind::AddrNotAvailable.into()),
            };
            let attempt = dialed.and_then(|stream| {
                SockRef::from(&stream).set_send_buffer_size(SEND_BUFFER_BYTES)?;
                Ok((poller.add(&stream, true)?, stream))
            });
            match attempt {
                Ok((key, stream)) => self.insert(key, Link::new(now, id, Some(to), stream)),
                // Refused, out of descriptors, or no route.
                Err(error) => {
                    log::debug!(error:%; "relay-link-failed");
                    node.link_down(now, id, error.kind() == ErrorKind::ConnectionRefused);
                }
            }
        }
        let mut broken = Vec::new();
        for id in node.links_to_serve(now) {
            let Some(&key) = self.by_id.get(&id) else { continue };
            let Some(link) = self.links.get_mut(&key).filter(|l| l.up && l.closing_since.is_none()) else {
                continue;
            };
            for sent_count in 0.. {
                if link.connection.blocked() {
                    break;
                }
                if sent_count == MAX_MESSAGES_PER_ITERATION {
                    // Continues in the next iteration.
                    node.link_writable(now, id);
                    break;
                }
                let Some(message) = node.next_message(now, id) else { break };
                let before = link.connection.queued();
                let sent = link.connection.send(&Framed(message, 0));
                self.counts.sent += 1;
                self.counts.bytes_sent += link.connection.queued() - before;
                if sent.is_err() {
                    broken.push(key);
                    break;
                }
            }
            link.record_progress(now);
            link.watch(key, poller);
        }
        broken.into_iter().for_each(|key| self.handle_link_down(now, key, false, node, poller));
        for id in node.links_to_close() {
            self.close(now, id, poller);
        }
    }
}

impl Link {
    fn new(now: f64, id: LinkId, to: Option<MemberId>, stream: TcpStream) -> Link {
        let dialed = to.is_some();
        Link {
            id,
            to,
            connection: Connection::new(stream, MAX_QUEUED_BYTES),
            up: !dialed,
            identified: false,
            since: now,
            written: (0, now),
            watching_writable: dialed,
            closing_since: None,
        }
    }

    /// Whether the link was accepted and no valid message has come on it yet.
    fn is_unidentified(&self) -> bool {
        self.to.is_none() && !self.identified && self.closing_since.is_none()
    }

    /// Records when something was last written or nothing was queued.
    fn record_progress(&mut self, now: f64) {
        let written = self.connection.written();
        if written != self.written.0 || !self.connection.blocked() {
            self.written = (written, now);
        }
    }

    fn watch(&mut self, key: Key, poller: &Poller) {
        let watching_writable = !self.up || self.connection.blocked();
        if watching_writable != self.watching_writable {
            self.watching_writable = watching_writable;
            poller.set_interest(key, self.connection.stream(), true, watching_writable);
        }
    }
}

#[cfg(test)]
mod tests;
