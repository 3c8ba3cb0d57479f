//! A leaf: a gatekeeper that is attached to one relay, with a warm link to a second.
//!
//! Links go to the two best placed relays that can be reached. The better one becomes the leaf's own; when its link closes,
//! or it answers nothing for [`Timing::silent_after_s`], the leaf attaches to the other after a short chance delay. A better placed
//! relay that has been there for a while gets its leaves back slowly. Without any relay all that is held stays, with its
//! age, and the silence of a relay says nothing of the other leaves.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use hollypaddle_membership::{Incarnation, MemberId};
use hollypaddle_replica::record::{
    Key, LeafFact, Origin, Place as ServerPlace, Presence, ServerFact, ServerKey, Topic, Value,
};
use hollypaddle_replica::store::Said;
use hollypaddle_replica::stream::Stream;

use crate::budget::ByteBudget;
use crate::message::{
    truncate, Attach, Digest, Feed, Hello, Message, Refusal, MAX_NAME_BYTES, MAX_REASON_BYTES,
    MIN_PROTOCOL_VERSION, PROTOCOL_VERSION,
};
use crate::placement::{preferred_relays, stable_fraction, NodeLocation, RelayLocation};
use crate::settings::{IncomingSet, OutgoingSet, PartError, Revision, SettingsSet};
use crate::stream_copy::{Cursor, PieceError, StreamCopy};
use crate::{LinkError, LinkId, Node, Timing};

/// Own turns further apart than this: this process was paused, and the silence of others tells nothing.
const WOKE: f64 = 1.0;
/// Messages that wait for a link, beside those that are made as they are said. Each answers one that came.
const WAITING: usize = 16;
/// Tries of an attachment before its relay counts as silent.
const TRIES: u32 = 3;
/// A start waits so long for the best placed relay before it attaches to another.
const BEST: f64 = 0.3;
/// Between two requests for the same thing that is lacking.
const AGAIN: f64 = 0.5;
/// Things to be told to the log that are kept until they are taken.
const MOST_EVENTS: usize = 64;
/// Records that a leaf tells of itself at most.
const MOST_OWN: usize = 4096;
/// What peers were found silent counts for so long without a relay: a server that one never spoke to must not stay shut.
const HEARSAY: f64 = 7.0;

/// Who a leaf is.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Which gatekeeper.
    pub id: MemberId,
    /// In which life.
    pub incarnation: Incarnation,
    /// Its service.
    pub topic: Topic,
    /// Where it stands.
    pub location: NodeLocation,
}

/// What is to be told to the staff.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// Attached to a relay; so long after the one before was lost, where one was.
    Attached(MemberId, Option<f64>),
    /// Went home to a better placed relay.
    Returned(MemberId),
    /// The own relay is lost; whether it closed the link, or was silent.
    Lost(MemberId, Loss),
    /// A relay refused, and for how many seconds.
    Refused(MemberId, Refusal, f64),
    /// Settings of this version came whole.
    SettingsReceived(Revision),
    /// A stream or the settings were found to differ, and are told anew.
    ResyncRequested(Feed),
    /// The relays know of a later life of this leaf that has ended, as its clock was set back: it goes on in this one.
    IncarnationRaised(Incarnation),
}

/// How a relay was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Loss {
    /// Its link was closed or reset: its process has ended, or it closed it.
    Closed,
    /// It answers nothing.
    Silent,
    /// It said that it ends.
    Left,
}

impl Loss {
    /// In a word.
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
    /// Since when the relay said who it is.
    greeted: Option<f64>,
    since: f64,
    /// When it answered last.
    heard_at: f64,
    /// The last ping, and when it was sent; when the last one was sent that was answered: what comes on the link now was
    /// said after it.
    pinged: (u32, f64),
    answered: f64,
    next_ping: f64,
    waiting: VecDeque<Message>,
}

#[derive(Clone, Copy, Debug)]
struct Dial {
    next: f64,
    pause: f64,
    /// It refused to take this leaf until then.
    barred: f64,
}

#[derive(Clone, Copy, Debug)]
struct Attaching {
    link: LinkId,
    said_at: f64,
    tries: u32,
}

/// Where a leaf stands, as an operator or a test sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct Status {
    /// The relay that it is attached to.
    pub relay: Option<MemberId>,
    /// Its second choice, where the link to it is up.
    pub second_choice: Option<MemberId>,
    /// Seconds since the own relay was heard, or since the last one was.
    pub last_heard_s: f64,
    /// Its count of attachments.
    pub moves: u32,
    /// The settings held, the version served by, and why a later one was turned down.
    pub settings: Revision,
    /// The version served by.
    pub in_force: u64,
    /// Which version was turned down last, and why.
    pub turned_down: Option<(u64, String)>,
    /// Records of its feeds.
    pub servers: usize,
    /// Leaves of its topic that it hears of.
    pub leaves: usize,
}

/// A leaf.
pub struct Leaf {
    identity: Identity,
    name: String,
    timing: Timing,
    relays: Vec<RelayLocation>,
    order: Vec<MemberId>,
    started: f64,
    ticked: Option<f64>,
    links: BTreeMap<LinkId, Link>,
    next_link: u64,
    dials: BTreeMap<MemberId, Dial>,
    /// The link to the own relay.
    primary: Option<LinkId>,
    attaching: Option<Attaching>,
    attach_at: f64,
    moves: u32,
    /// Since when there is no own relay.
    lost: Option<f64>,
    heard_at: f64,
    own: Stream,
    told: Cursor,
    /// What the relay's last digest said of the own stream.
    digested: Option<u64>,
    servers: StreamCopy,
    leaves: StreamCopy,
    asked: BTreeMap<Feed, f64>,
    settings: Arc<SettingsSet>,
    incoming: Option<IncomingSet>,
    /// Settings that the relay lacks.
    outgoing: Option<OutgoingSet>,
    lacks_at: f64,
    /// Whether the settings held were not offered to the front yet.
    fresh: bool,
    in_force: u64,
    turned_down: Option<(u64, String)>,
    /// The version of which the relay has to be told what came of it.
    verdict: Option<u64>,
    budget: ByteBudget,
    closes: Vec<LinkId>,
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
            started: now,
            ticked: None,
            links: BTreeMap::new(),
            next_link: 1,
            dials: BTreeMap::new(),
            primary: None,
            attaching: None,
            attach_at: now,
            moves: 0,
            lost: None,
            heard_at: now,
            own: Stream::default(),
            told: Cursor::from_start(),
            digested: None,
            servers: StreamCopy::default(),
            leaves: StreamCopy::default(),
            asked: BTreeMap::new(),
            settings: Arc::default(),
            incoming: None,
            outgoing: None,
            lacks_at: f64::NEG_INFINITY,
            fresh: false,
            in_force: 0,
            turned_down: None,
            verdict: None,
            closes: Vec::new(),
            events: Vec::new(),
        }
    }

    /// The same, with a name for operators.
    pub fn with_name(self, name: &str) -> Leaf {
        Leaf { name: truncate(name, MAX_NAME_BYTES), ..self }
    }

    /// Takes relays and times read anew; links to those that are none any more are closed.
    pub fn reconfigure(&mut self, now: f64, relays: Vec<RelayLocation>, timing: Timing) {
        self.order = preferred_relays(self.identity.id, &self.identity.location, &relays);
        (self.relays, self.timing) = (relays, timing);
        self.budget = ByteBudget::new(now, timing.report_bytes_per_s, timing.burst_s);
        let none: Vec<LinkId> =
            self.links.iter().filter(|(_, l)| !self.order.contains(&l.relay)).map(|(id, _)| *id).collect();
        none.into_iter().for_each(|link| self.close(now, link, Loss::Left));
        self.dials.retain(|relay, _| self.order.contains(relay));
    }

    /// Which gatekeeper it is, and in which life.
    pub fn identity(&self) -> &Identity {
        &self.identity
    }

    /// The relays that are configured.
    pub fn relays(&self) -> &[RelayLocation] {
        &self.relays
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

    // ---- What is known here

    /// What the own list says of a server, as of then; none where it is no longer told of.
    pub fn set_server(&mut self, at: f64, server: ServerKey, fact: Option<ServerFact>) {
        self.write(at, Key::Server(server), fact.map(Value::Server));
    }

    /// A server of that start is silent since then, or it is not.
    pub fn set_silent(&mut self, now: f64, server: ServerKey, started_ms: u64, since: Option<f64>) {
        let value = since.map(|_| Value::Silent(started_ms));
        self.write(since.unwrap_or(now), Key::Silent(server), value);
    }

    fn write(&mut self, at: f64, key: Key, value: Option<Value>) {
        let room = self.own.get(&key).is_some() || self.own.len() < MOST_OWN;
        if room || value.is_none() {
            self.own.write(at, key, value);
        }
    }

    /// What the leaves of the own topic say of the servers, the own word among it, as the relays joined it. Silences count
    /// only while a relay is there, or was a moment ago.
    pub fn peer_observations(&self, now: f64) -> BTreeMap<ServerKey, Said> {
        let fresh = now - self.heard_at <= HEARSAY;
        let from = self.servers.state().map_or(self.identity.id, |c| c.origin.member);
        let mut all: BTreeMap<ServerKey, Said> = BTreeMap::new();
        for (key, at, value) in self.servers.stream().range(..) {
            let (server, said) = match (key, value) {
                (Key::TopicServer(_, server), Value::Server(fact)) => {
                    (server, Said { at, fact, silent: None })
                }
                (Key::TopicSilent(_, server), Value::Silent(started_ms)) if fresh => {
                    let fact = ServerFact { started_ms, place: ServerPlace::Ready };
                    (server, Said { at: f64::NEG_INFINITY, fact, silent: Some((at, from)) })
                }
                _ => continue,
            };
            let joined = all.get(&server).map_or(said, |held| held.join(&said));
            all.insert(server, joined);
        }
        all
    }

    /// The other leaves of the own topic, as the relays find them. One that is not among them is at no relay that lives: it
    /// moves, or it ended together with its relay. Nothing but a presence of gone or left tells of an end.
    pub fn peers(&self) -> impl Iterator<Item = (MemberId, LeafFact)> + '_ {
        self.leaves.stream().range(..).filter_map(|(key, _, value)| match (key, value) {
            (Key::Leaf(_, member), Value::Leaf(fact)) if member != self.identity.id => Some((member, fact)),
            _ => None,
        })
    }

    /// Where it stands.
    pub fn status(&self, now: f64) -> Status {
        let relay = self.primary.and_then(|link| self.links.get(&link)).map(|l| l.relay);
        let second = self.links.iter().find(|(id, l)| Some(**id) != self.primary && l.greeted.is_some());
        Status {
            relay,
            second_choice: second.map(|(_, l)| l.relay),
            last_heard_s: (now - self.heard_at).max(0.0),
            moves: self.moves,
            settings: self.settings.revision(),
            in_force: self.in_force,
            turned_down: self.turned_down.clone(),
            servers: self.servers.stream().len(),
            leaves: self.leaves.stream().len(),
        }
    }

    /// The relay that it is attached to.
    pub fn relay(&self) -> Option<MemberId> {
        self.primary.and_then(|link| self.links.get(&link)).map(|l| l.relay)
    }

    /// Whether it has the feeds of its relay, so that a start knows what the others know.
    pub fn has_current_feeds(&self) -> bool {
        let of_relay =
            |copy: &StreamCopy| copy.state().is_some_and(|c| Some(c.origin.member) == self.relay());
        self.primary.is_some() && of_relay(&self.servers) && of_relay(&self.leaves)
    }

    /// Both feeds as they are held, for a test to compare.
    pub fn feeds(&self) -> (&Stream, &Stream) {
        (self.servers.stream(), self.leaves.stream())
    }

    // ---- Settings

    /// Settings that came whole and were not offered before: to be checked, and answered by [`Leaf::record_settings_result`].
    pub fn take_new_settings(&mut self) -> Option<Arc<SettingsSet>> {
        std::mem::take(&mut self.fresh).then(|| Arc::clone(&self.settings))
    }

    /// Settings of this version are in force here, or why they are not.
    pub fn record_settings_result(&mut self, version: u64, verdict: Result<(), String>) {
        match verdict {
            Ok(()) => (self.in_force, self.turned_down) = (version, None),
            Err(reason) => self.turned_down = Some((version, truncate(&reason, MAX_REASON_BYTES))),
        }
        self.verdict = Some(version);
    }

    // ---- Links

    fn rank(&self, relay: MemberId) -> usize {
        self.order.iter().position(|r| *r == relay).unwrap_or(usize::MAX)
    }

    fn barred(&self, now: f64, relay: MemberId) -> bool {
        self.dials.get(&relay).is_some_and(|d| now < d.barred)
    }

    fn wait(&mut self, now: f64, relay: MemberId) {
        let (first, most) = (self.timing.min_dial_backoff_s, self.timing.max_dial_backoff_s);
        let dial = self.dials.entry(relay).or_insert(Dial { next: now, pause: first, barred: now });
        // By half to one and a half of the pause, so that not all come back in one moment.
        dial.next = now + dial.pause * (0.5 + stable_fraction(self.identity.id, relay.0 ^ self.next_link));
        dial.pause = (dial.pause * 2.0).min(most);
    }

    /// Forgets a link; the front closes it, or it is closed.
    fn gone(&mut self, now: f64, id: LinkId, loss: Loss) {
        let Some(link) = self.links.remove(&id) else { return };
        self.wait(now, link.relay);
        if self.attaching.is_some_and(|a| a.link == id) {
            self.attaching = None;
        }
        if self.primary == Some(id) {
            self.primary = None;
            self.lost.get_or_insert(now);
            let spread = self.timing.max_reattach_delay_s
                * stable_fraction(self.identity.id, u64::from(self.moves) ^ self.identity.incarnation.nonce);
            self.attach_at = now + spread;
            // The second was asked seldom until now: what it owes is an answer from here on.
            for other in self.links.values_mut() {
                other.heard_at = other.heard_at.max(now - self.timing.answer_overdue_s);
            }
            self.tell(Event::Lost(link.relay, loss));
        }
    }

    fn close(&mut self, now: f64, id: LinkId, loss: Loss) {
        self.closes.push(id);
        self.gone(now, id, loss);
    }

    /// Keeps the own relay, the one that is asked to be it, and the best of the others.
    fn trim(&mut self, now: f64) {
        let busy = |id: &LinkId| self.primary == Some(*id) || self.attaching.is_some_and(|a| a.link == *id);
        let mut others: Vec<(bool, usize, LinkId)> = (self.links.iter())
            .filter(|(id, l)| !busy(id) && l.greeted.is_some())
            .map(|(id, l)| (self.barred(now, l.relay), self.rank(l.relay), *id))
            .collect();
        others.sort();
        let kept = if self.primary.is_some() { 1 } else { 2 };
        for (.., id) in others.into_iter().skip(kept) {
            self.close(now, id, Loss::Left);
        }
    }

    /// Asks the best relay that is there to be the own one, where there is none, or a better one has been there for long.
    fn choose(&mut self, now: f64) {
        if self.attaching.is_some() {
            return;
        }
        let there = |l: &Link| l.greeted.is_some() && !self.barred(now, l.relay);
        let best = (self.links.iter()).filter(|(_, l)| there(l)).min_by_key(|(_, l)| self.rank(l.relay));
        let Some((&id, link)) = best else { return };
        let rank = self.rank(link.relay);
        let may = match self.primary.and_then(|p| self.links.get(&p)) {
            None => now >= self.attach_at && (rank == 0 || self.lost.is_some() || now - self.started >= BEST),
            Some(own) => {
                let home =
                    self.timing.return_delay_s * (1.0 + stable_fraction(self.identity.id, !link.relay.0));
                rank < self.rank(own.relay) && link.greeted.is_some_and(|since| now - since >= home)
            }
        };
        if may {
            self.moves += 1;
            self.attaching = Some(Attaching { link: id, said_at: f64::NEG_INFINITY, tries: 0 });
        }
    }

    fn attach(&mut self, now: f64) -> Option<Message> {
        let attaching = self.attaching.as_mut()?;
        (attaching.said_at, attaching.tries) = (now, attaching.tries + 1);
        Some(Message::Attach(Attach {
            moves: self.moves,
            servers: self.servers.state(),
            leaves: self.leaves.state(),
            settings: self.settings.revision(),
            in_force: self.in_force,
        }))
    }

    fn attached(&mut self, now: f64, id: LinkId, held: u64) {
        if self.attaching.is_none_or(|a| a.link != id) {
            return;
        }
        self.attaching = None;
        let old = self.primary.replace(id);
        let relay = self.links.get(&id).map(|l| l.relay);
        if let Some(link) = old.and_then(|old| self.links.get_mut(&old)) {
            link.waiting.push_back(Message::Detach);
        }
        let after = self.lost.take().map(|lost| now - lost);
        match (relay, old) {
            (Some(relay), Some(_)) => self.tell(Event::Returned(relay)),
            (Some(relay), None) => self.tell(Event::Attached(relay, after)),
            _ => {}
        }
        let origin = self.origin();
        self.told = Cursor::from_start();
        if held > 0 && held <= self.own.version() && held >= self.own.horizon() {
            let hash = if held == self.own.version() { self.own.hash() } else { 0 };
            let copied = crate::message::CopyState { origin, version: held, hash };
            self.told = Cursor::resume(origin, &self.own, Some(copied));
        }
        (self.digested, self.incoming, self.outgoing) = (None, None, None);
        self.verdict = (self.in_force > 0 || self.turned_down.is_some()).then_some(self.in_force);
        self.asked.clear();
        self.lacks_at = f64::NEG_INFINITY;
        self.heard_at = now;
        self.trim(now);
    }

    fn origin(&self) -> Origin {
        Origin { member: self.identity.id, life: self.identity.incarnation }
    }

    fn queue(&mut self, id: LinkId, message: Message) {
        if let Some(link) = self.links.get_mut(&id) {
            if link.waiting.len() < WAITING {
                link.waiting.push_back(message);
            }
        }
    }

    /// Asks for a feed to be told anew, not more often than twice a second.
    fn resync(&mut self, now: f64, id: LinkId, feed: Feed) {
        if self.asked.get(&feed).is_some_and(|at| now - at < AGAIN) {
            return;
        }
        self.asked.insert(feed, now);
        let copy = if feed == Feed::Servers { &self.servers } else { &self.leaves };
        let held = copy.state();
        self.queue(id, Message::Resync(feed, held));
        self.tell(Event::ResyncRequested(feed));
    }

    fn lacks(&mut self, now: f64, id: LinkId) {
        if now - self.lacks_at >= AGAIN {
            self.lacks_at = now;
            self.queue(id, Message::Lacks(self.settings.revision()));
        }
    }

    fn records(
        &mut self,
        now: f64,
        id: LinkId,
        feed: Feed,
        piece: &hollypaddle_replica::catch_up::Piece,
    ) -> Result<(), LinkError> {
        let lag = self.links.get(&id).map_or(0.0, |l| (now - l.answered).max(0.0));
        let copy = match feed {
            Feed::Servers => &mut self.servers,
            Feed::Leaves => &mut self.leaves,
            Feed::Own => return Err(LinkError::OutOfPlace),
        };
        match copy.apply(now, lag, piece) {
            Ok(_) => self.raise(now),
            Err(PieceError::Gap) => self.resync(now, id, feed),
            Err(PieceError::Malformed) => return Err(LinkError::Malformed("records that make no sense")),
        }
        Ok(())
    }

    /// Takes a later life than one that the relays know to have ended; all links are made anew, so that each hears of it.
    fn raise(&mut self, now: f64) {
        let key = Key::Leaf(self.identity.topic, self.identity.id);
        let Some((_, Value::Leaf(fact))) = self.leaves.stream().get(&key) else { return };
        let ended = matches!(fact.presence, Presence::Gone | Presence::Left | Presence::Closed);
        if fact.life <= self.identity.incarnation || !ended {
            return;
        }
        self.identity.incarnation.number = fact.life.number.saturating_add(1);
        self.tell(Event::IncarnationRaised(self.identity.incarnation));
        let all: Vec<LinkId> = self.links.keys().copied().collect();
        all.into_iter().for_each(|link| self.close(now, link, Loss::Left));
        self.dials.values_mut().for_each(|dial| dial.next = now);
        (self.moves, self.told, self.digested) = (0, Cursor::from_start(), None);
    }

    fn digest(&mut self, now: f64, id: LinkId, digest: &Digest) {
        if self.servers.state() != Some(digest.servers) {
            self.resync(now, id, Feed::Servers);
        }
        if self.leaves.state() != Some(digest.leaves) {
            self.resync(now, id, Feed::Leaves);
        }
        if digest.settings > self.settings.revision() {
            self.lacks(now, id);
        }
        // A whole stream that is still being told is not held before its last piece.
        if self.told.is_behind(&self.own) {
            self.digested = None;
            return;
        }
        let (version, hash) = digest.own;
        let level = version == self.own.version() && hash == self.own.hash();
        // What is on its way was said since; what is still missing one digest later was lost.
        if !level && self.digested == Some(version) {
            let held = crate::message::CopyState { origin: self.origin(), version, hash };
            self.told = Cursor::resume(self.origin(), &self.own, Some(held));
            self.digested = None;
        } else {
            self.digested = (!level).then_some(version);
        }
    }

    fn part(&mut self, now: f64, id: LinkId, part: &crate::settings::Part) -> Result<(), LinkError> {
        // Nothing older wins, whoever tells it.
        if part.upto <= self.settings.revision() {
            return Ok(());
        }
        match IncomingSet::accept_part(&self.settings, &mut self.incoming, part) {
            Ok(None) => {}
            Ok(Some(set)) => {
                self.tell(Event::SettingsReceived(set.revision()));
                (self.settings, self.fresh) = (Arc::new(set), true);
            }
            Err(PartError::Gap) => self.lacks(now, id),
            Err(PartError::HashMismatch) => {
                // Whatever it builds on is not what was told: the whole is asked for.
                self.queue(id, Message::Lacks(Revision::default()));
            }
            Err(PartError::TooLarge) => {
                return Err(LinkError::Malformed("settings of more entries than may be"))
            }
        }
        Ok(())
    }

    /// The next message on a link, before it is charged.
    fn choose_message(&mut self, now: f64, id: LinkId) -> Option<Message> {
        let timing = self.timing;
        let (primary, attaching) = (self.primary == Some(id), self.attaching);
        let alone = self.primary.is_none();
        // While the own relay does not answer it counts whether the second does.
        let doubted = self
            .primary
            .and_then(|p| self.links.get(&p))
            .is_some_and(|l| now - l.heard_at >= timing.answer_overdue_s);
        let link = self.links.get_mut(&id).filter(|l| l.up)?;
        if let Some(message) = link.waiting.pop_front() {
            return Some(message);
        }
        let attach = attaching.is_some_and(|a| a.link == id && now - a.said_at >= timing.attach_timeout_s);
        if attach {
            return self.attach(now);
        }
        if now >= link.next_ping {
            let missing = now - link.heard_at >= timing.answer_overdue_s;
            let pause = match () {
                () if missing && (primary || alone || doubted) => timing.suspect_ping_interval_s,
                () if primary || alone || doubted => timing.ping_interval_s,
                () => timing.second_ping_interval_s,
            };
            link.next_ping = now + pause;
            link.pinged = (link.pinged.0.wrapping_add(1), now);
            return Some(Message::Ping(link.pinged.0));
        }
        if !primary || !self.budget.can_send(now) {
            return None;
        }
        if self.verdict.take().is_some() {
            let said = |(version, reason): &(u64, String)| (*version, Some(reason.clone()));
            let (version, refused) = self.turned_down.as_ref().map_or((self.in_force, None), said);
            return Some(Message::Verdict { version, refusal: refused });
        }
        if self.told.is_behind(&self.own) {
            let origin = self.origin();
            return Some(Message::Records(Feed::Own, self.told.next_piece(now, origin, &self.own)));
        }
        let part = self.outgoing.as_mut()?.next_part();
        if part.last {
            self.outgoing = None;
        }
        Some(Message::Settings { proposed: false, part })
    }

    /// Whether something waits that is said as the budget allows.
    fn tells(&self) -> bool {
        self.told.is_behind(&self.own) || self.verdict.is_some() || self.outgoing.is_some()
    }
}

impl Node for Leaf {
    fn links_to_open(&mut self, now: f64) -> Vec<(LinkId, MemberId)> {
        // Beside the own relay, however it is placed, one more; without one the two best that can be reached.
        let own = self.relay();
        let wanted = if own.is_some() { 1 } else { 2 };
        let (mut count, mut made) = (0, Vec::new());
        for relay in self.order.clone().into_iter().filter(|relay| Some(*relay) != own) {
            if count >= wanted {
                break;
            }
            let barred = self.barred(now, relay);
            if self.links.values().any(|l| l.relay == relay) {
                count += usize::from(!barred);
                continue;
            }
            let waits = self.dials.get(&relay).is_some_and(|d| now < d.next);
            if barred || waits {
                continue;
            }
            count += 1;
            let id = LinkId(self.next_link);
            self.next_link += 1;
            let link = Link {
                relay,
                up: false,
                greeted: None,
                since: now,
                heard_at: now,
                pinged: (0, now),
                answered: now,
                next_ping: f64::INFINITY,
                waiting: VecDeque::new(),
            };
            self.links.insert(id, link);
            made.push((id, relay));
        }
        made
    }

    fn accept_link(&mut self, _: f64) -> LinkId {
        // Nobody makes links to a leaf; the front has no listener for one.
        self.next_link += 1;
        LinkId(self.next_link - 1)
    }

    fn link_up(&mut self, now: f64, id: LinkId) {
        let identity = &self.identity;
        if let Some(link) = self.links.get_mut(&id) {
            (link.up, link.since, link.heard_at) = (true, now, now);
            link.waiting.push_back(Message::Hello(Hello {
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
        self.gone(now, id, Loss::Closed);
    }

    fn receive(&mut self, now: f64, id: LinkId, message: &Message) -> Result<(), LinkError> {
        let Some(link) = self.links.get_mut(&id) else { return Ok(()) };
        // What else it says comes also where it does not hear this leaf: the way there may be cut.
        if matches!(
            message,
            Message::Welcome { .. } | Message::Pong(_) | Message::Attached(_) | Message::Refused(..)
        ) {
            link.heard_at = now;
        }
        let primary = self.primary == Some(id);
        if primary {
            self.heard_at = now;
        }
        match message {
            Message::Welcome { relay, .. } => {
                if *relay != link.relay {
                    return Err(LinkError::NotForUs);
                }
                link.greeted = Some(now);
                link.next_ping = now;
                if let Some(dial) = self.dials.get_mut(relay) {
                    dial.pause = self.timing.min_dial_backoff_s;
                }
                self.trim(now);
            }
            Message::Unknown(_) => {}
            _ if link.greeted.is_none() => return Err(LinkError::OutOfPlace),
            Message::Pong(number) => {
                if *number == link.pinged.0 {
                    link.answered = link.pinged.1;
                }
            }
            Message::Attached(held) => self.attached(now, id, *held),
            Message::Refused(why, retry_ms) => {
                let (relay, seconds) = (link.relay, f64::from(*retry_ms) / 1000.0);
                // One that wanted to go home waits as long as before the first try.
                link.greeted = Some(now);
                let first = self.timing.min_dial_backoff_s;
                let dial = self.dials.entry(relay).or_insert(Dial { next: now, pause: first, barred: now });
                dial.barred = now + seconds;
                if self.attaching.is_some_and(|a| a.link == id) {
                    self.attaching = None;
                }
                self.tell(Event::Refused(relay, *why, seconds));
                if primary {
                    // It sheds this leaf: the link stays for a while, as that of a relay that is barred.
                    self.primary = None;
                    self.lost.get_or_insert(now);
                    self.attach_at = now
                        + self.timing.max_reattach_delay_s
                            * stable_fraction(self.identity.id, u64::from(self.moves));
                    self.tell(Event::Lost(relay, Loss::Left));
                }
            }
            Message::Leave => self.close(now, id, Loss::Left),
            // What comes from one that was the own relay a moment ago counts for nothing.
            Message::Records(feed, piece) if primary => self.records(now, id, *feed, piece)?,
            Message::Digest(digest) if primary => self.digest(now, id, digest),
            Message::Settings { proposed: false, part } if primary => self.part(now, id, part)?,
            Message::Resync(Feed::Own, held) if primary => {
                self.told = Cursor::resume(self.origin(), &self.own, *held);
            }
            // All relays were gone, and this one has not stored what is in force.
            Message::Lacks(held) if primary => {
                self.outgoing = Some(OutgoingSet::new(Arc::clone(&self.settings), *held));
            }
            Message::Digest(_) if self.attaching.is_none_or(|a| a.link != id) => {
                // It was not heard that another relay is the own one now.
                let waits = link.waiting.contains(&Message::Detach);
                if !waits {
                    self.queue(id, Message::Detach);
                }
            }
            Message::Records(..) | Message::Digest(_) | Message::Settings { proposed: false, .. } => {}
            Message::Resync(Feed::Own, _) | Message::Lacks(_) => {}
            _ => return Err(LinkError::OutOfPlace),
        }
        self.choose(now);
        Ok(())
    }

    fn links_to_serve(&mut self, now: f64) -> Vec<LinkId> {
        let open = self.budget.can_send(now);
        let tells = open && self.tells();
        let due = |(id, link): (&LinkId, &Link)| {
            let attach = self
                .attaching
                .is_some_and(|a| a.link == *id && now - a.said_at >= self.timing.attach_timeout_s);
            let primary = self.primary == Some(*id) && tells;
            link.up && (!link.waiting.is_empty() || now >= link.next_ping || attach || primary)
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
        std::mem::take(&mut self.closes)
    }

    fn tick(&mut self, now: f64) {
        let gap = self.ticked.map_or(0.0, |last| now - last);
        self.ticked = Some(now);
        if gap >= WOKE {
            for link in self.links.values_mut() {
                (link.heard_at, link.since) = (now, now);
                if link.greeted.is_some() {
                    link.next_ping = link.next_ping.min(now);
                }
            }
        }
        let timing = self.timing;
        // The second is asked as the own one is once that does not answer.
        let doubted = self
            .primary
            .and_then(|p| self.links.get(&p))
            .is_some_and(|l| now - l.heard_at >= timing.answer_overdue_s);
        if doubted || self.primary.is_none() {
            for link in self.links.values_mut().filter(|l| l.greeted.is_some()) {
                link.next_ping = link.next_ping.min(link.pinged.1 + timing.ping_interval_s);
            }
        }
        if let Some(own) = self.primary.and_then(|p| self.links.get_mut(&p)) {
            // The next ping comes sooner once an answer is missing.
            if now - own.heard_at >= timing.answer_overdue_s {
                own.next_ping = own.next_ping.min(own.pinged.1 + timing.suspect_ping_interval_s);
            }
        }
        let lost = |(id, link): (&LinkId, &Link)| {
            let silent = now - link.heard_at;
            match link.greeted {
                None => now - link.since >= timing.handshake_timeout_s,
                Some(_) if self.primary == Some(*id) || self.primary.is_none() => {
                    silent >= timing.silent_after_s
                }
                Some(_) => silent >= 2.0 * timing.second_ping_interval_s + timing.silent_after_s,
            }
        };
        let lost: Vec<LinkId> = self.links.iter().filter(|e| lost(*e)).map(|(id, _)| *id).collect();
        lost.into_iter().for_each(|id| self.close(now, id, Loss::Silent));
        if let Some(a) =
            self.attaching.filter(|a| a.tries >= TRIES && now - a.said_at >= timing.attach_timeout_s)
        {
            self.close(now, a.link, Loss::Silent);
        }
        self.choose(now);
        self.trim(now);
    }

    fn next_tick_at(&self) -> f64 {
        let t = &self.timing;
        let mut next = f64::INFINITY;
        for (id, link) in &self.links {
            let silent = match link.greeted {
                None => link.since + t.handshake_timeout_s,
                Some(_) if self.primary == Some(*id) => {
                    (link.heard_at + t.answer_overdue_s).min(link.heard_at + t.silent_after_s)
                }
                Some(_) if self.primary.is_none() => link.heard_at + t.silent_after_s,
                Some(_) => link.heard_at + 2.0 * t.second_ping_interval_s + t.silent_after_s,
            };
            // Once an answer is missing the pings come at their own pace.
            let silent = if self.ticked.is_some_and(|at| at >= silent) { link.next_ping } else { silent };
            next = next.min(silent).min(link.next_ping);
        }
        if let Some(a) = self.attaching {
            next = next.min(a.said_at + t.attach_timeout_s);
        } else if self.primary.is_none() {
            let at = self.attach_at.max(if self.lost.is_none() { self.started + BEST } else { 0.0 });
            if self.ticked.is_none_or(|ticked| ticked < at) {
                next = next.min(at);
            }
        }
        if self.links.len() < 2 {
            let waits =
                self.order.iter().map(|r| self.dials.get(r).map_or(self.started, |d| d.next.max(d.barred)));
            let waits = waits.filter(|at| self.ticked.is_none_or(|ticked| *at > ticked));
            next = waits.fold(next, f64::min);
        }
        if self.primary.is_some() && self.tells() {
            next = next.min(self.budget.can_send_at());
        }
        next.min(self.ticked.unwrap_or(self.started) + t.ping_interval_s)
    }
}
