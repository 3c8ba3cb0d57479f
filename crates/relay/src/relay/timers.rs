//! What is due with time: silences, leaves that are gone, leaves beyond the share.

use super::*;

impl Relay {
    /// Takes over what the other relays' membership found.
    pub(super) fn settle(&mut self, now: f64) {
        let mut anew = false;
        for event in self.member.events() {
            anew |= matches!(
                event,
                member::Event::Member(
                    Change::Gone(..)
                        | Change::Returned(_)
                        | Change::Restarted(..)
                        | Change::IncarnationRaised(_)
                )
            );
            self.tell(Event::Mesh(event));
        }
        // No calls are told among relays, so there is none to adopt.
        self.member.acts();
        if anew {
            self.refresh_all(now);
        }
        self.absorb(now);
    }

    /// Whether a leaf of this relay's is attached to another one by now.
    pub(super) fn moved(&self, leaf: MemberId) -> bool {
        let Some(a) = self.leaves.get(&leaf) else { return false };
        a.moved
            || self.leaf_fact(a.topic, leaf).is_some_and(|fact| (fact.life, fact.moves) > (a.life, a.moves))
    }

    pub(super) fn look(&mut self, now: f64) {
        let t = self.timing;
        // A relay that hears no majority does not know who is attached elsewhere, and one that hears it again is told soon.
        let quorum = 2 * (1 + self.mutual(now).len()) > self.peers.len() + 1;
        self.quorum = quorum.then(|| self.quorum.unwrap_or(now));
        let certain =
            self.quorum.is_some_and(|since| now - since >= t.gone_after_close_s) && self.member.ready();
        let mut over = Vec::new();
        for (id, link) in &self.links {
            let silent = now - link.heard_at;
            let late = match &link.who {
                Who::Stranger | Who::Relay(_, false) => now - link.since >= t.handshake_timeout_s,
                Who::Relay(..) => false,
                Who::Leaf(leaf, ..) => {
                    let attached = self.leaves.get(leaf).is_some_and(|a| a.link == Some(*id));
                    silent >= if attached { t.gone_after_silence_s } else { 3.0 * t.second_ping_interval_s }
                }
            };
            if late {
                over.push((*id, link.who.clone()));
            }
        }
        for (id, who) in over {
            if let Who::Leaf(leaf, ..) = who {
                if let Some(a) = self.leaves.get_mut(&leaf).filter(|a| a.link == Some(id)) {
                    a.link = None;
                    let gone = certain && !self.moved(leaf);
                    self.found(now, leaf, if gone { Presence::Gone } else { Presence::Closed });
                }
            }
            self.close(now, id);
        }
        let mut finds = Vec::new();
        for (leaf, a) in &self.leaves {
            let silent = a.link.and_then(|l| self.links.get(&l)).map(|l| now - l.heard_at);
            let next = match (a.presence, silent) {
                (Presence::Here, Some(silent)) if silent >= t.silent_after_s => Presence::Silent,
                (Presence::Silent, Some(silent)) if silent < t.silent_after_s => Presence::Here,
                (Presence::Closed, None) if now - a.since >= t.gone_after_close_s => Presence::Gone,
                _ => continue,
            };
            finds.push((*leaf, next));
        }
        for (leaf, next) in finds {
            match next {
                Presence::Gone if self.moved(leaf) => self.forget(now, leaf),
                Presence::Gone if !certain => {
                    let fresh = self.leaves.get_mut(&leaf).filter(|a| !a.stale);
                    if fresh.map(|a| a.stale = true).is_some() {
                        self.recount(now, leaf);
                    }
                }
                next => self.found(now, leaf, next),
            }
        }
        let over = |a: &Attached| {
            matches!(a.presence, Presence::Gone | Presence::Left) && now - a.since >= t.forget_after_s
        };
        let old: Vec<MemberId> = self.leaves.iter().filter(|(_, a)| over(a)).map(|(m, _)| *m).collect();
        old.into_iter().for_each(|leaf| self.forget(now, leaf));
        self.share.step_towards(now, self.accept_limit(), 2.0 * t.return_delay_s, 2.0 * LOOK);
        let shed = self.beyond_share();
        for (leaf, link) in shed {
            self.refuse(now, link, leaf, Refusal::Shedding, t.refused_retry_s);
            if let Some(a) = self.leaves.get_mut(&leaf) {
                (a.link, a.moved) = (None, true);
                self.found(now, leaf, Presence::Closed);
            }
        }
        self.recover(now);
        (self.counts.leaves, self.counts.topics) = (self.attached_count() as u64, self.topics.len() as u64);
    }

    /// Leaves beyond the share, since that fell, or beyond what the file allows, since it was changed: the last to come, who
    /// are the least likely to be at home here, and not many at once.
    pub(super) fn beyond_share(&self) -> Vec<(MemberId, LinkId)> {
        let excess = self.attached_count().saturating_sub(self.leaf_limit()).min(SHED);
        if excess == 0 {
            return Vec::new();
        }
        let linked = |(leaf, a): (&MemberId, &Attached)| Some((a.since, *leaf, a.link?));
        let mut leaves: Vec<(f64, MemberId, LinkId)> = self.leaves.iter().filter_map(linked).collect();
        leaves.sort_by(|a, b| b.0.total_cmp(&a.0));
        leaves.truncate(excess);
        leaves.into_iter().map(|(_, leaf, link)| (leaf, link)).collect()
    }
}
