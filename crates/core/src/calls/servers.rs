//! Messages from session servers, and what became of the messages to them.

use std::rc::Rc;

use hollypaddle_policy::{CallId, Event, Outcome, PoolId, Report};

use super::{
    Attempt, Call, CallChange, Calls, Command, Effect, End, Reply, ServerConnection, State, ANY_ORIGIN,
    UNKNOWN_CLASS,
};

impl Calls {
    /// Handles a server's answer to a set-up, received on `connection`: the call is established there.
    pub fn established(
        &mut self,
        now: f64,
        pool: PoolId,
        connection: ServerConnection,
        id: u64,
        description: Option<Vec<u8>>,
    ) {
        let known = self.calls_by_id.get(&id).copied();
        if let Some((call, c)) = known.and_then(|call| Some((call, self.calls.get_mut(&call)?))) {
            match c.state {
                State::Attempting(Attempt { pool: at, sent_at, giving_up: None }) if at == pool => {
                    let (origin, bytes, class) = (c.origin, c.held_bytes(), c.class);
                    let change = CallChange::Established { id, class, pool, since: now };
                    c.content = Rc::default();
                    c.state = State::Standing { pool, connection, since: now, answer_sent: false };
                    let attempt = c.attempts.saturating_sub(1);
                    self.events.push(Event::Established { call, pool, delay: now - sent_at, attempt });
                    self.remove_open(origin, bytes);
                    *self.standing_by_origin.entry(origin).or_default() += 1;
                    self.record_change(change);
                    let reply = Reply::Established(description);
                    self.effects.push(Effect::Reply { origin, id, class, reply });
                    return;
                }
                // A repeated answer.
                State::Standing { pool: at, .. } if at == pool => return,
                // An answer to a set-up that was never sent to this pool.
                _ if !c.tried.contains(&pool) => return,
                _ => {}
            }
        } else if !self.offered_ids.contains(&id) {
            // An answer to a call that was not offered yet. A release sent now might cut that call later.
            return;
        }
        // The answer crossed the give-up. Nobody waits for this call any more, so it is released.
        self.push_command(pool, id, Command::Release);
    }

    /// Handles the end of an attempt or of a standing call, as reported by a server.
    pub fn ended(&mut self, now: f64, pool: PoolId, id: u64, end: End) {
        let known = self.calls_by_id.get(&id).copied();
        if let Some((call, c)) = known.and_then(|call| Some((call, self.calls.get_mut(&call)?))) {
            match c.state {
                State::Attempting(Attempt { pool: at, .. }) if at == pool => {
                    // `Done` before the answer means that the answer was lost: the call was established and has ended.
                    c.state = State::Pending;
                    self.events.push(c.ended(call, pool, false, end));
                    return;
                }
                State::Standing { pool: at, .. } if at == pool => {
                    let outcome = if end.outcome == Outcome::Done { Outcome::Done } else { Outcome::Reset };
                    return self.end_standing(call, pool, End { outcome, ..end });
                }
                _ => {}
            }
        }
        let (over, cut) =
            (matches!(end.outcome, Outcome::Done | Outcome::Reset), end.outcome != Outcome::Done);
        // Set-ups from before a restart were given up when the connections closed, so this is the end of a call that
        // stood then. Ends of this process's calls that crossed their give-up need no report.
        let may_predate_start = self.may_predate_start(now, id);
        if self.adopted.get(&id) == Some(&pool) {
            self.report_end(id, cut);
        } else if self.changes.is_some() {
            if over && known.is_none() && !self.offered_ids.contains(&id) {
                self.effects.push(Effect::UnknownCallEnded { pool, id, cut, may_predate_start });
            }
        } else if may_predate_start && over {
            // A server repeats an end on the next connection that is opened. Remembering the id prevents a second report
            // to a caller whose call had no answer before the restart: it would take that for a second final answer.
            self.remember_id(id);
            let reply = Reply::Ended { cut };
            self.effects.push(Effect::Reply { origin: ANY_ORIGIN, id, class: UNKNOWN_CLASS, reply });
        }
        self.events.push(Event::Load { pool, report: end.report });
    }

    pub(super) fn end_standing(&mut self, call: CallId, pool: PoolId, end: End) {
        let Some(removed) = self.remove(call) else { return };
        self.events.push(removed.ended(call, pool, true, end));
        let reply = Reply::Ended { cut: end.outcome != Outcome::Done };
        self.effects.push(Effect::Reply {
            origin: removed.origin,
            id: removed.id,
            class: removed.class,
            reply,
        });
    }

    /// Handles that an attempt's give-up was written, or was not needed.
    pub fn give_up_written(&mut self, pool: PoolId, id: u64) {
        self.end_attempt(pool, id, None);
    }

    /// Handles that an attempt was never sent, because no connection was established.
    pub fn attempt_not_sent(&mut self, pool: PoolId, id: u64) {
        self.end_attempt(pool, id, Some(Outcome::ConnectFailed));
    }

    /// Handles the loss of the connection of an attempt.
    pub fn attempt_reset(&mut self, pool: PoolId, id: u64) {
        self.end_attempt(pool, id, Some(Outcome::Reset));
    }

    fn end_attempt(&mut self, pool: PoolId, id: u64, outcome: Option<Outcome>) {
        let Some(call) = self.calls_by_id.get(&id).copied() else { return };
        let Some(c) = self.calls.get_mut(&call) else { return };
        if let State::Attempting(Attempt { pool: at, giving_up, .. }) = c.state {
            if let (true, Some(outcome)) = (at == pool, giving_up.or(outcome)) {
                c.state = State::Pending;
                self.events.push(c.ended(call, pool, false, End::with_outcome(outcome)));
            }
        }
    }

    /// Cuts all calls that stand at a pool, because its server can't report their ends. A release of each is sent to the pool as soon
    /// as it can be reached: whoever is there may still hold the calls. Returns the number of calls.
    pub fn cut_calls_at(&mut self, pool: PoolId) -> usize {
        let ids = self.standing_ids(pool, |_| true);
        let adopted = self.adopted_ids(pool);
        self.cut(pool, &ids, &adopted);
        ids.len() + adopted.len()
    }

    /// Cuts and releases the calls at a pool that were not answered on one of certain connections: nothing shows that the process
    /// that now serves there holds them. This includes adopted calls. Returns the number of calls.
    pub fn cut_calls_not_on(&mut self, pool: PoolId, is_kept: impl Fn(ServerConnection) -> bool) -> usize {
        let ids = self.standing_ids(pool, |connection| !is_kept(connection));
        let adopted = self.adopted_ids(pool);
        self.cut(pool, &ids, &adopted);
        let count = ids.len() + adopted.len();
        self.replaced.cut += count as u64;
        count
    }

    /// Cuts and releases the calls that were answered on a connection to a pool. Returns their number.
    pub fn cut_calls_on(&mut self, pool: PoolId, connection: ServerConnection) -> usize {
        let ids = self.standing_ids(pool, |on| on == connection);
        self.cut(pool, &ids, &[]);
        self.replaced.cut += ids.len() as u64;
        ids.len()
    }

    /// Whether a call stands at a pool that was answered on this connection.
    pub fn has_calls_on(&self, pool: PoolId, connection: ServerConnection) -> bool {
        self.calls.values().any(|c| {
            matches!(c.state, State::Standing { pool: at, connection: on, .. } if at == pool && on == connection)
        })
    }

    /// The ids of the calls that stand at a pool and were answered on a connection that satisfies `on`, in ascending order.
    fn standing_ids(&self, pool: PoolId, on: impl Fn(ServerConnection) -> bool) -> Vec<u64> {
        let matches = |c: &&Call| matches!(c.state, State::Standing { pool: at, connection, .. } if at == pool && on(connection));
        let mut ids: Vec<u64> = self.calls.values().filter(matches).map(|c| c.id).collect();
        ids.sort_unstable();
        ids
    }

    /// The ids of the adopted calls at a pool, in ascending order.
    fn adopted_ids(&self, pool: PoolId) -> Vec<u64> {
        let mut ids: Vec<u64> =
            self.adopted.iter().filter(|(_, at)| **at == pool).map(|(id, _)| *id).collect();
        ids.sort_unstable();
        ids
    }

    /// Ends these calls as cut, and releases them at the pool.
    fn cut(&mut self, pool: PoolId, standing: &[u64], adopted: &[u64]) {
        for id in standing {
            if let Some(call) = self.calls_by_id.get(id).copied() {
                self.end_standing(call, pool, End::with_outcome(Outcome::Reset));
            }
        }
        adopted.iter().for_each(|id| self.report_end(*id, true));
        standing.iter().chain(adopted).for_each(|id| self.push_command(pool, *id, Command::Release));
    }

    /// Moves a connection from one pool to another, as it turned out to reach the other one's process: with it go the calls that
    /// were answered on it, and the attempts `open` that are open on it. Returns the number of calls that stand.
    pub fn move_connection(
        &mut self,
        from: PoolId,
        to: PoolId,
        connection: ServerConnection,
        open: &[u64],
    ) -> usize {
        let mut moved = Vec::new();
        for call in self.calls.values_mut() {
            // An answer may come on this connection for any attempt that went to the first pool.
            if call.tried.contains(&from) && !call.tried.contains(&to) {
                call.tried.push(to);
            }
            match &mut call.state {
                State::Standing { pool, connection: on, since, .. } if *pool == from && *on == connection => {
                    *pool = to;
                    let (id, class, since) = (call.id, call.class, *since);
                    moved.push(CallChange::Established { id, class, pool: to, since });
                }
                State::Attempting(attempt) if attempt.pool == from && open.contains(&call.id) => {
                    attempt.pool = to;
                }
                _ => {}
            }
        }
        for effect in &mut self.effects {
            if let Effect::Command { pool, id, command: Command::GiveUp } = effect {
                if *pool == from && open.contains(id) {
                    *pool = to;
                }
            }
        }
        let count = moved.len();
        self.replaced.moved += count as u64;
        moved.into_iter().for_each(|change| self.record_change(change));
        count
    }

    /// Whether a call that came to this gatekeeper is standing.
    pub fn is_standing(&self, id: u64) -> bool {
        let call = self.calls_by_id.get(&id).and_then(|call| self.calls.get(call));
        call.is_some_and(|c| !c.is_open())
    }

    /// Whether a call has no final answer yet: an attempt is open or may still follow.
    pub fn is_open(&self, id: u64) -> bool {
        let call = self.calls_by_id.get(&id).and_then(|call| self.calls.get(call));
        call.is_some_and(Call::is_open)
    }

    /// Whether a call is standing at a pool, or has an open attempt there.
    pub fn is_at(&self, pool: PoolId, id: u64) -> bool {
        let call = self.calls_by_id.get(&id).and_then(|call| self.calls.get(call));
        call.is_some_and(|c| match c.state {
            State::Pending => false,
            State::Attempting(Attempt { pool: at, .. }) | State::Standing { pool: at, .. } => at == pool,
        }) || self.adopted.get(&id) == Some(&pool)
    }

    /// Whether any call is standing at a pool, or has an open attempt there.
    pub fn has_calls_at(&self, pool: PoolId) -> bool {
        self.calls.values().any(|c| match c.state {
            State::Pending => false,
            State::Attempting(Attempt { pool: at, .. }) | State::Standing { pool: at, .. } => at == pool,
        }) || self.adopted.values().any(|at| *at == pool)
    }

    /// Handles a server's load report that belongs to no call.
    pub fn load_reported(&mut self, pool: PoolId, report: Report) {
        self.events.push(Event::Load { pool, report });
    }
}
