//! Divides the calls of one gatekeeper among several worker processes.
//!
//! This crate only makes decisions: it starts no processes, opens no sockets, reads no clock and draws no
//! random numbers. docs/CORES.md explains the design.
//!
//! - [`table`]: which worker owns a call, as a pure function of the call id and of the workers that serve.
//! - [`view`]: what one worker knows of that, for how long it is valid, and what the worker may do with a
//!   set-up.
//! - [`supervisor`]: when a worker is started, restarted, left out or stopped.
//! - [`shares`]: how limits of the whole process are divided among its workers.

pub mod shares;
pub mod supervisor;
pub mod table;
pub mod view;

/// The slot of a worker, counted from 0. A worker that replaces another one takes over its slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Worker(pub u16);
