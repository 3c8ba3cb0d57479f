//! The bytes of a leaf, counted by second.

use std::collections::VecDeque;

/// Bytes a second of a leaf, both ways, headers counted.
pub const BYTES: f64 = 8000.0;

/// Over how many seconds they are counted.
pub const OVER: usize = 10;

/// Seconds of a leaf's bytes.
#[derive(Clone, Debug, Default)]
pub(super) struct Meter {
    pub(super) second: u64,
    pub(super) now: u64,
    pub(super) ring: VecDeque<u64>,
    pub(super) total: u64,
    pub(super) worst: u64,
    pub(super) told: u64,
}

impl Meter {
    pub(super) fn roll(&mut self, second: u64, spread: &mut Vec<u64>) {
        while self.second < second {
            let bucket = (self.now / 16) as usize;
            if spread.len() <= bucket {
                spread.resize(bucket + 1, 0);
            }
            spread[bucket] += 1;
            self.ring.push_back(std::mem::take(&mut self.now));
            if self.ring.len() > OVER {
                self.ring.pop_front();
            }
            self.worst = self.worst.max(self.ring.iter().sum());
            self.second += 1;
            // Nothing came for long: the rest is empty seconds.
            if self.ring.iter().all(|b| *b == 0) && self.second < second {
                spread[0] += second - self.second;
                self.second = second;
            }
        }
    }

    pub(super) fn add(&mut self, second: u64, bytes: usize, spread: &mut Vec<u64>) {
        self.roll(second, spread);
        self.now += bytes as u64;
        self.total += bytes as u64;
    }
}
