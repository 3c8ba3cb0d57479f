//! Real processes of the program under a script: a group of gatekeepers with fault proxies between any two of them, against
//! stand-in callers, servers and resolvers in this process. What is checked is what those saw.

use std::collections::BTreeMap;
use std::error::Error;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use hollypaddle_standin::free_addresses;
use hollypaddle_standin::program::{unix_time, Program};
use hollypaddle_standin::proxy::{FaultProxy, Way};
use hollypaddle_standin::server::What as Saw;
use hollypaddle_standin::world::{classes, Plan as WorldPlan, World};

use crate::check::{self, Broken, History, What};
use crate::script::{End, Fault, Script};

/// Calls a second at each gatekeeper, and what each server can carry.
const RATE: f64 = 6.0;
const CAPACITY: f64 = 40.0;
/// A call that stood for so long is known to the others, where nothing is cut, also on a busy machine.
const SHARED: f64 = 1.0;
/// Told of a drain by the third question at the latest, and 250 ms, the sockets' slack and the way after that; in all,
/// on a busy machine.
const DRAIN_KEPT: f64 = 0.8;
/// An end in trouble is told so long after it at the latest.
const LATE: f64 = 8.0;
/// By so much the time that a set-up is on its way may differ, on a busy machine.
const JITTER: f64 = 0.5;
/// All must be ready, and after the script all quiet, within so long.
const PATIENCE: f64 = 20.0;

/// What is played.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Gatekeepers.
    pub gatekeepers: usize,
    /// Servers.
    pub servers: usize,
    /// More lines for the block `fleet`.
    pub more: String,
    /// Servers tell the end of a call to another gatekeeper while its own has no connection. Without it no end can be
    /// told in place of one that is gone, which the checks must find.
    pub ends_anywhere: bool,
    /// Mean time that a call stands, in seconds.
    pub hold: f64,
    /// Calls a second at each gatekeeper.
    pub rates: Vec<f64>,
    /// A budget of the fleet for what crosses districts: set-ups a second, and burst.
    pub crossings: Option<(f64, f64)>,
}

impl Plan {
    /// So many gatekeepers, three servers, and calls that stand for 2 s on average.
    pub fn of(gatekeepers: usize) -> Plan {
        let rates = vec![RATE; gatekeepers];
        let (more, ends_anywhere, hold) = (String::new(), true, 2.0);
        Plan { gatekeepers, servers: 3, more, ends_anywhere, hold, rates, crossings: None }
    }
}

/// The processes and what they talk to.
pub struct Group {
    plan: Plan,
    program: PathBuf,
    folder: tempfile::TempDir,
    world: World,
    /// Where each takes callers, and links.
    listen: Vec<SocketAddr>,
    links: Vec<SocketAddr>,
    programs: Vec<Option<Program>>,
    paused: Vec<bool>,
    /// On the way from one to another, and from one to a server.
    proxies: BTreeMap<(usize, usize), FaultProxy>,
    server_proxies: BTreeMap<(usize, usize), FaultProxy>,
    /// Ways between a gatekeeper and a server that were cut, slow or reset, and since when.
    troubled: BTreeMap<(usize, usize), f64>,
    begun: f64,
    history: History,
    drained: BTreeMap<usize, f64>,
    /// Loads of cold servers that have been replaced since.
    cold: Vec<(usize, Vec<(u32, f64)>)>,
}

impl Group {
    /// Starts all.
    pub fn start(program: &Path, plan: Plan, seed: u64) -> Result<Group, Box<dyn Error>> {
        let n = plan.gatekeepers;
        let servers = (0..plan.servers).map(|s| (s % 3, CAPACITY)).collect();
        let fronts = (0..n).map(|g| g % 3).collect();
        let mut classes = classes();
        classes.iter_mut().for_each(|class| class.hold = plan.hold);
        let mut world = World::open(WorldPlan { fronts, servers, classes, seed })?;
        world.servers.iter_mut().for_each(|server| server.ends_anywhere = plan.ends_anywhere);
        let (listen, links) = (free_addresses(n)?, free_addresses(n)?);
        let mut proxies = BTreeMap::new();
        for (a, b) in (0..n).flat_map(|a| (0..n).map(move |b| (a, b))).filter(|(a, b)| a != b) {
            proxies.insert((a, b), FaultProxy::open(free_addresses(1)?[0], links[b])?);
        }
        let mut server_proxies = BTreeMap::new();
        for (g, s) in (0..n).flat_map(|g| (0..plan.servers).map(move |s| (g, s))) {
            let proxy = FaultProxy::open(free_addresses(1)?[0], world.servers[s].address(g))?;
            world.serve_at(g, s, proxy.address());
            server_proxies.insert((g, s), proxy);
        }
        world.connect(&listen);
        let mut group = Group {
            program: program.to_path_buf(),
            folder: tempfile::tempdir()?,
            world,
            listen,
            links,
            programs: (0..n).map(|_| None).collect(),
            paused: vec![false; n],
            proxies,
            server_proxies,
            troubled: BTreeMap::new(),
            begun: unix_time(),
            history: History::default(),
            drained: BTreeMap::new(),
            cold: Vec::new(),
            plan,
        };
        (0..n).try_for_each(|g| group.start_one(g))?;
        group.wait("all are ready", |group| Ok((0..n).all(|g| group.caught_up(g))))?;
        group.begun = unix_time();
        Ok(group)
    }

    fn now(&self) -> f64 {
        unix_time() - self.begun
    }

    fn start_one(&mut self, n: usize) -> Result<(), Box<dyn Error>> {
        if self.programs[n].is_some() {
            return Ok(());
        }
        // Each reaches the others through proxies of its own.
        let member = |g: usize| {
            let address = if g == n { self.links[n] } else { self.proxies[&(n, g)].address() };
            format!("    member n{g} {address}\n")
        };
        let members: String = (0..self.plan.gatekeepers).map(member).collect();
        let budget = self.plan.crossings.map_or_else(String::new, |(per_s, burst)| {
            format!("crossings {{\n budget all {{\n  rate {per_s}/s burst {burst} fleet\n }}\n}}\n")
        });
        let control = self.control(n);
        let conf =
            format!("control {}\n{budget}fleet {{\n{members}{}}}\n", control.display(), self.plan.more);
        let listen = self.listen[n].to_string();
        let program = Program::start_at(&self.program, self.folder.path(), &self.world, n, &conf, &listen)?;
        self.programs[n] = Some(program);
        self.to_target(n, false);
        self.history.push(self.now(), What::Started(n));
        Ok(())
    }

    fn control(&self, n: usize) -> PathBuf {
        self.folder.path().join(format!("n{n}.sock"))
    }

    /// How often a gatekeeper's log has an event, in its present life.
    pub fn logged(&self, n: usize, event: &str) -> usize {
        let log = self.programs.get(n).and_then(Option::as_ref).map(|p| &p.log);
        log.map_or(0, |log| log.iter().filter(|line| line["event"] == event).count())
    }

    fn to_target(&self, n: usize, down: bool) {
        let here = self.proxies.iter().filter(|((_, to), _)| *to == n);
        here.for_each(|(_, proxy)| proxy.down(down));
    }

    fn caught_up(&self, n: usize) -> bool {
        let told = |p: &Program| p.log.iter().any(|line| line["event"] == "fleet-caught-up");
        self.programs[n].as_ref().is_some_and(told)
    }

    /// The proxies that carry what one says to another, with the way through each.
    fn ways(&self, from: End, to: End) -> Vec<(&FaultProxy, Way)> {
        match (from, to) {
            (End::Gatekeeper(a), End::Gatekeeper(b)) => {
                let there = self.proxies.get(&(a, b)).map(|r| (r, Way::There));
                let back = self.proxies.get(&(b, a)).map(|r| (r, Way::Back));
                there.into_iter().chain(back).collect()
            }
            (End::Gatekeeper(g), End::Server(s)) => {
                self.server_proxies.get(&(g, s)).map(|r| (r, Way::There)).into_iter().collect()
            }
            (End::Server(s), End::Gatekeeper(g)) => {
                self.server_proxies.get(&(g, s)).map(|r| (r, Way::Back)).into_iter().collect()
            }
            _ => Vec::new(),
        }
    }

    fn fault(&mut self, fault: Fault) -> Result<(), Box<dyn Error>> {
        let (now, unix) = (self.now(), unix_time());
        let known = |n: usize| n < self.plan.gatekeepers;
        if let Fault::Cut(a, b) | Fault::Delay(a, b, _) | Fault::Throttle(a, b, _) | Fault::Drop(a, b) = fault
        {
            if let (End::Gatekeeper(g), End::Server(s)) | (End::Server(s), End::Gatekeeper(g)) = (a, b) {
                self.troubled.entry((g, s)).or_insert(unix);
            }
        }
        match fault {
            Fault::Kill(n) if known(n) => {
                let Some(mut program) = self.programs[n].take() else { return Ok(()) };
                // What only it knew is lost with it.
                let fresh: Vec<u64> = (self.world.callers[n].calls.iter())
                    .filter(|(_, c)| c.stood.is_some_and(|at| at > unix - SHARED))
                    .map(|(id, _)| *id)
                    .collect();
                fresh.into_iter().for_each(|id| self.history.push(now, What::Unshared(id)));
                self.to_target(n, true);
                program.child.kill()?;
                program.child.wait()?;
                self.paused[n] = false;
                self.history.push(now, What::Killed(n));
            }
            Fault::Start(n) if known(n) => self.start_one(n)?,
            Fault::Pause(n) | Fault::Wake(n) if known(n) => {
                let pause = matches!(fault, Fault::Pause(_));
                let Some(program) = &self.programs[n] else { return Ok(()) };
                if pause != self.paused[n] {
                    program.signal(if pause { "-STOP" } else { "-CONT" })?;
                    self.paused[n] = pause;
                    self.history.push(now, if pause { What::Paused(n) } else { What::Woken(n) });
                }
            }
            // It is asked and answers in datagrams: what is cut off does not come later.
            Fault::Cut(End::Gatekeeper(g), End::Resolver) | Fault::Cut(End::Resolver, End::Gatekeeper(g))
                if known(g) =>
            {
                self.world.resolver_silent(g, true);
                self.history.push(now, What::Faulted);
            }
            Fault::Throttle(a, b, rate) => {
                self.ways(a, b).iter().for_each(|(proxy, way)| proxy.throttle(*way, Some(rate)));
                self.history.push(now, What::Faulted);
            }
            Fault::Cut(a, b) => {
                self.ways(a, b).iter().for_each(|(proxy, way)| proxy.cut(*way, true));
                self.history.push(now, What::Faulted);
            }
            Fault::Delay(a, b, seconds) => {
                self.ways(a, b).iter().for_each(|(proxy, way)| proxy.delay(*way, seconds));
                self.history.push(now, What::Faulted);
            }
            Fault::Drop(a, b) => {
                self.ways(a, b).iter().for_each(|(proxy, _)| proxy.drop_all());
                self.history.push(now, What::Faulted);
            }
            Fault::Silence(s) | Fault::Speak(s) if s < self.plan.servers => {
                self.world.servers[s].silent = matches!(fault, Fault::Silence(_));
                self.history.push(now, What::Faulted);
            }
            Fault::Replace(s) if s < self.plan.servers => {
                self.note_cold(s);
                self.world.replace(s, unix);
                self.drained.remove(&s);
                self.history.push(now, What::Faulted);
            }
            Fault::Drain(s) if s < self.plan.servers => {
                self.world.drain(s, true);
                self.drained.entry(s).or_insert(unix);
            }
            Fault::Heal => {
                for proxy in self.proxies.values().chain(self.server_proxies.values()) {
                    for way in [Way::There, Way::Back] {
                        proxy.cut(way, false);
                        proxy.delay(way, 0.0);
                        proxy.throttle(way, None);
                    }
                }
                self.world.resolvers_silent(false);
                self.world.servers.iter_mut().for_each(|s| s.silent = false);
                for n in 0..self.plan.gatekeepers {
                    self.fault(Fault::Wake(n))?;
                    self.start_one(n)?;
                }
                self.history.push(self.now(), What::Healed);
            }
            _ => {}
        }
        Ok(())
    }

    fn note_cold(&mut self, server: usize) {
        let loads = self.world.servers[server].cold_load.values().copied().collect();
        self.cold.push((server, loads));
    }

    fn turn(&mut self, traffic: bool) {
        let unix = unix_time();
        if traffic {
            for n in 0..self.plan.gatekeepers {
                let servers = self.plan.servers as f64;
                // The front sends no callers to one that is down, and learns late of one that is paused.
                if self.programs[n].is_some() {
                    self.world.traffic(unix, n, self.plan.rates[n], |a, _| (a * servers) as u32);
                }
            }
        }
        self.world.turn(unix);
        self.programs.iter_mut().flatten().for_each(Program::take_lines);
        std::thread::sleep(Duration::from_millis(2));
    }

    fn wait(
        &mut self,
        what: &str,
        holds: impl Fn(&Group) -> Result<bool, Box<dyn Error>>,
    ) -> Result<(), Box<dyn Error>> {
        let since = unix_time();
        while !holds(self)? {
            if unix_time() - since > PATIENCE {
                let logs: Vec<_> = self.programs.iter().flatten().map(|p| &p.log).collect();
                return Err(format!("not within {PATIENCE} s: {what}; {logs:?}").into());
            }
            self.turn(false);
        }
        Ok(())
    }

    /// Plays a script to its end, lets all settle, and returns what did not hold.
    pub fn play(&mut self, script: &Script) -> Result<Vec<Broken>, Box<dyn Error>> {
        for (at, fault) in &script.steps {
            while self.now() < *at {
                self.turn(true);
            }
            self.fault(*fault)?;
        }
        let healed = self.now();
        while self.now() < healed + 4.0 {
            self.turn(true);
        }
        let mut broken = Vec::new();
        // Most calls end, and what is told arrives.
        let since = self.now();
        while self.now() < since + 3.0 * self.plan.hold {
            self.turn(false);
        }
        for (n, program) in self.programs.iter_mut().enumerate() {
            if let Some(status) = program.as_mut().and_then(|p| p.child.try_wait().ok().flatten()) {
                broken.push(Broken("no gatekeeper ends by itself", format!("g{n}: {status}")));
            }
        }
        broken.extend(self.saw());
        Ok(broken)
    }

    /// What callers and servers saw, held to the rules.
    fn saw(&mut self) -> Vec<Broken> {
        let mut broken = Vec::new();
        let begun = self.begun;
        for (n, callers) in self.world.callers.iter().enumerate() {
            for (id, call) in &callers.calls {
                if let Some(at) = call.stood {
                    self.history.push(at - begun, What::Stood(*id, n));
                    if let Some((end, _)) = call.end {
                        (0..call.ends).for_each(|_| self.history.push(end - begun, What::Told(*id, n)));
                    }
                }
                if call.answers > 1 {
                    broken.push(Broken(
                        "each call has one final answer",
                        format!("call {id:x}: {}", call.answers),
                    ));
                }
            }
        }
        let mut attempts = Vec::new();
        let mut loads = std::mem::take(&mut self.cold);
        for (s, server) in self.world.servers.iter().enumerate() {
            let mut out: BTreeMap<u64, f64> = BTreeMap::new();
            for seen in &server.seen {
                match seen.what {
                    Saw::SetUp => drop(out.insert(seen.call, seen.at)),
                    what => {
                        // What waits on a way that is cut was given up meanwhile, and the word of that waits behind it.
                        let waited =
                            self.troubled.get(&(seen.door, s)).is_some_and(|since| seen.at >= *since);
                        if let Some(from) = out.remove(&seen.call).filter(|_| !waited) {
                            attempts.push((seen.call, from, seen.at));
                        }
                        if matches!(what, Saw::Ended | Saw::Cut) {
                            self.history.push(seen.at - begun, What::Ended(seen.call));
                        }
                    }
                }
            }
            if let Some(drained) = self.drained.get(&s) {
                let set_ups = server.seen.iter().filter(|seen| seen.what == Saw::SetUp);
                let set_ups = set_ups.filter(|seen| !self.troubled.contains_key(&(seen.door, s)));
                let arrivals: Vec<f64> = set_ups.map(|seen| seen.at).collect();
                broken.extend(check::drains_are_kept(*drained, &arrivals, s, DRAIN_KEPT));
            }
            loads.push((s, server.cold_load.values().copied().collect()));
        }
        for (server, loads) in loads {
            broken.extend(check::cold_budget_holds(&loads, server));
        }
        broken.extend(check::one_attempt_at_a_time(&attempts));
        if let Some((per_s, burst)) = self.plan.crossings {
            // A front's burst is never under one set-up, and what arrives may have been on its way a little longer.
            let burst = burst + self.plan.gatekeepers as f64 + per_s * JITTER;
            broken.extend(check::shared_rate_holds(&self.crossed(), per_s, burst));
        }
        self.history.events.sort_by(|a, b| a.0.total_cmp(&b.0));
        broken.extend(check::every_end_is_told(&self.history, LATE));
        broken.extend(check::doubled_words_are_bounded(&self.history));
        broken
    }

    /// When set-ups arrived at servers of other districts than their gatekeeper's.
    pub fn crossed(&self) -> Vec<f64> {
        let mut all = Vec::new();
        for (s, server) in self.world.servers.iter().enumerate() {
            let set_ups = server.seen.iter().filter(|seen| seen.what == Saw::SetUp);
            all.extend(set_ups.filter(|seen| seen.door % 3 != s % 3).map(|seen| seen.at));
        }
        all.sort_by(f64::total_cmp);
        all
    }

    /// Calls that stood and ends that servers told, so that a test can tell that there was something to see.
    pub fn counts(&self) -> (usize, usize) {
        let of = |what: fn(&What) -> bool| self.history.events.iter().filter(|e| what(&e.1)).count();
        (of(|w| matches!(w, What::Stood(..))), of(|w| matches!(w, What::Ended(_))))
    }
}

/// What a script came to: what did not hold, and how many calls stood and ended.
pub type Played = (Vec<Broken>, (usize, usize));

/// Starts a group and plays a script.
pub fn play(program: &Path, plan: &Plan, script: &Script) -> Result<Played, Box<dyn Error>> {
    let mut group = Group::start(program, plan.clone(), script.seed)?;
    let broken = group.play(script)?;
    Ok((broken, group.counts()))
}
