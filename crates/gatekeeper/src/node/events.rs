//! Events of a fleet, written to the log within bounds.

use hollypaddle_membership::view::Change as MembershipChange;
use hollypaddle_membership::MemberId;
use hollypaddle_replica::member::Event;

/// Events written to the log at once, and a second; more are counted. A link that flaps must not fill the log.
const LOG_BURST_EVENTS: f64 = 40.0;
const LOG_EVENTS_PER_S: f64 = 2.0;

/// How much may be written to the log.
pub struct EventLogLimiter {
    tokens: f64,
    refilled_at: f64,
    suppressed: u64,
}

impl EventLogLimiter {
    /// All of it.
    pub fn new(now: f64) -> EventLogLimiter {
        EventLogLimiter { tokens: LOG_BURST_EVENTS, refilled_at: now, suppressed: 0 }
    }

    /// Whether a line may be written; tells first how many were not, before it.
    pub fn may_log(&mut self, now: f64) -> bool {
        log_left_out(self.admit(now))
    }

    /// The same for an event of members. What befalls the own member comes seldom and says whether it takes calls: it is
    /// always written, and takes nothing from the others.
    pub fn may_log_event(&mut self, now: f64, event: &Event) -> bool {
        log_left_out(self.admit_event(now, event))
    }

    fn admit_event(&mut self, now: f64, event: &Event) -> Option<u64> {
        match event {
            Event::CaughtUp(..)
            | Event::Member(MembershipChange::Resumed(_) | MembershipChange::Superseded(_)) => Some(0),
            _ => self.admit(now),
        }
    }

    /// How many lines were left out before this one, if it may be written.
    fn admit(&mut self, now: f64) -> Option<u64> {
        self.tokens =
            (self.tokens + (now - self.refilled_at).max(0.0) * LOG_EVENTS_PER_S).min(LOG_BURST_EVENTS);
        self.refilled_at = now;
        if self.tokens < 1.0 {
            self.suppressed += 1;
            return None;
        }
        self.tokens -= 1.0;
        Some(std::mem::take(&mut self.suppressed))
    }
}

/// Whether a line may be written; tells how many were left out before it.
fn log_left_out(left_out: Option<u64>) -> bool {
    if let Some(events) = left_out.filter(|events| *events > 0) {
        log::info!(events; "fleet-events-left-out");
    }
    left_out.is_some()
}

/// Writes an event of the members of a small fleet, or of the relays among themselves, to the log.
pub fn log_member_event(event: &Event, name: impl Fn(MemberId) -> String) {
    match event {
        Event::Member(change) => match change {
            MembershipChange::Alive(m) => log::info!(member = name(*m).as_str(); "member-alive"),
            MembershipChange::Suspected(m, silent_s) => {
                log::info!(member = name(*m).as_str(), silent_s; "member-suspected");
            }
            MembershipChange::Gone(m, refused) => {
                log::warn!(member = name(*m).as_str(), refused; "member-gone");
            }
            MembershipChange::Returned(m) => log::info!(member = name(*m).as_str(); "member-returned"),
            MembershipChange::Restarted(m, life) => {
                log::info!(member = name(*m).as_str(), life:%; "member-restarted");
            }
            MembershipChange::NotReceiving(m) => {
                log::warn!(member = name(*m).as_str(); "member-does-not-hear-us")
            }
            MembershipChange::ReceivingAgain(m) => log::info!(member = name(*m).as_str(); "member-hears-us"),
            MembershipChange::IncarnationRaised(life) => log::info!(life:%; "fleet-life-raised"),
            MembershipChange::Superseded(life) => log::error!(life:%; "fleet-superseded"),
            MembershipChange::Resumed(paused_s) => log::warn!(paused_s; "fleet-woke"),
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
