//! Connections of callers while the gatekeeper is drained.

use hollypaddle_core::calls::Calls;
use hollypaddle_platform::connection::Over;
use hollypaddle_service::drain::{self, Decision, KeptFor};

use super::{BestReply, Client, Clients};
use crate::node::poller::{Key, Watch};

/// At the term, a connection counts as in use with a request from this last time, in seconds.
const IN_USE_S: f64 = 2.0;

/// A drain that goes on.
pub(super) struct Drain {
    began: f64,
    /// What was held at its term is logged.
    term_logged: bool,
}

/// What drains have done since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DrainCounts {
    /// Connections that were closed.
    pub closed: u64,
}

impl Clients {
    /// The gatekeeper is drained from now on.
    pub fn begin_drain(&mut self, now: f64) {
        self.drain = Some(Drain { began: now, term_logged: false });
        self.connections.values_mut().for_each(|client| client.kept_for = None);
    }

    /// The gatekeeper takes clients again.
    pub fn end_drain(&mut self) {
        self.drain = None;
    }

    /// What drains have done.
    pub fn drain_counts(&self) -> DrainCounts {
        self.drain_counts
    }

    /// While drained, closes the connections that are to be let go.
    pub fn drain(&mut self, now: f64, watch: &Watch, calls: &mut Calls) {
        let Some(began) = self.drain.as_ref().map(|drain| drain.began) else { return };
        let reserved = self.reserved(calls);
        let mut closing = Vec::new();
        for (key, client) in &mut self.connections {
            let state = client.state(*key, reserved, calls);
            match drain::decide(now, began, &state) {
                Decision::Close => closing.push(*key),
                Decision::Keep(reason) => client.log_kept(*key, reason, &state),
            }
        }
        for key in closing {
            let reason = |c: &mut Client, calls: &Calls| {
                (calls.open_from(key) == 0 && c.used_at < now).then_some(Over::Drained)
            };
            self.drain_counts.closed += u64::from(self.close_if(now, key, reason, watch, calls));
        }
        if now - began >= drain::TERM_S {
            self.log_term(now, calls);
        }
    }

    /// Logs once what is held at the term of a drain.
    fn log_term(&mut self, now: f64, calls: &Calls) {
        let Some(drain) = self.drain.as_mut().filter(|drain| !drain.term_logged) else { return };
        drain.term_logged = true;
        let held = || self.connections.iter();
        let waiting = held().filter(|(key, _)| calls.open_from(**key) > 0).count();
        let standing = held().filter(|(key, _)| calls.standing_from(**key) > 0).count();
        let idle =
            held().filter(|(key, _)| calls.open_from(**key) == 0 && calls.standing_from(**key) == 0).count();
        let in_use =
            held().filter(|(_, client)| client.asked_at.is_some_and(|at| now - at < IN_USE_S)).count();
        log::info!(held = held().count(), waiting, standing, idle, in_use; "drain-term");
    }
}

impl Client {
    fn state(&self, key: Key, reserved: Option<Key>, calls: &Calls) -> drain::Connection {
        drain::Connection {
            since: self.since,
            used_at: self.used_at,
            told: self.best_reply != BestReply::None,
            open: calls.open_from(key),
            standing: calls.standing_from(key),
            writing: self.connection.blocked(),
            reserved: Some(key) == reserved,
        }
    }

    /// Logs why it stays, where that is another reason than before.
    fn log_kept(&mut self, key: Key, reason: KeptFor, state: &drain::Connection) {
        if self.kept_for.replace(reason) != Some(reason) {
            log::debug!(caller = key, reason:%, open = state.open, standing = state.standing; "drain-kept");
        }
    }
}
