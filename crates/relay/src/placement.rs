//! Which relay a leaf is attached to.
//!
//! Relays of the own zone come first, then those of the own region, then all others; within each of the three by rendezvous
//! hashing, so that leaves spread evenly, and those of a relay that goes spread evenly over the rest. A relay that has more
//! than its share of leaves refuses further ones (a hash with bounded load), and the leaf goes on down its order.

use hollypaddle_membership::MemberId;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Where a node stands. Empty where it is not told.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct NodeLocation {
    /// The zone.
    pub zone: String,
    /// The region.
    pub region: String,
}

/// A relay, as the configuration names it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RelayLocation {
    /// Which.
    pub relay: MemberId,
    /// Where it stands.
    pub location: NodeLocation,
}

/// Leaves that a relay takes in any case: while few are there, an even share tells nothing.
const MIN_LEAF_LIMIT: usize = 32;

/// The order in which a leaf prefers the relays.
pub fn preferred_relays(leaf: MemberId, place: &NodeLocation, relays: &[RelayLocation]) -> Vec<MemberId> {
    let distance = |relay: &NodeLocation| match () {
        () if !place.zone.is_empty() && relay.zone == place.zone && relay.region == place.region => 0,
        () if !place.region.is_empty() && relay.region == place.region => 1,
        () => 2,
    };
    let weight = |relay: MemberId| xxh3_64_with_seed(&leaf.0.to_le_bytes(), relay.0);
    let mut all: Vec<(u8, std::cmp::Reverse<u64>, MemberId)> =
        relays.iter().map(|r| (distance(&r.location), std::cmp::Reverse(weight(r.relay)), r.relay)).collect();
    all.sort();
    all.into_iter().map(|(.., relay)| relay).collect()
}

/// How many leaves a relay takes: of so many in all, among so many relays that are there, `bound` times an even share, and
/// never more than `most`.
pub fn leaf_limit(leaves: usize, relays: usize, bound: f64, most: usize) -> usize {
    let even = (leaves + 1) as f64 / relays.max(1) as f64;
    ((even * bound).ceil() as usize).max(MIN_LEAF_LIMIT).min(most)
}

/// A part of one, by chance but the same for the same node and purpose, from 0 up to 1: for times that are spread.
pub fn stable_fraction(node: MemberId, purpose: u64) -> f64 {
    (xxh3_64_with_seed(&node.0.to_le_bytes(), purpose) >> 11) as f64 / (1u64 << 53) as f64
}
