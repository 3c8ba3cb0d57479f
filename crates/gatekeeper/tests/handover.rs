//! An upgrade with real processes: a second gatekeeper starts beside the first at the same address, says that
//! it is ready, and the first is told SIGTERM, all under load. Every request sent has to be heard and
//! answered; none may be turned back by a refused or closed connection.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::Path;
use std::time::{Duration, Instant};

use hollypaddle_platform::message::{cause, kind, Message};
use hollypaddle_standin::program::Program;
use hollypaddle_standin::resolver::{self, Listed};
use hollypaddle_standin::{answer, free_addresses, peer, release, set_up, Peer};

/// How long the load runs in all, and how many requests are out at once.
const LOAD: Duration = Duration::from_secs(6);
const AT_ONCE: usize = 8;

/// Starts the program; fails with its exit code and its log where it does not serve.
fn start(folder: &Path, name: &str, config: &str, listen: SocketAddr, control: SocketAddr) -> Program {
    let (listen, control) = (listen.to_string(), control.to_string());
    let environment = [("PROXY_LISTEN", listen.as_str()), ("PROXY_CONTROL", control.as_str())];
    let program = Path::new(env!("CARGO_BIN_EXE_hollypaddle"));
    let mut program = Program::start_in(program, folder, name, config, "", &environment).unwrap();
    program.serving().unwrap();
    program
}

fn ready(control: SocketAddr) -> bool {
    let timeout = Duration::from_secs(1);
    let Ok(mut stream) = TcpStream::connect_timeout(&control, timeout) else { return false };
    let _ = stream.set_write_timeout(Some(timeout));
    let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
    let _ = stream.write_all(b"GET /_ready HTTP/1.1\r\n\r\n");
    let mut text = String::new();
    let _ = stream.read_to_string(&mut text);
    text.starts_with("HTTP/1.1 200")
}

struct Request {
    id: u64,
    caller: Peer,
    since: Instant,
}

#[test]
fn an_upgrade_under_load_turns_no_request_back() {
    let server = TcpListener::bind("127.0.0.1:0").unwrap();
    server.set_nonblocking(true).unwrap();
    let dns = UdpSocket::bind("127.0.0.1:0").unwrap();
    let listed = Listed {
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
        resolver::known(1, &[listed])
    );
    let folder = tempfile::tempdir().unwrap();
    let addresses = free_addresses(3).unwrap();
    let (listen, old_control, new_control) = (addresses[0], addresses[1], addresses[2]);
    let mut old = start(folder.path(), "n0", &text, listen, old_control);
    let mut new: Option<Program> = None;
    let mut servers: Vec<Peer> = Vec::new();
    let (mut out, mut next, mut answered, mut turned_back) = (Vec::<Request>::new(), 1u64, 0u64, Vec::new());
    let began = Instant::now();
    let mut termed = false;
    while began.elapsed() < LOAD || !out.is_empty() {
        assert!(
            began.elapsed() < LOAD * 3,
            "requests still out: {:?}",
            out.iter().map(|r| r.id).collect::<Vec<_>>()
        );
        // The upgrade: the new process after 1 s, SIGTERM to the old one once the new one is ready.
        if new.is_none() && began.elapsed() > Duration::from_secs(1) {
            new = Some(start(folder.path(), "n1", &text, listen, new_control));
        }
        if new.is_some() && !termed && ready(new_control) {
            old.signal("-TERM").unwrap();
            termed = true;
        }
        // Callers: one request a connection, as many at once as the bound.
        while began.elapsed() < LOAD && out.len() < AT_ONCE {
            match TcpStream::connect(listen) {
                Ok(stream) => {
                    let mut caller = peer(stream).unwrap();
                    caller.send(&set_up("meter-read", 0, next, 2000)).unwrap();
                    out.push(Request { id: next, caller, since: Instant::now() });
                }
                Err(error) => turned_back.push(format!("{next}: connect: {error}")),
            }
            next += 1;
        }
        // The server: every set-up stands, and ends at once.
        while let Ok((stream, _)) = server.accept() {
            servers.push(peer(stream).unwrap());
        }
        for s in &mut servers {
            let mut heard = Vec::new();
            let _ = s.read(&mut heard);
            for m in heard.iter().filter(|m| m.kind == kind::SET_UP) {
                let _ = s.send(&answer(m.call));
                let _ = s.send(&release(m.call, cause::NORMAL));
            }
        }
        out.retain_mut(|r| {
            let mut heard: Vec<Message> = Vec::new();
            let read = r.caller.read(&mut heard);
            if heard.iter().any(|m| m.call == r.id && matches!(m.kind, kind::ANSWER | kind::RELEASE)) {
                answered += 1;
                return false;
            }
            if let Err(error) = read {
                turned_back.push(format!("{}: {error}", r.id));
                return false;
            }
            if r.since.elapsed() > Duration::from_secs(4) {
                turned_back.push(format!("{}: no answer", r.id));
                return false;
            }
            true
        });
        std::thread::sleep(Duration::from_millis(1));
    }
    assert!(termed, "the new process never said that it is ready");
    // Bounded: an old process that does not end is a failure, not a hang.
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
    assert!(status.success(), "the old process ended badly: {status}");
    assert!(ready(new_control), "the new process serves on");
    drop(new);
    assert!(answered > 100, "too little load to tell: {answered}");
    assert!(turned_back.is_empty(), "{} of {} turned back: {turned_back:?}", turned_back.len(), next - 1);
}
