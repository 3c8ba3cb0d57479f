//! The plain policy, to be compared with: a call goes once to its first choice, if that is in service, and nothing is
//! remembered of how it went.

use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};

use hollypaddle_platform::message::{cause, code, kind, Message};
use hollypaddle_standin::world::World;
use hollypaddle_standin::{peer, release, Peer};

/// A front that decides by it.
pub struct Plain {
    front: usize,
    address: SocketAddr,
    listener: Option<TcpListener>,
    callers: BTreeMap<u64, Peer>,
    servers: BTreeMap<usize, Peer>,
    /// Of each call its caller's connection and its server.
    calls: BTreeMap<u64, (u64, usize)>,
    next: u64,
}

impl Plain {
    /// Listens.
    pub fn open(front: usize) -> io::Result<Plain> {
        let address = hollypaddle_standin::free_addresses(1)?.remove(0);
        let (callers, servers, calls) = (BTreeMap::new(), BTreeMap::new(), BTreeMap::new());
        let mut plain = Plain { front, address, listener: None, callers, servers, calls, next: 0 };
        plain.start()?;
        Ok(plain)
    }

    /// Where callers connect.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Ends, with all that it knew: its sockets close, and nothing is said.
    pub fn kill(&mut self) {
        self.listener = None;
        self.callers.clear();
        self.servers.clear();
        self.calls.clear();
    }

    /// Starts again where it was.
    pub fn start(&mut self) -> io::Result<()> {
        let listener = TcpListener::bind(self.address)?;
        listener.set_nonblocking(true)?;
        self.listener = Some(listener);
        Ok(())
    }

    /// Passes on what has come.
    pub fn turn(&mut self, world: &World) {
        while let Some(Ok((stream, _))) = self.listener.as_ref().map(TcpListener::accept) {
            if let Ok(caller) = peer(stream) {
                self.next += 1;
                self.callers.insert(self.next, caller);
            }
        }
        let mut asked = Vec::new();
        self.callers.retain(|key, caller| {
            let mut heard = Vec::new();
            let open = caller.read(&mut heard).is_ok() && caller.flush().is_ok();
            asked.extend(heard.into_iter().map(|message| (*key, message)));
            open
        });
        for (caller, message) in asked {
            match message.kind {
                kind::SET_UP => self.set_up(caller, &message, world),
                kind::RELEASE => {
                    if let Some((_, server)) = self.calls.remove(&message.call) {
                        self.tell_server(server, &message, world);
                    }
                }
                _ => {}
            }
        }
        self.hear(world);
    }

    fn set_up(&mut self, caller: u64, message: &Message, world: &World) {
        let first = message.text(code::ATTRIBUTES).and_then(|figures| {
            figures.split(';').find_map(|figure| figure.strip_prefix("dest:")?.parse::<usize>().ok())
        });
        let mut passed_on = Message::new(kind::SET_UP, message.call);
        for code in [code::CLASS, code::WAIT, code::NUMBER, code::DESCRIPTION] {
            passed_on = passed_on.with(code, message.bytes(code).unwrap_or_default());
        }
        match first.filter(|server| world.in_service(*server)) {
            Some(server) if self.tell_server(server, &passed_on, world) => {
                self.calls.insert(message.call, (caller, server));
            }
            _ => self.tell_caller(caller, &release(message.call, cause::CONGESTION)),
        }
    }

    fn tell_server(&mut self, server: usize, message: &Message, world: &World) -> bool {
        if !self.servers.contains_key(&server) {
            match TcpStream::connect(world.servers[server].address(self.front)).and_then(peer) {
                Ok(connection) => drop(self.servers.insert(server, connection)),
                Err(_) => return false,
            }
        }
        self.servers.get_mut(&server).is_some_and(|s| s.send(message).is_ok())
    }

    fn tell_caller(&mut self, caller: u64, message: &Message) {
        // One that has gone waits for nothing.
        if let Some(caller) = self.callers.get_mut(&caller) {
            let _ = caller.send(message);
        }
    }

    fn hear(&mut self, world: &World) {
        for server in self.servers.keys().copied().collect::<Vec<_>>() {
            let Some(connection) = self.servers.get_mut(&server) else { continue };
            let mut heard = Vec::new();
            let mut over = connection.read(&mut heard).is_err() || connection.flush().is_err();
            over |= !world.is_listed(server);
            for message in heard {
                let Some((caller, at)) = self.calls.get(&message.call).copied() else { continue };
                if at != server || !matches!(message.kind, kind::ANSWER | kind::RELEASE) {
                    continue;
                }
                if message.kind == kind::RELEASE {
                    self.calls.remove(&message.call);
                }
                self.tell_caller(caller, &message);
            }
            if over {
                self.servers.remove(&server);
                let lost: Vec<u64> =
                    self.calls.iter().filter(|(_, c)| c.1 == server).map(|(call, _)| *call).collect();
                for call in lost {
                    if let Some((caller, _)) = self.calls.remove(&call) {
                        self.tell_caller(caller, &release(call, cause::TEMPORARY_FAILURE));
                    }
                }
            }
        }
    }
}
