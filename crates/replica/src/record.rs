//! What is replicated: kinds, keys and values, and how each is joined where copies differ.

use std::fmt;

use hollypaddle_lending::{BudgetKey, Lease};
use hollypaddle_membership::{Incarnation, MemberId};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// A stream: the records that one member writes in one life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Origin {
    /// Whose.
    pub member: MemberId,
    /// Of which life.
    pub life: Incarnation,
}

impl fmt::Display for Origin {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}/{}", self.member.0, self.life)
    }
}

/// A session server, by a hash of its id, which is the same at every gatekeeper.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ServerKey(pub u64);

impl ServerKey {
    /// The server of an id.
    pub fn of(id: &str) -> ServerKey {
        ServerKey(xxh3_64(id.as_bytes()))
    }
}

/// A class, by a hash of its name: its number may differ among gatekeepers.
pub fn class_key(name: &str) -> u32 {
    xxh3_64(name.as_bytes()) as u32
}

/// What a record is about. Its kind is part of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Key {
    /// What the origin's list says of a server.
    Server(ServerKey),
    /// The origin finds that server silent.
    Silent(ServerKey),
    /// A call that stands through the origin, by its caller's id.
    Call(u64),
    /// A call of another's that is over, as the origin knows.
    Over(u64),
    /// The end of a call that the origin heard and has no caller to tell it to.
    Owed(u64),
    /// The origin wants more of a budget than its part.
    Want(BudgetKey),
    /// What the origin lends of its part to a member.
    Lent(BudgetKey, MemberId),
    /// What a relay's leaves of a topic say of a server, joined.
    TopicServer(Topic, ServerKey),
    /// A relay's leaf of a topic finds that server silent.
    TopicSilent(Topic, ServerKey),
    /// A leaf of a topic, as the relay knows it that it is, or was last, attached to.
    Leaf(Topic, MemberId),
}

/// What leaves have in common that need the same records: a hash of a service's name.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Topic(pub u32);

impl Topic {
    /// The topic of a service.
    pub fn of(service: &str) -> Topic {
        Topic(xxh3_64(service.as_bytes()) as u32)
    }
}

/// The kinds, for reports.
pub const KINDS: [&str; 10] =
    ["server", "silent", "call", "over", "owed", "want", "lent", "topic-server", "topic-silent", "leaf"];

impl Key {
    /// Its kind, an index into [`KINDS`].
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

/// Whether a server takes new calls, as its list has it. Greater is worse.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum ServerState {
    /// In service.
    Ready,
    /// It takes nothing new.
    Draining,
    /// It has left the list.
    Gone,
}

/// What a member's list says of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerFact {
    /// When its process last started, as told, in Unix milliseconds; 0 is long past. The server's own figure, so it
    /// compares among members.
    pub started_ms: u64,
    /// Whether it takes new calls.
    pub place: ServerState,
}

/// A call that stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallFact {
    /// Where.
    pub server: ServerKey,
    /// Its class, see [`class_key`].
    pub class: u32,
}

/// How a relay finds a leaf that is, or was last, attached to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Presence {
    /// It is attached and heard.
    Here,
    /// Its link is open and nothing comes: it is paused, its machine has vanished, or the way is cut.
    Silent,
    /// Its link was closed or reset, and it has not attached anywhere since.
    Closed,
    /// It said that it ends.
    Left,
    /// Silent or closed for longer than may be.
    Gone,
}

/// What a relay says of a leaf.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LeafFact {
    /// Its life.
    pub life: Incarnation,
    /// The leaf's own count of its attachments in that life: of two relays' words the one of the later attachment counts,
    /// and nobody but that relay writes under it.
    pub moves: u32,
    /// How it is found.
    pub presence: Presence,
}

/// What a record says.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Value {
    /// Of a server.
    Server(ServerFact),
    /// That it answers nothing, or cannot be reached, and of which start, in Unix milliseconds.
    Silent(u64),
    /// Of a call that stands.
    Call(CallFact),
    /// Of a call that is over.
    Over,
    /// Whether it was cut.
    Owed(bool),
    /// How much more, in millionths of the whole.
    Want(u32),
    /// A lease.
    Lent(Lease),
    /// Of a leaf.
    Leaf(LeafFact),
}

impl Value {
    /// Whether it is of its key's kind.
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

/// A record as it is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// What it is about.
    pub key: Key,
    /// The origin's count of its changes when it was written.
    pub version: u64,
    /// How old the evidence is, in milliseconds. Grows on the way, and is no part of the content.
    pub age_ms: u32,
    /// What it says; none where it was withdrawn.
    pub value: Option<Value>,
}

/// A hash of a record's content: equal copies have equal ones. Of two contents under one version the greater hash
/// wins, as good a rule as any that all follow.
pub fn content_hash(key: &Key, version: u64, value: &Option<Value>) -> u64 {
    let mut room = [0; 96];
    // The longest content is under 70 bytes; one that had no room would count as empty at every member alike.
    let bytes = postcard::to_slice(&(key, version, value), &mut room).map(|b| &*b).unwrap_or_default();
    xxh3_64(bytes)
}

/// Joins what two members know of one server: the later start counts; of one start, gone never turns back, and else
/// the younger word counts. Commutative, associative and idempotent; `at` is the time of the evidence.
pub fn join_servers(a: (f64, ServerFact), b: (f64, ServerFact)) -> (f64, ServerFact) {
    let rank = |(at, fact): &(f64, ServerFact)| {
        let gone = fact.place == ServerState::Gone;
        // Of the same moment the worse word counts, so that the order does not matter.
        (fact.started_ms, gone, if gone { f64::INFINITY } else { *at }, fact.place)
    };
    let (x, y) = (rank(&a), rank(&b));
    let order = (x.0, x.1).cmp(&(y.0, y.1)).then(x.2.total_cmp(&y.2)).then(x.3.cmp(&y.3));
    match order.then(a.0.total_cmp(&b.0)) {
        std::cmp::Ordering::Less => b,
        _ => a,
    }
}
