//! Messages from callers.

use hollypaddle_policy::{CallId, Event, Outcome};

use super::{
    CallChange, Calls, Command, Effect, End, Origin, State, MAX_STRAY_RELEASES, STRAY_RELEASES_PER_S,
};

impl Calls {
    /// Handles a release that came on the connection `origin`: it gives up a set-up of that connection, or ends a standing call of
    /// any. The open set-up of another connection is left alone, as its caller still waits for the final answer.
    pub fn caller_release(&mut self, now: f64, origin: Origin, id: u64) {
        let Some(call) = self.calls_by_id.get(&id).copied() else {
            return self.release_unknown_call(now, id);
        };
        if self.calls.get(&call).is_some_and(|c| c.accepts_release_from(origin)) {
            self.release(call);
        } else {
            log::debug!(call:% = format_args!("{id:016x}"), caller = origin; "release-ignored");
        }
    }

    /// Handles that a caller was sent the answer that establishes its call.
    pub fn answer_sent(&mut self, id: u64) {
        let call = self.calls_by_id.get(&id).and_then(|call| self.calls.get_mut(call));
        if let Some(State::Standing { answer_sent, .. }) = call.map(|c| &mut c.state) {
            *answer_sent = true;
        }
    }

    /// Handles that the answer could not be sent, because the caller left before it: the call is released at its server.
    pub fn answer_not_sent(&mut self, id: u64) {
        if let Some(call) = self.calls_by_id.get(&id).copied() {
            self.release(call);
        }
    }

    /// Removes a call that its caller gave up or ended, and tells its server and the decision module.
    fn release(&mut self, call: CallId) {
        let Some(removed) = self.remove(call) else { return };
        // The call was given up before the module handled it, so it is neither decided nor counted. Otherwise a flood of
        // such calls would be ranked with other callers' calls and outnumber them.
        if self.queued_offers.remove(&call) {
            self.has_withdrawn = true;
            return;
        }
        match removed.state {
            State::Standing { pool, .. } => {
                self.push_command(pool, removed.id, Command::Release);
                self.events.push(removed.ended(call, pool, true, End::with_outcome(Outcome::Cancelled)));
            }
            State::Attempting(_) | State::Pending => {
                self.events.push(Event::Abandoned { call });
                self.give_up_removed(call, &removed);
            }
        }
    }

    /// Handles the release of a call that is not one of this process: an adopted call, or possibly one that stood through this
    /// gatekeeper before a restart. The server of the latter is not known.
    fn release_unknown_call(&mut self, now: f64, id: u64) {
        if let Some(pool) = self.adopted.remove(&id) {
            self.record_change(CallChange::Ended { id });
            return self.push_command(pool, id, Command::Release);
        }
        let release_everywhere = self.may_predate_start(now, id) && self.take_stray_token(now);
        match self.changes.is_some() {
            true => self.effects.push(Effect::UnknownCallReleased { id, release_everywhere }),
            false if release_everywhere => self.effects.push(Effect::ReleaseEverywhere { id }),
            false => {}
        }
    }

    /// Takes a token for a release that goes to every server; returns whether there was one.
    fn take_stray_token(&mut self, now: f64) -> bool {
        let (left, at) = self.stray_tokens;
        let left = (left + (now - at) * STRAY_RELEASES_PER_S).min(MAX_STRAY_RELEASES);
        let is_available = left >= 1.0;
        self.stray_tokens = (if is_available { left - 1.0 } else { left }, now);
        is_available
    }

    /// Gives up the open set-ups of a caller's connection that was lost. Standing calls belong to no connection and stay.
    pub fn origin_lost(&mut self, now: f64, origin: Origin) {
        for id in self.open_ids(origin) {
            self.caller_release(now, origin, id);
        }
    }

    /// Whether an id may belong to a call that stood through this gatekeeper before it was restarted.
    pub(super) fn may_predate_start(&self, now: f64, id: u64) -> bool {
        now - self.started < self.earlier_calls_s && !self.offered_ids.contains(&id)
    }
}
