//! A new server is told once. Then no answer comes for 1.5 s, then answers hold the older list for 0.5 s: 2 s in all without
//! a good one. Calls that the new server answered meanwhile stand there.

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
    let mut traffic = Traffic::start(&caller, &bed.record, 0xaa00_0001, 25.0, "meter-read", 3000);
    pause(3.0);
    let new = Server::open("s-c", bed.servers[0].hold, &bed.record)?;
    let mut list = bed.list();
    list.push(Listed { id: new.name.clone(), address: new.address, started_ms: 0, ..list[0].clone() });
    if trouble {
        bed.resolver.lose_after_next(1.5);
    }
    let event = bed.resolver.change(list, if trouble { 2.0 } else { 0.0 });
    bed.record.line(format!("event {event}: s-c is ready"));
    pause(3.0);
    let calls = traffic.stop();
    pause(OVER_WITHIN + 2.0);
    if !gatekeeper.runs() {
        return Err(io::Error::other("the gatekeeper has ended"));
    }
    let (at, standing) = (now(), new.standing());
    let over = |call: &u64| caller.told_over(*call).is_some_and(|(when, _)| at - when > OVER_WITHIN);
    let broken = calls.into_iter().filter(|call| standing.contains(call) && over(call));
    Ok(broken
        .map(|call| format!("call {call:016x} is over for its caller, and left standing at s-c"))
        .collect())
}
