//! A node's turn: it hears what came, says what is due, closes and dials.

use std::collections::VecDeque;

use hollypaddle_relay::budget::HEADERS;
use hollypaddle_relay::message::Message;
use rand::Rng;

use super::network::{Connection, Item, Side, ROOM, STUCK};
use super::nodes::Body;
use super::queue::{nanos, Ev};
use super::World;

/// Turns of a node within a second, without anything that came, at most: more is a loop that never sleeps.
const IDLE_TURNS: u32 = 500;

impl World {
    /// A node's own turn: time, what came, what is to be said.
    pub(super) fn turn(&mut self, node: usize, came: Option<(usize, usize, Vec<Item>)>) {
        let local = self.clock(node);
        let Some(mut body) = self.slots[node].body.take() else { return };
        self.turns += 1;
        let idle = came.is_none();
        body.node().tick(local);
        if let Some((connection, side, items)) = came {
            for item in items {
                self.item(node, &mut body, local, connection, side, item);
            }
        }
        let mut said = false;
        for link in body.node().due(local) {
            let Some((connection, side)) = self.slots[node].links.get(&link).copied() else { continue };
            while let Some(c) = &mut self.connections[connection] {
                let other = &mut c.sides[1 - side];
                if other.bytes >= ROOM {
                    if other.full.is_none() {
                        let now = nanos(self.now);
                        other.full = Some(now);
                        self.plan_event(now + nanos(STUCK), Ev::Stuck(connection, side));
                    }
                    break;
                }
                let Some(message) = body.node().say(local, link) else { break };
                said = true;
                self.say(node, connection, side, message);
            }
        }
        for link in body.node().closes() {
            if let Some((connection, _)) = self.slots[node].links.remove(&link) {
                self.slots[node].ends.remove(&connection);
                self.shut(connection, node);
            }
        }
        for (link, to) in body.node().dials(local) {
            let Some(&other) = self.numbers.get(&to) else { continue };
            let life = self.slots[node].life;
            let side = |node, life, link| Side {
                node,
                life,
                link,
                inbox: VecDeque::new(),
                bytes: 0,
                full: None,
                planned: false,
            };
            let connection = self.connections.len();
            self.connections.push(Some(Box::new(Connection {
                sides: [side(node, life, Some(link)), side(other, 0, None)],
            })));
            self.slots[node].links.insert(link, (connection, 0));
            self.slots[node].ends.insert(connection);
            self.put(connection, 1, Item::Accept(false));
        }
        self.observe(node, &mut body, local);
        let next = body.node().next_at();
        self.slots[node].body = Some(body);
        let slot = &mut self.slots[node];
        let second = self.now as u64;
        if idle && !said {
            slot.idle = if slot.idle.0 == second { (second, slot.idle.1 + 1) } else { (second, 1) };
            if slot.idle.1 == IDLE_TURNS {
                self.breaks("a node that has nothing to do sleeps", format!("node {node} turns without end"));
            }
        }
        let slot = &self.slots[node];
        let at = slot.clock.world_time(next).max(self.now + 1e-4).min(self.now + 3600.0);
        self.plan_turn(node, nanos(at));
    }

    pub(super) fn item(
        &mut self,
        node: usize,
        body: &mut Body,
        local: f64,
        connection: usize,
        side: usize,
        item: Item,
    ) {
        let Some(c) = &mut self.connections[connection] else { return };
        let (link, from) = (c.sides[side].link, c.sides[1 - side].node);
        match (item, link) {
            (Item::Accept(_), _) => {
                let link = body.node().accepted(local);
                c.sides[side].link = Some(link);
                self.slots[node].links.insert(link, (connection, side));
            }
            (Item::Up, Some(link)) => body.node().up(local, link),
            (Item::Frame(frame), Some(link)) => {
                let message = match Message::decode(&frame) {
                    Ok(Some((message, whole))) if whole == frame.len() => message,
                    other => return self.breaks("what is said can be read", format!("{other:?}")),
                };
                self.heard(node, from, &message);
                if let Err(error) = body.node().hear(local, link, &message) {
                    *self.errors.entry(error.name()).or_default() += 1;
                    self.slots[node].links.remove(&link);
                    self.slots[node].ends.remove(&connection);
                    self.shut(connection, node);
                    body.node().down(local, link, false);
                }
            }
            (item @ (Item::Close | Item::Refused), link) => {
                if let Some(link) = link {
                    self.slots[node].links.remove(&link);
                    body.node().down(local, link, matches!(item, Item::Refused));
                }
                self.slots[node].ends.remove(&connection);
                self.end(connection, side);
            }
            (Item::Up | Item::Frame(_), None) => {}
        }
    }

    /// A message leaves a node.
    pub(super) fn say(&mut self, node: usize, connection: usize, side: usize, message: Message) {
        let Some(c) = &self.connections[connection] else { return };
        let to = c.sides[1 - side].node;
        let Some(message) = self.bent(node, to, message) else { return };
        let mut frame = Vec::new();
        let bytes = message.encode(&mut frame);
        if bytes == 0 {
            return self.breaks("what is said can be told", format!("{message:?}"));
        }
        let bytes = bytes + HEADERS;
        let kind = self.said.entry(message.kind()).or_default();
        (kind.0, kind.1) = (kind.0 + 1, kind.1 + bytes as u64);
        let second = self.now as u64;
        for leaf in [node, to].into_iter().filter(|n| *n >= self.plan.relays) {
            self.slots[leaf].meter.add(second, bytes, &mut self.spread);
        }
        if self.loss > 0.0 && self.rng.gen_bool(self.loss) {
            return;
        }
        self.put(connection, 1 - side, Item::Frame(frame));
    }
}
