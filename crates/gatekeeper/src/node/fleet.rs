//! The other gatekeepers, where the own configuration names them: what is told to them, and what is done about what
//! they tell. The decisions are in the crates `membership` and `replica`; this module stands between them, the links
//! ([`super::peers`]) and the rest of the gatekeeper.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::io;

use hollypaddle_config::Fleet as Conf;
use hollypaddle_core::calls::{Calls, Change};
use hollypaddle_membership::{Life, MemberId};
use hollypaddle_platform::list::Readiness;
use hollypaddle_policy::{PoolEntry, PoolId};
use hollypaddle_replica::adoption::Adopted;
use hollypaddle_replica::guard::{overlay, Guard};
use hollypaddle_replica::member::{Act, Event};
use hollypaddle_replica::record::{class_key, CallFact, Place, ServerFact, ServerKey, KINDS};
use hollypaddle_replica::store::Said;
use hollypaddle_replica::Member;
use hollypaddle_service::figures::FleetFigures;
use serde_json::{json, Value};

use super::clients::Clients;
use super::clock::Clock;
use super::peers::Peers;
use super::poller::{Ready, Watch};
use super::servers::Servers;
use hollypaddle_membership::view::{Change as Seen, State};

/// The end of a call that is not known is kept for so long while this member catches up, in seconds: it may learn that
/// the caller was told. It is owed within 1 s. Of so many at most; beyond that they are told at once.
const KEPT_FOR: f64 = 0.5;
const MOST_KEPT: usize = 4096;
/// Events written to the log at once, and a second; more are counted. A link that flaps must not fill the log.
const LINES: f64 = 40.0;
const LINES_PER_S: f64 = 2.0;

/// How much may be written to the log.
struct Lines {
    left: f64,
    at: f64,
    dropped: u64,
}

impl Lines {
    /// Whether an event may be written; how many were not, before it. What befalls the own member comes seldom and says
    /// whether it takes calls: it is always written, and takes nothing from the others.
    fn take(&mut self, now: f64, event: &Event) -> Option<u64> {
        if matches!(event, Event::CaughtUp(..) | Event::Member(Seen::Woke(_) | Seen::Superseded(_))) {
            return Some(0);
        }
        self.left = (self.left + (now - self.at).max(0.0) * LINES_PER_S).min(LINES);
        self.at = now;
        if self.left < 1.0 {
            self.dropped += 1;
            return None;
        }
        self.left -= 1.0;
        Some(std::mem::take(&mut self.dropped))
    }
}

/// This gatekeeper as a member of a fleet.
pub struct Fleet {
    conf: Conf,
    member: Member,
    peers: Peers,
    /// What was told of each server, to tell what changes.
    told: BTreeMap<PoolId, (ServerKey, ServerFact, bool)>,
    /// What others say of each server, and when the own list was heard, as it was last looked at.
    said: HashMap<PoolId, Said>,
    list_at: f64,
    /// Calls of members that are gone whose server is not known here, and since when: the list may name it late. After that
    /// the server counts as gone, and the call as cut.
    unplaced: BTreeMap<u64, (Adopted, f64)>,
    /// Ends of calls that are not known yet, while this member catches up: when they came, and whether cut.
    kept: VecDeque<(f64, u64, bool)>,
    lines: Lines,
    /// The classes by number, as others know them.
    classes: Vec<u32>,
    /// Nothing may be sent, as this member was paused and what was believed is old.
    woken: bool,
}

impl Fleet {
    /// Joins: listens, with nothing known. The life is later than any that began before by a clock that was right; where
    /// it was not, the others know, and say so.
    pub fn join(
        now: f64,
        conf: &Conf,
        name: &str,
        seed: u64,
        calls: &mut Calls,
        watch: &mut Watch,
    ) -> io::Result<Fleet> {
        let Some(own) = conf.own(name) else {
            let what = format!("{name:?} is no member of the block `fleet`");
            return Err(io::Error::new(io::ErrorKind::InvalidInput, what));
        };
        let id = MemberId::of(&own.name);
        // The seed is new with each start, and so is the process.
        let nonce = seed ^ u64::from(std::process::id()).rotate_left(40) ^ Clock::new().now().to_bits();
        let life = Life { incarnation: (now.max(0.0) * 1e6) as u64, nonce };
        let members: Vec<MemberId> = conf.members.iter().map(|m| MemberId::of(&m.name)).collect();
        let mut member = Member::new(now, id, life, conf.settings, members);
        let mut peers = Peers::listen(id, conf.listen.unwrap_or(own.address), watch)?;
        peers.members(now, named(conf), &mut member, watch);
        calls.note_changes(true);
        let lines = Lines { left: LINES, at: now, dropped: 0 };
        log::info!(name = own.name.as_str(), listen:% = peers.address(), members = conf.members.len(), life:%; "fleet-joined");
        Ok(Fleet {
            conf: conf.clone(),
            member,
            peers,
            told: BTreeMap::new(),
            said: HashMap::new(),
            list_at: now,
            unplaced: BTreeMap::new(),
            kept: VecDeque::new(),
            lines,
            classes: Vec::new(),
            woken: false,
        })
    }

    /// Whether a configuration read anew needs another listener or name, and so another life.
    pub fn stays(&self, conf: &Conf, name: &str) -> bool {
        let own = |c: &Conf| c.own(name).map(|own| (own.name.clone(), c.listen.unwrap_or(own.address)));
        own(conf) == own(&self.conf)
    }

    /// Takes members and settings read anew.
    pub fn change(&mut self, now: f64, conf: &Conf, watch: &Watch) {
        let members: Vec<MemberId> = conf.members.iter().map(|m| MemberId::of(&m.name)).collect();
        self.member.change(conf.settings, &members);
        self.peers.members(now, named(conf), &mut self.member, watch);
        self.conf = conf.clone();
    }

    /// Takes the names of the classes, by number.
    pub fn set_classes(&mut self, names: &[String]) {
        self.classes = names.iter().map(|name| class_key(name)).collect();
    }

    /// Leaves: says so, closes all links, and notes no more.
    pub fn leave(mut self, now: f64, calls: &mut Calls, watch: &Watch) {
        self.tell(now, calls);
        self.peers.say(now, &mut self.member, watch);
        self.peers.leave(watch);
        self.peers.shut(now, &mut self.member, watch);
        calls.note_changes(false);
    }

    /// One that was joined and is not to count after all: closes its sockets, and touches nothing else.
    pub fn undo(mut self, now: f64, watch: &Watch) {
        self.peers.leave(watch);
        self.peers.shut(now, &mut self.member, watch);
    }

    /// Whether it may be said to be ready.
    pub fn ready(&self) -> bool {
        self.member.ready()
    }

    /// When more may be said to a member that waits for it, if one does.
    pub fn gives_at(&self) -> Option<f64> {
        self.member.gives_at()
    }

    /// A call of which another member said that it stands.
    pub fn call(&self, id: u64) -> Option<Adopted> {
        self.member.call(id)
    }

    /// A server told the end of a call that is not known here; returns whether its caller is to be told now. It is
    /// where the call stood through another gatekeeper, or may have stood here `earlier`, and nobody told it yet.
    pub fn end(&mut self, now: f64, id: u64, cut: bool, earlier: bool) -> bool {
        if self.member.call(id).is_some() {
            return true;
        }
        if !earlier || self.member.store().told(id) {
            return false;
        }
        let keep = !self.member.ready() && self.kept.len() < MOST_KEPT;
        // A server says an end again on each new connection.
        if keep && !self.kept.iter().any(|(_, kept, _)| *kept == id) {
            self.kept.push_back((now, id, cut));
        }
        !keep
    }

    /// Tells the ends that were kept, but for those that somebody else told.
    fn tell_kept(&mut self, now: f64, calls: &mut Calls) {
        let ready = self.member.ready();
        while let Some((_, id, cut)) = self.kept.pop_front_if(|(at, ..)| ready || now - *at >= KEPT_FOR) {
            if !self.member.store().told(id) {
                calls.tell_end(id, cut);
            }
        }
    }

    /// Where a call's server is here.
    pub fn pool(&self, server: ServerKey) -> Option<PoolId> {
        self.told.iter().find(|(_, told)| told.0 == server).map(|(pool, _)| *pool)
    }

    /// Hands the ends for which no caller is here to members that have some.
    pub fn hand_over(&mut self, now: f64, clients: &mut Clients) {
        let here = clients.has_heir();
        self.member.callers(here);
        if !here && self.member.others_have_callers() {
            clients.hand_over().for_each(|(id, cut)| self.member.owes(now, id, cut));
        }
    }

    /// What members say to each other, for the shares of budgets.
    pub fn member(&mut self) -> &mut Member {
        &mut self.member
    }

    // ---- The three places of a turn

    /// Takes what is ready, if it is a link's.
    pub fn heard(&mut self, now: f64, ready: Ready, watch: &mut Watch) {
        self.peers.ready(now, ready, &mut self.member, watch);
    }

    /// What time brings, before anything that came is taken: after a pause nothing may be sent by what was believed.
    pub fn tick(&mut self, now: f64, guard: &mut Guard) -> bool {
        self.member.tick(now);
        let woke = self.events(now);
        self.woken = (self.woken || woke) && !self.member.ready();
        guard.hold(self.woken);
        woke
    }

    /// Looks after links, tells what is known here and takes over what others know; returns the lines of the list that
    /// this changes. Called now and then.
    pub fn beat(
        &mut self,
        now: f64,
        list_at: f64,
        servers: &Servers,
        calls: &mut Calls,
        guard: &mut Guard,
        watch: &mut Watch,
    ) -> Vec<PoolEntry> {
        self.peers.beat(now, &mut self.member, watch);
        if self.member.view().superseded() {
            self.peers.shut(now, &mut self.member, watch);
        }
        self.tell_servers(now, servers);
        self.acts(now, calls);
        self.place(now, calls);
        self.tell_kept(now, calls);
        self.listen(now, list_at, servers, guard)
    }

    /// Carries out: tells what has become of calls, and says what is due on every link that has room.
    pub fn carry_out(&mut self, now: f64, calls: &mut Calls, watch: &Watch) {
        self.tell(now, calls);
        self.acts(now, calls);
        self.peers.say(now, &mut self.member, watch);
    }

    // ---- What is told

    fn tell(&mut self, now: f64, calls: &mut Calls) {
        for change in calls.changes() {
            match change {
                Change::Stands { id, class, pool, since } => {
                    if let Some((server, ..)) = self.told.get(&pool) {
                        let fact = CallFact {
                            server: *server,
                            class: self.classes.get(class).copied().unwrap_or(0),
                        };
                        self.member.stands(since, id, fact);
                    }
                }
                Change::Over { id } => {
                    self.unplaced.remove(&id);
                    self.member.ended(now, id);
                }
            }
        }
    }

    fn tell_servers(&mut self, now: f64, servers: &Servers) {
        let mut gone: Vec<PoolId> = self.told.keys().copied().collect();
        for known in servers.known() {
            gone.retain(|pool| *pool != known.pool);
            let server = ServerKey::of(known.name);
            let place = match known.listed.readiness {
                Readiness::Ready => Place::Ready,
                Readiness::Draining => Place::Draining,
            };
            let started_ms = (known.listed.started.max(0.0) * 1000.0) as u64;
            let (fact, silent) = (ServerFact { started_ms, place }, known.silent_at.is_some());
            let old = self.told.insert(known.pool, (server, fact, silent));
            if old.is_none_or(|(_, told, _)| told != fact) {
                self.member.server(now, server, fact);
            }
            if old.map_or(silent, |(_, told, was)| was != silent || silent && told != fact) {
                // The time counts at which what was not answered was sent.
                self.member.silent(now, server, started_ms, known.silent_at);
            }
        }
        for pool in gone {
            let Some((server, fact, _)) = self.told.remove(&pool) else { continue };
            self.member.server(now, server, ServerFact { place: Place::Gone, ..fact });
            self.member.silent(now, server, fact.started_ms, None);
        }
    }

    // ---- What is heard

    /// Takes over what others say of the servers; returns the lines of the list that change by it.
    fn listen(&mut self, now: f64, list_at: f64, servers: &Servers, guard: &mut Guard) -> Vec<PoolEntry> {
        let hearsay = self.member.hearsay();
        let mut said = HashMap::new();
        for known in servers.known() {
            let of = hearsay.get(&ServerKey::of(known.name));
            let started_ms = (known.listed.started.max(0.0) * 1000.0) as u64;
            let silent = of.filter(|s| s.fact.started_ms >= started_ms).and_then(|s| s.silent);
            guard.silence(now, known.pool, silent.map(|(at, _)| at), known.word_at);
            said.extend(of.map(|of| (known.pool, *of)));
        }
        let ready = servers.known().filter(|k| k.listed.readiness == Readiness::Ready).map(|k| k.pool);
        guard.in_service(&ready.collect::<Vec<PoolId>>());
        let old = std::mem::replace(&mut self.said, said);
        let old_at = std::mem::replace(&mut self.list_at, list_at);
        let entries = servers.entries().into_iter();
        let late = self.conf.settings.lists_late;
        let was = |e: &PoolEntry| overlay(*e, old.get(&e.pool), old_at, late);
        let is = |e: &PoolEntry| overlay(*e, self.said.get(&e.pool), list_at, late);
        entries.filter(|e| was(e) != is(e)).map(|e| is(&e)).collect()
    }

    /// The lines of a list, with what others know.
    pub fn overlay(&self, entries: &mut [PoolEntry], list_at: f64) {
        for entry in entries {
            *entry = overlay(*entry, self.said.get(&entry.pool), list_at, self.conf.settings.lists_late);
        }
    }

    fn acts(&mut self, now: f64, calls: &mut Calls) {
        for act in self.member.acts() {
            match act {
                Act::Adopt(id, call) => match self.pool(call.fact.server) {
                    Some(pool) => calls.adopt(id, pool, call.since),
                    None => drop(self.unplaced.insert(id, (call, now))),
                },
                Act::Yield(id) => {
                    self.unplaced.remove(&id);
                    calls.yield_call(id);
                }
                Act::EndedElsewhere(id) => calls.ended_elsewhere(id),
                Act::Tell(id, cut) => calls.tell_end(id, cut),
            }
        }
    }

    /// Finds the servers of calls that were adopted before their server was known here.
    fn place(&mut self, now: f64, calls: &mut Calls) {
        let mut placed = Vec::new();
        for (id, (call, since)) in &self.unplaced {
            match self.pool(call.fact.server) {
                Some(pool) => {
                    calls.adopt(*id, pool, call.since);
                    placed.push(*id);
                }
                None if now - since >= self.conf.settings.lists_late => {
                    calls.tell_end(*id, true);
                    placed.push(*id);
                }
                None => {}
            }
        }
        self.unplaced.retain(|id, _| !placed.contains(id));
    }

    /// Writes events to the log, as far as that may be; returns whether this member was paused.
    fn events(&mut self, now: f64) -> bool {
        let mut woke = false;
        for event in self.member.events() {
            woke |= matches!(event, Event::Member(Seen::Woke(_)));
            let Some(dropped) = self.lines.take(now, &event) else { continue };
            if dropped > 0 {
                log::info!(events = dropped; "fleet-events-left-out");
            }
            let name = |id: MemberId| self.peers.name(id);
            match event {
                Event::Member(seen) => match seen {
                    Seen::Alive(m) => log::info!(member = name(m).as_str(); "member-alive"),
                    Seen::Suspected(m, silent_s) => {
                        log::info!(member = name(m).as_str(), silent_s; "member-suspected");
                    }
                    Seen::Gone(m, refused) => {
                        log::warn!(member = name(m).as_str(), refused; "member-gone");
                    }
                    Seen::Returned(m) => log::info!(member = name(m).as_str(); "member-returned"),
                    Seen::Restarted(m, life) => {
                        log::info!(member = name(m).as_str(), life:%; "member-restarted");
                    }
                    Seen::Deaf(m) => log::warn!(member = name(m).as_str(); "member-does-not-hear-us"),
                    Seen::Hears(m) => log::info!(member = name(m).as_str(); "member-hears-us"),
                    Seen::Raised(life) => log::info!(life:%; "fleet-life-raised"),
                    Seen::Superseded(life) => log::error!(life:%; "fleet-superseded"),
                    Seen::Woke(paused_s) => log::warn!(paused_s; "fleet-woke"),
                },
                Event::CaughtUp(how, after_s) => {
                    let how = format!("{how:?}").to_lowercase();
                    log::info!(how = how.as_str(), after_s; "fleet-caught-up");
                }
                Event::Conflict(origin, c) => {
                    log::warn!(
                        member = name(origin.member).as_str(), life:% = origin.life, version = c.version,
                        key:? = c.key, held:? = c.held, told:? = c.told; "replica-conflict"
                    );
                }
                Event::Differs(origin, from) => {
                    log::warn!(
                        member = name(origin.member).as_str(), life:% = origin.life, from = name(from).as_str();
                        "replica-differs"
                    );
                }
                Event::Mended(origin) => {
                    log::info!(member = name(origin.member).as_str(), life:% = origin.life; "replica-mended");
                }
                Event::Forgotten(origin, records) => {
                    log::info!(member = name(origin.member).as_str(), life:% = origin.life, records; "replica-forgotten");
                }
                Event::LeftOut(records) => log::warn!(records; "replica-full"),
            }
        }
        woke
    }

    // ---- Reports

    /// The figures.
    pub fn figures(&self, calls: &Calls) -> FleetFigures {
        let states = |of: fn(&State) -> bool| {
            self.member.view().peers().filter(|m| of(&self.member.view().state(*m))).count() as u64
        };
        let counts = self.member.counts;
        FleetFigures {
            members_alive: states(|s| matches!(s, State::Alive)),
            members_suspected: states(|s| matches!(s, State::Suspected(_))),
            members_gone: states(|s| matches!(s, State::Gone(_))),
            records: self.member.store().streams().map(|(_, s)| s.len() as u64).sum(),
            calls_adopted_now: calls.adopted() as u64,
            calls_adopted: counts.adopted,
            conflicts: counts.conflicts,
            copies_differed: counts.differed,
            copies_mended: counts.mended,
            records_left_out: counts.left_out,
            links_refused: self.peers.counts.refused,
            bytes_said: self.peers.counts.bytes,
        }
    }

    /// The report on members.
    pub fn report_members(&self, now: f64) -> Value {
        let view = self.member.view();
        let row = |r: &hollypaddle_membership::view::Row| {
            let district = self.conf.members.iter().find(|m| MemberId::of(&m.name) == r.member);
            json!({
                "name": self.peers.name(r.member), "state": r.state.name(),
                "district": district.and_then(|m| m.district.clone()),
                "life": r.life.map(|l| l.to_string()), "silent_ms": r.silent.map(|s| (s * 1000.0).round()),
                "others_ms": r.others.map(|s| (s * 1000.0).round()), "linked": r.linked,
                "hears_us": !r.deaf, "ready": r.ready,
            })
        };
        json!({
            "name": self.conf.members.iter().find(|m| MemberId::of(&m.name) == view.own()).map(|m| &m.name),
            "life": view.life().to_string(), "ready": self.member.ready(), "held": self.woken,
            "quorum": view.quorum(), "superseded": view.superseded(),
            "members": view.snapshot(now).iter().map(row).collect::<Vec<_>>(),
        })
    }

    /// The report on what is held.
    pub fn report_replica(&self, calls: &Calls) -> Value {
        let row = |r: &hollypaddle_replica::member::Row| {
            json!({
                "member": self.peers.name(r.origin.member), "own": r.origin.member == self.member.view().own(),
                "life": r.origin.life.to_string(), "version": r.version, "hash": format!("{:016x}", r.hash),
                KINDS[0]: r.counts[0], KINDS[1]: r.counts[1], KINDS[2]: r.counts[2], KINDS[3]: r.counts[3],
                KINDS[4]: r.counts[4], KINDS[5]: r.counts[5], KINDS[6]: r.counts[6], "lag": r.lag,
            })
        };
        let (given, taken, fetching) = self.member.caught();
        let said = &self.peers.counts.split.records;
        let records: serde_json::Map<String, Value> =
            KINDS.iter().zip(said).map(|(kind, bytes)| (kind.to_string(), json!(bytes))).collect();
        json!({
            "streams": self.member.snapshot().iter().map(row).collect::<Vec<_>>(),
            "counts": self.member.counts, "links": self.peers.counts, "records_said": records, "given": given, "taken": taken,
            "fetching": fetching, "adopted": calls.adopted(), "unplaced": self.unplaced.len(),
        })
    }
}

fn named(conf: &Conf) -> impl Iterator<Item = (MemberId, String, std::net::SocketAddr)> + '_ {
    conf.members.iter().map(|m| (MemberId::of(&m.name), m.name.clone(), m.address))
}

#[cfg(test)]
mod tests;
