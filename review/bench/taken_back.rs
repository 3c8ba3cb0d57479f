//! Case 1: a bad client takes back a request under the id of an open one.

use std::path::PathBuf;

use crate::caller::{release, set_up, Caller, Connection};
use crate::cases::{Console, Deployment};
use crate::record::{now, sleep, Record};
use crate::server::Habits;

/// Up to this long after its time a final answer only earns nothing; later, or never, the request is lost. In seconds.
const LATE_ANSWER_S: f64 = 0.5;

/// A bad client sends requests under the ids of open requests, with another description, and takes them back at once.
/// Rule `lost`: each usual request gets its final answer.
pub fn play(root: PathBuf, trouble: bool, record: &Record) -> Result<bool, String> {
    const BAD_REQUESTS: usize = 10;
    let deployment = Deployment::start(root, Habits { answer_after: 0.4, hold: 8.8 }, record)?;
    let mut console = Console::connect(&deployment.gatekeeper, 2, record)?;
    let bad = Caller::new("bad-client", deployment.gatekeeper.listen, record);
    let mut taken_back = Vec::new();
    console.call_until(now() + 2.0)?;
    for n in 0..BAD_REQUESTS {
        let open = console.call(n % 2)?;
        sleep(0.15);
        if trouble && console.caller.final_answer_at(open.call).is_none() {
            let connection = bad.connect(&n.to_string()).map_err(|e| e.to_string())?;
            let request = set_up(open.call, "meter-read", 2.0, 0, "another description");
            connection.send(&[request, release(open.call)]).map_err(|e| e.to_string())?;
            taken_back.push(open.call);
        }
        console.call_until(now() + 0.85)?;
    }
    sleep(4.0);
    let mut lost = 0;
    for sent in &console.sent {
        let after = console.caller.final_answer_at(sent.call).map(|at| at - sent.at);
        if after.is_some_and(|after| after <= sent.wait + LATE_ANSWER_S) {
            continue;
        }
        lost += 1;
        let server =
            deployment.servers.iter().find_map(|s| Some((s.name.clone(), s.released_at(sent.call)?)));
        let released =
            server.map(|(name, at)| format!("{name} was told to release it after {:.3} s", at - sent.at));
        let open = console.connections.iter().all(Connection::is_open);
        record.line(format!(
            "LOST {:016x}: final answer after {after:?}, its caller waits {} s and its connection is open: {open}; \
             named by the bad client: {}; {released:?}",
            sent.call,
            sent.wait,
            taken_back.contains(&sent.call)
        ));
    }
    record.tell(format!(
        "{} usual requests, {} under whose id a bad client took a request back, {lost} never answered",
        console.sent.len(),
        taken_back.len()
    ));
    deployment.finish()?;
    if trouble && taken_back.is_empty() {
        return Err("no request was open as the bad client came".into());
    }
    Ok(lost > 0)
}
