//! The end of an established call reaches a caller, also if the connection that it is written to closes at the same
//! time.

use std::net::Shutdown;

use super::*;

/// Connects a second caller and establishes call 1 for it. The test bed's own caller has call 9, so that it can
/// receive the end if the second caller does not.
pub(super) fn connect_caller_with_call(bed: &mut TestBed) -> Peer {
    bed.establish_call(9);
    connect_caller_with_call_id(bed, 1)
}

/// Connects one more caller and establishes this call for it.
pub(super) fn connect_caller_with_call_id(bed: &mut TestBed, id: u64) -> Peer {
    let mut leaving = bed.connect_caller();
    leaving.send(&set_up(id, 3000)).unwrap();
    bed.expect_at_server(id, kind::SET_UP);
    bed.send_from_all_servers(&answer(id));
    let mut received = Vec::new();
    bed.run_until("the call to be established", |_| {
        leaving.read(&mut received).is_err() || !received.is_empty()
    });
    assert_eq!(received.first().map(|m| m.kind), Some(kind::ANSWER));
    // The poller reports first what was ready the last time; after idle iterations it reports in order of arrival.
    (0..2).for_each(|_| bed.run_iteration());
    leaving
}

/// Number of releases of the call that the test bed's caller received.
pub(super) fn ends_received(bed: &TestBed, id: u64) -> usize {
    bed.caller_received.iter().filter(|m| m.call == id && m.kind == kind::RELEASE).count()
}

/// Connects a caller whose call the server has answered and that has not read the answer.
pub(super) fn connect_caller_with_unread_answer(bed: &mut TestBed, id: u64) -> Peer {
    bed.establish_call(9);
    let mut leaving = bed.connect_caller();
    leaving.send(&set_up(id, 3000)).unwrap();
    bed.expect_at_server(id, kind::SET_UP);
    bed.send_from_all_servers(&answer(id));
    (0..2).for_each(|_| bed.run_iteration());
    leaving
}

/// Asserts that the test bed's caller received exactly one release of the call, with the cause of the end, and no
/// answer.
pub(super) fn assert_end_received_once(bed: &TestBed, id: u64) {
    let of_call: Vec<_> =
        bed.caller_received.iter().filter(|m| m.call == id).map(|m| (m.kind, m.cause())).collect();
    assert_eq!(of_call, [(kind::RELEASE, Some(cause::NORMAL))]);
}

/// Guards against the loss of an end, or a second copy of it, if the caller closes after the reads and before the
/// writes of an iteration.
#[test]
fn an_end_written_as_its_caller_closes_is_sent_once_on_another_connection() {
    let mut bed = TestBed::new(1);
    let leaving = connect_caller_with_call(&mut bed);
    bed.send_from_all_servers(&release(1, cause::NORMAL));
    bed.gatekeeper.before_writing = Some(Box::new(move || drop(leaving)));
    bed.run_for(1.0);
    assert_eq!(ends_received(&bed, 1), 1, "{:?}", bed.caller_received);
}

/// Guards against the loss of an end written to a connection that is half-closed at the same time and reset a little
/// later, as happens over a network.
#[test]
fn an_end_whose_connection_is_reset_after_its_half_close_is_sent_on_another_connection() {
    let mut bed = TestBed::new(1);
    let leaving = connect_caller_with_call(&mut bed);
    let closing = leaving.stream().try_clone().unwrap();
    bed.send_from_all_servers(&release(1, cause::NORMAL));
    bed.gatekeeper.after_next_poll(move || closing.shutdown(Shutdown::Write).unwrap());
    (0..2).for_each(|_| bed.run_iteration());
    assert_eq!(ends_received(&bed, 1), 0);
    drop(leaving);
    bed.run_for(1.0);
    assert_end_received_once(&bed, 1);
}

/// Guards against an end sent twice, or not at all, whose connection is found half-closed before the write.
#[test]
fn an_end_whose_connection_is_found_half_closed_is_sent_once_on_another_connection() {
    let mut bed = TestBed::new(1);
    let leaving = connect_caller_with_call(&mut bed);
    let closing = leaving.stream().try_clone().unwrap();
    bed.send_from_all_servers(&release(1, cause::NORMAL));
    bed.gatekeeper.before_writing = Some(Box::new(move || closing.shutdown(Shutdown::Write).unwrap()));
    (0..2).for_each(|_| bed.run_iteration());
    assert_end_received_once(&bed, 1);
    drop(leaving);
    bed.run_for(1.0);
    assert_end_received_once(&bed, 1);
}

/// Guards against the loss of an end whose caller closes without reading it, which resets the connection.
#[test]
fn an_end_left_unread_as_its_caller_closes_is_sent_on_another_connection() {
    let mut bed = TestBed::new(1);
    let leaving = connect_caller_with_call(&mut bed);
    bed.send_from_all_servers(&release(1, cause::NORMAL));
    (0..2).for_each(|_| bed.run_iteration());
    assert_eq!(ends_received(&bed, 1), 0);
    drop(leaving);
    bed.run_for(1.0);
    assert_eq!(ends_received(&bed, 1), 1, "{:?}", bed.caller_received);
}

/// Guards against the loss of an end if no other connected caller has ever had a call: the end is kept for a short
/// time and then sent to any caller.
#[test]
fn an_end_whose_caller_was_the_last_one_waits_for_the_next_caller() {
    let mut bed = TestBed::new(1);
    let leaving = connect_caller_with_call(&mut bed);
    bed.caller = bed.connect_caller();
    (0..2).for_each(|_| bed.run_iteration());
    bed.send_from_all_servers(&release(1, cause::NORMAL));
    bed.gatekeeper.before_writing = Some(Box::new(move || drop(leaving)));
    bed.run_for(1.0);
    assert_eq!(ends_received(&bed, 1), 1, "{:?}", bed.caller_received);
}

/// Guards against a second copy of an end that its caller read before it closed.
#[test]
fn an_end_that_was_read_is_not_sent_again() {
    let mut bed = TestBed::new(1);
    let mut leaving = connect_caller_with_call(&mut bed);
    bed.send_from_all_servers(&release(1, cause::NORMAL));
    let mut received = Vec::new();
    bed.run_until("the end", |_| leaving.read(&mut received).is_err() || !received.is_empty());
    assert_eq!(received.first().map(|m| (m.call, m.kind)), Some((1, kind::RELEASE)));
    drop(leaving);
    bed.run_for(1.0);
    assert_eq!(ends_received(&bed, 1), 0, "{:?}", bed.caller_received);
}

/// Guards against a wrong choice of ends to send again: of two ends the first is read and the second is not, so only
/// the second is sent on another connection.
#[test]
fn an_end_read_before_an_unread_one_is_not_sent_again() {
    let mut bed = TestBed::new(1);
    let mut leaving = connect_caller_with_call(&mut bed);
    leaving.send(&set_up(2, 3000)).unwrap();
    bed.expect_at_server(2, kind::SET_UP);
    bed.send_from_all_servers(&answer(2));
    (0..2).for_each(|_| bed.run_iteration());
    bed.send_from_all_servers(&release(1, cause::NORMAL));
    let mut received = Vec::new();
    let is_end = |m: &Message| (m.call, m.kind) == (1, kind::RELEASE);
    bed.run_until("the first end", |_| leaving.read(&mut received).is_err() || received.iter().any(is_end));
    bed.send_from_all_servers(&release(2, cause::NORMAL));
    (0..2).for_each(|_| bed.run_iteration());
    drop(leaving);
    bed.run_for(1.0);
    assert_eq!((ends_received(&bed, 1), ends_received(&bed, 2)), (0, 1), "{:?}", bed.caller_received);
}

/// Guards against the loss of an end because the answer before it was not read either: the end still has to be sent,
/// once.
#[test]
fn an_end_left_unread_behind_its_answer_is_sent_once_on_another_connection() {
    let mut bed = TestBed::new(1);
    let leaving = connect_caller_with_unread_answer(&mut bed, 1);
    bed.send_from_all_servers(&release(1, cause::NORMAL));
    (0..2).for_each(|_| bed.run_iteration());
    drop(leaving);
    bed.run_for(1.0);
    assert_end_received_once(&bed, 1);
}

/// Guards against the loss of an end whose answer was left unread, if the end arrives after its caller has
/// disconnected.
#[test]
fn an_end_that_arrives_after_its_answer_was_left_unread_is_sent_on_another_connection() {
    let mut bed = TestBed::new(1);
    let leaving = connect_caller_with_unread_answer(&mut bed, 1);
    drop(leaving);
    (0..2).for_each(|_| bed.run_iteration());
    bed.send_from_all_servers(&release(1, cause::NORMAL));
    bed.run_for(1.0);
    assert_end_received_once(&bed, 1);
}

/// Guards against the loss of an end whose caller closes between the check of its connection and the write.
#[test]
fn an_end_whose_caller_closes_between_the_check_and_the_write_is_sent_on_another_connection() {
    let mut bed = TestBed::new(1);
    let leaving = connect_caller_with_call(&mut bed);
    bed.send_from_all_servers(&release(1, cause::NORMAL));
    bed.gatekeeper.after_next_poll(move || drop(leaving));
    bed.run_for(1.0);
    assert_eq!(ends_received(&bed, 1), 1, "{:?}", bed.caller_received);
}

/// Guards against an end sent on a connection that closes in the same iteration as the caller's own one.
#[test]
fn an_end_is_sent_on_a_connection_that_is_still_open() {
    let mut bed = TestBed::new(1);
    let leaving = connect_caller_with_call(&mut bed);
    let newest = connect_caller_with_call_id(&mut bed, 2);
    bed.send_from_all_servers(&release(1, cause::NORMAL));
    bed.gatekeeper.before_writing = Some(Box::new(move || drop((leaving, newest))));
    bed.run_for(1.0);
    assert_eq!(ends_received(&bed, 1), 1, "{:?}", bed.caller_received);
}

/// Guards against a call that stands without a caller: its answer is written to a connection that its caller is
/// closing.
#[test]
fn an_answer_written_as_its_caller_closes_releases_the_call() {
    let mut bed = TestBed::new(1);
    bed.establish_call(9);
    let mut leaving = bed.connect_caller();
    leaving.send(&set_up(1, 3000)).unwrap();
    bed.expect_at_server(1, kind::SET_UP);
    bed.send_from_all_servers(&answer(1));
    bed.gatekeeper.before_writing = Some(Box::new(move || drop(leaving)));
    bed.expect_at_server(1, kind::RELEASE);
    bed.send_from_all_servers(&release(1, cause::NORMAL));
    bed.run_for(1.0);
    assert_eq!(ends_received(&bed, 1), 0, "{:?}", bed.caller_received);
}

/// Guards against an answer to a caller that cancelled between the reads and the writes of an iteration.
#[test]
fn an_answer_that_crosses_a_cancel_is_released_and_not_sent_to_the_caller() {
    let mut bed = TestBed::new(1);
    bed.establish_call(9);
    bed.caller.send(&set_up(1, 3000)).unwrap();
    bed.expect_at_server(1, kind::SET_UP);
    bed.send_from_all_servers(&answer(1));
    let cancelling = bed.caller.stream().try_clone().unwrap();
    bed.gatekeeper.before_writing = Some(Box::new(move || {
        let mut bytes = Vec::new();
        release(1, cause::NORMAL).encode(&mut bytes);
        (&cancelling).write_all(&bytes).unwrap();
    }));
    bed.expect_at_server(1, kind::RELEASE);
    assert!(bed.caller_received.iter().all(|m| m.call != 1), "{:?}", bed.caller_received);
}

/// Guards against the loss of an end whose caller left the answer unread and shuts its connection down in both
/// directions: a reset follows the close.
#[test]
fn an_end_left_unread_behind_its_answer_by_a_caller_that_shuts_down_is_sent_on_another_connection() {
    let mut bed = TestBed::new(1);
    let leaving = connect_caller_with_unread_answer(&mut bed, 1);
    let closing = leaving.stream().try_clone().unwrap();
    bed.send_from_all_servers(&release(1, cause::NORMAL));
    bed.gatekeeper.after_next_poll(move || closing.shutdown(Shutdown::Both).unwrap());
    (0..2).for_each(|_| bed.run_iteration());
    drop(leaving);
    bed.run_for(1.0);
    assert_end_received_once(&bed, 1);
}

/// Guards against an end sent to a caller that made a single set-up and may never read, while another one makes
/// further set-ups and reads.
#[test]
fn an_end_whose_connection_has_closed_is_sent_to_a_caller_with_several_set_ups() {
    let mut bed = TestBed::new(1);
    bed.establish_call(8);
    let leaving = connect_caller_with_call(&mut bed);
    let single_call_caller = connect_caller_with_call_id(&mut bed, 2);
    drop(leaving);
    bed.run_for(0.3);
    bed.send_from_all_servers(&release(1, cause::NORMAL));
    (0..5).for_each(|_| bed.run_iteration());
    assert_end_received_once(&bed, 1);
    drop(single_call_caller);
}
