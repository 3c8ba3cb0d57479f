//! The links of a relay: made, woken, closed.

use super::*;

impl Relay {
    pub(super) fn new_link(&mut self, now: f64, who: Who, dialed: bool) -> LinkId {
        let id = LinkId(self.next_link);
        self.next_link += 1;
        let link = Link {
            who,
            dialed,
            up: !dialed,
            since: now,
            heard_at: now,
            waiting: VecDeque::new(),
            wake: None,
            budget: ByteBudget::new(now, self.timing.leaf_bytes_per_s, self.timing.burst_s),
            servers: Cursor::from_start(),
            leaves: Cursor::from_start(),
            settings: Revision::default(),
            outgoing: None,
            next_digest: now,
            late: (f64::NEG_INFINITY, 0.0),
        };
        self.links.insert(id, link);
        id
    }

    pub(super) fn wake(&mut self, id: LinkId, at: f64) {
        let Some(link) = self.links.get_mut(&id) else { return };
        let at = micros(at);
        if link.wake.is_some_and(|old| old <= at) {
            return;
        }
        if let Some(old) = link.wake.replace(at) {
            self.wakes.remove(&(old, id));
        }
        self.wakes.insert((at, id));
    }

    pub(super) fn wake_relays(&mut self, now: f64) {
        let all: Vec<LinkId> = self.peers.values().filter_map(|p| p.link).collect();
        all.into_iter().for_each(|link| self.wake(link, now));
    }

    pub(super) fn queue(&mut self, now: f64, id: LinkId, message: Message) {
        if let Some(link) = self.links.get_mut(&id) {
            if link.waiting.len() < WAITING {
                link.waiting.push_back(message);
            }
        }
        self.wake(id, now);
    }

    /// Forgets a link.
    pub(super) fn gone(&mut self, now: f64, id: LinkId, refused: bool) {
        let Some(link) = self.links.remove(&id) else { return };
        if let Some(at) = link.wake {
            self.wakes.remove(&(at, id));
        }
        match link.who {
            Who::Stranger => {}
            Who::Leaf(leaf, ..) => {
                if let Some(a) = self.leaves.get_mut(&leaf).filter(|a| a.link == Some(id)) {
                    a.link = None;
                    self.found(now, leaf, Presence::Closed);
                }
            }
            Who::Relay(relay, _) => {
                let timing = self.timing;
                let Some(peer) = self.peers.get_mut(&relay) else { return };
                if refused {
                    self.member.refused(now, relay);
                }
                if peer.link == Some(id) || peer.link.is_none() {
                    // That an address refuses links is to be known soon; anything else is tried more and more seldom.
                    peer.pause = if refused || link.up {
                        timing.min_dial_backoff_s
                    } else {
                        (peer.pause * 2.0).min(timing.max_dial_backoff_s / 2.0)
                    };
                    peer.next_dial = now + peer.pause;
                }
                if peer.link == Some(id) {
                    (peer.link, peer.holds, peer.told) = (None, None, None);
                    (peer.outgoing, peer.pushed, peer.incoming) = (None, None, [None, None]);
                    self.member.unlinked(relay);
                }
            }
        }
    }

    pub(super) fn close(&mut self, now: f64, id: LinkId) {
        if self.links.contains_key(&id) {
            self.closes.push(id);
            self.gone(now, id, false);
        }
    }

    /// Ends: every leaf and relay is told, so that leaves go elsewhere at once. What is said after this is the end of each
    /// link.
    pub fn begin_shutdown(&mut self, now: f64) {
        self.ending = true;
        let all: Vec<(LinkId, bool)> =
            self.links.iter().map(|(id, l)| (*id, matches!(l.who, Who::Relay(_, true)))).collect();
        for (id, relay) in all {
            let message = if relay { Message::Mesh(Word::Leave) } else { Message::Leave };
            self.queue(now, id, message);
        }
    }
}
