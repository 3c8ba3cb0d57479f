use super::*;

const DRAINED: f64 = 10.0;

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
    decide(now, DRAINED, c) == Decision::Close
}

#[test]
fn only_quiet_connections_close() {
    let old = quiet(0.0, 1.0);
    // Quiet since long before the drain: counted from the drain's start.
    assert!(!closes(10.2, &old));
    assert!(closes(10.25, &old));
    // A request of the last moment is answered before its connection goes.
    let asking = ConnectionState { open: 1, ..old };
    assert!(!closes(13.0, &asking));
    let answering = ConnectionState { writing: true, ..old };
    let standing = ConnectionState { standing: 1, ..old };
    assert!(!closes(13.0, &standing), "the end of what stands is owed to it");
    assert!(!closes(12.4, &answering));
    assert!(closes(12.5, &answering), "whoever does not read by then sees no close in time");
    let answered = quiet(10.1, 10.8);
    assert!(!closes(11.0, &answered));
    assert!(closes(11.05, &answered));
    // A new connection that says nothing gets a little longer to say it.
    let mute = ConnectionState { sent_anything: false, ..quiet(10.1, 10.1) };
    assert!(!closes(10.5, &mute));
    assert!(closes(10.6, &mute));
    // One that keeps asking is let go once the drain is firm, between its answers.
    let busy = quiet(10.1, 11.49);
    assert!(!closes(11.49, &busy));
    assert!(closes(11.5, &busy));
    // Every connection that waits for nothing is gone well before 4 s.
    assert!([old, answered, mute, busy].iter().all(|c| closes(11.5, c)));
}

/// Guards against any exemption that holds a connection at the term which must not be held then.
#[test]
fn nothing_idle_or_in_use_is_kept_at_the_term() {
    let asked = [None, Some(5.0), Some(10.5), Some(11.9), Some(12.0), Some(12.5), Some(13.4)];
    for (last_set_up_at, open, standing, delivers_other_ends) in
        connections(&asked).filter(|(last_set_up_at, open, standing, _)| {
            let in_use = last_set_up_at.is_some_and(|at| at >= DRAINED + DEADLINE_S - IN_USE_WINDOW_S);
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
        let times = [DRAINED + FINAL_CLOSE_AFTER_S, 13.9, DRAINED + DEADLINE_S, 14.1];
        for (now, half) in times.iter().flat_map(|now| [(*now, false), (*now, true)]) {
            let decision = decide(now, DRAINED, &ConnectionState { writing: half, reading: half, ..c });
            assert!(!matches!(decision, Decision::Keep(_)), "{decision:?} at {now}: {c:?}");
        }
    }
}

/// Guards against a call cut or a set-up answered that the term does not ask for.
#[test]
fn what_is_not_in_use_at_the_term_keeps_its_calls() {
    for (last_set_up_at, open, standing, delivers_other_ends) in
        connections(&[Some(5.0), Some(10.5), Some(11.9)])
    {
        let c = ConnectionState { last_set_up_at, open, standing, delivers_other_ends, ..quiet(0.0, 5.0) };
        for now in [10.1, 11.6, 12.1, DRAINED + FINAL_CLOSE_AFTER_S, DRAINED + DEADLINE_S, 30.0] {
            let decision = decide(now, DRAINED, &c);
            let needed = open > 0 || standing > 0;
            let ends_calls = matches!(decision, Decision::AnswerSetUps | Decision::CutCalls);
            assert!(!(needed && ends_calls), "{decision:?} at {now}: {c:?}");
        }
    }
}

/// Every connection of these last requests, with and without open set-ups, standing calls, and the ends of others.
fn connections(asked: &[Option<f64>]) -> impl Iterator<Item = (Option<f64>, usize, usize, bool)> + '_ {
    let kinds = (0..8).map(|bits| (bits & 1, bits >> 1 & 1, bits & 4 > 0));
    asked
        .iter()
        .flat_map(move |at| kinds.clone().map(move |(open, standing, path)| (*at, open, standing, path)))
}

#[test]
fn one_connection_in_use_stays_for_ends_until_the_last_moment_and_others_go() {
    let in_use = ConnectionState { standing: 1, ..quiet(0.0, 12.2) };
    let delivers_other_ends = ConnectionState { delivers_other_ends: true, ..in_use };
    assert_eq!(decide(12.3, DRAINED, &in_use), Decision::Close);
    assert_eq!(decide(13.4, DRAINED, &delivers_other_ends), Decision::Keep(KeepReason::OtherCallEnds));
    assert_eq!(decide(13.5, DRAINED, &delivers_other_ends), Decision::CutCalls);
    // The term is past: its ends can be told there.
    assert_eq!(decide(14.3, DRAINED, &delivers_other_ends), Decision::Keep(KeepReason::OtherCallEnds));
    let quiet = ConnectionState { standing: 1, ..quiet(0.0, 5.0) };
    assert!(end_delivery_rank(12.3, DRAINED, &quiet) > end_delivery_rank(12.3, DRAINED, &in_use));
    // A caller that may never read is no one to tell ends of others to.
    let asked_once = ConnectionState { set_up_after_reply: false, ..quiet };
    assert!(end_delivery_rank(12.3, DRAINED, &in_use) > end_delivery_rank(12.3, DRAINED, &asked_once));
}

/// Guards against set-ups refused on a connection that could have been closed between two of them.
#[test]
fn a_busy_connection_with_standing_calls_goes_between_two_set_ups_where_another_takes_their_ends() {
    let busy = ConnectionState { standing: 1, ..quiet(0.0, 11.4) };
    assert_eq!(decide(11.45, DRAINED, &busy), Decision::Keep(KeepReason::StandingCall));
    assert_eq!(decide(11.55, DRAINED, &busy), Decision::Close);
    assert_eq!(
        decide(11.55, DRAINED, &ConnectionState { delivers_other_ends: true, ..busy }),
        Decision::Keep(KeepReason::OtherCallEnds)
    );
    // A moment without requests: it may stay.
    assert_eq!(decide(12.0, DRAINED, &busy), Decision::Keep(KeepReason::StandingCall));
}
