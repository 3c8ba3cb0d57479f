//! The life of a call, without sockets and without a word of any protocol, and the timer wheel.

pub mod calls;
pub mod wheel;
