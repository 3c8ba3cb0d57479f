//! Calls: how they stand, end and are adopted, and what members know of them.

use hollypaddle_replica::member::{CallAction, CatchUpOutcome, Event};
use hollypaddle_replica::record::{CallFact, Origin, ServerFact, ServerKey, ServerState};
use hollypaddle_replica::store::Store;
use hollypaddle_replica::Member;
use rand::Rng;

use super::{id, Planted, World, SHARED, STEP};
use crate::check::{self, Broken, What};

impl World {
    /// What is known to one member alone as it is killed is lost with it: that may be so of the last moments, or where
    /// it was cut off, and else it is a fault.
    pub(super) fn record_unshared(&mut self, n: usize) {
        let cut = self.channels.iter().any(|((a, b), w)| (*a == n || *b == n) && w.impairment.is_impaired());
        let trouble = |(at, w): &(f64, What)| *at > self.now - 2.0 && !check::of_calls(w);
        let may =
            cut || self.nodes[n].paused || self.plan.chaos > 0.0 || self.history.events.iter().any(trouble);
        let others: Vec<&Member> = (self.nodes.iter().enumerate())
            .filter(|(m, node)| *m != n && node.acts())
            .filter_map(|(_, node)| node.member.as_ref())
            .collect();
        let own = self.nodes[n].member.as_ref().map(|m| m.store());
        let version = |s: &Store, of: &Origin| s.stream(of).map_or(0, |s| s.version());
        let behind = own.is_some_and(|own| {
            others.iter().any(|m| version(m.store(), &own.own_origin()) < version(own, &own.own_origin()))
        });
        let since = self.now - SHARED;
        let mut lost = Vec::new();
        for (at, what) in &self.history.events {
            let is_lost = match what {
                What::Stood(call, by) if *by == n && self.nodes[n].calls.contains_key(call) => {
                    !others.iter().any(|m| m.store().standing_call(*call).is_some())
                }
                // Messages that still wait on a cut channel may bring the call and not its end.
                What::Told(_, by) if *by == n => behind,
                _ => false,
            };
            if let (true, What::Stood(call, _) | What::Told(call, _)) =
                (is_lost && (may || *at > since), what)
            {
                lost.push(*call);
            }
        }
        lost.into_iter().for_each(|call| self.history.push(self.now, What::Unshared(call)));
    }

    pub(super) fn traffic(&mut self, n: usize, local: f64) {
        let ready = self.nodes[n].member.as_ref().is_some_and(Member::is_caught_up);
        let ready = ready || self.plan.planted == Some(Planted::NoCatchUp);
        if !ready || !self.rng.gen_bool((self.plan.calls * STEP).clamp(0.0, 1.0)) {
            return;
        }
        if self.plan.planted == Some(Planted::NoCatchUp) {
            self.must_have_caught_up(n);
        }
        let call = self.next_call;
        self.next_call += 1;
        let server = ServerKey(self.rng.gen_range(0..self.plan.servers as u64));
        let lasts = self.rng.gen_range(0.2..6.0);
        let node = &mut self.nodes[n];
        let Some(member) = &mut node.member else { return };
        member.call_established(local, call, CallFact { server, class: 1 });
        member.record_server(local, server, ServerFact { started_ms: 0, place: ServerState::Ready });
        member.record_silence(local, server, 0, call.is_multiple_of(7).then_some(local));
        node.calls.insert(call, server);
        self.standing.insert(call, (n, self.now + lasts));
        self.history.push(self.now, What::Stood(call, n));
    }

    pub(super) fn act(&mut self, n: usize) {
        let Some(member) = &mut self.nodes[n].member else { return };
        let (acts, events) = (member.take_call_actions(), member.take_events());
        let never_yields = self.plan.planted == Some(Planted::NeverYields);
        for act in acts {
            let node = &mut self.nodes[n];
            match act {
                CallAction::Adopt(call, adopted) => {
                    node.adopted.insert(call);
                    self.adopted += 1;
                    let owner = (0..self.nodes.len()).find(|m| id(*m) == adopted.origin.member);
                    // One that was killed may have been found dead before the cut.
                    let lives = |m: usize| self.nodes[m].member.is_some() && self.nodes[m].lives == 1;
                    if let Some(owner) = owner.filter(|m| *m != n && lives(*m)) {
                        self.check_adoption(n, call, owner);
                    }
                }
                CallAction::Yield(_) | CallAction::EndedElsewhere(_) if never_yields => {}
                CallAction::Yield(call) => drop(node.adopted.remove(&call)),
                CallAction::EndedElsewhere(call) => drop(node.calls.remove(&call)),
                CallAction::DeliverEnd(call, _) => self.history.push(self.now, What::Told(call, n)),
            }
        }
        for event in events {
            match event {
                Event::CaughtUp(CatchUpOutcome::Complete, _) => self.must_have_caught_up(n),
                Event::Member(hollypaddle_membership::view::Change::Gone(member, _)) => {
                    let gone = (0..self.nodes.len()).find(|m| id(*m) == member);
                    self.false_deaths += u64::from(gone.is_some_and(|m| self.nodes[m].acts()));
                }
                _ => {}
            }
        }
    }

    /// A member that takes calls holds what those held that it reached, as of its start or its waking.
    pub(super) fn must_have_caught_up(&mut self, n: usize) {
        let Some((since, met)) = self.nodes[n].known_to_others.take() else { return };
        // Only where nobody was cut off or came and went meanwhile is it known whom it reached.
        let trouble = |(at, w): &(f64, What)| *at > since - 1.0 && *at < self.now && !check::of_calls(w);
        let own = self.history.events.iter().filter(|e| trouble(e)).count();
        let cut = self.channels.values().any(|channel| channel.impairment.is_impaired());
        let Some(member) = self.nodes[n].member.as_ref().filter(|_| own <= 1 && !cut) else { return };
        for (origin, version) in met {
            let held = member.store().stream(&origin).map_or(0, |s| s.version());
            if held < version && !member.store().is_forgotten(&origin) && origin.member != id(n) {
                let what = format!("g{n} takes calls with {origin} at {held} of {version}");
                self.broken.push(Broken("who takes calls holds what the others held as it came", what));
            }
        }
    }

    /// A server told the end of a call to this gatekeeper.
    pub(super) fn end_told(&mut self, n: usize, call: u64) {
        if !self.nodes[n].acts() {
            return self.nodes[n].pending_ends.push(call);
        }
        let local = self.nodes[n].clock(self.now);
        let node = &mut self.nodes[n];
        let Some(member) = &mut node.member else { return };
        let own = node.calls.remove(&call).is_some();
        // One that was started anew passes on the end of a call that it never heard of: it may have stood through it.
        let earlier = node.lives > 1 && !member.store().is_call_over(call);
        if own || earlier || node.adopted.contains(&call) || member.call_elsewhere(call).is_some() {
            member.call_ended(local, call);
            node.adopted.remove(&call);
            self.history.push(self.now, What::Told(call, n));
        }
    }

    /// Servers end calls: towards the gatekeeper that took it, and while that has no connection towards any other; the
    /// notice comes again on the owner's next connection.
    pub(super) fn servers(&mut self) {
        if self.ends_wait {
            return;
        }
        let due: Vec<u64> =
            self.standing.iter().filter(|(_, (_, at))| *at <= self.now).map(|(c, _)| *c).collect();
        for call in due {
            let Some((owner, _)) = self.standing.remove(&call) else { continue };
            self.history.push(self.now, What::Ended(call));
            if self.nodes[owner].member.is_some() {
                self.end_told(owner, call);
                continue;
            }
            self.nodes[owner].pending_ends.push(call);
            let others: Vec<usize> = (0..self.nodes.len()).filter(|n| self.nodes[*n].acts()).collect();
            if !others.is_empty() {
                let to = others[self.rng.gen_range(0..others.len())];
                self.end_told(to, call);
            }
        }
    }

    /// A call stands through a gatekeeper, until it is ended.
    pub fn call(&mut self, n: usize) -> Option<u64> {
        let local = self.nodes[n].clock(self.now);
        let node = self.nodes.get_mut(n).filter(|node| node.acts())?;
        let (call, server) = (self.next_call, ServerKey(0));
        self.next_call += 1;
        node.member.as_mut()?.call_established(local, call, CallFact { server, class: 1 });
        node.calls.insert(call, server);
        self.standing.insert(call, (n, f64::INFINITY));
        self.history.push(self.now, What::Stood(call, n));
        Some(call)
    }

    /// A server ends a call now.
    pub fn end(&mut self, call: u64) {
        if let Some(ends) = self.standing.get_mut(&call) {
            ends.1 = self.now;
        }
    }
}
