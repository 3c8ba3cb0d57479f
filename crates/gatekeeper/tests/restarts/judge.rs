//! What callers and servers saw of one run, and the rules of the platform that it is held against.

use std::collections::BTreeMap;

use hollypaddle_platform::message::cause;

/// A set-up that crosses the close of its connection by less is sent again by its caller, and is not lost.
const CROSSING: f64 = 0.05;
/// No attempt begins so long after its caller has closed or cancelled; the sockets' slack is in it.
const AFTER_LEAVING: f64 = 0.15;
/// Two attempts that overlap by less are one after the other, as seen from two sides.
const SLACK: f64 = 0.05;
/// The end of a call that stood reaches its caller so long after its server has written it.
const END_TOLD: f64 = 1.0;
/// SIGKILL comes once the longest deadline, counted as 3 s where it is shorter, and this have passed.
pub const KILL_AFTER: f64 = 0.7;

/// A set-up, as its caller saw it. Times are seconds of the run.
#[derive(Clone, Debug, Default)]
pub struct Call {
    /// When its last byte was written.
    pub written: Option<f64>,
    /// When its caller closed or cancelled.
    pub left: Option<f64>,
    /// Its caller does not read.
    pub deaf: bool,
    /// Its connection stays open after an answer.
    pub kept: bool,
    /// It was sent; else something was said of a call that nobody asked for.
    pub sent: bool,
    /// What its caller heard of it, in order.
    pub replies: Vec<Reply>,
    /// When its connection was last seen open, before it ended without one of them.
    pub ended: Option<f64>,
}

impl Call {
    /// The descriptions of the answers that its caller heard.
    fn answers(&self) -> impl Iterator<Item = &[u8]> {
        self.replies.iter().filter_map(|reply| match &reply.what {
            What::Answer(description) => Some(&description[..]),
            What::Release(_) => None,
        })
    }

    /// The releases that its caller heard: when, and with which cause.
    fn releases(&self) -> impl Iterator<Item = (f64, Option<u8>)> + '_ {
        self.replies.iter().filter_map(|reply| match reply.what {
            What::Release(why) => Some((reply.at, why)),
            What::Answer(_) => None,
        })
    }
}

/// Something that a caller heard of its call.
#[derive(Clone, Debug, PartialEq)]
pub struct Reply {
    /// When it was read.
    pub at: f64,
    /// What it was.
    pub what: What,
}

/// What a caller can hear.
#[derive(Clone, Debug, PartialEq)]
pub enum What {
    /// The call stands, with this description.
    Answer(Vec<u8>),
    /// A refusal, a failure, or the end of a call that stood: the cause.
    Release(Option<u8>),
}

/// An attempt, as its server saw it.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The call.
    pub id: u64,
    /// When it was looked for in vain for the last time, and when it had arrived whole.
    pub after: f64,
    /// The latter.
    pub begun: f64,
    /// When its end was written, it was given up or its connection ended.
    pub ended: Option<f64>,
    /// The description of the answer that was written whole.
    pub answer: Option<Vec<u8>>,
    /// When the end of the call, which stood, was written.
    pub call_ended: Option<f64>,
}

/// One run.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// By id.
    pub calls: BTreeMap<u64, Call>,
    /// In the order of their beginnings.
    pub attempts: Vec<Attempt>,
    /// When SIGTERM was sent.
    pub term: f64,
    /// The longest deadline.
    pub deadline: f64,
    /// For how long the process was paused, in all.
    pub paused: f64,
    /// When the process ended, and whether with exit code 0; none where it had to be killed.
    pub exit: Option<(f64, bool)>,
}

/// A rule, and what broke it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Broken {
    /// The rule.
    pub rule: &'static str,
    /// What broke it.
    pub what: String,
}

type Check = fn(&History) -> Vec<String>;

/// The rules by name.
pub const RULES: [(&str, Check); 9] = [
    ("a set-up that was taken is answered", unanswered),
    ("a call has one final answer", answered_twice),
    ("one attempt of a call is out at a time", two_out),
    ("no attempt begins for a caller that left", begun_after_leaving),
    ("the process ends by itself with exit code 0 before it would be killed", bad_exit),
    ("an answer is one that a server made for the call", made_up),
    ("a call that stands is answered before its end", ended_unanswered),
    ("the end of a call reaches its caller in time", end_not_told),
    ("nothing is said of a call that nobody asked for", of_nobodys_call),
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
    let twice = |call: &Call| call.answers().count() > 1 || call.releases().count() > 1;
    let told = |(id, call): (&u64, &Call)| twice(call).then(|| format!("call {id}: {:?}", call.replies));
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

/// Of connections that their callers keep open: an end that is written to one that closes may be lost, see KNOWN-RED.txt.
fn end_not_told(history: &History) -> Vec<String> {
    let over = history.exit.map_or(f64::INFINITY, |(at, _)| at);
    let late = |attempt: &Attempt| {
        let (written, call) = (attempt.call_ended?, history.calls.get(&attempt.id)?);
        let due = written + END_TOLD + SLACK + history.paused;
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

/// A run without fault, with one call of each kind.
fn sound() -> History {
    let reply = |at, what| Reply { at, what };
    let replies = vec![reply(0.62, What::Answer(vec![7])), reply(0.92, What::Release(Some(cause::NORMAL)))];
    let sent = Call { sent: true, kept: true, ..Call::default() };
    let answered = Call { written: Some(0.1), replies, ..sent.clone() };
    let left = Call { written: Some(0.2), left: Some(0.3), ended: Some(0.3), ..sent.clone() };
    let crossed = Call { written: Some(1.0), ended: Some(1.04), ..sent };
    let attempt =
        |id, begun, ended| Attempt { id, after: begun, begun, ended, answer: None, call_ended: None };
    let stood = Attempt { answer: Some(vec![7]), call_ended: Some(0.9), ..attempt(1, 0.5, Some(0.6)) };
    History {
        calls: BTreeMap::from([(1, answered), (2, left), (3, crossed)]),
        attempts: vec![attempt(1, 0.11, Some(0.12)), stood, attempt(2, 0.35, Some(0.4))],
        term: 0.5,
        deadline: 3.0,
        paused: 0.0,
        exit: Some((2.0, true)),
    }
}

#[test]
fn a_run_without_fault_breaks_no_rule() {
    assert_eq!(judge(&sound()), []);
}

/// Each rule finds the fault that is planted for it, and no other rule does.
#[test]
fn faults_put_in_on_purpose_are_found() {
    let planted: [fn(&mut History); 9] = [
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
