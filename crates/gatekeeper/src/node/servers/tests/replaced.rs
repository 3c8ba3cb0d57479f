//! A new server at the address of one that is gone.

use hollypaddle_core::calls::{Effect, Reply};
use hollypaddle_platform::message::kind;

use hollypaddle_standin::{answer, Peer};

use super::give_ups::{accept, connected};
use super::*;

/// The pool of the new server.
const SUCCESSOR: PoolId = PoolId(2);

/// A server that dies after call 1 was established there, with a new process at its address that answers call 2 while the list still
/// has the old one alone. Returns the new process's end of a connection.
fn replace(w: &mut TestBed, listener: &std::net::TcpListener, mut old: Peer, started: f64) -> Peer {
    w.attempt(0.2, 1);
    old.send(&answer(1)).unwrap();
    w.step(0.3);
    assert!(w.calls.is_standing(1));
    w.calls.take_events();
    drop(old);
    w.step(0.5);
    let mut through_old_entry = accept(listener);
    listener.set_nonblocking(true).unwrap();
    w.step(0.6);
    w.attempt(1.2, 2);
    through_old_entry.send(&answer(2)).unwrap();
    w.step(1.3);
    assert!(w.calls.is_standing(2));
    w.calls.take_events();
    w.list_all(2.0, 2, &[("s-0", 0.0), ("s-1", started)]);
    w.step(2.1);
    w.step(2.2);
    through_old_entry
}

/// The ids of the calls that were released at the new process, on any of its connections.
fn released(listener: &std::net::TcpListener, first: Peer) -> std::collections::BTreeSet<u64> {
    let accepted = std::iter::from_fn(|| listener.accept().ok());
    let others = accepted.map(|(stream, _)| hollypaddle_standin::peer(stream).unwrap());
    let mut messages = Vec::new();
    // The connections of the old server's entry are closed.
    others.chain([first]).for_each(|mut connection| drop(connection.read(&mut messages)));
    messages.iter().filter(|m| m.kind == kind::RELEASE).map(|m| m.call).collect()
}

fn ends(w: &mut TestBed) -> Vec<u64> {
    let effects = w.calls.take_effects();
    let end = |effect: Effect| match effect {
        Effect::Reply { id, reply: Reply::Ended { .. }, .. } => Some(id),
        _ => None,
    };
    effects.into_iter().filter_map(end).collect()
}

/// Guards against calls of a new server that are cut for their callers, and left standing there, when the list tells that the server
/// is gone that had its address before.
#[test]
fn calls_that_a_new_server_answered_stand_on_when_the_old_one_at_its_address_is_gone() {
    let (mut w, listener, old) = connected();
    let _peer = replace(&mut w, &listener, old, 1.0);
    w.calls.take_effects();
    w.list_all(4.0, 3, &[("s-1", 1.0)]);
    assert_eq!(ends(&mut w), [1], "the old process's call is cut, the new one's is not");
    assert!(w.calls.is_at(SUCCESSOR, 2));
    // The new server's release of the call counts.
    let end = hollypaddle_core::calls::End::with_outcome(hollypaddle_policy::Outcome::Done);
    w.calls.ended(5.0, SUCCESSOR, 2, end);
    assert_eq!(ends(&mut w), [2]);
}

/// Guards against calls that are cut for their callers and left standing at a new server, where it is not known which of them it
/// answered: it gets a release of each.
#[test]
fn calls_that_are_cut_are_released_at_the_new_server_at_the_address() {
    let (mut w, listener, old) = connected();
    let peer = replace(&mut w, &listener, old, 0.0);
    w.calls.take_effects();
    w.list_all(4.0, 3, &[("s-1", 0.0)]);
    w.execute_commands(4.0);
    w.step(4.1);
    assert_eq!(released(&listener, peer), [1, 2].into());
    assert_eq!(w.calls.count(), (0, 0));
}

/// Guards against the loss of the release of an attempt that was open on a connection of the old server's entry.
#[test]
fn an_attempt_that_is_open_when_the_old_server_is_gone_is_released_at_the_new_one() {
    let (mut w, listener, old) = connected();
    let peer = replace(&mut w, &listener, old, 1.0);
    w.attempt(3.0, 3);
    w.list_all(4.0, 3, &[("s-1", 1.0)]);
    w.step(4.1);
    assert!(released(&listener, peer).contains(&3));
}
