//! The configuration: the PROXY_* variables and the file that they name.

use std::fmt;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use hollypaddle_config::{Conf, Names, Platform, Problem};
use hollypaddle_policy::settings::{self, Telemetry};
use hollypaddle_policy::Settings;
use serde::Deserialize;
use serde_json::Value;

use hollypaddle_platform::list::{Snapshot, Update};

/// Descriptors and memory that a gatekeeper keeps to where the file gives no figure.
const SOCKETS: usize = 1024;
const MEMORY_MB: f64 = 64.0;

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

/// What is wrong with the configuration.
#[derive(Debug)]
pub enum ConfigError {
    /// A variable is missing or no text.
    Variable(&'static str),
    /// The file cannot be read.
    File(PathBuf, std::io::Error),
    /// The file is not what it should be.
    Json(serde_json::Error),
    /// The own configuration file has these mistakes.
    Own(Vec<Problem>),
    /// A variable or a field of the file has a value of no use.
    Field(&'static str, String),
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ConfigError::Variable(name) => write!(f, "the variable {name} is not set"),
            ConfigError::File(path, error) => write!(f, "{}: {error}", path.display()),
            ConfigError::Json(error) => write!(f, "the configuration file: {error}"),
            ConfigError::Own(problems) => {
                let lines: Vec<String> = problems.iter().map(Problem::to_string).collect();
                write!(f, "{}", lines.join("\n"))
            }
            ConfigError::Field(name, value) => {
                write!(f, "{name} cannot be {value:?}")
            }
        }
    }
}

impl std::error::Error for ConfigError {}

impl From<serde_json::Error> for ConfigError {
    fn from(error: serde_json::Error) -> Self {
        ConfigError::Json(error)
    }
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
        self.own = hollypaddle_config::load(path, &self.names()).map_err(ConfigError::Own)?;
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
        let (settings, telemetry) = settings::read(file.settings.to_string().as_bytes())?;
        // A file with a deadline or attempts that are no positive number is broken: nothing of it is taken.
        if settings.try_limit == 0 {
            return Err(ConfigError::Field("settings.limits.tryLimit", settings.try_limit.to_string()));
        }
        let positive = |v: f64| v.is_finite() && v > 0.0;
        for (n, class) in settings.classes.iter().enumerate() {
            if !positive(class.hard_limit) {
                let field = "settings.requestClasses[].hardLimit";
                return Err(ConfigError::Field(field, format!("{} (class {n})", class.hard_limit)));
            }
            if !positive(class.goal_time) {
                let field = "settings.requestClasses[].goalTime";
                return Err(ConfigError::Field(field, format!("{} (class {n})", class.goal_time)));
            }
        }
        let link: LinkSettings = serde_json::from_value(file.settings)?;
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
            fronts: settings.fronts,
        };
        let states = telemetry.any();
        let goal = settings.classes.iter().map(|c| c.goal_time).fold(LONGEST_GOAL, f64::min);
        Ok(Config {
            name,
            platform,
            own: Conf::default(),
            listen: address("PROXY_LISTEN", listen)?,
            control: file.control.as_deref().map(|c| address("control", c)).transpose()?,
            dns: address("dns", &file.dns)?,
            memory: (file.limits.memory_mb.unwrap_or(MEMORY_MB).max(1.0) * 1048576.0) as usize,
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
            },
        })
    }
}

#[cfg(test)]
mod tests {
    use super::Config;

    #[test]
    fn what_is_wrong_is_told_in_plain_words() {
        let read =
            |listen: &str, text: &str| Config::read("n0".into(), listen, text).err().map(|e| e.to_string());
        let file = |dns: &str, seed: &str| {
            format!(
                r#"{{"dns":"{dns}","seed":"{seed}","settings":{{"peersTotal":1,"period":0.005,
                "familyInfo":{{"release":0.3}},"limits":{{"tryLimit":6}},"requestClasses":[],
                "safety":{{"cold":14,"coldFrom":0.3,"overloadFactor":3}}}}}}"#
            )
        };
        let listen = "127.0.0.1:5060";
        assert_eq!(read(listen, &file("127.0.0.1:53", "ab")), None);
        assert_eq!(
            read("here", &file("127.0.0.1:53", "ab")),
            Some(r#"PROXY_LISTEN cannot be "here""#.into())
        );
        assert_eq!(read(listen, &file("there", "ab")), Some(r#"dns cannot be "there""#.into()));
        assert_eq!(read(listen, &file("127.0.0.1:53", "?")), Some(r#"seed cannot be "?""#.into()));
        assert!(read(listen, "{}").is_some_and(|e| e.contains("missing field")));
        assert!(read(listen, "").is_some_and(|e| e.contains("EOF")));
        let whole = file("127.0.0.1:53", "ab");
        assert!(read(listen, &whole[..whole.len() / 2]).is_some_and(|e| e.contains("EOF")));
        let none = whole.replace(r#""tryLimit":6"#, r#""tryLimit":0"#);
        assert_eq!(read(listen, &none), Some(r#"settings.limits.tryLimit cannot be "0""#.into()));
        let negative = whole.replace(r#""tryLimit":6"#, r#""tryLimit":-2"#);
        assert!(read(listen, &negative).is_some_and(|e| e.contains("invalid value")));
        let class = r#""requestClasses":[{"name":"a","goalTime":1.0,"hardLimit":-3,"value":1}]"#;
        let deadline = whole.replace(r#""requestClasses":[]"#, class);
        assert!(read(listen, &deadline).is_some_and(|e| e.contains("hardLimit cannot be \"-3 (class 0)\"")));
    }
}
