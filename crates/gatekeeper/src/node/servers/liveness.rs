//! Detection of silent, stalled and vanished session servers and connections, and the timeouts that apply.

use std::collections::BTreeMap;
use std::io::ErrorKind;

use hollypaddle_platform::connection::CloseReason;
use hollypaddle_policy::PoolId;

use super::channel::{most_recent_channel, Channel, SentSetUp};
use super::{Context, Server};
use crate::node::config::ProtocolSettings;
use crate::node::poller::Key;

/// Target of this module's log events. Operators' log filters name this path.
const LOG_TARGET: &str = "hollypaddle::node::servers::silence";
/// Time beyond the connect timeout for which a set-up waits for a connection, in seconds; after that it fails.
const CONNECT_SLACK_S: f64 = 0.1;
/// Time without any message from a server after which a new connection to it is tried, in seconds, if servers send unsolicited
/// state messages. They do so about once a second while there are calls.
const QUIET_TIMEOUT_S: f64 = 1.5;
/// The same time if servers send no unsolicited state messages. It is short enough to detect a vanished server in time.
const QUIET_TIMEOUT_STATELESS_S: f64 = 3.0;
/// Time for which a set-up may be open on a connection that receives no message, in seconds. After that, another connection is
/// tried beside it, and the timeout doubles with each such attempt until a message arrives. Guards against a connection or a
/// machine that has become silent while callers wait. If servers send no unsolicited state messages, one that is only busy is
/// silent too; then the shortest goal time applies, after which waiting does harm.
const SILENCE_TIMEOUT_S: f64 = 0.25;
/// A server answers set-ups in the order of their arrival. A connection is dead if it has received no message since a set-up was
/// sent on it, and another set-up was answered that was sent on another connection this much later, in seconds.
const OVERTAKEN_AFTER_S: f64 = 0.1;
/// Time without a message and without a connection after which a server counts as vanished and its calls as cut, in seconds:
/// their callers must be told within 8 s of the end.
const VANISHED_AFTER_S: f64 = 6.5;
/// Time in which a message that has begun must be complete, in seconds. After that its connection is unusable: messages are
/// short, and what follows on that connection would be read as the rest of this one.
const STALLED_AFTER_S: f64 = 0.25;

impl ProtocolSettings {
    /// See [`QUIET_TIMEOUT_S`].
    pub(super) fn quiet_timeout(&self) -> f64 {
        if self.servers_report_state {
            QUIET_TIMEOUT_S
        } else {
            QUIET_TIMEOUT_STATELESS_S
        }
    }

    /// See [`SILENCE_TIMEOUT_S`].
    pub(super) fn silence_timeout(&self) -> f64 {
        match self.servers_report_state {
            true => SILENCE_TIMEOUT_S,
            false => self.min_goal_time.max(SILENCE_TIMEOUT_S),
        }
    }
}

impl Server {
    /// Applies timeouts to the server's connections and waiting set-ups, and connects if due. Called periodically.
    pub(super) fn maintain(&mut self, pool: PoolId, protocol: &ProtocolSettings, ctx: &mut Context) {
        self.close_stalled(pool, protocol, ctx);
        self.close_timed_out(pool, protocol, ctx);
        self.close_unverified(pool, protocol, ctx);
        self.connect_if_due(pool, protocol, ctx);
        self.fail_overdue_set_ups(pool, protocol, ctx);
        self.cut_if_vanished(pool, ctx);
        self.send_queued_releases(ctx);
    }

    pub(super) fn close_stalled(&mut self, pool: PoolId, protocol: &ProtocolSettings, ctx: &mut Context) {
        let stalled = |c: &mut Channel| c.up && c.connection.stalled(ctx.now, STALLED_AFTER_S);
        let stalled: Vec<Key> =
            self.channels.iter_mut().filter_map(|(key, c)| stalled(c).then_some(*key)).collect();
        for key in stalled {
            self.close_and_reconnect(pool, key, &CloseReason::IncompleteMessage, protocol, ctx);
        }
    }

    /// Closes connections that were not established in time.
    fn close_timed_out(&mut self, pool: PoolId, protocol: &ProtocolSettings, ctx: &mut Context) {
        let late = |c: &Channel| !c.up && ctx.now - c.since >= protocol.connect_timeout;
        let late: BTreeMap<Key, f64> =
            self.channels.iter().filter(|(_, c)| late(c)).map(|(key, c)| (*key, c.since)).collect();
        self.close_channels(pool, |key| late.contains_key(&key), ctx);
        // An attempt made before the server last sent a message or accepted a connection is ignored: it failed because the
        // machine was away, and says nothing about now.
        if late.values().any(|since| *since >= self.heard_at) {
            self.handle_connect_failure(pool, &ErrorKind::TimedOut.into(), ctx);
        }
    }

    /// Connects if there is no connection, or if the existing ones are silent.
    fn connect_if_due(&mut self, pool: PoolId, protocol: &ProtocolSettings, ctx: &mut Context) {
        if self.channels.values().any(|c| !c.up) {
            return;
        }
        let now = ctx.now;
        let silent = self.is_silent(now);
        if silent {
            self.silence_timeout *= 2.0;
            let open = self.channels.values().flat_map(|c| c.open.values());
            let first_sent_at = open.map(|set_up| set_up.sent_at).fold(now, f64::min);
            self.silent_at.get_or_insert(first_sent_at);
        }
        let limit = protocol.quiet_timeout();
        let quiet = self.channels.values().all(|c| now - c.since > limit && now - c.heard_at > limit);
        let due = self.channels.is_empty() && now >= self.idle_retry_at;
        if silent || due || quiet && ctx.calls.has_calls_at(pool) {
            self.connect(pool, protocol, ctx);
        }
    }

    /// Fails set-ups that wait for a connection that is never opened, or that no connection accepts. They go elsewhere or are
    /// refused after the time in which a connection must be established, rather than at their deadlines.
    fn fail_overdue_set_ups(&mut self, pool: PoolId, protocol: &ProtocolSettings, ctx: &mut Context) {
        let limit = protocol.connect_timeout + CONNECT_SLACK_S;
        while let Some(late) = self.waiting_set_ups.pop_front_if(|set_up| ctx.now - set_up.since >= limit) {
            ctx.calls.attempt_not_sent(pool, late.id);
        }
    }

    fn cut_if_vanished(&mut self, pool: PoolId, ctx: &mut Context) {
        let silent_s = ctx.now - self.heard_at;
        if !self.unreachable || silent_s < VANISHED_AFTER_S {
            return;
        }
        let cut = ctx.calls.cut_calls_at(pool);
        if cut > 0 {
            log::info!(target: LOG_TARGET, server = self.name.as_str(), silent_s, cut; "server-vanished");
        }
    }

    /// Whether the connection for new set-ups has been silent for too long while a set-up is open on it.
    fn is_silent(&mut self, now: f64) -> bool {
        let limit = self.silence_timeout;
        let late = |c: &Channel| {
            let open = c.open.values().any(|set_up| now - set_up.sent_at >= limit);
            open && now - c.heard_at >= limit
        };
        now >= self.retry_at && most_recent_channel(&mut self.channels).is_some_and(|(_, c)| late(c))
    }

    /// Closes the connections that were silent while a set-up sent at `sent_at` was answered on another one. They are dead: the
    /// set-ups open on them are reset, and the server sends its messages on them again on the next connection.
    pub(super) fn close_overtaken(
        &mut self,
        pool: PoolId,
        sent_at: f64,
        protocol: &ProtocolSettings,
        ctx: &mut Context,
    ) {
        let overtaken = |c: &Channel, set_up: &SentSetUp| {
            set_up.sent_at + OVERTAKEN_AFTER_S < sent_at && c.heard_at <= set_up.sent_at
        };
        let dead = |c: &Channel| c.open.values().any(|set_up| overtaken(c, set_up));
        let dead: Vec<Key> = self.channels.iter().filter(|(_, c)| dead(c)).map(|(key, _)| *key).collect();
        for key in dead {
            self.close_and_reconnect(pool, key, &CloseReason::Unresponsive, protocol, ctx);
        }
    }
}
