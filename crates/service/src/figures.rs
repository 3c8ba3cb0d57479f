//! The figures: counts of what became of the requests, and gauges read when asked. One model, which the
//! control address gives as JSON and which later fronts (an SNMP agent) read too.
//!
//! Counts start at 0 in each process. A class that the settings drop keeps its counts, as they are still
//! true of the time before, and a class that comes back goes on from them.

use std::collections::BTreeMap;

use serde::Serialize;

#[cfg(test)]
mod tests;

/// Classes counted at most; a name beyond them is counted under [`OTHER_CLASS`]. Bounds the map against settings
/// that bring new names at every reload.
pub const MAX_CLASSES: usize = 256;
/// Where the requests of classes beyond the bound are counted.
pub const OTHER_CLASS: &str = "other";

/// What became of a request: its final answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Succeeded,
    /// Refused.
    Declined,
    /// Failed.
    Aborted,
}

/// What is read at the moment it is asked.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Gauges {
    /// Requests taken that have not ended.
    pub outstanding: u64,
    /// Session servers in the list.
    pub discovered: u64,
    /// Listed session servers that are avoided now.
    pub ejected: u64,
    /// Answers of the resolver that could not be taken, since the start.
    pub unusable_lists: u64,
    /// Ends of calls that were sent again on another connection, as they were not read on theirs, since the start.
    pub ends_redelivered: u64,
    /// Ends of calls on connections that were reset of which nothing tells whether they were read, since the start.
    pub ends_unconfirmed: u64,
    /// Connections of clients that were closed in drains, since the start.
    pub drain_closed: u64,
    /// Set-ups that were refused as they came late in a drain, since the start.
    pub drain_refused: u64,
    /// Set-ups that got their final answer in drains before a server gave one, since the start.
    pub drain_answered: u64,
    /// Calls that stood and were cut in drains, since the start.
    pub drain_cut: u64,
}

/// What is told of the fleet, where there is one: gauges of members, records and calls adopted now, and counts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
#[expect(missing_docs, reason = "the names are those of the page")]
pub struct FleetFigures {
    pub members_alive: u64,
    pub members_suspected: u64,
    pub members_gone: u64,
    pub records: u64,
    pub calls_adopted_now: u64,
    pub calls_adopted: u64,
    pub conflicts: u64,
    pub copies_differed: u64,
    pub copies_mended: u64,
    pub records_left_out: u64,
    pub links_refused: u64,
    pub bytes_said: u64,
}

/// The figures as told: per class, and the rest.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Report {
    /// Requests served, by class.
    pub succeeded: BTreeMap<String, u64>,
    /// Requests refused, by class.
    pub declined: BTreeMap<String, u64>,
    /// Requests failed, by class.
    pub aborted: BTreeMap<String, u64>,
    /// Attempts written whole to session servers.
    pub forwards: u64,
    /// What is read at the moment.
    #[serde(flatten)]
    pub gauges: Gauges,
    /// Files taken at SIGHUP.
    pub sighup_applied: u64,
    /// Files turned down at SIGHUP.
    pub sighup_rejected: u64,
    /// Of the fleet, where the own configuration names one.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub fleet: Option<FleetFigures>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    succeeded: u64,
    declined: u64,
    aborted: u64,
}

/// The counts of this process.
#[derive(Clone, Debug, Default)]
pub struct Figures {
    classes: BTreeMap<String, Counts>,
    forwards: u64,
    sighup_applied: u64,
    sighup_rejected: u64,
}

impl Figures {
    /// Counts from 0, with the classes named so far shown at 0.
    pub fn new<'a>(classes: impl IntoIterator<Item = &'a str>) -> Self {
        let mut figures = Figures::default();
        figures.add_classes(classes);
        figures
    }

    /// Shows classes of new settings at 0 from now on.
    pub fn add_classes<'a>(&mut self, classes: impl IntoIterator<Item = &'a str>) {
        for class in classes {
            self.counts(class);
        }
    }

    fn counts(&mut self, class: &str) -> &mut Counts {
        let name = match self.classes.contains_key(class) || self.classes.len() < MAX_CLASSES {
            true => class,
            false => OTHER_CLASS,
        };
        self.classes.entry(name.to_string()).or_default()
    }

    /// A request of a class has its final answer.
    pub fn answered(&mut self, class: &str, outcome: Outcome) {
        let counts = self.counts(class);
        let count = match outcome {
            Outcome::Succeeded => &mut counts.succeeded,
            Outcome::Declined => &mut counts.declined,
            Outcome::Aborted => &mut counts.aborted,
        };
        *count += 1;
    }

    /// An attempt was written whole to a session server.
    pub fn forwarded(&mut self) {
        self.forwards += 1;
    }

    /// A file read at SIGHUP was taken, or turned down.
    pub fn reloaded(&mut self, taken: bool) {
        match taken {
            true => self.sighup_applied += 1,
            false => self.sighup_rejected += 1,
        }
    }

    /// The figures with the gauges of the moment.
    pub fn report(&self, gauges: Gauges) -> Report {
        let by = |pick: fn(&Counts) -> u64| self.classes.iter().map(|(k, c)| (k.clone(), pick(c))).collect();
        Report {
            succeeded: by(|c| c.succeeded),
            declined: by(|c| c.declined),
            aborted: by(|c| c.aborted),
            forwards: self.forwards,
            gauges,
            sighup_applied: self.sighup_applied,
            sighup_rejected: self.sighup_rejected,
            fleet: None,
        }
    }
}
