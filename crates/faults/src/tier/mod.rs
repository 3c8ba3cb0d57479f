//! Relays and leaves in skipped time: clocks an hour off and up to 1% apart in pace, links as connections with a delay, that
//! are cut, slow, lossy, closed with or without a sign; kills, pauses, restarts; readers that read nothing.
//!
//! Nothing steps: a queue of events has what arrives when, and when each node wants its next turn
//! ([`hollypaddle_relay::Node::next_at`]). Each message is encoded and decoded. What must hold is held against what the
//! world itself knows: who lives and was heard by whom, which relays have stored what, and what every leaf was told to say.
//!
//! Nodes are numbered through: the relays from 0, then the leaves. Scripts name them `g0`, `g1`, ....

mod figures;
mod inputs;
mod meter;
mod network;
mod nodes;
mod observe;
mod plan;
mod planted;
mod queue;
mod runs;
mod scan;
mod settled;
mod steps;
mod turn;
mod ways;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap, VecDeque};

use hollypaddle_membership::MemberId;
use hollypaddle_relay::settings::Mark;
use hollypaddle_relay::{Leaf, Relay};
use hollypaddle_replica::record::{Place as ServerPlace, ServerFact, Topic};
use rand_chacha::rand_core::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::check::Broken;
use crate::clock::{Clock, MOST_DRIFT};
use meter::Meter;
use network::Connection;
use nodes::{Body, Slot};
use queue::Ev;
use ways::Way;

pub use figures::Figures;
pub use meter::{BYTES, OVER};
pub use observe::{Changed, Move};
pub use plan::{id, Plan, Planted};
pub use runs::{Run, CHANGE, HOME, MOVED, RUNS};
pub use steps::{entries, random_script};

/// What did not hold is kept up to so many.
const MOST_BROKEN: usize = 50;

/// All of it.
pub struct World {
    /// What is played.
    pub plan: Plan,
    /// The time, in seconds.
    pub now: f64,
    rng: ChaCha8Rng,
    slots: Vec<Slot>,
    numbers: BTreeMap<MemberId, usize>,
    connections: Vec<Option<Box<Connection>>>,
    queue: BinaryHeap<Reverse<(u64, u64, Ev)>>,
    queued: u64,
    ways: BTreeMap<(usize, usize), Way>,
    regions_cut: bool,
    /// Chance that a message is lost, now.
    pub loss: f64,
    /// When something was last heard of each relay by another relay.
    relay_heard: BTreeMap<(usize, usize), f64>,
    /// Who has stored which settings at some time.
    stored: BTreeMap<Mark, BTreeSet<usize>>,
    /// Changes, by version.
    pub changes: BTreeMap<u64, Changed>,
    /// What did not hold.
    pub broken: Vec<Broken>,
    /// Leaves that were attached again.
    pub moves: Vec<Move>,
    /// How many leaf-seconds had so many bytes, in steps of 16.
    spread: Vec<u64>,
    /// Most leaves at each relay.
    pub most: Vec<usize>,
    /// Words of a death that was none, by whom they were said.
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
    cleared: f64,
    last_scan: f64,
    lives: u64,
    /// What relays have said of leaves: gone, after so many attachments.
    stated_gone: BTreeSet<(MemberId, u32)>,
    worded: BTreeMap<(Topic, usize), f64>,
}

impl World {
    /// The relays start, and two seconds later the leaves.
    pub fn new(plan: Plan, seed: u64) -> World {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let count = plan.relays + plan.leaves;
        let slots = (0..count).map(|_| Slot {
            body: None,
            life: 0,
            started: 0.0,
            paused: false,
            deaf: false,
            off: false,
            clock: Clock::random(&mut rng, MOST_DRIFT),
            wake: None,
            want: 0,
            links: HashMap::new(),
            ends: BTreeSet::new(),
            idle: (0, 0),
            meter: Meter::default(),
            settings: Mark::default(),
            orphaned: None,
            has: (0, Mark::default()),
            servers: BTreeMap::new(),
            silent: BTreeMap::new(),
            clear_since: 0.0,
            told_settings: 0,
            heard: None,
            in_force: Mark::default(),
            proposed: Mark::default(),
            reached_before: false,
            lows: VecDeque::new(),
        });
        let mut world = World {
            slots: slots.collect(),
            numbers: (0..count).map(|n| (id(n, &plan), n)).collect(),
            loss: plan.loss,
            most: vec![0; plan.relays],
            plan,
            now: 0.0,
            rng,
            connections: Vec::new(),
            queue: BinaryHeap::new(),
            queued: 0,
            ways: BTreeMap::new(),
            regions_cut: false,
            relay_heard: BTreeMap::new(),
            stored: BTreeMap::new(),
            changes: BTreeMap::new(),
            broken: Vec::new(),
            moves: Vec::new(),
            spread: Vec::new(),
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
            cleared: 0.0,
            last_scan: 0.0,
            lives: 0,
            stated_gone: BTreeSet::new(),
            worded: BTreeMap::new(),
        };
        for node in world.leaf_nodes() {
            let topic = world.plan.topic(node);
            for n in 0..world.plan.servers {
                let fact = ServerFact { started_ms: 1000, place: ServerPlace::Ready };
                let server = world.plan.server(topic, n);
                world.slots[node].servers.insert(server, (0.0, fact));
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

    fn breaks(&mut self, rule: &'static str, what: String) {
        if self.broken.len() < MOST_BROKEN {
            self.broken.push(Broken(rule, format!("at {:.3}: {what}", self.now)));
        }
    }

    /// The own clock of a node.
    pub fn clock(&self, node: usize) -> f64 {
        self.slots[node].clock.local(self.now)
    }

    /// A time of the world on the own clock of a node.
    fn local(&self, node: usize, at: f64) -> f64 {
        self.slots[node].clock.local(at)
    }

    /// A leaf, if it lives.
    pub fn leaf(&self, node: usize) -> Option<&Leaf> {
        match &self.slots[node].body {
            Some(Body::Leaf(leaf)) => Some(leaf),
            _ => None,
        }
    }

    /// A relay, if it lives.
    pub fn relay(&self, node: usize) -> Option<&Relay> {
        match &self.slots[node].body {
            Some(Body::Relay(relay)) => Some(relay),
            _ => None,
        }
    }

    /// Whether it lives and is awake.
    pub fn awake(&self, node: usize) -> bool {
        self.slots[node].body.is_some() && !self.slots[node].paused
    }

    /// To which relay's node a leaf is attached, as it believes.
    pub fn attached_to(&self, node: usize) -> Option<usize> {
        self.leaf(node)?.relay().and_then(|relay| self.numbers.get(&relay)).copied()
    }
}
