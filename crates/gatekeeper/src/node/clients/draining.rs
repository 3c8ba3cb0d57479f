//! Connections of callers while the gatekeeper is drained.

use std::collections::BTreeSet;

use hollypaddle_core::calls::{Calls, Reply};
use hollypaddle_platform::connection::Over;
use hollypaddle_platform::message::Message;
use hollypaddle_service::drain::{self, Decision, KeptFor};

use super::reply::encode;
use super::set_up::request_class;
use super::{BestReply, Client, Clients};
use crate::node::delivery::Closed;
use crate::node::poller::{Key, Poller};

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
    /// Set-ups that were refused, as they came late in a drain.
    pub refused: u64,
}

/// What is to be done to calls before connections can be closed.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct DrainActions {
    /// The connections whose open set-ups get their final answer now.
    pub answer_set_ups_of: Vec<Key>,
    /// Calls that stand are cut, as no connection stays on which their ends could be told.
    pub cut_calls: bool,
    /// The connections that stay for calls of their own, which are not cut.
    pub kept: BTreeSet<Key>,
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

    /// Whether connections are closed as soon as they wait for nothing, so that every turn may bring one.
    pub fn closes_idle_immediately(&self, now: f64) -> bool {
        self.drain.as_ref().is_some_and(|drain| now - drain.began >= drain::FIRM_AFTER_S)
    }

    /// While drained, closes the connections that are to be let go; returns what is to be done before others can be. With
    /// `told_elsewhere`, others tell the ends for which no caller is here.
    pub fn drain(
        &mut self,
        now: f64,
        told_elsewhere: bool,
        poller: &Poller,
        calls: &mut Calls,
    ) -> DrainActions {
        let Some(began) = self.drain.as_ref().map(|drain| drain.began) else {
            return DrainActions::default();
        };
        let staying = self.staying(now, began, calls);
        let end_path = self.end_path(now, began, &staying, calls);
        let mut actions = DrainActions { kept: staying, ..DrainActions::default() };
        let mut closing = Vec::new();
        let decide = |state: &drain::Connection| match drain::decide(now, began, state) {
            Decision::CutCalls if told_elsewhere => Decision::Close,
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
                (decide(&state) == Decision::Close).then_some(Over::Drained)
            };
            self.drain_counts.closed += u64::from(self.close_if(now, key, reason, poller, calls));
        }
        if now - began >= drain::DROP_AFTER_S {
            self.drop_blocked(now, poller);
        }
        if actions.cut_calls {
            self.send_all_undelivered(now, poller, calls);
        }
        if now - began >= drain::TERM_S {
            self.log_term(now, calls);
        }
        actions
    }

    /// Drops the closed connections whose peers do not read what was sent before the close.
    fn drop_blocked(&mut self, now: f64, poller: &Poller) {
        let blocked = self.closing.iter().filter(|(_, closing)| closing.is_blocked());
        let blocked: Vec<Key> = blocked.map(|(key, _)| *key).collect();
        for key in blocked {
            log::debug!(caller = key; "drain-dropped");
            self.drop_closing(now, key, Closed::Unknown, poller);
        }
    }

    /// Refuses a set-up that comes late in a drain; returns whether it did.
    pub(super) fn refuse_drained(&mut self, now: f64, key: Key, message: &Message, poller: &Poller) -> bool {
        let refuses = self.drain.as_ref().is_some_and(|drain| drain::refuses_set_ups(now, drain.began));
        if refuses {
            let call = format_args!("{:016x}", message.call);
            log::debug!(call:%, caller = key; "set-up-refused-in-drain");
            self.drain_counts.refused += 1;
            self.refused_classes.push(request_class(message, &self.classes));
            let refusal = encode(message.call, Reply::Refused(self.retry_after()));
            self.send(now, key, &refusal, BestReply::Outcome, poller);
        }
        refuses
    }

    /// The connections that stay for calls of their own.
    fn staying(&self, now: f64, began: f64, calls: &Calls) -> BTreeSet<Key> {
        let stays = |(key, client): &(&Key, &Client)| {
            !client.reset_seen && drain::may_stay(now, began, &client.state(**key, None, calls))
        };
        self.connections.iter().filter(stays).map(|(key, _)| *key).collect()
    }

    /// The connection that stays for the ends of calls whose own does not, while there are any.
    fn end_path(&self, now: f64, began: f64, staying: &BTreeSet<Key>, calls: &Calls) -> Option<Key> {
        if self.undelivered.is_empty() && !calls.has_standing_call_outside(|origin| staying.contains(&origin))
        {
            return None;
        }
        let usable = self.connections.iter().filter(|(_, client)| !client.reset_seen);
        let fitness = |key: Key, client: &Client| {
            let (reads, may_stay, unused) =
                drain::fitness_for_ends(now, began, &client.state(key, None, calls));
            ((reads, may_stay, client.best_reply), unused)
        };
        let fittest = usable.max_by(|(a_key, a), (b_key, b)| {
            let (a, b) = (fitness(**a_key, a), fitness(**b_key, b));
            a.0.cmp(&b.0).then(a.1.total_cmp(&b.1))
        });
        fittest.map(|(key, _)| *key)
    }

    /// Logs once what is held at the term of a drain.
    fn log_term(&mut self, now: f64, calls: &Calls) {
        let Some(drain) = self.drain.as_mut().filter(|drain| !drain.term_logged) else { return };
        drain.term_logged = true;
        let held = || self.connections.iter();
        let waiting = held().filter(|(key, _)| calls.open_count(**key) > 0).count();
        let standing = held().filter(|(key, _)| calls.standing_count(**key) > 0).count();
        let idle = held()
            .filter(|(key, _)| calls.open_count(**key) == 0 && calls.standing_count(**key) == 0)
            .count();
        let is_in_use = |client: &Client| client.asked_at.is_some_and(|at| now - at < drain::IN_USE_S);
        let in_use = held().filter(|(_, client)| is_in_use(client)).count();
        log::info!(held = held().count(), waiting, standing, idle, in_use; "drain-term");
    }
}

impl Client {
    fn state(&self, key: Key, end_path: Option<Key>, calls: &Calls) -> drain::Connection {
        drain::Connection {
            since: self.since,
            used_at: self.used_at,
            asked_at: self.asked_at,
            told: self.best_reply != BestReply::None,
            asks_again: self.asked_again_at.is_some(),
            // An answer that came in this turn is not written yet.
            open: calls.open_count(key) + usize::from(calls.has_pending_reply(key)),
            standing: calls.standing_count(key),
            writing: self.connection.blocked(),
            reading: self.connection.holds_part(),
            end_path: Some(key) == end_path,
        }
    }

    /// Logs why it stays, where that is another reason than before.
    fn log_kept(&mut self, key: Key, reason: KeptFor, state: &drain::Connection) {
        if self.kept_for.replace(reason) != Some(reason) {
            log::debug!(caller = key, reason:%, open = state.open, standing = state.standing; "drain-kept");
        }
    }
}
