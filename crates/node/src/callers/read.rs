//! Reads callers' requests within limits on size and time.

use std::str::FromStr;
use std::sync::Arc;

use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
use salvo::Request;
use salvo::http::ReqBody;
use serde_json::Map;
use serde_json::Value;
use sha2::Digest;
use sha2::Sha256;
use tokio::sync::OwnedSemaphorePermit;
use woadstage_body::framing;
use woadstage_core::node::Arrival;
use woadstage_types::code::Code;
use woadstage_types::hash;
use woadstage_types::id;
use woadstage_types::unit::Span;
use woadstage_types::unit::Tokens;

use super::Shared;
use crate::clock::to_duration;
use crate::driver::Work;

/// The approximate number of prompt bytes per token; the usage that the engine
/// reports is exact.
const BYTES_PER_TOKEN: u64 = 4;

/// A parsed request with the permits for the bytes of its body.
type ParsedRequest = (Arrival, Work, OwnedSemaphorePermit);

/// The number of bytes that one permit covers.
const BYTES_PER_PERMIT: usize = 1 << 10;

/// How many times the largest allowed body is read and discarded before
/// reading stops.
const DRAIN_FACTOR: usize = 8;

/// The maximum length of an idempotency key.
const MAX_KEY_BYTES: usize = 128;

/// Returns the SHA-256 of the bearer token.
pub(super) fn token(request: &Request) -> Result<[u8; 32], Code> {
    let text = header(request, "authorization")?.ok_or(Code::CustomerUnknown)?;
    let token = text.strip_prefix("Bearer ").ok_or(Code::CustomerUnknown)?;
    Ok(Sha256::digest(token.trim().as_bytes()).into())
}

fn header<'a>(request: &'a Request, name: &str) -> Result<Option<&'a str>, Code> {
    let Some(value) = request.headers().get(name) else {
        return Ok(None);
    };
    value.to_str().map(Some).map_err(|_| Code::HeaderInvalid)
}

fn parsed<T: FromStr>(request: &Request, name: &str) -> Result<Option<T>, Code> {
    let Some(text) = header(request, name)? else {
        return Ok(None);
    };
    text.trim()
        .parse()
        .map(Some)
        .map_err(|_| Code::HeaderInvalid)
}

/// A body with the permits for its bytes.
struct Body {
    bytes: Bytes,
    body_permit: OwnedSemaphorePermit,
}

async fn body(request: &mut Request, shared: &Shared) -> Result<Body, Code> {
    let _: Option<usize> = parsed(request, "content-length")?;
    framing::is_chunked(request.headers()).map_err(|_| Code::HeaderInvalid)?;
    let body = request.take_body();
    let within = to_duration(shared.limits.receive_within);
    let read = tokio::time::timeout(within, collect(body, shared)).await;
    read.map_err(|_| Code::BodyTooSlow)?
}

/// Reads a body within the limit for one body and the limit for all bodies
/// together. Beyond either, up to a bound, the rest is read and discarded,
/// because a caller that is still sending would not see the answer.
async fn collect(mut body: ReqBody, shared: &Shared) -> Result<Body, Code> {
    let max_bytes = shared.limits.body.0 as usize;
    let mut buffer = BytesMut::new();
    let mut body_permit = permits(shared, 0)?;
    let mut refused = None;
    let mut read = 0;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| Code::BodyCutOff)?;
        let Ok(part) = frame.into_data() else {
            continue;
        };
        read += part.len();
        if read > max_bytes {
            refused = Some(Code::BodyTooLarge);
        }
        if read > max_bytes.saturating_mul(DRAIN_FACTOR) {
            break;
        }
        if refused.is_some() {
            continue;
        }
        match permits(
            shared,
            read.div_ceil(BYTES_PER_PERMIT) - body_permit.num_permits(),
        ) {
            Ok(more) => {
                body_permit.merge(more);
                buffer.extend_from_slice(&part);
            }
            Err(code) => refused = Some(code),
        }
    }
    match refused {
        Some(code) => Err(code),
        None => Ok(Body {
            bytes: buffer.freeze(),
            body_permit,
        }),
    }
}

/// Acquires permits for more KiB of bodies, if enough are available.
fn permits(shared: &Shared, kib: usize) -> Result<OwnedSemaphorePermit, Code> {
    let all = shared.bodies.clone();
    all.try_acquire_many_owned(kib as u32)
        .map_err(|_| Code::NodeBusy)
}

fn key(request: &Request) -> Result<Option<String>, Code> {
    let Some(key) = header(request, "idempotency-key")? else {
        return Ok(None);
    };
    let fits = !key.is_empty() && key.len() <= MAX_KEY_BYTES;
    fits.then(|| Some(key.to_string()))
        .ok_or(Code::HeaderInvalid)
}

/// Parses the headers; the fields that depend on the body are filled in by the
/// calling function.
fn arrival(request: &Request, id: id::Request) -> Result<Arrival, Code> {
    let millis: Option<u64> = parsed(request, "woadstage-timeout-ms")?;
    if millis == Some(0) {
        return Err(Code::HeaderInvalid);
    }
    let class = header(request, "woadstage-class")?;
    Ok(Arrival {
        request: id,
        token: token(request)?,
        class: class.map(id::Class::new),
        target: id::Target::new(""),
        is_service: false,
        key: key(request)?,
        timeout: millis.map(|millis| Span(millis.saturating_mul(1_000))),
        prompt: Tokens(1),
        output_limit: None,
        prefix: Arc::from([]),
        fingerprint: 0,
        from: None,
    })
}

fn content_type(request: &Request) -> Result<Option<String>, Code> {
    Ok(header(request, "content-type")?.map(str::to_string))
}

/// Parses a model request in the OpenAI-compatible format.
pub(super) async fn chat(
    request: &mut Request,
    id: id::Request,
    shared: &Shared,
) -> Result<ParsedRequest, Code> {
    let mut arrival = arrival(request, id)?;
    let content_type = content_type(request)?;
    let Body {
        bytes: received,
        body_permit,
    } = body(request, shared).await?;
    let mut fields: Map<String, Value> =
        serde_json::from_slice(&received).map_err(|_| Code::BodyNotJson)?;
    let model = fields
        .get("model")
        .and_then(Value::as_str)
        .ok_or(Code::BodyNotJson)?;
    arrival.target = id::Target::new(model);
    let messages = fields.get("messages").filter(|value| value.is_array());
    let messages = messages.ok_or(Code::BodyNotJson)?;
    let prefix = serde_json::to_vec(messages).map_err(|_| Code::BodyNotJson)?;
    arrival.prompt = Tokens((prefix.len() as u64 / BYTES_PER_TOKEN).max(1));
    arrival.prefix = prefix.into();
    arrival.output_limit = output_limit(&fields)?;
    let is_stream = is_stream(&fields)?;
    // The tier comes from the configuration, never from the request body.
    fields.shift_remove("priority");
    if is_stream {
        // The usage reports the cached tokens. A caller that did not ask for it
        // receives one additional event, which the API allows.
        fields.insert(
            "stream_options".into(),
            serde_json::json!({"include_usage": true}),
        );
    }
    let body: Bytes = serde_json::to_vec(&fields)
        .map_err(|_| Code::BodyNotJson)?
        .into();
    arrival.fingerprint = hash::of(&body);
    let path = "/v1/chat/completions".to_string();
    let method = "POST".to_string();
    let work = Work {
        method,
        path,
        content_type,
        body,
        is_model: true,
        is_stream,
    };
    Ok((arrival, work, body_permit))
}

fn is_stream(fields: &Map<String, Value>) -> Result<bool, Code> {
    match fields.get("stream") {
        None | Some(Value::Null) => Ok(false),
        Some(value) => value.as_bool().ok_or(Code::BodyNotJson),
    }
}

fn output_limit(fields: &Map<String, Value>) -> Result<Option<Tokens>, Code> {
    let received = fields
        .get("max_completion_tokens")
        .or_else(|| fields.get("max_tokens"));
    match received {
        None | Some(Value::Null) => Ok(None),
        Some(value) => value
            .as_u64()
            .map(|n| Some(Tokens(n)))
            .ok_or(Code::BodyNotJson),
    }
}

/// Parses a request for a plain service.
pub(super) async fn service(
    request: &mut Request,
    id: id::Request,
    shared: &Shared,
) -> Result<ParsedRequest, Code> {
    let mut arrival = arrival(request, id)?;
    let content_type = content_type(request)?;
    let method = request.method().to_string();
    let path = request
        .uri()
        .path_and_query()
        .map_or("/", |path| path.as_str())
        .to_string();
    let rest = path.strip_prefix("/services/").ok_or(Code::PathUnknown)?;
    let end = rest.find(['/', '?']).unwrap_or(rest.len());
    arrival.target = id::Target::new(&rest[..end]);
    arrival.is_service = true;
    let path = match &rest[end..] {
        "" => "/".to_string(),
        query if query.starts_with('?') => format!("/{query}"),
        path => path.to_string(),
    };
    let Body {
        bytes: body,
        body_permit,
    } = body(request, shared).await?;
    let asked = format!("{method} {path}");
    arrival.fingerprint = hash::chain(hash::of(&body), asked.as_bytes());
    let work = Work {
        method,
        path,
        content_type,
        body,
        is_model: false,
        is_stream: false,
    };
    Ok((arrival, work, body_permit))
}
