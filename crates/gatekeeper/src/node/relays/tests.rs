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

/// A node that notes what it is told and says what it is given.
#[derive(Default)]
struct RecordingNode {
    next: u64,
    dials: Vec<(LinkId, MemberId)>,
    ups: Vec<LinkId>,
    downs: Vec<(LinkId, bool)>,
    heard: Vec<(LinkId, Message)>,
    says: BTreeMap<LinkId, VecDeque<Message>>,
    /// Said on every link for ever.
    floods: bool,
    said: u64,
    closes: Vec<LinkId>,
    /// Refuses what it hears.
    refuses: bool,
}

impl RecordingNode {
    fn dial(&mut self, to: MemberId) -> LinkId {
        self.next += 1;
        self.dials.push((LinkId(self.next), to));
        LinkId(self.next)
    }

    fn say(&mut self, link: LinkId, message: Message) {
        self.says.entry(link).or_default().push_back(message);
    }
}

impl Node for RecordingNode {
    fn links_to_open(&mut self, _: f64) -> Vec<(LinkId, MemberId)> {
        std::mem::take(&mut self.dials)
    }

    fn accept_link(&mut self, _: f64) -> LinkId {
        self.next += 1;
        self.says.entry(LinkId(self.next)).or_default();
        LinkId(self.next)
    }

    fn link_up(&mut self, _: f64, link: LinkId) {
        self.ups.push(link);
        self.says.entry(link).or_default();
    }

    fn link_down(&mut self, _: f64, link: LinkId, refused: bool) {
        self.downs.push((link, refused));
    }

    fn receive(&mut self, _: f64, link: LinkId, message: &Message) -> Result<(), LinkError> {
        self.heard.push((link, message.clone()));
        if self.refuses {
            return Err(LinkError::OutOfPlace);
        }
        Ok(())
    }

    fn links_to_serve(&mut self, _: f64) -> Vec<LinkId> {
        self.says.keys().copied().collect()
    }

    fn next_message(&mut self, _: f64, link: LinkId) -> Option<Message> {
        if self.floods {
            self.said += 1;
            return Some(Message::Unknown(250));
        }
        self.says.get_mut(&link)?.pop_front()
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

/// A node with its links, and the time.
struct TestBed {
    poller: Poller,
    links: Links,
    node: RecordingNode,
    begun: Instant,
    /// Seconds that were skipped.
    skipped: f64,
}

impl TestBed {
    fn new(listens: bool, most: usize) -> TestBed {
        let mut poller = Poller::new().unwrap();
        let listen = listens.then(|| (Ipv4Addr::LOCALHOST, 0).into());
        let links = Links::open(listen, most, &mut poller).unwrap();
        TestBed { poller, links, node: RecordingNode::default(), begun: Instant::now(), skipped: 0.0 }
    }

    fn now(&self) -> f64 {
        self.begun.elapsed().as_secs_f64() + self.skipped
    }

    fn iterate(&mut self) {
        let now = self.now();
        for ready in self.poller.wait(0.002).unwrap() {
            self.links.handle_ready(now, ready, &mut self.node, &mut self.poller);
        }
        self.links.maintain(now, &mut self.node, &mut self.poller);
        self.links.apply_node_actions(now, &mut self.node, &mut self.poller);
    }

    /// Turns until something holds; fails where it does not in time.
    fn until(&mut self, what: &str, mut holds: impl FnMut(&mut TestBed) -> bool) {
        let begun = Instant::now();
        while !holds(self) {
            assert!(begun.elapsed() < TIMEOUT, "waited in vain for {what}");
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
    let life = Incarnation { number: 1, nonce: 1 };
    Message::Hello(Hello {
        protocol: (1, 1),
        from: MemberId(1),
        to: MemberId(2),
        incarnation: life,
        topic: Topic(3),
        name: "n1".into(),
    })
}

fn frame(message: &Message) -> Vec<u8> {
    let mut bytes = Vec::new();
    message.encode(&mut bytes);
    bytes
}

/// The next message from a stream; none at its end.
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
fn a_link_is_made_spoken_on_and_closed() {
    let (mut relay, mut leaf) = (TestBed::new(true, 100), TestBed::new(false, 4));
    leaf.set_address(MemberId(2), relay.links.address().unwrap());
    let link = leaf.node.dial(MemberId(2));
    leaf.until("the link", |f| f.node.ups == [link]);
    leaf.node.say(link, hello());
    leaf.iterate();
    relay.until("the hello", |f| f.node.heard == [(LinkId(1), hello())]);
    relay.node.say(LinkId(1), Message::Pong(7));
    relay.node.closes.push(LinkId(1));
    // What was said on a link that is closed arrives before its end.
    leaf.until("the end", |f| {
        relay.iterate();
        f.node.downs == [(link, false)]
    });
    assert_eq!(leaf.node.heard, [(link, Message::Pong(7))]);
    relay.until("its own end", |f| f.links.is_empty());
    assert_eq!(relay.node.downs, [], "who closes a link is not told that it is down");
    assert_eq!((leaf.links.counts.sent, relay.links.counts.received), (1, 1));
    assert_eq!(leaf.links.counts.bytes_sent, frame(&hello()).len() as u64);
}

#[test]
fn a_message_in_pieces_and_one_of_an_unknown_kind_are_taken() {
    let mut relay = TestBed::new(true, 100);
    let mut stream = relay.connect();
    for byte in frame(&hello()) {
        stream.write_all(&[byte]).unwrap();
        relay.iterate();
    }
    stream.write_all(&frame(&Message::Unknown(200))).unwrap();
    stream.write_all(&frame(&Message::Ping(9))).unwrap();
    relay.until("all three", |f| f.node.heard.len() == 3);
    let all: Vec<Message> = relay.node.heard.iter().map(|(_, m)| m.clone()).collect();
    assert_eq!(all, [hello(), Message::Unknown(200), Message::Ping(9)]);
    assert_eq!((relay.links.counts.unknown, relay.links.counts.refused), (1, 0));
}

#[test]
fn an_address_that_refuses_is_told_as_that() {
    let mut leaf = TestBed::new(false, 4);
    let closed = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    leaf.set_address(MemberId(2), closed);
    let link = leaf.node.dial(MemberId(2));
    leaf.until("the refusal", |f| f.node.downs == [(link, true)]);
    let nobody = leaf.node.dial(MemberId(3));
    leaf.until("an unknown relay", |f| f.node.downs.contains(&(nobody, false)));
    assert!(leaf.links.is_empty());
}

#[test]
fn what_is_no_message_and_what_the_node_refuses_closes_the_link() {
    let mut relay = TestBed::new(true, 100);
    let mut stream = relay.connect();
    stream.write_all(&[0xff; 64]).unwrap();
    relay.until("the link to go", |f| f.node.downs == [(LinkId(1), false)]);
    assert_eq!(relay.links.counts.refused, 1);
    // What the node has to say to one that it refuses still arrives.
    let mut stream = relay.connect();
    relay.until("a link", |f| f.links.len() == 1);
    relay.node.refuses = true;
    relay.node.says.insert(LinkId(2), VecDeque::new());
    stream.write_all(&frame(&hello())).unwrap();
    relay.node.say(LinkId(2), Message::Lacks(Revision::default()));
    relay.until("the refusal", |f| f.node.downs.contains(&(LinkId(2), false)));
    assert_eq!(next(&mut stream), Some(Message::Lacks(Revision::default())));
    assert_eq!(next(&mut stream), None);
}

/// Guards against strangers that take all descriptors of a relay, and against leaves that are turned away by them.
#[test]
fn strangers_are_bounded_in_number_and_time() {
    let mut relay = TestBed::new(true, 1000);
    let silent: Vec<TcpStream> = (0..MAX_UNIDENTIFIED_LINKS + 8).map(|_| relay.connect()).collect();
    relay.until("as many as may be", |f| f.links.len() == MAX_UNIDENTIFIED_LINKS);
    assert_eq!(relay.links.counts.refused, 0, "those that have just come are not sent away for others");
    relay.skipped += MIN_IDENTIFY_TIME_S;
    let mut leaf = relay.connect();
    leaf.write_all(&frame(&hello())).unwrap();
    relay.until("the leaf", |f| f.node.heard.len() == 1);
    assert!(relay.links.len() <= MAX_UNIDENTIFIED_LINKS + 1);
    relay.skipped += HANDSHAKE_TIMEOUT_S;
    relay.until("only the leaf", |f| f.links.len() == 1);
    assert_eq!(relay.node.downs.len(), silent.len());
    // It said who it is, and stays.
    relay.skipped += HANDSHAKE_TIMEOUT_S;
    relay.iterate();
    assert_eq!(relay.links.len(), 1);
}

#[test]
fn links_are_bounded() {
    let mut relay = TestBed::new(true, 3);
    let mut all: Vec<TcpStream> = (0..5).map(|_| relay.connect()).collect();
    all.iter_mut().for_each(|s| s.write_all(&frame(&hello())).unwrap());
    relay.until("three", |f| f.node.heard.len() == 3);
    relay.iterate();
    assert_eq!(relay.links.len(), 3);
    drop(all.drain(..3));
    relay.until("those that waited", |f| f.node.heard.len() == 5);
}

/// A leaf that reads nothing costs its relay a bounded buffer and no other leaf anything.
#[test]
fn a_link_that_is_not_read_is_cut_off() {
    let mut relay = TestBed::new(true, 100);
    let mut slow = relay.connect();
    slow.write_all(&frame(&hello())).unwrap();
    relay.until("the slow one", |f| f.node.heard.len() == 1);
    relay.node.floods = true;
    let mut said = 0;
    relay.until("it is full", |f| std::mem::replace(&mut said, f.node.said) == f.node.said && said > 0);
    let bytes = relay.links.counts.bytes_sent;
    // What the system keeps at both ends: the reader's buffer is the kernel's default.
    assert!(bytes < 16 << 20, "{bytes} bytes were said to one that reads nothing");
    let waiting =
        relay.links.links.values().map(|l| l.connection.queued() - l.connection.written()).sum::<u64>();
    assert!(waiting as usize <= MAX_QUEUED_BYTES, "{waiting}");
    let mut quick = relay.connect();
    quick.write_all(&frame(&hello())).unwrap();
    relay.until("another", |f| f.node.heard.len() == 2);
    relay.node.floods = false;
    relay.node.say(LinkId(2), Message::Pong(1));
    relay.iterate();
    while !matches!(next(&mut quick), Some(Message::Pong(1))) {}
    relay.skipped += STUCK_TIMEOUT_S;
    relay.until("the slow one's end", |f| f.node.downs == [(LinkId(1), false)]);
    assert_eq!((relay.links.counts.stuck, relay.links.len()), (1, 1));
}

#[test]
fn a_link_that_does_not_come_up_is_given_up() {
    let mut leaf = TestBed::new(false, 4);
    // A listener whose queue is full takes no further ones: they stay on their way.
    let listener = bind((Ipv4Addr::LOCALHOST, 0).into(), 0).unwrap();
    let address = listener.local_addr().unwrap();
    let full: Vec<TcpStream> = (0..4).filter_map(|_| connect_nonblocking(address).ok()).collect();
    leaf.set_address(MemberId(2), address);
    let link = leaf.node.dial(MemberId(2));
    leaf.iterate();
    assert_eq!((leaf.links.len(), &leaf.node.ups[..]), (1, &[][..]));
    leaf.skipped += HANDSHAKE_TIMEOUT_S;
    leaf.until("the end", |f| f.node.downs == [(link, false)]);
    drop(full);
}

/// Each error of the links has a row of its own on the page for on-call staff, and says what can be done.
#[test]
fn every_error_of_a_link_is_on_the_page_for_on_call_staff() {
    let page = include_str!("../../../../../docs/ONCALL.md");
    let node = [
        LinkError::Protocol { oldest: 2, newest: 3 },
        LinkError::NotForUs,
        LinkError::OutOfPlace,
        LinkError::StaleLife,
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
        assert!(text.contains(';') || text.contains(':'), "{text:?} says nothing of what can be done");
    }
    let names: std::collections::BTreeSet<&str> = all.iter().map(RelayLinkError::name).collect();
    assert_eq!(names.len(), all.len(), "a name of its own for each");
}
