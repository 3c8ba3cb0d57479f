//! Connections between nodes: what is on its way on each, in order, until its reader takes it.

use std::collections::VecDeque;

use hollypaddle_relay::budget::PACKET_HEADER_BYTES;
use hollypaddle_relay::LinkId;

use super::queue::{nanos, Event};
use super::World;

/// Bytes that wait for a reader at most, as the buffers of a connection hold them.
pub(super) const RECEIVE_BUFFER_BYTES: usize = 32 * 1024;

/// A link whose reader takes nothing for so long is closed by its front, in seconds.
pub(super) const STUCK_AFTER_S: f64 = 5.0;

/// What is on its way on a connection.
#[derive(Debug)]
pub(super) enum Packet {
    /// A link is to be made; whether the kernel of the other end has answered.
    Connect(bool),
    /// It was taken.
    Connected,
    Frame(Vec<u8>),
    Close,
    Refused,
}

/// What goes to one end of a connection.
#[derive(Debug)]
pub(super) struct Side {
    pub(super) node: usize,
    pub(super) life: u64,
    pub(super) link: Option<LinkId>,
    pub(super) inbox: VecDeque<(u64, Packet)>,
    pub(super) bytes: usize,
    /// Since when the other end has no room.
    pub(super) full: Option<u64>,
    /// An arrival is in the queue of events.
    pub(super) planned: bool,
}

/// A connection between two nodes.
#[derive(Debug)]
pub(super) struct Connection {
    pub(super) sides: [Side; 2],
}

impl World {
    /// The connections between two are reset.
    pub fn reset(&mut self, a: usize, b: usize) {
        let between = |c: &Connection| [c.sides[0].node, c.sides[1].node];
        let all: Vec<usize> = (self.nodes[a].connections.iter().copied())
            .filter(|c| {
                self.connections[*c].as_ref().is_some_and(|c| between(c) == [a, b] || between(c) == [b, a])
            })
            .collect();
        for connection in all {
            for side in 0..2 {
                self.transmit(connection, side, Packet::Close);
            }
        }
    }

    /// Bytes that wait for the reader of a link at most, now.
    pub fn longest_queue(&self) -> usize {
        let sides = self.connections.iter().flatten().flat_map(|c| c.sides.iter());
        sides.map(|side| side.bytes).max().unwrap_or(0)
    }

    /// Puts something on its way to a side of a connection.
    pub(super) fn transmit(&mut self, connection: usize, side: usize, packet: Packet) {
        let Some(c) = &self.connections[connection] else { return };
        let (from, to) = (c.sides[1 - side].node, c.sides[side].node);
        let bytes = if let Packet::Frame(frame) = &packet { frame.len() + PACKET_HEADER_BYTES } else { 0 };
        let mut at = self.now + self.delay(from, to);
        if let Some(path) = self.paths.get_mut(&(from, to)) {
            if let Some(rate) = path.impairment.rate {
                path.free_at = path.free_at.max(self.now) + bytes as f64 / rate;
                at += path.free_at - self.now;
            }
        }
        let Some(c) = &mut self.connections[connection] else { return };
        let side_of = &mut c.sides[side];
        let at = nanos(at).max(side_of.inbox.back().map_or(0, |(at, _)| *at));
        side_of.bytes += bytes;
        side_of.inbox.push_back((at, packet));
        if !side_of.planned {
            side_of.planned = true;
            self.schedule(at, Event::Arrive(connection, side));
        }
    }

    /// One end closes; the other one hears of it, if its path is open.
    pub(super) fn close(&mut self, connection: usize, node: usize) {
        let Some(c) = &mut self.connections[connection] else { return };
        let side = usize::from(c.sides[1].node == node && c.sides[0].node != node);
        let own = &mut c.sides[side];
        (own.link, own.life) = (None, u64::MAX);
        own.inbox.clear();
        own.bytes = 0;
        if c.sides[1 - side].life == u64::MAX {
            self.connections[connection] = None;
            return;
        }
        self.transmit(connection, 1 - side, Packet::Close);
    }

    /// What waits for a node, or on a path that is open again, arrives.
    pub(super) fn reschedule_node(&mut self, node: usize) {
        let all: Vec<usize> = self.nodes[node].connections.iter().copied().collect();
        all.into_iter().for_each(|c| self.reschedule_connection(c));
    }

    pub(super) fn reschedule_all(&mut self) {
        (0..self.connections.len()).for_each(|c| self.reschedule_connection(c));
    }

    fn reschedule_connection(&mut self, connection: usize) {
        let now = nanos(self.now);
        for side in 0..2 {
            let Some(c) = &mut self.connections[connection] else { return };
            let (from, to) = (c.sides[1 - side].node, c.sides[side].node);
            let own = &mut c.sides[side];
            if own.planned || own.inbox.is_empty() {
                continue;
            }
            own.planned = true;
            let at = own.inbox.front().map_or(now, |(at, _)| *at);
            // What was lost on a cut path is sent again.
            let again = if at < now { now + nanos(self.delay(from, to)) } else { at };
            self.schedule(again, Event::Arrive(connection, side));
        }
    }

    /// What has come to one end of a connection by now is taken there, if its path and its process let it.
    pub(super) fn deliver(&mut self, connection: usize, side: usize) {
        let Some(c) = &mut self.connections[connection] else { return };
        c.sides[side].planned = false;
        let (from, node, life) = (c.sides[1 - side].node, c.sides[side].node, c.sides[side].life);
        let first = matches!(c.sides[side].inbox.front(), Some((_, Packet::Connect(false))));
        if self.blocked(from, node) {
            return;
        }
        let state = &self.nodes[node];
        if state.process.is_none() || (life != state.life && !(first && life == 0)) {
            self.bounce(connection, side, first);
            return;
        }
        if first {
            self.accept(connection, side);
        }
        if self.nodes[node].paused || self.nodes[node].deaf {
            return;
        }
        let Some(packets) = self.take_due(connection, side) else { return };
        self.turn(node, Some((connection, side, packets)));
    }

    /// Nobody is there any more. A machine that is off says nothing; else its kernel resets.
    fn bounce(&mut self, connection: usize, side: usize, first: bool) {
        let Some(c) = &mut self.connections[connection] else { return };
        let own = &mut c.sides[side];
        own.inbox.clear();
        own.bytes = 0;
        let (node, life) = (own.node, own.life);
        if self.nodes[node].powered_off {
            return;
        }
        if c.sides[1 - side].life == u64::MAX {
            self.connections[connection] = None;
            return;
        }
        if life != u64::MAX || first {
            c.sides[side].life = u64::MAX;
            let packet = if first { Packet::Refused } else { Packet::Close };
            self.transmit(connection, 1 - side, packet);
        }
    }

    /// The kernel takes a connection, also for a process that is paused.
    fn accept(&mut self, connection: usize, side: usize) {
        let Some(c) = &mut self.connections[connection] else { return };
        let own = &mut c.sides[side];
        own.life = self.nodes[own.node].life;
        if let Some(front) = own.inbox.front_mut() {
            front.1 = Packet::Connect(true);
        }
        self.nodes[own.node].connections.insert(connection);
        self.transmit(connection, 1 - side, Packet::Connected);
    }

    /// Takes what has come to one end by now, and plans what follows from it: the next arrival, and that the other end
    /// may send again.
    fn take_due(&mut self, connection: usize, side: usize) -> Option<Vec<Packet>> {
        let now = nanos(self.now);
        let own = &mut self.connections[connection].as_mut()?.sides[side];
        let mut packets = Vec::new();
        while let Some((_, packet)) = own.inbox.pop_front_if(|(at, _)| *at <= now) {
            if let Packet::Frame(frame) = &packet {
                own.bytes -= frame.len() + PACKET_HEADER_BYTES;
            }
            packets.push(packet);
        }
        let next = own.inbox.front().map(|(at, _)| *at);
        own.planned = next.is_some();
        let writable = own.full.is_some() && own.bytes < RECEIVE_BUFFER_BYTES / 2;
        if writable {
            own.full = None;
        }
        if let Some(at) = next {
            self.schedule(at, Event::Arrive(connection, side));
        }
        if writable {
            self.schedule(now, Event::Writable(connection, 1 - side));
        }
        Some(packets)
    }

    /// This end is over; so is the connection once both are.
    pub(super) fn closed(&mut self, connection: usize, side: usize) {
        let Some(c) = &mut self.connections[connection] else { return };
        let own = &mut c.sides[side];
        (own.link, own.life, own.bytes) = (None, u64::MAX, 0);
        own.inbox.clear();
        if c.sides[1 - side].life == u64::MAX {
            self.connections[connection] = None;
        }
    }
}
