//! Rare conditions of a real process: signals, descriptor limits and faulty configuration files while callers are
//! connected.

use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::time::{Duration, Instant};

use hollypaddle_platform::message::{cause, kind, Message};
use hollypaddle_standin::platform_file;
use hollypaddle_standin::resolver::{self, Listed};
use hollypaddle_standin::{answer, free_addresses, peer, release, set_up, Peer};

const PROGRAM: &str = env!("CARGO_BIN_EXE_hollypaddle");

/// The platform file with these servers and this limit of descriptors.
fn config(servers: &[TcpListener], dns: &UdpSocket, sockets: usize) -> String {
    let list_entry = |(n, server): (usize, &TcpListener)| Listed {
        id: format!("s-{n}"),
        district: "downtown".into(),
        address: server.local_addr().unwrap(),
        number: n as u32,
        draining: false,
        started_ms: 0,
    };
    let listed: Vec<Listed> = servers.iter().enumerate().map(list_entry).collect();
    let text = format!(
        r#"{{"seed":"8c1f","dns":"{}","limits":{{"sockets":{sockets}}},"known":{},
          "settings":{{"peersTotal":1,"period":0.005,"familyInfo":{{"release":0.3}},
            "limits":{{"tryLimit":3,"connectTimeout":0.5,"retryAfter":true,"maxRetryAfter":2}},
            "requestClasses":[{{"name":"meter-read","effect":"read_like","goalTime":1.5,"hardLimit":3.0,"value":1.0}}],
            "safety":{{"cold":14.0,"coldFrom":0.3,"overloadFactor":3.0}}}}}}"#,
        dns.local_addr().unwrap(),
        resolver::known(1, &listed)
    );
    platform_file::complete(&text).unwrap()
}

fn listeners(count: usize) -> Vec<TcpListener> {
    let all: Vec<TcpListener> = (0..count).map(|_| TcpListener::bind("127.0.0.1:0").unwrap()).collect();
    all.iter().for_each(|l| l.set_nonblocking(true).unwrap());
    all
}

/// The command that starts the program under a limit of descriptors.
fn command(config: &Path, listen: SocketAddr, descriptors: usize) -> Command {
    let mut command = Command::new("/bin/sh");
    command
        .args(["-c", &format!("ulimit -n {descriptors}; exec {PROGRAM}")])
        .env("PROXY_NAME", "n0")
        .env("PROXY_LISTEN", listen.to_string())
        .env("PROXY_CONFIG", config)
        .env_remove("RUST_LOG");
    command
}

/// A gatekeeper process with its log, which a separate thread reads so that the process never blocks on writing it.
struct Program {
    child: Child,
    log: std::sync::mpsc::Receiver<String>,
}

impl Program {
    fn start(config: &Path, listen: SocketAddr, descriptors: usize) -> Program {
        let mut child = command(config, listen, descriptors).stderr(Stdio::piped()).spawn().unwrap();
        let lines = BufReader::new(child.stderr.take().unwrap()).lines();
        let (send, log) = std::sync::mpsc::channel();
        std::thread::spawn(move || lines.map_while(Result::ok).for_each(|line| drop(send.send(line))));
        let program = Program { child, log };
        program.wait_for_log("serving");
        program
    }

    fn wait_for_log(&self, what: &str) {
        let deadline = Instant::now() + Duration::from_secs(10);
        while let Ok(line) = self.log.recv_timeout(deadline.saturating_duration_since(Instant::now())) {
            if line.contains(what) {
                return;
            }
        }
        panic!("{what:?} did not appear in the log within 10 s");
    }

    fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        assert!(Command::new("kill").args([name, &pid]).status().unwrap().success());
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Serves as session servers that answer every set-up and end the call at once.
fn serve(listeners: &[TcpListener], servers: &mut Vec<Peer>) {
    for listener in listeners {
        while let Ok((stream, _)) = listener.accept() {
            servers.push(peer(stream).unwrap());
        }
    }
    for server in servers {
        let mut received = Vec::new();
        let _ = server.read(&mut received);
        for m in received.iter().filter(|m| m.kind == kind::SET_UP) {
            let _ = server.send(&answer(m.call));
            let _ = server.send(&release(m.call, cause::NORMAL));
        }
    }
}

/// After SIGTERM, set-ups may by specification still come on new connections for 0.4 s and on open ones for 0.6 s. Each is
/// answered, whenever it comes. A second SIGTERM, a SIGHUP and a SIGHUP with a broken file change nothing, and the process
/// ends by itself.
#[test]
fn every_set_up_after_sigterm_is_answered_when_further_signals_follow() {
    let dir = tempfile::tempdir().unwrap();
    let path: PathBuf = dir.path().join("n0.json");
    let (listeners, dns) = (listeners(2), UdpSocket::bind("127.0.0.1:0").unwrap());
    let valid = config(&listeners, &dns, 256);
    std::fs::write(&path, &valid).unwrap();
    let listen = free_addresses(1).unwrap()[0];
    let mut program = Program::start(&path, listen, 256);
    let mut servers = Vec::new();
    let kept_open: Vec<Peer> = (0..25).map(|_| peer(TcpStream::connect(listen).unwrap()).unwrap()).collect();
    let mut kept_open = kept_open.into_iter();
    let started_at = Instant::now();
    let mut callers: Vec<(u64, Peer, Vec<Message>)> = Vec::new();
    let mut signals = vec![(0.0, "-TERM"), (0.1, "-HUP"), (0.2, "-TERM"), (0.3, "-HUP")];
    let mut id = 0;
    let status = loop {
        let at = started_at.elapsed().as_secs_f64();
        assert!(at < 10.0, "the program did not end within 10 s of SIGTERM");
        while signals.first().is_some_and(|(due, _)| *due <= at) {
            let (due, name) = signals.remove(0);
            if due > 0.25 {
                std::fs::write(&path, &valid[..valid.len() / 2]).unwrap();
            }
            program.signal(name);
        }
        if at < 0.58 && at >= id as f64 * 0.01 {
            id += 1;
            let on_new = at < 0.38 && id % 2 == 0;
            let caller = match on_new {
                true => Some(peer(TcpStream::connect(listen).unwrap()).unwrap()),
                false => kept_open.next(),
            };
            if let Some(mut caller) = caller {
                caller.send(&set_up("meter-read", (id % 2) as u32, id, 2000)).unwrap();
                callers.push((id, caller, Vec::new()));
            }
        }
        serve(&listeners, &mut servers);
        callers.iter_mut().for_each(|(_, caller, received)| drop(caller.read(received)));
        if let Some(status) = program.child.try_wait().unwrap() {
            break status;
        }
        std::thread::sleep(Duration::from_millis(1));
    };
    assert!(status.success(), "{status}");
    assert!(
        started_at.elapsed() < Duration::from_secs_f64(3.7),
        "the program ended too late, it would have been killed"
    );
    callers.iter_mut().for_each(|(_, caller, received)| drop(caller.read(received)));
    let unanswered: Vec<u64> = (callers.iter())
        .filter(|(id, _, received)| !received.iter().any(|m| m.call == *id && m.kind == kind::ANSWER))
        .map(|(id, ..)| *id)
        .collect();
    assert!(callers.len() > 35, "too few set-ups to judge: {}", callers.len());
    assert!(unanswered.is_empty(), "unanswered: {unanswered:?} of {}", callers.len());
}

/// Idle callers use all descriptors that callers may have, while the resolver is silent. Every server still gets its
/// connection, a caller that sends a set-up is answered, and a reload still finds a descriptor for the new resolver. The
/// limit in the file is also the limit of the operating system.
#[test]
fn idle_callers_leave_descriptors_for_servers_and_for_a_reload() {
    let dir = tempfile::tempdir().unwrap();
    let path = dir.path().join("n0.json");
    let (listeners, silent_resolver) = (listeners(16), UdpSocket::bind("127.0.0.1:0").unwrap());
    std::fs::write(&path, config(&listeners, &silent_resolver, 64)).unwrap();
    let listen = free_addresses(1).unwrap()[0];
    let program = Program::start(&path, listen, 64);
    let idle: Vec<TcpStream> = (0..120).map(|_| TcpStream::connect(listen).unwrap()).collect();
    let mut servers = Vec::new();
    let mut until = |what: &str, condition: &mut dyn FnMut(usize) -> bool| {
        let started_at = Instant::now();
        loop {
            serve(&listeners, &mut servers);
            if condition(servers.iter_mut().filter_map(|s| s.read(&mut Vec::new()).ok()).count()) {
                return;
            }
            assert!(started_at.elapsed() < Duration::from_secs(5), "timed out waiting for {what}");
            std::thread::sleep(Duration::from_millis(1));
        }
    };
    until("a connection to each server", &mut |up| up >= 16);
    let mut active = peer(TcpStream::connect(listen).unwrap()).unwrap();
    active.send(&Message::new(kind::TEST, 1).with_cause(0)).unwrap();
    active.send(&set_up("meter-read", 3, 2, 2000)).unwrap();
    let mut received = Vec::new();
    until("an answer beside idle callers", &mut |_| {
        let _ = active.read(&mut received);
        received.iter().any(|m| m.call == 2 && m.kind == kind::ANSWER)
    });
    let new_resolver = UdpSocket::bind("127.0.0.1:0").unwrap();
    new_resolver.set_nonblocking(true).unwrap();
    std::fs::write(&path, config(&listeners, &new_resolver, 64)).unwrap();
    program.signal("-HUP");
    until("a query to the new resolver", &mut |_| new_resolver.recv_from(&mut [0; 512]).is_ok());
    drop(idle);
}

/// At SIGTERM active callers hold all descriptors, and three times as many connections with a written set-up wait in the
/// backlog of the listener. Closing the listener used to reset all of the latter. Every caller must learn the result of its
/// set-up; those beyond the descriptors are accepted as others close.
#[test]
fn callers_beyond_the_descriptors_are_answered_as_the_program_ends() {
    const CALLERS: u64 = 200;
    let dir = tempfile::tempdir().unwrap();
    let path = dir.path().join("n0.json");
    let (listeners, dns) = (listeners(1), UdpSocket::bind("127.0.0.1:0").unwrap());
    std::fs::write(&path, config(&listeners, &dns, 64)).unwrap();
    let listen = free_addresses(1).unwrap()[0];
    let mut program = Program::start(&path, listen, 64);
    // The server receives set-ups and sends nothing.
    let mut servers = Vec::new();
    let mut set_up_arrived = |listeners: &[TcpListener]| {
        servers.extend(listeners[0].accept().into_iter().map(|(stream, _)| peer(stream).unwrap()));
        let mut received = Vec::new();
        servers.iter_mut().for_each(|s: &mut Peer| drop(s.read(&mut received)));
        received.iter().any(|m| m.kind == kind::SET_UP)
    };
    let mut waiting: Vec<(u64, Peer)> = (1..=CALLERS)
        .map(|id| {
            let mut caller = peer(TcpStream::connect(listen).unwrap()).unwrap();
            caller.send(&set_up("meter-read", 0, id, 3000)).unwrap();
            (id, caller)
        })
        .collect();
    let started_at = Instant::now();
    while !set_up_arrived(&listeners) {
        assert!(started_at.elapsed() < Duration::from_secs(5), "no set-up reached the server");
    }
    program.signal("-TERM");
    let mut lost = Vec::new();
    while !waiting.is_empty() {
        assert!(
            started_at.elapsed() < Duration::from_secs(10),
            "{} callers still wait after 10 s",
            waiting.len()
        );
        set_up_arrived(&listeners);
        waiting.retain_mut(|(id, caller)| {
            let mut received = Vec::new();
            let read_result = caller.read(&mut received);
            let answered = received.iter().any(|m| m.call == *id && m.kind == kind::RELEASE);
            if !answered && read_result.is_err() {
                lost.push(format!("{id}: {read_result:?}"));
            }
            !answered && read_result.is_ok()
        });
        std::thread::sleep(Duration::from_millis(1));
    }
    assert!(lost.is_empty(), "{} of {CALLERS} set-ups lost: {lost:?}", lost.len());
    assert!(program.child.wait().unwrap().success());
}

/// At the start an invalid file ends the program with exit code 1 and a message that names the setting; at a reload it
/// changes nothing.
#[test]
fn an_invalid_setting_fails_the_start_with_its_name_and_is_rejected_at_a_reload() {
    let dir = tempfile::tempdir().unwrap();
    let path = dir.path().join("n0.json");
    let (listeners, dns) = (listeners(1), UdpSocket::bind("127.0.0.1:0").unwrap());
    let valid = config(&listeners, &dns, 64);
    let bad = [
        (r#""hardLimit":3.0"#, r#""hardLimit":-3.0"#, "hardLimit"),
        (r#""hardLimit":3.0"#, r#""hardLimit":1e300"#, "hardLimit"),
        (r#""sockets":64"#, r#""sockets":0"#, "limits.sockets"),
        (r#""requestClasses""#, r#""others""#, "requestClasses"),
        (r#""cold":14.0,"#, "", "cold"),
    ];
    let listen = free_addresses(1).unwrap()[0];
    for (valid_text, invalid_text, setting) in bad {
        std::fs::write(&path, valid.replace(valid_text, invalid_text)).unwrap();
        let Output { status, stderr, .. } = command(&path, listen, 64).output().unwrap();
        let stderr_text = String::from_utf8_lossy(&stderr).into_owned();
        assert_eq!(status.code(), Some(1), "{invalid_text}: {stderr_text}");
        assert!(stderr_text.contains(setting), "{invalid_text}: {stderr_text}");
    }
    std::fs::write(&path, &valid).unwrap();
    let program = Program::start(&path, listen, 64);
    for (valid_text, invalid_text, setting) in bad {
        std::fs::write(&path, valid.replace(valid_text, invalid_text)).unwrap();
        program.signal("-HUP");
        program.wait_for_log(setting);
    }
    let mut caller = peer(TcpStream::connect(listen).unwrap()).unwrap();
    caller.send(&set_up("meter-read", 0, 1, 2000)).unwrap();
    let (mut received, mut servers, started_at) = (Vec::new(), Vec::new(), Instant::now());
    while !received.iter().any(|m: &Message| m.call == 1 && m.kind == kind::ANSWER) {
        assert!(
            started_at.elapsed() < Duration::from_secs(5),
            "no answer after rejected reloads: {received:?}"
        );
        serve(&listeners, &mut servers);
        let _ = caller.read(&mut received);
    }
}
