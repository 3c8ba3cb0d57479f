//! Sends messages to the other relays and handles those that are received from them.

use super::*;

impl Relay {
    /// Handles the first message of another relay on a link.
    pub(super) fn handle_mesh_hello(
        &mut self,
        now: f64,
        id: LinkId,
        message: &MeshMessage,
    ) -> Result<(), LinkError> {
        let MeshMessage::Hello { from, .. } = message else { return Err(LinkError::OutOfPlace) };
        let from = *from;
        let own = self.identity.id;
        // Both relays may have opened a link at the same time: both keep the one opened by the relay with the lower
        // id.
        let by_lower = |dialed: bool| dialed == (own < from);
        let older = self.peers.get(&from).and_then(|p| self.links.get(&p.link?));
        let keeps = |old: &Link| by_lower(old.dialed) && now - old.last_heard_at < STALE_LINK_S;
        let Some(link) = self.links.get(&id) else { return Ok(()) };
        let dialed = link.dialed;
        if !by_lower(dialed) && older.is_some_and(keeps) {
            return Err(LinkError::SecondLink);
        }
        if let LinkPeer::Relay(to, _) = link.peer {
            if to != from {
                return Err(LinkError::NotForUs);
            }
        }
        let greeting = self.member.receive_hello(now, message);
        // The relay that opened the link says hello first. It gets an answer even if it is refused, so that it learns
        // which incarnation of it is known here.
        if !dialed && self.peers.contains_key(&from) {
            let hello = Message::Mesh(self.member.hello(now, from));
            self.queue(now, id, hello);
        }
        greeting?;
        if let Some(old) = self.peers.get(&from).and_then(|p| p.link).filter(|old| *old != id) {
            // The end of an earlier link was not noticed. The new one is linked already, so the end of the old one is not reported to the member.
            if let Some(link) = self.links.remove(&old) {
                if let Some(at) = link.wake_at {
                    self.wake_queue.remove(&(at, old));
                }
                self.to_close.push(old);
            }
        }
        if let Some(link) = self.links.get_mut(&id) {
            link.peer = LinkPeer::Relay(from, true);
        }
        if let Some(peer) = self.peers.get_mut(&from) {
            (peer.link, peer.backoff_s) = (Some(id), self.timing.min_dial_backoff_s);
            (peer.held_revisions, peer.sent_revisions, peer.outgoing, peer.pushed) = (None, None, None, None);
            peer.incoming = [None, None];
        }
        self.wake_link_at(id, now);
        Ok(())
    }

    /// The next message to another relay.
    pub(super) fn next_message_to_relay(&mut self, now: f64, relay: MemberId) -> Option<Message> {
        let revisions = self.own_revisions();
        let peer = self.peers.get_mut(&relay)?;
        if peer.sent_revisions.is_none_or(|(sent, at)| sent != revisions || now - at >= HOLDS_INTERVAL_S) {
            peer.sent_revisions = Some((revisions, now));
            return Some(Message::Holds { in_force: revisions.0, proposed: revisions.1 });
        }
        if let Some((proposed, outgoing)) = &mut peer.outgoing {
            let (proposed, part) = (*proposed, outgoing.next_part());
            if part.last {
                peer.outgoing = None;
            }
            return Some(Message::Settings { proposed, part });
        }
        if let Some((leaf, version, reason)) = peer.turned_down.pop_front() {
            let name = self.names.get(&leaf).cloned().unwrap_or_default();
            return Some(Message::TurnedDown { leaf, name, version, reason });
        }
        self.member.next_message(now, relay).map(Message::Mesh)
    }

    /// Reports to the writer, and to the log, that a leaf rejected a change.
    pub(super) fn report_rejection(&mut self, now: f64, leaf: MemberId, version: u64, reason: String) {
        if let Some(peer) = self.peers.get_mut(&self.identity.writer) {
            if peer.turned_down.len() < MAX_QUEUED_MESSAGES {
                peer.turned_down.push_back((leaf, version, reason.clone()));
            }
            if let Some(link) = peer.link {
                self.wake_link_at(link, now);
            }
        }
        self.record_event(Event::TurnedDown { leaf, version, reason });
    }

    /// Handles a message from another relay.
    pub(super) fn handle_relay_message(
        &mut self,
        now: f64,
        relay: MemberId,
        message: &Message,
    ) -> Result<(), LinkError> {
        match message {
            Message::Mesh(message) => {
                self.member.receive(now, relay, message)?;
                self.apply_membership_changes(now);
            }
            Message::Holds { in_force, proposed } => self.handle_holds(now, relay, *in_force, *proposed),
            Message::Want { proposed, held } => {
                let set = match proposed {
                    true => self.proposed.as_ref().map(|(set, ..)| Arc::clone(set)),
                    false => Some(Arc::clone(&self.in_force)),
                };
                if let (Some(set), Some(peer)) = (set, self.peers.get_mut(&relay)) {
                    peer.outgoing = Some((*proposed, OutgoingSet::new(set, *held)));
                    if let Some(link) = peer.link {
                        self.wake_link_at(link, now);
                    }
                }
            }
            Message::Settings { proposed, part } => self.accept_settings_part(now, relay, *proposed, part)?,
            Message::TurnedDown { leaf, name, version, reason } => {
                let (leaf, version, reason) = (*leaf, *version, truncate(reason, MAX_REASON_BYTES));
                self.learn_name(leaf, name);
                self.record_event(Event::TurnedDown { leaf, version, reason });
            }
            _ => return Err(LinkError::OutOfPlace),
        }
        Ok(())
    }
}
