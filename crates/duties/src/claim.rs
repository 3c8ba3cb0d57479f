//! One member's claim to one duty, from its first request until it loses or hands over the duty.

use std::collections::{BTreeSet, VecDeque};

use hollypaddle_membership::MemberId;

use crate::{Epoch, Progress, Refusal, Settings};

/// Most requests whose answers are still counted.
const MAX_OPEN_REQUESTS: usize = 8;

/// A request and the members that granted it.
#[derive(Clone, Debug, PartialEq)]
struct Request {
    seq: u32,
    sent_at: f64,
    granted: BTreeSet<MemberId>,
}

/// The state of the claim.
#[derive(Clone, Debug, PartialEq)]
enum State {
    /// Holds nothing, and requests nothing before the given time.
    Idle { not_before: f64 },
    /// Has requested the duty at that time and may not act yet.
    Requesting { since: f64 },
    /// May act until the given time; has held the duty since `since`.
    Holding { until: f64, since: f64 },
}

/// A message to all acceptors.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ClaimMessage {
    /// Requests the duty, or its renewal.
    Request {
        /// The epoch to hold it under.
        epoch: Epoch,
        /// The number of the request.
        seq: u32,
        /// The epoch that the last holder released in favour of this member.
        predecessor: Option<Epoch>,
    },
    /// Gives up an epoch: this member no longer acts under it.
    Release {
        /// The epoch.
        epoch: Epoch,
        /// The member that the duty is handed over to.
        to: Option<MemberId>,
        /// Whether this member could ever act under the epoch.
        used: bool,
    },
}

/// Why a member no longer holds a duty.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LossReason {
    /// The term ended: too few members renewed the lease in time.
    Expired,
    /// A majority refused the renewal.
    Refused(Refusal),
    /// It handed the duty over.
    HandedOver,
}

/// One member's claim to one duty, as a candidate or as the holder.
#[derive(Clone, Debug)]
pub struct Claim {
    own: MemberId,
    incarnation: u64,
    state: State,
    /// The present epoch; the one that it moves to since some acceptors know a later one (`next_epoch`, requested if
    /// a renewal was refused as stale); and the one released in its favour (`predecessor`).
    epoch: Epoch,
    next_epoch: Option<Epoch>,
    refused_as_stale: bool,
    predecessor: Option<Epoch>,
    requests: VecDeque<Request>,
    next_seq: u32,
    request_time: f64,
    refused: BTreeSet<MemberId>,
    /// The highest epoch that this member knows of.
    highest: Epoch,
    /// How far this member has come with the work.
    pub progress: Progress,
    /// Messages to all acceptors that are not sent yet.
    pub outgoing: Vec<ClaimMessage>,
}

impl Claim {
    /// The claim of a member in an incarnation; it holds nothing yet.
    pub fn new(own: MemberId, incarnation: u64) -> Claim {
        Claim {
            own,
            incarnation,
            state: State::Idle { not_before: f64::NEG_INFINITY },
            epoch: Epoch::default(),
            next_epoch: None,
            refused_as_stale: false,
            predecessor: None,
            requests: VecDeque::new(),
            next_seq: 1,
            request_time: f64::NEG_INFINITY,
            refused: BTreeSet::new(),
            highest: Epoch::default(),
            progress: Progress::default(),
            outgoing: Vec::new(),
        }
    }

    /// The epoch under which the member may act now. To be checked again right before each action.
    pub fn may_act(&self, now: f64) -> Option<Epoch> {
        match self.state {
            State::Holding { until, .. } if now < until => Some(self.epoch),
            _ => None,
        }
    }

    /// Since when it has held the duty.
    pub fn since(&self) -> Option<f64> {
        match self.state {
            State::Holding { since, .. } => Some(since),
            _ => None,
        }
    }

    /// Whether it neither holds nor requests the duty.
    pub fn is_idle(&self) -> bool {
        matches!(self.state, State::Idle { .. })
    }

    /// Records that a higher epoch is known.
    pub fn observe_epoch(&mut self, epoch: Epoch) {
        self.highest = self.highest.max(epoch);
    }

    /// Requests the duty if it is idle and may request by now. `after` is the epoch that the last holder released in
    /// its favour.
    pub fn request_lease(&mut self, now: f64, after: Option<Epoch>) {
        let State::Idle { not_before } = self.state else { return };
        if now < not_before && after.is_none() {
            return;
        }
        self.epoch = self.highest.max(after.unwrap_or_default()).next(self.own, self.incarnation);
        self.highest = self.epoch;
        self.predecessor = after;
        self.refused.clear();
        self.requests.clear();
        self.state = State::Requesting { since: now };
        self.send_request(now);
        self.request_time = now;
    }

    fn send_request(&mut self, now: f64) {
        let seq = self.next_seq;
        self.next_seq = self.next_seq.wrapping_add(1);
        if self.requests.len() >= MAX_OPEN_REQUESTS {
            self.requests.pop_front();
        }
        // Counted from before the request is sent, so the lease ends here before it ends at the acceptors.
        self.requests.push_back(Request { seq, sent_at: now, granted: BTreeSet::new() });
        self.outgoing.push(ClaimMessage::Request {
            epoch: self.next_epoch.unwrap_or(self.epoch),
            seq,
            predecessor: self.predecessor,
        });
    }

    /// Handles a grant; returns whether the duty is held from now on.
    pub fn receive_grant(
        &mut self,
        now: f64,
        by: MemberId,
        epoch: Epoch,
        seq: u32,
        s: &Settings,
        members: usize,
    ) -> bool {
        if epoch != self.next_epoch.unwrap_or(self.epoch) || self.is_idle() {
            return false;
        }
        self.refused.remove(&by);
        let Some(request) = self.requests.iter_mut().find(|r| r.seq == seq) else { return false };
        request.granted.insert(by);
        let until = request.sent_at + s.term;
        if 2 * request.granted.len() <= members || now >= until {
            return false;
        }
        match &mut self.state {
            State::Holding { until: held, .. } => {
                *held = held.max(until);
                self.epoch = epoch;
                self.next_epoch = None;
                false
            }
            _ => {
                self.request_time = now + s.renew_interval;
                self.state = State::Holding { until, since: now };
                true
            }
        }
    }

    /// Handles a refusal; returns why the duty is lost, if it was held.
    pub fn receive_refusal(
        &mut self,
        now: f64,
        (by, epoch, reason): (MemberId, Epoch, Refusal),
        s: &Settings,
        members: usize,
    ) -> Option<LossReason> {
        if epoch != self.next_epoch.unwrap_or(self.epoch) || self.is_idle() {
            return None;
        }
        self.refused.insert(by);
        self.refused_as_stale |= reason == Refusal::StaleEpoch;
        // Gives up as soon as a majority is out of reach.
        if 2 * (members - self.refused.len().min(members)) > members {
            return None;
        }
        let held = matches!(self.state, State::Holding { .. });
        // Another candidate that requested at the same time has the duty, or nobody has: each waits for a different
        // time.
        let wait = match reason {
            Refusal::Stalled => s.stall_ban,
            // This member missed that another holds the duty, and learns of it from the holder's next request.
            Refusal::AlreadyHeld => s.term,
            _ => s.candidate_delay * (1.0 + self.jitter()),
        };
        self.stop(now + wait, None);
        held.then_some(LossReason::Refused(reason))
    }

    /// Stops at once, releases the duty, and requests nothing before `not_before`.
    fn stop(&mut self, not_before: f64, to: Option<MemberId>) {
        let used = matches!(self.state, State::Holding { .. });
        self.state = State::Idle { not_before };
        self.requests.clear();
        self.refused_as_stale = false;
        // Some acceptors granted the next epoch, the others the present one: both are released.
        if let Some(epoch) = self.next_epoch.take() {
            self.outgoing.push(ClaimMessage::Release { epoch, to, used });
        }
        self.outgoing.push(ClaimMessage::Release { epoch: self.epoch, to, used });
    }

    /// Hands the duty over, or gives it up if `to` is `None`; returns whether it was held.
    pub fn hand_over(&mut self, now: f64, to: Option<MemberId>, s: &Settings) -> bool {
        let held = self.may_act(now).is_some();
        if !self.is_idle() {
            self.stop(now + s.grant_duration(), to);
        }
        held
    }

    /// Renews the lease, repeats requests, and ends the claim when its time is up; returns why the duty is lost, if
    /// it was held.
    pub fn tick(&mut self, now: f64, s: &Settings) -> Option<LossReason> {
        match self.state {
            State::Holding { until, .. } if now >= until => {
                self.stop(now + s.candidate_delay * (1.0 + self.jitter()), None);
                Some(LossReason::Expired)
            }
            State::Holding { .. } if now >= self.request_time => {
                self.request_time = now + s.renew_interval;
                self.refused.clear();
                // A candidate that died during its request left a later epoch at some acceptors: they grant only what
                // is above that.
                if std::mem::take(&mut self.refused_as_stale) {
                    self.highest = self.highest.next(self.own, self.incarnation);
                    self.next_epoch = Some(self.highest);
                }
                self.send_request(now);
                None
            }
            // Too few acceptors answered: those that granted the request must be free for others.
            State::Requesting { since } if now - since >= s.renew_interval => {
                self.stop(now + s.candidate_delay * (1.0 + self.jitter()), None);
                None
            }
            // An acceptor that has just started may grant by now.
            State::Requesting { .. } if now - self.request_time >= s.renew_interval / 4.0 => {
                self.request_time = now;
                self.send_request(now);
                None
            }
            _ => None,
        }
    }

    /// A number between 0 and 1 that differs by member and epoch, so that two members that request at the same time
    /// separate.
    fn jitter(&self) -> f64 {
        let bytes = [self.own.0.to_le_bytes(), self.epoch.round.to_le_bytes()].concat();
        (xxhash_rust::xxh3::xxh3_64(&bytes) >> 11) as f64 / (1u64 << 53) as f64
    }
}
