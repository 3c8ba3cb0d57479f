//! Plays one case of the review: the gatekeeper as a process of its own between stand-in callers, session servers and
//! resolver, all on loopback addresses and the real clock.
//!
//! `review-bench CASE ROOT` writes `record.txt` into the current folder and exits with 1 if the rule was broken, 0 if it
//! held, 2 if the case couldn't run. With `TROUBLE=0` it leaves the disruption out.

mod caller;
mod cases;
mod gatekeeper;
mod new_tenants;
mod record;
mod resolver;
mod server;
mod slow_discovery;
mod taken_back;
mod wire;

use std::path::PathBuf;
use std::process::exit;
use std::sync::atomic::{AtomicBool, Ordering};

use record::Record;

extern "C" {
    fn signal(signal: i32, handler: extern "C" fn(i32)) -> usize;
}

const SIGINT: i32 = 2;
const SIGTERM: i32 = 15;

/// Set by a signal that ends the run.
static ENDED: AtomicBool = AtomicBool::new(false);

extern "C" fn end(_: i32) {
    ENDED.store(true, Ordering::Relaxed);
}

/// A case ends at the latest after this time, in seconds.
const LONGEST_S: f64 = 110.0;

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, root] = &arguments[..] else {
        eprintln!("review-bench CASE ROOT");
        exit(2);
    };
    let Ok(record) = Record::create("record.txt") else {
        eprintln!("record.txt can't be written");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    record.tell(format!("case {case}, {} the disruption", if trouble { "with" } else { "without" }));
    for ending in [SIGINT, SIGTERM] {
        // SAFETY: the handler only sets a flag.
        unsafe { signal(ending, end) };
    }
    let (name, root, shared) = (case.clone(), PathBuf::from(root), record.clone());
    let played = std::thread::spawn(move || cases::play(&name, root, trouble, &shared));
    let until = record::now() + LONGEST_S;
    while !played.is_finished() && record::now() < until && !ENDED.load(Ordering::Relaxed) {
        record::sleep(0.05);
    }
    let code = match played.is_finished().then(|| played.join()) {
        Some(Ok(Ok(true))) => 1,
        Some(Ok(Ok(false))) => 0,
        Some(Ok(Err(why))) => {
            record.tell(format!("the case couldn't run: {why}"));
            2
        }
        Some(Err(_)) => {
            record.tell("the case couldn't run: a stand-in failed");
            2
        }
        None => {
            gatekeeper::kill_running();
            record.tell("the case couldn't run: it takes too long, or was ended by a signal");
            2
        }
    };
    record.tell(format!(
        "result {code}: {}",
        ["the rule held", "the rule was broken", "the case couldn't run"][code as usize]
    ));
    record.flush();
    exit(code);
}
