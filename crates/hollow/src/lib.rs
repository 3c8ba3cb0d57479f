//! Hollow leaves of a tier of relays: the state machines of the true ones on true links, many in a process, with no calls
//! behind them. What a relay costs by its leaves, and what becomes of hundreds of leaves when relays fail, shows with them
//! on one machine.
//!
//! - [`leaves`]: the process, and what it reports.
//! - [`process`]: the same from outside: starts one and reads its reports.
//! - [`test_bed`]: relays and gatekeepers as real processes, with hollow ones beside them.

pub mod leaves;
pub mod process;
pub mod test_bed;
