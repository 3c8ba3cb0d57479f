//! The program `hollypaddle`: its command line. The gatekeeper's other configuration comes from the PROXY_* environment
//! variables; see `node::config`.

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

/// Exit code if the configuration is wrong or the gatekeeper can't serve. (clap uses 2 for a wrong command line.)
const EXIT_FAILURE: u8 = 1;
/// Exit code if the gatekeeper that is queried can't be reached.
const EXIT_UNREACHABLE: u8 = 3;

/// A call controller ("gatekeeper") between callers and session servers.
#[derive(Parser)]
#[command(
    name = "hollypaddle",
    version,
    args_conflicts_with_subcommands = true,
    after_help = "Without a command it serves, like `run`. Exit codes: 0 success, 1 the configuration is wrong or \
                  it cannot serve, 2 the command line is invalid, 3 the gatekeeper cannot be reached."
)]
struct Cli {
    #[command(subcommand)]
    verb: Option<CliCommand>,
    #[command(flatten)]
    run: Run,
}

#[derive(Args, Default)]
struct Run {
    /// The gatekeeper's own configuration file.
    #[arg(long, value_name = "FILE", env = "HOLLYPADDLE_CONFIG")]
    config: Option<PathBuf>,
    /// The format of log lines.
    #[arg(long, value_enum, default_value_t)]
    log_format: logging::Format,
}

#[derive(Subcommand)]
enum CliCommand {
    /// Serve, as configured by PROXY_NAME, PROXY_LISTEN and PROXY_CONFIG.
    #[command(
        after_help = "Example:\n  PROXY_NAME=n3 PROXY_LISTEN=127.0.0.1:5060 PROXY_CONFIG=config.json \\\n    \
                            hollypaddle run --config deploy/hollypaddle.conf --log-format json"
    )]
    Run(Run),
    /// Verify configuration files without serving.
    #[command(
        after_help = "Example:\n  hollypaddle check --settings config.json deploy/hollypaddle.conf\n\n\
                            Without the platform's settings, names are checked against those that the file declares \
                            with `districts` and `classes`."
    )]
    Check {
        /// The files.
        #[arg(required = true, value_name = "FILE")]
        files: Vec<PathBuf>,
        /// The platform's JSON file, for the names of districts and classes.
        #[arg(long, value_name = "FILE", env = "PROXY_CONFIG")]
        settings: Option<PathBuf>,
    },
    /// Query a running gatekeeper over its control socket.
    #[command(
        after_help = "Example:\n  hollypaddle ctl --socket /run/hollypaddle.sock crossings --span 1min --json"
    )]
    Ctl {
        /// The control socket. The default is the one that the configuration file names.
        #[arg(long, value_name = "PATH")]
        socket: Option<PathBuf>,
        /// The configuration file that names the socket.
        #[arg(long, value_name = "FILE", env = "HOLLYPADDLE_CONFIG")]
        config: Option<PathBuf>,
        #[command(subcommand)]
        what: Report,
    },
}

#[derive(Subcommand)]
enum Report {
    /// The gatekeeper's calls and servers.
    #[command(after_help = "Example:\n  hollypaddle ctl --socket /run/hollypaddle.sock status")]
    Status {
        /// As JSON.
        #[arg(long)]
        json: bool,
    },
    /// Set-ups to other districts: counts, budgets and bending.
    #[command(
        after_help = "Example:\n  hollypaddle ctl --config deploy/hollypaddle.conf crossings --span 10s"
    )]
    Crossings {
        /// The period that the counts cover.
        #[arg(long, value_enum, default_value_t)]
        span: SpanName,
        /// As JSON.
        #[arg(long)]
        json: bool,
    },
    /// The members of the fleet, and whether this gatekeeper considers them alive, suspected or gone.
    #[command(after_help = "Example:\n  hollypaddle ctl --config deploy/hollypaddle.conf members")]
    Members {
        /// As JSON.
        #[arg(long)]
        json: bool,
    },
    /// The records replicated from each member: number, version, lag, resolved conflicts.
    #[command(after_help = "Example:\n  hollypaddle ctl --config deploy/hollypaddle.conf replica")]
    Replica {
        /// As JSON.
        #[arg(long)]
        json: bool,
    },
}

/// Formats the answer to a query as text.
fn format_answer(what: &Report, answer: &serde_json::Value) -> String {
    match what {
        Report::Status { .. } => ctl::format_status(answer),
        Report::Crossings { .. } => ctl::format_crossings(answer),
        Report::Members { .. } => ctl::format_members(answer),
        Report::Replica { .. } => ctl::format_replica(answer),
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
    // SIGHUP is handled before the file is first read, so that a file replaced during the start is read again.
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
    let mut problem_count = 0;
    for file in files {
        match hollypaddle_config::load(file, &names) {
            Ok(_) => println!("{}: sound", file.display()),
            Err(problems) => {
                problem_count += problems.len();
                problems.iter().for_each(|problem| eprintln!("{problem}"));
            }
        }
    }
    Ok(if problem_count == 0 { ExitCode::SUCCESS } else { EXIT_FAILURE.into() })
}

fn query(socket: Option<PathBuf>, config: Option<PathBuf>, what: &Report) -> Result<(), Box<dyn Error>> {
    let socket_from_file = |path: PathBuf| -> Result<PathBuf, Box<dyn Error>> {
        let conf = hollypaddle_config::load(&path, &Names::default())
            .map_err(|all| all.iter().map(|p| p.to_string()).collect::<Vec<_>>().join("\n"))?;
        Ok(conf.control.ok_or_else(|| format!("{}: it has no `control` directive", path.display()))?)
    };
    let socket = match (socket, config) {
        (Some(socket), _) => socket,
        (None, Some(config)) => socket_from_file(config)?,
        (None, None) => return Err("no gatekeeper is given: expected --socket or --config".into()),
    };
    let (query, json) = match what {
        Report::Status { json } => (Query::Status {}, *json),
        Report::Crossings { span, json } => {
            let span = span.to_possible_value().map_or(String::new(), |v| v.get_name().to_string());
            (Query::Crossings { span }, *json)
        }
        Report::Members { json } => (Query::Members {}, *json),
        Report::Replica { json } => (Query::Replica {}, *json),
    };
    let answer = ctl::query(&socket, &query)?;
    match json {
        true => println!("{answer}"),
        false => print!("{}", format_answer(what, &answer)),
    }
    Ok(())
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    let result = match cli.verb {
        None => serve(cli.run).map(|()| ExitCode::SUCCESS),
        Some(CliCommand::Run(run)) => serve(run).map(|()| ExitCode::SUCCESS),
        Some(CliCommand::Check { files, settings }) => check(&files, settings),
        Some(CliCommand::Ctl { socket, config, what }) => {
            query(socket, config, &what).map(|()| ExitCode::SUCCESS)
        }
    };
    result.unwrap_or_else(|error| {
        eprintln!("hollypaddle: {error}");
        let ctl_error = error.downcast_ref::<ctl::CtlError>();
        match ctl_error {
            Some(ctl::CtlError::Io(_) | ctl::CtlError::InvalidAnswer(_)) => EXIT_UNREACHABLE.into(),
            _ => EXIT_FAILURE.into(),
        }
    })
}
