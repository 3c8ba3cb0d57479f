use super::*;

#[test]
fn turning_lameduck_on_twice_or_off_while_it_is_off_changes_nothing() {
    let mut lifecycle = Lifecycle::new(0.0);
    assert!(lifecycle.ready());
    assert!(!lifecycle.lameduck_off(1.0));
    assert!(lifecycle.ready());
    assert!(lifecycle.lameduck_on(2.0));
    assert!(!lifecycle.lameduck_on(3.0));
    assert_eq!(lifecycle.since(), 2.0);
    assert!(!lifecycle.ready());
    assert!(lifecycle.lameduck_off(4.0));
    assert!(lifecycle.ready());
    assert_eq!(lifecycle.changes, 2);
}

#[test]
fn connections_are_accepted_for_half_a_second_into_a_drain_and_again_after_it() {
    let mut lifecycle = Lifecycle::new(0.0);
    assert!(lifecycle.accepts_connections(0.0));
    lifecycle.lameduck_on(5.0);
    assert!(lifecycle.accepts_connections(5.0 + ACCEPT_AFTER_DRAIN_START_S - 0.01));
    assert!(!lifecycle.accepts_connections(5.0 + ACCEPT_AFTER_DRAIN_START_S));
    lifecycle.lameduck_off(9.0);
    assert!(lifecycle.accepts_connections(9.0));
}

#[test]
fn a_stopping_gatekeeper_is_never_ready_again() {
    let mut lifecycle = Lifecycle::new(0.0);
    lifecycle.lameduck_on(1.0);
    assert!(lifecycle.stop(2.0));
    assert!(!lifecycle.lameduck_off(3.0));
    assert!(!lifecycle.ready());
    assert_eq!(lifecycle.phase(), Phase::Stopping);
}

#[test]
fn the_start_of_a_drain_is_known_only_between_lameduck_on_and_off() {
    let mut lifecycle = Lifecycle::new(0.0);
    assert_eq!(lifecycle.drained_since(), None);
    lifecycle.lameduck_on(10.0);
    assert_eq!(lifecycle.drained_since(), Some(10.0));
    lifecycle.lameduck_off(14.0);
    assert_eq!(lifecycle.drained_since(), None);
}
