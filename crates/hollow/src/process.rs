//! Starts a process of hollow leaves and reads its reports.

use std::io::{self, BufRead, BufReader, Write};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{sync_channel, Receiver};
use std::time::{Duration, Instant};

use crate::leaves::{Attachment, Plan, Report, SettingsTaken};

/// How long a requested report is waited for.
const REPORT_TIMEOUT: Duration = Duration::from_secs(10);
/// The most reports that wait to be read; beyond that the process blocks when it writes.
const MAX_UNREAD_REPORTS: usize = 1000;

/// A process of hollow leaves. It is killed when this value is dropped.
pub struct Process {
    /// The plan that it was started with.
    pub plan: Plan,
    /// The operating system's process.
    pub child: Child,
    reports: Receiver<Report>,
    /// The last report that was read.
    pub last_report: Report,
    /// Settings applied by its leaves, from all reports read so far.
    pub settings_taken: Vec<SettingsTaken>,
    /// Attachments of its leaves, from all reports read so far.
    pub attachments: Vec<Attachment>,
}

impl Plan {
    /// The plan as arguments of the program.
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
    /// Starts a process; `command` is the program with its arguments for the plan. Fails if it cannot be started.
    pub fn start(mut command: Command, plan: Plan) -> io::Result<Process> {
        let mut child = command.stdin(Stdio::piped()).stdout(Stdio::piped()).spawn()?;
        let stdout = child
            .stdout
            .take()
            .ok_or_else(|| io::Error::other("the process of hollow leaves has no standard output"))?;
        let (send, reports) = sync_channel(MAX_UNREAD_REPORTS);
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

    fn record_report(&mut self, mut report: Report) {
        self.settings_taken.append(&mut report.settings_taken);
        self.attachments.append(&mut report.attachments);
        self.last_report = report;
    }

    /// Reads the reports that have arrived, without waiting.
    pub fn read_reports(&mut self) {
        while let Ok(report) = self.reports.try_recv() {
            self.record_report(report);
        }
    }

    /// Requests a report and waits for one made since. Fails if the process has ended or does not report in time.
    pub fn request_report(&mut self) -> io::Result<&Report> {
        let requested_at = hollypaddle_standin::program::unix_time();
        let input = self
            .child
            .stdin
            .as_mut()
            .ok_or_else(|| io::Error::other("the process of hollow leaves has no standard input"))?;
        input.write_all(b"?\n")?;
        let started_at = Instant::now();
        loop {
            let left = REPORT_TIMEOUT.saturating_sub(started_at.elapsed());
            let report = self.reports.recv_timeout(left);
            let report = report
                .map_err(|_| io::Error::other("the process of hollow leaves sent no report in time"))?;
            let is_new = report.at >= requested_at;
            self.record_report(report);
            if is_new {
                return Ok(&self.last_report);
            }
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // The process may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
