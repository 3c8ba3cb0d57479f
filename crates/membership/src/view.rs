//! What one member believes of the others, and what changed.
//!
//! Evidence that a member is alive is a time on this member's clock at which the other was certainly alive. A heartbeat that
//! was delayed in transit must not look fresh. It is therefore dated by its echo, not by its arrival: the echo names a
//! heartbeat that this member sent at a known time, and says how long the sender held it before it replied.
//!
//! | fault | observed here | conclusion |
//! | --- | --- | --- |
//! | a process ended | its link closes, new links are refused, no member receives from it | gone after `refused_after_s` |
//! | a process is paused, or its machine vanished | its link is open and silent, no member receives from it | suspected, gone after `gone_after_s` |
//! | only the path to this member is cut | silent here, other members receive from it | suspected, not gone |
//! | one direction is cut | its heartbeats arrive and echo nothing new | alive, and not receiving from this member |
//! | a member is slow | its heartbeats arrive irregularly | alive: the detector extends its timeout |
//! | this member was cut off | most members are silent at once | all suspected; none is gone without a quorum |
//! | this member was paused | a gap between its own ticks | resumed: earlier silence and refusals are disregarded |
//!
//! A paused member and one whose machine vanished can't be told apart until the member comes back.

use std::collections::{BTreeMap, VecDeque};
use std::fmt;

use crate::detector::Detector;
use crate::{Echo, Heartbeat, Incarnation, MemberId, Observation};

/// Sent heartbeats per member whose send time is kept, to date their echoes.
const MAX_UNECHOED_HEARTBEATS: usize = 64;
/// Observations in one heartbeat, besides the one of its receiver. With more members they rotate.
const MAX_OBSERVATIONS: usize = 16;
/// Interval between heartbeats to one member that carry observations. Observations are most of a heartbeat's bytes, so not
/// every heartbeat carries them. The interval must stay well below the time after which a member is gone.
const OBSERVATION_INTERVAL_S: f64 = 0.4;
/// Standard deviations above the mean gap after which a silence is suspicious.
const SUSPECT_DEVIATIONS: f64 = 4.0;

/// Allowed ratio between the rates of two members' clocks.
const CLOCK_RATE_TOLERANCE_RATIO: f64 = 1.02;
/// Allowed error of a reported age.
const AGE_TOLERANCE_S: f64 = 0.05;
/// How long a quorum must last before silent members may be considered gone. A member that was cut off first receives from
/// only some of the others when it is back; within this time it learns from them whom they still receive from.
const QUORUM_STABLE_AFTER_S: f64 = OBSERVATION_INTERVAL_S + 0.1;
/// How long other members must keep reporting a second process under this member's name before it takes effect.
const NAME_CONFLICT_CONFIRMED_AFTER_S: f64 = 0.5;

/// Timing of failure detection, in seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Interval between heartbeats to one member.
    pub heartbeat_interval_s: f64,
    /// Lower limit of the silence after which a member is suspected.
    pub suspect_after_s: f64,
    /// A member is gone after no member has received from it for this long.
    pub gone_after_s: f64,
    /// A member whose address refuses links for this long is gone: its process has ended.
    pub refused_after_s: f64,
    /// This member was paused if its ticks are at least this far apart.
    pub pause_threshold_s: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            heartbeat_interval_s: 0.1,
            suspect_after_s: 0.35,
            gone_after_s: 2.0,
            refused_after_s: 0.3,
            pause_threshold_s: 1.0,
        }
    }
}

/// What this member believes of another.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum State {
    /// Not yet received from since this member started.
    Unseen,
    /// Its heartbeats arrive.
    Alive,
    /// Silent for longer than its timeout; suspected since this time.
    Suspected(f64),
    /// No member receives from it, or its process has ended; gone since this time.
    Gone(f64),
}

/// A change in what this member believes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Change {
    /// The member was received from for the first time, or is no longer suspected.
    Alive(MemberId),
    /// The member is suspected after this many seconds of silence.
    Suspected(MemberId, f64),
    /// The member is gone; `true` if its address refused links or it left.
    Gone(MemberId, bool),
    /// The member was gone and is received from again.
    Returned(MemberId),
    /// The member was restarted and has this incarnation.
    Restarted(MemberId, Incarnation),
    /// This member receives from the other, but the other does not receive from this one.
    NotReceiving(MemberId),
    /// The other member receives from this one again.
    ReceivingAgain(MemberId),
    /// This member's incarnation was lower than one that the fleet knows and was raised to this one.
    IncarnationRaised(Incarnation),
    /// Another process runs under this member's name with this later incarnation. This process is out of the fleet.
    Superseded(Incarnation),
    /// This member was paused for this many seconds.
    Resumed(f64),
}

/// Why a message is rejected and its link closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Rejection {
    /// The sender is not a configured member.
    #[error(
        "the block `fleet` here has no member of that name: it is ignored until its name is in every member's file and SIGHUP \
         was sent"
    )]
    NotAMember,
    /// A later incarnation of the sender is known. The sender is an earlier one, or a second process under the same name.
    #[error(
        "a later incarnation of the sender is known, {0}: the sender serves without data from the fleet; stop it, or give it \
         a name of its own"
    )]
    StaleIncarnation(Incarnation),
}

impl Rejection {
    /// Returns the label used in the log and on the page for on-call staff.
    pub fn name(&self) -> &'static str {
        match self {
            Rejection::NotAMember => "not-a-member",
            Rejection::StaleIncarnation(_) => "stale-incarnation",
        }
    }
}

#[derive(Clone, Debug)]
struct Peer {
    state: State,
    /// The latest incarnation known, from the member itself or from others.
    incarnation: Option<Incarnation>,
    /// When it was last certainly alive, by its own heartbeats.
    alive_at: f64,
    /// When it was last certainly alive, by the observations of other members.
    observed_at: f64,
    /// Silence before this time is disregarded, because the link came up then or this member was paused until then. It is no
    /// evidence that the member was alive.
    silence_ignored_until: f64,
    detector: Detector,
    linked: bool,
    refused_since: Option<f64>,
    /// The member is gone and its process has ended: its address refused links, or it left.
    process_ended: bool,
    /// Sequence numbers and send times of the heartbeats sent to it, from the last echoed one on.
    sent: VecDeque<(u32, f64)>,
    next_seq: u32,
    next_heartbeat_at: f64,
    next_observations_at: f64,
    /// Sequence number and send time of the last heartbeat that it echoed.
    last_echoed: Option<(u32, f64)>,
    /// Sequence number and arrival time of the last heartbeat received from it.
    last_received: Option<(u32, f64)>,
    not_receiving: bool,
    ready: bool,
    callers: bool,
}

impl Peer {
    fn new() -> Peer {
        let never = f64::NEG_INFINITY;
        Peer {
            state: State::Unseen,
            incarnation: None,
            alive_at: never,
            observed_at: never,
            silence_ignored_until: never,
            detector: Detector::default(),
            linked: false,
            refused_since: None,
            process_ended: false,
            sent: VecDeque::new(),
            next_seq: 1,
            next_heartbeat_at: never,
            next_observations_at: never,
            last_echoed: None,
            last_received: None,
            not_receiving: false,
            ready: false,
            callers: false,
        }
    }
}

/// What is known of one member, for reports and tests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Row {
    /// The member.
    pub member: MemberId,
    /// What this member believes of it.
    pub state: State,
    /// Its latest known incarnation.
    pub incarnation: Option<Incarnation>,
    /// Seconds since it was certainly alive, by its own heartbeats; `None` if never.
    pub silent_s: Option<f64>,
    /// Seconds since it was certainly alive, by the observations of other members; `None` if never.
    pub observed_ago_s: Option<f64>,
    /// Whether it does not receive from this member.
    pub not_receiving: bool,
    /// Whether its link is up.
    pub linked: bool,
    /// Whether it reports that it has caught up.
    pub ready: bool,
}

/// The view that one member has of its fleet.
#[derive(Clone, Debug)]
pub struct Membership {
    own_id: MemberId,
    incarnation: Incarnation,
    settings: Settings,
    peers: BTreeMap<MemberId, Peer>,
    /// Whether callers are connected to this member.
    callers: bool,
    /// When this incarnation began.
    started_at: f64,
    /// A later incarnation under this member's name that was alive after this one began, and since when it is reported.
    name_conflict: Option<(Incarnation, f64)>,
    superseded: bool,
    last_tick: Option<f64>,
    /// Since when there is a quorum.
    quorum_since: Option<f64>,
    /// Whether the quorum had lasted long enough at the last update.
    quorum_is_stable: bool,
    /// Index of the member that the next observations start with.
    next_observed: usize,
    changes: Vec<Change>,
}

impl Membership {
    /// Creates the view of a member that has just started, with all configured members.
    pub fn new(
        now: f64,
        own_id: MemberId,
        incarnation: Incarnation,
        settings: Settings,
        members: impl IntoIterator<Item = MemberId>,
    ) -> Membership {
        let peers = members.into_iter().filter(|m| *m != own_id).map(|m| (m, Peer::new())).collect();
        let (superseded, changes) = (false, Vec::new());
        Membership {
            own_id,
            incarnation,
            settings,
            peers,
            callers: false,
            started_at: now,
            name_conflict: None,
            superseded,
            last_tick: None,
            quorum_since: None,
            quorum_is_stable: false,
            next_observed: 0,
            changes,
        }
    }

    /// Returns this member's id.
    pub fn own_id(&self) -> MemberId {
        self.own_id
    }

    /// Returns this member's incarnation.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Whether another process with a later incarnation runs under this member's name.
    pub fn superseded(&self) -> bool {
        self.superseded
    }

    /// Applies the members of a reloaded configuration. What is known of members that stay is kept.
    pub fn set_members(&mut self, members: impl IntoIterator<Item = MemberId>) {
        let mut old = std::mem::take(&mut self.peers);
        let kept = members.into_iter().filter(|m| *m != self.own_id);
        self.peers = kept.map(|m| (m, old.remove(&m).unwrap_or_else(Peer::new))).collect();
    }

    /// Returns all members except this one.
    pub fn peers(&self) -> impl Iterator<Item = MemberId> + '_ {
        self.peers.keys().copied()
    }

    /// Returns and clears the changes since the last call.
    pub fn take_changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }

    /// Returns the latest known incarnation of a member.
    pub fn incarnation_of(&self, member: MemberId) -> Option<Incarnation> {
        match member == self.own_id {
            true => Some(self.incarnation),
            false => self.peers.get(&member)?.incarnation,
        }
    }

    /// Returns the state of a member. This member itself is always alive.
    pub fn state(&self, member: MemberId) -> State {
        match member == self.own_id {
            true => State::Alive,
            false => self.peers.get(&member).map_or(State::Unseen, |p| p.state),
        }
    }

    /// Whether a member reports that it has caught up.
    pub fn is_ready(&self, member: MemberId) -> bool {
        self.peers.get(&member).is_some_and(|p| p.ready)
    }

    /// Returns the members that are alive or suspected, including this one. Suspected members count, since they may still be
    /// acting.
    pub fn live_members(&self) -> impl Iterator<Item = MemberId> + '_ {
        let is_live = |p: &Peer| matches!(p.state, State::Alive | State::Suspected(_));
        let peers = self.peers.iter().filter(move |(_, p)| is_live(p)).map(|(m, _)| *m);
        std::iter::once(self.own_id).chain(peers)
    }

    /// Sets whether callers are connected to this member; returns whether that is a change.
    pub fn set_callers(&mut self, callers: bool) -> bool {
        std::mem::replace(&mut self.callers, callers) != callers
    }

    /// Returns the alive members, including this one, that report connected callers to whom they can send the end of a call.
    /// Suspected members are left out: they may not learn of the end.
    pub fn members_with_callers(&self) -> impl Iterator<Item = MemberId> + '_ {
        let has = |p: &Peer| p.state == State::Alive && p.callers;
        let peers = self.peers.iter().filter(move |(_, p)| has(p)).map(|(m, _)| *m);
        self.callers.then_some(self.own_id).into_iter().chain(peers)
    }

    /// Whether a majority of the configured members is alive now, including this one.
    pub fn has_quorum(&self) -> bool {
        let alive = 1 + self.peers.values().filter(|p| p.state == State::Alive).count();
        2 * alive > self.peers.len() + 1
    }

    /// Whether the quorum has lasted long enough that silent members may be considered gone.
    pub fn quorum_is_stable(&self) -> bool {
        self.quorum_is_stable
    }

    /// Whether a member's process has certainly ended: its address refused links, or it left. A member that is gone only
    /// because it is silent may still be running where others receive from it.
    pub fn process_ended(&self, member: MemberId) -> bool {
        self.peers.get(&member).is_some_and(|p| p.process_ended)
    }

    /// Returns by how many seconds the last message of a member may be older than it states: the longest time that its last
    /// heartbeat may have been in transit. `None` until it has echoed a heartbeat.
    pub fn lag(&self, now: f64, member: MemberId) -> Option<f64> {
        let peer = self.peers.get(&member)?;
        peer.last_echoed.filter(|_| peer.alive_at.is_finite()).map(|_| (now - peer.alive_at).max(0.0))
    }

    /// Returns when the latest heartbeat that a member has echoed was sent. What the member sends now is later than that.
    pub fn last_echoed_at(&self, member: MemberId) -> Option<f64> {
        self.peers.get(&member)?.last_echoed.map(|(_, at)| at)
    }

    /// Whether a link to a member is up.
    pub fn is_linked(&self, member: MemberId) -> bool {
        self.peers.get(&member).is_some_and(|p| p.linked)
    }

    /// Whether a member's address refuses links.
    pub fn refuses_links(&self, member: MemberId) -> bool {
        self.peers.get(&member).is_some_and(|p| p.refused_since.is_some())
    }

    /// Handles a member's message that it leaves.
    pub fn member_left(&mut self, now: f64, member: MemberId) {
        if let Some(peer) = self.peers.get_mut(&member) {
            if !matches!(peer.state, State::Gone(_)) {
                (peer.state, peer.alive_at, peer.observed_at) =
                    (State::Gone(now), f64::NEG_INFINITY, f64::NEG_INFINITY);
                self.changes.push(Change::Gone(member, true));
            }
            peer.process_ended = true;
        }
    }

    // ---- Links

    /// Handles a new link to a member. The member has stated its incarnation, and in `known` the latest incarnation of this
    /// member that it knows, with the time since that was alive in milliseconds.
    pub fn link_up(
        &mut self,
        now: f64,
        member: MemberId,
        incarnation: Incarnation,
        known: Option<(Incarnation, u32)>,
    ) -> Result<(), Rejection> {
        if let Some((known, age_ms)) = known {
            self.compare_own_incarnation(now, known, age_ms);
        }
        self.update_incarnation(now, member, incarnation)?;
        if let Some(peer) = self.peers.get_mut(&member) {
            (peer.linked, peer.refused_since) = (true, None);
            // Sequence numbers start over on each link, and heartbeats of an earlier link are not echoed.
            (peer.last_received, peer.next_heartbeat_at, peer.next_observations_at) = (None, now, now);
            peer.detector.skip_next_gap();
            peer.silence_ignored_until = now;
        }
        self.update_states(now);
        Ok(())
    }

    /// Handles the end of a link.
    pub fn link_down(&mut self, member: MemberId) {
        if let Some(peer) = self.peers.get_mut(&member) {
            (peer.linked, peer.not_receiving, peer.last_received) = (false, false, None);
            peer.detector.skip_next_gap();
        }
    }

    /// Handles a refused connection: no process listens at the member's address. Other failures to connect say nothing about
    /// the member and must not be reported here.
    pub fn link_refused(&mut self, now: f64, member: MemberId) {
        if let Some(peer) = self.peers.get_mut(&member) {
            peer.refused_since.get_or_insert(now);
        }
    }

    /// Returns the latest known incarnation of another member, and the time since it was certainly alive, in milliseconds.
    /// It is sent to that member, so it can detect that its own incarnation is too low or its name is used twice.
    pub fn known_incarnation_of(&self, now: f64, member: MemberId) -> Option<(Incarnation, u32)> {
        let peer = self.peers.get(&member)?;
        let at = peer.alive_at.max(peer.observed_at);
        Some((peer.incarnation?, if at.is_finite() { millis(now - at) } else { u32::MAX }))
    }

    /// Compares this member's incarnation with one that another member knows, which was alive `age_ms` ago. A later
    /// incarnation that was alive after this one began belongs to another process under the same name. If it was not alive
    /// since, it is an earlier process whose number is higher because the clock was set back.
    fn compare_own_incarnation(&mut self, now: f64, known: Incarnation, age_ms: u32) {
        if known <= self.incarnation {
            return;
        }
        let age = f64::from(age_ms) / 1000.0 * CLOCK_RATE_TOLERANCE_RATIO + AGE_TOLERANCE_S;
        if age > now - self.started_at {
            self.incarnation.number = known.number.saturating_add(1);
            self.changes.push(Change::IncarnationRaised(self.incarnation));
            return;
        }
        // A single report may have been delayed in transit. A process that is running is reported again.
        let since = match self.name_conflict {
            Some((incarnation, since)) if incarnation == known => since,
            _ => now,
        };
        self.name_conflict = Some((known, since));
        if now - since >= NAME_CONFLICT_CONFIRMED_AFTER_S && !self.superseded {
            self.superseded = true;
            self.changes.push(Change::Superseded(known));
        }
    }

    /// Sets a new incarnation for this member; what it sent under the previous one counts as another process's.
    pub fn set_incarnation(&mut self, incarnation: Incarnation) {
        self.incarnation = incarnation;
    }

    /// Records the incarnation that a member states; fails if a later one is known.
    fn update_incarnation(
        &mut self,
        now: f64,
        member: MemberId,
        incarnation: Incarnation,
    ) -> Result<(), Rejection> {
        let peer = self.peers.get_mut(&member).ok_or(Rejection::NotAMember)?;
        match peer.incarnation {
            Some(known) if known > incarnation => return Err(Rejection::StaleIncarnation(known)),
            Some(known) if known < incarnation => {
                self.changes.push(Change::Restarted(member, incarnation));
                let (linked, sent, next_seq) = (peer.linked, std::mem::take(&mut peer.sent), peer.next_seq);
                *peer = Peer { linked, sent, next_seq, state: peer.state, ..Peer::new() };
                (peer.silence_ignored_until, peer.next_heartbeat_at) = (now, now);
            }
            _ => {}
        }
        peer.incarnation = Some(incarnation);
        Ok(())
    }

    // ---- Heartbeats

    /// Handles a heartbeat from a member.
    pub fn receive_heartbeat(
        &mut self,
        now: f64,
        from: MemberId,
        heartbeat: &Heartbeat,
    ) -> Result<(), Rejection> {
        self.update_incarnation(now, from, heartbeat.incarnation)?;
        let Some(peer) = self.peers.get_mut(&from) else { return Err(Rejection::NotAMember) };
        // Drops repeated and overtaken heartbeats; on one link they arrive in order.
        if peer.last_received.is_some_and(|(seq, _)| heartbeat.seq <= seq) {
            return Ok(());
        }
        peer.last_received = Some((heartbeat.seq, now));
        (peer.ready, peer.callers) = (heartbeat.ready, heartbeat.callers);
        peer.detector.record_heartbeat(now);
        if let Some(echo) = heartbeat.echo {
            if let Some((seq, at)) = peer.sent.iter().find(|(seq, _)| *seq == echo.seq).copied() {
                peer.last_echoed = Some((seq, at));
                peer.sent.retain(|(sent, _)| *sent >= seq);
            }
            if let Some((_, at)) = peer.last_echoed.filter(|(seq, _)| *seq == echo.seq) {
                // Never in the future, whatever the rate of its clock.
                let sent_at = (at + f64::from(echo.held_ms) / 1000.0).min(now);
                peer.alive_at = peer.alive_at.max(sent_at);
            }
            let limit = self.settings.gone_after_s / 2.0;
            let not_receiving = f64::from(echo.held_ms) / 1000.0 > limit;
            if not_receiving != peer.not_receiving {
                peer.not_receiving = not_receiving;
                self.changes.push(if not_receiving {
                    Change::NotReceiving(from)
                } else {
                    Change::ReceivingAgain(from)
                });
            }
        }
        let lag = if peer.alive_at.is_finite() { (now - peer.alive_at).max(0.0) } else { 0.0 };
        for observation in &heartbeat.observations {
            self.apply_observation(now, lag, observation);
        }
        self.update_states(now);
        Ok(())
    }

    /// Applies what another member reports of a member; the report is at most `lag` seconds old.
    fn apply_observation(&mut self, now: f64, lag: f64, observation: &Observation) {
        if observation.member == self.own_id {
            return self.compare_own_incarnation(now, observation.incarnation, observation.age_ms);
        }
        let Some(peer) = self.peers.get_mut(&observation.member) else { return };
        let known = peer.incarnation.unwrap_or_default();
        if observation.incarnation > known {
            // Heartbeats of the earlier incarnation are no evidence for this one.
            let first = peer.incarnation.is_none();
            (peer.incarnation, peer.alive_at, peer.observed_at) =
                (Some(observation.incarnation), f64::NEG_INFINITY, f64::NEG_INFINITY);
            if !first {
                self.changes.push(Change::Restarted(observation.member, observation.incarnation));
            }
        }
        if observation.incarnation >= known && observation.age_ms != u32::MAX {
            let at = now - lag - f64::from(observation.age_ms) / 1000.0;
            peer.observed_at = peer.observed_at.max(at);
        }
    }

    /// Returns the heartbeat that is due to a member, if any.
    pub fn next_heartbeat(&mut self, now: f64, to: MemberId, ready: bool) -> Option<Heartbeat> {
        let due = |p: &Peer| p.linked && now >= p.next_heartbeat_at;
        if self.superseded || !self.peers.get(&to).is_some_and(due) {
            return None;
        }
        let with_observations = self.peers.get(&to).is_some_and(|p| now >= p.next_observations_at);
        let observations = if with_observations { self.next_observations(now, to) } else { Vec::new() };
        let peer = self.peers.get_mut(&to)?;
        if with_observations {
            peer.next_observations_at = now + OBSERVATION_INTERVAL_S;
        }
        let seq = peer.next_seq;
        peer.next_seq = peer.next_seq.wrapping_add(1).max(1);
        // Keeps a fixed schedule where possible, without a burst after a pause.
        peer.next_heartbeat_at = (peer.next_heartbeat_at + self.settings.heartbeat_interval_s)
            .max(now + self.settings.heartbeat_interval_s / 2.0);
        peer.sent.push_back((seq, now));
        if peer.sent.len() > MAX_UNECHOED_HEARTBEATS {
            peer.sent.pop_front();
        }
        let echo = peer.last_received.map(|(seq, at)| Echo { seq, held_ms: millis(now - at) });
        Some(Heartbeat {
            incarnation: self.incarnation,
            seq,
            echo,
            ready,
            callers: self.callers,
            observations,
        })
    }

    fn next_observations(&mut self, now: f64, to: MemberId) -> Vec<Observation> {
        let others: Vec<(&MemberId, &Peer)> =
            self.peers.iter().filter(|(m, p)| **m != to && p.incarnation.is_some()).collect();
        let count = others.len().min(MAX_OBSERVATIONS);
        let from = if others.is_empty() { 0 } else { self.next_observed % others.len() };
        let mut observations: Vec<Observation> = (others.iter().cycle().skip(from).take(count))
            .map(|(member, p)| Observation {
                member: **member,
                incarnation: p.incarnation.unwrap_or_default(),
                // Observations of other members are not forwarded: they would keep each other fresh in a cycle.
                age_ms: if p.alive_at.is_finite() { millis(now - p.alive_at) } else { u32::MAX },
                gone: matches!(p.state, State::Gone(_)),
            })
            .collect();
        self.next_observed = self.next_observed.wrapping_add(count);
        // The receiver learns which incarnation of it is known here.
        if let Some((incarnation, age_ms)) = self.known_incarnation_of(now, to) {
            observations.push(Observation { member: to, incarnation, age_ms, gone: false });
        }
        observations
    }

    // ---- Time

    /// Updates the states of all members. Must be called at least every few tens of milliseconds.
    pub fn tick(&mut self, now: f64) {
        let gap = self.last_tick.map_or(0.0, |last| now - last);
        self.last_tick = Some(now);
        if gap >= self.settings.pause_threshold_s {
            self.changes.push(Change::Resumed(gap));
            // The others may have sent all the time, so their silence is counted from now.
            for peer in self.peers.values_mut() {
                peer.detector.skip_next_gap();
                if !matches!(peer.state, State::Gone(_)) && peer.alive_at.is_finite() {
                    peer.silence_ignored_until = now;
                }
                peer.refused_since = None;
            }
            // Observations are as old as the pause until the others have sent new ones.
            self.quorum_since = None;
        }
        self.update_states(now);
    }

    fn update_states(&mut self, now: f64) {
        let s = self.settings;
        self.quorum_since = self.has_quorum().then(|| self.quorum_since.unwrap_or(now));
        let quorum = self.quorum_since.is_some_and(|since| now - since >= QUORUM_STABLE_AFTER_S);
        self.quorum_is_stable = quorum;
        for (&member, peer) in &mut self.peers {
            let silent = now - peer.alive_at.max(peer.silence_ignored_until);
            let others = now - peer.observed_at;
            let timeout = peer.detector.suspicion_timeout_s(
                SUSPECT_DEVIATIONS,
                s.suspect_after_s,
                s.gone_after_s / 2.0,
            );
            let refused = peer.refused_since.is_some_and(|since| now - since >= s.refused_after_s);
            // A member that was never seen is waited for as long as one that has become silent.
            let unseen_for = silent.min(others).min(now - self.started_at);
            let ended = refused && unseen_for >= s.refused_after_s;
            let lost = quorum && unseen_for >= s.gone_after_s;
            let next = match peer.state {
                State::Unseen if peer.incarnation.is_some() && silent <= timeout => State::Alive,
                State::Unseen if !ended && !lost => State::Unseen,
                // Observations don't bring a member back here, but a member that others observe is not gone.
                State::Gone(_) if silent <= timeout => State::Alive,
                State::Gone(since) => State::Gone(since),
                _ if ended || lost => State::Gone(now),
                State::Alive if silent > timeout => State::Suspected(now),
                State::Suspected(_) if silent <= timeout => State::Alive,
                same => same,
            };
            match (peer.state, next) {
                (State::Gone(_), State::Alive) => self.changes.push(Change::Returned(member)),
                (State::Unseen | State::Suspected(_), State::Alive) => {
                    self.changes.push(Change::Alive(member))
                }
                (State::Alive, State::Suspected(_)) => self.changes.push(Change::Suspected(member, silent)),
                (State::Unseen | State::Alive | State::Suspected(_), State::Gone(_)) => {
                    self.changes.push(Change::Gone(member, ended));
                }
                _ => {}
            }
            peer.state = next;
            peer.process_ended = matches!(next, State::Gone(_)) && (peer.process_ended || ended);
        }
    }

    /// Returns what is known of each member, for reports and comparisons.
    pub fn snapshot(&self, now: f64) -> Vec<Row> {
        let since = |at: f64| at.is_finite().then_some((now - at).max(0.0));
        let row = |(member, p): (&MemberId, &Peer)| Row {
            member: *member,
            state: p.state,
            incarnation: p.incarnation,
            silent_s: since(p.alive_at),
            observed_ago_s: since(p.observed_at),
            not_receiving: p.not_receiving,
            linked: p.linked,
            ready: p.ready,
        };
        self.peers.iter().map(row).collect()
    }
}

impl State {
    /// Returns the state's label in reports.
    pub fn name(&self) -> &'static str {
        match self {
            State::Unseen => "unseen",
            State::Alive => "alive",
            State::Suspected(_) => "suspected",
            State::Gone(_) => "gone",
        }
    }
}

impl fmt::Display for Row {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x} {}", self.member.0, self.state.name())?;
        if let Some(incarnation) = self.incarnation {
            write!(f, ", incarnation {incarnation}")?;
        }
        match self.silent_s {
            Some(silent) => write!(f, ", last received {silent:.1} s ago")?,
            None => write!(f, ", never received")?,
        }
        if let Some(others) = self.observed_ago_s {
            write!(f, ", by other members {others:.1} s ago")?;
        }
        if self.not_receiving {
            write!(f, ", does not receive from us")?;
        }
        Ok(())
    }
}

fn millis(seconds: f64) -> u32 {
    (seconds.max(0.0) * 1000.0).min(f64::from(u32::MAX - 1)) as u32
}
