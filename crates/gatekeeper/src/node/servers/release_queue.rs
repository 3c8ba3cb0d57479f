//! Releases to a session server, sent again where it may not have read them.
//!
//! A write that succeeds hands a release to the system, and no close of the connection tells for certain whether the server
//! read it: one that crosses the release looks like one after it. A release of a call that the server doesn't have does no
//! harm, so every one that was not confirmed is sent again on another connection. The one harm it could do is to cut a later
//! attempt of its call at the same server: none is sent again while its call is open, and a set-up that is sent voids those
//! of its call.
//!
//! A server confirms a release by saying that it heard it, or by answering a set-up that went out behind it on the same
//! connection, as a stream is read in order.

use std::collections::VecDeque;

use hollypaddle_core::calls::Calls;

use super::channel::{last_heard, Channel};
use super::release::Release;
use super::{Context, Server};
use crate::node::poller::{Key, Poller};

/// Releases kept for a server that could not be sent.
const MAX_UNSENT: usize = 4096;
/// Releases kept for a server that it may not have read; the oldest are forgotten first.
pub(super) const MAX_UNCONFIRMED: usize = 1024;
/// Releases sent again in one go at most.
pub(super) const MAX_RESENT_AT_ONCE: usize = 32;

/// The releases that are to be sent on another connection to a server.
#[derive(Debug, Default)]
pub(super) struct Releases {
    /// Those that could not be written.
    unsent: Vec<Release>,
    /// Those that were sent on connections that are over, the oldest first.
    unconfirmed: VecDeque<Release>,
}

impl Releases {
    /// Takes what was not confirmed on a connection that is over.
    pub fn keep_unconfirmed(&mut self, releases: impl IntoIterator<Item = Release>) {
        self.unconfirmed.extend(releases);
        let excess = self.unconfirmed.len().saturating_sub(MAX_UNCONFIRMED);
        self.unconfirmed.drain(..excess);
    }

    /// Forgets the unsent releases of a call.
    pub fn forget_unsent(&mut self, id: u64) {
        self.unsent.retain(|release| release.id != id);
    }

    /// Forgets unconfirmed releases that were ordered before then, as their calls are not there any more.
    pub fn forget_unconfirmed(&mut self, before: f64) {
        self.unconfirmed.retain(|release| release.ordered_at >= before);
    }

    /// Takes the unconfirmed releases that may be sent again now. The others of calls that are not open follow in later turns.
    fn take_due(&mut self, now: f64, calls: &Calls) -> Vec<Release> {
        self.unconfirmed.retain(|release| now <= release.expires_at());
        let mut due = Vec::new();
        self.unconfirmed.retain(|release| {
            let is_due = due.len() < MAX_RESENT_AT_ONCE && !calls.is_open(release.id);
            if is_due {
                due.push(Release { resent_at: release.resent_at.or(Some(now)), ..*release });
            }
            !is_due
        });
        due
    }
}

impl Server {
    /// Releases a call, or keeps its release for the next connection, which is due.
    pub(super) fn release(&mut self, now: f64, id: u64, poller: &Poller) {
        let release = Release::new(now, id);
        if !self.send_release(now, release, poller) {
            self.keep_unsent(release);
        }
    }

    /// Sends the releases that are kept, where a connection is up.
    pub(super) fn send_kept_releases(&mut self, ctx: &mut Context) {
        if last_heard(&mut self.channels).is_none() {
            return;
        }
        for release in std::mem::take(&mut self.releases.unsent) {
            if !self.send_release(ctx.now, release, ctx.poller) {
                self.keep_unsent(release);
            }
        }
        for release in self.releases.take_due(ctx.now, ctx.calls) {
            let call = format_args!("{:016x}", release.id);
            log::debug!(server = self.name.as_str(), call:%; "release-resent");
            // Kept as it is, it brings no connection that would not come without it.
            if !self.send_release(ctx.now, release, ctx.poller) {
                self.releases.keep_unconfirmed([release]);
            }
        }
    }

    /// Forgets what would release a call, as a set-up of it was sent.
    pub(super) fn forget_releases(&mut self, id: u64) {
        self.releases.forget_unsent(id);
        self.releases.unconfirmed.retain(|release| release.id != id);
        self.channels.values_mut().for_each(|channel| channel.releases.forget(|release| release.id == id));
    }

    /// The server says that it heard the release of a call.
    pub(super) fn confirm_release(&mut self, id: u64) {
        self.releases.unconfirmed.retain(|release| release.id != id);
        self.channels.values_mut().for_each(|channel| channel.releases.confirm(|release| release.id == id));
    }

    fn send_release(&mut self, now: f64, release: Release, poller: &Poller) -> bool {
        let sent = last_heard(&mut self.channels)
            .and_then(|(key, channel)| channel.send_release(now, key, release, poller));
        sent.is_some()
    }

    fn keep_unsent(&mut self, release: Release) {
        self.idle_retry_at = f64::NEG_INFINITY;
        match self.releases.unsent.len() < MAX_UNSENT {
            true => self.releases.unsent.push(release),
            false => log::debug!(server = self.name.as_str(); "release-dropped"),
        }
    }
}

impl Channel {
    /// Sends a release; returns where it ends in the stream, or none where it could not be written.
    pub(super) fn send_release(
        &mut self,
        now: f64,
        key: Key,
        release: Release,
        poller: &Poller,
    ) -> Option<u64> {
        let end = self.send(key, &release.message(), poller)?;
        self.releases.sent(now, release, end, self.connection.written(), release.expires_at());
        Some(end)
    }
}
