//! The bytes sent on links between gatekeepers are counted by kind, and the counts add up to the total.

use hollypaddle_membership::{Heartbeat, Incarnation, MemberId, Observation};
use hollypaddle_replica::catch_up::Chunk;
use hollypaddle_replica::record::{Key, Origin, Record, ServerKey, Value, KINDS};
use hollypaddle_replica::Message;

use crate::node::peers::BytesByKind;

/// Length prefix of each message on a link.
const FRAME_HEADER_BYTES: u64 = 4;

fn incarnation() -> Incarnation {
    Incarnation { number: 3, nonce: 1 << 40 }
}

fn heartbeat(observed_members: u64) -> Message {
    let observation =
        |n| Observation { member: MemberId(n << 50), incarnation: incarnation(), age_ms: 90, gone: false };
    let observations = (1..=observed_members).map(observation).collect();
    Message::Heartbeat(Heartbeat {
        incarnation: incarnation(),
        seq: 9,
        echo: None,
        ready: true,
        callers: true,
        observations,
    })
}

fn record(version: u64, key: Key, value: Option<Value>) -> Record {
    Record { key, version, age_ms: 12, value }
}

fn chunk(records: Vec<Record>) -> Message {
    let origin = Origin { member: MemberId(1 << 60), life: incarnation() };
    Message::Chunk(Chunk { origin, after: 0, up_to: 9, base: None, horizon: 0, last: true, records })
}

fn count_bytes(message: &Message) -> (BytesByKind, u64) {
    let mut counts = BytesByKind::default();
    let bytes = FRAME_HEADER_BYTES + postcard::to_allocvec(message).unwrap().len() as u64;
    counts.count(message, bytes);
    (counts, bytes)
}

fn total(counts: &BytesByKind) -> u64 {
    let fields = [
        counts.greetings,
        counts.heartbeats,
        counts.observations,
        counts.digests,
        counts.requests,
        counts.pieces,
    ];
    fields.into_iter().chain(counts.records).sum()
}

/// Guards against observations that are counted as part of their heartbeat, or in neither count.
#[test]
fn observations_are_counted_apart_from_the_heartbeat_that_carries_them() {
    let (none, few, many) =
        (count_bytes(&heartbeat(0)).0, count_bytes(&heartbeat(2)), count_bytes(&heartbeat(5)));
    assert_eq!(none.observations, 0);
    assert_eq!((total(&few.0), total(&many.0)), (few.1, many.1));
    // The bytes of the heartbeat itself stay the same; all observations have the same length.
    assert_eq!((few.0.heartbeats, many.0.heartbeats), (none.heartbeats, none.heartbeats));
    assert_eq!((few.0.observations * 5, many.0.observations > 0), (many.0.observations * 2, true));
}

/// Guards against records that are counted under a wrong kind, as a withdrawn one without a value, or as part of their
/// chunk.
#[test]
fn records_are_counted_by_their_kind() {
    let silent = record(1, Key::Silent(ServerKey(7)), Some(Value::Silent(0)));
    let over = record(2, Key::Over(1 << 48), Some(Value::Over));
    let withdrawn = record(3, Key::Call(1 << 48), None);
    let empty = count_bytes(&chunk(Vec::new()));
    assert_eq!((empty.0.records, empty.0.pieces), ([0; KINDS.len()], empty.1));
    let (counts, bytes) = count_bytes(&chunk(vec![silent, over, withdrawn]));
    assert_eq!(total(&counts), bytes);
    assert_eq!(counts.pieces, empty.0.pieces);
    for (n, record) in [(1, silent), (3, over), (2, withdrawn)] {
        assert_eq!(counts.records[n], postcard::to_allocvec(&record).unwrap().len() as u64);
    }
    assert_eq!(counts.records.iter().filter(|bytes| **bytes > 0).count(), 3);
}

/// Guards against hello and leave messages that are counted under no kind.
#[test]
fn hello_and_leave_are_counted_as_greetings() {
    for message in [
        Message::Leave,
        Message::Hello { protocol: 2, from: MemberId(1), to: MemberId(2), life: incarnation(), known: None },
    ] {
        let (counts, bytes) = count_bytes(&message);
        assert_eq!((counts.greetings, total(&counts)), (bytes, bytes));
    }
}
