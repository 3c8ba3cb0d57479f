//! Builds the messages to leaves, and handles the messages from them.

use super::*;

impl Relay {
    /// The next message to an attached leaf, by priority: servers, settings, leaves, digest. None if the budget is
    /// used up or nothing is due.
    pub(super) fn next_message_to_leaf(&mut self, now: f64, id: LinkId, topic: Topic) -> Option<Message> {
        let (feed, in_force) = (self.feed_origin, Arc::clone(&self.in_force));
        let feeds = self.topics.get(&topic)?;
        let link = self.links.get_mut(&id)?;
        if !link.budget.can_send(now) {
            return None;
        }
        if link.servers.is_behind(&feeds.servers) {
            return Some(Message::Records(Feed::Servers, link.servers.next_chunk(now, feed, &feeds.servers)));
        }
        if link.outgoing.is_none() && link.settings < in_force.revision() {
            link.outgoing = Some(OutgoingSet::new(in_force, link.settings));
        }
        if let Some(outgoing) = &mut link.outgoing {
            let part = outgoing.next_part();
            if part.last {
                (link.settings, link.outgoing) = (outgoing.revision(), None);
            }
            return Some(Message::Settings { proposed: false, part });
        }
        if link.leaves.is_behind(&feeds.leaves) {
            return Some(Message::Records(Feed::Leaves, link.leaves.next_chunk(now, feed, &feeds.leaves)));
        }
        if now < link.next_digest_at {
            return None;
        }
        link.next_digest_at = now + self.timing.digest_interval_s;
        let copied = |s: &Stream| CopyState { origin: feed, version: s.version(), hash: s.hash() };
        let LinkPeer::Leaf(leaf, ..) = link.peer else { return None };
        let own =
            self.leaves.get(&leaf).map_or((0, 0), |a| (a.copy.stream().version(), a.copy.stream().hash()));
        let (servers, leaves) = (copied(&feeds.servers), copied(&feeds.leaves));
        Some(Message::Digest(Digest { servers, leaves, own, settings: self.in_force.revision() }))
    }

    /// Handles a message from a leaf.
    pub(super) fn handle_leaf_message(
        &mut self,
        now: f64,
        id: LinkId,
        peer: (MemberId, Incarnation, Topic),
        message: &Message,
    ) -> Result<(), LinkError> {
        let (leaf, incarnation, topic) = peer;
        let attached = self.leaves.get(&leaf).is_some_and(|a| a.link == Some(id));
        if attached && self.leaves.get(&leaf).is_some_and(|a| a.presence == Presence::Silent) {
            self.set_presence(now, leaf, Presence::Here);
        }
        match message {
            Message::Ping(number) => self.queue(now, id, Message::Pong(*number)),
            Message::Attach(attach) => self.handle_attach(now, id, leaf, incarnation, topic, attach),
            Message::Leave => {
                if let Some(a) = self.leaves.get_mut(&leaf).filter(|_| attached) {
                    a.link = None;
                    self.set_presence(now, leaf, Presence::Left);
                }
                self.close_link(now, id);
            }
            _ if !attached => {}
            Message::Detach => {
                if let Some(a) = self.leaves.get_mut(&leaf) {
                    (a.link, a.moved) = (None, true);
                    self.set_presence(now, leaf, Presence::Closed);
                }
            }
            Message::Records(Feed::Own, chunk) => {
                let late = self.links.get(&id).map_or((f64::NEG_INFINITY, 0.0), |l| l.delayed);
                let lag = self.paused_s.max(if now <= late.0 { late.1 } else { 0.0 });
                let Some(a) = self.leaves.get_mut(&leaf) else { return Ok(()) };
                if chunk.origin != (Origin { member: leaf, life: incarnation }) {
                    return Err(LinkError::Malformed("records of another origin"));
                }
                match a.copy.apply(now, lag, chunk) {
                    Ok(keys) => self.merge_leaf_records(now, topic, &keys),
                    Err(ChunkError::Malformed) => return Err(LinkError::Malformed("inconsistent records")),
                    Err(ChunkError::Gap) => {
                        let held = a.copy.state();
                        self.counts.resyncs += 1;
                        self.queue(now, id, Message::Resync(Feed::Own, held));
                    }
                }
            }
            Message::Resync(feed, held) => {
                self.counts.resyncs += 1;
                let own = self.feed_origin;
                let (Some(feeds), Some(link)) = (self.topics.get(&topic), self.links.get_mut(&id)) else {
                    return Ok(());
                };
                match feed {
                    Feed::Servers => link.servers = Cursor::resume(own, &feeds.servers, *held),
                    Feed::Leaves => link.leaves = Cursor::resume(own, &feeds.leaves, *held),
                    Feed::Own => return Err(LinkError::OutOfPlace),
                }
                self.wake_link_at(id, now);
            }
            Message::Lacks(revision) => {
                self.counts.resyncs += 1;
                if let Some(link) = self.links.get_mut(&id) {
                    (link.settings, link.outgoing) = (*revision, None);
                }
                self.wake_link_at(id, now);
            }
            Message::Settings { proposed: false, part } => self.accept_recovered_part(now, id, part),
            Message::Verdict { version, refusal: refused } => {
                let Some(a) = self.leaves.get_mut(&leaf) else { return Ok(()) };
                let reason = refused.as_ref().map(|reason| truncate(reason, MAX_REASON_BYTES));
                match reason {
                    None => (a.in_force, a.turned_down) = (*version, None),
                    Some(reason) => {
                        a.turned_down = Some((*version, reason.clone()));
                        self.report_rejection(now, leaf, *version, reason);
                    }
                }
            }
            _ => return Err(LinkError::OutOfPlace),
        }
        Ok(())
    }
}
