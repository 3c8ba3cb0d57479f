//! The block `fleet`.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use hollypaddle_lending::MAX_LENT_RATIO;
use hollypaddle_membership::MemberId;
use hollypaddle_replica::Settings;

use crate::check::{block, once, one_of, unknown, words, wrong};
use crate::problem::Problem;
use crate::syntax::{Directive, Word};
use crate::values::{bytes_rate, count, duration, leaf_rate, percent, take};
use crate::Names;

/// Most members: each has a link to each other.
pub const MOST_MEMBERS: usize = 64;

/// Most relays: each has a link to each other.
pub const MOST_RELAYS: usize = 16;

/// Most leaves that a relay may be told to take: each costs it a descriptor and a buffer.
pub const MOST_LEAVES: usize = 4096;

/// Longest name of a relay, zone, region or service, in bytes: each is said on links.
pub const LONGEST_NAME: usize = 64;

/// Leaves that a relay takes, and bytes a second that it says to each, by default.
const LEAVES: usize = 400;
const LEAF_RATE: f64 = 5.0 * 1024.0;

/// A member as the file names it.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberConf {
    /// Its name, the `PROXY_NAME` of its gatekeeper.
    pub name: String,
    /// Where it takes links from others.
    pub address: SocketAddr,
    /// Where it stands.
    pub district: Option<String>,
}

/// Where a relay or a leaf stands.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Location {
    /// Its zone.
    pub zone: Option<String>,
    /// Its region, which holds zones.
    pub region: Option<String>,
}

/// A relay as the file names it.
#[derive(Clone, Debug, PartialEq)]
pub struct RelayConf {
    /// Its name, the `PROXY_NAME` of its process.
    pub name: String,
    /// Where it takes links from leaves and from other relays.
    pub address: SocketAddr,
    /// Where it stands.
    pub location: Location,
}

/// A tier of relays, where the block has `relay` lines.
#[derive(Clone, Debug, PartialEq)]
pub struct Tier {
    /// All relays.
    pub relays: Vec<RelayConf>,
    /// Where this process stands; at a relay its own line counts.
    pub location: Location,
    /// The service whose calls this gatekeeper carries, which tells what it needs to hear.
    pub service: Option<String>,
    /// The relay at which changes of the fleet's settings enter.
    pub writer: String,
    /// The file with the fleet's settings. Only the writer reads it.
    pub settings: Option<PathBuf>,
    /// Most leaves that a relay takes.
    pub leaves: usize,
    /// Bytes a second that a relay says to one leaf.
    pub leaf_rate: f64,
}

impl Tier {
    /// The relay of a name.
    pub fn relay(&self, name: &str) -> Option<&RelayConf> {
        self.relays.iter().find(|relay| relay.name == name)
    }
}

/// What the block says.
#[derive(Clone, Debug, PartialEq)]
pub struct Fleet {
    /// The own name, where the platform's is not to be taken.
    pub name: Option<String>,
    /// Where links are taken, where that is not the own member's address.
    pub listen: Option<SocketAddr>,
    /// All members, the own one among them.
    pub members: Vec<MemberConf>,
    /// Most that this member lends of its part of a budget that is the fleet's, 0 to 0.9.
    pub lend: f64,
    /// Times and bounds.
    pub settings: Settings,
    /// The tier of relays; then there are no members.
    pub tier: Option<Tier>,
}

/// What is lent of a part by default.
const LEND: f64 = 0.75;

impl Fleet {
    /// The own member, by the name of the block or else the platform's.
    pub fn own(&self, platform: &str) -> Option<&MemberConf> {
        let name = self.own_name(platform);
        self.members.iter().find(|m| m.name == name)
    }

    /// The own name: the block's, or else the platform's.
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
    let mut fleet = Fleet { name: None, listen: None, members: Vec::new(), lend: LEND, settings, tier: None };
    let mut tier = TierLines::default();
    let mut seen = Vec::new();
    let mut named = None;
    for inner in line.block.as_deref().unwrap_or_default() {
        block(inner, false, problems);
        let name = inner.name.text.as_str();
        if KNOWN.contains(&name) && !matches!(name, "member" | "relay") && !once(&mut seen, inner, problems) {
            continue;
        }
        let args = &inner.args[..];
        let s = &mut fleet.settings;
        match (name, args) {
            ("member", _) => member(inner, names, &mut fleet.members, problems),
            _ if TierLines::KNOWN.contains(&name) => tier.read(inner, names, problems),
            ("name", [own]) => {
                fleet.name = Some(own.text.clone());
                named = Some(own);
            }
            ("listen", [address]) => fleet.listen = take(address, socket, problems),
            ("suspect", [time]) => set(&mut s.membership.suspect_after_s, take(time, duration, problems)),
            ("gone", [time]) => set(&mut s.membership.gone_after_s, take(time, duration, problems)),
            ("digest", [time]) => set(&mut s.digest_interval, take(time, duration, problems)),
            ("lists-late", [time]) => set(&mut s.max_list_delay, take(time, duration, problems)),
            ("forget", [time]) => set(&mut s.forget_after, take(time, duration, problems)),
            ("catch-up", [word, time]) if word.text == "within" => {
                set(&mut s.catch_up_timeout, take(time, duration, problems));
            }
            ("catch-up", [word, time, second, rate]) if word.text == "within" && second.text == "rate" => {
                set(&mut s.catch_up_timeout, take(time, duration, problems));
                set(&mut s.catch_up.bytes_per_s, take(rate, bytes_rate, problems));
            }
            ("records", [most]) => {
                let most = take(most, count, problems).unwrap_or(s.catch_up.max_records as f64);
                if most < 1.0 {
                    wrong(&inner.name.place, "no records at all, expected 1 or more", problems);
                }
                s.catch_up.max_records = most as usize;
            }
            ("lend", [part]) => {
                fleet.lend = take(part, percent, problems).unwrap_or(LEND);
                if fleet.lend > MAX_LENT_RATIO {
                    let text = format!(
                        "{:.0}% of the own part is too much, expected at most {:.0}%",
                        100.0 * fleet.lend,
                        100.0 * MAX_LENT_RATIO
                    );
                    wrong(&part.place, text, problems);
                }
            }
            ("lend", _) => drop(words(inner, "lend SHARE", false, problems)),
            ("name", _) => drop(words(inner, "name MEMBER", false, problems)),
            ("listen", _) => drop(words(inner, "listen ADDRESS:PORT", false, problems)),
            ("catch-up", _) => drop(words(inner, "catch-up within TIME [rate BYTES]", false, problems)),
            ("records", _) => drop(words(inner, "records COUNT", false, problems)),
            ("suspect" | "gone" | "digest" | "forget" | "lists-late", _) => {
                words(inner, &format!("{name} TIME"), false, problems);
            }
            _ => unknown(inner, KNOWN, problems),
        }
    }
    let place = &line.name.place;
    let members = lines(line, "member").next();
    fleet.tier = tier.finish(members, problems);
    if fleet.tier.is_some() {
        finish_name(named, problems);
    } else if fleet.members.len() < 2 {
        let text = "a fleet of fewer than two members, expected `member NAME ADDRESS:PORT` for each";
        wrong(place, text, problems);
    }
    if fleet.members.len() > MOST_MEMBERS {
        wrong(place, format!("too many members, expected at most {MOST_MEMBERS}"), problems);
    }
    let member = |own: &&Word| fleet.members.iter().any(|m| m.name == own.text);
    if let Some(own) = named.filter(|own| fleet.tier.is_none() && !member(own)) {
        let text = format!("{:?} is no member, expected one of the block", own.text);
        wrong(&own.place, text, problems);
    }
    let s = &fleet.settings;
    if s.membership.gone_after_s < 2.0 * s.membership.suspect_after_s {
        let text =
            "a member is gone before its silence is suspect, expected `gone` of twice `suspect` or more";
        wrong(place, text, problems);
    }
    if s.forget_after < 2.0 * s.membership.gone_after_s {
        let text =
            "what a member held is forgotten before it is gone, expected `forget` of twice `gone` or more";
        wrong(place, text, problems);
    }
    fleet
}

/// The lines of a block with a name.
fn lines<'l>(line: &'l Directive, name: &'static str) -> impl Iterator<Item = &'l Directive> {
    line.block.iter().flatten().filter(move |inner| inner.name.text == name)
}

fn finish_name(named: Option<&Word>, problems: &mut Vec<Problem>) {
    if let Some(named) = named {
        take(named, short, problems);
    }
}

/// What the lines of a tier say, before they are checked against each other.
#[derive(Default)]
struct TierLines<'l> {
    relays: Vec<RelayConf>,
    first: Option<&'l Word>,
    /// Lines that mean something only where there are relays.
    others: Vec<&'l Word>,
    location: Location,
    service: Option<String>,
    writer: Option<&'l Word>,
    settings: Option<PathBuf>,
    leaves: Option<f64>,
    leaf_rate: Option<f64>,
}

impl<'l> TierLines<'l> {
    /// The directives that it reads.
    const KNOWN: &'static [&'static str] =
        &["leaf-rate", "leaves", "region", "relay", "service", "settings", "writer", "zone"];

    fn read(&mut self, line: &'l Directive, names: &Names, problems: &mut Vec<Problem>) {
        let name = line.name.text.as_str();
        if name == "relay" {
            self.first.get_or_insert(&line.name);
            return relay(line, names, &mut self.relays, problems);
        }
        self.others.push(&line.name);
        match (name, &line.args[..]) {
            ("zone", [word]) => self.location.zone = zone(word, names, problems),
            ("region", [word]) => self.location.region = take(word, short, problems),
            ("service", [word]) => self.service = take(word, short, problems),
            ("writer", [word]) => self.writer = Some(word),
            ("settings", [word]) => {
                // Beside the file in which it stands, as with `include`.
                let folder = Path::new(&*word.place.file).parent().unwrap_or(Path::new(""));
                self.settings = Some(folder.join(&word.text));
            }
            ("leaves", [word]) => {
                self.leaves = take(word, count, problems);
                if self.leaves.is_some_and(|leaves| !(1.0..=MOST_LEAVES as f64).contains(&leaves)) {
                    let text =
                        format!("{} leaves make no sense here, expected 1 to {MOST_LEAVES}", word.text);
                    wrong(&word.place, text, problems);
                }
            }
            ("leaf-rate", [word]) => self.leaf_rate = take(word, leaf_rate, problems),
            ("zone", _) => drop(words(line, "zone ZONE", false, problems)),
            ("region", _) => drop(words(line, "region REGION", false, problems)),
            ("service", _) => drop(words(line, "service NAME", false, problems)),
            ("writer", _) => drop(words(line, "writer RELAY", false, problems)),
            ("settings", _) => drop(words(line, "settings FILE", false, problems)),
            ("leaves", _) => drop(words(line, "leaves COUNT", false, problems)),
            _ => drop(words(line, "leaf-rate BYTES", false, problems)),
        }
    }

    /// The tier, if the block has relays; `member` is its first member.
    fn finish(self, member: Option<&Directive>, problems: &mut Vec<Problem>) -> Option<Tier> {
        let Some(first) = self.first else {
            for word in self.others {
                let text =
                    format!("{:?} without a relay, expected `relay NAME ADDRESS:PORT` lines", word.text);
                wrong(&word.place, text, problems);
            }
            return None;
        };
        if let Some(member) = member {
            let text = "`relay` and `member` lines in one block, expected relays for a tier or members alone";
            wrong(&member.name.place, text, problems);
        }
        if self.relays.len() > MOST_RELAYS {
            wrong(&first.place, format!("too many relays, expected at most {MOST_RELAYS}"), problems);
        }
        if let Some(word) = self.writer.filter(|word| !self.relays.iter().any(|r| r.name == word.text)) {
            let text = format!("{:?} is no relay, expected one of the block", word.text);
            wrong(&word.place, text, problems);
        }
        let writer = match (self.writer, self.relays.first()) {
            (Some(word), _) => word.text.clone(),
            (None, first) => first.map_or_else(String::new, |relay| relay.name.clone()),
        };
        Some(Tier {
            relays: self.relays,
            location: self.location,
            service: self.service,
            writer,
            settings: self.settings,
            leaves: self.leaves.map_or(LEAVES, |leaves| leaves as usize),
            leaf_rate: self.leaf_rate.unwrap_or(LEAF_RATE),
        })
    }
}

fn relay(line: &Directive, names: &Names, relays: &mut Vec<RelayConf>, problems: &mut Vec<Problem>) {
    const FORM: &str = "relay NAME ADDRESS:PORT [zone ZONE] [region REGION]";
    let (name, address, rest) = match &line.args[..] {
        [name, address, rest @ ..] if rest.len().is_multiple_of(2) => (name, address, rest),
        _ => {
            words(line, FORM, false, problems);
            return;
        }
    };
    let mut location = Location::default();
    for pair in rest.chunks(2) {
        match pair[0].text.as_str() {
            "zone" if location.zone.is_none() => location.zone = zone(&pair[1], names, problems),
            "region" if location.region.is_none() => location.region = take(&pair[1], short, problems),
            other => {
                let text = format!("{other:?} makes no sense here, expected: {FORM}");
                wrong(&pair[0].place, text, problems);
            }
        }
    }
    let (name_read, address_read) = (take(name, short, problems), take(address, socket, problems));
    let (Some(name_read), Some(address_read)) = (name_read, address_read) else { return };
    if relays.iter().any(|r| r.name == name_read) {
        wrong(&name.place, format!("a second relay {name_read:?}, expected one"), problems);
    } else if relays.iter().any(|r| MemberId::of(&r.name) == MemberId::of(&name_read)) {
        wrong(&name.place, format!("{name_read:?} is too like another name, expected another"), problems);
    }
    if relays.iter().any(|r| r.address == address_read) {
        wrong(&address.place, format!("a second relay at {address_read}, expected one"), problems);
    }
    relays.push(RelayConf { name: name_read, address: address_read, location });
}

/// A zone. Where the platform has districts it is one of them.
fn zone(word: &Word, names: &Names, problems: &mut Vec<Problem>) -> Option<String> {
    let districts = names.districts.as_deref().filter(|districts| !districts.is_empty());
    one_of(word, "zone", districts, problems);
    take(word, short, problems)
}

fn short(text: &str) -> Result<String, &'static str> {
    let fits = !text.is_empty() && text.len() <= LONGEST_NAME;
    fits.then(|| text.to_string()).ok_or("expected a name of 1 to 64 bytes")
}

fn set(value: &mut f64, read: Option<f64>) {
    *value = read.unwrap_or(*value);
}

fn socket(text: &str) -> Result<SocketAddr, &'static str> {
    const EXPECTED: &str = "expected an IPv4 address and port, as 10.0.0.4:7100";
    match text.parse() {
        Ok(SocketAddr::V4(address)) => Ok(address.into()),
        _ => Err(EXPECTED),
    }
}

fn member(line: &Directive, names: &Names, members: &mut Vec<MemberConf>, problems: &mut Vec<Problem>) {
    const FORM: &str = "member NAME ADDRESS:PORT [district DISTRICT]";
    let (name, address, district) = match &line.args[..] {
        [name, address] => (name, address, None),
        [name, address, word, district] if word.text == "district" => (name, address, Some(district)),
        _ => {
            words(line, FORM, false, problems);
            return;
        }
    };
    if let Some(district) = district {
        one_of(district, "district", names.districts.as_deref(), problems);
    }
    let Some(address_read) = take(address, socket, problems) else { return };
    if members.iter().any(|m| m.name == name.text) {
        wrong(&name.place, format!("a second member {:?}, expected one", name.text), problems);
    } else if members.iter().any(|m| MemberId::of(&m.name) == MemberId::of(&name.text)) {
        wrong(&name.place, format!("{:?} is too like another name, expected another", name.text), problems);
    }
    if members.iter().any(|m| m.address == address_read) {
        wrong(&address.place, format!("a second member at {address_read}, expected one"), problems);
    }
    let district = district.map(|d| d.text.clone());
    members.push(MemberConf { name: name.text.clone(), address: address_read, district });
}
