//! The binary wire: frames in, replies out. Big-endian, fields packed.

use std::fmt;
use std::io::{self, Read};

use hollypaddle_policy::{Action, Cause, Event, ListKind, Outcome, PoolEntry, PoolId, Readiness, Report};

/// Bytes of the clock at the head of a frame's body.
pub const CLOCK_BYTES: usize = 8;

/// What can be wrong with the input.
#[derive(Debug)]
pub enum WireError {
    /// The input could not be read, or the reply not written.
    Io(io::Error),
    /// The input ended inside a frame.
    CutFrame,
    /// A frame too short for its clock.
    ShortFrame(usize),
    /// A clock that is no number.
    BadClock,
    /// A record ended before its fields did.
    Truncated { at: usize, code: u8 },
    /// An event code that is not known.
    UnknownEvent { at: usize, code: u8 },
    /// A field whose value is not defined.
    BadValue { at: usize, code: u8, field: &'static str, value: u64 },
    /// A list that was never registered.
    UnknownList(u8),
}

impl fmt::Display for WireError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            WireError::Io(error) => write!(f, "wire: {error}"),
            WireError::CutFrame => write!(f, "wire: input ended inside a frame"),
            WireError::ShortFrame(n) => write!(f, "wire: frame of {n} bytes has no room for its clock"),
            WireError::BadClock => write!(f, "wire: the clock at byte 0 of a frame is no number"),
            WireError::Truncated { at, code } => {
                write!(f, "wire: record with code {code} at byte {at} is cut short")
            }
            WireError::UnknownEvent { at, code } => {
                write!(f, "wire: unknown event code {code} at byte {at}")
            }
            WireError::BadValue { at, code, field, value } => {
                write!(f, "wire: {field} {value} is not defined, in the record with code {code} at byte {at}")
            }
            WireError::UnknownList(number) => write!(f, "wire: list {number} was never registered"),
        }
    }
}

impl std::error::Error for WireError {}

impl From<io::Error> for WireError {
    fn from(error: io::Error) -> Self {
        WireError::Io(error)
    }
}

/// Reads one frame's body (clock and records) and returns its clock; `None` at the end of input.
pub fn read_frame(input: &mut impl Read, body: &mut Vec<u8>) -> Result<Option<f64>, WireError> {
    let mut head = [0u8; 4];
    let mut got = 0;
    while got < head.len() {
        match input.read(&mut head[got..]) {
            Ok(0) if got == 0 => return Ok(None),
            Ok(0) => return Err(WireError::CutFrame),
            Ok(n) => got += n,
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(error) => return Err(error.into()),
        }
    }
    let length = u32::from_be_bytes(head) as usize;
    body.clear();
    // `take` grows the buffer with what arrives, so a false length cannot ask for memory at once.
    let read = input.by_ref().take(length as u64).read_to_end(body)?;
    if read < length {
        return Err(WireError::CutFrame);
    }
    match body.first_chunk::<CLOCK_BYTES>() {
        None => Err(WireError::ShortFrame(length)),
        Some(bytes) => match f64::from_be_bytes(*bytes) {
            now if now.is_finite() => Ok(Some(now)),
            _ => Err(WireError::BadClock),
        },
    }
}

/// An event that still lacks the report, whose layout the instance's settings give.
#[derive(Debug, PartialEq)]
pub enum NeedsReport {
    /// An attempt's end.
    Ended(Event),
    /// News of a pool.
    Load(PoolId),
}

impl NeedsReport {
    /// The whole event.
    pub fn with(self, figures: Report) -> Event {
        match self {
            NeedsReport::Load(pool) => Event::Load { pool, report: figures },
            NeedsReport::Ended(mut event) => {
                if let Event::Ended { report, .. } = &mut event {
                    *report = figures;
                }
                event
            }
        }
    }
}

/// One record of a batch.
#[derive(Debug, PartialEq)]
pub enum Record<'a> {
    /// An instance starts.
    Create { who: u16, seed: u64, settings: &'a [u8] },
    /// An instance was killed.
    Stop { who: u16 },
    /// A numbered list.
    Register { number: u8, entries: Vec<PoolEntry> },
    /// A list reaches an instance.
    List { who: u16, kind: ListKind, number: u8 },
    /// An event for an instance.
    Event { who: u16, event: Event },
    /// An event with a load report.
    Figures { who: u16, make: NeedsReport, values: Vec<f32> },
}

/// Reads the records of one batch.
pub struct Reader<'a> {
    data: &'a [u8],
    at: usize,
    start: usize,
    code: u8,
}

impl<'a> Reader<'a> {
    /// A reader over the records that follow the clock.
    pub fn new(data: &'a [u8]) -> Self {
        Reader { data, at: 0, start: 0, code: 0 }
    }

    fn bytes(&mut self, n: usize) -> Result<&'a [u8], WireError> {
        let cut = WireError::Truncated { at: self.start, code: self.code };
        let Some(slice) = self.at.checked_add(n).and_then(|end| self.data.get(self.at..end)) else {
            return Err(cut);
        };
        self.at += n;
        Ok(slice)
    }

    fn array<const N: usize>(&mut self) -> Result<[u8; N], WireError> {
        let slice = self.bytes(N)?;
        slice.try_into().map_err(|_| WireError::Truncated { at: self.start, code: self.code })
    }

    fn u8(&mut self) -> Result<u8, WireError> {
        Ok(u8::from_be_bytes(self.array()?))
    }
    fn u16(&mut self) -> Result<u16, WireError> {
        Ok(u16::from_be_bytes(self.array()?))
    }
    fn u32(&mut self) -> Result<u32, WireError> {
        Ok(u32::from_be_bytes(self.array()?))
    }
    fn u64(&mut self) -> Result<u64, WireError> {
        Ok(u64::from_be_bytes(self.array()?))
    }
    fn f32(&mut self) -> Result<f32, WireError> {
        Ok(f32::from_be_bytes(self.array()?))
    }
    fn f64(&mut self) -> Result<f64, WireError> {
        Ok(f64::from_be_bytes(self.array()?))
    }

    fn pool(&mut self) -> Result<PoolId, WireError> {
        let address = self.u32()?;
        let port = self.u16()?;
        Ok(PoolId(u64::from(address) << 16 | u64::from(port)))
    }

    fn figures(&mut self) -> Result<Vec<f32>, WireError> {
        let n = self.u8()?;
        (0..n).map(|_| self.f32()).collect()
    }

    fn bad(&self, field: &'static str, value: u64) -> WireError {
        WireError::BadValue { at: self.start, code: self.code, field, value }
    }

    fn entry(&mut self) -> Result<PoolEntry, WireError> {
        let pool = self.pool()?;
        let district = Some(self.u16()?);
        let _kind = self.u16()?;
        let number = u32::from(self.u16()?);
        let readiness = match self.u8()? {
            0 => Readiness::Gone,
            1 => Readiness::Ready,
            2 => Readiness::Draining,
            other => return Err(self.bad("readiness", u64::from(other))),
        };
        let _rating = self.f32()?;
        let ready_at = self.f64()?;
        Ok(PoolEntry { pool, number, readiness, ready_at, district })
    }

    /// The next record; `None` at the end of the batch.
    pub fn record(&mut self) -> Result<Option<Record<'a>>, WireError> {
        if self.at == self.data.len() {
            return Ok(None);
        }
        self.start = self.at;
        self.code = 0;
        self.code = self.u8()?;
        let record = match self.code {
            1 => {
                let who = self.u16()?;
                let call = self.u32()?;
                let why = self.u32()?;
                let pool = self.pool()?;
                let _lag = self.f64()?;
                let attempt = self.u8()?;
                let complete = self.u8()? != 0;
                let outcome = match self.u16()? {
                    0 => Outcome::Done,
                    255 => Outcome::Error,
                    254 => Outcome::Full,
                    253 => Outcome::Timeout,
                    252 => Outcome::ConnectFailed,
                    251 => Outcome::Reset,
                    250 => Outcome::Cancelled,
                    249 => Outcome::NotSent,
                    other => return Err(self.bad("stateCode", u64::from(other))),
                };
                let cause = match why % 16 {
                    1 => Cause::NoLine,
                    2 => Cause::Crankback,
                    3 => Cause::ProcessorFull,
                    4 => Cause::NumberBusy,
                    _ => Cause::Unknown,
                };
                let retry_after =
                    (cause == Cause::ProcessorFull && why >= 16).then(|| f64::from(why / 16) / 1000.0);
                let values = self.figures()?;
                let report = Report::default();
                let event =
                    Event::Ended { call, pool, attempt, complete, outcome, cause, retry_after, report };
                Record::Figures { who, make: NeedsReport::Ended(event), values }
            }
            2 => {
                let who = self.u16()?;
                let seed = self.u64()?;
                let n = self.u32()? as usize;
                Record::Create { who, seed, settings: self.bytes(n)? }
            }
            3 => {
                let who = self.u16()?;
                let from = self.u32()?;
                let n = usize::from(self.u16()?);
                let data = self.bytes(n)?.to_vec();
                Record::Event { who, event: Event::Peer { from, data } }
            }
            4 => {
                let who = self.u16()?;
                let kind = match self.u8()? {
                    0 => ListKind::Changes,
                    1 => ListKind::Full,
                    2 => ListKind::Cached,
                    3 => ListKind::Failed,
                    other => return Err(self.bad("mode", u64::from(other))),
                };
                let _version = self.u64()?;
                Record::List { who, kind, number: self.u8()? }
            }
            5 => {
                let who = self.u16()?;
                let call = self.u32()?;
                let pool = self.pool()?;
                let delay = self.f64()?;
                let attempt = self.u8()?;
                Record::Event { who, event: Event::Established { call, pool, delay, attempt } }
            }
            6 => {
                let number = self.u8()?;
                let n = self.u32()?;
                let mut entries = Vec::new();
                for _ in 0..n {
                    entries.push(self.entry()?);
                }
                Record::Register { number, entries }
            }
            7 => {
                let who = self.u16()?;
                let call = self.u32()?;
                let class = usize::from(self.u16()?);
                let time_left = self.f64()?;
                let tenant = self.u32()? as usize;
                let _cost = self.f64()?;
                let dialled = self.u64()?;
                let _width = self.f32()?;
                let first_choice = self.f32()?.max(0.0) as u32;
                let _bits = self.u16()?;
                let _via = self.f32()?;
                let event = Event::Call { call, class, tenant, time_left, dialled, first_choice };
                Record::Event { who, event }
            }
            8 => {
                let who = self.u16()?;
                Record::Event { who, event: Event::Abandoned { call: self.u32()? } }
            }
            9 => Record::Stop { who: self.u16()? },
            10 => {
                let who = self.u16()?;
                let pool = self.pool()?;
                let _status = self.u16()?;
                let _lag = self.f64()?;
                let values = self.figures()?;
                Record::Figures { who, make: NeedsReport::Load(pool), values }
            }
            11 => {
                let who = self.u16()?;
                Record::Event { who, event: Event::Timer { token: self.u32()? } }
            }
            code => return Err(WireError::UnknownEvent { at: self.start, code }),
        };
        Ok(Some(record))
    }
}

/// Collects the actions of one reply.
#[derive(Default)]
pub struct Reply {
    buffer: Vec<u8>,
    count: u32,
}

const REPLY_HEAD: usize = 8;

impl Reply {
    /// Starts afresh.
    pub fn clear(&mut self) {
        self.buffer.clear();
        self.buffer.resize(REPLY_HEAD, 0);
        self.count = 0;
    }

    fn start(&mut self, code: u8, who: u16) {
        self.buffer.push(code);
        self.buffer.extend(who.to_be_bytes());
        self.count += 1;
    }

    fn text(&mut self, text: &str) {
        let bytes = &text.as_bytes()[..text.len().min(usize::from(u16::MAX))];
        self.buffer.extend((bytes.len() as u16).to_be_bytes());
        self.buffer.extend(bytes);
    }

    fn pool(&mut self, pool: PoolId) {
        self.buffer.extend(&pool.0.to_be_bytes()[2..]);
    }

    /// Declares that an instance cannot run.
    pub fn crash(&mut self, who: u16, reason: &str) {
        self.start(10, who);
        self.text(reason);
    }

    /// Adds one action.
    pub fn action(&mut self, who: u16, action: &Action) {
        match action {
            Action::Send { call, pool, limit } => {
                self.start(1, who);
                self.buffer.extend(call.to_be_bytes());
                self.pool(*pool);
                self.buffer.extend(limit.to_be_bytes());
            }
            Action::Refuse { call, retry_after } => {
                self.start(2, who);
                self.buffer.extend(call.to_be_bytes());
                self.buffer.extend(retry_after.to_be_bytes());
            }
            Action::Fail { call } => {
                self.start(3, who);
                self.buffer.extend(call.to_be_bytes());
            }
            Action::Cancel { call, attempt } => {
                self.start(4, who);
                self.buffer.extend(call.to_be_bytes());
                self.buffer.push(*attempt);
            }
            Action::Timer { at, token } => {
                self.start(5, who);
                self.buffer.extend(at.to_be_bytes());
                self.buffer.extend(token.to_be_bytes());
            }
            Action::Log(text) => {
                self.start(9, who);
                self.text(text);
            }
            Action::Subscribe => {
                self.start(11, who);
                self.buffer.push(1);
            }
        }
    }

    /// The finished reply.
    pub fn finish(&mut self) -> &[u8] {
        let length = (self.buffer.len() - REPLY_HEAD) as u32;
        self.buffer[..4].copy_from_slice(&self.count.to_be_bytes());
        self.buffer[4..REPLY_HEAD].copy_from_slice(&length.to_be_bytes());
        &self.buffer
    }
}
