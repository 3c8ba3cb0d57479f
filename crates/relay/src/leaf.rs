//! Implements a leaf: a gatekeeper that is attached to one relay, with a standby link to a second.
//!
//! The leaf keeps links to the two most preferred relays that can be reached, and attaches to the better one, its own
//! relay. When the link to it closes, or the relay answers nothing for [`Timing::silent_after_s`], the leaf attaches
//! to the other one after a short random delay. A more preferred relay that has been reachable for a while gets its
//! leaves back slowly. Without any relay all that is held stays, with its age, and the silence of a relay says
//! nothing about the other leaves.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use hollypaddle_membership::{Incarnation, MemberId};
use hollypaddle_replica::record::{
    Key, LeafFact, Origin, Presence, ServerFact, ServerKey, ServerState, Topic, Value,
};
use hollypaddle_replica::store::ServerObservation;
use hollypaddle_replica::stream::Stream;

use crate::budget::ByteBudget;
use crate::message::{
    truncate, Attach, Digest, Feed, Hello, Message, Refusal, MAX_NAME_BYTES, MAX_REASON_BYTES,
    MIN_PROTOCOL_VERSION, PROTOCOL_VERSION,
};
use crate::placement::{preferred_relays, stable_fraction, NodeLocation, RelayLocation};
use crate::settings::{IncomingSet, OutgoingSet, PartError, Revision, SettingsSet};
use crate::stream_copy::{ChunkError, Cursor, StreamCopy};
use crate::{LinkError, LinkId, Node, Timing};

/// If two ticks are further apart than this, this process was paused, and the silence of others means nothing.
const PAUSE_THRESHOLD_S: f64 = 1.0;
/// The most messages queued for a link, in addition to those that are built when they are sent. Each queued message
/// answers one that was received.
const MAX_QUEUED_MESSAGES: usize = 16;
/// Attach requests that are sent before the relay counts as silent.
const MAX_ATTACH_TRIES: u32 = 3;
/// After a start the leaf waits this long for the most preferred relay before it attaches to another.
const PREFERRED_RELAY_WAIT_S: f64 = 0.3;
/// Interval between two requests for the same missing data.
const MIN_REQUEST_INTERVAL_S: f64 = 0.5;
/// The most events that are kept until they are taken for the log.
const MAX_EVENTS: usize = 64;
/// The most records of the leaf's own stream.
const MAX_OWN_RECORDS: usize = 4096;
/// Without a relay, reports that a server is silent count for this long: a server that this leaf never contacted
/// itself must not stay excluded.
const MAX_SILENCE_REPORT_AGE_S: f64 = 7.0;

/// Identity and location of a leaf.
#[derive(Clone, Debug)]
pub struct Identity {
    /// The gatekeeper.
    pub id: MemberId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Its service.
    pub topic: Topic,
    /// Where it is.
    pub location: NodeLocation,
}

/// An event for the log.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// Attached to a relay; after how many seconds without one, if an earlier relay was lost.
    Attached(MemberId, Option<f64>),
    /// Returned to a more preferred relay.
    Returned(MemberId),
    /// The own relay was lost, and how.
    Lost(MemberId, Loss),
    /// A relay refused this leaf, and for how many seconds.
    Refused(MemberId, Refusal, f64),
    /// Settings of this revision were received completely.
    SettingsReceived(Revision),
    /// A stream differed from the relay's and was requested again.
    ResyncRequested(Feed),
    /// The relays know a later incarnation of this leaf that has ended, because the clock was set back: the leaf goes
    /// on under this one.
    IncarnationRaised(Incarnation),
}

/// How a relay was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Loss {
    /// Its link was closed or reset: its process has ended, or it closed the link.
    Closed,
    /// It answers nothing.
    Silent,
    /// It announced that it shuts down.
    Left,
}

impl Loss {
    /// Short name for the log.
    pub fn name(&self) -> &'static str {
        match self {
            Loss::Closed => "closed",
            Loss::Silent => "silent",
            Loss::Left => "left",
        }
    }
}

#[derive(Debug)]
struct Link {
    relay: MemberId,
    up: bool,
    /// When the relay identified itself.
    welcomed_at: Option<f64>,
    since: f64,
    /// When the relay answered last.
    last_heard_at: f64,
    /// Number and time of the last ping.
    last_ping: (u32, f64),
    /// When the last ping that was answered was sent: what arrives on the link now was sent after that time.
    answered_ping_sent_at: f64,
    next_ping_at: f64,
    queued: VecDeque<Message>,
}

#[derive(Clone, Copy, Debug)]
struct Dial {
    next_at: f64,
    backoff_s: f64,
    /// The relay refuses this leaf until this time.
    refused_until: f64,
}

#[derive(Clone, Copy, Debug)]
struct Attaching {
    link: LinkId,
    sent_at: f64,
    tries: u32,
}

/// State of a leaf for operators and tests.
#[derive(Clone, Debug, PartialEq)]
pub struct Status {
    /// The relay that it is attached to.
    pub relay: Option<MemberId>,
    /// The second choice, if the link to it is up.
    pub second_choice: Option<MemberId>,
    /// Seconds since the last message from its own relay, or from the last one that it had.
    pub last_heard_s: f64,
    /// How many times it has asked for an attachment.
    pub moves: u32,
    /// The settings held.
    pub settings: Revision,
    /// The version of the settings in force here.
    pub in_force: u64,
    /// The version that was rejected last, and why.
    pub turned_down: Option<(u64, String)>,
    /// Records in the feed of servers.
    pub servers: usize,
    /// Leaves in the feed of its topic.
    pub leaves: usize,
}

/// The state of a leaf.
pub struct Leaf {
    identity: Identity,
    name: String,
    timing: Timing,
    relays: Vec<RelayLocation>,
    order: Vec<MemberId>,
    started_at: f64,
    ticked_at: Option<f64>,
    links: BTreeMap<LinkId, Link>,
    next_link: u64,
    dials: BTreeMap<MemberId, Dial>,
    /// The link to its own relay.
    primary: Option<LinkId>,
    attaching: Option<Attaching>,
    attach_at: f64,
    moves: u32,
    /// Since when it has had no own relay.
    lost_at: Option<f64>,
    last_heard_at: f64,
    own: Stream,
    own_cursor: Cursor,
    /// The version of the own stream that the relay's last digest named, if it was behind.
    lagging_version: Option<u64>,
    servers: StreamCopy,
    leaves: StreamCopy,
    resync_requested_at: BTreeMap<Feed, f64>,
    settings: Arc<SettingsSet>,
    incoming: Option<IncomingSet>,
    /// Settings that the relay lacks, on their way to it.
    outgoing: Option<OutgoingSet>,
    settings_requested_at: f64,
    /// Whether the settings held have not been taken by [`Leaf::take_new_settings`] yet.
    settings_untaken: bool,
    in_force: u64,
    turned_down: Option<(u64, String)>,
    /// Set while the result for the settings of this version has not been sent to the relay yet.
    pending_result: Option<u64>,
    budget: ByteBudget,
    to_close: Vec<LinkId>,
    events: Vec<Event>,
}

impl Leaf {
    /// A leaf that has just started.
    pub fn new(now: f64, identity: Identity, relays: Vec<RelayLocation>, timing: Timing) -> Leaf {
        let order = preferred_relays(identity.id, &identity.location, &relays);
        Leaf {
            budget: ByteBudget::new(now, timing.report_bytes_per_s, timing.burst_s),
            identity,
            name: String::new(),
            timing,
            relays,
            order,
            started_at: now,
            ticked_at: None,
            links: BTreeMap::new(),
            next_link: 1,
            dials: BTreeMap::new(),
            primary: None,
            attaching: None,
            attach_at: now,
            moves: 0,
            lost_at: None,
            last_heard_at: now,
            own: Stream::default(),
            own_cursor: Cursor::from_start(),
            lagging_version: None,
            servers: StreamCopy::default(),
            leaves: StreamCopy::default(),
            resync_requested_at: BTreeMap::new(),
            settings: Arc::default(),
            incoming: None,
            outgoing: None,
            settings_requested_at: f64::NEG_INFINITY,
            settings_untaken: false,
            in_force: 0,
            turned_down: None,
            pending_result: None,
            to_close: Vec::new(),
            events: Vec::new(),
        }
    }

    /// The same leaf with a name for operators.
    pub fn with_name(self, name: &str) -> Leaf {
        Leaf { name: truncate(name, MAX_NAME_BYTES), ..self }
    }

    /// Applies relays and times of a new configuration; closes links to nodes that are no longer relays.
    pub fn reconfigure(&mut self, now: f64, relays: Vec<RelayLocation>, timing: Timing) {
        self.order = preferred_relays(self.identity.id, &self.identity.location, &relays);
        (self.relays, self.timing) = (relays, timing);
        self.budget = ByteBudget::new(now, timing.report_bytes_per_s, timing.burst_s);
        let unlisted: Vec<LinkId> =
            self.links.iter().filter(|(_, l)| !self.order.contains(&l.relay)).map(|(id, _)| *id).collect();
        unlisted.into_iter().for_each(|link| self.close_link(now, link, Loss::Left));
        self.dials.retain(|relay, _| self.order.contains(relay));
    }

    /// The leaf's identity.
    pub fn identity(&self) -> &Identity {
        &self.identity
    }

    /// The configured relays.
    pub fn relays(&self) -> &[RelayLocation] {
        &self.relays
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

    // ---- Records

    /// Records what the own list says of a server, as of `at`; `None` removes the server.
    pub fn set_server(&mut self, at: f64, server: ServerKey, fact: Option<ServerFact>) {
        self.write_own(at, Key::Server(server), fact.map(Value::Server));
    }

    /// Records since when a server with this start time is silent, or that it is not.
    pub fn set_silent(&mut self, now: f64, server: ServerKey, started_ms: u64, since: Option<f64>) {
        let value = since.map(|_| Value::Silent(started_ms));
        self.write_own(since.unwrap_or(now), Key::Silent(server), value);
    }

    fn write_own(&mut self, at: f64, key: Key, value: Option<Value>) {
        let fits = self.own.get(&key).is_some() || self.own.len() < MAX_OWN_RECORDS;
        if fits || value.is_none() {
            self.own.write(at, key, value);
        }
    }

    /// What the leaves of the own topic, this one included, report of the servers, as merged by the relays. Silences
    /// count only while a relay is connected, or was a moment ago.
    pub fn peer_observations(&self, now: f64) -> BTreeMap<ServerKey, ServerObservation> {
        let fresh = now - self.last_heard_at <= MAX_SILENCE_REPORT_AGE_S;
        let from = self.servers.state().map_or(self.identity.id, |c| c.origin.member);
        let mut all: BTreeMap<ServerKey, ServerObservation> = BTreeMap::new();
        for (key, at, value) in self.servers.stream().range(..) {
            let (server, said) = match (key, value) {
                (Key::TopicServer(_, server), Value::Server(fact)) => {
                    (server, ServerObservation { at, fact, silent: None })
                }
                (Key::TopicSilent(_, server), Value::Silent(started_ms)) if fresh => {
                    let fact = ServerFact { started_ms, place: ServerState::Ready };
                    (server, ServerObservation { at: f64::NEG_INFINITY, fact, silent: Some((at, from)) })
                }
                _ => continue,
            };
            let joined = all.get(&server).map_or(said, |held| held.join(&said));
            all.insert(server, joined);
        }
        all
    }

    /// The other leaves of the own topic, as the relays see them. A leaf that is missing is attached to no live
    /// relay: it is moving, or it ended together with its relay. Only a presence of gone or left means that a leaf
    /// has ended.
    pub fn peers(&self) -> impl Iterator<Item = (MemberId, LeafFact)> + '_ {
        self.leaves.stream().range(..).filter_map(|(key, _, value)| match (key, value) {
            (Key::Leaf(_, member), Value::Leaf(fact)) if member != self.identity.id => Some((member, fact)),
            _ => None,
        })
    }

    /// The current state.
    pub fn status(&self, now: f64) -> Status {
        let relay = self.primary.and_then(|link| self.links.get(&link)).map(|l| l.relay);
        let second = self.links.iter().find(|(id, l)| Some(**id) != self.primary && l.welcomed_at.is_some());
        Status {
            relay,
            second_choice: second.map(|(_, l)| l.relay),
            last_heard_s: (now - self.last_heard_at).max(0.0),
            moves: self.moves,
            settings: self.settings.revision(),
            in_force: self.in_force,
            turned_down: self.turned_down.clone(),
            servers: self.servers.stream().len(),
            leaves: self.leaves.stream().len(),
        }
    }

    /// The relay that the leaf is attached to.
    pub fn relay(&self) -> Option<MemberId> {
        self.primary.and_then(|link| self.links.get(&link)).map(|l| l.relay)
    }

    /// Whether both feeds of the own relay are complete, so that a leaf that has started knows what the others know.
    pub fn has_current_feeds(&self) -> bool {
        let of_relay =
            |copy: &StreamCopy| copy.state().is_some_and(|c| Some(c.origin.member) == self.relay());
        self.primary.is_some() && of_relay(&self.servers) && of_relay(&self.leaves)
    }

    /// Both feeds as they are held (servers, leaves), for tests to compare.
    pub fn feeds(&self) -> (&Stream, &Stream) {
        (self.servers.stream(), self.leaves.stream())
    }

    // ---- Settings

    /// Settings that were received completely and not returned before. The caller checks them and answers with
    /// [`Leaf::record_settings_result`].
    pub fn take_new_settings(&mut self) -> Option<Arc<SettingsSet>> {
        std::mem::take(&mut self.settings_untaken).then(|| Arc::clone(&self.settings))
    }

    /// Records that settings of this version are in force here, or why they are not.
    pub fn record_settings_result(&mut self, version: u64, result: Result<(), String>) {
        match result {
            Ok(()) => (self.in_force, self.turned_down) = (version, None),
            Err(reason) => self.turned_down = Some((version, truncate(&reason, MAX_REASON_BYTES))),
        }
        self.pending_result = Some(version);
    }

    // ---- Links

    fn rank(&self, relay: MemberId) -> usize {
        self.order.iter().position(|r| *r == relay).unwrap_or(usize::MAX)
    }

    fn is_refused(&self, now: f64, relay: MemberId) -> bool {
        self.dials.get(&relay).is_some_and(|d| now < d.refused_until)
    }

    fn back_off(&mut self, now: f64, relay: MemberId) {
        let (first, most) = (self.timing.min_dial_backoff_s, self.timing.max_dial_backoff_s);
        let dial =
            self.dials.entry(relay).or_insert(Dial { next_at: now, backoff_s: first, refused_until: now });
        // The delay is half to one and a half of the backoff, so that not all leaves come back at the same moment.
        dial.next_at =
            now + dial.backoff_s * (0.5 + stable_fraction(self.identity.id, relay.0 ^ self.next_link));
        dial.backoff_s = (dial.backoff_s * 2.0).min(most);
    }

    /// Removes a link; the caller of this crate closes it, or it is closed already.
    fn remove_link(&mut self, now: f64, id: LinkId, loss: Loss) {
        let Some(link) = self.links.remove(&id) else { return };
        self.back_off(now, link.relay);
        if self.attaching.is_some_and(|a| a.link == id) {
            self.attaching = None;
        }
        if self.primary == Some(id) {
            self.primary = None;
            self.lost_at.get_or_insert(now);
            let spread = self.timing.max_reattach_delay_s
                * stable_fraction(self.identity.id, u64::from(self.moves) ^ self.identity.incarnation.nonce);
            self.attach_at = now + spread;
            // The second choice was pinged seldom until now: from here on it has to answer.
            for other in self.links.values_mut() {
                other.last_heard_at = other.last_heard_at.max(now - self.timing.answer_overdue_s);
            }
            self.record_event(Event::Lost(link.relay, loss));
        }
    }

    fn close_link(&mut self, now: f64, id: LinkId, loss: Loss) {
        self.to_close.push(id);
        self.remove_link(now, id, loss);
    }

    /// Keeps the own relay, the one that was asked to be it, and the best of the others; closes the other links.
    fn close_surplus_links(&mut self, now: f64) {
        let in_use = |id: &LinkId| self.primary == Some(*id) || self.attaching.is_some_and(|a| a.link == *id);
        let mut others: Vec<(bool, usize, LinkId)> = (self.links.iter())
            .filter(|(id, l)| !in_use(id) && l.welcomed_at.is_some())
            .map(|(id, l)| (self.is_refused(now, l.relay), self.rank(l.relay), *id))
            .collect();
        others.sort();
        let kept = if self.primary.is_some() { 1 } else { 2 };
        for (.., id) in others.into_iter().skip(kept) {
            self.close_link(now, id, Loss::Left);
        }
    }

    /// Asks the best connected relay to become the own one, if there is none, or if a better one has been connected
    /// for long enough.
    fn choose_relay(&mut self, now: f64) {
        if self.attaching.is_some() {
            return;
        }
        let usable = |l: &Link| l.welcomed_at.is_some() && !self.is_refused(now, l.relay);
        let best = (self.links.iter()).filter(|(_, l)| usable(l)).min_by_key(|(_, l)| self.rank(l.relay));
        let Some((&id, link)) = best else { return };
        let rank = self.rank(link.relay);
        let should_attach = match self.primary.and_then(|p| self.links.get(&p)) {
            None => {
                now >= self.attach_at
                    && (rank == 0
                        || self.lost_at.is_some()
                        || now - self.started_at >= PREFERRED_RELAY_WAIT_S)
            }
            Some(own) => {
                let home =
                    self.timing.return_delay_s * (1.0 + stable_fraction(self.identity.id, !link.relay.0));
                rank < self.rank(own.relay) && link.welcomed_at.is_some_and(|since| now - since >= home)
            }
        };
        if should_attach {
            self.moves += 1;
            self.attaching = Some(Attaching { link: id, sent_at: f64::NEG_INFINITY, tries: 0 });
        }
    }

    fn attach_request(&mut self, now: f64) -> Option<Message> {
        let attaching = self.attaching.as_mut()?;
        (attaching.sent_at, attaching.tries) = (now, attaching.tries + 1);
        Some(Message::Attach(Attach {
            moves: self.moves,
            servers: self.servers.state(),
            leaves: self.leaves.state(),
            settings: self.settings.revision(),
            in_force: self.in_force,
        }))
    }

    fn handle_attached(&mut self, now: f64, id: LinkId, held: u64) {
        if self.attaching.is_none_or(|a| a.link != id) {
            return;
        }
        self.attaching = None;
        let old = self.primary.replace(id);
        let relay = self.links.get(&id).map(|l| l.relay);
        if let Some(link) = old.and_then(|old| self.links.get_mut(&old)) {
            link.queued.push_back(Message::Detach);
        }
        let after = self.lost_at.take().map(|lost| now - lost);
        match (relay, old) {
            (Some(relay), Some(_)) => self.record_event(Event::Returned(relay)),
            (Some(relay), None) => self.record_event(Event::Attached(relay, after)),
            _ => {}
        }
        let origin = self.origin();
        self.own_cursor = Cursor::from_start();
        if held > 0 && held <= self.own.version() && held >= self.own.horizon() {
            let hash = if held == self.own.version() { self.own.hash() } else { 0 };
            let copied = crate::message::CopyState { origin, version: held, hash };
            self.own_cursor = Cursor::resume(origin, &self.own, Some(copied));
        }
        (self.lagging_version, self.incoming, self.outgoing) = (None, None, None);
        self.pending_result = (self.in_force > 0 || self.turned_down.is_some()).then_some(self.in_force);
        self.resync_requested_at.clear();
        self.settings_requested_at = f64::NEG_INFINITY;
        self.last_heard_at = now;
        self.close_surplus_links(now);
    }

    fn origin(&self) -> Origin {
        Origin { member: self.identity.id, life: self.identity.incarnation }
    }

    fn queue(&mut self, id: LinkId, message: Message) {
        if let Some(link) = self.links.get_mut(&id) {
            if link.queued.len() < MAX_QUEUED_MESSAGES {
                link.queued.push_back(message);
            }
        }
    }

    /// Requests a feed again, at most twice a second.
    fn request_resync(&mut self, now: f64, id: LinkId, feed: Feed) {
        if self.resync_requested_at.get(&feed).is_some_and(|at| now - at < MIN_REQUEST_INTERVAL_S) {
            return;
        }
        self.resync_requested_at.insert(feed, now);
        let copy = if feed == Feed::Servers { &self.servers } else { &self.leaves };
        let held = copy.state();
        self.queue(id, Message::Resync(feed, held));
        self.record_event(Event::ResyncRequested(feed));
    }

    fn request_settings(&mut self, now: f64, id: LinkId) {
        if now - self.settings_requested_at >= MIN_REQUEST_INTERVAL_S {
            self.settings_requested_at = now;
            self.queue(id, Message::Lacks(self.settings.revision()));
        }
    }

    fn apply_records(
        &mut self,
        now: f64,
        id: LinkId,
        feed: Feed,
        chunk: &hollypaddle_replica::catch_up::Chunk,
    ) -> Result<(), LinkError> {
        let lag = self.links.get(&id).map_or(0.0, |l| (now - l.answered_ping_sent_at).max(0.0));
        let copy = match feed {
            Feed::Servers => &mut self.servers,
            Feed::Leaves => &mut self.leaves,
            Feed::Own => return Err(LinkError::OutOfPlace),
        };
        match copy.apply(now, lag, chunk) {
            Ok(_) => self.raise_incarnation(now),
            Err(ChunkError::Gap) => self.request_resync(now, id, feed),
            Err(ChunkError::Malformed) => return Err(LinkError::Malformed("inconsistent records")),
        }
        Ok(())
    }

    /// Adopts an incarnation later than one that the relays know to have ended. All links are opened again, so that
    /// each relay learns of it.
    fn raise_incarnation(&mut self, now: f64) {
        let key = Key::Leaf(self.identity.topic, self.identity.id);
        let Some((_, Value::Leaf(fact))) = self.leaves.stream().get(&key) else { return };
        let ended = matches!(fact.presence, Presence::Gone | Presence::Left | Presence::Closed);
        if fact.life <= self.identity.incarnation || !ended {
            return;
        }
        self.identity.incarnation.number = fact.life.number.saturating_add(1);
        self.record_event(Event::IncarnationRaised(self.identity.incarnation));
        let all: Vec<LinkId> = self.links.keys().copied().collect();
        all.into_iter().for_each(|link| self.close_link(now, link, Loss::Left));
        self.dials.values_mut().for_each(|dial| dial.next_at = now);
        (self.moves, self.own_cursor, self.lagging_version) = (0, Cursor::from_start(), None);
    }

    fn handle_digest(&mut self, now: f64, id: LinkId, digest: &Digest) {
        if self.servers.state() != Some(digest.servers) {
            self.request_resync(now, id, Feed::Servers);
        }
        if self.leaves.state() != Some(digest.leaves) {
            self.request_resync(now, id, Feed::Leaves);
        }
        if digest.settings > self.settings.revision() {
            self.request_settings(now, id);
        }
        // A whole stream that is still being sent is not held by the relay before its last chunk.
        if self.own_cursor.is_behind(&self.own) {
            self.lagging_version = None;
            return;
        }
        let (version, hash) = digest.own;
        let in_sync = version == self.own.version() && hash == self.own.hash();
        // Records in transit were sent after the digest; what is still missing one digest later was lost.
        if !in_sync && self.lagging_version == Some(version) {
            let held = crate::message::CopyState { origin: self.origin(), version, hash };
            self.own_cursor = Cursor::resume(self.origin(), &self.own, Some(held));
            self.lagging_version = None;
        } else {
            self.lagging_version = (!in_sync).then_some(version);
        }
    }

    fn accept_settings_part(
        &mut self,
        now: f64,
        id: LinkId,
        part: &crate::settings::Part,
    ) -> Result<(), LinkError> {
        // Older settings never replace newer ones, whoever sends them.
        if part.up_to <= self.settings.revision() {
            return Ok(());
        }
        match IncomingSet::accept_part(&self.settings, &mut self.incoming, part) {
            Ok(None) => {}
            Ok(Some(set)) => {
                self.record_event(Event::SettingsReceived(set.revision()));
                (self.settings, self.settings_untaken) = (Arc::new(set), true);
            }
            Err(PartError::Gap) => self.request_settings(now, id),
            Err(PartError::HashMismatch) => {
                // The set that the part builds on differs from the sender's: request the whole set.
                self.queue(id, Message::Lacks(Revision::default()));
            }
            Err(PartError::TooLarge) => return Err(LinkError::Malformed("settings with too many entries")),
        }
        Ok(())
    }

    /// The next message on a link, before it is charged to the budget.
    fn choose_message(&mut self, now: f64, id: LinkId) -> Option<Message> {
        let timing = self.timing;
        let (primary, attaching) = (self.primary == Some(id), self.attaching);
        let unattached = self.primary.is_none();
        // While answers of the own relay are overdue, it matters whether the second choice answers.
        let overdue = self
            .primary
            .and_then(|p| self.links.get(&p))
            .is_some_and(|l| now - l.last_heard_at >= timing.answer_overdue_s);
        let link = self.links.get_mut(&id).filter(|l| l.up)?;
        if let Some(message) = link.queued.pop_front() {
            return Some(message);
        }
        let attach = attaching.is_some_and(|a| a.link == id && now - a.sent_at >= timing.attach_timeout_s);
        if attach {
            return self.attach_request(now);
        }
        if now >= link.next_ping_at {
            let missing = now - link.last_heard_at >= timing.answer_overdue_s;
            let pause = match () {
                () if missing && (primary || unattached || overdue) => timing.suspect_ping_interval_s,
                () if primary || unattached || overdue => timing.ping_interval_s,
                () => timing.second_ping_interval_s,
            };
            link.next_ping_at = now + pause;
            link.last_ping = (link.last_ping.0.wrapping_add(1), now);
            return Some(Message::Ping(link.last_ping.0));
        }
        if !primary || !self.budget.can_send(now) {
            return None;
        }
        if self.pending_result.take().is_some() {
            let rejected = |(version, reason): &(u64, String)| (*version, Some(reason.clone()));
            let (version, refused) = self.turned_down.as_ref().map_or((self.in_force, None), rejected);
            return Some(Message::Verdict { version, refusal: refused });
        }
        if self.own_cursor.is_behind(&self.own) {
            let origin = self.origin();
            return Some(Message::Records(Feed::Own, self.own_cursor.next_chunk(now, origin, &self.own)));
        }
        let part = self.outgoing.as_mut()?.next_part();
        if part.last {
            self.outgoing = None;
        }
        Some(Message::Settings { proposed: false, part })
    }

    /// Whether there is something to send that the budget has to allow.
    fn has_reports(&self) -> bool {
        self.own_cursor.is_behind(&self.own) || self.pending_result.is_some() || self.outgoing.is_some()
    }
}

impl Node for Leaf {
    fn links_to_open(&mut self, now: f64) -> Vec<(LinkId, MemberId)> {
        // One link in addition to the own relay's, whatever its rank; without an own relay, links to the two best
        // relays that can be reached.
        let own = self.relay();
        let wanted = if own.is_some() { 1 } else { 2 };
        let (mut count, mut made) = (0, Vec::new());
        for relay in self.order.clone().into_iter().filter(|relay| Some(*relay) != own) {
            if count >= wanted {
                break;
            }
            let refusing = self.is_refused(now, relay);
            if self.links.values().any(|l| l.relay == relay) {
                count += usize::from(!refusing);
                continue;
            }
            let waits = self.dials.get(&relay).is_some_and(|d| now < d.next_at);
            if refusing || waits {
                continue;
            }
            count += 1;
            let id = LinkId(self.next_link);
            self.next_link += 1;
            let link = Link {
                relay,
                up: false,
                welcomed_at: None,
                since: now,
                last_heard_at: now,
                last_ping: (0, now),
                answered_ping_sent_at: now,
                next_ping_at: f64::INFINITY,
                queued: VecDeque::new(),
            };
            self.links.insert(id, link);
            made.push((id, relay));
        }
        made
    }

    fn accept_link(&mut self, _: f64) -> LinkId {
        // Nobody opens links to a leaf; it has no listener.
        self.next_link += 1;
        LinkId(self.next_link - 1)
    }

    fn link_up(&mut self, now: f64, id: LinkId) {
        let identity = &self.identity;
        if let Some(link) = self.links.get_mut(&id) {
            (link.up, link.since, link.last_heard_at) = (true, now, now);
            link.queued.push_back(Message::Hello(Hello {
                protocol: (MIN_PROTOCOL_VERSION, PROTOCOL_VERSION),
                from: identity.id,
                to: link.relay,
                incarnation: identity.incarnation,
                topic: identity.topic,
                name: self.name.clone(),
            }));
        }
    }

    fn link_down(&mut self, now: f64, id: LinkId, _refused: bool) {
        self.remove_link(now, id, Loss::Closed);
    }

    fn receive(&mut self, now: f64, id: LinkId, message: &Message) -> Result<(), LinkError> {
        let Some(link) = self.links.get_mut(&id) else { return Ok(()) };
        // Other messages also arrive when the relay does not receive from this leaf: the link may be cut in one
        // direction.
        if matches!(
            message,
            Message::Welcome { .. } | Message::Pong(_) | Message::Attached(_) | Message::Refused(..)
        ) {
            link.last_heard_at = now;
        }
        let primary = self.primary == Some(id);
        if primary {
            self.last_heard_at = now;
        }
        match message {
            Message::Welcome { relay, .. } => {
                if *relay != link.relay {
                    return Err(LinkError::NotForUs);
                }
                link.welcomed_at = Some(now);
                link.next_ping_at = now;
                if let Some(dial) = self.dials.get_mut(relay) {
                    dial.backoff_s = self.timing.min_dial_backoff_s;
                }
                self.close_surplus_links(now);
            }
            Message::Unknown(_) => {}
            _ if link.welcomed_at.is_none() => return Err(LinkError::OutOfPlace),
            Message::Pong(number) => {
                if *number == link.last_ping.0 {
                    link.answered_ping_sent_at = link.last_ping.1;
                }
            }
            Message::Attached(held) => self.handle_attached(now, id, *held),
            Message::Refused(reason, retry_ms) => {
                let (relay, seconds) = (link.relay, f64::from(*retry_ms) / 1000.0);
                // A leaf that wanted to return to this relay waits as long as before its first try.
                link.welcomed_at = Some(now);
                let first = self.timing.min_dial_backoff_s;
                let dial = self.dials.entry(relay).or_insert(Dial {
                    next_at: now,
                    backoff_s: first,
                    refused_until: now,
                });
                dial.refused_until = now + seconds;
                if self.attaching.is_some_and(|a| a.link == id) {
                    self.attaching = None;
                }
                self.record_event(Event::Refused(relay, *reason, seconds));
                if primary {
                    // The relay sends this leaf away: the link stays for a while, as to a relay that refuses this
                    // leaf.
                    self.primary = None;
                    self.lost_at.get_or_insert(now);
                    self.attach_at = now
                        + self.timing.max_reattach_delay_s
                            * stable_fraction(self.identity.id, u64::from(self.moves));
                    self.record_event(Event::Lost(relay, Loss::Left));
                }
            }
            Message::Leave => self.close_link(now, id, Loss::Left),
            // Messages of a relay that was the own one a moment ago are ignored.
            Message::Records(feed, chunk) if primary => self.apply_records(now, id, *feed, chunk)?,
            Message::Digest(digest) if primary => self.handle_digest(now, id, digest),
            Message::Settings { proposed: false, part } if primary => {
                self.accept_settings_part(now, id, part)?
            }
            Message::Resync(Feed::Own, held) if primary => {
                self.own_cursor = Cursor::resume(self.origin(), &self.own, *held);
            }
            // All relays were gone, and this one has not stored the settings in force.
            Message::Lacks(held) if primary => {
                self.outgoing = Some(OutgoingSet::new(Arc::clone(&self.settings), *held));
            }
            Message::Digest(_) if self.attaching.is_none_or(|a| a.link != id) => {
                // The relay has not received yet that this leaf is attached to another one.
                let waits = link.queued.contains(&Message::Detach);
                if !waits {
                    self.queue(id, Message::Detach);
                }
            }
            Message::Records(..) | Message::Digest(_) | Message::Settings { proposed: false, .. } => {}
            Message::Resync(Feed::Own, _) | Message::Lacks(_) => {}
            _ => return Err(LinkError::OutOfPlace),
        }
        self.choose_relay(now);
        Ok(())
    }

    fn links_to_serve(&mut self, now: f64) -> Vec<LinkId> {
        let open = self.budget.can_send(now);
        let reports = open && self.has_reports();
        let due = |(id, link): (&LinkId, &Link)| {
            let attach = self
                .attaching
                .is_some_and(|a| a.link == *id && now - a.sent_at >= self.timing.attach_timeout_s);
            let primary = self.primary == Some(*id) && reports;
            link.up && (!link.queued.is_empty() || now >= link.next_ping_at || attach || primary)
        };
        self.links.iter().filter(|entry| due(*entry)).map(|(id, _)| *id).collect()
    }

    fn next_message(&mut self, now: f64, id: LinkId) -> Option<Message> {
        let message = self.choose_message(now, id)?;
        self.budget.spend(now, message.encode(&mut Vec::new()));
        Some(message)
    }

    fn link_writable(&mut self, _: f64, _: LinkId) {}

    fn links_to_close(&mut self) -> Vec<LinkId> {
        std::mem::take(&mut self.to_close)
    }

    fn tick(&mut self, now: f64) {
        let gap = self.ticked_at.map_or(0.0, |last| now - last);
        self.ticked_at = Some(now);
        if gap >= PAUSE_THRESHOLD_S {
            for link in self.links.values_mut() {
                (link.last_heard_at, link.since) = (now, now);
                if link.welcomed_at.is_some() {
                    link.next_ping_at = link.next_ping_at.min(now);
                }
            }
        }
        let timing = self.timing;
        // The second choice is pinged as often as the own relay once that does not answer.
        let overdue = self
            .primary
            .and_then(|p| self.links.get(&p))
            .is_some_and(|l| now - l.last_heard_at >= timing.answer_overdue_s);
        if overdue || self.primary.is_none() {
            for link in self.links.values_mut().filter(|l| l.welcomed_at.is_some()) {
                link.next_ping_at = link.next_ping_at.min(link.last_ping.1 + timing.ping_interval_s);
            }
        }
        if let Some(own) = self.primary.and_then(|p| self.links.get_mut(&p)) {
            // The next ping is sent sooner once an answer is overdue.
            if now - own.last_heard_at >= timing.answer_overdue_s {
                own.next_ping_at = own.next_ping_at.min(own.last_ping.1 + timing.suspect_ping_interval_s);
            }
        }
        let lost = |(id, link): (&LinkId, &Link)| {
            let silent = now - link.last_heard_at;
            match link.welcomed_at {
                None => now - link.since >= timing.handshake_timeout_s,
                Some(_) if self.primary == Some(*id) || self.primary.is_none() => {
                    silent >= timing.silent_after_s
                }
                Some(_) => silent >= 2.0 * timing.second_ping_interval_s + timing.silent_after_s,
            }
        };
        let lost: Vec<LinkId> = self.links.iter().filter(|e| lost(*e)).map(|(id, _)| *id).collect();
        lost.into_iter().for_each(|id| self.close_link(now, id, Loss::Silent));
        if let Some(a) = self
            .attaching
            .filter(|a| a.tries >= MAX_ATTACH_TRIES && now - a.sent_at >= timing.attach_timeout_s)
        {
            self.close_link(now, a.link, Loss::Silent);
        }
        self.choose_relay(now);
        self.close_surplus_links(now);
    }

    fn next_tick_at(&self) -> f64 {
        let t = &self.timing;
        let mut next = f64::INFINITY;
        for (id, link) in &self.links {
            let silent = match link.welcomed_at {
                None => link.since + t.handshake_timeout_s,
                Some(_) if self.primary == Some(*id) => {
                    (link.last_heard_at + t.answer_overdue_s).min(link.last_heard_at + t.silent_after_s)
                }
                Some(_) if self.primary.is_none() => link.last_heard_at + t.silent_after_s,
                Some(_) => link.last_heard_at + 2.0 * t.second_ping_interval_s + t.silent_after_s,
            };
            // Once an answer is overdue, the interval of the pings sets the pace.
            let silent =
                if self.ticked_at.is_some_and(|at| at >= silent) { link.next_ping_at } else { silent };
            next = next.min(silent).min(link.next_ping_at);
        }
        if let Some(a) = self.attaching {
            next = next.min(a.sent_at + t.attach_timeout_s);
        } else if self.primary.is_none() {
            let at = self.attach_at.max(if self.lost_at.is_none() {
                self.started_at + PREFERRED_RELAY_WAIT_S
            } else {
                0.0
            });
            if self.ticked_at.is_none_or(|ticked| ticked < at) {
                next = next.min(at);
            }
        }
        if self.links.len() < 2 {
            let waits = self
                .order
                .iter()
                .map(|r| self.dials.get(r).map_or(self.started_at, |d| d.next_at.max(d.refused_until)));
            let waits = waits.filter(|at| self.ticked_at.is_none_or(|ticked| *at > ticked));
            next = waits.fold(next, f64::min);
        }
        if self.primary.is_some() && self.has_reports() {
            next = next.min(self.budget.can_send_at());
        }
        next.min(self.ticked_at.unwrap_or(self.started_at) + t.ping_interval_s)
    }
}
