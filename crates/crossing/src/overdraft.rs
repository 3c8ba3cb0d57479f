//! Decides when an urgent class may overdraw a budget.
//!
//! The evidence is what happens to the set-ups of the urgent class. Each set-up that finds an open pool in the
//! own district counts against the overdraft; each for which a used-up budget is the only obstacle to a server
//! counts for it. When the ratio of the latter in a sliding window reaches one threshold the overdraft starts,
//! and at a lower threshold it ends, so that a server at its limit does not make it flap.

use crate::window::SlidingWindow;

/// The number of slots of the sliding window.
const WINDOW_SLOTS: usize = 10;

/// When an overdraft starts and ends.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OverdraftSettings {
    /// The length of the sliding window, in seconds.
    pub window_s: f64,
    /// The ratio of the set-ups of the class that find the own district closed from which on the overdraft is
    /// active, 0 to 1.
    pub start_ratio: f64,
    /// The ratio at which the overdraft ends; below `start_ratio`.
    pub end_ratio: f64,
}

impl Default for OverdraftSettings {
    fn default() -> Self {
        OverdraftSettings { window_s: 10.0, start_ratio: 0.1, end_ratio: 0.02 }
    }
}

/// Whether one urgent class may overdraw budgets, and the evidence.
#[derive(Clone, Debug)]
pub struct OverdraftState {
    settings: OverdraftSettings,
    /// Set-ups that found the own district open, and closed.
    attempts: SlidingWindow<(u32, u32)>,
    active: bool,
    /// When the overdraft last started or ended, in seconds.
    changed_at: f64,
    /// How often the overdraft has started.
    starts: u64,
}

impl OverdraftState {
    /// Creates the state without an overdraft and without evidence.
    pub fn new(settings: OverdraftSettings, now: f64) -> Self {
        OverdraftState {
            settings,
            attempts: SlidingWindow::new(settings.window_s, WINDOW_SLOTS),
            active: false,
            changed_at: now,
            starts: 0,
        }
    }

    /// Applies new settings. The evidence is kept if the window stays the same.
    pub fn update_settings(&mut self, settings: OverdraftSettings) {
        if settings.window_s != self.settings.window_s {
            self.attempts = SlidingWindow::new(settings.window_s, WINDOW_SLOTS);
        }
        self.settings = settings;
    }

    /// Records that a set-up of the class found the own district open or closed.
    pub fn record(&mut self, now: f64, closed: bool) {
        let slot = self.attempts.current_slot(now);
        match closed {
            true => slot.1 = slot.1.saturating_add(1),
            false => slot.0 = slot.0.saturating_add(1),
        }
        self.update_active(now);
    }

    /// Whether the class may overdraw budgets at this time.
    pub fn is_active(&mut self, now: f64) -> bool {
        self.attempts.advance(now);
        self.update_active(now);
        self.active
    }

    fn update_active(&mut self, now: f64) {
        let pressure = self.blocked_ratio();
        let switches = match self.active {
            false => pressure > 0.0 && pressure >= self.settings.start_ratio,
            true => pressure <= self.settings.end_ratio,
        };
        if switches {
            (self.active, self.changed_at) = (!self.active, now);
            self.starts += u64::from(self.active);
        }
    }

    /// Returns the ratio of the set-ups of the class in the window that found the own district closed, or 0
    /// without any.
    pub fn blocked_ratio(&self) -> f64 {
        let (open, closed) = self
            .attempts
            .covered_slots()
            .fold((0.0, 0.0), |s, (_, c)| (s.0 + f64::from(c.0), s.1 + f64::from(c.1)));
        if closed > 0.0 {
            closed / (open + closed)
        } else {
            0.0
        }
    }

    /// Returns when the overdraft last started or ended, in seconds, and how often it has started.
    pub fn history(&self) -> (f64, u64) {
        (self.changed_at, self.starts)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a class that waits for evidence while its calls are lost, against an overdraft that flaps
    /// with a server at its limit, and against one that never ends.
    #[test]
    fn overdraft_starts_at_once_stays_active_at_the_threshold_and_ends_within_two_windows() {
        let mut overdraft = OverdraftState::new(OverdraftSettings::default(), 0.0);
        (0..8).for_each(|n| overdraft.record(f64::from(n), false));
        assert!(!overdraft.is_active(8.0));
        overdraft.record(8.0, true);
        assert!(overdraft.is_active(8.0), "one in nine exceeds a tenth");
        // At the limit every tenth set-up finds the district closed.
        for n in 0..600 {
            overdraft.record(9.0 + f64::from(n) * 0.1, n % 10 == 0);
            assert!(overdraft.is_active(9.0 + f64::from(n) * 0.1));
        }
        assert_eq!(overdraft.history().1, 1);
        let recovered = 69.0;
        (0..100).for_each(|n| overdraft.record(recovered + f64::from(n) * 0.1, false));
        assert!(!overdraft.is_active(recovered + 10.0));
        // It also ends when there are no calls.
        overdraft.record(90.0, true);
        assert!(overdraft.is_active(90.0) && !overdraft.is_active(101.0));
        assert_eq!(overdraft.history(), (101.0, 2));
    }
}
