//! Listeners at addresses that several processes may share.

use std::io;
use std::net::{SocketAddr, TcpListener};

use socket2::{Domain, Protocol, Socket, Type};

/// A listener, with SO_REUSEPORT: at an upgrade the new process listens beside the old one at the same
/// address, and after a drain this one listens again where it was.
pub fn bind(address: SocketAddr, backlog: i32) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_reuse_port(true)?;
    socket.bind(&address.into())?;
    socket.listen(backlog)?;
    let listener: TcpListener = socket.into();
    listener.set_nonblocking(true)?;
    Ok(listener)
}
