//! Shared budgets: what a member does not use of its part of a fleet's figure it lends to members that want more.
//!
//! Each member has a part by the configuration, and the parts sum to one at most. A lender goes without what it lends
//! from the moment it decides, before the word leaves it, until every lease that it may have given has run out, on a clock
//! that may be off in pace. A borrower counts a lease from the age of the word, which is never told too young, so a
//! word that was frozen on its way is worth less or nothing. A member that starts may have lent in an earlier life of
//! which it knows nothing, and goes without all that it could have lent until that has run out. So at any moment
//! the sum over all members is one at most: in a split, through pauses, crashes and lost words. Nobody has to
//! agree on anything, and nobody ever takes the part of another who is gone: that is not known to be unspent.
//!
//! It is for rates alone. Places of calls that stand cannot be lent for a term, as no call is called back at its end.
//!
//! No I/O, no clock, no threads: times are seconds on the member's own clock, handed in.

use std::collections::{BTreeMap, VecDeque};

use hollypaddle_membership::{Incarnation, MemberId};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// How long a lease counts for its borrower, in seconds: a cut member gives back what it borrowed within that.
pub const LEASE_TERM_S: f64 = 3.0;
/// A lender counts it for longer: clocks differ in pace by up to a hundredth each, and ages are told in milliseconds.
pub const LENDER_TERM_S: f64 = LEASE_TERM_S * 1.04 + 0.1;
/// A lease is given anew after so long: two words may be lost before it runs out.
const RENEW_INTERVAL_S: f64 = LEASE_TERM_S / 3.0;
/// Between two looks at who lends what to whom.
const UPDATE_INTERVAL_S: f64 = 0.25;
/// Most of its own part that a member ever lends, whatever is configured: as much is kept back by one that starts.
pub const MAX_LENT_RATIO: f64 = 0.9;
/// Borrowers of one budget at most, and budgets that are lent: what is remembered is bounded.
pub const MAX_BORROWERS: usize = 8;
/// Budgets that are shared at most; those beyond keep their even parts.
pub const MAX_BUDGETS: usize = 64;
/// Parts are told in millionths of the whole.
pub const WHOLE_MILLIONTHS: u32 = 1_000_000;
/// Parts of less than this are not worth a word.
const MIN_PART_MILLIONTHS: u32 = WHOLE_MILLIONTHS / 500;

/// A budget: the same at members that mean the same one. Where the figures differ, as while a configuration is rolled
/// out, nothing is lent, as parts of different wholes would not sum to one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct BudgetKey(pub u64);

impl BudgetKey {
    /// Of a scope in the words of the configuration and its figures.
    pub fn of(scope: &str, per_s: f64, burst: f64) -> BudgetKey {
        BudgetKey(xxh3_64(format!("{scope} {per_s} {burst}").as_bytes()))
    }
}

/// What a member's traffic asks of one budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Demand {
    /// Which.
    pub budget: BudgetKey,
    /// The own part by the configuration, 0 to 1.
    pub part: f64,
    /// The part that would carry what is sent and turned away now, with some room.
    pub wanted: f64,
    /// It was overdrawn and is not paid back yet.
    pub overdrawn: bool,
}

/// What another member says that it wants beyond its own part.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetRequest {
    /// Who, in which life.
    pub member: MemberId,
    /// The life.
    pub life: Incarnation,
    /// Of which budget.
    pub budget: BudgetKey,
    /// How much, in millionths of the whole.
    pub part: u32,
}

/// A lease as it is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// To which life of its borrower: a later one does not know it and must not count it.
    pub life: Incarnation,
    /// How much, in millionths of the whole.
    pub part: u32,
    /// Each renewal has another.
    pub serial: u32,
}

/// What is to be told to the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Announcement {
    /// This member wants so much beyond its part, in millionths, or no more.
    Request(BudgetKey, Option<u32>),
    /// It lends to a member, or has stopped.
    Lease(BudgetKey, MemberId, Option<Lease>),
}

#[derive(Clone, Debug, Default)]
struct Grant {
    /// What was told last; none where that was withdrawn.
    announced: Option<Lease>,
    /// To which life the leases that are out went.
    life: Incarnation,
    renew_at: f64,
    /// All that may be counted by the borrower: until when, and how much.
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

    fn lent_but_to(&self, member: MemberId) -> u32 {
        self.grants.iter().filter(|(m, _)| **m != member).map(|(_, g)| g.max_outstanding()).sum()
    }
}

/// What one member lends and wants.
#[derive(Clone, Debug)]
pub struct Lending {
    /// Most of its part that it lends, 0 to [`MAX_LENT_RATIO`]; none turns it off.
    max_lent_ratio: f64,
    /// Before this an earlier life's leases may still count.
    no_lending_before: f64,
    next_update_at: f64,
    serial: u32,
    budgets: BTreeMap<BudgetKey, BudgetState>,
}

impl Lending {
    /// Of a member that has just started.
    pub fn new(now: f64, most: f64) -> Lending {
        let (held_until, books) = (now + LENDER_TERM_S, BTreeMap::new());
        Lending {
            max_lent_ratio: most.clamp(0.0, MAX_LENT_RATIO),
            no_lending_before: held_until,
            next_update_at: now,
            serial: 0,
            budgets: books,
        }
    }

    /// Takes another bound; what is lent stays lent.
    pub fn set_max_lent_ratio(&mut self, most: f64) {
        self.max_lent_ratio = most.clamp(0.0, MAX_LENT_RATIO);
    }

    /// The part that is left of the own one, of a budget that has this part by the configuration.
    pub fn own_part(&self, now: f64, budget: BudgetKey, part: f64) -> f64 {
        let lent = self
            .budgets
            .get(&budget)
            .map_or(0.0, |book| f64::from(book.lent()) / f64::from(WHOLE_MILLIONTHS));
        let most = if now < self.no_lending_before { part * (1.0 - MAX_LENT_RATIO) } else { part };
        (part - lent).clamp(0.0, most)
    }

    /// What is lent of a budget now, as a part of the whole.
    pub fn lent(&self, budget: BudgetKey) -> f64 {
        self.budgets.get(&budget).map_or(0.0, |book| f64::from(book.lent()) / f64::from(WHOLE_MILLIONTHS))
    }

    /// Budgets that are remembered, and leases that may count, for reports and bounds.
    pub fn remembered(&self) -> (usize, usize) {
        let grants = self.budgets.values().flat_map(|b| b.grants.values());
        (self.budgets.len(), grants.map(|g| g.outstanding.len()).sum())
    }

    /// Whether it is time for a look.
    pub fn is_due(&self, now: f64) -> bool {
        now >= self.next_update_at
    }

    /// Looks at what the own traffic asks and what others want, and returns what is to be told. What is lent by it is
    /// gone from [`Lending::own_part`] when this returns, so before any word of it is said.
    pub fn update(&mut self, now: f64, demands: &[Demand], wants: &[BudgetRequest]) -> Vec<Announcement> {
        self.next_update_at = now + UPDATE_INTERVAL_S;
        let mut told = Vec::new();
        for book in self.budgets.values_mut() {
            for grant in book.grants.values_mut() {
                grant.outstanding.retain(|(until, _)| now < *until);
            }
        }
        let known = demands.iter().take(MAX_BUDGETS);
        let kept: Vec<BudgetKey> = known.clone().map(|d| d.budget).collect();
        // A budget that is not there any more lends nothing further; what is out runs out.
        let gone: Vec<BudgetKey> = self.budgets.keys().filter(|key| !kept.contains(key)).copied().collect();
        for key in gone {
            let Some(book) = self.budgets.get_mut(&key) else { continue };
            if book.requested.take().is_some() {
                told.push(Announcement::Request(key, None));
            }
            for (member, grant) in &mut book.grants {
                if grant.announced.take().is_some() {
                    told.push(Announcement::Lease(key, *member, None));
                }
            }
            book.grants.retain(|_, grant| !grant.outstanding.is_empty());
            if book.grants.is_empty() {
                self.budgets.remove(&key);
            }
        }
        for demand in known {
            self.announce_request(demand, &mut told);
            self.lend(now, demand, wants, &mut told);
        }
        told
    }

    /// Says what the own traffic lacks, where that has changed by enough.
    fn announce_request(&mut self, demand: &Demand, told: &mut Vec<Announcement>) {
        let book = self.budgets.entry(demand.budget).or_default();
        book.part = demand.part;
        let lacks = ((demand.wanted - demand.part).clamp(0.0, 1.0) * f64::from(WHOLE_MILLIONTHS)) as u32;
        let lacks = Some(lacks).filter(|lacks| *lacks >= MIN_PART_MILLIONTHS && self.max_lent_ratio > 0.0);
        let changed = match (book.requested, lacks) {
            (Some(was), Some(is)) => was.abs_diff(is) > was / 8,
            (was, is) => was != is,
        };
        if changed {
            book.requested = lacks;
            told.push(Announcement::Request(demand.budget, lacks));
        }
    }

    /// Divides what the own traffic leaves among those who want more, by what each wants.
    fn lend(&mut self, now: f64, demand: &Demand, wants: &[BudgetRequest], told: &mut Vec<Announcement>) {
        let (held, most, serial) = (now < self.no_lending_before, self.max_lent_ratio, &mut self.serial);
        let Some(book) = self.budgets.get_mut(&demand.budget) else { return };
        let whole = f64::from(WHOLE_MILLIONTHS);
        let spare = (demand.part - demand.wanted).min(demand.part * most).max(0.0);
        // One that wants more itself, owes, or may have lent in an earlier life has nothing to spare.
        let spare = if held || demand.overdrawn || book.requested.is_some() { 0.0 } else { spare };
        let mut asked: Vec<&BudgetRequest> =
            wants.iter().filter(|w| w.budget == demand.budget && w.part > 0).collect();
        asked.sort_by_key(|w| (std::cmp::Reverse(w.part), w.member));
        asked.truncate(MAX_BORROWERS);
        let sum: f64 = asked.iter().map(|w| f64::from(w.part)).sum();
        let share = |want: &BudgetRequest| {
            let part = (spare * whole * f64::from(want.part) / sum).min(f64::from(want.part));
            Some((want.member, want.life, part as u32)).filter(|(.., part)| *part >= MIN_PART_MILLIONTHS)
        };
        let shares: Vec<(MemberId, Incarnation, u32)> = asked.iter().filter_map(|want| share(want)).collect();
        let bound = (demand.part * most * whole) as u32;
        for (member, grant) in &mut book.grants {
            if grant.announced.is_some() && !shares.iter().any(|(m, ..)| m == member) {
                grant.announced = None;
                told.push(Announcement::Lease(demand.budget, *member, None));
            }
        }
        book.grants.retain(|_, grant| grant.announced.is_some() || !grant.outstanding.is_empty());
        for (member, life, part) in shares {
            // What others may still count of earlier leases is not there to be lent again.
            let part = part.min(bound.saturating_sub(book.lent_but_to(member)));
            let full = book.grants.len() >= 2 * MAX_BORROWERS;
            if part < MIN_PART_MILLIONTHS || full && !book.grants.contains_key(&member) {
                continue;
            }
            let grant = book.grants.entry(member).or_default();
            // An earlier life of its borrower may still be there and count what it was lent.
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
            // A later lease of as much or more takes the place of those before it.
            grant.outstanding.retain(|(_, out)| *out > part);
            grant.outstanding.push_back((now + LENDER_TERM_S, part));
            told.push(Announcement::Lease(demand.budget, member, Some(lease)));
        }
    }
}
