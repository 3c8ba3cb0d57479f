//! What a platform tells of a deployment, and how its servers are. The default is the deployment of three districts whose
//! servers report their load; others differ in kind, not in figures alone.

use std::ops::RangeInclusive;

/// How a deployment is.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Its three districts.
    pub districts: [&'static str; 3],
    /// How many gatekeepers the settings tell of; none is as many as there are.
    pub fronts: Option<u32>,
    /// A call whose attempt was cut short is not sent again for so long, in seconds.
    pub release: f64,
    /// A set-up that waits at a server comes again after so long, then at doubling gaps, and each repeat is work there;
    /// 0 is never. In seconds.
    pub retransmit: f64,
    /// Attempts allowed for a call.
    pub attempts: u32,
    /// The longest time to stay away that callers heed, in seconds; none where they are told nothing.
    pub stay_away: Option<f64>,
    /// A restarted server is warm after so long, in seconds, and begins with this share of its speed.
    pub cold: f64,
    /// The latter.
    pub cold_from: f64,
    /// Nothing new may reach a server so long after its drain was told, in seconds.
    pub drain_grace: f64,
    /// Servers report the share of set-ups that senders are to hold back.
    pub reports: bool,
    /// How many calls a server holds, where it tells so: unasked, and in its reports.
    pub lines: Option<usize>,
    /// A full server says how long to wait, in parameter 40.
    pub tells_wait: bool,
    /// The wait at its processor beyond which a server turns set-ups away, in seconds.
    pub most_wait: f64,
    /// Releases go ahead of set-ups that wait.
    pub finish_first: bool,
    /// A set-up that was given up is dropped; else it is worked on.
    pub cancel_drops: bool,
    /// Callers mark a further try, by parameter 25.
    pub marks_retry: bool,
    /// By how much one way between districts is longer, in times of [`crate::world::WAYS`].
    pub far: f64,
}

impl Default for Deployment {
    fn default() -> Self {
        Deployment {
            districts: crate::world::DISTRICTS,
            fronts: None,
            release: 0.3,
            retransmit: 0.4,
            attempts: 6,
            stay_away: Some(2.0),
            cold: 14.0,
            cold_from: 0.29,
            drain_grace: 0.25,
            reports: true,
            lines: Some(800),
            tells_wait: false,
            most_wait: 2.5,
            finish_first: false,
            cancel_drops: true,
            marks_retry: false,
            far: 1.0,
        }
    }
}

impl Deployment {
    /// Servers that report nothing of their load, and say how long to wait when they are full.
    pub fn silent_servers() -> Deployment {
        Deployment {
            districts: ["portland", "seattle", "boise"],
            release: 0.5,
            retransmit: 0.5,
            attempts: 5,
            cold: 12.0,
            cold_from: 0.33,
            drain_grace: 1.0,
            reports: false,
            tells_wait: true,
            most_wait: 2.9,
            finish_first: true,
            marks_retry: true,
            ..Deployment::default()
        }
    }

    /// The names in load reports.
    pub fn telemetry(&self) -> Vec<&'static str> {
        let lines = if self.lines.is_some() { &["free", "size"][..] } else { &[] };
        let share = if self.reports { &["hold_back"][..] } else { &[] };
        [lines, share].concat()
    }

    /// Whether every figure is one that a platform could tell.
    pub fn is_sound(&self) -> bool {
        let within = |value: f64, range: RangeInclusive<f64>| range.contains(&value);
        within(self.release, 0.0..=60.0)
            && within(self.retransmit, 0.0..=60.0)
            && within(self.cold_from, 0.01..=1.0)
            && within(self.cold, 0.1..=600.0)
            && self.attempts > 0
    }
}
