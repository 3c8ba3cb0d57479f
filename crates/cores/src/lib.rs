//! Several workers that divide the calls of one gatekeeper: the decisions, without processes, sockets, clock or
//! chance. docs/CORES.md tells why they are as they are.
//!
//! - [`table`]: who owns a call, as a pure function of its id and of the workers that serve.
//! - [`view`]: what one worker believes of that, for how long, and what it may do with a set-up.
//! - [`supervisor`]: when a worker is started again, left out, or stopped.
//! - [`shares`]: how limits of the whole process are divided.

pub mod shares;
pub mod supervisor;
pub mod table;
pub mod view;

/// A worker's seat. It stays the same when the worker is replaced.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Worker(pub u16);
