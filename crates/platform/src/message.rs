//! The platform's binary protocol: pure encoding and decoding.
//!
//! ```text
//! message   = length:2 type:1 call:8 parameters      length counts all that follows it
//! parameter = code:1 length:2 value
//! ```

use std::fmt;

/// Longest message, with its length field.
pub const MAX_MESSAGE_BYTES: usize = 16 * 1024;
/// Bytes of the length field.
pub(crate) const LENGTH: usize = 2;
/// Bytes of type and call.
pub(crate) const HEAD: usize = 1 + 8;
/// Bytes of a parameter's code and length.
pub(crate) const PARAMETER_HEAD: usize = 1 + 2;

/// Message types.
pub mod kind {
    /// A set-up.
    pub const SET_UP: u8 = 1;
    /// Progress; means nothing.
    pub const PROGRESS: u8 = 6;
    /// An answer: the call stands.
    pub const ANSWER: u8 = 9;
    /// A release, with a cause.
    pub const RELEASE: u8 = 12;
    /// A release was heard.
    pub const RELEASE_COMPLETE: u8 = 16;
    /// The state of a group.
    pub const STATE: u8 = 43;
    /// A test.
    pub const TEST: u8 = 52;
    /// Its result.
    pub const TEST_RESULT: u8 = 53;
}

/// Parameter codes.
pub mod code {
    /// The class, named as in the settings.
    pub const CLASS: u8 = 16;
    /// How long the sender waits, in milliseconds.
    pub const WAIT: u8 = 19;
    /// Marks a caller's further try; else absent.
    pub const RETRY: u8 = 25;
    /// The number called, in hex digits.
    pub const NUMBER: u8 = 28;
    /// The request's figures.
    pub const ATTRIBUTES: u8 = 31;
    /// For how long a caller is to stay away, in milliseconds.
    pub const RETRY_AFTER: u8 = 34;
    /// Why a server turned a set-up back.
    pub const REJECT_REASON: u8 = 37;
    /// The wait at a server's full processor, in milliseconds.
    pub const FULL_WAIT: u8 = 40;
    /// A load report.
    pub const REPORT: u8 = 43;
    /// The cause, one byte.
    pub const CAUSE: u8 = 58;
    /// The description.
    pub const DESCRIPTION: u8 = 61;

    /// All of them.
    pub const ALL: [u8; 11] = [
        CLASS,
        WAIT,
        RETRY,
        NUMBER,
        ATTRIBUTES,
        RETRY_AFTER,
        REJECT_REASON,
        FULL_WAIT,
        REPORT,
        CAUSE,
        DESCRIPTION,
    ];
}

/// Release causes.
pub mod cause {
    /// Normal end, or given up.
    pub const NORMAL: u8 = 16;
    /// Full: it never ran.
    pub const FULL: u8 = 34;
    /// Failed, or cut.
    pub const TEMPORARY_FAILURE: u8 = 41;
    /// Refused: trying again is harmless.
    pub const CONGESTION: u8 = 42;
    /// A field is missing.
    pub const MISSING_PARAMETER: u8 = 96;
    /// A field makes no sense.
    pub const INVALID_PARAMETER: u8 = 100;
    /// It never left.
    pub const NEVER_SENT: u8 = 102;
}

/// Why bytes are no message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DecodeError {
    /// Longer than a message may be.
    TooLong(usize),
    /// Too short for its type and call.
    TooShort(usize),
    /// A parameter runs past the message's end.
    CutParameter,
}

impl fmt::Display for DecodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            DecodeError::TooLong(n) => write!(f, "a message of {n} bytes is too long"),
            DecodeError::TooShort(n) => write!(f, "a message of {n} bytes has no room for its call"),
            DecodeError::CutParameter => write!(f, "a parameter runs past the end of its message"),
        }
    }
}

impl std::error::Error for DecodeError {}

/// One message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// Its type, see [`kind`]; others are skipped by who reads them.
    pub kind: u8,
    /// The call's 64-bit id.
    pub call: u64,
    parameters: Vec<(u8, Vec<u8>)>,
}

impl Message {
    /// A message without parameters.
    pub fn new(kind: u8, call: u64) -> Self {
        Message { kind, call, parameters: Vec::new() }
    }

    /// The message with one more parameter.
    pub fn with(mut self, code: u8, value: impl Into<Vec<u8>>) -> Self {
        self.parameters.push((code, value.into()));
        self
    }

    /// The message with a cause.
    pub fn with_cause(self, cause: u8) -> Self {
        self.with(code::CAUSE, [cause])
    }

    /// A parameter's value; the first counts where one comes twice.
    pub fn bytes(&self, code: u8) -> Option<&[u8]> {
        self.parameters.iter().find(|p| p.0 == code).map(|p| &p.1[..])
    }

    /// Whether any parameter comes twice; then nobody can tell which one was meant.
    pub fn has_duplicate_parameters(&self) -> bool {
        let mut codes: Vec<u8> = self.parameters.iter().map(|p| p.0).collect();
        codes.sort_unstable();
        codes.windows(2).any(|pair| pair[0] == pair[1])
    }

    /// A parameter's value as text.
    pub fn text(&self, code: u8) -> Option<&str> {
        std::str::from_utf8(self.bytes(code)?).ok()
    }

    /// The cause, if there is one.
    pub fn cause(&self) -> Option<u8> {
        match self.bytes(code::CAUSE)? {
            [cause] => Some(*cause),
            _ => None,
        }
    }

    /// The first whole message in `data` and its length in bytes; `None` if it has not all arrived.
    pub fn decode(data: &[u8]) -> Result<Option<(Message, usize)>, DecodeError> {
        let Some(length) = data.first_chunk::<LENGTH>() else { return Ok(None) };
        let length = usize::from(u16::from_be_bytes(*length));
        let whole = LENGTH + length;
        // Said before the rest arrives, so that no buffer grows past one message.
        if whole > MAX_MESSAGE_BYTES {
            return Err(DecodeError::TooLong(whole));
        }
        let Some(body) = data.get(LENGTH..whole) else { return Ok(None) };
        let Some((head, mut rest)) = body.split_first_chunk::<HEAD>() else {
            return Err(DecodeError::TooShort(whole));
        };
        let [kind, id @ ..] = *head;
        let mut message = Message::new(kind, u64::from_be_bytes(id));
        while let [code, high, low, values @ ..] = rest {
            let length = usize::from(u16::from_be_bytes([*high, *low]));
            let (value, after) = values.split_at_checked(length).ok_or(DecodeError::CutParameter)?;
            message.parameters.push((*code, value.to_vec()));
            rest = after;
        }
        match rest {
            [] => Ok(Some((message, whole))),
            _ => Err(DecodeError::CutParameter),
        }
    }

    /// Appends the message's bytes. A parameter for which there is no room is left out: only one that
    /// was itself near a message's length can be, and an answer without it still ends the call.
    pub fn encode(&self, out: &mut Vec<u8>) {
        let start = out.len();
        out.extend([0; LENGTH]);
        out.push(self.kind);
        out.extend(self.call.to_be_bytes());
        for (code, value) in &self.parameters {
            if out.len() - start + PARAMETER_HEAD + value.len() <= MAX_MESSAGE_BYTES {
                out.push(*code);
                out.extend((value.len() as u16).to_be_bytes());
                out.extend(value);
            }
        }
        let length = (out.len() - start - LENGTH) as u16;
        out[start..start + LENGTH].copy_from_slice(&length.to_be_bytes());
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    proptest! {
        #[test]
        fn what_is_encoded_is_decoded(
            kind: u8, call: u64, parameters in prop::collection::vec((any::<u8>(), prop::collection::vec(any::<u8>(), 0..40)), 0..9),
            cut in 0usize..50,
        ) {
            let message = Message { kind, call, parameters };
            let mut bytes = Vec::new();
            message.encode(&mut bytes);
            let part = bytes.len().saturating_sub(1 + cut);
            prop_assert_eq!(Message::decode(&bytes[..part]), Ok(None));
            prop_assert_eq!(Message::decode(&bytes), Ok(Some((message, bytes.len()))));
        }

        /// Guards against a panic on bytes from the network.
        #[test]
        fn any_bytes_are_a_message_part_of_one_or_unreadable(data in prop::collection::vec(any::<u8>(), 0..200)) {
            if let Ok(Some((_, used))) = Message::decode(&data) {
                prop_assert!(used <= data.len());
            }
        }
    }

    #[test]
    fn broken_lengths_are_unreadable() {
        assert_eq!(Message::decode(&[0x40, 0]), Err(DecodeError::TooLong(MAX_MESSAGE_BYTES + 2)));
        assert_eq!(Message::decode(&[0, 3, 1, 2, 3]), Err(DecodeError::TooShort(5)));
        assert_eq!(
            Message::decode(&[0, 12, 1, 0, 0, 0, 0, 0, 0, 0, 1, 16, 0, 9]),
            Err(DecodeError::CutParameter)
        );
        assert_eq!(Message::decode(&[0, 10, 1, 0, 0, 0, 0, 0, 0, 0, 1, 16]), Err(DecodeError::CutParameter));
    }
}
