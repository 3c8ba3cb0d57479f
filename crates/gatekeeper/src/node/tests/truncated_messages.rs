//! Messages that are shorter than their length prefix says, with others behind them on the same connection.

use super::*;

/// Call ids as callers draw them: random, so that their eight bytes do not look like a message header.
const CALL_IDS: [u64; 3] = [0x091b_7584_a226_5b1f, 0xe4c3_02d9_517f_8a66, 0x5f20_9b3e_c871_04ad];

/// The description that the server sends for a call.
fn description(id: u64) -> Vec<u8> {
    format!("made for {id:016x}").into_bytes()
}

fn answer_with_description(id: u64) -> Message {
    Message::new(kind::ANSWER, id).with(code::DESCRIPTION, description(id))
}

fn encoded(message: &Message) -> Vec<u8> {
    let mut bytes = Vec::new();
    message.encode(&mut bytes);
    bytes
}

/// A test bed with three open set-ups on the only connection to the only server, and that connection.
fn with_three_open_set_ups() -> (TestBed, Peer) {
    open_three_set_ups(TestBed::new(1))
}

fn open_three_set_ups(mut bed: TestBed) -> (TestBed, Peer) {
    bed.establish_call(9);
    for id in CALL_IDS {
        bed.caller.send(&set_up(id, 9000)).unwrap();
    }
    for id in CALL_IDS {
        bed.expect_at_server(id, kind::SET_UP);
    }
    let connection = bed.servers.remove(0);
    (bed, connection)
}

fn write_bytes(peer: &Peer, bytes: &[u8]) {
    peer.stream().write_all(bytes).unwrap();
}

fn received_for_call(bed: &TestBed, id: u64) -> Vec<&Message> {
    bed.caller_received.iter().filter(|m| m.call == id).collect()
}

/// Guards against a truncated answer that is passed on with the first bytes of the next one as its end.
#[test]
fn a_truncated_answer_is_not_completed_by_the_next_answer() {
    for missing in [1, 2, 3, 5, 8, 9, 10, 11, 12, 14, 20, 25] {
        for iterations_between in [0, 3] {
            let (mut bed, connection) = with_three_open_set_ups();
            let whole = encoded(&answer_with_description(CALL_IDS[0]));
            write_bytes(&connection, &whole[..whole.len() - missing]);
            (0..iterations_between).for_each(|_| bed.run_iteration());
            write_bytes(&connection, &encoded(&answer_with_description(CALL_IDS[1])));
            write_bytes(&connection, &encoded(&answer_with_description(CALL_IDS[2])));
            bed.run_for(1.0);
            // The set-ups are sent again on another connection, and the server's answers there are passed on.
            for id in CALL_IDS {
                bed.send_from_all_servers(&answer_with_description(id));
            }
            bed.run_for(0.5);
            for id in CALL_IDS {
                let case =
                    format!("{missing} bytes missing, {iterations_between} iterations between, call {id:x}");
                let received = received_for_call(&bed, id);
                assert_eq!(received.len(), 1, "{case}: {received:?}");
                let description_received = received[0].bytes(code::DESCRIPTION);
                assert_eq!(description_received, Some(&description(id)[..]), "{case}");
            }
        }
    }
}

/// Writes bytes on a connection, and runs iterations in which the gatekeeper reads them.
fn write_then_run(bed: &mut TestBed, peer: &Peer, bytes: &[u8], iterations: usize) {
    write_bytes(peer, bytes);
    for _ in 0..iterations {
        bed.run_iteration();
    }
}

/// Has the server answer each set-up that is sent again on another connection, and once each that may not have been
/// sent yet. Asserts that each call gets one final answer by its deadline: the server's answer, unchanged, or a
/// refusal.
fn assert_answered_or_refused(bed: &mut TestBed, case: &str) {
    bed.run_for(1.0);
    let mut handled = bed.servers_received.len();
    for id in CALL_IDS {
        bed.send_from_all_servers(&answer_with_description(id));
    }
    let deadline = bed.gatekeeper.now() + 9.0;
    while bed.gatekeeper.now() < deadline && CALL_IDS.iter().any(|id| received_for_call(bed, *id).is_empty())
    {
        bed.run_for(0.1);
        let set_ups = bed.servers_received[handled..].iter().filter(|m| m.kind == kind::SET_UP);
        let new_set_ups: Vec<u64> = set_ups.map(|m| m.call).collect();
        handled = bed.servers_received.len();
        new_set_ups.into_iter().for_each(|id| bed.send_from_all_servers(&answer_with_description(id)));
    }
    bed.run_for(0.5);
    for id in CALL_IDS {
        let received = received_for_call(bed, id);
        assert_eq!(received.len(), 1, "{case}, call {id:x}: {received:?}");
        let refused = received[0].kind == kind::RELEASE;
        assert!(refused || *received[0] == answer_with_description(id), "{case}, call {id:x}: {received:?}");
    }
}

/// Guards against a truncated answer whose missing bytes arrive at the end of a read, when no following bytes show yet
/// that they belong to the next message.
#[test]
fn an_answer_completed_at_the_end_of_a_read_is_held_until_more_bytes_arrive() {
    let next = encoded(&answer_with_description(CALL_IDS[1]));
    for missing in 1..=25 {
        let (mut bed, connection) = open_three_set_ups(TestBed::with_manual_clock(1));
        let whole = encoded(&answer_with_description(CALL_IDS[0]));
        write_then_run(&mut bed, &connection, &whole[..whole.len() - missing], 3);
        write_then_run(&mut bed, &connection, &next[..missing], 3);
        write_then_run(&mut bed, &connection, &next[missing..], 3);
        assert_answered_or_refused(&mut bed, &format!("{missing} bytes missing"));
    }
}

/// Guards against a truncated answer that is completed by messages of other types, by several messages, or by invalid
/// bytes.
#[test]
fn a_truncated_answer_is_not_completed_by_other_messages_or_invalid_bytes() {
    let end = encoded(&release(CALL_IDS[1], cause::TEMPORARY_FAILURE));
    let report = encoded(&Message::new(kind::STATE, 0).with(code::REPORT, "free:12;size:40"));
    let ahead = encoded(&answer_with_description(0x7d11_c05a_3e88_f402));
    let whole = encoded(&answer_with_description(CALL_IDS[0]));
    let behind = [
        ("a release", end.clone()),
        ("a report", report.clone()),
        ("an answer before its set-up", ahead),
        ("releases and a report", [end.clone(), end, report].concat()),
        ("invalid bytes", vec![0xa7; 60]),
    ];
    for (name, behind) in &behind {
        for missing in [1, 7, 15, 19, 24] {
            let (mut bed, connection) = with_three_open_set_ups();
            write_then_run(&mut bed, &connection, &whole[..whole.len() - missing], 3);
            write_then_run(&mut bed, &connection, behind, 3);
            assert_answered_or_refused(&mut bed, &format!("{missing} bytes missing, {name} behind"));
        }
    }
}

/// Guards against a release that takes the first byte of the next message as its cause: `full` would become a failure,
/// and a normal end would become a cut.
#[test]
fn a_truncated_release_is_not_completed_by_the_next_message() {
    let (mut bed, connection) = with_three_open_set_ups();
    let end = encoded(&release(9, cause::NORMAL));
    write_then_run(&mut bed, &connection, &end[..end.len() - 1], 3);
    write_then_run(&mut bed, &connection, &encoded(&answer_with_description(CALL_IDS[0])), 3);
    bed.run_for(0.5);
    let ends: Vec<&Message> =
        bed.caller_received.iter().filter(|m| m.call == 9 && m.kind == kind::RELEASE).collect();
    assert!(ends.is_empty(), "{ends:?}");
    // The server sends the release again on the next connection.
    bed.send_from_all_servers(&release(9, cause::NORMAL));
    bed.expect_at_caller(9, kind::RELEASE, Some(cause::NORMAL));
    assert_answered_or_refused(&mut bed, "a truncated release");
}

/// Guards against valid answers that arrive in pieces and are refused, or passed on later than 5 ms after their last
/// byte.
#[test]
fn an_answer_in_two_pieces_is_passed_on_within_5_ms() {
    let whole = encoded(&answer_with_description(CALL_IDS[0]));
    for cut in 1..whole.len() {
        let (mut bed, connection) = open_three_set_ups(TestBed::with_manual_clock(1));
        write_then_run(&mut bed, &connection, &whole[..cut], 3);
        write_then_run(&mut bed, &connection, &whole[cut..], 1);
        bed.gatekeeper.advance_clock(0.005);
        for _ in 0..3 {
            bed.run_iteration();
        }
        let received = received_for_call(&bed, CALL_IDS[0]);
        assert_eq!(received, [&answer_with_description(CALL_IDS[0])], "cut after {cut} bytes");
    }
}

/// Guards against forwarding a set-up that no caller sent: a truncated one that is completed by the next.
#[test]
fn a_truncated_set_up_is_not_completed_by_the_next_set_up() {
    let set_up_with_description = |id: u64| {
        Message::new(kind::SET_UP, id)
            .with(code::CLASS, "meter-read")
            .with(code::WAIT, "9000")
            .with(code::NUMBER, format!("{id:016x}"))
            .with(code::ATTRIBUTES, "dest:0;width:1;via:-1")
            .with(code::DESCRIPTION, description(id))
    };
    for missing in [1, 2, 3, 5, 8, 10, 11, 12, 20, 25] {
        for iterations_between in [0, 3] {
            let mut bed = TestBed::new(1);
            bed.establish_call(9);
            let caller = bed.connect_caller();
            let whole = encoded(&set_up_with_description(CALL_IDS[0]));
            write_then_run(&mut bed, &caller, &whole[..whole.len() - missing], iterations_between);
            write_then_run(&mut bed, &caller, &encoded(&set_up_with_description(CALL_IDS[1])), 0);
            write_then_run(&mut bed, &caller, &encoded(&set_up_with_description(CALL_IDS[2])), 3);
            bed.run_for(0.5);
            for set_up in
                bed.servers_received.iter().filter(|m| CALL_IDS.contains(&m.call) && m.kind == kind::SET_UP)
            {
                let description_received = set_up.bytes(code::DESCRIPTION);
                assert_eq!(
                    description_received,
                    Some(&description(set_up.call)[..]),
                    "{missing} bytes missing"
                );
            }
        }
    }
}
