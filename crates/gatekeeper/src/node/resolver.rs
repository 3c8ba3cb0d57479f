//! The resolver: the list of session servers, polled over DNS (RFC 1035) on UDP.

mod unusable;

use std::cmp::Ordering;
use std::collections::VecDeque;
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, UdpSocket};

use hickory_proto::op::{Message, MessageType, OpCode, Query, ResponseCode};
use hickory_proto::rr::{Name, RecordType};
use hollypaddle_platform::list::Snapshot;

use self::unusable::{Answers, Unusable};

/// The name whose SRV records are the list.
const LIST: &str = "_work._tcp.fleet.local.";
/// Largest answer, with room to spare.
const ANSWER: usize = 16 * 1024;
/// Questions whose answers are still taken. A lost answer costs one interval and no more, as the next
/// question does not wait for it.
const OPEN_QUESTIONS: usize = 8;

/// Asks and listens.
pub struct Resolver {
    socket: UdpSocket,
    name: Name,
    districts: Vec<String>,
    /// Ids of questions asked lately.
    asked: VecDeque<u16>,
    next: u16,
    position: u64,
    /// See [`Resolver::take_confirmed`].
    confirmed: bool,
    /// The list held came in one answer, and no other has borne it out yet.
    unproven: bool,
    /// An older list that was told since, and by the answer to which question.
    older: Option<(u64, u16)>,
    answers: Answers,
}

impl Resolver {
    /// A resolver at that address, which has told all up to `position`.
    pub fn new(
        address: SocketAddr,
        position: u64,
        seed: u64,
        districts: Vec<String>,
    ) -> io::Result<Resolver> {
        let socket = open_socket(address)?;
        let name = Name::from_ascii(LIST).map_err(io::Error::other)?;
        let (asked, confirmed) = (VecDeque::new(), false);
        let (unproven, older) = (false, None);
        Ok(Resolver {
            socket,
            name,
            districts,
            asked,
            next: seed as u16,
            position,
            confirmed,
            unproven,
            older,
            answers: Answers::default(),
        })
    }

    /// Questions on their way are forgotten: what answers them was said too long ago.
    pub fn forget_queries(&mut self) {
        self.asked.clear();
    }

    /// Whether a whole list that is no older than the one held was told since this was last asked.
    pub fn take_confirmed(&mut self) -> bool {
        std::mem::take(&mut self.confirmed)
    }

    /// Asks on another socket from now on. Questions on the old one are forgotten, and the position
    /// is kept, as the numbers of the events go on. Returns the old socket, for the poller.
    pub fn replace_socket(&mut self, socket: UdpSocket) -> UdpSocket {
        self.asked.clear();
        std::mem::replace(&mut self.socket, socket)
    }

    /// Whether a list at this position is news; its events then count as told.
    pub fn accept(&mut self, position: u64) -> bool {
        let news = position > self.position;
        self.position = self.position.max(position);
        if news {
            (self.unproven, self.older) = (false, None);
        }
        news
    }

    /// The socket, to watch it.
    pub fn socket(&self) -> &UdpSocket {
        &self.socket
    }

    /// Asks for the list. A question that cannot be sent is as good as lost.
    pub fn send_query(&mut self) {
        // Steps through all ids; odd, so that each comes once.
        self.next = self.next.wrapping_add(0x9e37);
        let mut question = Message::new(self.next, MessageType::Query, OpCode::Query);
        question.add_query(Query::query(self.name.clone(), RecordType::SRV));
        match question.to_vec().map(|bytes| self.socket.send(&bytes)) {
            Ok(Ok(_)) => {}
            Ok(Err(error)) => log::debug!(error:%; "resolver-unreachable"),
            Err(error) => log::debug!(error:%; "resolver-unreachable"),
        }
        self.asked.push_back(self.next);
        if self.asked.len() > OPEN_QUESTIONS {
            self.asked.pop_front();
        }
    }

    /// Reads what has come; the newest list if it is news.
    pub fn read_answers(&mut self) -> Option<Snapshot> {
        let mut news = None;
        let mut data = vec![0; ANSWER];
        for _ in 0..2 * OPEN_QUESTIONS {
            match self.socket.recv(&mut data) {
                Ok(n) => news = self.take(&data[..n]).or(news),
                Err(error) if error.kind() == ErrorKind::WouldBlock => break,
                // A refused port shows as an error of the next call: the resolver is down for now.
                Err(error) => log::debug!(error:%; "resolver-unreachable"),
            }
        }
        news
    }

    fn take(&mut self, data: &[u8]) -> Option<Snapshot> {
        // Guards against answers to somebody else and late ones.
        let id = data.first_chunk().map(|id| u16::from_be_bytes(*id));
        let Some(question) = id.filter(|id| self.asked.contains(id)) else {
            log::debug!(id; "resolver-answer-passed-over");
            return None;
        };
        let list = match self.whole_list(data) {
            Ok(list) => list,
            Err(why) => {
                self.cannot_take(&why);
                return None;
            }
        };
        if self.answers.usable() {
            log::info!(position = list.position, servers = list.servers.len(); "list-taken-again");
        }
        let news = self.news(list.position, question);
        self.confirmed |= list.position == self.position;
        news.then_some(list)
    }

    /// The list of an answer. A server missing from a list counts as gone, so only a whole one may be taken.
    fn whole_list(&self, data: &[u8]) -> Result<Snapshot, Unusable> {
        let answer = Message::from_vec(data)?;
        let head = &answer.metadata;
        if head.truncation {
            return Err(Unusable::CutShort);
        }
        if head.message_type != MessageType::Response {
            return Err(Unusable::Incomplete);
        }
        if head.response_code != ResponseCode::NoError {
            return Err(Unusable::Refused(head.response_code));
        }
        Snapshot::from_answer(&answer, &self.districts).ok_or(Unusable::Incomplete)
    }

    fn cannot_take(&mut self, why: &Unusable) {
        log::debug!(error:% = why; "resolver-answer-unusable");
        if self.answers.unusable() {
            log::warn!(held = self.position, error:% = why; "list-not-taken");
        }
    }

    /// Answers that could not be taken since the start.
    pub fn unusable_answers(&self) -> u64 {
        self.answers.unusable
    }

    /// Whether a list that an answer told is to be taken. Events are numbered anew at each start of a gatekeeper, so an answer
    /// of its earlier life may come late and bear a higher number than all that this life has yet: what is told by one answer
    /// and by none after it yields as soon as two answers to different questions tell the same other list. A list that was
    /// told twice never goes back.
    fn news(&mut self, position: u64, question: u16) -> bool {
        match position.cmp(&self.position) {
            Ordering::Greater => {
                self.accept(position);
                self.unproven = true;
                true
            }
            Ordering::Equal => {
                (self.unproven, self.older) = (false, None);
                false
            }
            Ordering::Less if !self.unproven => false,
            Ordering::Less => match self.older.replace((position, question)) {
                Some((told, by)) if told == position && by != question => {
                    log::info!(held = self.position, told; "list-of-an-earlier-life");
                    (self.position, self.unproven, self.older) = (position, false, None);
                    true
                }
                _ => false,
            },
        }
    }
}

/// A socket that speaks to a resolver.
pub fn open_socket(address: SocketAddr) -> io::Result<UdpSocket> {
    let any = if address.is_ipv4() { "0.0.0.0:0" } else { "[::]:0" };
    let socket = UdpSocket::bind(any)?;
    socket.connect(address)?;
    socket.set_nonblocking(true)?;
    Ok(socket)
}

#[cfg(test)]
mod tests;
