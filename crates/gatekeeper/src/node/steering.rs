//! Steering of new connections away from a listener that is about to close.
//!
//! Processes that listen at one address with SO_REUSEPORT form a group, and the kernel gives each new connection to one
//! listener of the group, by a hash. It stays with that listener: what is still queued there when it closes is reset. So a
//! process that ends has the kernel choose another listener first, by a classic BPF program attached to the group, and
//! closes its own once nothing comes to it any more.
//!
//! The program answers with the place of a listener in the group, in which listeners stand in the order in which they began
//! to listen. A process isn't told its own place; but where a connection still comes to it, the program chose its own
//! listener, or no other process listens. A place at which no listener stands leaves the choice to the hash.

use std::io;
use std::os::fd::AsFd;

use nix::libc::{sock_filter, sock_fprog, BPF_K, BPF_RET};
use nix::sys::socket::{setsockopt, sockopt::AttachReusePortCbpf};

/// The place of a process that started while this one already listened, and that of one that had listened before.
const LATER: u32 = 1;
const EARLIER: u32 = 0;
/// At this place there is never a listener.
const NOWHERE: u32 = u32::MAX;
/// A handshake that began before the program was attached ends at the old listener: within so long, in seconds.
const HANDSHAKE: f64 = 0.05;

/// Where new connections are sent while a listener is about to close.
#[derive(Debug)]
pub struct Steering {
    place: u32,
    since: f64,
}

impl Steering {
    /// Begins to send new connections to another listener at the same address, if there is one.
    pub fn begin(now: f64, listener: &impl AsFd) -> Steering {
        choose(listener, LATER);
        Steering { place: LATER, since: now }
    }

    /// Takes note that a connection was accepted here all the same.
    pub fn connection_accepted(&mut self, now: f64, listener: &impl AsFd) {
        if now - self.since < HANDSHAKE {
            return;
        }
        self.place = if self.place == LATER { EARLIER } else { LATER };
        self.since = now;
        choose(listener, self.place);
    }
}

/// Lets the hash spread new connections over all listeners again, whatever a process that ended has left attached.
pub fn reset_to_hash(listener: &impl AsFd) {
    choose(listener, NOWHERE);
}

/// Attaches the program that chooses the listener at this place. Where the system has no such programs the hash goes on
/// choosing, and connections made in the moment of a close are reset.
fn choose(listener: &impl AsFd, place: u32) {
    if let Err(error) = attach(listener, place) {
        log::debug!(error:%; "steering-failed");
    }
}

fn attach(listener: &impl AsFd, place: u32) -> io::Result<()> {
    let mut answer = sock_filter { code: (BPF_RET | BPF_K) as u16, jt: 0, jf: 0, k: place };
    let program = sock_fprog { len: 1, filter: &mut answer };
    setsockopt(listener, AttachReusePortCbpf, &program).map_err(io::Error::from)
}
