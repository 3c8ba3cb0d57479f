//! What was sent on a connection without evidence that its peer has read it.
//!
//! A write that succeeds tells that the system took the bytes, not that the peer's application read them. Where that closes its
//! connection with bytes unread, its system answers with a reset. A stream is read in order, so after a reset the last message
//! is unread, and so is whatever was never written. What was written before the last message may have been read.
//!
//! Where a peer takes an item twice for a fault, only what is certainly unread is sent again ([`Pending::close`]); where it does
//! no harm, all that was not confirmed ([`Pending::take_unconfirmed`]).

use std::collections::VecDeque;

/// Written items remembered for one connection at most; the oldest are forgotten first. Those that wait to be written are bound
/// by the connection's buffer.
const MAX_PENDING: usize = 256;

/// An item that was sent.
#[derive(Clone, Copy, Debug)]
struct Sent<T> {
    item: T,
    /// When it is too late to send it again.
    expires_at: f64,
    /// Where its message ends in the stream of bytes.
    position: u64,
}

/// How a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Closed {
    /// The peer closed it, and no reset was seen.
    InOrder,
    /// It was reset.
    Reset,
    /// It was dropped before that could be seen.
    Unknown,
}

/// What became of the items that were sent on a connection that is over.
#[derive(Clone, Debug, PartialEq)]
pub struct Outcome<T> {
    /// Those that were certainly not read, the oldest first.
    pub unread: Vec<T>,
    /// How many may have been read or not.
    pub unconfirmed: u64,
}

/// The items sent on one connection that were not confirmed, the oldest first.
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
    /// Takes note that an item was put in line, where it ends in the stream of which so many bytes are written, and until when
    /// it is worth sending again.
    pub fn sent(&mut self, now: f64, item: T, position: u64, written: u64, expires_at: f64) {
        self.forget_expired(now);
        if self.items.len() >= MAX_PENDING {
            self.items.pop_front_if(|oldest| oldest.position <= written);
        }
        self.items.push_back(Sent { item, expires_at, position });
    }

    /// The peer confirms that it has read an item, and so all that was sent before.
    pub fn confirm(&mut self, is_confirmed: impl Fn(&T) -> bool) {
        if let Some(index) = self.items.iter().position(|sent| is_confirmed(&sent.item)) {
            self.items.drain(..=index);
        }
    }

    /// The peer has read the stream up to this position, and so all that was sent before.
    pub fn confirm_through(&mut self, position: u64) {
        let first_unread = self.items.partition_point(|sent| sent.position <= position);
        self.items.drain(..first_unread);
    }

    /// Forgets items that must not be sent again, and no others.
    pub fn forget(&mut self, is_forgotten: impl Fn(&T) -> bool) {
        self.items.retain(|sent| !is_forgotten(&sent.item));
    }

    /// Whether a reset would still tell of an item that it was not read.
    pub fn awaits_evidence(&self, now: f64, written: u64) -> bool {
        let latest = self.items.back();
        latest.is_some_and(|sent| sent.position == written && now <= sent.expires_at)
    }

    /// Takes the items that were never written, with so many bytes written.
    pub fn take_unwritten(&mut self, written: u64) -> Vec<T> {
        let first = self.items.partition_point(|sent| sent.position <= written);
        self.items.drain(first..).map(|sent| sent.item).collect()
    }

    /// Takes all items that were not confirmed, the oldest first, for peers to which an item may be sent twice.
    pub fn take_unconfirmed(&mut self, now: f64) -> Vec<T> {
        let items = std::mem::take(&mut self.items);
        items.into_iter().filter(|sent| now <= sent.expires_at).map(|sent| sent.item).collect()
    }

    /// Takes what became of the items, as the connection is over with so many bytes written.
    pub fn close(&mut self, now: f64, closed: Closed, written: u64) -> Outcome<T> {
        self.forget_expired(now);
        let never_written = self.take_unwritten(written);
        let mut outcome = Outcome { unread: Vec::new(), unconfirmed: 0 };
        for sent in self.items.drain(..) {
            let written_last = sent.position == written;
            match closed {
                Closed::Reset if written_last => outcome.unread.push(sent.item),
                Closed::Reset | Closed::Unknown => outcome.unconfirmed += 1,
                Closed::InOrder => {}
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
