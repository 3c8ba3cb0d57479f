//! A front for tests: carries out the actions of one controller and checks the rules after each step.
#![allow(dead_code)]

use std::collections::BTreeMap;

use hollypaddle_policy::{
    Action, CallId, Cause, ClassSettings, Controller, Event, GoalWeights, ListKind, Outcome, PoolEntry,
    PoolId, Readiness, Report, Settings, TenantSettings,
};

/// What the settings of a test look like.
#[derive(Clone, Debug)]
pub struct Shape {
    pub tenants: usize,
    pub retransmit: f64,
    pub try_limit: u32,
    pub may_cancel: bool,
    pub gatekeepers: u32,
}

impl Default for Shape {
    fn default() -> Self {
        Shape { tenants: 0, retransmit: 0.4, try_limit: 6, may_cancel: true, gatekeepers: 4 }
    }
}

pub fn settings(shape: &Shape) -> Settings {
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

pub fn entry(number: u32, readiness: Readiness, ready_at: f64) -> PoolEntry {
    PoolEntry { pool: PoolId(u64::from(number)), number, readiness, ready_at, district: None }
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Final {
    Stood,
    Refused,
    Failed,
    Gone,
}

#[derive(Clone, Debug)]
pub struct CallState {
    pub deadline: f64,
    pub attempts: u8,
    pub out: Option<PoolId>,
    pub sent: f64,
    pub cancelling: bool,
    pub not_before: f64,
    pub answer: Option<Final>,
}

#[derive(Clone, Copy, Debug)]
pub struct Sent {
    pub at: f64,
    pub call: CallId,
    pub pool: PoolId,
}

pub struct Front {
    pub controller: Controller,
    pub now: f64,
    pub calls: BTreeMap<CallId, CallState>,
    pub sends: Vec<Sent>,
    pub logs: Vec<String>,
    /// Each event handed over, and what came back.
    pub record: Vec<(f64, Event, Vec<Action>)>,
    pub cancels: usize,
    /// For how long refused callers were asked to stay away.
    pub advised: Vec<f64>,
    pub readiness: BTreeMap<PoolId, Readiness>,
    /// Pools that answer every set-up after this time.
    pub answers: BTreeMap<PoolId, f64>,
    release: f64,
    try_limit: u32,
    may_cancel: bool,
    timers: Vec<(f64, u32)>,
    next_call: CallId,
}

impl Front {
    pub fn new(settings: Settings, seed: u64) -> Self {
        Front {
            release: settings.release_time,
            try_limit: settings.try_limit,
            may_cancel: settings.may_cancel,
            controller: Controller::new(settings, seed),
            now: 1000.0,
            calls: BTreeMap::new(),
            sends: Vec::new(),
            logs: Vec::new(),
            record: Vec::new(),
            cancels: 0,
            advised: Vec::new(),
            answers: BTreeMap::new(),
            readiness: BTreeMap::new(),
            timers: Vec::new(),
            next_call: 1,
        }
    }

    /// Hands one event over, carries the actions out and checks what each may do.
    pub fn event(&mut self, event: Event) {
        let mut out = Vec::new();
        self.controller.handle(self.now, event.clone(), &mut out);
        self.record.push((self.now, event, out.clone()));
        for action in out {
            self.carry_out(action);
        }
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Send { call, pool, limit } => {
                let state = self.calls.get_mut(&call).expect("a send for a call that was never given");
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
                self.advised.push(retry_after);
                self.answer(call, Final::Refused);
            }
            Action::Fail { call } => self.answer(call, Final::Failed),
            Action::Cancel { call, attempt } => {
                assert!(self.may_cancel, "cancelled where that is not permitted");
                self.cancels += 1;
                let state = self.calls.get_mut(&call).expect("a cancel for a call that was never given");
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

    fn answer(&mut self, call: CallId, answer: Final) {
        let state = self.calls.get_mut(&call).expect("an answer for a call that was never given");
        assert_eq!(state.answer, None, "rule 1: a second final answer");
        assert!(self.now <= state.deadline + 0.02, "rule 1: answered too late");
        assert_eq!(state.out, None, "answered with an attempt still out");
        state.answer = Some(answer);
    }

    pub fn list(&mut self, kind: ListKind, entries: Vec<PoolEntry>) {
        if matches!(kind, ListKind::Full | ListKind::Cached) {
            self.readiness.values_mut().for_each(|r| *r = Readiness::Gone);
        }
        for e in &entries {
            self.readiness.insert(e.pool, e.readiness);
        }
        self.event(Event::List { kind, entries });
    }

    pub fn call(&mut self, class: usize, first_choice: u32) -> CallId {
        self.call_with(class, 0, first_choice, 3.0, 0)
    }

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

    pub fn out_to(&self, call: CallId) -> Option<PoolId> {
        self.calls[&call].out
    }

    pub fn refused(&self, call: CallId) -> bool {
        self.calls[&call].answer == Some(Final::Refused)
    }

    /// One call that stands at each pool, so that the way there is known.
    pub fn stand_one(&mut self, lag: f64) {
        let pools: Vec<PoolId> = self.readiness.keys().copied().collect();
        for pool in pools {
            let call = self.call(0, pool.0 as u32);
            self.now += lag;
            self.stand(call, lag);
        }
    }

    pub fn stand(&mut self, call: CallId, delay: f64) {
        let state = self.calls.get_mut(&call).expect("known");
        let Some(pool) = state.out.take() else { return };
        assert_eq!(state.answer, None);
        state.answer = Some(Final::Stood);
        let attempt = state.attempts - 1;
        self.event(Event::Established { call, pool, delay, attempt });
    }

    pub fn end(&mut self, call: CallId, outcome: Outcome, cause: Cause) {
        self.end_with(call, outcome, cause, Report::default());
    }

    pub fn end_with(&mut self, call: CallId, outcome: Outcome, cause: Cause, report: Report) {
        let state = self.calls.get_mut(&call).expect("known");
        let Some(pool) = state.out.take() else { return };
        if matches!(outcome, Outcome::Timeout | Outcome::Reset | Outcome::Cancelled) {
            state.not_before = self.now + self.release;
        }
        let attempt = state.attempts - 1;
        let complete = state.answer.is_some();
        self.event(Event::Ended { call, pool, attempt, complete, outcome, cause, retry_after: None, report });
    }

    /// A processor turned the attempt away as full and perhaps named a wait.
    pub fn end_full(&mut self, call: CallId, retry_after: Option<f64>, report: Report) {
        let state = self.calls.get_mut(&call).expect("known");
        let Some(pool) = state.out.take() else { return };
        let attempt = state.attempts - 1;
        let (outcome, cause, complete) = (Outcome::Full, Cause::ProcessorFull, state.answer.is_some());
        self.event(Event::Ended { call, pool, attempt, complete, outcome, cause, retry_after, report });
    }

    /// The caller goes; an attempt that is out still brings its end.
    pub fn abandon(&mut self, call: CallId) {
        self.calls.get_mut(&call).expect("known").answer = Some(Final::Gone);
        self.event(Event::Abandoned { call });
    }

    /// Ends every attempt that is out at a pool.
    pub fn end_any(&mut self, pool: PoolId, outcome: Outcome, cause: Cause) {
        let there: Vec<CallId> =
            self.calls.iter().filter(|(_, c)| c.out == Some(pool)).map(|(id, _)| *id).collect();
        for call in there {
            self.end(call, outcome, cause);
        }
    }

    /// Lets time pass: timers fire, cancelled attempts end, attempts time out at their deadline.
    pub fn run(&mut self, seconds: f64) {
        let end = self.now + seconds;
        while self.now < end {
            self.now = (self.now + 0.005).min(end);
            let due: Vec<u32> = self.timers.iter().filter(|(at, _)| *at <= self.now).map(|t| t.1).collect();
            self.timers.retain(|(at, _)| *at > self.now);
            for token in due {
                self.event(Event::Timer { token });
            }
            let stand: Vec<(CallId, f64)> = (self.calls.iter())
                .filter(|(_, c)| c.answer.is_none())
                .filter_map(|(id, c)| Some((*id, c.sent, *self.answers.get(&c.out?)?)))
                .filter(|(_, sent, lag)| self.now >= sent + lag)
                .map(|(id, _, lag)| (id, lag))
                .collect();
            for (call, lag) in stand {
                self.stand(call, lag);
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
