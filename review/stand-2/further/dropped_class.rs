//! A new configuration drops a class. For a second its callers still use it, beside callers of the other classes.

use std::io;
use std::sync::Arc;

use crate::bed::{config, Bed};
use crate::peers::Caller;
use crate::program::{now, pause, replace};
use crate::Verdict;

/// The class that the new configuration drops.
const DROPPED: &str = "valve-check";

pub fn play(bed: &Bed, trouble: bool) -> io::Result<Verdict> {
    const GROUPS_PER_S: f64 = 5.0;
    const WAIT_MS: u32 = 3000;
    /// Up to half a second after its time a request only earns nothing; later, or never, it is lost.
    const LOST_AFTER: f64 = WAIT_MS as f64 / 1000.0 + 0.5;
    let with = format!(
        r#"{},{{"effect":"read_like","goalTime":1.5,"group":"all","hardLimit":9.0,"lateWorth":0.1,"memorySpan":5.0,"name":"{DROPPED}","stream":true,"value":1.0}}"#,
        bed.site.classes
    );
    replace(&bed.file, &config(bed.site, bed.listen, bed.resolver.address, &bed.list(), &with))?;
    let mut gatekeeper = bed.start()?;
    bed.servers.iter().for_each(|server| server.set_delay(0.15));
    let (mut caller, mut callers) = (Arc::new(Caller::connect(bed.listen, &bed.record)?), Vec::new());
    let (mut call, mut sent) = (0x7000_0000_u64, Vec::new());
    let (began, mut reloaded, mut groups) = (now(), None, 0.0);
    while now() - began < 6.0 {
        if trouble && reloaded.is_none() && now() - began > 3.0 {
            replace(
                &bed.file,
                &config(bed.site, bed.listen, bed.resolver.address, &bed.list(), bed.site.classes),
            )?;
            bed.record.line(format!("the new configuration has no class {DROPPED}; SIGHUP"));
            gatekeeper.signal("HUP")?;
            reloaded = Some(now());
        }
        // New classes are used 1.2 s after SIGHUP; until then the old ones are.
        let uses_dropped = reloaded.is_none_or(|at| now() - at < 1.0);
        if caller.ended_at().is_some() {
            callers.push(std::mem::replace(&mut caller, Arc::new(Caller::connect(bed.listen, &bed.record)?)));
        }
        let class = |n: u64| if uses_dropped && n % 2 == 0 { DROPPED } else { "meter-read" };
        let group: Vec<(u64, &str)> = (0..10).map(|n| (call + n, class(n))).collect();
        call += 10;
        caller.set_ups(&bed.record, &group, (groups as u32) % 2, WAIT_MS)?;
        sent.extend(group.iter().filter(|c| c.1 != DROPPED).map(|c| (now(), c.0, Arc::clone(&caller))));
        groups += 1.0;
        pause(began + groups / GROUPS_PER_S - now());
    }
    pause(LOST_AFTER + 0.5);
    if !gatekeeper.runs() {
        return Err(io::Error::other("the gatekeeper has ended"));
    }
    let mut broken = Vec::new();
    for (at, call, caller) in &sent {
        if !caller.replies(*call).iter().any(|(when, _)| when - at <= LOST_AFTER) {
            broken.push(match caller.ended_at() {
                Some(end) => format!("set-up {call:016x} of meter-read has no answer: its connection was closed {:.3} s after it", end - at),
                None => format!("set-up {call:016x} of meter-read has no answer"),
            });
        }
    }
    bed.record.say(format!(
        "set-ups of meter-read: {}, without an answer: {}, connections closed by the gatekeeper: {}",
        sent.len(),
        broken.len(),
        callers.len()
    ));
    Ok(broken)
}
