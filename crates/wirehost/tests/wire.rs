//! The adapter as a process: what it reads, what it answers, and how it fails on invalid input.

use std::io::Write;
use std::process::{Command, Output, Stdio};

const SETTINGS: &str = r#"{"peersTotal": 4, "period": 0.005, "someNewKey": [1, 2],
 "familyInfo": {"release": 0.3, "retransmit": 0.4, "poolsByClass": [[0, 1]]},
 "limits": {"tryLimit": 5, "mayCancel": true},
 "requestClasses": [{"effect": "read_like", "goalTime": 1.5, "hardLimit": 9.0, "lateWorth": 0.25, "value": 1.0}],
 "safety": {"cold": 14.0, "coldFrom": 0.34, "overloadFactor": 2.5},
 "telemetry": {"names": ["free", "size", "latency_ms", "can_take"]}}"#;

/// Address and port of the listed server.
const SERVER: [u8; 6] = [10, 18, 74, 7, 0x1b, 0x5b];

/// A frame with a clock and records.
fn frame(now: f64, records: &[Vec<u8>]) -> Vec<u8> {
    let body: Vec<u8> = now.to_be_bytes().into_iter().chain(records.concat()).collect();
    let mut frame = (body.len() as u32).to_be_bytes().to_vec();
    frame.extend(body);
    frame
}

/// A record that starts an instance.
fn create(instance: u16, settings: &str) -> Vec<u8> {
    let mut record = vec![2];
    record.extend(instance.to_be_bytes());
    record.extend(1u64.to_be_bytes());
    record.extend((settings.len() as u32).to_be_bytes());
    record.extend(settings.as_bytes());
    record
}

/// A record that registers a list with one server under the number 0.
fn register() -> Vec<u8> {
    let mut record = vec![6, 0, 0, 0, 0, 1];
    record.extend(SERVER);
    record.extend([0, 0, 0, 0, 0, 1, 1]);
    record.extend(1f32.to_be_bytes());
    record.extend(0f64.to_be_bytes());
    record
}

/// A record that gives list 0 to an instance.
fn list(instance: u16) -> Vec<u8> {
    let mut record = vec![4];
    record.extend(instance.to_be_bytes());
    record.push(2);
    record.extend(41u64.to_be_bytes());
    record.push(0);
    record
}

/// A record that offers a call to an instance.
fn offer(instance: u16, call: u32) -> Vec<u8> {
    let mut record = vec![7];
    record.extend(instance.to_be_bytes());
    record.extend(call.to_be_bytes());
    record.extend(0u16.to_be_bytes());
    record.extend(3f64.to_be_bytes());
    record.extend(0u32.to_be_bytes());
    record.extend(0f64.to_be_bytes());
    record.extend(99u64.to_be_bytes());
    record.extend(1f32.to_be_bytes());
    record.extend(1f32.to_be_bytes());
    record.extend(0u16.to_be_bytes());
    record.extend((-1f32).to_be_bytes());
    record
}

/// Runs the adapter with this input.
fn run_adapter(input: &[u8]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_hollypaddle-wirehost"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    // The adapter may stop reading at invalid input, so a failed write is no error of the test.
    let _ = child.stdin.take().expect("piped").write_all(input);
    child.wait_with_output().expect("the adapter ends")
}

/// Asserts that the adapter fails with one line that contains `expected`, and without a reply.
fn fails_with(input: &[u8], expected: &str) {
    let output = run_adapter(input);
    let error = String::from_utf8(output.stderr).expect("text");
    assert_eq!(output.status.code(), Some(1), "{error}");
    assert!(error.contains(expected), "{error}");
    assert_eq!(error.lines().count(), 1, "{error}");
    assert!(output.stdout.is_empty(), "no partial reply");
}

#[test]
fn an_empty_batch_gets_an_empty_reply() {
    let output = run_adapter(&frame(1.0, &[]));
    assert!(output.status.success());
    assert_eq!(output.stdout, [0; 8]);
}

#[test]
fn a_call_is_assigned_to_the_listed_server() {
    let output = run_adapter(&frame(1.0, &[create(3, SETTINGS), register(), list(3), offer(3, 0x5d3a91c4)]));
    assert!(output.status.success());
    let records = &output.stdout[8..];
    assert_eq!(records[..3], [1, 0, 3]);
    assert_eq!(records[3..7], 0x5d3a91c4u32.to_be_bytes());
    assert_eq!(records[7..13], SERVER);
    assert_eq!(records[13..21], 0f64.to_be_bytes());
    assert_eq!(records[21..24], [5, 0, 3], "a timer is set");
    let length = u32::from_be_bytes(output.stdout[4..8].try_into().expect("four bytes"));
    assert_eq!(length as usize, records.len());
}

#[test]
fn a_load_report_with_fewer_values_than_names_is_accepted() {
    let mut end = vec![1, 0, 3];
    end.extend(5u32.to_be_bytes());
    end.extend(0u32.to_be_bytes());
    end.extend(SERVER);
    end.extend(0.1f64.to_be_bytes());
    end.extend([0, 1, 0, 0, 1]);
    end.extend(f32::NAN.to_be_bytes());
    let output = run_adapter(&frame(1.0, &[create(3, SETTINGS), register(), list(3), offer(3, 5), end]));
    assert!(output.status.success());
}

#[test]
fn invalid_settings_are_reported_for_that_instance_only() {
    let bad = [create(1, "{no"), create(2, SETTINGS), register(), list(2), offer(2, 8)];
    let output = run_adapter(&frame(1.0, &bad));
    assert!(output.status.success());
    assert_eq!(output.stdout[8..11], [10, 0, 1]);
    let text = String::from_utf8_lossy(&output.stdout);
    assert!(text.contains("settings: "));
    assert_eq!(output.stdout[..4], 3u32.to_be_bytes(), "one report, and two actions of the other instance");
}

#[test]
fn a_missing_setting_is_named_in_the_report() {
    let output = run_adapter(&frame(1.0, &[create(1, r#"{"peersTotal": 4}"#)]));
    assert!(String::from_utf8_lossy(&output.stdout).contains("period"));
}

#[test]
fn a_stopped_instance_gives_no_answer() {
    let output =
        run_adapter(&frame(1.0, &[create(3, SETTINGS), register(), list(3), vec![9, 0, 3], offer(3, 1)]));
    assert_eq!(output.stdout, [0; 8]);
}

#[test]
fn a_truncated_frame_is_an_error() {
    let whole = frame(1.0, &[create(3, SETTINGS)]);
    fails_with(&whole[..whole.len() - 1], "ended inside a frame");
    fails_with(&whole[..2], "ended inside a frame");
}

#[test]
fn a_frame_without_room_for_its_clock_is_an_error() {
    fails_with(&[0, 0, 0, 3, 1, 2, 3], "no room for its clock");
    fails_with(&frame(f64::NAN, &[]), "clock");
}

#[test]
fn the_error_for_an_unknown_event_code_names_code_and_position() {
    fails_with(&frame(1.0, &[vec![9, 0, 1], vec![77, 0, 0]]), "unknown event code 77 at byte 3");
}

#[test]
fn the_error_for_a_truncated_record_or_a_wrong_length_names_its_position() {
    fails_with(&frame(1.0, &[vec![7, 0, 1]]), "code 7 at byte 0 is cut short");
    let mut long = create(3, SETTINGS);
    long[11..15].copy_from_slice(&u32::MAX.to_be_bytes());
    fails_with(&frame(1.0, &[long]), "code 2 at byte 0 is cut short");
    fails_with(&frame(1.0, &[vec![6, 0, 255, 255, 255, 255]]), "code 6 at byte 0 is cut short");
}

#[test]
fn undefined_values_are_errors() {
    let mut wrong = list(3);
    wrong[3] = 9;
    fails_with(&frame(1.0, &[register(), wrong]), "mode 9");
    fails_with(&frame(1.0, &[create(3, SETTINGS), list(3)]), "list 0 was never registered");
}
