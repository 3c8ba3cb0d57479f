//! The callers' side: the listener, the callers' connections, and what is said on them.

mod reply;
mod set_up;

use std::collections::{BTreeMap, VecDeque};
use std::io::{self, ErrorKind};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};

use hollypaddle_service::lifecycle::{self, Lifecycle};

use self::reply::encode;
use self::set_up::{request, request_class};
use super::config::LinkClass;
use super::listen::bind;
use super::poller::{Key, Ready, Watch};
use super::steering::{self, Steering};
use hollypaddle_core::calls::{Calls, NotTaken, Origin, Reply};
use hollypaddle_platform::boundary::{Candidate, Verdict};
use hollypaddle_platform::connection::{Connection, Over};
use hollypaddle_platform::message::{cause, kind, Message, MOST};

/// Releases kept for callers while none is connected.
const MOST_OWED: usize = 4096;
/// A release is kept for a caller that is known to have calls for so long; it is owed within 1 s, and
/// then any connection has to do.
const LATEST: f64 = 0.5;
/// For how long a caller is to stay away from a gatekeeper that holds too much, in seconds, or for the longest that callers
/// heed where that is less.
const CROWDED_WAIT: f64 = 1.0;
/// A caller that was told nothing and waits for nothing is closed after so long, and so is one that
/// began a message and does not end it: it is owed a word or a close within 3 s of connecting.
const MUTE: f64 = 2.0;
/// One that was told something and waits for nothing is closed after so long. Usual callers close such
/// a connection themselves after 4 s.
const IDLE: f64 = 8.0;
/// While places are short, one that waits for nothing makes room for others after so long, mute ones
/// first. A usual caller's set-up comes right behind its connect.
const MUTE_SHORT: f64 = 0.25;
/// Set-ups that make no sense taken from one connection, each with its refusal, before it is closed.
const MOST_SENSELESS: u32 = 8;
/// A connection closed here is read to its end for so long, in seconds, with what comes thrown away: closed outright
/// with something unread in it, the system resets it, and a reset can destroy an answer that the peer has not read yet.
const LINGER: f64 = 1.0;
/// Connections of no use looked at to make room for one more.
const LOOKS: usize = 8;
/// Callers that wait to be accepted. Hundreds connect at once; the standard library's 128 are too few.
const BACKLOG: i32 = 1024;

struct Client {
    connection: Connection<TcpStream>,
    /// Watched for writing too.
    writing: bool,
    /// Since when it is connected, and when it last said or was told something.
    since: f64,
    used_at: f64,
    /// What it was told.
    told: Told,
    senseless: u32,
}

/// A connection that is closed here, see [`LINGER`].
struct Closing {
    connection: Connection<TcpStream>,
    until: f64,
}

/// The end of a call that stood.
#[derive(Clone, Copy)]
struct End {
    id: u64,
    cut: bool,
}

/// What a caller was told: the best of it.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Told {
    Nothing,
    /// The result of a test, or a refusal of what made no sense.
    Something,
    /// What became of a call.
    Answer,
    /// That a call stands.
    Stands,
}

/// All callers.
pub struct Clients {
    /// Where it listens, or listened before a drain.
    address: SocketAddr,
    classes: Vec<LinkClass>,
    listener: Option<TcpListener>,
    listener_key: Key,
    /// While the listener is about to close.
    steering: Option<Steering>,
    /// Not accepting for the moment, for want of descriptors.
    paused: bool,
    most: usize,
    /// Bytes that may wait for one caller.
    most_waiting: usize,
    connections: BTreeMap<Key, Client>,
    /// Connections closed here for writing, the oldest first, until the peer has closed them too.
    closing: BTreeMap<Key, Closing>,
    /// For how long a caller is to stay away from a gatekeeper that holds too much; none where callers are not told.
    stay_away: Option<f64>,
    /// Ends of calls that stood, for which there was no connection, and since when.
    owed: VecDeque<(f64, End)>,
    /// Classes of set-ups turned away here, for lack of room, until the figures take them.
    pub turned_away: Vec<usize>,
    /// Called between the last accept and the close of the listener, with its address.
    #[cfg(test)]
    pub before_close: Option<Box<dyn FnMut(SocketAddr)>>,
    /// Called between the next look at a connection and what is written on it.
    #[cfg(test)]
    pub after_look: Option<Box<dyn FnOnce()>>,
}

impl Clients {
    /// Listens. At most `most` connections are held at once, with `memory` bytes for what waits on them.
    pub fn listen(
        address: SocketAddr,
        most: usize,
        memory: usize,
        classes: Vec<LinkClass>,
        watch: &mut Watch,
    ) -> io::Result<Self> {
        let listener = bind(address, BACKLOG)?;
        steering::spread(&listener);
        let address = listener.local_addr()?;
        let listener_key = watch.add(&listener, false)?;
        let (listener, connections) = (Some(listener), BTreeMap::new());
        let (paused, owed) = (false, VecDeque::new());
        let most_waiting = (memory / most).clamp(2 * MOST, 8 * MOST);
        let turned_away = Vec::new();
        Ok(Clients {
            address,
            classes,
            listener,
            listener_key,
            steering: None,
            paused,
            most,
            most_waiting,
            connections,
            closing: BTreeMap::new(),
            stay_away: None,
            owed,
            turned_away,
            #[cfg(test)]
            before_close: None,
            #[cfg(test)]
            after_look: None,
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
            steering::spread(listener);
        }
    }

    /// Takes no further connections; returns whether the listener is closed. What waits in its queue is taken first: closing a
    /// listener resets the connections queued to it, and at an upgrade they were meant for this process. Where there is no
    /// place for those it stays open, and this is to be called again.
    pub fn stop_listening(&mut self, now: f64, watch: &mut Watch, calls: &mut Calls) -> bool {
        self.accept(now, watch, calls);
        if self.paused {
            return false;
        }
        self.close_listener(watch);
        true
    }

    /// Takes what waits in the listener's queue, also with descriptors that servers would have, and closes the listener once
    /// the queue is empty: the program ends, and whoever waited for a place is to hear of it.
    pub fn take_last(&mut self, now: f64, watch: &mut Watch, calls: &mut Calls) {
        self.most = usize::MAX;
        self.stop_listening(now, watch, calls);
    }

    fn close_listener(&mut self, watch: &Watch) {
        let Some(listener) = self.listener.take() else { return };
        #[cfg(test)]
        if let Some(hook) = &mut self.before_close {
            hook(self.address);
        }
        watch.remove(&listener);
        self.paused = false;
        self.steering = None;
    }

    /// Closes connections that are of no use to anyone, and carries on after a pause. Called now and then.
    pub fn beat(&mut self, now: f64, watch: &Watch, calls: &mut Calls) {
        let (keys, heir) = (self.connections.keys().copied().collect::<Vec<Key>>(), self.kept(calls));
        for key in keys {
            let idle = |c: &mut Client, calls: &Calls| {
                let unused = c.unused(now, MUTE, IDLE) && !carries(key, heir, calls);
                unused || c.connection.stalled(now, MUTE)
            };
            if self.connections.get_mut(&key).is_some_and(|c| idle(c, calls)) {
                self.close_if(now, key, idle, watch, calls);
            }
        }
        let late: Vec<Key> =
            self.closing.iter().filter(|(_, c)| now >= c.until).map(|(key, _)| *key).collect();
        late.into_iter().for_each(|key| self.drop_closing(key, watch));
        if let Some(newest) = self.connections.keys().next_back().copied() {
            while let Some((_, end)) = self.owed.pop_front_if(|(since, _)| now - *since >= LATEST) {
                self.say(now, newest, &end.message(), Told::Something, watch);
            }
        }
        if let (true, Some(listener)) = (self.paused, &self.listener) {
            self.paused = false;
            watch.set(self.listener_key, listener, true, false);
        }
    }

    /// Takes the classes of settings read anew, by number.
    pub fn set_classes(&mut self, classes: Vec<LinkClass>) {
        self.classes = classes;
    }

    /// Takes the longest time that callers stay away when told, if they are told.
    pub fn set_stay_away(&mut self, most: Option<f64>) {
        self.stay_away = most.map(|most| most.min(CROWDED_WAIT));
    }

    /// For how long those are to stay away that are turned away here.
    pub fn stay_away(&self) -> f64 {
        self.stay_away.unwrap_or(0.0)
    }

    /// Takes how many connections may be held.
    pub fn set_most(&mut self, most: usize) {
        self.most = most.max(1);
    }

    /// Whether it listens.
    pub fn listening(&self) -> bool {
        self.listener.is_some()
    }

    /// Listens again at its address, after a drain.
    pub fn listen_again(&mut self, watch: &mut Watch) -> io::Result<()> {
        if self.listener.is_none() {
            let listener = bind(self.address, BACKLOG)?;
            steering::spread(&listener);
            self.listener_key = watch.add(&listener, false)?;
            (self.listener, self.paused) = (Some(listener), false);
        }
        Ok(())
    }

    /// While drained, closes the connections that the lifecycle lets go: those that wait for nothing and
    /// have been quiet a while.
    pub fn drain(&mut self, now: f64, life: &Lifecycle, watch: &Watch, calls: &mut Calls) {
        let heir = self.kept(calls);
        let quiet = |(key, c): (&Key, &Client)| {
            if Some(*key) == heir {
                return None;
            }
            let state = lifecycle::Connection {
                since: c.since,
                used_at: c.used_at,
                told: c.told != Told::Nothing,
                open: calls.open_from(*key),
                standing: calls.standing_from(*key),
                writing: c.connection.blocked(),
            };
            life.closes(now, &state).then_some(*key)
        };
        let closing: Vec<Key> = self.connections.iter().filter_map(quiet).collect();
        for key in closing {
            self.close_if(now, key, |c, calls| calls.open_from(key) == 0 && c.used_at < now, watch, calls);
        }
    }

    /// Takes what is ready, if it is a caller's.
    pub fn ready(&mut self, now: f64, ready: Ready, watch: &mut Watch, calls: &mut Calls) {
        if ready.key == self.listener_key {
            return self.accept(now, watch, calls);
        }
        if self.closing.contains_key(&ready.key) {
            return self.see_out(ready.key, watch);
        }
        let Some(client) = self.connections.get_mut(&ready.key) else { return };
        if ready.writable {
            let end = client.connection.flush();
            self.settle(now, ready.key, end, watch, calls);
        }
        if ready.readable {
            self.take(now, ready.key, watch, calls);
        }
    }

    /// Takes what has come on a connection.
    fn take(&mut self, now: f64, key: Key, watch: &Watch, calls: &mut Calls) {
        let Some(client) = self.connections.get_mut(&key) else { return };
        let mut messages = Vec::new();
        let mut end = client.connection.read_judged(&mut messages, &judge);
        for message in messages {
            if let Err(reason) = self.heard(now, key, &message, watch, calls) {
                end = Err(reason);
                break;
            }
        }
        self.settle(now, key, end, watch, calls);
    }

    /// Takes what every caller has sent by now.
    pub fn take_all(&mut self, now: f64, watch: &Watch, calls: &mut Calls) {
        let keys: Vec<Key> = self.connections.keys().copied().collect();
        keys.into_iter().for_each(|key| self.take(now, key, watch, calls));
    }

    /// Closes a connection that nothing seems to come on, if that is so still once it was read a last time. Guards against
    /// a set-up that came since the poll, or long ago while this process had no processor: it would be lost.
    fn close_if(
        &mut self,
        now: f64,
        key: Key,
        idle: impl Fn(&mut Client, &Calls) -> bool,
        watch: &Watch,
        calls: &mut Calls,
    ) {
        self.take(now, key, watch, calls);
        let Some(client) = self.connections.get_mut(&key) else { return };
        if idle(client, calls) {
            let reason = if client.connection.stalled(now, MUTE) { Over::Stalled } else { Over::Idle };
            self.settle(now, key, Err(reason), watch, calls);
        }
    }

    /// Closes every connection, once all that waits on it is written.
    pub fn close_all(&mut self, now: f64, watch: &Watch, calls: &mut Calls) {
        let keys: Vec<Key> = self.connections.keys().copied().collect();
        keys.into_iter().for_each(|key| self.settle(now, key, Err(Over::Idle), watch, calls));
    }

    /// Whether connections that are closed here are not closed by their peers yet.
    pub fn closing(&self) -> bool {
        !self.closing.is_empty()
    }

    /// Writes what is left on a connection that is closed here, then its end, and throws away what comes.
    fn see_out(&mut self, key: Key, watch: &Watch) {
        let Some(closing) = self.closing.get_mut(&key) else { return };
        let before = closing.connection.blocked();
        let written = closing.connection.flush();
        if before && written.is_ok() && !closing.connection.blocked() {
            watch.set(key, closing.connection.stream(), true, false);
            drop(closing.connection.stream().shutdown(Shutdown::Write));
        }
        if written.is_err() || closing.connection.pass_over().is_err() {
            self.drop_closing(key, watch);
        }
    }

    fn drop_closing(&mut self, key: Key, watch: &Watch) {
        if let Some(closing) = self.closing.remove(&key) {
            watch.remove(closing.connection.stream());
        }
    }

    fn accept(&mut self, now: f64, watch: &mut Watch, calls: &mut Calls) {
        loop {
            if self.held() >= self.most {
                self.make_room(now, watch, calls);
            }
            let Some(listener) = &self.listener else { return };
            let accepted = match self.held() < self.most {
                true => listener.accept(),
                false => Err(io::Error::other("as many callers are connected as may be")),
            };
            if let (Ok(_), Some(steering)) = (&accepted, &mut self.steering) {
                steering.accepted(now, listener);
            }
            let error = match accepted.and_then(|(stream, _)| self.admit(now, stream, watch)) {
                Ok(()) => continue,
                Err(error) => error,
            };
            match error.kind() {
                ErrorKind::WouldBlock => return,
                // The caller went away again.
                ErrorKind::Interrupted | ErrorKind::ConnectionAborted | ErrorKind::ConnectionReset => {}
                // Guards against running out of descriptors: level-triggered, the listener would be
                // ready again at once, for ever. Those who wait are taken at the next beat.
                _ => {
                    log::debug!(error:%; "accept-paused");
                    if let Some(listener) = &self.listener {
                        watch.set(self.listener_key, listener, false, false);
                    }
                    self.paused = true;
                    return;
                }
            }
        }
    }

    /// Descriptors that callers hold.
    fn held(&self) -> usize {
        self.connections.len() + self.closing.len()
    }

    /// Drops the connection that was closed here first, one with nothing to write if there is one; where there is none, closes the one that has been of no use for longest, those told nothing first. Guards against callers locked out by others that connect by
    /// hundreds and say nothing, or ask once and keep their connection for good.
    fn make_room(&mut self, now: f64, watch: &Watch, calls: &mut Calls) {
        for _ in 0..LOOKS {
            let order = |(key, c): &(&Key, &Closing)| (c.connection.blocked(), **key);
            if let Some(first) = self.closing.iter().min_by_key(order).map(|(key, _)| *key) {
                return self.drop_closing(first, watch);
            }
            let heir = self.kept(calls);
            let idle = |key: Key, c: &Client, calls: &Calls| {
                // An answer that came in this turn is not written yet.
                let needed = calls.open_from(key) > 0 || calls.owes_reply(key) || Some(key) == heir;
                !needed && c.unused(now, MUTE_SHORT, MUTE_SHORT)
            };
            let unused = self.connections.iter().filter(|(key, client)| idle(**key, client, calls));
            let order =
                |key: &Key, c: &Client| (calls.standing_from(*key) > 0, c.told != Told::Nothing, c.used_at);
            let oldest = unused.min_by(|a, b| {
                let (a, b) = (order(a.0, a.1), order(b.0, b.1));
                (a.0, a.1).cmp(&(b.0, b.1)).then(a.2.total_cmp(&b.2))
            });
            let Some(key) = oldest.map(|(key, _)| *key) else { return };
            self.close_if(now, key, |c, calls| idle(key, c, calls), watch, calls);
            if self.held() < self.most {
                return;
            }
        }
    }

    fn admit(&mut self, now: f64, stream: TcpStream, watch: &mut Watch) -> io::Result<()> {
        stream.set_nonblocking(true)?;
        stream.set_nodelay(true)?;
        let key = watch.add(&stream, false)?;
        let connection = Connection::new(stream, self.most_waiting);
        let client = Client {
            connection,
            writing: false,
            since: now,
            used_at: now,
            told: Told::Nothing,
            senseless: 0,
        };
        self.connections.insert(key, client);
        Ok(())
    }

    /// Takes a message; an error ends the connection.
    fn heard(
        &mut self,
        now: f64,
        key: Key,
        message: &Message,
        watch: &Watch,
        calls: &mut Calls,
    ) -> Result<(), Over> {
        let Some(client) = self.connections.get_mut(&key) else { return Ok(()) };
        match message.kind {
            kind::SET_UP => {
                client.used_at = now;
                let refusal = match request(message, &self.classes) {
                    Err(cause) => Message::new(kind::RELEASE, message.call).caused(cause),
                    Ok(request) => match calls.offer(now, key, request) {
                        Ok(()) => return Ok(()),
                        Err(NotTaken::Crowded) => {
                            self.turned_away.push(request_class(message, &self.classes));
                            let refusal = encode(message.call, Reply::Refused(self.stay_away.unwrap_or(0.0)));
                            self.say(now, key, &refusal, Told::Answer, watch);
                            return Ok(());
                        }
                        Err(NotTaken::Known) => {
                            Message::new(kind::RELEASE, message.call).caused(cause::INVALID_PARAMETER)
                        }
                        Err(NotTaken::Repeated) => return Err(Over::Improper("a set-up came twice")),
                    },
                };
                log::debug!(call:% = format_args!("{:016x}", message.call), cause = refusal.cause(); "set-up-not-taken");
                client.senseless += 1;
                let senseless = client.senseless;
                self.say(now, key, &refusal, Told::Something, watch);
                if senseless >= MOST_SENSELESS {
                    return Err(Over::Improper("nothing but set-ups that make no sense"));
                }
            }
            kind::RELEASE => {
                client.used_at = now;
                calls.caller_release(now, message.call);
            }
            kind::TEST => {
                client.used_at = now;
                let passed = Message::new(kind::TEST_RESULT, message.call).caused(1);
                self.say(now, key, &passed, Told::Something, watch);
            }
            _ => {}
        }
        Ok(())
    }

    /// Tells a caller what became of a call. Returns whether it could be told: not where its connection is gone, but for the
    /// end of a call that stood, which is told on another one.
    pub fn reply(
        &mut self,
        now: f64,
        origin: Origin,
        id: u64,
        reply: Reply,
        watch: &Watch,
        calls: &mut Calls,
    ) -> bool {
        let stood = calls.stands(id);
        if matches!(reply, Reply::Stands(_) | Reply::Over { .. }) {
            self.look(now, origin, watch, calls);
        }
        // Cancelled meanwhile, and released at its server: no answer is owed.
        if stood && !calls.stands(id) && self.connections.contains_key(&origin) {
            return true;
        }
        let told = if matches!(reply, Reply::Stands(_)) { Told::Stands } else { Told::Answer };
        if !self.connections.contains_key(&origin) {
            // Before a call stands, a caller whose connection is gone has given it up; and what stood belongs to no connection.
            let Reply::Over { cut } = reply else { return false };
            self.tell_end(now, End { id, cut }, watch, calls);
            return true;
        }
        let said = self.say(now, origin, &encode(id, reply), told, watch);
        // Whoever gets answers reads them: a connection for what was owed.
        for (_, end) in std::mem::take(&mut self.owed) {
            self.say(now, origin, &end.message(), told, watch);
        }
        said
    }

    /// Tells the end of a call whose caller's own connection is gone. What is said to somebody who never had a call is lost:
    /// the end goes to one that was told of a call that stands, the newest of them as the least likely to be closing.
    ///
    /// An end that was written to the caller's own connection is not told again, also where that is reset. A reset tells that
    /// something was unread there, not what: where the answer was, the caller never had the call, and whoever hears of its
    /// end has an answer that no server made.
    fn tell_end(&mut self, now: f64, end: End, watch: &Watch, calls: &mut Calls) {
        while let Some(key) = self.heir().filter(|key| !self.look(now, *key, watch, calls)) {
            log::debug!(caller = key; "caller-left");
        }
        match self.heir() {
            Some(key) => drop(self.say(now, key, &end.message(), Told::Answer, watch)),
            None if self.owed.len() < MOST_OWED => self.owed.push_back((now, end)),
            None => log::debug!(call:% = format_args!("{:016x}", end.id); "end-dropped"),
        }
    }

    /// Takes what a caller has sent since its connection was read; returns whether it is still there. Guards against something
    /// written to a connection that was closed meanwhile: the system takes it, and nobody reads it.
    fn look(&mut self, now: f64, key: Key, watch: &Watch, calls: &mut Calls) -> bool {
        let Some(client) = self.connections.get(&key) else { return false };
        let nothing_came = matches!(
            client.connection.stream().peek(&mut [0]),
            Err(error) if error.kind() == ErrorKind::WouldBlock
        );
        if !nothing_came {
            self.take(now, key, watch, calls);
        }
        #[cfg(test)]
        if let Some(hook) = self.after_look.take() {
            hook();
        }
        self.connections.contains_key(&key)
    }

    /// Whether callers are there to whom the end of any call can be told.
    pub fn has_heir(&self) -> bool {
        self.heir().is_some()
    }

    /// The ends for which no caller is there, and whether each was cut; they are somebody else's to tell then.
    pub fn hand_over(&mut self) -> impl Iterator<Item = (u64, bool)> + '_ {
        self.owed.drain(..).map(|(_, end)| (end.id, end.cut))
    }

    /// The connection that stays for the ends of calls whose caller's own connection is gone, and for those that are owed.
    /// Guards against ends that nobody is there to hear of any more, as this side has closed the last connection.
    fn kept(&self, calls: &Calls) -> Option<Key> {
        let newest = || self.connections.keys().next_back().copied();
        match calls.stands_elsewhere(|origin| self.connections.contains_key(&origin)) {
            _ if !self.owed.is_empty() => newest(),
            true => self.heir().or_else(newest),
            false => None,
        }
    }

    /// The connection on which the end of a call is told whose caller's own connection is gone: one that was
    /// told of a call that stands, the newest of them as the least likely to be closing.
    fn heir(&self) -> Option<Key> {
        let known = self.connections.iter().filter(|(_, c)| c.told >= Told::Answer);
        known.max_by_key(|(&key, c)| (c.told, key)).map(|(key, _)| *key)
    }

    /// Says something; returns whether it is written or waits to be.
    fn say(&mut self, now: f64, key: Key, message: &Message, told: Told, watch: &Watch) -> bool {
        let Some(client) = self.connections.get_mut(&key) else { return false };
        (client.used_at, client.told) = (now, client.told.max(told));
        let said = client.connection.send(message);
        match &said {
            Ok(_) => {}
            // Nobody reads there: shut, it is found ready with its end, in its turn.
            Err(Over::Stuck) => drop(client.connection.stream().shutdown(Shutdown::Both)),
            // So is a broken one.
            Err(error) => log::debug!(caller = key, error:%; "caller-broken"),
        }
        client.watch(key, watch);
        said.is_ok()
    }

    fn settle(&mut self, now: f64, key: Key, end: Result<(), Over>, watch: &Watch, calls: &mut Calls) {
        let Some(client) = self.connections.get_mut(&key) else { return };
        let Err(error) = end else { return client.watch(key, watch) };
        log::debug!(caller = key, reason:% = error; "caller-closed");
        let Some(client) = self.connections.remove(&key) else { return };
        match error {
            Over::Closed | Over::Broken(_) => watch.remove(client.connection.stream()),
            _ => self.close_in_order(now, key, client, watch, calls),
        }
        calls.origin_lost(now, key);
    }

    /// Closes a connection for what its caller sent, or as of no use. It is still owed the answers to what it sent before.
    fn close_in_order(&mut self, now: f64, key: Key, mut client: Client, watch: &Watch, calls: &Calls) {
        let answered = |id: &u64| client.connection.send(&encode(*id, Reply::Failed)).is_ok();
        let _ = calls.ids_from(key).iter().all(answered);
        if !client.connection.blocked() {
            drop(client.connection.stream().shutdown(Shutdown::Write));
        }
        client.watch(key, watch);
        self.closing.insert(key, Closing { connection: client.connection, until: now + LINGER });
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

/// Whether a connection has to stay: set-ups are open on it, calls stand that came on it, as their callers wait for the end
/// there, or it is the one that stays for others.
fn carries(key: Key, heir: Option<Key>, calls: &Calls) -> bool {
    calls.open_from(key) > 0 || calls.standing_from(key) > 0 || Some(key) == heir
}

impl End {
    fn message(self) -> Message {
        encode(self.id, Reply::Over { cut: self.cut })
    }
}

impl Client {
    /// Whether it was of no use for so long: one that was told nothing, counted from its connect, and any
    /// other, counted from the last word.
    fn unused(&self, now: f64, mute: f64, idle: f64) -> bool {
        match self.told {
            Told::Nothing => now - self.since >= mute,
            _ => now - self.used_at >= idle,
        }
    }

    fn watch(&mut self, key: Key, watch: &Watch) {
        let writing = self.connection.blocked();
        if writing != self.writing {
            self.writing = writing;
            watch.set(key, self.connection.stream(), true, writing);
        }
    }
}
