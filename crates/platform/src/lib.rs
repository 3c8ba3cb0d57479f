//! The platform's protocols, pure: the binary messages, one stream's bounded buffers over whatever reads and
//! writes, and the resolver's records.

pub mod boundary;
pub mod connection;
pub mod list;
pub mod message;
