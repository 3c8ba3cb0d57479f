//! The callers of one gatekeeper.

use std::collections::BTreeSet;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};

use hollypaddle_platform::message::{cause, Message};
use hollypaddle_standin::{peer, release, set_up, Peer};
use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::closing_callers::{record_unread_at_end, ClosingCaller, Outcome};
use crate::history::{Call, HeldConnection, History, ReplyContent};
use crate::plan::{random_caller_behavior, CallerBehavior, Load};

/// Seconds between the two parts of a set-up, and between a set-up and its cancellation.
const WRITE_DELAY_S: f64 = 0.02;
/// Fraction of set-ups on a new connection, while callers open any.
const NEW_CONNECTION_RATIO: f64 = 0.4;
/// Limit of new connections open at the same time, so that callers hold at most a third of the descriptors.
const MAX_NEW_CONNECTIONS: usize = 60;

struct Connection {
    peer: Peer,
    /// Whether it stays open after an answer.
    kept: bool,
    never_reads: bool,
    /// Calls whose set-up waits for an answer.
    unanswered: Vec<u64>,
    /// Standing calls that were set up on it.
    standing: BTreeSet<u64>,
    /// When the last set-up was sent on it.
    last_set_up_at: Option<f64>,
    /// A write that is due at a time.
    pending_write: Option<(f64, PendingWrite)>,
    /// When it was last seen open.
    last_open_at: f64,
}

enum PendingWrite {
    /// The second part of the set-up of a call.
    RestOfSetUp(u64, Vec<u8>),
    /// The cancellation of a call.
    Cancel(u64),
}

/// The callers with their connections.
pub struct Callers {
    gatekeeper: SocketAddr,
    set_ups_per_s: f64,
    deadline_ms: u32,
    kept_connections: usize,
    first_choices: u32,
    connections: Vec<Connection>,
    closing_callers: Vec<ClosingCaller>,
    next_id: u64,
    next_set_up_at: f64,
}

impl Callers {
    /// Creates the callers of a gatekeeper, with no connections yet.
    pub fn new(gatekeeper: SocketAddr, load: Load) -> Callers {
        Callers {
            gatekeeper,
            set_ups_per_s: load.set_ups_per_s,
            deadline_ms: (load.deadline * 1000.0) as u32,
            kept_connections: load.kept_connections,
            first_choices: load.first_choices,
            connections: Vec::new(),
            closing_callers: Vec::new(),
            next_id: load.first_id,
            next_set_up_at: 0.0,
        }
    }

    /// Opens the missing ones of the kept connections.
    pub fn open_kept_connections(&mut self, now: f64) {
        let already_open = self.connections.iter().filter(|c| c.kept).count();
        for _ in already_open..self.kept_connections {
            let _ = self.open(now, true);
        }
    }

    /// The open connections whose callers read.
    pub fn held_connections(&self, now: f64) -> Vec<HeldConnection> {
        let read = self.connections.iter().filter(|c| !c.never_reads);
        let to_held = |c: &Connection| HeldConnection {
            unanswered: c.unanswered.len(),
            standing: c.standing.len(),
            since_last_set_up_s: c.last_set_up_at.map(|at| now - at),
        };
        read.map(to_held).collect()
    }

    /// Number of set-ups whose caller waits for an answer.
    pub fn waiting(&self) -> usize {
        let on_open_connections: usize =
            self.connections.iter().filter(|c| !c.never_reads).map(|c| c.unanswered.len()).sum();
        on_open_connections + self.closing_callers.iter().filter(|caller| caller.waits_for_answer()).count()
    }

    /// Connects; returns `None` if the gatekeeper no longer listens.
    fn open(&mut self, now: f64, kept: bool) -> Option<usize> {
        let stream = TcpStream::connect(self.gatekeeper).ok()?;
        let peer = peer(stream).ok()?;
        self.connections.push(Connection {
            peer,
            kept,
            never_reads: false,
            unanswered: Vec::new(),
            standing: BTreeSet::new(),
            last_set_up_at: None,
            pending_write: None,
            last_open_at: now,
        });
        Some(self.connections.len() - 1)
    }

    /// Opens many connections at once, and sends a set-up on each.
    pub fn connect_burst(&mut self, now: f64, count: usize, rng: &mut ChaCha8Rng, history: &mut History) {
        for _ in 0..count {
            if let Some(n) = self.open(now, false) {
                self.send(now, n, CallerBehavior::Plain, rng, history);
            }
        }
    }

    /// Sends the set-ups that are due at this fraction of the rate.
    pub fn send_due_set_ups(
        &mut self,
        now: f64,
        rate_ratio: f64,
        connects: bool,
        rng: &mut ChaCha8Rng,
        history: &mut History,
    ) {
        self.write_pending(now, history);
        if rate_ratio <= 0.0 {
            return;
        }
        // A late iteration of the loop sends no burst.
        self.next_set_up_at = self.next_set_up_at.max(now - 0.05);
        while self.next_set_up_at <= now {
            self.next_set_up_at += 1.0 / (self.set_ups_per_s * rate_ratio);
            let new_connections =
                self.connections.iter().filter(|c| !c.kept).count() + self.closing_callers.len();
            let on_new =
                connects && new_connections < MAX_NEW_CONNECTIONS && rng.gen_bool(NEW_CONNECTION_RATIO);
            let connection = match on_new {
                true => self.open(now, false),
                false => self.random_kept_connection(rng),
            };
            if let Some(n) = connection {
                let behavior = if self.connections[n].kept {
                    CallerBehavior::Plain
                } else {
                    random_caller_behavior(rng)
                };
                self.send(now, n, behavior, rng, history);
            }
        }
    }

    fn random_kept_connection(&self, rng: &mut ChaCha8Rng) -> Option<usize> {
        let kept: Vec<usize> = (0..self.connections.len()).filter(|n| self.connections[*n].kept).collect();
        (!kept.is_empty()).then(|| kept[rng.gen_range(0..kept.len())])
    }

    fn send(
        &mut self,
        now: f64,
        n: usize,
        behavior: CallerBehavior,
        rng: &mut ChaCha8Rng,
        history: &mut History,
    ) {
        let id = self.next_id;
        self.next_id += 1;
        let message = set_up("meter-read", rng.gen_range(0..self.first_choices), id, self.deadline_ms);
        let connection = &mut self.connections[n];
        connection.never_reads = behavior == CallerBehavior::NeverReads;
        let never_reads = matches!(behavior, CallerBehavior::NeverReads | CallerBehavior::LeavesAllUnread);
        let mut call =
            Call { sent: true, never_reads, on_kept_connection: connection.kept, ..Call::default() };
        connection.unanswered.push(id);
        connection.last_set_up_at = Some(now);
        if behavior == CallerBehavior::SendsInParts {
            let mut bytes = Vec::new();
            message.encode(&mut bytes);
            let rest = bytes.split_off(rng.gen_range(1..bytes.len()));
            let _ = connection.peer.stream().write_all(&bytes);
            connection.pending_write = Some((now + WRITE_DELAY_S, PendingWrite::RestOfSetUp(id, rest)));
        } else if connection.peer.send(&message).is_ok() {
            call.written_at = Some(now);
        }
        match behavior {
            CallerBehavior::Cancels => {
                connection.pending_write = Some((now + WRITE_DELAY_S, PendingWrite::Cancel(id)))
            }
            CallerBehavior::Closes => {
                call.left_at = Some(now);
                drop(self.connections.swap_remove(n));
            }
            CallerBehavior::LeavesEndUnread
            | CallerBehavior::LeavesAllUnread
            | CallerBehavior::HalfCloses
            | CallerBehavior::ResetsAtEnd => {
                let peer = self.connections.swap_remove(n).peer;
                self.closing_callers.push(ClosingCaller::new(peer, id, behavior, now, rng));
            }
            CallerBehavior::Plain | CallerBehavior::SendsInParts | CallerBehavior::NeverReads => {}
        }
        history.calls.insert(id, call);
    }

    fn write_pending(&mut self, now: f64, history: &mut History) {
        for connection in &mut self.connections {
            let Some((_, write)) = connection.pending_write.take_if(|(at, _)| *at <= now) else { continue };
            match write {
                PendingWrite::RestOfSetUp(id, rest) => {
                    connection.last_set_up_at = Some(now);
                    let written = connection.peer.stream().write_all(&rest).is_ok();
                    history.calls.entry(id).or_default().written_at = written.then_some(now);
                }
                PendingWrite::Cancel(id) => {
                    let _ = connection.peer.send(&release(id, cause::NORMAL));
                    history.calls.entry(id).or_default().left_at.get_or_insert(now);
                }
            }
        }
    }

    /// Receives the messages that have arrived.
    pub fn receive(&mut self, now: f64, history: &mut History) {
        self.poll_closing_callers(now, history);
        let mut ended = Vec::new();
        self.connections.retain_mut(|connection| {
            if connection.never_reads {
                return true;
            }
            let mut received = Vec::new();
            let read_result = connection.peer.read(&mut received);
            ended.extend(received.iter().filter_map(|message| connection.record(now, message, history)));
            if read_result.is_err() {
                for id in connection.unanswered.drain(..) {
                    history.calls.entry(id).or_default().connection_ended_at = Some(connection.last_open_at);
                }
                return false;
            }
            connection.last_open_at = now;
            if connection.kept {
                history.kept_open_until = now;
            }
            connection.kept || !connection.unanswered.is_empty()
        });
        // The end of a call may arrive on any connection.
        for connection in self.connections.iter_mut().filter(|_| !ended.is_empty()) {
            connection.standing.retain(|id| !ended.contains(id));
        }
    }

    fn poll_closing_callers(&mut self, now: f64, history: &mut History) {
        for mut caller in std::mem::take(&mut self.closing_callers) {
            match caller.poll(now, history) {
                Outcome::Open => self.closing_callers.push(caller),
                Outcome::Close => caller.close(now, history),
                Outcome::Lost => {}
            }
        }
    }

    /// Completes the records at the end of the run: set-ups that still wait on an open connection were never answered.
    pub fn finish(&mut self, history: &mut History) {
        // Messages that arrived together with the end of the process.
        self.receive(f64::INFINITY, history);
        self.connections
            .iter()
            .filter(|c| c.never_reads)
            .for_each(|c| record_unread_at_end(&c.peer, history));
    }
}

impl Connection {
    /// Records a message; returns its call if the message ends it.
    fn record(&mut self, now: f64, message: &Message, history: &mut History) -> Option<u64> {
        let content = ReplyContent::of(message)?;
        let is_end = matches!(content, ReplyContent::Release(_));
        history.record_reply(now, message.call, content);
        self.unanswered.retain(|id| *id != message.call);
        if !is_end {
            self.standing.insert(message.call);
        }
        is_end.then_some(message.call)
    }
}
