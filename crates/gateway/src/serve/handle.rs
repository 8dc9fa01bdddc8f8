//! One request, from its head to an answer that goes out.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::http::request::Parts;
use woadstage_dispatch::table::Table;
use woadstage_types::code::Code;
use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

use super::admit;
use super::closing;
use super::exchange::Exchange;
use super::note;
use super::note::Asked;
use super::payload::Payload;
use super::relay;
use super::reply::Reply;
use crate::headers::text;
use crate::shell::Shell;
use crate::upstream::Body;

/// Longest wait for the first configuration. Callers give up requests of which nothing
/// was read for a second.
const FIRST_CONFIGURATION_WITHIN: Span = Span::from_millis(800);

/// The part of its time that a request waits for it at the most; callers give it up
/// after a third.
const LEFT_PARTS: u64 = 4;

/// How long after its start a node expects its first configuration: 1.4 s until each of
/// 1,000 nodes that start together has its documents (test
/// `few_read_and_all_have_a_list_soon`), and some time to start.
const STARTS_FOR: Span = Span::from_secs(3);

/// Time between two looks for it.
const LOOK_EVERY: Duration = Duration::from_millis(20);

/// Serves one request.
pub async fn serve(shell: Rc<Shell>, request: Request<Incoming>) -> Response<Body> {
    let arrived = shell.now();
    let (head, body) = request.into_parts();
    let table = admitting_table(&shell, &head, arrived).await;
    let admitted = admit::admit(table.as_deref(), &shell.headers, &head, arrived);
    let admitted = match admitted {
        Ok(admitted) => admitted,
        Err(code) => return turn_away(&shell, &head, arrived, code),
    };
    let payload = Payload::read(body, admitted.body, &shell.bodies).await;
    let mut exchange = Exchange::new(shell, admitted, head);
    match payload {
        Ok(payload) => exchange.set_payload(payload),
        Err(code) => return exchange.refuse(code.into()),
    }
    // Only now: a connection that closes with unread bytes is reset, and the
    // answer is lost with it.
    if let Err(reply) = closing::bound(&mut exchange) {
        return exchange.refuse(reply);
    }
    if let Err(reply) = exchange.enter().await {
        return exchange.refuse(reply);
    }
    match exchange.run(None).await {
        Ok(answer) => relay::relay(exchange, answer),
        Err(reply) => exchange.refuse(reply),
    }
}

/// The configuration by which a request is let in. A node that has just started waits a
/// little for it: its callers come back once only, and as all nodes were killed together
/// one that is refused at once comes back while they still start.
async fn admitting_table(shell: &Shell, head: &Parts, arrived: Time) -> Option<Arc<Table>> {
    let part = Span(left(shell, head).0 / LEFT_PARTS);
    let until = arrived + part.min(FIRST_CONFIGURATION_WITHIN);
    loop {
        let table = shell.query(|dispatcher, now| dispatcher.admission_table_opt(now).cloned());
        let starts = shell.running_for() < STARTS_FOR;
        if table.is_some() || !starts || shell.now() >= until {
            return table;
        }
        tokio::time::sleep(LOOK_EVERY).await;
    }
}

/// What a caller will wait.
fn left(shell: &Shell, head: &Parts) -> Span {
    let said = shell.headers.to_deadline_ms(&head.headers);
    said.map_or(admit::LEFT_USUAL, Span::from_millis)
}

/// Answers a request that has no route, customer or configuration.
fn turn_away(shell: &Shell, head: &Parts, arrived: Time, code: Code) -> Response<Body> {
    let request = text(&head.headers, &shell.headers.request).unwrap_or_default();
    let left = left(shell, head);
    // What is missing is taken to be missing for as long again.
    let wait = shell.running_for();
    let retry_after =
        || shell.query(|dispatcher, now| dispatcher.retry_after_estimate(now, wait, left));
    let reply = Reply {
        code,
        retry_after: code.is_transient().then(retry_after),
        wait: None,
        owner: None,
    };
    let asked = Asked {
        request,
        route: "",
        target: None,
        arrived,
    };
    match code {
        Code::RouteUnknown => note::unmatched(shell, request, "route"),
        Code::CustomerUnknown => note::unmatched(shell, request, "customer"),
        _ => {}
    }
    note::answer(shell, asked, reply);
    reply.to_response()
}
