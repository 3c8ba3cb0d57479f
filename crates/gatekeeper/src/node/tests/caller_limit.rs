//! Crowds that take all places while ends of calls are left unread.

use std::net::Shutdown;

use super::call_ends::{assert_told_once, ends_told, with_a_call, with_a_call_of};
use super::*;

/// Callers enough to take all places several times.
const CROWD: u64 = 120;
/// The first call of a crowd.
const FIRST: u64 = 1000;
/// Places that a gatekeeper of these tests has for callers.
const PLACES: u64 = 44;

impl World {
    /// Connects many callers in one moment, each with a set-up that stays open, and lets those in for whom there is room.
    fn crowd(&mut self) -> Vec<Peer> {
        let connect = |id| {
            let mut caller = self.caller();
            caller.send(&set_up(id, 9000)).unwrap();
            caller
        };
        let crowd = (FIRST..FIRST + CROWD).map(connect).collect();
        (0..4).for_each(|_| self.turn());
        crowd
    }

    /// The end of a call is written to its caller, which leaves it unread.
    fn end_unread(&mut self, id: u64) {
        self.servers_say(&release(id, cause::NORMAL));
        (0..2).for_each(|_| self.turn());
        assert_eq!(ends_told(self, id), 0, "its caller's connection is there");
    }

    /// Calls that were taken and are not over.
    fn calls(&self) -> u64 {
        self.node.figures_now().gauges.outstanding
    }
}

/// Guards against an end lost as its half-closed connection is dropped to make room before its caller's reset.
#[test]
fn an_end_left_unread_after_a_half_close_is_told_as_a_crowd_takes_all_places() {
    let mut w = World::still(1);
    let leaving = with_a_call(&mut w);
    w.end_unread(1);
    leaving.stream().shutdown(Shutdown::Write).unwrap();
    (0..2).for_each(|_| w.turn());
    let _crowd = w.crowd();
    drop(leaving);
    w.pass(1.0);
    assert_told_once(&w, 1);
}

/// Guards against an end lost as its idle connection is closed to make room and dropped before its caller's reset.
#[test]
fn an_end_left_unread_on_a_connection_closed_to_make_room_is_told() {
    let mut w = World::still(1);
    let leaving = with_a_call(&mut w);
    w.end_unread(1);
    w.node.advance_clock(0.3);
    let _crowd = w.crowd();
    drop(leaving);
    w.pass(1.0);
    assert_told_once(&w, 1);
}

/// Guards against a crowd locked out by callers that leave the ends of their calls unread: they keep a part of the places, for
/// a moment.
#[test]
fn callers_that_leave_ends_unread_keep_few_places_from_a_crowd() {
    let mut w = World::still(1);
    w.stand(9);
    let stand = |id| {
        // A server that has just started is sent a few at a time.
        w.node.advance_clock(0.2);
        with_a_call_of(&mut w, id)
    };
    let leaving: Vec<Peer> = (100..100 + PLACES / 2).map(stand).collect();
    (100..100 + PLACES / 2).for_each(|id| w.end_unread(id));
    leaving.iter().for_each(|caller| caller.stream().shutdown(Shutdown::Write).unwrap());
    (0..2).for_each(|_| w.turn());
    let _crowd = w.crowd();
    // One place is that of the call that stands.
    assert!(w.calls() >= PLACES * 3 / 4, "{} of {PLACES}", w.calls());
    w.pass(0.4);
    (0..4).for_each(|_| w.turn());
    assert!(w.calls() >= PLACES, "{} of {PLACES}", w.calls());
}

/// Guards against callers with a call that stands who are turned out though another connection is about to end.
#[test]
fn a_connection_with_a_standing_call_makes_no_room_while_another_one_is_closing() {
    let mut w = World::still(1);
    let _leaving = with_a_call(&mut w);
    w.end_unread(1);
    w.node.advance_clock(0.3);
    let _crowd = w.crowd();
    w.servers_say(&release(9, cause::NORMAL));
    w.heard(9, kind::RELEASE, Some(cause::NORMAL));
}

/// Guards against a crowd that waits for the next look at the listener though a place is free.
#[test]
fn a_place_that_a_closed_connection_gives_back_is_taken_at_once() {
    let mut w = World::still(1);
    let leaving = with_a_call(&mut w);
    w.end_unread(1);
    leaving.stream().shutdown(Shutdown::Write).unwrap();
    (0..2).for_each(|_| w.turn());
    let _crowd = w.crowd();
    let taken = w.calls();
    drop(leaving);
    (0..4).for_each(|_| w.turn());
    assert_eq!(w.calls(), taken + 1);
}

/// Guards against a crowd locked out by callers with standing calls for as long as others go on leaving ends unread.
#[test]
fn a_connection_with_a_standing_call_makes_room_where_others_wait_for_long() {
    let mut w = World::still(1);
    let first = with_a_call(&mut w);
    let second = with_a_call_of(&mut w, 2);
    (1..=2).for_each(|id| w.end_unread(id));
    first.stream().shutdown(Shutdown::Write).unwrap();
    w.node.advance_clock(0.2);
    (0..2).for_each(|_| w.turn());
    let _crowd = w.crowd();
    second.stream().shutdown(Shutdown::Write).unwrap();
    w.pass(0.2);
    assert!(w.caller.read(&mut Vec::new()).is_ok(), "others have not waited for long");
    w.pass(0.1);
    (0..4).for_each(|_| w.turn());
    assert!(w.caller.read(&mut Vec::new()).is_err());
}
