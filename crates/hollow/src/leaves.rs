//! Runs hollow leaves in one process: one thread, one event loop, and the gatekeeper's own links between leaves and
//! relays.

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
use hollypaddle_replica::record::{Presence, ServerFact, ServerKey, ServerState, Topic};
use serde::{Deserialize, Serialize};

/// Interval between periodic reports, in seconds.
const REPORT_INTERVAL_S: f64 = 1.0;
/// The reason that a leaf gives for rejecting settings.
const REFUSAL_REASON: &str = "configured to refuse";

/// Runs many hollow leaves of a tier of relays in one process. Prints a report as a JSON line once a second, and at
/// once for each line on standard input; exits when standard input ends.
#[derive(Clone, Debug, clap::Parser)]
pub struct Plan {
    /// A relay, as NAME,ADDRESS:PORT,ZONE,REGION; once for each relay.
    #[arg(long = "relay", required = true)]
    pub relays: Vec<RelayArg>,
    /// The number of leaves.
    #[arg(long, default_value_t = 1)]
    pub leaves: usize,
    /// The number of the first leaf; leaf 7 is named h7.
    #[arg(long, default_value_t = 0)]
    pub first: usize,
    /// The number of services; leaves are assigned to them in turn.
    #[arg(long, default_value_t = 120)]
    pub services: usize,
    /// Servers per service; each leaf of the service reports all of them.
    #[arg(long, default_value_t = 6)]
    pub servers: usize,
    /// Where the leaves are, as ZONE,REGION; leaves are assigned to several zones in turn.
    #[arg(long = "zone", required = true)]
    pub zones: Vec<ZoneArg>,
    /// The name of a leaf that rejects all settings.
    #[arg(long)]
    pub refuse: Option<String>,
}

/// A relay on the command line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RelayArg {
    /// Its name.
    pub name: String,
    /// Where it accepts links.
    pub address: SocketAddr,
    /// Its zone and region.
    pub location: NodeLocation,
}

impl FromStr for RelayArg {
    type Err = String;

    fn from_str(text: &str) -> Result<RelayArg, String> {
        let [name, address, zone, region] = text.split(',').collect::<Vec<_>>()[..] else {
            return Err("expected NAME,ADDRESS:PORT,ZONE,REGION".into());
        };
        let address = address.parse().map_err(|_| format!("{address:?} is not a valid ADDRESS:PORT"))?;
        let location = NodeLocation { zone: zone.into(), region: region.into() };
        Ok(RelayArg { name: name.into(), address, location })
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

/// Reports that a leaf has applied settings.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SettingsTaken {
    /// The leaf's name.
    pub leaf: String,
    /// The version of the settings.
    pub version: u64,
    /// When, in Unix seconds.
    pub at: f64,
}

/// Reports that a leaf was attached to a relay.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Attachment {
    /// The leaf's name.
    pub leaf: String,
    /// The relay's name.
    pub relay: String,
    /// Seconds since the earlier relay was lost; none at a start and on a return to a preferred relay.
    pub after: Option<f64>,
    /// When, in Unix seconds.
    pub at: f64,
}

/// State of all leaves of a process.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// When, in Unix seconds.
    pub at: f64,
    /// The number of leaves by the relay that they are attached to; the empty name stands for none.
    pub attached: BTreeMap<String, usize>,
    /// The number of leaves by the version of the settings in force at them.
    pub in_force: BTreeMap<u64, usize>,
    /// By the id of a leaf, how many leaves here consider it to have left or to be gone for good.
    pub gone: BTreeMap<String, usize>,
    /// By the id of a leaf, how many leaves here consider it to be silent or disconnected for now.
    #[serde(rename = "doubted")]
    pub suspected: BTreeMap<String, usize>,
    /// Servers of their own services that the leaves know, summed over the leaves.
    pub servers: usize,
    /// Other leaves of their own services that the leaves know to be present, summed over the leaves.
    pub peers: usize,
    /// Messages sent and received since the start.
    pub messages: [u64; 2],
    /// Bytes sent and received since the start, without packet headers.
    pub bytes: [u64; 2],
    /// Bytes of each leaf since the start, sent and received, packet headers included.
    #[serde(rename = "each")]
    pub bytes_by_leaf: Vec<u64>,
    /// Settings applied by leaves since the last report.
    #[serde(rename = "took")]
    pub settings_taken: Vec<SettingsTaken>,
    /// Attachments of leaves since the last report.
    #[serde(rename = "moved")]
    pub attachments: Vec<Attachment>,
}

/// HollowLeaf leaf with its links.
struct HollowLeaf {
    name: String,
    leaf: Leaf,
    links: Links,
    next_tick_at: f64,
    refuses: bool,
}

struct Process {
    clock: Clock,
    poller: Poller,
    relay_names: BTreeMap<MemberId, String>,
    leaves: Vec<HollowLeaf>,
    settings_taken: Vec<SettingsTaken>,
    attachments: Vec<Attachment>,
}

/// The id of a leaf as it appears in reports.
pub fn leaf_id(name: &str) -> String {
    format!("{:016x}", MemberId::of(name).0)
}

/// Runs until standard input ends. Fails if a link's listener or the poller cannot be set up, or if a report cannot
/// be written.
pub fn run(plan: &Plan) -> Result<(), Box<dyn Error>> {
    let mut process = Process::open(plan)?;
    let mut input = std::io::stdin();
    // Standard input that is not a pipe cannot request reports.
    let request_key = process.poller.add(&input, false).ok();
    let mut report_at = process.clock.now() + REPORT_INTERVAL_S;
    // Ends a line that a test runner may have begun.
    println!();
    loop {
        let wanted = process.leaves.iter().map(|hollow| hollow.next_tick_at).fold(report_at, f64::min);
        let ready = process.poller.wait(wanted - process.clock.now())?;
        let now = process.clock.now();
        let mut requested = false;
        for ready in ready {
            if Some(ready.key) == request_key {
                if input.read(&mut [0; 256])? == 0 {
                    return Ok(());
                }
                requested = true;
                continue;
            }
            for hollow in &mut process.leaves {
                if hollow.ready(now, ready, &mut process.poller) {
                    break;
                }
            }
        }
        process.poll_leaves(now);
        if requested || now >= report_at {
            report_at = now + REPORT_INTERVAL_S;
            let report = process.report(now);
            let mut out = std::io::stdout().lock();
            writeln!(out, "{}", serde_json::to_string(&report)?)?;
            out.flush()?;
        }
    }
}

impl HollowLeaf {
    fn ready(&mut self, now: f64, ready: hollypaddle::node::poller::Ready, poller: &mut Poller) -> bool {
        if !self.links.owns(ready.key) {
            return false;
        }
        self.leaf.tick(now);
        self.links.handle_ready(now, ready, &mut self.leaf, poller);
        self.next_tick_at = now;
        true
    }
}

impl Process {
    fn open(plan: &Plan) -> Result<Process, Box<dyn Error>> {
        let (clock, mut poller) = (Clock::new(), Poller::new()?);
        let now = clock.now();
        let relays: Vec<RelayLocation> = (plan.relays.iter())
            .map(|r| RelayLocation { relay: MemberId::of(&r.name), location: r.location.clone() })
            .collect();
        let addresses: BTreeMap<MemberId, SocketAddr> =
            plan.relays.iter().map(|r| (MemberId::of(&r.name), r.address)).collect();
        let nonce = u64::from(std::process::id()).rotate_left(40) ^ now.to_bits();
        let mut leaves = Vec::new();
        for n in plan.first..plan.first + plan.leaves {
            let name = format!("h{n}");
            let service = format!("s{}", n % plan.services.max(1));
            let location = plan.zones[n % plan.zones.len()].0.clone();
            let incarnation = Incarnation { number: (now * 1e6) as u64, nonce: nonce ^ n as u64 };
            let identity =
                Identity { id: MemberId::of(&name), incarnation, topic: Topic::of(&service), location };
            let mut leaf = Leaf::new(now, identity, relays.clone(), Timing::default()).with_name(&name);
            for server in 0..plan.servers {
                let key = ServerKey::of(&format!("{service}/{server}"));
                leaf.set_server(now, key, Some(ServerFact { started_ms: 0, place: ServerState::Ready }));
            }
            let mut links = Links::open(None, max_leaf_links(), &mut poller)?;
            links.reconfigure(now, max_leaf_links(), addresses.clone(), &mut leaf, &poller);
            let refuses = plan.refuse.as_ref() == Some(&name);
            leaves.push(HollowLeaf { name, leaf, links, next_tick_at: now, refuses });
        }
        let relay_names = plan.relays.iter().map(|r| (MemberId::of(&r.name), r.name.clone())).collect();
        Ok(Process {
            clock,
            poller,
            relay_names,
            leaves,
            settings_taken: Vec::new(),
            attachments: Vec::new(),
        })
    }

    fn poll_leaves(&mut self, now: f64) {
        for hollow in self.leaves.iter_mut().filter(|hollow| hollow.next_tick_at <= now) {
            hollow.leaf.tick(now);
            hollow.links.maintain(now, &mut hollow.leaf, &mut self.poller);
            if let Some(offered) = hollow.leaf.take_new_settings() {
                let version = offered.revision().version;
                let result = if hollow.refuses { Err(REFUSAL_REASON.to_string()) } else { Ok(()) };
                hollow.leaf.record_settings_result(version, result);
                if !hollow.refuses {
                    self.settings_taken.push(SettingsTaken { leaf: hollow.name.clone(), version, at: now });
                }
            }
            hollow.links.apply_node_actions(now, &mut hollow.leaf, &mut self.poller);
            for event in hollow.leaf.take_events() {
                let (relay, after) = match event {
                    Event::Attached(relay, after) => (relay, after),
                    Event::Returned(relay) => (relay, None),
                    _ => continue,
                };
                let relay = self.relay_names.get(&relay).cloned().unwrap_or_default();
                self.attachments.push(Attachment { leaf: hollow.name.clone(), relay, after, at: now });
            }
            hollow.next_tick_at = hollow.leaf.next_tick_at();
        }
    }

    fn report(&mut self, now: f64) -> Report {
        let mut report = Report {
            at: now,
            settings_taken: std::mem::take(&mut self.settings_taken),
            attachments: std::mem::take(&mut self.attachments),
            ..Report::default()
        };
        for hollow in &self.leaves {
            let (status, counts) = (hollow.leaf.status(now), hollow.links.counts);
            let relay = status.relay.and_then(|relay| self.relay_names.get(&relay)).cloned();
            *report.attached.entry(relay.unwrap_or_default()).or_default() += 1;
            *report.in_force.entry(status.in_force).or_default() += 1;
            report.servers += status.servers;
            for (peer, fact) in hollow.leaf.peers() {
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
            for direction in 0..2 {
                report.messages[direction] += messages[direction];
                report.bytes[direction] += bytes[direction];
            }
            let headers = (counts.sent + counts.received) * PACKET_HEADER_BYTES as u64;
            report.bytes_by_leaf.push(counts.bytes_sent + counts.bytes_received + headers);
        }
        report
    }
}
