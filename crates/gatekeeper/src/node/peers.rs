//! The links to other gatekeepers: one TCP connection for each pair, made by the member with the lower id. The other member
//! dials too if no link has come for a while, since a refused connection shows that a process has ended.
//!
//! A frame is a length of four bytes, big-endian, followed by a message encoded with postcard. The first message on a link is
//! a hello with the protocol version, both members' ids and the incarnation. Input that can't be decoded closes its link, is
//! counted, and affects nothing else. Nothing is queued for a peer: a message is created when its link has room.
//!
//! The address must be on a private network: whoever reaches it can claim to be a member.

use std::collections::BTreeMap;
use std::error::Error;
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, TcpListener, TcpStream};

use hollypaddle_membership::MemberId;
use hollypaddle_platform::connection::{CloseReason, Connection, Frame};
use hollypaddle_replica::member::Rejection;
use hollypaddle_replica::record::KINDS;
use hollypaddle_replica::{Member, Message};
use postcard::ser_flavors::Size;

use super::listen::bind;
use super::poller::{Key, Poller, Ready};
use super::servers::connect_nonblocking;

/// Longest frame, including its length prefix. The longest message is a piece of a stream, of some 15 KiB.
const MAX_FRAME_BYTES: usize = 64 * 1024;
/// Size of the length prefix.
const LENGTH_PREFIX_BYTES: usize = 4;
/// Unsent bytes on a link beyond which the peer is considered stuck.
const MAX_QUEUED_BYTES: usize = 2 * MAX_FRAME_BYTES;
/// Time after which a link that is not established, or on which no hello has come, is closed.
const HANDSHAKE_TIMEOUT_S: f64 = 1.0;
/// First delay between attempts to make a link. It also applies to refused connections, so that the end of a process is known
/// soon.
const MIN_REDIAL_DELAY_S: f64 = 0.1;
/// Longest delay between attempts to make a link.
const MAX_REDIAL_DELAY_S: f64 = 1.0;
/// How long the member with the higher id waits for the other to make the link.
const PASSIVE_DIAL_DELAY_S: f64 = 0.2;
/// Silence after which a link is replaced by a new one, whichever member made it.
const STALE_LINK_S: f64 = 0.5;
/// Connections that may wait to be accepted.
const LISTEN_BACKLOG: i32 = 128;
/// Accepted links on which no hello has come yet. The oldest is closed to make room.
const MAX_UNIDENTIFIED_LINKS: usize = 16;
/// Messages sent on one link in one iteration of the event loop.
const MAX_MESSAGES_PER_ITERATION: usize = 32;

/// A message in its frame.
struct Framed(Message);

/// The error for a frame that exceeds the limit.
#[derive(Debug, thiserror::Error)]
#[error("a frame of {0} bytes, at most {MAX_FRAME_BYTES} are allowed")]
struct TooLong(usize);

/// Why a link to another gatekeeper is closed after input on it. It is made again automatically. Until then nothing is received
/// from that member, and it is suspected.
#[derive(Debug, thiserror::Error)]
pub enum LinkError {
    /// Both members made a link at the same time, and the other link is kept.
    #[error("a second link between the same members: the other one is used; no action is needed")]
    SecondLink,
    /// Another member than the expected one answers at the address.
    #[error(
        "another member answers at that address: two members' addresses are mixed up in the block `fleet`; compare the \
         files"
    )]
    AnotherMember,
    /// Input that is not a valid message.
    #[error(
        "{0}: not a member, or another version of the program; check who connects to the links' address"
    )]
    Unreadable(String),
    /// The content of a message was rejected.
    #[error(transparent)]
    Rejected(#[from] Rejection),
}

impl LinkError {
    /// Returns the label used in the log and on the page for on-call staff.
    pub fn name(&self) -> &'static str {
        match self {
            LinkError::SecondLink => "second-link",
            LinkError::AnotherMember => "another-member",
            LinkError::Unreadable(_) => "unreadable",
            LinkError::Rejected(rejection) => rejection.name(),
        }
    }
}

impl Frame for Framed {
    fn encode(&self, out: &mut Vec<u8>) {
        // Every message can be encoded; one that could not would be left out.
        let Ok(bytes) = postcard::to_allocvec(&self.0) else { return };
        if bytes.len() + LENGTH_PREFIX_BYTES > MAX_FRAME_BYTES {
            return log::error!(bytes = bytes.len(); "fleet-word-too-long");
        }
        out.extend((bytes.len() as u32).to_be_bytes());
        out.extend(bytes);
    }

    fn decode(data: &[u8]) -> Result<Option<(Self, usize)>, Box<dyn Error + Send + Sync>> {
        let Some(length) = data.first_chunk::<LENGTH_PREFIX_BYTES>() else { return Ok(None) };
        let total = LENGTH_PREFIX_BYTES.saturating_add(u32::from_be_bytes(*length) as usize);
        if total > MAX_FRAME_BYTES {
            return Err(Box::new(TooLong(total)));
        }
        let Some(body) = data.get(LENGTH_PREFIX_BYTES..total) else { return Ok(None) };
        Ok(Some((Framed(postcard::from_bytes(body)?), total)))
    }
}

/// Returns how many descriptors the links to this many members may use, including the listener and unidentified links.
pub fn max_links(members: usize) -> usize {
    members + MAX_UNIDENTIFIED_LINKS + 1
}

struct Link {
    connection: Connection<TcpStream, Framed>,
    /// The member that was dialed, or that sent a hello.
    member: Option<MemberId>,
    dialed: bool,
    up: bool,
    identified: bool,
    since: f64,
    last_received_at: f64,
    watching_writable: bool,
}

/// A configured member, and when to dial it.
#[derive(Clone, Debug)]
struct PeerConfig {
    name: String,
    address: SocketAddr,
    next_dial_at: f64,
    redial_delay: f64,
}

/// Counters of all links since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct Counts {
    /// Links that were closed after invalid or rejected input.
    pub refused: u64,
    /// Messages sent.
    #[serde(rename = "said")]
    pub sent: u64,
    /// Messages received.
    #[serde(rename = "heard")]
    pub received: u64,
    /// Bytes sent.
    #[serde(rename = "bytes")]
    pub bytes_sent: u64,
    /// Bytes sent, by kind of content.
    #[serde(rename = "split")]
    pub by_kind: BytesByKind,
}

/// Bytes sent, by kind of content. A message's frame and its remaining bytes count with the message. The sum is all bytes sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct BytesByKind {
    /// Hello and leave messages.
    pub greetings: u64,
    /// Heartbeats without their observations.
    #[serde(rename = "beats")]
    pub heartbeats: u64,
    /// Observations of other members in heartbeats.
    #[serde(rename = "sights")]
    pub observations: u64,
    /// Digests.
    pub digests: u64,
    /// Requests for missing parts of streams.
    #[serde(rename = "asks")]
    pub requests: u64,
    /// Pieces of streams without their records.
    pub pieces: u64,
    /// Records in pieces, by kind in the order of [`KINDS`]. Reports add them by the name of the kind.
    #[serde(skip)]
    pub records: [u64; KINDS.len()],
}

impl BytesByKind {
    /// Counts a message that took this many bytes, including its frame.
    pub fn count(&mut self, message: &Message, bytes: u64) {
        let counter = match message {
            Message::Hello { .. } | Message::Leave => &mut self.greetings,
            Message::Heartbeat(heartbeat) => {
                let observations: u64 = heartbeat.observations.iter().map(encoded_size).sum();
                self.observations += observations;
                self.heartbeats += bytes.saturating_sub(observations);
                return;
            }
            Message::Digest(..) => &mut self.digests,
            Message::Request(_) => &mut self.requests,
            Message::Chunk(piece) => {
                let mut records = 0;
                for record in &piece.records {
                    let bytes = encoded_size(record);
                    records += bytes;
                    if let Some(count) = self.records.get_mut(record.key.kind()) {
                        *count += bytes;
                    }
                }
                self.pieces += bytes.saturating_sub(records);
                return;
            }
        };
        *counter += bytes;
    }
}

/// Returns the encoded size of a part of a message.
fn encoded_size<T: serde::Serialize>(part: &T) -> u64 {
    // Every part of a message can be encoded.
    postcard::serialize_with_flavor(part, Size::default()).map_or(0, |bytes| bytes as u64)
}

/// The links to all other members.
pub struct Peers {
    own: MemberId,
    listener: Option<(TcpListener, Key)>,
    address: SocketAddr,
    accept_paused: bool,
    members: BTreeMap<MemberId, PeerConfig>,
    links: BTreeMap<Key, Link>,
    /// The link of each member that has sent a hello.
    by_member: BTreeMap<MemberId, Key>,
    /// Counters of all links.
    pub counts: Counts,
}

impl Peers {
    /// Opens the listener.
    pub fn listen(own: MemberId, address: SocketAddr, poller: &mut Poller) -> io::Result<Peers> {
        let listener = bind(address, LISTEN_BACKLOG)?;
        let address = listener.local_addr()?;
        let key = poller.add(&listener, false)?;
        Ok(Peers {
            own,
            listener: Some((listener, key)),
            address,
            accept_paused: false,
            members: BTreeMap::new(),
            links: BTreeMap::new(),
            by_member: BTreeMap::new(),
            counts: Counts::default(),
        })
    }

    /// Returns the address of the listener.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Applies the members of a configuration; closes links to members that were removed or have another address.
    pub fn set_members(
        &mut self,
        now: f64,
        all: impl Iterator<Item = (MemberId, String, SocketAddr)>,
        member: &mut Member,
        poller: &Poller,
    ) {
        let others = all.filter(|(id, ..)| *id != self.own);
        let old = std::mem::take(&mut self.members);
        for (id, name, address) in others {
            let (next_dial_at, redial_delay) =
                old.get(&id).map_or((now, MIN_REDIAL_DELAY_S), |n| (n.next_dial_at, n.redial_delay));
            self.members.insert(id, PeerConfig { name, address, next_dial_at, redial_delay });
        }
        let address_changed = |id: &MemberId| {
            let address = |all: &BTreeMap<MemberId, PeerConfig>| all.get(id).map(|n| n.address);
            address(&old) != address(&self.members)
        };
        let obsolete: Vec<Key> = (self.links.iter())
            .filter(|(_, link)| link.member.is_some_and(|m| address_changed(&m) && old.contains_key(&m)))
            .map(|(key, _)| *key)
            .collect();
        obsolete.into_iter().for_each(|key| self.drop_link(now, key, member, poller));
    }

    /// Returns a member's name, or its id if it is not configured.
    pub fn name(&self, member: MemberId) -> String {
        self.members.get(&member).map_or_else(|| format!("{:016x}", member.0), |n| n.name.clone())
    }

    /// Stops accepting and dialing, and closes all links.
    pub fn close_all(&mut self, now: f64, member: &mut Member, poller: &Poller) {
        if let Some((listener, _)) = self.listener.take() {
            poller.remove(&listener);
        }
        let keys: Vec<Key> = self.links.keys().copied().collect();
        keys.into_iter().for_each(|key| self.drop_link(now, key, member, poller));
        self.members.values_mut().for_each(|n| n.next_dial_at = f64::INFINITY);
    }

    /// Announces to all members that this one leaves.
    pub fn send_leave(&mut self, poller: &Poller) {
        for (key, link) in self.links.iter_mut().filter(|(_, link)| link.identified) {
            link.send_message(*key, Message::Leave, poller, &mut self.counts);
        }
    }

    // ---- Socket events

    /// Handles a socket that is ready, if it belongs to a link or is the listener.
    pub fn handle_ready(&mut self, now: f64, ready: Ready, member: &mut Member, poller: &mut Poller) {
        if self.listener.as_ref().is_some_and(|(_, key)| *key == ready.key) {
            return self.accept(now, poller, member);
        }
        let Some(link) = self.links.get_mut(&ready.key) else { return };
        if !link.up {
            return self.connected(now, ready.key, member, poller);
        }
        if ready.writable && link.connection.flush().is_err() {
            return self.drop_link(now, ready.key, member, poller);
        }
        link.watch(ready.key, poller);
        if !ready.readable {
            return;
        }
        let mut messages = Vec::new();
        let end = link.connection.read(&mut messages);
        if !messages.is_empty() {
            link.last_received_at = now;
        }
        for Framed(message) in messages {
            if !self.links.contains_key(&ready.key) {
                return;
            }
            self.counts.received += 1;
            if let Err(reason) = self.handle_message(now, ready.key, &message, member, poller) {
                return self.refuse(now, ready.key, &reason, member, poller);
            }
        }
        match end {
            Ok(()) => {}
            Err(CloseReason::Closed | CloseReason::Broken(_)) => {
                self.drop_link(now, ready.key, member, poller)
            }
            Err(reason) => {
                let error = LinkError::Unreadable(reason.to_string());
                self.refuse(now, ready.key, &error, member, poller)
            }
        }
    }

    fn handle_message(
        &mut self,
        now: f64,
        key: Key,
        message: &Message,
        member: &mut Member,
        poller: &Poller,
    ) -> Result<(), LinkError> {
        let Some(link) = self.links.get_mut(&key) else { return Ok(()) };
        if let (true, Some(from)) = (link.identified, link.member) {
            return Ok(member.receive(now, from, message)?);
        }
        // Both members may have made a link at the same time: both keep the one made by the lower id.
        if let Message::Hello { from, .. } = message {
            let existing = self.by_member.get(from).and_then(|key| self.links.get(key));
            let made_by_lower_id = |dialed: bool| dialed == (self.own < *from);
            let keeps =
                |old: &Link| made_by_lower_id(old.dialed) && now - old.last_received_at < STALE_LINK_S;
            let made_here = self.links.get(&key).is_some_and(|l| l.dialed);
            if !made_by_lower_id(made_here) && existing.is_some_and(keeps) {
                return Err(LinkError::SecondLink);
            }
        }
        let Some(link) = self.links.get_mut(&key) else { return Ok(()) };
        let sender = member.receive_hello(now, message);
        // The member that makes the link sends its hello first. It is answered even if it is rejected, so that it learns which
        // incarnation of it is known here.
        if let (false, Message::Hello { from, .. }) = (link.dialed, message) {
            if self.members.contains_key(from) {
                link.send_message(key, member.hello(now, *from), poller, &mut self.counts);
            }
        }
        let from = sender?;
        if link.member.is_some_and(|to| to != from) {
            return Err(LinkError::AnotherMember);
        }
        (link.member, link.identified) = (Some(from), true);
        if let Some(peer) = self.members.get_mut(&from) {
            peer.redial_delay = MIN_REDIAL_DELAY_S;
        }
        // The end of an earlier link was not noticed.
        if let Some(old) = self.by_member.insert(from, key).filter(|old| *old != key) {
            if let Some(link) = self.links.remove(&old) {
                poller.remove(link.connection.stream());
            }
        }
        Ok(())
    }

    /// Closes a link after invalid or rejected input.
    fn refuse(&mut self, now: f64, key: Key, error: &LinkError, member: &mut Member, poller: &Poller) {
        self.counts.refused += 1;
        let name = self.links.get(&key).and_then(|l| l.member).map(|m| self.name(m));
        let reason = error.name();
        log::debug!(member = name.as_deref().unwrap_or("-"), reason, error:%; "fleet-link-refused");
        self.drop_link(now, key, member, poller);
    }

    fn drop_link(&mut self, now: f64, key: Key, member: &mut Member, poller: &Poller) {
        let Some(link) = self.links.remove(&key) else { return };
        poller.remove(link.connection.stream());
        let Some(of) = link.member else { return };
        if self.by_member.get(&of) == Some(&key) {
            self.by_member.remove(&of);
            member.link_down(of);
        }
        if let Some(peer) = self.members.get_mut(&of) {
            peer.next_dial_at = now + peer.redial_delay;
        }
    }

    fn accept(&mut self, now: f64, poller: &mut Poller, member: &mut Member) {
        loop {
            let unidentified = self.links.iter().filter(|(_, l)| !l.identified && !l.dialed);
            let oldest =
                unidentified.clone().min_by(|a, b| a.1.since.total_cmp(&b.1.since)).map(|(key, _)| *key);
            if let Some(oldest) = oldest.filter(|_| unidentified.count() >= MAX_UNIDENTIFIED_LINKS) {
                self.counts.refused += 1;
                self.drop_link(now, oldest, member, poller);
            }
            let Some((listener, listener_key)) = &self.listener else { return };
            let accepted = listener.accept().and_then(|(stream, _)| {
                stream.set_nonblocking(true)?;
                stream.set_nodelay(true)?;
                Ok((poller.add(&stream, false)?, stream))
            });
            match accepted {
                Ok((key, stream)) => drop(self.links.insert(key, Link::new(now, stream, None))),
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                Err(error)
                    if matches!(
                        error.kind(),
                        ErrorKind::Interrupted | ErrorKind::ConnectionAborted | ErrorKind::ConnectionReset
                    ) => {}
                // Out of descriptors: waiting connections are accepted at the next call of `maintain`.
                Err(_) => {
                    self.accept_paused = true;
                    return poller.set_interest(*listener_key, listener, false, false);
                }
            }
        }
    }

    fn connected(&mut self, now: f64, key: Key, member: &mut Member, poller: &Poller) {
        let Some(link) = self.links.get_mut(&key) else { return };
        let stream = link.connection.stream();
        let result = match stream.take_error() {
            Ok(None) => stream.peer_addr().map(drop),
            Ok(Some(error)) | Err(error) => Err(error),
        };
        match result {
            Err(error) if error.kind() == ErrorKind::NotConnected => {}
            Err(error) => self.failed(now, key, &error, member, poller),
            Ok(()) => {
                let Some(to) = link.member else { return };
                (link.up, link.since) = (true, now);
                link.send_message(key, member.hello(now, to), poller, &mut self.counts);
            }
        }
    }

    fn failed(&mut self, now: f64, key: Key, error: &io::Error, member: &mut Member, poller: &Poller) {
        let Some(of) = self.links.get(&key).and_then(|link| link.member) else { return };
        let refused = error.kind() == ErrorKind::ConnectionRefused;
        if refused {
            member.link_refused(now, of);
        }
        if let Some(peer) = self.members.get_mut(&of) {
            peer.redial_delay =
                if refused { MIN_REDIAL_DELAY_S } else { (peer.redial_delay * 2.0).min(MAX_REDIAL_DELAY_S) };
        }
        self.drop_link(now, key, member, poller);
    }

    /// Dials members without a link and closes links whose handshake timed out. Called periodically.
    pub fn maintain(&mut self, now: f64, member: &mut Member, poller: &mut Poller) {
        if let (true, Some((listener, key))) = (self.accept_paused, &self.listener) {
            self.accept_paused = false;
            poller.set_interest(*key, listener, true, false);
        }
        let timed_out = |l: &Link| !l.identified && now - l.since >= HANDSHAKE_TIMEOUT_S;
        let timed_out: Vec<Key> =
            self.links.iter().filter(|(_, l)| timed_out(l)).map(|(key, _)| *key).collect();
        for key in timed_out {
            self.failed(now, key, &ErrorKind::TimedOut.into(), member, poller);
            self.drop_link(now, key, member, poller);
        }
        if member.view().superseded() || self.listener.is_none() {
            return;
        }
        let own = self.own;
        let linked: Vec<MemberId> = self.links.values().filter_map(|l| l.member).collect();
        let due: Vec<(MemberId, SocketAddr)> = (self.members.iter())
            .filter(|(id, n)| {
                let wait = if own < **id { 0.0 } else { PASSIVE_DIAL_DELAY_S };
                now >= n.next_dial_at + wait && !linked.contains(id)
            })
            .map(|(id, n)| (*id, n.address))
            .collect();
        for (id, address) in due {
            if let Some(peer) = self.members.get_mut(&id) {
                peer.next_dial_at = now + peer.redial_delay;
            }
            match connect_nonblocking(address).and_then(|stream| Ok((poller.add(&stream, true)?, stream))) {
                Ok((key, stream)) => drop(self.links.insert(key, Link::new(now, stream, Some(id)))),
                Err(error) if error.kind() == ErrorKind::ConnectionRefused => member.link_refused(now, id),
                // Out of descriptors, or no route: this says nothing about the member.
                Err(error) => log::debug!(member = self.name(id).as_str(), error:%; "fleet-link-failed"),
            }
        }
    }

    /// Sends what is due on every link that has room.
    pub fn send_due(&mut self, now: f64, member: &mut Member, poller: &Poller) {
        let mut stuck = Vec::new();
        for (&key, link) in self.links.iter_mut().filter(|(_, link)| link.identified) {
            let Some(to) = link.member else { continue };
            for _ in 0..MAX_MESSAGES_PER_ITERATION {
                if link.connection.blocked() {
                    break;
                }
                let Some(message) = member.next_message(now, to) else { break };
                if !link.send_message(key, message, poller, &mut self.counts) {
                    stuck.push(key);
                    break;
                }
            }
        }
        stuck.into_iter().for_each(|key| self.drop_link(now, key, member, poller));
    }
}

impl Link {
    fn new(now: f64, stream: TcpStream, to: Option<MemberId>) -> Link {
        let connection = Connection::new(stream, MAX_QUEUED_BYTES);
        let dialed = to.is_some();
        Link {
            connection,
            member: to,
            dialed,
            up: !dialed,
            identified: false,
            since: now,
            last_received_at: now,
            watching_writable: dialed,
        }
    }

    /// Sends a message; returns whether the link is still usable.
    fn send_message(&mut self, key: Key, message: Message, poller: &Poller, counts: &mut Counts) -> bool {
        let before = self.connection.queued();
        let framed = Framed(message);
        let sent = self.connection.send(&framed);
        let bytes = self.connection.queued() - before;
        counts.sent += 1;
        counts.bytes_sent += bytes;
        counts.by_kind.count(&framed.0, bytes);
        self.watch(key, poller);
        sent.is_ok()
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
mod tests {
    use super::*;
    use hollypaddle_membership::{view, Incarnation};
    use hollypaddle_replica::catch_up::ChunkError;

    /// Each link error must have its own row on the page for on-call staff, and a text that says what to do.
    #[test]
    fn each_link_error_is_documented_for_on_call_staff() {
        let page = include_str!("../../../../docs/ONCALL.md");
        let incarnation = Incarnation { number: 7, nonce: 7 };
        let rejections = [
            Rejection::Protocol(1),
            Rejection::WrongRecipient,
            Rejection::UnexpectedMessage,
            Rejection::UnknownOrigin,
            Rejection::Membership(view::Rejection::NotAMember),
            Rejection::Membership(view::Rejection::StaleIncarnation(incarnation)),
            Rejection::Chunk(ChunkError::InvalidVersions),
            Rejection::Chunk(ChunkError::WrongKind),
            Rejection::Chunk(ChunkError::TooManyRecords),
        ];
        let own = [LinkError::SecondLink, LinkError::AnotherMember, LinkError::Unreadable("x".into())];
        let all: Vec<LinkError> = own.into_iter().chain(rejections.map(LinkError::Rejected)).collect();
        for error in &all {
            let row = format!("| `{}` |", error.name());
            assert!(page.contains(&row), "{row} is not in docs/ONCALL.md");
            let text = error.to_string();
            assert!(text.contains(';') || text.contains(':'), "{text:?} does not say what to do");
        }
        let names: std::collections::BTreeSet<&str> = all.iter().map(LinkError::name).collect();
        assert_eq!(names.len(), all.len(), "each error has its own name");
    }
}
