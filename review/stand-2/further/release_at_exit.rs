//! A caller releases its call 0.5 s after SIGTERM, while the connection to the server comes up late.

use std::io;
use std::sync::Arc;
use std::thread;

use crate::bed::Bed;
use crate::peers::Caller;
use crate::program::pause;
use crate::wire::{cause, Message};
use crate::Verdict;

const CALL: u64 = 0xb000_0001;

pub fn play(bed: &Bed, trouble: bool) -> io::Result<Verdict> {
    let mut gatekeeper = bed.start()?;
    let caller = Caller::connect(bed.listen, &bed.record)?;
    caller.set_up(&bed.record, CALL, "meter-read", 0, 2000)?;
    pause(0.5);
    bed.record.line("SIGTERM");
    gatekeeper.signal("TERM")?;
    pause(0.3);
    if trouble {
        let proxy = Arc::clone(&bed.proxy);
        thread::spawn(move || proxy.interrupt(0.9));
    }
    pause(0.2);
    bed.record.line("callers: release");
    caller.send(&Message::release(CALL, cause::NORMAL))?;
    pause(3.2);
    bed.record.say(format!("the gatekeeper has ended by itself: {}", !gatekeeper.runs()));
    gatekeeper.kill();
    let _next = bed.start()?;
    pause(9.0);
    let left = bed.servers.iter().flat_map(|server| server.standing());
    Ok(left.map(|call| format!("call {call:016x} still stands 12 s after its caller released it")).collect())
}
