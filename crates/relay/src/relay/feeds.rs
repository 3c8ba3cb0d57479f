//! The feeds of each topic: what all relays say of its servers and leaves, joined.

use super::*;

impl Relay {
    /// Whether what a stream says counts: it is of its relay's present life, and that is not gone.
    pub(super) fn counted(&self, origin: &Origin) -> bool {
        if origin.member == self.identity.id {
            return *origin == self.member.store().own();
        }
        let view = self.member.view();
        !matches!(view.state(origin.member), State::Gone(_))
            && view.incarnation_of(origin.member).is_none_or(|life| life <= origin.life)
    }

    pub(super) fn said<'a>(&'a self, key: &'a Key) -> impl Iterator<Item = (f64, Value)> + 'a {
        self.member.store().streams().filter(|(o, _)| self.counted(o)).filter_map(|(_, s)| s.get(key))
    }

    pub(super) fn join_leaf(&self, topic: Topic, leaf: MemberId) -> Option<(f64, LeafFact)> {
        let key = Key::Leaf(topic, leaf);
        let all = self.said(&key).filter_map(|(at, value)| match value {
            Value::Leaf(fact) => Some((at, fact)),
            _ => None,
        });
        all.max_by_key(|(_, fact)| *fact)
    }

    /// Joins what all relays say about a key, into the feed of its topic.
    pub(super) fn refresh(&mut self, now: f64, key: &Key) {
        let (topic, joined) = match key {
            Key::TopicServer(topic, _) | Key::TopicSilent(topic, _) => (*topic, join(self.said(key))),
            Key::Leaf(topic, leaf) => {
                (*topic, self.join_leaf(*topic, *leaf).map(|(at, fact)| (at, Value::Leaf(fact))))
            }
            _ => return,
        };
        let Some(feeds) = self.topics.get_mut(&topic) else { return };
        let feed = if matches!(key, Key::Leaf(..)) { &mut feeds.leaves } else { &mut feeds.servers };
        let (at, value) = joined.map_or((now, None), |(at, value)| (at, Some(value)));
        if feed.write(at, *key, value) {
            let links: Vec<LinkId> = feeds.members.iter().filter_map(|m| self.leaves.get(m)?.link).collect();
            links.into_iter().for_each(|link| self.wake(link, now));
        }
    }

    /// Takes over what changed in the relays' streams.
    pub(super) fn absorb(&mut self, now: f64) {
        let (mut keys, mut all) = (BTreeSet::new(), false);
        let mut absorbed = BTreeMap::new();
        for (origin, stream) in self.member.store().streams() {
            let (version, hash) = (stream.version(), stream.hash());
            let (mut after, known) = self.absorbed.get(origin).copied().unwrap_or_default();
            absorbed.insert(*origin, (version, hash));
            if after == version && known == hash {
                continue;
            }
            // A whole stream has no tombstones of what an earlier copy had.
            all |= after > 0 && after < stream.horizon() || after >= version;
            while after < version {
                let (records, upto, last) = stream.piece(now, after);
                keys.extend(records.iter().map(|r| r.key));
                after = upto;
                if last {
                    break;
                }
            }
        }
        all |= self.absorbed.keys().any(|origin| !absorbed.contains_key(origin));
        self.absorbed = absorbed;
        match all {
            true => self.refresh_all(now),
            false => keys.iter().for_each(|key| self.refresh(now, key)),
        }
    }

    pub(super) fn refresh_all(&mut self, now: f64) {
        let topics: Vec<Topic> = self.topics.keys().copied().collect();
        for topic in topics {
            let mut keys = self.keys_of(topic);
            if let Some(feeds) = self.topics.get(&topic) {
                keys.extend(feeds.servers.range(..).chain(feeds.leaves.range(..)).map(|(key, ..)| key));
            }
            keys.iter().for_each(|key| self.refresh(now, key));
        }
    }
}

/// Joins what several say: of servers as among members of a small fleet, of silences the youngest word of the latest start.
pub(super) fn join(all: impl Iterator<Item = (f64, Value)>) -> Option<(f64, Value)> {
    all.reduce(|a, b| match (a.1, b.1) {
        (Value::Server(x), Value::Server(y)) => {
            let (at, fact) = join_servers((a.0, x), (b.0, y));
            (at, Value::Server(fact))
        }
        (Value::Silent(x), Value::Silent(y)) => {
            if y.cmp(&x).then(b.0.total_cmp(&a.0)).is_gt() {
                b
            } else {
                a
            }
        }
        _ => a,
    })
}
