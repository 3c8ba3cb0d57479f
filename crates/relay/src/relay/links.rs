//! Manages the links of a relay: opens them, schedules when they are served, and closes them.

use super::*;

impl Relay {
    /// Adds a link.
    pub(super) fn new_link(&mut self, now: f64, peer: LinkPeer, dialed: bool) -> LinkId {
        let id = LinkId(self.next_link);
        self.next_link += 1;
        let link = Link {
            peer,
            dialed,
            up: !dialed,
            since: now,
            last_heard_at: now,
            queued: VecDeque::new(),
            wake_at: None,
            budget: ByteBudget::new(now, self.timing.leaf_bytes_per_s, self.timing.burst_s),
            servers: Cursor::from_start(),
            leaves: Cursor::from_start(),
            settings: Revision::default(),
            outgoing: None,
            next_digest_at: now,
            delayed: (f64::NEG_INFINITY, 0.0),
        };
        self.links.insert(id, link);
        id
    }

    /// Serves a link at this time at the latest.
    pub(super) fn wake_link_at(&mut self, id: LinkId, at: f64) {
        let Some(link) = self.links.get_mut(&id) else { return };
        let at = micros(at);
        if link.wake_at.is_some_and(|old| old <= at) {
            return;
        }
        if let Some(old) = link.wake_at.replace(at) {
            self.wake_queue.remove(&(old, id));
        }
        self.wake_queue.insert((at, id));
    }

    /// Serves the links to all other relays now.
    pub(super) fn wake_relays(&mut self, now: f64) {
        let all: Vec<LinkId> = self.peers.values().filter_map(|p| p.link).collect();
        all.into_iter().for_each(|link| self.wake_link_at(link, now));
    }

    /// Queues a message for a link; drops it if the queue is full.
    pub(super) fn queue(&mut self, now: f64, id: LinkId, message: Message) {
        if let Some(link) = self.links.get_mut(&id) {
            if link.queued.len() < MAX_QUEUED_MESSAGES {
                link.queued.push_back(message);
            }
        }
        self.wake_link_at(id, now);
    }

    /// Removes a link; `refused` says whether the address of its peer refused it.
    pub(super) fn remove_link(&mut self, now: f64, id: LinkId, refused: bool) {
        let Some(link) = self.links.remove(&id) else { return };
        if let Some(at) = link.wake_at {
            self.wake_queue.remove(&(at, id));
        }
        match link.peer {
            LinkPeer::Unidentified => {}
            LinkPeer::Leaf(leaf, ..) => {
                if let Some(a) = self.leaves.get_mut(&leaf).filter(|a| a.link == Some(id)) {
                    a.link = None;
                    self.set_presence(now, leaf, Presence::Closed);
                }
            }
            LinkPeer::Relay(relay, _) => {
                let timing = self.timing;
                let Some(peer) = self.peers.get_mut(&relay) else { return };
                if refused {
                    self.member.link_refused(now, relay);
                }
                if peer.link == Some(id) || peer.link.is_none() {
                    // A refused link is retried soon, so that a refusing address is known quickly; after other
                    // failures the delay grows.
                    peer.backoff_s = if refused || link.up {
                        timing.min_dial_backoff_s
                    } else {
                        (peer.backoff_s * 2.0).min(timing.max_dial_backoff_s / 2.0)
                    };
                    peer.next_dial_at = now + peer.backoff_s;
                }
                if peer.link == Some(id) {
                    (peer.link, peer.held_revisions, peer.sent_revisions) = (None, None, None);
                    (peer.outgoing, peer.pushed, peer.incoming) = (None, None, [None, None]);
                    self.member.link_down(relay);
                }
            }
        }
    }

    /// Closes and removes a link.
    pub(super) fn close_link(&mut self, now: f64, id: LinkId) {
        if self.links.contains_key(&id) {
            self.to_close.push(id);
            self.remove_link(now, id, false);
        }
    }

    /// Announces the end of this relay to every leaf and relay, so that leaves attach elsewhere at once. The
    /// announcement is the last message on each link.
    pub fn begin_shutdown(&mut self, now: f64) {
        self.shutting_down = true;
        let all: Vec<(LinkId, bool)> =
            self.links.iter().map(|(id, l)| (*id, matches!(l.peer, LinkPeer::Relay(_, true)))).collect();
        for (id, relay) in all {
            let message = if relay { Message::Mesh(MeshMessage::Leave) } else { Message::Leave };
            self.queue(now, id, message);
        }
    }
}
