//! Rare moments of the program itself: what signals, limits and files do to a process while callers are there.

use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::time::{Duration, Instant};

use hollypaddle_platform::message::{cause, kind, Message};
use hollypaddle_standin::resolver::{self, Listed};
use hollypaddle_standin::{answer, free_addresses, peer, release, set_up, Peer};

const PROGRAM: &str = env!("CARGO_BIN_EXE_hollypaddle");

/// A configuration with these servers, and the most descriptors.
fn config(servers: &[TcpListener], dns: &UdpSocket, sockets: usize) -> String {
    let listed = |(n, server): (usize, &TcpListener)| Listed {
        id: format!("s-{n}"),
        district: "downtown".into(),
        address: server.local_addr().unwrap(),
        number: n as u32,
        draining: false,
        started_ms: 0,
    };
    let listed: Vec<Listed> = servers.iter().enumerate().map(listed).collect();
    format!(
        r#"{{"seed":"8c1f","dns":"{}","limits":{{"sockets":{sockets}}},"known":{},
          "settings":{{"peersTotal":1,"period":0.005,"familyInfo":{{"release":0.3}},
            "limits":{{"tryLimit":3,"connectTimeout":0.5,"retryAfter":true,"maxRetryAfter":2}},
            "requestClasses":[{{"name":"meter-read","effect":"read_like","goalTime":1.5,"hardLimit":3.0,"value":1.0}}],
            "safety":{{"cold":14.0,"coldFrom":0.3,"overloadFactor":3.0}}}}}}"#,
        dns.local_addr().unwrap(),
        resolver::known(1, &listed)
    )
}

fn listeners(count: usize) -> Vec<TcpListener> {
    let all: Vec<TcpListener> = (0..count).map(|_| TcpListener::bind("127.0.0.1:0").unwrap()).collect();
    all.iter().for_each(|l| l.set_nonblocking(true).unwrap());
    all
}

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

/// The program with its log, read in a thread of its own so that it never waits to write.
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
        program.says("serving");
        program
    }

    fn says(&self, what: &str) {
        let end = Instant::now() + Duration::from_secs(10);
        while let Ok(line) = self.log.recv_timeout(end.saturating_duration_since(Instant::now())) {
            if line.contains(what) {
                return;
            }
        }
        panic!("it does not say {what:?}");
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

/// A server: every set-up stands, and ends at once.
fn serve(listeners: &[TcpListener], servers: &mut Vec<Peer>) {
    for listener in listeners {
        while let Ok((stream, _)) = listener.accept() {
            servers.push(peer(stream).unwrap());
        }
    }
    for server in servers {
        let mut heard = Vec::new();
        let _ = server.read(&mut heard);
        for m in heard.iter().filter(|m| m.kind == kind::SET_UP) {
            let _ = server.send(&answer(m.call));
            let _ = server.send(&release(m.call, cause::NORMAL));
        }
    }
}

/// At every instant after SIGTERM in which the pages let set-ups come, on new connections for 0.4 s and on open ones for
/// 0.6 s, each is answered; a second SIGTERM, a SIGHUP and one to a broken file change nothing; and it ends by itself.
#[test]
fn every_set_up_after_sigterm_is_answered_whatever_signals_come_between() {
    let folder = tempfile::tempdir().unwrap();
    let path: PathBuf = folder.path().join("n0.json");
    let (listeners, dns) = (listeners(2), UdpSocket::bind("127.0.0.1:0").unwrap());
    let whole = config(&listeners, &dns, 256);
    std::fs::write(&path, &whole).unwrap();
    let listen = free_addresses(1).unwrap()[0];
    let mut program = Program::start(&path, listen, 256);
    let mut servers = Vec::new();
    let open: Vec<Peer> = (0..25).map(|_| peer(TcpStream::connect(listen).unwrap()).unwrap()).collect();
    let mut open = open.into_iter();
    let begun = Instant::now();
    let mut callers: Vec<(u64, Peer, Vec<Message>)> = Vec::new();
    let mut signals = vec![(0.0, "-TERM"), (0.1, "-HUP"), (0.2, "-TERM"), (0.3, "-HUP")];
    let mut id = 0;
    let status = loop {
        let at = begun.elapsed().as_secs_f64();
        assert!(at < 10.0, "it does not end");
        while signals.first().is_some_and(|(due, _)| *due <= at) {
            let (due, name) = signals.remove(0);
            if due > 0.25 {
                std::fs::write(&path, &whole[..whole.len() / 2]).unwrap();
            }
            program.signal(name);
        }
        if at < 0.58 && at >= id as f64 * 0.01 {
            id += 1;
            let fresh = at < 0.38 && id % 2 == 0;
            let caller = match fresh {
                true => Some(peer(TcpStream::connect(listen).unwrap()).unwrap()),
                false => open.next(),
            };
            if let Some(mut caller) = caller {
                caller.send(&set_up("meter-read", (id % 2) as u32, id, 2000)).unwrap();
                callers.push((id, caller, Vec::new()));
            }
        }
        serve(&listeners, &mut servers);
        callers.iter_mut().for_each(|(_, caller, heard)| drop(caller.read(heard)));
        if let Some(status) = program.child.try_wait().unwrap() {
            break status;
        }
        std::thread::sleep(Duration::from_millis(1));
    };
    assert!(status.success(), "{status}");
    assert!(begun.elapsed() < Duration::from_secs_f64(3.7), "killed before its end");
    callers.iter_mut().for_each(|(_, caller, heard)| drop(caller.read(heard)));
    let unanswered: Vec<u64> = (callers.iter())
        .filter(|(id, _, heard)| !heard.iter().any(|m| m.call == *id && m.kind == kind::ANSWER))
        .map(|(id, ..)| *id)
        .collect();
    assert!(callers.len() > 35, "{}", callers.len());
    assert!(unanswered.is_empty(), "{unanswered:?} of {}", callers.len());
}

/// Idle callers take all that callers may while the resolver says nothing: every server still has its connection, one that
/// asks is answered, and SIGHUP still finds a descriptor for the new resolver. The limit is the system's too.
#[test]
fn idle_callers_leave_descriptors_to_servers_and_to_a_reload() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("n0.json");
    let (listeners, silent) = (listeners(16), UdpSocket::bind("127.0.0.1:0").unwrap());
    std::fs::write(&path, config(&listeners, &silent, 64)).unwrap();
    let listen = free_addresses(1).unwrap()[0];
    let program = Program::start(&path, listen, 64);
    let idle: Vec<TcpStream> = (0..120).map(|_| TcpStream::connect(listen).unwrap()).collect();
    let mut servers = Vec::new();
    let mut until = |what: &str, done: &mut dyn FnMut(usize) -> bool| {
        let begun = Instant::now();
        loop {
            serve(&listeners, &mut servers);
            if done(servers.iter_mut().filter_map(|s| s.read(&mut Vec::new()).ok()).count()) {
                return;
            }
            assert!(begun.elapsed() < Duration::from_secs(5), "waited in vain for {what}");
            std::thread::sleep(Duration::from_millis(1));
        }
    };
    until("a connection to each server", &mut |up| up >= 16);
    let mut asking = peer(TcpStream::connect(listen).unwrap()).unwrap();
    asking.send(&Message::new(kind::TEST, 1).caused(0)).unwrap();
    asking.send(&set_up("meter-read", 3, 2, 2000)).unwrap();
    let mut heard = Vec::new();
    until("an answer beside idle callers", &mut |_| {
        let _ = asking.read(&mut heard);
        heard.iter().any(|m| m.call == 2 && m.kind == kind::ANSWER)
    });
    let awake = UdpSocket::bind("127.0.0.1:0").unwrap();
    awake.set_nonblocking(true).unwrap();
    std::fs::write(&path, config(&listeners, &awake, 64)).unwrap();
    program.signal("-HUP");
    until("a question to the new resolver", &mut |_| awake.recv_from(&mut [0; 512]).is_ok());
    drop(idle);
}

/// Callers in use hold all descriptors as the program is told to end, and three times as many wait in the listener's queue
/// with their set-ups written. What happened: the close of the listener reset all that waited. Each hears what became of its
/// set-up, those that find no descriptor before the end as others leave theirs.
#[test]
fn callers_beyond_the_descriptors_are_answered_as_the_program_ends() {
    const CALLERS: u64 = 200;
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("n0.json");
    let (listeners, dns) = (listeners(1), UdpSocket::bind("127.0.0.1:0").unwrap());
    std::fs::write(&path, config(&listeners, &dns, 64)).unwrap();
    let listen = free_addresses(1).unwrap()[0];
    let mut program = Program::start(&path, listen, 64);
    // The server takes set-ups and says nothing.
    let mut servers = Vec::new();
    let mut at_server = |listeners: &[TcpListener]| {
        servers.extend(listeners[0].accept().into_iter().map(|(stream, _)| peer(stream).unwrap()));
        let mut heard = Vec::new();
        servers.iter_mut().for_each(|s: &mut Peer| drop(s.read(&mut heard)));
        heard.iter().any(|m| m.kind == kind::SET_UP)
    };
    let mut waiting: Vec<(u64, Peer)> = (1..=CALLERS)
        .map(|id| {
            let mut caller = peer(TcpStream::connect(listen).unwrap()).unwrap();
            caller.send(&set_up("meter-read", 0, id, 3000)).unwrap();
            (id, caller)
        })
        .collect();
    let begun = Instant::now();
    while !at_server(&listeners) {
        assert!(begun.elapsed() < Duration::from_secs(5), "no set-up reaches the server");
    }
    program.signal("-TERM");
    let mut lost = Vec::new();
    while !waiting.is_empty() {
        assert!(begun.elapsed() < Duration::from_secs(10), "{} wait for ever", waiting.len());
        at_server(&listeners);
        waiting.retain_mut(|(id, caller)| {
            let mut heard = Vec::new();
            let end = caller.read(&mut heard);
            let answered = heard.iter().any(|m| m.call == *id && m.kind == kind::RELEASE);
            if !answered && end.is_err() {
                lost.push(format!("{id}: {end:?}"));
            }
            !answered && end.is_ok()
        });
        std::thread::sleep(Duration::from_millis(1));
    }
    assert!(lost.is_empty(), "{} of {CALLERS} lost: {lost:?}", lost.len());
    assert!(program.child.wait().unwrap().success());
}

/// A file that cannot be served by ends the start with exit code 1 and a line that names what is wrong; read at SIGHUP it
/// changes nothing.
#[test]
fn absurd_figures_end_the_start_and_lose_nothing_at_a_reload() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("n0.json");
    let (listeners, dns) = (listeners(1), UdpSocket::bind("127.0.0.1:0").unwrap());
    let whole = config(&listeners, &dns, 64);
    let bad = [
        (r#""hardLimit":3.0"#, r#""hardLimit":-3.0"#, "hardLimit"),
        (r#""hardLimit":3.0"#, r#""hardLimit":1e300"#, "hardLimit"),
        (r#""sockets":64"#, r#""sockets":0"#, "limits.sockets"),
        (r#""requestClasses""#, r#""others""#, "requestClasses"),
        (r#""cold":14.0,"#, "", "cold"),
    ];
    let listen = free_addresses(1).unwrap()[0];
    for (from, to, named) in bad {
        std::fs::write(&path, whole.replace(from, to)).unwrap();
        let Output { status, stderr, .. } = command(&path, listen, 64).output().unwrap();
        let told = String::from_utf8_lossy(&stderr).into_owned();
        assert_eq!(status.code(), Some(1), "{to}: {told}");
        assert!(told.contains(named), "{to}: {told}");
    }
    std::fs::write(&path, &whole).unwrap();
    let program = Program::start(&path, listen, 64);
    for (from, to, named) in bad {
        std::fs::write(&path, whole.replace(from, to)).unwrap();
        program.signal("-HUP");
        program.says(named);
    }
    let mut caller = peer(TcpStream::connect(listen).unwrap()).unwrap();
    caller.send(&set_up("meter-read", 0, 1, 2000)).unwrap();
    let (mut heard, mut servers, begun) = (Vec::new(), Vec::new(), Instant::now());
    while !heard.iter().any(|m: &Message| m.call == 1 && m.kind == kind::ANSWER) {
        assert!(begun.elapsed() < Duration::from_secs(5), "it serves no more: {heard:?}");
        serve(&listeners, &mut servers);
        let _ = caller.read(&mut heard);
    }
}
