//! Decisions of a call controller: which call set-ups go to which central server ("pool"), and
//! which are refused or held.
//!
//! A front embeds one [`Controller`], hands it every [`Event`] with the time at which it happened
//! and carries out the [`Action`]s that come back. The controller does no input or output, reads no
//! clock and shares nothing: the same settings, seed and events give the same actions.
#![doc = include_str!("../../../README.md")]

mod controller;
pub mod interface;
pub mod settings;

pub use controller::Controller;
pub use interface::{
    Action, AllowAll, CallId, Candidate, Cause, ClassSettings, Denial, Event, Gate, GoalWeights, ListKind,
    Outcome, PoolEntry, PoolId, Readiness, Report, Settings, TenantSettings,
};
