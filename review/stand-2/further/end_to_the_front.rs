//! A gatekeeper is killed while calls stand, and comes back. The front tests it and keeps that connection. The calls come to
//! their ends before their caller is connected again; it connects within 8 s.

use std::io;

use crate::bed::{Bed, OVER_WITHIN};
use crate::peers::Caller;
use crate::program::{now, pause};
use crate::wire::{code, kind, Message};
use crate::Verdict;

const FIRST: u64 = 0xf000_0001;
const CALLS: u64 = 10;

pub fn play(bed: &Bed, trouble: bool) -> io::Result<Verdict> {
    let mut gatekeeper = bed.start()?;
    let mut caller = Caller::connect(bed.listen, &bed.record)?;
    for call in FIRST..FIRST + CALLS {
        caller.set_up(&bed.record, call, "meter-read", (call % 2) as u32, 2000)?;
    }
    let began = now();
    pause(1.0);
    let stood: Vec<u64> = (FIRST..FIRST + CALLS).filter(|call| caller.stood(*call)).collect();
    if trouble {
        bed.record.line("SIGKILL");
        gatekeeper.kill();
        pause(2.0);
        gatekeeper = bed.start()?;
    }
    let front = Caller::connect(bed.listen, &bed.record)?;
    front.send(&Message::new(kind::TEST, 2).with(code::CAUSE, [0]))?;
    // The calls end 6 s after they began; the caller is there 2 s later, with a new set-up.
    while now() - began < 8.0 {
        pause(0.5);
        front.send(&Message::new(kind::TEST, 2).with(code::CAUSE, [0]))?;
    }
    if trouble {
        caller = Caller::connect(bed.listen, &bed.record)?;
    }
    for n in 0..8 {
        caller.set_up(&bed.record, FIRST + 0x1000 + n, "meter-read", (n % 2) as u32, 2000)?;
        pause(1.0);
    }
    if !gatekeeper.runs() {
        return Err(io::Error::other("the gatekeeper has ended"));
    }
    let mut broken = Vec::new();
    for call in stood {
        let Some(ended) = bed.servers.iter().find_map(|server| server.ended_at(call)) else { continue };
        if caller.told_over(call).is_none_or(|(when, _)| when - ended > OVER_WITHIN) {
            let front = if front.told_over(call).is_some() { "; the front was told" } else { "" };
            broken.push(format!("call {call:016x} has ended, and its caller was not told within 8 s{front}"));
        }
    }
    Ok(broken)
}
