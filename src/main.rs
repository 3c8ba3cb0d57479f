//! One real gatekeeper. It is told what it needs by the PROXY_* variables, see `node::config`.

mod node;

use std::error::Error;
use std::process::ExitCode;
use std::sync::atomic::AtomicBool;
use std::sync::Arc;

use node::config::Config;
use node::event_loop::Gatekeeper;

fn run() -> Result<(), Box<dyn Error>> {
    let stop = Arc::new(AtomicBool::new(false));
    for signal in [signal_hook::consts::SIGTERM, signal_hook::consts::SIGINT] {
        signal_hook::flag::register(signal, Arc::clone(&stop))?;
    }
    let config = Config::load()?;
    let (name, listen) = (config.name.clone(), config.listen);
    let mut gatekeeper = Gatekeeper::new(config)?;
    log::info!("gatekeeper {name} serves on {listen}");
    gatekeeper.run(&stop)?;
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
