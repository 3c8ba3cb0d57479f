//! Budgets for set-ups that cross districts.
//!
//! A rule covers a scope: a directed pair of districts, a class, both, or all crossings. Scopes nest. The
//! narrowest rule that covers a set-up decides whether it may go; every wider one is debited too, so that
//! what a narrow rule lets pass is missing from the rest of a wide one.
//!
//! A rule has up to three limits, and all of them must have room: set-ups a second with a burst (a token
//! bucket), a share of the set-ups of its classes over a sliding window, and calls at a time (out or
//! standing). A debit is taken when a set-up is sent and handed back when it proves never to have run.
//!
//! *Overdrafts.* An urgent class may overdraw the rule that decides, up to `overdraft`. What it overdrew is
//! paid back out of what comes in later, and the rule's other traffic always keeps `floor` of the limit.

use hollypaddle_policy::Outcome;
use serde::Serialize;

use crate::window::SlidingWindow;
use crate::District;

/// Slots of a share's window.
const SLOTS: usize = 20;
/// The window in which it is counted what a shared rate's traffic asks, in seconds, and its slots.
const ASKED: f64 = 8.0;
const ASKED_SLOTS: usize = 16;
/// Rounding that a sum of refills may be off by.
const EPSILON: f64 = 1e-9;

/// A figure that is one front's, or the fleet's and divided among its fronts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Amount {
    /// The figure.
    pub value: f64,
    /// Whether it is the whole fleet's.
    pub whole_fleet: bool,
}

impl Amount {
    /// This front's part, given its part of the fleet.
    fn here(self, part: f64) -> f64 {
        self.value * if self.whole_fleet { part } else { 1.0 }
    }
}

/// What a rule covers. A field that is not there covers all.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Scope {
    /// The directed pair of districts: from the first to the second.
    pub pair: Option<(District, District)>,
    /// The class, an index into the settings.
    pub class: Option<usize>,
}

impl Scope {
    /// Whether it covers a crossing.
    pub fn covers(&self, from: District, to: District, class: usize) -> bool {
        self.pair.is_none_or(|pair| pair == (from, to)) && self.class.is_none_or(|c| c == class)
    }

    /// Order of deciding: pair and class, pair, class, all.
    fn width(&self) -> u8 {
        match (self.pair, self.class) {
            (Some(_), Some(_)) => 0,
            (Some(_), None) => 1,
            (None, Some(_)) => 2,
            (None, None) => 3,
        }
    }
}

/// Set-ups a second.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rate {
    /// Set-ups a second, above 0.
    pub per_s: Amount,
    /// Most set-ups that may go at once after a pause. A front's part is never under one, or none would go.
    pub burst: Amount,
}

/// A share of the set-ups.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RatioLimit {
    /// Most crossings as a part of all set-ups of the scope's classes, 0 to 1. It holds at each front alone,
    /// so it holds over the fleet.
    pub max_ratio: f64,
    /// The sliding window, in seconds.
    pub window_s: f64,
}

/// A budget as an operator sets it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rule {
    /// What it covers.
    pub scope: Scope,
    /// Set-ups a second.
    pub rate: Option<Rate>,
    /// A share of the set-ups.
    pub ratio: Option<RatioLimit>,
    /// Calls out or standing at a time.
    pub standing: Option<Amount>,
    /// Most set-ups by which urgent classes may overdraw it.
    pub overdraft: Amount,
    /// Part of each limit that other classes keep while it is paid back, 0 to 1.
    pub floor: f64,
}

/// What is in a slot of a share's window.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Shares {
    /// Set-ups of the scope's classes, to anywhere.
    all: u32,
    /// Those that crossed within the budget, and those that overdrew it.
    plain: u32,
    bent: u32,
}

/// What a budget has been used for since it was set.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Used {
    /// Debits taken.
    pub debits: u64,
    /// Of those, handed back.
    #[serde(rename = "handed_back")]
    pub refunded: u64,
    /// Of the debits, those that overdrew it.
    pub overdrawn: u64,
    /// Calls that it turned away.
    pub denied: u64,
}

/// A set-up that left a debit, as far as budgets must remember it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Debit {
    /// When it was sent.
    pub sent_at: f64,
    /// In which generation of the rules that was.
    pub generation: u64,
    /// From where.
    pub from: District,
    /// To where.
    pub to: District,
    /// Its class.
    pub class: usize,
    /// The scope of the rule that it overdrew.
    pub overdrew: Option<Scope>,
}

impl Debit {
    /// Whether it crosses districts that are both known.
    pub fn crosses(&self) -> bool {
        crosses(self.from, self.to)
    }
}

/// Whether a set-up between these crosses districts that are both known.
pub fn crosses(from: District, to: District) -> bool {
    from != to && from != District::UNKNOWN && to != District::UNKNOWN
}

/// What is shared of a fleet's rate.
#[derive(Clone, Debug)]
struct Shared {
    own: f64,
    leases: Vec<(f64, f64)>,
    asked: SlidingWindow<u32>,
}

impl Shared {
    /// The part that counts at a moment.
    fn part(&self, at: f64) -> f64 {
        let lent: f64 = self.leases.iter().filter(|(until, _)| at < *until).map(|(_, part)| part).sum();
        (self.own + lent).min(1.0)
    }

    /// The same, summed over a time: each lease up to its end, whenever it is looked at.
    fn over(&self, from: f64, to: f64) -> f64 {
        let lent: f64 = self.leases.iter().map(|(until, part)| part * (to.min(*until) - from).max(0.0)).sum();
        (self.own * (to - from) + lent).min(to - from)
    }
}

/// What the traffic of a rate that is the fleet's asks.
#[derive(Clone, Debug, PartialEq)]
pub struct BudgetDemand {
    /// What the budget covers.
    pub scope: Scope,
    /// The fleet's set-ups a second and burst.
    pub fleet_rate_and_burst: (f64, f64),
    /// This front's part of it by the configuration.
    pub configured_share: f64,
    /// The part that would carry what is sent and held back now, with room for half a deviation of it: with less, one
    /// that lends turns its own away, with more it keeps what others would use.
    pub wanted_share: f64,
    /// Whether it is overdrawn.
    pub is_overdrawn: bool,
}

/// One rule's state.
#[derive(Clone, Debug)]
pub struct Budget {
    rule: Rule,
    /// This front's part of a fleet figure.
    part: f64,
    /// Where parts of fleet rates are lent: what is left of the own one, what others lend and until when, and the
    /// set-ups that were sent or held back lately. Other limits keep the part.
    shared: Option<Shared>,
    /// The generation of the rules in which it began; set-ups of earlier ones left no debit here.
    born: u64,
    /// Set-ups that may go now, as of then; and what is overdrawn and not paid back.
    tokens: f64,
    debt: f64,
    at: f64,
    window: Option<SlidingWindow<Shares>>,
    /// Calls out or standing.
    plain: u32,
    bent: u32,
    used: Used,
}

impl Budget {
    /// A budget that begins now, with an empty burst: a front that starts anew has forgotten what it sent.
    pub fn new(rule: Rule, part: f64, now: f64, generation: u64) -> Self {
        let window = rule.ratio.map(|share| SlidingWindow::new(share.window_s, SLOTS));
        let (tokens, debt, plain, bent, used) = (0.0, 0.0, 0, 0, Used::default());
        Budget {
            rule,
            part,
            shared: None,
            born: generation,
            tokens,
            debt,
            at: now,
            window,
            plain,
            bent,
            used,
        }
    }

    /// The rule.
    pub fn rule(&self) -> &Rule {
        &self.rule
    }

    /// What it was used for.
    pub fn used(&self) -> Used {
        self.used
    }

    fn rate(&self) -> Option<(f64, f64)> {
        let rate = self.rule.rate?;
        let part = self.shared.as_ref().map_or(self.part, |shared| shared.part(self.at));
        Some((rate.per_s.here(part).max(EPSILON), rate.burst.here(part).max(1.0)))
    }

    /// What comes in by the rate in a time.
    fn income(&self, from: f64, to: f64) -> f64 {
        let Some(rate) = self.rule.rate else { return 0.0 };
        let over = match &self.shared {
            Some(shared) if rate.per_s.whole_fleet => shared.over(from, to),
            _ if rate.per_s.whole_fleet => self.part * (to - from),
            _ => to - from,
        };
        rate.per_s.value * over
    }

    /// What its traffic asks, where its rate is the fleet's. The first time it begins to count.
    pub fn demand(&mut self, now: f64) -> Option<BudgetDemand> {
        let rate = self.rule.rate.filter(|rate| rate.per_s.whole_fleet && rate.per_s.value > 0.0)?;
        self.refill(now);
        let (part, owes) = (self.part, self.debt > 0.0);
        let shared = self.shared.get_or_insert_with(|| Shared {
            own: part,
            leases: Vec::new(),
            asked: SlidingWindow::new(ASKED, ASKED_SLOTS),
        });
        shared.asked.advance(now);
        let asked: f64 = shared.asked.covered_slots().map(|(_, count)| f64::from(*count)).sum();
        let room = asked + 0.5 * asked.sqrt() + 0.5;
        let whole = (rate.per_s.value, rate.burst.value);
        let wanted = room / (ASKED - shared.asked.slot_width_s() / 2.0) / whole.0;
        Some(BudgetDemand {
            scope: self.rule.scope,
            fleet_rate_and_burst: whole,
            configured_share: part,
            wanted_share: wanted,
            is_overdrawn: owes,
        })
    }

    /// Takes what is left of the own part and what others lend, until when and how much.
    pub fn set_fleet_share(&mut self, now: f64, own: f64, leases: Vec<(f64, f64)>) {
        self.refill(now);
        if let Some(shared) = &mut self.shared {
            (shared.own, shared.leases) = (own, leases);
        }
        self.cut_to_burst();
    }

    /// Nothing is shared any more: the own part counts.
    pub fn clear_fleet_share(&mut self, now: f64) {
        self.refill(now);
        self.shared = None;
        self.cut_to_burst();
    }

    fn cut_to_burst(&mut self) {
        if let Some((_, burst)) = self.rate() {
            self.tokens = self.tokens.min(burst);
        }
    }

    /// A set-up was sent on it, or held back by it.
    pub fn record_demand(&mut self, now: f64) {
        if let Some(shared) = &mut self.shared {
            let slot = shared.asked.current_slot(now);
            *slot = slot.saturating_add(1);
        }
    }

    fn standing(&self) -> Option<f64> {
        // A part of less than one call would shut a small front out for good; none at all is meant so.
        let least = |most: Amount| if most.value > 0.0 { 1.0 } else { 0.0 };
        self.rule.standing.map(|most| most.here(self.part).max(least(most)))
    }

    fn overdraft(&self) -> f64 {
        self.rule.overdraft.here(self.part).max(if self.rule.overdraft.value > 0.0 { 1.0 } else { 0.0 })
    }

    /// Takes a changed rule of the same scope. What it holds and owes stays, cut to the new bounds.
    pub fn update_rule(&mut self, rule: Rule, part: f64, now: f64, generation: u64) {
        self.refill(now);
        let (had_rate, old) = (self.rule.rate.is_some(), self.rule.ratio);
        if let Some(shared) = &mut self.shared {
            // What was lent was a part of another whole.
            if rule.rate != self.rule.rate {
                shared.leases.clear();
            }
            shared.own = shared.own.min(part);
        }
        (self.rule, self.part) = (rule, part);
        match self.rate() {
            Some((_, burst)) if had_rate => self.tokens = self.tokens.clamp(-burst, burst),
            // A limit that was not there before starts empty, as at a start, and owes nothing for what was sent
            // before it.
            Some(_) => (self.tokens, self.debt, self.born) = (0.0, 0.0, generation),
            None => (self.tokens, self.debt) = (0.0, 0.0),
        }
        self.debt = self.debt.min(self.overdraft());
        if old.map(|s| s.window_s) != rule.ratio.map(|s| s.window_s) {
            let before = self.window.take();
            self.window = rule.ratio.map(|share| SlidingWindow::new(share.window_s, SLOTS));
            match (before, &mut self.window) {
                (Some(mut before), Some(window)) => {
                    before.advance(now);
                    window.advance(now);
                    for (start, slot) in before.covered_slots() {
                        if let Some(to) = window.slot_at(start + before.slot_width_s() / 2.0) {
                            to.all += slot.all;
                            to.plain += slot.plain;
                            to.bent += slot.bent;
                        }
                    }
                }
                // What was sent before a share was set is not known here.
                (None, Some(_)) => self.born = generation,
                _ => {}
            }
        }
    }

    /// Counts anew what is out or standing, after the rules have changed.
    pub fn recount(&mut self, open: impl Iterator<Item = Debit>) {
        let own = open.filter(|d| self.concerns(d));
        let (bent, plain): (Vec<Debit>, Vec<Debit>) = own.partition(|d| d.overdrew == Some(self.rule.scope));
        (self.plain, self.bent) = (plain.len() as u32, bent.len() as u32);
    }

    /// Whether a set-up is debited here.
    fn concerns(&self, debit: &Debit) -> bool {
        debit.crosses() && self.rule.scope.covers(debit.from, debit.to, debit.class)
    }

    /// Whether a set-up counts towards all of which a share may cross: those from the scope's district.
    fn counts(&self, debit: &Debit) -> bool {
        let scope = &self.rule.scope;
        scope.pair.is_none_or(|pair| pair.0 == debit.from) && scope.class.is_none_or(|c| c == debit.class)
    }

    fn refill(&mut self, now: f64) {
        if now <= self.at {
            return;
        }
        let income = self.income(self.at, now);
        self.at = now;
        let Some((_, burst)) = self.rate() else { return };
        let paid = self.debt.min(income * (1.0 - self.rule.floor));
        self.debt -= paid;
        self.tokens = (self.tokens + income - paid).min(burst);
    }

    fn shares(&mut self, now: f64) -> Shares {
        let Some(window) = &mut self.window else { return Shares::default() };
        window.advance(now);
        window.covered_slots().fold(Shares::default(), |sum, (_, s)| Shares {
            all: sum.all + s.all,
            plain: sum.plain + s.plain,
            bent: sum.bent + s.bent,
        })
    }

    /// What of a limit is in use: the overdrawn part never takes more than what the floor leaves.
    fn in_use(&self, plain: u32, bent: u32, limit: f64) -> f64 {
        f64::from(plain) + f64::from(bent).min((1.0 - self.rule.floor) * limit)
    }

    /// Whether one more set-up fits every limit; else in how many seconds it might.
    pub fn check(&mut self, now: f64) -> Result<(), f64> {
        self.refill(now);
        let mut wait: Option<f64> = None;
        if let Some((rate, _)) = self.rate().filter(|_| self.tokens < 1.0 - EPSILON) {
            let income = if self.debt > 0.0 { rate * self.rule.floor.max(EPSILON) } else { rate };
            wait = Some((1.0 - self.tokens) / income);
        }
        if let Some(share) = self.rule.ratio {
            let seen = self.shares(now);
            let limit = share.max_ratio * f64::from(seen.all.saturating_add(1));
            if self.in_use(seen.plain, seen.bent, limit) + 1.0 > limit + EPSILON {
                wait = Some(wait.unwrap_or(0.0).max(share.window_s / SLOTS as f64));
            }
        }
        if let Some(limit) = self.standing() {
            if self.in_use(self.plain, self.bent, limit) + 1.0 > limit + EPSILON {
                // Nobody knows when one ends; a second is as long as callers are told at any other want.
                wait = Some(wait.unwrap_or(0.0).max(1.0));
            }
        }
        wait.map_or(Ok(()), Err)
    }

    /// What is overdrawn now, in set-ups: the most that any of its limits has to be paid back.
    pub fn overdrawn(&mut self, now: f64) -> f64 {
        self.refill(now);
        let standing = if self.rule.standing.is_some() { self.bent } else { 0 };
        self.debt.max(f64::from(self.shares(now).bent.max(standing)))
    }

    /// Whether one more set-up may overdraw it.
    pub fn may_overdraw(&mut self, now: f64) -> bool {
        self.overdrawn(now) + 1.0 <= self.overdraft() + EPSILON
    }

    /// A set-up was sent.
    pub fn record_sent(&mut self, debit: &Debit) {
        self.refill(debit.sent_at);
        let (concerned, bent) = (self.concerns(debit), debit.overdrew == Some(self.rule.scope));
        if self.counts(debit) {
            if let Some(window) = &mut self.window {
                let slot = window.current_slot(debit.sent_at);
                slot.all = slot.all.saturating_add(1);
                slot.plain = slot.plain.saturating_add(u32::from(concerned && !bent));
                slot.bent = slot.bent.saturating_add(u32::from(concerned && bent));
            }
        }
        if !concerned {
            return;
        }
        self.record_demand(debit.sent_at);
        self.used.debits += 1;
        self.used.overdrawn += u64::from(bent);
        match bent {
            true => (self.bent, self.debt) = (self.bent + 1, self.debt + 1.0),
            false => {
                self.plain += 1;
                // A wider rule may go under, by no more than its burst.
                let least = self.rate().map_or(0.0, |(_, burst)| -burst);
                self.tokens = (self.tokens - 1.0).max(least);
            }
        }
        if self.rule.rate.is_none() {
            (self.tokens, self.debt) = (0.0, 0.0);
        }
    }

    /// A set-up, or the call that stood by it, is over. One that never ran gets its debit back.
    pub fn record_end(&mut self, now: f64, debit: &Debit, never_ran: bool) {
        self.refill(now);
        let bent = debit.overdrew == Some(self.rule.scope);
        if self.concerns(debit) {
            let places = if bent { &mut self.bent } else { &mut self.plain };
            *places = places.saturating_sub(1);
        }
        if !never_ran || debit.generation < self.born {
            return;
        }
        if self.counts(debit) {
            let crossed = u32::from(self.concerns(debit));
            if let Some(slot) = self.window.as_mut().and_then(|window| window.slot_at(debit.sent_at)) {
                slot.all = slot.all.saturating_sub(1);
                let part = if bent { &mut slot.bent } else { &mut slot.plain };
                *part = part.saturating_sub(crossed);
            }
        }
        if self.concerns(debit) {
            self.used.refunded += 1;
            match (bent, self.rate()) {
                (true, Some(_)) => self.debt = (self.debt - 1.0).max(0.0),
                (false, Some((_, burst))) => self.tokens = (self.tokens + 1.0).min(burst),
                _ => {}
            }
        }
    }

    /// It turned a call away.
    pub fn record_denied(&mut self) {
        self.used.denied += 1;
    }

    /// What is left, for reports: set-ups that may go at once by the rate, crossings in use and allowed by
    /// the share, calls in place and allowed.
    pub fn remaining(&mut self, now: f64) -> Remaining {
        self.refill(now);
        let seen = self.shares(now);
        let (rate, standing) = (self.rate(), self.standing());
        let shared = self.rule.rate.zip(self.shared.as_ref()).map(|(rate, shared)| {
            let whole = rate.per_s.value;
            (whole * (self.part - shared.own), whole * (shared.part(now) - shared.own))
        });
        Remaining {
            tokens: rate.map(|_| self.tokens),
            per_s: rate.map(|r| r.0),
            lent_per_s: shared.map(|s| s.0),
            borrowed_per_s: shared.map(|s| s.1),
            burst: rate.map(|r| r.1),
            crossing_ratio: self
                .rule
                .ratio
                .map(|_| f64::from(seen.plain + seen.bent) / f64::from(seen.all.max(1))),
            max_crossing_ratio: self.rule.ratio.map(|s| s.max_ratio),
            standing: standing.map(|_| self.plain + self.bent),
            max_standing: standing,
            overdrawn: self.overdrawn(now),
            overdraft: self.overdraft(),
        }
    }
}

/// What is left of a budget; a limit that is not set is not there.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Remaining {
    /// Set-ups that may go at once; below 0 where narrower rules took more.
    pub tokens: Option<f64>,
    /// Set-ups a second of this front.
    pub per_s: Option<f64>,
    /// Of a fleet's rate, what this front lends to others, and what others lend to it, in set-ups a second.
    pub lent_per_s: Option<f64>,
    /// The latter.
    pub borrowed_per_s: Option<f64>,
    /// Most that may go at once.
    pub burst: Option<f64>,
    /// Part of the set-ups that crossed in the window.
    #[serde(rename = "share_now")]
    pub crossing_ratio: Option<f64>,
    /// Most of them that may.
    #[serde(rename = "share_most")]
    pub max_crossing_ratio: Option<f64>,
    /// Calls out or standing.
    pub standing: Option<u32>,
    /// Most of them.
    #[serde(rename = "standing_most")]
    pub max_standing: Option<f64>,
    /// Set-ups overdrawn and not paid back.
    pub overdrawn: f64,
    /// Most that may be.
    pub overdraft: f64,
}

/// Which budgets a set-up of one class to one district touches, as places in the list.
#[derive(Clone, Debug, Default)]
struct Touched {
    /// Those that it is debited to, and those that count it towards all of which a share may cross; the
    /// narrowest first.
    all: Vec<u16>,
    /// The one that decides.
    deciding: Option<u16>,
}

/// All budgets, the narrowest first.
///
/// Of many budgets a set-up touches few: they are looked up by class and district, so that a decision costs the
/// same however many there are.
#[derive(Clone, Debug)]
pub struct Budgets {
    all: Vec<Budget>,
    generation: u64,
    own: District,
    /// By the place of class and district in the account.
    touched: Vec<Touched>,
}

impl Default for Budgets {
    fn default() -> Self {
        Budgets { all: Vec::new(), generation: 0, own: District::UNKNOWN, touched: Vec::new() }
    }
}

/// What is to be set.
#[derive(Clone, Copy, Debug)]
pub struct BudgetSettings<'a> {
    /// The rules, no two of one scope.
    pub rules: &'a [Rule],
    /// This front's part of the fleet's figures.
    pub fleet_share: f64,
    /// The own district.
    pub own_district: District,
    /// How many classes there are, and districts.
    pub classes: usize,
    /// How many districts.
    pub districts: usize,
}

impl Budgets {
    /// Takes a set of rules: budgets of the same scope go on, others begin or are dropped. `open` are the
    /// set-ups out and the calls standing.
    pub fn set_rules(&mut self, setting: BudgetSettings, now: f64, open: &[Debit]) {
        let BudgetSettings { rules, fleet_share: part, own_district: own, classes, districts } = setting;
        self.generation += 1;
        self.own = own;
        let mut before = std::mem::take(&mut self.all);
        for rule in rules {
            let kept = before.iter().position(|b| b.rule.scope == rule.scope).map(|i| before.swap_remove(i));
            let budget = match kept {
                Some(mut budget) => {
                    budget.update_rule(*rule, part, now, self.generation);
                    budget
                }
                None => Budget::new(*rule, part, now, self.generation),
            };
            self.all.push(budget);
        }
        self.all.sort_by_key(|b| (b.rule.scope.width(), b.rule.scope));
        self.all.iter_mut().for_each(|b| b.recount(open.iter().copied()));
        let place = |class: usize, column: usize| {
            let to = if column == districts { District::UNKNOWN } else { District(column as u16) };
            let debit = Debit { sent_at: now, generation: 0, from: own, to, class, overdrew: None };
            let budgets = || self.all.iter().enumerate().map(|(at, b)| (at as u16, b));
            let touches = |b: &Budget| b.concerns(&debit) || (b.rule.ratio.is_some() && b.counts(&debit));
            Touched {
                all: budgets().filter(|(_, b)| touches(b)).map(|b| b.0).collect(),
                deciding: budgets().find(|(_, b)| b.concerns(&debit)).map(|b| b.0),
            }
        };
        let places = (0..=classes).flat_map(|class| (0..=districts).map(move |column| (class, column)));
        self.touched = places.map(|(class, column)| place(class, column)).collect();
    }

    /// The generation of the rules in force.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// The budget that decides on a crossing from the own district, by its place in the account.
    pub fn deciding(&mut self, place: usize) -> Option<&mut Budget> {
        let at = self.touched.get(place)?.deciding?;
        self.all.get_mut(usize::from(at))
    }

    /// Has each budget that a set-up touches do something.
    fn touch(&mut self, place: usize, from: District, act: impl Fn(&mut Budget)) {
        match self.touched.get(place).filter(|_| from == self.own) {
            Some(touched) => {
                for at in &touched.all {
                    if let Some(budget) = self.all.get_mut(usize::from(*at)) {
                        act(budget);
                    }
                }
            }
            // Sent while another district was the own one.
            None => self.all.iter_mut().for_each(act),
        }
    }

    /// A set-up was sent.
    pub fn record_sent(&mut self, place: usize, debit: &Debit) {
        self.touch(place, debit.from, |b| b.record_sent(debit));
    }

    /// A set-up, or the call that stood by it, is over.
    pub fn record_end(&mut self, now: f64, place: usize, debit: &Debit, never_ran: bool) {
        self.touch(place, debit.from, |b| b.record_end(now, debit, never_ran));
    }

    /// All of them, the narrowest first.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut Budget> {
        self.all.iter_mut()
    }
}

/// Whether an outcome proves that a set-up never ran.
pub fn never_ran(outcome: Outcome) -> bool {
    matches!(outcome, Outcome::Full | Outcome::ConnectFailed | Outcome::NotSent)
}
