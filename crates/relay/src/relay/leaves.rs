//! Manages the leaves attached to a relay: how they are accepted and refused, when they count as silent or gone, and
//! what they report.

use super::feeds::merge_values;
use super::*;

impl Relay {
    /// Handles the first message of a leaf on a link.
    pub(super) fn handle_hello(&mut self, now: f64, id: LinkId, hello: &Hello) -> Result<(), LinkError> {
        let (least, most) = hello.protocol;
        if least > PROTOCOL_VERSION || most < MIN_PROTOCOL_VERSION {
            return Err(LinkError::Protocol { oldest: least, newest: most });
        }
        if hello.to != self.identity.id {
            return Err(LinkError::NotForUs);
        }
        let leaf = hello.from;
        if self.identity.relays.iter().any(|r| r.relay == leaf) {
            return Err(LinkError::OutOfPlace);
        }
        let later = |incarnation: &Incarnation| *incarnation > hello.incarnation;
        let linked = |l: &Link| matches!(&l.peer, LinkPeer::Leaf(m, incarnation, _) if *m == leaf && later(incarnation));
        // Only a live link counts: a leaf whose clock was set back comes with an earlier incarnation than its last
        // one, which has ended.
        if self.links.values().any(linked) {
            return Err(LinkError::StaleIncarnation);
        }
        let leaves = self.links.values().filter(|l| matches!(l.peer, LinkPeer::Leaf(..))).count();
        // Each leaf has one link here, either as to its own relay or as to its second choice.
        if leaves >= 2 * self.timing.max_leaves + MAX_UNIDENTIFIED_LINKS {
            return Err(LinkError::Full);
        }
        let of = |l: &Link| matches!(l.peer, LinkPeer::Leaf(m, ..) if m == leaf);
        let old: Vec<LinkId> = self.links.iter().filter(|(_, l)| of(l)).map(|(id, _)| *id).collect();
        old.into_iter().for_each(|old| self.close_link(now, old));
        if let Some(link) = self.links.get_mut(&id) {
            link.peer = LinkPeer::Leaf(leaf, hello.incarnation, hello.topic);
        }
        self.learn_name(leaf, &hello.name);
        let welcome = Message::Welcome { relay: self.identity.id, incarnation: self.identity.incarnation };
        self.queue(now, id, welcome);
        Ok(())
    }

    /// How many leaves this relay may have now.
    pub fn leaf_limit(&self) -> usize {
        self.load_limit.limit().min(self.timing.max_leaves)
    }

    /// Up to how many leaves this relay accepts further ones now. The number of leaves that it may have falls to this
    /// as leaves return to their preferred relays.
    pub fn accept_limit(&self) -> usize {
        let all = Key::Leaf(Topic(0), MemberId(0))..=Key::Leaf(Topic(u32::MAX), MemberId(u64::MAX));
        let streams = self.member.store().streams().filter(|(origin, _)| self.is_current(origin));
        let said = streams.flat_map(|(_, stream)| stream.range(all.clone()));
        // A leaf that is moving is reported by two relays for a while, and one that is gone by one relay.
        let present: BTreeSet<MemberId> = said
            .filter_map(|(key, _, value)| match (key, value) {
                (Key::Leaf(_, leaf), Value::Leaf(fact)) => {
                    (!matches!(fact.presence, Presence::Gone | Presence::Left)).then_some(leaf)
                }
                _ => None,
            })
            .collect();
        let total = present.len();
        let alive = |m: &MemberId| matches!(self.member.view().state(*m), State::Alive);
        let relays = 1 + self.peers.keys().filter(|m| alive(m)).count();
        leaf_limit(total, relays, self.timing.max_load_ratio, self.timing.max_leaves)
    }

    /// Refuses a leaf for a number of seconds.
    pub(super) fn refuse(&mut self, now: f64, id: LinkId, leaf: MemberId, reason: Refusal, seconds: f64) {
        self.counts.refused += 1;
        self.queue(now, id, Message::Refused(reason, (seconds * 1000.0) as u32));
        self.record_event(Event::Refused(leaf, reason));
    }

    /// Accepts or refuses a leaf that asks to be attached.
    pub(super) fn handle_attach(
        &mut self,
        now: f64,
        id: LinkId,
        leaf: MemberId,
        incarnation: Incarnation,
        topic: Topic,
        attach: &Attach,
    ) {
        let known = self.leaves.get(&leaf);
        let repeated = known
            .is_some_and(|a| a.link == Some(id) && a.incarnation == incarnation && a.moves == attach.moves);
        if !repeated {
            if self.shutting_down {
                return self.refuse(now, id, leaf, Refusal::Shedding, self.timing.refused_retry_s);
            }
            if !self.member.is_caught_up() {
                return self.refuse(now, id, leaf, Refusal::CatchingUp, CATCHING_UP_RETRY_S);
            }
            let here = known.is_some_and(|a| a.link.is_some());
            let topics = !self.topics.contains_key(&topic) && self.topics.len() >= MAX_TOPICS;
            let accept_limit = self.accept_limit();
            self.load_limit.raise_to(accept_limit);
            if !here && self.attached_count() >= accept_limit || topics {
                // If only the share is reached, another relay accepts the leaf, or this one does once it learns of
                // more leaves.
                let full = self.attached_count() >= self.timing.max_leaves || topics;
                let retry = if full {
                    self.timing.refused_retry_s
                } else {
                    self.timing.refused_retry_s.min(SHARE_RETRY_S)
                };
                let retry = retry * (0.5 + stable_fraction(leaf, u64::from(attach.moves)));
                return self.refuse(now, id, leaf, Refusal::Full, retry);
            }
            if known.is_some_and(|a| a.topic != topic) {
                self.forget_leaf(now, leaf);
            }
        }
        let old = self.leaves.remove(&leaf).filter(|a| a.incarnation == incarnation);
        let copy = old.map(|a| a.copy).unwrap_or_default();
        let held = copy.state().map_or(0, |c| c.version);
        let (presence, in_force) = (Presence::Here, attach.in_force);
        self.leaves.insert(
            leaf,
            AttachedLeaf {
                incarnation,
                topic,
                moves: attach.moves,
                link: Some(id),
                presence,
                since: now,
                moved: false,
                stale: false,
                copy,
                in_force,
                turned_down: None,
            },
        );
        self.counts.attached += u64::from(!repeated);
        self.open_topic(now, topic);
        let feed = self.feed_origin;
        if let Some(feeds) = self.topics.get_mut(&topic) {
            feeds.members.insert(leaf);
            if let Some(link) = self.links.get_mut(&id) {
                link.servers = Cursor::resume(feed, &feeds.servers, attach.servers);
                link.leaves = Cursor::resume(feed, &feeds.leaves, attach.leaves);
                (link.settings, link.outgoing) = (attach.settings, None);
                // The first digests of the leaves are spread over the interval.
                link.next_digest_at =
                    now + self.timing.digest_interval_s * (0.5 + 0.5 * stable_fraction(leaf, id.0));
            }
        }
        self.publish_presence(now, leaf);
        self.merge_all_records_of(now, leaf);
        self.queue(now, id, Message::Attached(held));
    }

    /// Starts the feeds of a topic from what all relays report of it.
    pub(super) fn open_topic(&mut self, now: f64, topic: Topic) {
        if self.topics.contains_key(&topic) {
            return;
        }
        let mut feeds = TopicFeeds::default();
        feeds.servers.advance_to(self.min_feed_version, self.min_feed_version);
        feeds.leaves.advance_to(self.min_feed_version, self.min_feed_version);
        self.topics.insert(topic, feeds);
        for key in self.keys_of(topic) {
            self.refresh_key(now, &key);
        }
    }

    /// All keys of a topic in the streams of all relays.
    pub(super) fn keys_of(&self, topic: Topic) -> BTreeSet<Key> {
        let servers = Key::TopicServer(topic, ServerKey(0))..=Key::TopicServer(topic, ServerKey(u64::MAX));
        let silent = Key::TopicSilent(topic, ServerKey(0))..=Key::TopicSilent(topic, ServerKey(u64::MAX));
        let leaves = Key::Leaf(topic, MemberId(0))..=Key::Leaf(topic, MemberId(u64::MAX));
        let mut keys = BTreeSet::new();
        for (_, stream) in self.member.store().streams() {
            for range in [&servers, &silent, &leaves] {
                keys.extend(stream.range(range.clone()).map(|(key, ..)| key));
            }
        }
        keys
    }

    /// Writes the presence of a leaf into the own stream.
    pub(super) fn publish_presence(&mut self, now: f64, leaf: MemberId) {
        let Some(a) = self.leaves.get(&leaf) else { return };
        let fact = LeafFact { life: a.incarnation, moves: a.moves, presence: a.presence };
        self.member.publish(now, Key::Leaf(a.topic, leaf), Some(Value::Leaf(fact)));
        self.wake_relays(now);
    }

    /// Changes the presence of a leaf, publishes and logs it. A leaf that has moved to another relay is neither
    /// published nor logged.
    pub(super) fn set_presence(&mut self, now: f64, leaf: MemberId, presence: Presence) {
        let Some(a) = self.leaves.get_mut(&leaf).filter(|a| a.presence != presence) else { return };
        (a.presence, a.since) = (presence, now);
        if a.moved {
            return;
        }
        self.counts.silent += u64::from(presence == Presence::Silent);
        self.counts.gone += u64::from(presence == Presence::Gone);
        self.publish_presence(now, leaf);
        if matches!(presence, Presence::Gone | Presence::Left) {
            self.merge_all_records_of(now, leaf);
        }
        self.record_event(Event::LeafPresence(leaf, presence));
    }

    /// Removes a leaf that this relay no longer reports on.
    pub(super) fn forget_leaf(&mut self, now: f64, leaf: MemberId) {
        let Some(a) = self.leaves.remove(&leaf) else { return };
        self.member.publish(now, Key::Leaf(a.topic, leaf), None);
        if let Some(feeds) = self.topics.get_mut(&a.topic) {
            feeds.members.remove(&leaf);
        }
        let keys: Vec<Key> = a.copy.stream().range(..).map(|(key, ..)| key).collect();
        self.merge_leaf_records(now, a.topic, &keys);
        if self.topics.get(&a.topic).is_some_and(|t| t.members.is_empty()) {
            if let Some(old) = self.topics.remove(&a.topic) {
                self.min_feed_version =
                    self.min_feed_version.max(old.servers.version()).max(old.leaves.version()) + 1;
            }
        }
    }

    /// Merges again all that a leaf has reported, after it began or ceased to count.
    pub(super) fn merge_all_records_of(&mut self, now: f64, leaf: MemberId) {
        let Some(a) = self.leaves.get(&leaf) else { return };
        let (topic, keys) = (a.topic, a.copy.stream().range(..).map(|(key, ..)| key).collect::<Vec<Key>>());
        self.merge_leaf_records(now, topic, &keys);
    }

    /// Merges what the leaves of a topic report about these keys into the own stream.
    pub(super) fn merge_leaf_records(&mut self, now: f64, topic: Topic, keys: &[Key]) {
        let members: Vec<MemberId> =
            self.topics.get(&topic).map_or(Vec::new(), |t| t.members.iter().copied().collect());
        let counts = |a: &&AttachedLeaf| !a.stale && !matches!(a.presence, Presence::Gone | Presence::Left);
        for key in keys {
            let all = members.iter().filter_map(|m| self.leaves.get(m)).filter(counts);
            let said = all.filter_map(|a| a.copy.stream().get(key));
            let (key, joined) = match key {
                Key::Server(server) => (Key::TopicServer(topic, *server), merge_values(said)),
                Key::Silent(server) => (Key::TopicSilent(topic, *server), merge_values(said)),
                _ => continue,
            };
            match joined {
                Some((at, value)) => self.member.publish(at, key, Some(value)),
                None => self.member.publish(now, key, None),
            }
        }
        self.wake_relays(now);
    }
}
