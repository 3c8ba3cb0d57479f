//! Exchanges observations of servers with other gatekeepers: reports this gatekeeper's own and applies theirs. Used by members
//! of a small fleet and by leaves of a tier alike.

use std::collections::{BTreeMap, HashMap};

use hollypaddle_platform::list::Readiness;
use hollypaddle_policy::{PoolEntry, PoolId};
use hollypaddle_relay::Leaf;
use hollypaddle_replica::guard::{apply_observation, Guard};
use hollypaddle_replica::record::{ServerFact, ServerKey, ServerState};
use hollypaddle_replica::store::ServerObservation;
use hollypaddle_replica::Member;

use super::servers::Servers;

/// Publishes what this gatekeeper knows of servers to other gatekeepers.
pub trait ServerReporter {
    /// Publishes what this gatekeeper's list says of a server at a time.
    fn report_server(&mut self, at: f64, server: ServerKey, fact: ServerFact);

    /// Publishes since when a server is silent, or `None` if it is not. `started_ms` tells which start of the server is meant.
    fn report_silence(&mut self, now: f64, server: ServerKey, started_ms: u64, since: Option<f64>);
}

impl ServerReporter for Member {
    fn report_server(&mut self, at: f64, server: ServerKey, fact: ServerFact) {
        Member::record_server(self, at, server, fact);
    }

    fn report_silence(&mut self, now: f64, server: ServerKey, started_ms: u64, since: Option<f64>) {
        Member::record_silence(self, now, server, started_ms, since);
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

/// What was last published of each server and whether it was silent, to detect changes.
#[derive(Default)]
pub struct ReportedServers(BTreeMap<PoolId, (ServerKey, ServerFact, bool)>);

impl ReportedServers {
    /// Publishes what has changed; returns the servers that are no longer on the list.
    pub fn report_changes(
        &mut self,
        now: f64,
        servers: &Servers,
        reporter: &mut dyn ServerReporter,
    ) -> Vec<ServerKey> {
        let mut missing: Vec<PoolId> = self.0.keys().copied().collect();
        for known in servers.summaries() {
            missing.retain(|pool| *pool != known.pool);
            let server = ServerKey::of(known.name);
            let place = match known.listed.readiness {
                Readiness::Ready => ServerState::Ready,
                Readiness::Draining => ServerState::Draining,
            };
            let started_ms = (known.listed.started.max(0.0) * 1000.0) as u64;
            let (fact, silent) = (ServerFact { started_ms, place }, known.silent_at.is_some());
            let old = self.0.insert(known.pool, (server, fact, silent));
            if old.is_none_or(|(_, reported, _)| reported != fact) {
                reporter.report_server(now, server, fact);
            }
            if old.map_or(silent, |(_, reported, was_silent)| {
                was_silent != silent || silent && reported != fact
            }) {
                // The silence starts when the unanswered message was sent.
                reporter.report_silence(now, server, started_ms, known.silent_at);
            }
        }
        let mut removed = Vec::new();
        for pool in missing {
            let Some((server, fact, _)) = self.0.remove(&pool) else { continue };
            // A restarted server has another number and the same id.
            if self.pool_of(server).is_some() {
                continue;
            }
            reporter.report_server(now, server, ServerFact { place: ServerState::Gone, ..fact });
            reporter.report_silence(now, server, fact.started_ms, None);
            removed.push(server);
        }
        removed
    }

    /// Returns the server that was published for a pool.
    pub fn server_of(&self, pool: PoolId) -> Option<ServerKey> {
        self.0.get(&pool).map(|(server, ..)| *server)
    }

    /// Returns the pool of a server that was published.
    pub fn pool_of(&self, server: ServerKey) -> Option<PoolId> {
        self.0.iter().find(|(_, reported)| reported.0 == server).map(|(pool, _)| *pool)
    }
}

/// What other gatekeepers report of each server, and when this gatekeeper's list was received, as of the last update.
pub struct PeerObservations {
    by_pool: HashMap<PoolId, ServerObservation>,
    list_at: f64,
}

impl PeerObservations {
    /// Creates an empty set of observations.
    pub fn new(now: f64) -> PeerObservations {
        PeerObservations { by_pool: HashMap::new(), list_at: now }
    }

    /// Applies what other gatekeepers report of the servers; returns the entries of the list that change because of it. `late`
    /// is how much later a list may arrive at one gatekeeper than at another.
    pub fn update(
        &mut self,
        now: f64,
        observations: &BTreeMap<ServerKey, ServerObservation>,
        (list_at, late): (f64, f64),
        servers: &Servers,
        guard: &mut Guard,
    ) -> Vec<PoolEntry> {
        let mut by_pool = HashMap::new();
        for known in servers.summaries() {
            let observed = observations.get(&ServerKey::of(known.name));
            let started_ms = (known.listed.started.max(0.0) * 1000.0) as u64;
            let silent = observed.filter(|s| s.fact.started_ms >= started_ms).and_then(|s| s.silent);
            guard.update_silence(now, known.pool, silent.map(|(at, _)| at), known.last_message_at);
            by_pool.extend(observed.map(|observed| (known.pool, *observed)));
        }
        let ready = servers.summaries().filter(|k| k.listed.readiness == Readiness::Ready).map(|k| k.pool);
        guard.set_in_service(&ready.collect::<Vec<PoolId>>());
        let old = std::mem::replace(&mut self.by_pool, by_pool);
        let old_list_at = std::mem::replace(&mut self.list_at, list_at);
        let entries = servers.pool_entries().into_iter();
        let before = |e: &PoolEntry| apply_observation(*e, old.get(&e.pool), old_list_at, late);
        let after = |e: &PoolEntry| apply_observation(*e, self.by_pool.get(&e.pool), list_at, late);
        entries.filter(|e| before(e) != after(e)).map(|e| after(&e)).collect()
    }

    /// Applies what other gatekeepers report to the entries of a list.
    pub fn overlay(&self, entries: &mut [PoolEntry], list_at: f64, late: f64) {
        for entry in entries {
            *entry = apply_observation(*entry, self.by_pool.get(&entry.pool), list_at, late);
        }
    }
}
