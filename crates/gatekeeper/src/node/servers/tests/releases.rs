//! Releases whose connection goes before the server confirmed them.

use std::io::Write;
use std::net::{Shutdown, TcpListener};
use std::time::Duration;

use hollypaddle_platform::message::{kind, Message};
use hollypaddle_standin::{answer, Peer};

use super::super::release::RESEND_LIMIT_S;
use super::super::release_queue::{MAX_RESENT_AT_ONCE, MAX_UNCONFIRMED};
use super::give_ups::{accept, connected, connected_at, POOL};
use super::*;

/// Time between two looks, in seconds.
const STEP: f64 = 0.05;

impl World {
    fn release(&mut self, now: f64, ids: impl IntoIterator<Item = u64>) {
        for id in ids {
            let (servers, mut ctx) = self.context(now);
            servers.execute(POOL, id, Command::Release, &mut ctx);
        }
    }

    /// What the server reads within so many seconds on the connections that come, which are closed then.
    fn hear(&mut self, from: f64, seconds: f64, listener: &TcpListener) -> Vec<Message> {
        self.hear_open(from, seconds, listener).0
    }

    /// What the server reads within so many seconds on the connections that come, and these.
    fn hear_open(&mut self, from: f64, seconds: f64, listener: &TcpListener) -> (Vec<Message>, Vec<Peer>) {
        listener.set_nonblocking(true).unwrap();
        let (mut peers, mut messages): (Vec<Peer>, Vec<Message>) = Default::default();
        for step in 0..(seconds / STEP) as u32 {
            let now = from + STEP * f64::from(step);
            self.beat(now);
            self.send_waiting(now);
            peers.extend(listener.accept().map(|(stream, _)| hollypaddle_standin::peer(stream).unwrap()));
            peers.iter_mut().for_each(|peer| drop(peer.read(&mut messages)));
        }
        (messages, peers)
    }

    fn until(&mut self, now: f64, what: &str, mut done: impl FnMut(&mut World) -> bool) {
        for _ in 0..1000 {
            self.beat(now);
            if done(self) {
                return;
            }
            std::thread::sleep(Duration::from_millis(1));
        }
        panic!("waited in vain for {what}");
    }

    fn server(&mut self) -> &mut Server {
        self.servers.servers.get_mut(&POOL).unwrap()
    }

    fn connect(&mut self, now: f64) {
        let mut ctx = Context { now, poller: &mut self.poller, calls: &mut self.calls };
        self.servers.servers.get_mut(&POOL).unwrap().connect(POOL, &self.servers.link, &mut ctx);
        self.beat(now);
    }
}

fn releases(messages: &[Message]) -> Vec<u64> {
    messages.iter().filter(|m| m.kind == kind::RELEASE).map(|m| m.call).collect()
}

fn closed_unread(w: &mut World, peer: Peer) -> Option<Peer> {
    w.release(0.2, [1]);
    drop(peer);
    None
}

fn closed_before_the_write(w: &mut World, peer: Peer) -> Option<Peer> {
    drop(peer);
    w.release(0.2, [1]);
    None
}

fn half_closed(w: &mut World, peer: Peer) -> Option<Peer> {
    w.release(0.2, [1]);
    peer.stream().shutdown(Shutdown::Write).unwrap();
    Some(peer)
}

fn spoilt(w: &mut World, peer: Peer, bytes: &[u8]) -> Option<Peer> {
    w.release(0.2, [1]);
    peer.stream().write_all(bytes).unwrap();
    Some(peer)
}

fn drained(w: &mut World, peer: Peer) -> Option<Peer> {
    w.server().listed.readiness = Readiness::Draining;
    closed_unread(w, peer)
}

fn closed_to_make_room(w: &mut World, peer: Peer) -> Option<Peer> {
    w.release(0.2, [1]);
    [0.5, 1.0, 1.5].into_iter().for_each(|now| w.connect(now));
    Some(peer)
}

/// So many releases are sent to a server that reads nothing that more than may be kept wait in our buffer, this one last.
fn never_written(w: &mut World, peer: Peer) -> Option<Peer> {
    socket2::SockRef::from(peer.stream()).set_recv_buffer_size(4096).unwrap();
    let blocked = |w: &mut World| w.server().channels.values().all(|c| c.connection.blocked());
    for id in 100.. {
        if blocked(w) {
            break;
        }
        w.release(0.2, [id]);
    }
    w.release(0.2, 1_000_000..1_000_000 + 2 * MAX_UNCONFIRMED as u64);
    closed_unread(w, peer)
}

/// Guards against a release that is lost in one of the ways in which its connection may go.
#[test]
fn a_release_left_unread_is_sent_again_whichever_way_its_connection_goes() {
    type Way = fn(&mut World, Peer) -> Option<Peer>;
    let ways: [(&str, Way); 9] = [
        ("closed", closed_unread),
        ("closed before the write", closed_before_the_write),
        ("half closed", half_closed),
        ("unreadable", |w, peer| spoilt(w, peer, &[0xff; 64])),
        ("improper", |w, peer| spoilt(w, peer, &[0, 9, kind::SET_UP, 0, 0, 0, 0, 0, 0, 0, 9])),
        ("stalled", |w, peer| spoilt(w, peer, &[0, 20, 9])),
        ("drained", drained),
        ("closed to make room", closed_to_make_room),
        ("never written", never_written),
    ];
    let wrong: Vec<(&str, usize)> = ways
        .into_iter()
        .map(|(name, way)| {
            let (mut w, listener, first) = connected();
            let _kept = way(&mut w, first);
            let came = releases(&w.hear(2.0, 3.0, &listener));
            assert!(came.len() <= MAX_UNCONFIRMED, "{name}: {} are kept", came.len());
            (name, came.iter().filter(|id| **id == 1).count())
        })
        .filter(|(_, times)| *times != 1)
        .collect();
    assert!(wrong.is_empty(), "times sent again: {wrong:?}");
}

/// Guards against a release that is lost as its server was silent for long before the connection went.
#[test]
fn a_release_left_unread_for_long_is_sent_again() {
    let (mut w, listener, first) = connected();
    w.release(0.2, [1]);
    w.beat(10.0 * RESEND_LIMIT_S);
    drop(first);
    assert_eq!(releases(&w.hear(10.1 * RESEND_LIMIT_S, 1.0, &listener)), [1]);
}

/// Guards against releases of long ago that are sent again each time that a server closes an idle connection.
#[test]
fn what_a_server_confirms_is_not_sent_again() {
    // The answer to a set-up confirms what went out before it, the word that a release was heard that one too.
    for (confirmation, left) in [(answer(2), vec![3, 4]), (Message::new(kind::RELEASE_HEARD, 3), vec![4])] {
        let (mut w, listener, mut first) = connected();
        w.release(0.2, [1]);
        w.attempt(0.2, 2);
        w.release(0.2, [3, 4]);
        first.send(&confirmation).unwrap();
        w.beat(0.3);
        drop(first);
        let came = releases(&w.hear(0.4, 1.0, &listener));
        let others: Vec<u64> = came.into_iter().filter(|id| *id != 2).collect();
        assert_eq!(others, left, "{confirmation:?}");
    }
}

/// Guards against a release that is lost as an answer elsewhere, which may be to an earlier attempt, seems to confirm it.
#[test]
fn an_answer_on_another_connection_confirms_nothing() {
    let (mut w, listener, mut first) = connected();
    w.connect(0.5);
    let second = accept(&listener);
    w.release(0.6, [1]);
    w.attempt(0.6, 2);
    first.send(&answer(2)).unwrap();
    w.until(0.7, "the answer", |w| w.calls.is_standing(2));
    drop(second);
    let mut messages = Vec::new();
    w.until(0.8, "the release", |_| {
        first.read(&mut messages).unwrap();
        !messages.is_empty()
    });
    assert_eq!(releases(&messages), [1]);
}

/// Guards against a call that stands for nobody, as its answer was lost with the give-up; and against a give-up sent again
/// right before a later attempt, which it might overtake on another connection.
#[test]
fn a_give_up_left_unread_is_sent_again_once_its_call_is_over() {
    let (mut w, listener, first) = connected();
    let call = w.attempt(0.2, 1);
    w.calls.cancel(call, 0);
    w.carry_out(0.3);
    drop(first);
    assert!(w.hear(0.4, 1.0, &listener).is_empty(), "it may be tried again");
    w.calls.refuse(call, 1.0);
    assert_eq!(releases(&w.hear(2.0, 3.0, &listener)), [1]);
}

/// Guards against a later attempt of a call at the same server that is cut by the give-up of an earlier one, which is kept to be
/// sent again, or is out on another connection that goes.
#[test]
fn a_give_up_never_cuts_a_later_attempt() {
    for kept in [true, false] {
        let (mut w, listener, first) = connected();
        let call = w.attempt(0.2, 1);
        w.calls.cancel(call, 0);
        w.carry_out(0.3);
        let mut first = Some(first);
        match kept {
            true => drop(first.take()),
            false => w.connect(0.4),
        }
        w.beat(0.5);
        w.calls.start_attempt(2.0, call, POOL, 0.0);
        w.carry_out(2.0);
        let (came, mut peers) = w.hear_open(2.0, 1.0, &listener);
        assert_eq!(came.iter().map(|m| m.kind).collect::<Vec<u8>>(), [kind::SET_UP], "{came:?}");
        peers[0].send(&answer(1)).unwrap();
        w.until(3.0, "the answer", |w| w.calls.is_standing(1));
        drop((first, peers));
        let came = releases(&w.hear(3.1, 5.0, &listener));
        assert!(came.is_empty(), "kept: {kept}, {came:?}");
    }
}

/// Guards against a server that comes back cold and is met with the releases of calls that went with its earlier process; and,
/// where nothing tells that it is another one, with all of them at once.
#[test]
fn a_server_that_came_back_is_not_flooded_with_releases() {
    let ids = 1..=1000;
    // Nobody else takes its port while it does not listen.
    let address = hollypaddle_standin::free_addresses(1).unwrap()[0];
    let (mut w, listener, first) = connected_at(address);
    w.release(0.2, ids.clone());
    drop((first, listener));
    w.until(0.3, "a refused connect", |w| w.server().channels.is_empty() && w.server().tried == 2);
    let listener = TcpListener::bind(address).unwrap();
    let (came, peers) = w.hear_open(0.4, 10.0, &listener);
    assert!(!peers.is_empty() && came.is_empty(), "it refused a connection: {came:?}");

    let (mut w, listener, first) = connected();
    w.release(0.2, ids.clone());
    drop(first);
    w.list(0.3, 2, "s-0", 0.25);
    let (came, peers) = w.hear_open(0.4, 10.0, &listener);
    assert!(!peers.is_empty() && came.is_empty(), "its start was told: {came:?}");

    let (mut w, listener, first) = connected();
    w.release(0.2, ids);
    drop(first);
    let came = releases(&w.hear(0.3, 2.0 * STEP, &listener));
    assert!(!came.is_empty() && came.len() <= 2 * MAX_RESENT_AT_ONCE, "{}", came.len());
}

/// Guards against connections that would not come without a release to be sent again, and against one that is sent again on
/// each connection for as long as nothing else is said.
#[test]
fn a_release_sent_again_brings_no_connection_and_expires() {
    let [with, without] = [true, false].map(|with| {
        let (mut w, listener, first) = connected();
        w.release(0.2, with.then_some(1));
        drop(first);
        let mut came = Vec::new();
        for second in 0..100 {
            let now = 0.3 + f64::from(second);
            came.extend(releases(&w.hear(now, 1.0, &listener)).into_iter().map(|_| now));
        }
        (w.tried(), came)
    });
    assert_eq!(with.0, without.0);
    let (first, last) = (with.1[0], with.1[with.1.len() - 1]);
    assert!(first < last && last <= first + RESEND_LIMIT_S + 1.0, "{:?}", with.1);
}
