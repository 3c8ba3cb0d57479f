//! A draining gatekeeper closes its callers' connections without losing set-ups or ends of calls.

use super::call_ends::{
    assert_end_received_once, connect_caller_with_call, connect_caller_with_call_id, ends_received,
};
use super::*;

impl TestBed {
    /// Starts a drain by the control address.
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

/// Guards against a drained gatekeeper that keeps idle connections, or drops a set-up that arrives just before the
/// close.
#[test]
fn lameduck_closes_idle_connections_and_answers_the_last_set_ups() {
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
    // So is one on a new connection within 0.2 s, while the load balancer may still send requests.
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
    // Within 4 s of the drain every connection that waits for nothing is closed; the process keeps running.
    bed.run_for(3.0);
    assert!(bed.gatekeeper.now() - drain_started < 4.0);
    let closed = |p: &mut Peer| p.read(&mut Vec::new()).is_err();
    assert!(closed(&mut idle), "the idle connection is closed");
    assert_eq!(bed.get("/_ready").0, 503);
    assert!(
        TcpStream::connect(bed.gatekeeper.address()).is_err(),
        "a drained gatekeeper accepts no connection"
    );
    assert!(!control_address_closed(&mut bed), "the process keeps running");
    assert_eq!(bed.post("/_lameduck/off").0, 200);
    assert_eq!(bed.get("/_ready").0, 200);
    // The listener is open again at the next periodic check.
    bed.run_for(0.2);
    let mut new_caller = peer(TcpStream::connect(bed.gatekeeper.address()).unwrap());
    new_caller.send(&set_up(4, 3000)).unwrap();
    bed.expect_at_server(4, kind::SET_UP);
}

fn control_address_closed(bed: &mut TestBed) -> bool {
    bed.run_iteration();
    bed.gatekeeper.control_address().is_none()
}

/// Guards against an idle connection kept past the term for ends of calls although another one, with standing calls,
/// can receive them.
#[test]
fn an_idle_connection_is_closed_if_another_one_can_receive_the_ends_of_calls() {
    let mut bed = TestBed::with_control_address(1);
    let leaving = connect_caller_with_call(&mut bed);
    let mut idle = connect_caller_with_call_id(&mut bed, 2);
    bed.send_from_all_servers(&release(2, cause::NORMAL));
    bed.run_for(0.2);
    drop(leaving);
    bed.start_drain();
    bed.run_for(3.5);
    assert!(connection_closed(&mut idle));
    assert!(!bed.caller_connection_closed(), "closed although its call stands");
    bed.send_from_all_servers(&release(1, cause::NORMAL));
    (0..5).for_each(|_| bed.run_iteration());
    assert_end_received_once(&bed, 1);
}

/// Guards against a connection in use kept past the term for a standing call, and against an end that then reaches no
/// caller.
#[test]
fn calls_on_the_last_connection_in_use_are_ended_and_reported_before_the_term() {
    let mut bed = TestBed::with_control_address(1);
    bed.establish_call(1);
    bed.start_drain();
    bed.run_for(2.2);
    bed.caller.send(&set_up(2, 3000)).unwrap();
    let refusal = bed.expect_at_caller(2, kind::RELEASE, Some(cause::CONGESTION));
    assert!(refusal.text(code::RETRY_AFTER).unwrap().parse::<u32>().unwrap() > 0);
    assert!(!bed.set_ups.contains(&(0, 2)));
    assert!(!bed.caller_connection_closed(), "closed although no other caller could receive the end");
    bed.run_for(1.5);
    bed.expect_at_caller(1, kind::RELEASE, Some(cause::TEMPORARY_FAILURE));
    bed.expect_at_server(1, kind::RELEASE);
    assert!(bed.caller_connection_closed());
    let vars = bed.vars();
    assert_eq!((vars["drain_refused"].as_u64(), vars["drain_cut"].as_u64()), (Some(1), Some(1)));
}

/// Guards against calls ended by the gatekeeper although an idle connection is open on which their ends can be sent.
#[test]
fn calls_of_a_connection_in_use_continue_after_its_close_if_another_one_stays() {
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

/// Guards against the close of all connections at once, because each is busy, while calls stand on them.
#[test]
fn one_of_the_busy_connections_with_standing_calls_stays_open_for_their_ends() {
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

/// Guards against ends that are left to a caller which may never read, and against a call ended although its own
/// connection stays.
#[test]
fn only_calls_whose_own_connection_closes_are_ended_if_no_caller_is_known_to_read() {
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

/// Guards against a connection in use kept past the term for a set-up that waits for a slow server.
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

/// Guards against a set-up cut off at the term on a connection that is neither idle nor in use at that time.
#[test]
fn a_set_up_received_early_in_the_drain_is_served_past_the_term() {
    let mut bed = TestBed::with_control_address(1);
    bed.start_drain();
    bed.caller.send(&set_up(1, 9000)).unwrap();
    bed.expect_at_server(1, kind::SET_UP);
    bed.run_for(4.8);
    bed.send_from_all_servers(&answer(1));
    bed.expect_at_caller(1, kind::ANSWER, None);
}

/// Guards against a drain that keeps refusing after it was cancelled, and against one that counts its term from an
/// earlier drain.
#[test]
fn a_cancelled_drain_refuses_nothing_and_the_next_one_starts_a_new_term() {
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

/// Guards against callers that use a connection past the term because the program was told to stop during the drain.
#[test]
fn a_drain_keeps_its_term_when_the_program_is_told_to_stop() {
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

/// Connects a caller that reads nothing, until the gatekeeper has bytes for it that it cannot write.
fn connect_blocked_caller(bed: &mut TestBed) -> Peer {
    bed.establish_call(9);
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    // Set before it connects, so that the receive window is small.
    socket.set_recv_buffer_size(4096).unwrap();
    socket.connect(&bed.gatekeeper.address().into()).unwrap();
    let mut caller = peer(socket.into());
    (0..2).for_each(|_| bed.run_iteration());
    bed.gatekeeper.shrink_send_buffers();
    for _ in 0..50 {
        (0..100).for_each(|id| caller.send(&Message::new(kind::TEST, id).with_cause(0)).map(drop).unwrap());
        bed.run_until("all bytes to be written", |_| caller.flush().is_err() || !caller.blocked());
        (0..3).for_each(|_| bed.run_iteration());
        if bed.gatekeeper.blocked_callers() {
            break;
        }
    }
    assert!(bed.gatekeeper.blocked_callers());
    caller
}

/// Whether a connection ends after the bytes that the kernel holds for it; the gatekeeper runs no iteration meanwhile.
fn connection_ends(caller: &mut Peer) -> bool {
    (0..MAX_ITERATIONS).any(|_| connection_closed(caller))
}

/// Guards against an idle connection kept past the term because its caller does not read.
#[test]
fn an_idle_connection_whose_caller_reads_nothing_is_closed_by_the_term() {
    let mut bed = TestBed::with_control_address(1);
    let mut blocked = connect_blocked_caller(&mut bed);
    bed.start_drain();
    bed.run_for(3.9);
    assert!(connection_ends(&mut blocked));
}

/// Guards against a close at the end of the term that a caller which does not read never sees.
#[test]
fn a_connection_in_use_whose_caller_reads_nothing_is_closed_by_the_term() {
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

/// Guards against the loss of a set-up whose pieces arrive further apart than an idle connection is kept.
#[test]
fn a_set_up_that_arrives_slowly_during_a_drain_is_served() {
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
