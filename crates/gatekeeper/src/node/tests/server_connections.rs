//! Connections to session servers that nothing waits for: a server that closes idle connections decides when each ends.

use super::*;

/// After how long the server closes a connection, in seconds.
const IDLE: f64 = 0.7;

impl World {
    /// On a clock that moves only when the test says so.
    pub(super) fn still(servers: usize) -> World {
        let mut w = World::new(servers);
        w.node = Gatekeeper::with_clock(config(&w.listeners, &w.dns), Clock::manual(1e9)).unwrap();
        w.servers.clear();
        w.until("a connection to each server", |w| w.servers.len() >= servers);
        w.caller = peer(TcpStream::connect(w.node.address()).unwrap());
        w
    }

    /// Lets time pass while the only server closes each connection once it is so old. Returns how many came, and the longest
    /// time without one.
    fn closed_as_idle(&mut self, seconds: f64) -> (usize, f64) {
        let (mut since, mut came) = (vec![self.node.now(); self.servers.len()], 0);
        let (end, mut without, mut longest) = (self.node.now() + seconds, self.node.now(), 0.0_f64);
        while self.node.now() < end {
            self.node.advance_clock(0.02);
            self.turn();
            came += self.servers.len() - since.len();
            let now = self.node.now();
            since.resize(self.servers.len(), now);
            if !since.is_empty() {
                without = now;
            }
            longest = longest.max(now - without);
            let mut old = since.iter().map(|at| now - at >= IDLE).collect::<Vec<bool>>().into_iter();
            self.servers.retain(|_| !old.next().unwrap());
            since.retain(|at| now - at < IDLE);
        }
        (came, longest)
    }
}

/// Guards against a new connection at once for each that a server closes as idle: from every gatekeeper to every server.
#[test]
fn connections_closed_as_idle_come_back_with_backoff_and_at_once_for_a_call() {
    let mut w = World::still(1);
    let (came, longest) = w.closed_as_idle(60.0);
    // Two at once or nearly so, then one in 3.2 to 5.7 s.
    assert!((8..=22).contains(&came), "{came} connections that nobody asked for");
    // What ended meanwhile is said again on the next one, and has to be told within 8 s.
    assert!(longest < 6.0, "none for {longest} s");
    // With none open, and the next one long off, a set-up finds its way.
    w.servers.clear();
    w.pass(0.2);
    w.caller = peer(TcpStream::connect(w.node.address()).unwrap());
    let before = w.node.now();
    w.stand(1);
    assert!(w.node.now() - before < 0.2, "the set-up waited for a connection that nobody asked for");
    // While it stands, its server finds a connection for its end at any time.
    let (_, longest) = w.closed_as_idle(20.0);
    assert!(longest < 0.2, "none for {longest} s, though a call stands");
    w.until("a connection", |w| !w.servers.is_empty());
    w.servers_say(&release(1, cause::NORMAL));
    w.heard(1, kind::RELEASE, Some(cause::NORMAL));
}
