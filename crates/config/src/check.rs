//! Checks the directives of a configuration file and their arguments.

use crate::problem::{Location, Problem};
use crate::syntax::{Directive, Token};
use crate::{crossings, fleet};
use crate::{Conf, Names};

/// Minimum similarity (Jaro-Winkler, 0 to 1) of an unknown name to a known one for the known one to be suggested.
const MIN_SIMILARITY: f64 = 0.8;

/// Records a problem.
pub(crate) fn report(location: &Location, what: impl Into<String>, problems: &mut Vec<Problem>) {
    problems.push(Problem { location: location.clone(), description: what.into() });
}

/// Describes what was expected instead of `word`: the similar known name, or all known names.
pub(crate) fn expected(word: &str, known: &[&str]) -> String {
    let alike = known.iter().map(|k| (strsim::jaro_winkler(word, k), *k));
    match alike.filter(|a| a.0 >= MIN_SIMILARITY).max_by(|a, b| a.0.total_cmp(&b.0)) {
        Some((_, meant)) => format!("did you mean {meant:?}?"),
        None if known.is_empty() => "there is none".into(),
        None => format!("expected one of: {}", known.join(", ")),
    }
}

/// Returns whether a token is one of the known names; otherwise records a problem. Any name passes if `known` is `None`.
pub(crate) fn check_known(
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
        report(&word.location, text, problems);
    }
    found
}

/// Records a problem for an unknown directive.
pub(crate) fn report_unknown(line: &Directive, known: &[&str], problems: &mut Vec<Problem>) {
    let name = &line.name;
    let text = format!("unknown directive {:?}, {}", name.text, expected(&name.text, known));
    report(&name.location, text, problems);
}

/// Records a problem if a directive that may occur once occurs again; returns whether it is the first one.
pub(crate) fn check_once(
    seen: &mut Vec<(String, Location)>,
    line: &Directive,
    problems: &mut Vec<Problem>,
) -> bool {
    let name = &line.name;
    if let Some((_, first)) = seen.iter().find(|s| s.0 == name.text) {
        let text = format!("a second {:?}, expected one; the first is at {first}", name.text);
        report(&name.location, text, problems);
        return false;
    }
    seen.push((name.text.clone(), name.location.clone()));
    true
}

/// Records a problem for a block that is not allowed, or that is missing.
pub(crate) fn check_block(line: &Directive, wanted: bool, problems: &mut Vec<Problem>) {
    match (&line.block, wanted) {
        (Some(_), false) => {
            let text = format!("{:?} takes no block, expected the end of the line", line.name.text);
            report(&line.name.location, text, problems);
        }
        (None, true) => {
            let text = format!("{:?} without its block, expected `{{`", line.name.text);
            report(&line.name.location, text, problems);
        }
        _ => {}
    }
}

/// Records a problem if the arguments of a directive are not `valid`; `form` shows the expected ones. Returns `valid`.
pub(crate) fn check_args(line: &Directive, form: &str, valid: bool, problems: &mut Vec<Problem>) -> bool {
    if !valid {
        report(&line.name.location, format!("invalid arguments, expected: {form}"), problems);
    }
    valid
}

/// The names to check against: those of the platform, or else those that the file declares.
fn effective_names(lines: &[Directive], platform: &Names) -> Names {
    let declared = |name: &str| {
        let found = lines.iter().find(|l| l.name.text == name)?;
        Some(found.args.iter().map(|a| a.text.clone()).collect())
    };
    Names {
        districts: platform.districts.clone().or_else(|| declared("districts")),
        classes: platform.classes.clone().or_else(|| declared("classes")),
    }
}

/// Checks the directives of a whole file and returns the configuration.
pub(crate) fn check_file(lines: &[Directive], platform: &Names, problems: &mut Vec<Problem>) -> Conf {
    const KNOWN: &[&str] = &["classes", "control", "crossings", "districts", "fleet", "include"];
    let names = effective_names(lines, platform);
    let (mut conf, mut seen) = (Conf::default(), Vec::new());
    for line in lines {
        match line.name.text.as_str() {
            "classes" | "districts" => {
                check_once(&mut seen, line, problems);
                check_block(line, false, problems);
                check_args(line, &format!("{} NAME...", line.name.text), !line.args.is_empty(), problems);
            }
            "control" => {
                check_once(&mut seen, line, problems);
                check_block(line, false, problems);
                if check_args(line, "control PATH", line.args.len() == 1, problems) {
                    conf.control = Some(line.args[0].text.clone().into());
                }
            }
            "crossings" => {
                check_once(&mut seen, line, problems);
                check_block(line, true, problems);
                check_args(line, "crossings {", line.args.is_empty(), problems);
                let inside = line.block.as_deref().unwrap_or_default();
                conf.crossings = Some(crossings::read(inside, &names, problems));
            }
            "fleet" => {
                check_once(&mut seen, line, problems);
                check_block(line, true, problems);
                check_args(line, "fleet {", line.args.is_empty(), problems);
                conf.fleet = Some(fleet::read(line, &names, problems));
            }
            _ => report_unknown(line, KNOWN, problems),
        }
    }
    conf
}
