//! The control address: a TCP listener for HTTP/1.1. The operators' load balancer uses it to ask whether the gatekeeper
//! accepts clients, to read its metrics and to drain it. Each connection carries one request. The request's head is parsed
//! in `hollypaddle_service::http`; this module only moves bytes.
//!
//! Its load is bounded so that it always answers within 1 s: at most [`MAX_CONNECTIONS`] connections are open, each is
//! closed [`MAX_CONNECTION_S`] after it was accepted, and when the limit is reached the oldest is closed. Clients that send
//! a head slowly or never finish it can therefore not lock the load balancer out.

use std::collections::BTreeMap;
use std::io::{self, ErrorKind, Read};
use std::net::{SocketAddr, TcpListener, TcpStream};

use hollypaddle_service::http::{self, Endpoint, ParsedRequest};

use super::poller::{Key, Poller, Ready};

/// Limit of simultaneous connections.
pub const MAX_CONNECTIONS: usize = 32;
/// How long a connection may last, in seconds. The load balancer needs its answer within 1 s.
pub const MAX_CONNECTION_S: f64 = 1.0;

struct Client {
    stream: TcpStream,
    since: f64,
    input: Vec<u8>,
    /// The answer, and how many bytes of it are written. `None` until the request's head is complete.
    output: Option<(Vec<u8>, usize)>,
}

/// The listener and its connections.
pub struct HttpServer {
    listener: TcpListener,
    listener_key: Key,
    clients: BTreeMap<Key, Client>,
}

impl HttpServer {
    /// Listens at an address.
    ///
    /// # Errors
    ///
    /// Fails if the system rejects the address or the registration with the poller.
    pub fn listen(address: SocketAddr, poller: &mut Poller) -> io::Result<HttpServer> {
        let listener = TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let listener_key = poller.add(&listener, false)?;
        Ok(HttpServer { listener, listener_key, clients: BTreeMap::new() })
    }

    /// The address at which it listens.
    ///
    /// # Errors
    ///
    /// Fails if the system can't report the address.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Stops listening and removes all connections from the poller.
    pub fn close(self, poller: &Poller) {
        poller.remove(&self.listener);
        self.clients.values().for_each(|p| poller.remove(&p.stream));
    }

    /// Handles an event, if it belongs to the control address. Returns a complete request, with the key of the connection
    /// that waits for [`HttpServer::reply`].
    pub fn ready(&mut self, now: f64, ready: Ready, poller: &mut Poller) -> Option<(Key, Endpoint)> {
        if ready.key == self.listener_key {
            self.accept(now, poller);
            return None;
        }
        let client = self.clients.get_mut(&ready.key)?;
        if client.output.is_some() {
            self.write(ready.key, poller);
            return None;
        }
        match client.read() {
            Ok(ParsedRequest::Partial) => None,
            Ok(ParsedRequest::Endpoint(call)) => Some((ready.key, call)),
            Ok(ParsedRequest::Refused(refusal)) => {
                log::debug!(status = refusal.status, reason = refusal.reason; "control-refused");
                self.reply(ready.key, http::refusal_response(refusal), poller);
                None
            }
            Err(_) => {
                self.drop_client(ready.key, poller);
                None
            }
        }
    }

    /// Sends an answer on this connection.
    pub fn reply(&mut self, key: Key, bytes: Vec<u8>, poller: &Poller) {
        if let Some(client) = self.clients.get_mut(&key) {
            client.output = Some((bytes, 0));
            self.write(key, poller);
        }
    }

    fn write(&mut self, key: Key, poller: &Poller) {
        let Some(client) = self.clients.get_mut(&key) else { return };
        match client.write() {
            // Further input is not read. Reading must be off, or the connection would be ready all the time.
            Ok(false) => poller.set_interest(key, &client.stream, false, true),
            Ok(true) | Err(_) => self.drop_client(key, poller),
        }
    }

    fn accept(&mut self, now: f64, poller: &mut Poller) {
        loop {
            let accepted = self.listener.accept().and_then(|(stream, _)| {
                stream.set_nonblocking(true)?;
                stream.set_nodelay(true)?;
                Ok((poller.add(&stream, false)?, stream))
            });
            match accepted {
                Ok((key, stream)) => {
                    if self.clients.len() >= MAX_CONNECTIONS {
                        // Keys increase with time, so the first connection is the oldest.
                        if let Some(oldest) = self.clients.keys().next().copied() {
                            log::debug!("control-crowded");
                            self.drop_client(oldest, poller);
                        }
                    }
                    self.clients.insert(key, Client { stream, since: now, input: Vec::new(), output: None });
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                Err(error)
                    if matches!(error.kind(), ErrorKind::ConnectionAborted | ErrorKind::Interrupted) => {}
                // No descriptor is free. Waiting connections are accepted at the listener's next event.
                Err(error) => return log::debug!(error:%; "control-accept-failed"),
            }
        }
    }

    fn drop_client(&mut self, key: Key, poller: &Poller) {
        if let Some(client) = self.clients.remove(&key) {
            poller.remove(&client.stream);
        }
    }

    /// Closes connections that last too long. Called at each heartbeat of the event loop, often enough to keep the limit of
    /// 1 s.
    pub fn on_heartbeat(&mut self, now: f64, poller: &Poller) {
        let expired: Vec<Key> =
            self.clients.iter().filter(|(_, p)| now - p.since >= MAX_CONNECTION_S).map(|(k, _)| *k).collect();
        for key in expired {
            self.drop_client(key, poller);
        }
    }

    /// The number of open connections.
    pub fn connections(&self) -> usize {
        self.clients.len()
    }
}

impl Client {
    /// Reads more input. Returns the request or what is wrong with it, once its head is complete. An error, which includes
    /// the end of the stream, means that the connection must be closed.
    fn read(&mut self) -> io::Result<ParsedRequest> {
        let mut chunk = [0; 2048];
        loop {
            match self.stream.read(&mut chunk) {
                Ok(0) => return Err(ErrorKind::UnexpectedEof.into()),
                Ok(n) => {
                    let remaining = http::MAX_HEAD_BYTES + 1 - self.input.len().min(http::MAX_HEAD_BYTES + 1);
                    self.input.extend(&chunk[..n.min(remaining)]);
                    if self.input.len() > http::MAX_HEAD_BYTES {
                        break;
                    }
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => break,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
        Ok(http::parse(&self.input))
    }

    /// Writes more of the answer. Returns whether all of it is written.
    fn write(&mut self) -> io::Result<bool> {
        let Some((bytes, written)) = &mut self.output else { return Ok(false) };
        if !super::output::write_remaining(&mut self.stream, bytes, written)? {
            return Ok(false);
        }
        // The client reads until the end of the stream, which the shutdown signals.
        let _ = self.stream.shutdown(std::net::Shutdown::Write);
        Ok(true)
    }
}
