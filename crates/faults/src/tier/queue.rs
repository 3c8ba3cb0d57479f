//! The queue of events, by which time passes.

use std::cmp::Reverse;

use hollypaddle_relay::LinkId;

use super::network::STUCK_AFTER_S;
use super::World;

/// What happens at a time: to a side of a connection, or to a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Event {
    Arrive(usize, usize),
    Wake(usize),
    Writable(usize, usize),
    Stuck(usize, usize),
}

/// A time in whole nanoseconds, as events are ordered by.
pub(super) fn nanos(at: f64) -> u64 {
    (at.max(0.0) * 1e9).ceil() as u64
}

/// The same in seconds.
pub(super) fn seconds(nanos: u64) -> f64 {
    nanos as f64 / 1e9
}

impl World {
    pub(super) fn schedule(&mut self, at: u64, event: Event) {
        self.last_sequence += 1;
        self.queue.push(Reverse((at, self.last_sequence, event)));
    }

    pub(super) fn schedule_turn(&mut self, node: usize, at: u64) {
        let state = &mut self.nodes[node];
        state.turn_wanted_at = at;
        if state.turn_planned_at.is_none_or(|planned| at < planned) {
            state.turn_planned_at = Some(at);
            self.schedule(at, Event::Wake(node));
        }
    }

    /// Plays on for so many seconds.
    pub fn pass(&mut self, seconds_on: f64) {
        let end = self.now + seconds_on;
        while let Some(Reverse((at, ..))) = self.queue.peek() {
            if seconds(*at) > end {
                break;
            }
            let Some(Reverse((at, _, event))) = self.queue.pop() else { break };
            self.now = seconds(at).max(self.now);
            if !self.handle(at, event) {
                continue;
            }
            if self.now - self.last_scan >= self.scan_every {
                self.scan();
            }
        }
        self.now = end;
    }

    /// Carries out an event; whether it was still of use.
    fn handle(&mut self, at: u64, event: Event) -> bool {
        match event {
            Event::Arrive(connection, side) => {
                self.deliver(connection, side);
                true
            }
            Event::Wake(node) => self.handle_wake(node, at),
            Event::Writable(connection, side) => self.handle_writable(connection, side, at),
            Event::Stuck(connection, side) => self.handle_stuck(connection, side, at),
        }
    }

    /// A node's turn has come, unless it was planned anew meanwhile.
    fn handle_wake(&mut self, node: usize, at: u64) -> bool {
        let state = &mut self.nodes[node];
        if state.turn_planned_at != Some(at) {
            return false;
        }
        state.turn_planned_at = None;
        let (wanted_at, paused) = (state.turn_wanted_at, state.paused);
        if wanted_at > at {
            self.schedule_turn(node, wanted_at);
        } else if !paused {
            self.turn(node, None);
        }
        true
    }

    /// A connection has room again for what a node has to say.
    fn handle_writable(&mut self, connection: usize, side: usize, at: u64) -> bool {
        let Some((node, link)) = self.open_end(connection, side) else { return false };
        let local = self.clock(node);
        if let Some(process) = &mut self.nodes[node].process {
            process.node().link_writable(local, link);
        }
        self.schedule_turn(node, at);
        true
    }

    /// A connection whose reader has taken nothing for long is closed.
    fn handle_stuck(&mut self, connection: usize, side: usize, at: u64) -> bool {
        let Some((node, link)) = self.open_end(connection, side) else { return false };
        let full_since = self.connections[connection].as_ref().and_then(|c| c.sides[1 - side].full);
        if full_since.is_none_or(|since| at < since + nanos(STUCK_AFTER_S)) {
            return false;
        }
        self.stuck += 1;
        self.nodes[node].links.remove(&link);
        self.nodes[node].connections.remove(&connection);
        self.close(connection, node);
        let local = self.clock(node);
        if let Some(process) = &mut self.nodes[node].process {
            process.node().tick(local);
            process.node().link_down(local, link, false);
        }
        self.schedule_turn(node, at);
        true
    }

    /// The node and the link at one end of a connection, if it is open there and the node awake.
    fn open_end(&self, connection: usize, side: usize) -> Option<(usize, LinkId)> {
        let own = &self.connections[connection].as_ref()?.sides[side];
        let open = own.life == self.nodes[own.node].life && self.awake(own.node);
        Some((own.node, own.link.filter(|_| open)?))
    }

    /// Plays on until something holds, for so many seconds at most; after how many it did.
    pub fn until(&mut self, most: f64, holds: impl Fn(&World) -> bool) -> Option<f64> {
        let from = self.now;
        while self.now - from < most {
            if holds(self) {
                return Some(self.now - from);
            }
            self.pass(0.05);
        }
        holds(self).then_some(self.now - from)
    }
}
