//! Tracks items sent on a connection until there is evidence that the peer has read them.
//!
//! A successful write means that the kernel accepted the bytes, not that the peer's application read them. If the application
//! closes its connection with bytes unread, its kernel answers with a reset. A stream is read in order, so after a reset the
//! last message is unread, and so is everything that was never written. What was written before the last message may have been
//! read.
//!
//! If the peer treats a duplicate item as an error, only items that are certainly unread are sent again ([`Pending::close`]). If
//! duplicates are harmless, all unconfirmed items are sent again ([`Pending::take_unconfirmed`]).

use std::collections::VecDeque;

/// Maximum number of written items tracked per connection; the oldest are dropped first. Items that are not yet written are
/// limited by the connection's output buffer.
pub(super) const MAX_PENDING: usize = 256;

/// An item that was sent.
#[derive(Clone, Copy, Debug)]
struct Sent<T> {
    item: T,
    /// Time after which the item is no longer sent again, in Unix seconds.
    expires_at: f64,
    /// Offset in the byte stream at which the item's message ends.
    end_offset: u64,
}

/// How a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseKind {
    /// The peer closed the connection, and no reset was seen.
    Graceful,
    /// The connection was reset.
    Reset,
    /// The connection was dropped here before it was known how the peer closed it.
    Unknown,
}

/// What happened to the items that were sent on a closed connection.
#[derive(Clone, Debug, PartialEq)]
pub struct DeliveryOutcome<T> {
    /// Items that the peer certainly did not read, oldest first.
    pub unread: Vec<T>,
    /// Number of items of which it is not known whether the peer read them.
    pub unconfirmed: u64,
}

/// The unconfirmed items sent on one connection, oldest first.
#[derive(Debug)]
pub struct Pending<T> {
    items: VecDeque<Sent<T>>,
}

impl<T> Default for Pending<T> {
    fn default() -> Self {
        Pending { items: VecDeque::new() }
    }
}

impl<T> Pending<T> {
    /// Records an item that was queued for sending. `end_offset` is where its message ends in the byte stream, `written` the
    /// number of bytes of the stream written so far, and `expires_at` the time after which the item is not sent again.
    pub fn record_sent(&mut self, now: f64, item: T, end_offset: u64, written: u64, expires_at: f64) {
        self.forget_expired(now);
        if self.items.len() >= MAX_PENDING {
            self.items.pop_front_if(|oldest| oldest.end_offset <= written);
        }
        self.items.push_back(Sent { item, expires_at, end_offset });
    }

    /// Removes an item that the peer has confirmed, and all items sent before it.
    pub fn confirm(&mut self, is_confirmed: impl Fn(&T) -> bool) {
        if let Some(index) = self.items.iter().position(|sent| is_confirmed(&sent.item)) {
            self.items.drain(..=index);
        }
    }

    /// Removes all items up to this offset of the byte stream, as the peer has read that far.
    pub fn confirm_through(&mut self, offset: u64) {
        let first_unread = self.items.partition_point(|sent| sent.end_offset <= offset);
        self.items.drain(..first_unread);
    }

    /// Removes the items that must not be sent again, without confirming items sent before them.
    pub fn forget(&mut self, is_forgotten: impl Fn(&T) -> bool) {
        self.items.retain(|sent| !is_forgotten(&sent.item));
    }

    /// Whether a reset of the connection would prove that an item, which may still be sent again, was not read.
    pub fn reset_would_prove_unread(&self, now: f64, written: u64) -> bool {
        let latest = self.items.back();
        latest.is_some_and(|sent| sent.end_offset == written && now <= sent.expires_at)
    }

    /// Removes and returns the items that were never fully written, given the number of bytes written.
    pub fn take_unwritten(&mut self, written: u64) -> Vec<T> {
        let first = self.items.partition_point(|sent| sent.end_offset <= written);
        self.items.drain(first..).map(|sent| sent.item).collect()
    }

    /// Removes and returns all unconfirmed items that have not expired, oldest first. For peers that accept duplicates.
    pub fn take_unconfirmed(&mut self, now: f64) -> Vec<T> {
        let items = std::mem::take(&mut self.items);
        items.into_iter().filter(|sent| now <= sent.expires_at).map(|sent| sent.item).collect()
    }

    /// Clears the items of a closed connection and returns what happened to them, given the number of bytes written.
    pub fn close(&mut self, now: f64, closed: CloseKind, written: u64) -> DeliveryOutcome<T> {
        self.forget_expired(now);
        let never_written = self.take_unwritten(written);
        let mut outcome = DeliveryOutcome { unread: Vec::new(), unconfirmed: 0 };
        for sent in self.items.drain(..) {
            let written_last = sent.end_offset == written;
            match closed {
                CloseKind::Reset if written_last => outcome.unread.push(sent.item),
                CloseKind::Reset | CloseKind::Unknown => outcome.unconfirmed += 1,
                CloseKind::Graceful => {}
            }
        }
        outcome.unread.extend(never_written);
        outcome
    }

    fn forget_expired(&mut self, now: f64) {
        while self.items.pop_front_if(|sent| now > sent.expires_at).is_some() {}
    }
}

#[cfg(test)]
mod tests;
