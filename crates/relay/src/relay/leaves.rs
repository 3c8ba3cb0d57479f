//! The leaves that are attached to a relay: greeted, taken, refused, found silent or gone, and what they say.

use super::feeds::join;
use super::*;

impl Relay {
    pub(super) fn hello(&mut self, now: f64, id: LinkId, hello: &Hello) -> Result<(), LinkError> {
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
        let later = |life: &Incarnation| *life > hello.incarnation;
        let linked = |l: &Link| matches!(&l.who, Who::Leaf(m, life, _) if *m == leaf && later(life));
        // One whose clock was set back comes with an earlier life than its last, which nobody lives any more.
        if self.links.values().any(linked) {
            return Err(LinkError::StaleLife);
        }
        let leaves = self.links.values().filter(|l| matches!(l.who, Who::Leaf(..))).count();
        // Each leaf has one link here, its own relay's or its second choice's.
        if leaves >= 2 * self.timing.max_leaves + STRANGERS {
            return Err(LinkError::Full);
        }
        let of = |l: &Link| matches!(l.who, Who::Leaf(m, ..) if m == leaf);
        let old: Vec<LinkId> = self.links.iter().filter(|(_, l)| of(l)).map(|(id, _)| *id).collect();
        old.into_iter().for_each(|old| self.close(now, old));
        if let Some(link) = self.links.get_mut(&id) {
            link.who = Who::Leaf(leaf, hello.incarnation, hello.topic);
        }
        self.learn_name(leaf, &hello.name);
        let welcome = Message::Welcome { relay: self.identity.id, incarnation: self.identity.incarnation };
        self.queue(now, id, welcome);
        Ok(())
    }

    /// How many leaves this relay may have now.
    pub fn leaf_limit(&self) -> usize {
        self.share.limit().min(self.timing.max_leaves)
    }

    /// Up to how many leaves this relay takes further ones now: what it may have as soon as leaves had time to go home.
    pub fn accept_limit(&self) -> usize {
        let all = Key::Leaf(Topic(0), MemberId(0))..=Key::Leaf(Topic(u32::MAX), MemberId(u64::MAX));
        let streams = self.member.store().streams().filter(|(origin, _)| self.counted(origin));
        let said = streams.flat_map(|(_, stream)| stream.range(all.clone()));
        // Who moves is told of by two relays for a while, and who is gone by one.
        let there: BTreeSet<MemberId> = said
            .filter_map(|(key, _, value)| match (key, value) {
                (Key::Leaf(_, leaf), Value::Leaf(fact)) => {
                    (!matches!(fact.presence, Presence::Gone | Presence::Left)).then_some(leaf)
                }
                _ => None,
            })
            .collect();
        let all = there.len();
        let alive = |m: &MemberId| matches!(self.member.view().state(*m), State::Alive);
        let relays = 1 + self.peers.keys().filter(|m| alive(m)).count();
        leaf_limit(all, relays, self.timing.max_load_ratio, self.timing.max_leaves)
    }

    pub(super) fn refuse(&mut self, now: f64, id: LinkId, leaf: MemberId, why: Refusal, seconds: f64) {
        self.counts.refused += 1;
        self.queue(now, id, Message::Refused(why, (seconds * 1000.0) as u32));
        self.tell(Event::Refused(leaf, why));
    }

    pub(super) fn attach(
        &mut self,
        now: f64,
        id: LinkId,
        leaf: MemberId,
        life: Incarnation,
        topic: Topic,
        attach: &Attach,
    ) {
        let known = self.leaves.get(&leaf);
        let again = known.is_some_and(|a| a.link == Some(id) && a.life == life && a.moves == attach.moves);
        if !again {
            if self.ending {
                return self.refuse(now, id, leaf, Refusal::Shedding, self.timing.refused_retry_s);
            }
            if !self.member.ready() {
                return self.refuse(now, id, leaf, Refusal::CatchingUp, CATCHING_UP);
            }
            let here = known.is_some_and(|a| a.link.is_some());
            let topics = !self.topics.contains_key(&topic) && self.topics.len() >= TOPICS;
            let takes = self.accept_limit();
            self.share.raise_to(takes);
            if !here && self.attached_count() >= takes || topics {
                // Where its share is reached, another relay has room, or this one does once it hears of more leaves.
                let most = self.attached_count() >= self.timing.max_leaves || topics;
                let retry =
                    if most { self.timing.refused_retry_s } else { self.timing.refused_retry_s.min(SHARED) };
                let retry = retry * (0.5 + stable_fraction(leaf, u64::from(attach.moves)));
                return self.refuse(now, id, leaf, Refusal::Full, retry);
            }
            if known.is_some_and(|a| a.topic != topic) {
                self.forget(now, leaf);
            }
        }
        let old = self.leaves.remove(&leaf).filter(|a| a.life == life);
        let copy = old.map(|a| a.copy).unwrap_or_default();
        let held = copy.state().map_or(0, |c| c.version);
        let (presence, in_force) = (Presence::Here, attach.in_force);
        self.leaves.insert(
            leaf,
            Attached {
                life,
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
        self.counts.attached += u64::from(!again);
        self.open_topic(now, topic);
        let feed = self.feed;
        if let Some(feeds) = self.topics.get_mut(&topic) {
            feeds.members.insert(leaf);
            if let Some(link) = self.links.get_mut(&id) {
                link.servers = Cursor::resume(feed, &feeds.servers, attach.servers);
                link.leaves = Cursor::resume(feed, &feeds.leaves, attach.leaves);
                (link.settings, link.outgoing) = (attach.settings, None);
                // Spread over the time between two.
                link.next_digest =
                    now + self.timing.digest_interval_s * (0.5 + 0.5 * stable_fraction(leaf, id.0));
            }
        }
        self.publish(now, leaf);
        self.recount(now, leaf);
        self.queue(now, id, Message::Attached(held));
    }

    /// Begins the feeds of a topic, from what all relays say of it.
    pub(super) fn open_topic(&mut self, now: f64, topic: Topic) {
        if self.topics.contains_key(&topic) {
            return;
        }
        let mut feeds = TopicFeeds::default();
        feeds.servers.reaches(self.floor, self.floor);
        feeds.leaves.reaches(self.floor, self.floor);
        self.topics.insert(topic, feeds);
        for key in self.keys_of(topic) {
            self.refresh(now, &key);
        }
    }

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

    /// Writes how a leaf is found.
    pub(super) fn publish(&mut self, now: f64, leaf: MemberId) {
        let Some(a) = self.leaves.get(&leaf) else { return };
        let fact = LeafFact { life: a.life, moves: a.moves, presence: a.presence };
        self.member.publish(now, Key::Leaf(a.topic, leaf), Some(Value::Leaf(fact)));
        self.wake_relays(now);
    }

    pub(super) fn found(&mut self, now: f64, leaf: MemberId, presence: Presence) {
        let Some(a) = self.leaves.get_mut(&leaf).filter(|a| a.presence != presence) else { return };
        (a.presence, a.since) = (presence, now);
        if a.moved {
            return;
        }
        self.counts.silent += u64::from(presence == Presence::Silent);
        self.counts.gone += u64::from(presence == Presence::Gone);
        self.publish(now, leaf);
        if matches!(presence, Presence::Gone | Presence::Left) {
            self.recount(now, leaf);
        }
        self.tell(Event::LeafPresence(leaf, presence));
    }

    /// A leaf is no longer this relay's to speak of.
    pub(super) fn forget(&mut self, now: f64, leaf: MemberId) {
        let Some(a) = self.leaves.remove(&leaf) else { return };
        self.member.publish(now, Key::Leaf(a.topic, leaf), None);
        if let Some(feeds) = self.topics.get_mut(&a.topic) {
            feeds.members.remove(&leaf);
        }
        let keys: Vec<Key> = a.copy.stream().range(..).map(|(key, ..)| key).collect();
        self.aggregate(now, a.topic, &keys);
        if self.topics.get(&a.topic).is_some_and(|t| t.members.is_empty()) {
            if let Some(old) = self.topics.remove(&a.topic) {
                self.floor = self.floor.max(old.servers.version()).max(old.leaves.version()) + 1;
            }
        }
    }

    /// Joins anew what a leaf has said, as it counts or no longer counts.
    pub(super) fn recount(&mut self, now: f64, leaf: MemberId) {
        let Some(a) = self.leaves.get(&leaf) else { return };
        let (topic, keys) = (a.topic, a.copy.stream().range(..).map(|(key, ..)| key).collect::<Vec<Key>>());
        self.aggregate(now, topic, &keys);
    }

    /// Joins what the leaves of a topic say about these keys of theirs, into the own stream.
    pub(super) fn aggregate(&mut self, now: f64, topic: Topic, keys: &[Key]) {
        let members: Vec<MemberId> =
            self.topics.get(&topic).map_or(Vec::new(), |t| t.members.iter().copied().collect());
        let counts = |a: &&Attached| !a.stale && !matches!(a.presence, Presence::Gone | Presence::Left);
        for key in keys {
            let all = members.iter().filter_map(|m| self.leaves.get(m)).filter(counts);
            let said = all.filter_map(|a| a.copy.stream().get(key));
            let (key, joined) = match key {
                Key::Server(server) => (Key::TopicServer(topic, *server), join(said)),
                Key::Silent(server) => (Key::TopicSilent(topic, *server), join(said)),
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
