//! The platform's binary protocol: pure encoding and decoding.

pub mod message;
