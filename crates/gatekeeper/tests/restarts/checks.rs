//! The rules of the platform that the history of a run is held against.

use std::collections::BTreeMap;

use hollypaddle_platform::message::cause;

use crate::history::{Attempt, Call, Departure, Drain, Held, History};
#[cfg(test)]
use crate::history::{Reply, What};

/// A set-up that crosses the close of its connection by less is sent again by its caller, and is not lost.
const CROSSING: f64 = 0.05;
/// No attempt begins so long after its caller has closed or cancelled; the sockets' slack is in it.
const AFTER_LEAVING: f64 = 0.15;
/// Two attempts that overlap by less are one after the other, as seen from two sides.
pub const SLACK: f64 = 0.05;
/// The end of a call that stood reaches its caller so long after its server has written it.
const END_TOLD: f64 = 1.0;
/// A process that ends by itself tells before that what was left unread so long before.
const LEFT_BEFORE_OVER: f64 = 0.3;
/// A drained gatekeeper holds no connection idle, or with a request of the last [`IN_USE`], so long after the drain began.
pub const TERM: f64 = 4.0;
const IN_USE: f64 = 2.0;
/// It is ready so long after the end of a drain.
const READY_AFTER: f64 = 2.0;
/// SIGKILL comes once the longest deadline, counted as 3 s where it is shorter, and this have passed.
pub const KILL_AFTER: f64 = 0.7;

/// A rule, and what broke it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Broken {
    /// The rule.
    pub rule: &'static str,
    /// What broke it.
    pub what: String,
}

impl History {
    /// Whether an end that was left at a departure can be judged: its process is known, and it ran on with callers there.
    fn judged(&self, departure: &Departure) -> bool {
        // Which process a caller came to is not known while two listen.
        let known = self.successor.is_none_or(|at| departure.connected < at);
        known && self.kept_until.min(self.over()) > departure.closed + LEFT_BEFORE_OVER + self.paused
    }

    /// When the process ended.
    fn over(&self) -> f64 {
        self.exit.map_or(f64::INFINITY, |(at, _)| at)
    }

    /// When an end is told at the latest that could be told from this moment on.
    fn due(&self, since: f64) -> f64 {
        since + END_TOLD + SLACK + self.paused
    }
}

/// Ends that callers left unread as they closed, by their place there.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EndsLeft {
    /// Last, and held against the rule.
    pub judged: usize,
    /// Last, where the run was over too soon, or two processes listened.
    pub unjudged: usize,
    /// Before the last message: a gatekeeper has no evidence that they were unread.
    pub before_last: usize,
}

impl EndsLeft {
    /// Those of one run.
    pub fn of(history: &History) -> EndsLeft {
        let mut left = EndsLeft::default();
        for departure in history.departures.iter().filter(|departure| departure.closed.is_finite()) {
            let Some((last, before)) = departure.unread.split_last() else { continue };
            left.before_last += history.ends(before).count();
            let last = history.ends(std::slice::from_ref(last)).count();
            let judged = history.judged(departure);
            *(if judged { &mut left.judged } else { &mut left.unjudged }) += last;
        }
        left
    }

    /// Both together.
    pub fn and(self, other: EndsLeft) -> EndsLeft {
        EndsLeft {
            judged: self.judged + other.judged,
            unjudged: self.unjudged + other.unjudged,
            before_last: self.before_last + other.before_last,
        }
    }
}

type Check = fn(&History) -> Vec<String>;

/// The rules by name.
pub const RULES: [(&str, Check); 13] = [
    ("a set-up that was taken is answered", unanswered),
    ("a call has one final answer", answered_twice),
    ("one attempt of a call is out at a time", two_out),
    ("no attempt begins for a caller that left", begun_after_leaving),
    ("the process ends by itself with exit code 0 before it would be killed", bad_exit),
    ("an answer is one that a server made for the call", made_up),
    ("a call that stands is answered before its end", ended_unanswered),
    ("the end of a call reaches its caller in time", end_not_told),
    ("nothing is said of a call that nobody asked for", of_nobodys_call),
    ("an end left unread is told to a caller that is there", left_end_not_told),
    ("a drained gatekeeper holds no connection idle or in use at its term", held_past_term),
    ("a drained gatekeeper does not say that it is ready", ready_while_drained),
    ("a gatekeeper is ready in time after a drain", late_after_drain),
];

/// What breaks a rule.
pub fn judge(history: &History) -> Vec<Broken> {
    let broken = |(rule, check): (&'static str, Check)| {
        check(history).into_iter().map(move |what| Broken { rule, what })
    };
    RULES.into_iter().flat_map(broken).collect()
}

fn unanswered(history: &History) -> Vec<String> {
    let lost = |(id, call): (&u64, &Call)| {
        let written = call.written?;
        let excused = call.left.is_some() || call.deaf || !call.replies.is_empty();
        let crossed = call.ended.is_some_and(|ended| ended - written <= CROSSING);
        let what = format!("call {id}, written at {written:.3}, connection ended {:?}", call.ended);
        (!excused && !crossed).then_some(what)
    };
    history.calls.iter().filter_map(lost).collect()
}

fn answered_twice(history: &History) -> Vec<String> {
    // A reset that a caller makes by itself looks like one by something unread.
    let aborted =
        |id: &u64| history.departures.iter().filter(|departure| departure.aborted.contains(id)).count();
    let twice =
        |id: &u64, call: &Call| call.answers().count() > 1 || call.releases().count() > 1 + aborted(id);
    let told = |(id, call): (&u64, &Call)| twice(id, call).then(|| format!("call {id}: {:?}", call.replies));
    history.calls.iter().filter_map(told).collect()
}

fn two_out(history: &History) -> Vec<String> {
    let mut out: BTreeMap<u64, f64> = BTreeMap::new();
    let mut broken = Vec::new();
    for attempt in &history.attempts {
        if out.get(&attempt.id).is_some_and(|until| attempt.begun + SLACK < *until) {
            broken.push(format!("call {} at {:.3}", attempt.id, attempt.begun));
        }
        out.insert(attempt.id, attempt.ended.unwrap_or(f64::INFINITY));
    }
    broken
}

fn begun_after_leaving(history: &History) -> Vec<String> {
    let late = |attempt: &Attempt| {
        let left = history.calls.get(&attempt.id)?.left?;
        let what = format!("call {}, left at {left:.3}, begun at {:.3}", attempt.id, attempt.begun);
        (attempt.after > left + AFTER_LEAVING).then_some(what)
    };
    history.attempts.iter().filter_map(late).collect()
}

fn bad_exit(history: &History) -> Vec<String> {
    let kill = history.term + history.deadline.max(3.0) + KILL_AFTER;
    match history.exit {
        Some((at, true)) if at <= kill => Vec::new(),
        exit => vec![format!("SIGTERM at {:.3}, ended {exit:?}", history.term)],
    }
}

fn made_up(history: &History) -> Vec<String> {
    let made = |id: u64, heard: &[u8]| {
        let mut attempts = history.attempts.iter().filter(|attempt| attempt.id == id);
        attempts.any(|attempt| attempt.answer.as_deref() == Some(heard))
    };
    let calls = history.calls.iter().flat_map(|(id, call)| call.answers().map(move |heard| (*id, heard)));
    calls
        .filter(|(id, heard)| !made(*id, heard))
        .map(|(id, heard)| format!("call {id}: {}", heard.escape_ascii()))
        .collect()
}

/// The cause of a normal end, which no refusal and no failure has: the call stood, and its caller was not told.
fn ended_unanswered(history: &History) -> Vec<String> {
    let ended = |call: &Call| call.releases().any(|(_, why)| why == Some(cause::NORMAL));
    let excused = |call: &Call| call.left.is_some() || call.deaf || call.ended.is_some();
    let broken = |call: &Call| ended(call) && call.answers().count() == 0 && !excused(call);
    history.calls.iter().filter(|(_, call)| broken(call)).map(|(id, _)| format!("call {id}")).collect()
}

/// Of connections that their callers keep open; what becomes of ends on others is judged by [`left_end_not_told`].
fn end_not_told(history: &History) -> Vec<String> {
    let over = history.over();
    let late = |attempt: &Attempt| {
        let (written, call) = (attempt.call_ended?, history.calls.get(&attempt.id)?);
        let due = history.due(written);
        let answered = call.answers().any(|heard| attempt.answer.as_deref() == Some(heard));
        let excused = !call.kept || call.ended.is_some_and(|ended| ended <= due) || over <= due;
        let told = call.releases().any(|(at, _)| at <= due);
        let what = format!("call {}, ended at {written:.3}: {:?}", attempt.id, call.replies);
        (answered && !excused && !told).then_some(what)
    };
    history.attempts.iter().filter_map(late).collect()
}

fn of_nobodys_call(history: &History) -> Vec<String> {
    let unknown = history.calls.iter().filter(|(_, call)| !call.sent);
    unknown.map(|(id, call)| format!("call {id:016x}: {:?}", call.replies)).collect()
}

/// An end that was the last message unread: an end before that may have been read, as far as its gatekeeper can tell.
fn left_end_not_told(history: &History) -> Vec<String> {
    let lost = |(n, departure): (usize, &Departure)| {
        let id = history.ends(departure.unread.last_chunk::<1>()?).next()?;
        let due = history.due(departure.closed);
        // What came together with the end of the process is read after it.
        let in_time = |at| at <= due || history.over() <= due;
        let read = history.calls.get(&id).is_some_and(|call| call.releases().any(|(at, _)| in_time(at)));
        // Told to one that left it unread in its turn, or never reads.
        let left_again = history.departures[n + 1..].iter().any(|later| later.left_release(id));
        let what = format!("call {id}, left at {:.3} with {:?}", departure.closed, departure.unread);
        (history.judged(departure) && !read && !left_again).then_some(what)
    };
    history.departures.iter().enumerate().filter_map(lost).collect()
}

fn held_past_term(history: &History) -> Vec<String> {
    let idle = |held: &Held| held.open == 0 && held.standing == 0;
    let in_use = |held: &Held| held.asked_ago.is_some_and(|ago| ago < IN_USE);
    let judge = |drain: &Drain| {
        let (at, all) = drain.term.as_ref()?;
        let held: Vec<&Held> = all.iter().filter(|held| idle(held) || in_use(held)).collect();
        let what = format!("on at {:.3}, held at {at:.3}: {held:?} of {}", drain.on, all.len());
        (!held.is_empty()).then_some(what)
    };
    history.drains.iter().filter_map(judge).collect()
}

fn ready_while_drained(history: &History) -> Vec<String> {
    let said = |drain: &Drain| {
        Some(format!("on at {:.3}, said that it is ready at {:.3}", drain.on, drain.said_yes?))
    };
    history.drains.iter().filter_map(said).collect()
}

/// One that was stopped before is never ready again.
fn late_after_drain(history: &History) -> Vec<String> {
    let late = |drain: &Drain| {
        let off = drain.off?;
        let due = off + READY_AFTER + SLACK + history.paused;
        let known = history.term.min(history.over()) > due;
        let in_time = drain.ready.is_some_and(|at| at <= due);
        (known && !in_time).then(|| format!("off at {off:.3}, ready {:?}", drain.ready))
    };
    history.drains.iter().filter_map(late).collect()
}

/// A run without fault, with one call of each kind.
fn sound() -> History {
    let reply = |at, what| Reply { at, what };
    let replies = vec![reply(0.62, What::Answer(vec![7])), reply(0.92, What::Release(Some(cause::NORMAL)))];
    let sent = Call { sent: true, kept: true, ..Call::default() };
    let answered = Call { written: Some(0.1), replies, ..sent.clone() };
    let left = Call { written: Some(0.2), left: Some(0.3), ended: Some(0.3), ..sent.clone() };
    let crossed = Call { written: Some(1.0), ended: Some(1.04), ..sent.clone() };
    let heard = vec![reply(0.2, What::Answer(vec![8])), reply(0.35, What::Release(Some(cause::NORMAL)))];
    let end_left = Call { written: Some(0.1), kept: false, replies: heard, ..sent };
    let unread = vec![(4, What::Release(Some(cause::NORMAL)))];
    let departure = Departure { closed: 0.3, unread, ..Departure::default() };
    let attempt =
        |id, begun, ended| Attempt { id, after: begun, begun, ended, answer: None, call_ended: None };
    let left_at_its_end =
        Attempt { answer: Some(vec![8]), call_ended: Some(0.25), ..attempt(4, 0.11, Some(0.15)) };
    let stood = Attempt { answer: Some(vec![7]), call_ended: Some(0.9), ..attempt(1, 0.5, Some(0.6)) };
    let waits = Held { open: 1, standing: 0, asked_ago: Some(2.1) };
    let stands = Held { open: 0, standing: 1, asked_ago: Some(2.6) };
    let drain = Drain {
        on: 0.1,
        off: Some(6.0),
        ready: Some(6.1),
        said_yes: None,
        term: Some((4.15, vec![waits, stands])),
    };
    History {
        calls: BTreeMap::from([(1, answered), (2, left), (3, crossed), (4, end_left)]),
        attempts: vec![attempt(1, 0.11, Some(0.12)), stood, attempt(2, 0.35, Some(0.4)), left_at_its_end],
        term: 0.5,
        deadline: 3.0,
        paused: 0.0,
        exit: Some((2.0, true)),
        successor: None,
        departures: vec![departure],
        kept_until: 2.0,
        drains: vec![drain],
    }
}

#[test]
fn a_run_without_fault_breaks_no_rule() {
    assert_eq!(judge(&sound()), []);
}

/// Each rule finds the fault that is planted for it, and no other rule does.
#[test]
fn faults_put_in_on_purpose_are_found() {
    let planted: [fn(&mut History); 13] = [
        |h| h.calls.get_mut(&3).unwrap().ended = Some(1.06),
        |h| {
            let replies = &mut h.calls.get_mut(&1).unwrap().replies;
            replies.push(replies[1].clone());
        },
        |h| h.attempts[0].ended = Some(0.7),
        |h| h.attempts[2].after = 0.46,
        |h| h.exit = Some((2.0, false)),
        |h| h.calls.get_mut(&1).unwrap().replies[0].what = What::Answer(vec![7, 0]),
        |h| drop(h.calls.get_mut(&1).unwrap().replies.remove(0)),
        |h| drop(h.calls.get_mut(&1).unwrap().replies.pop()),
        |h| h.calls.get_mut(&2).unwrap().sent = false,
        |h| drop(h.calls.get_mut(&4).unwrap().replies.pop()),
        |h| h.drains[0].term.as_mut().unwrap().1[0].asked_ago = Some(1.9),
        |h| h.drains[0].said_yes = Some(3.0),
        |h| (h.term, h.exit, h.drains[0].ready) = (9.0, Some((10.0, true)), Some(8.1)),
    ];
    for ((rule, _), plant) in RULES.into_iter().zip(planted) {
        let mut history = sound();
        plant(&mut history);
        let found: Vec<&str> = judge(&history).iter().map(|broken| broken.rule).collect();
        assert_eq!(found, [rule]);
    }
    let late = History { exit: Some((4.3, true)), ..sound() };
    assert_eq!(judge(&late).len(), 1);
}

/// The rules that are broken once the sound run is changed.
#[cfg(test)]
fn broken_by(change: fn(&mut History)) -> Vec<&'static str> {
    let mut history = sound();
    change(&mut history);
    judge(&history).iter().map(|broken| broken.rule).collect()
}

/// Guards against ends taken for told as they were unread once more, and against any end excused that was the last message.
#[test]
fn an_end_that_is_left_again_is_due_again() {
    let chain: fn(&mut History) = |h| {
        h.departures.push(Departure { closed: 0.34, ..h.departures[0].clone() });
        h.departures.push(Departure { closed: 0.345, ..h.departures[0].clone() });
    };
    assert_eq!(broken_by(chain), [""; 0]);
    let unheard: fn(&mut History) = |h| {
        h.departures.push(Departure { closed: 0.34, ..h.departures[0].clone() });
        h.calls.get_mut(&4).unwrap().replies.pop();
    };
    assert_eq!(broken_by(unheard), ["an end left unread is told to a caller that is there"]);
    let late: fn(&mut History) = |h| h.calls.get_mut(&4).unwrap().replies[1].at = 1.36;
    assert_eq!(broken_by(late), ["an end left unread is told to a caller that is there"]);
    let over_before: fn(&mut History) = |h| {
        h.exit = Some((1.0, true));
        h.calls.get_mut(&4).unwrap().replies.pop();
    };
    assert_eq!(broken_by(over_before), ["an end left unread is told to a caller that is there"]);
    let cut: fn(&mut History) = |h| {
        h.departures[0].unread[0].1 = What::Release(Some(cause::TEMPORARY_FAILURE));
        h.calls.get_mut(&4).unwrap().replies.pop();
    };
    assert_eq!(broken_by(cut), ["an end left unread is told to a caller that is there"]);
}

/// Guards against a rule that asks for what nobody can know or do: which of several unread ends were unread, who came to which
/// of two processes, or what would have been told after the end of the process or of its callers.
#[test]
fn an_end_that_cannot_be_told_is_excused() {
    let lose: fn(&mut History) = |h| drop(h.calls.get_mut(&4).unwrap().replies.pop());
    let excuses: [fn(&mut History); 5] = [
        |h| h.departures[0].unread.push((1, What::Release(Some(cause::NORMAL)))),
        |h| h.successor = Some(0.0),
        |h| h.exit = Some((0.6, true)),
        |h| h.kept_until = 0.6,
        |h| h.paused = 1.4,
    ];
    for excuse in excuses {
        let mut history = sound();
        lose(&mut history);
        excuse(&mut history);
        assert_eq!(judge(&history), []);
    }
    let mut history = sound();
    assert_eq!(EndsLeft::of(&history), EndsLeft { judged: 1, ..EndsLeft::default() });
    excuses[0](&mut history);
    assert_eq!(EndsLeft::of(&history), EndsLeft { judged: 1, before_last: 1, ..EndsLeft::default() });
    excuses[1](&mut history);
    assert_eq!(EndsLeft::of(&history), EndsLeft { unjudged: 1, before_last: 1, ..EndsLeft::default() });
}

/// Guards against an end told twice that is excused for anything but a reset by its caller, or for more than one.
#[test]
fn only_an_end_whose_caller_reset_its_connection_may_come_once_more() {
    let twice: fn(&mut History) = |h| {
        let replies = &mut h.calls.get_mut(&4).unwrap().replies;
        replies.push(replies[1].clone());
    };
    assert_eq!(broken_by(twice), ["a call has one final answer"]);
    let aborted = |times: usize| {
        let mut history = sound();
        history.departures[0] = Departure { closed: 0.3, aborted: vec![4], ..Departure::default() };
        (0..times).for_each(|_| twice(&mut history));
        judge(&history).len()
    };
    assert_eq!((aborted(1), aborted(2)), (0, 1));
}

/// Guards against a connection taken for needed on which nothing waits or stands, and against one held for what stands.
#[test]
fn a_connection_is_held_past_the_term_idle_but_not_with_a_call() {
    let idle: fn(&mut History) = |h| h.drains[0].term.as_mut().unwrap().1[1].standing = 0;
    assert_eq!(broken_by(idle), ["a drained gatekeeper holds no connection idle or in use at its term"]);
    let never_asked: fn(&mut History) = |h| h.drains[0].term.as_mut().unwrap().1[1].asked_ago = None;
    assert_eq!(broken_by(never_asked), [""; 0]);
}
