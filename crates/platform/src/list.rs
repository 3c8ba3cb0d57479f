//! The list of session servers, read from the configuration or from the resolver's DNS answers (RFC 1035; SRV, A, TXT
//! and SOA records). No I/O.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};

use hickory_proto::op::Message;
use hickory_proto::rr::{RData, Record};
use serde::Deserialize;

/// Whether a listed server accepts new calls. A server that is gone is not listed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Readiness {
    /// In service.
    Ready,
    /// Finishing its open calls; accepts no new ones.
    Draining,
}

/// A session server in the list.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedServer {
    /// Address on which it listens.
    pub address: SocketAddr,
    /// Number of its pool.
    pub number: u32,
    /// Whether it accepts new calls.
    pub readiness: Readiness,
    /// Start time in Unix seconds if the server started late, else 0.
    pub started: f64,
    /// Its district, an index into the list in the settings, if it is given and is in that list.
    pub district: Option<u16>,
}

/// The complete list of servers after a certain event.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Snapshot {
    /// Number of the last event that it includes.
    pub position: u64,
    /// The servers by id, without those that are gone.
    pub servers: BTreeMap<String, ListedServer>,
}

/// One change of the list, as the settings file holds it.
#[derive(Debug, Deserialize)]
pub struct Update {
    pos: u64,
    hosts: Hosts,
}

#[derive(Debug, Deserialize)]
struct Hosts {
    reset: bool,
    instances: Vec<Instance>,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct Instance {
    instance_id: String,
    host_port: SocketAddr,
    cell: u32,
    zone: String,
    lifecycle: Lifecycle,
    started_at_ms: f64,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "lowercase")]
enum Lifecycle {
    Ready,
    Draining,
    Gone,
}

impl Snapshot {
    /// Builds the list from these events. Its position is at least `position`.
    pub fn replay(position: u64, updates: &[Update], districts: &[String]) -> Snapshot {
        let mut list = Snapshot::default();
        for update in updates {
            if update.hosts.reset {
                list.servers.clear();
            }
            list.position = list.position.max(update.pos);
            for host in &update.hosts.instances {
                let readiness = match host.lifecycle {
                    Lifecycle::Ready => Readiness::Ready,
                    Lifecycle::Draining => Readiness::Draining,
                    Lifecycle::Gone => {
                        list.servers.remove(&host.instance_id);
                        continue;
                    }
                };
                let (address, number, started) = (host.host_port, host.cell, host.started_at_ms / 1000.0);
                let district = district(districts, &host.zone);
                let listed = ListedServer { address, number, readiness, started, district };
                list.servers.insert(host.instance_id.clone(), listed);
            }
        }
        list.position = list.position.max(position);
        list
    }

    /// Reads the list from a DNS answer; `None` if the answer is incomplete or malformed.
    pub fn from_answer(answer: &Message, districts: &[String]) -> Option<Snapshot> {
        let records = || answer.answers.iter().chain(&answer.additionals);
        let serial = answer.authorities.iter().chain(&answer.answers).find_map(|r| match &r.data {
            RData::SOA(soa) => Some(soa.serial),
            _ => None,
        })?;
        let mut servers = BTreeMap::new();
        for record in records() {
            let RData::SRV(srv) = &record.data else { continue };
            let of_target = |r: &&Record| r.name == srv.target;
            let ip = records().filter(of_target).find_map(|r| match &r.data {
                RData::A(a) => Some(a.0),
                _ => None,
            })?;
            let mut texts = BTreeMap::new();
            for record in records().filter(of_target) {
                if let RData::TXT(txt) = &record.data {
                    for text in &txt.txt_data {
                        if let Some((key, value)) = std::str::from_utf8(text).ok()?.split_once('=') {
                            texts.insert(key, value);
                        }
                    }
                }
            }
            let mut labels = srv.target.iter();
            let id = String::from_utf8(labels.next()?.to_vec()).ok()?;
            let zone = labels.next().and_then(|label| std::str::from_utf8(label).ok());
            let listed = ListedServer {
                address: (ip as Ipv4Addr, srv.port).into(),
                number: texts.get("cell")?.parse().ok()?,
                readiness: if srv.priority == 0 { Readiness::Ready } else { Readiness::Draining },
                started: texts.get("started").map_or(Some(0.0), |ms| ms.parse().ok())? / 1000.0,
                district: zone.and_then(|zone| district(districts, zone)),
            };
            servers.insert(id, listed);
        }
        Some(Snapshot { position: u64::from(serial), servers })
    }
}

/// Index of a district in the settings. A server of a district that the settings do not name is listed without one and
/// still used.
fn district(districts: &[String], name: &str) -> Option<u16> {
    let at = districts.iter().position(|d| d.eq_ignore_ascii_case(name))?;
    u16::try_from(at).ok()
}
