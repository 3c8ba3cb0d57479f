//! A tier of five relays in two regions and five zones, real processes, with some gatekeepers as real leaves and hollow
//! ones for the rest: what a relay and a gatekeeper spend for control by leaves, how long a change takes to be in force at
//! all, and what becomes of the leaves when relays, zones and regions fail.

use std::error::Error;
use std::path::{Path, PathBuf};
use std::process::Command;

use clap::ValueEnum;
use hollypaddle_hollow::test_bed::{LeafBytes, ResourceUse, Setup, TestBed};
use hollypaddle_standin::program::unix_time;
use minijinja::{context, Environment};
use serde::{Deserialize, Serialize};

use super::fit::{fit, short};

/// Leaves in all, real and hollow ones.
pub(crate) const SIZES: [usize; 6] = [50, 100, 200, 400, 750, 1500];
/// The size at which all must hold.
const TARGET: usize = 750;
const RELAYS: usize = 5;
const ZONES: usize = 5;
/// Real gatekeepers among the leaves at most, and one in so many at small sizes.
const REAL: usize = 40;
const ONE_IN: usize = 10;
/// Real gatekeepers without a fleet, to compare.
const PLAIN: usize = 4;
/// Processes of hollow leaves, one for each zone.
const PROCESSES: usize = ZONES;
/// Seconds for which a tier stands before it is measured; for which it is measured at rest; of each stretch after a fault.
const SETTLES: f64 = 3.0;
const REST: f64 = 10.0;
const STRETCH: f64 = 10.0;
/// Stretches after a fault.
const STRETCHES: usize = 2;
/// Single changes of the settings, and those of a burst, and the time between two of it.
const SINGLE: usize = 5;
const BURST: usize = 50;
const GAP: f64 = 0.1;
/// What is waited for is given up after this, in seconds.
const PATIENCE: f64 = 30.0;
/// What a process has written to its log is read after so long at most, in seconds.
const READ: f64 = 0.1;
/// Seconds for which all relays are away.
const AWAY: f64 = 5.0;
/// Seconds for which regions are cut from each other.
const CUT: f64 = 10.0;

/// What must hold of a gatekeeper at 750: bytes a second, share of a core, memory in MB, for control.
const BYTES: f64 = 8000.0;
const CORE: f64 = 0.02;
const MEMORY: f64 = 32.0;
/// Seconds until a change is in force at all, and until all leaves are attached again.
const CHANGE: f64 = 4.0;
const HOME: f64 = 5.0;

/// What is wanted of this part.
#[derive(Clone, Debug)]
pub(crate) struct Wanted {
    /// Leaves in all.
    pub(crate) leaves: Vec<usize>,
    /// All where none is told.
    pub(crate) scenes: Vec<Scene>,
    /// The program of relays and gatekeepers.
    pub(crate) program: PathBuf,
    /// The program of hollow leaves.
    pub(crate) hollow: PathBuf,
}

/// What is played, each with processes of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub(crate) enum Scene {
    /// At rest, then single changes of the settings and a burst of them.
    Rest,
    /// A relay is killed.
    RelayKilled,
    /// One is paused.
    RelayPaused,
    /// Both relays of a region are killed at once.
    TwoRelays,
    /// All relays are killed, and started again.
    AllRelays,
    /// All leaves of a zone are killed and started at once.
    Zone,
    /// The relays of the two regions lose each other and find each other again.
    Regions,
}

impl Scene {
    const ALL: [Scene; 7] = [
        Scene::Rest,
        Scene::RelayKilled,
        Scene::RelayPaused,
        Scene::TwoRelays,
        Scene::AllRelays,
        Scene::Zone,
        Scene::Regions,
    ];

    fn name(self) -> String {
        self.to_possible_value().map_or_else(String::new, |value| value.get_name().into())
    }
}

/// A figure over several gatekeepers, relays or leaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
struct Over {
    mean: f64,
    p50: f64,
    p99: f64,
    most: f64,
}

impl Over {
    fn of(mut values: Vec<f64>) -> Over {
        if values.is_empty() {
            return Over::default();
        }
        values.sort_by(f64::total_cmp);
        let at = |part: f64| {
            let index = ((values.len() as f64 * part) as usize).min(values.len().saturating_sub(1));
            values.get(index).copied().unwrap_or(f64::NAN)
        };
        let mean = values.iter().sum::<f64>() / values.len() as f64;
        Over { mean, p50: at(0.5), p99: at(0.99), most: at(1.0) }
    }
}

/// What control costs over a stretch of time, a second.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
struct Cost {
    /// Bytes of hollow leaves, and of real gatekeepers, with the headers of packets.
    hollow: Over,
    gatekeeper: Over,
    /// Share of a core of a real gatekeeper, and of one without a fleet.
    core: Over,
    plain_core: Over,
    /// Memory in MB of the same.
    memory: Over,
    plain_memory: Over,
    /// Bytes, share of a core and memory in MB of a relay.
    relay: Over,
    relay_core: Over,
    relay_memory: Over,
}

impl Cost {
    /// More than a gatekeeper without a fleet.
    fn core_for_control(&self) -> f64 {
        self.core.mean - self.plain_core.mean
    }

    fn memory_for_control(&self) -> f64 {
        self.memory.mean - self.plain_memory.mean
    }

    fn holds(&self, what: &str, held: &mut Vec<(String, bool)>) {
        let bytes = self.hollow.most.max(self.gatekeeper.most);
        held.push((
            format!("{what}: {bytes:.0} bytes/s at the worst leaf, {BYTES:.0} allowed"),
            bytes <= BYTES,
        ));
        let core = self.core_for_control();
        let text =
            format!("{what}: {:.2}% of a core for control, {:.0}% allowed", 100.0 * core, 100.0 * CORE);
        held.push((text, core <= CORE));
        let memory = self.memory_for_control();
        held.push((format!("{what}: {memory:.1} MB for control, {MEMORY:.0} allowed"), memory <= MEMORY));
    }
}

/// At rest, and changes.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Rest {
    leaves: usize,
    gatekeepers: usize,
    cost: Cost,
    /// Leaves that were attached elsewhere while it was measured: those that go home.
    moved: usize,
    /// Most leaves at a relay, and the limit that it told.
    most: usize,
    limit: usize,
    /// Seconds from the proposal of a change until leaves had it in force, over all leaves and changes.
    single: Over,
    burst: Over,
    /// While the burst lasted.
    burst_cost: Cost,
}

/// After a fault.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Fault {
    leaves: usize,
    scene: String,
    /// Seconds from the fault, or from the start of what was away, until all leaves were attached, by a look at all.
    attached: f64,
    /// Of each leaf that attached since: seconds after it.
    moved: Over,
    count: usize,
    most: usize,
    limit: usize,
    cost: Cost,
    /// Seconds until a change after it was in force at all.
    change: f64,
    /// Times that a leaf which runs was held to be gone by another.
    false_deaths: usize,
    /// What else was looked at.
    notes: Vec<String>,
}

/// What all runs so far came to, as it is kept beside the page: a machine that is shared is held by one scene at a time.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
struct Kept {
    rest: Vec<Rest>,
    faults: Vec<Fault>,
}

/// All that is read of the processes at one time.
struct Reading {
    hollow: Vec<LeafBytes>,
    gatekeepers: Vec<ResourceUse>,
    plain: Vec<ResourceUse>,
    relays: Vec<Option<ResourceUse>>,
}

fn read(stage: &mut TestBed) -> Result<Reading, Box<dyn Error>> {
    let real = stage.setup.gatekeepers;
    let relays = stage.relay_indices();
    Ok(Reading {
        hollow: stage.hollow_bytes()?,
        gatekeepers: (0..real).map(|n| stage.resource_use(n)).collect::<Result<_, _>>()?,
        plain: (real..stage.relay_index(0)).map(|n| stage.resource_use(n)).collect::<Result<_, _>>()?,
        relays: relays.map(|n| stage.resource_use(n).ok()).collect(),
    })
}

fn cost(before: &Reading, after: &Reading) -> Cost {
    let mut hollow = Vec::new();
    for ((since, old), (at, new)) in before.hollow.iter().zip(&after.hollow) {
        hollow.extend(new.iter().zip(old).map(|(new, old)| new.saturating_sub(*old) as f64 / (at - since)));
    }
    let over = |old: &[ResourceUse], new: &[ResourceUse], of: fn(&ResourceUse) -> f64| {
        Over::of(old.iter().zip(new).map(|(a, b)| (of(b) - of(a)) / (b.at - a.at)).collect())
    };
    let memory = |all: &[ResourceUse]| Over::of(all.iter().map(|used| used.memory_mb).collect());
    // One that is paused or was killed between is in neither.
    let lived = |(a, b): (&Option<ResourceUse>, &Option<ResourceUse>)| Some(((*a)?, (*b)?));
    let relays: Vec<(ResourceUse, ResourceUse)> = before
        .relays
        .iter()
        .zip(&after.relays)
        .filter_map(lived)
        .filter(|(a, b)| b.bytes > a.bytes)
        .collect();
    let (old, new): (Vec<ResourceUse>, Vec<ResourceUse>) = relays.into_iter().unzip();
    let (gatekeepers, plain) = (&after.gatekeepers, &after.plain);
    Cost {
        hollow: Over::of(hollow),
        gatekeeper: over(&before.gatekeepers, gatekeepers, |used| used.bytes),
        core: over(&before.gatekeepers, gatekeepers, |used| used.cpu_s),
        plain_core: over(&before.plain, plain, |used| used.cpu_s),
        memory: memory(gatekeepers),
        plain_memory: memory(plain),
        relay: over(&old, &new, |used| used.bytes),
        relay_core: over(&old, &new, |used| used.cpu_s),
        relay_memory: memory(&new),
    }
}

/// Most leaves at a relay, and the least limit that a relay which runs tells.
fn fullest(stage: &mut TestBed) -> Result<(usize, usize), Box<dyn Error>> {
    let most = stage.leaves_by_relay()?.iter().filter(|(relay, _)| !relay.is_empty()).map(|(_, n)| *n).max();
    let limits = stage.relay_indices().filter_map(|n| stage.members_report(n)["limit"].as_u64());
    Ok((most.unwrap_or(0), limits.min().unwrap_or(0) as usize))
}

fn start(wanted: &Wanted, leaves: usize, proxies: bool) -> Result<TestBed, Box<dyn Error>> {
    let gatekeepers = (leaves / ONE_IN).min(REAL);
    let hollow = wanted.hollow.clone();
    let mut stage = TestBed::start(Setup {
        program: wanted.program.clone(),
        hollow: Box::new(move |plan| {
            let mut command = Command::new(&hollow);
            command.args(plan.args());
            command
        }),
        relays: RELAYS,
        zones: ZONES,
        gatekeepers,
        plain: PLAIN,
        leaves: leaves - gatekeepers,
        processes: PROCESSES,
        proxies,
    })?;
    stage.run_for(SETTLES);
    Ok(stage)
}

/// Seconds from the proposal of a change until leaves had it in force.
fn delays(stage: &mut TestBed, version: u64, proposed: f64) -> Result<Vec<f64>, Box<dyn Error>> {
    // What a process tells is there before its log is read.
    stage.run_for(READ);
    let took = stage.settings_times(version).into_iter();
    let all: Option<Vec<f64>> = took.map(|at| Some(at? - proposed)).collect();
    all.ok_or_else(|| format!("a leaf says that version {version} is in force, and not since when").into())
}

fn rest(wanted: &Wanted, leaves: usize) -> Result<Rest, Box<dyn Error>> {
    let mut stage = start(wanted, leaves, false)?;
    let (begun, before) = (unix_time(), read(&mut stage)?);
    stage.run_for(REST);
    let cost_at_rest = cost(&before, &read(&mut stage)?);
    let moved = stage.attachment_times(begun).len();
    let (most, limit) = fullest(&mut stage)?;
    let mut single = Vec::new();
    for _ in 0..SINGLE {
        let (version, at) = stage.change_settings()?;
        stage.wait_until("a change to be in force at all", PATIENCE, |s| s.all_have_version(version))?;
        single.extend(delays(&mut stage, version, at)?);
        stage.run_for(0.5);
    }
    let (known, before) = (stage.proposals().len(), read(&mut stage)?);
    for _ in 0..BURST {
        stage.propose_change(0)?;
        stage.run_for(GAP);
    }
    // What is proposed in one moment is one change.
    stage.run_for(1.0);
    let proposed = stage.proposals()[known..].to_vec();
    let (last, _) = *proposed.last().ok_or("no change of the burst was proposed")?;
    stage.wait_until("the last of a burst to be in force at all", PATIENCE, |s| s.all_have_version(last))?;
    let left = (STRETCH - BURST as f64 * GAP - 1.0).max(0.0);
    stage.run_for(left);
    let burst_cost = cost(&before, &read(&mut stage)?);
    let mut burst = Vec::new();
    for (version, at) in &proposed {
        burst.extend(delays(&mut stage, *version, *at)?);
    }
    eprintln!("{leaves} leaves: {} changes of a burst", proposed.len());
    Ok(Rest {
        leaves,
        gatekeepers: stage.setup.gatekeepers,
        cost: cost_at_rest,
        moved,
        most,
        limit,
        single: Over::of(single),
        burst: Over::of(burst),
        burst_cost,
    })
}

fn fault(wanted: &Wanted, leaves: usize, scene: Scene) -> Result<Fault, Box<dyn Error>> {
    let mut stage = start(wanted, leaves, scene == Scene::Regions)?;
    let mut notes = Vec::new();
    let before = read(&mut stage)?;
    let mut begun = unix_time();
    let one = 1;
    let mut attached = match scene {
        Scene::Rest => return Err("no fault".into()),
        Scene::RelayKilled => {
            let n = stage.relay_index(one);
            stage.kill(n);
            stage.wait_until("all leaves to be attached", PATIENCE, TestBed::all_attached)?
        }
        Scene::RelayPaused => {
            let n = stage.relay_index(one);
            stage.program(n)?.signal("-STOP")?;
            stage.wait_until("all leaves to be attached", PATIENCE, |s| s.all_attached_except_at(one))?
        }
        Scene::TwoRelays => {
            let pair = [stage.relay_index(RELAYS - 2), stage.relay_index(RELAYS - 1)];
            pair.into_iter().for_each(|n| stage.kill(n));
            stage.wait_until("all leaves to be attached", PATIENCE, TestBed::all_attached)?
        }
        Scene::AllRelays => {
            stage.relay_indices().for_each(|n| stage.kill(n));
            stage.run_for(AWAY);
            let alone = stage.leaves_by_relay()?;
            notes.push(format!("with no relay for {AWAY} s leaves by relay were {alone:?}"));
            let wrong = stage.false_deaths()?;
            notes.push(format!("{wrong} live leaves held gone then"));
            begun = unix_time();
            stage.relay_indices().try_for_each(|n| stage.start_program(n))?;
            stage.wait_until("all leaves to be attached", PATIENCE, TestBed::all_attached)?
        }
        Scene::Zone => {
            stage.hollow[0] = None;
            let real: Vec<usize> = (0..stage.setup.gatekeepers).filter(|n| stage.zone_of(*n) == 0).collect();
            real.iter().for_each(|n| stage.kill(*n));
            begun = unix_time();
            stage.start_hollow(0)?;
            real.iter().try_for_each(|n| stage.start_program(*n))?;
            let count = real.len() + stage.hollow[0].as_ref().map_or(0, |p| p.plan.leaves);
            notes.push(format!("{count} leaves were killed and started"));
            stage.wait_until("all leaves to be attached", PATIENCE, TestBed::all_attached)?
        }
        Scene::Regions => {
            stage.cut_regions(true);
            stage.run_for(CUT);
            stage.wait_until("all leaves to be attached", PATIENCE, TestBed::all_attached)?
        }
    };
    stage.run_for(READ);
    let moves: Vec<f64> = stage.attachment_times(begun).into_iter().map(|at| at - begun).collect();
    if scene != Scene::Regions {
        // By the leaves' own word, where that is exact: a look at all takes its time.
        attached = moves.iter().copied().fold(0.0, f64::max).min(attached);
    }
    let (most, limit) = fullest(&mut stage)?;
    let mut costs = Vec::new();
    if !matches!(scene, Scene::Zone | Scene::AllRelays) {
        let mut last = before;
        for stretch in 0..STRETCHES {
            stage.run_for((STRETCH * (stretch + 1) as f64 - (unix_time() - begun)).max(0.0));
            let next = read(&mut stage)?;
            costs.push(cost(&last, &next));
            last = next;
        }
    } else {
        // Those that were started count from then on.
        let first = read(&mut stage)?;
        stage.run_for(STRETCH);
        costs.push(cost(&first, &read(&mut stage)?));
    }
    let worst = costs.iter().max_by(|a, b| a.hollow.most.total_cmp(&b.hollow.most)).copied();
    let change = match scene {
        Scene::Regions => regions(&mut stage, &mut notes)?,
        _ => {
            let (version, at) = stage.change_settings()?;
            stage.wait_until("a change to be in force at all", PATIENCE, |s| s.all_have_version(version))?;
            Over::of(delays(&mut stage, version, at)?).most
        }
    };
    if scene == Scene::RelayPaused {
        let n = stage.relay_index(one);
        stage.program(n)?.signal("-CONT")?;
        stage.run_for(3.0);
        let all = stage.leaves_by_relay()?;
        notes.push(format!("3 s after it went on leaves by relay were {all:?}"));
    }
    let false_deaths = stage.false_deaths()?;
    Ok(Fault {
        leaves,
        scene: scene.name(),
        attached,
        count: moves.len(),
        moved: Over::of(moves),
        most,
        limit,
        cost: worst.unwrap_or_default(),
        change,
        false_deaths,
        notes,
    })
}

/// While regions are cut: a change on the side with the majority, a refusal on the other; then the healing. Returns how long
/// that took until all had the newest.
fn regions(stage: &mut TestBed, notes: &mut Vec<String>) -> Result<f64, Box<dyn Error>> {
    let (version, _) = stage.change_settings()?;
    stage.run_for(2.0);
    let reached = stage.settings_times(version).iter().flatten().count();
    notes.push(format!("while they were cut a change reached {reached} leaves, those of the writer's side"));
    let minority = RELAYS - 1;
    stage.propose_change(minority)?;
    let n = stage.relay_index(minority);
    stage
        .wait_until("the refusal", PATIENCE, |s| Ok(!s.log_lines(n, "fleet-settings-refused").is_empty()))?;
    let reason = stage.log_lines(n, "fleet-settings-refused").last().map(|line| line["reason"].to_string());
    notes.push(format!("a relay of the other side refused one: {}", reason.unwrap_or_default()));
    for _ in 0..20 {
        stage.change_settings()?;
        stage.run_for(0.2);
    }
    let newest = stage.proposals().last().map_or(0, |(version, _)| *version);
    stage.cut_regions(false);
    let healed = unix_time();
    stage.wait_until("all to have the newest settings", PATIENCE, |s| s.all_have_version(newest))?;
    let equal = Over::of(delays(stage, newest, healed)?).most.max(0.0);
    // The writer on the side without a majority.
    stage.cut_relay(0, true);
    let writer = stage.relay_index(0);
    let alone = |s: &mut TestBed| Ok(s.members_report(writer)["heard"] == 1);
    stage.wait_until("the writer to be alone", PATIENCE, alone)?;
    stage.propose_change(0)?;
    let refused = |s: &mut TestBed| Ok(!s.log_lines(writer, "fleet-settings-refused").is_empty());
    stage.wait_until("the writer's refusal", PATIENCE, refused)?;
    let reason =
        stage.log_lines(writer, "fleet-settings-refused").last().map(|line| line["reason"].to_string());
    notes.push(format!("the writer, cut off from all others, refused one: {}", reason.unwrap_or_default()));
    stage.cut_relay(0, false);
    Ok(equal)
}

fn kept(path: &Path) -> Result<Kept, Box<dyn Error>> {
    match std::fs::read_to_string(path) {
        Ok(text) => Ok(serde_json::from_str(&text)?),
        Err(error) if error.kind() == std::io::ErrorKind::NotFound => Ok(Kept::default()),
        Err(error) => Err(error.into()),
    }
}

/// Plays what is wanted, writes the page of all that was played so far, and returns what does not hold.
pub(crate) fn measure(wanted: &Wanted, out: &Path) -> Result<Vec<String>, Box<dyn Error>> {
    std::fs::create_dir_all(out)?;
    let path = out.join("size-hollow.json");
    let scenes = if wanted.scenes.is_empty() { &Scene::ALL[..] } else { &wanted.scenes[..] };
    for &leaves in &wanted.leaves {
        for &scene in scenes {
            let mut all = kept(&path)?;
            if scene == Scene::Rest {
                let one = rest(wanted, leaves)?;
                all.rest.retain(|r| r.leaves != leaves);
                all.rest.push(one);
            } else if leaves == TARGET || !wanted.scenes.is_empty() {
                let one = fault(wanted, leaves, scene)?;
                all.faults.retain(|f| (f.leaves, &f.scene) != (leaves, &one.scene));
                all.faults.push(one);
            }
            all.rest.sort_by_key(|r| r.leaves);
            all.faults.sort_by(|a, b| (a.leaves, &a.scene).cmp(&(b.leaves, &b.scene)));
            std::fs::write(&path, serde_json::to_string_pretty(&all)?)?;
            eprintln!("{leaves} leaves, {}: kept", scene.name());
        }
    }
    let kept = kept(&path)?;
    let held = holds(&kept);
    let page = page(&kept, &held)?;
    std::fs::write(out.join("size-hollow.md"), page)?;
    Ok(held.into_iter().filter(|(_, holds)| !holds).map(|(text, _)| text).collect())
}

/// A figure of a tier at rest.
type Of = fn(&Rest) -> f64;

/// What grows with the leaves of a tier.
fn slopes(kept: &Kept) -> Vec<(String, String, bool)> {
    let figures: [(&str, Of); 9] = [
        ("a relay's bytes/s at rest", |r| r.cost.relay.mean),
        ("a relay's share of a core at rest, %", |r| 100.0 * r.cost.relay_core.mean),
        ("a relay's memory, MB", |r| r.cost.relay_memory.mean),
        ("a relay's bytes/s in a burst of changes", |r| r.burst_cost.relay.mean),
        ("a relay's share of a core in a burst, %", |r| 100.0 * r.burst_cost.relay_core.mean),
        ("a hollow leaf's bytes/s at rest, mean", |r| r.cost.hollow.mean),
        ("a gatekeeper's bytes/s at rest, mean", |r| r.cost.gatekeeper.mean),
        ("a gatekeeper's share of a core for control, %", |r| 100.0 * r.cost.core_for_control()),
        ("a gatekeeper's memory for control, MB", |r| r.cost.memory_for_control()),
    ];
    let mut all = Vec::new();
    for (what, of) in figures {
        let points: Vec<(f64, f64)> = kept.rest.iter().map(|r| (r.leaves as f64, of(r))).collect();
        let Ok(slope) = fit(&points) else { continue };
        // What the form adds between the target and twice it tells whether it is more than linear.
        let grows = matches!(slope.form, super::fit::Form::Constant | super::fit::Form::Linear);
        all.push((
            what.to_string(),
            format!("{slope}; at {TARGET} {}", short(slope.at(TARGET as f64))),
            grows,
        ));
    }
    all
}

/// What must hold, each with its figures, and whether it does.
fn holds(kept: &Kept) -> Vec<(String, bool)> {
    let mut held = Vec::new();
    for r in &kept.rest {
        let n = r.leaves;
        let last = r.single.most.max(r.burst.most);
        let text = format!("{n} leaves: a change is in force at all after {last:.2} s, {CHANGE} allowed");
        held.push((text, last <= CHANGE));
        let text = format!("{n} leaves: {} at the fullest relay, limit {}", r.most, r.limit);
        held.push((text, r.most <= r.limit));
        if n == TARGET {
            r.cost.holds(&format!("{n} leaves at rest"), &mut held);
            r.burst_cost.holds(&format!("{n} leaves, a burst of changes"), &mut held);
        }
    }
    for f in &kept.faults {
        let what = format!("{} leaves, {}", f.leaves, f.scene);
        let text = format!("{what}: all attached after {:.2} s, {HOME} allowed", f.attached);
        held.push((text, f.attached <= HOME || f.scene == Scene::Regions.name()));
        let text =
            format!("{what}: a change after it is in force at all after {:.2} s, {CHANGE} allowed", f.change);
        held.push((text, f.change <= CHANGE));
        held.push((format!("{what}: {} at the fullest relay, limit {}", f.most, f.limit), f.most <= f.limit));
        held.push((format!("{what}: {} live leaves held gone", f.false_deaths), f.false_deaths == 0));
        if f.leaves == TARGET {
            f.cost.holds(&what, &mut held);
        }
    }
    for (what, slope, linear) in slopes(kept) {
        if what.starts_with("a relay's") {
            held.push((format!("{what}: linear in the leaves or less: {slope}"), linear));
        }
    }
    held
}

const PAGE: &str = r#"# Measurement: a tier of relays, by leaves

Written by `hollypaddle-measure size --part hollow`. {{ machine }} All processes and the stand-ins share it.

Five relays, real processes of the program, in five zones of two regions (three and two); real gatekeepers as leaves, {{ real }} at the most,
and {{ plain }} without a fleet, with stand-in servers and resolvers and no calls; the other leaves are hollow: the same state machines on the same
kind of links, in {{ processes }} processes, one for each zone. 120 services; each leaf tells of six servers. Bytes are of both ways, and each message is
charged with {{ headers }} bytes of packet headers, its acknowledgement's among them, also where several share a packet. *For control* is a real gatekeeper less one without a
fleet. A tier stands for {{ settles }} s before it is measured. Each case was run once. A change's time runs from the line
`fleet-settings-proposed` at the writer, which is before a majority of relays has stored it, to the leaf's own word that it is in force.

## At rest, for {{ rest }} s

| leaves | real | hollow bytes/s: mean, p99, most | real bytes/s: mean, most | core for control | MB for control | relay bytes/s: mean, most | relay core: mean, most | relay MB, most | fullest relay, limit | went home |
| ---: | ---: | --- | --- | ---: | ---: | --- | --- | ---: | --- | ---: |
{% for r in all -%}
| {{ r.leaves }} | {{ r.gatekeepers }} | {{ r.cost.hollow.mean|int }}, {{ r.cost.hollow.p99|int }}, {{ r.cost.hollow.most|int }} | {{ r.cost.gatekeeper.mean|int }}, {{ r.cost.gatekeeper.most|int }} | {{ (100 * (r.cost.core.mean - r.cost.plain_core.mean))|round(2) }}% | {{ (r.cost.memory.mean - r.cost.plain_memory.mean)|round(1) }} | {{ r.cost.relay.mean|int }}, {{ r.cost.relay.most|int }} | {{ (100 * r.cost.relay_core.mean)|round(2) }}%, {{ (100 * r.cost.relay_core.most)|round(2) }}% | {{ r.cost.relay_memory.most|round(1) }} | {{ r.most }}, {{ r.limit }} | {{ r.moved }} |
{% endfor %}
## A change, in force at each leaf

{{ single }} single changes, then {{ burst }} in {{ burst_s }} s. Seconds, over all leaves and changes. A version that a newer one overtook counts as in force with that.

| leaves | single: p50, p99, last | burst: p50, p99, last | in the burst: hollow bytes/s mean, most | real bytes/s mean, most | core for control | relay bytes/s | relay core |
| ---: | --- | --- | --- | --- | ---: | ---: | ---: |
{% for r in all -%}
| {{ r.leaves }} | {{ r.single.p50|round(3) }}, {{ r.single.p99|round(3) }}, {{ r.single.most|round(3) }} | {{ r.burst.p50|round(3) }}, {{ r.burst.p99|round(3) }}, {{ r.burst.most|round(3) }} | {{ r.burst_cost.hollow.mean|int }}, {{ r.burst_cost.hollow.most|int }} | {{ r.burst_cost.gatekeeper.mean|int }}, {{ r.burst_cost.gatekeeper.most|int }} | {{ (100 * (r.burst_cost.core.mean - r.burst_cost.plain_core.mean))|round(2) }}% | {{ r.burst_cost.relay.mean|int }} | {{ (100 * r.burst_cost.relay_core.mean)|round(2) }}% |
{% endfor %}
## Faults

`attached` is until the last leaf was attached, from the fault or, for what was away, from its start; of the cost the worse of two stretches of {{ stretch }} s from the fault on
(for `zone` and `all-relays` one, from when all were attached).

| leaves | what | attached, s | leaves that moved: p50, p99 | fullest relay, limit | hollow bytes/s: mean, most | real bytes/s: mean, most | core for control | relay bytes/s, most | relay core, most | a change after it, s | live ones held gone |
| ---: | --- | ---: | --- | --- | --- | --- | ---: | ---: | ---: | ---: | ---: |
{% for f in faults -%}
| {{ f.leaves }} | {{ f.scene }} | {{ f.attached|round(2) }} | {{ f.count }}: {{ f.moved.p50|round(2) }}, {{ f.moved.p99|round(2) }} | {{ f.most }}, {{ f.limit }} | {{ f.cost.hollow.mean|int }}, {{ f.cost.hollow.most|int }} | {{ f.cost.gatekeeper.mean|int }}, {{ f.cost.gatekeeper.most|int }} | {{ (100 * (f.cost.core.mean - f.cost.plain_core.mean))|round(2) }}% | {{ f.cost.relay.most|int }} | {{ (100 * f.cost.relay_core.most)|round(2) }}% | {{ f.change|round(2) }} | {{ f.false_deaths }} |
{% endfor %}
{% for f in faults %}{% for note in f.notes -%}
- {{ f.leaves }}, {{ f.scene }}: {{ note }}
{% endfor %}{% endfor %}
## Slopes

By leaves; the largest size that was run stands beside each.

{% for s in slopes -%}
- {{ s[0] }}: {{ s[1] }}
{% endfor %}
## What must hold

{% for h in held -%}
- {{ "holds" if h[1] else "**does not hold**" }}: {{ h[0] }}
{% endfor %}"#;

fn page(kept: &Kept, held: &[(String, bool)]) -> Result<String, Box<dyn Error>> {
    let mut env = Environment::new();
    env.add_template("page", PAGE)?;
    Ok(env.get_template("page")?.render(context! {
        machine => super::machine(), real => REAL, plain => PLAIN, processes => PROCESSES,
        headers => hollypaddle_relay::budget::PACKET_HEADER_BYTES, settles => SETTLES, rest => REST, all => kept.rest, single => SINGLE,
        burst => BURST, burst_s => BURST as f64 * GAP, stretch => STRETCH, faults => kept.faults, slopes => slopes(kept),
        held => held,
    })?)
}
