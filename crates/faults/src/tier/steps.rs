//! The steps of scripts: how each is carried out, and how random ones are drawn.

use hollypaddle_replica::record::{ServerFact, ServerState as ServerPlace};
use rand::seq::SliceRandom;
use rand::Rng;
use rand_chacha::rand_core::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::{Plan, World};
use crate::check::Broken;
use crate::script::{End, Fault, Script};

impl World {
    /// All cuts and delays end, who is down or paused comes back.
    pub fn heal(&mut self) {
        self.before_reopening();
        self.paths.clear();
        self.regions_cut = false;
        self.loss = 0.0;
        for node in 0..self.nodes.len() {
            self.nodes[node].powered_off = false;
            self.deafen(node, false);
            self.wake(node);
            self.start(node);
        }
        self.reschedule_all();
    }

    /// One step of a script; those on servers are none here.
    pub fn fault(&mut self, fault: &Fault) {
        match fault {
            Fault::Kill(n) => self.kill(*n),
            Fault::Start(n) => self.start(*n),
            Fault::Pause(n) => self.pause(*n),
            Fault::Wake(n) => self.wake(*n),
            Fault::Heal => self.heal(),
            Fault::Cut(..) | Fault::Delay(..) | Fault::Throttle(..) => {
                if let Some(pair) = fault.between_gatekeepers() {
                    self.paths.entry(pair).or_default().impairment.apply(fault);
                }
            }
            Fault::Drop(..) => {
                if let Some((a, b)) = fault.between_gatekeepers() {
                    self.reset(a, b);
                }
            }
            Fault::Silence(_) | Fault::Speak(_) | Fault::Replace(_) | Fault::Drain(_) => {}
        }
    }

    /// Plays a script, with observations of servers and changes of settings between; what did not hold then, or after it.
    pub fn play(&mut self, script: &Script) -> Vec<Broken> {
        let mut rng = ChaCha8Rng::seed_from_u64(script.seed ^ 0x71e2);
        self.pass(3.0);
        let from = self.now;
        let mut asked = 0;
        let mut next_input = from;
        for (at, fault) in &script.steps {
            while next_input < from + at {
                self.pass((next_input - self.now).max(0.0));
                next_input += rng.gen_range(0.05..0.6);
                asked += 1;
                self.random_input(&mut rng, asked);
            }
            self.pass((from + at - self.now).max(0.0));
            self.fault(fault);
        }
        self.heal();
        // Those that went a long way wait for up to twice as long as their pause to try again.
        self.pass(8.0);
        let mut broken = self.unsettled();
        self.scan();
        broken.splice(0..0, self.broken.iter().cloned());
        broken
    }

    /// Something that a leaf finds, or a change of settings.
    pub fn random_input(&mut self, rng: &mut ChaCha8Rng, n: u64) {
        let Some(node) = self.leaf_nodes().collect::<Vec<_>>().choose(rng).copied() else { return };
        let server = rng.gen_range(0..self.plan.servers.max(1));
        match rng.gen_range(0..5) {
            0 => self.silence(node, server, true),
            1 => self.silence(node, server, false),
            2 => {
                // Of a server one observation at a time: two within the error of an age are told in any order.
                let at = (self.plan.topic(node), server);
                if self.last_observed.get(&at).is_some_and(|then| self.now - then < 6.0) {
                    return;
                }
                self.last_observed.insert(at, self.now);
                let place =
                    *[ServerPlace::Ready, ServerPlace::Draining].choose(rng).unwrap_or(&ServerPlace::Ready);
                self.tell(node, server, Some(ServerFact { started_ms: 1000, place }));
            }
            3 => {
                let started_ms = 1000 + (self.now * 1000.0) as u64;
                self.tell(node, server, Some(ServerFact { started_ms, place: ServerPlace::Ready }));
            }
            _ => _ = self.propose(0, &entries(n)),
        }
    }
}

/// A random script for a world: faults of relays and leaves from 1 s on, and the healing of all at the end.
pub fn random_script(seed: u64, plan: &Plan, faults: usize, lasts: f64) -> Script {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0x7e1a);
    let count = plan.relays + plan.leaves;
    let mut steps = Vec::new();
    for _ in 0..faults {
        let at = 1.0 + rng.gen_range(0.0..lasts);
        let back = at + rng.gen_range(0.05..lasts / 2.0);
        let node = |rng: &mut ChaCha8Rng| {
            if rng.gen_bool(0.6) {
                rng.gen_range(0..plan.relays)
            } else {
                rng.gen_range(plan.relays..count)
            }
        };
        let (a, mut b) = (node(&mut rng), node(&mut rng));
        if a == b {
            b = (b + 1) % count;
        }
        let (x, y) = (End::Gatekeeper(a), End::Gatekeeper(b));
        match rng.gen_range(0..10) {
            0 | 1 => steps.extend([(at, Fault::Kill(a)), (back, Fault::Start(a))]),
            2 | 3 => steps.extend([(at, Fault::Pause(a)), (back, Fault::Wake(a))]),
            4 => steps.push((at, Fault::Cut(x, y))),
            5 => steps.extend([(at, Fault::Cut(x, y)), (at, Fault::Cut(y, x))]),
            6 => {
                // A relay is cut off from all, one way or both.
                let relay = rng.gen_range(0..plan.relays);
                let (says, hears) = [(true, true), (true, false), (false, true)][rng.gen_range(0..3)];
                for other in (0..count).filter(|n| *n != relay) {
                    let (r, o) = (End::Gatekeeper(relay), End::Gatekeeper(other));
                    steps.extend(says.then_some((at, Fault::Cut(r, o))));
                    steps.extend(hears.then_some((at, Fault::Cut(o, r))));
                }
            }
            7 => steps.push((at, Fault::Delay(x, y, rng.gen_range(0.005..0.2)))),
            8 => steps.extend((0..5).map(|n| (at + 0.2 * f64::from(n), Fault::Drop(x, y)))),
            _ => {
                // A split by region.
                for a in 0..count {
                    for b in (0..count).filter(|b| plan.region(a) != plan.region(*b)) {
                        steps.push((at, Fault::Cut(End::Gatekeeper(a), End::Gatekeeper(b))));
                    }
                }
            }
        }
    }
    steps.retain(|(at, _)| *at < 1.0 + lasts);
    steps.push((1.0 + lasts, Fault::Heal));
    steps.sort_by(|a, b| a.0.total_cmp(&b.0));
    Script { seed, steps }
}

/// Settings of which one entry changes with each number.
pub fn entries(n: u64) -> Vec<(String, String)> {
    (0..20)
        .map(|k| {
            (format!("entry {k}"), if k == n % 20 { format!("change {n}") } else { format!("text {k}") })
        })
        .collect()
}
