//! Clients that send at full speed.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use hollypaddle_platform::message::cause;
use hollypaddle_standin::{release, set_up};

/// Set-ups written at once.
const SET_UPS_PER_WRITE: u64 = 200;
/// How long a caller waits for its answer, as it says.
const WAIT_MS: u32 = 9000;
/// A parameter that has no meaning.
const HARMLESS_PARAMETER: u8 = 240;
/// Number of empty parameters that fill a message.
const SHORT_FIELDS: usize = 5300;
/// Set-ups of one client have ids from a range of this size.
const IDS_PER_CLIENT: u64 = 1 << 32;

/// What a client sends.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum SetUps {
    /// Valid set-ups, each under a new id and for a new number.
    Valid,
    /// The same, each taken back at once.
    TakenBack,
    /// Set-ups of a class that doesn't exist, each of another one, on a new connection whenever one is closed.
    UnknownClass,
}

/// A large set-up without its last bytes.
pub fn half_request() -> Vec<u8> {
    let mut bytes = Vec::new();
    set_up("meter-read", 0, 1, WAIT_MS).with(HARMLESS_PARAMETER, vec![0; 16_000]).encode(&mut bytes);
    bytes.truncate(bytes.len() - 8);
    bytes
}

/// A set-up of thousands of empty parameters, without its last byte.
pub fn request_of_short_fields() -> Vec<u8> {
    let fields = (0..SHORT_FIELDS).fold(set_up("meter-read", 0, 1, WAIT_MS), |message, n| {
        message.with(HARMLESS_PARAMETER + (n % 5) as u8, "")
    });
    let mut bytes = Vec::new();
    fields.encode(&mut bytes);
    bytes.truncate(bytes.len() - 1);
    bytes
}

/// A client that sends at full speed on one connection and reads what it is sent.
pub struct Flood {
    sending: JoinHandle<u64>,
    reading: JoinHandle<()>,
}

impl Flood {
    pub fn start(address: SocketAddr, n: u64, set_ups: SetUps, time: Duration) -> Flood {
        if set_ups == SetUps::UnknownClass {
            let sending = std::thread::spawn(move || send_unknown_classes(address, n, Instant::now() + time));
            return Flood { sending, reading: std::thread::spawn(|| ()) };
        }
        let stream = TcpStream::connect(address).unwrap();
        let mut reader = stream.try_clone().unwrap();
        let reading = std::thread::spawn(move || {
            let mut chunk = [0; 64 * 1024];
            while reader.read(&mut chunk).is_ok_and(|n| n > 0) {}
        });
        let sending = std::thread::spawn(move || send(stream, n, set_ups, Instant::now() + time));
        Flood { sending, reading }
    }

    /// Waits until the client has ended; returns the number of set-ups sent.
    pub fn finish(self) -> u64 {
        let sent = self.sending.join().unwrap();
        self.reading.join().unwrap();
        sent
    }
}

fn send(mut stream: TcpStream, n: u64, set_ups: SetUps, until: Instant) -> u64 {
    stream.set_write_timeout(Some(Duration::from_secs(1))).unwrap();
    let (mut next, mut sent) = ((n + 1) * IDS_PER_CLIENT, 0);
    while Instant::now() < until {
        let mut bytes = Vec::new();
        for id in next..next + SET_UPS_PER_WRITE {
            set_up("meter-read", 0, id, WAIT_MS).encode(&mut bytes);
            if set_ups == SetUps::TakenBack {
                release(id, cause::NORMAL).encode(&mut bytes);
            }
        }
        next += SET_UPS_PER_WRITE;
        if stream.write_all(&bytes).is_err() {
            break;
        }
        sent += SET_UPS_PER_WRITE;
    }
    // The peer may have closed the connection.
    let _ = stream.shutdown(Shutdown::Both);
    sent
}

/// Sends set-ups of unknown classes, and connects again whenever the connection is closed.
fn send_unknown_classes(address: SocketAddr, n: u64, until: Instant) -> u64 {
    let (mut next, mut sent) = ((n + 1) * IDS_PER_CLIENT, 0);
    while Instant::now() < until {
        let mut stream = TcpStream::connect(address).unwrap();
        let mut bytes = Vec::new();
        for id in next..next + SET_UPS_PER_WRITE {
            set_up(&format!("class-{id}"), 0, id, WAIT_MS).encode(&mut bytes);
        }
        next += SET_UPS_PER_WRITE;
        sent += SET_UPS_PER_WRITE;
        // The gatekeeper closes the connection after some of them.
        let _ = stream.write_all(&bytes);
        let _ = stream.shutdown(Shutdown::Write);
        let mut chunk = [0; 4096];
        while stream.read(&mut chunk).is_ok_and(|n| n > 0) {}
    }
    sent
}
