//! A dozen deployments that differ in kind: whole gatekeepers in skipped time, under the faults that both operators tell
//! of. The rules are held against what callers and servers saw, and the service against a plain policy, which sends each
//! call once to its first choice and remembers nothing, in the same world with the same seed.

use std::collections::BTreeMap;

use hollypaddle_drive::Fleet;
use hollypaddle_faults::check::{self, Broken};
use hollypaddle_standin::callers::End;
use hollypaddle_standin::deployment::Deployment;
use hollypaddle_standin::server::What;
use hollypaddle_standin::world::{ClassPlan, Plan};
use hollypaddle_standin::{fleet_block, free_addresses};
use rand::Rng;
use rand_chacha::rand_core::SeedableRng;
use rand_chacha::ChaCha8Rng;

const STEP: f64 = 0.005;
/// Traffic comes for so long, in seconds, and what is open then is seen to its end for so much longer at most.
const DAY: f64 = 23.0;
const END: f64 = 12.0;
/// Told by the resolver's third answer at the latest, and on its way.
const TOLD: f64 = 0.3;
/// By so much the ways to two servers differ, with a step of time at either end.
const WAYS: f64 = 0.06;
/// Service may lie so much under the plain policy's, for chance.
const CHANCE: f64 = 0.01;
/// The part of the whole's service that each class with so many calls and each third of the day has to have.
const LET_GO: f64 = 0.5;
const FEWEST: usize = 60;
/// The shortest time in which a drain must be kept, over both operators' pages.
const GRACE: f64 = 0.25;

const NAMES: [&str; 12] = ["a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l"];

/// A kind of deployment; what it does not say is drawn.
struct Kind {
    name: &'static str,
    servers: usize,
    /// Gatekeepers of which the settings tell; four of them run, with their part of the servers.
    told: u32,
    classes: usize,
    /// How long a caller waits for a try at the shortest, in seconds; the deadline is three times that.
    wait: f64,
    reports: bool,
    lines: bool,
    release: f64,
    attempts: u32,
    load: f64,
}

const fn kind(name: &'static str, servers: usize, told: u32, classes: usize, wait: f64) -> Kind {
    Kind {
        name,
        servers,
        told,
        classes,
        wait,
        reports: false,
        lines: true,
        release: 0.5,
        attempts: 5,
        load: 0.85,
    }
}

/// What callers do when a try comes to nothing: they dial again, up to so often.
struct Redials {
    most: u32,
    due: Vec<(f64, usize, u64)>,
    seen: BTreeMap<u64, u32>,
    marked: bool,
}

impl Redials {
    fn turn(&mut self, fleet: &mut Fleet, now: f64) {
        for (front, callers) in fleet.world.callers.iter_mut().enumerate() {
            callers.give_up_late(now);
            for (id, call) in &callers.calls {
                let wait = match call.end {
                    _ if self.seen.contains_key(id) => continue,
                    Some((_, End::Refused(wait))) => wait.max(0.8),
                    Some((_, End::Failed)) => 0.8,
                    None if call.given_up.is_some() => 0.8,
                    _ => continue,
                };
                let first = call.further_of.unwrap_or(*id);
                let tries = self.seen.get(&first).copied().unwrap_or(0);
                self.seen.insert(*id, tries);
                if tries < self.most {
                    self.seen.insert(first, tries + 1);
                    self.due.push((now + wait, front, *id));
                }
            }
        }
        let (due, later) = self.due.drain(..).partition(|(at, ..)| *at <= now);
        self.due = later;
        for (_, front, id) in due {
            let further = fleet.world.callers[front].redial(now, id, self.marked);
            if let Some(first) = further.and_then(|id| fleet.world.callers[front].calls[&id].further_of) {
                let tries = self.seen.get(&first).copied().unwrap_or(0);
                self.seen.entry(first).or_insert(tries);
            }
        }
    }
}

struct Drawn {
    plan: Plan,
    deployment: Deployment,
    /// Calls a second at each front.
    rate: f64,
}

fn draw(kind: &Kind, seed: u64) -> Drawn {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let base = if kind.reports { Deployment::default() } else { Deployment::silent_servers() };
    // A fleet of hundreds with few servers: each gatekeeper sees its part of what a server can do.
    let offered = 44.0;
    let per_server = offered / kind.load / kind.servers as f64;
    let hold = rng.gen_range(2.0..6.0);
    let part = f64::from(kind.told.max(4)) / 4.0;
    let lines = (per_server * hold * 1.5 + 12.0) as usize;
    let deployment = Deployment {
        fronts: Some(kind.told),
        release: kind.release,
        attempts: kind.attempts,
        retransmit: rng.gen_range(0.0..0.8),
        stay_away: rng.gen_bool(0.7).then(|| rng.gen_range(0.5..3.0)),
        cold: rng.gen_range(6.0..15.0),
        cold_from: rng.gen_range(0.28..0.4),
        lines: kind.lines.then_some(lines),
        most_wait: rng.gen_range(1.9..3.5),
        finish_first: rng.gen(),
        cancel_drops: rng.gen(),
        far: rng.gen_range(0.7..1.1),
        ..base
    };
    assert!(deployment.is_sound() && part >= 1.0);
    let class = |n: usize| {
        let wait = kind.wait * (1.0 + 0.15 * n as f64);
        let worth = if n == 0 { 1.0 } else { 1.0 + n as f64 };
        let share = if n == 0 { 0.6 } else { 0.4 / (kind.classes - 1) as f64 };
        let share = if kind.classes == 1 { 1.0 } else { share };
        ClassPlan { name: NAMES[n], share, goal: wait * 0.5, wait, hold, worth }
    };
    let plan = Plan {
        fronts: vec![0, 1, 2, 0],
        servers: (0..kind.servers).map(|n| (n % 3, per_server)).collect(),
        classes: (0..kind.classes).map(class).collect(),
        seed,
    };
    Drawn { plan, deployment, rate: offered / 4.0 }
}

struct Day {
    service: f64,
    /// Of each class with enough calls to tell, and of each third of the day.
    classes: Vec<f64>,
    thirds: [f64; 3],
    broken: Vec<Broken>,
    calls: usize,
}

/// One day: a server is drained and replaced, one slows, one falls silent for a while, a gatekeeper is killed, resolvers
/// are late, and calls come half as often again for some seconds.
fn play(drawn: &Drawn, mut fleet: Fleet) -> Day {
    let servers = drawn.plan.servers.len();
    let begin = fleet.now + 0.5;
    fleet.pass(0.5).unwrap();
    let mut redials =
        Redials { most: 1, due: Vec::new(), seen: BTreeMap::new(), marked: drawn.deployment.marks_retry };
    let (old, cold) = (0, servers / 2);
    let slow = servers - 1;
    let mut drained = None;
    let mut step = 0u32;
    let open = |fleet: &Fleet| {
        let waits = |c: &&hollypaddle_standin::callers::Call| c.answers == 0 && c.given_up.is_none();
        fleet.world.callers.iter().any(|c| c.calls.values().any(|c| waits(&c)))
    };
    while fleet.now < begin + DAY || open(&fleet) && fleet.now < begin + DAY + END {
        let at = fleet.now - begin;
        let now_is = |second: f64| (at - second).abs() < STEP / 2.0;
        let now = fleet.now;
        if servers > 1 && now_is(3.0) {
            fleet.world.drain(old, true);
            drained = Some(now);
        }
        if servers > 1 && now_is(6.0) {
            fleet.world.replace(old, now);
        }
        if now_is(5.0) {
            fleet.kill(1);
        }
        if now_is(7.0) {
            fleet.start(1).unwrap();
        }
        if now_is(9.0) {
            fleet.world.servers[slow].slow = 2.0;
        }
        if now_is(13.0) {
            fleet.world.servers[slow].slow = 1.0;
        }
        if servers > 2 {
            if now_is(14.0) {
                fleet.world.servers[cold].silent = true;
            }
            if now_is(17.0) {
                fleet.world.servers[cold].silent = false;
            }
        }
        if now_is(15.0) {
            fleet.world.resolvers_silent(true);
        }
        if now_is(16.5) {
            fleet.world.resolvers_silent(false);
        }
        if at < DAY {
            let burst = if (19.0..22.0).contains(&at) { 1.5 } else { 1.0 };
            for front in 0..drawn.plan.fronts.len() {
                let up = !(front == 1 && (5.0..7.0).contains(&at));
                if up {
                    fleet.world.traffic(now + STEP, front, drawn.rate * burst, |a, _| {
                        ((a * servers as f64) as u32).min(servers as u32 - 1)
                    });
                } else {
                    fleet.world.rest(front);
                }
            }
        }
        step += 1;
        if step.is_multiple_of(4) {
            redials.turn(&mut fleet, now);
        }
        fleet.step(STEP).unwrap();
    }
    let service = fleet.world.service_with_redials(None, begin, begin + DAY).unwrap();
    let class = |c: &ClassPlan| {
        let calls = fleet.world.callers.iter().flat_map(|callers| callers.calls.values());
        let count = calls.filter(|call| call.class == c.name).count();
        (count >= FEWEST).then(|| fleet.world.service_with_redials(Some(c.name), begin, begin + DAY))?
    };
    let classes = drawn.plan.classes.iter().filter_map(class).collect();
    let third = |n: u32| {
        let from = begin + f64::from(n) * DAY / 3.0;
        fleet.world.service_with_redials(None, from, from + DAY / 3.0).unwrap()
    };
    let thirds = [third(0), third(1), third(2)];
    let calls = fleet.world.callers.iter().map(|c| c.calls.len()).sum();
    Day { service, classes, thirds, broken: rules(drawn, &fleet, drained), calls }
}

/// The rules, on what callers and servers saw.
fn rules(drawn: &Drawn, fleet: &Fleet, drained: Option<f64>) -> Vec<Broken> {
    let mut broken = Vec::new();
    for (front, callers) in fleet.world.callers.iter().enumerate() {
        for (id, call) in &callers.calls {
            // What a gatekeeper had taken when it was killed is lost with it.
            let lost = front == 1 && (call.offered - fleet.killed_at).abs() < call.wait + 0.1;
            let answers = call.answers == 1 || call.answers == 0 && (lost || call.given_up.is_some());
            if !answers {
                let what = format!("call {id:x} of {:?}: {} answers", call.class, call.answers);
                broken.push(Broken("a call has one final answer", what));
            }
            if call.given_up.is_some() && !lost {
                let what = format!("call {id:x} of {:?} waited {} s in vain", call.class, call.wait);
                broken.push(Broken("the answer comes before the caller gives up", what));
            }
        }
    }
    // Of each call: what servers saw, in order.
    let mut seen: BTreeMap<u64, Vec<(f64, What, usize)>> = BTreeMap::new();
    for (n, server) in fleet.world.servers.iter().enumerate() {
        for s in &server.seen {
            seen.entry(s.call).or_default().push((s.at, s.what, n));
        }
    }
    let mut attempts = Vec::new();
    for (call, mut all) in seen {
        all.sort_by(|a, b| a.0.total_cmp(&b.0));
        let set_ups = all.iter().filter(|s| s.1 == What::SetUp).count();
        if set_ups > drawn.deployment.attempts as usize {
            broken.push(Broken("no more than the settings' attempts", format!("call {call:x}: {set_ups}")));
        }
        let mut cut_short: Option<f64> = None;
        for (at, what, server) in &all {
            match what {
                What::SetUp => {
                    if let Some(cut) = cut_short.filter(|cut| at - cut < drawn.deployment.release - WAYS) {
                        let what = format!("call {call:x} again at s{server} {:.3} s later", at - cut);
                        broken.push(Broken("the release time is awaited", what));
                    }
                    let over = all.iter().find(|s| s.0 >= *at && s.2 == *server && s.1 != What::SetUp);
                    // A way is 24 ms at the most, so two may overlap by so much at the servers.
                    attempts.push((call, *at, over.map_or(*at, |o| o.0 - WAYS)));
                }
                What::Reset | What::GivenUp => cut_short = Some(*at),
                _ => {}
            }
        }
    }
    broken.extend(check::one_attempt_at_a_time(&attempts));
    if let Some(at) = drained {
        let arrivals: Vec<f64> = (fleet.world.servers[0].seen.iter())
            .filter(|s| s.what == What::SetUp && s.at < at + 3.0)
            .map(|s| s.at)
            .collect();
        broken.extend(check::drains_are_kept(at, &arrivals, 0, TOLD + GRACE + WAYS));
    }
    for (n, server) in fleet.world.servers.iter().enumerate() {
        let loads: Vec<(u32, f64)> = server.cold_load.values().copied().collect();
        broken.extend(check::cold_server_stands(&loads, 3.0, n));
    }
    broken
}

fn holds(seeds: u64, kinds: &[Kind]) {
    let folder = tempfile::tempdir().unwrap();
    let conf = folder.path().join("hollypaddle.conf");
    std::fs::write(&conf, "").unwrap();
    for (n, kind) in kinds.iter().enumerate() {
        let drawn = draw(kind, seeds + n as u64);
        let fleet = Fleet::open_as(drawn.plan.clone(), drawn.deployment.clone(), &conf).unwrap();
        let day = play(&drawn, fleet);
        let plain = play(&drawn, Fleet::plain(drawn.plan.clone(), drawn.deployment.clone()).unwrap());
        println!(
            "{}: {:.3} of {} calls, the plain policy {:.3}; retransmit {:.2} s, stay away {:?}",
            kind.name,
            day.service,
            day.calls,
            plain.service,
            drawn.deployment.retransmit,
            drawn.deployment.stay_away
        );
        let told: Vec<String> = day.broken.iter().take(5).map(ToString::to_string).collect();
        assert!(told.is_empty(), "{}: {}", kind.name, told.join("\n"));
        // No class and no part of the day is let go: each has half of what the whole has.
        let worst = day.classes.iter().chain(&day.thirds).copied().fold(1.0, f64::min);
        assert!(
            worst >= LET_GO * day.service,
            "{}: {:.3}, but by class {:?}, by third {:?}",
            kind.name,
            day.service,
            day.classes,
            day.thirds
        );
        assert!(
            day.service >= plain.service - CHANCE,
            "{}: {:.3}, worse than the plain policy's {:.3}",
            kind.name,
            day.service,
            plain.service
        );
    }
}

/// A fleet in the second deployment: no reports, lists late, a release time of 500 ms, other classes and districts.
struct Second {
    fleet: Fleet,
    _folder: tempfile::TempDir,
}

fn second(gatekeepers: usize, deployment: Deployment, more: &str) -> Second {
    let folder = tempfile::tempdir().unwrap();
    let conf = folder.path().join("hollypaddle.conf");
    let links = free_addresses(gatekeepers).unwrap();
    let budget = "crossings {\n budget class credit-post {\n  rate 3/s burst 3 fleet\n }\n}\n";
    std::fs::write(&conf, format!("{budget}{}", fleet_block(&links, more))).unwrap();
    let class = |name, share, goal, hold, worth| ClassPlan { name, share, goal, wait: 3.0, hold, worth };
    let plan = Plan {
        fronts: (0..gatekeepers).map(|n| n % 3).collect(),
        servers: (0..3).map(|n| (n, 30.0)).collect(),
        classes: vec![
            class("credit-lookup", 0.78, 1.5, 9.0, 1.0),
            class("credit-post", 0.22, 2.0, 11.0, 3.0),
        ],
        seed: 12,
    };
    let mut fleet = Fleet::open_as(plan, deployment, &conf).unwrap();
    fleet.world.servers.iter_mut().for_each(|s| s.ends_anywhere = true);
    let ready = |f: &Fleet| f.nodes.iter().flatten().all(|node| node.ready());
    assert!(fleet.until(2.0, ready).unwrap());
    Second { fleet, _folder: folder }
}

/// One is killed with its calls standing: the ends are told within 1 s and once; what the fleet shares holds for the sum.
#[test]
fn the_fleets_parts_hold_in_the_second_deployment() {
    let mut t = second(4, Deployment::silent_servers(), "");
    let begin = t.fleet.now;
    t.fleet.run(12.0, 5.0, |_, a, _| (a * 3.0) as u32).unwrap();
    t.fleet.kill(1);
    for _ in 0..(6.0 / STEP) as usize {
        for front in [0, 2, 3] {
            t.fleet.world.traffic(t.fleet.now + STEP, front, 5.0, |a, _| (a * 3.0) as u32);
        }
        t.fleet.step(STEP).unwrap();
    }
    t.fleet.pass(30.0).unwrap();
    let (mut ends, mut late, mut twice) = (0, 0, 0);
    let ended = t.fleet.world.servers.iter().flat_map(|s| &s.seen).filter(|s| s.what == What::Ended);
    for seen in ended.filter(|s| s.at < t.fleet.now - 1.0) {
        let call = t.fleet.world.callers.iter().find_map(|c| c.calls.get(&seen.call)).unwrap();
        ends += 1;
        late += usize::from(call.end.is_none_or(|(at, _)| at - seen.at > 1.0));
        twice += usize::from(call.ends > 1);
    }
    assert!(ends > 150, "{ends}");
    assert_eq!((late, twice), (0, 0), "of {ends} ends");
    // Posts that crossed districts, by all together.
    let mut crossed: Vec<f64> = Vec::new();
    for (n, server) in t.fleet.world.servers.iter().enumerate() {
        let abroad = |s: &&hollypaddle_standin::server::Seen| {
            s.what == What::SetUp && s.class == "credit-post" && s.door % 3 != n
        };
        crossed.extend(server.seen.iter().filter(abroad).map(|s| s.at));
    }
    crossed.sort_by(f64::total_cmp);
    assert!(crossed.len() > 20, "{}", crossed.len());
    assert_eq!(check::shared_rate_holds(&crossed, 3.0, 6.0), [], "a front's burst is never under one");
    assert!(crossed[0] >= begin);
}

/// A gatekeeper whose list does not come for 6 s: a call whose server it does not know is not taken for cut, and a drain that
/// the others were told of is kept all that time.
#[test]
fn lists_that_come_late_cut_no_call_and_open_no_drain() {
    let mut t = second(3, Deployment::silent_servers(), "");
    t.fleet.world.resolver_silent(0, true);
    // A server that the first gatekeeper is not told of: the others set calls up there.
    let now = t.fleet.now;
    t.fleet.world.replace(2, now);
    t.fleet.world.drain(1, true);
    t.fleet.pass(14.0).unwrap();
    let ids: Vec<u64> = (0..8)
        .map(|_| {
            let now = t.fleet.now;
            let id = t.fleet.world.callers[2].offer(now, "credit-lookup", 2, 3.0).unwrap();
            t.fleet.pass(0.4).unwrap();
            id
        })
        .collect();
    t.fleet.kill(2);
    let drained = t.fleet.world.servers[1].seen.len();
    for _ in 0..50 {
        let now = t.fleet.now;
        t.fleet.world.callers[0].offer(now, "credit-lookup", 1, 3.0).unwrap();
        t.fleet.pass(0.1).unwrap();
    }
    let calls = &t.fleet.world.callers[2].calls;
    let cut = ids.iter().filter(|id| matches!(calls[*id].end, Some((_, End::Cut)))).count();
    assert!(ids.iter().filter(|id| calls[*id].stood.is_some()).count() >= 6);
    assert_eq!(cut, 0, "told as cut, though they stand at a server that is listed late");
    assert_eq!(t.fleet.world.servers[1].seen.len(), drained, "nothing new goes to a server that drains");
}

/// Servers that tell nothing unasked, one of them slow but sound: no member tells the others that it is silent, which would
/// keep them away from it. One that has stopped is told as silent.
#[test]
fn a_busy_server_that_tells_no_state_is_not_taken_for_silent() {
    let quiet = Deployment { lines: None, ..Deployment::silent_servers() };
    let mut t = second(3, quiet, "");
    let told_silent = |fleet: &Fleet| -> u64 {
        let (_, replica) = fleet.nodes[0].as_ref().unwrap().fleet_reports().unwrap();
        replica["streams"].as_array().unwrap().iter().map(|s| s["silent"].as_u64().unwrap()).sum()
    };
    // A set-up takes half a second there, in which no word comes.
    t.fleet.world.servers[0].slow = 20.0;
    let mut most = 0;
    for n in 0..24 {
        let now = t.fleet.now;
        t.fleet.world.callers[n % 3].offer(now, "credit-lookup", 0, 3.0).unwrap();
        for _ in 0..8 {
            t.fleet.pass(0.1).unwrap();
            most = most.max(told_silent(&t.fleet));
        }
    }
    let there = t.fleet.world.servers[0].seen.iter().filter(|s| s.what == What::Stood).count();
    assert!(there >= 8, "{there} stood there");
    assert_eq!(most, 0, "told as silent, though it is only busy");
    t.fleet.world.servers[0].silent = true;
    for n in 0..4 {
        let now = t.fleet.now;
        t.fleet.world.callers[n % 3].offer(now, "credit-lookup", 0, 3.0).unwrap();
        t.fleet.pass(1.0).unwrap();
        most = most.max(told_silent(&t.fleet));
    }
    assert!(most > 0, "nobody says that it has stopped");
}

#[test]
fn small_deployments_are_served_better_than_by_a_plain_policy() {
    holds(
        100,
        &[
            kind("one server, nothing told of lines", 1, 4, 1, 3.0),
            Kind { reports: true, release: 0.3, attempts: 6, ..kind("two that report", 2, 4, 2, 3.0) },
            Kind { load: 0.92, ..kind("three that report nothing", 3, 7, 2, 3.0) },
            Kind { lines: false, release: 0.0, ..kind("nothing told at all", 3, 5, 2, 2.0) },
        ],
    );
}

#[test]
fn odd_deployments_are_served_better_than_by_a_plain_policy() {
    holds(
        200,
        &[
            Kind { attempts: 1, ..kind("one attempt", 4, 4, 3, 2.0) },
            Kind { attempts: 8, release: 0.0, ..kind("eight attempts and no release time", 4, 4, 2, 3.0) },
            Kind { release: 2.0, ..kind("a release time of 2 s", 4, 8, 2, 4.0) },
            Kind { reports: true, load: 0.4, ..kind("short deadlines", 2, 6, 1, 0.17) },
        ],
    );
}

#[test]
fn large_deployments_are_served_better_than_by_a_plain_policy() {
    holds(
        300,
        &[
            Kind { load: 0.8, ..kind("long deadlines", 5, 4, 4, 10.0) },
            Kind { reports: true, ..kind("three hundred gatekeepers", 6, 300, 2, 3.0) },
            Kind { load: 0.7, ..kind("twelve classes", 12, 40, 12, 2.0) },
            Kind { reports: true, load: 0.3, ..kind("forty servers", 40, 100, 3, 3.0) },
        ],
    );
}
