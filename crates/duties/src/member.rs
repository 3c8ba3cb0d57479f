//! All duties of a member: what it grants, what it holds, and what it says to others.

use std::collections::{BTreeMap, VecDeque};
use std::fmt;

use hollypaddle_membership::{Incarnation, MemberId};
use hollypaddle_ownership::owner;

use crate::acceptor::{Acceptor, LeaseRequest};
use crate::claim::{Claim, ClaimMessage, LossReason};
use crate::placement::{candidate_order, holds_too_many, Candidate};
use crate::{Duty, DutyKey, Epoch, Kind, Message, Progress, Refusal, Settings, MAX_DUTIES};

/// Words that wait for a member at most; what is lost beyond it is said again.
const MAX_QUEUED_MESSAGES: usize = 1024;
/// Things to be told to the log that are kept until they are taken.
const MAX_QUEUED_EVENTS: usize = 256;

/// What is to be told to the staff.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// It holds a duty, under an epoch.
    Acquired(Duty, Epoch),
    /// It holds it no more.
    Lost(Duty, Epoch, LossReason),
}

#[derive(Clone)]
struct OwnDuty {
    duty: Duty,
    claim: Claim,
    /// Since when nobody holds it, as far as is granted here.
    unheld_since: Option<f64>,
}

/// A member's duties.
#[derive(Clone)]
pub struct Duties {
    own: MemberId,
    incarnation: u64,
    settings: Settings,
    members: Vec<MemberId>,
    acceptor: Acceptor,
    duties: BTreeMap<DutyKey, OwnDuty>,
    outgoing: BTreeMap<MemberId, VecDeque<Message>>,
    /// It takes nothing any more, and hands on what it has.
    leaving: bool,
    candidates: Vec<Candidate>,
    events: Vec<Event>,
}

impl Duties {
    /// A member that has just started.
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

    /// Takes the duties that the configuration names. One that is named no more is given back.
    pub fn set_duties(&mut self, now: f64, duties: impl IntoIterator<Item = Duty>) {
        let named: BTreeMap<DutyKey, Duty> =
            duties.into_iter().take(MAX_DUTIES).map(|duty| (duty.key(), duty)).collect();
        let gone: Vec<DutyKey> = self.duties.keys().filter(|key| !named.contains_key(key)).copied().collect();
        for key in gone {
            self.release(now, key, None);
            self.duties.remove(&key);
        }
        for (key, duty) in named {
            let (own, incarnation) = (self.own, self.incarnation);
            self.duties.entry(key).or_insert_with(|| OwnDuty {
                duty,
                claim: Claim::new(own, incarnation),
                unheld_since: None,
            });
        }
    }

    /// The epoch under which this member may act on an exclusive duty now. To be asked right before each act; whoever
    /// carries the act out passes the epoch through its [`crate::Fence`].
    pub fn may_act(&self, now: f64, duty: DutyKey) -> Option<Epoch> {
        self.duties.get(&duty)?.claim.may_act(now)
    }

    /// Whether a duty that is harmless when doubled is this member's, among the living.
    pub fn is_owner(&self, duty: DutyKey, living: impl IntoIterator<Item = MemberId>) -> bool {
        owner(duty.0, living.into_iter().map(|m| (m, m.0))) == Some(self.own)
    }

    /// How far this member has come with a duty.
    pub fn set_progress(&mut self, duty: DutyKey, progress: Progress) {
        if let Some(own) = self.duties.get_mut(&duty) {
            own.claim.progress = progress;
        }
    }

    /// What is to be told to the staff since this was last asked.
    pub fn take_events(&mut self) -> Vec<Event> {
        std::mem::take(&mut self.events)
    }

    fn push_event(&mut self, event: Event) {
        if self.events.len() < MAX_QUEUED_EVENTS {
            self.events.push(event);
        }
    }

    /// Hands all on, and takes nothing any more: it is about to end.
    pub fn leave(&mut self, now: f64) {
        self.leaving = true;
        let held: Vec<DutyKey> = self.duties.keys().copied().collect();
        for key in held {
            let to = self.candidate_order(now, key).into_iter().find(|m| *m != self.own);
            self.release(now, key, to);
        }
    }

    /// Hands one on, to a member or to whoever comes first.
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

    // ---- Words

    /// Takes a word of a member of the configuration.
    pub fn receive(&mut self, now: f64, from: MemberId, word: &Message) {
        if !self.members.contains(&from) || from == self.own {
            return;
        }
        match *word {
            Message::Request { duty, epoch, seq, term_ms, progress, holds, predecessor: after } => {
                let term = f64::from(term_ms) / 1000.0;
                let asked = LeaseRequest { by: from, duty, epoch, term, progress, holds, predecessor: after };
                // An epoch is its asker's own: nobody asks under another's.
                if epoch.member != from.0 {
                    return;
                }
                match self.acceptor.receive_request(now, &asked) {
                    Some(Ok(())) => self.enqueue(from, Message::Granted { duty, epoch, seq }),
                    Some(Err((why, highest))) => {
                        self.enqueue(from, Message::Refused { duty, epoch, highest, reason: why })
                    }
                    None => {}
                }
            }
            Message::Granted { duty, epoch, seq } => self.receive_grant(now, from, duty, epoch, seq),
            Message::Refused { duty, epoch, highest, reason: why } => {
                self.acceptor.observe_epoch(duty, highest);
                self.receive_refusal(now, from, duty, epoch, highest, why);
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
        why: Refusal,
    ) {
        let (settings, members) = (self.settings, self.members.len());
        let Some(own) = self.duties.get_mut(&key) else { return };
        own.claim.observe_epoch(highest);
        if let Some(lost) = own.claim.receive_refusal(now, (by, epoch, why), &settings, members) {
            let duty = own.duty.clone();
            self.push_event(Event::Lost(duty, epoch, lost));
        }
        self.send_claim_messages(now, key);
    }

    /// Says to all acceptors what a holder has to say, the own one among them.
    fn send_claim_messages(&mut self, now: f64, key: DutyKey) {
        // The own acceptor's answer may bring another word: a refusal that ends it.
        for _ in 0..4 {
            let Some(own) = self.duties.get_mut(&key) else { return };
            let says = std::mem::take(&mut own.claim.outgoing);
            if says.is_empty() {
                return;
            }
            let progress = own.claim.progress;
            for say in says {
                self.broadcast(now, key, say, progress);
            }
        }
    }

    fn broadcast(&mut self, now: f64, duty: DutyKey, say: ClaimMessage, progress: Progress) {
        let holds = self.may_act(now, duty).is_some();
        let word = match say {
            ClaimMessage::Request { epoch, seq, predecessor: after } => {
                let term_ms = (self.settings.term * 1000.0) as u32;
                Message::Request { duty, epoch, seq, term_ms, progress, holds, predecessor: after }
            }
            ClaimMessage::Release { epoch, to, used } => Message::Release { duty, epoch, to, used },
        };
        let others: Vec<MemberId> = self.members.iter().copied().filter(|m| *m != self.own).collect();
        for member in others {
            self.enqueue(member, word.clone());
        }
        match say {
            ClaimMessage::Request { epoch, seq, predecessor: after } => {
                let term = self.settings.term;
                let asked =
                    LeaseRequest { by: self.own, duty, epoch, term, progress, holds, predecessor: after };
                match self.acceptor.receive_request(now, &asked) {
                    Some(Ok(())) => self.receive_grant(now, self.own, duty, epoch, seq),
                    Some(Err((why, highest))) => {
                        let (settings, members) = (self.settings, self.members.len());
                        let Some(own) = self.duties.get_mut(&duty) else { return };
                        own.claim.observe_epoch(highest);
                        let lost = own.claim.receive_refusal(now, (self.own, epoch, why), &settings, members);
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

    fn enqueue(&mut self, to: MemberId, word: Message) {
        let waiting = self.outgoing.entry(to).or_default();
        if waiting.len() < MAX_QUEUED_MESSAGES {
            waiting.push_back(word);
        }
    }

    /// The next word to a member for which there is room.
    pub fn next_message(&mut self, to: MemberId) -> Option<Message> {
        self.outgoing.get_mut(&to)?.pop_front()
    }

    /// A link is down: what waits for it is old when it is up again.
    pub fn link_down(&mut self, member: MemberId) {
        self.outgoing.remove(&member);
    }

    // ---- Time

    /// What time brings; the candidates are those of the living that may hold duties, with their weights. Called at least
    /// every few tens of milliseconds.
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

    /// Asks for a duty that nobody holds, when it is this member's turn.
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
        let Some(since) = own.unheld_since.filter(|_| own.claim.is_idle()) else { return };
        // One that does not grant yet does not know whether others hold it.
        if self.leaving || !self.acceptor.is_granting(now) {
            return;
        }
        let Some(rank) = self.candidate_order(now, key).iter().position(|m| *m == self.own) else { return };
        if now - since < self.settings.candidate_delay * rank as f64 {
            return;
        }
        if let Some(own) = self.duties.get_mut(&key) {
            own.claim.request_lease(now, None);
        }
        self.send_claim_messages(now, key);
    }

    /// The order of candidates of a duty, by what is granted here.
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

    /// Hands a duty on where this member holds too many for long enough.
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

    /// Each duty as it is seen here.
    pub fn snapshot(&self, now: f64) -> Vec<DutyStatus> {
        let row = |(key, own): (&DutyKey, &OwnDuty)| DutyStatus {
            duty: own.duty.clone(),
            holder: self.acceptor.holder(now, *key),
            own_epoch: own.claim.may_act(now),
            unheld_for: own.unheld_since.map(|since| now - since),
        };
        self.duties.iter().map(row).collect()
    }
}

/// A duty as an operator or a test sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct DutyStatus {
    /// Which.
    pub duty: Duty,
    /// Who holds it, as far as is granted here.
    pub holder: Option<(MemberId, Epoch)>,
    /// The epoch under which this member may act.
    pub own_epoch: Option<Epoch>,
    /// For how long nobody holds it, as far as is granted here, in seconds.
    pub unheld_for: Option<f64>,
}

impl fmt::Display for DutyStatus {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: ", self.duty)?;
        match (self.own_epoch, self.holder, self.unheld_for) {
            (Some(epoch), ..) => write!(f, "held here under epoch {epoch}"),
            (_, Some((member, epoch)), _) => write!(f, "held by {:016x} under epoch {epoch}", member.0),
            (.., Some(free)) => write!(f, "held by nobody for {free:.1} s"),
            _ => write!(f, "not looked at yet"),
        }
    }
}
