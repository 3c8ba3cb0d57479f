//! The release of a call that is over reaches its server, also where the connection that it is written to goes in that moment.

use std::time::Duration;

use super::*;

/// Closes a connection with a reset, whatever was read.
fn abort(peer: Peer) {
    socket2::SockRef::from(peer.stream()).set_linger(Some(Duration::ZERO)).unwrap();
}

/// The caller releases its call, and the server resets this connection before that is written.
fn reset_before_the_release(w: &mut World, id: u64, connection: usize) {
    let resetting = w.servers.remove(connection);
    w.caller.send(&release(id, cause::NORMAL)).unwrap();
    w.node.before_writing = Some(Box::new(move || abort(resetting)));
}

fn releases(messages: &[Message], id: u64) -> usize {
    messages.iter().filter(|m| m.call == id && m.kind == kind::RELEASE).count()
}

/// Guards against a call that goes on at its server, as the write of its release failed.
#[test]
fn a_release_whose_write_fails_is_sent_on_the_next_connection() {
    let mut w = World::new(1);
    w.stand(1);
    reset_before_the_release(&mut w, 1, 0);
    w.pass(1.0);
    assert_eq!(releases(&w.at_servers, 1), 1, "{:?}", w.at_servers);
}

/// Guards against a release that waits for a further connection although one is there.
#[test]
fn a_release_whose_write_fails_is_sent_on_a_connection_that_is_left() {
    let mut w = World::new(1);
    w.stand(1);
    // A set-up without a word for 0.25 s brings a second connection; the word then makes the first one the best.
    w.caller.send(&set_up(2, 3000)).unwrap();
    w.pass(0.5);
    assert_eq!(w.servers.len(), 2);
    w.servers[0].send(&hollypaddle_standin::full(2, "throttled")).unwrap();
    w.pass(0.2);
    reset_before_the_release(&mut w, 1, 0);
    let mut left = Vec::new();
    for _ in 0..20 {
        w.node.run_once().unwrap();
        let _ = w.servers[0].read(&mut left);
    }
    assert_eq!(releases(&left, 1), 1, "{left:?}");
}

/// Guards against a call that goes on at its server, which closed the connection with the release unread.
#[test]
fn a_release_left_unread_as_its_server_closes_is_sent_on_the_next_connection() {
    let mut w = World::new(1);
    w.stand(1);
    w.caller.send(&release(1, cause::NORMAL)).unwrap();
    (0..2).for_each(|_| w.node.run_once().unwrap());
    w.servers.clear();
    w.pass(1.0);
    assert_eq!(releases(&w.at_servers, 1), 1, "{:?}", w.at_servers);
}

/// Guards against releases that are lost although more was said behind them.
#[test]
fn all_releases_left_unread_as_their_server_closes_are_sent_on_the_next_connection() {
    let mut w = World::new(1);
    (1..=3).for_each(|id| w.stand(id));
    for id in 1..=3 {
        w.caller.send(&release(id, cause::NORMAL)).unwrap();
    }
    (0..2).for_each(|_| w.node.run_once().unwrap());
    w.servers.clear();
    w.pass(1.0);
    let sent = [1, 2, 3].map(|id| releases(&w.at_servers, id));
    assert_eq!(sent, [1, 1, 1], "{:?}", w.at_servers);
}

/// Guards against a release that its server's close crosses: the close comes first, and the reset after it meets nobody.
#[test]
fn a_release_that_crosses_the_close_of_its_server_is_sent_on_the_next_connection() {
    let mut w = World::new(1);
    w.stand(1);
    let closing = w.servers.remove(0);
    w.caller.send(&release(1, cause::NORMAL)).unwrap();
    w.node.before_writing = Some(Box::new(move || drop(closing)));
    w.pass(1.0);
    assert_eq!(releases(&w.at_servers, 1), 1, "{:?}", w.at_servers);
}

/// Guards against a release on a connection that has fallen silent, closed as answers come on another one.
#[test]
fn a_release_on_a_connection_that_is_overtaken_is_sent_on_the_other_one() {
    let mut w = World::new(1);
    // The module knows that the server takes several at once and holds nothing back.
    (10..20).for_each(|id| w.stand(id));
    w.servers_say(&Message::new(kind::STATE, 0).with(code::REPORT, "eps:0"));
    w.turn();
    let _silent = w.servers.remove(0);
    w.caller.send(&set_up(2, 9000)).unwrap();
    w.caller.send(&release(10, cause::NORMAL)).unwrap();
    w.pass(0.5);
    w.caller.send(&set_up(3, 9000)).unwrap();
    w.at_servers(3, kind::SET_UP);
    assert_eq!(releases(&w.at_servers, 10), 0, "it was sent on the silent one");
    w.servers_say(&answer(3));
    w.pass(0.5);
    assert_eq!(releases(&w.at_servers, 10), 1, "{:?}", w.at_servers);
}
