//! `make demo`: two gatekeepers, as processes of their own, between callers at 54 calls a second and three
//! session servers in three districts; a live line a second, and a table by class at the end.

use std::error::Error;
use std::path::PathBuf;
use std::process::Command;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use clap::Parser;
use comfy_table::{presets, Table};
use hollypaddle_standin::callers::End;
use hollypaddle_standin::program::{unix_time, Program};
use hollypaddle_standin::world::{classes, Plan, World, DISTRICTS};

/// Calls a second at both gatekeepers together.
const RATE: f64 = 54.0;
/// Longest wait for calls to come to their end when the traffic is over, in seconds.
const PATIENCE: f64 = 4.0;

/// Runs two gatekeepers against stand-ins.
#[derive(Parser)]
struct Args {
    /// How long, in seconds; 0 is until it is stopped.
    #[arg(long, default_value_t = 20.0)]
    seconds: f64,
    /// The gatekeeper's program.
    #[arg(long, default_value = "target/release/hollypaddle")]
    program: PathBuf,
}

fn line(world: &World, since: f64, now: f64) -> String {
    let calls = || world.callers.iter().flat_map(|c| c.calls.values());
    let standing: usize = world.callers.iter().map(|c| c.standing()).sum();
    let refused = calls().filter(|c| matches!(c.end, Some((_, End::Refused(_))))).count();
    let failed = calls().filter(|c| matches!(c.end, Some((_, End::Failed)))).count();
    let waits: Vec<String> = world.servers.iter().map(|s| format!("{:.0}", s.wait(now) * 1000.0)).collect();
    let service = world.service(None, (now - 11.0).max(since), now - 1.0);
    format!(
        "{:3.0} s: {} offered, {standing} standing, {refused} refused, {failed} failed; service of the last 10 s {}; waits {} ms",
        now - since,
        calls().count(),
        service.map_or("-".into(), |s| format!("{:.1}%", s * 100.0)),
        waits.join("/"),
    )
}

fn closing(world: &World, since: f64, until: f64) -> String {
    let mut table = Table::new();
    table.load_style(presets::NOTHING);
    table.set_header(["class", "offered", "stood", "in time", "refused", "failed", "cut", "service"]);
    for plan in &world.plan.classes {
        let calls: Vec<_> =
            world.callers.iter().flat_map(|c| c.calls.values()).filter(|c| c.class == plan.name).collect();
        let count = |what: &dyn Fn(&hollypaddle_standin::callers::Call) -> bool| {
            calls.iter().filter(|c| what(c)).count().to_string()
        };
        let ended = |c: &hollypaddle_standin::callers::Call| c.end.map(|e| e.1);
        table.add_row([
            plan.name.to_string(),
            calls.len().to_string(),
            count(&|c| c.stood.is_some()),
            count(&|c| c.stood.is_some_and(|at| at - c.offered <= plan.goal)),
            count(&|c| matches!(ended(c), Some(End::Refused(_)))),
            count(&|c| ended(c) == Some(End::Failed)),
            count(&|c| ended(c) == Some(End::Cut)),
            world.service(Some(plan.name), since, until).map_or("-".into(), |s| format!("{:.1}%", s * 100.0)),
        ]);
    }
    table.to_string()
}

fn main() -> Result<(), Box<dyn Error>> {
    let args = Args::parse();
    let stop = Arc::new(AtomicBool::new(false));
    for signal in [signal_hook::consts::SIGINT, signal_hook::consts::SIGTERM] {
        signal_hook::flag::register(signal, Arc::clone(&stop))?;
    }
    let folder = tempfile::tempdir()?;
    let servers = vec![(0, 25.0), (1, 25.0), (2, 25.0)];
    let mut world = World::open(Plan { fronts: vec![0, 2], servers, classes: classes(), seed: 1 })?;
    let socket = |front: usize| folder.path().join(format!("n{front}.sock"));
    let mut programs = Vec::new();
    for front in 0..2 {
        let conf = format!("control \"{}\"\ncrossings {{\n urgent valve-set\n}}\n", socket(front).display());
        programs.push(Program::start(&args.program, folder.path(), &world, front, &conf)?);
    }
    let mut addresses = Vec::new();
    for program in &mut programs {
        addresses.push(program.serving()?);
    }
    world.connect(&addresses);
    println!("gatekeepers in {} and {}, servers in {}", DISTRICTS[0], DISTRICTS[2], DISTRICTS.join(", "));
    let (since, mut told) = (unix_time(), 0.0);
    let mut over: Option<f64> = None;
    loop {
        let now = unix_time();
        match over {
            None if stop.load(Ordering::Relaxed) || (args.seconds > 0.0 && now - since >= args.seconds) => {
                over = Some(now);
            }
            None => {
                for front in 0..2 {
                    world.traffic(now, front, RATE / 2.0, |a, _| (a * 3.0) as u32);
                }
            }
            // Each call gets its answer; those that stand may go on.
            Some(at) => {
                let open: usize = world.callers.iter().map(|c| c.unanswered()).sum();
                if open == 0 || now - at > PATIENCE {
                    break;
                }
            }
        }
        world.turn(now);
        if now - since >= told + 1.0 {
            told += 1.0;
            println!("{}", line(&world, since, now));
        }
        for program in &mut programs {
            if let Some(status) = program.child.try_wait()? {
                return Err(format!("a gatekeeper ended: {status}").into());
            }
        }
        std::thread::sleep(Duration::from_millis(1));
    }
    for front in 0..2 {
        let mut ctl = Command::new(&args.program);
        let asked = ctl.args(["ctl", "--socket"]).arg(socket(front)).arg("crossings").output()?;
        println!("\ngatekeeper n{front}:\n{}", String::from_utf8_lossy(&asked.stdout));
    }
    println!("\n{}", closing(&world, since, over.unwrap_or(since)));
    let answered = world.callers.iter().all(|c| c.calls.values().all(|call| call.answers == 1));
    match answered {
        true => Ok(()),
        false => Err("a call did not get its one final answer".into()),
    }
}
