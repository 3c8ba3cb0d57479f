//! The record of a run, Unix time, and actions at later times.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{BufWriter, Write};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The system's Unix clock, in seconds.
pub fn now() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64()
}

pub fn sleep(seconds: f64) {
    std::thread::sleep(Duration::from_secs_f64(seconds.max(0.0)));
}

/// Sleeps until a Unix time.
pub fn sleep_until(at: f64) {
    sleep(at - now());
}

/// Writes `record.txt`: what was sent, answered and run, with the seconds since the start.
#[derive(Clone)]
pub struct Record {
    started: f64,
    file: Arc<Mutex<BufWriter<File>>>,
}

impl Record {
    pub fn create(path: &str) -> std::io::Result<Record> {
        Ok(Record { started: now(), file: Arc::new(Mutex::new(BufWriter::new(File::create(path)?))) })
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let at = now() - self.started;
        let _ = writeln!(self.file.lock().unwrap(), "{at:9.4} {}", text.as_ref());
    }

    /// Writes a line that is also printed.
    pub fn tell(&self, text: impl AsRef<str>) {
        println!("{}", text.as_ref());
        self.line(text);
    }

    pub fn flush(&self) {
        let _ = self.file.lock().unwrap().flush();
    }
}

type Action = Box<dyn FnOnce() + Send>;

/// Runs actions at later times, one after the other.
#[derive(Clone)]
pub struct Timers {
    queue: Arc<(Mutex<BTreeMap<(Instant, u64), Action>>, Condvar)>,
    next: Arc<Mutex<u64>>,
}

impl Timers {
    pub fn start() -> Timers {
        let timers = Timers { queue: Arc::default(), next: Arc::default() };
        let queue = Arc::clone(&timers.queue);
        std::thread::spawn(move || {
            let (actions, changed) = &*queue;
            let mut guard = actions.lock().unwrap();
            loop {
                let Some(at) = guard.keys().next().copied() else {
                    guard = changed.wait(guard).unwrap();
                    continue;
                };
                let now = Instant::now();
                if at.0 > now {
                    guard = changed.wait_timeout(guard, at.0 - now).unwrap().0;
                    continue;
                }
                let action = guard.remove(&at);
                drop(guard);
                if let Some(action) = action {
                    action();
                }
                guard = actions.lock().unwrap();
            }
        });
        timers
    }

    pub fn after(&self, seconds: f64, action: impl FnOnce() + Send + 'static) {
        let at = Instant::now() + Duration::from_secs_f64(seconds.max(0.0));
        let mut next = self.next.lock().unwrap();
        *next += 1;
        self.queue.0.lock().unwrap().insert((at, *next), Box::new(action));
        self.queue.1.notify_all();
    }
}
