//! Decides which worker owns a call, by rendezvous hashing over the workers that serve; see
//! `hollypaddle_ownership`.

use crate::Worker;

/// The workers that serve, as of one version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OwnershipTable {
    version: u64,
    /// Whether the worker serves, by slot.
    serving: Vec<bool>,
}

impl OwnershipTable {
    /// Creates the first table: `slots` slots, in which no worker serves yet.
    pub fn new(slots: u16) -> OwnershipTable {
        OwnershipTable { version: 1, serving: vec![false; usize::from(slots)] }
    }

    /// The version of the table; each later table has a higher one.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the next version of the table, in which `worker` serves or not. For a slot that does not exist
    /// only the version changes.
    pub fn with_serving(&self, worker: Worker, serves: bool) -> OwnershipTable {
        let mut serving = self.serving.clone();
        if let Some(slot) = serving.get_mut(usize::from(worker.0)) {
            *slot = serves;
        }
        OwnershipTable { version: self.version + 1, serving }
    }

    /// Whether a worker serves.
    pub fn is_serving(&self, worker: Worker) -> bool {
        self.serving.get(usize::from(worker.0)).copied().unwrap_or(false)
    }

    /// Iterates over the workers that serve.
    pub fn serving_workers(&self) -> impl Iterator<Item = Worker> + '_ {
        self.serving.iter().enumerate().filter(|(_, serves)| **serves).map(|(slot, _)| Worker(slot as u16))
    }

    /// Returns the owner of a call, or `None` if no worker serves. Callers choose their call ids, so the hash
    /// only has to spread them evenly: a caller that sends many ids to one worker meets the limits of that
    /// worker.
    pub fn owner(&self, call: u64) -> Option<Worker> {
        hollypaddle_ownership::owner(call, self.serving_workers().map(|w| (w, u64::from(w.0))))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn full(slots: u16) -> OwnershipTable {
        (0..slots).fold(OwnershipTable::new(slots), |table, slot| table.with_serving(Worker(slot), true))
    }

    proptest! {
        /// A change moves only the calls of the worker that changed.
        #[test]
        fn only_the_calls_of_a_removed_worker_move_and_they_return_with_it(
            slots in 1u16..9, gone in 0u16..9, calls in prop::collection::vec(any::<u64>(), 1..200),
        ) {
            let before = full(slots);
            let after = before.with_serving(Worker(gone), false);
            let back = after.with_serving(Worker(gone), gone < slots);
            for call in calls {
                let (owner, next) = (before.owner(call), after.owner(call));
                prop_assert!(next == owner || owner == Some(Worker(gone)));
                prop_assert!(next != Some(Worker(gone)) || gone >= slots);
                prop_assert_eq!(back.owner(call), owner);
            }
        }
    }

    /// The ids are sequential, as most callers choose them.
    #[test]
    fn sequential_call_ids_are_divided_evenly_among_workers() {
        for slots in [2u16, 4, 7] {
            let table = full(slots);
            let mut owned = vec![0u32; usize::from(slots)];
            (0..70_000u64).for_each(|call| owned[usize::from(table.owner(call << 4).unwrap().0)] += 1);
            let even = 70_000 / u32::from(slots);
            assert!(owned.iter().all(|n| n.abs_diff(even) < even / 20), "{owned:?}");
        }
        assert_eq!(OwnershipTable::new(3).owner(7), None);
    }
}
