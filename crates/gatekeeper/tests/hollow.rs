//! A tier of three relays, four gatekeepers and sixty hollow leaves, all as processes, with kills and cuts between: a relay, a
//! process of leaves, and the links of one relay to the others.

use std::error::Error;
use std::path::PathBuf;
use std::process::Command;

use clap::Parser;
use hollypaddle_hollow::leaves::{run, Plan};
use hollypaddle_hollow::stage::{Setup, Stage};
use hollypaddle_standin::program::unix_time;

const PROGRAM: &str = env!("CARGO_BIN_EXE_hollypaddle");
/// Where the process of hollow leaves finds its command line.
const PLAN: &str = "HOLLYPADDLE_HOLLOW_PLAN";
const RELAYS: usize = 3;
const GATEKEEPERS: usize = 4;
const LEAVES: usize = 60;
/// What the operators ask for: seconds until all leaves are attached, and until a change is in force at all; bytes a second of
/// a leaf, both ways, with the headers of packets.
const HOME: f64 = 5.0;
const IN_FORCE: f64 = 4.0;
const BYTES: f64 = 8000.0;
/// A process that was away is held gone by its relay for so long at most after it is back, in seconds.
const KNOWN: f64 = 4.0;
const PATIENCE: f64 = 20.0;
/// Calls a second at each gatekeeper.
const RATE: f64 = 20.0;

/// Is no test: the process that the test below starts.
#[test]
#[ignore = "the process of hollow leaves that the other test starts"]
fn hollow_process() {
    if let Ok(plan) = std::env::var(PLAN) {
        run(&Plan::parse_from(plan.split(' '))).unwrap();
    }
}

fn start() -> Result<Stage, Box<dyn Error>> {
    let own = std::env::current_exe()?;
    let hollow = move |plan: &Plan| {
        let mut command = Command::new(&own);
        command.args(["--exact", "hollow_process", "--ignored", "--nocapture"]);
        command.env(PLAN, format!("hollow {}", plan.args().join(" ")));
        command
    };
    Stage::start(Setup {
        program: PathBuf::from(PROGRAM),
        hollow: Box::new(hollow),
        relays: RELAYS,
        zones: RELAYS,
        gatekeepers: GATEKEEPERS,
        plain: 0,
        leaves: LEAVES,
        processes: RELAYS,
        proxies: true,
    })
}

/// A change is in force at all leaves in time.
fn change(stage: &mut Stage, when: &str) -> Result<(), Box<dyn Error>> {
    let (version, _) = stage.change()?;
    let took = stage.until("a change to be in force at all", PATIENCE, |s| s.all_have(version))?;
    assert!(took <= IN_FORCE, "{when}: in force at all after {took:.2} s");
    Ok(())
}

/// All leaves are attached in time, and none that lives is held to be gone.
fn attached(stage: &mut Stage, when: &str) -> Result<(), Box<dyn Error>> {
    let took = stage.until("all leaves to be attached", PATIENCE, Stage::all_attached)?;
    assert!(took <= HOME, "{when}: all attached after {took:.2} s");
    let all = stage.attached()?;
    assert_eq!(all.values().sum::<usize>(), GATEKEEPERS + LEAVES, "{when}: {all:?}");
    let told: Vec<_> = stage.relays().map(|n| stage.members(n)).collect();
    for told in told.iter().filter(|told| !told.is_null()) {
        assert!(told["attached"].as_u64() <= told["limit"].as_u64(), "{when}: {told}");
    }
    Ok(())
}

fn none_held_gone(stage: &mut Stage, when: &str) -> Result<(), Box<dyn Error>> {
    assert_eq!(stage.false_deaths()?, 0, "{when}: leaves that live are held gone");
    Ok(())
}

/// Waits until a relay hears so many, its own life counted.
fn hears(stage: &mut Stage, relay: usize, count: u64) -> Result<(), Box<dyn Error>> {
    let n = stage.relay(relay);
    stage.until("relays to hear each other", PATIENCE, |s| {
        let told = s.members(n);
        Ok(told["heard"] == count && (count < RELAYS as u64 || told["ready"] == true))
    })?;
    Ok(())
}

fn play() -> Result<(), Box<dyn Error>> {
    let mut stage = start()?;
    let begun = unix_time();
    stage.rate = RATE;
    change(&mut stage, "at first")?;
    none_held_gone(&mut stage, "at first")?;

    // A relay is killed, and is back.
    let killed = stage.relay(1);
    stage.kill(killed);
    attached(&mut stage, "a relay was killed")?;
    change(&mut stage, "a relay was killed")?;
    none_held_gone(&mut stage, "a relay was killed")?;
    stage.start_program(killed)?;
    (0..RELAYS).try_for_each(|relay| hears(&mut stage, relay, RELAYS as u64))?;

    // A process of leaves is killed, and is back under the same names.
    stage.hollow[2] = None;
    stage.start_hollow(2)?;
    let restarted = unix_time();
    attached(&mut stage, "a process of leaves was killed")?;
    stage.until("what lives to be known", KNOWN, |s| Ok(s.false_deaths()? == 0))?;
    change(&mut stage, "a process of leaves was killed")?;

    // A relay loses the others: the rest go on, and its own leaves hear of what they missed once it is back.
    stage.cut_off(2, true);
    hears(&mut stage, 0, 2)?;
    hears(&mut stage, 2, 1)?;
    let (version, _) = stage.change()?;
    let writer = stage.relay(0);
    stage.until("the rest to accept a change", IN_FORCE, |s| {
        Ok(s.members(writer)["settings"]["version"].as_u64() >= Some(version))
    })?;
    none_held_gone(&mut stage, "a relay is cut off")?;
    stage.cut_off(2, false);
    let took = stage.until("all to be equal", PATIENCE, |s| s.all_have(version))?;
    assert!(took <= IN_FORCE, "all equal {took:.2} s after the healing");
    (0..RELAYS).try_for_each(|relay| hears(&mut stage, relay, RELAYS as u64))?;

    // The writer alone refuses, and says why.
    stage.cut_off(0, true);
    hears(&mut stage, 0, 1)?;
    stage.propose(0)?;
    stage.until("the refusal", PATIENCE, |s| Ok(!s.logged(writer, "fleet-settings-refused").is_empty()))?;
    assert_eq!(stage.logged(writer, "fleet-settings-refused")[0]["reason"], "no-majority");
    none_held_gone(&mut stage, "the writer is cut off")?;
    stage.cut_off(0, false);
    (0..RELAYS).try_for_each(|relay| hears(&mut stage, relay, RELAYS as u64))?;
    change(&mut stage, "the links are healed")?;
    attached(&mut stage, "the links are healed")?;
    none_held_gone(&mut stage, "the links are healed")?;

    // What each leaf said and heard is within its rate, over its life.
    for (process, (at, bytes)) in stage.hollow_bytes()?.into_iter().enumerate() {
        let lived = at - if process == 2 { restarted } else { begun };
        for bytes in bytes {
            assert!(bytes as f64 <= BYTES * lived, "{bytes} bytes of a leaf in {lived:.1} s");
        }
    }
    // All of it touched no call.
    stage.rate = 0.0;
    let ended =
        |s: &mut Stage| Ok(s.world.callers[..GATEKEEPERS].iter().all(|c| c.unanswered() + c.standing() == 0));
    stage.until("the ends of all calls", PATIENCE, ended)?;
    for callers in &stage.world.callers[..GATEKEEPERS] {
        assert!(callers.calls.values().all(|call| call.answers == 1) && callers.calls.len() > 20);
    }
    Ok(())
}

#[test]
fn leaves_outlive_their_relays_and_settings_are_in_force_at_all_of_them() {
    if let Err(error) = play() {
        panic!("{error}");
    }
}
