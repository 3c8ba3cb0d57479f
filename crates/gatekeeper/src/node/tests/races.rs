//! Race conditions, each forced: events of two peers arrive in one iteration of the event loop, in the order that the
//! test sets, or before the gatekeeper polls. docs/ARCHITECTURE.md has a table of these cases.

use std::io::Read;
use std::net::Shutdown;

use super::*;
use hollypaddle_platform::connection::CloseReason;

/// A set-up with a description of 15,000 bytes, near the limit of a message.
fn large_set_up(id: u64) -> Message {
    let plain = set_up(id, 9000);
    [code::CLASS, code::WAIT, code::NUMBER, code::ATTRIBUTES]
        .into_iter()
        .fold(Message::new(kind::SET_UP, id), |m, code| m.with(code, plain.bytes(code).unwrap()))
        .with(code::DESCRIPTION, vec![7; 15_000])
}

impl TestBed {
    pub(super) fn connect_caller(&self) -> Peer {
        peer(TcpStream::connect(self.gatekeeper.address()).unwrap())
    }

    /// Runs one iteration in which the servers read nothing.
    fn run_iteration_without_servers(&mut self) {
        self.gatekeeper.run_once().unwrap();
        let _ = self.caller.read(&mut self.caller_received);
    }

    /// A test bed with one server, whose connections have a small receive buffer.
    fn with_small_receive_buffer(sockets: usize) -> TestBed {
        let mut bed = TestBed::new(1);
        socket2::SockRef::from(&bed.listeners[0]).set_recv_buffer_size(4096).unwrap();
        let mut config = config(&bed.listeners, &bed.dns);
        (config.max_sockets, config.memory_bytes) = (sockets, 512 << 20);
        // The clock stands still, so that the server does not count as silent.
        bed.gatekeeper = Gatekeeper::with_clock(config, Clock::manual(TEST_START_S)).unwrap();
        bed.servers.clear();
        bed.run_until("another connection", |bed| !bed.servers.is_empty());
        bed.caller = bed.connect_caller();
        bed
    }

    /// Sends large set-ups from several callers in turn until the only connection to the server is full and the last
    /// one is written in part. Returns the id of that one, and the callers with its own first.
    fn block_server_connection(&mut self) -> (u64, Vec<Peer>) {
        let mut callers: Vec<Peer> = (0..4).map(|_| self.connect_caller()).collect();
        for id in 1_000..3_000 {
            callers.rotate_right(1);
            callers[0].send(&large_set_up(id)).unwrap();
            (0..2).for_each(|_| self.run_iteration_without_servers());
            if self.gatekeeper.half_written() == 1 {
                return (id, callers);
            }
        }
        panic!("the connection to the server did not fill up");
    }

    /// Number of set-ups of the call that servers received.
    fn set_ups_received(&self, id: u64) -> usize {
        self.servers_received.iter().filter(|m| m.call == id && m.kind == kind::SET_UP).count()
    }
}

/// Guards against an attempt for a caller that closes, resets or cancels right after its set-up: all of it is there
/// before the gatekeeper polls, as after a second without a processor.
#[test]
fn a_caller_that_disconnects_before_its_set_up_is_read_starts_no_attempt() {
    type Leave = fn(&mut Peer, u64);
    let close: Leave = |c, _| c.stream().shutdown(Shutdown::Both).unwrap();
    let cancel: Leave = |c, id| assert!(c.send(&release(id, cause::NORMAL)).is_ok());
    for (id, leave) in [(1, close), (2, cancel)] {
        let mut bed = TestBed::new(1);
        let mut caller = bed.connect_caller();
        (0..2).for_each(|_| bed.run_iteration());
        caller.send(&set_up(id, 3000)).unwrap();
        leave(&mut caller, id);
        bed.run_for(0.5);
        assert_eq!(
            bed.set_ups_received(id),
            0,
            "an attempt for a caller that had disconnected: {:?}",
            bed.servers_received
        );
    }
}

/// Guards against an attempt for a set-up that waits for a connection, if the connection opens and then the caller
/// disconnects in one iteration.
#[test]
fn a_server_connection_that_opens_as_the_caller_disconnects_starts_no_attempt() {
    let mut bed = TestBed::new(1);
    let mut leaving = bed.connect_caller();
    let mut staying = bed.connect_caller();
    (0..2).for_each(|_| bed.run_iteration());
    // The server closes its connection: the next one is being opened when the set-ups are decided.
    bed.servers.clear();
    leaving.send(&set_up(1, 3000)).unwrap();
    staying.send(&set_up(2, 3000)).unwrap();
    bed.run_iteration_without_servers();
    drop(leaving);
    bed.run_for(0.3);
    assert_eq!((bed.set_ups_received(1), bed.set_ups_received(2)), (0, 1), "{:?}", bed.servers_received);
}

/// Guards against a further attempt if a server refuses a set-up and then its caller disconnects in one iteration.
#[test]
fn a_refusal_as_the_caller_disconnects_starts_no_further_attempt() {
    let mut bed = TestBed::new(2);
    let mut leaving = bed.connect_caller();
    leaving.send(&set_up(1, 3000)).unwrap();
    bed.expect_at_server(1, kind::SET_UP);
    (0..2).for_each(|_| bed.run_iteration());
    bed.send_from_all_servers(&hollypaddle_standin::full(1, "throttled"));
    drop(leaving);
    bed.run_for(0.5);
    assert_eq!(bed.set_ups_received(1), 1, "{:?}", bed.servers_received);
}

/// Guards against a call that stands at the server without a caller, and against its end sent to another caller, if
/// the answer arrives and then the caller disconnects in one iteration.
#[test]
fn an_answer_whose_caller_disconnects_with_it_releases_the_call() {
    let mut bed = TestBed::new(1);
    bed.establish_call(9);
    for with_end in [false, true] {
        let id = 1 + u64::from(with_end);
        let mut leaving = bed.connect_caller();
        leaving.send(&set_up(id, 3000)).unwrap();
        bed.expect_at_server(id, kind::SET_UP);
        // The poller reports first what was ready the last time; after idle iterations it reports in order of arrival.
        (0..2).for_each(|_| bed.run_iteration());
        bed.send_from_all_servers(&answer(id));
        if with_end {
            bed.send_from_all_servers(&release(id, cause::NORMAL));
        }
        drop(leaving);
        if !with_end {
            bed.expect_at_server(id, kind::RELEASE);
        }
        bed.run_for(0.5);
        assert!(
            !bed.caller_received.iter().any(|m| m.call == id),
            "sent to another caller: {:?}",
            bed.caller_received
        );
    }
    let figures = serde_json::to_value(bed.gatekeeper.figures_now()).unwrap();
    assert_eq!(figures["outstanding"], 1);
}

/// Guards against a set-up that arrives complete although its caller disconnected when half of it was written to a
/// server that reads nothing. A set-up that waits behind it, and whose caller stays, is not lost.
#[test]
fn a_half_written_set_up_whose_caller_disconnects_never_arrives_complete() {
    let mut bed = TestBed::with_small_receive_buffer(64);
    let (half_written_id, mut callers) = bed.block_server_connection();
    // A set-up that arrives now waits behind it.
    bed.caller.send(&set_up(1, 9000)).unwrap();
    bed.run_iteration_without_servers();
    drop(callers.remove(0));
    bed.run_iteration_without_servers();
    // The server reads everything.
    (0..MAX_ITERATIONS).for_each(|_| bed.run_iteration());
    bed.run_for(0.5);
    assert_eq!(
        bed.set_ups_received(half_written_id),
        0,
        "the set-up arrived although its caller had disconnected"
    );
    assert_eq!(bed.set_ups_received(1_000), 1, "the first set-up arrives complete");
    assert_eq!(bed.set_ups_received(1), 1, "the waiting set-up is sent on another connection");
}

/// Guards against a set-up that waits until its deadline for a blocked connection, if descriptors allow only one to
/// the server: it is refused after the time in which a connection has to open.
#[test]
fn a_set_up_that_no_connection_accepts_is_refused_before_its_deadline() {
    // With 24 sockets, callers may have seven connections.
    let mut bed = TestBed::with_small_receive_buffer(24);
    let _callers = bed.block_server_connection();
    bed.caller.send(&set_up(1, 9000)).unwrap();
    bed.run_iteration_without_servers();
    let sent_at = bed.gatekeeper.now();
    while bed.caller_received.is_empty() && bed.gatekeeper.now() - sent_at < 9.0 {
        bed.gatekeeper.advance_clock(0.05);
        bed.run_iteration_without_servers();
    }
    let elapsed_s = bed.gatekeeper.now() - sent_at;
    assert!(elapsed_s < 1.5, "answered after {elapsed_s} s: {:?}", bed.caller_received);
}

/// Guards against the loss of a set-up on the connection that was idle for longest, which is closed to make room for a
/// new caller: the connect and then the set-up are both there before the gatekeeper polls.
#[test]
fn a_connection_closed_to_make_room_is_read_before_the_close() {
    let mut bed = TestBed::new(1);
    bed.caller.send(&set_up(1, 9000)).unwrap();
    bed.expect_at_server(1, kind::SET_UP);
    let mut others: Vec<Peer> = (0..43).map(|_| bed.connect_caller()).collect();
    (0..4).for_each(|_| bed.run_iteration());
    bed.gatekeeper.advance_clock(0.3);
    bed.run_iteration();
    let _one_more = bed.connect_caller();
    let oldest = others.first_mut().unwrap();
    oldest.send(&set_up(2, 3000)).unwrap();
    bed.expect_at_server(2, kind::SET_UP);
    bed.send_from_all_servers(&answer(2));
    let mut received = Vec::new();
    bed.run_until("the answer", |_| others[0].read(&mut received).is_err() || !received.is_empty());
    assert_eq!(
        received.first().map(|m| (m.call, m.kind)),
        Some((2, kind::ANSWER)),
        "the answer was lost with its connection"
    );
}

/// Guards against a reset of a connection that is closed because of invalid bytes, with more of them unread: the
/// caller must be able to read every answer and then the end of the stream.
#[test]
fn a_connection_closed_with_unread_bytes_is_not_reset() {
    let mut bed = TestBed::new(1);
    let bad = bed.connect_caller();
    let mut stream = bad.stream().try_clone().unwrap();
    let mut bytes = Vec::new();
    Message::new(kind::TEST, 1).with_cause(0).encode(&mut bytes);
    bytes.extend(vec![0xff; 300_000]);
    // All bytes are there before the first poll: a later write would consume the reset error that the read must see.
    let sent = stream.write(&bytes).unwrap();
    assert!(sent > 100_000);
    let mut received = Vec::new();
    for _ in 0..MAX_ITERATIONS {
        bed.run_iteration();
        let mut chunk = [0; 4096];
        match stream.read(&mut chunk) {
            Ok(0) => {
                assert!(!received.is_empty(), "the answer to the valid message is lost");
                return;
            }
            Ok(n) => received.extend_from_slice(&chunk[..n]),
            Err(error) => assert_eq!(error.kind(), ErrorKind::WouldBlock, "reset"),
        }
    }
    panic!("the connection was not closed");
}

/// Guards against a connection kept for ever after the gatekeeper closed it, if its caller never closes its own side.
#[test]
fn a_closed_connection_is_dropped_after_a_bounded_time() {
    let mut bed = TestBed::new(1);
    let mut silent = bed.connect_caller();
    bed.run_for(2.2);
    assert!(matches!(silent.read(&mut Vec::new()), Err(CloseReason::Closed)));
    // A set-up sent from now on crosses the close and is not answered; the caller sends it again on a new connection.
    drop(silent.send(&set_up(1, 3000)));
    bed.run_for(0.3);
    assert_eq!(bed.set_ups_received(1), 0);
    bed.run_for(1.2);
    let closed = (0..MAX_ITERATIONS).any(|_| {
        bed.run_iteration();
        silent.send(&set_up(1, 3000)).is_err()
    });
    assert!(closed, "the connection is still open");
}

/// Guards against the loss of a set-up that arrives between the last poll and the end of the program. Replies that
/// cannot be written at once are written for as long as the shutdown allows.
#[test]
fn a_set_up_that_arrives_after_the_last_poll_is_refused_and_not_lost() {
    let mut bed = TestBed::new(1);
    bed.run_iteration();
    bed.caller.send(&set_up(1, 3000)).unwrap();
    let now = bed.gatekeeper.now();
    bed.gatekeeper.finish(now).unwrap();
    let mut end = Ok(());
    for _ in 0..MAX_ITERATIONS {
        end = bed.caller.read(&mut bed.caller_received);
        if end.is_err() {
            break;
        }
    }
    assert!(matches!(end, Err(CloseReason::Closed)), "{end:?}");
    assert_eq!(bed.caller_received.len(), 1, "{:?}", bed.caller_received);
    let refusal = &bed.caller_received[0];
    assert_eq!((refusal.call, refusal.cause()), (1, Some(cause::CONGESTION)));
    let wait: u32 = refusal.text(code::RETRY_AFTER).unwrap().parse().unwrap();
    assert!(wait > 0 && wait <= 2000, "{wait}");
}

/// Guards against a refusal at shutdown of a call that has an open attempt and whose class may not simply be repeated:
/// a refusal says that a retry is harmless, so the call has to fail.
#[test]
fn a_call_that_may_have_run_fails_at_shutdown_instead_of_being_refused() {
    for (effect, expected_cause) in
        [("read_like", cause::CONGESTION), ("non_idempotent", cause::TEMPORARY_FAILURE)]
    {
        let mut bed = TestBed::with_config(1, |_| {});
        let text = config_text(&bed.listeners, &bed.dns).replace("read_like", effect);
        bed.gatekeeper = Gatekeeper::new(Config::parse("n0".into(), "127.0.0.1:0", &text).unwrap()).unwrap();
        bed.servers.clear();
        bed.caller = bed.connect_caller();
        bed.run_until("a connection to the server", |bed| !bed.servers.is_empty());
        bed.caller.send(&set_up(1, 3000)).unwrap();
        bed.expect_at_server(1, kind::SET_UP);
        let now = bed.gatekeeper.now();
        bed.gatekeeper.finish(now).unwrap();
        let _ = bed.caller.read(&mut bed.caller_received);
        assert_eq!(
            bed.caller_received.iter().map(|m| m.cause()).collect::<Vec<_>>(),
            [Some(expected_cause)],
            "{effect}"
        );
    }
}

/// Guards against a retry time in a refusal although the settings forbid it, and against one above `maxRetryAfter`.
#[test]
fn refusals_carry_a_retry_time_only_if_the_settings_allow_it() {
    for (allowed, max_retry_after_s) in [(true, "0.3"), (false, "2.0")] {
        let mut bed = TestBed::new(1);
        let text = config_text(&bed.listeners, &bed.dns)
            .replace("\"retryAfter\":true", &format!("\"retryAfter\":{allowed}"))
            .replace("\"maxRetryAfter\":2.0", &format!("\"maxRetryAfter\":{max_retry_after_s}"));
        bed.gatekeeper = Gatekeeper::new(Config::parse("n0".into(), "127.0.0.1:0", &text).unwrap()).unwrap();
        bed.caller = bed.connect_caller();
        bed.caller.send(&set_up(1, 300)).unwrap();
        bed.run_iteration();
        bed.caller.send(&set_up(2, 3000)).unwrap();
        bed.run_iteration();
        bed.gatekeeper.advance_clock(0.35);
        bed.expect_at_caller(1, kind::RELEASE, Some(cause::CONGESTION));
        let now = bed.gatekeeper.now();
        bed.gatekeeper.finish(now).unwrap();
        bed.run_until("both answers", |bed| bed.caller_received.len() == 2);
        for refusal in &bed.caller_received {
            let retry_after_ms: Option<u32> = refusal.text(code::RETRY_AFTER).map(|t| t.parse().unwrap());
            assert_eq!(retry_after_ms.is_some(), allowed, "{refusal:?}");
            assert!(retry_after_ms.is_none_or(|ms| ms > 0 && ms <= 300), "{refusal:?}");
        }
    }
}

/// Guards against an attempt that no caller waits for: the connection for a set-up opens when its time has expired and
/// its timer has not fired yet, as timers are coarse.
#[test]
fn a_set_up_whose_time_has_expired_is_not_sent() {
    let mut bed = TestBed::new(1);
    bed.gatekeeper = Gatekeeper::with_clock(config(&bed.listeners, &bed.dns), Clock::manual(1e9)).unwrap();
    bed.servers.clear();
    bed.run_until("a connection to the server", |bed| !bed.servers.is_empty());
    bed.caller = bed.connect_caller();
    (0..2).for_each(|_| bed.run_iteration());
    bed.servers.clear();
    bed.caller.send(&set_up(1, 298)).unwrap();
    bed.run_iteration_without_servers();
    bed.gatekeeper.advance_clock(0.299);
    (0..2).for_each(|_| bed.run_iteration());
    bed.run_for(0.5);
    assert_eq!(bed.set_ups_received(1), 0, "{:?}", bed.servers_received);
    bed.expect_at_caller(1, kind::RELEASE, None);
}

/// Guards against a connection closed as idle during a long call: the end would find no caller. It is the caller's own
/// connection or, if that has closed, the one that is left.
#[test]
fn a_connection_needed_for_the_end_of_a_call_is_not_closed_as_idle() {
    for own_connection_closed in [false, true] {
        let mut bed = TestBed::new(1);
        bed.establish_call(1);
        if own_connection_closed {
            bed.caller = bed.connect_caller();
            bed.establish_call(2);
            bed.send_from_all_servers(&release(2, cause::NORMAL));
            bed.expect_at_caller(2, kind::RELEASE, Some(cause::NORMAL));
        }
        bed.run_for(20.0);
        bed.send_from_all_servers(&release(1, cause::NORMAL));
        bed.run_for(0.9);
        let end_received = bed.caller_received.iter().any(|m| m.call == 1 && m.kind == kind::RELEASE);
        assert!(end_received, "own connection closed: {own_connection_closed}, {:?}", bed.caller_received);
    }
}

/// Guards against refusals that arrive after their callers have given up, or much too early. Two callers wait 155 and
/// 700 ms for a server that does not reply; measured on the gatekeeper's clock, a caller's time runs out some
/// milliseconds earlier.
#[test]
fn a_refusal_at_the_deadline_arrives_before_the_caller_gives_up() {
    let mut bed = TestBed::with_small_receive_buffer(64);
    for (id, wait, early, due) in [(1, 155, 0.140, 0.151), (2, 700, 0.685, 0.696)] {
        let start = bed.gatekeeper.now();
        bed.caller.send(&set_up(id, wait)).unwrap();
        bed.expect_at_server(id, kind::SET_UP);
        let until = |bed: &TestBed, time: f64| start + time - bed.gatekeeper.now();
        bed.gatekeeper.advance_clock(until(&bed, early));
        (0..20).for_each(|_| bed.run_iteration());
        assert!(
            !bed.caller_received.iter().any(|m| m.call == id),
            "refused long before the end of {wait} ms"
        );
        bed.gatekeeper.advance_clock(until(&bed, due));
        (0..20).for_each(|_| bed.run_iteration());
        assert!(
            bed.caller_received.iter().any(|m| m.call == id),
            "no answer while its caller waits {wait} ms"
        );
        bed.expect_at_caller(id, kind::RELEASE, Some(cause::CONGESTION));
    }
}

/// Guards against the loss of an answer whose caller's connection is closed to make room in the iteration in which it
/// arrives.
#[test]
fn a_connection_whose_answer_has_just_arrived_is_not_closed_to_make_room() {
    let mut bed = TestBed::with_manual_clock(1);
    bed.caller.send(&set_up(1, 9000)).unwrap();
    bed.expect_at_server(1, kind::SET_UP);
    let mut others: Vec<Peer> = (0..80).map(|_| bed.connect_caller()).collect();
    for (id, other) in (100..).zip(&mut others) {
        other.send(&set_up(id, 9000)).unwrap();
    }
    // The caller limit is reached, other callers wait in the queue, and the listener is not polled until the next
    // periodic check.
    bed.run_for(0.4);
    (0..3).for_each(|_| bed.run_iteration());
    let server = bed.servers[0].stream().try_clone().unwrap();
    bed.gatekeeper.before_writing = Some(Box::new(move || {
        let mut bytes = Vec::new();
        answer(1).encode(&mut bytes);
        release(1, cause::NORMAL).encode(&mut bytes);
        (&server).write_all(&bytes).unwrap();
    }));
    // The answer arrives before the check of the queue, which is due; both are handled in the next iteration.
    bed.gatekeeper.advance_clock(0.06);
    bed.run_iteration();
    bed.expect_at_caller(1, kind::ANSWER, None);
}
