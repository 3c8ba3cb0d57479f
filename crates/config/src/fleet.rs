//! The block `fleet`.

use std::net::SocketAddr;

use hollypaddle_lending::MOST;
use hollypaddle_membership::MemberId;
use hollypaddle_replica::Settings;

use crate::check::{block, once, one_of, unknown, words, wrong};
use crate::problem::Problem;
use crate::syntax::Directive;
use crate::values::{bytes_rate, count, duration, percent, take};
use crate::Names;

/// Most members: each has a link to each other.
pub const MOST_MEMBERS: usize = 64;

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
}

/// What is lent of a part by default.
const LEND: f64 = 0.75;

impl Fleet {
    /// The own member, by the name of the block or else the platform's.
    pub fn own(&self, platform: &str) -> Option<&MemberConf> {
        let name = self.name.as_deref().unwrap_or(platform);
        self.members.iter().find(|m| m.name == name)
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
        "lend",
        "listen",
        "lists-late",
        "member",
        "name",
        "records",
        "suspect",
    ];
    let settings = Settings::default();
    let mut fleet = Fleet { name: None, listen: None, members: Vec::new(), lend: LEND, settings };
    let mut seen = Vec::new();
    let mut named = None;
    for inner in line.block.as_deref().unwrap_or_default() {
        block(inner, false, problems);
        let name = inner.name.text.as_str();
        if KNOWN.contains(&name) && name != "member" && !once(&mut seen, inner, problems) {
            continue;
        }
        let args = &inner.args[..];
        let s = &mut fleet.settings;
        match (name, args) {
            ("member", _) => member(inner, names, &mut fleet.members, problems),
            ("name", [own]) => {
                fleet.name = Some(own.text.clone());
                named = Some(own);
            }
            ("listen", [address]) => fleet.listen = take(address, socket, problems),
            ("suspect", [time]) => set(&mut s.membership.suspect, take(time, duration, problems)),
            ("gone", [time]) => set(&mut s.membership.gone, take(time, duration, problems)),
            ("digest", [time]) => set(&mut s.digest, take(time, duration, problems)),
            ("lists-late", [time]) => set(&mut s.lists_late, take(time, duration, problems)),
            ("forget", [time]) => set(&mut s.forget, take(time, duration, problems)),
            ("catch-up", [word, time]) if word.text == "within" => {
                set(&mut s.within, take(time, duration, problems));
            }
            ("catch-up", [word, time, second, rate]) if word.text == "within" && second.text == "rate" => {
                set(&mut s.within, take(time, duration, problems));
                set(&mut s.catch_up.rate, take(rate, bytes_rate, problems));
            }
            ("records", [most]) => {
                let most = take(most, count, problems).unwrap_or(s.catch_up.most as f64);
                if most < 1.0 {
                    wrong(&inner.name.place, "no records at all, expected 1 or more", problems);
                }
                s.catch_up.most = most as usize;
            }
            ("lend", [part]) => {
                fleet.lend = take(part, percent, problems).unwrap_or(LEND);
                if fleet.lend > MOST {
                    let text = format!(
                        "{:.0}% of the own part is too much, expected at most {:.0}%",
                        100.0 * fleet.lend,
                        100.0 * MOST
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
    if fleet.members.len() < 2 {
        let text = "a fleet of fewer than two members, expected `member NAME ADDRESS:PORT` for each";
        wrong(place, text, problems);
    }
    if fleet.members.len() > MOST_MEMBERS {
        wrong(place, format!("too many members, expected at most {MOST_MEMBERS}"), problems);
    }
    if let Some(own) = named.filter(|own| !fleet.members.iter().any(|m| m.name == own.text)) {
        let text = format!("{:?} is no member, expected one of the block", own.text);
        wrong(&own.place, text, problems);
    }
    let s = &fleet.settings;
    if s.membership.gone < 2.0 * s.membership.suspect {
        let text =
            "a member is gone before its silence is suspect, expected `gone` of twice `suspect` or more";
        wrong(place, text, problems);
    }
    if s.forget < 2.0 * s.membership.gone {
        let text =
            "what a member held is forgotten before it is gone, expected `forget` of twice `gone` or more";
        wrong(place, text, problems);
    }
    fleet
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
