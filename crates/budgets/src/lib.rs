//! What this gatekeeper may use of the fleet's crossing budgets: its own part, less what it lends to other members,
//! plus what they lend to it. The crate `lending` decides; this crate connects it with the crossing budgets and with
//! the records that members exchange.

use std::collections::BTreeMap;

use hollypaddle_crossing::budget::BudgetDemand;
use hollypaddle_crossing::Crossing;
use hollypaddle_lending::{BudgetKey, Demand, Lending, LEASE_TERM_S, WHOLE_MILLIONTHS};

use hollypaddle_replica::Member;

/// This gatekeeper's share of each budget. It outlives the fleet that it was made for: what was lent is not back
/// before the lease has expired.
#[derive(Clone)]
pub struct Shares {
    lending: Lending,
}

impl Shares {
    /// The state of a gatekeeper that has just joined, and may have lent in an earlier incarnation.
    pub fn new(now: f64, max_lent_ratio: f64) -> Shares {
        Shares { lending: Lending::new(now, max_lent_ratio) }
    }

    /// Sets the largest fraction of its part that this gatekeeper lends.
    pub fn set_max_lent_ratio(&mut self, max_lent_ratio: f64) {
        self.lending.set_max_lent_ratio(max_lent_ratio);
    }

    /// The state of lending, for reports and tests.
    pub fn lending(&self) -> &Lending {
        &self.lending
    }

    /// Lends and borrows by the present demand, and sets what each crossing budget may use. Call it periodically;
    /// without a fleet it only waits for what is lent to expire. Returns whether it is still needed.
    pub fn update(&mut self, now: f64, fleet: Option<&mut Member>, crossing: Option<&mut Crossing>) -> bool {
        let mut crossing = crossing;
        let asks = crossing.as_mut().map_or_else(Vec::new, |crossing| crossing.demands(now));
        let asks: Vec<(BudgetKey, BudgetDemand)> = (asks.into_iter())
            .map(|(scope, asks)| {
                (BudgetKey::of(&scope, asks.fleet_rate_and_burst.0, asks.fleet_rate_and_burst.1), asks)
            })
            .collect();
        let (due, in_fleet) = (self.lending.is_due(now), fleet.is_some());
        let mut borrowed: BTreeMap<BudgetKey, Vec<(f64, f64)>> = BTreeMap::new();
        if let Some(fleet) = fleet {
            if due {
                let demand = |(budget, asks): &(BudgetKey, BudgetDemand)| {
                    let BudgetDemand {
                        configured_share: part, wanted_share: wanted, is_overdrawn: owes, ..
                    } = *asks;
                    Demand { budget: *budget, part, wanted, overdrawn: owes }
                };
                let demands: Vec<Demand> = asks.iter().map(demand).collect();
                for announcement in self.lending.update(now, &demands, &fleet.budget_requests()) {
                    fleet.announce_lending(now, announcement);
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
            crossing.clear_fleet_shares(now);
            return false;
        }
        for (budget, asks) in asks {
            let leases = borrowed.remove(&budget).unwrap_or_default();
            crossing.set_fleet_share(
                now,
                &asks.scope,
                self.lending.own_part(now, budget, asks.configured_share),
                leases,
            );
        }
        true
    }
}
