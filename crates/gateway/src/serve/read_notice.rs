//! Reads what an endpoint says of itself in the head of an answer.

use hyper::HeaderMap;
use hyper::header::HeaderName;
use woadstage_dispatch::job::End;
use woadstage_dispatch::notice::Field;
use woadstage_dispatch::notice::Notice;
use woadstage_dispatch::rate_limit::Limit;
use woadstage_types::unit;
use woadstage_types::unit::Span;

use super::judge::Verdict;
use crate::headers::Headers;
use crate::headers::text;

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
pub fn read(names: &Headers, headers: &HeaderMap, verdict: Verdict) -> Read {
    if matches!(verdict, Verdict::Retry(End::Lost | End::NotThere)) {
        return Read::default();
    }
    let mut read = Read::default();
    read.notice = Notice {
        cold_for: cold(names, headers),
        rate_limit: read.rate_limit(&names.rate_limit, headers, verdict),
    };
    read
}

/// For how long an endpoint says that it stays cold, where it does.
fn cold(names: &Headers, headers: &HeaderMap) -> Option<Span> {
    let millis: u64 = text(headers, &names.cold)?.trim().parse().ok()?;
    (millis > 0).then_some(Span::from_millis(millis))
}

impl Read {
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
        match String::from_utf8_lossy(value.as_bytes()).parse() {
            Ok(limit) => Field::Given(limit),
            Err(error) => {
                self.note_unreadable("rate-limit", error);
                Field::Unknown
            }
        }
    }

    fn note_unreadable(&mut self, field: &'static str, error: unit::Error) {
        self.unreadable.push(Unreadable { field, error });
    }
}
