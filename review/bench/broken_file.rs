//! Case 3: a configuration file that lacks a key.

use std::path::PathBuf;

use crate::cases::{Console, Deployment};
use crate::gatekeeper::{Pools, SIGHUP};
use crate::record::{now, sleep, Record};
use crate::server::Habits;

/// A configuration file that lacks a key comes with SIGHUP. Rule `void`: nothing of it is taken, and no call goes to a
/// session server that it may not go to. One of the servers, the only one for urgent calls, is full for a while.
pub fn play(root: PathBuf, trouble: bool, record: &Record) -> Result<bool, String> {
    /// Urgent calls may only go to the second server.
    const POOLS: Pools = Some("[[0,1],[1]]");
    let deployment = Deployment::start(root, Habits { answer_after: 0.02, hold: 8.8 }, POOLS, record)?;
    let mut console = Console::connect(&deployment.gatekeeper, 2, record)?;
    console.call_until(now() + 3.0)?;
    let gatekeeper = &deployment.gatekeeper;
    let (dns, known) = (deployment.resolver.address, deployment.list.known());
    let pools = if trouble { None } else { POOLS };
    gatekeeper.write_config(&gatekeeper.config(dns, &known, pools));
    record.line(format!("the configuration is replaced; its settings lack the key poolsByClass: {trouble}"));
    gatekeeper.signal(SIGHUP, "SIGHUP");
    console.call_until(now() + 3.0)?;
    deployment.servers[1].set_full(true);
    console.call_until(now() + 6.0)?;
    deployment.servers[1].set_full(false);
    console.call_until(now() + 2.0)?;
    sleep(1.0);
    let mut wrong = 0;
    for arrival in deployment.servers[0].arrivals().iter().filter(|arrival| arrival.class == "valve-set") {
        wrong += 1;
        record.line(format!(
            "VOID {:016x}, a call of the class {}, reached {}; answered 'served': {}",
            arrival.call,
            arrival.class,
            deployment.servers[0].name,
            console.caller.answered(arrival.call)
        ));
    }
    let figures = deployment.gatekeeper.get("/_vars").unwrap_or_default();
    let figure = |name: &str| -> String {
        let value = figures.split_once(&format!("\"{name}\":")).map_or("?", |(_, value)| value);
        value.chars().take_while(char::is_ascii_digit).collect()
    };
    record.tell(format!(
        "{wrong} urgent calls reached a server that they may not go to; sighup_applied {}, sighup_rejected {}",
        figure("sighup_applied"),
        figure("sighup_rejected")
    ));
    deployment.finish()?;
    Ok(wrong > 0)
}
