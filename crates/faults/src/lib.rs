//! Faults among many gatekeepers: one script format for the deterministic world and for real processes, and the
//! invariants that are checked over what happened in either.
//!
//! - [`script`]: `at 2.5s kill g3`, `at 3s cut g1 -> g2`, `at 4s heal`; drawn by a seed, made smaller when one fails.
//! - [`world`]: members, links, clocks of their own and servers, stepped by one queue in skipped time.
//! - [`tier`]: relays and leaves, in skipped time by a queue of events.
//! - [`real`]: real processes of the program, with fault proxies between them, by the same scripts.
//! - [`check`]: what must hold, over the record of events.

pub mod check;
mod clock;
pub mod duties;
mod impairment;
pub mod real;
pub mod script;
pub mod tier;
pub mod world;
