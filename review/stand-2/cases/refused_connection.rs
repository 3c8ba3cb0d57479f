//! A server resets a resting connection and refuses new ones for a second, as it holds as many as it accepts.

use std::io;
use std::sync::Arc;

use crate::bed::{Bed, Traffic, OVER_WITHIN};
use crate::peers::Caller;
use crate::program::{now, pause};
use crate::Verdict;

pub fn play(bed: &Bed, trouble: bool) -> io::Result<Verdict> {
    let mut gatekeeper = bed.start()?;
    let caller = Arc::new(Caller::connect(bed.listen, &bed.record)?);
    let mut traffic = Traffic::start(&caller, &bed.record, 0x6000_0001, 10.0, "meter-read", 3000);
    pause(3.0);
    let calls = traffic.stop();
    pause(0.5);
    let stood: Vec<u64> = calls.iter().copied().filter(|call| caller.stood(*call)).collect();
    bed.record.say(format!("set-ups: {}, answered: {}", calls.len(), stood.len()));
    if trouble {
        bed.proxy.refuse(1.0)?;
    }
    pause(OVER_WITHIN + 4.0);
    if !gatekeeper.runs() {
        return Err(io::Error::other("the gatekeeper has ended"));
    }
    let at = now();
    let standing: Vec<u64> = bed.servers.iter().flat_map(|server| server.standing()).collect();
    let mut broken = Vec::new();
    for call in stood {
        if let Some((when, why)) = caller.told_over(call) {
            if standing.contains(&call) && at - when > OVER_WITHIN {
                broken.push(format!("call {call:016x}: its caller was told that it is over (cause {why}), and {:.1} s later it still stands at its server, which never ended it and was sent no release", at - when));
            }
        }
    }
    bed.record.say(format!(
        "calls that stand at the servers: {}, of these over for their callers: {}",
        standing.len(),
        broken.len()
    ));
    Ok(broken)
}
