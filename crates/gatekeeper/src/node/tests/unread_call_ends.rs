//! The end of an established call is sent again on another connection if its caller left it unread, and only then.

use std::io::Read;
use std::net::Shutdown;
use std::time::Duration;

use super::call_ends::{
    assert_end_received_once, connect_caller_with_call, connect_caller_with_call_id,
    connect_caller_with_unread_answer, ends_received,
};
use super::*;

/// Has the end of a call written to its caller's connection, where it waits to be read.
fn write_unread_end(bed: &mut TestBed, id: u64) {
    bed.send_from_all_servers(&release(id, cause::NORMAL));
    (0..2).for_each(|_| bed.run_iteration());
    assert_eq!(ends_received(bed, id), 0, "the end must go to its own caller only");
}

/// Reads until the caller has received the end of the call.
fn read_until_end(bed: &mut TestBed, caller: &mut Peer, id: u64) {
    let mut received = Vec::new();
    let is_end = |m: &Message| (m.call, m.kind) == (id, kind::RELEASE);
    bed.run_until("the end", |_| caller.read(&mut received).is_err() || received.iter().any(is_end));
}

/// Guards against the loss of an end whose write fails on a reset connection: only the write reports the reset.
#[test]
fn an_end_whose_write_fails_is_sent_once_on_another_connection() {
    let mut bed = TestBed::new(1);
    let leaving = connect_caller_with_unread_answer(&mut bed, 1);
    bed.send_from_all_servers(&release(1, cause::NORMAL));
    bed.gatekeeper.after_next_poll(move || drop(leaving));
    bed.run_for(1.0);
    assert_end_received_once(&bed, 1);
}

/// Guards against the loss of an end if the check before its write finds its connection reset.
#[test]
fn an_end_whose_connection_is_found_reset_before_the_write_is_sent_on_another_connection() {
    let mut bed = TestBed::new(1);
    let leaving = connect_caller_with_unread_answer(&mut bed, 1);
    bed.send_from_all_servers(&release(1, cause::NORMAL));
    bed.gatekeeper.before_writing = Some(Box::new(move || drop(leaving)));
    bed.run_for(1.0);
    assert_end_received_once(&bed, 1);
}

/// Guards against the loss of an end on a series of connections that close one after the other without reading it.
#[test]
fn an_end_left_unread_on_three_connections_is_sent_on_the_fourth() {
    let mut bed = TestBed::new(1);
    let first = connect_caller_with_call_id(&mut bed, 1);
    let second = connect_caller_with_call_id(&mut bed, 2);
    let third = connect_caller_with_call_id(&mut bed, 3);
    bed.establish_call(9);
    write_unread_end(&mut bed, 1);
    for leaving in [first, second, third] {
        assert_eq!(ends_received(&bed, 1), 0, "{:?}", bed.caller_received);
        drop(leaving);
        (0..2).for_each(|_| bed.run_iteration());
    }
    bed.run_for(1.0);
    assert_end_received_once(&bed, 1);
}

/// Guards against an end sent again without limit as one connection after the other closes: it has to be sent for 8 s.
#[test]
fn an_end_left_unread_is_not_sent_again_after_8_s() {
    let mut bed = TestBed::new(1);
    let mut leaving = connect_caller_with_call(&mut bed);
    // A second call keeps the connection from being closed as idle.
    leaving.send(&set_up(2, 3000)).unwrap();
    bed.expect_at_server(2, kind::SET_UP);
    bed.send_from_all_servers(&answer(2));
    bed.run_iteration();
    write_unread_end(&mut bed, 1);
    bed.run_for(8.1);
    drop(leaving);
    bed.run_for(1.0);
    assert_eq!(ends_received(&bed, 1), 0, "{:?}", bed.caller_received);
}

/// Guards against the loss of an end on a connection that the gatekeeper closes in order and whose caller leaves the
/// end unread.
#[test]
fn an_end_left_unread_on_a_connection_closed_by_the_gatekeeper_is_sent_on_another_one() {
    let mut bed = TestBed::new(1);
    let leaving = connect_caller_with_call(&mut bed);
    write_unread_end(&mut bed, 1);
    leaving.stream().write_all(&[0xff; 64]).unwrap();
    (0..2).for_each(|_| bed.run_iteration());
    drop(leaving);
    bed.run_for(1.0);
    assert_end_received_once(&bed, 1);
}

/// Guards against the loss of an end on a connection that its caller half-closes and then closes without reading the
/// end.
#[test]
fn an_end_left_unread_after_a_half_close_is_sent_on_another_connection() {
    let mut bed = TestBed::new(1);
    let leaving = connect_caller_with_call(&mut bed);
    write_unread_end(&mut bed, 1);
    leaving.stream().shutdown(Shutdown::Write).unwrap();
    (0..2).for_each(|_| bed.run_iteration());
    drop(leaving);
    bed.run_for(1.0);
    assert_end_received_once(&bed, 1);
}

/// Guards against a second copy of an end for a caller that half-closes its connection and reads the end there.
#[test]
fn an_end_that_was_read_after_a_half_close_is_not_sent_again() {
    let mut bed = TestBed::new(1);
    let mut leaving = connect_caller_with_call(&mut bed);
    write_unread_end(&mut bed, 1);
    leaving.stream().shutdown(Shutdown::Write).unwrap();
    bed.run_iteration();
    read_until_end(&mut bed, &mut leaving, 1);
    drop(leaving);
    bed.run_for(1.0);
    assert_eq!(ends_received(&bed, 1), 0, "{:?}", bed.caller_received);
}

/// Guards against the loss of an end in order to avoid a second copy: a caller that read everything and resets the
/// connection cannot be told from one that left the end unread, so the end is sent once more.
#[test]
fn an_end_whose_caller_resets_the_connection_is_sent_on_another_connection() {
    let mut bed = TestBed::new(1);
    let mut aborting = connect_caller_with_call(&mut bed);
    write_unread_end(&mut bed, 1);
    read_until_end(&mut bed, &mut aborting, 1);
    abort(aborting);
    bed.run_for(1.0);
    assert_end_received_once(&bed, 1);
}

/// Guards against a second copy of an end that was read, if another one of the same write was not: only the last
/// message is certain to be unread.
#[test]
fn of_two_ends_written_together_the_one_that_was_read_is_not_sent_again() {
    let mut bed = TestBed::new(1);
    let mut leaving = connect_caller_with_call(&mut bed);
    leaving.send(&set_up(2, 3000)).unwrap();
    bed.expect_at_server(2, kind::SET_UP);
    bed.send_from_all_servers(&answer(2));
    let mut received = Vec::new();
    bed.run_until("the answer", |_| leaving.read(&mut received).is_err() || !received.is_empty());
    let mut bytes = Vec::new();
    [1, 2].iter().for_each(|id| release(*id, cause::NORMAL).encode(&mut bytes));
    bed.servers[0].stream().write_all(&bytes).unwrap();
    (0..2).for_each(|_| bed.run_iteration());
    let mut first = vec![0; bytes.len() / 2];
    leaving.stream().read_exact(&mut first).unwrap();
    assert_eq!(Message::decode(&first).unwrap().map(|(m, _)| m.call), Some(1));
    drop(leaving);
    bed.run_for(1.0);
    assert_eq!(ends_received(&bed, 1), 0);
    assert_end_received_once(&bed, 2);
    let figures = bed.gatekeeper.figures_now().gauges;
    assert_eq!((figures.ends_redelivered, figures.ends_unconfirmed), (1, 1));
}

/// Guards against the loss of ends beyond the number remembered for one connection, if a caller with many calls closes
/// it before the writes.
#[test]
fn all_ends_of_a_caller_that_closes_before_they_are_written_are_sent_on_another_connection() {
    let mut bed = TestBed::new(1);
    let mut leaving = connect_caller_with_call(&mut bed);
    let ids: Vec<u64> = (1000..1300).collect();
    for &id in &ids {
        leaving.send(&set_up(id, 3000)).unwrap();
        bed.expect_at_server(id, kind::SET_UP);
        bed.send_from_all_servers(&answer(id));
    }
    let mut received = Vec::new();
    bed.run_until("all calls to be established", |_| {
        leaving.read(&mut received).is_err() || received.len() == ids.len()
    });
    let mut bytes = Vec::new();
    ids.iter().for_each(|id| release(*id, cause::NORMAL).encode(&mut bytes));
    bed.servers[0].stream().write_all(&bytes).unwrap();
    bed.gatekeeper.before_writing = Some(Box::new(move || drop(leaving)));
    bed.run_for(1.0);
    let redelivered = ids.iter().filter(|id| ends_received(&bed, **id) == 1).count();
    assert_eq!(redelivered, ids.len());
}

/// Guards against the loss of an end that was written with a refusal of another set-up behind it, if its caller closes
/// before the writes.
#[test]
fn an_end_before_another_reply_is_sent_on_another_connection_if_its_caller_closes_before_the_writes() {
    let mut bed = TestBed::new(1);
    let mut leaving = connect_caller_with_call(&mut bed);
    leaving.send(&set_up(2, 3000)).unwrap();
    bed.expect_at_server(2, kind::SET_UP);
    let mut bytes = Vec::new();
    release(1, cause::NORMAL).encode(&mut bytes);
    release(2, cause::FULL).encode(&mut bytes);
    bed.servers[0].stream().write_all(&bytes).unwrap();
    bed.gatekeeper.before_writing = Some(Box::new(move || drop(leaving)));
    bed.run_for(1.0);
    assert_end_received_once(&bed, 1);
}

/// Guards against the loss of an end inside the gatekeeper, in the buffer of a connection whose caller reads nothing
/// and closes.
#[test]
fn an_end_that_was_never_written_is_sent_on_another_connection() {
    let mut bed = TestBed::new(1);
    let leaving = connect_caller_with_call(&mut bed);
    socket2::SockRef::from(leaving.stream()).set_recv_buffer_size(4096).unwrap();
    bed.gatekeeper.shrink_send_buffers();
    // Test results fill all buffers between the gatekeeper and the caller.
    let tests: Vec<u8> = (0..200_u64).flat_map(encoded_test).collect();
    bed.run_until_caller_blocked(|| {
        let _ = leaving.stream().write(&tests);
    });
    bed.send_from_all_servers(&release(1, cause::NORMAL));
    (0..4).for_each(|_| bed.run_iteration());
    assert_eq!(ends_received(&bed, 1), 0);
    drop(leaving);
    bed.run_for(1.0);
    assert_end_received_once(&bed, 1);
}

/// Guards against a second copy of an end that its caller confirmed.
#[test]
fn an_end_that_was_confirmed_is_not_sent_again() {
    let mut bed = TestBed::new(1);
    let mut aborting = connect_caller_with_call(&mut bed);
    write_unread_end(&mut bed, 1);
    read_until_end(&mut bed, &mut aborting, 1);
    aborting.send(&Message::new(kind::RELEASE_COMPLETE, 1)).unwrap();
    (0..2).for_each(|_| bed.run_iteration());
    abort(aborting);
    bed.run_for(1.0);
    assert_eq!(ends_received(&bed, 1), 0, "{:?}", bed.caller_received);
}

/// Guards against descriptors and time spent on connections that their callers closed: the gatekeeper closes them
/// after 0.25 s.
#[test]
fn a_half_closed_connection_whose_end_was_read_is_closed() {
    let mut bed = TestBed::new(1);
    let mut leaving = connect_caller_with_call(&mut bed);
    write_unread_end(&mut bed, 1);
    read_until_end(&mut bed, &mut leaving, 1);
    leaving.stream().shutdown(Shutdown::Write).unwrap();
    bed.run_for(0.4);
    // The gatekeeper has closed its side as well.
    let mut received = Vec::new();
    bed.run_until("the close", |_| leaving.read(&mut received).is_err());
}

impl TestBed {
    /// Runs iterations, with a step before each, until bytes to a caller cannot be written.
    pub(super) fn run_until_caller_blocked(&mut self, mut step: impl FnMut()) {
        for _ in 0..MAX_ITERATIONS {
            if self.gatekeeper.blocked_callers() {
                return;
            }
            step();
            self.run_iteration();
        }
        panic!("all bytes to callers were written");
    }
}

fn encoded_test(id: u64) -> Vec<u8> {
    let mut bytes = Vec::new();
    Message::new(kind::TEST, id).with_cause(0).encode(&mut bytes);
    bytes
}

/// Closes a connection with a reset, also if all bytes were read.
fn abort(caller: Peer) {
    socket2::SockRef::from(caller.stream()).set_linger(Some(Duration::ZERO)).unwrap();
}
