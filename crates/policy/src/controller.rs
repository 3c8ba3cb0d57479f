//! The decision module: hysteretic overload control for one front. Its interface, all types, events
//! and actions, is the file `interface.rs`.
//! Each front keeps a state for every pool, after Abaev et al.: *normal* sends every new set-up,
//! *overload* refuses each with probability q, *discard* sends none. docs/DESIGN.md tells what was
//! kept, what was changed, and when each departure acts.

use std::collections::{BTreeMap, VecDeque};

use rand_chacha::ChaCha8Rng;
use rand_core::{RngCore, SeedableRng};

use crate::interface::{
    Action, AllowAll, CallId, Candidate, Cause, Denial, Event, Gate, ListKind, Outcome, PoolEntry, PoolId,
    Readiness, Report, Settings,
};

// ---- Tuned values: all there are. Times are multiples of the wait unit unless said.
/// The wait unit is this share of the shortest goal time; as short as the retransmit time, but at least half.
const UNIT_OF_GOAL: f64 = 0.25;
/// Abatement threshold L: below this wait a pool is normal again.
const ABATE: f64 = 0.3;
/// Onset threshold H: beyond this wait a pool is in overload.
const ONSET: f64 = 0.7;
/// Discard threshold R: beyond this wait a pool is sent nothing for a while.
const DISCARD: f64 = 2.5;
/// Busy shares of a processor that stand for L and H where it reports no wait.
const UTIL_ABATE: f64 = 0.7;
const UTIL_ONSET: f64 = 0.9;
/// Refused share q on entering overload.
const Q_FIRST: f64 = 0.1;
/// How fast q follows the figure's distance from H, for each unit of distance and of time.
const Q_FOLLOW: f64 = 0.1;
/// What the figure's distance from H adds to q at once.
const Q_PROMPT: f64 = 0.2;
/// Most that is refused in overload, so that some set-ups keep bringing figures.
const Q_MOST: f64 = 0.95;
/// Spacing of set-ups to a pool without free lines, and of tries to a number found busy, at first. Both
/// grow at each that finds none, shrink at each that does, and have a most.
const LINE_GAP: f64 = 0.25;
const BUSY_GAP: f64 = 2.0;
const GAP_GROWS: f64 = 1.5;
const GAP_SHRINKS: f64 = 0.85;
const GAP_MOST: f64 = 16.0;
/// A call that no pool admits is held for at most this share of its goal time, then refused.
const HOLD: f64 = 0.15;
/// A refused caller is asked to stay away for so long, and up to one unit more.
const RETRY_FIRST: f64 = 2.0;
/// A call that so many attempts found in error has failed.
const ERRORS: u32 = 2;
/// Busy numbers remembered.
const BUSY_KEPT: usize = 64;
/// A call with less than this left of its goal time when it is offered counts as late.
const LATE_MARGIN: f64 = 0.5;
/// Callers turned away whose first try is remembered.
const TURNED_AWAY_KEPT: usize = 4096;
/// Calls offered to all fronts over the sum of the tenants' quotas, when pools are pressed.
const PRESSED_LOAD: f64 = 1.2;
/// A set-up is lost if unanswered for so much longer than its pool's figure explains.
const PATIENCE: f64 = 2.0;
/// An earlier set-up is lost if one sent so much later is answered first.
const OVERTAKEN: f64 = 0.25;
/// Spacing of single probing calls to a silent pool.
const PROBE_GAP: f64 = 1.5;
/// Recent calls against which a new one's worth is ranked.
const RANKED: usize = 64;
/// Weight of the newest own set-up delay against the older ones.
const OWN_WEIGHT: f64 = 0.4;
/// A figure not renewed for this long fades, as a line that gets nothing new runs empty.
const FRESH: f64 = 3.0;
/// A share to hold back that is not renewed counts for so long.
const HOLD_BACK_LASTS: f64 = 8.0;
/// Nor before so many of the usual calls there; an unused budget is gone after as many.
const KEPT_CALLS: f64 = 2.0;
/// Housekeeping interval.
const TICK: f64 = 0.1;
/// Window over which the own call rate is averaged, as a share of the cold time.
const RATE_WINDOW: f64 = 0.3;
/// What a pool carries is told by so many calls, and forgotten over so many cold times; an even share of
/// the own calls, times this part, stands in for one window's worth.
const CARRIED_CALLS: f64 = 30.0;
const CARRIED_LASTS: f64 = 5.0;
const CARRIED_UNKNOWN: f64 = 0.33;
/// Budgets, as shares of what this front's calls carry at a pool: for a cold one, times how far it has
/// warmed and the factor by which it may be overdriven; for a silent one; for calls of another first
/// choice where its room is not known.
const COLD_USE: f64 = 0.45;
const PROBE_USE: f64 = 0.25;
const SPILL_USE: f64 = 0.5;
/// A front with fewer usual calls than this at a pool in a wait unit sees too little to go by itself.
const SPARSE: f64 = 0.2;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum State {
    #[default]
    Normal,
    Overload,
    Discard,
}

/// Events a second, averaged over a window that fades.
#[derive(Default)]
struct Rate {
    value: f64,
    at: f64,
}

impl Rate {
    fn now(&self, now: f64, window: f64) -> f64 {
        self.value * (-(now - self.at).max(0.0) / window).exp()
    }

    fn count(&mut self, now: f64, window: f64) {
        *self = Rate { value: self.now(now, window) + 1.0 / window, at: now };
    }
}

/// How far apart tries are sent, and when the next may go; a gap of 0 is none.
#[derive(Default)]
struct Spacing {
    gap: f64,
    next: f64,
}

impl Spacing {
    fn widen(&mut self, now: f64, first: f64, most: f64, spread: f64) {
        self.gap = (self.gap * GAP_GROWS).clamp(first, most);
        self.next = self.next.max(now + self.gap * spread);
    }

    fn narrow(&mut self, first: f64) {
        self.gap *= GAP_SHRINKS;
        if self.gap < first / 2.0 {
            *self = Spacing::default();
        }
    }
}

#[derive(Default)]
struct Pool {
    id: PoolId,
    number: u32,
    readiness: Readiness,
    ready_at: f64,
    state: State,
    /// When the state was entered.
    since: f64,
    /// Share of new set-ups refused in overload, and the part of it that follows slowly.
    q: f64,
    q_slow: f64,
    /// Shortest set-up delay seen: the way there and back.
    base: f64,
    /// Waits derived from own set-up delays, and when the last was seen.
    own: f64,
    own_at: f64,
    /// The wait last reported, and when.
    report: f64,
    report_at: f64,
    /// The share that the pool asks senders to hold back; it is q itself.
    hold_back: Option<f64>,
    /// When that was told.
    hold_back_at: f64,
    /// Unanswered set-ups: when sent, and for which call. In the order of sending.
    out: Vec<(f64, CallId)>,
    /// Calls of this front that stood here.
    served: Rate,
    skip_until: f64,
    /// Free lines and lines in all, and what it says it can take.
    lines: Option<(f64, f64)>,
    can_take: Option<f64>,
    /// The last word of the processor, and whether it gives none when one is due.
    word_at: f64,
    silent: bool,
    /// Spacing of set-ups while lines are short.
    line: Spacing,
    /// Until when its answers are taken to get lost.
    loses_until: f64,
    /// When a budget of this pool was last asked: for calls of another first choice, and for its own.
    asked_at: [f64; 2],
}

/// A call that still needs its final answer.
#[derive(Default)]
struct Call {
    class: usize,
    dialled: u64,
    /// When the caller first tried.
    first_tried: f64,
    /// Share of recent calls that are refused before this one; uniform over all calls.
    rank: f64,
    /// A call not sent by then is refused.
    hold_until: f64,
    first_choice: u32,
    deadline: f64,
    /// While at the front: from when on it may be sent. None while an attempt is out.
    held_from: Option<f64>,
    attempts: u32,
    called_off: bool,
    /// Attempts that a pool answered with an error.
    errors: u32,
    /// The pool that failed this call last.
    avoid: Option<usize>,
    /// Whether an attempt may have taken effect.
    may_have_run: bool,
}

/// Where a call may go: nowhere at present, to a pool, or to none because the gate denies the first.
enum Choice {
    Nowhere,
    Pool(usize, Candidate),
    Denied(Candidate, Denial),
}

/// The call controller of one front, with the gate that its set-ups have to pass.
pub struct Controller<G = AllowAll> {
    settings: Settings,
    gate: G,
    /// Times derived from the settings, so that every threshold follows the deployment: the wait unit, the
    /// housekeeping interval and the window of the own call rate.
    unit: f64,
    tick: f64,
    window: f64,
    rng: ChaCha8Rng,
    pools: Vec<Pool>,
    calls: BTreeMap<CallId, Call>,
    /// The pool that last took an overflowing call, by class and first choice.
    sticky: BTreeMap<(usize, u32), usize>,
    /// What this front sent each pool, by its number, while that was in steady service.
    carried: BTreeMap<u32, Carried>,
    /// Calls offered to this front.
    rate: Rate,
    /// The timer that is running, and the last token given.
    timer: Option<u32>,
    timer_token: u32,
    ticked_at: f64,
    /// Worth of recent calls.
    worths: VecDeque<f64>,
    /// Numbers dialled by callers turned away: when they first tried, and until when they may again.
    turned_away: BTreeMap<u64, (f64, f64)>,
    /// Calls of each tenant, fading over the cold time, and when last faded.
    mix: Vec<f64>,
    mix_at: f64,
    /// Numbers found busy.
    busy: BTreeMap<u64, Spacing>,
}

/// Set-ups sent in the present count, the time it took so far, and the highest rate of a full count.
#[derive(Default)]
struct Carried {
    calls: f64,
    time: f64,
    most: f64,
}

impl Controller {
    /// A controller that knows nothing yet; `seed` feeds all its random draws.
    pub fn new(settings: Settings, seed: u64) -> Self {
        Controller::with_gate(settings, seed, AllowAll)
    }
}

impl<G: Gate> Controller<G> {
    /// The same, with a gate.
    pub fn with_gate(settings: Settings, seed: u64, gate: G) -> Self {
        let goal = settings.classes.iter().map(|c| c.goal_time).filter(|g| *g > 0.0).fold(f64::MAX, f64::min);
        let mut unit = if goal < f64::MAX { goal * UNIT_OF_GOAL } else { 1.0 };
        if settings.retransmit_time > 0.0 {
            unit = unit.min(settings.retransmit_time.max(unit / 2.0));
        }
        unit = unit.max(settings.min_batch_interval).max(1e-3);
        let tick = (unit * TICK).max(settings.min_batch_interval);
        let window = (settings.warm_up_time * RATE_WINDOW).max(unit);
        let mix = vec![0.0; settings.tenants.len()];
        Controller {
            settings,
            gate,
            unit,
            tick,
            window,
            rng: ChaCha8Rng::seed_from_u64(seed),
            pools: Vec::new(),
            calls: BTreeMap::new(),
            sticky: BTreeMap::new(),
            carried: BTreeMap::new(),
            rate: Rate::default(),
            timer: None,
            timer_token: 0,
            ticked_at: f64::NEG_INFINITY,
            worths: VecDeque::new(),
            turned_away: BTreeMap::new(),
            mix,
            mix_at: f64::NEG_INFINITY,
            busy: BTreeMap::new(),
        }
    }

    /// The gate.
    pub fn gate_mut(&mut self) -> &mut G {
        &mut self.gate
    }

    /// Settings read anew; a call's class keeps its number, so numbers are never given twice.
    pub fn update_settings(&mut self, settings: Settings) {
        self.settings = settings;
    }

    /// Takes one event and appends what is to be done.
    pub fn handle(&mut self, now: f64, event: Event, out: &mut Vec<Action>) {
        self.gate.on_event(now, &event);
        match event {
            Event::List { kind, entries } => self.list(now, kind, &entries, out),
            Event::Call { call, class, tenant, time_left, dialled, first_choice } => {
                let deadline = now + if time_left.is_finite() { time_left.max(0.0) } else { 0.0 };
                let new = Call { class, dialled, first_choice, deadline, ..Call::default() };
                let new = Call { first_tried: now, held_from: Some(now), ..new };
                self.offered(now, call, new, tenant, out)
            }
            Event::Established { call, pool, delay, attempt: _ } => self.stood(now, call, pool, delay, out),
            Event::Ended { call, pool, attempt, complete, outcome, cause, retry_after, report } => {
                self.reported(now, pool, &report, out);
                let index = self.index(pool);
                if let Some(i) = index {
                    self.attempt_over(now, i, call, outcome, out);
                    if cause == Cause::ProcessorFull {
                        self.pressed(now, i, retry_after.unwrap_or(0.0));
                    }
                }
                let last = |c: &Call| c.attempts == u32::from(attempt) + 1 && c.held_from.is_none();
                match self.calls.get(&call).is_some_and(last) {
                    true if complete => drop(self.calls.remove(&call)),
                    true => self.ended(now, call, index, (outcome, cause), out),
                    false => {}
                }
            }
            Event::Load { pool, report } => self.reported(now, pool, &report, out),
            Event::Abandoned { call } => {
                if let Some(call) = self.calls.remove(&call) {
                    self.remember(now, &call);
                }
            }
            Event::Timer { token } => self.on_tick(now, token, out),
            Event::Peer { .. } => {}
        }
        self.arm(now, out);
    }

    // ---- The list of pools

    fn index(&self, id: PoolId) -> Option<usize> {
        self.pools.iter().position(|p| p.id == id)
    }

    fn list(&mut self, now: f64, kind: ListKind, entries: &[PoolEntry], out: &mut Vec<Action>) {
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
            let i = match self.index(entry.pool) {
                Some(i) => i,
                None => {
                    self.pools.push(Pool::new(entry.pool, now));
                    self.pools.len() - 1
                }
            };
            let pool = &mut self.pools[i];
            // 0 means long past.
            let ready_at = if entry.ready_at > 0.0 { entry.ready_at.min(now) } else { f64::NEG_INFINITY };
            if ready_at > pool.ready_at {
                // A fresh processor: what is known of the old one no longer holds.
                *pool = Pool { base: pool.base, ready_at, ..Pool::new(entry.pool, now) };
            }
            pool.number = entry.number;
            pool.readiness = entry.readiness;
        }
        self.forget_gone();
        self.drain_held(now, out);
    }

    /// Drops all that is known of pools that are gone. Guards against state that grows with every
    /// replacement, and against an old figure held against a pool that comes back under the same id.
    fn forget_gone(&mut self) {
        let mut left = 0;
        let mut place = |p: &Pool| {
            let stays = p.readiness != Readiness::Gone;
            left += usize::from(stays);
            stays.then(|| left - 1)
        };
        let places: Vec<Option<usize>> = self.pools.iter().map(&mut place).collect();
        self.pools.retain(|p| p.readiness != Readiness::Gone);
        let moved = |i: usize| places.get(i).copied().flatten();
        let sticky = std::mem::take(&mut self.sticky);
        self.sticky = sticky.into_iter().filter_map(|(key, i)| Some((key, moved(i)?))).collect();
        for call in self.calls.values_mut() {
            call.avoid = call.avoid.and_then(moved);
        }
    }

    // ---- The figure and the three states

    fn reported(&mut self, now: f64, id: PoolId, report: &Report, out: &mut Vec<Action>) {
        let Some(i) = self.index(id) else { return };
        let pool = &mut self.pools[i];
        pool.lines = report.free_lines.zip(report.total_lines).or(pool.lines);
        pool.can_take = report.max_set_up_rate.or(pool.can_take);
        if let Some(q) = report.hold_back_ratio {
            (pool.hold_back, pool.hold_back_at) = (Some(q.min(1.0)), now);
        }
        // Without a wait, a busy share serves: ABATE at the one edge, ONSET at the other.
        let scaled = |util: f64| ABATE + (ONSET - ABATE) * (util - UTIL_ABATE) / (UTIL_ONSET - UTIL_ABATE);
        let wait = report.wait.or(report.utilization.map(|util| scaled(util).max(0.0) * self.unit));
        if let Some(wait) = wait {
            (pool.report, pool.report_at) = (wait, now);
        }
        if wait.is_some() || report.hold_back_ratio.is_some() {
            self.judge(now, i, 0.0, out);
        }
    }

    /// The pool's load figure: its wait in units, the largest of what the report, the own set-up
    /// delays and the oldest unanswered set-up say. The last guards against a pool that swallows
    /// set-ups and sends no report, and against late reports: silence is a figure too.
    fn figure(&self, now: f64, i: usize) -> f64 {
        let pool = &self.pools[i];
        let fresh = FRESH * self.unit;
        let heard = KEPT_CALLS / self.carries(now, pool.number).max(1e-9);
        let lasts = fresh.max(heard.min(self.settings.warm_up_time));
        let faded = |wait: f64, at: f64| (wait - (now - at - lasts).max(0.0)).max(0.0);
        let silent = pool.out.first().map_or(0.0, |(sent, _)| now - sent - pool.base.min(fresh));
        faded(pool.report, pool.report_at).max(faded(pool.own, pool.own_at)).max(silent) / self.unit
    }

    /// Moves the pool between normal, overload and discard, and lets q follow: it rises while the
    /// figure stays above H and falls while below, so that the share fits however far a pool slows.
    fn judge(&mut self, now: f64, i: usize, elapsed: f64, out: &mut Vec<Action>) {
        let figure = self.figure(now, i);
        let step = Q_FOLLOW * (figure - ONSET).min(DISCARD) * elapsed / self.unit;
        let (lasts, told) = (self.unit, HOLD_BACK_LASTS * self.unit);
        let pool = &mut self.pools[i];
        // Answers bring no report, and with few calls that end none comes for seconds: a share asked for
        // back then is no longer the pool's word on now.
        if now - pool.hold_back_at > told {
            pool.hold_back = None;
        }
        if pool.state != State::Normal {
            pool.q_slow = (pool.q_slow + step).clamp(0.0, Q_MOST);
        }
        // Discard is entered again only on word that came after it was left.
        let word = pool.report_at.max(pool.own_at).max(pool.out.first().map_or(pool.since, |o| o.0));
        let asked = pool.hold_back.is_some_and(|q| q > 0.0);
        let next = match pool.state {
            State::Discard if figure >= ONSET && now - pool.since < lasts => State::Discard,
            State::Discard => State::Overload,
            State::Normal if figure >= DISCARD => State::Discard,
            State::Overload if figure >= DISCARD && word > pool.since => State::Discard,
            State::Normal if figure > ONSET || asked => State::Overload,
            // Overload is left once q has run down too: fronts that reopened at one report's dip
            // would drive the line back past H together.
            State::Overload if figure < ABATE && pool.q_slow <= 0.0 && !asked => State::Normal,
            state => state,
        };
        if next != pool.state {
            if pool.state == State::Normal {
                pool.q_slow = pool.q_slow.max(Q_FIRST);
            }
            if next == State::Discard {
                out.push(Action::Log(format!("pool {} discard: wait {figure:.1} units", pool.number)));
            }
            (pool.state, pool.since) = (next, now);
        }
        let q = (pool.q_slow + Q_PROMPT * (figure - ONSET)).clamp(0.0, Q_MOST);
        pool.q = pool.hold_back.unwrap_or(q);
    }

    /// A full answer counts as a figure at R and briefly skips the pool; one that asks for a longer wait is
    /// probed until it answers: guards against a wait that is told and not there. Harm: more refusals.
    fn pressed(&mut self, now: f64, i: usize, wait: f64) {
        let gap = if wait > self.unit { PROBE_GAP * (0.5 + self.draw()) } else { 1.0 };
        let pool = &mut self.pools[i];
        pool.skip_until = now + self.unit * gap;
        (pool.state, pool.since, pool.silent) = (State::Discard, now, wait > self.unit);
        self.sticky.retain(|_, p| *p != i);
    }

    /// Guards against a pool that has a processor but no line: set-ups there are spaced so that most
    /// find one that came free, whatever the other fronts take. Also catches a pool that turns calls
    /// back for another lack of its own. Harm: a few calls wait at the front for a line just freed.
    fn lines_short(&mut self, now: f64, i: usize) {
        let (unit, spread) = (self.unit, 0.5 + self.draw());
        self.pools[i].line.widen(now, LINE_GAP * unit, GAP_MOST * unit, spread);
    }

    /// An attempt ended without a word from its pool since it was sent: from now on single calls probe
    /// it, until it answers. Guards against a pool that has vanished or swallows set-ups. Harm: one that
    /// answers again is found late.
    fn gone_silent(&mut self, now: f64, i: usize, out: &mut Vec<Action>) {
        let (unit, spread) = (self.unit, 0.5 + self.draw());
        let pool = &mut self.pools[i];
        if !pool.silent {
            out.push(Action::Log(format!("pool {} silent: no word for an attempt that ended", pool.number)));
        }
        pool.silent = true;
        pool.skip_until = pool.skip_until.max(now + PROBE_GAP * unit * spread);
        self.sticky.retain(|_, p| *p != i);
    }

    /// Calls off set-ups that are out for longer than the pool's figure explains, where another pool is
    /// normal and either a report that came since or an earlier loss tells that the pool is prompt. Guards
    /// against lost answers, which a front with few words cannot tell from a slow pool by later answers.
    /// Harm: work done for nothing if the pool has slowed since its last word.
    fn call_off(&mut self, now: f64, i: usize, out: &mut Vec<Action>) {
        let unit = self.unit;
        let pool = &self.pools[i];
        let known = pool.report.max(pool.own);
        let patience = pool.base.min(unit) + 2.0 * known + PATIENCE * unit;
        let elsewhere = (self.pools.iter().enumerate())
            .any(|(k, p)| k != i && p.readiness == Readiness::Ready && p.state == State::Normal && !p.silent);
        if !elsewhere || known >= ONSET * unit {
            return;
        }
        let lost = |o: &(f64, CallId)| now < pool.loses_until || pool.report_at > o.0 + unit;
        let old: Vec<CallId> =
            pool.out.iter().filter(|o| now - o.0 > patience && lost(o)).map(|o| o.1).collect();
        for id in old {
            self.recall(now, i, id, out);
        }
    }

    /// A pool loses answers. Calls one attempt there off if the call can still stand in time after the
    /// release (or, once late, before the caller goes).
    fn recall(&mut self, now: f64, i: usize, id: CallId, out: &mut Vec<Action>) {
        self.pools[i].loses_until = now + self.settings.warm_up_time;
        let Some(call) = self.calls.get_mut(&id) else { return };
        let Some(class) = self.settings.classes.get(call.class) else { return };
        let in_time = call.first_tried + class.goal_time;
        let limit = if now < in_time { in_time } else { call.deadline };
        if self.settings.may_cancel
            && class.repeatable
            && !call.called_off
            && call.attempts < self.settings.try_limit
            && now + self.settings.release_time + self.unit / 2.0 < limit
        {
            call.called_off = true;
            out.push(Action::Cancel { call: id, attempt: (call.attempts - 1) as u8 });
        }
    }

    /// A processor serves first come, first served: when a set-up is answered, those sent well before
    /// it were lost. They say nothing of the pool's wait and are called off. Guards against a pool or a
    /// way there that swallows some set-ups and answers the rest at once. Harm: none seen; a processor
    /// that serves out of turn would have some called off early.
    fn overtaken(&mut self, now: f64, i: usize, id: CallId, out: &mut Vec<Action>) {
        let slack = OVERTAKEN * self.unit;
        let Some(sent) = self.pools[i].out.iter().find(|o| o.1 == id).map(|o| o.0) else { return };
        let (lost, rest) = self.pools[i].out.iter().filter(|o| o.1 != id).partition(|o| o.0 + slack < sent);
        let lost: Vec<(f64, CallId)> = lost;
        self.pools[i].out = rest;
        for (_, id) in lost {
            self.recall(now, i, id, out);
        }
    }

    // ---- Choice

    /// The share of a cold pool's usual calls that it may be sent: as far as it has warmed, of what may
    /// overdrive it. Guards against pushing a fresh processor over, whatever else is shut. Harm: calls
    /// shift to a pool that has room only as fast as the budget lets them.
    fn cold_share(&self, now: f64, i: usize) -> Option<f64> {
        let age = now - self.pools[i].ready_at;
        if age >= self.settings.warm_up_time || self.settings.warm_up_time.is_nan() {
            return None;
        }
        let from = self.settings.initial_capacity_ratio.clamp(0.0, 1.0);
        let warm = from + (1.0 - from) * age.max(0.0) / self.settings.warm_up_time;
        Some(warm * self.settings.overload_factor.max(1.0) * COLD_USE)
    }

    /// Whether a pool shows what it can carry.
    fn steady(&self, now: f64, i: usize) -> bool {
        let pool = &self.pools[i];
        let open = pool.readiness == Readiness::Ready && pool.state != State::Discard && !pool.silent;
        open && self.cold_share(now, i).is_none()
    }

    /// Calls a second of this front that a pool of this number can be trusted to carry. Each count is long
    /// enough to tell a rate: the highest of short ones would add up, over fronts with few calls each, to
    /// several times what the pool carried.
    fn carries(&self, now: f64, number: u32) -> f64 {
        let ready = self.pools.iter().filter(|p| p.readiness == Readiness::Ready).count().max(1);
        let even = self.rate.now(now, self.window) / ready as f64 * CARRIED_UNKNOWN;
        match self.carried.get(&number) {
            Some(c) if c.most > 0.0 => c.most,
            Some(c) => (c.calls + even * self.window) / (c.time + self.window),
            None => even,
        }
    }

    fn note_carried(&mut self, now: f64, elapsed: f64) {
        let fade = (-elapsed / (CARRIED_LASTS * self.settings.warm_up_time).max(1.0)).exp();
        for i in (0..self.pools.len()).filter(|i| self.steady(now, *i)).collect::<Vec<_>>() {
            let c = self.carried.entry(self.pools[i].number).or_default();
            c.most *= fade;
            c.time += elapsed;
            if c.calls >= CARRIED_CALLS && c.time >= self.window {
                *c = Carried { most: c.most.max(c.calls / c.time), ..Carried::default() };
            }
        }
    }

    /// Whether a budget has room for a call. What came in since it was last asked is the chance that this
    /// call passes, and is gone then: nothing is saved up, so that many fronts with few calls each send no
    /// more in sum, and not in step.
    fn budget(&mut self, now: f64, i: usize, own: bool, share: f64) -> bool {
        let usual = self.carries(now, self.pools[i].number);
        let spacing = if own { usual } else { self.rate.now(now, self.window) };
        let rate = match self.room(i) {
            Some(room) if !own && (self.pools[i].silent || self.cold_share(now, i).is_some()) => {
                room.min(usual * share)
            }
            Some(room) if !own => room,
            _ => usual * share,
        };
        let asked = &mut self.pools[i].asked_at[usize::from(own)];
        let since = (now - *asked).min(KEPT_CALLS / spacing.max(1e-9));
        *asked = now;
        self.draw() < since * rate
    }

    /// This front's even share of the calls a second for which a pool has room: as its free lines turn
    /// over, and no more than its processor says that it can take beyond what its busy lines turn over.
    fn room(&self, i: usize) -> Option<f64> {
        let (free, lines) = self.pools[i].lines?;
        let hold = self.settings.mean_holding_time?;
        let taken = (lines - free).max(0.0) / hold;
        let room = self.pools[i].can_take.map_or(f64::MAX, |t| t - taken).min(free / hold).max(0.0);
        (self.settings.gatekeepers > 0).then_some(room / f64::from(self.settings.gatekeepers))
    }

    fn admits(&mut self, now: f64, i: usize, call: &Call) -> bool {
        let pool = &self.pools[i];
        let allowed = self.settings.classes.get(call.class).map_or(&[][..], |c| &c.pools[..]);
        if pool.readiness != Readiness::Ready
            || now < pool.skip_until.max(pool.line.next)
            || !(allowed.is_empty() || allowed.contains(&pool.number))
        {
            return false;
        }
        let (own, silent) = (pool.number == call.first_choice, pool.silent);
        // While pressed, and for calls of another first choice: no more unanswered set-ups than the pool
        // gets through in a wait unit (silent: one), and by chance at a pool that gets few. Guards against
        // pouring into a line that has stopped or slowed since the last word, and against a big pool's
        // calls falling on a small one.
        let span = self.unit + pool.base.min(self.unit);
        let most = if silent { 0.0 } else { pool.served.now(now, FRESH * self.unit) * span };
        let bounded = silent || pool.state != State::Normal || !own;
        if bounded && pool.out.len() as f64 >= most.max(1.0) {
            return false;
        }
        let sparse = self.carries(now, pool.number) * span < SPARSE;
        let cold = self.cold_share(now, i);
        let share = match () {
            () if silent && sparse => PROBE_USE,
            () if !own && sparse => SPILL_USE,
            () => 1.0,
        };
        if (cold.is_some() || share != 1.0) && !self.budget(now, i, own, share * cold.unwrap_or(1.0)) {
            return false;
        }
        match self.pools[i].state {
            _ if silent => true,
            State::Normal => true,
            State::Overload => call.rank >= self.pools[i].q,
            State::Discard => false,
        }
    }

    /// The first choice, else the pool that last took such a call, else the others in random order, as far
    /// as the gate lets it go there. Pools that would have taken it are asked for again as a last resort.
    fn choose(&mut self, now: f64, id: CallId, call: &Call) -> Choice {
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
            let ask =
                Candidate { call: id, class, pool, attempt: call.attempts, first_tried, last_resort: false };
            let Err(denial) = self.gate.may_send(now, &ask) else {
                found = Some((i, ask));
                break;
            };
            denied.push((i, ask, denial));
        }
        if found.is_none() {
            let asked = denied.iter().map(|(i, ask, _)| (*i, Candidate { last_resort: true, ..*ask }));
            found = asked.into_iter().find(|(_, ask)| self.gate.may_send(now, ask).is_ok());
        }
        let Some((i, ask)) = found else {
            return denied.first().map_or(Choice::Nowhere, |(_, ask, denial)| Choice::Denied(*ask, *denial));
        };
        if self.pools[i].number != call.first_choice {
            self.sticky.insert(key, i);
        }
        Choice::Pool(i, ask)
    }

    fn draw(&mut self) -> f64 {
        (self.rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    // ---- Calls

    fn offered(&mut self, now: f64, id: CallId, mut call: Call, tenant: usize, out: &mut Vec<Action>) {
        if self.calls.contains_key(&id) {
            return;
        }
        self.rate.count(now, self.window);
        if self.number_busy(now, call.dialled) {
            out.push(Action::Refuse { call: id, retry_after: self.settings.max_retry_after.unwrap_or(0.0) });
            return;
        }
        match self.turned_away.get(&call.dialled).filter(|t| t.1 > now) {
            Some(before) => call.first_tried = before.0,
            None => self.note_tenant(now, tenant),
        }
        let goal = self.settings.classes.get(call.class).map_or(0.0, |c| c.goal_time);
        call.hold_until = now + goal * HOLD;
        call.rank = self.rank(self.worth(now, &call, tenant));
        self.calls.insert(id, call);
        self.place(now, id, out);
    }

    /// Whether a number was found busy lately; lets one try through when its spacing has passed.
    /// Guards against a flood of calls to one number with few lines, which tells nothing of any pool
    /// and takes set-ups from the rest. Also catches a number that always fails. Harm: a line that came
    /// free there is found late.
    fn number_busy(&mut self, now: f64, dialled: u64) -> bool {
        let spread = 0.5 + self.draw();
        match self.busy.get_mut(&dialled) {
            Some(busy) if now < busy.next => true,
            Some(busy) => {
                busy.next = now + busy.gap * spread;
                false
            }
            None => false,
        }
    }

    /// Notes that a number was busy, or had a line: it is tried more often, and forgotten in the end.
    fn number_found(&mut self, now: f64, dialled: u64, free: bool) {
        let (first, most) = (BUSY_GAP * self.unit, GAP_MOST * self.unit);
        let (spread, room) = (0.5 + self.draw(), self.busy.len() < BUSY_KEPT);
        match self.busy.get_mut(&dialled) {
            Some(busy) if free => busy.narrow(first),
            Some(busy) => busy.widen(now, first, most, spread),
            None if free || dialled == 0 || !room => {}
            None => self.busy.entry(dialled).or_default().widen(now, first, most, spread),
        }
        self.busy.retain(|_, b| b.gap > 0.0 && now < b.next + most);
    }

    /// What a call is worth if it stands soon. The goal time runs from the caller's first try: one
    /// turned away a while ago that dials again can hardly stand in time and takes the place of one
    /// that can. Harm: another caller of the same number is taken for the first one, and waits behind.
    fn worth(&self, now: f64, call: &Call, tenant: usize) -> f64 {
        let Some(c) = self.settings.classes.get(call.class) else { return 0.0 };
        let late = now + LATE_MARGIN * self.unit > call.first_tried + c.goal_time;
        c.value * if late { c.late_worth } else { 1.0 } * self.tenant_worth(tenant)
    }

    fn note_tenant(&mut self, now: f64, tenant: usize) {
        let fade = (-(now - self.mix_at) / self.settings.warm_up_time.max(1.0)).exp();
        self.mix_at = now;
        for calls in &mut self.mix {
            *calls *= fade;
        }
        if let Some(calls) = self.mix.get_mut(tenant) {
            *calls += 1.0;
        }
    }

    /// What a tenant's calls are worth on average, given how much of them goes beyond its quota. Quotas
    /// hold over all fronts, of which this one does not know its part; so it compares the mix of its
    /// own calls with the mix of the quotas. Guards against one tenant's surge taking the places of
    /// calls within their share. Harm: where fronts differ in mix, a tenant is misjudged at some.
    fn tenant_worth(&self, tenant: usize) -> f64 {
        let Some(t) = self.settings.tenants.get(tenant) else { return 1.0 };
        let quotas: f64 = self.settings.tenants.iter().map(|t| t.quota_per_s).sum();
        let calls: f64 = self.mix.iter().sum();
        let offered = self.mix[tenant] / calls.max(1.0) * quotas * PRESSED_LOAD;
        let over = 1.0 - (t.quota_per_s / offered.max(1e-9)).clamp(0.0, 1.0);
        1.0 - over * (1.0 - self.settings.over_share_worth.clamp(0.0, 1.0))
    }

    /// Remembers when a caller who is turned away first tried.
    fn remember(&mut self, now: f64, call: &Call) {
        if call.dialled == 0 {
            return;
        }
        if self.turned_away.len() >= TURNED_AWAY_KEPT {
            self.turned_away.retain(|_, t| t.1 > now);
        }
        let lasts = self.settings.classes.get(call.class).map_or(0.0, |c| c.hard_limit);
        if self.turned_away.len() < TURNED_AWAY_KEPT {
            self.turned_away.insert(call.dialled, (call.first_tried, call.first_tried + lasts));
        }
    }

    /// Places a call among recent ones by worth, ties at random. A pool with refused share q refuses
    /// the calls whose rank lies below q: each call with probability q, the least worth first, and one
    /// call that is tried at several pools has no second chance with each.
    fn rank(&mut self, worth: f64) -> f64 {
        self.worths.push_back(worth);
        if self.worths.len() > RANKED {
            self.worths.pop_front();
        }
        let below = self.worths.iter().filter(|w| **w < worth).count() as f64;
        let equal = self.worths.iter().filter(|w| **w == worth).count() as f64;
        (below + self.draw() * equal) / self.worths.len() as f64
    }

    /// Sends a held call if a pool admits it, else answers it.
    fn place(&mut self, now: f64, id: CallId, out: &mut Vec<Action>) {
        let Some(mut call) = self.calls.remove(&id) else { return };
        let Some(from) = call.held_from else {
            self.calls.insert(id, call);
            return;
        };
        let last = call.deadline - 2.0 * self.tick;
        let hopeless = from > last
            || call.attempts >= self.settings.try_limit
            || (call.may_have_run && !self.repeatable(call.class));
        let choice = if hopeless || from > now { Choice::Nowhere } else { self.choose(now, id, &call) };
        if let Choice::Denied(ask, denial) = choice {
            self.gate.on_refused(now, &ask, &denial);
            return self.refuse(now, id, &call, denial.retry_after, out);
        } else if let Choice::Pool(i, ask) = choice {
            self.gate.on_sent(now, &ask);
            let number = self.pools[i].number;
            if let (true, Some(carried)) = (self.steady(now, i), self.carried.get_mut(&number)) {
                carried.calls += 1.0;
            }
            let pool = &mut self.pools[i];
            pool.line.next = now + pool.line.gap;
            pool.out.push((now, id));
            call.held_from = None;
            call.attempts += 1;
            call.called_off = false;
            out.push(Action::Send { call: id, pool: pool.id, limit: 0.0 });
        } else if hopeless || now >= call.hold_until.min(last) {
            return self.refuse(now, id, &call, 0.0, out);
        }
        self.calls.insert(id, call);
    }

    fn repeatable(&self, class: usize) -> bool {
        self.settings.classes.get(class).is_none_or(|c| c.repeatable)
    }

    fn refuse(&mut self, now: f64, id: CallId, call: &Call, least: f64, out: &mut Vec<Action>) {
        self.remember(now, call);
        if call.may_have_run && !self.repeatable(call.class) {
            out.push(Action::Fail { call: id });
        } else {
            // Pools open again at their next report at the earliest; callers told one and the same time
            // would come back in step and push them back over, so the rank, which is random, spreads them.
            let soon = (self.unit * (RETRY_FIRST + call.rank)).max(least);
            let retry_after = self.settings.max_retry_after.map_or(0.0, |most| soon.min(most));
            out.push(Action::Refuse { call: id, retry_after });
        }
    }

    fn stood(&mut self, now: f64, id: CallId, pool: PoolId, lag: f64, out: &mut Vec<Action>) {
        if let Some(call) = self.calls.remove(&id) {
            self.number_found(now, call.dialled, true);
            self.turned_away.remove(&call.dialled);
        }
        let Some(i) = self.index(pool) else { return };
        self.overtaken(now, i, id, out);
        if !lag.is_finite() || lag < 0.0 {
            return;
        }
        (self.pools[i].word_at, self.pools[i].silent) = (now, false);
        let p = &mut self.pools[i];
        p.base = p.base.min(lag);
        p.served.count(now, FRESH * self.unit);
        p.line.narrow(LINE_GAP * self.unit);
        // All of it: where answers go ahead of set-ups, the answer waited for nothing.
        let wait = lag - p.base;
        p.own += OWN_WEIGHT * (wait - p.own);
        p.own_at = now;
        self.judge(now, i, 0.0, out);
    }

    /// What the end of an attempt tells of its pool; `ended` has what it means for the call.
    fn attempt_over(&mut self, now: f64, i: usize, id: CallId, outcome: Outcome, out: &mut Vec<Action>) {
        let pool = &mut self.pools[i];
        let sent = pool.out.iter().find(|(_, c)| *c == id).map(|(sent, _)| *sent);
        pool.out.retain(|(_, c)| *c != id);
        match outcome {
            Outcome::Done | Outcome::Full | Outcome::Error => (pool.word_at, pool.silent) = (now, false),
            Outcome::ConnectFailed => {
                // Its processor is down: what answers next has just started, told or not, and is cold.
                pool.ready_at = now;
                self.gone_silent(now, i, out)
            }
            // Not one whose caller left before an answer was due, which tells nothing of the pool.
            Outcome::Timeout | Outcome::Cancelled
                if sent.is_some_and(|s| pool.word_at < s && now - s >= PATIENCE * self.unit) =>
            {
                self.gone_silent(now, i, out)
            }
            _ => {}
        }
    }

    fn ended(
        &mut self,
        now: f64,
        id: CallId,
        index: Option<usize>,
        end: (Outcome, Cause),
        out: &mut Vec<Action>,
    ) {
        let (outcome, cause) = end;
        let Some(call) = self.calls.get_mut(&id) else { return };
        let resting = matches!(outcome, Outcome::Timeout | Outcome::Reset | Outcome::Cancelled);
        call.may_have_run |= resting || outcome == Outcome::Error;
        let from = if resting { now + self.settings.release_time } else { now };
        call.held_from = Some(from);
        call.hold_until = call.hold_until.max(from + self.unit);
        // Lines come free all the time, and a pool that lost one set-up, or the connection that it was on,
        // may take the next.
        let again = matches!(outcome, Outcome::Cancelled | Outcome::Reset);
        let lost = |i: usize| again && !self.pools[i].silent;
        call.avoid = index.filter(|i| cause != Cause::NoLine && !lost(*i));
        call.errors += u32::from(outcome == Outcome::Error);
        let (dialled, errors) = (call.dialled, call.errors);
        if let (Some(i), Cause::NoLine) = (index, cause) {
            self.lines_short(now, i);
        }
        // A call that is over before anyone heard that it stood is not set up a second time. Nor is one
        // that two pools can make nothing of tried at each in turn: what is wrong is in the call, and each
        // attempt takes work from calls that are sound.
        if cause == Cause::NumberBusy || outcome == Outcome::Done || errors >= ERRORS {
            self.calls.remove(&id);
            if cause == Cause::NumberBusy {
                self.number_found(now, dialled, false);
            }
            out.push(Action::Fail { call: id });
        }
        self.place(now, id, out);
    }

    /// Offers the held calls again, the highest rank first.
    fn drain_held(&mut self, now: f64, out: &mut Vec<Action>) {
        let mut held: Vec<(f64, CallId)> =
            (self.calls.iter()).filter(|(_, c)| c.held_from.is_some()).map(|(id, c)| (c.rank, *id)).collect();
        held.sort_by(|a, b| b.0.total_cmp(&a.0));
        for (_, id) in held {
            self.place(now, id, out);
        }
    }

    // ---- Time

    fn on_tick(&mut self, now: f64, token: u32, out: &mut Vec<Action>) {
        if self.timer != Some(token) {
            return;
        }
        self.timer = None;
        let since = now - self.ticked_at;
        self.note_carried(now, if since.is_finite() { since } else { 0.0 });
        let elapsed = since.clamp(0.0, 2.0 * self.tick);
        self.ticked_at = now;
        for i in 0..self.pools.len() {
            self.judge(now, i, elapsed, out);
            self.call_off(now, i, out);
        }
        self.drain_held(now, out);
    }

    /// Keeps one timer running while anything needs it.
    fn arm(&mut self, now: f64, out: &mut Vec<Action>) {
        let busy = !self.calls.is_empty() || self.pools.iter().any(|p| p.state != State::Normal);
        if busy && self.timer.is_none() {
            self.timer_token = self.timer_token.wrapping_add(1);
            self.timer = Some(self.timer_token);
            out.push(Action::Timer { at: now + self.tick, token: self.timer_token });
        }
    }
}

impl Pool {
    fn new(id: PoolId, now: f64) -> Self {
        let never = f64::NEG_INFINITY;
        let line = Spacing { gap: 0.0, next: now };
        let pool = Pool { id, ready_at: never, since: now, base: f64::MAX, line, ..Pool::default() };
        let (own_at, report_at, skip_until, loses_until) = (now, now, now, now);
        Pool { own_at, report_at, skip_until, loses_until, word_at: never, asked_at: [now; 2], ..pool }
    }
}
