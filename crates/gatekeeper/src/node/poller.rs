//! A thin wrapper around the `polling` crate that adds keys and level-triggered interest, and contains its only unsafe call.

use std::io;
use std::os::fd::{AsFd, AsRawFd};
use std::time::Duration;

use polling::{Event, Events, PollMode, Poller as OsPoller};
use rustix::event::{poll, PollFd, PollFlags, Timespec};

/// Identifies a registered source. Keys are never reused, so a late event of a closed source is not taken for another's.
pub type Key = usize;

/// An event: a source is ready to be read or written.
#[derive(Clone, Copy, Debug)]
pub struct Ready {
    /// The source.
    pub key: Key,
    /// There is something to read; this includes the end of the stream and an error.
    pub readable: bool,
    /// The source can be written to.
    pub writable: bool,
}

/// Waits for events of registered sources.
pub struct Poller {
    poller: OsPoller,
    events: Events,
    last_key: Key,
}

impl Poller {
    /// Creates a poller without sources.
    ///
    /// # Errors
    ///
    /// Fails if the system provides no further poller, for example for lack of descriptors.
    pub fn new() -> io::Result<Poller> {
        Ok(Poller { poller: OsPoller::new()?, events: Events::new(), last_key: 0 })
    }

    /// Registers a source for reading, and also for writing if `writing` is set. Returns its key.
    ///
    /// # Errors
    ///
    /// Fails if the system rejects the registration.
    #[allow(unsafe_code)]
    pub fn add(&mut self, source: &(impl AsRawFd + AsFd), writing: bool) -> io::Result<Key> {
        self.last_key += 1;
        let interest = Event::new(self.last_key, true, writing);
        // SAFETY: the source must not be closed while it is registered. Every owner passes its source to `remove`
        // before dropping it. If one doesn't, the system removes the closed descriptor from the epoll set by itself,
        // because no source is ever duplicated.
        unsafe { self.poller.add_with_mode(source.as_raw_fd(), interest, PollMode::Level)? };
        Ok(self.last_key)
    }

    /// Changes the events that a source is registered for. A failure is logged.
    pub fn set_interest(&self, key: Key, source: &impl AsFd, reading: bool, writing: bool) {
        let interest = Event::new(key, reading, writing);
        if let Err(error) = self.poller.modify_with_mode(source, interest, PollMode::Level) {
            log::error!(error:%; "poller-failed");
        }
    }

    /// Removes a source. Must be called before the source is dropped. A failure is logged.
    pub fn remove(&self, source: &impl AsFd) {
        if let Err(error) = self.poller.delete(source) {
            log::error!(error:%; "poller-failed");
        }
    }

    /// Waits for events, for at most this many seconds, and returns them.
    ///
    /// # Errors
    ///
    /// Fails if the system call fails.
    pub fn wait(&mut self, seconds: f64) -> io::Result<Vec<Ready>> {
        self.events.clear();
        self.poller.wait(&mut self.events, Some(Duration::from_secs_f64(seconds.max(0.0))))?;
        let ready = |e: Event| Ready { key: e.key, readable: e.readable, writable: e.writable };
        Ok(self.events.iter().map(ready).collect())
    }
}

/// Whether the peer has closed its side of a connection, or reset it, even if input that came before is not read yet.
pub fn is_closed_by_peer(socket: &impl AsFd) -> bool {
    const AT_ONCE: Timespec = Timespec { tv_sec: 0, tv_nsec: 0 };
    let mut sockets = [PollFd::new(socket, PollFlags::RDHUP)];
    // If the system can't tell, the close is seen when it is read.
    let polled = poll(&mut sockets, Some(&AT_ONCE));
    polled.is_ok() && sockets[0].revents().intersects(PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR)
}
