//! The last look at an order given under a duty, where its effect lands.

use std::collections::BTreeMap;

use crate::{DutyKey, Epoch, MOST_DUTIES};

/// An order under an epoch that is over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error(
    "an order under epoch {given}, while {known} is known: its holder was paused or cut off after its last look; nothing \
     was done, and the present holder goes on"
)]
pub struct StaleEpoch {
    /// Under which it came.
    pub given: Epoch,
    /// Which is known.
    pub known: Epoch,
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
    pub fn pass(&mut self, duty: DutyKey, given: Epoch) -> Result<(), StaleEpoch> {
        // A bound on what others may name; beyond it the oldest goes, which others that know it still refuse.
        if self.highest.len() >= MOST_DUTIES && !self.highest.contains_key(&duty) {
            self.highest.pop_first();
        }
        let known = self.highest.entry(duty).or_insert(given);
        if given < *known {
            self.refused += 1;
            return Err(StaleEpoch { given, known: *known });
        }
        *known = given;
        Ok(())
    }

    /// The highest epoch of a duty that came here.
    pub fn highest(&self, duty: DutyKey) -> Option<Epoch> {
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
        assert_eq!(fence.pass(duty, epoch(3)), Ok(()));
        assert_eq!(fence.pass(duty, epoch(5)), Ok(()));
        assert_eq!(fence.pass(duty, epoch(3)), Err(StaleEpoch { given: epoch(3), known: epoch(5) }));
        assert_eq!((fence.pass(duty, epoch(5)), fence.refused), (Ok(()), 1));
        assert_eq!(fence.pass(DutyKey(8), epoch(1)), Ok(()), "of another duty");
        (100..1100).for_each(|n| fence.pass(DutyKey(n), epoch(1)).unwrap());
        assert!(fence.highest.len() <= MOST_DUTIES);
    }
}
