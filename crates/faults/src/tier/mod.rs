//! Relays and leaves in skipped time: clocks an hour off and up to 1% apart in pace, links as connections with a delay, that
//! are cut, slow, lossy, closed with or without a sign; kills, pauses, restarts; readers that read nothing.
//!
//! Nothing steps: a queue of events has what arrives when, and when each node wants its next turn
//! ([`hollypaddle_relay::Node::next_tick_at`]). Each message is encoded and decoded. What must hold is held against what the
//! world itself knows: who lives and was heard by whom, which relays have stored what, and what every leaf was told to say.
//!
//! Nodes are numbered through: the relays from 0, then the leaves. Scripts name them `g0`, `g1`, ....
//!
//! - What is played: `plan`, `steps` of scripts, `inputs` of nodes, the long `runs`, faults that are `planted`.
//! - How: the `queue` of events, `nodes` and a node's `turn`, the `network` of connections and the `paths` under it.
//! - What must hold: `observe` on each turn, `scan` now and then, `settled` once all is quiet.
//! - What is reported: `meter` and `figures`.

mod figures;
mod inputs;
mod meter;
mod network;
mod nodes;
mod observe;
mod paths;
mod plan;
mod planted;
mod queue;
mod runs;
mod scan;
mod settled;
mod steps;
mod turn;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap, VecDeque};

use hollypaddle_membership::MemberId;
use hollypaddle_relay::settings::Revision;
use hollypaddle_relay::{Leaf, Relay};
use hollypaddle_replica::record::{ServerFact, ServerState as ServerPlace, Topic};
use rand_chacha::rand_core::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::check::Broken;
use crate::clock::{Clock, MOST_DRIFT};
use meter::Meter;
use network::Connection;
use nodes::{NodeState, Process};
use paths::Path;
use queue::Event;

pub use figures::Figures;
pub use meter::{BYTES, OVER};
pub use observe::{Changed, Move};
pub use plan::{id, Plan, Planted};
pub use runs::{Run, CHANGE, HOME, MOVED, RUNS};
pub use steps::{entries, random_script};

/// What did not hold is kept up to so many.
const MOST_VIOLATIONS: usize = 50;

/// All of it.
pub struct World {
    /// What is played.
    pub plan: Plan,
    /// The time, in seconds.
    pub now: f64,
    rng: ChaCha8Rng,
    nodes: Vec<NodeState>,
    node_by_id: BTreeMap<MemberId, usize>,
    connections: Vec<Option<Box<Connection>>>,
    queue: BinaryHeap<Reverse<(u64, u64, Event)>>,
    /// Of the last event that was put into the queue: those of one time come in this order.
    last_sequence: u64,
    paths: BTreeMap<(usize, usize), Path>,
    regions_cut: bool,
    /// Chance that a message is lost, now.
    pub loss: f64,
    /// When something was last heard of each relay by another relay.
    relay_last_heard: BTreeMap<(usize, usize), f64>,
    /// Who has stored which settings at some time.
    stored: BTreeMap<Revision, BTreeSet<usize>>,
    /// Changes, by version.
    pub changes: BTreeMap<u64, Changed>,
    /// What did not hold.
    pub broken: Vec<Broken>,
    /// Leaves that were attached again.
    pub moves: Vec<Move>,
    /// How many leaf-seconds had so many bytes, in steps of 16.
    byte_histogram: Vec<u64>,
    /// Most leaves at each relay.
    pub most: Vec<usize>,
    /// Notices of a death that was none.
    pub false_deaths: usize,
    /// Messages, and their bytes with headers, by kind.
    pub said: BTreeMap<u8, (u64, u64)>,
    /// Links closed for what came on them, by the error's name.
    pub errors: BTreeMap<&'static str, u64>,
    /// Turns of nodes.
    pub turns: u64,
    /// Leaves that refuse settings, with what they say.
    pub picky: BTreeSet<usize>,
    /// Changes that leaves turned down, as the writer was told.
    pub turned_down: BTreeSet<(MemberId, u64)>,
    /// Links that were closed as their readers took nothing.
    pub stuck: u64,
    /// Between two looks at all leaves, in seconds.
    pub scan_every: f64,
    /// Who starts has a clock that was set back by half an hour.
    pub set_back: bool,
    /// Changes that were refused.
    pub refused: usize,
    measured_from: f64,
    /// When cuts ended last.
    last_reopened: f64,
    last_scan: f64,
    /// Starts of nodes so far.
    lives_started: u64,
    /// What relays have said of leaves: gone, after so many attachments.
    reported_gone: BTreeSet<(MemberId, u32)>,
    /// When a server of a topic was last put into some leaf's list.
    last_observed: BTreeMap<(Topic, usize), f64>,
}

impl World {
    /// The relays start, and two seconds later the leaves.
    pub fn new(plan: Plan, seed: u64) -> World {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let count = plan.relays + plan.leaves;
        let nodes = (0..count).map(|_| NodeState {
            process: None,
            life: 0,
            started: 0.0,
            paused: false,
            deaf: false,
            powered_off: false,
            clock: Clock::random(&mut rng, MOST_DRIFT),
            turn_planned_at: None,
            turn_wanted_at: 0,
            links: HashMap::new(),
            connections: BTreeSet::new(),
            idle_turns: (0, 0),
            meter: Meter::default(),
            settings: Revision::default(),
            orphaned: None,
            held: (0, Revision::default()),
            servers: BTreeMap::new(),
            silent: BTreeMap::new(),
            clear_since: 0.0,
            counted_version: 0,
            last_heard: None,
            in_force: Revision::default(),
            proposed: Revision::default(),
            had_majority: false,
            reachable_relays: VecDeque::new(),
        });
        let mut world = World {
            nodes: nodes.collect(),
            node_by_id: (0..count).map(|n| (id(n, &plan), n)).collect(),
            loss: plan.loss,
            most: vec![0; plan.relays],
            plan,
            now: 0.0,
            rng,
            connections: Vec::new(),
            queue: BinaryHeap::new(),
            last_sequence: 0,
            paths: BTreeMap::new(),
            regions_cut: false,
            relay_last_heard: BTreeMap::new(),
            stored: BTreeMap::new(),
            changes: BTreeMap::new(),
            broken: Vec::new(),
            moves: Vec::new(),
            byte_histogram: Vec::new(),
            false_deaths: 0,
            said: BTreeMap::new(),
            errors: BTreeMap::new(),
            turns: 0,
            picky: BTreeSet::new(),
            turned_down: BTreeSet::new(),
            stuck: 0,
            scan_every: 0.5,
            set_back: false,
            refused: 0,
            measured_from: 0.0,
            last_reopened: 0.0,
            last_scan: 0.0,
            lives_started: 0,
            reported_gone: BTreeSet::new(),
            last_observed: BTreeMap::new(),
        };
        for node in world.leaf_nodes() {
            let topic = world.plan.topic(node);
            for n in 0..world.plan.servers {
                let fact = ServerFact { started_ms: 1000, place: ServerPlace::Ready };
                let server = world.plan.server(topic, n);
                world.nodes[node].servers.insert(server, (0.0, fact));
            }
        }
        (0..world.plan.relays).for_each(|n| world.start(n));
        world.pass(2.0);
        world.leaf_nodes().for_each(|n| world.start(n));
        world
    }

    /// The nodes that are leaves.
    pub fn leaf_nodes(&self) -> std::ops::Range<usize> {
        self.plan.relays..self.plan.relays + self.plan.leaves
    }

    fn record_violation(&mut self, rule: &'static str, what: String) {
        if self.broken.len() < MOST_VIOLATIONS {
            self.broken.push(Broken(rule, format!("at {:.3}: {what}", self.now)));
        }
    }

    /// The own clock of a node.
    pub fn clock(&self, node: usize) -> f64 {
        self.nodes[node].clock.local(self.now)
    }

    /// A time of the world on the own clock of a node.
    fn clock_at(&self, node: usize, at: f64) -> f64 {
        self.nodes[node].clock.local(at)
    }

    /// A leaf, if it lives.
    pub fn leaf(&self, node: usize) -> Option<&Leaf> {
        match &self.nodes[node].process {
            Some(Process::Leaf(leaf)) => Some(leaf),
            _ => None,
        }
    }

    /// A relay, if it lives.
    pub fn relay(&self, node: usize) -> Option<&Relay> {
        match &self.nodes[node].process {
            Some(Process::Relay(relay)) => Some(relay),
            _ => None,
        }
    }

    /// Whether it lives and is awake.
    pub fn awake(&self, node: usize) -> bool {
        self.nodes[node].process.is_some() && !self.nodes[node].paused
    }

    /// To which relay's node a leaf is attached, as it believes.
    pub fn attached_to(&self, node: usize) -> Option<usize> {
        self.leaf(node)?.relay().and_then(|relay| self.node_by_id.get(&relay)).copied()
    }
}
