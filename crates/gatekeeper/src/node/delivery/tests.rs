use super::*;

/// Three items that end at 10, 20 and 30 bytes and are worth sending again until 10 s.
fn sent() -> Pending<u64> {
    let mut pending = Pending::default();
    for item in 1..=3 {
        pending.sent(1.0, item, 10 * item, 10 * item, 10.0);
    }
    pending
}

/// What is unread, and how many are unconfirmed, with so many bytes written.
fn close(mut pending: Pending<u64>, now: f64, closed: Closed, written: u64) -> (Vec<u64>, u64) {
    let outcome = pending.close(now, closed, written);
    (outcome.unread, outcome.unconfirmed)
}

/// Guards against something sent twice that was written before the last message, and that may have been read.
#[test]
fn after_a_reset_the_last_message_is_unread() {
    assert!(sent().awaits_evidence(4.0, 30));
    assert_eq!(close(sent(), 4.0, Closed::Reset, 30), (vec![3], 2));
    assert!(!sent().awaits_evidence(4.0, 40));
    assert_eq!(close(sent(), 4.0, Closed::Reset, 40), (vec![], 3));
}

/// Guards against something lost in our own buffer, however its connection ended.
#[test]
fn what_was_never_written_is_unread() {
    assert_eq!(close(sent(), 4.0, Closed::InOrder, 15), (vec![2, 3], 0));
    assert_eq!(close(sent(), 4.0, Closed::Reset, 15), (vec![2, 3], 1));
    let mut pending = Pending::default();
    let all: Vec<u64> = (0..2 * MAX_PENDING as u64).collect();
    all.iter().for_each(|item| pending.sent(1.0, *item, item + 1, 0, 10.0));
    assert_eq!(close(pending, 4.0, Closed::InOrder, 0), (all, 0));
}

/// Guards against something sent again after it was read, as its peer said or as it closed in order.
#[test]
fn what_was_confirmed_is_not_unread() {
    assert_eq!(close(sent(), 4.0, Closed::InOrder, 30), (vec![], 0));
    assert_eq!(close(sent(), 4.0, Closed::Unknown, 30), (vec![], 3));
    let mut pending = sent();
    pending.confirm(|item| *item == 3);
    assert!(!pending.awaits_evidence(4.0, 30));
    assert_eq!(close(pending, 4.0, Closed::Reset, 30), (vec![], 0));
}

/// Guards against something sent again once it is too late, and against memory that grows with each connection.
#[test]
fn what_is_too_late_or_too_much_is_forgotten() {
    assert_eq!(close(sent(), 10.1, Closed::Reset, 30), (vec![], 0));
    let mut pending = Pending::default();
    for item in 0..=MAX_PENDING as u64 {
        pending.sent(1.0, item, item + 1, item + 1, 10.0);
    }
    assert_eq!(close(pending, 2.0, Closed::Reset, 1000).1, MAX_PENDING as u64);
}

/// Guards against something lost that may be sent twice, and against something sent again that must not be.
#[test]
fn what_was_not_confirmed_nor_forgotten_can_be_taken_whole() {
    assert_eq!(sent().take_unconfirmed(4.0), [1, 2, 3]);
    assert!(sent().take_unconfirmed(10.1).is_empty());
    let mut pending = sent();
    pending.confirm_through(19);
    pending.forget(|item| *item == 3);
    assert_eq!(pending.take_unconfirmed(4.0), [2]);
}
