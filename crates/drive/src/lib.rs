//! Whole gatekeepers in this process against stand-ins, on a clock that is moved in steps.

pub mod cold;
pub mod plain;

use std::error::Error;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Instant;

use hollypaddle::node::clock::Clock;
use hollypaddle::node::config::{Config, ConfigError};
use hollypaddle::node::event_loop::Gatekeeper;
use hollypaddle_standin::deployment::Deployment;
use hollypaddle_standin::free_addresses;
use hollypaddle_standin::world::{Plan, World};

use crate::plain::Plain;

/// A step of time, and when runs begin, in Unix seconds.
const STEP: f64 = 0.005;
const IDLE_STEP: f64 = 0.04;
const BEGIN: f64 = 1_800_000_000.0;

/// Gatekeepers and what they talk to.
pub struct Fleet {
    /// What they talk to.
    pub world: World,
    /// The gatekeepers; none for one that is down.
    pub nodes: Vec<Option<Gatekeeper>>,
    /// Fronts that decide by the plain policy, in place of gatekeepers.
    pub plain: Vec<Plain>,
    /// Where each listens, also after a restart.
    addresses: Vec<SocketAddr>,
    /// The own configuration, the same file for all; it may be written anew before a reload.
    pub conf: PathBuf,
    /// When a front was last killed.
    pub killed_at: f64,
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
        Fleet::open_as(plan, Deployment::default(), conf)
    }

    /// The same, of another deployment.
    pub fn open_as(plan: Plan, deployment: Deployment, conf: &Path) -> Result<Fleet, Box<dyn Error>> {
        let mut world = World::open_as(plan, deployment)?;
        let mut nodes = Vec::new();
        let listen = free_addresses(world.plan.fronts.len())?;
        for (front, listen) in listen.iter().enumerate() {
            let config = Config::parse(format!("n{front}"), &listen.to_string(), &world.config(front)?)?;
            nodes.push(Some(Gatekeeper::with_clock(config.with_own_file(conf)?, Clock::manual(BEGIN))?));
        }
        let addresses: Vec<_> = nodes.iter().flatten().map(Gatekeeper::address).collect();
        world.connect(&addresses);
        let conf = conf.to_path_buf();
        Ok(Fleet {
            world,
            nodes,
            plain: Vec::new(),
            addresses,
            conf,
            killed_at: f64::NEG_INFINITY,
            forwards: 0,
            now: BEGIN,
            took: 0.0,
        })
    }

    /// The same world with fronts that decide by the plain policy, to be compared with.
    pub fn plain(plan: Plan, deployment: Deployment) -> Result<Fleet, Box<dyn Error>> {
        let mut world = World::open_as(plan, deployment)?;
        let plain = (0..world.plan.fronts.len()).map(Plain::open).collect::<Result<Vec<Plain>, _>>()?;
        let addresses: Vec<SocketAddr> = plain.iter().map(Plain::address).collect();
        world.connect(&addresses);
        let (nodes, conf) = (Vec::new(), PathBuf::new());
        Ok(Fleet {
            world,
            nodes,
            plain,
            addresses,
            conf,
            killed_at: f64::NEG_INFINITY,
            forwards: 0,
            now: BEGIN,
            took: 0.0,
        })
    }

    /// Ends a gatekeeper as SIGKILL does: its sockets close, and nothing is said.
    pub fn kill(&mut self, front: usize) {
        self.killed_at = self.now;
        if let Some(node) = self.nodes.get_mut(front).and_then(Option::take) {
            self.forwards += node.figures_now().forwards;
        }
        if let Some(plain) = self.plain.get_mut(front) {
            plain.kill();
        }
    }

    /// Starts a gatekeeper that is down, with nothing of its earlier life but its name and address.
    pub fn start(&mut self, front: usize) -> Result<(), Box<dyn Error>> {
        if let Some(plain) = self.plain.get_mut(front) {
            return Ok(plain.start()?);
        }
        let node = Gatekeeper::with_clock(self.config(front)?, Clock::manual(self.now))?;
        self.nodes[front] = Some(node);
        Ok(())
    }

    /// The configuration of a gatekeeper, as its files say it now.
    pub fn config(&self, front: usize) -> Result<Config, ConfigError> {
        let listen = self.addresses[front].to_string();
        let text = self.world.config(front).map_err(|e| ConfigError::File(self.conf.clone(), e))?;
        Config::parse(format!("n{front}"), &listen, &text)?.with_own_file(&self.conf)
    }

    /// Lets a gatekeeper read its configuration anew, as SIGHUP does.
    pub fn reload(&mut self, front: usize) {
        let config = self.config(front);
        if let Some(node) = &mut self.nodes[front] {
            node.reload(config);
        }
    }

    /// Attempts written whole to servers, by all gatekeepers there were.
    pub fn forwards(&self) -> u64 {
        self.forwards + self.nodes.iter().flatten().map(|n| n.figures_now().forwards).sum::<u64>()
    }

    /// Lets time pass without traffic.
    pub fn pass(&mut self, seconds: f64) -> Result<(), Box<dyn Error>> {
        (0..(seconds / STEP) as usize).try_for_each(|_| self.step(STEP))
    }

    /// Steps until something holds, for so many seconds at most; returns whether it came to hold.
    pub fn until(&mut self, seconds: f64, holds: impl Fn(&Fleet) -> bool) -> Result<bool, Box<dyn Error>> {
        for _ in 0..(seconds / STEP) as usize {
            if holds(self) {
                return Ok(true);
            }
            self.step(STEP)?;
        }
        Ok(holds(self))
    }

    /// Lets time pass without traffic, in longer steps.
    pub fn idle(&mut self, seconds: f64) -> Result<(), Box<dyn Error>> {
        for _ in 0..(seconds / IDLE_STEP) as usize {
            self.step(IDLE_STEP)?;
        }
        Ok(())
    }

    /// One step of everything.
    pub fn step(&mut self, seconds: f64) -> Result<(), Box<dyn Error>> {
        self.now += seconds;
        self.world.turn(self.now);
        let begun = Instant::now();
        for node in self.nodes.iter_mut().flatten() {
            node.advance_clock(seconds);
            node.run_once()?;
        }
        self.took += begun.elapsed().as_secs_f64();
        self.plain.iter_mut().for_each(|front| front.turn(&self.world));
        Ok(())
    }

    /// Lets time pass with traffic: each front its rate and, by two draws, its first choice.
    pub fn run(
        &mut self,
        seconds: f64,
        rate: f64,
        choice: impl Fn(usize, f64, f64) -> u32,
    ) -> Result<(), Box<dyn Error>> {
        for _ in 0..(seconds / STEP) as usize {
            for front in 0..self.addresses.len() {
                self.world.traffic(self.now + STEP, front, rate, |a, b| choice(front, a, b));
            }
            self.step(STEP)?;
        }
        Ok(())
    }
}
