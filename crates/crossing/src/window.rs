//! Keeps counts over sliding time windows in bounded memory: a ring of slots, each for a part of the window.

/// A time window that is divided into slots. It covers the current slot and the `slots - 1` before it, so it
/// covers between `window - slot_width_s` and `window` seconds.
#[derive(Clone, Debug)]
pub struct SlidingWindow<T> {
    slot_width_s: f64,
    slots: Vec<T>,
    /// The number of the newest slot, counted from time 0; `None` before the first use.
    newest: Option<i64>,
}

impl<T: Default + Clone> SlidingWindow<T> {
    /// Creates an empty window of `window` seconds in `slots` slots. There is at least one slot, of at least a
    /// millisecond.
    pub fn new(window: f64, slots: usize) -> Self {
        let slots = slots.max(1);
        let width = (window / slots as f64).max(1e-3);
        SlidingWindow { slot_width_s: width, slots: vec![T::default(); slots], newest: None }
    }

    /// Returns the number of the slot that a time falls into.
    pub fn slot_number(&self, at: f64) -> i64 {
        (at / self.slot_width_s).floor() as i64
    }

    /// Returns the length of a slot, in seconds.
    pub fn slot_width_s(&self) -> f64 {
        self.slot_width_s
    }

    fn slot_index(&self, slot: i64) -> usize {
        slot.rem_euclid(self.slots.len() as i64) as usize
    }

    /// Advances to a time and empties the slots that have left the window. If the clock goes back, the newest
    /// time seen counts.
    pub fn advance(&mut self, now: f64) {
        let slot = self.slot_number(now);
        let from = match self.newest {
            Some(newest) if slot <= newest => return,
            // After more than a whole window each slot is emptied once, however long the pause was.
            Some(newest) => newest.max(slot - self.slots.len() as i64) + 1,
            None => slot,
        };
        for passed in from..=slot {
            let index = self.slot_index(passed);
            self.slots[index] = T::default();
        }
        self.newest = Some(slot);
    }

    /// Returns the current slot.
    pub fn current_slot(&mut self, now: f64) -> &mut T {
        self.advance(now);
        let index = self.slot_index(self.newest.unwrap_or_default());
        &mut self.slots[index]
    }

    /// Returns the slot of an earlier time, if the window still covers it.
    pub fn slot_at(&mut self, at: f64) -> Option<&mut T> {
        let slot = self.slot_number(at);
        let newest = self.newest?;
        let is_covered = slot <= newest && slot > newest - self.slots.len() as i64;
        let index = self.slot_index(slot);
        is_covered.then(|| &mut self.slots[index])
    }

    /// Iterates over all slots that the window covers, each with the time at which it began, in no particular
    /// order.
    pub fn covered_slots(&self) -> impl Iterator<Item = (f64, &T)> {
        let (newest, slot_count) = (self.newest, self.slots.len() as i64);
        let first = newest.unwrap_or_default() - slot_count + 1;
        (first..first + slot_count)
            .filter(move |_| newest.is_some())
            .map(|slot| (slot as f64 * self.slot_width_s, &self.slots[self.slot_index(slot)]))
    }
}

#[cfg(test)]
mod tests {
    use super::SlidingWindow;

    #[test]
    fn window_is_empty_after_a_long_pause_and_counts_in_the_newest_slot_when_the_clock_goes_back() {
        let mut ring: SlidingWindow<u32> = SlidingWindow::new(10.0, 5);
        *ring.current_slot(100.0) += 1;
        *ring.current_slot(105.0) += 2;
        assert_eq!(ring.covered_slots().map(|s| *s.1).sum::<u32>(), 3);
        *ring.current_slot(99.0) += 4;
        assert_eq!(ring.covered_slots().map(|s| *s.1).sum::<u32>(), 7);
        assert_eq!(ring.slot_at(101.0).copied(), Some(1));
        ring.advance(1e9);
        assert_eq!(ring.covered_slots().map(|s| *s.1).sum::<u32>(), 0);
        assert_eq!(ring.slot_at(105.0), None);
        assert_eq!(SlidingWindow::<u32>::new(10.0, 5).covered_slots().count(), 0);
    }
}
