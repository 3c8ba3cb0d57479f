//! Members, links, clocks and servers in skipped time, stepped in one order that the seed alone decides.
//!
//! A link is as a connection: what is said arrives in order, later where its channel is delayed, and waits where it is
//! cut; a channel holds so much and then takes nothing more. A process that dies has its connections closed; one that is
//! paused takes nothing and says nothing, while its address still accepts.

mod hearing;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use self::hearing::Hearing;
use hollypaddle_budgets::Shares;
use hollypaddle_crossing::{
    Amount, BendSettings, ClassInfo, Crossing, District, Rate, Rule, Scope, Settings as Crossings,
};
use hollypaddle_lending::TERM;
use hollypaddle_membership::view::State;
use hollypaddle_membership::MemberId;
use hollypaddle_policy::{
    Candidate, Cause, Event as Heard, Gate, ListKind, Outcome, PoolEntry, PoolId, Readiness,
};
use hollypaddle_replica::member::{Act, Event, How};
use hollypaddle_replica::record::{CallFact, Origin, Place, ServerFact, ServerKey};
use hollypaddle_replica::store::{Store, LIVES};
use hollypaddle_replica::{Member, Settings, Word};
use rand::Rng;
use rand_chacha::rand_core::SeedableRng;
use rand_chacha::ChaCha8Rng;

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

/// A fault put in on purpose, which the invariants must find.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Planted {
    /// Tombstones are left out of what is told: a join that forgets deletions.
    NoTombstones,
    /// A piece says that it reaches further than it does: a copy that skips records.
    SkipsRecords,
    /// One who is given its calls back, or hears that they are over, goes on seeing to them.
    NeverYields,
    /// One who starts or wakes takes calls without catching up.
    NoCatchUp,
    /// A lender goes on using what it lends.
    LendsAndUses,
    /// One who starts uses its whole part at once, though an earlier life may have lent it.
    ForgetsLeases,
    /// A borrower counts a lease as long as it holds the message, however old that is.
    EndlessLease,
}

/// A budget that all members share, and what is asked of it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Shared {
    /// The fleet's set-ups a second, and burst.
    pub per_s: f64,
    /// The burst.
    pub burst: f64,
    /// Most of its part that a member lends.
    pub lend: f64,
}

/// What is played.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Members.
    pub members: usize,
    /// Servers.
    pub servers: usize,
    /// Calls a second at each.
    pub calls: f64,
    /// Chance that a message that carries records comes twice or is lost.
    pub chaos: f64,
    /// Chance that a beat is lost, as no connection loses it but a datagram is.
    pub loss: f64,
    /// The members' figures.
    pub settings: Settings,
    /// A budget that all share, if there is one.
    pub shared: Option<Shared>,
    /// A fault put in on purpose.
    pub planted: Option<Planted>,
}

impl Plan {
    /// So many members, with usual traffic.
    pub fn of(members: usize) -> Plan {
        Plan {
            members,
            servers: 3,
            calls: 4.0,
            chaos: 0.0,
            loss: 0.0,
            settings: Settings::default(),
            shared: None,
            planted: None,
        }
    }
}

#[derive(Clone)]
enum Packet {
    Message(Vec<u8>),
    Close,
}

/// One direction between two members.
#[derive(Clone, Default)]
struct Channel {
    items: VecDeque<(f64, u64, Packet)>,
    impairment: Impairment,
}

#[derive(Clone, Copy)]
struct Link {
    connection: u64,
    greeted: bool,
    since: f64,
}

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

/// The budget of one member: all crossings, the fleet's rate.
fn crossing(shared: &Shared, members: usize, now: f64) -> Crossing {
    let whole = |value| Amount { value, fleet: true };
    let rate = Some(Rate { per_s: whole(shared.per_s), burst: whole(shared.burst) });
    let rule = Rule {
        scope: Scope::default(),
        rate,
        share: None,
        standing: None,
        overdraft: whole(0.0),
        floor: 0.0,
    };
    let settings = Crossings {
        districts: vec!["here".into(), "there".into()],
        own: District(0),
        classes: vec![ClassInfo { name: "any".into(), goal_time: 1.0, urgent: false }],
        part: 1.0 / members as f64,
        bend: BendSettings::default(),
        rules: vec![rule],
    };
    let mut crossing = Crossing::new(settings, now);
    let entry = PoolEntry {
        pool: PoolId(0),
        number: 0,
        readiness: Readiness::Ready,
        ready_at: 0.0,
        district: Some(1),
    };
    crossing.hear(now, &Heard::List { kind: ListKind::Full, entries: vec![entry] });
    crossing
}

fn key(shared: &Shared) -> hollypaddle_lending::BudgetKey {
    hollypaddle_lending::BudgetKey::of("all", shared.per_s, shared.burst)
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

    /// What is known to one member alone as it is killed is lost with it: that may be so of the last moments, or where
    /// it was cut off, and else it is a fault.
    fn record_unshared(&mut self, n: usize) {
        let cut = self.channels.iter().any(|((a, b), w)| (*a == n || *b == n) && w.impairment.is_impaired());
        let trouble = |(at, w): &(f64, What)| *at > self.now - 2.0 && !check::of_calls(w);
        let may =
            cut || self.nodes[n].paused || self.plan.chaos > 0.0 || self.history.events.iter().any(trouble);
        let others: Vec<&Member> = (self.nodes.iter().enumerate())
            .filter(|(m, node)| *m != n && node.acts())
            .filter_map(|(_, node)| node.member.as_ref())
            .collect();
        let own = self.nodes[n].member.as_ref().map(|m| m.store());
        let version = |s: &Store, of: &Origin| s.stream(of).map_or(0, |s| s.version());
        let behind = own.is_some_and(|own| {
            others.iter().any(|m| version(m.store(), &own.own()) < version(own, &own.own()))
        });
        let since = self.now - SHARED;
        let mut lost = Vec::new();
        for (at, what) in &self.history.events {
            let is_lost = match what {
                What::Stood(call, by) if *by == n && self.nodes[n].calls.contains_key(call) => {
                    !others.iter().any(|m| m.store().call(*call).is_some())
                }
                // Messages that still wait on a cut channel may bring the call and not its end.
                What::Told(_, by) if *by == n => behind,
                _ => false,
            };
            if let (true, What::Stood(call, _) | What::Told(call, _)) =
                (is_lost && (may || *at > since), what)
            {
                lost.push(*call);
            }
        }
        lost.into_iter().for_each(|call| self.history.push(self.now, What::Unshared(call)));
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

    /// One end of a connection is closed; the other hears of it when what was said before has come.
    fn close(&mut self, from: usize, to: usize, connection: u64) {
        if let Some(channel) = self.channels.get_mut(&(from, to)) {
            channel.items.push_back((
                self.now + BASE_DELAY_S + channel.impairment.delay_s,
                connection,
                Packet::Close,
            ));
        }
        // What was on its way here is lost.
        if let Some(channel) = self.channels.get_mut(&(to, from)) {
            channel.items.retain(|(_, c, _)| *c != connection);
        }
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

    fn unlink(&mut self, n: usize, peer: usize) {
        let node = &mut self.nodes[n];
        if node.links.remove(&peer).is_some() {
            node.next_dial[peer] = self.now + DIAL_EVERY_S;
            if let Some(member) = &mut node.member {
                member.unlinked(id(peer));
            }
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

    /// Sends set-ups on the shared budget as far as that lets it, and looks after its share as a gatekeeper does.
    fn spend(&mut self, n: usize, local: f64) {
        // What is lent is renewed all the time; while copies are compared nothing is said.
        let Some(shared) = self.plan.shared.filter(|_| !self.ends_wait) else { return };
        let node = &mut self.nodes[n];
        let (Some((crossing, shares)), Some(member)) = (&mut node.budget, &mut node.member) else { return };
        if local >= node.next_beat {
            node.next_beat = local + BUDGET_EVERY_S;
            shares.beat(local, Some(member), Some(crossing));
            let part = 1.0 / self.plan.members as f64;
            let own = shares.lending().own(local, key(&shared), part);
            let lent = shares.lending().lent(key(&shared));
            let leases = member.leases().into_iter().map(|(_, at, lent)| (at, f64::from(lent) / 1e6));
            let valid = leases.clone().map(|(at, part)| (at + TERM, part)).filter(|l| local < l.0);
            match self.plan.planted {
                Some(Planted::LendsAndUses) => {
                    crossing.share(local, &Scope::default(), own + lent, valid.collect());
                }
                Some(Planted::ForgetsLeases) => {
                    crossing.share(local, &Scope::default(), part - lent, valid.collect());
                }
                Some(Planted::EndlessLease) => {
                    let endless = leases.map(|(_, part)| (f64::INFINITY, part)).collect();
                    crossing.share(local, &Scope::default(), own, endless);
                }
                _ => {}
            }
        }
        if self.now >= node.demand.1 {
            // Nothing or far more than its part, for some seconds.
            let of = [0.0, 0.0, 3.0, 6.0][self.rng.gen_range(0..4)];
            let per_s = of * shared.per_s / self.plan.members as f64;
            node.demand = (per_s, self.now + self.rng.gen_range(3.0..9.0));
        }
        if !self.rng.gen_bool((node.demand.0 * STEP).clamp(0.0, 1.0)) {
            return;
        }
        let call = self.next_call as u32;
        self.next_call += 1;
        let candidate =
            Candidate { call, class: 0, pool: PoolId(0), attempt: 0, first_tried: local, last_resort: false };
        match crossing.may_send(local, &candidate) {
            Ok(()) => {
                crossing.sent(local, &candidate);
                let (pool, outcome, cause) = (PoolId(0), Outcome::Done, Cause::Unknown);
                let (attempt, complete, wait, report) = (0, true, None, Default::default());
                let ended = Heard::Ended { call, pool, attempt, complete, outcome, cause, wait, report };
                crossing.hear(local, &ended);
                self.sent.push((self.now, n));
            }
            Err(denial) => {
                crossing.turned_away(local, &candidate, &denial);
                self.turned_away += 1;
            }
        }
    }

    /// What was sent on the shared budget, held to it.
    fn check_shared_budget(&self) -> Vec<Broken> {
        let Some(shared) = self.plan.shared else { return Vec::new() };
        let sent: Vec<f64> = self.sent.iter().map(|s| s.0).collect();
        // A front's burst is never under one set-up.
        check::shared_rate_holds(&sent, shared.per_s, shared.burst + self.plan.members as f64)
    }

    fn receive_all(&mut self, n: usize, local: f64) {
        for peer in (0..self.nodes.len()).filter(|p| *p != n) {
            while let Some((connection, item)) = self.arrived(peer, n) {
                let link = self.nodes[n].links.get(&peer).copied();
                match item {
                    Packet::Close if link.is_some_and(|l| l.connection == connection) => self.unlink(n, peer),
                    Packet::Close => {}
                    Packet::Message(bytes) => {
                        let Ok(message) = postcard::from_bytes::<Word>(&bytes) else {
                            self.broken.push(Broken("what is said can be read", format!("{bytes:?}")));
                            continue;
                        };
                        self.receive(n, peer, connection, link, local, &message);
                    }
                }
            }
        }
    }

    /// What has come on the channel between two, one by one.
    fn arrived(&mut self, from: usize, to: usize) -> Option<(u64, Packet)> {
        let channel = self.channels.get_mut(&(from, to)).filter(|channel| !channel.impairment.cut)?;
        let (_, connection, item) = channel.items.pop_front_if(|(at, ..)| *at <= self.now)?;
        Some((connection, item))
    }

    fn receive(
        &mut self,
        n: usize,
        peer: usize,
        connection: u64,
        link: Option<Link>,
        local: f64,
        message: &Word,
    ) {
        let Some(member) = &mut self.nodes[n].member else { return };
        if let Word::Hello { .. } = message {
            // A new connection takes the place of one of which the end was not heard.
            let answers = link.is_none_or(|l| l.connection != connection);
            if answers && link.is_some_and(|l| l.connection > connection) {
                return;
            }
            if answers && link.is_some() {
                member.unlinked(id(peer));
            }
            let greeted = member.greeted(local, message);
            let hello = member.hello(local, id(peer));
            let link = Link { connection, greeted: greeted.is_ok(), since: self.now };
            self.nodes[n].links.insert(peer, link);
            if answers {
                self.send(n, peer, connection, &hello);
            }
            if greeted.is_err() {
                self.unlink(n, peer);
                self.close(n, peer, connection);
            }
            return;
        }
        if !link.is_some_and(|l| l.connection == connection && l.greeted) {
            return;
        }
        if member.hear(local, id(peer), message).is_err() {
            self.unlink(n, peer);
            self.close(n, peer, connection);
        }
    }

    fn dial(&mut self, n: usize) {
        for peer in (0..self.nodes.len()).filter(|p| *p != n) {
            if let Some(link) = self.nodes[n].links.get(&peer) {
                if !link.greeted && self.now - link.since > GREETING_WITHIN_S {
                    let connection = link.connection;
                    self.unlink(n, peer);
                    self.close(n, peer, connection);
                }
                continue;
            }
            // The one of the lower number makes the link; the other tries where none has come for a while.
            let leaves = if n > peer { 2.0 * DIAL_EVERY_S } else { 0.0 };
            if self.now < self.nodes[n].next_dial[peer] + leaves {
                continue;
            }
            self.nodes[n].next_dial[peer] = self.now + DIAL_EVERY_S;
            let cut = self.channels.get(&(n, peer)).is_some_and(|channel| channel.impairment.cut)
                || self.channels[&(peer, n)].impairment.cut;
            if cut {
                continue;
            }
            if self.nodes[peer].member.is_none() {
                let local = self.nodes[n].clock(self.now);
                if let Some(member) = &mut self.nodes[n].member {
                    member.refused(local, id(peer));
                }
                continue;
            }
            self.connections += 1;
            let connection = self.connections;
            self.nodes[n].links.insert(peer, Link { connection, greeted: false, since: self.now });
            let local = self.nodes[n].clock(self.now);
            if let Some(hello) = self.nodes[n].member.as_ref().map(|m| m.hello(local, id(peer))) {
                self.send(n, peer, connection, &hello);
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, connection: u64, message: &Word) {
        let Ok(bytes) = postcard::to_allocvec(message) else { return };
        self.bytes += bytes.len() as u64;
        let Some(channel) = self.channels.get_mut(&(from, to)) else { return };
        let at = self.now + BASE_DELAY_S + channel.impairment.delay_s;
        if self.plan.loss > 0.0 && matches!(message, Word::Beat(_)) && self.rng.gen_bool(self.plan.loss) {
            return;
        }
        // What comes later on a connection does not overtake.
        let at = channel.items.back().map_or(at, |(last, ..)| last.max(at));
        let at = at + channel.impairment.rate.map_or(0.0, |rate| bytes.len() as f64 / rate);
        let carries = matches!(message, Word::Piece(_) | Word::Ask(_));
        if self.plan.chaos > 0.0 && carries && self.rng.gen_bool(self.plan.chaos) {
            match self.rng.gen_bool(0.5) {
                true => channel.items.push_back((at, connection, Packet::Message(bytes.clone()))),
                false => return,
            }
        }
        channel.items.push_back((at, connection, Packet::Message(bytes)));
    }

    fn send_pending(&mut self, n: usize, local: f64) {
        for peer in self.nodes[n].links.keys().copied().collect::<Vec<_>>() {
            let Some(link) = self.nodes[n].links.get(&peer).copied().filter(|l| l.greeted) else { continue };
            while self.channels.get(&(n, peer)).is_some_and(|w| w.items.len() < CHANNEL_MESSAGES) {
                let Some(mut message) = self.nodes[n].member.as_mut().and_then(|m| m.say(local, id(peer)))
                else {
                    break;
                };
                self.apply_planted(&mut message);
                self.send(n, peer, link.connection, &message);
            }
        }
    }

    fn apply_planted(&mut self, message: &mut Word) {
        let Word::Piece(piece) = message else { return };
        match self.plan.planted {
            Some(Planted::NoTombstones) => piece.records.retain(|r| r.value.is_some()),
            Some(Planted::SkipsRecords) if piece.records.len() > 1 => drop(piece.records.remove(0)),
            _ => {}
        }
    }

    fn traffic(&mut self, n: usize, local: f64) {
        let ready = self.nodes[n].member.as_ref().is_some_and(Member::ready);
        let ready = ready || self.plan.planted == Some(Planted::NoCatchUp);
        if !ready || !self.rng.gen_bool((self.plan.calls * STEP).clamp(0.0, 1.0)) {
            return;
        }
        if self.plan.planted == Some(Planted::NoCatchUp) {
            self.must_have_caught_up(n);
        }
        let call = self.next_call;
        self.next_call += 1;
        let server = ServerKey(self.rng.gen_range(0..self.plan.servers as u64));
        let lasts = self.rng.gen_range(0.2..6.0);
        let node = &mut self.nodes[n];
        let Some(member) = &mut node.member else { return };
        member.stands(local, call, CallFact { server, class: 1 });
        member.server(local, server, ServerFact { started_ms: 0, place: Place::Ready });
        member.silent(local, server, 0, call.is_multiple_of(7).then_some(local));
        node.calls.insert(call, server);
        self.standing.insert(call, (n, self.now + lasts));
        self.history.push(self.now, What::Stood(call, n));
    }

    fn act(&mut self, n: usize) {
        let Some(member) = &mut self.nodes[n].member else { return };
        let (acts, events) = (member.acts(), member.events());
        let never_yields = self.plan.planted == Some(Planted::NeverYields);
        for act in acts {
            let node = &mut self.nodes[n];
            match act {
                Act::Adopt(call, adopted) => {
                    node.adopted.insert(call);
                    self.adopted += 1;
                    let owner = (0..self.nodes.len()).find(|m| id(*m) == adopted.origin.member);
                    // One that was killed may have been found dead before the cut.
                    let lives = |m: usize| self.nodes[m].member.is_some() && self.nodes[m].lives == 1;
                    if let Some(owner) = owner.filter(|m| *m != n && lives(*m)) {
                        self.check_adoption(n, call, owner);
                    }
                }
                Act::Yield(_) | Act::EndedElsewhere(_) if never_yields => {}
                Act::Yield(call) => drop(node.adopted.remove(&call)),
                Act::EndedElsewhere(call) => drop(node.calls.remove(&call)),
                Act::Tell(call, _) => self.history.push(self.now, What::Told(call, n)),
            }
        }
        for event in events {
            match event {
                Event::CaughtUp(How::Complete, _) => self.must_have_caught_up(n),
                Event::Member(hollypaddle_membership::view::Change::Gone(member, _)) => {
                    let gone = (0..self.nodes.len()).find(|m| id(*m) == member);
                    self.false_deaths += u64::from(gone.is_some_and(|m| self.nodes[m].acts()));
                }
                _ => {}
            }
        }
    }

    /// A member that takes calls holds what those held that it reached, as of its start or its waking.
    fn must_have_caught_up(&mut self, n: usize) {
        let Some((since, met)) = self.nodes[n].known_to_others.take() else { return };
        // Only where nobody was cut off or came and went meanwhile is it known whom it reached.
        let trouble = |(at, w): &(f64, What)| *at > since - 1.0 && *at < self.now && !check::of_calls(w);
        let own = self.history.events.iter().filter(|e| trouble(e)).count();
        let cut = self.channels.values().any(|channel| channel.impairment.is_impaired());
        let Some(member) = self.nodes[n].member.as_ref().filter(|_| own <= 1 && !cut) else { return };
        for (origin, version) in met {
            let held = member.store().stream(&origin).map_or(0, |s| s.version());
            if held < version && !member.store().forgotten(&origin) && origin.member != id(n) {
                let what = format!("g{n} takes calls with {origin} at {held} of {version}");
                self.broken.push(Broken("who takes calls holds what the others held as it came", what));
            }
        }
    }

    /// A server told the end of a call to this gatekeeper.
    fn end_told(&mut self, n: usize, call: u64) {
        if !self.nodes[n].acts() {
            return self.nodes[n].pending_ends.push(call);
        }
        let local = self.nodes[n].clock(self.now);
        let node = &mut self.nodes[n];
        let Some(member) = &mut node.member else { return };
        let own = node.calls.remove(&call).is_some();
        // One that was started anew passes on the end of a call that it never heard of: it may have stood through it.
        let earlier = node.lives > 1 && !member.store().over(call);
        if own || earlier || node.adopted.contains(&call) || member.call(call).is_some() {
            member.ended(local, call);
            node.adopted.remove(&call);
            self.history.push(self.now, What::Told(call, n));
        }
    }

    /// Servers end calls: towards the gatekeeper that took it, and while that has no connection towards any other; the
    /// notice comes again on the owner's next connection.
    fn servers(&mut self) {
        if self.ends_wait {
            return;
        }
        let due: Vec<u64> =
            self.standing.iter().filter(|(_, (_, at))| *at <= self.now).map(|(c, _)| *c).collect();
        for call in due {
            let Some((owner, _)) = self.standing.remove(&call) else { continue };
            self.history.push(self.now, What::Ended(call));
            if self.nodes[owner].member.is_some() {
                self.end_told(owner, call);
                continue;
            }
            self.nodes[owner].pending_ends.push(call);
            let others: Vec<usize> = (0..self.nodes.len()).filter(|n| self.nodes[*n].acts()).collect();
            if !others.is_empty() {
                let to = others[self.rng.gen_range(0..others.len())];
                self.end_told(to, call);
            }
        }
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

    /// A call stands through a gatekeeper, until it is ended.
    pub fn call(&mut self, n: usize) -> Option<u64> {
        let local = self.nodes[n].clock(self.now);
        let node = self.nodes.get_mut(n).filter(|node| node.acts())?;
        let (call, server) = (self.next_call, ServerKey(0));
        self.next_call += 1;
        node.member.as_mut()?.stands(local, call, CallFact { server, class: 1 });
        node.calls.insert(call, server);
        self.standing.insert(call, (n, f64::INFINITY));
        self.history.push(self.now, What::Stood(call, n));
        Some(call)
    }

    /// A server ends a call now.
    pub fn end(&mut self, call: u64) {
        if let Some(ends) = self.standing.get_mut(&call) {
            ends.1 = self.now;
        }
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

    /// What must hold when all is mended and quiet.
    fn check_settled(&self) -> Vec<Broken> {
        let mut broken = Vec::new();
        let members: Vec<(usize, &Member)> =
            self.nodes.iter().enumerate().filter_map(|(n, node)| Some((n, node.member.as_ref()?))).collect();
        for (n, member) in &members {
            for other in members.iter().filter(|(m, _)| m != n) {
                let state = member.view().state(id(other.0));
                if state != State::Alive {
                    let what = format!("g{n} holds g{} to be {}", other.0, state.name());
                    broken.push(Broken("whoever lives and is reached is alive to all", what));
                }
            }
            if !member.ready() {
                broken.push(Broken("nobody waits for ever", format!("g{n} is not ready")));
            }
            let streams = member.store().streams().count();
            if streams > self.plan.members * LIVES {
                broken.push(Broken("what is over leaves no growth", format!("g{n} holds {streams} streams")));
            }
        }
        let held = |m: &Member| -> Vec<(Origin, u64, u64)> {
            m.snapshot().iter().map(|r| (r.origin, r.version, r.hash)).collect()
        };
        if let Some((first, rest)) = members.split_first() {
            for other in rest.iter().filter(|other| held(other.1) != held(first.1)) {
                let (a, b) = (held(first.1), held(other.1));
                let differ: Vec<String> = (a.iter().filter(|x| !b.contains(x)))
                    .chain(b.iter().filter(|x| !a.contains(x)))
                    .map(|(o, version, hash)| format!("{o} {version} {hash:x}"))
                    .collect();
                let what = format!("g{} and g{}: {}", first.0, other.0, differ.join(", "));
                broken.push(Broken("after the healing all copies are equal", what));
            }
        }
        broken.extend(self.check_settled_calls(&members));
        broken
    }

    /// Copies say what the naive model says: what stands is known to all where its owner has lived long enough to tell,
    /// and what is over stands nowhere; one that its owner has left is seen to by one member alone.
    fn check_settled_calls(&self, members: &[(usize, &Member)]) -> Vec<Broken> {
        let mut broken = Vec::new();
        for (n, member) in members {
            for (origin, stream) in member.store().streams() {
                for (call, ..) in Store::calls(stream) {
                    let known = !member.store().over(call);
                    if known && !self.standing.contains_key(&call) {
                        // The server's notice reached nobody who knew of it: it comes on the owner's next connection.
                        let any = |of: &dyn Fn(&What) -> bool| self.history.events.iter().any(|(_, w)| of(w));
                        let told = any(&|w| matches!(w, What::Told(c, _) if *c == call));
                        if told && !any(&|w| *w == What::Unshared(call)) {
                            let what = format!("call {call:x} of {origin} stands for g{n}");
                            broken.push(Broken("an end wins over standing", what));
                        }
                    }
                }
            }
        }
        for call in self.standing.keys() {
            let by: Vec<usize> =
                (0..self.nodes.len()).filter(|n| self.nodes[*n].adopted.contains(call)).collect();
            let own = self.nodes.iter().any(|node| node.calls.contains_key(call));
            if by.len() + usize::from(own) > 1 {
                let what = format!("call {call:x} by {by:?}, its owner {own}");
                broken.push(Broken("a call is seen to by one member alone", what));
            }
            let known = members.iter().filter(|(_, m)| m.store().call(*call).is_some()).count();
            if known > 0 && known < members.len() {
                let what = format!("call {call:x} is known to {known} of {}", members.len());
                broken.push(Broken("what one knows all know", what));
            }
            if known > 0 && by.is_empty() && !own {
                broken.push(Broken(
                    "a call that is known is seen to",
                    format!("call {call:x} is seen to by nobody"),
                ));
            }
        }
        broken
    }
}
