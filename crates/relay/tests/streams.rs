//! Tests that a copy becomes equal to the stream that is sent over a link: with lost and duplicated chunks, and with
//! tombstones that were dropped.

use hollypaddle_membership::{Incarnation, MemberId};
use hollypaddle_relay::stream_copy::{Cursor, StreamCopy, MAX_CHUNK_RECORDS};
use hollypaddle_replica::record::{Key, Origin, ServerFact, ServerKey, ServerState, Value};
use hollypaddle_replica::stream::{Stream, MAX_TOMBSTONES};
use proptest::prelude::*;

const ORIGIN: Origin = Origin { member: MemberId(1), life: Incarnation { number: 1, nonce: 1 } };

fn write(stream: &mut Stream, server: u64, value: Option<u64>) {
    let value = value.map(|started_ms| Value::Server(ServerFact { started_ms, place: ServerState::Ready }));
    stream.write(1.0, Key::Server(ServerKey(server)), value);
}

fn equal(copy: &StreamCopy, stream: &Stream) -> bool {
    let all = |s: &Stream| s.range(..).map(|(key, _, value)| (key, value)).collect::<Vec<_>>();
    copy.state().is_some_and(|c| c.hash == stream.hash() && c.version == stream.version())
        && all(copy.stream()) == all(stream)
}

/// Sends chunks until the copy is up to date, without loss.
fn send_all(cursor: &mut Cursor, stream: &Stream, copy: &mut StreamCopy) {
    for _ in 0..10_000 {
        if !cursor.is_behind(stream) {
            return;
        }
        let chunk = cursor.next_chunk(1.0, ORIGIN, stream);
        assert!(chunk.records.len() <= MAX_CHUNK_RECORDS);
        if copy.apply(1.0, 0.0, &chunk).is_err() {
            *cursor = Cursor::resume(ORIGIN, stream, copy.state());
        }
    }
    panic!("the copy is not up to date after 10,000 chunks");
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// Lost chunks are sent again from the state that the copy reports, and in the end both are equal.
    #[test]
    fn a_copy_equals_the_stream_after_lost_and_duplicated_pieces(
        steps in proptest::collection::vec((0u64..60, proptest::option::of(0u64..4), 0u8..6), 1..300)
    ) {
        let (mut stream, mut copy, mut cursor) = (Stream::default(), StreamCopy::default(), Cursor::from_start());
        for (server, value, what) in steps {
            write(&mut stream, server, value);
            // 0: the chunk is lost; 1 and 2: nothing is sent; otherwise the chunk is delivered.
            match what {
                0 => { if cursor.is_behind(&stream) { cursor.next_chunk(1.0, ORIGIN, &stream); } }
                1 | 2 => {}
                _ => if cursor.is_behind(&stream) {
                    let chunk = cursor.next_chunk(1.0, ORIGIN, &stream);
                    if copy.apply(1.0, 0.0, &chunk).is_err() {
                        cursor = Cursor::resume(ORIGIN, &stream, copy.state());
                    }
                    // A duplicate is refused or changes nothing.
                    let before = copy.state();
                    if !chunk.records.is_empty() && chunk.base.is_none() && copy.apply(1.0, 0.0, &chunk).is_ok() {
                        prop_assert_eq!(before, copy.state());
                    }
                }
            }
        }
        send_all(&mut cursor, &stream, &mut copy);
        if !equal(&copy, &stream) {
            // The last chunks were lost; a digest would reveal it.
            cursor = Cursor::resume(ORIGIN, &stream, copy.state());
            send_all(&mut cursor, &stream, &mut copy);
        }
        prop_assert!(equal(&copy, &stream));
    }
}

#[test]
fn a_copy_older_than_the_dropped_tombstones_is_sent_the_whole_stream() {
    let (mut stream, mut copy, mut cursor) = (Stream::default(), StreamCopy::default(), Cursor::from_start());
    (0..100).for_each(|n| write(&mut stream, n, Some(1)));
    send_all(&mut cursor, &stream, &mut copy);
    assert!(equal(&copy, &stream));
    // The first hundred are withdrawn, and after that so many others that their tombstones are dropped.
    (0..100).for_each(|n| write(&mut stream, n, None));
    for n in 0..MAX_TOMBSTONES as u64 + 10 {
        write(&mut stream, 1000 + n, Some(1));
        write(&mut stream, 1000 + n, None);
    }
    write(&mut stream, 7, Some(2));
    assert!(stream.horizon() > 100);
    send_all(&mut cursor, &stream, &mut copy);
    assert!(equal(&copy, &stream));
    assert_eq!(copy.stream().len(), 1);
}

#[test]
fn a_stream_of_another_origin_replaces_the_copy_only_when_complete() {
    let (mut a, mut copy, mut cursor) = (Stream::default(), StreamCopy::default(), Cursor::from_start());
    (0..100).for_each(|n| write(&mut a, n, Some(1)));
    send_all(&mut cursor, &a, &mut copy);
    let other = Origin { member: MemberId(2), ..ORIGIN };
    let mut b = Stream::default();
    (0..100).for_each(|n| write(&mut b, n, Some(2)));
    let mut cursor = Cursor::from_start();
    while cursor.is_behind(&b) {
        assert_eq!(
            copy.state().map(|c| c.origin),
            Some(ORIGIN),
            "the old copy stays until the new one is complete"
        );
        copy.apply(1.0, 0.0, &cursor.next_chunk(1.0, other, &b)).unwrap();
    }
    assert_eq!(copy.state().map(|c| c.origin), Some(other));
    assert!(equal(&copy, &b));
}
