//! A node's turn: it hears what came, says what is due, closes and dials.

use std::collections::VecDeque;

use hollypaddle_relay::budget::PACKET_HEADER_BYTES;
use hollypaddle_relay::message::Message;
use rand::Rng;

use super::network::{Connection, Packet, Side, RECEIVE_BUFFER_BYTES, STUCK_AFTER_S};
use super::nodes::Process;
use super::queue::{nanos, Event};
use super::World;

/// Turns of a node within a second, without anything that came, at most: more is a loop that never sleeps.
const MOST_IDLE_TURNS: u32 = 500;

impl World {
    /// A node's own turn: time, what came, what is to be said.
    pub(super) fn turn(&mut self, node: usize, came: Option<(usize, usize, Vec<Packet>)>) {
        let local = self.clock(node);
        let Some(mut process) = self.nodes[node].process.take() else { return };
        self.turns += 1;
        let idle = came.is_none();
        process.node().tick(local);
        if let Some((connection, side, packets)) = came {
            for packet in packets {
                self.receive(node, &mut process, local, connection, side, packet);
            }
        }
        let said = self.send_due(node, &mut process, local);
        self.close_ended(node, &mut process);
        self.dial(node, &mut process, local);
        self.observe(node, &mut process, local);
        let next = process.node().next_tick_at();
        self.nodes[node].process = Some(process);
        if idle && !said {
            self.count_idle_turn(node);
        }
        let state = &self.nodes[node];
        let at = state.clock.world_time(next).max(self.now + 1e-4).min(self.now + 3600.0);
        self.schedule_turn(node, nanos(at));
    }

    /// Sends what a node has to say, as far as its connections have room; whether that was anything.
    fn send_due(&mut self, node: usize, process: &mut Process, local: f64) -> bool {
        let mut said = false;
        for link in process.node().links_to_serve(local) {
            let Some((connection, side)) = self.nodes[node].links.get(&link).copied() else { continue };
            while let Some(c) = &mut self.connections[connection] {
                let other = &mut c.sides[1 - side];
                if other.bytes >= RECEIVE_BUFFER_BYTES {
                    if other.full.is_none() {
                        let now = nanos(self.now);
                        other.full = Some(now);
                        self.schedule(now + nanos(STUCK_AFTER_S), Event::Stuck(connection, side));
                    }
                    break;
                }
                let Some(message) = process.node().next_message(local, link) else { break };
                said = true;
                self.send(node, connection, side, message);
            }
        }
        said
    }

    /// Closes the connections that a node is done with.
    fn close_ended(&mut self, node: usize, process: &mut Process) {
        for link in process.node().links_to_close() {
            if let Some((connection, _)) = self.nodes[node].links.remove(&link) {
                self.nodes[node].connections.remove(&connection);
                self.close(connection, node);
            }
        }
    }

    /// Makes the connections that a node wants.
    fn dial(&mut self, node: usize, process: &mut Process, local: f64) {
        for (link, to) in process.node().links_to_open(local) {
            let Some(&other) = self.node_by_id.get(&to) else { continue };
            let life = self.nodes[node].life;
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
            self.nodes[node].links.insert(link, (connection, 0));
            self.nodes[node].connections.insert(connection);
            self.transmit(connection, 1, Packet::Connect(false));
        }
    }

    /// Counts a turn without anything that came or went.
    fn count_idle_turn(&mut self, node: usize) {
        let state = &mut self.nodes[node];
        let second = self.now as u64;
        state.idle_turns =
            if state.idle_turns.0 == second { (second, state.idle_turns.1 + 1) } else { (second, 1) };
        if state.idle_turns.1 == MOST_IDLE_TURNS {
            self.record_violation(
                "a node that has nothing to do sleeps",
                format!("node {node} turns without end"),
            );
        }
    }

    /// A node takes a packet.
    fn receive(
        &mut self,
        node: usize,
        process: &mut Process,
        local: f64,
        connection: usize,
        side: usize,
        packet: Packet,
    ) {
        let Some(c) = &mut self.connections[connection] else { return };
        let (link, from) = (c.sides[side].link, c.sides[1 - side].node);
        match (packet, link) {
            (Packet::Connect(_), _) => {
                let link = process.node().accept_link(local);
                c.sides[side].link = Some(link);
                self.nodes[node].links.insert(link, (connection, side));
            }
            (Packet::Connected, Some(link)) => process.node().link_up(local, link),
            (Packet::Frame(frame), Some(link)) => {
                let message = match Message::decode(&frame) {
                    Ok(Some((message, whole))) if whole == frame.len() => message,
                    other => return self.record_violation("what is said can be read", format!("{other:?}")),
                };
                self.observe_message(node, from, &message);
                if let Err(error) = process.node().receive(local, link, &message) {
                    *self.errors.entry(error.name()).or_default() += 1;
                    self.nodes[node].links.remove(&link);
                    self.nodes[node].connections.remove(&connection);
                    self.close(connection, node);
                    process.node().link_down(local, link, false);
                }
            }
            (packet @ (Packet::Close | Packet::Refused), link) => {
                if let Some(link) = link {
                    self.nodes[node].links.remove(&link);
                    process.node().link_down(local, link, matches!(packet, Packet::Refused));
                }
                self.nodes[node].connections.remove(&connection);
                self.closed(connection, side);
            }
            (Packet::Connected | Packet::Frame(_), None) => {}
        }
    }

    /// A message leaves a node.
    fn send(&mut self, node: usize, connection: usize, side: usize, message: Message) {
        let Some(c) = &self.connections[connection] else { return };
        let to = c.sides[1 - side].node;
        let Some(message) = self.apply_planted(node, to, message) else { return };
        let mut frame = Vec::new();
        let bytes = message.encode(&mut frame);
        if bytes == 0 {
            return self.record_violation("what is said can be told", format!("{message:?}"));
        }
        let bytes = bytes + PACKET_HEADER_BYTES;
        let kind = self.said.entry(message.kind()).or_default();
        (kind.0, kind.1) = (kind.0 + 1, kind.1 + bytes as u64);
        let second = self.now as u64;
        for leaf in [node, to].into_iter().filter(|n| *n >= self.plan.relays) {
            self.nodes[leaf].meter.add(second, bytes, &mut self.byte_histogram);
        }
        if self.loss > 0.0 && self.rng.gen_bool(self.loss) {
            return;
        }
        self.transmit(connection, 1 - side, Packet::Frame(frame));
    }
}
