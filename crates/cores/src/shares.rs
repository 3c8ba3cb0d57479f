//! How limits of the whole process are divided among its workers, so that together they keep what one kept.

use hollypaddle_policy::Settings;

/// The settings of one of so many workers. To the decision module a worker is one front of a larger fleet:
/// cold budgets, probes and what it takes for its part of the servers are all shares of the fronts told.
///
/// Where a limit is of single calls (attempts, times) it stays. A tenant's quota counts over all fronts and
/// stays too.
pub fn settings(whole: &Settings, workers: u16) -> Settings {
    let workers = u32::from(workers.max(1));
    Settings { gatekeepers: whole.gatekeepers.max(1).saturating_mul(workers), ..whole.clone() }
}

/// A worker's part of a count that the whole process keeps, as connections or calls held: the parts add up to the
/// whole, and differ by one at most.
pub fn part(whole: usize, workers: u16, seat: u16) -> usize {
    let (workers, seat) = (usize::from(workers.max(1)), usize::from(seat));
    whole / workers + usize::from(seat < whole % workers)
}

#[cfg(test)]
mod tests {
    use super::part;
    use proptest::prelude::*;

    proptest! {
        #[test]
        fn parts_add_up(whole in 0usize..100_000, workers in 1u16..65) {
            let parts: Vec<usize> = (0..workers).map(|seat| part(whole, workers, seat)).collect();
            prop_assert_eq!(parts.iter().sum::<usize>(), whole);
            let (least, most) = (parts.iter().min().unwrap(), parts.iter().max().unwrap());
            prop_assert!(most - least <= 1);
        }
    }
}
