//! One TCP connection: non-blocking, with bounded buffers, partial reads and partial writes.

use std::fmt;
use std::io::{self, ErrorKind, Read, Write};

use crate::boundary::{Candidate, TruncatedMessage, Verdict};
use crate::message::Message;

/// What a connection carries: something with an end of its own in a stream of bytes.
pub trait Frame: Sized {
    /// Appends its bytes.
    fn encode(&self, out: &mut Vec<u8>);

    /// Reads one from the start of the bytes, with its length; none while it is not whole. Something too long is an
    /// error before the rest of it arrives.
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

/// Bytes read at once, and reads in one turn, so that one busy peer does not keep the others waiting.
const READ_BUFFER_BYTES: usize = 16 * 1024;
const MAX_READS_PER_ITERATION: usize = 4;

/// Why a connection is over.
#[derive(Debug)]
pub enum CloseReason {
    /// The peer closed it.
    Closed,
    /// It broke.
    Broken(io::Error),
    /// The peer sent what is no message.
    Malformed(Box<dyn std::error::Error + Send + Sync>),
    /// The peer stopped a message short and went on with the next one.
    Truncated(TruncatedMessage),
    /// The peer does not read what it is sent.
    WriteBacklog,
    /// The peer began a message and does not end it.
    IncompleteMessage,
    /// The peer answers elsewhere what was sent later.
    Unresponsive,
    /// The peer sent a message that has no place there.
    UnexpectedMessage(&'static str),
    /// The peer has been idle, or silent from the start, for too long.
    Idle,
    /// This side is drained, and lets its peers go.
    Drained,
}

impl fmt::Display for CloseReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CloseReason::Closed => write!(f, "closed by the peer"),
            CloseReason::Broken(error) => write!(f, "{error}"),
            CloseReason::Malformed(reason) => write!(f, "{reason}"),
            CloseReason::Truncated(cut) => write!(f, "{cut}"),
            CloseReason::WriteBacklog => write!(f, "the peer does not read what it is sent"),
            CloseReason::IncompleteMessage => write!(f, "a message was begun and not ended"),
            CloseReason::Unresponsive => write!(f, "silent, while answers come on another"),
            CloseReason::UnexpectedMessage(what) => write!(f, "{what}"),
            CloseReason::Idle => write!(f, "idle"),
            CloseReason::Drained => write!(f, "drained"),
        }
    }
}

impl std::error::Error for CloseReason {}

/// A stream with its buffers, of the platform's messages or of others.
pub struct Connection<S, M = Message> {
    stream: S,
    carries: std::marker::PhantomData<M>,
    input: Vec<u8>,
    output: Vec<u8>,
    /// Bytes put in and bytes written since the start.
    queued: u64,
    written: u64,
    /// Most bytes that wait to be written. A peer that reads so slowly is cut off.
    max_unwritten_bytes: usize,
    /// Complete messages read so far; and which message was last seen half read, and since when.
    messages: u64,
    half: Option<(u64, f64)>,
    /// Whether the first bytes of the input are a whole message that is held back, see [`Connection::read_checked`].
    held: bool,
}

/// Judges messages that are complete by their own length.
pub type BoundaryCheck<'a> = &'a dyn Fn(Candidate) -> Verdict;

impl<S: Read + Write, M: Frame> Connection<S, M> {
    /// Wraps a non-blocking stream.
    pub fn new(stream: S, max_unwritten_bytes: usize) -> Self {
        let (input, output, half) = (Vec::new(), Vec::new(), None);
        let carries = std::marker::PhantomData;
        Connection {
            stream,
            carries,
            input,
            output,
            queued: 0,
            written: 0,
            max_unwritten_bytes,
            messages: 0,
            half,
            held: false,
        }
    }

    /// The stream, to watch it.
    pub fn stream(&self) -> &S {
        &self.stream
    }

    /// Reads what has come and appends the whole messages to `messages`, also when the connection
    /// turns out to be over: what was sent before its end counts. Reads on until nothing is there, so that an end
    /// right behind a message is known together with it: whoever asked and left is gone before anything is decided.
    pub fn read(&mut self, messages: &mut Vec<M>) -> Result<(), CloseReason> {
        self.read_checked(messages, &|_| Verdict::Complete)
    }

    /// Reads as [`Connection::read`] does, and has each message judged. One that was cut short ends the connection; one on
    /// which the check is undecided is held back, with all behind it, until more comes, the connection ends, or
    /// [`Connection::release_held`] is called.
    pub fn read_checked(&mut self, messages: &mut Vec<M>, check: BoundaryCheck) -> Result<(), CloseReason> {
        let earlier = self.input.len();
        let end = self.read_stream(earlier, messages, check);
        match &end {
            // Nothing comes any more that could tell.
            Err(CloseReason::Closed | CloseReason::Broken(_)) if self.held => {
                self.release_held(messages, check).and(end)
            }
            _ => end,
        }
    }

    /// Whether a whole message is held back.
    pub fn has_held_message(&self) -> bool {
        self.held
    }

    /// Takes the message that is held back as whole, and what is behind it as the check says.
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
        earlier: usize,
        messages: &mut Vec<M>,
        check: BoundaryCheck,
    ) -> Result<(), CloseReason> {
        let mut chunk = [0; READ_BUFFER_BYTES];
        let mut reads = 0;
        let before = self.messages;
        while reads < MAX_READS_PER_ITERATION {
            match self.stream.read(&mut chunk) {
                Ok(0) => return Err(CloseReason::Closed),
                Ok(n) => {
                    self.input.extend(&chunk[..n]);
                    // Only the message that was begun then has bytes of an earlier read.
                    let earlier = if self.messages == before { earlier } else { 0 };
                    self.accept_messages(earlier, messages, check)?;
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => return Ok(()),
                Err(error) if error.kind() == ErrorKind::Interrupted => continue,
                Err(error) => return Err(CloseReason::Broken(error)),
            }
            reads += 1;
        }
        Ok(())
    }

    /// Reads what has come and throws it away.
    pub fn discard_input(&mut self) -> Result<(), CloseReason> {
        let mut chunk = [0; READ_BUFFER_BYTES];
        for _ in 0..MAX_READS_PER_ITERATION {
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

    /// Whether one and the same message has been half read for so many seconds, as far as the looks at
    /// it tell. Guards against a length that is too long: whatever comes later is taken for its rest.
    pub fn stalled(&mut self, now: f64, limit: f64) -> bool {
        let since = self.half.filter(|half| half.0 == self.messages).map_or(now, |half| half.1);
        self.half = (!self.input.is_empty()).then_some((self.messages, since));
        self.half.is_some() && now - since >= limit
    }

    /// Whether a part of a message has been read, and not its end.
    pub fn has_partial_message(&self) -> bool {
        !self.input.is_empty()
    }

    /// Takes the messages that are whole. The first `earlier` bytes of the input came in an earlier read.
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
        // Many idle connections would each hold on to the room of their largest message.
        if self.input.is_empty() {
            self.input = Vec::new();
        }
        end
    }

    /// Puts a message in line and writes what can be written. Returns the position at which the
    /// message ends, to compare with [`Connection::written`].
    pub fn send(&mut self, message: &M) -> Result<u64, CloseReason> {
        let end = self.queue(message);
        self.write_queued()?;
        Ok(end)
    }

    /// Puts a message in line, to be written together with others by [`Connection::write_queued`]. Returns the position at
    /// which it ends.
    pub fn queue(&mut self, message: &M) -> u64 {
        let before = self.output.len();
        message.encode(&mut self.output);
        self.queued += (self.output.len() - before) as u64;
        self.queued
    }

    /// Writes what can be written; an error where too much waits then.
    pub fn write_queued(&mut self) -> Result<(), CloseReason> {
        self.flush()?;
        match self.output.len() {
            n if n > self.max_unwritten_bytes => Err(CloseReason::WriteBacklog),
            _ => Ok(()),
        }
    }

    /// Puts a message in line if its first byte can be written now, and takes it back otherwise. Returns as
    /// [`Connection::send`] does; none where it was taken back. What has not begun to leave can still be called off.
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

    /// Writes what can be written.
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

    /// Bytes put in line since the start.
    pub fn queued(&self) -> u64 {
        self.queued
    }

    /// Bytes written since the start.
    pub fn written(&self) -> u64 {
        self.written
    }

    /// Whether bytes wait to be written.
    pub fn blocked(&self) -> bool {
        !self.output.is_empty()
    }
}

#[cfg(test)]
mod tests;
