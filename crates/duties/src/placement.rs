//! Which member should hold which duty: orders the candidates of each duty by weight, so that duties are distributed
//! fairly and few of them move as members come and go.

use std::collections::BTreeMap;

use hollypaddle_membership::MemberId;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::DutyKey;

/// A member that may hold duties, and its weight.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// The member.
    pub member: MemberId,
    /// Its weight relative to the other candidates; a member of weight 0 holds no duty.
    pub weight: f64,
}

/// The score of weighted rendezvous hashing: -weight / ln(u), with u drawn by a hash of duty and candidate.
fn score(duty: DutyKey, candidate: &Candidate) -> f64 {
    let hash = xxh3_64_with_seed(&duty.0.to_le_bytes(), candidate.member.0);
    let u = ((hash >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
    -candidate.weight / u.ln()
}

/// Returns the candidates of a duty in order of preference; the first one should hold it. Candidates that already
/// hold their fair part of all `duties` come last, so that nobody gets more than its part while others have room.
/// `held` is the number of duties that each member holds.
pub fn candidate_order(
    duty: DutyKey,
    candidates: &[Candidate],
    held: &BTreeMap<MemberId, usize>,
    duties: usize,
) -> Vec<MemberId> {
    let sum: f64 = candidates.iter().map(|c| c.weight).sum();
    let full = |c: &Candidate| {
        let part = (duties as f64 * c.weight / sum.max(f64::MIN_POSITIVE)).ceil();
        held.get(&c.member).copied().unwrap_or(0) as f64 >= part
    };
    let mut all: Vec<(bool, f64, MemberId)> = (candidates.iter())
        .filter(|c| c.weight > 0.0 && c.weight.is_finite())
        .map(|c| (full(c), score(duty, c), c.member))
        .collect();
    all.sort_by(|a, b| a.0.cmp(&b.0).then(b.1.total_cmp(&a.1)).then(a.2.cmp(&b.2)));
    all.into_iter().map(|(.., member)| member).collect()
}

/// Whether a member holds so many duties that it should hand one over. It must exceed its fair part by more than one,
/// so that no duty moves back and forth.
pub fn holds_too_many(
    own: MemberId,
    candidates: &[Candidate],
    held: &BTreeMap<MemberId, usize>,
    duties: usize,
) -> bool {
    let sum: f64 = candidates.iter().map(|c| c.weight).sum();
    let Some(me) = candidates.iter().find(|c| c.member == own) else { return false };
    let part = duties as f64 * me.weight / sum.max(f64::MIN_POSITIVE);
    held.get(&own).copied().unwrap_or(0) as f64 > part.ceil() + 1.0
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn candidates_of(weights: &[f64]) -> Vec<Candidate> {
        let one =
            |(n, weight): (usize, &f64)| Candidate { member: MemberId(n as u64 * 977 + 5), weight: *weight };
        weights.iter().enumerate().map(one).collect()
    }

    /// Assigns duties one by one and checks that each member gets a number proportional to its weight.
    #[test]
    fn assigned_duties_are_proportional_to_the_weights_of_the_candidates() {
        for weights in [vec![1.0; 3], vec![1.0, 2.0, 3.0], vec![1.0; 8], vec![4.0, 1.0], vec![1.0, 0.0, 1.0]]
        {
            let candidates = candidates_of(&weights);
            let duties = 120;
            let mut held: BTreeMap<MemberId, usize> = BTreeMap::new();
            for n in 0..duties {
                let to = candidate_order(DutyKey(n * 7919), &candidates, &held, duties as usize)[0];
                *held.entry(to).or_default() += 1;
            }
            let sum: f64 = weights.iter().sum();
            for c in &candidates {
                let part = duties as f64 * c.weight / sum;
                let got = held.get(&c.member).copied().unwrap_or(0) as f64;
                assert!((got - part).abs() <= 0.25 * part + 2.0, "{got} of {part} with {weights:?}");
                assert!(!holds_too_many(c.member, &candidates, &held, duties as usize));
            }
        }
    }

    proptest! {
        /// A candidate that leaves does not change the order of the others, and all members compute the same order.
        #[test]
        fn removing_a_candidate_keeps_the_order_of_the_others(keys in prop::collection::vec(any::<u64>(), 1..40), gone in 0usize..6) {
            let candidates = candidates_of(&[1.0, 2.0, 1.0, 1.0, 3.0, 1.0]);
            let without: Vec<Candidate> =
                candidates.iter().enumerate().filter(|(n, _)| *n != gone).map(|(_, c)| *c).collect();
            let mut reversed = candidates.clone();
            reversed.reverse();
            for key in keys {
                let none = BTreeMap::new();
                let before = candidate_order(DutyKey(key), &candidates, &none, 6);
                prop_assert_eq!(&candidate_order(DutyKey(key), &reversed, &none, 6), &before);
                let left: Vec<MemberId> =
                    before.into_iter().filter(|m| *m != candidates[gone].member).collect();
                prop_assert_eq!(candidate_order(DutyKey(key), &without, &none, 6), left);
            }
        }
    }
}
