//! Messages that stop short of their own length, with others behind them on the same connection.

use super::*;

/// Ids as callers draw them: eight bytes that are no part of a head by chance.
const IDS: [u64; 3] = [0x091b_7584_a226_5b1f, 0xe4c3_02d9_517f_8a66, 0x5f20_9b3e_c871_04ad];

/// The description that the server gives a call.
fn description(id: u64) -> Vec<u8> {
    format!("made for {id:016x}").into_bytes()
}

fn described_answer(id: u64) -> Message {
    Message::new(kind::ANSWER, id).with(code::DESCRIPTION, description(id))
}

fn encoded(message: &Message) -> Vec<u8> {
    let mut bytes = Vec::new();
    message.encode(&mut bytes);
    bytes
}

/// Three set-ups that are open on the only connection to the only server, and that connection.
fn with_three_open() -> (World, Peer) {
    three_open_in(World::new(1))
}

fn three_open_in(mut w: World) -> (World, Peer) {
    w.stand(9);
    for id in IDS {
        w.caller.send(&set_up(id, 9000)).unwrap();
    }
    for id in IDS {
        w.at_servers(id, kind::SET_UP);
    }
    let carrying = w.servers.remove(0);
    (w, carrying)
}

fn write_raw(peer: &Peer, bytes: &[u8]) {
    peer.stream().write_all(bytes).unwrap();
}

fn heard_of(w: &World, id: u64) -> Vec<&Message> {
    w.heard.iter().filter(|m| m.call == id).collect()
}

/// Guards against an answer that stops short being passed on with the first bytes of the next one as its end.
#[test]
fn an_answer_that_stops_short_is_not_completed_by_the_next_one() {
    for missing in [1, 2, 3, 5, 8, 9, 10, 11, 12, 14, 20, 25] {
        for turns_between in [0, 3] {
            let (mut w, carrying) = with_three_open();
            let whole = encoded(&described_answer(IDS[0]));
            write_raw(&carrying, &whole[..whole.len() - missing]);
            (0..turns_between).for_each(|_| w.turn());
            write_raw(&carrying, &encoded(&described_answer(IDS[1])));
            write_raw(&carrying, &encoded(&described_answer(IDS[2])));
            w.pass(1.0);
            // The set-ups come again on another connection, and what the server says there counts.
            for id in IDS {
                w.servers_say(&described_answer(id));
            }
            w.pass(0.5);
            for id in IDS {
                let case = format!("{missing} bytes missing, {turns_between} turns between, call {id:x}");
                let heard = heard_of(&w, id);
                assert_eq!(heard.len(), 1, "{case}: {heard:?}");
                let given = heard[0].bytes(code::DESCRIPTION);
                assert_eq!(given, Some(&description(id)[..]), "{case}");
            }
        }
    }
}

/// Writes bytes on a connection, and gives the gatekeeper turns to read them.
fn write_then_turn(w: &mut World, peer: &Peer, bytes: &[u8], turns: usize) {
    write_raw(peer, bytes);
    for _ in 0..turns {
        w.turn();
    }
}

/// The server answers what comes again on another connection, and once what may not have come yet: each call has one final
/// answer by its deadline, as the server made it or a refusal.
fn answered_as_made_or_refused(w: &mut World, case: &str) {
    w.pass(1.0);
    let mut seen = w.at_servers.len();
    for id in IDS {
        w.servers_say(&described_answer(id));
    }
    let deadline = w.node.now() + 9.0;
    while w.node.now() < deadline && IDS.iter().any(|id| heard_of(w, *id).is_empty()) {
        w.pass(0.1);
        let set_ups = w.at_servers[seen..].iter().filter(|m| m.kind == kind::SET_UP);
        let came: Vec<u64> = set_ups.map(|m| m.call).collect();
        seen = w.at_servers.len();
        came.into_iter().for_each(|id| w.servers_say(&described_answer(id)));
    }
    w.pass(0.5);
    for id in IDS {
        let heard = heard_of(w, id);
        assert_eq!(heard.len(), 1, "{case}, call {id:x}: {heard:?}");
        let refused = heard[0].kind == kind::RELEASE;
        assert!(refused || *heard[0] == described_answer(id), "{case}, call {id:x}: {heard:?}");
    }
}

/// Guards against an answer that is completed just as a read ends, when nothing behind it tells yet.
#[test]
fn an_answer_completed_at_the_end_of_a_read_waits_for_what_follows() {
    let next = encoded(&described_answer(IDS[1]));
    for missing in 1..=25 {
        let (mut w, carrying) = three_open_in(World::still(1));
        let whole = encoded(&described_answer(IDS[0]));
        write_then_turn(&mut w, &carrying, &whole[..whole.len() - missing], 3);
        write_then_turn(&mut w, &carrying, &next[..missing], 3);
        write_then_turn(&mut w, &carrying, &next[missing..], 3);
        answered_as_made_or_refused(&mut w, &format!("{missing} bytes missing"));
    }
}

/// Guards against an answer that is completed by messages of other types, by more than one of them, or by no message.
#[test]
fn an_answer_that_stops_short_is_not_completed_by_anything_else() {
    let end = encoded(&release(IDS[1], cause::TEMPORARY_FAILURE));
    let report = encoded(&Message::new(kind::STATE, 0).with(code::REPORT, "free:12;size:40"));
    let ahead = encoded(&described_answer(0x7d11_c05a_3e88_f402));
    let whole = encoded(&described_answer(IDS[0]));
    let behind = [
        ("an end", end.clone()),
        ("a report", report.clone()),
        ("an answer ahead", ahead),
        ("ends and a report", [end.clone(), end, report].concat()),
        ("noise", vec![0xa7; 60]),
    ];
    for (name, behind) in &behind {
        for missing in [1, 7, 15, 19, 24] {
            let (mut w, carrying) = with_three_open();
            write_then_turn(&mut w, &carrying, &whole[..whole.len() - missing], 3);
            write_then_turn(&mut w, &carrying, behind, 3);
            answered_as_made_or_refused(&mut w, &format!("{missing} bytes missing, {name} behind"));
        }
    }
}

/// Guards against a release whose cause is the first byte of the next message: `full` would be a failure, an end a cut.
#[test]
fn a_release_that_stops_short_is_not_completed_by_the_next_message() {
    let (mut w, carrying) = with_three_open();
    let end = encoded(&release(9, cause::NORMAL));
    write_then_turn(&mut w, &carrying, &end[..end.len() - 1], 3);
    write_then_turn(&mut w, &carrying, &encoded(&described_answer(IDS[0])), 3);
    w.pass(0.5);
    let of_the_end: Vec<&Message> =
        w.heard.iter().filter(|m| m.call == 9 && m.kind == kind::RELEASE).collect();
    assert!(of_the_end.is_empty(), "{of_the_end:?}");
    // The server says it again on the next connection.
    w.servers_say(&release(9, cause::NORMAL));
    w.heard(9, kind::RELEASE, Some(cause::NORMAL));
    answered_as_made_or_refused(&mut w, "a release cut short");
}

/// Guards against honest answers that come in pieces being refused, or passed on later than 5 ms after their last byte.
#[test]
fn an_answer_in_two_pieces_stands_within_5_ms() {
    let whole = encoded(&described_answer(IDS[0]));
    for cut in 1..whole.len() {
        let (mut w, carrying) = three_open_in(World::still(1));
        write_then_turn(&mut w, &carrying, &whole[..cut], 3);
        write_then_turn(&mut w, &carrying, &whole[cut..], 1);
        w.node.advance_clock(0.005);
        for _ in 0..3 {
            w.turn();
        }
        let heard = heard_of(&w, IDS[0]);
        assert_eq!(heard, [&described_answer(IDS[0])], "cut after {cut} bytes");
    }
}

/// Guards against a set-up that no caller sent going on to a server: one that stops short and is completed by the next.
#[test]
fn a_set_up_that_stops_short_is_not_completed_by_the_next_one() {
    let described = |id: u64| {
        Message::new(kind::SET_UP, id)
            .with(code::CLASS, "meter-read")
            .with(code::WAIT, "9000")
            .with(code::NUMBER, format!("{id:016x}"))
            .with(code::FIGURES, "dest:0;width:1;via:-1")
            .with(code::DESCRIPTION, description(id))
    };
    for missing in [1, 2, 3, 5, 8, 10, 11, 12, 20, 25] {
        for turns_between in [0, 3] {
            let mut w = World::new(1);
            w.stand(9);
            let caller = w.caller();
            let whole = encoded(&described(IDS[0]));
            write_then_turn(&mut w, &caller, &whole[..whole.len() - missing], turns_between);
            write_then_turn(&mut w, &caller, &encoded(&described(IDS[1])), 0);
            write_then_turn(&mut w, &caller, &encoded(&described(IDS[2])), 3);
            w.pass(0.5);
            for sent_on in w.at_servers.iter().filter(|m| IDS.contains(&m.call) && m.kind == kind::SET_UP) {
                let carried = sent_on.bytes(code::DESCRIPTION);
                assert_eq!(carried, Some(&description(sent_on.call)[..]), "{missing} bytes missing");
            }
        }
    }
}
