//! Many callers that reach the limit of caller connections while ends of calls are left unread.

use std::net::Shutdown;

use super::call_ends::{
    assert_end_received_once, connect_caller_with_call, connect_caller_with_call_id, ends_received,
};
use super::*;

/// Callers that connect at once, more than twice the limit.
const CROWD_CALLERS: u64 = 120;
/// Call id of the first caller of a crowd; the others follow.
const FIRST_CROWD_CALL_ID: u64 = 1000;
/// Caller connections that a gatekeeper of these tests holds at most.
const MAX_CALLERS: u64 = 44;

impl TestBed {
    /// Connects many callers at once, each with a set-up that stays open, and runs iterations in which those that fit
    /// are accepted.
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

    /// Has the end of a call written to its caller, which leaves it unread.
    fn write_unread_end(&mut self, id: u64) {
        self.send_from_all_servers(&release(id, cause::NORMAL));
        (0..2).for_each(|_| self.run_iteration());
        assert_eq!(ends_received(self, id), 0, "the end must go to its own caller only");
    }

    /// Calls that were accepted and are not over.
    fn outstanding_calls(&self) -> u64 {
        self.gatekeeper.figures_now().gauges.outstanding
    }
}

/// Guards against the loss of an end whose half-closed connection is dropped to make room before its caller's reset
/// arrives.
#[test]
fn an_end_left_unread_after_a_half_close_is_sent_again_when_the_caller_limit_is_reached() {
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

/// Guards against the loss of an end whose idle connection is closed to make room and dropped before its caller's
/// reset arrives.
#[test]
fn an_end_left_unread_on_a_connection_closed_to_make_room_is_sent_again() {
    let mut bed = TestBed::with_manual_clock(1);
    let leaving = connect_caller_with_call(&mut bed);
    bed.write_unread_end(1);
    bed.gatekeeper.advance_clock(0.3);
    let _crowd = bed.connect_crowd();
    drop(leaving);
    bed.run_for(1.0);
    assert_end_received_once(&bed, 1);
}

/// Guards against new callers locked out by callers that leave the ends of their calls unread: these may hold a part
/// of the connections, for a short time.
#[test]
fn callers_that_leave_ends_unread_block_few_connections_for_a_short_time() {
    let mut bed = TestBed::with_manual_clock(1);
    bed.establish_call(9);
    let connect_with_call = |id| {
        // A server that has just started gets only a few set-ups at a time.
        bed.gatekeeper.advance_clock(0.2);
        connect_caller_with_call_id(&mut bed, id)
    };
    let leaving: Vec<Peer> = (100..100 + MAX_CALLERS / 2).map(connect_with_call).collect();
    (100..100 + MAX_CALLERS / 2).for_each(|id| bed.write_unread_end(id));
    leaving.iter().for_each(|caller| caller.stream().shutdown(Shutdown::Write).unwrap());
    (0..2).for_each(|_| bed.run_iteration());
    let _crowd = bed.connect_crowd();
    // One connection is that of the caller with the standing call.
    assert!(bed.outstanding_calls() >= MAX_CALLERS * 3 / 4, "{} of {MAX_CALLERS}", bed.outstanding_calls());
    bed.run_for(0.4);
    (0..4).for_each(|_| bed.run_iteration());
    assert!(bed.outstanding_calls() >= MAX_CALLERS, "{} of {MAX_CALLERS}", bed.outstanding_calls());
}

/// Guards against the close of a connection with a standing call although another connection is about to close.
#[test]
fn a_connection_with_a_standing_call_is_kept_while_another_one_is_closing() {
    let mut bed = TestBed::with_manual_clock(1);
    let _leaving = connect_caller_with_call(&mut bed);
    bed.write_unread_end(1);
    bed.gatekeeper.advance_clock(0.3);
    let _crowd = bed.connect_crowd();
    bed.send_from_all_servers(&release(9, cause::NORMAL));
    bed.expect_at_caller(9, kind::RELEASE, Some(cause::NORMAL));
}

/// Guards against callers that wait for the next poll of the listener although a connection has become free.
#[test]
fn a_caller_is_accepted_at_once_when_a_connection_closes() {
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

/// Guards against new callers locked out by callers with standing calls while others keep leaving ends unread.
#[test]
fn a_connection_with_a_standing_call_is_closed_when_others_have_waited_for_long() {
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
    assert!(bed.caller.read(&mut Vec::new()).is_ok(), "closed before the others waited for long");
    bed.run_for(0.1);
    (0..4).for_each(|_| bed.run_iteration());
    assert!(bed.caller.read(&mut Vec::new()).is_err());
}
