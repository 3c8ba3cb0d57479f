//! The callers of a run.

use std::collections::BTreeSet;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};

use hollypaddle_platform::message::{cause, Message};
use hollypaddle_standin::{peer, release, set_up, Peer};
use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::closing_callers::{never_read, Leaver, Step};
use crate::history::{Call, Held, History, What};
use crate::plan::{manner, Load, Manner};

/// Seconds between the two pieces of a set-up, and before a cancel.
const MOMENT: f64 = 0.02;
/// Part of set-ups that come on a new connection while those come at all.
const ON_NEW: f64 = 0.4;
/// New connections that are open at the same time: callers hold a third of the descriptors at most.
const MOST_NEW: usize = 60;

struct Connection {
    peer: Peer,
    /// It stays open after an answer.
    kept: bool,
    deaf: bool,
    open: Vec<u64>,
    /// Calls that stand, which came on it.
    standing: BTreeSet<u64>,
    /// When the last set-up was sent on it.
    asked_at: Option<f64>,
    /// What is to be written: the rest of a set-up, or a cancel.
    later: Option<(f64, Later)>,
    /// When it was last seen open.
    seen: f64,
}

enum Later {
    Rest(u64, Vec<u8>),
    Cancel(u64),
}

/// All callers.
pub struct Callers {
    gatekeeper: SocketAddr,
    rate: f64,
    wait_ms: u32,
    kept: usize,
    pools: u32,
    connections: Vec<Connection>,
    leavers: Vec<Leaver>,
    next_id: u64,
    next_at: f64,
}

impl Callers {
    /// Callers of a gatekeeper, none connected yet.
    pub fn new(gatekeeper: SocketAddr, load: Load) -> Callers {
        Callers {
            gatekeeper,
            rate: load.rate,
            wait_ms: (load.deadline * 1000.0) as u32,
            kept: load.kept,
            pools: load.pools,
            connections: Vec::new(),
            leavers: Vec::new(),
            next_id: load.first_id,
            next_at: 0.0,
        }
    }

    /// Opens the connections that are kept, as far as they are not there.
    pub fn connect(&mut self, now: f64) {
        let there = self.connections.iter().filter(|c| c.kept).count();
        for _ in there..self.kept {
            let _ = self.open(now, true);
        }
    }

    /// The connections that are open and read.
    pub fn held(&self, now: f64) -> Vec<Held> {
        let read = self.connections.iter().filter(|c| !c.deaf);
        let held = |c: &Connection| Held {
            open: c.open.len(),
            standing: c.standing.len(),
            asked_ago: c.asked_at.map(|at| now - at),
        };
        read.map(held).collect()
    }

    /// Set-ups whose answer is waited for.
    pub fn waiting(&self) -> usize {
        let others: usize = self.connections.iter().filter(|c| !c.deaf).map(|c| c.open.len()).sum();
        others + self.leavers.iter().filter(|leaver| leaver.waits()).count()
    }

    /// Connects; nothing where the gatekeeper does not listen any more.
    fn open(&mut self, now: f64, kept: bool) -> Option<usize> {
        let stream = TcpStream::connect(self.gatekeeper).ok()?;
        let peer = peer(stream).ok()?;
        self.connections.push(Connection {
            peer,
            kept,
            deaf: false,
            open: Vec::new(),
            standing: BTreeSet::new(),
            asked_at: None,
            later: None,
            seen: now,
        });
        Some(self.connections.len() - 1)
    }

    /// Many connections in one moment, each with a set-up.
    pub fn crowd(&mut self, now: f64, count: usize, rng: &mut ChaCha8Rng, history: &mut History) {
        for _ in 0..count {
            if let Some(n) = self.open(now, false) {
                self.send(now, n, Manner::Plain, rng, history);
            }
        }
    }

    /// The set-ups that are due at this part of the rate.
    pub fn call(&mut self, now: f64, part: f64, connects: bool, rng: &mut ChaCha8Rng, history: &mut History) {
        self.write_later(now, history);
        if part <= 0.0 {
            return;
        }
        // A turn that came late brings no burst.
        self.next_at = self.next_at.max(now - 0.05);
        while self.next_at <= now {
            self.next_at += 1.0 / (self.rate * part);
            let fresh = self.connections.iter().filter(|c| !c.kept).count() + self.leavers.len();
            let on_new = connects && fresh < MOST_NEW && rng.gen_bool(ON_NEW);
            let connection = match on_new {
                true => self.open(now, false),
                false => self.kept_one(rng),
            };
            if let Some(n) = connection {
                let manner = if self.connections[n].kept { Manner::Plain } else { manner(rng) };
                self.send(now, n, manner, rng, history);
            }
        }
    }

    fn kept_one(&self, rng: &mut ChaCha8Rng) -> Option<usize> {
        let kept: Vec<usize> = (0..self.connections.len()).filter(|n| self.connections[*n].kept).collect();
        (!kept.is_empty()).then(|| kept[rng.gen_range(0..kept.len())])
    }

    fn send(&mut self, now: f64, n: usize, manner: Manner, rng: &mut ChaCha8Rng, history: &mut History) {
        let id = self.next_id;
        self.next_id += 1;
        let message = set_up("meter-read", rng.gen_range(0..self.pools), id, self.wait_ms);
        let connection = &mut self.connections[n];
        connection.deaf = manner == Manner::Deaf;
        let deaf = matches!(manner, Manner::Deaf | Manner::LeavesBoth);
        let mut call = Call { sent: true, deaf, kept: connection.kept, ..Call::default() };
        connection.open.push(id);
        connection.asked_at = Some(now);
        if manner == Manner::Pieces {
            let mut bytes = Vec::new();
            message.encode(&mut bytes);
            let rest = bytes.split_off(rng.gen_range(1..bytes.len()));
            let _ = connection.peer.stream().write_all(&bytes);
            connection.later = Some((now + MOMENT, Later::Rest(id, rest)));
        } else if connection.peer.send(&message).is_ok() {
            call.written = Some(now);
        }
        match manner {
            Manner::Cancels => connection.later = Some((now + MOMENT, Later::Cancel(id))),
            Manner::Closes => {
                call.left = Some(now);
                drop(self.connections.swap_remove(n));
            }
            Manner::LeavesEnd | Manner::LeavesBoth | Manner::HalfCloses | Manner::Aborts => {
                let peer = self.connections.swap_remove(n).peer;
                self.leavers.push(Leaver::new(peer, id, manner, now, rng));
            }
            Manner::Plain | Manner::Pieces | Manner::Deaf => {}
        }
        history.calls.insert(id, call);
    }

    fn write_later(&mut self, now: f64, history: &mut History) {
        for connection in &mut self.connections {
            let Some((_, later)) = connection.later.take_if(|(at, _)| *at <= now) else { continue };
            match later {
                Later::Rest(id, rest) => {
                    connection.asked_at = Some(now);
                    let written = connection.peer.stream().write_all(&rest).is_ok();
                    history.calls.entry(id).or_default().written = written.then_some(now);
                }
                Later::Cancel(id) => {
                    let _ = connection.peer.send(&release(id, cause::NORMAL));
                    history.calls.entry(id).or_default().left.get_or_insert(now);
                }
            }
        }
    }

    /// Takes what has come.
    pub fn hear(&mut self, now: f64, history: &mut History) {
        self.hear_leavers(now, history);
        let mut over = Vec::new();
        self.connections.retain_mut(|connection| {
            if connection.deaf {
                return true;
            }
            let mut heard = Vec::new();
            let end = connection.peer.read(&mut heard);
            over.extend(heard.iter().filter_map(|message| connection.take(now, message, history)));
            if end.is_err() {
                for id in connection.open.drain(..) {
                    history.calls.entry(id).or_default().ended = Some(connection.seen);
                }
                return false;
            }
            connection.seen = now;
            if connection.kept {
                history.kept_until = now;
            }
            connection.kept || !connection.open.is_empty()
        });
        // The end of a call may come on any connection.
        for connection in self.connections.iter_mut().filter(|_| !over.is_empty()) {
            connection.standing.retain(|id| !over.contains(id));
        }
    }

    fn hear_leavers(&mut self, now: f64, history: &mut History) {
        for mut leaver in std::mem::take(&mut self.leavers) {
            match leaver.turn(now, history) {
                Step::Stays => self.leavers.push(leaver),
                Step::Closes => leaver.close(now, history),
                Step::Lost => {}
            }
        }
    }

    /// The run is over: what still waits on an open connection was never answered.
    pub fn finish(&mut self, history: &mut History) {
        // What came together with the end of the process.
        self.hear(f64::INFINITY, history);
        self.connections.iter().filter(|c| c.deaf).for_each(|c| never_read(&c.peer, history));
    }
}

impl Connection {
    /// Takes a message; returns the call that is over by it.
    fn take(&mut self, now: f64, message: &Message, history: &mut History) -> Option<u64> {
        let what = What::of(message)?;
        let over = matches!(what, What::Release(_));
        history.heard(now, message.call, what);
        self.open.retain(|id| *id != message.call);
        if !over {
            self.standing.insert(message.call);
        }
        over.then_some(message.call)
    }
}
