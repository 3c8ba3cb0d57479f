//! A non-blocking connection with bounded buffers that handles partial reads and partial writes.

use std::fmt;
use std::io::{self, ErrorKind, Read, Write};

use crate::boundary::{Candidate, TruncatedMessage, Verdict};
use crate::message::Message;

/// A message type that a connection can carry: it marks its own end in a stream of bytes.
pub trait Frame: Sized {
    /// Appends the encoded message to `out`.
    fn encode(&self, out: &mut Vec<u8>);

    /// Decodes the message at the start of `data` and returns it with its length in bytes, or `None` if it is incomplete.
    /// A message that is too long is an error before the rest of it arrives.
    fn decode(data: &[u8]) -> Result<Option<(Self, usize)>, Box<dyn std::error::Error + Send + Sync>>;
}

impl Frame for Message {
    fn encode(&self, out: &mut Vec<u8>) {
        Message::encode(self, out);
    }

    fn decode(data: &[u8]) -> Result<Option<(Self, usize)>, Box<dyn std::error::Error + Send + Sync>> {
        Ok(Message::decode(data)?)
    }
}

/// Maximum number of bytes per read.
const READ_BUFFER_BYTES: usize = 16 * 1024;
/// Maximum number of bytes that one call reads, so that one busy peer does not keep the others waiting.
const MAX_BYTES_PER_CALL: usize = 4 * READ_BUFFER_BYTES;

/// Reason why a connection ended.
#[derive(Debug)]
pub enum CloseReason {
    /// The peer closed it.
    Closed,
    /// An I/O error occurred.
    Broken(io::Error),
    /// The peer sent bytes that are not a valid message.
    Malformed(Box<dyn std::error::Error + Send + Sync>),
    /// The peer truncated a message and went on with the next one.
    Truncated(TruncatedMessage),
    /// The peer does not read, and too many bytes wait to be written.
    WriteBacklog,
    /// The peer began a message and did not complete it in time.
    IncompleteMessage,
    /// The peer does not answer here, while it answers on another connection what was sent later.
    Unresponsive,
    /// The peer sent a message that is not allowed at this point; the text says which.
    UnexpectedMessage(&'static str),
    /// The peer has been idle for too long, or never sent anything.
    Idle,
    /// This side is draining and closes its connections.
    Drained,
}

impl fmt::Display for CloseReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CloseReason::Closed => write!(f, "closed by the peer"),
            CloseReason::Broken(error) => write!(f, "{error}"),
            CloseReason::Malformed(reason) => write!(f, "{reason}"),
            CloseReason::Truncated(cut) => write!(f, "{cut}"),
            CloseReason::WriteBacklog => {
                write!(f, "the peer does not read: too many bytes wait to be written")
            }
            CloseReason::IncompleteMessage => write!(f, "a message was begun and not ended"),
            CloseReason::Unresponsive => write!(f, "silent, while answers come on another"),
            CloseReason::UnexpectedMessage(what) => write!(f, "{what}"),
            CloseReason::Idle => write!(f, "idle"),
            CloseReason::Drained => write!(f, "drained"),
        }
    }
}

impl std::error::Error for CloseReason {}

/// A stream with its input and output buffers. It carries the platform's messages, or another [`Frame`].
pub struct Connection<S, M = Message> {
    stream: S,
    message_type: std::marker::PhantomData<M>,
    input: Vec<u8>,
    output: Vec<u8>,
    /// Bytes read from the stream since the start.
    received: u64,
    /// Bytes queued for writing since the start.
    queued: u64,
    /// Bytes written to the stream since the start.
    written: u64,
    /// Maximum number of bytes that wait to be written; the connection of a peer that reads too slowly for it is ended.
    max_unwritten_bytes: usize,
    /// Number of complete messages read so far.
    messages: u64,
    /// The message that was incomplete at the last check, by the number of messages before it, and since when.
    incomplete: Option<(u64, f64)>,
    /// Whether the input begins with a complete message that is held back, see [`Connection::read_checked`].
    held: bool,
}

/// Checks a message that is complete according to its length field for truncation.
pub type BoundaryCheck<'a> = &'a dyn Fn(Candidate) -> Verdict;

impl<S: Read + Write, M: Frame> Connection<S, M> {
    /// Wraps a non-blocking stream. No more than `max_unwritten_bytes` may wait to be written.
    pub fn new(stream: S, max_unwritten_bytes: usize) -> Self {
        let (input, output, incomplete) = (Vec::new(), Vec::new(), None);
        let message_type = std::marker::PhantomData;
        Connection {
            stream,
            message_type,
            input,
            output,
            received: 0,
            queued: 0,
            written: 0,
            max_unwritten_bytes,
            messages: 0,
            incomplete,
            held: false,
        }
    }

    /// The stream, to register it with a poller.
    pub fn stream(&self) -> &S {
        &self.stream
    }

    /// Reads the available input and appends the complete messages to `messages`.
    ///
    /// If the connection has ended, the messages before its end are appended too, and the reason is returned. It reads
    /// until no input is left (up to a limit), so that a close right after a message is seen together with it: a caller
    /// that sent a set-up and left is known to be gone before the set-up is decided.
    pub fn read(&mut self, messages: &mut Vec<M>) -> Result<(), CloseReason> {
        self.read_checked(messages, &|_| Verdict::Complete)
    }

    /// Reads like [`Connection::read`] and checks each message. A truncated message ends the connection. A message for
    /// which the check is undecided is held back with everything after it until more input arrives, the connection ends,
    /// or [`Connection::release_held`] is called.
    pub fn read_checked(&mut self, messages: &mut Vec<M>, check: BoundaryCheck) -> Result<(), CloseReason> {
        self.read_limited(MAX_BYTES_PER_CALL, messages, check)
    }

    /// Reads like [`Connection::read_checked`], but no more than this number of bytes. What is left stays in the system's buffer.
    pub fn read_limited(
        &mut self,
        max_bytes: usize,
        messages: &mut Vec<M>,
        check: BoundaryCheck,
    ) -> Result<(), CloseReason> {
        let end = self.read_stream(max_bytes, messages, check);
        match &end {
            // No more input arrives that could decide the check.
            Err(CloseReason::Closed | CloseReason::Broken(_)) if self.held => {
                self.release_held(messages, check).and(end)
            }
            _ => end,
        }
    }

    /// Returns whether a complete message is held back.
    pub fn has_held_message(&self) -> bool {
        self.held
    }

    /// Accepts the message that is held back as complete, and checks the messages after it.
    pub fn release_held(&mut self, messages: &mut Vec<M>, check: BoundaryCheck) -> Result<(), CloseReason> {
        if !std::mem::take(&mut self.held) {
            return Ok(());
        }
        if let Ok(Some((message, length))) = M::decode(&self.input) {
            messages.push(message);
            self.messages += 1;
            self.input.drain(..length);
        }
        self.accept_messages(0, messages, check)
    }

    fn read_stream(
        &mut self,
        max_bytes: usize,
        messages: &mut Vec<M>,
        check: BoundaryCheck,
    ) -> Result<(), CloseReason> {
        let mut chunk = [0; READ_BUFFER_BYTES];
        let mut left = max_bytes;
        let (before, earlier) = (self.messages, self.input.len());
        while left > 0 {
            let size = left.min(chunk.len());
            match self.stream.read(&mut chunk[..size]) {
                Ok(0) => return Err(CloseReason::Closed),
                Ok(n) => {
                    left -= n;
                    self.received += n as u64;
                    self.input.extend(&chunk[..n]);
                    // Only the message that was incomplete before has bytes from an earlier read.
                    let earlier = if self.messages == before { earlier } else { 0 };
                    self.accept_messages(earlier, messages, check)?;
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => return Ok(()),
                Err(error) if error.kind() == ErrorKind::Interrupted => continue,
                Err(error) => return Err(CloseReason::Broken(error)),
            }
        }
        Ok(())
    }

    /// Reads and discards the available input.
    pub fn discard_input(&mut self) -> Result<(), CloseReason> {
        let mut chunk = [0; READ_BUFFER_BYTES];
        for _ in 0..MAX_BYTES_PER_CALL / READ_BUFFER_BYTES {
            match self.stream.read(&mut chunk) {
                Ok(0) => return Err(CloseReason::Closed),
                Ok(_) => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => return Ok(()),
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => return Err(CloseReason::Broken(error)),
            }
        }
        Ok(())
    }

    /// Returns whether the same message has been incomplete for at least `limit` seconds, as far as successive calls show.
    /// Guards against a length field that is too large: all later input would count as part of that message.
    pub fn stalled(&mut self, now: f64, limit: f64) -> bool {
        let since = self
            .incomplete
            .filter(|incomplete| incomplete.0 == self.messages)
            .map_or(now, |incomplete| incomplete.1);
        self.incomplete = (!self.input.is_empty()).then_some((self.messages, since));
        self.incomplete.is_some() && now - since >= limit
    }

    /// Returns whether a part of a message has been read, but not its end.
    pub fn has_partial_message(&self) -> bool {
        !self.input.is_empty()
    }

    /// Decodes the complete messages in the input. The first `earlier` bytes of it were received in an earlier read.
    fn accept_messages(
        &mut self,
        earlier: usize,
        messages: &mut Vec<M>,
        check: BoundaryCheck,
    ) -> Result<(), CloseReason> {
        self.held = false;
        let mut used = 0;
        let end = loop {
            let data = &self.input[used..];
            let (message, length) = match M::decode(data) {
                Ok(Some(whole)) => whole,
                Ok(None) => break Ok(()),
                Err(reason) => break Err(CloseReason::Malformed(reason)),
            };
            let candidate = Candidate { data, length, split_across_reads: used < earlier };
            match check(candidate) {
                Verdict::Complete => {}
                Verdict::Truncated => break Err(CloseReason::Truncated(candidate.truncated_message())),
                Verdict::Undecided => {
                    self.held = true;
                    break Ok(());
                }
            }
            messages.push(message);
            self.messages += 1;
            used += length;
        };
        self.input.drain(..used);
        // Otherwise each of many idle connections would keep the memory of its largest message.
        if self.input.is_empty() {
            self.input = Vec::new();
        }
        end
    }

    /// Queues a message and writes as much as possible. Returns the offset in the output stream at which the message ends,
    /// to compare with [`Connection::written`].
    pub fn send(&mut self, message: &M) -> Result<u64, CloseReason> {
        let end = self.queue(message);
        self.write_queued()?;
        Ok(end)
    }

    /// Queues a message, to be written together with others by [`Connection::write_queued`]. Returns the offset in the
    /// output stream at which it ends.
    pub fn queue(&mut self, message: &M) -> u64 {
        let before = self.output.len();
        message.encode(&mut self.output);
        self.queued += (self.output.len() - before) as u64;
        self.queued
    }

    /// Writes as much as possible. Fails if more than the maximum number of bytes still waits after that.
    pub fn write_queued(&mut self) -> Result<(), CloseReason> {
        self.flush()?;
        match self.output.len() {
            n if n > self.max_unwritten_bytes => Err(CloseReason::WriteBacklog),
            _ => Ok(()),
        }
    }

    /// Sends a message if its first byte can be written now; otherwise it is not queued and the result is `None`. Returns
    /// the same offset as [`Connection::send`]. A message of which nothing has been written can still be withdrawn.
    pub fn try_start(&mut self, message: &M) -> Result<Option<u64>, CloseReason> {
        if self.blocked() {
            return Ok(None);
        }
        let (queued, written) = (self.queued, self.written);
        let end = self.send(message)?;
        if self.written > written {
            return Ok(Some(end));
        }
        self.output.clear();
        self.queued = queued;
        Ok(None)
    }

    /// Writes as much of the output as possible.
    pub fn flush(&mut self) -> Result<(), CloseReason> {
        let mut done = 0;
        let end = loop {
            if done == self.output.len() {
                break Ok(());
            }
            match self.stream.write(&self.output[done..]) {
                Ok(0) => break Err(CloseReason::Closed),
                Ok(n) => done += n,
                Err(error) if error.kind() == ErrorKind::WouldBlock => break Ok(()),
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => break Err(CloseReason::Broken(error)),
            }
        };
        self.output.drain(..done);
        if self.output.is_empty() {
            self.output = Vec::new();
        }
        self.written += done as u64;
        end
    }

    /// Bytes read since the start.
    pub fn received(&self) -> u64 {
        self.received
    }

    /// Bytes queued for writing since the start.
    pub fn queued(&self) -> u64 {
        self.queued
    }

    /// Bytes written since the start.
    pub fn written(&self) -> u64 {
        self.written
    }

    /// Returns whether bytes wait to be written.
    pub fn blocked(&self) -> bool {
        !self.output.is_empty()
    }
}

#[cfg(test)]
mod tests;
