//! Listening sockets whose address may be shared by several processes.

use std::io;
use std::net::{SocketAddr, TcpListener};

use socket2::{Domain, Protocol, Socket, Type};

/// Opens a non-blocking listener with SO_REUSEPORT. During an upgrade the new process can therefore listen at the same
/// address as the old one, and after a drain this process can listen at its old address again.
///
/// # Errors
///
/// Fails if the system rejects the address or an option.
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
