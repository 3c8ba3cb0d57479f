use std::time::{Duration, Instant};

use super::{RefusedCallers, MAX_CALLERS};

/// Guards against a time for each refused call that grows with the number of remembered callers, as under a flood of calls to ever
/// new numbers: while the memory was full, all entries were looked at for each call.
#[test]
fn callers_beyond_the_maximum_are_passed_over_without_a_look_at_the_others() {
    let mut refused = RefusedCallers::new();
    let began = Instant::now();
    for dialled in 1..2_000_000 {
        refused.insert(0.0, dialled, 0.0, 9.0);
    }
    assert_eq!(refused.len(), MAX_CALLERS);
    // A look at all entries for each of them is 8 billion looks.
    assert!(began.elapsed() < Duration::from_secs(10), "{:?}", began.elapsed());
}

/// Guards against a memory that stays full of expired entries, and against entries that are forgotten too early or too late.
#[test]
fn expired_callers_make_room_for_others_and_no_caller_is_remembered_beyond_its_time() {
    let mut refused = RefusedCallers::new();
    (1..=MAX_CALLERS as u64)
        .for_each(|dialled| refused.insert(0.0, dialled, 0.0, 1.0 + (dialled % 2) as f64));
    assert_eq!((refused.first_tried(0.9, 2), refused.first_tried(1.0, 2)), (Some(0.0), None));
    refused.insert(0.5, 10_000, 0.5, 9.0);
    assert_eq!(refused.first_tried(0.6, 10_000), None, "full, and nobody has expired");
    refused.insert(1.5, 10_001, 1.5, 9.0);
    assert_eq!((refused.first_tried(1.6, 10_001), refused.len()), (Some(1.5), MAX_CALLERS / 2 + 1));
    assert_eq!(refused.first_tried(1.6, 1), Some(0.0));
    refused.remove(1);
    assert_eq!(refused.first_tried(1.6, 1), None);
    (0..MAX_CALLERS as u64).for_each(|n| refused.insert(1.7, 20_000 + n, 1.7, 1.0));
    refused.insert(2.8, 30_000, 2.8, 1.0);
    assert_eq!((refused.first_tried(2.9, 30_000), refused.len()), (Some(2.8), 2));
}
