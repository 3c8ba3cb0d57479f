//! Relays and leaves as processes: started, killed, paused, woken, and what the world keeps of each.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

use hollypaddle_relay::settings::Revision;
use hollypaddle_relay::{leaf, relay, Leaf, LinkId, Node, Relay};
use hollypaddle_replica::record::{ServerFact, ServerKey};
use rand::Rng;

use super::meter::Meter;
use super::queue::nanos;
use super::{id, Planted, World};
use crate::clock::Clock;

/// The process of a node.
pub(super) enum Process {
    Relay(Box<Relay>),
    Leaf(Box<Leaf>),
}

impl Process {
    pub(super) fn node(&mut self) -> &mut dyn Node {
        match self {
            Process::Relay(relay) => relay.as_mut(),
            Process::Leaf(leaf) => leaf.as_mut(),
        }
    }
}

/// What the world keeps of a node, whether its process runs or not.
pub(super) struct NodeState {
    pub(super) process: Option<Process>,
    /// Which of all the starts in the world was its last.
    pub(super) life: u64,
    pub(super) started: f64,
    pub(super) paused: bool,
    /// It reads nothing from its links, but goes on otherwise.
    pub(super) deaf: bool,
    /// Its machine is off: nothing answers for it.
    pub(super) powered_off: bool,
    pub(super) clock: Clock,
    /// When its next turn is planned.
    pub(super) turn_planned_at: Option<u64>,
    /// When it wants its next turn; one that was planned for earlier is put off to then.
    pub(super) turn_wanted_at: u64,
    /// The connection of each of its links, and which side of it this is.
    pub(super) links: HashMap<LinkId, (usize, usize)>,
    /// Connections that end here, also those that were not taken yet.
    pub(super) connections: BTreeSet<usize>,
    /// In which second it last had a turn without anything that came or went, and how many in that second.
    pub(super) idle_turns: (u64, u32),
    // Of a leaf.
    pub(super) meter: Meter,
    pub(super) settings: Revision,
    /// Since when it is without a relay, which one it had, and its count of attachments then.
    pub(super) orphaned: Option<(f64, usize, u32)>,
    /// Records of servers and settings that it has.
    pub(super) held: (usize, Revision),
    pub(super) servers: BTreeMap<ServerKey, (f64, ServerFact)>,
    pub(super) silent: BTreeMap<ServerKey, (f64, u64)>,
    /// Since when it is awake and on no path that was cut.
    pub(super) clear_since: f64,
    /// Up to which version its settings were counted.
    pub(super) counted_version: u64,
    /// When a relay took a message of it last, and which.
    pub(super) last_heard: Option<(f64, usize)>,
    // Of a relay.
    pub(super) in_force: Revision,
    pub(super) proposed: Revision,
    /// Whether it reached a majority when paths were opened last.
    pub(super) had_majority: bool,
    /// How many relays it reached, itself counted, at which times.
    pub(super) reachable_relays: VecDeque<(f64, usize)>,
}

impl World {
    /// Starts one that is down, with nothing of its earlier life.
    pub fn start(&mut self, node: usize) {
        if self.nodes[node].process.is_some() {
            return;
        }
        self.lives_started += 1;
        let (now, plan) = (self.clock(node), self.plan.clone());
        // Its clock may be behind what it was in its last life.
        let back = if self.set_back || self.lives_started % 7 == 3 { 1800.0 } else { 0.0 };
        let life = self.nodes[node].clock.life(self.now, back, self.rng.gen());
        let own = id(node, &plan);
        let mut timing = plan.timing;
        let process = if node < plan.relays {
            match plan.planted {
                Some(Planted::NoShare) if node == 0 => timing.max_load_ratio = 100.0,
                Some(Planted::NoBudget) => (timing.leaf_bytes_per_s, timing.burst_s) = (1e6, 10.0),
                _ => {}
            }
            let mut relays = plan.relay_places();
            if plan.planted == Some(Planted::SmallMajority) && node == 0 {
                relays.truncate(2);
            }
            let identity = relay::Identity { id: own, incarnation: life, relays, writer: id(0, &plan) };
            Process::Relay(Box::new(Relay::new(now, identity, plan.mesh, timing)))
        } else {
            match plan.planted {
                Some(Planted::SlowToLeave) => timing.silent_after_s = 6.0,
                Some(Planted::NoBudget) => (timing.report_bytes_per_s, timing.burst_s) = (1e6, 10.0),
                _ => {}
            }
            let identity = leaf::Identity {
                id: own,
                incarnation: life,
                topic: plan.topic(node),
                location: plan.place(node),
            };
            let mut leaf = Leaf::new(now, identity, plan.relay_places(), timing);
            let state = &self.nodes[node];
            for (server, (at, fact)) in &state.servers {
                leaf.set_server(self.clock_at(node, *at), *server, Some(*fact));
            }
            for (server, (at, started)) in &state.silent {
                leaf.set_silent(now, *server, *started, Some(self.clock_at(node, *at)));
            }
            Process::Leaf(Box::new(leaf))
        };
        let state = &mut self.nodes[node];
        state.process = Some(process);
        state.life = self.lives_started;
        (state.started, state.clear_since) = (self.now, self.now);
        (state.paused, state.deaf, state.powered_off) = (false, false, false);
        (state.settings, state.in_force, state.proposed) =
            (Revision::default(), Revision::default(), Revision::default());
        state.orphaned = (node >= plan.relays).then_some((self.now, usize::MAX, 0));
        (state.held, state.counted_version) = ((0, Revision::default()), 0);
        state.last_heard = None;
        self.schedule_turn(node, nanos(self.now));
    }

    /// Ends one; its connections are closed, and what came for it is lost.
    pub fn kill(&mut self, node: usize) {
        if self.nodes[node].process.is_none() {
            return;
        }
        self.mark_orphaned(node);
        self.nodes[node].process = None;
        self.nodes[node].links.clear();
        for connection in std::mem::take(&mut self.nodes[node].connections) {
            self.close(connection, node);
        }
    }

    /// Its machine vanishes: nothing closes its connections.
    pub fn vanish(&mut self, node: usize) {
        self.mark_orphaned(node);
        let state = &mut self.nodes[node];
        (state.process, state.powered_off) = (None, true);
        state.links.clear();
        state.connections.clear();
    }

    pub(super) fn mark_orphaned(&mut self, relay: usize) {
        if relay >= self.plan.relays {
            self.nodes[relay].orphaned = None;
            return;
        }
        for node in self.leaf_nodes() {
            if self.attached_to(node) == Some(relay) && self.nodes[node].orphaned.is_none() {
                let moves = self.leaf(node).map_or(0, |leaf| leaf.status(0.0).moves);
                self.nodes[node].orphaned = Some((self.now, relay, moves));
            }
        }
    }

    /// Stops one.
    pub fn pause(&mut self, node: usize) {
        if self.nodes[node].process.is_some() && !self.nodes[node].paused {
            self.nodes[node].paused = true;
            self.mark_orphaned(node);
        }
    }

    /// Lets it go on.
    pub fn wake(&mut self, node: usize) {
        if !std::mem::take(&mut self.nodes[node].paused) || self.nodes[node].process.is_none() {
            return;
        }
        self.nodes[node].clear_since = self.now;
        if node < self.plan.relays {
            // Those that had not noticed yet were not lost.
            for leaf in self.leaf_nodes() {
                if self.nodes[leaf].orphaned.is_some_and(|(_, of, _)| of == node)
                    && self.attached_to(leaf) == Some(node)
                {
                    self.nodes[leaf].orphaned = None;
                }
            }
        }
        self.schedule_turn(node, nanos(self.now));
        self.reschedule_node(node);
    }

    /// Reads nothing from its links, or does so again.
    pub fn deafen(&mut self, node: usize, deaf: bool) {
        self.nodes[node].deaf = deaf;
        if !deaf {
            self.reschedule_node(node);
        }
    }
}
