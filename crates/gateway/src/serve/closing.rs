//! Requests during a planned stop. A stopping node accepts only requests that finish before
//! it ends, and tells the others when to retry. It keeps listening because callers may find
//! no other node while many stop at once, and a closed port would give no retry delay.

use woadstage_dispatch::configuration::Kind;
use woadstage_types::code::Code;
use woadstage_types::unit::Span;

use super::admit::Admitted;
use super::exchange::Exchange;
use super::reply::Reply;
use crate::shell::Phase;
use crate::shell::Shell;

/// The minimum time until the end of this node at which a request is accepted. An endpoint
/// would run a later request in vain.
const MIN_TIME_LEFT: Span = Span::from_millis(400);

/// The retry delay while most other nodes serve: the retry is unlikely to reach another
/// stopping node.
const RETRY_ELSEWHERE_DELAY: Span = Span::from_millis(100);

/// The time from the end of a node until it serves again: a start takes a few hundred
/// milliseconds.
const RESTART_DURATION: Span = Span::from_millis(700);

/// Limits a request's deadline to the end of this node, if it is stopping.
///
/// # Errors
/// Returns the reply to a request that might not finish before this node ends.
pub fn limit_deadline(exchange: &mut Exchange) -> Result<(), Reply> {
    let Exchange {
        shell, admitted, ..
    } = exchange;
    let Some(ends_at) = shell.answer_deadline_opt() else {
        return Ok(());
    };
    let now = shell.now();
    if shell.phase() >= Phase::Ended {
        return Err(to_refusal(shell, admitted));
    }
    let needed = match admitted.route.kind {
        // A stream may last until its deadline and is not aborted.
        Kind::Stream => admitted.deadline.since(now),
        // A request that takes longer still receives a final answer before this node ends.
        Kind::Repeatable | Kind::Once => {
            let typical_duration =
                shell.query(|dispatcher, _| dispatcher.duration_opt(&admitted.route.name));
            typical_duration.unwrap_or(Span::ZERO)
        }
    };
    if ends_at.since(now) < needed.max(MIN_TIME_LEFT) {
        return Err(to_refusal(shell, admitted));
    }
    admitted.deadline = shell.limit_to_end(admitted.deadline);
    Ok(())
}

/// Returns the refusal of a request that a stopping node can't finish.
pub(super) fn to_refusal(shell: &Shell, admitted: &Admitted) -> Reply {
    let ends_at = shell.answer_deadline_opt();
    // A node that has ended may do so long before that time.
    let ends_at = ends_at.filter(|_| shell.phase() < Phase::Ended);
    let retry_after = shell.query(|dispatcher, now| {
        let wait = match dispatcher.are_most_peers_serving(now) {
            true => RETRY_ELSEWHERE_DELAY,
            false => ends_at.map_or(Span::ZERO, |at| at.since(now)) + RESTART_DURATION,
        };
        dispatcher.retry_after(now, wait, admitted.caller_deadline.since(now))
    });
    Reply {
        code: Code::Stopping,
        retry_after: Some(retry_after),
        wait: None,
        owner: None,
        part: None,
    }
}
