//! Implements a relay: its leaves, the other relays, the feeds and the settings.
//!
//! Relays are fully meshed, as the members of a small fleet are ([`Member`]): heartbeats, streams, digests. What the
//! leaves of a topic report is merged into the relay's own stream; what the streams of all relays say of a topic is
//! merged into its feeds. A change of one record costs one merge over the leaves of its topic at this relay, and one
//! over the relays.
//!
//! The settings have one writer. It stores a change as proposed and sends it to the other relays, and the change is
//! in force once a majority of all relays has stored it. Any later majority knows of it, whatever the writer does
//! next. So a change that was in force stays in force through the loss of any minority, the writer included, and a
//! writer without a majority refuses changes.

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
use hollypaddle_replica::{Message as MeshMessage, Settings as MeshSettings};

use crate::budget::ByteBudget;
use crate::leaf_limit::LeafLimit;
use crate::message::{
    truncate, Attach, CopyState, Digest, Feed, Hello, Message, Refusal, MAX_NAME_BYTES, MAX_REASON_BYTES,
    MIN_PROTOCOL_VERSION, PROTOCOL_VERSION,
};
use crate::placement::{leaf_limit, stable_fraction, RelayLocation};
use crate::settings::{IncomingSet, OutgoingSet, PartError, Revision, SetError, SettingsSet};
use crate::stream_copy::{ChunkError, Cursor, StreamCopy};
use crate::{LinkError, LinkId, Node, Timing};

/// If two ticks are further apart than this, this process was paused, and the silence of others means nothing.
const PAUSE_THRESHOLD_S: f64 = 1.0;
/// Interval between two checks for silent leaves.
const CHECK_INTERVAL_S: f64 = 0.2;
/// Interval between two checks for messages to another relay.
const MESH_POLL_INTERVAL_S: f64 = 0.02;
/// The most messages queued for a link, in addition to those that are built when they are sent.
const MAX_QUEUED_MESSAGES: usize = 32;
/// The most links whose peer has not identified itself; the oldest is closed for a new one.
const MAX_UNIDENTIFIED_LINKS: usize = 64;
/// The most topics with leaves at this relay.
const MAX_TOPICS: usize = 4096;
/// Interval between two reports to another relay of which settings are held here.
const HOLDS_INTERVAL_S: f64 = 0.5;
/// Interval between two attempts to send a proposed change to a relay that has not stored it.
const PROPOSAL_RETRY_S: f64 = 1.0;
/// Both relays may open a link at the same time; the relay with the higher id waits this long for the other one.
const HIGHER_ID_DIAL_DELAY_S: f64 = 0.2;
/// A link on which nothing was received for this long is replaced by a new one.
const STALE_LINK_S: f64 = 0.5;
/// Retry time for a leaf that is refused because this relay has just started and waits for what the other relays
/// know.
const CATCHING_UP_RETRY_S: f64 = 0.3;
/// Retry time for a leaf that is refused only because the relay has its share, plus or minus a random half.
const SHARE_RETRY_S: f64 = 1.0;
/// The most leaves that are sent away in one check if there are more than the limit.
const MAX_SHED_PER_CHECK: usize = 8;
/// A leaf that holds settings that no relay here has, and sends no part of them for this long, is no longer asked.
const RECOVERY_TIMEOUT_S: f64 = 5.0;
/// Messages that arrive within this time after a silence were delayed by it.
const DELAYED_BATCH_S: f64 = 0.1;
/// The most events that are kept until they are taken for the log.
const MAX_EVENTS: usize = 256;

/// Identity of a relay.
#[derive(Clone, Debug)]
pub struct Identity {
    /// The relay.
    pub id: MemberId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// All relays, this one included.
    pub relays: Vec<RelayLocation>,
    /// The relay that changes the settings of the fleet.
    pub writer: MemberId,
}

/// An event for the log.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// An event of the mesh of relays.
    Mesh(member::Event),
    /// The presence of a leaf has changed.
    LeafPresence(MemberId, Presence),
    /// A leaf was refused.
    Refused(MemberId, Refusal),
    /// A change of the settings is proposed.
    Proposed(Revision),
    /// A change is in force: a majority of relays has stored it.
    InForce(Revision),
    /// A change was not stored by a majority in time: it comes in force once it is, or once a later one is.
    Undecided(Revision),
    /// A leaf rejected a change.
    TurnedDown {
        /// The leaf.
        leaf: MemberId,
        /// The version that it rejected.
        version: u64,
        /// Why.
        reason: String,
    },
    /// A relay other than the configured writer proposes changes.
    SecondWriter(MemberId),
}

/// Why a change of the settings is refused. Nothing of it is in force anywhere, and it is not retried automatically.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// Another relay is the writer.
    #[error("this relay is not the writer of the fleet's settings: make the change at the relay that `writer` names")]
    NotWriter,
    /// This relay has just started, or was paused.
    #[error(
        "this relay does not know yet what the other relays hold: send SIGHUP again once `/_ready` says ready"
    )]
    CatchingUp,
    /// This relay does not reach a majority of relays.
    #[error(
        "{reachable} of {total} relays are heard here, this one included, and a change needs a majority: nothing was changed; restore the \
         links between relays or regions, then send SIGHUP again"
    )]
    NoMajority {
        /// Relays that are reached, this one included.
        reachable: usize,
        /// All relays.
        total: usize,
    },
    /// The set of entries is invalid.
    #[error(transparent)]
    Set(#[from] SetError),
}

impl SettingsError {
    /// Short name for the log and for the page for on-call staff.
    pub fn name(&self) -> &'static str {
        match self {
            SettingsError::NotWriter => "not-the-writer",
            SettingsError::CatchingUp => "catching-up",
            SettingsError::NoMajority { .. } => "no-majority",
            SettingsError::Set(_) => "set-too-large",
        }
    }
}

/// The node at the other end of a link.
#[derive(Clone, Debug, PartialEq)]
enum LinkPeer {
    Unidentified,
    Leaf(MemberId, Incarnation, Topic),
    /// A relay, and whether both ends have identified themselves.
    Relay(MemberId, bool),
}

/// A link of this relay.
#[derive(Debug)]
struct Link {
    peer: LinkPeer,
    dialed: bool,
    up: bool,
    since: f64,
    last_heard_at: f64,
    queued: VecDeque<Message>,
    /// When the link is served next, in microseconds; none if no time is set.
    wake_at: Option<u64>,
    // The fields from here to `next_digest_at` are used only while a leaf is attached by this link.
    budget: ByteBudget,
    servers: Cursor,
    leaves: Cursor,
    settings: Revision,
    outgoing: Option<OutgoingSet>,
    next_digest_at: f64,
    /// Messages that arrive until the first time may have been in transit for the second, in seconds.
    delayed: (f64, f64),
}

/// A leaf that is attached here, or was a moment ago.
#[derive(Debug)]
struct AttachedLeaf {
    incarnation: Incarnation,
    topic: Topic,
    moves: u32,
    link: Option<LinkId>,
    presence: Presence,
    since: f64,
    /// The leaf reported that it is attached to another relay now.
    moved: bool,
    /// What the leaf reported no longer counts: nothing was received from it for long, and this relay does not reach
    /// a majority of relays to establish that it is gone.
    stale: bool,
    copy: StreamCopy,
    in_force: u64,
    turned_down: Option<(u64, String)>,
}

/// The two feeds of a topic.
#[derive(Debug, Default)]
struct TopicFeeds {
    servers: Stream,
    leaves: Stream,
    /// The leaves of this relay with the topic.
    members: BTreeSet<MemberId>,
}

/// Another relay.
#[derive(Debug)]
struct PeerRelay {
    link: Option<LinkId>,
    next_dial_at: f64,
    backoff_s: f64,
    /// The settings that it reported on this link: in force, proposed.
    held_revisions: Option<(Revision, Revision)>,
    /// The settings held here as last reported to it, and when.
    sent_revisions: Option<((Revision, Revision), f64)>,
    /// Settings that are being sent to it, and whether they are only proposed.
    outgoing: Option<(bool, OutgoingSet)>,
    /// The proposal that was last sent to it, and when.
    pushed: Option<(Revision, f64)>,
    /// Parts received so far: of the settings in force, and of a proposal.
    incoming: [Option<IncomingSet>; 2],
    requested_at: f64,
    /// Rejected changes to report to it: leaf, version, reason.
    turned_down: VecDeque<(MemberId, u64, String)>,
}

impl PeerRelay {
    fn new(now: f64, timing: &Timing) -> PeerRelay {
        PeerRelay {
            link: None,
            next_dial_at: now,
            backoff_s: timing.min_dial_backoff_s,
            held_revisions: None,
            sent_revisions: None,
            outgoing: None,
            pushed: None,
            incoming: [None, None],
            requested_at: f64::NEG_INFINITY,
            turned_down: VecDeque::new(),
        }
    }
}

/// Current totals, and counts of events since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct Counts {
    /// Leaves that are attached.
    pub leaves: u64,
    /// Topics of the attached leaves.
    pub topics: u64,
    /// Attachments accepted since the start.
    pub attached: u64,
    /// Attachments refused since the start.
    pub refused: u64,
    /// How many times a leaf became silent.
    pub silent: u64,
    /// How many times a leaf was declared gone.
    pub gone: u64,
    /// Messages of unknown kinds.
    pub unknown: u64,
    /// How many times a stream or the settings were requested again.
    pub resyncs: u64,
}

/// State of a leaf for operators and tests.
#[derive(Clone, Debug, PartialEq)]
pub struct LeafRow {
    /// The leaf.
    pub leaf: MemberId,
    /// Its topic.
    pub topic: Topic,
    /// Its presence as this relay sees it.
    pub presence: Presence,
    /// For how many seconds it has had this presence.
    pub since_s: f64,
    /// How many times it has asked for an attachment.
    pub moves: u32,
    /// The version of the settings in force at the leaf.
    pub in_force: u64,
    /// The version that it rejected last, and why.
    pub turned_down: Option<(u64, String)>,
}

/// The state of a relay.
pub struct Relay {
    identity: Identity,
    timing: Timing,
    member: Member,
    feed_origin: Origin,
    ticked_at: Option<f64>,
    /// How long this process was paused before the current tick, or 0: what is read now may be older by this much.
    paused_s: f64,
    links: BTreeMap<LinkId, Link>,
    next_link: u64,
    wake_queue: BTreeSet<(u64, LinkId)>,
    leaves: BTreeMap<MemberId, AttachedLeaf>,
    /// How many leaves there may be.
    load_limit: LeafLimit,
    /// Names, for operators, of the leaves here and of leaves that rejected a change elsewhere.
    names: BTreeMap<MemberId, String>,
    topics: BTreeMap<Topic, TopicFeeds>,
    /// A new feed starts above this version, so that no version is used for two states.
    min_feed_version: u64,
    peers: BTreeMap<MemberId, PeerRelay>,
    /// The version and hash up to which the changes of each stream are in the feeds.
    merged_revisions: BTreeMap<Origin, (u64, u64)>,
    in_force: Arc<SettingsSet>,
    /// The proposed settings, since when, and whether they were reported as undecided.
    proposed: Option<(Arc<SettingsSet>, f64, bool)>,
    /// The entries that were proposed here last: what the writer wants the settings of the fleet to be.
    wanted: Option<Vec<(String, String)>>,
    /// The request to a leaf that holds later settings than any relay reached here, since all relays were gone: its
    /// link, when it was last asked or answered, and the parts so far.
    recovery: Option<(LinkId, f64, Option<IncomingSet>)>,
    /// Since when a majority of relays is reached.
    quorum_since: Option<f64>,
    next_check_at: f64,
    shutting_down: bool,
    to_close: Vec<LinkId>,
    events: Vec<Event>,
    /// Counts for operators.
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
        let peers =
            others.into_iter().filter(|r| *r != identity.id).map(|r| (r, PeerRelay::new(now, &timing)));
        Relay {
            feed_origin: Origin { member: identity.id, life: identity.incarnation },
            peers: peers.collect(),
            identity,
            timing,
            member,
            ticked_at: None,
            paused_s: 0.0,
            links: BTreeMap::new(),
            next_link: 1,
            wake_queue: BTreeSet::new(),
            leaves: BTreeMap::new(),
            load_limit: LeafLimit::new(now, leaf_limit(0, 1, timing.max_load_ratio, timing.max_leaves)),
            names: BTreeMap::new(),
            topics: BTreeMap::new(),
            min_feed_version: 0,
            merged_revisions: BTreeMap::new(),
            in_force: Arc::default(),
            proposed: None,
            wanted: None,
            recovery: None,
            quorum_since: None,
            next_check_at: now,
            shutting_down: false,
            to_close: Vec::new(),
            events: Vec::new(),
            counts: Counts::default(),
        }
    }

    /// Applies relays, writer and times of a new configuration.
    pub fn reconfigure(&mut self, now: f64, identity: Identity, mesh: MeshSettings, timing: Timing) {
        let all: Vec<MemberId> = identity.relays.iter().map(|r| r.relay).collect();
        self.member.reconfigure(mesh, &all);
        let unlisted: Vec<LinkId> =
            (self.peers.iter()).filter(|(r, _)| !all.contains(r)).filter_map(|(_, p)| p.link).collect();
        unlisted.into_iter().for_each(|link| self.close_link(now, link));
        self.peers.retain(|r, _| all.contains(r));
        for relay in all.into_iter().filter(|r| *r != self.identity.id) {
            self.peers.entry(relay).or_insert_with(|| PeerRelay::new(now, &timing));
        }
        (self.timing, self.identity.relays, self.identity.writer) =
            (timing, identity.relays, identity.writer);
        if self.identity.writer != self.identity.id {
            self.wanted = None;
        }
    }

    /// The relay's identity.
    pub fn identity(&self) -> &Identity {
        &self.identity
    }

    /// This relay's membership in the mesh of relays.
    pub fn member(&self) -> &Member {
        &self.member
    }

    /// Whether this relay knows what the other relays knew when it met them, or has waited long enough for it.
    pub fn is_caught_up(&self) -> bool {
        self.member.is_caught_up()
    }

    /// Events for the log since the last call.
    pub fn take_events(&mut self) -> Vec<Event> {
        std::mem::take(&mut self.events)
    }

    fn record_event(&mut self, event: Event) {
        if self.events.len() < MAX_EVENTS {
            self.events.push(event);
        }
    }

    /// The leaves that are attached here, or were a moment ago.
    pub fn leaf_rows(&self, now: f64) -> Vec<LeafRow> {
        let row = |(leaf, a): (&MemberId, &AttachedLeaf)| LeafRow {
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

    /// The name of a leaf, as reported by it or by another relay.
    pub fn leaf_name(&self, leaf: MemberId) -> Option<&str> {
        self.names.get(&leaf).map(String::as_str).filter(|name| !name.is_empty())
    }

    fn learn_name(&mut self, leaf: MemberId, name: &str) {
        if self.names.len() >= 2 * self.timing.max_leaves + MAX_UNIDENTIFIED_LINKS {
            let (leaves, links) = (&self.leaves, &self.links);
            let linked =
                |m: &MemberId| links.values().any(|l| matches!(l.peer, LinkPeer::Leaf(of, ..) if of == *m));
            self.names.retain(|m, _| leaves.contains_key(m) || linked(m));
        }
        self.names.insert(leaf, truncate(name, MAX_NAME_BYTES));
    }

    /// The number of attached leaves.
    pub fn attached_count(&self) -> usize {
        self.leaves.values().filter(|a| a.link.is_some()).count()
    }

    /// What is known of a leaf of a topic over all relays.
    pub fn leaf_fact(&self, topic: Topic, leaf: MemberId) -> Option<LeafFact> {
        self.merged_leaf_fact(topic, leaf).map(|(_, fact)| fact)
    }

    /// The feeds of a topic that has leaves here: servers, leaves.
    pub fn feeds(&self, topic: Topic) -> Option<(&Stream, &Stream)> {
        self.topics.get(&topic).map(|t| (&t.servers, &t.leaves))
    }
}

impl Node for Relay {
    fn links_to_open(&mut self, now: f64) -> Vec<(LinkId, MemberId)> {
        if self.shutting_down || self.member.view().superseded() {
            return Vec::new();
        }
        if self.peers.values().all(|p| p.link.is_some()) {
            return Vec::new();
        }
        let own = self.identity.id;
        let pending: BTreeSet<MemberId> = self
            .links
            .values()
            .filter_map(|l| if let LinkPeer::Relay(r, _) = l.peer { Some(r) } else { None })
            .collect();
        let due: Vec<MemberId> = (self.peers.iter())
            .filter(|(relay, p)| {
                let delay_s = if own < **relay { 0.0 } else { HIGHER_ID_DIAL_DELAY_S };
                p.link.is_none() && !pending.contains(relay) && now >= p.next_dial_at + delay_s
            })
            .map(|(relay, _)| *relay)
            .collect();
        let mut made = Vec::new();
        for relay in due {
            if let Some(peer) = self.peers.get_mut(&relay) {
                peer.next_dial_at = now + peer.backoff_s;
            }
            made.push((self.new_link(now, LinkPeer::Relay(relay, false), true), relay));
        }
        made
    }

    fn accept_link(&mut self, now: f64) -> LinkId {
        let strangers = self.links.iter().filter(|(_, l)| l.peer == LinkPeer::Unidentified);
        let oldest = strangers.clone().map(|(id, _)| *id).next();
        if let Some(oldest) = oldest.filter(|_| strangers.count() >= MAX_UNIDENTIFIED_LINKS) {
            self.close_link(now, oldest);
        }
        self.new_link(now, LinkPeer::Unidentified, false)
    }

    fn link_up(&mut self, now: f64, id: LinkId) {
        let Some(link) = self.links.get_mut(&id) else { return };
        (link.up, link.since, link.last_heard_at) = (true, now, now);
        if let LinkPeer::Relay(relay, _) = link.peer {
            let hello = Message::Mesh(self.member.hello(now, relay));
            self.queue(now, id, hello);
        }
    }

    fn link_down(&mut self, now: f64, id: LinkId, refused: bool) {
        self.remove_link(now, id, refused);
        self.apply_membership_changes(now);
    }

    fn receive(&mut self, now: f64, id: LinkId, message: &Message) -> Result<(), LinkError> {
        let Some(link) = self.links.get_mut(&id) else { return Ok(()) };
        let gap = now - std::mem::replace(&mut link.last_heard_at, now);
        if gap >= self.timing.answer_overdue_s && link.servers != Cursor::from_start() {
            link.delayed = (now + DELAYED_BATCH_S, gap);
        }
        if let Message::Unknown(_) = message {
            self.counts.unknown += 1;
            return Ok(());
        }
        match (link.peer.clone(), message) {
            (LinkPeer::Unidentified, Message::Hello(hello)) => self.handle_hello(now, id, hello),
            (LinkPeer::Unidentified | LinkPeer::Relay(_, false), Message::Mesh(message)) => {
                self.handle_mesh_hello(now, id, message)
            }
            (LinkPeer::Unidentified | LinkPeer::Relay(_, false), _) => Err(LinkError::OutOfPlace),
            (LinkPeer::Leaf(leaf, incarnation, topic), message) => {
                self.handle_leaf_message(now, id, (leaf, incarnation, topic), message)
            }
            (LinkPeer::Relay(relay, true), message) => self.handle_relay_message(now, relay, message),
        }
    }

    fn links_to_serve(&mut self, now: f64) -> Vec<LinkId> {
        let up_to = micros(now);
        let mut due = Vec::new();
        while let Some((at, id)) = self.wake_queue.first().copied().filter(|(at, _)| *at <= up_to) {
            self.wake_queue.remove(&(at, id));
            if let Some(link) = self.links.get_mut(&id) {
                link.wake_at = None;
                if link.up {
                    due.push(id);
                }
            }
        }
        due
    }

    fn next_message(&mut self, now: f64, id: LinkId) -> Option<Message> {
        let link = self.links.get_mut(&id).filter(|l| l.up)?;
        let queued = link.queued.pop_front();
        let peer = link.peer.clone();
        let message = match (queued, &peer) {
            (Some(message), _) => Some(message),
            (None, LinkPeer::Relay(relay, true)) => self.next_message_to_relay(now, *relay),
            (None, LinkPeer::Leaf(leaf, _, topic)) => {
                let attached = self.leaves.get(leaf).is_some_and(|a| a.link == Some(id));
                if attached {
                    self.next_message_to_leaf(now, id, *topic)
                } else {
                    None
                }
            }
            _ => None,
        };
        let Some(message) = message else {
            match peer {
                LinkPeer::Relay(_, true) => self.wake_link_at(id, now + MESH_POLL_INTERVAL_S),
                LinkPeer::Leaf(leaf, ..) if self.leaves.get(&leaf).is_some_and(|a| a.link == Some(id)) => {
                    let link = self.links.get_mut(&id)?;
                    let at = if link.budget.can_send(now) {
                        link.next_digest_at
                    } else {
                        link.budget.can_send_at()
                    };
                    self.wake_link_at(id, at.max(now + 1e-3));
                }
                _ => {}
            }
            return None;
        };
        if matches!(peer, LinkPeer::Leaf(..)) {
            let bytes = message.encode(&mut Vec::new());
            if let Some(link) = self.links.get_mut(&id) {
                link.budget.spend(now, bytes);
            }
        }
        Some(message)
    }

    fn link_writable(&mut self, now: f64, id: LinkId) {
        self.wake_link_at(id, now);
    }

    fn links_to_close(&mut self) -> Vec<LinkId> {
        std::mem::take(&mut self.to_close)
    }

    fn tick(&mut self, now: f64) {
        let gap = self.ticked_at.map_or(0.0, |last| now - last);
        self.ticked_at = Some(now);
        self.paused_s = if gap >= PAUSE_THRESHOLD_S { gap } else { 0.0 };
        if gap >= PAUSE_THRESHOLD_S {
            for link in self.links.values_mut() {
                (link.last_heard_at, link.since) = (now, now);
            }
            for a in self.leaves.values_mut().filter(|a| a.presence == Presence::Closed) {
                a.since = now;
            }
        }
        self.member.tick(now);
        self.apply_membership_changes(now);
        if now >= self.next_check_at {
            self.next_check_at = now + CHECK_INTERVAL_S;
            self.check_leaves(now);
            self.decide_proposal(now);
        }
    }

    fn next_tick_at(&self) -> f64 {
        let wake = self.wake_queue.first().map_or(f64::INFINITY, |(at, _)| *at as f64 / 1e6 + 1e-6);
        let dials = self.peers.values().filter(|p| p.link.is_none()).map(|p| p.next_dial_at);
        let dial = dials.fold(f64::INFINITY, f64::min).max(self.ticked_at.unwrap_or(0.0) + 0.01);
        let latest = self.ticked_at.unwrap_or(0.0) + 0.05;
        wake.min(dial).min(self.next_check_at).min(latest)
    }
}
