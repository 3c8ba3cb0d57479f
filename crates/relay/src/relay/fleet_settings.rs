//! Manages the settings of the fleet: proposed by the writer, in force once a majority of relays has stored them, and
//! recovered from leaves after all relays were gone.

use super::*;

impl Relay {
    /// The settings in force, as far as this relay knows.
    pub fn settings(&self) -> &Arc<SettingsSet> {
        &self.in_force
    }

    /// A change that is stored here and not in force yet.
    pub fn proposed(&self) -> Option<Revision> {
        self.proposed.as_ref().map(|(set, ..)| set.revision())
    }

    /// The settings held here: in force, proposed.
    pub(super) fn own_revisions(&self) -> (Revision, Revision) {
        (self.in_force.revision(), self.proposed().unwrap_or_default())
    }

    /// The number of relays, this one included, that are connected in both directions and have reported on this link
    /// which settings they hold.
    pub(super) fn reachable_relays(&self, now: f64) -> usize {
        let mutual = self.mutually_connected(now);
        1 + self.peers.iter().filter(|(m, p)| p.held_revisions.is_some() && mutual.contains(m)).count()
    }

    /// The other relays that are connected in both directions: nothing can be requested over a link that is cut in
    /// one direction.
    pub(super) fn mutually_connected(&self, now: f64) -> BTreeSet<MemberId> {
        let rows = self.member.view().snapshot(now);
        rows.into_iter()
            .filter(|r| r.state == State::Alive && r.linked && !r.not_receiving)
            .map(|r| r.member)
            .collect()
    }

    /// Proposes that the settings of the fleet are exactly these entries, and returns the revision that they will
    /// have. They are in force, and [`Event::InForce`] reports it, once a majority of relays has stored them. For
    /// settings that are in force already their revision is returned.
    ///
    /// Fails if this relay is not the writer, is still catching up or reaches no majority, or if the set is invalid.
    pub fn propose(&mut self, now: f64, wanted: &[(String, String)]) -> Result<Revision, SettingsError> {
        if self.identity.writer != self.identity.id {
            return Err(SettingsError::NotWriter);
        }
        let (reachable, total) = (self.reachable_relays(now), self.peers.len() + 1);
        if 2 * reachable <= total {
            return Err(SettingsError::NoMajority { reachable, total });
        }
        if !self.member.is_caught_up() {
            return Err(SettingsError::CatchingUp);
        }
        let revision = self.propose_on(now, wanted)?;
        self.wanted = Some(wanted.to_vec());
        self.decide_proposal(now);
        Ok(revision)
    }

    /// Proposes these entries under a version above all that any relay is known to hold.
    pub(super) fn propose_on(&mut self, now: f64, wanted: &[(String, String)]) -> Result<Revision, SetError> {
        let base =
            self.proposed.as_ref().map_or_else(|| Arc::clone(&self.in_force), |(set, ..)| Arc::clone(set));
        let held =
            self.peers.values().filter_map(|p| p.held_revisions).map(|(a, b)| a.version.max(b.version));
        let latest = held.max().unwrap_or(0).max(self.in_force.revision().version);
        let set = base.with_entries(latest, wanted)?;
        let revision = set.revision();
        if revision != base.revision() {
            self.proposed = Some((Arc::new(set), now, false));
            self.record_event(Event::Proposed(revision));
        }
        Ok(revision)
    }

    /// Proposes the writer's entries again if other settings came in force, or if a relay holds other settings under
    /// the version of the proposal: those are older and were left by an earlier incarnation of the writer.
    pub(super) fn renew_proposal(&mut self, now: f64) {
        let Some(wanted) = self.wanted.take() else { return };
        if let Some((set, ..)) = &self.proposed {
            let revision = set.revision();
            let other = |m: Revision| m.version >= revision.version && m != revision;
            let held = self.peers.values().filter_map(|p| p.held_revisions);
            if held.into_iter().any(|(in_force, proposed)| other(in_force) || other(proposed)) {
                self.proposed = None;
            }
        }
        if self.proposed.is_none() {
            // The entries were valid when they were first proposed.
            _ = self.propose_on(now, &wanted);
        }
        self.wanted = Some(wanted);
    }

    /// Puts a change in force that a majority has stored; sends it to the relays that have not stored it.
    pub(super) fn decide_proposal(&mut self, now: f64) {
        if self.identity.writer != self.identity.id {
            return;
        }
        self.renew_proposal(now);
        let Some((set, since, reported)) = self.proposed.clone() else { return };
        let revision = set.revision();
        let stored = |p: &PeerRelay| {
            p.held_revisions.is_some_and(|(in_force, proposed)| proposed == revision || in_force == revision)
        };
        let count = 1 + self.peers.values().filter(|p| stored(p)).count();
        if 2 * count > self.peers.len() + 1 {
            return self.put_in_force(now, set);
        }
        if now - since >= self.timing.undecided_after_s && !reported {
            self.proposed = Some((Arc::clone(&set), since, true));
            self.record_event(Event::Undecided(revision));
        }
        let mut woken = Vec::new();
        for peer in self.peers.values_mut() {
            let Some((in_force, proposed)) = peer.held_revisions else { continue };
            let sent_recently =
                peer.pushed.is_some_and(|(of, at)| of == revision && now - at < PROPOSAL_RETRY_S);
            if proposed == revision || in_force.version >= revision.version || sent_recently {
                continue;
            }
            peer.pushed = Some((revision, now));
            peer.outgoing = Some((true, OutgoingSet::new(Arc::clone(&set), in_force)));
            woken.extend(peer.link);
        }
        woken.into_iter().for_each(|link| self.wake_link_at(link, now));
    }

    /// Puts settings in force, unless they are older than those in force.
    pub(super) fn put_in_force(&mut self, now: f64, set: Arc<SettingsSet>) {
        // Two incarnations of a writer can create two sets of one version: the greater hash wins, so that all relays
        // agree.
        if set.revision() <= self.in_force.revision() {
            return;
        }
        self.in_force = set;
        let version = self.in_force.revision().version;
        if self.proposed.as_ref().is_some_and(|(set, ..)| set.revision().version <= version) {
            self.proposed = None;
        }
        self.record_event(Event::InForce(self.in_force.revision()));
        let all: Vec<LinkId> = self.links.keys().copied().collect();
        all.into_iter().for_each(|link| self.wake_link_at(link, now));
    }

    /// Handles another relay's report of which settings it holds.
    pub(super) fn handle_holds(&mut self, now: f64, from: MemberId, in_force: Revision, proposed: Revision) {
        let Some(peer) = self.peers.get_mut(&from) else { return };
        peer.held_revisions = Some((in_force, proposed));
        let mine = self.in_force.revision();
        let stored = self.proposed.clone().map(|(set, ..)| set);
        if in_force > mine {
            match stored.filter(|set| set.revision() == in_force) {
                Some(set) => self.put_in_force(now, set),
                None => self.request_settings(now, from, false, mine),
            }
        }
        // A writer that has restarted completes what an earlier incarnation began: a majority may have stored it.
        let newest = self.proposed().unwrap_or_default().version.max(self.in_force.revision().version);
        if self.identity.writer == self.identity.id && proposed.version > newest {
            self.request_settings(now, from, true, self.in_force.revision());
        }
        self.decide_proposal(now);
    }

    /// Requests settings from another relay.
    pub(super) fn request_settings(&mut self, now: f64, from: MemberId, proposed: bool, held: Revision) {
        let Some(peer) = self.peers.get_mut(&from).filter(|p| now - p.requested_at >= HOLDS_INTERVAL_S / 2.0)
        else {
            return;
        };
        peer.requested_at = now;
        if let Some(link) = peer.link {
            self.queue(now, link, Message::Want { proposed, held });
        }
    }

    /// Accepts a part of settings from another relay.
    pub(super) fn accept_settings_part(
        &mut self,
        now: f64,
        from: MemberId,
        proposed: bool,
        part: &crate::settings::Part,
    ) -> Result<(), LinkError> {
        // The writer itself receives a proposal only because it requested what an earlier incarnation of it left.
        if proposed && from != self.identity.writer && self.identity.id != self.identity.writer {
            self.record_event(Event::SecondWriter(from));
            return Ok(());
        }
        let known = match proposed {
            true => {
                part.up_to.version
                    <= self.proposed().unwrap_or_default().version.max(self.in_force.revision().version)
            }
            false => part.up_to <= self.in_force.revision(),
        };
        if known {
            return Ok(());
        }
        let Some(peer) = self.peers.get_mut(&from) else { return Ok(()) };
        match IncomingSet::accept_part(&self.in_force, &mut peer.incoming[usize::from(proposed)], part) {
            Ok(None) => {}
            Ok(Some(set)) if proposed => {
                self.proposed = Some((Arc::new(set), now, false));
                self.wake_relays(now);
                self.decide_proposal(now);
            }
            Ok(Some(set)) => self.put_in_force(now, Arc::new(set)),
            Err(PartError::Gap) => self.request_settings(now, from, proposed, self.in_force.revision()),
            Err(PartError::HashMismatch) => self.request_settings(now, from, proposed, Revision::default()),
            Err(PartError::TooLarge) => return Err(LinkError::Malformed("settings with too many entries")),
        }
        Ok(())
    }

    /// Requests settings from a leaf if it holds later ones than are in force here: they were in force, and all
    /// relays that had stored them were gone.
    pub(super) fn recover_settings(&mut self, now: f64) {
        let asked = |(link, at, _): &(LinkId, f64, Option<IncomingSet>)| {
            self.links.contains_key(link) && now - at < RECOVERY_TIMEOUT_S
        };
        if self.recovery.as_ref().is_some_and(asked) {
            return;
        }
        // A leaf that sent nothing in time is skipped until it reports again what it holds.
        if let Some((silent, ..)) = self.recovery.take() {
            if let Some(link) = self.links.get_mut(&silent) {
                link.settings = link.settings.min(self.in_force.revision());
            }
        }
        let mine = self.in_force.revision();
        let attached = self.leaves.values().filter_map(|a| a.link);
        let later = attached.filter_map(|id| Some((self.links.get(&id)?.settings, id)));
        let Some((_, id)) = later.filter(|(revision, _)| *revision > mine).max() else { return };
        self.recovery = Some((id, now, None));
        self.queue(now, id, Message::Lacks(mine));
    }

    /// Accepts a part of settings that was requested from a leaf.
    pub(super) fn accept_recovered_part(&mut self, now: f64, id: LinkId, part: &crate::settings::Part) {
        let Some((link, at, incoming)) = self.recovery.as_mut().filter(|r| r.0 == id) else { return };
        debug_assert_eq!(*link, id);
        *at = now;
        match IncomingSet::accept_part(&self.in_force, incoming, part) {
            Ok(None) => {}
            Ok(Some(set)) => {
                self.recovery = None;
                self.put_in_force(now, Arc::new(set));
                self.decide_proposal(now);
            }
            // The part does not fit the settings in force here, which may have changed since the request: request the
            // whole set.
            Err(PartError::Gap) => self.queue(now, id, Message::Lacks(Revision::default())),
            Err(PartError::HashMismatch | PartError::TooLarge) => {
                self.recovery = None;
                if let Some(link) = self.links.get_mut(&id) {
                    link.settings = Revision::default();
                }
            }
        }
    }
}
