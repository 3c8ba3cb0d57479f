//! What must hold, over the record of what happened. Each invariant is one function with the rule's words; the
//! deterministic world, real processes and `make faults` are held to the same ones.

use std::collections::{BTreeMap, BTreeSet};

/// So long after the last trouble everybody knows who is gone, and its calls are seen to by others, in seconds.
const SETTLES: f64 = 4.0;

/// Something that happened, as callers, servers and the script saw it; nothing that a gatekeeper says of itself.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum What {
    /// A call stands for its caller, through this gatekeeper.
    Stood(u64, usize),
    /// A server told the end of a call.
    Ended(u64),
    /// A caller heard of the end of a call, from this gatekeeper.
    Told(u64, usize),
    /// A call of which the standing or the end was known to one gatekeeper alone, that was killed so soon after, or
    /// while it was cut off.
    Unshared(u64),
    /// A gatekeeper was killed.
    Killed(usize),
    /// It was started.
    Started(usize),
    /// It was paused.
    Paused(usize),
    /// It was woken.
    Woken(usize),
    /// A link was cut, delayed or dropped.
    Faulted,
    /// All is mended.
    Healed,
}

/// What happened, by time.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// When, and what.
    pub events: Vec<(f64, What)>,
}

/// An invariant that did not hold: the rule's words, and what broke it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Broken(pub &'static str, pub String);

impl std::fmt::Display for Broken {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}: {}", self.0, self.1)
    }
}

/// Whether it is of a call, and no trouble.
pub(crate) fn of_calls(what: &What) -> bool {
    matches!(what, What::Stood(..) | What::Ended(_) | What::Told(..) | What::Unshared(_))
}

impl History {
    /// Something happened.
    pub fn push(&mut self, at: f64, what: What) {
        self.events.push((at, what));
    }

    fn first(&self, of: impl Fn(&What) -> Option<u64>) -> BTreeMap<u64, f64> {
        let mut first = BTreeMap::new();
        for (at, what) in &self.events {
            if let Some(id) = of(what) {
                first.entry(id).or_insert(*at);
            }
        }
        first
    }

    /// Whether everybody who lives is awake and reaches everybody, and nothing happened for a while. One that was
    /// killed and stays away is no trouble any more: others see to its calls.
    fn calm_since(&self, at: f64, settled: f64) -> bool {
        let before = || self.events.iter().filter(|(t, _)| *t <= at);
        let last = |of: fn(&What) -> bool| {
            before().filter(|(_, w)| of(w)).map(|e| e.0).fold(f64::NEG_INFINITY, f64::max)
        };
        let healed = last(|w| *w == What::Healed);
        let faulted = last(|w| matches!(w, What::Faulted | What::Paused(_)));
        let quiet = !before().any(|(t, w)| !of_calls(w) && at - *t < settled);
        quiet && faulted <= healed
    }
}

/// Every end that a server tells is told to the caller within 1 s, but for calls that were known to nobody else when
/// their gatekeeper was killed. In trouble, it is told within `late` of its end.
pub fn every_end_is_told(history: &History, late: f64) -> Vec<Broken> {
    let stood = history.first(|w| if let What::Stood(id, _) = w { Some(*id) } else { None });
    let told = history.first(|w| if let What::Told(id, _) = w { Some(*id) } else { None });
    let last = history.events.last().map_or(0.0, |e| e.0);
    let unshared = history.first(|w| if let What::Unshared(id) = w { Some(*id) } else { None });
    let mut broken = Vec::new();
    for (at, what) in &history.events {
        let What::Ended(id) = what else { continue };
        let calm = history.calm_since(*at, SETTLES) && history.calm_since(*at + 1.0, 1.0);
        let within = if calm { 1.0 } else { late + lasts_trouble(history, *at) };
        if unshared.contains_key(id) || !stood.contains_key(id) || last - at < within {
            continue;
        }
        match told.get(id) {
            Some(heard) if heard - at <= within => {}
            Some(heard) => broken.push(Broken(
                "every end that a server tells is told to the caller in time",
                format!("call {id:x} ended at {at:.2}, told {:.2} s later, within {within:.1}", heard - at),
            )),
            None => broken.push(Broken(
                "every end that a server tells is told to the caller",
                format!("call {id:x} ended at {at:.2}, never told"),
            )),
        }
    }
    broken
}

/// How long after a time the trouble goes on.
fn lasts_trouble(history: &History, from: f64) -> f64 {
    let trouble = |w: &What| !of_calls(w);
    history.events.iter().filter(|(t, w)| trouble(w) && *t > from).map(|(t, _)| t - from).fold(0.0, f64::max)
}

/// No caller is told the end of a call that has not ended.
pub fn no_end_is_made_up(history: &History) -> Vec<Broken> {
    let ended = history.first(|w| if let What::Ended(id) = w { Some(*id) } else { None });
    let mut broken = Vec::new();
    for (at, what) in &history.events {
        let What::Told(id, by) = what else { continue };
        if ended.get(id).is_none_or(|end| end > at) {
            let what = format!("call {id:x} told as over by g{by} at {at:.2}");
            broken.push(Broken("no caller is told the end of a call that has not ended", what));
        }
    }
    broken
}

/// A doubled word is bounded: an end is told twice only by two who may both have believed that they own the call, and so
/// only where trouble came while it stood or just before it was told.
pub fn doubled_words_are_bounded(history: &History) -> Vec<Broken> {
    let mut tellers: BTreeMap<u64, Vec<(f64, usize)>> = BTreeMap::new();
    let stood = history.first(|w| if let What::Stood(id, _) = w { Some(*id) } else { None });
    for (at, what) in &history.events {
        if let What::Told(id, by) = what {
            tellers.entry(*id).or_default().push((*at, *by));
        }
    }
    let mut broken = Vec::new();
    for (id, told) in tellers.iter().filter(|(_, told)| told.len() > 1) {
        let by: BTreeSet<usize> = told.iter().map(|t| t.1).collect();
        let from = stood.get(id).copied().unwrap_or(0.0);
        let to = told.last().map_or(from, |t| t.0);
        let trouble = history.events.iter().any(|(at, w)| !of_calls(w) && *at >= from - 2.0 && *at <= to);
        if !trouble {
            let what = format!("call {id:x} told {} times by {by:?} without any trouble", told.len());
            broken
                .push(Broken("an end is told twice only where two may believe that they own the call", what));
        }
    }
    broken
}

/// Each call has at most one attempt out at once, whoever sends it: a set-up that reaches a server while the call is out
/// or stands at any. Of each attempt: the call, when it arrived, and when it was over.
pub fn one_attempt_at_a_time(attempts: &[(u64, f64, f64)]) -> Vec<Broken> {
    let mut by_call: BTreeMap<u64, Vec<(f64, f64)>> = BTreeMap::new();
    for (call, from, to) in attempts {
        by_call.entry(*call).or_default().push((*from, *to));
    }
    let mut broken = Vec::new();
    for (call, mut all) in by_call {
        all.sort_by(|a, b| a.0.total_cmp(&b.0));
        if all.windows(2).any(|pair| pair[1].0 < pair[0].1) {
            broken.push(Broken("a call has one attempt out at a time", format!("call {call:x}: {all:?}")));
        }
    }
    broken
}

/// Nothing new reaches a server later than `slack` after it was listed as draining.
pub fn drains_are_kept(drained: f64, arrivals: &[f64], server: usize, slack: f64) -> Vec<Broken> {
    let late = arrivals.iter().filter(|at| **at > drained + slack).count();
    match late {
        0 => Vec::new(),
        n => {
            let what = format!("{n} set-ups at s{server} later than {slack:.2} s after its drain");
            vec![Broken("nothing new goes to a draining server", what)]
        }
    }
}

/// A cold server is sent less than what pushes it over, in each second, by all together: what arrived, and what it
/// could do, by second of its age.
pub fn cold_budget_holds(loads: &[(u32, f64)], server: usize) -> Vec<Broken> {
    let over = loads.iter().filter(|(sent, can)| f64::from(*sent) > 3.0 * can);
    over.map(|(sent, can)| {
        let what = format!("s{server} was sent {sent} in a second in which it could do {can:.1}");
        Broken("a cold server is not pushed over", what)
    })
    .collect()
}

/// A cold server does not fall: with `n` what the settings allow of it in the time that they name, it is sent no more than
/// `n` and three roots of it and three, by all together. What arrived and what it could do, by second of its age.
pub fn cold_server_stands(loads: &[(u32, f64)], factor: f64, server: usize) -> Vec<Broken> {
    let most = |can: f64| factor * can + 3.0 * (factor * can).sqrt() + 3.0;
    let over = loads.iter().filter(|(sent, can)| f64::from(*sent) > most(*can));
    over.map(|(sent, can)| {
        let what = format!("s{server} was sent {sent} in a second, it bears {:.1}", most(*can));
        Broken("a cold server does not fall", what)
    })
    .collect()
}

/// A rate that the fleet shares holds for the sum over all, whoever is cut off from whom: in no stretch of time more is
/// sent than the rate brings in it, and the burst. By clocks that are up to a hundredth too fast.
pub fn shared_rate_holds(sent: &[f64], per_s: f64, burst: f64) -> Vec<Broken> {
    let (mut level, mut last) = (0.0, f64::NEG_INFINITY);
    for at in sent {
        // A leaky bucket overflows exactly where some stretch that ends here holds too much.
        level = (level - (at - last) * per_s * 1.01).max(0.0) + 1.0;
        last = *at;
        if level > burst + 1.0 {
            let what = format!("at {at:.2} by {:.1} set-ups over a burst of {burst}", level - burst);
            return vec![Broken("a shared rate holds for the sum over all", what)];
        }
    }
    Vec::new()
}

/// All of the above that goes by events.
pub fn history(history: &History, late: f64) -> Vec<Broken> {
    let mut broken = every_end_is_told(history, late);
    broken.extend(no_end_is_made_up(history));
    broken.extend(doubled_words_are_bounded(history));
    broken
}

#[cfg(test)]
mod tests {
    use super::*;

    fn of(events: &[(f64, What)]) -> History {
        History { events: events.to_vec() }
    }

    #[test]
    fn what_servers_saw_is_held_to_the_rules() {
        assert_eq!(one_attempt_at_a_time(&[(1, 0.0, 1.0), (1, 1.0, 2.0), (2, 0.5, 3.0)]), []);
        assert_eq!(one_attempt_at_a_time(&[(1, 0.0, 1.0), (1, 0.9, 2.0)]).len(), 1);
        assert_eq!(drains_are_kept(5.0, &[1.0, 5.3], 0, 0.4), []);
        assert_eq!(drains_are_kept(5.0, &[1.0, 5.5], 0, 0.4).len(), 1);
        assert_eq!(cold_budget_holds(&[(29, 10.0), (30, 10.0)], 0), []);
        assert_eq!(cold_budget_holds(&[(31, 10.0)], 0).len(), 1);
        let each = |apart: f64| (0..100).map(|n| f64::from(n) * apart).collect::<Vec<f64>>();
        assert_eq!(shared_rate_holds(&each(0.1), 10.0, 4.0), []);
        assert_eq!(shared_rate_holds(&each(0.08), 10.0, 4.0).len(), 1);
        assert_eq!(shared_rate_holds(&[0.0, 0.0, 0.0, 0.0], 10.0, 4.0), []);
    }

    /// Each invariant finds what breaks it, and passes what does not.
    #[test]
    fn each_rule_can_fail() {
        let good = of(&[
            (0.0, What::Stood(1, 0)),
            (9.0, What::Ended(1)),
            (9.1, What::Told(1, 0)),
            (30.0, What::Healed),
        ]);
        assert_eq!(history(&good, 4.0), []);
        let never = of(&[(0.0, What::Stood(1, 0)), (9.0, What::Ended(1)), (30.0, What::Healed)]);
        assert_eq!(history(&never, 4.0).len(), 1);
        let late = of(&[
            (0.0, What::Stood(1, 0)),
            (9.0, What::Ended(1)),
            (11.0, What::Told(1, 0)),
            (30.0, What::Healed),
        ]);
        assert_eq!(history(&late, 4.0).len(), 1);
        let trouble = of(&[
            (0.0, What::Stood(1, 0)),
            (8.0, What::Killed(0)),
            (9.0, What::Ended(1)),
            (11.0, What::Told(1, 1)),
            (30.0, What::Healed),
        ]);
        assert_eq!(history(&trouble, 4.0), [], "in trouble it has more time");
        let made_up = of(&[(0.0, What::Stood(1, 0)), (9.0, What::Told(1, 0)), (9.5, What::Ended(1))]);
        assert_eq!(no_end_is_made_up(&made_up).len(), 1);
        let twice = of(&[
            (0.0, What::Stood(1, 0)),
            (9.0, What::Ended(1)),
            (9.1, What::Told(1, 0)),
            (9.2, What::Told(1, 2)),
        ]);
        assert_eq!(doubled_words_are_bounded(&twice).len(), 1);
        let unshared = of(&[
            (7.9, What::Stood(1, 0)),
            (8.0, What::Unshared(1)),
            (8.0, What::Killed(0)),
            (9.0, What::Ended(1)),
            (60.0, What::Healed),
        ]);
        assert_eq!(history(&unshared, 4.0), [], "known to nobody else");
    }
}
