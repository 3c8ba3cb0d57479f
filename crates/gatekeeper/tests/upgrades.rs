//! Upgrades in a row with real processes, under load: each time a new process starts beside the old one at the same
//! address, says that it is ready, and the old one is told SIGTERM. `UPGRADES=n` plays more of them.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::process::ExitStatus;
use std::time::{Duration, Instant};

use hollypaddle_standin::free_addresses;
use hollypaddle_standin::program::Program;
use hollypaddle_standin::short_calls::ShortCalls;

const PROGRAM: &str = env!("CARGO_BIN_EXE_hollypaddle");
/// Upgrades where the environment names no number.
const UPGRADES: usize = 4;
/// Set-ups that are out at the same time.
const AT_ONCE: usize = 8;
/// The page gives a new process 6 s to be ready.
const READY: Duration = Duration::from_secs(6);
/// The page lets the old process live for the longest deadline, 3 s here, and 0.7 s after SIGTERM.
const ENDED: Duration = Duration::from_millis(3_700);
/// The load alone before the first upgrade and after the last one.
const REST: Duration = Duration::from_millis(300);
const TURN: Duration = Duration::from_millis(1);

/// Asks a control address whether its process is ready.
fn is_ready(control: SocketAddr) -> bool {
    let patience = Duration::from_secs(1);
    let Ok(mut stream) = TcpStream::connect_timeout(&control, patience) else { return false };
    let mut text = String::new();
    let asked = stream
        .set_read_timeout(Some(patience))
        .and_then(|()| stream.write_all(b"GET /_ready HTTP/1.1\r\n\r\n"))
        .and_then(|()| stream.read_to_string(&mut text));
    asked.is_ok() && text.starts_with("HTTP/1.1 200")
}

/// Goes on with the load until something holds; fails after so long.
fn until(load: &mut ShortCalls, what: &str, patience: Duration, mut holds: impl FnMut() -> bool) {
    let begun = Instant::now();
    while !holds() {
        assert!(begun.elapsed() <= patience, "waited in vain for {what}; lost so far: {:?}", load.lost);
        load.turn(true).unwrap();
        std::thread::sleep(TURN);
    }
}

fn start(folder: &Path, load: &ShortCalls, control: SocketAddr) -> Program {
    let config = load.config().unwrap().replacen('{', &format!(r#"{{"control":"{control}","#), 1);
    Program::start_with(Path::new(PROGRAM), folder, "n0", &config, "", &load.gatekeeper.to_string()).unwrap()
}

/// One upgrade: returns the new process once the old one has ended.
fn upgrade(folder: &Path, load: &mut ShortCalls, mut old: Program) -> Program {
    let control = free_addresses(1).unwrap()[0];
    let new = start(folder, load, control);
    until(load, "the new process to be ready", READY, || is_ready(control));
    old.signal("-TERM").unwrap();
    let mut status: Option<ExitStatus> = None;
    until(load, "the old process to end", ENDED, || {
        old.take_lines();
        status = old.child.try_wait().unwrap();
        status.is_some()
    });
    assert!(status.is_some_and(|status| status.success()), "the old process ended badly: {:?}", old.log);
    new
}

/// Guards against set-ups that are turned back because the old process of an upgrade closes its listener.
#[test]
fn upgrades_in_a_row_turn_no_request_back() {
    let upgrades = std::env::var("UPGRADES").map_or(UPGRADES, |n| n.parse().expect("UPGRADES is a number"));
    let folder = tempfile::tempdir().unwrap();
    let mut load = ShortCalls::open(free_addresses(1).unwrap()[0], AT_ONCE).unwrap();
    let mut serving = start(folder.path(), &load, free_addresses(1).unwrap()[0]);
    serving.serving().unwrap();
    let rest = |load: &mut ShortCalls| {
        let begun = Instant::now();
        until(load, "time to pass", 2 * REST, || begun.elapsed() >= REST);
    };
    rest(&mut load);
    for _ in 0..upgrades {
        serving = upgrade(folder.path(), &mut load, serving);
        serving.take_lines();
    }
    rest(&mut load);
    while load.waiting() > 0 {
        load.turn(false).unwrap();
        std::thread::sleep(TURN);
    }
    println!("{upgrades} upgrades, {} set-ups, {} lost", load.sent(), load.lost.len());
    assert!(load.answered > 100 * upgrades as u64, "too little load to tell: {}", load.answered);
    assert!(load.lost.is_empty(), "{} of {} lost: {:?}", load.lost.len(), load.sent(), load.lost);
}
