//! Runs a node, from reading its settings to a graceful shutdown.

use std::collections::HashMap;
use std::io::Write;
use std::net::SocketAddrV4;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::net::UdpSocket;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::watch;
use tokio::task::spawn_local;
use woadstage_dispatch::dispatcher;
use woadstage_dispatch::dispatcher::Dispatcher;
use woadstage_dispatch::member::Role;
use woadstage_dispatch::message::Document;
use woadstage_dispatch::region;
use woadstage_startup::failure::Failure;
use woadstage_types::code::Code;
use woadstage_types::unit::Size;
use woadstage_types::unit::Time;

use crate::clock::Clock;
use crate::clock::to_duration;
use crate::clock::to_span;
use crate::connections::Reason;
use crate::connections::listen;
use crate::event::Event;
use crate::log;
use crate::log::Log;
use crate::metrics::Metrics;
use crate::operators;
use crate::peers;
use crate::publish;
use crate::serve;
use crate::settings;
use crate::settings::Settings;
use crate::shell::Phase;
use crate::shell::Shell;
use crate::source;
use crate::source::Inquiry;
use crate::source::Source;
use crate::source::Update;
use crate::upstream::probe;

/// The interval of the dispatcher's timer.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// The interval at which the settings file is checked for changes.
const SETTINGS_POLL_INTERVAL: Duration = Duration::from_secs(2);

/// The maximum duration of [`Phase::Leaving`]. Callers keep arriving for this long after the
/// platform is told that the node is leaving.
const LEAVING_PERIOD: Duration = Duration::from_millis(2_600);

/// The part of the stop time that is reserved for exiting in an orderly way.
const EXIT_MARGIN: Duration = Duration::from_millis(500);

/// The time reserved before the process exits for sending the last answers.
const LAST_ANSWERS_MARGIN: Duration = Duration::from_millis(150);

/// The interval of closing idle connections to endpoints and of reporting dropped log lines.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// The size of the buffers of connections at the readiness and metrics address.
const OPERATOR_BUFFER: Size = Size::from_kib(4);

/// The size of the buffers of other nodes' connections, over which documents are sent.
const PEER_BUFFER: Size = Size::from_kib(128);

/// Runs a node until a graceful shutdown is complete, and logs why it ends. `adapter` is called once,
/// with the settings, and reads the platform for as long as the process runs.
///
/// # Errors
/// Returns a failure, which was written to standard error and the log, if the settings are invalid or
/// an address cannot be bound.
pub async fn run<A, F>(path: &Path, adapter: A) -> Result<(), Failure>
where
    A: FnOnce(&Settings, source::Feed) -> F,
    F: Future<Output = ()> + 'static,
{
    let log = match Log::start(log::Options::default(), std::io::stdout()) {
        Ok(log) => log,
        Err(error) => {
            let failure = Failure::new(Code::HostExhausted, "log", error);
            report_failure(&failure);
            return Err(failure);
        }
    };
    log_panics(log.clone());
    let result = serve_until_stopped(path, adapter, log.clone()).await;
    let event = match &result {
        Ok(()) => Event::Ended {
            status: 0,
            code: String::new(),
            detail: "told to stop",
        },
        Err(failure) => {
            report_failure(failure);
            Event::Ended {
                status: 1,
                code: failure.code.to_string(),
                detail: &failure.detail,
            }
        }
    };
    log.write(&event);
    log.finish().await;
    result
}

/// Writes a failure to standard error, for those who run the program by hand.
fn report_failure(failure: &Failure) {
    // If nobody reads it, the log still holds it.
    let _ = writeln!(std::io::stderr(), "woadstage: {failure}");
}

/// Has panics logged instead of written to standard error.
fn log_panics(log: Log) {
    std::panic::set_hook(Box::new(move |panic| {
        let place = panic.location().map(ToString::to_string);
        log.write(&Event::Panicked {
            place: &place.unwrap_or_default(),
        });
    }));
}

async fn serve_until_stopped<A, F>(path: &Path, adapter: A, log: Log) -> Result<(), Failure>
where
    A: FnOnce(&Settings, source::Feed) -> F,
    F: Future<Output = ()> + 'static,
{
    let settings = read(path)?;
    let metrics = Metrics::new().map_err(internal)?;
    let incarnation = rand::random();
    let dispatcher = Dispatcher::new(to_options(&settings, incarnation));
    let shell = Shell::new(
        dispatcher,
        settings.headers.clone(),
        Clock::start(),
        settings.capacity.clone(),
        log,
        metrics,
    );
    shell.log(&Event::Started {
        host: settings.host.as_str(),
        incarnation,
        version: env!("CARGO_PKG_VERSION"),
    });
    let socket = UdpSocket::bind(settings.peers).await;
    let socket = Rc::new(socket.map_err(|error| refused("peers", settings.peers, &error))?);
    shell.peers.set_socket(socket.clone());
    let transfers = open("peers", settings.peers, PEER_BUFFER)?;
    let ready = open("ready", settings.ready, OPERATOR_BUFFER)?;
    let metrics = open("metrics", settings.metrics, OPERATOR_BUFFER)?;
    let callers_buffer = settings.capacity.callers_buffer;
    let callers = open("callers", settings.callers, callers_buffer)?;
    let (feed, source) = source::channel();
    let Source {
        updates,
        role,
        inquiries,
    } = source;
    spawn_local(adapter(&settings, feed));
    spawn_local(apply_updates(shell.clone(), updates));
    spawn_local(peers::listen(shell.clone(), socket.clone()));
    spawn_local(peers::transfer::serve(shell.clone(), transfers));
    let (ready_path, shared) = (settings.ready_path.clone(), shell.clone());
    let registry = shell.registries.ready.clone();
    let page = move |path: &str| operators::readiness(&shared, path, &ready_path);
    spawn_local(operators::serve(ready, shell.clock.clone(), registry, page));
    let shared = shell.clone();
    let registry = shell.registries.metrics.clone();
    let page = move |_: &str| operators::metrics(&shared);
    spawn_local(operators::serve(
        metrics,
        shell.clock.clone(),
        registry,
        page,
    ));
    spawn_local(serve::accept(shell.clone(), callers));
    spawn_local(tick(shell.clone(), socket, role, inquiries));
    for document in [Document::Endpoints, Document::Configuration] {
        spawn_local(peers::catch_up::run(shell.clone(), document));
    }
    spawn_local(sweep(shell.clone()));
    spawn_local(reload(shell.clone(), path.to_owned()));
    stop(&shell, to_duration(settings.stop_within)).await
}

/// Reads and validates the settings file.
fn read(path: &Path) -> Result<Settings, Failure> {
    let text = std::fs::read_to_string(path)
        .map_err(|error| Failure::new(Code::SettingsMissing, &path.display().to_string(), error))?;
    Ok(settings::parse(&text)?)
}

/// Opens a listener, with `buffer` as the size of each buffer of its sockets.
fn open(name: &str, address: SocketAddrV4, buffer: Size) -> Result<TcpListener, Failure> {
    let listener = listen::listen(address, buffer, buffer);
    listener.map_err(|error| refused(name, address, &error))
}

/// Describes an address that could not be bound.
fn refused(name: &str, address: SocketAddrV4, error: &std::io::Error) -> Failure {
    Failure::refused(&format!("{name} {address}"), error)
}

/// Describes a failure of the program itself.
fn internal(error: impl std::fmt::Display) -> Failure {
    Failure::new(Code::TaskFailed, "start", error)
}

fn to_options(settings: &Settings, incarnation: u64) -> dispatcher::Options {
    dispatcher::Options {
        own: settings.peers,
        incarnation,
        data_centre: settings.data_centre.clone(),
        seeds: settings.seeds.clone(),
        policy: settings.policy.clone(),
        worker: Default::default(),
        prefix_cache: Default::default(),
        member: Default::default(),
        quota: settings.quota.clone(),
        budget: settings.budget.clone(),
        quarantine: Default::default(),
        regions: region::Map::new(settings.regions.clone()),
    }
}

/// Applies what the platform published, as the adapter reports it.
async fn apply_updates(shell: Rc<Shell>, mut updates: UnboundedReceiver<Update>) {
    while let Some(update) = updates.recv().await {
        match update {
            Update::Answered => shell.platform_answered_at.set(Some(shell.now())),
            Update::Configuration(configuration, answer) => {
                publish::set_configuration(&shell, answer, configuration);
            }
            Update::Endpoints(list) => {
                publish::set_endpoints(&shell, publish::PLATFORM_SOURCE, list);
            }
            Update::Unsettled {
                cause,
                away,
                settles_in,
            } => {
                shell.metrics.record_state_change("unsettled");
                shell.log(&Event::Unsettled {
                    cause: cause.as_str(),
                    away_ms: away.as_millis() as u64,
                    for_ms: settles_in.as_millis() as u64,
                });
            }
            Update::Restored { before, era } => {
                shell.metrics.record_state_change("platform-restored");
                shell.log(&Event::Era {
                    era: era.0,
                    before: before.0,
                });
            }
            Update::Missed {
                document,
                revision,
                waited_after,
            } => {
                shell.metrics.record_state_change("missed");
                shell.log(&Event::Missed {
                    document: document.as_str(),
                    revision,
                    waited_after,
                });
            }
            Update::Confirmed(generation) => {
                shell.wait_until_messages_are_read().await;
                shell.command(|dispatcher, now| dispatcher.confirm(now, generation));
            }
            Update::Reached => record_platform_state(&shell, true, ""),
            Update::Unreachable(detail) => record_platform_state(&shell, false, &detail),
            Update::Unreadable(document, detail) => shell.log(&Event::Unreadable {
                document: document.as_str(),
                detail: &detail,
            }),
        }
    }
}

fn record_platform_state(shell: &Shell, reached: bool, detail: &str) {
    shell.command(|dispatcher, _| dispatcher.set_platform_unreachable(!reached));
    shell.metrics.record_state_change(if reached {
        "platform-regained"
    } else {
        "platform-lost"
    });
    shell.log(&Event::Dependency {
        name: "platform",
        reached,
        detail,
    });
}

/// Runs the periodic work: detecting suspensions, the dispatcher's timers, messages to other
/// nodes and notifying the adapter of the node's role.
async fn tick(
    shell: Rc<Shell>,
    socket: Rc<UdpSocket>,
    advertised_role: watch::Sender<Role>,
    inquiries: watch::Sender<Option<Inquiry>>,
) {
    loop {
        let due = tokio::time::Instant::now() + TICK_INTERVAL;
        tokio::time::sleep_until(due).await;
        shell.check_suspension();
        shell.observe();
        inquire(&shell, &inquiries);
        record_delay(&shell, due.elapsed());
        if shell.command(|dispatcher, now| dispatcher.tick(now)) {
            shell.upstream.close_idle();
        }
        probe::start_due(&shell);
        peers::send_statuses(&shell, &socket);
        let role = shell.query(|dispatcher, now| dispatcher.role(now));
        advertised_role.send_if_modified(|known| std::mem::replace(known, role) != role);
    }
}

/// Asks the adapter to confirm what the node knows, if it has to.
fn inquire(shell: &Shell, inquiries: &watch::Sender<Option<Inquiry>>) {
    let inquiry = shell.query(|dispatcher, _| {
        let generation = dispatcher.unconfirmed_opt()?;
        Some(Inquiry {
            generation,
            endpoints: dispatcher.edition(),
        })
    });
    let generation = |inquiry: &Option<Inquiry>| inquiry.map(|inquiry| inquiry.generation);
    inquiries.send_if_modified(|known| {
        let is_new = inquiry.is_some() && generation(known) != generation(&inquiry);
        if is_new {
            *known = inquiry;
        }
        is_new
    });
}

/// Records by how much the node's timer fired late, and logs what follows for new connections.
fn record_delay(shell: &Shell, delay: Duration) {
    let changed = shell.command(|dispatcher, now| dispatcher.record_delay(now, to_span(delay)));
    let Some(lateness) = changed else {
        return;
    };
    let state = match lateness.is_limited {
        true => "late",
        false => "on-time",
    };
    shell.metrics.record_state_change(state);
    shell.log(&Event::Lateness {
        state,
        delay_ms: lateness.delay.0 / 1_000,
        declined: lateness.declined,
    });
}

/// Closes connections that are idle or late, and logs which were closed and how many log lines were
/// dropped.
async fn sweep(shell: Rc<Shell>) {
    let mut left_out = 0;
    let mut closed = HashMap::new();
    loop {
        tokio::time::sleep(SWEEP_INTERVAL).await;
        shell.upstream.remove_expired(shell.now());
        shell.close_late_connections();
        log_closed_connections(&shell, &mut closed);
        let total = shell.log.dropped_lines();
        if total > left_out {
            shell.log(&Event::LeftOut {
                lines: total - left_out,
            });
            left_out = total;
        }
    }
}

/// Logs the connections that were closed since `known`, by listener and reason.
fn log_closed_connections(shell: &Shell, known: &mut HashMap<(&'static str, Reason), u64>) {
    for (listener, registry) in shell.registries.named() {
        for reason in Reason::ALL {
            let total = registry.closed(reason);
            let before = known.insert((listener, reason), total).unwrap_or(0);
            if total > before {
                shell.log(&Event::ConnectionsClosed {
                    listener,
                    reason: reason.as_str(),
                    connections: total - before,
                    open: registry.open(),
                });
            }
        }
    }
}

/// Reloads the settings on SIGHUP or when the file has changed. Only the seeds take effect
/// without a restart.
async fn reload(shell: Rc<Shell>, path: std::path::PathBuf) {
    let Ok(mut hangup) = signal(SignalKind::hangup()) else {
        return;
    };
    let mut known = std::fs::read_to_string(&path).unwrap_or_default();
    loop {
        let is_signalled = tokio::time::timeout(SETTINGS_POLL_INTERVAL, hangup.recv())
            .await
            .is_ok();
        let text = std::fs::read_to_string(&path).unwrap_or_default();
        if text == known && !is_signalled {
            continue;
        }
        known = text;
        let outcome = match settings::parse(&known) {
            Ok(settings) => {
                shell.command(|dispatcher, _| dispatcher.set_seeds(&settings.seeds));
                "in force: seeds; other changes take a restart".to_owned()
            }
            Err(faults) => format!("refused: {faults}"),
        };
        shell.log(&Event::Reloaded { outcome: &outcome });
    }
}

/// Waits for SIGTERM or SIGINT, then announces that the node is leaving and waits for the
/// requests in progress to end, for at most `within`.
async fn stop(shell: &Rc<Shell>, within: Duration) -> Result<(), Failure> {
    let refused = |error| Failure::refused("signals", &error);
    let mut terminate = signal(SignalKind::terminate()).map_err(refused)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(refused)?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    let deadline = shell.now() + to_span(within.saturating_sub(EXIT_MARGIN));
    let log_phase = |phase: &str| {
        let held = shell.query(|dispatcher, _| dispatcher.held());
        shell.log(&Event::Stopping { held, phase });
    };
    log_phase("leaving");
    shell.set_phase(Phase::Leaving);
    shell.command(|dispatcher, _| dispatcher.leave());
    let leaving_until = deadline.min(shell.now() + to_span(LEAVING_PERIOD));
    wait_until(shell, leaving_until, || false).await;
    log_phase("closing");
    let remaining = to_duration(deadline.since(shell.now()));
    shell.start_closing(to_span(remaining.saturating_sub(LAST_ANSWERS_MARGIN)));
    // New callers keep connecting while other nodes stop too. Waiting for their connections as
    // well would delay the restart, and the requests accepted from them are short.
    wait_until(shell, deadline, || shell.connections.get() == 0).await;
    shell.set_phase(Phase::Stopped);
    // Lets `serve::accept` accept the connections that are already established.
    tokio::task::yield_now().await;
    let is_drained = || {
        let held = shell.query(|dispatcher, _| dispatcher.held());
        held == 0 && shell.late_connections.get() == 0
    };
    wait_until(shell, deadline, is_drained).await;
    log_phase("stopped");
    Ok(())
}

/// Waits until `condition` holds or the deadline has passed.
async fn wait_until(shell: &Shell, deadline: Time, condition: impl Fn() -> bool) {
    while shell.now() < deadline && !condition() {
        tokio::time::sleep(TICK_INTERVAL).await;
    }
}
