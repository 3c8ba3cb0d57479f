//! Who of a fleet is alive, suspected, gone or returned.
//!
//! No I/O, no clock, no threads: times are seconds on the member's own clock, handed in; what comes from another
//! member is an age or a duration, never a reading of its clock.
//!
//! - [`detector`]: how long one may be silent before it is suspected, from the gaps between its beats.
//! - [`view`]: what one member believes of each, and what changed.

pub mod detector;
pub mod view;

use std::fmt;

use serde::{Deserialize, Serialize};

/// A member: a hash of its name, so that members need not agree on an order of names.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MemberId(pub u64);

impl MemberId {
    /// The member of a name.
    pub fn of(name: &str) -> MemberId {
        MemberId(xxhash_rust::xxh3::xxh3_64(name.as_bytes()))
    }
}

/// One life of a member, from a start to its end. A later one has a higher incarnation; of one incarnation
/// there is one life, and the nonce tells where that fails: two processes under one name.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation {
    /// Higher at each start.
    pub number: u64,
    /// By chance, at each start.
    pub nonce: u64,
}

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:04x}", self.number, self.nonce & 0xffff)
    }
}

/// What members say to each other all the time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The speaker's life.
    pub incarnation: Incarnation,
    /// Counts the speaker's beats on this pair of members.
    pub seq: u32,
    /// The last beat that the speaker heard from whom it speaks to.
    pub echo: Option<Echo>,
    /// Whether the speaker has caught up.
    pub ready: bool,
    /// Whether callers are there to whom it can tell the end of any call.
    pub callers: bool,
    /// What the speaker hears of others.
    pub observations: Vec<Observation>,
}

/// A beat heard, told back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Echo {
    /// Which.
    pub seq: u32,
    /// How long ago, in milliseconds.
    pub held_ms: u32,
}

/// What one member hears of another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Observation {
    /// Of whom.
    pub member: MemberId,
    /// The latest life known.
    pub incarnation: Incarnation,
    /// How long ago it was alive for certain, in milliseconds; [`u32::MAX`] is never.
    pub age_ms: u32,
    /// The speaker holds it to be gone.
    pub gone: bool,
}
