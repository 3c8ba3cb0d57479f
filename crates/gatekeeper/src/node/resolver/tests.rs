use std::net::Ipv4Addr;

use hollypaddle_platform::list::Readiness;
use hollypaddle_standin::resolver::{reply, Listed};

use super::pending::{ANSWER_TIMEOUT_S, MAX_PENDING_QUERIES};
use super::*;

/// A DNS server whose answers the test writes, and the client that queries it.
struct TestBed {
    dns_server: UdpSocket,
    resolver: Resolver,
    now: f64,
}

/// A query as the DNS server received it, and where it came from.
struct ReceivedQuery(Vec<u8>, SocketAddr);

impl TestBed {
    /// Starts with a list from the configuration at position 1.
    fn new() -> TestBed {
        let dns_server = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
        dns_server.set_read_timeout(Some(std::time::Duration::from_secs(5))).unwrap();
        let resolver = Resolver::new(dns_server.local_addr().unwrap(), 1, 7, vec!["east".into()]).unwrap();
        TestBed { dns_server, resolver, now: 0.0 }
    }

    /// Sends a query, which the DNS server receives.
    fn query(&mut self) -> ReceivedQuery {
        self.resolver.send_query(self.now);
        let mut query = [0; 1024];
        let (n, from) = self.dns_server.recv_from(&mut query).unwrap();
        ReceivedQuery(query[..n].to_vec(), from)
    }

    /// Sends queries at an interval of 0.08 s for this time.
    fn query_for(&mut self, seconds: f64) -> Vec<ReceivedQuery> {
        let until = self.now + seconds;
        let mut queries = Vec::new();
        while self.now < until {
            queries.push(self.query());
            self.now += 0.08;
        }
        queries
    }

    /// Answers a query with these bytes, and has the answer read.
    fn send(&mut self, query: &ReceivedQuery, answer: &[u8]) -> Option<Snapshot> {
        // On the loopback interface a sent datagram can be read at once.
        assert_eq!(self.dns_server.send_to(answer, query.1).unwrap(), answer.len());
        self.resolver.read_answers(self.now)
    }

    /// Answers a query with a list of one server at a position; returns whether the server drains in the list that is applied.
    fn tell(&mut self, query: &ReceivedQuery, position: u32, draining: bool) -> Option<bool> {
        let address = (Ipv4Addr::LOCALHOST, 5060).into();
        let listed =
            Listed { id: "s-0".into(), district: "east".into(), address, number: 0, draining, started_ms: 0 };
        let answer = reply(&query.0, position, &[listed]).unwrap().to_vec().unwrap();
        is_draining(self.send(query, &answer))
    }

    /// Sends a query and answers it `times` times with a list of one server at a position.
    fn answer(&mut self, position: u32, draining: bool, times: usize) -> Option<bool> {
        let query = self.query();
        let applied: Vec<Option<bool>> = (0..times).map(|_| self.tell(&query, position, draining)).collect();
        applied.into_iter().flatten().next()
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
    assert_eq!(w.answer(5, false, 1), Some(false));
    assert_eq!(w.answer(2, true, 1), None, "one answer proves nothing");
    assert_eq!(w.answer(2, true, 1), Some(true));
    assert!(w.resolver.take_confirmed().is_some());
    // Later lists are numbered from there.
    assert_eq!(w.answer(3, false, 1), Some(false));
}

/// Guards against old answers that replace a list received twice, and against one old answer that arrives twice.
#[test]
fn a_list_received_in_two_answers_is_never_replaced_by_an_older_one() {
    let mut w = TestBed::new();
    assert_eq!(w.answer(5, true, 1), Some(true));
    assert_eq!(w.answer(4, false, 2), None, "one answer that arrived twice");
    assert_eq!(w.answer(3, false, 1), None, "two answers that differ");
    assert_eq!(w.answer(5, true, 1), None);
    (0..5).for_each(|_| assert_eq!(w.answer(4, false, 1), None));
    // A list from the configuration counts as received twice.
    let mut fresh = TestBed::new();
    fresh.resolver.accept(9);
    (0..5).for_each(|_| assert_eq!(fresh.answer(8, false, 1), None));
}

impl TestBed {
    /// Sends a query and answers it with the bytes that `answer` makes of the query.
    fn answer_with(&mut self, answer: impl FnOnce(&[u8]) -> Vec<u8>) -> Option<Snapshot> {
        let query = self.query();
        let answer = answer(&query.0);
        self.send(&query, &answer)
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
    assert_eq!(w.resolver.answers_passed_over(), 1);
}

/// Guards against a resolver that is never listened to as it answers each query after a second: the next queries must not end
/// the wait for the answers to earlier ones.
#[test]
fn an_answer_that_comes_a_second_after_its_query_is_applied() {
    let mut w = TestBed::new();
    let queries = w.query_for(1.0);
    assert_eq!(w.tell(&queries[0], 2, true), Some(true));
    assert_eq!(w.resolver.take_confirmed(), Some(0.0), "it is as old as its query at the most");
    assert_eq!(w.tell(&queries[1], 3, false), Some(false));
    assert_eq!(w.resolver.answers_passed_over(), 0);
}

/// Guards against a drain that is taken back by answers that were on their way for long: they answer queries that were sent
/// before the drain was announced.
#[test]
fn late_answers_to_earlier_queries_do_not_bring_an_older_list_back() {
    let mut w = TestBed::new();
    let queries = w.query_for(1.0);
    assert_eq!(w.answer(3, true, 1), Some(true));
    for query in &queries[..4] {
        assert_eq!(w.tell(query, 2, false), None);
    }
    assert_eq!(w.resolver.answers_passed_over(), 4);
    // Two answers to later queries show that the resolver itself has gone back, as after a restart.
    let later = w.query_for(1.0);
    assert_eq!(w.tell(&later[0], 2, false), None);
    assert_eq!(w.tell(&later[1], 2, false), Some(false));
}

/// Guards against a restarted gatekeeper that hears of no event until the numbers of its earlier life are reached, as late answers
/// with such a number confirm each other.
#[test]
fn late_answers_from_before_a_restart_do_not_confirm_each_other() {
    let mut w = TestBed::new();
    let queries = w.query_for(1.0);
    assert_eq!(w.tell(&queries[0], 10, false), Some(false));
    assert_eq!(w.tell(&queries[1], 10, false), None);
    let later = w.query_for(1.0);
    assert_eq!(w.tell(&later[0], 2, true), None);
    assert_eq!(w.tell(&later[1], 2, true), Some(true), "two answers agree on the list of this life");
}

/// Guards against a single answer that was on its way for long and replaces the list that later queries were answered with.
#[test]
fn a_newer_list_in_a_late_answer_out_of_order_needs_a_second_answer() {
    let mut w = TestBed::new();
    let queries = w.query_for(1.0);
    assert_eq!(w.answer(1, false, 1), None);
    assert_eq!(w.tell(&queries[0], 10, true), None);
    assert_eq!(w.answer(1, false, 1), None, "the current list, and it is not withdrawn");
    // News that comes with such answers alone is applied with the second one.
    assert_eq!(w.tell(&queries[1], 2, true), None);
    assert_eq!(w.tell(&queries[2], 2, true), Some(true));
}

/// Guards against a drain that is obeyed late: the answers of a fast resolver that overtake each other are applied at once.
#[test]
fn a_newer_list_in_a_recent_answer_is_applied_in_any_order() {
    let mut w = TestBed::new();
    let queries = w.query_for(0.4);
    assert_eq!(w.tell(&queries[4], 1, false), None);
    assert_eq!(w.tell(&queries[0], 2, true), Some(true));
}

/// Guards against queries that are kept for ever while nobody answers, and against answers that are counted nowhere.
#[test]
fn queries_are_awaited_for_a_limited_time_and_in_limited_number() {
    let mut w = TestBed::new();
    let first = w.query();
    w.now = ANSWER_TIMEOUT_S + 0.1;
    assert_eq!(w.tell(&first, 2, true), None, "too late");
    let mut w = TestBed::new();
    let first = w.query();
    (0..MAX_PENDING_QUERIES).for_each(|_| drop(w.query()));
    assert_eq!(w.resolver.pending_queries.len(), MAX_PENDING_QUERIES);
    assert_eq!(w.tell(&first, 2, true), None, "too many");
    assert_eq!(w.resolver.answers_passed_over(), 1);
    w.now = ANSWER_TIMEOUT_S + 0.1;
    let last = w.query();
    assert_eq!(w.resolver.pending_queries.len(), 1);
    assert_eq!(w.tell(&last, 2, true), Some(true));
    assert_eq!(w.resolver.pending_queries.len(), 0, "answered");
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
