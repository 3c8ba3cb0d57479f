//! What is told of the servers to other gatekeepers, and what is done about what they tell: the same for a member of a small
//! fleet and for a leaf of a tier.

use std::collections::{BTreeMap, HashMap};

use hollypaddle_platform::list::Readiness;
use hollypaddle_policy::{PoolEntry, PoolId};
use hollypaddle_relay::Leaf;
use hollypaddle_replica::guard::{overlay, Guard};
use hollypaddle_replica::record::{Place, ServerFact, ServerKey};
use hollypaddle_replica::store::Said;
use hollypaddle_replica::Member;

use super::servers::Servers;

/// Whoever tells others of the servers.
pub trait ServerReporter {
    /// What the own list says of a server, as of then.
    fn report_server(&mut self, at: f64, server: ServerKey, fact: ServerFact);

    /// A server of that start is silent since then, or it is not.
    fn report_silence(&mut self, now: f64, server: ServerKey, started_ms: u64, since: Option<f64>);
}

impl ServerReporter for Member {
    fn report_server(&mut self, at: f64, server: ServerKey, fact: ServerFact) {
        Member::server(self, at, server, fact);
    }

    fn report_silence(&mut self, now: f64, server: ServerKey, started_ms: u64, since: Option<f64>) {
        Member::silent(self, now, server, started_ms, since);
    }
}

impl ServerReporter for Leaf {
    fn report_server(&mut self, at: f64, server: ServerKey, fact: ServerFact) {
        Leaf::set_server(self, at, server, Some(fact));
    }

    fn report_silence(&mut self, now: f64, server: ServerKey, started_ms: u64, since: Option<f64>) {
        Leaf::set_silent(self, now, server, started_ms, since);
    }
}

/// What was told of each server, to tell what changes.
#[derive(Default)]
pub struct ReportedServers(BTreeMap<PoolId, (ServerKey, ServerFact, bool)>);

impl ReportedServers {
    /// Tells what has changed; returns the servers that are gone from the list.
    pub fn report_changes(
        &mut self,
        now: f64,
        servers: &Servers,
        reporter: &mut dyn ServerReporter,
    ) -> Vec<ServerKey> {
        let mut gone: Vec<PoolId> = self.0.keys().copied().collect();
        for known in servers.summaries() {
            gone.retain(|pool| *pool != known.pool);
            let server = ServerKey::of(known.name);
            let place = match known.listed.readiness {
                Readiness::Ready => Place::Ready,
                Readiness::Draining => Place::Draining,
            };
            let started_ms = (known.listed.started.max(0.0) * 1000.0) as u64;
            let (fact, silent) = (ServerFact { started_ms, place }, known.silent_at.is_some());
            let old = self.0.insert(known.pool, (server, fact, silent));
            if old.is_none_or(|(_, reported, _)| reported != fact) {
                reporter.report_server(now, server, fact);
            }
            if old.map_or(silent, |(_, reported, was)| was != silent || silent && reported != fact) {
                // The time counts at which what was not answered was sent.
                reporter.report_silence(now, server, started_ms, known.silent_at);
            }
        }
        let mut left = Vec::new();
        for pool in gone {
            let Some((server, fact, _)) = self.0.remove(&pool) else { continue };
            reporter.report_server(now, server, ServerFact { place: Place::Gone, ..fact });
            reporter.report_silence(now, server, fact.started_ms, None);
            left.push(server);
        }
        left
    }

    /// What was told of a pool's server.
    pub fn server_of(&self, pool: PoolId) -> Option<ServerKey> {
        self.0.get(&pool).map(|(server, ..)| *server)
    }

    /// Where a server is here.
    pub fn pool_of(&self, server: ServerKey) -> Option<PoolId> {
        self.0.iter().find(|(_, reported)| reported.0 == server).map(|(pool, _)| *pool)
    }
}

/// What others say of each server, and when the own list was heard, as it was last looked at.
pub struct PeerObservations {
    by_pool: HashMap<PoolId, Said>,
    list_at: f64,
}

impl PeerObservations {
    /// Nothing was heard.
    pub fn new(now: f64) -> PeerObservations {
        PeerObservations { by_pool: HashMap::new(), list_at: now }
    }

    /// Takes over what others say of the servers; returns the lines of the list that change by it. Lists may come so much
    /// later at one than at another.
    pub fn update(
        &mut self,
        now: f64,
        observations: &BTreeMap<ServerKey, Said>,
        (list_at, late): (f64, f64),
        servers: &Servers,
        guard: &mut Guard,
    ) -> Vec<PoolEntry> {
        let mut by_pool = HashMap::new();
        for known in servers.summaries() {
            let of = observations.get(&ServerKey::of(known.name));
            let started_ms = (known.listed.started.max(0.0) * 1000.0) as u64;
            let silent = of.filter(|s| s.fact.started_ms >= started_ms).and_then(|s| s.silent);
            guard.silence(now, known.pool, silent.map(|(at, _)| at), known.last_message_at);
            by_pool.extend(of.map(|of| (known.pool, *of)));
        }
        let ready = servers.summaries().filter(|k| k.listed.readiness == Readiness::Ready).map(|k| k.pool);
        guard.in_service(&ready.collect::<Vec<PoolId>>());
        let old = std::mem::replace(&mut self.by_pool, by_pool);
        let old_at = std::mem::replace(&mut self.list_at, list_at);
        let entries = servers.pool_entries().into_iter();
        let was = |e: &PoolEntry| overlay(*e, old.get(&e.pool), old_at, late);
        let is = |e: &PoolEntry| overlay(*e, self.by_pool.get(&e.pool), list_at, late);
        entries.filter(|e| was(e) != is(e)).map(|e| is(&e)).collect()
    }

    /// The lines of a list, with what others know.
    pub fn overlay(&self, entries: &mut [PoolEntry], list_at: f64, late: f64) {
        for entry in entries {
            *entry = overlay(*entry, self.by_pool.get(&entry.pool), list_at, late);
        }
    }
}
