//! Invariants that are looked at now and then, over all nodes at once.

use hollypaddle_membership::MemberId;
use hollypaddle_relay::placement::leaf_limit;
use hollypaddle_replica::record::{LeafFact, Presence};

use super::meter::{BYTES, OVER};
use super::World;

impl World {
    /// What is looked at now and then: what leaves hear of leaves, how many leaves a relay has, bytes.
    pub(super) fn scan(&mut self) {
        self.last_scan = self.now;
        for node in self.leaf_nodes() {
            let Some(leaf) = self.leaf(node) else { continue };
            let gone = |(_, fact): &(MemberId, LeafFact)| fact.presence == Presence::Gone;
            let made_up: Vec<MemberId> = (leaf.peers().filter(gone))
                .filter(|(member, fact)| !self.reported_gone.contains(&(*member, fact.moves)))
                .map(|(member, _)| member)
                .collect();
            for member in made_up {
                let of = self.node_by_id.get(&member).copied();
                self.false_death(format!(
                    "node {node} holds node {of:?} to be gone, which no relay has said"
                ));
            }
        }
        // A share is of the relays that were there when its leaves came; they go home slowly.
        for node in 0..self.plan.relays {
            let reaches = self.count_reachable(node);
            let lows = &mut self.nodes[node].reachable_relays;
            lows.push_back((self.now, reaches));
            while lows.front().is_some_and(|(at, _)| self.now - at > 2.5 * self.plan.timing.return_delay_s) {
                lows.pop_front();
            }
            let least = lows.iter().map(|(_, n)| *n).min().unwrap_or(1);
            let Some(relay) = self.relay(node) else { continue };
            let t = &self.plan.timing;
            let (attached, share) =
                (relay.attached_count(), leaf_limit(self.plan.leaves, least, t.max_load_ratio, t.max_leaves));
            if attached > share {
                let what =
                    format!("relay {node} has {attached} of {}, {share} are its share", self.plan.leaves);
                self.record_violation("no relay has more than its share of leaves", what);
            }
        }
        let second = self.now as u64;
        for node in self.leaf_nodes() {
            let meter = &mut self.nodes[node].meter;
            meter.roll(second, &mut self.byte_histogram);
            let (worst, told) = (meter.worst, std::mem::replace(&mut meter.told, meter.worst));
            if worst > (BYTES * OVER as f64) as u64 && worst > told {
                let what = format!("{} bytes a second to and from node {node}", worst / OVER as u64);
                self.record_violation("what is said to and by a leaf is within its budget", what);
            }
        }
    }
}
