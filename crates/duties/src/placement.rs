//! Who is to hold what: an order of candidates for each duty, by weight, so that duties are spread fairly and few move as
//! members come and go.

use std::collections::BTreeMap;

use hollypaddle_membership::MemberId;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::DutyKey;

/// A member that may hold duties, and its weight.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// Who.
    pub member: MemberId,
    /// Its part of the duties against others'; 0 holds none.
    pub weight: f64,
}

/// By weighted rendezvous hashing: each candidate's score is -weight / ln(u), with u drawn by a hash of both.
fn score(duty: DutyKey, candidate: &Candidate) -> f64 {
    let hash = xxh3_64_with_seed(&duty.0.to_le_bytes(), candidate.member.0);
    let u = ((hash >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
    -candidate.weight / u.ln()
}

/// The candidates of a duty, the first of whom is to hold it. One that holds its fair part of all duties already comes after
/// those that do not, so that no member is given more than its part and one as long as others have room.
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

/// Whether a member holds so much more than its part that it is to hand a duty on: by more than one, so that nothing moves
/// to and fro.
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

    fn all(weights: &[f64]) -> Vec<Candidate> {
        let one =
            |(n, weight): (usize, &f64)| Candidate { member: MemberId(n as u64 * 977 + 5), weight: *weight };
        weights.iter().enumerate().map(one).collect()
    }

    /// Duties given out one by one go to members by their weights, whoever is asked in which order.
    #[test]
    fn duties_are_spread_by_weight() {
        for weights in [vec![1.0; 3], vec![1.0, 2.0, 3.0], vec![1.0; 8], vec![4.0, 1.0], vec![1.0, 0.0, 1.0]]
        {
            let candidates = all(&weights);
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
        /// One that goes leaves the others' order as it was; all members name the same order.
        #[test]
        fn an_order_stays_as_others_come_and_go(keys in prop::collection::vec(any::<u64>(), 1..40), gone in 0usize..6) {
            let candidates = all(&[1.0, 2.0, 1.0, 1.0, 3.0, 1.0]);
            let without: Vec<Candidate> =
                candidates.iter().enumerate().filter(|(n, _)| *n != gone).map(|(_, c)| *c).collect();
            let mut turned = candidates.clone();
            turned.reverse();
            for key in keys {
                let none = BTreeMap::new();
                let before = candidate_order(DutyKey(key), &candidates, &none, 6);
                prop_assert_eq!(&candidate_order(DutyKey(key), &turned, &none, 6), &before);
                let left: Vec<MemberId> =
                    before.into_iter().filter(|m| *m != candidates[gone].member).collect();
                prop_assert_eq!(candidate_order(DutyKey(key), &without, &none, 6), left);
            }
        }
    }
}
