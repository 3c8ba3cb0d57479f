//! Duties that only one member of a fleet may hold at a time: who holds each of them, and how it passes to another.
//!
//! A duty is held by a lease from a majority of the configured members. Each of them is an *acceptor*: it grants a
//! duty to one holder at a time and keeps that only in memory. A holder counts its lease from before it sent the
//! request; an acceptor counts it from when it received the request, and for longer, as clocks differ in pace by up
//! to a hundredth. A member that starts does not know what it granted before, and grants nothing until all of that
//! has expired. Any two majorities share a member, and that member grants to one holder at a time: so two members
//! never hold a duty at once, whoever is paused, cut off, killed or slow.
//!
//! Every grant has an [`Epoch`], higher than all earlier ones that its acceptors have seen. A holder that was paused
//! between its last check and its action acts under an old epoch, and the [`Fence`] at the place of the effect
//! refuses the request.
//!
//! - [`acceptor`]: what one member has granted.
//! - [`claim`]: one duty as its candidate or holder sees it.
//! - [`placement`]: which member should hold which duty, by weight.
//! - [`member`]: all duties of a member, and its messages to others.
//! - [`fence`]: the check where a request takes effect.
//!
//! No I/O, no clock, no threads: times are seconds on the member's own clock, passed in by the caller; messages
//! between members carry durations.

pub mod acceptor;
pub mod claim;
pub mod fence;
pub mod member;
pub mod placement;

use std::fmt;

use hollypaddle_membership::MemberId;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

pub use fence::{Fence, FenceError};
pub use member::Duties;

/// Most duties that a member keeps track of: its own and those that others requested from it.
pub const MAX_DUTIES: usize = 256;
/// An acceptor counts a lease for this many times its term: clocks differ in pace by up to a hundredth each.
const CLOCK_PACE_MARGIN_RATIO: f64 = 1.04;
/// Added to that, in seconds: terms are sent in whole milliseconds.
const ROUNDING_MARGIN_S: f64 = 0.05;

/// What a duty covers.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Scope {
    /// The whole fleet.
    Fleet,
    /// A district, by name.
    District(String),
    /// A session server, by name.
    Server(String),
}

/// Whether two members may hold a duty at the same time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Kind {
    /// Never two at once: the holder needs a lease from a majority; a minority holds none.
    Exclusive,
    /// Done twice it costs work and harms nothing: the owner is chosen by rendezvous hashing among the live members,
    /// also in a minority.
    Harmless,
}

/// A task that one member does for the fleet.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Duty {
    /// The name of the task.
    pub name: String,
    /// What it covers.
    pub scope: Scope,
    /// Whether two members may hold it at the same time.
    pub kind: Kind,
}

impl Duty {
    /// A duty of which there is one holder at most.
    pub fn exclusive(name: &str, scope: Scope) -> Duty {
        Duty { name: name.into(), scope, kind: Kind::Exclusive }
    }

    /// A duty that may be done twice without harm.
    pub fn harmless(name: &str, scope: Scope) -> Duty {
        Duty { name: name.into(), scope, kind: Kind::Harmless }
    }

    /// Its key, the same at all members.
    pub fn key(&self) -> DutyKey {
        DutyKey(xxh3_64(self.to_string().as_bytes()))
    }
}

impl fmt::Display for Duty {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.scope {
            Scope::Fleet => write!(f, "{}", self.name),
            Scope::District(district) => write!(f, "{} of district {district}", self.name),
            Scope::Server(server) => write!(f, "{} of server {server}", self.name),
        }
    }
}

/// A hash of a duty's name and scope.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct DutyKey(pub u64);

/// The number of a grant, a fencing token. Of two grants of one duty the later has the higher epoch. Ordered by round
/// first, then by member, so that no two members that request a duty have the same epoch.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Epoch {
    /// Higher than every round that the requesting member knew of.
    pub round: u64,
    /// The member that requested.
    pub member: u64,
    /// The incarnation that requested: an earlier one of the same member may have used the same round.
    pub incarnation: u64,
}

impl Epoch {
    /// The epoch to request after this one.
    pub fn next(self, member: MemberId, incarnation: u64) -> Epoch {
        Epoch { round: self.round.saturating_add(1), member: member.0, incarnation }
    }
}

impl fmt::Display for Epoch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:04x}", self.round, self.member & 0xffff)
    }
}

/// Timing of leases, in seconds. All members of a fleet have the same.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// The term of a lease: how long a holder may act after it sent its request.
    pub term: f64,
    /// Interval between renewals: two messages may be lost before the term ends.
    pub renew_interval: f64,
    /// How much longer each candidate waits than the one before it in the order of candidates.
    pub candidate_delay: f64,
    /// A holder that reports work is regarded as stuck when its progress does not change for this long.
    pub stall_timeout: f64,
    /// How long a member that was stuck is refused the duty.
    pub stall_ban: f64,
    /// How long a duty stays with its holder before it may be handed over for a fairer distribution, whoever returns.
    pub min_hold: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            term: 2.0,
            renew_interval: 0.5,
            candidate_delay: 0.25,
            stall_timeout: 6.0,
            stall_ban: 20.0,
            min_hold: 30.0,
        }
    }
}

impl Settings {
    /// How long an acceptor keeps to what it granted, and how long a member that starts grants nothing; in seconds.
    pub fn grant_duration(&self) -> f64 {
        self.term * CLOCK_PACE_MARGIN_RATIO + ROUNDING_MARGIN_S
    }
}

/// How far a holder has come with its work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// Any number that changes with each completed step.
    pub mark: u64,
    /// Whether there is work to do: the mark of an idle holder need not change.
    pub busy: bool,
}

/// Why an acceptor does not grant a duty.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, thiserror::Error)]
pub enum Refusal {
    /// Another member holds it.
    #[error("another member holds the duty: it is taken over when that lease expires or is released")]
    AlreadyHeld,
    /// Another member requests it, and it is not known whether it got it.
    #[error(
        "another member requests the duty at the same time: nothing needs to be done, each retries after a random \
         delay"
    )]
    Contended,
    /// A later epoch is known.
    #[error(
        "a later epoch of the duty is known: the member that requested under this one was paused or cut off, and \
         requests again"
    )]
    StaleEpoch,
    /// It is reserved for the member to which it is being handed over.
    #[error("the duty is being handed over to another member")]
    Reserved,
    /// The holder has work and makes no progress.
    #[error(
        "the holder has work and its progress does not change: see its log; the duty goes to another member"
    )]
    Stalled,
    /// The requested term is longer than this member's own setting.
    #[error("the requested term is longer than this member's: give all members the same `term`")]
    TermTooLong,
    /// More than [`MAX_DUTIES`] duties are known.
    #[error("more than {MAX_DUTIES} duties are known: configure fewer")]
    TooManyDuties,
}

/// Messages between members about duties.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// The sender requests to hold a duty, or to go on holding it.
    Request {
        /// The duty.
        duty: DutyKey,
        /// The epoch to hold it under.
        epoch: Epoch,
        /// Number of this request among the sender's requests for the duty, so that an answer is not taken for one to
        /// a later request.
        seq: u32,
        /// The term, counted from when the request was sent, in milliseconds.
        term_ms: u32,
        /// How far the sender has come.
        progress: Progress,
        /// Whether the sender holds the duty already.
        holds: bool,
        /// The epoch that the last holder released to hand the duty over to the sender.
        predecessor: Option<Epoch>,
    },
    /// The request is granted.
    Granted {
        /// The duty.
        duty: DutyKey,
        /// The epoch that was granted.
        epoch: Epoch,
        /// The number of the request.
        seq: u32,
    },
    /// The request is refused.
    Refused {
        /// The duty.
        duty: DutyKey,
        /// The epoch that was requested.
        epoch: Epoch,
        /// The highest epoch that the acceptor knows.
        highest: Epoch,
        /// The reason.
        reason: Refusal,
    },
    /// The sender no longer acts under an epoch, and gives the duty up.
    Release {
        /// The duty.
        duty: DutyKey,
        /// The epoch that is over.
        epoch: Epoch,
        /// The member it is handed over to; `None` for whoever requests it first.
        to: Option<MemberId>,
        /// Whether the sender could ever act under the epoch: if not, it leaves no higher epoch behind.
        used: bool,
    },
}
