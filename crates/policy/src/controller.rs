//! The decision module: hysteretic overload control for one gatekeeper. Its types are in `interface.rs`.
//! A gatekeeper keeps a state for every pool, after Abaev et al.: *normal* sends every new set-up, *overload*
//! refuses each with probability q, *discard* sends none. docs/DESIGN.md lists what was kept of the paper,
//! what was changed, and when each change applies.

use std::collections::{BTreeMap, VecDeque};

use rand_chacha::ChaCha8Rng;
use rand_core::{RngCore, SeedableRng};

use crate::interface::{
    Action, AllowAll, CallId, Candidate, Cause, Denial, Event, Gate, ListKind, Outcome, PoolEntry, PoolId,
    Readiness, Report, Settings,
};
use crate::refused_callers::RefusedCallers;

// Tuned values. Those that end in `_UNITS` are in wait units, so that they follow the deployment.

/// The wait unit as a fraction of the shortest goal time; a retransmit time shortens it to half at most.
const WAIT_UNIT_RATIO: f64 = 0.25;
/// Abatement threshold L: a pool in overload returns to normal below this wait.
const ABATEMENT_UNITS: f64 = 0.3;
/// Onset threshold H: a pool enters overload above this wait.
const ONSET_UNITS: f64 = 0.7;
/// Discard threshold R: above this wait a pool is sent nothing for a while.
const DISCARD_UNITS: f64 = 2.5;
/// Busy fraction of a processor that counts as L if the pool reports no wait.
const ABATEMENT_BUSY_RATIO: f64 = 0.7;
/// Busy fraction of a processor that counts as H if the pool reports no wait.
const ONSET_BUSY_RATIO: f64 = 0.9;
/// Refusal probability q when a pool enters overload.
const INITIAL_Q: f64 = 0.1;
/// Change of q per wait unit of time, for each unit by which the load is above H.
const Q_INTEGRAL_GAIN: f64 = 0.1;
/// Added to q at once, for each unit by which the load is above H.
const Q_PROPORTIONAL_GAIN: f64 = 0.2;
/// Maximum q, so that some set-ups still measure an overloaded pool.
const MAX_Q: f64 = 0.95;
/// Initial spacing of set-ups to a pool without free lines.
const LINE_SPACING_UNITS: f64 = 0.25;
/// Initial spacing of attempts to a number dialled that was busy.
const BUSY_NUMBER_SPACING_UNITS: f64 = 2.0;
/// Factor on either spacing after each attempt that found no line.
const SPACING_GROWTH_RATIO: f64 = 1.5;
/// Factor on either spacing after each attempt that found a line.
const SPACING_SHRINK_RATIO: f64 = 0.85;
/// Maximum of either spacing.
const MAX_SPACING_UNITS: f64 = 16.0;
/// A call that no pool admits is refused after this fraction of its goal time.
const MAX_HOLD_RATIO: f64 = 0.15;
/// Minimum retry-after time of a refused caller; up to one unit is added.
const MIN_RETRY_AFTER_UNITS: f64 = 2.0;
/// A call fails after this many attempts that ended in an error.
const MAX_ERRORS: u32 = 2;
/// Maximum number of busy numbers that are remembered.
const MAX_BUSY_NUMBERS: usize = 64;
/// A call that is offered with less than this left of its goal time counts as late.
const LATE_MARGIN_UNITS: f64 = 0.5;
/// Assumed ratio, under overload, of the calls offered to all gatekeepers to the sum of the quotas.
const OVERLOAD_CALLS_RATIO: f64 = 1.2;
/// A set-up counts as lost if it is unanswered for this much longer than its pool's load explains.
const MIN_LOSS_UNITS: f64 = 2.0;
/// A set-up counts as lost if one that was sent this much later is answered first.
const MIN_OVERTAKE_UNITS: f64 = 0.25;
/// Mean spacing of the single calls that probe a silent pool.
const PROBE_SPACING_UNITS: f64 = 1.5;
/// Number of recent calls among which a new call is ranked by worth.
const MAX_RANKED_CALLS: usize = 64;
/// Weight of the newest set-up delay in the moving average.
const NEWEST_DELAY_RATIO: f64 = 0.4;
/// A load figure that is not renewed decays after this time, as a queue without new work empties.
const LOAD_LIFETIME_UNITS: f64 = 3.0;
/// A requested hold-back ratio that is not renewed expires after this time.
const HOLD_BACK_LIFETIME_UNITS: f64 = 8.0;
/// A load figure lasts at least, and an unused budget at most, the time of this many usual calls.
const LIFETIME_CALLS: f64 = 2.0;
/// Interval of the periodic update.
const TICK_UNITS: f64 = 0.1;
/// Averaging window of the offered call rate, as a fraction of the warm-up time.
const RATE_WINDOW_RATIO: f64 = 0.3;
/// Minimum number of calls in a sample of the rate that a pool carries.
const MIN_SAMPLE_CALLS: f64 = 30.0;
/// Decay time of the highest sample, in warm-up times.
const SAMPLE_LIFETIME_RATIO: f64 = 5.0;
/// A pool without a complete sample is assumed to have carried, over one `rate_window`, this fraction of an
/// even share of the calls.
const UNKNOWN_CARRIED_RATIO: f64 = 0.33;
/// Budget of a cold pool, as a fraction of its usual calls; warm-up and overload factor multiply it.
const COLD_BUDGET_RATIO: f64 = 0.45;
/// Budget of a silent pool, as a fraction of its usual calls.
const PROBE_BUDGET_RATIO: f64 = 0.25;
/// Budget for calls of another first choice, as a fraction of usual calls, if spare lines are unknown.
const OVERFLOW_BUDGET_RATIO: f64 = 0.5;
/// With fewer usual calls to a pool per wait unit, a gatekeeper cannot rely on what it sees of the pool.
const SPARSE_CALLS: f64 = 0.2;

/// The state that a gatekeeper keeps for a pool.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum State {
    /// Sends every new set-up.
    #[default]
    Normal,
    /// Refuses new set-ups with probability q.
    Overload,
    /// Sends no set-up.
    Discard,
}

/// A rate of events, averaged over an exponentially decaying window.
#[derive(Default)]
struct Rate {
    per_s: f64,      // events per second
    updated_at: f64, // time of the last event
}

impl Rate {
    /// The rate per second, decayed to `now`.
    fn at(&self, now: f64, window: f64) -> f64 {
        self.per_s * (-(now - self.updated_at).max(0.0) / window).exp()
    }

    /// Adds one event.
    fn count(&mut self, now: f64, window: f64) {
        *self = Rate { per_s: self.at(now, window) + 1.0 / window, updated_at: now };
    }
}

/// Minimum spacing of attempts, which grows while they find no line.
#[derive(Default)]
struct Spacing {
    interval: f64, // seconds; 0 is no limit
    next_at: f64,  // when the next attempt is allowed
}

impl Spacing {
    /// Lengthens the interval after an attempt that found no line.
    fn widen(&mut self, now: f64, min: f64, max: f64, jitter: f64) {
        self.interval = (self.interval * SPACING_GROWTH_RATIO).clamp(min, max);
        self.next_at = self.next_at.max(now + self.interval * jitter);
    }

    /// Shortens the interval after an attempt that found a line; a short one ends the limit.
    fn narrow(&mut self, min: f64) {
        self.interval *= SPACING_SHRINK_RATIO;
        if self.interval < min / 2.0 {
            *self = Spacing::default();
        }
    }
}

/// What the controller knows of a pool. Times are on the gatekeeper's clock, waits in seconds.
#[derive(Default)]
struct Pool {
    id: PoolId,                   // its signalling server
    number: u32,                  // as in `PoolEntry`
    readiness: Readiness,         // as in the latest list
    ready_at: f64,                // last start of the pool's processor
    state: State,                 // decides how many set-ups are sent
    since: f64,                   // when the state was entered
    q: f64,                       // refusal probability in overload, 0 to 1
    q_integral: f64,              // part of q that accumulates over time
    min_delay: f64,               // shortest set-up delay measured: the network's round trip
    measured_wait: f64,           // moving average of the wait in measured set-up delays
    measured_at: f64,             // time of the last measurement
    reported_wait: f64,           // wait in the last report
    report_at: f64,               // time of that report
    hold_back_ratio: Option<f64>, // fraction that the pool asks to hold back; replaces q
    hold_back_at: f64,            // when it last asked
    pending: Vec<(f64, CallId)>,  // unanswered set-ups in the order of sending: time and call
    established: Rate,            // this gatekeeper's calls that were established here
    skip_until: f64,              // no set-up is sent before
    lines: Option<(f64, f64)>,    // free lines and all lines, as last reported
    max_set_up_rate: Option<f64>, // set-ups per second that the pool accepts, as last reported
    reply_at: f64,                // when the processor last replied
    silent: bool,                 // whether a reply is overdue
    spacing: Spacing,             // of set-ups while the pool has no free line
    lossy_until: f64,             // until then overdue answers are assumed to be lost
    budget_at: [f64; 2],          // last budget checks: for calls that prefer another pool, and this one
}

/// A call that still needs its final answer.
#[derive(Default)]
struct Call {
    class: usize,           // index into the settings
    dialled: u64,           // the number dialled; 0 if there is none
    first_tried: f64,       // when the caller first tried
    rank: f64,              // fraction of recent calls refused before this one; uniform over all calls
    hold_until: f64,        // the call is refused if it is not sent by then
    first_choice: u32,      // number of the pool that the caller prefers
    deadline: f64,          // when the caller gives up
    held_from: Option<f64>, // when the call may be sent, while it is held; none while an attempt is out
    attempts: u32,          // number of attempts sent
    cancelled: bool,        // whether the current attempt was cancelled
    errors: u32,            // number of attempts that a pool answered with an error
    avoid: Option<usize>,   // index of the pool that failed this call last
    may_have_run: bool,     // whether an attempt may have taken effect
}

/// The choice of a pool for a call.
enum Choice {
    NoPool,                    // no pool is open at present
    Pool(usize, Candidate),    // the index of a pool, and the set-up to send there
    Denied(Candidate, Denial), // the gate denies all; the most preferred set-up and the answer to it
}

/// The call controller of one gatekeeper, with the gate that its set-ups have to pass.
pub struct Controller<G = AllowAll> {
    settings: Settings, // of the deployment
    gate: G,            // asked before each set-up
    // Seconds, derived from the settings so that every threshold follows the deployment.
    unit: f64,                             // the wait unit
    tick: f64,                             // interval of the periodic update
    rate_window: f64,                      // averaging window of the offered rate
    rng: ChaCha8Rng,                       // seeded: the same events give the same actions
    pools: Vec<Pool>,                      // all that are listed and not gone
    calls: BTreeMap<CallId, Call>,         // those that still need a final answer
    sticky: BTreeMap<(usize, u32), usize>, // by class and first choice: pool last used in its place
    carried: BTreeMap<u32, CarriedRate>,   // what each pool, by number, was sent while in steady service
    offered_rate: Rate,                    // calls offered to this gatekeeper
    timer: Option<u32>,                    // token of the running timer
    timer_token: u32,                      // the last token used
    ticked_at: f64,                        // when the periodic update last ran
    recent_worths: VecDeque<f64>,          // of the latest calls, the newest last
    refused_callers: RefusedCallers,       // their first tries
    tenant_calls: Vec<f64>,                // calls of each tenant, decaying over the warm-up time
    tenant_calls_at: f64,                  // when they last decayed
    busy_numbers: BTreeMap<u64, Spacing>,  // spacing of attempts, by the number dialled
}

/// The rate at which this gatekeeper sends set-ups to a pool in steady service.
#[derive(Default)]
struct CarriedRate {
    calls: f64, // set-ups in the present sample
    time: f64,  // seconds of the present sample
    max: f64,   // highest rate per second of a complete sample, decaying
}

impl Controller {
    /// Creates a controller without a gate; `seed` determines all its random numbers.
    pub fn new(settings: Settings, seed: u64) -> Self {
        Controller::with_gate(settings, seed, AllowAll)
    }
}

impl<G: Gate> Controller<G> {
    /// Creates a controller whose set-ups have to pass `gate`.
    pub fn with_gate(settings: Settings, seed: u64, gate: G) -> Self {
        let goal = settings.classes.iter().map(|c| c.goal_time).filter(|g| *g > 0.0).fold(f64::MAX, f64::min);
        let mut unit = if goal < f64::MAX { goal * WAIT_UNIT_RATIO } else { 1.0 };
        if settings.retransmit_time > 0.0 {
            unit = unit.min(settings.retransmit_time.max(unit / 2.0));
        }
        unit = unit.max(settings.min_batch_interval).max(1e-3);
        let tick = (unit * TICK_UNITS).max(settings.min_batch_interval);
        let rate_window = (settings.warm_up_time * RATE_WINDOW_RATIO).max(unit);
        let tenant_calls = vec![0.0; settings.tenants.len()];
        Controller {
            settings,
            gate,
            unit,
            tick,
            rate_window,
            rng: ChaCha8Rng::seed_from_u64(seed),
            pools: Vec::new(),
            calls: BTreeMap::new(),
            sticky: BTreeMap::new(),
            carried: BTreeMap::new(),
            offered_rate: Rate::default(),
            timer: None,
            timer_token: 0,
            ticked_at: f64::NEG_INFINITY,
            recent_worths: VecDeque::new(),
            refused_callers: RefusedCallers::new(),
            tenant_calls,
            tenant_calls_at: f64::NEG_INFINITY,
            busy_numbers: BTreeMap::new(),
        }
    }

    /// Returns the gate.
    pub fn gate_mut(&mut self) -> &mut G {
        &mut self.gate
    }

    /// Replaces the settings. Open calls keep their class index, so an index must not get another meaning.
    /// The times that were derived from the first settings stay. Tenants keep their counts by index, and
    /// those that are added start without calls.
    pub fn update_settings(&mut self, settings: Settings) {
        self.tenant_calls.resize(settings.tenants.len(), 0.0);
        self.settings = settings;
    }

    /// Handles one event and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: f64, event: Event, out: &mut Vec<Action>) {
        self.gate.on_event(now, &event);
        match event {
            Event::List { kind, entries } => self.apply_list(now, kind, &entries, out),
            Event::Call { call, class, tenant, time_left, dialled, first_choice } => {
                let deadline = now + if time_left.is_finite() { time_left.max(0.0) } else { 0.0 };
                let new = Call { class, dialled, first_choice, deadline, ..Call::default() };
                let new = Call { first_tried: now, held_from: Some(now), ..new };
                self.on_call(now, call, new, tenant, out)
            }
            Event::Established { call, pool, delay, attempt: _ } => {
                self.on_established(now, call, pool, delay, out)
            }
            Event::Ended { call, pool, attempt, complete, outcome, cause, retry_after, report } => {
                self.apply_report(now, pool, &report, out);
                let index = self.pool_index(pool);
                if let Some(i) = index {
                    self.on_attempt_end(now, i, call, outcome, out);
                    if cause == Cause::ProcessorFull {
                        self.on_processor_full(now, i, retry_after.unwrap_or(0.0));
                    }
                }
                let last = |c: &Call| c.attempts == u32::from(attempt) + 1 && c.held_from.is_none();
                match self.calls.get(&call).is_some_and(last) {
                    true if complete => drop(self.calls.remove(&call)),
                    true => self.resume_call(now, call, index, (outcome, cause), out),
                    false => {}
                }
            }
            Event::Load { pool, report } => self.apply_report(now, pool, &report, out),
            Event::Abandoned { call } => {
                if let Some(call) = self.calls.remove(&call) {
                    self.remember_refused(now, &call);
                }
            }
            Event::Timer { token } => self.on_timer(now, token, out),
            Event::Peer { .. } => {}
        }
        self.ensure_timer(now, out);
    }

    /// Index of a pool by its identifier.
    fn pool_index(&self, id: PoolId) -> Option<usize> {
        self.pools.iter().position(|p| p.id == id)
    }

    /// Applies a list of pools and offers the held calls again.
    fn apply_list(&mut self, now: f64, kind: ListKind, entries: &[PoolEntry], out: &mut Vec<Action>) {
        if self.settings.must_subscribe && matches!(kind, ListKind::Cached | ListKind::Failed) {
            out.push(Action::Subscribe);
        }
        if matches!(kind, ListKind::Full | ListKind::Cached) {
            for pool in &mut self.pools {
                if !entries.iter().any(|e| e.pool == pool.id) {
                    pool.readiness = Readiness::Gone;
                }
            }
        }
        for entry in entries {
            let i = match self.pool_index(entry.pool) {
                Some(i) => i,
                None => {
                    self.pools.push(Pool::new(entry.pool, now));
                    self.pools.len() - 1
                }
            };
            let pool = &mut self.pools[i];
            // 0 means long ago.
            let ready_at = if entry.ready_at > 0.0 { entry.ready_at.min(now) } else { f64::NEG_INFINITY };
            if ready_at > pool.ready_at {
                // The processor was restarted: what is known of the old one no longer holds.
                *pool = Pool { min_delay: pool.min_delay, ready_at, ..Pool::new(entry.pool, now) };
            }
            pool.number = entry.number;
            pool.readiness = entry.readiness;
        }
        self.remove_gone_pools();
        self.dispatch_held(now, out);
    }

    /// Drops the state of pools that are gone, so that it does not grow with every replacement, and a pool
    /// that returns under the same identifier does not start with its old load.
    fn remove_gone_pools(&mut self) {
        let mut remaining = 0;
        let mut new_index = |p: &Pool| {
            let stays = p.readiness != Readiness::Gone;
            remaining += usize::from(stays);
            stays.then(|| remaining - 1)
        };
        let new_indices: Vec<Option<usize>> = self.pools.iter().map(&mut new_index).collect();
        self.pools.retain(|p| p.readiness != Readiness::Gone);
        let moved = |i: usize| new_indices.get(i).copied().flatten();
        let sticky = std::mem::take(&mut self.sticky);
        self.sticky = sticky.into_iter().filter_map(|(key, i)| Some((key, moved(i)?))).collect();
        for call in self.calls.values_mut() {
            call.avoid = call.avoid.and_then(moved);
        }
    }

    /// Applies a load report of a pool.
    fn apply_report(&mut self, now: f64, id: PoolId, report: &Report, out: &mut Vec<Action>) {
        let Some(i) = self.pool_index(id) else { return };
        let pool = &mut self.pools[i];
        pool.lines = report.free_lines.zip(report.total_lines).or(pool.lines);
        pool.max_set_up_rate = report.max_set_up_rate.or(pool.max_set_up_rate);
        if let Some(q) = report.hold_back_ratio {
            (pool.hold_back_ratio, pool.hold_back_at) = (Some(q.min(1.0)), now);
        }
        // Without a wait the busy fraction is scaled to one: linearly through L and H.
        let scaled = |util: f64| {
            ABATEMENT_UNITS
                + (ONSET_UNITS - ABATEMENT_UNITS) * (util - ABATEMENT_BUSY_RATIO)
                    / (ONSET_BUSY_RATIO - ABATEMENT_BUSY_RATIO)
        };
        let wait = report.wait.or(report.utilization.map(|util| scaled(util).max(0.0) * self.unit));
        if let Some(wait) = wait {
            (pool.reported_wait, pool.report_at) = (wait, now);
        }
        if wait.is_some() || report.hold_back_ratio.is_some() {
            self.update_state(now, i, 0.0, out);
        }
    }

    /// The pool's load figure: its wait in units, the largest that its report, the measured set-up delays and
    /// the oldest unanswered set-up show. The last covers a pool that drops set-ups, and late or no reports.
    fn load(&self, now: f64, i: usize) -> f64 {
        let p = &self.pools[i];
        let min_lifetime = LOAD_LIFETIME_UNITS * self.unit;
        let calls_time = LIFETIME_CALLS / self.carried_rate(now, p.number).max(1e-9);
        let lifetime = min_lifetime.max(calls_time.min(self.settings.warm_up_time));
        let aged = |wait: f64, at: f64| (wait - (now - at - lifetime).max(0.0)).max(0.0);
        let oldest = p.pending.first().map_or(0.0, |(at, _)| now - at - p.min_delay.min(min_lifetime));
        aged(p.reported_wait, p.report_at).max(aged(p.measured_wait, p.measured_at)).max(oldest) / self.unit
    }

    /// Moves the pool between normal, overload and discard, and adjusts q: it rises while the load is above H
    /// and falls while it is below, so that q fits however far a pool slows. `elapsed` is the time of a tick.
    fn update_state(&mut self, now: f64, i: usize, elapsed: f64, out: &mut Vec<Action>) {
        let load = self.load(now, i);
        let step = Q_INTEGRAL_GAIN * (load - ONSET_UNITS).min(DISCARD_UNITS) * elapsed / self.unit;
        let (min_discard, lifetime) = (self.unit, HOLD_BACK_LIFETIME_UNITS * self.unit);
        let pool = &mut self.pools[i];
        // Answers carry no report: when few calls end, none arrives for seconds and the ratio is outdated.
        if now - pool.hold_back_at > lifetime {
            pool.hold_back_ratio = None;
        }
        if pool.state != State::Normal {
            pool.q_integral = (pool.q_integral + step).clamp(0.0, MAX_Q);
        }
        // Discard is entered again only on information that arrived after it was left.
        let latest =
            pool.report_at.max(pool.measured_at).max(pool.pending.first().map_or(pool.since, |o| o.0));
        let asked = pool.hold_back_ratio.is_some_and(|q| q > 0.0);
        let next = match pool.state {
            State::Discard if load >= ONSET_UNITS && now - pool.since < min_discard => State::Discard,
            State::Discard => State::Overload,
            State::Normal if load >= DISCARD_UNITS => State::Discard,
            State::Overload if load >= DISCARD_UNITS && latest > pool.since => State::Discard,
            State::Normal if load > ONSET_UNITS || asked => State::Overload,
            // Overload ends only once q has decayed too: gatekeepers that all returned to normal at a dip in
            // one report would together drive the wait above H again.
            State::Overload if load < ABATEMENT_UNITS && pool.q_integral <= 0.0 && !asked => State::Normal,
            state => state,
        };
        if next != pool.state {
            if pool.state == State::Normal {
                pool.q_integral = pool.q_integral.max(INITIAL_Q);
            }
            if next == State::Discard {
                out.push(Action::Log(format!("pool {} discard: wait {load:.1} units", pool.number)));
            }
            (pool.state, pool.since) = (next, now);
        }
        let q = (pool.q_integral + Q_PROPORTIONAL_GAIN * (load - ONSET_UNITS)).clamp(0.0, MAX_Q);
        pool.q = pool.hold_back_ratio.unwrap_or(q);
    }

    /// Puts a pool that rejects a set-up as full in discard and skips it briefly. One that asks for a longer
    /// time is probed until it answers, as the wait it claims may not exist. Cost: more rejected set-ups.
    fn on_processor_full(&mut self, now: f64, i: usize, wait: f64) {
        let units = if wait > self.unit { PROBE_SPACING_UNITS * (0.5 + self.random()) } else { 1.0 };
        let pool = &mut self.pools[i];
        pool.skip_until = now + self.unit * units;
        (pool.state, pool.since, pool.silent) = (State::Discard, now, wait > self.unit);
        self.sticky.retain(|_, p| *p != i);
    }

    /// Spaces out set-ups to a pool whose lines are all busy, so that most find a line that became free,
    /// whatever the other gatekeepers use. Also covers a pool that rejects calls for lack of something else.
    /// Cost: a few calls are held although a line has just become free.
    fn on_no_free_line(&mut self, now: f64, i: usize) {
        let (unit, jitter) = (self.unit, 0.5 + self.random());
        self.pools[i].spacing.widen(now, LINE_SPACING_UNITS * unit, MAX_SPACING_UNITS * unit, jitter);
    }

    /// Marks a pool as silent after an attempt to which it did not respond: single calls probe it until it
    /// does. Covers a pool that has vanished or drops set-ups. Cost: its recovery is noticed late.
    fn mark_silent(&mut self, now: f64, i: usize, out: &mut Vec<Action>) {
        let (unit, jitter) = (self.unit, 0.5 + self.random());
        let pool = &mut self.pools[i];
        if !pool.silent {
            out.push(Action::Log(format!("pool {} silent: no word for an attempt that ended", pool.number)));
        }
        pool.silent = true;
        pool.skip_until = pool.skip_until.max(now + PROBE_SPACING_UNITS * unit * jitter);
        self.sticky.retain(|_, p| *p != i);
    }

    /// Cancels set-ups that are unanswered for longer than the pool's load explains, if another pool is
    /// normal and either a later report or an earlier loss shows that this pool answers promptly. Covers lost
    /// answers, which a gatekeeper with few calls cannot tell from a slow pool by the answers to later
    /// set-ups. Cost: wasted work if the pool has slowed down since its last report.
    fn cancel_lost(&mut self, now: f64, i: usize, out: &mut Vec<Action>) {
        let unit = self.unit;
        let pool = &self.pools[i];
        let known_wait = pool.reported_wait.max(pool.measured_wait);
        let timeout = pool.min_delay.min(unit) + 2.0 * known_wait + MIN_LOSS_UNITS * unit;
        let has_alternative = (self.pools.iter().enumerate())
            .any(|(k, p)| k != i && p.readiness == Readiness::Ready && p.state == State::Normal && !p.silent);
        if !has_alternative || known_wait >= ONSET_UNITS * unit {
            return;
        }
        let lost = |o: &(f64, CallId)| now < pool.lossy_until || pool.report_at > o.0 + unit;
        let overdue: Vec<CallId> =
            pool.pending.iter().filter(|o| now - o.0 > timeout && lost(o)).map(|o| o.1).collect();
        for id in overdue {
            self.cancel_attempt(now, i, id, out);
        }
    }

    /// Cancels an attempt whose answer the pool lost, if its call can still be established after the release
    /// time: within its goal time or, once that has passed, before the caller gives up.
    fn cancel_attempt(&mut self, now: f64, i: usize, id: CallId, out: &mut Vec<Action>) {
        self.pools[i].lossy_until = now + self.settings.warm_up_time;
        let Some(call) = self.calls.get_mut(&id) else { return };
        let Some(class) = self.settings.classes.get(call.class) else { return };
        let in_time = call.first_tried + class.goal_time;
        let limit = if now < in_time { in_time } else { call.deadline };
        if self.settings.may_cancel
            && class.repeatable
            && !call.cancelled
            && call.attempts < self.settings.try_limit
            && now + self.settings.release_time + self.unit / 2.0 < limit
        {
            call.cancelled = true;
            out.push(Action::Cancel { call: id, attempt: (call.attempts - 1) as u8 });
        }
    }

    /// Cancels the set-ups that were sent well before one that is answered now. A processor works in order of
    /// arrival, so they were lost and say nothing about its wait. Covers a pool or a network path that drops
    /// some set-ups and delivers the rest promptly. Cost: none observed; a processor that works in another
    /// order would have some cancelled too early.
    fn cancel_overtaken(&mut self, now: f64, i: usize, id: CallId, out: &mut Vec<Action>) {
        let gap = MIN_OVERTAKE_UNITS * self.unit;
        let Some(sent) = self.pools[i].pending.iter().find(|o| o.1 == id).map(|o| o.0) else { return };
        let (lost, rest) = self.pools[i].pending.iter().filter(|o| o.1 != id).partition(|o| o.0 + gap < sent);
        let lost: Vec<(f64, CallId)> = lost;
        self.pools[i].pending = rest;
        for (_, id) in lost {
            self.cancel_attempt(now, i, id, out);
        }
    }

    /// Fraction of its usual calls that a cold pool may be sent: its capacity after the time since its
    /// restart, times the overload factor and a margin. `None` if the pool is warm. Keeps a restarted
    /// processor from overload, even when all other pools are closed. Cost: calls move to a pool with spare
    /// capacity only as fast as its budget allows.
    fn cold_ratio(&self, now: f64, i: usize) -> Option<f64> {
        let age = now - self.pools[i].ready_at;
        if age >= self.settings.warm_up_time || self.settings.warm_up_time.is_nan() {
            return None;
        }
        let initial = self.settings.initial_capacity_ratio.clamp(0.0, 1.0);
        let capacity = initial + (1.0 - initial) * age.max(0.0) / self.settings.warm_up_time;
        Some(capacity * self.settings.overload_factor.max(1.0) * COLD_BUDGET_RATIO)
    }

    /// Whether the calls that a pool gets show what it can carry: it is in service, warm and not closed.
    fn is_steady(&self, now: f64, i: usize) -> bool {
        let pool = &self.pools[i];
        let open = pool.readiness == Readiness::Ready && pool.state != State::Discard && !pool.silent;
        open && self.cold_ratio(now, i).is_none()
    }

    /// Calls per second of this gatekeeper that the pool with this number is known to carry. Samples are
    /// long: the highest short ones of gatekeepers with few calls add up to several times the real rate.
    fn carried_rate(&self, now: f64, number: u32) -> f64 {
        let ready = self.pools.iter().filter(|p| p.readiness == Readiness::Ready).count().max(1);
        let assumed = self.offered_rate.at(now, self.rate_window) / ready as f64 * UNKNOWN_CARRIED_RATIO;
        match self.carried.get(&number) {
            Some(c) if c.max > 0.0 => c.max,
            Some(c) => (c.calls + assumed * self.rate_window) / (c.time + self.rate_window),
            None => assumed,
        }
    }

    /// Adds `elapsed` seconds to the samples of the rates that pools carry, and starts new samples.
    fn record_carried(&mut self, now: f64, elapsed: f64) {
        let decay = (-elapsed / (SAMPLE_LIFETIME_RATIO * self.settings.warm_up_time).max(1.0)).exp();
        for i in (0..self.pools.len()).filter(|i| self.is_steady(now, *i)).collect::<Vec<_>>() {
            let c = self.carried.entry(self.pools[i].number).or_default();
            c.max *= decay;
            c.time += elapsed;
            if c.calls >= MIN_SAMPLE_CALLS && c.time >= self.rate_window {
                *c = CarriedRate { max: c.max.max(c.calls / c.time), ..CarriedRate::default() };
            }
        }
    }

    /// Whether a pool's budget allows one more call. What accrued since the last check is the probability
    /// that it does, and expires then: nothing is saved up, so that many gatekeepers with few calls each stay
    /// within the sum of their budgets and do not send in step.
    fn budget_allows(&mut self, now: f64, i: usize, first_choice: bool, ratio: f64) -> bool {
        let usual = self.carried_rate(now, self.pools[i].number);
        let spacing = if first_choice { usual } else { self.offered_rate.at(now, self.rate_window) };
        let rate = match self.spare_rate(i) {
            Some(spare) if !first_choice && (self.pools[i].silent || self.cold_ratio(now, i).is_some()) => {
                spare.min(usual * ratio)
            }
            Some(spare) if !first_choice => spare,
            _ => usual * ratio,
        };
        let checked_at = &mut self.pools[i].budget_at[usize::from(first_choice)];
        let elapsed = (now - *checked_at).min(LIFETIME_CALLS / spacing.max(1e-9));
        *checked_at = now;
        self.random() < elapsed * rate
    }

    /// This gatekeeper's even share of the calls per second for which a pool has spare lines: its free lines
    /// over the mean holding time, and at most the set-up rate it accepts less that of its busy lines.
    fn spare_rate(&self, i: usize) -> Option<f64> {
        let (free, lines) = self.pools[i].lines?;
        let hold = self.settings.mean_holding_time?;
        let used = (lines - free).max(0.0) / hold;
        let spare = self.pools[i].max_set_up_rate.map_or(f64::MAX, |t| t - used).min(free / hold).max(0.0);
        (self.settings.gatekeepers > 0).then_some(spare / f64::from(self.settings.gatekeepers))
    }

    /// Whether a pool is open to a call at present.
    fn admits(&mut self, now: f64, i: usize, call: &Call) -> bool {
        let pool = &self.pools[i];
        let allowed = self.settings.classes.get(call.class).map_or(&[][..], |c| &c.pools[..]);
        if pool.readiness != Readiness::Ready
            || now < pool.skip_until.max(pool.spacing.next_at)
            || !(allowed.is_empty() || allowed.contains(&pool.number))
        {
            return false;
        }
        let (own, silent) = (pool.number == call.first_choice, pool.silent);
        // Under load, and for calls of another first choice, a pool gets no more unanswered set-ups than it
        // answers in a wait unit (one if it is silent), and at random if it gets few calls. Guards against
        // filling a queue that has stalled or slowed down since the last report, and against a large pool's
        // calls overloading a small one.
        let span = self.unit + pool.min_delay.min(self.unit);
        let max_pending =
            if silent { 0.0 } else { pool.established.at(now, LOAD_LIFETIME_UNITS * self.unit) * span };
        let bounded = silent || pool.state != State::Normal || !own;
        if bounded && pool.pending.len() as f64 >= max_pending.max(1.0) {
            return false;
        }
        let sparse = self.carried_rate(now, pool.number) * span < SPARSE_CALLS;
        let cold = self.cold_ratio(now, i);
        let ratio = match () {
            () if silent && sparse => PROBE_BUDGET_RATIO,
            () if !own && sparse => OVERFLOW_BUDGET_RATIO,
            () => 1.0,
        };
        if (cold.is_some() || ratio != 1.0) && !self.budget_allows(now, i, own, ratio * cold.unwrap_or(1.0)) {
            return false;
        }
        match self.pools[i].state {
            _ if silent => true,
            State::Normal => true,
            State::Overload => call.rank >= self.pools[i].q,
            State::Discard => false,
        }
    }

    /// Chooses the first choice, else the pool that last accepted such a call, else another at random, as far
    /// as the gate allows. If it denies all that are open, it is asked for them again as a last resort.
    fn choose_pool(&mut self, now: f64, id: CallId, call: &Call) -> Choice {
        let key = (call.class, call.first_choice);
        let sticky = self.sticky.get(&key).copied();
        let mut order = Vec::with_capacity(self.pools.len());
        for i in (0..self.pools.len()).filter(|i| Some(*i) != call.avoid) {
            let own = self.pools[i].number == call.first_choice;
            order.push((!own, sticky != Some(i), self.rng.next_u64(), i));
        }
        order.sort_unstable();
        let (mut denied, mut found) = (Vec::new(), None);
        for i in order.into_iter().map(|o| o.3) {
            if !self.admits(now, i, call) {
                continue;
            }
            let (class, pool, first_tried) = (call.class, self.pools[i].id, call.first_tried);
            let candidate =
                Candidate { call: id, class, pool, attempt: call.attempts, first_tried, last_resort: false };
            let Err(denial) = self.gate.may_send(now, &candidate) else {
                found = Some((i, candidate));
                break;
            };
            denied.push((i, candidate, denial));
        }
        if found.is_none() {
            let retried = denied.iter().map(|(i, c, _)| (*i, Candidate { last_resort: true, ..*c }));
            found = retried.into_iter().find(|(_, c)| self.gate.may_send(now, c).is_ok());
        }
        let Some((i, candidate)) = found else {
            return denied.first().map_or(Choice::NoPool, |(_, c, denial)| Choice::Denied(*c, *denial));
        };
        if self.pools[i].number != call.first_choice {
            self.sticky.insert(key, i);
        }
        Choice::Pool(i, candidate)
    }

    /// Draws a uniform random number from 0 to 1.
    fn random(&mut self) -> f64 {
        (self.rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Handles a new call: refuses it if the number dialled is known to be busy, else ranks and sends it.
    fn on_call(&mut self, now: f64, id: CallId, mut call: Call, tenant: usize, out: &mut Vec<Action>) {
        if self.calls.contains_key(&id) {
            return;
        }
        self.offered_rate.count(now, self.rate_window);
        if self.is_number_busy(now, call.dialled) {
            out.push(Action::Refuse { call: id, retry_after: self.settings.max_retry_after.unwrap_or(0.0) });
            return;
        }
        match self.refused_callers.first_tried(now, call.dialled) {
            Some(first_tried) => call.first_tried = first_tried,
            None => self.record_tenant(now, tenant),
        }
        let goal = self.settings.classes.get(call.class).map_or(0.0, |c| c.goal_time);
        call.hold_until = now + goal * MAX_HOLD_RATIO;
        call.rank = self.rank(self.worth(now, &call, tenant));
        self.calls.insert(id, call);
        self.dispatch(now, id, out);
    }

    /// Whether a number was busy lately; one attempt is allowed when its spacing has passed. Guards against a
    /// flood of calls to one number with few lines, which says nothing about any pool and takes set-ups from
    /// other calls. Also covers a number that always fails. Cost: a free line there is noticed late.
    fn is_number_busy(&mut self, now: f64, dialled: u64) -> bool {
        let jitter = 0.5 + self.random();
        match self.busy_numbers.get_mut(&dialled) {
            Some(busy) if now < busy.next_at => true,
            Some(busy) => {
                busy.next_at = now + busy.interval * jitter;
                false
            }
            None => false,
        }
    }

    /// Records that a number was busy or, if `free`, not: then it is tried more often, and finally forgotten.
    fn record_number(&mut self, now: f64, dialled: u64, free: bool) {
        let (min, max) = (BUSY_NUMBER_SPACING_UNITS * self.unit, MAX_SPACING_UNITS * self.unit);
        let (jitter, has_room) = (0.5 + self.random(), self.busy_numbers.len() < MAX_BUSY_NUMBERS);
        match self.busy_numbers.get_mut(&dialled) {
            Some(busy) if free => busy.narrow(min),
            Some(busy) => busy.widen(now, min, max, jitter),
            None if free || dialled == 0 || !has_room => {}
            None => self.busy_numbers.entry(dialled).or_default().widen(now, min, max, jitter),
        }
        self.busy_numbers.retain(|_, b| b.interval > 0.0 && now < b.next_at + max);
    }

    /// Worth of a call if it is established soon. The goal time runs from the caller's first try: a refused
    /// caller that dials again much later is unlikely to meet it and would displace one that can. Cost:
    /// another caller of the same number is taken for the first one and ranks lower.
    fn worth(&self, now: f64, call: &Call, tenant: usize) -> f64 {
        let Some(c) = self.settings.classes.get(call.class) else { return 0.0 };
        let late = now + LATE_MARGIN_UNITS * self.unit > call.first_tried + c.goal_time;
        c.value * if late { c.late_worth } else { 1.0 } * self.tenant_factor(tenant)
    }

    /// Counts a call for its tenant.
    fn record_tenant(&mut self, now: f64, tenant: usize) {
        let decay = (-(now - self.tenant_calls_at) / self.settings.warm_up_time.max(1.0)).exp();
        self.tenant_calls_at = now;
        for calls in &mut self.tenant_calls {
            *calls *= decay;
        }
        if let Some(calls) = self.tenant_calls.get_mut(tenant) {
            *calls += 1.0;
        }
    }

    /// Mean worth of a tenant's calls as a fraction of their usual worth, by how many exceed its quota.
    /// Quotas are for all gatekeepers together, and this one does not know its part, so it compares the
    /// tenants' fractions of its own calls with those of the quotas. Guards against a surge of one tenant
    /// that displaces calls within quota. Cost: where gatekeepers differ in tenants, some misjudge one.
    fn tenant_factor(&self, tenant: usize) -> f64 {
        let Some(t) = self.settings.tenants.get(tenant) else { return 1.0 };
        let quotas: f64 = self.settings.tenants.iter().map(|t| t.quota_per_s).sum();
        let calls: f64 = self.tenant_calls.iter().sum();
        let offered = self.tenant_calls[tenant] / calls.max(1.0) * quotas * OVERLOAD_CALLS_RATIO;
        let over = 1.0 - (t.quota_per_s / offered.max(1e-9)).clamp(0.0, 1.0);
        1.0 - over * (1.0 - self.settings.over_share_worth.clamp(0.0, 1.0))
    }

    /// Remembers when a caller that is refused or leaves first tried.
    fn remember_refused(&mut self, now: f64, call: &Call) {
        if call.dialled == 0 {
            return;
        }
        let lifetime = self.settings.classes.get(call.class).map_or(0.0, |c| c.hard_limit);
        self.refused_callers.insert(now, call.dialled, call.first_tried, lifetime);
    }

    /// Ranks a call among recent ones by worth, ties at random, from 0 to 1. A pool in overload refuses the
    /// calls whose rank is below q: a fraction q of all calls, those of least worth first. As the rank is
    /// drawn once, trying several pools gives a call no further chances.
    fn rank(&mut self, worth: f64) -> f64 {
        self.recent_worths.push_back(worth);
        if self.recent_worths.len() > MAX_RANKED_CALLS {
            self.recent_worths.pop_front();
        }
        let below = self.recent_worths.iter().filter(|w| **w < worth).count() as f64;
        let equal = self.recent_worths.iter().filter(|w| **w == worth).count() as f64;
        (below + self.random() * equal) / self.recent_worths.len() as f64
    }

    /// Sends a held call if a pool admits it; else the call stays held, or is refused once its time is up.
    fn dispatch(&mut self, now: f64, id: CallId, out: &mut Vec<Action>) {
        let Some(mut call) = self.calls.remove(&id) else { return };
        let Some(from) = call.held_from else {
            self.calls.insert(id, call);
            return;
        };
        // Held calls are offered again at each tick, and the caller must be answered before it gives up.
        let latest = call.deadline - 2.0 * self.tick;
        let hopeless = from > latest
            || call.attempts >= self.settings.try_limit
            || (call.may_have_run && !self.is_repeatable(call.class));
        let choice = if hopeless || from > now { Choice::NoPool } else { self.choose_pool(now, id, &call) };
        if let Choice::Denied(candidate, denial) = choice {
            self.gate.on_refused(now, &candidate, &denial);
            return self.refuse(now, id, &call, denial.retry_after, out);
        } else if let Choice::Pool(i, candidate) = choice {
            self.gate.on_sent(now, &candidate);
            let number = self.pools[i].number;
            if let (true, Some(carried)) = (self.is_steady(now, i), self.carried.get_mut(&number)) {
                carried.calls += 1.0;
            }
            let pool = &mut self.pools[i];
            pool.spacing.next_at = now + pool.spacing.interval;
            pool.pending.push((now, id));
            call.held_from = None;
            call.attempts += 1;
            call.cancelled = false;
            out.push(Action::Send { call: id, pool: pool.id, limit: 0.0 });
        } else if hopeless || now >= call.hold_until.min(latest) {
            return self.refuse(now, id, &call, 0.0, out);
        }
        self.calls.insert(id, call);
    }

    /// Whether a call of a class may be sent again after an attempt that may have taken effect.
    fn is_repeatable(&self, class: usize) -> bool {
        self.settings.classes.get(class).is_none_or(|c| c.repeatable)
    }

    /// Refuses a call, or fails it if it may have taken effect and must not be repeated.
    fn refuse(&mut self, now: f64, id: CallId, call: &Call, min_retry_after: f64, out: &mut Vec<Action>) {
        self.remember_refused(now, call);
        if call.may_have_run && !self.is_repeatable(call.class) {
            out.push(Action::Fail { call: id });
        } else {
            // Pools reopen at their next report at the earliest. Callers with the same retry-after time would
            // return in step and overload them again, so the rank, which is random, spreads them out.
            let wanted = (self.unit * (MIN_RETRY_AFTER_UNITS + call.rank)).max(min_retry_after);
            let retry_after = self.settings.max_retry_after.map_or(0.0, |max| wanted.min(max));
            out.push(Action::Refuse { call: id, retry_after });
        }
    }

    /// Handles an answer that established a call, and measures the pool's wait by its set-up delay.
    fn on_established(&mut self, now: f64, id: CallId, pool: PoolId, delay: f64, out: &mut Vec<Action>) {
        if let Some(call) = self.calls.remove(&id) {
            self.record_number(now, call.dialled, true);
            self.refused_callers.remove(call.dialled);
        }
        let Some(i) = self.pool_index(pool) else { return };
        self.cancel_overtaken(now, i, id, out);
        if !delay.is_finite() || delay < 0.0 {
            return;
        }
        (self.pools[i].reply_at, self.pools[i].silent) = (now, false);
        let p = &mut self.pools[i];
        p.min_delay = p.min_delay.min(delay);
        p.established.count(now, LOAD_LIFETIME_UNITS * self.unit);
        p.spacing.narrow(LINE_SPACING_UNITS * self.unit);
        // The whole excess is the set-up's wait: where answers go ahead of set-ups, the answer did not wait.
        let wait = delay - p.min_delay;
        p.measured_wait += NEWEST_DELAY_RATIO * (wait - p.measured_wait);
        p.measured_at = now;
        self.update_state(now, i, 0.0, out);
    }

    /// Updates a pool at the end of an attempt; `resume_call` decides what becomes of the call.
    fn on_attempt_end(&mut self, now: f64, i: usize, id: CallId, outcome: Outcome, out: &mut Vec<Action>) {
        let pool = &mut self.pools[i];
        let sent = pool.pending.iter().find(|(_, c)| *c == id).map(|(sent, _)| *sent);
        pool.pending.retain(|(_, c)| *c != id);
        match outcome {
            Outcome::Done | Outcome::Full | Outcome::Error => (pool.reply_at, pool.silent) = (now, false),
            Outcome::ConnectFailed => {
                // Its processor is down: one that answers later was restarted, reported or not, and is cold.
                pool.ready_at = now;
                self.mark_silent(now, i, out)
            }
            // Excludes a caller that left before an answer was due, which says nothing about the pool.
            Outcome::Timeout | Outcome::Cancelled
                if sent.is_some_and(|s| pool.reply_at < s && now - s >= MIN_LOSS_UNITS * self.unit) =>
            {
                self.mark_silent(now, i, out)
            }
            _ => {}
        }
    }

    /// Handles the end of a call's current attempt: fails the call, or holds it for the next attempt.
    fn resume_call(
        &mut self,
        now: f64,
        id: CallId,
        index: Option<usize>,
        end: (Outcome, Cause),
        out: &mut Vec<Action>,
    ) {
        let (outcome, cause) = end;
        let Some(call) = self.calls.get_mut(&id) else { return };
        let must_release = matches!(outcome, Outcome::Timeout | Outcome::Reset | Outcome::Cancelled);
        call.may_have_run |= must_release || outcome == Outcome::Error;
        let from = if must_release { now + self.settings.release_time } else { now };
        call.held_from = Some(from);
        call.hold_until = call.hold_until.max(from + self.unit);
        // Lines become free all the time, and a pool that lost a set-up or a connection may accept the next.
        let retryable = matches!(outcome, Outcome::Cancelled | Outcome::Reset);
        let lost = |i: usize| retryable && !self.pools[i].silent;
        call.avoid = index.filter(|i| cause != Cause::NoLine && !lost(*i));
        call.errors += u32::from(outcome == Outcome::Error);
        let (dialled, errors) = (call.dialled, call.errors);
        if let (Some(i), Cause::NoLine) = (index, cause) {
            self.on_no_free_line(now, i);
        }
        // A call that ended before its answer arrived here is not set up a second time. Nor is one that two
        // pools answered with an error tried at every pool in turn: the fault is in the call, and each
        // further attempt takes capacity from valid calls.
        if cause == Cause::NumberBusy || outcome == Outcome::Done || errors >= MAX_ERRORS {
            self.calls.remove(&id);
            if cause == Cause::NumberBusy {
                self.record_number(now, dialled, false);
            }
            out.push(Action::Fail { call: id });
        }
        self.dispatch(now, id, out);
    }

    /// Offers the held calls again, the highest rank first.
    fn dispatch_held(&mut self, now: f64, out: &mut Vec<Action>) {
        let mut held: Vec<(f64, CallId)> =
            (self.calls.iter()).filter(|(_, c)| c.held_from.is_some()).map(|(id, c)| (c.rank, *id)).collect();
        held.sort_by(|a, b| b.0.total_cmp(&a.0));
        for (_, id) in held {
            self.dispatch(now, id, out);
        }
    }

    /// Runs the periodic update if the due timer is the running one.
    fn on_timer(&mut self, now: f64, token: u32, out: &mut Vec<Action>) {
        if self.timer != Some(token) {
            return;
        }
        self.timer = None;
        let since = now - self.ticked_at;
        self.record_carried(now, if since.is_finite() { since } else { 0.0 });
        let elapsed = since.clamp(0.0, 2.0 * self.tick);
        self.ticked_at = now;
        for i in 0..self.pools.len() {
            self.update_state(now, i, elapsed, out);
            self.cancel_lost(now, i, out);
        }
        self.dispatch_held(now, out);
    }

    /// Keeps one timer running while a call is open or a pool is not normal.
    fn ensure_timer(&mut self, now: f64, out: &mut Vec<Action>) {
        let needed = !self.calls.is_empty() || self.pools.iter().any(|p| p.state != State::Normal);
        if needed && self.timer.is_none() {
            self.timer_token = self.timer_token.wrapping_add(1);
            self.timer = Some(self.timer_token);
            out.push(Action::Timer { at: now + self.tick, token: self.timer_token });
        }
    }
}

impl Pool {
    /// A pool of which nothing is known yet.
    fn new(id: PoolId, now: f64) -> Self {
        let never = f64::NEG_INFINITY;
        let spacing = Spacing { interval: 0.0, next_at: now };
        let pool = Pool { id, ready_at: never, since: now, min_delay: f64::MAX, spacing, ..Pool::default() };
        let (measured_at, report_at, skip_until, lossy_until) = (now, now, now, now);
        Pool { measured_at, report_at, skip_until, lossy_until, reply_at: never, budget_at: [now; 2], ..pool }
    }
}
