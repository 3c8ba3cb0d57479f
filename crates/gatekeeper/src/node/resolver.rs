//! The resolver: the list of session servers, polled over DNS (RFC 1035) on UDP.

mod pending;
mod position;
mod unusable;

use std::io::{self, ErrorKind};
use std::net::{SocketAddr, UdpSocket};

use hickory_proto::op::{Message, MessageType, OpCode, Query, ResponseCode};
use hickory_proto::rr::{Name, RecordType};
use hollypaddle_platform::list::Snapshot;

use self::pending::PendingQueries;
use self::position::{ListPosition, Verdict};
use self::unusable::{AnswerStats, Unusable};

/// The DNS name whose SRV records are the server list.
const LIST_NAME: &str = "_work._tcp.fleet.local.";
/// Size of the receive buffer; answers are smaller, with room to spare.
const MAX_ANSWER_BYTES: usize = 16 * 1024;
/// Maximum number of answers that are read at once. The others follow in the next iteration of the event loop.
const MAX_ANSWERS_READ_AT_ONCE: usize = 16;

/// A DNS client that polls the server list.
pub struct Resolver {
    address: SocketAddr,
    socket: UdpSocket,
    name: Name,
    /// Names of the districts, for parsing the list.
    districts: Vec<String>,
    pending_queries: PendingQueries,
    position: ListPosition,
    /// See [`Resolver::take_confirmed`].
    confirmed_at: Option<f64>,
    answer_stats: AnswerStats,
    /// Number of answers that were passed over; see [`Resolver::answers_passed_over`].
    passed_over: u64,
}

impl Resolver {
    /// Creates a client for the DNS server at this address. The lists up to `position` count as known.
    pub fn new(
        address: SocketAddr,
        position: u64,
        seed: u64,
        districts: Vec<String>,
    ) -> io::Result<Resolver> {
        Ok(Resolver {
            address,
            socket: open_socket(address)?,
            name: Name::from_ascii(LIST_NAME).map_err(io::Error::other)?,
            districts,
            pending_queries: PendingQueries::new(seed as u16),
            position: ListPosition::new(position),
            confirmed_at: None,
            answer_stats: AnswerStats::default(),
            passed_over: 0,
        })
    }

    /// The address of the DNS server.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Forgets the pending queries, so that late answers to them, which may be outdated, are ignored.
    pub fn forget_queries(&mut self) {
        self.pending_queries.clear();
    }

    /// Returns the time as of which the current list was confirmed since the previous call, in Unix seconds, if it was: the
    /// resolver had no newer list when it received the query.
    pub fn take_confirmed(&mut self) -> Option<f64> {
        self.confirmed_at.take()
    }

    /// Sends further queries to another address, on another socket. Pending queries on the old socket are forgotten. The position
    /// is kept, as event numbers continue. Returns the old socket, so that the poller can stop watching it.
    pub fn switch_to(&mut self, address: SocketAddr, socket: UdpSocket) -> UdpSocket {
        self.pending_queries.clear();
        self.address = address;
        std::mem::replace(&mut self.socket, socket)
    }

    /// Advances to the position of a list from the configuration. Returns whether that list is newer than the current one.
    pub fn accept(&mut self, position: u64) -> bool {
        self.position.advance_to_configured(position)
    }

    /// The socket, to be watched for answers.
    pub fn socket(&self) -> &UdpSocket {
        &self.socket
    }

    /// Queries the list. A query that cannot be sent is treated like one that was lost.
    pub fn send_query(&mut self, now: f64) {
        let sent = self.pending_queries.add(now);
        let mut query = Message::new(sent.id, MessageType::Query, OpCode::Query);
        query.add_query(Query::query(self.name.clone(), RecordType::SRV));
        match query.to_vec().map(|bytes| self.socket.send(&bytes)) {
            Ok(Ok(_)) => {}
            Ok(Err(error)) => log::debug!(error:%; "resolver-unreachable"),
            Err(error) => log::debug!(error:%; "resolver-unreachable"),
        }
    }

    /// Reads the answers that have arrived. Returns the latest list that is to be applied, if any.
    pub fn read_answers(&mut self, now: f64) -> Option<Snapshot> {
        let mut latest = None;
        let mut data = vec![0; MAX_ANSWER_BYTES];
        for _ in 0..MAX_ANSWERS_READ_AT_ONCE {
            match self.socket.recv(&mut data) {
                Ok(n) => latest = self.handle_answer(now, &data[..n]).or(latest),
                Err(error) if error.kind() == ErrorKind::WouldBlock => break,
                // A refused port is reported as an error of the next call: the resolver is down for now.
                Err(error) => log::debug!(error:%; "resolver-unreachable"),
            }
        }
        latest
    }

    fn handle_answer(&mut self, now: f64, data: &[u8]) -> Option<Snapshot> {
        let id = data.first_chunk().map(|id| u16::from_be_bytes(*id));
        // Ignores answers that come too late or twice, and answers to queries of others.
        let Some(query) = id.and_then(|id| self.pending_queries.find(now, id)) else {
            self.passed_over += 1;
            log::debug!(id; "resolver-answer-passed-over");
            return None;
        };
        let list = match self.parse_list(data) {
            Ok(list) => list,
            Err(error) => {
                self.handle_unusable(&error);
                return None;
            }
        };
        self.pending_queries.remove(query.number);
        if self.answer_stats.record_usable() {
            log::info!(position = list.position, servers = list.servers.len(); "list-taken-again");
        }
        let verdict = self.position.judge(list.position, query.number, self.pending_queries.last_number());
        if verdict == Verdict::PassOver {
            self.passed_over += 1;
            log::debug!(id, position = list.position, held = self.position.get(); "resolver-answer-passed-over");
            return None;
        }
        let confirmed_at = self.confirmed_at.unwrap_or(query.sent_at).max(query.sent_at);
        self.confirmed_at = Some(confirmed_at);
        (verdict == Verdict::Apply).then_some(list)
    }

    /// Parses the list in an answer. A server missing from the list counts as gone, so an incomplete list is an error.
    fn parse_list(&self, data: &[u8]) -> Result<Snapshot, Unusable> {
        let answer = Message::from_vec(data)?;
        let head = &answer.metadata;
        if head.truncation {
            return Err(Unusable::Truncated);
        }
        if head.message_type != MessageType::Response {
            return Err(Unusable::Incomplete);
        }
        if head.response_code != ResponseCode::NoError {
            return Err(Unusable::Refused(head.response_code));
        }
        Snapshot::from_answer(&answer, &self.districts).ok_or(Unusable::Incomplete)
    }

    fn handle_unusable(&mut self, error: &Unusable) {
        log::debug!(error:%; "resolver-answer-unusable");
        if self.answer_stats.record_unusable() {
            log::warn!(held = self.position.get(), error:%; "list-not-taken");
        }
    }

    /// Number of unusable answers since the start.
    pub fn unusable_answers(&self) -> u64 {
        self.answer_stats.unusable
    }

    /// Number of answers passed over since the start: to queries that were not awaited any more, or with another list than the
    /// current one that was not applied.
    pub fn answers_passed_over(&self) -> u64 {
        self.passed_over
    }
}

/// Opens a non-blocking socket connected to a resolver.
pub fn open_socket(address: SocketAddr) -> io::Result<UdpSocket> {
    let any = if address.is_ipv4() { "0.0.0.0:0" } else { "[::]:0" };
    let socket = UdpSocket::bind(any)?;
    socket.connect(address)?;
    socket.set_nonblocking(true)?;
    Ok(socket)
}

#[cfg(test)]
mod tests;
