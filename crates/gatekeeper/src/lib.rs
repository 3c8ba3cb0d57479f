//! The gatekeeper: a call controller that decides which call set-ups go to which session server. The program is
//! `hollypaddle`. This library lets tests and measurements run complete gatekeepers in their own process, with a clock
//! that they control.

pub mod ctl;
pub mod logging;
pub mod node;
