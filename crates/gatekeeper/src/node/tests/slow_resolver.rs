//! A resolver that answers each query correctly, but late.

use std::collections::VecDeque;
use std::net::SocketAddr;

use super::*;

/// Time between two iterations of the event loop, in seconds: less than the interval between two queries.
const STEP_S: f64 = 0.02;

impl TestBed {
    /// The list of all servers at a position, with server 1 draining from position 2 on.
    fn list_at(&self, position: u32) -> Vec<Listed> {
        let listed = |(n, listener): (usize, &TcpListener)| Listed {
            id: format!("s-{n}"),
            district: "downtown".into(),
            address: listener.local_addr().unwrap(),
            number: n as u32,
            draining: n == 1 && position >= 2,
            started_ms: 0,
        };
        self.listeners.iter().enumerate().map(listed).collect()
    }

    /// Runs for some time, in which the servers send reports, each query is answered with the list at a position after `delay`
    /// seconds, and `each_step` is called in each iteration. `queries` are those that wait for their answer.
    fn run_with_resolver(
        &mut self,
        seconds: f64,
        (delay, position): (f64, u32),
        queries: &mut VecDeque<(f64, Vec<u8>, SocketAddr)>,
        mut each_step: impl FnMut(&mut TestBed),
    ) {
        let listed = self.list_at(position);
        let until = self.gatekeeper.now() + seconds;
        while self.gatekeeper.now() < until {
            self.gatekeeper.advance_clock(STEP_S);
            self.run_iteration();
            let mut data = [0; 512];
            while let Ok((n, from)) = self.dns.recv_from(&mut data) {
                queries.push_back((self.gatekeeper.now() + delay, data[..n].to_vec(), from));
            }
            let now = self.gatekeeper.now();
            while let Some((_, query, from)) = queries.pop_front_if(|(due_at, ..)| *due_at <= now) {
                let answer = resolver::reply(&query, position, &listed).unwrap().to_vec().unwrap();
                self.dns.send_to(&answer, from).unwrap();
            }
            self.send_from_all_servers(&Message::new(kind::STATE, 0).with(code::REPORT, "free:12;size:40"));
            each_step(self);
        }
    }

    /// Sends a set-up that prefers server 1, and has it answered; returns whether that server got it.
    fn server_1_gets_set_up(&mut self, id: u64) -> bool {
        // An unused connection is closed after a while.
        self.caller = self.connect_caller();
        self.caller.send(&set_up_to(1, id, 300)).unwrap();
        (0..10).for_each(|_| self.run_iteration());
        self.send_from_all_servers(&answer(id));
        self.run_for(0.4);
        self.run_until("a final answer", |bed| bed.caller_received.iter().any(|m| m.call == id));
        self.set_ups.contains(&(1, id))
    }
}

/// Guards against set-ups to a draining server for as long as the resolver answers late: a drain must be obeyed 0.25 s after an
/// answer that announces it was sent.
#[test]
fn a_drain_is_obeyed_while_the_resolver_answers_after_a_second() {
    for delay in [0.7, 1.0, 5.0] {
        let mut bed = TestBed::new(2);
        let mut queries = VecDeque::new();
        bed.run_with_resolver(delay + 0.2, (delay, 1), &mut queries, |_| {});
        assert!(bed.server_1_gets_set_up(1), "delay {delay}");
        bed.run_with_resolver(0.25, (delay, 2), &mut queries, |_| {});
        assert!(!bed.server_1_gets_set_up(2), "delay {delay}");
        assert_eq!(bed.gatekeeper.figures_now().gauges.lists_passed_over, 0);
    }
}

/// Guards against a resolver that is not listened to while new configurations come in quick succession: one that names the same
/// resolver must not end the wait for its answers.
#[test]
fn a_drain_is_obeyed_while_configurations_come_faster_than_answers() {
    let mut bed = TestBed::new(2);
    let mut queries = VecDeque::new();
    bed.run_with_resolver(2.0, (1.0, 1), &mut queries, |_| {});
    assert!(bed.server_1_gets_set_up(1));
    let mut reloaded_at = bed.gatekeeper.now();
    let mut reload = |bed: &mut TestBed| {
        if bed.gatekeeper.now() - reloaded_at >= 0.5 {
            reloaded_at = bed.gatekeeper.now();
            bed.gatekeeper.reload(Ok(config(&bed.listeners, &bed.dns)));
        }
    };
    bed.run_with_resolver(1.5, (1.0, 1), &mut queries, &mut reload);
    bed.run_with_resolver(2.5, (1.0, 2), &mut queries, &mut reload);
    assert!(bed.gatekeeper.figures_now().sighup_applied >= 7);
    assert!(!bed.server_1_gets_set_up(2));
}
