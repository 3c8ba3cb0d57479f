//! The control socket: a Unix domain socket on which operators query reports.
//!
//! A query is one line of JSON, such as `{"ask":"crossings","span":"10s"}`. The answer is one line, `{"ok":...}` or
//! `{"error":"..."}`, after which the connection is closed. Only the owner of the socket's file may connect. All queries are
//! read-only.

use std::collections::BTreeMap;
use std::fs;
use std::io::{self, ErrorKind, Read};
use std::os::unix::fs::{FileTypeExt, PermissionsExt};
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};

use serde::{Deserialize, Serialize};
use serde_json::{json, Value};

use super::poller::{Key, Poller, Ready};

/// Limit of simultaneous connections. Further ones wait in the accept queue until one is closed.
const MAX_CONNECTIONS: usize = 4;
/// Limit of the length of a query.
const MAX_QUERY_BYTES: usize = 4096;
/// How long a connection may last, in seconds.
const MAX_CONNECTION_S: f64 = 5.0;

/// A query for a report.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(tag = "ask", rename_all = "kebab-case", deny_unknown_fields)]
pub enum Query {
    /// The gatekeeper's calls and servers.
    Status {},
    /// The counts, budgets and bending of set-ups to other districts.
    Crossings {
        /// The period that the counts cover: `total`, `10s`, `1min` or `10min`.
        span: String,
    },
    /// The members of the fleet and their states.
    Members {},
    /// The records that are replicated from each member.
    Replica {},
}

struct Client {
    stream: UnixStream,
    since: f64,
    input: Vec<u8>,
    /// The answer, and how many bytes of it are written. `None` until the query is complete.
    output: Option<(Vec<u8>, usize)>,
}

/// The listening socket and its connections.
pub struct ControlSocket {
    listener: UnixListener,
    listener_key: Key,
    paused: bool,
    path: PathBuf,
    clients: BTreeMap<Key, Client>,
}

impl ControlSocket {
    /// Listens at a path that only its owner may connect to. Replaces a socket on which nobody listens any more.
    ///
    /// # Errors
    ///
    /// Fails if another process listens at the path, if the path is another kind of file, or if a system call fails.
    pub fn listen(path: &Path, poller: &mut Poller) -> io::Result<ControlSocket> {
        match fs::symlink_metadata(path) {
            Ok(meta) if !meta.file_type().is_socket() => {
                return Err(io::Error::new(
                    ErrorKind::AlreadyExists,
                    "the path is in use by a file that is not a socket",
                ));
            }
            Ok(_) if UnixStream::connect(path).is_ok() => {
                return Err(io::Error::new(
                    ErrorKind::AddrInUse,
                    "the path is in use: another gatekeeper listens there",
                ));
            }
            _ => {}
        }
        // The socket is renamed to its path after its mode is set, so that others can't connect at any moment.
        let mut file_name = path.file_name().unwrap_or_default().to_os_string();
        file_name.push(format!(".{}", std::process::id()));
        let temporary_path = path.with_file_name(file_name);
        let _ = fs::remove_file(&temporary_path);
        let listener = UnixListener::bind(&temporary_path)?;
        let prepared = fs::set_permissions(&temporary_path, fs::Permissions::from_mode(0o600))
            .and_then(|()| listener.set_nonblocking(true))
            .and_then(|()| fs::rename(&temporary_path, path));
        if let Err(error) = prepared {
            let _ = fs::remove_file(&temporary_path);
            return Err(error);
        }
        let listener_key = poller.add(&listener, false)?;
        let (path, clients) = (path.to_path_buf(), BTreeMap::new());
        Ok(ControlSocket { listener, listener_key, paused: false, path, clients })
    }

    /// The path at which it listens.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Closes the listener and all connections, and removes the socket's file.
    pub fn close(self, poller: &Poller) {
        poller.remove(&self.listener);
        self.clients.values().for_each(|c| poller.remove(&c.stream));
        let _ = fs::remove_file(&self.path);
    }

    /// Handles an event, if it belongs to the control socket. Returns a complete query, with the key of the connection that
    /// waits for [`ControlSocket::reply`].
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
            Ok(Some(Ok(query))) => return Some((ready.key, query)),
            Ok(Some(Err(error))) => self.reply(ready.key, &json!({ "error": error }), poller),
            Err(_) => self.drop_client(ready.key, poller),
        }
        None
    }

    /// Answers a query on this connection.
    pub fn reply(&mut self, key: Key, answer: &Value, poller: &Poller) {
        if let Some(client) = self.clients.get_mut(&key) {
            client.output = Some((format!("{answer}\n").into_bytes(), 0));
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
                // No descriptor is free, or the client has closed. Waiting connections are accepted at the next
                // heartbeat.
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

    /// Closes connections that last too long, and accepts again after a pause. Called at each heartbeat of the event loop.
    pub fn on_heartbeat(&mut self, now: f64, poller: &Poller) {
        let expired = self.clients.iter().filter(|(_, c)| now - c.since >= MAX_CONNECTION_S);
        for key in expired.map(|(key, _)| *key).collect::<Vec<_>>() {
            self.drop_client(key, poller);
        }
        if self.paused && self.clients.len() < MAX_CONNECTIONS {
            self.paused = false;
            poller.set_interest(self.listener_key, &self.listener, true, false);
        }
    }
}

impl Client {
    /// Reads more input. Returns the query or what is wrong with it, once its line is complete. An error means that the
    /// connection must be closed.
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
        let Some(line) = line else { return Ok(Some(Err("the query is longer than 4096 bytes".into()))) };
        let query = serde_json::from_slice::<Query>(&self.input[..line]);
        Ok(Some(query.map_err(|error| format!("no question could be read: {error}"))))
    }

    /// Writes more of the answer. Returns whether all of it is written.
    fn write(&mut self) -> io::Result<bool> {
        let Some((bytes, written)) = &mut self.output else { return Ok(false) };
        super::output::write_remaining(&mut self.stream, bytes, written)
    }
}
