//! Releases for a session server, sent again if the server may not have read them.
//!
//! A successful write hands a release to the kernel, and the close of the connection does not show for certain whether the server
//! read it: a close that crosses the release looks like one after it. Releasing a call that the server doesn't have does no harm,
//! so every unconfirmed release is sent again on another connection. The only harm it could do is to cut a later attempt of its
//! call at the same server. Therefore no release is sent again while its call is open, and sending a set-up discards the releases
//! of its call.
//!
//! A server confirms a release with a message of its own ([`kind::RELEASE_COMPLETE`]), or by answering a set-up that was sent after
//! it on the same connection, as a stream is read in order.
//!
//! [`kind::RELEASE_COMPLETE`]: hollypaddle_platform::message::kind::RELEASE_COMPLETE

use std::collections::VecDeque;

use hollypaddle_core::calls::Calls;

use super::channel::{most_recent_channel, Channel};
use super::release::Release;
use super::{Context, Server};
use crate::node::poller::{Key, Poller};

/// Target of this module's log events. Operators' log filters name this path.
const LOG_TARGET: &str = "hollypaddle::node::servers::releases";
/// Maximum number of unsent releases kept for a server; further ones are dropped.
const MAX_UNSENT_RELEASES: usize = 4096;
/// Maximum number of releases kept for a server that it may not have read; the oldest are dropped first.
pub(super) const MAX_UNCONFIRMED_RELEASES: usize = 1024;
/// Maximum number of releases sent again to a server at once.
pub(super) const MAX_RELEASES_RESENT_AT_ONCE: usize = 32;

/// Releases that are to be sent on another connection to a server.
#[derive(Debug, Default)]
pub(super) struct ReleaseQueue {
    /// Releases that could not be written to any connection.
    unsent: Vec<Release>,
    /// Releases that were sent on closed connections and not confirmed, oldest first.
    unconfirmed: VecDeque<Release>,
}

impl ReleaseQueue {
    /// Queues the unconfirmed releases of a closed connection.
    pub fn keep_unconfirmed(&mut self, releases: impl IntoIterator<Item = Release>) {
        self.unconfirmed.extend(releases);
        let excess = self.unconfirmed.len().saturating_sub(MAX_UNCONFIRMED_RELEASES);
        self.unconfirmed.drain(..excess);
    }

    /// Removes the unsent releases of a call.
    pub fn forget_unsent(&mut self, id: u64) {
        self.unsent.retain(|release| release.id != id);
    }

    /// Removes and returns the unconfirmed releases that may be sent again now. The others of calls that are not open follow in
    /// later rounds.
    fn take_due(&mut self, now: f64, calls: &Calls) -> Vec<Release> {
        self.unconfirmed.retain(|release| now <= release.expires_at());
        let mut due = Vec::new();
        self.unconfirmed.retain(|release| {
            let is_due = due.len() < MAX_RELEASES_RESENT_AT_ONCE && !calls.is_open(release.id);
            if is_due {
                due.push(Release { resent_at: release.resent_at.or(Some(now)), ..*release });
            }
            !is_due
        });
        due
    }
}

impl Server {
    /// Sends the release of a call, or queues it and makes the next connection attempt due.
    pub(super) fn release(&mut self, now: f64, id: u64, poller: &Poller) {
        let release = Release::new(id);
        if !self.send_release(now, release, poller) {
            self.queue_unsent(release);
        }
    }

    /// Adds the releases that are queued for a server that is gone and had the address of this one.
    pub(super) fn take_releases_over(&mut self, queue: ReleaseQueue) {
        queue.unsent.into_iter().for_each(|release| self.queue_unsent(release));
        self.release_queue.keep_unconfirmed(queue.unconfirmed);
    }

    /// Sends the queued releases if a connection is established.
    pub(super) fn send_queued_releases(&mut self, ctx: &mut Context) {
        if most_recent_channel(&mut self.channels).is_none() {
            return;
        }
        for release in std::mem::take(&mut self.release_queue.unsent) {
            if !self.send_release(ctx.now, release, ctx.poller) {
                self.queue_unsent(release);
            }
        }
        for release in self.release_queue.take_due(ctx.now, ctx.calls) {
            let call = format_args!("{:016x}", release.id);
            log::debug!(target: LOG_TARGET, server = self.name.as_str(), call:%; "release-resent");
            // Queued as unconfirmed rather than unsent, so that it causes no additional connection attempt.
            if !self.send_release(ctx.now, release, ctx.poller) {
                self.release_queue.keep_unconfirmed([release]);
            }
        }
    }

    /// Removes all releases of a call, as a set-up of it was sent.
    pub(super) fn forget_releases(&mut self, id: u64) {
        self.release_queue.forget_unsent(id);
        self.release_queue.unconfirmed.retain(|release| release.id != id);
        self.channels.values_mut().for_each(|channel| channel.releases.forget(|release| release.id == id));
    }

    /// Removes the releases of a call that the server has confirmed, and those sent before them on the same connection.
    pub(super) fn confirm_release(&mut self, id: u64) {
        self.release_queue.unconfirmed.retain(|release| release.id != id);
        self.channels.values_mut().for_each(|channel| channel.releases.confirm(|release| release.id == id));
    }

    fn send_release(&mut self, now: f64, release: Release, poller: &Poller) -> bool {
        let sent = most_recent_channel(&mut self.channels)
            .and_then(|(key, channel)| channel.send_release(now, key, release, poller));
        sent.is_some()
    }

    fn queue_unsent(&mut self, release: Release) {
        self.idle_retry_at = f64::NEG_INFINITY;
        match self.release_queue.unsent.len() < MAX_UNSENT_RELEASES {
            true => self.release_queue.unsent.push(release),
            false => log::debug!(target: LOG_TARGET, server = self.name.as_str(); "release-dropped"),
        }
    }
}

impl Channel {
    /// Sends a release; returns the offset in the byte stream at which it ends, or none if it could not be written.
    pub(super) fn send_release(
        &mut self,
        now: f64,
        key: Key,
        release: Release,
        poller: &Poller,
    ) -> Option<u64> {
        let end_offset = self.send(key, &release.message(), poller)?;
        self.releases.record_sent(now, release, end_offset, self.connection.written(), release.expires_at());
        Some(end_offset)
    }
}
