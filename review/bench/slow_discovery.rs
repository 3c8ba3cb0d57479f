//! Case 3: the resolver answers late.

use std::path::PathBuf;

use crate::cases::{Console, Deployment, SLACK_S};
use crate::record::{now, sleep, Record};
use crate::server::Habits;

/// The resolver is slow: each answer comes 1 s after its query. Rule `drain`: nothing new to a draining server. What is sent
/// there in spite of it is cut when the server stops.
pub fn play(root: PathBuf, trouble: bool, record: &Record) -> Result<bool, String> {
    /// Time between a query and its answer, in seconds.
    const DELAY_S: f64 = 1.0;
    /// Drain grace of the settings, in seconds.
    const DRAIN_GRACE_S: f64 = 0.25;
    /// Whatever the resolver has to tell is counted as told no later than this after it happened, in seconds.
    const TOLD_WITHIN_S: f64 = 7.0;
    /// Time between the drain and the end of the server, in seconds; the site's deploys take 7.2 to 9.3 s.
    const DRAIN_S: f64 = 9.0;
    let deployment = Deployment::start(root, Habits { answer_after: 0.02, hold: 8.8 }, record)?;
    let mut console = Console::connect(&deployment.gatekeeper, 2, record)?;
    console.call_until(now() + 4.0)?;
    if trouble {
        deployment.resolver.set_delay(DELAY_S);
        record.line(format!("from now on the resolver answers {DELAY_S} s after each query"));
    }
    console.call_until(now() + 3.0)?;
    let drained = &deployment.servers[1];
    let happened = now();
    deployment.resolver.set_list(deployment.list.with_drain(&drained.name));
    record.line(format!("event 2: {} drains", drained.name));
    console.call_until(happened + DRAIN_S)?;
    deployment.resolver.set_list(deployment.list.with_drain(&drained.name).without(&drained.name));
    drained.stop();
    console.call_until(happened + DRAIN_S + 2.0)?;
    sleep(1.0);
    let answers: Vec<f64> =
        deployment.resolver.told().iter().filter(|told| told.position >= 2).map(|told| told.at).collect();
    let first = answers.first().copied().ok_or("event 2 was never told")?;
    let (mut after_first, mut after_all, mut cut) = (0, 0, 0);
    for arrival in drained.arrivals() {
        if arrival.at <= first + DRAIN_GRACE_S + SLACK_S {
            continue;
        }
        after_first += 1;
        if arrival.at <= happened + TOLD_WITHIN_S + DRAIN_GRACE_S + SLACK_S {
            continue;
        }
        after_all += 1;
        let was_cut = console.caller.cut(arrival.call);
        cut += usize::from(was_cut);
        record.line(format!(
            "DRAIN {:016x} reached {} {:.3} s after it was told to drain and {:.3} s after the event; cut: {was_cut}",
            arrival.call,
            drained.name,
            arrival.at - first,
            arrival.at - happened
        ));
    }
    record.tell(format!(
        "{} answers told of the drain, the first {:.3} s after the event; {after_first} new set-ups reached the \
         draining server over 0.3 s after that, {after_all} of them over 7.3 s after the event; {cut} of these stood \
         and were cut as it stopped",
        answers.len(),
        first - happened
    ));
    deployment.finish()?;
    Ok(after_all > 0)
}
