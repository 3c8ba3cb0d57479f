//! Compares random steps of a gatekeeper with a reference that keeps every event and recounts each time.

use std::collections::BTreeMap;

use hollypaddle_crossing::*;
use hollypaddle_policy::{
    CallId, Candidate, Cause, Event, Gate, ListKind, Outcome, PoolEntry, PoolId, Readiness, Report as Load,
};
use proptest::prelude::*;

const OWN: District = District(0);
const CLASSES: usize = 2;
const POOLS: u64 = 4;

fn entry(pool: u64, district: Option<u16>) -> PoolEntry {
    let (number, readiness, ready_at) = (pool as u32, Readiness::Ready, 0.0);
    PoolEntry { pool: PoolId(pool), number, readiness, ready_at, district }
}

fn per_gatekeeper(value: f64) -> Amount {
    Amount { value, whole_fleet: false }
}

fn rule(scope: Scope) -> Rule {
    Rule { scope, rate: None, ratio: None, standing: None, overdraft: per_gatekeeper(3.0), floor: 0.25 }
}

fn settings(rules: Vec<Rule>) -> Settings {
    let class = |name: &str, urgent| ClassInfo { name: name.into(), goal_time_s: 1.5, urgent };
    Settings {
        districts: ["downtown", "medical-center", "riverside"].map(String::from).to_vec(),
        own_district: OWN,
        classes: vec![class("meter-read", false), class("valve-set", true)],
        fleet_share: 0.25,
        overdraft: OverdraftSettings::default(),
        rules,
    }
}

/// What the reference remembers of one event.
#[derive(Clone, Copy, Debug)]
enum EventKind {
    Sent { overdrew: bool },
    Established { delay_s: f64, late: bool },
    Ended { outcome: Outcome },
    Denied,
}

#[derive(Clone, Copy, Debug)]
struct LoggedEvent {
    at: f64,
    call: CallId,
    class: usize,
    to: District,
    kind: EventKind,
}

#[derive(Default)]
struct Reference {
    log: Vec<LoggedEvent>,
    scopes: Vec<Scope>,
}

impl Reference {
    /// Recounts a cell, over the events whose time `since` accepts.
    fn counts(&self, class: usize, to: District, since: impl Fn(f64) -> bool) -> Counts {
        let mut counts = Counts::default();
        let mut established = BTreeMap::new();
        for event in self.log.iter().filter(|s| s.class == class && s.to == to) {
            let covered = since(event.at);
            match event.kind {
                EventKind::Sent { overdrew } => {
                    established.insert(event.call, false);
                    counts.sent += u64::from(covered);
                    counts.overdrew += u64::from(covered && overdrew);
                }
                EventKind::Established { delay_s, late } => {
                    established.insert(event.call, true);
                    counts.established += u64::from(covered);
                    counts.late += u64::from(covered && late);
                    counts.delay_s += if covered { delay_s } else { 0.0 };
                }
                EventKind::Ended { outcome } => {
                    let count = match (established.get(&event.call), outcome) {
                        (Some(true), Outcome::Done | Outcome::Cancelled) => &mut counts.ended,
                        (Some(true), _) => &mut counts.cut,
                        (_, Outcome::Full | Outcome::NotSent) => &mut counts.refused,
                        (_, Outcome::Reset) => &mut counts.reset,
                        (_, Outcome::Timeout | Outcome::Cancelled) => &mut counts.given_up,
                        _ => &mut counts.failed,
                    };
                    *count += u64::from(covered);
                }
                EventKind::Denied => counts.denied += u64::from(covered),
            }
        }
        counts
    }

    /// Whether a scope is the narrowest that covers a crossing: only that one is overdrawn.
    fn decides(&self, scope: &Scope, class: usize, to: District) -> bool {
        let wide = |s: &Scope| (2 * u8::from(s.pair.is_none()) + u8::from(s.class.is_none()), *s);
        let covering = self.scopes.iter().filter(|s| s.covers(OWN, to, class));
        covering.min_by_key(|s| wide(s)) == Some(scope)
    }

    /// Calls in flight or standing that a scope covers: within the budget, and overdrawn.
    fn districts(&self, scope: &Scope) -> (u32, u32) {
        let mut open = BTreeMap::new();
        for event in &self.log {
            match event.kind {
                EventKind::Sent { overdrew } => {
                    let overdrew = overdrew && self.decides(scope, event.class, event.to);
                    open.insert(event.call, (event.class, event.to, overdrew));
                }
                EventKind::Ended { .. } => drop(open.remove(&event.call)),
                _ => {}
            }
        }
        let crosses = |to: District| to != OWN && to != District::UNKNOWN;
        let covered = open.values().filter(|(c, to, _)| crosses(*to) && scope.covers(OWN, *to, *c));
        covered.fold((0, 0), |(within, overdrew), o| match o.2 {
            true => (within, overdrew + 1),
            false => (within + 1, overdrew),
        })
    }

    /// Replays a token bucket from the start and returns tokens and debt at the end.
    fn bucket(&self, scope: &Scope, rate: f64, burst: f64, floor: f64, now: f64) -> (f64, f64) {
        let (mut tokens, mut debt, mut at) = (0.0f64, 0.0f64, 0.0f64);
        let mut refill = |tokens: &mut f64, debt: &mut f64, to: f64| {
            let income = rate * (to - at);
            let paid = debt.min(income * (1.0 - floor));
            *debt -= paid;
            *tokens = (*tokens + income - paid).min(burst);
            at = to;
        };
        let crosses = |to: District| to != OWN && to != District::UNKNOWN;
        let mut sent: BTreeMap<CallId, bool> = BTreeMap::new();
        let mut established: BTreeMap<CallId, bool> = BTreeMap::new();
        for event in self.log.iter().filter(|s| crosses(s.to) && scope.covers(OWN, s.to, s.class)) {
            refill(&mut tokens, &mut debt, event.at);
            match event.kind {
                EventKind::Sent { overdrew } => {
                    let overdrew = overdrew && self.decides(scope, event.class, event.to);
                    sent.insert(event.call, overdrew);
                    established.insert(event.call, false);
                    match overdrew {
                        true => debt += 1.0,
                        false => tokens = (tokens - 1.0).max(-burst),
                    }
                }
                EventKind::Established { .. } => drop(established.insert(event.call, true)),
                EventKind::Ended { outcome: Outcome::Full | Outcome::ConnectFailed | Outcome::NotSent }
                    if established.get(&event.call) == Some(&false) =>
                {
                    match sent.get(&event.call) {
                        Some(true) => debt = (debt - 1.0).max(0.0),
                        _ => tokens = (tokens + 1.0).min(burst),
                    }
                }
                _ => {}
            }
        }
        refill(&mut tokens, &mut debt, now);
        (tokens, debt)
    }
}

struct TestGate {
    crossing: Crossing,
    reference: Reference,
    districts: BTreeMap<u64, District>,
    /// Calls in flight or standing: class, district, first tried, sent, whether established.
    open: BTreeMap<CallId, (usize, District, f64, f64, bool)>,
    next: CallId,
    now: f64,
}

impl TestGate {
    fn new(rules: Vec<Rule>) -> TestGate {
        let scopes = rules.iter().map(|r| r.scope).collect();
        let mut crossing = Crossing::new(settings(rules), 0.0);
        let districts = [Some(0), Some(1), Some(2), None];
        let entries = (0..POOLS).map(|p| entry(p, districts[p as usize])).collect();
        crossing.on_event(0.0, &Event::List { kind: ListKind::Full, entries });
        let district = |d: Option<u16>| d.map_or(District::UNKNOWN, District);
        let districts = (0..POOLS).map(|p| (p, district(districts[p as usize]))).collect();
        TestGate {
            crossing,
            reference: Reference { log: Vec::new(), scopes },
            districts,
            open: BTreeMap::new(),
            next: 0,
            now: 0.0,
        }
    }

    fn log(&mut self, call: CallId, class: usize, to: District, kind: EventKind) {
        self.reference.log.push(LoggedEvent { at: self.now, call, class, to, kind });
    }

    fn candidate(&self, class: usize, pool: u64, last_resort: bool) -> Candidate {
        let (call, pool) = (self.next, PoolId(pool));
        Candidate { call, class, pool, attempt: 0, first_tried: self.now, last_resort }
    }

    /// Offers a call to a pool and returns whether a set-up was sent.
    fn offer(&mut self, class: usize, pool: u64, urgent_last: bool) -> bool {
        self.next += 1;
        let to = self.districts[&pool];
        let first = self.candidate(class, pool, false);
        let denial = match self.crossing.may_send(self.now, &first) {
            Ok(()) => {
                self.send(first, to, false);
                return true;
            }
            Err(denial) => denial,
        };
        assert!(denial.retry_after > 0.0 && denial.retry_after.is_finite());
        let last = Candidate { last_resort: true, ..first };
        if urgent_last && self.crossing.may_send(self.now, &last).is_ok() {
            self.send(last, to, true);
            return true;
        }
        self.crossing.on_refused(self.now, &first, &denial);
        self.log(first.call, class, to, EventKind::Denied);
        false
    }

    fn send(&mut self, candidate: Candidate, to: District, overdrew: bool) {
        self.crossing.on_sent(self.now, &candidate);
        self.open.insert(candidate.call, (candidate.class, to, self.now, self.now, false));
        self.log(candidate.call, candidate.class, to, EventKind::Sent { overdrew });
    }

    fn establish(&mut self, call: CallId) {
        let Some(&(class, to, first, sent, false)) = self.open.get(&call) else { return };
        let delay_s = self.now - sent;
        self.crossing
            .on_event(self.now, &Event::Established { call, pool: PoolId(0), delay: delay_s, attempt: 0 });
        self.open.insert(call, (class, to, first, sent, true));
        self.log(call, class, to, EventKind::Established { delay_s, late: self.now - first > 1.5 });
    }

    fn end(&mut self, call: CallId, outcome: Outcome) {
        let Some((class, to, ..)) = self.open.remove(&call) else { return };
        let (pool, attempt, cause) = (PoolId(0), 0, Cause::Unknown);
        let (retry_after, report) = (None, Load::default());
        let end = Event::Ended { call, pool, attempt, complete: true, outcome, cause, retry_after, report };
        self.crossing.on_event(self.now, &end);
        self.log(call, class, to, EventKind::Ended { outcome });
    }

    /// Compares everything with the reference.
    fn check(&mut self) {
        let now = self.now;
        assert!(self.crossing.account().balances());
        assert_eq!(self.crossing.open_calls(), self.open.len());
        let cells: Vec<(usize, District)> =
            self.crossing.account().cells().map(|(class, to, _)| (class, to)).collect();
        let spans = [(Span::Total, 0.0, 0), (Span::Seconds10, 1.0, 10), (Span::Minute, 5.0, 12)];
        let spans = spans.into_iter().chain([(Span::Minutes10, 30.0, 20)]);
        for (span, width, slots) in spans {
            let slot = |at: f64| (at / width).floor() as i64;
            let covered = |at: f64| slots == 0 || slot(at) > slot(now) - slots;
            for &(class, to) in &cells {
                let counted = self.reference.counts(class, to, covered);
                let cell = self.crossing.account().cells().find(|c| (c.0, c.1) == (class, to)).unwrap().2;
                let got = cell.counts(now, span);
                assert!((got.delay_s - counted.delay_s).abs() < 1e-6);
                assert_eq!(Counts { delay_s: 0.0, ..got }, Counts { delay_s: 0.0, ..counted }, "{span:?}");
            }
        }
        let out = self.open.values().filter(|o| !o.4).count() as u64;
        let cells = self.crossing.account().cells();
        let (cell_out, standing) =
            cells.fold((0, 0), |(o, s), (_, _, cell)| (o + cell.in_flight, s + cell.standing));
        assert_eq!((cell_out, standing), (out, self.open.len() as u64 - out));
        let log = &self.reference;
        for budget in self.crossing.budgets().iter_mut() {
            let rule = *budget.rule();
            let (within, overdrew) = log.districts(&rule.scope);
            let left = budget.remaining(now);
            if left.standing.is_some() {
                assert_eq!(left.standing, Some(within + overdrew), "{rule:?}");
            }
            if let (Some(rate), Some(burst)) = (left.per_s, left.burst) {
                let (tokens, debt) = log.bucket(&rule.scope, rate, burst, rule.floor, now);
                assert!((left.tokens.unwrap() - tokens).abs() < 1e-6, "{left:?}, reference {tokens}");
                let owed = debt.max(if rule.standing.is_some() { f64::from(overdrew) } else { debt });
                assert!(rule.ratio.is_some() || left.overdrawn + 1e-6 >= owed);
            }
            assert!(left.overdrawn <= left.overdraft + 1e-6, "{left:?}");
        }
    }
}

fn outcome(which: u8) -> Outcome {
    use Outcome::*;
    [Done, Error, Full, Timeout, ConnectFailed, Reset, Cancelled, NotSent][usize::from(which % 8)]
}

fn rules() -> Vec<Rule> {
    let (b, c) = (District(1), District(2));
    let rate = |per_s, burst, fleet| {
        Some(Rate { per_s: Amount { value: per_s, whole_fleet: fleet }, burst: per_gatekeeper(burst) })
    };
    vec![
        Rule { rate: rate(4.0, 3.0, true), ..rule(Scope::default()) },
        Rule { rate: rate(0.5, 2.0, false), ..rule(Scope { class: Some(0), pair: None }) },
        Rule { standing: Some(per_gatekeeper(3.0)), ..rule(Scope { class: Some(1), pair: Some((OWN, c)) }) },
        Rule {
            ratio: Some(RatioLimit { max_ratio: 0.3, window_s: 20.0 }),
            rate: rate(2.0, 2.0, false),
            ..rule(Scope { class: None, pair: Some((OWN, b)) })
        },
    ]
}

proptest! {
    #[test]
    fn account_and_budgets_agree_with_a_reference_that_recounts_every_event(
        steps in prop::collection::vec((0u8..10, 0u64..POOLS, 0usize..CLASSES, 0.0..1.5f64), 1..160),
    ) {
        let mut gate = TestGate::new(rules());
        for (n, (what, pool, class, pass)) in steps.into_iter().enumerate() {
            gate.now += if what == 9 { pass * 20.0 } else { pass };
            let calls: Vec<CallId> = gate.open.keys().copied().collect();
            let some = calls.get((n * 7) % calls.len().max(1)).copied();
            match (what, some) {
                (0..=4, _) => drop(gate.offer(class, pool, true)),
                (5 | 6, Some(call)) => gate.establish(call),
                (7 | 8, Some(call)) => gate.end(call, outcome((n % 251) as u8)),
                _ => {}
            }
            gate.check();
        }
    }

    /// Rules change while calls are in flight: open calls stay counted, and tokens, debt and overdrafts stay
    /// within their bounds. A change lets no more through than both sets of rules would.
    #[test]
    fn account_and_budgets_stay_consistent_when_rules_change_under_load(
        steps in prop::collection::vec((0u8..10, 0u64..POOLS, 0usize..CLASSES, 0.0..0.8f64), 1..120),
    ) {
        let mut gate = TestGate::new(rules());
        for (n, (what, pool, class, pass)) in steps.into_iter().enumerate() {
            gate.now += pass;
            let calls: Vec<CallId> = gate.open.keys().copied().collect();
            let some = calls.get((n * 5) % calls.len().max(1)).copied();
            match (what, some) {
                (0..=3, _) => drop(gate.offer(class, pool, true)),
                (4, Some(call)) => gate.establish(call),
                (5 | 6, Some(call)) => gate.end(call, outcome((n % 251) as u8)),
                (7, _) => {
                    let mut changed = rules();
                    changed.remove(n % 4);
                    changed.iter_mut().for_each(|r| r.floor = pass);
                    if let Some(standing) = &mut changed[n % 3].standing {
                        standing.value = 1.0;
                    }
                    gate.crossing.update_settings(settings(changed), gate.now);
                }
                (8, _) => gate.crossing.update_settings(settings(rules()), gate.now),
                _ => {}
            }
            prop_assert!(gate.crossing.account().balances());
            for budget in gate.crossing.budgets().iter_mut() {
                let rule = *budget.rule();
                let (within, overdrew) = gate.reference.districts(&rule.scope);
                let left = budget.remaining(gate.now);
                if left.standing.is_some() {
                    prop_assert_eq!(left.standing, Some(within + overdrew));
                }
                if let (Some(tokens), Some(burst)) = (left.tokens, left.burst) {
                    prop_assert!((-burst..=burst).contains(&tokens));
                }
                prop_assert!(left.overdrawn <= left.overdraft.max(f64::from(overdrew)) + 1e-6);
            }
        }
        for call in gate.open.keys().copied().collect::<Vec<_>>() {
            gate.end(call, Outcome::Reset);
        }
        prop_assert_eq!(gate.crossing.open_calls(), 0);
    }
}

fn all(rate: f64, burst: f64) -> Rule {
    Rule {
        rate: Some(Rate { per_s: per_gatekeeper(rate), burst: per_gatekeeper(burst) }),
        ..rule(Scope::default())
    }
}

fn count_sent(gate: &mut TestGate, class: usize, pool: u64, tries: usize) -> usize {
    (0..tries).filter(|_| gate.offer(class, pool, true)).count()
}

/// Guards against gatekeepers that restart one after the other and spend a whole burst each time.
#[test]
fn new_budget_starts_with_an_empty_burst_and_fills_it_at_the_rate() {
    let mut gate = TestGate::new(vec![all(2.0, 5.0)]);
    assert_eq!(count_sent(&mut gate, 0, 1, 3), 0);
    gate.now += 1.0;
    assert_eq!(count_sent(&mut gate, 0, 1, 9), 2);
    gate.now += 60.0;
    assert_eq!(count_sent(&mut gate, 0, 1, 9), 5);
    assert_eq!(count_sent(&mut gate, 0, 0, 9), 9, "set-ups in the own district are not limited");
    assert_eq!(count_sent(&mut gate, 0, 3, 9), 9, "servers of unknown districts are not limited");
}

/// Guards against budgets that are used up by set-ups that never ran, and against set-ups that may have run
/// without a debit.
#[test]
fn budget_refunds_a_set_up_that_never_ran_and_keeps_the_debit_of_one_that_may_have_run() {
    for (which, back) in [(2, true), (4, true), (7, true), (1, false), (3, false), (5, false), (6, false)] {
        let mut gate = TestGate::new(vec![all(1.0, 1.0)]);
        gate.now = 1.0;
        assert!(gate.offer(0, 1, false));
        let call = gate.next;
        assert!(!gate.offer(0, 1, false));
        gate.end(call, outcome(which));
        assert_eq!(gate.offer(0, 1, false), back, "{:?}", outcome(which));
    }
    // A call that was established has run, whatever outcome is reported.
    let mut gate = TestGate::new(vec![all(1.0, 1.0)]);
    gate.now = 1.0;
    assert!(gate.offer(0, 1, false));
    let call = gate.next;
    gate.establish(call);
    gate.end(call, Outcome::Full);
    assert!(!gate.offer(0, 1, false));
}

/// The narrowest rule decides; the wider one is debited, and so has less for the rest.
#[test]
fn narrowest_rule_decides_and_the_wider_rule_is_debited_too() {
    let scope = Scope { class: Some(1), pair: None };
    let narrow = Rule { scope, overdraft: per_gatekeeper(0.0), ..all(4.0, 4.0) };
    let mut gate = TestGate::new(vec![all(1.0, 2.0), narrow]);
    gate.now = 2.0;
    assert_eq!(
        count_sent(&mut gate, 1, 1, 9),
        4,
        "the rule of the class permits four, the wider rule has two"
    );
    assert_eq!(count_sent(&mut gate, 0, 1, 9), 0, "nothing is left for the other class");
    let left = |gate: &mut TestGate| {
        let all = gate.crossing.budgets().iter_mut().last().unwrap();
        all.remaining(gate.now).tokens.unwrap()
    };
    assert_eq!(left(&mut gate), -2.0, "the wider rule falls no lower than minus its burst");
    gate.now += 1.0;
    assert_eq!(count_sent(&mut gate, 1, 1, 9), 4);
    assert_eq!(left(&mut gate), -2.0);
}

/// Guards against an overdraft without a limit, one that is never paid back, and one whose repayment starves
/// the classes that share the budget.
#[test]
fn overdraft_is_bounded_and_is_paid_back_while_other_classes_keep_the_floor() {
    let mut rule = all(4.0, 4.0);
    (rule.overdraft, rule.floor) = (per_gatekeeper(6.0), 0.25);
    let mut gate = TestGate::new(vec![rule]);
    gate.now = 1.0;
    assert_eq!(count_sent(&mut gate, 0, 1, 9), 4, "ordinary calls stop where the budget does");
    assert_eq!(count_sent(&mut gate, 1, 1, 20), 6, "urgent calls stop where the overdraft does");
    // For 2 s three quarters of the income pay the debt, and one quarter is for ordinary calls.
    let mut through = 0;
    for _ in 0..20 {
        gate.now += 0.1;
        through += count_sent(&mut gate, 0, 1, 9);
    }
    assert_eq!(through, 2);
    for _ in 0..20 {
        gate.now += 0.1;
        through += count_sent(&mut gate, 0, 1, 9);
    }
    assert!((9..=10).contains(&through), "{through}: once paid back, the full rate is available again");
}

/// Guards against an overdraft that standing calls keep in use after it is paid back, and against tokens for
/// set-ups that were sent before there was a rate.
#[test]
fn overdraft_is_available_again_once_paid_back_and_a_new_limit_refunds_no_earlier_set_up() {
    let mut rule = all(4.0, 4.0);
    rule.overdraft = per_gatekeeper(2.0);
    let mut gate = TestGate::new(vec![rule]);
    gate.now = 1.0;
    assert_eq!(count_sent(&mut gate, 1, 1, 20), 6);
    gate.now += 60.0;
    assert_eq!(
        count_sent(&mut gate, 1, 1, 20),
        6,
        "the whole overdraft again, though the first calls still stand"
    );
    let districts = Rule { standing: Some(per_gatekeeper(100.0)), rate: None, ..rule };
    gate.crossing.update_settings(settings(vec![districts]), gate.now);
    assert!(gate.offer(0, 1, false));
    let call = gate.next;
    gate.crossing.update_settings(settings(vec![rule]), gate.now);
    gate.end(call, Outcome::Full);
    assert!(!gate.offer(0, 1, false), "a set-up that was not debited is not refunded");
    gate.now += 0.25;
    assert!(gate.offer(0, 1, false));
}

/// An ordinary class does not overdraw, nor an urgent one that has the own district open.
#[test]
fn only_urgent_classes_overdraw_and_only_as_a_last_resort() {
    let mut gate = TestGate::new(vec![all(0.001, 1.0)]);
    assert!(!gate.offer(0, 1, true));
    assert!(!gate.offer(1, 1, false));
    assert!(gate.offer(1, 1, true));
    let overdrew: u64 = gate.crossing.account().cells().map(|c| c.2.total().overdrew).sum();
    assert_eq!(overdrew, 1);
}

/// A ratio is of the set-ups of the scope over the window; a figure for the fleet is divided.
#[test]
fn ratio_and_standing_limits_hold_and_fleet_figures_are_divided() {
    let share = Rule { ratio: Some(RatioLimit { max_ratio: 0.2, window_s: 20.0 }), ..rule(Scope::default()) };
    let mut gate = TestGate::new(vec![share]);
    for _ in 0..50 {
        gate.now += 0.2;
        gate.offer(0, 0, false);
        gate.offer(0, 1, false);
    }
    let (mut crossed, mut sent) = (0, 0);
    for (_, to, cell) in gate.crossing.account().cells() {
        sent += cell.total().sent;
        crossed += if to == OWN { 0 } else { cell.total().sent };
    }
    assert!(crossed * 5 <= sent && crossed * 5 + 5 > sent, "{crossed} of {sent}");
    let districts =
        Rule { standing: Some(Amount { value: 8.0, whole_fleet: true }), ..rule(Scope::default()) };
    let mut gate = TestGate::new(vec![districts]);
    assert_eq!(count_sent(&mut gate, 0, 1, 9), 2, "a quarter of the eight of the fleet");
    let call = gate.next - 8;
    gate.establish(call);
    assert!(!gate.offer(0, 1, false), "a standing call counts against the limit");
    gate.end(call, Outcome::Done);
    assert!(gate.offer(0, 1, false));
}

/// Guards against calls that are counted in the district to which their server moved later, and against a
/// set-up that is counted twice.
#[test]
fn account_stays_correct_when_a_server_changes_district() {
    let mut gate = TestGate::new(vec![all(1.0, 2.0)]);
    gate.now = 2.0;
    assert!(gate.offer(0, 1, false));
    let call = gate.next;
    let moved = vec![entry(1, Some(0))];
    gate.crossing.on_event(gate.now, &Event::List { kind: ListKind::Changes, entries: moved });
    gate.establish(call);
    gate.districts.insert(1, OWN);
    assert_eq!(count_sent(&mut gate, 0, 1, 5), 5, "its server is in the own district now");
    gate.check();
    gate.end(call, Outcome::Reset);
    gate.check();
    // In a full list without zones nothing crosses any more.
    let entries = (0..POOLS).map(|p| entry(p, None)).collect();
    gate.crossing.on_event(gate.now, &Event::List { kind: ListKind::Full, entries });
    gate.districts.values_mut().for_each(|to| *to = District::UNKNOWN);
    assert_eq!(count_sent(&mut gate, 0, 2, 5), 5);
    gate.check();
}

#[test]
fn report_sums_its_cells_and_shows_the_delay_added_by_crossing() {
    let mut gate = TestGate::new(vec![all(5.0, 5.0)]);
    gate.now = 1.0;
    for (pool, delay_s) in [(0, 0.1), (0, 0.3), (1, 0.5)] {
        assert!(gate.offer(0, pool, false));
        gate.now += delay_s;
        let call = gate.next;
        gate.establish(call);
    }
    let report = gate.crossing.report(gate.now, Span::Total);
    let row = |class: &str, to: &str| report.rows.iter().find(|r| r.class == class && r.to == to).unwrap();
    let crossed = row("meter-read", "medical-center");
    assert!((crossed.extra_delay_s.unwrap() - 0.3).abs() < 1e-9);
    assert!((row("all", "abroad").total_extra_delay_s.unwrap() - 0.3).abs() < 1e-9);
    assert_eq!((row("all", "all").counts.established, row("all", "all").standing), (3, 3));
    assert_eq!((report.budgets[0].scope.as_str(), report.own.as_str()), ("all", "downtown"));
    let json = serde_json::to_value(&report).unwrap();
    assert_eq!(json["rows"][0]["sent"], 2);
}
