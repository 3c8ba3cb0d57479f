//! What callers and servers saw of one run, and the rules of the platform that it is held against.

use std::collections::BTreeMap;

/// A set-up that crosses the close of its connection by less is sent again by its caller, and is not lost.
const CROSSING: f64 = 0.05;
/// No attempt begins so long after its caller has closed or cancelled; the sockets' slack is in it.
const AFTER_LEAVING: f64 = 0.15;
/// Two attempts that overlap by less are one after the other, as seen from two sides.
const SLACK: f64 = 0.05;
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
    /// Answers, by which it stands.
    pub answers: usize,
    /// Releases: a refusal, a failure, or the end of a call that stood.
    pub releases: usize,
    /// When its connection was last seen open, before it ended without one of them.
    pub ended: Option<f64>,
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
pub const RULES: [(&str, Check); 5] = [
    ("a set-up that was taken is answered", unanswered),
    ("a call has one final answer", answered_twice),
    ("one attempt of a call is out at a time", two_out),
    ("no attempt begins for a caller that left", begun_after_leaving),
    ("the process ends by itself with exit code 0 before it would be killed", bad_exit),
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
        let excused = call.left.is_some() || call.deaf || call.answers + call.releases > 0;
        let crossed = call.ended.is_some_and(|ended| ended - written <= CROSSING);
        let what = format!("call {id}, written at {written:.3}, connection ended {:?}", call.ended);
        (!excused && !crossed).then_some(what)
    };
    history.calls.iter().filter_map(lost).collect()
}

fn answered_twice(history: &History) -> Vec<String> {
    let twice = history.calls.iter().filter(|(_, call)| call.answers > 1 || call.releases > 1);
    twice
        .map(|(id, call)| format!("call {id}: {} answers, {} releases", call.answers, call.releases))
        .collect()
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

/// A run without fault, with one call of each kind.
fn sound() -> History {
    let answered = Call { written: Some(0.1), answers: 1, releases: 1, ..Call::default() };
    let left = Call { written: Some(0.2), left: Some(0.3), ended: Some(0.3), ..Call::default() };
    let crossed = Call { written: Some(1.0), ended: Some(1.04), ..Call::default() };
    let attempt = |id, begun, ended| Attempt { id, after: begun, begun, ended };
    History {
        calls: BTreeMap::from([(1, answered), (2, left), (3, crossed)]),
        attempts: vec![attempt(1, 0.11, Some(0.12)), attempt(1, 0.5, Some(0.6)), attempt(2, 0.35, Some(0.4))],
        term: 0.5,
        deadline: 3.0,
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
    let planted: [fn(&mut History); 5] = [
        |h| h.calls.get_mut(&3).unwrap().ended = Some(1.06),
        |h| h.calls.get_mut(&1).unwrap().releases = 2,
        |h| h.attempts[0].ended = Some(0.7),
        |h| h.attempts[2].after = 0.46,
        |h| h.exit = Some((2.0, false)),
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
