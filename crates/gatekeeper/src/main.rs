//! One real gatekeeper. It is told what it needs by the PROXY_* variables, see `node::config`.

mod node;

use std::error::Error;
use std::process::ExitCode;
use std::sync::Arc;

use node::config::Config;
use node::event_loop::{Gatekeeper, Signals};

fn run() -> Result<(), Box<dyn Error>> {
    let signals = Signals::default();
    for signal in [signal_hook::consts::SIGTERM, signal_hook::consts::SIGINT] {
        signal_hook::flag::register(signal, Arc::clone(&signals.stop))?;
    }
    // Before the file is first read: one that is replaced while the program starts is read again.
    signal_hook::flag::register(signal_hook::consts::SIGHUP, Arc::clone(&signals.reload))?;
    let config = Config::load()?;
    let (name, listen) = (config.name.clone(), config.listen);
    let mut gatekeeper = Gatekeeper::new(config)?;
    log::info!("gatekeeper {name} serves on {listen}");
    gatekeeper.run(&signals, Config::load)?;
    Ok(())
}

fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info")).init();
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("hollypaddle: {error}");
            ExitCode::FAILURE
        }
    }
}
