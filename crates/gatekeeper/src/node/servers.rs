//! The session servers' side: connections to each listed server, and what is said on them.
//!
//! A connection is kept open to every listed server, for the states that arrive unasked; one that ends is opened again at
//! once where something waits for it, and with exponential backoff where nothing does: a server that closes idle connections
//! is not to be met with a new one each time by every gatekeeper. A server that says nothing for a while is tried on a second
//! connection, beside the first, which may yet carry answers: a machine that vanished leaves its connections open and silent.

mod channel;
mod connecting;
mod incoming;
mod liveness;
mod release;
mod release_queue;
mod set_ups;

use std::collections::{BTreeMap, VecDeque};

use hollypaddle_policy::settings::Telemetry;
use hollypaddle_policy::{Event, ListKind, PoolEntry, PoolId};

pub(super) use self::channel::connect_nonblocking;

use self::channel::Channel;
use self::incoming::judge;
use self::release_queue::Releases;
use self::set_ups::WaitingSetUp;
use super::config::ProtocolSettings;
use super::poller::{Key, Poller, Ready};
use hollypaddle_core::calls::{Calls, Command};
use hollypaddle_platform::boundary::Candidate;
use hollypaddle_platform::list::{Listed, Readiness, Snapshot};
use hollypaddle_service::descriptors::Descriptors;

/// A message of which it can't be told yet whether it was cut short is held back for so long, in seconds.
const MAX_HOLD_S: f64 = 0.004;

/// What every step here works on.
pub struct Context<'a> {
    /// The time, in Unix seconds.
    pub now: f64,
    /// The poller.
    pub poller: &'a mut Poller,
    /// The calls.
    pub calls: &'a mut Calls,
}

struct Server {
    name: String,
    listed: Listed,
    channels: BTreeMap<Key, Channel>,
    waiting: VecDeque<WaitingSetUp>,
    /// Releases to be sent on a connection to come.
    releases: Releases,
    /// When it last said anything or took a connection, and when one may next be tried.
    heard_at: f64,
    retry_at: f64,
    /// When one may next be tried that nothing waits for, and the pause after the next that ends early.
    idle_retry_at: f64,
    backoff: f64,
    /// Connections tried so far, and the gatekeeper's seed: together they spread the pauses.
    tried: u64,
    seed: u64,
    /// A connection was tried in vain since then.
    unreachable: bool,
    /// How many connections in a row broke as soon as they were up.
    quick_ends: u32,
    /// How long its connections may be silent while a set-up is out, see [`liveness`].
    silence_limit: f64,
    /// When it last said anything, and since when something is without an answer that should have one.
    last_message_at: f64,
    silent_at: Option<f64>,
    /// Messages that were cut short, so far.
    cut_short: u64,
}

/// What is known of a server, to be told to other gatekeepers.
pub struct ServerSummary<'a> {
    /// Its id.
    pub name: &'a str,
    /// Its number here.
    pub pool: PoolId,
    /// Its line of the list.
    pub listed: &'a Listed,
    /// When it last said anything.
    pub last_message_at: f64,
    /// Since when something is without an answer that should have one.
    pub silent_at: Option<f64>,
}

/// All listed servers.
pub struct Servers {
    link: ProtocolSettings,
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
    pub fn new(link: ProtocolSettings, telemetry: Telemetry, descriptors: Descriptors, seed: u64) -> Self {
        let (pools, servers) = (BTreeMap::new(), BTreeMap::new());
        Servers { link, telemetry, pools, last_pool: 0, servers, descriptors, seed }
    }

    /// How many connections callers may hold beside those to the servers listed now.
    pub fn max_caller_connections(&self) -> usize {
        self.descriptors.divided(self.servers.len()).callers
    }

    /// Takes the classes of settings read anew, by number, for the names in set-ups.
    pub fn set_classes(&mut self, classes: Vec<super::config::ProtocolClass>) {
        self.link.classes = classes;
    }

    // ---- The list

    /// Takes a whole list. A server missing from it is gone.
    pub fn apply_list(&mut self, list: &Snapshot, kind: ListKind, ctx: &mut Context) {
        let mut entries = Vec::new();
        let silence_limit = self.link.silence_limit();
        for (name, listed) in &list.servers {
            let pool = *self.pools.entry(name.clone()).or_insert_with(|| {
                self.last_pool += 1;
                PoolId(self.last_pool)
            });
            entries.push(entry(pool, listed));
            let server = self.servers.entry(pool).or_insert_with(|| {
                log::info!(server = name.as_str(), state:? = listed.readiness, address:% = listed.address; "server-listed");
                Server::new(name.clone(), listed.clone(), ctx.now, silence_limit, self.seed)
            });
            server.relisted(pool, listed.clone(), ctx);
        }
        let gone: Vec<PoolId> =
            self.servers.keys().filter(|p| !entries.iter().any(|e| e.pool == **p)).copied().collect();
        for pool in gone {
            if let Some(mut server) = self.servers.remove(&pool) {
                self.pools.remove(&server.name);
                server.close_channels(pool, |_| true, ctx);
                server.fail_waiting(pool, ctx);
                let cut = ctx.calls.cut_calls_at(pool, f64::INFINITY, false);
                log::info!(server = server.name.as_str(), cut; "server-gone");
            }
        }
        self.link.connections = self.descriptors.divided(self.servers.len()).each_server;
        ctx.calls.events.push(Event::List { kind, entries });
    }

    /// The list in force, as the decision module takes it.
    pub fn pool_entries(&self) -> Vec<PoolEntry> {
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
    pub fn summaries(&self) -> impl Iterator<Item = ServerSummary<'_>> {
        self.servers.iter().map(|(pool, s)| ServerSummary {
            name: &s.name,
            pool: *pool,
            listed: &s.listed,
            last_message_at: s.last_message_at,
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
    pub fn execute(&mut self, pool: PoolId, id: u64, order: Command, ctx: &mut Context) {
        let server = self.servers.get_mut(&pool);
        match (order, server) {
            (Command::SetUp { class, until, content }, Some(server))
                if server.listed.readiness == Readiness::Ready =>
            {
                // The release of an earlier attempt would cut this one.
                server.releases.forget_unsent(id);
                server.waiting.push_back(WaitingSetUp { id, since: ctx.now, class, until, content });
            }
            (Command::SetUp { .. }, _) => ctx.calls.attempt_not_sent(pool, id),
            (Command::GiveUp, Some(server)) => server.give_up(pool, id, &self.link, ctx),
            (Command::GiveUp, None) => ctx.calls.give_up_written(pool, id),
            (Command::Release, Some(server)) => server.release(ctx.now, id, ctx.poller),
            (Command::Release, None) => {}
        }
    }

    /// Sends what waits, where a connection takes it, and asks for one where none does. Only once all that was heard in
    /// this turn is taken in: of two things that came together, a set-up's way to its server and the word that its caller has
    /// left, the word counts first.
    pub fn send_waiting(&mut self, ctx: &mut Context) {
        for (&pool, server) in self.servers.iter_mut().filter(|(_, s)| !s.waiting.is_empty()) {
            server.send_waiting(pool, &self.link, ctx);
            if !server.waiting.is_empty() && server.channels.values().all(|c| c.up) {
                server.connect(pool, &self.link, ctx);
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
    pub fn release_everywhere(&mut self, now: f64, id: u64, poller: &Poller) {
        for server in self.servers.values_mut() {
            server.release(now, id, poller);
        }
    }

    // ---- What happens on the sockets

    /// Takes what is ready, if it is a server's.
    pub fn handle_ready(&mut self, ready: Ready, ctx: &mut Context) {
        let found = self.servers.iter_mut().find(|(_, s)| s.channels.contains_key(&ready.key));
        let Some((&pool, server)) = found else { return };
        let Some(channel) = server.channels.get_mut(&ready.key) else { return };
        if !channel.up {
            return server.connected(pool, ready.key, &self.link, ctx);
        }
        let mut messages = Vec::new();
        let mut end = if ready.writable { channel.connection.flush() } else { Ok(()) };
        if end.is_ok() && ready.readable {
            let calls = &*ctx.calls;
            end = channel.connection.read_judged(&mut messages, &|candidate| judge(candidate, pool, calls));
        }
        server.take(pool, ready.key, (messages, end), (&self.telemetry, &self.link), ctx);
    }

    /// Takes the messages that were held back for long enough.
    pub fn process_held_messages(&mut self, ctx: &mut Context) {
        let due = |c: &Channel| c.held_since.is_some_and(|since| ctx.now - since >= MAX_HOLD_S);
        let due: Vec<(PoolId, Key)> = (self.servers.iter())
            .flat_map(|(pool, s)| s.channels.iter().map(move |(key, c)| (*pool, *key, c)))
            .filter_map(|(pool, key, c)| due(c).then_some((pool, key)))
            .collect();
        for (pool, key) in due {
            let Some(server) = self.servers.get_mut(&pool) else { continue };
            let Some(channel) = server.channels.get_mut(&key) else { continue };
            let (mut messages, calls) = (Vec::new(), &*ctx.calls);
            let judge = |candidate: Candidate| judge(candidate, pool, calls);
            let end = channel.connection.release_held(&mut messages, &judge);
            server.take(pool, key, (messages, end), (&self.telemetry, &self.link), ctx);
        }
    }

    /// When the next message that is held back is due.
    pub fn held_messages_due_at(&self) -> Option<f64> {
        let held = self.servers.values().flat_map(|s| s.channels.values()).filter_map(|c| c.held_since);
        held.min_by(f64::total_cmp).map(|since| since + MAX_HOLD_S)
    }

    /// Looks after connections. Called now and then.
    pub fn maintain(&mut self, ctx: &mut Context) {
        for (&pool, server) in &mut self.servers {
            server.maintain(pool, &self.link, ctx);
        }
    }
}

impl Server {
    fn new(name: String, listed: Listed, now: f64, silence_limit: f64, seed: u64) -> Self {
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
            idle_retry_at: now,
            backoff: 0.0,
            tried: 0,
            seed,
            unreachable,
            quick_ends,
            silence_limit,
            last_message_at: f64::NEG_INFINITY,
            silent_at: None,
            cut_short: 0,
        }
    }

    fn relisted(&mut self, pool: PoolId, listed: Listed, ctx: &mut Context) {
        let old = std::mem::replace(&mut self.listed, listed);
        let (started, moved) = (self.listed.started, self.listed.address != old.address);
        if started > old.started || moved {
            // Another process: what stood at the old one was cut, though it may never have said so, and
            // connections to it may hang open if it vanished. Newer ones reached the new process.
            let before = if moved { f64::INFINITY } else { started };
            let cut = ctx.calls.cut_calls_at(pool, before, false);
            log::info!(server = self.name.as_str(), cut; "server-restarted");
            let stale: Vec<Key> =
                self.channels.iter().filter(|(_, c)| c.since < before).map(|(key, _)| *key).collect();
            self.close_channels(pool, |key| stale.contains(&key), ctx);
            self.releases.forget_unconfirmed(before);
            (self.retry_at, self.idle_retry_at, self.backoff) = (ctx.now, ctx.now, 0.0);
        }
        if self.listed.readiness != old.readiness {
            log::info!(server = self.name.as_str(), state:? = self.listed.readiness; "server-state");
        }
        if self.listed.readiness != Readiness::Ready {
            // Guards against a set-up that was decided before the drain was told and leaves after it.
            self.fail_waiting(pool, ctx);
        }
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

#[cfg(test)]
mod tests;
