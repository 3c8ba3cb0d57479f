//! What one member has granted: to whom, under which epoch, and until when. Kept only in memory.

use std::collections::BTreeMap;

use hollypaddle_membership::MemberId;

use crate::{DutyKey, Epoch, Progress, Refusal, Settings, MAX_DUTIES};

/// A holder's progress as it was last reported, and when it last changed.
#[derive(Clone, Copy, Debug, PartialEq)]
struct LastProgress {
    progress: Progress,
    changed_at: f64,
}

/// What is granted of one duty.
#[derive(Clone, Debug, Default, PartialEq)]
struct Grant {
    /// The holder, its epoch, and until when the grant is kept to.
    lease: Option<(MemberId, Epoch, f64)>,
    /// Whether the holder has reported that it holds the duty.
    confirmed: bool,
    /// The highest epoch that was granted or released, and the highest one before the present lease.
    highest: Epoch,
    previous_highest: Epoch,
    /// The epoch released last: it is never granted again.
    released: Option<Epoch>,
    /// The member that the duty is reserved for, and until when.
    reserved: Option<(MemberId, f64)>,
    last_progress: Option<LastProgress>,
    /// The member that was stuck with the duty, and until when it is refused.
    banned: Option<(MemberId, f64)>,
    /// When the last message about the duty was received.
    last_message_at: f64,
}

/// One member's record of the leases that it has granted.
#[derive(Clone, Debug)]
pub struct Acceptor {
    settings: Settings,
    /// Until then, leases of an earlier incarnation may still be valid, and nothing is granted.
    grants_from: f64,
    grants: BTreeMap<DutyKey, Grant>,
}

/// A request as an acceptor receives it.
#[derive(Clone, Copy, Debug)]
pub struct LeaseRequest {
    /// The requesting member.
    pub by: MemberId,
    /// The duty.
    pub duty: DutyKey,
    /// The epoch to hold it under.
    pub epoch: Epoch,
    /// The term, in seconds.
    pub term: f64,
    /// How far the member has come.
    pub progress: Progress,
    /// Whether it holds the duty already.
    pub holds: bool,
    /// The epoch that the last holder released in its favour.
    pub predecessor: Option<Epoch>,
}

impl Acceptor {
    /// An acceptor that starts now: it grants nothing until all that an earlier incarnation may have granted has
    /// expired.
    pub fn new(now: f64, settings: Settings) -> Acceptor {
        Acceptor { settings, grants_from: now + settings.grant_duration(), grants: BTreeMap::new() }
    }

    /// Whether it grants leases yet.
    pub fn is_granting(&self, now: f64) -> bool {
        now >= self.grants_from
    }

    /// Handles a request. Returns `None`, to be left unanswered, as long as this acceptor grants nothing at all; a
    /// refusal comes with the highest epoch that is known.
    pub fn receive_request(
        &mut self,
        now: f64,
        request: &LeaseRequest,
    ) -> Option<Result<(), (Refusal, Epoch)>> {
        if now < self.grants_from {
            return None;
        }
        if !request.term.is_finite() || request.term > self.settings.term + 1e-3 {
            return Some(Err((Refusal::TermTooLong, Epoch::default())));
        }
        if self.grants.len() >= MAX_DUTIES && !self.grants.contains_key(&request.duty) {
            self.drop_idle(now);
            if self.grants.len() >= MAX_DUTIES {
                return Some(Err((Refusal::TooManyDuties, Epoch::default())));
            }
        }
        let settings = self.settings;
        let grant = self.grants.entry(request.duty).or_default();
        let answer = grant.decide(now, request, &settings);
        grant.last_message_at = now;
        Some(answer.map_err(|reason| (reason, grant.highest)))
    }

    /// Handles the release of an epoch by its holder, in favour of one member or of whoever requests first.
    pub fn receive_release(
        &mut self,
        now: f64,
        duty: DutyKey,
        epoch: Epoch,
        to: Option<MemberId>,
        used: bool,
    ) {
        let grant_duration = self.settings.grant_duration();
        if let Some(grant) = self.grants.get_mut(&duty) {
            if let (true, Some(to)) = (grant.release(epoch, used), to) {
                grant.reserved = Some((to, now + grant_duration / 2.0));
            }
            grant.last_message_at = now;
        }
    }

    /// The holder of a duty, as far as this member granted it.
    pub fn holder(&self, now: f64, duty: DutyKey) -> Option<(MemberId, Epoch)> {
        let (member, epoch, until) = self.grants.get(&duty)?.lease?;
        (now < until).then_some((member, epoch))
    }

    /// The member that a duty is reserved for while it is handed over.
    pub fn reserved_for(&self, now: f64, duty: DutyKey) -> Option<MemberId> {
        let (to, until) = self.grants.get(&duty)?.reserved?;
        (now < until).then_some(to)
    }

    /// The highest epoch of a duty that is known.
    pub fn highest_epoch(&self, duty: DutyKey) -> Epoch {
        self.grants.get(&duty).map_or(Epoch::default(), |grant| grant.highest)
    }

    /// Records that a higher epoch is known elsewhere.
    pub fn observe_epoch(&mut self, duty: DutyKey, epoch: Epoch) {
        if let Some(grant) = self.grants.get_mut(&duty) {
            grant.highest = grant.highest.max(epoch);
        }
    }

    /// The holders of all duties, as far as this member granted them.
    pub fn holders(&self, now: f64) -> impl Iterator<Item = (DutyKey, MemberId, Epoch)> + '_ {
        let held = move |(duty, grant): (&DutyKey, &Grant)| {
            let (member, epoch, until) = grant.lease?;
            (now < until).then_some((*duty, member, epoch))
        };
        self.grants.iter().filter_map(held)
    }

    /// Drops duties about which no message was received for ten terms.
    fn drop_idle(&mut self, now: f64) {
        let old = now - 10.0 * self.settings.grant_duration();
        self.grants.retain(|_, grant| grant.last_message_at > old);
    }
}

impl Grant {
    fn decide(&mut self, now: f64, request: &LeaseRequest, settings: &Settings) -> Result<(), Refusal> {
        if let Some(released) = request.predecessor {
            // The member that takes the duty over reports the release too: its request may overtake the release
            // itself.
            self.release(released, true);
        }
        let renewed = match self.lease.filter(|(.., until)| now < *until) {
            Some((member, epoch, _)) if member == request.by && epoch == request.epoch => true,
            // A holder that requests under a new epoch has let the old one expire and does not act under it. Another
            // incarnation of the same member may be another process that still does.
            Some((member, epoch, _))
                if member == request.by && epoch.incarnation == request.epoch.incarnation =>
            {
                false
            }
            Some(_) if self.confirmed => return Err(Refusal::AlreadyHeld),
            Some(_) => return Err(Refusal::Contended),
            None => false,
        };
        if self.released.is_some_and(|released| request.epoch <= released) {
            return Err(Refusal::StaleEpoch);
        }
        // A lease that expired here may be renewed as long as nobody else was granted one.
        if request.epoch < self.highest {
            return Err(Refusal::StaleEpoch);
        }
        if self.reserved.is_some_and(|(to, until)| now < until && to != request.by) {
            return Err(Refusal::Reserved);
        }
        if self.banned.is_some_and(|(member, until)| now < until && member == request.by) {
            return Err(Refusal::Stalled);
        }
        self.check_progress(now, request, renewed, settings)?;
        if request.epoch > self.highest {
            self.previous_highest = self.highest;
        }
        self.lease = Some((request.by, request.epoch, now + settings.grant_duration()));
        (self.highest, self.reserved, self.confirmed) = (request.epoch, None, request.holds);
        Ok(())
    }

    /// Checks that the holder makes progress.
    fn check_progress(
        &mut self,
        now: f64,
        request: &LeaseRequest,
        renewed: bool,
        settings: &Settings,
    ) -> Result<(), Refusal> {
        let latest = LastProgress { progress: request.progress, changed_at: now };
        let previous = self.last_progress.filter(|_| renewed);
        let changed_at = match previous {
            Some(previous) if previous.progress == request.progress && request.progress.busy => {
                previous.changed_at
            }
            _ => now,
        };
        self.last_progress = Some(LastProgress { changed_at, ..latest });
        if now - changed_at >= settings.stall_timeout {
            self.banned = Some((request.by, now + settings.stall_ban));
            return Err(Refusal::Stalled);
        }
        Ok(())
    }

    /// Releases what was granted here; anything else changes nothing, so a candidate that was refused raises nobody's
    /// epoch.
    fn release(&mut self, epoch: Epoch, used: bool) -> bool {
        let held = self.lease.is_some_and(|(_, held, _)| held == epoch);
        if held && !used {
            // Otherwise the member that holds the duty elsewhere would be refused here for as long as it holds it.
            self.highest = self.previous_highest;
        }
        if held {
            (self.lease, self.last_progress, self.released) = (None, None, Some(epoch));
        }
        held
    }
}
