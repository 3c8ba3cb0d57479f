//! Algebraic laws of the joins, and convergence of copies however records arrive, checked against a naive model that
//! keeps every change.

use std::collections::BTreeMap;

use hollypaddle_membership::{Incarnation, MemberId};
use hollypaddle_replica::catch_up::{
    CatchUp, Chunk, ChunkRequest, Mismatch, Outgoing, Settings, StreamDigest,
};
use hollypaddle_replica::record::{
    join_servers, CallFact, Key, Origin, Record, ServerFact, ServerKey, ServerState, Value,
};
use hollypaddle_replica::store::{ServerObservation, Store};
use hollypaddle_replica::stream::{Stream, MAX_CHUNK_RECORDS, MAX_TOMBSTONES};
use proptest::prelude::*;

fn fact() -> impl Strategy<Value = ServerFact> {
    let state = prop_oneof![Just(ServerState::Ready), Just(ServerState::Draining), Just(ServerState::Gone)];
    (0u64..3, state).prop_map(|(started_ms, place)| ServerFact { started_ms, place })
}

fn observation() -> impl Strategy<Value = ServerObservation> {
    let silent = proptest::option::of((0u8..4, 0u64..3));
    (0u8..4, fact(), silent).prop_map(|(at, fact, silent)| ServerObservation {
        at: f64::from(at),
        fact,
        silent: silent.map(|(at, member)| (f64::from(at), MemberId(member))),
    })
}

proptest! {
    /// Commutative, associative and idempotent: so it does not matter in which order and how often copies arrive.
    #[test]
    fn observations_of_a_server_join_commutatively_associatively_and_idempotently(a in observation(), b in observation(), c in observation()) {
        prop_assert_eq!(a.join(&b), b.join(&a));
        prop_assert_eq!(a.join(&b).join(&c), a.join(&b.join(&c)));
        prop_assert_eq!(a.join(&a), a);
        let joined = a.join(&b).fact;
        prop_assert_eq!(joined.started_ms, a.fact.started_ms.max(b.fact.started_ms), "the later start");
        if a.fact.place == ServerState::Gone && a.fact.started_ms == joined.started_ms {
            prop_assert_eq!(joined.place, ServerState::Gone, "gone never turns back");
        }
        let pair = join_servers((a.at, a.fact), (b.at, b.fact));
        prop_assert_eq!(pair.1, joined);
    }
}

/// One change by an origin: it writes a key or withdraws it.
fn change() -> impl Strategy<Value = (Key, Option<Value>)> {
    let server = (0u64..4, proptest::option::of(fact()))
        .prop_map(|(n, fact)| (Key::Server(ServerKey(n)), fact.map(Value::Server)));
    let call = (0u64..12, proptest::option::of(0u32..3)).prop_map(|(id, class)| {
        (Key::Call(id), class.map(|class| Value::Call(CallFact { server: ServerKey(1), class })))
    });
    let silent = (0u64..4, any::<bool>())
        .prop_map(|(n, silent)| (Key::Silent(ServerKey(n)), silent.then_some(Value::Silent(n))));
    let over = (0u64..12, any::<bool>()).prop_map(|(id, over)| (Key::Over(id), over.then_some(Value::Over)));
    prop_oneof![server, silent, call, over]
}

fn origin(member: u64) -> Origin {
    Origin { member: MemberId(member), life: Incarnation { number: 1, nonce: 0 } }
}

/// The state of the naive model: all changes, replayed.
fn replay(changes: &[(Key, Option<Value>)]) -> BTreeMap<Key, Value> {
    let mut all = BTreeMap::new();
    for (key, value) in changes {
        match value {
            Some(value) => drop(all.insert(*key, *value)),
            None => drop(all.remove(key)),
        }
    }
    all
}

fn holds(stream: &Stream) -> BTreeMap<Key, Value> {
    stream.range(..).map(|(key, _, value)| (key, value)).collect()
}

proptest! {
    /// Chunks of any length, repeated and out of order, lost and requested again, bring a copy to the origin's state.
    /// Equal versions have equal hashes, and on the way hashes are equal only if the content is.
    #[test]
    fn a_copy_reaches_the_state_of_its_origin_whatever_the_order_of_chunks(
        changes in prop::collection::vec(change(), 1..60),
        order in prop::collection::vec((0usize..60, 0usize..60), 0..120),
    ) {
        let (mut source, mut copy) = (Stream::default(), Stream::default());
        let mut chunks: Vec<Chunk> = Vec::new();
        for (key, value) in &changes {
            let before = source.version();
            source.write(0.0, *key, *value);
            let (records, up_to, last) = source.changes_after(0.0, before);
            chunks.push(Chunk { origin: origin(1), after: before, up_to, base: None, horizon: 0, last, records });
        }
        // As a network that loses and repeats messages delivers them: a chunk is applied only if it leaves no gap.
        for (from, to) in order {
            for n in [from, to] {
                let Some(chunk) = chunks.get(n) else { continue };
                if chunk.after <= copy.version() {
                    prop_assert!(chunk.records.iter().all(|r| copy.apply(0.0, r).is_none()));
                    copy.advance_to(chunk.up_to, 0);
                }
            }
            let records: BTreeMap<Key, Value> = holds(&copy);
            if copy.version() == source.version() {
                prop_assert_eq!(copy.hash(), source.hash());
            }
            prop_assert!(records.iter().all(|(key, value)| value.fits(key)));
        }
        let (records, up_to, last) = source.changes_after(0.0, copy.version());
        prop_assert!(last);
        prop_assert!(records.iter().all(|r| copy.apply(0.0, r).is_none()));
        copy.advance_to(up_to, source.horizon());
        prop_assert_eq!(holds(&copy), replay(&changes));
        prop_assert_eq!((copy.version(), copy.hash()), (source.version(), source.hash()));
        prop_assert_eq!(copy.counts().iter().sum::<usize>(), replay(&changes).len());
    }
}

/// A member that requests and one that answers, without links.
struct Pair {
    source: (Store, CatchUp),
    requester: (Store, CatchUp),
    now: f64,
}

const SOURCE: MemberId = MemberId(1);
const REQUESTER: MemberId = MemberId(2);

impl Pair {
    fn new(source: Store) -> Pair {
        let mut pair = Pair {
            source: (source, CatchUp::new(0.0, Settings::default())),
            requester: (Store::new(origin(2)), CatchUp::new(0.0, Settings::default())),
            now: 0.0,
        };
        pair.source.1.link_up(REQUESTER);
        pair.requester.1.link_up(SOURCE);
        pair
    }

    fn digest(&mut self) -> Vec<Mismatch> {
        let digests: Vec<StreamDigest> = CatchUp::digest(&self.source.0);
        self.requester.1.receive_digest(self.now, SOURCE, &digests, &self.requester.0, |_| true)
    }

    fn next_request(&mut self) -> Option<ChunkRequest> {
        match self.requester.1.next_outgoing(self.now, SOURCE, &self.requester.0) {
            Some(Outgoing::Request(request)) => Some(request),
            _ => None,
        }
    }

    fn next_chunk(&mut self) -> Option<Chunk> {
        self.now += 0.1;
        match self.source.1.next_outgoing(self.now, REQUESTER, &self.source.0) {
            Some(Outgoing::Chunk(chunk)) => Some(chunk),
            _ => None,
        }
    }

    /// Exchanges messages until there is nothing left to send; returns the chunks that were sent.
    fn run(&mut self) -> Vec<Chunk> {
        self.digest();
        while let Some(request) = self.next_request() {
            self.source.1.receive_request(REQUESTER, &request, &self.source.0);
        }
        let mut chunks = Vec::new();
        while let Some(chunk) = self.next_chunk() {
            self.requester
                .1
                .receive_chunk(self.now, Some(0.0), SOURCE, &chunk, &mut self.requester.0)
                .unwrap();
            chunks.push(chunk);
            assert!(chunks.len() < 10_000, "the exchange does not end");
        }
        chunks
    }

    fn is_level(&self) -> bool {
        let of = |store: &Store| store.stream(&origin(1)).map(|s| (s.version(), s.hash(), holds(s)));
        of(&self.source.0) == of(&self.requester.0)
    }
}

fn call(n: u64) -> (Key, Option<Value>) {
    (Key::Call(n), Some(Value::Call(CallFact { server: ServerKey(7), class: 1 })))
}

fn write(store: &mut Store, key: Key, value: Option<Value>) {
    store.own_stream().write(0.0, key, value);
}

fn source(calls: u64) -> Store {
    let mut store = Store::new(origin(1));
    (0..calls).map(call).for_each(|(key, value)| write(&mut store, key, value));
    store
}

#[test]
fn a_copy_within_reach_of_the_log_receives_only_the_changes() {
    let mut pair = Pair::new(source(1000));
    assert_eq!(pair.run().len(), 1000usize.div_ceil(MAX_CHUNK_RECORDS));
    assert!(pair.is_level());
    (0..40).for_each(|n| write(&mut pair.source.0, Key::Call(n), None));
    let chunks = pair.run();
    assert_eq!(
        chunks.iter().map(|chunk| chunk.records.len()).sum::<usize>(),
        40,
        "the withdrawn records and nothing else"
    );
    assert!(chunks.iter().all(|chunk| chunk.base.is_none()) && pair.is_level());
}

/// More records are withdrawn than tombstones are kept, so the log cannot tell which, and the whole stream is sent.
#[test]
fn a_copy_behind_the_log_receives_the_whole_stream_and_drops_withdrawn_records() {
    let mut pair = Pair::new(source(6000));
    pair.run();
    assert!(pair.is_level());
    (0..5000).for_each(|n| write(&mut pair.source.0, Key::Call(n), None));
    let stream = pair.source.0.stream(&origin(1)).unwrap();
    assert!(
        stream.horizon() > 0 && stream.len_with_tombstones() <= 1000 + MAX_TOMBSTONES,
        "the number of tombstones is bounded"
    );
    // The origin pushes changes from where the copy was, which its log does not reach back to any more.
    let chunks = pair.run();
    assert!(!chunks.is_empty() && chunks.iter().all(|chunk| chunk.base.is_some()), "the whole stream");
    assert!(pair.is_level());
}

/// The source fails in the middle of a whole stream; another copy continues where it stopped, if it still can.
#[test]
fn another_source_continues_a_transfer_where_the_first_one_stopped() {
    for dropped in [false, true] {
        let mut pair = Pair::new(source(3000));
        // So that the whole stream is sent, not only the changes.
        (0..5000).for_each(|n| write(&mut pair.source.0, Key::Over(n), Some(Value::Over)));
        (0..5000).for_each(|n| write(&mut pair.source.0, Key::Over(n), None));
        pair.digest();
        let request = pair.next_request().unwrap();
        pair.source.1.receive_request(REQUESTER, &request, &pair.source.0);
        for _ in 0..5 {
            let chunk = pair.next_chunk().unwrap();
            assert!(chunk.base.is_some());
            pair.requester
                .1
                .receive_chunk(pair.now, Some(0.0), SOURCE, &chunk, &mut pair.requester.0)
                .unwrap();
        }
        assert!(
            pair.requester.0.stream(&origin(1)).is_none_or(Stream::is_empty),
            "nothing is applied before the stream is complete"
        );
        // The next source has the same stream with some changes since, or with so many that it has dropped
        // tombstones.
        write(&mut pair.source.0, Key::Call(17), None);
        write(&mut pair.source.0, Key::Call(9999), call(0).1);
        if dropped {
            (0..5000).for_each(|n| write(&mut pair.source.0, Key::Over(n), Some(Value::Over)));
            (0..5000).for_each(|n| write(&mut pair.source.0, Key::Over(n), None));
        }
        let third_member = MemberId(3);
        pair.requester.1.link_down(SOURCE);
        pair.requester.1.link_up(third_member);
        let mut third = CatchUp::new(0.0, Settings::default());
        third.link_up(REQUESTER);
        let digests = CatchUp::digest(&pair.source.0);
        // No messages arrive from the origin any more.
        pair.requester.1.receive_digest(pair.now, third_member, &digests, &pair.requester.0, |_| false);
        let request = match pair.requester.1.next_outgoing(pair.now, third_member, &pair.requester.0) {
            Some(Outgoing::Request(request)) => request,
            outgoing => panic!("expected a request to the third member, got {outgoing:?}"),
        };
        assert!(request.after > 0 && request.base.is_some(), "the rest of the stream");
        third.receive_request(REQUESTER, &request, &pair.source.0);
        let mut first = None;
        while let Some(outgoing) = {
            pair.now += 0.1;
            third.next_outgoing(pair.now, REQUESTER, &pair.source.0)
        } {
            let Outgoing::Chunk(chunk) = outgoing else { continue };
            first.get_or_insert(chunk.after);
            pair.requester
                .1
                .receive_chunk(pair.now, Some(0.0), third_member, &chunk, &mut pair.requester.0)
                .unwrap();
        }
        assert_eq!(
            first == Some(0),
            dropped,
            "continues where the first source stopped, or starts anew if that is not possible"
        );
        assert!(pair.is_level(), "dropped {dropped}");
    }
}

/// A copy that is complete but for one record with other content under its version: the hash reveals it, and the
/// origin's copy replaces it.
#[test]
fn a_copy_that_diverged_is_detected_and_repaired() {
    let mut pair = Pair::new(source(500));
    pair.run();
    let wrong = Value::Call(CallFact { server: ServerKey(8), class: 9 });
    let mut diverged = Stream::default();
    for (key, at, value) in pair.source.0.stream(&origin(1)).unwrap().range(..) {
        diverged.write(at, key, Some(if key == Key::Call(250) { wrong } else { value }));
    }
    pair.requester.0.install(origin(1), diverged);
    assert!(!pair.is_level());
    assert_eq!(pair.digest(), [Mismatch::Diverged(origin(1))]);
    pair.run();
    assert!(pair.is_level(), "repaired");
    assert_eq!(pair.digest(), []);
}

/// Two copies of a stream whose origin is gone merge each other's records, and resolve two contents under one version
/// alike.
#[test]
fn copies_of_a_stream_without_its_origin_merge_to_the_same_state() {
    let gone = origin(9);
    let stream = |class: u32, extra: u64| {
        let mut s = Stream::default();
        let fact = CallFact { server: ServerKey(1), class };
        s.write(0.0, Key::Call(1), Some(Value::Call(fact)));
        s.write(0.0, Key::Call(extra), Some(Value::Call(CallFact { server: ServerKey(1), class: 0 })));
        s
    };
    let (a, b) = (stream(1, 2), stream(2, 3));
    assert!(a.version() == b.version() && a.hash() != b.hash());
    let (mut x, mut y) = (a.clone(), b.clone());
    assert_eq!(x.merge(&b).len(), 2, "both conflicts are returned");
    y.merge(&a);
    assert_eq!((x.hash(), holds(&x)), (y.hash(), holds(&y)), "in either order of merging");
    let mut store = Store::new(origin(1));
    store.install(gone, x);
    assert!(store.standing_call(1).is_some());
}

#[test]
fn an_invalid_chunk_is_refused_and_changes_nothing() {
    let mut pair = Pair::new(source(3));
    let record = |version, key, value| Record { key, version, age_ms: 0, value };
    let chunk = |after, up_to, records| Chunk {
        origin: origin(1),
        after,
        up_to,
        base: None,
        horizon: 0,
        last: true,
        records,
    };
    let (key, value) = call(1);
    for bad in [
        chunk(0, 5, vec![record(3, key, value), record(2, key, value)]),
        chunk(4, 5, vec![record(3, key, value)]),
        chunk(0, 2, vec![record(3, key, value)]),
        chunk(5, 2, vec![]),
        chunk(0, 5, vec![record(1, Key::Server(ServerKey(1)), value)]),
        chunk(0, 1000, (1..=MAX_CHUNK_RECORDS as u64 + 1).map(|v| record(v, Key::Call(v), value)).collect()),
    ] {
        assert!(
            pair.requester.1.receive_chunk(0.0, Some(0.0), SOURCE, &bad, &mut pair.requester.0).is_err(),
            "{bad:?}"
        );
    }
    assert!(pair.requester.0.stream(&origin(1)).is_none_or(Stream::is_empty));
    // A gap is no error; what lies in it is requested later.
    let gap = chunk(7, 8, vec![record(8, key, value)]);
    assert!(pair.requester.1.receive_chunk(0.0, Some(0.0), SOURCE, &gap, &mut pair.requester.0).is_ok());
    assert_eq!(pair.requester.0.stream(&origin(1)).map(Stream::version), Some(0));
    let own = Chunk { origin: origin(2), ..chunk(0, 1, vec![record(1, key, value)]) };
    pair.requester.1.receive_chunk(0.0, Some(0.0), SOURCE, &own, &mut pair.requester.0).unwrap();
    assert!(
        pair.requester.0.stream(&origin(2)).unwrap().is_empty(),
        "no other member writes to the own stream"
    );
}

/// A stream that is over and forgotten is not brought back by a member that was away.
#[test]
fn a_forgotten_stream_is_not_accepted_again() {
    let mut pair = Pair::new(source(10));
    pair.run();
    assert_eq!(pair.requester.0.forget(MemberId(1), 2), [(origin(1), 10)]);
    pair.run();
    assert!(pair.requester.0.stream(&origin(1)).is_none() && pair.requester.0.is_forgotten(&origin(1)));
    assert_eq!(pair.requester.0.forget(MemberId(2), 99), [], "the own stream is never dropped");
}

proptest! {
    /// Arbitrary bytes decode to a message or an error, and a message survives encoding and decoding.
    #[test]
    fn decoding_arbitrary_bytes_never_panics_and_messages_round_trip(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let _ = postcard::from_bytes::<hollypaddle_replica::Message>(&bytes);
        let message = hollypaddle_replica::Message::Request(ChunkRequest { origin: origin(1), after: bytes.len() as u64, base: None });
        let encoded = postcard::to_allocvec(&message).unwrap();
        prop_assert_eq!(postcard::from_bytes::<hollypaddle_replica::Message>(&encoded).unwrap(), message);
    }
}

/// A hello of another protocol version, for another member or from a stranger is refused; one that names the last
/// possible incarnation does no harm.
#[test]
fn a_hello_of_another_version_receiver_or_stranger_is_refused() {
    use hollypaddle_membership::view;
    use hollypaddle_replica::member::{Rejection, PROTOCOL};
    use hollypaddle_replica::{Member, Message};
    let (own, other) = (MemberId(1), MemberId(2));
    let life = Incarnation { number: 1, nonce: 0 };
    let mut member = Member::new(0.0, own, life, Default::default(), [own, other]);
    let last = Incarnation { number: u64::MAX, nonce: 0 };
    let hello = |protocol, from, to, known| Message::Hello { protocol, from, to, life, known };
    let none = None;
    assert_eq!(
        member.receive_hello(0.0, &hello(PROTOCOL + 1, other, own, none)),
        Err(Rejection::Protocol(PROTOCOL + 1))
    );
    assert_eq!(
        member.receive_hello(0.0, &hello(PROTOCOL, other, MemberId(3), none)),
        Err(Rejection::WrongRecipient)
    );
    assert_eq!(
        member.receive_hello(0.0, &hello(PROTOCOL, MemberId(9), own, none)),
        Err(Rejection::Membership(view::Rejection::NotAMember))
    );
    assert_eq!(member.receive_hello(0.0, &Message::Leave), Err(Rejection::UnexpectedMessage));
    assert_eq!(member.receive_hello(0.0, &hello(PROTOCOL, other, own, Some((last, u32::MAX)))), Ok(other));
    assert_eq!(member.view().incarnation().number, u64::MAX, "raised as far as possible");
    let held = StreamDigest { origin: member.store().own_origin(), version: 9, hash: 0 };
    assert_eq!(member.receive(0.1, other, &Message::Digest(vec![held], vec![(other, u64::MAX)])), Ok(()));
    (0..3000).for_each(|n| member.tick(0.1 + f64::from(n) * 0.1));
}

/// A recorded end wins over a record that the call stands, whoever wrote them and in whichever order they arrive: a
/// call known to have ended is reported to nobody as standing. Guards against an end that is delivered again, and a
/// release that is sent again, each time a server reports the call on a new connection.
#[test]
fn a_call_with_a_recorded_end_is_not_reported_as_standing() {
    let fact = CallFact { server: ServerKey(1), class: 1 };
    for (owner, ended_by) in [(2, 3), (3, 2), (2, 2)] {
        for end_first in [true, false] {
            let mut store = Store::new(origin(1));
            let mut records = [
                (origin(owner), Key::Call(7), Value::Call(fact)),
                (
                    Origin { life: Incarnation { number: 2, nonce: 0 }, ..origin(ended_by) },
                    Key::Over(7),
                    Value::Over,
                ),
            ];
            if end_first {
                records.reverse();
            }
            for (n, (origin, key, value)) in records.into_iter().enumerate() {
                let standing = store.standing_call(7).is_some();
                assert!(!standing || !end_first, "before the record that the call stands");
                store.copy_mut(origin).unwrap().write(n as f64, key, Some(value));
            }
            assert!(store.is_call_over(7) && store.is_end_delivered(7));
            assert_eq!(
                store.standing_call(7),
                None,
                "owner {owner}, ended by {ended_by}, end first: {end_first}"
            );
            // Another call of the same owner is unaffected.
            store.copy_mut(origin(owner)).unwrap().write(9.0, Key::Call(8), Some(Value::Call(fact)));
            assert_eq!(store.standing_call(8).map(|standing| standing.0), Some(origin(owner)));
        }
    }
    // A call that its owner withdrew does not stand either.
    let mut store = Store::new(origin(1));
    store.copy_mut(origin(2)).unwrap().write(0.0, Key::Call(7), Some(Value::Call(fact)));
    store.copy_mut(origin(2)).unwrap().write(1.0, Key::Call(7), None);
    assert_eq!((store.standing_call(7), store.is_end_delivered(7)), (None, true));
}

/// Of the calls of a member that is gone those without a recorded end are adopted, each by one live member. Guards
/// against a call that is adopted although its end was delivered: its caller would be told again when the call's
/// server is lost.
#[test]
fn calls_with_a_recorded_end_are_not_adopted() {
    use hollypaddle_membership::view::{Membership, Settings};
    use hollypaddle_replica::adoption::calls_to_adopt;
    let fact = CallFact { server: ServerKey(1), class: 1 };
    let life = Incarnation { number: 1, nonce: 0 };
    let mut adopted_by = BTreeMap::new();
    for own in [1, 3] {
        let members = [1, 2, 3].map(MemberId);
        let mut view = Membership::new(0.0, MemberId(own), life, Settings::default(), members);
        for member in members.into_iter().filter(|m| m.0 != own) {
            view.link_up(0.0, member, life, None).unwrap();
        }
        view.member_left(1.0, MemberId(2));
        let mut store = Store::new(origin(own));
        for id in 0..40 {
            store.copy_mut(origin(2)).unwrap().write(0.0, Key::Call(id), Some(Value::Call(fact)));
        }
        // Every other call has ended, as recorded by one or the other of the live members.
        for id in (0..40).step_by(2) {
            let ended_by = if id % 4 == 0 { 1 } else { 3 };
            let stream =
                if ended_by == own { store.own_stream() } else { store.copy_mut(origin(ended_by)).unwrap() };
            stream.write(0.5, Key::Over(id), Some(Value::Over));
        }
        for id in calls_to_adopt(&store, &view).into_keys() {
            assert_eq!(id % 2, 1, "call {id} is over");
            assert_eq!(adopted_by.insert(id, own), None, "call {id} is adopted by two");
        }
    }
    assert_eq!(adopted_by.len(), 20, "each standing call is adopted");
    assert!(
        adopted_by.values().any(|m| *m == 1) && adopted_by.values().any(|m| *m == 3),
        "the calls are divided between the two members"
    );
}
