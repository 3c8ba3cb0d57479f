//! The cases of the second review: each plays one disruption against a real gatekeeper between stand-ins, and judges by
//! what callers and servers saw. Exit code 0: the rule held, 1: it was broken, 2: the case could not run.
//!
//! `stand CASE ROOT RECORD`, where CASE is one of `cases`, or of `further`, which are seen beside the five cases; with `TROUBLE=0` the disruption is left out.

mod bed;
mod cases;
mod further;
mod peers;
mod program;
mod proxy;
mod wire;

use std::io;
use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::thread;

use bed::{Bed, MAGNOLIA};
use program::{pause, record_log, Folder, Record};

/// A case that takes longer than this could not run, in seconds.
const LONGEST_S: f64 = 115.0;

/// How a case ended: what broke the rule, if anything did.
pub type Verdict = Vec<String>;

/// One case: its name, how long calls stand in it if nobody releases them, in seconds, and what it plays.
pub type Case = (&'static str, f64, fn(&Bed, bool) -> io::Result<Verdict>);

fn play_in_bed(
    name: &str,
    root: &Path,
    folder: &Folder,
    record: &Arc<Record>,
    trouble: bool,
) -> io::Result<Verdict> {
    let case = cases::CASES.iter().chain(further::CASES).find(|case| case.0 == name);
    let (_, hold, play) = case.ok_or_else(|| io::Error::other("no such case"))?;
    let bed = Bed::open(&MAGNOLIA, root, folder, record, *hold)?;
    play(&bed, trouble)
}

fn play(case: &str, root: &Path, record: &Arc<Record>, trouble: bool) -> Result<Verdict, String> {
    let folder = Folder::new().map_err(|error| error.to_string())?;
    let verdict = play_in_bed(case, root, &folder, record, trouble);
    record_log(record, &folder);
    verdict.map_err(|error| error.to_string())
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, root, record] = &arguments[..] else {
        eprintln!("usage: stand CASE ROOT RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = match Record::open(Path::new(record)) {
        Ok(record) => Arc::new(record),
        Err(error) => {
            eprintln!("the record: {error}");
            return ExitCode::from(2);
        }
    };
    let late = Arc::clone(&record);
    thread::spawn(move || {
        pause(LONGEST_S);
        late.say("the case could not run: it took too long");
        // The gatekeeper ends with this program.
        std::process::exit(2);
    });
    record.say(format!(
        "case {case}, {}",
        if trouble { "with the disruption" } else { "without the disruption" }
    ));
    match play(case, Path::new(root), &record, trouble) {
        Ok(broken) if broken.is_empty() => {
            record.say("the rule held");
            ExitCode::SUCCESS
        }
        Ok(broken) => {
            broken.iter().for_each(|what| record.say(format!("broken: {what}")));
            ExitCode::from(1)
        }
        Err(error) => {
            record.say(format!("the case could not run: {error}"));
            ExitCode::from(2)
        }
    }
}
