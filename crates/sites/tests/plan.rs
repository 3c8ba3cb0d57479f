//! Checks where the plan sends the load of a lost site.

use hollypaddle_sites::plan::*;
use proptest::prelude::*;

fn site() -> impl Strategy<Value = SiteLoad> {
    (0.0f64..100.0, 0.0f64..150.0, prop::bool::weighted(0.2)).prop_map(|(capacity, carries, lost)| SiteLoad {
        capacity_per_s: capacity,
        load_per_s: carries,
        lost,
    })
}

proptest! {
    #[test]
    fn shares_sum_to_at_most_one_and_overload_no_survivor(
        sites in prop::collection::vec(site(), 1..7),
        delays_s in prop::collection::vec(0.0f64..0.2, 7),
        goal_s in 0.05f64..3.0,
        draw in 0.0f64..1.0,
    ) {
        let settings = Settings::default();
        for from in 0..sites.len() {
            let shares = shares(from, &sites, &delays_s, goal_s, &settings);
            prop_assert_eq!(shares.0.len(), sites.len());
            prop_assert!(shares.placed() <= 1.0 + 1e-9);
            let load = sites[from].load_per_s;
            let within_goal = |to: usize| 2.0 * delays_s[to] < goal_s * settings.max_crossing_ratio;
            let spare_capacity = |to: usize| match to != from && !sites[to].lost && within_goal(to) {
                true => (sites[to].capacity_per_s * settings.max_utilization_ratio - sites[to].load_per_s).max(0.0),
                false => 0.0,
            };
            for (to, share) in shares.0.iter().enumerate() {
                prop_assert!(*share >= 0.0 && share.is_finite());
                prop_assert!(to != from && !sites[to].lost || *share == 0.0, "load goes to the lost site itself or to another lost site");
                if load > 0.0 {
                    prop_assert!(share * load <= spare_capacity(to) + 1e-6, "{share} of {load} into {}", spare_capacity(to));
                }
            }
            // No load is refused while there is capacity that the goal allows.
            let all: f64 = (0..sites.len()).map(spare_capacity).sum();
            if load > 0.0 {
                prop_assert!((shares.placed() - (all / load).min(1.0)).abs() < 1e-6, "{shares:?}, spare capacity {all}");
                prop_assert!(shares.placed() <= max_placed_ratio(from, &sites) + 1e-6);
            }
            match shares.target(draw) {
                Some(to) => prop_assert!(shares.0[to] > 0.0),
                None => prop_assert!(draw >= shares.placed() - 1e-9),
            }
            let even = even(from, &sites);
            prop_assert!(even.placed() <= 1.0 + 1e-9 && even.0[from] == 0.0);
        }
    }
}

#[test]
fn near_site_is_preferred_and_its_excess_load_goes_to_the_others() {
    let site = |carries| SiteLoad { capacity_per_s: 50.0, load_per_s: carries, lost: false };
    let delays_s = [0.0005, 0.012, 0.024];
    let of = |sites: &[SiteLoad], goal_s| shares(0, sites, &delays_s, goal_s, &Settings::default()).0;
    let idle = of(&[site(20.0), site(10.0), site(10.0)], 0.4);
    assert!(idle[1] > 1.3 * idle[2] && (idle[1] + idle[2] - 1.0).abs() < 1e-9, "{idle:?}");
    // With a long goal the delay hardly matters.
    let long = of(&[site(20.0), site(10.0), site(10.0)], 3.0);
    assert!((long[1] - long[2]).abs() < 0.03, "{long:?}");
    // At 90% there is capacity for a tenth of the load: the rest is refused, and no survivor is overloaded.
    let full = of(&[site(45.0), site(45.0), site(45.0)], 1.5);
    assert!((full[1] * 45.0 - 2.5).abs() < 1e-6 && (full[2] * 45.0 - 2.5).abs() < 1e-6, "{full:?}");
    // The second site is lost too, while it carries some of the load of the first one.
    let mut two = [SiteLoad { lost: true, ..site(20.0) }, SiteLoad { lost: true, ..site(30.0) }, site(15.0)];
    let second = shares(1, &two, &[0.012, 0.0005, 0.018], 1.5, &Settings::default()).0;
    assert_eq!(second[0], 0.0);
    assert!((second[2] - 1.0).abs() < 1e-9, "{second:?}");
    two[2].lost = true;
    assert_eq!(shares(1, &two, &delays_s, 1.5, &Settings::default()).placed(), 0.0, "no survivor is left");
}
