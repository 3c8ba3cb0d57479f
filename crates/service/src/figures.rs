//! Collects the figures of a gatekeeper: counters of the outcomes of requests, and gauges read on demand.
//!
//! The control address reports them as JSON; other interfaces (such as an SNMP agent) may use the same model later.
//!
//! Counters start at 0 in each process. A class that the settings drop keeps its counters, as they remain correct for the
//! time before, and a class that is added again continues them.

use std::collections::BTreeMap;

use serde::Serialize;

#[cfg(test)]
mod tests;

/// Maximum number of classes with counters of their own; further names are counted under [`OTHER_CLASS`]. Bounds the map
/// if settings bring new names at every reload.
pub const MAX_CLASSES: usize = 256;
/// Name under which the requests of all further classes are counted.
pub const OTHER_CLASS: &str = "other";

/// Outcome of a request, by its final answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Succeeded,
    /// Refused.
    Declined,
    /// Failed.
    Aborted,
}

/// Values read at the time of a report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Gauges {
    /// Accepted requests that have not ended.
    pub outstanding: u64,
    /// Session servers in the list.
    pub discovered: u64,
    /// Listed session servers that are currently avoided.
    pub ejected: u64,
    /// Answers of the resolver that could not be used, since the start.
    pub unusable_lists: u64,
    /// Answers of the resolver that were passed over, since the start: their query was not awaited any more, or their list was
    /// neither the current one nor applied.
    pub lists_passed_over: u64,
    /// Calls whose server was replaced at its address and that are at the new process.
    pub calls_moved: u64,
    /// Calls whose server was replaced at its address and that were cut, as nothing showed that the new process holds them.
    pub calls_cut_at_replacement: u64,
    /// Ends of calls that were sent again on another connection because they were not read on their own, since the start.
    pub ends_redelivered: u64,
    /// Ends of calls on connections that were reset, for which it is unknown whether they were read, since the start.
    pub ends_unconfirmed: u64,
    /// Client connections closed by drains, since the start.
    pub drain_closed: u64,
    /// Set-ups refused because they arrived late in a drain, since the start.
    pub drain_refused: u64,
    /// Set-ups that got their final answer in a drain before a server answered, since the start.
    pub drain_answered: u64,
    /// Standing calls cut by drains, since the start.
    pub drain_cut: u64,
}

/// Figures of the fleet, if there is one: gauges of members, records and calls adopted now; the rest are counters.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
#[expect(missing_docs, reason = "the documentation of the figures explains these names")]
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

/// The figures as reported, by class and in total.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Report {
    /// Requests served, by class.
    pub succeeded: BTreeMap<String, u64>,
    /// Requests refused, by class.
    pub declined: BTreeMap<String, u64>,
    /// Requests failed, by class.
    pub aborted: BTreeMap<String, u64>,
    /// Attempts written completely to session servers.
    pub forwards: u64,
    /// Values read at the time of the report.
    #[serde(flatten)]
    pub gauges: Gauges,
    /// Files applied at SIGHUP.
    pub sighup_applied: u64,
    /// Files rejected at SIGHUP.
    pub sighup_rejected: u64,
    /// Figures of the fleet, if the own configuration names one.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub fleet: Option<FleetFigures>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    succeeded: u64,
    declined: u64,
    aborted: u64,
}

/// The counters of this process.
#[derive(Clone, Debug, Default)]
pub struct Figures {
    classes: BTreeMap<String, Counts>,
    forwards: u64,
    sighup_applied: u64,
    sighup_rejected: u64,
}

impl Figures {
    /// Creates counters at 0 for these classes.
    pub fn new<'a>(classes: impl IntoIterator<Item = &'a str>) -> Self {
        let mut figures = Figures::default();
        figures.add_classes(classes);
        figures
    }

    /// Adds counters at 0 for the classes of new settings that have none yet.
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

    /// Counts the final answer to a request of a class.
    pub fn answered(&mut self, class: &str, outcome: Outcome) {
        let counts = self.counts(class);
        let count = match outcome {
            Outcome::Succeeded => &mut counts.succeeded,
            Outcome::Declined => &mut counts.declined,
            Outcome::Aborted => &mut counts.aborted,
        };
        *count += 1;
    }

    /// Counts an attempt that was written completely to a session server.
    pub fn forwarded(&mut self) {
        self.forwards += 1;
    }

    /// Counts a file read at SIGHUP that was applied or rejected.
    pub fn reloaded(&mut self, applied: bool) {
        match applied {
            true => self.sighup_applied += 1,
            false => self.sighup_rejected += 1,
        }
    }

    /// Builds a report from the counters and the current gauges.
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
