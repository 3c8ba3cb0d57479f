//! Numbers dialled by callers that were refused or gave up, with the times of their first tries.

use std::collections::BTreeMap;

/// Maximum number of remembered callers.
const MAX_CALLERS: usize = 4096;

/// When a caller first tried, and when that is forgotten, in seconds.
#[derive(Clone, Copy)]
struct Refused {
    first_tried: f64,
    expires_at: f64,
}

/// The callers that were refused, by the number that they dialled.
pub(crate) struct RefusedCallers {
    by_number: BTreeMap<u64, Refused>,
    /// No entry expires before this time.
    none_expires_before: f64,
}

impl RefusedCallers {
    pub(crate) fn new() -> Self {
        RefusedCallers { by_number: BTreeMap::new(), none_expires_before: f64::INFINITY }
    }

    /// When a caller of this number that was refused first tried, if it is remembered.
    pub(crate) fn first_tried(&self, now: f64, dialled: u64) -> Option<f64> {
        self.by_number.get(&dialled).filter(|caller| caller.expires_at > now).map(|caller| caller.first_tried)
    }

    /// Remembers a caller for some seconds after its first try, if there is room.
    pub(crate) fn insert(&mut self, now: f64, dialled: u64, first_tried: f64, lifetime: f64) {
        if self.by_number.len() >= MAX_CALLERS {
            self.remove_expired(now);
        }
        if self.by_number.len() < MAX_CALLERS {
            let expires_at = first_tried + lifetime;
            self.by_number.insert(dialled, Refused { first_tried, expires_at });
            self.none_expires_before = self.none_expires_before.min(expires_at);
        }
    }

    /// Forgets a caller.
    pub(crate) fn remove(&mut self, dialled: u64) {
        self.by_number.remove(&dialled);
    }

    /// Removes the expired entries. Looks at them only if there can be any: while the memory is full, this is called for each
    /// refused call.
    fn remove_expired(&mut self, now: f64) {
        if now < self.none_expires_before {
            return;
        }
        self.by_number.retain(|_, caller| caller.expires_at > now);
        let expiries = self.by_number.values().map(|caller| caller.expires_at);
        self.none_expires_before = expiries.fold(f64::INFINITY, f64::min);
    }

    /// Number of entries.
    #[cfg(test)]
    fn len(&self) -> usize {
        self.by_number.len()
    }
}

#[cfg(test)]
mod tests;
