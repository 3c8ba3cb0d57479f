//! This gatekeeper as a member of a small fleet: what it reports to the other gatekeepers, and what it does about their
//! reports. The decisions are made in the crates `membership` and `replica`. This module connects them with the links
//! ([`super::peers`]) and the rest of the gatekeeper.

use std::collections::{BTreeMap, VecDeque};
use std::io;

use hollypaddle_config::Fleet as Conf;
use hollypaddle_core::calls::{CallChange, Calls};
use hollypaddle_membership::{Incarnation, MemberId};
use hollypaddle_policy::{PoolEntry, PoolId};
use hollypaddle_replica::adoption::AdoptedCall;
use hollypaddle_replica::guard::Guard;
use hollypaddle_replica::member::{CallAction, Event};
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

/// How long the end of an unknown call is held while this member catches up, since it may still learn that the caller has
/// received it. Callers must receive an end within 1 s.
const HOLD_UNKNOWN_END_S: f64 = 0.5;
/// Ends of unknown calls that are held at once. Further ones are delivered immediately.
const MAX_HELD_ENDS: usize = 4096;
/// This gatekeeper as a member of a fleet.
pub struct Fleet {
    conf: Conf,
    member: Member,
    peers: Peers,
    reported: ReportedServers,
    observations: PeerObservations,
    /// Adopted calls whose server is not known here, and when they were adopted. The list may name the server late. After
    /// `lists_late` the server is considered gone and the call cut.
    unplaced: BTreeMap<u64, (AdoptedCall, f64)>,
    /// Ends of calls that are not known yet while this member catches up: arrival time, call, and whether it was cut.
    held_ends: VecDeque<(f64, u64, bool)>,
    log_limiter: EventLogLimiter,
    /// By the number of each class, the key under which other members know it.
    classes: Vec<u32>,
    /// Nothing may be sent, since this member was paused and its knowledge is outdated.
    held: bool,
}

impl Fleet {
    /// Joins the fleet: listens for links, with nothing known. The new incarnation is later than any earlier one whose clock was
    /// right. If a clock was wrong, the other members know of the later incarnation and report it.
    pub fn join(
        now: f64,
        conf: &Conf,
        name: &str,
        seed: u64,
        calls: &mut Calls,
        poller: &mut Poller,
    ) -> io::Result<Fleet> {
        let Some(own) = conf.own_member(name) else {
            let what = format!("{name:?} is not a member of the block `fleet`");
            return Err(io::Error::new(io::ErrorKind::InvalidInput, what));
        };
        let id = MemberId::of(&own.name);
        let incarnation = new_incarnation(now, seed);
        let members: Vec<MemberId> = conf.members.iter().map(|m| MemberId::of(&m.name)).collect();
        let mut member = Member::new(now, id, incarnation, conf.settings, members);
        let mut peers = Peers::listen(id, conf.listen.unwrap_or(own.address), poller)?;
        peers.set_members(now, configured_members(conf), &mut member, poller);
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

    /// Whether a reloaded configuration keeps this member's listener and name. If not, it needs a new incarnation.
    pub fn keeps_identity(&self, conf: &Conf, name: &str) -> bool {
        let own =
            |c: &Conf| c.own_member(name).map(|own| (own.name.clone(), c.listen.unwrap_or(own.address)));
        own(conf) == own(&self.conf)
    }

    /// Applies the members and settings of a reloaded configuration.
    pub fn reconfigure(&mut self, now: f64, conf: &Conf, poller: &Poller) {
        let members: Vec<MemberId> = conf.members.iter().map(|m| MemberId::of(&m.name)).collect();
        self.member.reconfigure(conf.settings, &members);
        self.peers.set_members(now, configured_members(conf), &mut self.member, poller);
        self.conf = conf.clone();
    }

    /// Sets the names of the classes, by number.
    pub fn set_classes(&mut self, names: &[String]) {
        self.classes = names.iter().map(|name| class_key(name)).collect();
    }

    /// Leaves the fleet: announces it, closes all links, and stops recording changes of calls.
    pub fn leave(mut self, now: f64, calls: &mut Calls, poller: &Poller) {
        self.record_call_changes(now, calls);
        self.peers.send_due(now, &mut self.member, poller);
        self.peers.send_leave(poller);
        self.peers.close_all(now, &mut self.member, poller);
        calls.record_changes(false);
    }

    /// Discards a fleet that was joined but will not be used: closes its sockets and changes nothing else.
    pub fn discard(mut self, now: f64, poller: &Poller) {
        self.peers.send_leave(poller);
        self.peers.close_all(now, &mut self.member, poller);
    }

    /// Whether this member has caught up.
    pub fn ready(&self) -> bool {
        self.member.is_caught_up()
    }

    /// Returns when more may be sent to a member that waits for it, if any.
    pub fn next_send_at(&self) -> Option<f64> {
        self.member.next_send_at()
    }

    /// Returns a call that another member reported as standing.
    pub fn adopted_call(&self, id: u64) -> Option<AdoptedCall> {
        self.member.call_elsewhere(id)
    }

    /// Handles the end of a call that is not known here, as reported by a server; returns whether to send it to the caller now.
    /// That is so if the call was established through another gatekeeper, or possibly through an earlier process of this one
    /// (`earlier`) and no member has delivered its end yet.
    pub fn handle_unknown_end(&mut self, now: f64, id: u64, cut: bool, earlier: bool) -> bool {
        if self.member.call_elsewhere(id).is_some() {
            return true;
        }
        if !earlier || self.member.store().is_end_delivered(id) {
            return false;
        }
        let hold = !self.member.is_caught_up() && self.held_ends.len() < MAX_HELD_ENDS;
        // Servers repeat an end on each new connection.
        if hold && !self.held_ends.iter().any(|(_, held, _)| *held == id) {
            self.held_ends.push_back((now, id, cut));
        }
        !hold
    }

    /// Delivers the ends that were held, except those that another member has delivered.
    fn deliver_held_ends(&mut self, now: f64, calls: &mut Calls) {
        let ready = self.member.is_caught_up();
        while let Some((_, id, cut)) =
            self.held_ends.pop_front_if(|(at, ..)| ready || now - *at >= HOLD_UNKNOWN_END_S)
        {
            if !self.member.store().is_end_delivered(id) {
                calls.report_end(id, cut);
            }
        }
    }

    /// Returns the pool of a call's server.
    pub fn pool_of(&self, server: ServerKey) -> Option<PoolId> {
        self.reported.pool_of(server)
    }

    /// Whether other members have callers to whom they can deliver the ends of calls.
    pub fn others_have_callers(&self) -> bool {
        self.member.others_have_callers()
    }

    /// Hands ends over to members that have callers, if none are connected here.
    pub fn hand_over_ends(&mut self, now: f64, clients: &mut Clients) {
        let has_callers = clients.has_caller_connection();
        self.member.set_has_callers(has_callers);
        if !has_callers && self.member.others_have_callers() {
            clients.take_unsent_ends().for_each(|(id, cut)| self.member.hand_over_end(now, id, cut));
        }
    }

    /// Returns the member's state, for the shares of budgets.
    pub fn member(&mut self) -> &mut Member {
        &mut self.member
    }

    // ---- The steps of an iteration of the event loop

    /// Handles a socket that is ready, if it belongs to a link.
    pub fn handle_ready(&mut self, now: f64, ready: Ready, poller: &mut Poller) {
        self.peers.handle_ready(now, ready, &mut self.member, poller);
    }

    /// Advances the time, before any input is handled: after a pause nothing may be sent on outdated knowledge. Returns whether
    /// this member was paused.
    pub fn tick(&mut self, now: f64, guard: &mut Guard) -> bool {
        self.member.tick(now);
        let resumed = self.log_events(now);
        self.held = (self.held || resumed) && !self.member.is_caught_up();
        guard.set_hold(self.held);
        resumed
    }

    /// Maintains links, reports what is known here and applies what others report; returns the entries of the list that change
    /// because of it. Called periodically.
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
        let lists_late = self.conf.settings.max_list_delay;
        self.observations.update(now, &self.member.peer_observations(), (list_at, lists_late), servers, guard)
    }

    /// Reports changes of calls, applies what follows from messages, and sends what is due on every link that has room.
    pub fn send_pending(&mut self, now: f64, calls: &mut Calls, poller: &Poller) {
        self.record_call_changes(now, calls);
        self.apply_actions(now, calls);
        self.peers.send_due(now, &mut self.member, poller);
    }

    // ---- Reports to other members

    fn record_call_changes(&mut self, now: f64, calls: &mut Calls) {
        for change in calls.take_changes() {
            match change {
                CallChange::Established { id, class, pool, since } => {
                    if let Some(server) = self.reported.server_of(pool) {
                        let fact = CallFact { server, class: self.classes.get(class).copied().unwrap_or(0) };
                        self.member.call_established(since, id, fact);
                    }
                }
                CallChange::Ended { id } => {
                    self.unplaced.remove(&id);
                    self.member.call_ended(now, id);
                }
            }
        }
    }

    // ---- Reports from other members

    /// Applies what other members report to the entries of a list.
    pub fn overlay(&self, entries: &mut [PoolEntry], list_at: f64) {
        self.observations.overlay(entries, list_at, self.conf.settings.max_list_delay);
    }

    fn apply_actions(&mut self, now: f64, calls: &mut Calls) {
        for action in self.member.take_call_actions() {
            match action {
                CallAction::Adopt(id, call) => match self.pool_of(call.fact.server) {
                    Some(pool) => calls.adopt(id, pool),
                    None => drop(self.unplaced.insert(id, (call, now))),
                },
                CallAction::Yield(id) => {
                    self.unplaced.remove(&id);
                    calls.drop_adopted(id);
                }
                CallAction::EndedElsewhere(id) => calls.ended_elsewhere(id),
                CallAction::DeliverEnd(id, cut) => calls.report_end(id, cut),
            }
        }
    }

    /// Adopts calls whose server has become known since, and ends those whose server is not known in time.
    fn adopt_unplaced(&mut self, now: f64, calls: &mut Calls) {
        let mut placed = Vec::new();
        for (id, (call, since)) in &self.unplaced {
            match self.pool_of(call.fact.server) {
                Some(pool) => {
                    calls.adopt(*id, pool);
                    placed.push(*id);
                }
                None if now - since >= self.conf.settings.max_list_delay => {
                    calls.report_end(*id, true);
                    placed.push(*id);
                }
                None => {}
            }
        }
        self.unplaced.retain(|id, _| !placed.contains(id));
    }

    /// Logs events, within the limit; returns whether this member was paused.
    fn log_events(&mut self, now: f64) -> bool {
        let mut resumed = false;
        for event in self.member.take_events() {
            resumed |= matches!(event, Event::Member(MembershipChange::Resumed(_)));
            if self.log_limiter.may_log_event(now, &event) {
                log_member_event(&event, |id| self.peers.name(id));
            }
        }
        resumed
    }

    // ---- Reports

    /// Returns the figures for metrics.
    pub fn figures(&self, calls: &Calls) -> FleetFigures {
        let count = |matches_state: fn(&State) -> bool| {
            self.member.view().peers().filter(|m| matches_state(&self.member.view().state(*m))).count() as u64
        };
        let counts = self.member.counts;
        FleetFigures {
            members_alive: count(|s| matches!(s, State::Alive)),
            members_suspected: count(|s| matches!(s, State::Suspected(_))),
            members_gone: count(|s| matches!(s, State::Gone(_))),
            records: self.member.store().streams().map(|(_, s)| s.len() as u64).sum(),
            calls_adopted_now: calls.adopted_count() as u64,
            calls_adopted: counts.adopted,
            conflicts: counts.conflicts,
            copies_differed: counts.diverged,
            copies_mended: counts.repaired,
            records_left_out: counts.left_out,
            links_refused: self.peers.counts.refused,
            bytes_said: self.peers.counts.bytes_sent,
        }
    }

    /// Returns the report on members.
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
            "life": view.incarnation().to_string(), "ready": self.member.is_caught_up(), "held": self.held,
            "quorum": view.has_quorum(), "superseded": view.superseded(),
            "members": view.snapshot(now).iter().map(row).collect::<Vec<_>>(),
        })
    }

    /// Returns the report on the replicated streams.
    pub fn report_replica(&self, calls: &Calls) -> Value {
        let row = |r: &hollypaddle_replica::member::StreamStatus| {
            json!({
                "member": self.peers.name(r.origin.member), "own": r.origin.member == self.member.view().own_id(),
                "life": r.origin.life.to_string(), "version": r.version, "hash": format!("{:016x}", r.hash),
                KINDS[0]: r.counts[0], KINDS[1]: r.counts[1], KINDS[2]: r.counts[2], KINDS[3]: r.counts[3],
                KINDS[4]: r.counts[4], KINDS[5]: r.counts[5], KINDS[6]: r.counts[6], "lag": r.lag,
            })
        };
        let (given, taken, fetching) = self.member.catch_up_counts();
        let record_bytes = &self.peers.counts.by_kind.records;
        let records: serde_json::Map<String, Value> =
            KINDS.iter().zip(record_bytes).map(|(kind, bytes)| (kind.to_string(), json!(bytes))).collect();
        json!({
            "streams": self.member.snapshot().iter().map(row).collect::<Vec<_>>(),
            "counts": self.member.counts, "links": self.peers.counts, "records_said": records, "given": given, "taken": taken,
            "fetching": fetching, "adopted": calls.adopted_count(), "unplaced": self.unplaced.len(),
        })
    }
}

/// Creates an incarnation that begins now.
pub fn new_incarnation(now: f64, seed: u64) -> Incarnation {
    // The seed and the process id differ between starts.
    let nonce = seed ^ u64::from(std::process::id()).rotate_left(40) ^ Clock::new().now().to_bits();
    Incarnation { number: (now.max(0.0) * 1e6) as u64, nonce }
}

fn configured_members(conf: &Conf) -> impl Iterator<Item = (MemberId, String, std::net::SocketAddr)> + '_ {
    conf.members.iter().map(|m| (MemberId::of(&m.name), m.name.clone(), m.address))
}
