//! A gatekeeper process with its own configuration file: the output of `ctl` and of the log is compared with what the
//! servers recorded.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::os::unix::fs::PermissionsExt;
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::time::{Duration, Instant};

use hollypaddle_standin::program::{unix_time, Program};
use hollypaddle_standin::server::What;
use hollypaddle_standin::world::{classes, Plan, World, DISTRICTS};
use serde_json::Value;

const PROGRAM: &str = env!("CARGO_BIN_EXE_hollypaddle");

fn start(dir: &Path, world: &World, conf: &str) -> Program {
    Program::start(Path::new(PROGRAM), dir, world, 0, conf).unwrap()
}

fn run_program(args: &[&str]) -> Output {
    let mut command = Command::new(PROGRAM);
    command.args(args).env_remove("PROXY_CONFIG").env_remove("HOLLYPADDLE_CONFIG").output().unwrap()
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8(bytes.to_vec()).unwrap()
}

/// Runs the stand-ins in real time until a condition holds; panics after 30 s.
fn until(world: &mut World, what: &str, mut condition: impl FnMut(&mut World) -> bool) {
    let started_at = Instant::now();
    while !condition(world) {
        assert!(started_at.elapsed() < Duration::from_secs(30), "timed out waiting for {what}");
        world.turn(unix_time());
        std::thread::sleep(Duration::from_millis(1));
    }
}

/// `ctl crossings`, its JSON and the periodic log event report exactly what the servers recorded, by class and district.
#[test]
fn ctl_and_the_log_report_the_counts_that_the_servers_recorded() {
    let dir = tempfile::tempdir().unwrap();
    let socket = dir.path().join("control.sock");
    let mut all = classes();
    (all[0].share, all[0].hold, all[1].hold) = (0.7, 0.2, 0.1);
    let plan =
        Plan { fronts: vec![0], servers: vec![(0, 80.0), (1, 80.0), (2, 80.0)], classes: all, seed: 1 };
    let mut world = World::open(plan).unwrap();
    let conf = format!(
        "control {}\ncrossings {{\n urgent valve-set\n log-every 1s\n budget class meter-read {{\n  rate 20/s\n }}\n}}\n",
        socket.display()
    );
    let mut program = start(dir.path(), &world, &conf);
    let listen = program.serving().unwrap();
    world.connect(&[listen]);
    let started_at = unix_time();
    until(&mut world, "the connections", |_| unix_time() > started_at + 0.3);
    world.servers[2].resets = 5;
    let traffic_started_at = unix_time();
    until(&mut world, "the traffic", |world| {
        world.traffic(unix_time(), 0, 60.0, |a, _| (a * 3.0) as u32);
        unix_time() > traffic_started_at + 3.0
    });
    until(&mut world, "the ends", |world| world.callers[0].unanswered() + world.callers[0].standing() == 0);
    assert!(world.callers[0].calls.len() > 100);

    let mut seen: BTreeMap<(String, String), BTreeMap<&str, u64>> = BTreeMap::new();
    for (server, plan) in world.servers.iter().zip(&world.plan.servers) {
        for s in &server.seen {
            let what = match s.what {
                What::SetUp => "sent",
                What::Stood => "stood",
                What::Refused => "refused",
                What::Reset => "reset",
                What::GivenUp => "given_up",
                What::Ended | What::Released => "ended",
                What::Cut => "cut",
            };
            *seen.entry((s.class.clone(), DISTRICTS[plan.0].into())).or_default().entry(what).or_default() +=
                1;
        }
    }
    let compare = |class: &str, to: &str, row: &Value| {
        let counted = &seen[&(class.to_string(), to.to_string())];
        for what in ["sent", "stood", "refused", "reset", "given_up", "ended", "cut"] {
            assert_eq!(row[what], counted.get(what).copied().unwrap_or(0), "{class} to {to}, {what}");
        }
    };
    let path = socket.to_str().unwrap();
    let response = run_program(&["ctl", "--socket", path, "crossings", "--json"]);
    assert!(response.status.success(), "{}", text(&response.stderr));
    let report: Value = serde_json::from_slice(&response.stdout).unwrap();
    let mut rows = 0;
    for row in report["rows"].as_array().unwrap() {
        let (class, to) = (row["class"].as_str().unwrap(), row["to"].as_str().unwrap());
        if class != "all" && to != "all" && to != "abroad" {
            compare(class, to, row);
            rows += 1;
        }
    }
    assert_eq!(rows, seen.len());
    assert_eq!(seen.values().filter_map(|c| c.get("reset")).sum::<u64>(), 5);
    let table = text(&run_program(&["ctl", "--socket", path, "crossings"]).stdout);
    for ((class, to), counted) in &seen {
        let line = table.lines().find(|l| l.contains(class.as_str()) && l.contains(to.as_str())).unwrap();
        let columns: Vec<&str> = line.split_whitespace().collect();
        assert_eq!(
            (columns[3], columns[4]),
            (counted["sent"].to_string().as_str(), counted["stood"].to_string().as_str())
        );
    }
    assert!(table.contains("class meter-read") && table.contains("urgent class"), "{table}");
    // The events that are logged after all calls have ended.
    let since = unix_time();
    let mut logged = 0;
    while logged < rows {
        let event = program.event("crossings").unwrap();
        if event["time"].as_f64().unwrap() > since {
            compare(event["class"].as_str().unwrap(), event["to"].as_str().unwrap(), &event);
            logged += 1;
        }
    }
    let status = run_program(&["ctl", "--socket", path, "status"]);
    let status = text(&status.stdout);
    assert!(status.starts_with("gatekeeper n0") && status.matches("ready").count() == 3, "{status}");

    // A reload with errors changes nothing; a valid one moves the socket.
    let conf_path = dir.path().join("n0.conf");
    std::fs::write(&conf_path, "control\ncrosings {\n}\n").unwrap();
    program.signal("-HUP").unwrap();
    assert_eq!(program.event("configuration-rejected").unwrap()["problems"], 2);
    let problems: Vec<&Value> =
        program.log.iter().filter(|l| l["event"] == "configuration-problem").collect();
    assert!(problems[0]["place"].as_str().unwrap().ends_with("n0.conf:1:1"));
    let moved = dir.path().join("moved.sock");
    std::fs::write(&conf_path, format!("control {}\n", moved.display())).unwrap();
    program.signal("-HUP").unwrap();
    let changes = program.event("configuration-read").unwrap()["changes"].clone();
    assert_eq!(changes, "control,crossings-off-0-budgets");
    assert!(!socket.exists());
    let crossings_off = run_program(&["ctl", "--config", conf_path.to_str().unwrap(), "crossings"]);
    assert_eq!(crossings_off.status.code(), Some(1));
    assert!(text(&crossings_off.stderr).contains("not configured"));
    program.signal("-TERM").unwrap();
    program.event("stopped").unwrap();
    assert!(program.child.wait().unwrap().success());
    assert!(!moved.exists(), "the program left its socket behind");
    let status_after_exit = run_program(&["ctl", "--socket", moved.to_str().unwrap(), "status"]);
    assert_eq!(status_after_exit.status.code(), Some(3), "{}", text(&status_after_exit.stderr));
}

/// Guards against a control socket that other users can open, requests of unlimited length, clients that block the socket
/// by silence, and a gatekeeper that takes over the socket of another one or replaces a plain file.
#[test]
fn the_control_socket_is_private_to_its_owner_and_bounded_in_requests_and_clients() {
    let dir = tempfile::tempdir().unwrap();
    let socket = dir.path().join("control.sock");
    let plan = Plan { fronts: vec![0], servers: vec![(0, 80.0)], classes: classes(), seed: 1 };
    let world = World::open(plan).unwrap();
    let conf = format!("control {}\n", socket.display());
    // A stale socket, on which no process listens any more, is replaced.
    drop(std::os::unix::net::UnixListener::bind(&socket).unwrap());
    let mut program = start(dir.path(), &world, &conf);
    program.serving().unwrap();
    assert_eq!(std::fs::metadata(&socket).unwrap().permissions().mode() & 0o777, 0o600);
    let send_request = |bytes: &[u8]| {
        let mut stream = UnixStream::connect(&socket).unwrap();
        stream.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
        let _ = stream.write_all(bytes);
        let mut received = String::new();
        let _ = stream.read_to_string(&mut received);
        received
    };
    assert!(send_request(b"what?\n").contains("no question"));
    assert!(send_request(b"{\"ask\":\"crossings\",\"span\":\"7s\"}\n").contains("no span"));
    assert!(send_request(b"{\"ask\":\"status\",\"more\":1}\n").contains("no question"));
    assert!(send_request(&[b'x'; 5000]).contains("4096"));
    // Four silent clients use up all connections, and are closed to serve the next one.
    let silent_clients: Vec<UnixStream> = (0..4).map(|_| UnixStream::connect(&socket).unwrap()).collect();
    assert!(send_request(b"{\"ask\":\"status\"}\n").contains("\"ok\""));
    drop(silent_clients);
    let mut second = start(dir.path(), &world, &conf);
    let line = second.lines.recv_timeout(Duration::from_secs(10)).unwrap();
    assert!(line.as_str().is_some_and(|l| l.contains("another gatekeeper listens there")), "{line}");
    assert_eq!(second.child.wait().unwrap().code(), Some(1));
    assert!(
        send_request(b"{\"ask\":\"status\"}\n").contains("\"ok\""),
        "the first gatekeeper no longer answers"
    );
    let plain = dir.path().join("plain");
    std::fs::write(&plain, "x").unwrap();
    let mut third = start(dir.path(), &world, &format!("control {}\n", plain.display()));
    assert_eq!(third.child.wait().unwrap().code(), Some(1));
    assert_eq!(std::fs::read_to_string(&plain).unwrap(), "x");
}

#[test]
fn check_reports_every_error_with_its_location_and_by_exit_code() {
    let dir = tempfile::tempdir().unwrap();
    let write = |name: &str, text: &[u8]| -> PathBuf {
        let path = dir.path().join(name);
        std::fs::write(&path, text).unwrap();
        path
    };
    let plan = Plan { fronts: vec![0], servers: vec![(0, 80.0)], classes: classes(), seed: 1 };
    let settings = write("config.json", World::open(plan).unwrap().config(0).unwrap().as_bytes());
    let good = write("good", b"crossings {\n urgent valve-set\n own riverside\n}\n");
    let bad = write("bad", b"crossings {\n urgent valve\n own river\n budget all {\n  rate 1e400/s\n }\n");
    let settings = settings.to_str().unwrap();
    let checked = run_program(&["check", "--settings", settings, good.to_str().unwrap()]);
    assert!(checked.status.success() && text(&checked.stdout).contains("sound"));
    let checked =
        run_program(&["check", "--settings", settings, good.to_str().unwrap(), bad.to_str().unwrap()]);
    assert_eq!(checked.status.code(), Some(1));
    let errors = text(&checked.stderr);
    for location in ["bad:1:11:", "bad:2:9:", "bad:3:6:", "bad:5:8:"] {
        assert!(errors.contains(location), "{location} in {errors}");
    }
    assert_eq!(errors.lines().count(), 4, "{errors}");
    assert_eq!(run_program(&["check", "/nowhere"]).status.code(), Some(1));
    assert_eq!(run_program(&["chekc"]).status.code(), Some(2));
    let deployed = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/hollypaddle.conf");
    assert!(run_program(&["check", deployed]).status.success(), "the deployed file has errors");
}
