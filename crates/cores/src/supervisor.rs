//! Decides when a worker is started, restarted, left out or stopped.
//!
//! A worker that dies is replaced after a pause that doubles with each consecutive death. The pause has jitter,
//! so that workers that die of one cause do not restart at the same time. A worker that keeps dying is left out
//! and reported: each time it takes calls and dies, the other workers lose those calls.

use crate::Worker;

/// The limits and pauses for restarts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RestartPolicy {
    /// The pause before the first replacement, in seconds.
    pub first_pause_s: f64,
    /// The longest pause before a replacement, in seconds.
    pub max_pause_s: f64,
    /// A worker that has served for this long is stable: its next death counts as the first one, in seconds.
    pub stable_after_s: f64,
    /// The number of consecutive deaths after which a worker is left out.
    pub max_consecutive_deaths: u32,
    /// A serving worker that has sent nothing for this long is killed, in seconds.
    pub silence_limit_s: f64,
}

impl Default for RestartPolicy {
    fn default() -> Self {
        RestartPolicy {
            first_pause_s: 0.1,
            max_pause_s: 10.0,
            stable_after_s: 30.0,
            max_consecutive_deaths: 6,
            silence_limit_s: 1.0,
        }
    }
}

/// The state of the worker in a slot.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum State {
    /// The process runs and has not yet reported that it serves.
    Starting,
    /// The worker has served since this time, in seconds.
    Serving(f64),
    /// The worker died and is restarted at this time, in seconds.
    BackingOff(f64),
    /// The worker died too often and is not restarted.
    LeftOut,
    /// The worker has ended during a stop.
    Stopped,
}

/// What the caller of the supervisor has to do.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Action {
    /// Start a process for this slot.
    Start(Worker),
    /// A serving worker is lost: fence its call ids and assign them to other workers.
    Lost(Worker),
    /// A worker serves: assign call ids to it.
    Serving(Worker),
    /// A worker is left out: alert the staff on call.
    LeftOut(Worker),
    /// A worker has been silent for too long: kill its process. Its exit is then reported like any other.
    Kill(Worker),
}

struct Slot {
    state: State,
    deaths: u32,
    /// When the worker last sent a message, in seconds.
    last_message_at: f64,
}

/// Keeps the state of the workers in all slots.
pub struct Supervisor {
    policy: RestartPolicy,
    slots: Vec<Slot>,
    stopping: bool,
}

impl Supervisor {
    /// Creates a supervisor of `slots` slots; [`tick`](Self::tick) starts the workers.
    pub fn new(slots: u16, policy: RestartPolicy, now: f64) -> Supervisor {
        let slot = |_| Slot { state: State::BackingOff(now), deaths: 0, last_message_at: now };
        Supervisor { policy, slots: (0..slots).map(slot).collect(), stopping: false }
    }

    /// Returns the state of a worker, or `None` if the slot does not exist.
    pub fn state(&self, worker: Worker) -> Option<State> {
        self.slots.get(usize::from(worker.0)).map(|slot| slot.state)
    }

    /// Whether a stop was requested and no process is left to wait for.
    pub fn is_finished(&self) -> bool {
        let over = |slot: &Slot| matches!(slot.state, State::Stopped | State::LeftOut | State::BackingOff(_));
        self.stopping && self.slots.iter().all(over)
    }

    /// Begins a stop: no worker is started from now on.
    pub fn stop(&mut self) {
        self.stopping = true;
    }

    /// Records that a worker sent a message.
    pub fn record_message(&mut self, now: f64, worker: Worker) {
        if let Some(slot) = self.slots.get_mut(usize::from(worker.0)) {
            slot.last_message_at = slot.last_message_at.max(now);
        }
    }

    /// Starts workers that are due and kills silent ones, also during a stop. Call it periodically.
    pub fn tick(&mut self, now: f64) -> Vec<Action> {
        let mut actions = Vec::new();
        for (at, slot) in self.slots.iter_mut().enumerate() {
            if matches!(slot.state, State::Serving(_))
                && now - slot.last_message_at >= self.policy.silence_limit_s
            {
                // The kill is requested once; if it has no effect, it is requested again after the same time.
                slot.last_message_at = now;
                actions.push(Action::Kill(Worker(at as u16)));
            }
            if !self.stopping && matches!(slot.state, State::BackingOff(until) if until <= now) {
                slot.state = State::Starting;
                actions.push(Action::Start(Worker(at as u16)));
            }
        }
        actions
    }

    /// Records that a worker reported that it serves.
    pub fn record_serving(&mut self, now: f64, worker: Worker) -> Vec<Action> {
        match self.slots.get_mut(usize::from(worker.0)) {
            Some(slot) if slot.state == State::Starting => {
                (slot.state, slot.last_message_at) = (State::Serving(now), now);
                vec![Action::Serving(worker)]
            }
            _ => Vec::new(),
        }
    }

    /// Records that the process of a worker has exited. `chance`, from 0 to 1, sets the jitter of the pause.
    pub fn record_exit(&mut self, now: f64, worker: Worker, chance: f64) -> Vec<Action> {
        let (policy, stopping) = (self.policy, self.stopping);
        let Some(slot) = self.slots.get_mut(usize::from(worker.0)) else { return Vec::new() };
        let mut actions = Vec::new();
        match slot.state {
            State::Starting => slot.deaths = slot.deaths.saturating_add(1),
            State::Serving(since) => {
                let proven = now - since >= policy.stable_after_s;
                slot.deaths = if proven { 1 } else { slot.deaths.saturating_add(1) };
                actions.push(Action::Lost(worker));
            }
            // The slot had no running process.
            State::BackingOff(_) | State::LeftOut | State::Stopped => return actions,
        }
        slot.state = if stopping {
            State::Stopped
        } else if slot.deaths >= policy.max_consecutive_deaths {
            actions.push(Action::LeftOut(worker));
            State::LeftOut
        } else {
            let pause = policy.first_pause_s * 2f64.powi(slot.deaths.saturating_sub(1).min(30) as i32);
            let spread = 0.75 + 0.5 * chance.clamp(0.0, 1.0);
            State::BackingOff(now + pause.min(policy.max_pause_s) * spread)
        };
        actions
    }
}
