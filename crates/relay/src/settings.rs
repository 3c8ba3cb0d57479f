//! Holds the settings of the fleet: a set of named entries under one version.
//!
//! Each change writes its entries under the next version, so the changes after a version are the entries with a
//! higher version, and only those are sent. A removed entry stays as a tombstone without text for a while; once a
//! tombstone is dropped, a holder of an older version needs the whole set. Two sets with the same content have the
//! same hash, whatever their versions.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The most entries of a set.
pub const MAX_ENTRIES: usize = 4096;
/// The most bytes of one entry, name and text together.
pub const MAX_ENTRY_BYTES: usize = 4096;
/// The most bytes of all entries together. At a leaf's rate of 5,120 bytes per second a whole set of that size
/// arrives within 14 s.
pub const MAX_SET_BYTES: usize = 64 * 1024;
/// The most removed entries that are remembered.
const MAX_REMOVED_ENTRIES: usize = 256;
/// The approximate size of the entries in a part; a part always holds at least one entry.
const TARGET_PART_BYTES: usize = 1024;

/// Identifies a set of settings by its version and the hash of its content.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Revision {
    /// The version; 0 is the empty set at the start.
    pub version: u64,
    /// The hash of the entries.
    pub hash: u64,
}

/// An entry as it is sent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Its name.
    pub name: String,
    /// The version under which it was written.
    pub version: u64,
    /// Its text; none if the entry was removed.
    pub text: Option<String>,
}

/// Some of the entries that changed between two versions.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// The version that the changes build on; 0 means the whole set.
    pub from: u64,
    /// The set that results.
    pub up_to: Revision,
    /// The number of the part, from 0.
    pub number: u32,
    /// Whether this is the last part.
    pub last: bool,
    /// The entries, ordered by version.
    pub entries: Vec<Entry>,
}

/// Why a set of entries is rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SetError {
    /// The set has too many entries.
    #[error("{0} entries, at most {MAX_ENTRIES} are allowed: move what only one instance needs to that instance's own file")]
    TooManyEntries(usize),
    /// One entry is too long.
    #[error("entry {name:?} has {bytes} bytes, at most {MAX_ENTRY_BYTES} are allowed: split it")]
    EntryTooLong {
        /// The name of the entry.
        name: String,
        /// Its bytes, name and text together.
        bytes: usize,
    },
    /// All entries together are too long.
    #[error("{0} bytes in total, at most {MAX_SET_BYTES} are allowed: move what only one instance needs to that instance's own file")]
    TooLong(usize),
    /// Two entries have the same name.
    #[error("duplicate entry {0:?}: merge the two")]
    DuplicateName(String),
}

/// A set of settings.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SettingsSet {
    revision: Revision,
    /// A holder of an older version than this one needs the whole set.
    horizon: u64,
    entries: BTreeMap<String, (u64, Option<Arc<str>>)>,
}

fn entry_hash(name: &str, text: &str) -> u64 {
    xxh3_64_with_seed(text.as_bytes(), xxh3_64_with_seed(name.as_bytes(), 0))
}

impl SettingsSet {
    /// Its version and hash.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// The entries that are present, by name.
    pub fn entries(&self) -> impl Iterator<Item = (&str, &str)> {
        self.entries.iter().filter_map(|(name, (_, text))| Some((name.as_str(), text.as_deref()?)))
    }

    /// The set with exactly these entries, under the version that follows both its own and `after`; the same set if
    /// nothing changes.
    pub fn with_entries(&self, after: u64, wanted: &[(String, String)]) -> Result<SettingsSet, SetError> {
        if wanted.len() > MAX_ENTRIES {
            return Err(SetError::TooManyEntries(wanted.len()));
        }
        let mut bytes = 0;
        let mut new: BTreeMap<&str, &str> = BTreeMap::new();
        for (name, text) in wanted {
            let entry_bytes = name.len() + text.len();
            bytes += entry_bytes;
            if entry_bytes > MAX_ENTRY_BYTES {
                return Err(SetError::EntryTooLong { name: name.clone(), bytes: entry_bytes });
            }
            if new.insert(name, text).is_some() {
                return Err(SetError::DuplicateName(name.clone()));
            }
        }
        if bytes > MAX_SET_BYTES {
            return Err(SetError::TooLong(bytes));
        }
        if self.entries().eq(new.iter().map(|(name, text)| (*name, *text))) {
            return Ok(self.clone());
        }
        let mut set = self.clone();
        set.revision.version = self.revision.version.max(after) + 1;
        for (name, entry) in &mut set.entries {
            if entry.1.is_some() && !new.contains_key(name.as_str()) {
                *entry = (set.revision.version, None);
            }
        }
        for (name, text) in new {
            let held = set.entries.get(name).and_then(|e| e.1.as_deref());
            if held != Some(text) {
                set.entries.insert(name.into(), (set.revision.version, Some(text.into())));
            }
        }
        set.prune_and_hash();
        Ok(set)
    }

    /// Drops the oldest removed entries beyond the limit, and computes the hash.
    fn prune_and_hash(&mut self) {
        let mut removed: Vec<(u64, String)> =
            self.entries.iter().filter(|(_, e)| e.1.is_none()).map(|(n, e)| (e.0, n.clone())).collect();
        removed.sort();
        let excess = removed.len().saturating_sub(MAX_REMOVED_ENTRIES);
        for (version, name) in removed.into_iter().take(excess) {
            self.entries.remove(&name);
            self.horizon = self.horizon.max(version);
        }
        self.revision.hash =
            self.entries().fold(0, |hash, (name, text)| hash.wrapping_add(entry_hash(name, text)));
    }

    /// The version from which a holder of this revision can be sent the differences; 0 if it needs the whole set.
    pub fn diff_base(&self, held: Revision) -> u64 {
        let in_range = held.version >= self.horizon && held.version <= self.revision.version;
        // A different set under the same version.
        let conflicting = held.version == self.revision.version && held.hash != self.revision.hash;
        if in_range && !conflicting {
            held.version
        } else {
            0
        }
    }

    /// The part that follows the first `after` entries changed since a version, and its number of entries.
    pub fn part(&self, from: u64, after: usize, number: u32) -> (Part, usize) {
        let mut changed: Vec<(u64, &String, &Option<Arc<str>>)> = (self.entries.iter())
            .filter(|(_, e)| e.0 > from && (from > 0 || e.1.is_some()))
            .map(|(name, e)| (e.0, name, &e.1))
            .collect();
        changed.sort();
        let (mut entries, mut bytes) = (Vec::new(), 0);
        let mut left = changed.iter().skip(after).peekable();
        while let Some((version, name, text)) = left.peek() {
            let entry_bytes = name.len() + text.as_deref().map_or(0, str::len);
            if !entries.is_empty() && bytes + entry_bytes > TARGET_PART_BYTES {
                break;
            }
            bytes += entry_bytes;
            let text = text.as_deref().map(String::from);
            entries.push(Entry { name: (*name).clone(), version: *version, text });
            left.next();
        }
        let last = left.peek().is_none();
        let count = entries.len();
        (Part { from, up_to: self.revision, number, last, entries }, count)
    }
}

/// A set that is being received in parts.
#[derive(Clone, Debug)]
pub struct IncomingSet {
    from: u64,
    up_to: Revision,
    next: u32,
    entries: Vec<Entry>,
    bytes: usize,
}

/// Why a part could not be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PartError {
    /// An earlier part is missing, or the part builds on another version: the set has to be sent again.
    Gap,
    /// All parts have arrived, and the result is another set than was announced.
    HashMismatch,
    /// More than a set may have.
    TooLarge,
}

impl IncomingSet {
    /// The revision that the complete set will have.
    pub fn target(&self) -> Revision {
        self.up_to
    }

    /// Accepts a part; returns the whole set with the last one.
    pub fn accept_part(
        held: &SettingsSet,
        incoming: &mut Option<IncomingSet>,
        part: &Part,
    ) -> Result<Option<SettingsSet>, PartError> {
        if part.number == 0 {
            let (from, up_to) = (part.from, part.up_to);
            *incoming = Some(IncomingSet { from, up_to, next: 0, entries: Vec::new(), bytes: 0 });
        }
        let fits = |i: &IncomingSet| i.next == part.number && i.from == part.from && i.up_to == part.up_to;
        let Some(mut pending) = incoming.take().filter(fits) else { return Err(PartError::Gap) };
        if part.from > 0 && part.from != held.revision.version {
            return Err(PartError::Gap);
        }
        pending.next += 1;
        pending.bytes +=
            part.entries.iter().map(|e| e.name.len() + e.text.as_ref().map_or(0, String::len)).sum::<usize>();
        pending.entries.extend(part.entries.iter().cloned());
        if pending.entries.len() > MAX_ENTRIES + MAX_REMOVED_ENTRIES || pending.bytes > 2 * MAX_SET_BYTES {
            return Err(PartError::TooLarge);
        }
        if !part.last {
            *incoming = Some(pending);
            return Ok(None);
        }
        let mut set = if pending.from == 0 { SettingsSet::default() } else { held.clone() };
        // A whole set lists no removed entries, so its history goes back no further than its own version.
        if pending.from == 0 {
            set.horizon = pending.up_to.version;
        }
        for entry in pending.entries {
            set.entries.insert(entry.name, (entry.version, entry.text.map(Into::into)));
        }
        set.revision.version = pending.up_to.version;
        set.prune_and_hash();
        match set.revision == pending.up_to {
            true => Ok(Some(set)),
            false => Err(PartError::HashMismatch),
        }
    }
}

/// A set that is being sent on one link. It keeps the set as it was when the first part was sent, so that a change in
/// between does not mix two versions.
#[derive(Clone, Debug)]
pub struct OutgoingSet {
    set: Arc<SettingsSet>,
    from: u64,
    after: usize,
    number: u32,
}

impl OutgoingSet {
    /// Starts sending a set to a receiver that holds `held`.
    pub fn new(set: Arc<SettingsSet>, held: Revision) -> OutgoingSet {
        let from = set.diff_base(held);
        OutgoingSet { set, from, after: 0, number: 0 }
    }

    /// The revision of the set that is being sent.
    pub fn revision(&self) -> Revision {
        self.set.revision
    }

    /// Returns the next part to send.
    pub fn next_part(&mut self) -> Part {
        let (part, count) = self.set.part(self.from, self.after, self.number);
        self.after += count;
        self.number += 1;
        part
    }
}
