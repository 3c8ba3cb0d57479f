//! Requests of the operators and of their load balancer to the control address of a gatekeeper.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A gatekeeper must respond within 1 s; a paused one responds later.
const TIMEOUT: Duration = Duration::from_secs(2);

/// Sends a request; returns whether the response is a success, or `None` without a response.
pub fn request(control: SocketAddr, method: &str, path: &str) -> Option<bool> {
    let mut stream = TcpStream::connect_timeout(&control, TIMEOUT).ok()?;
    stream.set_read_timeout(Some(TIMEOUT)).ok()?;
    write!(stream, "{method} {path} HTTP/1.1\r\nContent-Length: 0\r\n\r\n").ok()?;
    let mut response = String::new();
    stream.read_to_string(&mut response).ok()?;
    response.get(9..10).map(|status| status == "2")
}
