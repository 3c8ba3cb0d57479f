//! What is said on the links is told apart, and the parts are the whole.

use hollypaddle_membership::{Heartbeat, Incarnation, MemberId, Observation};
use hollypaddle_replica::catch_up::Piece;
use hollypaddle_replica::record::{Key, Origin, Record, ServerKey, Value, KINDS};
use hollypaddle_replica::Word;

use crate::node::peers::BytesByKind;

const FRAME: u64 = 4;

fn life() -> Incarnation {
    Incarnation { number: 3, nonce: 1 << 40 }
}

fn beat(others: u64) -> Word {
    let observation =
        |n| Observation { member: MemberId(n << 50), incarnation: life(), age_ms: 90, gone: false };
    let observations = (1..=others).map(observation).collect();
    Word::Beat(Heartbeat {
        incarnation: life(),
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

fn piece(records: Vec<Record>) -> Word {
    let origin = Origin { member: MemberId(1 << 60), life: life() };
    Word::Piece(Piece { origin, from: 0, upto: 9, base: None, horizon: 0, last: true, records })
}

fn counted(word: &Word) -> (BytesByKind, u64) {
    let mut split = BytesByKind::default();
    let bytes = FRAME + postcard::to_allocvec(word).unwrap().len() as u64;
    split.count(word, bytes);
    (split, bytes)
}

fn sum(split: &BytesByKind) -> u64 {
    let words =
        [split.greetings, split.heartbeats, split.observations, split.digests, split.requests, split.pieces];
    words.into_iter().chain(split.records).sum()
}

#[test]
fn sights_count_apart_from_the_beat_that_carries_them() {
    let (none, few, many) = (counted(&beat(0)).0, counted(&beat(2)), counted(&beat(5)));
    assert_eq!(none.observations, 0);
    assert_eq!((sum(&few.0), sum(&many.0)), (few.1, many.1));
    // The beat itself does not grow; each observation is as long as the next.
    assert_eq!((few.0.heartbeats, many.0.heartbeats), (none.heartbeats, none.heartbeats));
    assert_eq!((few.0.observations * 5, many.0.observations > 0), (many.0.observations * 2, true));
}

#[test]
fn records_count_by_their_kind() {
    let silent = record(1, Key::Silent(ServerKey(7)), Some(Value::Silent(0)));
    let over = record(2, Key::Over(1 << 48), Some(Value::Over));
    let withdrawn = record(3, Key::Call(1 << 48), None);
    let bare = counted(&piece(Vec::new()));
    assert_eq!((bare.0.records, bare.0.pieces), ([0; KINDS.len()], bare.1));
    let (split, bytes) = counted(&piece(vec![silent, over, withdrawn]));
    assert_eq!(sum(&split), bytes);
    assert_eq!(split.pieces, bare.0.pieces);
    for (n, record) in [(1, silent), (3, over), (2, withdrawn)] {
        assert_eq!(split.records[n], postcard::to_allocvec(&record).unwrap().len() as u64);
    }
    assert_eq!(split.records.iter().filter(|bytes| **bytes > 0).count(), 3);
}

#[test]
fn what_is_said_first_and_last_counts_as_a_greeting() {
    for word in [
        Word::Leave,
        Word::Hello { protocol: 2, from: MemberId(1), to: MemberId(2), life: life(), known: None },
    ] {
        let (split, bytes) = counted(&word);
        assert_eq!((split.greetings, sum(&split)), (bytes, bytes));
    }
}
