//! One duty as its candidate or holder sees it.

use std::collections::{BTreeSet, VecDeque};

use hollypaddle_membership::MemberId;

use crate::{Epoch, Progress, Refusal, Settings};

/// Requests whose answers are still counted.
const MAX_OPEN_REQUESTS: usize = 8;

/// A request and who granted it.
#[derive(Clone, Debug, PartialEq)]
struct Request {
    seq: u32,
    sent_at: f64,
    granted: BTreeSet<MemberId>,
}

/// Where it is with the duty.
#[derive(Clone, Debug, PartialEq)]
enum State {
    /// It holds nothing, and asks for nothing before then.
    Idle { not_before: f64 },
    /// It has asked, since then, and may not act yet.
    Requesting { since: f64 },
    /// It may act until then. Since when it holds the duty.
    Holding { until: f64, since: f64 },
}

/// What is to be said to all acceptors.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ClaimMessage {
    /// A request.
    Request {
        /// Under which epoch.
        epoch: Epoch,
        /// Which.
        seq: u32,
        /// The epoch given back for this one.
        predecessor: Option<Epoch>,
    },
    /// It no longer acts under that epoch.
    Release {
        /// Which.
        epoch: Epoch,
        /// To whom it hands the duty on.
        to: Option<MemberId>,
        /// Whether it could act under it.
        used: bool,
    },
}

/// How a holder came to hold a duty no more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LossReason {
    /// Its term ran out: too few members granted it anew in time.
    Expired,
    /// A majority refuses it.
    Refused(Refusal),
    /// It handed the duty on.
    HandedOver,
}

/// A candidate or holder of one duty.
#[derive(Clone, Debug)]
pub struct Claim {
    own: MemberId,
    incarnation: u64,
    state: State,
    /// The present epoch, the one that it moves to as some have seen a later one, and the one given back for it.
    epoch: Epoch,
    next_epoch: Option<Epoch>,
    refused_as_stale: bool,
    predecessor: Option<Epoch>,
    requests: VecDeque<Request>,
    next_seq: u32,
    request_time: f64,
    refused: BTreeSet<MemberId>,
    /// The highest epoch heard of.
    highest: Epoch,
    /// How far it has come.
    pub progress: Progress,
    /// What is to be said.
    pub outgoing: Vec<ClaimMessage>,
}

impl Claim {
    /// Of a member's life.
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

    /// The epoch under which it may act now. Asked again right before each act.
    pub fn may_act(&self, now: f64) -> Option<Epoch> {
        match self.state {
            State::Holding { until, .. } if now < until => Some(self.epoch),
            _ => None,
        }
    }

    /// Since when it holds the duty.
    pub fn since(&self) -> Option<f64> {
        match self.state {
            State::Holding { since, .. } => Some(since),
            _ => None,
        }
    }

    /// Whether it neither holds the duty nor asks for it.
    pub fn is_idle(&self) -> bool {
        matches!(self.state, State::Idle { .. })
    }

    /// A higher epoch was heard of.
    pub fn observe_epoch(&mut self, epoch: Epoch) {
        self.highest = self.highest.max(epoch);
    }

    /// Asks for the duty, where it holds nothing and may ask by now. `after` is the epoch that was given back for it.
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
        // Counted from before it is said: the lease is over here before it is over where it was granted.
        self.requests.push_back(Request { seq, sent_at: now, granted: BTreeSet::new() });
        self.outgoing.push(ClaimMessage::Request {
            epoch: self.next_epoch.unwrap_or(self.epoch),
            seq,
            predecessor: self.predecessor,
        });
    }

    /// A member granted it; returns whether the duty is held from now on.
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

    /// A member refused it.
    pub fn receive_refusal(
        &mut self,
        now: f64,
        (by, epoch, why): (MemberId, Epoch, Refusal),
        s: &Settings,
        members: usize,
    ) -> Option<LossReason> {
        if epoch != self.next_epoch.unwrap_or(self.epoch) || self.is_idle() {
            return None;
        }
        self.refused.insert(by);
        self.refused_as_stale |= why == Refusal::StaleEpoch;
        // As soon as no majority can be had any more.
        if 2 * (members - self.refused.len().min(members)) > members {
            return None;
        }
        let held = matches!(self.state, State::Holding { .. });
        // Whoever asked at the same moment has it, or nobody has: another time for each.
        let wait = match why {
            Refusal::Stalled => s.stall_ban,
            // This member has missed that somebody holds it, and hears of it with the next request.
            Refusal::AlreadyHeld => s.term,
            _ => s.candidate_delay * (1.0 + self.jitter()),
        };
        self.stop(now + wait, None);
        held.then_some(LossReason::Refused(why))
    }

    /// Stops at once, says so, and asks for nothing before then.
    fn stop(&mut self, not_before: f64, to: Option<MemberId>) {
        let used = matches!(self.state, State::Holding { .. });
        self.state = State::Idle { not_before };
        self.requests.clear();
        self.refused_as_stale = false;
        // Some have granted the one that it was moving to, and the others the one before it.
        if let Some(epoch) = self.next_epoch.take() {
            self.outgoing.push(ClaimMessage::Release { epoch, to, used });
        }
        self.outgoing.push(ClaimMessage::Release { epoch: self.epoch, to, used });
    }

    /// Hands the duty on; returns whether it held it.
    pub fn hand_over(&mut self, now: f64, to: Option<MemberId>, s: &Settings) -> bool {
        let held = self.may_act(now).is_some();
        if !self.is_idle() {
            self.stop(now + s.grant_duration(), to);
        }
        held
    }

    /// What time brings.
    pub fn tick(&mut self, now: f64, s: &Settings) -> Option<LossReason> {
        match self.state {
            State::Holding { until, .. } if now >= until => {
                self.stop(now + s.candidate_delay * (1.0 + self.jitter()), None);
                Some(LossReason::Expired)
            }
            State::Holding { .. } if now >= self.request_time => {
                self.request_time = now + s.renew_interval;
                self.refused.clear();
                // One that died as it asked left a later epoch at some: they grant what is above that.
                if std::mem::take(&mut self.refused_as_stale) {
                    self.highest = self.highest.next(self.own, self.incarnation);
                    self.next_epoch = Some(self.highest);
                }
                self.send_request(now);
                None
            }
            // Too few answered: those who granted it are to be free for others.
            State::Requesting { since } if now - since >= s.renew_interval => {
                self.stop(now + s.candidate_delay * (1.0 + self.jitter()), None);
                None
            }
            // One that has just started may grant by now.
            State::Requesting { .. } if now - self.request_time >= s.renew_interval / 4.0 => {
                self.request_time = now;
                self.send_request(now);
                None
            }
            _ => None,
        }
    }

    /// A number between 0 and 1 that differs by member and epoch, so that two that ask at once part.
    fn jitter(&self) -> f64 {
        let bytes = [self.own.0.to_le_bytes(), self.epoch.round.to_le_bytes()].concat();
        (xxhash_rust::xxh3::xxh3_64(&bytes) >> 11) as f64 / (1u64 << 53) as f64
    }
}
