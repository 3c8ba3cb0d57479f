//! Problems in a configuration file, with their locations.

use std::fmt;
use std::rc::Rc;

/// A location in a file. Lines and columns count from 1, columns in characters.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Location {
    /// The file, by the path under which it was opened.
    pub file: Rc<str>,
    /// Line number.
    pub line: usize,
    /// Column number.
    pub column: usize,
}

impl fmt::Display for Location {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}:{}", self.file, self.line, self.column)
    }
}

/// A problem, displayed as `FILE:LINE:COLUMN: what is wrong, what was expected`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Problem {
    /// Where it is.
    pub location: Location,
    /// What is wrong, and what was expected.
    pub description: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.location, self.description)
    }
}

impl std::error::Error for Problem {}

/// Sorts problems by file, line and column and removes duplicates. Files come in the order of their first problem.
pub(crate) fn in_order(mut problems: Vec<Problem>) -> Vec<Problem> {
    let mut files: Vec<Rc<str>> = Vec::new();
    for problem in &problems {
        if !files.contains(&problem.location.file) {
            files.push(Rc::clone(&problem.location.file));
        }
    }
    let file = |p: &Problem| files.iter().position(|f| *f == p.location.file);
    problems.sort_by_key(|p| (file(p), p.location.line, p.location.column));
    problems.dedup();
    problems
}
