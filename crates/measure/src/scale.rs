//! How membership and copies do as the fleet grows, in the deterministic world; and SWIM, by the crate foca, on the same
//! ways.

use std::collections::BTreeMap;
use std::error::Error;
use std::net::SocketAddr;
use std::num::{NonZeroU32, NonZeroUsize};
use std::time::Duration;

use foca::{AccumulatingRuntime, Config, Foca, NoCustomBroadcast, OwnedNotification, PostcardCodec, Timer};
use hollypaddle_faults::script::{End, Fault};
use hollypaddle_faults::world::{Plan, World, STEP};
use rand10::rngs::SmallRng;
use rand10::{RngExt, SeedableRng};
use serde::Serialize;

/// Fleets that are measured.
const SIZES: [usize; 3] = [3, 8, 50];
/// Beats, or datagrams, that are lost where loss is measured.
const LOSS: f64 = 0.2;
/// One way between two.
const WAY: f64 = 0.002;
/// How long is looked for false deaths.
const WATCH: f64 = 60.0;

/// What was measured of one way to know who is alive, at one size.
#[derive(Clone, Serialize)]
pub struct Known {
    /// Which way.
    pub way: &'static str,
    /// Members.
    pub members: usize,
    /// Seconds until all hold one that was killed to be gone; and one that was paused.
    pub killed: f64,
    /// The same, paused.
    pub paused: f64,
    /// Bytes a second that a member says, with nothing else to tell.
    pub bytes: f64,
    /// Members wrongly held to be gone by another in a minute at 20% loss, over all pairs.
    pub false_deaths: u64,
}

/// How copies do at one size.
#[derive(Clone, Serialize)]
pub struct Copies {
    /// Members.
    pub members: usize,
    /// Bytes a second that a member says while each takes two calls a second.
    pub bytes: f64,
    /// Seconds from the healing of a split in halves until all copies are equal.
    pub converges: f64,
    /// Seconds until one that returns has caught up.
    pub returns: f64,
}

fn world(members: usize, calls: f64, loss: f64) -> World {
    let mut world = World::new(Plan { calls, loss, ..Plan::of(members) }, 7);
    world.pass(3.0);
    world
}

/// Seconds until something holds, at most so many.
fn until(world: &mut World, most: f64, holds: impl Fn(&World) -> bool) -> f64 {
    let since = world.now;
    while !holds(world) {
        if world.now - since > most {
            return f64::NAN;
        }
        world.step();
    }
    world.now - since
}

/// Beats on links, as the program has them.
fn beats(members: usize) -> Known {
    let last = members - 1;
    let gone = |w: &World| (0..last).all(|n| w.holds_gone(n, last));
    let mut killed = world(members, 0.0, 0.0);
    killed.fault(Fault::Kill(last));
    let mut paused = world(members, 0.0, 0.0);
    paused.fault(Fault::Pause(last));
    let bytes = said(members, 0.0, 10.0);
    let mut lossy = world(members, 0.0, LOSS);
    lossy.pass(WATCH);
    let (killed, paused) = (until(&mut killed, 20.0, gone), until(&mut paused, 20.0, gone));
    Known { way: "beats on links", members, killed, paused, bytes, false_deaths: lossy.false_deaths }
}

type Node = Foca<SocketAddr, PostcardCodec, SmallRng, NoCustomBroadcast>;

/// SWIM among members that send datagrams.
struct Swim {
    now: f64,
    nodes: Vec<Option<Node>>,
    paused: Vec<bool>,
    /// What is on its way or due: by time, in microseconds, and number.
    due: BTreeMap<(u64, u64), (usize, Due)>,
    next: u64,
    rng: SmallRng,
    loss: f64,
    bytes: u64,
    down: u64,
    held: Vec<Vec<bool>>,
}

enum Due {
    Data(Vec<u8>),
    Timer(Timer<SocketAddr>),
}

fn address(n: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 10_000 + n as u16))
}

impl Swim {
    fn new(members: usize, config: &Config, loss: f64) -> Result<Swim, Box<dyn Error>> {
        let node = |n: usize| {
            let rng = SmallRng::seed_from_u64(n as u64);
            Some(Foca::new(address(n), config.clone(), rng, PostcardCodec))
        };
        let mut swim = Swim {
            now: 0.0,
            nodes: (0..members).map(node).collect(),
            paused: vec![false; members],
            due: BTreeMap::new(),
            next: 0,
            rng: SmallRng::seed_from_u64(7),
            loss: 0.0,
            bytes: 0,
            down: 0,
            held: vec![vec![false; members]; members],
        };
        for n in 1..members {
            swim.act(n, |node, runtime| node.announce(address(0), runtime))?;
        }
        swim.pass(15.0)?;
        (swim.loss, swim.bytes, swim.down) = (loss, 0, 0);
        Ok(swim)
    }

    fn act(
        &mut self,
        n: usize,
        what: impl FnOnce(&mut Node, &mut AccumulatingRuntime<SocketAddr>) -> Result<(), foca::Error>,
    ) -> Result<(), Box<dyn Error>> {
        let mut runtime = AccumulatingRuntime::new();
        let Some(node) = self.nodes[n].as_mut() else { return Ok(()) };
        // One that has been declared down comes back as it is; a probe that comes to nothing is no error of ours.
        let _ = what(node, &mut runtime);
        while let Some((to, data)) = runtime.to_send() {
            self.bytes += data.len() as u64;
            if self.rng.random::<f64>() >= self.loss {
                let to = usize::from(to.port() - 10_000);
                self.at(WAY, to, Due::Data(data.to_vec()));
            }
        }
        while let Some((after, timer)) = runtime.to_schedule() {
            self.at(after.as_secs_f64(), n, Due::Timer(timer));
        }
        while let Some(told) = runtime.to_notify() {
            match told {
                OwnedNotification::MemberDown(of) => {
                    let of = usize::from(of.port() - 10_000);
                    self.down += u64::from(self.nodes[of].is_some() && !self.paused[of]);
                    self.held[n][of] = true;
                }
                OwnedNotification::MemberUp(of) => self.held[n][usize::from(of.port() - 10_000)] = false,
                OwnedNotification::Defunct => {
                    if let Some(node) = self.nodes[n].as_mut() {
                        node.reuse_down_identity()?;
                    }
                }
                _ => {}
            }
        }
        Ok(())
    }

    fn at(&mut self, after: f64, n: usize, due: Due) {
        self.next += 1;
        self.due.insert((((self.now + after) * 1e6) as u64, self.next), (n, due));
    }

    fn pass(&mut self, seconds: f64) -> Result<(), Box<dyn Error>> {
        let end = self.now + seconds;
        while let Some(entry) = self.due.first_entry().filter(|e| e.key().0 as f64 / 1e6 <= end) {
            self.now = self.now.max(entry.key().0 as f64 / 1e6);
            let (n, due) = entry.remove();
            if self.paused[n] {
                // A timer waits; datagrams are lost when its buffer is full, and old when it is not.
                if let Due::Timer(timer) = due {
                    self.at(0.5, n, Due::Timer(timer));
                }
                continue;
            }
            match due {
                Due::Data(data) => self.act(n, |node, runtime| node.handle_data(&data, runtime))?,
                Due::Timer(timer) => self.act(n, |node, runtime| node.handle_timer(timer, runtime))?,
            }
        }
        self.now = end;
        Ok(())
    }

    fn noticed(&mut self, who: usize) -> Result<f64, Box<dyn Error>> {
        let since = self.now;
        while self.now - since < 60.0 {
            let all = (0..self.nodes.len()).filter(|n| *n != who).all(|n| self.held[n][who]);
            if all {
                return Ok(self.now - since);
            }
            self.pass(STEP)?;
        }
        Ok(f64::NAN)
    }
}

/// SWIM, with its figures for a local network or with such as notice as soon as the beats.
fn swim(members: usize, quick: bool) -> Result<Known, Box<dyn Error>> {
    let size = NonZeroU32::new(members as u32).ok_or("nobody")?;
    let mut config = Config::new_lan(size);
    if quick {
        config.probe_period = Duration::from_millis(200);
        config.probe_rtt = Duration::from_millis(60);
        config.suspect_to_down_after = Duration::from_millis(1500);
        config.max_packet_size = NonZeroUsize::new(1400).ok_or("no packet")?;
    }
    let last = members - 1;
    let mut idle = Swim::new(members, &config, 0.0)?;
    idle.pass(10.0)?;
    let bytes = idle.bytes as f64 / 10.0 / members as f64;
    let mut lossy = Swim::new(members, &config, LOSS)?;
    lossy.pass(WATCH)?;
    let mut killed = Swim::new(members, &config, 0.0)?;
    killed.nodes[last] = None;
    let mut paused = Swim::new(members, &config, 0.0)?;
    paused.paused[last] = true;
    Ok(Known {
        way: if quick { "SWIM (foca), quick" } else { "SWIM (foca), its LAN figures" },
        members,
        killed: killed.noticed(last)?,
        paused: paused.noticed(last)?,
        bytes,
        false_deaths: lossy.down,
    })
}

/// Bytes a second that a member says, by members and by calls a second at each.
pub fn said(members: usize, calls: f64, seconds: f64) -> f64 {
    let mut world = world(members, calls, 0.0);
    let before = world.bytes;
    world.pass(seconds);
    (world.bytes - before) as f64 / seconds / members as f64
}

fn copies(members: usize) -> Copies {
    let bytes = said(members, 2.0, 10.0);
    let mut busy = world(members, 2.0, 0.0);
    busy.pass(10.0);
    for (a, b) in (0..members / 2).flat_map(|a| (members / 2..members).map(move |b| (a, b))) {
        let (a, b) = (End::Gatekeeper(a), End::Gatekeeper(b));
        busy.fault(Fault::Cut(a, b));
        busy.fault(Fault::Cut(b, a));
    }
    busy.pass(5.0);
    busy.still();
    busy.fault(Fault::Heal);
    let converges = until(&mut busy, 20.0, World::copies_are_equal);
    let mut back = world(members, 2.0, 0.0);
    back.pass(5.0);
    back.fault(Fault::Kill(members - 1));
    back.pass(3.0);
    back.fault(Fault::Start(members - 1));
    let ready = |w: &World| w.member(members - 1).is_some_and(|m| m.is_caught_up());
    Copies { members, bytes, converges, returns: until(&mut back, 20.0, ready) }
}

/// Measures all sizes.
pub fn measure() -> Result<(Vec<Known>, Vec<Copies>), Box<dyn Error>> {
    let mut known = Vec::new();
    for members in SIZES {
        known.extend([beats(members), swim(members, false)?, swim(members, true)?]);
        for k in known.iter().skip(known.len() - 3) {
            println!(
                "{:30} {:2} members: killed {:.2} s, paused {:.2} s, {:.0} bytes/s, {} false deaths",
                k.way, k.members, k.killed, k.paused, k.bytes, k.false_deaths
            );
        }
    }
    let copies: Vec<Copies> = SIZES.map(copies).to_vec();
    for c in &copies {
        println!(
            "copies, {:2} members: {:.0} bytes/s, equal after {:.2} s, returned ready after {:.2} s",
            c.members, c.bytes, c.converges, c.returns
        );
    }
    Ok((known, copies))
}
