//! The interface of the decision module: what a front hands in and what it gets back.
//!
//! Types only. Times are seconds on the front's own clock, which starts anywhere and never goes back.

/// A call's number, as the front gave it.
pub type CallId = u32;

/// The address of one pool's signalling server; opaque, carries no meaning beyond identity.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PoolId(pub u64);

/// One class of call.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassSettings {
    /// Set up within this time a call earns its full worth.
    pub goal_time: f64,
    /// How long a caller keeps trying, from the first try on.
    pub hard_limit: f64,
    /// What a call that stands is worth.
    pub value: f64,
    /// Share of the worth that a call earns when it stands after the goal time.
    pub late_worth: f64,
    /// Numbers of the pools that this class may go to; empty means any.
    pub pools: Vec<u32>,
    /// Whether a call may be tried again, or refused, after an attempt that may have taken effect.
    pub repeatable: bool,
}

/// One tenant.
#[derive(Clone, Debug, PartialEq)]
pub struct TenantSettings {
    /// Calls a second over all fronts that count as within its share.
    pub quota_per_s: f64,
}

/// How the parts of the result are weighted.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct GoalWeights {
    /// Weight of the whole run.
    pub whole: f64,
    /// Weight of the worst stretch.
    pub worst_window: f64,
    /// Weight of the worst-served class.
    pub worst_class: f64,
    /// Weight of the worst-served tenant.
    pub worst_tenant: f64,
}

/// What a front is told about its deployment at start.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// How many fronts share the pools.
    pub gatekeepers: u32,
    /// Least spacing of two batches of events.
    pub min_batch_interval: f64,
    /// The classes of call.
    pub classes: Vec<ClassSettings>,
    /// The tenants; may be empty.
    pub tenants: Vec<TenantSettings>,
    /// Worth of a call over its tenant's share, as a part of its usual worth.
    pub over_share_worth: f64,
    /// How the result is weighted.
    pub goal: GoalWeights,
    /// How long a call stands on average, if told.
    pub mean_holding_time: Option<f64>,
    /// After this time a set-up waiting at a processor is sent again; 0 is never.
    pub retransmit_time: f64,
    /// A call whose attempt timed out, was reset or cancelled is not sent again for this long.
    pub release_time: f64,
    /// Attempts allowed for one call.
    pub try_limit: u32,
    /// Whether an attempt may be cancelled.
    pub may_cancel: bool,
    /// Whether callers are told for how long to stay away, and the longest that they heed.
    pub max_retry_after: Option<f64>,
    /// Time in which a restarted pool has become warm.
    pub warm_up_time: f64,
    /// Share of its capacity with which a restarted pool begins.
    pub initial_capacity_ratio: f64,
    /// How far beyond its capacity of the moment a cold pool may be driven.
    pub overload_factor: f64,
    /// Whether the list of pools must be asked for.
    pub must_subscribe: bool,
}

/// Whether a pool takes new calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Readiness {
    /// In service.
    Ready,
    /// Finishing its work; takes nothing new.
    Draining,
    /// Removed.
    #[default]
    Gone,
}

/// One line of the list of pools.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PoolEntry {
    /// Which server.
    pub pool: PoolId,
    /// The pool's number, to which calls name their first choice.
    pub number: u32,
    /// Whether it takes new calls.
    pub readiness: Readiness,
    /// When its processor last started; 0 is long past.
    pub ready_at: f64,
    /// The district in which it stands, an index into the deployment's list, if told. The module does not
    /// read it; gates may.
    pub district: Option<u16>,
}

/// How a list is to be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Changed entries only.
    Changes,
    /// The complete list.
    Full,
    /// The complete list as last held before a restart; may be stale.
    Cached,
    /// A request for the list failed; no entries.
    Failed,
}

/// A pool's load report; what was not told is `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Report {
    /// Free lines.
    pub free_lines: Option<f64>,
    /// Lines in all.
    pub total_lines: Option<f64>,
    /// The wait at the processor, in seconds.
    pub wait: Option<f64>,
    /// Busy share of the processor.
    pub utilization: Option<f64>,
    /// New set-ups a second that it can take from all senders together.
    pub max_set_up_rate: Option<f64>,
    /// Share of new set-ups that it asks each sender to hold back.
    pub hold_back_ratio: Option<f64>,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The call stood and has ended.
    Done,
    /// Every line of the number is busy, or a signalling fault.
    Error,
    /// Turned back before it ran.
    Full,
    /// No answer in time.
    Timeout,
    /// No connection in time.
    ConnectFailed,
    /// Cut.
    Reset,
    /// Called off.
    Cancelled,
    /// Never sent.
    NotSent,
}

/// Why an attempt was turned back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// Not told.
    Unknown,
    /// No circuit or agent was free.
    NoLine,
    /// Turned back on the way.
    Crankback,
    /// The processor was full.
    ProcessorFull,
    /// Every line of the number is busy.
    NumberBusy,
}

/// What happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A list of pools.
    List {
        /// How to read it.
        kind: ListKind,
        /// Its lines.
        entries: Vec<PoolEntry>,
    },
    /// A caller wants a call set up.
    Call {
        /// Its number.
        call: CallId,
        /// Class, an index into the settings.
        class: usize,
        /// Tenant, an index into the settings.
        tenant: usize,
        /// Time until the caller gives this try up.
        time_left: f64,
        /// The number dialled; 0 is none.
        dialled: u64,
        /// Number of the pool of first choice.
        first_choice: u32,
    },
    /// A call stands.
    Established {
        /// Which call.
        call: CallId,
        /// Where.
        pool: PoolId,
        /// Time since it was sent.
        delay: f64,
        /// Which attempt, from 0.
        attempt: u8,
    },
    /// An attempt has ended.
    Ended {
        /// Which call.
        call: CallId,
        /// Where.
        pool: PoolId,
        /// Which attempt, from 0.
        attempt: u8,
        /// Whether the call is over and needs no further answer.
        complete: bool,
        /// How it ended.
        outcome: Outcome,
        /// Why it was turned back.
        cause: Cause,
        /// How long a full processor asks to be left alone.
        retry_after: Option<f64>,
        /// The pool's load.
        report: Report,
    },
    /// News of a pool's load that belongs to no attempt.
    Load {
        /// Which pool.
        pool: PoolId,
        /// Its load.
        report: Report,
    },
    /// The caller has gone; no answer is owed.
    Abandoned {
        /// Which call.
        call: CallId,
    },
    /// A timer asked for has come due.
    Timer {
        /// Its token.
        token: u32,
    },
    /// A message from another front.
    Peer {
        /// Which front.
        from: u32,
        /// What it says.
        data: Vec<u8>,
    },
}

/// What the front is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a set-up. The attempts of a call count from 0.
    Send {
        /// Which call.
        call: CallId,
        /// To which pool.
        pool: PoolId,
        /// Time-out; 0 is until the caller gives up.
        limit: f64,
    },
    /// Final answer: turned away.
    Refuse {
        /// Which call.
        call: CallId,
        /// How long the caller is asked to stay away; 0 is no advice.
        retry_after: f64,
    },
    /// Final answer: given up.
    Fail {
        /// Which call.
        call: CallId,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// Which call.
        call: CallId,
        /// Which attempt, from 0.
        attempt: u8,
    },
    /// Wake the controller.
    Timer {
        /// When.
        at: f64,
        /// Handed back with the event.
        token: u32,
    },
    /// A line for the staff on call.
    Log(String),
    /// Subscribe to the list of pools.
    Subscribe,
}

/// A set-up that the module is about to send.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// Which call.
    pub call: CallId,
    /// Its class, an index into the settings.
    pub class: usize,
    /// To which pool.
    pub pool: PoolId,
    /// Which attempt, from 0.
    pub attempt: u32,
    /// When the caller first tried.
    pub first_tried: f64,
    /// Whether no pool is open to the call that the gate lets it go to.
    pub last_resort: bool,
}

/// Why a set-up may not go now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Denial {
    /// Which gate, in a word for logs and figures.
    pub reason: &'static str,
    /// After how many seconds it may be worth asking again.
    pub retry_after: f64,
}

/// A further condition on set-ups, beside the module's own. The module asks it of each pool that it would
/// choose itself, in its own order; of those that were denied it asks again, as a last resort, when nothing
/// else is open. A call that is denied is refused at once.
///
/// A gate cannot send, retry or answer anything. Where several are needed, one is made of them that asks
/// each in a fixed order.
pub trait Gate {
    /// Hears every event, before the module acts on it.
    fn on_event(&mut self, now: f64, event: &Event);

    /// Whether a set-up may go now. Asking takes nothing.
    fn may_send(&mut self, now: f64, candidate: &Candidate) -> Result<(), Denial>;

    /// A set-up that was let pass is sent.
    fn on_sent(&mut self, now: f64, candidate: &Candidate);

    /// A call is refused because its set-up, the first in the module's order, was denied.
    fn on_refused(&mut self, now: f64, candidate: &Candidate, denial: &Denial);
}

/// The gate that lets everything pass.
#[derive(Clone, Copy, Debug, Default)]
pub struct AllowAll;

impl Gate for AllowAll {
    fn on_event(&mut self, _: f64, _: &Event) {}

    fn may_send(&mut self, _: f64, _: &Candidate) -> Result<(), Denial> {
        Ok(())
    }

    fn on_sent(&mut self, _: f64, _: &Candidate) {}

    fn on_refused(&mut self, _: f64, _: &Candidate, _: &Denial) {}
}
