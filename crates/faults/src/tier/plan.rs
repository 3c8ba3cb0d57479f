//! What is played: the size of the tier, its zones and topics, and the fault that is put in on purpose.

use hollypaddle_membership::MemberId;
use hollypaddle_relay::placement::{NodeLocation, RelayLocation};
use hollypaddle_relay::Timing;
use hollypaddle_replica::record::{ServerKey, Topic};
use hollypaddle_replica::Settings as MeshSettings;

/// A fault put in on purpose, which the invariants must find.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Planted {
    /// A relay tells of a leaf that lives that it is gone.
    MadeUpDeath,
    /// A relay tells a leaf of another topic's servers.
    OtherTopics,
    /// A record is left out of what a relay tells, each time.
    SkipsRecords,
    /// A leaf forgets what it holds when it loses its relay.
    ForgetsAlone,
    /// A relay says that it has stored what it has not.
    StoresNothing,
    /// The writer counts a majority among fewer relays than there are.
    SmallMajority,
    /// What is said of settings to one leaf is lost, each time.
    LosesSettings,
    /// A relay takes every leaf that comes.
    NoShare,
    /// What relays and leaves say is not held to a rate.
    NoBudget,
    /// A leaf waits too long for a relay that is silent.
    SlowToLeave,
}

/// What is played.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Relays.
    pub relays: usize,
    /// Leaves.
    pub leaves: usize,
    /// Services, each a topic; leaf n is of n modulo this.
    pub topics: usize,
    /// Zones; relay n stands in n modulo this.
    pub zones: usize,
    /// How many of the zones are of the first region; the others are of the second.
    pub first: usize,
    /// Servers of a topic, which each of its leaves tells of.
    pub servers: usize,
    /// What a path takes within a region and between two, in seconds.
    pub delay: (f64, f64),
    /// Chance that a message is lost.
    pub loss: f64,
    /// Times and bounds of relays and leaves.
    pub timing: Timing,
    /// Of the mesh between relays.
    pub mesh: MeshSettings,
    /// A fault put in on purpose.
    pub planted: Option<Planted>,
}

impl Plan {
    /// So many relays and leaves, in five zones of two regions, with as many topics as six leaves a topic need.
    pub fn of(relays: usize, leaves: usize) -> Plan {
        Plan {
            relays,
            leaves,
            topics: leaves.div_ceil(6).max(1),
            zones: 5,
            first: 3,
            servers: 6,
            delay: (0.0005, 0.015),
            loss: 0.0,
            timing: Timing::default(),
            mesh: MeshSettings::default(),
            planted: None,
        }
    }

    /// In which zone a node stands.
    pub fn zone(&self, node: usize) -> usize {
        match node.checked_sub(self.relays) {
            None => node % self.zones,
            // Those of one topic stand in different zones.
            Some(leaf) => (leaf + leaf / self.topics) % self.zones,
        }
    }

    /// In which region, 0 or 1.
    pub fn region(&self, node: usize) -> usize {
        usize::from(self.zone(node) >= self.first)
    }

    pub(super) fn place(&self, node: usize) -> NodeLocation {
        NodeLocation { zone: format!("z{}", self.zone(node)), region: format!("r{}", self.region(node)) }
    }

    /// The topic of a leaf.
    pub fn topic(&self, node: usize) -> Topic {
        Topic::of(&format!("service {}", (node - self.relays) % self.topics))
    }

    pub(super) fn relay_places(&self) -> Vec<RelayLocation> {
        (0..self.relays).map(|n| RelayLocation { relay: id(n, self), location: self.place(n) }).collect()
    }

    /// The server of a topic by its number.
    pub fn server(&self, topic: Topic, n: usize) -> ServerKey {
        ServerKey::of(&format!("server {} {n}", topic.0))
    }
}

/// The id of a node.
pub fn id(node: usize, plan: &Plan) -> MemberId {
    match node.checked_sub(plan.relays) {
        None => MemberId::of(&format!("relay {node}")),
        Some(leaf) => MemberId::of(&format!("leaf {leaf}")),
    }
}
