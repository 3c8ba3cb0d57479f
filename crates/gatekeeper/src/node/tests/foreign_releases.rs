//! Releases that name a call of another connection by its id. The open set-ups of a connection are its own; a call that stands
//! may be released on any connection.

use std::net::Shutdown;

use super::*;

impl TestBed {
    /// Sends messages on a new connection, and runs until they are read.
    fn send_as_another_caller(&mut self, messages: &[Message]) -> Peer {
        let mut other = self.connect_caller();
        for message in messages {
            other.send(message).unwrap();
        }
        (0..4).for_each(|_| self.run_iteration());
        other
    }

    /// Fails the test if a server was told that the call is given up.
    fn assert_not_released(&self, id: u64, when: &str) {
        let released = self.servers_received.iter().any(|m| m.call == id && m.kind == kind::RELEASE);
        assert!(!released, "{when}: {:?}", self.servers_received);
    }

    /// Answers the call from every server, and expects the answer at its caller and its end after that.
    fn establish_and_end(&mut self, id: u64) {
        self.send_from_all_servers(&answer(id));
        self.expect_at_caller(id, kind::ANSWER, None);
        self.send_from_all_servers(&release(id, cause::NORMAL));
        self.expect_at_caller(id, kind::RELEASE, Some(cause::NORMAL));
    }
}

/// Guards against a caller that is never answered: somebody else sends a set-up under the id of its open one and takes it back,
/// or sends a release alone, or leaves.
#[test]
fn an_open_set_up_survives_releases_on_other_connections() {
    let mut bed = TestBed::new(1);
    bed.caller.send(&set_up(1, 3000)).unwrap();
    bed.expect_at_server(1, kind::SET_UP);
    let taken_back = [set_up(1, 3000), release(1, cause::NORMAL)];
    let mut other = bed.send_as_another_caller(&taken_back);
    let mut received = Vec::new();
    other.read(&mut received).unwrap();
    assert_eq!(received.iter().map(|m| (m.call, m.cause())).collect::<Vec<_>>(), [(1, Some(100))]);
    bed.assert_not_released(1, "a set-up under the same id was taken back");
    drop(other);
    (0..4).for_each(|_| bed.run_iteration());
    bed.assert_not_released(1, "its connection was closed");
    bed.send_as_another_caller(&[release(1, cause::NORMAL)]);
    bed.assert_not_released(1, "a release came alone");
    bed.establish_and_end(1);
}

/// Guards against a release on another connection that ends a set-up which waits for a connection to its server.
#[test]
fn a_set_up_that_waits_for_a_server_survives_a_release_on_another_connection() {
    let mut bed = TestBed::new(1);
    let mut other = bed.connect_caller();
    bed.run_iteration();
    bed.servers.clear();
    bed.caller.send(&set_up(1, 3000)).unwrap();
    other.send(&release(1, cause::NORMAL)).unwrap();
    bed.expect_at_server(1, kind::SET_UP);
    bed.establish_and_end(1);
}

/// Guards against a caller that is told of a call that was already released at its server: the server's answer and somebody
/// else's release arrive in one iteration of the event loop.
#[test]
fn a_release_on_another_connection_as_the_answer_arrives_does_not_end_the_call() {
    let mut bed = TestBed::new(1);
    let mut other = bed.connect_caller();
    bed.caller.send(&set_up(1, 3000)).unwrap();
    bed.expect_at_server(1, kind::SET_UP);
    bed.send_from_all_servers(&answer(1));
    other.send(&release(1, cause::NORMAL)).unwrap();
    bed.expect_at_caller(1, kind::ANSWER, None);
    (0..4).for_each(|_| bed.run_iteration());
    bed.assert_not_released(1, "its caller had not been sent the answer");
    bed.send_from_all_servers(&release(1, cause::NORMAL));
    bed.expect_at_caller(1, kind::RELEASE, Some(cause::NORMAL));
}

/// Guards against a caller that is no longer heard: it gives up on its own connection, or leaves, or releases a standing call
/// on another of its connections.
#[test]
fn a_caller_gives_up_on_its_own_connection_and_releases_a_standing_call_on_any() {
    let mut bed = TestBed::new(1);
    bed.caller.send(&set_up(1, 3000)).unwrap();
    bed.expect_at_server(1, kind::SET_UP);
    bed.caller.send(&release(1, cause::NORMAL)).unwrap();
    bed.expect_at_server(1, kind::RELEASE);
    bed.establish_call(2);
    bed.send_as_another_caller(&[release(2, cause::NORMAL)]);
    bed.expect_at_server(2, kind::RELEASE);
    bed.caller.send(&set_up(3, 3000)).unwrap();
    bed.expect_at_server(3, kind::SET_UP);
    bed.caller.stream().shutdown(Shutdown::Both).unwrap();
    bed.expect_at_server(3, kind::RELEASE);
}
