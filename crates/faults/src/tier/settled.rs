//! What must hold once all is quiet.

use std::collections::{BTreeMap, BTreeSet};

use hollypaddle_membership::view::State;
use hollypaddle_membership::MemberId;
use hollypaddle_relay::settings::Revision;
use hollypaddle_replica::record::{join_servers, LeafFact, Presence, ServerFact, ServerKey, Topic};

use super::{id, World};
use crate::check::Broken;

impl World {
    /// Every leaf that is awake is attached to a relay that is awake and knows it.
    pub fn all_attached(&self) -> bool {
        self.unattached().is_empty()
    }

    /// The leaves that are awake and not attached.
    pub fn unattached(&self) -> Vec<usize> {
        let at = |n: usize| self.attached_to(n).is_some_and(|r| self.awake(r));
        self.leaf_nodes().filter(|n| self.awake(*n) && !at(*n)).collect()
    }

    /// What a leaf of a topic must hear, were everybody told everything: the join over all living leaves of it.
    fn model(&self, topic: Topic) -> (BTreeMap<ServerKey, ServerFact>, BTreeSet<ServerKey>) {
        let mut servers: BTreeMap<ServerKey, (f64, ServerFact)> = BTreeMap::new();
        let of = |n: &usize| self.nodes[*n].process.is_some() && self.plan.topic(*n) == topic;
        for node in self.leaf_nodes().filter(of) {
            for (server, said) in &self.nodes[node].servers {
                let joined = servers.get(server).map_or(*said, |held| join_servers(*held, *said));
                servers.insert(*server, joined);
            }
        }
        let mut silent = BTreeSet::new();
        for node in self.leaf_nodes().filter(of) {
            for (server, (_, started)) in &self.nodes[node].silent {
                if servers.get(server).is_none_or(|(_, fact)| fact.started_ms <= *started) {
                    silent.insert(*server);
                }
            }
        }
        (servers.into_iter().map(|(k, (_, fact))| (k, fact)).collect(), silent)
    }

    /// Each leaf hears what it would if everybody told everybody everything.
    pub fn feeds_equal_the_model(&self) -> Vec<Broken> {
        const RULE: &str = "a leaf hears what it would if everybody told everybody everything";
        let mut broken = Vec::new();
        for node in self.leaf_nodes().filter(|n| self.awake(*n)) {
            let Some(leaf) = self.leaf(node) else { continue };
            let topic = self.plan.topic(node);
            let (servers, silent) = self.model(topic);
            let said = leaf.peer_observations(self.clock(node));
            let heard: BTreeMap<ServerKey, ServerFact> =
                said.iter().filter(|(_, s)| s.at > f64::NEG_INFINITY).map(|(k, s)| (*k, s.fact)).collect();
            if heard != servers {
                let differ = |k: &&ServerKey| heard.get(*k) != servers.get(*k);
                let keys: BTreeSet<&ServerKey> = heard.keys().chain(servers.keys()).collect();
                let first = keys.iter().find(|k| differ(k)).map(|k| (heard.get(*k), servers.get(*k)));
                broken.push(Broken(RULE, format!("node {node} of servers: {first:?}")));
            }
            let found: BTreeSet<ServerKey> =
                said.iter().filter(|(_, s)| s.silent.is_some()).map(|(k, _)| *k).collect();
            if found != silent {
                broken.push(Broken(RULE, format!("node {node} of silences: {found:?}, {silent:?}")));
            }
            let peers: BTreeMap<MemberId, LeafFact> = leaf.peers().collect();
            for other in self.leaf_nodes().filter(|n| *n != node && self.plan.topic(*n) == topic) {
                let fact = peers.get(&id(other, &self.plan));
                let here = fact.is_some_and(|f| f.presence == Presence::Here);
                let life = self.leaf(other).map(|l| l.identity().incarnation);
                let right = match self.awake(other) {
                    true => here && fact.map(|f| f.life) == life,
                    false => !here,
                };
                if !right {
                    broken.push(Broken(RULE, format!("node {node} of leaf {other}: {fact:?}")));
                }
            }
        }
        broken
    }

    /// All who are awake are on the newest settings that were in force anywhere.
    pub fn all_on_newest(&self) -> Vec<Broken> {
        const RULE: &str = "all who are reached are on the newest settings";
        let relays = (0..self.plan.relays).filter_map(|n| Some((n, self.relay(n)?.settings().revision())));
        let leaves = self.leaf_nodes().filter_map(|n| Some((n, self.leaf(n)?.status(0.0).settings)));
        let all: Vec<(usize, Revision)> = relays.chain(leaves).filter(|(n, _)| self.awake(*n)).collect();
        let newest = all.iter().map(|(_, mark)| *mark).max().unwrap_or_default();
        let behind = all.into_iter().filter(|(_, mark)| *mark != newest);
        behind
            .map(|(n, mark)| {
                Broken(RULE, format!("node {n} on {}, newest is {}", mark.version, newest.version))
            })
            .collect()
    }

    /// All relays hear each other.
    pub fn relays_hear_each_other(&self) -> bool {
        let alive = |a: usize, b: usize| {
            self.relay(a).is_some_and(|r| matches!(r.member().view().state(id(b, &self.plan)), State::Alive))
        };
        let awake: Vec<usize> = (0..self.plan.relays).filter(|n| self.awake(*n)).collect();
        awake.iter().all(|a| awake.iter().all(|b| a == b || alive(*a, *b)))
    }

    /// What does not hold though all is quiet.
    pub fn unsettled(&self) -> Vec<Broken> {
        let mut broken = Vec::new();
        let left = self.unattached();
        if !left.is_empty() {
            broken.push(Broken("every leaf is attached once all is quiet", format!("{left:?} are not")));
        }
        if !self.relays_hear_each_other() {
            broken.push(Broken("relays hear each other once all is quiet", String::new()));
        }
        broken.extend(self.feeds_equal_the_model());
        broken.extend(self.all_on_newest());
        broken
    }
}
