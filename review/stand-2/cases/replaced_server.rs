//! A server's process dies, and a second later a new server comes at its address. The list tells of the new one a second
//! after that, and that the old one is gone 4 s after its death.

use std::io;
use std::sync::Arc;

use crate::bed::{Bed, Traffic, OVER_WITHIN};
use crate::peers::{Caller, Server};
use crate::program::{now, pause};
use crate::wire::Listed;
use crate::Verdict;

pub fn play(bed: &Bed, trouble: bool) -> io::Result<Verdict> {
    let mut gatekeeper = bed.start()?;
    let caller = Arc::new(Caller::connect(bed.listen, &bed.record)?);
    let mut traffic = Traffic::start(&caller, &bed.record, 0x8000_0001, 20.0, "meter-read", 3000);
    pause(4.0);
    let new = Server::open("s-c", bed.servers[0].hold, &bed.record)?;
    if trouble {
        let died = now();
        bed.servers[0].die();
        bed.proxy.set_target(new.address);
        bed.proxy.refuse(1.0)?;
        let started = now();
        bed.record.line("s-c has started at the address of s-a");
        pause(1.0);
        let mut list = bed.list();
        list.push(Listed { id: new.name.clone(), started_ms: (started * 1000.0) as u64, ..list[0].clone() });
        let event = bed.resolver.change(list.clone(), 0.0);
        bed.record.line(format!("event {event}: s-c is ready"));
        pause(died + 4.0 - now());
        list.remove(0);
        let event = bed.resolver.change(list, 0.0);
        bed.record.line(format!("event {event}: s-a is gone"));
        pause(1.0);
    }
    let calls = traffic.stop();
    pause(OVER_WITHIN + 2.0);
    if !gatekeeper.runs() {
        return Err(io::Error::other("the gatekeeper has ended"));
    }
    let at = now();
    let standing = new.standing();
    let mut broken = Vec::new();
    for call in calls.into_iter().filter(|call| standing.contains(call)) {
        if let Some((when, why)) = caller.told_over(call).filter(|(when, _)| at - when > OVER_WITHIN) {
            broken.push(format!(
                "call {call:016x}: its caller was told that it is over (cause {why}); {:.1} s later it still stands at s-c, which never ended it and was sent no release",
                at - when
            ));
        }
    }
    bed.record.say(format!(
        "calls that stand at s-c: {}, of these over for their callers: {}",
        standing.len(),
        broken.len()
    ));
    Ok(broken)
}
