//! A timer wheel with coarse ticks.

/// Number of slots. A timer that is further away than one revolution of the wheel stays in its slot for more revolutions.
const SLOTS: usize = 512;

/// Timers by tick. A single timer can't be cancelled: its owner ignores the ones that it no longer needs, and removes them together
/// with [`TimerWheel::retain`].
pub struct TimerWheel<T> {
    slots: Vec<Vec<(u64, T)>>,
    tick: f64,
    /// The last tick whose timers have been handed out.
    handed_out: u64,
    /// Number of timers.
    len: usize,
}

impl<T> TimerWheel<T> {
    /// Creates an empty wheel that starts at the time `now` and whose ticks are `tick` seconds long.
    pub fn new(now: f64, tick: f64) -> Self {
        let slots = (0..SLOTS).map(|_| Vec::new()).collect();
        TimerWheel { slots, tick, handed_out: (now / tick) as u64, len: 0 }
    }

    /// Schedules a timer for the first tick at or after the time `at`, but not before the next tick.
    pub fn schedule(&mut self, at: f64, timer: T) {
        let due = ((at / self.tick).ceil().max(0.0) as u64).max(self.handed_out + 1);
        self.slots[(due % SLOTS as u64) as usize].push((due, timer));
        self.len += 1;
    }

    /// Number of timers that are scheduled, also of those that their owner no longer needs.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether no timer is scheduled.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Removes the timers that are no longer needed, to free their memory.
    pub fn retain(&mut self, is_needed: impl Fn(&T) -> bool) {
        for slot in &mut self.slots {
            slot.retain(|(_, timer)| is_needed(timer));
            slot.shrink_to_fit();
        }
        self.len = self.slots.iter().map(Vec::len).sum();
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
        self.len -= due.len();
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
mod tests;
