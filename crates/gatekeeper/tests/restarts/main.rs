//! Restarts of the real program, each drawn from a seed: callers that keep connections and callers that come anew, servers that
//! answer late, hang, refuse or reset, signals in series, crowds, and upgrades. What callers and servers saw is judged by the
//! platform's rules. `SEED=n RUNS=1` plays one again, `RUNS=n` plays more; `SIDE_BY_SIDE=n` plays so many at once.

mod callers;
mod checks;
mod closing_callers;
mod drains;
mod history;
mod plan;
mod servers;

use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

use hollypaddle_standin::free_addresses;
use hollypaddle_standin::program::Program;
use hollypaddle_standin::resolver::{self, Resolver};
use rand_chacha::rand_core::SeedableRng;
use rand_chacha::ChaCha8Rng;

use callers::Callers;
use checks::{judge, Broken, EndsLeft, KILL_AFTER};
use history::History;
use plan::{Plan, Signal};
use servers::Servers;

const PROGRAM: &str = env!("CARGO_BIN_EXE_hollypaddle");
/// Seeds where the environment names no others, and how many run side by side.
const SEED: u64 = 1;
const RUNS: u64 = 24;
const SIDE_BY_SIDE: u64 = 4;
/// A run that is paused from just before SIGTERM on for 0.1 s, and again right after.
const PAUSED_AROUND_SIGTERM: u64 = 3065;
/// A run in which a crowd takes all places while a caller has the end of its call unread.
const CROWDED_AT_AN_END: u64 = 9009;
/// Requests on open connections come for so long after the last new connection at the full rate, and then at a part of it.
const FULL_RATE: f64 = 0.2;
const RATE_AFTER: f64 = 0.2;
/// Signals come from so long before SIGTERM on.
const BEFORE: f64 = 0.2;
/// For how long the program stands still at a pause.
const PAUSE: f64 = 0.1;
const TURN: Duration = Duration::from_micros(500);

/// One run as it is played.
struct Run {
    plan: Plan,
    begun: Instant,
    rng: ChaCha8Rng,
    servers: Servers,
    callers: Callers,
    resolver: Resolver,
    config: String,
    folder: tempfile::TempDir,
    listen: SocketAddr,
    history: History,
}

impl Run {
    fn new(seed: u64) -> Run {
        let plan = Plan::of(seed);
        let servers = Servers::open(&plan.servers);
        let resolver = Resolver::open().unwrap();
        let config = config(plan.deadline, &servers, &resolver);
        let listen = free_addresses(1).unwrap()[0];
        Run {
            begun: Instant::now(),
            rng: ChaCha8Rng::seed_from_u64(!seed),
            callers: Callers::new(listen, plan.load()),
            history: History { deadline: plan.deadline, ..History::default() },
            folder: tempfile::tempdir().unwrap(),
            plan,
            servers,
            resolver,
            config,
            listen,
        }
    }

    fn now(&self) -> f64 {
        self.begun.elapsed().as_secs_f64()
    }

    fn start(&self, name: &str) -> Program {
        let (program, folder) = (Path::new(PROGRAM), self.folder.path());
        let listen = self.listen.to_string();
        let mut program = Program::start_with(program, folder, name, &self.config, "", &listen).unwrap();
        program.serving().unwrap();
        program
    }

    /// Plays the run to its end.
    fn play(mut self) -> History {
        let mut program = self.start("n0");
        let mut successor = None;
        self.begun = Instant::now();
        self.callers.connect(0.0);
        while self.now() < self.plan.term_at - BEFORE {
            self.turn(1.0, true);
            if self.plan.upgrade && successor.is_none() {
                self.history.successor = Some(self.now());
                successor = Some(self.start("n1"));
            }
        }
        self.end(&mut program);
        // What is open at the successor is answered there.
        let until = self.now() + self.plan.deadline + 0.3;
        while successor.is_some() && self.callers.waiting() > 0 && self.now() < until {
            self.turn(0.0, false);
        }
        self.callers.finish(&mut self.history);
        self.history.attempts = self.servers.attempts();
        self.history
    }

    /// SIGTERM and what comes with it, until the process has ended or would be killed.
    fn end(&mut self, program: &mut Program) {
        let term = self.plan.term_at;
        let kill = term + self.plan.deadline.max(3.0) + KILL_AFTER;
        let mut signals: Vec<(f64, Signal)> = self.plan.signals.clone();
        let mut crowd = self.plan.crowd;
        let (mut termed, mut paused_until) = (false, None);
        loop {
            let now = self.now();
            program.take_lines();
            if let Some(status) = program.child.try_wait().unwrap() {
                self.history.exit = Some((now, status.success()));
                return;
            }
            if now > kill {
                return;
            }
            if !termed && now >= term {
                termed = true;
                self.history.term = now;
                program.signal("-TERM").unwrap();
            }
            if paused_until.is_some_and(|until| now >= until) {
                paused_until = None;
                self.history.paused += PAUSE;
                program.signal("-CONT").unwrap();
            }
            let due = signals.first().is_some_and(|(at, _)| now >= term + at) && paused_until.is_none();
            if due {
                paused_until = self.signal(signals.remove(0).1, program);
            }
            if let Some((_, count)) = crowd.filter(|(at, _)| now >= term + at) {
                crowd = None;
                self.callers.crowd(now, count, &mut self.rng, &mut self.history);
            }
            let since = now - term;
            let connects = since <= self.plan.connects || self.plan.upgrade;
            let part = if since <= self.plan.connects + FULL_RATE { 1.0 } else { RATE_AFTER };
            self.turn(part, connects);
        }
    }

    /// Sends a signal; returns until when the program is paused.
    fn signal(&self, signal: Signal, program: &Program) -> Option<f64> {
        send_signal(program, self.folder.path(), "n0", &self.config, signal);
        (signal == Signal::Pause).then(|| self.now() + PAUSE)
    }

    /// One turn, with set-ups at this part of the rate.
    fn turn(&mut self, part: f64, connects: bool) {
        let now = self.now();
        self.callers.call(now, part, connects, &mut self.rng, &mut self.history);
        self.servers.turn(now);
        self.resolver.turn(1, self.servers.listed());
        self.callers.hear(now, &mut self.history);
        std::thread::sleep(TURN);
    }
}

/// Sends a signal to a program of this name, with the platform's file that goes with it.
fn send_signal(program: &Program, folder: &Path, name: &str, config: &str, signal: Signal) {
    let write = |text: &str| std::fs::write(folder.join(format!("{name}.json")), text).unwrap();
    match signal {
        Signal::SameFile => write(config),
        Signal::NewFile => write(&config.replace(r#""goalTime":0.5"#, r#""goalTime":0.6"#)),
        Signal::BrokenFile => write(&config[..config.len() / 2]),
        Signal::Term | Signal::Pause => {}
    }
    let name = match signal {
        Signal::SameFile | Signal::NewFile | Signal::BrokenFile => "-HUP",
        Signal::Term => "-TERM",
        Signal::Pause => "-STOP",
    };
    // It may have ended by itself in this moment.
    let _ = program.signal(name);
}

/// The platform's file.
fn config(deadline: f64, servers: &Servers, resolver: &Resolver) -> String {
    let pools: Vec<String> = (0..servers.listed().len()).map(|n| n.to_string()).collect();
    format!(
        r#"{{"seed":"8c1f","dns":"{}","limits":{{"sockets":256}},"known":{},
          "settings":{{"peersTotal":1,"period":0.005,
            "familyInfo":{{"release":0.3,"retransmit":0.4,"poolsByClass":[[{}]]}},
            "limits":{{"tryLimit":3,"mayCancel":true,"retryAfter":true,"maxRetryAfter":2.0,"connectTimeout":0.5}},
            "requestClasses":[{{"name":"meter-read","effect":"read_like","goalTime":0.5,"hardLimit":{:.1},"value":1.0}}],
            "safety":{{"cold":50.0,"coldFrom":0.3,"overloadFactor":3.0}}}}}}"#,
        resolver.address().unwrap(),
        resolver::known(1, servers.listed()),
        pools.join(","),
        deadline,
    )
}

fn from_environment(name: &str, otherwise: u64) -> u64 {
    std::env::var(name).map_or(otherwise, |text| text.parse().expect("a number"))
}

#[test]
fn restarts_lose_nothing() {
    let (seed, runs) = (from_environment("SEED", SEED), from_environment("RUNS", RUNS));
    let side_by_side = from_environment("SIDE_BY_SIDE", SIDE_BY_SIDE).max(1);
    let seeds: Vec<u64> = (seed..seed + runs).collect();
    let played = seeds.chunks(side_by_side as usize).flat_map(|together| {
        let started: Vec<_> = together
            .iter()
            .map(|seed| {
                (
                    *seed,
                    std::thread::spawn({
                        let seed = *seed;
                        move || Run::new(seed).play()
                    }),
                )
            })
            .collect();
        started.into_iter().map(|(seed, run)| (seed, run.join())).collect::<Vec<_>>()
    });
    let (mut failed, mut calls, mut left) = (Vec::new(), 0, EndsLeft::default());
    for (seed, history) in played {
        let Ok(history) = history else {
            failed.push(format!("SEED={seed} RUNS=1: the run itself failed"));
            continue;
        };
        calls += history.calls.len();
        left = left.and(EndsLeft::of(&history));
        let broken: Vec<Broken> = judge(&history);
        if !broken.is_empty() {
            let rules: Vec<String> =
                broken.iter().take(5).map(|b| format!("{}: {}", b.rule, b.what)).collect();
            let plan = Plan::of(seed);
            failed.push(format!(
                "SEED={seed} RUNS=1: {} broken, {}\n{plan:?}",
                broken.len(),
                rules.join("; ")
            ));
        }
    }
    println!(
        "{runs} runs from seed {seed}, {side_by_side} side by side, {calls} set-ups, {} runs failed; {} ends left unread last, \
         {} more not judged, {} before the last",
        failed.len(),
        left.judged,
        left.unjudged,
        left.before_last,
    );
    assert!(calls as u64 > 20 * runs, "too few set-ups to tell: {calls}");
    assert!(failed.is_empty(), "{}", failed.join("\n"));
}

/// Guards against a program that is killed with calls unanswered, as a pause let it see SIGTERM late.
#[test]
fn a_program_paused_around_sigterm_ends_before_it_would_be_killed() {
    assert_eq!(judge(&Run::new(PAUSED_AROUND_SIGTERM).play()), []);
}

/// Guards against an end lost on a connection that is closed to make room and dropped before its caller leaves it unread.
#[test]
fn an_end_left_unread_as_a_crowd_takes_all_places_is_told() {
    assert_eq!(judge(&Run::new(CROWDED_AT_AN_END).play()), []);
}
