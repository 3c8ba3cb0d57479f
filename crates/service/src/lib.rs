//! Decides what a gatekeeper needs to be in service: whether it accepts clients (readiness, lameduck), how a drain closes
//! connections, which figures it reports, and what requests to the control address ask for.
//!
//! There is no I/O, clock or thread here: the time is an argument, and the program carries out the decisions.

pub mod classes;
pub mod descriptors;
pub mod drain;
pub mod figures;
pub mod http;
pub mod lifecycle;
