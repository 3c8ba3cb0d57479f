//! A thin wrapper round the `polling` crate: keys, level-triggered interest, and its one unsafe call.

use std::io;
use std::os::fd::{AsFd, AsRawFd};
use std::time::Duration;

use polling::{Event, Events, PollMode, Poller as OsPoller};

/// Names a watched source. Keys are never used again, so news of a closed source finds nobody.
pub type Key = usize;

/// What a source is ready for.
#[derive(Clone, Copy, Debug)]
pub struct Ready {
    /// Which source.
    pub key: Key,
    /// There is something to read, an end or an error included.
    pub readable: bool,
    /// Writing is possible.
    pub writable: bool,
}

/// Watches sources.
pub struct Poller {
    poller: OsPoller,
    events: Events,
    next: Key,
}

impl Poller {
    /// Watches nothing yet.
    pub fn new() -> io::Result<Poller> {
        Ok(Poller { poller: OsPoller::new()?, events: Events::new(), next: 0 })
    }

    /// Starts to watch a source for reading, and for writing if asked.
    #[allow(unsafe_code)]
    pub fn add(&mut self, source: &(impl AsRawFd + AsFd), writing: bool) -> io::Result<Key> {
        self.next += 1;
        let interest = Event::new(self.next, true, writing);
        // SAFETY: the source must not be closed while the poller holds it. Every owner hands its source
        // to `remove` before it drops it; and where one did not, the system drops a closed descriptor
        // from the epoll set by itself, as no source is ever duplicated.
        unsafe { self.poller.add_with_mode(source.as_raw_fd(), interest, PollMode::Level)? };
        Ok(self.next)
    }

    /// Changes what a source is watched for.
    pub fn set_interest(&self, key: Key, source: &impl AsFd, reading: bool, writing: bool) {
        let interest = Event::new(key, reading, writing);
        if let Err(error) = self.poller.modify_with_mode(source, interest, PollMode::Level) {
            log::error!(error:%; "poller-failed");
        }
    }

    /// Stops watching a source, before it is dropped.
    pub fn remove(&self, source: &impl AsFd) {
        if let Err(error) = self.poller.delete(source) {
            log::error!(error:%; "poller-failed");
        }
    }

    /// Waits for news for so many seconds at most.
    pub fn wait(&mut self, seconds: f64) -> io::Result<Vec<Ready>> {
        self.events.clear();
        self.poller.wait(&mut self.events, Some(Duration::from_secs_f64(seconds.max(0.0))))?;
        let ready = |e: Event| Ready { key: e.key, readable: e.readable, writable: e.writable };
        Ok(self.events.iter().map(ready).collect())
    }
}
