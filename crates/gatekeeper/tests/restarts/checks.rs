//! Checks of the history of a run against the rules of the platform.

use std::collections::BTreeMap;

use hollypaddle_platform::message::cause;

use crate::history::{Attempt, Call, ClosedConnection, Drain, HeldConnection, History};
#[cfg(test)]
use crate::history::{Reply, ReplyContent};

/// A set-up written less than this before its connection closed crossed the close: its caller sends it again, so it is not
/// lost.
const CLOSE_RACE_S: f64 = 0.05;
/// No attempt starts later than this after its caller has closed or cancelled; includes the delay of the sockets.
const MAX_START_AFTER_LEAVING_S: f64 = 0.15;
/// Tolerance of times recorded at two sides: attempts that overlap by less count as successive.
pub const TOLERANCE_S: f64 = 0.05;
/// The end of an established call reaches its caller within this time after its server has written it.
const MAX_END_DELAY_S: f64 = 1.0;
/// A process that ends by itself redelivers before that the ends that were left unread at least this time earlier.
const MIN_UNREAD_BEFORE_EXIT_S: f64 = 0.3;
/// The term of a drain: this long after its start, a drained gatekeeper holds no connection that is idle or had a set-up in
/// the last [`IN_USE_S`].
pub const DRAIN_TERM_S: f64 = 4.0;
const IN_USE_S: f64 = 2.0;
/// A gatekeeper is ready within this time after the end of a drain.
const MAX_READY_AFTER_DRAIN_S: f64 = 2.0;
/// SIGKILL comes this long after the longest deadline, which counts as at least 3 s.
pub const KILL_AFTER_DEADLINE_S: f64 = 0.7;

/// A violation of a rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The rule.
    pub rule: &'static str,
    /// What violated it.
    pub detail: String,
}

impl History {
    /// Whether an end that was left unread on this connection can be judged: its process is known, and went on to run with
    /// connected callers for long enough.
    fn can_judge(&self, connection: &ClosedConnection) -> bool {
        // While two processes listen, it is not known which one accepted a connection.
        let known = self.successor_started_at.is_none_or(|at| connection.connected_at < at);
        known
            && self.kept_open_until.min(self.exited_at())
                > connection.closed_at + MIN_UNREAD_BEFORE_EXIT_S + self.paused_s
    }

    /// When the process ended.
    fn exited_at(&self) -> f64 {
        self.exit.map_or(f64::INFINITY, |(at, _)| at)
    }

    /// The latest time at which an end is received that can be delivered from this time on.
    fn latest_delivery(&self, since: f64) -> f64 {
        since + MAX_END_DELAY_S + TOLERANCE_S + self.paused_s
    }
}

/// Numbers of ends that callers left unread as they closed, by their position among the unread messages.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UnreadEnds {
    /// The last message, and judged by the rule.
    pub judged: usize,
    /// The last message, but not judged: the run ended too soon, or two processes listened.
    pub unjudged: usize,
    /// Before the last message: the gatekeeper cannot tell that they were unread.
    pub before_last: usize,
}

impl UnreadEnds {
    /// The numbers of one run.
    pub fn of(history: &History) -> UnreadEnds {
        let mut ends = UnreadEnds::default();
        for connection in
            history.closed_connections.iter().filter(|connection| connection.closed_at.is_finite())
        {
            let Some((last, before)) = connection.unread.split_last() else { continue };
            ends.before_last += history.unread_ends(before).count();
            let last = history.unread_ends(std::slice::from_ref(last)).count();
            let can_judge = history.can_judge(connection);
            *(if can_judge { &mut ends.judged } else { &mut ends.unjudged }) += last;
        }
        ends
    }

    /// The sum of both.
    pub fn plus(self, other: UnreadEnds) -> UnreadEnds {
        UnreadEnds {
            judged: self.judged + other.judged,
            unjudged: self.unjudged + other.unjudged,
            before_last: self.before_last + other.before_last,
        }
    }
}

type Check = fn(&History) -> Vec<String>;

/// The rules, with their descriptions.
pub const RULES: [(&str, Check); 13] = [
    ("a set-up that was written is answered", unanswered_set_ups),
    ("a call has one final answer", answered_twice),
    ("a call has one open attempt at a time", overlapping_attempts),
    ("no attempt starts for a caller that has closed or cancelled", started_after_leaving),
    ("the process ends by itself with exit code 0 before it would be killed", failed_exit),
    ("an answer was made by a server for this call", forged_answers),
    ("an established call is answered before its end", ended_unanswered),
    ("the end of a call reaches its caller in time", undelivered_ends),
    ("no message is sent for a call that no caller set up", unknown_calls),
    ("an end left unread is redelivered to a connected caller", unread_ends_not_redelivered),
    ("a drained gatekeeper holds no connection idle or in use at its term", held_past_term),
    ("a drained gatekeeper does not report to be ready", ready_while_drained),
    ("a gatekeeper is ready in time after a drain", not_ready_after_drain),
];

/// Applies all rules to the history of a run.
pub fn find_violations(history: &History) -> Vec<Violation> {
    let violations = |(rule, check): (&'static str, Check)| {
        check(history).into_iter().map(move |detail| Violation { rule, detail })
    };
    RULES.into_iter().flat_map(violations).collect()
}

fn unanswered_set_ups(history: &History) -> Vec<String> {
    let lost = |(id, call): (&u64, &Call)| {
        let written = call.written_at?;
        let excused = call.left_at.is_some() || call.never_reads || !call.replies.is_empty();
        let crossed = call.connection_ended_at.is_some_and(|ended| ended - written <= CLOSE_RACE_S);
        let detail = format!(
            "call {id}, written at {written:.3}, connection last open at {:?}",
            call.connection_ended_at
        );
        (!excused && !crossed).then_some(detail)
    };
    history.calls.iter().filter_map(lost).collect()
}

fn answered_twice(history: &History) -> Vec<String> {
    // The gatekeeper cannot distinguish a reset by its caller from a reset because of unread messages.
    let resets = |id: &u64| {
        history
            .closed_connections
            .iter()
            .filter(|connection| connection.ends_read_before_reset.contains(id))
            .count()
    };
    let twice =
        |id: &u64, call: &Call| call.answers().count() > 1 || call.releases().count() > 1 + resets(id);
    let duplicate =
        |(id, call): (&u64, &Call)| twice(id, call).then(|| format!("call {id}: {:?}", call.replies));
    history.calls.iter().filter_map(duplicate).collect()
}

fn overlapping_attempts(history: &History) -> Vec<String> {
    let mut open_until: BTreeMap<u64, f64> = BTreeMap::new();
    let mut overlaps = Vec::new();
    for attempt in &history.attempts {
        if open_until.get(&attempt.id).is_some_and(|until| attempt.started_at + TOLERANCE_S < *until) {
            overlaps.push(format!(
                "call {}: attempt started at {:.3} during another one",
                attempt.id, attempt.started_at
            ));
        }
        open_until.insert(attempt.id, attempt.ended_at.unwrap_or(f64::INFINITY));
    }
    overlaps
}

fn started_after_leaving(history: &History) -> Vec<String> {
    let late = |attempt: &Attempt| {
        let left_at = history.calls.get(&attempt.id)?.left_at?;
        let detail = format!(
            "call {}, left by its caller at {left_at:.3}, attempt started at {:.3}",
            attempt.id, attempt.started_at
        );
        (attempt.previous_poll_at > left_at + MAX_START_AFTER_LEAVING_S).then_some(detail)
    };
    history.attempts.iter().filter_map(late).collect()
}

fn failed_exit(history: &History) -> Vec<String> {
    let kill = history.term_sent_at + history.deadline.max(3.0) + KILL_AFTER_DEADLINE_S;
    match history.exit {
        Some((at, true)) if at <= kill => Vec::new(),
        exit => vec![format!("SIGTERM at {:.3}, exit (time, success) {exit:?}", history.term_sent_at)],
    }
}

fn forged_answers(history: &History) -> Vec<String> {
    let made_by_server = |id: u64, description: &[u8]| {
        let mut attempts = history.attempts.iter().filter(|attempt| attempt.id == id);
        attempts.any(|attempt| attempt.answer.as_deref() == Some(description))
    };
    let calls =
        history.calls.iter().flat_map(|(id, call)| call.answers().map(move |description| (*id, description)));
    calls
        .filter(|(id, description)| !made_by_server(*id, description))
        .map(|(id, description)| format!("call {id}: answer {}", description.escape_ascii()))
        .collect()
}

/// Only the end of an established call has the cause of a normal end, not a refusal or a failure: so the call was
/// established without an answer to its caller.
fn ended_unanswered(history: &History) -> Vec<String> {
    let ended = |call: &Call| call.releases().any(|(_, release_cause)| release_cause == Some(cause::NORMAL));
    let excused =
        |call: &Call| call.left_at.is_some() || call.never_reads || call.connection_ended_at.is_some();
    let violates = |call: &Call| ended(call) && call.answers().count() == 0 && !excused(call);
    history.calls.iter().filter(|(_, call)| violates(call)).map(|(id, _)| format!("call {id}")).collect()
}

/// Checks kept connections only; [`unread_ends_not_redelivered`] checks the ends on others.
fn undelivered_ends(history: &History) -> Vec<String> {
    let exited_at = history.exited_at();
    let late = |attempt: &Attempt| {
        let (written, call) = (attempt.call_ended_at?, history.calls.get(&attempt.id)?);
        let due = history.latest_delivery(written);
        let answered = call.answers().any(|description| attempt.answer.as_deref() == Some(description));
        let excused = !call.on_kept_connection
            || call.connection_ended_at.is_some_and(|ended| ended <= due)
            || exited_at <= due;
        let delivered = call.releases().any(|(at, _)| at <= due);
        let detail = format!("call {}, end written at {written:.3}, received {:?}", attempt.id, call.replies);
        (answered && !excused && !delivered).then_some(detail)
    };
    history.attempts.iter().filter_map(late).collect()
}

fn unknown_calls(history: &History) -> Vec<String> {
    let unknown = history.calls.iter().filter(|(_, call)| !call.sent);
    unknown.map(|(id, call)| format!("call {id:016x}: {:?}", call.replies)).collect()
}

/// Checks only an end that was the last unread message: the gatekeeper cannot tell whether messages before it were read.
fn unread_ends_not_redelivered(history: &History) -> Vec<String> {
    let lost = |(n, connection): (usize, &ClosedConnection)| {
        let id = history.unread_ends(connection.unread.last_chunk::<1>()?).next()?;
        let due = history.latest_delivery(connection.closed_at);
        // Messages that arrive together with the end of the process are read after it.
        let in_time = |at| at <= due || history.exited_at() <= due;
        let read = history.calls.get(&id).is_some_and(|call| call.releases().any(|(at, _)| in_time(at)));
        // Redelivered to a caller that left it unread as well, or that never reads.
        let left_unread_again =
            history.closed_connections[n + 1..].iter().any(|later| later.has_unread_release(id));
        let detail = format!(
            "call {id}, connection closed at {:.3} with unread {:?}",
            connection.closed_at, connection.unread
        );
        (history.can_judge(connection) && !read && !left_unread_again).then_some(detail)
    };
    history.closed_connections.iter().enumerate().filter_map(lost).collect()
}

fn held_past_term(history: &History) -> Vec<String> {
    let idle = |held: &HeldConnection| held.unanswered == 0 && held.standing == 0;
    let in_use = |held: &HeldConnection| held.since_last_set_up_s.is_some_and(|seconds| seconds < IN_USE_S);
    let held_connections = |drain: &Drain| {
        let (at, all) = drain.held_at_term.as_ref()?;
        let held: Vec<&HeldConnection> = all.iter().filter(|held| idle(held) || in_use(held)).collect();
        let detail = format!(
            "drain started at {:.3}, held at {at:.3}: {held:?} of {} connections",
            drain.started_at,
            all.len()
        );
        (!held.is_empty()).then_some(detail)
    };
    history.drains.iter().filter_map(held_connections).collect()
}

fn ready_while_drained(history: &History) -> Vec<String> {
    let reported = |drain: &Drain| {
        Some(format!(
            "drain started at {:.3}, reported to be ready at {:.3}",
            drain.started_at, drain.reported_ready_at?
        ))
    };
    history.drains.iter().filter_map(reported).collect()
}

/// A gatekeeper that received SIGTERM before is never ready again.
fn not_ready_after_drain(history: &History) -> Vec<String> {
    let late = |drain: &Drain| {
        let ended_at = drain.ended_at?;
        let due = ended_at + MAX_READY_AFTER_DRAIN_S + TOLERANCE_S + history.paused_s;
        let known = history.term_sent_at.min(history.exited_at()) > due;
        let in_time = drain.ready_at.is_some_and(|at| at <= due);
        (known && !in_time).then(|| format!("drain ended at {ended_at:.3}, ready at {:?}", drain.ready_at))
    };
    history.drains.iter().filter_map(late).collect()
}

/// The history of a run without violations, with one call of each kind.
fn valid_history() -> History {
    let reply = |at, content| Reply { at, content };
    let replies = vec![
        reply(0.62, ReplyContent::Answer(vec![7])),
        reply(0.92, ReplyContent::Release(Some(cause::NORMAL))),
    ];
    let sent = Call { sent: true, on_kept_connection: true, ..Call::default() };
    let answered = Call { written_at: Some(0.1), replies, ..sent.clone() };
    let cancelled =
        Call { written_at: Some(0.2), left_at: Some(0.3), connection_ended_at: Some(0.3), ..sent.clone() };
    let crossed = Call { written_at: Some(1.0), connection_ended_at: Some(1.04), ..sent.clone() };
    let received = vec![
        reply(0.2, ReplyContent::Answer(vec![8])),
        reply(0.35, ReplyContent::Release(Some(cause::NORMAL))),
    ];
    let unread_end = Call { written_at: Some(0.1), on_kept_connection: false, replies: received, ..sent };
    let unread = vec![(4, ReplyContent::Release(Some(cause::NORMAL)))];
    let connection = ClosedConnection { closed_at: 0.3, unread, ..ClosedConnection::default() };
    let attempt = |id, started_at, ended_at| Attempt {
        id,
        previous_poll_at: started_at,
        started_at,
        ended_at,
        answer: None,
        call_ended_at: None,
    };
    let answered_by_server =
        Attempt { answer: Some(vec![8]), call_ended_at: Some(0.25), ..attempt(4, 0.11, Some(0.15)) };
    let second_attempt =
        Attempt { answer: Some(vec![7]), call_ended_at: Some(0.9), ..attempt(1, 0.5, Some(0.6)) };
    let with_unanswered = HeldConnection { unanswered: 1, standing: 0, since_last_set_up_s: Some(2.1) };
    let with_standing = HeldConnection { unanswered: 0, standing: 1, since_last_set_up_s: Some(2.6) };
    let drain = Drain {
        started_at: 0.1,
        ended_at: Some(6.0),
        ready_at: Some(6.1),
        reported_ready_at: None,
        held_at_term: Some((4.15, vec![with_unanswered, with_standing])),
    };
    History {
        calls: BTreeMap::from([(1, answered), (2, cancelled), (3, crossed), (4, unread_end)]),
        attempts: vec![
            attempt(1, 0.11, Some(0.12)),
            second_attempt,
            attempt(2, 0.35, Some(0.4)),
            answered_by_server,
        ],
        term_sent_at: 0.5,
        deadline: 3.0,
        paused_s: 0.0,
        exit: Some((2.0, true)),
        successor_started_at: None,
        closed_connections: vec![connection],
        kept_open_until: 2.0,
        drains: vec![drain],
    }
}

#[test]
fn a_history_without_faults_violates_no_rule() {
    assert_eq!(find_violations(&valid_history()), []);
}

/// Each rule reports the fault that is injected for it, and no other rule does.
#[test]
fn each_injected_fault_violates_exactly_its_rule() {
    let faults: [fn(&mut History); 13] = [
        |h| h.calls.get_mut(&3).unwrap().connection_ended_at = Some(1.06),
        |h| {
            let replies = &mut h.calls.get_mut(&1).unwrap().replies;
            replies.push(replies[1].clone());
        },
        |h| h.attempts[0].ended_at = Some(0.7),
        |h| h.attempts[2].previous_poll_at = 0.46,
        |h| h.exit = Some((2.0, false)),
        |h| h.calls.get_mut(&1).unwrap().replies[0].content = ReplyContent::Answer(vec![7, 0]),
        |h| drop(h.calls.get_mut(&1).unwrap().replies.remove(0)),
        |h| drop(h.calls.get_mut(&1).unwrap().replies.pop()),
        |h| h.calls.get_mut(&2).unwrap().sent = false,
        |h| drop(h.calls.get_mut(&4).unwrap().replies.pop()),
        |h| h.drains[0].held_at_term.as_mut().unwrap().1[0].since_last_set_up_s = Some(1.9),
        |h| h.drains[0].reported_ready_at = Some(3.0),
        |h| (h.term_sent_at, h.exit, h.drains[0].ready_at) = (9.0, Some((10.0, true)), Some(8.1)),
    ];
    for ((rule, _), inject) in RULES.into_iter().zip(faults) {
        let mut history = valid_history();
        inject(&mut history);
        let found: Vec<&str> = find_violations(&history).iter().map(|violation| violation.rule).collect();
        assert_eq!(found, [rule]);
    }
    let late_exit = History { exit: Some((4.3, true)), ..valid_history() };
    assert_eq!(find_violations(&late_exit).len(), 1);
}

/// The rules that are violated once the valid history is changed.
#[cfg(test)]
fn violated_rules(change: fn(&mut History)) -> Vec<&'static str> {
    let mut history = valid_history();
    change(&mut history);
    find_violations(&history).iter().map(|violation| violation.rule).collect()
}

/// Guards against a check that counts an end as delivered although it was left unread once more and not redelivered, or
/// that excuses an end that was the last unread message.
#[test]
fn an_end_left_unread_again_must_be_redelivered_again() {
    let left_twice: fn(&mut History) = |h| {
        h.closed_connections.push(ClosedConnection { closed_at: 0.34, ..h.closed_connections[0].clone() });
        h.closed_connections.push(ClosedConnection { closed_at: 0.345, ..h.closed_connections[0].clone() });
    };
    assert_eq!(violated_rules(left_twice), [""; 0]);
    let never_redelivered: fn(&mut History) = |h| {
        h.closed_connections.push(ClosedConnection { closed_at: 0.34, ..h.closed_connections[0].clone() });
        h.calls.get_mut(&4).unwrap().replies.pop();
    };
    assert_eq!(
        violated_rules(never_redelivered),
        ["an end left unread is redelivered to a connected caller"]
    );
    let late: fn(&mut History) = |h| h.calls.get_mut(&4).unwrap().replies[1].at = 1.36;
    assert_eq!(violated_rules(late), ["an end left unread is redelivered to a connected caller"]);
    let exited_before: fn(&mut History) = |h| {
        h.exit = Some((1.0, true));
        h.calls.get_mut(&4).unwrap().replies.pop();
    };
    assert_eq!(violated_rules(exited_before), ["an end left unread is redelivered to a connected caller"]);
    let failed_call: fn(&mut History) = |h| {
        h.closed_connections[0].unread[0].1 = ReplyContent::Release(Some(cause::TEMPORARY_FAILURE));
        h.calls.get_mut(&4).unwrap().replies.pop();
    };
    assert_eq!(violated_rules(failed_call), ["an end left unread is redelivered to a connected caller"]);
}

/// Guards against a check that demands the impossible: a redelivery by a process that cannot tell which of several ends
/// were unread, that may not have accepted the connection, or that ended or lost its callers too early.
#[test]
fn an_unread_end_that_cannot_be_redelivered_is_excused() {
    let lose_end: fn(&mut History) = |h| drop(h.calls.get_mut(&4).unwrap().replies.pop());
    let excuses: [fn(&mut History); 5] = [
        |h| h.closed_connections[0].unread.push((1, ReplyContent::Release(Some(cause::NORMAL)))),
        |h| h.successor_started_at = Some(0.0),
        |h| h.exit = Some((0.6, true)),
        |h| h.kept_open_until = 0.6,
        |h| h.paused_s = 1.4,
    ];
    for excuse in excuses {
        let mut history = valid_history();
        lose_end(&mut history);
        excuse(&mut history);
        assert_eq!(find_violations(&history), []);
    }
    let mut history = valid_history();
    assert_eq!(UnreadEnds::of(&history), UnreadEnds { judged: 1, ..UnreadEnds::default() });
    excuses[0](&mut history);
    assert_eq!(UnreadEnds::of(&history), UnreadEnds { judged: 1, before_last: 1, ..UnreadEnds::default() });
    excuses[1](&mut history);
    assert_eq!(UnreadEnds::of(&history), UnreadEnds { unjudged: 1, before_last: 1, ..UnreadEnds::default() });
}

/// Guards against a check that excuses a second end for any reason but a reset by its caller, or more ends than one per
/// reset.
#[test]
fn an_end_may_come_once_more_only_after_a_reset_by_its_caller() {
    let repeat_end: fn(&mut History) = |h| {
        let replies = &mut h.calls.get_mut(&4).unwrap().replies;
        replies.push(replies[1].clone());
    };
    assert_eq!(violated_rules(repeat_end), ["a call has one final answer"]);
    let violations_after_reset = |times: usize| {
        let mut history = valid_history();
        history.closed_connections[0] = ClosedConnection {
            closed_at: 0.3,
            ends_read_before_reset: vec![4],
            ..ClosedConnection::default()
        };
        (0..times).for_each(|_| repeat_end(&mut history));
        find_violations(&history).len()
    };
    assert_eq!((violations_after_reset(1), violations_after_reset(2)), (0, 1));
}

/// Guards against a check that accepts an idle connection past the term, or rejects one with a standing call.
#[test]
fn a_connection_held_past_the_drain_term_violates_the_rule_only_without_a_call() {
    let idle: fn(&mut History) = |h| h.drains[0].held_at_term.as_mut().unwrap().1[1].standing = 0;
    assert_eq!(violated_rules(idle), ["a drained gatekeeper holds no connection idle or in use at its term"]);
    let never_asked: fn(&mut History) =
        |h| h.drains[0].held_at_term.as_mut().unwrap().1[1].since_last_set_up_s = None;
    assert_eq!(violated_rules(never_asked), [""; 0]);
}
