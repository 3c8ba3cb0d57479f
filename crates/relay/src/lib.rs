//! A tier of relays between the gatekeepers of a large fleet.
//!
//! In a small fleet every member has a link to every other and is told all of them say. The bytes of that grow with the
//! square of the fleet, so at large size a few *relays* know each other in full, as the members of a small fleet do, and
//! gatekeepers are *leaves*: each is attached to one relay and keeps a warm link to a second.
//!
//! - A leaf writes one stream of records (what its own list says of servers, which of them are silent) and tells it to its
//!   relay as differences. A relay joins what its leaves of one *topic* (a service) say, and writes that, with which
//!   leaves it has, into its own stream, which the other relays copy by the ways of `replica`. From all relays' streams it
//!   writes, for each topic, two *feeds*: servers, and leaves. A leaf holds a copy of its own topic's feeds and of nothing
//!   else, so what it hears does not grow with the fleet.
//! - The *settings* of the fleet are a set of entries under one version. One relay, the writer, changes it; a change is
//!   accepted once a majority of relays has stored it, and goes to leaves as differences after the version that they hold.
//! - What is said on one link is held to a rate of bytes, by rank: servers first, then settings, then leaves. Nothing is
//!   queued for a link: a message is made of the newest state when there is room for it.
//! - A leaf that hears no relay keeps all that it has, with its age, and goes on serving by it. The silence of its relay is
//!   never the death of a peer.
//!
//! No I/O, no clock, no threads: times are seconds on the own clock, handed in, and the front makes, reads and writes
//! the links that a [`Node`] asks for.
//!
//! - [`message`]: what is said, and its frames.
//! - [`placement`]: which relay, in which order, and how many leaves one takes.
//! - [`budget`]: bytes a second.
//! - [`stream_copy`]: a stream told on one link as differences, both ends.
//! - [`settings`]: the set of settings, its versions and differences.
//! - [`leaf`], [`relay`]: the two roles.

pub mod budget;
pub mod leaf;
pub mod leaf_limit;
pub mod message;
pub mod placement;
pub mod relay;
pub mod settings;
pub mod stream_copy;

pub use leaf::Leaf;
pub use message::Message;
pub use relay::Relay;

use hollypaddle_membership::MemberId;

/// A link, as its node numbers it. A number is never used twice in one life of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LinkId(pub u64);

/// Why a link is closed for what came on it. It is made anew by itself.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LinkError {
    /// The other one speaks a version of the protocol that is not understood here.
    #[error(
        "versions {oldest} to {newest} of the relays' protocol, expected {}: bring relays and leaves to versions of the program \
         that overlap, relays first",
        message::PROTOCOL_VERSION
    )]
    Protocol {
        /// The oldest that it speaks.
        oldest: u16,
        /// The newest.
        newest: u16,
    },
    /// It was meant for another relay, or came from one that was not looked for there.
    #[error(
        "meant for another node: two relays' addresses are mixed up in a block `fleet`; compare the files"
    )]
    NotForUs,
    /// It comes too early, a second time, or from the wrong side.
    #[error(
        "a message that has no place there: a stranger, or a fault; if the address is a relay's or a gatekeeper's, file the \
         line with the maintainers"
    )]
    OutOfPlace,
    /// An earlier life of the speaker, while a later one is known.
    #[error("an earlier life of a gatekeeper whose later one is attached: end the old process, or give one of them another name")]
    StaleLife,
    /// The relay has no room for one more.
    #[error("no room for another link: raise `leaves`, or add a relay")]
    Full,
    /// Records or entries that contradict what they say of themselves.
    #[error("{0}: nothing of it was taken and it is asked for anew; see whether both run the same version of the program")]
    Malformed(&'static str),
    /// The other relay's word was refused.
    #[error(transparent)]
    Mesh(#[from] hollypaddle_replica::member::Rejection),
    /// Both relays made a link in one moment.
    #[error("a second link between the same two relays: the other one is used; nothing is to be done")]
    SecondLink,
}

impl LinkError {
    /// In a word, for the log and the page for on-call staff.
    pub fn name(&self) -> &'static str {
        match self {
            LinkError::Protocol { .. } => "relay-protocol",
            LinkError::NotForUs => "relay-not-for-us",
            LinkError::OutOfPlace => "relay-out-of-place",
            LinkError::StaleLife => "relay-stale-life",
            LinkError::Full => "relay-full",
            LinkError::Malformed(_) => "relay-malformed",
            LinkError::Mesh(rejection) => rejection.name(),
            LinkError::SecondLink => "second-link",
        }
    }
}

/// A relay or a leaf, as the front that has its sockets sees it.
pub trait Node {
    /// Links that are to be made now, and to whom.
    fn links_to_open(&mut self, now: f64) -> Vec<(LinkId, MemberId)>;

    /// A link was taken from somebody who has not said who it is.
    fn accept_link(&mut self, now: f64) -> LinkId;

    /// A link that was to be made is up.
    fn link_up(&mut self, now: f64, link: LinkId);

    /// A link is down, or could not be made; whether its address refused it. Not called for those that [`Node::links_to_close`]
    /// names.
    fn link_down(&mut self, now: f64, link: LinkId, refused: bool);

    /// Takes a message; after an error the front closes the link and calls [`Node::link_down`].
    fn receive(&mut self, now: f64, link: LinkId, message: &Message) -> Result<(), LinkError>;

    /// Links on which something may be said now. Called in every turn; each is asked by [`Node::next_message`] until it has nothing
    /// more, or the link has no room.
    fn links_to_serve(&mut self, now: f64) -> Vec<LinkId>;

    /// The next message for a link that has room.
    fn next_message(&mut self, now: f64, link: LinkId) -> Option<Message>;

    /// A link that had no room has some again.
    fn link_writable(&mut self, now: f64, link: LinkId);

    /// Links that are to be closed, once what was said on them is written.
    fn links_to_close(&mut self) -> Vec<LinkId>;

    /// What time brings. Called before anything that came is taken, and when [`Node::next_tick_at`] says.
    fn tick(&mut self, now: f64);

    /// When the next turn is wanted at the latest.
    fn next_tick_at(&self) -> f64;
}

/// Times and bounds, in seconds and bytes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Timing {
    /// Between two pings of a leaf to its relay.
    pub ping_interval_s: f64,
    /// The same while its answers are missing: that it is gone is to be certain soon.
    pub suspect_ping_interval_s: f64,
    /// Answers count as missing after this.
    pub answer_overdue_s: f64,
    /// Between two pings to the second choice.
    pub second_ping_interval_s: f64,
    /// A relay that answers nothing for so long is left.
    pub silent_after_s: f64,
    /// A leaf attaches elsewhere by chance so much later, so that not all of a relay's come in one moment.
    pub max_reattach_delay_s: f64,
    /// A link that does not come up, or on which nobody says who it is, for so long is closed.
    pub handshake_timeout_s: f64,
    /// An attachment that is not answered for so long is tried anew.
    pub attach_timeout_s: f64,
    /// Between two tries of a link, the first and the longest.
    pub min_dial_backoff_s: f64,
    /// The longest.
    pub max_dial_backoff_s: f64,
    /// A better placed relay must have been there for so long before a leaf goes back to it, and by chance up to twice as
    /// long: what comes back does not get all its leaves at once.
    pub return_delay_s: f64,
    /// Between two digests to a leaf.
    pub digest_interval_s: f64,
    /// A leaf of which nothing is heard for so long is gone.
    pub gone_after_silence_s: f64,
    /// A leaf whose link was closed and that is attached nowhere after so long is gone.
    pub gone_after_close_s: f64,
    /// A leaf that is gone is told of for so long, so that those who were away hear of it.
    pub forget_after_s: f64,
    /// Bytes a second that a relay says to a leaf, packet headers counted, and in one burst.
    pub leaf_bytes_per_s: f64,
    /// The same, of a leaf to its relay.
    pub report_bytes_per_s: f64,
    /// What may be said at once after a pause, in seconds of the rate.
    pub burst_s: f64,
    /// Most leaves of a relay.
    pub max_leaves: usize,
    /// A relay takes at most this many times what an even spread would give it.
    pub max_load_ratio: f64,
    /// What a leaf that is refused is told to wait before it asks the same relay again.
    pub refused_retry_s: f64,
    /// A change of the settings that no majority has stored after so long is told as undecided.
    pub undecided_after_s: f64,
}

impl Default for Timing {
    fn default() -> Self {
        Timing {
            ping_interval_s: 0.4,
            suspect_ping_interval_s: 0.08,
            answer_overdue_s: 0.55,
            second_ping_interval_s: 2.0,
            silent_after_s: 1.4,
            max_reattach_delay_s: 0.3,
            handshake_timeout_s: 1.0,
            attach_timeout_s: 0.5,
            min_dial_backoff_s: 0.1,
            max_dial_backoff_s: 2.0,
            return_delay_s: 30.0,
            digest_interval_s: 2.0,
            gone_after_silence_s: 5.0,
            gone_after_close_s: 3.0,
            forget_after_s: 120.0,
            // Over any 10 s both come to 7,070 bytes a second with their bursts, of 8,000 that a gatekeeper may spend: the
            // rest is for pings to a second choice and for a new burst after a move.
            leaf_bytes_per_s: 5120.0,
            report_bytes_per_s: 1300.0,
            burst_s: 1.0,
            max_leaves: 400,
            max_load_ratio: 1.25,
            refused_retry_s: 5.0,
            undecided_after_s: 3.0,
        }
    }
}
