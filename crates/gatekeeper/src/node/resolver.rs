//! The resolver: the list of session servers, polled over DNS (RFC 1035) on UDP.

use std::collections::{BTreeMap, VecDeque};
use std::io::{self, ErrorKind};
use std::net::{Ipv4Addr, SocketAddr, UdpSocket};

use hickory_proto::op::{Message, MessageType, OpCode, Query, ResponseCode};
use hickory_proto::rr::{Name, RData, Record, RecordType};
use hollypaddle_policy::Readiness;
use serde::Deserialize;

/// The name whose SRV records are the list.
const LIST: &str = "_work._tcp.fleet.local.";
/// Largest answer, with room to spare.
const ANSWER: usize = 16 * 1024;
/// Questions whose answers are still taken. A lost answer costs one interval and no more, as the next
/// question does not wait for it.
const OPEN_QUESTIONS: usize = 8;

/// One server of the list.
#[derive(Clone, Debug, PartialEq)]
pub struct Listed {
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
    pub servers: BTreeMap<String, Listed>,
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
                let listed = Listed { address, number, readiness, started, district };
                list.servers.insert(host.instance_id.clone(), listed);
            }
        }
        list.position = list.position.max(position);
        list
    }

    /// The list in an answer; `None` if the answer does not hold all of it.
    fn from_answer(answer: &Message, districts: &[String]) -> Option<Snapshot> {
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
            let listed = Listed {
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

/// Asks and listens.
pub struct Resolver {
    socket: UdpSocket,
    name: Name,
    districts: Vec<String>,
    /// Ids of questions asked lately.
    asked: VecDeque<u16>,
    next: u16,
    position: u64,
}

impl Resolver {
    /// A resolver at that address, which has told all up to `position`.
    pub fn new(
        address: SocketAddr,
        position: u64,
        seed: u64,
        districts: Vec<String>,
    ) -> io::Result<Resolver> {
        let socket = open(address)?;
        let name = Name::from_ascii(LIST).map_err(io::Error::other)?;
        Ok(Resolver { socket, name, districts, asked: VecDeque::new(), next: seed as u16, position })
    }

    /// Asks on another socket from now on. Questions on the old one are forgotten, and the position
    /// is kept, as the numbers of the events go on. Returns the old socket, for the poller.
    pub fn move_to(&mut self, socket: UdpSocket) -> UdpSocket {
        self.asked.clear();
        std::mem::replace(&mut self.socket, socket)
    }

    /// Whether a list at this position is news; its events then count as told.
    pub fn accept(&mut self, position: u64) -> bool {
        let news = position > self.position;
        self.position = self.position.max(position);
        news
    }

    /// The socket, to watch it.
    pub fn socket(&self) -> &UdpSocket {
        &self.socket
    }

    /// Asks for the list. A question that cannot be sent is as good as lost.
    pub fn ask(&mut self) {
        // Steps through all ids; odd, so that each comes once.
        self.next = self.next.wrapping_add(0x9e37);
        let mut question = Message::new(self.next, MessageType::Query, OpCode::Query);
        question.add_query(Query::query(self.name.clone(), RecordType::SRV));
        match question.to_vec().map(|bytes| self.socket.send(&bytes)) {
            Ok(Ok(_)) => {}
            Ok(Err(error)) => log::debug!(error:%; "resolver-unreachable"),
            Err(error) => log::debug!(error:%; "resolver-unreachable"),
        }
        self.asked.push_back(self.next);
        if self.asked.len() > OPEN_QUESTIONS {
            self.asked.pop_front();
        }
    }

    /// Reads what has come; the newest list if it is news.
    pub fn read(&mut self) -> Option<Snapshot> {
        let mut news = None;
        let mut data = vec![0; ANSWER];
        for _ in 0..2 * OPEN_QUESTIONS {
            match self.socket.recv(&mut data) {
                Ok(n) => news = self.take(&data[..n]).or(news),
                Err(error) if error.kind() == ErrorKind::WouldBlock => break,
                // A refused port shows as an error of the next call: the resolver is down for now.
                Err(error) => log::debug!(error:%; "resolver-unreachable"),
            }
        }
        news
    }

    fn take(&mut self, data: &[u8]) -> Option<Snapshot> {
        let answer = match Message::from_vec(data) {
            Ok(answer) => answer,
            Err(error) => {
                log::debug!(error:%; "resolver-answer-unreadable");
                return None;
            }
        };
        let head = &answer.metadata;
        // Guards against answers to somebody else, late ones, and cut ones: a server missing from
        // a list counts as gone, so only a whole list may be taken.
        let ours = head.message_type == MessageType::Response && self.asked.contains(&head.id);
        if !ours || head.truncation || head.response_code != ResponseCode::NoError {
            log::debug!(id = head.id; "resolver-answer-passed-over");
            return None;
        }
        let list = Snapshot::from_answer(&answer, &self.districts);
        if list.is_none() {
            log::debug!("resolver-answer-incomplete");
        }
        list.filter(|list| self.accept(list.position))
    }
}

/// A socket that speaks to a resolver.
pub fn open(address: SocketAddr) -> io::Result<UdpSocket> {
    let any = if address.is_ipv4() { "0.0.0.0:0" } else { "[::]:0" };
    let socket = UdpSocket::bind(any)?;
    socket.connect(address)?;
    socket.set_nonblocking(true)?;
    Ok(socket)
}
