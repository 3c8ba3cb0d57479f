//! What it takes to be in service: whether the gatekeeper takes clients (readiness, lameduck), what it
//! reports (the figures), and what the control address is asked. No I/O, no clock, no threads: the time
//! is an argument, and the program carries out what is decided here.

pub mod classes;
pub mod descriptors;
pub mod drain;
pub mod figures;
pub mod http;
pub mod lifecycle;
