//! How many leaves a relay may have, as what it takes goes up and down.

use hollypaddle_relay::leaf_limit::LeafLimit;

/// Seconds in which the limit falls to a new target, and between two steps.
const FALLS: f64 = 60.0;
const STEP: f64 = 0.2;

fn pass(share: &mut LeafLimit, from: f64, seconds: f64, takes: impl Fn(usize) -> usize) -> f64 {
    let steps = (seconds / STEP).round() as usize;
    (1..=steps).for_each(|n| share.step_towards(from + n as f64 * STEP, takes(n), FALLS, STEP));
    from + steps as f64 * STEP
}

#[test]
fn it_rises_at_once_and_falls_evenly() {
    let mut share = LeafLimit::new(0.0, 32);
    share.raise_to(100);
    assert_eq!(share.limit(), 100);
    let now = pass(&mut share, 0.0, FALLS / 2.0, |_| 40);
    assert!((69..=71).contains(&share.limit()), "{}", share.limit());
    let now = pass(&mut share, now, FALLS / 2.0 + 1.0, |_| 40);
    assert_eq!(share.limit(), 40);
    pass(&mut share, now, STEP, |_| 90);
    assert_eq!(share.limit(), 90);
}

#[test]
fn a_pause_counts_for_one_step() {
    let mut share = LeafLimit::new(0.0, 100);
    pass(&mut share, 0.0, STEP, |_| 40);
    let before = share.limit();
    share.step_towards(500.0, 40, FALLS, STEP);
    assert!(before - share.limit() <= 1, "{before} to {}", share.limit());
}

#[test]
fn a_target_that_goes_up_and_down_a_little_puts_nothing_off() {
    let mut share = LeafLimit::new(0.0, 100);
    pass(&mut share, 0.0, FALLS + 1.0, |n| 40 + n % 2);
    assert!(share.limit() <= 41, "{}", share.limit());
}
