//! Tests of the whole gatekeeper against peers on loopback sockets. The tests move the clock forward instead of
//! sleeping. A test ends when the expected messages have arrived, and fails after a bounded number of iterations of
//! the event loop.

mod call_ends;
mod caller_limit;
mod draining;
mod ends_among_strangers;
mod foreign_releases;
mod input_bounds;
mod link_byte_counts;
mod listener_handover;
mod operations;
mod races;
mod server_connections;
mod slow_resolver;
mod truncated_messages;
mod unread_call_ends;
mod unread_releases;

use std::collections::BTreeSet;
use std::io::{ErrorKind, Write};
use std::net::{TcpListener, TcpStream, UdpSocket};
use std::sync::atomic::Ordering;

use hollypaddle_standin::platform_file;
use hollypaddle_standin::resolver::{self, Listed};
use hollypaddle_standin::{answer, release, Peer};
use proptest::prelude::*;

use super::clock::Clock;
use super::config::Config;
use super::event_loop::{Gatekeeper, Signals};
use hollypaddle_platform::message::{cause, code, kind, Message};

/// Iterations of the event loop after which a test that waits for something fails.
const MAX_ITERATIONS: usize = 400;
/// Time at which a clock starts that is moved by the test alone, in Unix seconds.
const TEST_START_S: f64 = 1e9;

/// A gatekeeper with its resolver, its session servers and one caller.
struct TestBed {
    gatekeeper: Gatekeeper,
    /// The listeners of the session servers, by server number.
    listeners: Vec<TcpListener>,
    /// The socket of the resolver.
    dns: UdpSocket,
    caller: Peer,
    /// Messages that `caller` received.
    caller_received: Vec<Message>,
    /// Messages that all servers received, on all connections.
    servers_received: Vec<Message>,
    /// The servers' ends of the connections that the gatekeeper opened.
    servers: Vec<Peer>,
    /// Server number and call id of each set-up that a server received.
    set_ups: BTreeSet<(usize, u64)>,
}

fn peer(stream: TcpStream) -> Peer {
    hollypaddle_standin::peer(stream).unwrap()
}

fn config(listeners: &[TcpListener], dns: &UdpSocket) -> Config {
    Config::parse("n0".into(), "127.0.0.1:0", &config_text(listeners, dns)).unwrap()
}

fn config_text(listeners: &[TcpListener], dns: &UdpSocket) -> String {
    let listed = |(n, l): (usize, &TcpListener)| Listed {
        id: format!("s-{n}"),
        district: "downtown".into(),
        address: l.local_addr().unwrap(),
        number: n as u32,
        draining: false,
        started_ms: 0,
    };
    let listed: Vec<Listed> = listeners.iter().enumerate().map(listed).collect();
    let text = format!(
        r#"{{"seed":"8c1f","dns":"{}","limits":{{"sockets":64}},"known":{},
          "settings":{{"peersTotal":4,"period":0.005,"telemetry":{{"names":["free","size","hold_back"]}},
            "familyInfo":{{"release":0.3,"retransmit":0.4,"poolsByClass":[[0,1]]}},
            "limits":{{"tryLimit":6,"mayCancel":true,"retryAfter":true,"maxRetryAfter":2.0,"connectTimeout":0.5}},
            "requestClasses":[{{"name":"meter-read","effect":"read_like","goalTime":1.5,"hardLimit":9.0,"value":1.0}}],
            "safety":{{"cold":14.0,"coldFrom":0.3,"overloadFactor":3.0}}}}}}"#,
        dns.local_addr().unwrap(),
        resolver::known(1, &listed)
    );
    platform_file::complete(&text).unwrap()
}

fn set_up(id: u64, wait: u32) -> Message {
    set_up_to(0, id, wait)
}

fn set_up_to(pool: u32, id: u64, wait: u32) -> Message {
    hollypaddle_standin::set_up("meter-read", pool, id, wait)
}

impl TestBed {
    fn new(servers: usize) -> TestBed {
        TestBed::with_config(servers, |_| {})
    }

    /// A test bed whose gatekeeper has a control address. Its clock is moved by the test alone: how far a drain has come must not
    /// depend on how long the machine takes for the test.
    fn with_control_address(servers: usize) -> TestBed {
        let set_control = |c: &mut Config| c.control = Some("127.0.0.1:0".parse().unwrap());
        TestBed::with_clock(servers, Clock::manual(TEST_START_S), set_control)
    }

    fn with_config(servers: usize, change: impl FnOnce(&mut Config)) -> TestBed {
        TestBed::with_clock(servers, Clock::new(), change)
    }

    fn with_clock(servers: usize, clock: Clock, change: impl FnOnce(&mut Config)) -> TestBed {
        let listeners: Vec<TcpListener> =
            (0..servers).map(|_| TcpListener::bind("127.0.0.1:0").unwrap()).collect();
        listeners.iter().for_each(|l| l.set_nonblocking(true).unwrap());
        let dns = UdpSocket::bind("127.0.0.1:0").unwrap();
        dns.set_nonblocking(true).unwrap();
        let mut config = config(&listeners, &dns);
        change(&mut config);
        let gatekeeper = Gatekeeper::with_clock(config, clock).unwrap();
        let caller = peer(TcpStream::connect(gatekeeper.address()).unwrap());
        let (caller_received, servers_received) = (Vec::new(), Vec::new());
        let mut bed = TestBed {
            gatekeeper,
            listeners,
            dns,
            caller,
            caller_received,
            servers_received,
            servers: Vec::new(),
            set_ups: BTreeSet::new(),
        };
        bed.run_until("the gatekeeper to connect to each server", |bed| bed.servers.len() >= servers);
        bed
    }

    /// Runs one iteration of the event loop, then accepts connections and reads what the caller and the servers
    /// received.
    fn run_iteration(&mut self) {
        self.gatekeeper.run_once().unwrap();
        let _ = self.caller.read(&mut self.caller_received);
        for listener in &self.listeners {
            match listener.accept() {
                Ok((stream, _)) => self.servers.push(peer(stream)),
                Err(error) => assert_eq!(error.kind(), ErrorKind::WouldBlock),
            }
        }
        for server in &mut self.servers {
            let before = self.servers_received.len();
            let _ = server.read(&mut self.servers_received);
            let address = server.stream().local_addr().unwrap();
            let n =
                self.listeners.iter().position(|l| l.local_addr().unwrap() == address).unwrap_or(usize::MAX);
            let set_ups = self.servers_received[before..].iter().filter(|m| m.kind == kind::SET_UP);
            self.set_ups.extend(set_ups.map(|m| (n, m.call)));
        }
    }

    /// Runs iterations until the condition holds. Fails the test after `MAX_ITERATIONS`.
    fn run_until(&mut self, what: &str, mut reached: impl FnMut(&TestBed) -> bool) {
        for _ in 0..MAX_ITERATIONS {
            if reached(self) {
                return;
            }
            self.run_iteration();
        }
        panic!(
            "timed out waiting for {what}; caller received {:?}, servers received {:?}",
            self.caller_received, self.servers_received
        );
    }

    /// Runs until the caller has received a message of this call and type, and with this cause if one is given.
    fn expect_at_caller(&mut self, id: u64, kind: u8, cause: Option<u8>) -> Message {
        let wanted = |m: &&Message| m.call == id && m.kind == kind && (cause.is_none() || m.cause() == cause);
        self.run_until("a message to the caller", |bed| bed.caller_received.iter().any(|m| wanted(&m)));
        self.caller_received.iter().find(wanted).unwrap().clone()
    }

    /// Runs until a server has received a message of this call and type.
    fn expect_at_server(&mut self, id: u64, kind: u8) -> Message {
        self.run_until("a message to a server", |bed| {
            bed.servers_received.iter().any(|m| m.call == id && m.kind == kind)
        });
        self.servers_received.iter().find(|m| m.call == id && m.kind == kind).unwrap().clone()
    }

    /// Sends the message from every server: the gatekeeper must accept it only from the server that has the call.
    fn send_from_all_servers(&mut self, message: &Message) {
        for server in &mut self.servers {
            server.send(message).unwrap();
        }
    }

    /// Sets up a call from the caller that a server answers.
    fn establish_call(&mut self, id: u64) {
        self.caller.send(&set_up(id, 3000)).unwrap();
        self.expect_at_server(id, kind::SET_UP);
        self.send_from_all_servers(&answer(id));
        assert_eq!(self.expect_at_caller(id, kind::ANSWER, None).bytes(code::DESCRIPTION), Some(&[9, 9][..]));
    }

    /// Answers the next query with a list of (server, priority, started in Unix ms). Before the valid answer it sends
    /// three that must be ignored: bytes that are no message, an answer with a wrong id and a truncated answer.
    fn send_server_list(&mut self, position: u32, servers: &[(usize, u16, u64)]) {
        let mut data = [0; 512];
        // The gatekeeper no longer waits for answers to earlier queries.
        while self.dns.recv_from(&mut data).is_ok() {}
        let (n, from) = loop {
            self.run_iteration();
            if let Ok(received) = self.dns.recv_from(&mut data) {
                break received;
            }
        };
        let listed = servers.iter().map(|&(n, priority, started_ms)| Listed {
            id: format!("s-{n}"),
            district: "downtown".into(),
            address: self.listeners[n].local_addr().unwrap(),
            number: n as u32,
            draining: priority > 0,
            started_ms,
        });
        let listed: Vec<Listed> = listed.collect();
        let answer = resolver::reply(&data[..n], position, &listed).unwrap();
        let mut invalid = [resolver::reply(&data[..n], position, &[]).unwrap(), answer.clone()];
        invalid[0].metadata.id = invalid[0].metadata.id.wrapping_add(1);
        invalid[1].metadata.truncation = true;
        self.dns.send_to(&[7; 40], from).unwrap();
        for message in invalid.iter().chain([&answer]) {
            self.dns.send_to(&message.to_vec().unwrap(), from).unwrap();
        }
        self.run_for(0.2);
    }

    /// Makes connection attempts to the only server hang: its accept queue is filled and nobody accepts.
    fn fill_backlog(&mut self) -> (Vec<TcpListener>, Vec<socket2::Socket>) {
        let address = self.listeners[0].local_addr().unwrap();
        socket2::SockRef::from(&self.listeners[0]).listen(4).unwrap();
        let pending = (0..50).map_while(|_| {
            let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
            socket.set_nonblocking(true).unwrap();
            let up = socket.connect(&address.into()).is_ok() || socket.peer_addr().is_ok();
            up.then_some(socket)
        });
        let pending = pending.collect();
        (self.listeners.drain(..).collect(), pending)
    }

    /// Moves the clock forward in steps of 0.1 s, with an iteration after each so that no timer is skipped.
    fn run_for(&mut self, seconds: f64) {
        let steps = (seconds / 0.1) as usize;
        for _ in 0..steps {
            self.gatekeeper.advance_clock(0.1);
            self.run_iteration();
        }
    }
}

/// Guards against a set-up whose class, number or description changes on the way, that carries the attributes for the
/// gatekeeper on to the server, or whose waiting time is not reduced by what has passed; and against an end that does
/// not reach the caller.
#[test]
fn a_set_up_is_forwarded_unchanged_and_its_call_is_established_and_ends() {
    let mut bed = TestBed::new(1);
    bed.establish_call(1);
    let seen = bed.expect_at_server(1, kind::SET_UP);
    let sent = set_up(1, 3000);
    for code in [code::CLASS, code::NUMBER, code::DESCRIPTION] {
        assert_eq!(seen.bytes(code), sent.bytes(code));
    }
    assert_eq!(seen.bytes(code::ATTRIBUTES), None, "parameter ATTRIBUTES is for the gatekeeper only");
    let wait: u32 = seen.text(code::WAIT).unwrap().parse().unwrap();
    assert!((2000..=3000).contains(&wait));
    bed.send_from_all_servers(&release(1, cause::NORMAL));
    bed.expect_at_caller(1, kind::RELEASE, Some(cause::NORMAL));
}

/// Guards against a caller that gets no answer, or a refusal without the time after which to retry.
#[test]
fn a_call_that_no_server_answers_is_refused_at_its_deadline_and_given_up_at_the_server() {
    let mut bed = TestBed::new(1);
    bed.caller.send(&set_up(1, 700)).unwrap();
    bed.expect_at_server(1, kind::SET_UP);
    bed.gatekeeper.advance_clock(0.72);
    let refusal = bed.expect_at_caller(1, kind::RELEASE, Some(cause::CONGESTION));
    assert!(refusal.text(code::RETRY_AFTER).unwrap().parse::<u32>().unwrap() > 0);
    assert_eq!(bed.expect_at_server(1, kind::RELEASE).cause(), Some(cause::NORMAL));
    // The answer crosses the give-up: the server must be told to end the call.
    bed.servers_received.clear();
    bed.send_from_all_servers(&answer(1));
    bed.expect_at_server(1, kind::RELEASE);
    assert_eq!(bed.caller_received.len(), 1, "one final answer");
}

/// A server whose processor is full announces in parameter 40 how long to wait. During that time it gets only single
/// calls, until one is answered. Guards against a wait that is read from another parameter, as 34, which is for
/// callers; against one that never ends; and against invalid values.
#[test]
fn a_full_server_gets_at_most_single_set_ups_for_the_time_it_announces() {
    for (code, wait, spared) in [
        (code::FULL_WAIT, "1500", true),
        (code::RETRY_AFTER, "1500", false),
        (code::FULL_WAIT, "-1500", false),
        (code::FULL_WAIT, "soon", false),
    ] {
        let mut bed = TestBed::new(2);
        bed.caller.send(&set_up_to(0, 1, 3000)).unwrap();
        bed.expect_at_server(1, kind::SET_UP);
        bed.send_from_all_servers(&hollypaddle_standin::full(1, "throttled").with(code, wait));
        bed.run_for(1.0);
        for id in 2..12 {
            bed.caller.send(&set_up_to(0, id, 3000)).unwrap();
        }
        bed.run_for(0.2);
        let sent_to_full = bed.set_ups.iter().filter(|(server, id)| *server == 0 && *id > 1).count();
        assert_eq!(
            sent_to_full <= 1,
            spared,
            "{sent_to_full} of 10 sent to the full server with {code} {wait}"
        );
    }
    let mut bed = TestBed::new(2);
    bed.caller.send(&set_up_to(0, 1, 3000)).unwrap();
    bed.expect_at_server(1, kind::SET_UP);
    bed.send_from_all_servers(&hollypaddle_standin::full(1, "throttled").with(code::FULL_WAIT, "999999999"));
    bed.run_for(9.5);
    bed.caller = peer(TcpStream::connect(bed.gatekeeper.address()).unwrap());
    for id in 2..12 {
        bed.caller.send(&set_up_to(0, id, 3000)).unwrap();
    }
    bed.run_until("another set-up sent to the full server", |bed| {
        bed.set_ups.iter().any(|(server, id)| *server == 0 && *id > 1)
    });
}

/// Guards against invalid bytes or parameters of one caller that reach a server, or that disturb other connections or
/// calls.
#[test]
fn invalid_input_affects_only_its_own_connection_or_call() {
    let mut bed = TestBed::new(1);
    let mut bad = peer(TcpStream::connect(bed.gatekeeper.address()).unwrap());
    let mut raw = bad.stream().try_clone().unwrap();
    raw.write_all(&[0xff; 64]).unwrap();
    let mut received = Vec::new();
    for _ in 0..MAX_ITERATIONS {
        bed.run_iteration();
        if bad.read(&mut received).is_err() {
            break;
        }
    }
    assert!(bad.read(&mut received).is_err(), "an unreadable message closes its connection");
    let incomplete = Message::new(kind::SET_UP, 2).with(code::CLASS, "meter-read");
    bed.caller.send(&incomplete).unwrap();
    bed.expect_at_caller(2, kind::RELEASE, Some(cause::MISSING_PARAMETER));
    let number = "7f3a9c21e0b4d6550";
    for (n, (code, value)) in [
        (code::CLASS, "?"),
        (code::WAIT, "nan"),
        (code::WAIT, "-1"),
        (code::WAIT, "0"),
        (code::WAIT, "9001"),
        (code::NUMBER, "+7f"),
        (code::NUMBER, number),
        (code::ATTRIBUTES, "dest:x"),
        (code::ATTRIBUTES, "dest:9;width:1;via:-1"),
        (code::ATTRIBUTES, "dest:0.5;width:1;via:-1"),
        (code::ATTRIBUTES, "dest:0;width:nan;via:-1"),
        (code::ATTRIBUTES, "dest:0;width:0;via:-1"),
        (code::ATTRIBUTES, "dest:0;width:1;via:-1;dest:1"),
        (code::ATTRIBUTES, "dest:0;width:1;via:-1;again:7"),
        // A parameter that occurs once more than it may.
        (250, "?"),
    ]
    .into_iter()
    .enumerate()
    {
        let mut message = Message::new(kind::SET_UP, 10 + n as u64).with(code, value);
        for other in [code::CLASS, code::WAIT, code::NUMBER, code::ATTRIBUTES, code::DESCRIPTION, 250] {
            if other != code || code == 250 {
                message = message.with(other, set_up(1, 1000).bytes(other).unwrap_or(b"?"));
            }
        }
        // A separate connection each, because one that sends many invalid messages is closed.
        bed.caller = peer(TcpStream::connect(bed.gatekeeper.address()).unwrap());
        bed.caller.send(&message).unwrap();
        bed.expect_at_caller(10 + n as u64, kind::RELEASE, Some(cause::INVALID_PARAMETER));
    }
    assert!(bed.servers_received.is_empty(), "invalid set-ups are not forwarded");
    bed.caller.send(&Message::new(200, 3).with(250, "?")).unwrap();
    bed.caller.send(&Message::new(kind::TEST, 4).with_cause(0)).unwrap();
    assert_eq!(bed.expect_at_caller(4, kind::TEST_RESULT, None).cause(), Some(1));
    bed.establish_call(5);
}

/// Guards against callers locked out by others that hold all connections: those that send nothing, send half a
/// request, or sent one request and keep their connection. A caller with an open set-up keeps its connection.
#[test]
fn idle_callers_make_room_for_others_and_are_closed_in_time() {
    let mut bed = TestBed::new(1);
    bed.caller.send(&set_up(1, 9000)).unwrap();
    bed.expect_at_server(1, kind::SET_UP);
    let connect = |bed: &TestBed| peer(TcpStream::connect(bed.gatekeeper.address()).unwrap());
    let mut others: Vec<Peer> = (0..120).map(|_| connect(&bed)).collect();
    let half = [0, 20, kind::SET_UP];
    for mut stream in others.iter().step_by(2).map(|c| c.stream()) {
        stream.write_all(&half).unwrap();
    }
    bed.run_for(1.0);
    bed.caller.send(&Message::new(kind::TEST, 2).with_cause(0)).unwrap();
    let mut late = connect(&bed);
    late.send(&Message::new(kind::TEST, 3).with_cause(0)).unwrap();
    let mut received = Vec::new();
    bed.run_for(1.0);
    late.read(&mut received).unwrap();
    assert_eq!(received.len(), 1, "a caller with a request is served beside {} without one", others.len());
    bed.run_for(1.0);
    assert!(others.iter_mut().all(|c| c.read(&mut received).is_err()), "idle callers are closed in time");
    bed.send_from_all_servers(&answer(1));
    bed.expect_at_caller(1, kind::ANSWER, None);
    // Callers that send nothing more are closed as well, except one that waits for the end of a call.
    bed.run_for(9.0);
    assert!(late.read(&mut received).is_err() && bed.caller.read(&mut received).is_ok());
    bed.send_from_all_servers(&release(1, cause::NORMAL));
    bed.expect_at_caller(1, kind::RELEASE, Some(cause::NORMAL));
    bed.run_for(9.0);
    assert!(late.read(&mut received).is_err() && bed.caller.read(&mut received).is_err());
}

/// Guards against the end of a call sent to a caller that never had one, and against a second set-up with
/// an open id that affects the first.
#[test]
fn the_end_of_a_call_is_sent_only_to_callers_that_have_had_calls() {
    let mut bed = TestBed::new(1);
    let mut uninvolved = peer(TcpStream::connect(bed.gatekeeper.address()).unwrap());
    bed.establish_call(1);
    bed.caller.send(&set_up(2, 3000)).unwrap();
    bed.expect_at_server(2, kind::SET_UP);
    uninvolved.send(&set_up(2, 3000)).unwrap();
    let mut received = Vec::new();
    bed.run_until("a refusal of the second set-up", |_| {
        uninvolved.read(&mut received).is_err() || !received.is_empty()
    });
    assert_eq!(received, [release(2, cause::INVALID_PARAMETER)]);
    bed.send_from_all_servers(&answer(2));
    bed.expect_at_caller(2, kind::ANSWER, None);
    let mut kept = peer(TcpStream::connect(bed.gatekeeper.address()).unwrap());
    std::mem::swap(&mut kept, &mut bed.caller);
    bed.establish_call(3);
    // The first caller disconnects. Of the others one has a call; the uninvolved one connected later.
    drop(kept);
    let mut newest = peer(TcpStream::connect(bed.gatekeeper.address()).unwrap());
    bed.run_iteration();
    bed.send_from_all_servers(&release(1, cause::NORMAL));
    bed.expect_at_caller(1, kind::RELEASE, Some(cause::NORMAL));
    // A refusal of a second set-up with an open id on the same connection would be taken for that of the first.
    newest.send(&set_up(4, 3000)).unwrap();
    newest.send(&set_up(4, 3000)).unwrap();
    received.clear();
    bed.run_until("the connection to be closed", |_| newest.read(&mut received).is_err());
    assert!(received.iter().all(|m| m.call == 4 && m.cause() == Some(cause::TEMPORARY_FAILURE)));
}

/// Guards against attempts that go on without a caller, and against the loss of the end of a standing call when its
/// caller has reconnected.
#[test]
fn set_ups_of_a_disconnected_caller_are_given_up_and_its_standing_calls_continue() {
    let mut bed = TestBed::new(1);
    bed.establish_call(1);
    bed.caller.send(&set_up(2, 3000)).unwrap();
    bed.expect_at_server(2, kind::SET_UP);
    let other = peer(TcpStream::connect(bed.gatekeeper.address()).unwrap());
    bed.caller = other;
    bed.expect_at_server(2, kind::RELEASE);
    // The end of the standing call reaches the caller on any connection that is open.
    bed.send_from_all_servers(&release(1, cause::NORMAL));
    bed.run_for(0.7);
    bed.expect_at_caller(1, kind::RELEASE, Some(cause::NORMAL));
    assert!(
        !bed.caller_received.iter().any(|m| m.call == 2),
        "a set-up whose caller has disconnected is not answered"
    );
}

/// Guards against calls that are ended by mistake, and against the loss of an end that the server could not send at
/// once.
#[test]
fn a_lost_server_connection_ends_no_call_and_the_end_is_accepted_on_the_next_one() {
    let mut bed = TestBed::new(1);
    bed.establish_call(1);
    bed.servers.clear();
    bed.run_until("the next connection", |bed| !bed.servers.is_empty());
    assert!(!bed.caller_received.iter().any(|m| m.kind == kind::RELEASE));
    bed.send_from_all_servers(&release(1, cause::TEMPORARY_FAILURE));
    bed.expect_at_caller(1, kind::RELEASE, Some(cause::TEMPORARY_FAILURE));
}

/// Guards against set-ups left on a connection that an invalid answer has made unusable: it may stay open, and lose or
/// never deliver what follows. Their attempts end, and they are sent again elsewhere after the release time.
#[test]
fn an_invalid_answer_closes_its_connection_and_its_open_set_ups_are_sent_again() {
    let invalid_answers: [(&[u8], Message); 5] = [
        (&[], Message::new(123, 1).with(code::DESCRIPTION, vec![9])),
        (&[], Message::new(kind::ANSWER, 1)),
        (&[], answer(1).with(code::DESCRIPTION, vec![8])),
        (&[], release(1, cause::NORMAL).with(code::DESCRIPTION, vec![9])),
        // The length prefix announces a longer message than the bytes that follow.
        (&[1], answer(1)),
    ];
    for (prefix, message) in invalid_answers {
        let mut bed = TestBed::new(1);
        bed.establish_call(7);
        bed.caller.send(&set_up(1, 9000)).unwrap();
        bed.caller.send(&set_up(2, 9000)).unwrap();
        bed.expect_at_server(2, kind::SET_UP);
        let mut old = bed.servers.remove(0);
        old.stream().write_all(prefix).unwrap();
        old.send(&message).unwrap();
        bed.run_for(0.5);
        assert!(old.read(&mut Vec::new()).is_err(), "connection still open after {message:?}");
        bed.run_for(0.5);
        let attempts = bed.servers_received.iter().filter(|m| m.call == 2 && m.kind == kind::SET_UP).count();
        assert_eq!(attempts, 2, "{message:?}");
        bed.send_from_all_servers(&answer(2));
        bed.expect_at_caller(2, kind::ANSWER, None);
        assert!(
            !bed.caller_received.iter().any(|m| m.call == 7 && m.kind == kind::RELEASE),
            "the standing call is not ended"
        );
    }
}

/// Guards against surplus messages that have an effect: a second copy of an answer, and an answer before its set-up.
#[test]
fn surplus_answers_of_a_server_are_ignored() {
    let mut bed = TestBed::new(1);
    bed.establish_call(1);
    bed.send_from_all_servers(&answer(1));
    for ahead in [answer(50), release(51, cause::NORMAL).with(code::DESCRIPTION, vec![9])] {
        bed.send_from_all_servers(&ahead);
    }
    bed.run_for(0.5);
    assert_eq!((bed.caller_received.len(), bed.servers.len()), (1, 1), "{:?}", bed.caller_received);
    assert!(bed.servers_received.iter().all(|m| m.kind == kind::SET_UP), "no release is sent");
    bed.establish_call(50);
}

/// Guards against a second set-up of a call that was established and is over: its answer was lost.
#[test]
fn a_call_that_ends_before_its_answer_fails_at_once() {
    let mut bed = TestBed::new(2);
    bed.caller.send(&set_up(1, 3000)).unwrap();
    bed.expect_at_server(1, kind::SET_UP);
    bed.send_from_all_servers(&release(1, cause::NORMAL));
    bed.expect_at_caller(1, kind::RELEASE, Some(cause::TEMPORARY_FAILURE));
    bed.run_for(0.5);
    assert_eq!(bed.servers_received.iter().filter(|m| m.kind == kind::SET_UP).count(), 1);
}

/// Guards against a connection that stays open and silent while its server works: callers wait, and the
/// ends of calls that the server sends on it are lost until another connection is opened.
#[test]
fn a_silent_connection_is_replaced_and_its_open_set_ups_are_sent_again() {
    let mut bed = TestBed::new(1);
    // After these answers the module knows that the server accepts several set-ups at once without delay.
    (10..20).for_each(|id| bed.establish_call(id));
    bed.send_from_all_servers(&Message::new(kind::STATE, 0).with(code::REPORT, "eps:0"));
    bed.run_iteration();
    bed.caller.send(&set_up(2, 9000)).unwrap();
    bed.expect_at_server(2, kind::SET_UP);
    bed.run_for(0.2);
    assert_eq!(bed.servers.len(), 1, "no new connection after 0.2 s: the server may be slow");
    bed.run_for(0.3);
    assert_eq!(bed.servers.len(), 2);
    let mut silent = bed.servers.remove(0);
    bed.caller.send(&set_up(3, 9000)).unwrap();
    bed.expect_at_server(3, kind::SET_UP);
    assert!(silent.read(&mut Vec::new()).is_ok(), "the silent connection stays open: the server may be slow");
    bed.send_from_all_servers(&answer(3));
    bed.expect_at_caller(3, kind::ANSWER, None);
    bed.run_for(0.5);
    assert!(silent.read(&mut Vec::new()).is_err(), "closed because a later set-up was answered");
    assert_eq!(bed.servers.len(), 2, "a new connection for messages that were sent on the silent one");
    assert_eq!(bed.servers_received.iter().filter(|m| m.call == 2 && m.kind == kind::SET_UP).count(), 2);
}

/// Guards against a healthy server that gets no calls because its new connections were reset a few times.
#[test]
fn connections_reset_right_after_opening_are_reopened_at_once() {
    let mut bed = TestBed::new(1);
    let before = bed.gatekeeper.now();
    for _ in 0..3 {
        let reset = bed.servers.remove(0);
        socket2::SockRef::from(reset.stream()).set_linger(Some(std::time::Duration::ZERO)).unwrap();
        drop(reset);
        bed.run_until("another connection", |bed| !bed.servers.is_empty());
    }
    assert!(bed.gatekeeper.now() - before < 0.5, "it waited before reconnecting");
    bed.establish_call(1);
}

/// Guards against callers that wait for the end of a call at a server that has stopped, and against other servers that
/// get no set-ups for that reason.
#[test]
fn the_calls_of_a_server_that_refuses_connections_end_and_other_servers_go_on() {
    let mut bed = TestBed::new(2);
    bed.establish_call(1);
    // The listener and the connection of server 0 close; the call stands at the pool of its first choice, 0.
    let closed_address = bed.listeners.remove(0).local_addr().unwrap();
    bed.servers.retain(|s| s.stream().local_addr().unwrap() != closed_address);
    bed.expect_at_caller(1, kind::RELEASE, Some(cause::TEMPORARY_FAILURE));
    bed.caller.send(&set_up_to(1, 2, 3000)).unwrap();
    bed.expect_at_server(2, kind::SET_UP);
}

/// Guards against callers that wait for the end of a call at a machine that vanished: it sends nothing,
/// and its connections stay open.
#[test]
fn calls_at_a_vanished_server_are_ended_in_time_and_not_early() {
    let mut bed = TestBed::new(1);
    bed.establish_call(1);
    let _full = bed.fill_backlog();
    bed.run_for(5.0);
    assert!(
        !bed.caller_received.iter().any(|m| m.kind == kind::RELEASE),
        "the server may only be unreachable for a while"
    );
    bed.run_for(2.5);
    bed.expect_at_caller(1, kind::RELEASE, Some(cause::TEMPORARY_FAILURE));
}

/// Guards against set-ups to a draining server, calls that are not ended after a server was replaced, and
/// invalid answers that are applied as the list.
#[test]
fn the_list_drains_restarts_and_removes_servers() {
    let mut bed = TestBed::new(2);
    bed.establish_call(1);
    bed.send_server_list(2, &[(0, 1, 0), (1, 0, 0)]);
    bed.caller.send(&set_up(2, 300)).unwrap();
    bed.run_for(0.4);
    bed.expect_at_caller(2, kind::RELEASE, None);
    assert!(
        !bed.caller_received.iter().any(|m| m.call == 1 && m.kind == kind::RELEASE),
        "a drain ends no standing call"
    );
    assert!(!bed.set_ups.contains(&(0, 2)), "set-up sent to a draining server");
    let started = (bed.gatekeeper.now() * 1000.0) as u64 + 50;
    bed.send_server_list(3, &[(0, 0, started), (1, 0, 0)]);
    bed.expect_at_caller(1, kind::RELEASE, Some(cause::TEMPORARY_FAILURE));
    // Wait until the server has warmed up, so that the module sends it calls.
    bed.run_for(15.0);
    bed.caller = peer(TcpStream::connect(bed.gatekeeper.address()).unwrap());
    bed.establish_call(3);
    // A list with a lower position is ignored.
    bed.send_server_list(2, &[(1, 0, 0)]);
    assert!(!bed.caller_received.iter().any(|m| m.call == 3 && m.kind == kind::RELEASE));
    bed.send_server_list(4, &[(1, 0, 0)]);
    bed.expect_at_caller(3, kind::RELEASE, Some(cause::TEMPORARY_FAILURE));
}

/// Guards against a hanging connection attempt to a server that still sends messages: it must not keep
/// set-ups from the connection that works.
#[test]
fn a_server_that_sends_reports_gets_set_ups_while_a_new_connection_to_it_hangs() {
    let mut bed = TestBed::new(1);
    bed.establish_call(1);
    let _full = bed.fill_backlog();
    // The server is silent until a second connection is being opened, then sends a report.
    bed.run_for(1.8);
    bed.send_from_all_servers(&Message::new(kind::STATE, 0).with(code::REPORT, "x0:12;x1:40"));
    bed.run_for(0.6);
    bed.caller.send(&set_up(2, 3000)).unwrap();
    bed.run_iteration();
    bed.run_iteration();
    assert!(
        bed.servers_received.iter().any(|m| m.call == 2 && m.kind == kind::SET_UP),
        "the set-up was not sent at once"
    );
}

/// Guards against an open set-up that gets no answer at SIGTERM, and against a program that does not stop.
#[test]
fn sigterm_answers_open_set_ups_and_stops() {
    let mut bed = TestBed::new(1);
    bed.caller.send(&set_up(1, 1000)).unwrap();
    bed.expect_at_server(1, kind::SET_UP);
    let signals = Signals::default();
    signals.stop.store(true, Ordering::Relaxed);
    // No server answers: the set-up is refused at its deadline, and the gatekeeper stops.
    bed.gatekeeper.run(&signals, || unreachable!("no reload was requested")).unwrap();
    bed.expect_at_caller(1, kind::RELEASE, Some(cause::CONGESTION));
}

/// Guards against an exit on SIGHUP, against a file that is incomplete or has an older list than the one in force, and
/// against queries that still go to the old resolver.
#[test]
fn a_reload_switches_the_resolver_and_keeps_calls_and_the_server_list() {
    let mut bed = TestBed::new(2);
    bed.establish_call(1);
    bed.send_server_list(5, &[(0, 0, 0), (1, 1, 0)]);
    // The list in the file, at position 1, still has server 1 as ready.
    let dns = UdpSocket::bind("127.0.0.1:0").unwrap();
    dns.set_nonblocking(true).unwrap();
    let old = std::mem::replace(&mut bed.dns, dns);
    bed.gatekeeper.reload(Config::parse("n0".into(), "127.0.0.1:0", "{\"dns\":"));
    bed.gatekeeper.reload(Ok(config(&bed.listeners, &bed.dns)));
    let mut data = [0; 512];
    while old.recv_from(&mut data).is_ok() {}
    bed.caller.send(&set_up_to(1, 2, 3000)).unwrap();
    bed.run_for(0.4);
    assert!(!bed.set_ups.contains(&(1, 2)), "set-up sent to a draining server");
    bed.send_server_list(6, &[(0, 0, 0)]);
    assert!(old.recv_from(&mut data).is_err(), "the old resolver still receives queries");
    bed.send_from_all_servers(&release(1, cause::NORMAL));
    bed.expect_at_caller(1, kind::RELEASE, Some(cause::NORMAL));
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(24))]

    /// Random steps of a caller and a server: every set-up gets one final answer, at most one release, and at
    /// most 6 attempts, the limit in the settings.
    #[test]
    fn every_set_up_gets_one_final_answer(steps in prop::collection::vec((0u8..7, 0usize..6), 1..30)) {
        let mut bed = TestBed::new(1);
        let (mut next_id, mut cancelled) = (1u64, BTreeSet::new());
        for (action, offset) in steps {
            let id = next_id.saturating_sub(1 + offset as u64).max(1);
            match action {
                0 | 1 => {
                    bed.caller.send(&set_up(next_id, 600)).unwrap();
                    next_id += 1;
                }
                // Without a set-up there is no call to send anything about.
                2..=5 if next_id == 1 => {}
                2 => bed.send_from_all_servers(&answer(id)),
                3 => bed.send_from_all_servers(&release(id, cause::FULL).with(code::REJECT_REASON, "throttled").with(code::REPORT, "eps:0.1")),
                4 => bed.send_from_all_servers(&release(id, cause::NORMAL)),
                5 if cancelled.insert(id) => drop(bed.caller.send(&release(id, cause::NORMAL))),
                _ => bed.gatekeeper.advance_clock(0.05),
            }
            bed.run_iteration();
        }
        bed.run_for(1.5);
        for id in 1..next_id {
            let to_caller: Vec<&Message> = bed.caller_received.iter().filter(|m| m.call == id).collect();
            let answers = to_caller.iter().filter(|m| m.kind == kind::ANSWER).count();
            let releases = to_caller.iter().filter(|m| m.kind == kind::RELEASE).count();
            prop_assert!(answers <= 1 && releases <= 1, "call {}: {:?}", id, to_caller);
            prop_assert!(answers + releases >= 1 || cancelled.contains(&id), "call {} received no final answer", id);
            let attempts = bed.servers_received.iter().filter(|m| m.call == id && m.kind == kind::SET_UP).count();
            prop_assert!(attempts <= 6);
        }
    }
}

/// Guards against faults with peers that write in pieces of any size: a set-up one byte at a time from the caller and
/// an answer one byte at a time from the server establish a call; a caller that stops in the middle of a message is
/// closed; a caller that disconnects ends nobody else's call.
#[test]
fn messages_in_pieces_are_assembled_and_a_caller_that_sends_half_of_one_is_closed() {
    let mut bed = TestBed::new(1);
    let mut bytes = Vec::new();
    set_up(1, 3000).encode(&mut bytes);
    for byte in &bytes {
        bed.caller.stream().write_all(&[*byte]).unwrap();
        bed.run_iteration();
    }
    bed.expect_at_server(1, kind::SET_UP);
    let mut answer_bytes = Vec::new();
    answer(1).encode(&mut answer_bytes);
    for byte in &answer_bytes {
        bed.servers[0].stream().write_all(&[*byte]).unwrap();
        bed.run_iteration();
    }
    bed.expect_at_caller(1, kind::ANSWER, None);
    // Half of a set-up, then nothing more on the open connection.
    let mut half = peer(TcpStream::connect(bed.gatekeeper.address()).unwrap());
    let mut bytes = Vec::new();
    set_up(2, 3000).encode(&mut bytes);
    half.stream().write_all(&bytes[..bytes.len() / 2]).unwrap();
    bed.run_for(3.0);
    assert!(half.read(&mut Vec::new()).is_err(), "a caller that stops in the middle of a message is closed");
    // Another caller disconnects with its set-up open: the first caller's call continues.
    let mut leaving = peer(TcpStream::connect(bed.gatekeeper.address()).unwrap());
    leaving.send(&set_up(3, 3000)).unwrap();
    bed.expect_at_server(3, kind::SET_UP);
    drop(leaving);
    bed.run_for(0.5);
    bed.send_from_all_servers(&release(1, cause::NORMAL));
    bed.expect_at_caller(1, kind::RELEASE, Some(cause::NORMAL));
}
