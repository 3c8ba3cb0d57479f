//! Callers that make a connection for each set-up and close it once they are answered, with the server that answers them:
//! the load under which gatekeepers are restarted and upgraded.

use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::time::{Duration, Instant};

use hollypaddle_platform::message::{cause, kind, Message};

use crate::platform_file;
use crate::program::unix_time;
use crate::resolver::{self, Listed};
use crate::{answer, peer, release, set_up, Peer};

/// The class of all set-ups.
const CLASS: &str = "meter-read";
/// How long a caller waits for its answer, as it tells the gatekeeper.
const WAIT_MS: u32 = 2000;
/// After so long without an answer, a set-up is lost.
const PATIENCE: Duration = Duration::from_secs(4);

/// What went wrong with a set-up.
#[derive(Debug, thiserror::Error)]
pub enum Failure {
    /// The connection was refused.
    #[error("connect: {0}")]
    Connect(io::Error),
    /// The connection ended before the set-up was written.
    #[error("write: {0}")]
    Write(String),
    /// The connection ended before the answer came.
    #[error("read: {0}")]
    Read(String),
    /// No answer came in time.
    #[error("no answer")]
    Unanswered,
}

/// A set-up that was not answered.
#[derive(Debug)]
pub struct Lost {
    /// The call.
    pub id: u64,
    /// When that was seen, in Unix seconds.
    pub at: f64,
    /// The caller's port, where it was connected.
    pub port: Option<u16>,
    /// Why.
    pub failure: Failure,
}

/// A set-up that waits for its answer.
struct Open {
    id: u64,
    port: Option<u16>,
    caller: Peer,
    since: Instant,
}

/// The callers, their server, and the resolver that never answers.
pub struct ShortCalls {
    /// Where the gatekeeper listens.
    pub gatekeeper: SocketAddr,
    /// Set-ups that are out at the same time.
    pub at_once: usize,
    /// Set-ups answered so far.
    pub answered: u64,
    /// Set-ups that were not answered.
    pub lost: Vec<Lost>,
    server: TcpListener,
    server_connections: Vec<Peer>,
    resolver: UdpSocket,
    open: Vec<Open>,
    next_id: u64,
}

impl ShortCalls {
    /// Opens the server and the resolver, for callers of a gatekeeper at this address.
    pub fn open(gatekeeper: SocketAddr, at_once: usize) -> io::Result<ShortCalls> {
        let server = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        server.set_nonblocking(true)?;
        Ok(ShortCalls {
            gatekeeper,
            at_once,
            answered: 0,
            lost: Vec::new(),
            server,
            server_connections: Vec::new(),
            resolver: UdpSocket::bind((Ipv4Addr::LOCALHOST, 0))?,
            open: Vec::new(),
            next_id: 1,
        })
    }

    /// The platform's configuration of the gatekeeper.
    pub fn config(&self) -> io::Result<String> {
        let listed = Listed {
            id: "s-0".into(),
            district: "downtown".into(),
            address: self.server.local_addr()?,
            number: 0,
            draining: false,
            started_ms: 0,
        };
        let text = format!(
            r#"{{"seed":"8c1f","dns":"{}","known":{},
              "settings":{{"peersTotal":1,"period":0.005,"familyInfo":{{"release":0.3,"poolsByClass":[[0]]}},
                "limits":{{"tryLimit":3,"connectTimeout":0.5}},
                "requestClasses":[{{"name":"{CLASS}","effect":"read_like","goalTime":1.5,"hardLimit":3.0,"value":1.0}}],
                "safety":{{"cold":14.0,"coldFrom":0.3,"overloadFactor":3.0}}}}}}"#,
            self.resolver.local_addr()?,
            resolver::known(1, &[listed])
        );
        Ok(platform_file::complete(&text)?)
    }

    /// Set-ups sent so far.
    pub fn sent(&self) -> u64 {
        self.next_id - 1
    }

    /// Set-ups that wait for their answer.
    pub fn waiting(&self) -> usize {
        self.open.len()
    }

    /// One turn: as many set-ups as are missing, if `calling`; the server's answers; what callers hear.
    pub fn turn(&mut self, calling: bool) -> io::Result<()> {
        while calling && self.open.len() < self.at_once {
            self.call();
        }
        self.serve()?;
        self.hear();
        Ok(())
    }

    fn call(&mut self) {
        let id = self.next_id;
        self.next_id += 1;
        let stream = match TcpStream::connect(self.gatekeeper) {
            Ok(stream) => stream,
            Err(error) => return self.lose(id, None, Failure::Connect(error)),
        };
        let port = stream.local_addr().ok().map(|address| address.port());
        let sent = peer(stream).map_err(|error| error.to_string()).and_then(|mut caller| {
            caller.send(&set_up(CLASS, 0, id, WAIT_MS)).map_err(|error| error.to_string())?;
            Ok(caller)
        });
        match sent {
            Ok(caller) => self.open.push(Open { id, port, caller, since: Instant::now() }),
            Err(error) => self.lose(id, port, Failure::Write(error)),
        }
    }

    /// Every set-up is answered, and its call ends at once.
    fn serve(&mut self) -> io::Result<()> {
        while let Ok((stream, _)) = self.server.accept() {
            self.server_connections.push(peer(stream)?);
        }
        self.server_connections.retain_mut(|connection| {
            let mut heard = Vec::new();
            let open = connection.read(&mut heard).is_ok();
            for message in heard.iter().filter(|m| m.kind == kind::SET_UP) {
                // Where the gatekeeper has ended meanwhile, its callers tell what became of the call.
                let _ = connection.send(&answer(message.call));
                let _ = connection.send(&release(message.call, cause::NORMAL));
            }
            open
        });
        Ok(())
    }

    fn hear(&mut self) {
        for mut open in std::mem::take(&mut self.open) {
            let mut heard: Vec<Message> = Vec::new();
            let read = open.caller.read(&mut heard);
            let is_final = |m: &Message| m.call == open.id && matches!(m.kind, kind::ANSWER | kind::RELEASE);
            if heard.iter().any(is_final) {
                self.answered += 1;
            } else if let Err(error) = read {
                self.lose(open.id, open.port, Failure::Read(error.to_string()));
            } else if open.since.elapsed() > PATIENCE {
                self.lose(open.id, open.port, Failure::Unanswered);
            } else {
                self.open.push(open);
            }
        }
    }

    fn lose(&mut self, id: u64, port: Option<u16>, failure: Failure) {
        self.lost.push(Lost { id, at: unix_time(), port, failure });
    }
}
