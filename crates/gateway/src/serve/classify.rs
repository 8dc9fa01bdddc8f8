//! Classification of an answer by its head.

use hyper::HeaderMap;
use hyper::StatusCode;
use woadstage_dispatch::job::End;

use crate::headers::Headers;
use crate::headers::text;

/// What happens to an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Disposition {
    /// The answer is forwarded to the caller.
    Forward,
    /// The attempt failed with this end; the request may be retried.
    Retry(End),
}

/// Classifies the answer to the request with id `request_id`. An answer that echoes another id
/// belongs to another request, and one that echoes none to a request without one, such as a health
/// check: whether this request ran is not known. Only an endpoint that could not read a request
/// answers without its id.
pub fn classify(
    names: &Headers,
    request_id: &str,
    status: StatusCode,
    headers: &HeaderMap,
) -> Disposition {
    let echoed = text(headers, &names.request);
    if echoed.is_some_and(|echoed| echoed != request_id) {
        return Disposition::Retry(End::Lost);
    }
    let may_lack_id = request_id.is_empty() || status == StatusCode::BAD_REQUEST;
    if echoed.is_none() && !may_lack_id {
        return Disposition::Retry(End::Lost);
    }
    if headers.contains_key(&names.not_run) || status == StatusCode::MISDIRECTED_REQUEST {
        return classify_not_run(status);
    }
    if status.is_server_error() || implies_not_run(status) {
        return Disposition::Retry(End::Fault);
    }
    Disposition::Forward
}

/// Classifies an answer whose endpoint reports that it did not run the request.
fn classify_not_run(status: StatusCode) -> Disposition {
    match status {
        StatusCode::MISDIRECTED_REQUEST => Disposition::Retry(End::NotThere),
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => {
            Disposition::Retry(End::Full)
        }
        _ => Disposition::Forward,
    }
}

/// Whether callers conclude from this status that the request did not run.
pub fn implies_not_run(status: StatusCode) -> bool {
    matches!(status.as_u16(), 408 | 421 | 429 | 503)
}
