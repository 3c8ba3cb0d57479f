//! Connections between nodes: what is on its way on each, in order, until its reader takes it.

use std::collections::VecDeque;

use hollypaddle_relay::budget::HEADERS;
use hollypaddle_relay::LinkId;

use super::queue::{nanos, Ev};
use super::World;

/// Bytes that wait for a reader at most, as the buffers of a connection hold them.
pub(super) const ROOM: usize = 32 * 1024;

/// A link whose reader takes nothing for so long is closed by its front, in seconds.
pub(super) const STUCK: f64 = 5.0;

#[derive(Debug)]
pub(super) enum Item {
    /// A link was made; whether that was answered.
    Accept(bool),
    Up,
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
    pub(super) inbox: VecDeque<(u64, Item)>,
    pub(super) bytes: usize,
    /// Since when the other end has no room.
    pub(super) full: Option<u64>,
    /// An arrival is in the queue of events.
    pub(super) planned: bool,
}

#[derive(Debug)]
pub(super) struct Connection {
    pub(super) sides: [Side; 2],
}

impl World {
    /// The connections between two are reset.
    pub fn reset(&mut self, a: usize, b: usize) {
        let between = |c: &Connection| [c.sides[0].node, c.sides[1].node];
        let all: Vec<usize> = (self.slots[a].ends.iter().copied())
            .filter(|c| {
                self.connections[*c].as_ref().is_some_and(|c| between(c) == [a, b] || between(c) == [b, a])
            })
            .collect();
        for connection in all {
            for side in 0..2 {
                self.put(connection, side, Item::Close);
            }
        }
    }

    /// Bytes that wait for the reader of a link at most, now.
    pub fn longest_queue(&self) -> usize {
        let sides = self.connections.iter().flatten().flat_map(|c| c.sides.iter());
        sides.map(|side| side.bytes).max().unwrap_or(0)
    }

    /// Puts something on its way to a side of a connection.
    pub(super) fn put(&mut self, connection: usize, side: usize, item: Item) {
        let Some(c) = &self.connections[connection] else { return };
        let (from, to) = (c.sides[1 - side].node, c.sides[side].node);
        let bytes = if let Item::Frame(frame) = &item { frame.len() + HEADERS } else { 0 };
        let mut at = self.now + self.delay(from, to);
        if let Some(way) = self.ways.get_mut(&(from, to)) {
            if let Some(rate) = way.impairment.rate {
                way.free_at = way.free_at.max(self.now) + bytes as f64 / rate;
                at += way.free_at - self.now;
            }
        }
        let Some(c) = &mut self.connections[connection] else { return };
        let side_of = &mut c.sides[side];
        let at = nanos(at).max(side_of.inbox.back().map_or(0, |(at, _)| *at));
        side_of.bytes += bytes;
        side_of.inbox.push_back((at, item));
        if !side_of.planned {
            side_of.planned = true;
            self.plan_event(at, Ev::Arrive(connection, side));
        }
    }

    /// One end closes; the other one hears of it, if its way is open.
    pub(super) fn shut(&mut self, connection: usize, node: usize) {
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
        self.put(connection, 1 - side, Item::Close);
    }

    /// What waits for a node, or on a way that is open again, arrives.
    pub(super) fn replan(&mut self, node: usize) {
        let all: Vec<usize> = self.slots[node].ends.iter().copied().collect();
        all.into_iter().for_each(|c| self.replan_connection(c));
    }

    pub(super) fn unstall(&mut self) {
        (0..self.connections.len()).for_each(|c| self.replan_connection(c));
    }

    fn replan_connection(&mut self, connection: usize) {
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
            // What was lost on a cut way is sent again.
            let again = if at < now { now + nanos(self.delay(from, to)) } else { at };
            self.plan_event(again, Ev::Arrive(connection, side));
        }
    }

    pub(super) fn arrive(&mut self, connection: usize, side: usize) {
        let now = nanos(self.now);
        let Some(c) = &mut self.connections[connection] else { return };
        c.sides[side].planned = false;
        let (from, node, life) = (c.sides[1 - side].node, c.sides[side].node, c.sides[side].life);
        if self.blocked(from, node) {
            return;
        }
        let slot = &self.slots[node];
        let Some(c) = &mut self.connections[connection] else { return };
        let own = &mut c.sides[side];
        let first = matches!(own.inbox.front(), Some((_, Item::Accept(false))));
        if slot.body.is_none() || (life != slot.life && !(first && life == 0)) {
            // Nobody there any more. A machine that is off says nothing; else its kernel resets.
            let off = slot.off;
            own.inbox.clear();
            own.bytes = 0;
            if !off {
                if c.sides[1 - side].life == u64::MAX {
                    self.connections[connection] = None;
                    return;
                }
                let item = if first { Item::Refused } else { Item::Close };
                if life != u64::MAX || first {
                    c.sides[side].life = u64::MAX;
                    self.put(connection, 1 - side, item);
                }
            }
            return;
        }
        if first {
            // The kernel takes links also for a process that is paused.
            own.life = slot.life;
            if let Some(front) = own.inbox.front_mut() {
                front.1 = Item::Accept(true);
            }
            self.slots[node].ends.insert(connection);
            self.put(connection, 1 - side, Item::Up);
        }
        if self.slots[node].paused || self.slots[node].deaf {
            return;
        }
        let Some(c) = &mut self.connections[connection] else { return };
        let own = &mut c.sides[side];
        let mut items = Vec::new();
        while own.inbox.front().is_some_and(|(at, _)| *at <= now) {
            let Some((_, item)) = own.inbox.pop_front() else { break };
            if let Item::Frame(frame) = &item {
                own.bytes -= frame.len() + HEADERS;
            }
            items.push(item);
        }
        let next = own.inbox.front().map(|(at, _)| *at);
        own.planned = next.is_some();
        let writable = own.full.is_some() && own.bytes < ROOM / 2;
        if writable {
            own.full = None;
        }
        if let Some(at) = next {
            self.plan_event(at, Ev::Arrive(connection, side));
        }
        if writable {
            self.plan_event(now, Ev::Writable(connection, 1 - side));
        }
        self.turn(node, Some((connection, side, items)));
    }

    /// This end is over; so is the connection once both are.
    pub(super) fn end(&mut self, connection: usize, side: usize) {
        let Some(c) = &mut self.connections[connection] else { return };
        let own = &mut c.sides[side];
        (own.link, own.life, own.bytes) = (None, u64::MAX, 0);
        own.inbox.clear();
        if c.sides[1 - side].life == u64::MAX {
            self.connections[connection] = None;
        }
    }
}
