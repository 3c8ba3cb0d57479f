//! Whether a message that is complete by its own length was sent whole.
//!
//! A peer that stops a message short and goes on with the next one leaves a stream in which the first bytes of the next
//! one stand for the rest of this one. By its length such a message is complete, and any bytes make a description. What
//! gives it away is the head of the next message within it, or bytes behind it that begin no message.

use std::fmt;

use crate::message::{code, kind, Message, HEAD, LENGTH, MAX_MESSAGE_BYTES, PARAMETER_HEAD};

/// Longest message of a type that carries no more than a cause.
const MAX_SHORT_MESSAGE_BYTES: usize = 64;

/// Where the value of the first parameter begins.
const FIRST_VALUE: usize = LENGTH + HEAD + PARAMETER_HEAD;

/// A message that is complete by its own length, with the bytes that came behind it.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// The message's bytes and all that came behind it so far.
    pub data: &'a [u8],
    /// The message's length, with its length field.
    pub length: usize,
    /// Whether its first bytes came in an earlier read than its last.
    pub split_across_reads: bool,
}

/// A message that was cut short.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TruncatedMessage {
    /// Its type, see [`kind`].
    pub kind: u8,
    /// Its call's 64-bit id.
    pub call: u64,
    /// Its length in bytes, as it says, with its length field.
    pub length: usize,
    /// Bytes that came behind it.
    pub trailing_bytes: usize,
    /// Whether its first bytes came in an earlier read than its last.
    pub split_across_reads: bool,
}

impl fmt::Display for TruncatedMessage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let TruncatedMessage { kind, call, length, trailing_bytes, split_across_reads } = self;
        let reads = if *split_across_reads { "several reads" } else { "one read" };
        write!(f, "a message of type {kind} and {length} bytes for call {call:016x} was cut short: {trailing_bytes} bytes behind it, {reads}")
    }
}

/// What the bytes tell of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It was sent whole, as far as can be told.
    Complete,
    /// It was cut short, and its last bytes are another message's.
    Truncated,
    /// Its last bytes may be the beginning of another message, of which more has to come to tell.
    Undecided,
}

/// Whether bytes are the beginning of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Start {
    No,
    /// As far as they are there.
    Possible,
    /// Of a call that is known, or whole and sound.
    Certain,
}

impl Candidate<'_> {
    /// What is told of the message where it was cut short.
    pub fn truncated_message(&self) -> TruncatedMessage {
        let mut head = [0; HEAD];
        let body = self.data.get(LENGTH..).unwrap_or_default();
        for (to, from) in head.iter_mut().zip(body) {
            *to = *from;
        }
        let [kind, call @ ..] = head;
        let trailing_bytes = self.data.len().saturating_sub(self.length);
        TruncatedMessage {
            kind,
            call: u64::from_be_bytes(call),
            length: self.length,
            trailing_bytes,
            split_across_reads: self.split_across_reads,
        }
    }

    /// Judges a message by the heads of messages within it. `known` tells whether an id is one of a call that the peer
    /// may speak of.
    pub fn verdict(&self, known: impl Fn(u64) -> bool) -> Verdict {
        let mut verdict = Verdict::Complete;
        // Of a message that came at once, with nothing behind it, the last few bytes alone tell nothing.
        let more_may_come = self.split_across_reads || self.data.len() > self.length;
        for start in LENGTH..self.length {
            let rest = &self.data[start..];
            match start_of_message(rest, &known) {
                Start::Certain => return Verdict::Truncated,
                // The head of the first parameter is like that of a message where a description has the right length.
                Start::Possible if start < FIRST_VALUE => {}
                Start::Possible if more_may_come || rest.len() >= LENGTH + HEAD => {
                    verdict = Verdict::Undecided;
                }
                Start::Possible | Start::No => {}
            }
        }
        verdict
    }

    /// Whether what came behind the message can be the beginning of another one.
    pub fn is_followed_by_message(&self) -> bool {
        let behind = &self.data[self.length..];
        behind.is_empty() || start_of_message(behind, &|_| true) != Start::No
    }
}

/// Judges bytes that may be the beginning of a message.
fn start_of_message(data: &[u8], known: &impl Fn(u64) -> bool) -> Start {
    let [high, after_high @ ..] = data else { return Start::Possible };
    let [low, body @ ..] = after_high else {
        return possible_if(usize::from(*high) << 8 < MAX_MESSAGE_BYTES);
    };
    let length = LENGTH + usize::from(u16::from_be_bytes([*high, *low]));
    let [kind, after_kind @ ..] = body else {
        return possible_if((LENGTH + HEAD..=MAX_MESSAGE_BYTES).contains(&length));
    };
    if !(LENGTH + HEAD..=longest(*kind)).contains(&length) {
        return Start::No;
    }
    match after_kind.first_chunk() {
        None => Start::Possible,
        Some(id) if known(u64::from_be_bytes(*id)) => Start::Certain,
        Some(_) => start_by_parameters(data),
    }
}

/// Judges bytes with a sound head of a call that is not known.
fn start_by_parameters(data: &[u8]) -> Start {
    match Message::decode(data) {
        Ok(Some((message, _))) if is_complete(&message) => Start::Certain,
        Ok(Some(_)) | Err(_) => Start::No,
        Ok(None) => possible_if(data.get(LENGTH + HEAD).is_none_or(|first| code::ALL.contains(first))),
    }
}

fn possible_if(possible: bool) -> Start {
    match possible {
        true => Start::Possible,
        false => Start::No,
    }
}

/// Longest message of a type; 0 where there is no such type.
fn longest(message_kind: u8) -> usize {
    match message_kind {
        kind::SET_UP | kind::ANSWER | kind::RELEASE | kind::STATE => MAX_MESSAGE_BYTES,
        kind::PROGRESS | kind::RELEASE_COMPLETE | kind::TEST | kind::TEST_RESULT => MAX_SHORT_MESSAGE_BYTES,
        _ => 0,
    }
}

/// Whether a message has what its type asks for. One that carries nothing shows nothing: its few fixed bytes come by chance.
fn is_complete(message: &Message) -> bool {
    let has = |code| message.bytes(code).is_some();
    !message.has_duplicate_parameters()
        && match message.kind {
            kind::SET_UP => has(code::CLASS) && has(code::WAIT) && has(code::NUMBER),
            kind::ANSWER => has(code::DESCRIPTION),
            kind::RELEASE => message.cause().is_some(),
            kind::STATE => has(code::REPORT),
            kind::TEST | kind::TEST_RESULT => has(code::CAUSE),
            _ => false,
        }
}

#[cfg(test)]
mod tests;
