//! All streams that are held here, and what follows from them together.

use std::cmp::Ordering;
use std::collections::BTreeMap;

use hollypaddle_lending::{BudgetKey, BudgetRequest};
use hollypaddle_membership::{Incarnation, MemberId};

use crate::record::{join_servers, CallFact, Key, Origin, ServerFact, ServerKey, ServerState, Value};
use crate::stream::Stream;

/// Most incarnations of one member whose streams are held.
pub const MAX_INCARNATIONS_PER_MEMBER: usize = 3;

/// All streams that a member holds, its own among them.
#[derive(Clone, Debug)]
pub struct Store {
    own: Origin,
    streams: BTreeMap<Origin, Stream>,
    /// For each member the incarnation below which its streams are over and forgotten, so that nobody brings them
    /// back.
    floors: BTreeMap<MemberId, u64>,
}

/// A standing call: its origin, since when it stands, and its server and class.
pub type KnownCall = (Origin, f64, CallFact);

impl Store {
    /// A store that holds only the own stream, still empty.
    pub fn new(own: Origin) -> Store {
        Store { own, streams: BTreeMap::from([(own, Stream::default())]), floors: BTreeMap::new() }
    }

    /// The origin of the own stream.
    pub fn own_origin(&self) -> Origin {
        self.own
    }

    /// Moves the own stream to another incarnation, with all its records under new versions. What others may hold of
    /// the old one stays as a copy, since calls that end must be known as ended there, too.
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

    /// The stream of an origin, if it is held.
    pub fn stream(&self, origin: &Origin) -> Option<&Stream> {
        self.streams.get(origin)
    }

    /// The own stream, for writing.
    pub fn own_stream(&mut self) -> &mut Stream {
        self.streams.entry(self.own).or_default()
    }

    /// The copy of a stream, to apply changes to; `None` if the stream is forgotten, or is the own one, to which
    /// nobody else writes.
    pub fn copy_mut(&mut self, origin: Origin) -> Option<&mut Stream> {
        match origin == self.own || self.is_forgotten(&origin) {
            true => None,
            false => Some(self.streams.entry(origin).or_default()),
        }
    }

    /// Replaces the copy of a stream by a complete one.
    pub fn install(&mut self, origin: Origin, stream: Stream) {
        if origin != self.own && !self.is_forgotten(&origin) {
            self.streams.insert(origin, stream);
        }
    }

    /// All streams, in the order of origins.
    pub fn streams(&self) -> impl Iterator<Item = (&Origin, &Stream)> {
        self.streams.iter()
    }

    /// Whether a stream is over and forgotten.
    pub fn is_forgotten(&self, origin: &Origin) -> bool {
        self.floors.get(&origin.member).is_some_and(|floor| origin.life.number < *floor)
    }

    /// The floors, to be sent to others: for each member the incarnation below which its streams are over.
    pub fn floors(&self) -> impl Iterator<Item = (MemberId, u64)> + '_ {
        self.floors.iter().map(|(member, floor)| (*member, *floor))
    }

    /// Drops the streams of a member below an incarnation, and accepts them no more. Returns the dropped streams with
    /// their numbers of records. The own stream is never dropped.
    pub fn forget(&mut self, member: MemberId, below: u64) -> Vec<(Origin, usize)> {
        let floor = self.floors.entry(member).or_default();
        *floor = (*floor).max(below);
        let (floor, own) = (*floor, self.own);
        let over = |o: &Origin| o.member == member && o.life.number < floor && *o != own;
        let gone: Vec<Origin> = self.streams.keys().filter(|o| over(o)).copied().collect();
        let count = |o: Origin| (o, self.streams.remove(&o).map_or(0, |s| s.len()));
        gone.into_iter().map(count).collect()
    }

    /// Drops the streams of members that are no longer in the configuration.
    pub fn retain_members(&mut self, members: &[MemberId]) {
        let own = self.own;
        self.streams.retain(|o, _| *o == own || members.contains(&o.member));
        self.floors.retain(|m, _| members.contains(m));
    }

    /// Members with more than [`MAX_INCARNATIONS_PER_MEMBER`] streams, each with the floor that leaves the latest
    /// ones.
    pub fn excess_incarnations(&self) -> Vec<(MemberId, u64)> {
        let mut incarnations: BTreeMap<MemberId, Vec<u64>> = BTreeMap::new();
        for origin in self.streams.keys() {
            incarnations.entry(origin.member).or_default().push(origin.life.number);
        }
        let over = |(member, all): (MemberId, Vec<u64>)| {
            let floor = *all.get(all.len().checked_sub(MAX_INCARNATIONS_PER_MEMBER)?)?;
            (all.len() > MAX_INCARNATIONS_PER_MEMBER).then_some((member, floor))
        };
        incarnations.into_iter().filter_map(over).collect()
    }

    // ---- What follows from all streams

    /// Whether a call is known to be over: a recorded end wins over a record that the call stands, whoever wrote
    /// them.
    pub fn is_call_over(&self, id: u64) -> bool {
        self.streams.values().any(|stream| stream.get(&Key::Over(id)).is_some())
    }

    /// Whether a call is known to be over and its caller to have been told: some member recorded the end, or the
    /// origin has withdrawn the call.
    pub fn is_end_delivered(&self, id: u64) -> bool {
        self.is_call_over(id) || self.streams.values().any(|stream| stream.is_withdrawn(&Key::Call(id)))
    }

    /// A standing call, if its origin recorded it and nobody recorded its end.
    pub fn standing_call(&self, id: u64) -> Option<KnownCall> {
        let recorded = |(origin, stream): (&Origin, &Stream)| match stream.get(&Key::Call(id)) {
            Some((at, Value::Call(fact))) => Some((*origin, at, fact)),
            _ => None,
        };
        let known = self.streams.iter().find_map(recorded)?;
        (!self.is_call_over(id)).then_some(known)
    }

    /// The standing calls of a stream: id, since when, server and class.
    pub fn calls_in(stream: &Stream) -> impl Iterator<Item = (u64, f64, CallFact)> + '_ {
        let call = |(key, at, value)| match (key, value) {
            (Key::Call(id), Value::Call(fact)) => Some((id, at, fact)),
            _ => None,
        };
        stream.range(Key::Call(0)..=Key::Call(u64::MAX)).filter_map(call)
    }

    /// Ends that other members cannot deliver to a caller, by call id, and whether the call was cut.
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

    /// What others request of budgets beyond their parts. Only streams for which `counts` is true are considered.
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

    /// The leases to the own incarnation: the budget, the time of the evidence, and the part in millionths. Their
    /// lender need not be reachable: it does without the part until the lease has expired, also in a later
    /// incarnation.
    pub fn leases(&self) -> Vec<(BudgetKey, f64, u32)> {
        let to = self.own;
        // Of one lender the latest incarnation with a lease counts: one that raised its incarnation announces all
        // leases again.
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

    /// What others report of the servers, joined; for each server also who finds it silent, and since when. Only
    /// streams for which `counts` is true are considered.
    pub fn peer_observations(
        &self,
        counts: impl Fn(&Origin) -> bool,
    ) -> BTreeMap<ServerKey, ServerObservation> {
        let mut all: BTreeMap<ServerKey, ServerObservation> = BTreeMap::new();
        for (origin, stream) in self.streams.iter().filter(|(o, _)| **o != self.own && counts(o)) {
            let servers = Key::Server(ServerKey(0))..=Key::Silent(ServerKey(u64::MAX));
            for (key, at, value) in stream.range(servers) {
                let (server, observation) = match (key, value) {
                    (Key::Server(server), Value::Server(fact)) => {
                        (server, ServerObservation { at, fact, silent: None })
                    }
                    (Key::Silent(server), Value::Silent(started_ms)) => {
                        // A report of silence names a start of the server, and says nothing of its state.
                        let fact = ServerFact { started_ms, place: ServerState::Ready };
                        let silent = Some((at, origin.member));
                        (server, ServerObservation { at: f64::NEG_INFINITY, fact, silent })
                    }
                    _ => continue,
                };
                let joined = all.get(&server).map_or(observation, |held| held.join(&observation));
                all.insert(server, joined);
            }
        }
        all
    }
}

/// What other members report of a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerObservation {
    /// The time of the evidence for its state.
    pub at: f64,
    /// State and start, joined.
    pub fact: ServerFact,
    /// The youngest report that it is silent: its time and the member that reported it.
    pub silent: Option<(f64, MemberId)>,
}

impl ServerObservation {
    /// Joins two observations of one server. Commutative, associative and idempotent.
    pub fn join(&self, other: &ServerObservation) -> ServerObservation {
        let (at, fact) = join_servers((self.at, self.fact), (other.at, other.fact));
        // Silence belongs to one start of the server; a later start ends it.
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
