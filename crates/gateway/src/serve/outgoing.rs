//! A request as an endpoint gets it: unchanged, but for the fields of one
//! connection, the caller's key, the fields that are reserved for the system,
//! and what this node sets.

use hyper::HeaderMap;
use hyper::Request;
use hyper::header;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use hyper::http::request::Parts;
use woadstage_dispatch::endpoint::Endpoint;
use woadstage_types::unit::Span;

use super::admit::Admitted;
use super::payload::Payload;
use crate::headers::Headers;
use crate::upstream::Body;

/// Fields of a head that belong to one connection alone (RFC 9110, 7.6.1).
const HOP_BY_HOP: [HeaderName; 8] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// What one attempt adds to a request.
pub struct Attempt<'a> {
    /// Where it goes.
    pub endpoint: &'a Endpoint,
    /// What its caller has left.
    pub left: Span,
    /// The last event that arrived, where a stream goes on.
    pub last_event: Option<&'a str>,
}

/// Makes the request for one attempt; nothing where its body has gone out.
pub fn make(
    names: &Headers,
    admitted: &Admitted,
    head: &Parts,
    payload: &mut Payload,
    attempt: &Attempt<'_>,
) -> Option<Request<Body>> {
    if !payload.can_send() {
        return None;
    }
    let length = payload.length_opt();
    let path = head.uri.path_and_query()?.as_str();
    let mut request = Request::builder()
        .method(head.method.clone())
        .uri(path)
        .body(payload.take_body())
        .ok()?;
    let headers = request.headers_mut();
    *headers = head.headers.clone();
    strip(headers);
    headers.remove(header::AUTHORIZATION);
    headers.remove(header::EXPECT);
    headers.remove(&names.customer);
    for name in &names.reserved {
        headers.remove(name);
    }
    frame(headers, &head.headers, length);
    let left = (attempt.left.0 / 1_000).max(1);
    headers.insert(names.deadline.clone(), left.into());
    headers.insert(
        names.instance.clone(),
        to_value(attempt.endpoint.name.as_str())?,
    );
    if let Some(customer) = &admitted.customer {
        headers.insert(names.customer.clone(), to_value(customer.name.as_str())?);
    }
    if let Some(last) = attempt.last_event {
        headers.insert(names.last_event.clone(), to_value(last)?);
    }
    Some(request)
}

/// Says how long the body is: a held one is sent with its length, however it
/// came; one that came in chunks and passes through goes on in chunks.
fn frame(headers: &mut HeaderMap, came: &HeaderMap, length: Option<usize>) {
    let chunked = came.contains_key(header::TRANSFER_ENCODING);
    let framed = chunked || came.contains_key(header::CONTENT_LENGTH);
    match length {
        Some(length) if length > 0 || framed => {
            headers.insert(header::CONTENT_LENGTH, length.into());
        }
        None if chunked => {
            headers.remove(header::CONTENT_LENGTH);
        }
        _ => {}
    }
}

/// Removes the fields that belong to one connection, and those that its
/// `Connection` field names.
pub fn strip(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&HOP_BY_HOP) {
        headers.remove(name);
    }
}

fn to_value(text: &str) -> Option<HeaderValue> {
    HeaderValue::from_str(text).ok()
}
