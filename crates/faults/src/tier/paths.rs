//! The paths between nodes: cut, slow, throttled, and the regions that lose each other.

use super::World;
use crate::impairment::Impairment;

/// One direction between two nodes.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Path {
    pub(super) impairment: Impairment,
    /// When a throttled path has sent all that was put on it.
    pub(super) free_at: f64,
}

impl World {
    /// What one says to the other waits, or does so no longer.
    pub fn cut(&mut self, from: usize, to: usize, cut: bool) {
        self.paths.entry((from, to)).or_default().impairment.cut = cut;
        if !cut {
            self.reschedule_all();
        }
    }

    /// A relay and all of its leaves cannot reach each other, one way or both: what it says, what it hears.
    pub fn cut_off(&mut self, node: usize, says: bool, hears: bool) {
        for other in 0..self.nodes.len() {
            if says {
                self.paths.entry((node, other)).or_default().impairment.cut = true;
            }
            if hears {
                self.paths.entry((other, node)).or_default().impairment.cut = true;
            }
        }
        if node < self.plan.relays {
            self.mark_orphaned(node);
        }
    }

    /// The regions lose each other, or find each other again.
    pub fn cut_regions(&mut self, cut: bool) {
        if !cut {
            self.before_reopening();
        }
        self.regions_cut = cut;
        if !cut {
            for node in self.leaf_nodes().filter(|n| self.plan.region(*n) != self.plan.region(0)) {
                self.nodes[node].clear_since = self.now;
            }
            self.reschedule_all();
        }
    }

    /// What one says to the other takes so many seconds longer.
    pub fn slow(&mut self, from: usize, to: usize, delay: f64) {
        self.paths.entry((from, to)).or_default().impairment.delay_s = delay;
    }

    pub(super) fn blocked(&self, from: usize, to: usize) -> bool {
        self.regions_cut && self.plan.region(from) != self.plan.region(to)
            || self.paths.get(&(from, to)).is_some_and(|path| path.impairment.cut)
    }

    pub(super) fn delay(&self, from: usize, to: usize) -> f64 {
        let base = if self.plan.region(from) == self.plan.region(to) {
            self.plan.delay.0
        } else {
            self.plan.delay.1
        };
        base + self.paths.get(&(from, to)).map_or(0.0, |path| path.impairment.delay_s)
    }
}
