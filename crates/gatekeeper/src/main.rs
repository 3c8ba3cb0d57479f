//! The program: its command line. What a gatekeeper needs beyond that it is told by the PROXY_* variables,
//! see `node::config`.

use std::error::Error;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;

use clap::{Args, Parser, Subcommand, ValueEnum};
use hollypaddle::node::config::Config;
use hollypaddle::node::control::Query;
use hollypaddle::node::event_loop::{Gatekeeper, Signals};
use hollypaddle::{ctl, logging};
use hollypaddle_config::Names;

/// Exit codes beside 0, and beside 2 for a command line that makes no sense.
const WRONG: u8 = 1;
const UNREACHABLE: u8 = 3;

/// A call controller ("gatekeeper") between callers and session servers.
#[derive(Parser)]
#[command(
    name = "hollypaddle",
    version,
    args_conflicts_with_subcommands = true,
    after_help = "Without a verb it serves, as `run` does. Exit codes: 0 done, 1 the configuration is wrong or \
                  it cannot serve, 2 the command line makes no sense, 3 the gatekeeper cannot be reached."
)]
struct Cli {
    #[command(subcommand)]
    verb: Option<Verb>,
    #[command(flatten)]
    run: Run,
}

#[derive(Args, Default)]
struct Run {
    /// The own configuration file.
    #[arg(long, value_name = "FILE", env = "HOLLYPADDLE_CONFIG")]
    config: Option<PathBuf>,
    /// How log lines are written.
    #[arg(long, value_enum, default_value_t)]
    log_format: logging::Format,
}

#[derive(Subcommand)]
enum Verb {
    /// Serve, as told by PROXY_NAME, PROXY_LISTEN and PROXY_CONFIG.
    #[command(
        after_help = "Example:\n  PROXY_NAME=n3 PROXY_LISTEN=127.0.0.1:5060 PROXY_CONFIG=config.json \\\n    \
                            hollypaddle run --config deploy/hollypaddle.conf --log-format json"
    )]
    Run(Run),
    /// Verify configuration files without serving.
    #[command(
        after_help = "Example:\n  hollypaddle check --settings config.json deploy/hollypaddle.conf\n\n\
                            Without the platform's settings, the names that a file declares with `districts` and \
                            `classes` count."
    )]
    Check {
        /// The files.
        #[arg(required = true, value_name = "FILE")]
        files: Vec<PathBuf>,
        /// The platform's JSON file, for the names of districts and classes.
        #[arg(long, value_name = "FILE", env = "PROXY_CONFIG")]
        settings: Option<PathBuf>,
    },
    /// Ask a running gatekeeper over its control socket.
    #[command(
        after_help = "Example:\n  hollypaddle ctl --socket /run/hollypaddle.sock crossings --span 1min --json"
    )]
    Ctl {
        /// The control socket; by default the one that the configuration file names.
        #[arg(long, value_name = "PATH")]
        socket: Option<PathBuf>,
        /// The configuration file that names the socket.
        #[arg(long, value_name = "FILE", env = "HOLLYPADDLE_CONFIG")]
        config: Option<PathBuf>,
        #[command(subcommand)]
        what: What,
    },
}

#[derive(Subcommand)]
enum What {
    /// What the gatekeeper is and holds.
    #[command(after_help = "Example:\n  hollypaddle ctl --socket /run/hollypaddle.sock status")]
    Status {
        /// As JSON.
        #[arg(long)]
        json: bool,
    },
    /// The account of what crosses districts, the budgets and the bending.
    #[command(
        after_help = "Example:\n  hollypaddle ctl --config deploy/hollypaddle.conf crossings --span 10s"
    )]
    Crossings {
        /// The time that the counts are of.
        #[arg(long, value_enum, default_value_t)]
        span: SpanName,
        /// As JSON.
        #[arg(long)]
        json: bool,
    },
    /// Who of the fleet is alive, suspected or gone, as this gatekeeper sees it.
    #[command(after_help = "Example:\n  hollypaddle ctl --config deploy/hollypaddle.conf members")]
    Members {
        /// As JSON.
        #[arg(long)]
        json: bool,
    },
    /// What is held of each member: records, versions, lag, conflicts settled.
    #[command(after_help = "Example:\n  hollypaddle ctl --config deploy/hollypaddle.conf replica")]
    Replica {
        /// As JSON.
        #[arg(long)]
        json: bool,
    },
}

/// Prints of `ctl`.
fn print(what: &What, told: &serde_json::Value) -> String {
    match what {
        What::Status { .. } => ctl::format_status(told),
        What::Crossings { .. } => ctl::format_crossings(told),
        What::Members { .. } => ctl::format_members(told),
        What::Replica { .. } => ctl::format_replica(told),
    }
}

#[derive(Clone, Copy, Default, ValueEnum)]
enum SpanName {
    /// Since the start.
    #[default]
    Total,
    /// The last 10 s.
    #[value(name = "10s")]
    Seconds10,
    /// The last minute.
    #[value(name = "1min")]
    Minute,
    /// The last ten minutes.
    #[value(name = "10min")]
    Minutes10,
}

fn serve(run: Run) -> Result<(), Box<dyn Error>> {
    logging::init(run.log_format);
    let signals = Signals::default();
    for signal in [signal_hook::consts::SIGTERM, signal_hook::consts::SIGINT] {
        signal_hook::flag::register(signal, Arc::clone(&signals.stop))?;
    }
    // Before the file is first read: one that is replaced while the program starts is read again.
    signal_hook::flag::register(signal_hook::consts::SIGHUP, Arc::clone(&signals.reload))?;
    let load = || Config::load(run.config.as_deref());
    let config = load()?;
    let name = config.name.clone();
    let mut gatekeeper = Gatekeeper::new(config)?;
    log::info!(name = name.as_str(), listen:% = gatekeeper.address(); "serving");
    gatekeeper.run(&signals, load)?;
    Ok(())
}

fn check(files: &[PathBuf], settings: Option<PathBuf>) -> Result<ExitCode, Box<dyn Error>> {
    let names = match &settings {
        Some(path) => {
            let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
            Config::names_from_text(&text)?
        }
        None => Names::default(),
    };
    let mut wrong = 0;
    for file in files {
        match hollypaddle_config::load(file, &names) {
            Ok(_) => println!("{}: sound", file.display()),
            Err(problems) => {
                wrong += problems.len();
                problems.iter().for_each(|problem| eprintln!("{problem}"));
            }
        }
    }
    Ok(if wrong == 0 { ExitCode::SUCCESS } else { WRONG.into() })
}

fn ask(socket: Option<PathBuf>, config: Option<PathBuf>, what: &What) -> Result<(), Box<dyn Error>> {
    let named = |path: PathBuf| -> Result<PathBuf, Box<dyn Error>> {
        let conf = hollypaddle_config::load(&path, &Names::default())
            .map_err(|all| all.iter().map(|p| p.to_string()).collect::<Vec<_>>().join("\n"))?;
        Ok(conf.control.ok_or_else(|| format!("{}: no `control` in it", path.display()))?)
    };
    let socket = match (socket, config) {
        (Some(socket), _) => socket,
        (None, Some(config)) => named(config)?,
        (None, None) => return Err("which gatekeeper? expected --socket or --config".into()),
    };
    let (question, json) = match what {
        What::Status { json } => (Query::Status {}, *json),
        What::Crossings { span, json } => {
            let span = span.to_possible_value().map_or(String::new(), |v| v.get_name().to_string());
            (Query::Crossings { span }, *json)
        }
        What::Members { json } => (Query::Members {}, *json),
        What::Replica { json } => (Query::Replica {}, *json),
    };
    let told = ctl::query(&socket, &question)?;
    match json {
        true => println!("{told}"),
        false => print!("{}", print(what, &told)),
    }
    Ok(())
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    let done = match cli.verb {
        None => serve(cli.run).map(|()| ExitCode::SUCCESS),
        Some(Verb::Run(run)) => serve(run).map(|()| ExitCode::SUCCESS),
        Some(Verb::Check { files, settings }) => check(&files, settings),
        Some(Verb::Ctl { socket, config, what }) => ask(socket, config, &what).map(|()| ExitCode::SUCCESS),
    };
    done.unwrap_or_else(|error| {
        eprintln!("hollypaddle: {error}");
        let reached = error.downcast_ref::<ctl::CtlError>();
        match reached {
            Some(ctl::CtlError::Io(_) | ctl::CtlError::InvalidAnswer(_)) => UNREACHABLE.into(),
            _ => WRONG.into(),
        }
    })
}
