use std::collections::VecDeque;
use std::io::{Read, Write};
use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

use hollypaddle_membership::Incarnation;
use hollypaddle_relay::message::Hello;
use hollypaddle_relay::settings::Revision;
use hollypaddle_replica::record::Topic;

use super::*;

const TIMEOUT: Duration = Duration::from_secs(10);

/// A node that records what it receives and sends what the test queues.
#[derive(Default)]
struct RecordingNode {
    next: u64,
    dials: Vec<(LinkId, MemberId)>,
    ups: Vec<LinkId>,
    downs: Vec<(LinkId, bool)>,
    received: Vec<(LinkId, Message)>,
    outgoing: BTreeMap<LinkId, VecDeque<Message>>,
    /// Whether every link always has a message to send.
    floods: bool,
    flood_sent: u64,
    closes: Vec<LinkId>,
    /// Whether it rejects received messages.
    rejects: bool,
}

impl RecordingNode {
    fn dial(&mut self, to: MemberId) -> LinkId {
        self.next += 1;
        self.dials.push((LinkId(self.next), to));
        LinkId(self.next)
    }

    fn queue(&mut self, link: LinkId, message: Message) {
        self.outgoing.entry(link).or_default().push_back(message);
    }
}

impl Node for RecordingNode {
    fn links_to_open(&mut self, _: f64) -> Vec<(LinkId, MemberId)> {
        std::mem::take(&mut self.dials)
    }

    fn accept_link(&mut self, _: f64) -> LinkId {
        self.next += 1;
        self.outgoing.entry(LinkId(self.next)).or_default();
        LinkId(self.next)
    }

    fn link_up(&mut self, _: f64, link: LinkId) {
        self.ups.push(link);
        self.outgoing.entry(link).or_default();
    }

    fn link_down(&mut self, _: f64, link: LinkId, refused: bool) {
        self.downs.push((link, refused));
    }

    fn receive(&mut self, _: f64, link: LinkId, message: &Message) -> Result<(), LinkError> {
        self.received.push((link, message.clone()));
        if self.rejects {
            return Err(LinkError::OutOfPlace);
        }
        Ok(())
    }

    fn links_to_serve(&mut self, _: f64) -> Vec<LinkId> {
        self.outgoing.keys().copied().collect()
    }

    fn next_message(&mut self, _: f64, link: LinkId) -> Option<Message> {
        if self.floods {
            self.flood_sent += 1;
            return Some(Message::Unknown(250));
        }
        self.outgoing.get_mut(&link)?.pop_front()
    }

    fn link_writable(&mut self, _: f64, _: LinkId) {}

    fn links_to_close(&mut self) -> Vec<LinkId> {
        std::mem::take(&mut self.closes)
    }

    fn tick(&mut self, _: f64) {}

    fn next_tick_at(&self) -> f64 {
        f64::INFINITY
    }
}

/// A node with its links and a clock.
struct TestBed {
    poller: Poller,
    links: Links,
    node: RecordingNode,
    started: Instant,
    /// Seconds that were skipped on the clock.
    skipped_s: f64,
}

impl TestBed {
    fn new(listens: bool, most: usize) -> TestBed {
        let mut poller = Poller::new().unwrap();
        let listen = listens.then(|| (Ipv4Addr::LOCALHOST, 0).into());
        let links = Links::open(listen, most, &mut poller).unwrap();
        TestBed { poller, links, node: RecordingNode::default(), started: Instant::now(), skipped_s: 0.0 }
    }

    fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64() + self.skipped_s
    }

    fn iterate(&mut self) {
        let now = self.now();
        for ready in self.poller.wait(0.002).unwrap() {
            self.links.handle_ready(now, ready, &mut self.node, &mut self.poller);
        }
        self.links.maintain(now, &mut self.node, &mut self.poller);
        self.links.apply_node_actions(now, &mut self.node, &mut self.poller);
    }

    /// Runs iterations until the condition holds; fails if it does not in time.
    fn run_until(&mut self, what: &str, mut holds: impl FnMut(&mut TestBed) -> bool) {
        let started = Instant::now();
        while !holds(self) {
            assert!(started.elapsed() < TIMEOUT, "timed out waiting for {what}");
            self.iterate();
        }
    }

    fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(self.links.address().unwrap()).unwrap();
        stream.set_read_timeout(Some(TIMEOUT)).unwrap();
        stream
    }

    fn set_address(&mut self, member: MemberId, address: SocketAddr) {
        let addresses = BTreeMap::from([(member, address)]);
        let now = self.now();
        self.links.reconfigure(now, 100, addresses, &mut self.node, &self.poller);
    }
}

fn hello() -> Message {
    let incarnation = Incarnation { number: 1, nonce: 1 };
    Message::Hello(Hello {
        protocol: (1, 1),
        from: MemberId(1),
        to: MemberId(2),
        incarnation,
        topic: Topic(3),
        name: "n1".into(),
    })
}

fn frame(message: &Message) -> Vec<u8> {
    let mut bytes = Vec::new();
    message.encode(&mut bytes);
    bytes
}

/// Returns the next message from a stream; `None` at its end.
fn next(stream: &mut TcpStream) -> Option<Message> {
    let mut bytes = Vec::new();
    loop {
        if let Some((message, length)) = Message::decode(&bytes).unwrap() {
            assert_eq!(length, bytes.len());
            return Some(message);
        }
        let mut byte = [0];
        match stream.read(&mut byte).unwrap() {
            0 => return None,
            _ => bytes.push(byte[0]),
        }
    }
}

#[test]
fn link_is_established_carries_messages_and_closes() {
    let (mut relay, mut leaf) = (TestBed::new(true, 100), TestBed::new(false, 4));
    leaf.set_address(MemberId(2), relay.links.address().unwrap());
    let link = leaf.node.dial(MemberId(2));
    leaf.run_until("the link", |f| f.node.ups == [link]);
    leaf.node.queue(link, hello());
    leaf.iterate();
    relay.run_until("the hello", |f| f.node.received == [(LinkId(1), hello())]);
    relay.node.queue(LinkId(1), Message::Pong(7));
    relay.node.closes.push(LinkId(1));
    // Messages sent before the link is closed arrive before its end.
    leaf.run_until("the end", |f| {
        relay.iterate();
        f.node.downs == [(link, false)]
    });
    assert_eq!(leaf.node.received, [(link, Message::Pong(7))]);
    relay.run_until("its own end", |f| f.links.is_empty());
    assert_eq!(relay.node.downs, [], "the node that closes a link is not informed that it is down");
    assert_eq!((leaf.links.counts.sent, relay.links.counts.received), (1, 1));
    assert_eq!(leaf.links.counts.bytes_sent, frame(&hello()).len() as u64);
}

#[test]
fn message_in_pieces_and_message_of_unknown_kind_are_accepted() {
    let mut relay = TestBed::new(true, 100);
    let mut stream = relay.connect();
    for byte in frame(&hello()) {
        stream.write_all(&[byte]).unwrap();
        relay.iterate();
    }
    stream.write_all(&frame(&Message::Unknown(200))).unwrap();
    stream.write_all(&frame(&Message::Ping(9))).unwrap();
    relay.run_until("all three", |f| f.node.received.len() == 3);
    let all: Vec<Message> = relay.node.received.iter().map(|(_, m)| m.clone()).collect();
    assert_eq!(all, [hello(), Message::Unknown(200), Message::Ping(9)]);
    assert_eq!((relay.links.counts.unknown, relay.links.counts.refused), (1, 0));
}

#[test]
fn refused_connection_is_reported_as_refused() {
    let mut leaf = TestBed::new(false, 4);
    let closed = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    leaf.set_address(MemberId(2), closed);
    let link = leaf.node.dial(MemberId(2));
    leaf.run_until("the refusal", |f| f.node.downs == [(link, true)]);
    let unknown_relay = leaf.node.dial(MemberId(3));
    leaf.run_until("an unknown relay", |f| f.node.downs.contains(&(unknown_relay, false)));
    assert!(leaf.links.is_empty());
}

#[test]
fn invalid_input_and_rejected_messages_close_the_link() {
    let mut relay = TestBed::new(true, 100);
    let mut stream = relay.connect();
    stream.write_all(&[0xff; 64]).unwrap();
    relay.run_until("the link to go", |f| f.node.downs == [(LinkId(1), false)]);
    assert_eq!(relay.links.counts.refused, 1);
    // The node's answer to a rejected message still arrives.
    let mut stream = relay.connect();
    relay.run_until("a link", |f| f.links.len() == 1);
    relay.node.rejects = true;
    relay.node.outgoing.insert(LinkId(2), VecDeque::new());
    stream.write_all(&frame(&hello())).unwrap();
    relay.node.queue(LinkId(2), Message::Lacks(Revision::default()));
    relay.run_until("the refusal", |f| f.node.downs.contains(&(LinkId(2), false)));
    assert_eq!(next(&mut stream), Some(Message::Lacks(Revision::default())));
    assert_eq!(next(&mut stream), None);
}

/// Unidentified links must not use up all descriptors of a relay and must not keep leaves from connecting.
#[test]
fn unidentified_links_are_limited_in_number_and_time() {
    let mut relay = TestBed::new(true, 1000);
    let unidentified: Vec<TcpStream> = (0..MAX_UNIDENTIFIED_LINKS + 8).map(|_| relay.connect()).collect();
    relay.run_until("as many as may be", |f| f.links.len() == MAX_UNIDENTIFIED_LINKS);
    assert_eq!(relay.links.counts.refused, 0, "new links are not closed to make room for others");
    relay.skipped_s += MIN_IDENTIFY_TIME_S;
    let mut leaf = relay.connect();
    leaf.write_all(&frame(&hello())).unwrap();
    relay.run_until("the leaf", |f| f.node.received.len() == 1);
    assert!(relay.links.len() <= MAX_UNIDENTIFIED_LINKS + 1);
    relay.skipped_s += HANDSHAKE_TIMEOUT_S;
    relay.run_until("only the leaf", |f| f.links.len() == 1);
    assert_eq!(relay.node.downs.len(), unidentified.len());
    // The leaf has sent its hello and stays.
    relay.skipped_s += HANDSHAKE_TIMEOUT_S;
    relay.iterate();
    assert_eq!(relay.links.len(), 1);
}

#[test]
fn number_of_links_is_limited() {
    let mut relay = TestBed::new(true, 3);
    let mut all: Vec<TcpStream> = (0..5).map(|_| relay.connect()).collect();
    all.iter_mut().for_each(|s| s.write_all(&frame(&hello())).unwrap());
    relay.run_until("three", |f| f.node.received.len() == 3);
    relay.iterate();
    assert_eq!(relay.links.len(), 3);
    drop(all.drain(..3));
    relay.run_until("those that waited", |f| f.node.received.len() == 5);
}

/// A leaf that reads nothing uses a bounded buffer at its relay, doesn't affect other leaves, and is disconnected.
#[test]
fn link_that_is_not_read_is_closed() {
    let mut relay = TestBed::new(true, 100);
    let mut slow = relay.connect();
    slow.write_all(&frame(&hello())).unwrap();
    relay.run_until("the slow one", |f| f.node.received.len() == 1);
    relay.node.floods = true;
    let mut sent = 0;
    relay.run_until("it is full", |f| {
        std::mem::replace(&mut sent, f.node.flood_sent) == f.node.flood_sent && sent > 0
    });
    let bytes = relay.links.counts.bytes_sent;
    // The system's buffers at both ends; the reader's has the kernel's default size.
    assert!(bytes < 16 << 20, "{bytes} bytes were sent to a peer that reads nothing");
    let waiting =
        relay.links.links.values().map(|l| l.connection.queued() - l.connection.written()).sum::<u64>();
    assert!(waiting as usize <= MAX_QUEUED_BYTES, "{waiting}");
    let mut quick = relay.connect();
    quick.write_all(&frame(&hello())).unwrap();
    relay.run_until("another", |f| f.node.received.len() == 2);
    relay.node.floods = false;
    relay.node.queue(LinkId(2), Message::Pong(1));
    relay.iterate();
    while !matches!(next(&mut quick), Some(Message::Pong(1))) {}
    relay.skipped_s += STUCK_TIMEOUT_S;
    relay.run_until("the slow one's end", |f| f.node.downs == [(LinkId(1), false)]);
    assert_eq!((relay.links.counts.stuck, relay.links.len()), (1, 1));
}

#[test]
fn link_that_is_not_established_in_time_is_closed() {
    let mut leaf = TestBed::new(false, 4);
    // A listener whose queue is full accepts no more connections; they stay pending.
    let listener = bind((Ipv4Addr::LOCALHOST, 0).into(), 0).unwrap();
    let address = listener.local_addr().unwrap();
    let full: Vec<TcpStream> = (0..4).filter_map(|_| connect_nonblocking(address).ok()).collect();
    leaf.set_address(MemberId(2), address);
    let link = leaf.node.dial(MemberId(2));
    leaf.iterate();
    assert_eq!((leaf.links.len(), &leaf.node.ups[..]), (1, &[][..]));
    leaf.skipped_s += HANDSHAKE_TIMEOUT_S;
    leaf.run_until("the end", |f| f.node.downs == [(link, false)]);
    drop(full);
}

/// Each link error must have its own row on the page for on-call staff, and a text that says what to do.
#[test]
fn each_link_error_is_documented_for_on_call_staff() {
    let page = include_str!("../../../../../docs/ONCALL.md");
    let node = [
        LinkError::Protocol { oldest: 2, newest: 3 },
        LinkError::NotForUs,
        LinkError::OutOfPlace,
        LinkError::StaleIncarnation,
        LinkError::Full,
        LinkError::Malformed("x"),
        LinkError::SecondLink,
    ];
    let own = [
        RelayLinkError::Unreadable("x".into()),
        RelayLinkError::NoHello,
        RelayLinkError::NotUp,
        RelayLinkError::Stuck,
        RelayLinkError::Strangers,
    ];
    let all: Vec<RelayLinkError> = node.into_iter().map(RelayLinkError::Node).chain(own).collect();
    for error in &all {
        let row = format!("| `{}` |", error.name());
        assert!(page.contains(&row), "{row} is not in docs/ONCALL.md");
        let text = error.to_string();
        assert!(text.contains(';') || text.contains(':'), "{text:?} does not say what to do");
    }
    let names: std::collections::BTreeSet<&str> = all.iter().map(RelayLinkError::name).collect();
    assert_eq!(names.len(), all.len(), "each error has its own name");
}
