//! The log. Each event is one line with the event's name and its fields.

use std::io::Write;

use log::kv::{Key, Value, VisitSource};
use serde_json::Map;

/// The format of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, clap::ValueEnum)]
pub enum Format {
    /// `[LEVEL target] event field=value ...`
    #[default]
    Text,
    /// One JSON object per line: `time`, `level`, `target`, `event` and the fields.
    Json,
}

struct Fields(Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), log::kv::Error> {
        let json = serde_json::to_value(&value).unwrap_or_else(|_| value.to_string().into());
        self.0.insert(key.to_string(), json);
        Ok(())
    }
}

/// Formats a record as JSON, without a newline. `time` is in Unix seconds.
pub fn to_json(record: &log::Record, time: f64) -> String {
    let mut fields = Fields(Map::new());
    // A field that can't be converted is left out; the event is still logged.
    let _ = record.key_values().visit(&mut fields);
    let mut line = fields.0;
    line.insert("time".into(), time.into());
    line.insert("level".into(), record.level().as_str().into());
    line.insert("target".into(), record.target().into());
    line.insert("event".into(), record.args().to_string().into());
    serde_json::Value::Object(line).to_string()
}

/// Initializes logging to standard error. The environment variable `RUST_LOG` selects what is logged; the default is
/// `info`, whose events don't grow in number with the traffic.
pub fn init(format: Format) {
    let mut builder = env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info"));
    if format == Format::Json {
        builder.format(|out, record| {
            let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
            writeln!(out, "{}", to_json(record, now.unwrap_or_default().as_secs_f64()))
        });
    }
    builder.init();
}

#[cfg(test)]
mod tests {
    #[test]
    fn json_line_contains_the_event_and_its_fields() {
        let fields: &[(&str, log::kv::Value)] = &[("cut", 3.into()), ("server", "s-\"1".into())];
        let record = log::Record::builder()
            .level(log::Level::Info)
            .target("hollypaddle")
            .args(format_args!("server-gone"))
            .key_values(&fields)
            .build();
        let line: serde_json::Value = serde_json::from_str(&super::to_json(&record, 1.5)).unwrap();
        let json = serde_json::json!({"time": 1.5, "level": "INFO", "target": "hollypaddle",
            "event": "server-gone", "cut": 3, "server": "s-\"1"});
        assert_eq!(line, json);
    }
}
