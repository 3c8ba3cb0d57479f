//! The last look at an order given under a duty, where its effect lands.

use std::collections::BTreeMap;

use crate::{DutyKey, Epoch, MAX_DUTIES};

/// Why an order is not carried out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FenceError {
    /// It comes under an epoch that is over.
    #[error(
        "an order under epoch {given}, while {known} is known: its holder was paused or cut off after its last look; nothing \
         was done, and the present holder goes on"
    )]
    StaleEpoch {
        /// Under which it came.
        given: Epoch,
        /// Which is known.
        known: Epoch,
    },
    /// It is of a duty beyond those that can be kept in mind.
    #[error("an order of one duty more than the {MAX_DUTIES} that are known here: nothing was done; name fewer duties")]
    TooManyDuties,
}

/// The highest epoch of each duty under which an order came here. Whoever takes orders has one.
#[derive(Clone, Debug, Default)]
pub struct Fence {
    highest: BTreeMap<DutyKey, Epoch>,
    /// Orders that were refused.
    pub refused: u64,
}

impl Fence {
    /// Lets an order pass, and none of an earlier epoch after it. One that is refused is the fault of nobody here.
    pub fn check(&mut self, duty: DutyKey, given: Epoch) -> Result<(), FenceError> {
        // None is forgotten for another: an old order of that one would pass.
        if self.highest.len() >= MAX_DUTIES && !self.highest.contains_key(&duty) {
            self.refused += 1;
            return Err(FenceError::TooManyDuties);
        }
        let known = self.highest.entry(duty).or_insert(given);
        if given < *known {
            self.refused += 1;
            return Err(FenceError::StaleEpoch { given, known: *known });
        }
        *known = given;
        Ok(())
    }

    /// The highest epoch of a duty that came here.
    pub fn highest_epoch(&self, duty: DutyKey) -> Option<Epoch> {
        self.highest.get(&duty).copied()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn an_order_under_an_old_epoch_is_refused_and_the_present_one_goes_on() {
        let (mut fence, duty) = (Fence::default(), DutyKey(7));
        let epoch = |round| Epoch { round, member: 1, incarnation: 0 };
        assert_eq!(fence.check(duty, epoch(3)), Ok(()));
        assert_eq!(fence.check(duty, epoch(5)), Ok(()));
        assert_eq!(
            fence.check(duty, epoch(3)),
            Err(FenceError::StaleEpoch { given: epoch(3), known: epoch(5) })
        );
        assert_eq!((fence.check(duty, epoch(5)), fence.refused), (Ok(()), 1));
        assert_eq!(fence.check(DutyKey(8), epoch(1)), Ok(()), "of another duty");
        let passed = (100..1100).filter(|n| fence.check(DutyKey(*n), epoch(1)).is_ok()).count();
        assert_eq!(passed, MAX_DUTIES - 2, "bounded, and none is forgotten for another");
        assert!(fence.check(duty, epoch(3)).is_err());
    }
}
