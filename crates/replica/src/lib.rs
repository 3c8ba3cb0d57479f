//! What the gatekeepers of a fleet share about servers, calls, budgets and leaves, replicated among them.
//!
//! Each member writes one *stream* of records in each of its incarnations, and nobody else writes to it. A copy of a
//! stream is described by the version that it reaches; one version always has one content. What the members know
//! together is a join over all streams, so it does not matter in which order, how often or by which route the copies
//! arrived.
//!
//! No I/O, no clock, no threads: times are seconds on the member's own clock, passed in by the caller.
//!
//! - [`record`]: kinds, keys and values of records.
//! - [`stream`]: one stream: its versions, tombstones, chunks and hash.
//! - [`store`]: all streams held here, and what follows from them together.
//! - [`catch_up`]: finds missing records and fetches them from another member.
//! - [`adoption`]: which member takes over the calls of one that is gone.
//! - [`guard`]: restricts the decision module by what other members know.
//! - [`member`]: one member as a whole: messages in, messages out.

pub mod adoption;
pub mod catch_up;
pub mod guard;
pub mod member;
pub mod record;
pub mod store;
pub mod stream;

pub use member::{Member, Message, Settings};
