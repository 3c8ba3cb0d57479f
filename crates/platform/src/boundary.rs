//! Detects messages that a peer truncated although their length field makes them look complete.
//!
//! When a peer stops a message short and goes on with the next one, the first bytes of the next message fill the rest of
//! the truncated one. By its length the result is complete, and a description may hold any bytes. A truncated message is
//! recognized by the header of another message inside it, or by trailing bytes that cannot begin a message.

use std::fmt;

use crate::message::{
    code, kind, Message, HEADER_BYTES, LENGTH_BYTES, MAX_MESSAGE_BYTES, PARAMETER_HEADER_BYTES,
};

/// Maximum length of a message whose type carries no more than a cause, with its length field.
const MAX_SHORT_MESSAGE_BYTES: usize = 64;

/// Offset at which the value of the first parameter begins.
const FIRST_VALUE_OFFSET: usize = LENGTH_BYTES + HEADER_BYTES + PARAMETER_HEADER_BYTES;

/// A message that is complete according to its length field, with the bytes received after it.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// The bytes of the message and everything received after it so far.
    pub data: &'a [u8],
    /// Length of the message in bytes, including its length field.
    pub length: usize,
    /// Whether its first bytes were received in an earlier read than its last.
    pub split_across_reads: bool,
}

/// Describes a truncated message, for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TruncatedMessage {
    /// Message type, see [`kind`].
    pub kind: u8,
    /// 64-bit id of its call.
    pub call: u64,
    /// Length in bytes that the message declares, including its length field.
    pub length: usize,
    /// Number of bytes received after it.
    pub trailing_bytes: usize,
    /// Whether its first bytes were received in an earlier read than its last.
    pub split_across_reads: bool,
}

impl fmt::Display for TruncatedMessage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let TruncatedMessage { kind, call, length, trailing_bytes, split_across_reads } = self;
        let reads = if *split_across_reads { "several reads" } else { "one read" };
        write!(f, "a message of type {kind} and {length} bytes for call {call:016x} was truncated: {trailing_bytes} bytes follow it, received in {reads}")
    }
}

/// Result of checking whether a message was sent completely.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// No sign of truncation was found.
    Complete,
    /// The message was truncated, and its last bytes belong to another message.
    Truncated,
    /// Its last bytes may be the beginning of another message; deciding takes more input.
    Undecided,
}

/// How likely it is that bytes are the beginning of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Start {
    No,
    /// The bytes received so far fit the beginning of a message.
    Possible,
    /// The header names a known call, or the message is complete and valid.
    Certain,
}

impl Candidate<'_> {
    /// Describes the message for the log, in case it was truncated.
    pub fn truncated_message(&self) -> TruncatedMessage {
        let mut head = [0; HEADER_BYTES];
        let body = self.data.get(LENGTH_BYTES..).unwrap_or_default();
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

    /// Checks a message for the headers of other messages inside it. `known` reports whether the peer may send messages for
    /// the call with that id.
    pub fn verdict(&self, known: impl Fn(u64) -> bool) -> Verdict {
        let mut verdict = Verdict::Complete;
        // If a message arrived in one read with nothing after it, its last few bytes alone are no evidence.
        let more_may_come = self.split_across_reads || self.data.len() > self.length;
        for start in LENGTH_BYTES..self.length {
            let rest = &self.data[start..];
            match start_of_message(rest, &known) {
                Start::Certain => return Verdict::Truncated,
                // For some lengths of a description, the header of the first parameter looks like that of a message.
                Start::Possible if start < FIRST_VALUE_OFFSET => {}
                Start::Possible if more_may_come || rest.len() >= LENGTH_BYTES + HEADER_BYTES => {
                    verdict = Verdict::Undecided;
                }
                Start::Possible | Start::No => {}
            }
        }
        verdict
    }

    /// Returns whether the trailing bytes can be the beginning of another message.
    pub fn is_followed_by_message(&self) -> bool {
        let behind = &self.data[self.length..];
        behind.is_empty() || start_of_message(behind, &|_| true) != Start::No
    }
}

/// Checks whether bytes can be the beginning of a message.
fn start_of_message(data: &[u8], known: &impl Fn(u64) -> bool) -> Start {
    let [high, after_high @ ..] = data else { return Start::Possible };
    let [low, body @ ..] = after_high else {
        return possible_if(usize::from(*high) << 8 < MAX_MESSAGE_BYTES);
    };
    let length = LENGTH_BYTES + usize::from(u16::from_be_bytes([*high, *low]));
    let [kind, after_kind @ ..] = body else {
        return possible_if((LENGTH_BYTES + HEADER_BYTES..=MAX_MESSAGE_BYTES).contains(&length));
    };
    if !(LENGTH_BYTES + HEADER_BYTES..=max_length(*kind)).contains(&length) {
        return Start::No;
    }
    match after_kind.first_chunk() {
        None => Start::Possible,
        Some(id) if known(u64::from_be_bytes(*id)) => Start::Certain,
        Some(_) => start_by_parameters(data),
    }
}

/// Checks bytes with a valid message header of an unknown call by their parameters.
fn start_by_parameters(data: &[u8]) -> Start {
    match Message::decode(data) {
        Ok(Some((message, _))) if is_complete(&message) => Start::Certain,
        Ok(Some(_)) | Err(_) => Start::No,
        Ok(None) => {
            possible_if(data.get(LENGTH_BYTES + HEADER_BYTES).is_none_or(|first| code::ALL.contains(first)))
        }
    }
}

fn possible_if(possible: bool) -> Start {
    match possible {
        true => Start::Possible,
        false => Start::No,
    }
}

/// Maximum length in bytes of a message of a type; 0 if there is no such type.
fn max_length(message_kind: u8) -> usize {
    match message_kind {
        kind::SET_UP | kind::ANSWER | kind::RELEASE | kind::STATE => MAX_MESSAGE_BYTES,
        kind::PROGRESS | kind::RELEASE_COMPLETE | kind::TEST | kind::TEST_RESULT => MAX_SHORT_MESSAGE_BYTES,
        _ => 0,
    }
}

/// Returns whether a message has the parameters that its type requires. Types that carry no parameters never count as
/// complete, as their few fixed bytes can occur by chance.
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
