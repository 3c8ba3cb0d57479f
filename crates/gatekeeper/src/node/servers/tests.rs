use super::*;

/// Guards against state that grows with every replacement.
#[test]
fn a_server_that_is_gone_leaves_nothing_and_its_number_is_not_given_again() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (mut watch, mut calls) = (Watch::new().unwrap(), Calls::new(0.0, 0));
    let districts = Vec::new();
    let link = Link {
        classes: Vec::new(),
        connect_timeout: 0.5,
        drain_grace: 0.25,
        states: true,
        goal: 1.0,
        connections: 3,
        districts,
    };
    let (_, telemetry) = hollypaddle_policy::settings::read(
        br#"{"peersTotal":1,"period":0.005,"familyInfo":{"release":0.3},"limits":{"tryLimit":6},
            "requestClasses":[],"safety":{"cold":14,"coldFrom":0.3,"overloadFactor":3}}"#,
    )
    .unwrap();
    let mut servers = Servers::new(link, telemetry, Descriptors { all: 64, fixed: 16 });
    for n in 0..50 {
        let (readiness, district) = (Readiness::Ready, None);
        let listed = Listed { address, number: 0, readiness, started: 0.0, district };
        let list = Snapshot { position: n, servers: [(format!("s-{n}"), listed)].into() };
        let mut turn = Turn { now: n as f64, watch: &mut watch, calls: &mut calls };
        servers.list(&list, ListKind::Full, &mut turn);
        servers.beat(&mut turn);
        assert_eq!((servers.pools.len(), servers.servers.len()), (1, 1));
        assert!(servers.servers.contains_key(&PoolId(n + 1)));
    }
}
