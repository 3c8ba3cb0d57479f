//! The queue of events, by which time passes.

use std::cmp::Reverse;

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

pub(super) fn nanos(at: f64) -> u64 {
    (at.max(0.0) * 1e9).ceil() as u64
}

pub(super) fn seconds(nanos: u64) -> f64 {
    nanos as f64 / 1e9
}

impl World {
    pub(super) fn schedule(&mut self, at: u64, ev: Event) {
        self.last_sequence += 1;
        self.queue.push(Reverse((at, self.last_sequence, ev)));
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
            let Some(Reverse((at, _, ev))) = self.queue.pop() else { break };
            self.now = seconds(at).max(self.now);
            match ev {
                Event::Arrive(connection, side) => self.deliver(connection, side),
                Event::Wake(node) => {
                    if self.nodes[node].turn_planned_at != Some(at) {
                        continue;
                    }
                    self.nodes[node].turn_planned_at = None;
                    if self.nodes[node].turn_wanted_at > at {
                        let want = self.nodes[node].turn_wanted_at;
                        self.schedule_turn(node, want);
                    } else if !self.nodes[node].paused {
                        self.turn(node, None);
                    }
                }
                Event::Writable(connection, side) | Event::Stuck(connection, side) => {
                    let Some(c) = &self.connections[connection] else { continue };
                    let (node, life, link) = (c.sides[side].node, c.sides[side].life, c.sides[side].link);
                    let full = c.sides[1 - side].full;
                    let Some(link) = link.filter(|_| life == self.nodes[node].life && self.awake(node))
                    else {
                        continue;
                    };
                    let local = self.clock(node);
                    if ev == Event::Writable(connection, side) {
                        if let Some(process) = &mut self.nodes[node].process {
                            process.node().writable(local, link);
                        }
                    } else {
                        if full.is_none_or(|since| at < since + nanos(STUCK_AFTER_S)) {
                            continue;
                        }
                        self.stuck += 1;
                        self.nodes[node].links.remove(&link);
                        self.nodes[node].connections.remove(&connection);
                        self.close(connection, node);
                        if let Some(process) = &mut self.nodes[node].process {
                            process.node().tick(local);
                            process.node().down(local, link, false);
                        }
                    }
                    self.schedule_turn(node, at);
                }
            }
            if self.now - self.last_scan >= self.scan_every {
                self.scan();
            }
        }
        self.now = end;
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
