//! Which events are written to the log.

use hollypaddle_membership::Incarnation;
use hollypaddle_replica::member::How;

use super::*;

const FULL: EventLogLimiter = EventLogLimiter { tokens: LOG_BURST_EVENTS, refilled_at: 0.0, suppressed: 0 };

fn alive(n: u64) -> Event {
    Event::Member(MembershipChange::Alive(MemberId(n)))
}

/// All others come at once where a fleet is large, and after them that this one takes calls.
#[test]
fn what_befalls_the_own_member_is_written_however_many_others_come() {
    let life = Incarnation { number: 1, nonce: 1 };
    let own = [
        Event::CaughtUp(How::Complete, 0.4),
        Event::CaughtUp(How::Late, 2.0),
        Event::Member(MembershipChange::Resumed(3.0)),
        Event::Member(MembershipChange::Superseded(life)),
    ];
    let mut lines = FULL;
    let written = (0..63).filter(|n| lines.admit_event(0.0, &alive(*n)).is_some()).count();
    assert_eq!(written, LOG_BURST_EVENTS as usize);
    for event in &own {
        assert_eq!(lines.admit_event(0.0, event), Some(0), "{event:?}");
    }
    // They neither use up what the others have nor hide how many were left out.
    assert_eq!(lines.admit_event(0.4, &alive(63)), None);
    assert_eq!(lines.admit_event(0.5, &alive(64)), Some(24));
}

/// Whatever others can bring about as often as they like stays bounded.
#[test]
fn what_others_bring_about_is_bounded() {
    let member = MemberId(1);
    let life = Incarnation { number: 1, nonce: 1 };
    let others = [
        Event::Member(MembershipChange::Suspected(member, 1.0)),
        Event::Member(MembershipChange::Gone(member, true)),
        Event::Member(MembershipChange::Returned(member)),
        Event::Member(MembershipChange::Restarted(member, life)),
        Event::Member(MembershipChange::IncarnationRaised(life)),
        Event::LeftOut(1),
    ];
    for event in &others {
        let mut lines = FULL;
        let written = (0..100).filter(|_| lines.admit_event(0.0, event).is_some()).count();
        assert_eq!(written, LOG_BURST_EVENTS as usize, "{event:?}");
    }
}
