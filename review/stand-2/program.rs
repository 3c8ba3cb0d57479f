//! The gatekeeper as a process, started with the command of the deploy file, and the record of a case.

use std::ffi::{c_int, c_ulong};
use std::fs::{self, File};
use std::io::{self, Write};
use std::net::{SocketAddrV4, TcpListener};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::thread::sleep;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// The system's time, in Unix seconds.
pub fn now() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64()
}

pub fn pause(seconds: f64) {
    sleep(Duration::from_secs_f64(seconds.max(0.0)));
}

/// `record.txt`: what was sent, answered and run, with the time.
pub struct Record {
    file: Mutex<File>,
    started: f64,
}

impl Record {
    pub fn open(path: &Path) -> io::Result<Record> {
        Ok(Record { file: Mutex::new(File::create(path)?), started: now() })
    }

    /// Writes a line with the seconds since the start.
    pub fn line(&self, text: impl AsRef<str>) {
        if let Ok(mut file) = self.file.lock() {
            let _ = writeln!(file, "{:9.4} {}", now() - self.started, text.as_ref());
        }
    }

    /// Writes a line and prints it.
    pub fn say(&self, text: impl AsRef<str>) {
        println!("{}", text.as_ref());
        self.line(text);
    }

    /// A time as it stands in the record.
    pub fn at(&self, time: f64) -> f64 {
        time - self.started
    }
}

/// A loopback port that nobody uses.
pub fn free_address() -> io::Result<SocketAddrV4> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    match listener.local_addr()? {
        std::net::SocketAddr::V4(address) => Ok(address),
        std::net::SocketAddr::V6(_) => Err(io::Error::other("no IPv4 address")),
    }
}

/// The temporary folder of a case; it is removed with this value.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new() -> io::Result<Folder> {
        let path = std::env::temp_dir().join(format!("hollypaddle-review-{}", std::process::id()));
        fs::create_dir_all(path.join("tmp"))?;
        Ok(Folder(path))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

extern "C" {
    fn prctl(option: c_int, value: c_ulong, third: c_ulong, fourth: c_ulong, fifth: c_ulong) -> c_int;
}

/// The gatekeeper is ended with this program, however that ends.
const PR_SET_PDEATHSIG: c_int = 1;
const SIGKILL: c_ulong = 9;

/// One gatekeeper's process. It is ended when this is dropped.
pub struct Gatekeeper {
    child: Child,
}

impl Gatekeeper {
    /// Starts `run` of the deploy file from the project's root. `config` is the path of the platform's file.
    pub fn start(
        root: &Path,
        folder: &Folder,
        name: &str,
        listen: SocketAddrV4,
        config: &Path,
    ) -> io::Result<Gatekeeper> {
        let deploy = fs::read_to_string(root.join("deploy/balancer.toml"))?;
        let run = deploy
            .lines()
            .find_map(|line| line.strip_prefix("run = \"")?.split('"').next().map(str::to_string));
        let run = run.ok_or_else(|| io::Error::other("the deploy file has no `run`"))?;
        let log = fs::OpenOptions::new().create(true).append(true).open(folder.0.join("log"))?;
        let mut command = Command::new("/bin/sh");
        command
            .args(["-c", &run])
            .current_dir(root)
            .env("PROXY_NAME", name)
            .env("PROXY_LISTEN", listen.to_string())
            .env("PROXY_CONFIG", config)
            .env("TMPDIR", folder.0.join("tmp"))
            .env_remove("HOLLYPADDLE_CONFIG")
            .env_remove("PROXY_CONTROL")
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log);
        // SAFETY: `prctl` is safe to call between fork and exec, and the numbers are those of Linux.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL, 0, 0, 0);
                Ok(())
            });
        }
        Ok(Gatekeeper { child: command.spawn()? })
    }

    /// Sends it a signal, as `HUP`.
    pub fn signal(&self, signal: &str) -> io::Result<()> {
        let command = format!("kill -{signal} {}", self.child.id());
        match Command::new("/bin/sh").args(["-c", &command]).status()?.success() {
            true => Ok(()),
            false => Err(io::Error::other("the gatekeeper has gone")),
        }
    }

    /// Kills it outright and waits until it is gone.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Whether it still runs.
    pub fn runs(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Gatekeeper {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Copies the gatekeeper's log into the record.
pub fn record_log(record: &Record, folder: &Folder) {
    record.line("the gatekeeper's log:");
    for line in fs::read_to_string(folder.0.join("log")).unwrap_or_default().lines() {
        record.line(format!("  {line}"));
    }
}

/// Replaces a file in one step, as the platform does before SIGHUP.
pub fn replace(path: &Path, text: &str) -> io::Result<()> {
    let next = path.with_extension("next");
    fs::write(&next, text)?;
    fs::rename(next, path)
}
