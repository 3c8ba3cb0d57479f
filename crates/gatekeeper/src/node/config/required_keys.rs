//! The keys that the platform's file must have. A file that lacks one is incomplete, and nothing of it may be used: a default in
//! its place would be a guess, and at a reload the rest of the file would be applied with it.

use serde_json::Value;

/// Keys that are always required. `[]` stands for each element of a list.
const REQUIRED: &[&str] = &[
    "name",
    "listen",
    "seed",
    "dns",
    "limits.cores",
    "limits.memory_mb",
    "limits.sockets",
    "known.pos",
    "known.entries",
    "settings.discovery",
    "settings.familyInfo.holding",
    "settings.familyInfo.release",
    "settings.familyInfo.retransmit",
    "settings.familyInfo.topology",
    "settings.familyInfo.widths",
    "settings.goal.whole",
    "settings.goal.worstClass",
    "settings.goal.worstTenant",
    "settings.goal.worstWindow",
    "settings.limits.connectTimeout",
    "settings.limits.maxRetryAfter",
    "settings.limits.mayCancel",
    "settings.limits.retryAfter",
    "settings.limits.tryLimit",
    "settings.peersTotal",
    "settings.period",
    "settings.requestClasses[].effect",
    "settings.requestClasses[].goalTime",
    "settings.requestClasses[].hardLimit",
    "settings.requestClasses[].lateWorth",
    "settings.requestClasses[].name",
    "settings.requestClasses[].value",
    "settings.safety.cold",
    "settings.safety.coldFrom",
    "settings.safety.drainGrace",
    "settings.safety.overloadFactor",
    "settings.telemetry.names",
    "settings.zone",
    "settings.zones",
];
/// Keys that are required where servers are pools, and the value of the topology that says so.
const REQUIRED_WITH_POOLS: &str = "settings.familyInfo.poolsByClass";
const POOLS: &str = "pools";
/// A key that is required where there are tenants.
const REQUIRED_WITH_TENANTS: &str = "settings.overShareWorth";

/// Returns the paths of what the file must have and lacks. Where a whole section is missing, this is the section's path.
pub(super) fn missing_keys(file: &Value) -> Vec<&'static str> {
    let settings = &file["settings"];
    let has_pools = settings["familyInfo"]["topology"] == POOLS;
    let has_tenants = settings["tenants"].as_array().is_some_and(|tenants| !tenants.is_empty());
    let conditional = [(has_pools, REQUIRED_WITH_POOLS), (has_tenants, REQUIRED_WITH_TENANTS)];
    let conditional = conditional.into_iter().filter_map(|(applies, path)| applies.then_some(path));
    let required = REQUIRED.iter().copied().chain(conditional);
    let mut missing: Vec<&str> = required.filter_map(|path| missing_prefix(file, path, 0)).collect();
    missing.dedup();
    missing
}

/// Returns the shortest prefix of a path that is missing in the value, if any is. The part of the path from the offset `from` on is
/// looked up in the value; in a list, in each of its elements.
fn missing_prefix(value: &Value, path: &'static str, from: usize) -> Option<&'static str> {
    let end = path[from..].find('.').map_or(path.len(), |length| from + length);
    let (key, is_list) = match path[from..end].strip_suffix("[]") {
        Some(key) => (key, true),
        None => (&path[from..end], false),
    };
    let rest = end + 1;
    match value.get(key) {
        None | Some(Value::Null) => Some(&path[..end]),
        Some(_) if end == path.len() => None,
        Some(Value::Array(elements)) if is_list => {
            elements.iter().find_map(|element| missing_prefix(element, path, rest))
        }
        Some(found) => missing_prefix(found, path, rest),
    }
}
