//! Hollow leaves of a tier of relays: many leaves in one process, with the real state machines and real links but no
//! calls. They show on one machine what a relay costs per leaf, and what happens to hundreds of leaves when relays
//! fail.
//!
//! - [`leaves`]: the process with its leaves, and what it reports.
//! - [`process`]: starts such a process and reads its reports.
//! - [`test_bed`]: relays and gatekeepers as real processes, with hollow leaves beside them.

pub mod leaves;
pub mod process;
pub mod test_bed;
