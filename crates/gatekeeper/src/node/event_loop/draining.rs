//! Ends calls early while the gatekeeper is drained, because their connections must be closed.

use super::{repeatable, Gatekeeper};

/// The number of calls that were ended by drains since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct DrainedCalls {
    /// Set-ups that got their final answer before a server answered.
    pub answered: u64,
    /// Standing calls that were cut.
    pub cut: u64,
}

impl Gatekeeper {
    /// Closes connections while the gatekeeper is drained, and ends the calls that keep connections open for too long.
    pub(super) fn drain(&mut self, now: f64) {
        // Other members of the fleet report the ends that can't be reported here.
        let fleet = self.components.fleet.joined.as_ref();
        let reported_elsewhere = fleet.is_some_and(|fleet| fleet.others_have_callers());
        let actions = self.clients.drain(now, reported_elsewhere, &self.poller, &mut self.calls);
        for origin in actions.answer_set_ups_of {
            let open = self.calls.open_count(origin);
            log::info!(caller = origin, open; "drain-set-ups-answered");
            self.drained_calls.answered += open as u64;
            self.calls.answer_origin(origin, repeatable(&self.classes), self.clients.retry_after());
        }
        if actions.cut_calls {
            let cut = self.calls.cut_standing(|origin| !actions.kept.contains(&origin));
            log::warn!(calls = cut; "drain-calls-cut");
            self.drained_calls.cut += cut as u64;
        }
    }
}
