//! The resolver: answers questions for the list of session servers over DNS (RFC 1035) on UDP.

use std::io;
use std::net::{Ipv4Addr, SocketAddr, UdpSocket};

use hickory_proto::op::{Message, OpCode};
use hickory_proto::rr::rdata::{A, SOA, SRV, TXT};
use hickory_proto::rr::{Name, RData, Record};

/// One server of the list.
#[derive(Clone, Debug, PartialEq)]
pub struct Listed {
    /// Its id: the first label.
    pub id: String,
    /// Its district: the second label.
    pub district: String,
    /// Where the one who asks reaches it.
    pub address: SocketAddr,
    /// The pool's number.
    pub number: u32,
    /// Whether it drains.
    pub draining: bool,
    /// Unix milliseconds of a late start, or 0.
    pub started_ms: u64,
}

/// The list as a gatekeeper's configuration gives it at the start.
pub fn known(position: u64, list: &[Listed]) -> String {
    let instance = |l: &Listed| {
        format!(
            r#"{{"instanceId":"{}","hostPort":"{}","zone":"{}","cell":{},"lifecycle":"{}","startedAtMs":{}}}"#,
            l.id,
            l.address,
            l.district,
            l.number,
            if l.draining { "draining" } else { "ready" },
            l.started_ms
        )
    };
    let instances: Vec<String> = list.iter().map(instance).collect();
    format!(
        r#"{{"pos":{position},"entries":[{{"pos":{position},"hosts":{{"reset":true,"instances":[{}]}}}}]}}"#,
        instances.join(",")
    )
}

fn name(text: &str) -> io::Result<Name> {
    Name::from_ascii(text).map_err(io::Error::other)
}

/// The answer to a question: the whole list at a position.
pub fn reply(question: &[u8], position: u32, list: &[Listed]) -> io::Result<Message> {
    let question = Message::from_vec(question).map_err(io::Error::other)?;
    let asked = question.queries.first().ok_or_else(|| io::Error::other("no question"))?.name().clone();
    let mut answer = Message::response(question.metadata.id, OpCode::Query);
    let zone = name("fleet.local.")?;
    let soa = SOA::new(zone.clone(), zone.clone(), position, 1, 1, 1, 1);
    answer.authorities.push(Record::from_rdata(zone, 0, RData::SOA(soa)));
    for l in list {
        let target = name(&format!("{}.{}.hosts.", l.id, l.district))?;
        let srv = SRV::new(u16::from(l.draining), 40, l.address.port(), target.clone());
        answer.answers.push(Record::from_rdata(asked.clone(), 0, RData::SRV(srv)));
        let ip = match l.address {
            SocketAddr::V4(v4) => *v4.ip(),
            SocketAddr::V6(_) => Ipv4Addr::LOCALHOST,
        };
        answer.additionals.push(Record::from_rdata(target.clone(), 0, RData::A(A(ip))));
        let texts =
            vec!["kind=std".to_string(), format!("cell={}", l.number), format!("started={}", l.started_ms)];
        answer.additionals.push(Record::from_rdata(target, 0, RData::TXT(TXT::new(texts))));
    }
    Ok(answer)
}

/// A resolver for one gatekeeper.
pub struct Resolver {
    socket: UdpSocket,
    /// Answers nothing while set.
    pub silent: bool,
}

impl Resolver {
    /// Opens a socket on loopback.
    pub fn open() -> io::Result<Resolver> {
        let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0))?;
        socket.set_nonblocking(true)?;
        Ok(Resolver { socket, silent: false })
    }

    /// Where it is asked.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Answers the questions that have come.
    pub fn turn(&mut self, position: u32, list: &[Listed]) {
        let mut data = [0; 1024];
        // A question that makes no sense is as good as none.
        while let Ok((n, from)) = self.socket.recv_from(&mut data) {
            let told = reply(&data[..n], position, list).and_then(|m| m.to_vec().map_err(io::Error::other));
            if let (false, Ok(bytes)) = (self.silent, told) {
                let _ = self.socket.send_to(&bytes, from);
            }
        }
    }
}
