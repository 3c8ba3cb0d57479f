//! A sum grows as its parts do.

use super::*;

const RUN: [f64; 6] = [2.0, 4.0, 8.0, 16.0, 32.0, 64.0];

fn points(of: impl Fn(f64) -> f64) -> Vec<(f64, f64)> {
    RUN.iter().map(|n| (*n, of(*n))).collect()
}

/// A part that is small in what was run is the most of it further on; one form through all hides it.
#[test]
fn the_slope_of_a_sum_is_the_sum_of_its_parts_slopes() {
    let (steep, flat) = (|n: f64| 2.0 * n * n, |n: f64| 5.0 + 300.0 * n);
    let sum = |n: f64| steep(n) + flat(n);
    let parts = [fit(&points(steep)).unwrap(), fit(&points(flat)).unwrap()];
    let row = sum_row("bytes", 0.0, Some(8_000.0), &points(sum), &parts).unwrap();
    assert!(row.residual < 1e-6, "{}", row.residual);
    assert!((row.at_target - sum(TARGET)).abs() < 1.0, "{}", row.at_target);
    assert!((row.factor.unwrap() - sum(TARGET) / 8_000.0).abs() < 1e-3);
    // 7963 bytes at 23 members and 8357 at 24; of those that were run 32 are the first.
    assert_eq!((row.passed, row.passed_in_runs), (Some(24), Some(32)));
    assert_eq!((row.least, row.largest, row.sizes, row.coefficient), (2, 64, 6, None));
    let one = super::row("bytes", 0.0, None, &points(sum)).unwrap();
    assert!(one.residual > 0.01 && one.at_target < 0.9 * row.at_target, "{}", one.at_target);
}

/// A sum that is more than its parts shows in what is left over.
#[test]
fn a_sum_that_lacks_a_part_leaves_much_over() {
    let parts = [fit(&points(|n| 300.0 * n)).unwrap()];
    let row = sum_row("bytes", 0.0, None, &points(|n| 300.0 * n + 8.0 * n * n), &parts).unwrap();
    assert!(row.residual > RESIDUAL, "{}", row.residual);
    assert_eq!((row.factor, row.passed, row.passed_in_runs), (None, None, None));
}
