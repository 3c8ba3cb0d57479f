//! The platform's binary protocol: pure encoding and decoding, and one stream's bounded buffers over whatever
//! reads and writes.

pub mod connection;
pub mod message;
