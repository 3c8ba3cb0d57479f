//! What is put into nodes from outside: what leaves find of servers, and settings that the writer is asked for.

use std::collections::BTreeMap;

use hollypaddle_relay::relay::SettingsError;
use hollypaddle_relay::settings::Revision;
use hollypaddle_relay::Node;
use hollypaddle_replica::record::ServerFact;

use super::nodes::Process;
use super::queue::nanos;
use super::{Changed, World};

impl World {
    /// A leaf's list says this of a server of its topic.
    pub fn tell(&mut self, node: usize, server: usize, fact: Option<ServerFact>) {
        let key = self.plan.server(self.plan.topic(node), server);
        match fact {
            // What is said again is of the time when it was said first.
            Some(fact) if self.nodes[node].servers.get(&key).is_some_and(|(_, held)| *held == fact) => return,
            Some(fact) => self.nodes[node].servers.insert(key, (self.now, fact)),
            None => self.nodes[node].servers.remove(&key),
        };
        let at = self.clock(node);
        if let Some(Process::Leaf(leaf)) = &mut self.nodes[node].process {
            leaf.set_server(at, key, fact);
            self.schedule_turn(node, nanos(self.now));
        }
    }

    /// A leaf finds a server of its topic silent, or not any more.
    pub fn silence(&mut self, node: usize, server: usize, silent: bool) {
        let key = self.plan.server(self.plan.topic(node), server);
        let started = self.nodes[node].servers.get(&key).map_or(0, |(_, fact)| fact.started_ms);
        match silent {
            true => self.nodes[node].silent.insert(key, (self.now, started)),
            false => self.nodes[node].silent.remove(&key),
        };
        let at = self.clock(node);
        if let Some(Process::Leaf(leaf)) = &mut self.nodes[node].process {
            leaf.set_silent(at, key, started, silent.then_some(at));
            self.schedule_turn(node, nanos(self.now));
        }
    }

    /// The writer is asked for settings with just these entries.
    pub fn propose(
        &mut self,
        node: usize,
        wanted: &[(String, String)],
    ) -> Option<Result<Revision, SettingsError>> {
        let now = self.clock(node);
        if !self.awake(node) {
            return None;
        }
        let Some(Process::Relay(relay)) = &mut self.nodes[node].process else { return None };
        relay.tick(now);
        let result = relay.propose(now, wanted);
        if let Ok(mark) = &result {
            let (asked, version) = (self.now, mark.version);
            self.changes.entry(version).or_insert_with(|| Changed {
                version,
                asked,
                accepted: None,
                reached: BTreeMap::new(),
                last: asked,
            });
        }
        self.schedule_turn(node, nanos(self.now));
        Some(result)
    }

    /// The same; whether it was accepted.
    pub fn proposes(&mut self, node: usize, wanted: &[(String, String)]) -> bool {
        matches!(self.propose(node, wanted), Some(Ok(_)))
    }
}
