//! The gatekeeper on sockets: one thread, one loop, a module for each peer. It decides no route, no
//! refusal and no retry; all that is the decision module's.

mod clients;
pub mod clock;
pub mod config;
pub mod control;
mod delivery;
pub mod event_loop;
mod events;
mod fleet;
pub mod gates;
pub mod http;
mod listen;
mod observations;
mod output;
mod peers;
pub mod poller;
pub mod relays;
pub mod resolver;
mod servers;
mod steering;
mod subjects;
#[cfg(test)]
mod tests;
mod tier;
