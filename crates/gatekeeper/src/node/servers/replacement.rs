//! Which process holds a call, when one process takes the place of another at an address.
//!
//! A connection reaches exactly one process. A time does not tell which: the list tells late that a process has ended or started, and a
//! new one may accept connections while the old one still answers. Therefore a call is taken to be at the process that is reached by
//! the connection on which it was answered.
//!
//! When the list tells that a server is gone, its process has ended. A connection to its address that still brings messages reaches
//! another process, so each one on which something depends is verified by a test. What was answered on a connection that is closed, or
//! is not verified in time, is cut, and released at whoever serves there now. The server is kept for a while as *departed*: it is not
//! listed and gets no set-ups. Its verified connections, with the calls and attempts on them, move to the server that is listed at the
//! address, at once or when it is listed; so do its releases.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use hollypaddle_platform::connection::CloseReason;
use hollypaddle_platform::list::{ListedServer, Readiness, Snapshot};
use hollypaddle_platform::message::{cause, kind, Message};
use hollypaddle_policy::PoolId;

use super::channel::Channel;
use super::{Context, Server, Servers};
use crate::node::config::ProtocolSettings;
use crate::node::poller::{Key, Poller};

/// Start times that differ by no more than this, in seconds, are the same: one source may round to milliseconds.
const START_TIME_PRECISION_S: f64 = 0.001;
/// Time in which a connection must be verified, in seconds. Callers must be told within 8 s that their calls ended with their process,
/// and the list may take 7 s to tell of that end.
const VERIFICATION_TIMEOUT_S: f64 = 0.9;
/// The same time if a test may be sent, which is answered at once.
const TEST_TIMEOUT_S: f64 = 0.4;
/// Messages that arrive this long after the start of a verification were sent after it, in seconds.
const SETTLING_TIME_S: f64 = 0.1;
/// How much earlier than its end a process may be called gone by the list, in seconds. For this long it may still answer.
const MAX_EARLY_NEWS_S: f64 = 2.0;
/// How long a departed server is kept for late commands once its address has a new server and its connections are closed, in seconds.
const LINGER_S: f64 = 0.5;
/// How long a departed server is kept until a new one is listed at its address, in seconds.
const MAX_WAIT_FOR_SUCCESSOR_S: f64 = 10.0;

/// The verification that a connection reaches a process that still runs.
#[derive(Clone, Copy, Debug)]
pub(super) struct Verification {
    started_at: f64,
    /// The id of the test that was sent.
    test: u64,
}

impl Verification {
    /// Whether messages that were received now show that the process at the other end runs.
    fn is_confirmed_by(&self, messages: &[Message], now: f64) -> bool {
        let is_result = |m: &Message| m.kind == kind::TEST_RESULT && m.call == self.test;
        messages.iter().any(is_result) || !messages.is_empty() && now - self.started_at >= SETTLING_TIME_S
    }
}

impl Channel {
    /// Starts to verify that the process at the other end runs.
    fn start_verification(&mut self, key: Key, may_probe: bool, now: f64, poller: &Poller) {
        self.last_test += 1;
        self.verification = Some(Verification { started_at: now, test: self.last_test });
        if may_probe {
            let test = Message::new(kind::TEST, self.last_test).with_cause(cause::TEST);
            self.send(key, &test, poller);
        }
    }

    /// Ends the verification if these messages, received on a connection that stays open, confirm it.
    pub(super) fn confirm_verification(&mut self, messages: &[Message], now: f64) {
        self.verification.take_if(|verification| verification.is_confirmed_by(messages, now));
    }
}

impl Servers {
    /// Lets those servers depart that a list no longer has, or has with another process: at another address or with another start.
    pub(super) fn remove_replaced(&mut self, list: &Snapshot, ctx: &mut Context) {
        let is_replaced = |(_, server): &(&PoolId, &Server)| match list.servers.get(&server.name) {
            Some(listed) => is_other_process(&server.listed, listed),
            None => true,
        };
        let replaced: Vec<PoolId> = self.servers.iter().filter(is_replaced).map(|(pool, _)| *pool).collect();
        for pool in replaced {
            let Some(mut server) = self.servers.remove(&pool) else { continue };
            self.pools.remove(&server.name);
            server.depart(pool, &self.protocol, ctx);
            // Connections to the address that were opened under another entry may have reached this process too.
            let address = server.listed.address;
            for (other_pool, other) in self.servers.iter_mut().filter(|(_, s)| s.listed.address == address) {
                other.verify_connections(*other_pool, &self.protocol, ctx);
            }
            self.departed.insert(pool, server);
        }
    }

    /// Marks the servers that are listed at the address of one that departed: for a while their connections may reach its process.
    pub(super) fn mark_unsettled(&mut self) {
        for old in self.departed.values() {
            let until = old.departed_at.map_or(f64::NEG_INFINITY, |at| at + MAX_EARLY_NEWS_S);
            for new in self.servers.values_mut().filter(|new| new.listed.address == old.listed.address) {
                new.unsettled_until = new.unsettled_until.max(until);
            }
        }
    }

    /// The names of the listed servers whose addresses newer ones have. The newest is the one that was listed last; of those that were
    /// listed together, one that does not drain, and then the one that started last.
    pub(super) fn superseded(&self, list: &Snapshot) -> BTreeSet<String> {
        let age = |name: &str, listed: &ListedServer| {
            let pool = self.pools.get(name);
            let listed_at =
                pool.and_then(|pool| self.servers.get(pool)).map_or(0.0, |server| server.listed_at);
            (listed_at, listed.readiness == Readiness::Ready, listed.started, pool.copied())
        };
        let is_superseded = |(name, listed): &(&String, &ListedServer)| {
            let own_age = age(name, listed);
            let mut others = list.servers.iter().filter(|(_, other)| other.address == listed.address);
            others.any(|(other_name, other)| age(other_name, other) > own_age)
        };
        list.servers.iter().filter(is_superseded).map(|(name, _)| name.clone()).collect()
    }

    /// The server that serves at an address, as far as the list tells.
    fn server_at(&self, address: SocketAddr) -> Option<PoolId> {
        let serves = |server: &Server| server.listed.address == address && !server.superseded;
        self.servers.iter().find(|(_, server)| serves(server)).map(|(pool, _)| *pool)
    }

    /// Moves what replaced servers have to the servers that are now listed at their addresses, and forgets those with nothing left.
    pub(super) fn settle_replaced(&mut self, ctx: &mut Context) {
        self.hand_over_superseded_releases();
        for (pool, mut server) in std::mem::take(&mut self.departed) {
            let successor_pool = self.server_at(server.listed.address);
            let successor = successor_pool.and_then(|pool| Some((pool, self.servers.get_mut(&pool)?)));
            let has_successor = successor.is_some();
            match successor {
                Some((successor_pool, successor)) => {
                    server.move_to(pool, successor_pool, successor, &self.protocol, ctx);
                }
                None => server.close_unused(pool, ctx),
            }
            if !server.is_settled(pool, has_successor, ctx) {
                self.departed.insert(pool, server);
            }
        }
    }

    /// Hands the releases of superseded servers to the newer ones, where the next attempt of a call goes too: a release that came after
    /// it on another connection would cut it, and until then the call would run twice.
    fn hand_over_superseded_releases(&mut self) {
        let superseded: Vec<PoolId> =
            self.servers.iter().filter(|(_, server)| server.superseded).map(|(pool, _)| *pool).collect();
        for pool in superseded {
            let Some(old) = self.servers.get_mut(&pool) else { continue };
            let (address, releases) = (old.listed.address, std::mem::take(&mut old.release_queue));
            let newer = self.server_at(address).and_then(|newer| self.servers.get_mut(&newer));
            if let Some(newer) = newer {
                newer.take_releases_over(releases);
            }
        }
    }

    /// Applies timeouts to departed servers.
    pub(super) fn maintain_departed(&mut self, ctx: &mut Context) {
        for (&pool, server) in &mut self.departed {
            server.close_stalled(pool, &self.protocol, ctx);
            server.close_unverified(pool, &self.protocol, ctx);
            server.verify_quiet(pool, &self.protocol, ctx);
            server.send_queued_releases(ctx);
        }
        self.settle_replaced(ctx);
    }
}

/// Whether two entries of a server in successive lists are of different processes.
fn is_other_process(old: &ListedServer, new: &ListedServer) -> bool {
    let is_other_start = (new.started - old.started).abs() > START_TIME_PRECISION_S;
    new.address != old.address || new.started > 0.0 && is_other_start
}

impl Server {
    /// Whether the server is no longer listed.
    pub(super) fn has_departed(&self) -> bool {
        self.departed_at.is_some()
    }

    /// Whether the calls on a connection end with it, as nothing else shows which process holds them.
    pub(super) fn is_call_bound_to(&self, channel: &Channel, now: f64) -> bool {
        self.has_departed() || channel.verification.is_some() || now < self.unsettled_until
    }

    /// Handles that the list no longer has this process.
    fn depart(&mut self, pool: PoolId, protocol: &ProtocolSettings, ctx: &mut Context) {
        self.departed_at = Some(ctx.now);
        self.listed.readiness = Readiness::Draining;
        self.fail_waiting(pool, ctx);
        let connecting: Vec<Key> = self.channels.iter().filter(|(_, c)| !c.up).map(|(key, _)| *key).collect();
        self.close_channels(pool, |key| connecting.contains(&key), ctx);
        let cut = self.verify_connections(pool, protocol, ctx);
        let verifying = self.channels.values().filter(|c| c.verification.is_some()).count();
        log::info!(server = self.name.as_str(), address:% = self.listed.address, cut, verifying; "server-gone");
    }

    /// Cuts the calls that were answered on closed connections, and starts to verify the others. Returns the number of calls cut.
    fn verify_connections(&mut self, pool: PoolId, protocol: &ProtocolSettings, ctx: &mut Context) -> usize {
        let cut = ctx.calls.cut_calls_not_on(pool, |connection| self.channels.contains_key(&connection));
        for (key, channel) in self.channels.iter_mut().filter(|(_, channel)| channel.up) {
            if is_used(pool, *key, channel, ctx) {
                channel.start_verification(*key, protocol.may_probe, ctx.now, ctx.poller);
            }
        }
        if cut > 0 && !self.has_departed() {
            log::info!(server = self.name.as_str(), address:% = self.listed.address, cut; "calls-not-at-new-process");
        }
        cut
    }

    /// Verifies again the connections that have been quiet for long while calls depend on them.
    fn verify_quiet(&mut self, pool: PoolId, protocol: &ProtocolSettings, ctx: &mut Context) {
        for (key, channel) in &mut self.channels {
            let is_quiet = ctx.now - channel.heard_at > protocol.quiet_timeout();
            if is_quiet && channel.verification.is_none() && is_used(pool, *key, channel, ctx) {
                channel.start_verification(*key, protocol.may_probe, ctx.now, ctx.poller);
            }
        }
    }

    /// Closes connections that were not verified in time: the process at the other end hangs or has vanished.
    pub(super) fn close_unverified(&mut self, pool: PoolId, protocol: &ProtocolSettings, ctx: &mut Context) {
        let timeout = if protocol.may_probe { TEST_TIMEOUT_S } else { VERIFICATION_TIMEOUT_S };
        let is_late = |c: &Channel| c.verification.is_some_and(|v| ctx.now - v.started_at >= timeout);
        let late: Vec<Key> = self.channels.iter().filter(|(_, c)| is_late(c)).map(|(key, _)| *key).collect();
        for key in late {
            log::info!(server = self.name.as_str(), connection = key; "connection-not-verified");
            self.close_and_reconnect(pool, key, &CloseReason::Unresponsive, protocol, ctx);
        }
    }

    /// Closes the verified connections on which nothing depends any more.
    fn close_unused(&mut self, pool: PoolId, ctx: &mut Context) {
        let is_unused = |(key, channel): &(&Key, &Channel)| {
            channel.verification.is_none() && !is_used(pool, **key, channel, ctx)
        };
        let unused: Vec<Key> = self.channels.iter().filter(is_unused).map(|(key, _)| *key).collect();
        self.close_channels(pool, |key| unused.contains(&key), ctx);
    }

    /// Moves the verified connections, with what is open and stands on them, and the releases to the server that is now listed at the
    /// address. Releases go first, so that none can cut a later attempt of its call.
    fn move_to(
        &mut self,
        pool: PoolId,
        successor_pool: PoolId,
        successor: &mut Server,
        protocol: &ProtocolSettings,
        ctx: &mut Context,
    ) {
        self.close_unused(pool, ctx);
        let verified: Vec<Key> =
            self.channels.iter().filter(|(_, c)| c.verification.is_none()).map(|(key, _)| *key).collect();
        let mut moved = 0;
        for key in &verified {
            let Some(channel) = self.channels.remove(key) else { continue };
            let open: Vec<u64> =
                channel.open.keys().copied().chain(channel.give_ups.iter().map(|g| g.1)).collect();
            moved += ctx.calls.move_connection(pool, successor_pool, *key, &open);
            successor.take_connection(*key, channel);
        }
        successor.take_releases_over(std::mem::take(&mut self.release_queue));
        successor.close_excess(successor_pool, protocol, ctx);
        if !verified.is_empty() {
            let (from, to) = (self.name.as_str(), successor.name.as_str());
            log::info!(from, to, connections = verified.len(), moved; "calls-moved");
        }
    }

    fn take_connection(&mut self, key: Key, channel: Channel) {
        self.heard_at = self.heard_at.max(channel.heard_at);
        self.last_message_at = self.last_message_at.max(channel.heard_at);
        (self.unreachable, self.silent_at) = (false, None);
        self.channels.insert(key, channel);
    }

    /// Closes connections beyond the limit, if nothing depends on them.
    fn close_excess(&mut self, pool: PoolId, protocol: &ProtocolSettings, ctx: &mut Context) {
        let excess = self.channels.len().saturating_sub(protocol.connections);
        let unused = self.channels.iter().filter(|(key, channel)| !is_used(pool, **key, channel, ctx));
        let closed: Vec<Key> = unused.map(|(key, _)| *key).take(excess).collect();
        self.close_channels(pool, |key| closed.contains(&key), ctx);
    }

    /// Whether nothing is left of a departed server.
    fn is_settled(&mut self, pool: PoolId, has_successor: bool, ctx: &mut Context) -> bool {
        let wait = if has_successor { LINGER_S } else { MAX_WAIT_FOR_SUCCESSOR_S };
        let is_over = self.channels.is_empty()
            && ctx.now - self.last_close_at.max(self.departed_at.unwrap_or(0.0)) >= wait;
        // A call may have been adopted since.
        if is_over && ctx.calls.cut_calls_not_on(pool, |_| false) > 0 {
            self.last_close_at = ctx.now;
            return false;
        }
        is_over
    }
}

/// Whether an attempt or a call depends on a connection.
fn is_used(pool: PoolId, key: Key, channel: &Channel, ctx: &Context) -> bool {
    !channel.open.is_empty() || !channel.give_ups.is_empty() || ctx.calls.has_calls_on(pool, key)
}
