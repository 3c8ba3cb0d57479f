use super::*;

/// Three items that end at the offsets 10, 20 and 30 and expire at 10 s.
fn three_pending() -> Pending<u64> {
    let mut pending = Pending::default();
    for item in 1..=3 {
        pending.record_sent(1.0, item, 10 * item, 10 * item, 10.0);
    }
    pending
}

/// Returns the unread items and the number of unconfirmed ones, given the number of bytes written.
fn close(mut pending: Pending<u64>, now: f64, closed: CloseKind, written: u64) -> (Vec<u64>, u64) {
    let outcome = pending.close(now, closed, written);
    (outcome.unread, outcome.unconfirmed)
}

/// Guards against sending an item twice that was written before the last message and may have been read.
#[test]
fn after_a_reset_only_the_last_written_message_is_unread() {
    assert!(three_pending().reset_would_prove_unread(4.0, 30));
    assert_eq!(close(three_pending(), 4.0, CloseKind::Reset, 30), (vec![3], 2));
    assert!(!three_pending().reset_would_prove_unread(4.0, 40));
    assert_eq!(close(three_pending(), 4.0, CloseKind::Reset, 40), (vec![], 3));
}

/// Guards against losing items in the output buffer, however the connection closed.
#[test]
fn items_that_were_never_written_are_unread() {
    assert_eq!(close(three_pending(), 4.0, CloseKind::Graceful, 15), (vec![2, 3], 0));
    assert_eq!(close(three_pending(), 4.0, CloseKind::Reset, 15), (vec![2, 3], 1));
    let mut pending = Pending::default();
    let all: Vec<u64> = (0..2 * MAX_PENDING as u64).collect();
    all.iter().for_each(|item| pending.record_sent(1.0, *item, item + 1, 0, 10.0));
    assert_eq!(close(pending, 4.0, CloseKind::Graceful, 0), (all, 0));
}

/// Guards against sending an item again after the peer confirmed it or closed the connection gracefully.
#[test]
fn items_confirmed_or_gracefully_closed_are_not_unread() {
    assert_eq!(close(three_pending(), 4.0, CloseKind::Graceful, 30), (vec![], 0));
    assert_eq!(close(three_pending(), 4.0, CloseKind::Unknown, 30), (vec![], 3));
    let mut pending = three_pending();
    pending.confirm(|item| *item == 3);
    assert!(!pending.reset_would_prove_unread(4.0, 30));
    assert_eq!(close(pending, 4.0, CloseKind::Reset, 30), (vec![], 0));
}

/// Guards against sending expired items again, and against unbounded memory per connection.
#[test]
fn expired_and_excess_items_are_dropped() {
    assert_eq!(close(three_pending(), 10.1, CloseKind::Reset, 30), (vec![], 0));
    let mut pending = Pending::default();
    for item in 0..=MAX_PENDING as u64 {
        pending.record_sent(1.0, item, item + 1, item + 1, 10.0);
    }
    assert_eq!(close(pending, 2.0, CloseKind::Reset, 1000).1, MAX_PENDING as u64);
}

/// Guards against losing items that may be sent twice, and against sending confirmed or forgotten ones again.
#[test]
fn take_unconfirmed_returns_all_items_neither_confirmed_nor_forgotten() {
    assert_eq!(three_pending().take_unconfirmed(4.0), [1, 2, 3]);
    assert!(three_pending().take_unconfirmed(10.1).is_empty());
    let mut pending = three_pending();
    pending.confirm_through(19);
    pending.forget(|item| *item == 3);
    assert_eq!(pending.take_unconfirmed(4.0), [2]);
}
