//! Callers that close their connection with unread messages, or reset it. Each records what was unread as it closed.

use std::io::{ErrorKind, Read};
use std::net::{Shutdown, TcpStream};
use std::time::Duration;

use hollypaddle_platform::message::Message;
use hollypaddle_standin::Peer;
use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::checks::TOLERANCE_S;
use crate::history::{ClosedConnection, History, ReplyContent};
use crate::plan::CallerBehavior;

/// Longest time before a caller closes once the message that it waits for has arrived.
const MAX_CLOSE_DELAY_S: f64 = 0.1;
/// How long a caller waits for the end of its call; servers hold calls for up to 0.5 s.
const END_TIMEOUT_S: f64 = 0.6;
/// Range of the time for which a caller that reads nothing stays connected.
const UNREAD_STAY_S: (f64, f64) = (0.1, 0.9);
/// Size of the buffer for unread bytes; a connection receives less in a whole run.
const MAX_UNREAD_BYTES: usize = 64 * 1024;

/// One of these callers, with its connection.
pub struct ClosingCaller {
    peer: Peer,
    behavior: CallerBehavior,
    call_id: u64,
    connected_at: f64,
    /// Seconds between the message that it waits for and its close.
    close_delay_s: f64,
    /// Whether it goes on to read after it has closed for writing, or reads all but the last message before it closes.
    reads_more: bool,
    call_state: CallState,
    /// The releases that it read, with their times.
    releases: Vec<(f64, u64)>,
    close_at: f64,
    /// When its connection was last seen open.
    last_open_at: f64,
}

/// The state of the caller's own call, as far as it has read.
#[derive(Clone, Copy, Debug, PartialEq)]
enum CallState {
    Unanswered,
    Established,
    Ended,
    /// It was never established.
    Refused,
}

/// The outcome of a poll for the connection.
pub enum Outcome {
    /// It stays open.
    Open,
    /// Its caller must close it now.
    Close,
    /// The gatekeeper has ended it.
    Lost,
}

impl ClosingCaller {
    /// Creates a caller that has just sent the set-up of call `call_id`.
    pub fn new(
        peer: Peer,
        call_id: u64,
        behavior: CallerBehavior,
        now: f64,
        rng: &mut ChaCha8Rng,
    ) -> ClosingCaller {
        let close_at = match behavior {
            CallerBehavior::LeavesAllUnread => now + rng.gen_range(UNREAD_STAY_S.0..UNREAD_STAY_S.1),
            _ => f64::INFINITY,
        };
        ClosingCaller {
            peer,
            behavior,
            call_id,
            connected_at: now,
            close_delay_s: rng.gen_range(0.0..MAX_CLOSE_DELAY_S),
            reads_more: rng.gen_bool(0.5),
            call_state: CallState::Unanswered,
            releases: Vec::new(),
            close_at,
            last_open_at: now,
        }
    }

    /// Whether it waits for an answer.
    pub fn waits_for_answer(&self) -> bool {
        self.call_state == CallState::Unanswered && self.behavior != CallerBehavior::LeavesAllUnread
    }

    /// Reads the messages that it is to read of those that have arrived, and decides when to close.
    pub fn poll(&mut self, now: f64, history: &mut History) -> Outcome {
        let Some(bytes) = unread(self.peer.stream()) else {
            self.record_loss(history);
            return Outcome::Lost;
        };
        let mut messages = decode(&bytes).into_iter().peekable();
        while let Some((message, length)) = messages.next_if(|_| self.reads_next()) {
            self.consume(length);
            self.record(now, &message, history);
        }
        let left_unread: Vec<Message> = messages.map(|(message, _)| message).collect();
        self.close_early_if_unread(now, &left_unread);
        self.last_open_at = now;
        if now >= self.close_at {
            Outcome::Close
        } else {
            Outcome::Open
        }
    }

    fn reads_next(&self) -> bool {
        let unanswered = self.call_state == CallState::Unanswered;
        match self.behavior {
            CallerBehavior::LeavesAllUnread => false,
            CallerBehavior::HalfCloses => unanswered || self.reads_more,
            CallerBehavior::ResetsAtEnd => true,
            _ => unanswered,
        }
    }

    /// Removes one completely received message from the connection.
    fn consume(&self, length: usize) {
        let mut stream = self.peer.stream();
        stream.read_exact(&mut vec![0; length]).expect("the message was peeked before");
    }

    fn record(&mut self, now: f64, message: &Message, history: &mut History) {
        let Some(content) = ReplyContent::of(message) else { return };
        if matches!(content, ReplyContent::Release(_)) {
            self.releases.push((now, message.call));
        }
        if message.call == self.call_id {
            self.handle_own_call(now, &content);
        }
        history.record_reply(now, message.call, content);
    }

    /// Handles a message for its own call.
    fn handle_own_call(&mut self, now: f64, content: &ReplyContent) {
        let first = self.call_state == CallState::Unanswered;
        self.call_state = match content {
            ReplyContent::Answer(_) => CallState::Established,
            ReplyContent::Release(_) if first => CallState::Refused,
            ReplyContent::Release(_) => CallState::Ended,
        };
        match self.behavior {
            CallerBehavior::HalfCloses if first => {
                // The other side may already have closed the connection.
                let _ = self.peer.stream().shutdown(Shutdown::Write);
                self.close_at = now + self.close_delay_s;
            }
            CallerBehavior::HalfCloses => {}
            _ if self.call_state == CallState::Established => self.close_at = now + END_TIMEOUT_S,
            _ => self.close_at = now,
        }
    }

    /// Closes earlier if the messages that it waits for have arrived unread.
    fn close_early_if_unread(&mut self, now: f64, unread: &[Message]) {
        let own_messages =
            || unread.iter().filter(|message| message.call == self.call_id).filter_map(ReplyContent::of);
        let answered = own_messages().any(|content| matches!(content, ReplyContent::Answer(_)));
        let ended = own_messages().any(|content| matches!(content, ReplyContent::Release(_)));
        match self.behavior {
            CallerBehavior::LeavesEndUnread if ended => {
                self.close_at = self.close_at.min(now + self.close_delay_s)
            }
            CallerBehavior::LeavesAllUnread if answered && ended => self.close_at = now,
            _ => {}
        }
    }

    /// Reads all messages that have arrived but the last one.
    fn read_all_but_last(&mut self, now: f64, history: &mut History) {
        let mut messages = decode(&unread(self.peer.stream()).unwrap_or_default());
        messages.pop();
        for (message, length) in messages {
            self.consume(length);
            self.record(now, &message, history);
        }
    }

    /// Closes its connection, and records the unread messages. Only a message that arrives in the microseconds between the
    /// peek and the close is missed.
    pub fn close(mut self, now: f64, history: &mut History) {
        if self.behavior == CallerBehavior::LeavesEndUnread && self.reads_more {
            self.read_all_but_last(now, history);
        }
        // A caller that stopped waiting for its answer or end closes without a reset.
        let resets = self.behavior == CallerBehavior::ResetsAtEnd && self.call_state == CallState::Ended;
        if resets {
            let socket = socket2::SockRef::from(self.peer.stream());
            let _ = socket.set_linger(Some(Duration::ZERO));
        }
        let bytes = unread(self.peer.stream());
        drop(self.peer);
        if self.behavior == CallerBehavior::LeavesAllUnread {
            history.calls.entry(self.call_id).or_default().left_at = Some(now);
        }
        let just_read =
            self.releases.iter().filter(|(at, _)| resets && now - at <= TOLERANCE_S).map(|(_, id)| *id);
        history.closed_connections.push(ClosedConnection {
            connected_at: self.connected_at,
            closed_at: now,
            unread: replies(&bytes.unwrap_or_default()),
            ends_read_before_reset: just_read.collect(),
        });
    }

    fn record_loss(&self, history: &mut History) {
        if self.call_state == CallState::Unanswered {
            history.calls.entry(self.call_id).or_default().connection_ended_at = Some(self.last_open_at);
        }
    }
}

/// Records the unread messages at the end of the run on a connection that its caller never reads.
pub fn record_unread_at_end(peer: &Peer, history: &mut History) {
    let bytes = unread(peer.stream()).unwrap_or_default();
    let (connected_at, closed_at) = (0.0, f64::INFINITY);
    history.closed_connections.push(ClosedConnection {
        connected_at,
        closed_at,
        unread: replies(&bytes),
        ends_read_before_reset: Vec::new(),
    });
}

/// Peeks at the unread bytes; returns `None` if the connection has ended without any.
fn unread(stream: &TcpStream) -> Option<Vec<u8>> {
    let mut bytes = vec![0; MAX_UNREAD_BYTES];
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

/// The complete messages in these bytes, each with its length.
fn decode(mut bytes: &[u8]) -> Vec<(Message, usize)> {
    let mut messages = Vec::new();
    while let Some((message, length)) =
        Message::decode(bytes).expect("messages of the gatekeeper can be decoded")
    {
        messages.push((message, length));
        bytes = &bytes[length..];
    }
    messages
}

/// The content of the messages in these bytes, with the ids of their calls.
fn replies(bytes: &[u8]) -> Vec<(u64, ReplyContent)> {
    let reply = |(message, _): &(Message, usize)| Some((message.call, ReplyContent::of(message)?));
    decode(bytes).iter().filter_map(reply).collect()
}
