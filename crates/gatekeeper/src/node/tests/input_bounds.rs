//! What is read from one client in an iteration of the event loop is bounded.

use super::*;

/// Maximum number of bytes that may be read from one client in an iteration.
const MAX_BYTES: usize = 4096;
/// Set-ups that wait to be read. They are more than one read of a connection takes.
const WAITING: u64 = 1500;

/// Guards against an iteration that goes on for as long as a client sends: before each reply its connection is read again, and
/// what is read there must not extend the iteration.
#[test]
fn replies_to_a_client_do_not_read_on_beyond_its_bound_in_one_iteration() {
    let mut bed = TestBed::new(1);
    (1..=20).for_each(|id| bed.establish_call(id));
    let mut bytes = Vec::new();
    (1000..1000 + WAITING).for_each(|id| set_up(id, 3000).encode(&mut bytes));
    let message_bytes = bytes.len() / WAITING as usize;
    let mut stream = bed.caller.stream().try_clone().unwrap();
    let writer = std::thread::spawn(move || drop(stream.write_all(&bytes)));
    // The writer may have to wait for the system's buffers to be read.
    std::thread::sleep(std::time::Duration::from_millis(50));
    (1..=20).for_each(|id| bed.send_from_all_servers(&release(id, cause::NORMAL)));
    for _ in 0..3 {
        let before = bed.gatekeeper.open_calls();
        bed.run_iteration();
        let taken = bed.gatekeeper.open_calls() - before;
        assert!(taken <= MAX_BYTES / message_bytes + 1, "{taken} set-ups in one iteration");
        assert!(taken > 0);
    }
    drop(bed);
    writer.join().unwrap();
}

/// Guards against set-ups that are sent on although their caller has closed its connection behind them: the close is seen only after
/// all input before it. A release among that input still counts.
#[test]
fn set_ups_that_are_unread_when_their_caller_closes_are_not_sent_on() {
    let mut bed = TestBed::new(1);
    bed.establish_call(1);
    let mut leaving = bed.connect_caller();
    leaving.send(&set_up(2, 3000)).unwrap();
    bed.expect_at_server(2, kind::SET_UP);
    let mut bytes = Vec::new();
    (1000..1000 + WAITING).for_each(|id| set_up(id, 3000).encode(&mut bytes));
    release(1, cause::NORMAL).encode(&mut bytes);
    let mut stream = leaving.stream().try_clone().unwrap();
    stream.set_nonblocking(false).unwrap();
    let writer = std::thread::spawn(move || {
        stream.write_all(&bytes).unwrap();
        stream.shutdown(std::net::Shutdown::Write).unwrap();
    });
    while !writer.is_finished() {
        std::thread::yield_now();
    }
    bed.run_until("the give-up of the open set-up", |bed| {
        bed.servers_received.iter().any(|m| m.call == 2 && m.kind == kind::RELEASE)
    });
    bed.run_until("the release of the standing call", |bed| {
        bed.servers_received.iter().any(|m| m.call == 1 && m.kind == kind::RELEASE)
    });
    bed.run_for(0.5);
    assert!(bed.set_ups.iter().all(|(_, id)| *id < 1000), "{} were sent on", bed.set_ups.len() - 2);
    assert_eq!(bed.gatekeeper.open_calls(), 0);
}

/// Guards against an id that runs twice because it comes again after its caller has left, also on a connection of somebody else.
#[test]
fn an_id_does_not_run_again_after_its_caller_has_left() {
    let mut bed = TestBed::new(1);
    let mut leaving = bed.connect_caller();
    leaving.send(&set_up(2, 3000)).unwrap();
    bed.expect_at_server(2, kind::SET_UP);
    drop(leaving);
    bed.expect_at_server(2, kind::RELEASE);
    bed.servers_received.clear();
    bed.caller.send(&set_up(2, 3000)).unwrap();
    bed.expect_at_caller(2, kind::RELEASE, Some(cause::INVALID_PARAMETER));
    bed.run_for(0.5);
    assert!(bed.servers_received.iter().all(|m| m.kind != kind::SET_UP), "{:?}", bed.servers_received);
}
