//! Crowds that take all places while ends of calls are left unread.

use std::net::Shutdown;

use super::call_ends::{
    assert_end_received_once, connect_caller_with_call, connect_caller_with_call_id, ends_received,
};
use super::*;

/// Callers enough to take all places several times.
const CROWD_CALLERS: u64 = 120;
/// The first call of a crowd.
const FIRST_CROWD_CALL_ID: u64 = 1000;
/// Places that a gatekeeper of these tests has for callers.
const MAX_CALLERS: u64 = 44;

impl TestBed {
    /// Connects many callers in one moment, each with a set-up that stays open, and lets those in for whom there is room.
    fn connect_crowd(&mut self) -> Vec<Peer> {
        let connect = |id| {
            let mut caller = self.connect_caller();
            caller.send(&set_up(id, 9000)).unwrap();
            caller
        };
        let crowd = (FIRST_CROWD_CALL_ID..FIRST_CROWD_CALL_ID + CROWD_CALLERS).map(connect).collect();
        (0..4).for_each(|_| self.run_iteration());
        crowd
    }

    /// The end of a call is written to its caller, which leaves it unread.
    fn write_unread_end(&mut self, id: u64) {
        self.send_from_all_servers(&release(id, cause::NORMAL));
        (0..2).for_each(|_| self.run_iteration());
        assert_eq!(ends_received(self, id), 0, "its caller's connection is there");
    }

    /// Calls that were taken and are not over.
    fn outstanding_calls(&self) -> u64 {
        self.gatekeeper.figures_now().gauges.outstanding
    }
}

/// Guards against an end lost as its half-closed connection is dropped to make room before its caller's reset.
#[test]
fn an_end_left_unread_after_a_half_close_is_told_as_a_crowd_takes_all_places() {
    let mut bed = TestBed::with_manual_clock(1);
    let leaving = connect_caller_with_call(&mut bed);
    bed.write_unread_end(1);
    leaving.stream().shutdown(Shutdown::Write).unwrap();
    (0..2).for_each(|_| bed.run_iteration());
    let _crowd = bed.connect_crowd();
    drop(leaving);
    bed.run_for(1.0);
    assert_end_received_once(&bed, 1);
}

/// Guards against an end lost as its idle connection is closed to make room and dropped before its caller's reset.
#[test]
fn an_end_left_unread_on_a_connection_closed_to_make_room_is_told() {
    let mut bed = TestBed::with_manual_clock(1);
    let leaving = connect_caller_with_call(&mut bed);
    bed.write_unread_end(1);
    bed.gatekeeper.advance_clock(0.3);
    let _crowd = bed.connect_crowd();
    drop(leaving);
    bed.run_for(1.0);
    assert_end_received_once(&bed, 1);
}

/// Guards against a crowd locked out by callers that leave the ends of their calls unread: they keep a part of the places, for
/// a moment.
#[test]
fn callers_that_leave_ends_unread_keep_few_places_from_a_crowd() {
    let mut bed = TestBed::with_manual_clock(1);
    bed.establish_call(9);
    let connect_with_call = |id| {
        // A server that has just started is sent a few at a time.
        bed.gatekeeper.advance_clock(0.2);
        connect_caller_with_call_id(&mut bed, id)
    };
    let leaving: Vec<Peer> = (100..100 + MAX_CALLERS / 2).map(connect_with_call).collect();
    (100..100 + MAX_CALLERS / 2).for_each(|id| bed.write_unread_end(id));
    leaving.iter().for_each(|caller| caller.stream().shutdown(Shutdown::Write).unwrap());
    (0..2).for_each(|_| bed.run_iteration());
    let _crowd = bed.connect_crowd();
    // One place is that of the call that stands.
    assert!(bed.outstanding_calls() >= MAX_CALLERS * 3 / 4, "{} of {MAX_CALLERS}", bed.outstanding_calls());
    bed.run_for(0.4);
    (0..4).for_each(|_| bed.run_iteration());
    assert!(bed.outstanding_calls() >= MAX_CALLERS, "{} of {MAX_CALLERS}", bed.outstanding_calls());
}

/// Guards against callers with a call that stands who are turned out though another connection is about to end.
#[test]
fn a_connection_with_a_standing_call_makes_no_room_while_another_one_is_closing() {
    let mut bed = TestBed::with_manual_clock(1);
    let _leaving = connect_caller_with_call(&mut bed);
    bed.write_unread_end(1);
    bed.gatekeeper.advance_clock(0.3);
    let _crowd = bed.connect_crowd();
    bed.send_from_all_servers(&release(9, cause::NORMAL));
    bed.expect_at_caller(9, kind::RELEASE, Some(cause::NORMAL));
}

/// Guards against a crowd that waits for the next look at the listener though a place is free.
#[test]
fn a_place_that_a_closed_connection_gives_back_is_taken_at_once() {
    let mut bed = TestBed::with_manual_clock(1);
    let leaving = connect_caller_with_call(&mut bed);
    bed.write_unread_end(1);
    leaving.stream().shutdown(Shutdown::Write).unwrap();
    (0..2).for_each(|_| bed.run_iteration());
    let _crowd = bed.connect_crowd();
    let outstanding_before = bed.outstanding_calls();
    drop(leaving);
    (0..4).for_each(|_| bed.run_iteration());
    assert_eq!(bed.outstanding_calls(), outstanding_before + 1);
}

/// Guards against a crowd locked out by callers with standing calls for as long as others go on leaving ends unread.
#[test]
fn a_connection_with_a_standing_call_makes_room_where_others_wait_for_long() {
    let mut bed = TestBed::with_manual_clock(1);
    let first = connect_caller_with_call(&mut bed);
    let second = connect_caller_with_call_id(&mut bed, 2);
    (1..=2).for_each(|id| bed.write_unread_end(id));
    first.stream().shutdown(Shutdown::Write).unwrap();
    bed.gatekeeper.advance_clock(0.2);
    (0..2).for_each(|_| bed.run_iteration());
    let _crowd = bed.connect_crowd();
    second.stream().shutdown(Shutdown::Write).unwrap();
    bed.run_for(0.2);
    assert!(bed.caller.read(&mut Vec::new()).is_ok(), "others have not waited for long");
    bed.run_for(0.1);
    (0..4).for_each(|_| bed.run_iteration());
    assert!(bed.caller.read(&mut Vec::new()).is_err());
}
