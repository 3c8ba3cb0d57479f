//! A configuration that lacks a key is put in place, and SIGHUP sent. Its `dns` is an address at which nobody answers.

use std::io;
use std::sync::Arc;

use crate::bed::{config, judge_drain, Bed, Traffic};
use crate::peers::Caller;
use crate::program::{free_address, now, pause, replace};
use crate::Verdict;

pub fn play(bed: &Bed, trouble: bool) -> io::Result<Verdict> {
    let mut gatekeeper = bed.start()?;
    let caller = Arc::new(Caller::connect(bed.listen, &bed.record)?);
    let mut traffic = Traffic::start(&caller, &bed.record, 0x2000_0001, 25.0, "meter-read", 3000);
    pause(3.0);
    if trouble {
        // `known` is missing; all else is as it should be but for the address of the resolver.
        let text = config(bed.site, bed.listen, free_address()?, &bed.list(), bed.site.classes);
        let lacking: String = text
            .lines()
            .filter(|line| !line.starts_with(" \"known\":"))
            .map(|line| format!("{line}\n"))
            .collect();
        replace(&bed.file, &lacking)?;
        bed.record.line(format!("the file lacks the key `known`; SIGHUP. The file:\n{lacking}"));
        gatekeeper.signal("HUP")?;
    }
    pause(2.0);
    let happened = now();
    let event = bed.resolver.change(bed.draining(), 0.0);
    bed.record.line(format!("event {event}: s-a drains"));
    // Whatever the resolver has to tell is counted as told no later than 7 s afterwards, whether it arrived or not.
    pause(10.0);
    traffic.stop();
    if !gatekeeper.runs() {
        return Err(io::Error::other("the gatekeeper has ended"));
    }
    Ok(judge_drain(bed, bed.resolver.told_at(event).unwrap_or(happened + 7.0)))
}
