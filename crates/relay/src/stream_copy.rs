//! A stream told on one link as differences: where the teller is, and the copy at the other end.
//!
//! On one link messages come in order, so the teller keeps a version and the copy takes only what begins at its own. A gap
//! cannot come from a link that is sound; where one is found all the same, it is told anew.

use hollypaddle_replica::catch_up::Piece;
use hollypaddle_replica::record::{Key, Origin};
use hollypaddle_replica::stream::Stream;

use crate::message::CopyState;

/// Records in a message at most: about 1 KiB, so that what is more urgent waits for one packet at most.
pub const MAX_PIECE_RECORDS: usize = 24;
/// Records and tombstones of a copy at most.
pub const MAX_COPY_RECORDS: usize = 8192;

/// Up to which version a stream was told on a link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Cursor {
    after: u64,
    /// Set while the whole stream is told: its version as the first piece left.
    base: Option<u64>,
}

impl Cursor {
    /// Behind what the other end holds; the whole where that is of another origin, or of what this one cannot go on from.
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

    /// Before its first record.
    pub fn from_start() -> Cursor {
        Cursor { after: 0, base: Some(u64::MAX) }
    }

    /// Whether there is more to be told.
    pub fn is_behind(&self, stream: &Stream) -> bool {
        self.base.is_some() || self.after < stream.version()
    }

    /// What comes next.
    pub fn next_piece(&mut self, now: f64, origin: Origin, stream: &Stream) -> Piece {
        // What was dropped since was not told.
        if self.after < stream.horizon() && self.base.is_none_or(|base| base < stream.horizon()) {
            *self = Cursor::from_start();
        }
        if self.base == Some(u64::MAX) {
            self.base = Some(stream.version());
        }
        let (records, upto, last) = stream.piece_of(now, self.after, MAX_PIECE_RECORDS);
        let piece = Piece {
            origin,
            from: self.after,
            upto,
            base: self.base,
            horizon: stream.horizon(),
            last,
            records,
        };
        self.after = upto;
        if last {
            self.base = None;
        }
        piece
    }
}

/// Why a piece was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PieceError {
    /// Something before it is missing.
    Gap,
    /// It contradicts itself, or is too long.
    Malformed,
}

/// A copy of a stream.
#[derive(Clone, Debug, Default)]
pub struct StreamCopy {
    origin: Option<Origin>,
    stream: Stream,
    /// Another one, or the same one told anew, that is not whole yet.
    incoming: Option<(Origin, Stream)>,
}

impl StreamCopy {
    /// What is held.
    pub fn stream(&self) -> &Stream {
        &self.stream
    }

    /// Of which origin, and how far.
    pub fn state(&self) -> Option<CopyState> {
        let (version, hash) = (self.stream.version(), self.stream.hash());
        self.origin.map(|origin| CopyState { origin, version, hash })
    }

    /// Takes a piece that was at most `lag` seconds on its way; returns the keys of what may have changed.
    pub fn apply(&mut self, now: f64, lag: f64, piece: &Piece) -> Result<Vec<Key>, PieceError> {
        if piece.check().is_err() {
            return Err(PieceError::Malformed);
        }
        let whole = piece.base.is_some();
        if whole && piece.from == 0 {
            self.incoming = Some((piece.origin, Stream::default()));
        }
        let stream = match &mut self.incoming {
            Some((origin, stream)) if whole && *origin == piece.origin => stream,
            _ if !whole && self.origin == Some(piece.origin) => &mut self.stream,
            _ => return Err(PieceError::Gap),
        };
        if stream.version() != piece.from {
            self.incoming = None;
            return Err(PieceError::Gap);
        }
        let mut keys = Vec::new();
        for record in &piece.records {
            let at = now - lag - f64::from(record.age_ms) / 1000.0;
            stream.apply(at, record);
            keys.push(record.key);
        }
        stream.reaches(piece.upto, piece.horizon);
        if stream.held() > MAX_COPY_RECORDS {
            self.incoming = None;
            return Err(PieceError::Malformed);
        }
        if !whole {
            return Ok(keys);
        }
        if !piece.last {
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
