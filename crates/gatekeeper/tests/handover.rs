//! An upgrade with real processes under load: a second gatekeeper starts beside the first at the same address, and
//! the first receives SIGTERM once the second is ready. Every set-up must be answered; none may fail because its
//! connection was refused or closed.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::Path;
use std::time::{Duration, Instant};

use hollypaddle_platform::message::{cause, kind, Message};
use hollypaddle_standin::platform_file;
use hollypaddle_standin::program::Program;
use hollypaddle_standin::resolver::{self, Listed};
use hollypaddle_standin::{answer, free_addresses, peer, release, set_up, Peer};

/// Duration of the load, and the limit of set-ups that wait for an answer at the same time.
const LOAD_DURATION: Duration = Duration::from_secs(6);
const MAX_WAITING: usize = 8;

/// Starts the program; panics with its exit status and its log if it does not serve.
fn start(dir: &Path, name: &str, config: &str, listen: SocketAddr, control: SocketAddr) -> Program {
    let (listen, control) = (listen.to_string(), control.to_string());
    let environment = [("PROXY_LISTEN", listen.as_str()), ("PROXY_CONTROL", control.as_str())];
    let program = Path::new(env!("CARGO_BIN_EXE_hollypaddle"));
    let mut program = Program::start_in(program, dir, name, config, "", &environment).unwrap();
    program.serving().unwrap();
    program
}

fn is_ready(control: SocketAddr) -> bool {
    let timeout = Duration::from_secs(1);
    let Ok(mut stream) = TcpStream::connect_timeout(&control, timeout) else { return false };
    let _ = stream.set_write_timeout(Some(timeout));
    let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
    let _ = stream.write_all(b"GET /_ready HTTP/1.1\r\n\r\n");
    let mut text = String::new();
    let _ = stream.read_to_string(&mut text);
    text.starts_with("HTTP/1.1 200")
}

struct PendingSetUp {
    id: u64,
    caller: Peer,
    sent_at: Instant,
}

#[test]
fn an_upgrade_under_load_fails_no_set_up() {
    let server = TcpListener::bind("127.0.0.1:0").unwrap();
    server.set_nonblocking(true).unwrap();
    let dns = UdpSocket::bind("127.0.0.1:0").unwrap();
    let server_entry = Listed {
        id: "s-0".into(),
        district: "downtown".into(),
        address: server.local_addr().unwrap(),
        number: 0,
        draining: false,
        started_ms: 0,
    };
    let text = format!(
        r#"{{"seed":"8c1f","dns":"{}","known":{},
          "settings":{{"peersTotal":1,"period":0.005,"familyInfo":{{"release":0.3,"poolsByClass":[[0]]}},
            "limits":{{"tryLimit":3,"connectTimeout":0.5}},
            "requestClasses":[{{"name":"meter-read","effect":"read_like","goalTime":1.5,"hardLimit":3.0,"value":1.0}}],
            "safety":{{"cold":14.0,"coldFrom":0.3,"overloadFactor":3.0}}}}}}"#,
        dns.local_addr().unwrap(),
        resolver::known(1, &[server_entry])
    );
    let text = platform_file::complete(&text).unwrap();
    let dir = tempfile::tempdir().unwrap();
    let addresses = free_addresses(3).unwrap();
    let (listen, old_control, new_control) = (addresses[0], addresses[1], addresses[2]);
    let mut old = start(dir.path(), "n0", &text, listen, old_control);
    let mut new: Option<Program> = None;
    let mut servers: Vec<Peer> = Vec::new();
    let (mut waiting, mut next_id, mut answered, mut failures) =
        (Vec::<PendingSetUp>::new(), 1u64, 0u64, Vec::new());
    let started_at = Instant::now();
    let mut term_sent = false;
    while started_at.elapsed() < LOAD_DURATION || !waiting.is_empty() {
        assert!(
            started_at.elapsed() < LOAD_DURATION * 3,
            "set-ups still unanswered: {:?}",
            waiting.iter().map(|p| p.id).collect::<Vec<_>>()
        );
        // The upgrade: the new process starts after 1 s, and the old one gets SIGTERM once the new one is ready.
        if new.is_none() && started_at.elapsed() > Duration::from_secs(1) {
            new = Some(start(dir.path(), "n1", &text, listen, new_control));
        }
        if new.is_some() && !term_sent && is_ready(new_control) {
            old.signal("-TERM").unwrap();
            term_sent = true;
        }
        // The callers: one set-up per connection, up to the limit.
        while started_at.elapsed() < LOAD_DURATION && waiting.len() < MAX_WAITING {
            match TcpStream::connect(listen) {
                Ok(stream) => {
                    let mut caller = peer(stream).unwrap();
                    caller.send(&set_up("meter-read", 0, next_id, 2000)).unwrap();
                    waiting.push(PendingSetUp { id: next_id, caller, sent_at: Instant::now() });
                }
                Err(error) => failures.push(format!("{next_id}: connect: {error}")),
            }
            next_id += 1;
        }
        // The server answers every set-up and ends the call at once.
        while let Ok((stream, _)) = server.accept() {
            servers.push(peer(stream).unwrap());
        }
        for s in &mut servers {
            let mut received = Vec::new();
            let _ = s.read(&mut received);
            for m in received.iter().filter(|m| m.kind == kind::SET_UP) {
                let _ = s.send(&answer(m.call));
                let _ = s.send(&release(m.call, cause::NORMAL));
            }
        }
        waiting.retain_mut(|p| {
            let mut received: Vec<Message> = Vec::new();
            let read = p.caller.read(&mut received);
            if received.iter().any(|m| m.call == p.id && matches!(m.kind, kind::ANSWER | kind::RELEASE)) {
                answered += 1;
                return false;
            }
            if let Err(error) = read {
                failures.push(format!("{}: {error}", p.id));
                return false;
            }
            if p.sent_at.elapsed() > Duration::from_secs(4) {
                failures.push(format!("{}: no answer", p.id));
                return false;
            }
            true
        });
        std::thread::sleep(Duration::from_millis(1));
    }
    assert!(term_sent, "the new process was never ready");
    // With a deadline, so that an old process that does not end fails the test instead of blocking it.
    let deadline = Instant::now() + Duration::from_secs(10);
    let status = loop {
        if let Some(status) = old.child.try_wait().unwrap() {
            break status;
        }
        if Instant::now() > deadline {
            panic!("the old process did not end within 10 s of SIGTERM");
        }
        std::thread::sleep(Duration::from_millis(20));
    };
    assert!(status.success(), "the old process failed: {status}");
    assert!(is_ready(new_control), "the new process is no longer ready");
    drop(new);
    assert!(answered > 100, "too few set-ups answered to judge: {answered}");
    assert!(failures.is_empty(), "{} of {} set-ups failed: {failures:?}", failures.len(), next_id - 1);
}
