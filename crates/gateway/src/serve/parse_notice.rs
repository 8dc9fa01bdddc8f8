//! Parses what an endpoint reports about itself in the head of an answer.

use std::borrow::Cow;
use std::str::FromStr;

use hyper::HeaderMap;
use hyper::StatusCode;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use woadstage_dispatch::dispatcher::Dispatcher;
use woadstage_dispatch::job;
use woadstage_dispatch::job::End;
use woadstage_dispatch::notice::Change;
use woadstage_dispatch::notice::Field;
use woadstage_dispatch::notice::Notice;
use woadstage_dispatch::rest;
use woadstage_dispatch::stated_load;
use woadstage_types::unit;
use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

use super::classify::Disposition;
use crate::headers::Headers;

/// A header field that could not be parsed and is ignored.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InvalidField {
    /// The name of the field in the log.
    pub field: &'static str,
    /// Why parsing failed.
    pub error: unit::Error,
}

/// The notice in one head, and its invalid fields.
#[derive(Debug, Default)]
pub struct Parsed {
    /// The valid fields.
    pub notice: Notice,
    /// The load that the endpoint stated, if it did.
    pub load: Option<stated_load::Load>,
    /// The fields that could not be parsed.
    pub invalid_fields: Vec<InvalidField>,
}

/// Parses a head. Ignores one that does not come from the addressed endpoint or does not
/// answer this request.
pub fn parse(
    names: &Headers,
    status: StatusCode,
    headers: &HeaderMap,
    disposition: Disposition,
) -> Parsed {
    if matches!(disposition, Disposition::Retry(End::Lost | End::NotThere)) {
        return Parsed::default();
    }
    let mut parsed = Parsed::default();
    parsed.notice = Notice {
        cold_for: parsed.cold(&names.cold, headers),
        rate_limit: parsed.statement("rate-limit", headers.get(&names.rate_limit), disposition),
        tolerance: parsed.statement("tolerance", headers.get(&names.tolerance), disposition),
        leaving: parsed.leaving(&names.leaving, headers),
        rest: match status {
            StatusCode::SERVICE_UNAVAILABLE => parsed.rest(&names.rest, headers),
            _ => None,
        },
    };
    parsed.load = parsed.load(&names.load, headers);
    parsed
}

impl Parsed {
    /// Applies what the head reports to the endpoint that answered. Returns what changed.
    pub fn apply(&self, dispatcher: &mut Dispatcher, now: Time, job: job::Id) -> Vec<Change> {
        if let Some(load) = self.load {
            dispatcher.record_stated_load(now, job, load);
        }
        dispatcher.apply_notice(now, job, &self.notice)
    }

    /// Returns how long the endpoint stays cold.
    fn cold(&mut self, name: &HeaderName, headers: &HeaderMap) -> Option<Span> {
        let value = headers.get(name)?;
        let cold_for = self.ok_or_record("cold", parse_cold(value))?;
        (cold_for > Span::ZERO).then_some(cold_for)
    }

    /// Returns what the endpoint states in all its answers while it holds. A missing field counts as
    /// the end only in an answer that is forwarded: an error may come from another service at the
    /// endpoint's address.
    fn statement<T: FromStr<Err = unit::Error>>(
        &mut self,
        field: &'static str,
        value: Option<&HeaderValue>,
        disposition: Disposition,
    ) -> Field<T> {
        let Some(value) = value else {
            return match disposition {
                Disposition::Forward => Field::Absent,
                Disposition::Retry(_) => Field::Unknown,
            };
        };
        let parsed = self.ok_or_record(field, to_text(value).parse());
        parsed.map_or(Field::Unknown, Field::Given)
    }

    /// Returns the load that the endpoint states.
    fn load(&mut self, name: &HeaderName, headers: &HeaderMap) -> Option<stated_load::Load> {
        let value = headers.get(name)?;
        self.ok_or_record("load", to_text(value).parse())
    }

    /// Whether the endpoint is leaving. One valid value among several is enough.
    fn leaving(&mut self, name: &HeaderName, headers: &HeaderMap) -> bool {
        let values = headers.get_all(name).iter();
        let valid = values.filter_map(|value| self.ok_or_record("leaving", parse_leaving(value)));
        valid.count() > 0
    }

    /// Returns the rest that the endpoint asks for, or the longest if there are several.
    fn rest(&mut self, name: &HeaderName, headers: &HeaderMap) -> Option<Span> {
        let values = headers.get_all(name).iter();
        let rests =
            values.filter_map(|value| self.ok_or_record("rest", rest::parse(&to_text(value))));
        rests.max().filter(|rest| *rest > Span::ZERO)
    }

    /// Returns the parsed value, or records the error.
    fn ok_or_record<T>(
        &mut self,
        field: &'static str,
        parsed: Result<T, unit::Error>,
    ) -> Option<T> {
        match parsed {
            Ok(value) => Some(value),
            Err(error) => {
                self.invalid_fields.push(InvalidField { field, error });
                None
            }
        }
    }
}

fn to_text(value: &HeaderValue) -> Cow<'_, str> {
    String::from_utf8_lossy(value.as_bytes())
}

/// Parses how long an endpoint stays cold, in milliseconds.
fn parse_cold(value: &HeaderValue) -> Result<Span, unit::Error> {
    let text = to_text(value);
    let millis = text.trim().parse().map_err(|_| unit::Error {
        text: text.clone().into_owned(),
        expected: "whole milliseconds such as \"600\"",
    });
    millis.map(Span::from_millis)
}

/// Parses an endpoint's announcement that it is leaving.
fn parse_leaving(value: &HeaderValue) -> Result<(), unit::Error> {
    let text = to_text(value);
    let error = || unit::Error {
        text: text.clone().into_owned(),
        expected: "\"1\"",
    };
    (text.trim() == "1").then_some(()).ok_or_else(error)
}
