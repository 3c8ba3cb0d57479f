//! What is remembered of each open call, found by its number.
//!
//! A front numbers its calls one after the other, and most are over soon. So a number's low bits are its place,
//! and a place that an older call still holds is rare: then the table doubles, up to a bound, beyond which such
//! calls go into a map. That finds a call in one step where a map of all would hash it.

use hollypaddle_policy::CallId;
use rustc_hash::FxHashMap;

/// Places at the start, and at most.
const LEAST: usize = 256;
const MOST: usize = 1 << 13;

/// Calls by number.
#[derive(Clone, Debug)]
pub struct CallTable<T> {
    places: Vec<Option<(CallId, T)>>,
    /// Those whose place another call holds.
    rest: FxHashMap<CallId, T>,
    count: usize,
}

impl<T> Default for CallTable<T> {
    fn default() -> Self {
        let places = (0..LEAST).map(|_| None).collect();
        CallTable { places, rest: FxHashMap::default(), count: 0 }
    }
}

impl<T> CallTable<T> {
    fn place(&self, call: CallId) -> usize {
        call as usize & (self.places.len() - 1)
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.count
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// A call's record.
    pub fn get_mut(&mut self, call: CallId) -> Option<&mut T> {
        let place = self.place(call);
        match &mut self.places[place] {
            Some((at, record)) if *at == call => Some(record),
            _ if self.rest.is_empty() => None,
            _ => self.rest.get_mut(&call),
        }
    }

    /// Takes a call's record out.
    pub fn remove(&mut self, call: CallId) -> Option<T> {
        let place = self.place(call);
        let found = match &self.places[place] {
            Some((at, _)) if *at == call => self.places[place].take().map(|held| held.1),
            _ if self.rest.is_empty() => None,
            _ => self.rest.remove(&call),
        };
        self.count -= usize::from(found.is_some());
        found
    }

    /// Puts a call's record in; returns the one that was there.
    pub fn insert(&mut self, call: CallId, record: T) -> Option<T> {
        let before = self.remove(call);
        self.count += 1;
        while self.places.len() < MOST && self.places[self.place(call)].is_some() {
            self.grow();
        }
        let place = self.place(call);
        match &mut self.places[place] {
            empty @ None => *empty = Some((call, record)),
            Some(_) => drop(self.rest.insert(call, record)),
        }
        before
    }

    fn grow(&mut self) {
        let larger = (0..2 * self.places.len()).map(|_| None).collect();
        // What shared no place before shares none among more.
        for held in std::mem::replace(&mut self.places, larger).into_iter().flatten() {
            let place = self.place(held.0);
            self.places[place] = Some(held);
        }
    }

    /// All records, in no order of use.
    pub fn values(&self) -> impl Iterator<Item = &T> {
        self.places.iter().flatten().map(|held| &held.1).chain(self.rest.values())
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;
    use std::collections::BTreeMap;

    proptest! {
        /// Against a map, with numbers that share places, also beyond the bound.
        #[test]
        fn it_is_a_map(steps in prop::collection::vec((0u8..4, 0u32..6, 0u32..6), 1..200)) {
            let (mut table, mut model) = (CallTable::default(), BTreeMap::new());
            for (n, (what, low, high)) in steps.into_iter().enumerate() {
                let call = low + high * (MOST as u32 / 2);
                match what {
                    0 | 1 => prop_assert_eq!(table.insert(call, n), model.insert(call, n)),
                    2 => prop_assert_eq!(table.remove(call), model.remove(&call)),
                    _ => prop_assert_eq!(table.get_mut(call).copied(), model.get(&call).copied()),
                }
                prop_assert_eq!(table.len(), model.len());
                prop_assert!(table.places.len() <= MOST);
            }
            let mut values: Vec<usize> = table.values().copied().collect();
            let mut expected: Vec<usize> = model.into_values().collect();
            values.sort_unstable();
            expected.sort_unstable();
            prop_assert_eq!(values, expected);
        }
    }
}
