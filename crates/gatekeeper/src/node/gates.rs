//! The gates that a set-up must pass before it is sent to a server.
//!
//! They are asked in this order, and the first denial is final:
//!
//! 1. `fleet` denies servers that other gatekeepers report as unusable, and all servers while this gatekeeper's own
//!    knowledge is out of date.
//! 2. `crossing` denies set-ups to other districts that are over budget.

use hollypaddle_crossing::Crossing;
use hollypaddle_policy::{Candidate, Denial, Event, Gate};
use hollypaddle_replica::guard::Guard;

/// All gates of this gatekeeper. A gate that is not configured is `None`.
#[derive(Default)]
pub struct Gates {
    /// Denies servers by what other gatekeepers report.
    pub fleet: Option<Guard>,
    /// Counts set-ups to other districts and enforces their budgets.
    pub crossing: Option<Crossing>,
}

impl Gate for Gates {
    fn on_event(&mut self, now: f64, event: &Event) {
        if let Some(fleet) = &mut self.fleet {
            fleet.on_event(now, event);
        }
        if let Some(crossing) = &mut self.crossing {
            crossing.on_event(now, event);
        }
    }

    fn may_send(&mut self, now: f64, candidate: &Candidate) -> Result<(), Denial> {
        self.fleet.as_mut().map_or(Ok(()), |fleet| fleet.may_send(now, candidate))?;
        self.crossing.as_mut().map_or(Ok(()), |crossing| crossing.may_send(now, candidate))
    }

    fn on_sent(&mut self, now: f64, candidate: &Candidate) {
        if let Some(crossing) = &mut self.crossing {
            crossing.on_sent(now, candidate);
        }
    }

    fn on_refused(&mut self, now: f64, candidate: &Candidate, denial: &Denial) {
        log::debug!(
            call = candidate.call, class = candidate.class, reason = denial.reason,
            retry_after_s = denial.retry_after;
            "call-denied"
        );
        match &mut self.fleet {
            Some(fleet) if denial.reason.starts_with("fleet-") => {
                return fleet.on_refused(now, candidate, denial);
            }
            _ => {}
        }
        if let Some(crossing) = &mut self.crossing {
            crossing.on_refused(now, candidate, denial);
        }
    }
}
