//! Reads the block `fleet`: the members or the tier of relays, and the settings of the links between them.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use hollypaddle_lending::MAX_LENT_RATIO;
use hollypaddle_membership::MemberId;
use hollypaddle_replica::Settings;

use crate::check::{check_args, check_block, check_known, check_once, report, report_unknown};
use crate::problem::Problem;
use crate::syntax::{Directive, Token};
use crate::values::{bytes_rate, count, duration, leaf_rate, parse_arg, percent};
use crate::Names;

/// Maximum number of members; each has a link to every other one.
pub const MAX_MEMBERS: usize = 64;

/// Maximum number of relays; each has a link to every other one.
pub const MAX_RELAYS: usize = 16;

/// Highest value for the maximum number of leaves of a relay; each leaf costs the relay a descriptor and a buffer.
pub const MAX_LEAVES: usize = 4096;

/// Maximum length of the name of a relay, zone, region or service, in bytes; these names are sent on links.
pub const MAX_NAME_BYTES: usize = 64;

/// Default for the maximum number of leaves of a relay.
const DEFAULT_MAX_LEAVES: usize = 400;
/// Default byte rate from a relay to one leaf, in bytes per second.
const DEFAULT_LEAF_RATE_BYTES_PER_S: f64 = 5.0 * 1024.0;

/// A member as configured.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberConf {
    /// Its name, the `PROXY_NAME` of its gatekeeper.
    pub name: String,
    /// Address on which it accepts links from other members.
    pub address: SocketAddr,
    /// Its district.
    pub district: Option<String>,
}

/// Zone and region of a relay or a leaf.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Locality {
    /// Its zone.
    pub zone: Option<String>,
    /// Its region, which holds zones.
    pub region: Option<String>,
}

/// A relay as configured.
#[derive(Clone, Debug, PartialEq)]
pub struct RelayConf {
    /// Its name, the `PROXY_NAME` of its process.
    pub name: String,
    /// Address on which it accepts links from leaves and other relays.
    pub address: SocketAddr,
    /// Its zone and region.
    pub locality: Locality,
}

/// A tier of relays, configured by `relay` lines.
#[derive(Clone, Debug, PartialEq)]
pub struct Tier {
    /// All relays.
    pub relays: Vec<RelayConf>,
    /// Zone and region of this process. For a relay, those in its `relay` line apply instead.
    pub locality: Locality,
    /// The service whose calls this gatekeeper handles; it determines which updates the gatekeeper receives.
    pub service: Option<String>,
    /// Name of the relay that introduces changes of the fleet's settings.
    pub writer: String,
    /// File with the fleet's settings. Only the writer reads it.
    pub settings: Option<PathBuf>,
    /// Maximum number of leaves that a relay accepts.
    pub max_leaves: usize,
    /// Maximum byte rate from a relay to one leaf, in bytes per second.
    pub leaf_rate_bytes_per_s: f64,
}

impl Tier {
    /// Returns the relay with a name.
    pub fn relay(&self, name: &str) -> Option<&RelayConf> {
        self.relays.iter().find(|relay| relay.name == name)
    }
}

/// Contents of the block `fleet`.
#[derive(Clone, Debug, PartialEq)]
pub struct Fleet {
    /// Name of this gatekeeper, if it overrides the one from the platform.
    pub name: Option<String>,
    /// Address on which links are accepted, if it differs from the own member's address.
    pub listen: Option<SocketAddr>,
    /// All members, including the own one.
    pub members: Vec<MemberConf>,
    /// Maximum ratio of its part of a fleet budget that this member lends, 0 to 0.9.
    pub lend_ratio: f64,
    /// Timeouts and limits.
    pub settings: Settings,
    /// The tier of relays. If there is one, there are no members.
    pub tier: Option<Tier>,
}

/// Default maximum ratio of its part of a fleet budget that a member lends.
const DEFAULT_LEND_RATIO: f64 = 0.75;

impl Fleet {
    /// The own member, found by [`Fleet::own_name`].
    pub fn own_member(&self, platform: &str) -> Option<&MemberConf> {
        let name = self.own_name(platform);
        self.members.iter().find(|m| m.name == name)
    }

    /// The own name: the one in the block, or else the platform's.
    pub fn own_name<'f>(&'f self, platform: &'f str) -> &'f str {
        self.name.as_deref().unwrap_or(platform)
    }
}

/// Reads the block.
pub(crate) fn read(line: &Directive, names: &Names, problems: &mut Vec<Problem>) -> Fleet {
    const KNOWN: &[&str] = &[
        "catch-up",
        "digest",
        "forget",
        "gone",
        "include",
        "leaf-rate",
        "leaves",
        "lend",
        "listen",
        "lists-late",
        "member",
        "name",
        "records",
        "region",
        "relay",
        "service",
        "settings",
        "suspect",
        "writer",
        "zone",
    ];
    let settings = Settings::default();
    let mut fleet = Fleet {
        name: None,
        listen: None,
        members: Vec::new(),
        lend_ratio: DEFAULT_LEND_RATIO,
        settings,
        tier: None,
    };
    let mut tier = TierLines::default();
    let mut seen = Vec::new();
    let mut named = None;
    for inner in line.block.as_deref().unwrap_or_default() {
        check_block(inner, false, problems);
        let name = inner.name.text.as_str();
        if KNOWN.contains(&name)
            && !matches!(name, "member" | "relay")
            && !check_once(&mut seen, inner, problems)
        {
            continue;
        }
        let args = &inner.args[..];
        let s = &mut fleet.settings;
        match (name, args) {
            ("member", _) => read_member(inner, names, &mut fleet.members, problems),
            _ if TierLines::KNOWN.contains(&name) => tier.read(inner, names, problems),
            ("name", [own]) => {
                fleet.name = Some(own.text.clone());
                named = Some(own);
            }
            ("listen", [address]) => fleet.listen = parse_arg(address, parse_address, problems),
            ("suspect", [time]) => {
                update(&mut s.membership.suspect_after_s, parse_arg(time, duration, problems))
            }
            ("gone", [time]) => update(&mut s.membership.gone_after_s, parse_arg(time, duration, problems)),
            ("digest", [time]) => update(&mut s.digest_interval, parse_arg(time, duration, problems)),
            ("lists-late", [time]) => update(&mut s.max_list_delay, parse_arg(time, duration, problems)),
            ("forget", [time]) => update(&mut s.forget_after, parse_arg(time, duration, problems)),
            ("catch-up", [word, time]) if word.text == "within" => {
                update(&mut s.catch_up_timeout, parse_arg(time, duration, problems));
            }
            ("catch-up", [word, time, second, rate]) if word.text == "within" && second.text == "rate" => {
                update(&mut s.catch_up_timeout, parse_arg(time, duration, problems));
                update(&mut s.catch_up.bytes_per_s, parse_arg(rate, bytes_rate, problems));
            }
            ("records", [most]) => {
                let most = parse_arg(most, count, problems).unwrap_or(s.catch_up.max_records as f64);
                if most < 1.0 {
                    report(&inner.name.location, "0 records, expected 1 or more", problems);
                }
                s.catch_up.max_records = most as usize;
            }
            ("lend", [part]) => {
                fleet.lend_ratio = parse_arg(part, percent, problems).unwrap_or(DEFAULT_LEND_RATIO);
                if fleet.lend_ratio > MAX_LENT_RATIO {
                    let text = format!(
                        "{:.0}% of the own part is too much, expected at most {:.0}%",
                        100.0 * fleet.lend_ratio,
                        100.0 * MAX_LENT_RATIO
                    );
                    report(&part.location, text, problems);
                }
            }
            ("lend", _) => drop(check_args(inner, "lend SHARE", false, problems)),
            ("name", _) => drop(check_args(inner, "name MEMBER", false, problems)),
            ("listen", _) => drop(check_args(inner, "listen ADDRESS:PORT", false, problems)),
            ("catch-up", _) => drop(check_args(inner, "catch-up within TIME [rate BYTES]", false, problems)),
            ("records", _) => drop(check_args(inner, "records COUNT", false, problems)),
            ("suspect" | "gone" | "digest" | "forget" | "lists-late", _) => {
                check_args(inner, &format!("{name} TIME"), false, problems);
            }
            _ => report_unknown(inner, KNOWN, problems),
        }
    }
    let location = &line.name.location;
    let members = directives_named(line, "member").next();
    fleet.tier = tier.finish(members, problems);
    if fleet.tier.is_some() {
        check_name(named, problems);
    } else if fleet.members.len() < 2 {
        let text = "a fleet of fewer than two members, expected `member NAME ADDRESS:PORT` for each";
        report(location, text, problems);
    }
    if fleet.members.len() > MAX_MEMBERS {
        report(location, format!("too many members, expected at most {MAX_MEMBERS}"), problems);
    }
    let member = |own: &&Token| fleet.members.iter().any(|m| m.name == own.text);
    if let Some(own) = named.filter(|own| fleet.tier.is_none() && !member(own)) {
        let text = format!("{:?} is not a member, expected one of the block", own.text);
        report(&own.location, text, problems);
    }
    let s = &fleet.settings;
    if s.membership.gone_after_s < 2.0 * s.membership.suspect_after_s {
        let text =
            "a member is gone before its silence is suspect, expected `gone` of twice `suspect` or more";
        report(location, text, problems);
    }
    if s.forget_after < 2.0 * s.membership.gone_after_s {
        let text =
            "what a member held is forgotten before it is gone, expected `forget` of twice `gone` or more";
        report(location, text, problems);
    }
    fleet
}

/// The directives of a block that have a certain name.
fn directives_named<'l>(line: &'l Directive, name: &'static str) -> impl Iterator<Item = &'l Directive> {
    line.block.iter().flatten().filter(move |inner| inner.name.text == name)
}

fn check_name(named: Option<&Token>, problems: &mut Vec<Problem>) {
    if let Some(named) = named {
        parse_arg(named, parse_name, problems);
    }
}

/// Contents of the lines of a tier, before they are checked against each other.
#[derive(Default)]
struct TierLines<'l> {
    relays: Vec<RelayConf>,
    first: Option<&'l Token>,
    /// Directives that are only valid together with relays.
    others: Vec<&'l Token>,
    locality: Locality,
    service: Option<String>,
    writer: Option<&'l Token>,
    settings: Option<PathBuf>,
    leaves: Option<f64>,
    leaf_rate: Option<f64>,
}

impl<'l> TierLines<'l> {
    /// The directives that belong to a tier.
    const KNOWN: &'static [&'static str] =
        &["leaf-rate", "leaves", "region", "relay", "service", "settings", "writer", "zone"];

    fn read(&mut self, line: &'l Directive, names: &Names, problems: &mut Vec<Problem>) {
        let name = line.name.text.as_str();
        if name == "relay" {
            self.first.get_or_insert(&line.name);
            return read_relay(line, names, &mut self.relays, problems);
        }
        self.others.push(&line.name);
        match (name, &line.args[..]) {
            ("zone", [word]) => self.locality.zone = parse_zone(word, names, problems),
            ("region", [word]) => self.locality.region = parse_arg(word, parse_name, problems),
            ("service", [word]) => self.service = parse_arg(word, parse_name, problems),
            ("writer", [word]) => self.writer = Some(word),
            ("settings", [word]) => {
                // Relative to the file that names it, as with `include`.
                let folder = Path::new(&*word.location.file).parent().unwrap_or(Path::new(""));
                self.settings = Some(folder.join(&word.text));
            }
            ("leaves", [word]) => {
                self.leaves = parse_arg(word, count, problems);
                if self.leaves.is_some_and(|leaves| !(1.0..=MAX_LEAVES as f64).contains(&leaves)) {
                    let text = format!("{} leaves are not valid here, expected 1 to {MAX_LEAVES}", word.text);
                    report(&word.location, text, problems);
                }
            }
            ("leaf-rate", [word]) => self.leaf_rate = parse_arg(word, leaf_rate, problems),
            ("zone", _) => drop(check_args(line, "zone ZONE", false, problems)),
            ("region", _) => drop(check_args(line, "region REGION", false, problems)),
            ("service", _) => drop(check_args(line, "service NAME", false, problems)),
            ("writer", _) => drop(check_args(line, "writer RELAY", false, problems)),
            ("settings", _) => drop(check_args(line, "settings FILE", false, problems)),
            ("leaves", _) => drop(check_args(line, "leaves COUNT", false, problems)),
            _ => drop(check_args(line, "leaf-rate BYTES", false, problems)),
        }
    }

    /// Checks the lines against each other and returns the tier if the block has relays. `member` is the first `member`
    /// line of the block.
    fn finish(self, member: Option<&Directive>, problems: &mut Vec<Problem>) -> Option<Tier> {
        let Some(first) = self.first else {
            for word in self.others {
                let text =
                    format!("{:?} without a relay, expected `relay NAME ADDRESS:PORT` lines", word.text);
                report(&word.location, text, problems);
            }
            return None;
        };
        if let Some(member) = member {
            let text = "`relay` and `member` lines in one block, expected relays for a tier or members alone";
            report(&member.name.location, text, problems);
        }
        if self.relays.len() > MAX_RELAYS {
            report(&first.location, format!("too many relays, expected at most {MAX_RELAYS}"), problems);
        }
        if let Some(word) = self.writer.filter(|word| !self.relays.iter().any(|r| r.name == word.text)) {
            let text = format!("{:?} is not a relay, expected one of the block", word.text);
            report(&word.location, text, problems);
        }
        let writer = match (self.writer, self.relays.first()) {
            (Some(word), _) => word.text.clone(),
            (None, first) => first.map_or_else(String::new, |relay| relay.name.clone()),
        };
        Some(Tier {
            relays: self.relays,
            locality: self.locality,
            service: self.service,
            writer,
            settings: self.settings,
            max_leaves: self.leaves.map_or(DEFAULT_MAX_LEAVES, |leaves| leaves as usize),
            leaf_rate_bytes_per_s: self.leaf_rate.unwrap_or(DEFAULT_LEAF_RATE_BYTES_PER_S),
        })
    }
}

fn read_relay(line: &Directive, names: &Names, relays: &mut Vec<RelayConf>, problems: &mut Vec<Problem>) {
    const FORM: &str = "relay NAME ADDRESS:PORT [zone ZONE] [region REGION]";
    let (name, address, rest) = match &line.args[..] {
        [name, address, rest @ ..] if rest.len().is_multiple_of(2) => (name, address, rest),
        _ => {
            check_args(line, FORM, false, problems);
            return;
        }
    };
    let mut locality = Locality::default();
    for pair in rest.chunks(2) {
        match pair[0].text.as_str() {
            "zone" if locality.zone.is_none() => locality.zone = parse_zone(&pair[1], names, problems),
            "region" if locality.region.is_none() => {
                locality.region = parse_arg(&pair[1], parse_name, problems)
            }
            other => {
                let text = format!("{other:?} is not valid here, expected: {FORM}");
                report(&pair[0].location, text, problems);
            }
        }
    }
    let (parsed_name, parsed_address) =
        (parse_arg(name, parse_name, problems), parse_arg(address, parse_address, problems));
    let (Some(parsed_name), Some(parsed_address)) = (parsed_name, parsed_address) else { return };
    if relays.iter().any(|r| r.name == parsed_name) {
        report(&name.location, format!("a second relay {parsed_name:?}, expected one"), problems);
    } else if relays.iter().any(|r| MemberId::of(&r.name) == MemberId::of(&parsed_name)) {
        report(
            &name.location,
            format!("{parsed_name:?} has the same internal id as another name, expected another"),
            problems,
        );
    }
    if relays.iter().any(|r| r.address == parsed_address) {
        report(&address.location, format!("a second relay at {parsed_address}, expected one"), problems);
    }
    relays.push(RelayConf { name: parsed_name, address: parsed_address, locality });
}

/// Parses a zone. If the platform has districts, it must be one of them.
fn parse_zone(word: &Token, names: &Names, problems: &mut Vec<Problem>) -> Option<String> {
    let districts = names.districts.as_deref().filter(|districts| !districts.is_empty());
    check_known(word, "zone", districts, problems);
    parse_arg(word, parse_name, problems)
}

fn parse_name(text: &str) -> Result<String, &'static str> {
    let fits = !text.is_empty() && text.len() <= MAX_NAME_BYTES;
    fits.then(|| text.to_string()).ok_or("expected a name of 1 to 64 bytes")
}

fn update(value: &mut f64, read: Option<f64>) {
    *value = read.unwrap_or(*value);
}

fn parse_address(text: &str) -> Result<SocketAddr, &'static str> {
    const EXPECTED: &str = "expected an IPv4 address and port, as 10.0.0.4:7100";
    match text.parse() {
        Ok(SocketAddr::V4(address)) => Ok(address.into()),
        _ => Err(EXPECTED),
    }
}

fn read_member(line: &Directive, names: &Names, members: &mut Vec<MemberConf>, problems: &mut Vec<Problem>) {
    const FORM: &str = "member NAME ADDRESS:PORT [district DISTRICT]";
    let (name, address, district) = match &line.args[..] {
        [name, address] => (name, address, None),
        [name, address, word, district] if word.text == "district" => (name, address, Some(district)),
        _ => {
            check_args(line, FORM, false, problems);
            return;
        }
    };
    if let Some(district) = district {
        check_known(district, "district", names.districts.as_deref(), problems);
    }
    let Some(parsed_address) = parse_arg(address, parse_address, problems) else { return };
    if members.iter().any(|m| m.name == name.text) {
        report(&name.location, format!("a second member {:?}, expected one", name.text), problems);
    } else if members.iter().any(|m| MemberId::of(&m.name) == MemberId::of(&name.text)) {
        report(
            &name.location,
            format!("{:?} has the same internal id as another name, expected another", name.text),
            problems,
        );
    }
    if members.iter().any(|m| m.address == parsed_address) {
        report(&address.location, format!("a second member at {parsed_address}, expected one"), problems);
    }
    let district = district.map(|d| d.text.clone());
    members.push(MemberConf { name: name.text.clone(), address: parsed_address, district });
}
