//! A gatekeeper for tests: it carries out the actions of one controller and checks the rules at each action.
#![allow(dead_code)]

use std::collections::BTreeMap;

use hollypaddle_policy::{
    Action, CallId, Cause, ClassSettings, Controller, Event, GoalWeights, ListKind, Outcome, PoolEntry,
    PoolId, Readiness, Report, Settings, TenantSettings,
};

/// The settings that differ between tests.
#[derive(Clone, Debug)]
pub struct SettingsShape {
    /// Number of tenants.
    pub tenants: usize,
    /// Retransmit time in seconds; 0 means never.
    pub retransmit: f64,
    /// Maximum number of attempts for one call.
    pub try_limit: u32,
    /// Whether attempts may be cancelled.
    pub may_cancel: bool,
    /// Number of gatekeepers that share the pools.
    pub gatekeepers: u32,
}

impl Default for SettingsShape {
    fn default() -> Self {
        SettingsShape { tenants: 0, retransmit: 0.4, try_limit: 6, may_cancel: true, gatekeepers: 4 }
    }
}

/// Settings with two classes; calls of the second one are worth three times as much.
pub fn settings(shape: &SettingsShape) -> Settings {
    let class = |goal_time, value| ClassSettings {
        goal_time,
        hard_limit: 9.0,
        value,
        late_worth: 0.25,
        pools: Vec::new(),
        repeatable: true,
    };
    Settings {
        gatekeepers: shape.gatekeepers,
        min_batch_interval: 0.005,
        classes: vec![class(2.0, 1.0), class(1.2, 3.0)],
        tenants: (0..shape.tenants).map(|i| TenantSettings { quota_per_s: 10.0 + i as f64 }).collect(),
        over_share_worth: 0.2,
        goal: GoalWeights { whole: 0.5, worst_window: 0.2, worst_class: 0.2, worst_tenant: 0.1 },
        mean_holding_time: None,
        retransmit_time: shape.retransmit,
        release_time: 0.3,
        try_limit: shape.try_limit,
        may_cancel: shape.may_cancel,
        max_retry_after: Some(2.0),
        warm_up_time: 14.0,
        initial_capacity_ratio: 0.3,
        overload_factor: 2.5,
        must_subscribe: false,
    }
}

/// A list entry of a pool whose identifier is its number.
pub fn entry(number: u32, readiness: Readiness, ready_at: f64) -> PoolEntry {
    PoolEntry { pool: PoolId(u64::from(number)), number, readiness, ready_at, district: None }
}

/// How a call ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FinalAnswer {
    /// A pool answered.
    Established,
    /// The controller refused the call.
    Refused,
    /// The controller failed the call.
    Failed,
    /// The caller left.
    Abandoned,
}

/// What the test gatekeeper knows of a call.
#[derive(Clone, Debug)]
pub struct CallState {
    /// When the caller gives up.
    pub deadline: f64,
    /// Number of attempts sent.
    pub attempts: u8,
    /// The pool that has the current attempt, if one is out.
    pub out: Option<PoolId>,
    /// When the last attempt was sent.
    pub sent: f64,
    /// Whether the current attempt is being cancelled.
    pub cancelling: bool,
    /// End of the release time after an attempt that may have taken effect.
    pub not_before: f64,
    /// The final answer, once there is one.
    pub answer: Option<FinalAnswer>,
}

/// A set-up that the controller sent.
#[derive(Clone, Copy, Debug)]
pub struct Sent {
    /// When it was sent.
    pub at: f64,
    /// The call that it belongs to.
    pub call: CallId,
    /// The pool that it was sent to.
    pub pool: PoolId,
}

/// A gatekeeper that asserts the rules on the actions of its controller.
pub struct TestGatekeeper {
    /// The controller under test.
    pub controller: Controller,
    /// The present time in seconds.
    pub now: f64,
    /// All calls so far.
    pub calls: BTreeMap<CallId, CallState>,
    /// All set-ups in the order of sending.
    pub sends: Vec<Sent>,
    /// All log lines.
    pub logs: Vec<String>,
    /// Each event that was passed to the controller, when, and the actions that it returned.
    pub record: Vec<(f64, Event, Vec<Action>)>,
    /// Number of cancelled attempts.
    pub cancels: usize,
    /// Retry-after times in seconds of the refused callers.
    pub retry_after_times: Vec<f64>,
    /// Readiness of the pools by the lists so far.
    pub readiness: BTreeMap<PoolId, Readiness>,
    /// Set-up delay in seconds of the pools that answer every set-up by themselves.
    pub answers: BTreeMap<PoolId, f64>,
    release_time: f64,
    try_limit: u32,
    may_cancel: bool,
    /// Running timers: when each is due, and its token.
    timers: Vec<(f64, u32)>,
    next_call: CallId,
}

impl TestGatekeeper {
    /// A gatekeeper without pools or calls.
    pub fn new(settings: Settings, seed: u64) -> Self {
        TestGatekeeper {
            release_time: settings.release_time,
            try_limit: settings.try_limit,
            may_cancel: settings.may_cancel,
            controller: Controller::new(settings, seed),
            now: 1000.0,
            calls: BTreeMap::new(),
            sends: Vec::new(),
            logs: Vec::new(),
            record: Vec::new(),
            cancels: 0,
            retry_after_times: Vec::new(),
            answers: BTreeMap::new(),
            readiness: BTreeMap::new(),
            timers: Vec::new(),
            next_call: 1,
        }
    }

    /// Passes one event to the controller, carries out the actions and checks that each is allowed.
    pub fn event(&mut self, event: Event) {
        let mut out = Vec::new();
        self.controller.handle(self.now, event.clone(), &mut out);
        self.record.push((self.now, event, out.clone()));
        for action in out {
            self.carry_out(action);
        }
    }

    /// Checks one action against the rules and carries it out.
    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Send { call, pool, limit } => {
                let state = self.calls.get_mut(&call).expect("a send for an unknown call");
                assert_eq!(state.answer, None, "rule 1: sent after its final answer");
                assert_eq!(state.out, None, "rule 2: two attempts out at once");
                assert_eq!(
                    self.readiness.get(&pool),
                    Some(&Readiness::Ready),
                    "rule 3: sent to a drained pool"
                );
                assert!(self.now >= state.not_before, "rule 5: sent before the release");
                assert!(u32::from(state.attempts) < self.try_limit, "more attempts than allowed");
                assert!(limit >= 0.0 && limit.is_finite());
                state.attempts += 1;
                state.out = Some(pool);
                state.sent = self.now;
                state.cancelling = false;
                self.sends.push(Sent { at: self.now, call, pool });
            }
            Action::Refuse { call, retry_after } => {
                assert!((0.0..=2.0).contains(&retry_after));
                self.retry_after_times.push(retry_after);
                self.answer(call, FinalAnswer::Refused);
            }
            Action::Fail { call } => self.answer(call, FinalAnswer::Failed),
            Action::Cancel { call, attempt } => {
                assert!(self.may_cancel, "cancelled where that is not permitted");
                self.cancels += 1;
                let state = self.calls.get_mut(&call).expect("a cancel for an unknown call");
                assert!(attempt < state.attempts, "cancelled an attempt never made");
                if attempt + 1 == state.attempts && state.out.is_some() {
                    state.cancelling = true;
                }
            }
            Action::Timer { at, token } => {
                assert!(at.is_finite());
                self.timers.push((at, token));
            }
            Action::Log(text) => self.logs.push(text),
            Action::Subscribe => panic!("subscribed where the list is pushed"),
        }
    }

    /// Records a call's final answer.
    fn answer(&mut self, call: CallId, answer: FinalAnswer) {
        let state = self.calls.get_mut(&call).expect("an answer for an unknown call");
        assert_eq!(state.answer, None, "rule 1: a second final answer");
        assert!(self.now <= state.deadline + 0.02, "rule 1: answered too late");
        assert_eq!(state.out, None, "answered with an attempt still out");
        state.answer = Some(answer);
    }

    /// Passes a list of pools.
    pub fn list(&mut self, kind: ListKind, entries: Vec<PoolEntry>) {
        if matches!(kind, ListKind::Full | ListKind::Cached) {
            self.readiness.values_mut().for_each(|r| *r = Readiness::Gone);
        }
        for e in &entries {
            self.readiness.insert(e.pool, e.readiness);
        }
        self.event(Event::List { kind, entries });
    }

    /// Offers a call that the caller waits 3 s for, without a tenant or a number dialled.
    pub fn call(&mut self, class: usize, first_choice: u32) -> CallId {
        self.call_with(class, 0, first_choice, 3.0, 0)
    }

    /// Offers a call.
    pub fn call_with(
        &mut self,
        class: usize,
        tenant: usize,
        first_choice: u32,
        time_left: f64,
        dialled: u64,
    ) -> CallId {
        let call = self.next_call;
        self.next_call += 1;
        let deadline = self.now + if time_left > 0.0 { time_left } else { 0.0 };
        let state = CallState {
            deadline,
            attempts: 0,
            out: None,
            sent: 0.0,
            cancelling: false,
            not_before: 0.0,
            answer: None,
        };
        self.calls.insert(call, state);
        self.event(Event::Call { call, class, tenant, time_left, dialled, first_choice });
        call
    }

    /// The pool that has the call's current attempt.
    pub fn out_to(&self, call: CallId) -> Option<PoolId> {
        self.calls[&call].out
    }

    /// Whether the call was refused.
    pub fn refused(&self, call: CallId) -> bool {
        self.calls[&call].answer == Some(FinalAnswer::Refused)
    }

    /// Establishes one call at each pool, so that the controller has measured the shortest set-up delay.
    pub fn establish_one_at_each(&mut self, delay: f64) {
        let pools: Vec<PoolId> = self.readiness.keys().copied().collect();
        for pool in pools {
            let call = self.call(0, pool.0 as u32);
            self.now += delay;
            self.establish(call, delay);
        }
    }

    /// The pool answers the call's current attempt.
    pub fn establish(&mut self, call: CallId, delay: f64) {
        let state = self.calls.get_mut(&call).expect("known");
        let Some(pool) = state.out.take() else { return };
        assert_eq!(state.answer, None);
        state.answer = Some(FinalAnswer::Established);
        let attempt = state.attempts - 1;
        self.event(Event::Established { call, pool, delay, attempt });
    }

    /// The call's current attempt ends without a load report.
    pub fn end(&mut self, call: CallId, outcome: Outcome, cause: Cause) {
        self.end_with(call, outcome, cause, Report::default());
    }

    /// The call's current attempt ends.
    pub fn end_with(&mut self, call: CallId, outcome: Outcome, cause: Cause, report: Report) {
        let state = self.calls.get_mut(&call).expect("known");
        let Some(pool) = state.out.take() else { return };
        if matches!(outcome, Outcome::Timeout | Outcome::Reset | Outcome::Cancelled) {
            state.not_before = self.now + self.release_time;
        }
        let attempt = state.attempts - 1;
        let complete = state.answer.is_some();
        self.event(Event::Ended { call, pool, attempt, complete, outcome, cause, retry_after: None, report });
    }

    /// A full processor rejects the call's current attempt, perhaps with a retry-after time.
    pub fn end_full(&mut self, call: CallId, retry_after: Option<f64>, report: Report) {
        let state = self.calls.get_mut(&call).expect("known");
        let Some(pool) = state.out.take() else { return };
        let attempt = state.attempts - 1;
        let (outcome, cause, complete) = (Outcome::Full, Cause::ProcessorFull, state.answer.is_some());
        self.event(Event::Ended { call, pool, attempt, complete, outcome, cause, retry_after, report });
    }

    /// The caller leaves; the end of an attempt that is out still follows.
    pub fn abandon(&mut self, call: CallId) {
        self.calls.get_mut(&call).expect("known").answer = Some(FinalAnswer::Abandoned);
        self.event(Event::Abandoned { call });
    }

    /// Ends every attempt that is out at a pool.
    pub fn end_any(&mut self, pool: PoolId, outcome: Outcome, cause: Cause) {
        let calls: Vec<CallId> =
            self.calls.iter().filter(|(_, c)| c.out == Some(pool)).map(|(id, _)| *id).collect();
        for call in calls {
            self.end(call, outcome, cause);
        }
    }

    /// Advances the time: timers fire, pools answer, cancelled attempts end, attempts time out at the deadline.
    pub fn run(&mut self, seconds: f64) {
        let end = self.now + seconds;
        while self.now < end {
            self.now = (self.now + 0.005).min(end);
            let due: Vec<u32> = self.timers.iter().filter(|(at, _)| *at <= self.now).map(|t| t.1).collect();
            self.timers.retain(|(at, _)| *at > self.now);
            for token in due {
                self.event(Event::Timer { token });
            }
            let answered: Vec<(CallId, f64)> = (self.calls.iter())
                .filter(|(_, c)| c.answer.is_none())
                .filter_map(|(id, c)| Some((*id, c.sent, *self.answers.get(&c.out?)?)))
                .filter(|(_, sent, delay)| self.now >= sent + delay)
                .map(|(id, _, delay)| (id, delay))
                .collect();
            for (call, delay) in answered {
                self.establish(call, delay);
            }
            let ended: Vec<(CallId, Outcome)> = (self.calls.iter())
                .filter(|(_, c)| c.out.is_some() && c.answer.is_none())
                .filter_map(|(id, c)| match () {
                    () if c.cancelling => Some((*id, Outcome::Cancelled)),
                    () if self.now >= c.deadline => Some((*id, Outcome::Timeout)),
                    () => None,
                })
                .collect();
            for (call, outcome) in ended {
                self.end(call, outcome, Cause::Unknown);
            }
            for (id, call) in &self.calls {
                assert!(
                    call.answer.is_some() || self.now <= call.deadline + 0.02,
                    "rule 1: call {id} has no final answer"
                );
            }
        }
    }
}
