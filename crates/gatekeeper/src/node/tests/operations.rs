//! In service: the control address, the figures, settings that change.

use super::*;

impl TestBed {
    /// Sends bytes to the control address and turns until the answer is whole: its status and body.
    fn send_control_request(&mut self, request: &[u8]) -> (u16, String) {
        let mut stream = TcpStream::connect(self.gatekeeper.control_address().unwrap()).unwrap();
        stream.set_nonblocking(true).unwrap();
        stream.write_all(request).unwrap();
        self.read_http_response(&mut stream)
    }

    fn read_http_response(&mut self, stream: &mut TcpStream) -> (u16, String) {
        use std::io::Read;
        let mut received = Vec::new();
        for _ in 0..MAX_ITERATIONS {
            self.run_iteration();
            let mut chunk = [0; 4096];
            match stream.read(&mut chunk) {
                Ok(0) => break,
                Ok(n) => received.extend(&chunk[..n]),
                Err(e) if e.kind() == ErrorKind::WouldBlock => {}
                Err(e) => panic!("the control address broke: {e}"),
            }
        }
        let text = String::from_utf8(received).unwrap();
        let status = text.get(9..12).and_then(|s| s.parse().ok()).unwrap_or(0);
        let body = text.split_once("\r\n\r\n").map_or("", |(_, b)| b).to_string();
        (status, body)
    }

    pub(super) fn get(&mut self, path: &str) -> (u16, String) {
        self.send_control_request(format!("GET {path} HTTP/1.1\r\nHost: gk\r\n\r\n").as_bytes())
    }

    pub(super) fn post(&mut self, path: &str) -> (u16, String) {
        self.send_control_request(format!("POST {path} HTTP/1.1\r\nContent-Length: 0\r\n\r\n").as_bytes())
    }

    pub(super) fn vars(&mut self) -> serde_json::Value {
        let (status, body) = self.get("/_vars");
        assert_eq!(status, 200);
        serde_json::from_str(&body).unwrap()
    }
}

#[test]
fn the_control_address_answers_each_call_and_refuses_what_is_wrong() {
    let mut bed = TestBed::with_control_address(1);
    assert_eq!(bed.get("/_ready").0, 200);
    assert_eq!(bed.post("/_lameduck/on").0, 200);
    assert_eq!(bed.post("/_lameduck/on").0, 200, "twice is fine");
    assert_eq!(bed.get("/_ready").0, 503);
    assert_eq!(bed.post("/_lameduck/off").0, 200);
    assert_eq!(bed.get("/_ready").0, 200);
    assert_eq!(bed.post("/_lameduck/off").0, 200, "off while not on is fine");
    assert_eq!(bed.get("/_ready").0, 200);
    assert_eq!(bed.get("/nowhere").0, 404);
    assert_eq!(bed.post("/_ready").0, 405);
    assert_eq!(bed.get("/_lameduck/on").0, 405);
    assert_eq!(bed.get("/_ready").0, 200, "a GET on the lameduck call changed nothing");
    let (status, _) =
        bed.send_control_request(b"POST /_lameduck/on HTTP/1.1\r\nContent-Length: 4\r\n\r\nabcd");
    assert_eq!(status, 400);
    assert_eq!(bed.get("/_ready").0, 200, "a refused call changed nothing");
    assert_eq!(bed.send_control_request(b"\x16\x03\x01 not http\r\n\r\n").0, 400);
    let huge = [b"GET /_ready HTTP/1.1\r\nX: ".as_slice(), &[b'a'; 9000], b"\r\n\r\n"].concat();
    assert_eq!(bed.send_control_request(&huge).0, 431);
}

/// Guards against peers that take every place of the control address with heads they never finish.
#[test]
fn trickling_peers_do_not_lock_the_front_out() {
    let mut bed = TestBed::with_control_address(1);
    let address = bed.gatekeeper.control_address().unwrap();
    let mut slow: Vec<TcpStream> = (0..crate::node::http::MAX_CONNECTIONS + 8)
        .map(|_| {
            let mut s = TcpStream::connect(address).unwrap();
            s.write_all(b"GET /_rea").unwrap();
            s
        })
        .collect();
    for _ in 0..5 {
        bed.run_iteration();
    }
    // A byte more now and then, as a peer that trickles its head.
    for s in &mut slow {
        let _ = s.write_all(b"d");
    }
    let requested_at = bed.gatekeeper.now();
    assert_eq!(bed.get("/_ready").0, 200);
    assert!(bed.gatekeeper.now() - requested_at < 1.0);
    // Those who never finish are let go once their time is up.
    bed.run_for(1.2);
    let mut fresh = TcpStream::connect(address).unwrap();
    fresh.write_all(b"GET /_ready HTTP/1.1\r\n\r\n").unwrap();
    fresh.set_nonblocking(true).unwrap();
    assert_eq!(bed.read_http_response(&mut fresh).0, 200);
}

#[test]
fn the_figures_hold_what_the_test_counted_and_start_at_zero() {
    let mut bed = TestBed::with_control_address(2);
    let vars = bed.vars();
    assert_eq!(vars["succeeded"]["meter-read"], 0);
    assert_eq!(vars["forwards"], 0);
    assert_eq!(vars["discovered"], 2);
    assert_eq!(vars["ejected"], 0);
    for id in 1..=3 {
        bed.establish_call(id);
    }
    // One whose server ends it before it stood: failed.
    bed.caller.send(&set_up(10, 3000)).unwrap();
    bed.expect_at_server(10, kind::SET_UP);
    bed.send_from_all_servers(&release(10, cause::NORMAL));
    bed.expect_at_caller(10, kind::RELEASE, Some(cause::TEMPORARY_FAILURE));
    // One whose caller leaves while it is out: any count will do for it, but it is no longer outstanding.
    let mut leaving = peer(TcpStream::connect(bed.gatekeeper.address()).unwrap());
    leaving.send(&set_up(20, 3000)).unwrap();
    bed.expect_at_server(20, kind::SET_UP);
    drop(leaving);
    bed.run_for(0.5);
    let vars = bed.vars();
    assert_eq!(vars["succeeded"]["meter-read"], 3);
    assert!(vars["aborted"]["meter-read"].as_u64().unwrap_or(0) >= 1);
    assert_eq!(vars["declined"]["meter-read"], 0);
    assert_eq!(vars["forwards"], 5);
    assert_eq!(vars["outstanding"], 3, "three stand; the others are over");
    assert_eq!(vars["sighup_applied"], 0);
    assert_eq!(vars["sighup_rejected"], 0);
}

/// Guards against an upgrade in which the new process cannot listen beside the old one.
#[test]
fn a_second_gatekeeper_listens_at_the_same_address() {
    let bed = TestBed::with_control_address(1);
    let listeners = [TcpListener::bind("127.0.0.1:0").unwrap()];
    let dns = UdpSocket::bind("127.0.0.1:0").unwrap();
    let mut second = config(&listeners, &dns);
    second.listen = bed.gatekeeper.address();
    let node = Gatekeeper::new(second).expect("SO_REUSEPORT lets the second bind");
    assert_eq!(node.address(), bed.gatekeeper.address());
}

/// Guards against a reload whose new classes are refused as unknown, whose dropped classes still take calls,
/// and against a broken file that changes anything.
#[test]
fn a_reload_adds_and_drops_classes_and_a_broken_file_changes_nothing() {
    let mut bed = TestBed::with_control_address(1);
    bed.establish_call(1);
    let dns = UdpSocket::bind("127.0.0.1:0").unwrap();
    let text = config_text(&bed.listeners, &dns);
    let old = r#"{"name":"meter-read","effect":"read_like","goalTime":1.5,"hardLimit":9.0,"value":1.0}"#;
    let new = r#"{"name":"valve-set-r2","effect":"write_like","goalTime":1.0,"hardLimit":4.0,"value":2.0}"#;
    let read = |text: &str| Config::parse("n0".into(), "127.0.0.1:0", text);
    // Broken files: each is turned down and counted.
    bed.gatekeeper.reload(read(""));
    bed.gatekeeper.reload(read(&text.replace(r#""tryLimit":6"#, r#""tryLimit":0"#)));
    bed.gatekeeper.reload(read(&text.replace(r#""hardLimit":9.0"#, r#""hardLimit":-1"#)));
    let vars = bed.vars();
    assert_eq!((vars["sighup_applied"].as_u64(), vars["sighup_rejected"].as_u64()), (Some(0), Some(3)));
    bed.caller.send(&set_up(2, 3000)).unwrap();
    bed.expect_at_server(2, kind::SET_UP);
    // meter-read is dropped, valve-set-r2 comes, attempts are fewer.
    let next = text.replace(old, new).replace(r#""tryLimit":6"#, r#""tryLimit":2"#);
    bed.gatekeeper.reload(read(&next));
    let vars = bed.vars();
    assert_eq!((vars["sighup_applied"].as_u64(), vars["sighup_rejected"].as_u64()), (Some(1), Some(3)));
    assert_eq!(vars["succeeded"]["valve-set-r2"], 0, "a new class is shown from the reload on");
    // The call open from before keeps its class, and is counted under it.
    bed.send_from_all_servers(&answer(2));
    bed.expect_at_caller(2, kind::ANSWER, None);
    // A new call of the new class goes to a server with its name.
    bed.caller.send(&hollypaddle_standin::set_up("valve-set-r2", 0, 3, 3000)).unwrap();
    let sent = bed.expect_at_server(3, kind::SET_UP);
    assert_eq!(sent.bytes(code::CLASS), Some(&b"valve-set-r2"[..]));
    // A new call of the dropped class is refused as one that makes no sense.
    bed.caller.send(&set_up(4, 3000)).unwrap();
    bed.expect_at_caller(4, kind::RELEASE, Some(cause::INVALID_PARAMETER));
    bed.send_from_all_servers(&answer(3));
    bed.expect_at_caller(3, kind::ANSWER, None);
    let vars = bed.vars();
    assert_eq!(vars["succeeded"]["meter-read"], 2);
    assert_eq!(vars["succeeded"]["valve-set-r2"], 1);
}
