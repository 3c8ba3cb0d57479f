//! What the control of a fleet costs each gatekeeper as it is today, every member linked to every other: real processes
//! of the program against stand-in callers and servers, by members and by calls a second. And how long a change of
//! configuration takes to be in force at the last of them.

use std::collections::BTreeMap;
use std::error::Error;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::Duration;

use hollypaddle::ctl;
use hollypaddle::node::control::Query;
use hollypaddle_replica::record::KINDS;
use hollypaddle_standin::program::{unix_time, Program};
use hollypaddle_standin::world::{classes, Plan, World};
use hollypaddle_standin::{fleet_block, free_addresses};
use minijinja::{context, Environment};
use serde::{Deserialize, Serialize};

use super::fit::{fit, short, Slope, FEWEST};
use crate::scale;
use crate::stats::Spread;

/// Members of the fleets that are run; one is a gatekeeper without a fleet.
pub const SIZES: [usize; 8] = [1, 2, 4, 8, 12, 16, 32, 64];
/// Calls a second at each member.
const RATES: [f64; 4] = [0.0, 1.0, 10.0, 50.0];
/// Calls a second at all members together beyond which a case is not run: the stand-ins share the machine.
const MOST_CALLS: f64 = 1_600.0;
/// Seconds for which a fleet stands before it is measured; a new rate is offered so long before; a stretch lasts.
const SETTLES: f64 = 2.0;
const WARM_UP: f64 = 3.0;
const STRETCH: f64 = 4.0;
/// Mean time that a call stands, in seconds: shorter than a deployment's, so that ends are as many as starts soon.
const HOLD: f64 = 2.0;
const SERVERS: usize = 3;
/// Bytes of the headers of a segment: IPv4, TCP, and its time stamps. Nothing below IP is counted.
const HEADERS: f64 = 52.0;
/// Calls a second at each member where a budget of the fleet is lent, and what it allows each to send abroad. Callers of
/// every second member want two in three of their calls abroad, the others' all stay at home.
const LENDS_AT: f64 = 10.0;
const LENDS: f64 = 4.0;
/// A case counts where at least so much of what was offered stood.
const STOOD: f64 = 0.9;
/// Fleets in which changes are timed, and changes of each.
const CHANGED: [usize; 3] = [8, 16, 32];
const CHANGES: usize = 10;
/// Seconds that are skipped in the deterministic world.
const WORLD_FOR: f64 = 5.0;
/// All must be ready, or have taken a change, within so long.
const PATIENCE: f64 = 30.0;
/// The size for which all is worked out.
pub const TARGET: f64 = 750.0;
/// Measured elsewhere, on real processes at rest: members, bytes a second of each with packet headers.
const SEEN: [(usize, f64); 6] =
    [(2, 2_848.0), (4, 6_585.0), (8, 17_314.0), (16, 52_473.0), (32, 151_589.0), (64, 463_144.0)];

/// What one case came to, a second and a gatekeeper.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Case {
    /// Members; one is no fleet.
    members: usize,
    /// Calls a second offered at each.
    rate: f64,
    /// With a budget of the fleet.
    lends: bool,
    /// Calls a second that stood at each.
    stood: f64,
    /// Bytes of words, by what they say.
    said: BTreeMap<String, f64>,
    /// Bytes of words.
    words: f64,
    /// Segments sent on the links, those that only acknowledge among them.
    segments: f64,
    /// Share of a core.
    core: f64,
    /// Resident memory in MB, the largest.
    memory: f64,
    /// Descriptors, the most.
    descriptors: usize,
}

impl Case {
    fn bytes(&self) -> f64 {
        self.words + HEADERS * self.segments
    }

    fn is(&self, rate: f64, lends: bool) -> bool {
        self.rate == rate && self.lends == lends
    }

    /// Whether what was offered stood, so that it tells something of its rate.
    fn carried(&self) -> bool {
        self.stood >= STOOD * self.rate
    }
}

/// How long a change takes until it is in force.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Change {
    members: usize,
    /// Seconds from the first file's writing until the first and the last member say that they have read it.
    first: Spread,
    last: Spread,
}

/// What all runs so far came to, as it is kept beside the page: a machine that is shared is held by one size at a time.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
struct Kept {
    cases: Vec<Case>,
    changes: Vec<Change>,
    /// What a reader must know of how these runs were made; written by whoever made them.
    #[serde(default)]
    notes: Vec<String>,
}

/// A fleet of processes.
struct Group {
    folder: tempfile::TempDir,
    world: World,
    programs: Vec<Program>,
    links: Vec<SocketAddr>,
    conf: String,
    /// It has a budget that members lend each other.
    lends: bool,
}

/// When a process was asked, and the bytes it had said so far, by what they say.
type Said = (f64, BTreeMap<String, f64>);

/// What is read of all processes at one time.
struct Reading {
    /// By process.
    said: Vec<Said>,
    core: Vec<(f64, f64)>,
    segments: (f64, u64),
    stood: (f64, usize),
}

impl Group {
    fn start(program: &Path, members: usize, lends: bool) -> Result<Group, Box<dyn Error>> {
        let mut classes = classes();
        classes.iter_mut().for_each(|class| class.hold = HOLD);
        // Twice what is offered at most, so that the servers hold nothing up.
        let capacity = (members as f64 * 50.0 * 2.0 / SERVERS as f64).max(40.0);
        let servers = (0..SERVERS).map(|s| (s, capacity)).collect();
        let fronts = (0..members).map(|n| n % 3).collect();
        let mut world = World::open(Plan { fronts, servers, classes, seed: 7 })?;
        let links = free_addresses(members)?;
        let mut conf = if members > 1 { fleet_block(&links, "") } else { String::new() };
        if lends {
            let rate = LENDS * members as f64;
            conf += &format!("crossings {{\n budget all {{\n  rate {rate}/s burst {rate} fleet\n }}\n}}\n");
        }
        let folder = tempfile::tempdir()?;
        let mut programs = Vec::new();
        for n in 0..members {
            let conf = format!("control {}\n{conf}", folder.path().join(format!("n{n}.sock")).display());
            programs.push(Program::start(program, folder.path(), &world, n, &conf)?);
        }
        let mut listen = Vec::new();
        for started in &mut programs {
            listen.push(started.serving()?);
        }
        world.connect(&listen);
        let mut group = Group { folder, world, programs, links, conf, lends };
        // The log leaves lines out where there are many at once, so it is asked for.
        let since = unix_time();
        while members > 1
            && !(0..members).map(|n| group.is_ready(n)).collect::<Result<Vec<bool>, _>>()?.iter().all(|r| *r)
        {
            if unix_time() - since > PATIENCE {
                return Err(
                    format!("{members} gatekeepers did not all hear each other in {PATIENCE} s").into()
                );
            }
            group.pass(0.2, 0.0);
        }
        Ok(group)
    }

    /// Whether a member has caught up and holds all others to be alive.
    fn is_ready(&self, n: usize) -> Result<bool, Box<dyn Error>> {
        let told = ctl::query(&self.socket(n), &Query::Members {})?;
        let rows = told["members"].as_array().map_or(&[][..], Vec::as_slice);
        let alive = rows.iter().filter(|row| row["state"] == "alive").count();
        Ok(told["ready"] == true && alive + 1 >= self.programs.len())
    }

    fn turn(&mut self, rate: f64) {
        let now = unix_time();
        if rate > 0.0 {
            for n in 0..self.programs.len() {
                let home = self.lends && n % 2 == 1;
                let choice = |a: f64, _| if home { n % SERVERS } else { (a * SERVERS as f64) as usize };
                self.world.traffic(now, n, rate, |a, b| choice(a, b) as u32);
            }
        }
        self.world.turn(now);
        self.programs.iter_mut().for_each(Program::take_lines);
        std::thread::sleep(Duration::from_millis(1));
    }

    fn pass(&mut self, seconds: f64, rate: f64) {
        let end = unix_time() + seconds;
        while unix_time() < end {
            self.turn(rate);
        }
    }

    fn wait(&mut self, holds: impl Fn(&Program) -> bool) -> Result<(), Box<dyn Error>> {
        let since = unix_time();
        while !self.programs.iter().all(&holds) {
            if unix_time() - since > PATIENCE {
                return Err(
                    format!("{} gatekeepers were not ready in {PATIENCE} s", self.programs.len()).into()
                );
            }
            self.turn(0.0);
        }
        Ok(())
    }

    fn socket(&self, n: usize) -> PathBuf {
        self.folder.path().join(format!("n{n}.sock"))
    }

    /// Bytes said by a process so far, by what they say.
    fn said(&self, n: usize) -> Result<BTreeMap<String, f64>, Box<dyn Error>> {
        if self.programs.len() == 1 {
            return Ok(BTreeMap::new());
        }
        let told = ctl::query(&self.socket(n), &Query::Replica {})?;
        let words = told["links"]["split"].as_object().into_iter().flatten();
        let records = told["records_said"].as_object().into_iter().flatten();
        let all = words.chain(records).filter_map(|(name, bytes)| Some((name.clone(), bytes.as_f64()?)));
        let all: BTreeMap<String, f64> = all.collect();
        let (sum, bytes) = (all.values().sum::<f64>(), told["links"]["bytes"].as_f64());
        match bytes == Some(sum) {
            true => Ok(all),
            false => Err(format!("the parts are {sum} bytes, all that was said {bytes:?}").into()),
        }
    }

    /// Segments sent on the links by all processes, as the system counts them.
    fn segments(&self) -> Result<u64, Box<dyn Error>> {
        let out = Command::new("ss").args(["-tinHO"]).output()?;
        let port = |address: &str| address.rsplit_once(':').and_then(|(_, port)| port.parse::<u16>().ok());
        let of_links = |line: &&str| {
            let mut addresses = line.split_whitespace().skip(3).take(2);
            addresses.any(|a| port(a).is_some_and(|port| self.links.iter().any(|l| l.port() == port)))
        };
        let count = |line: &str| {
            line.split_whitespace()
                .find_map(|w| w.strip_prefix("segs_out:")?.parse::<u64>().ok())
                .unwrap_or(0)
        };
        let text = String::from_utf8_lossy(&out.stdout);
        Ok(text.lines().filter(of_links).map(count).sum())
    }

    fn core(&self) -> Result<Vec<(f64, f64)>, Box<dyn Error>> {
        self.programs.iter().map(|p| Ok((unix_time(), processor(p)?))).collect()
    }

    fn all_said(&self) -> Result<Vec<Said>, Box<dyn Error>> {
        (0..self.programs.len()).map(|n| Ok((unix_time(), self.said(n)?))).collect()
    }

    fn stood(&self) -> (f64, usize) {
        let calls = self.world.callers.iter().flat_map(|c| c.calls.values());
        (unix_time(), calls.filter(|c| c.stood.is_some()).count())
    }

    /// One stretch. What is asked of the processes is no part of the time for which their processors are looked at.
    fn case(&mut self, rate: f64) -> Result<Case, Box<dyn Error>> {
        let lends = self.lends;
        self.pass(if rate > 0.0 { WARM_UP } else { SETTLES }, rate);
        let said = self.all_said()?;
        // What came meanwhile is made up for before the processors are looked at.
        self.pass(0.3, rate);
        let (stood, segments) = (self.stood(), (unix_time(), self.segments()?));
        let before = Reading { said, core: self.core()?, segments, stood };
        self.pass(STRETCH, rate);
        let core = self.core()?;
        let (segments, stood) = ((unix_time(), self.segments()?), self.stood());
        let after = Reading { said: self.all_said()?, core, segments, stood };
        let members = self.programs.len() as f64;
        let mut said: BTreeMap<String, f64> = BTreeMap::new();
        for ((then, old), (now, new)) in before.said.iter().zip(&after.said) {
            for (name, bytes) in new {
                let more = bytes - old.get(name).copied().unwrap_or(0.0);
                *said.entry(name.clone()).or_default() += more / (now - then) / members;
            }
        }
        let core =
            before.core.iter().zip(&after.core).map(|((then, old), (now, new))| (new - old) / (now - then));
        let segments =
            (after.segments.1 as f64 - before.segments.1 as f64) / (after.segments.0 - before.segments.0);
        let stood = (after.stood.1 as f64 - before.stood.1 as f64) / (after.stood.0 - before.stood.0);
        let most = |of: fn(&Program) -> Result<f64, Box<dyn Error>>| {
            let all = self.programs.iter().map(of).collect::<Result<Vec<f64>, _>>();
            all.map(|all| all.into_iter().fold(0.0, f64::max))
        };
        let case = Case {
            members: self.programs.len(),
            rate,
            lends,
            stood: stood / members,
            words: said.values().sum(),
            said,
            segments: segments / members,
            core: core.sum::<f64>() / members,
            memory: most(resident)?,
            descriptors: most(descriptors)? as usize,
        };
        println!(
            "{:2} members, {:2} calls/s{}: {:.0} bytes/s ({:.0} of words, {:.0} segments), {:.2}% of a core, {:.1} MB, {} \
             descriptors, {:.1} stood; {:.0?}",
            case.members,
            case.rate,
            if lends { ", budget" } else { "" },
            case.bytes(),
            case.words,
            case.segments,
            100.0 * case.core,
            case.memory,
            case.descriptors,
            case.stood,
            case.said
        );
        Ok(case)
    }

    /// Writes the configuration anew, in its `n`th form, sends SIGHUP to all, and waits until all have read it; returns
    /// how long the first and the last took.
    fn change(&mut self, n: usize) -> Result<(f64, f64), Box<dyn Error>> {
        let reads = |p: &Program| p.log.iter().filter(|line| line["event"] == "configuration-read").count();
        let before = self.programs.iter().map(reads).max().unwrap_or(0);
        let begun = unix_time();
        let records = format!("records {}\n", 100_000 + n);
        let conf = self.conf.replacen("fleet {\n", &format!("fleet {{\n{records}"), 1);
        for front in 0..self.programs.len() {
            let conf = format!("control {}\n{conf}", self.socket(front).display());
            // In one step, so that nobody reads half a file.
            let (new, old) =
                (self.folder.path().join("new"), self.folder.path().join(format!("n{front}.conf")));
            std::fs::write(&new, conf)?;
            std::fs::rename(&new, &old)?;
        }
        let ids: Vec<String> = self.programs.iter().map(|p| p.child.id().to_string()).collect();
        if !Command::new("kill").arg("-HUP").args(ids).status()?.success() {
            return Err("a process has gone".into());
        }
        self.wait(|p| reads(p) > before)?;
        let took = self.programs.iter().filter_map(|p| {
            let read = p.log.iter().rev().find(|line| line["event"] == "configuration-read")?;
            Some(read["time"].as_f64()? - begun)
        });
        let took: Vec<f64> = took.collect();
        if took.len() < self.programs.len() {
            return Err("a log has no time".into());
        }
        Ok((took.iter().copied().fold(f64::INFINITY, f64::min), took.iter().copied().fold(0.0, f64::max)))
    }
}

/// Processor time that all threads of a process have taken, in seconds.
fn processor(program: &Program) -> Result<f64, Box<dyn Error>> {
    let mut sum = 0.0;
    for task in std::fs::read_dir(format!("/proc/{}/task", program.child.id()))? {
        let text = std::fs::read_to_string(task?.path().join("schedstat"))?;
        sum += text.split_whitespace().next().ok_or("no schedstat")?.parse::<f64>()? / 1e9;
    }
    Ok(sum)
}

/// Resident memory of a process, in MB.
fn resident(program: &Program) -> Result<f64, Box<dyn Error>> {
    let text = std::fs::read_to_string(format!("/proc/{}/status", program.child.id()))?;
    let line = text.lines().find_map(|l| l.strip_prefix("VmRSS:")).ok_or("no VmRSS")?;
    Ok(line.trim().trim_end_matches("kB").trim().parse::<f64>()? / 1024.0)
}

fn descriptors(program: &Program) -> Result<f64, Box<dyn Error>> {
    Ok(std::fs::read_dir(format!("/proc/{}/fd", program.child.id()))?.count() as f64)
}

fn changes(program: &Path, members: usize) -> Result<Change, Box<dyn Error>> {
    let mut group = Group::start(program, members, false)?;
    group.pass(SETTLES, 0.0);
    let mut took = Vec::new();
    for n in 1..=CHANGES {
        took.push(group.change(n)?);
        group.pass(0.3, 0.0);
    }
    let spread = |of: fn(&(f64, f64)) -> f64| Spread::of(&took.iter().map(of).collect::<Vec<f64>>());
    let change = Change { members, first: spread(|t| t.0), last: spread(|t| t.1) };
    println!("{members} members: a change is in force at the first and the last after {took:.4?} s");
    Ok(change)
}

/// What is allowed for control, as the operators say: bytes a second, share of a core, memory in MB.
const ALLOWED_BYTES: f64 = 8_000.0;
const ALLOWED_CORE: f64 = 0.02;
const ALLOWED_MEMORY: f64 = 32.0;
/// A slope counts as found where what is left over is at most so much of what was measured, in the mean.
const RESIDUAL: f64 = 0.15;

/// One slope, as the page tells it.
#[derive(Serialize)]
struct Row {
    what: String,
    rate: f64,
    form: String,
    base: f64,
    /// None where the slope is a sum.
    coefficient: Option<f64>,
    residual: f64,
    least: usize,
    largest: usize,
    sizes: usize,
    at_target: f64,
    allowed: Option<f64>,
    factor: Option<f64>,
    /// The least number of members that are not allowed: by the slope, and of those that were run.
    passed: Option<usize>,
    passed_in_runs: Option<usize>,
}

/// Fits a figure by members, at a number of calls a second.
fn row(what: &str, rate: f64, allowed: Option<f64>, points: &[(f64, f64)]) -> Option<Row> {
    // Of too few sizes there is no slope.
    let slope = fit(points).ok()?;
    let form = (slope.form.to_string(), slope.offset, Some(slope.coefficient), slope.residual);
    row_of(what, rate, allowed, points, form, &|n| slope.at(n))
}

/// A figure that is a sum, by the slopes of its parts: they grow in different forms, and no one form is the sum's.
fn sum_row(
    what: &str,
    rate: f64,
    allowed: Option<f64>,
    points: &[(f64, f64)],
    parts: &[Slope],
) -> Option<Row> {
    let at = |n: f64| parts.iter().map(|slope| slope.at(n)).sum::<f64>();
    let count = points.len() as f64;
    let squares = points.iter().map(|(n, value)| (value - at(*n)).powi(2)).sum::<f64>();
    let mean = points.iter().map(|p| p.1).sum::<f64>() / count;
    // As a slope of one form has it, with two figures that were free.
    let residual = (squares / (count - 2.0)).sqrt() / mean;
    let form = ("the sum of its parts' slopes".to_string(), at(0.0), None, residual);
    row_of(what, rate, allowed, points, form, &at)
}

fn row_of(
    what: &str,
    rate: f64,
    allowed: Option<f64>,
    points: &[(f64, f64)],
    (form, base, coefficient, residual): (String, f64, Option<f64>, f64),
    at: &dyn Fn(f64) -> f64,
) -> Option<Row> {
    let members = points.iter().map(|p| p.0 as usize);
    let over = |allowed: f64| points.iter().filter(|p| p.1 > allowed).map(|p| p.0 as usize).min();
    Some(Row {
        what: what.into(),
        rate,
        form,
        base,
        coefficient,
        residual,
        least: members.clone().min()?,
        largest: members.clone().max()?,
        sizes: members.count(),
        at_target: at(TARGET),
        allowed,
        factor: allowed.map(|allowed| at(TARGET) / allowed),
        passed: allowed.and_then(|allowed| (2..=TARGET as usize).find(|n| at(*n as f64) > allowed)),
        passed_in_runs: allowed.and_then(over),
    })
}

/// All bytes, as if they grew in one form.
const IN_ONE_FORM: &str = "bytes/s, headers counted, in one form";

/// The slopes of all that was measured without a budget.
fn rows(cases: &[Case]) -> Vec<Row> {
    let mut rows = Vec::new();
    for rate in RATES {
        let alone = cases.iter().find(|c| c.members == 1 && c.is(rate, false));
        let (core, memory) = alone.map_or((f64::NAN, f64::NAN), |c| (c.core, c.memory));
        let open = alone.map_or(f64::NAN, |c| c.descriptors as f64);
        let all: Vec<&Case> =
            cases.iter().filter(|c| c.members > 1 && c.is(rate, false) && c.carried()).collect();
        let points = |of: &dyn Fn(&Case) -> f64| -> Vec<(f64, f64)> {
            all.iter().map(|c| (c.members as f64, of(c))).collect()
        };
        let (bytes, headers) = (points(&Case::bytes), points(&|c| HEADERS * c.segments));
        let mut parts = vec![headers.clone()];
        let told = all.iter().flat_map(|c| c.said.keys());
        let names: std::collections::BTreeSet<&String> = told.collect();
        for name in names {
            let points = points(&|c| c.said.get(name).copied().unwrap_or(0.0));
            if points.iter().any(|p| p.1 >= 1.0) {
                rows.extend(row(&format!("bytes/s, {name}"), rate, None, &points));
            }
            parts.push(points);
        }
        rows.extend(row("bytes/s of headers", rate, None, &headers));
        let slopes: Vec<Slope> = parts.iter().filter_map(|points| fit(points).ok()).collect();
        let words = points(&|c| c.words);
        // The first are the headers'.
        if let [_, of_words @ ..] = slopes.as_slice() {
            rows.extend(sum_row("bytes/s of words", rate, None, &words, of_words));
            rows.extend(sum_row("bytes/s, headers counted", rate, Some(ALLOWED_BYTES), &bytes, &slopes));
        }
        rows.extend(row(IN_ONE_FORM, rate, None, &bytes));
        rows.extend(row(
            "share of a core, more than alone",
            rate,
            Some(ALLOWED_CORE),
            &points(&|c| c.core - core),
        ));
        rows.extend(row("MB, more than alone", rate, Some(ALLOWED_MEMORY), &points(&|c| c.memory - memory)));
        rows.extend(row(
            "descriptors, more than alone",
            rate,
            None,
            &points(&|c| c.descriptors as f64 - open),
        ));
    }
    rows
}

/// What was not run, and why.
fn left_out(cases: &[Case]) -> Vec<String> {
    let all = SIZES.into_iter().flat_map(|n| RATES.map(|rate| (n, rate)));
    let lacks = all.filter(|(n, rate)| !cases.iter().any(|c| c.members == *n && c.is(*rate, false)));
    let lacks = lacks.map(|(n, rate)| match n as f64 * rate > MOST_CALLS {
            true => format!(
                "{n} members at {rate:.0} calls a second: {:.0} in all are too many for one machine beside the stand-ins",
                n as f64 * rate
            ),
            false => format!("{n} members at {rate:.0} calls a second: not run"),
    });
    let short = cases.iter().filter(|c| !c.carried()).map(|c| {
        let (n, rate, stood) = (c.members, c.rate, c.stood);
        format!("{n} members at {rate:.0} calls a second: run, and only {stood:.1} stood; it is in no slope")
    });
    lacks.chain(short).collect()
}

const PAGE: &str = r#"# Measurement: what control costs today

Written by `hollypaddle-measure size --part control`. {{ machine }} All processes and the stand-ins share it.

Real processes of the program, all members linked to all, a block `fleet` with nothing but its members, beats at their usual pace;
stand-in callers, three servers and resolvers in another process. A stretch is {{ stretch }} s after {{ warm_up }} s at its rate ({{ settles }} s
at rest); calls stand for {{ hold }} s in the mean. Each case was run once. The program counts the bytes of what it says by what they say, and the
measurement ends with an error where the parts are not the whole; segments are the system's count for the sockets of the links (`ss`),
acknowledgements among them, and each counts as {{ headers|int }} bytes of IPv4 and TCP. One member is a gatekeeper without a fleet. All a second and
a gatekeeper, the mean over all; memory and descriptors are the most of any.

{% for n in notes -%}
- {{ n }}
{% endfor %}
| members | calls/s | stood/s | bytes/s | of words | segments/s | core | MB | descriptors |
| --- | --- | --- | --- | --- | --- | --- | --- | --- |
{% for c in cases -%}
| {{ c.members }} | {{ c.rate|int }}{{ ", a budget" if c.lends }} | {{ c.stood|round(1) }} | {{ c.bytes|round|int }} | {{ c.words|round|int }} | {{ c.segments|round|int }} | {{ (100 * c.core)|round(2) }}% | {{ c.memory|round(1) }} | {{ c.descriptors }} |
{% endfor %}
Not run, or left out of the slopes:

{% for l in left_out -%}
- {{ l }}
{% endfor %}
## What is said

Bytes a second of words. *Sights* are what a beat says of others; *beats*, *pieces* are without what is told apart here; of the kinds of record
those are shown that were told: `server` and `silent` of servers, `call` of calls (starts and ends), `want` and `lent` of budgets. With *a
budget* the fleet may send {{ lends }} calls a second abroad for each member; of the {{ lends_at }} of every second one two in three want to go there, and the
others' none, so that these lend.

| members | calls/s |{% for k in kinds %} {{ k }} |{% endfor %}
| --- | --- |{% for k in kinds %} --- |{% endfor %}
{% for c in cases if c.members > 1 -%}
| {{ c.members }} | {{ c.rate|int }}{{ ", a budget" if c.lends }} |{% for k in kinds %} {{ (c.said[k] or 0)|round|int }} |{% endfor %}
{% endfor %}
## Slopes

*base + coefficient x form(n)*, n the members. The residual is the standard error of the fit, as a part of the mean. **What stands
under 750 is an extrapolation: no more than the largest size told was run.** *Over* is that by what the operators allow ({{ allowed_bytes|int }} bytes/s,
{{ (100 * allowed_core)|int }}% of a core, {{ allowed_memory|int }} MB), *from* the least members that pass it, by the slope and of the sizes run. Bytes are a sum of parts that grow in different forms, so that the sum of the parts' slopes counts;
the one form that fits all best is shown beside it, and says too little where the steepest part is still small in what was run. The same holds for the
share of a core, of which there are no parts: what its one form says at {{ target|int }} is no more than an order.

| what | calls/s | form | base | coefficient | residual | sizes run | at 750, extrapolated | over | from, by the slope | from, of those run |
| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |
{% for r in rows -%}
| {{ r.what }} | {{ r.rate|int }} | {{ r.form }} | {{ figure(r.base) }} | {{ figure(r.coefficient) if r.coefficient is not none else "" }} | {{ (100 * r.residual)|round(1) }}% | {{ r.sizes }}, {{ r.least }} to {{ r.largest }} | {{ figure(r.at_target) }} | {{ (figure(r.factor) ~ "x") if r.factor is not none else "" }} | {{ r.passed if r.passed is not none else "" }} | {{ r.passed_in_runs if r.passed_in_runs is not none else "" }} |
{% endfor %}
## Against what was seen before

At rest, bytes a second with headers: measured from outside on the program as it was landed, and here.

| members | from outside | here | here over that |
| --- | --- | --- | --- |
{% for s in seen -%}
| {{ s[0] }} | {{ s[1]|int }} | {{ s[2]|round|int }} | {{ (s[2] / s[1])|round(2) }} |
{% endfor %}
In the deterministic world, words alone, {{ world_for }} s:

| members | at rest, bytes/s | at 2 calls/s, bytes/s |
| --- | --- | --- |
{% for w in world -%}
| {{ w[0] }} | {{ w[1]|round|int }} | {{ w[2]|round|int }} |
{% endfor %}
{% for r in world_rows -%}
- {{ r.what }}: {{ r.form }}, base {{ figure(r.base) }}, coefficient {{ figure(r.coefficient) }}, residual {{ (100 * r.residual)|round(1) }}%, {{ r.least }} to {{ r.largest }} members; at 750, extrapolated, {{ figure(r.at_target) }}
{% endfor %}
## A change

One hand writes the own configuration of each process anew, one after the other, and then sends SIGHUP to all; {{ changes_of }} changes, at rest. Seconds from
the first byte written to the line `configuration-read` of the first and the last.

| members | first: median (least to most) | last: median (least to most) |
| --- | --- | --- |
{% for c in changes -%}
| {{ c.members }} | {{ c.first.median|round(4) }} ({{ c.first.least|round(4) }} to {{ c.first.most|round(4) }}) | {{ c.last.median|round(4) }} ({{ c.last.least|round(4) }} to {{ c.last.most|round(4) }}) |
{% endfor %}
What files and SIGHUP cannot give: all this is on one machine, and whoever carries files to {{ target|int }} machines is no part of it and not measured; there is no
version, so nobody can say which change a member has; no member says that it has taken or refused one but in its own log; one that is away, cut off
or starts later gets it only from whoever writes its file; two hands may write at once, and the members then differ without knowing; a member that is
paused takes it when it wakes.

## What must hold

{% for h in held -%}
- {{ h }}
{% endfor %}"#;

/// What must hold, each with its figures, and whether it does.
fn holds(rows: &[Row]) -> Vec<(String, bool)> {
    let counted = |r: &&Row| r.what.starts_with("bytes/s, headers counted") || r.what == "bytes/s of words";
    let of = |r: &Row| {
        let text = format!(
            "{}, {:.0} calls a second: the slope leaves at most {:.0}% over: {:.1}%",
            r.what,
            r.rate,
            100.0 * RESIDUAL,
            100.0 * r.residual
        );
        (text, r.residual <= RESIDUAL)
    };
    let mut held: Vec<(String, bool)> = rows.iter().filter(counted).map(of).collect();
    let few = rows.iter().map(|r| r.sizes).min().unwrap_or(0);
    held.push((format!("every slope is of five sizes or more: {few}"), few >= 5));
    held
}

fn kept(path: &Path) -> Result<Kept, Box<dyn Error>> {
    match std::fs::read_to_string(path) {
        Ok(text) => Ok(serde_json::from_str(&text)?),
        Err(error) if error.kind() == std::io::ErrorKind::NotFound => Ok(Kept::default()),
        Err(error) => Err(error.into()),
    }
}

/// Runs fleets of some sizes, each anew, and keeps what they came to in place of what was kept of these sizes.
fn run(program: &Path, sizes: &[usize], path: &Path) -> Result<Kept, Box<dyn Error>> {
    for &members in sizes.iter().filter(|n| **n > 0) {
        let mut cases = Vec::new();
        let mut group = Group::start(program, members, false)?;
        for rate in RATES.into_iter().filter(|rate| members as f64 * rate <= MOST_CALLS) {
            cases.push(group.case(rate)?);
        }
        drop(group);
        if members > 1 {
            cases.push(Group::start(program, members, true)?.case(LENDS_AT)?);
        }
        let change = CHANGED.contains(&members).then(|| changes(program, members)).transpose()?;
        let mut all = kept(path)?;
        all.cases.retain(|c| c.members != members);
        all.cases.extend(cases);
        all.cases
            .sort_by(|a, b| (a.members, a.lends).cmp(&(b.members, b.lends)).then(a.rate.total_cmp(&b.rate)));
        all.changes.retain(|c| c.members != members);
        all.changes.extend(change);
        all.changes.sort_by_key(|c| c.members);
        std::fs::write(path, serde_json::to_string_pretty(&all)?)?;
    }
    kept(path)
}

/// Measures fleets of these sizes, writes the page of all sizes measured so far, and returns what does not hold.
pub fn measure(program: &Path, out: &Path, sizes: &[usize]) -> Result<Vec<String>, Box<dyn Error>> {
    std::fs::create_dir_all(out)?;
    let kept = run(program, sizes, &out.join("size-control.json"))?;
    let fleets = SIZES.into_iter().filter(|n| *n > 1 && kept.cases.iter().any(|c| c.members == *n)).count();
    if fleets < FEWEST {
        println!("no page yet: {fleets} sizes were run, and a slope takes {FEWEST}");
        return Ok(Vec::new());
    }
    let worlds: Vec<(usize, f64, f64)> = SIZES
        .into_iter()
        .filter(|n| *n > 1)
        .map(|n| (n, scale::said(n, 0.0, WORLD_FOR), scale::said(n, 2.0, WORLD_FOR)))
        .collect();
    let points = |of: fn(&(usize, f64, f64)) -> f64| -> Vec<(f64, f64)> {
        worlds.iter().map(|w| (w.0 as f64, of(w))).collect()
    };
    let world_rows: Vec<Row> = [
        row("bytes/s of words, at rest", 0.0, None, &points(|w| w.1)),
        row("bytes/s of words, at 2 calls a second", 2.0, None, &points(|w| w.2)),
    ]
    .into_iter()
    .flatten()
    .collect();
    let rows = rows(&kept.cases);
    let seen: Vec<(usize, f64, f64)> = SEEN
        .into_iter()
        .filter_map(|(n, bytes)| {
            let here = kept.cases.iter().find(|c| c.members == n && c.is(0.0, false))?;
            Some((n, bytes, here.bytes()))
        })
        .collect();
    let words = ["greetings", "beats", "sights", "digests", "asks", "pieces"];
    let told = |kind: &&str| kept.cases.iter().any(|c| c.said.get(*kind).is_some_and(|bytes| *bytes >= 1.0));
    let kinds: Vec<&str> = words.into_iter().chain(KINDS).filter(told).collect();
    let cases: Vec<serde_json::Value> = kept
        .cases
        .iter()
        .map(|c| {
            let mut case = serde_json::to_value(c)?;
            case["bytes"] = c.bytes().into();
            Ok(case)
        })
        .collect::<Result<_, serde_json::Error>>()?;
    let all = holds(&rows);
    let held: Vec<String> = all
        .iter()
        .map(|(text, holds)| format!("{}: {text}", if *holds { "holds" } else { "**does not hold**" }))
        .collect();
    let mut env = Environment::new();
    env.add_function("figure", short);
    env.add_template("page", PAGE)?;
    let page = env.get_template("page")?.render(context! {
        machine => super::machine(), stretch => STRETCH, warm_up => WARM_UP, settles => SETTLES, hold => HOLD,
        headers => HEADERS, cases => cases, left_out => left_out(&kept.cases), lends => LENDS, lends_at => LENDS_AT,
        kinds => kinds, rows => rows, seen => seen, world => worlds, world_for => WORLD_FOR, world_rows => world_rows,
        notes => kept.notes, allowed_bytes => ALLOWED_BYTES, allowed_core => ALLOWED_CORE, allowed_memory => ALLOWED_MEMORY,
        changes => kept.changes, changes_of => CHANGES, target => TARGET, held => held,
    })?;
    std::fs::write(out.join("size-control.md"), page)?;
    Ok(all.into_iter().filter(|(_, holds)| !holds).map(|(text, _)| text).collect())
}

#[cfg(test)]
mod tests;
