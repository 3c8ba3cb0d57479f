//! A caller closes a connection that carries no set-up while its calls stand, and goes on calling on another one. A bad
//! client sends what servers answer with `error`, and the same again as soon as it is turned away.

use std::io;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;

use crate::bed::{Bed, OVER_WITHIN};
use crate::peers::Caller;
use crate::program::{now, pause};
use crate::Verdict;

/// Calls of the usual caller, from this id on.
const FIRST: u64 = 0xd000_0001;
const CALLS: u64 = 10;
/// Set-ups of the bad client, from this id on.
const BAD: u64 = 0xe000_0001;
/// Callers close a connection that carries no call after this time, in seconds.
const CLOSED_AFTER: f64 = 4.0;

/// The bad client: the same again, under a new id, as soon as it is turned away.
fn send_bad(caller: &Caller, bed: &Bed, stop: &AtomicBool) {
    let mut call = BAD;
    while !stop.load(Ordering::Relaxed) && caller.set_up(&bed.record, call, "meter-read", 0, 2000).is_ok() {
        while caller.replies(call).is_empty() && !stop.load(Ordering::Relaxed) && caller.ended_at().is_none()
        {
            pause(0.01);
        }
        call += 1;
    }
}

pub fn play(bed: &Bed, trouble: bool) -> io::Result<Verdict> {
    let mut gatekeeper = bed.start()?;
    bed.servers.iter().for_each(|server| server.refuse_with_error(BAD..u64::MAX));
    let first = Caller::connect(bed.listen, &bed.record)?;
    let second = Caller::connect(bed.listen, &bed.record)?;
    for call in FIRST..FIRST + CALLS {
        first.set_up(&bed.record, call, "meter-read", (call % 2) as u32, 2000)?;
        pause(0.13);
    }
    let last_set_up = now();
    let bad = Caller::connect(bed.listen, &bed.record)?;
    let stop = AtomicBool::new(false);
    thread::scope(|scope| -> io::Result<()> {
        if trouble {
            scope.spawn(|| send_bad(&bad, bed, &stop));
        }
        // The usual caller goes on on its second connection, a set-up each second, until all is over.
        let mut closed = false;
        for n in 0..22 {
            second.set_up(&bed.record, FIRST + 0x1000 + n, "meter-read", (n % 2) as u32, 2000)?;
            pause(1.0);
            if !closed && now() - last_set_up > CLOSED_AFTER {
                closed = true;
                bed.record.line("the usual caller closes its first connection, which carries no set-up");
                first.close();
            }
        }
        stop.store(true, Ordering::Relaxed);
        Ok(())
    })?;
    if !gatekeeper.runs() {
        return Err(io::Error::other("the gatekeeper has ended"));
    }
    let mut broken = Vec::new();
    let stood: Vec<u64> = (FIRST..FIRST + CALLS).filter(|call| first.stood(*call)).collect();
    for call in &stood {
        let Some(ended) = bed.servers.iter().find_map(|server| server.ended_at(*call)) else { continue };
        let told = [&first, &second].into_iter().find_map(|caller| caller.told_over(*call));
        let to_bad = bad.told_over(*call).is_some();
        if told.is_none_or(|(when, _)| when - ended > OVER_WITHIN) && now() - ended > OVER_WITHIN {
            let to = if to_bad { "; the bad client was told" } else { "" };
            broken.push(format!(
                "call {call:016x} has ended, and its caller was not told within {OVER_WITHIN} s{to}"
            ));
        }
    }
    bed.record.say(format!(
        "calls that stood: {}, of which the caller was not told the end: {}",
        stood.len(),
        broken.len()
    ));
    Ok(broken)
}
