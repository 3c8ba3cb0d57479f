//! `hollypaddle-measure NAME`: one measurement for each subject. It writes `docs/measurements/NAME.md` and its
//! chart, and ends with 1 if what must hold did not.

mod cold;
mod cores;
mod crossings;
mod decisions;
mod delays;
mod duties;
mod replication;
mod scale;
mod sites;
mod size;
mod stats;

use std::error::Error;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Parser, ValueEnum};

/// Measures one subject.
#[derive(Parser)]
struct Args {
    /// Which.
    name: Name,
    /// Runs of each case.
    #[arg(long, default_value_t = 5)]
    runs: u64,
    /// The gatekeeper's program, where one is measured as a process.
    #[arg(long, default_value = "target/release/hollypaddle")]
    program: PathBuf,
    /// Of replication only what a set-up pays, told and not written.
    #[arg(long)]
    delays: bool,
    /// Of size only this part.
    #[arg(long)]
    part: Option<size::Part>,
    /// Of the heart's part only this series.
    #[arg(long)]
    series: Option<size::heart::Series>,
    /// Of the control's part only fleets of so many members; the others are taken as they were kept. 0 runs none and writes
    /// the page alone.
    #[arg(long, value_delimiter = ',', default_values_t = size::control::SIZES)]
    members: Vec<usize>,
    /// Of the part on hollow leaves only so many leaves in all; the others are taken as they were kept.
    #[arg(long, value_delimiter = ',', default_values_t = size::hollow::SIZES)]
    leaves: Vec<usize>,
    /// The same, only these scenes; all by default.
    #[arg(long, value_delimiter = ',')]
    scenes: Vec<size::hollow::Scene>,
    /// The program of hollow leaves.
    #[arg(long, default_value = "target/release/hollypaddle-hollow")]
    hollow: PathBuf,
    /// Where the page and the chart are written.
    #[arg(long, default_value = "docs/measurements")]
    out: PathBuf,
}

#[derive(Clone, Copy, ValueEnum)]
enum Name {
    /// Budgets for what crosses districts: service, shares, and the cost of decisions.
    Crossings,
    /// What gatekeepers lose that share nothing, and what replication gives back.
    Replication,
    /// Who holds a duty of the fleet, and how long nobody does.
    Duties,
    /// The loss of a whole site and its return.
    Sites,
    /// Cold servers under the sum of 1 to 300 fronts.
    Cold,
    /// Several workers: what the ways to them cost.
    Cores,
    /// What grows with servers, calls and callers, as slopes.
    Size,
}

fn main() -> Result<ExitCode, Box<dyn Error>> {
    let args = Args::parse();
    let failures = match args.name {
        Name::Cold => cold::measure(args.runs.max(1), &args.out)?,
        Name::Size => {
            let hollow = size::hollow::Wanted {
                leaves: args.leaves,
                scenes: args.scenes,
                program: args.program.clone(),
                hollow: args.hollow,
            };
            size::measure(args.part, args.series, &args.members, &hollow, &args.program, &args.out)?
        }
        Name::Cores => cores::measure(args.runs.max(1), &args.program, &args.out)?,
        Name::Replication if args.delays => {
            delays::measure(args.runs.max(1), &args.program)?;
            Vec::new()
        }
        Name::Replication => replication::measure(args.runs.max(1), &args.program, &args.out)?,
        Name::Duties => duties::measure(args.runs.max(1), &args.out)?,
        Name::Sites => sites::measure(args.runs.max(1), &args.out)?,
        Name::Crossings => crossings::measure(args.runs.max(1), &args.out)?,
    };
    for failure in &failures {
        eprintln!("does not hold: {failure}");
    }
    Ok(if failures.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}
