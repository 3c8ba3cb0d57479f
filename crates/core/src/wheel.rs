//! A timer wheel with coarse ticks.

/// Number of slots. A timer that is further away than one revolution of the wheel stays in its slot for more revolutions.
const SLOTS: usize = 512;

/// Timers by tick. A timer can't be cancelled: its owner ignores the ones that it no longer needs.
pub struct TimerWheel<T> {
    slots: Vec<Vec<(u64, T)>>,
    tick: f64,
    /// The last tick whose timers have been handed out.
    handed_out: u64,
}

impl<T> TimerWheel<T> {
    /// Creates an empty wheel that starts at the time `now` and whose ticks are `tick` seconds long.
    pub fn new(now: f64, tick: f64) -> Self {
        let slots = (0..SLOTS).map(|_| Vec::new()).collect();
        TimerWheel { slots, tick, handed_out: (now / tick) as u64 }
    }

    /// Schedules a timer for the first tick at or after the time `at`, but not before the next tick.
    pub fn schedule(&mut self, at: f64, timer: T) {
        let due = ((at / self.tick).ceil().max(0.0) as u64).max(self.handed_out + 1);
        self.slots[(due % SLOTS as u64) as usize].push((due, timer));
    }

    /// Removes the timers that are due at the time `now` and returns them in the order of their ticks.
    pub fn advance(&mut self, now: f64) -> Vec<T> {
        let until = (now / self.tick) as u64;
        let mut due = Vec::new();
        // After one revolution every slot has been visited, so a long stall costs one revolution at most.
        let last = until.min(self.handed_out + SLOTS as u64);
        for tick in self.handed_out + 1..=last {
            let slot = &mut self.slots[(tick % SLOTS as u64) as usize];
            let all = std::mem::take(slot);
            let (ready, rest) = all.into_iter().partition(|(at, _)| *at <= until);
            *slot = rest;
            due.extend::<Vec<(u64, T)>>(ready);
        }
        self.handed_out = self.handed_out.max(until);
        due.sort_by_key(|(at, _)| *at);
        due.into_iter().map(|(_, timer)| timer).collect()
    }

    /// Returns the seconds from `now` until the next timer can be due, or `None` if the wheel is empty.
    pub fn time_to_next(&self, now: f64) -> Option<f64> {
        let next = self.slots.iter().flatten().map(|(at, _)| *at).min()?;
        Some((next as f64 * self.tick - now).max(0.0))
    }
}

#[cfg(test)]
mod tests {
    use super::TimerWheel;
    use proptest::prelude::*;

    proptest! {
        /// Compared with a list of timers: each timer is due once, never early, and at most one tick late.
        #[test]
        fn each_timer_is_due_once_and_at_most_one_tick_late(
            steps in prop::collection::vec((0.0..4000.0f64, 0.0..900.0f64), 1..60),
        ) {
            let (mut wheel, mut now, mut model) = (TimerWheel::new(0.0, 0.5), 0.0, Vec::new());
            for (n, (after, pass)) in steps.into_iter().enumerate() {
                wheel.schedule(now + after, n);
                model.push((now + after, n));
                now += pass;
                let due = wheel.advance(now);
                for n in &due {
                    let at = model.iter().find(|m| m.1 == *n).map(|m| m.0);
                    prop_assert!(at.is_some_and(|at| at <= now + 0.5), "timer {n} was early or due twice");
                    model.retain(|m| m.1 != *n);
                }
                // A timer that is scheduled for the current tick is due at the next one.
                prop_assert!(model.iter().all(|m| m.0 > now - 0.5 || pass < 0.5), "a timer is overdue");
                let next = model.iter().map(|m| m.0).fold(f64::MAX, f64::min);
                prop_assert!(wheel.time_to_next(now).map_or(next == f64::MAX, |wait| now + wait <= next.max(now) + 0.5));
            }
        }
    }
}
