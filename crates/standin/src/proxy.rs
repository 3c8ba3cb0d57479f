//! A fault proxy between two processes: what it is told to do to the connections through it is what a network would.
//!
//! A cut way holds what is said, as a connection does whose packets are lost; a delayed one passes it on later, a throttled
//! one slowly; dropped connections are reset. While its target is down the proxy's own address refuses connections as the target's would.

use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// How often a thread looks at what it is told.
const LOOK: Duration = Duration::from_millis(4);
/// Bytes passed on at a time.
const CHUNK: usize = 16 * 1024;

#[derive(Default)]
struct Told {
    /// From whoever connects towards the target, and back.
    cut: [AtomicBool; 2],
    delay_us: [AtomicU64; 2],
    /// Bytes a second; 0 is as fast as may be.
    rate: [AtomicU64; 2],
    drops: AtomicU64,
    down: AtomicBool,
    over: AtomicBool,
}

/// Which way through a fault proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// From whoever connects to the target.
    There = 0,
    /// And back.
    Back = 1,
}

/// A fault proxy. Its threads end when this is dropped.
pub struct FaultProxy {
    address: SocketAddr,
    told: Arc<Told>,
}

impl FaultProxy {
    /// Listens at an address and passes connections on to the target.
    pub fn open(address: SocketAddr, target: SocketAddr) -> io::Result<FaultProxy> {
        let listener = listen(address)?;
        let told = Arc::new(Told::default());
        let shared = Arc::clone(&told);
        std::thread::spawn(move || accept(address, target, listener, &shared));
        Ok(FaultProxy { address, told })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Holds what is said on a way, or lets it go on.
    pub fn cut(&self, way: Way, cut: bool) {
        self.told.cut[way as usize].store(cut, Ordering::Relaxed);
    }

    /// Passes on what is said so much later.
    pub fn delay(&self, way: Way, seconds: f64) {
        self.told.delay_us[way as usize].store((seconds.max(0.0) * 1e6) as u64, Ordering::Relaxed);
    }

    /// Passes on so many bytes a second on each connection, or as many as come.
    pub fn throttle(&self, way: Way, rate: Option<f64>) {
        self.told.rate[way as usize].store(rate.map_or(0, |rate| rate.max(1.0) as u64), Ordering::Relaxed);
    }

    /// Resets all connections.
    pub fn drop_all(&self) {
        self.told.drops.fetch_add(1, Ordering::Relaxed);
    }

    /// The target is down, or up again.
    pub fn down(&self, down: bool) {
        self.told.down.store(down, Ordering::Relaxed);
    }
}

impl Drop for FaultProxy {
    fn drop(&mut self) {
        self.told.over.store(true, Ordering::Relaxed);
    }
}

fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let listener = TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}

fn accept(address: SocketAddr, target: SocketAddr, listener: TcpListener, told: &Arc<Told>) {
    let mut listener = Some(listener);
    while !told.over.load(Ordering::Relaxed) {
        let down = told.down.load(Ordering::Relaxed);
        if down {
            listener = None;
        } else if listener.is_none() {
            // Connections of before may linger for a moment.
            listener = listen(address).ok();
        }
        match listener.as_ref().map(TcpListener::accept) {
            Some(Ok((near, _))) => pass(near, target, told),
            _ => std::thread::sleep(LOOK),
        }
    }
}

fn pass(near: TcpStream, target: SocketAddr, told: &Arc<Told>) {
    let Ok(far) = TcpStream::connect_timeout(&target, Duration::from_secs(1)) else { return };
    let drops = told.drops.load(Ordering::Relaxed);
    for (from, to, way) in [(&near, &far, Way::There), (&far, &near, Way::Back)] {
        let (Ok(from), Ok(to)) = (from.try_clone(), to.try_clone()) else { return };
        let told = Arc::clone(told);
        std::thread::spawn(move || pump(from, to, way, drops, &told));
    }
}

fn pump(mut from: TcpStream, mut to: TcpStream, way: Way, drops: u64, told: &Told) {
    let _ = (from.set_nonblocking(false), from.set_read_timeout(Some(LOOK)), to.set_nodelay(true));
    let _ = to.set_write_timeout(Some(Duration::from_secs(30)));
    let mut chunk = [0; CHUNK];
    let ended = || told.over.load(Ordering::Relaxed) || told.drops.load(Ordering::Relaxed) != drops;
    let cut = || told.cut[way as usize].load(Ordering::Relaxed);
    while !ended() {
        if cut() {
            std::thread::sleep(LOOK);
            continue;
        }
        // Little at a time where it is slow, so that it is slow for a ping, too.
        let rate = told.rate[way as usize].load(Ordering::Relaxed);
        let most = if rate > 0 { CHUNK.min(rate as usize / 50 + 1) } else { CHUNK };
        match from.read(&mut chunk[..most]) {
            // The end is said on this way, too, and waits where that is cut.
            Ok(0) => {
                while cut() && !ended() {
                    std::thread::sleep(LOOK);
                }
                let _ = to.shutdown(std::net::Shutdown::Write);
                return;
            }
            Ok(n) => {
                std::thread::sleep(Duration::from_micros(
                    told.delay_us[way as usize].load(Ordering::Relaxed),
                ));
                if rate > 0 {
                    std::thread::sleep(Duration::from_secs_f64(n as f64 / rate as f64));
                }
                while cut() && !ended() {
                    std::thread::sleep(LOOK);
                }
                if to.write_all(&chunk[..n]).is_err() {
                    break;
                }
            }
            Err(e)
                if matches!(
                    e.kind(),
                    ErrorKind::WouldBlock | ErrorKind::TimedOut | ErrorKind::Interrupted
                ) => {}
            Err(_) => break,
        }
    }
    for stream in [&from, &to] {
        let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
        let _ = stream.shutdown(std::net::Shutdown::Both);
    }
}
