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
        self.resolver.ask();
        let mut question = [0; 1024];
        let (n, from) = self.told.recv_from(&mut question).unwrap();
        let address = (Ipv4Addr::LOCALHOST, 5060).into();
        let listed =
            Listed { id: "s-0".into(), district: "east".into(), address, number: 0, draining, started_ms: 0 };
        let answer = reply(&question[..n], position, &[listed]).unwrap().to_vec().unwrap();
        // On loopback what was sent is there to be read.
        (0..times).for_each(|_| assert_eq!(self.told.send_to(&answer, from).unwrap(), answer.len()));
        self.resolver.read()
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
    assert!(w.resolver.confirmed());
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
