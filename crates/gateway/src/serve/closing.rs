//! What a node that closes still takes on: requests that are over before it
//! ends. While many nodes stop at once, callers may find no others; a closed
//! port would tell them nothing, and one answer says when to come back.

use woadstage_dispatch::configuration::Kind;
use woadstage_types::code::Code;
use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

use super::admit::Admitted;
use super::exchange::Exchange;
use super::reply::Reply;
use crate::shell::Shell;

/// Shortest time that must be left. Endpoints that take a request late in a
/// stop would work for nobody.
const LEAST_LEFT: Span = Span::from_millis(400);

/// When a caller may come back while most other nodes serve: it will hardly
/// meet another that closes.
const SOON: Span = Span::from_millis(100);

/// How long a node takes from its end until it serves again: a start takes a
/// few hundred milliseconds.
const RESTART: Span = Span::from_millis(700);

/// Bounds a request by the end of this node; nothing where it does not stop.
///
/// # Errors
/// The answer to a request that might not be over by then.
pub fn bound(exchange: &mut Exchange) -> Result<(), Reply> {
    let Exchange {
        shell, admitted, ..
    } = exchange;
    let Some(ends_at) = shell.answer_deadline_opt() else {
        return Ok(());
    };
    let now = shell.now();
    let needed = match admitted.route.kind {
        // A stream that has begun is not cut: it may last until its deadline.
        Kind::Stream => admitted.deadline.since(now),
        // What is late gets its final answer in time.
        Kind::Repeatable | Kind::Once => {
            let usual = shell.query(|dispatcher, _| dispatcher.duration_opt(&admitted.route.name));
            usual.unwrap_or(Span::ZERO)
        }
    };
    if ends_at.since(now) < needed.max(LEAST_LEFT) {
        return Err(decline(shell, admitted, ends_at));
    }
    admitted.deadline = admitted.deadline.min(ends_at);
    Ok(())
}

fn decline(shell: &Shell, admitted: &Admitted, ends_at: Time) -> Reply {
    let retry_after = shell.query(|dispatcher, now| {
        let wait = match dispatcher.are_most_peers_serving(now) {
            true => SOON,
            false => ends_at.since(now) + RESTART,
        };
        dispatcher.retry_after(now, wait, admitted.caller_deadline.since(now))
    });
    Reply {
        code: Code::Stopping,
        retry_after: Some(retry_after),
        wait: None,
        owner: None,
    }
}
