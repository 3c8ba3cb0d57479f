//! Which candidate owns a key, by rendezvous hashing.
//!
//! Each candidate's weight for a key is a hash of both, and the one with the greatest weight owns the key. So a
//! candidate that leaves moves only its own keys, evenly to the others, and gets the same ones back when it returns.
//! All members that see the same candidates name the same owner without exchanging a message.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns the owner of a key among candidates, each given with the seed of its hash; `None` if there is no
/// candidate. Of equal weights the greater candidate wins, so the order of the candidates does not matter.
pub fn owner<C: Copy + Ord>(key: u64, candidates: impl IntoIterator<Item = (C, u64)>) -> Option<C> {
    let weight = |(candidate, seed): (C, u64)| (xxh3_64_with_seed(&key.to_le_bytes(), seed), candidate);
    candidates.into_iter().map(weight).max().map(|(_, candidate)| candidate)
}

#[cfg(test)]
mod tests {
    use super::owner;
    use proptest::prelude::*;

    proptest! {
        /// A candidate that leaves moves only its own keys, in whichever order the others are listed.
        #[test]
        fn removing_a_candidate_moves_only_the_keys_it_owned(keys in prop::collection::vec(any::<u64>(), 1..100), gone in 0u64..7) {
            let all = |reverse: bool| {
                let mut candidates: Vec<(u64, u64)> = (0..7).map(|n| (n, n * 977)).collect();
                if reverse {
                    candidates.reverse();
                }
                candidates
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
