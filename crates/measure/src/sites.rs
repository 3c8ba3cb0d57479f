//! What it costs that a whole site is lost and comes back: whole gatekeepers against stand-ins in skipped time, three sites
//! with their gatekeepers, servers and callers.

use std::error::Error;
use std::path::Path;

use hollypaddle_standin::world::{classes, Plan};
use minijinja::{context, Environment};
use serde::Serialize;

use crate::stats::Spread;
use hollypaddle_drive::Fleet;

/// Sites, gatekeepers and servers of each, and the calls a second that a server can carry.
const SITES: usize = 3;
const GATEKEEPERS: usize = 2;
const SERVERS: usize = 2;
const CAPACITY: f64 = 25.0;
/// Parts of the capacity of all sites that are offered.
const LOADS: [f64; 3] = [0.72, 0.9, 1.15];
/// From the begin of what is measured: when the site goes, when it is back, and how long it all lasts, in seconds.
const LOST_AT: f64 = 10.0;
const BACK_AT: f64 = 20.0;
const LASTS: f64 = 70.0;
const WARM_UP: f64 = 15.0;
/// Service is back at its level of before when it stays within so much of it, in windows of so many seconds.
const WITHIN: f64 = 0.02;
const WINDOW: f64 = 5.0;

/// What is lost of the first site.
#[derive(Clone, Copy, PartialEq)]
enum Loss {
    Nothing,
    /// All of it: callers go to gatekeepers of other sites and ask for their own site's servers.
    Site,
    Servers,
    HalfOfItsServers,
    Gatekeepers,
}

const LOSSES: [Loss; 5] =
    [Loss::Nothing, Loss::Site, Loss::Servers, Loss::HalfOfItsServers, Loss::Gatekeepers];

impl Loss {
    fn name(self) -> &'static str {
        match self {
            Loss::Nothing => "nothing",
            Loss::Site => "the site",
            Loss::Servers => "its servers",
            Loss::HalfOfItsServers => "half of its servers",
            Loss::Gatekeepers => "its gatekeepers",
        }
    }

    fn servers(self) -> usize {
        match self {
            Loss::Site | Loss::Servers => SERVERS,
            Loss::HalfOfItsServers => SERVERS / 2,
            _ => 0,
        }
    }

    fn gatekeepers(self) -> usize {
        if matches!(self, Loss::Site | Loss::Gatekeepers) {
            GATEKEEPERS
        } else {
            0
        }
    }
}

/// What a run brought.
#[derive(Clone, Copy)]
struct Run {
    /// Of ordinary and of urgent calls, over all and while the site is away.
    service: [f64; 2],
    away: [f64; 2],
    worst: f64,
    /// The most that a cold server was sent in a second, 1 pushes it over.
    cold: f64,
    /// Seconds from the return until service is back.
    back: f64,
    /// Set-ups that stood for nobody.
    wasted: f64,
}

#[derive(Serialize)]
struct Line {
    loss: &'static str,
    load: f64,
    service: [Spread; 2],
    away: [Spread; 2],
    worst: Spread,
    cold: Spread,
    back: Spread,
    wasted: Spread,
}

/// Gatekeeper `n` stands at site `n % SITES`, and so does server `n`.
fn run(loss: Loss, load: f64, seed: u64) -> Result<Run, Box<dyn Error>> {
    let fronts: Vec<usize> = (0..SITES * GATEKEEPERS).map(|n| n % SITES).collect();
    let servers = (0..SITES * SERVERS).map(|n| (n % SITES, CAPACITY)).collect();
    let folder = tempfile::tempdir()?;
    let path = folder.path().join("hollypaddle.conf");
    let links = hollypaddle_standin::free_addresses(fronts.len())?;
    std::fs::write(&path, hollypaddle_standin::fleet_block(&links, ""))?;
    let mut fleet = Fleet::open(Plan { fronts: fronts.clone(), servers, classes: classes(), seed }, &path)?;
    fleet.world.servers.iter_mut().for_each(|server| server.ends_anywhere = true);
    let rate = (SITES * SERVERS) as f64 * CAPACITY * load / fronts.len() as f64;
    let mut away = 0;
    let traffic = |fleet: &mut Fleet, seconds: f64, away: usize| -> Result<(), Box<dyn Error>> {
        const STEP: f64 = 0.005;
        // Callers of a site whose gatekeepers are gone go to the others, and go on asking for their own servers.
        let here: Vec<usize> = (0..fronts.len()).filter(|n| n % SITES != 0 || n / SITES >= away).collect();
        let displaced = (fronts.len() - here.len()) as f64 / here.len() as f64;
        for _ in 0..(seconds / STEP).round() as usize {
            for &front in &here {
                let (now, site) = (fleet.now + STEP, front % SITES);
                fleet.world.traffic(now, front, rate * (1.0 + displaced), |a, b| {
                    let home = if a < displaced / (1.0 + displaced) { 0 } else { site };
                    (home + SITES * (b * SERVERS as f64) as usize) as u32
                });
            }
            fleet.step(STEP)?;
        }
        Ok(())
    };
    // One that has just started passes on the end of any call.
    fleet.idle(121.0)?;
    traffic(&mut fleet, WARM_UP, away)?;
    let (begun, sent) = (fleet.now, fleet.forwards());
    traffic(&mut fleet, LOST_AT, away)?;
    let now = fleet.now;
    (0..loss.servers()).for_each(|n| fleet.world.lose(n * SITES, now));
    (0..loss.gatekeepers()).for_each(|n| fleet.kill(n * SITES));
    away = loss.gatekeepers();
    traffic(&mut fleet, BACK_AT - LOST_AT, away)?;
    let now = fleet.now;
    (0..loss.servers()).try_for_each(|n| fleet.world.revive(n * SITES, now))?;
    (0..loss.gatekeepers()).try_for_each(|n| {
        fleet.world.rest(n * SITES);
        fleet.start(n * SITES)
    })?;
    traffic(&mut fleet, LASTS - BACK_AT, 0)?;
    let (ended, forwards) = (fleet.now, fleet.forwards() - sent);
    fleet.idle(4.0)?;
    let of = |class, from: f64, to: f64| fleet.world.service(class, from, to).unwrap_or(f64::NAN);
    let both = |from, to| [of(Some("meter-read"), from, to), of(Some("valve-set"), from, to)];
    let window = |at: f64| of(None, begun + at, begun + at + WINDOW);
    let before = of(None, begun, begun + LOST_AT);
    let seconds: Vec<f64> = (0..(LASTS - WINDOW) as usize).map(|s| s as f64).collect();
    let last_low = seconds.iter().rev().find(|s| **s >= BACK_AT - WINDOW && window(**s) < before - WITHIN);
    let stood = fleet.world.callers.iter().flat_map(|c| c.calls.values());
    let stood = stood.filter(|c| c.stood.is_some_and(|at| at >= begun && at < ended)).count();
    let loads = fleet.world.servers.iter().flat_map(|s| s.cold_load.values());
    Ok(Run {
        service: both(begun, ended),
        away: both(begun + LOST_AT, begun + BACK_AT),
        worst: seconds.iter().map(|s| of(None, begun + s, begun + s + 10.0)).fold(f64::NAN, f64::min),
        cold: loads.map(|(sent, can)| f64::from(*sent) / (3.0 * can)).fold(0.0, f64::max),
        back: last_low.map_or(0.0, |s| (s + WINDOW - BACK_AT).max(0.0)),
        wasted: (forwards as f64 - stood as f64).max(0.0),
    })
}

fn line(loss: Loss, load: f64, runs: u64) -> Result<Line, Box<dyn Error>> {
    let all = std::thread::scope(|scope| {
        let start = |seed| scope.spawn(move || run(loss, load, seed).map_err(|e| e.to_string()));
        let threads: Vec<_> = (1..=runs).map(start).collect();
        let joined = threads.into_iter().map(|t| t.join().unwrap_or(Err("a run panicked".into())));
        joined.collect::<Result<Vec<Run>, String>>()
    })?;
    let spread = |of: &dyn Fn(&Run) -> f64| Spread::of(&all.iter().map(of).collect::<Vec<f64>>());
    let line = Line {
        loss: loss.name(),
        load,
        service: [0, 1].map(|class| spread(&|r| r.service[class])),
        away: [0, 1].map(|class| spread(&|r| r.away[class])),
        worst: spread(&|r| r.worst),
        cold: spread(&|r| r.cold),
        back: spread(&|r| r.back),
        wasted: spread(&|r| r.wasted),
    };
    println!(
        "{:20} {:.2} service {:.3} {:.3} away {:.3} {:.3} worst {:.3} cold {:.2} back {:4.0} s wasted {:.0}",
        line.loss,
        load,
        line.service[0].median,
        line.service[1].median,
        line.away[0].median,
        line.away[1].median,
        line.worst.median,
        line.cold.median,
        line.back.median,
        line.wasted.median
    );
    Ok(line)
}

const PAGE: &str = r#"# Measurement: loss of a whole site

Written by `hollypaddle-measure sites --runs {{ runs }}`. {{ machine }}

Three sites of two gatekeepers and two servers of 25 calls a second each, 12 to 24 ms apart, all gatekeepers in one fleet.
At 10 s something of the first site goes by SIGKILL, at 20 s it is back, its servers cold. Callers of a site without
gatekeepers go to those of the others and ask for their own servers. Medians of {{ runs }} runs, with the least and the most.
*Away* is service while it is gone; *worst* the worst 10 s of all; *cold* the most that a cold server was sent in a second,
1 pushes it over; *back* the seconds from the return until 5 s of service are within 2 points of that before.

| lost | load | meter-read | valve-set | away: meter-read | away: valve-set | worst | cold | back, s | wasted |
| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |
{% for l in lines -%}
| {{ l.loss }} | {{ (100 * l.load)|round|int }}% | {{ pc(l.service[0]) }} | {{ pc(l.service[1]) }} | {{ pc(l.away[0]) }} | {{ pc(l.away[1]) }} | {{ pc(l.worst) }} | {{ l.cold.most|round(2) }} | {{ number(l.back) }} | {{ number(l.wasted) }} |
{% endfor %}
"#;

/// Measures, writes the page, and returns what does not hold.
pub fn measure(runs: u64, out: &Path) -> Result<Vec<String>, Box<dyn Error>> {
    let mut lines = Vec::new();
    for load in LOADS {
        for loss in LOSSES {
            lines.push(line(loss, load, runs)?);
        }
    }
    let mut env = Environment::new();
    env.add_function("pc", |v: minijinja::Value| crate::crossings::percent(&v));
    env.add_function("number", |v: minijinja::Value| crate::crossings::number(&v));
    env.add_template("page", PAGE)?;
    let page = env.get_template("page")?.render(context! {
        runs => runs, lines => lines, machine => crate::crossings::machine(),
    })?;
    std::fs::create_dir_all(out)?;
    std::fs::write(out.join("sites.md"), page)?;
    let over = lines.iter().filter(|l| l.cold.most >= 1.0);
    Ok(over.map(|l| format!("no cold server is pushed over: {} at {}", l.loss, l.load)).collect())
}
