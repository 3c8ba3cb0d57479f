//! What is wrong with a file, and where.

use std::fmt;
use std::rc::Rc;

/// A place in a file; lines and columns (in characters) count from 1.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Location {
    /// The file, as it was named.
    pub file: Rc<str>,
    /// The line.
    pub line: usize,
    /// The column.
    pub column: usize,
}

impl fmt::Display for Location {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}:{}", self.file, self.line, self.column)
    }
}

/// One mistake: `FILE:LINE:COLUMN: what is wrong, what was expected`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Problem {
    /// Where.
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

/// Sorted by location, within each file in the order of its lines; files in the order of their first mistake.
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
