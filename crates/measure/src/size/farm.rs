//! Many session servers in one thread, which answer at once: so one machine carries 750 of them beside the program. Each has
//! a door for the gatekeeper and one for the caller that does without it.

use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use hollypaddle_platform::connection::Connection;
use hollypaddle_platform::message::{cause, code, kind, Message};
use hollypaddle_standin::{answer, release};
use mio::net::{TcpListener, TcpStream};
use mio::{Events, Interest, Poll, Token};

/// Bytes that may wait on a connection.
const MOST_WAITING: usize = 1 << 20;
/// Between two looks at connections of no use, in seconds.
const LOOK: f64 = 0.02;
/// Calls of this class stand for good.
pub(crate) const FOR_GOOD: &str = "valve-set";
/// Calls of this one come to an end.
pub(crate) const SHORT: &str = "meter-read";

/// How the servers are.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Habits {
    /// So long a call stands, in seconds.
    pub(crate) hold: f64,
    /// A state is told unasked on each open connection so often, in seconds.
    pub(crate) state_every: f64,
    /// A connection without a set-up for so long is closed, in seconds.
    pub(crate) idle: Option<f64>,
}

impl Default for Habits {
    fn default() -> Self {
        Habits { hold: 1.0, state_every: 1.0, idle: None }
    }
}

/// A set-up as it came to a server.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Arrival {
    /// Which call.
    pub(crate) call: u64,
    /// When, in seconds since the farm's epoch.
    pub(crate) at: f64,
    /// When the connection that brought it was taken.
    pub(crate) connected_at: f64,
}

/// What is seen of a farm from outside.
pub(crate) struct Seen {
    epoch: Instant,
    stop: AtomicBool,
    /// Connections taken from the gatekeeper, and closed for want of use.
    pub(crate) taken: AtomicU64,
    /// See `taken`.
    pub(crate) closed: AtomicU64,
    /// Connections now open, by server.
    pub(crate) open: Vec<AtomicU32>,
    /// Set-ups from the gatekeeper since they were last asked for.
    arrivals: Mutex<Vec<Arrival>>,
}

impl Seen {
    /// Seconds since the epoch of all times here.
    pub(crate) fn now(&self) -> f64 {
        self.epoch.elapsed().as_secs_f64()
    }

    /// The set-ups that came since this was last asked.
    pub(crate) fn arrivals(&self) -> Vec<Arrival> {
        std::mem::take(&mut *self.arrivals.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Servers with an open connection, and all of those.
    pub(crate) fn connections(&self) -> (usize, u64) {
        let open = || self.open.iter().map(|n| n.load(Ordering::Relaxed));
        (open().filter(|n| *n > 0).count(), open().map(u64::from).sum())
    }
}

/// Session servers, and the thread that they share. It ends when this is dropped.
pub(crate) struct Farm {
    /// Where the gatekeeper reaches each.
    pub(crate) doors: Vec<SocketAddr>,
    /// Where the caller that does without it reaches each.
    pub(crate) direct: Vec<SocketAddr>,
    /// What is seen of them.
    pub(crate) seen: Arc<Seen>,
    thread: Option<JoinHandle<io::Result<()>>>,
}

impl Drop for Farm {
    fn drop(&mut self) {
        self.seen.stop.store(true, Ordering::Relaxed);
        match self.thread.take().map(JoinHandle::join) {
            Some(Ok(Err(error))) => eprintln!("the servers ended early: {error}"),
            Some(Err(_)) => eprintln!("the servers' thread panicked"),
            _ => {}
        }
    }
}

struct Peer {
    server: usize,
    /// From the gatekeeper, not from the caller that does without it.
    counted: bool,
    connection: Connection<TcpStream>,
    connected_at: f64,
    used_at: f64,
}

struct Line {
    poll: Poll,
    habits: Habits,
    seen: Arc<Seen>,
    listeners: Vec<TcpListener>,
    peers: BTreeMap<usize, Peer>,
    next: usize,
    /// Ends that are due, the earliest first: when, on which connection, of which server and call.
    ends: VecDeque<(f64, usize, usize, u64)>,
    /// What could not be said for want of a connection, by server.
    owed: BTreeMap<usize, Vec<u64>>,
    /// Whose state is told next, and when.
    state: (usize, f64),
    look_at: f64,
}

impl Farm {
    /// Opens so many servers.
    pub(crate) fn open(servers: usize, habits: Habits) -> io::Result<Farm> {
        let bind = || {
            let listener = std::net::TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
            listener.set_nonblocking(true)?;
            Ok(TcpListener::from_std(listener))
        };
        // The gatekeeper's doors come first, then the others in the same order.
        let mut listeners = (0..2 * servers).map(|_| bind()).collect::<io::Result<Vec<_>>>()?;
        let all = listeners.iter().map(TcpListener::local_addr).collect::<io::Result<Vec<_>>>()?;
        let poll = Poll::new()?;
        for (n, listener) in listeners.iter_mut().enumerate() {
            poll.registry().register(listener, Token(n), Interest::READABLE)?;
        }
        let seen = Arc::new(Seen {
            epoch: Instant::now(),
            stop: AtomicBool::new(false),
            taken: AtomicU64::new(0),
            closed: AtomicU64::new(0),
            open: (0..servers).map(|_| AtomicU32::new(0)).collect(),
            arrivals: Mutex::new(Vec::new()),
        });
        let mut line = Line {
            poll,
            habits,
            seen: Arc::clone(&seen),
            next: listeners.len(),
            listeners,
            peers: BTreeMap::new(),
            ends: VecDeque::new(),
            owed: BTreeMap::new(),
            state: (0, 0.0),
            look_at: 0.0,
        };
        let thread = std::thread::spawn(move || line.run());
        let (doors, direct) = all.split_at(servers);
        Ok(Farm { doors: doors.to_vec(), direct: direct.to_vec(), seen, thread: Some(thread) })
    }
}

impl Line {
    fn run(&mut self) -> io::Result<()> {
        let mut events = Events::with_capacity(1024);
        while !self.seen.stop.load(Ordering::Relaxed) {
            let wait = (self.next_due() - self.seen.now()).clamp(0.0, 0.05);
            match self.poll.poll(&mut events, Some(Duration::from_secs_f64(wait))) {
                Err(error) if error.kind() != io::ErrorKind::Interrupted => return Err(error),
                _ => {}
            }
            for event in &events {
                match event.token() {
                    Token(n) if n < self.listeners.len() => self.accept(n)?,
                    Token(n) => self.read(n),
                }
            }
            self.due();
        }
        Ok(())
    }

    /// When something is due next.
    fn next_due(&self) -> f64 {
        let look = if self.habits.idle.is_some() { self.look_at } else { f64::INFINITY };
        let end = self.ends.front().map_or(f64::INFINITY, |end| end.0);
        look.min(end).min(self.state.1)
    }

    fn accept(&mut self, door: usize) -> io::Result<()> {
        loop {
            let mut stream = match self.listeners[door].accept() {
                Ok((stream, _)) => stream,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(()),
                Err(error) => return Err(error),
            };
            stream.set_nodelay(true)?;
            self.next += 1;
            let both = Interest::READABLE | Interest::WRITABLE;
            self.poll.registry().register(&mut stream, Token(self.next), both)?;
            let (servers, now) = (self.seen.open.len(), self.seen.now());
            let (server, counted) = (door % servers, door < servers);
            let connection = Connection::new(stream, MOST_WAITING);
            let peer = Peer { server, counted, connection, connected_at: now, used_at: now };
            self.peers.insert(self.next, peer);
            if counted {
                self.seen.taken.fetch_add(1, Ordering::Relaxed);
                self.seen.open[server].fetch_add(1, Ordering::Relaxed);
                for call in self.owed.remove(&server).unwrap_or_default() {
                    self.say(self.next, &release(call, cause::NORMAL));
                }
            }
        }
    }

    fn read(&mut self, key: usize) {
        let Some(peer) = self.peers.get_mut(&key) else { return };
        let mut heard: Vec<Message> = Vec::new();
        let over = peer.connection.flush().is_err() | peer.connection.read(&mut heard).is_err();
        let (server, counted, connected_at) = (peer.server, peer.counted, peer.connected_at);
        for message in heard.iter().filter(|m| m.kind == kind::SET_UP) {
            let at = self.seen.now();
            self.say(key, &answer(message.call));
            if let Some(peer) = self.peers.get_mut(&key) {
                peer.used_at = at;
            }
            if counted {
                let arrival = Arrival { call: message.call, at, connected_at };
                self.seen.arrivals.lock().unwrap_or_else(PoisonError::into_inner).push(arrival);
            }
            if message.text(code::CLASS) != Some(FOR_GOOD) {
                self.ends.push_back((at + self.habits.hold, key, server, message.call));
            }
        }
        if over {
            self.drop_peer(key);
        }
    }

    /// Says something on a connection; one that is broken is found so as it is read.
    fn say(&mut self, key: usize, message: &Message) -> bool {
        self.peers.get_mut(&key).is_some_and(|peer| peer.connection.send(message).is_ok())
    }

    fn drop_peer(&mut self, key: usize) {
        if let Some(peer) = self.peers.remove(&key).filter(|p| p.counted) {
            self.seen.open[peer.server].fetch_sub(1, Ordering::Relaxed);
        }
    }

    /// Ends, states and closes that are due.
    fn due(&mut self) {
        let now = self.seen.now();
        while let Some((_, key, server, call)) = self.ends.pop_front_if(|(at, ..)| *at <= now) {
            let end = release(call, cause::NORMAL);
            if !self.say(key, &end) {
                let other = self.peers.iter().find(|(_, p)| p.counted && p.server == server);
                match other.map(|(key, _)| *key) {
                    Some(other) => drop(self.say(other, &end)),
                    None => self.owed.entry(server).or_default().push(call),
                }
            }
        }
        let servers = self.seen.open.len();
        while self.state.1 <= now {
            let server = self.state.0;
            self.state = ((server + 1) % servers, self.state.1 + self.habits.state_every / servers as f64);
            if self.seen.open[server].load(Ordering::Relaxed) == 0 {
                continue;
            }
            let state = Message::new(kind::STATE, 0).with(code::REPORT, "x0:700;x1:800;eps:-1");
            let of_it = self.peers.iter().filter(|(_, p)| p.counted && p.server == server);
            let keys: Vec<usize> = of_it.map(|(key, _)| *key).collect();
            for key in keys {
                self.say(key, &state);
            }
        }
        if let (Some(idle), true) = (self.habits.idle, self.look_at <= now) {
            self.look_at = now + LOOK;
            let unused = self.peers.iter().filter(|(_, p)| p.counted && now - p.used_at >= idle);
            let keys: Vec<usize> = unused.map(|(key, _)| *key).collect();
            for key in keys {
                self.seen.closed.fetch_add(1, Ordering::Relaxed);
                self.drop_peer(key);
            }
        }
    }
}
