//! Relays and leaves as processes: started, killed, paused, woken, and what the world keeps of each.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

use hollypaddle_relay::settings::Mark;
use hollypaddle_relay::{leaf, relay, Leaf, LinkId, Node, Relay};
use hollypaddle_replica::record::{ServerFact, ServerKey};
use rand::Rng;

use super::meter::Meter;
use super::queue::nanos;
use super::{id, Planted, World};
use crate::clock::Clock;

pub(super) enum Body {
    Relay(Box<Relay>),
    Leaf(Box<Leaf>),
}

impl Body {
    pub(super) fn node(&mut self) -> &mut dyn Node {
        match self {
            Body::Relay(relay) => relay.as_mut(),
            Body::Leaf(leaf) => leaf.as_mut(),
        }
    }
}

pub(super) struct Slot {
    pub(super) body: Option<Body>,
    pub(super) life: u64,
    pub(super) started: f64,
    pub(super) paused: bool,
    /// It reads nothing from its links, but goes on otherwise.
    pub(super) deaf: bool,
    /// Its machine is off: nothing answers for it.
    pub(super) off: bool,
    pub(super) clock: Clock,
    /// When its next turn is planned.
    pub(super) wake: Option<u64>,
    pub(super) want: u64,
    pub(super) links: HashMap<LinkId, (usize, usize)>,
    /// Connections that end here, also those that were not taken yet.
    pub(super) ends: BTreeSet<usize>,
    pub(super) idle: (u64, u32),
    // Of a leaf.
    pub(super) meter: Meter,
    pub(super) settings: Mark,
    /// Since when it is without a relay, which one it had, and its count of attachments then.
    pub(super) orphaned: Option<(f64, usize, u32)>,
    /// Records of servers and settings that it has.
    pub(super) has: (usize, Mark),
    pub(super) servers: BTreeMap<ServerKey, (f64, ServerFact)>,
    pub(super) silent: BTreeMap<ServerKey, (f64, u64)>,
    /// Since when it is awake and on no way that was cut.
    pub(super) clear_since: f64,
    /// Up to which version its settings were counted.
    pub(super) told_settings: u64,
    /// When a relay took a message of it last, and which.
    pub(super) heard: Option<(f64, usize)>,
    // Of a relay.
    pub(super) in_force: Mark,
    pub(super) proposed: Mark,
    /// Whether it reached a majority when ways were opened last.
    pub(super) reached_before: bool,
    /// How many relays it reached, itself counted, at which times.
    pub(super) lows: VecDeque<(f64, usize)>,
}

impl World {
    /// Starts one that is down, with nothing of its earlier life.
    pub fn start(&mut self, node: usize) {
        if self.slots[node].body.is_some() {
            return;
        }
        self.lives += 1;
        let (now, plan) = (self.clock(node), self.plan.clone());
        // Its clock may be behind what it was in its last life.
        let back = if self.set_back || self.lives % 7 == 3 { 1800.0 } else { 0.0 };
        let life = self.slots[node].clock.life(self.now, back, self.rng.gen());
        let own = id(node, &plan);
        let mut timing = plan.timing;
        let body = if node < plan.relays {
            match plan.planted {
                Some(Planted::NoShare) if node == 0 => timing.bound = 100.0,
                Some(Planted::NoBudget) => (timing.leaf_rate, timing.burst) = (1e6, 10.0),
                _ => {}
            }
            let mut relays = plan.relay_places();
            if plan.planted == Some(Planted::SmallMajority) && node == 0 {
                relays.truncate(2);
            }
            let identity = relay::Identity { own, life, relays, writer: id(0, &plan) };
            Body::Relay(Box::new(Relay::new(now, identity, plan.mesh, timing)))
        } else {
            match plan.planted {
                Some(Planted::SlowToLeave) => timing.silent = 6.0,
                Some(Planted::NoBudget) => (timing.report_rate, timing.burst) = (1e6, 10.0),
                _ => {}
            }
            let identity = leaf::Identity { own, life, topic: plan.topic(node), place: plan.place(node) };
            let mut leaf = Leaf::new(now, identity, plan.relay_places(), timing);
            let slot = &self.slots[node];
            for (server, (at, fact)) in &slot.servers {
                leaf.server(self.local(node, *at), *server, Some(*fact));
            }
            for (server, (at, started)) in &slot.silent {
                leaf.silent(now, *server, *started, Some(self.local(node, *at)));
            }
            Body::Leaf(Box::new(leaf))
        };
        let slot = &mut self.slots[node];
        slot.body = Some(body);
        slot.life = self.lives;
        (slot.started, slot.clear_since) = (self.now, self.now);
        (slot.paused, slot.deaf, slot.off) = (false, false, false);
        (slot.settings, slot.in_force, slot.proposed) = (Mark::default(), Mark::default(), Mark::default());
        slot.orphaned = (node >= plan.relays).then_some((self.now, usize::MAX, 0));
        (slot.has, slot.told_settings) = ((0, Mark::default()), 0);
        slot.heard = None;
        self.plan_turn(node, nanos(self.now));
    }

    /// Ends one; its connections are closed, and what came for it is lost.
    pub fn kill(&mut self, node: usize) {
        if self.slots[node].body.is_none() {
            return;
        }
        self.orphan(node);
        self.slots[node].body = None;
        self.slots[node].links.clear();
        for connection in std::mem::take(&mut self.slots[node].ends) {
            self.shut(connection, node);
        }
    }

    /// Its machine vanishes: nothing closes its connections.
    pub fn vanish(&mut self, node: usize) {
        self.orphan(node);
        let slot = &mut self.slots[node];
        (slot.body, slot.off) = (None, true);
        slot.links.clear();
        slot.ends.clear();
    }

    pub(super) fn orphan(&mut self, relay: usize) {
        if relay >= self.plan.relays {
            self.slots[relay].orphaned = None;
            return;
        }
        for node in self.leaf_nodes() {
            if self.attached_to(node) == Some(relay) && self.slots[node].orphaned.is_none() {
                let moves = self.leaf(node).map_or(0, |leaf| leaf.status(0.0).moves);
                self.slots[node].orphaned = Some((self.now, relay, moves));
            }
        }
    }

    /// Stops one.
    pub fn pause(&mut self, node: usize) {
        if self.slots[node].body.is_some() && !self.slots[node].paused {
            self.slots[node].paused = true;
            self.orphan(node);
        }
    }

    /// Lets it go on.
    pub fn wake(&mut self, node: usize) {
        if !std::mem::take(&mut self.slots[node].paused) || self.slots[node].body.is_none() {
            return;
        }
        self.slots[node].clear_since = self.now;
        if node < self.plan.relays {
            // Those that had not noticed yet were not lost.
            for leaf in self.leaf_nodes() {
                if self.slots[leaf].orphaned.is_some_and(|(_, of, _)| of == node)
                    && self.attached_to(leaf) == Some(node)
                {
                    self.slots[leaf].orphaned = None;
                }
            }
        }
        self.plan_turn(node, nanos(self.now));
        self.replan(node);
    }

    /// Reads nothing from its links, or does so again.
    pub fn deafen(&mut self, node: usize, deaf: bool) {
        self.slots[node].deaf = deaf;
        if !deaf {
            self.replan(node);
        }
    }
}
