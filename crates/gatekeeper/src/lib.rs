//! The gatekeeper: a call controller on sockets. Its program is `hollypaddle`; this library lets tests and
//! measurements run whole gatekeepers in their own process, on a clock that they move.

pub mod ctl;
pub mod logging;
pub mod node;
