//! The whole process, from settings to a planned stop.

use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use anyhow::Context;
use tokio::net::TcpListener;
use tokio::net::UdpSocket;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::watch;
use tokio::task::spawn_local;
use woadstage_config::fault::Faults;
use woadstage_dispatch::dispatcher;
use woadstage_dispatch::dispatcher::Dispatcher;
use woadstage_dispatch::member::Role;
use woadstage_dispatch::message::Document;
use woadstage_dispatch::region;
use woadstage_types::unit::Time;

use crate::clock::Clock;
use crate::clock::to_duration;
use crate::clock::to_span;
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
use crate::source::Source;
use crate::source::Update;

/// Time between two looks at what time alone brings about.
const TICK: Duration = Duration::from_millis(20);

/// Time between two looks at the settings file.
const SETTINGS_EVERY: Duration = Duration::from_secs(2);

/// How long callers still come after the platform was told of a stop.
const NOTICE: Duration = Duration::from_millis(2_600);

/// Time kept at the end of a planned stop for leaving in order.
const SPARE: Duration = Duration::from_millis(500);

/// Time kept for the last answers on their way, before the node ends.
const LAST_ANSWERS: Duration = Duration::from_millis(150);

/// Time between two sweeps of connections at rest.
const SWEEP_EVERY: Duration = Duration::from_secs(1);

/// Runs a node until a planned stop has ended. `adapter` is called once with
/// the settings and reads the platform for as long as the process runs.
///
/// # Errors
/// Faults in the settings, or an address that cannot be listened on.
pub async fn run<A, F>(path: &Path, adapter: A) -> anyhow::Result<()>
where
    A: FnOnce(&Settings, source::Feed) -> F,
    F: Future<Output = ()> + 'static,
{
    let settings = read(path)?;
    let log = Log::start(log::Options::default(), std::io::stdout())?;
    let incarnation = rand::random();
    let dispatcher = Dispatcher::new(to_options(&settings, incarnation));
    let shell = Shell::new(
        dispatcher,
        settings.headers.clone(),
        Clock::start(),
        settings.memory,
        log,
        Metrics::new()?,
    );
    shell.log(&Event::Started {
        host: settings.host.as_str(),
        incarnation,
        version: env!("CARGO_PKG_VERSION"),
    });
    let socket = UdpSocket::bind(settings.peers).await;
    let socket = Rc::new(socket.with_context(|| format!("listen on {}", settings.peers))?);
    shell.peers.set_socket(socket.clone());
    let transfers = listen(settings.peers).await?;
    let ready = listen(settings.ready).await?;
    let metrics = listen(settings.metrics).await?;
    let callers = listen(settings.callers).await?;
    let (feed, source) = source::channel();
    let Source { updates, role } = source;
    spawn_local(adapter(&settings, feed));
    spawn_local(take_updates(shell.clone(), updates));
    spawn_local(peers::listen(shell.clone(), socket.clone()));
    spawn_local(peers::transfer::serve(shell.clone(), transfers));
    let (asked, of) = (settings.ready_path.clone(), shell.clone());
    spawn_local(operators::serve(ready, move |path| {
        operators::readiness(&of, path, &asked)
    }));
    let of = shell.clone();
    spawn_local(operators::serve(metrics, move |_| operators::metrics(&of)));
    spawn_local(serve::accept(shell.clone(), callers));
    spawn_local(tick(shell.clone(), socket, role));
    for document in [Document::Endpoints, Document::Configuration] {
        spawn_local(peers::catch_up::run(shell.clone(), document));
    }
    spawn_local(sweep(shell.clone()));
    spawn_local(reload(shell.clone(), path.to_owned()));
    stop(&shell, to_duration(settings.stop_within)).await
}

/// Reads and checks the settings.
///
/// # Errors
/// Every fault in them.
pub fn read(path: &Path) -> anyhow::Result<Settings> {
    let text = std::fs::read_to_string(path).with_context(|| format!("read {}", path.display()))?;
    settings::parse(&text).map_err(|faults: Faults| anyhow::anyhow!("{faults}"))
}

async fn listen(address: std::net::SocketAddrV4) -> anyhow::Result<TcpListener> {
    let listener = TcpListener::bind(address).await;
    listener.with_context(|| format!("listen on {address}"))
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

/// Brings what the platform published into force.
async fn take_updates(shell: Rc<Shell>, mut updates: UnboundedReceiver<Update>) {
    while let Some(update) = updates.recv().await {
        match update {
            Update::Answered => shell.platform_answered_at.set(Some(shell.now())),
            Update::Configuration(configuration, answer) => {
                publish::set_configuration(&shell, answer, configuration);
            }
            Update::Endpoints(list) => {
                publish::set_endpoints(&shell, publish::PLATFORM, list);
            }
            Update::Restored { before, era } => {
                shell.metrics.change("platform-restored");
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
                shell.metrics.change("missed");
                shell.log(&Event::Missed {
                    document: document.as_str(),
                    revision,
                    waited_after,
                });
            }
            Update::Reached => note_platform(&shell, true, ""),
            Update::Unreachable(detail) => note_platform(&shell, false, &detail),
            Update::Unreadable(document, detail) => shell.log(&Event::Unreadable {
                document: document.as_str(),
                detail: &detail,
            }),
        }
    }
}

fn note_platform(shell: &Shell, reached: bool, detail: &str) {
    shell.command(|dispatcher, _| dispatcher.set_platform_unreachable(!reached));
    shell.metrics.change(if reached {
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

/// Everything that time alone brings about.
async fn tick(shell: Rc<Shell>, socket: Rc<UdpSocket>, advertised_role: watch::Sender<Role>) {
    let mut last = shell.now();
    loop {
        tokio::time::sleep(TICK).await;
        shell.check_suspension();
        let now = shell.now();
        if shell.command(|dispatcher, now| dispatcher.tick(now)) {
            shell.upstream.close_idle();
            shell.log(&Event::Woke {
                after_ms: now.since(last).0 / 1_000,
            });
        }
        last = now;
        peers::tell(&shell, &socket);
        let role = shell.query(|dispatcher, now| dispatcher.role(now));
        advertised_role.send_if_modified(|known| std::mem::replace(known, role) != role);
    }
}

async fn sweep(shell: Rc<Shell>) {
    let mut left_out = 0;
    loop {
        tokio::time::sleep(SWEEP_EVERY).await;
        shell.upstream.sweep(shell.now());
        let all = shell.log.left_out();
        if all > left_out {
            shell.log(&Event::LeftOut {
                lines: all - left_out,
            });
            left_out = all;
        }
    }
}

/// Takes changed settings, on a signal or when the file has changed.
async fn reload(shell: Rc<Shell>, path: std::path::PathBuf) {
    let Ok(mut hangup) = signal(SignalKind::hangup()) else {
        return;
    };
    let mut known = std::fs::read_to_string(&path).unwrap_or_default();
    loop {
        let signalled = tokio::time::timeout(SETTINGS_EVERY, hangup.recv())
            .await
            .is_ok();
        let text = std::fs::read_to_string(&path).unwrap_or_default();
        if text == known && !signalled {
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

/// Waits for the signal, tells the platform and the others, lets what runs end.
async fn stop(shell: &Rc<Shell>, within: Duration) -> anyhow::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    let deadline = shell.now() + to_span(within.saturating_sub(SPARE));
    let note = |phase: &str| {
        let held = shell.query(|dispatcher, _| dispatcher.held());
        shell.log(&Event::Stopping { held, phase });
    };
    note("leaving");
    shell.set_phase(Phase::Leaving);
    shell.command(|dispatcher, _| dispatcher.leave());
    let noticed = deadline.min(shell.now() + to_span(NOTICE));
    wait_until(shell, noticed, || false).await;
    note("closing");
    let left = to_duration(deadline.since(shell.now()));
    shell.start_closing(to_span(left.saturating_sub(LAST_ANSWERS)));
    // Callers go on coming while others stop too: waiting for them as well would
    // keep the node from starting anew. What it took from them is short.
    wait_until(shell, deadline, || shell.connections.get() == 0).await;
    shell.set_phase(Phase::Stopped);
    // Lets `serve::accept` take those that are connected already.
    tokio::task::yield_now().await;
    let is_over = || {
        let held = shell.query(|dispatcher, _| dispatcher.held());
        held == 0 && shell.late_connections.get() == 0
    };
    wait_until(shell, deadline, is_over).await;
    note("stopped");
    // The log's thread gathers lines for a moment before it writes them.
    tokio::time::sleep(log::Options::default().gather * 2).await;
    Ok(())
}

/// Waits until something is so, or the deadline has come.
async fn wait_until(shell: &Shell, deadline: Time, is_so: impl Fn() -> bool) {
    while shell.now() < deadline && !is_so() {
        tokio::time::sleep(TICK).await;
    }
}
