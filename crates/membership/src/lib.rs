//! Membership of a fleet: which members are alive, suspected, gone or back.
//!
//! The crate does no I/O, reads no clock and starts no threads. Times are seconds on this member's own clock and are passed
//! in. What another member reports is an age or a duration, never a reading of its clock.
//!
//! - [`detector`]: how long a member may be silent before it is suspected, from the gaps between its heartbeats.
//! - [`view`]: what this member believes of each other member, and what changed.

pub mod detector;
pub mod view;

use std::fmt;

use serde::{Deserialize, Serialize};

/// Identifies a member by a hash of its name, so members need not agree on an order of names.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MemberId(pub u64);

impl MemberId {
    /// Returns the id of the member with this name.
    pub fn of(name: &str) -> MemberId {
        MemberId(xxhash_rust::xxh3::xxh3_64(name.as_bytes()))
    }
}

/// One run of a member's process, from its start to its end. A later run has a higher number. Two processes that run under
/// one name and have the same number are told apart by the nonce.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation {
    /// Increases with each start.
    pub number: u64,
    /// Random, chosen anew at each start.
    pub nonce: u64,
}

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:04x}", self.number, self.nonce & 0xffff)
    }
}

/// Sent periodically from each member to each other member.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender's incarnation.
    pub incarnation: Incarnation,
    /// Sequence number of the sender's heartbeats to this receiver.
    pub seq: u32,
    /// The last heartbeat that the sender received from this receiver.
    pub echo: Option<Echo>,
    /// Whether the sender has caught up.
    pub ready: bool,
    /// Whether callers are connected to the sender, to whom it can report the end of any call.
    pub callers: bool,
    /// What the sender knows of other members.
    pub observations: Vec<Observation>,
}

/// Acknowledges a heartbeat that was received.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Echo {
    /// Sequence number of that heartbeat.
    pub seq: u32,
    /// Time since it was received, in milliseconds.
    pub held_ms: u32,
}

/// What one member knows of another from that member's own heartbeats.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Observation {
    /// The observed member.
    pub member: MemberId,
    /// Its latest known incarnation.
    pub incarnation: Incarnation,
    /// Time since it was certainly alive, in milliseconds; [`u32::MAX`] means never.
    pub age_ms: u32,
    /// Whether the sender considers it gone.
    pub gone: bool,
}
