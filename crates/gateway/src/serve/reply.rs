//! Answers that this node generates itself.

use std::net::SocketAddrV4;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Response;
use hyper::StatusCode;
use hyper::header;
use hyper::header::HeaderValue;
use serde_json::json;
use woadstage_dispatch::dispatcher::Refusal;
use woadstage_types::code::Code;
use woadstage_types::unit::Span;

use crate::upstream::Body;

/// A final answer that does not come from an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Reply {
    /// The result code.
    pub code: Code,
    /// The delay after which the caller may retry.
    pub retry_after: Option<Span>,
    /// The expected wait, if the request was refused because of it.
    pub wait: Option<Span>,
    /// The node that made the decision, if it was not this one.
    pub owner: Option<SocketAddrV4>,
    /// The id of the part of the prompt for which the request was refused, if there is one.
    pub part: Option<u64>,
}

impl From<Code> for Reply {
    fn from(code: Code) -> Reply {
        Reply {
            code,
            retry_after: None,
            wait: None,
            owner: None,
            part: None,
        }
    }
}

impl From<Refusal> for Reply {
    fn from(refusal: Refusal) -> Reply {
        Reply {
            code: refusal.code,
            retry_after: refusal.retry_after,
            wait: refusal.wait,
            owner: refusal.owner,
            part: None,
        }
    }
}

impl Reply {
    /// Builds the HTTP response.
    pub fn to_response(self) -> Response<Body> {
        let Reply {
            code, retry_after, ..
        } = self;
        let mut error = json!({
            "code": code.to_string(),
            "message": code.text(),
            "outcome": code.outcome().to_string(),
        });
        if let Some(part) = self.part {
            error["part"] = format!("{part:x}").into();
        }
        let body = json!({ "error": error });
        let body = Full::new(Bytes::from(body.to_string()));
        let body: Body = Box::pin(body.map_err(|never| match never {}));
        let mut response = Response::new(body);
        *response.status_mut() =
            StatusCode::from_u16(code.status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let headers = response.headers_mut();
        headers.insert(
            header::CONTENT_TYPE,
            HeaderValue::from_static("application/json"),
        );
        if let Some(value) = retry_after.and_then(to_retry_after) {
            headers.insert(header::RETRY_AFTER, value);
        }
        response
    }
}

/// Formats a `Retry-After` value as seconds with two decimals, which callers of this node
/// understand.
fn to_retry_after(span: Span) -> Option<HeaderValue> {
    HeaderValue::from_str(&format!("{:.2}", span.as_secs_f64())).ok()
}
