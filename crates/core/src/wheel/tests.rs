//! The wheel compared with a list of timers.

use super::TimerWheel;
use proptest::prelude::*;

proptest! {
    /// Compared with a list of timers: each timer is due once, never early, and at most one tick late.
    #[test]
    fn each_timer_is_due_once_and_at_most_one_tick_late(
        steps in prop::collection::vec((0.0..4000.0f64, 0.0..900.0f64), 1..60),
    ) {
        let (mut wheel, mut now, mut model) = (TimerWheel::new(0.0, 0.5), 0.0, Vec::new());
        for (n, (after, pass)) in steps.into_iter().enumerate() {
            wheel.schedule(now + after, n);
            model.push((now + after, n));
            now += pass;
            let due = wheel.advance(now);
            for n in &due {
                let at = model.iter().find(|m| m.1 == *n).map(|m| m.0);
                prop_assert!(at.is_some_and(|at| at <= now + 0.5), "timer {n} was early or due twice");
                model.retain(|m| m.1 != *n);
            }
            // A timer that is scheduled for the current tick is due at the next one.
            prop_assert!(model.iter().all(|m| m.0 > now - 0.5 || pass < 0.5), "a timer is overdue");
            let next = model.iter().map(|m| m.0).fold(f64::MAX, f64::min);
            prop_assert!(wheel.time_to_next(now).map_or(next == f64::MAX, |wait| now + wait <= next.max(now) + 0.5));
        }
    }
}

/// Guards against timers that stay until they are due although nobody needs them, and against the removal of others.
#[test]
fn timers_that_are_not_needed_are_removed_and_the_others_stay() {
    let mut wheel = TimerWheel::new(0.0, 0.5);
    (0..1000).for_each(|n| wheel.schedule(f64::from(n), n));
    wheel.retain(|n| n % 100 == 0);
    assert_eq!((wheel.len(), wheel.is_empty()), (10, false));
    assert_eq!(wheel.time_to_next(0.0), Some(0.5));
    assert_eq!(wheel.advance(150.0), [0, 100]);
    assert_eq!(wheel.advance(2000.0), [200, 300, 400, 500, 600, 700, 800, 900]);
    assert!(wheel.is_empty());
}
