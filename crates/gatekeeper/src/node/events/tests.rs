//! Which events of a fleet are logged.

use hollypaddle_membership::Incarnation;
use hollypaddle_replica::member::CatchUpOutcome;

use super::*;

const FULL: EventLogLimiter = EventLogLimiter { tokens: LOG_BURST_EVENTS, refilled_at: 0.0, suppressed: 0 };

fn alive(n: u64) -> Event {
    Event::Member(MembershipChange::Alive(MemberId(n)))
}

/// In a large fleet the events of all other members come at once, followed by the event that this member accepts calls, which
/// must not be left out.
#[test]
fn events_of_this_member_are_logged_after_any_number_of_others() {
    let incarnation = Incarnation { number: 1, nonce: 1 };
    let own = [
        Event::CaughtUp(CatchUpOutcome::Complete, 0.4),
        Event::CaughtUp(CatchUpOutcome::Late, 2.0),
        Event::Member(MembershipChange::Resumed(3.0)),
        Event::Member(MembershipChange::Superseded(incarnation)),
    ];
    let mut limiter = FULL;
    let logged = (0..63).filter(|n| limiter.admit_event(0.0, &alive(*n)).is_some()).count();
    assert_eq!(logged, LOG_BURST_EVENTS as usize);
    for event in &own {
        assert_eq!(limiter.admit_event(0.0, event), Some(0), "{event:?}");
    }
    // They use no tokens of other events and don't hide how many of those were left out.
    assert_eq!(limiter.admit_event(0.4, &alive(63)), None);
    assert_eq!(limiter.admit_event(0.5, &alive(64)), Some(24));
}

/// Events that other members can cause any number of times must not fill the log.
#[test]
fn events_of_other_members_are_limited() {
    let member = MemberId(1);
    let incarnation = Incarnation { number: 1, nonce: 1 };
    let others = [
        Event::Member(MembershipChange::Suspected(member, 1.0)),
        Event::Member(MembershipChange::Gone(member, true)),
        Event::Member(MembershipChange::Returned(member)),
        Event::Member(MembershipChange::Restarted(member, incarnation)),
        Event::Member(MembershipChange::IncarnationRaised(incarnation)),
        Event::RecordsLeftOut(1),
    ];
    for event in &others {
        let mut limiter = FULL;
        let logged = (0..100).filter(|_| limiter.admit_event(0.0, event).is_some()).count();
        assert_eq!(logged, LOG_BURST_EVENTS as usize, "{event:?}");
    }
}
