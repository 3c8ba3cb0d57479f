//! Which members adopt the calls of a member that is gone, as they lose and regain a majority.

use hollypaddle_membership::view::State;
use hollypaddle_membership::{Incarnation, MemberId};
use hollypaddle_replica::record::{CallFact, ServerKey};
use hollypaddle_replica::{Member, Settings};

const STEP_S: f64 = 0.02;
const MEMBERS: usize = 5;
const CALLS: u64 = 60;

fn id(n: usize) -> MemberId {
    MemberId(n as u64)
}

/// Members on one clock. Messages in a direction that is cut are lost.
struct Fleet {
    members: Vec<Member>,
    now: f64,
    cut: Vec<(usize, usize)>,
    down: Vec<usize>,
}

impl Fleet {
    fn new() -> Fleet {
        let all = || (0..MEMBERS).map(id);
        let start = |n: usize| {
            let life = Incarnation { number: 10 + n as u64, nonce: 1 };
            Member::new(0.0, id(n), life, Settings::default(), all())
        };
        let mut members: Vec<Member> = (0..MEMBERS).map(start).collect();
        for (a, b) in (0..MEMBERS).flat_map(|a| (0..MEMBERS).map(move |b| (a, b))).filter(|(a, b)| a != b) {
            let hello = members[b].hello(0.0, id(a));
            members[a].receive_hello(0.0, &hello).unwrap();
        }
        Fleet { members, now: 0.0, cut: Vec::new(), down: Vec::new() }
    }

    fn run_for(&mut self, seconds: f64) {
        for _ in 0..(seconds / STEP_S) as usize {
            self.now += STEP_S;
            for n in (0..MEMBERS).filter(|n| !self.down.contains(n)).collect::<Vec<_>>() {
                self.members[n].tick(self.now);
                (0..MEMBERS).filter(|peer| *peer != n).for_each(|peer| self.send_messages(n, peer));
            }
        }
    }

    fn send_messages(&mut self, from: usize, to: usize) {
        if self.down.contains(&to) {
            return self.members[from].link_refused(self.now, id(to));
        }
        while let Some(message) = self.members[from].next_message(self.now, id(to)) {
            if !self.cut.contains(&(from, to)) {
                self.members[to].receive(self.now, id(from), &message).unwrap();
            }
        }
    }

    fn kill(&mut self, n: usize) {
        self.down.push(n);
        (0..MEMBERS).filter(|peer| *peer != n).for_each(|peer| self.members[peer].link_down(id(n)));
    }

    fn adopted_by(&self, n: usize) -> usize {
        (0..CALLS).filter(|call| self.members[n].adopted_call(*call).is_some()).count()
    }

    /// Calls stand at the first member, from which nobody receives messages any more and which is then gone; after
    /// that the second member loses its majority.
    fn with_second_member_in_a_minority() -> Fleet {
        let mut fleet = Fleet::new();
        fleet.run_for(1.0);
        for call in 0..CALLS {
            fleet.members[0].call_established(fleet.now, call, CallFact { server: ServerKey(1), class: 1 });
        }
        fleet.run_for(1.0);
        fleet.cut.extend((1..MEMBERS).map(|peer| (0, peer)));
        fleet.run_for(4.0);
        assert!((1..MEMBERS).all(|n| matches!(fleet.members[n].view().state(id(0)), State::Gone(_))));
        fleet.cut.extend([(2, 1), (3, 1)]);
        fleet.run_for(2.0);
        fleet
    }
}

/// Guards against two faults: a minority adopts calls of a member that is still running, and calls stay without a
/// responsible member. Both come about when a member cannot receive messages from a majority.
#[test]
fn a_member_in_a_minority_adopts_further_calls_only_once_it_receives_from_a_majority() {
    let mut fleet = Fleet::with_second_member_in_a_minority();
    let before = fleet.adopted_by(1);
    assert!(before > 0, "calls adopted while it received from a majority stay with it");
    fleet.kill(4);
    fleet.run_for(2.0);
    assert!(fleet.members[1].view().process_ended(id(4)));
    assert_eq!(fleet.adopted_by(1), before, "calls that the ended process had adopted wait");
    fleet.cut.retain(|(from, _)| *from == 0);
    fleet.run_for(2.0);
    assert!(fleet.adopted_by(1) > before);
    let all: usize = (1..4).map(|n| fleet.adopted_by(n)).sum();
    assert_eq!(all, CALLS as usize, "each call is adopted by exactly one member");
}

/// Guards against calls that wait for a majority although the process that held them has certainly ended.
#[test]
fn a_member_in_a_minority_adopts_the_calls_of_a_process_that_has_ended() {
    let mut fleet = Fleet::new();
    fleet.run_for(1.0);
    for call in 0..CALLS {
        fleet.members[0].call_established(fleet.now, call, CallFact { server: ServerKey(1), class: 1 });
    }
    fleet.run_for(1.0);
    fleet.cut.extend([(2, 1), (3, 1), (4, 1)]);
    fleet.run_for(2.0);
    fleet.kill(0);
    fleet.run_for(2.0);
    assert!(!fleet.members[1].view().has_quorum());
    assert!(fleet.adopted_by(1) > 0);
}
