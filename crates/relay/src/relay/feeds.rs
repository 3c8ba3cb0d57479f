//! Builds the feeds of each topic by merging what all relays report of its servers and leaves.

use super::*;

impl Relay {
    /// Whether a stream counts: it is of the present incarnation of its relay, and that relay is not gone.
    pub(super) fn is_current(&self, origin: &Origin) -> bool {
        if origin.member == self.identity.id {
            return *origin == self.member.store().own_origin();
        }
        let view = self.member.view();
        !matches!(view.state(origin.member), State::Gone(_))
            && view.incarnation_of(origin.member).is_none_or(|incarnation| incarnation <= origin.life)
    }

    /// The values of a key in all streams that count.
    pub(super) fn values_of<'a>(&'a self, key: &'a Key) -> impl Iterator<Item = (f64, Value)> + 'a {
        self.member.store().streams().filter(|(o, _)| self.is_current(o)).filter_map(|(_, s)| s.get(key))
    }

    /// The newest fact of a leaf over all relays, with its time.
    pub(super) fn merged_leaf_fact(&self, topic: Topic, leaf: MemberId) -> Option<(f64, LeafFact)> {
        let key = Key::Leaf(topic, leaf);
        let all = self.values_of(&key).filter_map(|(at, value)| match value {
            Value::Leaf(fact) => Some((at, fact)),
            _ => None,
        });
        all.max_by_key(|(_, fact)| *fact)
    }

    /// Merges what all relays report about a key into the feed of its topic.
    pub(super) fn refresh_key(&mut self, now: f64, key: &Key) {
        let (topic, joined) = match key {
            Key::TopicServer(topic, _) | Key::TopicSilent(topic, _) => {
                (*topic, merge_values(self.values_of(key)))
            }
            Key::Leaf(topic, leaf) => {
                (*topic, self.merged_leaf_fact(*topic, *leaf).map(|(at, fact)| (at, Value::Leaf(fact))))
            }
            _ => return,
        };
        let Some(feeds) = self.topics.get_mut(&topic) else { return };
        let feed = if matches!(key, Key::Leaf(..)) { &mut feeds.leaves } else { &mut feeds.servers };
        let (at, value) = joined.map_or((now, None), |(at, value)| (at, Some(value)));
        if feed.write(at, *key, value) {
            let links: Vec<LinkId> = feeds.members.iter().filter_map(|m| self.leaves.get(m)?.link).collect();
            links.into_iter().for_each(|link| self.wake_link_at(link, now));
        }
    }

    /// Applies to the feeds what has changed in the streams of the relays.
    pub(super) fn merge_streams(&mut self, now: f64) {
        let (mut keys, mut all) = (BTreeSet::new(), false);
        let mut merged = BTreeMap::new();
        for (origin, stream) in self.member.store().streams() {
            let (version, hash) = (stream.version(), stream.hash());
            let (mut after, known) = self.merged_revisions.get(origin).copied().unwrap_or_default();
            merged.insert(*origin, (version, hash));
            if after == version && known == hash {
                continue;
            }
            // A stream that was sent whole has no tombstones for records of an earlier copy, so all keys are merged
            // again.
            all |= after > 0 && after < stream.horizon() || after >= version;
            while after < version {
                let (records, up_to, last) = stream.changes_after(now, after);
                keys.extend(records.iter().map(|r| r.key));
                after = up_to;
                if last {
                    break;
                }
            }
        }
        all |= self.merged_revisions.keys().any(|origin| !merged.contains_key(origin));
        self.merged_revisions = merged;
        match all {
            true => self.refresh_all(now),
            false => keys.iter().for_each(|key| self.refresh_key(now, key)),
        }
    }

    /// Merges all keys of all topics again.
    pub(super) fn refresh_all(&mut self, now: f64) {
        let topics: Vec<Topic> = self.topics.keys().copied().collect();
        for topic in topics {
            let mut keys = self.keys_of(topic);
            if let Some(feeds) = self.topics.get(&topic) {
                keys.extend(feeds.servers.range(..).chain(feeds.leaves.range(..)).map(|(key, ..)| key));
            }
            keys.iter().for_each(|key| self.refresh_key(now, key));
        }
    }
}

/// Merges several values of one key: of servers as among the members of a small fleet; of silences the newest report
/// of the latest start of the server.
pub(super) fn merge_values(all: impl Iterator<Item = (f64, Value)>) -> Option<(f64, Value)> {
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
