//! Who lacks what, and gets it from whom.
//!
//! Members tell each other what they hold, by version and hash. Who is behind asks: the origin itself where that is
//! heard, else whoever has most. The answer is what changed after the asker's version; where the giver's log does not
//! reach that far, it is the whole stream in the order of versions, which another giver can go on with from where one
//! stopped, as long as no tombstone was dropped there since the first began. Once a member holds all of a stream, its
//! origin tells each change as it comes.
//!
//! Two copies of one version with different hashes differ though all messages came. The origin's counts, if it lives;
//! else both take what the other has.

use std::collections::{BTreeMap, VecDeque};

use hollypaddle_membership::MemberId;
use serde::{Deserialize, Serialize};

use crate::record::{Key, Origin, Record};
use crate::store::Store;
use crate::stream::{Conflict, Stream, MAX_CHUNK_RECORDS};

/// What a member holds of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamDigest {
    /// Which.
    pub origin: Origin,
    /// Up to which version.
    pub version: u64,
    /// The hash of its records.
    pub hash: u64,
}

/// A question for what is lacking.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChunkRequest {
    /// Of which stream.
    pub origin: Origin,
    /// What came after this version.
    pub after: u64,
    /// Set where the whole stream is wanted, or the rest of one: the giver's version as its first piece left.
    pub base: Option<u64>,
}

/// A part of a stream: all that changed after one version, up to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// Of which stream.
    pub origin: Origin,
    /// After this version.
    pub after: u64,
    /// Up to this one.
    pub up_to: u64,
    /// Set in a whole stream: the giver's version as its first piece left.
    pub base: Option<u64>,
    /// The giver's horizon.
    pub horizon: u64,
    /// Nothing follows.
    pub last: bool,
    /// The records, in the order of versions.
    pub records: Vec<Record>,
}

/// Why a piece was not taken, and its link is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ChunkError {
    /// Its versions make no sense.
    #[error(
        "a piece whose versions make no sense: nothing of it was taken, the rest is fetched from others; see whether that \
         member runs the same version of the program"
    )]
    InvalidVersions,
    /// A value is not of its key's kind.
    #[error(
        "a piece with a value that is not of its key's kind: nothing of it was taken, the rest is fetched from others; see \
         whether that member runs the same version of the program"
    )]
    WrongKind,
    /// The stream has more records than may be.
    #[error(
        "a stream of more records than `records` allows here: its calls are not known here and cannot be adopted; give all \
         members the same `records`, above the calls that stand at one"
    )]
    TooManyRecords,
}

impl ChunkError {
    /// In a word, for the log and the page for on-call staff.
    pub fn name(&self) -> &'static str {
        match self {
            ChunkError::InvalidVersions => "piece-versions",
            ChunkError::WrongKind => "piece-kind",
            ChunkError::TooManyRecords => "piece-too-many-records",
        }
    }
}

impl Chunk {
    /// Whether its versions rise and its values are of their keys' kinds.
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

/// What is to be said to a member next.
#[derive(Clone, Debug, PartialEq)]
pub enum Outgoing {
    /// A question.
    Request(ChunkRequest),
    /// A part of a stream.
    Chunk(Chunk),
}

/// What taking a piece came to.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Applied {
    /// The keys that it brought.
    pub keys: Vec<Key>,
    /// What contradicted what was held.
    pub conflicts: Vec<Conflict>,
    /// Copies that differed are equal again, or will be.
    pub repaired: bool,
}

/// What a digest came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mismatch {
    /// Its copy of this stream differs from the own one, though both are of one version.
    Diverged(Origin),
    /// It holds more of the own stream than there is.
    Ahead(u64),
}

/// The figures of it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// A giver that brings nothing for so long is replaced, in seconds.
    pub source_timeout: f64,
    /// Bytes a second for catch-up, to all members together.
    pub bytes_per_s: f64,
    /// Records of one stream at most.
    pub max_records: usize,
    /// Own changes are told to a member so far apart at least, in seconds: the first at once, what follows it together.
    /// Each word wakes its member, and under load those wakings were most of what a link cost a set-up.
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
    /// What it holds, as it said last.
    digests: BTreeMap<Origin, StreamDigest>,
    /// Up to which version the own stream was told on this link, once it was level.
    pushed_version: Option<u64>,
    /// When changes of it were told last.
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
    /// A whole stream on its way in.
    incoming: Option<Stream>,
    /// The copy differs, and neither is known to be right.
    merge: bool,
}

/// Bytes that a record takes on the way, about.
const ESTIMATED_RECORD_BYTES: f64 = 40.0;

/// All of that, towards all members.
#[derive(Clone)]
pub struct CatchUp {
    settings: Settings,
    peers: BTreeMap<MemberId, Peer>,
    fetches: BTreeMap<Origin, Fetch>,
    /// Bytes that may be given now, as of then.
    send_budget: (f64, f64),
    /// Records given and taken in catch-up, for reports.
    pub records_sent: u64,
    /// The same, taken.
    pub records_received: u64,
}

impl CatchUp {
    /// Nobody is linked yet.
    pub fn new(now: f64, settings: Settings) -> CatchUp {
        let (peers, fetches) = (BTreeMap::new(), BTreeMap::new());
        CatchUp { settings, peers, fetches, send_budget: (0.0, now), records_sent: 0, records_received: 0 }
    }

    /// Takes settings read anew.
    pub fn reconfigure(&mut self, settings: Settings) {
        self.settings = settings;
    }

    /// A link is up.
    pub fn link_up(&mut self, member: MemberId) {
        self.peers.insert(member, Peer::default());
    }

    /// A link is down; whoever else has it goes on with what it gave.
    pub fn link_down(&mut self, member: MemberId) {
        self.peers.remove(&member);
        for fetch in self.fetches.values_mut().filter(|f| f.source == Some(member)) {
            fetch.source = None;
        }
    }

    /// What a member said last that it holds of a stream.
    pub fn held_by(&self, member: MemberId, origin: &Origin) -> Option<StreamDigest> {
        self.peers.get(&member)?.digests.get(origin).copied()
    }

    /// When more may be said, if somebody waits for it: the rest of a stream, or own changes since the last ones.
    pub fn next_send_at(&self, store: &Store) -> Option<f64> {
        let waits = self.peers.values().any(|peer| !peer.transfers.is_empty());
        let (left, then) = self.send_budget;
        let gives = waits.then(|| then + (-left).max(0.0) / self.settings.bytes_per_s);
        let version = store.stream(&store.own_origin()).map_or(0, Stream::version);
        let behind =
            self.peers.values().filter(|peer| peer.pushed_version.is_some_and(|level| level < version));
        let tells = behind.filter_map(|peer| Some(peer.last_push_at? + self.settings.push_interval));
        gives.into_iter().chain(tells).reduce(f64::min)
    }

    /// Streams on their way in.
    pub fn fetches_in_progress(&self) -> usize {
        self.fetches.len()
    }

    /// What is held here.
    pub fn digest(store: &Store) -> Vec<StreamDigest> {
        let held = |(origin, s): (&Origin, &Stream)| StreamDigest {
            origin: *origin,
            version: s.version(),
            hash: s.hash(),
        };
        store.streams().map(held).collect()
    }

    /// Takes a member's word of what it holds. `heard` tells whether a stream's origin is heard here in that life.
    pub fn receive_digest(
        &mut self,
        now: f64,
        from: MemberId,
        held: &[StreamDigest],
        store: &Store,
        heard: impl Fn(&Origin) -> bool,
    ) -> Vec<Mismatch> {
        let mut compared = Vec::new();
        let own = store.own_origin();
        let mut differing = Vec::new();
        let Some(peer) = self.peers.get_mut(&from) else { return compared };
        peer.digests = held.iter().map(|h| (h.origin, *h)).collect();
        for h in held {
            let mine = store.stream(&h.origin);
            let (version, hash) = mine.map_or((0, 0), |s| (s.version(), s.hash()));
            if h.origin == own {
                if h.version > version {
                    compared.push(Mismatch::Ahead(h.version));
                } else if h.version == version && h.hash == hash && peer.pushed_version.is_none() {
                    peer.pushed_version = Some(version);
                }
                continue;
            }
            let differs = mine.is_some() && h.version == version && h.hash != hash;
            if differs && !self.fetches.contains_key(&h.origin) {
                let (from_origin, lives) = (h.origin.member == from, heard(&h.origin));
                // The origin's own copy counts, and it is asked when it says what it holds.
                if from_origin || !lives {
                    compared.push(Mismatch::Diverged(h.origin));
                    differing.push((h.origin, !from_origin));
                }
            }
        }
        for (origin, merge) in differing {
            self.request_chunks(now, from, origin, 0, Some(0), merge);
        }
        self.poll(now, store, heard);
        compared
    }

    fn request_chunks(
        &mut self,
        now: f64,
        from: MemberId,
        origin: Origin,
        after: u64,
        base: Option<u64>,
        merge: bool,
    ) {
        let Some(peer) = self.peers.get_mut(&from) else { return };
        peer.requests.retain(|ask| ask.origin != origin);
        peer.requests.push_back(ChunkRequest { origin, after, base });
        let fetch = self.fetches.entry(origin).or_insert(Fetch {
            source: None,
            last_progress_at: now,
            after,
            base,
            incoming: None,
            merge,
        });
        (fetch.source, fetch.last_progress_at) = (Some(from), now);
    }

    /// Asks for what is lacking, and asks others where a giver has stopped. Called now and then.
    pub fn poll(&mut self, now: f64, store: &Store, heard: impl Fn(&Origin) -> bool) {
        let own = store.own_origin();
        let mut best: BTreeMap<Origin, (bool, u64, MemberId)> = BTreeMap::new();
        for (&member, peer) in &self.peers {
            for held in peer.digests.values().filter(|h| h.origin != own && !store.is_forgotten(&h.origin)) {
                // An origin that is heard brings its own changes; to ask others for them would double them. One that
                // is not heard may have a link that still looks open, and offers what it held long ago.
                let is_origin = held.origin.member == member && heard(&held.origin);
                if !is_origin && heard(&held.origin) {
                    continue;
                }
                let offer = (is_origin, held.version, member);
                let known = best.entry(held.origin).or_insert(offer);
                *known = (*known).max(offer);
            }
        }
        self.fetches.retain(|origin, fetch| {
            let stalled =
                fetch.source.is_none() || now - fetch.last_progress_at >= self.settings.source_timeout;
            // Nobody has it any more, or it came another way.
            !stalled || best.contains_key(origin) && !store.is_forgotten(origin)
        });
        for (origin, (_, version, member)) in best {
            let mine = store.stream(&origin).map_or(0, Stream::version);
            match self.fetches.get(&origin) {
                Some(f) if f.source.is_some() && now - f.last_progress_at < self.settings.source_timeout => {}
                Some(f) => {
                    // Goes on from where the last giver stopped.
                    let (after, base, merge) = (f.after, f.base, f.merge);
                    self.request_chunks(now, member, origin, after, base, merge);
                }
                None if version > mine || store.stream(&origin).is_none() => {
                    self.request_chunks(now, member, origin, mine, None, false);
                }
                None => {}
            }
        }
    }

    /// Takes a question.
    pub fn receive_request(&mut self, from: MemberId, ask: &ChunkRequest, store: &Store) {
        let (Some(peer), Some(stream)) = (self.peers.get_mut(&from), store.stream(&ask.origin)) else {
            return;
        };
        // What it lacks is on its way already: the origin tells its changes from there.
        let told =
            ask.origin == store.own_origin() && peer.pushed_version == Some(ask.after) && ask.base.is_none();
        if told && ask.after >= stream.horizon() {
            return;
        }
        let whole = Transfer { origin: ask.origin, after: 0, base: Some(stream.version()) };
        let serve = match ask.base {
            None if ask.after >= stream.horizon() => {
                Transfer { origin: ask.origin, after: ask.after, base: None }
            }
            Some(base) if stream.horizon() <= base => {
                Transfer { origin: ask.origin, after: ask.after, base: Some(base) }
            }
            _ => whole,
        };
        // One answer for a stream at a time: the last question counts.
        peer.transfers.retain(|s| s.origin != ask.origin);
        peer.transfers.push_back(serve);
    }

    /// Takes a part of a stream, of which the word may be so much older than it says; none where that is not known yet.
    pub fn receive_chunk(
        &mut self,
        now: f64,
        lag: Option<f64>,
        from: MemberId,
        piece: &Chunk,
        store: &mut Store,
    ) -> Result<Applied, ChunkError> {
        piece.check()?;
        let mut taken = Applied::default();
        let most = self.settings.max_records;
        let at = |r: &Record| match (lag, r.key) {
            // A lease must not be counted for longer than its lender does without: of unknown age it is worth nothing.
            (None, Key::Lent(..)) => f64::NEG_INFINITY,
            _ => now - lag.unwrap_or(0.0) - f64::from(r.age_ms) / 1000.0,
        };
        let Some(copy) = store.copy_mut(piece.origin) else { return Ok(taken) };
        let fetch = self.fetches.get_mut(&piece.origin).filter(|f| f.source == Some(from));
        match (piece.base, fetch) {
            (None, fetch) => {
                // A gap: what lies in it is asked for when the next digest shows it.
                if piece.after > copy.version() {
                    return Ok(taken);
                }
                for record in &piece.records {
                    taken.conflicts.extend(copy.apply(at(record), record));
                    taken.keys.push(record.key);
                }
                copy.advance_to(piece.up_to, 0);
                if copy.len_with_tombstones() > most + crate::stream::MAX_TOMBSTONES {
                    return Err(ChunkError::TooManyRecords);
                }
                if let Some(fetch) = fetch {
                    self.records_received += piece.records.len() as u64;
                    (fetch.last_progress_at, fetch.after) = (now, piece.up_to);
                    if piece.last {
                        self.fetches.remove(&piece.origin);
                    }
                }
            }
            // Not asked for any more.
            (Some(_), None) => {}
            (Some(base), Some(fetch)) => {
                if piece.after == 0 {
                    (fetch.incoming, fetch.base, fetch.after) = (Some(Stream::default()), Some(base), 0);
                }
                let Some(incoming) = fetch.incoming.as_mut().filter(|_| fetch.after == piece.after) else {
                    return Ok(taken);
                };
                for record in &piece.records {
                    taken.conflicts.extend(incoming.apply(at(record), record));
                }
                if incoming.len_with_tombstones() > most + crate::stream::MAX_TOMBSTONES {
                    self.fetches.remove(&piece.origin);
                    return Err(ChunkError::TooManyRecords);
                }
                self.records_received += piece.records.len() as u64;
                (fetch.last_progress_at, fetch.after) = (now, piece.up_to);
                if piece.last {
                    incoming.advance_to(piece.up_to.max(base), piece.horizon);
                    let (whole, merge) = (std::mem::take(incoming), fetch.merge);
                    taken.keys.extend(whole.range(..).map(|(key, ..)| key));
                    taken.repaired = copy.version() == whole.version() && copy.hash() != whole.hash();
                    match merge {
                        true => taken.conflicts.extend(copy.merge(&whole)),
                        // A change told meanwhile is not lost: what the origin says next starts from here.
                        false => store.install(piece.origin, whole),
                    }
                    self.fetches.remove(&piece.origin);
                }
            }
        }
        Ok(taken)
    }

    /// What is to be said to a member, if anything is.
    pub fn next_outgoing(&mut self, now: f64, to: MemberId, store: &Store) -> Option<Outgoing> {
        let (left, then) = self.send_budget;
        let rate = self.settings.bytes_per_s;
        // A piece at a time: what a set-up waits for it is one piece, however much is lacking.
        let room = MAX_CHUNK_RECORDS as f64 * ESTIMATED_RECORD_BYTES;
        self.send_budget = ((left + (now - then).max(0.0) * rate).min(room), now);
        let peer = self.peers.get_mut(&to)?;
        if let Some(ask) = peer.requests.pop_front() {
            return Some(Outgoing::Request(ask));
        }
        let own = store.own_origin();
        if let (Some(level), Some(stream)) = (peer.pushed_version, store.stream(&own)) {
            if level < stream.horizon() {
                // It is behind what is still known: it asks when it sees that.
                peer.pushed_version = None;
            } else if stream.version() > level
                && peer.last_push_at.is_none_or(|at| now - at >= self.settings.push_interval)
            {
                let (records, upto, last) = stream.changes_after(now, level);
                peer.pushed_version = Some(upto);
                // What does not fit into one piece goes on with the next.
                if last {
                    peer.last_push_at = Some(now);
                }
                let (from, horizon) = (level, stream.horizon());
                return Some(Outgoing::Chunk(Chunk {
                    origin: own,
                    after: from,
                    up_to: upto,
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
        // Tombstones were dropped since: what was given so far may hold what is over.
        let (after, base) = match base {
            None if after < stream.horizon() => (0, Some(stream.version())),
            Some(base) if base < stream.horizon() => (0, Some(stream.version())),
            same => (after, same),
        };
        let (records, upto, last) = stream.changes_after(now, after);
        self.send_budget.0 -= records.len() as f64 * ESTIMATED_RECORD_BYTES;
        self.records_sent += records.len() as u64;
        match last {
            false => peer.transfers.push_back(Transfer { origin, after: upto, base }),
            true if origin == own => peer.pushed_version = Some(upto),
            true => {}
        }
        let horizon = stream.horizon();
        Some(Outgoing::Chunk(Chunk { origin, after, up_to: upto, base, horizon, last, records }))
    }
}
