//! A gatekeeper as a process between a server, a resolver and a usual client that measures how fast it is answered.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use hollypaddle_platform::message::{cause, kind, Message};
use hollypaddle_standin::platform_file;
use hollypaddle_standin::program::Program;
use hollypaddle_standin::resolver::{self, Listed, Resolver};
use hollypaddle_standin::{answer, free_addresses, peer, release, Peer};

/// The gatekeeper's limits of memory and descriptors.
pub const MEMORY_LIMIT_MB: u64 = 32;
pub const MEMORY_LIMIT_KB: u64 = MEMORY_LIMIT_MB * 1024;
const DESCRIPTORS: u64 = 1024;
/// Interval between two tests by the usual client.
const TEST_INTERVAL: Duration = Duration::from_millis(20);
/// Interval between two changes of the list.
const LIST_INTERVAL: Duration = Duration::from_millis(50);
/// Interval between two turns of the server and the resolver.
const TURN: Duration = Duration::from_millis(1);

/// What else happens.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Load {
    Steady,
    /// The resolver tells a new list all the time.
    ChangingList,
    /// The gatekeeper is drained.
    Draining,
}

/// What the usual client has seen.
#[derive(Debug)]
pub struct Seen {
    pub replies: usize,
    pub slowest_reply: Duration,
    pub peak_memory_kb: u64,
}

pub struct Bed {
    program: Program,
    address: SocketAddr,
    control: SocketAddr,
    load: Load,
    over: Arc<AtomicBool>,
    peers: Option<JoinHandle<()>>,
    _folder: tempfile::TempDir,
}

impl Bed {
    pub fn open(load: Load) -> Bed {
        let server = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
        server.set_nonblocking(true).unwrap();
        let resolver = Resolver::open().unwrap();
        let listed = Listed {
            id: "s-0".into(),
            district: "downtown".into(),
            address: server.local_addr().unwrap(),
            number: 0,
            draining: false,
            started_ms: 0,
        };
        let control = free_addresses(1).unwrap()[0];
        let config = config(control, &resolver, &listed);
        let folder = tempfile::tempdir().unwrap();
        let path = Path::new(env!("CARGO_BIN_EXE_hollypaddle"));
        let mut program = Program::start_with(path, folder.path(), "n0", &config, "", "127.0.0.1:0").unwrap();
        let address = program.serving().unwrap();
        let over = Arc::new(AtomicBool::new(false));
        let ending = Arc::clone(&over);
        let peers = std::thread::spawn(move || run_peers(&server, resolver, &listed, load, &ending));
        let bed = Bed { program, address, control, load, over, peers: Some(peers), _folder: folder };
        bed.observe(Duration::from_millis(200));
        bed
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Tests the gatekeeper again and again as a usual client; in a drain, at the control address.
    pub fn observe(&self, time: Duration) -> Seen {
        let until = Instant::now() + time;
        let mut seen = Seen { replies: 0, slowest_reply: Duration::ZERO, peak_memory_kb: 0 };
        if self.load == Load::Draining {
            self.call_control("POST /_lameduck/on");
        }
        let mut client = (self.load != Load::Draining).then(|| TcpStream::connect(self.address).unwrap());
        while Instant::now() < until {
            let began = Instant::now();
            match &mut client {
                Some(client) => test(client),
                None => self.call_control("GET /_vars"),
            }
            seen.slowest_reply = seen.slowest_reply.max(began.elapsed());
            seen.replies += 1;
            seen.peak_memory_kb = seen.peak_memory_kb.max(peak_memory_kb(self.program.child.id()));
            std::thread::sleep(TEST_INTERVAL);
        }
        seen
    }

    fn call_control(&self, call: &str) {
        let mut stream = TcpStream::connect(self.control).unwrap();
        stream.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
        stream
            .write_all(format!("{call} HTTP/1.1\r\nHost: n0\r\nContent-Length: 0\r\n\r\n").as_bytes())
            .unwrap();
        let mut reply = Vec::new();
        stream.read_to_end(&mut reply).unwrap();
        assert!(reply.starts_with(b"HTTP/1.1 2"), "{}", reply.escape_ascii());
    }
}

impl Drop for Bed {
    fn drop(&mut self) {
        self.over.store(true, Ordering::Relaxed);
        drop(self.peers.take().map(JoinHandle::join));
    }
}

/// Sends a test and waits for its result.
fn test(client: &mut TcpStream) {
    client.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
    let mut bytes = Vec::new();
    Message::new(kind::TEST, 4).with_cause(0).encode(&mut bytes);
    client.write_all(&bytes).unwrap();
    let mut result = vec![0; 15];
    client.read_exact(&mut result).unwrap();
}

/// The most memory that a process has held so far, in KiB.
fn peak_memory_kb(process: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap();
    let line = status.lines().find(|line| line.starts_with("VmHWM:")).unwrap();
    line.split_whitespace().nth(1).unwrap().parse().unwrap()
}

fn config(control: SocketAddr, resolver: &Resolver, listed: &Listed) -> String {
    let text = format!(
        r#"{{"seed":"8c1f","dns":"{}","control":"{control}","known":{},
          "limits":{{"cores":1.0,"memory_mb":{MEMORY_LIMIT_MB},"sockets":{DESCRIPTORS}}},
          "settings":{{"peersTotal":1,"period":0.005,"familyInfo":{{"release":0.3,"retransmit":0.4}},
            "limits":{{"tryLimit":6,"mayCancel":true,"retryAfter":true,"maxRetryAfter":2.0}},
            "requestClasses":[{{"name":"meter-read","effect":"read_like","goalTime":1.5,"hardLimit":9.0,"value":1.0}}],
            "safety":{{"cold":14.0,"coldFrom":0.3,"overloadFactor":3.0}}}}}}"#,
        resolver.address().unwrap(),
        resolver::known(1, std::slice::from_ref(listed)),
    );
    platform_file::complete(&text).unwrap()
}

/// Runs the server, which answers every set-up and ends the call at once, and the resolver.
fn run_peers(server: &TcpListener, mut resolver: Resolver, listed: &Listed, load: Load, over: &AtomicBool) {
    let mut connections: Vec<Peer> = Vec::new();
    let (mut position, mut changed) = (1, Instant::now());
    let mut list = vec![listed.clone()];
    while !over.load(Ordering::Relaxed) {
        while let Ok((stream, _)) = server.accept() {
            connections.push(peer(stream).unwrap());
        }
        connections.retain_mut(serve);
        if load == Load::ChangingList && changed.elapsed() >= LIST_INTERVAL {
            (position, changed) = (position + 1, Instant::now());
            list[0].draining = position % 2 == 0;
        }
        resolver.turn(position, &list);
        std::thread::sleep(TURN);
    }
}

/// Answers the set-ups that have come on a connection; returns whether it is open.
fn serve(connection: &mut Peer) -> bool {
    let mut received = Vec::new();
    let open = connection.read(&mut received).is_ok();
    for message in received.iter().filter(|m| m.kind == kind::SET_UP) {
        // The gatekeeper may have closed the connection.
        let _ = connection.send(&answer(message.call));
        let _ = connection.send(&release(message.call, cause::NORMAL));
    }
    open
}
