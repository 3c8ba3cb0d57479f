//! What it costs that a gatekeeper which comes back knows nothing, and what replication gives back of that: whole
//! gatekeepers against stand-ins in skipped time.

use std::error::Error;
use std::path::Path;

use hollypaddle_standin::server::What;
use hollypaddle_standin::world::{classes, Plan};
use minijinja::{context, Environment};
use serde::Serialize;

use crate::delays::{self, Cost};
use crate::scale::{self, Copies, Known};
use crate::stats::Spread;
use hollypaddle_drive::Fleet;

/// Gatekeepers, servers with the calls a second that each can carry, and the part of that which is offered.
const GATEKEEPERS: usize = 8;
const SERVERS: usize = 3;
const CAPACITY: f64 = 25.0;
const LOAD: f64 = 0.85;
const OVERLOAD: f64 = 1.15;
/// When the servers' trouble and the gatekeepers' come, from the begin of what is measured, and how long it lasts.
const LONG: f64 = 121.0;
const WARM_UP: f64 = 15.0;
const TROUBLE_AT: f64 = 5.0;
const LOST_AT: f64 = 6.0;
const LASTS: f64 = 45.0;
/// A call's end has to reach its caller within so many seconds.
const END_WITHIN: f64 = 1.0;

/// What happens to gatekeepers.
#[derive(Clone, Copy, PartialEq)]
enum Loss {
    None,
    /// One is killed and is back after so many seconds.
    One(f64),
    /// Seven in ten are killed at once and are back after a second.
    Most,
    /// Each in turn, one a second, back after a second.
    Rolling,
}

/// What happens to a server a second before.
#[derive(Clone, Copy, PartialEq)]
enum Trouble {
    None,
    /// It falls silent for 20 s, and no list says so.
    Silent,
    /// Another process takes its place, cold.
    Cold,
    /// Two are replaced at once, cold, at 115% of the load.
    TwoCold,
    /// It drains, and the resolver falls silent for 6 s in the moment of the loss.
    Drain,
}

impl Loss {
    fn name(self) -> String {
        match self {
            Loss::None => "nobody".into(),
            Loss::One(after) if after > LASTS => "one for good".into(),
            Loss::One(after) => format!("one, back after {after:.0} s"),
            Loss::Most => "seven in ten, back after 1 s".into(),
            Loss::Rolling => "each in turn".into(),
        }
    }

    /// Who goes when, and for how long.
    fn plan(self) -> Vec<(usize, f64, f64)> {
        match self {
            Loss::None => Vec::new(),
            Loss::One(after) => vec![(0, LOST_AT, after)],
            Loss::Most => (0..GATEKEEPERS * 7 / 10 + 1).map(|n| (n, LOST_AT, 1.0)).collect(),
            Loss::Rolling => (0..GATEKEEPERS).map(|n| (n, LOST_AT + n as f64, 1.0)).collect(),
        }
    }
}

impl Trouble {
    fn name(self) -> &'static str {
        match self {
            Trouble::None => "none",
            Trouble::Silent => "one falls silent",
            Trouble::Cold => "one replaced, cold",
            Trouble::TwoCold => "two replaced, cold, 115%",
            Trouble::Drain => "one drains, resolver silent",
        }
    }
}

/// What a day brought.
#[derive(Clone, Copy)]
struct Run {
    service: f64,
    worst: f64,
    late_ends: f64,
    wasted: f64,
    cold: f64,
}

/// The figures of one day over several runs.
#[derive(Serialize)]
struct Line {
    loss: String,
    trouble: &'static str,
    on: bool,
    service: Spread,
    worst: Spread,
    late_ends: Spread,
    wasted: Spread,
    cold: Spread,
}

fn run(loss: Loss, trouble: Trouble, on: bool, seed: u64) -> Result<Run, Box<dyn Error>> {
    let servers = (0..SERVERS).map(|n| (n, CAPACITY)).collect();
    let fronts = (0..GATEKEEPERS).map(|n| n % SERVERS).collect();
    let folder = tempfile::tempdir()?;
    let path = folder.path().join("hollypaddle.conf");
    let addresses = hollypaddle_standin::free_addresses(if on { GATEKEEPERS } else { 0 })?;
    std::fs::write(&path, if on { hollypaddle_standin::fleet_block(&addresses, "") } else { String::new() })?;
    let mut fleet = Fleet::open(Plan { fronts, servers, classes: classes(), seed }, &path)?;
    fleet.world.servers.iter_mut().for_each(|server| server.ends_anywhere = true);
    let load = if trouble == Trouble::TwoCold { OVERLOAD } else { LOAD };
    let rate = SERVERS as f64 * CAPACITY * load / GATEKEEPERS as f64;
    let choice = |_: usize, a: f64, _: f64| (a * SERVERS as f64) as u32;
    // A gatekeeper that has just started passes on the end of any call; these have been there for long.
    fleet.idle(LONG)?;
    fleet.run(WARM_UP, rate, choice)?;
    let (begun, before) = (fleet.now, fleet.forwards());
    // What is to be done when, by time.
    let mut steps: Vec<(f64, usize, bool)> = Vec::new();
    for (front, at, back) in loss.plan() {
        steps.extend([(at, front, false), (at + back, front, true)]);
    }
    steps.sort_by(|a, b| a.0.total_cmp(&b.0));
    let mut marks: Vec<f64> = steps.iter().map(|s| s.0).collect();
    marks.extend([TROUBLE_AT, LOST_AT, LOST_AT + 6.0, TROUBLE_AT + 20.0]);
    marks.sort_by(f64::total_cmp);
    for mark in marks {
        let ahead = mark - (fleet.now - begun);
        if mark > LASTS {
            break;
        }
        if ahead > 0.0 {
            fleet.run(ahead, rate, choice)?;
        }
        let now = fleet.now;
        if mark == TROUBLE_AT {
            match trouble {
                Trouble::None => {}
                Trouble::Silent => fleet.world.servers[0].silent = true,
                Trouble::Cold => fleet.world.replace(0, now),
                Trouble::TwoCold => (0..2).for_each(|n| fleet.world.replace(n, now)),
                Trouble::Drain => fleet.world.drain(0, true),
            }
        }
        if trouble == Trouble::Drain {
            fleet.world.resolvers_silent((LOST_AT..LOST_AT + 6.0).contains(&mark));
        }
        if mark == TROUBLE_AT + 20.0 {
            fleet.world.servers[0].silent = false;
        }
        while let Some((_, front, back)) = steps.first().copied().filter(|s| s.0 <= mark) {
            steps.remove(0);
            match back {
                false => fleet.kill(front),
                true => fleet.start(front)?,
            }
        }
    }
    fleet.run(LASTS - (fleet.now - begun), rate, choice)?;
    let ended = fleet.now;
    let silent = (trouble == Trouble::Silent).then_some((begun + TROUBLE_AT, begun + TROUBLE_AT + 20.0));
    let forwards = fleet.forwards() - before;
    fleet.run(4.0, 0.001, choice)?;
    let service = |from, to| fleet.world.service(None, from, to).unwrap_or(f64::NAN);
    let worst = (0..(LASTS - 9.0) as usize).map(|s| service(begun + s as f64, begun + s as f64 + 10.0));
    Ok(Run {
        service: service(begun, ended),
        worst: worst.fold(f64::NAN, f64::min),
        late_ends: late_ends(&fleet, begun, silent) as f64,
        wasted: forwards as f64 - stood(&fleet, begun, ended) as f64,
        cold: cold_load(&fleet),
    })
}

/// Ends that a server told of calls that had stood for their callers, and that the caller heard late or never;
/// but for those of a silent server, which could tell none.
fn late_ends(fleet: &Fleet, from: f64, silent: Option<(f64, f64)>) -> usize {
    let ended = fleet.world.servers.iter().flat_map(|s| &s.seen).filter(|s| s.what == What::Ended);
    let late = |seen: &&hollypaddle_standin::server::Seen| {
        let call = fleet.world.callers.iter().find_map(|c| c.calls.get(&seen.call));
        let heard = call.and_then(|c| c.end).is_some_and(|(at, _)| at - seen.at <= END_WITHIN);
        call.is_some_and(|c| c.stood.is_some()) && !heard
    };
    let told = |s: &&hollypaddle_standin::server::Seen| silent.is_none_or(|(a, b)| s.at < a || s.at > b);
    let ended = ended.filter(told);
    ended.filter(|s| s.at >= from && s.at <= fleet.now - END_WITHIN).filter(late).count()
}

fn stood(fleet: &Fleet, from: f64, to: f64) -> usize {
    let calls = fleet.world.callers.iter().flat_map(|c| c.calls.values());
    calls.filter(|c| c.stood.is_some_and(|at| at >= from && at < to)).count()
}

/// The most set-ups that a cold server was sent in a second, over what pushes it over.
fn cold_load(fleet: &Fleet) -> f64 {
    let loads = fleet.world.servers.iter().flat_map(|s| s.cold_load.values());
    loads.map(|(sent, can)| f64::from(*sent) / (3.0 * can)).fold(0.0, f64::max)
}

fn line(loss: Loss, trouble: Trouble, on: bool, runs: u64) -> Result<Line, Box<dyn Error>> {
    let all = std::thread::scope(|scope| {
        let start = |seed| scope.spawn(move || run(loss, trouble, on, seed).map_err(|e| e.to_string()));
        let threads: Vec<_> = (1..=runs).map(start).collect();
        let joined = threads.into_iter().map(|t| t.join().unwrap_or(Err("a run panicked".into())));
        joined.collect::<Result<Vec<Run>, String>>()
    })?;
    let spread = |of: fn(&Run) -> f64| Spread::of(&all.iter().map(of).collect::<Vec<f64>>());
    let line = Line {
        loss: loss.name(),
        trouble: trouble.name(),
        on,
        service: spread(|r| r.service),
        worst: spread(|r| r.worst),
        late_ends: spread(|r| r.late_ends),
        wasted: spread(|r| r.wasted),
        cold: spread(|r| r.cold),
    };
    println!(
        "{:32} {:28} {} service {:.3} worst {:.3} late ends {:5.1} wasted {:6.1} cold {:.2}",
        line.loss,
        line.trouble,
        if on { "on " } else { "off" },
        line.service.median,
        line.worst.median,
        line.late_ends.median,
        line.wasted.median,
        line.cold.median
    );
    Ok(line)
}

const PAGE: &str = r#"# Measurement: replication among gatekeepers

Written by `hollypaddle-measure replication --runs {{ runs }}`. {{ machine }}

## What it gives back

Eight whole gatekeepers and three stand-in servers of 25 calls a second each, in skipped time, at 85% of that (115% where
told), {{ lasts }} s after a warm-up, on gatekeepers that have been up for two minutes. The server's trouble comes at
5 s, the gatekeepers are killed at 6 s and come back with nothing but their name and address. Medians of {{ runs }} runs,
with the least and the most of what is compared. *Late ends* are ends of calls that a server told and the caller heard more than 1 s later or
never; *wasted* are set-ups that stood for nobody; *cold* is the most that a cold server was sent in a second, 1.00
pushes it over.

| server | gatekeepers lost | replication | service | worst 10 s | late ends | wasted | cold |
| --- | --- | --- | --- | --- | --- | --- | --- |
{% for l in lines -%}
| {{ l.trouble }} | {{ l.loss }} | {{ "on" if l.on else "off" }} | {{ pc(l.service) }} | {{ pc(l.worst) }} | {{ number(l.late_ends) }} | {{ number(l.wasted) }} | {{ l.cold.median|round(2) }} |
{% endfor %}
![late ends and wasted set-ups](replication.svg)

## What a set-up pays for it

The program as a process, others beside it, between a caller and a server that answers at once, 400 set-ups a second, one
out at a time, with and without by turns. Medians over runs with the least and the most; ratios are medians over
neighbouring stretches, while one catches up to the same without a fleet and with as many calls standing.

| | p50, us | p99, us | p50, ratio | p99, ratio |
| --- | --- | --- | --- | --- |
| no fleet | {{ number(cost.off[0]) }} | {{ number(cost.off[1]) }} | | |
| links to two others | {{ number(cost.on[0]) }} | {{ number(cost.on[1]) }} | {{ cost.on_ratio[0]|round(3) }} | {{ cost.on_ratio[1]|round(3) }} |
| while one of {{ many }} catches up with {{ standing }} calls | {{ number(cost.catching_up[0]) }} | {{ number(cost.catching_up[1]) }} | {{ cost.catching_up_ratio[0]|round(3) }} | {{ cost.catching_up_ratio[1]|round(3) }} |

A set-up takes {{ cost.cpu[0].median|round }} us of the gatekeeper's processor time without a fleet and
{{ cost.cpu[1].median|round }} us with links.

That one said that it had caught up {{ cost.caught_up|round(2) }} s after its start, at the default rate of 4 MiB/s. Each record takes
{{ cost.record|round }} bytes of its memory. An idle process holds {{ cost.idle_kb[0]|round }} kB without a fleet and
{{ cost.idle_kb[1]|round }} kB in one.

## Who is alive

In the deterministic world, all members linked to all, 2 ms one way. Seconds until all others hold one to be gone, bytes a
second that a member says with nothing else to tell, and how often somebody alive was held to be gone in a minute at 20%
loss of beats, or of all datagrams.

| way | members | killed, s | paused, s | bytes/s | false deaths |
| --- | --- | --- | --- | --- | --- |
{% for k in known -%}
| {{ k.way }} | {{ k.members }} | {{ k.killed|round(2) }} | {{ k.paused|round(2) }} | {{ k.bytes|round }} | {{ k.false_deaths }} |
{% endfor %}
A killed one is noticed sooner by links, as its address refuses them; datagrams tell of no such thing.

## How copies do as the fleet grows

Each member takes two calls a second. *Equal after*: a split in halves for 5 s, from its healing until all copies are equal.

| members | bytes/s a member | equal after, s | one that returns is ready after, s |
| --- | --- | --- | --- |
{% for c in copies -%}
| {{ c.members }} | {{ c.bytes|round }} | {{ c.converges|round(2) }} | {{ c.returns|round(2) }} |
{% endfor %}
## What must hold
{% for h in held %}
- {{ h }}
{%- endfor %}
"#;

/// Late ends and wasted set-ups, off and on, by day.
fn chart(path: &Path, lines: &[Line]) -> Result<(), Box<dyn Error>> {
    use plotters::prelude::*;
    let days: Vec<&Line> = lines.iter().filter(|l| l.on && l.loss != "nobody").collect();
    let off = |on: &Line| lines.iter().find(|l| !l.on && l.loss == on.loss && l.trouble == on.trouble);
    let area = SVGBackend::new(path, (1200, 520)).into_drawing_area();
    area.fill(&WHITE)?;
    let most = lines.iter().map(|l| l.wasted.median.max(l.late_ends.median)).fold(1.0, f64::max);
    let mut chart = ChartBuilder::on(&area)
        .caption(
            "Late ends and wasted set-ups a day, without and with replication (medians)",
            ("sans-serif", 18),
        )
        .margin(12)
        .x_label_area_size(70)
        .y_label_area_size(52)
        .build_cartesian_2d(0.0..days.len() as f64, 0.0..most * 1.1)?;
    let label = |x: &f64| {
        let day = days.get(*x as usize).filter(|_| (x.fract() - 0.5).abs() < 0.01);
        day.map_or(String::new(), |l| format!("{}/{}", l.loss.split(',').next().unwrap_or(""), l.trouble))
    };
    chart
        .configure_mesh()
        .disable_x_mesh()
        .x_labels(2 * days.len() + 1)
        .x_label_formatter(&label)
        .x_label_style(("sans-serif", 8))
        .y_desc("calls a day")
        .draw()?;
    type Of = fn(&Line) -> f64;
    let (late, wasted): (Of, Of) = (|l| l.late_ends.median, |l| l.wasted.median);
    let series: [(&str, RGBColor, Of, bool); 4] = [
        ("late ends, off", RGBColor(200, 90, 60), late, false),
        ("late ends, on", RGBColor(240, 190, 170), late, true),
        ("wasted, off", RGBColor(70, 120, 180), wasted, false),
        ("wasted, on", RGBColor(170, 200, 230), wasted, true),
    ];
    for (n, (name, colour, of, on)) in series.into_iter().enumerate() {
        let bars = days.iter().enumerate().filter_map(|(at, day)| {
            let value = if on { of(day) } else { of(off(day)?) };
            let left = at as f64 + 0.08 + 0.21 * n as f64;
            Some(Rectangle::new([(left, 0.0), (left + 0.19, value)], colour.filled()))
        });
        chart
            .draw_series(bars)?
            .label(name)
            .legend(move |(x, y)| Rectangle::new([(x, y - 5), (x + 12, y + 5)], colour.filled()));
    }
    chart.configure_series_labels().background_style(WHITE.mix(0.85)).border_style(BLACK).draw()?;
    area.present()?;
    Ok(())
}

/// What must hold, each with its figures, and whether it does.
fn holds(lines: &[Line], cost: &Cost, known: &[Known], copies: &[Copies]) -> Vec<(String, bool)> {
    let pair = |trouble: &str, loss: &str| {
        let of = |on| lines.iter().find(|l| l.on == on && l.trouble == trouble && l.loss == loss);
        of(false).zip(of(true))
    };
    let mut held = Vec::new();
    for loss in ["one, back after 10 s", "one for good", "seven in ten, back after 1 s"] {
        if let Some((off, on)) = pair("none", loss) {
            let (a, b) = (off.late_ends.median, on.late_ends.median);
            held.push((format!("{loss}: at most a tenth of the late ends: {b:.1} of {a:.1}"), b <= a / 10.0));
        }
    }
    for loss in ["seven in ten, back after 1 s", "each in turn"] {
        if let Some((off, on)) = pair("one falls silent", loss) {
            let (a, b) = (off.wasted.median, on.wasted.median);
            let text = format!(
                "a silent server, {loss}: at most eight tenths of the wasted set-ups: {b:.0} of {a:.0}"
            );
            held.push((text, b <= 0.8 * a));
        }
    }
    for (off, on) in lines.iter().filter(|l| !l.on).filter_map(|l| pair(l.trouble, &l.loss)) {
        let (a, b) = (off.service.median, on.service.median);
        if b < a - 0.015 {
            held.push((
                format!("{}, {}: service no worse than without: {b:.3} of {a:.3}", off.trouble, off.loss),
                false,
            ));
        }
    }
    let cold = lines.iter().map(|l| l.cold.most).fold(0.0, f64::max);
    held.push((format!("no cold server is pushed over: {cold:.2} of 1"), cold < 1.0));
    for (what, ratio) in [("with links", cost.on_ratio), ("while one catches up", cost.catching_up_ratio)] {
        held.push((
            format!("p50 of a set-up {what} under 1.05 of that without: {:.3}", ratio[0]),
            ratio[0] < 1.05,
        ));
        held.push((
            format!("p99 of a set-up {what} under 1.05 of that without: {:.3}", ratio[1]),
            ratio[1] < 1.05,
        ));
    }
    for k in known.iter().filter(|k| k.way.starts_with("beats")) {
        let text = format!("{} members: no false death at 20% loss: {}", k.members, k.false_deaths);
        held.push((text, k.false_deaths == 0));
        held.push((
            format!("{} members: a killed one is known within 1 s: {:.2}", k.members, k.killed),
            k.killed < 1.0,
        ));
    }
    for c in copies {
        let text =
            format!("{} members: copies are equal within 2 s of the healing: {:.2}", c.members, c.converges);
        held.push((text, c.converges < 2.0));
    }
    held
}

/// Measures, writes page and chart, and returns what does not hold.
pub fn measure(runs: u64, program: &Path, out: &Path) -> Result<Vec<String>, Box<dyn Error>> {
    let cost = delays::measure(runs, program)?;
    let (known, copies) = scale::measure()?;
    let mut lines = Vec::new();
    for trouble in [Trouble::None, Trouble::Silent, Trouble::Cold, Trouble::TwoCold, Trouble::Drain] {
        for loss in
            [Loss::None, Loss::One(1.0), Loss::One(10.0), Loss::One(1000.0), Loss::Most, Loss::Rolling]
        {
            for on in [false, true] {
                lines.push(line(loss, trouble, on, runs)?);
            }
        }
    }
    let all = holds(&lines, &cost, &known, &copies);
    let held: Vec<String> = all
        .iter()
        .map(|(text, holds)| format!("{}: {text}", if *holds { "holds" } else { "**does not hold**" }))
        .collect();
    let mut env = Environment::new();
    env.add_function("pc", |v: minijinja::Value| crate::crossings::percent(&v));
    env.add_function("number", |v: minijinja::Value| crate::crossings::number(&v));
    env.add_template("page", PAGE)?;
    let page = env.get_template("page")?.render(context! {
        runs => runs, lasts => LASTS, lines => lines, cost => cost, known => known, copies => copies, held => held,
        standing => delays::STANDING, many => delays::MANY, machine => crate::crossings::machine(),
    })?;
    std::fs::create_dir_all(out)?;
    std::fs::write(out.join("replication.md"), page)?;
    chart(&out.join("replication.svg"), &lines)?;
    Ok(all.into_iter().filter(|(_, holds)| !holds).map(|(text, _)| text).collect())
}
