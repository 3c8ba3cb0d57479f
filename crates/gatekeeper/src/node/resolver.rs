//! The resolver: the list of session servers, polled over DNS (RFC 1035) on UDP.

mod unusable;

use std::cmp::Ordering;
use std::collections::VecDeque;
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, UdpSocket};

use hickory_proto::op::{Message, MessageType, OpCode, Query, ResponseCode};
use hickory_proto::rr::{Name, RecordType};
use hollypaddle_platform::list::Snapshot;

use self::unusable::{AnswerStats, Unusable};

/// The DNS name whose SRV records are the server list.
const LIST_NAME: &str = "_work._tcp.fleet.local.";
/// Size of the receive buffer; answers are smaller, with room to spare.
const MAX_ANSWER_BYTES: usize = 16 * 1024;
/// Number of queries whose answers are still accepted. A lost answer costs one polling interval and no more, as the next
/// query does not wait for it.
const MAX_PENDING_QUERIES: usize = 8;

/// A DNS client that polls the server list.
pub struct Resolver {
    socket: UdpSocket,
    name: Name,
    /// Names of the districts, for parsing the list.
    districts: Vec<String>,
    /// Ids of the latest queries, oldest first.
    pending_queries: VecDeque<u16>,
    last_query_id: u16,
    /// Position of the current list: the number of the last event that it contains.
    position: u64,
    /// See [`Resolver::take_confirmed`].
    confirmed: bool,
    /// The current list came in a single answer, and no other answer has confirmed it yet.
    unverified: bool,
    /// Position of an older list received since then, and the id of the query that it answered.
    older_candidate: Option<(u64, u16)>,
    answer_stats: AnswerStats,
}

impl Resolver {
    /// Creates a client for the DNS server at this address. The lists up to `position` count as known.
    pub fn new(
        address: SocketAddr,
        position: u64,
        seed: u64,
        districts: Vec<String>,
    ) -> io::Result<Resolver> {
        let socket = open_socket(address)?;
        let name = Name::from_ascii(LIST_NAME).map_err(io::Error::other)?;
        let (pending_queries, confirmed) = (VecDeque::new(), false);
        let (unverified, older_candidate) = (false, None);
        Ok(Resolver {
            socket,
            name,
            districts,
            pending_queries,
            last_query_id: seed as u16,
            position,
            confirmed,
            unverified,
            older_candidate,
            answer_stats: AnswerStats::default(),
        })
    }

    /// Forgets the pending queries, so that late answers to them, which may be outdated, are ignored.
    pub fn forget_queries(&mut self) {
        self.pending_queries.clear();
    }

    /// Returns whether a complete list no older than the current one was received since the previous call.
    pub fn take_confirmed(&mut self) -> bool {
        std::mem::take(&mut self.confirmed)
    }

    /// Sends further queries on another socket. Pending queries on the old socket are forgotten. The position is kept, as
    /// event numbers continue. Returns the old socket, so that the poller can stop watching it.
    pub fn replace_socket(&mut self, socket: UdpSocket) -> UdpSocket {
        self.pending_queries.clear();
        std::mem::replace(&mut self.socket, socket)
    }

    /// Advances to the position of a list from the configuration. Returns whether that list is newer than the current one.
    pub fn accept(&mut self, position: u64) -> bool {
        let is_newer = position > self.position;
        self.position = self.position.max(position);
        if is_newer {
            (self.unverified, self.older_candidate) = (false, None);
        }
        is_newer
    }

    /// The socket, to be watched for answers.
    pub fn socket(&self) -> &UdpSocket {
        &self.socket
    }

    /// Queries the list. A query that cannot be sent is treated like one that was lost.
    pub fn send_query(&mut self) {
        // The step is odd, so all ids are used before one repeats.
        self.last_query_id = self.last_query_id.wrapping_add(0x9e37);
        let mut query = Message::new(self.last_query_id, MessageType::Query, OpCode::Query);
        query.add_query(Query::query(self.name.clone(), RecordType::SRV));
        match query.to_vec().map(|bytes| self.socket.send(&bytes)) {
            Ok(Ok(_)) => {}
            Ok(Err(error)) => log::debug!(error:%; "resolver-unreachable"),
            Err(error) => log::debug!(error:%; "resolver-unreachable"),
        }
        self.pending_queries.push_back(self.last_query_id);
        if self.pending_queries.len() > MAX_PENDING_QUERIES {
            self.pending_queries.pop_front();
        }
    }

    /// Reads the answers that have arrived. Returns the latest list that is to be applied, if any.
    pub fn read_answers(&mut self) -> Option<Snapshot> {
        let mut latest = None;
        let mut data = vec![0; MAX_ANSWER_BYTES];
        for _ in 0..2 * MAX_PENDING_QUERIES {
            match self.socket.recv(&mut data) {
                Ok(n) => latest = self.handle_answer(&data[..n]).or(latest),
                Err(error) if error.kind() == ErrorKind::WouldBlock => break,
                // A refused port is reported as an error of the next call: the resolver is down for now.
                Err(error) => log::debug!(error:%; "resolver-unreachable"),
            }
        }
        latest
    }

    fn handle_answer(&mut self, data: &[u8]) -> Option<Snapshot> {
        // Ignores late answers and answers to queries of others.
        let id = data.first_chunk().map(|id| u16::from_be_bytes(*id));
        let Some(query_id) = id.filter(|id| self.pending_queries.contains(id)) else {
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
        if self.answer_stats.record_usable() {
            log::info!(position = list.position, servers = list.servers.len(); "list-taken-again");
        }
        let is_accepted = self.accept_answer(list.position, query_id);
        self.confirmed |= list.position == self.position;
        is_accepted.then_some(list)
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
            log::warn!(held = self.position, error:%; "list-not-taken");
        }
    }

    /// Number of unusable answers since the start.
    pub fn unusable_answers(&self) -> u64 {
        self.answer_stats.unusable
    }

    /// Decides whether the list of an answer is applied. Events are numbered anew each time a gatekeeper starts, so a late
    /// answer from before a restart may have a higher position than any list since. A list from a single answer is therefore
    /// replaced by an older one as soon as two answers to different queries agree on that. A list that was received twice is
    /// never replaced by an older one.
    fn accept_answer(&mut self, position: u64, query_id: u16) -> bool {
        match position.cmp(&self.position) {
            Ordering::Greater => {
                self.accept(position);
                self.unverified = true;
                true
            }
            Ordering::Equal => {
                (self.unverified, self.older_candidate) = (false, None);
                false
            }
            Ordering::Less if !self.unverified => false,
            Ordering::Less => match self.older_candidate.replace((position, query_id)) {
                Some((previous, by)) if previous == position && by != query_id => {
                    log::info!(held = self.position, told = previous; "list-of-an-earlier-life");
                    (self.position, self.unverified, self.older_candidate) = (position, false, None);
                    true
                }
                _ => false,
            },
        }
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
