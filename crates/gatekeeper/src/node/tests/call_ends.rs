//! The end of a call that stood reaches a caller, also where the connection that it is written to goes in that moment.

use std::net::Shutdown;

use super::*;

/// A second caller whose call 1 stands, with the gatekeeper's own caller at hand for what it must hear otherwise.
pub(super) fn connect_caller_with_call(bed: &mut TestBed) -> Peer {
    bed.establish_call(9);
    connect_caller_with_call_id(bed, 1)
}

/// A further caller whose call stands.
pub(super) fn connect_caller_with_call_id(bed: &mut TestBed, id: u64) -> Peer {
    let mut leaving = bed.connect_caller();
    leaving.send(&set_up(id, 3000)).unwrap();
    bed.expect_at_server(id, kind::SET_UP);
    bed.send_from_all_servers(&answer(id));
    let mut received = Vec::new();
    bed.run_until("that the call stands", |_| leaving.read(&mut received).is_err() || !received.is_empty());
    assert_eq!(received.first().map(|m| m.kind), Some(kind::ANSWER));
    // The poller tells what was ready last time first; after turns without news, what comes first comes first.
    (0..2).for_each(|_| bed.run_iteration());
    leaving
}

pub(super) fn ends_received(bed: &TestBed, id: u64) -> usize {
    bed.caller_received.iter().filter(|m| m.call == id && m.kind == kind::RELEASE).count()
}

/// A caller whose call stands and who has not read its answer.
pub(super) fn connect_caller_with_unread_answer(bed: &mut TestBed, id: u64) -> Peer {
    bed.establish_call(9);
    let mut leaving = bed.connect_caller();
    leaving.send(&set_up(id, 3000)).unwrap();
    bed.expect_at_server(id, kind::SET_UP);
    bed.send_from_all_servers(&answer(id));
    (0..2).for_each(|_| bed.run_iteration());
    leaving
}

/// Exactly one release of the call came to another caller, with the end's cause, and no answer of it.
pub(super) fn assert_end_received_once(bed: &TestBed, id: u64) {
    let of_call: Vec<_> =
        bed.caller_received.iter().filter(|m| m.call == id).map(|m| (m.kind, m.cause())).collect();
    assert_eq!(of_call, [(kind::RELEASE, Some(cause::NORMAL))]);
}

/// The end comes, and the caller closes once all of the turn is read: another connection hears of it, once.
#[test]
fn an_end_written_as_its_caller_closes_is_told_on_another_connection() {
    let mut bed = TestBed::new(1);
    let leaving = connect_caller_with_call(&mut bed);
    bed.send_from_all_servers(&release(1, cause::NORMAL));
    bed.gatekeeper.before_writing = Some(Box::new(move || drop(leaving)));
    bed.run_for(1.0);
    assert_eq!(ends_received(&bed, 1), 1, "{:?}", bed.caller_received);
}

/// Guards against an end lost with a connection that is half-closed as it is written, and reset a little later, as over a network.
#[test]
fn an_end_whose_connection_is_reset_after_its_close_is_told_on_another_connection() {
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

/// Guards against an end told twice, or not at all, whose connection is found half-closed before it is written.
#[test]
fn an_end_whose_connection_is_found_half_closed_is_told_on_another_connection() {
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

/// The caller closes with the end unread: its connection is reset.
#[test]
fn an_end_left_unread_as_its_caller_closes_is_told_on_another_connection() {
    let mut bed = TestBed::new(1);
    let leaving = connect_caller_with_call(&mut bed);
    bed.send_from_all_servers(&release(1, cause::NORMAL));
    (0..2).for_each(|_| bed.run_iteration());
    assert_eq!(ends_received(&bed, 1), 0);
    drop(leaving);
    bed.run_for(1.0);
    assert_eq!(ends_received(&bed, 1), 1, "{:?}", bed.caller_received);
}

/// Nobody else is there who was told of a call: the end is kept for a moment and then told to whoever is.
#[test]
fn an_end_whose_caller_was_the_last_waits_for_the_next_one() {
    let mut bed = TestBed::new(1);
    let leaving = connect_caller_with_call(&mut bed);
    bed.caller = bed.connect_caller();
    (0..2).for_each(|_| bed.run_iteration());
    bed.send_from_all_servers(&release(1, cause::NORMAL));
    bed.gatekeeper.before_writing = Some(Box::new(move || drop(leaving)));
    bed.run_for(1.0);
    assert_eq!(ends_received(&bed, 1), 1, "{:?}", bed.caller_received);
}

/// A caller that reads the end and closes then has heard it: nobody else does.
#[test]
fn an_end_that_was_read_is_told_once() {
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

/// Of two ends the first is read and the second is not: the second is told elsewhere, the first is not told again.
#[test]
fn an_end_that_was_read_before_one_that_was_not_is_told_once() {
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

/// Guards against an end lost for the reason that the answer before it was not read either: it is owed all the same, once.
#[test]
fn an_end_left_unread_behind_its_answer_is_told_on_another_connection() {
    let mut bed = TestBed::new(1);
    let leaving = connect_caller_with_unread_answer(&mut bed, 1);
    bed.send_from_all_servers(&release(1, cause::NORMAL));
    (0..2).for_each(|_| bed.run_iteration());
    drop(leaving);
    bed.run_for(1.0);
    assert_end_received_once(&bed, 1);
}

/// Guards against the same where the end comes after its caller has left.
#[test]
fn an_end_that_comes_after_its_answer_was_left_unread_is_told_on_another_connection() {
    let mut bed = TestBed::new(1);
    let leaving = connect_caller_with_unread_answer(&mut bed, 1);
    drop(leaving);
    (0..2).for_each(|_| bed.run_iteration());
    bed.send_from_all_servers(&release(1, cause::NORMAL));
    bed.run_for(1.0);
    assert_end_received_once(&bed, 1);
}

/// Guards against an end lost with its connection where the caller closes between the look at it and the write.
#[test]
fn an_end_whose_caller_closes_after_the_last_look_is_told_on_another_connection() {
    let mut bed = TestBed::new(1);
    let leaving = connect_caller_with_call(&mut bed);
    bed.send_from_all_servers(&release(1, cause::NORMAL));
    bed.gatekeeper.after_next_poll(move || drop(leaving));
    bed.run_for(1.0);
    assert_eq!(ends_received(&bed, 1), 1, "{:?}", bed.caller_received);
}

/// Guards against an end told to a connection that is closed in the same turn as the caller's own one.
#[test]
fn an_end_is_told_on_a_connection_that_is_still_there() {
    let mut bed = TestBed::new(1);
    let leaving = connect_caller_with_call(&mut bed);
    let newest = connect_caller_with_call_id(&mut bed, 2);
    bed.send_from_all_servers(&release(1, cause::NORMAL));
    bed.gatekeeper.before_writing = Some(Box::new(move || drop((leaving, newest))));
    bed.run_for(1.0);
    assert_eq!(ends_received(&bed, 1), 1, "{:?}", bed.caller_received);
}

/// Guards against a call that stands for nobody: its answer is written to a connection that its caller closes in that moment.
#[test]
fn an_answer_written_as_its_caller_closes_leaves_no_call_behind() {
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

/// Guards against an answer to a caller that cancelled between the read of a turn and its writes.
#[test]
fn an_answer_that_crosses_its_callers_cancel_is_released_and_not_told() {
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

/// Guards against the same where the caller shuts its connection down both ways: a reset follows the close.
#[test]
fn an_end_left_unread_behind_its_answer_by_a_caller_that_shuts_down_is_told_on_another_connection() {
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

/// Guards against ends left unread by callers that ask once, while another one asks again and reads.
#[test]
fn an_end_whose_connection_is_gone_goes_to_a_caller_that_asks_again() {
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
