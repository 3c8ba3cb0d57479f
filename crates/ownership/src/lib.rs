//! Who owns a key: rendezvous hashing.
//!
//! Each candidate's weight for a key is a hash of both, and the heaviest owns it. So one that goes away moves its own
//! keys alone, evenly to the others, and takes the same ones back when it returns; and all who see the same
//! candidates name the same owner without a word.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The owner of a key among candidates, each with the seed that stands for it; nobody where there is none. Equal
/// weights go to the greater candidate, so that the order in which they are named does not matter.
pub fn owner<C: Copy + Ord>(key: u64, candidates: impl IntoIterator<Item = (C, u64)>) -> Option<C> {
    let weight = |(candidate, seed): (C, u64)| (xxh3_64_with_seed(&key.to_le_bytes(), seed), candidate);
    candidates.into_iter().map(weight).max().map(|(_, candidate)| candidate)
}

#[cfg(test)]
mod tests {
    use super::owner;
    use proptest::prelude::*;

    proptest! {
        /// A candidate that goes moves its own keys alone, whatever the order in which the others are named.
        #[test]
        fn only_the_keys_of_the_one_that_went_move(keys in prop::collection::vec(any::<u64>(), 1..100), gone in 0u64..7) {
            let all = |reverse: bool| {
                let mut names: Vec<(u64, u64)> = (0..7).map(|n| (n, n * 977)).collect();
                if reverse {
                    names.reverse();
                }
                names
            };
            for key in keys {
                let before = owner(key, all(false));
                prop_assert_eq!(owner(key, all(true)), before);
                let after = owner(key, all(true).into_iter().filter(|c| c.0 != gone));
                prop_assert!(after == before || before == Some(gone));
                prop_assert!(after != Some(gone));
            }
        }
    }
}
