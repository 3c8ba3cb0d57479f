//! A proxy on the way from the gatekeeper to a session server: it passes everything on, and on demand drops the next
//! answer, resets its connections, lets no new one come up, or refuses new ones.

use std::collections::BTreeSet;
use std::ffi::{c_int, c_void};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, SocketAddrV4, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::Duration;

use crate::program::{pause, Record};
use crate::wire::{kind, Message};

/// Most connections that fill the listener's queue, so that no further one comes up.
const MAX_FILLERS: usize = 800;
/// A connection to a listener whose queue is full does not come up; this is waited for one that does, in milliseconds.
const FILL_WAIT_MS: u64 = 60;

extern "C" {
    fn setsockopt(socket: c_int, level: c_int, name: c_int, value: *const c_void, length: u32) -> c_int;
}

/// Closes a connection with a reset, as a network does that loses it.
fn reset(stream: &TcpStream) {
    const SOL_SOCKET: c_int = 1;
    const SO_LINGER: c_int = 13;
    let linger: [c_int; 2] = [1, 0];
    // SAFETY: the value is two integers, as `struct linger` has them, and lives through the call.
    unsafe {
        setsockopt(
            stream.as_raw_fd(),
            SOL_SOCKET,
            SO_LINGER,
            linger.as_ptr().cast(),
            size_of_val(&linger) as u32,
        );
    }
}

#[derive(Default)]
struct State {
    listener: Option<TcpListener>,
    /// Accepts nothing.
    held: bool,
    fillers: Vec<TcpStream>,
    filler_ports: BTreeSet<u16>,
    last: u64,
    /// The gatekeeper's connections and the server's for each.
    pairs: Vec<(u64, TcpStream, TcpStream)>,
    /// The next answer is dropped, with its connection; then no connection comes up for so long, in seconds.
    drop_answer: Option<f64>,
    /// The call whose answer was dropped.
    dropped: Option<u64>,
}

/// The proxy.
pub struct Proxy {
    pub address: SocketAddrV4,
    target: Mutex<SocketAddrV4>,
    record: Arc<Record>,
    state: Mutex<State>,
}

fn lock<T>(state: &Mutex<T>) -> MutexGuard<'_, T> {
    state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

impl Proxy {
    pub fn open(target: SocketAddrV4, record: &Arc<Record>) -> io::Result<Arc<Proxy>> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        listener.set_nonblocking(true)?;
        let SocketAddr::V4(address) = listener.local_addr()? else {
            return Err(io::Error::other("no IPv4 address"));
        };
        let state = Mutex::new(State { listener: Some(listener), ..State::default() });
        let proxy =
            Arc::new(Proxy { address, target: Mutex::new(target), record: Arc::clone(record), state });
        let accepting = Arc::clone(&proxy);
        thread::spawn(move || loop {
            accepting.accept();
            pause(0.001);
        });
        Ok(proxy)
    }

    fn accept(self: &Arc<Self>) {
        let mut state = lock(&self.state);
        if state.held {
            return;
        }
        while let Some(Ok((stream, from))) = state.listener.as_ref().map(TcpListener::accept) {
            if state.filler_ports.remove(&from.port()) {
                continue;
            }
            let Ok(server) = TcpStream::connect(*lock(&self.target)) else { continue };
            let both = || Ok::<_, io::Error>((stream.try_clone()?, server.try_clone()?));
            let _ = (stream.set_nonblocking(false), stream.set_nodelay(true), server.set_nodelay(true));
            let (Ok((a, b)), Ok((c, d))) = (both(), both()) else { continue };
            state.last += 1;
            let key = state.last;
            state.pairs.push((key, a, b));
            self.record.line(format!("proxy: connection {key} of the gatekeeper is up"));
            let (up, down) = (Arc::clone(self), Arc::clone(self));
            let (c2, d2) = (stream, server);
            thread::spawn(move || up.pass_on(key, c, d));
            thread::spawn(move || down.pass_back(key, d2, c2));
        }
    }

    fn forget(&self, key: u64) {
        let mut state = lock(&self.state);
        if let Some(at) = state.pairs.iter().position(|pair| pair.0 == key) {
            let (_, gatekeeper, server) = state.pairs.remove(at);
            let _ = gatekeeper.shutdown(std::net::Shutdown::Both);
            let _ = server.shutdown(std::net::Shutdown::Both);
        }
    }

    fn pass_on(&self, key: u64, mut gatekeeper: TcpStream, mut server: TcpStream) {
        let mut chunk = [0; 16 * 1024];
        while let Ok(n) = gatekeeper.read(&mut chunk) {
            if n == 0 || server.write_all(&chunk[..n]).is_err() {
                break;
            }
        }
        self.forget(key);
    }

    fn pass_back(&self, key: u64, mut server: TcpStream, mut gatekeeper: TcpStream) {
        let (mut input, mut chunk) = (Vec::new(), [0; 16 * 1024]);
        while let Ok(n) = server.read(&mut chunk) {
            if n == 0 {
                break;
            }
            input.extend(&chunk[..n]);
            while let Ok(Some(message)) = Message::take(&mut input) {
                if message.kind == kind::ANSWER {
                    let wanted = lock(&self.state).drop_answer.take();
                    if let Some(seconds) = wanted {
                        return self.lose(message.call, seconds, gatekeeper);
                    }
                }
                if gatekeeper.write_all(&message.encode()).is_err() {
                    break;
                }
            }
        }
        self.forget(key);
    }

    /// Loses an answer: all connections are reset, and no new one comes up for a while.
    fn lose(&self, call: u64, seconds: f64, gatekeeper: TcpStream) {
        if seconds > 0.0 {
            self.hold();
        }
        self.record.line(format!("proxy: the answer of {call:016x} is lost, the connections are reset"));
        self.reset_all();
        // The last copy of the socket closes it.
        drop(gatekeeper);
        lock(&self.state).dropped = Some(call);
        if seconds > 0.0 {
            pause(seconds);
            self.release();
        }
    }

    /// Drops the next answer and resets its connection; after that no connection comes up for `seconds`.
    pub fn lose_next_answer(&self, seconds: f64) {
        lock(&self.state).drop_answer = Some(seconds);
    }

    /// The call whose answer was lost.
    pub fn lost(&self) -> Option<u64> {
        lock(&self.state).dropped
    }

    /// From now on no connection comes up: nothing is accepted, and the listener's queue is full.
    fn hold(&self) {
        let mut state = lock(&self.state);
        state.held = true;
        while state.fillers.len() < MAX_FILLERS {
            match TcpStream::connect_timeout(&self.address.into(), Duration::from_millis(FILL_WAIT_MS)) {
                Ok(filler) => {
                    if let Ok(address) = filler.local_addr() {
                        state.filler_ports.insert(address.port());
                    }
                    state.fillers.push(filler);
                }
                Err(_) => break,
            }
        }
        self.record.line(format!("proxy: no connection comes up ({} fill the queue)", state.fillers.len()));
    }

    /// Connections come up again.
    fn release(&self) {
        let mut state = lock(&self.state);
        state.held = false;
        state.fillers.clear();
        self.record.line("proxy: connections come up again");
    }

    fn reset_all(&self) {
        for (_, gatekeeper, server) in std::mem::take(&mut lock(&self.state).pairs) {
            reset(&gatekeeper);
            // The readers hold copies of the sockets; this ends them, and the last copy closes with the reset.
            let _ = server.shutdown(std::net::Shutdown::Both);
            let _ = gatekeeper.shutdown(std::net::Shutdown::Read);
        }
    }

    /// Resets all connections; no new one comes up for `seconds`.
    pub fn interrupt(&self, seconds: f64) {
        self.hold();
        self.record.line("proxy: the connections are reset");
        self.reset_all();
        pause(seconds);
        self.release();
    }

    /// From now on, new connections reach another server: it has come at the address of one that has gone.
    pub fn set_target(&self, target: SocketAddrV4) {
        *lock(&self.target) = target;
    }

    /// Resets all connections and refuses new ones for `seconds`, as a server does that holds as many as it accepts.
    pub fn refuse(&self, seconds: f64) -> io::Result<()> {
        lock(&self.state).listener = None;
        self.record.line("proxy: connections are reset, and new ones refused");
        self.reset_all();
        pause(seconds);
        let listener = TcpListener::bind(self.address)?;
        listener.set_nonblocking(true)?;
        lock(&self.state).listener = Some(listener);
        self.record.line("proxy: connections are accepted again");
        Ok(())
    }
}
