//! A process of hollow leaves: one thread, one loop, and the gatekeeper's own links between a leaf and its relays.

use std::collections::BTreeMap;
use std::error::Error;
use std::io::{Read, Write};
use std::net::SocketAddr;
use std::str::FromStr;

use hollypaddle::node::clock::Clock;
use hollypaddle::node::poller::Poller;
use hollypaddle::node::relays::{max_leaf_links, Links};
use hollypaddle_membership::{Incarnation, MemberId};
use hollypaddle_relay::budget::PACKET_HEADER_BYTES;
use hollypaddle_relay::leaf::{Event, Identity, Leaf};
use hollypaddle_relay::placement::{NodeLocation, RelayLocation};
use hollypaddle_relay::{Node, Timing};
use hollypaddle_replica::record::{Place as ServerPlace, Presence, ServerFact, ServerKey, Topic};
use serde::{Deserialize, Serialize};

/// Between two reports that nobody asked for, in seconds.
const EVERY: f64 = 1.0;
/// What a refused change is refused with.
const REFUSAL: &str = "told to refuse";

/// Many hollow leaves of a tier of relays in one process. It reports as a JSON line once a second, and at once for each
/// line on its standard input, whose end ends it.
#[derive(Clone, Debug, clap::Parser)]
pub struct Plan {
    /// A relay, as NAME,ADDRESS:PORT,ZONE,REGION; one for each.
    #[arg(long = "relay", required = true)]
    pub relays: Vec<RelayArg>,
    /// How many leaves.
    #[arg(long, default_value_t = 1)]
    pub leaves: usize,
    /// The number of the first; leaf 7 is named h7.
    #[arg(long, default_value_t = 0)]
    pub first: usize,
    /// Services, of which each leaf has one by turns.
    #[arg(long, default_value_t = 120)]
    pub services: usize,
    /// Servers of a service; each of its leaves tells of all.
    #[arg(long, default_value_t = 6)]
    pub servers: usize,
    /// Where the leaves stand: one zone, or several by turns, as ZONE,REGION.
    #[arg(long = "zone", required = true)]
    pub zones: Vec<ZoneArg>,
    /// The name of a leaf that turns down all settings.
    #[arg(long)]
    pub refuse: Option<String>,
}

/// A relay on the command line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RelayArg {
    /// Its name.
    pub name: String,
    /// Where it takes links.
    pub address: SocketAddr,
    /// Where it stands.
    pub location: NodeLocation,
}

impl FromStr for RelayArg {
    type Err = String;

    fn from_str(text: &str) -> Result<RelayArg, String> {
        let [name, address, zone, region] = text.split(',').collect::<Vec<_>>()[..] else {
            return Err("expected NAME,ADDRESS:PORT,ZONE,REGION".into());
        };
        let address = address.parse().map_err(|_| format!("{address:?} is no address"))?;
        let place = NodeLocation { zone: zone.into(), region: region.into() };
        Ok(RelayArg { name: name.into(), address, location: place })
    }
}

impl std::fmt::Display for RelayArg {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{},{},{},{}", self.name, self.address, self.location.zone, self.location.region)
    }
}

/// A zone on the command line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ZoneArg(pub NodeLocation);

impl FromStr for ZoneArg {
    type Err = String;

    fn from_str(text: &str) -> Result<ZoneArg, String> {
        let (zone, region) = text.split_once(',').ok_or("expected ZONE,REGION")?;
        Ok(ZoneArg(NodeLocation { zone: zone.into(), region: region.into() }))
    }
}

/// A leaf that took settings.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SettingsTaken {
    /// Which leaf.
    pub leaf: String,
    /// Which version.
    pub version: u64,
    /// When, in Unix seconds.
    pub at: f64,
}

/// A leaf that was attached.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Attachment {
    /// Which leaf.
    pub leaf: String,
    /// To which relay.
    pub relay: String,
    /// Seconds since the relay before was lost; none at a start and on the way home.
    pub after: Option<f64>,
    /// When, in Unix seconds.
    pub at: f64,
}

/// What a process of hollow leaves says of them.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// When, in Unix seconds.
    pub at: f64,
    /// Leaves by the relay that they are attached to; the empty name is none.
    pub attached: BTreeMap<String, usize>,
    /// Leaves that hold settings of a version in force.
    pub in_force: BTreeMap<u64, usize>,
    /// How many leaves hold another one to have left or to be gone for good, by that one's id.
    pub gone: BTreeMap<String, usize>,
    /// The same, to be silent or closed for now.
    #[serde(rename = "doubted")]
    pub suspected: BTreeMap<String, usize>,
    /// Servers of all leaves' services that they hear of.
    pub servers: usize,
    /// Other leaves of their services that all of them hear of.
    pub peers: usize,
    /// Messages that they said and heard since the start.
    pub messages: [u64; 2],
    /// Bytes of those.
    pub bytes: [u64; 2],
    /// Bytes of each leaf since the start, both ways, headers of packets counted.
    #[serde(rename = "each")]
    pub bytes_by_leaf: Vec<u64>,
    /// Settings that leaves took since the last report, and attachments.
    #[serde(rename = "took")]
    pub settings_taken: Vec<SettingsTaken>,
    /// The latter.
    #[serde(rename = "moved")]
    pub attachments: Vec<Attachment>,
}

/// One leaf with its links.
struct One {
    name: String,
    leaf: Leaf,
    links: Links,
    next_at: f64,
    refuses: bool,
}

struct Process {
    clock: Clock,
    poller: Poller,
    names: BTreeMap<MemberId, String>,
    all: Vec<One>,
    took: Vec<SettingsTaken>,
    moved: Vec<Attachment>,
}

/// The id of a leaf as reports have it.
pub fn leaf_id(name: &str) -> String {
    format!("{:016x}", MemberId::of(name).0)
}

/// Runs until its standard input ends.
pub fn run(plan: &Plan) -> Result<(), Box<dyn Error>> {
    let mut process = Process::open(plan)?;
    let mut input = std::io::stdin();
    // One that is no pipe asks nothing.
    let asks = process.poller.add(&input, false).ok();
    let mut report_at = process.clock.now() + EVERY;
    // Where a test runner has begun a line.
    println!();
    loop {
        let wanted = process.all.iter().map(|one| one.next_at).fold(report_at, f64::min);
        let ready = process.poller.wait(wanted - process.clock.now())?;
        let now = process.clock.now();
        let mut asked = false;
        for ready in ready {
            if Some(ready.key) == asks {
                if input.read(&mut [0; 256])? == 0 {
                    return Ok(());
                }
                asked = true;
                continue;
            }
            for one in &mut process.all {
                if one.ready(now, ready, &mut process.poller) {
                    break;
                }
            }
        }
        process.turn(now);
        if asked || now >= report_at {
            report_at = now + EVERY;
            let report = process.report(now);
            let mut out = std::io::stdout().lock();
            writeln!(out, "{}", serde_json::to_string(&report)?)?;
            out.flush()?;
        }
    }
}

impl One {
    fn ready(&mut self, now: f64, ready: hollypaddle::node::poller::Ready, poller: &mut Poller) -> bool {
        if !self.links.owns(ready.key) {
            return false;
        }
        self.leaf.tick(now);
        self.links.handle_ready(now, ready, &mut self.leaf, poller);
        self.next_at = now;
        true
    }
}

impl Process {
    fn open(plan: &Plan) -> Result<Process, Box<dyn Error>> {
        let (clock, mut poller) = (Clock::new(), Poller::new()?);
        let now = clock.now();
        let places: Vec<RelayLocation> = (plan.relays.iter())
            .map(|r| RelayLocation { relay: MemberId::of(&r.name), location: r.location.clone() })
            .collect();
        let addresses: BTreeMap<MemberId, SocketAddr> =
            plan.relays.iter().map(|r| (MemberId::of(&r.name), r.address)).collect();
        let nonce = u64::from(std::process::id()).rotate_left(40) ^ now.to_bits();
        let mut all = Vec::new();
        for n in plan.first..plan.first + plan.leaves {
            let name = format!("h{n}");
            let service = format!("s{}", n % plan.services.max(1));
            let place = plan.zones[n % plan.zones.len()].0.clone();
            let life = Incarnation { number: (now * 1e6) as u64, nonce: nonce ^ n as u64 };
            let identity = Identity {
                id: MemberId::of(&name),
                incarnation: life,
                topic: Topic::of(&service),
                location: place,
            };
            let mut leaf = Leaf::new(now, identity, places.clone(), Timing::default()).with_name(&name);
            for server in 0..plan.servers {
                let key = ServerKey::of(&format!("{service}/{server}"));
                leaf.set_server(now, key, Some(ServerFact { started_ms: 0, place: ServerPlace::Ready }));
            }
            let mut links = Links::open(None, max_leaf_links(), &mut poller)?;
            links.reconfigure(now, max_leaf_links(), addresses.clone(), &mut leaf, &poller);
            let refuses = plan.refuse.as_ref() == Some(&name);
            all.push(One { name, leaf, links, next_at: now, refuses });
        }
        let names = plan.relays.iter().map(|r| (MemberId::of(&r.name), r.name.clone())).collect();
        Ok(Process { clock, poller, names, all, took: Vec::new(), moved: Vec::new() })
    }

    fn turn(&mut self, now: f64) {
        for one in self.all.iter_mut().filter(|one| one.next_at <= now) {
            one.leaf.tick(now);
            one.links.maintain(now, &mut one.leaf, &mut self.poller);
            if let Some(offered) = one.leaf.take_new_settings() {
                let version = offered.revision().version;
                let verdict = if one.refuses { Err(REFUSAL.to_string()) } else { Ok(()) };
                one.leaf.record_settings_result(version, verdict);
                if !one.refuses {
                    self.took.push(SettingsTaken { leaf: one.name.clone(), version, at: now });
                }
            }
            one.links.apply_node_actions(now, &mut one.leaf, &mut self.poller);
            for event in one.leaf.take_events() {
                let (relay, after) = match event {
                    Event::Attached(relay, after) => (relay, after),
                    Event::Returned(relay) => (relay, None),
                    _ => continue,
                };
                let relay = self.names.get(&relay).cloned().unwrap_or_default();
                self.moved.push(Attachment { leaf: one.name.clone(), relay, after, at: now });
            }
            one.next_at = one.leaf.next_tick_at();
        }
    }

    fn report(&mut self, now: f64) -> Report {
        let mut report = Report {
            at: now,
            settings_taken: std::mem::take(&mut self.took),
            attachments: std::mem::take(&mut self.moved),
            ..Report::default()
        };
        for one in &self.all {
            let (status, counts) = (one.leaf.status(now), one.links.counts);
            let relay = status.relay.and_then(|relay| self.names.get(&relay)).cloned();
            *report.attached.entry(relay.unwrap_or_default()).or_default() += 1;
            *report.in_force.entry(status.in_force).or_default() += 1;
            report.servers += status.servers;
            for (peer, fact) in one.leaf.peers() {
                let held = match fact.presence {
                    Presence::Here => None,
                    Presence::Silent | Presence::Closed => Some(&mut report.suspected),
                    Presence::Left | Presence::Gone => Some(&mut report.gone),
                };
                if let Some(held) = held {
                    *held.entry(format!("{:016x}", peer.0)).or_default() += 1;
                }
                report.peers += usize::from(fact.presence == Presence::Here);
            }
            let (messages, bytes) =
                ([counts.sent, counts.received], [counts.bytes_sent, counts.bytes_received]);
            for way in 0..2 {
                report.messages[way] += messages[way];
                report.bytes[way] += bytes[way];
            }
            let headers = (counts.sent + counts.received) * PACKET_HEADER_BYTES as u64;
            report.bytes_by_leaf.push(counts.bytes_sent + counts.bytes_received + headers);
        }
        report
    }
}
