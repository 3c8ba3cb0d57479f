//! Opening connections to a session server, and handling their failure or close.

use std::collections::{BTreeMap, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::io::{self, ErrorKind};

use hollypaddle_platform::connection::{CloseReason, Connection};
use hollypaddle_policy::PoolId;

use super::channel::{connect_nonblocking, Channel};
use super::{Context, Server};
use crate::node::config::ProtocolSettings;
use crate::node::delivery::Pending;
use crate::node::poller::Key;

/// Minimum time between connection attempts, in seconds. A connection that closes sooner than this counts as a quick close.
const RETRY_INTERVAL_S: f64 = 0.25;
/// First backoff of connections that nothing waits for, in seconds. It doubles with each connection that closes early or cannot
/// be established.
const FIRST_BACKOFF_S: f64 = 0.5;
/// Longest backoff of connections that nothing waits for, in seconds. A server reports the calls that ended while no connection
/// was open on the next one, and callers must be told of an end within 8 s.
pub(super) const MAX_BACKOFF_S: f64 = 5.0;
/// Number of consecutive quick closes up to which the next connection is opened at once; after more of them it waits for
/// [`RETRY_INTERVAL_S`].
const MAX_QUICK_CLOSES: u32 = 3;
/// Maximum number of unwritten bytes for one server.
const MAX_UNWRITTEN_BYTES: usize = 128 * 1024;

impl Server {
    pub(super) fn connect(&mut self, pool: PoolId, protocol: &ProtocolSettings, ctx: &mut Context) {
        if ctx.now < self.retry_at || self.has_departed() {
            return;
        }
        self.retry_at = ctx.now + RETRY_INTERVAL_S;
        self.connect_attempts += 1;
        // Frees a connection slot by closing the connection that has been silent for longest. A connection with open set-ups
        // is kept until they are given up.
        if self.channels.len() >= protocol.connections {
            let unused = self.channels.iter().filter(|(_, c)| c.open.is_empty());
            let oldest = unused.min_by(|a, b| a.1.heard_at.total_cmp(&b.1.heard_at)).map(|(key, _)| *key);
            match oldest {
                Some(oldest) => self.close_channels(pool, |key| key == oldest, ctx),
                None => return,
            }
        }
        match connect_nonblocking(self.listed.address)
            .and_then(|stream| Ok((ctx.poller.add(&stream, true)?, stream)))
        {
            Ok((key, stream)) => {
                let channel = Channel {
                    connection: Connection::new(stream, MAX_UNWRITTEN_BYTES),
                    up: false,
                    since: ctx.now,
                    heard_at: ctx.now,
                    watches_writable: true,
                    held_since: None,
                    open: BTreeMap::new(),
                    give_ups: VecDeque::new(),
                    releases: Pending::default(),
                    verification: None,
                    last_test: 0,
                };
                self.channels.insert(key, channel);
            }
            Err(error) => self.handle_connect_failure(pool, &error, ctx),
        }
    }

    /// Closes a connection that failed or is unusable, which resets the set-ups open on it, and connects again.
    pub(super) fn close_and_reconnect(
        &mut self,
        pool: PoolId,
        key: Key,
        reason: &CloseReason,
        protocol: &ProtocolSettings,
        ctx: &mut Context,
    ) {
        log::debug!(server = self.name.as_str(), connection = key, reason:%; "connection-closed");
        let lifetime = self.channels.get(&key).map_or(0.0, |c| ctx.now - c.since);
        self.close_channels(pool, |k| k == key, ctx);
        self.send_queued_releases(ctx);
        self.reconnect(lifetime, pool, protocol, ctx);
    }

    /// Connects again after a connection that lasted `lifetime` seconds. It does so at once, unless the server keeps closing new
    /// connections, or closes idle ones that nothing waits for: a refused connect shows that the process died with its calls. An
    /// attempt in progress may have been made while the machine was away, and would fail late; the close of this connection
    /// shows that the machine is back.
    fn reconnect(&mut self, lifetime: f64, pool: PoolId, protocol: &ProtocolSettings, ctx: &mut Context) {
        self.quick_closes =
            if lifetime >= RETRY_INTERVAL_S { 0 } else { self.quick_closes.saturating_add(1) };
        if self.quick_closes <= MAX_QUICK_CLOSES {
            self.retry_at = ctx.now;
        }
        let is_needed = !self.waiting_set_ups.is_empty() || ctx.calls.has_calls_at(pool);
        if !is_needed && !(1..=MAX_QUICK_CLOSES).contains(&self.quick_closes) {
            self.schedule_idle_retry(lifetime, ctx.now);
        }
        if is_needed || ctx.now >= self.idle_retry_at {
            self.connect(pool, protocol, ctx);
        }
    }

    /// Sets when the next connection may be attempted that nothing waits for, after one that lasted `lifetime` seconds, or 0 if
    /// it was not established. After one that lasted for [`MAX_BACKOFF_S`] or longer that is at once.
    fn schedule_idle_retry(&mut self, lifetime: f64, now: f64) {
        if lifetime >= MAX_BACKOFF_S {
            self.backoff = 0.0;
        }
        let mut hasher = DefaultHasher::new();
        (self.seed, &self.name, self.connect_attempts).hash(&mut hasher);
        let jitter = 0.5 + 0.5 * (hasher.finish() >> 11) as f64 / (1u64 << 53) as f64;
        self.idle_retry_at = now + self.backoff * jitter;
        self.backoff = (2.0 * self.backoff).clamp(FIRST_BACKOFF_S, MAX_BACKOFF_S);
    }

    pub(super) fn finish_connecting(
        &mut self,
        pool: PoolId,
        key: Key,
        protocol: &ProtocolSettings,
        ctx: &mut Context,
    ) {
        let Some(channel) = self.channels.get_mut(&key) else { return };
        let stream = channel.connection.stream();
        let result = match stream.take_error() {
            Ok(None) => stream.peer_addr().map(drop),
            Ok(Some(error)) | Err(error) => Err(error),
        };
        match result {
            Err(error) if error.kind() == ErrorKind::NotConnected => {}
            // Reset as it was being established: the server is there, and the waiting set-ups have not run. Otherwise a
            // healthy server would be considered dead, and then cold when it answers again.
            Err(error)
                if error.kind() == ErrorKind::ConnectionReset && self.quick_closes < MAX_QUICK_CLOSES =>
            {
                self.close_and_reconnect(pool, key, &CloseReason::Broken(error), protocol, ctx);
            }
            Err(error) => {
                self.close_channels(pool, |k| k == key, ctx);
                self.handle_connect_failure(pool, &error, ctx);
            }
            Ok(()) => {
                (channel.up, channel.since, channel.heard_at) = (true, ctx.now, ctx.now);
                (self.heard_at, self.unreachable) = (ctx.now, false);
                log::debug!(server = self.name.as_str(), connection = key; "connection-up");
                self.send_queued_releases(ctx);
                if let Some(channel) = self.channels.get_mut(&key) {
                    channel.update_watch(key, ctx.poller);
                }
            }
        }
    }

    /// Handles a connection attempt that failed. The set-ups that waited for it never ran. If it was refused and no other
    /// connection is established, the process counts as dead and its calls are cut; with another connection, the server may only have
    /// reached its own limit of connections. It may have done so without one, too, so the calls are released once it accepts again.
    pub(super) fn handle_connect_failure(&mut self, pool: PoolId, error: &io::Error, ctx: &mut Context) {
        log::debug!(server = self.name.as_str(), error:%; "connection-failed");
        self.schedule_idle_retry(0.0, ctx.now);
        self.fail_waiting(pool, ctx);
        // Other errors, such as a lack of descriptors, are local and say nothing about the server.
        self.unreachable |= matches!(
            error.kind(),
            ErrorKind::TimedOut | ErrorKind::HostUnreachable | ErrorKind::NetworkUnreachable
        );
        if self.unreachable || error.kind() == ErrorKind::ConnectionRefused {
            self.silent_at.get_or_insert(ctx.now);
        }
        if error.kind() == ErrorKind::ConnectionRefused && !self.channels.values().any(|c| c.up) {
            let cut = ctx.calls.cut_calls_at(pool);
            if cut > 0 {
                log::info!(server = self.name.as_str(), cut; "server-refuses-connections");
            }
        }
    }

    pub(super) fn close_channels(&mut self, pool: PoolId, which: impl Fn(Key) -> bool, ctx: &mut Context) {
        let keys: Vec<Key> = self.channels.keys().copied().filter(|k| which(*k)).collect();
        for key in keys {
            let Some(mut channel) = self.channels.remove(&key) else { continue };
            ctx.poller.remove(channel.connection.stream());
            self.last_close_at = ctx.now;
            if self.is_call_bound_to(&channel, ctx.now) {
                let cut = ctx.calls.cut_calls_on(pool, key);
                if cut > 0 {
                    log::info!(server = self.name.as_str(), connection = key, cut; "calls-lost-with-connection");
                }
            }
            self.release_queue.keep_unconfirmed(channel.releases.take_unconfirmed(ctx.now));
            // Closing the connection gives up the set-ups open on it, but an answer may have been lost with it: a call that
            // nobody waits for must not stay established at the server.
            for id in channel.open.into_keys() {
                ctx.calls.attempt_reset(pool, id);
                self.release(ctx.now, id, ctx.poller);
            }
            for (_, id) in channel.give_ups {
                ctx.calls.give_up_written(pool, id);
            }
        }
    }
}
