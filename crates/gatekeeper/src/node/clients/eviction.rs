//! Room for new connections of callers, when as many are held as may be.

use hollypaddle_core::calls::Calls;
use hollypaddle_platform::connection::Over;

use super::closing::RESET_WAIT_S;
use super::{BestReply, Client, Clients};
use crate::node::delivery::Closed;
use crate::node::poller::{Key, Poller};

/// Connections of no use looked at to make room for one more.
const MAX_LOOKS: usize = 8;

/// While places are short, one that waits for nothing makes room for others after so long, in seconds, mute ones first. A usual
/// caller's set-up comes right behind its connect.
const UNUSED_AFTER_S: f64 = 0.25;

/// One place in so many may be kept from new callers by closed connections that may still tell of an unread end.
const PLACES_PER_EVIDENCE: usize = 4;

impl Clients {
    /// Makes room for one more connection: drops one that is closed, or closes the one that has been of no use for longest,
    /// those that were sent nothing first. Guards against callers locked out by others that connect by hundreds and send
    /// nothing, or ask once and keep their connection for good.
    pub(super) fn make_room(&mut self, now: f64, poller: &Poller, calls: &mut Calls) {
        for _ in 0..MAX_LOOKS {
            if let Some(key) = self.droppable(now) {
                return self.drop_closing(now, key, Closed::Unknown, poller);
            }
            let Some(key) = self.least_used(now, calls) else { return };
            // What is still closing gives its place back soon; where that does not suffice, others have waited long enough.
            let short = self.short_since.is_some_and(|since| now - since >= RESET_WAIT_S);
            if calls.standing_count(key) > 0 && !self.closing.is_empty() && !short {
                return;
            }
            let reserved = self.reserved(calls);
            let reason =
                |c: &mut Client, calls: &Calls| is_unused(now, key, c, reserved, calls).then_some(Over::Idle);
            self.close_if(now, key, reason, poller, calls);
            if self.held() < self.most {
                return;
            }
        }
    }

    /// Accepts again after a pause, if there is room.
    pub(super) fn resume_accepting(&mut self, poller: &Poller) {
        if !self.paused || self.held() >= self.most {
            return;
        }
        self.paused = false;
        if let Some(listener) = &self.listener {
            poller.set_interest(self.listener_key, listener, true, false);
        }
    }

    /// The closed connection to drop first. One that awaits evidence stays, unless more do so than may: then the one that
    /// has waited for longest. Guards against an end lost with the reset that would have told that it was left unread, and
    /// against callers that leave ends unread and keep all places by it.
    fn droppable(&self, now: f64) -> Option<Key> {
        let (awaiting, others): (Vec<_>, Vec<_>) =
            self.closing.iter().partition(|(_, closing)| closing.awaits_evidence(now));
        if let Some((key, _)) = others.into_iter().min_by_key(|(key, closing)| (closing.is_blocked(), **key))
        {
            return Some(*key);
        }
        if awaiting.len() <= self.most / PLACES_PER_EVIDENCE {
            return None;
        }
        let longest = awaiting.into_iter().min_by(|(_, a), (_, b)| a.closed_at().total_cmp(&b.closed_at()));
        longest.map(|(key, _)| *key)
    }

    /// The open connection that has been of no use for longest, those that were sent nothing first.
    fn least_used(&self, now: f64, calls: &Calls) -> Option<Key> {
        let reserved = self.reserved(calls);
        let unused = self.connections.iter().filter(|(key, c)| is_unused(now, **key, c, reserved, calls));
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

/// Whether a connection may be closed to make room for another one.
fn is_unused(now: f64, key: Key, client: &Client, reserved: Option<Key>, calls: &Calls) -> bool {
    // An answer that came in this turn is not written yet.
    let needed = calls.open_count(key) > 0 || calls.has_pending_reply(key) || Some(key) == reserved;
    !needed && client.unused(now, UNUSED_AFTER_S, UNUSED_AFTER_S)
}
