//! Parsers for single values.

use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::str::FromStr;
use std::time::Duration;

use quick_error::quick_error;

quick_error! {
    /// Why a value is invalid. The text says what is expected.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum ValueError {
        /// The value or an element of a list is empty.
        Empty {
            display("the value is empty")
        }
        /// Not a duration.
        Duration(text: Box<str>) {
            display("\"{text}\" is no duration; write a number with a unit, such as 1500ms, 9s or 8h")
        }
        /// A duration of zero where time must pass.
        ZeroDuration {
            display("the duration must be longer than zero")
        }
        /// Not a size.
        Size(text: Box<str>) {
            display("\"{text}\" is no size; write a whole number with a unit, such as 512KiB or 24GiB")
        }
        /// Not a percentage.
        Percentage(text: Box<str>) {
            display("\"{text}\" is no percentage from 0% to 100% with at most two decimals, such as 25% or 99.9%")
        }
        /// Not an amount of the unit of account.
        Amount(text: Box<str>) {
            display("\"{text}\" is no amount with at most three decimals, such as 2 or 0.125")
        }
        /// Not a whole number.
        Number(text: Box<str>, min: u64, max: u64) {
            display("\"{text}\" is no whole number from {min} to {max}")
        }
        /// Not a boolean.
        Boolean(text: Box<str>) {
            display("\"{text}\" is neither \"true\" nor \"false\"")
        }
        /// Not an address.
        Address(text: Box<str>) {
            display("\"{text}\" is no address; write IP:PORT, such as 127.0.0.1:7100")
        }
        /// Not one of the permitted words.
        Choice(text: Box<str>, choices: Box<str>) {
            display("\"{text}\" is not one of {choices}")
        }
        /// Not a name.
        Name(text: Box<str>) {
            display("\"{text}\" is no name; use letters, digits, dots, hyphens and underscores")
        }
        /// Any other error, described by the parser.
        Other(message: Box<str>) {
            display("{message}")
        }
    }
}

/// Parses text that must not be empty.
pub fn text(text: &str) -> Result<Box<str>, ValueError> {
    if text.is_empty() { Err(ValueError::Empty) } else { Ok(text.into()) }
}

/// Parses a name of ASCII letters, digits, dots, hyphens and underscores that begins with a letter
/// or digit.
pub fn name(text: &str) -> Result<Box<str>, ValueError> {
    if text.is_empty() {
        return Err(ValueError::Empty);
    }
    let valid = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '-' | '_');
    if text.chars().all(valid) && text.starts_with(|c: char| c.is_ascii_alphanumeric()) {
        Ok(text.into())
    } else {
        Err(ValueError::Name(text.into()))
    }
}

/// Parses a duration such as `1500ms`, `9s` or `8h`; it may be zero.
pub fn duration(text: &str) -> Result<Duration, ValueError> {
    humantime::parse_duration(text).map_err(|_| ValueError::Duration(text.into()))
}

/// Parses a duration that is longer than zero.
pub fn positive_duration(text: &str) -> Result<Duration, ValueError> {
    match duration(text)? {
        Duration::ZERO => Err(ValueError::ZeroDuration),
        duration => Ok(duration),
    }
}

/// Parses a size with a unit from `B` to `TiB` (binary) or `KB` to `TB` (decimal) into
/// bytes.
pub fn size(text: &str) -> Result<u64, ValueError> {
    let error = || ValueError::Size(text.into());
    let digits = text.len() - text.trim_start_matches(|c: char| c.is_ascii_digit()).len();
    let (number, unit) = text.split_at(digits);
    let number: u64 = number.parse().map_err(|_| error())?;
    let factor: u64 = match unit.trim_start() {
        "B" => 1,
        "KiB" => 1 << 10,
        "MiB" => 1 << 20,
        "GiB" => 1 << 30,
        "TiB" => 1 << 40,
        "KB" => 1_000,
        "MB" => 1_000_000,
        "GB" => 1_000_000_000,
        "TB" => 1_000_000_000_000,
        _ => return Err(error()),
    };
    number.checked_mul(factor).ok_or_else(error)
}

/// Parses a percentage from `0%` to `100%` with at most two decimals into basis points.
pub fn percentage(text: &str) -> Result<u32, ValueError> {
    let error = || ValueError::Percentage(text.into());
    let number = text.strip_suffix('%').ok_or_else(error)?;
    let basis_points = fixed_point(number.trim_end(), 2).ok_or_else(error)?;
    u32::try_from(basis_points).ok().filter(|b| *b <= 10_000).ok_or_else(error)
}

/// Parses an amount of the unit of account with at most three decimals into thousandths.
pub fn amount_milli(text: &str) -> Result<u32, ValueError> {
    let error = || ValueError::Amount(text.into());
    fixed_point(text, 3).and_then(|n| u32::try_from(n).ok()).ok_or_else(error)
}

/// Returns a parser of whole numbers within `range`.
pub fn number<T: FromStr + PartialOrd + Copy + Into<u64>>(
    range: RangeInclusive<T>,
) -> impl Fn(&str) -> Result<T, ValueError> {
    move |text| {
        let (min, max) = ((*range.start()).into(), (*range.end()).into());
        let digits = !text.is_empty() && text.bytes().all(|b| b.is_ascii_digit());
        let value = digits.then(|| text.parse().ok()).flatten();
        value.filter(|n| range.contains(n)).ok_or_else(|| ValueError::Number(text.into(), min, max))
    }
}

/// Parses `true` or `false`.
pub fn boolean(text: &str) -> Result<bool, ValueError> {
    text.parse().map_err(|_| ValueError::Boolean(text.into()))
}

/// Parses an address as `IP:PORT`. Host names are refused, because instances are reached by IP
/// address.
pub fn address(text: &str) -> Result<SocketAddr, ValueError> {
    text.parse().map_err(|_| ValueError::Address(text.into()))
}

/// Returns a parser that maps each of the given words to its value.
pub fn choice<T: Copy>(choices: &[(&str, T)]) -> impl Fn(&str) -> Result<T, ValueError> {
    move |text| {
        choices.iter().find(|(word, _)| *word == text).map(|(_, value)| *value).ok_or_else(|| {
            let words: Vec<_> = choices.iter().map(|(word, _)| *word).collect();
            ValueError::Choice(text.into(), words.join(", ").into())
        })
    }
}

/// Parses a decimal number into a whole number of units of `10^-decimals`, without rounding.
fn fixed_point(text: &str, decimals: usize) -> Option<u64> {
    let (whole, fraction) = text.split_once('.').unwrap_or((text, "0"));
    let digits = |s: &str| !s.is_empty() && s.bytes().all(|b| b.is_ascii_digit());
    if !digits(whole) || !digits(fraction) || fraction.len() > decimals {
        return None;
    }
    let scale = 10u64.pow(u32::try_from(decimals).ok()?);
    let fraction: u64 = format!("{fraction:0<decimals$}").parse().ok()?;
    whole.parse::<u64>().ok()?.checked_mul(scale)?.checked_add(fraction)
}
