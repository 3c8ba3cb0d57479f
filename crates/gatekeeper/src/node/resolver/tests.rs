use std::net::Ipv4Addr;

use hollypaddle_platform::list::Readiness;
use hollypaddle_standin::resolver::{reply, Listed};

use super::*;

/// A resolver whose answers the test writes, and the one that asks it.
struct World {
    told: UdpSocket,
    resolver: Resolver,
}

impl World {
    /// The configuration told all up to the first event.
    fn new() -> World {
        let told = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
        told.set_read_timeout(Some(std::time::Duration::from_secs(5))).unwrap();
        let resolver = Resolver::new(told.local_addr().unwrap(), 1, 7, vec!["east".into()]).unwrap();
        World { told, resolver }
    }

    /// Asks, and answers with a list of one server at a position, so many times over.
    fn answer(&mut self, position: u32, draining: bool, times: usize) -> Option<Snapshot> {
        self.resolver.send_query();
        let mut question = [0; 1024];
        let (n, from) = self.told.recv_from(&mut question).unwrap();
        let address = (Ipv4Addr::LOCALHOST, 5060).into();
        let listed =
            Listed { id: "s-0".into(), district: "east".into(), address, number: 0, draining, started_ms: 0 };
        let answer = reply(&question[..n], position, &[listed]).unwrap().to_vec().unwrap();
        // On loopback what was sent is there to be read.
        (0..times).for_each(|_| assert_eq!(self.told.send_to(&answer, from).unwrap(), answer.len()));
        self.resolver.read_answers()
    }
}

fn drains(list: Option<Snapshot>) -> Option<bool> {
    list.map(|list| list.servers["s-0"].readiness == Readiness::Draining)
}

/// Guards against a restart that takes a late answer of its earlier life, numbered higher than all of this life, and then hears
/// of no drain until as many events have passed.
#[test]
fn an_answer_of_an_earlier_life_yields_to_two_that_agree() {
    let mut w = World::new();
    assert_eq!(drains(w.answer(5, false, 1)), Some(false));
    assert_eq!(drains(w.answer(2, true, 1)), None, "one answer proves nothing");
    assert_eq!(drains(w.answer(2, true, 1)), Some(true));
    assert!(w.resolver.take_confirmed());
    // The numbers of this life go on.
    assert_eq!(drains(w.answer(3, false, 1)), Some(false));
}

/// Guards against a list that was told twice and is taken back by old answers, and against one old answer that comes twice.
#[test]
fn what_two_answers_told_never_goes_back() {
    let mut w = World::new();
    assert_eq!(drains(w.answer(5, true, 1)), Some(true));
    assert_eq!(drains(w.answer(4, false, 2)), None, "one answer that came twice");
    assert_eq!(drains(w.answer(3, false, 1)), None, "two that differ");
    assert_eq!(drains(w.answer(5, true, 1)), None);
    (0..5).for_each(|_| assert_eq!(drains(w.answer(4, false, 1)), None));
    // What the configuration told counts as told twice.
    let mut fresh = World::new();
    fresh.resolver.accept(9);
    (0..5).for_each(|_| assert_eq!(drains(fresh.answer(8, false, 1)), None));
}

impl World {
    /// Asks, and answers with these bytes after the question's id.
    fn answer_with(&mut self, change: impl FnOnce(&[u8]) -> Vec<u8>) -> Option<Snapshot> {
        self.resolver.send_query();
        let mut question = [0; 1024];
        let (n, from) = self.told.recv_from(&mut question).unwrap();
        let answer = change(&question[..n]);
        assert_eq!(self.told.send_to(&answer, from).unwrap(), answer.len());
        self.resolver.read_answers()
    }

    /// So many servers, as a list.
    fn listed(count: u32) -> Vec<Listed> {
        let one = |number| Listed {
            id: format!("s-{number:08x}"),
            district: "east".into(),
            address: (Ipv4Addr::LOCALHOST, 5060).into(),
            number,
            draining: false,
            started_ms: 0,
        };
        (0..count).map(one).collect()
    }
}

/// Guards against a list that never fits into an answer, is passed over for ever, and is told to nobody.
#[test]
fn answers_that_cannot_be_taken_are_counted_and_told_once_a_change() {
    let cut = |question: &[u8]| {
        let mut answer = reply(question, 9, &World::listed(3)).unwrap();
        answer.metadata.truncation = true;
        answer.to_vec().unwrap()
    };
    // More than a datagram is read: the rest of it is cut off.
    let large = |question: &[u8]| reply(question, 9, &World::listed(400)).unwrap().to_vec().unwrap();
    let empty = |question: &[u8]| question.to_vec();
    let mut w = World::new();
    for (n, change) in [&cut as &dyn Fn(&[u8]) -> Vec<u8>, &large, &empty].into_iter().enumerate() {
        assert!(w.answer_with(change).is_none());
        assert_eq!(w.resolver.unusable_answers(), n as u64 + 1);
    }
    assert!(w
        .answer_with(|question| reply(question, 9, &World::listed(3)).unwrap().to_vec().unwrap())
        .is_some());
    // What answers no question of ours tells nothing of the list.
    assert!(w.answer_with(|question| vec![!question[0], question[1], 0, 0]).is_none());
    assert_eq!(w.resolver.unusable_answers(), 3);
}

#[test]
fn it_is_told_after_eight_in_a_row_and_more_seldom_each_time() {
    let mut answers = Answers::default();
    let until_told = |answers: &mut Answers| (1..).find(|_| answers.unusable()).unwrap();
    assert_eq!(until_told(&mut answers), 8);
    assert!((0..100).all(|_| !answers.unusable()), "once a change");
    assert!(answers.usable());
    assert!(!answers.usable());
    assert_eq!(until_told(&mut answers), 16);
    assert!(answers.usable());
    assert!((0..31).all(|_| !answers.unusable()));
    assert!(!answers.usable(), "a few are nothing to tell");
}
