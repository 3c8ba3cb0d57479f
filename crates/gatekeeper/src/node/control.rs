//! The control socket: a Unix-domain socket on which operators ask for reports.
//!
//! A question is one line of JSON, `{"ask":"crossings","span":"10s"}`; the answer is one line,
//! `{"ok":...}` or `{"error":"..."}`, and the end of the connection. Only who owns the socket's file may
//! connect. Nothing that is asked here changes anything.

use std::collections::BTreeMap;
use std::fs;
use std::io::{self, ErrorKind, Read};
use std::os::unix::fs::{FileTypeExt, PermissionsExt};
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};

use serde::{Deserialize, Serialize};
use serde_json::{json, Value};

use super::poller::{Key, Poller, Ready};

/// Connections at once; the rest wait until one is over.
const MAX_CONNECTIONS: usize = 4;
/// Longest question, and how long a connection may last, in seconds.
const MAX_QUERY_BYTES: usize = 4096;
const MAX_CONNECTION_S: f64 = 5.0;

/// What may be asked.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(tag = "ask", rename_all = "kebab-case", deny_unknown_fields)]
pub enum Query {
    /// What the gatekeeper is, and holds.
    Status {},
    /// The account of what crosses districts.
    Crossings {
        /// `total`, `10s`, `1min` or `10min`.
        span: String,
    },
    /// Who of the fleet is alive.
    Members {},
    /// What is held of each member.
    Replica {},
}

struct Client {
    stream: UnixStream,
    since: f64,
    input: Vec<u8>,
    /// The answer and how much of it is written; none while the question is not whole.
    output: Option<(Vec<u8>, usize)>,
}

/// The socket and who is connected.
pub struct ControlSocket {
    listener: UnixListener,
    listener_key: Key,
    paused: bool,
    path: PathBuf,
    clients: BTreeMap<Key, Client>,
}

impl ControlSocket {
    /// Listens at a path, for its owner alone. A socket that nobody listens on any more is replaced; one that
    /// answers, and any other file, stays and is an error.
    pub fn listen(path: &Path, poller: &mut Poller) -> io::Result<ControlSocket> {
        match fs::symlink_metadata(path) {
            Ok(meta) if !meta.file_type().is_socket() => {
                return Err(io::Error::new(ErrorKind::AlreadyExists, "another file is there"));
            }
            Ok(_) if UnixStream::connect(path).is_ok() => {
                return Err(io::Error::new(ErrorKind::AddrInUse, "another gatekeeper listens there"));
            }
            _ => {}
        }
        // The name appears once the mode is right, so that there is no moment at which others may connect.
        let mut name = path.file_name().unwrap_or_default().to_os_string();
        name.push(format!(".{}", std::process::id()));
        let new = path.with_file_name(name);
        let _ = fs::remove_file(&new);
        let listener = UnixListener::bind(&new)?;
        let ready = fs::set_permissions(&new, fs::Permissions::from_mode(0o600))
            .and_then(|()| listener.set_nonblocking(true))
            .and_then(|()| fs::rename(&new, path));
        if let Err(error) = ready {
            let _ = fs::remove_file(&new);
            return Err(error);
        }
        let listener_key = poller.add(&listener, false)?;
        let (path, clients) = (path.to_path_buf(), BTreeMap::new());
        Ok(ControlSocket { listener, listener_key, paused: false, path, clients })
    }

    /// Where it listens.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Stops, and takes its file away.
    pub fn close(self, poller: &Poller) {
        poller.remove(&self.listener);
        self.clients.values().for_each(|c| poller.remove(&c.stream));
        let _ = fs::remove_file(&self.path);
    }

    /// Takes what is ready, if it is the control socket's. A whole question is returned, with the connection
    /// that waits for [`ControlSocket::reply`].
    pub fn ready(&mut self, now: f64, ready: Ready, poller: &mut Poller) -> Option<(Key, Query)> {
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
            Ok(None) => {}
            Ok(Some(Ok(question))) => return Some((ready.key, question)),
            Ok(Some(Err(told))) => self.reply(ready.key, &json!({ "error": told }), poller),
            Err(_) => self.drop_client(ready.key, poller),
        }
        None
    }

    /// Answers a question.
    pub fn reply(&mut self, key: Key, told: &Value, poller: &Poller) {
        if let Some(client) = self.clients.get_mut(&key) {
            client.output = Some((format!("{told}\n").into_bytes(), 0));
            self.write(key, poller);
        }
    }

    fn write(&mut self, key: Key, poller: &Poller) {
        let Some(client) = self.clients.get_mut(&key) else { return };
        match client.write() {
            // What it still sends is nobody's business, and would make it ready again and again.
            Ok(false) => poller.set_interest(key, &client.stream, false, true),
            Ok(true) | Err(_) => self.drop_client(key, poller),
        }
    }

    fn accept(&mut self, now: f64, poller: &mut Poller) {
        while self.clients.len() < MAX_CONNECTIONS {
            let accepted = self.listener.accept().and_then(|(stream, _)| {
                stream.set_nonblocking(true)?;
                Ok((poller.add(&stream, false)?, stream))
            });
            match accepted {
                Ok((key, stream)) => {
                    let client = Client { stream, since: now, input: Vec::new(), output: None };
                    self.clients.insert(key, client);
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                // Descriptors are short, or the peer has gone: those who wait are taken at the next beat.
                Err(_) => break,
            }
        }
        self.paused = true;
        poller.set_interest(self.listener_key, &self.listener, false, false);
    }

    fn drop_client(&mut self, key: Key, poller: &Poller) {
        if let Some(client) = self.clients.remove(&key) {
            poller.remove(&client.stream);
        }
    }

    /// Ends connections that last too long, and carries on after a pause. Called now and then.
    pub fn beat(&mut self, now: f64, poller: &Poller) {
        let old = self.clients.iter().filter(|(_, c)| now - c.since >= MAX_CONNECTION_S);
        for key in old.map(|(key, _)| *key).collect::<Vec<_>>() {
            self.drop_client(key, poller);
        }
        if self.paused && self.clients.len() < MAX_CONNECTIONS {
            self.paused = false;
            poller.set_interest(self.listener_key, &self.listener, true, false);
        }
    }
}

impl Client {
    /// Reads on, to a question or what is wrong with it; an error ends the connection.
    fn read(&mut self) -> io::Result<Option<Result<Query, String>>> {
        let mut chunk = [0; MAX_QUERY_BYTES];
        let ended = match self.stream.read(&mut chunk) {
            Ok(n) => {
                self.input.extend(&chunk[..n]);
                n == 0
            }
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => false,
            Err(error) => return Err(error),
        };
        let line = self.input.iter().position(|b| *b == b'\n');
        if line.is_none() && ended {
            return Err(ErrorKind::UnexpectedEof.into());
        }
        if line.is_none() && self.input.len() < MAX_QUERY_BYTES {
            return Ok(None);
        }
        let Some(line) = line else { return Ok(Some(Err("a question of 4096 bytes and more".into()))) };
        let question = serde_json::from_slice::<Query>(&self.input[..line]);
        Ok(Some(question.map_err(|error| format!("no question: {error}"))))
    }

    /// Writes on; returns whether all is written.
    fn write(&mut self) -> io::Result<bool> {
        let Some((bytes, done)) = &mut self.output else { return Ok(false) };
        super::output::write_remaining(&mut self.stream, bytes, done)
    }
}
