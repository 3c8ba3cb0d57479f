//! `hollypaddle ctl`: requests a report from a running gatekeeper over its control socket, and formats it as text.

use std::fmt;
use std::io::{self, BufRead, BufReader, Write};
use std::os::unix::net::UnixStream;
use std::path::Path;
use std::time::Duration;

use comfy_table::{presets, CellAlignment, Table};
use serde_json::Value;

use crate::node::control::Query;

/// Time limit for writing the request and for reading the answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);

/// Why a query has no result.
#[derive(Debug)]
pub enum CtlError {
    /// The gatekeeper cannot be reached.
    Io(io::Error),
    /// The gatekeeper sent something that is not a valid answer.
    InvalidAnswer(String),
    /// The gatekeeper answered with this error message.
    Refused(String),
}

impl fmt::Display for CtlError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CtlError::Io(error) => write!(f, "the gatekeeper cannot be reached: {error}"),
            CtlError::InvalidAnswer(what) => write!(f, "the gatekeeper's answer is invalid: {what}"),
            CtlError::Refused(what) => write!(f, "{what}"),
        }
    }
}

impl std::error::Error for CtlError {}

impl From<io::Error> for CtlError {
    fn from(error: io::Error) -> Self {
        CtlError::Io(error)
    }
}

/// Sends one query to the control socket at this path, and returns the result.
///
/// # Errors
///
/// Fails if the gatekeeper can't be reached, if its answer is invalid, or if it answers with an error.
pub fn query(socket: &Path, query: &Query) -> Result<Value, CtlError> {
    let mut stream = UnixStream::connect(socket)?;
    stream.set_read_timeout(Some(ANSWER_TIMEOUT))?;
    stream.set_write_timeout(Some(ANSWER_TIMEOUT))?;
    let request = serde_json::to_string(query).map_err(io::Error::other)?;
    stream.write_all(format!("{request}\n").as_bytes())?;
    let mut line = String::new();
    BufReader::new(stream).read_line(&mut line)?;
    let mut answer: Value =
        serde_json::from_str(&line).map_err(|e| CtlError::InvalidAnswer(e.to_string()))?;
    if let Some(error) = answer.get("error").and_then(Value::as_str) {
        return Err(CtlError::Refused(error.to_string()));
    }
    answer.get_mut("ok").map(Value::take).ok_or(CtlError::InvalidAnswer(line))
}

/// Formats a field of a row as a cell. A missing value is shown as a dash, and a delay in milliseconds.
fn format_cell(row: &Value, name: &str) -> String {
    match &row[name] {
        Value::Null => "-".into(),
        Value::String(text) => text.clone(),
        Value::Bool(yes) => if *yes { "yes" } else { "no" }.into(),
        Value::Number(n) if name.contains("delay") => {
            n.as_f64().map_or("-".into(), |seconds| format!("{:.1}", seconds * 1000.0))
        }
        Value::Number(n) => match (n.as_u64(), n.as_f64()) {
            (Some(whole), _) => whole.to_string(),
            (None, Some(value)) => format!("{value:.2}"),
            (None, None) => n.to_string(),
        },
        other => other.to_string(),
    }
}

/// Formats rows as a table. Each column is given by the name of the field and the column's heading.
fn format_table(rows: &Value, columns: &[(&str, &str)]) -> String {
    let mut table = Table::new();
    table.load_style(presets::NOTHING);
    table.set_header(columns.iter().map(|c| c.1));
    for row in rows.as_array().into_iter().flatten() {
        table.add_row(columns.iter().map(|c| format_cell(row, c.0)));
    }
    for (at, column) in columns.iter().enumerate() {
        let is_text = [
            "class", "from", "to", "scope", "name", "state", "district", "bending", "member", "life", "hash",
            "zone", "region", "reason",
        ]
        .contains(&column.0);
        if let (false, Some(column)) = (is_text, table.column_mut(at)) {
            column.set_cell_alignment(CellAlignment::Right);
        }
    }
    table.to_string()
}

/// Formats the report on crossings (set-ups to other districts).
pub fn format_crossings(report: &Value) -> String {
    let rows = [
        ("class", "class"),
        ("from", "from"),
        ("to", "to"),
        ("sent", "sent"),
        ("stood", "stood"),
        ("late", "late"),
        ("refused", "refused"),
        ("failed", "failed"),
        ("reset", "reset"),
        ("given_up", "given up"),
        ("out", "out"),
        ("standing", "standing"),
        ("ended", "ended"),
        ("cut", "cut"),
        ("denied", "denied"),
        ("bent", "bent"),
        ("mean_delay", "delay ms"),
        ("crossing_delay", "crossing ms"),
    ];
    let budgets = [
        ("scope", "budget"),
        ("per_s", "per s"),
        ("lent_per_s", "lent"),
        ("borrowed_per_s", "borrowed"),
        ("burst", "burst"),
        ("tokens", "left"),
        ("share_most", "share"),
        ("share_now", "now"),
        ("standing_most", "places"),
        ("standing", "taken"),
        ("overdraft", "overdraft"),
        ("overdrawn", "overdrawn"),
        ("debits", "debits"),
        ("handed_back", "handed back"),
        ("denied", "denied"),
    ];
    let bending =
        [("class", "urgent class"), ("bending", "bending"), ("pressure", "pressure"), ("times", "times")];
    let mut text = format!(
        "district {}, {} ({:.0} s since the account began)\n\n{}\n",
        format_cell(report, "own"),
        format_cell(report, "span"),
        report["age"].as_f64().unwrap_or_default(),
        format_table(&report["rows"], &rows)
    );
    for (name, columns) in [("budgets", &budgets[..]), ("bending", &bending[..])] {
        if report[name].as_array().is_some_and(|rows| !rows.is_empty()) {
            text.push_str(&format!("\n{}\n", format_table(&report[name], columns)));
        }
    }
    text
}

/// Formats the report on the members of the fleet. Its form depends on the gatekeeper's role: member of a fleet without
/// relays, leaf, or relay.
pub fn format_members(report: &Value) -> String {
    match report["role"].as_str() {
        Some("leaf") => return format_leaf(report),
        Some(_) => return format_relay(report),
        None => {}
    }
    let columns = [
        ("name", "member"),
        ("state", "state"),
        ("district", "district"),
        ("life", "life"),
        ("silent_ms", "silent ms"),
        ("others_ms", "by others ms"),
        ("linked", "linked"),
        ("hears_us", "hears us"),
        ("ready", "caught up"),
    ];
    format!(
        "member {}, life {}, caught up {}, held {}, majority heard {}, superseded {}\n\n{}\n",
        format_cell(report, "name"),
        format_cell(report, "life"),
        format_cell(report, "ready"),
        format_cell(report, "held"),
        format_cell(report, "quorum"),
        format_cell(report, "superseded"),
        format_table(&report["members"], &columns)
    )
}

/// Formats a leaf's report on members.
fn format_leaf(report: &Value) -> String {
    let relays = [("name", "relay"), ("state", "state"), ("zone", "zone"), ("region", "region")];
    let members = [("name", "member"), ("state", "state"), ("life", "life"), ("moves", "moves")];
    let settings = &report["settings"];
    let refused = match &settings["refused"] {
        Value::Null => String::new(),
        version => format!("\nsettings {version} refused: {}", format_cell(settings, "reason")),
    };
    format!(
        "leaf {}, life {}, zone {}, caught up {}, relay {}, second {}, last message {:.1} s ago, settings {} held, {} in \
         force{refused}\n\n{}\n\n{}\n",
        format_cell(report, "name"),
        format_cell(report, "life"),
        format_cell(report, "zone"),
        format_cell(report, "ready"),
        format_cell(report, "relay"),
        format_cell(report, "second"),
        report["age_s"].as_f64().unwrap_or_default(),
        format_cell(settings, "version"),
        format_cell(settings, "in_force"),
        format_table(&report["relays"], &relays),
        format_table(&report["members"], &members)
    )
}

/// Formats a relay's report on members.
fn format_relay(report: &Value) -> String {
    let relays = [
        ("name", "relay"),
        ("state", "state"),
        ("life", "life"),
        ("silent_ms", "silent ms"),
        ("linked", "linked"),
        ("hears_us", "hears us"),
        ("ready", "caught up"),
    ];
    let leaves = [
        ("name", "leaf"),
        ("state", "state"),
        ("since_s", "for s"),
        ("moves", "moves"),
        ("in_force", "settings"),
        ("refused", "refused"),
        ("reason", "why"),
    ];
    let settings = &report["settings"];
    let refused = match &settings["refused"] {
        Value::Null => String::new(),
        why => format!("\nthe last change was refused here: {}", why.as_str().unwrap_or_default()),
    };
    format!(
        "relay {}, life {}, caught up {}, writer {}, {} of {} relays reachable, majority {}, {} leaves of at most {}, \
         settings {} with {} entries in force, {} proposed{refused}\n\n{}\n\n{}\n",
        format_cell(report, "name"),
        format_cell(report, "life"),
        format_cell(report, "ready"),
        format_cell(report, "writer"),
        format_cell(report, "heard"),
        format_cell(report, "all"),
        format_cell(report, "majority"),
        format_cell(report, "attached"),
        format_cell(report, "limit"),
        format_cell(settings, "version"),
        format_cell(settings, "entries"),
        format_cell(settings, "proposed"),
        format_table(&report["relays"], &relays),
        format_table(&report["members"], &leaves)
    )
}

/// Formats the report on the records that are replicated from each member.
pub fn format_replica(report: &Value) -> String {
    let columns = [
        ("member", "member"),
        ("life", "life"),
        ("version", "version"),
        ("hash", "hash"),
        ("server", "servers"),
        ("silent", "silent"),
        ("call", "calls"),
        ("over", "ended"),
        ("owed", "owes"),
        ("want", "wants"),
        ("lent", "lends"),
        ("lag", "lag"),
    ];
    let (counts, links) = (&report["counts"], &report["links"]);
    format!(
        "{}\n\n{} calls adopted now, {} since the start, {} without a server; conflicts {}, copies that differed {}, \
         repaired {}, left out {}\ncatch-up: {} records sent, {} received, {} streams in progress; links refused {}, messages \
         sent {}, received {}, bytes sent {}\n",
        format_table(&report["streams"], &columns),
        format_cell(report, "adopted"),
        format_cell(counts, "adopted"),
        format_cell(report, "unplaced"),
        format_cell(counts, "conflicts"),
        format_cell(counts, "differed"),
        format_cell(counts, "mended"),
        format_cell(counts, "left_out"),
        format_cell(report, "given"),
        format_cell(report, "taken"),
        format_cell(report, "fetching"),
        format_cell(links, "refused"),
        format_cell(links, "said"),
        format_cell(links, "heard"),
        format_cell(links, "bytes"),
    )
}

/// Formats the report on the gatekeeper itself: its calls and its servers.
pub fn format_status(status: &Value) -> String {
    let columns =
        [("name", "server"), ("state", "state"), ("district", "district"), ("connections", "connections")];
    format!(
        "gatekeeper {}, up for {:.0} s, {} calls open, {} standing\n\n{}\n",
        format_cell(status, "name"),
        status["up_s"].as_f64().unwrap_or_default(),
        format_cell(status, "open"),
        format_cell(status, "standing"),
        format_table(&status["servers"], &columns)
    )
}
