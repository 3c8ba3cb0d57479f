//! When an urgent class may overdraw a budget.
//!
//! The evidence is what becomes of the urgent class's own set-ups: each that finds a pool of the own
//! district open speaks against bending, each for which a spent budget is the only thing between it and a
//! server speaks for it. The share of the latter in a sliding window starts the bending at one threshold
//! and ends it at a lower one, so that a server at the edge does not flap it.

use crate::window::Ring;

/// Slots of the window.
const SLOTS: usize = 10;

/// When bending starts and ends.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BendSettings {
    /// The sliding window, in seconds.
    pub window: f64,
    /// Share of the class's set-ups that find the own district closed from which on it bends, 0 to 1.
    pub start: f64,
    /// Share at which bending ends; below `start`.
    pub end: f64,
}

impl Default for BendSettings {
    fn default() -> Self {
        BendSettings { window: 10.0, start: 0.1, end: 0.02 }
    }
}

/// The state for one urgent class.
#[derive(Clone, Debug)]
pub struct Bending {
    settings: BendSettings,
    /// Set-ups that found the own district open, and closed.
    seen: Ring<(u32, u32)>,
    on: bool,
    /// When it last started or ended, and how often it started.
    since: f64,
    times: u64,
}

impl Bending {
    /// Not bending, nothing seen.
    pub fn new(settings: BendSettings, now: f64) -> Self {
        Bending { settings, seen: Ring::new(settings.window, SLOTS), on: false, since: now, times: 0 }
    }

    /// Takes new settings; what was seen is kept where the window stays the same.
    pub fn change(&mut self, settings: BendSettings) {
        if settings.window != self.settings.window {
            self.seen = Ring::new(settings.window, SLOTS);
        }
        self.settings = settings;
    }

    /// A set-up of the class found the own district open, or closed.
    pub fn note(&mut self, now: f64, closed: bool) {
        let slot = self.seen.now(now);
        match closed {
            true => slot.1 = slot.1.saturating_add(1),
            false => slot.0 = slot.0.saturating_add(1),
        }
        self.judge(now);
    }

    /// Whether the class bends at this time.
    pub fn on(&mut self, now: f64) -> bool {
        self.seen.advance(now);
        self.judge(now);
        self.on
    }

    fn judge(&mut self, now: f64) {
        let pressure = self.pressure();
        let turns = match self.on {
            false => pressure > 0.0 && pressure >= self.settings.start,
            true => pressure <= self.settings.end,
        };
        if turns {
            (self.on, self.since) = (!self.on, now);
            self.times += u64::from(self.on);
        }
    }

    /// Share of the class's set-ups in the window that found the own district closed; 0 without any.
    pub fn pressure(&self) -> f64 {
        let (open, closed) =
            self.seen.covered().fold((0.0, 0.0), |s, (_, c)| (s.0 + f64::from(c.0), s.1 + f64::from(c.1)));
        if closed > 0.0 {
            closed / (open + closed)
        } else {
            0.0
        }
    }

    /// When it last started or ended, and how often it has started.
    pub fn history(&self) -> (f64, u64) {
        (self.since, self.times)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a class that waits for evidence while its calls are lost, against one that flaps with
    /// a server at the edge, and against one that never ends.
    #[test]
    fn it_starts_at_once_stays_on_at_the_edge_and_ends_within_two_windows() {
        let mut bending = Bending::new(BendSettings::default(), 0.0);
        (0..8).for_each(|n| bending.note(f64::from(n), false));
        assert!(!bending.on(8.0));
        bending.note(8.0, true);
        assert!(bending.on(8.0), "one in nine is over a tenth");
        // At the edge every tenth set-up finds the district closed.
        for n in 0..600 {
            bending.note(9.0 + f64::from(n) * 0.1, n % 10 == 0);
            assert!(bending.on(9.0 + f64::from(n) * 0.1));
        }
        assert_eq!(bending.history().1, 1);
        let recovered = 69.0;
        (0..100).for_each(|n| bending.note(recovered + f64::from(n) * 0.1, false));
        assert!(!bending.on(recovered + 10.0));
        // Nor does it stay on for want of calls.
        bending.note(90.0, true);
        assert!(bending.on(90.0) && !bending.on(101.0));
        assert_eq!(bending.history(), (101.0, 2));
    }
}
