//! Which members adopt calls, as they lose and regain a majority.

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

/// Members on one clock. What is said on a direction that is cut is lost.
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

    fn pass(&mut self, seconds: f64) {
        for _ in 0..(seconds / STEP_S) as usize {
            self.now += STEP_S;
            for n in (0..MEMBERS).filter(|n| !self.down.contains(n)).collect::<Vec<_>>() {
                self.members[n].tick(self.now);
                (0..MEMBERS).filter(|peer| *peer != n).for_each(|peer| self.speak(n, peer));
            }
        }
    }

    fn speak(&mut self, from: usize, to: usize) {
        if self.down.contains(&to) {
            return self.members[from].link_refused(self.now, id(to));
        }
        while let Some(word) = self.members[from].next_message(self.now, id(to)) {
            if !self.cut.contains(&(from, to)) {
                self.members[to].receive(self.now, id(from), &word).unwrap();
            }
        }
    }

    fn kill(&mut self, n: usize) {
        self.down.push(n);
        (0..MEMBERS).filter(|peer| *peer != n).for_each(|peer| self.members[peer].link_down(id(n)));
    }

    fn seen_to_by(&self, n: usize) -> usize {
        (0..CALLS).filter(|call| self.members[n].adopted_call(*call).is_some()).count()
    }

    /// Calls stand at the first member, which is then heard by nobody and gone; the second one loses its majority.
    fn with_a_minority_of_one() -> Fleet {
        let mut fleet = Fleet::new();
        fleet.pass(1.0);
        for call in 0..CALLS {
            fleet.members[0].call_established(fleet.now, call, CallFact { server: ServerKey(1), class: 1 });
        }
        fleet.pass(1.0);
        fleet.cut.extend((1..MEMBERS).map(|peer| (0, peer)));
        fleet.pass(4.0);
        assert!((1..MEMBERS).all(|n| matches!(fleet.members[n].view().state(id(0)), State::Gone(_))));
        fleet.cut.extend([(2, 1), (3, 1)]);
        fleet.pass(2.0);
        fleet
    }
}

/// Guards against calls of a member that lives adopted in a minority, and against calls that nobody sees to for good.
#[test]
fn calls_that_fall_to_a_member_in_a_minority_wait_until_it_hears_a_majority() {
    let mut fleet = Fleet::with_a_minority_of_one();
    let before = fleet.seen_to_by(1);
    assert!(before > 0, "what it saw to while it heard a majority stays with it");
    fleet.kill(4);
    fleet.pass(2.0);
    assert!(fleet.members[1].view().process_ended(id(4)));
    assert_eq!(fleet.seen_to_by(1), before, "those that the dead one saw to");
    fleet.cut.retain(|(from, _)| *from == 0);
    fleet.pass(2.0);
    assert!(fleet.seen_to_by(1) > before);
    let all: usize = (1..4).map(|n| fleet.seen_to_by(n)).sum();
    assert_eq!(all, CALLS as usize, "each has one that sees to it");
}

/// Guards against calls of a process that has certainly ended that wait for a majority.
#[test]
fn calls_of_a_process_that_has_ended_are_adopted_in_a_minority() {
    let mut fleet = Fleet::new();
    fleet.pass(1.0);
    for call in 0..CALLS {
        fleet.members[0].call_established(fleet.now, call, CallFact { server: ServerKey(1), class: 1 });
    }
    fleet.pass(1.0);
    fleet.cut.extend([(2, 1), (3, 1), (4, 1)]);
    fleet.pass(2.0);
    fleet.kill(0);
    fleet.pass(2.0);
    assert!(!fleet.members[1].view().has_quorum());
    assert!(fleet.seen_to_by(1) > 0);
}
