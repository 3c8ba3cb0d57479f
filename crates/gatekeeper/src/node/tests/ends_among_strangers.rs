//! The end of a call whose connection is gone reaches its caller while others are connected, whatever they send.

use super::call_ends::{
    assert_end_received_once, connect_caller_with_call, connect_caller_with_call_id, ends_received,
};
use super::*;

/// With this cause a server says that it can't use a set-up.
const ERROR_CAUSE: u8 = 47;

/// Connects a peer that asks again after each refusal, this many times. Servers answer each set-up with an error.
fn connect_refused_peer(bed: &mut TestBed, first_id: u64, set_ups: u64) -> Peer {
    let mut peer = bed.connect_caller();
    for id in first_id..first_id + set_ups {
        peer.send(&set_up(id, 3000)).unwrap();
        bed.expect_at_server(id, kind::SET_UP);
        bed.send_from_all_servers(&release(id, ERROR_CAUSE));
        let mut received = Vec::new();
        bed.run_until("the refusal", |_| peer.read(&mut received).is_err() || !received.is_empty());
        assert_eq!(received.first().map(|m| (m.call, m.kind)), Some((id, kind::RELEASE)));
    }
    peer
}

/// Connects a peer that sends tests only.
fn connect_testing_peer(bed: &mut TestBed) -> Peer {
    let mut peer = bed.connect_caller();
    peer.send(&Message::new(kind::TEST, 4).with_cause(0)).unwrap();
    let mut received = Vec::new();
    bed.run_until("the test result", |_| peer.read(&mut received).is_err() || !received.is_empty());
    peer
}

/// Whether the peer was sent the end of this call.
fn was_sent_end(peer: &mut Peer, id: u64) -> bool {
    let mut received = Vec::new();
    let _ = peer.read(&mut received);
    received.iter().any(|m| (m.call, m.kind) == (id, kind::RELEASE))
}

/// Replaces the test bed's caller by a peer that has had no call.
fn replace_caller_by_testing_peer(bed: &mut TestBed) {
    bed.caller = connect_testing_peer(bed);
    (0..2).for_each(|_| bed.run_iteration());
    bed.caller_received.clear();
}

/// Guards against ends sent to peers that have had no call, because they were the last ones to ask again after a refusal.
#[test]
fn an_end_goes_to_a_caller_and_not_to_peers_that_were_refused_last() {
    let mut bed = TestBed::new(1);
    let leaving = connect_caller_with_call(&mut bed);
    let mut strangers = [100, 200, 300].map(|first_id| connect_refused_peer(&mut bed, first_id, 3));
    drop(leaving);
    bed.run_for(0.3);
    bed.send_from_all_servers(&release(1, cause::NORMAL));
    bed.run_for(1.0);
    assert_end_received_once(&bed, 1);
    assert!(strangers.iter_mut().all(|stranger| !was_sent_end(stranger, 1)));
}

/// Guards against an end that is settled by sending it to a refused peer while its caller is away: the caller is owed it when it
/// is back.
#[test]
fn an_end_stays_owed_to_its_caller_while_only_refused_peers_are_connected() {
    let mut bed = TestBed::new(1);
    let leaving = connect_caller_with_call(&mut bed);
    replace_caller_by_testing_peer(&mut bed);
    let _strangers = [100, 200].map(|first_id| connect_refused_peer(&mut bed, first_id, 2));
    drop(leaving);
    bed.run_for(0.3);
    bed.send_from_all_servers(&release(1, cause::NORMAL));
    bed.run_for(2.0);
    bed.caller = bed.connect_caller();
    bed.establish_call(10);
    bed.run_for(1.0);
    assert_end_received_once(&bed, 1);
}

/// Guards against the ends of calls from before a restart that are sent to the peer that tests the gatekeeper, and not to the
/// caller that comes 2 s later.
#[test]
fn the_end_of_a_call_from_before_a_restart_waits_for_a_caller_and_not_for_a_peer_that_tests() {
    let mut bed = TestBed::new(1);
    let mut testing = connect_testing_peer(&mut bed);
    replace_caller_by_testing_peer(&mut bed);
    bed.send_from_all_servers(&release(77, cause::NORMAL));
    bed.run_for(2.0);
    assert!(!was_sent_end(&mut testing, 77));
    assert_eq!(ends_received(&bed, 77), 0);
    bed.caller = bed.connect_caller();
    bed.establish_call(9);
    bed.run_for(1.0);
    assert_end_received_once(&bed, 77);
}

/// Guards against a second copy of an end for a caller that was sent it on a new connection, before its first call there.
#[test]
fn an_end_sent_on_a_new_connection_is_not_sent_there_again_after_its_first_call() {
    let mut bed = TestBed::new(1);
    bed.send_from_all_servers(&release(77, cause::NORMAL));
    bed.run_for(1.0);
    assert_end_received_once(&bed, 77);
    bed.establish_call(9);
    bed.run_for(1.0);
    assert_end_received_once(&bed, 77);
}

/// Guards against the loss of an end that a new connection left unread: it is owed again.
#[test]
fn an_end_left_unread_on_a_new_connection_is_sent_on_the_next_one() {
    let mut bed = TestBed::new(1);
    let unread = bed.connect_caller();
    (0..2).for_each(|_| bed.run_iteration());
    bed.send_from_all_servers(&release(77, cause::NORMAL));
    bed.run_for(0.7);
    assert_eq!(ends_received(&bed, 77), 0, "the newest connection is sent the end first");
    drop(unread);
    bed.run_for(1.0);
    assert_end_received_once(&bed, 77);
}

/// Guards against an end sent to a peer whose calls came later than those of the caller, because it sent the last set-up.
#[test]
fn an_end_goes_to_the_caller_that_had_a_call_first() {
    let mut bed = TestBed::new(1);
    let leaving = connect_caller_with_call(&mut bed);
    bed.establish_call(8);
    let mut later = connect_caller_with_call_id(&mut bed, 2);
    for id in [3, 4] {
        later.send(&set_up(id, 3000)).unwrap();
        bed.expect_at_server(id, kind::SET_UP);
        bed.send_from_all_servers(&answer(id));
        (0..2).for_each(|_| bed.run_iteration());
    }
    drop(leaving);
    bed.run_for(0.3);
    bed.send_from_all_servers(&release(1, cause::NORMAL));
    bed.run_for(1.0);
    assert_end_received_once(&bed, 1);
    assert!(!was_sent_end(&mut later, 1));
}

/// Guards against an end sent to a caller at another address, while one at the address from which the call came is connected.
#[test]
fn an_end_goes_to_the_address_from_which_its_call_came() {
    let mut bed = TestBed::new(1);
    bed.establish_call(9);
    let connect_from = |bed: &TestBed, address: [u8; 4]| {
        let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
        socket.bind(&std::net::SocketAddr::from((address, 0)).into()).unwrap();
        socket.connect(&bed.gatekeeper.address().into()).unwrap();
        peer(socket.into())
    };
    let mut callers = [1, 2].map(|id| {
        let mut caller = connect_from(&bed, [127, 0, 0, 2]);
        caller.send(&set_up(id, 3000)).unwrap();
        bed.expect_at_server(id, kind::SET_UP);
        bed.send_from_all_servers(&answer(id));
        (0..2).for_each(|_| bed.run_iteration());
        Some(caller)
    });
    bed.establish_call(10);
    callers[0] = None;
    bed.run_for(0.3);
    bed.send_from_all_servers(&release(1, cause::NORMAL));
    bed.run_for(1.0);
    assert!(callers[1].as_mut().is_some_and(|caller| was_sent_end(caller, 1)));
    assert_eq!(ends_received(&bed, 1), 0);
}
