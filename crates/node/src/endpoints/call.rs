//! Runs one call to an endpoint.

use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::header::CONTENT_TYPE;
use woadstage_body::ending;
use woadstage_body::ending::Reception;
use woadstage_body::framing;
use woadstage_body::framing::Framing;
use woadstage_core::node;
use woadstage_types::code::Code;
use woadstage_types::unit::Size;
use woadstage_types::unit::Tokens;

use super::Call;
use super::Client;
use super::FENCE_HEADER;
use super::LEAVING_HEADER;
use super::usage::Reader;
use crate::driver::Answer;
use crate::driver::Head;
use crate::driver::Input;
use crate::driver::Reply;

/// The minimum time between two reports of tokens to the core, so that they are
/// reported in batches.
const TOKEN_REPORT_INTERVAL: Duration = Duration::from_millis(50);

/// The statuses by which an endpoint or a proxy in front of it reports that it
/// did not complete the request. Whether the endpoint started on it is unknown.
const GATEWAY_ERROR_STATUSES: [u16; 3] = [502, 503, 504];

/// A call that failed.
struct Failure {
    sent: bool,
    started: bool,
    leaving: bool,
}

impl Failure {
    const BROKEN: Failure = Failure {
        sent: true,
        started: true,
        leaving: false,
    };
    const LOST: Failure = Failure {
        sent: true,
        started: false,
        leaving: false,
    };
    const REFUSED: Failure = Failure {
        sent: false,
        started: false,
        leaving: false,
    };
}

/// Runs a call and reports its progress to the loop.
pub async fn run(client: Client, call: Call) {
    let (what, answer) = match serve(&client, &call).await {
        Ok((whole, answer)) => (whole, answer),
        Err(Failure {
            sent,
            started,
            leaving,
        }) => (
            node::Call::Failed {
                sent,
                started,
                leaving,
            },
            None,
        ),
    };
    report(&call, what, answer);
}

fn report(call: &Call, what: node::Call, answer: Option<Answer>) {
    let Call {
        request, attempt, ..
    } = *call;
    call.handle.send(Input::Call {
        request,
        attempt,
        what,
        answer,
    });
}

async fn serve(client: &Client, call: &Call) -> Result<(node::Call, Option<Answer>), Failure> {
    let request = to_request(call).map_err(|_| Failure::REFUSED)?;
    let method = request.method().clone();
    let http = if call.record > 0 {
        &client.unpooled
    } else {
        &client.pooled
    };
    let response = match http.request(request).await {
        Ok(response) => response,
        Err(error) if error.is_connect() => return Err(Failure::REFUSED),
        Err(_) => return Err(Failure::LOST),
    };
    let framing = Framing::try_of(&method, &response).map_err(|_| Failure::LOST)?;
    let status = response.status().as_u16();
    if GATEWAY_ERROR_STATUSES.contains(&status) {
        let leaving = response.headers().contains_key(LEAVING_HEADER);
        return Err(Failure {
            leaving,
            ..Failure::LOST
        });
    }
    relay(call, response, framing).await
}

fn to_request(call: &Call) -> Result<Request<Full<Bytes>>, hyper::http::Error> {
    let work = &call.work;
    let mut request = Request::builder()
        .method(work.method.as_str())
        .uri(format!("http://{}{}", call.address, work.path))
        .header("woadstage-request", call.request.to_string());
    if let Some(content_type) = &work.content_type {
        request = request.header(CONTENT_TYPE, content_type);
    }
    if let Some(key) = &call.key {
        request = request.header("idempotency-key", key);
        request = request.header(FENCE_HEADER, format!("{}/{}", call.request, call.attempt));
    }
    request.body(Full::new(to_body(call)))
}

/// Returns the body, with the tier added for engines that honour priorities.
/// The caller's own `priority` was removed when the body was read.
fn to_body(call: &Call) -> Bytes {
    let body = &call.work.body;
    let (Some(tier), Some(rest)) = (call.priority, body.strip_prefix(b"{")) else {
        return body.clone();
    };
    if !call.work.is_model {
        return body.clone();
    }
    let comma = if rest.first() == Some(&b'}') { "" } else { "," };
    let mut extended = BytesMut::from(format!("{{\"priority\":{tier}{comma}").as_bytes());
    extended.extend_from_slice(rest);
    extended.freeze()
}

fn to_head(response: &Response<Incoming>) -> Head {
    let headers = response.headers();
    let content_type = headers.get(CONTENT_TYPE);
    let content_type = content_type.and_then(|value| value.to_str().ok());
    let status = response.status().as_u16();
    Head {
        status,
        content_type: content_type.map(str::to_owned),
        length: framing::length_opt(headers).ok().flatten(),
        code: if status >= 500 {
            Code::EndpointFault
        } else {
            Code::Ran
        },
    }
}

/// Relays an answer chunk by chunk and inspects it for usage.
async fn relay(
    call: &Call,
    response: Response<Incoming>,
    framing: Framing,
) -> Result<(node::Call, Option<Answer>), Failure> {
    let head = to_head(&response);
    let is_stream = ending::is_event_stream(response.headers());
    let mut reception = Reception::new(framing, is_stream);
    let mut reader = Reader::new(is_stream);
    let mut body = response.into_body();
    let mut record = Record::new(call.record);
    let mut reported_at = Instant::now();
    let mut unreported = 0;
    let mut started = false;
    while let Some(frame) = body.frame().await {
        let broken = if started {
            Failure::BROKEN
        } else {
            Failure::LOST
        };
        let Ok(part) = frame.map_err(|_| broken)?.into_data() else {
            continue;
        };
        if !started {
            started = true;
            call.started.store(true, Ordering::Relaxed);
            let _ = call.reply.send(Reply::Head(head.clone())).await;
            report(call, node::Call::FirstByte, None);
        }
        reception.push(&part);
        unreported += reader.read(&part);
        record.add(&part);
        // A failed send is ignored: the core handles a disconnected caller.
        let _ = call.reply.send(Reply::Data(part)).await;
        if unreported > 0 && reported_at.elapsed() >= TOKEN_REPORT_INTERVAL {
            report(
                call,
                node::Call::Tokens(std::mem::take(&mut unreported)),
                None,
            );
            reported_at = Instant::now();
        }
    }
    if unreported > 0 {
        report(call, node::Call::Tokens(unreported), None);
    }
    let ending = reception.end();
    reader.finish(&ending);
    // An engine's stream also has an end marker.
    if !ending.is_whole() || (call.work.is_model && !reader.done) {
        return Err(if started {
            Failure::BROKEN
        } else {
            Failure::LOST
        });
    }
    if !started {
        call.started.store(true, Ordering::Relaxed);
        let _ = call.reply.send(Reply::Head(head.clone())).await;
    }
    let _ = call.reply.send(Reply::End).await;
    Ok(end(&reader, record, head))
}

fn end(reader: &Reader, record: Record, head: Head) -> (node::Call, Option<Answer>) {
    let answer = record.into_answer(head);
    let usage = reader.usage;
    let details = usage.prompt_tokens_details.unwrap_or_default();
    let whole = node::Call::Complete {
        prompt: Tokens(usage.prompt_tokens),
        cached: Tokens(details.cached_tokens),
        output: Tokens(usage.completion_tokens.max(reader.tokens).max(1)),
        recorded: answer
            .as_ref()
            .map(|answer| Size(answer.body.len() as u64 + HEAD_BYTES)),
    };
    (whole, answer)
}

/// The approximate memory of a recorded answer beside its body.
const HEAD_BYTES: u64 = 256;

/// A copy of an answer, up to a size limit.
struct Record {
    limit: usize,
    copy: Option<BytesMut>,
}

impl Record {
    fn new(limit: usize) -> Record {
        Record {
            limit,
            copy: (limit > 0).then(BytesMut::new),
        }
    }

    fn add(&mut self, part: &[u8]) {
        let Some(copy) = &mut self.copy else { return };
        if copy.len() + part.len() > self.limit {
            self.copy = None;
            return;
        }
        copy.extend_from_slice(part);
    }

    fn into_answer(self, head: Head) -> Option<Answer> {
        self.copy.map(|copy| Answer {
            head,
            body: copy.freeze(),
        })
    }
}
