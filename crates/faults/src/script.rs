//! Scripts of faults.
//!
//! A line is one step: `at TIME WHAT`. `#` begins a comment. Gatekeepers are `g0`, `g1`, ..., servers `s0`, ..., and `r` is
//! the resolver, of which a gatekeeper can be cut off both ways.
//!
//! ```text
//! seed 7
//! at 1s    kill g3
//! at 2s    start g3
//! at 2.5s  pause g1
//! at 3s    wake g1
//! at 3s    cut g1 -> g2
//! at 3s    cut g1 - s0
//! at 3s    cut g1 - r
//! at 3.2s  delay g0 -> g4 40ms
//! at 3.3s  throttle g0 -> g4 20kB/s
//! at 3.4s  drop g0 - g4
//! at 3.5s  silence s0
//! at 3.6s  replace s1
//! at 4s    drain s2
//! at 5s    heal
//! ```
//!
//! `cut A -> B` stops what A says to B and nothing else; `cut A - B` stops both ways. What is on its way waits, as
//! it does on a connection whose packets are lost; `throttle` lets so much through a second. `drop` resets the connections between two. `heal` ends all cuts,
//! delays and throttles, wakes who is paused, starts who is down and lets silent servers speak.

use std::fmt;

use rand::seq::SliceRandom;
use rand::Rng;
use rand_chacha::rand_core::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// Steps of a script at most.
pub const MOST_STEPS: usize = 10_000;

/// One end of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum End {
    /// A gatekeeper.
    Gatekeeper(usize),
    /// A session server.
    Server(usize),
    /// The resolver.
    Resolver,
}

/// What is done.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// SIGKILL.
    Kill(usize),
    /// Start anew, with nothing.
    Start(usize),
    /// SIGSTOP.
    Pause(usize),
    /// SIGCONT.
    Wake(usize),
    /// What one says to the other waits.
    Cut(End, End),
    /// What one says to the other takes so many seconds longer.
    Delay(End, End, f64),
    /// So many bytes a second go from one to the other at most.
    Throttle(End, End, f64),
    /// The connections between two are reset.
    Drop(End, End),
    /// A server says nothing more.
    Silence(usize),
    /// It speaks again.
    Speak(usize),
    /// Another process takes a server's place, cold; what stood there is cut.
    Replace(usize),
    /// A server drains.
    Drain(usize),
    /// All is mended.
    Heal,
}

impl Fault {
    /// From which gatekeeper to which it acts, where it acts between two.
    pub(crate) fn between_gatekeepers(&self) -> Option<(usize, usize)> {
        match self {
            Fault::Cut(End::Gatekeeper(from), End::Gatekeeper(to))
            | Fault::Delay(End::Gatekeeper(from), End::Gatekeeper(to), _)
            | Fault::Throttle(End::Gatekeeper(from), End::Gatekeeper(to), _)
            | Fault::Drop(End::Gatekeeper(from), End::Gatekeeper(to)) => Some((*from, *to)),
            _ => None,
        }
    }
}

/// A script.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Script {
    /// The seed of all else.
    pub seed: u64,
    /// The steps, by time.
    pub steps: Vec<(f64, Fault)>,
}

impl fmt::Display for End {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            End::Gatekeeper(n) => write!(f, "g{n}"),
            End::Server(n) => write!(f, "s{n}"),
            End::Resolver => write!(f, "r"),
        }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Fault::Kill(n) => write!(f, "kill g{n}"),
            Fault::Start(n) => write!(f, "start g{n}"),
            Fault::Pause(n) => write!(f, "pause g{n}"),
            Fault::Wake(n) => write!(f, "wake g{n}"),
            Fault::Cut(a, b) => write!(f, "cut {a} -> {b}"),
            Fault::Delay(a, b, s) => write!(f, "delay {a} -> {b} {}ms", (s * 1000.0).round()),
            Fault::Throttle(a, b, rate) => write!(f, "throttle {a} -> {b} {}B/s", rate.round()),
            Fault::Drop(a, b) => write!(f, "drop {a} - {b}"),
            Fault::Silence(n) => write!(f, "silence s{n}"),
            Fault::Speak(n) => write!(f, "speak s{n}"),
            Fault::Replace(n) => write!(f, "replace s{n}"),
            Fault::Drain(n) => write!(f, "drain s{n}"),
            Fault::Heal => write!(f, "heal"),
        }
    }
}

impl fmt::Display for Script {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "seed {}", self.seed)?;
        self.steps.iter().try_for_each(|(at, fault)| writeln!(f, "at {at:.3}s {fault}"))
    }
}

/// What is wrong with a script, with the line, from 1.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Wrong {
    /// The line.
    pub line: usize,
    /// What is wrong, and what was expected.
    pub what: String,
}

impl fmt::Display for Wrong {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}: {}", self.line, self.what)
    }
}

impl std::error::Error for Wrong {}

fn seconds(word: &str) -> Result<f64, String> {
    let (number, scale) = match word.strip_suffix("ms") {
        Some(number) => (number, 1000.0),
        None => (word.strip_suffix('s').unwrap_or(word), 1.0),
    };
    let value: Option<f64> = number.parse().ok();
    let value = value.filter(|v| v.is_finite() && *v >= 0.0 && *v <= 1e6);
    value.map(|v| v / scale).ok_or(format!("{word:?} is no time, expected one as 2.5s or 40ms"))
}

fn rate(word: &str) -> Result<f64, String> {
    let parts = word.strip_suffix("kB/s").map(|n| (n, 1000.0)).or(word.strip_suffix("B/s").map(|n| (n, 1.0)));
    let value: Option<f64> = parts.and_then(|(n, scale)| Some(n.parse::<f64>().ok()? * scale));
    let value = value.filter(|v| v.is_finite() && *v >= 1.0);
    value.ok_or(format!("{word:?} is no rate, expected one as 20kB/s or 500B/s"))
}

fn end(word: &str) -> Result<End, String> {
    let number = |text: &str| text.parse::<usize>().ok().filter(|n| *n < 1000);
    let found = match word.split_at_checked(1) {
        Some(("r", "")) => Some(End::Resolver),
        Some(("g", n)) => number(n).map(End::Gatekeeper),
        Some(("s", n)) => number(n).map(End::Server),
        _ => None,
    };
    found.ok_or(format!("{word:?} is nobody, expected a gatekeeper as g0, a server as s0, or the resolver r"))
}

fn gatekeeper(word: &str) -> Result<usize, String> {
    match end(word)? {
        End::Gatekeeper(n) => Ok(n),
        End::Server(_) => Err(format!("{word:?} is a server, expected a gatekeeper as g0")),
        End::Resolver => Err("r is the resolver, expected a gatekeeper as g0".into()),
    }
}

fn server(word: &str) -> Result<usize, String> {
    match end(word)? {
        End::Server(n) => Ok(n),
        End::Gatekeeper(_) => Err(format!("{word:?} is a gatekeeper, expected a server as s0")),
        End::Resolver => Err("r is the resolver, expected a server as s0".into()),
    }
}

/// The faults of one line: a cut both ways is two.
fn faults(words: &[&str]) -> Result<Vec<Fault>, String> {
    let one = |fault| Ok(vec![fault]);
    match words {
        ["kill", g] => one(Fault::Kill(gatekeeper(g)?)),
        ["start", g] => one(Fault::Start(gatekeeper(g)?)),
        ["pause", g] => one(Fault::Pause(gatekeeper(g)?)),
        ["wake", g] => one(Fault::Wake(gatekeeper(g)?)),
        ["cut", a, "->", b] => one(Fault::Cut(end(a)?, end(b)?)),
        ["cut", a, "-", b] => Ok(vec![Fault::Cut(end(a)?, end(b)?), Fault::Cut(end(b)?, end(a)?)]),
        ["delay", a, "->", b, s] => one(Fault::Delay(end(a)?, end(b)?, seconds(s)?)),
        ["delay", a, "-", b, s] => {
            let (a, b, s) = (end(a)?, end(b)?, seconds(s)?);
            Ok(vec![Fault::Delay(a, b, s), Fault::Delay(b, a, s)])
        }
        ["throttle", a, "->", b, r] => one(Fault::Throttle(end(a)?, end(b)?, rate(r)?)),
        ["throttle", a, "-", b, r] => {
            let (a, b, r) = (end(a)?, end(b)?, rate(r)?);
            Ok(vec![Fault::Throttle(a, b, r), Fault::Throttle(b, a, r)])
        }
        ["drop", a, "-", b] => one(Fault::Drop(end(a)?, end(b)?)),
        ["silence", s] => one(Fault::Silence(server(s)?)),
        ["speak", s] => one(Fault::Speak(server(s)?)),
        ["replace", s] => one(Fault::Replace(server(s)?)),
        ["drain", s] => one(Fault::Drain(server(s)?)),
        ["heal"] => one(Fault::Heal),
        _ => Err(format!(
            "{:?} is no step, expected kill, start, pause, wake, cut, delay, throttle, drop, silence, speak, replace, drain or heal",
            words.join(" ")
        )),
    }
}

impl std::str::FromStr for Script {
    type Err = Wrong;

    fn from_str(text: &str) -> Result<Script, Wrong> {
        let mut script = Script::default();
        for (at, line) in text.lines().enumerate() {
            let wrong = |what: String| Wrong { line: at + 1, what };
            let line = line.split('#').next().unwrap_or_default();
            let words: Vec<&str> = line.split_whitespace().collect();
            match &words[..] {
                [] => {}
                ["seed", n] => {
                    script.seed =
                        n.parse().map_err(|_| wrong(format!("{n:?} is no seed, expected a number")))?;
                }
                ["at", time, rest @ ..] => {
                    let time = seconds(time).map_err(wrong)?;
                    script.steps.extend(faults(rest).map_err(wrong)?.into_iter().map(|f| (time, f)));
                }
                _ => return Err(wrong(format!("{line:?} is no step, expected `at TIME WHAT`"))),
            }
            if script.steps.len() > MOST_STEPS {
                return Err(wrong(format!("expected at most {MOST_STEPS} steps")));
            }
        }
        script.steps.sort_by(|a, b| a.0.total_cmp(&b.0));
        Ok(script)
    }
}

/// What a random script is drawn from.
#[derive(Clone, Copy, Debug)]
pub struct Draw {
    /// Gatekeepers.
    pub gatekeepers: usize,
    /// Servers; none are troubled where there are none.
    pub servers: usize,
    /// Seconds from the first fault to the healing of all.
    pub lasts: f64,
    /// Faults.
    pub faults: usize,
    /// Links to servers are faulted too.
    pub server_links: bool,
}

impl Script {
    /// A random script: faults from 1 s on, and the healing of all at the end. At least one gatekeeper is never killed or
    /// paused, so that somebody sees it all.
    pub fn random(seed: u64, draw: &Draw) -> Script {
        let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0x5c71_97fa);
        let mut steps = Vec::new();
        let spared = rng.gen_range(0..draw.gatekeepers.max(1));
        let someone = |rng: &mut ChaCha8Rng| loop {
            let n = rng.gen_range(0..draw.gatekeepers);
            if n != spared || draw.gatekeepers < 2 {
                return n;
            }
        };
        for _ in 0..draw.faults {
            let at = 1.0 + rng.gen_range(0.0..draw.lasts);
            let back = at + rng.gen_range(0.05..draw.lasts / 2.0);
            let pair = |rng: &mut ChaCha8Rng| {
                let a = rng.gen_range(0..draw.gatekeepers);
                if draw.server_links && draw.servers > 0 && rng.gen_bool(0.3) {
                    return (End::Gatekeeper(a), End::Server(rng.gen_range(0..draw.servers)));
                }
                let b = (a + rng.gen_range(1..draw.gatekeepers.max(2))) % draw.gatekeepers;
                (End::Gatekeeper(a), End::Gatekeeper(b))
            };
            match rng.gen_range(0..if draw.servers > 0 { 12 } else { 9 }) {
                0 | 1 => {
                    let n = someone(&mut rng);
                    steps.extend([(at, Fault::Kill(n)), (back, Fault::Start(n))]);
                }
                2 => {
                    // Seven in ten within 100 ms.
                    let mut all: Vec<usize> = (0..draw.gatekeepers).filter(|n| *n != spared).collect();
                    all.shuffle(&mut rng);
                    for n in all.into_iter().take(draw.gatekeepers * 7 / 10) {
                        let late = rng.gen_range(0.0..0.1);
                        steps.extend([(at + late, Fault::Kill(n)), (back + late, Fault::Start(n))]);
                    }
                }
                3 | 4 => {
                    let n = someone(&mut rng);
                    steps.extend([(at, Fault::Pause(n)), (back, Fault::Wake(n))]);
                }
                5 => {
                    let (a, b) = pair(&mut rng);
                    steps.push((at, Fault::Cut(a, b)));
                }
                6 => {
                    // A split: each of one part is cut from each of the other.
                    let part = rng.gen_range(1..draw.gatekeepers.max(2));
                    let mut all: Vec<usize> = (0..draw.gatekeepers).collect();
                    all.shuffle(&mut rng);
                    let (left, right) = all.split_at(part.min(all.len()));
                    for (&a, &b) in left.iter().flat_map(|a| right.iter().map(move |b| (a, b))) {
                        let (a, b) = (End::Gatekeeper(a), End::Gatekeeper(b));
                        steps.extend([(at, Fault::Cut(a, b)), (at, Fault::Cut(b, a))]);
                    }
                }
                7 => {
                    let (a, b) = pair(&mut rng);
                    steps.push(match rng.gen_bool(0.3) {
                        true => (at, Fault::Throttle(a, b, rng.gen_range(1e3..1e5))),
                        false => (at, Fault::Delay(a, b, rng.gen_range(0.005..0.3))),
                    });
                }
                8 => {
                    // A link that flaps.
                    let (a, b) = pair(&mut rng);
                    steps.extend((0..5).map(|n| (at + 0.2 * f64::from(n), Fault::Drop(a, b))));
                }
                9 => {
                    let n = rng.gen_range(0..draw.servers);
                    steps.extend([(at, Fault::Silence(n)), (back, Fault::Speak(n))]);
                }
                10 => steps.push((at, Fault::Replace(rng.gen_range(0..draw.servers)))),
                _ => steps.push((at, Fault::Drain(rng.gen_range(0..draw.servers)))),
            }
        }
        let end = 1.0 + draw.lasts;
        steps.retain(|(at, _)| *at < end);
        steps.push((end, Fault::Heal));
        steps.sort_by(|a, b| a.0.total_cmp(&b.0));
        Script { seed, steps }
    }

    /// Leaves steps out as long as it still fails: halves, quarters, and at last single ones, but for the healing.
    pub fn smaller(&self, mut fails: impl FnMut(&Script) -> bool) -> Script {
        let mut best = self.clone();
        let mut part = best.steps.len() / 2;
        while part > 0 {
            let mut at = 0;
            while at < best.steps.len() {
                let mut less = best.clone();
                let end = (at + part).min(less.steps.len());
                let kept = less.steps.drain(at..end).filter(|s| s.1 == Fault::Heal).collect::<Vec<_>>();
                less.steps.extend(kept);
                less.steps.sort_by(|a, b| a.0.total_cmp(&b.0));
                match less.steps.len() < best.steps.len() && fails(&less) {
                    true => best = less,
                    false => at += part,
                }
            }
            part /= 2;
        }
        best
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const DRAW: Draw = Draw { gatekeepers: 5, servers: 2, lasts: 8.0, faults: 8, server_links: true };

    #[test]
    fn what_is_written_is_read_again() {
        for seed in 0..50 {
            let script = Script::random(seed, &DRAW);
            let read: Script = script.to_string().parse().unwrap();
            assert_eq!((read.seed, read.steps.len()), (script.seed, script.steps.len()));
            let close = |(a, b): (&(f64, Fault), &(f64, Fault))| (a.0 - b.0).abs() < 0.001;
            assert!(read.steps.iter().zip(&script.steps).all(close));
            assert_eq!(read.to_string().parse::<Script>().unwrap(), read, "seed {seed}");
            assert_eq!(script, Script::random(seed, &DRAW), "one seed, one script");
        }
    }

    #[test]
    fn a_mistake_is_told_with_its_line() {
        let wrong = |text: &str| text.parse::<Script>().unwrap_err().to_string();
        assert!(wrong("at 1s kill s0").contains("line 1: \"s0\" is a server, expected a gatekeeper"));
        assert!(wrong("\nat 1s explode g0").contains("line 2: \"explode g0\" is no step, expected kill"));
        assert!(wrong("at soon heal").contains("\"soon\" is no time"));
        assert!(wrong("kill g0").contains("expected `at TIME WHAT`"));
        assert!(wrong("at 1s cut g0 -> x1").contains("is nobody"));
        assert!(wrong("at 1s kill r").contains("expected a gatekeeper as g0"));
        assert!(wrong("at 1s throttle g0 -> g1 fast").contains("\"fast\" is no rate, expected one as 20kB/s"));
        assert_eq!("at 1s throttle g0 - g1 2kB/s".parse::<Script>().unwrap().steps.len(), 2);
        assert_eq!("at 1s cut g0 - r".parse::<Script>().unwrap().to_string().matches(" r").count(), 2);
        let both: Script = "at 1s cut g0 - g1 # both ways".parse().unwrap();
        assert_eq!(both.steps.len(), 2);
    }

    #[test]
    fn a_failing_script_is_made_smaller_to_what_it_takes() {
        let script = Script::random(3, &Draw { faults: 40, ..DRAW });
        let kills = |s: &Script| s.steps.iter().filter(|x| matches!(x.1, Fault::Kill(_))).count();
        assert!(kills(&script) > 2);
        let small = script.smaller(|s| kills(s) >= 2);
        assert_eq!((kills(&small), small.steps.len()), (2, 3), "two kills and the healing");
    }
}
