//! Connections to a session server that closes idle connections, while no set-up waits for them.

use super::*;

/// Age at which the server closes a connection.
const SERVER_IDLE_TIMEOUT_S: f64 = 0.7;

impl TestBed {
    /// A test bed whose clock moves only when the test advances it.
    pub(super) fn with_manual_clock(servers: usize) -> TestBed {
        let mut bed = TestBed::new(servers);
        bed.gatekeeper =
            Gatekeeper::with_clock(config(&bed.listeners, &bed.dns), Clock::manual(1e9)).unwrap();
        bed.servers.clear();
        bed.run_until("a connection to each server", |bed| bed.servers.len() >= servers);
        bed.caller = peer(TcpStream::connect(bed.gatekeeper.address()).unwrap());
        bed
    }

    /// Advances the time while the only server closes each connection at the age of `SERVER_IDLE_TIMEOUT_S`. Returns
    /// the number of connections opened and the longest time without one.
    fn run_with_idle_closes(&mut self, seconds: f64) -> (usize, f64) {
        let (mut opened_at, mut opened) = (vec![self.gatekeeper.now(); self.servers.len()], 0);
        let (end, mut last_open, mut longest_gap) =
            (self.gatekeeper.now() + seconds, self.gatekeeper.now(), 0.0_f64);
        while self.gatekeeper.now() < end {
            self.gatekeeper.advance_clock(0.02);
            self.run_iteration();
            opened += self.servers.len() - opened_at.len();
            let now = self.gatekeeper.now();
            opened_at.resize(self.servers.len(), now);
            if !opened_at.is_empty() {
                last_open = now;
            }
            longest_gap = longest_gap.max(now - last_open);
            let mut expired = opened_at
                .iter()
                .map(|at| now - at >= SERVER_IDLE_TIMEOUT_S)
                .collect::<Vec<bool>>()
                .into_iter();
            self.servers.retain(|_| !expired.next().unwrap());
            opened_at.retain(|at| now - at < SERVER_IDLE_TIMEOUT_S);
        }
        (opened, longest_gap)
    }
}

/// Guards against a gatekeeper that reopens at once each connection that a server closes as idle, which would load
/// every server with connections from every gatekeeper.
#[test]
fn connections_closed_as_idle_are_reopened_with_backoff_and_at_once_for_a_call() {
    let mut bed = TestBed::with_manual_clock(1);
    let (opened, longest_gap) = bed.run_with_idle_closes(60.0);
    // Two at once or almost, then one every 3.2 to 5.7 s.
    assert!((8..=22).contains(&opened), "{opened} connections opened without a set-up waiting");
    // The server sends ends of calls again on the next connection, and each has to be passed on within 8 s.
    assert!(longest_gap < 6.0, "no connection for {longest_gap} s");
    // With no connection open and the next one due much later, a set-up opens one.
    bed.servers.clear();
    bed.run_for(0.2);
    bed.caller = peer(TcpStream::connect(bed.gatekeeper.address()).unwrap());
    let before = bed.gatekeeper.now();
    bed.establish_call(1);
    assert!(bed.gatekeeper.now() - before < 0.2, "the set-up waited for the next scheduled connection");
    // While the call stands, its server always has a connection on which to send its end.
    let (_, longest_gap) = bed.run_with_idle_closes(20.0);
    assert!(longest_gap < 0.2, "no connection for {longest_gap} s during a standing call");
    bed.run_until("a connection", |bed| !bed.servers.is_empty());
    bed.send_from_all_servers(&release(1, cause::NORMAL));
    bed.expect_at_caller(1, kind::RELEASE, Some(cause::NORMAL));
}
