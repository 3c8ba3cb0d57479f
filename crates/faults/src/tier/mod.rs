//! Relays and leaves in skipped time: clocks an hour off and up to 1% apart in pace, links as connections with a delay, that
//! are cut, slow, lossy, closed with or without a sign; kills, pauses, restarts; readers that read nothing.
//!
//! Nothing steps: a queue of events has what arrives when, and when each node wants its next turn ([`Node::next_at`]). Each
//! message is encoded and decoded. What must hold is held against what the world itself knows: who lives and was heard by
//! whom, which relays have stored what, and what every leaf was told to say.
//!
//! Nodes are numbered through: the relays from 0, then the leaves. Scripts name them `g0`, `g1`, ....

mod figures;
mod meter;
mod plan;
mod runs;
mod steps;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap, VecDeque};

use hollypaddle_membership::view::{Change, State};
use hollypaddle_membership::{Life, MemberId};
use hollypaddle_relay::budget::HEADERS;
use hollypaddle_relay::message::{Feed, Message};
use hollypaddle_relay::placement::limit;
use hollypaddle_relay::relay::SettingsError;
use hollypaddle_relay::settings::Mark;
use hollypaddle_relay::{leaf, relay, Leaf, LinkId, Node, Relay};
use hollypaddle_replica::member;
use hollypaddle_replica::record::{
    join_servers, Key, LeafFact, Place as ServerPlace, Presence, ServerFact, ServerKey, Topic, Value,
};
use rand::Rng;
use rand_chacha::rand_core::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::check::Broken;
use meter::Meter;

pub use figures::Figures;
pub use meter::{BYTES, OVER};
pub use plan::{id, Plan, Planted};
pub use runs::{Run, CHANGE, HOME, MOVED, RUNS};
pub use steps::{entries, random_script};

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
}
