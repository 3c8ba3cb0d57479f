//! What operators see: plain rows, to be printed as a table or as JSON.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::account::{Counts, Span};
use crate::budget::{crosses, Remaining, Scope, Used};
use crate::gate::{Crossing, Settings};
use crate::District;

/// One cell of the account, or a sum of cells.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Row {
    /// The class; "all" in a sum over classes.
    pub class: String,
    /// The gatekeeper's district.
    pub from: String,
    /// The servers' district; "all" in a sum over districts, "abroad" in one over those crossed to.
    pub to: String,
    /// Whether the set-ups of the row cross.
    pub crosses: bool,
    /// What was counted.
    #[serde(flatten)]
    pub counts: Counts,
    /// Set-ups out now.
    #[serde(rename = "out")]
    pub in_flight: u64,
    /// Calls standing now.
    pub standing: u64,
    /// Mean set-up delay of those that stood, in seconds.
    #[serde(rename = "mean_delay")]
    pub mean_delay_s: Option<f64>,
    /// What that is above the mean of the same class in the own district, in seconds.
    #[serde(rename = "crossing_delay")]
    pub extra_delay_s: Option<f64>,
    /// The same, times the set-ups that stood: all that the class paid, in seconds.
    #[serde(rename = "crossing_delay_paid")]
    pub total_extra_delay_s: Option<f64>,
}

/// One budget.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct BudgetRow {
    /// What it covers, in the words of the configuration.
    pub scope: String,
    /// What is left.
    #[serde(flatten)]
    pub remaining: Remaining,
    /// What it was used for.
    #[serde(flatten)]
    pub used: Used,
}

/// One urgent class.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct OverdraftRow {
    /// The class.
    pub class: String,
    /// Whether it may overdraw now.
    #[serde(rename = "bending")]
    pub active: bool,
    /// RatioLimit of its set-ups in the window that found the own district closed.
    #[serde(rename = "pressure")]
    pub blocked_ratio: f64,
    /// Seconds since it last started or ended.
    #[serde(rename = "since")]
    pub state_age_s: f64,
    /// How often it started.
    #[serde(rename = "times")]
    pub starts: u64,
}

/// All of it, at one moment.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Report {
    /// The span of the counts: `total`, `10s`, `1min` or `10min`.
    pub span: &'static str,
    /// The own district.
    pub own: String,
    /// Seconds since the account began.
    #[serde(rename = "age")]
    pub age_s: f64,
    /// The cells, then the sums by class, by district and over all.
    pub rows: Vec<Row>,
    /// The budgets, the narrowest first.
    pub budgets: Vec<BudgetRow>,
    /// The urgent classes.
    #[serde(rename = "bending")]
    pub overdrafts: Vec<OverdraftRow>,
}

/// A scope in the words of the configuration.
pub fn scope_name(settings: &Settings, scope: &Scope) -> String {
    let mut words = Vec::new();
    if let Some((from, to)) = scope.pair {
        words.push(format!("from {} to {}", settings.district_name(from), settings.district_name(to)));
    }
    if let Some(class) = scope.class {
        words.push(format!("class {}", settings.class_name(class)));
    }
    if words.is_empty() {
        words.push("all".into());
    }
    words.join(" ")
}

fn mean(counts: &Counts) -> Option<f64> {
    (counts.established > 0).then(|| counts.delay_s / counts.established as f64)
}

impl Crossing {
    /// The report at this time.
    pub fn report(&mut self, now: f64, span: Span) -> Report {
        let cells: Vec<(usize, District, Counts, u64, u64)> = self
            .account
            .cells()
            .map(|(c, to, cell)| (c, to, cell.counts(now, span), cell.in_flight, cell.standing))
            .collect();
        let (settings, own) = (&self.settings, self.settings.own_district);
        let home = |class: usize| cells.iter().find(|c| c.0 == class && c.1 == own).and_then(|c| mean(&c.2));
        let mut rows = Vec::new();
        type Key = (u8, Option<usize>, Option<District>);
        let mut sums: BTreeMap<Key, Row> = BTreeMap::new();
        let row = |class: &str, to: &str, crosses: bool| Row {
            class: class.into(),
            from: settings.district_name(own).into(),
            to: to.into(),
            crosses,
            counts: Counts::default(),
            in_flight: 0,
            standing: 0,
            mean_delay_s: None,
            extra_delay_s: None,
            total_extra_delay_s: None,
        };
        for (class, to, counts, out, standing) in &cells {
            let crossing = crosses(own, *to);
            let above = mean(counts).zip(home(*class)).filter(|_| crossing).map(|(here, home)| here - home);
            let paid = above.map(|above| above * counts.established as f64);
            let (class_name, to_name) = (settings.class_name(*class), settings.district_name(*to));
            let add = |row: &mut Row| {
                row.counts += counts;
                row.in_flight += out;
                row.standing += standing;
                row.mean_delay_s = mean(&row.counts);
                if let Some(paid) = paid {
                    *row.total_extra_delay_s.get_or_insert(0.0) += paid;
                }
            };
            let mut cell = row(class_name, to_name, crossing);
            add(&mut cell);
            cell.extra_delay_s = above;
            rows.push(cell);
            let mut sum = |key: Key, class: &str, to: &str, crosses: bool| {
                add(sums.entry(key).or_insert_with(|| row(class, to, crosses)));
            };
            sum((0, Some(*class), None), class_name, "all", false);
            if crossing {
                sum((1, Some(*class), None), class_name, "abroad", true);
                sum((3, None, None), "all", "abroad", true);
            }
            sum((2, None, Some(*to)), "all", to_name, crossing);
            sum((4, None, None), "all", "all", false);
        }
        rows.extend(sums.into_values());
        let names = self.settings.clone();
        let budgets = (self.budgets.iter_mut())
            .map(|b| BudgetRow {
                scope: scope_name(&names, &b.rule().scope),
                remaining: b.remaining(now),
                used: b.used(),
            })
            .collect();
        let bending = (self.overdrafts.iter_mut().enumerate())
            .filter_map(|(class, b)| {
                let b = b.as_mut()?;
                let (bending, (since, times)) = (b.is_active(now), b.history());
                let (class, pressure) = (names.class_name(class).to_string(), b.blocked_ratio());
                Some(OverdraftRow {
                    class,
                    active: bending,
                    blocked_ratio: pressure,
                    state_age_s: now - since,
                    starts: times,
                })
            })
            .collect();
        let (own, age) = (names.district_name(names.own_district).to_string(), now - self.started_at);
        Report { span: span.name(), own, age_s: age, rows, budgets, overdrafts: bending }
    }
}
