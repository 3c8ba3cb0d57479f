//! Sliding windows in bounded memory: a ring of slots, each for a part of the window.

/// A window of time, cut into slots. It covers the slot that is running and the `slots - 1` before it, so
/// what it tells is of between `window - width` and `window` seconds.
#[derive(Clone, Debug)]
pub struct SlidingWindow<T> {
    width: f64,
    slots: Vec<T>,
    /// Number of the newest slot, counted from time 0; none before the first use.
    newest: Option<i64>,
}

impl<T: Default + Clone> SlidingWindow<T> {
    /// An empty window of `window` seconds in `slots` slots; at least one slot of at least a millisecond.
    pub fn new(window: f64, slots: usize) -> Self {
        let slots = slots.max(1);
        let width = (window / slots as f64).max(1e-3);
        SlidingWindow { width, slots: vec![T::default(); slots], newest: None }
    }

    /// Number of the slot that a time falls into.
    pub fn slot_number(&self, at: f64) -> i64 {
        (at / self.width).floor() as i64
    }

    /// Seconds that one slot lasts.
    pub fn slot_width_s(&self) -> f64 {
        self.width
    }

    fn place(&self, slot: i64) -> usize {
        slot.rem_euclid(self.slots.len() as i64) as usize
    }

    /// Moves on to a time and empties the slots that have passed out of the window. Time that goes back
    /// counts as the newest seen.
    pub fn advance(&mut self, now: f64) {
        let slot = self.slot_number(now);
        let from = match self.newest {
            Some(newest) if slot <= newest => return,
            // Past a whole turn each slot is emptied once, however long nothing happened.
            Some(newest) => newest.max(slot - self.slots.len() as i64) + 1,
            None => slot,
        };
        for passed in from..=slot {
            let place = self.place(passed);
            self.slots[place] = T::default();
        }
        self.newest = Some(slot);
    }

    /// The running slot.
    pub fn current_slot(&mut self, now: f64) -> &mut T {
        self.advance(now);
        let place = self.place(self.newest.unwrap_or_default());
        &mut self.slots[place]
    }

    /// The slot of an earlier time, if the window still covers it.
    pub fn slot_at(&mut self, at: f64) -> Option<&mut T> {
        let slot = self.slot_number(at);
        let newest = self.newest?;
        let covered = slot <= newest && slot > newest - self.slots.len() as i64;
        let place = self.place(slot);
        covered.then(|| &mut self.slots[place])
    }

    /// All slots that the window covers, with the time at which each began, in no order of use.
    pub fn covered_slots(&self) -> impl Iterator<Item = (f64, &T)> {
        let (newest, turn) = (self.newest, self.slots.len() as i64);
        let first = newest.unwrap_or_default() - turn + 1;
        (first..first + turn)
            .filter(move |_| newest.is_some())
            .map(|slot| (slot as f64 * self.width, &self.slots[self.place(slot)]))
    }
}

#[cfg(test)]
mod tests {
    use super::SlidingWindow;

    #[test]
    fn a_long_pause_empties_the_window_and_a_clock_that_goes_back_harms_nothing() {
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
