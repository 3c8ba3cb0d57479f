//! A tier of three relays, four gatekeepers and sixty hollow leaves in real processes. The test kills a relay and a
//! process of leaves, and cuts the links of one relay to the others.

use std::error::Error;
use std::path::PathBuf;
use std::process::Command;

use clap::Parser;
use hollypaddle_hollow::leaves::{run, Plan};
use hollypaddle_hollow::test_bed::{Setup, TestBed};
use hollypaddle_standin::program::unix_time;

const PROGRAM: &str = env!("CARGO_BIN_EXE_hollypaddle");
/// Environment variable with the command line of the process of hollow leaves.
const PLAN_VARIABLE: &str = "HOLLYPADDLE_HOLLOW_PLAN";
const RELAYS: usize = 3;
const GATEKEEPERS: usize = 4;
const LEAVES: usize = 60;
/// Required by the operators: all leaves are attached again within this time.
const MAX_ATTACH_S: f64 = 5.0;
/// Required by the operators: a change is in force at all leaves within this time.
const MAX_IN_FORCE_S: f64 = 4.0;
/// Required by the operators: traffic of one leaf, sent and received, with packet headers.
const MAX_BYTES_PER_S: f64 = 8000.0;
/// The longest time for which a relay may still hold restarted leaves to be gone.
const MAX_STALE_GONE_S: f64 = 4.0;
/// Timeout of other waits.
const TIMEOUT_S: f64 = 20.0;
/// Calls per second at each gatekeeper.
const CALLS_PER_S: f64 = 20.0;

/// Not a test: the process of hollow leaves, which the test below starts.
#[test]
#[ignore = "the process of hollow leaves that the other test starts"]
fn hollow_process() {
    if let Ok(plan) = std::env::var(PLAN_VARIABLE) {
        run(&Plan::parse_from(plan.split(' '))).unwrap();
    }
}

fn start() -> Result<TestBed, Box<dyn Error>> {
    let own = std::env::current_exe()?;
    let hollow = move |plan: &Plan| {
        let mut command = Command::new(&own);
        command.args(["--exact", "hollow_process", "--ignored", "--nocapture"]);
        command.env(PLAN_VARIABLE, format!("hollow {}", plan.args().join(" ")));
        command
    };
    TestBed::start(Setup {
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

/// Changes the settings, and checks that the change is in force at all leaves in time.
fn check_change(stage: &mut TestBed, when: &str) -> Result<(), Box<dyn Error>> {
    let (version, _) = stage.change_settings()?;
    let seconds = stage
        .wait_until("a change to be in force at all leaves", TIMEOUT_S, |s| s.all_have_version(version))?;
    assert!(seconds <= MAX_IN_FORCE_S, "{when}: in force at all leaves after {seconds:.2} s");
    Ok(())
}

/// Checks that all leaves are attached in time, and no relay has more than its limit.
fn check_all_attached(stage: &mut TestBed, when: &str) -> Result<(), Box<dyn Error>> {
    let seconds = stage.wait_until("all leaves to be attached", TIMEOUT_S, TestBed::all_attached)?;
    assert!(seconds <= MAX_ATTACH_S, "{when}: all leaves attached after {seconds:.2} s");
    let counts = stage.leaves_by_relay()?;
    assert_eq!(counts.values().sum::<usize>(), GATEKEEPERS + LEAVES, "{when}: {counts:?}");
    let reports: Vec<_> = stage.relay_indices().map(|n| stage.members_report(n)).collect();
    for report in reports.iter().filter(|report| !report.is_null()) {
        assert!(report["attached"].as_u64() <= report["limit"].as_u64(), "{when}: {report}");
    }
    Ok(())
}

fn check_none_held_gone(stage: &mut TestBed, when: &str) -> Result<(), Box<dyn Error>> {
    assert_eq!(stage.false_deaths()?, 0, "{when}: live leaves are held to be gone");
    Ok(())
}

/// Waits until a relay receives messages from this number of relays, itself included.
fn wait_for_relays(stage: &mut TestBed, relay: usize, count: u64) -> Result<(), Box<dyn Error>> {
    let n = stage.relay_index(relay);
    stage.wait_until("the relays to receive from the expected number of relays", TIMEOUT_S, |s| {
        let report = s.members_report(n);
        Ok(report["heard"] == count && (count < RELAYS as u64 || report["ready"] == true))
    })?;
    Ok(())
}

fn run_faults() -> Result<(), Box<dyn Error>> {
    let mut stage = start()?;
    let started_at = unix_time();
    stage.rate = CALLS_PER_S;
    check_change(&mut stage, "at first")?;
    check_none_held_gone(&mut stage, "at first")?;

    // A relay is killed and restarted.
    let killed = stage.relay_index(1);
    stage.kill(killed);
    check_all_attached(&mut stage, "a relay was killed")?;
    check_change(&mut stage, "a relay was killed")?;
    check_none_held_gone(&mut stage, "a relay was killed")?;
    stage.start_program(killed)?;
    (0..RELAYS).try_for_each(|relay| wait_for_relays(&mut stage, relay, RELAYS as u64))?;

    // A process of leaves is killed and restarted with the same names.
    stage.hollow[2] = None;
    stage.start_hollow(2)?;
    let restarted_at = unix_time();
    check_all_attached(&mut stage, "a process of leaves was killed")?;
    stage.wait_until("the restarted leaves to be held alive", MAX_STALE_GONE_S, |s| {
        Ok(s.false_deaths()? == 0)
    })?;
    check_change(&mut stage, "a process of leaves was killed")?;

    // A relay is cut off: the others go on, and its leaves receive the change that they missed once it is reconnected.
    stage.cut_relay(2, true);
    wait_for_relays(&mut stage, 0, 2)?;
    wait_for_relays(&mut stage, 2, 1)?;
    let (version, _) = stage.change_settings()?;
    let writer = stage.relay_index(0);
    stage.wait_until("the other relays to accept a change", MAX_IN_FORCE_S, |s| {
        Ok(s.members_report(writer)["settings"]["version"].as_u64() >= Some(version))
    })?;
    check_none_held_gone(&mut stage, "a relay is cut off")?;
    stage.cut_relay(2, false);
    let seconds =
        stage.wait_until("all leaves to have the change", TIMEOUT_S, |s| s.all_have_version(version))?;
    assert!(seconds <= MAX_IN_FORCE_S, "in force at all leaves {seconds:.2} s after the links were restored");
    (0..RELAYS).try_for_each(|relay| wait_for_relays(&mut stage, relay, RELAYS as u64))?;

    // The writer refuses a change without a majority, and logs the reason.
    stage.cut_relay(0, true);
    wait_for_relays(&mut stage, 0, 1)?;
    stage.propose_change(0)?;
    stage.wait_until("the refusal", TIMEOUT_S, |s| {
        Ok(!s.log_lines(writer, "fleet-settings-refused").is_empty())
    })?;
    assert_eq!(stage.log_lines(writer, "fleet-settings-refused")[0]["reason"], "no-majority");
    check_none_held_gone(&mut stage, "the writer is cut off")?;
    stage.cut_relay(0, false);
    (0..RELAYS).try_for_each(|relay| wait_for_relays(&mut stage, relay, RELAYS as u64))?;
    check_change(&mut stage, "the links are restored")?;
    check_all_attached(&mut stage, "the links are restored")?;
    check_none_held_gone(&mut stage, "the links are restored")?;

    // The traffic of each leaf stays within its limit, over the life of its process.
    for (process, (at, totals)) in stage.hollow_bytes()?.into_iter().enumerate() {
        let lifetime_s = at - if process == 2 { restarted_at } else { started_at };
        for bytes in totals {
            assert!(
                bytes as f64 <= MAX_BYTES_PER_S * lifetime_s,
                "{bytes} bytes of one leaf in {lifetime_s:.1} s"
            );
        }
    }
    // None of these faults affected a call.
    stage.rate = 0.0;
    let ended = |s: &mut TestBed| {
        Ok(s.world.callers[..GATEKEEPERS].iter().all(|c| c.unanswered() + c.standing() == 0))
    };
    stage.wait_until("the ends of all calls", TIMEOUT_S, ended)?;
    for callers in &stage.world.callers[..GATEKEEPERS] {
        assert!(callers.calls.values().all(|call| call.answers == 1) && callers.calls.len() > 20);
    }
    Ok(())
}

#[test]
fn leaves_reattach_and_settings_reach_all_leaves_after_kills_and_cuts_of_relays() {
    if let Err(error) = run_faults() {
        panic!("{error}");
    }
}
