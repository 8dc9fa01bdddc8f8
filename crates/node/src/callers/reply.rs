//! Sends answers to callers.

use std::io;
use std::sync::Arc;

use bytes::Bytes;
use futures_util::stream;
use salvo::Response;
use salvo::http::HeaderName;
use salvo::http::HeaderValue;
use salvo::http::ResBody;
use salvo::http::StatusCode;
use salvo::http::header::CONTENT_LENGTH;
use salvo::http::header::CONTENT_TYPE;
use salvo::http::header::RETRY_AFTER;
use serde_json::json;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::mpsc;
use woadstage_core::node::Arrival;
use woadstage_core::node::Event;
use woadstage_core::node::Refusal;
use woadstage_types::code::Code;
use woadstage_types::code::Outcome;
use woadstage_types::id;

use crate::driver::Handle;
use crate::driver::Head;
use crate::driver::Input;
use crate::driver::REPLY_WINDOW;
use crate::driver::Reply;
use crate::driver::Request;
use crate::driver::Work;

const REQUEST_HEADER: HeaderName = HeaderName::from_static("woadstage-request");
const CODE_HEADER: HeaderName = HeaderName::from_static("woadstage-code");
const OUTCOME_HEADER: HeaderName = HeaderName::from_static("woadstage-outcome");
const TICKET_HEADER: HeaderName = HeaderName::from_static("woadstage-ticket");

/// An answer in progress. Dropping it before it is complete tells the core that
/// the caller disconnected.
pub struct Answer {
    id: id::Request,
    replies: mpsc::Receiver<Reply>,
    handle: Handle,
    is_over: bool,
}

impl Answer {
    /// Returns the next part, or `None` at the end of the answer.
    pub async fn next(&mut self) -> Option<Reply> {
        if self.is_over {
            return None;
        }
        let reply = self.replies.recv().await;
        self.is_over = !matches!(reply, Some(Reply::Head(_) | Reply::Data(_)));
        reply
    }
}

impl Drop for Answer {
    fn drop(&mut self) {
        if !self.is_over {
            self.handle.send(Input::Event(Event::CallerGone(self.id)));
        }
    }
}

/// Submits a request to the driver loop.
pub async fn submit(handle: &Handle, arrival: Arrival, work: Work) -> Answer {
    let (reply, replies) = mpsc::channel(REPLY_WINDOW);
    let id = arrival.request;
    let request = Request {
        arrival,
        work: Arc::new(work),
        reply,
    };
    handle.submit(request);
    Answer {
        id,
        replies,
        handle: handle.clone(),
        is_over: false,
    }
}

/// Relays an answer to a caller.
pub(super) async fn relay(
    response: &mut Response,
    mut answer: Answer,
    permits: Vec<OwnedSemaphorePermit>,
) {
    let id = answer.id;
    match answer.next().await {
        Some(Reply::Head(head)) => {
            set_head(response, id, &head);
            let kind = head.content_type.as_deref().unwrap_or_default();
            let is_stream = kind.starts_with("text/event-stream");
            response.body(ResBody::stream(body(answer, is_stream, permits)));
        }
        Some(Reply::Refuse(refusal) | Reply::Broken(refusal)) => {
            refuse(response, Some(id), &refusal);
        }
        _ => refuse(response, Some(id), &Refusal::new(Code::StreamBroken)),
    }
}

fn set_head(response: &mut Response, id: id::Request, head: &Head) {
    response.status_code(StatusCode::from_u16(head.status).unwrap_or(StatusCode::BAD_GATEWAY));
    let headers = response.headers_mut();
    let text = head
        .content_type
        .as_deref()
        .and_then(|text| text.parse().ok());
    if let Some(content_type) = text {
        headers.insert(CONTENT_TYPE, content_type);
    }
    if let Some(length) = head.length {
        headers.insert(CONTENT_LENGTH, HeaderValue::from(length));
    }
    set_result(response, Some(id), head.code, head.code.outcome());
}

fn set_result(response: &mut Response, id: Option<id::Request>, code: Code, outcome: Outcome) {
    let headers = response.headers_mut();
    let mut insert = |name, text: String| {
        if let Ok(value) = text.parse::<HeaderValue>() {
            headers.insert(name, value);
        }
    };
    if let Some(id) = id {
        insert(REQUEST_HEADER, id.to_string());
    }
    insert(CODE_HEADER, code.to_string());
    insert(OUTCOME_HEADER, outcome.to_string());
}

type Part = Result<Bytes, io::Error>;

/// Builds the response body. A broken event stream ends with an error event and
/// any other broken body with an aborted connection, so that neither looks
/// complete.
fn body(
    answer: Answer,
    is_stream: bool,
    permits: Vec<OwnedSemaphorePermit>,
) -> impl stream::Stream<Item = Part> + Send + 'static {
    stream::unfold((answer, permits), move |(mut answer, permits)| async move {
        let part = match answer.next().await? {
            Reply::Data(part) => Ok(part),
            Reply::Broken(refusal) | Reply::Refuse(refusal) if is_stream => {
                let error = error_body(Some(answer.id), &refusal);
                Ok(Bytes::from(format!("event: error\ndata: {error}\n\n")))
            }
            Reply::Broken(refusal) | Reply::Refuse(refusal) => {
                Err(io::Error::other(refusal.code.text()))
            }
            Reply::Head(_) => Err(io::Error::other("second head in an answer")),
            Reply::End => return None,
        };
        Some((part, (answer, permits)))
    })
}

fn error_body(id: Option<id::Request>, refusal: &Refusal) -> String {
    let error = json!({"error": {
        "message": refusal.code.text(),
        "type": "woadstage",
        "code": refusal.code.to_string(),
        "outcome": refusal.outcome.to_string(),
        "request": id.map(|id| id.to_string()),
        "ticket": refusal.ticket,
    }});
    error.to_string()
}

/// Builds the response for a refusal.
pub(super) fn refuse(response: &mut Response, id: Option<id::Request>, refusal: &Refusal) {
    let status = StatusCode::from_u16(refusal.code.status());
    response.status_code(status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR));
    set_result(response, id, refusal.code, refusal.outcome);
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if let Some(after) = refusal.retry_after {
        headers.insert(RETRY_AFTER, HeaderValue::from(after.to_secs_ceil().max(1)));
    }
    if let Some(ticket) = refusal
        .ticket
        .as_ref()
        .and_then(|ticket| ticket.parse().ok())
    {
        headers.insert(TICKET_HEADER, ticket);
    }
    response.body(error_body(id, refusal));
}

fn json(response: &mut Response, body: &serde_json::Value) {
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response.status_code(StatusCode::OK);
    response.body(body.to_string());
}

/// Builds the response that lists the models a customer may use.
pub(super) fn models(response: &mut Response, names: &[id::Target]) {
    let data: Vec<_> = names
        .iter()
        .map(|name| json!({"id": name.as_str(), "object": "model"}))
        .collect();
    json(response, &json!({"object": "list", "data": data}));
}

/// Builds the response with a newly issued ticket.
pub(super) fn ticket(response: &mut Response, ticket: &str) {
    if let Ok(value) = ticket.parse() {
        response.headers_mut().insert(TICKET_HEADER, value);
    }
    json(response, &json!({"ticket": ticket}));
}
