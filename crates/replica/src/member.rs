//! A member of a fleet, without its sockets: words in, words out.
//!
//! The front hands in what came from other members ([`Member::receive`]) and the time ([`Member::tick`]), says what it knows
//! itself ([`Member::record_server`], [`Member::call_established`], [`Member::call_ended`]), and asks for the next word to each member for which
//! its link has room ([`Member::next_message`]). Nothing is queued here for a member that takes nothing: a word is made as it is
//! asked for, of the newest state.

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

/// The version of what members say to each other; others are not understood.
pub const PROTOCOL: u16 = 2;
/// Time between two looks at what fetches lack, and at what may be forgotten, in seconds.
const POLL_INTERVAL_S: f64 = 0.1;
const SWEEP_INTERVAL_S: f64 = 1.0;
/// Ends that are owed to callers elsewhere are told to the others for so long, in seconds: whoever has callers has told
/// them by then.
const OWED_END_LIFETIME_S: f64 = 10.0;
/// Ended calls that are looked at in a sweep at most.
const MAX_ENDS_PER_SWEEP: usize = 512;
/// Things to be told to the log that are kept until they are taken; beyond it they are counted alone.
const MAX_QUEUED_EVENTS: usize = 256;

/// The figures of it, in seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Of membership.
    pub membership: view::Settings,
    /// Of catch-up.
    pub catch_up: catch_up::Settings,
    /// Between two digests to a member.
    pub digest_interval: f64,
    /// A start waits so long at most until it has caught up.
    pub catch_up_timeout: f64,
    /// Members that cannot be reached by then are not waited for.
    pub unreachable_grace: f64,
    /// The stream of a life that has ended is forgotten after so long.
    pub forget_after: f64,
    /// What the resolver has to tell may come so much later at one gatekeeper than at another.
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
            // The platform counts a word as told after so long, whether it came or not.
            max_list_delay: 7.0,
        }
    }
}

/// What members say to each other.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// The first on a link, each way.
    Hello {
        /// The version of the protocol.
        protocol: u16,
        /// Who speaks.
        from: MemberId,
        /// To whom.
        to: MemberId,
        /// In which life.
        life: Incarnation,
        /// Which life of the other is known, and how long ago that was alive, in milliseconds.
        known: Option<(Incarnation, u32)>,
    },
    /// All the time.
    Heartbeat(Heartbeat),
    /// What the speaker holds, and below which incarnation each member's streams are over.
    Digest(Vec<StreamDigest>, Vec<(MemberId, u64)>),
    /// A question for what is lacking.
    Request(ChunkRequest),
    /// A part of a stream.
    Chunk(Chunk),
    /// The speaker ends.
    Leave,
}

/// Why a word ends its link. The link is made anew by itself; meanwhile that member is not heard, and is suspected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Rejection {
    /// It is of another version of the protocol.
    #[error(
        "version {0} of the protocol, expected {PROTOCOL}: members of different versions do not hear each other; bring all \
         to one version of the program"
    )]
    Protocol(u16),
    /// It was meant for another member.
    #[error(
        "meant for another member: two members' addresses are mixed up in a block `fleet`; compare the files"
    )]
    WrongRecipient,
    /// It comes a second time, or too early.
    #[error(
        "a word that has no place there: a stranger, or a fault; if it is a member's address, file the line with the \
         maintainers"
    )]
    UnexpectedMessage,
    /// A stream of nobody in the configuration.
    #[error(
        "a stream of no member: the other one's file names a member that this one's does not; send SIGHUP to all after a \
         change"
    )]
    UnknownOrigin,
    /// Of membership.
    #[error(transparent)]
    Membership(#[from] view::Rejection),
    /// Of a piece.
    #[error(transparent)]
    Chunk(#[from] ChunkError),
}

impl Rejection {
    /// In a word, for the log and the page for on-call staff.
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

/// How a member came to take calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CatchUpOutcome {
    /// It holds what those held that it reached.
    Complete,
    /// Nobody could be reached.
    Alone,
    /// Its time was up; it goes on catching up.
    Late,
}

/// What is to be told to the staff.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// Of a member.
    Member(Change),
    /// It takes calls, so long after its start or its pause.
    CaughtUp(CatchUpOutcome, f64),
    /// Two contents under one version.
    Conflict(Origin, Conflict),
    /// A copy differed from another's though all messages came.
    CopyDiverged(Origin, MemberId),
    /// It is mended.
    CopyRepaired(Origin),
    /// A stream that is over was dropped, with so many records.
    StreamForgotten(Origin, usize),
    /// Records were not published, for want of room.
    RecordsLeftOut(u64),
}

/// What the front is to do about a call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CallAction {
    /// See to a call of a member that is gone.
    Adopt(u64, AdoptedCall),
    /// A call seen to so far is another's again, or over.
    Yield(u64),
    /// An own call was ended by another member, which has told its caller.
    EndedElsewhere(u64),
    /// Tell the end of a call, and whether it was cut, in place of a member that has no caller to tell it to.
    DeliverEnd(u64, bool),
}

/// What a start, or the time after a pause, waits for.
#[derive(Clone, Debug)]
struct Resync {
    started_at: f64,
    /// What each member said that it holds, as of after `since`.
    targets: BTreeMap<MemberId, Vec<StreamDigest>>,
}

/// A member.
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
    /// Since when each stream's life has ended.
    origin_ended_at: BTreeMap<Origin, f64>,
    /// The calls seen to, and whether that has to be looked at again.
    adopted: BTreeMap<u64, AdoptedCall>,
    adoption_outdated: bool,
    /// Whether a majority was heard, as of the last turn.
    has_quorum: bool,
    /// Ends that were told in place of others, as long as those say that they owe them.
    delivered_ends: BTreeSet<u64>,
    /// Where the last sweep of ended calls stopped.
    last_swept_call: u64,
    events: Vec<Event>,
    call_actions: Vec<CallAction>,
    /// Counted since the start.
    pub counts: Counts,
}

/// What happened since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// Records found with two contents under one version.
    pub conflicts: u64,
    /// Copies that differed though all messages came.
    #[serde(rename = "differed")]
    pub diverged: u64,
    /// Copies mended.
    #[serde(rename = "mended")]
    pub repaired: u64,
    /// Records that were not published for want of room.
    pub left_out: u64,
    /// Events that were not told, as too many came at once.
    pub events_dropped: u64,
    /// Calls adopted.
    pub adopted: u64,
    /// Ends handed to members that have callers, and told in place of others.
    #[serde(rename = "owed")]
    pub ends_handed_over: u64,
    /// The latter.
    #[serde(rename = "told")]
    pub ends_delivered_for_others: u64,
}

impl Member {
    /// A member that has just started, with those of the configuration.
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

    /// Takes members and settings of a configuration read anew.
    pub fn reconfigure(&mut self, settings: Settings, members: &[MemberId]) {
        self.settings = settings;
        self.catch_up.reconfigure(settings.catch_up);
        self.view.set_members(members.iter().copied());
        self.store.retain_members(members);
        self.adoption_outdated = true;
    }

    /// What is believed of the others.
    pub fn view(&self) -> &Membership {
        &self.view
    }

    /// What is held.
    pub fn store(&self) -> &Store {
        &self.store
    }

    /// When more may be said to a member that waits for it, if one does.
    pub fn next_send_at(&self) -> Option<f64> {
        self.catch_up.next_send_at(&self.store)
    }

    /// Records given and taken in catch-up, and streams on their way in.
    pub fn catch_up_counts(&self) -> (u64, u64, usize) {
        (self.catch_up.records_sent, self.catch_up.records_received, self.catch_up.fetches_in_progress())
    }

    /// Whether it knows what the others held when it met them, or has waited for that long enough.
    pub fn is_caught_up(&self) -> bool {
        self.resync.is_none()
    }

    /// What is to be told to the staff since this was last asked.
    pub fn take_events(&mut self) -> Vec<Event> {
        std::mem::take(&mut self.events)
    }

    /// What is to be done about calls since this was last asked.
    pub fn take_call_actions(&mut self) -> Vec<CallAction> {
        std::mem::take(&mut self.call_actions)
    }

    fn push_event(&mut self, event: Event) {
        match self.events.len() < MAX_QUEUED_EVENTS {
            true => self.events.push(event),
            false => self.counts.events_dropped += 1,
        }
    }

    // ---- What is known here

    /// What the own list says of a server, as of then.
    pub fn record_server(&mut self, at: f64, server: ServerKey, fact: ServerFact) {
        self.write(at, Key::Server(server), Value::Server(fact));
    }

    /// A server of that start is silent since then, or it is not.
    pub fn record_silence(&mut self, now: f64, server: ServerKey, started_ms: u64, since: Option<f64>) {
        match since {
            Some(at) => self.write(at, Key::Silent(server), Value::Silent(started_ms)),
            None => _ = self.store.own_stream().write(now, Key::Silent(server), None),
        }
    }

    /// A call stands since then.
    pub fn call_established(&mut self, at: f64, id: u64, fact: CallFact) {
        self.write(at, Key::Call(id), Value::Call(fact));
    }

    /// A call is over: an own one is withdrawn, the end of another's is recorded.
    pub fn call_ended(&mut self, now: f64, id: u64) {
        let own = self.store.own_stream().write(now, Key::Call(id), None);
        // A stream of an earlier life may say that it stands, too. And one that is back may end a call of which it
        // hears only later that it stood.
        if self.store.standing_call(id).is_some()
            || !own && now - self.started_at < self.settings.forget_after
        {
            self.write(now, Key::Over(id), Value::Over);
        }
        self.adopted.remove(&id);
    }

    /// A call that stands through another member, as far as is known.
    pub fn call_elsewhere(&self, id: u64) -> Option<AdoptedCall> {
        let (origin, since, fact) = self.store.standing_call(id)?;
        (origin != self.store.own_origin()).then_some(AdoptedCall { origin, since, fact })
    }

    /// A call that this member sees to in place of one that is gone.
    pub fn adopted_call(&self, id: u64) -> Option<&AdoptedCall> {
        self.adopted.get(&id)
    }

    /// Writes a record of a relay's into the own stream, or withdraws it.
    pub fn publish(&mut self, at: f64, key: Key, value: Option<Value>) {
        match value {
            Some(value) => self.write(at, key, value),
            None => _ = self.store.own_stream().write(at, key, None),
        }
    }

    fn write(&mut self, at: f64, key: Key, value: Value) {
        let most = self.settings.catch_up.max_records;
        let stream = self.store.own_stream();
        if stream.get(&key).is_none() && stream.len() >= most {
            self.counts.left_out += 1;
            // Told at each doubling.
            if self.counts.left_out.is_power_of_two() {
                let count = self.counts.left_out;
                self.push_event(Event::RecordsLeftOut(count));
            }
            return;
        }
        stream.write(at, key, Some(value));
    }

    /// What the others that are heard say of the servers.
    pub fn peer_observations(&self) -> BTreeMap<ServerKey, ServerObservation> {
        self.store.peer_observations(|origin| self.is_origin_connected(origin))
    }

    /// Whether a stream's origin is heard here, in that life.
    fn is_origin_connected(&self, origin: &Origin) -> bool {
        heard(&self.view, origin)
    }

    /// Callers are there to whom the end of any call can be told, or there are none.
    pub fn set_has_callers(&mut self, callers: bool) {
        // What others owe may be this member's to tell now.
        self.adoption_outdated |= self.view.set_callers(callers);
    }

    /// Whether another member has callers to tell ends to.
    pub fn others_have_callers(&self) -> bool {
        self.view.members_with_callers().any(|member| member != self.view.own_id())
    }

    /// An end was heard and there is no caller to tell it to: one of those who have some is to do it.
    pub fn hand_over_end(&mut self, now: f64, id: u64, cut: bool) {
        self.counts.ends_handed_over += 1;
        self.write(now, Key::Owed(id), Value::Owed(cut));
    }

    /// Tells what others owe, as far as that is this member's to do: of those with callers one does it, by rendezvous
    /// hashing. Two that see others with callers may both do it, which costs a doubled word.
    fn deliver_owed_ends(&mut self) {
        let owed = self.store.owed_ends();
        self.delivered_ends.retain(|id| owed.contains_key(id));
        let own = self.view.own_id();
        let may: Vec<(MemberId, u64)> = self.view.members_with_callers().map(|m| (m, m.0)).collect();
        for (id, cut) in owed {
            if !self.delivered_ends.contains(&id) && owner(id, may.iter().copied()) == Some(own) {
                self.counts.ends_delivered_for_others += 1;
                self.delivered_ends.insert(id);
                self.call_actions.push(CallAction::DeliverEnd(id, cut));
            }
        }
    }

    // ---- Budgets

    /// Tells the others what this member wants of a budget, or lends of its part.
    pub fn announce_lending(&mut self, now: f64, tell: Announcement) {
        let (key, value) = match tell {
            Announcement::Request(budget, part) => (Key::Want(budget), part.map(Value::Want)),
            Announcement::Lease(budget, to, lease) => (Key::Lent(budget, to), lease.map(Value::Lent)),
        };
        match value {
            Some(value) => self.write(now, key, value),
            None => _ = self.store.own_stream().write(now, key, None),
        }
    }

    /// What the others that are heard want of budgets.
    pub fn budget_requests(&self) -> Vec<BudgetRequest> {
        self.store.budget_requests(|origin| self.is_origin_connected(origin))
    }

    /// What is lent to this member: of which budget, as of when, and how much in millionths.
    pub fn leases(&self) -> Vec<(BudgetKey, f64, u32)> {
        self.store.leases()
    }

    // ---- Links

    /// The first word on a link to a member.
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

    /// Reads the first word on a link: who speaks.
    pub fn receive_hello(&mut self, now: f64, word: &Message) -> Result<MemberId, Rejection> {
        let Message::Hello { protocol, from, to, life, known } = *word else {
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

    /// A link is down.
    pub fn link_down(&mut self, member: MemberId) {
        self.view.link_down(member);
        self.catch_up.link_down(member);
        self.next_digest_at.remove(&member);
    }

    /// A member's address refused a link.
    pub fn link_refused(&mut self, now: f64, member: MemberId) {
        self.view.link_refused(now, member);
    }

    /// Takes a word of a member; an error ends its link.
    pub fn receive(&mut self, now: f64, from: MemberId, word: &Message) -> Result<(), Rejection> {
        match word {
            Message::Hello { .. } => return Err(Rejection::UnexpectedMessage),
            Message::Heartbeat(beat) => self.view.receive_heartbeat(now, from, beat)?,
            Message::Digest(held, floors) => self.receive_digest(now, from, held, floors),
            Message::Request(ask) => self.catch_up.receive_request(from, ask, &self.store),
            Message::Chunk(piece) => self.receive_chunk(now, from, piece)?,
            Message::Leave => self.view.member_left(now, from),
        }
        self.apply_membership_changes(now);
        Ok(())
    }

    fn receive_digest(
        &mut self,
        now: f64,
        from: MemberId,
        held: &[StreamDigest],
        floors: &[(MemberId, u64)],
    ) {
        for (member, floor) in floors {
            // Nobody but this member says when its own life is over.
            if self.view.incarnation_of(*member).is_some() && *member != self.view.own_id() {
                self.forget_streams(*member, *floor);
            }
        }
        let view = &self.view;
        let known = |h: &&StreamDigest| view.incarnation_of(h.origin.member).is_some();
        let held: Vec<StreamDigest> = held.iter().filter(known).copied().collect();
        let fresh = self.resync.as_ref().is_some_and(|r| {
            // What was on its way before counts for nothing: it must have been said after an own beat was heard.
            self.view.last_echoed_at(from).is_some_and(|at| at >= r.started_at)
        });
        if let (true, Some(resync)) = (fresh, &mut self.resync) {
            resync.targets.entry(from).or_insert_with(|| held.clone());
        }
        let compared =
            self.catch_up.receive_digest(now, from, &held, &self.store, |origin| heard(view, origin));
        for compared in compared {
            match compared {
                Mismatch::Diverged(origin) => {
                    self.counts.diverged += 1;
                    self.push_event(Event::CopyDiverged(origin, from));
                }
                // Somebody wrote to this life's stream before us: another life is needed.
                Mismatch::Ahead(_) => self.raise_incarnation(now),
            }
        }
    }

    fn raise_incarnation(&mut self, now: f64) {
        let mut life = self.view.incarnation();
        // Also where a word told of the last one there is.
        life.number = life.number.saturating_add(1);
        self.view.set_incarnation(life);
        self.store.set_own_incarnation(life);
        self.push_event(Event::Member(Change::IncarnationRaised(life)));
        self.reset_links(now);
    }

    /// The own stream is another: everybody is told what is held now.
    fn reset_links(&mut self, now: f64) {
        let members: Vec<MemberId> = self.next_digest_at.keys().copied().collect();
        for member in members {
            self.catch_up.link_down(member);
            self.catch_up.link_up(member);
            self.next_digest_at.insert(member, now);
        }
    }

    fn receive_chunk(&mut self, now: f64, from: MemberId, piece: &Chunk) -> Result<(), Rejection> {
        if self.view.incarnation_of(piece.origin.member).is_none() {
            return Err(Rejection::UnknownOrigin);
        }
        let lag = self.view.lag(now, from);
        let taken = self.catch_up.receive_chunk(now, lag, from, piece, &mut self.store)?;
        for conflict in taken.conflicts {
            self.counts.conflicts += 1;
            self.push_event(Event::Conflict(piece.origin, conflict));
        }
        if taken.repaired {
            self.counts.repaired += 1;
            self.push_event(Event::CopyRepaired(piece.origin));
        }
        let ended = taken.keys.iter().filter_map(|key| match key {
            Key::Over(id) => Some(*id),
            _ => None,
        });
        for id in ended {
            if self.store.is_call_over(id) && self.store.own_stream().get(&Key::Call(id)).is_some() {
                self.call_actions.push(CallAction::EndedElsewhere(id));
                self.store.own_stream().write(now, Key::Call(id), None);
            }
        }
        // What changes the calls of those that are gone, or ends some that are seen to.
        self.adoption_outdated |= !taken.keys.is_empty()
            && (adoption::call_owner(&piece.origin, &self.view) != adoption::CallOwner::Origin
                || taken.keys.iter().any(|key| matches!(key, Key::Over(_) | Key::Owed(_))));
        Ok(())
    }

    /// The next word to a member for which there is room, if there is one.
    pub fn next_message(&mut self, now: f64, to: MemberId) -> Option<Message> {
        if self.view.superseded() || !self.next_digest_at.contains_key(&to) {
            return None;
        }
        if let Some(beat) = self.view.next_heartbeat(now, to, self.resync.is_none()) {
            return Some(Message::Heartbeat(beat));
        }
        match self.catch_up.next_outgoing(now, to, &self.store) {
            Some(Outgoing::Request(ask)) => return Some(Message::Request(ask)),
            Some(Outgoing::Chunk(piece)) => return Some(Message::Chunk(piece)),
            None => {}
        }
        let due = self.next_digest_at.get_mut(&to).filter(|at| now >= **at)?;
        *due = now + self.settings.digest_interval;
        Some(Message::Digest(CatchUp::digest(&self.store), self.store.floors().collect()))
    }

    // ---- Time

    /// What time brings. Called at least every few tens of milliseconds, before anything that came is taken.
    pub fn tick(&mut self, now: f64) {
        self.view.tick(now);
        let had_quorum = std::mem::replace(&mut self.has_quorum, self.view.quorum_is_stable());
        // What had to wait for a majority may be adopted now.
        self.adoption_outdated |= self.has_quorum && !had_quorum;
        self.apply_membership_changes(now);
        if now >= self.next_poll_at {
            self.next_poll_at = now + POLL_INTERVAL_S;
            let view = &self.view;
            self.catch_up.poll(now, &self.store, |origin| heard(view, origin));
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

    /// Takes over what membership found.
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
            let holds = |h: &StreamDigest| {
                let mine = self.store.stream(&h.origin).map_or(0, |s| s.version());
                h.origin == self.store.own_origin() || self.store.is_forgotten(&h.origin) || mine >= h.version
            };
            match resync.targets.get(&member) {
                Some(goals) if linked => {
                    reached += 1;
                    goals.iter().all(holds)
                }
                _ if linked => false,
                // Nobody is there, or nobody comes: a restart of all must not wait for itself.
                _ => self.view.refuses_links(member) || waited >= self.settings.unreachable_grace,
            }
        });
        let how = match (settled, reached) {
            (true, 0) => CatchUpOutcome::Alone,
            (true, _) => CatchUpOutcome::Complete,
            (false, _) if waited >= self.settings.catch_up_timeout => CatchUpOutcome::Late,
            _ => return,
        };
        self.resync = None;
        self.push_event(Event::CaughtUp(how, waited));
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

    /// Forgets what is over: streams of lives that ended long ago, and ends of calls that no stream has any more.
    fn sweep(&mut self, now: f64) {
        let view = &self.view;
        let over = |o: &Origin| {
            *o != self.store.own_origin() && adoption::call_owner(o, view) != adoption::CallOwner::Origin
        };
        let over: Vec<Origin> = self.store.streams().map(|(o, _)| *o).filter(over).collect();
        self.origin_ended_at.retain(|origin, _| over.contains(origin));
        for origin in over {
            let since = *self.origin_ended_at.entry(origin).or_insert(now);
            // As long as a member may come back in that life its stream stays, up to the bound.
            let later = self.view.incarnation_of(origin.member).is_some_and(|life| life > origin.life);
            if now - since >= self.settings.forget_after && later {
                self.forget_streams(origin.member, origin.life.number.saturating_add(1));
            }
        }
        for (member, floor) in self.store.excess_incarnations() {
            self.forget_streams(member, floor);
        }
        let old = now - self.settings.forget_after;
        // A server that left the list long ago comes back under no list, and so need not be told of.
        let servers = Key::Server(ServerKey(0))..=Key::Server(ServerKey(u64::MAX));
        let gone = |(key, at, value): (Key, f64, Value)| {
            let left = matches!(value, Value::Server(fact) if fact.place == ServerState::Gone);
            (left && at < old).then_some(key)
        };
        let gone: Vec<Key> = self.store.own_stream().range(servers).filter_map(gone).collect();
        for key in gone {
            self.store.own_stream().write(now, key, None);
        }
        let owed = self.store.own_stream().range(Key::Owed(0)..=Key::Owed(u64::MAX));
        let told: Vec<Key> =
            owed.filter(|(_, at, _)| now - at >= OWED_END_LIFETIME_S).map(|(key, ..)| key).collect();
        for key in told {
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
        for (id, _) in ends.into_iter().filter(|(_, at)| *at < old) {
            let own = self.store.own_origin();
            let stands = self.store.streams().any(|(o, s)| *o != own && s.get(&Key::Call(id)).is_some());
            if !stands {
                self.store.own_stream().write(now, Key::Over(id), None);
            }
        }
    }

    fn forget_streams(&mut self, member: MemberId, below: u64) {
        // Not what its present life writes.
        let present = self.view.incarnation_of(member).map_or(0, |life| life.number);
        for (origin, records) in self.store.forget(member, below.min(present)) {
            self.adoption_outdated = true;
            self.push_event(Event::StreamForgotten(origin, records));
        }
    }

    // ---- Reports

    /// What is held of each stream: who looks at it sees in one line what lags.
    pub fn snapshot(&self) -> Vec<StreamStatus> {
        let lag = |member: MemberId| {
            let own = self.store.own_origin();
            let version = self.store.stream(&own)?.version();
            Some(version - self.catch_up.held_by(member, &own)?.version.min(version))
        };
        let row = |(origin, stream): (&Origin, &crate::stream::Stream)| StreamStatus {
            origin: *origin,
            version: stream.version(),
            hash: stream.hash(),
            counts: stream.counts(),
            lag: lag(origin.member),
        };
        self.store.streams().map(row).collect()
    }
}

/// Whether a stream's origin is heard here, in that life.
fn heard(view: &Membership, origin: &Origin) -> bool {
    view.state(origin.member) == State::Alive
        && view.is_linked(origin.member)
        && view.incarnation_of(origin.member) == Some(origin.life)
}

/// A stream as an operator or a test sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StreamStatus {
    /// Whose.
    pub origin: Origin,
    /// Up to which version it is held.
    pub version: u64,
    /// The hash of its records.
    pub hash: u64,
    /// Records by kind.
    pub counts: [usize; KINDS.len()],
    /// By how many changes of the own stream its member was behind when it last said so.
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
