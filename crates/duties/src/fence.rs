//! The check that refuses requests made under an old epoch of a duty, at the place where they take effect.

use std::collections::BTreeMap;

use crate::{DutyKey, Epoch, MAX_DUTIES};

/// Why a request made under a duty is not carried out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FenceError {
    /// It was made under an epoch that is over.
    #[error(
        "a request under epoch {given}, while {known} is known: its holder was paused or cut off after its last \
         check; nothing was done, and the present holder goes on"
    )]
    StaleEpoch {
        /// The epoch of the request.
        given: Epoch,
        /// The highest epoch that is known.
        known: Epoch,
    },
    /// It belongs to a duty beyond those that can be remembered.
    #[error(
        "a request under one duty more than the {MAX_DUTIES} that are known here: nothing was done; configure \
         fewer duties"
    )]
    TooManyDuties,
}

/// The highest epoch of each duty under which a request was received here. Every receiver of such requests has one.
#[derive(Clone, Debug, Default)]
pub struct Fence {
    highest: BTreeMap<DutyKey, Epoch>,
    /// Requests that were refused.
    pub refused: u64,
}

impl Fence {
    /// Accepts a request unless a later epoch of its duty is known; requests of earlier epochs are refused from then
    /// on. A refusal is no fault of the receiver.
    pub fn check(&mut self, duty: DutyKey, given: Epoch) -> Result<(), FenceError> {
        // No duty is dropped to make room for another: an old request of the dropped one would be accepted.
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

    /// The highest epoch of a duty that was received here.
    pub fn highest_epoch(&self, duty: DutyKey) -> Option<Epoch> {
        self.highest.get(&duty).copied()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_fence_refuses_an_old_epoch_and_still_accepts_the_present_one() {
        let (mut fence, duty) = (Fence::default(), DutyKey(7));
        let epoch = |round| Epoch { round, member: 1, incarnation: 0 };
        assert_eq!(fence.check(duty, epoch(3)), Ok(()));
        assert_eq!(fence.check(duty, epoch(5)), Ok(()));
        assert_eq!(
            fence.check(duty, epoch(3)),
            Err(FenceError::StaleEpoch { given: epoch(3), known: epoch(5) })
        );
        assert_eq!((fence.check(duty, epoch(5)), fence.refused), (Ok(()), 1));
        assert_eq!(fence.check(DutyKey(8), epoch(1)), Ok(()), "a request under another duty");
        let accepted = (100..1100).filter(|n| fence.check(DutyKey(*n), epoch(1)).is_ok()).count();
        assert_eq!(accepted, MAX_DUTIES - 2, "bounded, and no duty is dropped for another");
        assert!(fence.check(duty, epoch(3)).is_err());
    }
}
