//! All duties of a member: what it grants, what it holds, and its messages to others.

use std::collections::{BTreeMap, VecDeque};
use std::fmt;

use hollypaddle_membership::{Incarnation, MemberId};
use hollypaddle_ownership::owner;

use crate::acceptor::{Acceptor, LeaseRequest};
use crate::claim::{Claim, ClaimMessage, LossReason};
use crate::placement::{candidate_order, holds_too_many, Candidate};
use crate::{Duty, DutyKey, Epoch, Kind, Message, Progress, Refusal, Settings, MAX_DUTIES};

/// Most messages queued for one member; those dropped beyond it are sent again later.
const MAX_QUEUED_MESSAGES: usize = 1024;
/// Most events kept for the log until they are taken.
const MAX_QUEUED_EVENTS: usize = 256;

/// An event for the log.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// This member holds a duty, under an epoch.
    Acquired(Duty, Epoch),
    /// This member no longer holds a duty.
    Lost(Duty, Epoch, LossReason),
}

#[derive(Clone)]
struct OwnDuty {
    duty: Duty,
    claim: Claim,
    /// Since when nobody has held it, as far as this member granted it.
    unheld_since: Option<f64>,
}

/// A member's duties, its acceptor and its messages to other members.
#[derive(Clone)]
pub struct Duties {
    own: MemberId,
    incarnation: u64,
    settings: Settings,
    members: Vec<MemberId>,
    acceptor: Acceptor,
    duties: BTreeMap<DutyKey, OwnDuty>,
    outgoing: BTreeMap<MemberId, VecDeque<Message>>,
    /// Whether the member is about to end: it acquires nothing and hands over what it holds.
    leaving: bool,
    candidates: Vec<Candidate>,
    events: Vec<Event>,
}

impl Duties {
    /// The duties of a member that has just started; `members` are all configured members.
    pub fn new(
        now: f64,
        own: MemberId,
        life: Incarnation,
        settings: Settings,
        members: &[MemberId],
    ) -> Duties {
        Duties {
            own,
            incarnation: life.number,
            settings,
            members: members.to_vec(),
            acceptor: Acceptor::new(now, settings),
            duties: BTreeMap::new(),
            outgoing: BTreeMap::new(),
            leaving: false,
            candidates: Vec::new(),
            events: Vec::new(),
        }
    }

    /// Sets the duties that the configuration names. One that is no longer named is released.
    pub fn set_duties(&mut self, now: f64, duties: impl IntoIterator<Item = Duty>) {
        let configured: BTreeMap<DutyKey, Duty> =
            duties.into_iter().take(MAX_DUTIES).map(|duty| (duty.key(), duty)).collect();
        let removed: Vec<DutyKey> =
            self.duties.keys().filter(|key| !configured.contains_key(key)).copied().collect();
        for key in removed {
            self.release(now, key, None);
            self.duties.remove(&key);
        }
        for (key, duty) in configured {
            let (own, incarnation) = (self.own, self.incarnation);
            self.duties.entry(key).or_insert_with(|| OwnDuty {
                duty,
                claim: Claim::new(own, incarnation),
                unheld_since: None,
            });
        }
    }

    /// The epoch under which this member may act on an exclusive duty now. Check it right before each action; the
    /// receiver of the action passes the epoch through its [`crate::Fence`].
    pub fn may_act(&self, now: f64, duty: DutyKey) -> Option<Epoch> {
        self.duties.get(&duty)?.claim.may_act(now)
    }

    /// Whether this member owns a duty that may be done twice without harm; `living` are the live members.
    pub fn is_owner(&self, duty: DutyKey, living: impl IntoIterator<Item = MemberId>) -> bool {
        owner(duty.0, living.into_iter().map(|m| (m, m.0))) == Some(self.own)
    }

    /// Sets how far this member has come with a duty.
    pub fn set_progress(&mut self, duty: DutyKey, progress: Progress) {
        if let Some(own) = self.duties.get_mut(&duty) {
            own.claim.progress = progress;
        }
    }

    /// Returns the events since the last call.
    pub fn take_events(&mut self) -> Vec<Event> {
        std::mem::take(&mut self.events)
    }

    fn push_event(&mut self, event: Event) {
        if self.events.len() < MAX_QUEUED_EVENTS {
            self.events.push(event);
        }
    }

    /// Hands over all duties and acquires none any more: the member is about to end.
    pub fn leave(&mut self, now: f64) {
        self.leaving = true;
        let held: Vec<DutyKey> = self.duties.keys().copied().collect();
        for key in held {
            let to = self.candidate_order(now, key).into_iter().find(|m| *m != self.own);
            self.release(now, key, to);
        }
    }

    /// Hands a duty over to a member, or to whoever requests it first.
    pub fn hand_over(&mut self, now: f64, key: DutyKey, to: Option<MemberId>) {
        self.release(now, key, to);
    }

    fn release(&mut self, now: f64, key: DutyKey, to: Option<MemberId>) {
        let settings = self.settings;
        let Some(own) = self.duties.get_mut(&key) else { return };
        let epoch = own.claim.may_act(now);
        own.claim.hand_over(now, to, &settings);
        let duty = own.duty.clone();
        if let Some(epoch) = epoch {
            self.push_event(Event::Lost(duty, epoch, LossReason::HandedOver));
        }
        self.send_claim_messages(now, key);
    }

    // ---- Messages

    /// Handles a message from another member of the configuration.
    pub fn receive(&mut self, now: f64, from: MemberId, message: &Message) {
        if !self.members.contains(&from) || from == self.own {
            return;
        }
        match *message {
            Message::Request { duty, epoch, seq, term_ms, progress, holds, predecessor } => {
                let term = f64::from(term_ms) / 1000.0;
                let request = LeaseRequest { by: from, duty, epoch, term, progress, holds, predecessor };
                // An epoch belongs to the member that requests it: nobody may request under another's.
                if epoch.member != from.0 {
                    return;
                }
                match self.acceptor.receive_request(now, &request) {
                    Some(Ok(())) => self.enqueue(from, Message::Granted { duty, epoch, seq }),
                    Some(Err((reason, highest))) => {
                        self.enqueue(from, Message::Refused { duty, epoch, highest, reason })
                    }
                    None => {}
                }
            }
            Message::Granted { duty, epoch, seq } => self.receive_grant(now, from, duty, epoch, seq),
            Message::Refused { duty, epoch, highest, reason } => {
                self.acceptor.observe_epoch(duty, highest);
                self.receive_refusal(now, from, duty, epoch, highest, reason);
            }
            Message::Release { duty, epoch, to, used } => {
                if epoch.member != from.0 {
                    return;
                }
                self.acceptor.receive_release(now, duty, epoch, to, used);
                let Some(own) = self.duties.get_mut(&duty) else { return };
                if used {
                    own.claim.observe_epoch(epoch);
                }
                if to == Some(self.own) && !self.leaving {
                    own.claim.request_lease(now, Some(epoch));
                    self.send_claim_messages(now, duty);
                }
            }
        }
    }

    fn receive_grant(&mut self, now: f64, by: MemberId, key: DutyKey, epoch: Epoch, seq: u32) {
        let (settings, members) = (self.settings, self.members.len());
        let Some(own) = self.duties.get_mut(&key) else { return };
        if own.claim.receive_grant(now, by, epoch, seq, &settings, members) {
            let duty = own.duty.clone();
            self.push_event(Event::Acquired(duty, epoch));
        }
    }

    fn receive_refusal(
        &mut self,
        now: f64,
        by: MemberId,
        key: DutyKey,
        epoch: Epoch,
        highest: Epoch,
        reason: Refusal,
    ) {
        let (settings, members) = (self.settings, self.members.len());
        let Some(own) = self.duties.get_mut(&key) else { return };
        own.claim.observe_epoch(highest);
        if let Some(lost) = own.claim.receive_refusal(now, (by, epoch, reason), &settings, members) {
            let duty = own.duty.clone();
            self.push_event(Event::Lost(duty, epoch, lost));
        }
        self.send_claim_messages(now, key);
    }

    /// Sends a claim's messages to all acceptors, this member's own included.
    fn send_claim_messages(&mut self, now: f64, key: DutyKey) {
        // The answer of the own acceptor may cause another message: the release after a refusal.
        for _ in 0..4 {
            let Some(own) = self.duties.get_mut(&key) else { return };
            let messages = std::mem::take(&mut own.claim.outgoing);
            if messages.is_empty() {
                return;
            }
            let progress = own.claim.progress;
            for claim_message in messages {
                self.broadcast(now, key, claim_message, progress);
            }
        }
    }

    fn broadcast(&mut self, now: f64, duty: DutyKey, claim_message: ClaimMessage, progress: Progress) {
        let holds = self.may_act(now, duty).is_some();
        let message = match claim_message {
            ClaimMessage::Request { epoch, seq, predecessor } => {
                let term_ms = (self.settings.term * 1000.0) as u32;
                Message::Request { duty, epoch, seq, term_ms, progress, holds, predecessor }
            }
            ClaimMessage::Release { epoch, to, used } => Message::Release { duty, epoch, to, used },
        };
        let others: Vec<MemberId> = self.members.iter().copied().filter(|m| *m != self.own).collect();
        for member in others {
            self.enqueue(member, message.clone());
        }
        match claim_message {
            ClaimMessage::Request { epoch, seq, predecessor } => {
                let term = self.settings.term;
                let request = LeaseRequest { by: self.own, duty, epoch, term, progress, holds, predecessor };
                match self.acceptor.receive_request(now, &request) {
                    Some(Ok(())) => self.receive_grant(now, self.own, duty, epoch, seq),
                    Some(Err((reason, highest))) => {
                        let (settings, members) = (self.settings, self.members.len());
                        let Some(own) = self.duties.get_mut(&duty) else { return };
                        own.claim.observe_epoch(highest);
                        let lost =
                            own.claim.receive_refusal(now, (self.own, epoch, reason), &settings, members);
                        if let Some(lost) = lost {
                            let duty = own.duty.clone();
                            self.push_event(Event::Lost(duty, epoch, lost));
                        }
                    }
                    None => {}
                }
            }
            ClaimMessage::Release { epoch, to, used } => {
                self.acceptor.receive_release(now, duty, epoch, to, used)
            }
        }
    }

    fn enqueue(&mut self, to: MemberId, message: Message) {
        let queue = self.outgoing.entry(to).or_default();
        if queue.len() < MAX_QUEUED_MESSAGES {
            queue.push_back(message);
        }
    }

    /// The next message to a member whose link has room.
    pub fn next_message(&mut self, to: MemberId) -> Option<Message> {
        self.outgoing.get_mut(&to)?.pop_front()
    }

    /// Drops what is queued for a member whose link is down: it is outdated when the link is up again.
    pub fn link_down(&mut self, member: MemberId) {
        self.outgoing.remove(&member);
    }

    // ---- Time

    /// Renews, acquires and hands over duties as time passes. `candidates` are the live members that may hold duties,
    /// with their weights. Call it at least every few tens of milliseconds.
    pub fn tick(&mut self, now: f64, candidates: &[Candidate]) {
        self.candidates.clear();
        self.candidates.extend_from_slice(candidates);
        let settings = self.settings;
        for key in self.duties.keys().copied().collect::<Vec<_>>() {
            let Some(own) = self.duties.get_mut(&key) else { continue };
            if own.duty.kind == Kind::Harmless {
                continue;
            }
            let epoch = own.claim.may_act(now);
            if let Some(lost) = own.claim.tick(now, &settings) {
                let (duty, epoch) = (own.duty.clone(), epoch.unwrap_or_default());
                self.push_event(Event::Lost(duty, epoch, lost));
            }
            self.send_claim_messages(now, key);
            self.claim_if_due(now, key);
        }
        self.rebalance(now);
    }

    /// Requests a duty that nobody holds, when it is this member's turn.
    fn claim_if_due(&mut self, now: f64, key: DutyKey) {
        let reserved = self.acceptor.reserved_for(now, key).is_some_and(|to| to != self.own);
        let held = reserved || self.acceptor.holder(now, key).is_some();
        let highest = self.acceptor.highest_epoch(key);
        let Some(own) = self.duties.get_mut(&key) else { return };
        own.claim.observe_epoch(highest);
        own.unheld_since = match held {
            true => None,
            false => own.unheld_since.or(Some(now)),
        };
        let Some(unheld_since) = own.unheld_since.filter(|_| own.claim.is_idle()) else { return };
        // An acceptor that grants nothing yet does not know whether others hold the duty.
        if self.leaving || !self.acceptor.is_granting(now) {
            return;
        }
        let Some(rank) = self.candidate_order(now, key).iter().position(|m| *m == self.own) else { return };
        if now - unheld_since < self.settings.candidate_delay * rank as f64 {
            return;
        }
        if let Some(own) = self.duties.get_mut(&key) {
            own.claim.request_lease(now, None);
        }
        self.send_claim_messages(now, key);
    }

    /// The candidates of a duty in order of preference, by what this member granted.
    fn candidate_order(&self, now: f64, key: DutyKey) -> Vec<MemberId> {
        let exclusive = self.duties.values().filter(|own| own.duty.kind == Kind::Exclusive).count();
        candidate_order(key, &self.candidates, &self.held_counts(now), exclusive)
    }

    fn held_counts(&self, now: f64) -> BTreeMap<MemberId, usize> {
        let mut held = BTreeMap::new();
        for (key, member, _) in self.acceptor.holders(now) {
            if self.duties.contains_key(&key) {
                *held.entry(member).or_default() += 1;
            }
        }
        held
    }

    /// Hands a duty over if this member holds too many and has held that one for long enough.
    fn rebalance(&mut self, now: f64) {
        let exclusive = self.duties.values().filter(|own| own.duty.kind == Kind::Exclusive).count();
        if !holds_too_many(self.own, &self.candidates, &self.held_counts(now), exclusive) {
            return;
        }
        let settled =
            |own: &&OwnDuty| own.claim.since().is_some_and(|since| now - since >= self.settings.min_hold);
        let Some(key) = self.duties.values().find(settled).map(|own| own.duty.key()) else { return };
        let to = self.candidate_order(now, key).into_iter().find(|m| *m != self.own);
        if to.is_some() {
            self.release(now, key, to);
        }
    }

    // ---- Reports

    /// The state of each duty as this member knows it.
    pub fn snapshot(&self, now: f64) -> Vec<DutyStatus> {
        let status = |(key, own): (&DutyKey, &OwnDuty)| DutyStatus {
            duty: own.duty.clone(),
            holder: self.acceptor.holder(now, *key),
            own_epoch: own.claim.may_act(now),
            unheld_for: own.unheld_since.map(|since| now - since),
        };
        self.duties.iter().map(status).collect()
    }
}

/// The state of a duty, for operators and tests.
#[derive(Clone, Debug, PartialEq)]
pub struct DutyStatus {
    /// The duty.
    pub duty: Duty,
    /// The holder, as far as this member granted the duty.
    pub holder: Option<(MemberId, Epoch)>,
    /// The epoch under which this member may act.
    pub own_epoch: Option<Epoch>,
    /// How long nobody has held the duty, as far as this member granted it, in seconds.
    pub unheld_for: Option<f64>,
}

impl fmt::Display for DutyStatus {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: ", self.duty)?;
        match (self.own_epoch, self.holder, self.unheld_for) {
            (Some(epoch), ..) => write!(f, "held here under epoch {epoch}"),
            (_, Some((member, epoch)), _) => write!(f, "held by {:016x} under epoch {epoch}", member.0),
            (.., Some(duration_s)) => write!(f, "held by nobody for {duration_s:.1} s"),
            _ => write!(f, "not evaluated yet"),
        }
    }
}
