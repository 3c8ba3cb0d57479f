//! Stand-ins for what a gatekeeper talks to: callers, session servers and the resolver, written from the
//! platform's protocol, on loopback sockets.
//!
//! Nothing here waits, and nothing reads a clock: time is an argument of every turn, so that a test may skip
//! it. Faults are caused, not described: a server slows down, drains, dies, falls silent, resets or turns
//! away when it is told to. What happened is counted here, on the far side of the sockets, to be held
//! against what a gatekeeper says of itself.

pub mod callers;
pub mod deployment;
pub mod platform_file;
pub mod program;
pub mod proxy;
pub mod resolver;
pub mod server;
pub mod short_calls;
pub mod world;

use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU32, Ordering};

use hollypaddle_platform::connection::Connection;
use hollypaddle_platform::message::{cause, code, kind, Message};

/// A connection to or from a gatekeeper.
pub type Peer = Connection<TcpStream>;

/// Bytes that may wait on a stand-in's connection: tests look at what is said, not at how fast.
const MOST_WAITING: usize = 1 << 20;

/// Addresses on loopback that nobody listens at, for gatekeepers that come and go. They lie below the range from which
/// the system takes ports for connections: one of these would keep a gatekeeper from coming back to its own.
pub fn free_addresses(count: usize) -> io::Result<Vec<SocketAddr>> {
    const PORTS: std::ops::Range<u32> = 10_000..32_000;
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let (mut free, mut tried) = (Vec::new(), 0);
    while free.len() < count {
        let turn = NEXT.fetch_add(1, Ordering::Relaxed).wrapping_add(std::process::id().wrapping_mul(977));
        let port = PORTS.start + turn % (PORTS.end - PORTS.start);
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port as u16));
        if is_free(address)? {
            free.push(address);
        }
        tried += 1;
        if tried > PORTS.end - PORTS.start {
            return Err(io::Error::other("no free port"));
        }
    }
    Ok(free)
}

/// The block `fleet` of an own configuration, with members `n0` and on.
pub fn fleet_block(addresses: &[SocketAddr], more: &str) -> String {
    let member = |(n, address): (usize, &SocketAddr)| format!("    member n{n} {address}\n");
    let members: String = addresses.iter().enumerate().map(member).collect();
    format!("fleet {{\n{members}{more}}}\n")
}

/// Whether nobody listens at an address. The socket that tries it does not listen itself: a process that is forked in
/// that moment holds a copy of it until it has become its program, and a copy that listens would keep the address.
fn is_free(address: SocketAddr) -> io::Result<bool> {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    Ok(socket.bind(&address.into()).is_ok())
}

/// Wraps a stream, which does not block from then on.
pub fn peer(stream: TcpStream) -> io::Result<Peer> {
    stream.set_nonblocking(true)?;
    stream.set_nodelay(true)?;
    Ok(Connection::new(stream, MOST_WAITING))
}

/// A set-up as a caller sends it.
pub fn set_up(class: &str, first_choice: u32, id: u64, wait_ms: u32) -> Message {
    redial(class, first_choice, id, id, wait_ms, false)
}

/// A further try of a caller: under an id of its own, of the same number, and marked as one where the deployment has it.
pub fn redial(class: &str, first_choice: u32, id: u64, number: u64, wait_ms: u32, marked: bool) -> Message {
    let again = Message::new(kind::SET_UP, id)
        .with(code::CLASS, class)
        .with(code::WAIT, wait_ms.to_string())
        .with(code::NUMBER, format!("{number:016x}"))
        .with(code::ATTRIBUTES, format!("dest:{first_choice};width:1;via:-1"))
        .with(code::DESCRIPTION, vec![0, 255, 7]);
    match marked {
        true => again.with(code::RETRY, "1"),
        false => again,
    }
}

/// A server's answer: the call stands.
pub fn answer(id: u64) -> Message {
    Message::new(kind::ANSWER, id).with(code::DESCRIPTION, vec![9, 9])
}

/// A release with its cause.
pub fn release(id: u64, why: u8) -> Message {
    Message::new(kind::RELEASE, id).with_cause(why)
}

/// What a server says when it turns a set-up away.
pub fn full(id: u64, note: &str) -> Message {
    release(id, cause::FULL).with(code::REJECT_REASON, note)
}
