//! Eviction of unused client connections, to free slots for new ones when the maximum is reached.

use hollypaddle_core::calls::Calls;
use hollypaddle_platform::connection::CloseReason;

use super::closing::RESET_WAIT_S;
use super::{BestReply, Client, Clients};
use crate::node::delivery::CloseKind;
use crate::node::poller::{Key, Poller};

/// Maximum number of connections considered to free one slot.
const MAX_EVICTION_ATTEMPTS: usize = 8;

/// While all slots are taken, a connection with nothing pending may be evicted when it has been unused for this long, in
/// seconds. Those on which nothing was sent go first. A usual caller sends its set-up right after connecting.
const UNUSED_AFTER_S: f64 = 0.25;

/// One slot in this many may be held by closed connections whose reset would prove an end unread.
const SLOTS_PER_AWAITED_RESET: usize = 4;

impl Clients {
    /// Frees a slot for one more connection: drops a closed connection, or closes the one that has been unused for longest,
    /// preferring those on which nothing was sent. Otherwise callers would be locked out by others that connect by the hundreds
    /// and send nothing, or send one set-up and keep their connection for good.
    pub(super) fn free_slot(&mut self, now: f64, poller: &Poller, calls: &mut Calls) {
        for _ in 0..MAX_EVICTION_ATTEMPTS {
            if let Some(key) = self.droppable(now) {
                return self.drop_closing(now, key, CloseKind::Unknown, poller);
            }
            let Some(key) = self.least_used(now, calls) else { return };
            // Closing connections free their slots soon. A connection with standing calls is evicted only if callers have
            // waited longer than that takes.
            let waited_long = self.full_since.is_some_and(|since| now - since >= RESET_WAIT_S);
            if calls.standing_count(key) > 0 && !self.closing.is_empty() && !waited_long {
                return;
            }
            let reserved = self.reserved_connection(calls);
            let reason = |c: &mut Client, calls: &Calls| {
                is_evictable(now, key, c, reserved, calls).then_some(CloseReason::Idle)
            };
            self.close_if(now, key, reason, poller, calls);
            if self.socket_count() < self.max_connections {
                return;
            }
        }
    }

    /// Resumes accepting after a pause, if there is a free slot.
    pub(super) fn resume_accepting(&mut self, poller: &Poller) {
        if !self.accept_paused || self.socket_count() >= self.max_connections {
            return;
        }
        self.accept_paused = false;
        if let Some(listener) = &self.listener {
            poller.set_interest(self.listener_key, listener, true, false);
        }
    }

    /// Returns the closed connection to drop first. One that awaits a reset is dropped only if too many do, the one that has
    /// waited for longest first. Dropping it earlier would lose an end that the reset would have proved unread; never dropping
    /// it would let callers that leave ends unread hold all slots.
    fn droppable(&self, now: f64) -> Option<Key> {
        let (awaiting, others): (Vec<_>, Vec<_>) =
            self.closing.iter().partition(|(_, closing)| closing.awaits_reset(now));
        if let Some((key, _)) = others.into_iter().min_by_key(|(key, closing)| (closing.is_blocked(), **key))
        {
            return Some(*key);
        }
        if awaiting.len() <= self.max_connections / SLOTS_PER_AWAITED_RESET {
            return None;
        }
        let longest = awaiting.into_iter().min_by(|(_, a), (_, b)| a.closed_at().total_cmp(&b.closed_at()));
        longest.map(|(key, _)| *key)
    }

    /// Returns the open connection that has been unused for longest, preferring those on which nothing was sent.
    fn least_used(&self, now: f64, calls: &Calls) -> Option<Key> {
        let reserved = self.reserved_connection(calls);
        let unused = self.connections.iter().filter(|(key, c)| is_evictable(now, **key, c, reserved, calls));
        let order = |key: Key, c: &Client| {
            (calls.standing_count(key) > 0, c.best_reply != BestReply::None, c.used_at)
        };
        let oldest = unused.min_by(|(a_key, a), (b_key, b)| {
            let (a, b) = (order(**a_key, a), order(**b_key, b));
            (a.0, a.1).cmp(&(b.0, b.1)).then(a.2.total_cmp(&b.2))
        });
        oldest.map(|(key, _)| *key)
    }
}

/// Whether a connection may be closed to free its slot for another one.
fn is_evictable(now: f64, key: Key, client: &Client, reserved: Option<Key>, calls: &Calls) -> bool {
    // An answer that arrived in this iteration of the event loop is not written yet.
    let needed = calls.open_count(key) > 0 || calls.has_pending_reply(key) || Some(key) == reserved;
    !needed && client.is_unused(now, UNUSED_AFTER_S, UNUSED_AFTER_S)
}
