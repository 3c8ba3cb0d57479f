//! A relay: its leaves, the other relays, the feeds, the settings.
//!
//! The other relays are known in full, by the ways of a small fleet ([`Member`]): beats, streams, digests. What the leaves of a
//! topic say is joined and written into the relay's own stream; what all relays' streams say of a topic is joined into its
//! feeds. A change of one record costs a join over the leaves of its topic here, and one over the relays.
//!
//! The settings have one writer. It stores a change as proposed, tells it to the others, and the change is in force once a
//! majority of all relays has stored it: whatever the writer does next, it learns of it from any majority. So a change that
//! was in force stays so through the loss of any minority, the writer among them, and a writer without a majority refuses.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use hollypaddle_membership::view::{Change, State};
use hollypaddle_membership::{Life, MemberId};
use hollypaddle_replica::member::{self, Member};
use hollypaddle_replica::record::{join_servers, Key, LeafFact, Origin, Presence, ServerKey, Topic, Value};
use hollypaddle_replica::stream::Stream;
use hollypaddle_replica::{Settings as MeshSettings, Word};

use crate::budget::Budget;
use crate::copying::{Copy, Cursor, NotTaken};
use crate::message::{
    cut, Attach, Copied, Digest, Feed, Hello, Message, Refusal, NAME, PROTOCOL, PROTOCOL_LEAST, REASON,
};
use crate::placement::{chance, limit, RelayPlace};
use crate::settings::{Incoming, Mark, Outgoing, PartError, Set, SetError};
use crate::share::Share;
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
    pub own: MemberId,
    /// In which life.
    pub life: Life,
    /// All relays, the own one among them.
    pub relays: Vec<RelayPlace>,
    /// The one that changes the settings of the fleet.
    pub writer: MemberId,
}

/// What is to be told to the staff.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// Of the other relays.
    Mesh(member::Event),
    /// A leaf is found otherwise than before.
    Leaf(MemberId, Presence),
    /// A leaf was refused.
    Refused(MemberId, Refusal),
    /// A change of the settings is proposed.
    Proposed(Mark),
    /// A change is in force: a majority of relays has stored it.
    InForce(Mark),
    /// A change has not been stored by a majority in time: it comes in force when one has, or a later one does.
    Undecided(Mark),
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
        "{heard} of {all} relays are heard here, the own one counted, and a change needs a majority: nothing was changed; mend \
         the links between relays or regions, then send SIGHUP again"
    )]
    NoMajority {
        /// Relays that are heard, the own one counted.
        heard: usize,
        /// All.
        all: usize,
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
    Leaf(MemberId, Life, Topic),
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
    budget: Budget,
    servers: Cursor,
    leaves: Cursor,
    settings: Mark,
    outgoing: Option<Outgoing>,
    next_digest: f64,
    /// What comes until then may have been on its way for so long.
    late: (f64, f64),
}

/// A leaf that is, or was a moment ago, attached here.
#[derive(Debug)]
struct Attached {
    life: Life,
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
    copy: Copy,
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
    holds: Option<(Mark, Mark)>,
    /// What it was told that is held here, and when.
    told: Option<((Mark, Mark), f64)>,
    outgoing: Option<(bool, Outgoing)>,
    pushed: Option<(Mark, f64)>,
    incoming: [Option<Incoming>; 2],
    want_at: f64,
    turned_down: VecDeque<(MemberId, u64, String)>,
}

impl Peer {
    fn new(now: f64, timing: &Timing) -> Peer {
        Peer {
            link: None,
            next_dial: now,
            pause: timing.dial,
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
    pub since: f64,
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
    share: Share,
    /// Their names, and those of leaves that turned a change down elsewhere, for operators.
    names: BTreeMap<MemberId, String>,
    topics: BTreeMap<Topic, TopicFeeds>,
    /// A feed that begins now begins above this, so that no version means two things.
    floor: u64,
    peers: BTreeMap<MemberId, Peer>,
    /// Up to which version, and with which hash, each stream's changes are in the feeds.
    absorbed: BTreeMap<Origin, (u64, u64)>,
    in_force: Arc<Set>,
    proposed: Option<(Arc<Set>, f64, bool)>,
    /// The entries that were proposed here last: what the writer of the fleet's settings wants them to be.
    wanted: Option<Vec<(String, String)>>,
    /// A leaf that holds later settings than any relay that is heard here, as all relays were gone: since when it is asked.
    recovery: Option<(LinkId, f64, Option<Incoming>)>,
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
        let member = Member::new(now, identity.own, identity.life, mesh, others.iter().copied());
        let peers = others.into_iter().filter(|r| *r != identity.own).map(|r| (r, Peer::new(now, &timing)));
        Relay {
            feed: Origin { member: identity.own, life: identity.life },
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
            share: Share::new(now, limit(0, 1, timing.bound, timing.leaves)),
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
    pub fn change(&mut self, now: f64, identity: Identity, mesh: MeshSettings, timing: Timing) {
        let all: Vec<MemberId> = identity.relays.iter().map(|r| r.relay).collect();
        self.member.change(mesh, &all);
        let none: Vec<LinkId> =
            (self.peers.iter()).filter(|(r, _)| !all.contains(r)).filter_map(|(_, p)| p.link).collect();
        none.into_iter().for_each(|link| self.close(now, link));
        self.peers.retain(|r, _| all.contains(r));
        for relay in all.into_iter().filter(|r| *r != self.identity.own) {
            self.peers.entry(relay).or_insert_with(|| Peer::new(now, &timing));
        }
        (self.timing, self.identity.relays, self.identity.writer) =
            (timing, identity.relays, identity.writer);
        if self.identity.writer != self.identity.own {
            self.wanted = None;
        }
    }

    /// Who it is.
    pub fn identity(&self) -> &Identity {
        &self.identity
    }

    /// The other relays, as a member of a small fleet knows them.
    pub fn mesh(&self) -> &Member {
        &self.member
    }

    /// Whether it knows what the other relays knew when it met them, or has waited for that long enough.
    pub fn ready(&self) -> bool {
        self.member.ready()
    }

    /// What is to be told to the staff since this was last asked.
    pub fn events(&mut self) -> Vec<Event> {
        std::mem::take(&mut self.events)
    }

    fn tell(&mut self, event: Event) {
        if self.events.len() < MOST_EVENTS {
            self.events.push(event);
        }
    }

    /// The leaves that are, or were a moment ago, attached here.
    pub fn rows(&self, now: f64) -> Vec<LeafRow> {
        let row = |(leaf, a): (&MemberId, &Attached)| LeafRow {
            leaf: *leaf,
            topic: a.topic,
            presence: a.presence,
            since: now - a.since,
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
        if self.names.len() >= 2 * self.timing.leaves + STRANGERS {
            let (leaves, links) = (&self.leaves, &self.links);
            let linked =
                |m: &MemberId| links.values().any(|l| matches!(l.who, Who::Leaf(of, ..) if of == *m));
            self.names.retain(|m, _| leaves.contains_key(m) || linked(m));
        }
        self.names.insert(leaf, cut(name, NAME));
    }

    /// Leaves that are attached.
    pub fn attached(&self) -> usize {
        self.leaves.values().filter(|a| a.link.is_some()).count()
    }

    /// What is known of a leaf of a topic over all relays.
    pub fn leaf(&self, topic: Topic, leaf: MemberId) -> Option<LeafFact> {
        self.join_leaf(topic, leaf).map(|(_, fact)| fact)
    }

    /// The feeds of a topic that has leaves here: servers, leaves.
    pub fn feeds(&self, topic: Topic) -> Option<(&Stream, &Stream)> {
        self.topics.get(&topic).map(|t| (&t.servers, &t.leaves))
    }

    // ---- Settings

    /// The settings in force, as far as is known here.
    pub fn settings(&self) -> &Arc<Set> {
        &self.in_force
    }

    /// A change that is stored here and not in force yet.
    pub fn proposed(&self) -> Option<Mark> {
        self.proposed.as_ref().map(|(set, ..)| set.mark())
    }

    fn marks(&self) -> (Mark, Mark) {
        (self.in_force.mark(), self.proposed().unwrap_or_default())
    }

    /// Relays that are heard and hear this one, and have said on this link which settings they hold, the own one counted.
    fn heard(&self, now: f64) -> usize {
        let mutual = self.mutual(now);
        1 + self.peers.iter().filter(|(m, p)| p.holds.is_some() && mutual.contains(m)).count()
    }

    /// The other relays that are heard and hear this one: with a way that is cut one way nothing can be asked for.
    fn mutual(&self, now: f64) -> BTreeSet<MemberId> {
        let rows = self.member.view().snapshot(now);
        rows.into_iter()
            .filter(|r| r.state == State::Alive && r.linked && !r.deaf)
            .map(|r| r.member)
            .collect()
    }

    /// Proposes that the fleet's settings are just these entries. It is in force, and [`Event::InForce`] says so, once a
    /// majority of relays has stored it; the mark that it will have is returned. Settings that are in force already are
    /// their own mark.
    pub fn propose(&mut self, now: f64, wanted: &[(String, String)]) -> Result<Mark, SettingsError> {
        if self.identity.writer != self.identity.own {
            return Err(SettingsError::NotWriter);
        }
        let (heard, all) = (self.heard(now), self.peers.len() + 1);
        if 2 * heard <= all {
            return Err(SettingsError::NoMajority { heard, all });
        }
        if !self.member.ready() {
            return Err(SettingsError::CatchingUp);
        }
        let mark = self.propose_on(now, wanted)?;
        self.wanted = Some(wanted.to_vec());
        self.decide(now);
        Ok(mark)
    }

    /// Proposes these entries under a version above all that any relay is known to hold.
    fn propose_on(&mut self, now: f64, wanted: &[(String, String)]) -> Result<Mark, SetError> {
        let base =
            self.proposed.as_ref().map_or_else(|| Arc::clone(&self.in_force), |(set, ..)| Arc::clone(set));
        let held = self.peers.values().filter_map(|p| p.holds).map(|(a, b)| a.version.max(b.version));
        let latest = held.max().unwrap_or(0).max(self.in_force.mark().version);
        let set = base.changed(latest, wanted)?;
        let mark = set.mark();
        if mark != base.mark() {
            self.proposed = Some((Arc::new(set), now, false));
            self.tell(Event::Proposed(mark));
        }
        Ok(mark)
    }

    /// What the writer wants is proposed anew where other settings came in force, or where a relay holds others under the
    /// version of the proposal: an earlier life of the writer left them, and they are older.
    fn renew(&mut self, now: f64) {
        let Some(wanted) = self.wanted.take() else { return };
        if let Some((set, ..)) = &self.proposed {
            let mark = set.mark();
            let other = |m: Mark| m.version >= mark.version && m != mark;
            let holds = self.peers.values().filter_map(|p| p.holds);
            if holds.into_iter().any(|(force, prop)| other(force) || other(prop)) {
                self.proposed = None;
            }
        }
        if self.proposed.is_none() {
            // It fitted when it was proposed first.
            _ = self.propose_on(now, &wanted);
        }
        self.wanted = Some(wanted);
    }

    /// Takes a change in force that a majority has stored; tells it to those that have not.
    fn decide(&mut self, now: f64) {
        if self.identity.writer != self.identity.own {
            return;
        }
        self.renew(now);
        let Some((set, since, told)) = self.proposed.clone() else { return };
        let mark = set.mark();
        let stored = |p: &Peer| p.holds.is_some_and(|(force, prop)| prop == mark || force == mark);
        let count = 1 + self.peers.values().filter(|p| stored(p)).count();
        if 2 * count > self.peers.len() + 1 {
            return self.take(now, set);
        }
        if now - since >= self.timing.undecided && !told {
            self.proposed = Some((Arc::clone(&set), since, true));
            self.tell(Event::Undecided(mark));
        }
        let mut woken = Vec::new();
        for peer in self.peers.values_mut() {
            let Some((force, prop)) = peer.holds else { continue };
            let lately = peer.pushed.is_some_and(|(of, at)| of == mark && now - at < PUSH);
            if prop == mark || force.version >= mark.version || lately {
                continue;
            }
            peer.pushed = Some((mark, now));
            peer.outgoing = Some((true, Outgoing::new(Arc::clone(&set), force)));
            woken.extend(peer.link);
        }
        woken.into_iter().for_each(|link| self.wake(link, now));
    }

    /// Settings are in force.
    fn take(&mut self, now: f64, set: Arc<Set>) {
        // Of two of one version, which two lives of a writer can make, the greater hash counts, so that all agree.
        if set.mark() <= self.in_force.mark() {
            return;
        }
        self.in_force = set;
        let version = self.in_force.mark().version;
        if self.proposed.as_ref().is_some_and(|(set, ..)| set.mark().version <= version) {
            self.proposed = None;
        }
        self.tell(Event::InForce(self.in_force.mark()));
        let all: Vec<LinkId> = self.links.keys().copied().collect();
        all.into_iter().for_each(|link| self.wake(link, now));
    }

    fn holds(&mut self, now: f64, from: MemberId, force: Mark, prop: Mark) {
        let Some(peer) = self.peers.get_mut(&from) else { return };
        peer.holds = Some((force, prop));
        let mine = self.in_force.mark();
        let stored = self.proposed.clone().map(|(set, ..)| set);
        if force > mine {
            match stored.filter(|set| set.mark() == force) {
                Some(set) => self.take(now, set),
                None => self.want(now, from, false, mine),
            }
        }
        // A writer that started anew finishes what an earlier life began: a majority may have stored it.
        let newest = self.proposed().unwrap_or_default().version.max(self.in_force.mark().version);
        if self.identity.writer == self.identity.own && prop.version > newest {
            self.want(now, from, true, self.in_force.mark());
        }
        self.decide(now);
    }

    fn want(&mut self, now: f64, from: MemberId, proposed: bool, held: Mark) {
        let Some(peer) = self.peers.get_mut(&from).filter(|p| now - p.want_at >= HOLDS / 2.0) else { return };
        peer.want_at = now;
        if let Some(link) = peer.link {
            self.queue(now, link, Message::Want { proposed, held });
        }
    }

    fn part(
        &mut self,
        now: f64,
        from: MemberId,
        proposed: bool,
        part: &crate::settings::Part,
    ) -> Result<(), LinkError> {
        // The writer itself hears a proposal from others only as it asked for what an earlier life of it left.
        if proposed && from != self.identity.writer && self.identity.own != self.identity.writer {
            self.tell(Event::SecondWriter(from));
            return Ok(());
        }
        let known = match proposed {
            true => {
                part.upto.version
                    <= self.proposed().unwrap_or_default().version.max(self.in_force.mark().version)
            }
            false => part.upto <= self.in_force.mark(),
        };
        if known {
            return Ok(());
        }
        let Some(peer) = self.peers.get_mut(&from) else { return Ok(()) };
        match Incoming::take(&self.in_force, &mut peer.incoming[usize::from(proposed)], part) {
            Ok(None) => {}
            Ok(Some(set)) if proposed => {
                self.proposed = Some((Arc::new(set), now, false));
                self.wake_relays(now);
                self.decide(now);
            }
            Ok(Some(set)) => self.take(now, Arc::new(set)),
            Err(PartError::Gap) => self.want(now, from, proposed, self.in_force.mark()),
            Err(PartError::Differs) => self.want(now, from, proposed, Mark::default()),
            Err(PartError::TooMuch) => {
                return Err(LinkError::Malformed("settings of more entries than may be"))
            }
        }
        Ok(())
    }

    // ---- Links

    fn new_link(&mut self, now: f64, who: Who, dialed: bool) -> LinkId {
        let id = LinkId(self.next_link);
        self.next_link += 1;
        let link = Link {
            who,
            dialed,
            up: !dialed,
            since: now,
            heard_at: now,
            waiting: VecDeque::new(),
            wake: None,
            budget: Budget::new(now, self.timing.leaf_rate, self.timing.burst),
            servers: Cursor::whole(),
            leaves: Cursor::whole(),
            settings: Mark::default(),
            outgoing: None,
            next_digest: now,
            late: (f64::NEG_INFINITY, 0.0),
        };
        self.links.insert(id, link);
        id
    }

    fn wake(&mut self, id: LinkId, at: f64) {
        let Some(link) = self.links.get_mut(&id) else { return };
        let at = micros(at);
        if link.wake.is_some_and(|old| old <= at) {
            return;
        }
        if let Some(old) = link.wake.replace(at) {
            self.wakes.remove(&(old, id));
        }
        self.wakes.insert((at, id));
    }

    fn wake_relays(&mut self, now: f64) {
        let all: Vec<LinkId> = self.peers.values().filter_map(|p| p.link).collect();
        all.into_iter().for_each(|link| self.wake(link, now));
    }

    fn queue(&mut self, now: f64, id: LinkId, message: Message) {
        if let Some(link) = self.links.get_mut(&id) {
            if link.waiting.len() < WAITING {
                link.waiting.push_back(message);
            }
        }
        self.wake(id, now);
    }

    /// Forgets a link.
    fn gone(&mut self, now: f64, id: LinkId, refused: bool) {
        let Some(link) = self.links.remove(&id) else { return };
        if let Some(at) = link.wake {
            self.wakes.remove(&(at, id));
        }
        match link.who {
            Who::Stranger => {}
            Who::Leaf(leaf, ..) => {
                if let Some(a) = self.leaves.get_mut(&leaf).filter(|a| a.link == Some(id)) {
                    a.link = None;
                    self.found(now, leaf, Presence::Closed);
                }
            }
            Who::Relay(relay, _) => {
                let timing = self.timing;
                let Some(peer) = self.peers.get_mut(&relay) else { return };
                if refused {
                    self.member.refused(now, relay);
                }
                if peer.link == Some(id) || peer.link.is_none() {
                    // That an address refuses links is to be known soon; anything else is tried more and more seldom.
                    peer.pause = if refused || link.up {
                        timing.dial
                    } else {
                        (peer.pause * 2.0).min(timing.dial_most / 2.0)
                    };
                    peer.next_dial = now + peer.pause;
                }
                if peer.link == Some(id) {
                    (peer.link, peer.holds, peer.told) = (None, None, None);
                    (peer.outgoing, peer.pushed, peer.incoming) = (None, None, [None, None]);
                    self.member.unlinked(relay);
                }
            }
        }
    }

    fn close(&mut self, now: f64, id: LinkId) {
        if self.links.contains_key(&id) {
            self.closes.push(id);
            self.gone(now, id, false);
        }
    }

    // ---- Leaves

    fn hello(&mut self, now: f64, id: LinkId, hello: &Hello) -> Result<(), LinkError> {
        let (least, most) = hello.protocol;
        if least > PROTOCOL || most < PROTOCOL_LEAST {
            return Err(LinkError::Protocol { least, most });
        }
        if hello.to != self.identity.own {
            return Err(LinkError::NotForUs);
        }
        let leaf = hello.from;
        if self.identity.relays.iter().any(|r| r.relay == leaf) {
            return Err(LinkError::OutOfPlace);
        }
        let later = |life: &Life| *life > hello.life;
        let linked = |l: &Link| matches!(&l.who, Who::Leaf(m, life, _) if *m == leaf && later(life));
        // One whose clock was set back comes with an earlier life than its last, which nobody lives any more.
        if self.links.values().any(linked) {
            return Err(LinkError::StaleLife);
        }
        let leaves = self.links.values().filter(|l| matches!(l.who, Who::Leaf(..))).count();
        // Each leaf has one link here, its own relay's or its second choice's.
        if leaves >= 2 * self.timing.leaves + STRANGERS {
            return Err(LinkError::Full);
        }
        let of = |l: &Link| matches!(l.who, Who::Leaf(m, ..) if m == leaf);
        let old: Vec<LinkId> = self.links.iter().filter(|(_, l)| of(l)).map(|(id, _)| *id).collect();
        old.into_iter().for_each(|old| self.close(now, old));
        if let Some(link) = self.links.get_mut(&id) {
            link.who = Who::Leaf(leaf, hello.life, hello.topic);
        }
        self.learn_name(leaf, &hello.name);
        let welcome = Message::Welcome { relay: self.identity.own, life: self.identity.life };
        self.queue(now, id, welcome);
        Ok(())
    }

    /// How many leaves this relay may have now.
    pub fn limit(&self) -> usize {
        self.share.limit().min(self.timing.leaves)
    }

    /// Up to how many leaves this relay takes further ones now: what it may have as soon as leaves had time to go home.
    pub fn takes(&self) -> usize {
        let all = Key::Leaf(Topic(0), MemberId(0))..=Key::Leaf(Topic(u32::MAX), MemberId(u64::MAX));
        let streams = self.member.store().streams().filter(|(origin, _)| self.counted(origin));
        let said = streams.flat_map(|(_, stream)| stream.range(all.clone()));
        // Who moves is told of by two relays for a while, and who is gone by one.
        let there: BTreeSet<MemberId> = said
            .filter_map(|(key, _, value)| match (key, value) {
                (Key::Leaf(_, leaf), Value::Leaf(fact)) => {
                    (!matches!(fact.presence, Presence::Gone | Presence::Left)).then_some(leaf)
                }
                _ => None,
            })
            .collect();
        let all = there.len();
        let alive = |m: &MemberId| matches!(self.member.view().state(*m), State::Alive);
        let relays = 1 + self.peers.keys().filter(|m| alive(m)).count();
        limit(all, relays, self.timing.bound, self.timing.leaves)
    }

    fn refuse(&mut self, now: f64, id: LinkId, leaf: MemberId, why: Refusal, seconds: f64) {
        self.counts.refused += 1;
        self.queue(now, id, Message::Refused(why, (seconds * 1000.0) as u32));
        self.tell(Event::Refused(leaf, why));
    }

    fn attach(&mut self, now: f64, id: LinkId, leaf: MemberId, life: Life, topic: Topic, attach: &Attach) {
        let known = self.leaves.get(&leaf);
        let again = known.is_some_and(|a| a.link == Some(id) && a.life == life && a.moves == attach.moves);
        if !again {
            if self.ending {
                return self.refuse(now, id, leaf, Refusal::Shedding, self.timing.retry);
            }
            if !self.member.ready() {
                return self.refuse(now, id, leaf, Refusal::CatchingUp, CATCHING_UP);
            }
            let here = known.is_some_and(|a| a.link.is_some());
            let topics = !self.topics.contains_key(&topic) && self.topics.len() >= TOPICS;
            let takes = self.takes();
            self.share.rise(takes);
            if !here && self.attached() >= takes || topics {
                // Where its share is reached, another relay has room, or this one does once it hears of more leaves.
                let most = self.attached() >= self.timing.leaves || topics;
                let retry = if most { self.timing.retry } else { self.timing.retry.min(SHARED) };
                let retry = retry * (0.5 + chance(leaf, u64::from(attach.moves)));
                return self.refuse(now, id, leaf, Refusal::Full, retry);
            }
            if known.is_some_and(|a| a.topic != topic) {
                self.forget(now, leaf);
            }
        }
        let old = self.leaves.remove(&leaf).filter(|a| a.life == life);
        let copy = old.map(|a| a.copy).unwrap_or_default();
        let held = copy.copied().map_or(0, |c| c.version);
        let (presence, in_force) = (Presence::Here, attach.in_force);
        self.leaves.insert(
            leaf,
            Attached {
                life,
                topic,
                moves: attach.moves,
                link: Some(id),
                presence,
                since: now,
                moved: false,
                stale: false,
                copy,
                in_force,
                turned_down: None,
            },
        );
        self.counts.attached += u64::from(!again);
        self.open_topic(now, topic);
        let feed = self.feed;
        if let Some(feeds) = self.topics.get_mut(&topic) {
            feeds.members.insert(leaf);
            if let Some(link) = self.links.get_mut(&id) {
                link.servers = Cursor::at(feed, &feeds.servers, attach.servers);
                link.leaves = Cursor::at(feed, &feeds.leaves, attach.leaves);
                (link.settings, link.outgoing) = (attach.settings, None);
                // Spread over the time between two.
                link.next_digest = now + self.timing.digest * (0.5 + 0.5 * chance(leaf, id.0));
            }
        }
        self.publish(now, leaf);
        self.recount(now, leaf);
        self.queue(now, id, Message::Attached(held));
    }

    /// Begins the feeds of a topic, from what all relays say of it.
    fn open_topic(&mut self, now: f64, topic: Topic) {
        if self.topics.contains_key(&topic) {
            return;
        }
        let mut feeds = TopicFeeds::default();
        feeds.servers.reaches(self.floor, self.floor);
        feeds.leaves.reaches(self.floor, self.floor);
        self.topics.insert(topic, feeds);
        for key in self.keys_of(topic) {
            self.refresh(now, &key);
        }
    }

    fn keys_of(&self, topic: Topic) -> BTreeSet<Key> {
        let servers = Key::TopicServer(topic, ServerKey(0))..=Key::TopicServer(topic, ServerKey(u64::MAX));
        let silent = Key::TopicSilent(topic, ServerKey(0))..=Key::TopicSilent(topic, ServerKey(u64::MAX));
        let leaves = Key::Leaf(topic, MemberId(0))..=Key::Leaf(topic, MemberId(u64::MAX));
        let mut keys = BTreeSet::new();
        for (_, stream) in self.member.store().streams() {
            for range in [&servers, &silent, &leaves] {
                keys.extend(stream.range(range.clone()).map(|(key, ..)| key));
            }
        }
        keys
    }

    /// Writes how a leaf is found.
    fn publish(&mut self, now: f64, leaf: MemberId) {
        let Some(a) = self.leaves.get(&leaf) else { return };
        let fact = LeafFact { life: a.life, moves: a.moves, presence: a.presence };
        self.member.publish(now, Key::Leaf(a.topic, leaf), Some(Value::Leaf(fact)));
        self.wake_relays(now);
    }

    fn found(&mut self, now: f64, leaf: MemberId, presence: Presence) {
        let Some(a) = self.leaves.get_mut(&leaf).filter(|a| a.presence != presence) else { return };
        (a.presence, a.since) = (presence, now);
        if a.moved {
            return;
        }
        self.counts.silent += u64::from(presence == Presence::Silent);
        self.counts.gone += u64::from(presence == Presence::Gone);
        self.publish(now, leaf);
        if matches!(presence, Presence::Gone | Presence::Left) {
            self.recount(now, leaf);
        }
        self.tell(Event::Leaf(leaf, presence));
    }

    /// A leaf is no longer this relay's to speak of.
    fn forget(&mut self, now: f64, leaf: MemberId) {
        let Some(a) = self.leaves.remove(&leaf) else { return };
        self.member.publish(now, Key::Leaf(a.topic, leaf), None);
        if let Some(feeds) = self.topics.get_mut(&a.topic) {
            feeds.members.remove(&leaf);
        }
        let keys: Vec<Key> = a.copy.stream().range(..).map(|(key, ..)| key).collect();
        self.aggregate(now, a.topic, &keys);
        if self.topics.get(&a.topic).is_some_and(|t| t.members.is_empty()) {
            if let Some(old) = self.topics.remove(&a.topic) {
                self.floor = self.floor.max(old.servers.version()).max(old.leaves.version()) + 1;
            }
        }
    }

    /// Joins anew what a leaf has said, as it counts or no longer counts.
    fn recount(&mut self, now: f64, leaf: MemberId) {
        let Some(a) = self.leaves.get(&leaf) else { return };
        let (topic, keys) = (a.topic, a.copy.stream().range(..).map(|(key, ..)| key).collect::<Vec<Key>>());
        self.aggregate(now, topic, &keys);
    }

    /// Joins what the leaves of a topic say about these keys of theirs, into the own stream.
    fn aggregate(&mut self, now: f64, topic: Topic, keys: &[Key]) {
        let members: Vec<MemberId> =
            self.topics.get(&topic).map_or(Vec::new(), |t| t.members.iter().copied().collect());
        let counts = |a: &&Attached| !a.stale && !matches!(a.presence, Presence::Gone | Presence::Left);
        for key in keys {
            let all = members.iter().filter_map(|m| self.leaves.get(m)).filter(counts);
            let said = all.filter_map(|a| a.copy.stream().get(key));
            let (key, joined) = match key {
                Key::Server(server) => (Key::TopicServer(topic, *server), join(said)),
                Key::Silent(server) => (Key::TopicSilent(topic, *server), join(said)),
                _ => continue,
            };
            match joined {
                Some((at, value)) => self.member.publish(at, key, Some(value)),
                None => self.member.publish(now, key, None),
            }
        }
        self.wake_relays(now);
    }

    // ---- Feeds

    /// Whether what a stream says counts: it is of its relay's present life, and that is not gone.
    fn counted(&self, origin: &Origin) -> bool {
        if origin.member == self.identity.own {
            return *origin == self.member.store().own();
        }
        let view = self.member.view();
        !matches!(view.state(origin.member), State::Gone(_))
            && view.life_of(origin.member).is_none_or(|life| life <= origin.life)
    }

    fn said<'a>(&'a self, key: &'a Key) -> impl Iterator<Item = (f64, Value)> + 'a {
        self.member.store().streams().filter(|(o, _)| self.counted(o)).filter_map(|(_, s)| s.get(key))
    }

    fn join_leaf(&self, topic: Topic, leaf: MemberId) -> Option<(f64, LeafFact)> {
        let key = Key::Leaf(topic, leaf);
        let all = self.said(&key).filter_map(|(at, value)| match value {
            Value::Leaf(fact) => Some((at, fact)),
            _ => None,
        });
        all.max_by_key(|(_, fact)| *fact)
    }

    /// Joins what all relays say about a key, into the feed of its topic.
    fn refresh(&mut self, now: f64, key: &Key) {
        let (topic, joined) = match key {
            Key::TopicServer(topic, _) | Key::TopicSilent(topic, _) => (*topic, join(self.said(key))),
            Key::Leaf(topic, leaf) => {
                (*topic, self.join_leaf(*topic, *leaf).map(|(at, fact)| (at, Value::Leaf(fact))))
            }
            _ => return,
        };
        let Some(feeds) = self.topics.get_mut(&topic) else { return };
        let feed = if matches!(key, Key::Leaf(..)) { &mut feeds.leaves } else { &mut feeds.servers };
        let (at, value) = joined.map_or((now, None), |(at, value)| (at, Some(value)));
        if feed.write(at, *key, value) {
            let links: Vec<LinkId> = feeds.members.iter().filter_map(|m| self.leaves.get(m)?.link).collect();
            links.into_iter().for_each(|link| self.wake(link, now));
        }
    }

    /// Takes over what changed in the relays' streams.
    fn absorb(&mut self, now: f64) {
        let (mut keys, mut all) = (BTreeSet::new(), false);
        let mut absorbed = BTreeMap::new();
        for (origin, stream) in self.member.store().streams() {
            let (version, hash) = (stream.version(), stream.hash());
            let (mut after, known) = self.absorbed.get(origin).copied().unwrap_or_default();
            absorbed.insert(*origin, (version, hash));
            if after == version && known == hash {
                continue;
            }
            // A whole stream has no tombstones of what an earlier copy had.
            all |= after > 0 && after < stream.horizon() || after >= version;
            while after < version {
                let (records, upto, last) = stream.piece(now, after);
                keys.extend(records.iter().map(|r| r.key));
                after = upto;
                if last {
                    break;
                }
            }
        }
        all |= self.absorbed.keys().any(|origin| !absorbed.contains_key(origin));
        self.absorbed = absorbed;
        match all {
            true => self.refresh_all(now),
            false => keys.iter().for_each(|key| self.refresh(now, key)),
        }
    }

    fn refresh_all(&mut self, now: f64) {
        let topics: Vec<Topic> = self.topics.keys().copied().collect();
        for topic in topics {
            let mut keys = self.keys_of(topic);
            if let Some(feeds) = self.topics.get(&topic) {
                keys.extend(feeds.servers.range(..).chain(feeds.leaves.range(..)).map(|(key, ..)| key));
            }
            keys.iter().for_each(|key| self.refresh(now, key));
        }
    }

    // ---- Time

    /// Takes over what the other relays' membership found.
    fn settle(&mut self, now: f64) {
        let mut anew = false;
        for event in self.member.events() {
            anew |= matches!(
                event,
                member::Event::Member(
                    Change::Gone(..) | Change::Returned(_) | Change::Restarted(..) | Change::Raised(_)
                )
            );
            self.tell(Event::Mesh(event));
        }
        // No calls are told among relays, so there is none to adopt.
        self.member.acts();
        if anew {
            self.refresh_all(now);
        }
        self.absorb(now);
    }

    /// Whether a leaf of this relay's is attached to another one by now.
    fn moved(&self, leaf: MemberId) -> bool {
        let Some(a) = self.leaves.get(&leaf) else { return false };
        a.moved || self.leaf(a.topic, leaf).is_some_and(|fact| (fact.life, fact.moves) > (a.life, a.moves))
    }

    fn look(&mut self, now: f64) {
        let t = self.timing;
        // A relay that hears no majority does not know who is attached elsewhere, and one that hears it again is told soon.
        let quorum = 2 * (1 + self.mutual(now).len()) > self.peers.len() + 1;
        self.quorum = quorum.then(|| self.quorum.unwrap_or(now));
        let certain = self.quorum.is_some_and(|since| now - since >= t.closed) && self.member.ready();
        let mut over = Vec::new();
        for (id, link) in &self.links {
            let silent = now - link.heard_at;
            let late = match &link.who {
                Who::Stranger | Who::Relay(_, false) => now - link.since >= t.greeting,
                Who::Relay(..) => false,
                Who::Leaf(leaf, ..) => {
                    let attached = self.leaves.get(leaf).is_some_and(|a| a.link == Some(*id));
                    silent >= if attached { t.gone } else { 3.0 * t.ping_second }
                }
            };
            if late {
                over.push((*id, link.who.clone()));
            }
        }
        for (id, who) in over {
            if let Who::Leaf(leaf, ..) = who {
                if let Some(a) = self.leaves.get_mut(&leaf).filter(|a| a.link == Some(id)) {
                    a.link = None;
                    let gone = certain && !self.moved(leaf);
                    self.found(now, leaf, if gone { Presence::Gone } else { Presence::Closed });
                }
            }
            self.close(now, id);
        }
        let mut finds = Vec::new();
        for (leaf, a) in &self.leaves {
            let silent = a.link.and_then(|l| self.links.get(&l)).map(|l| now - l.heard_at);
            let next = match (a.presence, silent) {
                (Presence::Here, Some(silent)) if silent >= t.silent => Presence::Silent,
                (Presence::Silent, Some(silent)) if silent < t.silent => Presence::Here,
                (Presence::Closed, None) if now - a.since >= t.closed => Presence::Gone,
                _ => continue,
            };
            finds.push((*leaf, next));
        }
        for (leaf, next) in finds {
            match next {
                Presence::Gone if self.moved(leaf) => self.forget(now, leaf),
                Presence::Gone if !certain => {
                    let fresh = self.leaves.get_mut(&leaf).filter(|a| !a.stale);
                    if fresh.map(|a| a.stale = true).is_some() {
                        self.recount(now, leaf);
                    }
                }
                next => self.found(now, leaf, next),
            }
        }
        let over =
            |a: &Attached| matches!(a.presence, Presence::Gone | Presence::Left) && now - a.since >= t.forget;
        let old: Vec<MemberId> = self.leaves.iter().filter(|(_, a)| over(a)).map(|(m, _)| *m).collect();
        old.into_iter().for_each(|leaf| self.forget(now, leaf));
        self.share.fall(now, self.takes(), 2.0 * t.home, 2.0 * LOOK);
        let shed = self.beyond_share();
        for (leaf, link) in shed {
            self.refuse(now, link, leaf, Refusal::Shedding, t.retry);
            if let Some(a) = self.leaves.get_mut(&leaf) {
                (a.link, a.moved) = (None, true);
                self.found(now, leaf, Presence::Closed);
            }
        }
        self.recover(now);
        (self.counts.leaves, self.counts.topics) = (self.attached() as u64, self.topics.len() as u64);
    }

    /// Leaves beyond the share, since that fell, or beyond what the file allows, since it was changed: the last to come, who
    /// are the least likely to be at home here, and not many at once.
    fn beyond_share(&self) -> Vec<(MemberId, LinkId)> {
        let excess = self.attached().saturating_sub(self.limit()).min(SHED);
        if excess == 0 {
            return Vec::new();
        }
        let linked = |(leaf, a): (&MemberId, &Attached)| Some((a.since, *leaf, a.link?));
        let mut leaves: Vec<(f64, MemberId, LinkId)> = self.leaves.iter().filter_map(linked).collect();
        leaves.sort_by(|a, b| b.0.total_cmp(&a.0));
        leaves.truncate(excess);
        leaves.into_iter().map(|(_, leaf, link)| (leaf, link)).collect()
    }

    /// Asks a leaf for settings that are later than those in force here: they were in force, and all relays that had stored
    /// them were gone.
    fn recover(&mut self, now: f64) {
        let asked = |(link, at, _): &(LinkId, f64, Option<Incoming>)| {
            self.links.contains_key(link) && now - at < GIVES
        };
        if self.recovery.as_ref().is_some_and(asked) {
            return;
        }
        // One that gave nothing in its time is passed over until it says anew what it holds.
        if let Some((silent, ..)) = self.recovery.take() {
            if let Some(link) = self.links.get_mut(&silent) {
                link.settings = link.settings.min(self.in_force.mark());
            }
        }
        let mine = self.in_force.mark();
        let attached = self.leaves.values().filter_map(|a| a.link);
        let later = attached.filter_map(|id| Some((self.links.get(&id)?.settings, id)));
        let Some((_, id)) = later.filter(|(mark, _)| *mark > mine).max() else { return };
        self.recovery = Some((id, now, None));
        self.queue(now, id, Message::Lacks(mine));
    }

    /// A part of settings that a leaf was asked for.
    fn recovered(&mut self, now: f64, id: LinkId, part: &crate::settings::Part) {
        let Some((link, at, incoming)) = self.recovery.as_mut().filter(|r| r.0 == id) else { return };
        debug_assert_eq!(*link, id);
        *at = now;
        match Incoming::take(&self.in_force, incoming, part) {
            Ok(None) => {}
            Ok(Some(set)) => {
                self.recovery = None;
                self.take(now, Arc::new(set));
                self.decide(now);
            }
            // It builds on others than are in force here by now, or is none: the whole, or somebody else.
            Err(PartError::Gap) => self.queue(now, id, Message::Lacks(Mark::default())),
            Err(PartError::Differs | PartError::TooMuch) => {
                self.recovery = None;
                if let Some(link) = self.links.get_mut(&id) {
                    link.settings = Mark::default();
                }
            }
        }
    }

    /// Ends: every leaf and relay is told, so that leaves go elsewhere at once. What is said after this is the end of each
    /// link.
    pub fn end(&mut self, now: f64) {
        self.ending = true;
        let all: Vec<(LinkId, bool)> =
            self.links.iter().map(|(id, l)| (*id, matches!(l.who, Who::Relay(_, true)))).collect();
        for (id, relay) in all {
            let message = if relay { Message::Mesh(Word::Leave) } else { Message::Leave };
            self.queue(now, id, message);
        }
    }

    // ---- Between relays

    fn greet(&mut self, now: f64, id: LinkId, word: &Word) -> Result<(), LinkError> {
        let Word::Hello { from, .. } = word else { return Err(LinkError::OutOfPlace) };
        let from = *from;
        let own = self.identity.own;
        // Both may have made a link in one moment: the one of the lower id's stays, at both ends.
        let by_lower = |dialed: bool| dialed == (own < from);
        let older = self.peers.get(&from).and_then(|p| self.links.get(&p.link?));
        let keeps = |old: &Link| by_lower(old.dialed) && now - old.heard_at < STALE;
        let Some(link) = self.links.get(&id) else { return Ok(()) };
        let dialed = link.dialed;
        if !by_lower(dialed) && older.is_some_and(keeps) {
            return Err(LinkError::SecondLink);
        }
        if let Who::Relay(to, _) = link.who {
            if to != from {
                return Err(LinkError::NotForUs);
            }
        }
        let greeted = self.member.greeted(now, word);
        // Whoever makes the link says hello first, and hears which life of it is known here also if it is refused.
        if !dialed && self.peers.contains_key(&from) {
            let hello = Message::Mesh(self.member.hello(now, from));
            self.queue(now, id, hello);
        }
        greeted?;
        if let Some(old) = self.peers.get(&from).and_then(|p| p.link).filter(|old| *old != id) {
            // The end of an earlier one was not heard. The new one is linked already, so the member hears nothing of it.
            if let Some(link) = self.links.remove(&old) {
                if let Some(at) = link.wake {
                    self.wakes.remove(&(at, old));
                }
                self.closes.push(old);
            }
        }
        if let Some(link) = self.links.get_mut(&id) {
            link.who = Who::Relay(from, true);
        }
        if let Some(peer) = self.peers.get_mut(&from) {
            (peer.link, peer.pause) = (Some(id), self.timing.dial);
            (peer.holds, peer.told, peer.outgoing, peer.pushed) = (None, None, None, None);
            peer.incoming = [None, None];
        }
        self.wake(id, now);
        Ok(())
    }

    fn say_to_relay(&mut self, now: f64, relay: MemberId) -> Option<Message> {
        let marks = self.marks();
        let peer = self.peers.get_mut(&relay)?;
        if peer.told.is_none_or(|(told, at)| told != marks || now - at >= HOLDS) {
            peer.told = Some((marks, now));
            return Some(Message::Holds { in_force: marks.0, proposed: marks.1 });
        }
        if let Some((proposed, outgoing)) = &mut peer.outgoing {
            let (proposed, part) = (*proposed, outgoing.part());
            if part.last {
                peer.outgoing = None;
            }
            return Some(Message::Settings { proposed, part });
        }
        if let Some((leaf, version, reason)) = peer.turned_down.pop_front() {
            let name = self.names.get(&leaf).cloned().unwrap_or_default();
            return Some(Message::TurnedDown { leaf, name, version, reason });
        }
        self.member.say(now, relay).map(Message::Mesh)
    }

    fn say_to_leaf(&mut self, now: f64, id: LinkId, topic: Topic) -> Option<Message> {
        let (feed, in_force) = (self.feed, Arc::clone(&self.in_force));
        let feeds = self.topics.get(&topic)?;
        let link = self.links.get_mut(&id)?;
        if !link.budget.open(now) {
            return None;
        }
        if link.servers.behind(&feeds.servers) {
            return Some(Message::Records(Feed::Servers, link.servers.piece(now, feed, &feeds.servers)));
        }
        if link.outgoing.is_none() && link.settings < in_force.mark() {
            link.outgoing = Some(Outgoing::new(in_force, link.settings));
        }
        if let Some(outgoing) = &mut link.outgoing {
            let part = outgoing.part();
            if part.last {
                (link.settings, link.outgoing) = (outgoing.mark(), None);
            }
            return Some(Message::Settings { proposed: false, part });
        }
        if link.leaves.behind(&feeds.leaves) {
            return Some(Message::Records(Feed::Leaves, link.leaves.piece(now, feed, &feeds.leaves)));
        }
        if now < link.next_digest {
            return None;
        }
        link.next_digest = now + self.timing.digest;
        let copied = |s: &Stream| Copied { origin: feed, version: s.version(), hash: s.hash() };
        let Who::Leaf(leaf, ..) = link.who else { return None };
        let own =
            self.leaves.get(&leaf).map_or((0, 0), |a| (a.copy.stream().version(), a.copy.stream().hash()));
        let (servers, leaves) = (copied(&feeds.servers), copied(&feeds.leaves));
        Some(Message::Digest(Digest { servers, leaves, own, settings: self.in_force.mark() }))
    }

    fn hear_leaf(
        &mut self,
        now: f64,
        id: LinkId,
        who: (MemberId, Life, Topic),
        message: &Message,
    ) -> Result<(), LinkError> {
        let (leaf, life, topic) = who;
        let attached = self.leaves.get(&leaf).is_some_and(|a| a.link == Some(id));
        if attached && self.leaves.get(&leaf).is_some_and(|a| a.presence == Presence::Silent) {
            self.found(now, leaf, Presence::Here);
        }
        match message {
            Message::Ping(number) => self.queue(now, id, Message::Pong(*number)),
            Message::Attach(attach) => self.attach(now, id, leaf, life, topic, attach),
            Message::Leave => {
                if let Some(a) = self.leaves.get_mut(&leaf).filter(|_| attached) {
                    a.link = None;
                    self.found(now, leaf, Presence::Left);
                }
                self.close(now, id);
            }
            _ if !attached => {}
            Message::Detach => {
                if let Some(a) = self.leaves.get_mut(&leaf) {
                    (a.link, a.moved) = (None, true);
                    self.found(now, leaf, Presence::Closed);
                }
            }
            Message::Records(Feed::Own, piece) => {
                let late = self.links.get(&id).map_or((f64::NEG_INFINITY, 0.0), |l| l.late);
                let lag = self.paused.max(if now <= late.0 { late.1 } else { 0.0 });
                let Some(a) = self.leaves.get_mut(&leaf) else { return Ok(()) };
                if piece.origin != (Origin { member: leaf, life }) {
                    return Err(LinkError::Malformed("records of another origin"));
                }
                match a.copy.take(now, lag, piece) {
                    Ok(keys) => self.aggregate(now, topic, &keys),
                    Err(NotTaken::Malformed) => {
                        return Err(LinkError::Malformed("records that make no sense"))
                    }
                    Err(NotTaken::Gap) => {
                        let held = a.copy.copied();
                        self.counts.resyncs += 1;
                        self.queue(now, id, Message::Resync(Feed::Own, held));
                    }
                }
            }
            Message::Resync(feed, held) => {
                self.counts.resyncs += 1;
                let own = self.feed;
                let (Some(feeds), Some(link)) = (self.topics.get(&topic), self.links.get_mut(&id)) else {
                    return Ok(());
                };
                match feed {
                    Feed::Servers => link.servers = Cursor::at(own, &feeds.servers, *held),
                    Feed::Leaves => link.leaves = Cursor::at(own, &feeds.leaves, *held),
                    Feed::Own => return Err(LinkError::OutOfPlace),
                }
                self.wake(id, now);
            }
            Message::Lacks(mark) => {
                self.counts.resyncs += 1;
                if let Some(link) = self.links.get_mut(&id) {
                    (link.settings, link.outgoing) = (*mark, None);
                }
                self.wake(id, now);
            }
            Message::Settings { proposed: false, part } => self.recovered(now, id, part),
            Message::Verdict { version, refused } => {
                let Some(a) = self.leaves.get_mut(&leaf) else { return Ok(()) };
                let reason = refused.as_ref().map(|reason| cut(reason, REASON));
                match reason {
                    None => (a.in_force, a.turned_down) = (*version, None),
                    Some(reason) => {
                        a.turned_down = Some((*version, reason.clone()));
                        self.turned_down(now, leaf, *version, reason);
                    }
                }
            }
            _ => return Err(LinkError::OutOfPlace),
        }
        Ok(())
    }

    fn turned_down(&mut self, now: f64, leaf: MemberId, version: u64, reason: String) {
        if let Some(peer) = self.peers.get_mut(&self.identity.writer) {
            if peer.turned_down.len() < WAITING {
                peer.turned_down.push_back((leaf, version, reason.clone()));
            }
            if let Some(link) = peer.link {
                self.wake(link, now);
            }
        }
        self.tell(Event::TurnedDown { leaf, version, reason });
    }

    fn hear_relay(&mut self, now: f64, relay: MemberId, message: &Message) -> Result<(), LinkError> {
        match message {
            Message::Mesh(word) => {
                self.member.hear(now, relay, word)?;
                self.settle(now);
            }
            Message::Holds { in_force, proposed } => self.holds(now, relay, *in_force, *proposed),
            Message::Want { proposed, held } => {
                let set = match proposed {
                    true => self.proposed.as_ref().map(|(set, ..)| Arc::clone(set)),
                    false => Some(Arc::clone(&self.in_force)),
                };
                if let (Some(set), Some(peer)) = (set, self.peers.get_mut(&relay)) {
                    peer.outgoing = Some((*proposed, Outgoing::new(set, *held)));
                    if let Some(link) = peer.link {
                        self.wake(link, now);
                    }
                }
            }
            Message::Settings { proposed, part } => self.part(now, relay, *proposed, part)?,
            Message::TurnedDown { leaf, name, version, reason } => {
                let (leaf, version, reason) = (*leaf, *version, cut(reason, REASON));
                self.learn_name(leaf, name);
                self.tell(Event::TurnedDown { leaf, version, reason });
            }
            _ => return Err(LinkError::OutOfPlace),
        }
        Ok(())
    }
}

/// Joins what several say: of servers as among members of a small fleet, of silences the youngest word of the latest start.
fn join(all: impl Iterator<Item = (f64, Value)>) -> Option<(f64, Value)> {
    all.reduce(|a, b| match (a.1, b.1) {
        (Value::Server(x), Value::Server(y)) => {
            let (at, fact) = join_servers((a.0, x), (b.0, y));
            (at, Value::Server(fact))
        }
        (Value::Silent(x), Value::Silent(y)) => {
            if y.cmp(&x).then(b.0.total_cmp(&a.0)).is_gt() {
                b
            } else {
                a
            }
        }
        _ => a,
    })
}

impl Node for Relay {
    fn dials(&mut self, now: f64) -> Vec<(LinkId, MemberId)> {
        if self.ending || self.member.view().superseded() {
            return Vec::new();
        }
        if self.peers.values().all(|p| p.link.is_some()) {
            return Vec::new();
        }
        let own = self.identity.own;
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

    fn accepted(&mut self, now: f64) -> LinkId {
        let strangers = self.links.iter().filter(|(_, l)| l.who == Who::Stranger);
        let oldest = strangers.clone().map(|(id, _)| *id).next();
        if let Some(oldest) = oldest.filter(|_| strangers.count() >= STRANGERS) {
            self.close(now, oldest);
        }
        self.new_link(now, Who::Stranger, false)
    }

    fn up(&mut self, now: f64, id: LinkId) {
        let Some(link) = self.links.get_mut(&id) else { return };
        (link.up, link.since, link.heard_at) = (true, now, now);
        if let Who::Relay(relay, _) = link.who {
            let hello = Message::Mesh(self.member.hello(now, relay));
            self.queue(now, id, hello);
        }
    }

    fn down(&mut self, now: f64, id: LinkId, refused: bool) {
        self.gone(now, id, refused);
        self.settle(now);
    }

    fn hear(&mut self, now: f64, id: LinkId, message: &Message) -> Result<(), LinkError> {
        let Some(link) = self.links.get_mut(&id) else { return Ok(()) };
        let gap = now - std::mem::replace(&mut link.heard_at, now);
        if gap >= self.timing.suspect && link.servers != Cursor::whole() {
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

    fn due(&mut self, now: f64) -> Vec<LinkId> {
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

    fn say(&mut self, now: f64, id: LinkId) -> Option<Message> {
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
                    let at = if link.budget.open(now) { link.next_digest } else { link.budget.open_at() };
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

    fn writable(&mut self, now: f64, id: LinkId) {
        self.wake(id, now);
    }

    fn closes(&mut self) -> Vec<LinkId> {
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

    fn next_at(&self) -> f64 {
        let wake = self.wakes.first().map_or(f64::INFINITY, |(at, _)| *at as f64 / 1e6 + 1e-6);
        let dials = self.peers.values().filter(|p| p.link.is_none()).map(|p| p.next_dial);
        let dial = dials.fold(f64::INFINITY, f64::min).max(self.ticked.unwrap_or(0.0) + 0.01);
        let beat = self.ticked.unwrap_or(0.0) + 0.05;
        wake.min(dial).min(self.next_look).min(beat)
    }
}
