//! What is played in the deterministic world.

use hollypaddle_replica::Settings;

/// A fault put in on purpose, which the invariants must find.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Planted {
    /// Tombstones are left out of what is told: a join that forgets deletions.
    NoTombstones,
    /// A piece says that it reaches further than it does: a copy that skips records.
    SkipsRecords,
    /// One who is given its calls back, or hears that they are over, goes on seeing to them.
    NeverYields,
    /// One who starts or wakes takes calls without catching up.
    NoCatchUp,
    /// A lender goes on using what it lends.
    LendsAndUses,
    /// One who starts uses its whole part at once, though an earlier life may have lent it.
    ForgetsLeases,
    /// A borrower counts a lease as long as it holds the message, however old that is.
    EndlessLease,
}

/// A budget that all members share, and what is asked of it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Shared {
    /// The fleet's set-ups a second, and burst.
    pub per_s: f64,
    /// The burst.
    pub burst: f64,
    /// Most of its part that a member lends.
    pub lend: f64,
}

/// What is played.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Members.
    pub members: usize,
    /// Servers.
    pub servers: usize,
    /// Calls a second at each.
    pub calls: f64,
    /// Chance that a message that carries records comes twice or is lost.
    pub chaos: f64,
    /// Chance that a beat is lost, as no connection loses it but a datagram is.
    pub loss: f64,
    /// The members' figures.
    pub settings: Settings,
    /// A budget that all share, if there is one.
    pub shared: Option<Shared>,
    /// A fault put in on purpose.
    pub planted: Option<Planted>,
}

impl Plan {
    /// So many members, with usual traffic.
    pub fn of(members: usize) -> Plan {
        Plan {
            members,
            servers: 3,
            calls: 4.0,
            chaos: 0.0,
            loss: 0.0,
            settings: Settings::default(),
            shared: None,
            planted: None,
        }
    }
}
