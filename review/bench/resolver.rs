//! The resolver: the list of session servers over DNS on UDP, with its faults.

use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::sync::{Arc, Mutex};

use crate::record::{now, Record, Timers};
use crate::server::Server;

/// A session server in the list.
#[derive(Clone)]
pub struct Listed {
    pub id: String,
    pub zone: String,
    pub cell: u32,
    pub address: SocketAddr,
    pub draining: bool,
}

impl Listed {
    pub fn ready(server: &Server, zone: &str) -> Listed {
        let (id, zone) = (server.name.clone(), zone.to_string());
        Listed { id, zone, cell: server.cell, address: server.address, draining: false }
    }
}

/// The list after an event.
#[derive(Clone)]
pub struct List {
    pub position: u32,
    pub servers: Vec<Listed>,
}

impl List {
    /// The list after one more event, which drains a server.
    pub fn with_drain(&self, id: &str) -> List {
        let mut list = self.clone();
        list.position += 1;
        list.servers.iter_mut().filter(|s| s.id == id).for_each(|s| s.draining = true);
        list
    }

    /// The list after one more event, with which a server is gone.
    pub fn without(&self, id: &str) -> List {
        let mut list = self.clone();
        list.position += 1;
        list.servers.retain(|s| s.id != id);
        list
    }

    /// As the configuration holds it under `known`.
    pub fn known(&self) -> String {
        let instances: Vec<String> = (self.servers.iter())
            .map(|s| {
                let lifecycle = if s.draining { "draining" } else { "ready" };
                format!(
                    r#"{{"instanceId":"{}","hostPort":"{}","zone":"{}","machineType":"standard","cell":{},"lifecycle":"{lifecycle}","weight":1,"startedAtMs":0}}"#,
                    s.id, s.address, s.zone, s.cell
                )
            })
            .collect();
        format!(
            r#"{{"pos":{0},"entries":[{{"pos":{0},"hosts":{{"generation":1,"reset":true,"instances":[{1}]}}}}]}}"#,
            self.position,
            instances.join(",")
        )
    }
}

/// An answer that was sent.
#[derive(Clone, Copy, Debug)]
pub struct Told {
    pub at: f64,
    pub position: u32,
}

#[derive(Clone)]
pub struct Resolver {
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
}

struct State {
    /// The list that is told, the newest event included.
    list: List,
    /// Time between a query and its answer, in seconds.
    delay: f64,
    told: Vec<Told>,
}

impl Resolver {
    pub fn start(list: List, record: &Record, timers: &Timers) -> Resolver {
        let socket = UdpSocket::bind("127.0.0.1:0").expect("a free port");
        let address = socket.local_addr().unwrap();
        let state = Arc::new(Mutex::new(State { list, delay: 0.0, told: Vec::new() }));
        let resolver = Resolver { address, state: Arc::clone(&state) };
        let (record, timers) = (record.clone(), timers.clone());
        std::thread::spawn(move || {
            let mut data = [0; 512];
            while let Ok((n, from)) = socket.recv_from(&mut data) {
                let query = data[..n].to_vec();
                let (socket, state, record) =
                    (socket.try_clone().expect("a descriptor"), Arc::clone(&state), record.clone());
                let delay = state.lock().unwrap().delay;
                let reply = move || {
                    let mut state = state.lock().unwrap();
                    let list = state.list.clone();
                    let position = list.position;
                    if state.told.last().is_none_or(|told| told.position != position) {
                        record.line(format!(
                            "the resolver tells event {position}, {delay:.3} s after the query"
                        ));
                    }
                    if socket.send_to(&answer(&query, &list), from).is_ok() {
                        state.told.push(Told { at: now(), position });
                    }
                };
                match delay > 0.0 {
                    true => timers.after(delay, reply),
                    false => reply(),
                }
            }
        });
        resolver
    }

    pub fn set_delay(&self, seconds: f64) {
        self.state.lock().unwrap().delay = seconds;
    }

    pub fn set_list(&self, list: List) {
        self.state.lock().unwrap().list = list;
    }

    pub fn told(&self) -> Vec<Told> {
        self.state.lock().unwrap().told.clone()
    }
}

const SRV: u16 = 33;
const A: u16 = 1;
const TXT: u16 = 16;
const SOA: u16 = 6;

fn answer(query: &[u8], list: &List) -> Vec<u8> {
    let question = &query[12.min(query.len())..];
    let end = question.iter().position(|b| *b == 0).map_or(0, |zero| zero + 5).min(question.len());
    let count = list.servers.len() as u16;
    let mut out = query[..2].to_vec();
    out.extend(0x8400u16.to_be_bytes());
    for n in [1, count, 1, 2 * count] {
        out.extend(n.to_be_bytes());
    }
    out.extend(&question[..end]);
    let target = |s: &Listed| format!("{}.{}.hosts", s.id, s.zone);
    for server in &list.servers {
        let mut data = u16::from(server.draining).to_be_bytes().to_vec();
        data.extend(10u16.to_be_bytes());
        data.extend(server.address.port().to_be_bytes());
        data.extend(name(&target(server)));
        push_record(&mut out, "_work._tcp.fleet.local", SRV, &data);
    }
    let mut soa = name("ns.fleet.local");
    soa.extend(name("admin.fleet.local"));
    for n in [list.position, 1, 1, 1, 1] {
        soa.extend(n.to_be_bytes());
    }
    push_record(&mut out, "fleet.local", SOA, &soa);
    for server in &list.servers {
        let SocketAddr::V4(address) = server.address else { continue };
        let ip: Ipv4Addr = *address.ip();
        push_record(&mut out, &target(server), A, &ip.octets());
        let mut texts = Vec::new();
        for text in ["kind=standard".to_string(), format!("cell={}", server.cell), "started=0".to_string()] {
            texts.push(text.len() as u8);
            texts.extend(text.as_bytes());
        }
        push_record(&mut out, &target(server), TXT, &texts);
    }
    out
}

fn name(text: &str) -> Vec<u8> {
    let mut out = Vec::new();
    for label in text.split('.') {
        out.push(label.len() as u8);
        out.extend(label.as_bytes());
    }
    out.push(0);
    out
}

fn push_record(out: &mut Vec<u8>, owner: &str, kind: u16, data: &[u8]) {
    out.extend(name(owner));
    out.extend(kind.to_be_bytes());
    out.extend(1u16.to_be_bytes());
    out.extend(0u32.to_be_bytes());
    out.extend((data.len() as u16).to_be_bytes());
    out.extend(data);
}
