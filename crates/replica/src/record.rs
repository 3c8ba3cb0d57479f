//! The replicated records: their kinds, keys and values, and how differing copies are joined.

use std::fmt;

use hollypaddle_lending::{BudgetKey, Lease};
use hollypaddle_membership::{Incarnation, MemberId};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// Identifies a stream: the records that one member writes in one incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Origin {
    /// The member that writes it.
    pub member: MemberId,
    /// The incarnation in which it does.
    pub life: Incarnation,
}

impl fmt::Display for Origin {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}/{}", self.member.0, self.life)
    }
}

/// Identifies a session server by a hash of its id, the same at every gatekeeper.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ServerKey(pub u64);

impl ServerKey {
    /// The key of the server with this id.
    pub fn of(id: &str) -> ServerKey {
        ServerKey(xxh3_64(id.as_bytes()))
    }
}

/// Identifies a class by a hash of its name, since its number may differ among gatekeepers.
pub fn class_key(name: &str) -> u32 {
    xxh3_64(name.as_bytes()) as u32
}

/// What a record is about, including the kind of the record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Key {
    /// A server, as the origin's list has it.
    Server(ServerKey),
    /// A server that the origin finds silent.
    Silent(ServerKey),
    /// A standing call through the origin, by the id that its caller gave it.
    Call(u64),
    /// A call of another member that the origin knows to have ended.
    Over(u64),
    /// The end of a call that the origin received but has no caller to deliver it to.
    Owed(u64),
    /// A budget of which the origin requests more than its part.
    Want(BudgetKey),
    /// A lease of the origin's part of a budget to a member.
    Lent(BudgetKey, MemberId),
    /// A server, as a relay has it by joining what its leaves of a topic report.
    TopicServer(Topic, ServerKey),
    /// A server that a relay's leaf of a topic finds silent.
    TopicSilent(Topic, ServerKey),
    /// A leaf of a topic that is, or was last, attached to the relay.
    Leaf(Topic, MemberId),
}

/// Identifies the leaves that need the same records, by a hash of a service's name.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Topic(pub u32);

impl Topic {
    /// The topic of the service with this name.
    pub fn of(service: &str) -> Topic {
        Topic(xxh3_64(service.as_bytes()) as u32)
    }
}

/// Names of the kinds of records in reports.
pub const KINDS: [&str; 10] =
    ["server", "silent", "call", "over", "owed", "want", "lent", "topic-server", "topic-silent", "leaf"];

impl Key {
    /// The index of its kind in [`KINDS`].
    pub fn kind(&self) -> usize {
        match self {
            Key::Server(_) => 0,
            Key::Silent(_) => 1,
            Key::Call(_) => 2,
            Key::Over(_) => 3,
            Key::Owed(_) => 4,
            Key::Want(_) => 5,
            Key::Lent(..) => 6,
            Key::TopicServer(..) => 7,
            Key::TopicSilent(..) => 8,
            Key::Leaf(..) => 9,
        }
    }
}

/// Whether a server accepts new calls, by a member's list. Greater is worse.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum ServerState {
    /// In service.
    Ready,
    /// It accepts no new calls.
    Draining,
    /// It has left the list.
    Gone,
}

/// What a member's list reports of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerFact {
    /// When its process last started, as the server reported it, in Unix milliseconds; 0 means long ago. It is the
    /// server's own figure, so it compares among members.
    pub started_ms: u64,
    /// Whether it accepts new calls.
    pub place: ServerState,
}

/// A standing call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallFact {
    /// The server that holds the call.
    pub server: ServerKey,
    /// Its class, see [`class_key`].
    pub class: u32,
}

/// The presence of a leaf that is, or was last, attached to a relay.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Presence {
    /// Attached, and messages arrive.
    Here,
    /// Its link is open but nothing arrives: it is paused, its machine has vanished, or the network is cut.
    Silent,
    /// Its link was closed or reset, and it has not attached anywhere since.
    Closed,
    /// It announced that it ends.
    Left,
    /// Silent or closed for longer than is allowed.
    Gone,
}

/// What a relay reports of a leaf.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LeafFact {
    /// The leaf's incarnation.
    pub life: Incarnation,
    /// The leaf's own count of its attachments in that incarnation: of two relays' reports the one of the later
    /// attachment counts, and only the relay of that attachment writes under this number.
    pub moves: u32,
    /// Its presence.
    pub presence: Presence,
}

/// The content of a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Value {
    /// State of a server.
    Server(ServerFact),
    /// The server does not answer or cannot be reached; the start of its process in Unix milliseconds.
    Silent(u64),
    /// A standing call.
    Call(CallFact),
    /// The call has ended.
    Over,
    /// Whether the call was cut.
    Owed(bool),
    /// The amount requested beyond the own part, in millionths of the whole.
    Want(u32),
    /// A lease.
    Lent(Lease),
    /// State of a leaf.
    Leaf(LeafFact),
}

impl Value {
    /// Whether the value is of the kind that the key requires.
    pub fn fits(&self, key: &Key) -> bool {
        matches!(
            (key, self),
            (Key::Server(_), Value::Server(_))
                | (Key::Silent(_), Value::Silent(_))
                | (Key::Call(_), Value::Call(_))
                | (Key::Over(_), Value::Over)
                | (Key::Owed(_), Value::Owed(_))
                | (Key::Want(_), Value::Want(_))
                | (Key::Lent(..), Value::Lent(_))
                | (Key::TopicServer(..), Value::Server(_))
                | (Key::TopicSilent(..), Value::Silent(_))
                | (Key::Leaf(..), Value::Leaf(_))
        )
    }
}

/// A record as it is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// What it is about.
    pub key: Key,
    /// The origin's version of the stream when it was written.
    pub version: u64,
    /// How old the evidence is, in milliseconds. It grows on the way, and is not part of the content.
    pub age_ms: u32,
    /// Its content; `None` if it was withdrawn.
    pub value: Option<Value>,
}

/// A hash of a record's content, the same for equal copies. Of two contents under one version the one with the
/// greater hash wins: any rule would do as long as all members follow it.
pub fn content_hash(key: &Key, version: u64, value: &Option<Value>) -> u64 {
    let mut room = [0; 96];
    // The longest content is under 70 bytes; one that did not fit would count as empty, at every member alike.
    let bytes = postcard::to_slice(&(key, version, value), &mut room).map(|b| &*b).unwrap_or_default();
    xxh3_64(bytes)
}

/// Joins what two members know of one server, each with the time of its evidence: the later start wins; of one start,
/// gone never turns back, and otherwise the younger evidence wins. Commutative, associative and idempotent.
pub fn join_servers(a: (f64, ServerFact), b: (f64, ServerFact)) -> (f64, ServerFact) {
    let rank = |(at, fact): &(f64, ServerFact)| {
        let gone = fact.place == ServerState::Gone;
        // Of the same moment the worse state wins, so that the order of the arguments does not matter.
        (fact.started_ms, gone, if gone { f64::INFINITY } else { *at }, fact.place)
    };
    let (x, y) = (rank(&a), rank(&b));
    let order = (x.0, x.1).cmp(&(y.0, y.1)).then(x.2.total_cmp(&y.2)).then(x.3.cmp(&y.3));
    match order.then(a.0.total_cmp(&b.0)) {
        std::cmp::Ordering::Less => b,
        _ => a,
    }
}
