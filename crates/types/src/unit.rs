//! Times, durations, sizes and rates, each with its unit and its text form.

use std::fmt;
use std::ops::Add;
use std::ops::AddAssign;
use std::ops::Sub;
use std::str::FromStr;

use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;
use serde::de;

/// The microseconds in one second.
pub const MICROS_PER_SECOND: u64 = 1_000_000;

/// The error of a text that is not a value of the expected unit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Error {
    /// The text that was parsed.
    pub text: String,
    /// The expected form, with an example.
    pub expected: &'static str,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "\"{}\" is not {}", self.text, self.expected)
    }
}

impl std::error::Error for Error {}

/// Parses a non-negative finite number from another system, such as `2`, `2.75` or `1e3`.
///
/// # Errors
/// Any other text, reported with the `expected` form.
pub fn parse_non_negative(text: &str, expected: &'static str) -> Result<f64, Error> {
    let number: Option<f64> = text.trim().parse().ok();
    let valid = number.filter(|number| number.is_finite() && *number >= 0.0);
    valid.ok_or_else(|| Error {
        text: text.into(),
        expected,
    })
}

/// The maximum number of digits after the decimal point.
const MAX_DECIMAL_PLACES: usize = 6;

/// A decimal number: its integer part and its millionths.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Number {
    whole: u64,
    millionths: u64,
}

impl Number {
    /// Returns the number times a factor, rounded down, or `None` on overflow.
    fn checked_mul(self, factor: u64) -> Option<u64> {
        let whole = self.whole.checked_mul(factor)?;
        let fraction = u128::from(self.millionths) * u128::from(factor) / 1_000_000;
        whole.checked_add(u64::try_from(fraction).ok()?)
    }

    /// Returns the number if it is an integer.
    fn to_integer_opt(self) -> Option<u64> {
        (self.millionths == 0).then_some(self.whole)
    }
}

/// Splits a text into its number and its unit.
fn split_unit(text: &str) -> Option<(Number, &str)> {
    let end = text
        .find(|c: char| !c.is_ascii_digit() && c != '.')
        .unwrap_or(text.len());
    let (whole, fraction) = text[..end].split_once('.').unwrap_or((&text[..end], "0"));
    if fraction.is_empty() || fraction.len() > MAX_DECIMAL_PLACES || fraction.contains('.') {
        return None;
    }
    let number = Number {
        whole: whole.parse().ok()?,
        millionths: format!("{fraction:0<MAX_DECIMAL_PLACES$}").parse().ok()?,
    };
    Some((number, text[end..].trim()))
}

/// Implements serialisation of a unit: text in human-readable formats such as the
/// settings, a number in binary formats.
macro_rules! serde_as_text {
    ($name:ident) => {
        impl Serialize for $name {
            fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
                match serializer.is_human_readable() {
                    true => serializer.collect_str(self),
                    false => self.0.serialize(serializer),
                }
            }
        }

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
                if !deserializer.is_human_readable() {
                    return u64::deserialize(deserializer).map($name);
                }
                let text = String::deserialize(deserializer)?;
                text.parse().map_err(de::Error::custom)
            }
        }
    };
}

/// A point in time in microseconds since the Unix epoch. A process reads the system
/// clock once at its start and adds the time elapsed on a monotonic clock, so that
/// adjustments of the system clock don't make the time jump.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Time(pub u64);

impl Time {
    /// Returns the duration from `earlier` to this time, or zero if `earlier` is later.
    pub fn since(self, earlier: Time) -> Span {
        Span(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Span> for Time {
    type Output = Time;

    fn add(self, span: Span) -> Time {
        Time(self.0.saturating_add(span.0))
    }
}

impl Sub<Span> for Time {
    type Output = Time;

    fn sub(self, span: Span) -> Time {
        Time(self.0.saturating_sub(span.0))
    }
}

/// A duration in microseconds. Text form: `250ms`, `6us`, `30s`, `2m`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Span(pub u64);

impl Span {
    /// A duration of zero.
    pub const ZERO: Span = Span(0);

    /// Creates a duration from milliseconds.
    pub const fn from_millis(millis: u64) -> Span {
        Span(millis.saturating_mul(1_000))
    }

    /// Creates a duration from seconds.
    pub const fn from_secs(secs: u64) -> Span {
        Span(secs.saturating_mul(MICROS_PER_SECOND))
    }

    /// Returns the duration in seconds.
    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / MICROS_PER_SECOND as f64
    }

    /// Returns the duration in seconds, rounded up, as `Retry-After` requires.
    pub fn to_secs_ceil(self) -> u64 {
        self.0.div_ceil(MICROS_PER_SECOND)
    }
}

impl Add for Span {
    type Output = Span;

    fn add(self, other: Span) -> Span {
        Span(self.0.saturating_add(other.0))
    }
}

impl AddAssign for Span {
    fn add_assign(&mut self, other: Span) {
        *self = *self + other;
    }
}

impl fmt::Display for Span {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            0 => write!(f, "0s"),
            us if us % MICROS_PER_SECOND == 0 => write!(f, "{}s", us / MICROS_PER_SECOND),
            us if us % 1_000 == 0 => write!(f, "{}ms", us / 1_000),
            us => write!(f, "{us}us"),
        }
    }
}

impl FromStr for Span {
    type Err = Error;

    fn from_str(text: &str) -> Result<Span, Error> {
        let error = || Error {
            text: text.into(),
            expected: "a length of time such as \"250ms\"",
        };
        let (number, unit) = split_unit(text).ok_or_else(error)?;
        let factor = match unit {
            "us" => 1,
            "ms" => 1_000,
            "s" => MICROS_PER_SECOND,
            "m" => 60 * MICROS_PER_SECOND,
            _ => return Err(error()),
        };
        number.checked_mul(factor).map(Span).ok_or_else(error)
    }
}

serde_as_text!(Span);

/// A size in bytes. Text form: `512B`, `64KiB`, `8MiB`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Size(pub u64);

impl Size {
    /// Creates a size from kibibytes.
    pub const fn from_kib(kib: u64) -> Size {
        Size(kib << 10)
    }

    /// Creates a size from mebibytes.
    pub const fn from_mib(mib: u64) -> Size {
        Size(mib << 20)
    }
}

impl fmt::Display for Size {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            n if n > 0 && n % (1 << 20) == 0 => write!(f, "{}MiB", n >> 20),
            n if n > 0 && n % (1 << 10) == 0 => write!(f, "{}KiB", n >> 10),
            n => write!(f, "{n}B"),
        }
    }
}

impl FromStr for Size {
    type Err = Error;

    fn from_str(text: &str) -> Result<Size, Error> {
        let error = || Error {
            text: text.into(),
            expected: "a size such as \"8MiB\"",
        };
        let (number, unit) = split_unit(text).ok_or_else(error)?;
        let factor = match unit {
            "B" => 1,
            "KiB" => 1 << 10,
            "MiB" => 1 << 20,
            _ => return Err(error()),
        };
        number.checked_mul(factor).map(Size).ok_or_else(error)
    }
}

serde_as_text!(Size);

/// A rate in events (such as requests or tokens) per second. Text form: `50/s`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Rate(pub u64);

impl fmt::Display for Rate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.0)
    }
}

impl FromStr for Rate {
    type Err = Error;

    fn from_str(text: &str) -> Result<Rate, Error> {
        let error = || Error {
            text: text.into(),
            expected: "a rate such as \"50/s\"",
        };
        match split_unit(text).ok_or_else(error)? {
            (number, "/s") => number.to_integer_opt().map(Rate).ok_or_else(error),
            _ => Err(error()),
        }
    }
}

serde_as_text!(Rate);

/// A number of tokens, the unit of a model's work.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Tokens(pub u64);

impl fmt::Display for Tokens {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} tokens", self.0)
    }
}
