//! A budget that all members share, and what is sent on it.

use hollypaddle_crossing::{
    Amount, ClassInfo, Crossing, District, OverdraftSettings, Rate, Rule, Scope, Settings as Crossings,
};
use hollypaddle_lending::LEASE_TERM_S;
use hollypaddle_policy::{
    Candidate, Cause, Event as Heard, Gate, ListKind, Outcome, PoolEntry, PoolId, Readiness,
};
use rand::Rng;

use super::{Planted, Shared, World, BUDGET_EVERY_S, STEP};
use crate::check::{self, Broken};

/// The budget of one member: all crossings, the fleet's rate.
pub(super) fn crossing(shared: &Shared, members: usize, now: f64) -> Crossing {
    let whole = |value| Amount { value, whole_fleet: true };
    let rate = Some(Rate { per_s: whole(shared.per_s), burst: whole(shared.burst) });
    let rule = Rule {
        scope: Scope::default(),
        rate,
        ratio: None,
        standing: None,
        overdraft: whole(0.0),
        floor: 0.0,
    };
    let settings = Crossings {
        districts: vec!["here".into(), "there".into()],
        own_district: District(0),
        classes: vec![ClassInfo { name: "any".into(), goal_time_s: 1.0, urgent: false }],
        fleet_share: 1.0 / members as f64,
        overdraft: OverdraftSettings::default(),
        rules: vec![rule],
    };
    let mut crossing = Crossing::new(settings, now);
    let entry = PoolEntry {
        pool: PoolId(0),
        number: 0,
        readiness: Readiness::Ready,
        ready_at: 0.0,
        district: Some(1),
    };
    crossing.on_event(now, &Heard::List { kind: ListKind::Full, entries: vec![entry] });
    crossing
}

pub(super) fn key(shared: &Shared) -> hollypaddle_lending::BudgetKey {
    hollypaddle_lending::BudgetKey::of("all", shared.per_s, shared.burst)
}

impl World {
    /// Sends set-ups on the shared budget as far as that lets it, and looks after its share as a gatekeeper does.
    pub(super) fn spend(&mut self, n: usize, local: f64) {
        // What is lent is renewed all the time; while copies are compared nothing is said.
        let Some(shared) = self.plan.shared.filter(|_| !self.ends_wait) else { return };
        let node = &mut self.nodes[n];
        let (Some((crossing, shares)), Some(member)) = (&mut node.budget, &mut node.member) else { return };
        if local >= node.next_beat {
            node.next_beat = local + BUDGET_EVERY_S;
            shares.update(local, Some(member), Some(crossing));
            let part = 1.0 / self.plan.members as f64;
            let own = shares.lending().own_part(local, key(&shared), part);
            let lent = shares.lending().lent(key(&shared));
            let leases = member.leases().into_iter().map(|(_, at, lent)| (at, f64::from(lent) / 1e6));
            let valid = leases.clone().map(|(at, part)| (at + LEASE_TERM_S, part)).filter(|l| local < l.0);
            match self.plan.planted {
                Some(Planted::LendsAndUses) => {
                    crossing.set_fleet_share(local, &Scope::default(), own + lent, valid.collect());
                }
                Some(Planted::ForgetsLeases) => {
                    crossing.set_fleet_share(local, &Scope::default(), part - lent, valid.collect());
                }
                Some(Planted::EndlessLease) => {
                    let endless = leases.map(|(_, part)| (f64::INFINITY, part)).collect();
                    crossing.set_fleet_share(local, &Scope::default(), own, endless);
                }
                _ => {}
            }
        }
        if self.now >= node.demand.1 {
            // Nothing or far more than its part, for some seconds.
            let of = [0.0, 0.0, 3.0, 6.0][self.rng.gen_range(0..4)];
            let per_s = of * shared.per_s / self.plan.members as f64;
            node.demand = (per_s, self.now + self.rng.gen_range(3.0..9.0));
        }
        if !self.rng.gen_bool((node.demand.0 * STEP).clamp(0.0, 1.0)) {
            return;
        }
        let call = self.next_call as u32;
        self.next_call += 1;
        let candidate =
            Candidate { call, class: 0, pool: PoolId(0), attempt: 0, first_tried: local, last_resort: false };
        match crossing.may_send(local, &candidate) {
            Ok(()) => {
                crossing.on_sent(local, &candidate);
                let (pool, outcome, cause) = (PoolId(0), Outcome::Done, Cause::Unknown);
                let (attempt, complete, retry_after, report) = (0, true, None, Default::default());
                let ended =
                    Heard::Ended { call, pool, attempt, complete, outcome, cause, retry_after, report };
                crossing.on_event(local, &ended);
                self.sent.push((self.now, n));
            }
            Err(denial) => {
                crossing.on_refused(local, &candidate, &denial);
                self.turned_away += 1;
            }
        }
    }

    /// What was sent on the shared budget, held to it.
    pub(super) fn check_shared_budget(&self) -> Vec<Broken> {
        let Some(shared) = self.plan.shared else { return Vec::new() };
        let sent: Vec<f64> = self.sent.iter().map(|s| s.0).collect();
        // A front's burst is never under one set-up.
        check::shared_rate_holds(&sent, shared.per_s, shared.burst + self.plan.members as f64)
    }
}
