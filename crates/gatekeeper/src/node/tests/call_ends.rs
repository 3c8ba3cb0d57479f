//! The end of a call that stood reaches a caller, also where the connection that it is written to goes in that moment.

use std::net::Shutdown;

use super::*;

/// A second caller whose call 1 stands, with the gatekeeper's own caller at hand for what it must hear otherwise.
pub(super) fn with_a_call(w: &mut World) -> Peer {
    w.stand(9);
    with_a_call_of(w, 1)
}

/// A further caller whose call stands.
pub(super) fn with_a_call_of(w: &mut World, id: u64) -> Peer {
    let mut leaving = w.caller();
    leaving.send(&set_up(id, 3000)).unwrap();
    w.at_servers(id, kind::SET_UP);
    w.servers_say(&answer(id));
    let mut heard = Vec::new();
    w.until("that the call stands", |_| leaving.read(&mut heard).is_err() || !heard.is_empty());
    assert_eq!(heard.first().map(|m| m.kind), Some(kind::ANSWER));
    // The poller tells what was ready last time first; after turns without news, what comes first comes first.
    (0..2).for_each(|_| w.turn());
    leaving
}

pub(super) fn ends_told(w: &World, id: u64) -> usize {
    w.heard.iter().filter(|m| m.call == id && m.kind == kind::RELEASE).count()
}

/// A caller whose call stands and who has not read its answer.
pub(super) fn with_an_unread_answer(w: &mut World, id: u64) -> Peer {
    w.stand(9);
    let mut leaving = w.caller();
    leaving.send(&set_up(id, 3000)).unwrap();
    w.at_servers(id, kind::SET_UP);
    w.servers_say(&answer(id));
    (0..2).for_each(|_| w.turn());
    leaving
}

/// Exactly one release of the call came to another caller, with the end's cause, and no answer of it.
pub(super) fn assert_told_once(w: &World, id: u64) {
    let of_call: Vec<_> = w.heard.iter().filter(|m| m.call == id).map(|m| (m.kind, m.cause())).collect();
    assert_eq!(of_call, [(kind::RELEASE, Some(cause::NORMAL))]);
}

/// The end comes, and the caller closes once all of the turn is read: another connection hears of it, once.
#[test]
fn an_end_written_as_its_caller_closes_is_told_on_another_connection() {
    let mut w = World::new(1);
    let leaving = with_a_call(&mut w);
    w.servers_say(&release(1, cause::NORMAL));
    w.node.before_writing = Some(Box::new(move || drop(leaving)));
    w.pass(1.0);
    assert_eq!(ends_told(&w, 1), 1, "{:?}", w.heard);
}

/// Guards against an end lost with a connection that is half-closed as it is written, and reset a little later, as over a network.
#[test]
fn an_end_whose_connection_is_reset_after_its_close_is_told_on_another_connection() {
    let mut w = World::new(1);
    let leaving = with_a_call(&mut w);
    let closing = leaving.stream().try_clone().unwrap();
    w.servers_say(&release(1, cause::NORMAL));
    w.node.after_next_poll(move || closing.shutdown(Shutdown::Write).unwrap());
    (0..2).for_each(|_| w.turn());
    assert_eq!(ends_told(&w, 1), 0);
    drop(leaving);
    w.pass(1.0);
    assert_told_once(&w, 1);
}

/// Guards against an end told twice, or not at all, whose connection is found half-closed before it is written.
#[test]
fn an_end_whose_connection_is_found_half_closed_is_told_on_another_connection() {
    let mut w = World::new(1);
    let leaving = with_a_call(&mut w);
    let closing = leaving.stream().try_clone().unwrap();
    w.servers_say(&release(1, cause::NORMAL));
    w.node.before_writing = Some(Box::new(move || closing.shutdown(Shutdown::Write).unwrap()));
    (0..2).for_each(|_| w.turn());
    assert_told_once(&w, 1);
    drop(leaving);
    w.pass(1.0);
    assert_told_once(&w, 1);
}

/// The caller closes with the end unread: its connection is reset.
#[test]
fn an_end_left_unread_as_its_caller_closes_is_told_on_another_connection() {
    let mut w = World::new(1);
    let leaving = with_a_call(&mut w);
    w.servers_say(&release(1, cause::NORMAL));
    (0..2).for_each(|_| w.turn());
    assert_eq!(ends_told(&w, 1), 0);
    drop(leaving);
    w.pass(1.0);
    assert_eq!(ends_told(&w, 1), 1, "{:?}", w.heard);
}

/// Nobody else is there who was told of a call: the end is kept for a moment and then told to whoever is.
#[test]
fn an_end_whose_caller_was_the_last_waits_for_the_next_one() {
    let mut w = World::new(1);
    let leaving = with_a_call(&mut w);
    w.caller = w.caller();
    (0..2).for_each(|_| w.turn());
    w.servers_say(&release(1, cause::NORMAL));
    w.node.before_writing = Some(Box::new(move || drop(leaving)));
    w.pass(1.0);
    assert_eq!(ends_told(&w, 1), 1, "{:?}", w.heard);
}

/// A caller that reads the end and closes then has heard it: nobody else does.
#[test]
fn an_end_that_was_read_is_told_once() {
    let mut w = World::new(1);
    let mut leaving = with_a_call(&mut w);
    w.servers_say(&release(1, cause::NORMAL));
    let mut heard = Vec::new();
    w.until("the end", |_| leaving.read(&mut heard).is_err() || !heard.is_empty());
    assert_eq!(heard.first().map(|m| (m.call, m.kind)), Some((1, kind::RELEASE)));
    drop(leaving);
    w.pass(1.0);
    assert_eq!(ends_told(&w, 1), 0, "{:?}", w.heard);
}

/// Of two ends the first is read and the second is not: the second is told elsewhere, the first is not told again.
#[test]
fn an_end_that_was_read_before_one_that_was_not_is_told_once() {
    let mut w = World::new(1);
    let mut leaving = with_a_call(&mut w);
    leaving.send(&set_up(2, 3000)).unwrap();
    w.at_servers(2, kind::SET_UP);
    w.servers_say(&answer(2));
    (0..2).for_each(|_| w.turn());
    w.servers_say(&release(1, cause::NORMAL));
    let mut heard = Vec::new();
    let is_end = |m: &Message| (m.call, m.kind) == (1, kind::RELEASE);
    w.until("the first end", |_| leaving.read(&mut heard).is_err() || heard.iter().any(is_end));
    w.servers_say(&release(2, cause::NORMAL));
    (0..2).for_each(|_| w.turn());
    drop(leaving);
    w.pass(1.0);
    assert_eq!((ends_told(&w, 1), ends_told(&w, 2)), (0, 1), "{:?}", w.heard);
}

/// Guards against an end lost for the reason that the answer before it was not read either: it is owed all the same, once.
#[test]
fn an_end_left_unread_behind_its_answer_is_told_on_another_connection() {
    let mut w = World::new(1);
    let leaving = with_an_unread_answer(&mut w, 1);
    w.servers_say(&release(1, cause::NORMAL));
    (0..2).for_each(|_| w.turn());
    drop(leaving);
    w.pass(1.0);
    assert_told_once(&w, 1);
}

/// Guards against the same where the end comes after its caller has left.
#[test]
fn an_end_that_comes_after_its_answer_was_left_unread_is_told_on_another_connection() {
    let mut w = World::new(1);
    let leaving = with_an_unread_answer(&mut w, 1);
    drop(leaving);
    (0..2).for_each(|_| w.turn());
    w.servers_say(&release(1, cause::NORMAL));
    w.pass(1.0);
    assert_told_once(&w, 1);
}

/// Guards against an end lost with its connection where the caller closes between the look at it and the write.
#[test]
fn an_end_whose_caller_closes_after_the_last_look_is_told_on_another_connection() {
    let mut w = World::new(1);
    let leaving = with_a_call(&mut w);
    w.servers_say(&release(1, cause::NORMAL));
    w.node.after_next_poll(move || drop(leaving));
    w.pass(1.0);
    assert_eq!(ends_told(&w, 1), 1, "{:?}", w.heard);
}

/// Guards against an end told to a connection that is closed in the same turn as the caller's own one.
#[test]
fn an_end_is_told_on_a_connection_that_is_still_there() {
    let mut w = World::new(1);
    let leaving = with_a_call(&mut w);
    let newest = with_a_call_of(&mut w, 2);
    w.servers_say(&release(1, cause::NORMAL));
    w.node.before_writing = Some(Box::new(move || drop((leaving, newest))));
    w.pass(1.0);
    assert_eq!(ends_told(&w, 1), 1, "{:?}", w.heard);
}

/// Guards against a call that stands for nobody: its answer is written to a connection that its caller closes in that moment.
#[test]
fn an_answer_written_as_its_caller_closes_leaves_no_call_behind() {
    let mut w = World::new(1);
    w.stand(9);
    let mut leaving = w.caller();
    leaving.send(&set_up(1, 3000)).unwrap();
    w.at_servers(1, kind::SET_UP);
    w.servers_say(&answer(1));
    w.node.before_writing = Some(Box::new(move || drop(leaving)));
    w.at_servers(1, kind::RELEASE);
    w.servers_say(&release(1, cause::NORMAL));
    w.pass(1.0);
    assert_eq!(ends_told(&w, 1), 0, "{:?}", w.heard);
}

/// Guards against an answer to a caller that cancelled between the read of a turn and its writes.
#[test]
fn an_answer_that_crosses_its_callers_cancel_is_released_and_not_told() {
    let mut w = World::new(1);
    w.stand(9);
    w.caller.send(&set_up(1, 3000)).unwrap();
    w.at_servers(1, kind::SET_UP);
    w.servers_say(&answer(1));
    let cancelling = w.caller.stream().try_clone().unwrap();
    w.node.before_writing = Some(Box::new(move || {
        let mut bytes = Vec::new();
        release(1, cause::NORMAL).encode(&mut bytes);
        (&cancelling).write_all(&bytes).unwrap();
    }));
    w.at_servers(1, kind::RELEASE);
    assert!(w.heard.iter().all(|m| m.call != 1), "{:?}", w.heard);
}

/// Guards against the same where the caller shuts its connection down both ways: a reset follows the close.
#[test]
fn an_end_left_unread_behind_its_answer_by_a_caller_that_shuts_down_is_told_on_another_connection() {
    let mut w = World::new(1);
    let leaving = with_an_unread_answer(&mut w, 1);
    let closing = leaving.stream().try_clone().unwrap();
    w.servers_say(&release(1, cause::NORMAL));
    w.node.after_next_poll(move || closing.shutdown(Shutdown::Both).unwrap());
    (0..2).for_each(|_| w.turn());
    drop(leaving);
    w.pass(1.0);
    assert_told_once(&w, 1);
}

/// Guards against ends left unread by callers that ask once, while another one asks again and reads.
#[test]
fn an_end_whose_connection_is_gone_goes_to_a_caller_that_asks_again() {
    let mut w = World::new(1);
    w.stand(8);
    let gone = with_a_call(&mut w);
    let asked_once = with_a_call_of(&mut w, 2);
    drop(gone);
    w.pass(0.3);
    w.servers_say(&release(1, cause::NORMAL));
    (0..5).for_each(|_| w.turn());
    assert_told_once(&w, 1);
    drop(asked_once);
}
