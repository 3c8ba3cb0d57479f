//! Catch-up: finds out which records are missing and fetches them from another member.
//!
//! Members send each other digests of what they hold, by version and hash. A member that is behind requests what it
//! lacks: from the origin itself where messages arrive from it, else from the member that has most. The answer holds
//! the changes after the requester's version. Where the source's log does not reach back that far, it holds the whole
//! stream in the order of versions; another source can continue where one stopped, as long as it has dropped no
//! tombstone since the first one began. Once a member holds all of a stream, the origin pushes each change as it
//! occurs.
//!
//! Two copies of one version with different hashes differ although all messages arrived. The origin's copy counts, if
//! the origin is alive; otherwise both members merge the other's copy.

use std::collections::{BTreeMap, VecDeque};

use hollypaddle_membership::MemberId;
use serde::{Deserialize, Serialize};

use crate::record::{Key, Origin, Record};
use crate::store::Store;
use crate::stream::{Conflict, Stream, MAX_CHUNK_RECORDS};

/// The state of a member's copy of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamDigest {
    /// The stream.
    pub origin: Origin,
    /// The version that the copy reaches.
    pub version: u64,
    /// The hash of its records.
    pub hash: u64,
}

/// A request for the part of a stream that the sender lacks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChunkRequest {
    /// The stream.
    pub origin: Origin,
    /// The changes after this version are requested.
    pub after: u64,
    /// Set if the whole stream is requested, or the rest of one: the version that the source had when its first chunk
    /// left.
    pub base: Option<u64>,
}

/// A part of a stream: everything that changed after one version, up to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// The stream.
    pub origin: Origin,
    /// The version after which it begins.
    pub after: u64,
    /// The version that it reaches.
    pub up_to: u64,
    /// Set in a transfer of a whole stream: the version that the source had when its first chunk left.
    pub base: Option<u64>,
    /// The source's horizon: the version of the latest tombstone that it dropped.
    pub horizon: u64,
    /// Whether no further chunk follows.
    pub last: bool,
    /// The records, in the order of versions.
    pub records: Vec<Record>,
}

/// Why a chunk is refused, and its link closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ChunkError {
    /// Its versions contradict each other.
    #[error(
        "a chunk whose versions contradict each other: nothing of it was applied, the rest is fetched from others; \
         check whether that member runs the same version of the program"
    )]
    InvalidVersions,
    /// A value is not of the kind that its key requires.
    #[error(
        "a chunk with a value that does not belong to its key's kind: nothing of it was applied, the rest is \
         fetched from others; check whether that member runs the same version of the program"
    )]
    WrongKind,
    /// The stream has more records than are allowed.
    #[error(
        "a stream with more records than `records` allows here: its calls are not known here and cannot be \
         adopted; give all members the same `records`, above the calls that stand at one"
    )]
    TooManyRecords,
}

impl ChunkError {
    /// The reason as it is written to the log and listed on the page for on-call staff.
    pub fn name(&self) -> &'static str {
        match self {
            ChunkError::InvalidVersions => "piece-versions",
            ChunkError::WrongKind => "piece-kind",
            ChunkError::TooManyRecords => "piece-too-many-records",
        }
    }
}

impl Chunk {
    /// Checks that the versions rise within the chunk's bounds, that there are at most [`MAX_CHUNK_RECORDS`] records,
    /// and that each value is of the kind that its key requires.
    pub fn check(&self) -> Result<(), ChunkError> {
        let versions = self.records.iter().map(|r| r.version);
        let rising = self.records.windows(2).all(|pair| pair[0].version < pair[1].version);
        let within = versions.clone().all(|v| v > self.after && v <= self.up_to);
        if !rising || !within || self.up_to < self.after || self.records.len() > MAX_CHUNK_RECORDS {
            return Err(ChunkError::InvalidVersions);
        }
        match self.records.iter().all(|r| r.value.is_none_or(|value| value.fits(&r.key))) {
            true => Ok(()),
            false => Err(ChunkError::WrongKind),
        }
    }
}

/// A catch-up message to a member.
#[derive(Clone, Debug, PartialEq)]
pub enum Outgoing {
    /// A request for what is missing here.
    Request(ChunkRequest),
    /// A part of a stream.
    Chunk(Chunk),
}

/// The result of applying a chunk.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Applied {
    /// The keys of the records in it.
    pub keys: Vec<Key>,
    /// Records that contradicted what was held.
    pub conflicts: Vec<Conflict>,
    /// Whether a copy that had diverged is equal again, or will be.
    pub repaired: bool,
}

/// What a digest revealed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mismatch {
    /// The member's copy of this stream differs from the own one, though both are of one version.
    Diverged(Origin),
    /// The member holds more of the own stream than exists: a copy up to this version.
    Ahead(u64),
}

/// The settings of catch-up.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// A source that delivers nothing for this long is replaced, in seconds.
    pub source_timeout: f64,
    /// Bandwidth of catch-up to all members together, in bytes per second.
    pub bytes_per_s: f64,
    /// Most records of one stream.
    pub max_records: usize,
    /// Shortest interval between two pushes of own changes to a member, in seconds: the first change goes at once,
    /// those that follow go together. Each message wakes its receiver, and under load those wake-ups were most of
    /// what a link cost per set-up.
    pub push_interval: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Settings { source_timeout: 1.0, bytes_per_s: 4e6, max_records: 100_000, push_interval: 0.02 }
    }
}

#[derive(Clone)]
struct Transfer {
    origin: Origin,
    after: u64,
    base: Option<u64>,
}

#[derive(Clone, Default)]
struct Peer {
    /// What it holds, by its last digest.
    digests: BTreeMap<Origin, StreamDigest>,
    /// The version up to which own changes were pushed on this link, once the member had all of the own stream.
    pushed_version: Option<u64>,
    /// When own changes were last pushed.
    last_push_at: Option<f64>,
    transfers: VecDeque<Transfer>,
    requests: VecDeque<ChunkRequest>,
}

#[derive(Clone)]
struct Fetch {
    source: Option<MemberId>,
    last_progress_at: f64,
    after: u64,
    base: Option<u64>,
    /// A whole stream as far as it has arrived.
    incoming: Option<Stream>,
    /// Whether the copy diverged and neither side is known to be right, so that the two are merged.
    merge: bool,
}

/// Approximate encoded size of a record, in bytes.
const ESTIMATED_RECORD_BYTES: f64 = 40.0;

/// Catch-up with all members.
#[derive(Clone)]
pub struct CatchUp {
    settings: Settings,
    peers: BTreeMap<MemberId, Peer>,
    fetches: BTreeMap<Origin, Fetch>,
    /// Bytes that may be sent, and the time as of which that is.
    send_budget: (f64, f64),
    /// Records sent in catch-up, for reports.
    pub records_sent: u64,
    /// Records received in catch-up, for reports.
    pub records_received: u64,
}

impl CatchUp {
    /// A state without any link.
    pub fn new(now: f64, settings: Settings) -> CatchUp {
        let (peers, fetches) = (BTreeMap::new(), BTreeMap::new());
        CatchUp { settings, peers, fetches, send_budget: (0.0, now), records_sent: 0, records_received: 0 }
    }

    /// Applies changed settings.
    pub fn reconfigure(&mut self, settings: Settings) {
        self.settings = settings;
    }

    /// Records that a link to a member is up.
    pub fn link_up(&mut self, member: MemberId) {
        self.peers.insert(member, Peer::default());
    }

    /// Records that a link is down: another member that has the stream continues where this one stopped.
    pub fn link_down(&mut self, member: MemberId) {
        self.peers.remove(&member);
        for fetch in self.fetches.values_mut().filter(|f| f.source == Some(member)) {
            fetch.source = None;
        }
    }

    /// What a member last reported to hold of a stream.
    pub fn held_by(&self, member: MemberId, origin: &Origin) -> Option<StreamDigest> {
        self.peers.get(&member)?.digests.get(origin).copied()
    }

    /// When more may be sent to a member that waits for it: the rest of a stream, or own changes since the last push.
    pub fn next_send_at(&self, store: &Store) -> Option<f64> {
        let waiting = self.peers.values().any(|peer| !peer.transfers.is_empty());
        let (remaining, as_of) = self.send_budget;
        let catch_up_at = waiting.then(|| as_of + (-remaining).max(0.0) / self.settings.bytes_per_s);
        let version = store.stream(&store.own_origin()).map_or(0, Stream::version);
        let behind =
            self.peers.values().filter(|peer| peer.pushed_version.is_some_and(|level| level < version));
        let pushes_at = behind.filter_map(|peer| Some(peer.last_push_at? + self.settings.push_interval));
        catch_up_at.into_iter().chain(pushes_at).reduce(f64::min)
    }

    /// The number of streams that are being fetched.
    pub fn fetches_in_progress(&self) -> usize {
        self.fetches.len()
    }

    /// The digest of all streams held here.
    pub fn digest(store: &Store) -> Vec<StreamDigest> {
        let held = |(origin, s): (&Origin, &Stream)| StreamDigest {
            origin: *origin,
            version: s.version(),
            hash: s.hash(),
        };
        store.streams().map(held).collect()
    }

    /// Handles a member's digest. `is_connected` returns whether messages arrive here from a stream's origin in that
    /// incarnation.
    pub fn receive_digest(
        &mut self,
        now: f64,
        from: MemberId,
        digests: &[StreamDigest],
        store: &Store,
        is_connected: impl Fn(&Origin) -> bool,
    ) -> Vec<Mismatch> {
        let mut mismatches = Vec::new();
        let own = store.own_origin();
        let mut diverged = Vec::new();
        let Some(peer) = self.peers.get_mut(&from) else { return mismatches };
        peer.digests = digests.iter().map(|digest| (digest.origin, *digest)).collect();
        for digest in digests {
            let copy = store.stream(&digest.origin);
            let (version, hash) = copy.map_or((0, 0), |s| (s.version(), s.hash()));
            if digest.origin == own {
                if digest.version > version {
                    mismatches.push(Mismatch::Ahead(digest.version));
                } else if digest.version == version && digest.hash == hash && peer.pushed_version.is_none() {
                    peer.pushed_version = Some(version);
                }
                continue;
            }
            let has_diverged = copy.is_some() && digest.version == version && digest.hash != hash;
            if has_diverged && !self.fetches.contains_key(&digest.origin) {
                let (from_origin, is_origin_connected) =
                    (digest.origin.member == from, is_connected(&digest.origin));
                // The origin's own copy counts, and it is requested when the origin sends its digest.
                if from_origin || !is_origin_connected {
                    mismatches.push(Mismatch::Diverged(digest.origin));
                    diverged.push((digest.origin, !from_origin));
                }
            }
        }
        for (origin, merge) in diverged {
            self.request_chunks(now, from, origin, 0, Some(0), merge);
        }
        self.poll(now, store, is_connected);
        mismatches
    }

    fn request_chunks(
        &mut self,
        now: f64,
        source: MemberId,
        origin: Origin,
        after: u64,
        base: Option<u64>,
        merge: bool,
    ) {
        let Some(peer) = self.peers.get_mut(&source) else { return };
        peer.requests.retain(|request| request.origin != origin);
        peer.requests.push_back(ChunkRequest { origin, after, base });
        let fetch = self.fetches.entry(origin).or_insert(Fetch {
            source: None,
            last_progress_at: now,
            after,
            base,
            incoming: None,
            merge,
        });
        (fetch.source, fetch.last_progress_at) = (Some(source), now);
    }

    /// Requests what is missing, and turns to another source where one has stopped. Call it periodically.
    pub fn poll(&mut self, now: f64, store: &Store, is_connected: impl Fn(&Origin) -> bool) {
        let own = store.own_origin();
        let mut best: BTreeMap<Origin, (bool, u64, MemberId)> = BTreeMap::new();
        for (&member, peer) in &self.peers {
            for digest in peer.digests.values().filter(|h| h.origin != own && !store.is_forgotten(&h.origin))
            {
                // An origin from which messages arrive pushes its own changes; requesting them from others would
                // transfer them twice. One from which none arrive may have a link that still looks open, and offers
                // what it held long ago.
                let is_origin = digest.origin.member == member && is_connected(&digest.origin);
                if !is_origin && is_connected(&digest.origin) {
                    continue;
                }
                let offer = (is_origin, digest.version, member);
                let best_offer = best.entry(digest.origin).or_insert(offer);
                *best_offer = (*best_offer).max(offer);
            }
        }
        self.fetches.retain(|origin, fetch| {
            let stalled =
                fetch.source.is_none() || now - fetch.last_progress_at >= self.settings.source_timeout;
            // Nobody has it any more, or it arrived another way.
            !stalled || best.contains_key(origin) && !store.is_forgotten(origin)
        });
        for (origin, (_, version, member)) in best {
            let own_version = store.stream(&origin).map_or(0, Stream::version);
            match self.fetches.get(&origin) {
                Some(fetch)
                    if fetch.source.is_some()
                        && now - fetch.last_progress_at < self.settings.source_timeout => {}
                Some(fetch) => {
                    // Continues where the last source stopped.
                    let (after, base, merge) = (fetch.after, fetch.base, fetch.merge);
                    self.request_chunks(now, member, origin, after, base, merge);
                }
                None if version > own_version || store.stream(&origin).is_none() => {
                    self.request_chunks(now, member, origin, own_version, None, false);
                }
                None => {}
            }
        }
    }

    /// Handles a request.
    pub fn receive_request(&mut self, from: MemberId, request: &ChunkRequest, store: &Store) {
        let (Some(peer), Some(stream)) = (self.peers.get_mut(&from), store.stream(&request.origin)) else {
            return;
        };
        // What it lacks is already on its way: the origin pushes its changes from there.
        let already_pushed = request.origin == store.own_origin()
            && peer.pushed_version == Some(request.after)
            && request.base.is_none();
        if already_pushed && request.after >= stream.horizon() {
            return;
        }
        let whole = Transfer { origin: request.origin, after: 0, base: Some(stream.version()) };
        let transfer = match request.base {
            None if request.after >= stream.horizon() => {
                Transfer { origin: request.origin, after: request.after, base: None }
            }
            Some(base) if stream.horizon() <= base => {
                Transfer { origin: request.origin, after: request.after, base: Some(base) }
            }
            _ => whole,
        };
        // One answer per stream at a time: the last request counts.
        peer.transfers.retain(|s| s.origin != request.origin);
        peer.transfers.push_back(transfer);
    }

    /// Handles a chunk. `lag` is how much older, in seconds, its records may be than they state; `None` as long as
    /// that is not known.
    pub fn receive_chunk(
        &mut self,
        now: f64,
        lag: Option<f64>,
        from: MemberId,
        chunk: &Chunk,
        store: &mut Store,
    ) -> Result<Applied, ChunkError> {
        chunk.check()?;
        let mut applied = Applied::default();
        let max_records = self.settings.max_records;
        let at = |r: &Record| match (lag, r.key) {
            // A lease must not count for longer than its lender does without the part: of unknown age it is worth
            // nothing.
            (None, Key::Lent(..)) => f64::NEG_INFINITY,
            _ => now - lag.unwrap_or(0.0) - f64::from(r.age_ms) / 1000.0,
        };
        let Some(copy) = store.copy_mut(chunk.origin) else { return Ok(applied) };
        let fetch = self.fetches.get_mut(&chunk.origin).filter(|fetch| fetch.source == Some(from));
        match (chunk.base, fetch) {
            (None, fetch) => {
                // A gap: what lies in it is requested when the next digest shows it.
                if chunk.after > copy.version() {
                    return Ok(applied);
                }
                for record in &chunk.records {
                    applied.conflicts.extend(copy.apply(at(record), record));
                    applied.keys.push(record.key);
                }
                copy.advance_to(chunk.up_to, 0);
                if copy.len_with_tombstones() > max_records + crate::stream::MAX_TOMBSTONES {
                    return Err(ChunkError::TooManyRecords);
                }
                if let Some(fetch) = fetch {
                    self.records_received += chunk.records.len() as u64;
                    (fetch.last_progress_at, fetch.after) = (now, chunk.up_to);
                    if chunk.last {
                        self.fetches.remove(&chunk.origin);
                    }
                }
            }
            // No longer requested.
            (Some(_), None) => {}
            (Some(base), Some(fetch)) => {
                if chunk.after == 0 {
                    (fetch.incoming, fetch.base, fetch.after) = (Some(Stream::default()), Some(base), 0);
                }
                let Some(incoming) = fetch.incoming.as_mut().filter(|_| fetch.after == chunk.after) else {
                    return Ok(applied);
                };
                for record in &chunk.records {
                    applied.conflicts.extend(incoming.apply(at(record), record));
                }
                if incoming.len_with_tombstones() > max_records + crate::stream::MAX_TOMBSTONES {
                    self.fetches.remove(&chunk.origin);
                    return Err(ChunkError::TooManyRecords);
                }
                self.records_received += chunk.records.len() as u64;
                (fetch.last_progress_at, fetch.after) = (now, chunk.up_to);
                if chunk.last {
                    incoming.advance_to(chunk.up_to.max(base), chunk.horizon);
                    let (whole, merge) = (std::mem::take(incoming), fetch.merge);
                    applied.keys.extend(whole.range(..).map(|(key, ..)| key));
                    applied.repaired = copy.version() == whole.version() && copy.hash() != whole.hash();
                    match merge {
                        true => applied.conflicts.extend(copy.merge(&whole)),
                        // A change pushed meanwhile is not lost: the origin's next push continues from here.
                        false => store.install(chunk.origin, whole),
                    }
                    self.fetches.remove(&chunk.origin);
                }
            }
        }
        Ok(applied)
    }

    /// The next catch-up message to a member, if there is one.
    pub fn next_outgoing(&mut self, now: f64, to: MemberId, store: &Store) -> Option<Outgoing> {
        let (remaining, as_of) = self.send_budget;
        let bytes_per_s = self.settings.bytes_per_s;
        // One chunk at a time: a set-up waits for one chunk at most, however much is missing.
        let max_budget = MAX_CHUNK_RECORDS as f64 * ESTIMATED_RECORD_BYTES;
        self.send_budget = ((remaining + (now - as_of).max(0.0) * bytes_per_s).min(max_budget), now);
        let peer = self.peers.get_mut(&to)?;
        if let Some(request) = peer.requests.pop_front() {
            return Some(Outgoing::Request(request));
        }
        let own = store.own_origin();
        if let (Some(pushed), Some(stream)) = (peer.pushed_version, store.stream(&own)) {
            if pushed < stream.horizon() {
                // The member is behind the tombstones that are kept: it requests the rest when it sees that.
                peer.pushed_version = None;
            } else if stream.version() > pushed
                && peer.last_push_at.is_none_or(|at| now - at >= self.settings.push_interval)
            {
                let (records, up_to, last) = stream.changes_after(now, pushed);
                peer.pushed_version = Some(up_to);
                // What does not fit into one chunk continues with the next.
                if last {
                    peer.last_push_at = Some(now);
                }
                let (from, horizon) = (pushed, stream.horizon());
                return Some(Outgoing::Chunk(Chunk {
                    origin: own,
                    after: from,
                    up_to,
                    base: None,
                    horizon,
                    last,
                    records,
                }));
            }
        }
        if self.send_budget.0 <= 0.0 {
            return None;
        }
        let Transfer { origin, after, base } = peer.transfers.pop_front()?;
        let stream = store.stream(&origin)?;
        // Tombstones were dropped meanwhile: what was sent so far may include records that are withdrawn.
        let (after, base) = match base {
            None if after < stream.horizon() => (0, Some(stream.version())),
            Some(base) if base < stream.horizon() => (0, Some(stream.version())),
            same => (after, same),
        };
        let (records, up_to, last) = stream.changes_after(now, after);
        self.send_budget.0 -= records.len() as f64 * ESTIMATED_RECORD_BYTES;
        self.records_sent += records.len() as u64;
        match last {
            false => peer.transfers.push_back(Transfer { origin, after: up_to, base }),
            true if origin == own => peer.pushed_version = Some(up_to),
            true => {}
        }
        let horizon = stream.horizon();
        Some(Outgoing::Chunk(Chunk { origin, after, up_to, base, horizon, last, records }))
    }
}
