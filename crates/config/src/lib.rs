//! The own configuration file.
//!
//! Line-based: a directive and its arguments on each line, `#` comments, quotes as in a shell, blocks in
//! braces, `include` with patterns, units written out. All mistakes are reported in one run, each with file,
//! line, column, what is wrong and what was expected. docs/CONFIGURATION.md lists every directive.
//!
//! [`load`], [`entries`] and [`OwnFile::read`] read a file and what it includes; nothing else here touches the disk.

mod check;
mod crossings;
mod entries;
mod fleet;
mod problem;
mod syntax;
mod values;

use std::path::{Path, PathBuf};

pub use crossings::{BudgetConf, Crossings, Platform};
pub use entries::{entries, OwnFile};
pub use fleet::{Fleet, Locality, MemberConf, RelayConf, Tier};
pub use fleet::{MAX_LEAVES, MAX_MEMBERS, MAX_NAME_BYTES, MAX_RELAYS};
pub use problem::{Location, Problem};

/// The names that the platform's settings give; one that is not there cannot be held against the file.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Names {
    /// The districts.
    pub districts: Option<Vec<String>>,
    /// The classes of call.
    pub classes: Option<Vec<String>>,
}

/// What the file says. What it does not name is off.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Conf {
    /// The path of the control socket.
    pub control: Option<PathBuf>,
    /// Traffic that crosses districts.
    pub crossings: Option<Crossings>,
    /// The gatekeepers that this one talks to.
    pub fleet: Option<Fleet>,
}

/// Reads a file with all that it includes and checks it. Every mistake is in the error, in the order of
/// files and lines.
pub fn load(path: &Path, names: &Names) -> Result<Conf, Vec<Problem>> {
    let mut problems = Vec::new();
    let directives = syntax::read(path, &mut problems);
    let conf = check::conf(&directives, names, &mut problems);
    match problems.is_empty() {
        true => Ok(conf),
        false => Err(problem::in_order(problems)),
    }
}

/// Reads a file as [`load`] does, with the fleet's entries in its blocks, checked as one.
pub fn load_with(path: &Path, entries: &[(String, String)], names: &Names) -> Result<Conf, Vec<Problem>> {
    OwnFile::read(path, names)?.with(entries, names)
}
