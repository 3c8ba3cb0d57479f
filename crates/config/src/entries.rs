//! The settings of a whole fleet, in entries: one a directive of a block that belongs to all gatekeepers alike.
//!
//! The file has the grammar of the own configuration, of which it may hold such blocks only. An entry's text is the
//! directive written anew from its words, with what it includes: a gatekeeper that takes it needs no other file, and
//! another indent or comment is no change.

use std::path::Path;

use crate::check::{self, wrong};
use crate::problem::{in_order, Location, Problem};
use crate::syntax::{self, Directive, Token};
use crate::{Conf, Names};

/// The blocks that belong to a fleet as a whole.
const FLEET_BLOCKS: &[&str] = &["crossings"];
/// What of them each gatekeeper says for itself.
const PER_GATEKEEPER: &[(&str, &str)] = &[("crossings", "own")];

/// An own configuration file as it was read, without the fleet's entries.
#[derive(Clone, Debug, Default)]
pub struct OwnFile {
    lines: Vec<Directive>,
}

impl OwnFile {
    /// Reads a file with all that it includes, and checks it as it stands.
    pub fn read(path: &Path, names: &Names) -> Result<OwnFile, Vec<Problem>> {
        let mut problems = Vec::new();
        let lines = syntax::read(path, &mut problems);
        check::conf(&lines, names, &mut problems);
        match problems.is_empty() {
            true => Ok(OwnFile { lines }),
            false => Err(in_order(problems)),
        }
    }

    /// Checks the file with the fleet's entries merged into its blocks, as if it were one. A mistake in an entry
    /// has the place `fleet settings ENTRY:LINE:COLUMN`.
    pub fn with(&self, entries: &[(String, String)], names: &Names) -> Result<Conf, Vec<Problem>> {
        let mut problems = Vec::new();
        let mut lines = self.lines.clone();
        for (name, text) in entries {
            let Some((block, line)) = entry(name, text, &mut problems) else { continue };
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
        let conf = check::conf(&lines, names, &mut problems);
        match problems.is_empty() {
            true => Ok(conf),
            false => Err(in_order(problems)),
        }
    }
}

/// The one directive of an entry, and the block to which it belongs.
fn entry(name: &str, text: &str, problems: &mut Vec<Problem>) -> Option<(String, Directive)> {
    let file = format!("fleet settings {name}");
    let location = Location { file: file.as_str().into(), line: 1, column: 1 };
    let Some(block) =
        FLEET_BLOCKS.iter().find(|b| name.strip_prefix(**b).is_some_and(|rest| rest.starts_with('/')))
    else {
        let text = format!("the fleet does not set this, expected an entry of {}", FLEET_BLOCKS.join(", "));
        wrong(&location, text, problems);
        return None;
    };
    let before = problems.len();
    let mut lines = syntax::parse(&file, text, problems);
    if problems.len() > before {
        return None;
    }
    let (Some(line), true) = (lines.pop(), lines.is_empty()) else {
        wrong(&location, "not one directive, expected one an entry", problems);
        return None;
    };
    own_only(block, &line, problems);
    no_include(&line, problems);
    if problems.len() == before && key(block, &line) != name {
        let text = format!("the text of another entry, expected that of {name:?}");
        wrong(&location, text, problems);
    }
    (problems.len() == before).then(|| (block.to_string(), line))
}

/// Notes a directive that each gatekeeper says for itself.
fn own_only(block: &str, line: &Directive, problems: &mut Vec<Problem>) {
    if PER_GATEKEEPER.contains(&(block, &line.name.text)) {
        let text = format!(
            "{:?} belongs to one gatekeeper, expected it in that one's own configuration",
            line.name.text
        );
        wrong(&line.name.location, text, problems);
    }
}

/// Notes an `include`: an entry names no files of the gatekeeper that takes it.
fn no_include(line: &Directive, problems: &mut Vec<Problem>) {
    if line.name.text == "include" {
        wrong(&line.name.location, "an entry includes no file, expected the lines themselves", problems);
    }
    line.block.iter().flatten().for_each(|inner| no_include(inner, problems));
}

/// The name of a directive's entry: what may come more than once has its words in it.
fn key(block: &str, line: &Directive) -> String {
    let words: &[Token] = match line.name.text.as_str() {
        "budget" => &line.args,
        "share-of" => line.args.get(..1).unwrap_or_default(),
        _ => &[],
    };
    words.iter().fold(format!("{block}/{}", line.name.text), |name, word| name + " " + &word.text)
}

/// Splits a file with the fleet's settings into entries, by name, in the order of the file. Names of districts and
/// classes are not checked here: each gatekeeper holds them against its own.
pub fn entries(path: &Path) -> Result<Vec<(String, String)>, Vec<Problem>> {
    let mut problems = Vec::new();
    let lines = syntax::read(path, &mut problems);
    let mut all = Vec::new();
    for line in &lines {
        let block = line.name.text.as_str();
        if !FLEET_BLOCKS.contains(&block) {
            let text = format!(
                "{block:?} is no part of a fleet's settings, expected one of: {}",
                FLEET_BLOCKS.join(", ")
            );
            wrong(&line.name.location, text, &mut problems);
            continue;
        }
        for inner in line.block.iter().flatten() {
            own_only(block, inner, &mut problems);
            all.push((key(block, inner), inner.to_string()));
        }
    }
    check::conf(&lines, &Names::default(), &mut problems);
    match problems.is_empty() {
        true => Ok(all),
        false => Err(in_order(problems)),
    }
}
