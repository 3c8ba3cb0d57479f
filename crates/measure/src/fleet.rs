//! Whole gatekeepers in this process against stand-ins, on a clock that is moved in steps.

use std::error::Error;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Instant;

use hollypaddle::node::clock::Clock;
use hollypaddle::node::config::Config;
use hollypaddle::node::event_loop::Gatekeeper;
use hollypaddle_standin::world::{Plan, World};

/// A step of time, and when runs begin, in Unix seconds.
const STEP: f64 = 0.005;
const BEGIN: f64 = 1_800_000_000.0;

/// Gatekeepers and what they talk to.
pub struct Fleet {
    /// What they talk to.
    pub world: World,
    /// The gatekeepers; none for one that is down.
    pub nodes: Vec<Option<Gatekeeper>>,
    /// Where each listens, also after a restart.
    addresses: Vec<SocketAddr>,
    /// The own configuration, the same file for all.
    conf: PathBuf,
    /// Attempts written whole by gatekeepers that have been killed since.
    forwards: u64,
    /// The time.
    pub now: f64,
    /// Seconds of this process that the gatekeepers' turns took.
    pub took: f64,
}

impl Fleet {
    /// Opens all of it, with the own configuration in the file.
    pub fn open(plan: Plan, conf: &Path) -> Result<Fleet, Box<dyn Error>> {
        let mut world = World::open(plan)?;
        let mut nodes = Vec::new();
        for front in 0..world.plan.fronts.len() {
            let config = Config::read(format!("n{front}"), "127.0.0.1:0", &world.config(front)?)?;
            nodes.push(Some(Gatekeeper::on_clock(config.with_own(conf)?, Clock::still(BEGIN))?));
        }
        let addresses: Vec<_> = nodes.iter().flatten().map(Gatekeeper::address).collect();
        world.connect(&addresses);
        let conf = conf.to_path_buf();
        Ok(Fleet { world, nodes, addresses, conf, forwards: 0, now: BEGIN, took: 0.0 })
    }

    /// Ends a gatekeeper as SIGKILL does: its sockets close, and nothing is said.
    pub fn kill(&mut self, front: usize) {
        if let Some(node) = self.nodes.get_mut(front).and_then(Option::take) {
            self.forwards += node.figures_now().forwards;
        }
    }

    /// Starts a gatekeeper that is down, with nothing of its earlier life but its name and address.
    pub fn start(&mut self, front: usize) -> Result<(), Box<dyn Error>> {
        let listen = self.addresses[front].to_string();
        let config = Config::read(format!("n{front}"), &listen, &self.world.config(front)?)?;
        let node = Gatekeeper::on_clock(config.with_own(&self.conf)?, Clock::still(self.now))?;
        self.nodes[front] = Some(node);
        Ok(())
    }

    /// Attempts written whole to servers, by all gatekeepers there were.
    pub fn forwards(&self) -> u64 {
        self.forwards + self.nodes.iter().flatten().map(|n| n.figures_now().forwards).sum::<u64>()
    }

    /// Lets time pass with traffic: each front its rate and, by two draws, its first choice.
    pub fn run(
        &mut self,
        seconds: f64,
        rate: f64,
        choice: impl Fn(usize, f64, f64) -> u32,
    ) -> Result<(), Box<dyn Error>> {
        for _ in 0..(seconds / STEP) as usize {
            self.now += STEP;
            for front in 0..self.nodes.len() {
                self.world.traffic(self.now, front, rate, |a, b| choice(front, a, b));
            }
            self.world.turn(self.now);
            let begun = Instant::now();
            for node in self.nodes.iter_mut().flatten() {
                node.skip(STEP);
                node.turn()?;
            }
            self.took += begun.elapsed().as_secs_f64();
        }
        Ok(())
    }
}
