//! Members with duties in skipped time: clocks an hour off and up to 1% apart in pace, ways that cut, delay and lose, kills,
//! pauses, restarts. What is checked is who acted when, by the world's own clock.
use std::collections::{BTreeMap, VecDeque};

use hollypaddle_duties::placement::Candidate;
use hollypaddle_duties::{Duties, Duty, DutyKey, Epoch, Fence, Message, Progress, Scope, Settings};
use hollypaddle_membership::MemberId;
use rand::Rng;
use rand_chacha::rand_core::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::clock::{Clock, MOST_DRIFT};
use crate::impairment::Impairment;

/// A step, in seconds.
pub const STEP: f64 = 0.01;

/// A fault put in on purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Planted {
    /// A member that starts grants at once, though it knows nothing of what it granted before.
    NoQuarantine,
    /// Clocks differ far more in pace than the terms allow for.
    FastClocks,
    /// Each member counts a majority among fewer members than there are.
    SmallMajority,
    /// Orders are carried out whatever their epoch.
    NoFence,
}

/// What is played.
#[derive(Clone)]
pub struct Plan {
    /// Members.
    pub members: usize,
    /// Exclusive duties.
    pub duties: usize,
    /// What a way takes, in seconds.
    pub delay: f64,
    /// Chance that a word is lost.
    pub loss: f64,
    /// A fault put in on purpose.
    pub planted: Option<Planted>,
    /// The members' figures.
    pub settings: Settings,
}

impl Plan {
    /// So many members with one duty.
    pub fn of(members: usize) -> Plan {
        let settings = Settings::default();
        Plan { members, duties: 1, delay: 0.004, loss: 0.0, planted: None, settings }
    }
}

#[derive(Clone)]
struct Node {
    duties: Option<Duties>,
    paused: bool,
    clock: Clock,
    lives: u64,
    /// Looked at its lease, and is about to act: the order is on its way out of it, through a pause too.
    about: Vec<(DutyKey, Epoch, f64)>,
    /// Works on what it holds, or is stuck with it.
    stuck: bool,
    mark: u64,
}

/// One direction between two members: what is on its way and when it comes.
#[derive(Clone, Default)]
struct Way {
    items: VecDeque<(f64, Message)>,
    impairment: Impairment,
}

/// An order that was carried out: when, of which duty, by whom, under which epoch.
pub type Done = (f64, DutyKey, usize, Epoch);

/// All of it.
#[derive(Clone)]
pub struct World {
    /// What is played.
    pub plan: Plan,
    /// The time.
    pub now: f64,
    rng: ChaCha8Rng,
    nodes: Vec<Node>,
    ways: BTreeMap<(usize, usize), Way>,
    fence: Fence,
    /// Orders that were carried out.
    pub done: Vec<Done>,
    /// Orders that the fence refused.
    pub refused: u64,
    /// What did not hold.
    pub broken: Vec<String>,
    /// Since when a duty has had no holder, and the gaps that there were.
    free: BTreeMap<DutyKey, f64>,
    /// How long a duty was held by nobody: which, from when, to when.
    pub gaps: Vec<(DutyKey, f64, f64)>,
    /// Words said.
    pub words: u64,
}

/// The id of a member.
pub fn id(n: usize) -> MemberId {
    MemberId::of(&format!("g{n}"))
}

/// A duty by number.
pub fn duty(n: usize) -> Duty {
    Duty::exclusive(&format!("duty {n}"), Scope::Fleet)
}

impl World {
    /// All members start at once.
    pub fn new(plan: Plan, seed: u64) -> World {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let most_drift = if plan.planted == Some(Planted::FastClocks) { 0.4 } else { MOST_DRIFT };
        let node = |rng: &mut ChaCha8Rng| Node {
            duties: None,
            paused: false,
            clock: Clock::random(rng, most_drift),
            lives: 0,
            about: Vec::new(),
            stuck: false,
            mark: 0,
        };
        let nodes = (0..plan.members).map(|_| node(&mut rng)).collect();
        let pairs = (0..plan.members).flat_map(|a| (0..plan.members).map(move |b| (a, b)));
        let ways = pairs.filter(|(a, b)| a != b).map(|pair| (pair, Way::default())).collect();
        let mut world = World {
            plan,
            now: 0.0,
            rng,
            nodes,
            ways,
            fence: Fence::default(),
            done: Vec::new(),
            refused: 0,
            broken: Vec::new(),
            free: BTreeMap::new(),
            gaps: Vec::new(),
            words: 0,
        };
        (0..world.plan.members).for_each(|n| world.start(n));
        world
    }

    fn clock(&self, n: usize) -> f64 {
        self.nodes[n].clock.local(self.now)
    }

    /// Starts one that is down, with nothing of its earlier life.
    pub fn start(&mut self, n: usize) {
        if self.nodes[n].duties.is_some() {
            return;
        }
        let local = self.clock(n);
        let plan = &self.plan;
        let from = match plan.planted {
            Some(Planted::NoQuarantine) => local - plan.settings.grant_duration(),
            _ => local,
        };
        let members: Vec<MemberId> = match plan.planted {
            Some(Planted::SmallMajority) => {
                (0..plan.members).filter(|m| m % 2 == n % 2 || *m == n).map(id).collect()
            }
            _ => (0..plan.members).map(id).collect(),
        };
        self.nodes[n].lives += 1;
        // Its clock may be an hour behind what it was in its last life.
        let back = if self.nodes[n].lives % 3 == 2 { 3600.0 } else { 0.0 };
        let life = self.nodes[n].clock.life(self.now, back, self.rng.gen());
        let mut duties = Duties::new(from, id(n), life, plan.settings, &members);
        duties.set_duties(local, (0..plan.duties).map(duty));
        self.nodes[n].duties = Some(duties);
        (self.nodes[n].paused, self.nodes[n].stuck) = (false, false);
    }

    /// Ends one, and its connections with it.
    pub fn kill(&mut self, n: usize) {
        self.nodes[n].duties = None;
        self.nodes[n].about.clear();
        // Its connections end with it, and what was on them.
        for ((a, b), way) in &mut self.ways {
            if *a == n || *b == n {
                way.items.clear();
            }
        }
        for m in 0..self.nodes.len() {
            if let Some(duties) = &mut self.nodes[m].duties {
                duties.link_down(id(n));
            }
        }
    }

    /// Stops one, or lets it go on.
    pub fn pause(&mut self, n: usize, paused: bool) {
        self.nodes[n].paused = paused;
    }

    /// Its work stands still, or goes on.
    pub fn stick(&mut self, n: usize, stuck: bool) {
        self.nodes[n].stuck = stuck;
    }

    /// Cuts one way, or opens it.
    pub fn cut(&mut self, a: usize, b: usize, cut: bool) {
        if let Some(way) = self.ways.get_mut(&(a, b)) {
            way.impairment.cut = cut;
        }
    }

    /// Makes one way slower.
    pub fn slow(&mut self, a: usize, b: usize, delay: f64) {
        if let Some(way) = self.ways.get_mut(&(a, b)) {
            way.impairment.delay_s = delay;
        }
    }

    /// Cuts both ways between any of some and any of others.
    pub fn split(&mut self, some: &[usize], others: &[usize]) {
        for (a, b) in some.iter().flat_map(|a| others.iter().map(move |b| (*a, *b))) {
            self.cut(a, b, true);
            self.cut(b, a, true);
        }
    }

    /// Mends all.
    pub fn heal(&mut self) {
        self.ways.values_mut().for_each(|way| way.impairment = Impairment::default());
        for n in 0..self.nodes.len() {
            self.start(n);
            (self.nodes[n].paused, self.nodes[n].stuck) = (false, false);
        }
    }

    /// Whether one is up and awake.
    pub fn acts(&self, n: usize) -> bool {
        self.nodes[n].duties.is_some() && !self.nodes[n].paused
    }

    /// Whether one is up.
    pub fn is_up(&self, n: usize) -> bool {
        self.nodes[n].duties.is_some()
    }

    /// What is held and granted at each, for a model checker.
    pub fn state<H: std::hash::Hasher>(&self, state: &mut H) {
        use std::hash::Hash;
        for n in 0..self.nodes.len() {
            let local = self.clock(n);
            let Some(duties) = &self.nodes[n].duties else {
                state.write_u8(0);
                continue;
            };
            self.nodes[n].paused.hash(state);
            for row in duties.snapshot(local) {
                (row.holder, row.own_epoch, row.unheld_for.is_some()).hash(state);
            }
        }
        ((self.now / 0.1) as u64).hash(state);
    }

    /// A member's duties, and the time by its clock.
    pub fn duties(&mut self, n: usize) -> Option<(&mut Duties, f64)> {
        let local = self.clock(n);
        Some((self.nodes[n].duties.as_mut()?, local))
    }

    /// Who may act now, of those that are up and awake.
    pub fn holders(&self, key: DutyKey) -> Vec<usize> {
        let may = |n: &usize| {
            let local = self.clock(*n);
            self.acts(*n) && self.nodes[*n].duties.as_ref().is_some_and(|d| d.may_act(local, key).is_some())
        };
        (0..self.nodes.len()).filter(may).collect()
    }

    /// Lets time pass.
    pub fn pass(&mut self, seconds: f64) {
        (0..(seconds / STEP).round() as usize).for_each(|_| self.step());
    }

    /// One step of everything.
    pub fn step(&mut self) {
        self.now += STEP;
        for n in 0..self.nodes.len() {
            if self.acts(n) {
                self.turn(n);
            }
        }
        for n in 0..self.plan.duties {
            let key = duty(n).key();
            let holders = self.holders(key);
            if holders.len() > 1 {
                self.broken.push(format!("at {:.2} duty {n} is held by {holders:?}", self.now));
            }
            match (holders.is_empty(), self.free.get(&key).copied()) {
                (true, None) => drop(self.free.insert(key, self.now)),
                (false, Some(since)) => {
                    self.free.remove(&key);
                    self.gaps.push((key, since, self.now));
                }
                _ => {}
            }
        }
    }

    fn turn(&mut self, n: usize) {
        let local = self.clock(n);
        // Orders that left its last look before now take effect, the fence permitting.
        for (key, epoch, _) in std::mem::take(&mut self.nodes[n].about) {
            let passed = self.fence.check(key, epoch).is_ok() || self.plan.planted == Some(Planted::NoFence);
            self.refused += u64::from(!passed);
            if passed {
                if self.done.iter().any(|(_, k, _, e)| *k == key && *e > epoch) {
                    self.broken.push(format!("at {:.2} g{n} acts under {epoch}, which is over", self.now));
                }
                self.done.push((self.now, key, n, epoch));
            }
        }
        let candidates: Vec<Candidate> =
            (0..self.nodes.len()).map(|m| Candidate { member: id(m), weight: 1.0 }).collect();
        let (mark, stuck) = (self.nodes[n].mark, self.nodes[n].stuck);
        let count = self.plan.duties;
        let Some(duties) = &mut self.nodes[n].duties else { return };
        for k in 0..count {
            duties.set_progress(duty(k).key(), Progress { mark, busy: true });
        }
        duties.tick(local, &candidates);
        for m in (0..self.nodes.len()).filter(|m| *m != n) {
            let Some(way) = self.ways.get_mut(&(m, n)).filter(|way| !way.impairment.cut) else { continue };
            let now = self.now;
            while let Some((_, word)) = way.items.pop_front_if(|(at, _)| *at <= now) {
                if let Some(duties) = &mut self.nodes[n].duties {
                    duties.receive(local, id(m), &word);
                }
            }
        }
        if !stuck {
            self.nodes[n].mark += 1;
        }
        let Some(duties) = &mut self.nodes[n].duties else { return };
        let acting: Vec<(DutyKey, Epoch)> =
            (0..count).filter_map(|k| Some((duty(k).key(), duties.may_act(local, duty(k).key())?))).collect();
        let _ = duties.take_events();
        for m in (0..self.nodes.len()).filter(|m| *m != n) {
            while let Some(word) = self.nodes[n].duties.as_mut().and_then(|d| d.next_message(id(m))) {
                self.words += 1;
                if self.plan.loss > 0.0 && self.rng.gen_bool(self.plan.loss) {
                    continue;
                }
                let Some(way) = self.ways.get_mut(&(n, m)) else { continue };
                let at = self.now + self.plan.delay + way.impairment.delay_s;
                let at = way.items.back().map_or(at, |(last, _)| at.max(*last));
                way.items.push_back((at, word));
            }
        }
        if self.rng.gen_bool(0.2) {
            self.nodes[n].about.extend(acting.into_iter().map(|(key, epoch)| (key, epoch, self.now)));
        }
    }

    /// A random fault.
    pub fn fault(&mut self, rng: &mut ChaCha8Rng) {
        let count = self.nodes.len();
        let (a, b) = (rng.gen_range(0..count), rng.gen_range(0..count));
        match rng.gen_range(0..10) {
            0 => self.kill(a),
            1 => {
                self.kill(a);
                self.start(a);
            }
            2 | 3 => self.pause(a, true),
            4 => self.pause(a, false),
            5 => self.cut(a, b, true),
            6 => {
                let some: Vec<usize> = (0..count).filter(|_| rng.gen()).collect();
                let others: Vec<usize> = (0..count).filter(|n| !some.contains(n)).collect();
                self.split(&some, &others);
            }
            7 => self.slow(a, b, rng.gen_range(0.0..3.0)),
            8 => self.start(a),
            _ => {
                if let Some((duties, local)) = self.duties(a) {
                    duties.hand_over(local, duty(0).key(), Some(id(b)));
                }
            }
        }
    }
}
