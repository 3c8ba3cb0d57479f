//! The long runs: a day, a lost rack, regions that lose each other, and what each must come to.

use rand::Rng;
use rand_chacha::rand_core::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::{entries, Figures, Plan, World};
use crate::check::Broken;

/// A change is in force at all within so many seconds of its acceptance, and all are equal after a heal.
pub const CHANGE: f64 = 4.0;

/// The leaves of one lost relay are attached elsewhere within so many seconds.
pub const MOVED: f64 = 2.0;

/// All are attached within so many seconds, also with two relays gone at once.
pub const HOME: f64 = 5.0;

/// What is played at length.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Run {
    /// Nothing happens, for five minutes.
    Rest,
    /// An hour that has all of an ordinary day: 2 failures, 41 restarts, 2,200 changes of settings at random times and in
    /// bursts of 50. So its rates are 24 times those of a day.
    Day,
    /// One relay is killed, and back after a minute.
    RelayKilled,
    /// One is paused for a minute.
    RelayPaused,
    /// Two are killed at once, and back after a minute.
    TwoRelays,
    /// 20 machines of one rack, a relay among them, lose their power, and are back after a minute.
    Rack,
    /// All leaves of a zone and its relay are killed and started at once.
    Zone,
    /// The regions lose each other for an hour, with 100 changes between, and find each other again.
    Regions,
    /// All relays are killed, and are back after 10 s.
    AllRelays,
    /// Everything is restarted at once.
    All,
    /// One in five messages is lost, for a minute.
    Loss,
}

/// All of them.
pub const RUNS: [Run; 11] = [
    Run::Rest,
    Run::Day,
    Run::RelayKilled,
    Run::RelayPaused,
    Run::TwoRelays,
    Run::Rack,
    Run::Zone,
    Run::Regions,
    Run::AllRelays,
    Run::All,
    Run::Loss,
];

impl Run {
    /// In a word.
    pub fn name(self) -> &'static str {
        match self {
            Run::Rest => "rest",
            Run::Day => "day",
            Run::RelayKilled => "relay-killed",
            Run::RelayPaused => "relay-paused",
            Run::TwoRelays => "two-relays",
            Run::Rack => "rack",
            Run::Zone => "zone",
            Run::Regions => "regions",
            Run::AllRelays => "all-relays",
            Run::All => "all",
            Run::Loss => "loss",
        }
    }

    /// Plays it; what must hold is in [`Figures::broken`].
    pub fn play(self, plan: Plan, seed: u64) -> Figures {
        let began = std::time::Instant::now();
        let mut world = World::new(plan, seed);
        world.warm();
        let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0x10a6);
        let mut figures = Figures::default();
        let zone: Vec<usize> = (0..world.nodes.len()).filter(|n| world.plan.zone(*n) == 0).collect();
        match self {
            Run::Rest => world.pass(300.0),
            Run::Day => world.day(&mut rng),
            Run::RelayKilled | Run::RelayPaused | Run::TwoRelays => {
                match self {
                    Run::RelayPaused => world.pause(0),
                    _ => world.kill(0),
                }
                if self == Run::TwoRelays && world.plan.relays > 2 {
                    world.kill(1);
                }
                world.settle(&mut figures, 30.0);
                world.pass(60.0);
                world.heal();
                world.pass(2.5 * world.plan.timing.return_delay_s);
            }
            Run::Rack => {
                let rack: Vec<usize> =
                    zone.iter().copied().filter(|n| *n == 0 || *n >= world.plan.relays).take(20).collect();
                rack.iter().for_each(|n| world.vanish(*n));
                world.settle(&mut figures, 30.0);
                world.pass(60.0);
                world.heal();
                world.pass(2.5 * world.plan.timing.return_delay_s);
            }
            Run::Zone => {
                zone.iter().for_each(|n| world.kill(*n));
                world.pass(1.0);
                zone.iter().for_each(|n| world.start(*n));
                world.settle(&mut figures, 30.0);
                world.pass(60.0);
            }
            Run::Regions => {
                world.cut_regions(true);
                world.settle(&mut figures, 30.0);
                for n in 0..100 {
                    world.pass(35.5 + rng.gen_range(-5.0..5.0));
                    world.changes_settings(1000 + n);
                }
                world.cut_regions(false);
                figures.equal_s = world.until(30.0, |w| w.all_on_newest().is_empty());
                if figures.equal_s.is_none_or(|s| s > CHANGE) {
                    let what = format!("{:?}", figures.equal_s);
                    world.record_violation("after a heal all are on the newest settings within 4 s", what);
                }
                world.pass(60.0);
            }
            Run::AllRelays => {
                (0..world.plan.relays).for_each(|n| world.kill(n));
                world.pass(10.0);
                (0..world.plan.relays).for_each(|n| world.start(n));
                world.settle(&mut figures, 60.0);
                figures.equal_s = world.until(60.0, |w| w.all_on_newest().is_empty());
                world.pass(5.0);
                world.changes_settings(77);
                world.pass(60.0);
            }
            Run::All => {
                (0..world.nodes.len()).for_each(|n| world.kill(n));
                world.pass(0.5);
                (0..world.nodes.len()).for_each(|n| world.start(n));
                world.settle(&mut figures, 60.0);
                world.pass(60.0);
            }
            Run::Loss => {
                world.loss = 0.2;
                for n in 0..6 {
                    world.pass(10.0);
                    world.changes_settings(500 + n);
                }
                world.loss = 0.0;
                world.pass(10.0);
            }
        }
        let broken = world.unsettled();
        let (attached_s, equal_s) = (figures.attached_s, figures.equal_s);
        figures = Figures { attached_s, equal_s, ..world.figures(self.name(), seed) };
        figures.broken.extend(broken);
        let limits = match self {
            Run::RelayKilled | Run::RelayPaused => Some(MOVED),
            Run::TwoRelays | Run::Rack | Run::Zone => Some(HOME),
            _ => None,
        };
        if let Some(most) = limits.filter(|most| figures.moved_s.2 > *most) {
            let what = format!("{:.2} s, expected {most} at most", figures.moved_s.2);
            figures.broken.push(Broken("leaves of a lost relay are attached elsewhere in time", what));
        }
        // A link that loses whole messages is harsher than any connection: there it is the digests that bring a change.
        let apart = matches!(self, Run::AllRelays | Run::All | Run::Regions | Run::Loss);
        if !apart && figures.in_force_s.2 > CHANGE {
            let what = format!("{:.2} s", figures.in_force_s.2);
            figures.broken.push(Broken("a change accepted reaches every leaf within 4 s", what));
        }
        figures.took_s = began.elapsed().as_secs_f64();
        figures
    }
}

impl World {
    /// A change of settings that reaches everybody: `n` tells them apart.
    fn changes_settings(&mut self, n: u64) {
        if let Some(Err(_)) = self.propose(0, &entries(n)) {
            self.refused += 1;
        }
    }

    /// All start, attach, and have settings; those that started at a relay that is not theirs have gone home.
    fn warm(&mut self) {
        self.scan_every = 5.0;
        self.pass(1.0);
        self.changes_settings(0);
        self.pass(2.5 * self.plan.timing.return_delay_s);
        self.measure_from_here();
    }

    /// Plays on until all are attached, and adds it to the figures.
    fn settle(&mut self, figures: &mut Figures, most: f64) {
        figures.attached_s = self.until(most, World::all_attached);
        if figures.attached_s.is_none() {
            let left = self.unattached().len();
            self.record_violation(
                "every leaf is attached in the end",
                format!("{left} are not after {most} s"),
            );
        }
    }

    /// An hour with all of an ordinary day in it.
    fn day(&mut self, rng: &mut ChaCha8Rng) {
        const HOUR: f64 = 3600.0;
        let mut steps: Vec<(f64, u8, usize)> = Vec::new();
        let count = self.nodes.len();
        for _ in 0..2 {
            steps.push((rng.gen_range(0.0..HOUR - 120.0), 0, rng.gen_range(0..count)));
        }
        for _ in 0..41 {
            steps.push((rng.gen_range(0.0..HOUR - 120.0), 1, rng.gen_range(0..count)));
        }
        // 20 bursts of 50, and 1,200 alone.
        for _ in 0..20 {
            let at = rng.gen_range(0.0..HOUR - 60.0);
            steps.extend((0..50).map(|n| (at + 0.1 * f64::from(n), 2, 0)));
        }
        steps.extend((0..1200).map(|_| (rng.gen_range(0.0..HOUR - 60.0), 2, 0)));
        steps.sort_by(|a, b| a.0.total_cmp(&b.0));
        let from = self.now;
        let mut back: Vec<(f64, usize)> = Vec::new();
        for (n, (at, what, node)) in steps.into_iter().enumerate() {
            while let Some(i) = back.iter().position(|(then, _)| *then <= from + at) {
                let (then, node) = back.swap_remove(i);
                self.pass((then - self.now).max(0.0));
                self.start(node);
            }
            self.pass((from + at - self.now).max(0.0));
            match what {
                0 => {
                    self.vanish(node);
                    back.push((self.now + 60.0, node));
                }
                1 => {
                    self.kill(node);
                    back.push((self.now + 1.0, node));
                }
                _ => self.changes_settings(n as u64),
            }
        }
        self.heal();
        self.pass((from + HOUR - self.now).max(60.0));
    }
}
