//! What this gatekeeper may use of the fleet's crossing budgets: its own part, less what it lends to other members, and
//! they lend to it. The decisions are in the crate `lending`; this crate stands between them, the budgets and what
//! members tell each other.

use std::collections::BTreeMap;

use hollypaddle_crossing::budget::Asks;
use hollypaddle_crossing::Crossing;
use hollypaddle_lending::{BudgetKey, Demand, Lending, LEASE_TERM_S, WHOLE_MILLIONTHS};

use hollypaddle_replica::Member;

/// Shares of the budgets. It outlives the fleet that it was made for: what was lent is not back before its term.
#[derive(Clone)]
pub struct Shares {
    lending: Lending,
}

impl Shares {
    /// Of a gatekeeper that has just joined, and may have lent in an earlier life.
    pub fn new(now: f64, most: f64) -> Shares {
        Shares { lending: Lending::new(now, most) }
    }

    /// Takes another bound on what is lent.
    pub fn set_max_lent_ratio(&mut self, most: f64) {
        self.lending.set_max_lent_ratio(most);
    }

    /// What is decided, for reports and tests.
    pub fn lending(&self) -> &Lending {
        &self.lending
    }

    /// Looks at what is asked, lends and borrows, and tells the budgets what they may use. Called now and then; without
    /// a fleet it waits for what is lent. Returns whether it is still of use.
    pub fn update(&mut self, now: f64, fleet: Option<&mut Member>, crossing: Option<&mut Crossing>) -> bool {
        let mut crossing = crossing;
        let asks = crossing.as_mut().map_or_else(Vec::new, |crossing| crossing.asks(now));
        let asks: Vec<(BudgetKey, Asks)> = (asks.into_iter())
            .map(|(scope, asks)| (BudgetKey::of(&scope, asks.whole.0, asks.whole.1), asks))
            .collect();
        let (due, in_fleet) = (self.lending.is_due(now), fleet.is_some());
        let mut borrowed: BTreeMap<BudgetKey, Vec<(f64, f64)>> = BTreeMap::new();
        if let Some(fleet) = fleet {
            if due {
                let demand = |(budget, asks): &(BudgetKey, Asks)| {
                    let Asks { part, wanted, owes, .. } = *asks;
                    Demand { budget: *budget, part, wanted, overdrawn: owes }
                };
                let demands: Vec<Demand> = asks.iter().map(demand).collect();
                for tell in self.lending.update(now, &demands, &fleet.budget_requests()) {
                    fleet.announce_lending(now, tell);
                }
            }
            for (budget, at, part) in fleet.leases() {
                let lease = (at + LEASE_TERM_S, f64::from(part) / f64::from(WHOLE_MILLIONTHS));
                if now < lease.0 {
                    borrowed.entry(budget).or_default().push(lease);
                }
            }
        } else if due {
            self.lending.update(now, &[], &[]);
        }
        let needed = in_fleet || self.lending.remembered() != (0, 0);
        let Some(crossing) = crossing else { return needed };
        if !needed {
            crossing.share_no_more(now);
            return false;
        }
        for (budget, asks) in asks {
            let leases = borrowed.remove(&budget).unwrap_or_default();
            crossing.share(now, &asks.scope, self.lending.own_part(now, budget, asks.part), leases);
        }
        true
    }
}
