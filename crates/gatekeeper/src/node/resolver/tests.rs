use std::net::Ipv4Addr;

use hollypaddle_platform::list::Readiness;
use hollypaddle_standin::resolver::{reply, Listed};

use super::*;

/// A DNS server whose answers the test writes, and the client that queries it.
struct TestBed {
    dns_server: UdpSocket,
    resolver: Resolver,
}

impl TestBed {
    /// Starts with a list from the configuration at position 1.
    fn new() -> TestBed {
        let dns_server = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
        dns_server.set_read_timeout(Some(std::time::Duration::from_secs(5))).unwrap();
        let resolver = Resolver::new(dns_server.local_addr().unwrap(), 1, 7, vec!["east".into()]).unwrap();
        TestBed { dns_server, resolver }
    }

    /// Sends a query and answers it `times` times with a list of one server at a position.
    fn answer(&mut self, position: u32, draining: bool, times: usize) -> Option<Snapshot> {
        self.resolver.send_query();
        let mut query = [0; 1024];
        let (n, from) = self.dns_server.recv_from(&mut query).unwrap();
        let address = (Ipv4Addr::LOCALHOST, 5060).into();
        let listed =
            Listed { id: "s-0".into(), district: "east".into(), address, number: 0, draining, started_ms: 0 };
        let answer = reply(&query[..n], position, &[listed]).unwrap().to_vec().unwrap();
        // On the loopback interface a sent datagram can be read at once.
        (0..times).for_each(|_| assert_eq!(self.dns_server.send_to(&answer, from).unwrap(), answer.len()));
        self.resolver.read_answers()
    }
}

fn is_draining(list: Option<Snapshot>) -> Option<bool> {
    list.map(|list| list.servers["s-0"].readiness == Readiness::Draining)
}

/// Guards against a restarted gatekeeper that applies a late answer from before its restart. That list has a higher position
/// than any since, so no drain would be noticed until as many events have passed.
#[test]
fn an_answer_from_before_a_restart_is_replaced_once_two_answers_agree() {
    let mut w = TestBed::new();
    assert_eq!(is_draining(w.answer(5, false, 1)), Some(false));
    assert_eq!(is_draining(w.answer(2, true, 1)), None, "one answer proves nothing");
    assert_eq!(is_draining(w.answer(2, true, 1)), Some(true));
    assert!(w.resolver.take_confirmed());
    // Later lists are numbered from there.
    assert_eq!(is_draining(w.answer(3, false, 1)), Some(false));
}

/// Guards against old answers that replace a list received twice, and against one old answer that arrives twice.
#[test]
fn a_list_received_in_two_answers_is_never_replaced_by_an_older_one() {
    let mut w = TestBed::new();
    assert_eq!(is_draining(w.answer(5, true, 1)), Some(true));
    assert_eq!(is_draining(w.answer(4, false, 2)), None, "one answer that arrived twice");
    assert_eq!(is_draining(w.answer(3, false, 1)), None, "two answers that differ");
    assert_eq!(is_draining(w.answer(5, true, 1)), None);
    (0..5).for_each(|_| assert_eq!(is_draining(w.answer(4, false, 1)), None));
    // A list from the configuration counts as received twice.
    let mut fresh = TestBed::new();
    fresh.resolver.accept(9);
    (0..5).for_each(|_| assert_eq!(is_draining(fresh.answer(8, false, 1)), None));
}

impl TestBed {
    /// Sends a query and answers it with the bytes that `answer` makes of the query.
    fn answer_with(&mut self, answer: impl FnOnce(&[u8]) -> Vec<u8>) -> Option<Snapshot> {
        self.resolver.send_query();
        let mut query = [0; 1024];
        let (n, from) = self.dns_server.recv_from(&mut query).unwrap();
        let answer = answer(&query[..n]);
        assert_eq!(self.dns_server.send_to(&answer, from).unwrap(), answer.len());
        self.resolver.read_answers()
    }

    /// A list of `count` servers.
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

/// Guards against a list that never fits into an answer and is ignored for ever without being counted.
#[test]
fn unusable_answers_are_counted_and_answers_to_other_queries_are_not() {
    let truncated = |query: &[u8]| {
        let mut answer = reply(query, 9, &TestBed::listed(3)).unwrap();
        answer.metadata.truncation = true;
        answer.to_vec().unwrap()
    };
    // Larger than the receive buffer: the rest of the datagram is lost.
    let too_large = |query: &[u8]| reply(query, 9, &TestBed::listed(400)).unwrap().to_vec().unwrap();
    let echoed = |query: &[u8]| query.to_vec();
    let mut w = TestBed::new();
    for (n, answer) in [&truncated as &dyn Fn(&[u8]) -> Vec<u8>, &too_large, &echoed].into_iter().enumerate()
    {
        assert!(w.answer_with(answer).is_none());
        assert_eq!(w.resolver.unusable_answers(), n as u64 + 1);
    }
    assert!(w.answer_with(|query| reply(query, 9, &TestBed::listed(3)).unwrap().to_vec().unwrap()).is_some());
    // An answer to none of our queries says nothing about the list.
    assert!(w.answer_with(|query| vec![!query[0], query[1], 0, 0]).is_none());
    assert_eq!(w.resolver.unusable_answers(), 3);
}

#[test]
fn a_warning_is_due_after_eight_consecutive_unusable_answers_and_less_often_each_time() {
    let mut stats = AnswerStats::default();
    let until_warning = |stats: &mut AnswerStats| (1..).find(|_| stats.record_unusable()).unwrap();
    assert_eq!(until_warning(&mut stats), 8);
    assert!((0..100).all(|_| !stats.record_unusable()), "once until the next usable answer");
    assert!(stats.record_usable());
    assert!(!stats.record_usable());
    assert_eq!(until_warning(&mut stats), 16);
    assert!(stats.record_usable());
    assert!((0..31).all(|_| !stats.record_unusable()));
    assert!(!stats.record_usable(), "too few for a warning");
}
