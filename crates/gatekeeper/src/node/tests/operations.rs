//! Operation of a running gatekeeper: the control address, its figures, and reloads of the settings.

use super::*;

impl TestBed {
    /// Sends bytes to the control address and runs until the response is complete. Returns its status and body.
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
                Err(e) => panic!("reading from the control address failed: {e}"),
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

/// Guards against a control request with a wrong path, method, body or size that is accepted or has an effect.
#[test]
fn the_control_address_answers_valid_requests_and_refuses_invalid_ones() {
    let mut bed = TestBed::with_control_address(1);
    assert_eq!(bed.get("/_ready").0, 200);
    assert_eq!(bed.post("/_lameduck/on").0, 200);
    assert_eq!(bed.post("/_lameduck/on").0, 200, "a second lameduck/on is accepted");
    assert_eq!(bed.get("/_ready").0, 503);
    assert_eq!(bed.post("/_lameduck/off").0, 200);
    assert_eq!(bed.get("/_ready").0, 200);
    assert_eq!(bed.post("/_lameduck/off").0, 200, "lameduck/off without a drain is accepted");
    assert_eq!(bed.get("/_ready").0, 200);
    assert_eq!(bed.get("/nowhere").0, 404);
    assert_eq!(bed.post("/_ready").0, 405);
    assert_eq!(bed.get("/_lameduck/on").0, 405);
    assert_eq!(bed.get("/_ready").0, 200, "a GET of the lameduck path changes nothing");
    let (status, _) =
        bed.send_control_request(b"POST /_lameduck/on HTTP/1.1\r\nContent-Length: 4\r\n\r\nabcd");
    assert_eq!(status, 400);
    assert_eq!(bed.get("/_ready").0, 200, "a refused request changes nothing");
    assert_eq!(bed.send_control_request(b"\x16\x03\x01 not http\r\n\r\n").0, 400);
    let huge = [b"GET /_ready HTTP/1.1\r\nX: ".as_slice(), &[b'a'; 9000], b"\r\n\r\n"].concat();
    assert_eq!(bed.send_control_request(&huge).0, 431);
}

/// Guards against peers that occupy every connection of the control address with request heads they never finish.
#[test]
fn slow_peers_do_not_lock_the_load_balancer_out_of_the_control_address() {
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
    // One more byte, as from a peer that sends its request head slowly.
    for s in &mut slow {
        let _ = s.write_all(b"d");
    }
    let requested_at = bed.gatekeeper.now();
    assert_eq!(bed.get("/_ready").0, 200);
    assert!(bed.gatekeeper.now() - requested_at < 1.0);
    // Connections that never finish their request are closed after their time limit.
    bed.run_for(1.2);
    let mut fresh = TcpStream::connect(address).unwrap();
    fresh.write_all(b"GET /_ready HTTP/1.1\r\n\r\n").unwrap();
    fresh.set_nonblocking(true).unwrap();
    assert_eq!(bed.read_http_response(&mut fresh).0, 200);
}

/// Guards against figures that are missing before the first call, or that count a call twice or under a wrong outcome.
#[test]
fn the_figures_start_at_zero_and_match_the_calls_made() {
    let mut bed = TestBed::with_control_address(2);
    let vars = bed.vars();
    assert_eq!(vars["succeeded"]["meter-read"], 0);
    assert_eq!(vars["forwards"], 0);
    assert_eq!(vars["discovered"], 2);
    assert_eq!(vars["ejected"], 0);
    for id in 1..=3 {
        bed.establish_call(id);
    }
    // A call that its server ends before it was established has failed.
    bed.caller.send(&set_up(10, 3000)).unwrap();
    bed.expect_at_server(10, kind::SET_UP);
    bed.send_from_all_servers(&release(10, cause::NORMAL));
    bed.expect_at_caller(10, kind::RELEASE, Some(cause::TEMPORARY_FAILURE));
    // A call whose caller disconnects during an attempt may have any outcome, but is no longer outstanding.
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
    assert_eq!(vars["outstanding"], 3, "three standing calls; the others are over");
    assert_eq!(vars["sighup_applied"], 0);
    assert_eq!(vars["sighup_rejected"], 0);
}

/// Guards against an upgrade in which the new process cannot listen while the old one still does.
#[test]
fn a_second_gatekeeper_listens_at_the_same_address() {
    let bed = TestBed::with_control_address(1);
    let listeners = [TcpListener::bind("127.0.0.1:0").unwrap()];
    let dns = UdpSocket::bind("127.0.0.1:0").unwrap();
    let mut second = config(&listeners, &dns);
    second.listen = bed.gatekeeper.address();
    let node = Gatekeeper::new(second).expect("SO_REUSEPORT allows a second listener");
    assert_eq!(node.address(), bed.gatekeeper.address());
}

/// Guards against a reload whose new classes are refused as unknown or whose removed classes still accept calls,
/// and against an invalid file that changes anything.
#[test]
fn a_reload_adds_and_removes_classes_and_an_invalid_file_changes_nothing() {
    let mut bed = TestBed::with_control_address(1);
    bed.establish_call(1);
    let dns = UdpSocket::bind("127.0.0.1:0").unwrap();
    let text = config_text(&bed.listeners, &dns);
    let old = r#"{"effect":"read_like","goalTime":1.5,"hardLimit":9.0,"lateWorth":0.0,"name":"meter-read","value":1.0}"#;
    let new = r#"{"name":"valve-set-r2","effect":"write_like","goalTime":1.0,"hardLimit":4.0,"value":2.0,"lateWorth":0.0}"#;
    let read = |text: &str| Config::parse("n0".into(), "127.0.0.1:0", text);
    // Invalid files: each is rejected and counted.
    bed.gatekeeper.reload(read(""));
    bed.gatekeeper.reload(read(&text.replace(r#""tryLimit":6"#, r#""tryLimit":0"#)));
    bed.gatekeeper.reload(read(&text.replace(r#""hardLimit":9.0"#, r#""hardLimit":-1"#)));
    let vars = bed.vars();
    assert_eq!((vars["sighup_applied"].as_u64(), vars["sighup_rejected"].as_u64()), (Some(0), Some(3)));
    bed.caller.send(&set_up(2, 3000)).unwrap();
    bed.expect_at_server(2, kind::SET_UP);
    // meter-read is removed, valve-set-r2 is added, and the limit of attempts is lower.
    let next = text.replace(old, new).replace(r#""tryLimit":6"#, r#""tryLimit":2"#);
    bed.gatekeeper.reload(read(&next));
    let vars = bed.vars();
    assert_eq!((vars["sighup_applied"].as_u64(), vars["sighup_rejected"].as_u64()), (Some(1), Some(3)));
    assert_eq!(vars["succeeded"]["valve-set-r2"], 0, "a new class is reported from the reload on");
    // The set-up that was open before the reload keeps its class and is counted under it.
    bed.send_from_all_servers(&answer(2));
    bed.expect_at_caller(2, kind::ANSWER, None);
    // A set-up of the new class goes to a server with the name of the class.
    bed.caller.send(&hollypaddle_standin::set_up("valve-set-r2", 0, 3, 3000)).unwrap();
    let sent = bed.expect_at_server(3, kind::SET_UP);
    assert_eq!(sent.bytes(code::CLASS), Some(&b"valve-set-r2"[..]));
    // A set-up of the removed class is refused as invalid.
    bed.caller.send(&set_up(4, 3000)).unwrap();
    bed.expect_at_caller(4, kind::RELEASE, Some(cause::INVALID_PARAMETER));
    bed.send_from_all_servers(&answer(3));
    bed.expect_at_caller(3, kind::ANSWER, None);
    let vars = bed.vars();
    assert_eq!(vars["succeeded"]["meter-read"], 2);
    assert_eq!(vars["succeeded"]["valve-set-r2"], 1);
}

/// Guards against an id that runs twice in an upgrade: at the old process, and, as it comes again after its client has left, at the
/// new one.
#[test]
fn an_id_does_not_run_again_at_the_other_process_of_an_upgrade() {
    let mut bed = TestBed::new(1);
    let dns = UdpSocket::bind("127.0.0.1:0").unwrap();
    let mut new = Gatekeeper::new(config(&bed.listeners, &dns)).unwrap();
    let mut leaving = bed.connect_caller();
    leaving.send(&set_up(2, 3000)).unwrap();
    bed.expect_at_server(2, kind::SET_UP);
    drop(leaving);
    bed.expect_at_server(2, kind::RELEASE);
    bed.servers_received.clear();
    let mut again = peer(TcpStream::connect(new.address()).unwrap());
    again.send(&set_up(2, 3000)).unwrap();
    for _ in 0..MAX_ITERATIONS / 4 {
        new.run_once().unwrap();
        bed.run_iteration();
    }
    assert!(bed.servers_received.iter().all(|m| m.kind != kind::SET_UP), "{:?}", bed.servers_received);
}
