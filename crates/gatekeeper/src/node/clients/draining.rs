//! Client connections while the gatekeeper is drained.

use std::collections::BTreeSet;

use hollypaddle_core::calls::{Calls, Reply};
use hollypaddle_platform::connection::CloseReason;
use hollypaddle_platform::message::Message;
use hollypaddle_service::drain::{self, Decision, KeepReason};

use super::reply::encode_reply;
use super::set_up::class_index;
use super::{BestReply, Client, Clients};
use crate::node::delivery::CloseKind;
use crate::node::poller::{Key, Poller};

/// A drain in progress.
pub(super) struct Drain {
    /// When it started, in Unix seconds.
    started_at: f64,
    /// Whether the connections held at its term have been logged.
    term_logged: bool,
}

/// Counts of what drains have done since the start of the program.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DrainCounts {
    /// Number of connections closed.
    pub closed: u64,
    /// Number of set-ups refused because they came late in a drain.
    pub refused: u64,
}

/// What must be done to calls before their connections can be closed.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct DrainActions {
    /// Connections whose open set-ups must get their final answer now.
    pub answer_set_ups_of: Vec<Key>,
    /// Whether to cut standing calls, as no connection stays on which their ends could be sent.
    pub cut_calls: bool,
    /// Connections that stay for calls of their own; those calls are not cut.
    pub kept: BTreeSet<Key>,
}

impl Clients {
    /// Starts a drain.
    pub fn begin_drain(&mut self, now: f64) {
        self.drain = Some(Drain { started_at: now, term_logged: false });
        self.connections.values_mut().for_each(|client| client.kept_for = None);
    }

    /// Ends the drain.
    pub fn end_drain(&mut self) {
        self.drain = None;
    }

    /// Counts of what drains have done.
    pub fn drain_counts(&self) -> DrainCounts {
        self.drain_counts
    }

    /// Whether the drain closes connections as soon as nothing is pending on them, which may happen in every iteration of the
    /// event loop.
    pub fn closes_idle_immediately(&self, now: f64) -> bool {
        self.drain.as_ref().is_some_and(|drain| now - drain.started_at >= drain::BUSY_CLOSE_AFTER_S)
    }

    /// While drained, closes the connections that can go now; returns what must be done before others can. With
    /// `sent_elsewhere`, other gatekeepers send the ends of calls that have no connection here.
    pub fn drain(
        &mut self,
        now: f64,
        sent_elsewhere: bool,
        poller: &Poller,
        calls: &mut Calls,
    ) -> DrainActions {
        let Some(started_at) = self.drain.as_ref().map(|drain| drain.started_at) else {
            return DrainActions::default();
        };
        let kept = self.connections_to_keep(now, started_at, calls);
        let end_path = self.end_path(now, started_at, &kept, calls);
        let mut actions = DrainActions { kept, ..DrainActions::default() };
        let mut closing = Vec::new();
        let decide = |state: &drain::ConnectionState| match drain::decide(now, started_at, state) {
            Decision::CutCalls if sent_elsewhere => Decision::Close,
            decision => decision,
        };
        for (key, client) in &mut self.connections {
            let state = client.state(*key, end_path, calls);
            match decide(&state) {
                Decision::Close => closing.push(*key),
                Decision::AnswerSetUps => actions.answer_set_ups_of.push(*key),
                Decision::CutCalls => actions.cut_calls = true,
                Decision::Keep(reason) => client.log_kept(*key, reason, &state),
            }
        }
        for key in closing {
            let reason = |client: &mut Client, calls: &Calls| {
                let state = client.state(key, end_path, calls);
                (decide(&state) == Decision::Close).then_some(CloseReason::Drained)
            };
            self.drain_counts.closed += u64::from(self.close_if(now, key, reason, poller, calls));
        }
        if now - started_at >= drain::DROP_AFTER_S {
            self.drop_blocked(now, poller);
        }
        if actions.cut_calls {
            self.send_all_owed(now, poller, calls);
        }
        if now - started_at >= drain::DEADLINE_S {
            self.log_term(now, calls);
        }
        actions
    }

    /// Drops closed connections that still have unwritten bytes because their peers do not read.
    fn drop_blocked(&mut self, now: f64, poller: &Poller) {
        let blocked = self.closing.iter().filter(|(_, closing)| closing.is_blocked());
        let blocked: Vec<Key> = blocked.map(|(key, _)| *key).collect();
        for key in blocked {
            log::debug!(caller = key; "drain-dropped");
            self.drop_closing(now, key, CloseKind::Unknown, poller);
        }
    }

    /// Refuses a set-up if it comes late in a drain; returns whether it did.
    pub(super) fn refuse_if_draining(
        &mut self,
        now: f64,
        key: Key,
        message: &Message,
        poller: &Poller,
    ) -> bool {
        let refuses = self.drain.as_ref().is_some_and(|drain| drain::refuses_set_ups(now, drain.started_at));
        if refuses {
            let call = format_args!("{:016x}", message.call);
            log::debug!(call:%, caller = key; "set-up-refused-in-drain");
            self.drain_counts.refused += 1;
            self.refused_classes.push(class_index(message, &self.classes));
            let refusal = encode_reply(message.call, Reply::Refused(self.retry_after()));
            self.send(now, key, &refusal, BestReply::Outcome, poller);
        }
        refuses
    }

    /// Returns the connections that stay for calls of their own.
    fn connections_to_keep(&self, now: f64, started_at: f64, calls: &Calls) -> BTreeSet<Key> {
        let stays = |(key, client): &(&Key, &Client)| {
            !client.reset_seen && drain::may_remain(now, started_at, &client.state(**key, None, calls))
        };
        self.connections.iter().filter(stays).map(|(key, _)| *key).collect()
    }

    /// Returns the connection that stays for the ends of calls whose own connection does not, if there are such calls.
    fn end_path(&self, now: f64, started_at: f64, kept: &BTreeSet<Key>, calls: &Calls) -> Option<Key> {
        if self.owed_ends.is_empty() && !calls.has_standing_call_outside(|origin| kept.contains(&origin)) {
            return None;
        }
        let usable = self.connections.iter().filter(|(_, client)| !client.reset_seen);
        let fitness = |key: Key, client: &Client| {
            let (reads, may_stay, unused) =
                drain::end_delivery_rank(now, started_at, &client.state(key, None, calls));
            ((client.had_call(), reads, may_stay, client.best_reply), unused)
        };
        let fittest = usable.max_by(|(a_key, a), (b_key, b)| {
            let (a, b) = (fitness(**a_key, a), fitness(**b_key, b));
            a.0.cmp(&b.0).then(a.1.total_cmp(&b.1))
        });
        fittest.map(|(key, _)| *key)
    }

    /// Logs the connections held at the term of a drain, once.
    fn log_term(&mut self, now: f64, calls: &Calls) {
        let Some(drain) = self.drain.as_mut().filter(|drain| !drain.term_logged) else { return };
        drain.term_logged = true;
        let held = || self.connections.iter();
        let waiting = held().filter(|(key, _)| calls.open_count(**key) > 0).count();
        let standing = held().filter(|(key, _)| calls.standing_count(**key) > 0).count();
        let idle = held()
            .filter(|(key, _)| calls.open_count(**key) == 0 && calls.standing_count(**key) == 0)
            .count();
        let is_in_use =
            |client: &Client| client.last_set_up_at.is_some_and(|at| now - at < drain::IN_USE_WINDOW_S);
        let in_use = held().filter(|(_, client)| is_in_use(client)).count();
        log::info!(held = held().count(), waiting, standing, idle, in_use; "drain-term");
    }
}

impl Client {
    fn state(&self, key: Key, end_path: Option<Key>, calls: &Calls) -> drain::ConnectionState {
        drain::ConnectionState {
            since: self.connected_at,
            last_used_at: self.used_at,
            last_set_up_at: self.last_set_up_at,
            sent_anything: self.best_reply != BestReply::None,
            set_up_after_reply: self.set_up_after_reply,
            // An answer that arrived in this iteration of the event loop is not written yet.
            open: calls.open_count(key) + usize::from(calls.has_pending_reply(key)),
            standing: calls.standing_count(key),
            writing: self.connection.blocked(),
            reading: self.connection.has_partial_message(),
            delivers_other_ends: Some(key) == end_path,
        }
    }

    /// Logs why the connection stays, if the reason has changed.
    fn log_kept(&mut self, key: Key, reason: KeepReason, state: &drain::ConnectionState) {
        if self.kept_for.replace(reason) != Some(reason) {
            log::debug!(caller = key, reason:%, open = state.open, standing = state.standing; "drain-kept");
        }
    }
}
