//! Starts a node: reads its settings, opens its sockets and spawns its tasks. Waits while the host
//! can't grant what that takes yet.

use std::cell::RefCell;
use std::net::SocketAddrV4;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::net::UdpSocket;
use tokio::sync::watch;
use woadstage_dispatch::dispatcher;
use woadstage_dispatch::dispatcher::Dispatcher;
use woadstage_dispatch::member::Role;
use woadstage_dispatch::message::Document;
use woadstage_dispatch::region;
use woadstage_startup::failure::Failure;
use woadstage_startup::retry;
use woadstage_startup::retry::Waiting;
use woadstage_startup::retry::retry;
use woadstage_startup::settings_file;
use woadstage_types::code::Code;
use woadstage_types::unit::Size;

use crate::clock::Clock;
use crate::connections::listen;
use crate::event::Event;
use crate::log::Log;
use crate::metrics::Metrics;
use crate::operators;
use crate::peers;
use crate::run;
use crate::serve;
use crate::settings;
use crate::settings::Settings;
use crate::shell::Shell;
use crate::source;
use crate::supervise::Supervisor;

/// The size of the buffers of connections at the readiness and metrics address.
const OPERATOR_BUFFER: Size = Size::from_kib(4);

/// The size of the buffers of other nodes' connections, over which documents are sent.
const PEER_BUFFER: Size = Size::from_kib(128);

/// Callers are served without the metrics address, so it is waited for without a limit.
const METRICS_RETRY: retry::Options = retry::Options {
    within: Duration::MAX,
    interval: Duration::from_secs(1),
    report_interval: Duration::from_secs(60),
};

/// A node that has started.
pub struct Started {
    /// The state that its tasks share.
    pub shell: Rc<Shell>,
    /// Keeps its tasks running.
    pub supervisor: Supervisor,
    /// Its settings.
    pub settings: Settings,
    /// The content of the settings file.
    pub settings_text: String,
}

/// The sockets without which a node serves nobody.
struct Sockets {
    callers: Rc<TcpListener>,
    transfers: Rc<TcpListener>,
    messages: Rc<UdpSocket>,
}

/// Starts a node.
///
/// # Errors
/// Returns why it can't start if that won't pass by itself, or has not in time.
pub async fn start<A, F>(path: &Path, adapter: A, log: &Log) -> Result<Started, Failure>
where
    A: Fn(&Settings, source::Feed) -> F + 'static,
    F: Future<Output = ()> + 'static,
{
    let report = |waiting: &Waiting| log_waiting(log, waiting);
    let read = settings_file::read(path, settings::parse, report).await?;
    let settings = read.settings;
    let shell = new_shell(&settings, log.clone())?;
    // Readiness is served first, so that the platform learns that the node is not ready yet.
    let open_ready = || open("ready", settings.ready, OPERATOR_BUFFER);
    let ready = retry(&retry::Options::default(), open_ready, report).await?;
    let supervisor = Supervisor::new(shell.clone());
    serve_readiness(&supervisor, &settings, ready);
    serve_metrics(&supervisor, &settings)?;
    let open_sockets = || open_sockets(&settings);
    let sockets = retry(&retry::Options::default(), open_sockets, report).await?;
    spawn_tasks(&supervisor, &settings, sockets, adapter);
    Ok(Started {
        shell,
        supervisor,
        settings,
        settings_text: read.text,
    })
}

/// Logs what a process waits for.
pub fn log_waiting(log: &Log, waiting: &Waiting) {
    log.write(&Event::Waiting {
        code: waiting.cause.code.to_string(),
        detail: &waiting.cause.detail,
        waited_ms: waiting.waited.as_millis() as u64,
    });
}

fn new_shell(settings: &Settings, log: Log) -> Result<Rc<Shell>, Failure> {
    let metrics = Metrics::new();
    let metrics = metrics.map_err(|error| Failure::new(Code::TaskFailed, "metrics", error))?;
    let incarnation = rand::random();
    let dispatcher = Dispatcher::new(to_options(settings, incarnation));
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
    Ok(shell)
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

/// Opens a listener, with `buffer` as the size of each buffer of its sockets.
fn open(name: &str, address: SocketAddrV4, buffer: Size) -> Result<TcpListener, Failure> {
    let listener = listen::listen(address, buffer, buffer);
    listener.map_err(|error| refused(name, address, &error))
}

/// Describes an address that could not be bound.
fn refused(name: &str, address: SocketAddrV4, error: &std::io::Error) -> Failure {
    Failure::refused(&format!("{name} {address}"), error)
}

/// Opens all sockets or none: connections and messages must not wait at some while others are in use.
fn open_sockets(settings: &Settings) -> Result<Sockets, Failure> {
    // Another process could share the address of messages if the socket allowed that.
    let messages = std::net::UdpSocket::bind(settings.peers).and_then(|socket| {
        socket.set_nonblocking(true)?;
        UdpSocket::from_std(socket)
    });
    let messages = messages.map_err(|error| refused("peers", settings.peers, &error))?;
    let callers_buffer = settings.capacity.callers_buffer;
    Ok(Sockets {
        transfers: Rc::new(open("peers", settings.peers, PEER_BUFFER)?),
        callers: Rc::new(open("callers", settings.callers, callers_buffer)?),
        messages: Rc::new(messages),
    })
}

fn serve_readiness(supervisor: &Supervisor, settings: &Settings, listener: TcpListener) {
    let (listener, path) = (Rc::new(listener), settings.ready_path.clone());
    let shell = supervisor.shell.clone();
    supervisor.spawn_essential("readiness", move || {
        let (shared, path) = (shell.clone(), path.clone());
        let page = move |requested: &str| operators::readiness(&shared, requested, &path);
        let registry = shell.registries.ready.clone();
        operators::serve(listener.clone(), shell.clock.clone(), registry, page)
    });
}

/// Serves the metrics as soon as their address is free.
fn serve_metrics(supervisor: &Supervisor, settings: &Settings) -> Result<(), Failure> {
    let address = settings.metrics;
    let open = move || open("metrics", address, OPERATOR_BUFFER);
    let opened = match open() {
        Err(failure) if !failure.is_transient() => return Err(failure),
        opened => Rc::new(RefCell::new(opened.ok())),
    };
    let shell = supervisor.shell.clone();
    supervisor.spawn("metrics", move || {
        let (shell, opened) = (shell.clone(), opened.clone());
        async move {
            let report = |waiting: &Waiting| log_waiting(&shell.log, waiting);
            let opened = opened.take();
            let listener = match opened {
                Some(listener) => Ok(listener),
                None => retry(&METRICS_RETRY, open, report).await,
            };
            match listener {
                Ok(listener) => {
                    let shared = shell.clone();
                    let page = move |_: &str| operators::metrics(&shared);
                    let registry = shell.registries.metrics.clone();
                    let listener = Rc::new(listener);
                    operators::serve(listener, shell.clock.clone(), registry, page).await;
                }
                Err(_) => std::future::pending().await,
            }
        }
    });
    Ok(())
}

fn spawn_tasks<A, F>(supervisor: &Supervisor, settings: &Settings, sockets: Sockets, adapter: A)
where
    A: Fn(&Settings, source::Feed) -> F + 'static,
    F: Future<Output = ()> + 'static,
{
    let Sockets {
        callers,
        transfers,
        messages,
    } = sockets;
    let shell = &supervisor.shell;
    shell.peers.set_socket(messages.clone());
    let (role, inquiries) = (watch::Sender::new(Role::Follower), watch::Sender::new(None));
    let (shared, settings) = (shell.clone(), settings.clone());
    let (role_sender, inquiry_sender) = (role.clone(), inquiries.clone());
    supervisor.spawn("platform", move || {
        let (feed, source) = source::connect(role_sender.clone(), inquiry_sender.clone());
        let follow = adapter(&settings, feed);
        let apply = run::apply_updates(shared.clone(), source.updates);
        // If one of them fails, the other can't go on: everything is read again.
        async move {
            tokio::join!(follow, apply);
        }
    });
    let (shared, socket) = (shell.clone(), messages.clone());
    supervisor.spawn_essential("timer", move || {
        run::tick(
            shared.clone(),
            socket.clone(),
            role.clone(),
            inquiries.clone(),
        )
    });
    let shared = shell.clone();
    supervisor.spawn_essential("messages", move || {
        peers::listen(shared.clone(), messages.clone())
    });
    let shared = shell.clone();
    supervisor.spawn("transfers", move || {
        peers::transfer::serve(shared.clone(), transfers.clone())
    });
    let shared = shell.clone();
    supervisor.spawn_essential("callers", move || {
        serve::accept(shared.clone(), callers.clone())
    });
    for document in [Document::Endpoints, Document::Configuration] {
        let shared = shell.clone();
        supervisor.spawn("catch-up", move || {
            peers::catch_up::run(shared.clone(), document)
        });
    }
    let shared = shell.clone();
    supervisor.spawn("sweep", move || run::sweep(shared.clone()));
}
