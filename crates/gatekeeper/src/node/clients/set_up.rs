//! Parses and validates set-up messages from callers.

use std::collections::BTreeMap;

use hollypaddle_core::calls::{Content, Request};
use hollypaddle_platform::message::{cause, code, Message};

use crate::node::config::ProtocolClass;

/// Parses a set-up. The error is the cause to send in its release. Every field is checked before the set-up is forwarded: one
/// that a server can't use costs work there, and one that it can't read makes it close a connection that carries the set-ups of
/// other callers.
pub(super) fn parse_request(message: &Message, classes: &[ProtocolClass]) -> Result<Request, u8> {
    let field = |code| message.bytes(code).ok_or(cause::MISSING_PARAMETER);
    let (class, wait) = (field(code::CLASS)?, field(code::WAIT)?);
    let (number, figures) = (field(code::NUMBER)?, field(code::ATTRIBUTES)?);
    let description = Some(field(code::DESCRIPTION)?.to_vec());
    let parsed = || {
        // A name may have several numbers; the last live one takes new calls: see `hollypaddle_service::classes`.
        let named = |(_, c): &(usize, &ProtocolClass)| c.accepts_calls && c.name.as_bytes() == class;
        let (index, class) = classes.iter().enumerate().rev().find(named)?;
        let wait = parse_digits(wait)? / 1000.0;
        let dialled = parse_hex(number)?;
        let first = parse_first_choice(std::str::from_utf8(figures).ok()?, class)?;
        let valid =
            message.call != 0 && !message.has_duplicate_parameters() && wait > 0.0 && wait <= class.max_wait;
        let content = Content { number: number.to_vec(), description };
        let id = message.call;
        valid.then_some(Request { id, class: index, wait, dialled, first_choice: first, content })
    };
    parsed().ok_or(cause::INVALID_PARAMETER)
}

/// Returns the number of a set-up's class, for metrics, or `classes.len()` if it names no live class.
pub(super) fn class_index(message: &Message, classes: &[ProtocolClass]) -> usize {
    let class = message.bytes(code::CLASS).unwrap_or_default();
    classes.iter().rposition(|c| c.accepts_calls && c.name.as_bytes() == class).unwrap_or(classes.len())
}

/// Parses one to nine decimal digits and nothing else: no sign, no exponent, no "nan".
fn parse_digits(text: &[u8]) -> Option<f64> {
    let digits = !text.is_empty() && text.len() <= 9 && text.iter().all(u8::is_ascii_digit);
    std::str::from_utf8(text).ok().filter(|_| digits)?.parse().ok()
}

/// Parses one to 16 hex digits and nothing else.
fn parse_hex(text: &[u8]) -> Option<u64> {
    let digits = (1..=16).contains(&text.len()) && text.iter().all(u8::is_ascii_hexdigit);
    u64::from_str_radix(std::str::from_utf8(text).ok().filter(|_| digits)?, 16).ok()
}

/// Returns the pool of first choice from a set-up's figures, if all figures are in range and none is repeated.
fn parse_first_choice(figures: &str, class: &ProtocolClass) -> Option<u32> {
    let mut seen = BTreeMap::new();
    for figure in figures.split(';') {
        let (name, value) = figure.split_once(':')?;
        let value = value.parse::<f64>().ok().filter(|v| v.is_finite())?;
        if seen.insert(name, value).is_some() {
            return None;
        }
    }
    let whole = |v: &f64| v.fract() == 0.0 && (0.0..=f64::from(u32::MAX)).contains(v);
    let pool = |v: &f64| whole(v) && (class.pools.is_empty() || class.pools.contains(&(*v as u32)));
    let width = |v: &f64| whole(v) && *v >= 1.0 && class.width.is_none_or(|width| width == *v);
    let valid = seen.get("width").is_none_or(width)
        && seen.get("via").is_none_or(|v| *v == -1.0 || whole(v))
        && seen.get("again").is_none_or(|v| *v == 0.0 || *v == 1.0);
    seen.get("dest").filter(|v| valid && pool(v)).map(|v| *v as u32)
}
