//! A gatekeeper as a process of its own, whose log is read.

use std::io::{self, BufRead, BufReader};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{sync_channel, Receiver, RecvTimeoutError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use serde_json::Value;

use crate::world::World;

/// How long an event of the log is waited for.
const PATIENCE: Duration = Duration::from_secs(20);
/// Lines that wait to be read; beyond it the program waits to write.
const LINES: usize = 10_000;

/// The variable of the environment that names how talkative the logs of programs are, as `RUST_LOG` has it.
pub const LOG_LEVEL: &str = "PROGRAM_LOG";

/// The system's time, in Unix seconds.
pub fn unix_time() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64()
}

/// A gatekeeper's process. It is ended when this is dropped.
pub struct Program {
    /// The process.
    pub child: Child,
    /// Its log, line by line; what is no JSON comes as a string.
    pub lines: Receiver<Value>,
    /// The lines read so far.
    pub log: Vec<Value>,
}

impl Program {
    /// Starts `program` as a gatekeeper of the world, with its own configuration; both files are written into
    /// `folder`.
    pub fn start(
        program: &Path,
        folder: &Path,
        world: &World,
        front: usize,
        conf: &str,
    ) -> io::Result<Program> {
        Program::start_at(program, folder, world, front, conf, "127.0.0.1:0")
    }

    /// The same, with the address at which it listens for callers.
    pub fn start_at(
        program: &Path,
        folder: &Path,
        world: &World,
        front: usize,
        conf: &str,
        listen: &str,
    ) -> io::Result<Program> {
        Program::start_with(program, folder, &format!("n{front}"), &world.config(front)?, conf, listen)
    }

    /// The same, with a name and the platform's configuration as text.
    pub fn start_with(
        program: &Path,
        folder: &Path,
        name: &str,
        config: &str,
        conf: &str,
        listen: &str,
    ) -> io::Result<Program> {
        Program::start_in(program, folder, name, config, conf, &[("PROXY_LISTEN", listen)])
    }

    /// The same, with what stands in the environment beside its name and the file.
    pub fn start_in(
        program: &Path,
        folder: &Path,
        name: &str,
        config: &str,
        conf: &str,
        environment: &[(&str, &str)],
    ) -> io::Result<Program> {
        let (platform, own) = (folder.join(format!("{name}.json")), folder.join(format!("{name}.conf")));
        std::fs::write(&platform, config)?;
        std::fs::write(&own, conf)?;
        let mut child = Command::new(program)
            .args(["run", "--log-format", "json", "--config"])
            .arg(&own)
            .env("PROXY_NAME", name)
            .env("PROXY_CONFIG", &platform)
            .envs(environment.iter().copied())
            .env("RUST_LOG", std::env::var(LOG_LEVEL).unwrap_or_else(|_| "info".into()))
            .stderr(Stdio::piped())
            .spawn()?;
        let (send, lines) = sync_channel(LINES);
        let stderr = child.stderr.take().ok_or_else(|| io::Error::other("no standard error"))?;
        std::thread::spawn(move || {
            for line in BufReader::new(stderr).lines().map_while(Result::ok) {
                let line = serde_json::from_str(&line).unwrap_or(Value::String(line));
                if send.send(line).is_err() {
                    return;
                }
            }
        });
        Ok(Program { child, lines, log: Vec::new() })
    }

    /// Waits for an event of the log.
    pub fn event(&mut self, name: &str) -> io::Result<Value> {
        loop {
            let line = self.lines.recv_timeout(PATIENCE).map_err(|end| self.no_event(name, end))?;
            self.log.push(line.clone());
            if line["event"] == name {
                return Ok(line);
            }
        }
    }

    /// Tells why an event did not come: how the process ended, if it has, and its log.
    fn no_event(&mut self, name: &str, end: RecvTimeoutError) -> io::Error {
        let status = match end {
            // Its log is closed: it has ended, or is about to.
            RecvTimeoutError::Disconnected => self.child.wait().map(Some),
            RecvTimeoutError::Timeout => self.child.try_wait(),
        };
        io::Error::other(format!("no event {name:?}; exit status {status:?}, log {:?}", self.log))
    }

    /// Takes what it has written since, so that it never waits to write.
    pub fn take_lines(&mut self) {
        self.log.extend(self.lines.try_iter());
    }

    /// Waits until it serves; returns where.
    pub fn serving(&mut self) -> io::Result<SocketAddr> {
        let event = self.event("serving")?;
        let listen = event["listen"].as_str().and_then(|text| text.parse().ok());
        listen.ok_or_else(|| io::Error::other(format!("no address in {event}")))
    }

    /// Sends it a signal, as `-TERM`.
    pub fn signal(&self, name: &str) -> io::Result<()> {
        match Command::new("kill").args([name, &self.child.id().to_string()]).status()?.success() {
            true => Ok(()),
            false => Err(io::Error::other("the process has gone")),
        }
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        // It may have ended by itself.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
