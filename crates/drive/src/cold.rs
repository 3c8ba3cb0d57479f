//! Many decision modules that know nothing of each other before a few servers of which some start cold, in skipped time:
//! what counts is what all of them send in sum. Events alone move the time, so that hundreds of runs are cheap.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};

use hollypaddle_policy::{
    Action, CallId, Cause, ClassSettings, Controller, Event, GoalWeights, ListKind, Outcome, PoolEntry,
    PoolId, Readiness, Report, Settings,
};
use rand::Rng;
use rand_chacha::rand_core::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// When the servers start cold, after the fleet has found its usual traffic; how long the run goes on; and how long a way is.
const START: f64 = 25.0;
const AFTER: f64 = 16.0;
const WAY: f64 = 0.015;
/// A full processor turns away beyond this wait.
const MOST_WAIT: f64 = 2.0;
/// Callers try again so often, after so long at least.
const REDIALS: u8 = 2;
const BACKOFF: f64 = 0.8;

/// What happens as servers start cold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Case {
    /// One starts, and all are told.
    Told,
    /// Each front is told 0.5 to 4 s later.
    Late,
    /// Half of the fronts are told at once, the others never.
    Some,
    /// None is told.
    Untold,
    /// Half of the servers start at once.
    Half,
    /// All callers call 1.8 times as often from then on.
    Burst,
    /// Three times as many calls have the cold one as their first choice.
    Shift,
    /// Seven in ten fronts are killed and start again in the next second.
    Restart,
    /// Another server drains, so that its calls look for a place.
    Drain,
    /// The server is new: nobody ever sent it anything.
    New,
}

impl Case {
    /// All of them.
    pub const ALL: [Case; 10] = [
        Case::Told,
        Case::Late,
        Case::Some,
        Case::Untold,
        Case::Half,
        Case::Burst,
        Case::Shift,
        Case::Restart,
        Case::Drain,
        Case::New,
    ];
}

/// A deployment's figures.
#[derive(Clone, Copy, Debug)]
pub struct Figures {
    /// How many fronts and servers, and the calls a second that one server can do when warm.
    pub fronts: usize,
    /// Servers.
    pub servers: u32,
    /// Set-ups a second of one warm server.
    pub capacity: f64,
    /// The part of it that callers ask for before anything happens.
    pub load: f64,
    /// A cold server falls above this many times its present capacity, in this time.
    pub overload_factor: f64,
    /// See `overload_factor`.
    pub tip_after: f64,
    /// Its share of capacity at first, and when it is warm.
    pub cold_from: f64,
    /// See `cold_from`.
    pub cold: f64,
}

/// Two kinds of deployment: three times the capacity in 1 s, and twice in 1.5 s with servers a sixth as large.
pub const KINDS: [(&str, f64, f64, f64, f64); 2] = [
    ("3 times in 1 s, 65 calls/s", 3.0, 1.0, 0.29, 65.0),
    ("2 times in 1.5 s, 11 calls/s", 2.0, 1.5, 0.34, 11.0),
];

impl Figures {
    /// Those of a kind, with so many fronts before four servers at 88% of what they can do.
    pub fn of(kind: (&str, f64, f64, f64, f64), fronts: usize) -> Figures {
        let (_, overload_factor, tip_after, cold_from, capacity) = kind;
        let (servers, load, cold) = (4, 0.88, 14.0);
        Figures { fronts, servers, capacity, load, overload_factor, tip_after, cold_from, cold }
    }
}

/// What a run showed.
#[derive(Clone, Copy, Debug, Default)]
pub struct Shown {
    /// The most that was sent to a cold server in a window, as set-ups beyond what the settings allow then, in roots of that;
    /// and the same beyond the bound of two roots and two.
    pub most_roots: f64,
    /// See `most_roots`: above 0 the server falls.
    pub beyond: f64,
    /// A fall of which over two thirds came from fronts that had been told.
    pub broken: bool,
    /// What the cold servers were sent until warm, as a part of what they could do.
    pub used: f64,
    /// Calls that stood within their goal time, as a part of those offered since the start.
    pub served: f64,
}

#[derive(Clone, Copy, PartialEq)]
enum Kind {
    Arrival,
    Redial(u32, u8, f64),
    Timer(u32),
    Reached(CallId, usize),
    Answered(CallId, usize, u8),
    Refused(CallId, usize, u8),
    Told(usize),
    Kill,
    Start,
}

struct At(f64, u64, usize, u32, Kind);

impl PartialEq for At {
    fn eq(&self, other: &Self) -> bool {
        self.1 == other.1
    }
}
impl Eq for At {}
impl PartialOrd for At {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for At {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.0.total_cmp(&other.0).then(self.1.cmp(&other.1))
    }
}

struct Call {
    first_choice: u32,
    redials: u8,
    offered: f64,
    sent: f64,
    attempts: u8,
    out: Option<usize>,
}

struct Front {
    controller: Controller,
    life: u32,
    up: bool,
    next: CallId,
    calls: BTreeMap<CallId, Call>,
    told: Vec<bool>,
}

#[derive(Default)]
struct Server {
    started: Option<f64>,
    listed: bool,
    draining: bool,
    busy_until: f64,
    /// Set-ups that reached it since its start, and whether their front had been told.
    seen: VecDeque<(f64, bool)>,
}

struct World {
    figures: Figures,
    rng: ChaCha8Rng,
    now: f64,
    order: u64,
    queue: BinaryHeap<Reverse<At>>,
    fronts: Vec<Front>,
    servers: Vec<Server>,
    burst: f64,
    favoured: Option<(u32, f64)>,
    shown: Shown,
    offered: u64,
    stood: u64,
    reached: f64,
}

fn settings(figures: &Figures) -> Settings {
    let class = ClassSettings {
        goal_time: 1.5,
        hard_limit: 9.0,
        value: 1.0,
        late_worth: 0.1,
        pools: Vec::new(),
        repeatable: true,
    };
    Settings {
        gatekeepers: figures.fronts as u32,
        min_batch_interval: 0.005,
        classes: vec![class],
        tenants: Vec::new(),
        over_share_worth: 1.0,
        goal: GoalWeights { whole: 0.7, worst_window: 0.3, worst_class: 0.0, worst_tenant: 0.0 },
        mean_holding_time: Some(9.0),
        retransmit_time: 0.0,
        release_time: 0.35,
        try_limit: 5,
        may_cancel: true,
        max_retry_after: Some(2.0),
        warm_up_time: figures.cold,
        initial_capacity_ratio: figures.cold_from,
        overload_factor: figures.overload_factor,
        must_subscribe: false,
    }
}

/// Plays one run.
pub fn play(figures: Figures, case: Case, seed: u64) -> Shown {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let fronts = (0..figures.fronts).map(|_| Front {
        controller: Controller::new(settings(&figures), rng.gen()),
        life: 0,
        up: true,
        next: 0,
        calls: BTreeMap::new(),
        told: vec![false; figures.servers as usize + 1],
    });
    let fronts = fronts.collect();
    let servers = (0..=figures.servers).map(|n| Server { listed: n < figures.servers, ..Server::default() });
    let mut w = World {
        figures,
        rng,
        now: 1.0,
        order: 0,
        queue: BinaryHeap::new(),
        fronts,
        servers: servers.collect(),
        burst: 1.0,
        favoured: None,
        shown: Shown { most_roots: f64::NEG_INFINITY, beyond: f64::NEG_INFINITY, ..Shown::default() },
        offered: 0,
        stood: 0,
        reached: 0.0,
    };
    for front in 0..figures.fronts {
        w.list(front, ListKind::Cached);
        w.arrive(front);
    }
    w.run(START);
    w.strike(case);
    w.run(START + AFTER);
    w.finish()
}

impl World {
    fn push(&mut self, after: f64, front: usize, kind: Kind) {
        self.order += 1;
        let life = self.fronts[front].life;
        self.queue.push(Reverse(At(self.now + after, self.order, front, life, kind)));
    }

    fn run(&mut self, until: f64) {
        while self.queue.peek().is_some_and(|next| next.0 .0 <= until) {
            let Some(Reverse(At(at, _, front, life, kind))) = self.queue.pop() else { return };
            self.now = at;
            let lasting =
                matches!(kind, Kind::Arrival | Kind::Redial(..) | Kind::Told(_) | Kind::Kill | Kind::Start);
            if lasting || life == self.fronts[front].life {
                self.happen(front, kind);
            }
        }
        self.now = until;
    }

    /// What the settings allow a server to be sent in one window that begins then.
    fn allowed(&self, server: usize, at: f64) -> f64 {
        let f = &self.figures;
        f.overload_factor * f.tip_after * f.capacity * self.warm(server, at)
    }

    fn warm(&self, server: usize, at: f64) -> f64 {
        let age = self.servers[server].started.map_or(f64::INFINITY, |s| at - s).max(0.0);
        (self.figures.cold_from + (1.0 - self.figures.cold_from) * age / self.figures.cold).min(1.0)
    }

    fn strike(&mut self, case: Case) {
        let all = self.figures.servers as usize;
        let cold: Vec<usize> = match case {
            Case::Half => (0..all / 2).collect(),
            Case::New => vec![all],
            _ => vec![0],
        };
        for &server in &cold {
            self.servers[server] = Server { started: Some(self.now), listed: true, ..Server::default() };
            for front in 0..self.fronts.len() {
                let lost: Vec<(CallId, u8)> = (self.fronts[front].calls.iter_mut())
                    .filter(|(_, c)| c.out == Some(server))
                    .map(|(id, c)| {
                        c.out = None;
                        (*id, c.attempts - 1)
                    })
                    .collect();
                for (call, attempt) in lost {
                    self.ended(front, call, server, attempt, Outcome::Reset, Cause::Unknown);
                }
            }
        }
        match case {
            Case::Burst => self.burst = 1.8,
            Case::Shift => self.favoured = Some((0, 3.0)),
            Case::Drain => {
                self.servers[1].draining = true;
                (0..self.fronts.len()).for_each(|front| self.list(front, ListKind::Full));
            }
            _ => {}
        }
        for front in 0..self.fronts.len() {
            let after = match case {
                Case::Late => self.rng.gen_range(0.5..4.0),
                Case::Untold => f64::INFINITY,
                Case::Some if front % 2 == 1 => f64::INFINITY,
                _ => self.rng.gen_range(0.0..0.2),
            };
            for &server in &cold {
                if after.is_finite() {
                    self.push(after, front, Kind::Told(server));
                }
            }
            if case == Case::Restart && self.rng.gen_bool(0.7) {
                let (down, up) = (self.rng.gen_range(0.0..0.1), self.rng.gen_range(0.4..1.0));
                self.push(down, front, Kind::Kill);
                self.push(up, front, Kind::Start);
            }
        }
        (self.offered, self.stood) = (0, 0);
    }

    fn finish(mut self) -> Shown {
        let could: f64 = (0..self.servers.len())
            .filter(|s| self.servers[*s].started.is_some())
            .map(|s| {
                let steps = (AFTER / 0.1) as usize;
                (0..steps)
                    .map(|n| 0.1 * self.figures.capacity * self.warm(s, START + 0.1 * n as f64))
                    .sum::<f64>()
            })
            .sum();
        self.shown.used = self.reached / could.max(1e-9);
        self.shown.served = self.stood as f64 / self.offered.max(1) as f64;
        self.shown
    }

    /// Every front calls on its own: the next call of this one.
    fn arrive(&mut self, front: usize) {
        let f = &self.figures;
        let rate = f.load * f.capacity * f64::from(f.servers) / f.fronts as f64 * self.burst;
        let after = -(1.0 - self.rng.gen::<f64>()).ln() / rate;
        self.push(after, front, Kind::Arrival);
    }

    fn list(&mut self, front: usize, kind: ListKind) {
        let entries = (self.servers.iter().enumerate().filter(|(_, s)| s.listed))
            .filter(|(n, _)| *n < self.figures.servers as usize || self.fronts[front].told[*n])
            .map(|(n, s)| PoolEntry {
                pool: PoolId(n as u64),
                number: n as u32,
                readiness: if s.draining { Readiness::Draining } else { Readiness::Ready },
                ready_at: s.started.filter(|_| self.fronts[front].told[n]).unwrap_or(0.0),
                district: None,
            })
            .collect();
        self.tell(front, Event::List { kind, entries });
    }

    fn call(&mut self, front: usize, first_choice: u32, redials: u8, offered: f64) {
        if !self.fronts[front].up {
            return self.push(BACKOFF, front, Kind::Redial(first_choice, redials, offered));
        }
        let f = &mut self.fronts[front];
        f.next += 1;
        let (id, call) = (f.next, Call { first_choice, redials, offered, sent: 0.0, attempts: 0, out: None });
        f.calls.insert(id, call);
        let event = Event::Call { call: id, class: 0, tenant: 0, time_left: 3.0, dialled: 0, first_choice };
        self.tell(front, event);
    }

    fn happen(&mut self, front: usize, kind: Kind) {
        match kind {
            Kind::Arrival => {
                self.arrive(front);
                let favoured = self.favoured.filter(|(_, times)| self.rng.gen_bool(1.0 - 1.0 / times));
                let usual = self.rng.gen_range(0..self.figures.servers);
                self.offered += 1;
                self.call(front, favoured.map_or(usual, |f| f.0), 0, self.now);
            }
            Kind::Redial(choice, redials, offered) => self.call(front, choice, redials, offered),
            Kind::Timer(token) => self.tell(front, Event::Timer { token }),
            Kind::Reached(call, server) => self.reached(front, call, server),
            Kind::Answered(call, server, attempt) => {
                let Some(c) = self.fronts[front].calls.get(&call) else { return };
                if c.out == Some(server) && c.attempts == attempt + 1 {
                    let lag = self.now - c.sent;
                    self.stood += u64::from(self.now - c.offered <= 1.5);
                    self.fronts[front].calls.remove(&call);
                    self.tell(
                        front,
                        Event::Established { call, pool: PoolId(server as u64), delay: lag, attempt },
                    );
                }
            }
            Kind::Refused(call, server, attempt) => {
                let Some(c) = self.fronts[front].calls.get_mut(&call) else { return };
                if c.out == Some(server) && c.attempts == attempt + 1 {
                    c.out = None;
                    self.ended(front, call, server, attempt, Outcome::Full, Cause::ProcessorFull);
                }
            }
            Kind::Told(server) => {
                self.fronts[front].told[server] = true;
                if self.fronts[front].up {
                    self.list(front, ListKind::Full);
                }
            }
            Kind::Kill => {
                let f = &mut self.fronts[front];
                (f.up, f.life) = (false, f.life + 1);
                let open: Vec<Call> = std::mem::take(&mut f.calls).into_values().collect();
                for call in open {
                    self.redial(front, call, BACKOFF);
                }
            }
            Kind::Start => {
                let controller = Controller::new(settings(&self.figures), self.rng.gen());
                let f = &mut self.fronts[front];
                (f.controller, f.up) = (controller, true);
                f.told.iter_mut().for_each(|t| *t = true);
                self.list(front, ListKind::Cached);
            }
        }
    }

    /// A set-up reaches its server: it counts, and waits its turn there.
    fn reached(&mut self, front: usize, call: CallId, server: usize) {
        let Some(attempt) = self.fronts[front].calls.get(&call).map(|c| c.attempts - 1) else { return };
        let (told, now) = (self.fronts[front].told[server], self.now);
        if let Some(started) = self.servers[server].started.filter(|s| now - s < self.figures.cold) {
            let window = self.figures.tip_after;
            let s = &mut self.servers[server];
            s.seen.push_back((now, told));
            while s.seen.front().is_some_and(|(at, _)| *at <= now - window) {
                s.seen.pop_front();
            }
            let (sum, told) = (s.seen.len() as f64, s.seen.iter().filter(|(_, told)| *told).count() as f64);
            let allowed = self.allowed(server, (now - window).max(started));
            let beyond = sum - (allowed + 2.0 * allowed.sqrt() + 2.0);
            self.shown.most_roots = self.shown.most_roots.max((sum - allowed) / allowed.sqrt());
            self.shown.beyond = self.shown.beyond.max(beyond);
            self.shown.broken |= beyond > 0.0 && told > sum * 2.0 / 3.0;
            self.reached += 1.0;
        }
        let wait = (self.servers[server].busy_until - now).max(0.0);
        if wait > MOST_WAIT {
            return self.push(WAY, front, Kind::Refused(call, server, attempt));
        }
        let rate = self.figures.capacity * self.warm(server, now);
        self.servers[server].busy_until = now + wait + 1.0 / rate;
        self.push(WAY + wait + 1.0 / rate, front, Kind::Answered(call, server, attempt));
    }

    fn ended(
        &mut self,
        front: usize,
        call: CallId,
        server: usize,
        attempt: u8,
        outcome: Outcome,
        cause: Cause,
    ) {
        let (pool, report) = (PoolId(server as u64), Report::default());
        let event =
            Event::Ended { call, pool, attempt, complete: false, outcome, cause, retry_after: None, report };
        self.tell(front, event);
    }

    fn redial(&mut self, front: usize, call: Call, after: f64) {
        if call.redials < REDIALS {
            let after = after.max(BACKOFF) * self.rng.gen_range(0.8..1.3);
            self.push(after, front, Kind::Redial(call.first_choice, call.redials + 1, call.offered));
        }
    }

    fn tell(&mut self, front: usize, event: Event) {
        let (mut events, mut actions) = (VecDeque::from([event]), Vec::new());
        while let Some(event) = events.pop_front() {
            let now = self.now;
            self.fronts[front].controller.handle(now, event, &mut actions);
            for action in std::mem::take(&mut actions) {
                match action {
                    Action::Send { call, pool, .. } => {
                        let server = pool.0 as usize;
                        if let Some(c) = self.fronts[front].calls.get_mut(&call) {
                            (c.sent, c.out) = (now, Some(server));
                            c.attempts += 1;
                            self.push(WAY, front, Kind::Reached(call, server));
                        }
                    }
                    Action::Refuse { call, retry_after } => {
                        if let Some(call) = self.fronts[front].calls.remove(&call) {
                            self.redial(front, call, retry_after);
                        }
                    }
                    Action::Fail { call } => {
                        if let Some(call) = self.fronts[front].calls.remove(&call) {
                            self.redial(front, call, BACKOFF);
                        }
                    }
                    Action::Cancel { call, attempt } => {
                        let Some(c) = self.fronts[front].calls.get_mut(&call) else { continue };
                        if let (Some(server), true) = (c.out, c.attempts == attempt + 1) {
                            c.out = None;
                            events.push_back(Event::Ended {
                                call,
                                pool: PoolId(server as u64),
                                attempt,
                                complete: false,
                                outcome: Outcome::Cancelled,
                                cause: Cause::Unknown,
                                retry_after: None,
                                report: Report::default(),
                            });
                        }
                    }
                    Action::Timer { at, token } => self.push((at - now).max(0.0), front, Kind::Timer(token)),
                    Action::Log(_) | Action::Subscribe => {}
                }
            }
        }
    }
}
