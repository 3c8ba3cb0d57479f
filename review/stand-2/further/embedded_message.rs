//! A set-up whose description holds a whole message of the protocol, as one does that was taken from another connection.

use std::io;

use crate::bed::Bed;
use crate::peers::Caller;
use crate::program::pause;
use crate::wire::{cause, code, kind, Message};
use crate::Verdict;

/// The id of the first of three set-ups; the second has the description.
const FIRST: u64 = 0xa000_0001;

pub fn play(bed: &Bed, trouble: bool) -> io::Result<Verdict> {
    let mut gatekeeper = bed.start()?;
    let caller = Caller::connect(bed.listen, &bed.record)?;
    for call in FIRST..FIRST + 3 {
        let mut description = format!("offer of {call:016x} ").into_bytes();
        if trouble && call == FIRST + 1 {
            description.extend(Message::release(0x00ab_cdef, cause::NORMAL).encode());
        }
        description.extend(b" and so on");
        let set_up = Message::new(kind::SET_UP, call)
            .with(code::CLASS, "meter-read")
            .with(code::WAIT, "2000")
            .with(code::NUMBER, format!("{call:016x}"))
            .with(code::FIGURES, "dest:0;width:1;via:-1")
            .with(code::DESCRIPTION, description);
        bed.record.line(format!("callers: set-up {call:016x}"));
        caller.send(&set_up)?;
        pause(0.1);
    }
    pause(3.0);
    if !gatekeeper.runs() {
        return Err(io::Error::other("the gatekeeper has ended"));
    }
    let unanswered = (FIRST..FIRST + 3).filter(|call| caller.replies(*call).is_empty());
    Ok(unanswered.map(|call| format!("set-up {call:016x} has no answer")).collect())
}
