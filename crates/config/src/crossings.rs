//! The block `crossings`.

use hollypaddle_crossing::{
    Amount, ClassInfo, District, OverdraftSettings, Rate, RatioLimit, Rule, Scope, Settings,
};

use crate::check::{block, once, one_of, unknown, words, wrong};
use crate::problem::{Place, Problem};
use crate::syntax::{Directive, Word};
use crate::values::{count, percent, rate, take, window};
use crate::Names;

/// Most budgets: each is asked on every crossing.
const MOST_BUDGETS: usize = 256;
/// Defaults.
const OVERDRAFT: f64 = 20.0;
const FLOOR: f64 = 0.25;

/// A budget, its scope by names.
#[derive(Clone, Debug, PartialEq)]
pub struct RuleConf {
    /// From which district to which.
    pub pair: Option<(String, String)>,
    /// Of which class.
    pub class: Option<String>,
    /// The limits; its scope is not filled in.
    pub rule: Rule,
}

/// What the block says.
#[derive(Clone, Debug, PartialEq)]
pub struct Crossings {
    /// The own district, where the platform's is not to be taken.
    pub own: Option<String>,
    /// The urgent classes.
    pub urgent: Vec<String>,
    /// When bending starts and ends.
    pub bend: OverdraftSettings,
    /// Parts of the fleet's figures that gatekeepers take, by name.
    pub share_of: Vec<(String, f64)>,
    /// Seconds between two log events with the account.
    pub log_every: Option<f64>,
    /// The budgets.
    pub budgets: Vec<RuleConf>,
}

/// What the platform tells that the block builds on.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Platform {
    /// This gatekeeper's name.
    pub name: String,
    /// The districts.
    pub districts: Vec<String>,
    /// The own district, an index into them.
    pub own: Option<usize>,
    /// The classes and their wanted times, in seconds.
    pub classes: Vec<(String, f64)>,
    /// How many gatekeepers share the servers.
    pub fronts: u32,
}

impl Crossings {
    /// This gatekeeper's part of a fleet's figure: its own share, or an even one of what others leave.
    fn part(&self, name: &str, fronts: u32) -> f64 {
        if let Some((_, part)) = self.share_of.iter().find(|s| s.0 == name) {
            return *part;
        }
        let told: f64 = self.share_of.iter().map(|s| s.1).sum();
        let others = f64::from(fronts) - self.share_of.len() as f64;
        (1.0 - told).max(0.0) / others.max(1.0)
    }

    /// Names of districts and classes that the block uses and the platform does not have.
    pub fn missing(&self, platform: &Platform) -> Vec<String> {
        let districts = self.budgets.iter().filter_map(|b| b.pair.as_ref()).flat_map(|(a, b)| [a, b]);
        let districts = districts.chain(&self.own).filter(|d| !platform.districts.contains(d));
        let classes = self.budgets.iter().filter_map(|b| b.class.as_ref()).chain(&self.urgent);
        let classes = classes.filter(|c| !platform.classes.iter().any(|known| known.0 == **c));
        districts.chain(classes).cloned().collect()
    }

    /// The settings of the gate, with all names resolved. A rule of a district or class that the platform
    /// does not have covers nothing and is left out; checks refuse such a file before.
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
        let told = platform.own.map(|own| District(own as u16));
        let info = |(name, goal_time): &(String, f64)| ClassInfo {
            name: name.clone(),
            goal_time_s: *goal_time,
            urgent: self.urgent.contains(name),
        };
        Settings {
            districts: platform.districts.clone(),
            own_district: self.own.as_ref().and_then(district).or(told).unwrap_or(District::UNKNOWN),
            classes: platform.classes.iter().map(info).collect(),
            fleet_share: self.part(&platform.name, platform.fronts),
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
    let (mut seen, mut scopes): (_, Vec<(RuleConf, Place)>) = (Vec::new(), Vec::new());
    for line in lines {
        let name = line.name.text.as_str();
        if !matches!(name, "budget") {
            block(line, false, problems);
        }
        match name {
            "own" => {
                once(&mut seen, line, problems);
                if words(line, "own DISTRICT", line.args.len() == 1, problems) {
                    one_of(&line.args[0], "district", districts, problems);
                    conf.own = Some(line.args[0].text.clone());
                }
            }
            "urgent" => {
                once(&mut seen, line, problems);
                words(line, "urgent CLASS...", !line.args.is_empty(), problems);
                for word in &line.args {
                    one_of(word, "class", classes, problems);
                    conf.urgent.push(word.text.clone());
                }
            }
            "log-every" => {
                once(&mut seen, line, problems);
                if words(line, "log-every TIME", line.args.len() == 1, problems) {
                    conf.log_every = take(&line.args[0], window, problems);
                }
            }
            "bend" => {
                once(&mut seen, line, problems);
                conf.bend = bend(line, problems);
            }
            "share-of" => share_of(line, &mut conf, problems),
            "budget" => {
                block(line, true, problems);
                if line.block.is_none() {
                    continue;
                }
                let Some(budget) = budget(line, names, problems) else { continue };
                let same = |b: &&(RuleConf, Place)| b.0.pair == budget.pair && b.0.class == budget.class;
                if let Some((_, first)) = scopes.iter().find(same) {
                    let text = format!("a second budget of one scope, expected one; the first is at {first}");
                    wrong(&line.name.place, text, problems);
                }
                scopes.push((budget.clone(), line.name.place.clone()));
                conf.budgets.push(budget);
                if conf.budgets.len() == MOST_BUDGETS + 1 {
                    let text = format!("too many budgets, expected at most {MOST_BUDGETS}");
                    wrong(&line.name.place, text, problems);
                }
            }
            _ => unknown(line, KNOWN, problems),
        }
    }
    conf
}

fn share_of(line: &Directive, conf: &mut Crossings, problems: Problems) {
    if !words(line, "share-of GATEKEEPER SHARE", line.args.len() == 2, problems) {
        return;
    }
    let (name, part) = (&line.args[0], take(&line.args[1], percent, problems));
    if conf.share_of.iter().any(|s| s.0 == name.text) {
        wrong(&name.place, format!("a second share of {:?}, expected one", name.text), problems);
    }
    conf.share_of.push((name.text.clone(), part.unwrap_or(0.0)));
    let sum: f64 = conf.share_of.iter().map(|s| s.1).sum();
    if sum > 1.0 + 1e-9 {
        let text = format!("the shares add up to {:.0}%, expected at most 100%", sum * 100.0);
        wrong(&line.args[1].place, text, problems);
    }
}

/// Pairs of a word and its value, as `start 10% end 2%`; each word once.
fn pairs<'l>(
    line: &'l Directive,
    form: &str,
    known: &[&str],
    problems: Problems,
) -> Vec<(&'l str, &'l Word)> {
    let mut found: Vec<(&str, &Word)> = Vec::new();
    if !words(line, form, line.args.len().is_multiple_of(2) && !line.args.is_empty(), problems) {
        return found;
    }
    for pair in line.args.chunks(2) {
        let name = pair[0].text.as_str();
        if !known.contains(&name) || found.iter().any(|f| f.0 == name) {
            wrong(&pair[0].place, format!("{name:?} makes no sense here, expected: {form}"), problems);
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
            "start" => bend.start_ratio = take(value, percent, problems).unwrap_or(bend.start_ratio),
            "end" => bend.end_ratio = take(value, percent, problems).unwrap_or(bend.end_ratio),
            _ => bend.window_s = take(value, window, problems).unwrap_or(bend.window_s),
        }
    }
    if bend.end_ratio >= bend.start_ratio {
        let text = "bending ends at or above its start, expected a lower end, so that it does not flap";
        wrong(&line.name.place, text, problems);
    }
    bend
}

/// A scope by its names: the pair and the class.
type ScopeNames = (Option<(String, String)>, Option<String>);

/// The scope: `all`, or `from A to B`, `class C`, or both.
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
            words(line, FORM, false, problems);
            return None;
        }
    };
    let args = &line.args;
    let district = |at: usize, problems: Problems| {
        one_of(&args[at], "district", names.districts.as_deref(), problems);
        args[at].text.clone()
    };
    let pair = pair.map(|(from, to)| (district(from, problems), district(to, problems)));
    if let Some((from, to)) = &pair {
        if from == to {
            wrong(&line.name.place, format!("from {from} to {to} crosses nothing, expected two"), problems);
        }
    }
    if let Some(at) = class {
        one_of(&args[at], "class", names.classes.as_deref(), problems);
    }
    Some((pair, class.map(|at| args[at].text.clone())))
}

fn budget(line: &Directive, names: &Names, problems: Problems) -> Option<RuleConf> {
    const KNOWN: &[&str] = &["floor", "include", "overdraft", "rate", "share", "standing"];
    let scope = scope(line, names, problems);
    let overdraft = Amount { value: OVERDRAFT, whole_fleet: false };
    let none =
        Rule { scope: Scope::default(), rate: None, ratio: None, standing: None, overdraft, floor: FLOOR };
    let (mut rule, mut seen) = (none, Vec::new());
    for inner in line.block.as_deref().unwrap_or_default() {
        block(inner, false, problems);
        let known = KNOWN.contains(&inner.name.text.as_str());
        if known && !once(&mut seen, inner, problems) {
            continue;
        }
        let (fleet, args): (bool, Vec<&Word>) = match inner.args.split_last() {
            Some((last, rest)) if last.text == "fleet" => (true, rest.iter().collect()),
            _ => (false, inner.args.iter().collect()),
        };
        let amount = |value| Amount { value, whole_fleet: fleet };
        match (inner.name.text.as_str(), &args[..]) {
            ("rate", [per_s]) => {
                rule.rate =
                    take(per_s, rate, problems).map(|r| Rate { per_s: amount(r), burst: amount(r.max(1.0)) });
            }
            ("rate", [per_s, word, burst]) if word.text == "burst" => {
                let burst_at = burst;
                let (per_s, burst) = (take(per_s, rate, problems), take(burst, count, problems));
                if burst == Some(0.0) {
                    wrong(&burst_at.place, "a burst of 0 lets nothing go, expected 1 or more", problems);
                }
                rule.rate = per_s.zip(burst).map(|(r, b)| Rate { per_s: amount(r), burst: amount(b) });
            }
            ("share", [part, over, time]) if over.text == "over" && !fleet => {
                let (part, window) = (take(part, percent, problems), take(time, window, problems));
                rule.ratio =
                    part.zip(window).map(|(part, window)| RatioLimit { max_ratio: part, window_s: window });
            }
            ("standing", [most]) => rule.standing = take(most, count, problems).map(amount),
            ("overdraft", [most]) => {
                rule.overdraft = take(most, count, problems).map_or(overdraft, amount);
            }
            ("floor", [part]) if !fleet => rule.floor = take(part, percent, problems).unwrap_or(FLOOR),
            ("rate", _) => drop(words(inner, "rate RATE [burst COUNT] [fleet]", false, problems)),
            ("share", _) => drop(words(inner, "share SHARE over TIME", false, problems)),
            ("standing", _) => drop(words(inner, "standing COUNT [fleet]", false, problems)),
            ("overdraft", _) => drop(words(inner, "overdraft COUNT [fleet]", false, problems)),
            ("floor", _) => drop(words(inner, "floor SHARE", false, problems)),
            _ => unknown(inner, KNOWN, problems),
        }
    }
    if !seen.iter().any(|(name, _)| matches!(name.as_str(), "rate" | "share" | "standing")) {
        let text = "a budget without a limit, expected rate, share or standing";
        wrong(&line.name.place, text, problems);
    }
    let (pair, class) = scope?;
    Some(RuleConf { pair, class, rule })
}
