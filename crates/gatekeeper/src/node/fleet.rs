//! The other gatekeepers, where the own configuration names them: what is told to them, and what is done about what
//! they tell. The decisions are in the crates `membership` and `replica`; this module stands between them, the links
//! ([`super::peers`]) and the rest of the gatekeeper.

use std::collections::{BTreeMap, VecDeque};
use std::io;

use hollypaddle_config::Fleet as Conf;
use hollypaddle_core::calls::{CallChange, Calls};
use hollypaddle_membership::{Incarnation, MemberId};
use hollypaddle_policy::{PoolEntry, PoolId};
use hollypaddle_replica::adoption::Adopted;
use hollypaddle_replica::guard::Guard;
use hollypaddle_replica::member::{Act, Event};
use hollypaddle_replica::record::{class_key, CallFact, ServerKey, KINDS};
use hollypaddle_replica::Member;
use hollypaddle_service::figures::FleetFigures;
use serde_json::{json, Value};

use super::clients::Clients;
use super::clock::Clock;
use super::events::{log_member_event, EventLogLimiter};
use super::observations::{PeerObservations, ReportedServers};
use super::peers::Peers;
use super::poller::{Poller, Ready};
use super::servers::Servers;
use hollypaddle_membership::view::{Change as MembershipChange, State};

/// The end of a call that is not known is kept for so long while this member catches up, in seconds: it may learn that
/// the caller was told. It is owed within 1 s. Of so many at most; beyond that they are told at once.
const HOLD_UNKNOWN_END_S: f64 = 0.5;
const MAX_HELD_ENDS: usize = 4096;
/// This gatekeeper as a member of a fleet.
pub struct Fleet {
    conf: Conf,
    member: Member,
    peers: Peers,
    reported: ReportedServers,
    observations: PeerObservations,
    /// Calls of members that are gone whose server is not known here, and since when: the list may name it late. After that
    /// the server counts as gone, and the call as cut.
    unplaced: BTreeMap<u64, (Adopted, f64)>,
    /// Ends of calls that are not known yet, while this member catches up: when they came, and whether cut.
    held_ends: VecDeque<(f64, u64, bool)>,
    log_limiter: EventLogLimiter,
    /// The classes by number, as others know them.
    classes: Vec<u32>,
    /// Nothing may be sent, as this member was paused and what was believed is old.
    held: bool,
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
        poller: &mut Poller,
    ) -> io::Result<Fleet> {
        let Some(own) = conf.own(name) else {
            let what = format!("{name:?} is no member of the block `fleet`");
            return Err(io::Error::new(io::ErrorKind::InvalidInput, what));
        };
        let id = MemberId::of(&own.name);
        let incarnation = new_incarnation(now, seed);
        let members: Vec<MemberId> = conf.members.iter().map(|m| MemberId::of(&m.name)).collect();
        let mut member = Member::new(now, id, incarnation, conf.settings, members);
        let mut peers = Peers::listen(id, conf.listen.unwrap_or(own.address), poller)?;
        peers.set_members(now, named(conf), &mut member, poller);
        calls.record_changes(true);
        log::info!(name = own.name.as_str(), listen:% = peers.address(), members = conf.members.len(), life:% = incarnation; "fleet-joined");
        Ok(Fleet {
            conf: conf.clone(),
            member,
            peers,
            reported: ReportedServers::default(),
            observations: PeerObservations::new(now),
            unplaced: BTreeMap::new(),
            held_ends: VecDeque::new(),
            log_limiter: EventLogLimiter::new(now),
            classes: Vec::new(),
            held: false,
        })
    }

    /// Whether a configuration read anew needs another listener or name, and so another life.
    pub fn keeps_identity(&self, conf: &Conf, name: &str) -> bool {
        let own = |c: &Conf| c.own(name).map(|own| (own.name.clone(), c.listen.unwrap_or(own.address)));
        own(conf) == own(&self.conf)
    }

    /// Takes members and settings read anew.
    pub fn reconfigure(&mut self, now: f64, conf: &Conf, poller: &Poller) {
        let members: Vec<MemberId> = conf.members.iter().map(|m| MemberId::of(&m.name)).collect();
        self.member.change(conf.settings, &members);
        self.peers.set_members(now, named(conf), &mut self.member, poller);
        self.conf = conf.clone();
    }

    /// Takes the names of the classes, by number.
    pub fn set_classes(&mut self, names: &[String]) {
        self.classes = names.iter().map(|name| class_key(name)).collect();
    }

    /// Leaves: says so, closes all links, and notes no more.
    pub fn leave(mut self, now: f64, calls: &mut Calls, poller: &Poller) {
        self.record_call_changes(now, calls);
        self.peers.send_due(now, &mut self.member, poller);
        self.peers.send_leave(poller);
        self.peers.close_all(now, &mut self.member, poller);
        calls.record_changes(false);
    }

    /// One that was joined and is not to count after all: closes its sockets, and touches nothing else.
    pub fn discard(mut self, now: f64, poller: &Poller) {
        self.peers.send_leave(poller);
        self.peers.close_all(now, &mut self.member, poller);
    }

    /// Whether it may be said to be ready.
    pub fn ready(&self) -> bool {
        self.member.ready()
    }

    /// When more may be said to a member that waits for it, if one does.
    pub fn next_send_at(&self) -> Option<f64> {
        self.member.gives_at()
    }

    /// A call of which another member said that it stands.
    pub fn adopted_call(&self, id: u64) -> Option<Adopted> {
        self.member.call(id)
    }

    /// A server told the end of a call that is not known here; returns whether its caller is to be told now. It is
    /// where the call stood through another gatekeeper, or may have stood here `earlier`, and nobody told it yet.
    pub fn handle_unknown_end(&mut self, now: f64, id: u64, cut: bool, earlier: bool) -> bool {
        if self.member.call(id).is_some() {
            return true;
        }
        if !earlier || self.member.store().told(id) {
            return false;
        }
        let keep = !self.member.ready() && self.held_ends.len() < MAX_HELD_ENDS;
        // A server says an end again on each new connection.
        if keep && !self.held_ends.iter().any(|(_, kept, _)| *kept == id) {
            self.held_ends.push_back((now, id, cut));
        }
        !keep
    }

    /// Tells the ends that were kept, but for those that somebody else told.
    fn deliver_held_ends(&mut self, now: f64, calls: &mut Calls) {
        let ready = self.member.ready();
        while let Some((_, id, cut)) =
            self.held_ends.pop_front_if(|(at, ..)| ready || now - *at >= HOLD_UNKNOWN_END_S)
        {
            if !self.member.store().told(id) {
                calls.report_end(id, cut);
            }
        }
    }

    /// Where a call's server is here.
    pub fn pool_of(&self, server: ServerKey) -> Option<PoolId> {
        self.reported.pool_of(server)
    }

    /// Whether other members have callers whom they could tell the ends of calls.
    pub fn others_have_callers(&self) -> bool {
        self.member.others_have_callers()
    }

    /// Hands the ends for which no caller is here to members that have some.
    pub fn hand_over_ends(&mut self, now: f64, clients: &mut Clients) {
        let here = clients.has_fallback_connection();
        self.member.callers(here);
        if !here && self.member.others_have_callers() {
            clients.take_undelivered().for_each(|(id, cut)| self.member.owes(now, id, cut));
        }
    }

    /// What members say to each other, for the shares of budgets.
    pub fn member(&mut self) -> &mut Member {
        &mut self.member
    }

    // ---- The three places of a turn

    /// Takes what is ready, if it is a link's.
    pub fn handle_ready(&mut self, now: f64, ready: Ready, poller: &mut Poller) {
        self.peers.handle_ready(now, ready, &mut self.member, poller);
    }

    /// What time brings, before anything that came is taken: after a pause nothing may be sent by what was believed.
    pub fn tick(&mut self, now: f64, guard: &mut Guard) -> bool {
        self.member.tick(now);
        let resumed = self.log_events(now);
        self.held = (self.held || resumed) && !self.member.ready();
        guard.hold(self.held);
        resumed
    }

    /// Looks after links, tells what is known here and takes over what others know; returns the lines of the list that
    /// this changes. Called now and then.
    pub fn maintain(
        &mut self,
        now: f64,
        list_at: f64,
        servers: &Servers,
        calls: &mut Calls,
        guard: &mut Guard,
        poller: &mut Poller,
    ) -> Vec<PoolEntry> {
        self.peers.maintain(now, &mut self.member, poller);
        if self.member.view().superseded() {
            self.peers.close_all(now, &mut self.member, poller);
        }
        self.reported.report_changes(now, servers, &mut self.member);
        self.apply_actions(now, calls);
        self.adopt_unplaced(now, calls);
        self.deliver_held_ends(now, calls);
        let late = self.conf.settings.lists_late;
        self.observations.update(now, &self.member.hearsay(), (list_at, late), servers, guard)
    }

    /// Carries out: tells what has become of calls, and says what is due on every link that has room.
    pub fn send_pending(&mut self, now: f64, calls: &mut Calls, poller: &Poller) {
        self.record_call_changes(now, calls);
        self.apply_actions(now, calls);
        self.peers.send_due(now, &mut self.member, poller);
    }

    // ---- What is told

    fn record_call_changes(&mut self, now: f64, calls: &mut Calls) {
        for change in calls.take_changes() {
            match change {
                CallChange::Established { id, class, pool, since } => {
                    if let Some(server) = self.reported.server_of(pool) {
                        let fact = CallFact { server, class: self.classes.get(class).copied().unwrap_or(0) };
                        self.member.stands(since, id, fact);
                    }
                }
                CallChange::Ended { id } => {
                    self.unplaced.remove(&id);
                    self.member.ended(now, id);
                }
            }
        }
    }

    // ---- What is heard

    /// The lines of a list, with what others know.
    pub fn overlay(&self, entries: &mut [PoolEntry], list_at: f64) {
        self.observations.overlay(entries, list_at, self.conf.settings.lists_late);
    }

    fn apply_actions(&mut self, now: f64, calls: &mut Calls) {
        for act in self.member.acts() {
            match act {
                Act::Adopt(id, call) => match self.pool_of(call.fact.server) {
                    Some(pool) => calls.adopt(id, pool, call.since),
                    None => drop(self.unplaced.insert(id, (call, now))),
                },
                Act::Yield(id) => {
                    self.unplaced.remove(&id);
                    calls.drop_adopted(id);
                }
                Act::EndedElsewhere(id) => calls.ended_elsewhere(id),
                Act::Tell(id, cut) => calls.report_end(id, cut),
            }
        }
    }

    /// Finds the servers of calls that were adopted before their server was known here.
    fn adopt_unplaced(&mut self, now: f64, calls: &mut Calls) {
        let mut placed = Vec::new();
        for (id, (call, since)) in &self.unplaced {
            match self.pool_of(call.fact.server) {
                Some(pool) => {
                    calls.adopt(*id, pool, call.since);
                    placed.push(*id);
                }
                None if now - since >= self.conf.settings.lists_late => {
                    calls.report_end(*id, true);
                    placed.push(*id);
                }
                None => {}
            }
        }
        self.unplaced.retain(|id, _| !placed.contains(id));
    }

    /// Writes events to the log, as far as that may be; returns whether this member was paused.
    fn log_events(&mut self, now: f64) -> bool {
        let mut resumed = false;
        for event in self.member.events() {
            resumed |= matches!(event, Event::Member(MembershipChange::Resumed(_)));
            if self.log_limiter.may_log_event(now, &event) {
                log_member_event(&event, |id| self.peers.name(id));
            }
        }
        resumed
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
            calls_adopted_now: calls.adopted_count() as u64,
            calls_adopted: counts.adopted,
            conflicts: counts.conflicts,
            copies_differed: counts.differed,
            copies_mended: counts.mended,
            records_left_out: counts.left_out,
            links_refused: self.peers.counts.refused,
            bytes_said: self.peers.counts.bytes_sent,
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
                "life": r.incarnation.map(|i| i.to_string()), "silent_ms": r.silent_s.map(|s| (s * 1000.0).round()),
                "others_ms": r.observed_ago_s.map(|s| (s * 1000.0).round()), "linked": r.linked,
                "hears_us": !r.not_receiving, "ready": r.ready,
            })
        };
        json!({
            "name": self.conf.members.iter().find(|m| MemberId::of(&m.name) == view.own_id()).map(|m| &m.name),
            "life": view.incarnation().to_string(), "ready": self.member.ready(), "held": self.held,
            "quorum": view.has_quorum(), "superseded": view.superseded(),
            "members": view.snapshot(now).iter().map(row).collect::<Vec<_>>(),
        })
    }

    /// The report on what is held.
    pub fn report_replica(&self, calls: &Calls) -> Value {
        let row = |r: &hollypaddle_replica::member::Row| {
            json!({
                "member": self.peers.name(r.origin.member), "own": r.origin.member == self.member.view().own_id(),
                "life": r.origin.life.to_string(), "version": r.version, "hash": format!("{:016x}", r.hash),
                KINDS[0]: r.counts[0], KINDS[1]: r.counts[1], KINDS[2]: r.counts[2], KINDS[3]: r.counts[3],
                KINDS[4]: r.counts[4], KINDS[5]: r.counts[5], KINDS[6]: r.counts[6], "lag": r.lag,
            })
        };
        let (given, taken, fetching) = self.member.caught();
        let said = &self.peers.counts.by_kind.records;
        let records: serde_json::Map<String, Value> =
            KINDS.iter().zip(said).map(|(kind, bytes)| (kind.to_string(), json!(bytes))).collect();
        json!({
            "streams": self.member.snapshot().iter().map(row).collect::<Vec<_>>(),
            "counts": self.member.counts, "links": self.peers.counts, "records_said": records, "given": given, "taken": taken,
            "fetching": fetching, "adopted": calls.adopted_count(), "unplaced": self.unplaced.len(),
        })
    }
}

/// The life that begins now.
pub fn new_incarnation(now: f64, seed: u64) -> Incarnation {
    // The seed is new with each start, and so is the process.
    let nonce = seed ^ u64::from(std::process::id()).rotate_left(40) ^ Clock::new().now().to_bits();
    Incarnation { number: (now.max(0.0) * 1e6) as u64, nonce }
}

fn named(conf: &Conf) -> impl Iterator<Item = (MemberId, String, std::net::SocketAddr)> + '_ {
    conf.members.iter().map(|m| (MemberId::of(&m.name), m.name.clone(), m.address))
}
