//! What the ways to several workers cost, before one is built: how good decisions stay when one module becomes
//! several, what a hop between workers takes, and what a process holds.

use std::error::Error;
use std::io::{Read, Write};
use std::os::unix::net::UnixStream;
use std::path::Path;
use std::sync::mpsc::sync_channel;
use std::time::Instant;

use hollypaddle_standin::program::Program;
use hollypaddle_standin::world::{classes, Plan, World};
use minijinja::{context, Environment};
use serde::Serialize;

use crate::stats::Spread;
use hollypaddle_drive::Fleet;

/// Gatekeepers, and servers with the calls a second that each can carry.
const GATEKEEPERS: usize = 6;
const SERVERS: usize = 3;
const CAPACITY: f64 = 25.0;
const WARM_UP: f64 = 15.0;
const LASTS: f64 = 45.0;
/// Round trips that are timed.
const HOPS: usize = 20_000;

#[derive(Serialize)]
struct Line {
    load: f64,
    workers: usize,
    service: Spread,
    valve: Spread,
    worst: Spread,
    refused: Spread,
}

struct Run {
    service: f64,
    valve: f64,
    worst: f64,
    refused: f64,
}

fn run(load: f64, workers: usize, seed: u64) -> Result<Run, Box<dyn Error>> {
    let servers = (0..SERVERS).map(|n| (n, CAPACITY)).collect();
    // A worker with a module of its own is, to the module, one front of a larger fleet.
    let fronts = (0..GATEKEEPERS * workers).map(|n| n % SERVERS).collect();
    let folder = tempfile::tempdir()?;
    let conf = folder.path().join("hollypaddle.conf");
    std::fs::write(&conf, "")?;
    let mut fleet = Fleet::open(Plan { fronts, servers, classes: classes(), seed }, &conf)?;
    let rate = SERVERS as f64 * CAPACITY * load / (GATEKEEPERS * workers) as f64;
    let choice = |_: usize, a: f64, _: f64| (a * SERVERS as f64) as u32;
    fleet.run(WARM_UP, rate, choice)?;
    let begun = fleet.now;
    fleet.run(LASTS, rate, choice)?;
    let ended = fleet.now;
    fleet.run(4.0, rate, choice)?;
    let service = |class, from, to| fleet.world.service(class, from, to).unwrap_or(f64::NAN);
    let windows = (0..=(LASTS - 10.0) as u32).map(|n| begun + f64::from(n));
    let seen: Vec<_> = fleet.world.servers.iter().flat_map(|s| &s.seen).filter(|s| s.at >= begun).collect();
    let count = |what| seen.iter().filter(|s| s.what == what).count() as f64;
    use hollypaddle_standin::server::What;
    Ok(Run {
        service: service(None, begun, ended),
        valve: service(Some("valve-set"), begun, ended),
        worst: windows.map(|at| service(None, at, at + 10.0)).fold(1.0, f64::min),
        refused: count(What::Refused) / count(What::SetUp).max(1.0),
    })
}

/// Microseconds of a round trip between two threads over bounded channels, and over a pair of sockets, which is what
/// processes would use.
fn hops() -> Result<(Spread, Spread), Box<dyn Error>> {
    let (there, hears) = sync_channel::<u64>(64);
    let (back, answers) = sync_channel::<u64>(64);
    let echo = std::thread::spawn(move || while hears.recv().is_ok_and(|n| back.send(n).is_ok()) {});
    let mut channel = Vec::new();
    for n in 0..HOPS as u64 {
        let begun = Instant::now();
        there.send(n)?;
        answers.recv()?;
        channel.push(begun.elapsed().as_secs_f64() * 1e6);
    }
    drop(there);
    let _ = echo.join();
    let (mut near, mut far) = UnixStream::pair()?;
    let echo = std::thread::spawn(move || {
        let mut message = [0; 256];
        while far.read_exact(&mut message).is_ok() && far.write_all(&message).is_ok() {}
    });
    let (mut sockets, mut message) = (Vec::new(), [7; 256]);
    for _ in 0..HOPS {
        let begun = Instant::now();
        near.write_all(&message)?;
        near.read_exact(&mut message)?;
        sockets.push(begun.elapsed().as_secs_f64() * 1e6);
    }
    drop(near);
    let _ = echo.join();
    Ok((Spread::of(&channel), Spread::of(&sockets)))
}

/// Kilobytes that a gatekeeper's process holds for itself alone, and shares with others of the same program.
fn held(program: &Path) -> Result<(f64, f64), Box<dyn Error>> {
    let folder = tempfile::tempdir()?;
    let servers = (0..SERVERS).map(|n| (n, CAPACITY)).collect();
    let world = World::open(Plan { fronts: vec![0], servers, classes: classes(), seed: 1 })?;
    let mut started = Program::start(program, folder.path(), &world, 0, "")?;
    started.serving()?;
    let rollup = std::fs::read_to_string(format!("/proc/{}/smaps_rollup", started.child.id()))?;
    let field = |name: &str| -> f64 {
        let line = rollup.lines().find_map(|l| l.strip_prefix(name));
        line.and_then(|l| l.trim().trim_end_matches(" kB").parse().ok()).unwrap_or(f64::NAN)
    };
    let own = field("Private_Clean:") + field("Private_Dirty:");
    Ok((own, field("Rss:") - own))
}

const PAGE: &str = r#"# Measurement: several workers, before they are built

Written by `hollypaddle-measure cores --runs {{ runs }}`. docs/CORES.md weighs the ways by it.

## How good decisions stay

Six gatekeepers and three session servers at 25 calls a second, whole gatekeepers on sockets against stand-ins in skipped
time, {{ lasts }} s after {{ warm }} s of warm-up; callers do not dial again. With 2 or 4 workers each gatekeeper's
traffic is divided among so many modules that share nothing, each told that the fleet has so many more fronts. With 1
there is one module for all of a gatekeeper. Medians of {{ runs }} runs with the least and the most.

| load | modules a gatekeeper | service | valve-set | worst 10 s | set-ups turned away as full |
| --- | --- | --- | --- | --- | --- |
{% for l in lines -%}
| {{ (l.load * 100)|round|int }}% | {{ l.workers }} | {{ pc(l.service) }} | {{ pc(l.valve) }} | {{ pc(l.worst) }} | {{ pc(l.refused) }} |
{% endfor %}
## What a hop between workers takes

{{ hops }} round trips, two threads on this machine, nothing else to do: over bounded channels {{ us(channel) }} us, over a pair
of Unix-domain sockets with messages of 256 bytes, as between processes, {{ us(sockets) }} us (median, least and most).
A message that finds its owner elsewhere pays half of that, once each way.

## What a process holds

An idle gatekeeper's process holds {{ own|round }} kB for itself alone and {{ shared|round }} kB that it shares with others
of the same program.
"#;

/// What the choice in docs/CORES.md rests on, where it does not hold.
fn against(lines: &[Line], channel: &Spread, sockets: &Spread, own: f64) -> Vec<String> {
    let mut against = Vec::new();
    for load in [0.72, 1.15] {
        let of =
            |workers| lines.iter().find(|l| l.load == load && l.workers == workers).map(|l| l.service.median);
        if let (Some(one), Some(two)) = (of(1), of(2)) {
            if two < one - 0.03 {
                against.push(format!("at {load}, two modules keep what one keeps: {two:.3} of {one:.3}"));
            }
        }
    }
    if sockets.median > 3.0 * channel.median {
        against.push(format!(
            "sockets are as fast as channels: {:.1}, {:.1} us",
            sockets.median, channel.median
        ));
    }
    if own.is_nan() || own > 6.0 * 1024.0 {
        against.push(format!("four processes fit 32 MB: {own:.0} kB each"));
    }
    against
}

/// Measures and writes the page; returns what the choice rests on and does not hold.
pub fn measure(runs: u64, program: &Path, out: &Path) -> Result<Vec<String>, Box<dyn Error>> {
    let mut lines = Vec::new();
    for load in [0.72, 1.15] {
        for workers in [1, 2, 4] {
            let all = std::thread::scope(|scope| {
                let start = |seed| scope.spawn(move || run(load, workers, seed).map_err(|e| e.to_string()));
                let threads: Vec<_> = (1..=runs).map(start).collect();
                let joined = threads.into_iter().map(|t| t.join().unwrap_or(Err("a run panicked".into())));
                joined.collect::<Result<Vec<Run>, String>>()
            })?;
            let spread = |of: fn(&Run) -> f64| Spread::of(&all.iter().map(of).collect::<Vec<f64>>());
            let (service, valve) = (spread(|r| r.service), spread(|r| r.valve));
            println!("load {load}, {workers} modules: service {:.3}", service.median);
            let (worst, refused) = (spread(|r| r.worst), spread(|r| r.refused));
            lines.push(Line { load, workers, service, valve, worst, refused });
        }
    }
    let (channel, sockets) = hops()?;
    let (own, shared) = held(program)?;
    let mut env = Environment::new();
    env.add_function("pc", |v: minijinja::Value| crate::crossings::percent(&v));
    env.add_function("us", |v: minijinja::Value| crate::crossings::number(&v));
    env.add_template("page", PAGE)?;
    let page = env.get_template("page")?.render(context! {
        runs => runs, lasts => LASTS, warm => WARM_UP, lines => lines, hops => HOPS,
        channel => channel, sockets => sockets, own => own, shared => shared,
    })?;
    std::fs::create_dir_all(out)?;
    std::fs::write(out.join("cores.md"), page)?;
    Ok(against(&lines, &channel, &sockets, own))
}
