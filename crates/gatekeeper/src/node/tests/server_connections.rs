//! Connections to session servers that nothing waits for: a server that closes idle connections decides when each ends.

use super::*;

/// After how long the server closes a connection, in seconds.
const SERVER_IDLE_TIMEOUT_S: f64 = 0.7;

impl TestBed {
    /// On a clock that moves only when the test says so.
    pub(super) fn with_manual_clock(servers: usize) -> TestBed {
        let mut bed = TestBed::new(servers);
        bed.gatekeeper =
            Gatekeeper::with_clock(config(&bed.listeners, &bed.dns), Clock::manual(1e9)).unwrap();
        bed.servers.clear();
        bed.run_until("a connection to each server", |bed| bed.servers.len() >= servers);
        bed.caller = peer(TcpStream::connect(bed.gatekeeper.address()).unwrap());
        bed
    }

    /// Lets time pass while the only server closes each connection once it is so old. Returns how many came, and the longest
    /// time without one.
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

/// Guards against a new connection at once for each that a server closes as idle: from every gatekeeper to every server.
#[test]
fn connections_closed_as_idle_come_back_with_backoff_and_at_once_for_a_call() {
    let mut bed = TestBed::with_manual_clock(1);
    let (opened, longest_gap) = bed.run_with_idle_closes(60.0);
    // Two at once or nearly so, then one in 3.2 to 5.7 s.
    assert!((8..=22).contains(&opened), "{opened} connections opened without a set-up waiting");
    // What ended meanwhile is said again on the next one, and has to be told within 8 s.
    assert!(longest_gap < 6.0, "no connection for {longest_gap} s");
    // With none open, and the next one long off, a set-up finds its way.
    bed.servers.clear();
    bed.run_for(0.2);
    bed.caller = peer(TcpStream::connect(bed.gatekeeper.address()).unwrap());
    let before = bed.gatekeeper.now();
    bed.establish_call(1);
    assert!(bed.gatekeeper.now() - before < 0.2, "the set-up waited for a connection that nobody asked for");
    // While it stands, its server finds a connection for its end at any time.
    let (_, longest_gap) = bed.run_with_idle_closes(20.0);
    assert!(longest_gap < 0.2, "no connection for {longest_gap} s during a standing call");
    bed.run_until("a connection", |bed| !bed.servers.is_empty());
    bed.send_from_all_servers(&release(1, cause::NORMAL));
    bed.expect_at_caller(1, kind::RELEASE, Some(cause::NORMAL));
}
