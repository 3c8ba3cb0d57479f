//! Callers that close with something unread, or reset their connection. Each records what was unread as it closed.

use std::io::{ErrorKind, Read};
use std::net::{Shutdown, TcpStream};
use std::time::Duration;

use hollypaddle_platform::message::Message;
use hollypaddle_standin::Peer;
use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::checks::SLACK;
use crate::history::{Departure, History, What};
use crate::plan::Manner;

/// Seconds for which a caller waits at most before it closes, once what it waits for is there.
const PAUSE: f64 = 0.1;
/// Seconds for which the end of a call is waited for; servers hold calls for half a second.
const END_AWAITED: f64 = 0.6;
/// Seconds for which a caller that reads nothing stays, at least and at most.
const BOTH_AWAITED: (f64, f64) = (0.1, 0.9);
/// Unread bytes looked at on one connection; all that comes in a run is less.
const MOST_UNREAD: usize = 64 * 1024;

/// One of these callers, with its connection.
pub struct Leaver {
    peer: Peer,
    manner: Manner,
    id: u64,
    connected: f64,
    /// Seconds between what it waits for and its close.
    pause: f64,
    /// It reads what comes after it has closed for writing, or all but the last message before it closes.
    reads_on: bool,
    progress: Progress,
    /// Ends that it read, and when.
    ends: Vec<(f64, u64)>,
    closes_at: f64,
    /// When its connection was last seen open.
    seen: f64,
}

/// How far the caller's own call has come, as far as it has read.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Progress {
    Waits,
    Stands,
    Over,
    /// It never stood.
    Refused,
}

/// What becomes of a connection in a turn.
pub enum Step {
    /// It stays.
    Stays,
    /// Its caller closes it now.
    Closes,
    /// The gatekeeper has ended it.
    Lost,
}

impl Leaver {
    /// A caller that has just sent the set-up of call `id`.
    pub fn new(peer: Peer, id: u64, manner: Manner, now: f64, rng: &mut ChaCha8Rng) -> Leaver {
        let closes_at = match manner {
            Manner::LeavesBoth => now + rng.gen_range(BOTH_AWAITED.0..BOTH_AWAITED.1),
            _ => f64::INFINITY,
        };
        Leaver {
            peer,
            manner,
            id,
            connected: now,
            pause: rng.gen_range(0.0..PAUSE),
            reads_on: rng.gen_bool(0.5),
            progress: Progress::Waits,
            ends: Vec::new(),
            closes_at,
            seen: now,
        }
    }

    /// Whether an answer is waited for.
    pub fn waits(&self) -> bool {
        self.progress == Progress::Waits && self.manner != Manner::LeavesBoth
    }

    /// Takes what it reads of what has come.
    pub fn turn(&mut self, now: f64, history: &mut History) -> Step {
        let Some(bytes) = unread(self.peer.stream()) else {
            self.lost(history);
            return Step::Lost;
        };
        let mut messages = decode(&bytes).into_iter().peekable();
        while let Some((message, length)) = messages.next_if(|_| self.reads()) {
            self.pass(length);
            self.take(now, &message, history);
        }
        let left: Vec<Message> = messages.map(|(message, _)| message).collect();
        self.decide(now, &left);
        self.seen = now;
        if now >= self.closes_at {
            Step::Closes
        } else {
            Step::Stays
        }
    }

    fn reads(&self) -> bool {
        let waits = self.progress == Progress::Waits;
        match self.manner {
            Manner::LeavesBoth => false,
            Manner::HalfCloses => waits || self.reads_on,
            Manner::Aborts => true,
            _ => waits,
        }
    }

    /// Reads one message, which is there whole, off the connection.
    fn pass(&self, length: usize) {
        let mut stream = self.peer.stream();
        stream.read_exact(&mut vec![0; length]).expect("what was there at a look");
    }

    fn take(&mut self, now: f64, message: &Message, history: &mut History) {
        let Some(what) = What::of(message) else { return };
        if matches!(what, What::Release(_)) {
            self.ends.push((now, message.call));
        }
        if message.call == self.id {
            self.own(now, &what);
        }
        history.heard(now, message.call, what);
    }

    /// Something was read of its own call.
    fn own(&mut self, now: f64, what: &What) {
        let first = self.progress == Progress::Waits;
        self.progress = match what {
            What::Answer(_) => Progress::Stands,
            What::Release(_) if first => Progress::Refused,
            What::Release(_) => Progress::Over,
        };
        match self.manner {
            Manner::HalfCloses if first => {
                // It may have been closed from the other side already.
                let _ = self.peer.stream().shutdown(Shutdown::Write);
                self.closes_at = now + self.pause;
            }
            Manner::HalfCloses => {}
            _ if self.progress == Progress::Stands => self.closes_at = now + END_AWAITED,
            _ => self.closes_at = now,
        }
    }

    /// Brings its close forward where what it waits for is there unread.
    fn decide(&mut self, now: f64, unread: &[Message]) {
        let own = || unread.iter().filter(|message| message.call == self.id).filter_map(What::of);
        let answered = own().any(|what| matches!(what, What::Answer(_)));
        let over = own().any(|what| matches!(what, What::Release(_)));
        match self.manner {
            Manner::LeavesEnd if over => self.closes_at = self.closes_at.min(now + self.pause),
            Manner::LeavesBoth if answered && over => self.closes_at = now,
            _ => {}
        }
    }

    /// Reads what is there but for the last message.
    fn read_all_but_last(&mut self, now: f64, history: &mut History) {
        let mut messages = decode(&unread(self.peer.stream()).unwrap_or_default());
        messages.pop();
        for (message, length) in messages {
            self.pass(length);
            self.take(now, &message, history);
        }
    }

    /// Closes its connection, and records what was unread there. Nothing comes between the look and the close but what is
    /// written in the microseconds between them.
    pub fn close(mut self, now: f64, history: &mut History) {
        if self.manner == Manner::LeavesEnd && self.reads_on {
            self.read_all_but_last(now, history);
        }
        // One that gave up on its answer or end closes as others do.
        let aborts = self.manner == Manner::Aborts && self.progress == Progress::Over;
        if aborts {
            let socket = socket2::SockRef::from(self.peer.stream());
            let _ = socket.set_linger(Some(Duration::ZERO));
        }
        let bytes = unread(self.peer.stream());
        drop(self.peer);
        if self.manner == Manner::LeavesBoth {
            history.calls.entry(self.id).or_default().left = Some(now);
        }
        let just_read = self.ends.iter().filter(|(at, _)| aborts && now - at <= SLACK).map(|(_, id)| *id);
        history.departures.push(Departure {
            connected: self.connected,
            closed: now,
            unread: replies(&bytes.unwrap_or_default()),
            aborted: just_read.collect(),
        });
    }

    fn lost(&self, history: &mut History) {
        if self.progress == Progress::Waits {
            history.calls.entry(self.id).or_default().ended = Some(self.seen);
        }
    }
}

/// Records what is unread, as the run is over, on a connection that its caller never reads.
pub fn never_read(peer: &Peer, history: &mut History) {
    let bytes = unread(peer.stream()).unwrap_or_default();
    let (connected, closed) = (0.0, f64::INFINITY);
    history.departures.push(Departure { connected, closed, unread: replies(&bytes), aborted: Vec::new() });
}

/// The bytes that are there unread, which stay there; none where the connection has ended without any.
fn unread(stream: &TcpStream) -> Option<Vec<u8>> {
    let mut bytes = vec![0; MOST_UNREAD];
    match stream.peek(&mut bytes) {
        Ok(0) => None,
        Ok(count) => {
            bytes.truncate(count);
            Some(bytes)
        }
        Err(error) if error.kind() == ErrorKind::WouldBlock => Some(Vec::new()),
        Err(_) => None,
    }
}

/// The whole messages in bytes, each with its length.
fn decode(mut bytes: &[u8]) -> Vec<(Message, usize)> {
    let mut messages = Vec::new();
    while let Some((message, length)) = Message::decode(bytes).expect("what the gatekeeper wrote") {
        messages.push((message, length));
        bytes = &bytes[length..];
    }
    messages
}

/// What a caller would have heard by these bytes, and of which calls.
fn replies(bytes: &[u8]) -> Vec<(u64, What)> {
    let reply = |(message, _): &(Message, usize)| Some((message.call, What::of(message)?));
    decode(bytes).iter().filter_map(reply).collect()
}
