//! Which members consider which others gone. A member without a quorum must adopt no calls, since the members that it does
//! not receive from may be running without it.

use hollypaddle_membership::view::{Change, Membership, Settings, State};
use hollypaddle_membership::{Incarnation, MemberId};

const STEP_S: f64 = 0.02;

fn id(n: usize) -> MemberId {
    MemberId(n as u64)
}

/// Members on one clock, with paths between them that can be cut.
struct Group {
    views: Vec<Membership>,
    now: f64,
    cut: Vec<(usize, usize)>,
    down: Vec<usize>,
    /// Observing member, member that it considered gone, and whether links to that were refused.
    gone: Vec<(usize, MemberId, bool)>,
}

impl Group {
    fn new(members: usize) -> Group {
        let incarnation = |n: usize| Incarnation { number: 10 + n as u64, nonce: 1 };
        let view =
            |n: usize| Membership::new(0.0, id(n), incarnation(n), Settings::default(), (0..members).map(id));
        let mut views: Vec<Membership> = (0..members).map(view).collect();
        for (a, view) in views.iter_mut().enumerate() {
            (0..members)
                .filter(|b| *b != a)
                .for_each(|b| view.link_up(0.0, id(b), incarnation(b), None).unwrap());
        }
        Group { views, now: 0.0, cut: Vec::new(), down: Vec::new(), gone: Vec::new() }
    }

    /// Cuts both directions between each of `some` and each of `others`.
    fn split(&mut self, some: &[usize], others: &[usize]) {
        for a in some {
            self.cut.extend(others.iter().flat_map(|b| [(*a, *b), (*b, *a)]));
        }
    }

    fn run_for(&mut self, seconds: f64) {
        for _ in 0..(seconds / STEP_S) as usize {
            self.now += STEP_S;
            let up: Vec<usize> = (0..self.views.len()).filter(|n| !self.down.contains(n)).collect();
            for &a in &up {
                for b in (0..self.views.len()).filter(|b| *b != a) {
                    if self.down.contains(&b) {
                        self.views[a].link_refused(self.now, id(b));
                    }
                    let Some(heartbeat) = self.views[a].next_heartbeat(self.now, id(b), true) else {
                        continue;
                    };
                    if !self.cut.contains(&(a, b)) && !self.down.contains(&b) {
                        self.views[b].receive_heartbeat(self.now, id(a), &heartbeat).unwrap();
                    }
                }
                self.views[a].tick(self.now);
                for change in self.views[a].take_changes() {
                    if let Change::Gone(member, refused) = change {
                        self.gone.push((a, member, refused));
                    }
                }
            }
        }
    }

    /// Pauses one member: time passes only for the others.
    fn pause(&mut self, n: usize, seconds: f64) {
        let (paused, cut) = (self.views[n].clone(), self.cut.clone());
        let others: Vec<usize> = (0..self.views.len()).filter(|other| *other != n).collect();
        self.split(&[n], &others);
        self.run_for(seconds);
        (self.views[n], self.cut) = (paused, cut);
    }

    fn state(&self, at: usize, of: usize) -> State {
        self.views[at].state(id(of))
    }
}

/// For groups of two to eight and each size of a split in two: the side with a majority considers the other side gone, and a
/// side without one considers nobody gone. In a split into halves neither does.
#[test]
fn only_a_majority_considers_silent_members_gone() {
    for members in 2..=8 {
        for side in 1..members {
            let (some, others): (Vec<usize>, Vec<usize>) = ((0..side).collect(), (side..members).collect());
            let mut group = Group::new(members);
            group.run_for(1.0);
            assert!(group.gone.is_empty());
            group.split(&some, &others);
            group.run_for(30.0);
            let by = |at: &[usize]| group.gone.iter().filter(|(a, ..)| at.contains(a)).count();
            for (here, there) in [(&some, &others), (&others, &some)] {
                let majority = 2 * here.len() > members;
                let expected = if majority { here.len() * there.len() } else { 0 };
                assert_eq!(by(here), expected, "{} of {members}", here.len());
                assert_eq!(group.views[here[0]].has_quorum(), majority, "{} of {members}", here.len());
                for (a, b) in here.iter().flat_map(|a| there.iter().map(move |b| (*a, *b))) {
                    let state = group.state(a, b);
                    let gone = matches!(state, State::Gone(_));
                    assert_eq!(gone, majority, "{} of {members}: {state:?}", here.len());
                    assert!(gone || matches!(state, State::Suspected(_)));
                }
            }
        }
    }
}

/// A minority that is reconnected considers everybody alive, and considered nobody gone meanwhile.
#[test]
fn minority_cut_off_for_an_hour_comes_back_with_nobody_gone() {
    let mut group = Group::new(5);
    group.run_for(1.0);
    group.split(&[0, 1], &[2, 3, 4]);
    group.run_for(3600.0);
    assert!(group.gone.iter().all(|(by, ..)| *by >= 2));
    group.cut.clear();
    group.run_for(1.0);
    for (a, b) in (0..5).flat_map(|a| (0..5).map(move |b| (a, b))).filter(|(a, b)| a != b) {
        assert_eq!(group.state(a, b), State::Alive, "{b} at {a}");
    }
}

/// A refused link is sufficient evidence that a process has ended, without a quorum.
#[test]
fn member_whose_address_refuses_links_is_gone_without_a_quorum() {
    let mut group = Group::new(3);
    group.run_for(1.0);
    group.down = vec![1, 2];
    for n in [1, 2] {
        group.views[0].link_down(id(n));
    }
    group.run_for(1.0);
    assert!(!group.views[0].has_quorum());
    assert!([1, 2].iter().all(|n| matches!(group.state(0, *n), State::Gone(_))));
    assert!(group.gone.iter().all(|(by, _, refused)| *by == 0 && *refused), "{:?}", group.gone);
}

/// A member that is silent here but that others receive from is not gone, even with a quorum.
#[test]
fn silent_member_that_others_observe_is_suspected_and_not_gone() {
    let mut group = Group::new(5);
    group.run_for(1.0);
    group.split(&[0], &[4]);
    group.run_for(20.0);
    assert!(group.gone.is_empty(), "{:?}", group.gone);
    assert!(matches!(group.state(0, 4), State::Suspected(_)));
    assert_eq!(group.state(1, 4), State::Alive);
}

/// A process that restarts refuses links for a moment. It must not count as ended, however long ago its last message came,
/// until it has refused for a while.
#[test]
fn single_refused_link_does_not_make_a_member_gone() {
    let mut group = Group::new(3);
    group.run_for(1.0);
    group.split(&[1], &[0, 2]);
    group.run_for(0.34);
    let now = group.now;
    group.views[0].link_refused(now, id(1));
    group.run_for(0.2);
    assert!(group.gone.is_empty(), "{:?}", group.gone);
    // The process is back.
    let incarnation = Incarnation { number: 99, nonce: 1 };
    let now = group.now;
    group.views[0].link_up(now, id(1), incarnation, None).unwrap();
    group.run_for(0.2);
    assert!(group.gone.is_empty(), "{:?}", group.gone);
    // A process that continues to refuse links has ended.
    let now = group.now;
    group.views[0].link_down(id(1));
    group.views[0].link_refused(now, id(1));
    group.run_for(0.5);
    assert!(group.gone.contains(&(0, id(1), true)), "{:?}", group.gone);
}

/// A heartbeat that is repeated or overtaken must not undo what a later one reported.
#[test]
fn overtaken_heartbeat_is_ignored() {
    let mut group = Group::new(2);
    let first = group.views[1].next_heartbeat(0.0, id(0), false).unwrap();
    let second = group.views[1].next_heartbeat(0.2, id(0), true).unwrap();
    group.views[0].receive_heartbeat(0.2, id(1), &second).unwrap();
    assert!(group.views[0].is_ready(id(1)));
    group.views[0].receive_heartbeat(0.3, id(1), &first).unwrap();
    assert!(group.views[0].is_ready(id(1)), "it has caught up since");
}

/// A member that was cut off first receives from two of four others when it is back. That is a quorum, but the other two must
/// not count as gone, since the first two have received from them all the time.
#[test]
fn reconnected_member_considers_nobody_gone_whom_its_first_peers_observe() {
    let mut group = Group::new(5);
    group.run_for(1.0);
    group.split(&[0], &[1, 2, 3, 4]);
    group.run_for(6.0);
    group.cut.clear();
    group.split(&[0], &[3, 4]);
    group.run_for(0.3);
    group.cut.clear();
    group.run_for(3.0);
    assert_eq!(group.gone.iter().filter(|(by, ..)| *by == 0).count(), 0, "{:?}", group.gone);
    assert!((1..5).all(|n| group.views[0].state(id(n)) == State::Alive));
}

/// A member that was paused must consider nobody gone by what it received before: its quorum is as old as the pause, and so
/// are the observations of a member that it never received from itself.
#[test]
fn paused_member_needs_a_new_quorum_before_it_considers_anybody_gone() {
    let mut group = Group::new(3);
    // The first member knows of the last only by the observations of the second.
    group.split(&[0], &[2]);
    group.run_for(1.0);
    group.pause(0, 3.0);
    group.run_for(1.0);
    assert!(group.gone.iter().all(|(by, ..)| *by != 0), "{:?}", group.gone);
}
