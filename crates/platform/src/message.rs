//! Encoding and decoding of the platform's binary protocol. No I/O.
//!
//! ```text
//! message   = length:2 type:1 call:8 parameters      length counts the bytes after the length field
//! parameter = code:1 length:2 value
//! ```

use std::fmt;

/// Maximum length of a message, including its length field.
pub const MAX_MESSAGE_BYTES: usize = 16 * 1024;
/// Size of the length field.
pub(crate) const LENGTH_BYTES: usize = 2;
/// Size of the type and the call id.
pub(crate) const HEADER_BYTES: usize = 1 + 8;
/// Size of a parameter's code and length.
pub(crate) const PARAMETER_HEADER_BYTES: usize = 1 + 2;

/// Message types.
pub mod kind {
    /// A set-up.
    pub const SET_UP: u8 = 1;
    /// Progress; ignored.
    pub const PROGRESS: u8 = 6;
    /// An answer: the call is established.
    pub const ANSWER: u8 = 9;
    /// A release, with a cause.
    pub const RELEASE: u8 = 12;
    /// Confirms that a release was received.
    pub const RELEASE_COMPLETE: u8 = 16;
    /// The state of a group of servers, with a load report.
    pub const STATE: u8 = 43;
    /// A test of the connection.
    pub const TEST: u8 = 52;
    /// The result of a test.
    pub const TEST_RESULT: u8 = 53;
}

/// Parameter codes.
pub mod code {
    /// Name of the class, as in the settings.
    pub const CLASS: u8 = 16;
    /// How long the sender waits for an answer, in milliseconds.
    pub const WAIT: u8 = 19;
    /// Marks a further try of a caller; absent in the first one.
    pub const RETRY: u8 = 25;
    /// Number dialled, in hex digits.
    pub const NUMBER: u8 = 28;
    /// Attributes of the set-up for the gatekeeper's decision, such as the first choice.
    pub const ATTRIBUTES: u8 = 31;
    /// How long a caller must wait before it tries again, in milliseconds.
    pub const RETRY_AFTER: u8 = 34;
    /// Why a server rejected a set-up.
    pub const REJECT_REASON: u8 = 37;
    /// Expected wait at a server whose processor is full, in milliseconds.
    pub const FULL_WAIT: u8 = 40;
    /// A load report.
    pub const REPORT: u8 = 43;
    /// The release cause, one byte.
    pub const CAUSE: u8 = 58;
    /// Description of the session that an answer carries.
    pub const DESCRIPTION: u8 = 61;

    /// All parameter codes.
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
    /// In a test: a test of the connection.
    pub const TEST: u8 = 0;
    /// The call ended normally, or its set-up was given up.
    pub const NORMAL: u8 = 16;
    /// The server is full; the set-up was not executed.
    pub const FULL: u8 = 34;
    /// The set-up failed, or the call was cut.
    pub const TEMPORARY_FAILURE: u8 = 41;
    /// The set-up was refused; trying again is harmless.
    pub const CONGESTION: u8 = 42;
    /// A parameter is missing.
    pub const MISSING_PARAMETER: u8 = 96;
    /// A parameter has an invalid value.
    pub const INVALID_PARAMETER: u8 = 100;
    /// The set-up was never sent on.
    pub const NEVER_SENT: u8 = 102;
}

/// Why bytes are not a valid message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DecodeError {
    /// The message is longer than [`MAX_MESSAGE_BYTES`]; its length in bytes.
    TooLong(usize),
    /// The message is too short for its type and call id; its length in bytes.
    TooShort(usize),
    /// A parameter extends past the end of the message.
    TruncatedParameter,
}

impl fmt::Display for DecodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            DecodeError::TooLong(n) => {
                write!(f, "a message of {n} bytes is too long: at most {MAX_MESSAGE_BYTES} are allowed")
            }
            DecodeError::TooShort(n) => {
                write!(f, "a message of {n} bytes is too short for its type and call id")
            }
            DecodeError::TruncatedParameter => write!(f, "a parameter extends past the end of its message"),
        }
    }
}

impl std::error::Error for DecodeError {}

/// A message of the protocol.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// Message type, see [`kind`]. Decoding accepts other types too.
    pub kind: u8,
    /// 64-bit id of the call.
    pub call: u64,
    parameters: Vec<(u8, Vec<u8>)>,
}

impl Message {
    /// Creates a message without parameters.
    pub fn new(kind: u8, call: u64) -> Self {
        Message { kind, call, parameters: Vec::new() }
    }

    /// Adds a parameter.
    pub fn with(mut self, code: u8, value: impl Into<Vec<u8>>) -> Self {
        self.parameters.push((code, value.into()));
        self
    }

    /// Adds the parameter with the release cause.
    pub fn with_cause(self, cause: u8) -> Self {
        self.with(code::CAUSE, [cause])
    }

    /// Value of a parameter; the first one if it occurs more than once.
    pub fn bytes(&self, code: u8) -> Option<&[u8]> {
        self.parameters.iter().find(|p| p.0 == code).map(|p| &p.1[..])
    }

    /// Returns whether any parameter occurs more than once, so that it is ambiguous which value was meant.
    pub fn has_duplicate_parameters(&self) -> bool {
        let mut codes: Vec<u8> = self.parameters.iter().map(|p| p.0).collect();
        codes.sort_unstable();
        codes.windows(2).any(|pair| pair[0] == pair[1])
    }

    /// Value of a parameter as text; `None` if it is missing or not UTF-8.
    pub fn text(&self, code: u8) -> Option<&str> {
        std::str::from_utf8(self.bytes(code)?).ok()
    }

    /// The release cause; `None` if it is missing or not one byte.
    pub fn cause(&self) -> Option<u8> {
        match self.bytes(code::CAUSE)? {
            [cause] => Some(*cause),
            _ => None,
        }
    }

    /// Decodes the message at the start of `data` and returns it with its length in bytes, or `None` if it is incomplete.
    pub fn decode(data: &[u8]) -> Result<Option<(Message, usize)>, DecodeError> {
        let Some(length) = data.first_chunk::<LENGTH_BYTES>() else { return Ok(None) };
        let length = usize::from(u16::from_be_bytes(*length));
        let whole = LENGTH_BYTES + length;
        // Checked before the rest arrives, so that no buffer grows past the length of one message.
        if whole > MAX_MESSAGE_BYTES {
            return Err(DecodeError::TooLong(whole));
        }
        let Some(body) = data.get(LENGTH_BYTES..whole) else { return Ok(None) };
        let Some((head, mut rest)) = body.split_first_chunk::<HEADER_BYTES>() else {
            return Err(DecodeError::TooShort(whole));
        };
        let [kind, id @ ..] = *head;
        let mut message = Message::new(kind, u64::from_be_bytes(id));
        while let [code, high, low, values @ ..] = rest {
            let length = usize::from(u16::from_be_bytes([*high, *low]));
            let (value, after) = values.split_at_checked(length).ok_or(DecodeError::TruncatedParameter)?;
            message.parameters.push((*code, value.to_vec()));
            rest = after;
        }
        match rest {
            [] => Ok(Some((message, whole))),
            _ => Err(DecodeError::TruncatedParameter),
        }
    }

    /// Appends the encoded message to `out`. A parameter that would exceed the maximum length is left out. This can only
    /// happen to one that is nearly as long as a message, and an answer without it still ends the call.
    pub fn encode(&self, out: &mut Vec<u8>) {
        let start = out.len();
        out.extend([0; LENGTH_BYTES]);
        out.push(self.kind);
        out.extend(self.call.to_be_bytes());
        for (code, value) in &self.parameters {
            if out.len() - start + PARAMETER_HEADER_BYTES + value.len() <= MAX_MESSAGE_BYTES {
                out.push(*code);
                out.extend((value.len() as u16).to_be_bytes());
                out.extend(value);
            }
        }
        let length = (out.len() - start - LENGTH_BYTES) as u16;
        out[start..start + LENGTH_BYTES].copy_from_slice(&length.to_be_bytes());
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    proptest! {
        #[test]
        fn an_encoded_message_is_decoded_to_the_same_message(
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
        fn any_bytes_are_a_message_part_of_one_or_an_error(data in prop::collection::vec(any::<u8>(), 0..200)) {
            if let Ok(Some((_, used))) = Message::decode(&data) {
                prop_assert!(used <= data.len());
            }
        }
    }

    #[test]
    fn a_message_with_an_invalid_length_is_a_decode_error() {
        assert_eq!(Message::decode(&[0x40, 0]), Err(DecodeError::TooLong(MAX_MESSAGE_BYTES + 2)));
        assert_eq!(Message::decode(&[0, 3, 1, 2, 3]), Err(DecodeError::TooShort(5)));
        assert_eq!(
            Message::decode(&[0, 12, 1, 0, 0, 0, 0, 0, 0, 0, 1, 16, 0, 9]),
            Err(DecodeError::TruncatedParameter)
        );
        assert_eq!(
            Message::decode(&[0, 10, 1, 0, 0, 0, 0, 0, 0, 0, 1, 16]),
            Err(DecodeError::TruncatedParameter)
        );
    }
}
