//! The gatekeeper's sockets: one thread with one event loop, and a module for each kind of peer. Routes, refusals and
//! retries are not decided here, but in the decision module (crate `policy`).

mod clients;
pub mod clock;
mod components;
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
#[cfg(test)]
mod tests;
mod tier;
