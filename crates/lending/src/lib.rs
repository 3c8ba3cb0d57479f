//! Shared budgets: a member lends the part of a fleet-wide budget that it does not use to members that need more.
//!
//! Each member has a part by configuration, and the parts sum to at most one. A lender stops using what it lends from
//! the moment it decides, before the message leaves it, until every lease that it may have granted has expired, even
//! on a clock that runs at a slightly different pace. A borrower counts a lease from the age of the message, which is
//! never understated, so a message that was delayed on its way is worth less or nothing. A member that starts may
//! have lent in an earlier incarnation of which it knows nothing, so it does without everything that it could have
//! lent until that has expired. So at any moment the sum over all members is at most one: in a network partition,
//! through pauses, crashes and lost messages. Members need not agree on anything, and nobody ever takes the part of a
//! member that is gone: it is not known to be unspent.
//!
//! Only rates are lent. Capacity that standing calls occupy cannot be lent for a term, since no call is taken back
//! when the term ends.
//!
//! No I/O, no clock, no threads: times are seconds on the member's own clock, passed in by the caller.

use std::collections::{BTreeMap, VecDeque};

use hollypaddle_membership::{Incarnation, MemberId};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// How long a lease is valid for its borrower, in seconds. A member that is cut off stops using what it borrowed
/// within this time.
pub const LEASE_TERM_S: f64 = 3.0;
/// How long the lender counts a lease as lent, in seconds. Longer than the borrower's term, since clocks differ in
/// pace by up to a hundredth each and ages are sent in milliseconds.
pub const LENDER_TERM_S: f64 = LEASE_TERM_S * 1.04 + 0.1;
/// Interval between renewals of a lease, in seconds: two messages may be lost before the lease expires.
const RENEW_INTERVAL_S: f64 = LEASE_TERM_S / 3.0;
/// Interval between two decisions on who lends what to whom, in seconds.
const UPDATE_INTERVAL_S: f64 = 0.25;
/// Largest fraction of its own part that a member ever lends, whatever is configured. A member that starts holds back
/// as much.
pub const MAX_LENT_RATIO: f64 = 0.9;
/// Most borrowers of one budget; bounds what is remembered.
pub const MAX_BORROWERS: usize = 8;
/// Most budgets that are shared; those beyond keep their even parts. Bounds what is remembered.
pub const MAX_BUDGETS: usize = 64;
/// The whole of a budget in millionths, the unit in which parts are sent.
pub const WHOLE_MILLIONTHS: u32 = 1_000_000;
/// Smallest part that is requested or lent, in millionths of the whole: less is not worth a message.
const MIN_PART_MILLIONTHS: u32 = WHOLE_MILLIONTHS / 500;

/// Identifies a budget, the same at all members that mean the same one. Where the figures differ, as while a
/// configuration is rolled out, the keys differ and nothing is lent, as parts of different wholes would not sum to
/// one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct BudgetKey(pub u64);

impl BudgetKey {
    /// The key of a budget with this scope, as written in the configuration, and these figures.
    pub fn of(scope: &str, per_s: f64, burst: f64) -> BudgetKey {
        BudgetKey(xxh3_64(format!("{scope} {per_s} {burst}").as_bytes()))
    }
}

/// What a member's own traffic needs of one budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Demand {
    /// The budget.
    pub budget: BudgetKey,
    /// The member's own part by configuration, 0 to 1.
    pub part: f64,
    /// The part that would carry what is sent and refused now, with some headroom; 0 to 1.
    pub wanted: f64,
    /// Whether the budget was overdrawn and is not paid back yet.
    pub overdrawn: bool,
}

/// What another member requests beyond its own part.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetRequest {
    /// The member that requests.
    pub member: MemberId,
    /// The incarnation in which it requests.
    pub life: Incarnation,
    /// The budget.
    pub budget: BudgetKey,
    /// The requested amount, in millionths of the whole.
    pub part: u32,
}

/// A lease as it is sent to its borrower.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// The borrower's incarnation that it is granted to: a later one does not know the lease and must not count it.
    pub life: Incarnation,
    /// The lent amount, in millionths of the whole.
    pub part: u32,
    /// Differs in each renewal, so that a renewal is a change of the record.
    pub serial: u32,
}

/// What a member announces to the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Announcement {
    /// This member requests so many millionths beyond its part; `None` withdraws the request.
    Request(BudgetKey, Option<u32>),
    /// It lends to a member; `None` withdraws the lease.
    Lease(BudgetKey, MemberId, Option<Lease>),
}

#[derive(Clone, Debug, Default)]
struct Grant {
    /// The lease as last announced; `None` if it was withdrawn.
    announced: Option<Lease>,
    /// The borrower's incarnation that the outstanding leases were granted to.
    life: Incarnation,
    renew_at: f64,
    /// Everything that the borrower may still count: until when, and how much.
    outstanding: VecDeque<(f64, u32)>,
}

impl Grant {
    /// The most that the borrower may count now.
    fn max_outstanding(&self) -> u32 {
        self.outstanding.iter().map(|(_, part)| *part).max().unwrap_or(0)
    }
}

#[derive(Clone, Debug, Default)]
struct BudgetState {
    part: f64,
    requested: Option<u32>,
    grants: BTreeMap<MemberId, Grant>,
}

impl BudgetState {
    fn lent(&self) -> u32 {
        self.grants.values().map(Grant::max_outstanding).sum()
    }

    fn lent_to_others(&self, member: MemberId) -> u32 {
        self.grants.iter().filter(|(m, _)| **m != member).map(|(_, g)| g.max_outstanding()).sum()
    }
}

/// What one member lends and requests.
#[derive(Clone, Debug)]
pub struct Lending {
    /// Largest fraction of its part that this member lends, 0 to [`MAX_LENT_RATIO`]; 0 turns lending off.
    max_lent_ratio: f64,
    /// Until then, leases of an earlier incarnation may still be valid.
    no_lending_before: f64,
    next_update_at: f64,
    serial: u32,
    budgets: BTreeMap<BudgetKey, BudgetState>,
}

impl Lending {
    /// The state of a member that has just started.
    pub fn new(now: f64, max_lent_ratio: f64) -> Lending {
        let (no_lending_before, budgets) = (now + LENDER_TERM_S, BTreeMap::new());
        Lending {
            max_lent_ratio: max_lent_ratio.clamp(0.0, MAX_LENT_RATIO),
            no_lending_before,
            next_update_at: now,
            serial: 0,
            budgets,
        }
    }

    /// Sets another bound; what is already lent stays lent.
    pub fn set_max_lent_ratio(&mut self, max_lent_ratio: f64) {
        self.max_lent_ratio = max_lent_ratio.clamp(0.0, MAX_LENT_RATIO);
    }

    /// What is left of this member's own part; `part` is its part by configuration.
    pub fn own_part(&self, now: f64, budget: BudgetKey, part: f64) -> f64 {
        let lent = self
            .budgets
            .get(&budget)
            .map_or(0.0, |state| f64::from(state.lent()) / f64::from(WHOLE_MILLIONTHS));
        let limit = if now < self.no_lending_before { part * (1.0 - MAX_LENT_RATIO) } else { part };
        (part - lent).clamp(0.0, limit)
    }

    /// What is lent of a budget now, as a fraction of the whole.
    pub fn lent(&self, budget: BudgetKey) -> f64 {
        self.budgets.get(&budget).map_or(0.0, |state| f64::from(state.lent()) / f64::from(WHOLE_MILLIONTHS))
    }

    /// The number of budgets that are remembered and of leases that may still count, for reports and tests of the
    /// bounds.
    pub fn remembered(&self) -> (usize, usize) {
        let grants = self.budgets.values().flat_map(|b| b.grants.values());
        (self.budgets.len(), grants.map(|g| g.outstanding.len()).sum())
    }

    /// Whether the next call of [`Lending::update`] is due.
    pub fn is_due(&self, now: f64) -> bool {
        now >= self.next_update_at
    }

    /// Compares this member's needs with the requests of others and returns what to announce. What it lends is
    /// already taken from [`Lending::own_part`] when this returns, so before any message about it is sent.
    pub fn update(&mut self, now: f64, demands: &[Demand], requests: &[BudgetRequest]) -> Vec<Announcement> {
        self.next_update_at = now + UPDATE_INTERVAL_S;
        let mut announcements = Vec::new();
        for state in self.budgets.values_mut() {
            for grant in state.grants.values_mut() {
                grant.outstanding.retain(|(until, _)| now < *until);
            }
        }
        let known = demands.iter().take(MAX_BUDGETS);
        let kept: Vec<BudgetKey> = known.clone().map(|d| d.budget).collect();
        // A budget that no longer exists lends nothing further; outstanding leases expire.
        let gone: Vec<BudgetKey> = self.budgets.keys().filter(|key| !kept.contains(key)).copied().collect();
        for key in gone {
            let Some(state) = self.budgets.get_mut(&key) else { continue };
            if state.requested.take().is_some() {
                announcements.push(Announcement::Request(key, None));
            }
            for (member, grant) in &mut state.grants {
                if grant.announced.take().is_some() {
                    announcements.push(Announcement::Lease(key, *member, None));
                }
            }
            state.grants.retain(|_, grant| !grant.outstanding.is_empty());
            if state.grants.is_empty() {
                self.budgets.remove(&key);
            }
        }
        for demand in known {
            self.announce_request(demand, &mut announcements);
            self.lend(now, demand, requests, &mut announcements);
        }
        announcements
    }

    /// Announces what this member lacks, if that has changed by enough.
    fn announce_request(&mut self, demand: &Demand, announcements: &mut Vec<Announcement>) {
        let state = self.budgets.entry(demand.budget).or_default();
        state.part = demand.part;
        let missing = ((demand.wanted - demand.part).clamp(0.0, 1.0) * f64::from(WHOLE_MILLIONTHS)) as u32;
        let missing =
            Some(missing).filter(|missing| *missing >= MIN_PART_MILLIONTHS && self.max_lent_ratio > 0.0);
        let changed = match (state.requested, missing) {
            (Some(was), Some(is)) => was.abs_diff(is) > was / 8,
            (was, is) => was != is,
        };
        if changed {
            state.requested = missing;
            announcements.push(Announcement::Request(demand.budget, missing));
        }
    }

    /// Divides what this member does not need among those that request more, in proportion to their requests.
    fn lend(
        &mut self,
        now: f64,
        demand: &Demand,
        requests: &[BudgetRequest],
        announcements: &mut Vec<Announcement>,
    ) {
        let (held_back, max_lent_ratio, serial) =
            (now < self.no_lending_before, self.max_lent_ratio, &mut self.serial);
        let Some(state) = self.budgets.get_mut(&demand.budget) else { return };
        let whole = f64::from(WHOLE_MILLIONTHS);
        let spare = (demand.part - demand.wanted).min(demand.part * max_lent_ratio).max(0.0);
        // A member that requests more itself, has overdrawn, or may have lent in an earlier incarnation has nothing
        // to spare.
        let spare = if held_back || demand.overdrawn || state.requested.is_some() { 0.0 } else { spare };
        let mut borrowers: Vec<&BudgetRequest> =
            requests.iter().filter(|w| w.budget == demand.budget && w.part > 0).collect();
        borrowers.sort_by_key(|w| (std::cmp::Reverse(w.part), w.member));
        borrowers.truncate(MAX_BORROWERS);
        let sum: f64 = borrowers.iter().map(|w| f64::from(w.part)).sum();
        let share = |request: &BudgetRequest| {
            let part = (spare * whole * f64::from(request.part) / sum).min(f64::from(request.part));
            Some((request.member, request.life, part as u32))
                .filter(|(.., part)| *part >= MIN_PART_MILLIONTHS)
        };
        let shares: Vec<(MemberId, Incarnation, u32)> =
            borrowers.iter().filter_map(|request| share(request)).collect();
        let bound = (demand.part * max_lent_ratio * whole) as u32;
        for (member, grant) in &mut state.grants {
            if grant.announced.is_some() && !shares.iter().any(|(m, ..)| m == member) {
                grant.announced = None;
                announcements.push(Announcement::Lease(demand.budget, *member, None));
            }
        }
        state.grants.retain(|_, grant| grant.announced.is_some() || !grant.outstanding.is_empty());
        for (member, life, part) in shares {
            // What others may still count of earlier leases cannot be lent again.
            let part = part.min(bound.saturating_sub(state.lent_to_others(member)));
            let full = state.grants.len() >= 2 * MAX_BORROWERS;
            if part < MIN_PART_MILLIONTHS || full && !state.grants.contains_key(&member) {
                continue;
            }
            let grant = state.grants.entry(member).or_default();
            // An earlier incarnation of the borrower may still be running and count what it was lent.
            if grant.life != life && !grant.outstanding.is_empty() {
                continue;
            }
            grant.life = life;
            let more = grant.announced.is_none_or(|lease| part > lease.part + lease.part / 8);
            if !more && now < grant.renew_at {
                continue;
            }
            *serial = serial.wrapping_add(1);
            let lease = Lease { life, part, serial: *serial };
            (grant.announced, grant.renew_at) = (Some(lease), now + RENEW_INTERVAL_S);
            // A later lease of as much or more replaces those before it.
            grant.outstanding.retain(|(_, out)| *out > part);
            grant.outstanding.push_back((now + LENDER_TERM_S, part));
            announcements.push(Announcement::Lease(demand.budget, member, Some(lease)));
        }
    }
}
