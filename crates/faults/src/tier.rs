//! Relays and leaves in skipped time: clocks an hour off and up to 1% apart in pace, links as connections with a delay, that
//! are cut, slow, lossy, closed with or without a sign; kills, pauses, restarts; readers that read nothing.
//!
//! Nothing steps: a queue of events has what arrives when, and when each node wants its next turn ([`Node::next_at`]). Each
//! message is encoded and decoded. What must hold is held against what the world itself knows: who lives and was heard by
//! whom, which relays have stored what, and what every leaf was told to say.
//!
//! Nodes are numbered through: the relays from 0, then the leaves. Scripts name them `g0`, `g1`, ....

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap, VecDeque};

use hollypaddle_membership::view::{Change, State};
use hollypaddle_membership::{Life, MemberId};
use hollypaddle_relay::budget::HEADERS;
use hollypaddle_relay::message::{Feed, Message};
use hollypaddle_relay::placement::{limit, Place, RelayPlace};
use hollypaddle_relay::relay::SettingsError;
use hollypaddle_relay::settings::Mark;
use hollypaddle_relay::{leaf, relay, Leaf, LinkId, Node, Relay, Timing};
use hollypaddle_replica::member;
use hollypaddle_replica::record::{
    join_servers, Key, LeafFact, Place as ServerPlace, Presence, ServerFact, ServerKey, Topic, Value,
};
use hollypaddle_replica::Settings as MeshSettings;
use rand::seq::SliceRandom;
use rand::Rng;
use rand_chacha::rand_core::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::check::Broken;
use crate::script::{End, Fault, Script};

/// Bytes that wait for a reader at most, as the buffers of a connection hold them.
const ROOM: usize = 32 * 1024;
/// A link whose reader takes nothing for so long is closed by its front, in seconds.
const STUCK: f64 = 5.0;
/// Turns of a node within a second, without anything that came, at most: more is a loop that never sleeps.
const IDLE_TURNS: u32 = 500;
/// A leaf that is awake is heard by its relay at least so often, in seconds; who was heard longer ago may be held silent.
const HEARD: f64 = 1.0;
/// What did not hold is kept up to so many.
const MOST_BROKEN: usize = 50;
/// Bytes a second of a leaf, both ways, headers counted.
pub const BYTES: f64 = 8000.0;
/// Over how many seconds they are counted.
pub const OVER: usize = 10;
/// A change is in force at all within so many seconds of its acceptance, and all are equal after a heal.
pub const CHANGE: f64 = 4.0;
/// The leaves of one lost relay are attached elsewhere within so many seconds.
pub const MOVED: f64 = 2.0;
/// All are attached within so many seconds, also with two relays gone at once.
pub const HOME: f64 = 5.0;

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
    /// What a way takes within a region and between two, in seconds.
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

    fn place(&self, node: usize) -> Place {
        Place { zone: format!("z{}", self.zone(node)), region: format!("r{}", self.region(node)) }
    }

    /// The topic of a leaf.
    pub fn topic(&self, node: usize) -> Topic {
        Topic::of(&format!("service {}", (node - self.relays) % self.topics))
    }

    fn relay_places(&self) -> Vec<RelayPlace> {
        (0..self.relays).map(|n| RelayPlace { relay: id(n, self), place: self.place(n) }).collect()
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

enum Body {
    Relay(Box<Relay>),
    Leaf(Box<Leaf>),
}

impl Body {
    fn node(&mut self) -> &mut dyn Node {
        match self {
            Body::Relay(relay) => relay.as_mut(),
            Body::Leaf(leaf) => leaf.as_mut(),
        }
    }
}

/// Seconds of a leaf's bytes.
#[derive(Clone, Debug, Default)]
struct Meter {
    second: u64,
    now: u64,
    ring: VecDeque<u64>,
    total: u64,
    worst: u64,
    told: u64,
}

impl Meter {
    fn roll(&mut self, second: u64, spread: &mut Vec<u64>) {
        while self.second < second {
            let bucket = (self.now / 16) as usize;
            if spread.len() <= bucket {
                spread.resize(bucket + 1, 0);
            }
            spread[bucket] += 1;
            self.ring.push_back(std::mem::take(&mut self.now));
            if self.ring.len() > OVER {
                self.ring.pop_front();
            }
            self.worst = self.worst.max(self.ring.iter().sum());
            self.second += 1;
            // Nothing came for long: the rest is empty seconds.
            if self.ring.iter().all(|b| *b == 0) && self.second < second {
                spread[0] += second - self.second;
                self.second = second;
            }
        }
    }

    fn add(&mut self, second: u64, bytes: usize, spread: &mut Vec<u64>) {
        self.roll(second, spread);
        self.now += bytes as u64;
        self.total += bytes as u64;
    }
}

struct Slot {
    body: Option<Body>,
    life: u64,
    started: f64,
    paused: bool,
    /// It reads nothing from its links, but goes on otherwise.
    deaf: bool,
    /// Its machine is off: nothing answers for it.
    off: bool,
    offset: f64,
    drift: f64,
    /// When its next turn is planned.
    wake: Option<u64>,
    want: u64,
    links: HashMap<LinkId, (usize, usize)>,
    /// Connections that end here, also those that were not taken yet.
    ends: BTreeSet<usize>,
    idle: (u64, u32),
    // Of a leaf.
    meter: Meter,
    settings: Mark,
    /// Since when it is without a relay, which one it had, and its count of attachments then.
    orphaned: Option<(f64, usize, u32)>,
    /// Records of servers and settings that it has.
    has: (usize, Mark),
    servers: BTreeMap<ServerKey, (f64, ServerFact)>,
    silent: BTreeMap<ServerKey, (f64, u64)>,
    /// Since when it is awake and on no way that was cut.
    clear_since: f64,
    /// Up to which version its settings were counted.
    told_settings: u64,
    /// When a relay took a message of it last, and which.
    heard: Option<(f64, usize)>,
    // Of a relay.
    in_force: Mark,
    proposed: Mark,
    /// Whether it reached a majority when ways were opened last.
    reached_before: bool,
    /// How many relays it reached, itself counted, at which times.
    lows: VecDeque<(f64, usize)>,
}

#[derive(Debug)]
enum Item {
    /// A link was made; whether that was answered.
    Accept(bool),
    Up,
    Frame(Vec<u8>),
    Close,
    Refused,
}

/// What goes to one end of a connection.
#[derive(Debug)]
struct Side {
    node: usize,
    life: u64,
    link: Option<LinkId>,
    inbox: VecDeque<(u64, Item)>,
    bytes: usize,
    /// Since when the other end has no room.
    full: Option<u64>,
    /// An arrival is in the queue of events.
    planned: bool,
}

#[derive(Debug)]
struct Connection {
    sides: [Side; 2],
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Ev {
    Arrive(usize, usize),
    Wake(usize),
    Writable(usize, usize),
    Stuck(usize, usize),
}

#[derive(Clone, Copy, Debug, Default)]
struct Way {
    cut: bool,
    delay: f64,
    rate: Option<f64>,
    free_at: f64,
}

/// A leaf that had lost its relay, and was attached again.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Move {
    /// Which.
    pub node: usize,
    /// When its relay was lost.
    pub at: f64,
    /// After so many seconds.
    pub after: f64,
    /// It had just started, and had lost none.
    pub started: bool,
}

/// A change of the settings.
#[derive(Clone, Debug, PartialEq)]
pub struct Changed {
    /// Under which version.
    pub version: u64,
    /// When it was asked for.
    pub asked: f64,
    /// When it was in force at the writer.
    pub accepted: Option<f64>,
    /// When each leaf had it, or a later one.
    pub reached: BTreeMap<usize, f64>,
    /// The last of them.
    pub last: f64,
}

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

fn nanos(at: f64) -> u64 {
    (at.max(0.0) * 1e9).ceil() as u64
}

fn seconds(nanos: u64) -> f64 {
    nanos as f64 / 1e9
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
            offset: 1e6 + rng.gen_range(-3600.0..3600.0),
            drift: rng.gen_range(-0.01..0.01),
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
        self.slots[node].offset + self.now * (1.0 + self.slots[node].drift)
    }

    /// A time of the world on the own clock of a node.
    fn local(&self, node: usize, at: f64) -> f64 {
        self.slots[node].offset + at * (1.0 + self.slots[node].drift)
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

    // ---- Faults

    /// Starts one that is down, with nothing of its earlier life.
    pub fn start(&mut self, node: usize) {
        if self.slots[node].body.is_some() {
            return;
        }
        self.lives += 1;
        let (now, plan) = (self.clock(node), self.plan.clone());
        // Its clock may be behind what it was in its last life.
        let back = if self.set_back || self.lives % 7 == 3 { 1800.0 } else { 0.0 };
        let life = Life { incarnation: ((now - back) * 1e3) as u64, nonce: self.rng.gen() };
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

    fn orphan(&mut self, relay: usize) {
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

    /// What one says to the other waits, or does so no longer.
    pub fn cut(&mut self, from: usize, to: usize, cut: bool) {
        self.ways.entry((from, to)).or_default().cut = cut;
        if !cut {
            self.unstall();
        }
    }

    /// A relay and all of its leaves cannot reach each other, one way or both: what it says, what it hears.
    pub fn cut_off(&mut self, node: usize, says: bool, hears: bool) {
        for other in 0..self.slots.len() {
            if says {
                self.ways.entry((node, other)).or_default().cut = true;
            }
            if hears {
                self.ways.entry((other, node)).or_default().cut = true;
            }
        }
        if node < self.plan.relays {
            self.orphan(node);
        }
    }

    /// The regions lose each other, or find each other again.
    pub fn cut_regions(&mut self, cut: bool) {
        if !cut {
            self.clears();
        }
        self.regions_cut = cut;
        if !cut {
            for node in self.leaf_nodes().filter(|n| self.plan.region(*n) != self.plan.region(0)) {
                self.slots[node].clear_since = self.now;
            }
            self.unstall();
        }
    }

    /// What one says to the other takes so many seconds longer.
    pub fn slow(&mut self, from: usize, to: usize, delay: f64) {
        self.ways.entry((from, to)).or_default().delay = delay;
    }

    /// The connections between two are reset.
    pub fn reset(&mut self, a: usize, b: usize) {
        let between = |c: &Connection| [c.sides[0].node, c.sides[1].node];
        let all: Vec<usize> = (self.slots[a].ends.iter().copied())
            .filter(|c| {
                self.connections[*c].as_ref().is_some_and(|c| between(c) == [a, b] || between(c) == [b, a])
            })
            .collect();
        for connection in all {
            for side in 0..2 {
                self.put(connection, side, Item::Close);
            }
        }
    }

    /// All cuts and delays end, who is down or paused comes back.
    pub fn heal(&mut self) {
        self.clears();
        self.ways.clear();
        self.regions_cut = false;
        self.loss = 0.0;
        for node in 0..self.slots.len() {
            self.slots[node].off = false;
            self.deafen(node, false);
            self.wake(node);
            self.start(node);
        }
        self.unstall();
    }

    /// One step of a script; those on servers are none here.
    pub fn fault(&mut self, fault: &Fault) {
        let end = |e: &End| if let End::Gatekeeper(n) = e { Some(*n) } else { None };
        match fault {
            Fault::Kill(n) => self.kill(*n),
            Fault::Start(n) => self.start(*n),
            Fault::Pause(n) => self.pause(*n),
            Fault::Wake(n) => self.wake(*n),
            Fault::Heal => self.heal(),
            Fault::Cut(a, b) => {
                if let (Some(a), Some(b)) = (end(a), end(b)) {
                    self.cut(a, b, true);
                }
            }
            Fault::Delay(a, b, s) => {
                if let (Some(a), Some(b)) = (end(a), end(b)) {
                    self.slow(a, b, *s);
                }
            }
            Fault::Throttle(a, b, rate) => {
                if let (Some(a), Some(b)) = (end(a), end(b)) {
                    self.ways.entry((a, b)).or_default().rate = Some(*rate);
                }
            }
            Fault::Drop(a, b) => {
                if let (Some(a), Some(b)) = (end(a), end(b)) {
                    self.reset(a, b);
                }
            }
            Fault::Silence(_) | Fault::Speak(_) | Fault::Replace(_) | Fault::Drain(_) => {}
        }
    }

    // ---- What leaves say

    /// A leaf's list says this of a server of its topic.
    pub fn tell(&mut self, node: usize, server: usize, fact: Option<ServerFact>) {
        let key = self.plan.server(self.plan.topic(node), server);
        match fact {
            // What is said again is of the time when it was said first.
            Some(fact) if self.slots[node].servers.get(&key).is_some_and(|(_, held)| *held == fact) => return,
            Some(fact) => self.slots[node].servers.insert(key, (self.now, fact)),
            None => self.slots[node].servers.remove(&key),
        };
        let at = self.clock(node);
        if let Some(Body::Leaf(leaf)) = &mut self.slots[node].body {
            leaf.server(at, key, fact);
            self.plan_turn(node, nanos(self.now));
        }
    }

    /// A leaf finds a server of its topic silent, or not any more.
    pub fn silence(&mut self, node: usize, server: usize, silent: bool) {
        let key = self.plan.server(self.plan.topic(node), server);
        let started = self.slots[node].servers.get(&key).map_or(0, |(_, fact)| fact.started_ms);
        match silent {
            true => self.slots[node].silent.insert(key, (self.now, started)),
            false => self.slots[node].silent.remove(&key),
        };
        let at = self.clock(node);
        if let Some(Body::Leaf(leaf)) = &mut self.slots[node].body {
            leaf.silent(at, key, started, silent.then_some(at));
            self.plan_turn(node, nanos(self.now));
        }
    }

    /// The writer is asked for settings with just these entries.
    pub fn propose(
        &mut self,
        node: usize,
        wanted: &[(String, String)],
    ) -> Option<Result<Mark, SettingsError>> {
        let now = self.clock(node);
        if !self.awake(node) {
            return None;
        }
        let Some(Body::Relay(relay)) = &mut self.slots[node].body else { return None };
        relay.tick(now);
        let result = relay.propose(now, wanted);
        if let Ok(mark) = &result {
            let (asked, version) = (self.now, mark.version);
            self.changes.entry(version).or_insert_with(|| Changed {
                version,
                asked,
                accepted: None,
                reached: BTreeMap::new(),
                last: asked,
            });
        }
        self.plan_turn(node, nanos(self.now));
        Some(result)
    }

    /// The same; whether it was accepted.
    pub fn proposes(&mut self, node: usize, wanted: &[(String, String)]) -> bool {
        matches!(self.propose(node, wanted), Some(Ok(_)))
    }

    /// Bytes that wait for the reader of a link at most, now.
    pub fn longest_queue(&self) -> usize {
        let sides = self.connections.iter().flatten().flat_map(|c| c.sides.iter());
        sides.map(|side| side.bytes).max().unwrap_or(0)
    }

    // ---- Links

    fn plan_event(&mut self, at: u64, ev: Ev) {
        self.queued += 1;
        self.queue.push(Reverse((at, self.queued, ev)));
    }

    fn plan_turn(&mut self, node: usize, at: u64) {
        let slot = &mut self.slots[node];
        slot.want = at;
        if slot.wake.is_none_or(|planned| at < planned) {
            slot.wake = Some(at);
            self.plan_event(at, Ev::Wake(node));
        }
    }

    fn blocked(&self, from: usize, to: usize) -> bool {
        self.regions_cut && self.plan.region(from) != self.plan.region(to)
            || self.ways.get(&(from, to)).is_some_and(|w| w.cut)
    }

    fn delay(&self, from: usize, to: usize) -> f64 {
        let base = if self.plan.region(from) == self.plan.region(to) {
            self.plan.delay.0
        } else {
            self.plan.delay.1
        };
        base + self.ways.get(&(from, to)).map_or(0.0, |w| w.delay)
    }

    /// Puts something on its way to a side of a connection.
    fn put(&mut self, connection: usize, side: usize, item: Item) {
        let Some(c) = &self.connections[connection] else { return };
        let (from, to) = (c.sides[1 - side].node, c.sides[side].node);
        let bytes = if let Item::Frame(frame) = &item { frame.len() + HEADERS } else { 0 };
        let mut at = self.now + self.delay(from, to);
        if let Some(way) = self.ways.get_mut(&(from, to)) {
            if let Some(rate) = way.rate {
                way.free_at = way.free_at.max(self.now) + bytes as f64 / rate;
                at += way.free_at - self.now;
            }
        }
        let Some(c) = &mut self.connections[connection] else { return };
        let side_of = &mut c.sides[side];
        let at = nanos(at).max(side_of.inbox.back().map_or(0, |(at, _)| *at));
        side_of.bytes += bytes;
        side_of.inbox.push_back((at, item));
        if !side_of.planned {
            side_of.planned = true;
            self.plan_event(at, Ev::Arrive(connection, side));
        }
    }

    /// One end closes; the other one hears of it, if its way is open.
    fn shut(&mut self, connection: usize, node: usize) {
        let Some(c) = &mut self.connections[connection] else { return };
        let side = usize::from(c.sides[1].node == node && c.sides[0].node != node);
        let own = &mut c.sides[side];
        (own.link, own.life) = (None, u64::MAX);
        own.inbox.clear();
        own.bytes = 0;
        if c.sides[1 - side].life == u64::MAX {
            self.connections[connection] = None;
            return;
        }
        self.put(connection, 1 - side, Item::Close);
    }

    /// What waits for a node, or on a way that is open again, arrives.
    fn replan(&mut self, node: usize) {
        let all: Vec<usize> = self.slots[node].ends.iter().copied().collect();
        all.into_iter().for_each(|c| self.replan_connection(c));
    }

    fn unstall(&mut self) {
        (0..self.connections.len()).for_each(|c| self.replan_connection(c));
    }

    fn replan_connection(&mut self, connection: usize) {
        let now = nanos(self.now);
        for side in 0..2 {
            let Some(c) = &mut self.connections[connection] else { return };
            let (from, to) = (c.sides[1 - side].node, c.sides[side].node);
            let own = &mut c.sides[side];
            if own.planned || own.inbox.is_empty() {
                continue;
            }
            own.planned = true;
            let at = own.inbox.front().map_or(now, |(at, _)| *at);
            // What was lost on a cut way is sent again.
            let again = if at < now { now + nanos(self.delay(from, to)) } else { at };
            self.plan_event(again, Ev::Arrive(connection, side));
        }
    }

    fn arrive(&mut self, connection: usize, side: usize) {
        let now = nanos(self.now);
        let Some(c) = &mut self.connections[connection] else { return };
        c.sides[side].planned = false;
        let (from, node, life) = (c.sides[1 - side].node, c.sides[side].node, c.sides[side].life);
        if self.blocked(from, node) {
            return;
        }
        let slot = &self.slots[node];
        let Some(c) = &mut self.connections[connection] else { return };
        let own = &mut c.sides[side];
        let first = matches!(own.inbox.front(), Some((_, Item::Accept(false))));
        if slot.body.is_none() || (life != slot.life && !(first && life == 0)) {
            // Nobody there any more. A machine that is off says nothing; else its kernel resets.
            let off = slot.off;
            own.inbox.clear();
            own.bytes = 0;
            if !off {
                if c.sides[1 - side].life == u64::MAX {
                    self.connections[connection] = None;
                    return;
                }
                let item = if first { Item::Refused } else { Item::Close };
                if life != u64::MAX || first {
                    c.sides[side].life = u64::MAX;
                    self.put(connection, 1 - side, item);
                }
            }
            return;
        }
        if first {
            // The kernel takes links also for a process that is paused.
            own.life = slot.life;
            if let Some(front) = own.inbox.front_mut() {
                front.1 = Item::Accept(true);
            }
            self.slots[node].ends.insert(connection);
            self.put(connection, 1 - side, Item::Up);
        }
        if self.slots[node].paused || self.slots[node].deaf {
            return;
        }
        let Some(c) = &mut self.connections[connection] else { return };
        let own = &mut c.sides[side];
        let mut items = Vec::new();
        while own.inbox.front().is_some_and(|(at, _)| *at <= now) {
            let Some((_, item)) = own.inbox.pop_front() else { break };
            if let Item::Frame(frame) = &item {
                own.bytes -= frame.len() + HEADERS;
            }
            items.push(item);
        }
        let next = own.inbox.front().map(|(at, _)| *at);
        own.planned = next.is_some();
        let writable = own.full.is_some() && own.bytes < ROOM / 2;
        if writable {
            own.full = None;
        }
        if let Some(at) = next {
            self.plan_event(at, Ev::Arrive(connection, side));
        }
        if writable {
            self.plan_event(now, Ev::Writable(connection, 1 - side));
        }
        self.turn(node, Some((connection, side, items)));
    }

    /// A node's own turn: time, what came, what is to be said.
    fn turn(&mut self, node: usize, came: Option<(usize, usize, Vec<Item>)>) {
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
        let at = ((next - slot.offset) / (1.0 + slot.drift)).max(self.now + 1e-4).min(self.now + 3600.0);
        self.plan_turn(node, nanos(at));
    }

    fn item(&mut self, node: usize, body: &mut Body, local: f64, connection: usize, side: usize, item: Item) {
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

    /// This end is over; so is the connection once both are.
    fn end(&mut self, connection: usize, side: usize) {
        let Some(c) = &mut self.connections[connection] else { return };
        let own = &mut c.sides[side];
        (own.link, own.life, own.bytes) = (None, u64::MAX, 0);
        own.inbox.clear();
        if c.sides[1 - side].life == u64::MAX {
            self.connections[connection] = None;
        }
    }

    /// A message leaves a node.
    fn say(&mut self, node: usize, connection: usize, side: usize, message: Message) {
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

    /// What a fault put in on purpose makes of a message; none where it is lost.
    fn bent(&mut self, from: usize, to: usize, message: Message) -> Option<Message> {
        let Some(planted) = self.plan.planted else { return Some(message) };
        let (relays, last) = (self.plan.relays, self.plan.relays + self.plan.leaves - 1);
        match (planted, message) {
            (Planted::MadeUpDeath, Message::Records(Feed::Leaves, mut piece)) => {
                for record in &mut piece.records {
                    if let (Key::Leaf(_, member), Some(Value::Leaf(fact))) = (record.key, &mut record.value) {
                        if member == id(relays, &self.plan) {
                            fact.presence = Presence::Gone;
                        }
                    }
                }
                Some(Message::Records(Feed::Leaves, piece))
            }
            (Planted::OtherTopics, Message::Records(Feed::Servers, mut piece)) => {
                for record in &mut piece.records {
                    if let Key::TopicServer(_, server) = record.key {
                        record.key = Key::TopicServer(Topic::of("another"), server);
                    }
                }
                Some(Message::Records(Feed::Servers, piece))
            }
            (Planted::SkipsRecords, Message::Records(Feed::Servers, mut piece)) => {
                piece.records.pop();
                Some(Message::Records(Feed::Servers, piece))
            }
            (Planted::StoresNothing, Message::Holds { in_force, .. }) if from > 0 && to == 0 => {
                let proposed = self.stored.keys().next_back().copied().unwrap_or_default();
                Some(Message::Holds { in_force, proposed })
            }
            (Planted::StoresNothing, Message::Settings { proposed: true, .. }) => None,
            (Planted::LosesSettings, Message::Settings { proposed: false, .. }) if to == last => None,
            (_, message) => Some(message),
        }
    }

    // ---- What is seen

    /// A node takes a message.
    fn heard(&mut self, node: usize, from: usize, message: &Message) {
        let relays = self.plan.relays;
        match (node < relays, from < relays) {
            (true, true) => _ = self.relay_heard.insert((node, from), self.now),
            (true, false) => self.slots[from].heard = Some((self.now, node)),
            (false, _) => {
                let Message::Records(_, piece) = message else { return };
                let own = self.plan.topic(node);
                let other = piece.records.iter().find(|r| {
                    !matches!(r.key, Key::TopicServer(t, _) | Key::TopicSilent(t, _) | Key::Leaf(t, _) if t == own)
                });
                if let Some(record) = other {
                    let what = format!("node {node} hears {record:?}");
                    self.breaks("a leaf hears nothing beyond its topic", what);
                }
            }
        }
    }

    /// Whether a relay has stored settings, now or before.
    fn stores(&mut self, node: usize, mark: Mark) {
        if mark.version > 0 {
            self.stored.entry(mark).or_default().insert(node);
        }
    }

    /// No change is in force anywhere that a majority of relays has not stored.
    fn in_force(&mut self, node: usize, mark: Mark) {
        let count = self.stored.get(&mark).map_or(0, BTreeSet::len);
        if mark.version > 0 && 2 * count <= self.plan.relays {
            let what = format!("version {} at node {node}, stored by {count} relays", mark.version);
            self.breaks("no change is in force anywhere that a majority of relays has not stored", what);
        }
    }

    /// No node's settings ever go back to an older version.
    fn never_back(&mut self, node: usize, old: Mark, new: Mark) {
        if new < old {
            let what = format!("node {node} from version {} to {}", old.version, new.version);
            self.breaks("settings never go back to an older version", what);
        }
    }

    fn observe(&mut self, node: usize, body: &mut Body, local: f64) {
        match body {
            Body::Leaf(leaf) => self.observe_leaf(node, leaf, local),
            Body::Relay(relay) => self.observe_relay(node, relay, local),
        }
    }

    fn observe_leaf(&mut self, node: usize, leaf: &mut Leaf, local: f64) {
        let lost = leaf.events().iter().any(|e| matches!(e, leaf::Event::Lost(..)));
        if lost && self.plan.planted == Some(Planted::ForgetsAlone) {
            let (identity, relays) = (leaf.identity().clone(), leaf.relays().to_vec());
            *leaf = Leaf::new(local, identity, relays, self.plan.timing);
        }
        let relay = leaf.relay().and_then(|relay| self.numbers.get(&relay)).copied();
        if let Some((at, of, moves)) = self.slots[node].orphaned {
            let here = relay.is_some_and(|r| (r != of || leaf.status(local).moves > moves) && self.awake(r));
            if here {
                self.slots[node].orphaned = None;
                self.moves.push(Move { node, at, after: self.now - at, started: of == usize::MAX });
            }
        }
        // A leaf alone keeps what it has. Looked at in short plays alone, as it costs a look at each turn.
        if self.scan_every < 1.0 {
            let status = leaf.status(local);
            let has = (status.servers, status.settings);
            let had = self.slots[node].has;
            if relay.is_none() && (has.0 == 0 && had.0 > 0 || has.1 < had.1) {
                let what = format!("node {node} had {had:?}, has {has:?}");
                self.breaks("a leaf alone keeps what it has", what);
            }
            self.slots[node].has = has;
        }
        let Some(set) = leaf.offered() else { return };
        let mark = set.mark();
        self.never_back(node, self.slots[node].settings, mark);
        self.slots[node].settings = mark;
        self.in_force(node, mark);
        let verdict = if self.picky.contains(&node) { Err("not with me".to_string()) } else { Ok(()) };
        leaf.verdict(mark.version, verdict);
        let (now, clear_since) = (self.now, self.slots[node].clear_since);
        let since = self.slots[node].told_settings;
        self.slots[node].told_settings = since.max(mark.version);
        for (_, change) in self.changes.range_mut((since + 1).min(mark.version)..=mark.version) {
            if change.accepted.is_some_and(|at| clear_since <= at) {
                change.reached.insert(node, now);
            }
        }
    }

    fn observe_relay(&mut self, node: usize, relay: &mut Relay, local: f64) {
        let (mark, proposed) = (relay.settings().mark(), relay.proposed().unwrap_or_default());
        if mark != self.slots[node].in_force {
            self.never_back(node, self.slots[node].in_force, mark);
            self.slots[node].in_force = mark;
            self.stores(node, mark);
            self.in_force(node, mark);
            if node == 0 {
                let now = self.now;
                for (_, change) in self.changes.range_mut(..=mark.version).rev() {
                    if change.accepted.is_some() {
                        break;
                    }
                    change.accepted = Some(now);
                }
            }
        }
        if proposed != self.slots[node].proposed {
            self.slots[node].proposed = proposed;
            self.stores(node, proposed);
        }
        self.most[node] = self.most[node].max(relay.counts.leaves as usize);
        for event in relay.events() {
            match event {
                relay::Event::Leaf(member, Presence::Gone) => {
                    let Some(&leaf) = self.numbers.get(&member) else { continue };
                    let row = relay.rows(local).into_iter().find(|r| r.leaf == member);
                    if let Some(row) = row {
                        self.stated_gone.insert((member, row.moves));
                    }
                    let slot = &self.slots[leaf];
                    let heard = slot.heard.filter(|(at, _)| *at >= slot.started && self.now - at < HEARD);
                    // By one whose words reach this relay: two parts of a split do not know of each other.
                    let heard = heard.filter(|(_, by)| {
                        !self.blocked(*by, node)
                            && self.now - self.cleared.max(self.slots[leaf].clear_since) > HEARD
                    });
                    if let (true, Some((at, by))) = (self.awake(leaf), heard) {
                        let ago = self.now - at;
                        let what = format!(
                            "relay {node} says so of node {leaf}, heard by relay {by} {ago:.2} s ago"
                        );
                        self.false_death(what);
                    }
                }
                relay::Event::Mesh(member::Event::Member(Change::Gone(member, refused))) => {
                    let Some(&other) = self.numbers.get(&member) else { continue };
                    // What others hear is told every few tenths of a second: one that woke just now is not known of yet.
                    let since = self.slots[other].clear_since;
                    // Heard by one that this relay hears: two parts of a split do not know of each other.
                    let open = |a: usize, b: usize| !self.blocked(a, b) && !self.blocked(b, a);
                    let heard = (0..self.plan.relays)
                        .filter(|n| *n != other && self.awake(*n) && open(*n, node))
                        .filter_map(|n| Some((*self.relay_heard.get(&(n, other))?, n)))
                        .find(|(at, _)| *at >= since && self.now - at < HEARD / 4.0);
                    // One that was of a majority before the ways opened may have counted the silence to its end by then;
                    // one that was not learns first whom the others hear.
                    let excused = self.slots[node].reached_before && self.now - self.cleared < HEARD;
                    let heard = heard.filter(|_| !excused);
                    if let (true, Some((_, by))) = (self.awake(other) && self.now - since > HEARD, heard) {
                        let what = format!(
                            "relay {node} says so of relay {other} (refused: {refused}), heard by relay {by}"
                        );
                        self.false_death(what);
                    }
                }
                relay::Event::TurnedDown { leaf, version, .. } if node == 0 => {
                    self.turned_down.insert((leaf, version));
                }
                _ => {}
            }
        }
    }

    /// Ways are about to be opened.
    fn clears(&mut self) {
        for node in 0..self.plan.relays {
            self.slots[node].reached_before = 2 * self.reaches(node) > self.plan.relays;
        }
        self.cleared = self.now;
    }

    fn false_death(&mut self, what: String) {
        self.false_deaths += 1;
        self.breaks("nobody who lives and is heard is held to be gone", what);
    }

    /// Relays that live and that a relay reaches, itself counted.
    fn reaches(&self, node: usize) -> usize {
        let open = |n: usize| n == node || !self.blocked(node, n) && !self.blocked(n, node);
        (0..self.plan.relays).filter(|n| self.awake(*n) && open(*n)).count()
    }

    /// What is looked at now and then: what leaves hear of leaves, how many leaves a relay has, bytes.
    fn scan(&mut self) {
        self.last_scan = self.now;
        for node in self.leaf_nodes() {
            let Some(leaf) = self.leaf(node) else { continue };
            let gone = |(_, fact): &(MemberId, LeafFact)| fact.presence == Presence::Gone;
            let made_up: Vec<MemberId> = (leaf.peers().filter(gone))
                .filter(|(member, fact)| !self.stated_gone.contains(&(*member, fact.moves)))
                .map(|(member, _)| member)
                .collect();
            for member in made_up {
                let of = self.numbers.get(&member).copied();
                self.false_death(format!(
                    "node {node} holds node {of:?} to be gone, which no relay has said"
                ));
            }
        }
        // A share is of the relays that were there when its leaves came; they go home slowly.
        for node in 0..self.plan.relays {
            let reaches = self.reaches(node);
            let lows = &mut self.slots[node].lows;
            lows.push_back((self.now, reaches));
            while lows.front().is_some_and(|(at, _)| self.now - at > 2.5 * self.plan.timing.home) {
                lows.pop_front();
            }
            let least = lows.iter().map(|(_, n)| *n).min().unwrap_or(1);
            let Some(relay) = self.relay(node) else { continue };
            let t = &self.plan.timing;
            let (attached, share) = (relay.attached(), limit(self.plan.leaves, least, t.bound, t.leaves));
            if attached > share {
                let what =
                    format!("relay {node} has {attached} of {}, {share} are its share", self.plan.leaves);
                self.breaks("no relay has more than its share of leaves", what);
            }
        }
        let second = self.now as u64;
        for node in self.leaf_nodes() {
            let meter = &mut self.slots[node].meter;
            meter.roll(second, &mut self.spread);
            let (worst, told) = (meter.worst, std::mem::replace(&mut meter.told, meter.worst));
            if worst > (BYTES * OVER as f64) as u64 && worst > told {
                let what = format!("{} bytes a second to and from node {node}", worst / OVER as u64);
                self.breaks("what is said to and by a leaf is within its budget", what);
            }
        }
    }

    // ---- Time

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

    // ---- What must hold once all is quiet

    /// Every leaf that is awake is attached to a relay that is awake and knows it.
    pub fn all_attached(&self) -> bool {
        self.unattached().is_empty()
    }

    /// The leaves that are awake and not attached.
    pub fn unattached(&self) -> Vec<usize> {
        let at = |n: usize| self.attached_to(n).is_some_and(|r| self.awake(r));
        self.leaf_nodes().filter(|n| self.awake(*n) && !at(*n)).collect()
    }

    /// What a leaf of a topic must hear, were everybody told everything: the join over all living leaves of it.
    fn model(&self, topic: Topic) -> (BTreeMap<ServerKey, ServerFact>, BTreeSet<ServerKey>) {
        let mut servers: BTreeMap<ServerKey, (f64, ServerFact)> = BTreeMap::new();
        let of = |n: &usize| self.slots[*n].body.is_some() && self.plan.topic(*n) == topic;
        for node in self.leaf_nodes().filter(of) {
            for (server, said) in &self.slots[node].servers {
                let joined = servers.get(server).map_or(*said, |held| join_servers(*held, *said));
                servers.insert(*server, joined);
            }
        }
        let mut silent = BTreeSet::new();
        for node in self.leaf_nodes().filter(of) {
            for (server, (_, started)) in &self.slots[node].silent {
                if servers.get(server).is_none_or(|(_, fact)| fact.started_ms <= *started) {
                    silent.insert(*server);
                }
            }
        }
        (servers.into_iter().map(|(k, (_, fact))| (k, fact)).collect(), silent)
    }

    /// Each leaf hears what it would if everybody told everybody everything.
    pub fn feeds_equal_the_model(&self) -> Vec<Broken> {
        const RULE: &str = "a leaf hears what it would if everybody told everybody everything";
        let mut broken = Vec::new();
        for node in self.leaf_nodes().filter(|n| self.awake(*n)) {
            let Some(leaf) = self.leaf(node) else { continue };
            let topic = self.plan.topic(node);
            let (servers, silent) = self.model(topic);
            let said = leaf.hearsay(self.clock(node));
            let heard: BTreeMap<ServerKey, ServerFact> =
                said.iter().filter(|(_, s)| s.at > f64::NEG_INFINITY).map(|(k, s)| (*k, s.fact)).collect();
            if heard != servers {
                let differ = |k: &&ServerKey| heard.get(*k) != servers.get(*k);
                let keys: BTreeSet<&ServerKey> = heard.keys().chain(servers.keys()).collect();
                let first = keys.iter().find(|k| differ(k)).map(|k| (heard.get(*k), servers.get(*k)));
                broken.push(Broken(RULE, format!("node {node} of servers: {first:?}")));
            }
            let found: BTreeSet<ServerKey> =
                said.iter().filter(|(_, s)| s.silent.is_some()).map(|(k, _)| *k).collect();
            if found != silent {
                broken.push(Broken(RULE, format!("node {node} of silences: {found:?}, {silent:?}")));
            }
            let peers: BTreeMap<MemberId, LeafFact> = leaf.peers().collect();
            for other in self.leaf_nodes().filter(|n| *n != node && self.plan.topic(*n) == topic) {
                let fact = peers.get(&id(other, &self.plan));
                let here = fact.is_some_and(|f| f.presence == Presence::Here);
                let life = self.leaf(other).map(|l| l.identity().life);
                let right = match self.awake(other) {
                    true => here && fact.map(|f| f.life) == life,
                    false => !here,
                };
                if !right {
                    broken.push(Broken(RULE, format!("node {node} of leaf {other}: {fact:?}")));
                }
            }
        }
        broken
    }

    /// All who are awake are on the newest settings that were in force anywhere.
    pub fn all_on_newest(&self) -> Vec<Broken> {
        const RULE: &str = "all who are reached are on the newest settings";
        let relays = (0..self.plan.relays).filter_map(|n| Some((n, self.relay(n)?.settings().mark())));
        let leaves = self.leaf_nodes().filter_map(|n| Some((n, self.leaf(n)?.status(0.0).settings)));
        let all: Vec<(usize, Mark)> = relays.chain(leaves).filter(|(n, _)| self.awake(*n)).collect();
        let newest = all.iter().map(|(_, mark)| *mark).max().unwrap_or_default();
        let behind = all.into_iter().filter(|(_, mark)| *mark != newest);
        behind
            .map(|(n, mark)| {
                Broken(RULE, format!("node {n} on {}, newest is {}", mark.version, newest.version))
            })
            .collect()
    }

    /// All relays hear each other.
    pub fn relays_hear_each_other(&self) -> bool {
        let alive = |a: usize, b: usize| {
            self.relay(a).is_some_and(|r| matches!(r.mesh().view().state(id(b, &self.plan)), State::Alive))
        };
        let awake: Vec<usize> = (0..self.plan.relays).filter(|n| self.awake(*n)).collect();
        awake.iter().all(|a| awake.iter().all(|b| a == b || alive(*a, *b)))
    }

    /// What does not hold though all is quiet.
    pub fn unsettled(&self) -> Vec<Broken> {
        let mut broken = Vec::new();
        let left = self.unattached();
        if !left.is_empty() {
            broken.push(Broken("every leaf is attached once all is quiet", format!("{left:?} are not")));
        }
        if !self.relays_hear_each_other() {
            broken.push(Broken("relays hear each other once all is quiet", String::new()));
        }
        broken.extend(self.feeds_equal_the_model());
        broken.extend(self.all_on_newest());
        broken
    }

    /// Plays a script, with words on servers and changes of settings between; what did not hold then, or after it.
    pub fn play(&mut self, script: &Script) -> Vec<Broken> {
        let mut rng = ChaCha8Rng::seed_from_u64(script.seed ^ 0x71e2);
        self.pass(3.0);
        let from = self.now;
        let mut asked = 0;
        let mut next_word = from;
        for (at, fault) in &script.steps {
            while next_word < from + at {
                self.pass((next_word - self.now).max(0.0));
                next_word += rng.gen_range(0.05..0.6);
                asked += 1;
                self.random_word(&mut rng, asked);
            }
            self.pass((from + at - self.now).max(0.0));
            self.fault(fault);
        }
        self.heal();
        // Those that went a long way wait for up to twice as long as their pause to try again.
        self.pass(8.0);
        let mut broken = self.unsettled();
        self.scan();
        broken.splice(0..0, self.broken.iter().cloned());
        broken
    }

    /// Something that a leaf finds, or a change of settings.
    pub fn random_word(&mut self, rng: &mut ChaCha8Rng, n: u64) {
        let Some(node) = self.leaf_nodes().collect::<Vec<_>>().choose(rng).copied() else { return };
        let server = rng.gen_range(0..self.plan.servers.max(1));
        match rng.gen_range(0..5) {
            0 => self.silence(node, server, true),
            1 => self.silence(node, server, false),
            2 => {
                // Of a server one word at a time: two within the error of an age are told in any order.
                let at = (self.plan.topic(node), server);
                if self.worded.get(&at).is_some_and(|then| self.now - then < 6.0) {
                    return;
                }
                self.worded.insert(at, self.now);
                let place =
                    *[ServerPlace::Ready, ServerPlace::Draining].choose(rng).unwrap_or(&ServerPlace::Ready);
                self.tell(node, server, Some(ServerFact { started_ms: 1000, place }));
            }
            3 => {
                let started_ms = 1000 + (self.now * 1000.0) as u64;
                self.tell(node, server, Some(ServerFact { started_ms, place: ServerPlace::Ready }));
            }
            _ => _ = self.propose(0, &entries(n)),
        }
    }
}

/// A random script for a world: faults of relays and leaves from 1 s on, and the healing of all at the end.
pub fn random_script(seed: u64, plan: &Plan, faults: usize, lasts: f64) -> Script {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0x7e1a);
    let count = plan.relays + plan.leaves;
    let mut steps = Vec::new();
    for _ in 0..faults {
        let at = 1.0 + rng.gen_range(0.0..lasts);
        let back = at + rng.gen_range(0.05..lasts / 2.0);
        let node = |rng: &mut ChaCha8Rng| {
            if rng.gen_bool(0.6) {
                rng.gen_range(0..plan.relays)
            } else {
                rng.gen_range(plan.relays..count)
            }
        };
        let (a, mut b) = (node(&mut rng), node(&mut rng));
        if a == b {
            b = (b + 1) % count;
        }
        let (x, y) = (End::Gatekeeper(a), End::Gatekeeper(b));
        match rng.gen_range(0..10) {
            0 | 1 => steps.extend([(at, Fault::Kill(a)), (back, Fault::Start(a))]),
            2 | 3 => steps.extend([(at, Fault::Pause(a)), (back, Fault::Wake(a))]),
            4 => steps.push((at, Fault::Cut(x, y))),
            5 => steps.extend([(at, Fault::Cut(x, y)), (at, Fault::Cut(y, x))]),
            6 => {
                // A relay is cut off from all, one way or both.
                let relay = rng.gen_range(0..plan.relays);
                let (says, hears) = [(true, true), (true, false), (false, true)][rng.gen_range(0..3)];
                for other in (0..count).filter(|n| *n != relay) {
                    let (r, o) = (End::Gatekeeper(relay), End::Gatekeeper(other));
                    steps.extend(says.then_some((at, Fault::Cut(r, o))));
                    steps.extend(hears.then_some((at, Fault::Cut(o, r))));
                }
            }
            7 => steps.push((at, Fault::Delay(x, y, rng.gen_range(0.005..0.2)))),
            8 => steps.extend((0..5).map(|n| (at + 0.2 * f64::from(n), Fault::Drop(x, y)))),
            _ => {
                // A split by region.
                for a in 0..count {
                    for b in (0..count).filter(|b| plan.region(a) != plan.region(*b)) {
                        steps.push((at, Fault::Cut(End::Gatekeeper(a), End::Gatekeeper(b))));
                    }
                }
            }
        }
    }
    steps.retain(|(at, _)| *at < 1.0 + lasts);
    steps.push((1.0 + lasts, Fault::Heal));
    steps.sort_by(|a, b| a.0.total_cmp(&b.0));
    Script { seed, steps }
}

/// Settings of which one entry changes with each number.
pub fn entries(n: u64) -> Vec<(String, String)> {
    (0..20)
        .map(|k| {
            (format!("entry {k}"), if k == n % 20 { format!("change {n}") } else { format!("text {k}") })
        })
        .collect()
}

/// What a long run came to.
#[derive(Clone, Debug, Default)]
pub struct Figures {
    /// Relays and leaves.
    pub relays: usize,
    /// The latter.
    pub leaves: usize,
    /// Which run.
    pub name: String,
    /// With which seed.
    pub seed: u64,
    /// Seconds that were played, and seconds that it took.
    pub played_s: f64,
    /// The latter.
    pub took_s: f64,
    /// Bytes a second to and from a leaf, packet headers counted: the mean over all leaves and seconds.
    pub mean_bytes_s: f64,
    /// The same: 99 in 100 seconds of leaves are under this.
    pub p99_bytes_s: f64,
    /// The same: the worst leaf's worst 10 s, a second.
    pub worst_bytes_s: f64,
    /// Bytes a second that all relays say and hear, leaves and other relays, a relay.
    pub relay_bytes_s: f64,
    /// Seconds from the fault until the last leaf that it concerns was attached again, and how many those were.
    pub attached_s: Option<f64>,
    /// Of each leaf that had lost its relay, or was started: seconds until it was attached, p50, p99 and the last.
    pub moved_s: (f64, f64, f64),
    /// How many those were.
    pub moved: usize,
    /// Changes of settings that were accepted, and refused for want of a majority.
    pub changes: usize,
    /// The latter.
    pub refused: usize,
    /// Seconds from a change's acceptance until it, or a later one, was in force at a leaf: p50, p99 and the last, over all
    /// leaves that could be reached all the while.
    pub in_force_s: (f64, f64, f64),
    /// Seconds from the asking until a majority of relays had it: p50, p99, the last.
    pub accepted_s: (f64, f64, f64),
    /// Seconds after the healing until all had the newest settings.
    pub equal_s: Option<f64>,
    /// Who lives and was heard, and was held to be gone.
    pub false_deaths: usize,
    /// Most leaves at a relay at any time.
    pub most_leaves: usize,
    /// What did not hold.
    pub broken: Vec<Broken>,
}

fn spread_of(mut all: Vec<f64>) -> (f64, f64, f64) {
    all.sort_by(f64::total_cmp);
    let at =
        |part: f64| all.get(((all.len() as f64 * part) as usize).min(all.len().saturating_sub(1))).copied();
    (at(0.5).unwrap_or(0.0), at(0.99).unwrap_or(0.0), all.last().copied().unwrap_or(0.0))
}

impl World {
    /// What was counted since the last [`World::measure_from_here`].
    pub fn figures(&mut self, name: &str, seed: u64) -> Figures {
        self.scan();
        let played = self.now - self.measured_from;
        let leaves = self.plan.leaves.max(1) as f64;
        let bytes: u64 = self.leaf_nodes().map(|n| self.slots[n].meter.total).sum();
        let worst = self.leaf_nodes().map(|n| self.slots[n].meter.worst).max().unwrap_or(0);
        let all: u64 = self.spread.iter().sum();
        let mut below = 0;
        let p99 = self.spread.iter().position(|count| {
            below += count;
            below * 100 >= all * 99
        });
        let told: u64 = self.said.values().map(|(_, bytes)| bytes).sum();
        let mut in_force = Vec::new();
        let mut accepted = Vec::new();
        for change in self.changes.values().filter(|c| c.asked >= self.measured_from) {
            let Some(at) = change.accepted else { continue };
            accepted.push(at - change.asked);
            in_force.extend(change.reached.values().map(|reached| (reached - at).max(0.0)));
        }
        let moved: Vec<f64> =
            self.moves.iter().filter(|m| m.at >= self.measured_from).map(|m| m.after).collect();
        Figures {
            relays: self.plan.relays,
            leaves: self.plan.leaves,
            name: name.into(),
            seed,
            played_s: played,
            took_s: 0.0,
            mean_bytes_s: bytes as f64 / leaves / played.max(1.0),
            p99_bytes_s: p99.map_or(0.0, |bucket| (bucket as f64 + 1.0) * 16.0),
            worst_bytes_s: worst as f64 / OVER as f64,
            relay_bytes_s: told as f64 / self.plan.relays.max(1) as f64 / played.max(1.0),
            attached_s: None,
            moved: moved.len(),
            moved_s: spread_of(moved),
            changes: accepted.len(),
            refused: self.refused,
            in_force_s: spread_of(in_force),
            accepted_s: spread_of(accepted),
            equal_s: None,
            false_deaths: self.false_deaths,
            most_leaves: self.most.iter().copied().max().unwrap_or(0),
            broken: self.broken.clone(),
        }
    }

    /// Forgets what was counted so far.
    pub fn measure_from_here(&mut self) {
        let second = self.now as u64;
        for node in self.leaf_nodes() {
            self.slots[node].meter = Meter { second, ..Meter::default() };
        }
        self.spread.clear();
        self.said.clear();
        self.most.iter_mut().for_each(|most| *most = 0);
        self.measured_from = self.now;
    }

    /// A change of settings that reaches everybody: `n` tells them apart.
    fn changes_settings(&mut self, n: u64) {
        if let Some(Err(_)) = self.propose(0, &entries(n)) {
            self.refused += 1;
        }
    }

    /// All start, attach, and have settings; those that started at a relay that is not theirs have gone home.
    fn warm(&mut self) {
        self.scan_every = 5.0;
        self.pass(1.0);
        self.changes_settings(0);
        self.pass(2.5 * self.plan.timing.home);
        self.measure_from_here();
    }

    /// Plays on until all are attached, and adds it to the figures.
    fn settle(&mut self, figures: &mut Figures, most: f64) {
        figures.attached_s = self.until(most, World::all_attached);
        if figures.attached_s.is_none() {
            let left = self.unattached().len();
            self.breaks("every leaf is attached in the end", format!("{left} are not after {most} s"));
        }
    }
}

/// What is played at length.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Run {
    /// Nothing happens, for five minutes.
    Rest,
    /// An hour that has all of an ordinary day: 2 failures, 41 restarts, 2,200 changes of settings at random times and in
    /// bursts of 50. So its rates are 24 times those of a day.
    Day,
    /// One relay is killed, and back after a minute.
    RelayKilled,
    /// One is paused for a minute.
    RelayPaused,
    /// Two are killed at once, and back after a minute.
    TwoRelays,
    /// 20 machines of one rack, a relay among them, lose their power, and are back after a minute.
    Rack,
    /// All leaves of a zone and its relay are killed and started at once.
    Zone,
    /// The regions lose each other for an hour, with 100 changes between, and find each other again.
    Regions,
    /// All relays are killed, and are back after 10 s.
    AllRelays,
    /// Everything is restarted at once.
    All,
    /// One in five messages is lost, for a minute.
    Loss,
}

/// All of them.
pub const RUNS: [Run; 11] = [
    Run::Rest,
    Run::Day,
    Run::RelayKilled,
    Run::RelayPaused,
    Run::TwoRelays,
    Run::Rack,
    Run::Zone,
    Run::Regions,
    Run::AllRelays,
    Run::All,
    Run::Loss,
];

impl Run {
    /// In a word.
    pub fn name(self) -> &'static str {
        match self {
            Run::Rest => "rest",
            Run::Day => "day",
            Run::RelayKilled => "relay-killed",
            Run::RelayPaused => "relay-paused",
            Run::TwoRelays => "two-relays",
            Run::Rack => "rack",
            Run::Zone => "zone",
            Run::Regions => "regions",
            Run::AllRelays => "all-relays",
            Run::All => "all",
            Run::Loss => "loss",
        }
    }

    /// Plays it; what must hold is in [`Figures::broken`].
    pub fn play(self, plan: Plan, seed: u64) -> Figures {
        let began = std::time::Instant::now();
        let mut world = World::new(plan, seed);
        world.warm();
        let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0x10a6);
        let mut figures = Figures::default();
        let zone: Vec<usize> = (0..world.slots.len()).filter(|n| world.plan.zone(*n) == 0).collect();
        match self {
            Run::Rest => world.pass(300.0),
            Run::Day => world.day(&mut rng),
            Run::RelayKilled | Run::RelayPaused | Run::TwoRelays => {
                match self {
                    Run::RelayPaused => world.pause(0),
                    _ => world.kill(0),
                }
                if self == Run::TwoRelays && world.plan.relays > 2 {
                    world.kill(1);
                }
                world.settle(&mut figures, 30.0);
                world.pass(60.0);
                world.heal();
                world.pass(2.5 * world.plan.timing.home);
            }
            Run::Rack => {
                let rack: Vec<usize> =
                    zone.iter().copied().filter(|n| *n == 0 || *n >= world.plan.relays).take(20).collect();
                rack.iter().for_each(|n| world.vanish(*n));
                world.settle(&mut figures, 30.0);
                world.pass(60.0);
                world.heal();
                world.pass(2.5 * world.plan.timing.home);
            }
            Run::Zone => {
                zone.iter().for_each(|n| world.kill(*n));
                world.pass(1.0);
                zone.iter().for_each(|n| world.start(*n));
                world.settle(&mut figures, 30.0);
                world.pass(60.0);
            }
            Run::Regions => {
                world.cut_regions(true);
                world.settle(&mut figures, 30.0);
                for n in 0..100 {
                    world.pass(35.5 + rng.gen_range(-5.0..5.0));
                    world.changes_settings(1000 + n);
                }
                world.cut_regions(false);
                figures.equal_s = world.until(30.0, |w| w.all_on_newest().is_empty());
                if figures.equal_s.is_none_or(|s| s > CHANGE) {
                    let what = format!("{:?}", figures.equal_s);
                    world.breaks("after a heal all are on the newest settings within 4 s", what);
                }
                world.pass(60.0);
            }
            Run::AllRelays => {
                (0..world.plan.relays).for_each(|n| world.kill(n));
                world.pass(10.0);
                (0..world.plan.relays).for_each(|n| world.start(n));
                world.settle(&mut figures, 60.0);
                figures.equal_s = world.until(60.0, |w| w.all_on_newest().is_empty());
                world.pass(5.0);
                world.changes_settings(77);
                world.pass(60.0);
            }
            Run::All => {
                (0..world.slots.len()).for_each(|n| world.kill(n));
                world.pass(0.5);
                (0..world.slots.len()).for_each(|n| world.start(n));
                world.settle(&mut figures, 60.0);
                world.pass(60.0);
            }
            Run::Loss => {
                world.loss = 0.2;
                for n in 0..6 {
                    world.pass(10.0);
                    world.changes_settings(500 + n);
                }
                world.loss = 0.0;
                world.pass(10.0);
            }
        }
        let broken = world.unsettled();
        let (attached_s, equal_s) = (figures.attached_s, figures.equal_s);
        figures = Figures { attached_s, equal_s, ..world.figures(self.name(), seed) };
        figures.broken.extend(broken);
        let limits = match self {
            Run::RelayKilled | Run::RelayPaused => Some(MOVED),
            Run::TwoRelays | Run::Rack | Run::Zone => Some(HOME),
            _ => None,
        };
        if let Some(most) = limits.filter(|most| figures.moved_s.2 > *most) {
            let what = format!("{:.2} s, expected {most} at most", figures.moved_s.2);
            figures.broken.push(Broken("leaves of a lost relay are attached elsewhere in time", what));
        }
        // A link that loses whole messages is harsher than any connection: there it is the digests that bring a change.
        let apart = matches!(self, Run::AllRelays | Run::All | Run::Regions | Run::Loss);
        if !apart && figures.in_force_s.2 > CHANGE {
            let what = format!("{:.2} s", figures.in_force_s.2);
            figures.broken.push(Broken("a change accepted reaches every leaf within 4 s", what));
        }
        figures.took_s = began.elapsed().as_secs_f64();
        figures
    }
}

impl World {
    /// An hour with all of an ordinary day in it.
    fn day(&mut self, rng: &mut ChaCha8Rng) {
        const HOUR: f64 = 3600.0;
        let mut steps: Vec<(f64, u8, usize)> = Vec::new();
        let count = self.slots.len();
        for _ in 0..2 {
            steps.push((rng.gen_range(0.0..HOUR - 120.0), 0, rng.gen_range(0..count)));
        }
        for _ in 0..41 {
            steps.push((rng.gen_range(0.0..HOUR - 120.0), 1, rng.gen_range(0..count)));
        }
        // 20 bursts of 50, and 1,200 alone.
        for _ in 0..20 {
            let at = rng.gen_range(0.0..HOUR - 60.0);
            steps.extend((0..50).map(|n| (at + 0.1 * f64::from(n), 2, 0)));
        }
        steps.extend((0..1200).map(|_| (rng.gen_range(0.0..HOUR - 60.0), 2, 0)));
        steps.sort_by(|a, b| a.0.total_cmp(&b.0));
        let from = self.now;
        let mut back: Vec<(f64, usize)> = Vec::new();
        for (n, (at, what, node)) in steps.into_iter().enumerate() {
            while let Some(i) = back.iter().position(|(then, _)| *then <= from + at) {
                let (then, node) = back.swap_remove(i);
                self.pass((then - self.now).max(0.0));
                self.start(node);
            }
            self.pass((from + at - self.now).max(0.0));
            match what {
                0 => {
                    self.vanish(node);
                    back.push((self.now + 60.0, node));
                }
                1 => {
                    self.kill(node);
                    back.push((self.now + 1.0, node));
                }
                _ => self.changes_settings(n as u64),
            }
        }
        self.heal();
        self.pass((from + HOUR - self.now).max(60.0));
    }
}
