//! A caller that calls at random times, so many a second on average, on many connections: through a gatekeeper, or straight to
//! the servers.

use std::collections::BTreeMap;
use std::error::Error;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use hollypaddle_platform::connection::Connection;
use hollypaddle_platform::message::{kind, Message};
use hollypaddle_standin::set_up;
use mio::net::TcpStream;
use mio::{Events, Interest, Poll, Token};
use rand_chacha::rand_core::{RngCore, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::farm::{Seen, FOR_GOOD, SHORT};

const MOST_WAITING: usize = 1 << 20;
/// Milliseconds that a caller waits, as it tells.
const WAIT_MS: u32 = 3000;
/// After the last call of a stretch answers are awaited for so long, in seconds.
const AFTER: f64 = 3.5;
/// Calls without an answer beyond which no more are made: the gatekeeper doesn't carry the rate.
const MOST_OUT: usize = 4000;
/// Set-ups out at once while calls are made to stand.
const AT_ONCE: usize = 200;

/// What became of one call.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Call {
    /// Which.
    pub(crate) id: u64,
    /// When it was due, in the farm's time: a caller that is late itself does not hide it.
    pub(crate) due: f64,
    /// When its answer came.
    pub(crate) stood: f64,
}

/// What became of a stretch of calls.
#[derive(Clone, Debug, Default)]
pub(crate) struct Stretch {
    /// Calls that stood.
    pub(crate) calls: Vec<Call>,
    /// Calls turned away or failed.
    pub(crate) refused: usize,
    /// Calls without an answer.
    pub(crate) unanswered: usize,
    /// Calls that were due and not made, as too many were out.
    pub(crate) held_back: usize,
    /// Seconds from the first call to the last.
    pub(crate) took: f64,
}

impl Stretch {
    /// Calls offered.
    pub(crate) fn offered(&self) -> usize {
        self.calls.len() + self.refused + self.unanswered
    }

    /// Adds another stretch.
    pub(crate) fn add(&mut self, other: Stretch) {
        self.calls.extend(other.calls);
        self.refused += other.refused;
        self.unanswered += other.unanswered;
        self.held_back += other.held_back;
        self.took += other.took;
    }
}

/// The caller.
pub(crate) struct Caller {
    poll: Poll,
    events: Events,
    peers: Vec<Connection<TcpStream>>,
    /// The connection of a call is that of its first choice; else they take turns.
    straight: bool,
    servers: u32,
    rng: ChaCha8Rng,
    next: u64,
}

impl Caller {
    /// Connects to each address; `straight` where those are the servers themselves. `name` keeps the ids apart.
    pub(crate) fn open(
        addresses: &[SocketAddr],
        straight: bool,
        servers: usize,
        name: u64,
    ) -> io::Result<Caller> {
        let poll = Poll::new()?;
        let connect = |(n, address): (usize, &SocketAddr)| {
            let stream = std::net::TcpStream::connect(address)?;
            stream.set_nonblocking(true)?;
            stream.set_nodelay(true)?;
            let mut stream = TcpStream::from_std(stream);
            poll.registry().register(&mut stream, Token(n), Interest::READABLE | Interest::WRITABLE)?;
            Ok(Connection::new(stream, MOST_WAITING))
        };
        let peers = addresses.iter().enumerate().map(connect).collect::<io::Result<Vec<_>>>()?;
        let (rng, events) = (ChaCha8Rng::seed_from_u64(name), Events::with_capacity(1024));
        Ok(Caller { poll, events, peers, straight, servers: servers as u32, rng, next: name << 48 })
    }

    fn offer(&mut self, class: &str) -> Result<u64, Box<dyn Error>> {
        self.next += 1;
        let first_choice = self.rng.next_u32() % self.servers;
        let way = if self.straight { first_choice as usize } else { self.next as usize % self.peers.len() };
        let message = set_up(class, first_choice, self.next, WAIT_MS);
        self.peers[way].send(&message).map_err(|e| e.to_string())?;
        Ok(self.next)
    }

    /// One look at all connections: calls that stand since, and calls that are over without having stood.
    fn look(&mut self, heard: &mut Vec<Message>) -> Result<(), Box<dyn Error>> {
        match self.poll.poll(&mut self.events, Some(Duration::ZERO)) {
            Err(error) if error.kind() != io::ErrorKind::Interrupted => return Err(error.into()),
            _ => {}
        }
        heard.clear();
        for event in &self.events {
            let peer = &mut self.peers[event.token().0];
            peer.flush().map_err(|e| e.to_string())?;
            peer.read(heard).map_err(|e| e.to_string())?;
        }
        Ok(())
    }

    /// Looks for so long and calls nobody.
    pub(crate) fn rest(&mut self, seen: &Seen, seconds: f64) -> Result<(), Box<dyn Error>> {
        let (until, mut heard) = (seen.now() + seconds, Vec::new());
        while seen.now() < until {
            self.look(&mut heard)?;
        }
        Ok(())
    }

    /// Makes so many calls stand for good, as fast as they are taken.
    pub(crate) fn stand(&mut self, seen: &Seen, count: usize) -> Result<(), Box<dyn Error>> {
        let (mut offered, mut stood, since, mut heard) = (0, 0, seen.now(), Vec::new());
        while stood < count {
            while offered < count && offered - stood < AT_ONCE {
                self.offer(FOR_GOOD)?;
                offered += 1;
            }
            self.look(&mut heard)?;
            stood += heard.iter().filter(|m| m.kind == kind::ANSWER).count();
            let lost = heard.iter().filter(|m| m.kind == kind::RELEASE).count();
            if seen.now() - since > 80.0 || lost > count / 10 {
                return Err(format!("only {stood} of {count} calls stand, {lost} were refused").into());
            }
        }
        Ok(())
    }

    /// Calls for so many seconds, `rate` a second on average.
    pub(crate) fn call(&mut self, seen: &Seen, rate: f64, seconds: f64) -> Result<Stretch, Box<dyn Error>> {
        let (begun, mut heard, mut stretch) = (seen.now(), Vec::new(), Stretch::default());
        let mut out: BTreeMap<u64, f64> = BTreeMap::new();
        let mut due = begun + self.gap(rate);
        loop {
            let now = seen.now();
            while due <= now && due < begun + seconds {
                match out.len() < MOST_OUT {
                    true => drop(out.insert(self.offer(SHORT)?, due)),
                    false => stretch.held_back += 1,
                }
                due += self.gap(rate);
            }
            self.look(&mut heard)?;
            let now = seen.now();
            for message in &heard {
                match (message.kind, out.remove(&message.call)) {
                    (kind::ANSWER, Some(due)) => {
                        stretch.calls.push(Call { id: message.call, due, stood: now });
                    }
                    (kind::RELEASE, Some(_)) => stretch.refused += 1,
                    _ => {}
                }
            }
            if due >= begun + seconds && (out.is_empty() || now > begun + seconds + AFTER) {
                stretch.unanswered += out.len();
                stretch.took = seconds;
                return Ok(stretch);
            }
        }
    }

    /// The time to the next call: calls come each for itself.
    fn gap(&mut self, rate: f64) -> f64 {
        let part = (self.rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64;
        -(1.0 - part).ln() / rate
    }
}
