//! The platform's protocols without I/O of their own: the binary messages, connections with bounded buffers over any
//! stream, and the resolver's records.

pub mod boundary;
pub mod connection;
pub mod list;
pub mod message;
