//! Counts the set-ups that cross districts, enforces budgets for them, and reports both.
//!
//! A gatekeeper belongs to one district, and session servers belong to the same or other districts. A set-up to
//! a server of another district *crosses*. [`Crossing`] is a [`Gate`](hollypaddle_policy::Gate): the decision
//! module asks it before a set-up is sent, and reports what was sent and how it ended. It does no I/O, reads no
//! clock and draws no random numbers: the same settings and calls give the same answers.
//!
//! - [`account`] counts each set-up by class and directed pair of districts, since the start and in sliding
//!   windows, in memory that does not grow with traffic.
//! - [`budget`] holds the rules: set-ups per second, a ratio of the set-ups, and calls in flight or standing.
//! - [`overdraft`] decides when an urgent class may overdraw a budget.
//! - [`gate`] combines these, and [`report`] is what operators see of them.
//!
//! `docs/CROSSING.md` in the repository compares the designs that were considered.

pub mod account;
pub mod budget;
pub mod gate;
pub mod overdraft;
pub mod report;
pub mod table;
pub mod window;

use serde::Serialize;

pub use account::{Account, Counts, Span};
pub use budget::{Amount, Rate, RatioLimit, Rule, Scope};
pub use gate::{ClassInfo, Crossing, Settings};
pub use overdraft::OverdraftSettings;
pub use report::Report;

/// A district, as an index into the list of districts in the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub struct District(pub u16);

impl District {
    /// The district of a server whose district is missing or is not in the settings. Traffic to it is counted
    /// but is no crossing: missing information must not turn calls away.
    pub const UNKNOWN: District = District(u16::MAX);
}
