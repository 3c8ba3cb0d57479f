//! The gate: answers the decision module, and keeps account, budgets and bending in step.

use hollypaddle_policy::{CallId, Candidate, Denial, Event, Gate, ListKind, Outcome, PoolId, Readiness};

use crate::account::Account;
use crate::budget::{crosses, never_ran, BudgetDemand, BudgetSettings, Budgets, Debit, Rule, Scope};
use crate::overdraft::{OverdraftSettings, OverdraftState};
use crate::report::scope_name;
use crate::table::CallTable;
use crate::District;

/// The reason that a denial carries.
pub const DENIAL_REASON: &str = "crossing-budget";

/// What is to be known of a class.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassInfo {
    /// Its name.
    pub name: String,
    /// The wanted time to stand, in seconds.
    pub goal_time_s: f64,
    /// Whether it may overdraw budgets.
    pub urgent: bool,
}

/// What the gate is told at its start, and again when that changes.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The districts' names.
    pub districts: Vec<String>,
    /// Where this gatekeeper stands.
    pub own_district: District,
    /// The classes of call.
    pub classes: Vec<ClassInfo>,
    /// This gatekeeper's part of a figure that is told for the fleet, 0 to 1.
    pub fleet_share: f64,
    /// When bending starts and ends.
    pub overdraft: OverdraftSettings,
    /// The budgets, no two of one scope.
    pub rules: Vec<Rule>,
}

impl Settings {
    /// A district's name; one that is not known has none of its own.
    pub fn district_name(&self, district: District) -> &str {
        self.districts.get(usize::from(district.0)).map_or("unknown", String::as_str)
    }

    /// A class's name.
    pub fn class_name(&self, class: usize) -> &str {
        self.classes.get(class).map_or("unknown", |c| c.name.as_str())
    }

    fn urgent(&self, class: usize) -> bool {
        self.classes.get(class).is_some_and(|c| c.urgent)
    }
}

/// A set-up that is out, or the call that stood by it.
#[derive(Clone, Copy, Debug)]
struct Open {
    debit: Debit,
    first_tried: f64,
    stood: bool,
}

/// Account, budgets and bending of one gatekeeper.
#[derive(Clone, Debug)]
pub struct Crossing {
    pub(crate) settings: Settings,
    pub(crate) account: Account,
    pub(crate) budgets: Budgets,
    /// By class; only urgent ones bend.
    pub(crate) overdrafts: Vec<Option<OverdraftState>>,
    /// Where the listed servers stand, in the order of their ids.
    places: Vec<(PoolId, District)>,
    /// No more than the calls that the front holds.
    open: CallTable<Open>,
    /// The last answer: to which attempt, where and when, and whether it was to overdraw. What was let pass
    /// is sent at once, and need not be asked again.
    answered: Option<(CallId, PoolId, District, f64, bool)>,
    /// The attempt whose want of an open pool was last noted, so that it is noted once.
    noted: Option<(CallId, u32)>,
    /// The attempt and the budget that last held it back: what a shared rate is asked for counts once an attempt, also
    /// where the call then goes elsewhere.
    asked: Option<(CallId, u32, Scope)>,
    pub(crate) started_at: f64,
}

impl Crossing {
    /// An empty account, budgets with empty bursts.
    pub fn new(settings: Settings, now: f64) -> Self {
        let mut crossing = Crossing {
            settings: Settings { rules: Vec::new(), ..settings.clone() },
            account: Account::new(settings.classes.len(), settings.districts.len()),
            budgets: Budgets::default(),
            overdrafts: Vec::new(),
            places: Vec::new(),
            open: CallTable::default(),
            answered: None,
            noted: None,
            asked: None,
            started_at: now,
        };
        crossing.update_settings(settings, now);
        crossing
    }

    /// Takes new settings while traffic goes on. The account stays; budgets of a scope that is still there
    /// keep what they hold and owe, cut to their new bounds; new ones begin with an empty burst.
    pub fn update_settings(&mut self, settings: Settings, now: f64) {
        let open: Vec<Debit> = self.open.values().map(|o| o.debit).collect();
        let (classes, districts) = (settings.classes.len(), settings.districts.len());
        self.account.resize(classes, districts);
        let Settings { fleet_share: part, own_district: own, .. } = settings;
        let setting = BudgetSettings {
            rules: &settings.rules,
            fleet_share: part,
            own_district: own,
            classes,
            districts,
        };
        self.budgets.set_rules(setting, now, &open);
        self.answered = None;
        let mut before = std::mem::take(&mut self.overdrafts);
        before.resize(settings.classes.len(), None);
        self.overdrafts = (settings.classes.iter().zip(before))
            .map(|(class, before)| match (class.urgent, before) {
                (false, _) => None,
                (true, None) => Some(OverdraftState::new(settings.overdraft, now)),
                (true, Some(mut bending)) => {
                    bending.update_settings(settings.overdraft);
                    Some(bending)
                }
            })
            .collect();
        self.settings = settings;
    }

    /// The settings in force.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// The account.
    pub fn account(&mut self) -> &mut Account {
        &mut self.account
    }

    /// The budgets.
    pub fn budgets(&mut self) -> &mut Budgets {
        &mut self.budgets
    }

    /// What the traffic of each budget asks whose rate is the fleet's, with the scope in the words of the configuration,
    /// as every gatekeeper has them.
    pub fn demands(&mut self, now: f64) -> Vec<(String, BudgetDemand)> {
        let settings = &self.settings;
        let asks = self.budgets.iter_mut().filter_map(|budget| budget.demand(now));
        asks.map(|asks| (scope_name(settings, &asks.scope), asks)).collect()
    }

    /// Tells the budget of a scope what it may use of the fleet's rate: what is left of its own part, and what others
    /// lend, until when and how much.
    pub fn set_fleet_share(&mut self, now: f64, scope: &Scope, own: f64, leases: Vec<(f64, f64)>) {
        if let Some(budget) = self.budgets.iter_mut().find(|budget| budget.rule().scope == *scope) {
            budget.set_fleet_share(now, own, leases);
        }
    }

    /// Each budget goes back to its own part.
    pub fn clear_fleet_shares(&mut self, now: f64) {
        self.budgets.iter_mut().for_each(|budget| budget.clear_fleet_share(now));
    }

    /// Whether a class bends at this time.
    pub fn may_overdraw(&mut self, now: f64, class: usize) -> bool {
        self.overdrafts.get_mut(class).and_then(Option::as_mut).is_some_and(|b| b.is_active(now))
    }

    /// Set-ups out and calls standing that are remembered.
    pub fn open_calls(&self) -> usize {
        self.open.len()
    }

    fn place(&self, pool: PoolId) -> District {
        let at = self.places.binary_search_by_key(&pool, |place| place.0);
        at.map_or(District::UNKNOWN, |at| self.places[at].1)
    }

    /// Whether a crossing fits its budget, or may overdraw it; else when to come back.
    fn allowed(&mut self, now: f64, candidate: &Candidate, to: District) -> Result<bool, f64> {
        let own = self.settings.own_district;
        if !crosses(own, to) {
            return Ok(false);
        }
        let bends = candidate.last_resort && self.may_overdraw(now, candidate.class);
        let place = self.account.cell_index(candidate.class, to);
        let Some(budget) = self.budgets.deciding(place) else { return Ok(false) };
        match budget.check(now) {
            Ok(()) => Ok(false),
            Err(_) if bends && budget.may_overdraw(now) => Ok(true),
            Err(wait) => {
                let asked = Some((candidate.call, candidate.attempt, budget.rule().scope));
                if self.asked != asked {
                    budget.record_demand(now);
                    self.asked = asked;
                }
                Err(wait)
            }
        }
    }

    fn note(&mut self, now: f64, class: usize, closed: bool) {
        if let Some(bending) = self.overdrafts.get_mut(class).and_then(Option::as_mut) {
            bending.record(now, closed);
        }
    }

    /// A list names servers, and where they stand; one that moves counts there from its next set-up on.
    fn listed(&mut self, kind: ListKind, entries: &[hollypaddle_policy::PoolEntry]) {
        if matches!(kind, ListKind::Full | ListKind::Cached) {
            self.places.clear();
        }
        for entry in entries {
            let known = entry.district.filter(|d| usize::from(*d) < self.settings.districts.len());
            let district = known.map_or(District::UNKNOWN, District);
            let at = self.places.binary_search_by_key(&entry.pool, |place| place.0);
            match (at, entry.readiness) {
                (Ok(at), Readiness::Gone) => drop(self.places.remove(at)),
                (Err(_), Readiness::Gone) => {}
                (Ok(at), _) => self.places[at].1 = district,
                (Err(at), _) => self.places.insert(at, (entry.pool, district)),
            }
        }
    }

    fn stood(&mut self, now: f64, call: CallId, lag: f64) {
        let Some(open) = self.open.get_mut(call).filter(|o| !o.stood) else { return };
        open.stood = true;
        let Debit { class, to, .. } = open.debit;
        let goal = self.settings.classes.get(class).map_or(f64::INFINITY, |c| c.goal_time_s);
        let lag = if lag.is_finite() { lag.max(0.0) } else { 0.0 };
        self.account.record_established(now, class, to, lag, now - open.first_tried > goal);
    }

    fn over(&mut self, now: f64, call: CallId, outcome: Outcome) {
        if let Some(open) = self.open.remove(call) {
            self.closed(now, open, outcome);
        }
    }

    fn closed(&mut self, now: f64, open: Open, outcome: Outcome) {
        let Open { debit, stood, .. } = open;
        match stood {
            true => {
                let cut = !matches!(outcome, Outcome::Done | Outcome::Cancelled);
                self.account.record_call_end(now, debit.class, debit.to, cut);
            }
            false => self.account.record_failed(now, debit.class, debit.to, outcome),
        }
        let place = self.account.cell_index(debit.class, debit.to);
        self.budgets.record_end(now, place, &debit, !stood && never_ran(outcome));
    }
}

impl Gate for Crossing {
    fn on_event(&mut self, now: f64, event: &Event) {
        match event {
            Event::List { kind, entries } => self.listed(*kind, entries),
            Event::Established { call, delay, .. } => self.stood(now, *call, *delay),
            Event::Ended { call, outcome, .. } => self.over(now, *call, *outcome),
            _ => {}
        }
    }

    fn may_send(&mut self, now: f64, candidate: &Candidate) -> Result<(), Denial> {
        let attempt = (candidate.call, candidate.attempt);
        if candidate.last_resort && self.settings.urgent(candidate.class) && self.noted != Some(attempt) {
            self.noted = Some(attempt);
            self.note(now, candidate.class, true);
        }
        let to = self.place(candidate.pool);
        match self.allowed(now, candidate, to) {
            Ok(overdraws) => {
                self.answered = Some((candidate.call, candidate.pool, to, now, overdraws));
                Ok(())
            }
            Err(retry_after) => Err(Denial { reason: DENIAL_REASON, retry_after }),
        }
    }

    fn on_sent(&mut self, now: f64, candidate: &Candidate) {
        let (from, class) = (self.settings.own_district, candidate.class);
        let (to, overdraws) = match self.answered.take() {
            Some((call, pool, to, at, overdraws))
                if (call, pool, at) == (candidate.call, candidate.pool, now) =>
            {
                (to, overdraws)
            }
            _ => {
                let to = self.place(candidate.pool);
                (to, self.allowed(now, candidate, to) == Ok(true))
            }
        };
        let place = self.account.cell_index(class, to);
        let bent = match overdraws {
            true => self.budgets.deciding(place).map(|b| b.rule().scope),
            false => None,
        };
        if from == to {
            self.note(now, class, false);
        }
        let debit =
            Debit { sent_at: now, generation: self.budgets.generation(), from, to, class, overdrew: bent };
        self.account.record_sent(now, class, to, overdraws);
        self.budgets.record_sent(place, &debit);
        let open = Open { debit, first_tried: candidate.first_tried, stood: false };
        // Each attempt's end is told before the next is sent; were one not, it must not stay out for ever.
        if let Some(before) = self.open.insert(candidate.call, open) {
            self.closed(now, before, Outcome::Cancelled);
        }
    }

    fn on_refused(&mut self, now: f64, candidate: &Candidate, denial: &Denial) {
        if denial.reason != DENIAL_REASON {
            return;
        }
        let to = self.place(candidate.pool);
        self.account.record_denied(now, candidate.class, to);
        let place = self.account.cell_index(candidate.class, to);
        if let Some(budget) = self.budgets.deciding(place) {
            budget.record_denied();
        }
    }
}
