//! Reads what an endpoint says of itself in the head of an answer.

use std::borrow::Cow;

use hyper::HeaderMap;
use hyper::StatusCode;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use woadstage_dispatch::job::End;
use woadstage_dispatch::notice::Field;
use woadstage_dispatch::notice::Notice;
use woadstage_dispatch::rate_limit::Limit;
use woadstage_dispatch::rest;
use woadstage_types::unit;
use woadstage_types::unit::Span;

use super::judge::Verdict;
use crate::headers::Headers;

/// A field that cannot be understood, and changes nothing.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Unreadable {
    /// What it is about.
    pub field: &'static str,
    /// What is wrong with it.
    pub error: unit::Error,
}

/// What one head says, and which of its fields cannot be understood.
#[derive(Debug, Default)]
pub struct Read {
    /// What it says.
    pub notice: Notice,
    /// What cannot be understood.
    pub unreadable: Vec<Unreadable>,
}

/// Reads a head. Nothing in it counts that is not the endpoint's answer to this request.
pub fn read(names: &Headers, status: StatusCode, headers: &HeaderMap, verdict: Verdict) -> Read {
    if matches!(verdict, Verdict::Retry(End::Lost | End::NotThere)) {
        return Read::default();
    }
    let mut read = Read::default();
    read.notice = Notice {
        cold_for: read.cold(&names.cold, headers),
        rate_limit: read.rate_limit(&names.rate_limit, headers, verdict),
        leaving: read.leaving(&names.leaving, headers),
        rest: match status {
            StatusCode::SERVICE_UNAVAILABLE => read.rest(&names.rest, headers),
            _ => None,
        },
    };
    read
}

impl Read {
    /// For how long an endpoint says that it stays cold.
    fn cold(&mut self, name: &HeaderName, headers: &HeaderMap) -> Option<Span> {
        let value = headers.get(name)?;
        let cold_for = self.keep_readable("cold", parse_cold(value))?;
        (cold_for > Span::ZERO).then_some(cold_for)
    }

    /// The requests a second that an endpoint says it takes. That it names none counts
    /// only where the answer is for the caller: what is in an endpoint's place may answer
    /// with errors of its own.
    fn rate_limit(
        &mut self,
        name: &HeaderName,
        headers: &HeaderMap,
        verdict: Verdict,
    ) -> Field<Limit> {
        let Some(value) = headers.get(name) else {
            return match verdict {
                Verdict::Pass => Field::Absent,
                Verdict::Retry(_) => Field::Unknown,
            };
        };
        let limit = self.keep_readable("rate-limit", to_text(value).parse());
        limit.map_or(Field::Unknown, Field::Given)
    }

    /// True where an endpoint says that it leaves. Where it says so twice, once is enough.
    fn leaving(&mut self, name: &HeaderName, headers: &HeaderMap) -> bool {
        let values = headers.get_all(name).iter();
        let said = values.filter_map(|value| self.keep_readable("leaving", parse_leaving(value)));
        said.count() > 0
    }

    /// For how long an endpoint wants nothing; of several times the longest.
    fn rest(&mut self, name: &HeaderName, headers: &HeaderMap) -> Option<Span> {
        let values = headers.get_all(name).iter();
        let rests =
            values.filter_map(|value| self.keep_readable("rest", rest::parse(&to_text(value))));
        rests.max().filter(|rest| *rest > Span::ZERO)
    }

    /// What was read, or nothing where it could not be.
    fn keep_readable<T>(&mut self, field: &'static str, read: Result<T, unit::Error>) -> Option<T> {
        match read {
            Ok(value) => Some(value),
            Err(error) => {
                self.unreadable.push(Unreadable { field, error });
                None
            }
        }
    }
}

fn to_text(value: &HeaderValue) -> Cow<'_, str> {
    String::from_utf8_lossy(value.as_bytes())
}

/// Reads how long an endpoint stays cold, in milliseconds.
fn parse_cold(value: &HeaderValue) -> Result<Span, unit::Error> {
    let text = to_text(value);
    let millis = text.trim().parse().map_err(|_| unit::Error {
        text: text.clone().into_owned(),
        expected: "whole milliseconds such as \"600\"",
    });
    millis.map(Span::from_millis)
}

/// Reads an endpoint's word that it leaves.
fn parse_leaving(value: &HeaderValue) -> Result<(), unit::Error> {
    let text = to_text(value);
    let error = || unit::Error {
        text: text.clone().into_owned(),
        expected: "\"1\"",
    };
    (text.trim() == "1").then_some(()).ok_or_else(error)
}
