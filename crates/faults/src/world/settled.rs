//! What must hold when all is mended and quiet.

use hollypaddle_membership::view::State;
use hollypaddle_replica::record::Origin;
use hollypaddle_replica::store::{Store, MAX_INCARNATIONS_PER_MEMBER};
use hollypaddle_replica::Member;

use super::{id, World};
use crate::check::{Broken, What};

impl World {
    /// What must hold when all is mended and quiet.
    pub(super) fn check_settled(&self) -> Vec<Broken> {
        let mut broken = Vec::new();
        let members: Vec<(usize, &Member)> =
            self.nodes.iter().enumerate().filter_map(|(n, node)| Some((n, node.member.as_ref()?))).collect();
        for (n, member) in &members {
            for other in members.iter().filter(|(m, _)| m != n) {
                let state = member.view().state(id(other.0));
                if state != State::Alive {
                    let what = format!("g{n} holds g{} to be {}", other.0, state.name());
                    broken.push(Broken("whoever lives and is reached is alive to all", what));
                }
            }
            if !member.is_caught_up() {
                broken.push(Broken("nobody waits for ever", format!("g{n} is not ready")));
            }
            let streams = member.store().streams().count();
            if streams > self.plan.members * MAX_INCARNATIONS_PER_MEMBER {
                broken.push(Broken("what is over leaves no growth", format!("g{n} holds {streams} streams")));
            }
        }
        let held = |m: &Member| -> Vec<(Origin, u64, u64)> {
            m.snapshot().iter().map(|r| (r.origin, r.version, r.hash)).collect()
        };
        if let Some((first, rest)) = members.split_first() {
            for other in rest.iter().filter(|other| held(other.1) != held(first.1)) {
                let (a, b) = (held(first.1), held(other.1));
                let differ: Vec<String> = (a.iter().filter(|x| !b.contains(x)))
                    .chain(b.iter().filter(|x| !a.contains(x)))
                    .map(|(o, version, hash)| format!("{o} {version} {hash:x}"))
                    .collect();
                let what = format!("g{} and g{}: {}", first.0, other.0, differ.join(", "));
                broken.push(Broken("after the healing all copies are equal", what));
            }
        }
        broken.extend(self.check_settled_calls(&members));
        broken
    }

    /// Copies say what the naive model says: what stands is known to all where its owner has lived long enough to tell,
    /// and what is over stands nowhere; one that its owner has left is seen to by one member alone.
    pub(super) fn check_settled_calls(&self, members: &[(usize, &Member)]) -> Vec<Broken> {
        let mut broken = Vec::new();
        for (n, member) in members {
            for (origin, stream) in member.store().streams() {
                for (call, ..) in Store::calls_in(stream) {
                    let known = !member.store().is_call_over(call);
                    if known && !self.standing.contains_key(&call) {
                        // The server's notice reached nobody who knew of it: it comes on the owner's next connection.
                        let any = |of: &dyn Fn(&What) -> bool| self.history.events.iter().any(|(_, w)| of(w));
                        let told = any(&|w| matches!(w, What::Told(c, _) if *c == call));
                        if told && !any(&|w| *w == What::Unshared(call)) {
                            let what = format!("call {call:x} of {origin} stands for g{n}");
                            broken.push(Broken("an end wins over standing", what));
                        }
                    }
                }
            }
        }
        for call in self.standing.keys() {
            let by: Vec<usize> =
                (0..self.nodes.len()).filter(|n| self.nodes[*n].adopted.contains(call)).collect();
            let own = self.nodes.iter().any(|node| node.calls.contains_key(call));
            if by.len() + usize::from(own) > 1 {
                let what = format!("call {call:x} by {by:?}, its owner {own}");
                broken.push(Broken("a call is seen to by one member alone", what));
            }
            let known = members.iter().filter(|(_, m)| m.store().standing_call(*call).is_some()).count();
            if known > 0 && known < members.len() {
                let what = format!("call {call:x} is known to {known} of {}", members.len());
                broken.push(Broken("what one knows all know", what));
            }
            if known > 0 && by.is_empty() && !own {
                broken.push(Broken(
                    "a call that is known is seen to",
                    format!("call {call:x} is seen to by nobody"),
                ));
            }
        }
        broken
    }
}
