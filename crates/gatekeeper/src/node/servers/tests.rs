mod give_ups;
mod releases;

use std::net::SocketAddr;

use socket2::{Domain, Socket, Type};

use super::connecting::MAX_BACKOFF_S;
use super::*;

/// One server, listed, that this gatekeeper and others connect to.
struct World {
    poller: Poller,
    calls: Calls,
    servers: Servers,
    address: SocketAddr,
}

impl World {
    fn new(address: SocketAddr, seed: u64) -> World {
        let link = ProtocolSettings {
            classes: Vec::new(),
            connect_timeout: 0.5,
            drain_grace: 0.25,
            servers_report_state: true,
            min_goal_time: 1.0,
            connections: 3,
            districts: Vec::new(),
        };
        let (_, telemetry) = hollypaddle_policy::settings::parse(
            br#"{"peersTotal":1,"period":0.005,"familyInfo":{"release":0.3},"limits":{"tryLimit":6},
            "requestClasses":[],"safety":{"cold":14,"coldFrom":0.3,"overloadFactor":3}}"#,
        )
        .unwrap();
        let servers = Servers::new(link, telemetry, Descriptors { all: 64, fixed: 16 }, seed);
        World { poller: Poller::new().unwrap(), calls: Calls::new(0.0, 0), servers, address }
    }

    fn list(&mut self, now: f64, position: u32, name: &str, started: f64) {
        let (readiness, district) = (Readiness::Ready, None);
        let listed = Listed { address: self.address, number: 0, readiness, started, district };
        let list = Snapshot { position: position.into(), servers: [(name.to_owned(), listed)].into() };
        let mut ctx = Context { now, poller: &mut self.poller, calls: &mut self.calls };
        self.servers.apply_list(&list, ListKind::Full, &mut ctx);
    }

    fn beat(&mut self, now: f64) {
        let ready = self.poller.wait(0.0).unwrap();
        let mut ctx = Context { now, poller: &mut self.poller, calls: &mut self.calls };
        ready.into_iter().for_each(|ready| self.servers.handle_ready(ready, &mut ctx));
        self.servers.maintain(&mut ctx);
    }

    /// The times at which a connection was tried, of those at which one might have been.
    fn tries(&mut self, from: f64, to: f64) -> Vec<f64> {
        let mut tries = Vec::new();
        let steps = ((to - from) / 0.05) as u32;
        for now in (0..steps).map(|n| from + 0.05 * f64::from(n)) {
            let before = self.tried();
            self.beat(now);
            if self.tried() > before {
                tries.push(now);
            }
        }
        tries
    }

    fn tried(&self) -> u64 {
        self.servers.servers.values().map(|s| s.tried).sum()
    }
}

/// Guards against state that grows with every replacement.
#[test]
fn a_server_that_is_gone_leaves_nothing_and_its_number_is_not_given_again() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let mut w = World::new(listener.local_addr().unwrap(), 7);
    for n in 0..50 {
        w.list(f64::from(n), n, &format!("s-{n}"), 0.0);
        w.beat(f64::from(n));
        assert_eq!((w.servers.pools.len(), w.servers.servers.len()), (1, 1));
        assert!(w.servers.servers.contains_key(&PoolId(u64::from(n) + 1)));
    }
}

/// Guards against a dead server that is met with four connections a second from every gatekeeper, all in step, for as long
/// as it is listed; and against a long pause once it is told to have started again.
#[test]
fn a_server_that_refuses_is_tried_with_backoff_not_in_step_and_at_once_when_it_starts() {
    // Bound, so that nobody else gets the port, and not listening.
    let bound = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    bound.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
    let refusing = bound.local_addr().unwrap().as_socket().unwrap();
    let tries = [7, 8].map(|seed| {
        let mut w = World::new(refusing, seed);
        w.list(0.0, 1, "s-0", 0.0);
        let tries = w.tries(0.0, 60.0);
        assert!((10..=30).contains(&tries.len()), "{} tries: {tries:?}", tries.len());
        let longest = tries.windows(2).map(|t| t[1] - t[0]).fold(0.0, f64::max);
        assert!(longest <= MAX_BACKOFF_S + 0.15, "{longest} s between two");
        w.list(60.0, 2, "s-0", 59.0);
        assert!(w.tries(60.0, 60.1).len() == 1, "not tried as it starts");
        tries
    });
    let in_step = tries[0].iter().filter(|t| tries[1].contains(t)).count();
    assert!(2 * in_step < tries[0].len(), "in step: {tries:?}");
}
