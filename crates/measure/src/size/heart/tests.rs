use rand_chacha::rand_core::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::{quantile, sums};

#[test]
fn a_quantile_is_one_of_the_values_and_none_of_none() {
    let mut hundred: Vec<f64> = (1..=100).rev().map(f64::from).collect();
    assert_eq!([0.0, 0.5, 0.99, 1.0].map(|part| quantile(&mut hundred, part)), [1.0, 50.0, 99.0, 100.0]);
    assert!(quantile(&mut [], 0.99).is_nan());
}

#[test]
fn the_p99_of_a_chain_is_less_than_its_depth_times_the_p99_of_one() {
    // One in a hundred and more takes ten times as long.
    let values: Vec<f64> = (0..1000).map(|n| if n < 15 { 10.0 } else { 1.0 }).collect();
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    assert_eq!(sums(&values, 1, &mut rng), [1.0, 10.0]);
    let [p50, p99] = sums(&values, 11, &mut rng);
    assert_eq!(p50, 11.0);
    // One or two slow ones of eleven: one chain in a hundred has two.
    assert!(p99 == 20.0 || p99 == 29.0, "{p99}");
}
