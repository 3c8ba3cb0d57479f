//! What the connection layer passes to [`Calls`](super::Calls), and what it is asked to do.

use std::fmt;
use std::rc::Rc;

use hollypaddle_policy::{CallId, Cause, Event, Outcome, PoolId, Report};

/// The origin of a call from before a restart or of another gatekeeper: a reply may go out on any connection.
pub const ANY_ORIGIN: Origin = 0;
/// The class of a call from before a restart or of another gatekeeper, which is not known.
pub const UNKNOWN_CLASS: usize = usize::MAX;

/// Identifies the connection on which a call came. Only the connection layer interprets it.
pub type Origin = usize;

/// Identifies a connection to a server. Only the connection layer interprets it, and no number is used twice.
pub type ServerConnection = usize;

/// The parts of a set-up that are passed to the server unchanged.
#[derive(Debug, Default, PartialEq)]
pub struct Content {
    /// The number dialled, as it was received.
    pub number: Vec<u8>,
    /// The session description, if there is one.
    pub description: Option<Vec<u8>>,
}

/// A call as its caller offers it.
#[derive(Debug)]
pub struct Request {
    /// The caller's id of the call.
    pub id: u64,
    /// Class of the call, as an index into the settings.
    pub class: usize,
    /// How long the caller waits for a final answer, in seconds.
    pub wait: f64,
    /// The number dialled, in the form that the decision module uses.
    pub dialled: u64,
    /// Number of the pool of first choice.
    pub first_choice: u32,
    /// The parts that are passed to the server unchanged.
    pub content: Content,
}

/// Why an offered call was not accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OfferError {
    /// A call with this id came earlier: on another connection, or it has already ended.
    KnownId,
    /// A call with this id came on the same connection and has not ended. The caller would mistake every reply to the
    /// second call for one to the first.
    DuplicateId,
    /// The calls that wait for their final answer take up all the memory allowed for them.
    TooManyHeld,
}

impl fmt::Display for OfferError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            OfferError::KnownId => write!(f, "a call with this id was offered before"),
            OfferError::DuplicateId => write!(f, "a call with this id is still open on this connection"),
            OfferError::TooManyHeld => write!(f, "the memory for calls without a final answer is used up"),
        }
    }
}

impl std::error::Error for OfferError {}

/// A reply to a caller.
#[derive(Clone, Debug, PartialEq)]
#[expect(missing_docs, reason = "the comments on the variants describe their fields")]
pub enum Reply {
    /// The call is established, with the server's session description if it gave one.
    Established(Option<Vec<u8>>),
    /// The call is refused. The caller may safely try again after this many seconds.
    Refused(f64),
    /// The call failed.
    Failed,
    /// A standing call has ended normally, or was cut.
    Ended { cut: bool },
}

/// A command to a server, concerning one call.
#[derive(Clone, Debug, PartialEq)]
#[expect(missing_docs, reason = "the comments on the variants describe their fields")]
pub enum Command {
    /// Set up the call. An answer is of use until the time `until`, in seconds.
    SetUp { class: usize, until: f64, content: Rc<Content> },
    /// The set-up is given up.
    GiveUp,
    /// The standing call is released.
    Release,
}

/// Work for the connection layer.
#[derive(Clone, Debug, PartialEq)]
#[expect(missing_docs, reason = "the comments on the variants describe their fields")]
pub enum Effect {
    /// Send a reply to a caller. `class` is the call's class, for the metrics, or [`UNKNOWN_CLASS`] for a call from
    /// before a restart or of another gatekeeper.
    Reply { origin: Origin, id: u64, class: usize, reply: Reply },
    /// Send a command to a server.
    Command { pool: PoolId, id: u64, command: Command },
    /// Release a call at every server, because the server at which it stands is not known.
    ReleaseEverywhere { id: u64 },
    /// A server ended a call that is not known here. Only reported while changes are recorded. `may_predate_start` is set
    /// if the call may have stood through this gatekeeper before a restart.
    UnknownCallEnded { pool: PoolId, id: u64, cut: bool, may_predate_start: bool },
    /// A caller released a call that is not known here. Only reported while changes are recorded. `release_everywhere` is
    /// set if it may be released at every server.
    UnknownCallReleased { id: u64, release_everywhere: bool },
    /// Call [`Calls::deadline_passed`] at the time `at`.
    DeadlineTimer { call: CallId, at: f64 },
    /// Call [`Calls::attempt_timed_out`] at the time `at`.
    AttemptTimer { call: CallId, attempt: u8, at: f64 },
}

/// How a server ended an attempt or a call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct End {
    /// How it ended.
    pub outcome: Outcome,
    /// Why the server rejected the set-up.
    pub cause: Cause,
    /// How long an overloaded server asks not to be sent set-ups, in seconds.
    pub wait: Option<f64>,
    /// The server's load report.
    pub report: Report,
}

impl End {
    /// An end of which only the outcome is known.
    pub fn with_outcome(outcome: Outcome) -> Self {
        End { outcome, cause: Cause::Unknown, wait: None, report: Report::default() }
    }

    pub(super) fn event(self, call: CallId, pool: PoolId, attempt: u8, complete: bool) -> Event {
        let End { outcome, cause, wait, report } = self;
        Event::Ended { call, pool, attempt, complete, outcome, cause, retry_after: wait, report }
    }
}

/// Numbers of calls whose server was replaced by another process, since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReplacedCalls {
    /// Calls that turned out to be at the new process.
    pub moved: u64,
    /// Calls that were cut, as nothing showed that they are at the new process.
    pub cut: u64,
}

/// A change of a standing call that is reported to other gatekeepers.
#[derive(Clone, Copy, Debug, PartialEq)]
#[expect(missing_docs, reason = "the comments on the variants describe their fields")]
pub enum CallChange {
    /// The call has been standing since the time `since`.
    Established { id: u64, class: usize, pool: PoolId, since: f64 },
    /// The call has ended.
    Ended { id: u64 },
}
