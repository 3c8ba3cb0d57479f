//! Members, links, clocks and servers in skipped time, stepped in one order that the seed alone decides.
//!
//! A link is as a connection: what is said arrives in order, later where its channel is delayed, and waits where it is
//! cut; a channel holds so much and then takes nothing more. A process that dies has its connections closed; one that is
//! paused takes nothing and says nothing, while its address still accepts.

mod budget;
mod calls;
mod hearing;
mod network;
mod plan;
mod settled;

use std::collections::{BTreeMap, BTreeSet};

use hollypaddle_budgets::Shares;
use hollypaddle_crossing::Crossing;
use hollypaddle_membership::view::State;
use hollypaddle_membership::MemberId;
use hollypaddle_replica::record::{Origin, ServerKey};
use hollypaddle_replica::Member;
use rand::Rng;
use rand_chacha::rand_core::SeedableRng;
use rand_chacha::ChaCha8Rng;

use self::budget::crossing;
use self::hearing::Hearing;
use self::network::{Channel, Link};
pub use self::plan::{Plan, Planted, Shared};
use crate::check::{self, Broken, History, What};
use crate::clock::{Clock, MOST_DRIFT};
use crate::impairment::Impairment;
use crate::script::{Fault, Script};

/// A step, in seconds.
pub const STEP: f64 = 0.01;
/// Messages that a channel holds.
const CHANNEL_MESSAGES: usize = 64;
/// Between two tries of a link, and how long one may be up without a greeting.
const DIAL_EVERY_S: f64 = 0.1;
const GREETING_WITHIN_S: f64 = 1.0;
/// What a message takes anyway, in seconds.
const BASE_DELAY_S: f64 = 0.002;
/// Between two looks of a gatekeeper at what it may use of budgets.
const BUDGET_EVERY_S: f64 = 0.05;
/// After the healing, all copies must be equal within so long.
pub const CONVERGES: f64 = 2.0;
/// A call that stood for so long is known to the others, where nothing is cut.
pub const SHARED: f64 = 0.15;

#[derive(Clone)]
struct Node {
    member: Option<Member>,
    paused: bool,
    clock: Clock,
    lives: u64,
    links: BTreeMap<usize, Link>,
    next_dial: Vec<f64>,
    /// Own calls that stand, and others' that it sees to.
    calls: BTreeMap<u64, ServerKey>,
    adopted: BTreeSet<u64>,
    /// Ends that servers told it while it was paused or down: they come on its next turn, or next connection.
    pending_ends: Vec<u64>,
    /// Its budget, with what it may use of it, and how many set-ups a second it is asked for, until when.
    budget: Option<(Crossing, Shares)>,
    demand: (f64, f64),
    next_beat: f64,
    /// What the others held as it started or woke.
    known_to_others: Option<(f64, BTreeMap<Origin, u64>)>,
}

impl Node {
    fn clock(&self, now: f64) -> f64 {
        self.clock.local(now)
    }

    fn acts(&self) -> bool {
        self.member.is_some() && !self.paused
    }
}

/// All of it.
#[derive(Clone)]
pub struct World {
    plan: Plan,
    rng: ChaCha8Rng,
    /// The time.
    pub now: f64,
    nodes: Vec<Node>,
    channels: BTreeMap<(usize, usize), Channel>,
    connections: u64,
    /// Calls that stand: owner, when the server ends them.
    standing: BTreeMap<u64, (usize, f64)>,
    next_call: u64,
    hearing: Hearing,
    /// What happened.
    pub history: History,
    /// Servers end nothing for the moment, so that what was said arrives.
    ends_wait: bool,
    broken: Vec<Broken>,
    /// When set-ups were sent on the shared budget, by whom, and how many were turned away.
    pub sent: Vec<(f64, usize)>,
    /// The latter.
    pub turned_away: u64,
    /// Bytes said by all members.
    pub bytes: u64,
    /// Calls adopted, and members that were gone for somebody, so far.
    pub adopted: u64,
    /// How often somebody alive and awake was held to be gone by somebody who was, too.
    pub false_deaths: u64,
}

fn id(n: usize) -> MemberId {
    MemberId::of(&format!("g{n}"))
}

impl World {
    /// All members start at once.
    pub fn new(plan: Plan, seed: u64) -> World {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let nodes = (0..plan.members)
            .map(|_| Node {
                member: None,
                paused: false,
                clock: Clock::random(&mut rng, MOST_DRIFT),
                lives: 0,
                links: BTreeMap::new(),
                next_dial: vec![0.0; plan.members],
                calls: BTreeMap::new(),
                adopted: BTreeSet::new(),
                pending_ends: Vec::new(),
                budget: None,
                demand: (0.0, 0.0),
                next_beat: 0.0,
                known_to_others: None,
            })
            .collect();
        let pairs = (0..plan.members).flat_map(|a| (0..plan.members).map(move |b| (a, b)));
        let channels = pairs.filter(|(a, b)| a != b).map(|pair| (pair, Channel::default())).collect();
        let mut world = World {
            plan,
            rng,
            now: 0.0,
            nodes,
            channels,
            connections: 0,
            standing: BTreeMap::new(),
            next_call: 1,
            hearing: Hearing::default(),
            history: History::default(),
            ends_wait: false,
            broken: Vec::new(),
            sent: Vec::new(),
            turned_away: 0,
            bytes: 0,
            adopted: 0,
            false_deaths: 0,
        };
        (0..world.plan.members).for_each(|n| world.start(n));
        world
    }

    /// A member, if it is up.
    pub fn member(&self, n: usize) -> Option<&Member> {
        self.nodes.get(n)?.member.as_ref()
    }

    fn start(&mut self, n: usize) {
        if self.nodes[n].member.is_some() {
            return;
        }
        let members: Vec<MemberId> = (0..self.plan.members).map(id).collect();
        let nonce = self.rng.gen();
        let node = &mut self.nodes[n];
        node.lives += 1;
        // Its clock may be an hour behind what the fleet knows of its earlier life.
        let back = if node.lives % 3 == 2 { 3600.0 } else { 0.0 };
        let local = node.clock(self.now);
        let life = node.clock.life(self.now, back, nonce);
        let member = Member::new(local, id(n), life, self.plan.settings, members);
        (node.member, node.paused) = (Some(member), false);
        let all = self.plan.members;
        node.budget =
            self.plan.shared.map(|shared| (crossing(&shared, all, local), Shares::new(local, shared.lend)));
        (node.next_beat, node.demand) = (local, (0.0, 0.0));
        self.note_known_to_others(n);
        self.history.push(self.now, What::Started(n));
    }

    /// Notes what the others hold, as a member starts or wakes.
    fn note_known_to_others(&mut self, n: usize) {
        let mut all: BTreeMap<Origin, u64> = BTreeMap::new();
        for (_, node) in self.nodes.iter().enumerate().filter(|(m, _)| *m != n) {
            let Some(member) = node.member.as_ref().filter(|_| !node.paused) else { continue };
            for (origin, stream) in member.store().streams().filter(|(o, _)| o.member != id(n)) {
                let held = all.entry(*origin).or_default();
                *held = (*held).max(stream.version());
            }
        }
        self.nodes[n].known_to_others = Some((self.now, all));
    }

    fn kill(&mut self, n: usize) {
        if self.nodes[n].member.is_some() {
            self.record_unshared(n);
        }
        let node = &mut self.nodes[n];
        if node.member.take().is_none() {
            return;
        }
        node.paused = false;
        node.budget = None;
        node.calls.clear();
        node.adopted.clear();
        let links = std::mem::take(&mut node.links);
        // What is on its way to a process that has ended comes to nothing, also on a connection it never took.
        let coming = self.channels.iter_mut().filter(|((_, to), _)| *to == n);
        coming.for_each(|(_, channel)| channel.items.clear());
        for (peer, link) in links {
            self.close(n, peer, link.connection);
        }
        self.history.push(self.now, What::Killed(n));
    }

    /// Does what a step of a script says.
    pub fn fault(&mut self, fault: Fault) {
        match fault {
            Fault::Kill(n) if n < self.nodes.len() => self.kill(n),
            Fault::Start(n) if n < self.nodes.len() => self.start(n),
            Fault::Pause(n) if n < self.nodes.len() && self.nodes[n].acts() => {
                self.nodes[n].paused = true;
                self.history.push(self.now, What::Paused(n));
            }
            Fault::Wake(n) if n < self.nodes.len() && self.nodes[n].paused => {
                self.nodes[n].paused = false;
                self.note_known_to_others(n);
                self.history.push(self.now, What::Woken(n));
            }
            Fault::Cut(..) | Fault::Delay(..) | Fault::Throttle(..) => {
                if let Some(channel) =
                    fault.between_gatekeepers().and_then(|pair| self.channels.get_mut(&pair))
                {
                    channel.impairment.apply(&fault);
                    self.history.push(self.now, What::Faulted);
                }
            }
            Fault::Drop(..) => {
                if let Some((a, b)) = fault.between_gatekeepers().filter(|(a, b)| a != b) {
                    if let Some(link) = self.nodes[a].links.get(&b).copied() {
                        self.unlink(a, b);
                        self.close(a, b, link.connection);
                    }
                    self.history.push(self.now, What::Faulted);
                }
            }
            Fault::Heal => {
                self.channels.values_mut().for_each(|channel| channel.impairment = Impairment::default());
                (0..self.nodes.len()).for_each(|n| {
                    self.start(n);
                    self.fault(Fault::Wake(n));
                });
                self.history.push(self.now, What::Healed);
            }
            // What becomes of servers matters to whole gatekeepers.
            _ => {}
        }
    }

    /// One step of everything.
    pub fn step(&mut self) {
        self.now += STEP;
        self.observe_hearing();
        for n in 0..self.nodes.len() {
            if self.nodes[n].acts() {
                self.turn(n);
            }
        }
        self.servers();
    }

    fn turn(&mut self, n: usize) {
        let local = self.nodes[n].clock(self.now);
        if let Some(member) = &mut self.nodes[n].member {
            member.tick(local);
        }
        for id in std::mem::take(&mut self.nodes[n].pending_ends) {
            self.end_told(n, id);
        }
        self.receive_all(n, local);
        self.dial(n);
        self.traffic(n, local);
        self.act(n);
        self.spend(n, local);
        self.send_pending(n, local);
    }

    /// No more calls come or end, nor are words lost: what was said arrives.
    pub fn still(&mut self) {
        (self.plan.calls, self.plan.chaos, self.plan.loss, self.ends_wait) = (0.0, 0.0, 0.0, true);
    }

    /// Whether one holds another to be gone.
    pub fn holds_gone(&self, n: usize, who: usize) -> bool {
        self.member(n).is_some_and(|m| matches!(m.view().state(id(who)), State::Gone(_)))
    }

    /// Whether all that are up hold the same.
    pub fn copies_are_equal(&self) -> bool {
        let held = |m: &Member| -> Vec<(Origin, u64, u64)> {
            m.snapshot().iter().map(|r| (r.origin, r.version, r.hash)).collect()
        };
        let mut all = self.nodes.iter().filter_map(|node| node.member.as_ref()).map(held);
        let first = all.next();
        all.all(|other| Some(&other) == first.as_ref())
    }

    /// Ends all calls, mends all, lets all settle, and returns what did not hold.
    pub fn settle(&mut self) -> Vec<Broken> {
        self.fault(Fault::Heal);
        self.still();
        self.pass(4.0 + CONVERGES);
        let mut broken = std::mem::take(&mut self.broken);
        broken.extend(self.check_settled());
        self.ends_wait = false;
        let left: Vec<u64> = self.standing.keys().copied().collect();
        left.into_iter().for_each(|call| self.end(call));
        self.pass(1.5);
        broken.extend(check::history(&self.history, 4.0));
        broken.extend(self.check_shared_budget());
        broken
    }

    /// Lets time pass.
    pub fn pass(&mut self, seconds: f64) {
        (0..(seconds / STEP).round() as usize).for_each(|_| self.step());
    }

    /// Plays a script to its end, lets all settle, and returns what did not hold.
    pub fn play(&mut self, script: &Script) -> Vec<Broken> {
        for (at, fault) in &script.steps {
            while self.now + STEP / 2.0 < *at {
                self.step();
            }
            self.fault(*fault);
        }
        self.pass(4.0);
        self.still();
        self.pass(CONVERGES);
        self.ends_wait = false;
        let mut broken = std::mem::take(&mut self.broken);
        broken.extend(self.check_settled());
        self.pass(8.0);
        broken.extend(check::history(&self.history, 4.0));
        broken.extend(self.check_shared_budget());
        broken
    }
}
