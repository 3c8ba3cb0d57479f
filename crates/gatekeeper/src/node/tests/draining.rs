//! A drained gatekeeper lets its callers go.

use super::call_ends::{assert_told_once, ends_told, with_a_call, with_a_call_of};
use super::*;

impl World {
    /// Drains it.
    fn drain(&mut self) {
        assert_eq!(self.post("/_lameduck/on").0, 200);
    }

    fn caller_is_closed(&mut self) -> bool {
        self.caller.read(&mut self.heard).is_err()
    }
}

fn is_closed(peer: &mut Peer) -> bool {
    peer.read(&mut Vec::new()).is_err()
}

/// Guards against a drained gatekeeper that keeps idle connections, or drops a request of the last moment.
#[test]
fn lameduck_lets_quiet_connections_go_and_answers_the_last_requests() {
    let mut w = World::controlled(1);
    let mut idle = peer(TcpStream::connect(w.node.address()).unwrap());
    w.stand(1);
    assert_eq!(w.post("/_lameduck/on").0, 200);
    let drained = w.node.now();
    // A request on an open connection after the drain is still served.
    w.caller.send(&set_up(2, 3000)).unwrap();
    w.at_servers(2, kind::SET_UP);
    w.servers_say(&answer(2));
    w.heard(2, kind::ANSWER, None);
    // A new connection within the front's 0.2 s is served too.
    let mut late = peer(TcpStream::connect(w.node.address()).unwrap());
    late.send(&set_up(3, 3000)).unwrap();
    w.at_servers(3, kind::SET_UP);
    w.servers_say(&answer(3));
    let mut heard = Vec::new();
    for _ in 0..TURNS {
        w.turn();
        let _ = late.read(&mut heard);
        if heard.iter().any(|m| m.call == 3 && m.kind == kind::ANSWER) {
            break;
        }
    }
    assert!(heard.iter().any(|m| m.call == 3 && m.kind == kind::ANSWER));
    // Within 4 s of the drain every connection that waits for nothing is closed; the process goes on.
    w.pass(3.0);
    assert!(w.node.now() - drained < 4.0);
    let closed = |p: &mut Peer| p.read(&mut Vec::new()).is_err();
    assert!(closed(&mut idle), "the idle connection is closed");
    assert_eq!(w.get("/_ready").0, 503);
    assert!(TcpStream::connect(w.node.address()).is_err(), "a drained listener takes no connection");
    assert!(!control_gone(&mut w), "the process goes on");
    assert_eq!(w.post("/_lameduck/off").0, 200);
    assert_eq!(w.get("/_ready").0, 200);
    // The listener is open again at the next beat.
    w.pass(0.2);
    let mut again = peer(TcpStream::connect(w.node.address()).unwrap());
    again.send(&set_up(4, 3000)).unwrap();
    w.at_servers(4, kind::SET_UP);
}

fn control_gone(w: &mut World) -> bool {
    w.turn();
    w.node.control_address().is_none()
}

/// Guards against an idle connection held past the term for ends that another one, on which calls stand, can take.
#[test]
fn an_idle_connection_does_not_stay_for_ends_that_another_one_can_take() {
    let mut w = World::controlled(1);
    let gone = with_a_call(&mut w);
    let mut idle = with_a_call_of(&mut w, 2);
    w.servers_say(&release(2, cause::NORMAL));
    w.pass(0.2);
    drop(gone);
    w.drain();
    w.pass(3.5);
    assert!(is_closed(&mut idle));
    assert!(!w.caller_is_closed(), "a call stands that came on it");
    w.servers_say(&release(1, cause::NORMAL));
    (0..5).for_each(|_| w.turn());
    assert_told_once(&w, 1);
}

/// Guards against a connection in use held past the term for a call that stands, and against an end that then reaches nobody.
#[test]
fn calls_on_the_last_connection_in_use_are_cut_and_told_before_the_term() {
    let mut w = World::controlled(1);
    w.stand(1);
    w.drain();
    w.pass(2.2);
    w.caller.send(&set_up(2, 3000)).unwrap();
    let refusal = w.heard(2, kind::RELEASE, Some(cause::CONGESTION));
    assert!(refusal.text(code::RETRY_AFTER).unwrap().parse::<u32>().unwrap() > 0);
    assert!(!w.set_ups.contains(&(0, 2)));
    assert!(!w.caller_is_closed(), "nobody else could be told of the end");
    w.pass(1.5);
    w.heard(1, kind::RELEASE, Some(cause::TEMPORARY_FAILURE));
    w.at_servers(1, kind::RELEASE);
    assert!(w.caller_is_closed());
    let vars = w.vars();
    assert_eq!((vars["drain_refused"].as_u64(), vars["drain_cut"].as_u64()), (Some(1), Some(1)));
}

/// Guards against calls cut while a quiet connection is there on which their ends can be told.
#[test]
fn calls_of_a_connection_in_use_outlive_it_where_another_one_stays() {
    let mut w = World::controlled(1);
    w.stand(8);
    let mut busy = with_a_call(&mut w);
    w.drain();
    w.pass(2.2);
    busy.send(&set_up(2, 3000)).unwrap();
    w.pass(0.3);
    assert!(is_closed(&mut busy));
    w.pass(2.0);
    assert!(!w.caller_is_closed());
    assert_eq!(ends_told(&w, 1), 0);
    w.servers_say(&release(1, cause::NORMAL));
    (0..5).for_each(|_| w.turn());
    assert_told_once(&w, 1);
}

/// Guards against all connections closed in one moment as each is busy, with calls that stand on them.
#[test]
fn of_busy_connections_with_standing_calls_one_stays_for_their_ends() {
    let mut w = World::controlled(1);
    let mut other = with_a_call(&mut w);
    w.drain();
    w.pass(1.3);
    w.caller.send(&set_up(2, 3000)).unwrap();
    other.send(&set_up(3, 3000)).unwrap();
    w.at_servers(2, kind::SET_UP);
    w.at_servers(3, kind::SET_UP);
    w.servers_say(&answer(2));
    w.servers_say(&answer(3));
    w.pass(0.4);
    let mut heard = Vec::new();
    let closed = [other.read(&mut heard).is_err(), w.caller_is_closed()];
    assert_eq!(closed.iter().filter(|closed| **closed).count(), 1);
    [1, 2, 3, 9].iter().for_each(|id| w.servers_say(&release(*id, cause::NORMAL)));
    w.pass(0.3);
    let _ = other.read(&mut heard);
    heard.append(&mut w.heard);
    let ends = heard.iter().filter(|message| message.cause() == Some(cause::NORMAL));
    assert_eq!(ends.map(|message| message.call).collect::<BTreeSet<_>>(), BTreeSet::from([1, 2, 3, 9]));
}

/// Guards against ends that are left to a caller which may never read, and against a call cut whose own connection stays.
#[test]
fn only_calls_whose_own_connection_goes_are_cut_where_no_caller_is_known_to_read() {
    let mut w = World::controlled(1);
    let mut asked_once = with_a_call(&mut w);
    w.drain();
    w.pass(2.2);
    w.caller.send(&set_up(2, 3000)).unwrap();
    w.pass(1.5);
    w.heard(9, kind::RELEASE, Some(cause::TEMPORARY_FAILURE));
    assert!(w.caller_is_closed());
    w.servers_say(&release(1, cause::NORMAL));
    let mut heard = Vec::new();
    w.until("the end of the call", |_| asked_once.read(&mut heard).is_err() || !heard.is_empty());
    assert_eq!(heard.first().and_then(Message::cause), Some(cause::NORMAL));
}

/// Guards against a connection in use held past the term for a set-up that waits for a slow server.
#[test]
fn open_set_ups_of_a_connection_in_use_are_answered_before_the_term() {
    let mut w = World::controlled(1);
    w.drain();
    w.caller.send(&set_up(1, 9000)).unwrap();
    w.at_servers(1, kind::SET_UP);
    w.pass(2.2);
    w.caller.send(&set_up(2, 9000)).unwrap();
    w.heard(2, kind::RELEASE, Some(cause::CONGESTION));
    assert!(!w.heard.iter().any(|m| m.call == 1));
    w.pass(1.5);
    w.heard(1, kind::RELEASE, Some(cause::CONGESTION));
    w.at_servers(1, kind::RELEASE);
    assert!(w.caller_is_closed());
    let vars = w.vars();
    assert_eq!((vars["drain_answered"].as_u64(), vars["outstanding"].as_u64()), (Some(1), Some(0)));
    assert_eq!(vars["declined"]["meter-read"], 2);
}

/// Guards against a set-up cut short for the term, on a connection that is neither idle nor in use there.
#[test]
fn a_set_up_that_came_before_the_last_moments_is_served_past_the_term() {
    let mut w = World::controlled(1);
    w.drain();
    w.caller.send(&set_up(1, 9000)).unwrap();
    w.at_servers(1, kind::SET_UP);
    w.pass(4.8);
    w.servers_say(&answer(1));
    w.heard(1, kind::ANSWER, None);
}

/// Guards against a drain that goes on refusing once it was taken back, and against one that counts from an earlier one.
#[test]
fn a_drain_that_was_taken_back_refuses_nothing_and_the_next_one_begins_anew() {
    let mut w = World::controlled(1);
    w.drain();
    w.pass(2.5);
    assert_eq!(w.post("/_lameduck/off").0, 200);
    w.pass(0.2);
    w.caller = w.caller();
    w.stand(1);
    w.drain();
    w.pass(1.0);
    w.stand(2);
}

/// Guards against callers that use a connection past the term, as the program was told to end in the drain.
#[test]
fn a_drain_keeps_its_term_when_the_program_is_told_to_end_meanwhile() {
    let mut w = World::controlled(1);
    w.stand(1);
    w.drain();
    w.pass(0.5);
    w.node.begin_stop(w.node.now());
    w.pass(2.0);
    w.caller.send(&set_up(2, 3000)).unwrap();
    w.heard(2, kind::RELEASE, Some(cause::CONGESTION));
    w.pass(1.3);
    assert!(w.caller_is_closed());
}

/// A caller that reads nothing, to which bytes wait to be written.
fn blocked_caller(w: &mut World) -> Peer {
    w.stand(9);
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    // Set before it connects, so that little is taken for it.
    socket.set_recv_buffer_size(4096).unwrap();
    socket.connect(&w.node.address().into()).unwrap();
    let mut caller = peer(socket.into());
    (0..2).for_each(|_| w.turn());
    w.node.shrink_send_buffers();
    for _ in 0..50 {
        (0..100).for_each(|id| caller.send(&Message::new(kind::TEST, id).caused(0)).map(drop).unwrap());
        w.until("that all is written", |_| caller.flush().is_err() || !caller.blocked());
        (0..3).for_each(|_| w.turn());
        if w.node.blocked_callers() {
            break;
        }
    }
    assert!(w.node.blocked_callers());
    caller
}

/// Whether a connection is over behind what the system holds of it; the gatekeeper has no turn meanwhile.
fn is_over(caller: &mut Peer) -> bool {
    (0..TURNS).any(|_| is_closed(caller))
}

/// Guards against an idle connection held past the term, as its caller does not read.
#[test]
fn an_idle_connection_whose_caller_reads_nothing_is_let_go_by_the_term() {
    let mut w = World::controlled(1);
    let mut blocked = blocked_caller(&mut w);
    w.drain();
    w.pass(3.9);
    assert!(is_over(&mut blocked));
}

/// Guards against a close in the last moments that a caller which does not read never sees.
#[test]
fn a_connection_in_use_whose_caller_reads_nothing_is_let_go_by_the_term() {
    let mut w = World::controlled(1);
    let mut blocked = blocked_caller(&mut w);
    w.drain();
    blocked.send(&set_up(2, 9000)).unwrap();
    w.at_servers(2, kind::SET_UP);
    w.pass(2.2);
    blocked.send(&set_up(3, 9000)).unwrap();
    w.pass(1.7);
    w.at_servers(2, kind::RELEASE);
    assert!(is_over(&mut blocked));
}

/// Guards against a set-up lost whose pieces are further apart than a quiet connection is kept.
#[test]
fn a_set_up_that_comes_slowly_in_a_drain_is_served() {
    let mut w = World::controlled(1);
    w.drain();
    let mut bytes = Vec::new();
    set_up(1, 3000).encode(&mut bytes);
    for piece in bytes.chunks(bytes.len() / 3) {
        w.caller.stream().write_all(piece).unwrap();
        w.pass(0.4);
    }
    w.at_servers(1, kind::SET_UP);
    w.servers_say(&answer(1));
    w.heard(1, kind::ANSWER, None);
}
