//! Calls that end early, as the connections of a drained gatekeeper must go.

use super::{repeatable, Gatekeeper};

/// Calls that were ended in drains since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct DrainedCalls {
    /// Set-ups that got their final answer before a server gave one.
    pub answered: u64,
    /// Calls that stood and were cut.
    pub cut: u64,
}

impl Gatekeeper {
    /// While drained, lets connections go, and ends the calls that keep those which must not stay.
    pub(super) fn drain(&mut self, now: f64) {
        // Members of a fleet tell the ends that cannot be told here.
        let fleet = self.subjects.fellows.fleet.as_ref();
        let told_elsewhere = fleet.is_some_and(|fleet| fleet.others_have_callers());
        let actions = self.clients.drain(now, told_elsewhere, &self.watch, &mut self.calls);
        for origin in actions.answer_set_ups_of {
            let open = self.calls.open_from(origin);
            log::info!(caller = origin, open; "drain-set-ups-answered");
            self.drained_calls.answered += open as u64;
            self.calls.answer_from(origin, repeatable(&self.classes), self.clients.retry_after());
        }
        if actions.cut_calls {
            let cut = self.calls.cut_standing(|origin| !actions.kept.contains(&origin));
            log::warn!(calls = cut; "drain-calls-cut");
            self.drained_calls.cut += cut as u64;
        }
    }
}
