//! `hollypaddle-faults`: random scripts of faults over the deterministic world and over real processes. A script that
//! breaks an invariant is made smaller and written to a file that plays it again; the program then ends with 1.

use std::error::Error;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::atomic::{AtomicU64, Ordering};

use clap::{Parser, Subcommand};
use hollypaddle_faults::check::Broken;
use hollypaddle_faults::real;
use hollypaddle_faults::script::{Draw, Script};
use hollypaddle_faults::tier;
use hollypaddle_faults::world::{Plan, World};

/// Faults of a script that is drawn.
const FAULTS: usize = 6;
/// Seconds from its first fault to the healing.
const LASTS: f64 = 8.0;

/// Plays faults.
#[derive(Parser)]
#[command(
    after_help = "Example:\n  hollypaddle-faults world --seed 1 --rounds 2000\n  hollypaddle-faults real --rounds 5\n  \
                        hollypaddle-faults play failed.txt --real"
)]
struct Args {
    #[command(subcommand)]
    verb: Verb,
    /// Where a failing script is written.
    #[arg(long, global = true, default_value = "target/faults")]
    out: PathBuf,
    /// The gatekeeper's program.
    #[arg(long, global = true, default_value = "target/release/hollypaddle")]
    program: PathBuf,
    /// Gatekeepers; by default 3 to 8 by turns in the world, 5 real ones.
    #[arg(long, global = true)]
    gatekeepers: Option<usize>,
}

#[derive(Subcommand)]
enum Verb {
    /// Random scripts in the deterministic world, in skipped time.
    World {
        /// The first seed.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// How many.
        #[arg(long, default_value_t = 1000)]
        rounds: u64,
    },
    /// Random scripts over relays and leaves in the deterministic world, and with `--leaves 750` the long runs.
    Tier {
        /// The first seed.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// How many scripts, over 5 relays and 12 leaves.
        #[arg(long, default_value_t = 200)]
        rounds: u64,
        /// With so many leaves the long runs are played, with the first seed: a day, a rack, a zone, regions and more.
        #[arg(long)]
        leaves: Option<usize>,
    },
    /// Random scripts over real processes.
    Real {
        /// The first seed.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// How many.
        #[arg(long, default_value_t = 5)]
        rounds: u64,
    },
    /// One script again.
    Play {
        /// Its file.
        file: PathBuf,
        /// Over real processes.
        #[arg(long)]
        real: bool,
    },
}

fn draw(gatekeepers: usize, servers: usize) -> Draw {
    Draw { gatekeepers, servers, lasts: LASTS, faults: FAULTS, server_links: false }
}

fn in_world(gatekeepers: usize, script: &Script) -> Vec<Broken> {
    let chaos = if script.seed.is_multiple_of(2) { 0.0 } else { 0.1 };
    World::new(Plan { chaos, ..Plan::of(gatekeepers) }, script.seed).play(script)
}

fn over_processes(
    program: &Path,
    gatekeepers: usize,
    script: &Script,
) -> Result<Vec<Broken>, Box<dyn Error>> {
    Ok(real::play(program, &real::Plan::of(gatekeepers), script)?.0)
}

/// Writes a failing script to a file, and says what it broke.
fn write(
    out: &Path,
    name: &str,
    gatekeepers: usize,
    script: &Script,
    broken: &[Broken],
) -> Result<(), Box<dyn Error>> {
    std::fs::create_dir_all(out)?;
    let path = out.join(name);
    let mut told: Vec<String> = broken.iter().map(|b| format!("# {b}")).collect();
    told.insert(0, format!("# {gatekeepers} gatekeepers"));
    std::fs::write(&path, format!("{script}{}\n", told.join("\n")))?;
    eprintln!("broken, written to {}:\n{script}{}", path.display(), told.join("\n"));
    Ok(())
}

fn main() -> Result<ExitCode, Box<dyn Error>> {
    let args = Args::parse();
    let mut failed = 0;
    match &args.verb {
        Verb::World { seed, rounds } => {
            let next = AtomicU64::new(*seed);
            let threads = std::thread::available_parallelism().map_or(1, usize::from);
            let members = |seed: u64| args.gatekeepers.unwrap_or(3 + (seed % 6) as usize).max(2);
            let round = || {
                let mut found = Vec::new();
                loop {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    if seed >= args_end(&args.verb) {
                        return found;
                    }
                    let script = Script::random(seed, &draw(members(seed), 0));
                    if !in_world(members(seed), &script).is_empty() {
                        let small = script.smaller(|s| !in_world(members(seed), s).is_empty());
                        found.push((seed, small));
                    }
                }
            };
            let found: Vec<(u64, Script)> = std::thread::scope(|scope| {
                let all: Vec<_> = (0..threads).map(|_| scope.spawn(round)).collect();
                all.into_iter().flat_map(|thread| thread.join().unwrap_or_default()).collect()
            });
            for (seed, script) in &found {
                let broken = in_world(members(*seed), script);
                write(&args.out, &format!("world-{seed}.txt"), members(*seed), script, &broken)?;
            }
            failed += found.len();
            println!("{rounds} rounds in the deterministic world from seed {seed}, {} broken", found.len());
        }
        Verb::Tier { seed, rounds, leaves } => {
            let plan = |seed: u64| tier::Plan {
                loss: if seed % 4 == 3 { 0.05 } else { 0.0 },
                ..tier::Plan::of(5, 12)
            };
            let play = |s: &Script| tier::World::new(plan(s.seed), s.seed).play(s);
            for seed in *seed..seed + rounds {
                let script = tier::random_script(seed, &plan(seed), FAULTS, LASTS);
                if !play(&script).is_empty() {
                    failed += 1;
                    let small = script.smaller(|s| !play(s).is_empty());
                    write(&args.out, &format!("tier-{seed}.txt"), 17, &small, &play(&small))?;
                }
            }
            println!("{rounds} rounds over relays and leaves from seed {seed}, {failed} broken");
            for run in leaves.iter().flat_map(|_| tier::RUNS) {
                let figures = run.play(tier::Plan::of(5, leaves.unwrap_or(750)), *seed);
                println!("{figures:?}");
                failed += usize::from(!figures.broken.is_empty());
            }
        }
        Verb::Real { seed, rounds } => {
            let gatekeepers = args.gatekeepers.unwrap_or(5).max(2);
            for seed in *seed..seed + rounds {
                let script = Script::random(seed, &draw(gatekeepers, 3));
                let broken = over_processes(&args.program, gatekeepers, &script)?;
                println!("seed {seed}: {} broken", broken.len());
                if !broken.is_empty() {
                    failed += 1;
                    let fails = |s: &Script| {
                        over_processes(&args.program, gatekeepers, s).is_ok_and(|broken| !broken.is_empty())
                    };
                    let small = script.smaller(fails);
                    write(&args.out, &format!("real-{seed}.txt"), gatekeepers, &small, &broken)?;
                }
            }
            println!("{rounds} rounds over real processes, {failed} broken");
        }
        Verb::Play { file, real } => {
            let script: Script = std::fs::read_to_string(file)?.parse()?;
            let gatekeepers = args.gatekeepers.unwrap_or(5).max(2);
            let broken = match real {
                true => over_processes(&args.program, gatekeepers, &script)?,
                false => in_world(gatekeepers, &script),
            };
            broken.iter().for_each(|b| println!("{b}"));
            failed = broken.len();
        }
    }
    Ok(if failed == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

/// The first seed that is not played any more.
fn args_end(verb: &Verb) -> u64 {
    match verb {
        Verb::World { seed, rounds } | Verb::Real { seed, rounds } => seed.saturating_add(*rounds),
        Verb::Play { .. } | Verb::Tier { .. } => 0,
    }
}
