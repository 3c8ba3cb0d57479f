//! Tests how many leaves a relay may have while the number that it accepts goes up and down.

use hollypaddle_relay::leaf_limit::LeafLimit;

/// Seconds in which the limit falls to a new target.
const FALL_S: f64 = 60.0;
/// Seconds between two steps.
const STEP_S: f64 = 0.2;

fn pass(limit: &mut LeafLimit, from: f64, seconds: f64, accepted: impl Fn(usize) -> usize) -> f64 {
    let steps = (seconds / STEP_S).round() as usize;
    (1..=steps).for_each(|n| limit.step_towards(from + n as f64 * STEP_S, accepted(n), FALL_S, STEP_S));
    from + steps as f64 * STEP_S
}

#[test]
fn leaf_limit_rises_at_once_and_falls_evenly() {
    let mut limit = LeafLimit::new(0.0, 32);
    limit.raise_to(100);
    assert_eq!(limit.limit(), 100);
    let now = pass(&mut limit, 0.0, FALL_S / 2.0, |_| 40);
    assert!((69..=71).contains(&limit.limit()), "{}", limit.limit());
    let now = pass(&mut limit, now, FALL_S / 2.0 + 1.0, |_| 40);
    assert_eq!(limit.limit(), 40);
    pass(&mut limit, now, STEP_S, |_| 90);
    assert_eq!(limit.limit(), 90);
}

#[test]
fn leaf_limit_falls_by_one_step_at_most_after_a_pause() {
    let mut limit = LeafLimit::new(0.0, 100);
    pass(&mut limit, 0.0, STEP_S, |_| 40);
    let before = limit.limit();
    limit.step_towards(500.0, 40, FALL_S, STEP_S);
    assert!(before - limit.limit() <= 1, "{before} to {}", limit.limit());
}

#[test]
fn leaf_limit_reaches_an_oscillating_target_in_time() {
    let mut limit = LeafLimit::new(0.0, 100);
    pass(&mut limit, 0.0, FALL_S + 1.0, |n| 40 + n % 2);
    assert!(limit.limit() <= 41, "{}", limit.limit());
}
