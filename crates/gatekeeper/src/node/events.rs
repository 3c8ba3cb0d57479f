//! Writes the events of a fleet to the log, at a limited rate.

use hollypaddle_membership::view::Change as MembershipChange;
use hollypaddle_membership::MemberId;
use hollypaddle_replica::member::Event;

/// Events that may be logged in one burst. Further ones are only counted, so that a flapping link can't fill the log.
const LOG_BURST_EVENTS: f64 = 40.0;
/// Rate at which the burst is replenished.
const LOG_EVENTS_PER_S: f64 = 2.0;

/// Token bucket that limits how many events are logged.
pub struct EventLogLimiter {
    tokens: f64,
    refilled_at: f64,
    suppressed: u64,
}

impl EventLogLimiter {
    /// Creates a limiter with a full burst.
    pub fn new(now: f64) -> EventLogLimiter {
        EventLogLimiter { tokens: LOG_BURST_EVENTS, refilled_at: now, suppressed: 0 }
    }

    /// Whether an event may be logged. If so, first logs how many were left out before it.
    pub fn may_log(&mut self, now: f64) -> bool {
        log_left_out(self.admit(now))
    }

    /// Like [`may_log`](Self::may_log), for an event of members. Events of this member itself are rare and show whether it
    /// accepts calls: they are always logged and use none of the budget of other events.
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

    /// Takes a token; returns how many events were left out before this one, or `None` if this one must be left out.
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

/// Logs how many events were left out; returns whether the next one may be logged.
fn log_left_out(left_out: Option<u64>) -> bool {
    if let Some(events) = left_out.filter(|events| *events > 0) {
        log::info!(events; "fleet-events-left-out");
    }
    left_out.is_some()
}

/// Logs an event of the members of a small fleet, or of the relays of a tier among themselves.
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
            MembershipChange::Restarted(m, incarnation) => {
                log::info!(member = name(*m).as_str(), life:% = incarnation; "member-restarted");
            }
            MembershipChange::NotReceiving(m) => {
                log::warn!(member = name(*m).as_str(); "member-does-not-hear-us")
            }
            MembershipChange::ReceivingAgain(m) => log::info!(member = name(*m).as_str(); "member-hears-us"),
            MembershipChange::IncarnationRaised(incarnation) => {
                log::info!(life:% = incarnation; "fleet-life-raised")
            }
            MembershipChange::Superseded(incarnation) => {
                log::error!(life:% = incarnation; "fleet-superseded")
            }
            MembershipChange::Resumed(paused_s) => log::warn!(paused_s; "fleet-woke"),
        },
        Event::CaughtUp(how, after_s) => {
            let how = format!("{how:?}").to_lowercase();
            log::info!(how = how.as_str(), after_s; "fleet-caught-up");
        }
        Event::Conflict(origin, c) => {
            log::warn!(
                member = name(origin.member).as_str(), life:% = origin.life, version = c.version,
                key:? = c.key, held:? = c.held, told:? = c.received; "replica-conflict"
            );
        }
        Event::CopyDiverged(origin, from) => {
            log::warn!(
                member = name(origin.member).as_str(), life:% = origin.life, from = name(*from).as_str();
                "replica-differs"
            );
        }
        Event::CopyRepaired(origin) => {
            log::info!(member = name(origin.member).as_str(), life:% = origin.life; "replica-mended");
        }
        Event::StreamForgotten(origin, records) => {
            log::info!(member = name(origin.member).as_str(), life:% = origin.life, records; "replica-forgotten");
        }
        Event::RecordsLeftOut(records) => log::warn!(records; "replica-full"),
    }
}

#[cfg(test)]
mod tests;
