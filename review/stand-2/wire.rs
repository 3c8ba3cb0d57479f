//! The platform's binary protocol and the resolver's answers, from the operators' protocol page.
//!
//! message = length:2 type:1 call:8 parameters, parameter = code:1 length:2 value, all big-endian.

use std::net::SocketAddrV4;

/// Message types.
pub mod kind {
    pub const SET_UP: u8 = 1;
    pub const ANSWER: u8 = 9;
    pub const RELEASE: u8 = 12;
    pub const RELEASE_HEARD: u8 = 16;
    pub const STATE: u8 = 43;
    pub const TEST: u8 = 52;
    pub const TEST_RESULT: u8 = 53;
}

/// Parameter codes.
pub mod code {
    pub const CLASS: u8 = 16;
    pub const WAIT: u8 = 19;
    pub const NUMBER: u8 = 28;
    pub const FIGURES: u8 = 31;
    pub const REPORT: u8 = 43;
    pub const CAUSE: u8 = 58;
    pub const DESCRIPTION: u8 = 61;
}

/// Release causes.
pub mod cause {
    pub const NORMAL: u8 = 16;
    pub const ERROR: u8 = 47;
}

/// Longest message, with its length field.
const MAX_MESSAGE_BYTES: usize = 16 * 1024;

/// One message.
#[derive(Clone, Debug, PartialEq)]
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

    pub fn release(call: u64, cause: u8) -> Message {
        Message::new(kind::RELEASE, call).with(code::CAUSE, [cause])
    }

    pub fn get(&self, code: u8) -> Option<&[u8]> {
        self.parameters.iter().find(|p| p.0 == code).map(|p| &p.1[..])
    }

    pub fn cause(&self) -> Option<u8> {
        self.get(code::CAUSE).and_then(|value| value.first().copied())
    }

    pub fn encode(&self) -> Vec<u8> {
        let mut body = vec![self.kind];
        body.extend(self.call.to_be_bytes());
        for (code, value) in &self.parameters {
            body.push(*code);
            body.extend((value.len() as u16).to_be_bytes());
            body.extend(value);
        }
        let mut out = (body.len() as u16).to_be_bytes().to_vec();
        out.extend(body);
        out
    }

    /// Takes the first message off the input; `Ok(None)` while it is incomplete.
    pub fn take(input: &mut Vec<u8>) -> Result<Option<Message>, String> {
        if input.len() < 2 {
            return Ok(None);
        }
        let whole = 2 + usize::from(u16::from_be_bytes([input[0], input[1]]));
        if !(11..=MAX_MESSAGE_BYTES).contains(&whole) {
            return Err(format!("a message of {whole} bytes"));
        }
        if input.len() < whole {
            return Ok(None);
        }
        let bytes: Vec<u8> = input.drain(..whole).collect();
        let mut id = [0; 8];
        id.copy_from_slice(&bytes[3..11]);
        let mut message = Message::new(bytes[2], u64::from_be_bytes(id));
        let mut at = 11;
        while at < whole {
            if at + 3 > whole {
                return Err("a parameter without a length".into());
            }
            let end = at + 3 + usize::from(u16::from_be_bytes([bytes[at + 1], bytes[at + 2]]));
            let value = bytes.get(at + 3..end).ok_or("a parameter beyond its message")?;
            message.parameters.push((bytes[at], value.to_vec()));
            at = end;
        }
        Ok(Some(message))
    }
}

/// One session server of the list.
#[derive(Clone, Debug)]
pub struct Listed {
    pub id: String,
    pub zone: &'static str,
    pub address: SocketAddrV4,
    pub number: u32,
    pub draining: bool,
    /// When it started, in Unix milliseconds, or 0.
    pub started_ms: u64,
}

/// The list as the configuration holds it under `known`.
pub fn known(position: u32, list: &[Listed]) -> String {
    let instances: Vec<String> = list
        .iter()
        .map(|l| {
            let lifecycle = if l.draining { "draining" } else { "ready" };
            format!(
                r#"{{"instanceId":"{}","hostPort":"{}","zone":"{}","machineType":"std","cell":{},"lifecycle":"{lifecycle}","weight":4,"startedAtMs":{}}}"#,
                l.id, l.address, l.zone, l.number, l.started_ms
            )
        })
        .collect();
    format!(
        r#"{{"pos":{position},"entries":[{{"pos":{position},"hosts":{{"generation":{position},"reset":true,"instances":[{}]}}}}]}}"#,
        instances.join(",")
    )
}

fn name(out: &mut Vec<u8>, text: &str) {
    for label in text.split('.').filter(|label| !label.is_empty()) {
        out.push(label.len() as u8);
        out.extend(label.as_bytes());
    }
    out.push(0);
}

fn record(out: &mut Vec<u8>, owner: &str, kind: u16, data: &[u8]) {
    name(out, owner);
    out.extend(kind.to_be_bytes());
    out.extend(1u16.to_be_bytes());
    out.extend(0u32.to_be_bytes());
    out.extend((data.len() as u16).to_be_bytes());
    out.extend(data);
}

/// The answer to a query (RFC 1035): the whole list, with the number of its last event as the serial of the SOA record.
pub fn dns_answer(query: &[u8], position: u32, list: &[Listed]) -> Option<Vec<u8>> {
    let question_end = query.iter().skip(12).position(|b| *b == 0)? + 12 + 1 + 4;
    let count = list.len() as u16;
    let mut out = query.get(..2)?.to_vec();
    out.extend([0x84, 0x00]);
    for n in [1, count, 1, 2 * count] {
        out.extend(n.to_be_bytes());
    }
    out.extend(query.get(12..question_end)?);
    for l in list {
        let mut data = Vec::new();
        for n in [u16::from(l.draining), 40, l.address.port()] {
            data.extend(n.to_be_bytes());
        }
        name(&mut data, &format!("{}.{}.hosts", l.id, l.zone));
        record(&mut out, "_work._tcp.fleet.local", 33, &data);
    }
    let mut soa = Vec::new();
    name(&mut soa, "fleet.local");
    name(&mut soa, "fleet.local");
    for n in [position, 1, 1, 1, 1] {
        soa.extend(n.to_be_bytes());
    }
    record(&mut out, "fleet.local", 6, &soa);
    for l in list {
        let owner = format!("{}.{}.hosts", l.id, l.zone);
        record(&mut out, &owner, 1, &l.address.ip().octets());
        let mut text = Vec::new();
        for part in
            ["kind=std".to_string(), format!("cell={}", l.number), format!("started={}", l.started_ms)]
        {
            text.push(part.len() as u8);
            text.extend(part.as_bytes());
        }
        record(&mut out, &owner, 16, &text);
    }
    Some(out)
}
