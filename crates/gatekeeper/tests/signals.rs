//! Signals sent to a real gatekeeper process: SIGHUP and SIGTERM.

use hollypaddle_standin::platform_file;
use std::io::{BufRead, BufReader};
use std::net::UdpSocket;
use std::process::{Command, Stdio};

/// Guards against a gatekeeper that ends on SIGHUP, or continues to query the resolver of the old configuration.
#[test]
fn sighup_reloads_the_configuration_and_sigterm_ends_the_process() {
    let (old_resolver, new_resolver) =
        (UdpSocket::bind("127.0.0.1:0").unwrap(), UdpSocket::bind("127.0.0.1:0").unwrap());
    let path = std::env::temp_dir().join(format!("hollypaddle-signals-{}.json", std::process::id()));
    let write_config = |dns: &UdpSocket| {
        let text = format!(
            r#"{{"dns":"{}","seed":"1","settings":{{"peersTotal":1,"period":0.005,
            "familyInfo":{{"release":0.3}},"limits":{{"tryLimit":6}},
            "requestClasses":[{{"name":"a","effect":"read_like","goalTime":1.0,"hardLimit":3.0,"value":1.0}}],
            "safety":{{"cold":14,"coldFrom":0.3,"overloadFactor":3}}}}}}"#,
            dns.local_addr().unwrap()
        );
        std::fs::write(&path, platform_file::complete(&text).unwrap()).unwrap();
    };
    write_config(&old_resolver);
    let mut program = Command::new(env!("CARGO_BIN_EXE_hollypaddle"))
        .env("PROXY_NAME", "n0")
        .env("PROXY_LISTEN", "127.0.0.1:0")
        .env("PROXY_CONFIG", &path)
        .env_remove("RUST_LOG")
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let mut lines = BufReader::new(program.stderr.take().unwrap()).lines();
    let mut wait_for_log = |text: &str| lines.by_ref().any(|line| line.unwrap().contains(text));
    let signal = |name: &str| {
        assert!(Command::new("kill").args([name, &program.id().to_string()]).status().unwrap().success());
    };
    assert!(wait_for_log("serving"));
    write_config(&new_resolver);
    signal("-HUP");
    assert!(wait_for_log("configuration-read"), "the program ended on SIGHUP");
    assert!(new_resolver.recv_from(&mut [0; 512]).is_ok(), "the new resolver received no query");
    std::fs::write(&path, "{").unwrap();
    signal("-HUP");
    assert!(wait_for_log("configuration-rejected"), "the program ended on SIGHUP with a broken file");
    signal("-TERM");
    assert!(wait_for_log("stopped"));
    assert!(program.wait().unwrap().success());
    std::fs::remove_file(&path).unwrap();
}
