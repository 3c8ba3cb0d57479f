//! A caller: connections to a gatekeeper, and all that came back, by call.

use std::collections::HashMap;
use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::record::{now, Record};
use crate::wire::{self, Message};

/// Something that came back for a call.
#[derive(Clone, Debug)]
pub struct Got {
    pub at: f64,
    pub kind: u8,
    pub cause: Option<u8>,
}

#[derive(Clone)]
pub struct Caller {
    name: String,
    gatekeeper: SocketAddr,
    got: Arc<Mutex<HashMap<u64, Vec<Got>>>>,
    record: Record,
}

pub struct Connection {
    pub label: String,
    stream: TcpStream,
    open: Arc<AtomicBool>,
    record: Record,
}

impl Caller {
    pub fn new(name: &str, gatekeeper: SocketAddr, record: &Record) -> Caller {
        Caller { name: name.to_string(), gatekeeper, got: Arc::default(), record: record.clone() }
    }

    pub fn connect(&self, label: &str) -> std::io::Result<Connection> {
        let stream = TcpStream::connect_timeout(&self.gatekeeper, Duration::from_secs(2))?;
        stream.set_nodelay(true)?;
        let label = format!("{}/{label}", self.name);
        let open = Arc::new(AtomicBool::new(true));
        let mut reading = stream.try_clone()?;
        let (got, record) = (Arc::clone(&self.got), self.record.clone());
        let (from, still_open) = (label.clone(), Arc::clone(&open));
        std::thread::spawn(move || {
            while let Ok(message) = Message::read(&mut reading) {
                record.line(format!("{from} gets {} {:016x}", wire::describe(&message), message.call));
                let new = Got { at: now(), kind: message.kind, cause: message.cause() };
                got.lock().unwrap().entry(message.call).or_default().push(new);
            }
            still_open.store(false, Ordering::Relaxed);
            let _ = reading.shutdown(Shutdown::Both);
            record.line(format!("{from} is closed"));
        });
        Ok(Connection { label, stream, open, record: self.record.clone() })
    }

    /// All that came back for a call, on any of this caller's connections.
    pub fn got(&self, call: u64) -> Vec<Got> {
        self.got.lock().unwrap().get(&call).cloned().unwrap_or_default()
    }

    /// When the final answer of a set-up came: an answer, or a release in its place.
    pub fn final_answer_at(&self, call: u64) -> Option<f64> {
        let is_final = |got: &&Got| got.kind == wire::ANSWER || got.kind == wire::RELEASE;
        self.got(call).iter().find(is_final).map(|got| got.at)
    }

    /// Whether the call was answered, and cut later (cause 41).
    pub fn cut(&self, call: u64) -> bool {
        let got = self.got(call);
        let answer = got.iter().position(|got| got.kind == wire::ANSWER);
        answer.is_some_and(|at| got[at..].iter().any(|got| got.cause == Some(41)))
    }
}

impl Connection {
    pub fn is_open(&self) -> bool {
        self.open.load(Ordering::Relaxed)
    }

    /// Sends messages in one write; returns when their last byte was written.
    pub fn send(&self, messages: &[Message]) -> std::io::Result<f64> {
        let bytes: Vec<u8> = messages.iter().flat_map(|message| message.encode()).collect();
        (&self.stream).write_all(&bytes)?;
        let at = now();
        for message in messages {
            self.record.line(format!(
                "{} sends {} {:016x}",
                self.label,
                wire::describe(message),
                message.call
            ));
        }
        Ok(at)
    }
}

/// A set-up of a class, with a first choice. `wait` is in seconds.
pub fn set_up(call: u64, class: &str, wait: f64, first_choice: u32, description: &str) -> Message {
    Message::new(wire::SET_UP, call)
        .with(wire::CLASS, class)
        .with(wire::WAIT, format!("{:.0}", wait * 1000.0))
        .with(wire::NUMBER, format!("{:016x}", call ^ 0x5a5a_0000_0000_0000))
        .with(wire::FIGURES, format!("dest:{first_choice};width:1;via:-1"))
        .with(wire::DESCRIPTION, description)
}

/// The release that gives a set-up up, or ends a call that stands.
pub fn release(call: u64) -> Message {
    Message::new(wire::RELEASE, call).with(wire::CAUSE, [16])
}
