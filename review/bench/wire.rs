//! The binary protocol of callers and session servers, as the protocol page gives it.

use std::io::{self, Read};
use std::net::TcpStream;

pub const SET_UP: u8 = 1;
pub const ANSWER: u8 = 9;
pub const RELEASE: u8 = 12;
pub const RELEASE_HEARD: u8 = 16;
pub const STATE: u8 = 43;
pub const TEST: u8 = 52;
pub const TEST_RESULT: u8 = 53;

pub const CLASS: u8 = 16;
pub const WAIT: u8 = 19;
pub const NUMBER: u8 = 28;
pub const FIGURES: u8 = 31;
pub const REPORT: u8 = 43;
pub const CAUSE: u8 = 58;
pub const DESCRIPTION: u8 = 61;

#[derive(Clone, Debug)]
pub struct Message {
    pub kind: u8,
    pub call: u64,
    pub parameters: Vec<(u8, Vec<u8>)>,
}

impl Message {
    pub fn new(kind: u8, call: u64) -> Message {
        Message { kind, call, parameters: Vec::new() }
    }

    pub fn with(mut self, code: u8, value: impl Into<Vec<u8>>) -> Message {
        self.parameters.push((code, value.into()));
        self
    }

    pub fn bytes(&self, code: u8) -> Option<&[u8]> {
        self.parameters.iter().find(|p| p.0 == code).map(|p| &p.1[..])
    }

    pub fn text(&self, code: u8) -> String {
        String::from_utf8_lossy(self.bytes(code).unwrap_or_default()).into_owned()
    }

    pub fn cause(&self) -> Option<u8> {
        self.bytes(CAUSE).and_then(|value| value.first().copied())
    }

    pub fn encode(&self) -> Vec<u8> {
        let mut body = vec![self.kind];
        body.extend(self.call.to_be_bytes());
        for (code, value) in &self.parameters {
            body.push(*code);
            body.extend((value.len() as u16).to_be_bytes());
            body.extend(value);
        }
        let mut message = (body.len() as u16).to_be_bytes().to_vec();
        message.extend(body);
        message
    }

    /// Reads one message; an error at the end of the stream.
    pub fn read(stream: &mut TcpStream) -> io::Result<Message> {
        let mut length = [0; 2];
        stream.read_exact(&mut length)?;
        let mut body = vec![0; usize::from(u16::from_be_bytes(length))];
        stream.read_exact(&mut body)?;
        if body.len() < 9 {
            return Err(io::Error::other("a message that is too short"));
        }
        let call = u64::from_be_bytes(body[1..9].try_into().unwrap());
        let mut message = Message::new(body[0], call);
        let mut rest = &body[9..];
        while !rest.is_empty() {
            let [code, high, low, values @ ..] = rest else {
                return Err(io::Error::other("a parameter that is cut short"));
            };
            let length = usize::from(u16::from_be_bytes([*high, *low]));
            if values.len() < length {
                return Err(io::Error::other("a parameter that is cut short"));
            }
            message.parameters.push((*code, values[..length].to_vec()));
            rest = &values[length..];
        }
        Ok(message)
    }
}

/// What a message means, for the record.
pub fn describe(message: &Message) -> String {
    let kind = match message.kind {
        SET_UP => "set-up",
        ANSWER => "answer",
        RELEASE => "release",
        RELEASE_HEARD => "release-heard",
        STATE => "state",
        TEST => "test",
        TEST_RESULT => "test-result",
        _ => "other",
    };
    match message.cause() {
        Some(cause) => format!("{kind} cause={cause}"),
        None => kind.to_string(),
    }
}
