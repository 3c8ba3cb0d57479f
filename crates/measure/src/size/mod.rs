//! What a gatekeeper costs as the fleet and its load grow: each figure at five sizes or more, with the form of its
//! growth. Each part writes sections of its own, so that a run that takes the machine alone can be a short one.

mod caller;
mod connections;
pub(crate) mod control;
mod farm;
pub(crate) mod fit;
pub(crate) mod heart;
pub(crate) mod hollow;
mod list;
mod stage;

use std::error::Error;
use std::fmt::Write;
use std::path::Path;

use clap::ValueEnum;

use fit::{short, Slope};

/// What is measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub(crate) enum Part {
    /// A call in one gatekeeper.
    Heart,
    /// The list of servers in the resolver's answers.
    List,
    /// Connections to servers.
    Connections,
    /// Cold servers under the sum of many gatekeepers.
    Cold,
    /// What members of a fleet say to each other.
    Control,
    /// A tier of relays with many leaves, most of them hollow.
    Hollow,
}

impl Part {
    const ALL: [Part; 6] =
        [Part::Heart, Part::List, Part::Connections, Part::Cold, Part::Control, Part::Hollow];
}

/// Measures one part, or all; of the heart one series, or all. Returns what does not hold.
pub(crate) fn measure(
    part: Option<Part>,
    series: Option<heart::Series>,
    members: &[usize],
    hollow: &hollow::Wanted,
    program: &Path,
    out: &Path,
) -> Result<Vec<String>, Box<dyn Error>> {
    let mut failures = Vec::new();
    for part in Part::ALL.into_iter().filter(|p| part.is_none_or(|one| one == *p)) {
        match part {
            Part::Heart => {
                for one in heart::Series::ALL.into_iter().filter(|s| series.is_none_or(|one| one == *s)) {
                    failures.extend(heart::measure(one, program, out)?);
                }
            }
            Part::List => failures.extend(list::measure(program, out)?),
            Part::Connections => failures.extend(connections::measure(program, out)?),
            Part::Cold => failures.extend(connections::measure_cold(out)?),
            Part::Hollow => failures.extend(hollow::measure(hollow, out)?),
            Part::Control => failures.extend(control::measure(program, out, members)?),
        }
    }
    Ok(failures)
}

/// The machine that a figure is of.
pub(crate) fn machine() -> String {
    let cores = std::thread::available_parallelism().map_or(0, usize::from);
    let cpu = std::fs::read_to_string("/proc/cpuinfo").unwrap_or_default();
    let model = cpu.lines().find_map(|l| l.strip_prefix("model name")).unwrap_or(": unknown");
    let model = model.trim_start_matches([' ', '\t', ':']);
    let kernel = std::fs::read_to_string("/proc/sys/kernel/osrelease").unwrap_or_default();
    format!("Machine: {cores} cores of {model}, Linux {}.", kernel.trim())
}

/// A figure's line in a table of slopes, with what the slope says at some sizes; those that were not run are marked.
pub(crate) fn slope_line(
    page: &mut String,
    name: &str,
    slope: &Slope,
    at: &[f64],
) -> Result<(), std::fmt::Error> {
    write!(page, "| {name} | {slope} |")?;
    for n in at {
        let mark = if *n > slope.largest { " (not run)" } else { "" };
        write!(page, " {}{mark} |", short(slope.at(*n)))?;
    }
    writeln!(page)
}

/// The middle one.
pub(crate) fn median(values: &mut [f64]) -> f64 {
    heart::quantile(values, 0.5)
}
