//! Relays and gatekeepers as real processes, stand-ins for callers, servers and resolvers, and hollow leaves beside them.

use std::collections::BTreeMap;
use std::error::Error;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::{Duration, Instant};

use hollypaddle::ctl;
use hollypaddle::node::control::Query;
use hollypaddle_relay::budget::PACKET_HEADER_BYTES;
use hollypaddle_relay::placement::NodeLocation;
use hollypaddle_standin::free_addresses;
use hollypaddle_standin::program::{unix_time, Program};
use hollypaddle_standin::proxy::{FaultProxy, Way};
use hollypaddle_standin::world::{classes, Plan as WorldPlan, World, DISTRICTS};
use serde_json::Value;

use crate::leaves::{leaf_id, Plan, RelayArg, ZoneArg};
use crate::process::Process;

/// The zones: the platform's districts, and two more that only a tier has.
pub const ZONES: [&str; 5] = [DISTRICTS[0], DISTRICTS[1], DISTRICTS[2], "harbour", "airport"];
/// The region of each.
pub const REGIONS: [&str; 5] = ["west", "west", "west", "east", "east"];
/// Services of all leaves.
const SERVICES: usize = 120;
/// Servers that a service's leaves tell of.
const SERVERS: usize = 6;
/// Session servers of the real gatekeepers.
const REAL_SERVERS: usize = 3;
/// Calls a second that each of those carries.
const CARRIES: f64 = 2000.0;
/// Descriptors that a relay is told it may hold.
const RELAY_SOCKETS: usize = 8192;
/// Leaves that a relay may be told to take, beyond the default where there are many.
const MOST_LEAVES: usize = 1000;
/// Between two looks at all processes while something is waited for.
const LOOK: Duration = Duration::from_millis(40);
/// A start waits so long for all at most.
const PATIENCE: f64 = 30.0;

/// LeafBytes of each leaf of a process, and when that was said, in Unix seconds.
pub type LeafBytes = (f64, Vec<u64>);

/// Makes the command of a process of hollow leaves.
pub type HollowCommand = Box<dyn Fn(&Plan) -> Command>;

/// What is started.
pub struct Setup {
    /// The program of relays and gatekeepers.
    pub program: PathBuf,
    /// How a process of hollow leaves is started.
    pub hollow: HollowCommand,
    /// Relays, one in each zone by turns.
    pub relays: usize,
    /// Zones that are in use.
    pub zones: usize,
    /// Real gatekeepers that are leaves.
    pub gatekeepers: usize,
    /// Real gatekeepers without a fleet, to compare.
    pub plain: usize,
    /// Hollow leaves.
    pub leaves: usize,
    /// Processes of hollow leaves. Where there are as many as zones, each has one zone.
    pub processes: usize,
    /// Links between relays of different zones go through fault proxies.
    pub proxies: bool,
}

/// All processes.
pub struct TestBed {
    /// What was started.
    pub setup: Setup,
    folder: tempfile::TempDir,
    /// Callers, servers and resolvers.
    pub world: World,
    /// Gatekeepers that are leaves, those without a fleet, and relays, in this order.
    pub programs: Vec<Option<Program>>,
    /// Hollow leaves.
    pub hollow: Vec<Option<Process>>,
    addresses: Vec<SocketAddr>,
    /// From one relay to another.
    proxies: BTreeMap<(usize, usize), FaultProxy>,
    /// Calls a second that are offered at each real gatekeeper.
    pub rate: f64,
    text: u64,
}

/// What a process has used and said since its start.
#[derive(Clone, Copy, Debug, Default)]
pub struct ResourceUse {
    /// When this was read, in Unix seconds.
    pub at: f64,
    /// Processor time, in seconds.
    pub cpu_s: f64,
    /// LeafBytes on its links, both ways, with the headers of packets.
    pub bytes: f64,
    /// Resident memory, in MB.
    pub memory_mb: f64,
}

fn place(zone: usize) -> NodeLocation {
    NodeLocation { zone: ZONES[zone].into(), region: REGIONS[zone].into() }
}

impl TestBed {
    /// HollowCommand all, and waits until all leaves are attached.
    pub fn start(setup: Setup) -> Result<TestBed, Box<dyn Error>> {
        let count = setup.gatekeepers + setup.plain + setup.relays;
        let servers = (0..REAL_SERVERS).map(|n| (n, CARRIES)).collect();
        let mut all = classes();
        all.iter_mut().for_each(|class| class.hold = 1.0);
        let fronts = (0..count).map(|n| n % DISTRICTS.len()).collect();
        let world = World::open(WorldPlan { fronts, servers, classes: all, seed: 7 })?;
        let addresses = free_addresses(setup.relays * setup.relays)?;
        let (addresses, others) = addresses.split_at(setup.relays);
        let mut proxies = BTreeMap::new();
        let mut others = others.iter();
        for (a, b) in (0..setup.relays).flat_map(|a| (0..setup.relays).map(move |b| (a, b))) {
            if setup.proxies && a % setup.zones != b % setup.zones {
                let address = *others.next().ok_or("too few addresses")?;
                proxies.insert((a, b), FaultProxy::open(address, addresses[b])?);
            }
        }
        let mut stage = TestBed {
            folder: tempfile::tempdir()?,
            world,
            programs: (0..count).map(|_| None).collect(),
            hollow: (0..setup.processes).map(|_| None).collect(),
            addresses: addresses.to_vec(),
            proxies,
            rate: 0.0,
            text: 0,
            setup,
        };
        stage.write_settings()?;
        // Relays that have just started take no leaves yet, and one that was sent elsewhere comes home late.
        let mut listen = vec![None; count];
        let relays = stage.relay_indices();
        for n in relays.clone() {
            stage.start_program(n)?;
        }
        for n in relays {
            listen[n] = Some(stage.program(n)?.serving()?);
            stage.program(n)?.event("fleet-caught-up")?;
        }
        (0..stage.setup.processes).try_for_each(|n| stage.start_hollow(n))?;
        for n in 0..stage.relay_index(0) {
            stage.start_program(n)?;
        }
        for (n, listen) in listen.iter_mut().enumerate().take(stage.relay_index(0)) {
            *listen = Some(stage.program(n)?.serving()?);
        }
        let listen: Vec<SocketAddr> = listen.into_iter().flatten().collect();
        stage.world.connect(&listen);
        stage.wait_until("all leaves to be attached", PATIENCE, TestBed::all_attached)?;
        Ok(stage)
    }

    /// The number of a relay among the programs.
    pub fn relay_index(&self, relay: usize) -> usize {
        self.setup.gatekeepers + self.setup.plain + relay
    }

    /// All of them.
    pub fn relay_indices(&self) -> std::ops::Range<usize> {
        self.relay_index(0)..self.relay_index(self.setup.relays)
    }

    /// The zone of a program.
    pub fn zone_of(&self, n: usize) -> usize {
        n.checked_sub(self.relay_index(0)).unwrap_or(n) % self.setup.zones
    }

    fn name(&self, n: usize) -> String {
        n.checked_sub(self.relay_index(0)).map_or_else(|| format!("n{n}"), |relay| format!("r{relay}"))
    }

    fn socket(&self, n: usize) -> PathBuf {
        self.folder.path().join(format!("{}.sock", self.name(n)))
    }

    /// The block `fleet` of a program's own file.
    fn fleet(&self, n: usize) -> String {
        let from = n.checked_sub(self.relay_index(0));
        let line = |relay: usize| {
            let proxy = from.and_then(|from| self.proxies.get(&(from, relay)));
            let address = proxy.map_or(self.addresses[relay], FaultProxy::address);
            let NodeLocation { zone, region } = place(relay % self.setup.zones);
            format!(" relay r{relay} {address} zone {zone} region {region}\n")
        };
        let relays: String = (0..self.setup.relays).map(line).collect();
        let NodeLocation { zone, region } = place(self.zone_of(n));
        let own = match from {
            Some(_) => " settings shared\n".to_string(),
            None => format!(" service s{}\n zone {zone}\n region {region}\n", n % SERVICES),
        };
        let most = if self.setup.leaves > 750 { format!(" leaves {MOST_LEAVES}\n") } else { String::new() };
        format!("fleet {{\n{relays}{own}{most}}}\n")
    }

    /// HollowCommand a gatekeeper or a relay, anew where it has ended.
    pub fn start_program(&mut self, n: usize) -> Result<(), Box<dyn Error>> {
        let mut platform: Value = serde_json::from_str(&self.world.config(n)?)?;
        platform["name"] = self.name(n).into();
        platform["settings"]["zones"] = serde_json::json!(ZONES);
        platform["settings"]["zone"] = self.zone_of(n).into();
        if n >= self.relay_index(0) {
            platform["limits"]["sockets"] = RELAY_SOCKETS.into();
        }
        let is_plain = (self.setup.gatekeepers..self.relay_index(0)).contains(&n);
        let fleet = if is_plain { String::new() } else { self.fleet(n) };
        let conf = format!("control {}\n{fleet}", self.socket(n).display());
        let (folder, program) = (self.folder.path(), self.setup.program.as_path());
        let (name, platform) = (self.name(n), platform.to_string());
        let started = Program::start_with(program, folder, &name, &platform, &conf, "127.0.0.1:0")?;
        self.programs[n] = Some(started);
        Ok(())
    }

    /// HollowCommand a process of hollow leaves, anew where it has ended.
    pub fn start_hollow(&mut self, n: usize) -> Result<(), Box<dyn Error>> {
        let (leaves, processes) = (self.setup.leaves, self.setup.processes);
        let (first, next) = (n * leaves / processes, (n + 1) * leaves / processes);
        let zones: Vec<usize> = match processes == self.setup.zones {
            true => vec![n],
            false => (0..self.setup.zones).collect(),
        };
        let relay = |(n, address): (usize, &SocketAddr)| RelayArg {
            name: format!("r{n}"),
            address: *address,
            location: place(n % self.setup.zones),
        };
        let plan = Plan {
            relays: self.addresses.iter().enumerate().map(relay).collect(),
            leaves: next - first,
            first,
            services: SERVICES,
            servers: SERVERS,
            zones: zones.into_iter().map(|zone| ZoneArg(place(zone))).collect(),
            refuse: None,
        };
        let command = (self.setup.hollow)(&plan);
        self.hollow[n] = Some(Process::start(command, plan)?);
        Ok(())
    }

    /// A program that runs.
    pub fn program(&mut self, n: usize) -> Result<&mut Program, Box<dyn Error>> {
        let name = self.name(n);
        self.programs[n].as_mut().ok_or_else(|| format!("{name} does not run").into())
    }

    /// Kills a program.
    pub fn kill(&mut self, n: usize) {
        self.programs[n] = None;
    }

    // ---- Time

    /// Lets the stand-ins take a turn, and reads what processes tell.
    pub fn poll(&mut self) {
        let now = unix_time();
        if self.rate > 0.0 {
            for n in 0..self.relay_index(0) {
                self.world.traffic(now, n, self.rate, |a, _| (a * REAL_SERVERS as f64) as u32);
            }
        }
        self.world.turn(now);
        self.programs.iter_mut().flatten().for_each(Program::take_lines);
        self.hollow.iter_mut().flatten().for_each(Process::read_reports);
        std::thread::sleep(Duration::from_millis(1));
    }

    /// Lets so many seconds pass.
    pub fn run_for(&mut self, seconds: f64) {
        let begun = Instant::now();
        while begun.elapsed().as_secs_f64() < seconds {
            self.poll();
        }
    }

    /// Waits until something holds; returns after how many seconds.
    pub fn wait_until(
        &mut self,
        what: &str,
        most: f64,
        mut holds: impl FnMut(&mut TestBed) -> Result<bool, Box<dyn Error>>,
    ) -> Result<f64, Box<dyn Error>> {
        let (begun, mut looked) = (Instant::now(), None::<Instant>);
        loop {
            self.poll();
            if looked.is_none_or(|at| at.elapsed() > LOOK) {
                if holds(self)? {
                    return Ok(begun.elapsed().as_secs_f64());
                }
                looked = Some(Instant::now());
            }
            if begun.elapsed().as_secs_f64() > most {
                return Err(format!("waited {most} s in vain for {what}: {}", self.seen()).into());
            }
        }
    }

    // ---- What is seen

    /// What `ctl members` tells; nothing where it is not reached.
    pub fn members_report(&self, n: usize) -> Value {
        match self.programs[n] {
            Some(_) => ctl::query(&self.socket(n), &Query::Members {}).unwrap_or(Value::Null),
            None => Value::Null,
        }
    }

    fn seen(&mut self) -> String {
        let of_relay = |n: usize| {
            let told = self.members_report(n);
            let heard = &told["heard"];
            format!("{}: attached {} of {}, hears {heard}", self.name(n), told["attached"], told["limit"])
        };
        let relays: Vec<String> = self.relay_indices().map(of_relay).collect();
        let attached = self.leaves_by_relay().map(|attached| format!("{attached:?}")).unwrap_or_default();
        format!("leaves by relay {attached}; {}", relays.join("; "))
    }

    /// Leaves, hollow and real ones that run, by the relay that they are attached to; the empty name is none.
    pub fn leaves_by_relay(&mut self) -> Result<BTreeMap<String, usize>, Box<dyn Error>> {
        let mut all: BTreeMap<String, usize> = BTreeMap::new();
        for process in self.hollow.iter_mut().flatten() {
            for (relay, count) in &process.request_report()?.attached {
                *all.entry(relay.clone()).or_default() += count;
            }
        }
        for n in (0..self.setup.gatekeepers).filter(|n| self.programs[*n].is_some()) {
            let relay = self.members_report(n)["relay"].as_str().unwrap_or_default().to_string();
            *all.entry(relay).or_default() += 1;
        }
        Ok(all)
    }

    /// Whether all leaves that run are attached to a relay that runs.
    pub fn all_attached(&mut self) -> Result<bool, Box<dyn Error>> {
        let running: Vec<String> =
            self.relay_indices().filter(|n| self.programs[*n].is_some()).map(|n| self.name(n)).collect();
        Ok(self.leaves_by_relay()?.keys().all(|relay| running.contains(relay)))
    }

    /// The same, with one relay left out as if it did not run: one that is paused.
    pub fn all_attached_except_at(&mut self, relay: usize) -> Result<bool, Box<dyn Error>> {
        let name = self.name(self.relay_index(relay));
        Ok(self.all_attached()? && !self.leaves_by_relay()?.contains_key(&name))
    }

    /// Leaves that some hollow leaf holds to be gone for good, or to have left, though they run.
    pub fn false_deaths(&mut self) -> Result<usize, Box<dyn Error>> {
        let mut gone: BTreeMap<String, usize> = BTreeMap::new();
        let mut live: Vec<String> = Vec::new();
        for process in self.hollow.iter_mut().flatten() {
            let plan = &process.plan;
            live.extend((plan.first..plan.first + plan.leaves).map(|n| leaf_id(&format!("h{n}"))));
            for (leaf, holders) in &process.request_report()?.gone {
                *gone.entry(leaf.clone()).or_default() += holders;
            }
        }
        let runs = (0..self.setup.gatekeepers).filter(|n| self.programs[*n].is_some());
        live.extend(runs.map(|n| leaf_id(&format!("n{n}"))));
        Ok(gone.iter().filter(|(leaf, _)| live.contains(leaf)).map(|(_, holders)| holders).sum())
    }

    /// What a program has used and said on the tier's links.
    pub fn resource_use(&self, n: usize) -> Result<ResourceUse, Box<dyn Error>> {
        let links = &self.members_report(n)["links"];
        let count = |name: &str| links[name].as_f64().unwrap_or(0.0);
        let bytes = count("bytes")
            + count("bytes_heard")
            + PACKET_HEADER_BYTES as f64 * (count("said") + count("heard"));
        let program = self.programs[n].as_ref().ok_or("a program does not run")?;
        let (cpu, memory) = of_process(program.child.id())?;
        Ok(ResourceUse { at: unix_time(), cpu_s: cpu, bytes, memory_mb: memory })
    }

    /// LeafBytes of each hollow leaf since its start, with the headers of packets, and when each process said so.
    pub fn hollow_bytes(&mut self) -> Result<Vec<LeafBytes>, Box<dyn Error>> {
        let mut all = Vec::new();
        for process in self.hollow.iter_mut().flatten() {
            let report = process.request_report()?;
            all.push((report.at, report.bytes_by_leaf.clone()));
        }
        Ok(all)
    }

    // ---- Settings of the fleet

    fn write_settings(&mut self) -> std::io::Result<()> {
        self.text += 1;
        let text = format!("crossings {{\n budget all {{\n  rate {}/s fleet\n }}\n}}\n", 1000 + self.text);
        let (path, new) = (self.folder.path().join("shared"), self.folder.path().join("shared.new"));
        std::fs::write(&new, text)?;
        std::fs::rename(new, path)
    }

    /// Changes the settings' file and tells a relay to read it.
    pub fn propose_change(&mut self, relay: usize) -> Result<(), Box<dyn Error>> {
        self.write_settings()?;
        let n = self.relay_index(relay);
        Ok(self.program(n)?.signal("-HUP")?)
    }

    /// Versions that the writer has proposed, and when, in the order of its log.
    pub fn proposals(&self) -> Vec<(u64, f64)> {
        let of = |line: &Value| Some((line["version"].as_u64()?, line["time"].as_f64()?));
        self.log_lines(self.relay_index(0), "fleet-settings-proposed").iter().filter_map(|l| of(l)).collect()
    }

    /// Lines of a program's log with an event.
    pub fn log_lines(&self, n: usize, event: &str) -> Vec<&Value> {
        let log = self.programs[n].iter().flat_map(|program| &program.log);
        log.filter(|line| line["event"] == event).collect()
    }

    /// Proposes a change and waits until the writer has taken it; returns its version and when that was.
    pub fn change_settings(&mut self) -> Result<(u64, f64), Box<dyn Error>> {
        let before = self.proposals().len();
        self.propose_change(0)?;
        self.wait_until("the change to be proposed", PATIENCE, |s| Ok(s.proposals().len() > before))?;
        self.proposals().last().copied().ok_or_else(|| "nothing was proposed".into())
    }

    /// Whether all leaves that run have settings of this version, or a later one, in force.
    pub fn all_have_version(&mut self, version: u64) -> Result<bool, Box<dyn Error>> {
        for process in self.hollow.iter_mut().flatten() {
            if process.request_report()?.in_force.keys().any(|held| *held < version) {
                return Ok(false);
            }
        }
        for n in (0..self.setup.gatekeepers).filter(|n| self.programs[*n].is_some()) {
            if self.members_report(n)["settings"]["in_force"].as_u64() < Some(version) {
                return Ok(false);
            }
        }
        Ok(true)
    }

    /// For each leaf that runs, when it first had a version or a later one in force, in Unix seconds; none where it has not.
    pub fn settings_times(&self, version: u64) -> Vec<Option<f64>> {
        let mut first: BTreeMap<String, Option<f64>> = BTreeMap::new();
        let mut note = |leaf: String, held: u64, at: f64| {
            let entry = first.entry(leaf).or_default();
            if held >= version {
                *entry = Some(entry.map_or(at, |before: f64| before.min(at)));
            }
        };
        for process in self.hollow.iter().flatten() {
            let plan = &process.plan;
            (plan.first..plan.first + plan.leaves).for_each(|n| note(format!("h{n}"), 0, 0.0));
            process.settings_taken.iter().for_each(|took| note(took.leaf.clone(), took.version, took.at));
        }
        for n in (0..self.setup.gatekeepers).filter(|n| self.programs[*n].is_some()) {
            note(format!("n{n}"), 0, 0.0);
            for line in self.log_lines(n, "fleet-settings-taken") {
                let (held, at) = (line["version"].as_u64(), line["time"].as_f64());
                note(format!("n{n}"), held.unwrap_or(0), at.unwrap_or(f64::INFINITY));
            }
        }
        first.into_values().collect()
    }

    /// When leaves were attached after a time, in Unix seconds, by their own word.
    pub fn attachment_times(&self, since: f64) -> Vec<f64> {
        let hollow = self.hollow.iter().flatten().flat_map(|p| p.attachments.iter().map(|m| m.at));
        let real = (0..self.setup.gatekeepers).flat_map(|n| self.log_lines(n, "relay-attached"));
        let real = real.filter_map(|line| line["time"].as_f64());
        hollow.chain(real).filter(|at| *at >= since).collect()
    }

    // ---- Faults

    /// Cuts the links between the two regions' relays both ways, or lets them go on.
    pub fn cut_regions(&self, cut: bool) {
        let region = |relay: usize| REGIONS[relay % self.setup.zones];
        for ((from, to), proxy) in &self.proxies {
            if region(*from) != region(*to) {
                [Way::There, Way::Back].into_iter().for_each(|way| proxy.cut(way, cut));
            }
        }
    }

    /// Cuts all links of one relay to others both ways, or lets them go on.
    pub fn cut_relay(&self, relay: usize, cut: bool) {
        for ((from, to), proxy) in &self.proxies {
            if *from == relay || *to == relay {
                [Way::There, Way::Back].into_iter().for_each(|way| proxy.cut(way, cut));
            }
        }
    }
}

/// Processor time in seconds and resident memory in MB.
fn of_process(id: u32) -> Result<(f64, f64), Box<dyn Error>> {
    let read = |file: &str| std::fs::read_to_string(Path::new("/proc").join(id.to_string()).join(file));
    let time: f64 = read("schedstat")?.split_whitespace().next().ok_or("no schedstat")?.parse()?;
    let status = read("status")?;
    let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).ok_or("no VmRSS")?;
    let kb: f64 = resident.trim().trim_end_matches("kB").trim().parse()?;
    Ok((time / 1e9, kb / 1024.0))
}
