//! Requests as endpoints receive them: unchanged except for hop-by-hop header fields, the
//! caller's key, reserved fields, and the fields that this node sets.

use hyper::HeaderMap;
use hyper::Request;
use hyper::header;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use hyper::http::request::Parts;
use woadstage_dispatch::endpoint::Endpoint;
use woadstage_types::unit::Span;

use super::admit::Admitted;
use super::hop;
use super::payload::Payload;
use crate::headers::Headers;
use crate::upstream::Body;

/// Hop-by-hop header fields (RFC 9110, 7.6.1).
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

/// The properties of one attempt that are added to its request.
pub struct Attempt<'a> {
    /// The endpoint that the request is sent to.
    pub endpoint: &'a Endpoint,
    /// The time until the caller's deadline.
    pub time_left: Span,
    /// The id of the last event received, if a stream is resumed.
    pub last_event: Option<&'a str>,
}

/// Builds the request for one attempt; `None` if its body was sent and cannot be repeated,
/// or a header value is invalid.
pub fn build(
    names: &Headers,
    admitted: &Admitted,
    head: &Parts,
    payload: &mut Payload,
    attempt: &Attempt<'_>,
) -> Option<Request<Body>> {
    let mut request = copy(head, payload)?;
    let headers = request.headers_mut();
    headers.remove(header::AUTHORIZATION);
    headers.remove(&names.customer);
    headers.remove(hop::FIELD);
    headers.remove(hop::SOFTWARE_FIELD);
    for name in &names.reserved {
        headers.remove(name);
    }
    let time_left_ms = (attempt.time_left.0 / 1_000).max(1);
    headers.insert(names.deadline.clone(), time_left_ms.into());
    headers.insert(
        names.instance.clone(),
        to_value(attempt.endpoint.name.as_str())?,
    );
    if let Some(customer) = &admitted.customer {
        headers.insert(names.customer.clone(), to_value(customer.name.as_str())?);
    }
    if let Some(last_event) = attempt.last_event {
        headers.insert(names.last_event.clone(), to_value(last_event)?);
    }
    Some(request)
}

/// Copies a caller's request, without its hop-by-hop header fields. `None` as for [`build`].
fn copy(head: &Parts, payload: &mut Payload) -> Option<Request<Body>> {
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
    remove_hop_by_hop(headers);
    headers.remove(header::EXPECT);
    set_framing(headers, &head.headers, length);
    Some(request)
}

/// Builds the request that forwards a caller's request to another node: unchanged except for
/// hop-by-hop header fields. `None` as for [`build`].
pub fn build_forwarded(
    names: &Headers,
    head: &Parts,
    payload: &mut Payload,
    stated: &hop::Request,
    last_event: Option<&str>,
) -> Option<Request<Body>> {
    let mut request = copy(head, payload)?;
    let headers = request.headers_mut();
    if let Some(authority) = head.uri.authority()
        && !headers.contains_key(header::HOST)
    {
        headers.insert(header::HOST, to_value(authority.as_str())?);
    }
    if let Some(last_event) = last_event {
        headers.insert(names.last_event.clone(), to_value(last_event)?);
    }
    hop::insert(headers, stated);
    Some(request)
}

/// Sets the framing of the body. A buffered body is sent with `Content-Length`, however it
/// was received; a streamed one that was received chunked stays chunked.
fn set_framing(headers: &mut HeaderMap, received: &HeaderMap, length: Option<usize>) {
    let chunked = received.contains_key(header::TRANSFER_ENCODING);
    let has_framing = chunked || received.contains_key(header::CONTENT_LENGTH);
    match length {
        Some(length) if length > 0 || has_framing => {
            headers.insert(header::CONTENT_LENGTH, length.into());
        }
        None if chunked => {
            headers.remove(header::CONTENT_LENGTH);
            // Without it the HTTP library sends no body with methods that rarely have one.
            let chunked = HeaderValue::from_static("chunked");
            headers.insert(header::TRANSFER_ENCODING, chunked);
        }
        _ => {}
    }
}

/// Removes the hop-by-hop header fields and those that `Connection` names.
pub fn remove_hop_by_hop(headers: &mut HeaderMap) {
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
