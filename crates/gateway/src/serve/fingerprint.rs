//! Fingerprints of requests: the same for all attempts and all callers of a customer that
//! ask for the same thing.

use hyper::header;
use hyper::http::request::Parts;
use woadstage_dispatch::job::Fingerprint;
use woadstage_types::hash;

use super::admit::Admitted;
use super::payload::Payload;
use crate::headers::text;

/// Separates the parts, so that a character moved from one part to the next changes the
/// fingerprint. It cannot occur in a head.
const SEPARATOR: [u8; 1] = [0];

/// Computes the fingerprint of a request. A body that is too long to be buffered
/// contributes its beginning and its declared length.
pub fn of(admitted: &Admitted, head: &Parts, payload: Option<&Payload>) -> Fingerprint {
    let host = text(&head.headers, &header::HOST).unwrap_or_default();
    let path = head.uri.path_and_query();
    let path = path.map_or("", |path| path.as_str());
    let length = text(&head.headers, &header::CONTENT_LENGTH);
    let length = payload
        .filter(|payload| payload.length_opt().is_none())
        .and(length);
    let parts = [
        head.method.as_str(),
        host,
        path,
        admitted.customer_name(),
        length.unwrap_or_default(),
    ];
    let seed = parts.iter().fold(0, |seed, part| {
        hash::chain(hash::chain(seed, part.as_bytes()), &SEPARATOR)
    });
    let body = payload.map_or(&[][..], Payload::buffered_prefix);
    Fingerprint(hash::chain(seed, body))
}
