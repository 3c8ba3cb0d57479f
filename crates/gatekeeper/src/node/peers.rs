//! The links to other gatekeepers: one TCP connection a pair, made by the member whose id is the lower. The other one
//! tries, too, where none has come for a while: that an address refuses links tells that its process has ended.
//!
//! A frame is a length of four bytes, big-endian, and a word as postcard has it; the first on a link is a hello with the
//! version, both names and the life. Whatever cannot be understood closes its link, is counted, and harms nothing
//! else. Nothing is queued for a peer: a word is made when its link has room.
//!
//! The address belongs on a private network: whoever reaches it may say that they are a member.

use std::collections::BTreeMap;
use std::error::Error;
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, TcpListener, TcpStream};

use hollypaddle_membership::MemberId;
use hollypaddle_platform::connection::{Connection, Frame, Over};
use hollypaddle_replica::member::Rejection;
use hollypaddle_replica::record::KINDS;
use hollypaddle_replica::{Member, Word};
use postcard::ser_flavors::Size;

use super::listen::bind;
use super::poller::{Key, Poller, Ready};
use super::servers::connect_nonblocking;

/// Longest frame, with its length. The longest word is a piece of a stream, of some 15 KiB.
const MAX_FRAME_BYTES: usize = 64 * 1024;
const LENGTH_PREFIX_BYTES: usize = 4;
/// Bytes that may wait on a link; beyond it the peer is taken to be stuck.
const MAX_QUEUED_BYTES: usize = 2 * MAX_FRAME_BYTES;
/// A link that is not up, or says no hello, for so long is closed, in seconds.
const HANDSHAKE_TIMEOUT_S: f64 = 1.0;
/// Between two tries of a link, the first and the longest, in seconds. Refused ones are tried at the first pace: that
/// a process has ended is to be known soon.
const MIN_REDIAL_DELAY_S: f64 = 0.1;
const MAX_REDIAL_DELAY_S: f64 = 1.0;
/// The member of the higher id leaves the other so long to make a link.
const PASSIVE_DIAL_DELAY_S: f64 = 0.2;
/// A link on which nothing came for so long yields to a new one, whoever made it.
const STALE_LINK_S: f64 = 0.5;
/// Links that wait to be taken.
const LISTEN_BACKLOG: i32 = 128;
/// Links that have said no hello yet, at most; the oldest makes room.
const MAX_UNIDENTIFIED_LINKS: usize = 16;
/// Words said on one link in a turn at most.
const MAX_MESSAGES_PER_ITERATION: usize = 32;

/// A word in its frame.
struct Framed(Word);

/// A frame that is longer than one may be.
#[derive(Debug, thiserror::Error)]
#[error("a frame of {0} bytes, of which {MAX_FRAME_BYTES} may be")]
struct TooLong(usize);

/// Why a link to another gatekeeper is closed for what came on it. It is made anew by itself; meanwhile that member is not
/// heard, and is suspected.
#[derive(Debug, thiserror::Error)]
pub enum LinkError {
    /// Both made a link at the same moment, or this one is older.
    #[error("a second link between the same two: the other one is used; nothing is to be done")]
    SecondLink,
    /// Another member answers where one was looked for.
    #[error(
        "another member than the one at that address: two members' addresses are mixed up in the block `fleet`; compare the \
         files"
    )]
    AnotherMember,
    /// Bytes that are no messages.
    #[error("{0}: a stranger, or another version of the program; see who connects to the links' address")]
    Unreadable(String),
    /// What a word said.
    #[error(transparent)]
    Rejected(#[from] Rejection),
}

impl LinkError {
    /// In a message, for the log and the page for on-call staff.
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
        // Nothing of a word has a form that could not be told; one that had is left out.
        let Ok(bytes) = postcard::to_allocvec(&self.0) else { return };
        if bytes.len() + LENGTH_PREFIX_BYTES > MAX_FRAME_BYTES {
            return log::error!(bytes = bytes.len(); "fleet-word-too-long");
        }
        out.extend((bytes.len() as u32).to_be_bytes());
        out.extend(bytes);
    }

    fn decode(data: &[u8]) -> Result<Option<(Self, usize)>, Box<dyn Error + Send + Sync>> {
        let Some(length) = data.first_chunk::<LENGTH_PREFIX_BYTES>() else { return Ok(None) };
        let whole = LENGTH_PREFIX_BYTES.saturating_add(u32::from_be_bytes(*length) as usize);
        if whole > MAX_FRAME_BYTES {
            return Err(Box::new(TooLong(whole)));
        }
        let Some(body) = data.get(LENGTH_PREFIX_BYTES..whole) else { return Ok(None) };
        Ok(Some((Framed(postcard::from_bytes(body)?), whole)))
    }
}

/// Descriptors that the links to so many members may take, the listener and strangers among them.
pub fn max_links(members: usize) -> usize {
    members + MAX_UNIDENTIFIED_LINKS + 1
}

struct Link {
    connection: Connection<TcpStream, Framed>,
    /// Whom it was made to, or who said hello on it.
    member: Option<MemberId>,
    dialed: bool,
    up: bool,
    identified: bool,
    since: f64,
    last_received_at: f64,
    writing: bool,
}

/// A member as the configuration names it.
#[derive(Clone, Debug)]
struct PeerConfig {
    name: String,
    address: SocketAddr,
    next_dial: f64,
    redial_delay: f64,
}

/// What happened on the links since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct Counts {
    /// Links that were closed for what came on them.
    pub refused: u64,
    /// Words said and heard.
    #[serde(rename = "said")]
    pub sent: u64,
    /// The same, heard.
    #[serde(rename = "heard")]
    pub received: u64,
    /// Bytes said.
    #[serde(rename = "bytes")]
    pub bytes_sent: u64,
    /// The same, by what they say.
    #[serde(rename = "split")]
    pub by_kind: BytesByKind,
}

/// Bytes said, by what they say. A word's frame and the rest of it counts with the word; together they are all.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct BytesByKind {
    /// Hellos and leaves.
    pub greetings: u64,
    /// Beats without their observations.
    #[serde(rename = "beats")]
    pub heartbeats: u64,
    /// Observations: what a beat says of others.
    #[serde(rename = "sights")]
    pub observations: u64,
    /// Digests.
    pub digests: u64,
    /// Questions for what is lacking.
    #[serde(rename = "asks")]
    pub requests: u64,
    /// Pieces without their records.
    pub pieces: u64,
    /// The records of pieces, by kind, in the order of [`KINDS`]; reports name the kinds.
    #[serde(skip)]
    pub records: [u64; KINDS.len()],
}

impl BytesByKind {
    /// Counts a word that took so many bytes, its frame among them.
    pub fn count(&mut self, message: &Word, bytes: u64) {
        let rest = match message {
            Word::Hello { .. } | Word::Leave => &mut self.greetings,
            Word::Beat(beat) => {
                let observations: u64 = beat.observations.iter().map(encoded_size).sum();
                self.observations += observations;
                self.heartbeats += bytes.saturating_sub(observations);
                return;
            }
            Word::Digest(..) => &mut self.digests,
            Word::Ask(_) => &mut self.requests,
            Word::Piece(piece) => {
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
        *rest += bytes;
    }
}

/// Bytes of a part of a word.
fn encoded_size<T: serde::Serialize>(part: &T) -> u64 {
    // Nothing of a word has a form that could not be told.
    postcard::serialize_with_flavor(part, Size::default()).map_or(0, |bytes| bytes as u64)
}

/// All links.
pub struct Peers {
    own: MemberId,
    listener: Option<(TcpListener, Key)>,
    address: SocketAddr,
    accept_paused: bool,
    members: BTreeMap<MemberId, PeerConfig>,
    links: BTreeMap<Key, Link>,
    /// The link of each member that has said hello.
    by_member: BTreeMap<MemberId, Key>,
    /// What happened.
    pub counts: Counts,
}

impl Peers {
    /// Listens.
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

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Takes the members of a configuration; links to those that are none any more are closed.
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
            let (next_dial, redial_delay) =
                old.get(&id).map_or((now, MIN_REDIAL_DELAY_S), |n| (n.next_dial, n.redial_delay));
            self.members.insert(id, PeerConfig { name, address, next_dial, redial_delay });
        }
        let moved = |id: &MemberId| {
            let address = |all: &BTreeMap<MemberId, PeerConfig>| all.get(id).map(|n| n.address);
            address(&old) != address(&self.members)
        };
        let gone: Vec<Key> = (self.links.iter())
            .filter(|(_, link)| link.member.is_some_and(|m| moved(&m) && old.contains_key(&m)))
            .map(|(key, _)| *key)
            .collect();
        gone.into_iter().for_each(|key| self.drop_link(now, key, member, poller));
    }

    /// A member's name.
    pub fn name(&self, member: MemberId) -> String {
        self.members.get(&member).map_or_else(|| format!("{:016x}", member.0), |n| n.name.clone())
    }

    /// Takes no more links and closes those there are.
    pub fn close_all(&mut self, now: f64, member: &mut Member, poller: &Poller) {
        if let Some((listener, _)) = self.listener.take() {
            poller.remove(&listener);
        }
        let keys: Vec<Key> = self.links.keys().copied().collect();
        keys.into_iter().for_each(|key| self.drop_link(now, key, member, poller));
        self.members.values_mut().for_each(|n| n.next_dial = f64::INFINITY);
    }

    /// Says that this member ends, to all.
    pub fn send_leave(&mut self, poller: &Poller) {
        for (key, link) in self.links.iter_mut().filter(|(_, link)| link.identified) {
            link.send_message(*key, Word::Leave, poller, &mut self.counts);
        }
    }

    // ---- What happens on the sockets

    /// Takes what is ready, if it is a link's.
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
            Err(Over::Closed | Over::Broken(_)) => self.drop_link(now, ready.key, member, poller),
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
        message: &Word,
        member: &mut Member,
        poller: &Poller,
    ) -> Result<(), LinkError> {
        let Some(link) = self.links.get_mut(&key) else { return Ok(()) };
        if let (true, Some(from)) = (link.identified, link.member) {
            return Ok(member.hear(now, from, message)?);
        }
        // Both may have made a link in one moment: the one of the lower id's stays, at both ends.
        if let Word::Hello { from, .. } = message {
            let older = self.by_member.get(from).and_then(|key| self.links.get(key));
            let by_lower = |dialed: bool| dialed == (self.own < *from);
            let keeps = |old: &Link| by_lower(old.dialed) && now - old.last_received_at < STALE_LINK_S;
            let made_here = self.links.get(&key).is_some_and(|l| l.dialed);
            if !by_lower(made_here) && older.is_some_and(keeps) {
                return Err(LinkError::SecondLink);
            }
        }
        let Some(link) = self.links.get_mut(&key) else { return Ok(()) };
        let identified = member.greeted(now, message);
        // Whoever makes the link says hello first, and hears which life of it is known here also if it is refused.
        if let (false, Word::Hello { from, .. }) = (link.dialed, message) {
            if self.members.contains_key(from) {
                link.send_message(key, member.hello(now, *from), poller, &mut self.counts);
            }
        }
        let from = identified?;
        if link.member.is_some_and(|to| to != from) {
            return Err(LinkError::AnotherMember);
        }
        (link.member, link.identified) = (Some(from), true);
        if let Some(peer) = self.members.get_mut(&from) {
            peer.redial_delay = MIN_REDIAL_DELAY_S;
        }
        // The end of an earlier one was not heard.
        if let Some(old) = self.by_member.insert(from, key).filter(|old| *old != key) {
            if let Some(link) = self.links.remove(&old) {
                poller.remove(link.connection.stream());
            }
        }
        Ok(())
    }

    /// Closes a link for what came on it.
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
            member.unlinked(of);
        }
        if let Some(peer) = self.members.get_mut(&of) {
            peer.next_dial = now + peer.redial_delay;
        }
    }

    fn accept(&mut self, now: f64, poller: &mut Poller, member: &mut Member) {
        loop {
            let strangers = self.links.iter().filter(|(_, l)| !l.identified && !l.dialed);
            let oldest =
                strangers.clone().min_by(|a, b| a.1.since.total_cmp(&b.1.since)).map(|(key, _)| *key);
            if let Some(oldest) = oldest.filter(|_| strangers.count() >= MAX_UNIDENTIFIED_LINKS) {
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
                // Descriptors are short: those who wait are taken at the next beat.
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
            member.refused(now, of);
        }
        if let Some(peer) = self.members.get_mut(&of) {
            peer.redial_delay =
                if refused { MIN_REDIAL_DELAY_S } else { (peer.redial_delay * 2.0).min(MAX_REDIAL_DELAY_S) };
        }
        self.drop_link(now, key, member, poller);
    }

    /// Makes links that are lacking and closes those that come to nothing. Called now and then.
    pub fn maintain(&mut self, now: f64, member: &mut Member, poller: &mut Poller) {
        if let (true, Some((listener, key))) = (self.accept_paused, &self.listener) {
            self.accept_paused = false;
            poller.set_interest(*key, listener, true, false);
        }
        let late = |l: &Link| !l.identified && now - l.since >= HANDSHAKE_TIMEOUT_S;
        let late: Vec<Key> = self.links.iter().filter(|(_, l)| late(l)).map(|(key, _)| *key).collect();
        for key in late {
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
                let leaves = if own < **id { 0.0 } else { PASSIVE_DIAL_DELAY_S };
                now >= n.next_dial + leaves && !linked.contains(id)
            })
            .map(|(id, n)| (*id, n.address))
            .collect();
        for (id, address) in due {
            if let Some(peer) = self.members.get_mut(&id) {
                peer.next_dial = now + peer.redial_delay;
            }
            match connect_nonblocking(address).and_then(|stream| Ok((poller.add(&stream, true)?, stream))) {
                Ok((key, stream)) => drop(self.links.insert(key, Link::new(now, stream, Some(id)))),
                Err(error) if error.kind() == ErrorKind::ConnectionRefused => member.refused(now, id),
                // A want of descriptors, or a way that is not there: it tells nothing of the member.
                Err(error) => log::debug!(member = self.name(id).as_str(), error:%; "fleet-link-failed"),
            }
        }
    }

    /// Says what is due on every link that has room.
    pub fn send_due(&mut self, now: f64, member: &mut Member, poller: &Poller) {
        let mut stuck = Vec::new();
        for (&key, link) in self.links.iter_mut().filter(|(_, link)| link.identified) {
            let Some(to) = link.member else { continue };
            for _ in 0..MAX_MESSAGES_PER_ITERATION {
                if link.connection.blocked() {
                    break;
                }
                let Some(message) = member.say(now, to) else { break };
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
            writing: dialed,
        }
    }

    /// Says a word; returns whether the link still is of use.
    fn send_message(&mut self, key: Key, message: Word, poller: &Poller, counts: &mut Counts) -> bool {
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
        let writing = !self.up || self.connection.blocked();
        if writing != self.writing {
            self.writing = writing;
            poller.set_interest(key, self.connection.stream(), true, writing);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use hollypaddle_membership::{view, Incarnation};
    use hollypaddle_replica::catch_up::PieceError;

    /// Each error of the links has a row of its own on the page for on-call staff, and says what can be done.
    #[test]
    fn every_error_of_a_link_is_on_the_page_for_on_call_staff() {
        let page = include_str!("../../../../docs/ONCALL.md");
        let incarnation = Incarnation { number: 7, nonce: 7 };
        let rejections = [
            Rejection::Protocol(1),
            Rejection::NotForUs,
            Rejection::OutOfPlace,
            Rejection::Stranger,
            Rejection::Membership(view::Rejection::NotAMember),
            Rejection::Membership(view::Rejection::StaleIncarnation(incarnation)),
            Rejection::Piece(PieceError::Versions),
            Rejection::Piece(PieceError::Kind),
            Rejection::Piece(PieceError::TooMany),
        ];
        let own = [LinkError::SecondLink, LinkError::AnotherMember, LinkError::Unreadable("x".into())];
        let all: Vec<LinkError> = own.into_iter().chain(rejections.map(LinkError::Rejected)).collect();
        for error in &all {
            let row = format!("| `{}` |", error.name());
            assert!(page.contains(&row), "{row} is not in docs/ONCALL.md");
            let text = error.to_string();
            assert!(text.contains(';') || text.contains(':'), "{text:?} says nothing of what can be done");
        }
        let names: std::collections::BTreeSet<&str> = all.iter().map(LinkError::name).collect();
        assert_eq!(names.len(), all.len(), "a name of its own for each");
    }
}
