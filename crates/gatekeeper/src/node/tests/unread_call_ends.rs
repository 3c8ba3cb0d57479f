//! The end of a call that stood is sent again on another connection where its caller left it unread, and only there.

use std::io::Read;
use std::net::Shutdown;
use std::time::Duration;

use super::call_ends::{
    assert_end_received_once, connect_caller_with_call, connect_caller_with_call_id,
    connect_caller_with_unread_answer, ends_received,
};
use super::*;

/// The call's end is written to its caller's connection and waits there to be read.
fn write_unread_end(bed: &mut TestBed, id: u64) {
    bed.send_from_all_servers(&release(id, cause::NORMAL));
    (0..2).for_each(|_| bed.run_iteration());
    assert_eq!(ends_received(bed, id), 0, "its caller's connection is there");
}

/// Reads until the end of the call is there.
fn read_until_end(bed: &mut TestBed, caller: &mut Peer, id: u64) {
    let mut received = Vec::new();
    let is_end = |m: &Message| (m.call, m.kind) == (id, kind::RELEASE);
    bed.run_until("the end", |_| caller.read(&mut received).is_err() || received.iter().any(is_end));
}

/// Guards against an end lost with the write that finds its connection reset: the system tells of the reset there alone.
#[test]
fn an_end_whose_write_fails_is_told_on_another_connection() {
    let mut bed = TestBed::new(1);
    let leaving = connect_caller_with_unread_answer(&mut bed, 1);
    bed.send_from_all_servers(&release(1, cause::NORMAL));
    bed.gatekeeper.after_next_poll(move || drop(leaving));
    bed.run_for(1.0);
    assert_end_received_once(&bed, 1);
}

/// Guards against an end lost where the look before its write finds its connection reset.
#[test]
fn an_end_whose_connection_is_found_reset_before_the_write_is_told_on_another_connection() {
    let mut bed = TestBed::new(1);
    let leaving = connect_caller_with_unread_answer(&mut bed, 1);
    bed.send_from_all_servers(&release(1, cause::NORMAL));
    bed.gatekeeper.before_writing = Some(Box::new(move || drop(leaving)));
    bed.run_for(1.0);
    assert_end_received_once(&bed, 1);
}

/// Guards against an end lost in a chain of connections that are left one after the other with it unread.
#[test]
fn an_end_left_unread_on_three_connections_is_told_on_the_fourth() {
    let mut bed = TestBed::new(1);
    let first = connect_caller_with_call(&mut bed);
    let second = connect_caller_with_call_id(&mut bed, 2);
    let third = connect_caller_with_call_id(&mut bed, 3);
    write_unread_end(&mut bed, 1);
    for leaving in [first, third, second] {
        assert_eq!(ends_received(&bed, 1), 0, "{:?}", bed.caller_received);
        drop(leaving);
        (0..2).for_each(|_| bed.run_iteration());
    }
    bed.run_for(1.0);
    assert_end_received_once(&bed, 1);
}

/// Guards against an end sent for ever from one connection that is left to the next: it is owed for 8 s.
#[test]
fn an_end_left_unread_is_told_to_nobody_once_it_is_too_late() {
    let mut bed = TestBed::new(1);
    let mut leaving = connect_caller_with_call(&mut bed);
    // A second call keeps the connection in use.
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

/// Guards against an end lost on a connection that this side closes in order, and whose caller then leaves it unread.
#[test]
fn an_end_left_unread_on_a_connection_closed_by_this_side_is_told_on_another_one() {
    let mut bed = TestBed::new(1);
    let leaving = connect_caller_with_call(&mut bed);
    write_unread_end(&mut bed, 1);
    leaving.stream().write_all(&[0xff; 64]).unwrap();
    (0..2).for_each(|_| bed.run_iteration());
    drop(leaving);
    bed.run_for(1.0);
    assert_end_received_once(&bed, 1);
}

/// Guards against an end lost on a connection that its caller half-closes, and then closes with it unread.
#[test]
fn an_end_left_unread_after_a_half_close_is_told_on_another_connection() {
    let mut bed = TestBed::new(1);
    let leaving = connect_caller_with_call(&mut bed);
    write_unread_end(&mut bed, 1);
    leaving.stream().shutdown(Shutdown::Write).unwrap();
    (0..2).for_each(|_| bed.run_iteration());
    drop(leaving);
    bed.run_for(1.0);
    assert_end_received_once(&bed, 1);
}

/// Guards against an end told twice to a caller that half-closes its connection and reads it there.
#[test]
fn an_end_that_was_read_after_a_half_close_is_told_once() {
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

/// Guards against an end lost for fear of telling it twice: a caller that aborts with all read looks like one that leaves it
/// unread, and hears of it once more.
#[test]
fn an_end_whose_caller_aborts_is_told_on_another_connection() {
    let mut bed = TestBed::new(1);
    let mut aborting = connect_caller_with_call(&mut bed);
    write_unread_end(&mut bed, 1);
    read_until_end(&mut bed, &mut aborting, 1);
    abort(aborting);
    bed.run_for(1.0);
    assert_end_received_once(&bed, 1);
}

/// Guards against an end told twice that was read, where another one of the same write was not: the last message alone is unread
/// for certain.
#[test]
fn an_end_that_was_read_of_two_written_together_is_told_once() {
    let mut bed = TestBed::new(1);
    let mut leaving = connect_caller_with_call(&mut bed);
    leaving.send(&set_up(2, 3000)).unwrap();
    bed.expect_at_server(2, kind::SET_UP);
    bed.send_from_all_servers(&answer(2));
    let mut received = Vec::new();
    bed.run_until("its answer", |_| leaving.read(&mut received).is_err() || !received.is_empty());
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

/// Guards against ends lost beyond what is remembered of one connection, as a caller of many calls closes it before the writes.
#[test]
fn all_ends_of_a_caller_that_closes_before_they_are_written_are_told_on_another_connection() {
    let mut bed = TestBed::new(1);
    let mut leaving = connect_caller_with_call(&mut bed);
    let ids: Vec<u64> = (1000..1300).collect();
    for &id in &ids {
        leaving.send(&set_up(id, 3000)).unwrap();
        bed.expect_at_server(id, kind::SET_UP);
        bed.send_from_all_servers(&answer(id));
    }
    let mut received = Vec::new();
    bed.run_until("that all stand", |_| leaving.read(&mut received).is_err() || received.len() == ids.len());
    let mut bytes = Vec::new();
    ids.iter().for_each(|id| release(*id, cause::NORMAL).encode(&mut bytes));
    bed.servers[0].stream().write_all(&bytes).unwrap();
    bed.gatekeeper.before_writing = Some(Box::new(move || drop(leaving)));
    bed.run_for(1.0);
    let redelivered = ids.iter().filter(|id| ends_received(&bed, **id) == 1).count();
    assert_eq!(redelivered, ids.len());
}

/// Guards against an end lost that was written with an error of another set-up behind it, as its caller closes in that moment.
#[test]
fn an_end_before_another_reply_is_told_on_another_connection_if_its_caller_closes_before_the_writes() {
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

/// Guards against an end lost in this process, on a connection whose caller reads nothing and closes in the end.
#[test]
fn an_end_that_was_never_written_is_told_on_another_connection() {
    let mut bed = TestBed::new(1);
    let leaving = connect_caller_with_call(&mut bed);
    socket2::SockRef::from(leaving.stream()).set_recv_buffer_size(4096).unwrap();
    bed.gatekeeper.shrink_send_buffers();
    // Results of tests fill all buffers on the way.
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

/// Guards against an end told twice although its caller confirmed it.
#[test]
fn an_end_that_was_confirmed_is_told_once() {
    let mut bed = TestBed::new(1);
    let mut aborting = connect_caller_with_call(&mut bed);
    write_unread_end(&mut bed, 1);
    read_until_end(&mut bed, &mut aborting, 1);
    aborting.send(&Message::new(kind::RELEASE_HEARD, 1)).unwrap();
    (0..2).for_each(|_| bed.run_iteration());
    abort(aborting);
    bed.run_for(1.0);
    assert_eq!(ends_received(&bed, 1), 0, "{:?}", bed.caller_received);
}

/// Guards against descriptors and time spent on connections that their callers closed: they are let go after 0.25 s.
#[test]
fn a_connection_closed_after_its_end_was_read_is_let_go() {
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
    /// Turns, with a step before each, until something waits to be written to a caller.
    pub(super) fn run_until_caller_blocked(&mut self, mut step: impl FnMut()) {
        for _ in 0..MAX_ITERATIONS {
            if self.gatekeeper.blocked_callers() {
                return;
            }
            step();
            self.run_iteration();
        }
        panic!("nothing waits to be written");
    }
}

fn encoded_test(id: u64) -> Vec<u8> {
    let mut bytes = Vec::new();
    Message::new(kind::TEST, id).caused(0).encode(&mut bytes);
    bytes
}

/// Closes a connection with a reset, whatever was read.
fn abort(caller: Peer) {
    socket2::SockRef::from(caller.stream()).set_linger(Some(Duration::ZERO)).unwrap();
}
