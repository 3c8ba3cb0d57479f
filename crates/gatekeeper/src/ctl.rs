//! `hollypaddle ctl`: asks a running gatekeeper over its control socket, and prints what it says.

use std::fmt;
use std::io::{self, BufRead, BufReader, Write};
use std::os::unix::net::UnixStream;
use std::path::Path;
use std::time::Duration;

use comfy_table::{presets, CellAlignment, Table};
use serde_json::Value;

use crate::node::control::Query;

/// How long an answer may take.
const PATIENCE: Duration = Duration::from_secs(5);

/// Why there is no answer.
#[derive(Debug)]
pub enum CtlError {
    /// The gatekeeper cannot be reached.
    Io(io::Error),
    /// It said what is no answer.
    InvalidAnswer(String),
    /// It refused, in these words.
    Refused(String),
}

impl fmt::Display for CtlError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CtlError::Io(error) => write!(f, "the gatekeeper cannot be reached: {error}"),
            CtlError::InvalidAnswer(what) => write!(f, "the gatekeeper's answer makes no sense: {what}"),
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

/// Asks one question.
pub fn query(socket: &Path, question: &Query) -> Result<Value, CtlError> {
    let mut stream = UnixStream::connect(socket)?;
    stream.set_read_timeout(Some(PATIENCE))?;
    stream.set_write_timeout(Some(PATIENCE))?;
    let asked = serde_json::to_string(question).map_err(io::Error::other)?;
    stream.write_all(format!("{asked}\n").as_bytes())?;
    let mut line = String::new();
    BufReader::new(stream).read_line(&mut line)?;
    let mut told: Value = serde_json::from_str(&line).map_err(|e| CtlError::InvalidAnswer(e.to_string()))?;
    if let Some(error) = told.get("error").and_then(Value::as_str) {
        return Err(CtlError::Refused(error.to_string()));
    }
    told.get_mut("ok").map(Value::take).ok_or(CtlError::InvalidAnswer(line))
}

/// A value as a cell of a table: what is not there is a dash, a time is in milliseconds.
fn cell(row: &Value, name: &str) -> String {
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

/// Rows as a table; each column is the field's name and the head above it.
fn table(rows: &Value, columns: &[(&str, &str)]) -> String {
    let mut table = Table::new();
    table.load_style(presets::NOTHING);
    table.set_header(columns.iter().map(|c| c.1));
    for row in rows.as_array().into_iter().flatten() {
        table.add_row(columns.iter().map(|c| cell(row, c.0)));
    }
    for (at, column) in columns.iter().enumerate() {
        let words = [
            "class", "from", "to", "scope", "name", "state", "district", "bending", "member", "life", "hash",
            "zone", "region", "reason",
        ]
        .contains(&column.0);
        if let (false, Some(column)) = (words, table.column_mut(at)) {
            column.set_cell_alignment(CellAlignment::Right);
        }
    }
    table.to_string()
}

/// The report of what crosses districts, as text.
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
        cell(report, "own"),
        cell(report, "span"),
        report["age"].as_f64().unwrap_or_default(),
        table(&report["rows"], &rows)
    );
    for (name, columns) in [("budgets", &budgets[..]), ("bending", &bending[..])] {
        if report[name].as_array().is_some_and(|rows| !rows.is_empty()) {
            text.push_str(&format!("\n{}\n", table(&report[name], columns)));
        }
    }
    text
}

/// Who of the fleet is alive, as text: of a small fleet, or by its role in a tier of relays.
pub fn format_members(report: &Value) -> String {
    match report["role"].as_str() {
        Some("leaf") => return leaf(report),
        Some(_) => return relay(report),
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
        cell(report, "name"),
        cell(report, "life"),
        cell(report, "ready"),
        cell(report, "held"),
        cell(report, "quorum"),
        cell(report, "superseded"),
        table(&report["members"], &columns)
    )
}

/// What a leaf of a tier knows, as text.
fn leaf(report: &Value) -> String {
    let relays = [("name", "relay"), ("state", "state"), ("zone", "zone"), ("region", "region")];
    let members = [("name", "member"), ("state", "state"), ("life", "life"), ("moves", "moves")];
    let settings = &report["settings"];
    let refused = match &settings["refused"] {
        Value::Null => String::new(),
        version => format!("\nsettings {version} refused: {}", cell(settings, "reason")),
    };
    format!(
        "leaf {}, life {}, zone {}, caught up {}, relay {}, second {}, heard {:.1} s ago, settings {} held, {} in \
         force{refused}\n\n{}\n\n{}\n",
        cell(report, "name"),
        cell(report, "life"),
        cell(report, "zone"),
        cell(report, "ready"),
        cell(report, "relay"),
        cell(report, "second"),
        report["age_s"].as_f64().unwrap_or_default(),
        cell(settings, "version"),
        cell(settings, "in_force"),
        table(&report["relays"], &relays),
        table(&report["members"], &members)
    )
}

/// What a relay of a tier knows, as text.
fn relay(report: &Value) -> String {
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
        "relay {}, life {}, caught up {}, writer {}, {} of {} relays heard, majority {}, {} leaves of at most {}, \
         settings {} with {} entries in force, {} proposed{refused}\n\n{}\n\n{}\n",
        cell(report, "name"),
        cell(report, "life"),
        cell(report, "ready"),
        cell(report, "writer"),
        cell(report, "heard"),
        cell(report, "all"),
        cell(report, "majority"),
        cell(report, "attached"),
        cell(report, "limit"),
        cell(settings, "version"),
        cell(settings, "entries"),
        cell(settings, "proposed"),
        table(&report["relays"], &relays),
        table(&report["members"], &leaves)
    )
}

/// What is held of each member, as text.
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
         mended {}, left out {}\ncatch-up: {} records given, {} taken, {} streams coming; links refused {}, words said {}, \
         heard {}, bytes said {}\n",
        table(&report["streams"], &columns),
        cell(report, "adopted"),
        cell(counts, "adopted"),
        cell(report, "unplaced"),
        cell(counts, "conflicts"),
        cell(counts, "differed"),
        cell(counts, "mended"),
        cell(counts, "left_out"),
        cell(report, "given"),
        cell(report, "taken"),
        cell(report, "fetching"),
        cell(links, "refused"),
        cell(links, "said"),
        cell(links, "heard"),
        cell(links, "bytes"),
    )
}

/// What the gatekeeper is and holds, as text.
pub fn format_status(status: &Value) -> String {
    let columns =
        [("name", "server"), ("state", "state"), ("district", "district"), ("connections", "connections")];
    format!(
        "gatekeeper {}, up for {:.0} s, {} calls open, {} standing\n\n{}\n",
        cell(status, "name"),
        status["up_s"].as_f64().unwrap_or_default(),
        cell(status, "open"),
        cell(status, "standing"),
        table(&status["servers"], &columns)
    )
}
