//! Times, spans, sizes and rates, each with its unit and its text form.

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

/// Microseconds in a second.
pub const MICROS_PER_SECOND: u64 = 1_000_000;

/// Says why a text is not a value of the unit it was read as.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Error {
    /// The text as given.
    pub text: String,
    /// The form that is expected, with an example.
    pub expected: &'static str,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "\"{}\" is not {}", self.text, self.expected)
    }
}

impl std::error::Error for Error {}

/// Reads a number from 0 on that others wrote, as `2`, `2.75` or `1e3`.
///
/// # Errors
/// For anything else, with the form that is `expected`.
pub fn parse_non_negative(text: &str, expected: &'static str) -> Result<f64, Error> {
    let number: Option<f64> = text.trim().parse().ok();
    let usable = number.filter(|number| number.is_finite() && *number >= 0.0);
    usable.ok_or_else(|| Error {
        text: text.into(),
        expected,
    })
}

/// Digits behind the point that a number may have.
const PLACES: usize = 6;

/// A number as it was written: its whole part, and millionths.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Number {
    whole: u64,
    millionths: u64,
}

impl Number {
    /// The number times a factor, rounded down, if that can be held.
    fn times(self, factor: u64) -> Option<u64> {
        let whole = self.whole.checked_mul(factor)?;
        let part = u128::from(self.millionths) * u128::from(factor) / 1_000_000;
        whole.checked_add(u64::try_from(part).ok()?)
    }

    /// The number, if it is a whole one.
    fn to_whole(self) -> Option<u64> {
        (self.millionths == 0).then_some(self.whole)
    }
}

/// Cuts a text into its number and its unit.
fn split(text: &str) -> Option<(Number, &str)> {
    let end = text
        .find(|c: char| !c.is_ascii_digit() && c != '.')
        .unwrap_or(text.len());
    let (whole, part) = text[..end].split_once('.').unwrap_or((&text[..end], "0"));
    if part.is_empty() || part.len() > PLACES || part.contains('.') {
        return None;
    }
    let number = Number {
        whole: whole.parse().ok()?,
        millionths: format!("{part:0<PLACES$}").parse().ok()?,
    };
    Some((number, text[end..].trim()))
}

/// Makes a unit read and write itself as text in settings.
macro_rules! serde_as_text {
    ($name:ident) => {
        impl Serialize for $name {
            fn serialize<S: Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
                match to.is_human_readable() {
                    true => to.collect_str(self),
                    false => self.0.serialize(to),
                }
            }
        }

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
                if !from.is_human_readable() {
                    return u64::deserialize(from).map($name);
                }
                let text = String::deserialize(from)?;
                text.parse().map_err(de::Error::custom)
            }
        }
    };
}

/// A point in time: microseconds since the Unix epoch, read once at the start
/// of a process and then driven by the monotonic clock, so it never steps.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Time(pub u64);

impl Time {
    /// The span from `earlier` to this time, or zero if it lies later.
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

/// A length of time in microseconds. Text form: `250ms`, `6us`, `30s`, `2m`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Span(pub u64);

impl Span {
    /// No time at all.
    pub const ZERO: Span = Span(0);

    /// A span of whole milliseconds.
    pub const fn from_millis(millis: u64) -> Span {
        Span(millis * 1_000)
    }

    /// A span of whole seconds.
    pub const fn from_secs(secs: u64) -> Span {
        Span(secs * MICROS_PER_SECOND)
    }

    /// The span in seconds.
    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / MICROS_PER_SECOND as f64
    }

    /// The span in whole seconds, rounded up, as `Retry-After` wants it.
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
        let fault = || Error {
            text: text.into(),
            expected: "a length of time such as \"250ms\"",
        };
        let (number, unit) = split(text).ok_or_else(fault)?;
        let factor = match unit {
            "us" => 1,
            "ms" => 1_000,
            "s" => MICROS_PER_SECOND,
            "m" => 60 * MICROS_PER_SECOND,
            _ => return Err(fault()),
        };
        number.times(factor).map(Span).ok_or_else(fault)
    }
}

serde_as_text!(Span);

/// A size in bytes. Text form: `512B`, `64KiB`, `8MiB`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Size(pub u64);

impl Size {
    /// A size of whole kibibytes.
    pub const fn from_kib(kib: u64) -> Size {
        Size(kib << 10)
    }

    /// A size of whole mebibytes.
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
        let fault = || Error {
            text: text.into(),
            expected: "a size such as \"8MiB\"",
        };
        let (number, unit) = split(text).ok_or_else(fault)?;
        let factor = match unit {
            "B" => 1,
            "KiB" => 1 << 10,
            "MiB" => 1 << 20,
            _ => return Err(fault()),
        };
        number.times(factor).map(Size).ok_or_else(fault)
    }
}

serde_as_text!(Size);

/// A rate in events (requests, tokens) a second. Text form: `50/s`.
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
        let fault = || Error {
            text: text.into(),
            expected: "a rate such as \"50/s\"",
        };
        match split(text).ok_or_else(fault)? {
            (number, "/s") => number.to_whole().map(Rate).ok_or_else(fault),
            _ => Err(fault()),
        }
    }
}

serde_as_text!(Rate);

/// A count of tokens, the measure of model work.
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
