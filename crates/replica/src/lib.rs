//! What is known where in a fleet of gatekeepers that talk to each other.
//!
//! Each member writes one *stream* of records in each of its lives, and nobody else writes to it. A copy of a stream
//! is described by the version up to which it goes; of one version there is one content. What members believe together
//! is a join over all streams, so it does not matter in which order, how often or on which ways the copies came.
//!
//! No I/O, no clock, no threads: times are seconds on the member's own clock, handed in.
//!
//! - [`record`]: kinds, keys, values.
//! - [`stream`]: one stream: versions, tombstones, pieces, its hash.
//! - [`store`]: all streams held here, and what follows from them together.
//! - [`catch_up`]: who lacks what and gets it from whom.
//! - [`adoption`]: whose the calls of a member that is gone are.
//! - [`guard`]: what the decision module is told of what others know.
//! - [`member`]: all of it together, words in and words out.

pub mod adoption;
pub mod catch_up;
pub mod guard;
pub mod member;
pub mod record;
pub mod store;
pub mod stream;

pub use member::{Member, Message, Settings};
