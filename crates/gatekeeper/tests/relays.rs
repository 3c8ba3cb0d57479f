//! A tier of relays between real processes: who is attached to whom, what becomes of leaves whose relay is killed, and
//! settings of the fleet that are in force everywhere, refused by a leaf, and refused by a writer without a majority.

use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use hollypaddle::ctl;
use hollypaddle::node::control::Query;
use hollypaddle_standin::free_addresses;
use hollypaddle_standin::program::{unix_time, Program};
use hollypaddle_standin::server::What;
use hollypaddle_standin::world::{classes, Plan, World, DISTRICTS};
use serde_json::Value;

const PROGRAM: &str = env!("CARGO_BIN_EXE_hollypaddle");
/// Gatekeepers that are leaves, and the relays behind them, by number.
const LEAVES: usize = 4;
const RELAYS: [usize; 3] = [4, 5, 6];
const WRITER: usize = RELAYS[0];
/// The districts of all seven: the relays stand one in each.
const STANDS: [usize; 7] = [1, 1, 2, 0, 0, 1, 2];
/// What the issue promises, in seconds.
const MOVED: f64 = 2.0;
const IN_FORCE: f64 = 4.0;
const PATIENCE: Duration = Duration::from_secs(30);

struct Group {
    folder: tempfile::TempDir,
    world: World,
    programs: Vec<Option<Program>>,
    conf: String,
    own: Vec<&'static str>,
    traffic_until: f64,
    /// Where all calls would go, if to one server.
    first_choice: Option<u32>,
}

impl Group {
    /// Starts all; the last leaf has a line of its own.
    fn start() -> Group {
        let mut all = classes();
        (all[0].hold, all[1].hold) = (0.2, 0.1);
        let plan = Plan {
            fronts: STANDS.to_vec(),
            servers: vec![(0, 200.0), (1, 200.0), (2, 200.0)],
            classes: all,
            seed: 5,
        };
        let world = World::open(plan).unwrap();
        let addresses = free_addresses(RELAYS.len()).unwrap();
        let relays: String = (RELAYS.iter().zip(&addresses))
            .map(|(n, address)| format!(" relay n{n} {address} zone {}\n", DISTRICTS[STANDS[*n]]))
            .collect();
        let conf = format!("fleet {{\n{relays} settings shared\n leaves 10\n}}\n");
        let mut own = vec![""; STANDS.len()];
        own[LEAVES - 1] = "crossings {\n urgent valve-set\n}\n";
        let folder = tempfile::tempdir().unwrap();
        let programs = (0..STANDS.len()).map(|_| None).collect();
        let mut group = Group { folder, world, programs, conf, own, traffic_until: 0.0, first_choice: None };
        group.settings("");
        // Relays that have just started take no leaves yet, and one that was sent elsewhere comes home late.
        RELAYS.into_iter().for_each(|n| group.start_one(n));
        let mut listen = vec![None; STANDS.len()];
        for n in RELAYS {
            listen[n] = Some(group.program(n).serving().unwrap());
            group.program(n).event("fleet-caught-up").unwrap();
        }
        (0..LEAVES).for_each(|n| group.start_one(n));
        (0..LEAVES).for_each(|n| listen[n] = Some(group.program(n).serving().unwrap()));
        let listen: Vec<_> = listen.into_iter().flatten().collect();
        group.world.connect(&listen);
        group
    }

    fn start_one(&mut self, n: usize) {
        let conf = format!("control {}\n{}{}", self.socket(n).display(), self.own[n], self.conf);
        let program = Program::start(Path::new(PROGRAM), self.folder.path(), &self.world, n, &conf);
        self.programs[n] = Some(program.unwrap());
    }

    fn socket(&self, n: usize) -> PathBuf {
        self.folder.path().join(format!("n{n}.sock"))
    }

    /// Writes the fleet's settings.
    fn settings(&self, text: &str) {
        std::fs::write(self.folder.path().join("shared"), text).unwrap();
    }

    fn program(&mut self, n: usize) -> &mut Program {
        self.programs[n].as_mut().unwrap()
    }

    fn kill(&mut self, n: usize) {
        self.programs[n] = None;
    }

    /// What `ctl` tells; nothing where it is not reached.
    fn members(&self, n: usize) -> Value {
        ctl::query(&self.socket(n), &Query::Members {}).unwrap_or(Value::Null)
    }

    fn relay(&self, leaf: usize) -> String {
        self.members(leaf)["relay"].as_str().unwrap_or_default().to_string()
    }

    fn in_force(&self, leaf: usize) -> u64 {
        self.members(leaf)["settings"]["in_force"].as_u64().unwrap_or_default()
    }

    /// Lets the stand-ins go on until something holds; returns after how many seconds.
    fn until(&mut self, what: &str, mut holds: impl FnMut(&Group) -> bool) -> f64 {
        let (begun, mut looked) = (Instant::now(), Instant::now());
        loop {
            let (now, first) = (unix_time(), self.first_choice);
            (0..LEAVES).for_each(|leaf| {
                if now < self.traffic_until {
                    self.world.traffic(now, leaf, 20.0, |a, _| first.unwrap_or((a * 3.0) as u32));
                }
            });
            self.world.turn(now);
            self.programs.iter_mut().flatten().for_each(Program::take_lines);
            if looked.elapsed() > Duration::from_millis(20) {
                if holds(self) {
                    return begun.elapsed().as_secs_f64();
                }
                looked = Instant::now();
            }
            if begun.elapsed() > PATIENCE {
                let told: Vec<Value> = (0..STANDS.len()).map(|n| self.members(n)).collect();
                let log: Vec<_> =
                    self.programs.iter().flatten().map(|p| p.log.iter().rev().take(8)).collect();
                panic!("waited in vain for {what}: {told:#?} {log:#?}");
            }
            std::thread::sleep(Duration::from_millis(1));
        }
    }

    /// Changes the fleet's settings; returns the version under which they are in force at the writer.
    fn change(&mut self, text: &str) -> u64 {
        let version = |g: &Group| g.members(WRITER)["settings"]["version"].as_u64();
        let before = version(self).unwrap();
        self.settings(text);
        self.program(WRITER).signal("-HUP").unwrap();
        self.until("the change to be accepted", |g| version(g) > Some(before));
        version(self).unwrap()
    }

    fn logged(&self, n: usize, event: &str) -> Vec<Value> {
        let log = self.programs[n].iter().flat_map(|p| &p.log);
        log.filter(|line| line["event"] == event).cloned().collect()
    }
}

fn all(g: &Group, version: u64) -> bool {
    (0..LEAVES).all(|leaf| g.in_force(leaf) == version)
}

const BUDGET: &str = "crossings {\n budget all {\n  rate 500/s fleet\n }\n}\n";
const SECOND: &str = "crossings {\n log-every 1h\n budget all {\n  rate 500/s fleet\n }\n}\n";
const CLASHES: &str = "crossings {\n urgent valve-set\n budget all {\n  rate 500/s fleet\n }\n}\n";

#[test]
fn leaves_move_and_settings_are_in_force_everywhere_or_refused_by_name() {
    let mut g = Group::start();
    // Each is attached to the relay of its own zone.
    let homes = ["n5", "n5", "n6", "n4"];
    g.until("all leaves to be home", |g| (0..LEAVES).all(|leaf| g.relay(leaf) == homes[leaf]));
    g.until("second choices", |g| (0..LEAVES).all(|leaf| !g.members(leaf)["second"].is_null()));
    let at_relay = g.members(5);
    assert_eq!((&at_relay["role"], &at_relay["attached"]), (&"relay".into(), &2.into()), "{at_relay}");
    assert_eq!(g.members(6)["writer"], "n4");
    g.traffic_until = unix_time() + 60.0;

    // A change is in force at all.
    let version = g.change(BUDGET);
    let took = g.until("the settings everywhere", |g| all(g, version));
    assert!(took <= IN_FORCE, "in force everywhere after {took:.2} s");
    for leaf in 0..LEAVES {
        let span = Query::Crossings { span: "total".into() };
        let report = ctl::query(&g.socket(leaf), &span).unwrap();
        assert_eq!(report["budgets"].as_array().map(Vec::len), Some(1), "{report}");
    }

    // Its leaves move when a relay is killed.
    g.kill(5);
    let took =
        g.until("its leaves to move", |g| (0..2).all(|leaf| ["n4", "n6"].contains(&g.relay(leaf).as_str())));
    assert!(took <= MOVED, "moved after {took:.2} s");
    let version = g.change(SECOND);
    let took = g.until("the settings everywhere, by two relays", |g| all(g, version));
    assert!(took <= IN_FORCE, "in force everywhere after {took:.2} s");

    // One that cannot take a change keeps what it has; why is seen at its relay and at the writer.
    let clashes = g.change(CLASHES);
    let last = LEAVES - 1;
    let took = g.until("the settings at all others", |g| (0..last).all(|leaf| g.in_force(leaf) == clashes));
    assert!(took <= IN_FORCE, "in force at all others after {took:.2} s");
    let refused = |g: &Group| {
        let told = g.members(WRITER)["members"].as_array().cloned().unwrap_or_default();
        told.into_iter().find(|row| row["refused"] == clashes)
    };
    g.until("the refusal at the relay", |g| refused(g).is_some());
    let row = refused(&g).unwrap();
    let reason = row["reason"].as_str().unwrap();
    assert!(reason.starts_with("fleet settings crossings/urgent:1:1: a second \"urgent\""), "{row}");
    assert_eq!(row["in_force"], version, "{row}");
    assert_eq!(g.in_force(last), version);
    assert_eq!(row["name"], "n3", "{row}");
    assert_eq!(g.logged(WRITER, "fleet-settings-turned-down")[0]["leaf"], "n3");
    // Once its own file makes room it takes them.
    let own = format!("control {}\n{}", g.socket(last).display(), g.conf);
    std::fs::write(g.folder.path().join(format!("n{last}.conf")), own).unwrap();
    g.program(last).signal("-HUP").unwrap();
    g.until("the last one to take it", |g| all(g, clashes));

    // A writer without a majority refuses; what is in force stays.
    g.kill(6);
    g.until("the writer to be alone", |g| g.members(WRITER)["majority"] == false);
    g.until("all at the writer", |g| (0..LEAVES).all(|leaf| g.relay(leaf) == "n4"));
    g.settings(BUDGET);
    g.program(WRITER).signal("-HUP").unwrap();
    g.until("the refusal", |g| !g.logged(WRITER, "fleet-settings-refused").is_empty());
    let event = &g.logged(WRITER, "fleet-settings-refused")[0];
    assert_eq!(event["reason"], "no-majority", "{event}");
    assert!(event["error"].as_str().unwrap().starts_with("1 of 3 relays are heard here"), "{event}");
    assert!(all(&g, clashes));

    // With another relay back the same change is taken.
    g.start_one(6);
    g.until("a majority", |g| g.members(WRITER)["majority"] == true && g.members(6)["ready"] == true);
    let version = g.change(BUDGET);
    let took = g.until("the settings everywhere again", |g| all(g, version));
    assert!(took <= IN_FORCE, "in force everywhere after {took:.2} s");

    // A relay that is paused answers nothing, and its leaves move; one that ends tells them.
    g.program(WRITER).signal("-STOP").unwrap();
    let took =
        g.until("the paused relay's leaves to move", |g| (0..LEAVES).all(|leaf| g.relay(leaf) == "n6"));
    assert!(took <= MOVED, "moved after {took:.2} s");
    g.program(WRITER).signal("-CONT").unwrap();
    g.until("second choices again", |g| (0..LEAVES).all(|leaf| g.members(leaf)["second"] == "n4"));
    g.program(6).signal("-TERM").unwrap();
    g.until("the end of a relay", |g| (0..LEAVES).all(|leaf| g.relay(leaf) == "n4"));
    let how = |leaf: usize| g.logged(leaf, "relay-lost").last().map(|event| event["how"].clone());
    (0..LEAVES).for_each(|leaf| assert_eq!(how(leaf), Some("left".into())));

    // All relays are gone: leaves serve on by what they have, and take the next change once relays are back.
    [WRITER, 6].into_iter().for_each(|n| g.kill(n));
    g.until("no relay", |g| (0..LEAVES).all(|leaf| g.members(leaf)["relay"].is_null()));
    assert!(all(&g, version));
    g.settings(SECOND);
    RELAYS.into_iter().for_each(|n| g.start_one(n));
    let later = |g: &Group| g.members(WRITER)["settings"]["version"].as_u64().filter(|v| *v > version);
    g.until("the relays", |g| later(g).is_some());
    let took = later(&g).map(|later| g.until("the settings of the new relays", |g| all(g, later))).unwrap();
    assert!(took <= IN_FORCE, "in force everywhere after {took:.2} s");

    // All of it touched no call.
    g.traffic_until = 0.0;
    g.until("the ends", |g| g.world.callers[..LEAVES].iter().all(|c| c.unanswered() + c.standing() == 0));
    for callers in &g.world.callers[..LEAVES] {
        assert!(callers.calls.values().all(|c| c.answers == 1) && callers.calls.len() > 20);
    }
}

/// The resolver of one says nothing of a drain; it hears of it from the others of its service, through their relays.
#[test]
fn a_leaf_hears_of_a_drain_from_the_others() {
    let mut g = Group::start();
    g.until("all leaves to be attached", |g| (0..LEAVES).all(|leaf| !g.relay(leaf).is_empty()));
    g.world.resolver_silent(0, true);
    let sent = |g: &Group, server: usize, since: f64| {
        let seen = g.world.servers[server].seen.iter();
        seen.filter(|s| s.door == 0 && s.what == What::SetUp && s.at >= since).count()
    };
    let begun = unix_time();
    g.first_choice = Some(0);
    g.traffic_until = begun + 60.0;
    g.until("its first choice", |g| sent(g, 0, begun) > 5);
    let drained = unix_time();
    g.world.drain(0, true);
    g.until("other servers", |g| sent(g, 1, drained) + sent(g, 2, drained) > 5);
    let since = unix_time();
    g.until("a second of it", |_| unix_time() > since + 1.0);
    assert_eq!(sent(&g, 0, since), 0, "it was told {:.2} s after the drain", since - drained);
    assert!(since - drained < MOVED, "it was told {:.2} s after the drain", since - drained);
}
