//! Decides which relay a leaf is attached to.
//!
//! Relays of the leaf's own zone come first, then those of its region, then all others. Within each of the three
//! groups the order follows rendezvous hashing, so that leaves spread evenly, and the leaves of a relay that goes
//! away spread evenly over the rest. A relay that has more than its share of leaves refuses further ones (a hash with
//! bounded load), and the leaf tries the next relay in its order.

use hollypaddle_membership::MemberId;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The zone and region of a node. A field is empty if it is not configured.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct NodeLocation {
    /// The zone, such as a data hall or a district.
    pub zone: String,
    /// The region that the zone belongs to.
    pub region: String,
}

/// A relay of the configuration and its location.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RelayLocation {
    /// The relay.
    pub relay: MemberId,
    /// Where the relay is.
    pub location: NodeLocation,
}

/// The lowest limit of leaves for a relay: while there are few leaves, an even share means little.
const MIN_LEAF_LIMIT: usize = 32;

/// All relays in the order in which a leaf prefers them.
pub fn preferred_relays(leaf: MemberId, location: &NodeLocation, relays: &[RelayLocation]) -> Vec<MemberId> {
    let distance = |relay: &NodeLocation| match () {
        () if !location.zone.is_empty() && relay.zone == location.zone && relay.region == location.region => {
            0
        }
        () if !location.region.is_empty() && relay.region == location.region => 1,
        () => 2,
    };
    let weight = |relay: MemberId| xxh3_64_with_seed(&leaf.0.to_le_bytes(), relay.0);
    let mut all: Vec<(u8, std::cmp::Reverse<u64>, MemberId)> =
        relays.iter().map(|r| (distance(&r.location), std::cmp::Reverse(weight(r.relay)), r.relay)).collect();
    all.sort();
    all.into_iter().map(|(.., relay)| relay).collect()
}

/// How many leaves a relay accepts: `max_load_ratio` times an even share of `leaves` among `relays`, and never more
/// than `max_leaves`.
pub fn leaf_limit(leaves: usize, relays: usize, max_load_ratio: f64, max_leaves: usize) -> usize {
    let even = (leaves + 1) as f64 / relays.max(1) as f64;
    ((even * max_load_ratio).ceil() as usize).max(MIN_LEAF_LIMIT).min(max_leaves)
}

/// A pseudo-random number from 0 up to 1 that is the same for the same node and purpose. It spreads times.
pub fn stable_fraction(node: MemberId, purpose: u64) -> f64 {
    (xxh3_64_with_seed(&node.0.to_le_bytes(), purpose) >> 11) as f64 / (1u64 << 53) as f64
}
