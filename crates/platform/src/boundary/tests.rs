use super::*;
use crate::message::cause;
use proptest::prelude::*;

const FIRST: u64 = 0x091b_7584_a226_5b1f;
const SECOND: u64 = 0xe4c3_02d9_517f_8a66;

fn answer(id: u64, description: &[u8]) -> Message {
    Message::new(kind::ANSWER, id).with(code::DESCRIPTION, description)
}

fn encoded(message: &Message) -> Vec<u8> {
    let mut bytes = Vec::new();
    message.encode(&mut bytes);
    bytes
}

fn known(id: u64) -> bool {
    [FIRST, SECOND].contains(&id)
}

/// Checks the first message in the bytes; `None` if they do not begin with a complete message.
fn verdict_of_first(data: &[u8], split: bool) -> Option<Verdict> {
    let (_, length) = Message::decode(data).ok()??;
    let candidate = Candidate { data, length, split_across_reads: split };
    let followed = candidate.is_followed_by_message();
    Some(if followed { candidate.verdict(known) } else { Verdict::Truncated })
}

/// A message that may follow another: an answer or a release of a known or unknown call, a report, or progress.
fn next_message(which: usize, description: &[u8]) -> Message {
    let unknown = !SECOND;
    match which {
        0 => answer(SECOND, description),
        1 => Message::new(kind::RELEASE, SECOND).with_cause(cause::NORMAL),
        2 => answer(unknown, description),
        3 => Message::new(kind::RELEASE, unknown).with_cause(cause::NORMAL),
        4 => Message::new(kind::STATE, 0).with(code::REPORT, "x0:12;queue:3"),
        _ => Message::new(kind::PROGRESS, SECOND),
    }
}

proptest! {
    /// Guards against a truncated message that is completed by the bytes of the next one, wherever it was truncated and
    /// whatever the next one is.
    #[test]
    fn a_message_truncated_anywhere_is_not_accepted_as_complete(
        description in prop::collection::vec(any::<u8>(), 1..60), next in 0usize..6, other in prop::collection::vec(any::<u8>(), 1..60),
        releases: bool, cut in 0usize..1000,
    ) {
        let first = match releases {
            true => Message::new(kind::RELEASE, FIRST).with_cause(cause::FULL).with(code::REJECT_REASON, description),
            false => answer(FIRST, &description),
        };
        let mut bytes = encoded(&first);
        // Truncated after its call id, so that it still names its call.
        let head = LENGTH_BYTES + HEADER_BYTES;
        bytes.truncate(head + cut % (bytes.len() - head));
        bytes.extend(encoded(&next_message(next, &other)));
        bytes.extend(encoded(&answer(SECOND, b"made for the second")));
        let verdict = verdict_of_first(&bytes, false);
        prop_assert!(matches!(verdict, None | Some(Verdict::Truncated)), "{verdict:?}");
    }

    /// Guards against valid messages that are refused or held back: complete ones with complete ones after them.
    #[test]
    fn a_message_sent_completely_is_accepted_at_once(
        text in "[ -*,-~]{1,80}", next in prop::option::of(0usize..6), other in prop::collection::vec(any::<u8>(), 1..60),
    ) {
        let mut bytes = encoded(&answer(FIRST, text.as_bytes()));
        if let Some(next) = next {
            bytes.extend(encoded(&next_message(next, &other)));
        }
        prop_assert_eq!(verdict_of_first(&bytes, false), Some(Verdict::Complete));
    }

    /// Guards against valid set-ups in which an id, a length or a code is mistaken for the header of another message.
    #[test]
    fn a_set_up_sent_completely_is_not_refused(
        id in prop_oneof![0u64..1000, any::<u64>()], description in prop::collection::vec(any::<u8>(), 0..60), alone: bool,
    ) {
        let set_up = |id: u64| {
            Message::new(kind::SET_UP, id)
                .with(code::CLASS, "meter-read")
                .with(code::WAIT, "3000")
                .with(code::NUMBER, format!("{id:016x}"))
                .with(code::ATTRIBUTES, "dest:0;width:1;via:-1")
                .with(code::DESCRIPTION, &description[..])
        };
        let mut bytes = encoded(&set_up(id));
        if !alone {
            bytes.extend(encoded(&set_up(id.wrapping_add(1))));
        }
        let candidate = Candidate { data: &bytes, length: encoded(&set_up(id)).len(), split_across_reads: false };
        prop_assert_ne!(candidate.verdict(|_| false), Verdict::Truncated);
    }

    /// Guards against a panic on bytes from the network.
    #[test]
    fn any_bytes_are_checked_without_a_panic(data in prop::collection::vec(any::<u8>(), 0..300), split: bool) {
        let _ = verdict_of_first(&data, split);
    }
}

/// Guards against an answer received in several reads that is forwarded before it is known which message its last bytes
/// belong to.
#[test]
fn a_message_that_ends_with_the_beginning_of_a_header_is_undecided_until_more_input_arrives() {
    let next = encoded(&answer(SECOND, b"made for the second"));
    let whole = encoded(&answer(FIRST, b"made for the first of them"));
    for missing in 1..=10 {
        let mut bytes = whole[..whole.len() - missing].to_vec();
        bytes.extend(&next[..missing]);
        assert_eq!(verdict_of_first(&bytes, true), Some(Verdict::Undecided), "{missing} bytes missing");
        bytes.extend(&next[missing..]);
        assert_eq!(verdict_of_first(&bytes, true), Some(Verdict::Truncated), "{missing} bytes missing");
    }
    assert_eq!(verdict_of_first(&whole, true), Some(Verdict::Complete));
}
