//! What the system tells the writer of a connection about how its peer left. An answer is written, then the end of the call;
//! each row is one forced order of these two writes and of the peer's steps.

use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::time::Duration;

use self::Step::*;

/// For the system to carry one step over loopback.
const SETTLE: Duration = Duration::from_millis(50);
const MESSAGE: &[u8] = b"a word";

enum Step {
    /// The writer writes one message.
    Write,
    /// The writer ends its own direction.
    WriterShuts,
    /// The peer reads one message.
    Read,
    /// The peer ends its own direction and may still read.
    HalfClose,
    /// The peer ends both directions and keeps the socket.
    ShutDown,
    Close,
    /// The peer closes with a reset whatever it has read.
    Abort,
}

/// What the writer saw: its last write, its next read, and the error that is pending after that.
type Seen = (Result<usize, ErrorKind>, Result<usize, ErrorKind>, Option<ErrorKind>);

const TAKEN: Result<usize, ErrorKind> = Ok(MESSAGE.len());
const END: Result<usize, ErrorKind> = Ok(0);
const RESET: Result<usize, ErrorKind> = Err(ErrorKind::ConnectionReset);
const PIPE: Option<ErrorKind> = Some(ErrorKind::BrokenPipe);

fn seen_after(steps: &[Step]) -> Seen {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let peer = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let (mut writer, _) = listener.accept().unwrap();
    writer.set_nonblocking(true).unwrap();
    let (mut peer, mut wrote) = (Some(peer), TAKEN);
    for step in steps {
        match (step, peer.as_mut()) {
            (Write, _) => wrote = writer.write(MESSAGE).map_err(|error| error.kind()),
            (WriterShuts, _) => writer.shutdown(Shutdown::Write).unwrap(),
            (Read, Some(peer)) => peer.read_exact(&mut [0; MESSAGE.len()]).unwrap(),
            (HalfClose, Some(peer)) => peer.shutdown(Shutdown::Write).unwrap(),
            (ShutDown, Some(peer)) => peer.shutdown(Shutdown::Both).unwrap(),
            (Abort, Some(open)) => {
                socket2::SockRef::from(&*open).set_linger(Some(Duration::ZERO)).unwrap();
                peer = None;
            }
            (Close, Some(_)) => peer = None,
            (_, None) => panic!("the peer has closed"),
        }
        std::thread::sleep(SETTLE);
    }
    let read = writer.read(&mut [0; 1]).map_err(|error| error.kind());
    (wrote, read, writer.take_error().unwrap().map(|error| error.kind()))
}

/// Each test is `name: steps => seen`.
macro_rules! rows {
    ($($(#[$comment:meta])* $name:ident: $steps:expr => $seen:expr;)*) => {
        $($(#[$comment])* #[test] fn $name() { assert_eq!(seen_after(&$steps), $seen); })*
    };
}

rows! {
    /// Not: an end that was taken and is left unread leaves no trace.
    end_unread: [Write, Read, Write, Close] => (TAKEN, RESET, None);
    /// Not: a reset says how much was unread. It is the row above to the last figure.
    both_unread: [Write, Write, Close] => (TAKEN, RESET, None);
    /// Not: a reset says that something was unread.
    both_read_then_aborted: [Write, Read, Write, Read, Abort] => (TAKEN, RESET, None);
    /// Not: a close in order says nothing. Where nothing was written after it, all was read.
    both_read_then_closed: [Write, Read, Write, Read, Close] => (TAKEN, END, None);
    /// Not: a write that was taken was to somebody. The read after it tells of the close alone, the pending error of the reset.
    closed_before_the_end: [Write, Read, Close, Write] => (TAKEN, END, PIPE);
    /// Not: a write to one that left its answer unread is taken. Its error uses up the reset, and what follows looks in order.
    answer_unread_before_the_end: [Write, Close, Write] => (RESET, END, None);
    /// Not: what a half-closed peer is sent is lost, or its later reset is seen by a read.
    half_closed_then_end_unread: [Write, Read, HalfClose, Write, Close] => (TAKEN, END, PIPE);
    /// Not: a half-closed peer is a gone one. It reads on, and no error follows.
    half_closed_then_end_read: [Write, Read, HalfClose, Write, Read, Close] => (TAKEN, END, None);
    /// Not: the pending error tells a read answer from an unread one. It is `closed_before_the_end` to the last figure.
    shut_down_with_answer_unread: [Write, ShutDown, Write] => (TAKEN, END, PIPE);
    /// Not: one may close one's own direction first and still learn of the unread end, where the peer's end came before.
    half_closed_and_writer_shuts: [Write, Read, HalfClose, Write, WriterShuts, Close] => (TAKEN, END, None);
    /// Not: closing one's own direction always destroys it. Where the peer's end has not come yet, the reset is seen.
    writer_shuts_before_the_close: [Write, Read, Write, WriterShuts, Close] => (TAKEN, RESET, None);
}
