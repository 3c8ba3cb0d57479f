//! A gatekeeper is killed and comes back after 6 s. Callers then release what they have ended meanwhile.

use std::io;
use std::sync::Arc;

use crate::bed::{Bed, Traffic, OVER_WITHIN};
use crate::peers::Caller;
use crate::program::{now, pause};
use crate::wire::{cause, Message};
use crate::Verdict;

pub fn play(bed: &Bed, trouble: bool) -> io::Result<Verdict> {
    const CALLS_PER_S: f64 = 50.0;
    const TALK: f64 = 8.0;
    let mut gatekeeper = bed.start()?;
    let first = Arc::new(Caller::connect(bed.listen, &bed.record)?);
    let mut traffic = Traffic::start(&first, &bed.record, 0x3000_0001, CALLS_PER_S, "meter-read", 3000);
    pause(TALK);
    let calls: Vec<u64> = traffic.stop();
    pause(0.5);
    let stood: Vec<u64> = calls.iter().copied().filter(|call| first.stood(*call)).collect();
    bed.record.say(format!("set-ups: {}, answered and standing: {}", calls.len(), stood.len()));
    let began = now();
    let caller = if trouble {
        bed.record.line("SIGKILL");
        gatekeeper.kill();
        drop(first);
        pause(6.0);
        gatekeeper = bed.start()?;
        pause(0.3);
        Arc::new(Caller::connect(bed.listen, &bed.record)?)
    } else {
        pause(6.0);
        first
    };
    // Each call lasts as long as the time between two set-ups and `TALK` say: what has ended by now is released at once,
    // the others as they end.
    let mut released = Vec::new();
    for (n, call) in stood.iter().enumerate() {
        pause(began + n as f64 / CALLS_PER_S - now());
        bed.record.line(format!("callers: release {call:016x}"));
        caller.send(&Message::release(*call, cause::NORMAL))?;
        released.push((now(), *call));
    }
    pause(OVER_WITHIN + 1.0);
    if !gatekeeper.runs() {
        return Err(io::Error::other("the gatekeeper has ended"));
    }
    let at = now();
    let left: Vec<u64> = bed.servers.iter().flat_map(|server| server.standing()).collect();
    let broken: Vec<String> = released
        .iter()
        .filter(|(when, call)| at - when > OVER_WITHIN && left.contains(call))
        .map(|(when, call)| {
            format!("call {call:016x} still stands {:.1} s after its caller released it", at - when)
        })
        .collect();
    bed.record.say(format!("releases: {}, calls left standing: {}", released.len(), broken.len()));
    Ok(broken)
}
