//! Reads the block `crossings`: the budgets for set-ups to other districts, and the settings around them.

use hollypaddle_crossing::{
    Amount, ClassInfo, District, OverdraftSettings, Rate, RatioLimit, Rule, Scope, Settings,
};

use crate::check::{check_args, check_block, check_known, check_once, report, report_unknown};
use crate::problem::{Location, Problem};
use crate::syntax::{Directive, Token};
use crate::values::{count, parse_arg, percent, rate, window};
use crate::Names;

/// Maximum number of budgets; every crossing is checked against each of them.
const MAX_BUDGETS: usize = 256;
/// Default overdraft of a budget, in set-ups.
const DEFAULT_OVERDRAFT: f64 = 20.0;
/// Default floor of a budget, as a ratio of its limit.
const DEFAULT_FLOOR_RATIO: f64 = 0.25;

/// A budget whose scope is given by names.
#[derive(Clone, Debug, PartialEq)]
pub struct BudgetConf {
    /// District of origin and of destination; `None` covers all pairs.
    pub pair: Option<(String, String)>,
    /// The class; `None` covers all classes.
    pub class: Option<String>,
    /// The limits. The rule's own scope is left at its default.
    pub rule: Rule,
}

/// Contents of the block `crossings`.
#[derive(Clone, Debug, PartialEq)]
pub struct Crossings {
    /// District of this gatekeeper, if it overrides the one from the platform.
    pub own: Option<String>,
    /// Names of the urgent classes.
    pub urgent: Vec<String>,
    /// When bending starts and ends.
    pub bend: OverdraftSettings,
    /// Fractions of the fleet's limits that certain gatekeepers get, by gatekeeper name.
    pub share_of: Vec<(String, f64)>,
    /// Interval between two log events with the crossing counts, in seconds; `None` logs none.
    pub log_every: Option<f64>,
    /// The budgets.
    pub budgets: Vec<BudgetConf>,
}

/// Data from the platform that the block refers to.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Platform {
    /// This gatekeeper's name.
    pub name: String,
    /// Names of the districts.
    pub districts: Vec<String>,
    /// District of this gatekeeper, an index into `districts`.
    pub own: Option<usize>,
    /// Names of the classes with their goal times in seconds.
    pub classes: Vec<(String, f64)>,
    /// Number of gatekeepers that share the servers.
    pub gatekeepers: u32,
}

impl Crossings {
    /// Fraction of a fleet limit that this gatekeeper gets: its configured share, or an even part of what the configured
    /// shares leave.
    fn part(&self, name: &str, gatekeepers: u32) -> f64 {
        if let Some((_, part)) = self.share_of.iter().find(|s| s.0 == name) {
            return *part;
        }
        let configured: f64 = self.share_of.iter().map(|s| s.1).sum();
        let others = f64::from(gatekeepers) - self.share_of.len() as f64;
        (1.0 - configured).max(0.0) / others.max(1.0)
    }

    /// Names of districts and classes that the block uses but the platform does not have.
    pub fn missing(&self, platform: &Platform) -> Vec<String> {
        let districts = self.budgets.iter().filter_map(|b| b.pair.as_ref()).flat_map(|(a, b)| [a, b]);
        let districts = districts.chain(&self.own).filter(|d| !platform.districts.contains(d));
        let classes = self.budgets.iter().filter_map(|b| b.class.as_ref()).chain(&self.urgent);
        let classes = classes.filter(|c| !platform.classes.iter().any(|known| known.0 == **c));
        districts.chain(classes).cloned().collect()
    }

    /// Resolves all names and returns the settings of the crossing gate. A rule for a district or class that the platform
    /// does not have covers nothing and is left out; the checks reject such a file before.
    pub fn settings(&self, platform: &Platform) -> Settings {
        let district = |name: &String| {
            let at = platform.districts.iter().position(|d| d == name)?;
            Some(District(at as u16))
        };
        let class = |name: &String| platform.classes.iter().position(|c| c.0 == *name);
        let rules = self.budgets.iter().filter_map(|budget| {
            let pair = match &budget.pair {
                Some((from, to)) => Some((district(from)?, district(to)?)),
                None => None,
            };
            let class = match &budget.class {
                Some(name) => Some(class(name)?),
                None => None,
            };
            Some(Rule { scope: Scope { pair, class }, ..budget.rule })
        });
        let platform_district = platform.own.map(|own| District(own as u16));
        let info = |(name, goal_time): &(String, f64)| ClassInfo {
            name: name.clone(),
            goal_time_s: *goal_time,
            urgent: self.urgent.contains(name),
        };
        Settings {
            districts: platform.districts.clone(),
            own_district: self
                .own
                .as_ref()
                .and_then(district)
                .or(platform_district)
                .unwrap_or(District::UNKNOWN),
            classes: platform.classes.iter().map(info).collect(),
            fleet_share: self.part(&platform.name, platform.gatekeepers),
            overdraft: self.bend,
            rules: rules.collect(),
        }
    }
}

type Problems<'p> = &'p mut Vec<Problem>;

/// Reads the block.
pub(crate) fn read(lines: &[Directive], names: &Names, problems: Problems) -> Crossings {
    const KNOWN: &[&str] = &["bend", "budget", "include", "log-every", "own", "share-of", "urgent"];
    let (districts, classes) = (names.districts.as_deref(), names.classes.as_deref());
    let mut conf = Crossings {
        own: None,
        urgent: Vec::new(),
        bend: OverdraftSettings::default(),
        share_of: Vec::new(),
        log_every: None,
        budgets: Vec::new(),
    };
    let (mut seen, mut scopes): (_, Vec<(BudgetConf, Location)>) = (Vec::new(), Vec::new());
    for line in lines {
        let name = line.name.text.as_str();
        if !matches!(name, "budget") {
            check_block(line, false, problems);
        }
        match name {
            "own" => {
                check_once(&mut seen, line, problems);
                if check_args(line, "own DISTRICT", line.args.len() == 1, problems) {
                    check_known(&line.args[0], "district", districts, problems);
                    conf.own = Some(line.args[0].text.clone());
                }
            }
            "urgent" => {
                check_once(&mut seen, line, problems);
                check_args(line, "urgent CLASS...", !line.args.is_empty(), problems);
                for word in &line.args {
                    check_known(word, "class", classes, problems);
                    conf.urgent.push(word.text.clone());
                }
            }
            "log-every" => {
                check_once(&mut seen, line, problems);
                if check_args(line, "log-every TIME", line.args.len() == 1, problems) {
                    conf.log_every = parse_arg(&line.args[0], window, problems);
                }
            }
            "bend" => {
                check_once(&mut seen, line, problems);
                conf.bend = bend(line, problems);
            }
            "share-of" => share_of(line, &mut conf, problems),
            "budget" => {
                check_block(line, true, problems);
                if line.block.is_none() {
                    continue;
                }
                let Some(budget) = budget(line, names, problems) else { continue };
                let same = |b: &&(BudgetConf, Location)| b.0.pair == budget.pair && b.0.class == budget.class;
                if let Some((_, first)) = scopes.iter().find(same) {
                    let text = format!("a second budget of one scope, expected one; the first is at {first}");
                    report(&line.name.location, text, problems);
                }
                scopes.push((budget.clone(), line.name.location.clone()));
                conf.budgets.push(budget);
                if conf.budgets.len() == MAX_BUDGETS + 1 {
                    let text = format!("too many budgets, expected at most {MAX_BUDGETS}");
                    report(&line.name.location, text, problems);
                }
            }
            _ => report_unknown(line, KNOWN, problems),
        }
    }
    conf
}

fn share_of(line: &Directive, conf: &mut Crossings, problems: Problems) {
    if !check_args(line, "share-of GATEKEEPER SHARE", line.args.len() == 2, problems) {
        return;
    }
    let (name, part) = (&line.args[0], parse_arg(&line.args[1], percent, problems));
    if conf.share_of.iter().any(|s| s.0 == name.text) {
        report(&name.location, format!("a second share of {:?}, expected one", name.text), problems);
    }
    conf.share_of.push((name.text.clone(), part.unwrap_or(0.0)));
    let sum: f64 = conf.share_of.iter().map(|s| s.1).sum();
    if sum > 1.0 + 1e-9 {
        let text = format!("the shares add up to {:.0}%, expected at most 100%", sum * 100.0);
        report(&line.args[1].location, text, problems);
    }
}

/// Reads pairs of a keyword and its value, such as `start 10% end 2%`; each keyword may occur once.
fn pairs<'l>(
    line: &'l Directive,
    form: &str,
    known: &[&str],
    problems: Problems,
) -> Vec<(&'l str, &'l Token)> {
    let mut found: Vec<(&str, &Token)> = Vec::new();
    if !check_args(line, form, line.args.len().is_multiple_of(2) && !line.args.is_empty(), problems) {
        return found;
    }
    for pair in line.args.chunks(2) {
        let name = pair[0].text.as_str();
        if !known.contains(&name) || found.iter().any(|f| f.0 == name) {
            report(&pair[0].location, format!("{name:?} is not valid here, expected: {form}"), problems);
        } else {
            found.push((name, &pair[1]));
        }
    }
    found
}

fn bend(line: &Directive, problems: Problems) -> OverdraftSettings {
    let mut bend = OverdraftSettings::default();
    let form = "bend [start SHARE] [end SHARE] [window TIME]";
    for (name, value) in pairs(line, form, &["start", "end", "window"], problems) {
        match name {
            "start" => bend.start_ratio = parse_arg(value, percent, problems).unwrap_or(bend.start_ratio),
            "end" => bend.end_ratio = parse_arg(value, percent, problems).unwrap_or(bend.end_ratio),
            _ => bend.window_s = parse_arg(value, window, problems).unwrap_or(bend.window_s),
        }
    }
    if bend.end_ratio >= bend.start_ratio {
        let text = "bending ends at or above its start, expected a lower end, so that it does not flap";
        report(&line.name.location, text, problems);
    }
    bend
}

/// The names of a scope: the pair of districts and the class.
type ScopeNames = (Option<(String, String)>, Option<String>);

/// Reads the scope of a budget: `all`, or `from A to B`, `class C`, or both.
fn scope(line: &Directive, names: &Names, problems: Problems) -> Option<ScopeNames> {
    const FORM: &str = "budget all {, or budget [from DISTRICT to DISTRICT] [class CLASS] {";
    let text: Vec<&str> = line.args.iter().map(|a| a.text.as_str()).collect();
    let (pair, class) = match text[..] {
        ["all"] => (None, None),
        ["from", _, "to", _] => (Some((1, 3)), None),
        ["class", _] => (None, Some(1)),
        ["from", _, "to", _, "class", _] => (Some((1, 3)), Some(5)),
        ["class", _, "from", _, "to", _] => (Some((3, 5)), Some(1)),
        _ => {
            check_args(line, FORM, false, problems);
            return None;
        }
    };
    let args = &line.args;
    let district = |at: usize, problems: Problems| {
        check_known(&args[at], "district", names.districts.as_deref(), problems);
        args[at].text.clone()
    };
    let pair = pair.map(|(from, to)| (district(from, problems), district(to, problems)));
    if let Some((from, to)) = &pair {
        if from == to {
            report(
                &line.name.location,
                format!("from {from} to {to} does not cross districts, expected two different ones"),
                problems,
            );
        }
    }
    if let Some(at) = class {
        check_known(&args[at], "class", names.classes.as_deref(), problems);
    }
    Some((pair, class.map(|at| args[at].text.clone())))
}

fn budget(line: &Directive, names: &Names, problems: Problems) -> Option<BudgetConf> {
    const KNOWN: &[&str] = &["floor", "include", "overdraft", "rate", "share", "standing"];
    let scope = scope(line, names, problems);
    let overdraft = Amount { value: DEFAULT_OVERDRAFT, whole_fleet: false };
    let none = Rule {
        scope: Scope::default(),
        rate: None,
        ratio: None,
        standing: None,
        overdraft,
        floor: DEFAULT_FLOOR_RATIO,
    };
    let (mut rule, mut seen) = (none, Vec::new());
    for inner in line.block.as_deref().unwrap_or_default() {
        check_block(inner, false, problems);
        let known = KNOWN.contains(&inner.name.text.as_str());
        if known && !check_once(&mut seen, inner, problems) {
            continue;
        }
        let (fleet, args): (bool, Vec<&Token>) = match inner.args.split_last() {
            Some((last, rest)) if last.text == "fleet" => (true, rest.iter().collect()),
            _ => (false, inner.args.iter().collect()),
        };
        let amount = |value| Amount { value, whole_fleet: fleet };
        match (inner.name.text.as_str(), &args[..]) {
            ("rate", [per_s]) => {
                rule.rate = parse_arg(per_s, rate, problems)
                    .map(|r| Rate { per_s: amount(r), burst: amount(r.max(1.0)) });
            }
            ("rate", [per_s, word, burst]) if word.text == "burst" => {
                let burst_at = burst;
                let (per_s, burst) = (parse_arg(per_s, rate, problems), parse_arg(burst, count, problems));
                if burst == Some(0.0) {
                    report(&burst_at.location, "a burst of 0 admits nothing, expected 1 or more", problems);
                }
                rule.rate = per_s.zip(burst).map(|(r, b)| Rate { per_s: amount(r), burst: amount(b) });
            }
            ("share", [part, over, time]) if over.text == "over" && !fleet => {
                let (part, window) = (parse_arg(part, percent, problems), parse_arg(time, window, problems));
                rule.ratio =
                    part.zip(window).map(|(part, window)| RatioLimit { max_ratio: part, window_s: window });
            }
            ("standing", [most]) => rule.standing = parse_arg(most, count, problems).map(amount),
            ("overdraft", [most]) => {
                rule.overdraft = parse_arg(most, count, problems).map_or(overdraft, amount);
            }
            ("floor", [part]) if !fleet => {
                rule.floor = parse_arg(part, percent, problems).unwrap_or(DEFAULT_FLOOR_RATIO)
            }
            ("rate", _) => drop(check_args(inner, "rate RATE [burst COUNT] [fleet]", false, problems)),
            ("share", _) => drop(check_args(inner, "share SHARE over TIME", false, problems)),
            ("standing", _) => drop(check_args(inner, "standing COUNT [fleet]", false, problems)),
            ("overdraft", _) => drop(check_args(inner, "overdraft COUNT [fleet]", false, problems)),
            ("floor", _) => drop(check_args(inner, "floor SHARE", false, problems)),
            _ => report_unknown(inner, KNOWN, problems),
        }
    }
    if !seen.iter().any(|(name, _)| matches!(name.as_str(), "rate" | "share" | "standing")) {
        let text = "a budget without a limit, expected rate, share or standing";
        report(&line.name.location, text, problems);
    }
    let (pair, class) = scope?;
    Some(BudgetConf { pair, class, rule })
}
