//! Everything that some gatekeepers talk to, and the traffic of a day.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;

use hollypaddle_platform::message::Message;
use rand::Rng;
use rand_chacha::rand_core::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp};
use serde_json::json;

use crate::callers::Callers;
use crate::deployment::Deployment;
use crate::platform_file;
use crate::resolver::{known, Listed, Resolver};
use crate::server::{Server, ServerPlan};

/// The three districts of the deployment.
pub const DISTRICTS: [&str; 3] = ["downtown", "medical-center", "riverside"];
/// One-way delays between them, in seconds: 12 to 24 ms on a crossing, none at home.
pub const WAYS: [[f64; 3]; 3] = [[0.0005, 0.012, 0.024], [0.012, 0.0005, 0.018], [0.024, 0.018, 0.0005]];

/// A class of call.
#[derive(Clone, Debug)]
pub struct ClassPlan {
    /// Its name.
    pub name: &'static str,
    /// Share of the calls.
    pub share: f64,
    /// Wanted to stand within, and given up after, in seconds.
    pub goal: f64,
    /// How long a caller waits for one try, in seconds.
    pub wait: f64,
    /// Mean time that a call stands, in seconds.
    pub hold: f64,
    /// What a call is worth.
    pub worth: f64,
}

/// The two classes of the deployment.
pub fn classes() -> Vec<ClassPlan> {
    let (meter, valve) = ("meter-read", "valve-set");
    vec![
        ClassPlan { name: meter, share: 0.94, goal: 1.5, wait: 3.0, hold: 9.0, worth: 1.0 },
        ClassPlan { name: valve, share: 0.06, goal: 1.2, wait: 2.0, hold: 5.5, worth: 8.0 },
    ]
}

/// Who is where.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The districts of the gatekeepers, as indices into [`DISTRICTS`].
    pub fronts: Vec<usize>,
    /// The servers: their districts, and calls a second that each can carry.
    pub servers: Vec<(usize, f64)>,
    /// The classes.
    pub classes: Vec<ClassPlan>,
    /// Seed of all chance.
    pub seed: u64,
}

/// Servers, resolvers and callers.
pub struct World {
    /// What it was built by.
    pub plan: Plan,
    deployment: Deployment,
    /// The session servers, by pool number.
    pub servers: Vec<Server>,
    /// The list as told, with no addresses in it: id, district, drains, started at. By pool number.
    list: Vec<Option<(String, usize, bool, u64)>>,
    position: u32,
    generation: u32,
    resolvers: Vec<Resolver>,
    /// Servers that a gatekeeper reaches elsewhere than at its door.
    elsewhere: BTreeMap<(usize, usize), SocketAddr>,
    /// The callers of each gatekeeper, once it is known where that listens.
    pub callers: Vec<Callers>,
    rng: ChaCha8Rng,
    /// When the next call of each gatekeeper comes.
    due: Vec<f64>,
}

impl World {
    /// Opens all sockets, of the usual deployment.
    pub fn open(plan: Plan) -> io::Result<World> {
        World::open_as(plan, Deployment::default())
    }

    /// Opens all sockets.
    pub fn open_as(plan: Plan, deployment: Deployment) -> io::Result<World> {
        let hold: BTreeMap<String, f64> = plan.classes.iter().map(|c| (c.name.to_string(), c.hold)).collect();
        let server = |(n, &(district, rate)): (usize, &(usize, f64))| {
            let way = |front: &usize| WAYS[*front][district] * deployment.far;
            let delays: Vec<f64> = plan.fronts.iter().map(way).collect();
            let most_wait = deployment.most_wait;
            let (hold, deployment) = (hold.clone(), deployment.clone());
            let plan_of = ServerPlan { district, rate, most_wait, hold, deployment };
            Server::open(plan_of, &delays, plan.seed.wrapping_mul(31) + n as u64)
        };
        let servers = plan.servers.iter().enumerate().map(server).collect::<io::Result<Vec<Server>>>()?;
        let resolvers = plan.fronts.iter().map(|_| Resolver::open()).collect::<io::Result<_>>()?;
        let listed = |(n, s): (usize, &(usize, f64))| Some((format!("s-{n}-0"), s.0, false, 0));
        let list = plan.servers.iter().enumerate().map(listed).collect();
        let due = vec![f64::NEG_INFINITY; plan.fronts.len()];
        let rng = ChaCha8Rng::seed_from_u64(plan.seed);
        let callers = Vec::new();
        let elsewhere = BTreeMap::new();
        Ok(World {
            plan,
            deployment,
            servers,
            list,
            position: 1,
            generation: 0,
            resolvers,
            elsewhere,
            callers,
            rng,
            due,
        })
    }

    fn listed(&self, front: usize) -> Vec<Listed> {
        let entry = |(n, entry): (usize, &Option<(String, usize, bool, u64)>)| {
            let (id, district, draining, started_ms) = entry.clone()?;
            let address = self.elsewhere.get(&(front, n)).copied();
            let address = address.unwrap_or_else(|| self.servers[n].address(front));
            let district = self.deployment.districts[district].to_string();
            Some(Listed { id, district, address, number: n as u32, draining, started_ms })
        };
        self.list.iter().enumerate().filter_map(entry).collect()
    }

    /// The configuration of a gatekeeper, as JSON.
    pub fn config(&self, front: usize) -> io::Result<String> {
        let pools: Vec<usize> = (0..self.servers.len()).collect();
        let (classes, d) = (&self.plan.classes, &self.deployment);
        let class = |c: &ClassPlan| {
            json!({"name": c.name, "effect": "read_like", "goalTime": c.goal, "hardLimit": c.wait * 3.0,
                "lateWorth": 0.2, "value": c.worth})
        };
        let settings = json!({
            "peersTotal": d.fronts.map_or(self.plan.fronts.len(), |n| n as usize), "period": 0.005,
            "zones": d.districts, "zone": self.plan.fronts[front],
            "telemetry": {"names": d.telemetry()}, "clientHabits": {"marksRetry": d.marks_retry},
            "familyInfo": {"release": d.release, "retransmit": d.retransmit, "retryHint": d.tells_wait,
                "holding": classes.iter().map(|c| c.hold).collect::<Vec<f64>>(),
                "poolsByClass": classes.iter().map(|_| pools.clone()).collect::<Vec<_>>(),
                "widths": classes.iter().map(|_| 1).collect::<Vec<_>>()},
            "limits": {"tryLimit": d.attempts, "mayCancel": true, "retryAfter": d.stay_away.is_some(),
                "maxRetryAfter": d.stay_away.unwrap_or(0.0), "connectTimeout": 0.5},
            "requestClasses": classes.iter().map(class).collect::<Vec<_>>(),
            "safety": {"cold": d.cold, "coldFrom": d.cold_from, "overloadFactor": 3.0, "drainGrace": d.drain_grace},
        });
        let known: serde_json::Value =
            serde_json::from_str(&known(u64::from(self.position), &self.listed(front)))?;
        let config = json!({
            "name": format!("n{front}"), "seed": format!("{:x}", self.plan.seed + front as u64),
            "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256},
            "dns": self.resolvers[front].address()?.to_string(),
            "known": known, "settings": settings,
        });
        Ok(platform_file::complete(&config.to_string())?)
    }

    /// Tells where the gatekeepers listen, in their order.
    pub fn connect(&mut self, gatekeepers: &[SocketAddr]) {
        let caller = |(n, address): (usize, &SocketAddr)| {
            let mut callers = Callers::new(*address, 1 + n as u16);
            callers.others =
                gatekeepers.iter().cycle().skip(n + 1).take(gatekeepers.len() - 1).copied().collect();
            callers
        };
        self.callers = gatekeepers.iter().enumerate().map(caller).collect();
    }

    /// One turn of everything.
    pub fn turn(&mut self, now: f64) {
        for front in 0..self.resolvers.len() {
            let list = self.listed(front);
            self.resolvers[front].turn(self.position, &list);
        }
        self.servers.iter_mut().for_each(|server| server.turn(now));
        self.callers.iter_mut().for_each(|callers| callers.turn(now));
        let strays: Vec<Message> =
            self.callers.iter_mut().flat_map(|callers| std::mem::take(&mut callers.strays)).collect();
        for message in strays {
            self.callers.iter_mut().any(|callers| callers.heard(now, &message));
        }
    }

    /// Offers the calls that are due at a gatekeeper: `rate` a second on average, each with a first choice
    /// that `choice` draws from two numbers between 0 and 1. Returns how many.
    pub fn traffic(&mut self, now: f64, front: usize, rate: f64, choice: impl Fn(f64, f64) -> u32) -> usize {
        let mut offered = 0;
        let Ok(gap) = Exp::new(rate) else { return 0 };
        if self.due[front] == f64::NEG_INFINITY {
            self.due[front] = now + gap.sample(&mut self.rng);
        }
        while self.due[front] <= now {
            self.due[front] += gap.sample(&mut self.rng);
            let (mut draw, first) = (self.rng.gen::<f64>(), choice(self.rng.gen(), self.rng.gen()));
            let class = self.plan.classes.iter().find(|c| {
                draw -= c.share;
                draw < 0.0
            });
            let class = class.unwrap_or(&self.plan.classes[0]);
            let (name, wait) = (class.name, class.wait);
            offered += usize::from(self.callers[front].offer(now, name, first, wait).is_some());
        }
        offered
    }

    /// The callers of a gatekeeper begin anew: none of the time in which they offered nothing is made up for.
    pub fn rest(&mut self, front: usize) {
        self.due[front] = f64::NEG_INFINITY;
    }

    /// Whether a server stands in the list, and whether it takes new calls.
    pub fn is_listed(&self, server: usize) -> bool {
        self.list.get(server).is_some_and(Option::is_some)
    }

    /// The latter.
    pub fn in_service(&self, server: usize) -> bool {
        self.list.get(server).is_some_and(|entry| matches!(entry, Some((_, _, false, _))))
    }

    /// Marks a server as draining, or as ready again, in the list.
    pub fn drain(&mut self, server: usize, draining: bool) {
        if let Some(entry) = &mut self.list[server] {
            entry.2 = draining;
        }
        self.position += 1;
    }

    /// Moves a server to another district in the list alone, under the same id and address.
    pub fn relabel(&mut self, server: usize, district: usize) {
        if let Some(entry) = &mut self.list[server] {
            entry.1 = district;
        }
        self.position += 1;
    }

    /// Replaces a server's process by a cold one under a new id at the same address, and lists it.
    pub fn replace(&mut self, server: usize, now: f64) {
        self.servers[server].replace(now);
        self.generation += 1;
        let district = self.plan.servers[server].0;
        let id = format!("s-{server}-{}", self.generation);
        self.list[server] = Some((id, district, false, (now * 1000.0) as u64));
        self.position += 1;
    }

    /// Takes a server away: it dies, and leaves the list.
    pub fn remove(&mut self, server: usize, now: f64) {
        self.servers[server].die(now);
        self.list[server] = None;
        self.position += 1;
    }

    /// A server dies, and no list says so.
    pub fn lose(&mut self, server: usize, now: f64) {
        self.servers[server].die(now);
    }

    /// One that died is back at its address, cold and under a new id.
    pub fn revive(&mut self, server: usize, now: f64) -> io::Result<()> {
        self.servers[server].revive(now)?;
        self.replace(server, now);
        Ok(())
    }

    /// Whether resolvers answer.
    pub fn resolvers_silent(&mut self, silent: bool) {
        self.resolvers.iter_mut().for_each(|r| r.silent = silent);
    }

    /// Lists a server at another address, for one gatekeeper: a fault proxy's, or a server's of the caller's own.
    pub fn serve_at(&mut self, front: usize, server: usize, address: SocketAddr) {
        self.elsewhere.insert((front, server), address);
        self.position += 1;
    }

    /// Whether the resolver of one gatekeeper answers.
    pub fn resolver_silent(&mut self, front: usize, silent: bool) {
        self.resolvers[front].silent = silent;
    }

    /// Worth that stood within the wanted time and was not cut, over the worth offered, of the calls offered
    /// from a time on and before another; of one class or of all. Calls that are not over yet count.
    pub fn service(&self, class: Option<&str>, from: f64, to: f64) -> Option<f64> {
        let (mut kept, mut offered) = (0.0, 0.0);
        let calls = self.callers.iter().flat_map(|c| c.calls.values());
        for call in calls.filter(|c| c.offered >= from && c.offered < to) {
            let Some(plan) = self.plan.classes.iter().find(|p| p.name == call.class) else { continue };
            if class.is_some_and(|class| class != call.class) {
                continue;
            }
            offered += plan.worth;
            let cut = matches!(call.end, Some((_, crate::callers::End::Cut)));
            let in_time = call.stood.is_some_and(|at| at - call.offered <= plan.goal);
            kept += if in_time && !cut { plan.worth } else { 0.0 };
        }
        (offered > 0.0).then(|| kept / offered)
    }

    /// The same, where callers dial again: what further tries bring belongs to the first, and its time runs from that.
    pub fn service_with_redials(&self, class: Option<&str>, from: f64, to: f64) -> Option<f64> {
        let mut kept_by_first: BTreeMap<u64, bool> = BTreeMap::new();
        let all: BTreeMap<u64, &crate::callers::Call> =
            self.callers.iter().flat_map(|c| c.calls.iter().map(|(id, call)| (*id, call))).collect();
        let worth = |class: &str| self.plan.classes.iter().find(|p| p.name == class);
        for (id, call) in &all {
            let (first_id, first) = match call.further_of.and_then(|first| Some((first, all.get(&first)?))) {
                Some((first_id, first)) => (first_id, *first),
                None => (*id, *call),
            };
            let Some(plan) = worth(&call.class) else { continue };
            let cut = matches!(call.end, Some((_, crate::callers::End::Cut)));
            let in_time = call.stood.is_some_and(|at| at - first.offered <= plan.goal);
            let counts = class.is_none_or(|class| class == call.class);
            if counts && first.offered >= from && first.offered < to {
                *kept_by_first.entry(first_id).or_default() |= in_time && !cut;
            }
        }
        let (mut kept, mut offered) = (0.0, 0.0);
        for (id, is_kept) in kept_by_first {
            let worth = worth(&all[&id].class).map_or(0.0, |plan| plan.worth);
            offered += worth;
            kept += if is_kept { worth } else { 0.0 };
        }
        (offered > 0.0).then(|| kept / offered)
    }
}
