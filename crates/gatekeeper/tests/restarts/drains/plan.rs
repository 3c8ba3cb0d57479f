//! What one run of drains does, all of it drawn from its seed.

use rand::seq::SliceRandom;
use rand::Rng;
use rand_chacha::rand_core::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::plan::{Service, Signal};

/// How callers go on with the open connections of a drained gatekeeper, once they have used them for a moment as before.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Use {
    /// Not at all.
    Stops,
    /// Now and then: at so small a part of the rate.
    Seldom(f64),
    /// As before.
    GoesOn,
}

impl Use {
    /// Seconds for which callers go on as before, whatever comes then.
    const AS_BEFORE_S: f64 = 0.7;

    /// The part of the rate so long after the drain began.
    pub fn part(self, age: f64) -> f64 {
        match self {
            Use::GoesOn => 1.0,
            _ if age < Self::AS_BEFORE_S => 1.0,
            Use::Seldom(part) => part,
            Use::Stops => 0.0,
        }
    }
}

/// Drains of several gatekeepers at once. Times are seconds of the run.
#[derive(Clone, Debug)]
pub struct Wave {
    /// When they begin.
    pub on: f64,
    /// When they end.
    pub off: f64,
    /// Which gatekeepers.
    pub nodes: Vec<usize>,
    /// What their callers do.
    pub usage: Use,
}

/// One run.
#[derive(Clone, Debug)]
pub struct DrainPlan {
    /// The longest deadline, in seconds.
    pub deadline: f64,
    /// Set-ups a second at each gatekeeper.
    pub rate: f64,
    /// Connections that callers keep open to each.
    pub kept: usize,
    /// How many gatekeepers there are.
    pub nodes: usize,
    /// The servers.
    pub servers: Vec<Service>,
    /// In the order of their beginnings; no two overlap.
    pub waves: Vec<Wave>,
    /// Signals to gatekeepers, in order of their times.
    pub signals: Vec<(f64, usize, Signal)>,
    /// A crowd of callers that connect to a gatekeeper in one moment.
    pub crowd: Option<(f64, usize, usize)>,
    /// When all are told to end.
    pub term_at: f64,
}

impl DrainPlan {
    /// The run of a seed.
    pub fn of(seed: u64) -> DrainPlan {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let nodes = rng.gen_range(3..=6);
        let servers = (0..rng.gen_range(2..=3)).map(|_| service(&mut rng)).collect();
        let mut at = rng.gen_range(0.5..1.0);
        let waves: Vec<Wave> = (0..rng.gen_range(2..=3))
            .map(|_| {
                let wave = wave(at, nodes, &mut rng);
                at = wave.off + rng.gen_range(0.2..2.0);
                wave
            })
            .collect();
        let mut signals: Vec<(f64, usize, Signal)> = (0..rng.gen_range(0..=4))
            .map(|_| (rng.gen_range(0.3..at), rng.gen_range(0..nodes), signal(&mut rng)))
            .collect();
        signals.sort_by(|a, b| a.0.total_cmp(&b.0));
        let crowd = rng.gen_bool(0.4).then(|| crowd(&waves, &mut rng));
        let last = waves[waves.len() - 1].clone();
        // In the middle of the last drain, or after it.
        let term_at = if rng.gen_bool(0.4) { rng.gen_range(last.on + 0.2..last.off) } else { at };
        DrainPlan {
            deadline: [0.9, 1.5, 3.0][rng.gen_range(0..3)],
            rate: rng.gen_range(10.0..80.0),
            kept: rng.gen_range(3..=8),
            nodes,
            servers,
            waves,
            signals,
            crowd,
            term_at,
        }
    }
}

/// Close to the begin of a drain, of a gatekeeper that is drained then.
fn crowd(waves: &[Wave], rng: &mut ChaCha8Rng) -> (f64, usize, usize) {
    let wave = &waves[rng.gen_range(0..waves.len())];
    let node = wave.nodes[rng.gen_range(0..wave.nodes.len())];
    (wave.on + rng.gen_range(-0.3..0.15), node, rng.gen_range(50..=200))
}

fn wave(on: f64, nodes: usize, rng: &mut ChaCha8Rng) -> Wave {
    let many = rng.gen_bool(0.6);
    let count = if many { rng.gen_range(3..=nodes) } else { 1 };
    let mut all: Vec<usize> = (0..nodes).collect();
    all.shuffle(rng);
    // Most last beyond the term; a short one is followed by the next within it.
    let long = rng.gen_bool(0.75);
    let length = if long { rng.gen_range(4.3..6.5) } else { rng.gen_range(0.2..3.0) };
    let usage = match rng.gen_range(0..4) {
        0 => Use::Stops,
        1 => Use::Seldom(rng.gen_range(0.01..0.1)),
        _ => Use::GoesOn,
    };
    Wave { on, off: on + length, nodes: all[..count].to_vec(), usage }
}

fn service(rng: &mut ChaCha8Rng) -> Service {
    match rng.gen_range(0..12) {
        0..=4 => Service::Stands(rng.gen_range(0.0..0.15), rng.gen_range(0.05..5.0)),
        5 => Service::Stands(rng.gen_range(0.5..2.5), rng.gen_range(0.05..5.0)),
        6..=7 => Service::Answers(rng.gen_range(0.0..0.2)),
        8 => Service::Hangs,
        9 => Service::Full,
        10 => Service::Resets(rng.gen_range(5..50)),
        _ => Service::Repeats,
    }
}

fn signal(rng: &mut ChaCha8Rng) -> Signal {
    match rng.gen_range(0..4) {
        0 => Signal::SameFile,
        1 => Signal::NewFile,
        2 => Signal::BrokenFile,
        _ => Signal::Pause,
    }
}
