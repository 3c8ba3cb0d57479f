//! Case 2: a new configuration names tenants.

use std::path::PathBuf;

use crate::cases::{Console, Deployment};
use crate::gatekeeper::SIGHUP;
use crate::record::{now, sleep, Record};
use crate::server::Habits;

/// A new configuration names tenants, where the first one had none. Rule `crash`: a gatekeeper that ends on SIGHUP has
/// crashed; and each request gets its final answer.
pub fn play(root: PathBuf, trouble: bool, record: &Record) -> Result<bool, String> {
    const NO_TENANTS: &str = r#""tenants":[]"#;
    const TENANTS: &str = r#""tenants":[{"name":"hospital","quotaPerS":30,"share":0.6},{"name":"campus","quotaPerS":20,"share":0.4}]"#;
    let mut deployment = Deployment::start(root, Habits { answer_after: 0.2, hold: 8.8 }, record)?;
    let mut console = Console::connect(&deployment.gatekeeper, 2, record)?;
    console.call_until(now() + 4.0)?;
    let old = deployment.gatekeeper.config(deployment.resolver.address, &deployment.list.known());
    let new = if trouble { old.replace(NO_TENANTS, TENANTS) } else { old.clone() };
    if trouble == (new == old) {
        return Err("the configuration isn't as it should be".into());
    }
    deployment.gatekeeper.write_config(&new);
    record.line(format!("the configuration is replaced; its settings name tenants: {trouble}"));
    deployment.gatekeeper.signal(SIGHUP, "SIGHUP");
    let signalled = now();
    if let Err(why) = console.call_until(signalled + 4.0) {
        record.line(format!("the console can't send any more: {why}"));
    }
    sleep(4.0);
    let mut lost = 0;
    for sent in &console.sent {
        if console.caller.final_answer_at(sent.call).is_none() {
            lost += 1;
            let before = if sent.at < signalled { "before" } else { "after" };
            record.line(format!("LOST {:016x}, taken {before} SIGHUP: never answered", sent.call));
        }
    }
    let ended = deployment.gatekeeper.ended();
    record.tell(format!(
        "{} usual requests, {lost} taken and never answered; the gatekeeper's process: {}",
        console.sent.len(),
        ended.as_deref().unwrap_or("runs")
    ));
    deployment.gatekeeper.record_log();
    Ok(ended.is_some() || lost > 0)
}
