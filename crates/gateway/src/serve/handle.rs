//! One request, from its head to an answer that goes out.

use std::rc::Rc;

use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::http::request::Parts;
use woadstage_types::code::Code;
use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

use super::admit;
use super::closing;
use super::exchange;
use super::exchange::Exchange;
use super::payload::Payload;
use super::relay;
use super::reply::Reply;
use crate::headers::text;
use crate::shell::Shell;
use crate::upstream::Body;

/// Serves one request.
pub async fn serve(shell: Rc<Shell>, request: Request<Incoming>) -> Response<Body> {
    let arrived = shell.now();
    let (head, body) = request.into_parts();
    let table = shell.query(|dispatcher, now| dispatcher.admitting_table_opt(now).cloned());
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

/// Answers a request that has no route, customer or configuration.
fn turn_away(shell: &Shell, head: &Parts, arrived: Time, code: Code) -> Response<Body> {
    let request = text(&head.headers, &shell.headers.request).unwrap_or_default();
    let left = shell
        .headers
        .to_deadline_ms(&head.headers)
        .map_or(admit::LEFT_USUAL, Span::from_millis);
    // What is missing is taken to be missing for as long again.
    let wait = shell.running_for();
    let retry_after =
        || shell.query(|dispatcher, now| dispatcher.retry_after_estimate(now, wait, left));
    let reply = Reply {
        code,
        retry_after: code.mends().then(retry_after),
        wait: None,
        owner: None,
    };
    exchange::log_answer(shell, request, "", arrived, reply);
    reply.to_response()
}
