//! Which directives there are, and what each may say.

use crate::problem::{Location, Problem};
use crate::syntax::{Directive, Token};
use crate::{crossings, fleet};
use crate::{Conf, Names};

/// How alike a word must be to one that is known for it to be named.
const MIN_SIMILARITY: f64 = 0.8;

/// Notes a mistake.
pub(crate) fn wrong(location: &Location, what: impl Into<String>, problems: &mut Vec<Problem>) {
    problems.push(Problem { location: location.clone(), description: what.into() });
}

/// What was expected: the word that was likely meant, or all that there are.
pub(crate) fn expected(word: &str, known: &[&str]) -> String {
    let alike = known.iter().map(|k| (strsim::jaro_winkler(word, k), *k));
    match alike.filter(|a| a.0 >= MIN_SIMILARITY).max_by(|a, b| a.0.total_cmp(&b.0)) {
        Some((_, meant)) => format!("did you mean {meant:?}?"),
        None if known.is_empty() => "there is none".into(),
        None => format!("expected one of: {}", known.join(", ")),
    }
}

/// Whether a word is one of these; else a mistake.
pub(crate) fn one_of(
    word: &Token,
    what: &str,
    known: Option<&[String]>,
    problems: &mut Vec<Problem>,
) -> bool {
    let Some(known) = known else { return true };
    let known: Vec<&str> = known.iter().map(String::as_str).collect();
    let found = known.contains(&word.text.as_str());
    if !found {
        let text = format!("unknown {what} {:?}, {}", word.text, expected(&word.text, &known));
        wrong(&word.location, text, problems);
    }
    found
}

/// Notes a directive that is not known.
pub(crate) fn unknown(line: &Directive, known: &[&str], problems: &mut Vec<Problem>) {
    let name = &line.name;
    let text = format!("unknown directive {:?}, {}", name.text, expected(&name.text, known));
    wrong(&name.location, text, problems);
}

/// Notes a directive that comes twice where one is meant; returns whether it is the first.
pub(crate) fn once(
    seen: &mut Vec<(String, Location)>,
    line: &Directive,
    problems: &mut Vec<Problem>,
) -> bool {
    let name = &line.name;
    if let Some((_, first)) = seen.iter().find(|s| s.0 == name.text) {
        let text = format!("a second {:?}, expected one; the first is at {first}", name.text);
        wrong(&name.location, text, problems);
        return false;
    }
    seen.push((name.text.clone(), name.location.clone()));
    true
}

/// Notes a block where none belongs, or none where one does.
pub(crate) fn block(line: &Directive, wanted: bool, problems: &mut Vec<Problem>) {
    match (&line.block, wanted) {
        (Some(_), false) => {
            let text = format!("{:?} takes no block, expected the end of the line", line.name.text);
            wrong(&line.name.location, text, problems);
        }
        (None, true) => {
            let text = format!("{:?} without its block, expected `{{`", line.name.text);
            wrong(&line.name.location, text, problems);
        }
        _ => {}
    }
}

/// Notes too few or too many words.
pub(crate) fn words(line: &Directive, form: &str, sound: bool, problems: &mut Vec<Problem>) -> bool {
    if !sound {
        wrong(&line.name.location, format!("not the words of this directive, expected: {form}"), problems);
    }
    sound
}

/// The names that count: the platform's, else those that the file declares.
fn names(lines: &[Directive], platform: &Names) -> Names {
    let declared = |name: &str| {
        let found = lines.iter().find(|l| l.name.text == name)?;
        Some(found.args.iter().map(|a| a.text.clone()).collect())
    };
    Names {
        districts: platform.districts.clone().or_else(|| declared("districts")),
        classes: platform.classes.clone().or_else(|| declared("classes")),
    }
}

/// Checks a whole file.
pub(crate) fn conf(lines: &[Directive], platform: &Names, problems: &mut Vec<Problem>) -> Conf {
    const KNOWN: &[&str] = &["classes", "control", "crossings", "districts", "fleet", "include"];
    let names = names(lines, platform);
    let (mut conf, mut seen) = (Conf::default(), Vec::new());
    for line in lines {
        match line.name.text.as_str() {
            "classes" | "districts" => {
                once(&mut seen, line, problems);
                block(line, false, problems);
                words(line, &format!("{} NAME...", line.name.text), !line.args.is_empty(), problems);
            }
            "control" => {
                once(&mut seen, line, problems);
                block(line, false, problems);
                if words(line, "control PATH", line.args.len() == 1, problems) {
                    conf.control = Some(line.args[0].text.clone().into());
                }
            }
            "crossings" => {
                once(&mut seen, line, problems);
                block(line, true, problems);
                words(line, "crossings {", line.args.is_empty(), problems);
                let inside = line.block.as_deref().unwrap_or_default();
                conf.crossings = Some(crossings::read(inside, &names, problems));
            }
            "fleet" => {
                once(&mut seen, line, problems);
                block(line, true, problems);
                words(line, "fleet {", line.args.is_empty(), problems);
                conf.fleet = Some(fleet::read(line, &names, problems));
            }
            _ => unknown(line, KNOWN, problems),
        }
    }
    conf
}
