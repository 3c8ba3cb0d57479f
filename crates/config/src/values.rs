//! Parses arguments with their units.

use crate::problem::Problem;
use crate::syntax::Token;

/// A parsed value, or a text that says what was expected.
type ParseResult<T> = Result<T, &'static str>;

/// Parses a number of 0 or more without sign or exponent.
fn number(text: &str) -> Option<f64> {
    let plain = !text.is_empty() && text.len() <= 30 && text.bytes().all(|b| b.is_ascii_digit() || b == b'.');
    text.parse::<f64>().ok().filter(|value| plain && value.is_finite())
}

/// Parses a rate of set-ups such as `5/s` or `0.5/min`, in set-ups per second.
pub(crate) fn rate(text: &str) -> ParseResult<f64> {
    const EXPECTED: &str = "expected a rate above 0 and up to 1000000/s, as 5/s or 30/min";
    let (value, unit) = text.split_once('/').ok_or(EXPECTED)?;
    let seconds = match unit {
        "s" => 1.0,
        "min" => 60.0,
        "h" => 3600.0,
        _ => return Err(EXPECTED),
    };
    let rate = number(value).ok_or(EXPECTED)? / seconds;
    (rate > 0.0 && rate <= 1e6).then_some(rate).ok_or(EXPECTED)
}

/// Parses a percentage such as `10%`, as a ratio from 0 to 1.
pub(crate) fn percent(text: &str) -> ParseResult<f64> {
    const EXPECTED: &str = "expected a share from 0% to 100%";
    let value = number(text.strip_suffix('%').ok_or(EXPECTED)?).ok_or(EXPECTED)?;
    (value <= 100.0).then_some(value / 100.0).ok_or(EXPECTED)
}

/// Parses a time window from 1 s to 1 h such as `10s` or `1min`, in seconds.
pub(crate) fn window(text: &str) -> ParseResult<f64> {
    const EXPECTED: &str = "expected a time from 1s to 1h, as 10s or 5min";
    let seconds = humantime::parse_duration(text).map_err(|_| EXPECTED)?.as_secs_f64();
    (1.0..=3600.0).contains(&seconds).then_some(seconds).ok_or(EXPECTED)
}

/// Parses a duration from 10 ms to 1 h such as `350ms`, in seconds.
pub(crate) fn duration(text: &str) -> ParseResult<f64> {
    const EXPECTED: &str = "expected a time from 10ms to 1h, as 350ms or 2s";
    let seconds = humantime::parse_duration(text).map_err(|_| EXPECTED)?.as_secs_f64();
    (0.01..=3600.0).contains(&seconds).then_some(seconds).ok_or(EXPECTED)
}

/// Parses a byte rate such as `4MiB/s`, in bytes per second.
pub(crate) fn bytes_rate(text: &str) -> ParseResult<f64> {
    const EXPECTED: &str = "expected bytes per second from 16KiB/s to 1GiB/s, as 4MiB/s";
    let value = bytes_per_s(text).ok_or(EXPECTED)?;
    (16384.0..=1073741824.0).contains(&value).then_some(value).ok_or(EXPECTED)
}

/// Parses the byte rate to one leaf such as `5KiB/s`, in bytes per second.
pub(crate) fn leaf_rate(text: &str) -> ParseResult<f64> {
    const EXPECTED: &str = "expected bytes per second from 1KiB/s to 16MiB/s, as 5KiB/s";
    let value = bytes_per_s(text).ok_or(EXPECTED)?;
    (1024.0..=16777216.0).contains(&value).then_some(value).ok_or(EXPECTED)
}

fn bytes_per_s(text: &str) -> Option<f64> {
    let bytes = text.strip_suffix("/s")?;
    let unit = |suffix: &str| bytes.strip_suffix(suffix).and_then(number);
    (unit("KiB").map(|v| v * 1024.0))
        .or(unit("MiB").map(|v| v * 1048576.0))
        .or(unit("GiB").map(|v| v * 1073741824.0))
}

/// Parses a whole number up to 1000000.
pub(crate) fn count(text: &str) -> ParseResult<f64> {
    const EXPECTED: &str = "expected a whole number from 0 to 1000000";
    let whole = text.len() <= 7 && text.bytes().all(|b| b.is_ascii_digit());
    let value: f64 = text.parse().map_err(|_| EXPECTED)?;
    (whole && value <= 1e6).then_some(value).ok_or(EXPECTED)
}

/// Parses a token with one of the functions above. Records a problem and returns `None` if that fails.
pub(crate) fn parse_arg<T>(
    token: &Token,
    parse: impl Fn(&str) -> ParseResult<T>,
    problems: &mut Vec<Problem>,
) -> Option<T> {
    parse(&token.text)
        .map_err(|expected| {
            let what = format!("{:?} is not valid here, {expected}", token.text);
            problems.push(Problem { location: token.location.clone(), description: what });
        })
        .ok()
}
