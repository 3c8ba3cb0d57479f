//! The state of calls and a timer wheel. Uses no sockets and knows no wire protocol.

pub mod calls;
pub mod wheel;
