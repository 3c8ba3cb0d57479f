//! Random steps of a front against a reference that keeps every event and counts anew each time.

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

fn here(value: f64) -> Amount {
    Amount { value, whole_fleet: false }
}

fn rule(scope: Scope) -> Rule {
    Rule { scope, rate: None, ratio: None, standing: None, overdraft: here(3.0), floor: 0.25 }
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
enum What {
    Sent { bent: bool },
    Stood { lag: f64, late: bool },
    Over { outcome: Outcome },
    Denied,
}

#[derive(Clone, Copy, Debug)]
struct Seen {
    at: f64,
    call: CallId,
    class: usize,
    to: District,
    what: What,
}

#[derive(Default)]
struct Reference {
    log: Vec<Seen>,
    scopes: Vec<Scope>,
}

impl Reference {
    /// Counts a cell anew, over what happened from slot `first` of so many seconds on.
    fn counts(&self, class: usize, to: District, since: impl Fn(f64) -> bool) -> Counts {
        let mut counts = Counts::default();
        let mut stood = BTreeMap::new();
        for seen in self.log.iter().filter(|s| s.class == class && s.to == to) {
            let covered = since(seen.at);
            match seen.what {
                What::Sent { bent } => {
                    stood.insert(seen.call, false);
                    counts.sent += u64::from(covered);
                    counts.overdrew += u64::from(covered && bent);
                }
                What::Stood { lag, late } => {
                    stood.insert(seen.call, true);
                    counts.established += u64::from(covered);
                    counts.late += u64::from(covered && late);
                    counts.delay_s += if covered { lag } else { 0.0 };
                }
                What::Over { outcome } => {
                    let count = match (stood.get(&seen.call), outcome) {
                        (Some(true), Outcome::Done | Outcome::Cancelled) => &mut counts.ended,
                        (Some(true), _) => &mut counts.cut,
                        (_, Outcome::Full | Outcome::NotSent) => &mut counts.refused,
                        (_, Outcome::Reset) => &mut counts.reset,
                        (_, Outcome::Timeout | Outcome::Cancelled) => &mut counts.given_up,
                        _ => &mut counts.failed,
                    };
                    *count += u64::from(covered);
                }
                What::Denied => counts.denied += u64::from(covered),
            }
        }
        counts
    }

    /// Whether a scope is the narrowest that covers a crossing: that one alone is overdrawn.
    fn decides(&self, scope: &Scope, class: usize, to: District) -> bool {
        let wide = |s: &Scope| (2 * u8::from(s.pair.is_none()) + u8::from(s.class.is_none()), *s);
        let covering = self.scopes.iter().filter(|s| s.covers(OWN, to, class));
        covering.min_by_key(|s| wide(s)) == Some(scope)
    }

    /// Calls out or standing that a scope covers: within the budget, and overdrawn.
    fn places(&self, scope: &Scope) -> (u32, u32) {
        let mut open = BTreeMap::new();
        for seen in &self.log {
            match seen.what {
                What::Sent { bent } => {
                    let bent = bent && self.decides(scope, seen.class, seen.to);
                    open.insert(seen.call, (seen.class, seen.to, bent));
                }
                What::Over { .. } => drop(open.remove(&seen.call)),
                _ => {}
            }
        }
        let crosses = |to: District| to != OWN && to != District::UNKNOWN;
        let covered = open.values().filter(|(c, to, _)| crosses(*to) && scope.covers(OWN, *to, *c));
        covered.fold((0, 0), |(plain, bent), o| match o.2 {
            true => (plain, bent + 1),
            false => (plain + 1, bent),
        })
    }

    /// A token bucket played through from the start: tokens and debt at the end.
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
        let mut stood: BTreeMap<CallId, bool> = BTreeMap::new();
        for seen in self.log.iter().filter(|s| crosses(s.to) && scope.covers(OWN, s.to, s.class)) {
            refill(&mut tokens, &mut debt, seen.at);
            match seen.what {
                What::Sent { bent } => {
                    let bent = bent && self.decides(scope, seen.class, seen.to);
                    sent.insert(seen.call, bent);
                    stood.insert(seen.call, false);
                    match bent {
                        true => debt += 1.0,
                        false => tokens = (tokens - 1.0).max(-burst),
                    }
                }
                What::Stood { .. } => drop(stood.insert(seen.call, true)),
                What::Over { outcome: Outcome::Full | Outcome::ConnectFailed | Outcome::NotSent }
                    if stood.get(&seen.call) == Some(&false) =>
                {
                    match sent.get(&seen.call) {
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

struct Bench {
    crossing: Crossing,
    reference: Reference,
    places: BTreeMap<u64, District>,
    /// Calls out or standing: class, where, first tried, sent, whether it stood.
    open: BTreeMap<CallId, (usize, District, f64, f64, bool)>,
    next: CallId,
    now: f64,
}

impl Bench {
    fn new(rules: Vec<Rule>) -> Bench {
        let scopes = rules.iter().map(|r| r.scope).collect();
        let mut crossing = Crossing::new(settings(rules), 0.0);
        let districts = [Some(0), Some(1), Some(2), None];
        let entries = (0..POOLS).map(|p| entry(p, districts[p as usize])).collect();
        crossing.on_event(0.0, &Event::List { kind: ListKind::Full, entries });
        let district = |d: Option<u16>| d.map_or(District::UNKNOWN, District);
        let places = (0..POOLS).map(|p| (p, district(districts[p as usize]))).collect();
        Bench {
            crossing,
            reference: Reference { log: Vec::new(), scopes },
            places,
            open: BTreeMap::new(),
            next: 0,
            now: 0.0,
        }
    }

    fn log(&mut self, call: CallId, class: usize, to: District, what: What) {
        self.reference.log.push(Seen { at: self.now, call, class, to, what });
    }

    fn candidate(&self, class: usize, pool: u64, last_resort: bool) -> Candidate {
        let (call, pool) = (self.next, PoolId(pool));
        Candidate { call, class, pool, attempt: 0, first_tried: self.now, last_resort }
    }

    /// A call asks to go to a pool; returns whether it went.
    fn offer(&mut self, class: usize, pool: u64, urgent_last: bool) -> bool {
        self.next += 1;
        let to = self.places[&pool];
        let first = self.candidate(class, pool, false);
        let denial = match self.crossing.may_send(self.now, &first) {
            Ok(()) => {
                self.go(first, to, false);
                return true;
            }
            Err(denial) => denial,
        };
        assert!(denial.retry_after > 0.0 && denial.retry_after.is_finite());
        let last = Candidate { last_resort: true, ..first };
        if urgent_last && self.crossing.may_send(self.now, &last).is_ok() {
            self.go(last, to, true);
            return true;
        }
        self.crossing.on_refused(self.now, &first, &denial);
        self.log(first.call, class, to, What::Denied);
        false
    }

    fn go(&mut self, candidate: Candidate, to: District, bent: bool) {
        self.crossing.on_sent(self.now, &candidate);
        self.open.insert(candidate.call, (candidate.class, to, self.now, self.now, false));
        self.log(candidate.call, candidate.class, to, What::Sent { bent });
    }

    fn stand(&mut self, call: CallId) {
        let Some(&(class, to, first, sent, false)) = self.open.get(&call) else { return };
        let lag = self.now - sent;
        self.crossing
            .on_event(self.now, &Event::Established { call, pool: PoolId(0), delay: lag, attempt: 0 });
        self.open.insert(call, (class, to, first, sent, true));
        self.log(call, class, to, What::Stood { lag, late: self.now - first > 1.5 });
    }

    fn end(&mut self, call: CallId, outcome: Outcome) {
        let Some((class, to, ..)) = self.open.remove(&call) else { return };
        let (pool, attempt, cause) = (PoolId(0), 0, Cause::Unknown);
        let (retry_after, report) = (None, Load::default());
        let end = Event::Ended { call, pool, attempt, complete: true, outcome, cause, retry_after, report };
        self.crossing.on_event(self.now, &end);
        self.log(call, class, to, What::Over { outcome });
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
            let (plain, bent) = log.places(&rule.scope);
            let left = budget.remaining(now);
            if left.standing.is_some() {
                assert_eq!(left.standing, Some(plain + bent), "{rule:?}");
            }
            if let (Some(rate), Some(burst)) = (left.per_s, left.burst) {
                let (tokens, debt) = log.bucket(&rule.scope, rate, burst, rule.floor, now);
                assert!((left.tokens.unwrap() - tokens).abs() < 1e-6, "{left:?}, reference {tokens}");
                let owed = debt.max(if rule.standing.is_some() { f64::from(bent) } else { debt });
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
        Some(Rate { per_s: Amount { value: per_s, whole_fleet: fleet }, burst: here(burst) })
    };
    vec![
        Rule { rate: rate(4.0, 3.0, true), ..rule(Scope::default()) },
        Rule { rate: rate(0.5, 2.0, false), ..rule(Scope { class: Some(0), pair: None }) },
        Rule { standing: Some(here(3.0)), ..rule(Scope { class: Some(1), pair: Some((OWN, c)) }) },
        Rule {
            ratio: Some(RatioLimit { max_ratio: 0.3, window_s: 20.0 }),
            rate: rate(2.0, 2.0, false),
            ..rule(Scope { class: None, pair: Some((OWN, b)) })
        },
    ]
}

proptest! {
    #[test]
    fn accounts_and_budgets_agree_with_a_reference_that_keeps_every_event(
        steps in prop::collection::vec((0u8..10, 0u64..POOLS, 0usize..CLASSES, 0.0..1.5f64), 1..160),
    ) {
        let mut bench = Bench::new(rules());
        for (n, (what, pool, class, pass)) in steps.into_iter().enumerate() {
            bench.now += if what == 9 { pass * 20.0 } else { pass };
            let calls: Vec<CallId> = bench.open.keys().copied().collect();
            let some = calls.get((n * 7) % calls.len().max(1)).copied();
            match (what, some) {
                (0..=4, _) => drop(bench.offer(class, pool, true)),
                (5 | 6, Some(call)) => bench.stand(call),
                (7 | 8, Some(call)) => bench.end(call, outcome((n % 251) as u8)),
                _ => {}
            }
            bench.check();
        }
    }

    /// Rules that change while calls are out: what is open stays counted, nothing is owed beyond bounds, and
    /// no change lets more through than both sets of rules would have.
    #[test]
    fn a_change_of_rules_keeps_account_and_debts(
        steps in prop::collection::vec((0u8..10, 0u64..POOLS, 0usize..CLASSES, 0.0..0.8f64), 1..120),
    ) {
        let mut bench = Bench::new(rules());
        for (n, (what, pool, class, pass)) in steps.into_iter().enumerate() {
            bench.now += pass;
            let calls: Vec<CallId> = bench.open.keys().copied().collect();
            let some = calls.get((n * 5) % calls.len().max(1)).copied();
            match (what, some) {
                (0..=3, _) => drop(bench.offer(class, pool, true)),
                (4, Some(call)) => bench.stand(call),
                (5 | 6, Some(call)) => bench.end(call, outcome((n % 251) as u8)),
                (7, _) => {
                    let mut changed = rules();
                    changed.remove(n % 4);
                    changed.iter_mut().for_each(|r| r.floor = pass);
                    if let Some(standing) = &mut changed[n % 3].standing {
                        standing.value = 1.0;
                    }
                    bench.crossing.update_settings(settings(changed), bench.now);
                }
                (8, _) => bench.crossing.update_settings(settings(rules()), bench.now),
                _ => {}
            }
            prop_assert!(bench.crossing.account().balances());
            for budget in bench.crossing.budgets().iter_mut() {
                let rule = *budget.rule();
                let (plain, bent) = bench.reference.places(&rule.scope);
                let left = budget.remaining(bench.now);
                if left.standing.is_some() {
                    prop_assert_eq!(left.standing, Some(plain + bent));
                }
                if let (Some(tokens), Some(burst)) = (left.tokens, left.burst) {
                    prop_assert!((-burst..=burst).contains(&tokens));
                }
                prop_assert!(left.overdrawn <= left.overdraft.max(f64::from(bent)) + 1e-6);
            }
        }
        for call in bench.open.keys().copied().collect::<Vec<_>>() {
            bench.end(call, Outcome::Reset);
        }
        prop_assert_eq!(bench.crossing.open_calls(), 0);
    }
}

fn all(rate: f64, burst: f64) -> Rule {
    Rule { rate: Some(Rate { per_s: here(rate), burst: here(burst) }), ..rule(Scope::default()) }
}

fn went(bench: &mut Bench, class: usize, pool: u64, tries: usize) -> usize {
    (0..tries).filter(|_| bench.offer(class, pool, true)).count()
}

/// Guards against a restart that spends a whole burst again, front after front.
#[test]
fn a_restart_starts_with_an_empty_burst_and_fills_it_at_the_rate() {
    let mut bench = Bench::new(vec![all(2.0, 5.0)]);
    assert_eq!(went(&mut bench, 0, 1, 3), 0);
    bench.now += 1.0;
    assert_eq!(went(&mut bench, 0, 1, 9), 2);
    bench.now += 60.0;
    assert_eq!(went(&mut bench, 0, 1, 9), 5);
    assert_eq!(went(&mut bench, 0, 0, 9), 9, "the own district is free");
    assert_eq!(went(&mut bench, 0, 3, 9), 9, "what is not known turns nothing away");
}

/// Guards against budgets eaten by set-ups that never ran, and against set-ups that may have run for free.
#[test]
fn what_never_ran_is_handed_back_and_what_may_have_run_is_kept() {
    for (which, back) in [(2, true), (4, true), (7, true), (1, false), (3, false), (5, false), (6, false)] {
        let mut bench = Bench::new(vec![all(1.0, 1.0)]);
        bench.now = 1.0;
        assert!(bench.offer(0, 1, false));
        let call = bench.next;
        assert!(!bench.offer(0, 1, false));
        bench.end(call, outcome(which));
        assert_eq!(bench.offer(0, 1, false), back, "{:?}", outcome(which));
    }
    // One that stood has run, however its end is told.
    let mut bench = Bench::new(vec![all(1.0, 1.0)]);
    bench.now = 1.0;
    assert!(bench.offer(0, 1, false));
    let call = bench.next;
    bench.stand(call);
    bench.end(call, Outcome::Full);
    assert!(!bench.offer(0, 1, false));
}

/// The narrowest rule decides; the wider one is debited, and so has less for the rest.
#[test]
fn the_narrowest_rule_wins_and_the_wider_one_pays_too() {
    let scope = Scope { class: Some(1), pair: None };
    let narrow = Rule { scope, overdraft: here(0.0), ..all(4.0, 4.0) };
    let mut bench = Bench::new(vec![all(1.0, 2.0), narrow]);
    bench.now = 2.0;
    assert_eq!(went(&mut bench, 1, 1, 9), 4, "the class's own rule lets four through, all has two");
    assert_eq!(went(&mut bench, 0, 1, 9), 0, "nothing is left for the rest");
    let left = |bench: &mut Bench| {
        let all = bench.crossing.budgets().iter_mut().last().unwrap();
        all.remaining(bench.now).tokens.unwrap()
    };
    assert_eq!(left(&mut bench), -2.0, "and it owes no more than its burst");
    bench.now += 1.0;
    assert_eq!(went(&mut bench, 1, 1, 9), 4);
    assert_eq!(left(&mut bench), -2.0);
}

/// Guards against an overdraft without end, one that is never paid back, and one whose payment starves the
/// classes that share the budget.
#[test]
fn bending_is_bounded_and_paid_back_never_below_the_floor() {
    let mut rule = all(4.0, 4.0);
    (rule.overdraft, rule.floor) = (here(6.0), 0.25);
    let mut bench = Bench::new(vec![rule]);
    bench.now = 1.0;
    assert_eq!(went(&mut bench, 0, 1, 9), 4, "ordinary calls stop where the budget does");
    assert_eq!(went(&mut bench, 1, 1, 20), 6, "urgent ones where the overdraft does");
    // For 2 s three quarters of what comes in pay the debt, one quarter is for ordinary calls.
    let mut through = 0;
    for _ in 0..20 {
        bench.now += 0.1;
        through += went(&mut bench, 0, 1, 9);
    }
    assert_eq!(through, 2);
    for _ in 0..20 {
        bench.now += 0.1;
        through += went(&mut bench, 0, 1, 9);
    }
    assert!((9..=10).contains(&through), "{through}: paid back, the rate is whole again");
}

/// Guards against an overdraft of a rate that calls which stand keep in use after it is paid back, and against
/// tokens for set-ups that were sent before there was a rate.
#[test]
fn what_is_paid_back_may_be_overdrawn_again_and_a_new_limit_owes_nothing_for_old_set_ups() {
    let mut rule = all(4.0, 4.0);
    rule.overdraft = here(2.0);
    let mut bench = Bench::new(vec![rule]);
    bench.now = 1.0;
    assert_eq!(went(&mut bench, 1, 1, 20), 6);
    bench.now += 60.0;
    assert_eq!(went(&mut bench, 1, 1, 20), 6, "all of it again, though the first still stand");
    let places = Rule { standing: Some(here(100.0)), rate: None, ..rule };
    bench.crossing.update_settings(settings(vec![places]), bench.now);
    assert!(bench.offer(0, 1, false));
    let call = bench.next;
    bench.crossing.update_settings(settings(vec![rule]), bench.now);
    bench.end(call, Outcome::Full);
    assert!(!bench.offer(0, 1, false), "it never paid for what it is handed back");
    bench.now += 0.25;
    assert!(bench.offer(0, 1, false));
}

/// An ordinary class does not bend, nor an urgent one that has the own district open.
#[test]
fn only_urgent_classes_bend_and_only_as_a_last_resort() {
    let mut bench = Bench::new(vec![all(0.001, 1.0)]);
    assert!(!bench.offer(0, 1, true));
    assert!(!bench.offer(1, 1, false));
    assert!(bench.offer(1, 1, true));
    let bent: u64 = bench.crossing.account().cells().map(|c| c.2.total().overdrew).sum();
    assert_eq!(bent, 1);
}

/// A share is of the scope's own set-ups, over the window; a fleet's figure is divided.
#[test]
fn shares_and_places_and_fleet_figures_hold() {
    let share = Rule { ratio: Some(RatioLimit { max_ratio: 0.2, window_s: 20.0 }), ..rule(Scope::default()) };
    let mut bench = Bench::new(vec![share]);
    for _ in 0..50 {
        bench.now += 0.2;
        bench.offer(0, 0, false);
        bench.offer(0, 1, false);
    }
    let (mut abroad, mut sent) = (0, 0);
    for (_, to, cell) in bench.crossing.account().cells() {
        sent += cell.total().sent;
        abroad += if to == OWN { 0 } else { cell.total().sent };
    }
    assert!(abroad * 5 <= sent && abroad * 5 + 5 > sent, "{abroad} of {sent}");
    let places = Rule { standing: Some(Amount { value: 8.0, whole_fleet: true }), ..rule(Scope::default()) };
    let mut bench = Bench::new(vec![places]);
    assert_eq!(went(&mut bench, 0, 1, 9), 2, "a quarter of eight");
    let call = bench.next - 8;
    bench.stand(call);
    assert!(!bench.offer(0, 1, false), "one that stands keeps its place");
    bench.end(call, Outcome::Done);
    assert!(bench.offer(0, 1, false));
}

/// Guards against calls counted where their server has moved to since, and against one out twice.
#[test]
fn a_server_that_changes_district_leaves_the_account_right() {
    let mut bench = Bench::new(vec![all(1.0, 2.0)]);
    bench.now = 2.0;
    assert!(bench.offer(0, 1, false));
    let call = bench.next;
    let moved = vec![entry(1, Some(0))];
    bench.crossing.on_event(bench.now, &Event::List { kind: ListKind::Changes, entries: moved });
    bench.stand(call);
    bench.places.insert(1, OWN);
    assert_eq!(went(&mut bench, 0, 1, 5), 5, "it is at home now");
    bench.check();
    bench.end(call, Outcome::Reset);
    bench.check();
    // A whole list without zones: nothing crosses any more.
    let entries = (0..POOLS).map(|p| entry(p, None)).collect();
    bench.crossing.on_event(bench.now, &Event::List { kind: ListKind::Full, entries });
    bench.places.values_mut().for_each(|to| *to = District::UNKNOWN);
    assert_eq!(went(&mut bench, 0, 2, 5), 5);
    bench.check();
}

#[test]
fn a_report_sums_its_cells_and_tells_what_crossing_costs() {
    let mut bench = Bench::new(vec![all(5.0, 5.0)]);
    bench.now = 1.0;
    for (pool, lag) in [(0, 0.1), (0, 0.3), (1, 0.5)] {
        assert!(bench.offer(0, pool, false));
        bench.now += lag;
        let call = bench.next;
        bench.stand(call);
    }
    let report = bench.crossing.report(bench.now, Span::Total);
    let row = |class: &str, to: &str| report.rows.iter().find(|r| r.class == class && r.to == to).unwrap();
    let abroad = row("meter-read", "medical-center");
    assert!((abroad.extra_delay_s.unwrap() - 0.3).abs() < 1e-9);
    assert!((row("all", "abroad").total_extra_delay_s.unwrap() - 0.3).abs() < 1e-9);
    assert_eq!((row("all", "all").counts.established, row("all", "all").standing), (3, 3));
    assert_eq!((report.budgets[0].scope.as_str(), report.own.as_str()), ("all", "downtown"));
    let json = serde_json::to_value(&report).unwrap();
    assert_eq!(json["rows"][0]["sent"], 2);
}
