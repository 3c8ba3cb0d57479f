//! The ways between nodes: cut, slow, throttled, and the regions that lose each other.

use super::World;
use crate::impairment::Impairment;

#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Way {
    pub(super) impairment: Impairment,
    /// When a throttled way has sent all that was put on it.
    pub(super) free_at: f64,
}

impl World {
    /// What one says to the other waits, or does so no longer.
    pub fn cut(&mut self, from: usize, to: usize, cut: bool) {
        self.ways.entry((from, to)).or_default().impairment.cut = cut;
        if !cut {
            self.unstall();
        }
    }

    /// A relay and all of its leaves cannot reach each other, one way or both: what it says, what it hears.
    pub fn cut_off(&mut self, node: usize, says: bool, hears: bool) {
        for other in 0..self.slots.len() {
            if says {
                self.ways.entry((node, other)).or_default().impairment.cut = true;
            }
            if hears {
                self.ways.entry((other, node)).or_default().impairment.cut = true;
            }
        }
        if node < self.plan.relays {
            self.orphan(node);
        }
    }

    /// The regions lose each other, or find each other again.
    pub fn cut_regions(&mut self, cut: bool) {
        if !cut {
            self.clears();
        }
        self.regions_cut = cut;
        if !cut {
            for node in self.leaf_nodes().filter(|n| self.plan.region(*n) != self.plan.region(0)) {
                self.slots[node].clear_since = self.now;
            }
            self.unstall();
        }
    }

    /// What one says to the other takes so many seconds longer.
    pub fn slow(&mut self, from: usize, to: usize, delay: f64) {
        self.ways.entry((from, to)).or_default().impairment.delay_s = delay;
    }

    pub(super) fn blocked(&self, from: usize, to: usize) -> bool {
        self.regions_cut && self.plan.region(from) != self.plan.region(to)
            || self.ways.get(&(from, to)).is_some_and(|way| way.impairment.cut)
    }

    pub(super) fn delay(&self, from: usize, to: usize) -> f64 {
        let base = if self.plan.region(from) == self.plan.region(to) {
            self.plan.delay.0
        } else {
            self.plan.delay.1
        };
        base + self.ways.get(&(from, to)).map_or(0.0, |way| way.impairment.delay_s)
    }
}
