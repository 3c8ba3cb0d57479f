//! Decides for a call controller ("gatekeeper") which call set-ups are sent to which central server ("pool"), and
//! which are refused or held.
//!
//! A gatekeeper embeds one [`Controller`], passes it every [`Event`] with the time at which it happened, and carries
//! out the [`Action`]s that it returns. The controller does no input or output, reads no clock and shares no state:
//! the same settings, seed and events give the same actions.
#![doc = include_str!("../../../README.md")]

mod controller;
pub mod interface;
mod refused_callers;
pub mod settings;

pub use controller::Controller;
pub use interface::{
    Action, AllowAll, CallId, Candidate, Cause, ClassSettings, Denial, Event, Gate, GoalWeights, ListKind,
    Outcome, PoolEntry, PoolId, Readiness, Report, Settings, TenantSettings,
};
