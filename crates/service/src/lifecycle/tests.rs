use super::*;

#[test]
fn lameduck_twice_is_once_and_off_while_not_on_is_nothing() {
    let mut life = Lifecycle::new(0.0);
    assert!(life.ready());
    assert!(!life.lameduck_off(1.0));
    assert!(life.ready());
    assert!(life.lameduck_on(2.0));
    assert!(!life.lameduck_on(3.0));
    assert_eq!(life.since(), 2.0);
    assert!(!life.ready());
    assert!(life.lameduck_off(4.0));
    assert!(life.ready());
    assert_eq!(life.changes, 2);
}

#[test]
fn the_listener_stops_a_little_after_a_drain_and_listens_again_after_it() {
    let mut life = Lifecycle::new(0.0);
    assert!(life.accepts_connections(0.0));
    life.lameduck_on(5.0);
    assert!(life.accepts_connections(5.0 + ACCEPT_AFTER_DRAIN_START_S - 0.01));
    assert!(!life.accepts_connections(5.0 + ACCEPT_AFTER_DRAIN_START_S));
    life.lameduck_off(9.0);
    assert!(life.accepts_connections(9.0));
}

#[test]
fn a_stopping_gatekeeper_is_never_ready_again() {
    let mut life = Lifecycle::new(0.0);
    life.lameduck_on(1.0);
    assert!(life.stop(2.0));
    assert!(!life.lameduck_off(3.0));
    assert!(!life.ready());
    assert_eq!(life.phase(), Phase::Stopping);
}

#[test]
fn it_is_drained_between_on_and_off() {
    let mut life = Lifecycle::new(0.0);
    assert_eq!(life.drained_since(), None);
    life.lameduck_on(10.0);
    assert_eq!(life.drained_since(), Some(10.0));
    life.lameduck_off(14.0);
    assert_eq!(life.drained_since(), None);
}
