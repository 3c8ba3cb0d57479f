//! The session servers' side: connections to each listed server, and the messages on them.
//!
//! A connection is kept open to every listed server, for the unsolicited state messages. When it closes, it is opened again: at
//! once if something waits for it, else with exponential backoff, so that a server that closes idle connections does not get a
//! new one each time from every gatekeeper. If a server sends nothing for a while, a second connection is opened beside the
//! first, which may still carry answers: a machine that vanished leaves its connections open and silent.

mod channel;
mod connecting;
mod incoming;
mod liveness;
mod release;
mod release_queue;
mod replacement;
mod set_ups;

use std::collections::{BTreeMap, VecDeque};

use hollypaddle_policy::settings::Telemetry;
use hollypaddle_policy::{Event, ListKind, PoolEntry, PoolId};

pub(super) use self::channel::connect_nonblocking;

use self::channel::Channel;
use self::incoming::judge;
use self::release_queue::ReleaseQueue;
use self::set_ups::WaitingSetUp;
use super::config::ProtocolSettings;
use super::poller::{Key, Poller, Ready};
use hollypaddle_core::calls::{Calls, Command};
use hollypaddle_platform::boundary::Candidate;
use hollypaddle_platform::list::{ListedServer, Readiness, Snapshot};
use hollypaddle_service::descriptors::DescriptorBudget;

/// Longest time for which a message is held back while it is undecided whether it was cut short, in seconds.
const MAX_MESSAGE_HOLD_S: f64 = 0.004;

/// The state outside this module that its functions use.
pub struct Context<'a> {
    /// The current time, in Unix seconds.
    pub now: f64,
    /// The poller.
    pub poller: &'a mut Poller,
    /// All calls of this gatekeeper.
    pub calls: &'a mut Calls,
}

/// A listed server. Times are in Unix seconds.
struct Server {
    name: String,
    listed: ListedServer,
    channels: BTreeMap<Key, Channel>,
    waiting_set_ups: VecDeque<WaitingSetUp>,
    /// Releases to be sent on the next connection.
    release_queue: ReleaseQueue,
    /// When the server last sent a message or accepted a connection.
    heard_at: f64,
    /// When the next connection attempt may be made.
    retry_at: f64,
    /// When the next connection attempt may be made if nothing waits for the connection.
    idle_retry_at: f64,
    /// Backoff after the next connection that closes early, in seconds.
    backoff: f64,
    /// Number of connection attempts so far. With `seed` it determines the jitter of the backoff.
    connect_attempts: u64,
    /// The gatekeeper's seed, see [`Servers::seed`].
    seed: u64,
    /// Whether a newer server is listed at its address.
    superseded: bool,
    /// When the server was first listed.
    listed_at: f64,
    /// When the list told that the server is gone; see [`replacement`].
    departed_at: Option<f64>,
    /// Until when its connections may reach a process that the list has already called gone; see [`replacement`].
    unsettled_until: f64,
    /// When one of its connections was last closed.
    last_close_at: f64,
    /// A connection attempt found the host unreachable, and the server has not been heard from since.
    unreachable: bool,
    /// Number of consecutive connections that closed soon after they were established.
    quick_closes: u32,
    /// How long its connections may be silent while a set-up is open, in seconds; see [`liveness`].
    silence_timeout: f64,
    /// When the server last sent a message.
    last_message_at: f64,
    /// Since when the server owes a response; none if it owes nothing.
    silent_at: Option<f64>,
    /// Number of messages that were cut short so far.
    cut_short_messages: u64,
}

/// What this gatekeeper knows of a server, to be reported to other gatekeepers. Times are in Unix seconds.
pub struct ServerSummary<'a> {
    /// The server's id.
    pub name: &'a str,
    /// The server's number in this process.
    pub pool: PoolId,
    /// The server's entry in the list.
    pub listed: &'a ListedServer,
    /// When the server last sent a message.
    pub last_message_at: f64,
    /// Since when the server owes a response; none if it owes nothing.
    pub silent_at: Option<f64>,
}

/// All listed servers.
pub struct Servers {
    protocol: ProtocolSettings,
    telemetry: Telemetry,
    /// The number of each listed server, by its id. No number is given twice, so that late input for a server that is gone is
    /// not attributed to its successor.
    pools: BTreeMap<String, PoolId>,
    /// The last number given to a server.
    last_pool: u64,
    servers: BTreeMap<PoolId, Server>,
    /// Servers that are no longer listed, and on whose connections calls may still depend; see [`replacement`].
    departed: BTreeMap<PoolId, Server>,
    descriptors: DescriptorBudget,
    /// Differs between gatekeepers, so that they do not reconnect to a server at the same times.
    seed: u64,
}

impl Servers {
    /// Creates the state without any servers.
    pub fn new(
        protocol: ProtocolSettings,
        telemetry: Telemetry,
        descriptors: DescriptorBudget,
        seed: u64,
    ) -> Self {
        let (pools, servers, departed) = (BTreeMap::new(), BTreeMap::new(), BTreeMap::new());
        Servers { protocol, telemetry, pools, last_pool: 0, servers, departed, descriptors, seed }
    }

    /// Maximum number of client connections that the descriptors allow beside those to the listed servers.
    pub fn max_caller_connections(&self) -> usize {
        self.descriptors.allocate(self.count_connected()).callers
    }

    /// Replaces the classes, indexed by class number, after the settings were read again. Set-ups carry their names.
    pub fn set_classes(&mut self, classes: Vec<super::config::ProtocolClass>) {
        self.protocol.classes = classes;
    }

    // ---- The server list

    /// Applies a complete list. A server missing from it is gone.
    pub fn apply_list(&mut self, list: &Snapshot, kind: ListKind, ctx: &mut Context) {
        self.remove_replaced(list, ctx);
        list.servers.iter().for_each(|(name, listed)| self.add_if_new(name, listed, ctx.now));
        let superseded = self.superseded(list);
        for (name, listed) in &list.servers {
            self.update_listing(name, listed.clone(), superseded.contains(name), ctx);
        }
        self.mark_unsettled();
        self.settle_replaced(ctx);
        self.protocol.connections = self.descriptors.allocate(self.count_connected()).per_server;
        ctx.calls.events.push(Event::List { kind, entries: self.pool_entries() });
    }

    fn add_if_new(&mut self, name: &str, listed: &ListedServer, now: f64) {
        if self.pools.contains_key(name) {
            return;
        }
        self.last_pool += 1;
        let pool = PoolId(self.last_pool);
        log::info!(server = name, state:? = listed.readiness, address:% = listed.address; "server-listed");
        let silence_timeout = self.protocol.silence_timeout();
        let server = Server::new(name.to_owned(), listed.clone(), now, silence_timeout, self.seed);
        self.pools.insert(name.to_owned(), pool);
        self.servers.insert(pool, server);
    }

    /// Updates the entry of a listed server. One whose address another server has taken gets no new set-ups, as they would reach
    /// the other one's process beside those that are meant for it.
    fn update_listing(&mut self, name: &str, mut listed: ListedServer, superseded: bool, ctx: &mut Context) {
        if superseded {
            listed.readiness = Readiness::Draining;
        }
        let Some(&pool) = self.pools.get(name) else { return };
        let Some(server) = self.servers.get_mut(&pool) else { return };
        server.superseded = superseded;
        server.update_listing(pool, listed, ctx);
    }

    /// The number of servers that need descriptors: those that are listed, and departed ones with connections.
    fn count_connected(&self) -> usize {
        self.servers.len() + self.departed.values().filter(|server| !server.channels.is_empty()).count()
    }

    /// The current list, in the form that the decision module uses.
    pub fn pool_entries(&self) -> Vec<PoolEntry> {
        self.servers.iter().map(|(pool, server)| pool_entry(*pool, &server.listed)).collect()
    }

    /// Returns the number of listed servers, and how many of them are avoided now because they drain or are unreachable.
    pub fn counts(&self) -> (u64, u64) {
        let (mut discovered, mut ejected) = (0, 0);
        for server in self.servers.values() {
            discovered += 1;
            ejected += u64::from(server.listed.readiness == Readiness::Draining || server.unreachable);
        }
        (discovered, ejected)
    }

    /// What this gatekeeper knows of each server.
    pub fn summaries(&self) -> impl Iterator<Item = ServerSummary<'_>> {
        self.servers.iter().map(|(pool, s)| ServerSummary {
            name: &s.name,
            pool: *pool,
            listed: &s.listed,
            last_message_at: s.last_message_at,
            silent_at: s.silent_at,
        })
    }

    /// The status of each server: its name, state, district and number of established connections.
    pub fn status(&self) -> impl Iterator<Item = (&str, Readiness, Option<u16>, usize)> {
        self.servers.values().map(|s| {
            let up = s.channels.values().filter(|c| c.up).count();
            (s.name.as_str(), s.listed.readiness, s.listed.district, up)
        })
    }

    // ---- Commands from the calls

    /// Executes a command for a call at a server.
    pub fn execute(&mut self, pool: PoolId, id: u64, command: Command, ctx: &mut Context) {
        let server = self.servers.get_mut(&pool).or_else(|| self.departed.get_mut(&pool));
        match (command, server) {
            (Command::SetUp { class, until, content }, Some(server))
                if server.listed.readiness == Readiness::Ready =>
            {
                server.waiting_set_ups.push_back(WaitingSetUp { id, since: ctx.now, class, until, content });
            }
            (Command::SetUp { .. }, _) => ctx.calls.attempt_not_sent(pool, id),
            (Command::GiveUp, Some(server)) => server.give_up(pool, id, &self.protocol, ctx),
            (Command::GiveUp, None) => ctx.calls.give_up_written(pool, id),
            (Command::Release, Some(server)) => server.release(ctx.now, id, ctx.poller),
            (Command::Release, None) => {}
        }
    }

    /// Sends the waiting set-ups on connections that accept them, and connects where there is none. To be called once all input
    /// of an iteration of the event loop is handled: if a connection becomes writable in the same iteration in which a caller
    /// leaves, the caller's set-up must not be sent.
    pub fn send_waiting(&mut self, ctx: &mut Context) {
        for (&pool, server) in self.servers.iter_mut().filter(|(_, s)| !s.waiting_set_ups.is_empty()) {
            server.send_waiting(pool, &self.protocol, ctx);
            if !server.waiting_set_ups.is_empty() && server.channels.values().all(|c| c.up) {
                server.connect(pool, &self.protocol, ctx);
            }
        }
    }

    /// Number of partially written set-ups.
    #[cfg(test)]
    pub fn half_written(&self) -> usize {
        let channels = self.servers.values().flat_map(|s| s.channels.values());
        channels.map(|c| c.open.values().filter(|o| o.end_offset > c.connection.written()).count()).sum()
    }

    /// Releases a call at every server, as it is not known which one holds it.
    pub fn release_everywhere(&mut self, now: f64, id: u64, poller: &Poller) {
        for server in self.servers.values_mut().chain(self.departed.values_mut()) {
            server.release(now, id, poller);
        }
    }

    // ---- Socket events

    /// Handles a ready socket if it is a connection to a server.
    pub fn handle_ready(&mut self, ready: Ready, ctx: &mut Context) {
        let mut all = self.servers.iter_mut().chain(&mut self.departed);
        let Some((&pool, server)) = all.find(|(_, s)| s.channels.contains_key(&ready.key)) else { return };
        let Some(channel) = server.channels.get_mut(&ready.key) else { return };
        if !channel.up {
            return server.finish_connecting(pool, ready.key, &self.protocol, ctx);
        }
        let mut messages = Vec::new();
        let mut end = if ready.writable { channel.connection.flush() } else { Ok(()) };
        if end.is_ok() && ready.readable {
            let calls = &*ctx.calls;
            end = channel.connection.read_checked(&mut messages, &|candidate| judge(candidate, pool, calls));
        }
        server.handle_read(pool, ready.key, (messages, end), (&self.telemetry, &self.protocol), ctx);
        if server.has_departed() || server.superseded {
            self.settle_replaced(ctx);
        }
    }

    /// Handles the messages that have been held back for long enough.
    pub fn process_held_messages(&mut self, ctx: &mut Context) {
        let due = |c: &Channel| c.held_since.is_some_and(|since| ctx.now - since >= MAX_MESSAGE_HOLD_S);
        let due: Vec<(PoolId, Key)> = (self.servers.iter().chain(&self.departed))
            .flat_map(|(pool, s)| s.channels.iter().map(move |(key, c)| (*pool, *key, c)))
            .filter_map(|(pool, key, c)| due(c).then_some((pool, key)))
            .collect();
        for (pool, key) in due {
            let server = self.servers.get_mut(&pool).or_else(|| self.departed.get_mut(&pool));
            let Some(server) = server else { continue };
            let Some(channel) = server.channels.get_mut(&key) else { continue };
            let (mut messages, calls) = (Vec::new(), &*ctx.calls);
            let judge = |candidate: Candidate| judge(candidate, pool, calls);
            let end = channel.connection.release_held(&mut messages, &judge);
            server.handle_read(pool, key, (messages, end), (&self.telemetry, &self.protocol), ctx);
        }
    }

    /// When the next message that is held back is due, in Unix seconds.
    pub fn held_messages_due_at(&self) -> Option<f64> {
        let all = self.servers.values().chain(self.departed.values());
        let held = all.flat_map(|s| s.channels.values()).filter_map(|c| c.held_since);
        held.min_by(f64::total_cmp).map(|since| since + MAX_MESSAGE_HOLD_S)
    }

    /// Opens and closes connections and applies timeouts. Called periodically.
    pub fn maintain(&mut self, ctx: &mut Context) {
        for (&pool, server) in &mut self.servers {
            server.maintain(pool, &self.protocol, ctx);
        }
        self.maintain_departed(ctx);
    }
}

impl Server {
    fn new(name: String, listed: ListedServer, now: f64, silence_timeout: f64, seed: u64) -> Self {
        let (channels, waiting_set_ups) = (BTreeMap::new(), VecDeque::new());
        let (unreachable, quick_closes) = (false, 0);
        let (heard_at, retry_at) = (now, now);
        Server {
            name,
            listed,
            channels,
            waiting_set_ups,
            release_queue: ReleaseQueue::default(),
            heard_at,
            retry_at,
            idle_retry_at: now,
            backoff: 0.0,
            connect_attempts: 0,
            seed,
            superseded: false,
            listed_at: now,
            departed_at: None,
            unsettled_until: f64::NEG_INFINITY,
            last_close_at: f64::NEG_INFINITY,
            unreachable,
            quick_closes,
            silence_timeout,
            last_message_at: f64::NEG_INFINITY,
            silent_at: None,
            cut_short_messages: 0,
        }
    }

    fn update_listing(&mut self, pool: PoolId, listed: ListedServer, ctx: &mut Context) {
        let old = std::mem::replace(&mut self.listed, listed);
        if self.listed.readiness != old.readiness {
            let (state, superseded) = (self.listed.readiness, self.superseded);
            log::info!(server = self.name.as_str(), state:?, superseded; "server-state");
        }
        if self.listed.readiness != Readiness::Ready {
            // Guards against sending a set-up after the drain was reported that was routed before.
            self.fail_waiting(pool, ctx);
        }
    }
}

/// Converts an entry of the list to the form that the decision module uses.
fn pool_entry(pool: PoolId, listed: &ListedServer) -> PoolEntry {
    let readiness = match listed.readiness {
        Readiness::Ready => hollypaddle_policy::Readiness::Ready,
        Readiness::Draining => hollypaddle_policy::Readiness::Draining,
    };
    let ListedServer { number, started: ready_at, district, .. } = *listed;
    PoolEntry { pool, number, readiness, ready_at, district }
}

#[cfg(test)]
mod tests;
