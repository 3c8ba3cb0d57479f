//! Connections to a session server: when one is opened, and what follows when one ends.

use std::collections::{BTreeMap, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::io::{self, ErrorKind};

use hollypaddle_platform::connection::{Connection, Over};
use hollypaddle_policy::PoolId;

use super::channel::{connect_nonblocking, Channel};
use super::{Context, Server};
use crate::node::config::ProtocolSettings;
use crate::node::delivery::Pending;
use crate::node::poller::Key;

/// Time between tries to connect, in seconds.
const RETRY_INTERVAL_S: f64 = 0.25;
/// Backoff of connections that nothing waits for, in seconds: the first pause, which doubles with each connection that ended
/// early or did not come up, and the longest. A server says again on the next connection what ended with no connection open,
/// and callers must hear of an end within 8 s.
const FIRST_BACKOFF_S: f64 = 0.5;
pub(super) const MAX_BACKOFF_S: f64 = 5.0;
/// Connections that broke as soon as they were up after which the next one waits its time.
const MAX_QUICK_ENDS: u32 = 3;
/// Most bytes that wait to be written to one server.
const MAX_UNWRITTEN_BYTES: usize = 128 * 1024;

impl Server {
    pub(super) fn connect(&mut self, pool: PoolId, link: &ProtocolSettings, ctx: &mut Context) {
        if ctx.now < self.retry_at {
            return;
        }
        self.retry_at = ctx.now + RETRY_INTERVAL_S;
        self.tried += 1;
        // Makes room by closing what was silent for longest; set-ups open on a connection keep it until
        // they are given up.
        if self.channels.len() >= link.connections {
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
                    writing: true,
                    held_since: None,
                    open: BTreeMap::new(),
                    give_ups: VecDeque::new(),
                    releases: Pending::default(),
                };
                self.channels.insert(key, channel);
            }
            Err(error) => self.connect_failed(pool, &error, ctx),
        }
    }

    /// A connection is over, or of no more use: what is open on it ends, and set-ups go elsewhere.
    pub(super) fn close_failed(
        &mut self,
        pool: PoolId,
        key: Key,
        reason: &Over,
        link: &ProtocolSettings,
        ctx: &mut Context,
    ) {
        log::debug!(server = self.name.as_str(), connection = key, reason:%; "connection-closed");
        let lived = self.channels.get(&key).map_or(0.0, |c| ctx.now - c.since);
        self.close_channels(pool, |k| k == key, ctx);
        self.send_kept_releases(ctx);
        self.reconnect(lived, pool, link, ctx);
    }

    /// Connects again at once, unless it keeps closing new ones, or closes idle ones that nothing waits for: a connect that
    /// is refused tells that the process died with its calls. One that is on its way may have set out to a machine that was
    /// not there and would be noticed late; this end tells that the machine is back.
    fn reconnect(&mut self, lived: f64, pool: PoolId, link: &ProtocolSettings, ctx: &mut Context) {
        self.quick_ends = if lived >= RETRY_INTERVAL_S { 0 } else { self.quick_ends.saturating_add(1) };
        if self.quick_ends <= MAX_QUICK_ENDS {
            self.retry_at = ctx.now;
        }
        let asked = !self.waiting.is_empty() || ctx.calls.has_calls_at(pool);
        if !asked && !(1..=MAX_QUICK_ENDS).contains(&self.quick_ends) {
            self.back_off(lived, ctx.now);
        }
        if asked || ctx.now >= self.idle_retry_at {
            self.connect(pool, link, ctx);
        }
    }

    /// A connection ended after so long, or did not come up: when the next may be tried that nothing waits for. Where they
    /// last, at once.
    fn back_off(&mut self, lived: f64, now: f64) {
        if lived >= MAX_BACKOFF_S {
            self.backoff = 0.0;
        }
        let mut hasher = DefaultHasher::new();
        (self.seed, &self.name, self.tried).hash(&mut hasher);
        let spread = 0.5 + 0.5 * (hasher.finish() >> 11) as f64 / (1u64 << 53) as f64;
        self.idle_retry_at = now + self.backoff * spread;
        self.backoff = (2.0 * self.backoff).clamp(FIRST_BACKOFF_S, MAX_BACKOFF_S);
    }

    pub(super) fn connected(&mut self, pool: PoolId, key: Key, link: &ProtocolSettings, ctx: &mut Context) {
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
            Err(error) if error.kind() == ErrorKind::ConnectionReset && self.quick_ends < MAX_QUICK_ENDS => {
                self.close_failed(pool, key, &Over::Broken(error), link, ctx);
            }
            Err(error) => {
                self.close_channels(pool, |k| k == key, ctx);
                self.connect_failed(pool, &error, ctx);
            }
            Ok(()) => {
                (channel.up, channel.since, channel.heard_at) = (true, ctx.now, ctx.now);
                (self.heard_at, self.unreachable) = (ctx.now, false);
                log::debug!(server = self.name.as_str(), connection = key; "connection-up");
                self.send_kept_releases(ctx);
                if let Some(channel) = self.channels.get_mut(&key) {
                    channel.watch(key, ctx.poller);
                }
            }
        }
    }

    /// No connection came up. The set-ups that waited for it never ran. Refused, with no other connection
    /// left, the process is dead and so is what stood there; with one, the server may only hold as many
    /// connections as it accepts.
    pub(super) fn connect_failed(&mut self, pool: PoolId, error: &io::Error, ctx: &mut Context) {
        log::debug!(server = self.name.as_str(), error:%; "connection-failed");
        self.back_off(0.0, ctx.now);
        self.fail_waiting(pool, ctx);
        // Other errors, such as a want of descriptors, are ours and tell nothing of the server.
        self.unreachable |= matches!(
            error.kind(),
            ErrorKind::TimedOut | ErrorKind::HostUnreachable | ErrorKind::NetworkUnreachable
        );
        if self.unreachable || error.kind() == ErrorKind::ConnectionRefused {
            self.silent_at.get_or_insert(ctx.now);
        }
        if error.kind() == ErrorKind::ConnectionRefused && !self.channels.values().any(|c| c.up) {
            self.releases.forget_unconfirmed(f64::INFINITY);
            let cut = ctx.calls.cut_calls_at(pool, f64::INFINITY, false);
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
            self.releases.keep_unconfirmed(channel.releases.take_unconfirmed(ctx.now));
            // Closing it gives up whatever was open on it, but an answer may have been lost with it: a
            // call that nobody waits for must not stand on.
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
