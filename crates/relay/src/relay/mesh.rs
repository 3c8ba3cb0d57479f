//! What is said to the other relays and heard from them.

use super::*;

impl Relay {
    pub(super) fn greet(&mut self, now: f64, id: LinkId, word: &Word) -> Result<(), LinkError> {
        let Word::Hello { from, .. } = word else { return Err(LinkError::OutOfPlace) };
        let from = *from;
        let own = self.identity.id;
        // Both may have made a link in one moment: the one of the lower id's stays, at both ends.
        let by_lower = |dialed: bool| dialed == (own < from);
        let older = self.peers.get(&from).and_then(|p| self.links.get(&p.link?));
        let keeps = |old: &Link| by_lower(old.dialed) && now - old.heard_at < STALE;
        let Some(link) = self.links.get(&id) else { return Ok(()) };
        let dialed = link.dialed;
        if !by_lower(dialed) && older.is_some_and(keeps) {
            return Err(LinkError::SecondLink);
        }
        if let Who::Relay(to, _) = link.who {
            if to != from {
                return Err(LinkError::NotForUs);
            }
        }
        let greeted = self.member.greeted(now, word);
        // Whoever makes the link says hello first, and hears which life of it is known here also if it is refused.
        if !dialed && self.peers.contains_key(&from) {
            let hello = Message::Mesh(self.member.hello(now, from));
            self.queue(now, id, hello);
        }
        greeted?;
        if let Some(old) = self.peers.get(&from).and_then(|p| p.link).filter(|old| *old != id) {
            // The end of an earlier one was not heard. The new one is linked already, so the member hears nothing of it.
            if let Some(link) = self.links.remove(&old) {
                if let Some(at) = link.wake {
                    self.wakes.remove(&(at, old));
                }
                self.closes.push(old);
            }
        }
        if let Some(link) = self.links.get_mut(&id) {
            link.who = Who::Relay(from, true);
        }
        if let Some(peer) = self.peers.get_mut(&from) {
            (peer.link, peer.pause) = (Some(id), self.timing.min_dial_backoff_s);
            (peer.holds, peer.told, peer.outgoing, peer.pushed) = (None, None, None, None);
            peer.incoming = [None, None];
        }
        self.wake(id, now);
        Ok(())
    }

    pub(super) fn say_to_relay(&mut self, now: f64, relay: MemberId) -> Option<Message> {
        let marks = self.marks();
        let peer = self.peers.get_mut(&relay)?;
        if peer.told.is_none_or(|(told, at)| told != marks || now - at >= HOLDS) {
            peer.told = Some((marks, now));
            return Some(Message::Holds { in_force: marks.0, proposed: marks.1 });
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
        self.member.say(now, relay).map(Message::Mesh)
    }

    pub(super) fn turned_down(&mut self, now: f64, leaf: MemberId, version: u64, reason: String) {
        if let Some(peer) = self.peers.get_mut(&self.identity.writer) {
            if peer.turned_down.len() < WAITING {
                peer.turned_down.push_back((leaf, version, reason.clone()));
            }
            if let Some(link) = peer.link {
                self.wake(link, now);
            }
        }
        self.tell(Event::TurnedDown { leaf, version, reason });
    }

    pub(super) fn hear_relay(
        &mut self,
        now: f64,
        relay: MemberId,
        message: &Message,
    ) -> Result<(), LinkError> {
        match message {
            Message::Mesh(word) => {
                self.member.hear(now, relay, word)?;
                self.settle(now);
            }
            Message::Holds { in_force, proposed } => self.holds(now, relay, *in_force, *proposed),
            Message::Want { proposed, held } => {
                let set = match proposed {
                    true => self.proposed.as_ref().map(|(set, ..)| Arc::clone(set)),
                    false => Some(Arc::clone(&self.in_force)),
                };
                if let (Some(set), Some(peer)) = (set, self.peers.get_mut(&relay)) {
                    peer.outgoing = Some((*proposed, OutgoingSet::new(set, *held)));
                    if let Some(link) = peer.link {
                        self.wake(link, now);
                    }
                }
            }
            Message::Settings { proposed, part } => self.part(now, relay, *proposed, part)?,
            Message::TurnedDown { leaf, name, version, reason } => {
                let (leaf, version, reason) = (*leaf, *version, truncate(reason, MAX_REASON_BYTES));
                self.learn_name(leaf, name);
                self.tell(Event::TurnedDown { leaf, version, reason });
            }
            _ => return Err(LinkError::OutOfPlace),
        }
        Ok(())
    }
}
