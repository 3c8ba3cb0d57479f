//! What operators and their front ask of a gatekeeper's control address.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// An answer is owed within 1 s; a paused program answers later.
const PATIENCE: Duration = Duration::from_secs(2);

/// Asks and tells whether the answer is a yes; none where none came.
pub fn ask(control: SocketAddr, method: &str, path: &str) -> Option<bool> {
    let mut stream = TcpStream::connect_timeout(&control, PATIENCE).ok()?;
    stream.set_read_timeout(Some(PATIENCE)).ok()?;
    write!(stream, "{method} {path} HTTP/1.1\r\nContent-Length: 0\r\n\r\n").ok()?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).ok()?;
    answer.get(9..10).map(|status| status == "2")
}
