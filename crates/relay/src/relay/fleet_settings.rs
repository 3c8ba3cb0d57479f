//! The settings of the fleet: proposed by the writer, in force once a majority of relays has stored them, and recovered
//! from leaves where all relays were gone.

use super::*;

impl Relay {
    /// The settings in force, as far as is known here.
    pub fn settings(&self) -> &Arc<SettingsSet> {
        &self.in_force
    }

    /// A change that is stored here and not in force yet.
    pub fn proposed(&self) -> Option<Revision> {
        self.proposed.as_ref().map(|(set, ..)| set.revision())
    }

    pub(super) fn marks(&self) -> (Revision, Revision) {
        (self.in_force.revision(), self.proposed().unwrap_or_default())
    }

    /// Relays that are heard and hear this one, and have said on this link which settings they hold, the own one counted.
    pub(super) fn heard(&self, now: f64) -> usize {
        let mutual = self.mutual(now);
        1 + self.peers.iter().filter(|(m, p)| p.holds.is_some() && mutual.contains(m)).count()
    }

    /// The other relays that are heard and hear this one: with a way that is cut one way nothing can be asked for.
    pub(super) fn mutual(&self, now: f64) -> BTreeSet<MemberId> {
        let rows = self.member.view().snapshot(now);
        rows.into_iter()
            .filter(|r| r.state == State::Alive && r.linked && !r.not_receiving)
            .map(|r| r.member)
            .collect()
    }

    /// Proposes that the fleet's settings are just these entries. It is in force, and [`Event::InForce`] says so, once a
    /// majority of relays has stored it; the mark that it will have is returned. Settings that are in force already are
    /// their own mark.
    pub fn propose(&mut self, now: f64, wanted: &[(String, String)]) -> Result<Revision, SettingsError> {
        if self.identity.writer != self.identity.id {
            return Err(SettingsError::NotWriter);
        }
        let (heard, all) = (self.heard(now), self.peers.len() + 1);
        if 2 * heard <= all {
            return Err(SettingsError::NoMajority { reachable: heard, total: all });
        }
        if !self.member.ready() {
            return Err(SettingsError::CatchingUp);
        }
        let mark = self.propose_on(now, wanted)?;
        self.wanted = Some(wanted.to_vec());
        self.decide(now);
        Ok(mark)
    }

    /// Proposes these entries under a version above all that any relay is known to hold.
    pub(super) fn propose_on(&mut self, now: f64, wanted: &[(String, String)]) -> Result<Revision, SetError> {
        let base =
            self.proposed.as_ref().map_or_else(|| Arc::clone(&self.in_force), |(set, ..)| Arc::clone(set));
        let held = self.peers.values().filter_map(|p| p.holds).map(|(a, b)| a.version.max(b.version));
        let latest = held.max().unwrap_or(0).max(self.in_force.revision().version);
        let set = base.with_entries(latest, wanted)?;
        let mark = set.revision();
        if mark != base.revision() {
            self.proposed = Some((Arc::new(set), now, false));
            self.tell(Event::Proposed(mark));
        }
        Ok(mark)
    }

    /// What the writer wants is proposed anew where other settings came in force, or where a relay holds others under the
    /// version of the proposal: an earlier life of the writer left them, and they are older.
    pub(super) fn renew(&mut self, now: f64) {
        let Some(wanted) = self.wanted.take() else { return };
        if let Some((set, ..)) = &self.proposed {
            let mark = set.revision();
            let other = |m: Revision| m.version >= mark.version && m != mark;
            let holds = self.peers.values().filter_map(|p| p.holds);
            if holds.into_iter().any(|(force, prop)| other(force) || other(prop)) {
                self.proposed = None;
            }
        }
        if self.proposed.is_none() {
            // It fitted when it was proposed first.
            _ = self.propose_on(now, &wanted);
        }
        self.wanted = Some(wanted);
    }

    /// Takes a change in force that a majority has stored; tells it to those that have not.
    pub(super) fn decide(&mut self, now: f64) {
        if self.identity.writer != self.identity.id {
            return;
        }
        self.renew(now);
        let Some((set, since, told)) = self.proposed.clone() else { return };
        let mark = set.revision();
        let stored = |p: &Peer| p.holds.is_some_and(|(force, prop)| prop == mark || force == mark);
        let count = 1 + self.peers.values().filter(|p| stored(p)).count();
        if 2 * count > self.peers.len() + 1 {
            return self.take(now, set);
        }
        if now - since >= self.timing.undecided_after_s && !told {
            self.proposed = Some((Arc::clone(&set), since, true));
            self.tell(Event::Undecided(mark));
        }
        let mut woken = Vec::new();
        for peer in self.peers.values_mut() {
            let Some((force, prop)) = peer.holds else { continue };
            let lately = peer.pushed.is_some_and(|(of, at)| of == mark && now - at < PUSH);
            if prop == mark || force.version >= mark.version || lately {
                continue;
            }
            peer.pushed = Some((mark, now));
            peer.outgoing = Some((true, OutgoingSet::new(Arc::clone(&set), force)));
            woken.extend(peer.link);
        }
        woken.into_iter().for_each(|link| self.wake(link, now));
    }

    /// Settings are in force.
    pub(super) fn take(&mut self, now: f64, set: Arc<SettingsSet>) {
        // Of two of one version, which two lives of a writer can make, the greater hash counts, so that all agree.
        if set.revision() <= self.in_force.revision() {
            return;
        }
        self.in_force = set;
        let version = self.in_force.revision().version;
        if self.proposed.as_ref().is_some_and(|(set, ..)| set.revision().version <= version) {
            self.proposed = None;
        }
        self.tell(Event::InForce(self.in_force.revision()));
        let all: Vec<LinkId> = self.links.keys().copied().collect();
        all.into_iter().for_each(|link| self.wake(link, now));
    }

    pub(super) fn holds(&mut self, now: f64, from: MemberId, force: Revision, prop: Revision) {
        let Some(peer) = self.peers.get_mut(&from) else { return };
        peer.holds = Some((force, prop));
        let mine = self.in_force.revision();
        let stored = self.proposed.clone().map(|(set, ..)| set);
        if force > mine {
            match stored.filter(|set| set.revision() == force) {
                Some(set) => self.take(now, set),
                None => self.want(now, from, false, mine),
            }
        }
        // A writer that started anew finishes what an earlier life began: a majority may have stored it.
        let newest = self.proposed().unwrap_or_default().version.max(self.in_force.revision().version);
        if self.identity.writer == self.identity.id && prop.version > newest {
            self.want(now, from, true, self.in_force.revision());
        }
        self.decide(now);
    }

    pub(super) fn want(&mut self, now: f64, from: MemberId, proposed: bool, held: Revision) {
        let Some(peer) = self.peers.get_mut(&from).filter(|p| now - p.want_at >= HOLDS / 2.0) else { return };
        peer.want_at = now;
        if let Some(link) = peer.link {
            self.queue(now, link, Message::Want { proposed, held });
        }
    }

    pub(super) fn part(
        &mut self,
        now: f64,
        from: MemberId,
        proposed: bool,
        part: &crate::settings::Part,
    ) -> Result<(), LinkError> {
        // The writer itself hears a proposal from others only as it asked for what an earlier life of it left.
        if proposed && from != self.identity.writer && self.identity.id != self.identity.writer {
            self.tell(Event::SecondWriter(from));
            return Ok(());
        }
        let known = match proposed {
            true => {
                part.upto.version
                    <= self.proposed().unwrap_or_default().version.max(self.in_force.revision().version)
            }
            false => part.upto <= self.in_force.revision(),
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
                self.decide(now);
            }
            Ok(Some(set)) => self.take(now, Arc::new(set)),
            Err(PartError::Gap) => self.want(now, from, proposed, self.in_force.revision()),
            Err(PartError::HashMismatch) => self.want(now, from, proposed, Revision::default()),
            Err(PartError::TooLarge) => {
                return Err(LinkError::Malformed("settings of more entries than may be"))
            }
        }
        Ok(())
    }

    /// Asks a leaf for settings that are later than those in force here: they were in force, and all relays that had stored
    /// them were gone.
    pub(super) fn recover(&mut self, now: f64) {
        let asked = |(link, at, _): &(LinkId, f64, Option<IncomingSet>)| {
            self.links.contains_key(link) && now - at < GIVES
        };
        if self.recovery.as_ref().is_some_and(asked) {
            return;
        }
        // One that gave nothing in its time is passed over until it says anew what it holds.
        if let Some((silent, ..)) = self.recovery.take() {
            if let Some(link) = self.links.get_mut(&silent) {
                link.settings = link.settings.min(self.in_force.revision());
            }
        }
        let mine = self.in_force.revision();
        let attached = self.leaves.values().filter_map(|a| a.link);
        let later = attached.filter_map(|id| Some((self.links.get(&id)?.settings, id)));
        let Some((_, id)) = later.filter(|(mark, _)| *mark > mine).max() else { return };
        self.recovery = Some((id, now, None));
        self.queue(now, id, Message::Lacks(mine));
    }

    /// A part of settings that a leaf was asked for.
    pub(super) fn recovered(&mut self, now: f64, id: LinkId, part: &crate::settings::Part) {
        let Some((link, at, incoming)) = self.recovery.as_mut().filter(|r| r.0 == id) else { return };
        debug_assert_eq!(*link, id);
        *at = now;
        match IncomingSet::accept_part(&self.in_force, incoming, part) {
            Ok(None) => {}
            Ok(Some(set)) => {
                self.recovery = None;
                self.take(now, Arc::new(set));
                self.decide(now);
            }
            // It builds on others than are in force here by now, or is none: the whole, or somebody else.
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
