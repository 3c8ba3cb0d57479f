//! Relays and leaves in skipped time: clocks an hour off and up to 1% apart in pace, links as connections with a delay, that
//! are cut, slow, lossy, closed with or without a sign; kills, pauses, restarts; readers that read nothing.
//!
//! Nothing steps: a queue of events has what arrives when, and when each node wants its next turn ([`hollypaddle_relay::Node::next_at`]). Each
//! message is encoded and decoded. What must hold is held against what the world itself knows: who lives and was heard by
//! whom, which relays have stored what, and what every leaf was told to say.
//!
//! Nodes are numbered through: the relays from 0, then the leaves. Scripts name them `g0`, `g1`, ....

mod figures;
mod inputs;
mod meter;
mod network;
mod nodes;
mod plan;
mod planted;
mod queue;
mod runs;
mod steps;
mod turn;
mod ways;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap, VecDeque};

use hollypaddle_membership::view::{Change, State};
use hollypaddle_membership::MemberId;
use hollypaddle_relay::message::Message;
use hollypaddle_relay::placement::limit;
use hollypaddle_relay::settings::Mark;
use hollypaddle_relay::{leaf, relay, Leaf, Relay};
use hollypaddle_replica::member;
use hollypaddle_replica::record::{
    join_servers, Key, LeafFact, Place as ServerPlace, Presence, ServerFact, ServerKey, Topic,
};
use rand::Rng;
use rand_chacha::rand_core::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::check::Broken;
use meter::Meter;
use network::Connection;
use nodes::{Body, Slot};
use queue::Ev;
use ways::Way;

pub use figures::Figures;
pub use meter::{BYTES, OVER};
pub use plan::{id, Plan, Planted};
pub use runs::{Run, CHANGE, HOME, MOVED, RUNS};
pub use steps::{entries, random_script};

/// A leaf that is awake is heard by its relay at least so often, in seconds; who was heard longer ago may be held silent.
const HEARD: f64 = 1.0;
/// What did not hold is kept up to so many.
const MOST_BROKEN: usize = 50;

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
