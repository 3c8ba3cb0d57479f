//! A relay: its leaves, the other relays, the feeds, the settings.
//!
//! The other relays are known in full, by the ways of a small fleet ([`Member`]): beats, streams, digests. What the leaves of a
//! topic say is joined and written into the relay's own stream; what all relays' streams say of a topic is joined into its
//! feeds. A change of one record costs a join over the leaves of its topic here, and one over the relays.
//!
//! The settings have one writer. It stores a change as proposed, tells it to the others, and the change is in force once a
//! majority of all relays has stored it: whatever the writer does next, it learns of it from any majority. So a change that
//! was in force stays so through the loss of any minority, the writer among them, and a writer without a majority refuses.

mod feeds;
mod fleet_settings;
mod leaf_messages;
mod leaves;
mod links;
mod mesh;
mod timers;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use hollypaddle_membership::view::{Change, State};
use hollypaddle_membership::{Incarnation, MemberId};
use hollypaddle_replica::member::{self, Member};
use hollypaddle_replica::record::{join_servers, Key, LeafFact, Origin, Presence, ServerKey, Topic, Value};
use hollypaddle_replica::stream::Stream;
use hollypaddle_replica::{Settings as MeshSettings, Word};

use crate::budget::ByteBudget;
use crate::leaf_limit::LeafLimit;
use crate::message::{
    truncate, Attach, CopyState, Digest, Feed, Hello, Message, Refusal, MAX_NAME_BYTES, MAX_REASON_BYTES,
    MIN_PROTOCOL_VERSION, PROTOCOL_VERSION,
};
use crate::placement::{leaf_limit, stable_fraction, RelayLocation};
use crate::settings::{IncomingSet, OutgoingSet, PartError, Revision, SetError, SettingsSet};
use crate::stream_copy::{Cursor, PieceError, StreamCopy};
use crate::{LinkError, LinkId, Node, Timing};

/// Own turns further apart than this: this process was paused, and the silence of others tells nothing.
const WOKE: f64 = 1.0;
/// Between two looks at silences.
const LOOK: f64 = 0.2;
/// Between two turns for the words to another relay.
const MESH: f64 = 0.02;
/// Messages that wait for a link, beside those that are made as they are said.
const WAITING: usize = 32;
/// Links of strangers at most; the oldest makes room.
const STRANGERS: usize = 64;
/// Topics at most.
const TOPICS: usize = 4096;
/// Between two words on which settings are held, and two tries to tell one that has not stored a change.
const HOLDS: f64 = 0.5;
/// The same.
const PUSH: f64 = 1.0;
/// Both relays may make a link in one moment; the one of the higher id leaves the other so long, and a link on which nothing
/// came for `STALE` yields to a new one.
const LEAVES: f64 = 0.2;
const STALE: f64 = 0.5;
/// A start waits this long at most for what the other relays know before it takes leaves.
const CATCHING_UP: f64 = 0.3;
/// A leaf that is refused for the relay's share alone asks again after so long, by chance half more or less.
const SHARED: f64 = 1.0;
/// Leaves that are sent away in one look where there are more than may be.
const SHED: usize = 8;
/// A leaf that has settings which no relay here has, and gives none of them for so long, is no longer asked.
const GIVES: f64 = 5.0;
/// What comes within so long after a silence was on its way through it.
const TOGETHER: f64 = 0.1;
/// Things to be told to the log that are kept until they are taken.
const MOST_EVENTS: usize = 256;

/// Who a relay is.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Which.
    pub id: MemberId,
    /// In which life.
    pub incarnation: Incarnation,
    /// All relays, the own one among them.
    pub relays: Vec<RelayLocation>,
    /// The one that changes the settings of the fleet.
    pub writer: MemberId,
}

/// What is to be told to the staff.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// Of the other relays.
    Mesh(member::Event),
    /// A leaf is found otherwise than before.
    LeafPresence(MemberId, Presence),
    /// A leaf was refused.
    Refused(MemberId, Refusal),
    /// A change of the settings is proposed.
    Proposed(Revision),
    /// A change is in force: a majority of relays has stored it.
    InForce(Revision),
    /// A change has not been stored by a majority in time: it comes in force when one has, or a later one does.
    Undecided(Revision),
    /// A leaf turned a change down.
    TurnedDown {
        /// Which leaf.
        leaf: MemberId,
        /// Which version.
        version: u64,
        /// Why.
        reason: String,
    },
    /// Another relay than the configured writer proposes changes.
    SecondWriter(MemberId),
}

/// Why a change of the settings is refused. Nothing of it is in force anywhere, and it is not tried again by itself.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// Another relay is the writer.
    #[error("this relay is not the writer of the fleet's settings: make the change at the relay that `writer` names")]
    NotWriter,
    /// This relay has just started, or was paused.
    #[error(
        "this relay does not know yet what the others hold: send SIGHUP again once `/_ready` says ready"
    )]
    CatchingUp,
    /// A majority of relays is not heard.
    #[error(
        "{reachable} of {total} relays are heard here, the own one counted, and a change needs a majority: nothing was changed; mend \
         the links between relays or regions, then send SIGHUP again"
    )]
    NoMajority {
        /// Relays that are heard, the own one counted.
        reachable: usize,
        /// All.
        total: usize,
    },
    /// The set itself.
    #[error(transparent)]
    Set(#[from] SetError),
}

impl SettingsError {
    /// In a word, for the log and the page for on-call staff.
    pub fn name(&self) -> &'static str {
        match self {
            SettingsError::NotWriter => "not-the-writer",
            SettingsError::CatchingUp => "catching-up",
            SettingsError::NoMajority { .. } => "no-majority",
            SettingsError::Set(_) => "set-too-large",
        }
    }
}

#[derive(Clone, Debug, PartialEq)]
enum Who {
    Stranger,
    Leaf(MemberId, Incarnation, Topic),
    /// A relay; whether both have said who they are.
    Relay(MemberId, bool),
}

#[derive(Debug)]
struct Link {
    who: Who,
    dialed: bool,
    up: bool,
    since: f64,
    heard_at: f64,
    waiting: VecDeque<Message>,
    /// When it is looked at next, in microseconds, if it is.
    wake: Option<u64>,
    // Of one that a leaf is attached by.
    budget: ByteBudget,
    servers: Cursor,
    leaves: Cursor,
    settings: Revision,
    outgoing: Option<OutgoingSet>,
    next_digest: f64,
    /// What comes until then may have been on its way for so long.
    late: (f64, f64),
}

/// A leaf that is, or was a moment ago, attached here.
#[derive(Debug)]
struct Attached {
    life: Incarnation,
    topic: Topic,
    moves: u32,
    link: Option<LinkId>,
    presence: Presence,
    since: f64,
    /// It said that it has another relay now.
    moved: bool,
    /// What it said counts no more: it has not been heard for long, and no majority of relays is there to say that it is
    /// gone.
    stale: bool,
    copy: StreamCopy,
    in_force: u64,
    turned_down: Option<(u64, String)>,
}

#[derive(Debug, Default)]
struct TopicFeeds {
    servers: Stream,
    leaves: Stream,
    /// Own leaves of it.
    members: BTreeSet<MemberId>,
}

/// Another relay.
#[derive(Debug)]
struct Peer {
    link: Option<LinkId>,
    next_dial: f64,
    pause: f64,
    /// What it said on this link that it holds: in force, proposed.
    holds: Option<(Revision, Revision)>,
    /// What it was told that is held here, and when.
    told: Option<((Revision, Revision), f64)>,
    outgoing: Option<(bool, OutgoingSet)>,
    pushed: Option<(Revision, f64)>,
    incoming: [Option<IncomingSet>; 2],
    want_at: f64,
    turned_down: VecDeque<(MemberId, u64, String)>,
}

impl Peer {
    fn new(now: f64, timing: &Timing) -> Peer {
        Peer {
            link: None,
            next_dial: now,
            pause: timing.min_dial_backoff_s,
            holds: None,
            told: None,
            outgoing: None,
            pushed: None,
            incoming: [None, None],
            want_at: f64::NEG_INFINITY,
            turned_down: VecDeque::new(),
        }
    }
}

/// What happened since the start, and how much there is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct Counts {
    /// Leaves that are attached.
    pub leaves: u64,
    /// Topics of them.
    pub topics: u64,
    /// Attachments taken and refused.
    pub attached: u64,
    /// The latter.
    pub refused: u64,
    /// Leaves that fell silent, and that were given up.
    pub silent: u64,
    /// The latter.
    pub gone: u64,
    /// Messages of kinds that are not known here.
    pub unknown: u64,
    /// Streams and settings that were told anew.
    pub resyncs: u64,
}

/// A leaf as an operator or a test sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct LeafRow {
    /// Which.
    pub leaf: MemberId,
    /// Its topic.
    pub topic: Topic,
    /// How it is found here.
    pub presence: Presence,
    /// Since when, in seconds ago.
    pub since_s: f64,
    /// Its count of attachments.
    pub moves: u32,
    /// The version of the settings that it serves by.
    pub in_force: u64,
    /// Which version it turned down last, and why.
    pub turned_down: Option<(u64, String)>,
}

/// A relay.
pub struct Relay {
    identity: Identity,
    timing: Timing,
    member: Member,
    feed: Origin,
    ticked: Option<f64>,
    /// How long this process was paused before this turn, where it was: what is read now may be that much older.
    paused: f64,
    links: BTreeMap<LinkId, Link>,
    next_link: u64,
    wakes: BTreeSet<(u64, LinkId)>,
    leaves: BTreeMap<MemberId, Attached>,
    /// How many of them there may be.
    share: LeafLimit,
    /// Their names, and those of leaves that turned a change down elsewhere, for operators.
    names: BTreeMap<MemberId, String>,
    topics: BTreeMap<Topic, TopicFeeds>,
    /// A feed that begins now begins above this, so that no version means two things.
    floor: u64,
    peers: BTreeMap<MemberId, Peer>,
    /// Up to which version, and with which hash, each stream's changes are in the feeds.
    absorbed: BTreeMap<Origin, (u64, u64)>,
    in_force: Arc<SettingsSet>,
    proposed: Option<(Arc<SettingsSet>, f64, bool)>,
    /// The entries that were proposed here last: what the writer of the fleet's settings wants them to be.
    wanted: Option<Vec<(String, String)>>,
    /// A leaf that holds later settings than any relay that is heard here, as all relays were gone: since when it is asked.
    recovery: Option<(LinkId, f64, Option<IncomingSet>)>,
    /// Since when a majority of relays is heard.
    quorum: Option<f64>,
    next_look: f64,
    ending: bool,
    closes: Vec<LinkId>,
    events: Vec<Event>,
    /// What happened.
    pub counts: Counts,
}

fn micros(at: f64) -> u64 {
    (at.max(0.0) * 1e6) as u64
}

impl Relay {
    /// A relay that has just started.
    pub fn new(now: f64, identity: Identity, mesh: MeshSettings, timing: Timing) -> Relay {
        let others: Vec<MemberId> = identity.relays.iter().map(|r| r.relay).collect();
        let member = Member::new(now, identity.id, identity.incarnation, mesh, others.iter().copied());
        let peers = others.into_iter().filter(|r| *r != identity.id).map(|r| (r, Peer::new(now, &timing)));
        Relay {
            feed: Origin { member: identity.id, life: identity.incarnation },
            peers: peers.collect(),
            identity,
            timing,
            member,
            ticked: None,
            paused: 0.0,
            links: BTreeMap::new(),
            next_link: 1,
            wakes: BTreeSet::new(),
            leaves: BTreeMap::new(),
            share: LeafLimit::new(now, leaf_limit(0, 1, timing.max_load_ratio, timing.max_leaves)),
            names: BTreeMap::new(),
            topics: BTreeMap::new(),
            floor: 0,
            absorbed: BTreeMap::new(),
            in_force: Arc::default(),
            proposed: None,
            wanted: None,
            recovery: None,
            quorum: None,
            next_look: now,
            ending: false,
            closes: Vec::new(),
            events: Vec::new(),
            counts: Counts::default(),
        }
    }

    /// Takes relays, writer and times read anew.
    pub fn reconfigure(&mut self, now: f64, identity: Identity, mesh: MeshSettings, timing: Timing) {
        let all: Vec<MemberId> = identity.relays.iter().map(|r| r.relay).collect();
        self.member.change(mesh, &all);
        let none: Vec<LinkId> =
            (self.peers.iter()).filter(|(r, _)| !all.contains(r)).filter_map(|(_, p)| p.link).collect();
        none.into_iter().for_each(|link| self.close(now, link));
        self.peers.retain(|r, _| all.contains(r));
        for relay in all.into_iter().filter(|r| *r != self.identity.id) {
            self.peers.entry(relay).or_insert_with(|| Peer::new(now, &timing));
        }
        (self.timing, self.identity.relays, self.identity.writer) =
            (timing, identity.relays, identity.writer);
        if self.identity.writer != self.identity.id {
            self.wanted = None;
        }
    }

    /// Who it is.
    pub fn identity(&self) -> &Identity {
        &self.identity
    }

    /// The other relays, as a member of a small fleet knows them.
    pub fn member(&self) -> &Member {
        &self.member
    }

    /// Whether it knows what the other relays knew when it met them, or has waited for that long enough.
    pub fn ready(&self) -> bool {
        self.member.ready()
    }

    /// What is to be told to the staff since this was last asked.
    pub fn take_events(&mut self) -> Vec<Event> {
        std::mem::take(&mut self.events)
    }

    fn tell(&mut self, event: Event) {
        if self.events.len() < MOST_EVENTS {
            self.events.push(event);
        }
    }

    /// The leaves that are, or were a moment ago, attached here.
    pub fn leaf_rows(&self, now: f64) -> Vec<LeafRow> {
        let row = |(leaf, a): (&MemberId, &Attached)| LeafRow {
            leaf: *leaf,
            topic: a.topic,
            presence: a.presence,
            since_s: now - a.since,
            moves: a.moves,
            in_force: a.in_force,
            turned_down: a.turned_down.clone(),
        };
        self.leaves.iter().map(row).collect()
    }

    /// The name of a leaf, as it, or another relay, told it.
    pub fn leaf_name(&self, leaf: MemberId) -> Option<&str> {
        self.names.get(&leaf).map(String::as_str).filter(|name| !name.is_empty())
    }

    fn learn_name(&mut self, leaf: MemberId, name: &str) {
        if self.names.len() >= 2 * self.timing.max_leaves + STRANGERS {
            let (leaves, links) = (&self.leaves, &self.links);
            let linked =
                |m: &MemberId| links.values().any(|l| matches!(l.who, Who::Leaf(of, ..) if of == *m));
            self.names.retain(|m, _| leaves.contains_key(m) || linked(m));
        }
        self.names.insert(leaf, truncate(name, MAX_NAME_BYTES));
    }

    /// Leaves that are attached.
    pub fn attached_count(&self) -> usize {
        self.leaves.values().filter(|a| a.link.is_some()).count()
    }

    /// What is known of a leaf of a topic over all relays.
    pub fn leaf_fact(&self, topic: Topic, leaf: MemberId) -> Option<LeafFact> {
        self.join_leaf(topic, leaf).map(|(_, fact)| fact)
    }

    /// The feeds of a topic that has leaves here: servers, leaves.
    pub fn feeds(&self, topic: Topic) -> Option<(&Stream, &Stream)> {
        self.topics.get(&topic).map(|t| (&t.servers, &t.leaves))
    }
}

impl Node for Relay {
    fn links_to_open(&mut self, now: f64) -> Vec<(LinkId, MemberId)> {
        if self.ending || self.member.view().superseded() {
            return Vec::new();
        }
        if self.peers.values().all(|p| p.link.is_some()) {
            return Vec::new();
        }
        let own = self.identity.id;
        let pending: BTreeSet<MemberId> = self
            .links
            .values()
            .filter_map(|l| if let Who::Relay(r, _) = l.who { Some(r) } else { None })
            .collect();
        let due: Vec<MemberId> = (self.peers.iter())
            .filter(|(relay, p)| {
                let leaves = if own < **relay { 0.0 } else { LEAVES };
                p.link.is_none() && !pending.contains(relay) && now >= p.next_dial + leaves
            })
            .map(|(relay, _)| *relay)
            .collect();
        let mut made = Vec::new();
        for relay in due {
            if let Some(peer) = self.peers.get_mut(&relay) {
                peer.next_dial = now + peer.pause;
            }
            made.push((self.new_link(now, Who::Relay(relay, false), true), relay));
        }
        made
    }

    fn accept_link(&mut self, now: f64) -> LinkId {
        let strangers = self.links.iter().filter(|(_, l)| l.who == Who::Stranger);
        let oldest = strangers.clone().map(|(id, _)| *id).next();
        if let Some(oldest) = oldest.filter(|_| strangers.count() >= STRANGERS) {
            self.close(now, oldest);
        }
        self.new_link(now, Who::Stranger, false)
    }

    fn link_up(&mut self, now: f64, id: LinkId) {
        let Some(link) = self.links.get_mut(&id) else { return };
        (link.up, link.since, link.heard_at) = (true, now, now);
        if let Who::Relay(relay, _) = link.who {
            let hello = Message::Mesh(self.member.hello(now, relay));
            self.queue(now, id, hello);
        }
    }

    fn link_down(&mut self, now: f64, id: LinkId, refused: bool) {
        self.gone(now, id, refused);
        self.settle(now);
    }

    fn receive(&mut self, now: f64, id: LinkId, message: &Message) -> Result<(), LinkError> {
        let Some(link) = self.links.get_mut(&id) else { return Ok(()) };
        let gap = now - std::mem::replace(&mut link.heard_at, now);
        if gap >= self.timing.answer_overdue_s && link.servers != Cursor::from_start() {
            link.late = (now + TOGETHER, gap);
        }
        if let Message::Unknown(_) = message {
            self.counts.unknown += 1;
            return Ok(());
        }
        match (link.who.clone(), message) {
            (Who::Stranger, Message::Hello(hello)) => self.hello(now, id, hello),
            (Who::Stranger | Who::Relay(_, false), Message::Mesh(word)) => self.greet(now, id, word),
            (Who::Stranger | Who::Relay(_, false), _) => Err(LinkError::OutOfPlace),
            (Who::Leaf(leaf, life, topic), message) => self.hear_leaf(now, id, (leaf, life, topic), message),
            (Who::Relay(relay, true), message) => self.hear_relay(now, relay, message),
        }
    }

    fn links_to_serve(&mut self, now: f64) -> Vec<LinkId> {
        let upto = micros(now);
        let mut due = Vec::new();
        while let Some((at, id)) = self.wakes.first().copied().filter(|(at, _)| *at <= upto) {
            self.wakes.remove(&(at, id));
            if let Some(link) = self.links.get_mut(&id) {
                link.wake = None;
                if link.up {
                    due.push(id);
                }
            }
        }
        due
    }

    fn next_message(&mut self, now: f64, id: LinkId) -> Option<Message> {
        let link = self.links.get_mut(&id).filter(|l| l.up)?;
        let waiting = link.waiting.pop_front();
        let who = link.who.clone();
        let message = match (waiting, &who) {
            (Some(message), _) => Some(message),
            (None, Who::Relay(relay, true)) => self.say_to_relay(now, *relay),
            (None, Who::Leaf(leaf, _, topic)) => {
                let attached = self.leaves.get(leaf).is_some_and(|a| a.link == Some(id));
                if attached {
                    self.say_to_leaf(now, id, *topic)
                } else {
                    None
                }
            }
            _ => None,
        };
        let Some(message) = message else {
            match who {
                Who::Relay(_, true) => self.wake(id, now + MESH),
                Who::Leaf(leaf, ..) if self.leaves.get(&leaf).is_some_and(|a| a.link == Some(id)) => {
                    let link = self.links.get_mut(&id)?;
                    let at =
                        if link.budget.can_send(now) { link.next_digest } else { link.budget.can_send_at() };
                    self.wake(id, at.max(now + 1e-3));
                }
                _ => {}
            }
            return None;
        };
        if matches!(who, Who::Leaf(..)) {
            let bytes = message.encode(&mut Vec::new());
            if let Some(link) = self.links.get_mut(&id) {
                link.budget.spend(now, bytes);
            }
        }
        Some(message)
    }

    fn link_writable(&mut self, now: f64, id: LinkId) {
        self.wake(id, now);
    }

    fn links_to_close(&mut self) -> Vec<LinkId> {
        std::mem::take(&mut self.closes)
    }

    fn tick(&mut self, now: f64) {
        let gap = self.ticked.map_or(0.0, |last| now - last);
        self.ticked = Some(now);
        self.paused = if gap >= WOKE { gap } else { 0.0 };
        if gap >= WOKE {
            for link in self.links.values_mut() {
                (link.heard_at, link.since) = (now, now);
            }
            for a in self.leaves.values_mut().filter(|a| a.presence == Presence::Closed) {
                a.since = now;
            }
        }
        self.member.tick(now);
        self.settle(now);
        if now >= self.next_look {
            self.next_look = now + LOOK;
            self.look(now);
            self.decide(now);
        }
    }

    fn next_tick_at(&self) -> f64 {
        let wake = self.wakes.first().map_or(f64::INFINITY, |(at, _)| *at as f64 / 1e6 + 1e-6);
        let dials = self.peers.values().filter(|p| p.link.is_none()).map(|p| p.next_dial);
        let dial = dials.fold(f64::INFINITY, f64::min).max(self.ticked.unwrap_or(0.0) + 0.01);
        let beat = self.ticked.unwrap_or(0.0) + 0.05;
        wake.min(dial).min(self.next_look).min(beat)
    }
}
