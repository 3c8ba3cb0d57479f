//! A session server that follows the protocol page: it answers set-ups after a while, calls stand and come to their end,
//! and it sends its state on each new connection and once a second.

use std::collections::{BTreeMap, HashMap};
use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};

use crate::record::{now, Record, Timers};
use crate::wire::{self, Message};

/// Lines of each server; far more than are used.
const LINES: usize = 800;

/// What a server does with a set-up.
#[derive(Clone, Copy)]
pub struct Habits {
    /// Time until the answer, in seconds.
    pub answer_after: f64,
    /// Time for which a call stands, in seconds; an urgent one stands for 0.6 of it.
    pub hold: f64,
}

struct Call {
    connection: u64,
    stands: bool,
}

/// A set-up that arrived whole.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: f64,
    pub call: u64,
}

#[derive(Default)]
struct State {
    connections: BTreeMap<u64, TcpStream>,
    last_connection: u64,
    calls: HashMap<u64, Call>,
    /// Releases that were sent since the last connection was opened; they are sent also on the next one.
    said: Vec<Message>,
    arrivals: Vec<Arrival>,
    /// When a release by the gatekeeper arrived.
    released: HashMap<u64, f64>,
    stopped: bool,
}

#[derive(Clone)]
pub struct Server {
    pub name: String,
    pub cell: u32,
    pub address: SocketAddr,
    habits: Arc<Mutex<Habits>>,
    state: Arc<Mutex<State>>,
    record: Record,
    timers: Timers,
}

impl Server {
    pub fn start(name: &str, cell: u32, habits: Habits, record: &Record, timers: &Timers) -> Server {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().unwrap();
        let server = Server {
            name: name.to_string(),
            cell,
            address,
            habits: Arc::new(Mutex::new(habits)),
            state: Arc::default(),
            record: record.clone(),
            timers: timers.clone(),
        };
        let accepting = server.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if accepting.state.lock().unwrap().stopped {
                    return;
                }
                accepting.accept(stream);
            }
        });
        server.clone().send_states();
        server
    }

    pub fn arrivals(&self) -> Vec<Arrival> {
        self.state.lock().unwrap().arrivals.clone()
    }

    /// When the gatekeeper released a call, or gave its set-up up.
    pub fn released_at(&self, call: u64) -> Option<f64> {
        self.state.lock().unwrap().released.get(&call).copied()
    }

    /// Stops it: its connections are closed, its calls are cut, and new connections are refused.
    pub fn stop(&self) {
        let mut state = self.state.lock().unwrap();
        state.stopped = true;
        state.calls.clear();
        for stream in std::mem::take(&mut state.connections).into_values() {
            let _ = stream.shutdown(Shutdown::Both);
        }
        drop(state);
        // Wakes the thread that accepts, which ends and closes the listener.
        let _ = TcpStream::connect(self.address);
        self.record.line(format!("{} stops", self.name));
    }

    /// Ends a call that stands, as its far end has hung up.
    pub fn end_call(&self, call: u64) {
        let mut state = self.state.lock().unwrap();
        let Some(ended) = state.calls.get(&call).filter(|c| c.stands).map(|c| c.connection) else { return };
        state.calls.remove(&call);
        let release =
            Message::new(wire::RELEASE, call).with(wire::CAUSE, [16]).with(wire::REPORT, report(&state));
        state.said.push(release.clone());
        let own = state.connections.contains_key(&ended).then_some(ended);
        let connection = own.or_else(|| state.connections.keys().next_back().copied());
        self.record.line(format!("{} ends {call:016x}, on its connection {connection:?}", self.name));
        if let Some(connection) = connection {
            send(&state, connection, &release);
        }
    }

    fn accept(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut state = self.state.lock().unwrap();
        state.last_connection += 1;
        let connection = state.last_connection;
        state.connections.insert(connection, stream.try_clone().expect("a descriptor"));
        send(&state, connection, &state_message(&state));
        for release in std::mem::take(&mut state.said) {
            send(&state, connection, &release);
        }
        drop(state);
        self.record.line(format!("{} accepts its connection {connection}", self.name));
        let server = self.clone();
        std::thread::spawn(move || server.serve(connection, stream));
    }

    fn serve(&self, connection: u64, mut stream: TcpStream) {
        while let Ok(message) = Message::read(&mut stream) {
            self.receive(connection, message);
        }
        let mut state = self.state.lock().unwrap();
        state.connections.remove(&connection);
        // The set-ups open on a connection that is closed are given up; a call that stands belongs to none.
        state.calls.retain(|_, call| call.stands || call.connection != connection);
        drop(state);
        let _ = stream.shutdown(Shutdown::Both);
        self.record.line(format!("{} connection {connection} is closed", self.name));
    }

    fn receive(&self, connection: u64, message: Message) {
        let id = message.call;
        let mut state = self.state.lock().unwrap();
        match message.kind {
            wire::SET_UP => {
                let (class, number) = (message.text(wire::CLASS), message.text(wire::NUMBER));
                self.record.line(format!("{} gets set-up {id:016x} {class} {number}", self.name));
                state.arrivals.push(Arrival { at: now(), call: id });
                state.calls.insert(id, Call { connection, stands: false });
                drop(state);
                let (server, habits) = (self.clone(), *self.habits.lock().unwrap());
                let hold = if class == "valve-set" { 0.6 * habits.hold } else { habits.hold };
                self.timers.after(habits.answer_after, move || server.answer(id, hold));
            }
            wire::RELEASE => {
                self.record.line(format!("{} gets {} {id:016x}", self.name, wire::describe(&message)));
                state.released.insert(id, now());
                state.calls.remove(&id);
                send(&state, connection, &Message::new(wire::RELEASE_HEARD, id));
            }
            wire::TEST => {
                let passed = Message::new(wire::TEST_RESULT, id).with(wire::CAUSE, [1]);
                send(&state, connection, &passed.with(wire::REPORT, report(&state)));
            }
            _ => {}
        }
    }

    fn answer(&self, id: u64, hold: f64) {
        let mut state = self.state.lock().unwrap();
        let Some(call) = state.calls.get_mut(&id) else { return };
        call.stands = true;
        let connection = call.connection;
        let description = format!("session {id:016x} at {}", self.name);
        send(&state, connection, &Message::new(wire::ANSWER, id).with(wire::DESCRIPTION, description));
        drop(state);
        self.record.line(format!("{} answers {id:016x}", self.name));
        let server = self.clone();
        self.timers.after(hold, move || server.end_call(id));
    }

    fn send_states(self) {
        {
            let state = self.state.lock().unwrap();
            for connection in state.connections.keys() {
                send(&state, *connection, &state_message(&state));
            }
        }
        let timers = self.timers.clone();
        timers.after(1.0, move || self.send_states());
    }
}

fn report(state: &State) -> String {
    let used = state.calls.len().min(LINES);
    format!("free:{};size:{LINES};hold_back:0", LINES - used)
}

fn state_message(state: &State) -> Message {
    Message::new(wire::STATE, 0).with(wire::REPORT, report(state))
}

fn send(state: &State, connection: u64, message: &Message) {
    if let Some(mut stream) = state.connections.get(&connection) {
        let _ = stream.write_all(&message.encode());
    }
}
