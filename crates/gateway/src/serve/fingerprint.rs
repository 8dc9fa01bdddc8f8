//! What a request asks for, whoever of a customer's callers sends it and however often.

use hyper::header;
use hyper::http::request::Parts;
use woadstage_dispatch::job::Fingerprint;
use woadstage_types::hash;

use super::admit::Admitted;
use super::payload::Payload;
use crate::headers::text;

/// Stands between the parts, so that moving a sign from one to the next makes another
/// fingerprint. No part of a head holds it.
const BETWEEN: [u8; 1] = [0];

/// Names what a request asks for. Of a body that is too long to be held, its beginning
/// and its announced length count.
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
        hash::chain(hash::chain(seed, part.as_bytes()), &BETWEEN)
    });
    let body = payload.map_or(&[][..], Payload::beginning);
    Fingerprint(hash::chain(seed, body))
}
