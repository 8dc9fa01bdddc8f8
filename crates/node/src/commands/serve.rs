//! `woadstage serve`: runs a node until SIGTERM or SIGINT.

use std::io::Write;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use salvo::Router;
use salvo::Server;
use salvo::conn::tcp::TcpAcceptor;
use salvo::fuse::FuseConfig;
use salvo::server::ServerHandle;
use spdlog::error;
use spdlog::info;
use spdlog::warn;
use tokio::sync::Semaphore;
use woadstage_config::settings;
use woadstage_config::settings::Settings;
use woadstage_core::node::Event;
use woadstage_core::node::Node;
use woadstage_core::node::Options;
use woadstage_core::pool::Peer;
use woadstage_startup::failure::Failure;
use woadstage_startup::retry;
use woadstage_startup::retry::Waiting;
use woadstage_startup::retry::retry;
use woadstage_startup::settings_file;
use woadstage_startup::stop::StopSignals;
use woadstage_types::code::Code;
use woadstage_types::id;
use woadstage_types::unit::Size;
use woadstage_types::unit::Span;

use super::Refused;
use crate::callers;
use crate::clock::Clock;
use crate::clock::to_duration;
use crate::driver;
use crate::driver::Driver;
use crate::driver::Handle;
use crate::driver::Input;
use crate::endpoints;
use crate::listen;
use crate::listen::Sockets;
use crate::metrics::Metrics;
use crate::operators;
use crate::peers;
use crate::peers::Peers;
use crate::peers::tls;
use crate::platform;
use crate::platform::Platform;

/// Time for load balancers and other nodes to notice a planned stop before
/// callers are refused.
const STOP_NOTICE: Duration = Duration::from_secs(1);

/// Time for the last answers to be sent.
const LAST_ANSWERS_TIMEOUT: Duration = Duration::from_secs(5);

/// The memory for recorded answers divided by this is the limit for one answer.
const ANSWER_LIMIT_DIVISOR: u64 = 16;

/// How a node ended that was told to stop.
enum Stop {
    /// Every request in progress was answered.
    Complete,
    /// The remaining requests were aborted.
    Aborted,
}

/// Runs a node, and logs why it ends.
///
/// # Errors
/// Returns a failure, or [`Refused`] if requests in progress were aborted, either of which was logged.
pub async fn run(path: &Path, out: &mut impl Write) -> anyhow::Result<()> {
    let result = read_and_serve(path, out).await;
    log_end(&result);
    match result {
        Ok(Stop::Complete) => Ok(()),
        Ok(Stop::Aborted) => Err(Refused.into()),
        Err(failure) => Err(failure.into()),
    }
}

fn log_end(result: &Result<Stop, Failure>) {
    match result {
        Ok(Stop::Complete) => {
            info!("serve: Node ended.", kv: { status = 0, cause = "told to stop" });
        }
        Ok(Stop::Aborted) => {
            let cause = "told to stop; aborted the requests in progress";
            warn!("serve: Node ended.", kv: { status = 1, cause });
        }
        Err(Failure { code, detail }) => {
            let cause = detail.replace('\n', "; ");
            error!("serve: Node ended.", kv: { status = 1, code:, cause: });
        }
    }
}

async fn read_and_serve(path: &Path, out: &mut impl Write) -> Result<Stop, Failure> {
    let mut signals = retry(
        &retry::Options::default(),
        StopSignals::try_new,
        log_waiting,
    )
    .await?;
    let started = tokio::select! {
        started = start(path, out) => started?,
        () = signals.wait() => return Ok(Stop::Complete),
    };
    serve(started, signals).await
}

fn log_waiting(waiting: &Waiting) {
    let Failure { code, detail } = &waiting.cause;
    let cause = detail.replace('\n', "; ");
    let waited_ms = waiting.waited.as_millis() as u64;
    warn!("serve: Waiting.", kv: { code:, cause:, waited_ms });
}

/// What a node acquires before it serves.
struct Started {
    settings: Settings,
    sockets: Sockets,
    tls: tls::Config,
}

async fn start(path: &Path, out: &mut impl Write) -> Result<Started, Failure> {
    let read = settings_file::read(path, settings::parse, log_waiting).await;
    let settings_file::Read { settings, .. } = read.inspect_err(|failure| {
        // If nobody reads it, the log still holds it.
        let _ = writeln!(out, "{failure}");
    })?;
    let tls = tls::Config::new(&settings.identity)?;
    let open = || listen::open(&settings);
    let sockets = retry(&retry::Options::default(), open, log_waiting).await?;
    Ok(Started {
        settings,
        sockets,
        tls,
    })
}

async fn serve(started: Started, signals: StopSignals) -> Result<Stop, Failure> {
    let Started {
        settings,
        sockets,
        tls,
    } = started;
    let clock = Clock::start();
    let incarnation = id::Incarnation(id::new_v7(clock.now(), rand::random()));
    let own = Peer {
        host: settings.host.clone(),
        incarnation,
    };
    let (handle, inputs) = driver::channel();
    let metrics = Metrics::new();
    let metrics = metrics.map_err(|error| Failure::new(Code::TaskFailed, "metrics", error))?;
    let metrics = Arc::new(metrics);
    let endpoint = tls.open(sockets.peers)?;
    let shared = Arc::new(callers::Shared {
        handle: handle.clone(),
        clock,
        limits: settings.limits.clone(),
        permits: Arc::new(Semaphore::new(settings.limits.requests)),
        bodies: Arc::new(Semaphore::new((settings.limits.bodies.0 >> 10) as usize)),
    });
    let callers = spawn_server(sockets.callers, callers::router(shared), &settings);
    let operator_router = operators::router(&handle, &metrics);
    let operators = spawn_server(sockets.operators, operator_router, &settings);
    tokio::spawn(peers::accept(endpoint.clone(), own.clone(), handle.clone()));
    let platform = Platform::new(settings.platform, settings.platform_wait);
    for key in [platform::CONFIG_KEY, platform::HOSTS_KEY] {
        tokio::spawn(platform::watch(platform.clone(), key, handle.clone()));
    }
    tokio::spawn(endpoints::poll(endpoints::Client::new(), handle.clone()));
    let answers = settings.limits.answers;
    let node = Node::new(
        clock.now(),
        Options {
            host: settings.host.clone(),
            data_centre: settings.data_centre.clone(),
            incarnation,
            heartbeat: settings.heartbeat,
            requests: settings.limits.requests,
            answers,
            ..Options::default()
        },
    );
    let answer_limit = (answers.0 / ANSWER_LIMIT_DIVISOR).max(Size::from_kib(4).0) as usize;
    let peers = Peers::new(endpoint.clone(), own, handle.clone());
    let parts = driver::Parts {
        node,
        clock,
        peers,
        metrics,
        answer_limit,
    };
    let host = settings.host.to_string();
    let run = incarnation.to_string();
    info!("serve: Node started.", kv: { host:, incarnation = run });
    let driver = Driver::new(parts, handle.clone(), inputs);
    let stop = tokio::select! {
        () = driver.run() => Stop::Complete,
        () = abort_on_signal(handle, signals, settings.stop_within) => return Ok(Stop::Aborted),
    };
    callers.stop_graceful(LAST_ANSWERS_TIMEOUT);
    operators.stop_graceful(LAST_ANSWERS_TIMEOUT);
    endpoint.close(0u32.into(), b"stopped");
    endpoint.wait_idle().await;
    Ok(stop)
}

fn spawn_server(acceptor: TcpAcceptor, router: Router, settings: &Settings) -> ServerHandle {
    let within = to_duration(settings.limits.receive_within);
    let fuse = FuseConfig::default().with_http1_header_timeout(within);
    let server = Server::new(acceptor).fuse_config(fuse);
    let handle = server.handle();
    tokio::spawn(server.serve(router));
    handle
}

/// Carries out a planned stop on SIGTERM or SIGINT: announces it, then refuses
/// callers, then waits for the requests in progress. Returns if they are to be aborted, because of
/// a second signal or the end of the configured time.
async fn abort_on_signal(handle: Handle, mut signals: StopSignals, within: Span) {
    signals.wait().await;
    info!("serve: Planned stop started.");
    handle.send(Input::Event(Event::Stop));
    tokio::time::sleep(STOP_NOTICE).await;
    handle.send(Input::Event(Event::Close));
    tokio::select! {
        () = signals.wait() => {}
        () = tokio::time::sleep(to_duration(within)) => {}
    }
}
