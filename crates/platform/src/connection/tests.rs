use super::*;
use crate::message::kind;
use proptest::prelude::*;
use std::collections::VecDeque;

/// A stream that reads and writes a limited number of bytes and then blocks.
#[derive(Default)]
struct LimitedStream {
    incoming: VecDeque<u8>,
    outgoing: Vec<u8>,
    readable: usize,
    writable: usize,
}

impl Read for LimitedStream {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        let n = self.readable.min(buffer.len()).min(self.incoming.len());
        self.readable -= n;
        match n {
            0 => Err(ErrorKind::WouldBlock.into()),
            n => (&mut self.incoming).take(n as u64).read(buffer),
        }
    }
}

impl Write for LimitedStream {
    fn write(&mut self, data: &[u8]) -> io::Result<usize> {
        let n = self.writable.min(data.len());
        self.writable -= n;
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
    /// Whatever the sizes of reads and writes, messages arrive complete, in order and once, and
    /// `written` reaches the end offset of a message exactly when its last byte is written.
    #[test]
    fn messages_arrive_complete_in_order_and_once_for_any_sizes_of_reads_and_writes(steps in prop::collection::vec((0usize..60, 0usize..60, 0usize..50), 1..80)) {
        let mut connection: Connection<_, Message> = Connection::new(LimitedStream::default(), 64 * 1024);
        let (mut sent, mut got, mut ends) = (Vec::new(), Vec::new(), Vec::new());
        for (call, (readable, writable, size)) in steps.into_iter().enumerate() {
            connection.stream.readable = readable;
            connection.stream.writable = writable;
            let message = Message::new(kind::ANSWER, call as u64).with(61, vec![7; size]);
            ends.push(connection.send(&message).unwrap());
            sent.push(message);
            let out = std::mem::take(&mut connection.stream.outgoing);
            connection.stream.incoming.extend(out);
            connection.read(&mut got).unwrap();
            prop_assert!(got.len() <= ends.iter().filter(|e| **e <= connection.written()).count());
            prop_assert_eq!(connection.blocked(), connection.written() < *ends.last().unwrap());
        }
        (connection.stream.readable, connection.stream.writable) = (usize::MAX, usize::MAX);
        connection.flush().unwrap();
        let out = std::mem::take(&mut connection.stream.outgoing);
        connection.stream.incoming.extend(out);
        // A read of the ring buffer returns only one of its two contiguous parts.
        (0..2).for_each(|_| connection.read(&mut got).unwrap());
        prop_assert_eq!(got, sent);
    }
}

/// Guards against an incomplete message that absorbs all later input. A peer that keeps completing messages is not
/// stalled, however often a check finds the next one incomplete.
#[test]
fn a_connection_is_stalled_only_if_one_message_stays_incomplete_for_the_time_limit() {
    let mut connection: Connection<_, Message> = Connection::new(LimitedStream::default(), 64 * 1024);
    let mut bytes = Vec::new();
    Message::new(kind::RELEASE, 2).encode(&mut bytes);
    let half = bytes.len() / 2;
    connection.stream.readable = usize::MAX;
    connection.stream.incoming.extend(&bytes[..half]);
    for check in 0..9 {
        connection.read(&mut Vec::new()).unwrap();
        assert!(!connection.stalled(f64::from(check), 1.5));
        connection.stream.incoming.extend(bytes[half..].iter().chain(&bytes[..half]));
    }
    connection.read(&mut Vec::new()).unwrap();
    assert!(!connection.stalled(9.0, 1.5) && connection.stalled(10.5, 1.5));
    connection.stream.incoming.extend(&bytes[half..]);
    connection.read(&mut Vec::new()).unwrap();
    assert!(!connection.stalled(99.0, 1.5));
}

#[test]
fn a_peer_that_does_not_read_ends_the_connection_and_messages_before_malformed_input_are_kept() {
    let mut connection: Connection<_, Message> = Connection::new(LimitedStream::default(), 64 * 1024);
    let message = Message::new(kind::ANSWER, 1).with(61, vec![0; 16_000]);
    let end = (0..20).find_map(|_| connection.send(&message).err());
    assert!(matches!(end, Some(CloseReason::WriteBacklog)));
    let mut bytes = Vec::new();
    Message::new(kind::RELEASE, 2).encode(&mut bytes);
    bytes.extend([0xff; 9]);
    connection.stream.incoming.extend(bytes);
    connection.stream.readable = 1000;
    let mut got = Vec::new();
    assert!(matches!(connection.read(&mut got), Err(CloseReason::Malformed(_))));
    assert_eq!(got, [Message::new(kind::RELEASE, 2)]);
}

/// Guards against a message that waits in the buffer of a blocked connection, where it can no longer be withdrawn: its first
/// byte is written at once, or it is not queued.
#[test]
fn a_message_is_not_queued_if_its_first_byte_cannot_be_written() {
    let mut connection: Connection<_, Message> = Connection::new(LimitedStream::default(), 64 * 1024);
    let message = Message::new(kind::RELEASE, 1);
    assert!(matches!(connection.try_start(&message), Ok(None)));
    assert!(!connection.blocked());
    connection.stream.writable = 4;
    let end = connection.try_start(&message).unwrap();
    assert!(end.is_some_and(|end| end > connection.written()), "only a part of it is written");
    // After a partly written message no other one is started.
    connection.stream.writable = 0;
    assert!(matches!(connection.try_start(&Message::new(kind::RELEASE, 2)), Ok(None)));
    connection.stream.writable = usize::MAX;
    connection.flush().unwrap();
    let mut bytes = Vec::new();
    message.encode(&mut bytes);
    assert_eq!(connection.stream.outgoing, bytes);
}
