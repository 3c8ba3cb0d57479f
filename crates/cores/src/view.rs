//! Decides what one worker may do with a set-up, given the ownership tables that it received.
//!
//! Two workers must never have an attempt in flight for the same call. Four things could cause that, and each
//! has its safeguard:
//!
//! 1. *Two tables in use at once.* A worker that was paused, or has not received an update, uses an old table
//!    while another one uses the new table. The tables are therefore a lease: they are valid for `lease_s`
//!    seconds from when the supervisor sent them, and a new table takes effect that long after it was made.
//!    When the new table takes effect nobody uses the old one, whether the change was received or not. The
//!    supervisor and the workers share the clock of one machine.
//! 2. *A worker that died.* Its attempts may still be in flight. Its call ids are fenced for the release time,
//!    from the moment at which its exit was known.
//! 3. *A call id that returns after its owner changed.* The previous owner may hold the call. Until all calls
//!    of that time are over the new owner asks the previous one, which alone knows, and accepts the call only
//!    if the previous owner does not hold it.
//! 4. *A worker that is paused past the time limit of a call.* Nobody gives its calls up. The supervisor kills
//!    a silent worker, and the calls that it may hold count for that much longer.

use std::collections::VecDeque;

use crate::table::OwnershipTable;
use crate::Worker;

/// The largest number of tables in the history. If more changes than this come within the lifetime of a call,
/// every worker counts as a previous owner.
const MAX_TABLES: usize = 16;

/// What a worker may do with a set-up.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Decision {
    /// This worker owns the call: accept it now.
    Accept,
    /// Another worker owns the call: forward the set-up to it.
    Forward(Worker),
    /// This worker owns the call, but the named worker owned it before and may hold it: ask that one first, and
    /// all others that [`WorkerView::previous_owners`] returns.
    Ask(Worker),
    /// This worker owns the call, but nobody may send under its id before this time, in seconds.
    Wait(f64),
    /// The tables are too old to act on, or no worker serves: refuse the set-up.
    Refuse,
}

/// A table with the time from which it is in effect.
#[derive(Clone, Debug, PartialEq)]
pub struct ScheduledTable {
    /// The table.
    pub table: OwnershipTable,
    /// The time from which the table is in effect, in seconds.
    pub effective_from: f64,
    /// The worker that died with this change, and the time until which its call ids are fenced, in seconds.
    pub fenced: Option<(Worker, f64)>,
}

/// The durations that set when a change takes effect.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Timing {
    /// How long received tables are valid, in seconds.
    pub lease_s: f64,
    /// The release time, in seconds: for this long after an attempt that may have run, nothing is sent again.
    pub release_s: f64,
    /// The longest time that a call may be open, in seconds.
    pub max_call_s: f64,
    /// The supervisor kills a worker that has sent nothing for this long, in seconds. Until then the worker may
    /// be paused and hold its calls past their time limit, as nobody gives them up.
    pub silence_limit_s: f64,
}

impl Timing {
    /// The longest time that a worker may hold a call that it accepted.
    fn max_hold_s(&self) -> f64 {
        self.max_call_s + self.silence_limit_s
    }

    /// Schedules a table in which a worker begins to serve, or has ended in an orderly way and holds no calls.
    /// It takes effect when nobody can use the old table any more.
    pub fn schedule_change(&self, now: f64, table: OwnershipTable) -> ScheduledTable {
        ScheduledTable { table, effective_from: now + self.lease_s, fenced: None }
    }

    /// Schedules a table without a worker whose process has ended, as its parent knows for certain. The dead
    /// worker uses no table, so the new table takes effect at once. The views of the other workers differ only
    /// in the ids of the dead one, and these are fenced for at least as long as a lease.
    pub fn schedule_death(&self, now: f64, table: OwnershipTable, worker: Worker) -> ScheduledTable {
        let until = now + self.release_s.max(self.lease_s);
        ScheduledTable { table, effective_from: now, fenced: Some((worker, until)) }
    }
}

/// The tables that are in effect, recently were, or will be: what the supervisor sends. A worker needs all of
/// them, because one that has just started, or was paused, must know which workers may hold a call from before.
#[derive(Clone, Debug, PartialEq)]
pub struct TableHistory {
    timing: Timing,
    /// Oldest first.
    tables: VecDeque<ScheduledTable>,
    /// The end of the last table that was dropped before its calls were over, in seconds.
    dropped_until: f64,
}

impl TableHistory {
    /// Creates a history with its first table.
    pub fn new(first: ScheduledTable, timing: Timing) -> TableHistory {
        TableHistory { timing, tables: VecDeque::from([first]), dropped_until: f64::NEG_INFINITY }
    }

    /// Returns the newest table.
    pub fn newest(&self) -> Option<&ScheduledTable> {
        self.tables.back()
    }

    fn version(&self) -> u64 {
        self.newest().map_or(0, |dated| dated.table.version())
    }

    /// Records that a worker begins to serve, or has ended in an orderly way. The change takes effect no
    /// earlier than those recorded before it.
    pub fn record_change(&mut self, now: f64, worker: Worker, serves: bool) {
        self.push(now, |table, at, timing| timing.schedule_change(at, table.with_serving(worker, serves)));
    }

    /// Records that the process of a worker has ended.
    pub fn record_death(&mut self, now: f64, worker: Worker) {
        self.push(now, |table, _, timing| {
            timing.schedule_death(now, table.with_serving(worker, false), worker)
        });
    }

    fn push(&mut self, now: f64, make: impl Fn(&OwnershipTable, f64, &Timing) -> ScheduledTable) {
        let Some(newest) = self.tables.back() else { return };
        let least = newest.effective_from;
        let mut dated = make(&newest.table, now.max(least), &self.timing);
        dated.effective_from = dated.effective_from.max(least);
        self.tables.push_back(dated);
        // Drop tables from whose time no call can still be open.
        while self.tables.get(1).is_some_and(|next| next.effective_from + self.timing.max_hold_s() <= now) {
            self.tables.pop_front();
        }
        while self.tables.len() > MAX_TABLES {
            self.tables.pop_front();
            self.dropped_until = self
                .tables
                .front()
                .map_or(self.dropped_until, |first| self.dropped_until.max(first.effective_from));
        }
    }
}

/// The tables as one worker knows them.
#[derive(Clone, Debug)]
pub struct WorkerView {
    own: Worker,
    timing: Timing,
    history: Option<TableHistory>,
    /// When the supervisor sent the tables that were last received, in seconds.
    sent_at: f64,
}

impl WorkerView {
    /// Creates the view of a worker that has received no tables: it refuses all set-ups.
    pub fn new(own: Worker, timing: Timing) -> WorkerView {
        WorkerView { own, timing, history: None, sent_at: f64::NEG_INFINITY }
    }

    /// Receives the tables from the supervisor, changed or not. `sent_at` is the time at which the supervisor
    /// sent them, in seconds. Tables older than the present ones change nothing.
    pub fn receive(&mut self, sent_at: f64, history: &TableHistory) {
        let held = self.history.as_ref().map_or(0, TableHistory::version);
        if history.version() > held {
            self.history = Some(history.clone());
        }
        if history.version() >= held {
            self.sent_at = self.sent_at.max(sent_at);
        }
    }

    fn tables(&self) -> impl DoubleEndedIterator<Item = &ScheduledTable> + ExactSizeIterator {
        static NONE: VecDeque<ScheduledTable> = VecDeque::new();
        self.history.as_ref().map_or(&NONE, |history| &history.tables).iter()
    }

    /// Whether the tables are recent enough to act on. Check again right before each send: a paused worker may
    /// resume in the middle of any operation.
    pub fn is_fresh(&self, now: f64) -> bool {
        now - self.sent_at < self.timing.lease_s
    }

    /// Returns the table that is in effect.
    pub fn current_table(&self, now: f64) -> Option<&OwnershipTable> {
        self.tables().rev().find(|dated| dated.effective_from <= now).map(|dated| &dated.table)
    }

    /// Returns the other serving workers that may hold a call from before: the owners of the call in all tables
    /// that were in effect while it may have arrived.
    pub fn previous_owners(&self, now: f64, call: u64) -> Vec<Worker> {
        let mut before = Vec::new();
        let Some(serving) = self.current_table(now) else { return before };
        if self.history.as_ref().is_some_and(|history| history.dropped_until + self.timing.max_hold_s() > now)
        {
            before.extend(serving.serving_workers().filter(|worker| *worker != self.own));
            return before;
        }
        for (dated, next) in self.tables().zip(self.tables().skip(1)) {
            // A table was in effect until the next one.
            if dated.effective_from > now || next.effective_from + self.timing.max_hold_s() <= now {
                continue;
            }
            if let Some(owner) = dated.table.owner(call) {
                if owner != self.own && serving.is_serving(owner) && !before.contains(&owner) {
                    before.push(owner);
                }
            }
        }
        before
    }

    /// Returns the time until which nobody may send under a call id, if the id is fenced: a worker that died
    /// owned it in a table that may have been in effect for one of its calls.
    fn fenced_until(&self, now: f64, call: u64) -> Option<f64> {
        let cut = self
            .history
            .as_ref()
            .is_some_and(|history| history.dropped_until + self.timing.max_hold_s() > now);
        let fences = self.tables().enumerate().filter_map(|(at, dated)| {
            let (dead, until) = dated.fenced?;
            // A table was in effect until the next one, and a call accepted under it may be open for the
            // longest time.
            let owned = |(before, next): (&ScheduledTable, &ScheduledTable)| {
                next.effective_from + self.timing.max_hold_s() > dated.effective_from
                    && before.table.owner(call) == Some(dead)
            };
            let earlier = self.tables().take(at).zip(self.tables().skip(1));
            (now < until && (cut || earlier.into_iter().any(owned))).then_some(until)
        });
        fences.max_by(f64::total_cmp)
    }

    /// Decides on a set-up that came from a caller or from another worker.
    pub fn decide(&self, now: f64, call: u64) -> Decision {
        if !self.is_fresh(now) {
            return Decision::Refuse;
        }
        let Some(owner) = self.current_table(now).and_then(|table| table.owner(call)) else {
            return Decision::Refuse;
        };
        if owner != self.own {
            return Decision::Forward(owner);
        }
        if let Some(until) = self.fenced_until(now, call) {
            return Decision::Wait(until);
        }
        match self.previous_owners(now, call).first() {
            Some(before) => Decision::Ask(*before),
            None => Decision::Accept,
        }
    }
}
