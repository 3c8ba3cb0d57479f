//! Runs relays and gatekeepers as real processes, with stand-ins for callers, servers and resolvers, and hollow
//! leaves beside them.

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

/// The zones: the districts of the platform, and two more that only a tier of relays uses.
pub const ZONES: [&str; 5] = [DISTRICTS[0], DISTRICTS[1], DISTRICTS[2], "harbour", "airport"];
/// The region of each zone.
pub const REGIONS: [&str; 5] = ["west", "west", "west", "east", "east"];
/// The number of services over all leaves.
const SERVICES: usize = 120;
/// Servers that the leaves of one service report.
const SERVERS: usize = 6;
/// Session servers of the real gatekeepers.
const REAL_SERVERS: usize = 3;
/// Calls per second that each of those servers can carry.
const SERVER_CALLS_PER_S: f64 = 2000.0;
/// The configured limit of descriptors of a relay.
const RELAY_SOCKETS: usize = 8192;
/// The configured limit of leaves of a relay if there are so many leaves that the default does not suffice.
const MAX_RELAY_LEAVES: usize = 1000;
/// Interval between two checks of all processes while a condition is waited for.
const CHECK_INTERVAL: Duration = Duration::from_millis(40);
/// How long a start may take at most, in seconds.
const START_TIMEOUT_S: f64 = 30.0;

/// When a process of hollow leaves reported, in Unix seconds, and the bytes of each of its leaves.
pub type LeafBytes = (f64, Vec<u64>);

/// Builds the command that starts a process of hollow leaves.
pub type HollowCommand = Box<dyn Fn(&Plan) -> Command>;

/// What a test bed consists of.
pub struct Setup {
    /// The program of relays and gatekeepers.
    pub program: PathBuf,
    /// Builds the command of a process of hollow leaves.
    pub hollow: HollowCommand,
    /// The number of relays; they are assigned to the zones in turn.
    pub relays: usize,
    /// The number of zones in use.
    pub zones: usize,
    /// The number of real gatekeepers that are leaves.
    pub gatekeepers: usize,
    /// The number of real gatekeepers without a fleet, for comparison.
    pub plain: usize,
    /// The number of hollow leaves.
    pub leaves: usize,
    /// The number of processes of hollow leaves. If it equals the number of zones, each process has one zone.
    pub processes: usize,
    /// Whether links between relays of different zones go through fault proxies.
    pub proxies: bool,
}

/// All processes of a test bed. They are ended when it is dropped.
pub struct TestBed {
    /// What it consists of.
    pub setup: Setup,
    folder: tempfile::TempDir,
    /// Stand-ins for callers, servers and resolvers.
    pub world: World,
    /// Gatekeepers that are leaves, those without a fleet, and relays, in this order; none where a program does not
    /// run.
    pub programs: Vec<Option<Program>>,
    /// Processes of hollow leaves; none where one does not run.
    pub hollow: Vec<Option<Process>>,
    addresses: Vec<SocketAddr>,
    /// The fault proxies, by the relay that opens the link and the relay that it leads to.
    proxies: BTreeMap<(usize, usize), FaultProxy>,
    /// Calls per second that are offered to each real gatekeeper.
    pub rate: f64,
    settings_changes: u64,
}

/// What a process has used since its start.
#[derive(Clone, Copy, Debug, Default)]
pub struct ResourceUse {
    /// When this was read, in Unix seconds.
    pub at: f64,
    /// Processor time, in seconds.
    pub cpu_s: f64,
    /// Bytes on its links, sent and received, packet headers included.
    pub bytes: f64,
    /// Resident memory, in MB.
    pub memory_mb: f64,
}

fn zone_location(zone: usize) -> NodeLocation {
    NodeLocation { zone: ZONES[zone].into(), region: REGIONS[zone].into() }
}

impl TestBed {
    /// Starts all processes and waits until all leaves are attached. Fails if a process does not start, or if leaves
    /// are not attached in time.
    pub fn start(setup: Setup) -> Result<TestBed, Box<dyn Error>> {
        let count = setup.gatekeepers + setup.plain + setup.relays;
        let servers = (0..REAL_SERVERS).map(|n| (n, SERVER_CALLS_PER_S)).collect();
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
                let address = *others.next().ok_or("too few free addresses")?;
                proxies.insert((a, b), FaultProxy::open(address, addresses[b])?);
            }
        }
        let mut test_bed = TestBed {
            folder: tempfile::tempdir()?,
            world,
            programs: (0..count).map(|_| None).collect(),
            hollow: (0..setup.processes).map(|_| None).collect(),
            addresses: addresses.to_vec(),
            proxies,
            rate: 0.0,
            settings_changes: 0,
            setup,
        };
        test_bed.write_settings()?;
        // The relays are started first: relays that have just started accept no leaves, and a leaf that was sent
        // elsewhere returns late.
        let mut listen = vec![None; count];
        let relays = test_bed.relay_indices();
        for n in relays.clone() {
            test_bed.start_program(n)?;
        }
        for n in relays {
            listen[n] = Some(test_bed.program(n)?.serving()?);
            test_bed.program(n)?.event("fleet-caught-up")?;
        }
        (0..test_bed.setup.processes).try_for_each(|n| test_bed.start_hollow(n))?;
        for n in 0..test_bed.relay_index(0) {
            test_bed.start_program(n)?;
        }
        for (n, listen) in listen.iter_mut().enumerate().take(test_bed.relay_index(0)) {
            *listen = Some(test_bed.program(n)?.serving()?);
        }
        let listen: Vec<SocketAddr> = listen.into_iter().flatten().collect();
        test_bed.world.connect(&listen);
        test_bed.wait_until("all leaves to be attached", START_TIMEOUT_S, TestBed::all_attached)?;
        Ok(test_bed)
    }

    /// The index of a relay among the programs.
    pub fn relay_index(&self, relay: usize) -> usize {
        self.setup.gatekeepers + self.setup.plain + relay
    }

    /// The indices of all relays among the programs.
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

    /// The `fleet` block of a program's own file.
    fn fleet_block(&self, n: usize) -> String {
        let from = n.checked_sub(self.relay_index(0));
        let line = |relay: usize| {
            let proxy = from.and_then(|from| self.proxies.get(&(from, relay)));
            let address = proxy.map_or(self.addresses[relay], FaultProxy::address);
            let NodeLocation { zone, region } = zone_location(relay % self.setup.zones);
            format!(" relay r{relay} {address} zone {zone} region {region}\n")
        };
        let relays: String = (0..self.setup.relays).map(line).collect();
        let NodeLocation { zone, region } = zone_location(self.zone_of(n));
        let own = match from {
            Some(_) => " settings shared\n".to_string(),
            None => format!(" service s{}\n zone {zone}\n region {region}\n", n % SERVICES),
        };
        let max_leaves =
            if self.setup.leaves > 750 { format!(" leaves {MAX_RELAY_LEAVES}\n") } else { String::new() };
        format!("fleet {{\n{relays}{own}{max_leaves}}}\n")
    }

    /// Starts a gatekeeper or a relay, also again after it has ended.
    pub fn start_program(&mut self, n: usize) -> Result<(), Box<dyn Error>> {
        let mut platform: Value = serde_json::from_str(&self.world.config(n)?)?;
        platform["name"] = self.name(n).into();
        platform["settings"]["zones"] = serde_json::json!(ZONES);
        platform["settings"]["zone"] = self.zone_of(n).into();
        if n >= self.relay_index(0) {
            platform["limits"]["sockets"] = RELAY_SOCKETS.into();
        }
        let is_plain = (self.setup.gatekeepers..self.relay_index(0)).contains(&n);
        let fleet = if is_plain { String::new() } else { self.fleet_block(n) };
        let conf = format!("control {}\n{fleet}", self.socket(n).display());
        let (folder, program) = (self.folder.path(), self.setup.program.as_path());
        let (name, platform) = (self.name(n), platform.to_string());
        let started = Program::start_with(program, folder, &name, &platform, &conf, "127.0.0.1:0")?;
        self.programs[n] = Some(started);
        Ok(())
    }

    /// Starts a process of hollow leaves, also again after it has ended.
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
            location: zone_location(n % self.setup.zones),
        };
        let plan = Plan {
            relays: self.addresses.iter().enumerate().map(relay).collect(),
            leaves: next - first,
            first,
            services: SERVICES,
            servers: SERVERS,
            zones: zones.into_iter().map(|zone| ZoneArg(zone_location(zone))).collect(),
            refuse: None,
        };
        let command = (self.setup.hollow)(&plan);
        self.hollow[n] = Some(Process::start(command, plan)?);
        Ok(())
    }

    /// A running program. Fails if it does not run.
    pub fn program(&mut self, n: usize) -> Result<&mut Program, Box<dyn Error>> {
        let name = self.name(n);
        self.programs[n].as_mut().ok_or_else(|| format!("{name} is not running").into())
    }

    /// Kills a program.
    pub fn kill(&mut self, n: usize) {
        self.programs[n] = None;
    }

    // ---- Time

    /// Lets the stand-ins run once, and reads what the processes have reported.
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

    /// Runs the test bed for this many seconds.
    pub fn run_for(&mut self, seconds: f64) {
        let started_at = Instant::now();
        while started_at.elapsed().as_secs_f64() < seconds {
            self.poll();
        }
    }

    /// Waits until a condition holds; returns after how many seconds. Fails after `timeout_s` seconds, or if the
    /// check itself fails.
    pub fn wait_until(
        &mut self,
        what: &str,
        timeout_s: f64,
        mut holds: impl FnMut(&mut TestBed) -> Result<bool, Box<dyn Error>>,
    ) -> Result<f64, Box<dyn Error>> {
        let (started_at, mut last_check) = (Instant::now(), None::<Instant>);
        loop {
            self.poll();
            if last_check.is_none_or(|at| at.elapsed() > CHECK_INTERVAL) {
                if holds(self)? {
                    return Ok(started_at.elapsed().as_secs_f64());
                }
                last_check = Some(Instant::now());
            }
            if started_at.elapsed().as_secs_f64() > timeout_s {
                return Err(
                    format!("waited {timeout_s} s in vain for {what}: {}", self.describe_state()).into()
                );
            }
        }
    }

    // ---- State

    /// The report of `ctl members`; null if the program cannot be reached.
    pub fn members_report(&self, n: usize) -> Value {
        match self.programs[n] {
            Some(_) => ctl::query(&self.socket(n), &Query::Members {}).unwrap_or(Value::Null),
            None => Value::Null,
        }
    }

    fn describe_state(&mut self) -> String {
        let of_relay = |n: usize| {
            let report = self.members_report(n);
            let reachable = &report["heard"];
            format!(
                "{}: attached {} of {}, reaches {reachable}",
                self.name(n),
                report["attached"],
                report["limit"]
            )
        };
        let relays: Vec<String> = self.relay_indices().map(of_relay).collect();
        let attached = self.leaves_by_relay().map(|attached| format!("{attached:?}")).unwrap_or_default();
        format!("leaves by relay {attached}; {}", relays.join("; "))
    }

    /// The number of leaves, hollow ones and real ones that run, by the relay that they are attached to; the empty
    /// name stands for none.
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

    /// Whether all running leaves are attached to a running relay.
    pub fn all_attached(&mut self) -> Result<bool, Box<dyn Error>> {
        let running: Vec<String> =
            self.relay_indices().filter(|n| self.programs[*n].is_some()).map(|n| self.name(n)).collect();
        Ok(self.leaves_by_relay()?.keys().all(|relay| running.contains(relay)))
    }

    /// Whether all running leaves are attached to a running relay other than this one, which is paused.
    pub fn all_attached_except_at(&mut self, relay: usize) -> Result<bool, Box<dyn Error>> {
        let name = self.name(self.relay_index(relay));
        Ok(self.all_attached()? && !self.leaves_by_relay()?.contains_key(&name))
    }

    /// How many times a hollow leaf considers a running leaf to be gone for good, or to have left.
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

    /// What a program has used, and its bytes on the links of the tier.
    pub fn resource_use(&self, n: usize) -> Result<ResourceUse, Box<dyn Error>> {
        let links = &self.members_report(n)["links"];
        let count = |name: &str| links[name].as_f64().unwrap_or(0.0);
        let bytes = count("bytes")
            + count("bytes_heard")
            + PACKET_HEADER_BYTES as f64 * (count("said") + count("heard"));
        let program = self.programs[n].as_ref().ok_or("the program is not running")?;
        let (cpu, memory) = process_use(program.child.id())?;
        Ok(ResourceUse { at: unix_time(), cpu_s: cpu, bytes, memory_mb: memory })
    }

    /// Bytes of each hollow leaf since its start, packet headers included, by process.
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
        self.settings_changes += 1;
        let text = format!(
            "crossings {{\n budget all {{\n  rate {}/s fleet\n }}\n}}\n",
            1000 + self.settings_changes
        );
        let (path, new) = (self.folder.path().join("shared"), self.folder.path().join("shared.new"));
        std::fs::write(&new, text)?;
        std::fs::rename(new, path)
    }

    /// Changes the file of the fleet's settings and sends a relay the signal to read it.
    pub fn propose_change(&mut self, relay: usize) -> Result<(), Box<dyn Error>> {
        self.write_settings()?;
        let n = self.relay_index(relay);
        Ok(self.program(n)?.signal("-HUP")?)
    }

    /// Versions that the writer has proposed, and when in Unix seconds, in the order of its log.
    pub fn proposals(&self) -> Vec<(u64, f64)> {
        let parse = |line: &Value| Some((line["version"].as_u64()?, line["time"].as_f64()?));
        self.log_lines(self.relay_index(0), "fleet-settings-proposed")
            .iter()
            .filter_map(|l| parse(l))
            .collect()
    }

    /// Lines of a program's log with this event.
    pub fn log_lines(&self, n: usize, event: &str) -> Vec<&Value> {
        let log = self.programs[n].iter().flat_map(|program| &program.log);
        log.filter(|line| line["event"] == event).collect()
    }

    /// Proposes a change and waits until the writer has proposed it; returns its version and when that was.
    pub fn change_settings(&mut self) -> Result<(u64, f64), Box<dyn Error>> {
        let before = self.proposals().len();
        self.propose_change(0)?;
        self.wait_until("the change to be proposed", START_TIMEOUT_S, |s| Ok(s.proposals().len() > before))?;
        self.proposals().last().copied().ok_or_else(|| "the writer proposed nothing".into())
    }

    /// Whether settings of this version or a later one are in force at all running leaves.
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

    /// For each running leaf, when this version or a later one was first in force at it, in Unix seconds; none if it
    /// is not.
    pub fn settings_times(&self, version: u64) -> Vec<Option<f64>> {
        let mut first: BTreeMap<String, Option<f64>> = BTreeMap::new();
        let mut record = |leaf: String, held: u64, at: f64| {
            let entry = first.entry(leaf).or_default();
            if held >= version {
                *entry = Some(entry.map_or(at, |before: f64| before.min(at)));
            }
        };
        for process in self.hollow.iter().flatten() {
            let plan = &process.plan;
            (plan.first..plan.first + plan.leaves).for_each(|n| record(format!("h{n}"), 0, 0.0));
            process
                .settings_taken
                .iter()
                .for_each(|taken| record(taken.leaf.clone(), taken.version, taken.at));
        }
        for n in (0..self.setup.gatekeepers).filter(|n| self.programs[*n].is_some()) {
            record(format!("n{n}"), 0, 0.0);
            for line in self.log_lines(n, "fleet-settings-taken") {
                let (held, at) = (line["version"].as_u64(), line["time"].as_f64());
                record(format!("n{n}"), held.unwrap_or(0), at.unwrap_or(f64::INFINITY));
            }
        }
        first.into_values().collect()
    }

    /// When leaves reported an attachment after `since`, in Unix seconds.
    pub fn attachment_times(&self, since: f64) -> Vec<f64> {
        let hollow = self.hollow.iter().flatten().flat_map(|p| p.attachments.iter().map(|m| m.at));
        let real = (0..self.setup.gatekeepers).flat_map(|n| self.log_lines(n, "relay-attached"));
        let real = real.filter_map(|line| line["time"].as_f64());
        hollow.chain(real).filter(|at| *at >= since).collect()
    }

    // ---- Faults

    /// Cuts the links between relays of the two regions in both directions, or restores them.
    pub fn cut_regions(&self, cut: bool) {
        let region = |relay: usize| REGIONS[relay % self.setup.zones];
        for ((from, to), proxy) in &self.proxies {
            if region(*from) != region(*to) {
                [Way::There, Way::Back].into_iter().for_each(|way| proxy.cut(way, cut));
            }
        }
    }

    /// Cuts all links of one relay to other relays in both directions, or restores them.
    pub fn cut_relay(&self, relay: usize, cut: bool) {
        for ((from, to), proxy) in &self.proxies {
            if *from == relay || *to == relay {
                [Way::There, Way::Back].into_iter().for_each(|way| proxy.cut(way, cut));
            }
        }
    }
}

/// Processor time in seconds and resident memory in MB of a process.
fn process_use(id: u32) -> Result<(f64, f64), Box<dyn Error>> {
    let read = |file: &str| std::fs::read_to_string(Path::new("/proc").join(id.to_string()).join(file));
    let time: f64 = read("schedstat")?.split_whitespace().next().ok_or("no schedstat")?.parse()?;
    let status = read("status")?;
    let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).ok_or("no VmRSS")?;
    let kb: f64 = resident.trim().trim_end_matches("kB").trim().parse()?;
    Ok((time / 1e9, kb / 1024.0))
}
