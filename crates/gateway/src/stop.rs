//! A planned stop: callers are asked to go elsewhere, and the requests in progress end.

use std::rc::Rc;
use std::time::Duration;

use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

use crate::event::Event;
use crate::shell::Phase;
use crate::shell::Shell;

/// The interval at which the node checks whether a phase is over.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The maximum duration of [`Phase::Leaving`]. Callers keep arriving for this long after the
/// platform is told that the node is leaving.
const MAX_LEAVING: Span = Span::from_millis(2_600);

/// The maximum share of the stop time that [`Phase::Leaving`] takes. The requests in progress need
/// the rest.
const MAX_LEAVING_PERCENT: u64 = 40;

/// The time that is reserved for exiting in an orderly way, and its maximum share of the stop time.
const MAX_EXIT_MARGIN: Span = Span::from_millis(500);
const MAX_EXIT_MARGIN_PERCENT: u64 = 10;

/// The time reserved before that for sending the last answers, and its maximum share of the stop time.
const MAX_LAST_ANSWERS_MARGIN: Span = Span::from_millis(150);
const MAX_LAST_ANSWERS_PERCENT: u64 = 5;

/// Announces that the node is leaving and waits for the requests in progress to end, for at most
/// `within`.
pub async fn stop(shell: &Rc<Shell>, within: Span) {
    let started_at = shell.now();
    let exit_margin = MAX_EXIT_MARGIN.min(percent(within, MAX_EXIT_MARGIN_PERCENT));
    let deadline = started_at + within - exit_margin;
    log_phase(shell, "leaving");
    shell.set_phase(Phase::Leaving);
    shell.command(|dispatcher, _| dispatcher.leave());
    let leaving = MAX_LEAVING.min(percent(within, MAX_LEAVING_PERCENT));
    wait_until(shell, started_at + leaving, || false).await;
    log_phase(shell, "closing");
    let answers_margin = MAX_LAST_ANSWERS_MARGIN.min(percent(within, MAX_LAST_ANSWERS_PERCENT));
    let answers_until = deadline - answers_margin;
    shell.start_closing(answers_until.since(shell.now()));
    // New callers keep connecting while other nodes stop too. Waiting for their connections as
    // well would delay the restart, and the requests accepted from them are short.
    wait_until(shell, deadline, || shell.connections.get() == 0).await;
    shell.set_phase(Phase::Stopped);
    // Lets `serve::accept` accept the connections that are already established.
    tokio::task::yield_now().await;
    // A process that stood still until the deadline has yet to send its last answers.
    let drained_by = deadline.max(shell.now() + answers_margin);
    wait_until(shell, drained_by, || is_drained(shell)).await;
    // Follows the check at once: whatever arrives between them would begin a request.
    shell.set_phase(Phase::Ended);
    log_phase(shell, "stopped");
}

fn percent(span: Span, percent: u64) -> Span {
    Span(span.0 / 100 * percent)
}

/// Whether no request is in progress. Connections on which nothing has arrived don't count.
fn is_drained(shell: &Shell) -> bool {
    let held = shell.query(|dispatcher, _| dispatcher.held());
    held == 0 && shell.connections.get() == 0 && shell.late_connections.get() == 0
}

fn log_phase(shell: &Shell, phase: &str) {
    shell.log(&Event::Stopping {
        held: shell.query(|dispatcher, _| dispatcher.held()),
        connections: shell.connections.get() + shell.late_connections.get(),
        silent: shell.registries.callers.silent(),
        phase,
    });
}

/// Waits until `condition` holds or the deadline has passed.
async fn wait_until(shell: &Shell, deadline: Time, condition: impl Fn() -> bool) {
    while shell.now() < deadline && !condition() {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
