//! A process of hollow leaves, from outside.

use std::io::{self, BufRead, BufReader, Write};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{sync_channel, Receiver};
use std::time::{Duration, Instant};

use crate::leaves::{Attachment, Plan, Report, SettingsTaken};

/// How long an answer is waited for.
const PATIENCE: Duration = Duration::from_secs(10);
/// Reports that wait to be read; beyond it the process waits to write.
const LINES: usize = 1000;

/// A process of hollow leaves. It is ended when this is dropped.
pub struct Process {
    /// What was asked of it.
    pub plan: Plan,
    /// The process.
    pub child: Child,
    reports: Receiver<Report>,
    /// The last report that was read.
    pub last_report: Report,
    /// Settings that its leaves took, of all reports read so far.
    pub settings_taken: Vec<SettingsTaken>,
    /// The same, attachments.
    pub attachments: Vec<Attachment>,
}

impl Plan {
    /// The same as arguments of the program.
    pub fn args(&self) -> Vec<String> {
        let mut args: Vec<String> = Vec::new();
        let mut add = |name: &str, value: String| args.extend([format!("--{name}"), value]);
        self.relays.iter().for_each(|relay| add("relay", relay.to_string()));
        self.zones.iter().for_each(|zone| add("zone", format!("{},{}", zone.0.zone, zone.0.region)));
        add("leaves", self.leaves.to_string());
        add("first", self.first.to_string());
        add("services", self.services.to_string());
        add("servers", self.servers.to_string());
        if let Some(refuse) = &self.refuse {
            add("refuse", refuse.clone());
        }
        args
    }
}

impl Process {
    /// Starts one; `command` is the program with all that it needs to know of the plan.
    pub fn start(mut command: Command, plan: Plan) -> io::Result<Process> {
        let mut child = command.stdin(Stdio::piped()).stdout(Stdio::piped()).spawn()?;
        let stdout = child.stdout.take().ok_or_else(|| io::Error::other("no standard output"))?;
        let (send, reports) = sync_channel(LINES);
        std::thread::spawn(move || {
            for line in BufReader::new(stdout).lines().map_while(Result::ok) {
                let Ok(report) = serde_json::from_str::<Report>(&line) else { continue };
                if send.send(report).is_err() {
                    return;
                }
            }
        });
        let (took, moved) = (Vec::new(), Vec::new());
        Ok(Process {
            plan,
            child,
            reports,
            last_report: Report::default(),
            settings_taken: took,
            attachments: moved,
        })
    }

    fn take(&mut self, mut report: Report) {
        self.settings_taken.append(&mut report.settings_taken);
        self.attachments.append(&mut report.attachments);
        self.last_report = report;
    }

    /// Reads what it has reported since.
    pub fn read_reports(&mut self) {
        while let Ok(report) = self.reports.try_recv() {
            self.take(report);
        }
    }

    /// Asks for a report and waits for one that was made since.
    pub fn request_report(&mut self) -> io::Result<&Report> {
        let since = hollypaddle_standin::program::unix_time();
        let input = self.child.stdin.as_mut().ok_or_else(|| io::Error::other("no standard input"))?;
        input.write_all(b"?\n")?;
        let begun = Instant::now();
        loop {
            let left = PATIENCE.saturating_sub(begun.elapsed());
            let report = self.reports.recv_timeout(left);
            let report =
                report.map_err(|_| io::Error::other("a process of hollow leaves reports nothing"))?;
            let new = report.at >= since;
            self.take(report);
            if new {
                return Ok(&self.last_report);
            }
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // It may have ended by itself.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
