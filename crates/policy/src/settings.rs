//! Reads the settings of a deployment from JSON, for the gatekeeper and for the simulator's adapter.

use crate::interface::{ClassSettings, GoalWeights, Report, Settings, TenantSettings};
use serde::Deserialize;

/// The settings as they are written in JSON. Keys that are not listed here are ignored.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Profile {
    /// Number of gatekeepers that share the pools.
    peers_total: u32,
    /// Minimum number of seconds between two batches of events.
    period: f64,
    /// The classes of calls, in the order of their indices.
    request_classes: Vec<Class>,
    /// The tenants, in the order of their indices.
    #[serde(default)]
    tenants: Vec<Tenant>,
    /// Fraction of its usual worth, 0 to 1, that a call beyond its tenant's quota has; 1 if it is missing.
    over_share_worth: Option<f64>,
    /// Weights of the service score.
    #[serde(default)]
    goal: Goal,
    /// Settings of calls and of the pools that classes may use.
    family_info: FamilyInfo,
    /// Limits on attempts, cancelling and retry-after times.
    limits: Limits,
    /// Settings of pools that are warming up.
    safety: Safety,
    /// The layout of load reports.
    #[serde(default)]
    telemetry: TelemetryInfo,
    /// How the list of pools arrives: `ask` if it has to be subscribed to, anything else if it is sent unasked.
    #[serde(default)]
    discovery: String,
}

/// A class of calls; see [`ClassSettings`] for the fields of the same names.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Class {
    /// Goal time in seconds.
    goal_time: f64,
    /// How many seconds a caller keeps trying.
    hard_limit: f64,
    /// Worth of a call that is established within the goal time.
    value: f64,
    /// Fraction of the worth, 0 to 1, that is earned after the goal time.
    #[serde(default)]
    late_worth: f64,
    /// Kind of effect that an attempt has; only `read_like` allows it to be repeated.
    #[serde(default)]
    effect: String,
}

/// A tenant.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Tenant {
    /// Calls per second, summed over all gatekeepers, up to which the tenant is within its quota.
    quota_per_s: f64,
}

/// Weights of the service score; see [`GoalWeights`].
#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
struct Goal {
    /// Weight of the mean over the whole run.
    whole: f64,
    /// Weight of the time window with the worst service.
    worst_window: f64,
    /// Weight of the class with the worst service.
    worst_class: f64,
    /// Weight of the tenant with the worst service.
    worst_tenant: f64,
}

/// Settings of calls and of the pools that classes may use.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct FamilyInfo {
    /// Seconds after which a waiting set-up is sent again; 0 means never.
    #[serde(default)]
    retransmit: f64,
    /// Release time in seconds.
    release: f64,
    /// Mean duration of an established call in seconds, by class; empty if unknown.
    #[serde(default)]
    holding: Vec<f64>,
    /// Numbers of the pools that calls may be sent to, by class; an empty list means any pool.
    #[serde(default)]
    pools_by_class: Vec<Vec<u32>>,
}

/// Limits on attempts, cancelling and retry-after times.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Limits {
    /// Maximum number of attempts for one call.
    try_limit: u32,
    /// Whether an attempt may be cancelled.
    #[serde(default)]
    may_cancel: bool,
    /// Whether callers honour a retry-after time.
    #[serde(default)]
    retry_after: bool,
    /// Longest retry-after time in seconds that they honour.
    #[serde(default)]
    max_retry_after: f64,
}

/// Settings of pools that are warming up.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Safety {
    /// Seconds in which a restarted pool reaches its full capacity.
    cold: f64,
    /// Fraction of its full capacity, 0 to 1, that a pool has right after a restart.
    cold_from: f64,
    /// Multiple (1 or more) of its present capacity with which a cold pool may be loaded.
    overload_factor: f64,
}

/// The layout of load reports.
#[derive(Deserialize, Default)]
#[serde(default)]
struct TelemetryInfo {
    /// Names of a report's values, in their order; empty if pools send no reports.
    names: Vec<String>,
}

/// The layout of load reports: which values they contain, in which order.
pub struct Telemetry {
    /// Names of a report's values, in their order.
    names: Vec<String>,
}

impl Telemetry {
    /// Whether the settings name any value, so that load reports are to be expected.
    pub fn has_fields(&self) -> bool {
        !self.names.is_empty()
    }

    /// Reads a report that is a list of values in the order of the names. Surplus values or names are ignored.
    pub fn decode(&self, values: &[f32]) -> Report {
        let mut report = Report::default();
        for (name, value) in self.names.iter().zip(values) {
            set_field(&mut report, name, f64::from(*value));
        }
        report
    }

    /// Reads a report in text form, as `free:12;size:40`. Such a report names its own fields, so it may contain known
    /// ones that the settings do not name. Unknown or malformed fields are ignored.
    pub fn decode_text(&self, text: &str) -> Report {
        let mut report = Report::default();
        for (name, value) in text.split(';').filter_map(|field| field.split_once(':')) {
            if let Ok(value) = value.trim().parse() {
                set_field(&mut report, name.trim(), value);
            }
        }
        report
    }
}

/// Stores one value of a report. Most fields have two names. A negative value means that it was not reported.
fn set_field(report: &mut Report, name: &str, value: f64) {
    if !value.is_finite() || value < 0.0 {
        return;
    }
    match name {
        "free" | "x0" => report.free_lines = Some(value),
        "size" | "x1" => report.total_lines = Some(value),
        "latency_ms" => report.wait = Some(value / 1000.0),
        "util" => report.utilization = Some(value),
        "can_take" | "qps" => report.max_set_up_rate = Some(value),
        "hold_back" | "eps" => report.hold_back_ratio = Some(value),
        _ => {}
    }
}

/// Parses the JSON text of the settings.
pub fn parse(text: &[u8]) -> Result<(Settings, Telemetry), serde_json::Error> {
    let profile: Profile = serde_json::from_slice(text)?;
    let pools = profile.family_info.pools_by_class;
    let classes = profile.request_classes.iter().enumerate().map(|(i, class)| ClassSettings {
        goal_time: class.goal_time,
        hard_limit: class.hard_limit,
        value: class.value,
        late_worth: class.late_worth,
        pools: pools.get(i).cloned().unwrap_or_default(),
        // Only this effect may be repeated. Classes with a key may not, neither within nor outside its window and group.
        repeatable: class.effect == "read_like",
    });
    let limits = profile.limits;
    let settings = Settings {
        gatekeepers: profile.peers_total,
        min_batch_interval: profile.period,
        classes: classes.collect(),
        tenants: profile.tenants.iter().map(|t| TenantSettings { quota_per_s: t.quota_per_s }).collect(),
        over_share_worth: profile.over_share_worth.unwrap_or(1.0),
        goal: GoalWeights {
            whole: profile.goal.whole,
            worst_window: profile.goal.worst_window,
            worst_class: profile.goal.worst_class,
            worst_tenant: profile.goal.worst_tenant,
        },
        mean_holding_time: mean(&profile.family_info.holding),
        retransmit_time: profile.family_info.retransmit,
        release_time: profile.family_info.release,
        try_limit: limits.try_limit,
        may_cancel: limits.may_cancel,
        max_retry_after: limits.retry_after.then_some(limits.max_retry_after),
        warm_up_time: profile.safety.cold,
        initial_capacity_ratio: profile.safety.cold_from,
        overload_factor: profile.safety.overload_factor,
        must_subscribe: profile.discovery == "ask",
    };
    Ok((settings, Telemetry { names: profile.telemetry.names }))
}

/// Mean of the values, or `None` if there are none or the mean is not a positive number.
fn mean(values: &[f64]) -> Option<f64> {
    let mean = values.iter().sum::<f64>() / values.len() as f64;
    (mean > 0.0 && mean.is_finite()).then_some(mean)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_text_report_sets_the_fields_that_it_names_and_no_others() {
        let telemetry = Telemetry { names: Vec::new() };
        let report =
            telemetry.decode_text("x0:12;x1: 40;eps:0.25;queue:3;latency_ms:-1;util:nan;can_take:x;;qps");
        let expected = Report {
            free_lines: Some(12.0),
            total_lines: Some(40.0),
            hold_back_ratio: Some(0.25),
            ..Report::default()
        };
        assert_eq!(report, expected);
        assert_eq!(telemetry.decode_text("free:1;size:2;hold_back:-1"), {
            Report { free_lines: Some(1.0), total_lines: Some(2.0), ..Report::default() }
        });
    }
}
