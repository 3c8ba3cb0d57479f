//! The record of what happened, and the invariants that are held to it as each node takes its turn.

use std::collections::{BTreeMap, BTreeSet};

use hollypaddle_membership::view::Change;
use hollypaddle_relay::message::Message;
use hollypaddle_relay::settings::Revision;
use hollypaddle_relay::{leaf, relay, Leaf, Relay};
use hollypaddle_replica::member;
use hollypaddle_replica::record::{Key, Presence};

use super::nodes::Process;
use super::{Planted, World};

/// A leaf that is awake is heard by its relay at least so often, in seconds; who was heard longer ago may be held silent.
const HEARD_WITHIN_S: f64 = 1.0;

/// A leaf that had lost its relay, and was attached again.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Move {
    /// Which.
    pub node: usize,
    /// When its relay was lost.
    pub at: f64,
    /// After so many seconds.
    pub after: f64,
    /// It had just started, and had lost none.
    pub started: bool,
}

/// A change of the settings.
#[derive(Clone, Debug, PartialEq)]
pub struct Changed {
    /// Under which version.
    pub version: u64,
    /// When it was asked for.
    pub asked: f64,
    /// When it was in force at the writer.
    pub accepted: Option<f64>,
    /// When each leaf had it, or a later one.
    pub reached: BTreeMap<usize, f64>,
    /// The last of them.
    pub last: f64,
}

impl World {
    /// A node takes a message.
    pub(super) fn observe_message(&mut self, node: usize, from: usize, message: &Message) {
        let relays = self.plan.relays;
        match (node < relays, from < relays) {
            (true, true) => _ = self.relay_last_heard.insert((node, from), self.now),
            (true, false) => self.nodes[from].last_heard = Some((self.now, node)),
            (false, _) => {
                let Message::Records(_, piece) = message else { return };
                let own = self.plan.topic(node);
                let other = piece.records.iter().find(|r| {
                    !matches!(r.key, Key::TopicServer(t, _) | Key::TopicSilent(t, _) | Key::Leaf(t, _) if t == own)
                });
                if let Some(record) = other {
                    let what = format!("node {node} hears {record:?}");
                    self.record_violation("a leaf hears nothing beyond its topic", what);
                }
            }
        }
    }

    /// Whether a relay has stored settings, now or before.
    fn record_stored(&mut self, node: usize, mark: Revision) {
        if mark.version > 0 {
            self.stored.entry(mark).or_default().insert(node);
        }
    }

    /// No change is in force anywhere that a majority of relays has not stored.
    pub(super) fn check_in_force(&mut self, node: usize, mark: Revision) {
        let count = self.stored.get(&mark).map_or(0, BTreeSet::len);
        if mark.version > 0 && 2 * count <= self.plan.relays {
            let what = format!("version {} at node {node}, stored by {count} relays", mark.version);
            self.record_violation(
                "no change is in force anywhere that a majority of relays has not stored",
                what,
            );
        }
    }

    /// No node's settings ever go back to an older version.
    fn check_monotonic(&mut self, node: usize, old: Revision, new: Revision) {
        if new < old {
            let what = format!("node {node} from version {} to {}", old.version, new.version);
            self.record_violation("settings never go back to an older version", what);
        }
    }

    pub(super) fn observe(&mut self, node: usize, process: &mut Process, local: f64) {
        match process {
            Process::Leaf(leaf) => self.observe_leaf(node, leaf, local),
            Process::Relay(relay) => self.observe_relay(node, relay, local),
        }
    }

    fn observe_leaf(&mut self, node: usize, leaf: &mut Leaf, local: f64) {
        let lost = leaf.take_events().iter().any(|e| matches!(e, leaf::Event::Lost(..)));
        if lost && self.plan.planted == Some(Planted::ForgetsAlone) {
            let (identity, relays) = (leaf.identity().clone(), leaf.relays().to_vec());
            *leaf = Leaf::new(local, identity, relays, self.plan.timing);
        }
        let relay = leaf.relay().and_then(|relay| self.node_by_id.get(&relay)).copied();
        if let Some((at, of, moves)) = self.nodes[node].orphaned {
            let here = relay.is_some_and(|r| (r != of || leaf.status(local).moves > moves) && self.awake(r));
            if here {
                self.nodes[node].orphaned = None;
                self.moves.push(Move { node, at, after: self.now - at, started: of == usize::MAX });
            }
        }
        // A leaf alone keeps what it has. Looked at in short plays alone, as it costs a look at each turn.
        if self.scan_every < 1.0 {
            let status = leaf.status(local);
            let has = (status.servers, status.settings);
            let had = self.nodes[node].held;
            if relay.is_none() && (has.0 == 0 && had.0 > 0 || has.1 < had.1) {
                let what = format!("node {node} had {had:?}, has {has:?}");
                self.record_violation("a leaf alone keeps what it has", what);
            }
            self.nodes[node].held = has;
        }
        let Some(set) = leaf.take_new_settings() else { return };
        let mark = set.revision();
        self.check_monotonic(node, self.nodes[node].settings, mark);
        self.nodes[node].settings = mark;
        self.check_in_force(node, mark);
        let verdict = if self.picky.contains(&node) { Err("not with me".to_string()) } else { Ok(()) };
        leaf.record_settings_result(mark.version, verdict);
        let (now, clear_since) = (self.now, self.nodes[node].clear_since);
        let since = self.nodes[node].counted_version;
        self.nodes[node].counted_version = since.max(mark.version);
        for (_, change) in self.changes.range_mut((since + 1).min(mark.version)..=mark.version) {
            if change.accepted.is_some_and(|at| clear_since <= at) {
                change.reached.insert(node, now);
            }
        }
    }

    fn observe_relay(&mut self, node: usize, relay: &mut Relay, local: f64) {
        let (mark, proposed) = (relay.settings().revision(), relay.proposed().unwrap_or_default());
        if mark != self.nodes[node].in_force {
            self.check_monotonic(node, self.nodes[node].in_force, mark);
            self.nodes[node].in_force = mark;
            self.record_stored(node, mark);
            self.check_in_force(node, mark);
            if node == 0 {
                let now = self.now;
                for (_, change) in self.changes.range_mut(..=mark.version).rev() {
                    if change.accepted.is_some() {
                        break;
                    }
                    change.accepted = Some(now);
                }
            }
        }
        if proposed != self.nodes[node].proposed {
            self.nodes[node].proposed = proposed;
            self.record_stored(node, proposed);
        }
        self.most[node] = self.most[node].max(relay.counts.leaves as usize);
        for event in relay.take_events() {
            match event {
                relay::Event::LeafPresence(member, Presence::Gone) => {
                    let Some(&leaf) = self.node_by_id.get(&member) else { continue };
                    let row = relay.leaf_rows(local).into_iter().find(|r| r.leaf == member);
                    if let Some(row) = row {
                        self.reported_gone.insert((member, row.moves));
                    }
                    let state = &self.nodes[leaf];
                    let heard = state
                        .last_heard
                        .filter(|(at, _)| *at >= state.started && self.now - at < HEARD_WITHIN_S);
                    // By one whose messages reach this relay: two parts of a split do not know of each other.
                    let heard = heard.filter(|(_, by)| {
                        !self.blocked(*by, node)
                            && self.now - self.last_reopened.max(self.nodes[leaf].clear_since)
                                > HEARD_WITHIN_S
                    });
                    if let (true, Some((at, by))) = (self.awake(leaf), heard) {
                        let ago = self.now - at;
                        let what = format!(
                            "relay {node} says so of node {leaf}, heard by relay {by} {ago:.2} s ago"
                        );
                        self.false_death(what);
                    }
                }
                relay::Event::Mesh(member::Event::Member(Change::Gone(member, refused))) => {
                    let Some(&other) = self.node_by_id.get(&member) else { continue };
                    // What others hear is told every few tenths of a second: one that woke just now is not known of yet.
                    let since = self.nodes[other].clear_since;
                    // Heard by one that this relay hears: two parts of a split do not know of each other.
                    let open = |a: usize, b: usize| !self.blocked(a, b) && !self.blocked(b, a);
                    let heard = (0..self.plan.relays)
                        .filter(|n| *n != other && self.awake(*n) && open(*n, node))
                        .filter_map(|n| Some((*self.relay_last_heard.get(&(n, other))?, n)))
                        .find(|(at, _)| *at >= since && self.now - at < HEARD_WITHIN_S / 4.0);
                    // One that was of a majority before the paths opened may have counted the silence to its end by then;
                    // one that was not learns first whom the others hear.
                    let excused =
                        self.nodes[node].had_majority && self.now - self.last_reopened < HEARD_WITHIN_S;
                    let heard = heard.filter(|_| !excused);
                    if let (true, Some((_, by))) =
                        (self.awake(other) && self.now - since > HEARD_WITHIN_S, heard)
                    {
                        let what = format!(
                            "relay {node} says so of relay {other} (refused: {refused}), heard by relay {by}"
                        );
                        self.false_death(what);
                    }
                }
                relay::Event::TurnedDown { leaf, version, .. } if node == 0 => {
                    self.turned_down.insert((leaf, version));
                }
                _ => {}
            }
        }
    }

    /// Paths are about to be opened.
    pub(super) fn before_reopening(&mut self) {
        for node in 0..self.plan.relays {
            self.nodes[node].had_majority = 2 * self.count_reachable(node) > self.plan.relays;
        }
        self.last_reopened = self.now;
    }

    pub(super) fn false_death(&mut self, what: String) {
        self.false_deaths += 1;
        self.record_violation("nobody who lives and is heard is held to be gone", what);
    }

    /// Relays that live and that a relay reaches, itself counted.
    pub(super) fn count_reachable(&self, node: usize) -> usize {
        let open = |n: usize| n == node || !self.blocked(node, n) && !self.blocked(n, node);
        (0..self.plan.relays).filter(|n| self.awake(*n) && open(*n)).count()
    }
}
