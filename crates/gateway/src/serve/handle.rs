//! Handling of one request, from its head to the answer.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use hyper::Request;
use hyper::Response;
use hyper::body::Body as _;
use hyper::body::Incoming;
use hyper::header;
use hyper::header::HeaderValue;
use hyper::http::request::Parts;
use woadstage_body::framing;
use woadstage_dispatch::configuration::Limits;
use woadstage_dispatch::dispatcher::Admission;
use woadstage_dispatch::table::Table;
use woadstage_types::code::Code;
use woadstage_types::unit::Size;
use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

use super::admit;
use super::admit::Admitted;
use super::body_memory::Reservation;
use super::closing;
use super::exchange::Exchange;
use super::hop;
use super::payload::Payload;
use super::record;
use super::record::Context;
use super::relay;
use super::reply::Reply;
use crate::connections::Handle;
use crate::connections::State;
use crate::headers::text;
use crate::shell::Shell;
use crate::upstream::Answer;
use crate::upstream::Body;

/// The maximum time that a request waits for the first configuration. Callers give up if
/// no byte of their request was read within a second.
const MAX_CONFIGURATION_WAIT: Span = Span::from_millis(800);

/// A request waits for the first configuration for at most its caller's timeout divided by
/// this. Callers give up after a third of their timeout.
const CONFIGURATION_WAIT_DIVISOR: u64 = 4;

/// How long after its start a node expects its first configuration: it takes 1.4 s until
/// each of 1,000 nodes that start together has its documents (test
/// `few_nodes_read_the_list_and_all_have_it_soon`), and some time to start.
const STARTUP_PERIOD: Span = Span::from_secs(3);

/// The interval at which a waiting request checks for the first configuration.
const CONFIGURATION_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Serves one request, which arrived over `connection`.
pub async fn serve(
    shell: Rc<Shell>,
    request: Request<Incoming>,
    connection: Handle,
) -> Response<Body> {
    let arrived = shell.now();
    connection.switch.set_lingers(false);
    shell.wait_until_current().await;
    let (head, body) = request.into_parts();
    // What another transfer coding did to the body would be lost with the field.
    if framing::is_chunked(&head.headers).is_err() {
        let response = reject(&shell, &head, arrived, Code::HeaderInvalid);
        return close_after(response, &connection);
    }
    let table = admission_table(&shell, &head, arrived).await;
    let admitted = admit::admit(table.as_deref(), &shell.headers, &head, arrived);
    let admitted = match admitted {
        Ok(admitted) => admitted,
        Err(code) => {
            // The server closes the connection unless the rest of the body has arrived already.
            connection.switch.set_lingers(!body.is_end_stream());
            return reject(&shell, &head, arrived, code);
        }
    };
    let content = read_content(&shell, &head, body, admitted.max_body, admitted.deadline).await;
    connection.tracker.set_state(shell.now(), State::Busy);
    let mut exchange = Exchange::new(shell, admitted, head);
    exchange.reset = Some(connection.switch.clone());
    match content {
        Ok((fields, payload)) => exchange.set_content(fields, payload),
        Err(code) => {
            let reply = to_body_refusal(&exchange, code);
            return close_after(exchange.refuse(reply), &connection);
        }
    }
    // The request is refused only after its body was read: closing a connection with unread
    // bytes resets it, and the reply would be lost.
    if let Err(reply) = closing::limit_deadline(&mut exchange) {
        return exchange.refuse(reply);
    }
    if let Err(reply) = exchange.submit().await {
        return exchange.refuse(reply);
    }
    match exchange.run(None).await {
        Ok(answer) => {
            connection.tracker.set_served();
            relay::relay(exchange, answer)
        }
        Err(reply) => exchange.refuse(reply),
    }
}

/// Closes the connection after an answer to a request whose body was not read. The caller may still be
/// sending it.
fn close_after(mut response: Response<Body>, connection: &Handle) -> Response<Body> {
    connection.switch.set_lingers(true);
    let close = HeaderValue::from_static("close");
    response.headers_mut().insert(header::CONNECTION, close);
    response
}

/// The delay after which a caller may retry if there was no memory for its body: the retry probably
/// reaches another node.
const MEMORY_RETRY_DELAY: Span = Span::from_millis(100);

/// Returns the refusal of a request whose body was not read.
fn to_body_refusal(exchange: &Exchange, code: Code) -> Reply {
    let admitted = &exchange.admitted;
    if code == Code::Stopping {
        return closing::to_refusal(&exchange.shell, admitted);
    }
    let retry_after = (code == Code::NodeBusy).then(|| {
        exchange.shell.query(|dispatcher, now| {
            let remaining = admitted.caller_deadline.since(now);
            dispatcher.retry_after(now, MEMORY_RETRY_DELAY, remaining)
        })
    });
    Reply {
        retry_after,
        ..code.into()
    }
}

/// The maximum number of forwarded requests in progress, each of which takes two connections.
const MAX_FORWARDED: usize = 512;

/// Serves a request that another node forwarded. It waits and runs like one of this node's own
/// callers'; the other node has charged the customer's quota.
pub async fn serve_forwarded(
    shell: Rc<Shell>,
    request: Request<Incoming>,
    connection: Handle,
) -> Response<Body> {
    shell.wait_until_current().await;
    let in_progress = hop::InProgress::new(&shell);
    let (mut head, body) = request.into_parts();
    let hop: Option<hop::Request> = hop::take(&mut head.headers);
    let admitted = match &hop {
        Some(hop) => admit_forwarded(&shell, &head, hop),
        None => Err(Code::HeaderInvalid),
    };
    let (max_body, deadline) = match &admitted {
        Ok(admitted) => (admitted.max_body, admitted.deadline),
        Err(_) => (Limits::default().body, shell.now() + MAX_REFUSED_BODY_TIME),
    };
    // As for callers, the body is read before any reply.
    let content = read_content(&shell, &head, body, max_body, deadline).await;
    let admitted = match admitted {
        Ok(admitted) => admitted,
        Err(code) => {
            let reply = Reply::from(code);
            let mut response = reply.to_response();
            state_reply(&shell, &mut response, reply);
            return response;
        }
    };
    connection.tracker.set_state(shell.now(), State::Busy);
    let mut exchange = Exchange::new(shell.clone(), admitted, head);
    exchange.reset = Some(connection.switch.clone());
    exchange.hop = hop;
    exchange.in_progress = Some(in_progress);
    let is_body_read = content.is_ok();
    let reply = match content {
        Ok((fields, payload)) => {
            exchange.set_content(fields, payload);
            match run_forwarded(&mut exchange).await {
                Ok(answer) => {
                    connection.tracker.set_served();
                    return relay_forwarded(exchange, answer);
                }
                Err(reply) => reply,
            }
        }
        Err(code) => code.into(),
    };
    let mut response = exchange.refuse(reply);
    state_reply(&shell, &mut response, reply);
    match is_body_read {
        true => response,
        false => close_after(response, &connection),
    }
}

/// How long the body of a forwarded request that is refused may take.
const MAX_REFUSED_BODY_TIME: Span = Span::from_secs(3);

/// The number of fields up to which a head takes no memory of its own.
const MAX_FREE_FIELDS: usize = 100;

/// The memory that a field of a head takes beside its bytes, here and in the request to an endpoint.
const FIELD_SIZE: Size = Size(320);

/// Reserves memory for the head, and reads the body as far as [`Payload::read`] does.
///
/// # Errors
/// Returns the code of the reply as [`Payload::read`] does, or [`Code::NodeBusy`] for the head.
async fn read_content(
    shell: &Shell,
    head: &Parts,
    body: Incoming,
    max_body: Size,
    deadline: Time,
) -> Result<(Option<Reservation>, Payload), Code> {
    let fields = reserve_fields(shell, head)?;
    let payload = Payload::read(shell, body, max_body, deadline).await?;
    Ok((fields, payload))
}

/// Reserves memory for a head with many fields, which takes far more than the bytes that were sent.
///
/// # Errors
/// Returns [`Code::NodeBusy`] if too little is left.
fn reserve_fields(shell: &Shell, head: &Parts) -> Result<Option<Reservation>, Code> {
    let fields = head.headers.len();
    if fields <= MAX_FREE_FIELDS {
        return Ok(None);
    }
    let size = Size(FIELD_SIZE.0 * fields as u64);
    shell.body_memory.reserve(shell.now(), size).map(Some)
}

/// Admits a forwarded request as of its arrival at the node that forwarded it.
///
/// # Errors
/// Returns the code of the reply if this node has no route for it, serves too many already, or
/// does not reach its endpoints either.
fn admit_forwarded(shell: &Shell, head: &Parts, hop: &hop::Request) -> Result<Admitted, Code> {
    if shell.forwarded.get() > MAX_FORWARDED {
        return Err(Code::NodeBusy);
    }
    let arrived = shell.now() - Span(hop.age_us) - hop::MARGIN;
    let table = shell.query(|dispatcher, now| dispatcher.admission_table_opt(now).cloned());
    let admitted = admit::admit(table.as_deref(), &shell.headers, head, arrived)?;
    match shell.query(|dispatcher, _| dispatcher.reaches(&admitted.target)) {
        true => Ok(admitted),
        false => Err(Code::EndpointRefused),
    }
}

async fn run_forwarded(exchange: &mut Exchange) -> Result<Answer, Reply> {
    closing::limit_deadline(exchange)?;
    exchange.submit().await?;
    exchange.run(None).await
}

fn relay_forwarded(exchange: Exchange, answer: Answer) -> Response<Body> {
    let endpoint = exchange.endpoint.as_ref();
    let name = endpoint.map_or("", |endpoint| endpoint.name.as_str());
    let stated = hop::Answer::Endpoint(name.to_owned());
    let software = endpoint.and_then(|endpoint| {
        let shell = &exchange.shell;
        shell.query(|dispatcher, _| dispatcher.software_opt(endpoint).cloned())
    });
    let software = software.and_then(|software| HeaderValue::from_str(software.as_str()).ok());
    let reads_software = exchange.hop.as_ref().is_some_and(|hop| hop.reads_software);
    exchange.bind_forwarded();
    let mut response = relay::relay(exchange, answer);
    hop::insert(response.headers_mut(), &stated);
    response.headers_mut().remove(hop::SOFTWARE_FIELD);
    if let Some(software) = software.filter(|_| reads_software) {
        response.headers_mut().insert(hop::SOFTWARE_FIELD, software);
    }
    response
}

/// States in a response to another node that this node generated it.
fn state_reply(shell: &Shell, response: &mut Response<Body>, reply: Reply) {
    let configuration = shell.query(|dispatcher, _| dispatcher.configuration_version());
    let stated = hop::Answer::from_reply(reply, configuration);
    hop::insert(response.headers_mut(), &stated);
}

/// Returns the table by which a request is admitted. A node that has just started waits
/// briefly for it: callers retry only once, and after all nodes were killed together, a
/// caller refused immediately would retry while they are still starting.
async fn admission_table(shell: &Shell, head: &Parts, arrived: Time) -> Option<Arc<Table>> {
    let share = Span(caller_timeout(shell, head).0 / CONFIGURATION_WAIT_DIVISOR);
    let wait_until = arrived + share.min(MAX_CONFIGURATION_WAIT);
    loop {
        let table = shell.query(|dispatcher, now| dispatcher.admission_table_opt(now).cloned());
        let is_starting = shell.uptime() < STARTUP_PERIOD;
        if table.is_some() || !is_starting || shell.now() >= wait_until {
            return table;
        }
        tokio::time::sleep(CONFIGURATION_POLL_INTERVAL).await;
    }
}

/// Returns the timeout that the caller states, or the default if it states none.
fn caller_timeout(shell: &Shell, head: &Parts) -> Span {
    let given_ms = shell.headers.to_deadline_ms(&head.headers);
    given_ms.map_or(admit::DEFAULT_CALLER_TIMEOUT, Span::from_millis)
}

/// Replies to a request that has no route, customer or configuration, or an invalid head.
fn reject(shell: &Shell, head: &Parts, arrived: Time, code: Code) -> Response<Body> {
    let request_id = text(&head.headers, &shell.headers.request).unwrap_or_default();
    let timeout = caller_timeout(shell, head);
    // An outage is assumed to last as long again as it has lasted.
    let wait = shell.uptime();
    let retry_after =
        || shell.query(|dispatcher, now| dispatcher.retry_after_estimate(now, wait, timeout));
    let reply = Reply {
        code,
        retry_after: code.is_transient().then(retry_after),
        wait: None,
        owner: None,
        part: None,
    };
    let context = Context {
        request_id,
        route: "",
        target: None,
        arrived,
        admission: Admission::default(),
        forwarded_to: None,
        forwarded_by: None,
    };
    match code {
        Code::RouteUnknown => record::unmatched(shell, request_id, "route"),
        Code::CustomerUnknown => record::unmatched(shell, request_id, "customer"),
        _ => {}
    }
    record::reply(shell, context, reply);
    reply.to_response()
}
