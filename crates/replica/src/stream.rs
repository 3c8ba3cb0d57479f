//! One stream, or a copy of it: the newest version of every record, in the order of versions.
//!
//! That order is the log of changes: what changed after a version are the records above it. A withdrawn record stays
//! as a tombstone for a while; once one is dropped, a copy that is behind its version needs the whole stream. The
//! version of the latest dropped tombstone is the *horizon*. So the log is bounded by the records that exist and by
//! the tombstones kept.

use std::collections::{BTreeMap, VecDeque};

use crate::record::{content_hash, Key, Record, Value, KINDS};

/// Most tombstones kept in a stream.
pub const MAX_TOMBSTONES: usize = 4096;
/// Most records in a chunk: about 10 KiB, which is under the limit of a frame and takes little of an iteration of the
/// event loop.
pub const MAX_CHUNK_RECORDS: usize = 256;

#[derive(Clone, Copy, Debug, PartialEq)]
struct Entry {
    version: u64,
    /// The time of the evidence, on the own clock.
    at: f64,
    value: Option<Value>,
}

/// A record that was received with other content than the one held under the same version.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Conflict {
    /// The key of the received record.
    pub key: Key,
    /// The version of both.
    pub version: u64,
    /// The content that was held.
    pub held: Option<Value>,
    /// The content that was received.
    pub received: Option<Value>,
}

/// The records that one member wrote in one incarnation, or a copy of them.
#[derive(Clone, Debug, Default)]
pub struct Stream {
    version: u64,
    horizon: u64,
    records: BTreeMap<Key, Entry>,
    by_version: BTreeMap<u64, Key>,
    tombstones: VecDeque<(u64, Key)>,
    hash: u64,
    counts: [usize; KINDS.len()],
}

impl Stream {
    /// The version that it reaches.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// A copy that is behind this version needs the whole stream.
    pub fn horizon(&self) -> u64 {
        self.horizon
    }

    /// A hash of its records, independent of the order in which they arrived.
    pub fn hash(&self) -> u64 {
        self.hash
    }

    /// The number of records, without tombstones.
    pub fn len(&self) -> usize {
        self.counts.iter().sum()
    }

    /// Whether it has no records.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// The number of records by kind, without tombstones.
    pub fn counts(&self) -> [usize; KINDS.len()] {
        self.counts
    }

    /// The number of records and tombstones.
    pub fn len_with_tombstones(&self) -> usize {
        self.records.len()
    }

    /// The value of a key, if it has one, and the time of the evidence.
    pub fn get(&self, key: &Key) -> Option<(f64, Value)> {
        let entry = self.records.get(key)?;
        Some((entry.at, entry.value?))
    }

    /// Whether it had a record of this key and has withdrawn it, as far back as tombstones are kept.
    pub fn is_withdrawn(&self, key: &Key) -> bool {
        self.records.get(key).is_some_and(|entry| entry.value.is_none())
    }

    /// The records whose keys are in a range: key, time of the evidence, value.
    pub fn range(
        &self,
        keys: impl std::ops::RangeBounds<Key>,
    ) -> impl Iterator<Item = (Key, f64, Value)> + '_ {
        self.records.range(keys).filter_map(|(key, entry)| Some((*key, entry.at, entry.value?)))
    }

    /// Writes a record of the own stream, or withdraws it if `value` is `None`; returns whether that changes the
    /// stream.
    pub fn write(&mut self, at: f64, key: Key, value: Option<Value>) -> bool {
        let held = self.records.get(&key).and_then(|entry| entry.value);
        if held == value {
            return false;
        }
        self.version += 1;
        self.insert(key, Entry { version: self.version, at, value });
        true
    }

    /// Applies a received record to a copy; returns the conflict if it contradicts what is held under its version.
    pub fn apply(&mut self, at: f64, record: &Record) -> Option<Conflict> {
        let Record { key, version, value, .. } = *record;
        let entry = Entry { version, at, value };
        // Each version is one change of one record: another key under the same version comes from a second writer.
        if let Some(other) = self.by_version.get(&version).copied().filter(|other| *other != key) {
            let held = self.records.get(&other).and_then(|e| e.value);
            if content_hash(&key, version, &value) > content_hash(&other, version, &held) {
                self.remove(&other);
                self.insert(key, entry);
            }
            return Some(Conflict { key, version, held, received: value });
        }
        match self.records.get(&key) {
            Some(held) if held.version > version => None,
            Some(held) if held.version == version && held.value == value => None,
            Some(held) if held.version == version => {
                let conflict = Conflict { key, version, held: held.value, received: value };
                if content_hash(&key, version, &value) > content_hash(&key, version, &held.value) {
                    self.insert(key, entry);
                }
                Some(conflict)
            }
            // Withdrawn and its tombstone dropped here; the received record is older than that.
            None if version <= self.horizon => None,
            _ => {
                self.insert(key, entry);
                None
            }
        }
    }

    fn remove(&mut self, key: &Key) {
        let Some(old) = self.records.remove(key) else { return };
        self.by_version.remove(&old.version);
        if old.value.is_some() {
            self.hash = self.hash.wrapping_sub(content_hash(key, old.version, &old.value));
            self.counts[key.kind()] -= 1;
        }
    }

    /// Records that all changes up to this version have been applied.
    pub fn advance_to(&mut self, version: u64, horizon: u64) {
        self.version = self.version.max(version);
        self.horizon = self.horizon.max(horizon.min(self.version));
    }

    fn insert(&mut self, key: Key, entry: Entry) {
        self.remove(&key);
        self.records.insert(key, entry);
        self.by_version.insert(entry.version, key);
        match entry.value {
            Some(_) => {
                self.hash = self.hash.wrapping_add(content_hash(&key, entry.version, &entry.value));
                self.counts[key.kind()] += 1;
            }
            None => self.tombstones.push_back((entry.version, key)),
        }
        while self.tombstones.len() > MAX_TOMBSTONES {
            let Some((version, key)) = self.tombstones.pop_front() else { break };
            let is_tombstone = |e: &Entry| e.version == version && e.value.is_none();
            if self.records.get(&key).is_some_and(is_tombstone) {
                self.records.remove(&key);
                self.by_version.remove(&version);
                self.horizon = self.horizon.max(version);
            }
        }
    }

    /// The changes after a version in the order of versions, tombstones included, up to a chunk: the records, the
    /// version that they reach, and whether they are the last.
    pub fn changes_after(&self, now: f64, after: u64) -> (Vec<Record>, u64, bool) {
        self.limited_changes_after(now, after, MAX_CHUNK_RECORDS)
    }

    /// The same, of at most `max_records` records.
    pub fn limited_changes_after(
        &self,
        now: f64,
        after: u64,
        max_records: usize,
    ) -> (Vec<Record>, u64, bool) {
        let mut remaining = self.by_version.range(after.saturating_add(1)..);
        let mut records = Vec::new();
        for (&version, key) in remaining.by_ref().take(max_records) {
            if let Some(entry) = self.records.get(key) {
                let age_ms = ((now - entry.at).max(0.0) * 1000.0).min(f64::from(u32::MAX)) as u32;
                records.push(Record { key: *key, version, age_ms, value: entry.value });
            }
        }
        match remaining.next() {
            Some(_) => (records.clone(), records.last().map_or(after, |r| r.version), false),
            None => (records, self.version, true),
        }
    }

    /// Merges another copy where neither is known to be complete: the newer of each record wins. Returns the
    /// conflicts.
    pub fn merge(&mut self, other: &Stream) -> Vec<Conflict> {
        let mut conflicts = Vec::new();
        for (&version, key) in &other.by_version {
            if let Some(entry) = other.records.get(key) {
                let record = Record { key: *key, version, age_ms: 0, value: entry.value };
                conflicts.extend(self.apply(entry.at, &record));
            }
        }
        self.advance_to(other.version, other.horizon);
        conflicts
    }
}
