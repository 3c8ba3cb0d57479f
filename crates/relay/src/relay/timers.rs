//! Handles what is due by time: silent leaves, leaves that are gone, and leaves beyond the limit.

use super::*;

impl Relay {
    /// Applies the changes in the membership of the mesh of relays.
    pub(super) fn apply_membership_changes(&mut self, now: f64) {
        let mut changed = false;
        for event in self.member.take_events() {
            changed |= matches!(
                event,
                member::Event::Member(
                    Change::Gone(..)
                        | Change::Returned(_)
                        | Change::Restarted(..)
                        | Change::IncarnationRaised(_)
                )
            );
            self.record_event(Event::Mesh(event));
        }
        // Relays report no calls to each other, so there is none to adopt.
        self.member.take_call_actions();
        if changed {
            self.refresh_all(now);
        }
        self.merge_streams(now);
    }

    /// Whether a leaf of this relay is attached to another relay by now.
    pub(super) fn has_moved(&self, leaf: MemberId) -> bool {
        let Some(a) = self.leaves.get(&leaf) else { return false };
        a.moved
            || self
                .leaf_fact(a.topic, leaf)
                .is_some_and(|fact| (fact.life, fact.moves) > (a.incarnation, a.moves))
    }

    /// Detects silent and gone leaves, closes links whose peer is silent or does not identify itself in time, and sends
    /// surplus leaves away.
    pub(super) fn check_leaves(&mut self, now: f64) {
        let t = self.timing;
        // Without a majority this relay does not know which leaves are attached elsewhere; it learns that soon after
        // it reaches a majority again.
        let quorum = 2 * (1 + self.mutually_connected(now).len()) > self.peers.len() + 1;
        self.quorum_since = quorum.then(|| self.quorum_since.unwrap_or(now));
        let certain = self.quorum_since.is_some_and(|since| now - since >= t.gone_after_close_s)
            && self.member.is_caught_up();
        let mut late_links = Vec::new();
        for (id, link) in &self.links {
            let silent = now - link.last_heard_at;
            let late = match &link.peer {
                LinkPeer::Unidentified | LinkPeer::Relay(_, false) => {
                    now - link.since >= t.handshake_timeout_s
                }
                LinkPeer::Relay(..) => false,
                LinkPeer::Leaf(leaf, ..) => {
                    let attached = self.leaves.get(leaf).is_some_and(|a| a.link == Some(*id));
                    silent >= if attached { t.gone_after_silence_s } else { 3.0 * t.second_ping_interval_s }
                }
            };
            if late {
                late_links.push((*id, link.peer.clone()));
            }
        }
        for (id, peer) in late_links {
            if let LinkPeer::Leaf(leaf, ..) = peer {
                if let Some(a) = self.leaves.get_mut(&leaf).filter(|a| a.link == Some(id)) {
                    a.link = None;
                    let gone = certain && !self.has_moved(leaf);
                    self.set_presence(now, leaf, if gone { Presence::Gone } else { Presence::Closed });
                }
            }
            self.close_link(now, id);
        }
        let mut changes = Vec::new();
        for (leaf, a) in &self.leaves {
            let silent = a.link.and_then(|l| self.links.get(&l)).map(|l| now - l.last_heard_at);
            let next = match (a.presence, silent) {
                (Presence::Here, Some(silent)) if silent >= t.silent_after_s => Presence::Silent,
                (Presence::Silent, Some(silent)) if silent < t.silent_after_s => Presence::Here,
                (Presence::Closed, None) if now - a.since >= t.gone_after_close_s => Presence::Gone,
                _ => continue,
            };
            changes.push((*leaf, next));
        }
        for (leaf, next) in changes {
            match next {
                Presence::Gone if self.has_moved(leaf) => self.forget_leaf(now, leaf),
                Presence::Gone if !certain => {
                    let fresh = self.leaves.get_mut(&leaf).filter(|a| !a.stale);
                    if fresh.map(|a| a.stale = true).is_some() {
                        self.merge_all_records_of(now, leaf);
                    }
                }
                next => self.set_presence(now, leaf, next),
            }
        }
        let expired = |a: &AttachedLeaf| {
            matches!(a.presence, Presence::Gone | Presence::Left) && now - a.since >= t.forget_after_s
        };
        let old: Vec<MemberId> = self.leaves.iter().filter(|(_, a)| expired(a)).map(|(m, _)| *m).collect();
        old.into_iter().for_each(|leaf| self.forget_leaf(now, leaf));
        self.load_limit.step_towards(
            now,
            self.accept_limit(),
            2.0 * t.return_delay_s,
            2.0 * CHECK_INTERVAL_S,
        );
        let surplus = self.surplus_leaves();
        for (leaf, link) in surplus {
            self.refuse(now, link, leaf, Refusal::Shedding, t.refused_retry_s);
            if let Some(a) = self.leaves.get_mut(&leaf) {
                (a.link, a.moved) = (None, true);
                self.set_presence(now, leaf, Presence::Closed);
            }
        }
        self.recover_settings(now);
        (self.counts.leaves, self.counts.topics) = (self.attached_count() as u64, self.topics.len() as u64);
    }

    /// Leaves beyond the limit, after their share fell or the configured limit was lowered: those that came last,
    /// which are the least likely to prefer this relay, and only a few at a time.
    pub(super) fn surplus_leaves(&self) -> Vec<(MemberId, LinkId)> {
        let excess = self.attached_count().saturating_sub(self.leaf_limit()).min(MAX_SHED_PER_CHECK);
        if excess == 0 {
            return Vec::new();
        }
        let linked = |(leaf, a): (&MemberId, &AttachedLeaf)| Some((a.since, *leaf, a.link?));
        let mut leaves: Vec<(f64, MemberId, LinkId)> = self.leaves.iter().filter_map(linked).collect();
        leaves.sort_by(|a, b| b.0.total_cmp(&a.0));
        leaves.truncate(excess);
        leaves.into_iter().map(|(_, leaf, link)| (leaf, link)).collect()
    }
}
