//! What one member has granted: to whom, under which epoch, and until when. Kept in memory alone.

use std::collections::BTreeMap;

use hollypaddle_membership::MemberId;

use crate::{DutyKey, Epoch, Progress, Refusal, Settings, MAX_DUTIES};

/// A holder's progress as it was last heard, and when it last changed.
#[derive(Clone, Copy, Debug, PartialEq)]
struct LastProgress {
    progress: Progress,
    changed_at: f64,
}

/// What is granted of one duty.
#[derive(Clone, Debug, Default, PartialEq)]
struct Grant {
    /// To whom, under which epoch, and until when that is kept to.
    lease: Option<(MemberId, Epoch, f64)>,
    /// Whether that one said that it holds the duty.
    confirmed: bool,
    /// The highest epoch that was granted or given back, and what that was before the present lease.
    highest: Epoch,
    previous_highest: Epoch,
    /// One that was given back is never granted again.
    released: Option<Epoch>,
    /// For whom it is kept, and until when.
    reserved: Option<(MemberId, f64)>,
    last_progress: Option<LastProgress>,
    /// Who was stuck with it, and until when it is granted nothing.
    banned: Option<(MemberId, f64)>,
    /// When anything was last heard of it.
    last_message_at: f64,
}

/// An acceptor.
#[derive(Clone, Debug)]
pub struct Acceptor {
    settings: Settings,
    /// What an earlier life may have granted has run out by then.
    grants_from: f64,
    grants: BTreeMap<DutyKey, Grant>,
}

/// A request, as an acceptor hears it.
#[derive(Clone, Copy, Debug)]
pub struct LeaseRequest {
    /// Who asks.
    pub by: MemberId,
    /// For what.
    pub duty: DutyKey,
    /// Under which epoch.
    pub epoch: Epoch,
    /// For how long, in seconds.
    pub term: f64,
    /// How far it has come.
    pub progress: Progress,
    /// Whether it holds the duty already.
    pub holds: bool,
    /// The epoch that was given back for it.
    pub predecessor: Option<Epoch>,
}

impl Acceptor {
    /// One that starts now: it grants nothing until all that an earlier life may have granted has run out.
    pub fn new(now: f64, settings: Settings) -> Acceptor {
        Acceptor { settings, grants_from: now + settings.grant_duration(), grants: BTreeMap::new() }
    }

    /// Whether it grants yet.
    pub fn is_granting(&self, now: f64) -> bool {
        now >= self.grants_from
    }

    /// Hears a request. Nothing is answered before this acceptor grants at all: `None`.
    pub fn receive_request(
        &mut self,
        now: f64,
        asked: &LeaseRequest,
    ) -> Option<Result<(), (Refusal, Epoch)>> {
        if now < self.grants_from {
            return None;
        }
        if !asked.term.is_finite() || asked.term > self.settings.term + 1e-3 {
            return Some(Err((Refusal::TermTooLong, Epoch::default())));
        }
        if self.grants.len() >= MAX_DUTIES && !self.grants.contains_key(&asked.duty) {
            self.drop_idle(now);
            if self.grants.len() >= MAX_DUTIES {
                return Some(Err((Refusal::TooManyDuties, Epoch::default())));
            }
        }
        let settings = self.settings;
        let grant = self.grants.entry(asked.duty).or_default();
        let answer = grant.decide(now, asked, &settings);
        grant.last_message_at = now;
        Some(answer.map_err(|why| (why, grant.highest)))
    }

    /// A holder gives an epoch back, for somebody or for whoever comes.
    pub fn receive_release(
        &mut self,
        now: f64,
        duty: DutyKey,
        epoch: Epoch,
        to: Option<MemberId>,
        used: bool,
    ) {
        let kept = self.settings.grant_duration();
        if let Some(grant) = self.grants.get_mut(&duty) {
            if let (true, Some(to)) = (grant.release(epoch, used), to) {
                grant.reserved = Some((to, now + kept / 2.0));
            }
            grant.last_message_at = now;
        }
    }

    /// Who holds a duty, as far as is granted here.
    pub fn holder(&self, now: f64, duty: DutyKey) -> Option<(MemberId, Epoch)> {
        let (member, epoch, until) = self.grants.get(&duty)?.lease?;
        (now < until).then_some((member, epoch))
    }

    /// For whom a duty is kept that is being handed on.
    pub fn reserved_for(&self, now: f64, duty: DutyKey) -> Option<MemberId> {
        let (to, until) = self.grants.get(&duty)?.reserved?;
        (now < until).then_some(to)
    }

    /// The highest epoch that was seen of a duty.
    pub fn highest_epoch(&self, duty: DutyKey) -> Epoch {
        self.grants.get(&duty).map_or(Epoch::default(), |grant| grant.highest)
    }

    /// A higher epoch was heard of elsewhere.
    pub fn observe_epoch(&mut self, duty: DutyKey, epoch: Epoch) {
        if let Some(grant) = self.grants.get_mut(&duty) {
            grant.highest = grant.highest.max(epoch);
        }
    }

    /// All holders, as far as is granted here.
    pub fn holders(&self, now: f64) -> impl Iterator<Item = (DutyKey, MemberId, Epoch)> + '_ {
        let held = move |(duty, grant): (&DutyKey, &Grant)| {
            let (member, epoch, until) = grant.lease?;
            (now < until).then_some((*duty, member, epoch))
        };
        self.grants.iter().filter_map(held)
    }

    /// Forgets duties of which nothing was heard for ten terms.
    fn drop_idle(&mut self, now: f64) {
        let old = now - 10.0 * self.settings.grant_duration();
        self.grants.retain(|_, grant| grant.last_message_at > old);
    }
}

impl Grant {
    fn decide(&mut self, now: f64, asked: &LeaseRequest, settings: &Settings) -> Result<(), Refusal> {
        if let Some(after) = asked.predecessor {
            // Whoever it is handed on to says so too: its word may overtake the release.
            self.release(after, true);
        }
        let renewed = match self.lease.filter(|(.., until)| now < *until) {
            Some((member, epoch, _)) if member == asked.by && epoch == asked.epoch => true,
            // A holder that asks under a new epoch has let the old one run out: it does not act under it. Another life of
            // the same member may be another process that still does.
            Some((member, epoch, _))
                if member == asked.by && epoch.incarnation == asked.epoch.incarnation =>
            {
                false
            }
            Some(_) if self.confirmed => return Err(Refusal::AlreadyHeld),
            Some(_) => return Err(Refusal::Contended),
            None => false,
        };
        if self.released.is_some_and(|back| asked.epoch <= back) {
            return Err(Refusal::StaleEpoch);
        }
        // A lease that ran out here may be renewed as long as nobody else was granted one.
        if asked.epoch < self.highest {
            return Err(Refusal::StaleEpoch);
        }
        if self.reserved.is_some_and(|(to, until)| now < until && to != asked.by) {
            return Err(Refusal::Reserved);
        }
        if self.banned.is_some_and(|(member, until)| now < until && member == asked.by) {
            return Err(Refusal::Stalled);
        }
        self.check_progress(now, asked, renewed, settings)?;
        if asked.epoch > self.highest {
            self.previous_highest = self.highest;
        }
        self.lease = Some((asked.by, asked.epoch, now + settings.grant_duration()));
        (self.highest, self.reserved, self.confirmed) = (asked.epoch, None, asked.holds);
        Ok(())
    }

    /// Whether the holder gets on.
    fn check_progress(
        &mut self,
        now: f64,
        asked: &LeaseRequest,
        renewed: bool,
        settings: &Settings,
    ) -> Result<(), Refusal> {
        let seen = LastProgress { progress: asked.progress, changed_at: now };
        let before = self.last_progress.filter(|_| renewed);
        let changed = match before {
            Some(before) if before.progress == asked.progress && asked.progress.busy => before.changed_at,
            _ => now,
        };
        self.last_progress = Some(LastProgress { changed_at: changed, ..seen });
        if now - changed >= settings.stall_timeout {
            self.banned = Some((asked.by, now + settings.stall_ban));
            return Err(Refusal::Stalled);
        }
        Ok(())
    }

    /// What was not granted here cannot be given back here: a candidate that was refused raises nobody's epoch.
    fn release(&mut self, epoch: Epoch, used: bool) -> bool {
        let held = self.lease.is_some_and(|(_, held, _)| held == epoch);
        if held && !used {
            // Else who holds the duty elsewhere would be refused here for as long as it holds it.
            self.highest = self.previous_highest;
        }
        if held {
            (self.lease, self.last_progress, self.released) = (None, None, Some(epoch));
        }
        held
    }
}
