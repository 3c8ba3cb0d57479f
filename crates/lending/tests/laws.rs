//! What a lender promises, against a model that remembers every lease that was ever told.

use hollypaddle_lending::*;
use hollypaddle_membership::{Incarnation, MemberId};
use proptest::prelude::*;

const BUDGET: BudgetKey = BudgetKey(7);

/// One look: how long after the last, what the own traffic asks, whether the budget is overdrawn, and what each of
/// some others wants, in which life.
type Step = (f64, f64, bool, Vec<(u64, u64, u32)>);

fn step() -> impl Strategy<Value = Step> {
    let wants = prop::collection::vec((0u64..12, 0u64..2, 0u32..WHOLE_MILLIONTHS), 0..14);
    (0.05f64..2.0, 0.0f64..0.3, prop::bool::weighted(0.1), wants)
}

proptest! {
    /// At any moment what is left and all that borrowers may count come to the own part at most, and nothing is lent
    /// that an earlier life may have lent. Counted by a clock that is a fiftieth slower than the lender's.
    #[test]
    fn what_is_lent_is_gone_until_it_has_run_out(
        most in 0.0f64..1.0,
        part in 0.01f64..0.5,
        steps in prop::collection::vec(step(), 1..60),
    ) {
        let begun = 1000.0;
        let mut lending = Lending::new(begun, most);
        // To whom, in which life, until when, and how much: of one borrower the last word counts.
        let mut told: Vec<(MemberId, Incarnation, f64, u32)> = Vec::new();
        let mut now = begun;
        for (later, wanted, owes, wants) in steps {
            now += later;
            let life = |n: u64| Incarnation { number: n, nonce: 0 };
            let mut by: Vec<BudgetRequest> = wants
                .iter()
                .map(|(who, n, part)| BudgetRequest { member: MemberId(*who), life: life(*n), budget: BUDGET, part: *part })
                .collect();
            by.sort_by_key(|w| w.member);
            by.dedup_by_key(|w| w.member);
            let demand = Demand { budget: BUDGET, part, wanted, overdrawn: owes };
            for tell in lending.update(now, &[demand], &by) {
                if let Announcement::Lease(_, member, Some(lease)) = tell {
                    prop_assert!(now >= begun + LENDER_TERM_S, "an earlier life may have lent it");
                    prop_assert!(!owes && wanted < part, "it has nothing to spare");
                    told.push((member, lease.life, now + LEASE_TERM_S * 1.02, lease.part));
                }
            }
            // Whoever did not hear the last word still counts the one before.
            let mut counted: std::collections::BTreeMap<MemberId, u32> = Default::default();
            for (member, _, _, part) in told.iter().filter(|(.., until, _)| now < *until) {
                let most = counted.entry(*member).or_default();
                *most = (*most).max(*part);
            }
            let lives = |m: &MemberId| {
                let valid = told.iter().filter(|(who, _, until, _)| who == m && now < *until);
                valid.map(|t| t.1).collect::<std::collections::BTreeSet<Incarnation>>().len()
            };
            prop_assert!(counted.keys().all(|m| lives(m) == 1), "two lives of one would both count theirs");
            let out = f64::from(counted.values().sum::<u32>()) / f64::from(WHOLE_MILLIONTHS);
            let own = lending.own_part(now, BUDGET, part);
            prop_assert!(own >= 0.0 && own + out <= part + 1e-9, "{own} left, {out} lent of {part}");
            prop_assert!(out <= part * most.min(MAX_LENT_RATIO) + 1e-9);
            if now < begun + LENDER_TERM_S {
                prop_assert!(own <= part * (1.0 - MAX_LENT_RATIO) + 1e-9, "held back at a start");
            }
            let (budgets, leases) = lending.remembered();
            prop_assert!(budgets <= 1 && leases <= 2 * MAX_BORROWERS * 64, "{leases}");
        }
        // With nobody left who wants any, and the budget gone, nothing stays behind.
        lending.update(now + 0.3, &[], &[]);
        lending.update(now + LENDER_TERM_S + 0.6, &[], &[]);
        prop_assert_eq!(lending.remembered(), (0, 0));
    }
}

/// Guards against one who wants and is lent to, but hears of it for ever, and against a lender that says the same all the
/// time.
#[test]
fn a_lease_is_renewed_before_it_runs_out_and_withdrawn_when_it_is_wanted_no_more() {
    let mut lending = Lending::new(0.0, 0.75);
    let idle = [Demand { budget: BUDGET, part: 0.2, wanted: 0.05, overdrawn: false }];
    let want =
        BudgetRequest { member: MemberId(1), life: Incarnation::default(), budget: BUDGET, part: 500_000 };
    let mut said = Vec::new();
    for n in 0..40 {
        let now = 4.0 + 0.25 * f64::from(n);
        said.extend(lending.update(now, &idle, &[want]).into_iter().map(|tell| (now, tell)));
    }
    let leases: Vec<f64> = said
        .iter()
        .filter(|(_, t)| matches!(t, Announcement::Lease(_, MemberId(1), Some(l)) if l.part == 150_000))
        .map(|s| s.0)
        .collect();
    assert_eq!((leases.len(), said.len()), (10, 10), "{said:?}");
    assert!(leases.windows(2).all(|pair| pair[1] - pair[0] <= LEASE_TERM_S / 2.0));
    assert_eq!(lending.update(20.0, &idle, &[]), [Announcement::Lease(BUDGET, MemberId(1), None)]);
    assert!(lending.own_part(20.0, BUDGET, 0.2) > 0.19, "all had run out");
    let eager = [Demand { wanted: 0.6, ..idle[0] }];
    let told = lending.update(21.0, &eager, &[want]);
    assert!(matches!(told[..], [Announcement::Request(BUDGET, Some(399_999..=400_001))]), "{told:?}");
}

/// More budgets than are shared keep their even parts.
#[test]
fn what_is_remembered_is_bounded() {
    let mut lending = Lending::new(0.0, 0.9);
    let all: Vec<Demand> = (0..2 * MAX_BUDGETS as u64)
        .map(|n| Demand { budget: BudgetKey(n), part: 0.5, wanted: 0.0, overdrawn: false })
        .collect();
    let wants: Vec<BudgetRequest> = (0..100u64)
        .flat_map(|m| {
            let want = move |d: &Demand| BudgetRequest {
                member: MemberId(m),
                life: Incarnation::default(),
                budget: d.budget,
                part: 900,
            };
            all.iter().map(want).collect::<Vec<BudgetRequest>>()
        })
        .collect();
    (0..40).for_each(|n| drop(lending.update(5.0 + 0.3 * f64::from(n), &all, &wants)));
    let (budgets, leases) = lending.remembered();
    assert!(budgets <= MAX_BUDGETS && leases <= MAX_BUDGETS * 2 * MAX_BORROWERS * 8, "{budgets} {leases}");
    assert_eq!(lending.own_part(30.0, BudgetKey(2 * MAX_BUDGETS as u64 - 1), 0.5), 0.5);
}
