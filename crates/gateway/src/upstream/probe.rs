//! Probes endpoints: whether this node reaches them, and whether one whose response broke off has
//! ended.

use std::io::ErrorKind;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use http_body_util::BodyExt;
use http_body_util::Empty;
use hyper::Request;
use hyper::header;
use woadstage_dispatch::dispatcher::ProbeTarget;
use woadstage_dispatch::endpoint::Endpoint;
use woadstage_dispatch::link::Probe;

use super::CONNECT_TIMEOUT;
use super::Connection;
use super::Target;
use super::Upstream;
use super::reuse;
use super::send;
use crate::shell::Shell;

/// How long an endpoint may take to answer a health check. One that is full may let it wait.
const HEALTH_TIMEOUT: Duration = Duration::from_millis(400);

/// How long a connection without a health check must stay open.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(50);

/// What a probe found.
struct Finding {
    probe: Probe,
    /// Whether nothing listens at the address.
    is_refused: bool,
}

impl Upstream {
    /// Whether a probe of any endpoint is in progress.
    pub fn is_probing(&self) -> bool {
        self.probes.get() > 0
    }
}

/// Starts the probes that are due.
pub fn start_due(shell: &Rc<Shell>) {
    for target in shell.command(|dispatcher, now| dispatcher.take_probe_targets(now)) {
        start(shell, target);
    }
}

/// Probes an endpoint whose response broke off, unless it is being probed.
pub fn start_after_loss(shell: &Rc<Shell>, endpoint: &Arc<Endpoint>) {
    let target = shell.command(|dispatcher, now| dispatcher.probe_target_opt(now, endpoint));
    if let Some(target) = target {
        start(shell, target);
    }
}

fn start(shell: &Rc<Shell>, target: ProbeTarget) {
    let shell = shell.clone();
    let probes = &shell.upstream.probes;
    probes.set(probes.get() + 1);
    tokio::task::spawn_local(async move {
        let finding = run(&shell, &target).await;
        let probes = &shell.upstream.probes;
        probes.set(probes.get() - 1);
        record(&shell, &target.endpoint, finding);
    });
}

fn record(shell: &Rc<Shell>, endpoint: &Endpoint, finding: Finding) {
    let other = shell.command(|dispatcher, now| {
        let other = finding
            .is_refused
            .then(|| dispatcher.record_refused(now, endpoint));
        dispatcher.record_probe(now, endpoint, finding.probe);
        other.flatten()
    });
    if let Some(other) = other {
        start(shell, other);
    }
}

async fn run(shell: &Rc<Shell>, target: &ProbeTarget) -> Finding {
    let opening = shell.upstream.open(target.endpoint.address);
    match tokio::time::timeout(CONNECT_TIMEOUT, opening).await {
        Ok(Ok(connection)) => {
            shell.command(|dispatcher, now| dispatcher.record_connected(now, &target.endpoint));
            // Endpoints that refused connections before are probed again at once.
            start_due(shell);
            Finding {
                probe: check(shell, target, connection).await,
                is_refused: false,
            }
        }
        opened => Finding {
            probe: Probe::Failed,
            is_refused: matches!(opened, Ok(Err(error)) if is_refusal(&error)),
        },
    }
}

/// Whether an endpoint has ended: it refuses a new connection, or closes it at once, as one does that
/// accepted it in its last moment.
pub async fn has_ended(shell: &Shell, endpoint: &Endpoint) -> bool {
    let opening = shell.upstream.open(endpoint.address);
    match tokio::time::timeout(CONNECT_TIMEOUT, opening).await {
        Ok(Ok(mut connection)) => is_closed(&mut connection).await,
        // A reset may arrive before the connection counts as open here.
        Ok(Err(error)) => is_refusal(&error) || has_kind(&error, ErrorKind::ConnectionReset),
        Err(_) => false,
    }
}

/// Waits a moment for the other side to close a connection. Returns whether it did.
async fn is_closed(connection: &mut Connection) -> bool {
    let closed = tokio::time::timeout(CLOSE_TIMEOUT, &mut connection.task).await;
    closed.is_ok()
}

fn is_refusal(error: &anyhow::Error) -> bool {
    has_kind(error, ErrorKind::ConnectionRefused)
}

fn has_kind(error: &anyhow::Error, kind: ErrorKind) -> bool {
    let error = error.downcast_ref::<std::io::Error>();
    error.is_some_and(|error| error.kind() == kind)
}

/// Sends a health check over a new connection. Without a path for it, the connection itself counts as
/// an answer, and is kept if it can be reused.
async fn check(shell: &Rc<Shell>, target: &ProbeTarget, mut connection: Connection) -> Probe {
    let Some(path) = &target.health_path else {
        if is_closed(&mut connection).await {
            return Probe::Failed;
        }
        keep(
            shell,
            &target.endpoint,
            connection,
            reuse::DEFAULT_KEEP_ALIVE,
        )
        .await;
        return Probe::Answered;
    };
    let body = Empty::new().map_err(anyhow::Error::from);
    let request = Request::get(path)
        .header(header::HOST, target.endpoint.address.to_string())
        .body(Box::pin(body) as super::Body);
    let Ok(request) = request else {
        return Probe::Connected;
    };
    match tokio::time::timeout(HEALTH_TIMEOUT, send(connection, request)).await {
        // The connection is closed: a second answer to a request without an id could not be told from
        // the answer to the next request.
        Ok(Ok(_)) => Probe::Answered,
        Ok(Err(_)) => Probe::Failed,
        Err(_) => Probe::Connected,
    }
}

async fn keep(
    shell: &Rc<Shell>,
    endpoint: &Endpoint,
    connection: Connection,
    keep_alive: Duration,
) {
    let Some(connection) = reuse::into_reusable(connection, keep_alive).await else {
        return;
    };
    let max_idle =
        shell.query(|dispatcher, now| dispatcher.max_idle_connections(now, &endpoint.service));
    let target = Target::Endpoint(endpoint.to_instance());
    let upstream = &shell.upstream;
    upstream.add_idle(shell.now(), target, connection, keep_alive, max_idle);
}
