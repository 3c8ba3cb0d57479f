//! The queue of events, by which time passes.

use std::cmp::Reverse;

use super::network::STUCK;
use super::World;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Ev {
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
    pub(super) fn plan_event(&mut self, at: u64, ev: Ev) {
        self.queued += 1;
        self.queue.push(Reverse((at, self.queued, ev)));
    }

    pub(super) fn plan_turn(&mut self, node: usize, at: u64) {
        let slot = &mut self.slots[node];
        slot.want = at;
        if slot.wake.is_none_or(|planned| at < planned) {
            slot.wake = Some(at);
            self.plan_event(at, Ev::Wake(node));
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
                Ev::Arrive(connection, side) => self.arrive(connection, side),
                Ev::Wake(node) => {
                    if self.slots[node].wake != Some(at) {
                        continue;
                    }
                    self.slots[node].wake = None;
                    if self.slots[node].want > at {
                        let want = self.slots[node].want;
                        self.plan_turn(node, want);
                    } else if !self.slots[node].paused {
                        self.turn(node, None);
                    }
                }
                Ev::Writable(connection, side) | Ev::Stuck(connection, side) => {
                    let Some(c) = &self.connections[connection] else { continue };
                    let (node, life, link) = (c.sides[side].node, c.sides[side].life, c.sides[side].link);
                    let full = c.sides[1 - side].full;
                    let Some(link) = link.filter(|_| life == self.slots[node].life && self.awake(node))
                    else {
                        continue;
                    };
                    let local = self.clock(node);
                    if ev == Ev::Writable(connection, side) {
                        if let Some(body) = &mut self.slots[node].body {
                            body.node().writable(local, link);
                        }
                    } else {
                        if full.is_none_or(|since| at < since + nanos(STUCK)) {
                            continue;
                        }
                        self.stuck += 1;
                        self.slots[node].links.remove(&link);
                        self.slots[node].ends.remove(&connection);
                        self.shut(connection, node);
                        if let Some(body) = &mut self.slots[node].body {
                            body.node().tick(local);
                            body.node().down(local, link, false);
                        }
                    }
                    self.plan_turn(node, at);
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
