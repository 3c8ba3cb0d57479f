//! Who is held to be gone, and by whom: a member that a majority is not heard by adopts nobody's calls, for those that it
//! does not hear may go on without it.

use hollypaddle_membership::view::{Change, Membership, Settings, State};
use hollypaddle_membership::{Incarnation, MemberId};

const STEP: f64 = 0.02;

fn id(n: usize) -> MemberId {
    MemberId(n as u64)
}

/// Members on one clock, with ways between them that may be cut.
struct Group {
    views: Vec<Membership>,
    now: f64,
    cut: Vec<(usize, usize)>,
    down: Vec<usize>,
    /// Who was held to be gone, by whom, and whether links to it were refused.
    gone: Vec<(usize, MemberId, bool)>,
}

impl Group {
    fn of(members: usize) -> Group {
        let life = |n: usize| Incarnation { number: 10 + n as u64, nonce: 1 };
        let view = |n: usize| Membership::new(0.0, id(n), life(n), Settings::default(), (0..members).map(id));
        let mut views: Vec<Membership> = (0..members).map(view).collect();
        for (a, view) in views.iter_mut().enumerate() {
            (0..members).filter(|b| *b != a).for_each(|b| view.link_up(0.0, id(b), life(b), None).unwrap());
        }
        Group { views, now: 0.0, cut: Vec::new(), down: Vec::new(), gone: Vec::new() }
    }

    /// Cuts both ways between any of some and any of others.
    fn split(&mut self, some: &[usize], others: &[usize]) {
        for a in some {
            self.cut.extend(others.iter().flat_map(|b| [(*a, *b), (*b, *a)]));
        }
    }

    fn pass(&mut self, seconds: f64) {
        for _ in 0..(seconds / STEP) as usize {
            self.now += STEP;
            let up: Vec<usize> = (0..self.views.len()).filter(|n| !self.down.contains(n)).collect();
            for &a in &up {
                for b in (0..self.views.len()).filter(|b| *b != a) {
                    if self.down.contains(&b) {
                        self.views[a].link_refused(self.now, id(b));
                    }
                    let Some(beat) = self.views[a].next_heartbeat(self.now, id(b), true) else { continue };
                    if !self.cut.contains(&(a, b)) && !self.down.contains(&b) {
                        self.views[b].receive_heartbeat(self.now, id(a), &beat).unwrap();
                    }
                }
                self.views[a].tick(self.now);
                for change in self.views[a].take_changes() {
                    if let Change::Gone(who, refused) = change {
                        self.gone.push((a, who, refused));
                    }
                }
            }
        }
    }

    /// Time passes for the others alone.
    fn pause(&mut self, n: usize, seconds: f64) {
        let (paused, cut) = (self.views[n].clone(), self.cut.clone());
        let others: Vec<usize> = (0..self.views.len()).filter(|other| *other != n).collect();
        self.split(&[n], &others);
        self.pass(seconds);
        (self.views[n], self.cut) = (paused, cut);
    }

    fn state(&self, at: usize, of: usize) -> State {
        self.views[at].state(id(of))
    }
}

/// For groups of two to eight and each way to split them in two: the side with a majority holds the other to be gone, a
/// side without one nobody; of a split in halves neither does.
#[test]
fn only_a_majority_holds_silent_members_to_be_gone() {
    for members in 2..=8 {
        for side in 1..members {
            let (some, others): (Vec<usize>, Vec<usize>) = ((0..side).collect(), (side..members).collect());
            let mut group = Group::of(members);
            group.pass(1.0);
            assert!(group.gone.is_empty());
            group.split(&some, &others);
            group.pass(30.0);
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

/// A minority that is whole again holds everybody to be alive, and nobody was gone for it meanwhile.
#[test]
fn a_minority_for_an_hour_comes_back_with_nobody_gone() {
    let mut group = Group::of(5);
    group.pass(1.0);
    group.split(&[0, 1], &[2, 3, 4]);
    group.pass(3600.0);
    assert!(group.gone.iter().all(|(by, ..)| *by >= 2));
    group.cut.clear();
    group.pass(1.0);
    for (a, b) in (0..5).flat_map(|a| (0..5).map(move |b| (a, b))).filter(|(a, b)| a != b) {
        assert_eq!(group.state(a, b), State::Alive, "{b} at {a}");
    }
}

/// A process whose address refuses links has ended, whatever the majority says: that is evidence of its own.
#[test]
fn one_whose_address_refuses_is_gone_without_a_majority() {
    let mut group = Group::of(3);
    group.pass(1.0);
    group.down = vec![1, 2];
    for n in [1, 2] {
        group.views[0].link_down(id(n));
    }
    group.pass(1.0);
    assert!(!group.views[0].has_quorum());
    assert!([1, 2].iter().all(|n| matches!(group.state(0, *n), State::Gone(_))));
    assert!(group.gone.iter().all(|(by, _, refused)| *by == 0 && *refused), "{:?}", group.gone);
}

/// One that others hear is not gone for who does not, though a majority is heard.
#[test]
fn one_that_another_hears_is_suspected_and_not_gone() {
    let mut group = Group::of(5);
    group.pass(1.0);
    group.split(&[0], &[4]);
    group.pass(20.0);
    assert!(group.gone.is_empty(), "{:?}", group.gone);
    assert!(matches!(group.state(0, 4), State::Suspected(_)));
    assert_eq!(group.state(1, 4), State::Alive);
}

/// A process that is started anew refuses a link for a moment: that is no death, however long its last word was ago, until it
/// has refused for a while.
#[test]
fn one_link_that_is_refused_is_no_death() {
    let mut group = Group::of(3);
    group.pass(1.0);
    group.split(&[1], &[0, 2]);
    group.pass(0.34);
    let now = group.now;
    group.views[0].link_refused(now, id(1));
    group.pass(0.2);
    assert!(group.gone.is_empty(), "{:?}", group.gone);
    // It is there again.
    let life = Incarnation { number: 99, nonce: 1 };
    let now = group.now;
    group.views[0].link_up(now, id(1), life, None).unwrap();
    group.pass(0.2);
    assert!(group.gone.is_empty(), "{:?}", group.gone);
    // One that goes on refusing has ended.
    let now = group.now;
    group.views[0].link_down(id(1));
    group.views[0].link_refused(now, id(1));
    group.pass(0.5);
    assert!(group.gone.contains(&(0, id(1), true)), "{:?}", group.gone);
}

/// A beat that comes again, or behind a later one, changes nothing that the later one said.
#[test]
fn a_beat_that_was_overtaken_counts_for_nothing() {
    let mut group = Group::of(2);
    let first = group.views[1].next_heartbeat(0.0, id(0), false).unwrap();
    let second = group.views[1].next_heartbeat(0.2, id(0), true).unwrap();
    group.views[0].receive_heartbeat(0.2, id(1), &second).unwrap();
    assert!(group.views[0].is_ready(id(1)));
    group.views[0].receive_heartbeat(0.3, id(1), &first).unwrap();
    assert!(group.views[0].is_ready(id(1)), "it has caught up since");
}

/// One that was cut off hears two of four others first when it is back: that is a majority, and still no reason to hold the
/// other two to be gone, whom those two hear all the while.
#[test]
fn who_is_back_holds_nobody_to_be_gone_whom_the_first_it_hears_hear() {
    let mut group = Group::of(5);
    group.pass(1.0);
    group.split(&[0], &[1, 2, 3, 4]);
    group.pass(6.0);
    group.cut.clear();
    group.split(&[0], &[3, 4]);
    group.pass(0.3);
    group.cut.clear();
    group.pass(3.0);
    assert_eq!(group.gone.iter().filter(|(by, ..)| *by == 0).count(), 0, "{:?}", group.gone);
    assert!((1..5).all(|n| group.views[0].state(id(n)) == State::Alive));
}

/// One that was paused takes nobody for gone by what it heard before: its majority is as old as the pause, and so is what others
/// told of one that it never heard itself.
#[test]
fn who_was_paused_hears_a_majority_anew_before_anybody_is_gone() {
    let mut group = Group::of(3);
    // The first hears of the last by the second alone.
    group.split(&[0], &[2]);
    group.pass(1.0);
    group.pause(0, 3.0);
    group.pass(1.0);
    assert!(group.gone.iter().all(|(by, ..)| *by != 0), "{:?}", group.gone);
}
