//! The callers' side: the listener, the callers' connections, and the messages on them.

mod closing;
mod draining;
mod ends;
mod eviction;
mod reply;
mod set_up;

use std::collections::{BTreeMap, VecDeque};
use std::io::{self, ErrorKind};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};

use self::closing::Closing;
use self::draining::Drain;
pub use self::draining::DrainCounts;
use self::ends::CallEnd;
pub use self::ends::EndCounts;
use self::reply::encode;
use self::set_up::{request, request_class};
use super::config::ProtocolClass;
use super::delivery::Pending;
use super::listen::bind;
use super::poller::{Key, Poller, Ready};
use super::steering::{self, Steering};
use hollypaddle_core::calls::{Calls, OfferError, Origin, Reply};
use hollypaddle_platform::boundary::{Candidate, Verdict};
use hollypaddle_platform::connection::{Connection, Over};
use hollypaddle_platform::message::{cause, kind, Message, MOST};
use hollypaddle_service::drain::KeptFor;

/// For how long a caller is to stay away from a gatekeeper that holds too much, in seconds, or for the longest that callers
/// heed where that is less.
const CROWDED_WAIT: f64 = 1.0;
/// Set-ups that make no sense taken from one connection, each with its refusal, before it is closed.
const MOST_SENSELESS: u32 = 8;
/// Callers that wait to be accepted. Hundreds connect at once; the standard library's 128 are too few.
const BACKLOG: i32 = 1024;

struct Client {
    connection: Connection<TcpStream>,
    /// Watched for writing too.
    writing: bool,
    /// Since when it is connected, and when it last sent or was sent something.
    since: f64,
    used_at: f64,
    /// When its last set-up was read.
    asked_at: Option<f64>,
    /// When its last set-up was read that came after something was told of a call: its caller reads what it is sent.
    asked_again_at: Option<f64>,
    best_reply: BestReply,
    senseless: u32,
    pending_ends: Pending<CallEnd>,
    /// A write or a look at it failed: it was reset, and the system tells that only once.
    reset_seen: bool,
    /// What it was last kept for in a drain.
    kept_for: Option<KeptFor>,
}

/// The best that a connection was sent so far.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum BestReply {
    None,
    /// The result of a test, or a refusal of what made no sense.
    Notice,
    /// What became of a call.
    Outcome,
    /// That a call stands.
    Standing,
}

/// All callers.
pub struct Clients {
    /// Where it listens, or listened before a drain.
    address: SocketAddr,
    classes: Vec<ProtocolClass>,
    listener: Option<TcpListener>,
    listener_key: Key,
    /// While the listener is about to close.
    steering: Option<Steering>,
    /// Not accepting for the moment, for want of descriptors.
    paused: bool,
    /// Since when callers wait to be accepted for want of places.
    short_since: Option<f64>,
    most: usize,
    /// Bytes that may wait for one caller.
    most_waiting: usize,
    connections: BTreeMap<Key, Client>,
    /// Connections that one side has closed, until it is certain what became of what was sent on them.
    closing: BTreeMap<Key, Closing>,
    /// For how long a caller is to stay away from a gatekeeper that holds too much; none where callers are not told.
    stay_away: Option<f64>,
    /// Ends of calls that stood, for which there is no connection.
    undelivered: VecDeque<CallEnd>,
    /// Ends that were not read on a connection that is over, to be sent on another one at once.
    unread: VecDeque<CallEnd>,
    end_counts: EndCounts,
    /// While drained.
    drain: Option<Drain>,
    drain_counts: DrainCounts,
    /// Classes of set-ups turned away here, for lack of room, until the figures take them.
    pub refused_classes: Vec<usize>,
    /// Called between the last accept and the close of the listener, with its address.
    #[cfg(test)]
    pub before_close: Option<Box<dyn FnMut(SocketAddr)>>,
    /// Called between the next poll of a connection and what is written on it.
    #[cfg(test)]
    pub after_poll: Option<Box<dyn FnOnce()>>,
}

impl Clients {
    /// Listens. At most `most` connections are held at once, with `memory` bytes for what waits on them.
    pub fn listen(
        address: SocketAddr,
        most: usize,
        memory: usize,
        classes: Vec<ProtocolClass>,
        poller: &mut Poller,
    ) -> io::Result<Self> {
        let listener = bind(address, BACKLOG)?;
        steering::reset_to_hash(&listener);
        let address = listener.local_addr()?;
        let listener_key = poller.add(&listener, false)?;
        let (listener, connections) = (Some(listener), BTreeMap::new());
        let (paused, undelivered) = (false, VecDeque::new());
        let most_waiting = (memory / most).clamp(2 * MOST, 8 * MOST);
        let refused_classes = Vec::new();
        Ok(Clients {
            address,
            classes,
            listener,
            listener_key,
            steering: None,
            paused,
            short_since: None,
            most,
            most_waiting,
            connections,
            closing: BTreeMap::new(),
            stay_away: None,
            undelivered,
            unread: VecDeque::new(),
            end_counts: EndCounts::default(),
            drain: None,
            drain_counts: DrainCounts::default(),
            refused_classes,
            #[cfg(test)]
            before_close: None,
            #[cfg(test)]
            after_poll: None,
        })
    }

    /// Where it listens.
    pub fn address(&self) -> Option<SocketAddr> {
        self.listener.as_ref()?.local_addr().ok()
    }

    /// Has new connections go to another process that listens at the same address, if there is one: the listener is about to
    /// close, and would reset those that come between its last accept and its close.
    pub fn steer_away(&mut self, now: f64) {
        if let Some(listener) = &self.listener {
            self.steering = Some(Steering::begin(now, listener));
        }
    }

    /// Takes its part of new connections again.
    pub fn steer_back(&mut self) {
        if let (Some(_), Some(listener)) = (self.steering.take(), &self.listener) {
            steering::reset_to_hash(listener);
        }
    }

    /// Takes no further connections; returns whether the listener is closed. What waits in its queue is taken first: closing a
    /// listener resets the connections queued to it, and at an upgrade they were meant for this process. Where there is no
    /// place for those it stays open, and this is to be called again.
    pub fn stop_listening(&mut self, now: f64, poller: &mut Poller, calls: &mut Calls) -> bool {
        self.accept(now, poller, calls);
        if self.paused {
            return false;
        }
        self.close_listener(poller);
        true
    }

    /// Takes what waits in the listener's queue, also with descriptors that servers would have, and closes the listener once
    /// the queue is empty: the program ends, and whoever waited for a place is to hear of it.
    pub fn accept_remaining(&mut self, now: f64, poller: &mut Poller, calls: &mut Calls) {
        self.most = usize::MAX;
        self.stop_listening(now, poller, calls);
    }

    fn close_listener(&mut self, poller: &Poller) {
        let Some(listener) = self.listener.take() else { return };
        #[cfg(test)]
        if let Some(hook) = &mut self.before_close {
            hook(self.address);
        }
        poller.remove(&listener);
        self.paused = false;
        self.steering = None;
    }

    /// Closes connections that are of no use to anyone, and carries on after a pause. Called now and then.
    pub fn maintain(&mut self, now: f64, poller: &Poller, calls: &mut Calls) {
        self.close_unused(now, poller, calls);
        self.send_unread(now, poller, calls);
        self.send_undelivered(now, poller, calls);
        if let (true, Some(listener)) = (self.paused, &self.listener) {
            self.paused = false;
            poller.set_interest(self.listener_key, listener, true, false);
        }
    }

    /// Takes the classes of settings read anew, by number.
    pub fn set_classes(&mut self, classes: Vec<ProtocolClass>) {
        self.classes = classes;
    }

    /// Takes the longest time that callers stay away when told, if they are told.
    pub fn set_max_retry_after(&mut self, most: Option<f64>) {
        self.stay_away = most.map(|most| most.min(CROWDED_WAIT));
    }

    /// For how long those are to stay away that are turned away here.
    pub fn retry_after(&self) -> f64 {
        self.stay_away.unwrap_or(0.0)
    }

    /// Takes how many connections may be held.
    pub fn set_max_connections(&mut self, most: usize) {
        self.most = most.max(1);
    }

    /// Whether it listens.
    pub fn is_listening(&self) -> bool {
        self.listener.is_some()
    }

    /// Listens again at its address, after a drain.
    pub fn resume_listening(&mut self, poller: &mut Poller) -> io::Result<()> {
        if self.listener.is_none() {
            let listener = bind(self.address, BACKLOG)?;
            steering::reset_to_hash(&listener);
            self.listener_key = poller.add(&listener, false)?;
            (self.listener, self.paused) = (Some(listener), false);
        }
        Ok(())
    }

    /// Takes what is ready, if it is a caller's.
    pub fn handle_ready(&mut self, now: f64, ready: Ready, poller: &mut Poller, calls: &mut Calls) {
        if ready.key == self.listener_key {
            self.accept(now, poller, calls);
        } else if self.closing.contains_key(&ready.key) {
            self.finish_closing(now, ready.key, poller);
        } else if let Some(client) = self.connections.get_mut(&ready.key) {
            if ready.writable {
                let end = client.connection.flush();
                self.close_if_over(now, ready.key, end, poller, calls);
            }
            if ready.readable {
                self.read(now, ready.key, poller, calls);
            }
        }
        self.send_unread(now, poller, calls);
    }

    /// Takes what has come on a connection.
    fn read(&mut self, now: f64, key: Key, poller: &Poller, calls: &mut Calls) {
        let Some(client) = self.connections.get_mut(&key) else { return };
        let mut messages = Vec::new();
        let mut end = client.connection.read_judged(&mut messages, &judge);
        for message in messages {
            if let Err(reason) = self.receive(now, key, &message, poller, calls) {
                end = Err(reason);
                break;
            }
        }
        self.close_if_over(now, key, end, poller, calls);
    }

    /// Takes what every caller has sent by now.
    pub fn read_all(&mut self, now: f64, poller: &Poller, calls: &mut Calls) {
        let keys: Vec<Key> = self.connections.keys().copied().collect();
        keys.into_iter().for_each(|key| self.read(now, key, poller, calls));
    }

    fn accept(&mut self, now: f64, poller: &mut Poller, calls: &mut Calls) {
        loop {
            if self.held() >= self.most {
                self.make_room(now, poller, calls);
            }
            if self.held() >= self.most {
                self.short_since.get_or_insert(now);
            }
            let Some(listener) = &self.listener else { return };
            let accepted = match self.held() < self.most {
                true => listener.accept(),
                false => Err(io::Error::other("as many callers are connected as may be")),
            };
            if let (Ok(_), Some(steering)) = (&accepted, &mut self.steering) {
                steering.connection_accepted(now, listener);
            }
            let error = match accepted.and_then(|(stream, _)| self.admit(now, stream, poller)) {
                Ok(()) => continue,
                Err(error) => error,
            };
            match error.kind() {
                ErrorKind::WouldBlock => {
                    self.short_since = None;
                    return;
                }
                // The caller went away again.
                ErrorKind::Interrupted | ErrorKind::ConnectionAborted | ErrorKind::ConnectionReset => {}
                // Guards against running out of descriptors: level-triggered, the listener would be
                // ready again at once, for ever. Those who wait are taken at the next beat.
                _ => {
                    log::debug!(error:%; "accept-paused");
                    if let Some(listener) = &self.listener {
                        poller.set_interest(self.listener_key, listener, false, false);
                    }
                    self.paused = true;
                    return;
                }
            }
        }
    }

    /// Whether something waits to be written on a connection.
    #[cfg(test)]
    pub fn blocked(&self) -> bool {
        self.connections.values().any(|client| client.connection.blocked())
    }

    /// Has few bytes fill the system's buffers on the way to callers.
    #[cfg(test)]
    pub fn shrink_send_buffers(&self) {
        let sockets = self.connections.values().map(|client| client.connection.stream());
        sockets.for_each(|socket| drop(socket2::SockRef::from(socket).set_send_buffer_size(4096)));
    }

    /// Descriptors that callers hold.
    fn held(&self) -> usize {
        self.connections.len() + self.closing.len()
    }

    fn admit(&mut self, now: f64, stream: TcpStream, poller: &mut Poller) -> io::Result<()> {
        stream.set_nonblocking(true)?;
        stream.set_nodelay(true)?;
        let key = poller.add(&stream, false)?;
        let connection = Connection::new(stream, self.most_waiting);
        let client = Client {
            connection,
            writing: false,
            since: now,
            used_at: now,
            asked_at: None,
            asked_again_at: None,
            best_reply: BestReply::None,
            senseless: 0,
            pending_ends: Pending::default(),
            reset_seen: false,
            kept_for: None,
        };
        self.connections.insert(key, client);
        Ok(())
    }

    /// Takes a message; an error ends the connection.
    fn receive(
        &mut self,
        now: f64,
        key: Key,
        message: &Message,
        poller: &Poller,
        calls: &mut Calls,
    ) -> Result<(), Over> {
        let Some(client) = self.connections.get_mut(&key) else { return Ok(()) };
        match message.kind {
            kind::SET_UP => {
                (client.used_at, client.asked_at) = (now, Some(now));
                if client.best_reply >= BestReply::Outcome {
                    client.asked_again_at = Some(now);
                }
                let refusal = match request(message, &self.classes) {
                    Err(cause) => Message::new(kind::RELEASE, message.call).caused(cause),
                    Ok(_)
                        if !calls.is_known(message.call)
                            && self.refuse_drained(now, key, message, poller) =>
                    {
                        return Ok(())
                    }
                    Ok(request) => match calls.offer(now, key, request) {
                        Ok(()) => return Ok(()),
                        Err(OfferError::TooManyHeld) => {
                            self.refused_classes.push(request_class(message, &self.classes));
                            let refusal = encode(message.call, Reply::Refused(self.stay_away.unwrap_or(0.0)));
                            self.send(now, key, &refusal, BestReply::Outcome, poller);
                            return Ok(());
                        }
                        Err(OfferError::KnownId) => {
                            Message::new(kind::RELEASE, message.call).caused(cause::INVALID_PARAMETER)
                        }
                        Err(OfferError::DuplicateId) => return Err(Over::Improper("a set-up came twice")),
                    },
                };
                log::debug!(call:% = format_args!("{:016x}", message.call), cause = refusal.cause(); "set-up-not-taken");
                let Some(client) = self.connections.get_mut(&key) else { return Ok(()) };
                client.senseless += 1;
                let senseless = client.senseless;
                self.send(now, key, &refusal, BestReply::Notice, poller);
                if senseless >= MOST_SENSELESS {
                    return Err(Over::Improper("nothing but set-ups that make no sense"));
                }
            }
            kind::RELEASE => {
                client.used_at = now;
                calls.caller_release(now, message.call);
            }
            kind::RELEASE_HEARD => client.pending_ends.confirm(|end| end.id == message.call),
            kind::TEST => {
                client.used_at = now;
                let passed = Message::new(kind::TEST_RESULT, message.call).caused(1);
                self.send(now, key, &passed, BestReply::Notice, poller);
            }
            _ => {}
        }
        Ok(())
    }

    /// Sends a caller what became of a call. Returns whether it could be sent: not where its connection is gone, but for the
    /// end of a call that stood, which goes to another one then.
    pub fn reply(
        &mut self,
        now: f64,
        origin: Origin,
        id: u64,
        reply: Reply,
        poller: &Poller,
        calls: &mut Calls,
    ) -> bool {
        if let Reply::Ended { cut } = reply {
            let end = CallEnd { id, cut, ended_at: now };
            self.send_end(now, origin, end, BestReply::Outcome, poller, calls);
            return true;
        }
        let stands = matches!(reply, Reply::Established(_));
        if stands {
            let stood = calls.is_standing(id);
            let connected = self.poll_connection(now, origin, poller, calls);
            // Cancelled meanwhile, and released at its server: no answer is owed.
            if stood && !calls.is_standing(id) && connected {
                return true;
            }
        }
        // Before a call stands, a caller whose connection is gone has given it up.
        if !self.connections.contains_key(&origin) {
            return false;
        }
        let best_reply = if stands { BestReply::Standing } else { BestReply::Outcome };
        let sent = self.send(now, origin, &encode(id, reply), best_reply, poller);
        // Whoever gets answers reads them: a connection for what could not be sent before.
        for end in std::mem::take(&mut self.undelivered) {
            self.send_end(now, origin, end, best_reply, poller, calls);
        }
        sent
    }

    /// Sends a message; returns whether it is written or waits to be.
    fn send(
        &mut self,
        now: f64,
        key: Key,
        message: &Message,
        best_reply: BestReply,
        poller: &Poller,
    ) -> bool {
        let Some(client) = self.connections.get_mut(&key) else { return false };
        (client.used_at, client.best_reply) = (now, client.best_reply.max(best_reply));
        let sent = client.connection.send(message).map(drop);
        client.take_written(key, &sent);
        client.watch(key, poller);
        sent.is_ok()
    }
}

/// Judges whether a set-up was sent whole. None is held back until more can tell: what callers send next is seldom more than a
/// turn away, and an answer is due at their deadline.
fn judge(candidate: Candidate) -> Verdict {
    match candidate.verdict(|_| false) {
        Verdict::CutShort => Verdict::CutShort,
        Verdict::Whole | Verdict::Undecided => Verdict::Whole,
    }
}

impl Client {
    /// Whether it was of no use for so long: one that was told nothing, counted from its connect, and any
    /// other, counted from the last word.
    fn unused(&self, now: f64, mute: f64, idle: f64) -> bool {
        match self.best_reply {
            BestReply::None => now - self.since >= mute,
            _ => now - self.used_at >= idle,
        }
    }

    /// Takes the result of a write.
    fn take_written(&mut self, key: Key, written: &Result<(), Over>) {
        match written {
            Ok(()) => {}
            // Nobody reads there: shut, it is found ready with its end, in its turn.
            Err(Over::Stuck) => drop(self.connection.stream().shutdown(Shutdown::Both)),
            // So is a broken one.
            Err(error) => {
                self.reset_seen = true;
                log::debug!(caller = key, error:%; "caller-broken");
            }
        }
    }

    fn watch(&mut self, key: Key, poller: &Poller) {
        let writing = self.connection.blocked();
        if writing != self.writing {
            self.writing = writing;
            poller.set_interest(key, self.connection.stream(), true, writing);
        }
    }
}
