//! Successive upgrades with real processes under load: each time a new process starts beside the old one at the same
//! address, and the old one receives SIGTERM once the new one is ready. `UPGRADES=n` sets the number of upgrades.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::process::ExitStatus;
use std::time::{Duration, Instant};

use hollypaddle_standin::free_addresses;
use hollypaddle_standin::program::Program;
use hollypaddle_standin::short_calls::ShortCalls;

const PROGRAM: &str = env!("CARGO_BIN_EXE_hollypaddle");
/// Number of upgrades if the environment sets none.
const DEFAULT_UPGRADES: usize = 4;
/// Limit of set-ups that wait for an answer at the same time.
const MAX_WAITING: usize = 8;
/// Documented limit: a new process is ready within 6 s.
const READY_TIMEOUT: Duration = Duration::from_secs(6);
/// Documented limit: after SIGTERM the old process ends within the longest deadline, 3 s here, plus 0.7 s.
const EXIT_TIMEOUT: Duration = Duration::from_millis(3_700);
/// Duration of the load before the first upgrade and after the last one.
const LOAD_ALONE_DURATION: Duration = Duration::from_millis(300);
/// Pause between two iterations of the load.
const POLL_INTERVAL: Duration = Duration::from_millis(1);

/// Requests the readiness of the process at a control address.
fn is_ready(control: SocketAddr) -> bool {
    let timeout = Duration::from_secs(1);
    let Ok(mut stream) = TcpStream::connect_timeout(&control, timeout) else { return false };
    let mut text = String::new();
    let response = stream
        .set_read_timeout(Some(timeout))
        .and_then(|()| stream.write_all(b"GET /_ready HTTP/1.1\r\n\r\n"))
        .and_then(|()| stream.read_to_string(&mut text));
    response.is_ok() && text.starts_with("HTTP/1.1 200")
}

/// Runs the load until a condition holds; panics after the timeout.
fn until(load: &mut ShortCalls, what: &str, timeout: Duration, mut condition: impl FnMut() -> bool) {
    let started_at = Instant::now();
    while !condition() {
        assert!(
            started_at.elapsed() <= timeout,
            "timed out waiting for {what}; set-ups lost so far: {:?}",
            load.lost
        );
        load.turn(true).unwrap();
        std::thread::sleep(POLL_INTERVAL);
    }
}

fn start(dir: &Path, load: &ShortCalls, control: SocketAddr) -> Program {
    let config = load.config().unwrap().replacen('{', &format!(r#"{{"control":"{control}","#), 1);
    Program::start_with(Path::new(PROGRAM), dir, "n0", &config, "", &load.gatekeeper.to_string()).unwrap()
}

/// Performs one upgrade; returns the new process once the old one has ended.
fn upgrade(dir: &Path, load: &mut ShortCalls, mut old: Program) -> Program {
    let control = free_addresses(1).unwrap()[0];
    let new = start(dir, load, control);
    until(load, "the new process to be ready", READY_TIMEOUT, || is_ready(control));
    old.signal("-TERM").unwrap();
    let mut status: Option<ExitStatus> = None;
    until(load, "the old process to end", EXIT_TIMEOUT, || {
        old.take_lines();
        status = old.child.try_wait().unwrap();
        status.is_some()
    });
    assert!(status.is_some_and(|status| status.success()), "the old process failed: {:?}", old.log);
    new
}

/// Guards against set-ups that fail because the old process of an upgrade closes its listener.
#[test]
fn successive_upgrades_under_load_lose_no_set_up() {
    let upgrades =
        std::env::var("UPGRADES").map_or(DEFAULT_UPGRADES, |n| n.parse().expect("UPGRADES is a number"));
    let dir = tempfile::tempdir().unwrap();
    let mut load = ShortCalls::open(free_addresses(1).unwrap()[0], MAX_WAITING).unwrap();
    let mut serving = start(dir.path(), &load, free_addresses(1).unwrap()[0]);
    serving.serving().unwrap();
    let run_load_alone = |load: &mut ShortCalls| {
        let started_at = Instant::now();
        until(load, "time to pass", 2 * LOAD_ALONE_DURATION, || started_at.elapsed() >= LOAD_ALONE_DURATION);
    };
    run_load_alone(&mut load);
    for _ in 0..upgrades {
        serving = upgrade(dir.path(), &mut load, serving);
        serving.take_lines();
    }
    run_load_alone(&mut load);
    while load.waiting() > 0 {
        load.turn(false).unwrap();
        std::thread::sleep(POLL_INTERVAL);
    }
    println!("{upgrades} upgrades, {} set-ups, {} lost", load.sent(), load.lost.len());
    assert!(load.answered > 100 * upgrades as u64, "too few set-ups answered to judge: {}", load.answered);
    assert!(load.lost.is_empty(), "{} of {} set-ups lost: {:?}", load.lost.len(), load.sent(), load.lost);
}
