//! Room for new connections of callers, when as many are held as may be.

use hollypaddle_core::calls::Calls;

use super::closing::{ClosedBy, Closing};
use super::{BestReply, Client, Clients};
use crate::node::delivery::Closed;
use crate::node::poller::{Key, Watch};

/// Connections of no use looked at to make room for one more.
const LOOKS: usize = 8;

/// While places are short, one that waits for nothing makes room for others after so long, in seconds, mute ones first. A usual caller's set-up comes right behind its connect.
const MUTE_SHORT: f64 = 0.25;

impl Clients {
    /// Drops the connection that was closed here first, one with nothing to write if there is one; where there is none, closes
    /// the one that has been of no use for longest, those that were sent nothing first. Guards against callers locked out by
    /// others that connect by hundreds and send nothing, or ask once and keep their connection for good.
    pub(super) fn make_room(&mut self, now: f64, watch: &Watch, calls: &mut Calls) {
        for _ in 0..LOOKS {
            let order = |(key, c): &(&Key, &Closing)| (c.side == ClosedBy::Us, c.connection.blocked(), **key);
            if let Some(first) = self.closing.iter().min_by_key(order).map(|(key, _)| *key) {
                return self.drop_closing(now, first, Closed::Unknown, watch);
            }
            let reserved = self.reserved(calls);
            let idle = |key: Key, c: &Client, calls: &Calls| {
                // An answer that came in this turn is not written yet.
                let needed = calls.open_from(key) > 0 || calls.owes_reply(key) || Some(key) == reserved;
                !needed && c.unused(now, MUTE_SHORT, MUTE_SHORT)
            };
            let unused = self.connections.iter().filter(|(key, client)| idle(**key, client, calls));
            let order = |key: &Key, c: &Client| {
                (calls.standing_from(*key) > 0, c.best_reply != BestReply::None, c.used_at)
            };
            let oldest = unused.min_by(|a, b| {
                let (a, b) = (order(a.0, a.1), order(b.0, b.1));
                (a.0, a.1).cmp(&(b.0, b.1)).then(a.2.total_cmp(&b.2))
            });
            let Some(key) = oldest.map(|(key, _)| *key) else { return };
            self.close_if(now, key, |c, calls| idle(key, c, calls), watch, calls);
            if self.held() < self.most {
                return;
            }
        }
    }
}
