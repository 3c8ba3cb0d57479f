//! The resolver's records: the list of session servers, as the configuration gives it and as DNS answers hold
//! it (RFC 1035, SRV, A, TXT and SOA). Pure.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};

use hickory_proto::op::Message;
use hickory_proto::rr::{RData, Record};
use serde::Deserialize;

/// Whether a listed server takes new calls; one that is gone is not listed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Readiness {
    /// In service.
    Ready,
    /// Finishing its work; takes nothing new.
    Draining,
}

/// One server of the list.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedServer {
    /// Where it listens.
    pub address: SocketAddr,
    /// The pool's number.
    pub number: u32,
    /// Whether it takes new calls.
    pub readiness: Readiness,
    /// Unix seconds of a late start, or 0.
    pub started: f64,
    /// Its district, an index into the settings' list, if it is told and one of these.
    pub district: Option<u16>,
}

/// The whole list at one position.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Snapshot {
    /// Number of the last event that it holds.
    pub position: u64,
    /// The servers by id; one that is gone is not there.
    pub servers: BTreeMap<String, ListedServer>,
}

/// One event of the list as the configuration file gives it.
#[derive(Debug, Deserialize)]
pub struct Update {
    pos: u64,
    hosts: Hosts,
}

#[derive(Debug, Deserialize)]
struct Hosts {
    #[serde(default)]
    reset: bool,
    #[serde(default)]
    instances: Vec<Instance>,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct Instance {
    instance_id: String,
    host_port: SocketAddr,
    cell: u32,
    #[serde(default)]
    zone: String,
    lifecycle: Lifecycle,
    #[serde(default)]
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
    /// The list after these events.
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

    /// The list in an answer; `None` if the answer does not hold all of it.
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

/// The number of a district's name. A server of a district that the settings do not have is listed
/// without one: it serves all the same.
fn district(districts: &[String], name: &str) -> Option<u16> {
    let at = districts.iter().position(|d| d.eq_ignore_ascii_case(name))?;
    u16::try_from(at).ok()
}
