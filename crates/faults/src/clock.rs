//! The clock of a simulated process: off from the world's time by up to an hour, and a little too fast or too slow.

use hollypaddle_membership::Incarnation;
use rand::Rng;

/// Where the clocks of processes stand on average as the world starts, in seconds.
const START_S: f64 = 1e6;
/// By how much a clock is off at most, either way, in seconds.
const MOST_OFFSET_S: f64 = 3600.0;
/// By which part a clock is too fast or too slow at most.
pub(crate) const MOST_DRIFT: f64 = 0.01;

/// A clock of its own.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    offset_s: f64,
    /// Too fast by this part.
    drift: f64,
}

impl Clock {
    /// A random clock that is too fast or too slow by this part at most.
    pub(crate) fn random(rng: &mut impl Rng, most_drift: f64) -> Clock {
        let offset_s = START_S + rng.gen_range(-MOST_OFFSET_S..MOST_OFFSET_S);
        let drift = rng.gen_range(-most_drift..most_drift);
        Clock { offset_s, drift }
    }

    /// What it shows at a time of the world, in seconds.
    pub(crate) fn local(&self, world_time: f64) -> f64 {
        self.offset_s + world_time * (1.0 + self.drift)
    }

    /// The time of the world at which it shows this, in seconds.
    pub(crate) fn world_time(&self, local: f64) -> f64 {
        (local - self.offset_s) / (1.0 + self.drift)
    }

    /// The life of a process that starts now, while its clock is set back by so many seconds.
    pub(crate) fn life(&self, world_time: f64, set_back_s: f64, nonce: u64) -> Incarnation {
        Incarnation { number: ((self.local(world_time) - set_back_s) * 1e3) as u64, nonce }
    }
}
