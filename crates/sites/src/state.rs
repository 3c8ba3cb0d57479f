//! Keeps the state of a site, and with it how much of its load may go there.
//!
//! | state | meaning | how it ends |
//! | --- | --- | --- |
//! | up | all of its load goes there | lost, after evidence of dead or cut off for `lost_after_s` without a break; uncertain evidence alone does not count |
//! | lost | no load goes there: the plan is active | returning, once it was reachable for `return_after_s` without a break |
//! | returning | the fraction of its load that the step gives goes there | the next step when its time is over and nothing got worse; the previous step if something did; up after the last |
//! | held | an operator keeps it in its state | by another command |
//!
//! A site that fails repeatedly must be reachable for longer: each loss within `loss_memory_s` of the one
//! before doubles `return_after_s`, up to `max_return_after_s`. So a link that flaps faster than `lost_after_s`
//! starts no plan, and one that flaps more slowly starts one and does not end it.

use std::fmt;

use crate::evidence::Verdict;

/// The hold times and steps; times are in seconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// How long evidence of a loss must hold before the site is lost.
    pub lost_after_s: f64,
    /// How long evidence of a return must hold before the return begins.
    pub return_after_s: f64,
    /// The limit of `return_after_s`, which doubles with each further loss.
    pub max_return_after_s: f64,
    /// How long a loss is remembered.
    pub loss_memory_s: f64,
    /// The rising fractions of its load that go to a returning site; after the last step it is up.
    pub step_ratios: Vec<f64>,
    /// The shortest duration of a step after a site was down: health reports of the step must have come.
    pub step_duration_s: f64,
    /// The shortest duration of a step after a site was only cut off, because its servers are warm.
    pub warm_step_duration_s: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            lost_after_s: 0.5,
            return_after_s: 2.0,
            max_return_after_s: 30.0,
            loss_memory_s: 60.0,
            step_ratios: vec![0.1, 0.25, 0.5, 0.75],
            // All steps together take no less than the 14 s that a cold server takes to warm up.
            step_duration_s: 3.5,
            warm_step_duration_s: 0.5,
        }
    }
}

/// Why a site is lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum LossCause {
    /// The site is down, and returns cold.
    Dead,
    /// The site runs but cannot be reached from here.
    CutOff,
    /// An operator declared it lost.
    Operator,
}

/// The state of a site.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum State {
    /// All of its load goes there.
    Up,
    /// No load goes there.
    Lost(LossCause),
    /// A fraction of its load goes there.
    Returning {
        /// Why it was lost.
        from: LossCause,
        /// The step, an index into [`Settings::step_ratios`].
        step: usize,
        /// When the step began, in seconds.
        since: f64,
        /// The highest step that was reversed. Each step is reversed at most once, so that the site does not
        /// oscillate.
        reversed: Option<usize>,
    },
}

/// A command of an operator for a site.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum OperatorCommand {
    /// The site is lost, whatever the evidence.
    Lost,
    /// The site keeps its state, whatever the evidence.
    Hold,
    /// The return begins, or goes on to the next step at once.
    Return,
    /// The evidence decides.
    Auto,
}

/// The health of the traffic that was sent to a returning site in this step.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Health {
    /// Reports of this step have come, and they are no worse than before.
    Good,
    /// More set-ups are refused, fail or are late than before.
    Worse,
    /// No reports of this step have come yet.
    Unknown,
}

/// A change of the state of a site.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Change {
    /// The site is lost: the plan begins.
    Lost(LossCause),
    /// The site is still lost, but for another cause.
    CauseChanged(LossCause),
    /// The return begins, or goes on or back to this step.
    Step(usize),
    /// The site is up again.
    Up,
    /// An operator gave a command.
    Command(OperatorCommand),
}

/// The state of one site.
#[derive(Clone, Debug, PartialEq)]
pub struct Site {
    state: State,
    command: OperatorCommand,
    /// Since when the evidence shows the site as lost without a break, in seconds.
    unreachable_since: Option<f64>,
    /// Since when the evidence shows the site as reachable without a break, in seconds.
    reachable_since: Option<f64>,
    /// The number of losses that are remembered.
    losses: u32,
    /// When the last loss was, in seconds.
    last_loss_at: f64,
}

impl Default for Site {
    fn default() -> Self {
        Site {
            state: State::Up,
            command: OperatorCommand::Auto,
            unreachable_since: None,
            reachable_since: None,
            losses: 0,
            last_loss_at: f64::NEG_INFINITY,
        }
    }
}

impl Site {
    /// Returns the state of the site.
    pub fn state(&self) -> State {
        self.state
    }

    /// Returns the last command of an operator.
    pub fn command(&self) -> OperatorCommand {
        self.command
    }

    /// Returns the fraction of its load that may go to the site, 0 to 1.
    pub fn load_ratio(&self, settings: &Settings) -> f64 {
        match self.state {
            State::Up => 1.0,
            State::Lost(_) => 0.0,
            State::Returning { step, .. } => {
                settings.step_ratios.get(step).copied().unwrap_or(1.0).clamp(0.0, 1.0)
            }
        }
    }

    /// Returns how long the site must be reachable without a break before its return begins, in seconds.
    pub fn return_after_s(&self, settings: &Settings) -> f64 {
        let doublings = self.losses.saturating_sub(1).min(16);
        (settings.return_after_s * f64::from(1u32 << doublings)).min(settings.max_return_after_s)
    }

    /// Applies a command of an operator and returns what changed.
    pub fn apply_command(&mut self, now: f64, command: OperatorCommand, settings: &Settings) -> Vec<Change> {
        let mut changes = vec![Change::Command(command)];
        self.command = command;
        match command {
            OperatorCommand::Lost => changes.extend(self.lose(now, LossCause::Operator)),
            OperatorCommand::Return => changes.extend(self.next_step(now, settings)),
            OperatorCommand::Hold | OperatorCommand::Auto => {}
        }
        changes
    }

    /// Applies the present verdict and the health of the traffic that goes there, and returns what changed.
    /// Call it periodically.
    pub fn observe(
        &mut self,
        now: f64,
        verdict: Verdict,
        health: Health,
        settings: &Settings,
    ) -> Vec<Change> {
        let kind = match verdict {
            Verdict::Dead => Some(LossCause::Dead),
            Verdict::CutOff => Some(LossCause::CutOff),
            // A partly lost site is reachable; nothing is known of an uncertain one.
            Verdict::Healthy | Verdict::PartlyLost | Verdict::Uncertain => None,
        };
        match (kind, verdict) {
            (Some(_), _) => (self.reachable_since, _) = (None, self.unreachable_since.get_or_insert(now)),
            (None, Verdict::Uncertain) => self.reachable_since = None,
            (None, _) => (self.unreachable_since, _) = (None, self.reachable_since.get_or_insert(now)),
        }
        if now - self.last_loss_at >= settings.loss_memory_s && self.state == State::Up {
            self.losses = 0;
        }
        if matches!(self.command, OperatorCommand::Hold | OperatorCommand::Lost) {
            return Vec::new();
        }
        let is_lost = self.unreachable_since.is_some_and(|since| now - since >= settings.lost_after_s);
        let is_back = self.reachable_since.is_some_and(|since| now - since >= self.return_after_s(settings));
        match (self.state, kind) {
            (State::Lost(LossCause::Operator), None) | (State::Lost(_), None) if is_back => {
                self.first_step(now, settings)
            }
            (State::Lost(present), Some(kind)) if is_lost && present != kind => {
                // A site that was cut off may go down meanwhile, and then returns cold. A site that was down
                // stays so: evidence that it is alive means that it is back, not that it was never down.
                if present == LossCause::Dead {
                    return Vec::new();
                }
                self.state = State::Lost(kind);
                vec![Change::CauseChanged(kind)]
            }
            (State::Up | State::Returning { .. }, Some(kind)) if is_lost => self.lose(now, kind),
            (State::Returning { from, step, since, reversed }, None) if self.reachable_since.is_some() => {
                let min_duration_s = if from == LossCause::CutOff {
                    settings.warm_step_duration_s
                } else {
                    settings.step_duration_s
                };
                // Up to the step that was reversed, each step takes twice as long.
                let was_reversed = reversed.is_some_and(|highest| step <= highest);
                let wait_s = if was_reversed { 2.0 * min_duration_s } else { min_duration_s };
                match health {
                    // If health is worse at the first step, or at one that was reversed before, the site stays
                    // there.
                    Health::Worse if step > 0 && !was_reversed && now - since >= min_duration_s / 2.0 => {
                        self.state =
                            State::Returning { from, step: step - 1, since: now, reversed: Some(step) };
                        vec![Change::Step(step - 1)]
                    }
                    Health::Good if now - since >= wait_s => self.next_step(now, settings),
                    _ => Vec::new(),
                }
            }
            _ => Vec::new(),
        }
    }

    fn lose(&mut self, now: f64, kind: LossCause) -> Vec<Change> {
        if matches!(self.state, State::Lost(_)) {
            self.state = State::Lost(kind);
            return vec![Change::CauseChanged(kind)];
        }
        self.state = State::Lost(kind);
        (self.losses, self.last_loss_at) = (self.losses.saturating_add(1), now);
        vec![Change::Lost(kind)]
    }

    fn first_step(&mut self, now: f64, settings: &Settings) -> Vec<Change> {
        let State::Lost(from) = self.state else { return Vec::new() };
        if settings.step_ratios.is_empty() {
            self.state = State::Up;
            return vec![Change::Up];
        }
        self.state = State::Returning { from, step: 0, since: now, reversed: None };
        vec![Change::Step(0)]
    }

    fn next_step(&mut self, now: f64, settings: &Settings) -> Vec<Change> {
        match self.state {
            State::Up => Vec::new(),
            State::Lost(_) => self.first_step(now, settings),
            State::Returning { step, .. } if step + 1 >= settings.step_ratios.len() => {
                self.state = State::Up;
                vec![Change::Up]
            }
            State::Returning { from, step, reversed, .. } => {
                self.state = State::Returning { from, step: step + 1, since: now, reversed };
                vec![Change::Step(step + 1)]
            }
        }
    }
}

impl fmt::Display for Site {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.state {
            State::Up => write!(f, "up")?,
            State::Lost(kind) => write!(f, "lost ({kind:?})")?,
            State::Returning { step, .. } => write!(f, "returning, step {step}")?,
        }
        match self.command {
            OperatorCommand::Auto => Ok(()),
            command => write!(f, ", operator command {command:?}"),
        }
    }
}
