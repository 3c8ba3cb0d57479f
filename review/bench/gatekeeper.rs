//! A gatekeeper's process, started as the deploy file says.

use std::fs::{self, File};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicI32, Ordering};
use std::time::Duration;

use crate::record::{now, sleep, Record};

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, ...) -> i32;
}

/// Option of `prctl`: the signal that a process gets as its parent ends.
const PR_SET_PDEATHSIG: i32 = 1;

pub const SIGHUP: i32 = 1;
const SIGKILL: i32 = 9;

/// The process that runs now, or 0.
static RUNNING: AtomicI32 = AtomicI32::new(0);

/// Kills the gatekeeper that still runs, if any, and removes its folder: the case took too long or was ended.
pub fn kill_running() {
    let process = RUNNING.swap(0, Ordering::Relaxed);
    if process > 0 {
        // SAFETY: a plain system call; the process is this one's child and has not been waited for.
        unsafe { kill(process, SIGKILL) };
    }
    let _ = fs::remove_dir_all(folder());
}

fn folder() -> PathBuf {
    std::env::temp_dir().join(format!("hollypaddle-review-{}", std::process::id()))
}

/// The settings of a small deployment: one gatekeeper, two servers, two classes, in the site's ranges.
fn settings() -> String {
    let class = |name: &str, goal: f64, limit: f64, value: f64, late: f64| {
        format!(
            r#"{{"name":"{name}","effect":"read_like","stream":true,"goalTime":{goal},"hardLimit":{limit},"value":{value},"lateWorth":{late}}}"#
        )
    };
    let classes =
        [class("meter-read", 1.5, 9.0, 1.0, 0.15), class("valve-set", 1.2, 6.0, 8.0, 0.2)].join(",");
    let parts = [
        r#""peersTotal":1,"position":0,"period":0.005,"zone":0,"zones":["downtown","medical-center","riverside"]"#,
        r#""discovery":"push","tenants":[],"overShareWorth":0.1,"valueBy":"request","weights":"none""#,
        r#""clientHabits":{"marksRetry":false},"telemetry":{"how":"answers","names":["free","size","hold_back"]}"#,
        r#""goal":{"whole":0.55,"worstWindow":0.25,"worstClass":0.2,"worstTenant":0}"#,
        r#""familyInfo":{"topology":"pools","poolsByClass":[[0,1],[0,1]],"widths":[1,1],"holding":[8.8,5.3],"release":0.3,"retransmit":0.4,"retryHint":false}"#,
        r#""limits":{"tryLimit":6,"secondCopies":false,"mayCancel":true,"probes":true,"retryAfter":true,"maxRetryAfter":2,"connectTimeout":0.5,"connIdle":600,"streamsPerConn":1048576}"#,
        r#""safety":{"drainGrace":0.25,"cold":14,"coldFrom":0.29,"overloadFactor":3,"tipAfter":1,"graceToAnswer":0.02}"#,
    ];
    format!(r#"{{{},"requestClasses":[{classes}]}}"#, parts.join(","))
}

pub struct Gatekeeper {
    pub listen: SocketAddr,
    control: SocketAddr,
    folder: PathBuf,
    root: PathBuf,
    child: Option<Child>,
    starts: u32,
    record: Record,
}

fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("a free port")
}

impl Gatekeeper {
    /// Prepares one; `root` is the project's folder.
    pub fn new(root: PathBuf, record: &Record) -> Gatekeeper {
        let folder = folder();
        fs::create_dir_all(folder.join("tmp")).expect("a temporary folder");
        let (listen, control) = (free_address(), free_address());
        Gatekeeper { listen, control, folder, root, child: None, starts: 0, record: record.clone() }
    }

    /// The configuration as the platform writes it.
    pub fn config(&self, dns: SocketAddr, known: &str) -> String {
        format!(
            r#"{{"name":"n0","listen":"{}","control":"{}","seed":"51b2c6a09e{:06x}","limits":{{"cores":1.0,"memory_mb":64,"sockets":256}},"dns":"{dns}","known":{known},"settings":{}}}"#,
            self.listen,
            self.control,
            self.starts,
            settings()
        )
    }

    pub fn write_config(&self, text: &str) {
        fs::write(self.folder.join("config.new"), text).expect("the configuration");
        fs::rename(self.folder.join("config.new"), self.folder.join("config.json"))
            .expect("the configuration");
    }

    /// Starts it with the deploy file's `run` and waits until it says that it is ready.
    pub fn start(&mut self) -> Result<(), String> {
        let deploy = fs::read_to_string(self.root.join("deploy/balancer.toml")).map_err(|e| e.to_string())?;
        let run = deploy.lines().find_map(|line| line.strip_prefix("run = \"")?.strip_suffix('"'));
        let run = run.ok_or("the deploy file has no `run`")?;
        self.starts += 1;
        let log =
            File::create(self.folder.join(format!("log-{}.txt", self.starts))).map_err(|e| e.to_string())?;
        let mut command = Command::new("/bin/sh");
        command
            .args(["-c", run])
            .current_dir(&self.root)
            .env("PROXY_NAME", "n0")
            .env("PROXY_LISTEN", self.listen.to_string())
            .env("PROXY_CONFIG", self.folder.join("config.json"))
            .env("PROXY_CONTROL", self.control.to_string())
            .env("TMPDIR", self.folder.join("tmp"))
            .stdin(Stdio::null())
            .stdout(log.try_clone().map_err(|e| e.to_string())?)
            .stderr(log);
        // SAFETY: between fork and exec only a plain system call is made. If this process is killed outright, so is its child.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL as u64);
                Ok(())
            });
        }
        let child = command.spawn().map_err(|e| e.to_string())?;
        self.record.line(format!("the gatekeeper is started: {run}, process {}", child.id()));
        RUNNING.store(child.id() as i32, Ordering::Relaxed);
        self.child = Some(child);
        let until = now() + 10.0;
        while now() < until {
            if self.get("/_ready").is_some_and(|reply| reply.starts_with("HTTP/1.1 200")) {
                self.record.line("the gatekeeper is ready");
                return Ok(());
            }
            sleep(0.02);
        }
        Err("the gatekeeper isn't ready after 10 s".into())
    }

    /// Asks the control address; the whole reply.
    pub fn get(&self, path: &str) -> Option<String> {
        let mut stream = TcpStream::connect_timeout(&self.control, Duration::from_millis(500)).ok()?;
        stream.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
        write!(stream, "GET {path} HTTP/1.1\r\nHost: n0\r\n\r\n").ok()?;
        let mut reply = Vec::new();
        let _ = stream.read_to_end(&mut reply);
        Some(String::from_utf8_lossy(&reply).into_owned())
    }

    pub fn signal(&self, signal: i32, name: &str) {
        if let Some(child) = &self.child {
            self.record.line(format!("{name} to the gatekeeper"));
            // SAFETY: a plain system call; the process is this one's child and has not been waited for.
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    /// Kills it outright.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            self.record.line("the gatekeeper is killed (SIGKILL)");
            RUNNING.store(0, Ordering::Relaxed);
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// How its process ended, if it has.
    pub fn ended(&mut self) -> Option<String> {
        let status = self.child.as_mut()?.try_wait().ok()??;
        Some(status.to_string())
    }

    /// Copies its log into the record.
    pub fn record_log(&self) {
        for n in 1..=self.starts {
            let text = fs::read_to_string(self.folder.join(format!("log-{n}.txt"))).unwrap_or_default();
            text.lines().for_each(|line| self.record.line(format!("log {n}: {line}")));
        }
    }
}

impl Drop for Gatekeeper {
    fn drop(&mut self) {
        self.kill();
        let _ = fs::remove_dir_all(&self.folder);
    }
}
