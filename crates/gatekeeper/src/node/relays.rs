//! The links between leaves and relays: the sockets of a [`Node`], for both roles alike.
//!
//! The node says to whom links are to be made, what is said on each and which to close; this module makes, takes, reads,
//! writes and closes them. A relay listens at the address of its `relay` line, for leaves and for other relays; a leaf
//! listens nowhere. Nothing is queued for a link: a message is made when its link has room, so one that is not read holds
//! one message here and what the system's buffer takes, which is bounded too, and costs no other link anything.
//!
//! The address belongs on a private network: whoever reaches it may say that they are a leaf.

use std::collections::BTreeMap;
use std::error::Error;
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, TcpListener, TcpStream};

use hollypaddle_membership::MemberId;
use hollypaddle_platform::connection::{Connection, Frame, Over};
use hollypaddle_relay::message::{self, Message};
use hollypaddle_relay::{LinkError, LinkId, Node};
use socket2::SockRef;

use super::listen::bind;
use super::poller::{Key, Poller, Ready};
use super::servers::connect_nonblocking;

/// Bytes of a message that may wait for a link to take them.
const MAX_QUEUED_BYTES: usize = 2 * message::MAX_FRAME_BYTES;
/// Bytes that the system keeps for a link that does not read, about: it doubles the figure for its own needs.
const SEND_BUFFER_BYTES: usize = 32 * 1024;
/// A link that takes none of what waits for so long is closed, in seconds.
const STUCK_TIMEOUT_S: f64 = 3.0;
/// A link that is not up, or on which nobody says who they are, for so long is closed, in seconds.
const HANDSHAKE_TIMEOUT_S: f64 = 1.0;
/// What is said on a link that is to be closed has so long to be written and read, in seconds.
const CLOSE_TIMEOUT_S: f64 = 0.5;
/// Links that wait to be taken.
const LISTEN_BACKLOG: i32 = 512;
/// Links on which nobody has said yet who they are, at most. The oldest makes room once it has had this time; until then
/// further ones wait: after a relay's end many leaves come at once, and what they say is on its way.
const MAX_UNIDENTIFIED_LINKS: usize = 64;
const MIN_IDENTIFY_TIME_S: f64 = 0.2;
/// Messages said on one link in a turn at most.
const MAX_MESSAGES_PER_ITERATION: usize = 32;
/// Links that a leaf has at once: its own relay, its second choice, one to come and one to go.
const MAX_LEAF_LINKS: usize = 4;

/// Descriptors that the links of a relay may take: each leaf is attached to one relay and keeps a link to a second.
pub fn max_links(leaves: usize, relays: usize) -> usize {
    2 * leaves + relays + MAX_UNIDENTIFIED_LINKS + 1
}

/// The same, of a leaf.
pub fn max_leaf_links() -> usize {
    MAX_LEAF_LINKS
}

/// Why a link between a leaf and a relay, or two relays, is closed. It is made anew by itself.
#[derive(Debug, thiserror::Error)]
pub enum RelayLinkError {
    /// What came on it.
    #[error(transparent)]
    Node(#[from] LinkError),
    /// Bytes that are no messages.
    #[error("{0}: a stranger, or another version of the program; see who connects to the relay's address")]
    Unreadable(String),
    /// Nobody said who they are.
    #[error("nobody said who they are within {HANDSHAKE_TIMEOUT_S} s: a stranger, or a machine that pauses; see who connects there")]
    NoHello,
    /// It does not come up.
    #[error("not up within {HANDSHAKE_TIMEOUT_S} s: see whether the relay's machine runs and its address can be reached from here")]
    NotUp,
    /// The peer takes nothing.
    #[error("nothing was taken for {STUCK_TIMEOUT_S} s of what waits: the peer is paused or overloaded, or the way is cut; see its machine")]
    Stuck,
    /// So many strangers that this one had to make room.
    #[error(
        "{MAX_UNIDENTIFIED_LINKS} links on which nobody says who they are: see who connects to the relay's address"
    )]
    Strangers,
}

impl RelayLinkError {
    /// In a word, for the log and the page for on-call staff.
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

/// A message in its frame, with the bytes that it took where it was read.
struct Framed(Message, u64);

impl Frame for Framed {
    fn encode(&self, out: &mut Vec<u8>) {
        self.0.encode(out);
    }

    fn decode(data: &[u8]) -> Result<Option<(Self, usize)>, Box<dyn Error + Send + Sync>> {
        Ok(Message::decode(data)?.map(|(message, length)| (Framed(message, length as u64), length)))
    }
}

/// What happened on the links since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct Counts {
    /// Links that were closed for what came on them, or for what did not.
    pub refused: u64,
    /// Messages said.
    #[serde(rename = "said")]
    pub sent: u64,
    /// Messages heard.
    #[serde(rename = "heard")]
    pub received: u64,
    /// Messages heard of a kind that is not known here.
    pub unknown: u64,
    /// Bytes said.
    #[serde(rename = "bytes")]
    pub bytes_sent: u64,
    /// Bytes heard.
    #[serde(rename = "bytes_heard")]
    pub bytes_received: u64,
    /// Links that took nothing for too long.
    pub stuck: u64,
}

struct Link {
    id: LinkId,
    /// To whom it was made; none of one that was taken.
    to: Option<MemberId>,
    connection: Connection<TcpStream, Framed>,
    up: bool,
    /// A message was taken on it.
    identified: bool,
    since: f64,
    /// Bytes that were written, and when that last changed or nothing waited.
    written: (u64, f64),
    writing: bool,
    /// The node has no more to do with it, since then.
    closing_since: Option<f64>,
}

/// All links of a node.
pub struct Links {
    listener: Option<(TcpListener, Key)>,
    address: Option<SocketAddr>,
    accept_paused: bool,
    /// Links at once, at most.
    max_links: usize,
    addresses: BTreeMap<MemberId, SocketAddr>,
    links: BTreeMap<Key, Link>,
    by_id: BTreeMap<LinkId, Key>,
    /// What happened.
    pub counts: Counts,
}

impl Links {
    /// Opens the listener, where there is one, for so many links at once.
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

    /// Where it listens.
    pub fn address(&self) -> Option<SocketAddr> {
        self.address
    }

    /// Takes the addresses of the relays, and how many links there may be. Links to one that has moved are closed.
    pub fn reconfigure(
        &mut self,
        now: f64,
        max_links: usize,
        addresses: BTreeMap<MemberId, SocketAddr>,
        node: &mut dyn Node,
        poller: &Poller,
    ) {
        self.max_links = max_links;
        let moved = |link: &Link| link.to.is_some_and(|to| self.addresses.get(&to) != addresses.get(&to));
        let keys: Vec<Key> = self.links.iter().filter(|(_, l)| moved(l)).map(|(key, _)| *key).collect();
        self.addresses = addresses;
        keys.into_iter().for_each(|key| self.handle_link_down(now, key, false, node, poller));
    }

    /// How many links there are.
    pub fn len(&self) -> usize {
        self.links.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.links.is_empty()
    }

    /// Says the same on every link that is up and takes something now.
    pub fn send_to_all(&mut self, message: &Message) {
        for link in self.links.values_mut().filter(|l| l.up && l.closing_since.is_none()) {
            if !link.connection.blocked() {
                // A link that is broken is found so by whoever has its other end.
                let _ = link.connection.send(&Framed(message.clone(), 0));
            }
        }
    }

    /// Closes all sockets, with what can be written of what was said.
    pub fn close_all(mut self, poller: &Poller) {
        if let Some((listener, _)) = self.listener.take() {
            poller.remove(&listener);
        }
        for link in self.links.values_mut() {
            // Where it takes no more now, the peer finds its link closed.
            let _ = link.connection.flush();
            poller.remove(link.connection.stream());
        }
    }

    // ---- What happens on the sockets

    /// Whether what is watched under a key is a link's or the listener.
    pub fn owns(&self, key: Key) -> bool {
        self.links.contains_key(&key) || self.listener.as_ref().is_some_and(|(_, own)| *own == key)
    }

    /// Takes what is ready, if it is a link's or the listener; returns whether it is.
    pub fn handle_ready(&mut self, now: f64, ready: Ready, node: &mut dyn Node, poller: &mut Poller) -> bool {
        if self.listener.as_ref().is_some_and(|(_, key)| *key == ready.key) {
            self.accept(now, node, poller);
            return true;
        }
        let Some(link) = self.links.get_mut(&ready.key) else { return false };
        if link.closing_since.is_some() {
            // The peer's end comes, or an error; what it still says is nobody's business.
            if link.connection.flush().is_err() || link.connection.pass_over().is_err() {
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
            let waited = link.connection.blocked();
            if link.connection.flush().is_err() {
                return self.handle_link_down(now, ready.key, false, node, poller);
            }
            link.record_progress(now);
            if waited && !link.connection.blocked() {
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
            Err(Over::Closed | Over::Broken(_)) => self.handle_link_down(now, ready.key, false, node, poller),
            Err(reason) => {
                let error = RelayLinkError::Unreadable(reason.to_string());
                self.refuse(now, ready.key, &error, node, poller);
            }
        }
    }

    fn accept(&mut self, now: f64, node: &mut dyn Node, poller: &mut Poller) {
        loop {
            let strangers = self.links.iter().filter(|(_, l)| l.is_unidentified());
            let oldest = strangers.clone().min_by(|a, b| a.1.since.total_cmp(&b.1.since));
            let oldest = oldest.map(|(key, link)| (*key, link.since));
            if strangers.count() >= MAX_UNIDENTIFIED_LINKS {
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
                // Descriptors are short.
                Err(_) => return self.pause_accept(poller),
            }
        }
    }

    /// Those who wait are taken at the next beat.
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

    /// Closes a link for what came on it or did not, and tells its node.
    fn refuse(&mut self, now: f64, key: Key, error: &RelayLinkError, node: &mut dyn Node, poller: &Poller) {
        self.counts.refused += 1;
        self.counts.stuck += u64::from(matches!(error, RelayLinkError::Stuck));
        let link = self.links.get(&key);
        let peer = link.and_then(|l| l.connection.stream().peer_addr().ok()).map(|a| a.to_string());
        let (reason, peer) = (error.name(), peer.as_deref().unwrap_or("-"));
        log::debug!(peer, reason, error:%; "relay-link-refused");
        let taken = matches!(error, RelayLinkError::Node(_));
        let Some(link) = self.links.get_mut(&key).filter(|l| taken && l.up && l.closing_since.is_none())
        else {
            return self.handle_link_down(now, key, false, node, poller);
        };
        // A node may answer what it refuses: another relay hears which life of it is known here.
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

    /// A link is down.
    fn handle_link_down(&mut self, now: f64, key: Key, refused: bool, node: &mut dyn Node, poller: &Poller) {
        let live = self.links.get(&key).filter(|link| link.closing_since.is_none()).map(|link| link.id);
        self.drop_link(key, poller);
        if let Some(id) = live {
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

    /// The node wants no more of a link: it is closed once what was said on it is written and the peer has closed it too,
    /// so that the last message is not lost with what was not read here.
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

    /// Says that nothing more comes, once all is written.
    fn shutdown_write(&mut self, key: Key) {
        if let Some(link) = self.links.get(&key).filter(|link| !link.connection.blocked()) {
            // One that the peer has closed already is found so when it is read.
            let _ = link.connection.stream().shutdown(std::net::Shutdown::Write);
        }
    }

    // ---- The two places of a turn

    /// Looks after links that come to nothing. Called now and then.
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

    /// Closes, makes and says what the node wants. Called at the end of a turn.
    pub fn apply_node_actions(&mut self, now: f64, node: &mut dyn Node, poller: &mut Poller) {
        for (id, to) in node.links_to_open(now) {
            let dialed = match self.addresses.get(&to) {
                Some(address) => connect_nonblocking(*address),
                None => Err(ErrorKind::AddrNotAvailable.into()),
            };
            let made = dialed.and_then(|stream| {
                SockRef::from(&stream).set_send_buffer_size(SEND_BUFFER_BYTES)?;
                Ok((poller.add(&stream, true)?, stream))
            });
            match made {
                Ok((key, stream)) => self.insert(key, Link::new(now, id, Some(to), stream)),
                // Where it is not a refusal it is a want of descriptors, or a way that is not there.
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
            for said in 0.. {
                if link.connection.blocked() {
                    break;
                }
                if said == MAX_MESSAGES_PER_ITERATION {
                    // It goes on with the next turn.
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
            writing: dialed,
            closing_since: None,
        }
    }

    /// Whether it was taken and nobody has said on it yet who they are.
    fn is_unidentified(&self) -> bool {
        self.to.is_none() && !self.identified && self.closing_since.is_none()
    }

    /// Notes when something was last written, or nothing waited.
    fn record_progress(&mut self, now: f64) {
        let written = self.connection.written();
        if written != self.written.0 || !self.connection.blocked() {
            self.written = (written, now);
        }
    }

    fn watch(&mut self, key: Key, poller: &Poller) {
        let writing = !self.up || self.connection.blocked();
        if writing != self.writing {
            self.writing = writing;
            poller.set_interest(key, self.connection.stream(), true, writing);
        }
    }
}

#[cfg(test)]
mod tests;
