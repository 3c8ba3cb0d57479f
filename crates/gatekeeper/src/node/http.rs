//! The control address: a TCP listener on which the operators' front asks, over HTTP/1.1, whether the
//! gatekeeper takes clients, reads its figures and drains it. One call a connection. What a head asks and
//! what is wrong with it is read in `hollypaddle_service::http`; this module only moves the bytes.
//!
//! Bounded so that it answers within 1 s under any load: at most [`MAX_CONNECTIONS`] connections, each
//! ended [`MAX_CONNECTION_S`] after it was accepted; when all places are taken the oldest goes, so peers that trickle a
//! head or never finish it cannot lock the front out.

use std::collections::BTreeMap;
use std::io::{self, ErrorKind, Read};
use std::net::{SocketAddr, TcpListener, TcpStream};

use hollypaddle_service::http::{self, Asked, Call};

use super::poller::{Key, Poller, Ready};

/// Connections at once.
pub const MAX_CONNECTIONS: usize = 32;
/// How long a connection may last, in seconds; the front wants its answer within 1 s.
pub const MAX_CONNECTION_S: f64 = 1.0;

struct Peer {
    stream: TcpStream,
    since: f64,
    input: Vec<u8>,
    /// The answer and how much of it is written; none while the head is not whole.
    output: Option<(Vec<u8>, usize)>,
}

/// The listener and who is connected.
pub struct HttpServer {
    listener: TcpListener,
    listener_key: Key,
    peers: BTreeMap<Key, Peer>,
}

impl HttpServer {
    /// Listens at an address.
    pub fn listen(address: SocketAddr, poller: &mut Poller) -> io::Result<HttpServer> {
        let listener = TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let listener_key = poller.add(&listener, false)?;
        Ok(HttpServer { listener, listener_key, peers: BTreeMap::new() })
    }

    /// Where it listens.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Stops.
    pub fn close(self, poller: &Poller) {
        poller.remove(&self.listener);
        self.peers.values().for_each(|p| poller.remove(&p.stream));
    }

    /// Takes what is ready, if it is the control address's. A whole call is returned, with the connection
    /// that waits for [`HttpServer::reply`].
    pub fn ready(&mut self, now: f64, ready: Ready, poller: &mut Poller) -> Option<(Key, Call)> {
        if ready.key == self.listener_key {
            self.accept(now, poller);
            return None;
        }
        let peer = self.peers.get_mut(&ready.key)?;
        if peer.output.is_some() {
            self.write(ready.key, poller);
            return None;
        }
        match peer.read() {
            Ok(Asked::Partial) => None,
            Ok(Asked::Call(call)) => Some((ready.key, call)),
            Ok(Asked::Wrong(refusal)) => {
                log::debug!(status = refusal.status, reason = refusal.reason; "control-refused");
                self.reply(ready.key, http::refusal(refusal), poller);
                None
            }
            Err(_) => {
                self.drop_peer(ready.key, poller);
                None
            }
        }
    }

    /// Answers a call.
    pub fn reply(&mut self, key: Key, bytes: Vec<u8>, poller: &Poller) {
        if let Some(peer) = self.peers.get_mut(&key) {
            peer.output = Some((bytes, 0));
            self.write(key, poller);
        }
    }

    fn write(&mut self, key: Key, poller: &Poller) {
        let Some(peer) = self.peers.get_mut(&key) else { return };
        match peer.write() {
            // What it still sends is of no interest, and would make it ready again and again.
            Ok(false) => poller.set_interest(key, &peer.stream, false, true),
            Ok(true) | Err(_) => self.drop_peer(key, poller),
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
                    if self.peers.len() >= MAX_CONNECTIONS {
                        // Keys grow with time: the first is the oldest.
                        if let Some(oldest) = self.peers.keys().next().copied() {
                            log::debug!("control-crowded");
                            self.drop_peer(oldest, poller);
                        }
                    }
                    self.peers.insert(key, Peer { stream, since: now, input: Vec::new(), output: None });
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                Err(error)
                    if matches!(error.kind(), ErrorKind::ConnectionAborted | ErrorKind::Interrupted) => {}
                // Descriptors are short: those who wait are taken at the next readiness.
                Err(error) => return log::debug!(error:%; "control-accept-failed"),
            }
        }
    }

    fn drop_peer(&mut self, key: Key, poller: &Poller) {
        if let Some(peer) = self.peers.remove(&key) {
            poller.remove(&peer.stream);
        }
    }

    /// Ends connections that last too long. Called now and then, often enough to keep the bound of 1 s.
    pub fn beat(&mut self, now: f64, poller: &Poller) {
        let old: Vec<Key> =
            self.peers.iter().filter(|(_, p)| now - p.since >= MAX_CONNECTION_S).map(|(k, _)| *k).collect();
        for key in old {
            self.drop_peer(key, poller);
        }
    }

    /// Connections held.
    pub fn connections(&self) -> usize {
        self.peers.len()
    }
}

impl Peer {
    /// Reads on, to a call or what is wrong with it; an end or an error ends the connection.
    fn read(&mut self) -> io::Result<Asked> {
        let mut chunk = [0; 2048];
        loop {
            match self.stream.read(&mut chunk) {
                Ok(0) => return Err(ErrorKind::UnexpectedEof.into()),
                Ok(n) => {
                    let room = http::MOST_HEAD + 1 - self.input.len().min(http::MOST_HEAD + 1);
                    self.input.extend(&chunk[..n.min(room)]);
                    if self.input.len() > http::MOST_HEAD {
                        break;
                    }
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => break,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
        Ok(http::read(&self.input))
    }

    /// Writes on; returns whether all is written.
    fn write(&mut self) -> io::Result<bool> {
        let Some((bytes, done)) = &mut self.output else { return Ok(false) };
        if !super::output::write_remaining(&mut self.stream, bytes, done)? {
            return Ok(false);
        }
        // Done: the peer reads to the end, which closing tells.
        let _ = self.stream.shutdown(std::net::Shutdown::Write);
        Ok(true)
    }
}
