//! Rare moments, each forced: what two peers do comes together in one turn, in the order that a test gives it, or is there
//! before the gatekeeper looks. docs/ARCHITECTURE.md has the table of moments.

use std::io::Read;
use std::net::Shutdown;

use super::*;
use hollypaddle_platform::connection::Over;

/// Set-ups with a description as large as a message may hold.
fn large(id: u64) -> Message {
    let figures = set_up(id, 9000);
    [code::CLASS, code::WAIT, code::NUMBER, code::FIGURES]
        .into_iter()
        .fold(Message::new(kind::SET_UP, id), |m, code| m.with(code, figures.bytes(code).unwrap()))
        .with(code::DESCRIPTION, vec![7; 15_000])
}

impl World {
    pub(super) fn caller(&self) -> Peer {
        peer(TcpStream::connect(self.node.address()).unwrap())
    }

    /// A turn in which the servers' sides are not read.
    fn blind_turn(&mut self) {
        self.node.run_once().unwrap();
        let _ = self.caller.read(&mut self.heard);
    }

    /// One server whose connection takes little at once.
    fn narrow(sockets: usize) -> World {
        let mut w = World::new(1);
        socket2::SockRef::from(&w.listeners[0]).set_recv_buffer_size(4096).unwrap();
        let mut config = config(&w.listeners, &w.dns);
        (config.max_sockets, config.memory_bytes) = (sockets, 512 << 20);
        // Time stands still, so that the server is not silent.
        w.node = Gatekeeper::with_clock(config, Clock::manual(1e9)).unwrap();
        w.servers.clear();
        w.until("another connection", |w| !w.servers.is_empty());
        w.caller = w.caller();
        w
    }

    /// Large set-ups of a few callers in turn, until the only connection to the server takes no more and has half of the last
    /// one. Returns its id and the callers, its own first.
    fn block(&mut self) -> (u64, Vec<Peer>) {
        let mut callers: Vec<Peer> = (0..4).map(|_| self.caller()).collect();
        for id in 1_000..3_000 {
            callers.rotate_right(1);
            callers[0].send(&large(id)).unwrap();
            (0..2).for_each(|_| self.blind_turn());
            if self.node.half_written() == 1 {
                return (id, callers);
            }
        }
        panic!("nothing is blocked");
    }

    fn begun(&self, id: u64) -> usize {
        self.at_servers.iter().filter(|m| m.call == id && m.kind == kind::SET_UP).count()
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
        let mut w = World::new(1);
        let mut caller = w.caller();
        (0..2).for_each(|_| w.turn());
        caller.send(&set_up(id, 3000)).unwrap();
        leave(&mut caller, id);
        w.pass(0.5);
        assert_eq!(w.begun(id), 0, "an attempt for a caller that had left: {:?}", w.at_servers);
    }
}

/// A set-up waits for a connection; the connection comes up, and the caller leaves, in one turn and in this order.
#[test]
fn a_connection_that_comes_up_as_the_caller_leaves_brings_no_attempt() {
    let mut w = World::new(1);
    let mut leaving = w.caller();
    let mut staying = w.caller();
    (0..2).for_each(|_| w.turn());
    // The server closes its connection: the next one is on its way as the set-ups are decided.
    w.servers.clear();
    leaving.send(&set_up(1, 3000)).unwrap();
    staying.send(&set_up(2, 3000)).unwrap();
    w.blind_turn();
    drop(leaving);
    w.pass(0.3);
    assert_eq!((w.begun(1), w.begun(2)), (0, 1), "{:?}", w.at_servers);
}

/// A server turns a set-up away and its caller leaves, in one turn and in this order: no further attempt.
#[test]
fn a_refusal_as_the_caller_leaves_brings_no_further_attempt() {
    let mut w = World::new(2);
    let mut leaving = w.caller();
    leaving.send(&set_up(1, 3000)).unwrap();
    w.at_servers(1, kind::SET_UP);
    (0..2).for_each(|_| w.turn());
    w.servers_say(&hollypaddle_standin::full(1, "throttled"));
    drop(leaving);
    w.pass(0.5);
    assert_eq!(w.begun(1), 1, "{:?}", w.at_servers);
}

/// The answer comes as the caller leaves, in one turn and in this order: the call must not stand on at the server, as
/// nobody knows that it does; nor is its end told to anybody.
#[test]
fn an_answer_whose_caller_left_with_it_leaves_no_call_behind() {
    let mut w = World::new(1);
    w.stand(9);
    for with_end in [false, true] {
        let id = 1 + u64::from(with_end);
        let mut leaving = w.caller();
        leaving.send(&set_up(id, 3000)).unwrap();
        w.at_servers(id, kind::SET_UP);
        // The poller tells what was ready last time first; after turns without news, what comes first comes first.
        (0..2).for_each(|_| w.turn());
        w.servers_say(&answer(id));
        if with_end {
            w.servers_say(&release(id, cause::NORMAL));
        }
        drop(leaving);
        if !with_end {
            w.at_servers(id, kind::RELEASE);
        }
        w.pass(0.5);
        assert!(!w.heard.iter().any(|m| m.call == id), "told to another caller: {:?}", w.heard);
    }
    let figures = serde_json::to_value(w.node.figures_now()).unwrap();
    assert_eq!(figures["outstanding"], 1);
}

/// Half of a set-up is written to a server that reads nothing, and its caller leaves: whenever the server reads on, the
/// set-up must not arrive whole. One that waits behind it and whose caller stays is not lost.
#[test]
fn a_half_written_set_up_whose_caller_left_never_arrives_whole() {
    let mut w = World::narrow(64);
    let (half, mut callers) = w.block();
    // One that comes now waits behind it.
    w.caller.send(&set_up(1, 9000)).unwrap();
    w.blind_turn();
    drop(callers.remove(0));
    w.blind_turn();
    // The server reads all that there is.
    (0..TURNS).for_each(|_| w.turn());
    w.pass(0.5);
    assert_eq!(w.begun(half), 0, "it came all the same");
    assert_eq!(w.begun(1_000), 1, "the first one is whole");
    assert_eq!(w.begun(1), 1, "what waited is sent on another connection");
}

/// With descriptors for one connection to the server, and that one blocked, what waits for it is refused in the time that
/// a connection has to come up, not at its deadline.
#[test]
fn a_set_up_that_no_connection_takes_is_refused_at_once() {
    // Callers may hold seven then.
    let mut w = World::narrow(24);
    let _callers = w.block();
    w.caller.send(&set_up(1, 9000)).unwrap();
    w.blind_turn();
    let asked = w.node.now();
    while w.heard.is_empty() && w.node.now() - asked < 9.0 {
        w.node.advance_clock(0.05);
        w.blind_turn();
    }
    let took = w.node.now() - asked;
    assert!(took < 1.5, "answered after {took} s: {:?}", w.heard);
}

/// A caller that connects makes the gatekeeper close the one that was of no use for longest, which has just sent a
/// set-up: both are there before it looks, the connect first.
#[test]
fn a_connection_closed_to_make_room_is_read_a_last_time() {
    let mut w = World::new(1);
    w.caller.send(&set_up(1, 9000)).unwrap();
    w.at_servers(1, kind::SET_UP);
    let mut others: Vec<Peer> = (0..43).map(|_| w.caller()).collect();
    (0..4).for_each(|_| w.turn());
    w.node.advance_clock(0.3);
    w.turn();
    let _one_more = w.caller();
    let asked = others.first_mut().unwrap();
    asked.send(&set_up(2, 3000)).unwrap();
    w.at_servers(2, kind::SET_UP);
    w.servers_say(&answer(2));
    let mut got = Vec::new();
    w.until("its answer", |_| others[0].read(&mut got).is_err() || !got.is_empty());
    assert_eq!(got.first().map(|m| (m.call, m.kind)), Some((2, kind::ANSWER)), "lost with its connection");
}

/// A connection that is closed for what it sent, with more of it unread, ends in good order: its peer reads every
/// answer and then the end, not a reset.
#[test]
fn a_connection_closed_with_something_unread_is_not_reset() {
    let mut w = World::new(1);
    let bad = w.caller();
    let mut stream = bad.stream().try_clone().unwrap();
    let mut bytes = Vec::new();
    Message::new(kind::TEST, 1).caused(0).encode(&mut bytes);
    bytes.extend(vec![0xff; 300_000]);
    // All of it is there before the first look: a later write would take the word of a reset from the read.
    let sent = stream.write(&bytes).unwrap();
    assert!(sent > 100_000);
    let mut got = Vec::new();
    for _ in 0..TURNS {
        w.turn();
        let mut chunk = [0; 4096];
        match stream.read(&mut chunk) {
            Ok(0) => {
                assert!(!got.is_empty(), "the answer to what came before is lost");
                return;
            }
            Ok(n) => got.extend_from_slice(&chunk[..n]),
            Err(error) => assert_eq!(error.kind(), ErrorKind::WouldBlock, "reset"),
        }
    }
    panic!("never closed");
}

/// A caller that is closed here and never closes itself is let go all the same.
#[test]
fn a_closed_connection_lingers_for_a_bounded_time() {
    let mut w = World::new(1);
    let mut mute = w.caller();
    w.pass(2.2);
    assert!(matches!(mute.read(&mut Vec::new()), Err(Over::Closed)));
    // What it says from now on crossed the close and is answered by nobody; it comes again on a new connection.
    drop(mute.send(&set_up(1, 3000)));
    w.pass(0.3);
    assert_eq!(w.begun(1), 0);
    w.pass(1.2);
    let over = (0..TURNS).any(|_| {
        w.turn();
        mute.send(&set_up(1, 3000)).is_err()
    });
    assert!(over, "still held");
}

/// A set-up that comes between the last look at the sockets and the end of the program is answered; what cannot be written
/// at once is written as long as the end allows.
#[test]
fn a_set_up_in_the_last_moment_is_refused_and_not_lost() {
    let mut w = World::new(1);
    w.turn();
    w.caller.send(&set_up(1, 3000)).unwrap();
    let now = w.node.now();
    w.node.finish(now).unwrap();
    let mut end = Ok(());
    for _ in 0..TURNS {
        end = w.caller.read(&mut w.heard);
        if end.is_err() {
            break;
        }
    }
    assert!(matches!(end, Err(Over::Closed)), "{end:?}");
    assert_eq!(w.heard.len(), 1, "{:?}", w.heard);
    let refusal = &w.heard[0];
    assert_eq!((refusal.call, refusal.cause()), (1, Some(cause::CONGESTION)));
    let wait: u32 = refusal.text(code::RETRY_AFTER).unwrap().parse().unwrap();
    assert!(wait > 0 && wait <= 2000, "{wait}");
}

/// At the end of the program a call of a class that may not simply be repeated, with an attempt out, has failed: a refusal
/// says that trying again is harmless.
#[test]
fn a_call_that_may_have_run_is_not_refused_at_the_end() {
    for (effect, why) in [("read_like", cause::CONGESTION), ("non_idempotent", cause::TEMPORARY_FAILURE)] {
        let mut w = World::with(1, |_| {});
        let text = config_text(&w.listeners, &w.dns).replace("read_like", effect);
        w.node = Gatekeeper::new(Config::parse("n0".into(), "127.0.0.1:0", &text).unwrap()).unwrap();
        w.servers.clear();
        w.caller = w.caller();
        w.until("its connection", |w| !w.servers.is_empty());
        w.caller.send(&set_up(1, 3000)).unwrap();
        w.at_servers(1, kind::SET_UP);
        let now = w.node.now();
        w.node.finish(now).unwrap();
        let _ = w.caller.read(&mut w.heard);
        assert_eq!(w.heard.iter().map(|m| m.cause()).collect::<Vec<_>>(), [Some(why)], "{effect}");
    }
}

/// Where the settings say that callers are told no time, none is told.
#[test]
fn callers_are_told_a_time_only_where_the_settings_allow_it() {
    for (allowed, most) in [(true, "0.3"), (false, "2.0")] {
        let mut w = World::new(1);
        let text = config_text(&w.listeners, &w.dns)
            .replace("\"retryAfter\":true", &format!("\"retryAfter\":{allowed}"))
            .replace("\"maxRetryAfter\":2.0", &format!("\"maxRetryAfter\":{most}"));
        w.node = Gatekeeper::new(Config::parse("n0".into(), "127.0.0.1:0", &text).unwrap()).unwrap();
        w.caller = w.caller();
        w.caller.send(&set_up(1, 300)).unwrap();
        w.turn();
        w.caller.send(&set_up(2, 3000)).unwrap();
        w.turn();
        w.node.advance_clock(0.35);
        w.heard(1, kind::RELEASE, Some(cause::CONGESTION));
        let now = w.node.now();
        w.node.finish(now).unwrap();
        w.until("both answers", |w| w.heard.len() == 2);
        for refusal in &w.heard {
            let told: Option<u32> = refusal.text(code::RETRY_AFTER).map(|t| t.parse().unwrap());
            assert_eq!(told.is_some(), allowed, "{refusal:?}");
            assert!(told.is_none_or(|ms| ms > 0 && ms <= 300), "{refusal:?}");
        }
    }
}

/// The connection that a set-up waits for comes up when its time is over and its timer has not struck yet, as timers are
/// coarse: nothing is sent that nobody waits for.
#[test]
fn a_set_up_whose_time_is_over_is_not_sent() {
    let mut w = World::new(1);
    w.node = Gatekeeper::with_clock(config(&w.listeners, &w.dns), Clock::manual(1e9)).unwrap();
    w.servers.clear();
    w.until("its connection", |w| !w.servers.is_empty());
    w.caller = w.caller();
    (0..2).for_each(|_| w.turn());
    w.servers.clear();
    w.caller.send(&set_up(1, 298)).unwrap();
    w.blind_turn();
    w.node.advance_clock(0.299);
    (0..2).for_each(|_| w.turn());
    w.pass(0.5);
    assert_eq!(w.begun(1), 0, "{:?}", w.at_servers);
    w.heard(1, kind::RELEASE, None);
}

/// A call stands for long and nothing else is said, on its caller's own connection or, as that is gone, on the one that is
/// left: this side does not close it, as the end would find nobody.
#[test]
fn a_connection_that_the_end_of_a_call_needs_is_not_idle() {
    for own_is_gone in [false, true] {
        let mut w = World::new(1);
        w.stand(1);
        if own_is_gone {
            w.caller = w.caller();
            w.stand(2);
            w.servers_say(&release(2, cause::NORMAL));
            w.heard(2, kind::RELEASE, Some(cause::NORMAL));
        }
        w.pass(20.0);
        w.servers_say(&release(1, cause::NORMAL));
        w.pass(0.9);
        let told = w.heard.iter().any(|m| m.call == 1 && m.kind == kind::RELEASE);
        assert!(told, "own is gone: {own_is_gone}, {:?}", w.heard);
    }
}

/// Two callers wait 155 and 700 ms for a server that says nothing. Each hears its refusal before it gives up, and not much
/// before: the time is the gatekeeper's, and a caller's runs out some milliseconds earlier there.
#[test]
fn a_refusal_at_the_deadline_comes_before_the_caller_gives_up() {
    let mut w = World::narrow(64);
    for (id, wait, early, due) in [(1, 155, 0.140, 0.151), (2, 700, 0.685, 0.696)] {
        let begun = w.node.now();
        w.caller.send(&set_up(id, wait)).unwrap();
        w.at_servers(id, kind::SET_UP);
        let past = |w: &World, time: f64| begun + time - w.node.now();
        w.node.advance_clock(past(&w, early));
        (0..20).for_each(|_| w.turn());
        assert!(!w.heard.iter().any(|m| m.call == id), "refused long before the end of {wait} ms");
        w.node.advance_clock(past(&w, due));
        (0..20).for_each(|_| w.turn());
        assert!(w.heard.iter().any(|m| m.call == id), "no answer while its caller waits {wait} ms");
        w.heard(id, kind::RELEASE, Some(cause::CONGESTION));
    }
}

/// Guards against an answer lost as its caller's connection is closed to make room in the turn in which the answer comes.
#[test]
fn a_connection_whose_answer_has_just_come_makes_no_room() {
    let mut w = World::still(1);
    w.caller.send(&set_up(1, 9000)).unwrap();
    w.at_servers(1, kind::SET_UP);
    let mut others: Vec<Peer> = (0..80).map(|_| w.caller()).collect();
    for (id, other) in (100..).zip(&mut others) {
        other.send(&set_up(id, 9000)).unwrap();
    }
    // All places are taken, others wait in the queue, and the listener is not looked at until the next beat.
    w.pass(0.4);
    (0..3).for_each(|_| w.turn());
    let server = w.servers[0].stream().try_clone().unwrap();
    w.node.before_writing = Some(Box::new(move || {
        let mut bytes = Vec::new();
        answer(1).encode(&mut bytes);
        release(1, cause::NORMAL).encode(&mut bytes);
        (&server).write_all(&bytes).unwrap();
    }));
    // The answer comes before the look at the queue, which is due, and both are read in the next turn.
    w.node.advance_clock(0.06);
    w.turn();
    w.heard(1, kind::ANSWER, None);
}
