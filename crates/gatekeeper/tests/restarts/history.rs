//! What callers and servers saw of one run.

use std::collections::BTreeMap;
use std::fmt;

use hollypaddle_platform::message::{cause, code, kind, Message};

/// A set-up, as its caller saw it. Times are seconds of the run.
#[derive(Clone, Debug, Default)]
pub struct Call {
    /// When its last byte was written.
    pub written: Option<f64>,
    /// When its caller closed or cancelled.
    pub left: Option<f64>,
    /// Its caller does not read.
    pub deaf: bool,
    /// Its connection stays open after an answer.
    pub kept: bool,
    /// It was sent; else something was said of a call that nobody asked for.
    pub sent: bool,
    /// What its caller heard of it, in order.
    pub replies: Vec<Reply>,
    /// When its connection was last seen open, before it ended without one of them.
    pub ended: Option<f64>,
}

impl Call {
    /// The descriptions of the answers that its caller heard.
    pub fn answers(&self) -> impl Iterator<Item = &[u8]> {
        self.replies.iter().filter_map(|reply| match &reply.what {
            What::Answer(description) => Some(&description[..]),
            What::Release(_) => None,
        })
    }

    /// The releases that its caller heard: when, and with which cause.
    pub fn releases(&self) -> impl Iterator<Item = (f64, Option<u8>)> + '_ {
        self.replies.iter().filter_map(|reply| match reply.what {
            What::Release(why) => Some((reply.at, why)),
            What::Answer(_) => None,
        })
    }
}

/// Something that a caller heard of its call.
#[derive(Clone, PartialEq)]
pub struct Reply {
    /// When it was read.
    pub at: f64,
    /// What it was.
    pub what: What,
}

impl fmt::Debug for Reply {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.what {
            What::Answer(description) => write!(f, "{:.3} answer {}", self.at, description.escape_ascii()),
            What::Release(why) => write!(f, "{:.3} release {why:?}", self.at),
        }
    }
}

/// What a caller can hear.
#[derive(Clone, Debug, PartialEq)]
pub enum What {
    /// The call stands, with this description.
    Answer(Vec<u8>),
    /// A refusal, a failure, or the end of a call that stood: the cause.
    Release(Option<u8>),
}

impl What {
    /// What a caller hears by a message; none where it says nothing of a call.
    pub fn of(message: &Message) -> Option<What> {
        match message.kind {
            kind::ANSWER => Some(What::Answer(message.bytes(code::DESCRIPTION).unwrap_or_default().to_vec())),
            kind::RELEASE => Some(What::Release(message.cause())),
            _ => None,
        }
    }
}

/// The close of a connection whose caller left something unread or reset it, as its caller saw it.
#[derive(Clone, Debug, Default)]
pub struct Departure {
    /// When it was connected.
    pub connected: f64,
    /// When it was closed; never where its caller was there to the end of the run.
    pub closed: f64,
    /// What was unread then, in order, and of which calls.
    pub unread: Vec<(u64, What)>,
    /// The calls whose ends its caller read right before it reset the connection.
    pub aborted: Vec<u64>,
}

impl Departure {
    /// Whether the end, or another release, of a call was there unread.
    pub fn left_release(&self, id: u64) -> bool {
        self.unread.iter().any(|(of, what)| *of == id && matches!(what, What::Release(_)))
    }

    fn left_answer(&self, id: u64) -> bool {
        self.unread.iter().any(|(of, what)| *of == id && matches!(what, What::Answer(_)))
    }
}

/// A connection as its caller saw it at the term of a drain.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Held {
    /// Calls that wait for their answer.
    pub open: usize,
    /// Calls that stand, which came on it.
    pub standing: usize,
    /// How long before its last request was sent.
    pub asked_ago: Option<f64>,
}

/// A drain, as the operators and the callers saw it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Drain {
    /// When the gatekeeper said yes to it.
    pub on: f64,
    /// When it said yes to its end.
    pub off: Option<f64>,
    /// When it was first ready again after that.
    pub ready: Option<f64>,
    /// When it last said while drained that it is ready.
    pub said_yes: Option<f64>,
    /// When the connections were looked at that were open at its term, and these.
    pub term: Option<(f64, Vec<Held>)>,
}

/// An attempt, as its server saw it.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The call.
    pub id: u64,
    /// When it was looked for in vain for the last time, and when it had arrived whole.
    pub after: f64,
    /// The latter.
    pub begun: f64,
    /// When its end was written, it was given up or its connection ended.
    pub ended: Option<f64>,
    /// The description of the answer that was written whole.
    pub answer: Option<Vec<u8>>,
    /// When the end of the call, which stood, was written.
    pub call_ended: Option<f64>,
}

/// One run.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// By id.
    pub calls: BTreeMap<u64, Call>,
    /// In the order of their beginnings.
    pub attempts: Vec<Attempt>,
    /// When SIGTERM was sent.
    pub term: f64,
    /// The longest deadline.
    pub deadline: f64,
    /// For how long the process was paused, in all.
    pub paused: f64,
    /// When the process ended, and whether with exit code 0; none where it had to be killed.
    pub exit: Option<(f64, bool)>,
    /// When a second process was started at the same address.
    pub successor: Option<f64>,
    /// In the order of their closes.
    pub departures: Vec<Departure>,
    /// Until when a connection that its caller keeps was open to the first process.
    pub kept_until: f64,
    /// In the order of their beginnings.
    pub drains: Vec<Drain>,
}

impl History {
    /// A caller has read something of a call.
    pub fn heard(&mut self, at: f64, id: u64, what: What) {
        self.calls.entry(id).or_default().replies.push(Reply { at, what });
    }

    /// Whether a release is the end of a call that stood, and no refusal and no failure, as far as callers saw.
    fn is_end(&self, id: u64, why: Option<u8>) -> bool {
        let answered = || self.calls.get(&id).is_some_and(|call| call.answers().count() > 0);
        let left = || self.departures.iter().any(|departure| departure.left_answer(id));
        why == Some(cause::NORMAL) || answered() || left()
    }

    /// The ends in what was unread.
    pub fn ends<'a>(&'a self, unread: &'a [(u64, What)]) -> impl Iterator<Item = u64> + 'a {
        unread.iter().filter_map(|(id, what)| match what {
            What::Release(why) if self.is_end(*id, *why) => Some(*id),
            _ => None,
        })
    }
}
