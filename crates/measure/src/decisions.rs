//! What a decision costs: the decision module with a gate against the module without one, on the same calls,
//! turn about in one run. Once the module alone, and once with the core that keeps the life of each call, as a
//! gatekeeper makes its decisions; without sockets and bytes either way.

use std::time::Instant;

use hollypaddle_core::calls::{Calls, Command, Content, Effect, End, Request};
use hollypaddle_crossing::{
    Amount, ClassInfo, Crossing, District, OverdraftSettings, Rate, Rule, Scope, Settings as GateSettings,
};
use hollypaddle_policy::{
    Action, AllowAll, CallId, Cause, ClassSettings, Controller, Event, Gate, GoalWeights, ListKind, Outcome,
    PoolEntry, PoolId, Readiness, Report, Settings,
};

/// Calls of one timed stretch with few servers, and how many stretches are timed. With many servers a decision
/// takes so long that fewer calls make a stretch of the same length.
pub const CALLS: u32 = 2000;
pub const STRETCHES: usize = 101;
const WARM_UP: usize = 10;

fn settings() -> Settings {
    let class = |value| ClassSettings {
        goal_time: 1.5,
        hard_limit: 9.0,
        value,
        late_worth: 0.25,
        pools: Vec::new(),
        repeatable: true,
    };
    Settings {
        gatekeepers: 8,
        min_batch_interval: 0.005,
        classes: vec![class(1.0), class(8.0)],
        tenants: Vec::new(),
        over_share_worth: 1.0,
        goal: GoalWeights::default(),
        mean_holding_time: Some(8.0),
        retransmit_time: 0.4,
        release_time: 0.3,
        try_limit: 6,
        may_cancel: true,
        max_retry_after: Some(2.0),
        warm_up_time: 14.0,
        initial_capacity_ratio: 0.3,
        overload_factor: 3.0,
        must_subscribe: false,
    }
}

/// A gate with so many budgets: one for all, then pairs and classes that mostly concern others, as in a file
/// that a whole fleet shares.
fn gate(rules: usize) -> Crossing {
    let here = |value| Amount { value, whole_fleet: false };
    let districts: Vec<String> = (0..30).map(|n| format!("d{n}")).collect();
    let scope = |n: usize| match n {
        0 => Scope::default(),
        n => Scope {
            pair: Some((District((n % 30) as u16), District((n / 30 + 7) as u16))),
            class: Some(n % 2),
        },
    };
    let rule = |n: usize| Rule {
        scope: scope(n),
        rate: Some(Rate { per_s: here(1e5), burst: here(1e5) }),
        ratio: None,
        standing: Some(here(1e5)),
        overdraft: here(20.0),
        floor: 0.25,
    };
    let class = |name: &str, urgent| ClassInfo { name: name.into(), goal_time_s: 1.5, urgent };
    let settings = GateSettings {
        districts,
        own_district: District(0),
        classes: vec![class("meter-read", false), class("valve-set", true)],
        fleet_share: 0.125,
        overdraft: OverdraftSettings::default(),
        rules: (0..rules).map(rule).collect(),
    };
    Crossing::new(settings, 0.0)
}

/// A module and its time, fed with calls that stand and end.
struct Feed<G> {
    controller: Controller<G>,
    now: f64,
    call: CallId,
    servers: u32,
    out: Vec<Action>,
    /// The core, where it is to be timed too.
    core: Option<Calls>,
    calls: u32,
    /// Whether every first choice is abroad.
    abroad: bool,
}

impl<G: Gate> Feed<G> {
    fn new(gate: G, servers: u32, with_core: bool) -> Self {
        let mut controller = Controller::with_gate(settings(), 1, gate);
        let entry = |n: u32| PoolEntry {
            pool: PoolId(u64::from(n)),
            number: n,
            readiness: Readiness::Ready,
            ready_at: 0.0,
            district: Some((n % 3) as u16),
        };
        let entries = (0..servers).map(entry).collect();
        let mut out = Vec::new();
        controller.handle(100.0, Event::List { kind: ListKind::Cached, entries }, &mut out);
        let core = with_core.then(|| Calls::new(100.0, 1 << 20));
        let calls = CALLS / (1 + servers / 10);
        Feed { controller, now: 100.0, call: 0, servers, out, core, calls, abroad: false }
    }

    fn tell(&mut self, event: Event) {
        self.controller.handle(self.now, event, &mut self.out);
    }

    /// One call from its offer to its end, and the timer when it is due: seconds that it took.
    fn stretch(&mut self) -> f64 {
        let begun = Instant::now();
        for _ in 0..self.calls {
            if let Some(core) = self.core.take() {
                self.core = Some(self.through(core));
                continue;
            }
            self.call += 1;
            self.now += 0.002;
            let (call, class) = (self.call, usize::from(self.call.is_multiple_of(16)));
            let first_choice = if self.abroad { 1 + self.call % 2 } else { self.call % self.servers };
            let dialled = u64::from(call) << 8;
            self.tell(Event::Call { call, class, tenant: 0, time_left: 3.0, dialled, first_choice });
            let mut sent = None;
            let mut timer = None;
            for action in self.out.drain(..) {
                match action {
                    Action::Send { pool, .. } => sent = Some(pool),
                    Action::Timer { token, .. } => timer = Some(token),
                    _ => {}
                }
            }
            if let Some(pool) = sent {
                self.tell(Event::Established { call, pool, delay: 0.02, attempt: 0 });
                let (cause, retry_after, report) = (Cause::Unknown, None, Report::default());
                let (complete, outcome) = (true, Outcome::Done);
                self.tell(Event::Ended {
                    call,
                    pool,
                    attempt: 0,
                    complete,
                    outcome,
                    cause,
                    retry_after,
                    report,
                });
            }
            if let Some(token) = timer {
                self.tell(Event::Timer { token });
            }
            self.out.clear();
        }
        begun.elapsed().as_secs_f64() / f64::from(self.calls)
    }

    /// One call through the core and the module.
    fn through(&mut self, mut core: Calls) -> Calls {
        self.call += 1;
        self.now += 0.002;
        let id = u64::from(self.call) << 8;
        let class = usize::from(self.call.is_multiple_of(16));
        let first_choice = self.call % self.servers;
        let content = Content { number: vec![b'7'; 16], description: Some(vec![0; 64]) };
        let _ = core.offer(self.now, 1, Request { id, class, wait: 3.0, dialled: id, first_choice, content });
        if let Some(pool) = self.settle(&mut core) {
            core.established(self.now, pool, 1, id, Some(vec![0; 64]));
            self.settle(&mut core);
            core.ended(self.now, pool, id, End::with_outcome(Outcome::Done));
            self.settle(&mut core);
        }
        core
    }

    /// Hands events and actions to and fro until there are none; returns where a set-up went.
    fn settle(&mut self, core: &mut Calls) -> Option<PoolId> {
        let (mut sent, mut timers) = (None, Vec::new());
        while !(core.events.is_empty() && core.effects.is_empty()) {
            for effect in core.effects.drain(..) {
                if let Effect::Command { pool, command: Command::SetUp { .. }, .. } = effect {
                    sent = Some(pool);
                }
            }
            for event in std::mem::take(&mut core.events) {
                self.tell(event);
            }
            for action in self.out.drain(..) {
                match action {
                    Action::Send { call, pool, limit } => core.start_attempt(self.now, call, pool, limit),
                    Action::Refuse { call, retry_after } => core.refuse(call, retry_after),
                    Action::Fail { call } => core.fail(call),
                    Action::Timer { token, .. } => timers.push(token),
                    _ => {}
                }
            }
        }
        for token in timers {
            self.tell(Event::Timer { token });
        }
        self.out.clear();
        sent
    }
}

/// A flood: every first choice abroad, a budget that is soon spent.
#[derive(Clone, Copy, Debug)]
pub struct Flood {
    /// Calls offered.
    pub calls: u32,
    /// Microseconds a call in the first and the last twentieth.
    pub first: f64,
    /// The last twentieth.
    pub last: f64,
    /// Kilobytes by which the process grew between the first twentieth and the end.
    pub grown: f64,
}

/// Kilobytes of memory that this process holds.
fn held() -> f64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1).and_then(|n| n.parse::<f64>().ok());
    pages.unwrap_or(f64::NAN) * 4.0
}

/// Measures the flood.
pub fn flood() -> Flood {
    let here = |value| Amount { value, whole_fleet: false };
    let mut crossing = gate(0);
    let mut settings = crossing.settings().clone();
    settings.rules = vec![Rule {
        scope: Scope::default(),
        rate: Some(Rate { per_s: here(40.0), burst: here(4.0) }),
        ratio: Some(hollypaddle_crossing::RatioLimit { max_ratio: 0.3, window_s: 10.0 }),
        standing: Some(here(10.0)),
        overdraft: here(20.0),
        floor: 0.25,
    }];
    crossing.update_settings(settings, 100.0);
    let mut feed = Feed::new(crossing, 3, false);
    // Servers 1 and 2 are abroad, and 0 is at home.
    feed.abroad = true;
    let stretches = 100;
    let mut times = Vec::new();
    let mut before = 0.0;
    for n in 0..stretches {
        times.push(feed.stretch() * 1e6);
        if n == stretches / 20 {
            before = held();
        }
    }
    let median = |part: &[f64]| crate::stats::Spread::of(part).median;
    let twentieth = stretches / 20;
    Flood {
        calls: feed.call,
        first: median(&times[..twentieth]),
        last: median(&times[stretches - twentieth..]),
        grown: held() - before,
    }
}

/// What a call's decisions cost with a gate.
#[derive(Clone, Copy, Debug)]
pub struct Cost {
    /// Servers listed.
    pub servers: u32,
    /// Budgets set.
    pub rules: usize,
    /// Whether the core is in it.
    pub with_core: bool,
    /// Microseconds a call without a gate, and what the gate adds to it: medians of the stretches.
    pub without: f64,
    /// Added microseconds.
    pub added: f64,
    /// The time with the gate over the time without it: the median of the pairs.
    pub ratio: f64,
}

/// Measures one pair, the two turn about.
pub fn cost(servers: u32, rules: usize, with_core: bool) -> Cost {
    let mut open = Feed::new(AllowAll, servers, with_core);
    let mut gated = Feed::new(gate(rules), servers, with_core);
    let mut pairs = Vec::new();
    // The first stretches fill caches and tables.
    for _ in 0..WARM_UP {
        open.stretch();
        gated.stretch();
    }
    for n in 0..STRETCHES {
        // The first of a pair finds the caches as the other left them, so they take turns at that too.
        let (without, with) = if n % 2 == 0 {
            let without = open.stretch();
            (without, gated.stretch())
        } else {
            let with = gated.stretch();
            (open.stretch(), with)
        };
        pairs.push((without, with));
    }
    let median = |of: &dyn Fn(&(f64, f64)) -> f64| {
        let all: Vec<f64> = pairs.iter().map(of).collect();
        crate::stats::Spread::of(&all).median
    };
    Cost {
        servers,
        rules,
        with_core,
        without: median(&|p| p.0) * 1e6,
        added: median(&|p| p.1 - p.0) * 1e6,
        ratio: median(&|p| p.1 / p.0),
    }
}
