//! What an answer's head means for the request it answers.

use hyper::HeaderMap;
use hyper::StatusCode;
use woadstage_dispatch::job::End;

use crate::headers::Headers;
use crate::headers::text;

/// What an answer's head means.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The caller is to have it.
    Pass,
    /// The attempt ended so, and another may follow.
    Retry(End),
}

/// Says what an answer's head means for the request with an id.
pub fn judge(names: &Headers, request: &str, status: StatusCode, headers: &HeaderMap) -> Verdict {
    let echoed = text(headers, &names.request);
    if echoed.is_some_and(|echoed| echoed != request) {
        return Verdict::Retry(End::Lost);
    }
    if headers.contains_key(&names.not_run) || status == StatusCode::MISDIRECTED_REQUEST {
        return not_run(status);
    }
    if status.is_success() && echoed.is_none() && !request.is_empty() {
        return Verdict::Retry(End::Lost);
    }
    if status.is_server_error() || promises_not_run(status) {
        return Verdict::Retry(End::Fault);
    }
    Verdict::Pass
}

/// The endpoint says that it did not run the request.
fn not_run(status: StatusCode) -> Verdict {
    match status {
        StatusCode::MISDIRECTED_REQUEST => Verdict::Retry(End::NotThere),
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => {
            Verdict::Retry(End::Full)
        }
        _ => Verdict::Pass,
    }
}

/// True for a status by which callers take it that a request has not run.
pub fn promises_not_run(status: StatusCode) -> bool {
    matches!(status.as_u16(), 408 | 421 | 429 | 503)
}
