//! What replication costs a set-up: the program as a process, between a caller and a server that answers at once, with
//! links to two others and without, and while one of those catches up with many standing calls.

use std::error::Error;
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::time::Instant;

use hdrhistogram::Histogram;
use hollypaddle_platform::message::{kind, Message};
use hollypaddle_standin::program::{unix_time, Program};
use hollypaddle_standin::world::{classes, Plan, World};
use hollypaddle_standin::{answer, fleet_block, free_addresses, peer, set_up, Peer};
use serde::Serialize;

use crate::stats::Spread;

/// Set-ups a second, and how many are timed in a stretch.
const RATE: f64 = 400.0;
const STRETCH: u64 = 200;
/// Stretches of a run, of each by turns: what else the machine does falls on both alike. Without a member that catches
/// up they are shorter and more, and each is held against its neighbour: the median of those ratios is steadier than
/// one of two figures of whole runs, which differed by a fifth where nothing had changed.
const TURNS: usize = 16;
const PAIRS: usize = 100;
const SHORT: u64 = 40;
/// So many neighbouring pairs make one p99.
const GROUP: usize = 20;
/// Calls that stand as a member catches up.
pub const STANDING: usize = 100_000;
/// Set-ups out at once while those are made.
const AT_ONCE: usize = 400;

/// The delays of one stretch, in microseconds.
#[derive(Clone, Copy)]
struct Delays {
    p50: f64,
    p99: f64,
}

/// What was measured.
#[derive(Clone, Serialize)]
pub struct Cost {
    /// Without a fleet, with one, and while a member of it catches up: p50 and p99, in microseconds.
    pub off: [Spread; 2],
    /// With links.
    pub on: [Spread; 2],
    /// While a member catches up with [`STANDING`] calls.
    pub catching_up: [Spread; 2],
    /// With links over without: the median over neighbouring stretches, of p99 over groups of them.
    pub on_ratio: [f64; 2],
    /// Microseconds of processor time that the gatekeeper takes for a set-up, without and with links.
    pub cpu: [Spread; 2],
    /// The same, while one catches up.
    pub catching_up_ratio: [f64; 2],
    /// Seconds until that one says that it has caught up, and the bytes of memory that each record takes there.
    pub caught_up: f64,
    /// The bytes.
    pub record: f64,
    /// Memory of a process without a fleet, and with an empty one, in kB.
    pub idle_kb: [f64; 2],
}

/// A caller and a server in one.
struct Bench {
    listener: TcpListener,
    server: Vec<Peer>,
    caller: Peer,
    next: u64,
}

impl Bench {
    fn new(listener: TcpListener, gatekeeper: SocketAddr, name: u64) -> Result<Bench, Box<dyn Error>> {
        listener.set_nonblocking(true)?;
        let caller = peer(std::net::TcpStream::connect(gatekeeper)?)?;
        Ok(Bench { listener, server: Vec::new(), caller, next: name << 48 })
    }

    fn offer(&mut self) -> Result<u64, Box<dyn Error>> {
        self.next += 1;
        self.caller.send(&set_up("meter-read", 0, self.next, 3000)).map_err(|e| e.to_string())?;
        Ok(self.next)
    }

    /// One look at all sockets; returns the calls that stand since.
    fn look(&mut self) -> Result<Vec<u64>, Box<dyn Error>> {
        while let Ok((stream, _)) = self.listener.accept() {
            self.server.push(peer(stream)?);
        }
        for server in &mut self.server {
            let mut heard: Vec<Message> = Vec::new();
            let _ = server.read(&mut heard);
            for message in heard.iter().filter(|m| m.kind == kind::SET_UP) {
                server.send(&answer(message.call)).map_err(|e| e.to_string())?;
            }
            let _ = server.flush();
        }
        let mut heard: Vec<Message> = Vec::new();
        self.caller.read(&mut heard).map_err(|e| e.to_string())?;
        let _ = self.caller.flush();
        Ok(heard.iter().filter(|m| m.kind == kind::ANSWER).map(|m| m.call).collect())
    }

    /// Makes so many calls stand, as fast as may be.
    fn stand(&mut self, count: usize) -> Result<(), Box<dyn Error>> {
        let (mut offered, mut stood, since) = (0, 0, unix_time());
        while stood < count {
            while offered < count && offered - stood < AT_ONCE {
                self.offer()?;
                offered += 1;
            }
            stood += self.look()?.len();
            if unix_time() - since > 120.0 {
                return Err(format!("only {stood} of {count} calls stand").into());
            }
        }
        Ok(())
    }

    /// Times so many set-ups, one out at a time.
    fn timed(&mut self, delays: &mut Histogram<u64>, count: u64) -> Result<(), Box<dyn Error>> {
        let (begun, end) = (Instant::now(), delays.len() + count);
        let (mut sent, mut out): (usize, Option<(u64, Instant)>) = (0, None);
        while delays.len() < end {
            if out.is_none() && begun.elapsed().as_secs_f64() >= sent as f64 / RATE {
                out = Some((self.offer()?, Instant::now()));
                sent += 1;
            }
            for call in self.look()? {
                if let Some((_, since)) = out.take_if(|(id, _)| *id == call) {
                    delays.record(since.elapsed().as_micros().max(1) as u64)?;
                }
            }
            if out.is_some_and(|(_, since)| since.elapsed().as_secs() > 5) {
                return Err("a set-up had no answer".into());
            }
        }
        Ok(())
    }
}

fn histogram() -> Result<Histogram<u64>, Box<dyn Error>> {
    Ok(Histogram::new_with_bounds(1, 10_000_000, 3)?)
}

fn delays(of: &Histogram<u64>) -> Delays {
    Delays { p50: of.value_at_quantile(0.5) as f64, p99: of.value_at_quantile(0.99) as f64 }
}

/// Resident memory of a process, in kB.
fn resident(program: &Program) -> Result<f64, Box<dyn Error>> {
    let text = std::fs::read_to_string(format!("/proc/{}/status", program.child.id()))?;
    let line = text.lines().find_map(|l| l.strip_prefix("VmRSS:")).ok_or("no VmRSS")?;
    Ok(line.trim().trim_end_matches("kB").trim().parse()?)
}

/// Processor time that a process has taken, in microseconds.
fn processor(program: &Program) -> Result<f64, Box<dyn Error>> {
    let text = std::fs::read_to_string(format!("/proc/{}/schedstat", program.child.id()))?;
    Ok(text.split_whitespace().next().ok_or("no schedstat")?.parse::<f64>()? / 1000.0)
}

/// Members of the fleet in which links are idle, and of the one in which a member catches up.
const FEW: usize = 3;
pub const MANY: usize = 8;

/// A gatekeeper with a server of the bench's, and others without traffic, all in one fleet or in none.
struct Scene {
    folder: tempfile::TempDir,
    world: World,
    conf: String,
    programs: Vec<Program>,
    bench: Bench,
}

fn scene(program: &Path, members: usize, fleet: bool, name: u64) -> Result<Scene, Box<dyn Error>> {
    let servers = vec![(0, 40.0)];
    let mut world = World::open(Plan { fronts: vec![0; members], servers, classes: classes(), seed: name })?;
    let listener = TcpListener::bind("127.0.0.1:0")?;
    world.serve_at(0, 0, listener.local_addr()?);
    let links = free_addresses(members)?;
    let conf =
        if fleet { fleet_block(&links, "records 200000\ncatch-up within 60s\n") } else { String::new() };
    let folder = tempfile::tempdir()?;
    let mut programs = Vec::new();
    for front in 0..members {
        programs.push(Program::start(program, folder.path(), &world, front, &conf)?);
    }
    let mut address = None;
    for started in &mut programs {
        let at = started.serving()?;
        address.get_or_insert(at);
        if fleet {
            started.event("fleet-caught-up")?;
        }
    }
    let bench = Bench::new(listener, address.ok_or("nobody serves")?, name)?;
    Ok(Scene { folder, world, conf, programs, bench })
}

/// Measures, in so many runs by turns.
pub fn measure(runs: u64, program: &Path) -> Result<Cost, Box<dyn Error>> {
    let (mut off, mut on, mut beside, mut catching) = (Vec::new(), Vec::new(), Vec::new(), Vec::new());
    let (mut pairs, mut groups, mut cpu) = (Vec::new(), Vec::new(), [Vec::new(), Vec::new()]);
    let mut given: Vec<[f64; 2]> = Vec::new();
    let (mut caught_up, mut record, mut idle_kb) = (f64::NAN, f64::NAN, [0.0; 2]);
    for run in 0..runs {
        let mut without = scene(program, FEW, false, 3 * run + 1)?;
        let mut with = scene(program, FEW, true, 3 * run + 2)?;
        idle_kb = [resident(&without.programs[1])?, resident(&with.programs[1])?];
        // The first hundred warm the caches up.
        without.bench.stand(100)?;
        with.bench.stand(100)?;
        let mut whole = [histogram()?, histogram()?];
        let (mut took, mut group) = ([0.0; 2], [histogram()?, histogram()?]);
        for pair in 1..=PAIRS {
            let mut p50 = [0.0; 2];
            for (n, scene) in [&mut without, &mut with].into_iter().enumerate() {
                let (mut stretch, before) = (histogram()?, processor(&scene.programs[0])?);
                scene.bench.timed(&mut stretch, SHORT)?;
                took[n] += processor(&scene.programs[0])? - before;
                p50[n] = delays(&stretch).p50;
                whole[n].add(&stretch)?;
                group[n].add(&stretch)?;
            }
            pairs.push(p50[1] / p50[0]);
            if pair % GROUP == 0 {
                groups.push(delays(&group[1]).p99 / delays(&group[0]).p99);
                group.iter_mut().for_each(Histogram::reset);
            }
        }
        for (all, took) in cpu.iter_mut().zip(took) {
            all.push(took / (PAIRS as u64 * SHORT) as f64);
        }
        let [plain, linked] = whole;
        off.push(delays(&plain));
        on.push(delays(&linked));
        drop(with);
        // One that is started anew has everything to learn. So many calls cost a process something by themselves, so
        // they stand at both.
        without.bench.stand(STANDING)?;
        let mut with = scene(program, MANY, true, 3 * run + 3)?;
        with.bench.stand(STANDING)?;
        let mut whole = [histogram()?, histogram()?];
        let mut killed = with.programs.remove(1);
        for turn in 0..TURNS {
            killed.child.kill()?;
            killed.child.wait()?;
            let begun = unix_time();
            let mut fresh = Program::start(program, with.folder.path(), &with.world, 1, &with.conf)?;
            // Half a second of it is the giver's work.
            let (mut plain, mut giving) = (histogram()?, histogram()?);
            with.bench.timed(&mut giving, STRETCH)?;
            let event = fresh.event("fleet-caught-up")?;
            if turn == 0 && run == 0 {
                caught_up = event["time"].as_f64().unwrap_or(f64::NAN) - begun;
                record = (resident(&fresh)? - idle_kb[1]) * 1024.0 / STANDING as f64;
            }
            without.bench.timed(&mut plain, STRETCH)?;
            let (a, b) = (delays(&giving), delays(&plain));
            given.push([a.p50 / b.p50, a.p99 / b.p99]);
            whole[0].add(&plain)?;
            whole[1].add(&giving)?;
            killed = fresh;
        }
        let [plain, giving] = whole;
        beside.push(delays(&plain));
        catching.push(delays(&giving));
    }
    let spread = |all: &[Delays]| {
        let of = |f: fn(&Delays) -> f64| Spread::of(&all.iter().map(f).collect::<Vec<f64>>());
        [of(|d| d.p50), of(|d| d.p99)]
    };
    let (off, on, beside, catching_up) = (spread(&off), spread(&on), spread(&beside), spread(&catching));
    let catching_up_ratio =
        [0, 1].map(|n| Spread::of(&given.iter().map(|g| g[n]).collect::<Vec<f64>>()).median);
    let on_ratio = [Spread::of(&pairs).median, Spread::of(&groups).median];
    let cpu = cpu.map(|all| Spread::of(&all));
    println!("processor time a set-up, us, off and on: {:.1} {:.1}", cpu[0].median, cpu[1].median);
    let us = |all: &[Spread; 2]| [all[0].least, all[1].least];
    println!("p50 and p99, least: {:?} {:?} {:?} {:?}", us(&off), us(&on), us(&beside), us(&catching_up));
    println!("set-up p50 and p99: on over off {on_ratio:.3?}, catching up over off {catching_up_ratio:.3?}");
    println!("{STANDING} calls: caught up after {caught_up:.2} s, {record:.0} bytes a record");
    Ok(Cost { off, on, cpu, catching_up, on_ratio, catching_up_ratio, caught_up, record, idle_kb })
}
