//! The gates that set-ups have to pass, in their order.
//!
//! One after the other is asked, and the first denial counts:
//!
//! 1. `crossing`: budgets for set-ups to other districts.

use hollypaddle_crossing::Crossing;
use hollypaddle_policy::{Candidate, Denial, Event, Gate};

/// All gates of this gatekeeper; one that is not configured is not there.
#[derive(Default)]
pub struct Gates {
    /// Account and budgets of what crosses districts.
    pub crossing: Option<Crossing>,
}

impl Gate for Gates {
    fn hear(&mut self, now: f64, event: &Event) {
        if let Some(crossing) = &mut self.crossing {
            crossing.hear(now, event);
        }
    }

    fn may_send(&mut self, now: f64, candidate: &Candidate) -> Result<(), Denial> {
        self.crossing.as_mut().map_or(Ok(()), |crossing| crossing.may_send(now, candidate))
    }

    fn sent(&mut self, now: f64, candidate: &Candidate) {
        if let Some(crossing) = &mut self.crossing {
            crossing.sent(now, candidate);
        }
    }

    fn turned_away(&mut self, now: f64, candidate: &Candidate, denial: &Denial) {
        log::debug!(
            call = candidate.call, class = candidate.class, reason = denial.reason,
            retry_after_s = denial.retry_after;
            "call-denied"
        );
        if let Some(crossing) = &mut self.crossing {
            crossing.turned_away(now, candidate, denial);
        }
    }
}
