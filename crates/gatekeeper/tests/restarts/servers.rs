//! The session servers of a run.

use std::io::Write;
use std::net::TcpListener;

use hollypaddle_platform::message::{cause, code, kind, Message};
use hollypaddle_standin::resolver::Listed;
use hollypaddle_standin::{full, peer, release, Peer};
use rand::Rng;
use rand_chacha::rand_core::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::history::Attempt;
use crate::plan::Service;

struct Connection {
    peer: Peer,
    /// Set-ups that it brought.
    brought: usize,
    /// Attempts open on it, by their place in the record.
    open: Vec<usize>,
    /// What is due, and for which attempt.
    due: Vec<(f64, usize, Due)>,
    /// Answers written so far.
    answered: usize,
}

/// What a server writes at its time.
#[derive(Clone, Copy, PartialEq)]
enum Due {
    Answer,
    End,
}

struct Server {
    listener: TcpListener,
    service: Service,
    connections: Vec<Connection>,
}

/// All of them, with the record of what was attempted.
pub struct Servers {
    servers: Vec<Server>,
    listed: Vec<Listed>,
    attempts: Vec<Attempt>,
    /// The last turn.
    turned: f64,
}

impl Servers {
    /// Opens them.
    pub fn open(services: &[Service]) -> Servers {
        let servers: Vec<Server> = services
            .iter()
            .map(|service| {
                let listener = TcpListener::bind("127.0.0.1:0").unwrap();
                listener.set_nonblocking(true).unwrap();
                Server { listener, service: *service, connections: Vec::new() }
            })
            .collect();
        let listed = |(n, server): (usize, &Server)| Listed {
            id: format!("s-{n}"),
            district: "downtown".into(),
            address: server.listener.local_addr().unwrap(),
            number: n as u32,
            draining: false,
            started_ms: 0,
        };
        let listed = servers.iter().enumerate().map(listed).collect();
        Servers { servers, listed, attempts: Vec::new(), turned: 0.0 }
    }

    /// The list of them.
    pub fn listed(&self) -> &[Listed] {
        &self.listed
    }

    /// What was attempted.
    pub fn attempts(&self) -> Vec<Attempt> {
        self.attempts.clone()
    }

    /// One turn.
    pub fn turn(&mut self, now: f64) {
        let turn = Turn { now, last: std::mem::replace(&mut self.turned, now) };
        let attempts = &mut self.attempts;
        for server in &mut self.servers {
            while let Ok((stream, _)) = server.listener.accept() {
                let peer = peer(stream).unwrap();
                let (open, due) = (Vec::new(), Vec::new());
                server.connections.push(Connection { peer, brought: 0, open, due, answered: 0 });
            }
            let service = server.service;
            server.connections.retain_mut(|connection| {
                let stays = connection.turn(turn, service, attempts);
                if !stays {
                    connection.open.iter().for_each(|n| end(&mut attempts[*n], now));
                }
                stays
            });
        }
    }
}

/// When this turn is, and when the last one was.
#[derive(Clone, Copy)]
struct Turn {
    now: f64,
    last: f64,
}

fn end(attempt: &mut Attempt, now: f64) {
    attempt.ended.get_or_insert(now);
}

/// The answer to an attempt: no other one has its description.
fn answer_to(attempt: usize, id: u64) -> Message {
    Message::new(kind::ANSWER, id).with(code::DESCRIPTION, format!("made for {id:016x}, attempt {attempt}"))
}

/// For how long a call stands: drawn from its id, exponentially, with this mean.
fn hold(id: u64, mean: f64) -> f64 {
    let share = ChaCha8Rng::seed_from_u64(id).gen_range(0.0..1.0_f64);
    -mean * (1.0 - share).ln()
}

fn description(answer: &Message) -> Option<Vec<u8>> {
    answer.bytes(code::DESCRIPTION).map(<[u8]>::to_vec)
}

impl Connection {
    /// One turn; returns whether the connection stays.
    fn turn(&mut self, turn: Turn, service: Service, attempts: &mut Vec<Attempt>) -> bool {
        let now = turn.now;
        let mut heard = Vec::new();
        let open = self.peer.read(&mut heard).is_ok();
        for message in &heard {
            match message.kind {
                kind::SET_UP => self.set_up(turn, message, service, attempts),
                kind::RELEASE => self.released(now, message.call, attempts),
                _ => {}
            }
        }
        let (due, later): (Vec<_>, Vec<_>) = self.due.drain(..).partition(|(at, ..)| *at <= now);
        self.due = later;
        for (_, attempt, what) in due {
            match what {
                Due::Answer => self.answer(now, attempt, service, attempts),
                Due::End => self.end_call(now, &mut attempts[attempt]),
            }
        }
        let reset = matches!(service, Service::Resets(most) if self.brought >= most);
        if reset {
            // Closed with nothing lingering: the other side is reset.
            let socket = socket2::SockRef::from(self.peer.stream());
            let _ = socket.set_linger(Some(std::time::Duration::ZERO));
        }
        open && !reset
    }

    fn set_up(&mut self, turn: Turn, message: &Message, service: Service, attempts: &mut Vec<Attempt>) {
        let now = turn.now;
        let attempt = attempts.len();
        attempts.push(Attempt {
            id: message.call,
            after: turn.last,
            begun: now,
            ended: None,
            answer: None,
            call_ended: None,
        });
        self.brought += 1;
        self.open.push(attempt);
        match service {
            Service::Answers(after) | Service::Stands(after, _) => {
                self.due.push((now + after, attempt, Due::Answer));
            }
            Service::Resets(_) | Service::Holds(_) | Service::StopsShort(_) | Service::Repeats => {
                self.due.push((now, attempt, Due::Answer));
            }
            Service::Hangs => {}
            Service::Full => {
                let _ = self.peer.send(&full(message.call, "throttled"));
                self.close(now, attempt, attempts);
            }
        }
    }

    fn answer(&mut self, now: f64, attempt: usize, service: Service, attempts: &mut [Attempt]) {
        if attempts[attempt].ended.is_some() {
            return;
        }
        let id = attempts[attempt].id;
        let answer = answer_to(attempt, id);
        self.answered += 1;
        if matches!(service, Service::StopsShort(every) if self.answered.is_multiple_of(every)) {
            return self.stop_short(&answer);
        }
        if service == Service::Repeats {
            // Ids of callers are small numbers.
            let _ = self.peer.send(&answer_to(attempt, !id));
            let _ = self.peer.send(&answer);
        }
        if self.peer.send(&answer).is_ok() {
            attempts[attempt].answer = description(&answer);
        }
        self.close(now, attempt, attempts);
        match service {
            Service::Holds(hold) => self.due.push((now + hold, attempt, Due::End)),
            Service::Stands(_, mean) => self.due.push((now + hold(id, mean), attempt, Due::End)),
            // The reset may destroy it.
            Service::Resets(_) => drop(self.peer.send(&release(id, cause::NORMAL))),
            _ => self.end_call(now, &mut attempts[attempt]),
        }
    }

    /// Writes an answer less its last bytes, from one to all of the description by its call's id.
    fn stop_short(&mut self, answer: &Message) {
        let mut bytes = Vec::new();
        answer.encode(&mut bytes);
        let described = description(answer).map_or(1, |description| description.len());
        let missing = 1 + answer.call as usize % described;
        // The connection may have gone; then this attempt ends with it.
        let _ = self.peer.stream().write_all(&bytes[..bytes.len() - missing]);
    }

    fn end_call(&mut self, now: f64, attempt: &mut Attempt) {
        if self.peer.send(&release(attempt.id, cause::NORMAL)).is_ok() {
            attempt.call_ended = Some(now);
        }
    }

    /// The gatekeeper gives it up.
    fn released(&mut self, now: f64, id: u64, attempts: &mut [Attempt]) {
        if let Some(attempt) = self.open.iter().copied().find(|n| attempts[*n].id == id) {
            self.close(now, attempt, attempts);
        }
    }

    fn close(&mut self, now: f64, attempt: usize, attempts: &mut [Attempt]) {
        end(&mut attempts[attempt], now);
        self.open.retain(|n| *n != attempt);
    }
}
