//! Reads the settings that an instance is given at its start, for the adapter and the gatekeeper alike.

use crate::interface::{ClassSettings, GoalWeights, Report, Settings, TenantSettings};
use serde::Deserialize;

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Profile {
    peers_total: u32,
    period: f64,
    request_classes: Vec<Class>,
    #[serde(default)]
    tenants: Vec<Tenant>,
    over_share_worth: Option<f64>,
    #[serde(default)]
    goal: Goal,
    family_info: FamilyInfo,
    limits: Limits,
    safety: Safety,
    #[serde(default)]
    telemetry: TelemetryInfo,
    #[serde(default)]
    discovery: String,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Class {
    goal_time: f64,
    hard_limit: f64,
    value: f64,
    #[serde(default)]
    late_worth: f64,
    #[serde(default)]
    effect: String,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Tenant {
    quota_per_s: f64,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
struct Goal {
    whole: f64,
    worst_window: f64,
    worst_class: f64,
    worst_tenant: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct FamilyInfo {
    #[serde(default)]
    retransmit: f64,
    release: f64,
    #[serde(default)]
    holding: Vec<f64>,
    #[serde(default)]
    pools_by_class: Vec<Vec<u32>>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Limits {
    try_limit: u32,
    #[serde(default)]
    may_cancel: bool,
    #[serde(default)]
    retry_after: bool,
    #[serde(default)]
    max_retry_after: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Safety {
    cold: f64,
    cold_from: f64,
    overload_factor: f64,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct TelemetryInfo {
    names: Vec<String>,
}

/// The order of the values in a load report.
pub struct Telemetry {
    names: Vec<String>,
}

impl Telemetry {
    /// Whether servers tell anything of themselves.
    pub fn has_fields(&self) -> bool {
        !self.names.is_empty()
    }

    /// Names the values of one report; values beyond the names and names beyond the values are left out.
    pub fn decode(&self, values: &[f32]) -> Report {
        let mut report = Report::default();
        for (name, value) in self.names.iter().zip(values) {
            tell(&mut report, name, f64::from(*value));
        }
        report
    }

    /// Reads a report as text, `free:12;size:40`. Fields that the settings do not name count as well
    /// where they are known: a report says itself what its fields are.
    pub fn decode_text(&self, text: &str) -> Report {
        let mut report = Report::default();
        for (name, value) in text.split(';').filter_map(|field| field.split_once(':')) {
            if let Ok(value) = value.trim().parse() {
                tell(&mut report, name.trim(), value);
            }
        }
        report
    }
}

/// Enters one value of a report under either of its names; below 0 it was not told.
fn tell(report: &mut Report, name: &str, value: f64) {
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

/// Reads the settings' JSON text.
pub fn parse(text: &[u8]) -> Result<(Settings, Telemetry), serde_json::Error> {
    let profile: Profile = serde_json::from_slice(text)?;
    let pools = profile.family_info.pools_by_class;
    let classes = profile.request_classes.iter().enumerate().map(|(i, class)| ClassSettings {
        goal_time: class.goal_time,
        hard_limit: class.hard_limit,
        value: class.value,
        late_worth: class.late_worth,
        pools: pools.get(i).cloned().unwrap_or_default(),
        // What does not say so may not be repeated; nor is a class with a key, within its window and group or not.
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

fn mean(values: &[f64]) -> Option<f64> {
    let mean = values.iter().sum::<f64>() / values.len() as f64;
    (mean > 0.0 && mean.is_finite()).then_some(mean)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_report_as_text_tells_what_it_names_and_nothing_else() {
        let telemetry = Telemetry { names: Vec::new() };
        let report =
            telemetry.decode_text("x0:12;x1: 40;eps:0.25;queue:3;latency_ms:-1;util:nan;can_take:x;;qps");
        let told = Report {
            free_lines: Some(12.0),
            total_lines: Some(40.0),
            hold_back_ratio: Some(0.25),
            ..Report::default()
        };
        assert_eq!(report, told);
        assert_eq!(telemetry.decode_text("free:1;size:2;hold_back:-1"), {
            Report { free_lines: Some(1.0), total_lines: Some(2.0), ..Report::default() }
        });
    }
}
