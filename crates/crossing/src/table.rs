//! Stores a record for each open call, found by the number of the call.
//!
//! A gatekeeper numbers its calls sequentially, and most are soon over. So the low bits of the number give the
//! slot, and it is rare that an older call still holds it: then the table doubles, up to a limit, beyond which
//! such calls go into a map. This finds a call in one step, where a map of all calls would have to hash it.

use hollypaddle_policy::CallId;
use rustc_hash::FxHashMap;

/// The number of slots at the start.
const MIN_SLOTS: usize = 256;
/// The largest number of slots.
const MAX_SLOTS: usize = 1 << 13;

/// Records by call number.
#[derive(Clone, Debug)]
pub struct CallTable<T> {
    slots: Vec<Option<(CallId, T)>>,
    /// Records of calls whose slot another call holds.
    overflow: FxHashMap<CallId, T>,
    count: usize,
}

impl<T> Default for CallTable<T> {
    fn default() -> Self {
        let slots = (0..MIN_SLOTS).map(|_| None).collect();
        CallTable { slots, overflow: FxHashMap::default(), count: 0 }
    }
}

impl<T> CallTable<T> {
    fn slot_index(&self, call: CallId) -> usize {
        call as usize & (self.slots.len() - 1)
    }

    /// Returns the number of records.
    pub fn len(&self) -> usize {
        self.count
    }

    /// Whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Returns the record of a call.
    pub fn get_mut(&mut self, call: CallId) -> Option<&mut T> {
        let index = self.slot_index(call);
        match &mut self.slots[index] {
            Some((at, record)) if *at == call => Some(record),
            _ if self.overflow.is_empty() => None,
            _ => self.overflow.get_mut(&call),
        }
    }

    /// Removes and returns the record of a call.
    pub fn remove(&mut self, call: CallId) -> Option<T> {
        let index = self.slot_index(call);
        let found = match &self.slots[index] {
            Some((at, _)) if *at == call => self.slots[index].take().map(|entry| entry.1),
            _ if self.overflow.is_empty() => None,
            _ => self.overflow.remove(&call),
        };
        self.count -= usize::from(found.is_some());
        found
    }

    /// Inserts the record of a call and returns the one that was there.
    pub fn insert(&mut self, call: CallId, record: T) -> Option<T> {
        let before = self.remove(call);
        self.count += 1;
        while self.slots.len() < MAX_SLOTS && self.slots[self.slot_index(call)].is_some() {
            self.grow();
        }
        let index = self.slot_index(call);
        match &mut self.slots[index] {
            empty @ None => *empty = Some((call, record)),
            Some(_) => drop(self.overflow.insert(call, record)),
        }
        before
    }

    fn grow(&mut self) {
        let larger = (0..2 * self.slots.len()).map(|_| None).collect();
        // Calls with different slots still have different slots in a larger table.
        for entry in std::mem::replace(&mut self.slots, larger).into_iter().flatten() {
            let index = self.slot_index(entry.0);
            self.slots[index] = Some(entry);
        }
    }

    /// Iterates over all records, in no particular order.
    pub fn values(&self) -> impl Iterator<Item = &T> {
        self.slots.iter().flatten().map(|entry| &entry.1).chain(self.overflow.values())
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;
    use std::collections::BTreeMap;

    proptest! {
        /// Compares the table with a map, for numbers that share slots, also beyond the limit.
        #[test]
        fn call_table_behaves_like_a_map_when_ids_collide(steps in prop::collection::vec((0u8..4, 0u32..6, 0u32..6), 1..200)) {
            let (mut table, mut model) = (CallTable::default(), BTreeMap::new());
            for (n, (what, low, high)) in steps.into_iter().enumerate() {
                let call = low + high * (MAX_SLOTS as u32 / 2);
                match what {
                    0 | 1 => prop_assert_eq!(table.insert(call, n), model.insert(call, n)),
                    2 => prop_assert_eq!(table.remove(call), model.remove(&call)),
                    _ => prop_assert_eq!(table.get_mut(call).copied(), model.get(&call).copied()),
                }
                prop_assert_eq!(table.len(), model.len());
                prop_assert!(table.slots.len() <= MAX_SLOTS);
            }
            let mut values: Vec<usize> = table.values().copied().collect();
            let mut expected: Vec<usize> = model.into_values().collect();
            values.sort_unstable();
            expected.sort_unstable();
            prop_assert_eq!(values, expected);
        }
    }
}
