//! When an urgent class may overdraw a budget.
//!
//! The evidence is what becomes of the urgent class's own set-ups: each that finds a pool of the own
//! district open speaks against bending, each for which a spent budget is the only thing between it and a
//! server speaks for it. The share of the latter in a sliding window starts the bending at one threshold
//! and ends it at a lower one, so that a server at the edge does not flap it.

use crate::window::SlidingWindow;

/// Slots of the window.
const SLOTS: usize = 10;

/// When bending starts and ends.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OverdraftSettings {
    /// The sliding window, in seconds.
    pub window_s: f64,
    /// RatioLimit of the class's set-ups that find the own district closed from which on it bends, 0 to 1.
    pub start_ratio: f64,
    /// RatioLimit at which bending ends; below `start`.
    pub end_ratio: f64,
}

impl Default for OverdraftSettings {
    fn default() -> Self {
        OverdraftSettings { window_s: 10.0, start_ratio: 0.1, end_ratio: 0.02 }
    }
}

/// The state for one urgent class.
#[derive(Clone, Debug)]
pub struct OverdraftState {
    settings: OverdraftSettings,
    /// Set-ups that found the own district open, and closed.
    seen: SlidingWindow<(u32, u32)>,
    on: bool,
    /// When it last started or ended, and how often it started.
    since: f64,
    times: u64,
}

impl OverdraftState {
    /// Not bending, nothing seen.
    pub fn new(settings: OverdraftSettings, now: f64) -> Self {
        OverdraftState {
            settings,
            seen: SlidingWindow::new(settings.window_s, SLOTS),
            on: false,
            since: now,
            times: 0,
        }
    }

    /// Takes new settings; what was seen is kept where the window stays the same.
    pub fn update_settings(&mut self, settings: OverdraftSettings) {
        if settings.window_s != self.settings.window_s {
            self.seen = SlidingWindow::new(settings.window_s, SLOTS);
        }
        self.settings = settings;
    }

    /// A set-up of the class found the own district open, or closed.
    pub fn record(&mut self, now: f64, closed: bool) {
        let slot = self.seen.current_slot(now);
        match closed {
            true => slot.1 = slot.1.saturating_add(1),
            false => slot.0 = slot.0.saturating_add(1),
        }
        self.judge(now);
    }

    /// Whether the class bends at this time.
    pub fn is_active(&mut self, now: f64) -> bool {
        self.seen.advance(now);
        self.judge(now);
        self.on
    }

    fn judge(&mut self, now: f64) {
        let pressure = self.blocked_ratio();
        let turns = match self.on {
            false => pressure > 0.0 && pressure >= self.settings.start_ratio,
            true => pressure <= self.settings.end_ratio,
        };
        if turns {
            (self.on, self.since) = (!self.on, now);
            self.times += u64::from(self.on);
        }
    }

    /// RatioLimit of the class's set-ups in the window that found the own district closed; 0 without any.
    pub fn blocked_ratio(&self) -> f64 {
        let (open, closed) = self
            .seen
            .covered_slots()
            .fold((0.0, 0.0), |s, (_, c)| (s.0 + f64::from(c.0), s.1 + f64::from(c.1)));
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
        let mut bending = OverdraftState::new(OverdraftSettings::default(), 0.0);
        (0..8).for_each(|n| bending.record(f64::from(n), false));
        assert!(!bending.is_active(8.0));
        bending.record(8.0, true);
        assert!(bending.is_active(8.0), "one in nine is over a tenth");
        // At the edge every tenth set-up finds the district closed.
        for n in 0..600 {
            bending.record(9.0 + f64::from(n) * 0.1, n % 10 == 0);
            assert!(bending.is_active(9.0 + f64::from(n) * 0.1));
        }
        assert_eq!(bending.history().1, 1);
        let recovered = 69.0;
        (0..100).for_each(|n| bending.record(recovered + f64::from(n) * 0.1, false));
        assert!(!bending.is_active(recovered + 10.0));
        // Nor does it stay on for want of calls.
        bending.record(90.0, true);
        assert!(bending.is_active(90.0) && !bending.is_active(101.0));
        assert_eq!(bending.history(), (101.0, 2));
    }
}
