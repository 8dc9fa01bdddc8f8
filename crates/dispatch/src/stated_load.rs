//! The load that an endpoint states in the head of an answer.

use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;
use woadstage_types::unit;
use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

/// The slowness of an endpoint that works as fast as a typical one, in percent.
pub const USUAL_SLOWNESS: u16 = 100;

/// The greatest slowness that is valid, in percent.
pub const MAX_SLOWNESS: u16 = 10_000;

/// How long a statement counts. Half of a typical slow period: in the middle of one, an endpoint is
/// as likely to remain slow for longer as it is to recover.
pub const VALID_FOR: Span = Span::from_millis(300);

/// The time in which the usual slowness moves halfway to a higher value that is stated all the
/// time. Much longer than a slow period, so that one hardly changes it.
const USUAL_RISE_HALF_LIFE: Span = Span::from_secs(10);

/// The maximum time between two statements that counts towards a rise. A single statement after a
/// long silence may come from a slow period.
const MAX_RISE_TIME: Span = Span::from_secs(1);

/// The weight of a statement below the usual slowness. Low enough that one wrong value does not
/// make the endpoint look slow for long.
const USUAL_FALL_WEIGHT: f64 = 0.3;

/// The greatest ratio of the present slowness to the usual one that is counted.
const MAX_RATIO: f64 = 10.0;

/// The load that an endpoint states: comma-separated integers, as in `3,0,8` or `3,0,8,250`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Requests in progress.
    pub running: u16,
    /// Requests waiting for a slot.
    pub waiting: u16,
    /// Slots.
    pub slots: u16,
    /// How long work takes there at present, in percent of the time at a typical endpoint, if
    /// stated.
    pub slowness: Option<u16>,
}

impl FromStr for Load {
    type Err = unit::Error;

    fn from_str(text: &str) -> Result<Load, unit::Error> {
        parse_opt(text).ok_or_else(|| unit::Error {
            text: text.to_owned(),
            expected: "running, waiting and slots such as \"3,0,8\", or with the slowness in percent \
                       such as \"3,0,8,250\"",
        })
    }
}

fn parse_opt(text: &str) -> Option<Load> {
    let values: Option<Vec<u16>> = text.split(',').map(parse_number_opt).collect();
    let (running, waiting, slots, slowness) = match values?[..] {
        [running, waiting, slots] => (running, waiting, slots, None),
        [running, waiting, slots, slowness] => (running, waiting, slots, Some(slowness)),
        _ => return None,
    };
    let is_valid = slowness.is_none_or(|percent| (1..=MAX_SLOWNESS).contains(&percent));
    is_valid.then_some(Load {
        running,
        waiting,
        slots,
        slowness,
    })
}

/// Parses a decimal integer. The standard parser would also accept a plus sign.
fn parse_number_opt(text: &str) -> Option<u16> {
    let digits = text.trim_matches([' ', '\t']);
    let is_decimal = digits.bytes().all(|byte| byte.is_ascii_digit());
    is_decimal.then(|| digits.parse().ok()).flatten()
}

/// How much slower an endpoint is at present than usual, by its own statements.
///
/// A stated slowness is relative to a typical endpoint. Learnt speeds already contain that an
/// endpoint is slower than others as a rule, so only the ratio to the value that it usually states
/// is of use.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Slowness {
    latest: Option<Statement>,
}

#[derive(Debug, Clone, Copy, PartialEq)]
struct Statement {
    at: Time,
    /// The slowness that the endpoint usually states, in percent.
    usual: f64,
    /// The stated slowness as a multiple of the usual one.
    ratio: f64,
}

impl Slowness {
    /// Records a stated slowness, in percent.
    pub fn record(&mut self, now: Time, percent: u16) {
        // Only headers are checked for 0; a report of another node is not.
        let stated = f64::from(percent.max(1));
        let Some(latest) = self.latest else {
            self.latest = Some(Statement {
                at: now,
                usual: stated,
                ratio: 1.0,
            });
            return;
        };
        let weight = match stated < latest.usual {
            true => USUAL_FALL_WEIGHT,
            false => {
                let elapsed = now.since(latest.at).min(MAX_RISE_TIME);
                1.0 - 0.5f64.powf(elapsed.as_secs_f64() / USUAL_RISE_HALF_LIFE.as_secs_f64())
            }
        };
        self.latest = Some(Statement {
            at: now,
            usual: latest.usual + (stated - latest.usual) * weight,
            ratio: (stated / latest.usual).clamp(1.0, MAX_RATIO),
        });
    }

    /// How long work takes at present as a multiple of the usual time: 1 without a statement within
    /// [`VALID_FOR`].
    pub fn present_ratio(&self, now: Time) -> f64 {
        let latest = self.latest;
        let valid = latest.filter(|latest| now.since(latest.at) < VALID_FOR);
        valid.map_or(1.0, |latest| latest.ratio)
    }
}
