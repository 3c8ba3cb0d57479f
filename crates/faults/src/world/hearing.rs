//! Who hears whom, and the rules on adoptions that rest on it.

use std::collections::BTreeMap;

use super::World;
use crate::check::Broken;

/// What a member hears, or doesn't, for so long, in seconds, it knows: within that its silences are suspected, and what
/// others hear is told to it.
const KNOWN_AFTER_S: f64 = 1.2;

/// Who hears whom, and since when.
#[derive(Clone, Debug, Default)]
pub(super) struct Hearing {
    /// Since when the first hears the second.
    heard_since: BTreeMap<(usize, usize), f64>,
    /// Since when a member hears no majority.
    no_majority_since: BTreeMap<usize, f64>,
    /// Since when a member has no majority that it hears and that hears it.
    no_mutual_majority_since: BTreeMap<usize, f64>,
}

/// Takes note whether something holds now that is remembered by when it began.
fn note<Key: Ord>(since: &mut BTreeMap<Key, f64>, key: Key, holds: bool, now: f64) {
    if holds {
        since.entry(key).or_insert(now);
    } else {
        since.remove(&key);
    }
}

fn known<Key: Ord>(since: &BTreeMap<Key, f64>, key: Key, now: f64) -> bool {
    since.get(&key).is_some_and(|since| now - since >= KNOWN_AFTER_S)
}

impl World {
    /// Takes note of who hears whom in this step.
    pub(super) fn observe_hearing(&mut self) {
        let (all, now) = (self.nodes.len(), self.now);
        for to in 0..all {
            let others = || (0..all).filter(|from| *from != to);
            for from in others() {
                let hears = self.hears(to, from);
                note(&mut self.hearing.heard_since, (to, from), hears, now);
            }
            let heard = 1 + others().filter(|from| self.hears(to, *from)).count();
            let mutual = 1 + others().filter(|from| self.is_mutual(to, *from)).count();
            note(&mut self.hearing.no_majority_since, to, 2 * heard <= all, now);
            note(&mut self.hearing.no_mutual_majority_since, to, 2 * mutual <= all, now);
        }
    }

    /// Whether what one member says comes to another one now. A connection goes on carrying it where only the other
    /// direction is cut; no new one can be made then.
    fn hears(&self, to: usize, from: usize) -> bool {
        let connected = self.nodes[to].links.get(&from).is_some_and(|link| link.greeted);
        self.nodes[from].acts() && !self.is_cut(from, to) && (connected || !self.is_cut(to, from))
    }

    /// Whether nothing is cut between two members.
    fn is_mutual(&self, to: usize, from: usize) -> bool {
        self.nodes[from].acts() && !self.is_cut(from, to) && !self.is_cut(to, from)
    }

    fn is_cut(&self, from: usize, to: usize) -> bool {
        self.channels.get(&(from, to)).is_some_and(|channel| channel.impairment.cut)
    }

    /// Holds the adoption of a call of a member that lives to what its adopter can know. A member is gone that nobody has
    /// heard, as far as a majority is heard by the adopter; whether that majority hears the adopter does not matter.
    pub(super) fn check_adoption(&mut self, by: usize, call: u64, owner: usize) {
        let hearing = &self.hearing;
        let heard_by_another = |other: usize| {
            let told = known(&hearing.heard_since, (by, other), self.now);
            told && known(&hearing.heard_since, (other, owner), self.now)
        };
        let reason = if known(&hearing.no_majority_since, by, self.now) {
            "which hears no majority".to_owned()
        } else if known(&hearing.no_mutual_majority_since, by, self.now) {
            let Some(other) = (0..self.nodes.len()).find(|other| heard_by_another(*other)) else { return };
            format!("which no majority hears and g{other} tells otherwise")
        } else {
            return;
        };
        let what = format!("g{by}, {reason}, adopts call {call:x} of g{owner}, which lives");
        self.broken.push(Broken("no minority adopts the calls of those that live", what));
    }
}
