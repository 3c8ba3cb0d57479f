//! The callers' side: the listener, the callers' connections, and what is said on them.

use std::collections::{BTreeMap, VecDeque};
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, TcpListener, TcpStream};

use super::calls::{Calls, Content, NotTaken, Origin, Reply, Request};
use super::connection::{Connection, Over};
use super::message::{cause, code, kind, Message};
use super::poller::{Key, Ready, Watch};

/// Releases kept for callers while none is connected.
const MOST_OWED: usize = 4096;
/// For how long a caller is to stay away from a gatekeeper that holds too much, in seconds.
const CROWDED_WAIT: f64 = 1.0;
/// The longest wait that a set-up may name, in seconds.
const LONGEST_WAIT: f64 = 3600.0;

struct Client {
    connection: Connection<TcpStream>,
    /// Watched for writing too.
    writing: bool,
}

/// All callers.
pub struct Clients {
    classes: Vec<String>,
    listener: Option<TcpListener>,
    listener_key: Key,
    /// Not accepting for the moment, for want of descriptors.
    paused: bool,
    most: usize,
    connections: BTreeMap<Key, Client>,
    /// Releases of calls that stood, for which there was no connection.
    owed: VecDeque<Message>,
}

impl Clients {
    /// Listens. At most `most` connections are held at once.
    pub fn listen(
        address: SocketAddr,
        most: usize,
        classes: Vec<String>,
        watch: &mut Watch,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let listener_key = watch.add(&listener, false)?;
        let (listener, connections) = (Some(listener), BTreeMap::new());
        let owed = VecDeque::new();
        Ok(Clients { classes, listener, listener_key, paused: false, most, connections, owed })
    }

    /// Where it listens.
    #[cfg(test)]
    pub fn address(&self) -> Option<SocketAddr> {
        self.listener.as_ref()?.local_addr().ok()
    }

    /// Takes no further connections.
    pub fn stop_listening(&mut self, watch: &Watch) {
        if let Some(listener) = self.listener.take() {
            watch.remove(&listener);
        }
    }

    /// Carries on after a pause. Called now and then.
    pub fn beat(&mut self, watch: &Watch) {
        if let (true, Some(listener)) = (self.paused, &self.listener) {
            self.paused = false;
            watch.set(self.listener_key, listener, true, false);
        }
    }

    /// Takes what is ready, if it is a caller's.
    pub fn ready(&mut self, now: f64, ready: Ready, watch: &mut Watch, calls: &mut Calls) {
        if ready.key == self.listener_key {
            return self.accept(watch);
        }
        let Some(client) = self.connections.get_mut(&ready.key) else { return };
        if ready.writable {
            let end = client.connection.flush();
            self.settle(ready.key, end, watch, calls);
        }
        let Some(client) = self.connections.get_mut(&ready.key) else { return };
        if ready.readable {
            let mut messages = Vec::new();
            let end = client.connection.read(&mut messages);
            for message in messages {
                self.heard(now, ready.key, &message, watch, calls);
            }
            self.settle(ready.key, end, watch, calls);
        }
    }

    fn accept(&mut self, watch: &mut Watch) {
        while let Some(listener) = &self.listener {
            let accepted = match self.connections.len() < self.most {
                true => listener.accept(),
                false => Err(io::Error::other("as many callers are connected as may be")),
            };
            let error = match accepted.and_then(|(stream, _)| self.admit(stream, watch)) {
                Ok(()) => continue,
                Err(error) => error,
            };
            match error.kind() {
                ErrorKind::WouldBlock => return,
                // The caller went away again.
                ErrorKind::Interrupted | ErrorKind::ConnectionAborted | ErrorKind::ConnectionReset => {}
                // Guards against running out of descriptors: level-triggered, the listener would be
                // ready again at once, for ever. Those who wait are taken at the next beat.
                _ => {
                    log::debug!("not accepting for a moment: {error}");
                    if let Some(listener) = &self.listener {
                        watch.set(self.listener_key, listener, false, false);
                    }
                    self.paused = true;
                    return;
                }
            }
        }
    }

    fn admit(&mut self, stream: TcpStream, watch: &mut Watch) -> io::Result<()> {
        stream.set_nonblocking(true)?;
        stream.set_nodelay(true)?;
        let key = watch.add(&stream, false)?;
        self.connections.insert(key, Client { connection: Connection::new(stream), writing: false });
        for message in std::mem::take(&mut self.owed) {
            self.say(key, message, watch);
        }
        Ok(())
    }

    fn heard(&mut self, now: f64, key: Key, message: &Message, watch: &mut Watch, calls: &mut Calls) {
        match message.kind {
            kind::SET_UP => {
                let refusal = match request(message, &self.classes) {
                    Err(cause) => Message::new(kind::RELEASE, message.call).caused(cause),
                    Ok(request) => match calls.offer(now, key, request) {
                        Ok(()) | Err(NotTaken::Known) => return,
                        Err(NotTaken::Crowded) => encode(message.call, Reply::Refused(CROWDED_WAIT)),
                    },
                };
                log::debug!("set-up {:016x} not taken, cause {:?}", message.call, refusal.cause());
                self.say(key, refusal, watch);
            }
            kind::RELEASE => calls.caller_release(message.call),
            kind::TEST => self.say(key, Message::new(kind::TEST_RESULT, message.call).caused(1), watch),
            _ => {}
        }
    }

    /// Tells a caller what became of a call.
    pub fn reply(&mut self, origin: Origin, id: u64, reply: Reply, watch: &Watch) {
        let over = matches!(reply, Reply::Over { .. });
        let message = encode(id, reply);
        if self.connections.contains_key(&origin) {
            return self.say(origin, message, watch);
        }
        // What stood belongs to no connection; the newest is the least likely to be closing. Before
        // that, a caller whose connection is gone has given its call up.
        if let (true, newest) = (over, self.connections.keys().next_back().copied()) {
            match newest {
                Some(key) => self.say(key, message, watch),
                None if self.owed.len() < MOST_OWED => self.owed.push_back(message),
                None => log::debug!("no caller is connected; the end of a call is dropped"),
            }
        }
    }

    fn say(&mut self, key: Key, message: Message, watch: &Watch) {
        let Some(client) = self.connections.get_mut(&key) else { return };
        match client.connection.send(&message) {
            Ok(_) => {}
            // Nobody reads there: shut, it is found ready with its end, in its turn.
            Err(Over::Stuck) => drop(client.connection.stream().shutdown(std::net::Shutdown::Both)),
            // So is a broken one.
            Err(error) => log::debug!("caller {key}: {error}"),
        }
        client.watch(key, watch);
    }

    fn settle(&mut self, key: Key, end: Result<(), Over>, watch: &Watch, calls: &mut Calls) {
        let Some(client) = self.connections.get_mut(&key) else { return };
        match end {
            Ok(()) => client.watch(key, watch),
            Err(error) => {
                log::debug!("caller {key}: {error}");
                if let Some(client) = self.connections.remove(&key) {
                    watch.remove(client.connection.stream());
                }
                calls.origin_lost(key);
            }
        }
    }
}

impl Client {
    fn watch(&mut self, key: Key, watch: &Watch) {
        let writing = self.connection.blocked();
        if writing != self.writing {
            self.writing = writing;
            watch.set(key, self.connection.stream(), true, writing);
        }
    }
}

/// Reads a set-up; what is wrong with it is told by the cause of its release.
fn request(message: &Message, classes: &[String]) -> Result<Request, u8> {
    let field = |code| message.bytes(code).ok_or(cause::MISSING_PARAMETER);
    let (class, wait) = (field(code::CLASS)?, field(code::WAIT)?);
    let (number, figures) = (field(code::NUMBER)?, field(code::FIGURES)?);
    let parsed = || {
        let text = |bytes| std::str::from_utf8(bytes).ok();
        let class = classes.iter().position(|c| c.as_bytes() == class)?;
        let wait = text(wait)?.trim().parse::<f64>().ok()? / 1000.0;
        let dialled = u64::from_str_radix(text(number)?.trim(), 16).ok()?;
        let first = text(figures)?.split(';').find_map(|f| f.trim().strip_prefix("dest:"))?;
        let first = first.trim().parse::<f64>().ok()?;
        let sound = (0.0..=LONGEST_WAIT).contains(&wait) && (0.0..=f64::from(u32::MAX)).contains(&first);
        let description = message.bytes(code::DESCRIPTION).map(<[u8]>::to_vec);
        let content = Content { number: number.to_vec(), description };
        let request = Request { id: message.call, class, wait, dialled, first_choice: first as u32, content };
        sound.then_some(request)
    };
    parsed().ok_or(cause::INVALID_PARAMETER)
}

fn encode(id: u64, reply: Reply) -> Message {
    let release = Message::new(kind::RELEASE, id);
    match reply {
        Reply::Stands(None) => Message::new(kind::ANSWER, id),
        Reply::Stands(Some(description)) => {
            Message::new(kind::ANSWER, id).with(code::DESCRIPTION, description)
        }
        Reply::Refused(after) => {
            let after = format!("{:.0}", (after * 1000.0).max(0.0));
            release.caused(cause::CONGESTION).with(code::RETRY_AFTER, after)
        }
        Reply::Failed => release.caused(cause::TEMPORARY_FAILURE),
        Reply::Over { cut: false } => release.caused(cause::NORMAL),
        Reply::Over { cut: true } => release.caused(cause::TEMPORARY_FAILURE),
    }
}
