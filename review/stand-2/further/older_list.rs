//! A drain is told once, and then answers hold the older list for 2.6 s. What a good answer would have told counts as told
//! 1.5 s later, so only later set-ups are counted.

use std::io;
use std::sync::Arc;

use crate::bed::{judge_drain, Bed, Traffic};
use crate::peers::Caller;
use crate::program::pause;
use crate::Verdict;

/// For 3 s no good answer may come.
const OLDER_FOR: f64 = 2.6;
/// What a good answer would have told counts as told so much later, in seconds.
const TOLD_LATER: f64 = 1.5;

pub fn play(bed: &Bed, trouble: bool) -> io::Result<Verdict> {
    let mut gatekeeper = bed.start()?;
    let caller = Arc::new(Caller::connect(bed.listen, &bed.record)?);
    let mut traffic = Traffic::start(&caller, &bed.record, 0x1000_0001, 25.0, "meter-read", 3000);
    pause(3.0);
    let event = bed.resolver.change(bed.draining(), if trouble { OLDER_FOR } else { 0.0 });
    bed.record.line(format!("event {event}: s-a drains"));
    pause(5.0);
    traffic.stop();
    if !gatekeeper.runs() {
        return Err(io::Error::other("the gatekeeper has ended"));
    }
    let told = bed.resolver.told_at(event).ok_or_else(|| io::Error::other("no answer told of the drain"))?;
    Ok(judge_drain(bed, told + TOLD_LATER))
}
