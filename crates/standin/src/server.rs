//! A session server: doors that gatekeepers connect to, a processor with one line, and calls that stand.
//!
//! Each gatekeeper has a door of its own, as far away as its district is: what comes in is heard, and what
//! goes out is sent, that much later.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};

use hollypaddle_platform::message::{cause, code, kind, Message};
use rand::Rng;
use rand_chacha::rand_core::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp};

use crate::deployment::Deployment;
use crate::{answer, full, peer, release, Peer};

/// Time between two looks at the line's wait, by which the share to hold back is set, in seconds.
const LOOK: f64 = 0.2;
/// Wait beyond which the server asks to hold back.
const HOLD_BACK_AT: f64 = 0.25;
/// Time between two states told unasked.
const STATE_EVERY: f64 = 1.0;
/// Work of turning a set-up away, as a part of that of a call.
const REFUSAL_WORK: f64 = 0.1;
/// Parts of a call's work that its set-up and its release cost, and each time that the set-up came again meanwhile.
const SET_UP_WORK: f64 = 0.7;
const REPEAT_WORK: f64 = 0.2;

/// How a server is built.
#[derive(Clone, Debug)]
pub struct ServerPlan {
    /// Index of its district.
    pub district: usize,
    /// Calls a second that its processor can carry when warm and at full speed.
    pub rate: f64,
    /// Wait at the processor beyond which set-ups are turned away, in seconds.
    pub most_wait: f64,
    /// Mean time that a call stands, by class, in seconds.
    pub hold: BTreeMap<String, f64>,
    /// How the servers of its deployment are.
    pub deployment: Deployment,
}

/// What a server saw; the counts that a gatekeeper's account is held against.
#[derive(Clone, Debug, PartialEq)]
pub struct Seen {
    /// When, at the server.
    pub at: f64,
    /// Through which door, and so from which gatekeeper.
    pub door: usize,
    /// Which call.
    pub call: u64,
    /// Its class.
    pub class: String,
    /// What.
    pub what: What,
}

/// What happened at a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum What {
    /// A set-up arrived.
    SetUp,
    /// The call stood.
    Stood,
    /// The set-up was turned away.
    Refused,
    /// The set-up was reset.
    Reset,
    /// The set-up was given up by the gatekeeper.
    GivenUp,
    /// The call that stood came to its end.
    Ended,
    /// The call that stood was released by the gatekeeper.
    Released,
    /// The call that stood was cut.
    Cut,
}

struct Door {
    listener: Option<TcpListener>,
    address: SocketAddr,
    /// One way, in seconds.
    delay: f64,
    peers: BTreeMap<u64, Peer>,
    /// What concerned a connection that has gone, said again on the next to be opened.
    owed: Vec<Message>,
    /// Ends of calls that were said lately, and when: they are said again on the next connection to be opened, as what
    /// was on its way on one that broke is lost without a sign.
    said: VecDeque<(f64, Message)>,
}

/// An end is said again for so long, in seconds.
const AGAIN: f64 = 8.0;
/// Most messages owed to one gatekeeper.
const MOST_OWED: usize = 4096;

enum Step {
    Arrives { door: usize, peer: u64, message: Message },
    Leaves { door: usize, peer: u64, message: Message },
    HeadDone,
    CallEnds { call: u64 },
    Look,
    State,
}

enum Job {
    /// A set-up, and when it came.
    SetUp(u64, f64),
    Release(u64),
    Refusal,
}

struct Pending {
    door: usize,
    peer: u64,
    class: String,
    given_up: bool,
}

/// A session server.
pub struct Server {
    plan: ServerPlan,
    doors: Vec<Door>,
    rng: ChaCha8Rng,
    /// What is to come, in order of time; the number keeps steps of one moment in their order.
    steps: BTreeMap<(u64, u64), Step>,
    next: u64,
    line: VecDeque<Job>,
    busy: bool,
    pending: BTreeMap<u64, Pending>,
    standing: BTreeMap<u64, (usize, u64, String)>,
    hold_back: f64,
    /// When its process started, and the share of its speed with which it began; none when long warm.
    cold: Option<f64>,
    /// How many times slower than usual it is.
    pub slow: f64,
    /// Reads and writes nothing while set.
    pub silent: bool,
    /// Tells the end of a call on another gatekeeper's connection where its own has none.
    pub ends_anywhere: bool,
    /// Set-ups to be reset as they arrive, of these classes or, with an empty list, of all.
    pub resets: u32,
    /// All that it saw.
    pub seen: Vec<Seen>,
    /// Set-ups that arrived while it was cold, by second of its age, and what it could do in each.
    pub cold_load: BTreeMap<u64, (u32, f64)>,
}

/// Microseconds, to sort by.
fn micros(at: f64) -> u64 {
    (at.max(0.0) * 1e6) as u64
}

impl Server {
    /// A warm server with a door for each gatekeeper, by its delay one way.
    pub fn open(plan: ServerPlan, delays: &[f64], seed: u64) -> io::Result<Server> {
        let door = |delay: &f64| {
            let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
            listener.set_nonblocking(true)?;
            let address = listener.local_addr()?;
            Ok(Door {
                listener: Some(listener),
                address,
                delay: *delay,
                peers: BTreeMap::new(),
                owed: Vec::new(),
                said: VecDeque::new(),
            })
        };
        let doors = delays.iter().map(door).collect::<io::Result<Vec<Door>>>()?;
        let mut server = Server {
            plan,
            doors,
            rng: ChaCha8Rng::seed_from_u64(seed),
            steps: BTreeMap::new(),
            next: 0,
            line: VecDeque::new(),
            busy: false,
            pending: BTreeMap::new(),
            standing: BTreeMap::new(),
            hold_back: 0.0,
            cold: None,
            slow: 1.0,
            silent: false,
            ends_anywhere: false,
            resets: 0,
            seen: Vec::new(),
            cold_load: BTreeMap::new(),
        };
        server.at(0.0, Step::Look);
        server.at(0.0, Step::State);
        Ok(server)
    }

    /// Where a gatekeeper's door is.
    pub fn address(&self, door: usize) -> SocketAddr {
        self.doors[door].address
    }

    /// Calls that stand.
    pub fn standing(&self) -> usize {
        self.standing.len()
    }

    /// Wait at the processor, in seconds.
    pub fn wait(&self, now: f64) -> f64 {
        let work = self.line.iter().fold(0.0, |sum, job| sum + self.work(job));
        work / self.speed(now)
    }

    fn at(&mut self, when: f64, step: Step) {
        self.next += 1;
        self.steps.insert((micros(when), self.next), step);
    }

    /// Share of the full speed at which a cold process works.
    fn warmth(&self, now: f64) -> f64 {
        let Deployment { cold, cold_from, .. } = self.plan.deployment;
        let warm = |started: f64| cold_from + (1.0 - cold_from) * (now - started).max(0.0) / cold;
        self.cold.map_or(1.0, |started| warm(started).min(1.0))
    }

    fn speed(&self, now: f64) -> f64 {
        self.warmth(now) / self.slow.max(1e-3)
    }

    /// Work of a job, in seconds at full speed.
    fn work(&self, job: &Job) -> f64 {
        let call = 1.0 / self.plan.rate;
        match job {
            Job::SetUp(..) => call * SET_UP_WORK,
            Job::Release(_) => call * (1.0 - SET_UP_WORK),
            Job::Refusal => call * REFUSAL_WORK,
        }
    }

    fn saw(&mut self, at: f64, door: usize, call: u64, class: &str, what: What) {
        self.seen.push(Seen { at, door, call, class: class.into(), what });
    }

    /// Dies and comes back cold in the same moment: what stood is cut, connections are reset.
    pub fn replace(&mut self, now: f64) {
        self.read(now);
        // What was on its way to the old process has come to nothing there.
        let coming: Vec<(usize, Message)> = (std::mem::take(&mut self.steps).into_values())
            .filter_map(|step| match step {
                Step::Arrives { door, message, .. } if message.kind == kind::SET_UP => Some((door, message)),
                _ => None,
            })
            .collect();
        for (door, message) in coming {
            let class = message.text(code::CLASS).unwrap_or_default();
            self.saw(now, door, message.call, class, What::SetUp);
            self.saw(now, door, message.call, class, What::Reset);
        }
        for (call, (door, _, class)) in std::mem::take(&mut self.standing) {
            self.saw(now, door, call, &class, What::Cut);
        }
        for (call, pending) in std::mem::take(&mut self.pending) {
            if !pending.given_up {
                self.saw(now, pending.door, call, &pending.class, What::Reset);
            }
        }
        for door in &mut self.doors {
            for peer in std::mem::take(&mut door.peers).into_values() {
                // A reset, not an orderly end.
                let _ = socket2::SockRef::from(peer.stream()).set_linger(Some(std::time::Duration::ZERO));
            }
        }
        self.line.clear();
        (self.busy, self.hold_back, self.cold) = (false, 0.0, Some(now));
        self.cold_load.clear();
        self.at(now, Step::Look);
        self.at(now, Step::State);
    }

    /// Closes all connections and goes on: set-ups open on them are given up, what stands stands on.
    pub fn hang_up(&mut self, now: f64) {
        self.read(now);
        let open: Vec<u64> = self.pending.keys().copied().collect();
        open.into_iter().for_each(|call| self.given_up(now, call));
        self.doors.iter_mut().for_each(|door| door.peers.clear());
    }

    /// Dies and stays away: its doors are shut.
    pub fn die(&mut self, now: f64) {
        self.replace(now);
        self.doors.iter_mut().for_each(|door| door.listener = None);
    }

    /// Another process comes at the address of one that died, cold.
    pub fn revive(&mut self, now: f64) -> io::Result<()> {
        for door in self.doors.iter_mut().filter(|door| door.listener.is_none()) {
            let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None)?;
            socket.set_reuse_address(true)?;
            socket.bind(&door.address.into())?;
            socket.listen(128)?;
            socket.set_nonblocking(true)?;
            door.listener = Some(socket.into());
        }
        self.replace(now);
        Ok(())
    }

    /// Takes and says what is due by now.
    pub fn turn(&mut self, now: f64) {
        if self.silent {
            return;
        }
        self.read(now);
        while let Some(entry) = self.steps.first_entry() {
            if entry.key().0 > micros(now) {
                break;
            }
            let at = entry.key().0 as f64 / 1e6;
            let step = entry.remove();
            self.step(at, now, step);
        }
        for door in &mut self.doors {
            door.peers.values_mut().for_each(|peer| drop(peer.flush()));
        }
    }

    fn read(&mut self, now: f64) {
        let mut arrived = Vec::new();
        let mut gone = Vec::new();
        for (at, door) in self.doors.iter_mut().enumerate() {
            while let Some(Ok((stream, _))) = door.listener.as_ref().map(TcpListener::accept) {
                if let Ok(mut peer) = peer(stream) {
                    let said = std::mem::take(&mut door.said).into_iter();
                    let again = said.filter(|(at, _)| now - at < AGAIN).map(|(_, message)| message);
                    for message in std::mem::take(&mut door.owed).into_iter().chain(again) {
                        let _ = peer.send(&message);
                    }
                    self.next += 1;
                    door.peers.insert(self.next, peer);
                }
            }
            for (key, peer) in &mut door.peers {
                let mut heard = Vec::new();
                let over = peer.read(&mut heard).is_err();
                arrived.extend(heard.into_iter().map(|message| (at, *key, message)));
                if over {
                    gone.push((at, *key));
                }
            }
        }
        for (door, peer, message) in arrived {
            let when = now + self.doors[door].delay;
            self.at(when, Step::Arrives { door, peer, message });
        }
        for (door, key) in gone {
            self.doors[door].peers.remove(&key);
            // Its set-ups are given up; what stands belongs to no connection.
            let open: Vec<u64> = self
                .pending
                .iter()
                .filter(|(_, p)| p.door == door && p.peer == key)
                .map(|(c, _)| *c)
                .collect();
            for call in open {
                self.given_up(now, call);
            }
        }
    }

    fn given_up(&mut self, at: f64, call: u64) {
        let Some(pending) = self.pending.get_mut(&call).filter(|p| !p.given_up) else { return };
        pending.given_up = true;
        let (door, class) = (pending.door, pending.class.clone());
        self.saw(at, door, call, &class, What::GivenUp);
    }

    fn step(&mut self, at: f64, now: f64, step: Step) {
        match step {
            Step::Arrives { door, peer, message } => self.arrives(at, door, peer, message),
            Step::Leaves { door, peer, message } => {
                let Door { peers, owed, said, .. } = &mut self.doors[door];
                // What concerns a call goes on the connection of its set-up, otherwise on any open one; one
                // that turns out to be closed is none.
                let mut key = Some(peer).filter(|key| peers.contains_key(key));
                while let Some(at) = key.or(peers.keys().next_back().copied()) {
                    match peers.get_mut(&at).map(|peer| peer.send(&message)) {
                        Some(Ok(_)) => {
                            if message.kind == kind::RELEASE && message.cause() == Some(cause::NORMAL) {
                                said.push_back((now, message));
                                while said.front().is_some_and(|(at, _)| now - at >= AGAIN)
                                    || said.len() > MOST_OWED
                                {
                                    said.pop_front();
                                }
                            }
                            return;
                        }
                        _ => drop(peers.remove(&at)),
                    }
                    key = None;
                }
                if message.kind != kind::RELEASE {
                    return;
                }
                // It comes again on the next to be opened, and where gatekeepers work together any
                // other's connection will do meanwhile.
                if owed.len() < MOST_OWED {
                    owed.push(message.clone());
                }
                if self.ends_anywhere {
                    let others = self.doors.iter_mut().flat_map(|door| door.peers.values_mut());
                    others.map(|peer| peer.send(&message)).find(Result::is_ok);
                }
            }
            Step::HeadDone => self.head_done(at),
            Step::CallEnds { call } => {
                if self.standing.contains_key(&call) {
                    self.enqueue(at, Job::Release(call));
                }
            }
            Step::Look => {
                let wait = self.wait(at);
                let change =
                    if wait > HOLD_BACK_AT { 0.1 * (wait / HOLD_BACK_AT - 1.0).min(1.5) } else { -0.05 };
                self.hold_back = (self.hold_back + change).clamp(0.0, 0.95);
                self.at(at.max(now - LOOK) + LOOK, Step::Look);
            }
            Step::State => {
                if let Some(lines) = self.plan.deployment.lines {
                    let free = lines - self.standing.len().min(lines);
                    let state = Message::new(kind::STATE, 0)
                        .with(code::REPORT, format!("x0:{free};x1:{lines};eps:-1"));
                    for (door, peer) in self.connections() {
                        self.say(at, door, peer, state.clone());
                    }
                }
                self.at(at.max(now - STATE_EVERY) + STATE_EVERY, Step::State);
            }
        }
    }

    fn connections(&self) -> Vec<(usize, u64)> {
        let of =
            |(at, door): (usize, &Door)| door.peers.keys().map(move |key| (at, *key)).collect::<Vec<_>>();
        self.doors.iter().enumerate().flat_map(of).collect()
    }

    fn say(&mut self, at: f64, door: usize, peer: u64, message: Message) {
        let when = at + self.doors[door].delay;
        self.at(when, Step::Leaves { door, peer, message });
    }

    /// What it says of itself beside what it says, if it says anything.
    fn told(&self, message: Message) -> Message {
        let Deployment { reports, lines, .. } = self.plan.deployment;
        let mut fields = Vec::new();
        if let Some(lines) = lines {
            fields.push(format!("x0:{};x1:{lines}", lines - self.standing.len().min(lines)));
        }
        if reports {
            fields.push(format!("eps:{:.3}", self.hold_back));
        }
        match fields.is_empty() {
            true => message,
            false => message.with(code::REPORT, fields.join(";")),
        }
    }

    fn arrives(&mut self, at: f64, door: usize, peer: u64, message: Message) {
        let call = message.call;
        match message.kind {
            kind::SET_UP => {
                let class = message.text(code::CLASS).unwrap_or_default().to_string();
                self.saw(at, door, call, &class, What::SetUp);
                if let Some(started) = self.cold.filter(|started| at - started < self.plan.deployment.cold) {
                    let can = self.plan.rate * self.warmth(at) / self.slow;
                    let second = self.cold_load.entry((at - started).max(0.0) as u64).or_insert((0, can));
                    second.0 += 1;
                }
                if self.resets > 0 {
                    self.resets -= 1;
                    self.saw(at, door, call, &class, What::Reset);
                    return self.say(at, door, peer, release(call, cause::TEMPORARY_FAILURE));
                }
                let wait = self.wait(at);
                if wait > self.plan.most_wait {
                    self.saw(at, door, call, &class, What::Refused);
                    self.enqueue(at, Job::Refusal);
                    let mut refusal = full(call, "throttled");
                    if self.plan.deployment.tells_wait {
                        refusal = refusal.with(code::FULL_WAIT, format!("{:.0}", wait * 1000.0));
                    }
                    return self.say(at, door, peer, self.told(refusal));
                }
                let taken = self.standing.len() + self.pending.len();
                if self.plan.deployment.lines.is_some_and(|lines| taken >= lines) {
                    self.saw(at, door, call, &class, What::Refused);
                    return self.say(at, door, peer, self.told(full(call, "congestion")));
                }
                self.pending.insert(call, Pending { door, peer, class, given_up: false });
                self.enqueue(at, Job::SetUp(call, at));
            }
            kind::RELEASE => {
                self.given_up(at, call);
                if let Some((door, _, class)) = self.standing.remove(&call) {
                    self.saw(at, door, call, &class, What::Released);
                }
            }
            kind::TEST => {
                let passed = self.told(Message::new(kind::TEST_RESULT, call).with_cause(1));
                self.say(at, door, peer, passed);
            }
            _ => {}
        }
    }

    fn enqueue(&mut self, at: f64, job: Job) {
        // Not ahead of what is being worked on.
        let ahead = self.line.iter().skip(1).position(|job| matches!(job, Job::SetUp(..)));
        match (&job, ahead) {
            (Job::Release(_), Some(place)) if self.plan.deployment.finish_first => {
                self.line.insert(1 + place, job);
            }
            _ => self.line.push_back(job),
        }
        if !self.busy {
            self.begin(at);
        }
    }

    fn begin(&mut self, at: f64) {
        if self.plan.deployment.cancel_drops {
            while let Some(Job::SetUp(call, _)) = self.line.front() {
                match self.pending.get(call) {
                    Some(pending) if !pending.given_up => break,
                    _ => drop(self.pending.remove(call)),
                }
                self.line.pop_front();
            }
        }
        let Some(job) = self.line.front() else { return };
        self.busy = true;
        let mut work = self.work(job);
        let again = self.plan.deployment.retransmit;
        if let (Job::SetUp(_, came), true) = (job, again > 0.0) {
            // After one gap, after three, after seven.
            let repeats = ((at - came) / again + 1.0).log2().floor().max(0.0);
            work += repeats * REPEAT_WORK / self.plan.rate;
        }
        let done = at + work / self.speed(at);
        self.at(done, Step::HeadDone);
    }

    fn head_done(&mut self, at: f64) {
        self.busy = false;
        match self.line.pop_front() {
            Some(Job::SetUp(call, _)) => {
                if let Some(Pending { door, peer, class, given_up: false }) = self.pending.remove(&call) {
                    self.saw(at, door, call, &class, What::Stood);
                    self.say(at, door, peer, answer(call));
                    let mean = self.plan.hold.get(&class).copied().unwrap_or(5.0).max(1e-3);
                    let lasts = Exp::new(1.0 / mean).map_or(mean, |exp| exp.sample(&mut self.rng));
                    self.standing.insert(call, (door, peer, class));
                    self.at(at + lasts, Step::CallEnds { call });
                }
            }
            Some(Job::Release(call)) => {
                if let Some((door, peer, class)) = self.standing.remove(&call) {
                    self.saw(at, door, call, &class, What::Ended);
                    let end = self.told(release(call, cause::NORMAL));
                    self.say(at, door, peer, end);
                }
            }
            Some(Job::Refusal) | None => {}
        }
        self.begin(at);
    }

    /// Set-ups that came in twice: the same call again while an earlier one was not over.
    pub fn doubles(&self) -> usize {
        let mut open = BTreeSet::new();
        let mut doubles = 0;
        for seen in &self.seen {
            match seen.what {
                What::SetUp => doubles += usize::from(!open.insert(seen.call)),
                What::Stood => {}
                _ => drop(open.remove(&seen.call)),
            }
        }
        doubles
    }

    /// A number between 0 and 1 from the server's own source, for scripts that want chance.
    pub fn draw(&mut self) -> f64 {
        self.rng.gen()
    }
}
