//! The session servers' side: connections to each listed server, and what is said on them.
//!
//! A connection is kept open to every listed server, for the states that arrive unasked; one that ends is opened again at
//! once where something waits for it, and with exponential backoff where nothing does: a server that closes idle connections
//! is not to be met with a new one each time by every gatekeeper. A server that says nothing for a while is tried on a second
//! connection, beside the first, which may yet carry answers: a machine that vanished leaves its connections open and silent.

mod incoming;
mod releases;

use std::collections::{BTreeMap, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, TcpStream};

use hollypaddle_policy::settings::Telemetry;
use hollypaddle_policy::{Event, ListKind, PoolEntry, PoolId};
use socket2::{Domain, Socket, Type};

use self::incoming::judge;
use self::releases::{Release, Releases};
use super::config::Link;
use super::delivery::Pending;
use super::poller::{Key, Ready, Watch};
use hollypaddle_core::calls::{Calls, Content, Order};
use hollypaddle_platform::boundary::Candidate;
use hollypaddle_platform::connection::{Connection, Over};
use hollypaddle_platform::list::{Listed, Readiness, Snapshot};
use hollypaddle_platform::message::{code, kind, Message};
use hollypaddle_service::descriptors::Descriptors;

/// A set-up that waits longer than a connection may take to come up, and this, waits in vain, in seconds.
const SLACK: f64 = 0.1;
/// Time between tries to connect, in seconds.
const RETRY: f64 = 0.25;
/// Backoff of connections that nothing waits for, in seconds: the first pause, which doubles with each connection that ended
/// early or did not come up, and the longest. A server says again on the next connection what ended with no connection open,
/// and callers must hear of an end within 8 s.
const PAUSE_FIRST: f64 = 0.5;
const PAUSE_MOST: f64 = 5.0;
/// A server that said nothing for so long is tried on a new connection, in seconds: where servers tell their state unasked,
/// about once a second while calls come and go, and where they don't, so that one that vanished is still found in time.
const QUIET: f64 = 1.5;
const QUIET_STATELESS: f64 = 3.0;
/// A connection with a set-up out for so long and no word since is tried beside another one; each such
/// try that brings no word doubles it. Guards against a connection that has fallen silent, or a machine
/// that has, while callers wait. Where servers tell no state unasked, one that is only busy says nothing either: there
/// it takes the shortest goal time, after which the wait does harm.
const UNHEARD: f64 = 0.25;
/// A processor serves first come, first served. A connection is dead if it brought no word since a set-up
/// went out on it, and one that went out so much later elsewhere was answered.
const OVERTAKEN: f64 = 0.1;
/// A server is held to have vanished, and its calls to be cut, after so long without a word and
/// without a connection: their callers must hear of it within 8 s of the end.
const VANISHED: f64 = 6.5;
/// A message begun and not ended for so long makes its connection useless, in seconds: messages are
/// short, and what follows on that connection would be taken for the rest of this one.
const STALLED: f64 = 0.25;
/// A message of which it can't be told yet whether it was cut short is held back for so long, in seconds.
const HOLD: f64 = 0.004;
/// Connections that broke as soon as they were up after which the next one waits its time.
const QUICK_ENDS: u32 = 3;
/// Most bytes that wait to be written to one server.
const MOST_WAITING: usize = 128 * 1024;

/// What every step here works on.
pub struct Turn<'a> {
    /// The time, in Unix seconds.
    pub now: f64,
    /// The poller.
    pub watch: &'a mut Watch,
    /// The calls.
    pub calls: &'a mut Calls,
}

struct Channel {
    connection: Connection<TcpStream>,
    up: bool,
    since: f64,
    heard_at: f64,
    /// Watched for writing too.
    writing: bool,
    /// Since when a message is held back, see [`HOLD`].
    held_since: Option<f64>,
    /// Set-ups out on this connection.
    open: BTreeMap<u64, Out>,
    /// Give-ups being written: the position at which each ends, and its call.
    leaving: VecDeque<(u64, u64)>,
    /// Releases and give-ups sent on this connection that were not confirmed.
    releases: Pending<Release>,
}

/// A set-up that is out on a connection: when it was sent, and where it ends in the stream.
#[derive(Clone, Copy)]
struct Out {
    sent: f64,
    end: u64,
}

/// A set-up that waits for a connection, since then.
struct SetUp {
    id: u64,
    since: f64,
    class: usize,
    until: f64,
    content: std::rc::Rc<Content>,
}

struct Server {
    name: String,
    listed: Listed,
    channels: BTreeMap<Key, Channel>,
    waiting: VecDeque<SetUp>,
    /// Releases to be sent on a connection to come.
    releases: Releases,
    /// When it last said anything or took a connection, and when one may next be tried.
    heard_at: f64,
    retry_at: f64,
    /// When one may next be tried that nothing waits for, and the pause after the next that ends early.
    unasked_at: f64,
    pause: f64,
    /// Connections tried so far, and the gatekeeper's seed: together they spread the pauses.
    tried: u64,
    seed: u64,
    /// A connection was tried in vain since then.
    unreachable: bool,
    /// How many connections in a row broke as soon as they were up.
    quick_ends: u32,
    /// How long its connections may be silent while a set-up is out, see [`UNHEARD`].
    patience: f64,
    /// When it last said anything, and since when something is without an answer that should have one.
    word_at: f64,
    silent_at: Option<f64>,
    /// Messages that were cut short, so far.
    cut_short: u64,
}

impl Link {
    /// See [`QUIET`].
    fn quiet(&self) -> f64 {
        if self.states {
            QUIET
        } else {
            QUIET_STATELESS
        }
    }

    /// See [`UNHEARD`].
    fn unheard(&self) -> f64 {
        match self.states {
            true => UNHEARD,
            false => self.goal.max(UNHEARD),
        }
    }
}

/// What is known of a server, to be told to other gatekeepers.
pub struct Known<'a> {
    /// Its id.
    pub name: &'a str,
    /// Its number here.
    pub pool: PoolId,
    /// Its line of the list.
    pub listed: &'a Listed,
    /// When it last said anything.
    pub word_at: f64,
    /// Since when something is without an answer that should have one.
    pub silent_at: Option<f64>,
}

/// All listed servers.
pub struct Servers {
    link: Link,
    telemetry: Telemetry,
    /// The number that stands for an id while it is listed, and the last number given. None is given
    /// twice: nothing that still comes in for one that has gone may be taken for its successor's.
    pools: BTreeMap<String, PoolId>,
    last_pool: u64,
    servers: BTreeMap<PoolId, Server>,
    descriptors: Descriptors,
    /// Differs from gatekeeper to gatekeeper, so that they do not come back to a server in step.
    seed: u64,
}

impl Servers {
    /// No servers yet.
    pub fn new(link: Link, telemetry: Telemetry, descriptors: Descriptors, seed: u64) -> Self {
        let (pools, servers) = (BTreeMap::new(), BTreeMap::new());
        Servers { link, telemetry, pools, last_pool: 0, servers, descriptors, seed }
    }

    /// How many connections callers may hold beside those to the servers listed now.
    pub fn left_to_callers(&self) -> usize {
        self.descriptors.divided(self.servers.len()).callers
    }

    /// Takes the classes of settings read anew, by number, for the names in set-ups.
    pub fn set_classes(&mut self, classes: Vec<super::config::LinkClass>) {
        self.link.classes = classes;
    }

    // ---- The list

    /// Takes a whole list. A server missing from it is gone.
    pub fn list(&mut self, list: &Snapshot, kind: ListKind, turn: &mut Turn) {
        let mut entries = Vec::new();
        let unheard = self.link.unheard();
        for (name, listed) in &list.servers {
            let pool = *self.pools.entry(name.clone()).or_insert_with(|| {
                self.last_pool += 1;
                PoolId(self.last_pool)
            });
            entries.push(entry(pool, listed));
            let server = self.servers.entry(pool).or_insert_with(|| {
                log::info!(server = name.as_str(), state:? = listed.readiness, address:% = listed.address; "server-listed");
                Server::new(name.clone(), listed.clone(), turn.now, unheard, self.seed)
            });
            server.relisted(pool, listed.clone(), turn);
        }
        let gone: Vec<PoolId> =
            self.servers.keys().filter(|p| !entries.iter().any(|e| e.pool == **p)).copied().collect();
        for pool in gone {
            if let Some(mut server) = self.servers.remove(&pool) {
                self.pools.remove(&server.name);
                server.drop_channels(pool, |_| true, turn);
                server.fail_waiting(pool, turn);
                let cut = turn.calls.cut(pool, f64::INFINITY, false);
                log::info!(server = server.name.as_str(), cut; "server-gone");
            }
        }
        self.link.connections = self.descriptors.divided(self.servers.len()).each_server;
        turn.calls.events.push(Event::List { kind, entries });
    }

    /// The list in force, as the decision module takes it.
    pub fn entries(&self) -> Vec<PoolEntry> {
        self.servers.iter().map(|(pool, server)| entry(*pool, &server.listed)).collect()
    }

    /// Servers in the list, and those of them that are avoided now: drained, or not reached since a
    /// connection was tried in vain.
    pub fn counts(&self) -> (u64, u64) {
        let (mut discovered, mut ejected) = (0, 0);
        for server in self.servers.values() {
            discovered += 1;
            ejected += u64::from(server.listed.readiness == Readiness::Draining || server.unreachable);
        }
        (discovered, ejected)
    }

    /// What is known of each server.
    pub fn known(&self) -> impl Iterator<Item = Known<'_>> {
        self.servers.iter().map(|(pool, s)| Known {
            name: &s.name,
            pool: *pool,
            listed: &s.listed,
            word_at: s.word_at,
            silent_at: s.silent_at,
        })
    }

    /// What is to be told of each server: its name, state, district and connections that are up.
    pub fn status(&self) -> impl Iterator<Item = (&str, Readiness, Option<u16>, usize)> {
        self.servers.values().map(|s| {
            let up = s.channels.values().filter(|c| c.up).count();
            (s.name.as_str(), s.listed.readiness, s.listed.district, up)
        })
    }

    // ---- What the calls ask for

    /// Carries an order out.
    pub fn order(&mut self, pool: PoolId, id: u64, order: Order, turn: &mut Turn) {
        let server = self.servers.get_mut(&pool);
        match (order, server) {
            (Order::SetUp { class, until, content }, Some(server))
                if server.listed.readiness == Readiness::Ready =>
            {
                // The release of an earlier attempt would cut this one.
                server.releases.forget_unsent(id);
                server.waiting.push_back(SetUp { id, since: turn.now, class, until, content });
            }
            (Order::SetUp { .. }, _) => turn.calls.never_ran(pool, id),
            (Order::GiveUp, Some(server)) => server.give_up(pool, id, &self.link, turn),
            (Order::GiveUp, None) => turn.calls.gave_up(pool, id),
            (Order::Release, Some(server)) => server.release(turn.now, id, turn.watch),
            (Order::Release, None) => {}
        }
    }

    /// Sends what waits, where a connection takes it, and asks for one where none does. Only once all that was heard in
    /// this turn is taken in: of two things that came together, a set-up's way to its server and the word that its caller has
    /// left, the word counts first.
    pub fn send_waiting(&mut self, turn: &mut Turn) {
        for (&pool, server) in self.servers.iter_mut().filter(|(_, s)| !s.waiting.is_empty()) {
            server.send_waiting(pool, &self.link, turn);
            if !server.waiting.is_empty() && server.channels.values().all(|c| c.up) {
                server.connect(pool, &self.link, turn);
            }
        }
    }

    /// Set-ups of which a part is written.
    #[cfg(test)]
    pub fn half_written(&self) -> usize {
        let channels = self.servers.values().flat_map(|s| s.channels.values());
        channels.map(|c| c.open.values().filter(|o| o.end > c.connection.written()).count()).sum()
    }

    /// Releases a call at every server, as it is not known where it stands.
    pub fn release_anywhere(&mut self, now: f64, id: u64, watch: &Watch) {
        for server in self.servers.values_mut() {
            server.release(now, id, watch);
        }
    }

    // ---- What happens on the sockets

    /// Takes what is ready, if it is a server's.
    pub fn ready(&mut self, ready: Ready, turn: &mut Turn) {
        let found = self.servers.iter_mut().find(|(_, s)| s.channels.contains_key(&ready.key));
        let Some((&pool, server)) = found else { return };
        let Some(channel) = server.channels.get_mut(&ready.key) else { return };
        if !channel.up {
            return server.connected(pool, ready.key, &self.link, turn);
        }
        let mut messages = Vec::new();
        let mut end = if ready.writable { channel.connection.flush() } else { Ok(()) };
        if end.is_ok() && ready.readable {
            let calls = &*turn.calls;
            end = channel.connection.read_judged(&mut messages, &|candidate| judge(candidate, pool, calls));
        }
        server.take(pool, ready.key, (messages, end), (&self.telemetry, &self.link), turn);
    }

    /// Takes the messages that were held back for long enough.
    pub fn release_held(&mut self, turn: &mut Turn) {
        let due = |c: &Channel| c.held_since.is_some_and(|since| turn.now - since >= HOLD);
        let due: Vec<(PoolId, Key)> = (self.servers.iter())
            .flat_map(|(pool, s)| s.channels.iter().map(move |(key, c)| (*pool, *key, c)))
            .filter_map(|(pool, key, c)| due(c).then_some((pool, key)))
            .collect();
        for (pool, key) in due {
            let Some(server) = self.servers.get_mut(&pool) else { continue };
            let Some(channel) = server.channels.get_mut(&key) else { continue };
            let (mut messages, calls) = (Vec::new(), &*turn.calls);
            let judge = |candidate: Candidate| judge(candidate, pool, calls);
            let end = channel.connection.release_held(&mut messages, &judge);
            server.take(pool, key, (messages, end), (&self.telemetry, &self.link), turn);
        }
    }

    /// When the next message that is held back is due.
    pub fn release_due(&self) -> Option<f64> {
        let held = self.servers.values().flat_map(|s| s.channels.values()).filter_map(|c| c.held_since);
        held.min_by(f64::total_cmp).map(|since| since + HOLD)
    }

    /// Looks after connections. Called now and then.
    pub fn beat(&mut self, turn: &mut Turn) {
        for (&pool, server) in &mut self.servers {
            server.beat(pool, &self.link, turn);
        }
    }
}

impl Server {
    fn new(name: String, listed: Listed, now: f64, patience: f64, seed: u64) -> Self {
        let (channels, waiting) = (BTreeMap::new(), VecDeque::new());
        let (unreachable, quick_ends) = (false, 0);
        let (heard_at, retry_at) = (now, now);
        Server {
            name,
            listed,
            channels,
            waiting,
            releases: Releases::default(),
            heard_at,
            retry_at,
            unasked_at: now,
            pause: 0.0,
            tried: 0,
            seed,
            unreachable,
            quick_ends,
            patience,
            word_at: f64::NEG_INFINITY,
            silent_at: None,
            cut_short: 0,
        }
    }

    fn relisted(&mut self, pool: PoolId, listed: Listed, turn: &mut Turn) {
        let old = std::mem::replace(&mut self.listed, listed);
        let (started, moved) = (self.listed.started, self.listed.address != old.address);
        if started > old.started || moved {
            // Another process: what stood at the old one was cut, though it may never have said so, and
            // connections to it may hang open if it vanished. Newer ones reached the new process.
            let before = if moved { f64::INFINITY } else { started };
            let cut = turn.calls.cut(pool, before, false);
            log::info!(server = self.name.as_str(), cut; "server-restarted");
            let stale: Vec<Key> =
                self.channels.iter().filter(|(_, c)| c.since < before).map(|(key, _)| *key).collect();
            self.drop_channels(pool, |key| stale.contains(&key), turn);
            self.releases.forget_unconfirmed(before);
            (self.retry_at, self.unasked_at, self.pause) = (turn.now, turn.now, 0.0);
        }
        if self.listed.readiness != old.readiness {
            log::info!(server = self.name.as_str(), state:? = self.listed.readiness; "server-state");
        }
        if self.listed.readiness != Readiness::Ready {
            // Guards against a set-up that was decided before the drain was told and leaves after it.
            self.fail_waiting(pool, turn);
        }
    }

    // ---- Connections

    fn connect(&mut self, pool: PoolId, link: &Link, turn: &mut Turn) {
        if turn.now < self.retry_at {
            return;
        }
        self.retry_at = turn.now + RETRY;
        self.tried += 1;
        // Makes room by closing what was silent for longest; set-ups open on a connection keep it until
        // they are given up.
        if self.channels.len() >= link.connections {
            let unused = self.channels.iter().filter(|(_, c)| c.open.is_empty());
            let oldest = unused.min_by(|a, b| a.1.heard_at.total_cmp(&b.1.heard_at)).map(|(key, _)| *key);
            match oldest {
                Some(oldest) => self.drop_channels(pool, |key| key == oldest, turn),
                None => return,
            }
        }
        match dial(self.listed.address).and_then(|stream| Ok((turn.watch.add(&stream, true)?, stream))) {
            Ok((key, stream)) => {
                let channel = Channel {
                    connection: Connection::new(stream, MOST_WAITING),
                    up: false,
                    since: turn.now,
                    heard_at: turn.now,
                    writing: true,
                    held_since: None,
                    open: BTreeMap::new(),
                    leaving: VecDeque::new(),
                    releases: Pending::default(),
                };
                self.channels.insert(key, channel);
            }
            Err(error) => self.connect_failed(pool, &error, turn),
        }
    }

    /// A connection is over, or of no more use: what is open on it ends, and set-ups go elsewhere.
    fn broken(&mut self, pool: PoolId, key: Key, reason: &Over, link: &Link, turn: &mut Turn) {
        log::debug!(server = self.name.as_str(), connection = key, reason:%; "connection-closed");
        let lived = self.channels.get(&key).map_or(0.0, |c| turn.now - c.since);
        self.drop_channels(pool, |k| k == key, turn);
        self.send_kept_releases(turn);
        self.again(lived, pool, link, turn);
    }

    /// Connects again at once, unless it keeps closing new ones, or closes idle ones that nothing waits for: a connect that
    /// is refused tells that the process died with its calls. One that is on its way may have set out to a machine that was
    /// not there and would be noticed late; this end tells that the machine is back.
    fn again(&mut self, lived: f64, pool: PoolId, link: &Link, turn: &mut Turn) {
        self.quick_ends = if lived >= RETRY { 0 } else { self.quick_ends.saturating_add(1) };
        if self.quick_ends <= QUICK_ENDS {
            self.retry_at = turn.now;
        }
        let asked = !self.waiting.is_empty() || turn.calls.any_at(pool);
        if !asked && !(1..=QUICK_ENDS).contains(&self.quick_ends) {
            self.back_off(lived, turn.now);
        }
        if asked || turn.now >= self.unasked_at {
            self.connect(pool, link, turn);
        }
    }

    /// A connection ended after so long, or did not come up: when the next may be tried that nothing waits for. Where they
    /// last, at once.
    fn back_off(&mut self, lived: f64, now: f64) {
        if lived >= PAUSE_MOST {
            self.pause = 0.0;
        }
        let mut hasher = DefaultHasher::new();
        (self.seed, &self.name, self.tried).hash(&mut hasher);
        let spread = 0.5 + 0.5 * (hasher.finish() >> 11) as f64 / (1u64 << 53) as f64;
        self.unasked_at = now + self.pause * spread;
        self.pause = (2.0 * self.pause).clamp(PAUSE_FIRST, PAUSE_MOST);
    }

    fn connected(&mut self, pool: PoolId, key: Key, link: &Link, turn: &mut Turn) {
        let Some(channel) = self.channels.get_mut(&key) else { return };
        let stream = channel.connection.stream();
        let result = match stream.take_error() {
            Ok(None) => stream.peer_addr().map(drop),
            Ok(Some(error)) | Err(error) => Err(error),
        };
        match result {
            Err(error) if error.kind() == ErrorKind::NotConnected => {}
            // Reset as it came up: there is somebody, and what waits has not run. Guards against a
            // healthy server taken for dead, and for a cold one as it answers again.
            Err(error) if error.kind() == ErrorKind::ConnectionReset && self.quick_ends < QUICK_ENDS => {
                self.broken(pool, key, &Over::Broken(error), link, turn);
            }
            Err(error) => {
                self.drop_channels(pool, |k| k == key, turn);
                self.connect_failed(pool, &error, turn);
            }
            Ok(()) => {
                (channel.up, channel.since, channel.heard_at) = (true, turn.now, turn.now);
                (self.heard_at, self.unreachable) = (turn.now, false);
                log::debug!(server = self.name.as_str(), connection = key; "connection-up");
                self.send_kept_releases(turn);
                if let Some(channel) = self.channels.get_mut(&key) {
                    channel.watch(key, turn.watch);
                }
            }
        }
    }

    /// No connection came up. The set-ups that waited for it never ran. Refused, with no other connection
    /// left, the process is dead and so is what stood there; with one, the server may only hold as many
    /// connections as it accepts.
    fn connect_failed(&mut self, pool: PoolId, error: &io::Error, turn: &mut Turn) {
        log::debug!(server = self.name.as_str(), error:%; "connection-failed");
        self.back_off(0.0, turn.now);
        self.fail_waiting(pool, turn);
        // Other errors, such as a want of descriptors, are ours and tell nothing of the server.
        self.unreachable |= matches!(
            error.kind(),
            ErrorKind::TimedOut | ErrorKind::HostUnreachable | ErrorKind::NetworkUnreachable
        );
        if self.unreachable || error.kind() == ErrorKind::ConnectionRefused {
            self.silent_at.get_or_insert(turn.now);
        }
        if error.kind() == ErrorKind::ConnectionRefused && !self.channels.values().any(|c| c.up) {
            self.releases.forget_unconfirmed(f64::INFINITY);
            let cut = turn.calls.cut(pool, f64::INFINITY, false);
            if cut > 0 {
                log::info!(server = self.name.as_str(), cut; "server-refuses-connections");
            }
        }
    }

    fn fail_waiting(&mut self, pool: PoolId, turn: &mut Turn) {
        for set_up in std::mem::take(&mut self.waiting) {
            turn.calls.never_ran(pool, set_up.id);
        }
    }

    fn drop_channels(&mut self, pool: PoolId, which: impl Fn(Key) -> bool, turn: &mut Turn) {
        let keys: Vec<Key> = self.channels.keys().copied().filter(|k| which(*k)).collect();
        for key in keys {
            let Some(mut channel) = self.channels.remove(&key) else { continue };
            turn.watch.remove(channel.connection.stream());
            self.releases.keep_unconfirmed(channel.releases.take_unconfirmed(turn.now));
            // Closing it gives up whatever was open on it, but an answer may have been lost with it: a
            // call that nobody waits for must not stand on.
            for id in channel.open.into_keys() {
                turn.calls.reset(pool, id);
                self.release(turn.now, id, turn.watch);
            }
            for (_, id) in channel.leaving {
                turn.calls.gave_up(pool, id);
            }
        }
    }

    fn beat(&mut self, pool: PoolId, link: &Link, turn: &mut Turn) {
        let now = turn.now;
        let stalled = |c: &mut Channel| c.up && c.connection.stalled(now, STALLED);
        let useless: Vec<Key> =
            self.channels.iter_mut().filter_map(|(key, c)| stalled(c).then_some(*key)).collect();
        for key in useless {
            self.broken(pool, key, &Over::Stalled, link, turn);
        }
        let late = |c: &Channel| !c.up && now - c.since >= link.connect_timeout;
        let late: BTreeMap<Key, f64> =
            self.channels.iter().filter(|(_, c)| late(c)).map(|(key, c)| (*key, c.since)).collect();
        self.drop_channels(pool, |key| late.contains_key(&key), turn);
        // Guards against one that set out before the server's last sign of life: to a machine that was
        // away and is back it comes to nothing, and tells nothing of now.
        if late.values().any(|since| *since >= self.heard_at) {
            self.connect_failed(pool, &ErrorKind::TimedOut.into(), turn);
        }
        let quiet = now - self.heard_at;
        let connecting = self.channels.values().any(|c| !c.up);
        let most = link.quiet();
        let idle = self.channels.values().all(|c| now - c.since > most && now - c.heard_at > most);
        let unheard = !connecting && self.unheard(now);
        if unheard {
            self.patience *= 2.0;
            let out = self.channels.values().flat_map(|c| c.open.values());
            let sent = out.map(|out| out.sent).fold(now, f64::min);
            self.silent_at.get_or_insert(sent);
        }
        let due = self.channels.is_empty() && now >= self.unasked_at;
        if !connecting && (unheard || due || idle && turn.calls.any_at(pool)) {
            self.connect(pool, link, turn);
        }
        // Guards against set-ups that wait for a connection which is never opened, or that none takes: they go elsewhere in
        // the time in which a connection has to come up, or are refused, not at their deadlines.
        let patience = link.connect_timeout + SLACK;
        while let Some(late) = self.waiting.pop_front_if(|s| now - s.since >= patience) {
            turn.calls.never_ran(pool, late.id);
        }
        if self.unreachable && quiet >= VANISHED {
            let cut = turn.calls.cut(pool, now, true);
            if cut > 0 {
                log::info!(server = self.name.as_str(), silent_s = quiet, cut; "server-vanished");
            }
        }
        self.send_kept_releases(turn);
    }

    /// Whether the connection for new set-ups has been silent for too long while one is out on it.
    fn unheard(&mut self, now: f64) -> bool {
        let patience = self.patience;
        let late = |c: &Channel| {
            let out = c.open.values().any(|out| now - out.sent >= patience);
            out && now - c.heard_at >= patience
        };
        now >= self.retry_at && best(&mut self.channels).is_some_and(|(_, c)| late(c))
    }

    /// An answer came to a set-up sent at that time. Connections that were silent meanwhile are dead: what
    /// is open on them ends, and what the server said on them comes again on the next to be opened.
    fn overtake(&mut self, pool: PoolId, sent: f64, link: &Link, turn: &mut Turn) {
        let dead = |c: &Channel| c.open.values().any(|o| o.sent + OVERTAKEN < sent && c.heard_at <= o.sent);
        let dead: Vec<Key> = self.channels.iter().filter(|(_, c)| dead(c)).map(|(key, _)| *key).collect();
        for key in dead {
            self.broken(pool, key, &Over::Silent, link, turn);
        }
    }

    // ---- Sending

    /// Sends the set-ups that wait, unless the connection is blocked: bytes that wait in a buffer could
    /// not be taken back when the server is told to drain, or when the caller leaves. Nor on old connections to a server that
    /// cannot be reached: set-ups swallowed there would be taken to run, while those that wait for a
    /// connection prove to have never run. One whose time is over stays for its timer, which is due.
    fn send_waiting(&mut self, pool: PoolId, link: &Link, turn: &mut Turn) {
        let mut waiting = std::mem::take(&mut self.waiting);
        while !self.unreachable && !waiting.is_empty() {
            let Some((key, channel)) = best(&mut self.channels) else { break };
            let Some(next) = waiting.iter().position(|s| s.until > turn.now) else { break };
            let SetUp { id, class, until, content, .. } = &waiting[next];
            let left = ((until - turn.now) * 1000.0).max(1.0);
            let mut message = Message::new(kind::SET_UP, *id)
                .with(code::CLASS, link.classes.get(*class).map_or("", |c| c.name.as_str()))
                .with(code::WAIT, format!("{left:.0}"))
                .with(code::NUMBER, &content.number[..]);
            if let Some(description) = &content.description {
                message = message.with(code::DESCRIPTION, &description[..]);
            }
            let (id, begun) = (*id, channel.connection.begin(&message));
            match begun {
                Ok(None) => break,
                Ok(Some(end)) => {
                    channel.open.insert(id, Out { sent: turn.now, end });
                    turn.calls.forwards += 1;
                    channel.watch(key, turn.watch);
                    waiting.remove(next);
                    self.forget_releases(id);
                }
                // Whether any of it left is not known. The connection's end resets it.
                Err(error) => {
                    channel.open.insert(id, Out { sent: turn.now, end: 0 });
                    waiting.remove(next);
                    self.forget_releases(id);
                    self.broken(pool, key, &error, link, turn);
                }
            }
        }
        self.waiting = waiting;
    }

    fn give_up(&mut self, pool: PoolId, id: u64, link: &Link, turn: &mut Turn) {
        if let Some(at) = self.waiting.iter().position(|s| s.id == id) {
            self.waiting.remove(at);
            return turn.calls.gave_up(pool, id);
        }
        let Some((&key, channel)) = self.channels.iter_mut().find(|(_, c)| c.open.contains_key(&id)) else {
            return turn.calls.gave_up(pool, id);
        };
        let out = channel.open.remove(&id);
        // Half of it is written: the rest would bring the server a set-up that nobody waits for, however much later it
        // takes it. Nothing but the connection's end keeps it from arriving whole.
        if out.is_some_and(|out| out.end > channel.connection.written()) {
            turn.calls.gave_up(pool, id);
            return self.broken(pool, key, &Over::Stuck, link, turn);
        }
        let release = Release::new(turn.now, id);
        match (channel.send_release(turn.now, key, release, turn.watch), out) {
            (Some(end), _) => channel.leaving.push_back((end, id)),
            // The end of this connection, which is broken, gives it up.
            (None, Some(out)) => drop(channel.open.insert(id, out)),
            (None, None) => {}
        }
        channel.settle(pool, key, turn);
    }
}

/// A line of the list, as the decision module takes it.
fn entry(pool: PoolId, listed: &Listed) -> PoolEntry {
    let readiness = match listed.readiness {
        Readiness::Ready => hollypaddle_policy::Readiness::Ready,
        Readiness::Draining => hollypaddle_policy::Readiness::Draining,
    };
    let Listed { number, started: ready_at, district, .. } = *listed;
    PoolEntry { pool, number, readiness, ready_at, district }
}

/// The connection for what is to be sent: the one last heard.
fn best(channels: &mut BTreeMap<Key, Channel>) -> Option<(Key, &mut Channel)> {
    let up = channels.iter_mut().filter(|(_, c)| c.up);
    up.max_by(|a, b| a.1.heard_at.total_cmp(&b.1.heard_at)).map(|(key, channel)| (*key, channel))
}

impl Channel {
    /// Says something; returns where it ends in the stream. A broken connection is found ready with its
    /// end, in its turn.
    fn say(&mut self, key: Key, message: &Message, watch: &Watch) -> Option<u64> {
        let end = match self.connection.send(message) {
            Ok(end) => Some(end),
            Err(error) => {
                log::debug!(connection = key, error:%; "connection-broken");
                if let Over::Stuck = error {
                    drop(self.connection.stream().shutdown(std::net::Shutdown::Both));
                }
                None
            }
        };
        self.watch(key, watch);
        end
    }

    /// Notes since when a message is held back, if one is.
    fn note_held(&mut self, now: f64) {
        let since = self.held_since.unwrap_or(now);
        self.held_since = self.connection.holds_message().then_some(since);
    }

    /// Reports the give-ups that are out.
    fn settle(&mut self, pool: PoolId, key: Key, turn: &mut Turn) {
        let written = self.connection.written();
        while let Some((_, id)) = self.leaving.pop_front_if(|(end, _)| *end <= written) {
            turn.calls.gave_up(pool, id);
        }
        self.watch(key, turn.watch);
    }

    fn watch(&mut self, key: Key, watch: &Watch) {
        let writing = !self.up || self.connection.blocked();
        if writing != self.writing {
            self.writing = writing;
            watch.set(key, self.connection.stream(), true, writing);
        }
    }
}

pub(super) fn dial(address: SocketAddr) -> io::Result<TcpStream> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_nonblocking(true)?;
    socket.set_tcp_nodelay(true)?;
    match socket.connect(&address.into()) {
        Ok(()) => {}
        Err(error) if error.raw_os_error() == Some(EINPROGRESS) => {}
        Err(error) => return Err(error),
    }
    Ok(socket.into())
}

/// What Linux says of a connection that is on its way.
const EINPROGRESS: i32 = 115;

#[cfg(test)]
mod tests;
