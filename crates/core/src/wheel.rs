//! A timer wheel: timers as coarse ticks.

/// Slots of the wheel; a timer further off than a turn waits in its slot for more turns.
const SLOTS: usize = 512;

/// Timers by tick. A timer cannot be taken back: its owner passes over the ones it no longer wants.
pub struct TimerWheel<T> {
    slots: Vec<Vec<(u64, T)>>,
    tick: f64,
    /// All ticks up to here have been handed out.
    done: u64,
}

impl<T> TimerWheel<T> {
    /// An empty wheel with ticks of so many seconds, starting now.
    pub fn new(now: f64, tick: f64) -> Self {
        let slots = (0..SLOTS).map(|_| Vec::new()).collect();
        TimerWheel { slots, tick, done: (now / tick) as u64 }
    }

    /// Sets a timer: due at the first tick at or after `at`, never in the tick that is handed out now.
    pub fn schedule(&mut self, at: f64, timer: T) {
        let due = ((at / self.tick).ceil().max(0.0) as u64).max(self.done + 1);
        self.slots[(due % SLOTS as u64) as usize].push((due, timer));
    }

    /// Hands out what has come due by `now`, in the order of its ticks.
    pub fn advance(&mut self, now: f64) -> Vec<T> {
        let until = (now / self.tick) as u64;
        let mut due = Vec::new();
        // Past one turn every slot has been seen: a long stall costs one turn, not its length.
        let last = until.min(self.done + SLOTS as u64);
        for tick in self.done + 1..=last {
            let slot = &mut self.slots[(tick % SLOTS as u64) as usize];
            let all = std::mem::take(slot);
            let (ready, rest) = all.into_iter().partition(|(at, _)| *at <= until);
            *slot = rest;
            due.extend::<Vec<(u64, T)>>(ready);
        }
        self.done = self.done.max(until);
        due.sort_by_key(|(at, _)| *at);
        due.into_iter().map(|(_, timer)| timer).collect()
    }

    /// Seconds from `now` until the next timer can come due; none if the wheel is empty.
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
        /// Against a sorted list: each timer once, never early, at most a tick late.
        #[test]
        fn timers_come_due_in_order_and_on_time(
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
                    prop_assert!(at.is_some_and(|at| at <= now + 0.5), "timer {n} early or twice");
                    model.retain(|m| m.1 != *n);
                }
                // A timer set for the running tick waits for the next one.
                prop_assert!(model.iter().all(|m| m.0 > now - 0.5 || pass < 0.5), "a timer is overdue");
                let next = model.iter().map(|m| m.0).fold(f64::MAX, f64::min);
                prop_assert!(wheel.time_to_next(now).map_or(next == f64::MAX, |wait| now + wait <= next.max(now) + 0.5));
            }
        }
    }
}
