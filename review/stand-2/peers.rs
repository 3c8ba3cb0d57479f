//! Stand-ins for session servers, the resolver and callers. They do what the protocol page says a sound one does.

use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::net::{SocketAddrV4, TcpListener, TcpStream, UdpSocket};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::Duration;

use crate::program::{now, pause, Record};
use crate::wire::{cause, code, dns_answer, kind, Listed, Message};

/// Time between two looks at what is due, in seconds.
const LOOK: f64 = 0.002;
/// Lines of a session server.
const LINES: usize = 4000;

fn lock<T>(state: &Mutex<T>) -> MutexGuard<'_, T> {
    state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

fn v4(address: std::net::SocketAddr) -> io::Result<SocketAddrV4> {
    match address {
        std::net::SocketAddr::V4(address) => Ok(address),
        std::net::SocketAddr::V6(_) => Err(io::Error::other("no IPv4 address")),
    }
}

/// Reads messages until the connection ends.
fn read_messages(mut stream: TcpStream, mut take: impl FnMut(Message)) -> String {
    let (mut input, mut chunk) = (Vec::new(), [0; 16 * 1024]);
    loop {
        match stream.read(&mut chunk) {
            Ok(0) => return "closed".into(),
            Ok(n) => input.extend(&chunk[..n]),
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(error) => return error.to_string(),
        }
        loop {
            match Message::take(&mut input) {
                Ok(Some(message)) => take(message),
                Ok(None) => break,
                Err(error) => return error,
            }
        }
    }
}

/// A set-up that reached a session server.
#[derive(Clone, Debug)]
pub struct SetUpSeen {
    pub at: f64,
    pub call: u64,
    pub class: String,
}

#[derive(Default)]
struct ServerState {
    last_connection: u64,
    connections: BTreeMap<u64, TcpStream>,
    /// Calls that stand: the connection of the set-up, and when the call comes to its end by itself.
    standing: BTreeMap<u64, (u64, f64)>,
    /// Ends that are said again on the next connection.
    said: Vec<Message>,
    seen: Vec<SetUpSeen>,
    /// Set-ups that it can't use: it answers them with `error`.
    useless: Option<std::ops::Range<u64>>,
    /// When calls that stood came to their end here.
    ended: BTreeMap<u64, f64>,
    /// How long it works on a set-up, in seconds.
    delay: f64,
    /// Set-ups being worked on: when they are done, their calls and connections.
    working: Vec<(f64, u64, u64)>,
}

/// A session server that answers each set-up at once.
pub struct Server {
    pub name: String,
    pub address: SocketAddrV4,
    /// How long its calls stand, in seconds.
    pub hold: f64,
    record: Arc<Record>,
    state: Mutex<ServerState>,
}

impl Server {
    pub fn open(name: &str, hold: f64, record: &Arc<Record>) -> io::Result<Arc<Server>> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let server = Arc::new(Server {
            name: name.into(),
            address: v4(listener.local_addr()?)?,
            hold,
            record: Arc::clone(record),
            state: Mutex::default(),
        });
        let accepting = Arc::clone(&server);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let serving = Arc::clone(&accepting);
                thread::spawn(move || serving.serve(stream));
            }
        });
        let ending = Arc::clone(&server);
        thread::spawn(move || loop {
            ending.end_due();
            pause(LOOK);
        });
        let telling = Arc::clone(&server);
        thread::spawn(move || loop {
            pause(1.0);
            telling.tell_state();
        });
        Ok(server)
    }

    /// From now on, works on each set-up for so long, in seconds.
    pub fn set_delay(&self, delay: f64) {
        lock(&self.state).delay = delay;
    }

    /// Answers set-ups of these ids with `error`, as what it can't use.
    pub fn refuse_with_error(&self, calls: std::ops::Range<u64>) {
        lock(&self.state).useless = Some(calls);
    }

    /// When a call that stood here came to its end.
    pub fn ended_at(&self, call: u64) -> Option<f64> {
        lock(&self.state).ended.get(&call).copied()
    }

    /// Its process dies: its calls are cut.
    pub fn die(&self) {
        let mut state = lock(&self.state);
        state.standing.clear();
        state.working.clear();
        state.said.clear();
        self.record.line(format!("{}: the process dies, its calls are cut", self.name));
    }

    /// The set-ups that reached it.
    pub fn seen(&self) -> Vec<SetUpSeen> {
        lock(&self.state).seen.clone()
    }

    /// The calls that stand here.
    pub fn standing(&self) -> Vec<u64> {
        lock(&self.state).standing.keys().copied().collect()
    }

    fn report(state: &ServerState) -> String {
        format!("x0:{};x1:{LINES};eps:0", LINES.saturating_sub(state.standing.len()))
    }

    fn tell_state(&self) {
        let state = lock(&self.state);
        let message = Message::new(kind::STATE, 0).with(code::REPORT, Server::report(&state));
        for mut stream in state.connections.values() {
            let _ = stream.write_all(&message.encode());
        }
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(writer) = stream.try_clone() else { return };
        let key = {
            let mut state = lock(&self.state);
            state.last_connection += 1;
            let key = state.last_connection;
            let first = Message::new(kind::STATE, 0).with(code::REPORT, Server::report(&state));
            let mut bytes = first.encode();
            std::mem::take(&mut state.said).iter().for_each(|end| bytes.extend(end.encode()));
            let _ = (&writer).write_all(&bytes);
            state.connections.insert(key, writer);
            key
        };
        let why = read_messages(stream, |message| self.receive(key, message));
        let mut state = lock(&self.state);
        state.connections.remove(&key);
        // The set-ups open on it are given up; what stands belongs to no connection.
        state.working.retain(|(_, _, of)| *of != key);
        drop(state);
        self.record.line(format!("{}: connection {key} ended: {why}", self.name));
    }

    fn receive(&self, key: u64, message: Message) {
        let (at, call) = (now(), message.call);
        let mut state = lock(&self.state);
        match message.kind {
            kind::SET_UP => {
                let class =
                    String::from_utf8_lossy(message.get(code::CLASS).unwrap_or_default()).into_owned();
                state.seen.push(SetUpSeen { at, call, class: class.clone() });
                self.record.line(format!("{}: set-up {call:016x} of {class}", self.name));
                if state.useless.as_ref().is_some_and(|calls| calls.contains(&call)) {
                    if let Some(mut stream) = state.connections.get(&key) {
                        let _ = stream.write_all(&Message::release(call, cause::ERROR).encode());
                    }
                    return;
                }
                match state.delay > 0.0 {
                    true => {
                        let done = at + state.delay;
                        state.working.push((done, call, key));
                    }
                    false => self.answer(&mut state, call, key),
                }
            }
            kind::RELEASE => {
                state.working.retain(|(_, working, _)| *working != call);
                let stood = state.standing.remove(&call).is_some();
                if let Some(mut stream) = state.connections.get(&key) {
                    let _ = stream.write_all(&Message::new(kind::RELEASE_HEARD, call).encode());
                }
                if stood {
                    self.record
                        .line(format!("{}: release {call:016x}: the call stood and is over", self.name));
                }
            }
            kind::TEST => {
                let passed = Message::new(kind::TEST_RESULT, call).with(code::CAUSE, [1]);
                if let Some(mut stream) = state.connections.get(&key) {
                    let _ = stream.write_all(&passed.with(code::REPORT, Server::report(&state)).encode());
                }
            }
            _ => {}
        }
    }

    /// Answers a set-up: the call stands from now on.
    fn answer(&self, state: &mut ServerState, call: u64, key: u64) {
        let Some(mut stream) = state.connections.get(&key) else { return };
        let description = format!("{}:{call:016x}", self.name);
        let _ =
            stream.write_all(&Message::new(kind::ANSWER, call).with(code::DESCRIPTION, description).encode());
        state.standing.insert(call, (key, now() + self.hold));
        self.record.line(format!("{}: answered {call:016x}, which stands", self.name));
    }

    /// Ends the calls whose time has come: told on the connection of the set-up, else on any, and on the next to be opened.
    fn end_due(&self) {
        let at = now();
        let mut state = lock(&self.state);
        let (done, working) = std::mem::take(&mut state.working).into_iter().partition(|work| work.0 <= at);
        state.working = working;
        for (_, call, key) in Vec::<(f64, u64, u64)>::from_iter::<Vec<_>>(done) {
            self.answer(&mut state, call, key);
        }
        let due: Vec<(u64, u64)> =
            state.standing.iter().filter(|(_, s)| s.1 <= at).map(|(call, s)| (*call, s.0)).collect();
        for (call, key) in due {
            state.standing.remove(&call);
            state.ended.insert(call, at);
            let end = Message::release(call, cause::NORMAL).with(code::REPORT, Server::report(&state));
            let stream = state.connections.get(&key).or_else(|| state.connections.values().next_back());
            if let Some(mut stream) = stream {
                let _ = stream.write_all(&end.encode());
            }
            state.said.push(end);
            self.record.line(format!("{}: call {call:016x} has come to its end", self.name));
        }
    }
}

#[derive(Default)]
struct ResolverState {
    position: u32,
    list: Vec<Listed>,
    older: Option<(u32, Vec<Listed>)>,
    /// How long answers hold the older list after the first one with the newer, in seconds.
    stale_for: f64,
    stale_until: f64,
    /// After the first answer with a new event, none comes for so long, in seconds; and until when that is.
    lose_for: f64,
    lose_until: f64,
    /// The next answers hold the list of before a restart: its number, and how many.
    of_before: Option<(u32, u32)>,
    /// When the first answer with each position was sent.
    told: BTreeMap<u32, f64>,
}

/// The resolver: answers each query at once.
pub struct Resolver {
    pub address: SocketAddrV4,
    state: Mutex<ResolverState>,
}

impl Resolver {
    pub fn open(list: Vec<Listed>, record: &Arc<Record>) -> io::Result<Arc<Resolver>> {
        let socket = UdpSocket::bind("127.0.0.1:0")?;
        let address = v4(socket.local_addr()?)?;
        let state = Mutex::new(ResolverState { position: 1, list, ..ResolverState::default() });
        let resolver = Arc::new(Resolver { address, state });
        let (answering, record) = (Arc::clone(&resolver), Arc::clone(record));
        thread::spawn(move || {
            let mut query = [0; 1024];
            while let Ok((n, from)) = socket.recv_from(&mut query) {
                if now() < lock(&answering.state).lose_until {
                    continue;
                }
                let (position, list) = answering.next_answer();
                if let Some(bytes) = dns_answer(&query[..n], position, &list) {
                    let _ = socket.send_to(&bytes, from);
                    let at = now();
                    let mut state = lock(&answering.state);
                    state.told.entry(position).or_insert(at);
                    drop(state);
                    record.line(format!("resolver {address}: answered with the list of event {position}"));
                }
            }
        });
        Ok(resolver)
    }

    fn next_answer(&self) -> (u32, Vec<Listed>) {
        let mut state = lock(&self.state);
        let at = now();
        if let Some((position, left)) = state.of_before.take().filter(|(_, left)| *left > 0) {
            state.of_before = Some((position, left - 1));
            return (position, state.list.clone());
        }
        match &state.older {
            Some((position, list)) if state.told.contains_key(&state.position) && at < state.stale_until => {
                (*position, list.clone())
            }
            _ => {
                if !state.told.contains_key(&state.position) {
                    state.stale_until = at + state.stale_for;
                    state.lose_until = at + std::mem::take(&mut state.lose_for);
                }
                (state.position, state.list.clone())
            }
        }
    }

    /// The next event. After the first answer that holds it, answers hold the older list for `stale_for` seconds.
    pub fn change(&self, list: Vec<Listed>, stale_for: f64) -> u32 {
        let mut state = lock(&self.state);
        let before = std::mem::replace(&mut state.list, list);
        state.older = Some((state.position, before));
        state.position += 1;
        state.stale_for = stale_for;
        state.position
    }

    /// After the first answer that holds the next event, none comes for so long, in seconds.
    pub fn lose_after_next(&self, seconds: f64) {
        lock(&self.state).lose_for = seconds;
    }

    /// Counts on from this number.
    pub fn set_position(&self, position: u32) {
        lock(&self.state).position = position;
    }

    /// The gatekeeper starts anew, and events are counted from 1 again; the next answers hold the number of before.
    pub fn restart(&self, of_before: Option<(u32, u32)>) {
        let mut state = lock(&self.state);
        (state.position, state.of_before, state.older) = (1, of_before, None);
        state.told.clear();
    }

    /// When an event was told, if an answer that holds it was sent.
    pub fn told_at(&self, position: u32) -> Option<f64> {
        lock(&self.state).told.get(&position).copied()
    }
}

/// What a caller was sent: when, and the message.
pub type Replies = BTreeMap<u64, Vec<(f64, Message)>>;

/// One connection of callers to the gatekeeper.
pub struct Caller {
    stream: Mutex<TcpStream>,
    replies: Arc<Mutex<Replies>>,
    ended: Arc<Mutex<Option<f64>>>,
}

impl Caller {
    pub fn connect(address: SocketAddrV4, record: &Arc<Record>) -> io::Result<Caller> {
        let stream = TcpStream::connect(address)?;
        stream.set_nodelay(true)?;
        stream.set_write_timeout(Some(Duration::from_secs(5)))?;
        let (replies, ended) = (Arc::<Mutex<Replies>>::default(), Arc::<Mutex<Option<f64>>>::default());
        let (reading, taken, closed, record) =
            (stream.try_clone()?, Arc::clone(&replies), Arc::clone(&ended), Arc::clone(record));
        thread::spawn(move || {
            let why = read_messages(reading, |message| {
                if message.kind != kind::TEST_RESULT {
                    let cause = message.cause().map_or(String::new(), |cause| format!(", cause {cause}"));
                    record
                        .line(format!("callers: got type {}{cause} for {:016x}", message.kind, message.call));
                }
                lock(&taken).entry(message.call).or_default().push((now(), message));
            });
            record.line(format!("callers: connection ended: {why}"));
            *lock(&closed) = Some(now());
        });
        Ok(Caller { stream: Mutex::new(stream), replies, ended })
    }

    /// Waits until the gatekeeper passes a test, on a connection of its own.
    pub fn wait_until_ready(address: SocketAddrV4, record: &Arc<Record>) -> io::Result<()> {
        for _ in 0..500 {
            if let Ok(caller) = Caller::connect(address, record) {
                caller.send(&Message::new(kind::TEST, 1).with(code::CAUSE, [0]))?;
                for _ in 0..50 {
                    if !caller.replies(1).is_empty() {
                        return Ok(());
                    }
                    pause(0.01);
                }
            }
            pause(0.02);
        }
        Err(io::Error::other("the gatekeeper passes no test"))
    }

    pub fn send(&self, message: &Message) -> io::Result<()> {
        lock(&self.stream).write_all(&message.encode())
    }

    /// Sends a set-up; `wait_ms` is how long the caller waits.
    pub fn set_up(
        &self,
        record: &Record,
        call: u64,
        class: &str,
        first_choice: u32,
        wait_ms: u32,
    ) -> io::Result<()> {
        self.set_ups(record, &[(call, class)], first_choice, wait_ms)
    }

    /// Sends several set-ups that come at the same time.
    pub fn set_ups(
        &self,
        record: &Record,
        calls: &[(u64, &str)],
        first_choice: u32,
        wait_ms: u32,
    ) -> io::Result<()> {
        let mut bytes = Vec::new();
        for (call, class) in calls {
            record.line(format!("callers: set-up {call:016x} of {class}, first choice {first_choice}"));
            let set_up = Message::new(kind::SET_UP, *call)
                .with(code::CLASS, *class)
                .with(code::WAIT, wait_ms.to_string())
                .with(code::NUMBER, format!("{call:016x}"))
                .with(code::FIGURES, format!("dest:{first_choice};width:1;via:-1"))
                .with(code::DESCRIPTION, format!("offer of {call:016x}"));
            bytes.extend(set_up.encode());
        }
        lock(&self.stream).write_all(&bytes)
    }

    /// Closes the connection.
    pub fn close(&self) {
        let _ = lock(&self.stream).shutdown(std::net::Shutdown::Both);
    }

    /// What came for a call.
    pub fn replies(&self, call: u64) -> Vec<(f64, Message)> {
        lock(&self.replies).get(&call).cloned().unwrap_or_default()
    }

    /// When the caller was told that its call is over, and the cause.
    pub fn told_over(&self, call: u64) -> Option<(f64, u8)> {
        let release =
            |(when, m): &(f64, Message)| Some((*when, m.cause().filter(|_| m.kind == kind::RELEASE)?));
        self.replies(call).iter().find_map(release)
    }

    /// Whether the call was answered: it stands, or stood.
    pub fn stood(&self, call: u64) -> bool {
        self.replies(call).iter().any(|(_, message)| message.kind == kind::ANSWER)
    }

    /// When the connection ended, if it has.
    pub fn ended_at(&self) -> Option<f64> {
        *lock(&self.ended)
    }
}
