//! What relays and leaves say to each other, and its frames.
//!
//! A frame is a length of four bytes, big-endian, that counts what follows, a byte for the kind, and the message as postcard
//! has it. A kind that is not known here is passed over: a newer peer may say more. A known kind that cannot be read, or one
//! with bytes left over, closes its link.

use hollypaddle_membership::{Incarnation, MemberId};
use hollypaddle_replica::catch_up::Piece;
use hollypaddle_replica::record::{Origin, Topic};
use hollypaddle_replica::Word;
use serde::{Deserialize, Serialize};

use crate::settings::{Part, Revision};

/// The version of what is said; and the oldest that is understood.
pub const PROTOCOL_VERSION: u16 = 1;
/// The oldest.
pub const MIN_PROTOCOL_VERSION: u16 = 1;
/// Longest frame, with its length.
pub const MAX_FRAME_BYTES: usize = 64 * 1024;
const LENGTH_BYTES: usize = 4;
/// Bytes of a leaf's name at most.
pub const MAX_NAME_BYTES: usize = 64;
/// Bytes of a reason at most.
pub const MAX_REASON_BYTES: usize = 400;

/// A leaf's first words on a link to a relay.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// The oldest and the newest version of the protocol that it speaks.
    pub protocol: (u16, u16),
    /// Who speaks, and to which relay.
    pub from: MemberId,
    /// To which relay.
    pub to: MemberId,
    /// In which life.
    pub incarnation: Incarnation,
    /// Which records it needs.
    pub topic: Topic,
    /// Its name, for operators; the relays need none. Bytes beyond [`MAX_NAME_BYTES`] are cut.
    pub name: String,
}

/// Which stream of records a message is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Feed {
    /// What is known of the servers of the leaf's topic.
    Servers,
    /// Which leaves of that topic there are.
    Leaves,
    /// What the leaf itself says.
    Own,
}

/// What a copy of a stream has.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CopyState {
    /// Whose stream, in which life.
    pub origin: Origin,
    /// Up to which version.
    pub version: u64,
    /// The hash of its records.
    pub hash: u64,
}

/// A leaf wants this relay to be its own.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Attach {
    /// The leaf's count of its attachments in this life.
    pub moves: u32,
    /// What it has of the feeds.
    pub servers: Option<CopyState>,
    /// The same, of leaves.
    pub leaves: Option<CopyState>,
    /// The settings that it holds.
    pub settings: Revision,
    /// The settings that it serves by, where those are others.
    pub in_force: u64,
}

/// Why a relay does not take a leaf.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Refusal {
    /// It has its share of leaves, or as many as its file allows.
    Full,
    /// It ends, or sheds leaves.
    Shedding,
    /// It has just started and does not know yet what the other relays know.
    CatchingUp,
}

/// What a relay has, for a leaf to compare.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// The feed of servers.
    pub servers: CopyState,
    /// The feed of leaves.
    pub leaves: CopyState,
    /// The leaf's own stream, as the relay has it: version and hash.
    pub own: (u64, u64),
    /// The settings of the fleet.
    pub settings: Revision,
}

/// A message.
#[derive(Clone, Debug, PartialEq)]
pub enum Message {
    /// A leaf says who it is.
    Hello(Hello),
    /// The relay says who it is.
    Welcome {
        /// Who.
        relay: MemberId,
        /// In which life.
        incarnation: Incarnation,
    },
    /// A leaf asks whether the relay is there.
    Ping(u32),
    /// It is.
    Pong(u32),
    /// A leaf wants this relay to be its own.
    Attach(Attach),
    /// It is. Up to which version its own stream is held.
    Attached(u64),
    /// It is not; and after how many milliseconds it may ask again.
    Refused(Refusal, u32),
    /// A leaf has another relay now; the link stays as its second choice.
    Detach,
    /// What changed in a stream: of the relay's feeds to a leaf, or of a leaf's own to its relay.
    Records(Feed, Piece),
    /// A stream has to be told anew from this version on; of which origin the receiver's copy is.
    Resync(Feed, Option<CopyState>),
    /// What the relay has.
    Digest(Digest),
    /// A part of the settings in force, or, among relays, of a change that is proposed.
    Settings {
        /// Whether it is only proposed.
        proposed: bool,
        /// The part.
        part: Part,
    },
    /// The settings that the speaker holds, for one to tell it what it lacks.
    Lacks(Revision),
    /// A leaf takes settings of this version, or says why not.
    Verdict {
        /// Which version.
        version: u64,
        /// Why it does not.
        refusal: Option<String>,
    },
    /// The speaker ends.
    Leave,
    /// Between relays: a word of the members of a small fleet.
    Mesh(Word),
    /// Between relays: which settings are in force as far as the speaker knows, and which it has stored as proposed.
    Holds {
        /// In force.
        in_force: Revision,
        /// Proposed.
        proposed: Revision,
    },
    /// Between relays: the change of this version is to be told to the speaker; whether one that is only proposed.
    Want {
        /// Whether the proposed one.
        proposed: bool,
        /// What it holds.
        held: Revision,
    },
    /// Between relays, to the writer: a leaf turned a change down.
    TurnedDown {
        /// Which leaf.
        leaf: MemberId,
        /// Its name.
        name: String,
        /// Which version.
        version: u64,
        /// Why.
        reason: String,
    },
    /// Of a kind that is not known here.
    Unknown(u8),
}

/// Why bytes are no message.
#[derive(Debug, thiserror::Error)]
pub enum FrameError {
    /// Longer than may be.
    #[error("a frame of {0} bytes, of which {MAX_FRAME_BYTES} may be")]
    TooLong(usize),
    /// Without a kind.
    #[error("an empty frame")]
    Empty,
    /// Bytes are left over.
    #[error("{0} bytes behind a message of kind {1}")]
    LeftOver(usize, u8),
    /// Not readable.
    #[error("a message of kind {0} cannot be read: {1}")]
    Unreadable(u8, postcard::Error),
}

fn read<T: serde::de::DeserializeOwned>(kind: u8, body: &[u8]) -> Result<T, FrameError> {
    let (value, rest) = postcard::take_from_bytes(body).map_err(|e| FrameError::Unreadable(kind, e))?;
    match rest.len() {
        0 => Ok(value),
        left => Err(FrameError::LeftOver(left, kind)),
    }
}

/// A text of so many bytes at most.
pub fn truncate(text: &str, most: usize) -> String {
    let end = (0..=most.min(text.len())).rev().find(|n| text.is_char_boundary(*n)).unwrap_or(0);
    text[..end].to_string()
}

impl Message {
    /// The number of its kind in a frame. A number is never given to another kind.
    pub fn kind(&self) -> u8 {
        match self {
            Message::Hello(_) => 1,
            Message::Welcome { .. } => 2,
            Message::Ping(_) => 3,
            Message::Pong(_) => 4,
            Message::Attach(_) => 5,
            Message::Attached(_) => 6,
            Message::Refused(..) => 7,
            Message::Detach => 8,
            Message::Records(..) => 9,
            Message::Resync(..) => 10,
            Message::Digest(_) => 11,
            Message::Settings { .. } => 12,
            Message::Lacks(_) => 13,
            Message::Verdict { .. } => 14,
            Message::Leave => 15,
            Message::Mesh(_) => 16,
            Message::Holds { .. } => 17,
            Message::Want { .. } => 18,
            Message::TurnedDown { .. } => 19,
            Message::Unknown(kind) => *kind,
        }
    }

    /// The names of the kinds, for reports, by number.
    pub const KINDS: [&'static str; 20] = [
        "unknown",
        "hello",
        "welcome",
        "ping",
        "pong",
        "attach",
        "attached",
        "refused",
        "detach",
        "records",
        "resync",
        "digest",
        "settings",
        "lacks",
        "verdict",
        "leave",
        "mesh",
        "holds",
        "want",
        "turned-down",
    ];

    fn body(&self) -> Result<Vec<u8>, postcard::Error> {
        use postcard::to_allocvec as bytes;
        match self {
            Message::Hello(hello) => bytes(hello),
            Message::Welcome { relay, incarnation } => bytes(&(relay, incarnation)),
            Message::Ping(number) | Message::Pong(number) => bytes(number),
            Message::Attach(attach) => bytes(attach),
            Message::Attached(version) => bytes(version),
            Message::Refused(why, retry_ms) => bytes(&(why, retry_ms)),
            Message::Records(feed, piece) => bytes(&(feed, piece)),
            Message::Resync(feed, held) => bytes(&(feed, held)),
            Message::Digest(digest) => bytes(digest),
            Message::Settings { proposed, part } => bytes(&(proposed, part)),
            Message::Lacks(mark) => bytes(mark),
            Message::Verdict { version, refusal } => bytes(&(version, refusal)),
            Message::Mesh(word) => bytes(word),
            Message::Holds { in_force, proposed } => bytes(&(in_force, proposed)),
            Message::Want { proposed, held } => bytes(&(proposed, held)),
            Message::TurnedDown { leaf, name, version, reason } => bytes(&(leaf, name, version, reason)),
            Message::Detach | Message::Leave | Message::Unknown(_) => Ok(Vec::new()),
        }
    }

    /// Appends its frame; returns its bytes, 0 where it has no form that could be told, which nothing here makes.
    pub fn encode(&self, out: &mut Vec<u8>) -> usize {
        let Ok(body) = self.body() else { return 0 };
        let whole = LENGTH_BYTES + 1 + body.len();
        if whole > MAX_FRAME_BYTES {
            return 0;
        }
        out.extend((body.len() as u32 + 1).to_be_bytes());
        out.push(self.kind());
        out.extend(body);
        whole
    }

    /// Reads one from the start of the bytes, with its length; none while it is not whole.
    pub fn decode(data: &[u8]) -> Result<Option<(Message, usize)>, FrameError> {
        let Some(length) = data.first_chunk::<LENGTH_BYTES>() else { return Ok(None) };
        let whole = LENGTH_BYTES.saturating_add(u32::from_be_bytes(*length) as usize);
        if whole > MAX_FRAME_BYTES {
            return Err(FrameError::TooLong(whole));
        }
        if whole == LENGTH_BYTES {
            return Err(FrameError::Empty);
        }
        let Some(frame) = data.get(LENGTH_BYTES..whole) else { return Ok(None) };
        let (kind, body) = (frame[0], &frame[1..]);
        let message = match kind {
            1 => Message::Hello(read(kind, body)?),
            2 => {
                let (relay, incarnation) = read(kind, body)?;
                Message::Welcome { relay, incarnation }
            }
            3 => Message::Ping(read(kind, body)?),
            4 => Message::Pong(read(kind, body)?),
            5 => Message::Attach(read(kind, body)?),
            6 => Message::Attached(read(kind, body)?),
            7 => {
                let (why, retry_ms) = read(kind, body)?;
                Message::Refused(why, retry_ms)
            }
            8 => Message::Detach,
            9 => {
                let (feed, piece) = read(kind, body)?;
                Message::Records(feed, piece)
            }
            10 => {
                let (feed, held) = read(kind, body)?;
                Message::Resync(feed, held)
            }
            11 => Message::Digest(read(kind, body)?),
            12 => {
                let (proposed, part) = read(kind, body)?;
                Message::Settings { proposed, part }
            }
            13 => Message::Lacks(read(kind, body)?),
            14 => {
                let (version, refusal) = read(kind, body)?;
                Message::Verdict { version, refusal }
            }
            15 => Message::Leave,
            16 => Message::Mesh(read(kind, body)?),
            17 => {
                let (in_force, proposed) = read(kind, body)?;
                Message::Holds { in_force, proposed }
            }
            18 => {
                let (proposed, held) = read(kind, body)?;
                Message::Want { proposed, held }
            }
            19 => {
                let (leaf, name, version, reason) = read(kind, body)?;
                Message::TurnedDown { leaf, name, version, reason }
            }
            unknown => Message::Unknown(unknown),
        };
        Ok(Some((message, whole)))
    }
}
