//! The simulator's binary protocol: frames of records come in, replies of actions go out. Integers and floating-point
//! numbers are big-endian, without padding.

use std::fmt;
use std::io::{self, Read};

use hollypaddle_policy::{Action, Cause, Event, ListKind, Outcome, PoolEntry, PoolId, Readiness, Report};

/// Length in bytes of the clock at the start of a frame's body.
pub const CLOCK_BYTES: usize = 8;

/// Why a frame could not be read or answered.
#[derive(Debug)]
pub enum WireError {
    /// The input could not be read, or the reply not written.
    Io(io::Error),
    /// The input ended inside a frame.
    TruncatedFrame,
    /// A frame of this many bytes, which is shorter than its clock.
    ShortFrame(usize),
    /// A clock that is infinite or not a number.
    BadClock,
    /// The frame ended inside the record with this code, which begins `at` this byte after the clock.
    TruncatedRecord { at: usize, code: u8 },
    /// A record with an unknown event code, `at` this byte after the clock.
    UnknownEvent { at: usize, code: u8 },
    /// A field of a record with an undefined value; `at` and `code` are those of the record.
    BadValue { at: usize, code: u8, field: &'static str, value: u64 },
    /// The number of a list that was not registered.
    UnknownList(u8),
}

impl fmt::Display for WireError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            WireError::Io(error) => write!(f, "wire: {error}"),
            WireError::TruncatedFrame => write!(f, "wire: input ended inside a frame"),
            WireError::ShortFrame(n) => write!(f, "wire: frame of {n} bytes has no room for its clock"),
            WireError::BadClock => write!(f, "wire: the clock at byte 0 of a frame is not a finite number"),
            WireError::TruncatedRecord { at, code } => {
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
    let mut header = [0u8; 4];
    let mut received = 0;
    while received < header.len() {
        match input.read(&mut header[received..]) {
            Ok(0) if received == 0 => return Ok(None),
            Ok(0) => return Err(WireError::TruncatedFrame),
            Ok(n) => received += n,
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(error) => return Err(error.into()),
        }
    }
    let length = u32::from_be_bytes(header) as usize;
    body.clear();
    // The buffer grows with the bytes that arrive, so a wrong length does not allocate memory for all of it.
    let read = input.by_ref().take(length as u64).read_to_end(body)?;
    if read < length {
        return Err(WireError::TruncatedFrame);
    }
    match body.first_chunk::<CLOCK_BYTES>() {
        None => Err(WireError::ShortFrame(length)),
        Some(bytes) => match f64::from_be_bytes(*bytes) {
            now if now.is_finite() => Ok(Some(now)),
            _ => Err(WireError::BadClock),
        },
    }
}

/// An event without its load report, which cannot be decoded before the instance's settings give its layout.
#[derive(Debug, PartialEq)]
pub enum EventWithoutReport {
    /// The end of an attempt.
    Ended(Event),
    /// A load report of this pool.
    Load(PoolId),
}

impl EventWithoutReport {
    /// Adds the load report and returns the event.
    pub fn with_report(self, new: Report) -> Event {
        match self {
            EventWithoutReport::Load(pool) => Event::Load { pool, report: new },
            EventWithoutReport::Ended(mut event) => {
                if let Event::Ended { report, .. } = &mut event {
                    *report = new;
                }
                event
            }
        }
    }
}

/// One record of a frame. `instance` is the number of the controller that it concerns.
#[derive(Debug, PartialEq)]
pub enum Record<'a> {
    /// An instance starts, with the seed of its random numbers and the JSON text of its settings.
    Create { instance: u16, seed: u64, settings: &'a [u8] },
    /// An instance was killed.
    Stop { instance: u16 },
    /// A list of pools is registered under a number, for later `List` records.
    Register { number: u8, entries: Vec<PoolEntry> },
    /// The registered list with this number arrives at an instance.
    List { instance: u16, kind: ListKind, number: u8 },
    /// An event for an instance.
    Event { instance: u16, event: Event },
    /// An event for an instance, with the values of its load report.
    Report { instance: u16, event: EventWithoutReport, values: Vec<f32> },
}

/// Reads the records of one frame.
pub struct Reader<'a> {
    /// The records.
    data: &'a [u8],
    /// Position of the next byte to read.
    position: usize,
    /// Position of the current record.
    start: usize,
    /// Event code of the current record.
    code: u8,
}

impl<'a> Reader<'a> {
    /// A reader over the records that follow the clock.
    pub fn new(data: &'a [u8]) -> Self {
        Reader { data, position: 0, start: 0, code: 0 }
    }

    /// The next `n` bytes.
    fn bytes(&mut self, n: usize) -> Result<&'a [u8], WireError> {
        let truncated = WireError::TruncatedRecord { at: self.start, code: self.code };
        let Some(slice) = self.position.checked_add(n).and_then(|end| self.data.get(self.position..end))
        else {
            return Err(truncated);
        };
        self.position += n;
        Ok(slice)
    }

    /// The next `N` bytes as an array.
    fn array<const N: usize>(&mut self) -> Result<[u8; N], WireError> {
        let slice = self.bytes(N)?;
        slice.try_into().map_err(|_| WireError::TruncatedRecord { at: self.start, code: self.code })
    }

    /// The next `u8`.
    fn u8(&mut self) -> Result<u8, WireError> {
        Ok(u8::from_be_bytes(self.array()?))
    }
    /// The next `u16`.
    fn u16(&mut self) -> Result<u16, WireError> {
        Ok(u16::from_be_bytes(self.array()?))
    }
    /// The next `u32`.
    fn u32(&mut self) -> Result<u32, WireError> {
        Ok(u32::from_be_bytes(self.array()?))
    }
    /// The next `u64`.
    fn u64(&mut self) -> Result<u64, WireError> {
        Ok(u64::from_be_bytes(self.array()?))
    }
    /// The next `f32`.
    fn f32(&mut self) -> Result<f32, WireError> {
        Ok(f32::from_be_bytes(self.array()?))
    }
    /// The next `f64`.
    fn f64(&mut self) -> Result<f64, WireError> {
        Ok(f64::from_be_bytes(self.array()?))
    }

    /// A server's address: four bytes of IPv4 address and two bytes of port.
    fn pool(&mut self) -> Result<PoolId, WireError> {
        let address = self.u32()?;
        let port = self.u16()?;
        Ok(PoolId(u64::from(address) << 16 | u64::from(port)))
    }

    /// The values of a load report, after a byte with their number.
    fn report_values(&mut self) -> Result<Vec<f32>, WireError> {
        let n = self.u8()?;
        (0..n).map(|_| self.f32()).collect()
    }

    /// An error for an undefined value of a field of the current record.
    fn undefined(&self, field: &'static str, value: u64) -> WireError {
        WireError::BadValue { at: self.start, code: self.code, field, value }
    }

    /// An entry of a list of pools.
    fn entry(&mut self) -> Result<PoolEntry, WireError> {
        let pool = self.pool()?;
        let district = Some(self.u16()?);
        let _kind = self.u16()?;
        let number = u32::from(self.u16()?);
        let readiness = match self.u8()? {
            0 => Readiness::Gone,
            1 => Readiness::Ready,
            2 => Readiness::Draining,
            other => return Err(self.undefined("readiness", u64::from(other))),
        };
        let _rating = self.f32()?;
        let ready_at = self.f64()?;
        Ok(PoolEntry { pool, number, readiness, ready_at, district })
    }

    /// Reads the next record; `None` at the end of the frame.
    pub fn record(&mut self) -> Result<Option<Record<'a>>, WireError> {
        if self.position == self.data.len() {
            return Ok(None);
        }
        self.start = self.position;
        self.code = 0;
        self.code = self.u8()?;
        let record = match self.code {
            1 => {
                let instance = self.u16()?;
                let call = self.u32()?;
                let cause_code = self.u32()?;
                let pool = self.pool()?;
                let _delay = self.f64()?;
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
                    other => return Err(self.undefined("stateCode", u64::from(other))),
                };
                let cause = match cause_code % 16 {
                    1 => Cause::NoLine,
                    2 => Cause::Crankback,
                    3 => Cause::ProcessorFull,
                    4 => Cause::NumberBusy,
                    _ => Cause::Unknown,
                };
                let retry_after = (cause == Cause::ProcessorFull && cause_code >= 16)
                    .then(|| f64::from(cause_code / 16) / 1000.0);
                let values = self.report_values()?;
                let report = Report::default();
                let event =
                    Event::Ended { call, pool, attempt, complete, outcome, cause, retry_after, report };
                Record::Report { instance, event: EventWithoutReport::Ended(event), values }
            }
            2 => {
                let instance = self.u16()?;
                let seed = self.u64()?;
                let n = self.u32()? as usize;
                Record::Create { instance, seed, settings: self.bytes(n)? }
            }
            3 => {
                let instance = self.u16()?;
                let from = self.u32()?;
                let n = usize::from(self.u16()?);
                let data = self.bytes(n)?.to_vec();
                Record::Event { instance, event: Event::Peer { from, data } }
            }
            4 => {
                let instance = self.u16()?;
                let kind = match self.u8()? {
                    0 => ListKind::Changes,
                    1 => ListKind::Full,
                    2 => ListKind::Cached,
                    3 => ListKind::Failed,
                    other => return Err(self.undefined("mode", u64::from(other))),
                };
                let _version = self.u64()?;
                Record::List { instance, kind, number: self.u8()? }
            }
            5 => {
                let instance = self.u16()?;
                let call = self.u32()?;
                let pool = self.pool()?;
                let delay = self.f64()?;
                let attempt = self.u8()?;
                Record::Event { instance, event: Event::Established { call, pool, delay, attempt } }
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
                let instance = self.u16()?;
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
                Record::Event { instance, event }
            }
            8 => {
                let instance = self.u16()?;
                Record::Event { instance, event: Event::Abandoned { call: self.u32()? } }
            }
            9 => Record::Stop { instance: self.u16()? },
            10 => {
                let instance = self.u16()?;
                let pool = self.pool()?;
                let _status = self.u16()?;
                let _delay = self.f64()?;
                let values = self.report_values()?;
                Record::Report { instance, event: EventWithoutReport::Load(pool), values }
            }
            11 => {
                let instance = self.u16()?;
                Record::Event { instance, event: Event::Timer { token: self.u32()? } }
            }
            code => return Err(WireError::UnknownEvent { at: self.start, code }),
        };
        Ok(Some(record))
    }
}

/// Collects the actions of one reply.
#[derive(Default)]
pub struct Reply {
    /// Header and actions. The header is filled in at the end.
    buffer: Vec<u8>,
    /// Number of actions.
    count: u32,
}

/// Length in bytes of a reply's header: the number of actions and their total length, four bytes each.
const REPLY_HEADER_BYTES: usize = 8;

impl Reply {
    /// Removes all actions.
    pub fn clear(&mut self) {
        self.buffer.clear();
        self.buffer.resize(REPLY_HEADER_BYTES, 0);
        self.count = 0;
    }

    /// Begins an action with its code and its instance.
    fn start_action(&mut self, code: u8, instance: u16) {
        self.buffer.push(code);
        self.buffer.extend(instance.to_be_bytes());
        self.count += 1;
    }

    /// Adds a text after its length in two bytes; bytes beyond 65535 are left out.
    fn text(&mut self, text: &str) {
        let bytes = &text.as_bytes()[..text.len().min(usize::from(u16::MAX))];
        self.buffer.extend((bytes.len() as u16).to_be_bytes());
        self.buffer.extend(bytes);
    }

    /// Adds a server's address as it was read.
    fn pool(&mut self, pool: PoolId) {
        self.buffer.extend(&pool.0.to_be_bytes()[2..]);
    }

    /// Adds the report that an instance cannot run.
    pub fn crash(&mut self, instance: u16, reason: &str) {
        self.start_action(10, instance);
        self.text(reason);
    }

    /// Adds an action of an instance.
    pub fn action(&mut self, instance: u16, action: &Action) {
        match action {
            Action::Send { call, pool, limit } => {
                self.start_action(1, instance);
                self.buffer.extend(call.to_be_bytes());
                self.pool(*pool);
                self.buffer.extend(limit.to_be_bytes());
            }
            Action::Refuse { call, retry_after } => {
                self.start_action(2, instance);
                self.buffer.extend(call.to_be_bytes());
                self.buffer.extend(retry_after.to_be_bytes());
            }
            Action::Fail { call } => {
                self.start_action(3, instance);
                self.buffer.extend(call.to_be_bytes());
            }
            Action::Cancel { call, attempt } => {
                self.start_action(4, instance);
                self.buffer.extend(call.to_be_bytes());
                self.buffer.push(*attempt);
            }
            Action::Timer { at, token } => {
                self.start_action(5, instance);
                self.buffer.extend(at.to_be_bytes());
                self.buffer.extend(token.to_be_bytes());
            }
            Action::Log(text) => {
                self.start_action(9, instance);
                self.text(text);
            }
            Action::Subscribe => {
                self.start_action(11, instance);
                self.buffer.push(1);
            }
        }
    }

    /// Fills in the header and returns the reply.
    pub fn finish(&mut self) -> &[u8] {
        let length = (self.buffer.len() - REPLY_HEADER_BYTES) as u32;
        self.buffer[..4].copy_from_slice(&self.count.to_be_bytes());
        self.buffer[4..REPLY_HEADER_BYTES].copy_from_slice(&length.to_be_bytes());
        &self.buffer
    }
}
