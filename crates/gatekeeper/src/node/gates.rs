//! The gates that set-ups have to pass, in their order.
//!
//! One after the other is asked, and the first denial counts:
//!
//! 1. `fleet`: what other gatekeepers know of servers, and nothing at all while what is believed here is old.
//! 2. `crossing`: budgets for set-ups to other districts.

use hollypaddle_crossing::Crossing;
use hollypaddle_policy::{Candidate, Denial, Event, Gate};
use hollypaddle_replica::guard::Guard;

/// All gates of this gatekeeper; one that is not configured is not there.
#[derive(Default)]
pub struct Gates {
    /// What other gatekeepers know.
    pub fleet: Option<Guard>,
    /// Account and budgets of what crosses districts.
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
