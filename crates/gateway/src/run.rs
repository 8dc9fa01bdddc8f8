//! Runs a node, from reading its settings to a graceful shutdown.

use std::collections::HashMap;
use std::io::Write;
use std::path::Path;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::UdpSocket;
use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::sync::Mutex;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::watch;
use tokio::task::spawn_local;
use woadstage_dispatch::member::Role;
use woadstage_startup::failure::Failure;
use woadstage_startup::retry;
use woadstage_startup::retry::Waiting;
use woadstage_startup::retry::retry;
use woadstage_startup::stop::StopSignals;
use woadstage_types::code::Code;

use crate::clock::to_span;
use crate::connections::Reason;
use crate::event::Event;
use crate::log::Log;
use crate::peers;
use crate::publish;
use crate::settings;
use crate::settings::Settings;
use crate::shell::Shell;
use crate::source;
use crate::source::Inquiry;
use crate::source::Update;
use crate::start;
use crate::start::Started;
use crate::stop;
use crate::upstream::probe;

/// The interval of the dispatcher's timer.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// The interval at which the settings file is checked for changes.
const SETTINGS_POLL_INTERVAL: Duration = Duration::from_secs(2);

/// The interval of closing idle connections to endpoints and of reporting dropped log lines.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// How long a process that ends waits for the reader of its standard error.
const REPORT_TIMEOUT: Duration = Duration::from_millis(400);

/// The maximum length of the reason in the last line of the log, in bytes.
const MAX_DETAIL_BYTES: usize = 16 << 10;

/// Runs a node until a graceful shutdown is complete, and writes why it ends to `log`. `adapter` is
/// called with the settings, again if what it returned ends, and reads the platform for as long as
/// the process runs.
///
/// # Errors
/// Returns a failure, which was written to standard error and the log, if the settings are invalid,
/// an address cannot be bound, or a task fails again and again.
pub async fn run<A, F>(path: &Path, log: Log, adapter: A) -> Result<(), Failure>
where
    A: Fn(&Settings, source::Feed) -> F + 'static,
    F: Future<Output = ()> + 'static,
{
    let serving = spawn_local(serve_until_stopped(path.to_owned(), adapter, log.clone()));
    let result = serving
        .await
        .unwrap_or_else(|error| Err(Failure::new(Code::TaskFailed, "main", error)));
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
                detail: clip(&failure.detail),
            }
        }
    };
    log.finish(&event).await;
    result
}

/// Writes a failure to standard error, for those who run the program by hand. Another thread does it,
/// since the write waits for as long as nobody reads.
fn report_failure(failure: &Failure) {
    let text = format!("woadstage: {failure}\n");
    let (sender, written) = std::sync::mpsc::channel();
    let thread = std::thread::Builder::new().spawn(move || {
        // If nobody reads it, the log still holds it.
        let _ = std::io::stderr().write_all(text.as_bytes());
        let _ = sender.send(());
    });
    if thread.is_ok() {
        let _ = written.recv_timeout(REPORT_TIMEOUT);
    }
}

/// Returns the beginning of a text that may be too long for the log.
fn clip(text: &str) -> &str {
    &text[..text.floor_char_boundary(MAX_DETAIL_BYTES)]
}

async fn serve_until_stopped<A, F>(path: PathBuf, adapter: A, log: Log) -> Result<(), Failure>
where
    A: Fn(&Settings, source::Feed) -> F + 'static,
    F: Future<Output = ()> + 'static,
{
    let report = |waiting: &Waiting| start::log_waiting(&log, waiting);
    let mut signals = retry(&retry::Options::default(), Signals::try_new, report).await?;
    let Started {
        shell,
        supervisor,
        settings,
        settings_text,
    } = tokio::select! {
        started = start::start(&path, adapter, &log) => started?,
        () = signals.stop.wait() => return Ok(()),
    };
    let Signals { mut stop, hangup } = signals;
    let (shared, hangup) = (shell.clone(), Rc::new(Mutex::new(hangup)));
    supervisor.spawn("reload", move || {
        let known = settings_text.clone();
        reload(shared.clone(), path.clone(), known, hangup.clone())
    });
    let result = tokio::select! {
        () = stop.wait() => Ok(()),
        failure = supervisor.wait_for_failure() => Err(failure),
    };
    stop::stop(&shell, settings.stop_within).await;
    result
}

/// The signals that a process handles. Their default is to end it, so that they are taken before
/// anything else.
struct Signals {
    stop: StopSignals,
    hangup: Signal,
}

impl Signals {
    fn try_new() -> Result<Signals, Failure> {
        let hangup = signal(SignalKind::hangup());
        Ok(Signals {
            hangup: hangup.map_err(|error| Failure::refused("signals", &error))?,
            stop: StopSignals::try_new()?,
        })
    }
}

/// Applies what the platform published, as the adapter reports it.
pub(crate) async fn apply_updates(shell: Rc<Shell>, mut updates: UnboundedReceiver<Update>) {
    // An adapter that starts reports the platform only once a call has failed.
    shell.command(|dispatcher, _| dispatcher.set_platform_unreachable(false));
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
pub(crate) async fn tick(
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
pub(crate) async fn sweep(shell: Rc<Shell>) {
    let mut left_out = 0;
    let mut closed = HashMap::new();
    loop {
        tokio::time::sleep(SWEEP_INTERVAL).await;
        shell.upstream.remove_expired(shell.now());
        shell.close_late_connections();
        // Failed before if the host allowed no further thread.
        let _ = shell.log.try_start_writer();
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
async fn reload(shell: Rc<Shell>, path: PathBuf, known: String, hangup: Rc<Mutex<Signal>>) {
    let mut known = known;
    let mut hangup = hangup.lock().await;
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
