//! The report: what was counted over a run.

use super::meter::{Meter, OVER};
use super::World;
use crate::check::Broken;

/// What a long run came to.
#[derive(Clone, Debug, Default)]
pub struct Figures {
    /// Relays and leaves.
    pub relays: usize,
    /// The latter.
    pub leaves: usize,
    /// Which run.
    pub name: String,
    /// With which seed.
    pub seed: u64,
    /// Seconds that were played, and seconds that it took.
    pub played_s: f64,
    /// The latter.
    pub took_s: f64,
    /// Bytes a second to and from a leaf, packet headers counted: the mean over all leaves and seconds.
    pub mean_bytes_s: f64,
    /// The same: 99 in 100 seconds of leaves are under this.
    pub p99_bytes_s: f64,
    /// The same: the worst leaf's worst 10 s, a second.
    pub worst_bytes_s: f64,
    /// Bytes a second that all relays say and hear, leaves and other relays, a relay.
    pub relay_bytes_s: f64,
    /// Seconds from the fault until the last leaf that it concerns was attached again, and how many those were.
    pub attached_s: Option<f64>,
    /// Of each leaf that had lost its relay, or was started: seconds until it was attached, p50, p99 and the last.
    pub moved_s: (f64, f64, f64),
    /// How many those were.
    pub moved: usize,
    /// Changes of settings that were accepted, and refused for want of a majority.
    pub changes: usize,
    /// The latter.
    pub refused: usize,
    /// Seconds from a change's acceptance until it, or a later one, was in force at a leaf: p50, p99 and the last, over all
    /// leaves that could be reached all the while.
    pub in_force_s: (f64, f64, f64),
    /// Seconds from the asking until a majority of relays had it: p50, p99, the last.
    pub accepted_s: (f64, f64, f64),
    /// Seconds after the healing until all had the newest settings.
    pub equal_s: Option<f64>,
    /// Who lives and was heard, and was held to be gone.
    pub false_deaths: usize,
    /// Most leaves at a relay at any time.
    pub most_leaves: usize,
    /// What did not hold.
    pub broken: Vec<Broken>,
}

fn percentiles(mut all: Vec<f64>) -> (f64, f64, f64) {
    all.sort_by(f64::total_cmp);
    let at =
        |part: f64| all.get(((all.len() as f64 * part) as usize).min(all.len().saturating_sub(1))).copied();
    (at(0.5).unwrap_or(0.0), at(0.99).unwrap_or(0.0), all.last().copied().unwrap_or(0.0))
}

impl World {
    /// What was counted since the last [`World::measure_from_here`].
    pub fn figures(&mut self, name: &str, seed: u64) -> Figures {
        self.scan();
        let played = self.now - self.measured_from;
        let leaves = self.plan.leaves.max(1) as f64;
        let bytes: u64 = self.leaf_nodes().map(|n| self.nodes[n].meter.total).sum();
        let worst = self.leaf_nodes().map(|n| self.nodes[n].meter.worst).max().unwrap_or(0);
        let all: u64 = self.byte_histogram.iter().sum();
        let mut below = 0;
        let p99 = self.byte_histogram.iter().position(|count| {
            below += count;
            below * 100 >= all * 99
        });
        let told: u64 = self.said.values().map(|(_, bytes)| bytes).sum();
        let mut in_force = Vec::new();
        let mut accepted = Vec::new();
        for change in self.changes.values().filter(|c| c.asked >= self.measured_from) {
            let Some(at) = change.accepted else { continue };
            accepted.push(at - change.asked);
            in_force.extend(change.reached.values().map(|reached| (reached - at).max(0.0)));
        }
        let moved: Vec<f64> =
            self.moves.iter().filter(|m| m.at >= self.measured_from).map(|m| m.after).collect();
        Figures {
            relays: self.plan.relays,
            leaves: self.plan.leaves,
            name: name.into(),
            seed,
            played_s: played,
            took_s: 0.0,
            mean_bytes_s: bytes as f64 / leaves / played.max(1.0),
            p99_bytes_s: p99.map_or(0.0, |bucket| (bucket as f64 + 1.0) * 16.0),
            worst_bytes_s: worst as f64 / OVER as f64,
            relay_bytes_s: told as f64 / self.plan.relays.max(1) as f64 / played.max(1.0),
            attached_s: None,
            moved: moved.len(),
            moved_s: percentiles(moved),
            changes: accepted.len(),
            refused: self.refused,
            in_force_s: percentiles(in_force),
            accepted_s: percentiles(accepted),
            equal_s: None,
            false_deaths: self.false_deaths,
            most_leaves: self.most.iter().copied().max().unwrap_or(0),
            broken: self.broken.clone(),
        }
    }

    /// Forgets what was counted so far.
    pub fn measure_from_here(&mut self) {
        let second = self.now as u64;
        for node in self.leaf_nodes() {
            self.nodes[node].meter = Meter { second, ..Meter::default() };
        }
        self.byte_histogram.clear();
        self.said.clear();
        self.most.iter_mut().for_each(|most| *most = 0);
        self.measured_from = self.now;
    }
}
