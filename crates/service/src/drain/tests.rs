use super::*;

const DRAINED: f64 = 10.0;

fn quiet(since: f64, used_at: f64) -> Connection {
    Connection { since, used_at, told: true, open: 0, standing: 0, writing: false, reserved: false }
}

fn closes(now: f64, c: &Connection) -> bool {
    decide(now, DRAINED, c) == Decision::Close
}

#[test]
fn only_quiet_connections_close() {
    let old = quiet(0.0, 1.0);
    // Quiet since long before the drain: counted from the drain's start.
    assert!(!closes(10.2, &old));
    assert!(closes(10.25, &old));
    // A request of the last moment is answered before its connection goes.
    let asking = Connection { open: 1, ..old };
    assert!(!closes(13.0, &asking));
    let answering = Connection { writing: true, ..old };
    let standing = Connection { standing: 1, ..old };
    assert!(!closes(13.0, &standing), "the end of what stands is owed to it");
    assert!(!closes(13.0, &answering));
    let answered = quiet(10.1, 10.8);
    assert!(!closes(11.0, &answered));
    assert!(closes(11.05, &answered));
    // A new connection that says nothing gets a little longer to say it.
    let mute = Connection { told: false, ..quiet(10.1, 10.1) };
    assert!(!closes(10.5, &mute));
    assert!(closes(10.6, &mute));
    // One that keeps asking is let go once the drain is firm, between its answers.
    let busy = quiet(10.1, 11.49);
    assert!(!closes(11.49, &busy));
    assert!(closes(11.5, &busy));
    // Every connection that waits for nothing is gone well before 4 s.
    assert!([old, answered, mute, busy].iter().all(|c| closes(11.5, c)));
}
