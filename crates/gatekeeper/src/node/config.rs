//! The configuration: the PROXY_* variables and the file that they name.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use hollypaddle_config::{Conf, Names, OwnFile, Platform, Problem};
use hollypaddle_policy::settings::{self, Telemetry};
use hollypaddle_policy::Settings;
use serde::Deserialize;
use serde_json::Value;

use hollypaddle_platform::list::{Snapshot, Update};

/// Descriptors and memory that a gatekeeper keeps to where the file gives no figure.
const SOCKETS: usize = 1024;
const MEMORY_MB: f64 = 64.0;

/// Attempts of one call are counted up to this; more in the settings means as many.
const MOST_ATTEMPTS: u32 = 250;

/// The goal time, in seconds, where no class has a shorter one.
const LONGEST_GOAL: f64 = 3.0;

/// What a gatekeeper is told at its start.
pub struct Config {
    /// Its name.
    pub name: String,
    /// Where callers connect.
    pub listen: SocketAddr,
    /// The control address, where the operators' front asks over HTTP; none where not given.
    pub control: Option<SocketAddr>,
    /// The resolver.
    pub dns: SocketAddr,
    /// Descriptors that it may hold.
    pub sockets: usize,
    /// Bytes of memory that it may use.
    pub memory: usize,
    /// Seed of all random draws.
    pub seed: u64,
    /// The pool list as known at the start.
    pub known: Snapshot,
    /// What the decision module is told.
    pub settings: Settings,
    /// The names in load reports.
    pub telemetry: Telemetry,
    /// What the sockets need of the settings.
    pub link: Link,
    /// What the own configuration file builds on.
    pub platform: Platform,
    /// What the own configuration file says.
    pub own: Conf,
    /// The file itself, for the fleet's settings to be read with it.
    pub own_file: OwnFile,
}

/// What the sockets need of the settings.
#[derive(Clone, Debug)]
pub struct Link {
    /// The classes, in the order of their numbers.
    pub classes: Vec<LinkClass>,
    /// A connection not up within so many seconds has failed.
    pub connect_timeout: f64,
    /// Nothing new may reach a server so many seconds after its drain was told.
    pub drain_grace: f64,
    /// Servers tell their state unasked.
    pub states: bool,
    /// The shortest goal time of a class, in seconds.
    pub goal: f64,
    /// The districts.
    pub districts: Vec<String>,
    /// Connections that each server may have.
    pub connections: usize,
}

/// What a set-up of a class may say.
#[derive(Clone, Debug, PartialEq)]
pub struct LinkClass {
    /// The class's name.
    pub name: String,
    /// The longest that a caller waits, in seconds.
    pub longest: f64,
    /// Numbers of the pools that it may go to; empty means any.
    pub pools: Vec<u32>,
    /// How many circuits a call takes, if told.
    pub width: Option<f64>,
    /// Whether new calls may take it: a class dropped at a reload keeps its number for the calls open.
    pub live: bool,
}

impl Link {
    /// The longest that any caller waits, in seconds.
    pub fn longest(&self) -> f64 {
        self.classes.iter().map(|c| c.longest).fold(0.0, f64::max)
    }
}

/// What is wrong with the configuration. At the start the program ends with it; at a reload everything stays as it was.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// A variable is missing or no text.
    #[error("the variable {0} is not set")]
    Variable(&'static str),
    /// The file cannot be read.
    #[error("{path}: {error}", path = .0.display(), error = .1)]
    File(PathBuf, #[source] std::io::Error),
    /// The file is not what it should be.
    #[error("the configuration file: {0}")]
    Json(#[from] serde_json::Error),
    /// The own configuration file has these mistakes.
    #[error("{}", .0.iter().map(Problem::to_string).collect::<Vec<_>>().join("\n"))]
    Own(Vec<Problem>),
    /// A variable or a field of the file has a value of no use.
    #[error("{0} cannot be {1:?}")]
    Field(&'static str, String),
    /// A figure of the file is out of all reason.
    #[error("{field} cannot be \"{value}\": expected {expected}")]
    Figure {
        /// Where it stands.
        field: String,
        /// What it is.
        value: f64,
        /// What it should be.
        expected: &'static str,
    },
}

#[derive(Deserialize)]
struct File {
    dns: String,
    seed: String,
    #[serde(default)]
    control: Option<String>,
    #[serde(default)]
    limits: Limits,
    #[serde(default)]
    known: Known,
    settings: Value,
}

#[derive(Deserialize)]
struct NamesFile {
    settings: LinkSettings,
}

#[derive(Deserialize, Default)]
struct Limits {
    sockets: Option<usize>,
    memory_mb: Option<f64>,
}

#[derive(Deserialize, Default)]
struct Known {
    pos: u64,
    entries: Vec<Update>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct LinkSettings {
    request_classes: Vec<Class>,
    #[serde(default)]
    limits: LinkLimits,
    #[serde(default)]
    family_info: LinkFamily,
    #[serde(default)]
    safety: LinkSafety,
    #[serde(default)]
    zones: Vec<String>,
    zone: Option<usize>,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
struct LinkFamily {
    pools_by_class: Vec<Vec<u32>>,
    widths: Vec<f64>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Class {
    name: String,
    hard_limit: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase", default)]
struct LinkLimits {
    connect_timeout: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase", default)]
struct LinkSafety {
    drain_grace: f64,
}

impl Default for LinkSafety {
    fn default() -> Self {
        LinkSafety { drain_grace: 0.25 }
    }
}

impl Default for LinkLimits {
    fn default() -> Self {
        LinkLimits { connect_timeout: 0.5 }
    }
}

/// Times, shares and numbers that are sound.
const TIME: (&str, f64, f64) = ("seconds, more than 0 and no more than a week", f64::MIN_POSITIVE, 604_800.0);
const SPAN: (&str, f64, f64) = ("seconds, from 0 to a week", 0.0, 604_800.0);
const SHARE: (&str, f64, f64) = ("a share from 0 to 1", 0.0, 1.0);
const WORTH: (&str, f64, f64) = ("a number from 0 to a billion", 0.0, 1e9);
const COUNT: (&str, f64, f64) = ("a number from 1 to a billion", 1.0, 1e9);
const SOCKETS_SOUND: (&str, f64, f64) = ("24 descriptors or more", 24.0, 1e9);
const MEMORY_SOUND: (&str, f64, f64) = ("megabytes, from 1 to a million", 1.0, 1e6);

/// Whether the figures can be served by. Guards against a file that is broken in a way that still reads: nothing of it is
/// taken, and the first figure at fault is named.
fn sound(settings: &Settings, link: &LinkSettings, limits: &Limits) -> Result<(), ConfigError> {
    let check = |field: String, value: f64, (expected, least, most): (&'static str, f64, f64)| match value {
        value if value >= least && value <= most => Ok(()),
        value => Err(ConfigError::Figure { field, value, expected }),
    };
    let classes = settings.classes.len();
    if classes == 0 || classes > hollypaddle_service::classes::MOST {
        let expected = "a list of 1 to 256 classes";
        return Err(ConfigError::Figure {
            field: "settings.requestClasses".into(),
            value: classes as f64,
            expected,
        });
    }
    for (n, (class, named)) in settings.classes.iter().zip(&link.request_classes).enumerate() {
        if named.name.is_empty() || link.request_classes[..n].iter().any(|c| c.name == named.name) {
            return Err(ConfigError::Field("settings.requestClasses[].name", named.name.clone()));
        }
        let field = |name: &str| format!("settings.requestClasses[{n}].{name}");
        check(field("hardLimit"), class.hard_limit, TIME)?;
        check(field("goalTime"), class.goal_time, TIME)?;
        check(field("value"), class.value, WORTH)?;
        check(field("lateWorth"), class.late_worth, WORTH)?;
    }
    for (n, tenant) in settings.tenants.iter().enumerate() {
        check(format!("settings.tenants[{n}].quotaPerS"), tenant.quota_per_s, WORTH)?;
    }
    let figures = [
        ("settings.peersTotal", f64::from(settings.gatekeepers), COUNT),
        ("settings.period", settings.min_batch_interval, SPAN),
        ("settings.overShareWorth", settings.over_share_worth, WORTH),
        ("settings.familyInfo.release", settings.release_time, SPAN),
        ("settings.familyInfo.retransmit", settings.retransmit_time, SPAN),
        ("settings.limits.tryLimit", f64::from(settings.try_limit), COUNT),
        ("settings.limits.maxRetryAfter", settings.max_retry_after.unwrap_or(0.0), SPAN),
        ("settings.limits.connectTimeout", link.limits.connect_timeout, TIME),
        ("settings.safety.drainGrace", link.safety.drain_grace, SPAN),
        ("settings.safety.cold", settings.warm_up_time, SPAN),
        ("settings.safety.coldFrom", settings.initial_capacity_ratio, SHARE),
        ("settings.safety.overloadFactor", settings.overload_factor, COUNT),
        ("limits.sockets", limits.sockets.unwrap_or(SOCKETS) as f64, SOCKETS_SOUND),
        ("limits.memory_mb", limits.memory_mb.unwrap_or(MEMORY_MB), MEMORY_SOUND),
    ];
    figures.into_iter().try_for_each(|(field, value, range)| check(field.into(), value, range))
}

impl Config {
    /// Reads the environment, the file that it names, and the own configuration file where there is one.
    pub fn load(own: Option<&Path>) -> Result<Config, ConfigError> {
        let variable = |name| std::env::var(name).map_err(|_| ConfigError::Variable(name));
        let (name, listen) = (variable("PROXY_NAME")?, variable("PROXY_LISTEN")?);
        let path = PathBuf::from(variable("PROXY_CONFIG")?);
        let text = std::fs::read_to_string(&path).map_err(|error| ConfigError::File(path, error))?;
        let mut config = Config::read(name, &listen, &text)?;
        // The variable wins over the file, as the platform gives both.
        if let Some(control) = std::env::var("PROXY_CONTROL").ok().filter(|c| !c.trim().is_empty()) {
            let parsed = control.trim().parse().map_err(|_| ConfigError::Field("PROXY_CONTROL", control));
            config.control = Some(parsed?);
        }
        match own {
            Some(own) => config.with_own(own),
            None => Ok(config),
        }
    }

    /// Reads the own configuration file and checks it against the platform's names.
    pub fn with_own(mut self, path: &Path) -> Result<Config, ConfigError> {
        let names = self.names();
        self.own_file = OwnFile::read(path, &names).map_err(ConfigError::Own)?;
        self.own = self.own_file.with(&[], &names).map_err(ConfigError::Own)?;
        Ok(self)
    }

    /// The names of districts and classes. A platform without districts has none that a file could name:
    /// its servers stand in none.
    pub fn names(&self) -> Names {
        let classes = self.platform.classes.iter().map(|c| c.0.clone()).collect();
        Names { districts: Some(self.platform.districts.clone()), classes: Some(classes) }
    }

    /// The names in the settings of a file's text, which need not be whole otherwise.
    pub fn names_in(text: &str) -> Result<Names, ConfigError> {
        let file: NamesFile = serde_json::from_str(text)?;
        let classes = file.settings.request_classes.into_iter().map(|c| c.name).collect();
        Ok(Names { districts: Some(file.settings.zones), classes: Some(classes) })
    }

    /// Reads the file's text.
    pub fn read(name: String, listen: &str, text: &str) -> Result<Config, ConfigError> {
        let file: File = serde_json::from_str(text)?;
        let address = |field, text: &str| {
            text.parse::<SocketAddr>().map_err(|_| ConfigError::Field(field, text.to_string()))
        };
        let (mut settings, telemetry) = settings::parse(file.settings.to_string().as_bytes())?;
        let link: LinkSettings = serde_json::from_value(file.settings)?;
        sound(&settings, &link, &file.limits)?;
        settings.try_limit = settings.try_limit.min(MOST_ATTEMPTS);
        let family = link.family_info;
        let class = |(n, class): (usize, Class)| LinkClass {
            name: class.name,
            longest: class.hard_limit,
            pools: family.pools_by_class.get(n).cloned().unwrap_or_default(),
            width: family.widths.get(n).copied(),
            live: true,
        };
        let seed = u64::from_str_radix(&file.seed, 16);
        let names = link.request_classes.iter().map(|c| c.name.clone());
        let platform = Platform {
            name: name.clone(),
            districts: link.zones.clone(),
            own: link.zone.filter(|zone| *zone < link.zones.len()),
            classes: names.zip(settings.classes.iter().map(|c| c.goal_time)).collect(),
            fronts: settings.gatekeepers,
        };
        let states = telemetry.has_fields();
        let goal = settings.classes.iter().map(|c| c.goal_time).fold(LONGEST_GOAL, f64::min);
        Ok(Config {
            name,
            platform,
            own: Conf::default(),
            own_file: OwnFile::default(),
            listen: address("PROXY_LISTEN", listen)?,
            control: file.control.as_deref().map(|c| address("control", c)).transpose()?,
            dns: address("dns", &file.dns)?,
            memory: (file.limits.memory_mb.unwrap_or(MEMORY_MB) * 1048576.0) as usize,
            sockets: file.limits.sockets.unwrap_or(SOCKETS),
            seed: seed.map_err(|_| ConfigError::Field("seed", file.seed.clone()))?,
            known: Snapshot::replay(file.known.pos, &file.known.entries, &link.zones),
            settings,
            telemetry,
            link: Link {
                classes: link.request_classes.into_iter().enumerate().map(class).collect(),
                connect_timeout: link.limits.connect_timeout,
                drain_grace: link.safety.drain_grace,
                states,
                goal,
                districts: link.zones,
                connections: 1,
            },
        })
    }
}

#[cfg(test)]
mod tests;
