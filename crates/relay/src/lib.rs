//! A tier of relays between the gatekeepers of a large fleet.
//!
//! In a small fleet every member has a link to every other member and receives everything that it reports. That
//! traffic grows with the square of the fleet. In a large fleet a few *relays* are fully meshed, as the members of a
//! small fleet are, and gatekeepers are *leaves*: each is attached to one relay and keeps a standby link to a second.
//!
//! - A leaf writes one stream of records (what its own list says of servers, and which of them are silent) and sends
//!   it to its relay as differences. A relay merges the records of its leaves per *topic* (a service) and writes the
//!   result, with the set of its leaves, into its own stream, which the other relays replicate as in `replica`. From
//!   the streams of all relays it builds two *feeds* per topic: servers and leaves. A leaf holds a copy of the feeds
//!   of its own topic and nothing else, so what it receives does not grow with the fleet.
//! - The *settings* of the fleet are a set of entries under one version. One relay, the writer, changes it; a change
//!   is accepted once a majority of relays has stored it, and goes to leaves as differences from the version that
//!   they hold.
//! - The traffic on one link is limited to a rate of bytes, by priority: servers first, then settings, then leaves.
//!   Nothing is queued for a link: a message is built from the newest state when the link can take one.
//! - A leaf that is connected to no relay keeps all that it has, with its age, and goes on serving by it. The silence
//!   of its relay never means that a peer is gone.
//!
//! The crate does no I/O, reads no clock and starts no threads: times are seconds of the caller's clock, passed in,
//! and the caller opens, reads and writes the links that a [`Node`] asks for.
//!
//! - [`message`]: the messages and their frames.
//! - [`placement`]: the order in which a leaf prefers relays, and how many leaves a relay accepts.
//! - [`leaf_limit`]: how that limit changes over time.
//! - [`budget`]: the limit of bytes per second on a link.
//! - [`stream_copy`]: a stream replicated over one link as differences, both ends.
//! - [`settings`]: the set of settings, its revisions and differences.
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

/// Identifies a link of a node. A number is never used twice in one incarnation of the node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LinkId(pub u64);

/// Why a link is closed after a message on it. The link is opened again automatically.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LinkError {
    /// The peer offers no version of the protocol that this program supports.
    #[error(
        "versions {oldest} to {newest} of the relay protocol offered, version {} expected: upgrade relays and leaves to program versions whose \
         protocol versions overlap, relays first",
        message::PROTOCOL_VERSION
    )]
    Protocol {
        /// The oldest version that the peer supports.
        oldest: u16,
        /// The newest version that the peer supports.
        newest: u16,
    },
    /// The message was meant for another relay, or came from a relay that was not expected on this link.
    #[error(
        "the message was meant for another node: the addresses of two relays are swapped in a `fleet` block; compare the configuration files"
    )]
    NotForUs,
    /// The message came too early, a second time, or from the wrong side.
    #[error(
        "unexpected message: the peer is not part of the fleet, or there is a fault; if the address is that of a relay or a \
         gatekeeper, report this line to the maintainers"
    )]
    OutOfPlace,
    /// The sender is an earlier incarnation of a gatekeeper whose later one is known.
    #[error("an earlier incarnation of a gatekeeper whose later incarnation is attached: stop the old process, or rename one of them")]
    StaleIncarnation,
    /// The relay accepts no further link.
    #[error("the relay has reached its limit of links: raise `leaves`, or add a relay")]
    Full,
    /// Records or entries that contradict their own description.
    #[error("{0}: the message was discarded and is requested again; check that both ends run the same version of the program")]
    Malformed(&'static str),
    /// A message of the mesh of relays was refused.
    #[error(transparent)]
    Mesh(#[from] hollypaddle_replica::member::Rejection),
    /// Both relays opened a link at the same time, and the other one is kept.
    #[error("a second link between the same two relays: the other link is used; no action is needed")]
    SecondLink,
}

impl LinkError {
    /// Short name for the log and for the page for on-call staff.
    pub fn name(&self) -> &'static str {
        match self {
            LinkError::Protocol { .. } => "relay-protocol",
            LinkError::NotForUs => "relay-not-for-us",
            LinkError::OutOfPlace => "relay-out-of-place",
            LinkError::StaleIncarnation => "relay-stale-life",
            LinkError::Full => "relay-full",
            LinkError::Malformed(_) => "relay-malformed",
            LinkError::Mesh(rejection) => rejection.name(),
            LinkError::SecondLink => "second-link",
        }
    }
}

/// A relay or a leaf, as seen by the code that owns its sockets.
pub trait Node {
    /// Links that are to be opened now, and to which node.
    fn links_to_open(&mut self, now: f64) -> Vec<(LinkId, MemberId)>;

    /// Registers an incoming link whose peer has not identified itself yet.
    fn accept_link(&mut self, now: f64) -> LinkId;

    /// Reports that a link that was to be opened is up.
    fn link_up(&mut self, now: f64, link: LinkId);

    /// Reports that a link is down or could not be opened; `refused` says whether its address refused it. Not called
    /// for the links that [`Node::links_to_close`] returns.
    fn link_down(&mut self, now: f64, link: LinkId, refused: bool);

    /// Handles a message. After an error the caller closes the link and calls [`Node::link_down`].
    fn receive(&mut self, now: f64, link: LinkId, message: &Message) -> Result<(), LinkError>;

    /// Links on which something may be sent now. Called in every iteration of the event loop; the caller then calls
    /// [`Node::next_message`] for each until it returns none, or the link can take no more.
    fn links_to_serve(&mut self, now: f64) -> Vec<LinkId>;

    /// The next message for a link that can take one.
    fn next_message(&mut self, now: f64, link: LinkId) -> Option<Message>;

    /// Reports that a link that could take no more is writable again.
    fn link_writable(&mut self, now: f64, link: LinkId);

    /// Links that are to be closed once what was sent on them is written.
    fn links_to_close(&mut self) -> Vec<LinkId>;

    /// Handles whatever is due by now. Called before incoming messages are handled, and at the time that
    /// [`Node::next_tick_at`] returns.
    fn tick(&mut self, now: f64);

    /// The latest time of the next call to [`Node::tick`].
    fn next_tick_at(&self) -> f64;
}

/// Intervals, timeouts and limits of relays and leaves.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Timing {
    /// Interval between pings of a leaf to its relay.
    pub ping_interval_s: f64,
    /// The same while an answer is overdue, so that the loss of the relay is detected quickly.
    pub suspect_ping_interval_s: f64,
    /// An answer counts as overdue after this time.
    pub answer_overdue_s: f64,
    /// Interval between pings to the second choice.
    pub second_ping_interval_s: f64,
    /// A relay that answers nothing for this time is left.
    pub silent_after_s: f64,
    /// Upper bound of the random delay before a leaf attaches elsewhere, so that the leaves of a lost relay do not
    /// all reconnect at the same moment.
    pub max_reattach_delay_s: f64,
    /// A link that does not come up, or on which the peer does not identify itself, is closed after this time.
    pub handshake_timeout_s: f64,
    /// An attach request that is not answered within this time is sent again.
    pub attach_timeout_s: f64,
    /// Delay before the first retry of a link; it doubles with each failure.
    pub min_dial_backoff_s: f64,
    /// Upper bound of that delay.
    pub max_dial_backoff_s: f64,
    /// A preferred relay must have been reachable for this time, and by a random factor up to twice as long, before a
    /// leaf returns to it. So a relay that comes back does not get all its leaves at once.
    pub return_delay_s: f64,
    /// Interval between digests to a leaf.
    pub digest_interval_s: f64,
    /// A leaf from which nothing is received for this time is gone.
    pub gone_after_silence_s: f64,
    /// A leaf whose link was closed and that is attached nowhere after this time is gone.
    pub gone_after_close_s: f64,
    /// A leaf that is gone is reported for this time, so that nodes that were away learn of it.
    pub forget_after_s: f64,
    /// Bytes per second that a relay sends to one leaf, packet headers included.
    pub leaf_bytes_per_s: f64,
    /// Bytes per second that a leaf sends to its relay, packet headers included.
    pub report_bytes_per_s: f64,
    /// Size of the burst that may be sent after a pause, in seconds of the rate.
    pub burst_s: f64,
    /// The most leaves of a relay.
    pub max_leaves: usize,
    /// A relay accepts at most this many times its even share of the leaves.
    pub max_load_ratio: f64,
    /// How long a refused leaf has to wait before it asks the same relay again.
    pub refused_retry_s: f64,
    /// A change of the settings that no majority has stored after this time is reported as undecided.
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
            // Over any 10 s both rates with their bursts come to 7,070 bytes per second, of 8,000 that a gatekeeper
            // may spend. The rest is for pings to the second choice and for a new burst after a move.
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
