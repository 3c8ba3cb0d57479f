//! A real process of the program before a farm of servers, and what the system says of it.

use std::error::Error;
use std::net::SocketAddr;
use std::path::Path;

use hollypaddle_standin::platform_file;
use hollypaddle_standin::program::Program;
use hollypaddle_standin::resolver::{known, Listed};
use serde_json::json;

use super::farm::{Farm, Habits, FOR_GOOD, SHORT};

/// Descriptors that the gatekeeper is told it may hold, where nothing else is said.
pub(crate) const SOCKETS: usize = 8192;
/// Memory that it is told it may hold, in megabytes.
const MEMORY_MB: u32 = 256;
/// Cycles of the system's clock for processor time in a second, as Linux has them everywhere.
const TICKS: f64 = 100.0;

/// Where a stage differs from the usual one.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Plan {
    /// Servers.
    pub(crate) servers: usize,
    /// How they are.
    pub(crate) habits: Habits,
    /// Descriptors that the gatekeeper is told of.
    pub(crate) sockets: usize,
    /// Classes beyond the two usual ones, each with so many servers of its own; the usual ones have the first of them.
    pub(crate) services_of: Option<usize>,
    /// Where the resolver is asked; nobody answers where it is not said.
    pub(crate) resolver: Option<SocketAddr>,
}

impl Plan {
    /// The usual one, with so many servers.
    pub(crate) fn of(servers: usize) -> Plan {
        Plan { servers, habits: Habits::default(), sockets: SOCKETS, services_of: None, resolver: None }
    }
}

/// A gatekeeper's process and its servers.
pub(crate) struct Stage {
    /// The servers.
    pub(crate) farm: Farm,
    /// The process.
    pub(crate) program: Program,
    /// Where it takes callers.
    pub(crate) address: SocketAddr,
    _folder: tempfile::TempDir,
}

/// The list of a farm's servers.
pub(crate) fn listed(doors: &[SocketAddr]) -> Vec<Listed> {
    let line = |(n, address): (usize, &SocketAddr)| Listed {
        id: format!("s-{n:08x}"),
        district: ["downtown", "medical-center", "riverside"][n % 3].to_string(),
        address: *address,
        number: n as u32,
        draining: false,
        started_ms: 0,
    };
    doors.iter().enumerate().map(line).collect()
}

/// The configuration of one gatekeeper of 750, as a platform gives it.
fn config(plan: &Plan, doors: &[SocketAddr]) -> Result<String, Box<dyn Error>> {
    let all: Vec<usize> = (0..plan.servers).collect();
    let mut classes = vec![(SHORT.to_string(), all.clone()), (FOR_GOOD.to_string(), all.clone())];
    if let Some(each) = plan.services_of {
        classes[0].1.truncate(each);
        classes[1].1.truncate(each);
        let more = all.chunks(each).enumerate().skip(1);
        classes.extend(more.map(|(n, pools)| (format!("service-{n}"), pools.to_vec())));
    }
    let class = |(name, _): &(String, Vec<usize>)| {
        json!({"name": name, "effect": "read_like", "goalTime": 1.5, "hardLimit": 9.0, "lateWorth": 0.2,
            "value": 1.0})
    };
    // Nobody answers there: what the list costs is measured for itself.
    let silent = SocketAddr::from(([127, 0, 0, 1], 9));
    let text = json!({
        "name": "n0", "seed": "1f",
        "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": plan.sockets},
        "dns": plan.resolver.unwrap_or(silent).to_string(),
        "known": serde_json::from_str::<serde_json::Value>(&known(1, &listed(doors)))?,
        "settings": {
            "peersTotal": 750, "period": 0.005,
            "zones": ["downtown", "medical-center", "riverside"], "zone": 0,
            "telemetry": {"names": ["free", "size"]}, "clientHabits": {"marksRetry": false},
            "familyInfo": {"release": 0.3, "retransmit": 0.4, "retryHint": false,
                "holding": classes.iter().map(|_| 9.0).collect::<Vec<f64>>(),
                "poolsByClass": classes.iter().map(|c| c.1.clone()).collect::<Vec<_>>(),
                "widths": classes.iter().map(|_| 1).collect::<Vec<_>>()},
            "limits": {"tryLimit": 6, "mayCancel": true, "retryAfter": true, "maxRetryAfter": 2.0,
                "connectTimeout": 0.5},
            "requestClasses": classes.iter().map(class).collect::<Vec<_>>(),
            "safety": {"cold": 14.0, "coldFrom": 0.29, "overloadFactor": 3.0, "drainGrace": 0.25},
        },
    });
    Ok(platform_file::complete(&text.to_string())?)
}

/// What the system says that a process has used.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Used {
    /// Processor time, in microseconds, and that of the two halves, in steps of 10 ms.
    pub(crate) cpu: f64,
    /// In the program.
    pub(crate) user: f64,
    /// In the system, for it.
    pub(crate) system: f64,
    /// Times that it waited for something.
    pub(crate) waits: f64,
}

impl std::ops::Sub for Used {
    type Output = Used;

    fn sub(self, other: Used) -> Used {
        Used {
            cpu: self.cpu - other.cpu,
            user: self.user - other.user,
            system: self.system - other.system,
            waits: self.waits - other.waits,
        }
    }
}

impl std::ops::AddAssign for Used {
    fn add_assign(&mut self, other: Used) {
        self.cpu += other.cpu;
        self.user += other.user;
        self.system += other.system;
        self.waits += other.waits;
    }
}

impl Stage {
    /// Starts the process and waits until it serves.
    pub(crate) fn open(program: &Path, plan: &Plan) -> Result<Stage, Box<dyn Error>> {
        let farm = Farm::open(plan.servers, plan.habits)?;
        let folder = tempfile::tempdir()?;
        let text = config(plan, &farm.doors)?;
        let mut program = Program::start_with(program, folder.path(), "n0", &text, "", "127.0.0.1:0")?;
        let address = program.serving()?;
        Ok(Stage { farm, program, address, _folder: folder })
    }

    fn proc(&self, file: &str) -> std::io::Result<String> {
        std::fs::read_to_string(format!("/proc/{}/{file}", self.program.child.id()))
    }

    fn status(&self, name: &str) -> Result<f64, Box<dyn Error>> {
        let text = self.proc("status")?;
        let line = text.lines().find_map(|l| l.strip_prefix(name)).ok_or_else(|| format!("no {name}"))?;
        Ok(line.split_whitespace().next().ok_or("no figure")?.parse()?)
    }

    /// Resident memory, in kB.
    pub(crate) fn resident(&self) -> Result<f64, Box<dyn Error>> {
        self.status("VmRSS:")
    }

    /// Open descriptors.
    pub(crate) fn descriptors(&self) -> Result<usize, Box<dyn Error>> {
        Ok(std::fs::read_dir(format!("/proc/{}/fd", self.program.child.id()))?.count())
    }

    /// What it has used so far.
    pub(crate) fn used(&self) -> Result<Used, Box<dyn Error>> {
        let schedstat = self.proc("schedstat")?;
        let ns: f64 = schedstat.split_whitespace().next().ok_or("no schedstat")?.parse()?;
        let stat = self.proc("stat")?;
        // What follows the name, which may hold anything: utime is the 12th, stime the 13th.
        let after = stat.rsplit_once(')').ok_or("no stat")?.1;
        let mut fields = after.split_whitespace().skip(11);
        let mut ticks = || -> Result<f64, Box<dyn Error>> {
            Ok(fields.next().ok_or("a short stat")?.parse::<f64>()? * 1e6 / TICKS)
        };
        let (user, system) = (ticks()?, ticks()?);
        Ok(Used { cpu: ns / 1000.0, user, system, waits: self.status("voluntary_ctxt_switches:")? })
    }
}
