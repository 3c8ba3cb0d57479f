//! Answers the decision module, and keeps account, budgets and overdrafts consistent.

use hollypaddle_policy::{CallId, Candidate, Denial, Event, Gate, ListKind, Outcome, PoolId, Readiness};

use crate::account::Account;
use crate::budget::{crosses, never_ran, BudgetDemand, BudgetSettings, Budgets, Debit, Rule, Scope};
use crate::overdraft::{OverdraftSettings, OverdraftState};
use crate::report::scope_name;
use crate::table::CallTable;
use crate::District;

/// The reason in each denial of this gate.
pub const DENIAL_REASON: &str = "crossing-budget";

/// What the gate needs to know of a class.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassInfo {
    /// The name of the class.
    pub name: String,
    /// The time within which a call should be established, in seconds.
    pub goal_time_s: f64,
    /// Whether the class may overdraw budgets.
    pub urgent: bool,
}

/// The settings of the gate, which may change while it runs.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The names of the districts.
    pub districts: Vec<String>,
    /// The district of this gatekeeper.
    pub own_district: District,
    /// The classes of call.
    pub classes: Vec<ClassInfo>,
    /// The fraction of a figure for the whole fleet that this gatekeeper has, 0 to 1.
    pub fleet_share: f64,
    /// When overdrafts start and end.
    pub overdraft: OverdraftSettings,
    /// The budgets, each with its own scope.
    pub rules: Vec<Rule>,
}

impl Settings {
    /// Returns the name of a district, or "unknown".
    pub fn district_name(&self, district: District) -> &str {
        self.districts.get(usize::from(district.0)).map_or("unknown", String::as_str)
    }

    /// Returns the name of a class, or "unknown".
    pub fn class_name(&self, class: usize) -> &str {
        self.classes.get(class).map_or("unknown", |c| c.name.as_str())
    }

    fn urgent(&self, class: usize) -> bool {
        self.classes.get(class).is_some_and(|c| c.urgent)
    }
}

/// A set-up in flight, or the call that it established.
#[derive(Clone, Copy, Debug)]
struct OpenSetUp {
    debit: Debit,
    first_tried: f64,
    established: bool,
}

/// The account, budgets and overdrafts of one gatekeeper.
#[derive(Clone, Debug)]
pub struct Crossing {
    pub(crate) settings: Settings,
    pub(crate) account: Account,
    pub(crate) budgets: Budgets,
    /// By class; only urgent classes have one.
    pub(crate) overdrafts: Vec<Option<OverdraftState>>,
    /// The districts of the listed servers, sorted by pool id.
    pool_districts: Vec<(PoolId, District)>,
    /// The open set-ups and standing calls, no more than the gatekeeper holds.
    open: CallTable<OpenSetUp>,
    /// The last permission: for which call and pool, its district, when, and whether it overdraws. A set-up
    /// that was permitted is sent at once and need not be checked again.
    last_answer: Option<(CallId, PoolId, District, f64, bool)>,
    /// The attempt for which a closed own district was last recorded, so that it is recorded once.
    last_blocked: Option<(CallId, u32)>,
    /// The attempt that a budget last held back, and the scope of that budget. An attempt counts once in the
    /// demand for a shared rate, also if the call then goes elsewhere.
    last_held_back: Option<(CallId, u32, Scope)>,
    pub(crate) started_at: f64,
}

impl Crossing {
    /// Creates the gate with an empty account, and budgets with empty bursts.
    pub fn new(settings: Settings, now: f64) -> Self {
        let mut crossing = Crossing {
            settings: Settings { rules: Vec::new(), ..settings.clone() },
            account: Account::new(settings.classes.len(), settings.districts.len()),
            budgets: Budgets::default(),
            overdrafts: Vec::new(),
            pool_districts: Vec::new(),
            open: CallTable::default(),
            last_answer: None,
            last_blocked: None,
            last_held_back: None,
            started_at: now,
        };
        crossing.update_settings(settings, now);
        crossing
    }

    /// Applies new settings while traffic goes on. The account is kept. Budgets of a scope that stays keep
    /// tokens and debt within their new bounds; new ones begin with an empty burst.
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
        self.last_answer = None;
        let mut before = std::mem::take(&mut self.overdrafts);
        before.resize(settings.classes.len(), None);
        self.overdrafts = (settings.classes.iter().zip(before))
            .map(|(class, before)| match (class.urgent, before) {
                (false, _) => None,
                (true, None) => Some(OverdraftState::new(settings.overdraft, now)),
                (true, Some(mut overdraft)) => {
                    overdraft.update_settings(settings.overdraft);
                    Some(overdraft)
                }
            })
            .collect();
        self.settings = settings;
    }

    /// Returns the present settings.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Returns the account.
    pub fn account(&mut self) -> &mut Account {
        &mut self.account
    }

    /// Returns the budgets.
    pub fn budgets(&mut self) -> &mut Budgets {
        &mut self.budgets
    }

    /// Returns the demand for each rate that is shared by the fleet, with the scope as the configuration writes
    /// it, which is the same at every gatekeeper.
    pub fn demands(&mut self, now: f64) -> Vec<(String, BudgetDemand)> {
        let settings = &self.settings;
        let demands = self.budgets.iter_mut().filter_map(|budget| budget.demand(now));
        demands.map(|demand| (scope_name(settings, &demand.scope), demand)).collect()
    }

    /// Sets the part of the fleet rate that the budget of a scope may use: what is left of its own part, and
    /// the leases of others, each with the time at which it ends and its part.
    pub fn set_fleet_share(&mut self, now: f64, scope: &Scope, own: f64, leases: Vec<(f64, f64)>) {
        if let Some(budget) = self.budgets.iter_mut().find(|budget| budget.rule().scope == *scope) {
            budget.set_fleet_share(now, own, leases);
        }
    }

    /// Returns each budget to its own part.
    pub fn clear_fleet_shares(&mut self, now: f64) {
        self.budgets.iter_mut().for_each(|budget| budget.clear_fleet_share(now));
    }

    /// Whether a class may overdraw budgets at this time.
    pub fn may_overdraw(&mut self, now: f64, class: usize) -> bool {
        self.overdrafts.get_mut(class).and_then(Option::as_mut).is_some_and(|b| b.is_active(now))
    }

    /// Returns the number of set-ups in flight and standing calls that are remembered.
    pub fn open_calls(&self) -> usize {
        self.open.len()
    }

    fn district_of(&self, pool: PoolId) -> District {
        let at = self.pool_districts.binary_search_by_key(&pool, |entry| entry.0);
        at.map_or(District::UNKNOWN, |at| self.pool_districts[at].1)
    }

    /// Checks a set-up against its budget. `Ok(true)` means that it overdraws the budget; the error is the time
    /// in seconds after which to retry.
    fn check_budget(&mut self, now: f64, candidate: &Candidate, to: District) -> Result<bool, f64> {
        let own = self.settings.own_district;
        if !crosses(own, to) {
            return Ok(false);
        }
        let may_overdraw = candidate.last_resort && self.may_overdraw(now, candidate.class);
        let cell = self.account.cell_index(candidate.class, to);
        let Some(budget) = self.budgets.deciding(cell) else { return Ok(false) };
        match budget.check(now) {
            Ok(()) => Ok(false),
            Err(_) if may_overdraw && budget.may_overdraw(now) => Ok(true),
            Err(wait) => {
                let held_back = Some((candidate.call, candidate.attempt, budget.rule().scope));
                if self.last_held_back != held_back {
                    budget.record_demand(now);
                    self.last_held_back = held_back;
                }
                Err(wait)
            }
        }
    }

    fn record_own_district(&mut self, now: f64, class: usize, closed: bool) {
        if let Some(overdraft) = self.overdrafts.get_mut(class).and_then(Option::as_mut) {
            overdraft.record(now, closed);
        }
    }

    /// Applies a list of servers and their districts. If a server moves, it counts in its new district from its
    /// next set-up on.
    fn apply_list(&mut self, kind: ListKind, entries: &[hollypaddle_policy::PoolEntry]) {
        if matches!(kind, ListKind::Full | ListKind::Cached) {
            self.pool_districts.clear();
        }
        for entry in entries {
            let known = entry.district.filter(|d| usize::from(*d) < self.settings.districts.len());
            let district = known.map_or(District::UNKNOWN, District);
            let at = self.pool_districts.binary_search_by_key(&entry.pool, |entry| entry.0);
            match (at, entry.readiness) {
                (Ok(at), Readiness::Gone) => drop(self.pool_districts.remove(at)),
                (Err(_), Readiness::Gone) => {}
                (Ok(at), _) => self.pool_districts[at].1 = district,
                (Err(at), _) => self.pool_districts.insert(at, (entry.pool, district)),
            }
        }
    }

    fn record_established(&mut self, now: f64, call: CallId, delay_s: f64) {
        let Some(open) = self.open.get_mut(call).filter(|o| !o.established) else { return };
        open.established = true;
        let Debit { class, to, .. } = open.debit;
        let goal = self.settings.classes.get(class).map_or(f64::INFINITY, |c| c.goal_time_s);
        let delay_s = if delay_s.is_finite() { delay_s.max(0.0) } else { 0.0 };
        self.account.record_established(now, class, to, delay_s, now - open.first_tried > goal);
    }

    fn record_end(&mut self, now: f64, call: CallId, outcome: Outcome) {
        if let Some(open) = self.open.remove(call) {
            self.close(now, open, outcome);
        }
    }

    fn close(&mut self, now: f64, open: OpenSetUp, outcome: Outcome) {
        let OpenSetUp { debit, established, .. } = open;
        match established {
            true => {
                let cut = !matches!(outcome, Outcome::Done | Outcome::Cancelled);
                self.account.record_call_end(now, debit.class, debit.to, cut);
            }
            false => self.account.record_failed(now, debit.class, debit.to, outcome),
        }
        let cell = self.account.cell_index(debit.class, debit.to);
        self.budgets.record_end(now, cell, &debit, !established && never_ran(outcome));
    }
}

impl Gate for Crossing {
    fn on_event(&mut self, now: f64, event: &Event) {
        match event {
            Event::List { kind, entries } => self.apply_list(*kind, entries),
            Event::Established { call, delay, .. } => self.record_established(now, *call, *delay),
            Event::Ended { call, outcome, .. } => self.record_end(now, *call, *outcome),
            _ => {}
        }
    }

    fn may_send(&mut self, now: f64, candidate: &Candidate) -> Result<(), Denial> {
        let attempt = (candidate.call, candidate.attempt);
        if candidate.last_resort
            && self.settings.urgent(candidate.class)
            && self.last_blocked != Some(attempt)
        {
            self.last_blocked = Some(attempt);
            self.record_own_district(now, candidate.class, true);
        }
        let to = self.district_of(candidate.pool);
        match self.check_budget(now, candidate, to) {
            Ok(overdraws) => {
                self.last_answer = Some((candidate.call, candidate.pool, to, now, overdraws));
                Ok(())
            }
            Err(retry_after) => Err(Denial { reason: DENIAL_REASON, retry_after }),
        }
    }

    fn on_sent(&mut self, now: f64, candidate: &Candidate) {
        let (from, class) = (self.settings.own_district, candidate.class);
        let (to, overdraws) = match self.last_answer.take() {
            Some((call, pool, to, at, overdraws))
                if (call, pool, at) == (candidate.call, candidate.pool, now) =>
            {
                (to, overdraws)
            }
            _ => {
                let to = self.district_of(candidate.pool);
                (to, self.check_budget(now, candidate, to) == Ok(true))
            }
        };
        let cell = self.account.cell_index(class, to);
        let overdrew = match overdraws {
            true => self.budgets.deciding(cell).map(|b| b.rule().scope),
            false => None,
        };
        if from == to {
            self.record_own_district(now, class, false);
        }
        let debit = Debit { sent_at: now, generation: self.budgets.generation(), from, to, class, overdrew };
        self.account.record_sent(now, class, to, overdraws);
        self.budgets.record_sent(cell, &debit);
        let open = OpenSetUp { debit, first_tried: candidate.first_tried, established: false };
        // The end of each attempt is reported before the next one is sent. If one is missing, the set-up must
        // not stay in flight for ever.
        if let Some(before) = self.open.insert(candidate.call, open) {
            self.close(now, before, Outcome::Cancelled);
        }
    }

    fn on_refused(&mut self, now: f64, candidate: &Candidate, denial: &Denial) {
        if denial.reason != DENIAL_REASON {
            return;
        }
        let to = self.district_of(candidate.pool);
        self.account.record_denied(now, candidate.class, to);
        let cell = self.account.cell_index(candidate.class, to);
        if let Some(budget) = self.budgets.deciding(cell) {
            budget.record_denied();
        }
    }
}
