//! Properties of lending, checked against a model that remembers every lease that was ever announced.

use hollypaddle_lending::*;
use hollypaddle_membership::{Incarnation, MemberId};
use proptest::prelude::*;

const BUDGET: BudgetKey = BudgetKey(7);

/// One update: the time since the last one, what the member's own traffic needs, whether the budget is overdrawn, and
/// what some other members request, each with its incarnation.
type Step = (f64, f64, bool, Vec<(u64, u64, u32)>);

fn step() -> impl Strategy<Value = Step> {
    let requests = prop::collection::vec((0u64..12, 0u64..2, 0u32..WHOLE_MILLIONTHS), 0..14);
    (0.05f64..2.0, 0.0f64..0.3, prop::bool::weighted(0.1), requests)
}

proptest! {
    /// At any moment what is left and all that borrowers may count sum to at most the member's own part, and nothing
    /// is lent that an earlier incarnation may have lent. The borrowers' clock runs a fiftieth slower than the
    /// lender's.
    #[test]
    fn a_lender_does_not_use_what_it_lent_until_the_lease_has_expired(
        max_lent_ratio in 0.0f64..1.0,
        part in 0.01f64..0.5,
        steps in prop::collection::vec(step(), 1..60),
    ) {
        let started_at = 1000.0;
        let mut lending = Lending::new(started_at, max_lent_ratio);
        // The borrower, its incarnation, until when, and how much: of one borrower the last message counts.
        let mut announced: Vec<(MemberId, Incarnation, f64, u32)> = Vec::new();
        let mut now = started_at;
        for (elapsed, wanted, overdrawn, requests) in steps {
            now += elapsed;
            let life = |n: u64| Incarnation { number: n, nonce: 0 };
            let mut latest: Vec<BudgetRequest> = requests
                .iter()
                .map(|(who, n, part)| BudgetRequest { member: MemberId(*who), life: life(*n), budget: BUDGET, part: *part })
                .collect();
            latest.sort_by_key(|w| w.member);
            latest.dedup_by_key(|w| w.member);
            let demand = Demand { budget: BUDGET, part, wanted, overdrawn };
            for announcement in lending.update(now, &[demand], &latest) {
                if let Announcement::Lease(_, member, Some(lease)) = announcement {
                    prop_assert!(now >= started_at + LENDER_TERM_S, "an earlier incarnation may have lent it");
                    prop_assert!(!overdrawn && wanted < part, "it has nothing to spare");
                    announced.push((member, lease.life, now + LEASE_TERM_S * 1.02, lease.part));
                }
            }
            // A borrower that missed the last message still counts the one before.
            let mut counted_by: std::collections::BTreeMap<MemberId, u32> = Default::default();
            for (member, _, _, part) in announced.iter().filter(|(.., until, _)| now < *until) {
                let largest = counted_by.entry(*member).or_default();
                *largest = (*largest).max(*part);
            }
            let incarnations = |m: &MemberId| {
                let valid = announced.iter().filter(|(who, _, until, _)| who == m && now < *until);
                valid.map(|t| t.1).collect::<std::collections::BTreeSet<Incarnation>>().len()
            };
            prop_assert!(counted_by.keys().all(|m| incarnations(m) == 1), "two incarnations of one borrower would both count their leases");
            let lent = f64::from(counted_by.values().sum::<u32>()) / f64::from(WHOLE_MILLIONTHS);
            let left = lending.own_part(now, BUDGET, part);
            prop_assert!(left >= 0.0 && left + lent <= part + 1e-9, "{left} left, {lent} lent, of a part of {part}");
            prop_assert!(lent <= part * max_lent_ratio.min(MAX_LENT_RATIO) + 1e-9);
            if now < started_at + LENDER_TERM_S {
                prop_assert!(left <= part * (1.0 - MAX_LENT_RATIO) + 1e-9, "as much is held back after a start");
            }
            let (budgets, leases) = lending.remembered();
            prop_assert!(budgets <= 1 && leases <= 2 * MAX_BORROWERS * 64, "{leases}");
        }
        // Once nobody requests anything and the budget is gone, nothing is remembered.
        lending.update(now + 0.3, &[], &[]);
        lending.update(now + LENDER_TERM_S + 0.6, &[], &[]);
        prop_assert_eq!(lending.remembered(), (0, 0));
    }
}

/// Guards against leases that expire although they are still wanted, against leases that are never withdrawn, and
/// against a lender that repeats the same announcement in every update.
#[test]
fn a_lease_is_renewed_before_it_expires_and_withdrawn_when_no_longer_requested() {
    let mut lending = Lending::new(0.0, 0.75);
    let idle = [Demand { budget: BUDGET, part: 0.2, wanted: 0.05, overdrawn: false }];
    let request =
        BudgetRequest { member: MemberId(1), life: Incarnation::default(), budget: BUDGET, part: 500_000 };
    let mut announced = Vec::new();
    for n in 0..40 {
        let now = 4.0 + 0.25 * f64::from(n);
        announced.extend(
            lending.update(now, &idle, &[request]).into_iter().map(|announcement| (now, announcement)),
        );
    }
    let leases: Vec<f64> = announced
        .iter()
        .filter(|(_, t)| matches!(t, Announcement::Lease(_, MemberId(1), Some(l)) if l.part == 150_000))
        .map(|s| s.0)
        .collect();
    assert_eq!((leases.len(), announced.len()), (10, 10), "{announced:?}");
    assert!(leases.windows(2).all(|pair| pair[1] - pair[0] <= LEASE_TERM_S / 2.0));
    assert_eq!(lending.update(20.0, &idle, &[]), [Announcement::Lease(BUDGET, MemberId(1), None)]);
    assert!(lending.own_part(20.0, BUDGET, 0.2) > 0.19, "all leases had expired");
    let eager = [Demand { wanted: 0.6, ..idle[0] }];
    let announced = lending.update(21.0, &eager, &[request]);
    assert!(
        matches!(announced[..], [Announcement::Request(BUDGET, Some(399_999..=400_001))]),
        "{announced:?}"
    );
}

/// Budgets beyond the limit keep their even parts.
#[test]
fn budgets_and_leases_that_a_lender_remembers_stay_within_their_limits() {
    let mut lending = Lending::new(0.0, 0.9);
    let all: Vec<Demand> = (0..2 * MAX_BUDGETS as u64)
        .map(|n| Demand { budget: BudgetKey(n), part: 0.5, wanted: 0.0, overdrawn: false })
        .collect();
    let wants: Vec<BudgetRequest> = (0..100u64)
        .flat_map(|m| {
            let request = move |d: &Demand| BudgetRequest {
                member: MemberId(m),
                life: Incarnation::default(),
                budget: d.budget,
                part: 900,
            };
            all.iter().map(request).collect::<Vec<BudgetRequest>>()
        })
        .collect();
    (0..40).for_each(|n| drop(lending.update(5.0 + 0.3 * f64::from(n), &all, &wants)));
    let (budgets, leases) = lending.remembered();
    assert!(budgets <= MAX_BUDGETS && leases <= MAX_BUDGETS * 2 * MAX_BORROWERS * 8, "{budgets} {leases}");
    assert_eq!(lending.own_part(30.0, BudgetKey(2 * MAX_BUDGETS as u64 - 1), 0.5), 0.5);
}
