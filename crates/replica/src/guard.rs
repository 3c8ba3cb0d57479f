//! What the decision module is told of what others know: as a gate, and as a word on its list.
//!
//! Hearsay only ever restricts. A server that another member's list calls draining, gone or started later is told to the
//! module as that, by an entry of the list; a server is never sent to because others name it. One that another member
//! finds silent is denied by the gate until an own word of it is younger, unless all are: what others say never shuts
//! the last door. Tried as a last resort while others are in service, it wasted 60 set-ups where this wastes 44, at the
//! same service (docs/REPLICATION.md).

use std::collections::HashMap;

use hollypaddle_policy::{Candidate, Denial, Event, Gate, PoolEntry, PoolId, Readiness};

use crate::record::ServerState;
use crate::store::ServerObservation;

/// A word that a server is silent counts for so long, in seconds; who still finds it so says it again.
pub const SILENCE_VALIDITY_S: f64 = 3.0;
/// A call that is turned away because this member does not know what holds may come again after so long.
const HOLD_RETRY_AFTER_S: f64 = 0.5;
/// One turned away for hearsay of silence.
const SILENCE_RETRY_AFTER_S: f64 = 0.25;

/// The gate.
#[derive(Debug, Default)]
pub struct Guard {
    /// Nothing may be sent: what is believed is old.
    on_hold: bool,
    /// Pools that others find silent, and whether any other is in service.
    silent_since: HashMap<PoolId, f64>,
    any_responsive: bool,
    /// Set-ups that were denied, and calls turned away for it.
    pub denied: u64,
    /// Calls turned away.
    pub calls_refused: u64,
}

impl Guard {
    /// Nothing may be sent, or it may again.
    pub fn set_hold(&mut self, hold: bool) {
        self.on_hold = hold;
    }

    /// Whether nothing may be sent.
    pub fn is_holding(&self) -> bool {
        self.on_hold
    }

    /// Takes what others say of a pool's silence: since when that counts; the own member heard it last at `heard`.
    pub fn update_silence(&mut self, now: f64, pool: PoolId, said: Option<f64>, heard: f64) {
        match said.filter(|at| now - at < SILENCE_VALIDITY_S && heard <= *at) {
            Some(at) => drop(self.silent_since.insert(pool, at)),
            None => drop(self.silent_since.remove(&pool)),
        }
    }

    /// The own member heard a pool.
    pub fn server_answered(&mut self, pool: PoolId) {
        self.silent_since.remove(&pool);
    }

    /// Takes the pools that are in service: one that is not there any more is forgotten.
    pub fn set_in_service(&mut self, pools: &[PoolId]) {
        self.silent_since.retain(|pool, _| pools.contains(pool));
        self.any_responsive = pools.iter().any(|pool| !self.silent_since.contains_key(pool));
    }

    /// Pools that are denied now.
    pub fn silent_servers(&self) -> usize {
        self.silent_since.len()
    }
}

impl Gate for Guard {
    fn on_event(&mut self, _: f64, event: &Event) {
        // Its own word ends what others say.
        if let Event::Established { pool, .. } | Event::Load { pool, .. } = event {
            self.server_answered(*pool);
        }
    }

    fn may_send(&mut self, now: f64, candidate: &Candidate) -> Result<(), Denial> {
        let denial = if self.on_hold {
            Denial { reason: "fleet-catching-up", retry_after: HOLD_RETRY_AFTER_S }
        } else if self.any_responsive
            && self.silent_since.get(&candidate.pool).is_some_and(|at| now - at < SILENCE_VALIDITY_S)
        {
            Denial { reason: "fleet-silent-server", retry_after: SILENCE_RETRY_AFTER_S }
        } else {
            return Ok(());
        };
        self.denied += 1;
        Err(denial)
    }

    fn on_sent(&mut self, _: f64, _: &Candidate) {}

    fn on_refused(&mut self, _: f64, _: &Candidate, _: &Denial) {
        self.calls_refused += 1;
    }
}

/// A line of the own list, as of then, with what others know: the later start, and the worse place of that start. What
/// they heard longer before the own list was last heard than lists come late counts for nothing: that list knows as much
/// by now. Their start is in Unix milliseconds as the own list's is.
pub fn apply_observation(
    entry: PoolEntry,
    said: Option<&ServerObservation>,
    own_at: f64,
    lists_late: f64,
) -> PoolEntry {
    let Some(said) = said.filter(|said| said.at > own_at - lists_late) else { return entry };
    let (theirs, own) = (said.fact.started_ms as f64 / 1000.0, entry.ready_at);
    if theirs < own {
        return entry;
    }
    let place = match said.fact.place {
        ServerState::Ready => Readiness::Ready,
        // Only the own list takes a server away; what it holds of one that is gone must still find it.
        ServerState::Draining | ServerState::Gone => Readiness::Draining,
    };
    let rank = |r: Readiness| match r {
        Readiness::Ready => 0,
        Readiness::Draining => 1,
        Readiness::Gone => 2,
    };
    // Of a later start that the own list does not know, its own place says nothing.
    let readiness = if theirs > own || rank(place) > rank(entry.readiness) { place } else { entry.readiness };
    let readiness = if rank(entry.readiness) == 2 { entry.readiness } else { readiness };
    PoolEntry { readiness, ready_at: own.max(theirs), ..entry }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::record::ServerFact;
    use hollypaddle_membership::MemberId;

    fn said(started_ms: u64, place: ServerState) -> ServerObservation {
        ServerObservation {
            at: 10.0,
            fact: ServerFact { started_ms, place },
            silent: Some((0.0, MemberId(1))),
        }
    }

    fn entry(ready_at: f64, readiness: Readiness) -> PoolEntry {
        PoolEntry { pool: PoolId(1), number: 0, readiness, ready_at, district: None }
    }

    #[test]
    fn hearsay_restricts_and_never_opens() {
        use Readiness::{Draining, Gone, Ready};
        let of = |own: PoolEntry, s: ServerObservation| apply_observation(own, Some(&s), 9.0, 2.0).readiness;
        let later = apply_observation(entry(5.0, Ready), Some(&said(5000, ServerState::Draining)), 12.5, 2.0);
        assert_eq!(later.readiness, Ready, "the own list was heard since");
        let later = apply_observation(entry(5.0, Ready), Some(&said(5000, ServerState::Draining)), 12.5, 7.0);
        assert_eq!(later.readiness, Draining, "where lists come later, it may not know yet");
        assert_eq!(of(entry(5.0, Ready), said(5000, ServerState::Draining)), Draining);
        assert_eq!(of(entry(5.0, Ready), said(5000, ServerState::Gone)), Draining);
        assert_eq!(of(entry(5.0, Draining), said(5000, ServerState::Ready)), Draining);
        assert_eq!(of(entry(5.0, Gone), said(6000, ServerState::Ready)), Gone);
        assert_eq!(of(entry(5.0, Ready), said(4000, ServerState::Gone)), Ready, "of an earlier start");
        let restarted = apply_observation(entry(5.0, Ready), Some(&said(9000, ServerState::Ready)), 9.0, 2.0);
        assert_eq!((restarted.readiness, restarted.ready_at), (Ready, 9.0), "cold, as of its later start");
        assert_eq!(apply_observation(entry(5.0, Ready), None, 9.0, 2.0), entry(5.0, Ready));
    }

    #[test]
    fn a_silent_server_is_denied_until_it_is_heard_or_the_word_is_old_and_never_if_all_are() {
        let mut guard = Guard::default();
        let candidate =
            Candidate { call: 1, class: 0, pool: PoolId(1), attempt: 0, first_tried: 0.0, last_resort: true };
        guard.update_silence(10.0, PoolId(1), Some(9.5), 9.0);
        guard.set_in_service(&[PoolId(1), PoolId(2)]);
        assert_eq!(guard.may_send(10.0, &candidate).unwrap_err().reason, "fleet-silent-server");
        guard.set_in_service(&[PoolId(1)]);
        assert!(guard.may_send(10.0, &candidate).is_ok(), "the last door");
        guard.set_in_service(&[PoolId(1), PoolId(2)]);
        assert!(guard.may_send(9.5 + SILENCE_VALIDITY_S, &candidate).is_ok(), "old");
        guard.update_silence(10.0, PoolId(1), Some(9.5), 9.6);
        assert!(guard.may_send(10.0, &candidate).is_ok(), "heard since");
        guard.update_silence(10.0, PoolId(1), Some(9.5), 9.0);
        guard.on_event(10.1, &Event::Load { pool: PoolId(1), report: Default::default() });
        assert!(guard.may_send(10.1, &candidate).is_ok(), "heard now");
        guard.set_hold(true);
        assert_eq!(guard.may_send(10.2, &candidate).unwrap_err().reason, "fleet-catching-up");
    }
}
