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
        w.node.turn().unwrap();
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
    (0..2).for_each(|_| w.node.turn().unwrap());
    w.servers.clear();
    w.pass(1.0);
    assert_eq!(releases(&w.at_servers, 1), 1, "{:?}", w.at_servers);
}
