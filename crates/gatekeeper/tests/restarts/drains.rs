//! Drains of several gatekeepers, in series and side by side, each drawn from a seed, while callers go on using open
//! connections. `SEED=n DRAINS=1` plays one again, `DRAINS=n` plays more; `SIDE_BY_SIDE=n` plays so many at once. With
//! `PROGRAM_LOG=debug` the gatekeepers' logs are written into the target folder's `tmp`, with seconds of the run.

mod control;
mod plan;

use std::net::SocketAddr;
use std::path::Path;
use std::time::Instant;

use hollypaddle_standin::free_addresses;
use hollypaddle_standin::program::{unix_time, Program, LOG_LEVEL};
use hollypaddle_standin::resolver::Resolver;
use rand_chacha::rand_core::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::callers::Callers;
use crate::checks::{judge, Broken, KILL_AFTER, SLACK, TERM};
use crate::history::{Drain, History};
use crate::plan::{Load, Service, Signal};
use crate::servers::Servers;
use crate::{config, from_environment, send_signal, FULL_RATE, PAUSE, PROGRAM, RATE_AFTER, TURN};
use plan::{DrainPlan, Use, Wave};

/// Seeds where the environment names no others, and how many run side by side.
const SEED: u64 = 1;
const RUNS: u64 = 6;
const SIDE_BY_SIDE: u64 = 3;
/// The front sends new connections for so long after its no, in seconds, and asks so often whether a gatekeeper is ready.
const CONNECTS_AFTER_NO: f64 = 0.2;
const FRONT_ASKS_EVERY: f64 = 0.1;
/// After SIGTERM new connections come for so long, in seconds; one gatekeeper is told to end so long after another.
const CONNECTS_AFTER_TERM: f64 = 0.3;
const BETWEEN_TERMS: f64 = 0.1;
/// Ids of the calls of one gatekeeper.
const IDS_PER_NODE: u64 = 1_000_000;

/// One gatekeeper with its callers.
struct Node {
    program: Program,
    name: String,
    control: SocketAddr,
    callers: Callers,
    history: History,
    /// While it is drained: since when, and how its callers go on.
    drained: Option<(f64, Use)>,
    /// The front takes it for ready.
    ready: bool,
    front_asks_at: f64,
    paused_until: Option<f64>,
    termed: bool,
}

impl Node {
    /// What its callers do now: the part of the rate, and whether they connect.
    fn load(&self, now: f64) -> (f64, bool) {
        let since_term = now - self.history.term;
        match self.drained {
            Some((since, usage)) => (usage.part(now - since), now - since <= CONNECTS_AFTER_NO),
            None if self.termed && since_term > CONNECTS_AFTER_TERM + FULL_RATE => (RATE_AFTER, false),
            None if self.termed => (1.0, since_term <= CONNECTS_AFTER_TERM),
            None => (1.0, self.ready),
        }
    }

    fn is_over(&self) -> bool {
        self.history.exit.is_some()
    }

    /// Drains it, or ends its drain. One that is paused goes on first: nobody would see to it while the answer is waited for.
    fn lameduck(&mut self, on: bool, usage: Use, clock: &Instant) {
        if self.is_over() || self.termed {
            return;
        }
        self.go_on();
        let path = if on { "/_lameduck/on" } else { "/_lameduck/off" };
        let said_yes = control::ask(self.control, "POST", path) == Some(true);
        let now = clock.elapsed().as_secs_f64();
        assert!(said_yes, "{} does not take {path} at {now:.3}", self.name);
        if on {
            self.history.drains.push(Drain { on: now, ..Drain::default() });
            self.drained = Some((now, usage));
        } else {
            self.drained = None;
            self.history.drains.last_mut().unwrap().off = Some(now);
        }
        self.ready = false;
    }

    /// Ends its pause.
    fn go_on(&mut self) {
        if self.paused_until.take().is_some() {
            self.history.paused += PAUSE;
            self.program.signal("-CONT").unwrap();
        }
    }

    /// The front asks whether it is ready.
    fn ask_ready(&mut self, now: f64) {
        if self.is_over() || self.termed || self.paused_until.is_some() || now < self.front_asks_at {
            return;
        }
        self.front_asks_at = now + FRONT_ASKS_EVERY;
        if self.ready && self.drained.is_none() {
            return self.callers.connect(now);
        }
        if control::ask(self.control, "GET", "/_ready") != Some(true) {
            return;
        }
        let drain = self.history.drains.last_mut();
        if self.drained.is_some() {
            drain.unwrap().said_yes = Some(now);
        } else {
            self.ready = true;
            drain.map(|drain| drain.ready.get_or_insert(now));
        }
    }

    /// Notes which connections are open at the term of its drain.
    fn look_at_term(&mut self, now: f64) {
        let (over, held) = (self.is_over(), self.callers.held(now));
        let Some(drain) = self.history.drains.last_mut() else { return };
        let due = drain.on + TERM + SLACK;
        if now >= due && drain.term.is_none() && drain.off.is_none() && !over {
            drain.term = Some((now, held));
        }
    }
}

/// One run as it is played.
struct Run {
    plan: DrainPlan,
    begun: Instant,
    begun_unix: f64,
    seed: u64,
    rng: ChaCha8Rng,
    servers: Servers,
    resolver: Resolver,
    config: String,
    folder: tempfile::TempDir,
    nodes: Vec<Node>,
}

impl Run {
    fn new(plan: DrainPlan, seed: u64) -> Run {
        let servers = Servers::open(&plan.servers);
        let resolver = Resolver::open().unwrap();
        let config = config(plan.deadline, &servers, &resolver);
        let mut run = Run {
            begun: Instant::now(),
            begun_unix: 0.0,
            seed,
            rng: ChaCha8Rng::seed_from_u64(!seed),
            servers,
            resolver,
            config,
            folder: tempfile::tempdir().unwrap(),
            nodes: Vec::new(),
            plan,
        };
        run.nodes = (0..run.plan.nodes).map(|n| run.start(n)).collect();
        (run.begun, run.begun_unix) = (Instant::now(), unix_time());
        run
    }

    fn start(&self, n: usize) -> Node {
        let addresses = free_addresses(2).unwrap();
        let (listen, control) = (addresses[0].to_string(), addresses[1].to_string());
        let name = format!("n{n}");
        let environment = [("PROXY_LISTEN", listen.as_str()), ("PROXY_CONTROL", control.as_str())];
        let program = Path::new(PROGRAM);
        let mut program =
            Program::start_in(program, self.folder.path(), &name, &self.config, "", &environment).unwrap();
        program.serving().unwrap();
        let (plan, first_id) = (&self.plan, 1 + n as u64 * IDS_PER_NODE);
        let (rate, deadline, kept) = (plan.rate, plan.deadline, plan.kept);
        let load = Load { rate, deadline, kept, pools: plan.servers.len() as u32, first_id };
        Node {
            program,
            name,
            control: addresses[1],
            callers: Callers::new(addresses[0], load),
            // Told to end only later.
            history: History { deadline, term: f64::INFINITY, ..History::default() },
            drained: None,
            ready: true,
            front_asks_at: 0.0,
            paused_until: None,
            termed: false,
        }
    }

    /// Plays the run to its end: what was seen of each gatekeeper.
    fn play(mut self) -> Vec<History> {
        let mut waves: Vec<Wave> = self.plan.waves.clone();
        let mut ends: Vec<Wave> = Vec::new();
        let mut signals = self.plan.signals.clone();
        let mut crowd = self.plan.crowd;
        while self.nodes.iter().any(|node| !node.is_over()) {
            let now = self.begun.elapsed().as_secs_f64();
            if now > self.plan.term_at + 1.0 + self.plan.deadline.max(3.0) + KILL_AFTER {
                break;
            }
            if waves.first().is_some_and(|wave| now >= wave.on) {
                let wave = waves.remove(0);
                wave.nodes.iter().for_each(|n| self.nodes[*n].lameduck(true, wave.usage, &self.begun));
                ends.push(wave);
            }
            if ends.first().is_some_and(|wave| now >= wave.off) {
                let wave = ends.remove(0);
                wave.nodes.iter().for_each(|n| self.nodes[*n].lameduck(false, wave.usage, &self.begun));
            }
            if signals.first().is_some_and(|(at, ..)| now >= *at) {
                let (_, n, signal) = signals.remove(0);
                self.signal(now, n, signal);
            }
            if let Some((_, n, count)) = crowd.take_if(|(at, ..)| now >= *at) {
                let node = &mut self.nodes[n];
                if node.load(now).1 {
                    node.callers.crowd(now, count, &mut self.rng, &mut node.history);
                }
            }
            self.turn();
        }
        self.finish()
    }

    fn signal(&mut self, now: f64, n: usize, signal: Signal) {
        let node = &mut self.nodes[n];
        if node.is_over() || node.termed || node.paused_until.is_some() {
            return;
        }
        send_signal(&node.program, self.folder.path(), &node.name, &self.config, signal);
        node.paused_until = (signal == Signal::Pause).then_some(now + PAUSE);
    }

    fn turn(&mut self) {
        let now = self.begun.elapsed().as_secs_f64();
        self.servers.turn(now);
        self.resolver.turn(1, self.servers.listed());
        for (n, node) in self.nodes.iter_mut().enumerate() {
            node.program.take_lines();
            if node.is_over() {
                continue;
            }
            if node.paused_until.is_some_and(|until| now >= until) {
                node.go_on();
            }
            let term_at = self.plan.term_at + n as f64 * BETWEEN_TERMS;
            if !node.termed && now >= term_at && node.paused_until.is_none() {
                (node.termed, node.history.term) = (true, now);
                node.program.signal("-TERM").unwrap();
            }
            if let Some(status) = node.program.child.try_wait().unwrap() {
                node.history.exit = Some((now, status.success()));
            }
            node.ask_ready(now);
            let (part, connects) = node.load(now);
            node.callers.call(now, part, connects, &mut self.rng, &mut node.history);
            node.callers.hear(now, &mut node.history);
            node.look_at_term(now);
        }
        std::thread::sleep(TURN);
    }

    /// Writes the logs of the gatekeepers, a line an event.
    fn write_logs(&self) {
        for node in &self.nodes {
            let line = |event: &serde_json::Value| {
                let at = event["time"].as_f64().unwrap_or(0.0) - self.begun_unix;
                format!("{at:.3} {event}\n")
            };
            let file = format!("{}/drains-{}-{}.log", env!("CARGO_TARGET_TMPDIR"), self.seed, node.name);
            std::fs::write(file, node.program.log.iter().map(line).collect::<String>()).unwrap();
        }
    }

    fn finish(mut self) -> Vec<History> {
        if std::env::var_os(LOG_LEVEL).is_some() {
            self.write_logs();
        }
        let attempts = self.servers.attempts();
        for node in &mut self.nodes {
            node.callers.finish(&mut node.history);
            let calls = &node.history.calls;
            let own = attempts.iter().filter(|attempt| calls.contains_key(&attempt.id));
            node.history.attempts = own.cloned().collect();
        }
        self.nodes.into_iter().map(|node| node.history).collect()
    }
}

/// What breaks a rule at one of these gatekeepers.
fn judge_all(histories: &[History]) -> Vec<Broken> {
    let broken = histories.iter().enumerate().flat_map(|(n, history)| {
        judge(history).into_iter().map(move |b| Broken { what: format!("n{n}: {}", b.what), ..b })
    });
    broken.collect()
}

#[test]
fn drains_side_by_side_keep_their_term_and_lose_nothing() {
    let (seed, runs) = (from_environment("SEED", SEED), from_environment("DRAINS", RUNS));
    let side_by_side = from_environment("SIDE_BY_SIDE", SIDE_BY_SIDE).max(1);
    let seeds: Vec<u64> = (seed..seed + runs).collect();
    let (mut failed, mut calls, mut terms, mut held) = (Vec::new(), 0, 0, 0);
    for together in seeds.chunks(side_by_side as usize) {
        let play = |seed: u64| std::thread::spawn(move || Run::new(DrainPlan::of(seed), seed).play());
        let started: Vec<_> = together.iter().map(|seed| (*seed, play(*seed))).collect();
        for (seed, run) in started {
            let Ok(histories) = run.join() else {
                failed.push(format!("SEED={seed} DRAINS=1: the run itself failed"));
                continue;
            };
            calls += histories.iter().map(|history| history.calls.len()).sum::<usize>();
            let drains = histories.iter().flat_map(|history| &history.drains);
            let at_term: Vec<usize> = drains.filter_map(|d| Some(d.term.as_ref()?.1.len())).collect();
            (terms, held) = (terms + at_term.len(), held + at_term.iter().sum::<usize>());
            let broken = judge_all(&histories);
            if !broken.is_empty() {
                let first: Vec<String> =
                    broken.iter().take(5).map(|b| format!("{}: {}", b.rule, b.what)).collect();
                let plan = DrainPlan::of(seed);
                failed.push(format!(
                    "SEED={seed} DRAINS=1: {} broken, {}\n{plan:?}",
                    broken.len(),
                    first.join("; ")
                ));
            }
        }
    }
    println!(
        "{runs} runs of drains from seed {seed}, {side_by_side} side by side, {calls} set-ups, {terms} drains past their term, \
         {held} connections held there; {} runs failed",
        failed.len()
    );
    assert!(terms as u64 >= runs, "too few drains past their term to tell: {terms}");
    assert!(failed.is_empty(), "{}", failed.join("\n"));
}

/// One gatekeeper that is drained for 6 s, whose callers use three connections all the while.
fn busy_drain(deadline: f64, service: Service) -> Vec<Broken> {
    let wave = Wave { on: 1.0, off: 7.0, nodes: vec![0], usage: Use::GoesOn };
    let plan = DrainPlan {
        deadline,
        rate: 50.0,
        kept: 3,
        nodes: 1,
        servers: vec![service],
        waves: vec![wave],
        signals: Vec::new(),
        crowd: None,
        term_at: 7.5,
    };
    judge_all(&Run::new(plan, SEED).play())
}

/// Guards against connections kept past the term, as calls that came on them stand, and used on.
#[test]
fn connections_in_use_with_standing_calls_are_let_go_by_the_term_of_a_drain() {
    assert_eq!(busy_drain(3.0, Service::Stands(0.06, 5.0)), []);
}

/// Guards against connections kept past the term, as set-ups of them are always open.
#[test]
fn connections_in_use_with_slow_answers_are_let_go_by_the_term_of_a_drain() {
    assert_eq!(busy_drain(3.0, Service::Stands(2.4, 0.03)), []);
}

/// Guards against the last connection kept past the term, as callers move to it.
#[test]
fn the_last_connection_in_use_is_let_go_by_the_term_of_a_drain() {
    assert_eq!(busy_drain(3.0, Service::Stands(0.06, 0.03)), []);
}
