//! Checks the state of a site against random evidence, and with a model checker.

use hollypaddle_sites::evidence::Verdict;
use hollypaddle_sites::state::*;
use proptest::prelude::*;
use stateright::{Checker, Model, Property};

const STEP: f64 = 0.05;

fn verdict() -> impl Strategy<Value = Verdict> {
    use Verdict::*;
    prop::sample::select(vec![Healthy, PartlyLost, Uncertain, CutOff, Dead])
}

fn health() -> impl Strategy<Value = Health> {
    prop::sample::select(vec![Health::Good, Health::Worse, Health::Unknown])
}

fn command_choice() -> impl Strategy<Value = Option<OperatorCommand>> {
    let words = prop::sample::select(vec![
        OperatorCommand::Lost,
        OperatorCommand::Hold,
        OperatorCommand::Return,
        OperatorCommand::Auto,
    ]);
    prop::option::weighted(0.05, words)
}

fn is_lost(verdict: Verdict) -> bool {
    matches!(verdict, Verdict::Dead | Verdict::CutOff)
}

proptest! {
    /// A plan starts only after evidence that held for its time, or by a command; it ends only after evidence
    /// that held; no step is reversed twice in one return; and the site can always come up again.
    #[test]
    fn site_changes_state_only_after_the_hold_times_and_always_recovers(stretches in prop::collection::vec((verdict(), health(), command_choice(), 1usize..80), 1..40)) {
        let settings = Settings::default();
        let (mut site, mut now) = (Site::default(), 100.0);
        let (mut unreachable_for, mut reachable_for) = (0.0f64, 0.0f64);
        let (mut command, mut reversed_steps) = (OperatorCommand::Auto, Vec::new());
        let mut open = 1.0;
        for (verdict, health, command_choice, steps) in stretches {
            let mut command_changes = Vec::new();
            if let Some(command_choice) = command_choice {
                command = command_choice;
                command_changes = site.apply_command(now, command_choice, &settings);
            }
            for _ in 0..steps {
                now += STEP;
                let before = site.state();
                let needs = site.return_after_s(&settings);
                // A break begins at the first observation of something else.
                unreachable_for = match verdict {
                    Verdict::Dead | Verdict::CutOff => unreachable_for + STEP,
                    // None of the servers answers here either, so this is no break.
                    Verdict::Uncertain if unreachable_for > 0.0 => unreachable_for + STEP,
                    _ => 0.0,
                };
                reachable_for = if is_lost(verdict) || verdict == Verdict::Uncertain { 0.0 } else { reachable_for + STEP };
                let changes = site.observe(now, verdict, health, &settings);
                for change in command_changes.drain(..).chain(changes.iter().copied()) {
                    match change {
                        Change::Lost(LossCause::Operator) => prop_assert_eq!(command, OperatorCommand::Lost),
                        Change::Lost(_) => {
                            prop_assert!(unreachable_for >= settings.lost_after_s - 1e-6, "lost after {unreachable_for} s");
                            reversed_steps.clear();
                        }
                        Change::Step(0) if matches!(before, State::Lost(_)) && command == OperatorCommand::Auto => {
                            prop_assert!(reachable_for >= needs - 1e-6, "returned after {reachable_for} s, expected {needs} s");
                        }
                        Change::Step(to) => {
                            if let State::Returning { step, .. } = before {
                                if to < step {
                                    prop_assert!(!reversed_steps.contains(&step), "step {step} was reversed twice");
                                    reversed_steps.push(step);
                                }
                            }
                        }
                        _ => {}
                    }
                }
                if matches!(command, OperatorCommand::Hold | OperatorCommand::Lost) {
                    prop_assert!(changes.is_empty(), "the state changed against the command of an operator");
                }
                if matches!(site.state(), State::Lost(_) | State::Up) {
                    reversed_steps.clear();
                }
                let next = site.load_ratio(&settings);
                prop_assert!((0.0..=1.0).contains(&next));
                prop_assert!(next <= open || next - open <= 0.5 + 1e-9 || command == OperatorCommand::Return, "{open} to {next} at once");
                open = next;
            }
        }
        // With good evidence the site is up within the longest wait and all steps, each taken twice as long.
        site.apply_command(now, OperatorCommand::Auto, &settings);
        let most = settings.max_return_after_s + 2.0 * settings.step_duration_s * settings.step_ratios.len() as f64 + 1.0;
        for _ in 0..(most / STEP) as usize {
            now += STEP;
            site.observe(now, Verdict::Healthy, Health::Good, &settings);
        }
        prop_assert_eq!(site.state(), State::Up);
        // If it is down for good, it is lost within its time, whatever came before.
        for _ in 0..(settings.lost_after_s / STEP) as usize + 2 {
            now += STEP;
            site.observe(now, Verdict::Dead, Health::Good, &settings);
        }
        prop_assert_eq!(site.state(), State::Lost(LossCause::Dead));
    }
}

/// A link flaps every second for a minute. If it is down for less than `lost_after_s` no plan starts; if it is
/// down for longer one starts, and does not end before the link is stable.
#[test]
fn flapping_link_starts_at_most_one_plan_and_ends_none_while_it_flaps() {
    let settings = Settings::default();
    for (down_s, started) in [(0.4, 0), (0.7, 1)] {
        let (mut site, mut changes) = (Site::default(), Vec::new());
        for n in 0..(60.0 / STEP) as usize {
            let at = n as f64 * STEP;
            let verdict = if at % 1.0 < down_s { Verdict::CutOff } else { Verdict::Healthy };
            changes.extend(site.observe(at, verdict, Health::Good, &settings));
        }
        assert_eq!(changes.len(), started, "{down_s}: {changes:?}");
        // The link is stable from here on.
        let mut at = 60.0;
        while site.state() != State::Up && at < 70.0 {
            at += STEP;
            site.observe(at, Verdict::Healthy, Health::Good, &settings);
        }
        assert!(at < 60.0 + settings.return_after_s + 5.0 * settings.warm_step_duration_s, "{at}");
    }
}

/// Each of the slow flaps is long enough to be a loss, so each return must wait longer.
#[test]
fn site_that_fails_repeatedly_must_be_reachable_longer_before_each_return() {
    let settings = Settings::default();
    let (mut site, mut at, mut waits) = (Site::default(), 0.0, Vec::new());
    for _ in 0..6 {
        while site.state() != State::Lost(LossCause::CutOff) {
            at += STEP;
            site.observe(at, Verdict::CutOff, Health::Good, &settings);
        }
        let since = at;
        while matches!(site.state(), State::Lost(_)) {
            at += STEP;
            site.observe(at, Verdict::Healthy, Health::Good, &settings);
        }
        waits.push(at - since);
    }
    assert!(waits.windows(2).all(|w| w[1] > 1.5 * w[0] || w[1] >= settings.max_return_after_s), "{waits:?}");
    assert!(waits.iter().all(|w| *w <= settings.max_return_after_s + 2.0 * STEP), "{waits:?}");
}

// The model checker tries any order of evidence, reports, time and commands.

#[derive(Clone, Debug, PartialEq)]
struct ModelState(Site, f64, Verdict);

impl Eq for ModelState {}

impl std::hash::Hash for ModelState {
    fn hash<H: std::hash::Hasher>(&self, state: &mut H) {
        format!("{self:?}").hash(state);
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum ModelAction {
    Observe(Verdict),
    Command(OperatorCommand),
    /// Lets this many seconds pass with observations and reports of this health.
    Advance(u8, Health),
}

struct SiteModel {
    settings: Settings,
    depth: u8,
}

fn advance(
    site: &mut Site,
    now: &mut f64,
    seconds: f64,
    verdict: Verdict,
    health: Health,
    settings: &Settings,
) {
    for _ in 0..(seconds / 0.25).round() as usize {
        *now += 0.25;
        site.observe(*now, verdict, health, settings);
    }
}

impl Model for SiteModel {
    type State = (ModelState, u8);
    type Action = ModelAction;

    fn init_states(&self) -> Vec<(ModelState, u8)> {
        vec![(ModelState(Site::default(), 0.0, Verdict::Healthy), 0)]
    }

    fn actions(&self, (_, depth): &(ModelState, u8), actions: &mut Vec<ModelAction>) {
        if *depth >= self.depth {
            return;
        }
        use Verdict::*;
        actions.extend([Healthy, PartlyLost, Uncertain, CutOff, Dead].map(ModelAction::Observe));
        actions.extend(
            [OperatorCommand::Lost, OperatorCommand::Hold, OperatorCommand::Return, OperatorCommand::Auto]
                .map(ModelAction::Command),
        );
        for health in [Health::Good, Health::Worse, Health::Unknown] {
            actions.extend([1, 8].map(|seconds| ModelAction::Advance(seconds, health)));
        }
    }

    fn next_state(&self, (node, depth): &(ModelState, u8), action: ModelAction) -> Option<(ModelState, u8)> {
        let ModelState(mut site, mut now, mut verdict) = node.clone();
        match action {
            ModelAction::Observe(observed) => {
                verdict = observed;
                site.observe(now, verdict, Health::Unknown, &self.settings);
            }
            ModelAction::Command(command_choice) => {
                drop(site.apply_command(now, command_choice, &self.settings))
            }
            ModelAction::Advance(seconds, health) => {
                advance(&mut site, &mut now, f64::from(seconds), verdict, health, &self.settings);
            }
        }
        Some((ModelState(site, now, verdict), depth + 1))
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(
                "every state can reach up and lost",
                |m: &SiteModel, (node, _): &(ModelState, u8)| {
                    let ModelState(site, now, _) = node;
                    let (mut up, mut lost, mut then) = (site.clone(), site.clone(), *now);
                    up.apply_command(then, OperatorCommand::Auto, &m.settings);
                    advance(&mut up, &mut then, 64.0, Verdict::Healthy, Health::Good, &m.settings);
                    let mut then = *now;
                    lost.apply_command(then, OperatorCommand::Auto, &m.settings);
                    advance(&mut lost, &mut then, 2.0, Verdict::Dead, Health::Good, &m.settings);
                    up.state() == State::Up && matches!(lost.state(), State::Lost(_))
                },
            ),
            Property::always(
                "no load goes to a site that an operator declared lost",
                |m: &SiteModel, (node, _): &(ModelState, u8)| {
                    node.0.command() != OperatorCommand::Lost || node.0.load_ratio(&m.settings) == 0.0
                },
            ),
            Property::always(
                "no load goes to a site that was dead for the hold time",
                |m: &SiteModel, (node, _): &(ModelState, u8)| {
                    let ModelState(mut site, mut now, _) = node.clone();
                    if site.command() != OperatorCommand::Auto {
                        return true;
                    }
                    advance(&mut site, &mut now, 1.0, Verdict::Dead, Health::Good, &m.settings);
                    site.load_ratio(&m.settings) == 0.0
                },
            ),
        ]
    }
}

#[test]
fn every_state_can_reach_up_and_lost() {
    let depth = std::env::var("DEPTH").ok().and_then(|d| d.parse().ok()).unwrap_or(4);
    let checker = SiteModel { settings: Settings::default(), depth }.checker().spawn_bfs().join();
    println!("{} states to a depth of {depth}", checker.unique_state_count());
    checker.assert_properties();
    assert!(checker.unique_state_count() > 1000);
}

/// Guards against a check that cannot fail: here a step never ends, so the return never does.
#[test]
fn model_checker_reports_a_return_that_never_ends() {
    let settings = Settings {
        step_duration_s: f64::INFINITY,
        warm_step_duration_s: f64::INFINITY,
        ..Settings::default()
    };
    let checker = SiteModel { settings, depth: 3 }.checker().spawn_bfs().join();
    assert!(checker.discovery("every state can reach up and lost").is_some());
}
