//! The records of one run, as its callers and servers saw it.

use std::collections::BTreeMap;
use std::fmt;

use hollypaddle_platform::message::{cause, code, kind, Message};

/// A set-up, as its caller saw it. Times are in seconds since the start of the run.
#[derive(Clone, Debug, Default)]
pub struct Call {
    /// When its last byte was written.
    pub written_at: Option<f64>,
    /// When its caller closed the connection or cancelled the set-up.
    pub left_at: Option<f64>,
    /// Whether its caller does not read.
    pub never_reads: bool,
    /// Whether its connection is kept open after an answer.
    pub on_kept_connection: bool,
    /// Whether it was sent; if not, a message was received for a call that no caller set up.
    pub sent: bool,
    /// The messages that its caller received for it, in order.
    pub replies: Vec<Reply>,
    /// When its connection was last seen open, if it ended before any message for this call.
    pub connection_ended_at: Option<f64>,
}

impl Call {
    /// The descriptions of the answers that its caller received.
    pub fn answers(&self) -> impl Iterator<Item = &[u8]> {
        self.replies.iter().filter_map(|reply| match &reply.content {
            ReplyContent::Answer(description) => Some(&description[..]),
            ReplyContent::Release(_) => None,
        })
    }

    /// The time and cause of each release that its caller received.
    pub fn releases(&self) -> impl Iterator<Item = (f64, Option<u8>)> + '_ {
        self.replies.iter().filter_map(|reply| match reply.content {
            ReplyContent::Release(release_cause) => Some((reply.at, release_cause)),
            ReplyContent::Answer(_) => None,
        })
    }
}

/// A message that a caller received for its call.
#[derive(Clone, PartialEq)]
pub struct Reply {
    /// When it was read.
    pub at: f64,
    /// Its content.
    pub content: ReplyContent,
}

impl fmt::Debug for Reply {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.content {
            ReplyContent::Answer(description) => {
                write!(f, "{:.3} answer {}", self.at, description.escape_ascii())
            }
            ReplyContent::Release(release_cause) => write!(f, "{:.3} release {release_cause:?}", self.at),
        }
    }
}

/// The content of a message to a caller.
#[derive(Clone, Debug, PartialEq)]
pub enum ReplyContent {
    /// The call is established, with this description.
    Answer(Vec<u8>),
    /// The cause of a refusal, of a failure, or of the end of a standing call.
    Release(Option<u8>),
}

impl ReplyContent {
    /// The content of a message; `None` if the message concerns no call.
    pub fn of(message: &Message) -> Option<ReplyContent> {
        match message.kind {
            kind::ANSWER => {
                Some(ReplyContent::Answer(message.bytes(code::DESCRIPTION).unwrap_or_default().to_vec()))
            }
            kind::RELEASE => Some(ReplyContent::Release(message.cause())),
            _ => None,
        }
    }
}

/// A connection that its caller closed with unread messages, or reset, as the caller saw it.
#[derive(Clone, Debug, Default)]
pub struct ClosedConnection {
    /// When it was connected.
    pub connected_at: f64,
    /// When it was closed; infinity if its caller stayed to the end of the run.
    pub closed_at: f64,
    /// The unread messages at that time, in order, with the ids of their calls.
    pub unread: Vec<(u64, ReplyContent)>,
    /// The calls whose ends its caller read directly before it reset the connection.
    pub ends_read_before_reset: Vec<u64>,
}

impl ClosedConnection {
    /// Whether the end or another release of a call was among the unread messages.
    pub fn has_unread_release(&self, id: u64) -> bool {
        self.unread.iter().any(|(of, content)| *of == id && matches!(content, ReplyContent::Release(_)))
    }

    fn has_unread_answer(&self, id: u64) -> bool {
        self.unread.iter().any(|(of, content)| *of == id && matches!(content, ReplyContent::Answer(_)))
    }
}

/// A connection that was still open at the term of a drain, as its caller saw it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HeldConnection {
    /// Number of set-ups that wait for an answer.
    pub unanswered: usize,
    /// Number of standing calls that were set up on it.
    pub standing: usize,
    /// Seconds since the last set-up on it.
    pub since_last_set_up_s: Option<f64>,
}

/// A drain, as the operators and the callers saw it. Times are in seconds since the start of the run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Drain {
    /// When the gatekeeper confirmed its start.
    pub started_at: f64,
    /// When the gatekeeper confirmed its end.
    pub ended_at: Option<f64>,
    /// When the gatekeeper first reported to be ready again after that.
    pub ready_at: Option<f64>,
    /// When the gatekeeper last reported during the drain that it is ready.
    pub reported_ready_at: Option<f64>,
    /// When the connections that were open at its term were recorded, and these connections.
    pub held_at_term: Option<(f64, Vec<HeldConnection>)>,
}

/// An attempt, as its server saw it.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Id of the call.
    pub id: u64,
    /// The last poll before its set-up had arrived completely.
    pub previous_poll_at: f64,
    /// The poll at which its set-up had arrived completely.
    pub started_at: f64,
    /// When its answer or refusal was written, it was given up, or its connection ended.
    pub ended_at: Option<f64>,
    /// The description of the answer that was written completely.
    pub answer: Option<Vec<u8>>,
    /// When the end of the established call was written.
    pub call_ended_at: Option<f64>,
}

/// The records of one run.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// The set-ups by call id.
    pub calls: BTreeMap<u64, Call>,
    /// The attempts in the order of their starts.
    pub attempts: Vec<Attempt>,
    /// When SIGTERM was sent.
    pub term_sent_at: f64,
    /// The longest deadline, in seconds.
    pub deadline: f64,
    /// Total seconds for which the process was paused.
    pub paused_s: f64,
    /// When the process ended, and whether with exit code 0; `None` if it had to be killed.
    pub exit: Option<(f64, bool)>,
    /// When a second process was started at the same address.
    pub successor_started_at: Option<f64>,
    /// In the order in which they were closed.
    pub closed_connections: Vec<ClosedConnection>,
    /// When a kept connection to the first process was last seen open.
    pub kept_open_until: f64,
    /// The drains in the order of their starts.
    pub drains: Vec<Drain>,
}

impl History {
    /// Records a message that a caller received for a call.
    pub fn record_reply(&mut self, at: f64, id: u64, content: ReplyContent) {
        self.calls.entry(id).or_default().replies.push(Reply { at, content });
    }

    /// Whether a release is the end of an established call rather than a refusal or a failure, as far as callers saw.
    fn is_end(&self, id: u64, release_cause: Option<u8>) -> bool {
        let answered = || self.calls.get(&id).is_some_and(|call| call.answers().count() > 0);
        let left_unread =
            || self.closed_connections.iter().any(|connection| connection.has_unread_answer(id));
        release_cause == Some(cause::NORMAL) || answered() || left_unread()
    }

    /// The calls whose ends are among the unread messages.
    pub fn unread_ends<'a>(&'a self, unread: &'a [(u64, ReplyContent)]) -> impl Iterator<Item = u64> + 'a {
        unread.iter().filter_map(|(id, content)| match content {
            ReplyContent::Release(release_cause) if self.is_end(*id, *release_cause) => Some(*id),
            _ => None,
        })
    }
}
