//! Tests of frames: messages are decoded as they were encoded; unknown kinds, garbage and truncated frames do no
//! harm. Tests of the byte budget over time, and of the placement of leaves.

use hollypaddle_membership::{Incarnation, MemberId};
use hollypaddle_relay::budget::{ByteBudget, PACKET_HEADER_BYTES};
use hollypaddle_relay::message::{truncate, FrameError, Hello, Message, Refusal, MAX_FRAME_BYTES};
use hollypaddle_relay::placement::{leaf_limit, preferred_relays, NodeLocation, RelayLocation};
use hollypaddle_relay::settings::Revision;
use hollypaddle_replica::record::Topic;
use proptest::prelude::*;

fn samples() -> Vec<Message> {
    let incarnation = Incarnation { number: 3, nonce: 4 };
    let (from, to, topic) = (MemberId(1), MemberId(2), Topic(7));
    let mark = Revision { version: 5, hash: 6 };
    vec![
        Message::Hello(Hello { protocol: (1, 1), from, to, incarnation, topic, name: "g-1".into() }),
        Message::Welcome { relay: to, incarnation },
        Message::Ping(7),
        Message::Pong(8),
        Message::Attached(9),
        Message::Refused(Refusal::Full, 1500),
        Message::Detach,
        Message::Lacks(mark),
        Message::Verdict { version: 5, refusal: Some("no".into()) },
        Message::Leave,
        Message::Holds { in_force: mark, proposed: Revision::default() },
        Message::Want { proposed: true, held: mark },
        Message::TurnedDown { leaf: from, name: "g-1".into(), version: 5, reason: "no".into() },
    ]
}

#[test]
fn every_message_is_decoded_as_encoded_and_a_truncated_frame_is_incomplete() {
    for message in samples() {
        let mut frame = Vec::new();
        let whole = message.encode(&mut frame);
        assert_eq!(whole, frame.len());
        for end in 0..whole {
            assert!(matches!(Message::decode(&frame[..end]), Ok(None)), "{message:?} at {end}");
        }
        frame.push(1);
        let read = Message::decode(&frame).unwrap().unwrap();
        assert_eq!(read, (message, whole));
    }
}

#[test]
fn unknown_kinds_are_decoded_as_unknown_and_malformed_frames_are_rejected() {
    let unknown = [0, 0, 0, 4, 200, 1, 2, 3];
    assert_eq!(Message::decode(&unknown).unwrap(), Some((Message::Unknown(200), 8)));
    assert!(matches!(Message::decode(&[0, 0, 0, 3, 3, 1, 1]), Err(FrameError::LeftOver(1, 3))));
    assert!(matches!(Message::decode(&[0, 0, 0, 1, 3]), Err(FrameError::Unreadable(3, _))));
    assert!(matches!(Message::decode(&[0, 0, 0, 0]), Err(FrameError::Empty)));
    assert!(matches!(Message::decode(&[255; 8]), Err(FrameError::TooLong(_))));
}

proptest! {
    #[test]
    fn decoding_arbitrary_bytes_never_panics_or_exceeds_the_frame(
        bytes in proptest::collection::vec(any::<u8>(), 0..200), kind in 0u8..24
    ) {
        _ = Message::decode(&bytes);
        let mut frame = (bytes.len() as u32 + 1).to_be_bytes().to_vec();
        frame.push(kind);
        frame.extend(&bytes);
        if let Ok(Some((_, whole))) = Message::decode(&frame) {
            prop_assert!(whole <= MAX_FRAME_BYTES && whole == frame.len());
        }
    }

    #[test]
    fn truncate_cuts_at_a_character_boundary_within_the_limit(text in "\\PC{0,40}", max_bytes in 0usize..60) {
        let short = truncate(&text, max_bytes);
        prop_assert!(short.len() <= max_bytes && text.starts_with(&short));
        prop_assert!(text.len() > max_bytes || short == text);
    }

    /// Over any period at most the rate, one burst and one message are sent.
    #[test]
    fn a_byte_budget_keeps_its_rate_over_any_period(
        sends in proptest::collection::vec((0.0f64..0.3, 1usize..1200), 1..200), rate in 500.0f64..6000.0
    ) {
        let (mut now, mut budget, mut sent) = (100.0, ByteBudget::new(100.0, rate, 1.0), Vec::new());
        for (gap, bytes) in sends {
            now += gap;
            if budget.can_send(now) {
                budget.spend(now, bytes);
                sent.push((now, (bytes + PACKET_HEADER_BYTES) as f64));
            } else {
                prop_assert!(budget.can_send_at() > now);
            }
        }
        for from in 0..sent.len() {
            let mut sum = 0.0;
            for (at, bytes) in &sent[from..] {
                sum += bytes;
                prop_assert!(sum <= rate * (at - sent[from].0 + 1.0) + 1304.0);
            }
        }
    }
}

fn relays() -> Vec<RelayLocation> {
    let place = |n: u64| NodeLocation { zone: format!("z{n}"), region: format!("r{}", n / 3) };
    (0..5).map(|n| RelayLocation { relay: MemberId(100 + n), location: place(n) }).collect()
}

#[test]
fn relays_of_the_own_zone_come_first_then_those_of_the_region_evenly_spread() {
    let relays = relays();
    let here = NodeLocation { zone: "z1".into(), region: "r0".into() };
    let mut seconds = [0; 5];
    for leaf in 0..600 {
        let order = preferred_relays(MemberId(leaf * 7919), &here, &relays);
        assert_eq!(order[0], MemberId(101));
        assert!(order[1..3].iter().all(|r| r.0 == 100 || r.0 == 102), "relays of the own region come next");
        seconds[(order[1].0 - 100) as usize] += 1;
    }
    assert!((250..=350).contains(&seconds[0]), "{seconds:?}");
}

#[test]
fn without_locations_leaves_spread_evenly_and_only_those_of_a_removed_relay_move() {
    let (relays, nowhere) = (relays(), NodeLocation::default());
    let first = |leaf: u64, of: &[RelayLocation]| preferred_relays(MemberId(leaf * 7919), &nowhere, of)[0];
    let mut counts = [0; 5];
    (0..1000).for_each(|leaf| counts[(first(leaf, &relays).0 - 100) as usize] += 1);
    assert!(counts.iter().all(|n| (150..=250).contains(n)), "{counts:?}");
    for leaf in 0..1000 {
        let (all, less) = (first(leaf, &relays), first(leaf, &relays[1..]));
        assert!(all == less || all == MemberId(100), "only leaves of the removed relay move");
    }
}

#[test]
fn leaf_limit_is_a_quarter_above_the_even_share_and_at_most_the_configured_limit() {
    assert_eq!(leaf_limit(749, 5, 1.25, 400), 188);
    assert_eq!(leaf_limit(749, 3, 1.25, 400), 313);
    assert_eq!(leaf_limit(1499, 3, 1.25, 400), 400);
    assert_eq!(leaf_limit(3, 5, 1.25, 400), 32);
    assert_eq!(leaf_limit(100, 0, 1.25, 400), 127);
}

/// Over any 10 s both directions together, with their bursts and a message of debt each, leave enough for the
/// messages to a second choice and for one new burst after a move.
#[test]
fn default_rates_stay_within_the_byte_budget_of_a_gatekeeper() {
    let t = hollypaddle_relay::Timing::default();
    let rates = t.leaf_bytes_per_s + t.report_bytes_per_s;
    let max_bytes = rates * (10.0 + t.burst_s) + 2.0 * 1400.0;
    assert!(max_bytes <= 80_000.0, "{max_bytes}");
    let pings = 2.0 * 2.0 * 111.0 * 10.0 / t.second_ping_interval_s;
    assert!(rates * 10.0 + pings + 2.0 * t.leaf_bytes_per_s * t.burst_s <= 80_000.0);
}
