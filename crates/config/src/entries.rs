//! Splits the settings of a fleet into entries, one per directive of a block that all gatekeepers share.
//!
//! The file has the grammar of the own configuration file but may only hold such blocks. The text of an entry is the
//! directive written again from its tokens, with what it includes. Therefore a gatekeeper that applies it needs no other
//! file, and a different indent or comment is not a change.

use std::path::Path;

use crate::check::{self, report};
use crate::problem::{in_order, Location, Problem};
use crate::syntax::{self, Directive, Token};
use crate::{Conf, Names};

/// Blocks that belong to the fleet as a whole.
const FLEET_BLOCKS: &[&str] = &["crossings"];
/// Block and name of the directives in them that each gatekeeper sets for itself.
const PER_GATEKEEPER: &[(&str, &str)] = &[("crossings", "own")];

/// The own configuration file as it was read, without the entries of the fleet.
#[derive(Clone, Debug, Default)]
pub struct OwnFile {
    lines: Vec<Directive>,
}

impl OwnFile {
    /// Reads a file with everything it includes and checks it. Returns all problems if there are any.
    pub fn read(path: &Path, names: &Names) -> Result<OwnFile, Vec<Problem>> {
        let mut problems = Vec::new();
        let lines = syntax::read(path, &mut problems);
        check::check_file(&lines, names, &mut problems);
        match problems.is_empty() {
            true => Ok(OwnFile { lines }),
            false => Err(in_order(problems)),
        }
    }

    /// Merges the fleet's entries into the blocks of the file and checks the result as one file. A problem in an entry has
    /// the location `fleet settings ENTRY:LINE:COLUMN`.
    pub fn with(&self, entries: &[(String, String)], names: &Names) -> Result<Conf, Vec<Problem>> {
        let mut problems = Vec::new();
        let mut lines = self.lines.clone();
        for (name, text) in entries {
            let Some((block, line)) = read_entry(name, text, &mut problems) else { continue };
            let inner = match lines.iter_mut().find(|l| l.name.text == block) {
                Some(found) => found.block.get_or_insert_default(),
                None => {
                    let name = Token { text: block, location: line.name.location.clone() };
                    lines.push(Directive { name, args: Vec::new(), block: Some(Vec::new()) });
                    lines.last_mut().expect("one was pushed").block.get_or_insert_default()
                }
            };
            inner.push(line);
        }
        let conf = check::check_file(&lines, names, &mut problems);
        match problems.is_empty() {
            true => Ok(conf),
            false => Err(in_order(problems)),
        }
    }
}

/// Reads the directive of an entry and returns it with the block to which it belongs.
fn read_entry(name: &str, text: &str, problems: &mut Vec<Problem>) -> Option<(String, Directive)> {
    let file = format!("fleet settings {name}");
    let location = Location { file: file.as_str().into(), line: 1, column: 1 };
    let Some(block) =
        FLEET_BLOCKS.iter().find(|b| name.strip_prefix(**b).is_some_and(|rest| rest.starts_with('/')))
    else {
        let text = format!("a fleet entry cannot set this, expected an entry of {}", FLEET_BLOCKS.join(", "));
        report(&location, text, problems);
        return None;
    };
    let before = problems.len();
    let mut lines = syntax::parse(&file, text, problems);
    if problems.len() > before {
        return None;
    }
    let (Some(line), true) = (lines.pop(), lines.is_empty()) else {
        report(&location, "not one directive, expected exactly one per entry", problems);
        return None;
    };
    reject_per_gatekeeper(block, &line, problems);
    reject_include(&line, problems);
    if problems.len() == before && entry_name(block, &line) != name {
        let text = format!("the text of another entry, expected that of {name:?}");
        report(&location, text, problems);
    }
    (problems.len() == before).then(|| (block.to_string(), line))
}

/// Records a problem for a directive that each gatekeeper sets for itself.
fn reject_per_gatekeeper(block: &str, line: &Directive, problems: &mut Vec<Problem>) {
    if PER_GATEKEEPER.contains(&(block, &line.name.text)) {
        let text = format!(
            "{:?} belongs to one gatekeeper, expected it in that one's own configuration",
            line.name.text
        );
        report(&line.name.location, text, problems);
    }
}

/// Records a problem for an `include`: an entry must not refer to files of the gatekeeper that applies it.
fn reject_include(line: &Directive, problems: &mut Vec<Problem>) {
    if line.name.text == "include" {
        report(
            &line.name.location,
            "an entry must not include files, expected the lines themselves",
            problems,
        );
    }
    line.block.iter().flatten().for_each(|inner| reject_include(inner, problems));
}

/// Name of a directive's entry. If the directive may occur more than once, its arguments are part of the name.
fn entry_name(block: &str, line: &Directive) -> String {
    let words: &[Token] = match line.name.text.as_str() {
        "budget" => &line.args,
        "share-of" => line.args.get(..1).unwrap_or_default(),
        _ => &[],
    };
    words.iter().fold(format!("{block}/{}", line.name.text), |name, word| name + " " + &word.text)
}

/// Splits a file with the fleet's settings into entries of name and text, in the order of the file. Names of districts and
/// classes are not checked here: each gatekeeper checks them against its own. Returns all problems if there are any.
pub fn entries(path: &Path) -> Result<Vec<(String, String)>, Vec<Problem>> {
    let mut problems = Vec::new();
    let lines = syntax::read(path, &mut problems);
    let mut all = Vec::new();
    for line in &lines {
        let block = line.name.text.as_str();
        if !FLEET_BLOCKS.contains(&block) {
            let text = format!(
                "{block:?} is not part of a fleet's settings, expected one of: {}",
                FLEET_BLOCKS.join(", ")
            );
            report(&line.name.location, text, &mut problems);
            continue;
        }
        for inner in line.block.iter().flatten() {
            reject_per_gatekeeper(block, inner, &mut problems);
            all.push((entry_name(block, inner), inner.to_string()));
        }
    }
    check::check_file(&lines, &Names::default(), &mut problems);
    match problems.is_empty() {
        true => Ok(all),
        false => Err(in_order(problems)),
    }
}
