//! What the silence of a session server and of its connections means, and what is done about it.

use std::collections::BTreeMap;
use std::io::ErrorKind;

use hollypaddle_platform::connection::Over;
use hollypaddle_policy::PoolId;

use super::channel::{last_heard, Channel, SentSetUp};
use super::{Context, Server};
use crate::node::config::ProtocolSettings;
use crate::node::poller::Key;

/// A set-up that waits longer than a connection may take to come up, and this, waits in vain, in seconds.
const CONNECT_SLACK_S: f64 = 0.1;
/// A server that said nothing for so long is tried on a new connection, in seconds: where servers tell their state unasked,
/// about once a second while calls come and go, and where they don't, so that one that vanished is still found in time.
const QUIET_S: f64 = 1.5;
const QUIET_STATELESS_S: f64 = 3.0;
/// A connection with a set-up out for so long and no word since is tried beside another one; each such
/// try that brings no word doubles it. Guards against a connection that has fallen silent, or a machine
/// that has, while callers wait. Where servers tell no state unasked, one that is only busy says nothing either: there
/// it takes the shortest goal time, after which the wait does harm.
const SILENCE_LIMIT_S: f64 = 0.25;
/// A processor serves first come, first served. A connection is dead if it brought no word since a set-up
/// went out on it, and one that went out so much later elsewhere was answered.
const OVERTAKEN_AFTER_S: f64 = 0.1;
/// A server is held to have vanished, and its calls to be cut, after so long without a word and
/// without a connection: their callers must hear of it within 8 s of the end.
const VANISHED_AFTER_S: f64 = 6.5;
/// A message begun and not ended for so long makes its connection useless, in seconds: messages are
/// short, and what follows on that connection would be taken for the rest of this one.
const STALLED_AFTER_S: f64 = 0.25;

impl ProtocolSettings {
    /// See [`QUIET_S`].
    fn quiet(&self) -> f64 {
        if self.servers_report_state {
            QUIET_S
        } else {
            QUIET_STATELESS_S
        }
    }

    /// See [`SILENCE_LIMIT_S`].
    pub(super) fn silence_limit(&self) -> f64 {
        match self.servers_report_state {
            true => SILENCE_LIMIT_S,
            false => self.min_goal_time.max(SILENCE_LIMIT_S),
        }
    }
}

impl Server {
    /// Looks after its connections and what waits for one.
    pub(super) fn maintain(&mut self, pool: PoolId, link: &ProtocolSettings, ctx: &mut Context) {
        self.close_stalled(pool, link, ctx);
        self.close_late(pool, link, ctx);
        self.connect_if_due(pool, link, ctx);
        self.fail_late_set_ups(pool, link, ctx);
        self.cut_if_vanished(pool, ctx);
        self.send_kept_releases(ctx);
    }

    fn close_stalled(&mut self, pool: PoolId, link: &ProtocolSettings, ctx: &mut Context) {
        let stalled = |c: &mut Channel| c.up && c.connection.stalled(ctx.now, STALLED_AFTER_S);
        let stalled: Vec<Key> =
            self.channels.iter_mut().filter_map(|(key, c)| stalled(c).then_some(*key)).collect();
        for key in stalled {
            self.close_failed(pool, key, &Over::Stalled, link, ctx);
        }
    }

    /// Closes connections that did not come up in time.
    fn close_late(&mut self, pool: PoolId, link: &ProtocolSettings, ctx: &mut Context) {
        let late = |c: &Channel| !c.up && ctx.now - c.since >= link.connect_timeout;
        let late: BTreeMap<Key, f64> =
            self.channels.iter().filter(|(_, c)| late(c)).map(|(key, c)| (*key, c.since)).collect();
        self.close_channels(pool, |key| late.contains_key(&key), ctx);
        // Guards against one that set out before the server's last sign of life: to a machine that was
        // away and is back it comes to nothing, and tells nothing of now.
        if late.values().any(|since| *since >= self.heard_at) {
            self.connect_failed(pool, &ErrorKind::TimedOut.into(), ctx);
        }
    }

    /// Connects where there is no connection, or where those that are there are silent.
    fn connect_if_due(&mut self, pool: PoolId, link: &ProtocolSettings, ctx: &mut Context) {
        if self.channels.values().any(|c| !c.up) {
            return;
        }
        let now = ctx.now;
        let silent = self.is_silent(now);
        if silent {
            self.silence_limit *= 2.0;
            let open = self.channels.values().flat_map(|c| c.open.values());
            let first_sent_at = open.map(|set_up| set_up.sent_at).fold(now, f64::min);
            self.silent_at.get_or_insert(first_sent_at);
        }
        let limit = link.quiet();
        let quiet = self.channels.values().all(|c| now - c.since > limit && now - c.heard_at > limit);
        let due = self.channels.is_empty() && now >= self.idle_retry_at;
        if silent || due || quiet && ctx.calls.has_calls_at(pool) {
            self.connect(pool, link, ctx);
        }
    }

    /// Guards against set-ups that wait for a connection which is never opened, or that none takes: they go elsewhere in
    /// the time in which a connection has to come up, or are refused, not at their deadlines.
    fn fail_late_set_ups(&mut self, pool: PoolId, link: &ProtocolSettings, ctx: &mut Context) {
        let limit = link.connect_timeout + CONNECT_SLACK_S;
        while let Some(late) = self.waiting.pop_front_if(|set_up| ctx.now - set_up.since >= limit) {
            ctx.calls.attempt_not_sent(pool, late.id);
        }
    }

    fn cut_if_vanished(&mut self, pool: PoolId, ctx: &mut Context) {
        let silent_s = ctx.now - self.heard_at;
        if !self.unreachable || silent_s < VANISHED_AFTER_S {
            return;
        }
        let cut = ctx.calls.cut_calls_at(pool, ctx.now, true);
        if cut > 0 {
            log::info!(server = self.name.as_str(), silent_s, cut; "server-vanished");
        }
    }

    /// Whether the connection for new set-ups has been silent for too long while one is out on it.
    fn is_silent(&mut self, now: f64) -> bool {
        let limit = self.silence_limit;
        let late = |c: &Channel| {
            let open = c.open.values().any(|set_up| now - set_up.sent_at >= limit);
            open && now - c.heard_at >= limit
        };
        now >= self.retry_at && last_heard(&mut self.channels).is_some_and(|(_, c)| late(c))
    }

    /// An answer came to a set-up sent at that time. Connections that were silent meanwhile are dead: what
    /// is open on them ends, and what the server said on them comes again on the next to be opened.
    pub(super) fn close_overtaken(
        &mut self,
        pool: PoolId,
        sent_at: f64,
        link: &ProtocolSettings,
        ctx: &mut Context,
    ) {
        let overtaken = |c: &Channel, set_up: &SentSetUp| {
            set_up.sent_at + OVERTAKEN_AFTER_S < sent_at && c.heard_at <= set_up.sent_at
        };
        let dead = |c: &Channel| c.open.values().any(|set_up| overtaken(c, set_up));
        let dead: Vec<Key> = self.channels.iter().filter(|(_, c)| dead(c)).map(|(key, _)| *key).collect();
        for key in dead {
            self.close_failed(pool, key, &Over::Silent, link, ctx);
        }
    }
}
