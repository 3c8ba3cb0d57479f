//! Duties that only one member of a fleet may hold at a time, and who holds them now.
//!
//! A duty is held by a lease from a majority of the configured members. Each of them is an *acceptor*: it grants a duty to
//! one holder at a time, and keeps that in memory alone. A holder counts its lease from before it asked; an acceptor
//! counts what it granted from when it heard, and for longer, as clocks differ in pace by up to a hundredth. A member
//! that starts does not know what it granted before, and grants nothing until all of that has run out. Any two
//! majorities share a member, and that one grants to one holder at a time: so two never hold a duty at once, whoever is
//! paused, cut off, killed or slow.
//!
//! Every grant has an [`Epoch`], higher than all before it that its acceptors have seen. A holder that was paused between its
//! last look and its act acts under an old epoch, and the [`Fence`] where the effect lands refuses it.
//!
//! - [`acceptor`]: what one member has granted.
//! - [`claim`]: one duty as its candidate or holder sees it.
//! - [`placement`]: who is to hold what, by weight.
//! - [`member`]: all duties of a member, and what it says to others.
//! - [`fence`]: the last look, where the effect lands.
//!
//! No I/O, no clock, no threads: times are seconds on the member's own clock, handed in; between members go durations.

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

/// Duties that a member keeps in mind at most, its own and those that others asked it for.
pub const MAX_DUTIES: usize = 256;
/// What an acceptor grants counts for so many times the term: clocks differ in pace by up to a hundredth each.
const CLOCK_PACE_MARGIN_RATIO: f64 = 1.04;
/// And so much longer, in seconds: terms are told in milliseconds.
const ROUNDING_MARGIN_S: f64 = 0.05;

/// What a duty reaches over.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Scope {
    /// The whole fleet.
    Fleet,
    /// A district, by name.
    District(String),
    /// A session server, by name.
    Server(String),
}

/// Whether two may hold a duty for a moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Kind {
    /// Never two at once: by a lease from a majority; a minority holds none.
    Exclusive,
    /// Doubled it costs work and harms nothing: by rendezvous hashing among the living; also in a minority.
    Harmless,
}

/// A duty.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Duty {
    /// What is to be done.
    pub name: String,
    /// Over what.
    pub scope: Scope,
    /// Whether two may hold it for a moment.
    pub kind: Kind,
}

impl Duty {
    /// An exclusive one.
    pub fn exclusive(name: &str, scope: Scope) -> Duty {
        Duty { name: name.into(), scope, kind: Kind::Exclusive }
    }

    /// One that is harmless when doubled.
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

/// A duty's name and scope, hashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct DutyKey(pub u64);

/// The number of a grant. Of two grants of one duty the later has the higher one: the round first, then who asked, so that no
/// two that ask have the same.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Epoch {
    /// Higher than every one that was heard of when it was asked for.
    pub round: u64,
    /// Who asked.
    pub member: u64,
    /// In which life: a member that starts anew may have asked under its round before.
    pub incarnation: u64,
}

impl Epoch {
    /// The one to ask for after this.
    pub fn next(self, member: MemberId, incarnation: u64) -> Epoch {
        Epoch { round: self.round.saturating_add(1), member: member.0, incarnation }
    }
}

impl fmt::Display for Epoch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:04x}", self.round, self.member & 0xffff)
    }
}

/// The figures of it, in seconds. All members of a fleet have the same.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// A holder may act for so long after it asked for its lease.
    pub term: f64,
    /// It asks anew after so long: two words may be lost before the term runs out.
    pub renew_interval: f64,
    /// The next in the order of candidates waits for so much longer than the one before it.
    pub candidate_delay: f64,
    /// A holder that says that it has work is taken to be stuck when its progress stands still for so long.
    pub stall_timeout: f64,
    /// One that was stuck is granted nothing of that duty for so long.
    pub stall_ban: f64,
    /// A duty that was taken stays where it is for so long, whoever returns.
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
    /// For how long an acceptor keeps to what it granted, and a member that starts grants nothing.
    pub fn grant_duration(&self) -> f64 {
        self.term * CLOCK_PACE_MARGIN_RATIO + ROUNDING_MARGIN_S
    }
}

/// How far a holder has come with its work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// Any number that changes with each step done.
    pub mark: u64,
    /// Whether there is work to do: an idle holder's mark may stand still.
    pub busy: bool,
}

/// Why an acceptor does not grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, thiserror::Error)]
pub enum Refusal {
    /// Another holds it.
    #[error("another member holds the duty: it is taken over when that lease runs out or is given back")]
    AlreadyHeld,
    /// Another asks for it, and it is not known whether it got it.
    #[error("another member asks for the duty at the same moment: nothing is to be done, each tries again after a draw")]
    Contended,
    /// A later epoch was seen.
    #[error(
        "a later epoch of the duty is known: who asked under this one was paused or cut off, and asks anew"
    )]
    StaleEpoch,
    /// It is kept for the one to whom it is handed on.
    #[error("the duty is being handed on to another member")]
    Reserved,
    /// The holder has work and makes no progress.
    #[error(
        "the holder has work and its progress stands still: look at its log; the duty goes to another member"
    )]
    Stalled,
    /// Its term is longer than the own one.
    #[error("the term asked for is longer than this member's: give all members the same `term`")]
    TermTooLong,
    /// There are too many duties.
    #[error("more than {MAX_DUTIES} duties are known: name fewer")]
    TooManyDuties,
}

/// What members say to each other of duties.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// The speaker asks to hold a duty, or to go on holding it.
    Request {
        /// Which.
        duty: DutyKey,
        /// Under which epoch.
        epoch: Epoch,
        /// Counts the speaker's requests of it, so that an answer is not taken for one to a later request.
        seq: u32,
        /// For how long from when it was sent, in milliseconds.
        term_ms: u32,
        /// How far it has come.
        progress: Progress,
        /// Whether it holds the duty already.
        holds: bool,
        /// The epoch that its last holder has given back to hand the duty on to the speaker.
        predecessor: Option<Epoch>,
    },
    /// It is granted.
    Granted {
        /// Which.
        duty: DutyKey,
        /// Under which epoch.
        epoch: Epoch,
        /// Which request.
        seq: u32,
    },
    /// It is not.
    Refused {
        /// Which.
        duty: DutyKey,
        /// The epoch that was asked for.
        epoch: Epoch,
        /// The highest that was seen.
        highest: Epoch,
        /// Why.
        reason: Refusal,
    },
    /// The speaker no longer acts under an epoch, and hands the duty on.
    Release {
        /// Which.
        duty: DutyKey,
        /// Under which epoch.
        epoch: Epoch,
        /// To whom; whoever comes first where it is nobody.
        to: Option<MemberId>,
        /// Whether it ever could act under it: one that could not leaves no higher epoch behind.
        used: bool,
    },
}
