use super::*;

const DRAIN_START: f64 = 10.0;

fn quiet(since: f64, last_used_at: f64) -> ConnectionState {
    let last_set_up_at = Some(last_used_at);
    ConnectionState {
        since,
        last_used_at,
        last_set_up_at,
        sent_anything: true,
        set_up_after_reply: true,
        open: 0,
        standing: 0,
        writing: false,
        reading: false,
        delivers_other_ends: false,
    }
}

fn closes(now: f64, c: &ConnectionState) -> bool {
    decide(now, DRAIN_START, c) == Decision::Close
}

#[test]
fn a_connection_closes_only_once_it_is_quiet_blocked_unused_or_busy_for_too_long() {
    let old = quiet(0.0, 1.0);
    // Quiet since long before the drain: counted from the start of the drain.
    assert!(!closes(10.2, &old));
    assert!(closes(10.25, &old));
    // A recent set-up is answered before its connection is closed.
    let asking = ConnectionState { open: 1, ..old };
    assert!(!closes(13.0, &asking));
    let answering = ConnectionState { writing: true, ..old };
    let standing = ConnectionState { standing: 1, ..old };
    assert!(!closes(13.0, &standing), "the end of its standing call must be delivered");
    assert!(!closes(12.4, &answering));
    assert!(closes(12.5, &answering), "a peer that does not read by then would not see the close in time");
    let answered = quiet(10.1, 10.8);
    assert!(!closes(11.0, &answered));
    assert!(closes(11.05, &answered));
    // A new connection that has not been used gets a little longer.
    let mute = ConnectionState { sent_anything: false, ..quiet(10.1, 10.1) };
    assert!(!closes(10.5, &mute));
    assert!(closes(10.6, &mute));
    // One that keeps sending set-ups is closed from `BUSY_CLOSE_AFTER_S` on, between its answers.
    let busy = quiet(10.1, 11.49);
    assert!(!closes(11.49, &busy));
    assert!(closes(11.5, &busy));
    // Every connection that waits for nothing is closed well before 4 s.
    assert!([old, answered, mute, busy].iter().all(|c| closes(11.5, c)));
}

/// Guards against any exemption that keeps a connection at the deadline that must not be kept then.
#[test]
fn no_idle_or_in_use_connection_is_kept_at_the_deadline() {
    let last_set_ups = [None, Some(5.0), Some(10.5), Some(11.9), Some(12.0), Some(12.5), Some(13.4)];
    for (last_set_up_at, open, standing, delivers_other_ends) in
        connections(&last_set_ups).filter(|(last_set_up_at, open, standing, _)| {
            let in_use = last_set_up_at.is_some_and(|at| at >= DRAIN_START + DEADLINE_S - IN_USE_WINDOW_S);
            in_use || (*open, *standing) == (0, 0)
        })
    {
        let last_used_at = last_set_up_at.unwrap_or(0.0);
        let c = ConnectionState {
            last_set_up_at,
            open,
            standing,
            delivers_other_ends,
            ..quiet(0.0, last_used_at)
        };
        let times = [DRAIN_START + FINAL_CLOSE_AFTER_S, 13.9, DRAIN_START + DEADLINE_S, 14.1];
        for (now, half) in times.iter().flat_map(|now| [(*now, false), (*now, true)]) {
            let decision = decide(now, DRAIN_START, &ConnectionState { writing: half, reading: half, ..c });
            assert!(!matches!(decision, Decision::Keep(_)), "{decision:?} at {now}: {c:?}");
        }
    }
}

/// Guards against a call that is cut or a set-up that is answered although the deadline does not require it.
#[test]
fn a_connection_not_in_use_at_the_deadline_keeps_its_calls() {
    for (last_set_up_at, open, standing, delivers_other_ends) in
        connections(&[Some(5.0), Some(10.5), Some(11.9)])
    {
        let c = ConnectionState { last_set_up_at, open, standing, delivers_other_ends, ..quiet(0.0, 5.0) };
        for now in [10.1, 11.6, 12.1, DRAIN_START + FINAL_CLOSE_AFTER_S, DRAIN_START + DEADLINE_S, 30.0] {
            let decision = decide(now, DRAIN_START, &c);
            let needed = open > 0 || standing > 0;
            let ends_calls = matches!(decision, Decision::AnswerSetUps | Decision::CutCalls);
            assert!(!(needed && ends_calls), "{decision:?} at {now}: {c:?}");
        }
    }
}

/// Every connection with these times of the last set-up, with and without open set-ups, standing calls, and the ends of others.
fn connections(last_set_ups: &[Option<f64>]) -> impl Iterator<Item = (Option<f64>, usize, usize, bool)> + '_ {
    let kinds = (0..8).map(|bits| (bits & 1, bits >> 1 & 1, bits & 4 > 0));
    last_set_ups
        .iter()
        .flat_map(move |at| kinds.clone().map(move |(open, standing, path)| (*at, open, standing, path)))
}

#[test]
fn one_connection_in_use_is_kept_to_deliver_ends_until_the_final_close_and_others_are_closed() {
    let in_use = ConnectionState { standing: 1, ..quiet(0.0, 12.2) };
    let delivers_other_ends = ConnectionState { delivers_other_ends: true, ..in_use };
    assert_eq!(decide(12.3, DRAIN_START, &in_use), Decision::Close);
    assert_eq!(decide(13.4, DRAIN_START, &delivers_other_ends), Decision::Keep(KeepReason::OtherCallEnds));
    assert_eq!(decide(13.5, DRAIN_START, &delivers_other_ends), Decision::CutCalls);
    // The deadline has passed: the ends can be delivered there.
    assert_eq!(decide(14.3, DRAIN_START, &delivers_other_ends), Decision::Keep(KeepReason::OtherCallEnds));
    let quiet = ConnectionState { standing: 1, ..quiet(0.0, 5.0) };
    assert!(end_delivery_rank(12.3, DRAIN_START, &quiet) > end_delivery_rank(12.3, DRAIN_START, &in_use));
    // A caller that may never read must not be chosen to receive the ends of others.
    let set_up_once = ConnectionState { set_up_after_reply: false, ..quiet };
    assert!(
        end_delivery_rank(12.3, DRAIN_START, &in_use) > end_delivery_rank(12.3, DRAIN_START, &set_up_once)
    );
}

/// Guards against set-ups that are refused on a connection that could have been closed between two of them.
#[test]
fn a_busy_connection_with_standing_calls_is_closed_between_two_set_ups_if_another_one_delivers_their_ends() {
    let busy = ConnectionState { standing: 1, ..quiet(0.0, 11.4) };
    assert_eq!(decide(11.45, DRAIN_START, &busy), Decision::Keep(KeepReason::StandingCall));
    assert_eq!(decide(11.55, DRAIN_START, &busy), Decision::Close);
    assert_eq!(
        decide(11.55, DRAIN_START, &ConnectionState { delivers_other_ends: true, ..busy }),
        Decision::Keep(KeepReason::OtherCallEnds)
    );
    // Half a second without set-ups: it may be kept.
    assert_eq!(decide(12.0, DRAIN_START, &busy), Decision::Keep(KeepReason::StandingCall));
}
