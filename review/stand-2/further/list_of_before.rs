//! A gatekeeper is killed and started again. Its first two answers from the resolver still hold the list, and the number,
//! of before the restart; then numbers count from the new start. A drain follows.

use std::io;
use std::sync::Arc;

use crate::bed::{judge_drain, Bed, Traffic};
use crate::peers::Caller;
use crate::program::{now, pause};
use crate::Verdict;

/// The number of the last event before the restart.
const BEFORE: u32 = 10;

pub fn play(bed: &Bed, trouble: bool) -> io::Result<Verdict> {
    let mut gatekeeper = bed.start()?;
    bed.resolver.set_position(BEFORE);
    pause(2.0);
    bed.record.line("SIGKILL");
    gatekeeper.kill();
    pause(1.0);
    bed.resolver.restart(if trouble { Some((BEFORE, 2)) } else { None });
    let mut gatekeeper = bed.start()?;
    let caller = Arc::new(Caller::connect(bed.listen, &bed.record)?);
    let mut traffic = Traffic::start(&caller, &bed.record, 0xc000_0001, 25.0, "meter-read", 3000);
    pause(3.0);
    let happened = now();
    let event = bed.resolver.change(bed.draining(), 0.0);
    bed.record.line(format!("event {event}: s-a drains"));
    pause(10.0);
    traffic.stop();
    if !gatekeeper.runs() {
        return Err(io::Error::other("the gatekeeper has ended"));
    }
    // Whatever the resolver has to tell is counted as told no later than 7 s afterwards.
    Ok(judge_drain(bed, bed.resolver.told_at(event).unwrap_or(happened + 7.0).max(happened)))
}
