//! The laws of the joins, and copies that converge however records come, against a naive model that keeps everything.

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
    let place = prop_oneof![Just(ServerState::Ready), Just(ServerState::Draining), Just(ServerState::Gone)];
    (0u64..3, place).prop_map(|(started_ms, place)| ServerFact { started_ms, place })
}

fn said() -> impl Strategy<Value = ServerObservation> {
    let silent = proptest::option::of((0u8..4, 0u64..3));
    (0u8..4, fact(), silent).prop_map(|(at, fact, silent)| ServerObservation {
        at: f64::from(at),
        fact,
        silent: silent.map(|(at, member)| (f64::from(at), MemberId(member))),
    })
}

proptest! {
    /// Commutative, associative, idempotent: so it does not matter in which order and how often copies come.
    #[test]
    fn what_is_known_of_a_server_joins_by_the_laws(a in said(), b in said(), c in said()) {
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

/// One step of an origin: it says something of a key, or takes it back.
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

/// What the naive model holds: every change ever, replayed.
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
    /// Pieces of any length, repeated and out of order, lost and asked for again, bring a copy to the origin's state;
    /// equal versions have equal hashes, and none are equal on the way unless the content is.
    #[test]
    fn a_copy_becomes_what_its_origin_says(
        changes in prop::collection::vec(change(), 1..60),
        order in prop::collection::vec((0usize..60, 0usize..60), 0..120),
    ) {
        let (mut source, mut copy) = (Stream::default(), Stream::default());
        let mut told: Vec<Chunk> = Vec::new();
        for (key, value) in &changes {
            let before = source.version();
            source.write(0.0, *key, *value);
            let (records, upto, last) = source.changes_after(0.0, before);
            told.push(Chunk { origin: origin(1), after: before, up_to: upto, base: None, horizon: 0, last, records });
        }
        // As a lossy, repeating way brings them: a piece counts only where it leaves no gap.
        for (from, to) in order {
            for at in [from, to] {
                let Some(piece) = told.get(at) else { continue };
                if piece.after <= copy.version() {
                    prop_assert!(piece.records.iter().all(|r| copy.apply(0.0, r).is_none()));
                    copy.advance_to(piece.up_to, 0);
                }
            }
            let then: BTreeMap<Key, Value> = holds(&copy);
            if copy.version() == source.version() {
                prop_assert_eq!(copy.hash(), source.hash());
            }
            prop_assert!(then.iter().all(|(key, value)| value.fits(key)));
        }
        let (records, upto, last) = source.changes_after(0.0, copy.version());
        prop_assert!(last);
        prop_assert!(records.iter().all(|r| copy.apply(0.0, r).is_none()));
        copy.advance_to(upto, source.horizon());
        prop_assert_eq!(holds(&copy), replay(&changes));
        prop_assert_eq!((copy.version(), copy.hash()), (source.version(), source.hash()));
        prop_assert_eq!(copy.counts().iter().sum::<usize>(), replay(&changes).len());
    }
}

/// One who asks and one who gives, without links.
struct Pair {
    giver: (Store, CatchUp),
    asker: (Store, CatchUp),
    now: f64,
}

const GIVER: MemberId = MemberId(1);
const ASKER: MemberId = MemberId(2);

impl Pair {
    fn new(giver: Store) -> Pair {
        let mut pair = Pair {
            giver: (giver, CatchUp::new(0.0, Settings::default())),
            asker: (Store::new(origin(2)), CatchUp::new(0.0, Settings::default())),
            now: 0.0,
        };
        pair.giver.1.link_up(ASKER);
        pair.asker.1.link_up(GIVER);
        pair
    }

    fn digest(&mut self) -> Vec<Mismatch> {
        let held: Vec<StreamDigest> = CatchUp::digest(&self.giver.0);
        self.asker.1.receive_digest(self.now, GIVER, &held, &self.asker.0, |_| true)
    }

    fn asked(&mut self) -> Option<ChunkRequest> {
        match self.asker.1.next_outgoing(self.now, GIVER, &self.asker.0) {
            Some(Outgoing::Request(ask)) => Some(ask),
            _ => None,
        }
    }

    fn piece(&mut self) -> Option<Chunk> {
        self.now += 0.1;
        match self.giver.1.next_outgoing(self.now, ASKER, &self.giver.0) {
            Some(Outgoing::Chunk(piece)) => Some(piece),
            _ => None,
        }
    }

    /// Lets them talk until nothing is left to say; returns the pieces that went.
    fn run(&mut self) -> Vec<Chunk> {
        self.digest();
        while let Some(ask) = self.asked() {
            self.giver.1.receive_request(ASKER, &ask, &self.giver.0);
        }
        let mut pieces = Vec::new();
        while let Some(piece) = self.piece() {
            self.asker.1.receive_chunk(self.now, Some(0.0), GIVER, &piece, &mut self.asker.0).unwrap();
            pieces.push(piece);
            assert!(pieces.len() < 10_000, "it never ends");
        }
        pieces
    }

    fn level(&self) -> bool {
        let of = |store: &Store| store.stream(&origin(1)).map(|s| (s.version(), s.hash(), holds(s)));
        of(&self.giver.0) == of(&self.asker.0)
    }
}

fn call(n: u64) -> (Key, Option<Value>) {
    (Key::Call(n), Some(Value::Call(CallFact { server: ServerKey(7), class: 1 })))
}

fn write(store: &mut Store, key: Key, value: Option<Value>) {
    store.own_stream().write(0.0, key, value);
}

fn giver(calls: u64) -> Store {
    let mut store = Store::new(origin(1));
    (0..calls).map(call).for_each(|(key, value)| write(&mut store, key, value));
    store
}

#[test]
fn one_within_the_reach_of_the_log_gets_the_changes_alone() {
    let mut pair = Pair::new(giver(1000));
    assert_eq!(pair.run().len(), 1000usize.div_ceil(MAX_CHUNK_RECORDS));
    assert!(pair.level());
    (0..40).for_each(|n| write(&mut pair.giver.0, Key::Call(n), None));
    let pieces = pair.run();
    assert_eq!(
        pieces.iter().map(|p| p.records.len()).sum::<usize>(),
        40,
        "what was withdrawn, and nothing else"
    );
    assert!(pieces.iter().all(|p| p.base.is_none()) && pair.level());
}

/// More was withdrawn than tombstones are kept: what the log cannot tell, the whole does.
#[test]
fn one_behind_the_log_gets_the_whole_and_loses_what_is_over() {
    let mut pair = Pair::new(giver(6000));
    pair.run();
    assert!(pair.level());
    (0..5000).for_each(|n| write(&mut pair.giver.0, Key::Call(n), None));
    let kept = pair.giver.0.stream(&origin(1)).unwrap();
    assert!(
        kept.horizon() > 0 && kept.len_with_tombstones() <= 1000 + MAX_TOMBSTONES,
        "tombstones have a bound"
    );
    // The origin tells changes from where the copy was, which its log does not reach any more.
    let pieces = pair.run();
    assert!(!pieces.is_empty() && pieces.iter().all(|p| p.base.is_some()), "the whole");
    assert!(pair.level());
}

/// The giver dies in the middle; another copy goes on from where it stopped, if it still can.
#[test]
fn a_giver_that_stops_is_replaced_where_it_stopped() {
    for dropped in [false, true] {
        let mut pair = Pair::new(giver(3000));
        // So that the whole is given, not the changes alone.
        (0..5000).for_each(|n| write(&mut pair.giver.0, Key::Over(n), Some(Value::Over)));
        (0..5000).for_each(|n| write(&mut pair.giver.0, Key::Over(n), None));
        pair.digest();
        let ask = pair.asked().unwrap();
        pair.giver.1.receive_request(ASKER, &ask, &pair.giver.0);
        for _ in 0..5 {
            let piece = pair.piece().unwrap();
            assert!(piece.base.is_some());
            pair.asker.1.receive_chunk(pair.now, Some(0.0), GIVER, &piece, &mut pair.asker.0).unwrap();
        }
        assert!(
            pair.asker.0.stream(&origin(1)).is_none_or(Stream::is_empty),
            "nothing counts before it is whole"
        );
        // The next giver has the same stream, with some changes since; or so many that it forgot which.
        write(&mut pair.giver.0, Key::Call(17), None);
        write(&mut pair.giver.0, Key::Call(9999), call(0).1);
        if dropped {
            (0..5000).for_each(|n| write(&mut pair.giver.0, Key::Over(n), Some(Value::Over)));
            (0..5000).for_each(|n| write(&mut pair.giver.0, Key::Over(n), None));
        }
        let other = MemberId(3);
        pair.asker.1.link_down(GIVER);
        pair.asker.1.link_up(other);
        let mut third = CatchUp::new(0.0, Settings::default());
        third.link_up(ASKER);
        let held = CatchUp::digest(&pair.giver.0);
        // The origin is not heard any more.
        pair.asker.1.receive_digest(pair.now, other, &held, &pair.asker.0, |_| false);
        let ask = match pair.asker.1.next_outgoing(pair.now, other, &pair.asker.0) {
            Some(Outgoing::Request(ask)) => ask,
            said => panic!("it asks the other, not {said:?}"),
        };
        assert!(ask.after > 0 && ask.base.is_some(), "the rest of it");
        third.receive_request(ASKER, &ask, &pair.giver.0);
        let mut first = None;
        while let Some(said) = {
            pair.now += 0.1;
            third.next_outgoing(pair.now, ASKER, &pair.giver.0)
        } {
            let Outgoing::Chunk(piece) = said else { continue };
            first.get_or_insert(piece.after);
            pair.asker.1.receive_chunk(pair.now, Some(0.0), other, &piece, &mut pair.asker.0).unwrap();
        }
        assert_eq!(first == Some(0), dropped, "from where it stopped, or anew if that cannot be told");
        assert!(pair.level(), "dropped {dropped}");
    }
}

/// The whole as it is, but for one record that differs under its version: found by the hash, told with both sides, and
/// mended by the origin's word.
#[test]
fn a_copy_that_differs_is_found_and_mended() {
    let mut pair = Pair::new(giver(500));
    pair.run();
    let wrong = Value::Call(CallFact { server: ServerKey(8), class: 9 });
    let mut bent = Stream::default();
    for (key, at, value) in pair.giver.0.stream(&origin(1)).unwrap().range(..) {
        bent.write(at, key, Some(if key == Key::Call(250) { wrong } else { value }));
    }
    pair.asker.0.install(origin(1), bent);
    assert!(!pair.level());
    assert_eq!(pair.digest(), [Mismatch::Diverged(origin(1))]);
    pair.run();
    assert!(pair.level(), "mended");
    assert_eq!(pair.digest(), []);
}

/// Two copies of a stream whose origin is gone take what the other has, and settle two contents under one version
/// alike.
#[test]
fn copies_without_their_origin_settle_by_the_same_rule() {
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
    assert_eq!(x.merge(&b).len(), 2, "both contradictions are told");
    y.merge(&a);
    assert_eq!((x.hash(), holds(&x)), (y.hash(), holds(&y)), "whoever takes from whom");
    let mut store = Store::new(origin(1));
    store.install(gone, x);
    assert!(store.standing_call(1).is_some());
}

#[test]
fn what_makes_no_sense_is_refused_and_changes_nothing() {
    let mut pair = Pair::new(giver(3));
    let record = |version, key, value| Record { key, version, age_ms: 0, value };
    let piece = |from, upto, records| Chunk {
        origin: origin(1),
        after: from,
        up_to: upto,
        base: None,
        horizon: 0,
        last: true,
        records,
    };
    let (key, value) = call(1);
    for bad in [
        piece(0, 5, vec![record(3, key, value), record(2, key, value)]),
        piece(4, 5, vec![record(3, key, value)]),
        piece(0, 2, vec![record(3, key, value)]),
        piece(5, 2, vec![]),
        piece(0, 5, vec![record(1, Key::Server(ServerKey(1)), value)]),
        piece(0, 1000, (1..=MAX_CHUNK_RECORDS as u64 + 1).map(|v| record(v, Key::Call(v), value)).collect()),
    ] {
        assert!(
            pair.asker.1.receive_chunk(0.0, Some(0.0), GIVER, &bad, &mut pair.asker.0).is_err(),
            "{bad:?}"
        );
    }
    assert!(pair.asker.0.stream(&origin(1)).is_none_or(Stream::is_empty));
    // A gap is no fault; what lies in it is asked for later.
    let gap = piece(7, 8, vec![record(8, key, value)]);
    assert!(pair.asker.1.receive_chunk(0.0, Some(0.0), GIVER, &gap, &mut pair.asker.0).is_ok());
    assert_eq!(pair.asker.0.stream(&origin(1)).map(Stream::version), Some(0));
    let own = Chunk { origin: origin(2), ..piece(0, 1, vec![record(1, key, value)]) };
    pair.asker.1.receive_chunk(0.0, Some(0.0), GIVER, &own, &mut pair.asker.0).unwrap();
    assert!(pair.asker.0.stream(&origin(2)).unwrap().is_empty(), "nobody else writes to the own stream");
}

/// A stream that is over and forgotten is not brought back by one that was away.
#[test]
fn what_is_forgotten_does_not_come_back() {
    let mut pair = Pair::new(giver(10));
    pair.run();
    assert_eq!(pair.asker.0.forget(MemberId(1), 2), [(origin(1), 10)]);
    pair.run();
    assert!(pair.asker.0.stream(&origin(1)).is_none() && pair.asker.0.is_forgotten(&origin(1)));
    assert_eq!(pair.asker.0.forget(MemberId(2), 99), [], "the own stream stays");
}

proptest! {
    /// Whatever bytes come, they are a word or an error, and a word survives the way.
    #[test]
    fn no_bytes_break_the_decoder(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let _ = postcard::from_bytes::<hollypaddle_replica::Message>(&bytes);
        let word = hollypaddle_replica::Message::Request(ChunkRequest { origin: origin(1), after: bytes.len() as u64, base: None });
        let sent = postcard::to_allocvec(&word).unwrap();
        prop_assert_eq!(postcard::from_bytes::<hollypaddle_replica::Message>(&sent).unwrap(), word);
    }
}

/// A hello of another version, for another member or from nobody is refused; one with the last incarnation there is
/// does no harm.
#[test]
fn a_greeting_that_is_not_for_us_is_refused() {
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
    assert_eq!(member.view().incarnation().number, u64::MAX, "raised as far as may be");
    let held = StreamDigest { origin: member.store().own_origin(), version: 9, hash: 0 };
    assert_eq!(member.receive(0.1, other, &Message::Digest(vec![held], vec![(other, u64::MAX)])), Ok(()));
    (0..3000).for_each(|n| member.tick(0.1 + f64::from(n) * 0.1));
}

/// An end wins over standing, whoever says either, and in whichever order the words come: a call that is known to be over
/// is given to nobody as one that stands. Guards against an end that is told again, and a release that goes out again,
/// each time that a server says it on a new connection.
#[test]
fn a_call_with_a_known_end_is_given_to_nobody() {
    let fact = CallFact { server: ServerKey(1), class: 1 };
    for (owner, ender) in [(2, 3), (3, 2), (2, 2)] {
        for end_first in [true, false] {
            let mut store = Store::new(origin(1));
            let mut words = [
                (origin(owner), Key::Call(7), Value::Call(fact)),
                (
                    Origin { life: Incarnation { number: 2, nonce: 0 }, ..origin(ender) },
                    Key::Over(7),
                    Value::Over,
                ),
            ];
            if end_first {
                words.reverse();
            }
            for (n, (origin, key, value)) in words.into_iter().enumerate() {
                let known = store.standing_call(7).is_some();
                assert!(!known || !end_first, "before the word that it stands");
                store.copy_mut(origin).unwrap().write(n as f64, key, Some(value));
            }
            assert!(store.is_call_over(7) && store.is_end_delivered(7));
            assert_eq!(
                store.standing_call(7),
                None,
                "owner {owner}, ended by {ender}, end first: {end_first}"
            );
            // Another call of the same owner is no less known for it.
            store.copy_mut(origin(owner)).unwrap().write(9.0, Key::Call(8), Some(Value::Call(fact)));
            assert_eq!(store.standing_call(8).map(|known| known.0), Some(origin(owner)));
        }
    }
    // One that its owner withdrew stands no more either.
    let mut store = Store::new(origin(1));
    store.copy_mut(origin(2)).unwrap().write(0.0, Key::Call(7), Some(Value::Call(fact)));
    store.copy_mut(origin(2)).unwrap().write(1.0, Key::Call(7), None);
    assert_eq!((store.standing_call(7), store.is_end_delivered(7)), (None, true));
}

/// Of the calls of one that is gone those are adopted that no stream ends, each by one of the living. Guards against a call
/// that is seen to after its end was told: its caller would be told again when its server is lost.
#[test]
fn calls_with_a_known_end_are_not_adopted() {
    use hollypaddle_membership::view::{Membership, Settings};
    use hollypaddle_replica::adoption::calls_to_adopt;
    let fact = CallFact { server: ServerKey(1), class: 1 };
    let life = Incarnation { number: 1, nonce: 0 };
    let mut seen = BTreeMap::new();
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
        // Every other one is over, as the one or the other of those who live says.
        for id in (0..40).step_by(2) {
            let ender = if id % 4 == 0 { 1 } else { 3 };
            let stream =
                if ender == own { store.own_stream() } else { store.copy_mut(origin(ender)).unwrap() };
            stream.write(0.5, Key::Over(id), Some(Value::Over));
        }
        for id in calls_to_adopt(&store, &view).into_keys() {
            assert_eq!(id % 2, 1, "call {id} is over");
            assert_eq!(seen.insert(id, own), None, "call {id} is adopted by two");
        }
    }
    assert_eq!(seen.len(), 20, "each that stands has somebody");
    assert!(seen.values().any(|m| *m == 1) && seen.values().any(|m| *m == 3), "they are divided");
}
