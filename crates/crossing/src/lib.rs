//! The traffic that crosses districts: an account of it, budgets for it, and reports.
//!
//! A gatekeeper stands in one district and session servers stand in others. A set-up to a server of
//! another district *crosses*. [`Crossing`] is a [`Gate`](hollypaddle_policy::Gate): the decision module
//! asks it before a set-up goes out and tells it what was sent and how it ended. It does no input or
//! output, reads no clock and draws nothing at random: equal settings and calls give equal answers.
//!
//! - [`account`] counts each set-up by class and directed pair of districts, since the start and in
//!   sliding windows, in memory that does not grow with traffic.
//! - [`budget`] holds the rules: set-ups a second, a share of the set-ups, calls standing at once.
//! - [`overdraft`] tells when an urgent class may overdraw a budget.
//! - [`gate`] puts these together, and [`report`] is what operators see of them.
//!
//! `docs/CROSSING.md` in the repository weighs the ways that were open.

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

/// A district: an index into the list of districts that the settings name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub struct District(pub u16);

impl District {
    /// Where a server stands whose district was not told, or is none of the settings' districts. Traffic
    /// to it is accounted but is no crossing: what is not known must not turn calls away.
    pub const UNKNOWN: District = District(u16::MAX);
}
