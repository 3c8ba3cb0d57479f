//! One member of a fleet, without its sockets: messages in, messages out.
//!
//! The gatekeeper passes in the messages of other members ([`Member::receive`]) and the time ([`Member::tick`]),
//! records what it knows itself ([`Member::record_server`], [`Member::call_established`], [`Member::call_ended`]),
//! and fetches the next message to each member whose link has room ([`Member::next_message`]). No messages are queued
//! here for a member that reads none: a message is built when it is fetched, from the latest state.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use hollypaddle_lending::{Announcement, BudgetKey, BudgetRequest};
use hollypaddle_membership::view::{Change, Membership, State};
use hollypaddle_membership::{view, Heartbeat, Incarnation, MemberId};
use hollypaddle_ownership::owner;
use serde::{Deserialize, Serialize};

use crate::adoption::{self, AdoptedCall};
use crate::catch_up::{self, CatchUp, Chunk, ChunkError, ChunkRequest, Mismatch, Outgoing, StreamDigest};
use crate::record::{CallFact, Key, Origin, ServerFact, ServerKey, ServerState, Value, KINDS};
use crate::store::{ServerObservation, Store};
use crate::stream::Conflict;

/// The version of the protocol between members; members of other versions are refused.
pub const PROTOCOL: u16 = 2;
/// Interval between two checks of what fetches lack, in seconds.
const POLL_INTERVAL_S: f64 = 0.1;
/// Interval between two sweeps of what may be dropped, in seconds.
const SWEEP_INTERVAL_S: f64 = 1.0;
/// How long an end that is handed over stays published, in seconds: by then a member that has callers has delivered
/// it.
const OWED_END_LIFETIME_S: f64 = 10.0;
/// Most ended calls that are checked in one sweep.
const MAX_ENDS_PER_SWEEP: usize = 512;
/// Most events kept for the log until they are taken; those beyond it are only counted.
const MAX_QUEUED_EVENTS: usize = 256;

/// The settings of a member; times are in seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Settings of membership.
    pub membership: view::Settings,
    /// Settings of catch-up.
    pub catch_up: catch_up::Settings,
    /// Interval between two digests to a member.
    pub digest_interval: f64,
    /// Longest time that a start waits until the member has caught up.
    pub catch_up_timeout: f64,
    /// Members that cannot be reached within this time are not waited for.
    pub unreachable_grace: f64,
    /// The stream of an incarnation that has ended is dropped after this time.
    pub forget_after: f64,
    /// How much later the same news from the resolver may arrive at one gatekeeper than at another.
    pub max_list_delay: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            membership: view::Settings::default(),
            catch_up: catch_up::Settings::default(),
            digest_interval: 0.5,
            catch_up_timeout: 2.0,
            unreachable_grace: 0.5,
            forget_after: 120.0,
            // The platform regards a message as delivered after this time, whether it arrived or not.
            max_list_delay: 7.0,
        }
    }
}

/// Messages between members.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// The first message on a link, in each direction.
    Hello {
        /// The version of the protocol.
        protocol: u16,
        /// The sender.
        from: MemberId,
        /// The intended receiver.
        to: MemberId,
        /// The sender's incarnation.
        life: Incarnation,
        /// The receiver's incarnation as the sender knows it, and how long ago that was alive, in milliseconds.
        known: Option<(Incarnation, u32)>,
    },
    /// Sent periodically; carries the sender's liveness.
    Heartbeat(Heartbeat),
    /// What the sender holds, and for each member the incarnation below which its streams are over.
    Digest(Vec<StreamDigest>, Vec<(MemberId, u64)>),
    /// Requests what the sender lacks.
    Request(ChunkRequest),
    /// A part of a stream.
    Chunk(Chunk),
    /// The sender ends.
    Leave,
}

/// Why a message closes its link. A new link is made without any action; meanwhile no messages arrive from that
/// member, and it is suspected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Rejection {
    /// The member speaks another version of the protocol.
    #[error(
        "version {0} of the protocol, expected {PROTOCOL}: members of different versions refuse each other; bring \
         all to one version of the program"
    )]
    Protocol(u16),
    /// The message was meant for another member.
    #[error(
        "meant for another member: two members' addresses are mixed up in a block `fleet`; compare the files"
    )]
    WrongRecipient,
    /// The message came a second time, or too early.
    #[error(
        "a message that is not expected at this point: an unknown sender, or a fault; if it is a member's address, \
         file the line with the maintainers"
    )]
    UnexpectedMessage,
    /// The stream belongs to no member of the configuration.
    #[error(
        "a stream of no configured member: the other member's file names a member that this one's does not; send \
         SIGHUP to all after a change"
    )]
    UnknownOrigin,
    /// Membership refused the message.
    #[error(transparent)]
    Membership(#[from] view::Rejection),
    /// The chunk was invalid.
    #[error(transparent)]
    Chunk(#[from] ChunkError),
}

impl Rejection {
    /// The reason as it is written to the log and listed on the page for on-call staff.
    pub fn name(&self) -> &'static str {
        match self {
            Rejection::Protocol(_) => "protocol",
            Rejection::WrongRecipient => "not-for-us",
            Rejection::UnexpectedMessage => "out-of-place",
            Rejection::UnknownOrigin => "stranger",
            Rejection::Membership(rejection) => rejection.name(),
            Rejection::Chunk(error) => error.name(),
        }
    }
}

/// How a member came to accept calls after a start or a pause.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CatchUpOutcome {
    /// It holds everything that the members it reached held.
    Complete,
    /// No other member could be reached.
    Alone,
    /// The time limit was reached; it continues to catch up.
    Late,
}

/// An event for the log.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A change of membership.
    Member(Change),
    /// The member accepts calls, this many seconds after its start or its pause.
    CaughtUp(CatchUpOutcome, f64),
    /// Two contents under one version were found in a stream.
    Conflict(Origin, Conflict),
    /// A copy differs from another member's although all messages arrived.
    CopyDiverged(Origin, MemberId),
    /// A copy that differed was repaired.
    CopyRepaired(Origin),
    /// A stream that is over was dropped, with this many records.
    StreamForgotten(Origin, usize),
    /// This many records were not published so far, as the stream is full.
    RecordsLeftOut(u64),
}

/// What the gatekeeper is to do about a call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CallAction {
    /// Take responsibility for a call of a member that is gone.
    Adopt(u64, AdoptedCall),
    /// Give up responsibility for a call: it belongs to another member again, or has ended.
    Yield(u64),
    /// An own call was ended by another member, which has told its caller.
    EndedElsewhere(u64),
    /// Deliver the end of a call to its caller, in place of a member that has no such caller; whether the call was
    /// cut.
    DeliverEnd(u64, bool),
}

/// What a start, or the time after a pause, waits for.
#[derive(Clone, Debug)]
struct Resync {
    started_at: f64,
    /// What each member reported to hold after `started_at`.
    targets: BTreeMap<MemberId, Vec<StreamDigest>>,
}

/// A member of the fleet: its view of the others, the records it holds, and the calls it is responsible for.
#[derive(Clone)]
pub struct Member {
    settings: Settings,
    started_at: f64,
    view: Membership,
    store: Store,
    catch_up: CatchUp,
    resync: Option<Resync>,
    next_digest_at: BTreeMap<MemberId, f64>,
    next_poll_at: f64,
    next_sweep_at: f64,
    /// Since when the incarnation of each stream has been over.
    origin_ended_at: BTreeMap<Origin, f64>,
    /// The calls that this member is responsible for in place of others, and whether that is to be computed again
    /// (`adoption_outdated`).
    adopted: BTreeMap<u64, AdoptedCall>,
    adoption_outdated: bool,
    /// Whether messages arrived from a majority, as of the last tick.
    has_quorum: bool,
    /// Ends delivered for others, kept as long as those publish them.
    delivered_ends: BTreeSet<u64>,
    /// The call at which the last sweep of ended calls stopped.
    last_swept_call: u64,
    events: Vec<Event>,
    call_actions: Vec<CallAction>,
    /// Counters since the start.
    pub counts: Counts,
}

/// Counters since the start of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// Records found with two contents under one version.
    pub conflicts: u64,
    /// Copies that differed although all messages arrived.
    #[serde(rename = "differed")]
    pub diverged: u64,
    /// Copies repaired.
    #[serde(rename = "mended")]
    pub repaired: u64,
    /// Records that were not published because the stream is full.
    pub left_out: u64,
    /// Events dropped because too many occurred at once.
    pub events_dropped: u64,
    /// Calls adopted.
    pub adopted: u64,
    /// Ends that this member handed over to members that have callers.
    #[serde(rename = "owed")]
    pub ends_handed_over: u64,
    /// Ends that this member delivered to callers for others.
    #[serde(rename = "told")]
    pub ends_delivered_for_others: u64,
}

impl Member {
    /// A member that has just started, in a configuration with these members.
    pub fn new(
        now: f64,
        own: MemberId,
        life: Incarnation,
        settings: Settings,
        members: impl IntoIterator<Item = MemberId>,
    ) -> Member {
        Member {
            settings,
            started_at: now,
            view: Membership::new(now, own, life, settings.membership, members),
            store: Store::new(Origin { member: own, life }),
            catch_up: CatchUp::new(now, settings.catch_up),
            resync: Some(Resync { started_at: now, targets: BTreeMap::new() }),
            next_digest_at: BTreeMap::new(),
            next_poll_at: now,
            next_sweep_at: now,
            origin_ended_at: BTreeMap::new(),
            adopted: BTreeMap::new(),
            adoption_outdated: false,
            has_quorum: false,
            delivered_ends: BTreeSet::new(),
            last_swept_call: 0,
            events: Vec::new(),
            call_actions: Vec::new(),
            counts: Counts::default(),
        }
    }

    /// Applies changed settings and members.
    pub fn reconfigure(&mut self, settings: Settings, members: &[MemberId]) {
        self.settings = settings;
        self.catch_up.reconfigure(settings.catch_up);
        self.view.set_members(members.iter().copied());
        self.store.retain_members(members);
        self.adoption_outdated = true;
    }

    /// The membership view.
    pub fn view(&self) -> &Membership {
        &self.view
    }

    /// The streams that are held here.
    pub fn store(&self) -> &Store {
        &self.store
    }

    /// When more may be sent to a member that waits for it, if there is one.
    pub fn next_send_at(&self) -> Option<f64> {
        self.catch_up.next_send_at(&self.store)
    }

    /// Records sent and received in catch-up, and the number of streams that are being fetched.
    pub fn catch_up_counts(&self) -> (u64, u64, usize) {
        (self.catch_up.records_sent, self.catch_up.records_received, self.catch_up.fetches_in_progress())
    }

    /// Whether the member holds what the others held when it met them, or has waited long enough for that.
    pub fn is_caught_up(&self) -> bool {
        self.resync.is_none()
    }

    /// Returns the events since the last call.
    pub fn take_events(&mut self) -> Vec<Event> {
        std::mem::take(&mut self.events)
    }

    /// Returns the actions on calls since the last call.
    pub fn take_call_actions(&mut self) -> Vec<CallAction> {
        std::mem::take(&mut self.call_actions)
    }

    fn push_event(&mut self, event: Event) {
        match self.events.len() < MAX_QUEUED_EVENTS {
            true => self.events.push(event),
            false => self.counts.events_dropped += 1,
        }
    }

    // ---- What this member knows itself

    /// Records what the own list reports of a server, and when it did.
    pub fn record_server(&mut self, at: f64, server: ServerKey, fact: ServerFact) {
        self.write(at, Key::Server(server), Value::Server(fact));
    }

    /// Records since when a server of that start has been silent; `None` if it is not silent.
    pub fn record_silence(&mut self, now: f64, server: ServerKey, started_ms: u64, since: Option<f64>) {
        match since {
            Some(at) => self.write(at, Key::Silent(server), Value::Silent(started_ms)),
            None => _ = self.store.own_stream().write(now, Key::Silent(server), None),
        }
    }

    /// Records a call that has stood since `at`.
    pub fn call_established(&mut self, at: f64, id: u64, fact: CallFact) {
        self.write(at, Key::Call(id), Value::Call(fact));
    }

    /// Records that a call has ended: an own one is withdrawn, the end of another member's is published.
    pub fn call_ended(&mut self, now: f64, id: u64) {
        let own = self.store.own_stream().write(now, Key::Call(id), None);
        // A stream of an earlier incarnation may also have the call as standing. And a member that has restarted may
        // end a call of which it learns only later that it stood.
        if self.store.standing_call(id).is_some()
            || !own && now - self.started_at < self.settings.forget_after
        {
            self.write(now, Key::Over(id), Value::Over);
        }
        self.adopted.remove(&id);
    }

    /// A call that stands through another member, as far as is known here.
    pub fn call_elsewhere(&self, id: u64) -> Option<AdoptedCall> {
        let (origin, since, fact) = self.store.standing_call(id)?;
        (origin != self.store.own_origin()).then_some(AdoptedCall { origin, since, fact })
    }

    /// A call that this member is responsible for in place of one that is gone.
    pub fn adopted_call(&self, id: u64) -> Option<&AdoptedCall> {
        self.adopted.get(&id)
    }

    /// Writes a relay's record to the own stream, or withdraws it if `value` is `None`.
    pub fn publish(&mut self, at: f64, key: Key, value: Option<Value>) {
        match value {
            Some(value) => self.write(at, key, value),
            None => _ = self.store.own_stream().write(at, key, None),
        }
    }

    fn write(&mut self, at: f64, key: Key, value: Value) {
        let max_records = self.settings.catch_up.max_records;
        let stream = self.store.own_stream();
        if stream.get(&key).is_none() && stream.len() >= max_records {
            self.counts.left_out += 1;
            // Reported whenever the count has doubled.
            if self.counts.left_out.is_power_of_two() {
                let count = self.counts.left_out;
                self.push_event(Event::RecordsLeftOut(count));
            }
            return;
        }
        stream.write(at, key, Some(value));
    }

    /// What the other members from which messages arrive report of the servers.
    pub fn peer_observations(&self) -> BTreeMap<ServerKey, ServerObservation> {
        self.store.peer_observations(|origin| self.is_origin_connected(origin))
    }

    /// Whether messages arrive here from a stream's origin, in that incarnation.
    fn is_origin_connected(&self, origin: &Origin) -> bool {
        is_origin_connected(&self.view, origin)
    }

    /// Sets whether there are callers here to which the end of any call can be delivered.
    pub fn set_has_callers(&mut self, callers: bool) {
        // Ends of others may be this member's to deliver now.
        self.adoption_outdated |= self.view.set_callers(callers);
    }

    /// Whether another member has callers to deliver ends to.
    pub fn others_have_callers(&self) -> bool {
        self.view.members_with_callers().any(|member| member != self.view.own_id())
    }

    /// Hands over an end that was received here without a caller to deliver it to: one of the members with callers is
    /// to deliver it. `cut` is whether the call was cut.
    pub fn hand_over_end(&mut self, now: f64, id: u64, cut: bool) {
        self.counts.ends_handed_over += 1;
        self.write(now, Key::Owed(id), Value::Owed(cut));
    }

    /// Delivers those ends of others that fall to this member: one of the members with callers does it, chosen by
    /// rendezvous hashing. Two members with different views of who has callers may both do it; the cost is a
    /// duplicate message.
    fn deliver_owed_ends(&mut self) {
        let owed = self.store.owed_ends();
        self.delivered_ends.retain(|id| owed.contains_key(id));
        let own = self.view.own_id();
        let candidates: Vec<(MemberId, u64)> = self.view.members_with_callers().map(|m| (m, m.0)).collect();
        for (id, cut) in owed {
            if !self.delivered_ends.contains(&id) && owner(id, candidates.iter().copied()) == Some(own) {
                self.counts.ends_delivered_for_others += 1;
                self.delivered_ends.insert(id);
                self.call_actions.push(CallAction::DeliverEnd(id, cut));
            }
        }
    }

    // ---- Budgets

    /// Publishes what this member requests of a budget, or lends of its part.
    pub fn announce_lending(&mut self, now: f64, announcement: Announcement) {
        let (key, value) = match announcement {
            Announcement::Request(budget, part) => (Key::Want(budget), part.map(Value::Want)),
            Announcement::Lease(budget, to, lease) => (Key::Lent(budget, to), lease.map(Value::Lent)),
        };
        match value {
            Some(value) => self.write(now, key, value),
            None => _ = self.store.own_stream().write(now, key, None),
        }
    }

    /// What the other members from which messages arrive request of budgets.
    pub fn budget_requests(&self) -> Vec<BudgetRequest> {
        self.store.budget_requests(|origin| self.is_origin_connected(origin))
    }

    /// The leases to this member: the budget, the time of the evidence, and the part in millionths of the whole.
    pub fn leases(&self) -> Vec<(BudgetKey, f64, u32)> {
        self.store.leases()
    }

    // ---- Links

    /// The first message on a link to a member.
    pub fn hello(&self, now: f64, to: MemberId) -> Message {
        let known = self.view.known_incarnation_of(now, to);
        Message::Hello {
            protocol: PROTOCOL,
            from: self.view.own_id(),
            to,
            life: self.view.incarnation(),
            known,
        }
    }

    /// Handles the first message on a link and returns its sender.
    pub fn receive_hello(&mut self, now: f64, message: &Message) -> Result<MemberId, Rejection> {
        let Message::Hello { protocol, from, to, life, known } = *message else {
            return Err(Rejection::UnexpectedMessage);
        };
        if protocol != PROTOCOL {
            return Err(Rejection::Protocol(protocol));
        }
        if to != self.view.own_id() || from == to {
            return Err(Rejection::WrongRecipient);
        }
        self.view.link_up(now, from, life, known)?;
        self.catch_up.link_up(from);
        self.next_digest_at.insert(from, now);
        self.apply_membership_changes(now);
        Ok(from)
    }

    /// Records that a link is down.
    pub fn link_down(&mut self, member: MemberId) {
        self.view.link_down(member);
        self.catch_up.link_down(member);
        self.next_digest_at.remove(&member);
    }

    /// Records that a member's address refused a link.
    pub fn link_refused(&mut self, now: f64, member: MemberId) {
        self.view.link_refused(now, member);
    }

    /// Handles a message of a member; after an error its link must be closed.
    pub fn receive(&mut self, now: f64, from: MemberId, message: &Message) -> Result<(), Rejection> {
        match message {
            Message::Hello { .. } => return Err(Rejection::UnexpectedMessage),
            Message::Heartbeat(heartbeat) => self.view.receive_heartbeat(now, from, heartbeat)?,
            Message::Digest(held, floors) => self.receive_digest(now, from, held, floors),
            Message::Request(request) => self.catch_up.receive_request(from, request, &self.store),
            Message::Chunk(chunk) => self.receive_chunk(now, from, chunk)?,
            Message::Leave => self.view.member_left(now, from),
        }
        self.apply_membership_changes(now);
        Ok(())
    }

    fn receive_digest(
        &mut self,
        now: f64,
        from: MemberId,
        digests: &[StreamDigest],
        floors: &[(MemberId, u64)],
    ) {
        for (member, floor) in floors {
            // Only this member itself decides when its own incarnation is over.
            if self.view.incarnation_of(*member).is_some() && *member != self.view.own_id() {
                self.forget_streams(*member, *floor);
            }
        }
        let view = &self.view;
        let known = |h: &&StreamDigest| view.incarnation_of(h.origin.member).is_some();
        let digests: Vec<StreamDigest> = digests.iter().filter(known).copied().collect();
        let is_fresh = self.resync.as_ref().is_some_and(|r| {
            // What was already on its way does not count: it must have been sent after an own heartbeat was received.
            self.view.last_echoed_at(from).is_some_and(|at| at >= r.started_at)
        });
        if let (true, Some(resync)) = (is_fresh, &mut self.resync) {
            resync.targets.entry(from).or_insert_with(|| digests.clone());
        }
        let mismatches = self
            .catch_up
            .receive_digest(now, from, &digests, &self.store, |origin| is_origin_connected(view, origin));
        for mismatch in mismatches {
            match mismatch {
                Mismatch::Diverged(origin) => {
                    self.counts.diverged += 1;
                    self.push_event(Event::CopyDiverged(origin, from));
                }
                // Another process wrote to this incarnation's stream before this one: a new incarnation is needed.
                Mismatch::Ahead(_) => self.raise_incarnation(now),
            }
        }
    }

    fn raise_incarnation(&mut self, now: f64) {
        let mut life = self.view.incarnation();
        // Also if a message named the last incarnation there is.
        life.number = life.number.saturating_add(1);
        self.view.set_incarnation(life);
        self.store.set_own_incarnation(life);
        self.push_event(Event::Member(Change::IncarnationRaised(life)));
        self.reset_links(now);
    }

    /// The own stream was replaced: all members are sent a new digest.
    fn reset_links(&mut self, now: f64) {
        let members: Vec<MemberId> = self.next_digest_at.keys().copied().collect();
        for member in members {
            self.catch_up.link_down(member);
            self.catch_up.link_up(member);
            self.next_digest_at.insert(member, now);
        }
    }

    fn receive_chunk(&mut self, now: f64, from: MemberId, chunk: &Chunk) -> Result<(), Rejection> {
        if self.view.incarnation_of(chunk.origin.member).is_none() {
            return Err(Rejection::UnknownOrigin);
        }
        let lag = self.view.lag(now, from);
        let applied = self.catch_up.receive_chunk(now, lag, from, chunk, &mut self.store)?;
        for conflict in applied.conflicts {
            self.counts.conflicts += 1;
            self.push_event(Event::Conflict(chunk.origin, conflict));
        }
        if applied.repaired {
            self.counts.repaired += 1;
            self.push_event(Event::CopyRepaired(chunk.origin));
        }
        let ended = applied.keys.iter().filter_map(|key| match key {
            Key::Over(id) => Some(*id),
            _ => None,
        });
        for id in ended {
            if self.store.is_call_over(id) && self.store.own_stream().get(&Key::Call(id)).is_some() {
                self.call_actions.push(CallAction::EndedElsewhere(id));
                self.store.own_stream().write(now, Key::Call(id), None);
            }
        }
        // Whether the chunk changes the calls of members that are gone, or ends some that this member is responsible for.
        self.adoption_outdated |= !applied.keys.is_empty()
            && (adoption::call_owner(&chunk.origin, &self.view) != adoption::CallOwner::Origin
                || applied.keys.iter().any(|key| matches!(key, Key::Over(_) | Key::Owed(_))));
        Ok(())
    }

    /// The next message to a member whose link has room, if there is one.
    pub fn next_message(&mut self, now: f64, to: MemberId) -> Option<Message> {
        if self.view.superseded() || !self.next_digest_at.contains_key(&to) {
            return None;
        }
        if let Some(heartbeat) = self.view.next_heartbeat(now, to, self.resync.is_none()) {
            return Some(Message::Heartbeat(heartbeat));
        }
        match self.catch_up.next_outgoing(now, to, &self.store) {
            Some(Outgoing::Request(request)) => return Some(Message::Request(request)),
            Some(Outgoing::Chunk(chunk)) => return Some(Message::Chunk(chunk)),
            None => {}
        }
        let next_digest_at = self.next_digest_at.get_mut(&to).filter(|at| now >= **at)?;
        *next_digest_at = now + self.settings.digest_interval;
        Some(Message::Digest(CatchUp::digest(&self.store), self.store.floors().collect()))
    }

    // ---- Time

    /// Advances everything that depends on time. Call it at least every few tens of milliseconds, before any received
    /// message is handled.
    pub fn tick(&mut self, now: f64) {
        self.view.tick(now);
        let had_quorum = std::mem::replace(&mut self.has_quorum, self.view.quorum_is_stable());
        // Calls whose adoption had to wait for a majority may be adopted now.
        self.adoption_outdated |= self.has_quorum && !had_quorum;
        self.apply_membership_changes(now);
        if now >= self.next_poll_at {
            self.next_poll_at = now + POLL_INTERVAL_S;
            let view = &self.view;
            self.catch_up.poll(now, &self.store, |origin| is_origin_connected(view, origin));
            if std::mem::take(&mut self.adoption_outdated) {
                self.update_adoptions();
                self.deliver_owed_ends();
            }
        }
        if now >= self.next_sweep_at {
            self.next_sweep_at = now + SWEEP_INTERVAL_S;
            self.sweep(now);
        }
        self.check_catch_up(now);
    }

    /// Applies what membership found.
    fn apply_membership_changes(&mut self, now: f64) {
        for change in self.view.take_changes() {
            match change {
                Change::IncarnationRaised(life) => {
                    self.store.set_own_incarnation(life);
                    self.reset_links(now);
                }
                Change::Resumed(_) => {
                    self.resync = Some(Resync { started_at: now, targets: BTreeMap::new() });
                }
                Change::Gone(..) | Change::Returned(_) | Change::Restarted(..) => {
                    self.adoption_outdated = true
                }
                _ => {}
            }
            self.push_event(Event::Member(change));
        }
    }

    fn check_catch_up(&mut self, now: f64) {
        let Some(resync) = &self.resync else { return };
        let waited = now - resync.started_at;
        let mut reached = 0;
        let settled = self.view.peers().all(|member| {
            let state = self.view.state(member);
            let linked = self.view.is_linked(member) && matches!(state, State::Alive);
            let holds = |digest: &StreamDigest| {
                let own_version = self.store.stream(&digest.origin).map_or(0, |s| s.version());
                digest.origin == self.store.own_origin()
                    || self.store.is_forgotten(&digest.origin)
                    || own_version >= digest.version
            };
            match resync.targets.get(&member) {
                Some(targets) if linked => {
                    reached += 1;
                    targets.iter().all(holds)
                }
                _ if linked => false,
                // Nobody is there, or nobody connects: a restart of all members must not wait for itself.
                _ => self.view.refuses_links(member) || waited >= self.settings.unreachable_grace,
            }
        });
        let outcome = match (settled, reached) {
            (true, 0) => CatchUpOutcome::Alone,
            (true, _) => CatchUpOutcome::Complete,
            (false, _) if waited >= self.settings.catch_up_timeout => CatchUpOutcome::Late,
            _ => return,
        };
        self.resync = None;
        self.push_event(Event::CaughtUp(outcome, waited));
    }

    fn update_adoptions(&mut self) {
        let mut new = adoption::calls_to_adopt(&self.store, &self.view);
        new.retain(|id, call| self.adopted.contains_key(id) || adoption::may_adopt(&call.origin, &self.view));
        for id in self.adopted.keys().filter(|id| !new.contains_key(id)) {
            self.call_actions.push(CallAction::Yield(*id));
        }
        for (id, call) in new.iter().filter(|(id, _)| !self.adopted.contains_key(id)) {
            self.counts.adopted += 1;
            self.call_actions.push(CallAction::Adopt(*id, *call));
        }
        self.adopted = new;
    }

    /// Drops what is over: streams of incarnations that ended long ago, and ends of calls that no stream has any
    /// more.
    fn sweep(&mut self, now: f64) {
        let view = &self.view;
        let over = |o: &Origin| {
            *o != self.store.own_origin() && adoption::call_owner(o, view) != adoption::CallOwner::Origin
        };
        let over: Vec<Origin> = self.store.streams().map(|(o, _)| *o).filter(over).collect();
        self.origin_ended_at.retain(|origin, _| over.contains(origin));
        for origin in over {
            let since = *self.origin_ended_at.entry(origin).or_insert(now);
            // As long as a member may come back in that incarnation its stream stays, up to the limit on
            // incarnations.
            let has_later_incarnation =
                self.view.incarnation_of(origin.member).is_some_and(|life| life > origin.life);
            if now - since >= self.settings.forget_after && has_later_incarnation {
                self.forget_streams(origin.member, origin.life.number.saturating_add(1));
            }
        }
        for (member, floor) in self.store.excess_incarnations() {
            self.forget_streams(member, floor);
        }
        let cutoff = now - self.settings.forget_after;
        // A server that left the list long ago is on no list any more, so others need not know of it.
        let servers = Key::Server(ServerKey(0))..=Key::Server(ServerKey(u64::MAX));
        let gone = |(key, at, value): (Key, f64, Value)| {
            let left = matches!(value, Value::Server(fact) if fact.place == ServerState::Gone);
            (left && at < cutoff).then_some(key)
        };
        let gone: Vec<Key> = self.store.own_stream().range(servers).filter_map(gone).collect();
        for key in gone {
            self.store.own_stream().write(now, key, None);
        }
        let owed = self.store.own_stream().range(Key::Owed(0)..=Key::Owed(u64::MAX));
        let expired: Vec<Key> =
            owed.filter(|(_, at, _)| now - at >= OWED_END_LIFETIME_S).map(|(key, ..)| key).collect();
        for key in expired {
            self.store.own_stream().write(now, key, None);
        }
        let from = Key::Over(self.last_swept_call.wrapping_add(1));
        let ends: Vec<(u64, f64)> =
            (self.store.own_stream().range(from..=Key::Over(u64::MAX)).take(MAX_ENDS_PER_SWEEP))
                .filter_map(|(key, at, _)| match key {
                    Key::Over(id) => Some((id, at)),
                    _ => None,
                })
                .collect();
        self.last_swept_call =
            if ends.len() < MAX_ENDS_PER_SWEEP { u64::MAX } else { ends.last().map_or(u64::MAX, |e| e.0) };
        for (id, _) in ends.into_iter().filter(|(_, at)| *at < cutoff) {
            let own = self.store.own_origin();
            let is_standing = self.store.streams().any(|(o, s)| *o != own && s.get(&Key::Call(id)).is_some());
            if !is_standing {
                self.store.own_stream().write(now, Key::Over(id), None);
            }
        }
    }

    fn forget_streams(&mut self, member: MemberId, below: u64) {
        // Never what its present incarnation writes.
        let present = self.view.incarnation_of(member).map_or(0, |life| life.number);
        for (origin, records) in self.store.forget(member, below.min(present)) {
            self.adoption_outdated = true;
            self.push_event(Event::StreamForgotten(origin, records));
        }
    }

    // ---- Reports

    /// The state of each stream that is held; one line shows how far each member lags.
    pub fn snapshot(&self) -> Vec<StreamStatus> {
        let lag = |member: MemberId| {
            let own = self.store.own_origin();
            let version = self.store.stream(&own)?.version();
            Some(version - self.catch_up.held_by(member, &own)?.version.min(version))
        };
        let status = |(origin, stream): (&Origin, &crate::stream::Stream)| StreamStatus {
            origin: *origin,
            version: stream.version(),
            hash: stream.hash(),
            counts: stream.counts(),
            lag: lag(origin.member),
        };
        self.store.streams().map(status).collect()
    }
}

/// Whether messages arrive here from a stream's origin, in that incarnation.
fn is_origin_connected(view: &Membership, origin: &Origin) -> bool {
    view.state(origin.member) == State::Alive
        && view.is_linked(origin.member)
        && view.incarnation_of(origin.member) == Some(origin.life)
}

/// The state of a stream, for operators and tests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StreamStatus {
    /// The stream.
    pub origin: Origin,
    /// The version up to which it is held.
    pub version: u64,
    /// The hash of its records.
    pub hash: u64,
    /// The number of records by kind.
    pub counts: [usize; KINDS.len()],
    /// By how many changes of the own stream the origin's member was behind, by its last digest.
    pub lag: Option<u64>,
}

impl fmt::Display for StreamStatus {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} version {}", self.origin, self.version)?;
        for (name, count) in KINDS.iter().zip(self.counts) {
            write!(f, ", {count} {name}")?;
        }
        Ok(())
    }
}
