//! What one worker believes of the table, and what it may do with a set-up.
//!
//! Two workers must never have two attempts out for one call. Four things could bring that about, and each
//! has its guard:
//!
//! 1. *Two tables at once.* A worker that was paused, or has not heard yet, goes by an old table while another
//!    goes by the new one. A worker's belief is a lease: it counts for `lease` seconds from when the supervisor
//!    sent it, and a new table takes effect that much after it was made. So when the new one begins, nobody goes
//!    by the old one, whether the change was heard or not. The supervisor's clock and the workers' are one
//!    machine's.
//! 2. *A worker that died.* What it had sent may still be out. Its ids are fenced for the release time, from
//!    the moment at which its end was known.
//! 3. *An id that comes again after its owner changed.* The owner before may hold the call. Until all calls of
//!    that time are over, the new owner asks the one before, which alone knows, and takes the call only when it
//!    says that it has none.
//! 4. *A worker that is paused past a call's time.* Nobody gives its calls up. The supervisor ends a worker that is
//!    silent, and what it may hold counts for that much longer.

use std::collections::VecDeque;

use crate::table::Table;
use crate::Worker;

/// Tables remembered at most. Where more changes come than that within the time that calls last, every worker
/// may hold a call of before.
const MOST_TABLES: usize = 16;

/// What a worker may do with a set-up.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Verdict {
    /// It is its own: to be taken now.
    Take,
    /// It is another's: to be handed over.
    Forward(Worker),
    /// It is its own, but this worker owned it before and may hold it: to be asked first. Ask the others that
    /// [`View::before`] names too.
    Ask(Worker),
    /// It is its own, but nobody may send under that id before this time.
    Wait(f64),
    /// The belief is too old to act on, or nobody serves: to be refused.
    Refuse,
}

/// A table with the time from which it counts.
#[derive(Clone, Debug, PartialEq)]
pub struct Dated {
    /// The table.
    pub table: Table,
    /// From when on it counts, in seconds.
    pub from: f64,
    /// Workers that died with this change; their ids are fenced until then.
    pub fenced: Option<(Worker, f64)>,
}

/// What the supervisor makes of a change.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Times {
    /// How long a belief counts, in seconds.
    pub lease: f64,
    /// The release time: nothing is sent again within it of an attempt that may have run.
    pub release: f64,
    /// The longest that a call may be open.
    pub longest: f64,
    /// A worker that has said nothing for so long is ended by the supervisor. Until then it may be paused, and
    /// hold its calls past their time, as nobody gives them up.
    pub silent: f64,
}

impl Times {
    /// For how long a call may be held at most by a worker that took it.
    fn held(&self) -> f64 {
        self.longest + self.silent
    }

    /// A worker begins to serve, or ends in an orderly way and holds nothing any more. Nobody goes by the old
    /// table any more when the new one begins.
    pub fn change(&self, now: f64, table: Table) -> Dated {
        Dated { table, from: now + self.lease, fenced: None }
    }

    /// A worker's process has ended, as its parent knows for sure. It goes by no table, so the new one need not
    /// wait for it; the others' beliefs differ in that worker's ids alone, which are fenced for longer than a lease.
    pub fn death(&self, now: f64, table: Table, worker: Worker) -> Dated {
        let until = now + self.release.max(self.lease);
        Dated { table, from: now, fenced: Some((worker, until)) }
    }
}

/// The tables that count, did lately, or are to come: what the supervisor tells. A worker needs all of it, as
/// one that has just started, or was paused, must know who may hold a call from before.
#[derive(Clone, Debug, PartialEq)]
pub struct History {
    times: Times,
    /// The newest last.
    tables: VecDeque<Dated>,
    /// The end of the last table that was dropped before its calls were over.
    cut: f64,
}

impl History {
    /// Begins with a table.
    pub fn new(first: Dated, times: Times) -> History {
        History { times, tables: VecDeque::from([first]), cut: f64::NEG_INFINITY }
    }

    /// The newest table.
    pub fn newest(&self) -> Option<&Dated> {
        self.tables.back()
    }

    fn version(&self) -> u64 {
        self.newest().map_or(0, |dated| dated.table.version())
    }

    /// A worker begins to serve, or ends in an orderly way. Nothing counts before what was made before it does.
    pub fn change(&mut self, now: f64, worker: Worker, serves: bool) {
        self.push(now, |table, at, times| times.change(at, table.with(worker, serves)));
    }

    /// A worker's process has ended.
    pub fn death(&mut self, now: f64, worker: Worker) {
        self.push(now, |table, _, times| times.death(now, table.with(worker, false), worker));
    }

    fn push(&mut self, now: f64, make: impl Fn(&Table, f64, &Times) -> Dated) {
        let Some(newest) = self.tables.back() else { return };
        let least = newest.from;
        let mut dated = make(&newest.table, now.max(least), &self.times);
        dated.from = dated.from.max(least);
        self.tables.push_back(dated);
        // Tables of whose time no call can be open any more.
        while self.tables.get(1).is_some_and(|next| next.from + self.times.held() <= now) {
            self.tables.pop_front();
        }
        while self.tables.len() > MOST_TABLES {
            self.tables.pop_front();
            self.cut = self.tables.front().map_or(self.cut, |first| self.cut.max(first.from));
        }
    }
}

/// One worker's belief.
#[derive(Clone, Debug)]
pub struct View {
    own: Worker,
    times: Times,
    history: Option<History>,
    /// When the supervisor sent what was last heard.
    sent_at: f64,
}

impl View {
    /// A worker that has heard nothing: it may do nothing.
    pub fn new(own: Worker, times: Times) -> View {
        View { own, times, history: None, sent_at: f64::NEG_INFINITY }
    }

    /// The supervisor tells the tables, changed or not; `sent_at` is its own time. What is older than what is
    /// held changes nothing.
    pub fn told(&mut self, sent_at: f64, history: &History) {
        let held = self.history.as_ref().map_or(0, History::version);
        if history.version() > held {
            self.history = Some(history.clone());
        }
        if history.version() >= held {
            self.sent_at = self.sent_at.max(sent_at);
        }
    }

    fn tables(&self) -> impl DoubleEndedIterator<Item = &Dated> + ExactSizeIterator {
        static NONE: VecDeque<Dated> = VecDeque::new();
        self.history.as_ref().map_or(&NONE, |history| &history.tables).iter()
    }

    /// Whether the belief is fresh enough to act on. It is to be asked again right before anything is sent:
    /// a worker that was paused wakes in the middle of whatever it was doing.
    pub fn fresh(&self, now: f64) -> bool {
        now - self.sent_at < self.times.lease
    }

    /// The table that counts.
    pub fn table(&self, now: f64) -> Option<&Table> {
        self.tables().rev().find(|dated| dated.from <= now).map(|dated| &dated.table)
    }

    /// The workers that may hold a call from before, other than this one: its owners in the tables that
    /// counted while a call of now may have come, as far as they serve.
    pub fn before(&self, now: f64, call: u64) -> Vec<Worker> {
        let mut before = Vec::new();
        let Some(serving) = self.table(now) else { return before };
        if self.history.as_ref().is_some_and(|history| history.cut + self.times.held() > now) {
            before.extend(serving.workers().filter(|worker| *worker != self.own));
            return before;
        }
        for (dated, next) in self.tables().zip(self.tables().skip(1)) {
            // A table counted until the next began.
            if dated.from > now || next.from + self.times.held() <= now {
                continue;
            }
            if let Some(owner) = dated.table.owner(call) {
                if owner != self.own && serving.serves(owner) && !before.contains(&owner) {
                    before.push(owner);
                }
            }
        }
        before
    }

    /// Until when nobody may send under an id: a worker that died owned it, in any table that may have counted
    /// for one of its calls.
    fn fenced(&self, now: f64, call: u64) -> Option<f64> {
        let cut = self.history.as_ref().is_some_and(|history| history.cut + self.times.held() > now);
        let fences = self.tables().enumerate().filter_map(|(at, dated)| {
            let (dead, until) = dated.fenced?;
            // A table counted until the next began, and a call that it gave may be open for the longest time.
            let owned = |(before, next): (&Dated, &Dated)| {
                next.from + self.times.held() > dated.from && before.table.owner(call) == Some(dead)
            };
            let earlier = self.tables().take(at).zip(self.tables().skip(1));
            (now < until && (cut || earlier.into_iter().any(owned))).then_some(until)
        });
        fences.max_by(f64::total_cmp)
    }

    /// What may be done with a set-up that came here, from a caller or from another worker.
    pub fn verdict(&self, now: f64, call: u64) -> Verdict {
        if !self.fresh(now) {
            return Verdict::Refuse;
        }
        let Some(owner) = self.table(now).and_then(|table| table.owner(call)) else { return Verdict::Refuse };
        if owner != self.own {
            return Verdict::Forward(owner);
        }
        if let Some(until) = self.fenced(now, call) {
            return Verdict::Wait(until);
        }
        match self.before(now, call).first() {
            Some(before) => Verdict::Ask(*before),
            None => Verdict::Take,
        }
    }
}
