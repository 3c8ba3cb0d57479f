//! Replicates a stream over one link as differences: the position of the sender, and the copy at the receiver.
//!
//! Messages on one link arrive in order, so the sender keeps a version and the copy accepts only a chunk that begins
//! at its own version. A sound link cannot cause a gap; if one is found anyway, the stream is sent again.

use hollypaddle_replica::catch_up::Chunk;
use hollypaddle_replica::record::{Key, Origin};
use hollypaddle_replica::stream::Stream;

use crate::message::CopyState;

/// The most records in a message: about 1 KiB, so that more urgent messages wait for one packet at most.
pub const MAX_CHUNK_RECORDS: usize = 24;
/// The most records and tombstones of a copy.
pub const MAX_COPY_RECORDS: usize = 8192;

/// The sender's position: up to which version a stream was sent on a link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Cursor {
    after: u64,
    /// Set while the whole stream is sent: its version when the first chunk was sent.
    base: Option<u64>,
}

impl Cursor {
    /// Continues after the state that the receiver holds; starts with the whole stream if that state has another
    /// origin or cannot be continued.
    pub fn resume(origin: Origin, stream: &Stream, held: Option<CopyState>) -> Cursor {
        let same = held.filter(|h| h.origin == origin && h.version <= stream.version());
        match same {
            Some(h) if h.version == stream.version() && h.hash != stream.hash() => Cursor::from_start(),
            Some(h) if h.version > 0 && h.version >= stream.horizon() => {
                Cursor { after: h.version, base: None }
            }
            _ => Cursor::from_start(),
        }
    }

    /// The position before the first record.
    pub fn from_start() -> Cursor {
        Cursor { after: 0, base: Some(u64::MAX) }
    }

    /// Whether there is more to send.
    pub fn is_behind(&self, stream: &Stream) -> bool {
        self.base.is_some() || self.after < stream.version()
    }

    /// Returns the next chunk to send and moves the cursor past it.
    pub fn next_chunk(&mut self, now: f64, origin: Origin, stream: &Stream) -> Chunk {
        // Tombstones that were dropped before they were sent: the receiver needs the whole stream.
        if self.after < stream.horizon() && self.base.is_none_or(|base| base < stream.horizon()) {
            *self = Cursor::from_start();
        }
        if self.base == Some(u64::MAX) {
            self.base = Some(stream.version());
        }
        let (records, up_to, last) = stream.limited_changes_after(now, self.after, MAX_CHUNK_RECORDS);
        let chunk = Chunk {
            origin,
            after: self.after,
            up_to,
            base: self.base,
            horizon: stream.horizon(),
            last,
            records,
        };
        self.after = up_to;
        if last {
            self.base = None;
        }
        chunk
    }
}

/// Why a chunk was not applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChunkError {
    /// An earlier chunk is missing.
    Gap,
    /// The chunk contradicts itself, or the copy would become too long.
    Malformed,
}

/// The copy of a stream at its receiver.
#[derive(Clone, Debug, Default)]
pub struct StreamCopy {
    origin: Option<Origin>,
    stream: Stream,
    /// A stream of another origin, or the same stream sent again, that is not complete yet.
    incoming: Option<(Origin, Stream)>,
}

impl StreamCopy {
    /// The records held.
    pub fn stream(&self) -> &Stream {
        &self.stream
    }

    /// The origin, version and hash of the copy; none before the first complete stream.
    pub fn state(&self) -> Option<CopyState> {
        let (version, hash) = (self.stream.version(), self.stream.hash());
        self.origin.map(|origin| CopyState { origin, version, hash })
    }

    /// Applies a chunk that was in transit for at most `lag` seconds. Returns the keys that may have changed.
    pub fn apply(&mut self, now: f64, lag: f64, chunk: &Chunk) -> Result<Vec<Key>, ChunkError> {
        if chunk.check().is_err() {
            return Err(ChunkError::Malformed);
        }
        let whole = chunk.base.is_some();
        if whole && chunk.after == 0 {
            self.incoming = Some((chunk.origin, Stream::default()));
        }
        let stream = match &mut self.incoming {
            Some((origin, stream)) if whole && *origin == chunk.origin => stream,
            _ if !whole && self.origin == Some(chunk.origin) => &mut self.stream,
            _ => return Err(ChunkError::Gap),
        };
        if stream.version() != chunk.after {
            self.incoming = None;
            return Err(ChunkError::Gap);
        }
        let mut keys = Vec::new();
        for record in &chunk.records {
            let at = now - lag - f64::from(record.age_ms) / 1000.0;
            stream.apply(at, record);
            keys.push(record.key);
        }
        stream.advance_to(chunk.up_to, chunk.horizon);
        if stream.len_with_tombstones() > MAX_COPY_RECORDS {
            self.incoming = None;
            return Err(ChunkError::Malformed);
        }
        if !whole {
            return Ok(keys);
        }
        if !chunk.last {
            return Ok(Vec::new());
        }
        let Some((origin, stream)) = self.incoming.take() else { return Ok(Vec::new()) };
        let old = std::mem::replace(&mut self.stream, stream);
        self.origin = Some(origin);
        let mut keys: Vec<Key> = old.range(..).chain(self.stream.range(..)).map(|(key, ..)| key).collect();
        keys.sort();
        keys.dedup();
        Ok(keys)
    }
}
