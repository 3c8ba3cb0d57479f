//! The settings of the fleet: a set of named entries under one version.
//!
//! Every change writes its entries under the next version, so what changed after a version are the entries above it, and
//! that is what is told. An entry that was removed stays without a text for a while; once one of those is dropped, who
//! is behind it needs the whole set. Two sets of one content have one hash, whatever their versions.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Entries, bytes of an entry's name and text, and of all of them, at most. At a leaf's rate of 5,120 bytes a second a
/// whole set of that size is there after 14 s.
pub const MAX_ENTRIES: usize = 4096;
/// Bytes of one entry.
pub const MAX_ENTRY_BYTES: usize = 4096;
/// Bytes of all.
pub const MAX_SET_BYTES: usize = 64 * 1024;
/// Removed entries that are remembered.
const MAX_REMOVED_ENTRIES: usize = 256;
/// Bytes of entries in a part, about; one entry always fits.
const TARGET_PART_BYTES: usize = 1024;

/// A version of the settings, and a hash of their content.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Revision {
    /// The version; 0 is the empty set of the start.
    pub version: u64,
    /// The hash of its entries.
    pub hash: u64,
}

/// An entry as it is told.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Its name.
    pub name: String,
    /// Under which version it was written.
    pub version: u64,
    /// Its text; none where it was removed.
    pub text: Option<String>,
}

/// Some of the entries that changed between two versions.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// After this version; 0 is the whole set.
    pub from: u64,
    /// The set that results.
    pub upto: Revision,
    /// Counts the parts, from 0.
    pub number: u32,
    /// Nothing follows.
    pub last: bool,
    /// The entries, by version.
    pub entries: Vec<Entry>,
}

/// Why a set is not taken.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SetError {
    /// Too many entries.
    #[error("{0} entries, of which {MAX_ENTRIES} may be: leave out what one instance alone needs, it belongs in its own file")]
    TooManyEntries(usize),
    /// One is too long.
    #[error("entry {name:?} has {bytes} bytes, of which {MAX_ENTRY_BYTES} may be: divide it")]
    EntryTooLong {
        /// Which.
        name: String,
        /// Its bytes.
        bytes: usize,
    },
    /// All together are too long.
    #[error("{0} bytes in all, of which {MAX_SET_BYTES} may be: leave out what one instance alone needs, it belongs in its own file")]
    TooLong(usize),
    /// A name stands twice.
    #[error("a second entry {0:?}, expected one: join them")]
    DuplicateName(String),
}

/// A set.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SettingsSet {
    revision: Revision,
    /// Who is behind this needs the whole.
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

    /// The entries that are there, by name.
    pub fn entries(&self) -> impl Iterator<Item = (&str, &str)> {
        self.entries.iter().filter_map(|(name, (_, text))| Some((name.as_str(), text.as_deref()?)))
    }

    /// The set that has just these entries, under the next version after `after`; the same set where nothing changes.
    pub fn with_entries(&self, after: u64, wanted: &[(String, String)]) -> Result<SettingsSet, SetError> {
        if wanted.len() > MAX_ENTRIES {
            return Err(SetError::TooManyEntries(wanted.len()));
        }
        let mut bytes = 0;
        let mut new: BTreeMap<&str, &str> = BTreeMap::new();
        for (name, text) in wanted {
            let one = name.len() + text.len();
            bytes += one;
            if one > MAX_ENTRY_BYTES {
                return Err(SetError::EntryTooLong { name: name.clone(), bytes: one });
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

    /// Drops the oldest removed entries beyond the bound, and counts the hash.
    fn prune_and_hash(&mut self) {
        let mut removed: Vec<(u64, String)> =
            self.entries.iter().filter(|(_, e)| e.1.is_none()).map(|(n, e)| (e.0, n.clone())).collect();
        removed.sort();
        let over = removed.len().saturating_sub(MAX_REMOVED_ENTRIES);
        for (version, name) in removed.into_iter().take(over) {
            self.entries.remove(&name);
            self.horizon = self.horizon.max(version);
        }
        self.revision.hash =
            self.entries().fold(0, |hash, (name, text)| hash.wrapping_add(entry_hash(name, text)));
    }

    /// From which version on a holder of this mark can be told the differences; 0 where it needs the whole.
    pub fn diff_base(&self, held: Revision) -> u64 {
        let reaches = held.version >= self.horizon && held.version <= self.revision.version;
        // Another set under the same version.
        let other = held.version == self.revision.version && held.hash != self.revision.hash;
        if reaches && !other {
            held.version
        } else {
            0
        }
    }

    /// The part after so many entries of what changed after a version, and how many it has.
    pub fn part(&self, from: u64, after: usize, number: u32) -> (Part, usize) {
        let mut changed: Vec<(u64, &String, &Option<Arc<str>>)> = (self.entries.iter())
            .filter(|(_, e)| e.0 > from && (from > 0 || e.1.is_some()))
            .map(|(name, e)| (e.0, name, &e.1))
            .collect();
        changed.sort();
        let (mut entries, mut bytes) = (Vec::new(), 0);
        let mut left = changed.iter().skip(after).peekable();
        while let Some((version, name, text)) = left.peek() {
            let one = name.len() + text.as_deref().map_or(0, str::len);
            if !entries.is_empty() && bytes + one > TARGET_PART_BYTES {
                break;
            }
            bytes += one;
            let text = text.as_deref().map(String::from);
            entries.push(Entry { name: (*name).clone(), version: *version, text });
            left.next();
        }
        let last = left.peek().is_none();
        let count = entries.len();
        (Part { from, upto: self.revision, number, last, entries }, count)
    }
}

/// A set on its way in.
#[derive(Clone, Debug)]
pub struct IncomingSet {
    from: u64,
    upto: Revision,
    next: u32,
    entries: Vec<Entry>,
    bytes: usize,
}

/// Why a part was of no use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PartError {
    /// One before it is missing, or it builds on another version: it has to be told anew.
    Gap,
    /// All came, and the result is another set than was told.
    HashMismatch,
    /// More than a set may have.
    TooLarge,
}

impl IncomingSet {
    /// What it will be.
    pub fn target(&self) -> Revision {
        self.upto
    }

    /// Takes a part; returns the whole set with the last one.
    pub fn accept_part(
        held: &SettingsSet,
        incoming: &mut Option<IncomingSet>,
        part: &Part,
    ) -> Result<Option<SettingsSet>, PartError> {
        if part.number == 0 {
            let (from, upto) = (part.from, part.upto);
            *incoming = Some(IncomingSet { from, upto, next: 0, entries: Vec::new(), bytes: 0 });
        }
        let fits = |i: &IncomingSet| i.next == part.number && i.from == part.from && i.upto == part.upto;
        let Some(mut whole) = incoming.take().filter(fits) else { return Err(PartError::Gap) };
        if part.from > 0 && part.from != held.revision.version {
            return Err(PartError::Gap);
        }
        whole.next += 1;
        whole.bytes +=
            part.entries.iter().map(|e| e.name.len() + e.text.as_ref().map_or(0, String::len)).sum::<usize>();
        whole.entries.extend(part.entries.iter().cloned());
        if whole.entries.len() > MAX_ENTRIES + MAX_REMOVED_ENTRIES || whole.bytes > 2 * MAX_SET_BYTES {
            return Err(PartError::TooLarge);
        }
        if !part.last {
            *incoming = Some(whole);
            return Ok(None);
        }
        let mut set = if whole.from == 0 { SettingsSet::default() } else { held.clone() };
        // A whole set tells no removed entries, so this one reaches no further back than itself.
        if whole.from == 0 {
            set.horizon = whole.upto.version;
        }
        for entry in whole.entries {
            set.entries.insert(entry.name, (entry.version, entry.text.map(Into::into)));
        }
        set.revision.version = whole.upto.version;
        set.prune_and_hash();
        match set.revision == whole.upto {
            true => Ok(Some(set)),
            false => Err(PartError::HashMismatch),
        }
    }
}

/// A set on its way out on one link: the set as it was when the first part left, so that a change in between does not mix
/// two versions.
#[derive(Clone, Debug)]
pub struct OutgoingSet {
    set: Arc<SettingsSet>,
    from: u64,
    after: usize,
    number: u32,
}

impl OutgoingSet {
    /// To one that holds this mark.
    pub fn new(set: Arc<SettingsSet>, held: Revision) -> OutgoingSet {
        let from = set.diff_base(held);
        OutgoingSet { set, from, after: 0, number: 0 }
    }

    /// What it will be.
    pub fn revision(&self) -> Revision {
        self.set.revision
    }

    /// The next part.
    pub fn next_part(&mut self) -> Part {
        let (part, count) = self.set.part(self.from, self.after, self.number);
        self.after += count;
        self.number += 1;
        part
    }
}
