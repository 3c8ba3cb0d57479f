//! Documents what the operating system reports to the writer of a TCP connection about how its peer closed it. The writer sends
//! an answer, then the end of the call; each row is one fixed order of these two writes and of the peer's steps.

use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::time::Duration;

use self::Step::*;

/// Time for one step to take effect over loopback.
const SETTLE: Duration = Duration::from_millis(50);
const MESSAGE: &[u8] = b"a text";

enum Step {
    /// The writer writes one message.
    Write,
    /// The writer shuts down its own direction.
    WriterShuts,
    /// The peer reads one message.
    Read,
    /// The peer shuts down its own direction and may still read.
    HalfClose,
    /// The peer shuts down both directions and keeps the socket.
    ShutDown,
    /// The peer closes the socket.
    Close,
    /// The peer closes the socket with a reset, whether or not it has read everything.
    Abort,
}

/// What the writer observes: the result of its last write, of its next read, and the pending socket error after that.
type Observed = (Result<usize, ErrorKind>, Result<usize, ErrorKind>, Option<ErrorKind>);

const WRITTEN: Result<usize, ErrorKind> = Ok(MESSAGE.len());
const END: Result<usize, ErrorKind> = Ok(0);
const RESET: Result<usize, ErrorKind> = Err(ErrorKind::ConnectionReset);
const BROKEN_PIPE: Option<ErrorKind> = Some(ErrorKind::BrokenPipe);

fn observed_after(steps: &[Step]) -> Observed {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let peer = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let (mut writer, _) = listener.accept().unwrap();
    writer.set_nonblocking(true).unwrap();
    let (mut peer, mut written) = (Some(peer), WRITTEN);
    for step in steps {
        match (step, peer.as_mut()) {
            (Write, _) => written = writer.write(MESSAGE).map_err(|error| error.kind()),
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
    (written, read, writer.take_error().unwrap().map(|error| error.kind()))
}

/// Each test is `name: steps => observed`. Its comment refutes an assumption that looks plausible.
macro_rules! rows {
    ($($(#[$comment:meta])* $name:ident: $steps:expr => $observed:expr;)*) => {
        $($(#[$comment])* #[test] fn $name() { assert_eq!(observed_after(&$steps), $observed); })*
    };
}

rows! {
    /// Refutes: an end that was written but not read leaves no trace.
    end_unread: [Write, Read, Write, Close] => (WRITTEN, RESET, None);
    /// Refutes: a reset shows how much was unread. The result is the same as in the row above.
    both_unread: [Write, Write, Close] => (WRITTEN, RESET, None);
    /// Refutes: a reset shows that something was unread.
    both_read_then_aborted: [Write, Read, Write, Read, Abort] => (WRITTEN, RESET, None);
    /// Refutes: an orderly close shows nothing. If nothing was written after it, everything was read.
    both_read_then_closed: [Write, Read, Write, Read, Close] => (WRITTEN, END, None);
    /// Refutes: a successful write had a reader. The read after it shows only the close, the pending error shows the reset.
    closed_before_the_end: [Write, Read, Close, Write] => (WRITTEN, END, BROKEN_PIPE);
    /// Refutes: a write to a peer that left its answer unread succeeds. Its error consumes the reset, and all later results look orderly.
    answer_unread_before_the_end: [Write, Close, Write] => (RESET, END, None);
    /// Refutes: what is sent to a half-closed peer is lost, or a read shows its later reset.
    half_closed_then_end_unread: [Write, Read, HalfClose, Write, Close] => (WRITTEN, END, BROKEN_PIPE);
    /// Refutes: a half-closed peer is gone. It goes on reading, and no error follows.
    half_closed_then_end_read: [Write, Read, HalfClose, Write, Read, Close] => (WRITTEN, END, None);
    /// Refutes: the pending error tells a read answer from an unread one. The result is the same as in `closed_before_the_end`.
    shut_down_with_answer_unread: [Write, ShutDown, Write] => (WRITTEN, END, BROKEN_PIPE);
    /// Refutes: a writer that shuts down its own direction first still learns of the unread end if the peer half-closed before.
    half_closed_and_writer_shuts: [Write, Read, HalfClose, Write, WriterShuts, Close] => (WRITTEN, END, None);
    /// Refutes: shutting down the own direction always hides the reset. If the peer has not half-closed yet, the reset is seen.
    writer_shuts_before_the_close: [Write, Read, Write, WriterShuts, Close] => (WRITTEN, RESET, None);
}
