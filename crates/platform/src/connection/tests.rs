use super::*;
use crate::message::kind;
use proptest::prelude::*;
use std::collections::VecDeque;

/// A stream that takes and gives a few bytes at a time and blocks in between.
#[derive(Default)]
struct Choppy {
    incoming: VecDeque<u8>,
    outgoing: Vec<u8>,
    gives: usize,
    takes: usize,
}

impl Read for Choppy {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        let n = self.gives.min(buffer.len()).min(self.incoming.len());
        self.gives -= n;
        match n {
            0 => Err(ErrorKind::WouldBlock.into()),
            n => (&mut self.incoming).take(n as u64).read(buffer),
        }
    }
}

impl Write for Choppy {
    fn write(&mut self, data: &[u8]) -> io::Result<usize> {
        let n = self.takes.min(data.len());
        self.takes -= n;
        self.outgoing.extend(&data[..n]);
        if n == 0 {
            Err(ErrorKind::WouldBlock.into())
        } else {
            Ok(n)
        }
    }
    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

proptest! {
    /// Whatever the sizes of reads and writes, messages arrive whole, in order and once, and
    /// `written` passes a message's end exactly when its last byte is out.
    #[test]
    fn messages_survive_any_cuts(steps in prop::collection::vec((0usize..60, 0usize..60, 0usize..50), 1..80)) {
        let mut connection: Connection<_, Message> = Connection::new(Choppy::default(), 64 * 1024);
        let (mut sent, mut got, mut ends) = (Vec::new(), Vec::new(), Vec::new());
        for (call, (gives, takes, size)) in steps.into_iter().enumerate() {
            connection.stream.gives = gives;
            connection.stream.takes = takes;
            let message = Message::new(kind::ANSWER, call as u64).with(61, vec![7; size]);
            ends.push(connection.send(&message).unwrap());
            sent.push(message);
            let out = std::mem::take(&mut connection.stream.outgoing);
            connection.stream.incoming.extend(out);
            connection.read(&mut got).unwrap();
            prop_assert!(got.len() <= ends.iter().filter(|e| **e <= connection.written()).count());
            prop_assert_eq!(connection.blocked(), connection.written() < *ends.last().unwrap());
        }
        (connection.stream.gives, connection.stream.takes) = (usize::MAX, usize::MAX);
        connection.flush().unwrap();
        let out = std::mem::take(&mut connection.stream.outgoing);
        connection.stream.incoming.extend(out);
        // The ring gives its two halves one by one.
        (0..2).for_each(|_| connection.read(&mut got).unwrap());
        prop_assert_eq!(got, sent);
    }
}

/// Guards against a half message that swallows all that comes later; whole ones are not held against
/// the peer however often a look finds the next one half read.
#[test]
fn a_message_that_does_not_end_is_noticed() {
    let mut connection: Connection<_, Message> = Connection::new(Choppy::default(), 64 * 1024);
    let mut bytes = Vec::new();
    Message::new(kind::RELEASE, 2).encode(&mut bytes);
    let half = bytes.len() / 2;
    connection.stream.gives = usize::MAX;
    connection.stream.incoming.extend(&bytes[..half]);
    for look in 0..9 {
        connection.read(&mut Vec::new()).unwrap();
        assert!(!connection.stalled(f64::from(look), 1.5));
        connection.stream.incoming.extend(bytes[half..].iter().chain(&bytes[..half]));
    }
    connection.read(&mut Vec::new()).unwrap();
    assert!(!connection.stalled(9.0, 1.5) && connection.stalled(10.5, 1.5));
    connection.stream.incoming.extend(&bytes[half..]);
    connection.read(&mut Vec::new()).unwrap();
    assert!(!connection.stalled(99.0, 1.5));
}

#[test]
fn a_peer_that_does_not_read_is_cut_off_and_bad_input_keeps_what_came_before() {
    let mut connection: Connection<_, Message> = Connection::new(Choppy::default(), 64 * 1024);
    let message = Message::new(kind::ANSWER, 1).with(61, vec![0; 16_000]);
    let end = (0..20).find_map(|_| connection.send(&message).err());
    assert!(matches!(end, Some(CloseReason::WriteBacklog)));
    let mut bytes = Vec::new();
    Message::new(kind::RELEASE, 2).encode(&mut bytes);
    bytes.extend([0xff; 9]);
    connection.stream.incoming.extend(bytes);
    connection.stream.gives = 1000;
    let mut got = Vec::new();
    assert!(matches!(connection.read(&mut got), Err(CloseReason::Malformed(_))));
    assert_eq!(got, [Message::new(kind::RELEASE, 2)]);
}

/// Guards against a message that waits whole in the buffer of a blocked connection, where it can no longer be called off:
/// it begins to leave at once or not at all.
#[test]
fn a_message_that_cannot_begin_to_leave_is_taken_back() {
    let mut connection: Connection<_, Message> = Connection::new(Choppy::default(), 64 * 1024);
    let message = Message::new(kind::RELEASE, 1);
    assert!(matches!(connection.try_start(&message), Ok(None)));
    assert!(!connection.blocked());
    connection.stream.takes = 4;
    let end = connection.try_start(&message).unwrap();
    assert!(end.is_some_and(|end| end > connection.written()), "half of it is out");
    // Behind half a message nothing begins.
    connection.stream.takes = 0;
    assert!(matches!(connection.try_start(&Message::new(kind::RELEASE, 2)), Ok(None)));
    connection.stream.takes = usize::MAX;
    connection.flush().unwrap();
    let mut bytes = Vec::new();
    message.encode(&mut bytes);
    assert_eq!(connection.stream.outgoing, bytes);
}
