//! Changes of calls that are reported to other gatekeepers, and standing calls that are adopted from them.

use hollypaddle_policy::{Outcome, PoolId};

use super::{Call, CallChange, Calls, Effect, End, Reply, State, ANY_ORIGIN, UNKNOWN_CLASS};

impl Calls {
    /// Starts or stops recording changes of standing calls. At the start the calls that stand now are recorded; at the
    /// stop the adopted calls are forgotten.
    pub fn record_changes(&mut self, on: bool) {
        self.changes = on.then(Vec::new);
        let standing: Vec<CallChange> = (self.calls.values())
            .filter_map(|c| match c.state {
                State::Standing { pool, since, .. } => {
                    Some(CallChange::Established { id: c.id, class: c.class, pool, since })
                }
                _ => None,
            })
            .collect();
        standing.into_iter().for_each(|change| self.record_change(change));
        if !on {
            self.adopted.clear();
        }
    }

    pub(super) fn record_change(&mut self, change: CallChange) {
        if let Some(changes) = &mut self.changes {
            changes.push(change);
        }
    }

    /// Returns the changes since the last call of this function.
    pub fn take_changes(&mut self) -> Vec<CallChange> {
        self.changes.as_mut().map(std::mem::take).unwrap_or_default()
    }

    /// Takes over a standing call of a gatekeeper that is gone: its end is handled here from now on. Has no effect if this
    /// gatekeeper has a call with the same id.
    pub fn adopt(&mut self, id: u64, pool: PoolId) {
        if !self.calls_by_id.contains_key(&id) {
            self.adopted.insert(id, pool);
        }
    }

    /// Drops an adopted call: another gatekeeper handles it again, or it has ended and its caller knows.
    pub fn drop_adopted(&mut self, id: u64) {
        self.adopted.remove(&id);
    }

    /// Removes a standing call of this gatekeeper whose caller was told of the end by another gatekeeper. Sends nothing.
    pub fn ended_elsewhere(&mut self, id: u64) {
        let standing = |c: &Call| match c.state {
            State::Standing { pool, .. } => Some(pool),
            _ => None,
        };
        let Some(call) = self.calls_by_id.get(&id).copied() else { return };
        if let Some(pool) = self.calls.get(&call).and_then(standing) {
            if let Some(removed) = self.remove(call) {
                self.events.push(removed.ended(call, pool, true, End::with_outcome(Outcome::Done)));
            }
        }
    }

    /// The number of adopted calls.
    pub fn adopted_count(&self) -> usize {
        self.adopted.len()
    }

    /// Records that a caller released a standing call of another gatekeeper.
    pub fn released_elsewhere(&mut self, id: u64) {
        self.record_change(CallChange::Ended { id });
    }

    /// Reports the end of a call that is not known here to its caller, on any connection. Has no effect on an open call of this
    /// gatekeeper: its caller would take the end for the final answer.
    pub fn report_end(&mut self, id: u64, cut: bool) {
        if self.is_open(id) {
            return;
        }
        self.adopted.remove(&id);
        self.record_change(CallChange::Ended { id });
        let reply = Reply::Ended { cut };
        self.effects.push(Effect::Reply { origin: ANY_ORIGIN, id, class: UNKNOWN_CLASS, reply });
    }
}
