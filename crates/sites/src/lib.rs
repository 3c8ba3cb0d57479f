//! Detects the loss of a whole site, which is a district with its session servers and its gatekeepers, and
//! plans for it.
//!
//! The crate does no I/O, reads no clock and starts no threads: times are seconds on the clock of this member
//! and are passed in; what comes from another member is an age.
//!
//! - [`evidence`]: what is observed of a site, and the verdict: dead, cut off from here, partly lost or
//!   healthy.
//! - [`state`]: the state of a site, with hold times so that a flapping link neither starts nor ends a plan;
//!   the steps of a return; commands of operators.
//! - [`plan`]: where the load of each site would go, computed in advance.

pub mod evidence;
pub mod plan;
pub mod state;
