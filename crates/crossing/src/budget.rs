//! Enforces budgets for set-ups that cross districts.
//!
//! A rule covers a scope: a directed pair of districts, a class, both, or all crossings. Scopes nest. The
//! narrowest rule that covers a set-up decides whether it may be sent. Every wider rule is debited too, so that
//! what a narrow rule permits is no longer available to the rest of a wide one.
//!
//! A rule has up to three limits, and a set-up must fit all of them: set-ups per second with a burst (a token
//! bucket), a ratio of the set-ups of its classes over a sliding window, and the number of calls in flight or
//! standing. A set-up is debited when it is sent, and the debit is refunded if it turns out that the set-up
//! never ran.
//!
//! *Overdrafts.* An urgent class may overdraw the rule that decides, up to `overdraft`. The overdrawn amount is
//! paid back out of later income, and other traffic of the rule always keeps the fraction `floor` of each
//! limit.

use hollypaddle_policy::Outcome;
use serde::Serialize;

use crate::window::SlidingWindow;
use crate::District;

/// The number of slots in the window of a ratio limit.
const RATIO_SLOTS: usize = 20;
/// The window over which the demand of a shared rate is counted, in seconds.
const DEMAND_WINDOW_S: f64 = 8.0;
/// The number of slots in that window.
const DEMAND_SLOTS: usize = 16;
/// The tolerance for rounding errors in sums of refills.
const EPSILON: f64 = 1e-9;

/// A figure for one gatekeeper, or one for the whole fleet that is divided among its gatekeepers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Amount {
    /// The figure.
    pub value: f64,
    /// Whether the figure is for the whole fleet.
    pub whole_fleet: bool,
}

impl Amount {
    /// Returns the part of this gatekeeper, whose fraction of the fleet is `part`.
    fn local(self, part: f64) -> f64 {
        self.value * if self.whole_fleet { part } else { 1.0 }
    }
}

/// What a rule covers. A field that is `None` covers everything.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Scope {
    /// The directed pair of districts: from the first to the second.
    pub pair: Option<(District, District)>,
    /// The class, as an index into the settings.
    pub class: Option<usize>,
}

impl Scope {
    /// Whether the scope covers a crossing.
    pub fn covers(&self, from: District, to: District, class: usize) -> bool {
        self.pair.is_none_or(|pair| pair == (from, to)) && self.class.is_none_or(|c| c == class)
    }

    /// The order in which rules decide, the narrowest first: pair and class, pair, class, all.
    fn breadth_rank(&self) -> u8 {
        match (self.pair, self.class) {
            (Some(_), Some(_)) => 0,
            (Some(_), None) => 1,
            (None, Some(_)) => 2,
            (None, None) => 3,
        }
    }
}

/// A limit of set-ups per second.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rate {
    /// Set-ups per second, above 0.
    pub per_s: Amount,
    /// The most set-ups that may be sent at once after a pause. The part of one gatekeeper is at least one, as
    /// otherwise it could send none.
    pub burst: Amount,
}

/// A limit of the ratio of set-ups that cross.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RatioLimit {
    /// The largest ratio of crossings to all set-ups of the classes of the scope, 0 to 1. Each gatekeeper keeps
    /// it on its own, so the fleet keeps it too.
    pub max_ratio: f64,
    /// The length of the sliding window, in seconds.
    pub window_s: f64,
}

/// A budget as an operator configures it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rule {
    /// What it covers.
    pub scope: Scope,
    /// The limit of set-ups per second.
    pub rate: Option<Rate>,
    /// The limit of the ratio of set-ups that cross.
    pub ratio: Option<RatioLimit>,
    /// The limit of calls in flight or standing at the same time.
    pub standing: Option<Amount>,
    /// The most set-ups by which urgent classes may overdraw the budget.
    pub overdraft: Amount,
    /// The fraction of each limit that other classes keep while the overdraft is paid back, 0 to 1.
    pub floor: f64,
}

/// The counts in one slot of the window of a ratio limit.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct WindowCounts {
    /// Set-ups of the classes of the scope, to any district.
    all: u32,
    /// Of those, the ones that crossed within the budget.
    within: u32,
    /// Of those, the ones that crossed and overdrew the budget.
    overdrawn: u32,
}

/// What a budget has been used for since it was configured.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Used {
    /// Debits.
    pub debits: u64,
    /// Of the debits, those that were refunded.
    #[serde(rename = "handed_back")]
    pub refunded: u64,
    /// Of the debits, those that overdrew the budget.
    pub overdrawn: u64,
    /// Calls that the budget denied.
    pub denied: u64,
}

/// What the budgets remember of a set-up that was debited.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Debit {
    /// When the set-up was sent, in seconds.
    pub sent_at: f64,
    /// The generation of the rules at that time.
    pub generation: u64,
    /// The district of the gatekeeper.
    pub from: District,
    /// The district of the server.
    pub to: District,
    /// The class of the call.
    pub class: usize,
    /// The scope of the rule that the set-up overdrew, if any.
    pub overdrew: Option<Scope>,
}

impl Debit {
    /// Whether the set-up crosses between two known districts.
    pub fn crosses(&self) -> bool {
        crosses(self.from, self.to)
    }
}

/// Whether a set-up between these districts crosses, and both are known.
pub fn crosses(from: District, to: District) -> bool {
    from != to && from != District::UNKNOWN && to != District::UNKNOWN
}

/// The part of a fleet rate that this gatekeeper may use while parts are lent.
#[derive(Clone, Debug)]
struct SharedRate {
    own_share: f64,
    leases: Vec<(f64, f64)>,
    requests: SlidingWindow<u32>,
}

impl SharedRate {
    /// Returns the part at a moment.
    fn share_at(&self, at: f64) -> f64 {
        let lent: f64 = self.leases.iter().filter(|(until, _)| at < *until).map(|(_, part)| part).sum();
        (self.own_share + lent).min(1.0)
    }

    /// Returns the integral of the part over a time, in seconds: each lease counts up to its end, whenever this
    /// is called.
    fn share_seconds(&self, from: f64, to: f64) -> f64 {
        let lent: f64 = self.leases.iter().map(|(until, part)| part * (to.min(*until) - from).max(0.0)).sum();
        (self.own_share * (to - from) + lent).min(to - from)
    }
}

/// The demand for a rate that is shared by the fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct BudgetDemand {
    /// What the budget covers.
    pub scope: Scope,
    /// The rate of the whole fleet in set-ups per second, and its burst in set-ups.
    pub fleet_rate_and_burst: (f64, f64),
    /// The part of this gatekeeper by the configuration, 0 to 1.
    pub configured_share: f64,
    /// The part that would carry what is now sent and held back, plus half a standard deviation. A lender that
    /// keeps less denies its own calls; one that keeps more holds what others would use.
    pub wanted_share: f64,
    /// Whether the budget is overdrawn.
    pub is_overdrawn: bool,
}

/// The state of one rule.
#[derive(Clone, Debug)]
pub struct Budget {
    rule: Rule,
    /// The part of this gatekeeper of a figure for the whole fleet.
    fleet_share: f64,
    /// While parts of fleet rates are lent: what is left of the own part, what others lend and until when, and
    /// the set-ups that were recently sent or held back. Other limits are not lent.
    shared_rate: Option<SharedRate>,
    /// The generation of the rules in which the budget began; set-ups of earlier ones were not debited here.
    since_generation: u64,
    /// Set-ups that may be sent at once, as of `refilled_at`.
    tokens: f64,
    /// Set-ups that were overdrawn and are not paid back.
    debt: f64,
    /// When the tokens were last refilled, in seconds.
    refilled_at: f64,
    window: Option<SlidingWindow<WindowCounts>>,
    /// Calls in flight or standing that are within the budget.
    open_within: u32,
    /// Calls in flight or standing that overdrew the budget.
    open_overdrawn: u32,
    used: Used,
}

impl Budget {
    /// Creates a budget with an empty burst: a gatekeeper that restarts has forgotten what it sent.
    pub fn new(rule: Rule, part: f64, now: f64, generation: u64) -> Self {
        let window = rule.ratio.map(|ratio| SlidingWindow::new(ratio.window_s, RATIO_SLOTS));
        let (tokens, debt, within, overdrew, used) = (0.0, 0.0, 0, 0, Used::default());
        Budget {
            rule,
            fleet_share: part,
            shared_rate: None,
            since_generation: generation,
            tokens,
            debt,
            refilled_at: now,
            window,
            open_within: within,
            open_overdrawn: overdrew,
            used,
        }
    }

    /// Returns the rule.
    pub fn rule(&self) -> &Rule {
        &self.rule
    }

    /// Returns what the budget was used for.
    pub fn used(&self) -> Used {
        self.used
    }

    fn rate(&self) -> Option<(f64, f64)> {
        let rate = self.rule.rate?;
        let part =
            self.shared_rate.as_ref().map_or(self.fleet_share, |shared| shared.share_at(self.refilled_at));
        Some((rate.per_s.local(part).max(EPSILON), rate.burst.local(part).max(1.0)))
    }

    /// Returns the tokens that the rate yields over a time.
    fn tokens_earned(&self, from: f64, to: f64) -> f64 {
        let Some(rate) = self.rule.rate else { return 0.0 };
        let over = match &self.shared_rate {
            Some(shared) if rate.per_s.whole_fleet => shared.share_seconds(from, to),
            _ if rate.per_s.whole_fleet => self.fleet_share * (to - from),
            _ => to - from,
        };
        rate.per_s.value * over
    }

    /// Returns the demand, if the rate is shared by the fleet. Counting begins with the first call.
    pub fn demand(&mut self, now: f64) -> Option<BudgetDemand> {
        let rate = self.rule.rate.filter(|rate| rate.per_s.whole_fleet && rate.per_s.value > 0.0)?;
        self.refill(now);
        let (part, is_overdrawn) = (self.fleet_share, self.debt > 0.0);
        let shared = self.shared_rate.get_or_insert_with(|| SharedRate {
            own_share: part,
            leases: Vec::new(),
            requests: SlidingWindow::new(DEMAND_WINDOW_S, DEMAND_SLOTS),
        });
        shared.requests.advance(now);
        let requests: f64 = shared.requests.covered_slots().map(|(_, count)| f64::from(*count)).sum();
        let wanted_set_ups = requests + 0.5 * requests.sqrt() + 0.5;
        let whole = (rate.per_s.value, rate.burst.value);
        let wanted = wanted_set_ups / (DEMAND_WINDOW_S - shared.requests.slot_width_s() / 2.0) / whole.0;
        Some(BudgetDemand {
            scope: self.rule.scope,
            fleet_rate_and_burst: whole,
            configured_share: part,
            wanted_share: wanted,
            is_overdrawn,
        })
    }

    /// Sets the part of the fleet rate that may be used: what is left of the own part, and the leases of
    /// others, each with the time at which it ends and its part.
    pub fn set_fleet_share(&mut self, now: f64, own: f64, leases: Vec<(f64, f64)>) {
        self.refill(now);
        if let Some(shared) = &mut self.shared_rate {
            (shared.own_share, shared.leases) = (own, leases);
        }
        self.cap_tokens();
    }

    /// Returns to the own part: nothing is lent any more.
    pub fn clear_fleet_share(&mut self, now: f64) {
        self.refill(now);
        self.shared_rate = None;
        self.cap_tokens();
    }

    fn cap_tokens(&mut self) {
        if let Some((_, burst)) = self.rate() {
            self.tokens = self.tokens.min(burst);
        }
    }

    /// Records that a set-up was sent on the budget, or held back by it.
    pub fn record_demand(&mut self, now: f64) {
        if let Some(shared) = &mut self.shared_rate {
            let slot = shared.requests.current_slot(now);
            *slot = slot.saturating_add(1);
        }
    }

    fn max_standing(&self) -> Option<f64> {
        // A part of less than one call would exclude a small gatekeeper for good; a limit of zero is intended.
        let min = |limit: Amount| if limit.value > 0.0 { 1.0 } else { 0.0 };
        self.rule.standing.map(|limit| limit.local(self.fleet_share).max(min(limit)))
    }

    fn max_overdraft(&self) -> f64 {
        self.rule.overdraft.local(self.fleet_share).max(if self.rule.overdraft.value > 0.0 {
            1.0
        } else {
            0.0
        })
    }

    /// Applies a changed rule of the same scope. Tokens and debt are kept, within the new bounds.
    pub fn update_rule(&mut self, rule: Rule, part: f64, now: f64, generation: u64) {
        self.refill(now);
        let (had_rate, old) = (self.rule.rate.is_some(), self.rule.ratio);
        if let Some(shared) = &mut self.shared_rate {
            // The leases were parts of another fleet rate.
            if rule.rate != self.rule.rate {
                shared.leases.clear();
            }
            shared.own_share = shared.own_share.min(part);
        }
        (self.rule, self.fleet_share) = (rule, part);
        match self.rate() {
            Some((_, burst)) if had_rate => self.tokens = self.tokens.clamp(-burst, burst),
            // A limit that was not there before starts empty, as at a start, and refunds nothing that was sent
            // before it.
            Some(_) => (self.tokens, self.debt, self.since_generation) = (0.0, 0.0, generation),
            None => (self.tokens, self.debt) = (0.0, 0.0),
        }
        self.debt = self.debt.min(self.max_overdraft());
        if old.map(|ratio| ratio.window_s) != rule.ratio.map(|ratio| ratio.window_s) {
            let before = self.window.take();
            self.window = rule.ratio.map(|ratio| SlidingWindow::new(ratio.window_s, RATIO_SLOTS));
            match (before, &mut self.window) {
                (Some(mut before), Some(window)) => {
                    before.advance(now);
                    window.advance(now);
                    for (start, slot) in before.covered_slots() {
                        if let Some(to) = window.slot_at(start + before.slot_width_s() / 2.0) {
                            to.all += slot.all;
                            to.within += slot.within;
                            to.overdrawn += slot.overdrawn;
                        }
                    }
                }
                // What was sent before the ratio limit was set is not known here.
                (None, Some(_)) => self.since_generation = generation,
                _ => {}
            }
        }
    }

    /// Recounts the calls in flight or standing after the rules have changed.
    pub fn recount(&mut self, open: impl Iterator<Item = Debit>) {
        let own = open.filter(|d| self.is_debited(d));
        let (overdrew, within): (Vec<Debit>, Vec<Debit>) =
            own.partition(|d| d.overdrew == Some(self.rule.scope));
        (self.open_within, self.open_overdrawn) = (within.len() as u32, overdrew.len() as u32);
    }

    /// Whether a set-up is debited here.
    fn is_debited(&self, debit: &Debit) -> bool {
        debit.crosses() && self.rule.scope.covers(debit.from, debit.to, debit.class)
    }

    /// Whether a set-up counts in the total of the ratio limit: all from the district of the scope do.
    fn is_in_ratio_total(&self, debit: &Debit) -> bool {
        let scope = &self.rule.scope;
        scope.pair.is_none_or(|pair| pair.0 == debit.from) && scope.class.is_none_or(|c| c == debit.class)
    }

    fn refill(&mut self, now: f64) {
        if now <= self.refilled_at {
            return;
        }
        let income = self.tokens_earned(self.refilled_at, now);
        self.refilled_at = now;
        let Some((_, burst)) = self.rate() else { return };
        let paid = self.debt.min(income * (1.0 - self.rule.floor));
        self.debt -= paid;
        self.tokens = (self.tokens + income - paid).min(burst);
    }

    fn window_counts(&mut self, now: f64) -> WindowCounts {
        let Some(window) = &mut self.window else { return WindowCounts::default() };
        window.advance(now);
        window.covered_slots().fold(WindowCounts::default(), |sum, (_, s)| WindowCounts {
            all: sum.all + s.all,
            within: sum.within + s.within,
            overdrawn: sum.overdrawn + s.overdrawn,
        })
    }

    /// Returns how much of a limit is in use. The overdrawn part never takes more than what the floor leaves.
    fn in_use(&self, within: u32, overdrew: u32, limit: f64) -> f64 {
        f64::from(within) + f64::from(overdrew).min((1.0 - self.rule.floor) * limit)
    }

    /// Checks that one more set-up fits every limit; the error is the time in seconds after which it might.
    pub fn check(&mut self, now: f64) -> Result<(), f64> {
        self.refill(now);
        let mut wait: Option<f64> = None;
        if let Some((rate, _)) = self.rate().filter(|_| self.tokens < 1.0 - EPSILON) {
            let income = if self.debt > 0.0 { rate * self.rule.floor.max(EPSILON) } else { rate };
            wait = Some((1.0 - self.tokens) / income);
        }
        if let Some(share) = self.rule.ratio {
            let seen = self.window_counts(now);
            let limit = share.max_ratio * f64::from(seen.all.saturating_add(1));
            if self.in_use(seen.within, seen.overdrawn, limit) + 1.0 > limit + EPSILON {
                wait = Some(wait.unwrap_or(0.0).max(share.window_s / RATIO_SLOTS as f64));
            }
        }
        if let Some(limit) = self.max_standing() {
            if self.in_use(self.open_within, self.open_overdrawn, limit) + 1.0 > limit + EPSILON {
                // Nobody knows when a call ends; callers are told to wait a second for any other shortage too.
                wait = Some(wait.unwrap_or(0.0).max(1.0));
            }
        }
        wait.map_or(Ok(()), Err)
    }

    /// Returns the overdrawn set-ups: the largest number that any of the limits has to be paid back.
    pub fn overdrawn(&mut self, now: f64) -> f64 {
        self.refill(now);
        let standing = if self.rule.standing.is_some() { self.open_overdrawn } else { 0 };
        self.debt.max(f64::from(self.window_counts(now).overdrawn.max(standing)))
    }

    /// Whether one more set-up may overdraw the budget.
    pub fn may_overdraw(&mut self, now: f64) -> bool {
        self.overdrawn(now) + 1.0 <= self.max_overdraft() + EPSILON
    }

    /// Records that a set-up was sent.
    pub fn record_sent(&mut self, debit: &Debit) {
        self.refill(debit.sent_at);
        let (is_debited, overdrew) = (self.is_debited(debit), debit.overdrew == Some(self.rule.scope));
        if self.is_in_ratio_total(debit) {
            if let Some(window) = &mut self.window {
                let slot = window.current_slot(debit.sent_at);
                slot.all = slot.all.saturating_add(1);
                slot.within = slot.within.saturating_add(u32::from(is_debited && !overdrew));
                slot.overdrawn = slot.overdrawn.saturating_add(u32::from(is_debited && overdrew));
            }
        }
        if !is_debited {
            return;
        }
        self.record_demand(debit.sent_at);
        self.used.debits += 1;
        self.used.overdrawn += u64::from(overdrew);
        match overdrew {
            true => (self.open_overdrawn, self.debt) = (self.open_overdrawn + 1, self.debt + 1.0),
            false => {
                self.open_within += 1;
                // A wider rule may fall below zero, by no more than its burst.
                let min = self.rate().map_or(0.0, |(_, burst)| -burst);
                self.tokens = (self.tokens - 1.0).max(min);
            }
        }
        if self.rule.rate.is_none() {
            (self.tokens, self.debt) = (0.0, 0.0);
        }
    }

    /// Records that a set-up, or the call that it established, is over. The debit of one that never ran is
    /// refunded.
    pub fn record_end(&mut self, now: f64, debit: &Debit, never_ran: bool) {
        self.refill(now);
        let overdrew = debit.overdrew == Some(self.rule.scope);
        if self.is_debited(debit) {
            let open = if overdrew { &mut self.open_overdrawn } else { &mut self.open_within };
            *open = open.saturating_sub(1);
        }
        if !never_ran || debit.generation < self.since_generation {
            return;
        }
        if self.is_in_ratio_total(debit) {
            let crossed = u32::from(self.is_debited(debit));
            if let Some(slot) = self.window.as_mut().and_then(|window| window.slot_at(debit.sent_at)) {
                slot.all = slot.all.saturating_sub(1);
                let part = if overdrew { &mut slot.overdrawn } else { &mut slot.within };
                *part = part.saturating_sub(crossed);
            }
        }
        if self.is_debited(debit) {
            self.used.refunded += 1;
            match (overdrew, self.rate()) {
                (true, Some(_)) => self.debt = (self.debt - 1.0).max(0.0),
                (false, Some((_, burst))) => self.tokens = (self.tokens + 1.0).min(burst),
                _ => {}
            }
        }
    }

    /// Records that the budget denied a call.
    pub fn record_denied(&mut self) {
        self.used.denied += 1;
    }

    /// Returns what remains, for reports: set-ups that may be sent at once by the rate, crossings in use and
    /// allowed by the ratio, calls in flight or standing and their limit.
    pub fn remaining(&mut self, now: f64) -> Remaining {
        self.refill(now);
        let seen = self.window_counts(now);
        let (rate, standing) = (self.rate(), self.max_standing());
        let shared = self.rule.rate.zip(self.shared_rate.as_ref()).map(|(rate, shared)| {
            let whole = rate.per_s.value;
            (whole * (self.fleet_share - shared.own_share), whole * (shared.share_at(now) - shared.own_share))
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
                .map(|_| f64::from(seen.within + seen.overdrawn) / f64::from(seen.all.max(1))),
            max_crossing_ratio: self.rule.ratio.map(|s| s.max_ratio),
            standing: standing.map(|_| self.open_within + self.open_overdrawn),
            max_standing: standing,
            overdrawn: self.overdrawn(now),
            overdraft: self.max_overdraft(),
        }
    }
}

/// What remains of a budget. A limit that is not configured is `None`.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Remaining {
    /// Set-ups that may be sent at once; below 0 if narrower rules took more.
    pub tokens: Option<f64>,
    /// Set-ups per second of this gatekeeper.
    pub per_s: Option<f64>,
    /// Of a fleet rate, what this gatekeeper lends to others, in set-ups per second.
    pub lent_per_s: Option<f64>,
    /// Of a fleet rate, what others lend to this gatekeeper, in set-ups per second.
    pub borrowed_per_s: Option<f64>,
    /// The most set-ups that may be sent at once.
    pub burst: Option<f64>,
    /// The ratio of the set-ups in the window that crossed.
    #[serde(rename = "share_now")]
    pub crossing_ratio: Option<f64>,
    /// The limit of `crossing_ratio`.
    #[serde(rename = "share_most")]
    pub max_crossing_ratio: Option<f64>,
    /// Calls in flight or standing.
    pub standing: Option<u32>,
    /// The limit of `standing`.
    #[serde(rename = "standing_most")]
    pub max_standing: Option<f64>,
    /// Set-ups that were overdrawn and are not paid back.
    pub overdrawn: f64,
    /// The limit of `overdrawn`.
    pub overdraft: f64,
}

/// The budgets that a set-up of one class to one district affects, as indexes into the list of budgets.
#[derive(Clone, Debug, Default)]
struct AffectedBudgets {
    /// The budgets that are debited, and those whose ratio limit counts the set-up in its total; the narrowest
    /// first.
    all: Vec<u16>,
    /// The budget that decides.
    deciding: Option<u16>,
}

/// All budgets, the narrowest first.
///
/// A set-up affects few of many budgets. They are looked up by class and district, so that a decision costs the
/// same however many budgets there are.
#[derive(Clone, Debug)]
pub struct Budgets {
    all: Vec<Budget>,
    generation: u64,
    own: District,
    /// By the index of the cell of class and district in the account.
    affected: Vec<AffectedBudgets>,
}

impl Default for Budgets {
    fn default() -> Self {
        Budgets { all: Vec::new(), generation: 0, own: District::UNKNOWN, affected: Vec::new() }
    }
}

/// The rules, and what they refer to.
#[derive(Clone, Copy, Debug)]
pub struct BudgetSettings<'a> {
    /// The rules, each with its own scope.
    pub rules: &'a [Rule],
    /// The fraction of the fleet's figures that this gatekeeper has, 0 to 1.
    pub fleet_share: f64,
    /// The district of this gatekeeper.
    pub own_district: District,
    /// The number of classes.
    pub classes: usize,
    /// The number of districts.
    pub districts: usize,
}

impl Budgets {
    /// Replaces the rules. Budgets of a scope that stays are kept; others begin or are dropped. `open` are the
    /// set-ups in flight and the standing calls.
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
        self.all.sort_by_key(|b| (b.rule.scope.breadth_rank(), b.rule.scope));
        self.all.iter_mut().for_each(|b| b.recount(open.iter().copied()));
        let affected_by = |class: usize, column: usize| {
            let to = if column == districts { District::UNKNOWN } else { District(column as u16) };
            let debit = Debit { sent_at: now, generation: 0, from: own, to, class, overdrew: None };
            let budgets = || self.all.iter().enumerate().map(|(at, b)| (at as u16, b));
            let affects =
                |b: &Budget| b.is_debited(&debit) || (b.rule.ratio.is_some() && b.is_in_ratio_total(&debit));
            AffectedBudgets {
                all: budgets().filter(|(_, b)| affects(b)).map(|b| b.0).collect(),
                deciding: budgets().find(|(_, b)| b.is_debited(&debit)).map(|b| b.0),
            }
        };
        let cells = (0..=classes).flat_map(|class| (0..=districts).map(move |column| (class, column)));
        self.affected = cells.map(|(class, column)| affected_by(class, column)).collect();
    }

    /// Returns the generation of the present rules.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Returns the budget that decides on a crossing from the own district, by the index of its cell in the
    /// account.
    pub fn deciding(&mut self, cell: usize) -> Option<&mut Budget> {
        let at = self.affected.get(cell)?.deciding?;
        self.all.get_mut(usize::from(at))
    }

    /// Applies `act` to each budget that a set-up affects.
    fn for_each_affected(&mut self, cell: usize, from: District, act: impl Fn(&mut Budget)) {
        match self.affected.get(cell).filter(|_| from == self.own) {
            Some(affected) => {
                for at in &affected.all {
                    if let Some(budget) = self.all.get_mut(usize::from(*at)) {
                        act(budget);
                    }
                }
            }
            // Sent while this gatekeeper belonged to another district.
            None => self.all.iter_mut().for_each(act),
        }
    }

    /// Records that a set-up was sent.
    pub fn record_sent(&mut self, cell: usize, debit: &Debit) {
        self.for_each_affected(cell, debit.from, |b| b.record_sent(debit));
    }

    /// Records that a set-up, or the call that it established, is over.
    pub fn record_end(&mut self, now: f64, cell: usize, debit: &Debit, never_ran: bool) {
        self.for_each_affected(cell, debit.from, |b| b.record_end(now, debit, never_ran));
    }

    /// Iterates over all budgets, the narrowest first.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut Budget> {
        self.all.iter_mut()
    }
}

/// Whether an outcome proves that a set-up never ran.
pub fn never_ran(outcome: Outcome) -> bool {
    matches!(outcome, Outcome::Full | Outcome::ConnectFailed | Outcome::NotSent)
}
