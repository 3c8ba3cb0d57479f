//! What the silence of a session server and of its connections means, and what is done about it.

use std::collections::BTreeMap;
use std::io::ErrorKind;

use hollypaddle_platform::connection::Over;
use hollypaddle_policy::PoolId;

use super::channel::{best, Channel};
use super::{Server, Turn};
use crate::node::config::Link;
use crate::node::poller::Key;

/// A set-up that waits longer than a connection may take to come up, and this, waits in vain, in seconds.
const SLACK: f64 = 0.1;
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
    pub(super) fn unheard(&self) -> f64 {
        match self.states {
            true => UNHEARD,
            false => self.goal.max(UNHEARD),
        }
    }
}

impl Server {
    pub(super) fn beat(&mut self, pool: PoolId, link: &Link, turn: &mut Turn) {
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
    pub(super) fn overtake(&mut self, pool: PoolId, sent: f64, link: &Link, turn: &mut Turn) {
        let dead = |c: &Channel| c.open.values().any(|o| o.sent + OVERTAKEN < sent && c.heard_at <= o.sent);
        let dead: Vec<Key> = self.channels.iter().filter(|(_, c)| dead(c)).map(|(key, _)| *key).collect();
        for key in dead {
            self.broken(pool, key, &Over::Silent, link, turn);
        }
    }
}
