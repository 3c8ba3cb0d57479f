//! Judges from what is observed of a site whether it is lost.
//!
//! | fault | its servers, from here | its gatekeepers | other members | verdict |
//! | --- | --- | --- | --- | --- |
//! | the site is dead | none answers | all gone | none reaches it | dead |
//! | it runs but is cut off from here | none answers | some are alive for any member | some reach it, or not | cut off |
//! | half of its servers are lost | some answer | any | any | partly lost: left to the decision module |
//! | it is slow | all answer, late | alive | reach it | healthy: left to the decision module |
//! | nothing is certain yet | none answers | suspected | no observation | uncertain |
//!
//! A site that no member can observe is dead only if this member receives from a majority of the members: a
//! member that is itself cut off must not take all others for dead.

/// Whether a server can be reached over its connection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ServerReachability {
    /// The server answers, however late.
    Answers,
    /// The server has been silent for longer than allowed, since this time in seconds.
    Silent(f64),
    /// The address of the server has refused or reset connections since this time in seconds.
    Refuses(f64),
    /// The server is no longer in the list.
    Gone,
}

/// The status of a gatekeeper of the site, as this member and the members that it receives from see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberStatus {
    /// Some member receives messages from it.
    Alive,
    /// It is silent and not yet gone.
    Suspected,
    /// No member receives messages from it.
    Gone,
}

/// What a member of another site reports of the servers of this site.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PeerObservation {
    /// Whether some servers answer that member.
    pub reachable: bool,
    /// The age of the report, in seconds.
    pub age_s: f64,
}

/// All observations of a site.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Evidence {
    /// The servers of the site, from here.
    pub servers: Vec<ServerReachability>,
    /// The gatekeepers of the site.
    pub members: Vec<MemberStatus>,
    /// What other members report.
    pub peer_observations: Vec<PeerObservation>,
    /// Whether this member receives from a majority of all members.
    pub has_quorum: bool,
}

/// The verdict on a site.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Verdict {
    /// Its servers answer.
    Healthy,
    /// Some of its servers do not answer.
    PartlyLost,
    /// None of its servers answers, and the cause is not certain.
    Uncertain,
    /// None of its servers answers here, but the site runs.
    CutOff,
    /// The site is down.
    Dead,
}

/// The time limits of the verdict, in seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EvidenceLimits {
    /// A server that has been silent for this long is unreachable.
    pub silent_after_s: f64,
    /// A server that has refused connections for this long is unreachable. It is short: the end of a process
    /// shows at once.
    pub refused_after_s: f64,
    /// Observations of other members that are older than this are ignored.
    pub max_observation_age_s: f64,
}

impl Default for EvidenceLimits {
    fn default() -> Self {
        EvidenceLimits { silent_after_s: 0.5, refused_after_s: 0.2, max_observation_age_s: 2.0 }
    }
}

impl ServerReachability {
    fn is_unreachable(&self, now: f64, limits: &EvidenceLimits) -> bool {
        match self {
            ServerReachability::Answers => false,
            ServerReachability::Silent(since) => now - since >= limits.silent_after_s,
            ServerReachability::Refuses(since) => now - since >= limits.refused_after_s,
            ServerReachability::Gone => true,
        }
    }

    fn answers(&self) -> bool {
        *self == ServerReachability::Answers
    }
}

/// Returns the verdict on a site at `now`, in seconds.
pub fn verdict(now: f64, evidence: &Evidence, limits: &EvidenceLimits) -> Verdict {
    let unreachable = evidence.servers.iter().filter(|s| s.is_unreachable(now, limits)).count();
    if unreachable < evidence.servers.len() {
        return if unreachable == 0 { Verdict::Healthy } else { Verdict::PartlyLost };
    }
    // A site without servers cannot lose them, and no load goes there anyway.
    if evidence.servers.is_empty() {
        return Verdict::Healthy;
    }
    let recent = || {
        evidence
            .peer_observations
            .iter()
            .filter(|observation| observation.age_s <= limits.max_observation_age_s)
    };
    if evidence.members.contains(&MemberStatus::Alive) || recent().any(|observation| observation.reachable) {
        return Verdict::CutOff;
    }
    // If all servers refuse connections the site is down, whichever members can be heard.
    let refused = evidence
        .servers
        .iter()
        .all(|s| matches!(s, ServerReachability::Refuses(_) | ServerReachability::Gone));
    let gone = evidence.members.iter().all(|m| *m == MemberStatus::Gone);
    match gone && (evidence.has_quorum || refused) {
        true => Verdict::Dead,
        false => Verdict::Uncertain,
    }
}

/// Whether some server of the site answers here. Members report this to each other.
pub fn any_server_answers(evidence: &Evidence) -> bool {
    evidence.servers.iter().any(ServerReachability::answers)
}

#[cfg(test)]
mod tests {
    use super::*;

    fn evidence(servers: &[ServerReachability], members: &[MemberStatus], reaches: &[bool]) -> Evidence {
        let others = reaches.iter().map(|r| PeerObservation { reachable: *r, age_s: 0.1 }).collect();
        Evidence {
            servers: servers.to_vec(),
            members: members.to_vec(),
            peer_observations: others,
            has_quorum: true,
        }
    }

    #[test]
    fn verdict_distinguishes_each_kind_of_fault() {
        use MemberStatus::{Alive, Gone, Suspected};
        use ServerReachability::{Answers, Refuses, Silent};
        let of = |evidence: &Evidence| verdict(10.0, evidence, &EvidenceLimits::default());
        let (unreachable, refuses) = (Silent(9.0), Refuses(9.7));
        assert_eq!(of(&evidence(&[Answers, Answers], &[Gone, Gone], &[false])), Verdict::Healthy);
        assert_eq!(of(&evidence(&[Answers, unreachable], &[Alive], &[true])), Verdict::PartlyLost);
        assert_eq!(
            of(&evidence(&[unreachable, refuses], &[Gone, Alive], &[false])),
            Verdict::CutOff,
            "one of its gatekeepers is alive"
        );
        assert_eq!(
            of(&evidence(&[unreachable, unreachable], &[Gone, Gone], &[false, true])),
            Verdict::CutOff,
            "another member reaches it"
        );
        assert_eq!(
            of(&evidence(&[unreachable, unreachable], &[Gone, Suspected], &[false])),
            Verdict::Uncertain
        );
        assert_eq!(of(&evidence(&[unreachable, refuses], &[Gone, Gone], &[false, false])), Verdict::Dead);
        assert_eq!(of(&evidence(&[], &[Gone], &[])), Verdict::Healthy);
        assert_eq!(
            of(&evidence(&[Silent(9.6), unreachable], &[Gone], &[])),
            Verdict::PartlyLost,
            "not silent for long enough"
        );
        assert_eq!(of(&evidence(&[Refuses(9.9)], &[Gone], &[])), Verdict::Healthy);
        assert_eq!(of(&evidence(&[ServerReachability::Gone], &[Gone], &[])), Verdict::Dead);
        // A member that is cut off from all others declares no silent site dead, but refused connections are
        // proof.
        let alone =
            Evidence { has_quorum: false, ..evidence(&[unreachable, unreachable], &[Gone, Gone], &[]) };
        assert_eq!(of(&alone), Verdict::Uncertain);
        let alone = Evidence { has_quorum: false, ..evidence(&[refuses], &[Gone], &[]) };
        assert_eq!(of(&alone), Verdict::Dead);
        // Old observations are ignored.
        let old = Evidence {
            peer_observations: vec![PeerObservation { reachable: true, age_s: 3.0 }],
            ..evidence(&[unreachable], &[Gone], &[])
        };
        assert_eq!(of(&old), Verdict::Dead);
        assert!(
            any_server_answers(&evidence(&[unreachable, Answers], &[], &[]))
                && !any_server_answers(&evidence(&[unreachable, refuses], &[], &[]))
        );
    }
}
