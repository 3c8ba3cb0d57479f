//! The bed of a case: one gatekeeper between two session servers, a resolver and callers.

use std::io;
use std::net::SocketAddrV4;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

use crate::peers::{Caller, Resolver, Server, SetUpSeen};
use crate::program::{free_address, now, pause, replace, Folder, Gatekeeper, Record};
use crate::proxy::Proxy;
use crate::wire::{known, Listed};
use crate::Verdict;

/// By how much each time limit of the settings is longer on sockets, in seconds.
const SOCKET_SLACK: f64 = 0.05;
/// A call that is over may stand for so long, in seconds.
pub const OVER_WITHIN: f64 = 8.0;

/// A deployment: what differs between the operators' sites, as far as the cases need it.
pub struct Site {
    zones: [&'static str; 3],
    pub drain_grace: f64,
    pub classes: &'static str,
    reports: &'static str,
    attempts: u32,
    release: f64,
}

/// The deployment of `kit/sites/magnolia-steam.toml`.
pub const MAGNOLIA: Site = Site {
    zones: ["downtown", "medical-center", "riverside"],
    drain_grace: 0.25,
    classes: r#"{"effect":"read_like","goalTime":1.5,"group":"all","hardLimit":9.0,"lateWorth":0.1,"memorySpan":5.0,"name":"meter-read","stream":true,"value":1.0},
      {"effect":"read_like","goalTime":1.2,"group":"all","hardLimit":6.0,"lateWorth":0.25,"memorySpan":5.0,"name":"valve-set","stream":true,"value":8.0}"#,
    reports: r#""free","size","hold_back""#,
    attempts: 6,
    release: 0.3,
};

/// What a gatekeeper is told, as JSON.
pub fn config(
    site: &Site,
    listen: SocketAddrV4,
    dns: SocketAddrV4,
    list: &[Listed],
    classes: &str,
) -> String {
    let Site { zones: [a, b, c], drain_grace, reports, attempts, release, .. } = site;
    let pools = vec!["[0,1]"; classes.matches("\"name\"").count()].join(",");
    let widths = vec!["1"; classes.matches("\"name\"").count()].join(",");
    let holding = vec!["8.8"; classes.matches("\"name\"").count()].join(",");
    format!(
        r#"{{"name":"n0","listen":"{listen}","seed":"8c1f30d27a5be964",
 "limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},
 "dns":"{dns}",
 "known":{known},
 "settings":{{"clientHabits":{{"marksRetry":false}},"discovery":"push","family":"trunks",
  "familyInfo":{{"advice":false,"farState":"answers","holding":[{holding}],"homeNo":-1,"poolsByClass":[{pools}],"release":{release},"retransmit":0.4,"retryHint":false,"topology":"pools","widths":[{widths}]}},
  "flavors":["standard"],"goal":{{"whole":0.55,"worstClass":0.2,"worstTenant":0.0,"worstWindow":0.25}},
  "limits":{{"connIdle":600.0,"connectTimeout":0.5,"cpuUsPerRequest":0.0,"cpuUsPerS":300000,"maxRetryAfter":2.0,"mayCancel":true,"mostHeld":20000,"peerMessages":false,"probes":true,"retryAfter":true,"secondCopies":false,"streamsPerConn":1048576,"tryLimit":{attempts}}},
  "overShareWorth":0.1,"peersTotal":1,"period":0.005,"position":0,
  "requestClasses":[{classes}],
  "safety":{{"askWithin":10.0,"cold":14.0,"coldFrom":0.29,"drainGrace":{drain_grace},"graceToAnswer":0.02,"overloadFactor":3.0,"tipAfter":1.0}},
  "telemetry":{{"how":"answers","names":[{reports}]}},
  "tenants":[],"tier":0,"tiers":["session-servers"],"valueBy":"request","weights":"none","zone":0,"zones":["{a}","{b}","{c}"]}}}}
"#,
        known = known(1, list)
    )
}

/// A gatekeeper between two session servers, a resolver and callers.
pub struct Bed<'a> {
    pub site: &'a Site,
    root: &'a Path,
    folder: &'a Folder,
    pub record: Arc<Record>,
    pub listen: SocketAddrV4,
    pub file: PathBuf,
    pub servers: [Arc<Server>; 2],
    /// On the way to the first server.
    pub proxy: Arc<Proxy>,
    pub resolver: Arc<Resolver>,
}

impl<'a> Bed<'a> {
    /// `hold` is how long calls stand, in seconds, if nobody releases them.
    pub fn open(
        site: &'a Site,
        root: &'a Path,
        folder: &'a Folder,
        record: &Arc<Record>,
        hold: f64,
    ) -> io::Result<Bed<'a>> {
        let servers = [Server::open("s-a", hold, record)?, Server::open("s-b", hold, record)?];
        let proxy = Proxy::open(servers[0].address, record)?;
        let list = list(site, &servers, &proxy);
        let resolver = Resolver::open(list.clone(), record)?;
        let listen = free_address()?;
        let file = folder.0.join("n0.json");
        replace(&file, &config(site, listen, resolver.address, &list, site.classes))?;
        Ok(Bed { site, root, folder, record: Arc::clone(record), listen, file, servers, proxy, resolver })
    }

    pub fn list(&self) -> Vec<Listed> {
        list(self.site, &self.servers, &self.proxy)
    }

    /// The list in which the first server drains.
    pub fn draining(&self) -> Vec<Listed> {
        let mut list = self.list();
        list[0].draining = true;
        list
    }

    pub fn start(&self) -> io::Result<Gatekeeper> {
        let gatekeeper = Gatekeeper::start(self.root, self.folder, "n0", self.listen, &self.file)?;
        Caller::wait_until_ready(self.listen, &self.record)?;
        self.record.line("the gatekeeper has passed a test");
        Ok(gatekeeper)
    }
}

fn list(site: &Site, servers: &[Arc<Server>; 2], proxy: &Proxy) -> Vec<Listed> {
    let listed = |(n, server): (usize, &Arc<Server>)| Listed {
        id: server.name.clone(),
        zone: site.zones[n],
        address: if n == 0 { proxy.address } else { server.address },
        number: n as u32,
        draining: false,
        started_ms: 0,
    };
    servers.iter().enumerate().map(listed).collect()
}

/// Callers that send set-ups at a steady rate on one connection.
pub struct Traffic {
    stop: Arc<AtomicBool>,
    sent: Arc<Mutex<Vec<u64>>>,
    thread: Option<thread::JoinHandle<()>>,
}

impl Traffic {
    /// Calls have the ids from `first` on; first choices alternate between the two servers.
    pub fn start(
        caller: &Arc<Caller>,
        record: &Arc<Record>,
        first: u64,
        per_s: f64,
        class: &'static str,
        wait_ms: u32,
    ) -> Traffic {
        let (stop, sent) = (Arc::new(AtomicBool::new(false)), Arc::<Mutex<Vec<u64>>>::default());
        let (caller, record, stopping, taken) =
            (Arc::clone(caller), Arc::clone(record), Arc::clone(&stop), Arc::clone(&sent));
        let thread = thread::spawn(move || {
            let (mut call, mut due) = (first, now());
            while !stopping.load(Ordering::Relaxed) {
                let choice = (call % 2) as u32;
                if caller.set_up(&record, call, class, choice, wait_ms).is_err() {
                    return;
                }
                if let Ok(mut sent) = taken.lock() {
                    sent.push(call);
                }
                call += 1;
                due += 1.0 / per_s;
                pause(due - now());
            }
        });
        Traffic { stop, sent, thread: Some(thread) }
    }

    /// Stops sending; returns the calls.
    pub fn stop(&mut self) -> Vec<u64> {
        self.stop.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
        self.sent.lock().map(|sent| sent.clone()).unwrap_or_default()
    }
}

/// Set-ups that reached a server later than allowed after its drain was told at `told`.
pub fn judge_drain(bed: &Bed, told: f64) -> Verdict {
    let limit = told + bed.site.drain_grace + SOCKET_SLACK;
    bed.record.say(format!(
        "the drain of s-a counts as told at {:.4}; nothing new may reach it after {:.4}",
        bed.record.at(told),
        bed.record.at(limit)
    ));
    let late: Vec<_> = bed.servers[0].seen().into_iter().filter(|seen| seen.at > limit).collect();
    bed.record.say(format!(
        "set-ups at s-a in all: {}, after that: {}",
        bed.servers[0].seen().len(),
        late.len()
    ));
    let broken = |seen: &SetUpSeen| {
        format!(
            "set-up {:016x} of {} reached s-a {:.3} s after its drain was told",
            seen.call,
            seen.class,
            seen.at - told
        )
    };
    late.iter().take(20).map(broken).collect()
}
