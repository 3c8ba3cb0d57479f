//! Who owns a call: rendezvous hashing over the workers that serve, see `hollypaddle_ownership`.

use crate::Worker;

/// The workers that serve, as of one version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Table {
    version: u64,
    /// By seat: whether its worker serves.
    serving: Vec<bool>,
}

impl Table {
    /// The first table: so many seats, nobody serving yet.
    pub fn new(seats: u16) -> Table {
        Table { version: 1, serving: vec![false; usize::from(seats)] }
    }

    /// Its version; a later one is higher.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The next version, with one worker serving or not. A seat that is not there changes nothing but the
    /// version.
    pub fn with(&self, worker: Worker, serves: bool) -> Table {
        let mut serving = self.serving.clone();
        if let Some(seat) = serving.get_mut(usize::from(worker.0)) {
            *seat = serves;
        }
        Table { version: self.version + 1, serving }
    }

    /// Whether a worker serves.
    pub fn serves(&self, worker: Worker) -> bool {
        self.serving.get(usize::from(worker.0)).copied().unwrap_or(false)
    }

    /// The workers that serve.
    pub fn workers(&self) -> impl Iterator<Item = Worker> + '_ {
        self.serving.iter().enumerate().filter(|(_, serves)| **serves).map(|(seat, _)| Worker(seat as u16))
    }

    /// Who owns a call; nobody where none serves. Callers choose their ids, so a hash that spreads them evenly is
    /// all that is asked of it: who sends many ids to one worker finds its limits there.
    pub fn owner(&self, call: u64) -> Option<Worker> {
        hollypaddle_ownership::owner(call, self.workers().map(|w| (w, u64::from(w.0))))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn full(seats: u16) -> Table {
        (0..seats).fold(Table::new(seats), |table, seat| table.with(Worker(seat), true))
    }

    proptest! {
        /// A change moves only what it must.
        #[test]
        fn a_worker_that_goes_moves_its_own_calls_alone_and_has_them_back(
            seats in 1u16..9, gone in 0u16..9, calls in prop::collection::vec(any::<u64>(), 1..200),
        ) {
            let before = full(seats);
            let after = before.with(Worker(gone), false);
            let back = after.with(Worker(gone), gone < seats);
            for call in calls {
                let (owner, next) = (before.owner(call), after.owner(call));
                prop_assert!(next == owner || owner == Some(Worker(gone)));
                prop_assert!(next != Some(Worker(gone)) || gone >= seats);
                prop_assert_eq!(back.owner(call), owner);
            }
        }
    }

    /// Also for ids that are counted up, as most callers do.
    #[test]
    fn calls_are_divided_evenly() {
        for seats in [2u16, 4, 7] {
            let table = full(seats);
            let mut owned = vec![0u32; usize::from(seats)];
            (0..70_000u64).for_each(|call| owned[usize::from(table.owner(call << 4).unwrap().0)] += 1);
            let even = 70_000 / u32::from(seats);
            assert!(owned.iter().all(|n| n.abs_diff(even) < even / 20), "{owned:?}");
        }
        assert_eq!(Table::new(3).owner(7), None);
    }
}
