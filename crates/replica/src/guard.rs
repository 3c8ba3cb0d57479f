//! Restricts the decision module by what other members observed: as a gate for set-ups, and as a change to entries of
//! the own list.
//!
//! Peer observations only ever restrict. A server that another member's list has as draining, gone or started later
//! is passed on to the module as such, by an entry of the list; no server is ever sent to because others name it. A
//! server that another member finds silent is denied by the gate until the own member has a younger message from it,
//! unless all servers are silent: observations of others never exclude the last server. When such servers were
//! instead tried as a last resort while others were in service, 60 set-ups were wasted, against 44 this way, at the
//! same service (docs/REPLICATION.md).

use std::collections::HashMap;

use hollypaddle_policy::{Candidate, Denial, Event, Gate, PoolEntry, PoolId, Readiness};

use crate::record::ServerState;
use crate::store::ServerObservation;

/// How long a report that a server is silent counts, in seconds; a member that still finds it silent reports it
/// again.
pub const SILENCE_VALIDITY_S: f64 = 3.0;
/// When a call may come again that was refused because this member does not know the present state, in seconds.
const HOLD_RETRY_AFTER_S: f64 = 0.5;
/// When a call may come again that was refused since others report its servers silent, in seconds.
const SILENCE_RETRY_AFTER_S: f64 = 0.25;

/// A gate that denies set-ups by what other members know.
#[derive(Debug, Default)]
pub struct Guard {
    /// Nothing may be sent: the own knowledge is out of date.
    on_hold: bool,
    /// Pools that other members find silent, with the time of the report; and whether any pool in service is not
    /// among them (`any_responsive`).
    silent_since: HashMap<PoolId, f64>,
    any_responsive: bool,
    /// Set-ups that were denied.
    pub denied: u64,
    /// Calls that were refused because their set-ups were denied.
    pub calls_refused: u64,
}

impl Guard {
    /// Forbids all set-ups, or allows them again.
    pub fn set_hold(&mut self, hold: bool) {
        self.on_hold = hold;
    }

    /// Whether all set-ups are forbidden.
    pub fn is_holding(&self) -> bool {
        self.on_hold
    }

    /// Updates what other members report of a pool's silence: `reported_at` is the time of the latest report;
    /// `last_received` is when this member last received anything from the pool.
    pub fn update_silence(&mut self, now: f64, pool: PoolId, reported_at: Option<f64>, last_received: f64) {
        match reported_at.filter(|at| now - at < SILENCE_VALIDITY_S && last_received <= *at) {
            Some(at) => drop(self.silent_since.insert(pool, at)),
            None => drop(self.silent_since.remove(&pool)),
        }
    }

    /// Records that this member received a message from a pool, which ends its silence.
    pub fn server_answered(&mut self, pool: PoolId) {
        self.silent_since.remove(&pool);
    }

    /// Sets the pools that are in service; pools that are no longer among them are dropped.
    pub fn set_in_service(&mut self, pools: &[PoolId]) {
        self.silent_since.retain(|pool, _| pools.contains(pool));
        self.any_responsive = pools.iter().any(|pool| !self.silent_since.contains_key(pool));
    }

    /// The number of pools that others find silent.
    pub fn silent_servers(&self) -> usize {
        self.silent_since.len()
    }
}

impl Gate for Guard {
    fn on_event(&mut self, _: f64, event: &Event) {
        // A message that this member receives itself ends what others report.
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

/// Applies what others know of a server to its entry in the own list, as received at `own_received_at`: the later
/// start wins, and of one start the worse state. An observation that is older than the own list by `max_list_delay`
/// (seconds) or more counts for nothing: by now the own list knows as much. Both starts are in Unix time, that of the
/// observation in milliseconds.
pub fn apply_observation(
    entry: PoolEntry,
    observation: Option<&ServerObservation>,
    own_received_at: f64,
    max_list_delay: f64,
) -> PoolEntry {
    let Some(observation) =
        observation.filter(|observation| observation.at > own_received_at - max_list_delay)
    else {
        return entry;
    };
    let (observed_start, own_start) = (observation.fact.started_ms as f64 / 1000.0, entry.ready_at);
    if observed_start < own_start {
        return entry;
    }
    let observed = match observation.fact.place {
        ServerState::Ready => Readiness::Ready,
        // Only the own list removes a server: requests for calls that it still holds must reach it.
        ServerState::Draining | ServerState::Gone => Readiness::Draining,
    };
    let rank = |r: Readiness| match r {
        Readiness::Ready => 0,
        Readiness::Draining => 1,
        Readiness::Gone => 2,
    };
    // The own list does not know of the later start, so its state says nothing about it.
    let readiness = if observed_start > own_start || rank(observed) > rank(entry.readiness) {
        observed
    } else {
        entry.readiness
    };
    let readiness = if rank(entry.readiness) == 2 { entry.readiness } else { readiness };
    PoolEntry { readiness, ready_at: own_start.max(observed_start), ..entry }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::record::ServerFact;
    use hollypaddle_membership::MemberId;

    fn observation(started_ms: u64, place: ServerState) -> ServerObservation {
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
    fn an_observation_of_another_member_only_ever_restricts_an_entry() {
        use Readiness::{Draining, Gone, Ready};
        let readiness =
            |own: PoolEntry, s: ServerObservation| apply_observation(own, Some(&s), 9.0, 2.0).readiness;
        let applied =
            apply_observation(entry(5.0, Ready), Some(&observation(5000, ServerState::Draining)), 12.5, 2.0);
        assert_eq!(applied.readiness, Ready, "the own list is younger by more than lists are delayed");
        let applied =
            apply_observation(entry(5.0, Ready), Some(&observation(5000, ServerState::Draining)), 12.5, 7.0);
        assert_eq!(applied.readiness, Draining, "with a longer delay readiness lists it may not know yet");
        assert_eq!(readiness(entry(5.0, Ready), observation(5000, ServerState::Draining)), Draining);
        assert_eq!(readiness(entry(5.0, Ready), observation(5000, ServerState::Gone)), Draining);
        assert_eq!(readiness(entry(5.0, Draining), observation(5000, ServerState::Ready)), Draining);
        assert_eq!(readiness(entry(5.0, Gone), observation(6000, ServerState::Ready)), Gone);
        assert_eq!(
            readiness(entry(5.0, Ready), observation(4000, ServerState::Gone)),
            Ready,
            "observed readiness an earlier start"
        );
        let restarted =
            apply_observation(entry(5.0, Ready), Some(&observation(9000, ServerState::Ready)), 9.0, 2.0);
        assert_eq!(
            (restarted.readiness, restarted.ready_at),
            (Ready, 9.0),
            "cold, as readiness its applied start"
        );
        assert_eq!(apply_observation(entry(5.0, Ready), None, 9.0, 2.0), entry(5.0, Ready));
    }

    #[test]
    fn a_server_reported_silent_is_denied_until_it_answers_or_the_report_expires_unless_it_is_the_last() {
        let mut guard = Guard::default();
        let candidate =
            Candidate { call: 1, class: 0, pool: PoolId(1), attempt: 0, first_tried: 0.0, last_resort: true };
        guard.update_silence(10.0, PoolId(1), Some(9.5), 9.0);
        guard.set_in_service(&[PoolId(1), PoolId(2)]);
        assert_eq!(guard.may_send(10.0, &candidate).unwrap_err().reason, "fleet-silent-server");
        guard.set_in_service(&[PoolId(1)]);
        assert!(guard.may_send(10.0, &candidate).is_ok(), "the last server in service");
        guard.set_in_service(&[PoolId(1), PoolId(2)]);
        assert!(guard.may_send(9.5 + SILENCE_VALIDITY_S, &candidate).is_ok(), "the report has expired");
        guard.update_silence(10.0, PoolId(1), Some(9.5), 9.6);
        assert!(guard.may_send(10.0, &candidate).is_ok(), "received from it since the report");
        guard.update_silence(10.0, PoolId(1), Some(9.5), 9.0);
        guard.on_event(10.1, &Event::Load { pool: PoolId(1), report: Default::default() });
        assert!(guard.may_send(10.1, &candidate).is_ok(), "received from it now");
        guard.set_hold(true);
        assert_eq!(guard.may_send(10.2, &candidate).unwrap_err().reason, "fleet-catching-up");
    }
}
