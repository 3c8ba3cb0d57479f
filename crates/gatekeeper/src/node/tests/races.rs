//! Rare moments, each forced: what two peers do comes together in one turn, in the order that a test gives it, or is there
//! before the gatekeeper looks. docs/ARCHITECTURE.md has the table of moments.

use std::io::Read;
use std::net::Shutdown;

use super::*;
use hollypaddle_platform::connection::Over;

/// Set-ups with a description as large as a message may hold.
fn large_set_up(id: u64) -> Message {
    let figures = set_up(id, 9000);
    [code::CLASS, code::WAIT, code::NUMBER, code::FIGURES]
        .into_iter()
        .fold(Message::new(kind::SET_UP, id), |m, code| m.with(code, figures.bytes(code).unwrap()))
        .with(code::DESCRIPTION, vec![7; 15_000])
}

impl TestBed {
    pub(super) fn connect_caller(&self) -> Peer {
        peer(TcpStream::connect(self.gatekeeper.address()).unwrap())
    }

    /// A turn in which the servers' sides are not read.
    fn run_iteration_without_servers(&mut self) {
        self.gatekeeper.run_once().unwrap();
        let _ = self.caller.read(&mut self.caller_received);
    }

    /// One server whose connection takes little at once.
    fn with_small_receive_buffer(sockets: usize) -> TestBed {
        let mut bed = TestBed::new(1);
        socket2::SockRef::from(&bed.listeners[0]).set_recv_buffer_size(4096).unwrap();
        let mut config = config(&bed.listeners, &bed.dns);
        (config.max_sockets, config.memory_bytes) = (sockets, 512 << 20);
        // Time stands still, so that the server is not silent.
        bed.gatekeeper = Gatekeeper::with_clock(config, Clock::manual(1e9)).unwrap();
        bed.servers.clear();
        bed.run_until("another connection", |bed| !bed.servers.is_empty());
        bed.caller = bed.connect_caller();
        bed
    }

    /// Large set-ups of a few callers in turn, until the only connection to the server takes no more and has half of the last
    /// one. Returns its id and the callers, its own first.
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
        panic!("nothing is blocked");
    }

    fn set_ups_received(&self, id: u64) -> usize {
        self.servers_received.iter().filter(|m| m.call == id && m.kind == kind::SET_UP).count()
    }
}

/// The caller leaves right behind its set-up, by closing, by a reset or by a cancel: all of it is there before the
/// gatekeeper looks, as after a second without a processor. No attempt begins.
#[test]
fn a_caller_that_left_before_its_set_up_was_read_starts_nothing() {
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
            "an attempt for a caller that had left: {:?}",
            bed.servers_received
        );
    }
}

/// A set-up waits for a connection; the connection comes up, and the caller leaves, in one turn and in this order.
#[test]
fn a_connection_that_comes_up_as_the_caller_leaves_brings_no_attempt() {
    let mut bed = TestBed::new(1);
    let mut leaving = bed.connect_caller();
    let mut staying = bed.connect_caller();
    (0..2).for_each(|_| bed.run_iteration());
    // The server closes its connection: the next one is on its way as the set-ups are decided.
    bed.servers.clear();
    leaving.send(&set_up(1, 3000)).unwrap();
    staying.send(&set_up(2, 3000)).unwrap();
    bed.run_iteration_without_servers();
    drop(leaving);
    bed.run_for(0.3);
    assert_eq!((bed.set_ups_received(1), bed.set_ups_received(2)), (0, 1), "{:?}", bed.servers_received);
}

/// A server turns a set-up away and its caller leaves, in one turn and in this order: no further attempt.
#[test]
fn a_refusal_as_the_caller_leaves_brings_no_further_attempt() {
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

/// The answer comes as the caller leaves, in one turn and in this order: the call must not stand on at the server, as
/// nobody knows that it does; nor is its end told to anybody.
#[test]
fn an_answer_whose_caller_left_with_it_leaves_no_call_behind() {
    let mut bed = TestBed::new(1);
    bed.establish_call(9);
    for with_end in [false, true] {
        let id = 1 + u64::from(with_end);
        let mut leaving = bed.connect_caller();
        leaving.send(&set_up(id, 3000)).unwrap();
        bed.expect_at_server(id, kind::SET_UP);
        // The poller tells what was ready last time first; after turns without news, what comes first comes first.
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
            "told to another caller: {:?}",
            bed.caller_received
        );
    }
    let figures = serde_json::to_value(bed.gatekeeper.figures_now()).unwrap();
    assert_eq!(figures["outstanding"], 1);
}

/// Half of a set-up is written to a server that reads nothing, and its caller leaves: whenever the server reads on, the
/// set-up must not arrive whole. One that waits behind it and whose caller stays is not lost.
#[test]
fn a_half_written_set_up_whose_caller_left_never_arrives_whole() {
    let mut bed = TestBed::with_small_receive_buffer(64);
    let (half_written_id, mut callers) = bed.block_server_connection();
    // One that comes now waits behind it.
    bed.caller.send(&set_up(1, 9000)).unwrap();
    bed.run_iteration_without_servers();
    drop(callers.remove(0));
    bed.run_iteration_without_servers();
    // The server reads all that there is.
    (0..MAX_ITERATIONS).for_each(|_| bed.run_iteration());
    bed.run_for(0.5);
    assert_eq!(bed.set_ups_received(half_written_id), 0, "it came all the same");
    assert_eq!(bed.set_ups_received(1_000), 1, "the first one is whole");
    assert_eq!(bed.set_ups_received(1), 1, "what waited is sent on another connection");
}

/// With descriptors for one connection to the server, and that one blocked, what waits for it is refused in the time that
/// a connection has to come up, not at its deadline.
#[test]
fn a_set_up_that_no_connection_takes_is_refused_at_once() {
    // Callers may hold seven then.
    let mut bed = TestBed::with_small_receive_buffer(24);
    let _callers = bed.block_server_connection();
    bed.caller.send(&set_up(1, 9000)).unwrap();
    bed.run_iteration_without_servers();
    let asked = bed.gatekeeper.now();
    while bed.caller_received.is_empty() && bed.gatekeeper.now() - asked < 9.0 {
        bed.gatekeeper.advance_clock(0.05);
        bed.run_iteration_without_servers();
    }
    let elapsed_s = bed.gatekeeper.now() - asked;
    assert!(elapsed_s < 1.5, "answered after {elapsed_s} s: {:?}", bed.caller_received);
}

/// A caller that connects makes the gatekeeper close the one that was of no use for longest, which has just sent a
/// set-up: both are there before it looks, the connect first.
#[test]
fn a_connection_closed_to_make_room_is_read_a_last_time() {
    let mut bed = TestBed::new(1);
    bed.caller.send(&set_up(1, 9000)).unwrap();
    bed.expect_at_server(1, kind::SET_UP);
    let mut others: Vec<Peer> = (0..43).map(|_| bed.connect_caller()).collect();
    (0..4).for_each(|_| bed.run_iteration());
    bed.gatekeeper.advance_clock(0.3);
    bed.run_iteration();
    let _one_more = bed.connect_caller();
    let asked = others.first_mut().unwrap();
    asked.send(&set_up(2, 3000)).unwrap();
    bed.expect_at_server(2, kind::SET_UP);
    bed.send_from_all_servers(&answer(2));
    let mut received = Vec::new();
    bed.run_until("its answer", |_| others[0].read(&mut received).is_err() || !received.is_empty());
    assert_eq!(
        received.first().map(|m| (m.call, m.kind)),
        Some((2, kind::ANSWER)),
        "lost with its connection"
    );
}

/// A connection that is closed for what it sent, with more of it unread, ends in good order: its peer reads every
/// answer and then the end, not a reset.
#[test]
fn a_connection_closed_with_something_unread_is_not_reset() {
    let mut bed = TestBed::new(1);
    let bad = bed.connect_caller();
    let mut stream = bad.stream().try_clone().unwrap();
    let mut bytes = Vec::new();
    Message::new(kind::TEST, 1).caused(0).encode(&mut bytes);
    bytes.extend(vec![0xff; 300_000]);
    // All of it is there before the first look: a later write would take the word of a reset from the read.
    let sent = stream.write(&bytes).unwrap();
    assert!(sent > 100_000);
    let mut received = Vec::new();
    for _ in 0..MAX_ITERATIONS {
        bed.run_iteration();
        let mut chunk = [0; 4096];
        match stream.read(&mut chunk) {
            Ok(0) => {
                assert!(!received.is_empty(), "the answer to what came before is lost");
                return;
            }
            Ok(n) => received.extend_from_slice(&chunk[..n]),
            Err(error) => assert_eq!(error.kind(), ErrorKind::WouldBlock, "reset"),
        }
    }
    panic!("never closed");
}

/// A caller that is closed here and never closes itself is let go all the same.
#[test]
fn a_closed_connection_lingers_for_a_bounded_time() {
    let mut bed = TestBed::new(1);
    let mut silent = bed.connect_caller();
    bed.run_for(2.2);
    assert!(matches!(silent.read(&mut Vec::new()), Err(Over::Closed)));
    // What it says from now on crossed the close and is answered by nobody; it comes again on a new connection.
    drop(silent.send(&set_up(1, 3000)));
    bed.run_for(0.3);
    assert_eq!(bed.set_ups_received(1), 0);
    bed.run_for(1.2);
    let closed = (0..MAX_ITERATIONS).any(|_| {
        bed.run_iteration();
        silent.send(&set_up(1, 3000)).is_err()
    });
    assert!(closed, "still held");
}

/// A set-up that comes between the last look at the sockets and the end of the program is answered; what cannot be written
/// at once is written as long as the end allows.
#[test]
fn a_set_up_in_the_last_moment_is_refused_and_not_lost() {
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
    assert!(matches!(end, Err(Over::Closed)), "{end:?}");
    assert_eq!(bed.caller_received.len(), 1, "{:?}", bed.caller_received);
    let refusal = &bed.caller_received[0];
    assert_eq!((refusal.call, refusal.cause()), (1, Some(cause::CONGESTION)));
    let wait: u32 = refusal.text(code::RETRY_AFTER).unwrap().parse().unwrap();
    assert!(wait > 0 && wait <= 2000, "{wait}");
}

/// At the end of the program a call of a class that may not simply be repeated, with an attempt out, has failed: a refusal
/// says that trying again is harmless.
#[test]
fn a_call_that_may_have_run_is_not_refused_at_the_end() {
    for (effect, expected_cause) in
        [("read_like", cause::CONGESTION), ("non_idempotent", cause::TEMPORARY_FAILURE)]
    {
        let mut bed = TestBed::with_config(1, |_| {});
        let text = config_text(&bed.listeners, &bed.dns).replace("read_like", effect);
        bed.gatekeeper = Gatekeeper::new(Config::parse("n0".into(), "127.0.0.1:0", &text).unwrap()).unwrap();
        bed.servers.clear();
        bed.caller = bed.connect_caller();
        bed.run_until("its connection", |bed| !bed.servers.is_empty());
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

/// Where the settings say that callers are told no time, none is told.
#[test]
fn callers_are_told_a_time_only_where_the_settings_allow_it() {
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

/// The connection that a set-up waits for comes up when its time is over and its timer has not struck yet, as timers are
/// coarse: nothing is sent that nobody waits for.
#[test]
fn a_set_up_whose_time_is_over_is_not_sent() {
    let mut bed = TestBed::new(1);
    bed.gatekeeper = Gatekeeper::with_clock(config(&bed.listeners, &bed.dns), Clock::manual(1e9)).unwrap();
    bed.servers.clear();
    bed.run_until("its connection", |bed| !bed.servers.is_empty());
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

/// A call stands for long and nothing else is said, on its caller's own connection or, as that is gone, on the one that is
/// left: this side does not close it, as the end would find nobody.
#[test]
fn a_connection_that_the_end_of_a_call_needs_is_not_idle() {
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

/// Two callers wait 155 and 700 ms for a server that says nothing. Each hears its refusal before it gives up, and not much
/// before: the time is the gatekeeper's, and a caller's runs out some milliseconds earlier there.
#[test]
fn a_refusal_at_the_deadline_comes_before_the_caller_gives_up() {
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

/// Guards against an answer lost as its caller's connection is closed to make room in the turn in which the answer comes.
#[test]
fn a_connection_whose_answer_has_just_come_makes_no_room() {
    let mut bed = TestBed::with_manual_clock(1);
    bed.caller.send(&set_up(1, 9000)).unwrap();
    bed.expect_at_server(1, kind::SET_UP);
    let mut others: Vec<Peer> = (0..80).map(|_| bed.connect_caller()).collect();
    for (id, other) in (100..).zip(&mut others) {
        other.send(&set_up(id, 9000)).unwrap();
    }
    // All places are taken, others wait in the queue, and the listener is not looked at until the next beat.
    bed.run_for(0.4);
    (0..3).for_each(|_| bed.run_iteration());
    let server = bed.servers[0].stream().try_clone().unwrap();
    bed.gatekeeper.before_writing = Some(Box::new(move || {
        let mut bytes = Vec::new();
        answer(1).encode(&mut bytes);
        release(1, cause::NORMAL).encode(&mut bytes);
        (&server).write_all(&bytes).unwrap();
    }));
    // The answer comes before the look at the queue, which is due, and both are read in the next turn.
    bed.gatekeeper.advance_clock(0.06);
    bed.run_iteration();
    bed.expect_at_caller(1, kind::ANSWER, None);
}
