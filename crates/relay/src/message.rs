//! Defines the messages between relays and leaves, and their frames.
//!
//! A frame is a big-endian length of four bytes that counts what follows, one byte for the kind, and the message
//! encoded by postcard. A message of an unknown kind is skipped: a newer peer may send more kinds. A message of a
//! known kind that cannot be decoded, or that leaves bytes over, closes its link.

use hollypaddle_membership::{Incarnation, MemberId};
use hollypaddle_replica::catch_up::Chunk;
use hollypaddle_replica::record::{Origin, Topic};
use hollypaddle_replica::Message as MeshMessage;
use serde::{Deserialize, Serialize};

use crate::settings::{Part, Revision};

/// The newest protocol version that this program supports.
pub const PROTOCOL_VERSION: u16 = 1;
/// The oldest protocol version that this program supports.
pub const MIN_PROTOCOL_VERSION: u16 = 1;
/// The longest frame, its length field included.
pub const MAX_FRAME_BYTES: usize = 64 * 1024;
/// The size of the length field.
const LENGTH_BYTES: usize = 4;
/// The longest name of a leaf; longer names are truncated.
pub const MAX_NAME_BYTES: usize = 64;
/// The longest reason for a rejected change; longer reasons are truncated.
pub const MAX_REASON_BYTES: usize = 400;

/// The first message of a leaf on a link to a relay.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// The oldest and the newest protocol version that the leaf supports.
    pub protocol: (u16, u16),
    /// The leaf.
    pub from: MemberId,
    /// The relay that the link is meant for.
    pub to: MemberId,
    /// The leaf's incarnation.
    pub incarnation: Incarnation,
    /// The topic whose records the leaf needs.
    pub topic: Topic,
    /// The leaf's name, for operators; the relays do not need it. Bytes beyond [`MAX_NAME_BYTES`] are cut off.
    pub name: String,
}

/// Which stream of records a message is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Feed {
    /// The servers of the leaf's topic.
    Servers,
    /// The leaves of that topic.
    Leaves,
    /// What the leaf itself reports.
    Own,
}

/// How far a copy of a stream is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CopyState {
    /// Whose stream it is, and of which incarnation.
    pub origin: Origin,
    /// The version that the copy has reached.
    pub version: u64,
    /// The hash of its records.
    pub hash: u64,
}

/// A leaf's request to be attached to this relay.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Attach {
    /// How many times the leaf has asked for an attachment in this incarnation.
    pub moves: u32,
    /// The state of its copy of the feed of servers.
    pub servers: Option<CopyState>,
    /// The state of its copy of the feed of leaves.
    pub leaves: Option<CopyState>,
    /// The settings that it holds.
    pub settings: Revision,
    /// The version of the settings in force at the leaf, which may be another one.
    pub in_force: u64,
}

/// Why a relay refuses a leaf.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Refusal {
    /// The relay has its share of leaves, or as many as its file allows.
    Full,
    /// The relay is shutting down, or sends leaves away.
    Shedding,
    /// The relay has just started and does not know yet what the other relays know.
    CatchingUp,
}

/// What a relay holds, for a leaf to compare with its own copies.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// The feed of servers.
    pub servers: CopyState,
    /// The feed of leaves.
    pub leaves: CopyState,
    /// The relay's copy of the leaf's own stream: version and hash.
    pub own: (u64, u64),
    /// The settings of the fleet.
    pub settings: Revision,
}

/// A message on a link between a leaf and a relay, or between two relays.
#[derive(Clone, Debug, PartialEq)]
pub enum Message {
    /// A leaf identifies itself.
    Hello(Hello),
    /// The relay identifies itself.
    Welcome {
        /// The relay.
        relay: MemberId,
        /// Its incarnation.
        incarnation: Incarnation,
    },
    /// A leaf checks that the relay answers.
    Ping(u32),
    /// The relay's answer to a ping, with the ping's number.
    Pong(u32),
    /// A leaf asks to be attached to this relay.
    Attach(Attach),
    /// The relay accepts the leaf and names the version up to which it holds the leaf's own stream.
    Attached(u64),
    /// The relay refuses the leaf, and after how many milliseconds the leaf may ask again.
    Refused(Refusal, u32),
    /// The leaf is attached to another relay now; the link stays as its second choice.
    Detach,
    /// What changed in a stream: one of the relay's feeds, sent to a leaf, or a leaf's own stream, sent to its relay.
    Records(Feed, Chunk),
    /// The receiver of a stream asks for it again, from the state of its copy on.
    Resync(Feed, Option<CopyState>),
    /// What the relay holds.
    Digest(Digest),
    /// A part of the settings in force or, among relays, of a proposed change.
    Settings {
        /// Whether the settings are only proposed.
        proposed: bool,
        /// The part.
        part: Part,
    },
    /// The settings that the sender holds, so that the receiver can send what is missing.
    Lacks(Revision),
    /// A leaf has applied the settings of this version, or reports why it has not.
    Verdict {
        /// The version.
        version: u64,
        /// Why the leaf rejected it; none if it is in force.
        refusal: Option<String>,
    },
    /// The sender is shutting down.
    Leave,
    /// Between relays: a message of the replication among the members of a mesh.
    Mesh(MeshMessage),
    /// Between relays: which settings are in force as far as the sender knows, and which ones it has stored as
    /// proposed.
    Holds {
        /// The settings in force.
        in_force: Revision,
        /// The proposed settings.
        proposed: Revision,
    },
    /// Between relays: asks for the settings that follow those that the sender holds.
    Want {
        /// Whether the proposed settings are meant, instead of those in force.
        proposed: bool,
        /// What the sender holds.
        held: Revision,
    },
    /// Between relays, to the writer: a leaf rejected a change.
    TurnedDown {
        /// The leaf.
        leaf: MemberId,
        /// Its name.
        name: String,
        /// The version that it rejected.
        version: u64,
        /// Why.
        reason: String,
    },
    /// A message of a kind that this program does not know.
    Unknown(u8),
}

/// Why bytes are not a valid frame.
#[derive(Debug, thiserror::Error)]
pub enum FrameError {
    /// The frame is longer than the limit.
    #[error("a frame of {0} bytes, at most {MAX_FRAME_BYTES} are allowed")]
    TooLong(usize),
    /// The frame has no kind.
    #[error("an empty frame")]
    Empty,
    /// Bytes are left over after the message.
    #[error("{0} bytes left over after a message of kind {1}")]
    LeftOver(usize, u8),
    /// The message cannot be decoded.
    #[error("a message of kind {0} cannot be decoded: {1}")]
    Unreadable(u8, postcard::Error),
}

fn decode_body<T: serde::de::DeserializeOwned>(kind: u8, body: &[u8]) -> Result<T, FrameError> {
    let (value, rest) = postcard::take_from_bytes(body).map_err(|e| FrameError::Unreadable(kind, e))?;
    match rest.len() {
        0 => Ok(value),
        left => Err(FrameError::LeftOver(left, kind)),
    }
}

/// Truncates a text to at most `max_bytes` bytes, at a character boundary.
pub fn truncate(text: &str, max_bytes: usize) -> String {
    let end = (0..=max_bytes.min(text.len())).rev().find(|n| text.is_char_boundary(*n)).unwrap_or(0);
    text[..end].to_string()
}

impl Message {
    /// The number of the message's kind in a frame. A number is never given to another kind.
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

    /// The names of the kinds by number, for reports.
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
            Message::Refused(reason, retry_ms) => bytes(&(reason, retry_ms)),
            Message::Records(feed, chunk) => bytes(&(feed, chunk)),
            Message::Resync(feed, held) => bytes(&(feed, held)),
            Message::Digest(digest) => bytes(digest),
            Message::Settings { proposed, part } => bytes(&(proposed, part)),
            Message::Lacks(revision) => bytes(revision),
            Message::Verdict { version, refusal } => bytes(&(version, refusal)),
            Message::Mesh(word) => bytes(word),
            Message::Holds { in_force, proposed } => bytes(&(in_force, proposed)),
            Message::Want { proposed, held } => bytes(&(proposed, held)),
            Message::TurnedDown { leaf, name, version, reason } => bytes(&(leaf, name, version, reason)),
            Message::Detach | Message::Leave | Message::Unknown(_) => Ok(Vec::new()),
        }
    }

    /// Appends the frame of the message and returns its length. Returns 0 if the message cannot be encoded or is too
    /// long, which no message built here is.
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

    /// Reads one message from the start of the bytes and returns it with the length of its frame; none while the
    /// frame is incomplete.
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
            1 => Message::Hello(decode_body(kind, body)?),
            2 => {
                let (relay, incarnation) = decode_body(kind, body)?;
                Message::Welcome { relay, incarnation }
            }
            3 => Message::Ping(decode_body(kind, body)?),
            4 => Message::Pong(decode_body(kind, body)?),
            5 => Message::Attach(decode_body(kind, body)?),
            6 => Message::Attached(decode_body(kind, body)?),
            7 => {
                let (reason, retry_ms) = decode_body(kind, body)?;
                Message::Refused(reason, retry_ms)
            }
            8 => Message::Detach,
            9 => {
                let (feed, chunk) = decode_body(kind, body)?;
                Message::Records(feed, chunk)
            }
            10 => {
                let (feed, held) = decode_body(kind, body)?;
                Message::Resync(feed, held)
            }
            11 => Message::Digest(decode_body(kind, body)?),
            12 => {
                let (proposed, part) = decode_body(kind, body)?;
                Message::Settings { proposed, part }
            }
            13 => Message::Lacks(decode_body(kind, body)?),
            14 => {
                let (version, refusal) = decode_body(kind, body)?;
                Message::Verdict { version, refusal }
            }
            15 => Message::Leave,
            16 => Message::Mesh(decode_body(kind, body)?),
            17 => {
                let (in_force, proposed) = decode_body(kind, body)?;
                Message::Holds { in_force, proposed }
            }
            18 => {
                let (proposed, held) = decode_body(kind, body)?;
                Message::Want { proposed, held }
            }
            19 => {
                let (leaf, name, version, reason) = decode_body(kind, body)?;
                Message::TurnedDown { leaf, name, version, reason }
            }
            unknown => Message::Unknown(unknown),
        };
        Ok(Some((message, whole)))
    }
}
