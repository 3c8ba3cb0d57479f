//! The interface of the decision module: the events that a gatekeeper hands in and the actions that it gets back.
//!
//! Times are in seconds on the gatekeeper's own clock, whose start is arbitrary and which never goes back.
//! Durations are in seconds and rates are per second.

/// Identifier of a call, chosen by the gatekeeper and unique among its open calls.
pub type CallId = u32;

/// Identifies a pool by the address of its signalling server. Opaque: it is only compared for equality and
/// order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PoolId(pub u64);

/// Settings of one class of calls, which all have the same goal time and the same worth.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassSettings {
    /// A call that is established within this many seconds of the caller's first try earns its full worth.
    pub goal_time: f64,
    /// How many seconds a caller keeps trying, counted from its first try.
    pub hard_limit: f64,
    /// Worth of a call that is established within the goal time, in units common to all classes.
    pub value: f64,
    /// Fraction of the worth, 0 to 1, that a call earns when it is established after the goal time.
    pub late_worth: f64,
    /// Numbers of the pools that calls of this class may be sent to; empty means any pool.
    pub pools: Vec<u32>,
    /// Whether a call may be sent again, or refused, after an attempt that may have taken effect at a server. Where
    /// it may not, such a call fails.
    pub repeatable: bool,
}

/// Settings of one tenant.
#[derive(Clone, Debug, PartialEq)]
pub struct TenantSettings {
    /// Calls per second, summed over all gatekeepers, up to which the tenant is within its quota.
    pub quota_per_s: f64,
}

/// Weights of the parts of the service score by which the deployment is judged. The module does not read them.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct GoalWeights {
    /// Weight of the mean over the whole run.
    pub whole: f64,
    /// Weight of the time window with the worst service.
    pub worst_window: f64,
    /// Weight of the class with the worst service.
    pub worst_class: f64,
    /// Weight of the tenant with the worst service.
    pub worst_tenant: f64,
}

/// Settings of the deployment, which a gatekeeper reads at its start and again when they change.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Number of gatekeepers that share the pools; 0 if it is not known.
    pub gatekeepers: u32,
    /// Minimum number of seconds between two batches of events; the module sets no timer more finely.
    pub min_batch_interval: f64,
    /// The classes of calls; events name a class by its index in this list.
    pub classes: Vec<ClassSettings>,
    /// The tenants; events name a tenant by its index in this list. May be empty.
    pub tenants: Vec<TenantSettings>,
    /// Fraction of its usual worth, 0 to 1, that a call beyond its tenant's quota has.
    pub over_share_worth: f64,
    /// Weights of the service score.
    pub goal: GoalWeights,
    /// Mean duration in seconds of an established call, if it is known.
    pub mean_holding_time: Option<f64>,
    /// A set-up that waits at a server's processor is sent again after this many seconds; 0 means never.
    pub retransmit_time: f64,
    /// For this many seconds a call whose attempt timed out, was reset or was cancelled is not sent again.
    pub release_time: f64,
    /// Maximum number of attempts for one call.
    pub try_limit: u32,
    /// Whether the module may cancel an attempt that has no answer yet.
    pub may_cancel: bool,
    /// Longest retry-after time in seconds that callers honour; `None` if they are given none.
    pub max_retry_after: Option<f64>,
    /// Seconds in which a restarted (cold) pool reaches its full capacity.
    pub warm_up_time: f64,
    /// Fraction of its full capacity, 0 to 1, that a pool has right after a restart.
    pub initial_capacity_ratio: f64,
    /// Multiple (1 or more) of its present capacity with which a cold pool may be loaded.
    pub overload_factor: f64,
    /// Whether the list of pools arrives only after [`Action::Subscribe`].
    pub must_subscribe: bool,
}

/// Whether a pool accepts new calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Readiness {
    /// In service: accepts new calls.
    Ready,
    /// Finishing its calls: accepts no new ones.
    Draining,
    /// Removed from the list.
    #[default]
    Gone,
}

/// One entry of the list of pools.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PoolEntry {
    /// The pool's signalling server.
    pub pool: PoolId,
    /// The pool's number, by which calls name their first choice. It stays the same when a server is replaced.
    pub number: u32,
    /// Whether the pool accepts new calls.
    pub readiness: Readiness,
    /// When the pool's processor last started; 0 means long ago.
    pub ready_at: f64,
    /// The pool's district, an index into the deployment's list of districts, if it is known. The module does
    /// not read it; gates may.
    pub district: Option<u16>,
}

/// Which entries a list of pools contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Only the entries that changed.
    Changes,
    /// All entries: a pool that is missing is gone.
    Full,
    /// All entries, as stored before a restart of the gatekeeper; may be out of date.
    Cached,
    /// None: the request for the list failed.
    Failed,
}

/// A pool's load report. A value that the pool did not report is `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Report {
    /// Number of free lines.
    pub free_lines: Option<f64>,
    /// Number of lines, free and busy.
    pub total_lines: Option<f64>,
    /// Seconds that a new set-up waits at the pool's processor.
    pub wait: Option<f64>,
    /// Fraction of time, 0 to 1, that the processor is busy.
    pub utilization: Option<f64>,
    /// New set-ups per second that the pool can accept from all gatekeepers together.
    pub max_set_up_rate: Option<f64>,
    /// Fraction of new set-ups, 0 to 1, that the pool asks each gatekeeper to hold back.
    pub hold_back_ratio: Option<f64>,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The call was established and has ended.
    Done,
    /// Every line of the number dialled was busy, or signalling failed.
    Error,
    /// Rejected before it took effect, for lack of capacity; [`Cause`] says where.
    Full,
    /// No answer came before the attempt's timeout.
    Timeout,
    /// No connection to the server was made before the timeout.
    ConnectFailed,
    /// Cut off by a lost connection or a temporary failure of the server.
    Reset,
    /// The gatekeeper cancelled the attempt, or the caller left.
    Cancelled,
    /// The attempt was never sent.
    NotSent,
}

/// Why an attempt was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// No cause was reported.
    Unknown,
    /// The pool had no free line (circuit or agent).
    NoLine,
    /// An element on the way to the server returned the set-up (crankback).
    Crankback,
    /// The pool's processor accepted no more work.
    ProcessorFull,
    /// Every line of the number dialled is busy.
    NumberBusy,
}

/// An input of the module: something that the gatekeeper saw or received.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A list of pools arrived.
    List {
        /// Which entries the list contains.
        kind: ListKind,
        /// The entries; empty for a failed request.
        entries: Vec<PoolEntry>,
    },
    /// A caller asks for a call to be set up.
    Call {
        /// Identifier of the new call.
        call: CallId,
        /// The call's class, an index into [`Settings::classes`].
        class: usize,
        /// The call's tenant, an index into [`Settings::tenants`].
        tenant: usize,
        /// Seconds until the caller gives this try up; 0 or less means that it has no time left.
        time_left: f64,
        /// The number dialled; 0 if there is none.
        dialled: u64,
        /// Number of the pool that the caller prefers.
        first_choice: u32,
    },
    /// A call is established: a server has answered its set-up.
    Established {
        /// The call that is established.
        call: CallId,
        /// The pool that answered.
        pool: PoolId,
        /// Set-up delay: seconds from sending the attempt to its answer.
        delay: f64,
        /// Number of the attempt that was answered; a call's attempts count from 0.
        attempt: u8,
    },
    /// An attempt has ended, answered or not. The end of an established call is the end of its attempt.
    Ended {
        /// The call that the attempt belongs to.
        call: CallId,
        /// The pool that the attempt was sent to.
        pool: PoolId,
        /// Number of the attempt; a call's attempts count from 0.
        attempt: u8,
        /// Whether the call is over, so that its caller needs no further answer.
        complete: bool,
        /// How the attempt ended.
        outcome: Outcome,
        /// Why the attempt was rejected.
        cause: Cause,
        /// Seconds for which a full processor asks for no further set-ups, if it names a time.
        retry_after: Option<f64>,
        /// The load report that came with the end; empty if none came.
        report: Report,
    },
    /// A load report that belongs to no attempt.
    Load {
        /// The pool that reports its load.
        pool: PoolId,
        /// The reported load.
        report: Report,
    },
    /// The caller has left; it needs no answer.
    Abandoned {
        /// The call that the caller left.
        call: CallId,
    },
    /// A timer that the module requested is due.
    Timer {
        /// The token of the [`Action::Timer`] that set it.
        token: u32,
    },
    /// A message from another gatekeeper. The module ignores it.
    Peer {
        /// Number of the gatekeeper that sent it.
        from: u32,
        /// The message's bytes.
        data: Vec<u8>,
    },
}

/// An output of the module: something that the gatekeeper is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a set-up to a pool: the next attempt of its call, counted from 0.
    Send {
        /// The call to set up.
        call: CallId,
        /// The pool to send it to.
        pool: PoolId,
        /// Timeout of the attempt in seconds; 0 means until the caller gives up.
        limit: f64,
    },
    /// Give the caller its final answer: the call is refused, and the caller may dial again.
    Refuse {
        /// The call to refuse.
        call: CallId,
        /// Seconds for which the caller is asked not to dial again; 0 means that it is not asked.
        retry_after: f64,
    },
    /// Give the caller its final answer: the call has failed.
    Fail {
        /// The call that failed.
        call: CallId,
    },
    /// Cancel an attempt that has no answer. Its end still arrives as [`Event::Ended`].
    Cancel {
        /// The call that the attempt belongs to.
        call: CallId,
        /// Number of the attempt; a call's attempts count from 0.
        attempt: u8,
    },
    /// Hand in [`Event::Timer`] at a given time.
    Timer {
        /// When the timer is due, on the gatekeeper's clock.
        at: f64,
        /// Token to hand back with the event.
        token: u32,
    },
    /// Write a line to the log.
    Log(String),
    /// Ask for the list of pools and its changes.
    Subscribe,
}

/// A set-up that the module could send, as a gate is asked about it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// The call to set up.
    pub call: CallId,
    /// The call's class, an index into [`Settings::classes`].
    pub class: usize,
    /// The pool that the set-up would be sent to.
    pub pool: PoolId,
    /// Number of the attempt; a call's attempts count from 0.
    pub attempt: u32,
    /// When the caller first tried this call.
    pub first_tried: f64,
    /// Whether the gate has already denied the call every pool that the module would send it to.
    pub last_resort: bool,
}

/// A gate's answer that a set-up may not be sent now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Denial {
    /// Short name of the reason, for logs and metrics.
    pub reason: &'static str,
    /// Seconds after which the set-up may be allowed.
    pub retry_after: f64,
}

/// A condition on set-ups beyond the module's own rules. The module asks the gate about each pool that it would
/// send a call to, in order of preference. If the gate denies all of them, the module asks about them again, in
/// the same order and with [`Candidate::last_resort`] set. A call that is denied again is refused at once.
///
/// A gate only allows or denies: it cannot send, retry or answer a call. To apply several gates, combine them
/// into one that asks each in a fixed order.
pub trait Gate {
    /// Receives every event before the module handles it.
    fn on_event(&mut self, now: f64, event: &Event);

    /// Whether a set-up may be sent now. Asking uses up no budget.
    fn may_send(&mut self, now: f64, candidate: &Candidate) -> Result<(), Denial>;

    /// A set-up that the gate allowed is sent now.
    fn on_sent(&mut self, now: f64, candidate: &Candidate);

    /// A call is refused because the gate denied it every pool. `candidate` is the most preferred of these
    /// set-ups and `denial` is the answer to it.
    fn on_refused(&mut self, now: f64, candidate: &Candidate, denial: &Denial);
}

/// The gate that allows every set-up.
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
