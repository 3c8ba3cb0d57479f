//! The configuration: the PROXY_* environment variables, the platform's JSON file that they name, and the gatekeeper's own
//! configuration file.

mod required_keys;

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use hollypaddle_config::{Conf, Names, OwnFile, Platform, Problem};
use hollypaddle_policy::settings::{self, Telemetry};
use hollypaddle_policy::Settings;
use serde::Deserialize;
use serde_json::Value;

use hollypaddle_platform::list::{Snapshot, Update};

/// Largest number of attempts per call that is counted. A larger limit in the settings is reduced to this.
const MAX_ATTEMPTS: u32 = 250;

/// The shortest goal time is taken to be this, in seconds, if no class has a shorter one.
const MAX_GOAL_TIME_S: f64 = 3.0;

/// The configuration of a gatekeeper.
pub struct Config {
    /// The gatekeeper's name.
    pub name: String,
    /// The address at which callers connect.
    pub listen: SocketAddr,
    /// The control address, which serves the operators' load balancer over HTTP, if there is one.
    pub control: Option<SocketAddr>,
    /// The address of the resolver.
    pub dns: SocketAddr,
    /// Limit of open descriptors.
    pub max_sockets: usize,
    /// Limit of memory, in bytes.
    pub memory_bytes: usize,
    /// Seed of all random choices.
    pub seed: u64,
    /// The list of servers that is known at the start.
    pub initial_list: Snapshot,
    /// The settings of the decision module.
    pub settings: Settings,
    /// The names of the fields in servers' load reports.
    pub telemetry: Telemetry,
    /// The settings that the connections need.
    pub protocol: ProtocolSettings,
    /// The platform's names and values that the own configuration file refers to.
    pub platform: Platform,
    /// The content of the own configuration file.
    pub own_conf: Conf,
    /// The own configuration file itself, with which the fleet's settings are merged.
    pub own_file: OwnFile,
}

/// The settings that the connections to callers and servers need.
#[derive(Clone, Debug)]
pub struct ProtocolSettings {
    /// The classes, indexed by number.
    pub classes: Vec<ProtocolClass>,
    /// A connection that is not established within this time has failed, in seconds.
    pub connect_timeout: f64,
    /// How long after the announcement of its drain a server may still get new set-ups, in seconds.
    pub drain_grace: f64,
    /// Whether tests may be sent to servers.
    pub may_probe: bool,
    /// Whether servers send their state without being asked.
    pub servers_report_state: bool,
    /// The shortest goal time of all classes, in seconds.
    pub min_goal_time: f64,
    /// The names of the districts, indexed by number.
    pub districts: Vec<String>,
    /// Limit of connections to one server.
    pub connections: usize,
}

/// The rules for set-ups of one class.
#[derive(Clone, Debug, PartialEq)]
pub struct ProtocolClass {
    /// The class's name.
    pub name: String,
    /// The longest time that a caller may wait, in seconds.
    pub max_wait: f64,
    /// Numbers of the pools that its set-ups may go to. Empty means any.
    pub pools: Vec<u32>,
    /// How many circuits a call uses, if given.
    pub width: Option<f64>,
    /// Whether new calls of this class are accepted. A class that a reload drops keeps its number for its open calls.
    pub accepts_calls: bool,
}

impl ProtocolSettings {
    /// The longest time that a caller of any class may wait, in seconds.
    pub fn max_wait(&self) -> f64 {
        self.classes.iter().map(|c| c.max_wait).fold(0.0, f64::max)
    }
}

/// Why a configuration can't be used. At the start the program exits with this error; at a reload the old configuration
/// stays in force.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// An environment variable is missing or is not valid Unicode.
    #[error("the environment variable {0} is not set, or is not valid Unicode")]
    Variable(&'static str),
    /// The platform's file can't be read.
    #[error("{path}: {error}", path = .0.display(), error = .1)]
    File(PathBuf, #[source] std::io::Error),
    /// The platform's file is not valid JSON or has a wrong structure.
    #[error("the platform's configuration file: {0}")]
    Json(#[from] serde_json::Error),
    /// The platform's file lacks these keys, which are given by their paths.
    #[error("the platform's configuration file is incomplete: missing field {}", .0.join(", "))]
    MissingKeys(Vec<&'static str>),
    /// The own configuration file has these problems.
    #[error("{}", .0.iter().map(Problem::to_string).collect::<Vec<_>>().join("\n"))]
    Own(Vec<Problem>),
    /// An environment variable or a field of the platform's file has an unusable value.
    #[error("{0} has the invalid value {1:?}")]
    InvalidValue(&'static str, String),
    /// A number in the platform's file is out of range.
    #[error("{field} has the invalid value \"{value}\": expected {expected}")]
    OutOfRange {
        /// The path of the field in the file.
        field: String,
        /// Its value.
        value: f64,
        /// A description of the valid range.
        expected: &'static str,
    },
}

#[derive(Deserialize)]
struct ConfigFile {
    dns: String,
    seed: String,
    control: Option<String>,
    limits: ResourceLimits,
    known: KnownList,
    settings: Value,
}

/// The part of the platform's file that is read for names alone.
#[derive(Deserialize)]
struct NamesOnlyFile {
    settings: NamesOnlySection,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct NamesOnlySection {
    request_classes: Vec<NamedClass>,
    #[serde(default)]
    zones: Vec<String>,
}

#[derive(Deserialize)]
struct NamedClass {
    name: String,
}

#[derive(Deserialize)]
struct ResourceLimits {
    sockets: usize,
    memory_mb: f64,
}

#[derive(Deserialize)]
struct KnownList {
    pos: u64,
    entries: Vec<Update>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct SettingsSection {
    request_classes: Vec<ClassSection>,
    limits: LimitsSection,
    family_info: FamilyInfoSection,
    safety: SafetySection,
    zones: Vec<String>,
    zone: usize,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct FamilyInfoSection {
    /// Empty on a platform without pools.
    #[serde(default)]
    pools_by_class: Vec<Vec<u32>>,
    widths: Vec<f64>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct ClassSection {
    name: String,
    hard_limit: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct LimitsSection {
    connect_timeout: f64,
    /// Without this key, no tests may be sent.
    #[serde(default)]
    probes: bool,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct SafetySection {
    drain_grace: f64,
}

/// Ranges of valid values: a description, the minimum and the maximum.
const POSITIVE_SECONDS: (&str, f64, f64) =
    ("seconds, more than 0 and no more than a week", f64::MIN_POSITIVE, 604_800.0);
const SECONDS: (&str, f64, f64) = ("seconds, from 0 to a week", 0.0, 604_800.0);
const FRACTION: (&str, f64, f64) = ("a fraction from 0 to 1", 0.0, 1.0);
const NON_NEGATIVE: (&str, f64, f64) = ("a number from 0 to a billion", 0.0, 1e9);
const COUNT: (&str, f64, f64) = ("a number from 1 to a billion", 1.0, 1e9);
const SOCKET_COUNT: (&str, f64, f64) = ("24 descriptors or more", 24.0, 1e9);
const MEGABYTES: (&str, f64, f64) = ("megabytes, from 1 to a million", 1.0, 1e6);

/// Checks that all numbers are in their valid ranges. Guards against a damaged file that still parses: nothing of it is
/// applied, and the error names the first invalid field.
fn check_ranges(
    settings: &Settings,
    section: &SettingsSection,
    limits: &ResourceLimits,
) -> Result<(), ConfigError> {
    let check = |field: String, value: f64, (expected, min, max): (&'static str, f64, f64)| match value {
        value if value >= min && value <= max => Ok(()),
        value => Err(ConfigError::OutOfRange { field, value, expected }),
    };
    let classes = settings.classes.len();
    if classes == 0 || classes > hollypaddle_service::classes::MAX_CLASS_NUMBERS {
        let expected = "a list of 1 to 256 classes";
        return Err(ConfigError::OutOfRange {
            field: "settings.requestClasses".into(),
            value: classes as f64,
            expected,
        });
    }
    for (n, (class, class_section)) in settings.classes.iter().zip(&section.request_classes).enumerate() {
        if class_section.name.is_empty()
            || section.request_classes[..n].iter().any(|c| c.name == class_section.name)
        {
            return Err(ConfigError::InvalidValue(
                "settings.requestClasses[].name",
                class_section.name.clone(),
            ));
        }
        let field = |name: &str| format!("settings.requestClasses[{n}].{name}");
        check(field("hardLimit"), class.hard_limit, POSITIVE_SECONDS)?;
        check(field("goalTime"), class.goal_time, POSITIVE_SECONDS)?;
        check(field("value"), class.value, NON_NEGATIVE)?;
        check(field("lateWorth"), class.late_worth, NON_NEGATIVE)?;
    }
    for (n, tenant) in settings.tenants.iter().enumerate() {
        check(format!("settings.tenants[{n}].quotaPerS"), tenant.quota_per_s, NON_NEGATIVE)?;
    }
    let values = [
        ("settings.peersTotal", f64::from(settings.gatekeepers), COUNT),
        ("settings.period", settings.min_batch_interval, SECONDS),
        ("settings.overShareWorth", settings.over_share_worth, NON_NEGATIVE),
        ("settings.familyInfo.release", settings.release_time, SECONDS),
        ("settings.familyInfo.retransmit", settings.retransmit_time, SECONDS),
        ("settings.limits.tryLimit", f64::from(settings.try_limit), COUNT),
        ("settings.limits.maxRetryAfter", settings.max_retry_after.unwrap_or(0.0), SECONDS),
        ("settings.limits.connectTimeout", section.limits.connect_timeout, POSITIVE_SECONDS),
        ("settings.safety.drainGrace", section.safety.drain_grace, SECONDS),
        ("settings.safety.cold", settings.warm_up_time, SECONDS),
        ("settings.safety.coldFrom", settings.initial_capacity_ratio, FRACTION),
        ("settings.safety.overloadFactor", settings.overload_factor, COUNT),
        ("limits.sockets", limits.sockets as f64, SOCKET_COUNT),
        ("limits.memory_mb", limits.memory_mb, MEGABYTES),
    ];
    values.into_iter().try_for_each(|(field, value, range)| check(field.into(), value, range))
}

impl Config {
    /// Reads the environment variables, the platform's file that they name, and the own configuration file if one is given.
    ///
    /// # Errors
    ///
    /// Fails if a variable is missing, or if a file can't be read or is not valid.
    pub fn load(own: Option<&Path>) -> Result<Config, ConfigError> {
        let variable = |name| std::env::var(name).map_err(|_| ConfigError::Variable(name));
        let (name, listen) = (variable("PROXY_NAME")?, variable("PROXY_LISTEN")?);
        let path = PathBuf::from(variable("PROXY_CONFIG")?);
        let text = std::fs::read_to_string(&path).map_err(|error| ConfigError::File(path, error))?;
        let mut config = Config::parse(name, &listen, &text)?;
        // The platform gives both, and the variable takes precedence over the file.
        if let Some(control) = std::env::var("PROXY_CONTROL").ok().filter(|c| !c.trim().is_empty()) {
            let parsed =
                control.trim().parse().map_err(|_| ConfigError::InvalidValue("PROXY_CONTROL", control));
            config.control = Some(parsed?);
        }
        match own {
            Some(own) => config.with_own_file(own),
            None => Ok(config),
        }
    }

    /// Adds the own configuration file, checked against the platform's names.
    ///
    /// # Errors
    ///
    /// Fails with all problems of the file.
    pub fn with_own_file(mut self, path: &Path) -> Result<Config, ConfigError> {
        let names = self.names();
        self.own_file = OwnFile::read(path, &names).map_err(ConfigError::Own)?;
        self.own_conf = self.own_file.with(&[], &names).map_err(ConfigError::Own)?;
        Ok(self)
    }

    /// The names of districts and classes that the own configuration file may use. On a platform without districts it can
    /// name none, because the servers belong to none.
    pub fn names(&self) -> Names {
        let classes = self.platform.classes.iter().map(|c| c.0.clone()).collect();
        Names { districts: Some(self.platform.districts.clone()), classes: Some(classes) }
    }

    /// Reads only the names of districts and classes from the text of a platform's file, whose other fields may be missing.
    ///
    /// # Errors
    ///
    /// Fails if the text is not valid JSON or lacks the classes.
    pub fn names_from_text(text: &str) -> Result<Names, ConfigError> {
        let file: NamesOnlyFile = serde_json::from_str(text)?;
        let classes = file.settings.request_classes.into_iter().map(|c| c.name).collect();
        Ok(Names { districts: Some(file.settings.zones), classes: Some(classes) })
    }

    /// Parses the text of the platform's file, and adds the gatekeeper's name and the callers' address.
    ///
    /// # Errors
    ///
    /// Fails if the text is not valid JSON, lacks a field, or has a value that is not valid.
    pub fn parse(name: String, listen: &str, text: &str) -> Result<Config, ConfigError> {
        let content: Value = serde_json::from_str(text)?;
        let missing = required_keys::missing_keys(&content);
        if !missing.is_empty() {
            return Err(ConfigError::MissingKeys(missing));
        }
        let file: ConfigFile = serde_json::from_str(text)?;
        let address = |field, text: &str| {
            text.parse::<SocketAddr>().map_err(|_| ConfigError::InvalidValue(field, text.to_string()))
        };
        let (mut settings, telemetry) = settings::parse(file.settings.to_string().as_bytes())?;
        let section: SettingsSection = serde_json::from_value(file.settings)?;
        check_ranges(&settings, &section, &file.limits)?;
        settings.try_limit = settings.try_limit.min(MAX_ATTEMPTS);
        let family = section.family_info;
        let class = |(n, class): (usize, ClassSection)| ProtocolClass {
            name: class.name,
            max_wait: class.hard_limit,
            pools: family.pools_by_class.get(n).cloned().unwrap_or_default(),
            width: family.widths.get(n).copied(),
            accepts_calls: true,
        };
        let seed = u64::from_str_radix(&file.seed, 16);
        let names = section.request_classes.iter().map(|c| c.name.clone());
        let platform = Platform {
            name: name.clone(),
            districts: section.zones.clone(),
            own: Some(section.zone).filter(|zone| *zone < section.zones.len()),
            classes: names.zip(settings.classes.iter().map(|c| c.goal_time)).collect(),
            gatekeepers: settings.gatekeepers,
        };
        let servers_report_state = telemetry.has_fields();
        let min_goal_time = settings.classes.iter().map(|c| c.goal_time).fold(MAX_GOAL_TIME_S, f64::min);
        Ok(Config {
            name,
            platform,
            own_conf: Conf::default(),
            own_file: OwnFile::default(),
            listen: address("PROXY_LISTEN", listen)?,
            control: file.control.as_deref().map(|c| address("control", c)).transpose()?,
            dns: address("dns", &file.dns)?,
            memory_bytes: (file.limits.memory_mb * 1048576.0) as usize,
            max_sockets: file.limits.sockets,
            seed: seed.map_err(|_| ConfigError::InvalidValue("seed", file.seed.clone()))?,
            initial_list: Snapshot::replay(file.known.pos, &file.known.entries, &section.zones),
            settings,
            telemetry,
            protocol: ProtocolSettings {
                classes: section.request_classes.into_iter().enumerate().map(class).collect(),
                connect_timeout: section.limits.connect_timeout,
                drain_grace: section.safety.drain_grace,
                may_probe: section.limits.probes,
                servers_report_state,
                min_goal_time,
                districts: section.zones,
                connections: 1,
            },
        })
    }
}

#[cfg(test)]
mod tests;
