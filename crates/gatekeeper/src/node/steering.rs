//! Steers new connections away from a listener that is about to close.
//!
//! Processes that listen at one address with SO_REUSEPORT form a group, and the kernel gives each new connection to one
//! listener of the group, by a hash. The connection stays with that listener: if it is still in the accept queue when the
//! listener closes, it is reset. A process that is about to end therefore attaches a classic BPF program to the group,
//! which makes the kernel select another listener, and closes its own listener once no more connections come to it.
//!
//! The program returns the index of a listener in the group. The listeners are in the order in which they began to listen.
//! A process doesn't know its own index, but if a connection still comes to it, either the program selected its own
//! listener or no other process listens. If the index is that of no listener, the kernel uses the hash.

use std::io;
use std::os::fd::AsFd;

use nix::libc::{sock_filter, sock_fprog, BPF_K, BPF_RET};
use nix::sys::socket::{setsockopt, sockopt::AttachReusePortCbpf};

/// The other process's index if it began to listen after this one.
const INDEX_IF_NEWER: u32 = 1;
/// The other process's index if it was listening before this one.
const INDEX_IF_OLDER: u32 = 0;
/// An index at which there is never a listener.
const INVALID_INDEX: u32 = u32::MAX;
/// How long a handshake takes at most, in seconds. One that began before the program was attached ends at the old listener.
const MAX_HANDSHAKE_S: f64 = 0.05;

/// The listener that gets new connections while this process's listener is about to close.
#[derive(Debug)]
pub struct Steering {
    index: u32,
    since: f64,
}

impl Steering {
    /// Starts to steer new connections to another listener at the same address, if there is one.
    pub fn begin(now: f64, listener: &impl AsFd) -> Steering {
        select_listener(listener, INDEX_IF_NEWER);
        Steering { index: INDEX_IF_NEWER, since: now }
    }

    /// Handles a connection that came to this listener in spite of the steering: tries the other index.
    pub fn connection_accepted(&mut self, now: f64, listener: &impl AsFd) {
        if now - self.since < MAX_HANDSHAKE_S {
            return;
        }
        self.index = if self.index == INDEX_IF_NEWER { INDEX_IF_OLDER } else { INDEX_IF_NEWER };
        self.since = now;
        select_listener(listener, self.index);
    }
}

/// Lets the kernel spread new connections over all listeners by the hash again. Also overrides a program that a process
/// left attached when it ended.
pub fn reset_to_hash(listener: &impl AsFd) {
    select_listener(listener, INVALID_INDEX);
}

/// Attaches a program that selects the listener at this index. If the system doesn't support such programs, the kernel
/// continues to use the hash, and connections that are made at the moment of a close are reset.
fn select_listener(listener: &impl AsFd, index: u32) {
    if let Err(error) = attach(listener, index) {
        log::debug!(error:%; "steering-failed");
    }
}

fn attach(listener: &impl AsFd, index: u32) -> io::Result<()> {
    let mut return_index = sock_filter { code: (BPF_RET | BPF_K) as u16, jt: 0, jf: 0, k: index };
    let program = sock_fprog { len: 1, filter: &mut return_index };
    setsockopt(listener, AttachReusePortCbpf, &program).map_err(io::Error::from)
}
