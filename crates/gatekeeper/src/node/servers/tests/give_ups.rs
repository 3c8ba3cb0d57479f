//! Attempts that are given up on connections that go in that moment.

use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

use hollypaddle_core::calls::{Content, Effect, Request};
use hollypaddle_platform::message::kind;
use hollypaddle_policy::{CallId, Outcome};
use hollypaddle_standin::Peer;

use super::*;

pub(super) const POOL: PoolId = PoolId(1);

/// A server that listens, and the gatekeeper's side of it with one connection up.
pub(super) fn connected() -> (World, TcpListener, Peer) {
    connected_at(SocketAddr::from(([127, 0, 0, 1], 0)))
}

pub(super) fn connected_at(address: SocketAddr) -> (World, TcpListener, Peer) {
    let listener = TcpListener::bind(address).unwrap();
    let mut w = World::new(listener.local_addr().unwrap(), 7);
    w.list(0.0, 1, "s-0", 0.0);
    w.beat(0.0);
    let first = accept(&listener);
    w.beat(0.1);
    (w, listener, first)
}

pub(super) fn accept(listener: &TcpListener) -> Peer {
    hollypaddle_standin::peer(listener.accept().unwrap().0).unwrap()
}

impl World {
    pub(super) fn context(&mut self, now: f64) -> (&mut Servers, Context<'_>) {
        (&mut self.servers, Context { now, poller: &mut self.poller, calls: &mut self.calls })
    }

    /// An attempt of this call is given to the server. Returns the call's number here.
    pub(super) fn attempt(&mut self, now: f64, id: u64) -> CallId {
        let content = Content { number: b"7f".to_vec(), description: None };
        let request = Request { id, class: 0, wait: 9.0, dialled: 0, first_choice: 0, content };
        self.calls.offer(now, 1, request).unwrap();
        let offered = |event: &Event| match event {
            Event::Call { call, .. } => Some(*call),
            _ => None,
        };
        let call = self.calls.events.iter().find_map(offered).unwrap();
        self.calls.start_attempt(now, call, POOL, 0.0);
        self.carry_out(now);
        self.send_waiting(now);
        call
    }

    /// Gives the server what the calls order.
    pub(super) fn carry_out(&mut self, now: f64) {
        for effect in std::mem::take(&mut self.calls.effects) {
            let Effect::Command { pool, id, command } = effect else { continue };
            let (servers, mut ctx) = self.context(now);
            servers.execute(pool, id, command, &mut ctx);
        }
    }

    pub(super) fn send_waiting(&mut self, now: f64) {
        let (servers, mut ctx) = self.context(now);
        servers.send_waiting(&mut ctx);
    }
}

/// What came on a connection, which is all of one call.
fn kinds(peer: &mut Peer) -> Vec<u8> {
    let mut messages = Vec::new();
    let _ = peer.read(&mut messages);
    messages.iter().map(|message| message.kind).collect()
}

/// Guards against an attempt that is out until its caller's deadline, as the write of its give-up failed and nobody told that it
/// is over; and against an answer lost with that connection, whose call would stand at the server for nobody.
#[test]
fn an_attempt_whose_give_up_cannot_be_written_ends_with_its_connection() {
    let (mut w, listener, first) = connected();
    let call = w.attempt(0.2, 1);
    w.calls.events.clear();
    socket2::SockRef::from(first.stream()).set_linger(Some(Duration::ZERO)).unwrap();
    drop(first);
    w.calls.cancel(call, 0);
    w.carry_out(0.3);
    w.beat(0.4);
    let is_end = |e: &Event| matches!(e, Event::Ended { outcome: Outcome::Cancelled, .. });
    assert_eq!(w.calls.events.iter().filter(|event| is_end(event)).count(), 1, "{:?}", w.calls.events);
    let mut second = accept(&listener);
    w.beat(0.5);
    assert_eq!(kinds(&mut second), [kind::RELEASE]);
}
