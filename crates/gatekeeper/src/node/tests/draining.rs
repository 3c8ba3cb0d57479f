//! A drained gatekeeper lets its callers go.

use super::call_ends::{
    assert_end_received_once, connect_caller_with_call, connect_caller_with_call_id, ends_received,
};
use super::*;

impl TestBed {
    /// Drains it.
    fn start_drain(&mut self) {
        assert_eq!(self.post("/_lameduck/on").0, 200);
    }

    fn caller_connection_closed(&mut self) -> bool {
        self.caller.read(&mut self.caller_received).is_err()
    }
}

fn connection_closed(peer: &mut Peer) -> bool {
    peer.read(&mut Vec::new()).is_err()
}

/// Guards against a drained gatekeeper that keeps idle connections, or drops a request of the last moment.
#[test]
fn lameduck_lets_quiet_connections_go_and_answers_the_last_requests() {
    let mut bed = TestBed::with_control_address(1);
    let mut idle = peer(TcpStream::connect(bed.gatekeeper.address()).unwrap());
    bed.establish_call(1);
    assert_eq!(bed.post("/_lameduck/on").0, 200);
    let drain_started = bed.gatekeeper.now();
    // A request on an open connection after the drain is still served.
    bed.caller.send(&set_up(2, 3000)).unwrap();
    bed.expect_at_server(2, kind::SET_UP);
    bed.send_from_all_servers(&answer(2));
    bed.expect_at_caller(2, kind::ANSWER, None);
    // A new connection within the front's 0.2 s is served too.
    let mut late = peer(TcpStream::connect(bed.gatekeeper.address()).unwrap());
    late.send(&set_up(3, 3000)).unwrap();
    bed.expect_at_server(3, kind::SET_UP);
    bed.send_from_all_servers(&answer(3));
    let mut received = Vec::new();
    for _ in 0..MAX_ITERATIONS {
        bed.run_iteration();
        let _ = late.read(&mut received);
        if received.iter().any(|m| m.call == 3 && m.kind == kind::ANSWER) {
            break;
        }
    }
    assert!(received.iter().any(|m| m.call == 3 && m.kind == kind::ANSWER));
    // Within 4 s of the drain every connection that waits for nothing is closed; the process goes on.
    bed.run_for(3.0);
    assert!(bed.gatekeeper.now() - drain_started < 4.0);
    let closed = |p: &mut Peer| p.read(&mut Vec::new()).is_err();
    assert!(closed(&mut idle), "the idle connection is closed");
    assert_eq!(bed.get("/_ready").0, 503);
    assert!(TcpStream::connect(bed.gatekeeper.address()).is_err(), "a drained listener takes no connection");
    assert!(!control_address_closed(&mut bed), "the process goes on");
    assert_eq!(bed.post("/_lameduck/off").0, 200);
    assert_eq!(bed.get("/_ready").0, 200);
    // The listener is open again at the next beat.
    bed.run_for(0.2);
    let mut new_caller = peer(TcpStream::connect(bed.gatekeeper.address()).unwrap());
    new_caller.send(&set_up(4, 3000)).unwrap();
    bed.expect_at_server(4, kind::SET_UP);
}

fn control_address_closed(bed: &mut TestBed) -> bool {
    bed.run_iteration();
    bed.gatekeeper.control_address().is_none()
}

/// Guards against an idle connection held past the term for ends that another one, on which calls stand, can take.
#[test]
fn an_idle_connection_does_not_stay_for_ends_that_another_one_can_take() {
    let mut bed = TestBed::with_control_address(1);
    let leaving = connect_caller_with_call(&mut bed);
    let mut idle = connect_caller_with_call_id(&mut bed, 2);
    bed.send_from_all_servers(&release(2, cause::NORMAL));
    bed.run_for(0.2);
    drop(leaving);
    bed.start_drain();
    bed.run_for(3.5);
    assert!(connection_closed(&mut idle));
    assert!(!bed.caller_connection_closed(), "a call stands that came on it");
    bed.send_from_all_servers(&release(1, cause::NORMAL));
    (0..5).for_each(|_| bed.run_iteration());
    assert_end_received_once(&bed, 1);
}

/// Guards against a connection in use held past the term for a call that stands, and against an end that then reaches nobody.
#[test]
fn calls_on_the_last_connection_in_use_are_cut_and_told_before_the_term() {
    let mut bed = TestBed::with_control_address(1);
    bed.establish_call(1);
    bed.start_drain();
    bed.run_for(2.2);
    bed.caller.send(&set_up(2, 3000)).unwrap();
    let refusal = bed.expect_at_caller(2, kind::RELEASE, Some(cause::CONGESTION));
    assert!(refusal.text(code::RETRY_AFTER).unwrap().parse::<u32>().unwrap() > 0);
    assert!(!bed.set_ups.contains(&(0, 2)));
    assert!(!bed.caller_connection_closed(), "nobody else could be told of the end");
    bed.run_for(1.5);
    bed.expect_at_caller(1, kind::RELEASE, Some(cause::TEMPORARY_FAILURE));
    bed.expect_at_server(1, kind::RELEASE);
    assert!(bed.caller_connection_closed());
    let vars = bed.vars();
    assert_eq!((vars["drain_refused"].as_u64(), vars["drain_cut"].as_u64()), (Some(1), Some(1)));
}

/// Guards against calls cut while a quiet connection is there on which their ends can be told.
#[test]
fn calls_of_a_connection_in_use_outlive_it_where_another_one_stays() {
    let mut bed = TestBed::with_control_address(1);
    bed.establish_call(8);
    let mut busy = connect_caller_with_call(&mut bed);
    bed.start_drain();
    bed.run_for(2.2);
    busy.send(&set_up(2, 3000)).unwrap();
    bed.run_for(0.3);
    assert!(connection_closed(&mut busy));
    bed.run_for(2.0);
    assert!(!bed.caller_connection_closed());
    assert_eq!(ends_received(&bed, 1), 0);
    bed.send_from_all_servers(&release(1, cause::NORMAL));
    (0..5).for_each(|_| bed.run_iteration());
    assert_end_received_once(&bed, 1);
}

/// Guards against all connections closed in one moment as each is busy, with calls that stand on them.
#[test]
fn of_busy_connections_with_standing_calls_one_stays_for_their_ends() {
    let mut bed = TestBed::with_control_address(1);
    let mut other = connect_caller_with_call(&mut bed);
    bed.start_drain();
    bed.run_for(1.3);
    bed.caller.send(&set_up(2, 3000)).unwrap();
    other.send(&set_up(3, 3000)).unwrap();
    bed.expect_at_server(2, kind::SET_UP);
    bed.expect_at_server(3, kind::SET_UP);
    bed.send_from_all_servers(&answer(2));
    bed.send_from_all_servers(&answer(3));
    bed.run_for(0.4);
    let mut received = Vec::new();
    let closed = [other.read(&mut received).is_err(), bed.caller_connection_closed()];
    assert_eq!(closed.iter().filter(|closed| **closed).count(), 1);
    [1, 2, 3, 9].iter().for_each(|id| bed.send_from_all_servers(&release(*id, cause::NORMAL)));
    bed.run_for(0.3);
    let _ = other.read(&mut received);
    received.append(&mut bed.caller_received);
    let ends = received.iter().filter(|message| message.cause() == Some(cause::NORMAL));
    assert_eq!(ends.map(|message| message.call).collect::<BTreeSet<_>>(), BTreeSet::from([1, 2, 3, 9]));
}

/// Guards against ends that are left to a caller which may never read, and against a call cut whose own connection stays.
#[test]
fn only_calls_whose_own_connection_goes_are_cut_where_no_caller_is_known_to_read() {
    let mut bed = TestBed::with_control_address(1);
    let mut single_call_caller = connect_caller_with_call(&mut bed);
    bed.start_drain();
    bed.run_for(2.2);
    bed.caller.send(&set_up(2, 3000)).unwrap();
    bed.run_for(1.5);
    bed.expect_at_caller(9, kind::RELEASE, Some(cause::TEMPORARY_FAILURE));
    assert!(bed.caller_connection_closed());
    bed.send_from_all_servers(&release(1, cause::NORMAL));
    let mut received = Vec::new();
    bed.run_until("the end of the call", |_| {
        single_call_caller.read(&mut received).is_err() || !received.is_empty()
    });
    assert_eq!(received.first().and_then(Message::cause), Some(cause::NORMAL));
}

/// Guards against a connection in use held past the term for a set-up that waits for a slow server.
#[test]
fn open_set_ups_of_a_connection_in_use_are_answered_before_the_term() {
    let mut bed = TestBed::with_control_address(1);
    bed.start_drain();
    bed.caller.send(&set_up(1, 9000)).unwrap();
    bed.expect_at_server(1, kind::SET_UP);
    bed.run_for(2.2);
    bed.caller.send(&set_up(2, 9000)).unwrap();
    bed.expect_at_caller(2, kind::RELEASE, Some(cause::CONGESTION));
    assert!(!bed.caller_received.iter().any(|m| m.call == 1));
    bed.run_for(1.5);
    bed.expect_at_caller(1, kind::RELEASE, Some(cause::CONGESTION));
    bed.expect_at_server(1, kind::RELEASE);
    assert!(bed.caller_connection_closed());
    let vars = bed.vars();
    assert_eq!((vars["drain_answered"].as_u64(), vars["outstanding"].as_u64()), (Some(1), Some(0)));
    assert_eq!(vars["declined"]["meter-read"], 2);
}

/// Guards against a set-up cut short for the term, on a connection that is neither idle nor in use there.
#[test]
fn a_set_up_that_came_before_the_last_moments_is_served_past_the_term() {
    let mut bed = TestBed::with_control_address(1);
    bed.start_drain();
    bed.caller.send(&set_up(1, 9000)).unwrap();
    bed.expect_at_server(1, kind::SET_UP);
    bed.run_for(4.8);
    bed.send_from_all_servers(&answer(1));
    bed.expect_at_caller(1, kind::ANSWER, None);
}

/// Guards against a drain that goes on refusing once it was taken back, and against one that counts from an earlier one.
#[test]
fn a_drain_that_was_taken_back_refuses_nothing_and_the_next_one_begins_anew() {
    let mut bed = TestBed::with_control_address(1);
    bed.start_drain();
    bed.run_for(2.5);
    assert_eq!(bed.post("/_lameduck/off").0, 200);
    bed.run_for(0.2);
    bed.caller = bed.connect_caller();
    bed.establish_call(1);
    bed.start_drain();
    bed.run_for(1.0);
    bed.establish_call(2);
}

/// Guards against callers that use a connection past the term, as the program was told to end in the drain.
#[test]
fn a_drain_keeps_its_term_when_the_program_is_told_to_end_meanwhile() {
    let mut bed = TestBed::with_control_address(1);
    bed.establish_call(1);
    bed.start_drain();
    bed.run_for(0.5);
    bed.gatekeeper.begin_stop(bed.gatekeeper.now());
    bed.run_for(2.0);
    bed.caller.send(&set_up(2, 3000)).unwrap();
    bed.expect_at_caller(2, kind::RELEASE, Some(cause::CONGESTION));
    bed.run_for(1.3);
    assert!(bed.caller_connection_closed());
}

/// A caller that reads nothing, to which bytes wait to be written.
fn connect_blocked_caller(bed: &mut TestBed) -> Peer {
    bed.establish_call(9);
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    // Set before it connects, so that little is taken for it.
    socket.set_recv_buffer_size(4096).unwrap();
    socket.connect(&bed.gatekeeper.address().into()).unwrap();
    let mut caller = peer(socket.into());
    (0..2).for_each(|_| bed.run_iteration());
    bed.gatekeeper.shrink_send_buffers();
    for _ in 0..50 {
        (0..100).for_each(|id| caller.send(&Message::new(kind::TEST, id).caused(0)).map(drop).unwrap());
        bed.run_until("that all is written", |_| caller.flush().is_err() || !caller.blocked());
        (0..3).for_each(|_| bed.run_iteration());
        if bed.gatekeeper.blocked_callers() {
            break;
        }
    }
    assert!(bed.gatekeeper.blocked_callers());
    caller
}

/// Whether a connection is over behind what the system holds of it; the gatekeeper has no turn meanwhile.
fn connection_ends(caller: &mut Peer) -> bool {
    (0..MAX_ITERATIONS).any(|_| connection_closed(caller))
}

/// Guards against an idle connection held past the term, as its caller does not read.
#[test]
fn an_idle_connection_whose_caller_reads_nothing_is_let_go_by_the_term() {
    let mut bed = TestBed::with_control_address(1);
    let mut blocked = connect_blocked_caller(&mut bed);
    bed.start_drain();
    bed.run_for(3.9);
    assert!(connection_ends(&mut blocked));
}

/// Guards against a close in the last moments that a caller which does not read never sees.
#[test]
fn a_connection_in_use_whose_caller_reads_nothing_is_let_go_by_the_term() {
    let mut bed = TestBed::with_control_address(1);
    let mut blocked = connect_blocked_caller(&mut bed);
    bed.start_drain();
    blocked.send(&set_up(2, 9000)).unwrap();
    bed.expect_at_server(2, kind::SET_UP);
    bed.run_for(2.2);
    blocked.send(&set_up(3, 9000)).unwrap();
    bed.run_for(1.7);
    bed.expect_at_server(2, kind::RELEASE);
    assert!(connection_ends(&mut blocked));
}

/// Guards against a set-up lost whose pieces are further apart than a quiet connection is kept.
#[test]
fn a_set_up_that_comes_slowly_in_a_drain_is_served() {
    let mut bed = TestBed::with_control_address(1);
    bed.start_drain();
    let mut bytes = Vec::new();
    set_up(1, 3000).encode(&mut bytes);
    for piece in bytes.chunks(bytes.len() / 3) {
        bed.caller.stream().write_all(piece).unwrap();
        bed.run_for(0.4);
    }
    bed.expect_at_server(1, kind::SET_UP);
    bed.send_from_all_servers(&answer(1));
    bed.expect_at_caller(1, kind::ANSWER, None);
}
