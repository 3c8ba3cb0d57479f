//! An answer is lost as its connection is reset, and the next connection comes up 0.9 s late.

use std::io;
use std::sync::Arc;

use crate::bed::{Bed, Traffic, OVER_WITHIN};
use crate::peers::Caller;
use crate::program::{now, pause};
use crate::wire::{cause, Message};
use crate::Verdict;

pub fn play(bed: &Bed, trouble: bool) -> io::Result<Verdict> {
    let mut gatekeeper = bed.start()?;
    let caller = Arc::new(Caller::connect(bed.listen, &bed.record)?);
    let mut traffic = Traffic::start(&caller, &bed.record, 0x5000_0001, 2.0, "meter-read", 3000);
    pause(2.0);
    if trouble {
        bed.proxy.lose_next_answer(0.9);
    }
    pause(4.0);
    let calls = traffic.stop();
    pause(3.5);
    bed.record.line("the callers release all calls");
    for call in &calls {
        caller.send(&Message::release(*call, cause::NORMAL))?;
    }
    let released = now();
    pause(OVER_WITHIN + 1.0);
    if !gatekeeper.runs() {
        return Err(io::Error::other("the gatekeeper has ended"));
    }
    let mut broken = Vec::new();
    for server in &bed.servers {
        for call in server.standing() {
            let ran =
                bed.servers.iter().flat_map(|s| s.seen().into_iter().map(|seen| (s.name.clone(), seen)));
            let ran: Vec<String> = ran
                .filter(|(_, seen)| seen.call == call)
                .map(|(name, seen)| format!("{name} at {:.3}", bed.record.at(seen.at)))
                .collect();
            broken.push(format!(
                "call {call:016x} ran at {}; {:.1} s after its caller released it, it still stands at {}",
                ran.join(" and "),
                now() - released,
                server.name
            ));
        }
    }
    bed.record.say(format!(
        "calls: {}, answers lost: {}",
        calls.len(),
        usize::from(bed.proxy.lost().is_some())
    ));
    Ok(broken)
}
