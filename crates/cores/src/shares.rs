//! Divides the limits of the whole process among its workers, so that the workers together keep them.

use hollypaddle_policy::Settings;

/// Returns the settings of one of `workers` workers. The decision module sees each worker as one gatekeeper of
/// a larger fleet: cold budgets, probes and its part of the servers all follow from the number of gatekeepers
/// in the settings.
///
/// Limits of a single call (attempts, times) stay. The quota of a tenant counts over all gatekeepers and stays
/// too.
pub fn worker_settings(whole: &Settings, workers: u16) -> Settings {
    let workers = u32::from(workers.max(1));
    Settings { gatekeepers: whole.gatekeepers.max(1).saturating_mul(workers), ..whole.clone() }
}

/// Returns the part of the worker in `slot` of a count that the whole process limits, such as connections or
/// calls held. The parts add up to the whole and differ by at most one.
pub fn worker_part(whole: usize, workers: u16, slot: u16) -> usize {
    let (workers, slot) = (usize::from(workers.max(1)), usize::from(slot));
    whole / workers + usize::from(slot < whole % workers)
}

#[cfg(test)]
mod tests {
    use super::worker_part;
    use proptest::prelude::*;

    proptest! {
        #[test]
        fn worker_parts_add_up_to_the_whole_and_differ_by_at_most_one(whole in 0usize..100_000, workers in 1u16..65) {
            let parts: Vec<usize> = (0..workers).map(|slot| worker_part(whole, workers, slot)).collect();
            prop_assert_eq!(parts.iter().sum::<usize>(), whole);
            let (least, most) = (parts.iter().min().unwrap(), parts.iter().max().unwrap());
            prop_assert!(most - least <= 1);
        }
    }
}
