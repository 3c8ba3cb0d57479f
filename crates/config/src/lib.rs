//! Reads and checks the gatekeeper's own configuration file.
//!
//! The format is line-based: each line holds a directive and its arguments. There are `#` comments, quotes as in a shell,
//! blocks in braces, `include` with patterns, and units after numbers. All problems are reported in one run, each with file,
//! line, column, what is wrong and what was expected. docs/CONFIGURATION.md lists every directive.
//!
//! [`load`], [`entries`] and [`OwnFile::read`] read a file and what it includes; nothing else here accesses the disk.

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

/// Names from the platform's settings. If a list is missing, names of that kind in the file are not checked against it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Names {
    /// Names of the districts.
    pub districts: Option<Vec<String>>,
    /// Names of the classes.
    pub classes: Option<Vec<String>>,
}

/// Contents of the configuration file. What it does not set is off.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Conf {
    /// Path of the control socket.
    pub control: Option<PathBuf>,
    /// Settings for set-ups to other districts.
    pub crossings: Option<Crossings>,
    /// Settings for the links to other gatekeepers.
    pub fleet: Option<Fleet>,
}

/// Reads a file with everything it includes and checks it. The error holds all problems, in the order of files and lines.
pub fn load(path: &Path, names: &Names) -> Result<Conf, Vec<Problem>> {
    let mut problems = Vec::new();
    let directives = syntax::read(path, &mut problems);
    let conf = check::check_file(&directives, names, &mut problems);
    match problems.is_empty() {
        true => Ok(conf),
        false => Err(problem::in_order(problems)),
    }
}

/// Reads a file like [`load`], merges the fleet's entries into its blocks and checks the result as one file.
pub fn load_with(path: &Path, entries: &[(String, String)], names: &Names) -> Result<Conf, Vec<Problem>> {
    OwnFile::read(path, names)?.with(entries, names)
}
