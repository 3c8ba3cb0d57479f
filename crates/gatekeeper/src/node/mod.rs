//! The gatekeeper on sockets: one thread, one loop, a module for each peer. It decides no route, no
//! refusal and no retry; all that is the decision module's.

mod clients;
mod clock;
pub mod config;
mod connection;
pub mod event_loop;
mod poller;
mod resolver;
mod servers;
#[cfg(test)]
mod tests;
