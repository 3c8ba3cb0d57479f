//! All streams that are held here, and what follows from them together.

use std::cmp::Ordering;
use std::collections::BTreeMap;

use hollypaddle_lending::{BudgetKey, BudgetRequest};
use hollypaddle_membership::{Incarnation, MemberId};

use crate::record::{join_servers, CallFact, Key, Origin, ServerFact, ServerKey, ServerState, Value};
use crate::stream::Stream;

/// Lives of one member of which streams are held at most.
pub const MAX_INCARNATIONS_PER_MEMBER: usize = 3;

/// All streams.
#[derive(Clone, Debug)]
pub struct Store {
    own: Origin,
    streams: BTreeMap<Origin, Stream>,
    /// Of each member, the incarnation below which its streams are over and forgotten; so nobody brings them back.
    floors: BTreeMap<MemberId, u64>,
}

/// What is known of a call: its origin, since when it stands, and where.
pub type KnownCall = (Origin, f64, CallFact);

impl Store {
    /// The own stream alone.
    pub fn new(own: Origin) -> Store {
        Store { own, streams: BTreeMap::from([(own, Stream::default())]), floors: BTreeMap::new() }
    }

    /// The own stream's origin.
    pub fn own_origin(&self) -> Origin {
        self.own
    }

    /// Gives the own stream another life, with all that it says under new versions. What others may have of it
    /// under the old one stays, as a copy: what ends is to be known as over there, too.
    pub fn set_own_incarnation(&mut self, life: Incarnation) {
        let old = self.streams.get(&self.own).cloned().unwrap_or_default();
        if old.version() == 0 {
            self.streams.remove(&self.own);
        }
        self.own.life = life;
        let mut stream = Stream::default();
        for (key, at, value) in old.range(..) {
            stream.write(at, key, Some(value));
        }
        self.streams.insert(self.own, stream);
    }

    /// A stream.
    pub fn stream(&self, origin: &Origin) -> Option<&Stream> {
        self.streams.get(origin)
    }

    /// The own one, to write to.
    pub fn own_stream(&mut self) -> &mut Stream {
        self.streams.entry(self.own).or_default()
    }

    /// A copy to take changes into; none where it is forgotten, or the own one, which takes none.
    pub fn copy_mut(&mut self, origin: Origin) -> Option<&mut Stream> {
        match origin == self.own || self.is_forgotten(&origin) {
            true => None,
            false => Some(self.streams.entry(origin).or_default()),
        }
    }

    /// Puts a whole copy in place of what was held.
    pub fn install(&mut self, origin: Origin, stream: Stream) {
        if origin != self.own && !self.is_forgotten(&origin) {
            self.streams.insert(origin, stream);
        }
    }

    /// All streams.
    pub fn streams(&self) -> impl Iterator<Item = (&Origin, &Stream)> {
        self.streams.iter()
    }

    /// Whether a stream is over and forgotten.
    pub fn is_forgotten(&self, origin: &Origin) -> bool {
        self.floors.get(&origin.member).is_some_and(|floor| origin.life.number < *floor)
    }

    /// The floors, to be told to others.
    pub fn floors(&self) -> impl Iterator<Item = (MemberId, u64)> + '_ {
        self.floors.iter().map(|(member, floor)| (*member, *floor))
    }

    /// Streams of a member below an incarnation are over: they are dropped here and never taken again. Returns the
    /// dropped ones with their records. The own stream is never dropped.
    pub fn forget(&mut self, member: MemberId, below: u64) -> Vec<(Origin, usize)> {
        let floor = self.floors.entry(member).or_default();
        *floor = (*floor).max(below);
        let (floor, own) = (*floor, self.own);
        let over = |o: &Origin| o.member == member && o.life.number < floor && *o != own;
        let gone: Vec<Origin> = self.streams.keys().filter(|o| over(o)).copied().collect();
        let count = |o: Origin| (o, self.streams.remove(&o).map_or(0, |s| s.len()));
        gone.into_iter().map(count).collect()
    }

    /// Drops what belongs to nobody in the configuration any more.
    pub fn retain_members(&mut self, members: &[MemberId]) {
        let own = self.own;
        self.streams.retain(|o, _| *o == own || members.contains(&o.member));
        self.floors.retain(|m, _| members.contains(m));
    }

    /// Streams of one member beyond so many lives: the floor that leaves the latest.
    pub fn excess_incarnations(&self) -> Vec<(MemberId, u64)> {
        let mut lives: BTreeMap<MemberId, Vec<u64>> = BTreeMap::new();
        for origin in self.streams.keys() {
            lives.entry(origin.member).or_default().push(origin.life.number);
        }
        let over = |(member, all): (MemberId, Vec<u64>)| {
            let floor = *all.get(all.len().checked_sub(MAX_INCARNATIONS_PER_MEMBER)?)?;
            (all.len() > MAX_INCARNATIONS_PER_MEMBER).then_some((member, floor))
        };
        lives.into_iter().filter_map(over).collect()
    }

    // ---- What follows

    /// Whether a call is known to be over: an end wins over standing, whoever says it.
    pub fn is_call_over(&self, id: u64) -> bool {
        self.streams.values().any(|stream| stream.get(&Key::Over(id)).is_some())
    }

    /// Whether a call is known to be over and its caller was told: by an end that somebody recorded, or as its origin has
    /// withdrawn it.
    pub fn is_end_delivered(&self, id: u64) -> bool {
        self.is_call_over(id) || self.streams.values().any(|stream| stream.is_withdrawn(&Key::Call(id)))
    }

    /// A call that stands, as its origin said and nobody ended.
    pub fn standing_call(&self, id: u64) -> Option<KnownCall> {
        let said = |(origin, stream): (&Origin, &Stream)| match stream.get(&Key::Call(id)) {
            Some((at, Value::Call(fact))) => Some((*origin, at, fact)),
            _ => None,
        };
        let known = self.streams.iter().find_map(said)?;
        (!self.is_call_over(id)).then_some(known)
    }

    /// The calls of a stream.
    pub fn calls_in(stream: &Stream) -> impl Iterator<Item = (u64, f64, CallFact)> + '_ {
        let call = |(key, at, value)| match (key, value) {
            (Key::Call(id), Value::Call(fact)) => Some((id, at, fact)),
            _ => None,
        };
        stream.range(Key::Call(0)..=Key::Call(u64::MAX)).filter_map(call)
    }

    /// Ends that others owe to callers whom they do not reach, and whether they were cut.
    pub fn owed_ends(&self) -> BTreeMap<u64, bool> {
        let owed = Key::Owed(0)..=Key::Owed(u64::MAX);
        let others = self.streams.iter().filter(|(o, _)| **o != self.own);
        let all = others.flat_map(|(_, stream)| stream.range(owed.clone()));
        all.filter_map(|(key, _, value)| match (key, value) {
            (Key::Owed(id), Value::Owed(cut)) => Some((id, cut)),
            _ => None,
        })
        .collect()
    }

    /// What others want of budgets beyond their parts. Only streams that `counts` passes are heard.
    pub fn budget_requests(&self, counts: impl Fn(&Origin) -> bool) -> Vec<BudgetRequest> {
        let mut all = Vec::new();
        for (origin, stream) in self.streams.iter().filter(|(o, _)| **o != self.own && counts(o)) {
            let wants = Key::Want(BudgetKey(0))..=Key::Want(BudgetKey(u64::MAX));
            all.extend(stream.range(wants).filter_map(|(key, _, value)| match (key, value) {
                (Key::Want(budget), Value::Want(part)) => {
                    Some(BudgetRequest { member: origin.member, life: origin.life, budget, part })
                }
                _ => None,
            }));
        }
        all
    }

    /// What is lent to the own life: of which budget, as of when, and how much. Whoever lent it need not be heard: it
    /// goes without until the lease has run out, also in a later life.
    pub fn leases(&self) -> Vec<(BudgetKey, f64, u32)> {
        let to = self.own;
        // Of one lender the latest life counts that says something: one that raised its incarnation says all again.
        let mut all: BTreeMap<(BudgetKey, MemberId), (f64, u32)> = BTreeMap::new();
        for (origin, stream) in self.streams.iter().filter(|(o, _)| **o != to) {
            let lent =
                Key::Lent(BudgetKey(0), MemberId(0))..=Key::Lent(BudgetKey(u64::MAX), MemberId(u64::MAX));
            all.extend(stream.range(lent).filter_map(|(key, at, value)| match (key, value) {
                (Key::Lent(budget, member), Value::Lent(lease))
                    if member == to.member && lease.life == to.life =>
                {
                    Some(((budget, origin.member), (at, lease.part)))
                }
                _ => None,
            }));
        }
        all.into_iter().map(|((budget, _), (at, part))| (budget, at, part)).collect()
    }

    /// What others know of the servers, joined; of each, who says that it is silent, and since when. Only streams
    /// that `counts` passes are heard.
    pub fn peer_observations(
        &self,
        counts: impl Fn(&Origin) -> bool,
    ) -> BTreeMap<ServerKey, ServerObservation> {
        let mut all: BTreeMap<ServerKey, ServerObservation> = BTreeMap::new();
        for (origin, stream) in self.streams.iter().filter(|(o, _)| **o != self.own && counts(o)) {
            let servers = Key::Server(ServerKey(0))..=Key::Silent(ServerKey(u64::MAX));
            for (key, at, value) in stream.range(servers) {
                let (server, said) = match (key, value) {
                    (Key::Server(server), Value::Server(fact)) => {
                        (server, ServerObservation { at, fact, silent: None })
                    }
                    (Key::Silent(server), Value::Silent(started_ms)) => {
                        // It tells of a start, and nothing of its place.
                        let fact = ServerFact { started_ms, place: ServerState::Ready };
                        let silent = Some((at, origin.member));
                        (server, ServerObservation { at: f64::NEG_INFINITY, fact, silent })
                    }
                    _ => continue,
                };
                let joined = all.get(&server).map_or(said, |held| held.join(&said));
                all.insert(server, joined);
            }
        }
        all
    }
}

/// What others say of a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerObservation {
    /// When the evidence of its place was.
    pub at: f64,
    /// Place and start, joined.
    pub fact: ServerFact,
    /// The youngest word that it is silent, and whose it is.
    pub silent: Option<(f64, MemberId)>,
}

impl ServerObservation {
    /// Joins what two say. Commutative, associative and idempotent.
    pub fn join(&self, other: &ServerObservation) -> ServerObservation {
        let (at, fact) = join_servers((self.at, self.fact), (other.at, other.fact));
        // A silence is of one start of the server; a later start ends it.
        let silent = match self.fact.started_ms.cmp(&other.fact.started_ms) {
            Ordering::Less => other.silent,
            Ordering::Greater => self.silent,
            Ordering::Equal => match (self.silent, other.silent) {
                (Some(a), Some(b)) if a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)).is_ge() => Some(a),
                (a, b) => b.or(a),
            },
        };
        ServerObservation { at, fact, silent }
    }
}
