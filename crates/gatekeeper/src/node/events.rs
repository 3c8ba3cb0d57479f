//! Events of a fleet, written to the log within bounds.

use hollypaddle_membership::view::Change as Seen;
use hollypaddle_membership::MemberId;
use hollypaddle_replica::member::Event;

/// Events written to the log at once, and a second; more are counted. A link that flaps must not fill the log.
const LINES: f64 = 40.0;
const LINES_PER_S: f64 = 2.0;

/// How much may be written to the log.
pub struct Lines {
    left: f64,
    at: f64,
    dropped: u64,
}

impl Lines {
    /// All of it.
    pub fn new(now: f64) -> Lines {
        Lines { left: LINES, at: now, dropped: 0 }
    }

    /// Whether a line may be written; tells first how many were not, before it.
    pub fn take(&mut self, now: f64) -> bool {
        told(self.count(now))
    }

    /// The same for an event of members. What befalls the own member comes seldom and says whether it takes calls: it is
    /// always written, and takes nothing from the others.
    pub fn take_for(&mut self, now: f64, event: &Event) -> bool {
        told(self.count_for(now, event))
    }

    fn count_for(&mut self, now: f64, event: &Event) -> Option<u64> {
        match event {
            Event::CaughtUp(..) | Event::Member(Seen::Woke(_) | Seen::Superseded(_)) => Some(0),
            _ => self.count(now),
        }
    }

    /// How many lines were left out before this one, if it may be written.
    fn count(&mut self, now: f64) -> Option<u64> {
        self.left = (self.left + (now - self.at).max(0.0) * LINES_PER_S).min(LINES);
        self.at = now;
        if self.left < 1.0 {
            self.dropped += 1;
            return None;
        }
        self.left -= 1.0;
        Some(std::mem::take(&mut self.dropped))
    }
}

/// Whether a line may be written; tells how many were left out before it.
fn told(left_out: Option<u64>) -> bool {
    if let Some(events) = left_out.filter(|events| *events > 0) {
        log::info!(events; "fleet-events-left-out");
    }
    left_out.is_some()
}

/// Writes an event of the members of a small fleet, or of the relays among themselves, to the log.
pub fn log_member_event(event: &Event, name: impl Fn(MemberId) -> String) {
    match event {
        Event::Member(seen) => match seen {
            Seen::Alive(m) => log::info!(member = name(*m).as_str(); "member-alive"),
            Seen::Suspected(m, silent_s) => {
                log::info!(member = name(*m).as_str(), silent_s; "member-suspected");
            }
            Seen::Gone(m, refused) => {
                log::warn!(member = name(*m).as_str(), refused; "member-gone");
            }
            Seen::Returned(m) => log::info!(member = name(*m).as_str(); "member-returned"),
            Seen::Restarted(m, life) => {
                log::info!(member = name(*m).as_str(), life:%; "member-restarted");
            }
            Seen::Deaf(m) => log::warn!(member = name(*m).as_str(); "member-does-not-hear-us"),
            Seen::Hears(m) => log::info!(member = name(*m).as_str(); "member-hears-us"),
            Seen::Raised(life) => log::info!(life:%; "fleet-life-raised"),
            Seen::Superseded(life) => log::error!(life:%; "fleet-superseded"),
            Seen::Woke(paused_s) => log::warn!(paused_s; "fleet-woke"),
        },
        Event::CaughtUp(how, after_s) => {
            let how = format!("{how:?}").to_lowercase();
            log::info!(how = how.as_str(), after_s; "fleet-caught-up");
        }
        Event::Conflict(origin, c) => {
            log::warn!(
                member = name(origin.member).as_str(), life:% = origin.life, version = c.version,
                key:? = c.key, held:? = c.held, told:? = c.told; "replica-conflict"
            );
        }
        Event::Differs(origin, from) => {
            log::warn!(
                member = name(origin.member).as_str(), life:% = origin.life, from = name(*from).as_str();
                "replica-differs"
            );
        }
        Event::Mended(origin) => {
            log::info!(member = name(origin.member).as_str(), life:% = origin.life; "replica-mended");
        }
        Event::Forgotten(origin, records) => {
            log::info!(member = name(origin.member).as_str(), life:% = origin.life, records; "replica-forgotten");
        }
        Event::LeftOut(records) => log::warn!(records; "replica-full"),
    }
}

#[cfg(test)]
mod tests;
