//! What one member believes of the others, and what changed.
//!
//! Evidence of a member's life is a time on the own clock at which it was certainly alive. A beat that was frozen on its
//! way must not look fresh, so it counts not as of its arrival but as of the echo in it: its speaker had heard an own
//! beat, sent at a time that is known, and held it for so long before it spoke.
//!
//! | trouble | how it looks | what is believed |
//! | --- | --- | --- |
//! | a process died | its link closes, the next is refused, nobody hears it | gone after `refused` |
//! | paused, or its machine vanished | its link is open and silent, nobody hears it | suspected, gone after `gone` |
//! | cut off from here alone | silent here, others hear it | suspected, not gone |
//! | one way is cut | its beats come and echo nothing new | alive, and not_receiving: it does not hear us |
//! | slow | its beats come unevenly | alive: the detector gives it more time |
//! | this one was cut off | most are silent at once | all suspected; nobody is gone without a majority that is heard |
//! | this one was paused | its own turns have a gap | woke: what was believed before counts for nothing |
//!
//! Not told apart: a member that is paused and one whose machine vanished, until it comes back.

use std::collections::{BTreeMap, VecDeque};
use std::fmt;

use crate::detector::Detector;
use crate::{Echo, Heartbeat, Incarnation, MemberId, Observation};

/// Own beats of which the time is remembered, for their echoes.
const MAX_UNECHOED_HEARTBEATS: usize = 64;
/// Observations in a beat at most; with more members they take turns.
const MAX_OBSERVATIONS: usize = 16;
/// Between two beats to a member that tell what is heard of others, in seconds: they are most of a beat's bytes, and
/// well within the time after which one is gone.
const OBSERVATION_INTERVAL_S: f64 = 0.4;
/// Deviations of a member's detector beyond their mean after which its silence is suspect.
const SUSPECT_DEVIATIONS: f64 = 4.0;

/// By how much clocks may differ in pace, and how exact an age is, in seconds.
const CLOCK_RATE_TOLERANCE_RATIO: f64 = 1.02;
const AGE_TOLERANCE_S: f64 = 0.05;
/// A majority must have been heard for so long before a silence is held for an end, in seconds: who was cut off hears some
/// first when it is back, and learns from them within this whom they hear.
const QUORUM_STABLE_AFTER_S: f64 = OBSERVATION_INTERVAL_S + 0.1;
/// A second process under the own name must have been told of for so long, in seconds.
const NAME_CONFLICT_CONFIRMED_AFTER_S: f64 = 0.5;

/// The figures of it, in seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Between two beats to a member.
    pub heartbeat_interval_s: f64,
    /// A silence shorter than this is never suspect.
    pub suspect_after_s: f64,
    /// One that nobody has heard for so long is gone.
    pub gone_after_s: f64,
    /// One whose address refuses links for so long is gone: its process has ended.
    pub refused_after_s: f64,
    /// Own turns further apart than this: this member was paused.
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

/// What is believed of a member.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum State {
    /// Never heard of, since the own start.
    Unseen,
    /// Heard.
    Alive,
    /// Silent for longer than it should be, since then.
    Suspected(f64),
    /// Nobody hears it, since then.
    Gone(f64),
}

/// What changed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Change {
    /// Heard for the first time, or no longer suspected.
    Alive(MemberId),
    /// Silent for so long.
    Suspected(MemberId, f64),
    /// Gone; whether its address refused links.
    Gone(MemberId, bool),
    /// It was gone and is heard again, in the same life.
    Returned(MemberId),
    /// Another life of it began: it was started anew.
    Restarted(MemberId, Incarnation),
    /// It does not hear us, while we hear it.
    NotReceiving(MemberId),
    /// It hears us again.
    ReceivingAgain(MemberId),
    /// The own incarnation was below one that the fleet knows and was raised to this.
    IncarnationRaised(Incarnation),
    /// Another process has this member's name, in this later life: this one is out of the fleet.
    Superseded(Incarnation),
    /// This member was paused for so long.
    Resumed(f64),
}

/// Why a beat counts for nothing, and its link is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Rejection {
    /// Nobody of that name is a member.
    #[error(
        "no member of that name is in the block `fleet` here: it is left out until its name stands in every member's file \
         and SIGHUP was sent"
    )]
    NotAMember,
    /// A later life of the speaker is known: this is an earlier one, or a second process under its name.
    #[error(
        "a later incarnation of it is known, {0}: this one serves alone and is not told of the fleet; end it, or give it a \
         name of its own"
    )]
    StaleIncarnation(Incarnation),
}

impl Rejection {
    /// In a word, for the log and the page for on-call staff.
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
    /// The latest life known, from itself or from others.
    incarnation: Option<Incarnation>,
    /// When it was alive for certain, by its own beats; and by what others hear.
    alive_at: f64,
    observed_at: f64,
    /// Its silence before this tells nothing: its link came up then, or this member was paused. No evidence of life.
    silence_ignored_until: f64,
    detector: Detector,
    linked: bool,
    refused_since: Option<f64>,
    /// It is gone, and its process has process_ended: its address refused links, or it said so.
    process_ended: bool,
    /// Own beats sent to it, and the last one that it told back.
    sent: VecDeque<(u32, f64)>,
    next_seq: u32,
    next_heartbeat_at: f64,
    next_observations_at: f64,
    last_echoed: Option<(u32, f64)>,
    /// Its last beat, and when it came.
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

/// A member as an operator or a test sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Row {
    /// Who.
    pub member: MemberId,
    /// What is believed.
    pub state: State,
    /// Its latest life, if one was heard of.
    pub incarnation: Option<Incarnation>,
    /// Seconds since it was alive for certain, as heard here; none if never.
    pub silent_s: Option<f64>,
    /// The same, as others hear it.
    pub observed_ago_s: Option<f64>,
    /// It does not hear us.
    pub not_receiving: bool,
    /// Its link is up.
    pub linked: bool,
    /// It says that it has caught up.
    pub ready: bool,
}

/// What one member believes.
#[derive(Clone, Debug)]
pub struct Membership {
    own_id: MemberId,
    incarnation: Incarnation,
    settings: Settings,
    peers: BTreeMap<MemberId, Peer>,
    /// Whether callers are there at the own member.
    callers: bool,
    /// When the own life began.
    started_at: f64,
    /// A later life that was alive after the own one began, and since when it is told of.
    name_conflict: Option<(Incarnation, f64)>,
    superseded: bool,
    last_tick: Option<f64>,
    /// Since when a majority is heard, and whether that was long enough as of the last look.
    quorum_since: Option<f64>,
    quorum_is_stable: bool,
    /// Whose turn it is to be told of.
    next_observed: usize,
    changes: Vec<Change>,
}

impl Membership {
    /// A member that has just started, with those that stand in the configuration beside it.
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

    /// The own id.
    pub fn own_id(&self) -> MemberId {
        self.own_id
    }

    /// The own life.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Whether another process took the name.
    pub fn superseded(&self) -> bool {
        self.superseded
    }

    /// Takes the members of a configuration read anew: those that stay keep what is known of them.
    pub fn set_members(&mut self, members: impl IntoIterator<Item = MemberId>) {
        let mut old = std::mem::take(&mut self.peers);
        let kept = members.into_iter().filter(|m| *m != self.own_id);
        self.peers = kept.map(|m| (m, old.remove(&m).unwrap_or_else(Peer::new))).collect();
    }

    /// All members but the own.
    pub fn peers(&self) -> impl Iterator<Item = MemberId> + '_ {
        self.peers.keys().copied()
    }

    /// What changed since this was last asked.
    pub fn take_changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }

    /// The latest life known of a member.
    pub fn incarnation_of(&self, member: MemberId) -> Option<Incarnation> {
        match member == self.own_id {
            true => Some(self.incarnation),
            false => self.peers.get(&member)?.incarnation,
        }
    }

    /// What is believed of a member; of the own one that it is alive.
    pub fn state(&self, member: MemberId) -> State {
        match member == self.own_id {
            true => State::Alive,
            false => self.peers.get(&member).map_or(State::Unseen, |p| p.state),
        }
    }

    /// Whether a member says that it has caught up.
    pub fn is_ready(&self, member: MemberId) -> bool {
        self.peers.get(&member).is_some_and(|p| p.ready)
    }

    /// Those who are held to live: heard and not gone, the own one among them. One that is suspected counts: it is
    /// not certain that it acts no more.
    pub fn live_members(&self) -> impl Iterator<Item = MemberId> + '_ {
        let living = |p: &Peer| matches!(p.state, State::Alive | State::Suspected(_));
        let peers = self.peers.iter().filter(move |(_, p)| living(p)).map(|(m, _)| *m);
        std::iter::once(self.own_id).chain(peers)
    }

    /// Callers are there at the own member, or none are any more; returns whether that is new.
    pub fn set_callers(&mut self, callers: bool) -> bool {
        std::mem::replace(&mut self.callers, callers) != callers
    }

    /// Those of the living who say that callers are there to whom they can tell the end of a call. One that is only
    /// suspected may not hear of it.
    pub fn members_with_callers(&self) -> impl Iterator<Item = MemberId> + '_ {
        let has = |p: &Peer| p.state == State::Alive && p.callers;
        let peers = self.peers.iter().filter(move |(_, p)| has(p)).map(|(m, _)| *m);
        self.callers.then_some(self.own_id).into_iter().chain(peers)
    }

    /// Whether a majority of the configured members is heard now, the own one counted.
    pub fn has_quorum(&self) -> bool {
        let heard = 1 + self.peers.values().filter(|p| p.state == State::Alive).count();
        2 * heard > self.peers.len() + 1
    }

    /// Whether a majority has been heard for so long that a silence counts as an end.
    pub fn quorum_is_stable(&self) -> bool {
        self.quorum_is_stable
    }

    /// Whether a member is gone for certain: its address refused links, or it said that it ends. One that is gone for its
    /// silence alone may go on where others hear it.
    pub fn process_ended(&self, member: MemberId) -> bool {
        self.peers.get(&member).is_some_and(|p| p.process_ended)
    }

    /// By how much what a member said last may be older than it says, in seconds: as long as its last beat may have
    /// been on its way. None before anything is known of that.
    pub fn lag(&self, now: f64, member: MemberId) -> Option<f64> {
        let peer = self.peers.get(&member)?;
        peer.last_echoed.filter(|_| peer.alive_at.is_finite()).map(|_| (now - peer.alive_at).max(0.0))
    }

    /// When the latest own beat was sent that a member has told back: what it says now it says later than that.
    pub fn last_echoed_at(&self, member: MemberId) -> Option<f64> {
        self.peers.get(&member)?.last_echoed.map(|(_, at)| at)
    }

    /// Whether a link to a member is up.
    pub fn is_linked(&self, member: MemberId) -> bool {
        self.peers.get(&member).is_some_and(|p| p.linked)
    }

    /// Since when a member's address refuses links.
    pub fn refuses_links(&self, member: MemberId) -> bool {
        self.peers.get(&member).is_some_and(|p| p.refused_since.is_some())
    }

    /// A member said that it ends.
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

    /// A link to a member is up, and it said which life it is, which life of ours it knows, and how long ago that was
    /// alive, in milliseconds.
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
            // Beats count anew on each link, and none of an earlier one is told back.
            (peer.last_received, peer.next_heartbeat_at, peer.next_observations_at) = (None, now, now);
            peer.detector.skip_next_gap();
            peer.silence_ignored_until = now;
        }
        self.update_states(now);
        Ok(())
    }

    /// A link is down.
    pub fn link_down(&mut self, member: MemberId) {
        if let Some(peer) = self.peers.get_mut(&member) {
            (peer.linked, peer.not_receiving, peer.last_received) = (false, false, None);
            peer.detector.skip_next_gap();
        }
    }

    /// A member's address refused a link: no process listens there. Anything else that keeps a link from coming up
    /// tells nothing.
    pub fn link_refused(&mut self, now: f64, member: MemberId) {
        if let Some(peer) = self.peers.get_mut(&member) {
            peer.refused_since.get_or_insert(now);
        }
    }

    /// What another member is told of its own life: the latest that is known here, and how long ago that was
    /// alive for certain, in milliseconds.
    pub fn known_incarnation_of(&self, now: f64, member: MemberId) -> Option<(Incarnation, u32)> {
        let peer = self.peers.get(&member)?;
        let at = peer.alive_at.max(peer.observed_at);
        Some((peer.incarnation?, if at.is_finite() { millis(now - at) } else { u32::MAX }))
    }

    /// Somebody knows this life of the own member, alive so long ago. A later life that was alive after the own one
    /// began is another process's, under the same name. One that was not is an earlier one: the clock was set back.
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
        // Told once it may be a word that was frozen on its way. One that is there is told of again.
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

    /// Takes another life: what was said in the one before is another process's.
    pub fn set_incarnation(&mut self, incarnation: Incarnation) {
        self.incarnation = incarnation;
    }

    /// A member lives in this life.
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

    // ---- Beats

    /// Takes a beat.
    pub fn receive_heartbeat(&mut self, now: f64, from: MemberId, beat: &Heartbeat) -> Result<(), Rejection> {
        self.update_incarnation(now, from, beat.incarnation)?;
        let Some(peer) = self.peers.get_mut(&from) else { return Err(Rejection::NotAMember) };
        // Repeated or overtaken: on one link they come in order.
        if peer.last_received.is_some_and(|(seq, _)| beat.seq <= seq) {
            return Ok(());
        }
        peer.last_received = Some((beat.seq, now));
        (peer.ready, peer.callers) = (beat.ready, beat.callers);
        peer.detector.record_heartbeat(now);
        if let Some(echo) = beat.echo {
            if let Some((seq, at)) = peer.sent.iter().find(|(seq, _)| *seq == echo.seq).copied() {
                peer.last_echoed = Some((seq, at));
                peer.sent.retain(|(sent, _)| *sent >= seq);
            }
            if let Some((_, at)) = peer.last_echoed.filter(|(seq, _)| *seq == echo.seq) {
                // Never later than now, however its clock runs.
                let spoke_at = (at + f64::from(echo.held_ms) / 1000.0).min(now);
                peer.alive_at = peer.alive_at.max(spoke_at);
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
        for observation in &beat.observations {
            self.apply_observation(now, lag, observation);
        }
        self.update_states(now);
        Ok(())
    }

    /// Takes what another member hears of one, told at most `lag` seconds ago.
    fn apply_observation(&mut self, now: f64, lag: f64, observation: &Observation) {
        if observation.member == self.own_id {
            return self.compare_own_incarnation(now, observation.incarnation, observation.age_ms);
        }
        let Some(peer) = self.peers.get_mut(&observation.member) else { return };
        let known = peer.incarnation.unwrap_or_default();
        if observation.incarnation > known {
            // The beats of the earlier life tell nothing of this one.
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

    /// The beat that is due to a member, if one is.
    pub fn next_heartbeat(&mut self, now: f64, to: MemberId, ready: bool) -> Option<Heartbeat> {
        let due = |p: &Peer| p.linked && now >= p.next_heartbeat_at;
        if self.superseded || !self.peers.get(&to).is_some_and(due) {
            return None;
        }
        let told = self.peers.get(&to).is_some_and(|p| now >= p.next_observations_at);
        let observations = if told { self.next_observations(now, to) } else { Vec::new() };
        let peer = self.peers.get_mut(&to)?;
        if told {
            peer.next_observations_at = now + OBSERVATION_INTERVAL_S;
        }
        let seq = peer.next_seq;
        peer.next_seq = peer.next_seq.wrapping_add(1).max(1);
        // In step where it can, without a burst after a pause.
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
                // What others hear is not passed on: it would live by going round.
                age_ms: if p.alive_at.is_finite() { millis(now - p.alive_at) } else { u32::MAX },
                gone: matches!(p.state, State::Gone(_)),
            })
            .collect();
        self.next_observed = self.next_observed.wrapping_add(count);
        // The one spoken to is told which life of it is known.
        if let Some((incarnation, age_ms)) = self.known_incarnation_of(now, to) {
            observations.push(Observation { member: to, incarnation, age_ms, gone: false });
        }
        observations
    }

    // ---- Time

    /// Looks at the silences. Called at least every few tens of milliseconds.
    pub fn tick(&mut self, now: f64) {
        let gap = self.last_tick.map_or(0.0, |last| now - last);
        self.last_tick = Some(now);
        if gap >= self.settings.pause_threshold_s {
            self.changes.push(Change::Resumed(gap));
            // The others may have spoken all the while: their silence begins now.
            for peer in self.peers.values_mut() {
                peer.detector.skip_next_gap();
                if !matches!(peer.state, State::Gone(_)) && peer.alive_at.is_finite() {
                    peer.silence_ignored_until = now;
                }
                peer.refused_since = None;
            }
            // What the others hear is as old as the pause, until they have told it anew.
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
            let limit = peer.detector.suspicion_timeout_s(
                SUSPECT_DEVIATIONS,
                s.suspect_after_s,
                s.gone_after_s / 2.0,
            );
            let refused = peer.refused_since.is_some_and(|since| now - since >= s.refused_after_s);
            // One that was never heard of is waited for as long as one that has fallen silent.
            let unheard = silent.min(others).min(now - self.started_at);
            let dead = refused && unheard >= s.refused_after_s;
            let lost = quorum && unheard >= s.gone_after_s;
            let next = match peer.state {
                State::Unseen if peer.incarnation.is_some() && silent <= limit => State::Alive,
                State::Unseen if !dead && !lost => State::Unseen,
                // What others hear of it brings nobody back here, but nobody is gone whom they hear.
                State::Gone(_) if silent <= limit => State::Alive,
                State::Gone(since) => State::Gone(since),
                _ if dead || lost => State::Gone(now),
                State::Alive if silent > limit => State::Suspected(now),
                State::Suspected(_) if silent <= limit => State::Alive,
                same => same,
            };
            match (peer.state, next) {
                (State::Gone(_), State::Alive) => self.changes.push(Change::Returned(member)),
                (State::Unseen | State::Suspected(_), State::Alive) => {
                    self.changes.push(Change::Alive(member))
                }
                (State::Alive, State::Suspected(_)) => self.changes.push(Change::Suspected(member, silent)),
                (State::Unseen | State::Alive | State::Suspected(_), State::Gone(_)) => {
                    self.changes.push(Change::Gone(member, dead));
                }
                _ => {}
            }
            peer.state = next;
            peer.process_ended = matches!(next, State::Gone(_)) && (peer.process_ended || dead);
        }
    }

    /// What is believed of each, to be compared or shown.
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
    /// In a word.
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
            write!(f, ", life {incarnation}")?;
        }
        match self.silent_s {
            Some(silent) => write!(f, ", heard {silent:.1} s ago")?,
            None => write!(f, ", never heard")?,
        }
        if let Some(others) = self.observed_ago_s {
            write!(f, ", by others {others:.1} s ago")?;
        }
        if self.not_receiving {
            write!(f, ", does not hear us")?;
        }
        Ok(())
    }
}

fn millis(seconds: f64) -> u32 {
    (seconds.max(0.0) * 1000.0).min(f64::from(u32::MAX - 1)) as u32
}
