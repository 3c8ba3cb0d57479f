//! The release of a call that is over reaches its server, also if the connection that it is written to closes at the
//! same time.

use std::time::Duration;

use super::*;

/// Closes a connection with a reset, also if all bytes were read.
fn abort(peer: Peer) {
    socket2::SockRef::from(peer.stream()).set_linger(Some(Duration::ZERO)).unwrap();
}

/// Has the caller release its call, and the server reset this connection before the release is written to it.
fn reset_before_release_is_written(bed: &mut TestBed, id: u64, connection: usize) {
    let resetting = bed.servers.remove(connection);
    bed.caller.send(&release(id, cause::NORMAL)).unwrap();
    bed.gatekeeper.before_writing = Some(Box::new(move || abort(resetting)));
}

fn count_releases(messages: &[Message], id: u64) -> usize {
    messages.iter().filter(|m| m.call == id && m.kind == kind::RELEASE).count()
}

/// Guards against a call that continues at its server because the write of its release failed.
#[test]
fn a_release_whose_write_fails_is_sent_on_the_next_connection() {
    let mut bed = TestBed::new(1);
    bed.establish_call(1);
    reset_before_release_is_written(&mut bed, 1, 0);
    bed.run_for(1.0);
    assert_eq!(count_releases(&bed.servers_received, 1), 1, "{:?}", bed.servers_received);
}

/// Guards against a release that waits for a new connection although another one is open.
#[test]
fn a_release_whose_write_fails_is_sent_on_another_open_connection() {
    let mut bed = TestBed::new(1);
    bed.establish_call(1);
    // A set-up without a reply for 0.25 s opens a second connection; the reply on the first one then makes that the
    // preferred one.
    bed.caller.send(&set_up(2, 3000)).unwrap();
    bed.run_for(0.5);
    assert_eq!(bed.servers.len(), 2);
    bed.servers[0].send(&hollypaddle_standin::full(2, "throttled")).unwrap();
    bed.run_for(0.2);
    reset_before_release_is_written(&mut bed, 1, 0);
    let mut left = Vec::new();
    for _ in 0..20 {
        bed.gatekeeper.run_once().unwrap();
        let _ = bed.servers[0].read(&mut left);
    }
    assert_eq!(count_releases(&left, 1), 1, "{left:?}");
}

/// Guards against a call that continues at its server because the server closed the connection without reading the
/// release.
#[test]
fn a_release_left_unread_as_its_server_closes_is_sent_on_the_next_connection() {
    let mut bed = TestBed::new(1);
    bed.establish_call(1);
    bed.caller.send(&release(1, cause::NORMAL)).unwrap();
    (0..2).for_each(|_| bed.gatekeeper.run_once().unwrap());
    bed.servers.clear();
    bed.run_for(1.0);
    assert_eq!(count_releases(&bed.servers_received, 1), 1, "{:?}", bed.servers_received);
}

/// Guards against the loss of unread releases that have other messages behind them.
#[test]
fn all_releases_left_unread_as_their_server_closes_are_sent_on_the_next_connection() {
    let mut bed = TestBed::new(1);
    (1..=3).for_each(|id| bed.establish_call(id));
    for id in 1..=3 {
        bed.caller.send(&release(id, cause::NORMAL)).unwrap();
    }
    (0..2).for_each(|_| bed.gatekeeper.run_once().unwrap());
    bed.servers.clear();
    bed.run_for(1.0);
    let sent = [1, 2, 3].map(|id| count_releases(&bed.servers_received, id));
    assert_eq!(sent, [1, 1, 1], "{:?}", bed.servers_received);
}

/// Guards against the loss of a release that crosses its server's close: the close arrives first, and the reset after
/// it finds the connection gone.
#[test]
fn a_release_that_crosses_the_close_of_its_server_is_sent_on_the_next_connection() {
    let mut bed = TestBed::new(1);
    bed.establish_call(1);
    let closing = bed.servers.remove(0);
    bed.caller.send(&release(1, cause::NORMAL)).unwrap();
    bed.gatekeeper.before_writing = Some(Box::new(move || drop(closing)));
    bed.run_for(1.0);
    assert_eq!(count_releases(&bed.servers_received, 1), 1, "{:?}", bed.servers_received);
}

/// Guards against the loss of a release on a silent connection, which is closed when answers arrive on another one.
#[test]
fn a_release_on_a_silent_connection_is_sent_on_the_one_that_replaces_it() {
    let mut bed = TestBed::new(1);
    // After these answers the module knows that the server accepts several set-ups at once without delay.
    (10..20).for_each(|id| bed.establish_call(id));
    bed.send_from_all_servers(&Message::new(kind::STATE, 0).with(code::REPORT, "eps:0"));
    bed.run_iteration();
    let _silent = bed.servers.remove(0);
    bed.caller.send(&set_up(2, 9000)).unwrap();
    bed.caller.send(&release(10, cause::NORMAL)).unwrap();
    bed.run_for(0.5);
    bed.caller.send(&set_up(3, 9000)).unwrap();
    bed.expect_at_server(3, kind::SET_UP);
    assert_eq!(
        count_releases(&bed.servers_received, 10),
        0,
        "the release was sent on the silent connection only"
    );
    bed.send_from_all_servers(&answer(3));
    bed.run_for(0.5);
    assert_eq!(count_releases(&bed.servers_received, 10), 1, "{:?}", bed.servers_received);
}
