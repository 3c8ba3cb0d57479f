//! Duties of a fleet: how long nobody holds one, what that costs in words, and what hashing alone would do.

use std::error::Error;
use std::path::Path;

use hollypaddle_duties::{Duties, Settings};
use hollypaddle_faults::duties::{duty, id, Plan, World, STEP};
use hollypaddle_membership::{view, Incarnation};
use minijinja::{context, Environment};
use serde::Serialize;

use crate::stats::Spread;

const GROUPS: [usize; 3] = [3, 8, 50];
/// One way between two members, in seconds.
const WAY: f64 = 0.02;
/// How long a split lasts, in seconds.
const SPLIT: f64 = 10.0;

#[derive(Serialize)]
struct Line {
    members: usize,
    /// Words a second with one duty held, all members together.
    words: Spread,
    /// Without a holder: handed on, in round trips; after a death, in terms; after a restart of all, in seconds.
    planned: Spread,
    unplanned: Spread,
    restart: Spread,
    /// Seconds of two holders at once in a split in two: by leases, and by hashing alone.
    doubled: Spread,
    hashing: Spread,
}

fn settled(members: usize, seed: u64) -> World {
    let mut world = World::new(Plan { delay: WAY, ..Plan::of(members) }, seed);
    world.pass(6.0);
    world.gaps.clear();
    world
}

fn gap(world: &World) -> f64 {
    world.gaps.first().map_or(f64::INFINITY, |(_, from, to)| to - from)
}

/// Seconds in which two hold a duty by rendezvous hashing among those that each holds to live: who is cut off counts as
/// living until membership says that it is gone.
fn hashing(members: usize) -> f64 {
    let (some, others) = sides(members);
    let life = Incarnation { number: 1, nonce: 1 };
    let ids: Vec<_> = (0..members).map(id).collect();
    let all: Vec<Duties> =
        ids.iter().map(|own| Duties::new(0.0, *own, life, Settings::default(), &ids)).collect();
    let (mut doubled, mut at) = (0.0, 0.0);
    while at < SPLIT {
        let apart = at >= view::Settings::default().gone_after_s;
        let lives = |a: usize, b: usize| !apart || some.contains(&a) == some.contains(&b);
        let holds = |n: &usize| {
            let living = (0..members).filter(|m| lives(*n, *m)).map(id);
            all[*n].is_owner(duty(0).key(), living)
        };
        let count = some.iter().chain(&others).filter(|n| holds(n)).count();
        doubled += if count > 1 { STEP } else { 0.0 };
        at += STEP;
    }
    doubled
}

fn sides(members: usize) -> (Vec<usize>, Vec<usize>) {
    let more = members / 2 + 1;
    ((0..more).collect(), (more..members).collect())
}

fn line(members: usize, runs: u64) -> Line {
    let key = duty(0).key();
    let spread = |of: &dyn Fn(u64) -> f64| Spread::of(&(0..runs).map(of).collect::<Vec<f64>>());
    let holder = |world: &World| world.holders(key).first().copied().unwrap_or(0);
    let words = |seed| {
        let mut world = settled(members, seed);
        let before = world.words;
        world.pass(10.0);
        (world.words - before) as f64 / 10.0
    };
    let planned = |seed| {
        let mut world = settled(members, seed);
        let from = holder(&world);
        if let Some((duties, local)) = world.duties(from) {
            duties.hand_over(local, key, Some(id((from + 1) % members)));
        }
        world.pass(3.0);
        gap(&world) / (2.0 * WAY)
    };
    let unplanned = |seed| {
        let mut world = settled(members, seed);
        let from = holder(&world);
        world.kill(from);
        world.pass(6.0);
        gap(&world) / world.plan.settings.term
    };
    let restart = |seed| {
        let mut world = settled(members, seed);
        (0..members).for_each(|n| world.kill(n));
        (0..members).for_each(|n| world.start(n));
        world.pass(8.0);
        gap(&world)
    };
    let doubled = |seed| {
        let mut world = settled(members, seed);
        let (some, others) = sides(members);
        world.split(&some, &others);
        world.pass(SPLIT);
        world.broken.len() as f64 * STEP
    };
    let line = Line {
        members,
        words: spread(&words),
        planned: spread(&planned),
        unplanned: spread(&unplanned),
        restart: spread(&restart),
        doubled: spread(&doubled),
        hashing: spread(&|_| hashing(members)),
    };
    println!(
        "{members:3} members: {:.0} words/s, planned {:.2} round trips, unplanned {:.2} terms, restart of all {:.2} s, two \
         holders {:.1} s, by hashing {:.1} s",
        line.words.median,
        line.planned.most,
        line.unplanned.most,
        line.restart.most,
        line.doubled.most,
        line.hashing.median
    );
    line
}

const PAGE: &str = r#"# Measurement: duties of a fleet

Written by `hollypaddle-measure duties --runs {{ runs }}`. {{ machine }}

Members in skipped time, 20 ms one way, clocks an hour off and up to a hundredth apart in pace, one exclusive duty, terms of
2 s. Medians of {{ runs }} runs, with the least and the most. *Planned* is the time without a holder when the duty is handed
on, in round trips; *unplanned* the same after the holder's death, in terms; *restart* after a restart of all members at once.
*Two holders* is how long two held it in a split of 10 s in two parts, by leases and by rendezvous hashing alone.

| members | words a second | planned, round trips | unplanned, terms | restart, s | two holders, s | by hashing, s |
| --- | --- | --- | --- | --- | --- | --- |
{% for l in lines -%}
| {{ l.members }} | {{ number(l.words) }} | {{ two(l.planned) }} | {{ two(l.unplanned) }} | {{ two(l.restart) }} | {{ two(l.doubled) }} | {{ two(l.hashing) }} |
{% endfor %}
"#;

/// Measures, writes the page, and returns what does not hold.
pub fn measure(runs: u64, out: &Path) -> Result<Vec<String>, Box<dyn Error>> {
    let lines: Vec<Line> = GROUPS.iter().map(|members| line(*members, runs)).collect();
    let mut env = Environment::new();
    env.add_function("number", |v: minijinja::Value| crate::crossings::number(&v));
    env.add_function("two", |v: minijinja::Value| two(&v));
    env.add_template("page", PAGE)?;
    let page = env.get_template("page")?.render(context! {
        runs => runs, lines => lines, machine => crate::crossings::machine(),
    })?;
    std::fs::create_dir_all(out)?;
    std::fs::write(out.join("duties.md"), page)?;
    let mut failures = Vec::new();
    for l in &lines {
        let n = l.members;
        let mut must = |holds: bool, what: &str| {
            if !holds {
                failures.push(format!("{n} members: {what}"));
            }
        };
        must(l.planned.most < 2.0, "a duty is handed on within two round trips");
        must(l.unplanned.most < 1.5, "a dead holder is followed within one and a half terms");
        must(l.doubled.most == 0.0, "two never hold a duty at once");
        must(l.hashing.least > l.doubled.most, "leases keep apart what hashing alone doubles");
    }
    Ok(failures)
}

/// A figure with two places, its least and its most.
fn two(value: &minijinja::Value) -> String {
    let of = |name: &str| value.get_attr(name).ok().and_then(|v| f64::try_from(v).ok()).unwrap_or(f64::NAN);
    format!("{:.2} ({:.2} to {:.2})", of("median"), of("least"), of("most"))
}
