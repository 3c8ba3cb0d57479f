//! Configurations in a row that add and drop classes; the last one moves discovery.

use std::io;
use std::sync::Arc;

use crate::bed::{config, judge_drain, Bed, Traffic};
use crate::peers::{Caller, Resolver};
use crate::program::{now, pause, replace};
use crate::Verdict;

pub fn play(bed: &Bed, trouble: bool) -> io::Result<Verdict> {
    let mut gatekeeper = bed.start()?;
    let caller = Arc::new(Caller::connect(bed.listen, &bed.record)?);
    let mut traffic = Traffic::start(&caller, &bed.record, 0x4000_0001, 10.0, "meter-read", 3000);
    pause(2.0);
    let class = |n: usize, k: usize| {
        format!(
            r#",{{"effect":"read_like","goalTime":1.5,"group":"all","hardLimit":9.0,"lateWorth":0.1,"memorySpan":5.0,"name":"trial-{n}-{k}","stream":true,"value":1.0}}"#
        )
    };
    let rounds = if trouble { 130 } else { 1 };
    for n in 0..rounds {
        let classes = format!("{}{}{}", bed.site.classes, class(n, 0), class(n, 1));
        replace(&bed.file, &config(bed.site, bed.listen, bed.resolver.address, &bed.list(), &classes))?;
        gatekeeper.signal("HUP")?;
        pause(0.4);
    }
    let moved = Resolver::open(bed.list(), &bed.record)?;
    let classes = format!("{}{}", bed.site.classes, class(rounds, 0));
    replace(&bed.file, &config(bed.site, bed.listen, moved.address, &bed.list(), &classes))?;
    bed.record.line(format!("the last configuration moves discovery to {}; SIGHUP", moved.address));
    gatekeeper.signal("HUP")?;
    // The old address answers no more, so it never tells of the event; the new one does.
    pause(4.0);
    let happened = now();
    let event = moved.change(bed.draining(), 0.0);
    bed.record.line(format!("event {event}: s-a drains"));
    pause(10.0);
    traffic.stop();
    if !gatekeeper.runs() {
        return Err(io::Error::other("the gatekeeper has ended"));
    }
    Ok(judge_drain(bed, moved.told_at(event).unwrap_or(happened + 7.0)))
}
