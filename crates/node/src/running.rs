//! A node that runs: its tasks, and how they stop.

use std::sync::Arc;
use std::time::Duration;

use quinn::Endpoint;
use salvo::Server;
use salvo::conn::tcp::TcpAcceptor;
use salvo::fuse::FuseConfig;
use salvo::server::ServerHandle;
use spdlog::info;
use tokio::sync::Semaphore;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use woadstage_config::settings::Settings;
use woadstage_core::node::Event;
use woadstage_core::node::Node;
use woadstage_core::node::Options;
use woadstage_core::pool::Peer;
use woadstage_startup::failure::Failure;
use woadstage_startup::stop::StopSignals;
use woadstage_types::code::Code;
use woadstage_types::id;
use woadstage_types::unit::Size;
use woadstage_types::unit::Span;

use crate::callers;
use crate::clock::Clock;
use crate::clock::to_duration;
use crate::driver;
use crate::driver::Driver;
use crate::driver::Handle;
use crate::driver::Input;
use crate::endpoints;
use crate::listen::Sockets;
use crate::metrics::Metrics;
use crate::operators;
use crate::peers;
use crate::peers::Peers;
use crate::peers::tls;
use crate::platform;
use crate::platform::Platform;
use crate::tasks;
use crate::tasks::Tasks;

/// Time for load balancers and other nodes to notice a planned stop before
/// callers are refused.
const STOP_NOTICE: Duration = Duration::from_secs(1);

/// Time for the last answers to be sent.
const LAST_ANSWERS_TIMEOUT: Duration = Duration::from_secs(5);

/// The memory for recorded answers divided by this is the limit for one answer.
const ANSWER_LIMIT_DIVISOR: u64 = 16;

/// What a node acquires before it serves.
pub struct Started {
    /// Its settings.
    pub settings: Settings,
    /// Its sockets.
    pub sockets: Sockets,
    /// Its configuration for connections between nodes.
    pub tls: tls::Config,
}

/// How a node stopped.
pub enum Stop {
    /// Every request in progress was answered.
    Complete,
    /// The remaining requests were aborted.
    Aborted,
}

/// A node that runs.
pub struct Running {
    handle: Handle,
    driver: JoinHandle<()>,
    has_driver_ended: bool,
    tasks: Tasks,
    callers: ServerHandle,
    operators: ServerHandle,
    endpoint: Endpoint,
    /// Each task that answers callers or other nodes holds a receiver.
    answering: watch::Sender<()>,
}

/// Spawns the tasks of a node.
///
/// # Errors
/// Fails if the host refuses an option of a socket.
pub fn spawn(started: Started) -> Result<Running, Failure> {
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
    let mut tasks = Tasks::default();
    let callers = new_server(sockets.callers, &settings);
    let operators = new_server(sockets.operators, &settings);
    let (callers_handle, operators_handle) = (callers.handle(), operators.handle());
    let answering = watch::Sender::new(());
    let answers = answering.subscribe();
    tasks.spawn("callers", async move {
        callers.serve(callers::router(shared)).await;
        drop(answers);
    });
    tasks.spawn(
        "operators",
        operators.serve(operators::router(&handle, &metrics)),
    );
    let accept = peers::Accept {
        endpoint: endpoint.clone(),
        own: own.clone(),
        handle: handle.clone(),
        answering: answering.clone(),
    };
    tasks.spawn("peers", accept.run());
    let platform = Platform::new(settings.platform, settings.platform_wait);
    for key in [platform::CONFIG_KEY, platform::HOSTS_KEY] {
        let watch = platform::watch(platform.clone(), key, handle.clone());
        tasks.spawn("platform", watch);
    }
    let poll = endpoints::poll(endpoints::Client::new(), handle.clone());
    tasks.spawn("endpoints", poll);
    let node = new_node(&settings, incarnation, clock);
    let answers = settings.limits.answers;
    let parts = driver::Parts {
        node,
        clock,
        peers: Peers::new(endpoint.clone(), own, handle.clone()),
        metrics,
        answer_limit: (answers.0 / ANSWER_LIMIT_DIVISOR).max(Size::from_kib(4).0) as usize,
    };
    let host = settings.host.to_string();
    let run = incarnation.to_string();
    info!("serve: Node started.", kv: { host:, incarnation = run });
    Ok(Running {
        driver: tokio::spawn(Driver::new(parts, handle.clone(), inputs).run()),
        has_driver_ended: false,
        handle,
        tasks,
        callers: callers_handle,
        operators: operators_handle,
        endpoint,
        answering,
    })
}

fn new_server(acceptor: TcpAcceptor, settings: &Settings) -> Server<TcpAcceptor> {
    let within = to_duration(settings.limits.receive_within);
    let fuse = FuseConfig::default().with_http1_header_timeout(within);
    Server::new(acceptor).fuse_config(fuse)
}

fn new_node(settings: &Settings, incarnation: id::Incarnation, clock: Clock) -> Node {
    Node::new(
        clock.now(),
        Options {
            host: settings.host.clone(),
            data_centre: settings.data_centre.clone(),
            incarnation,
            heartbeat: settings.heartbeat,
            requests: settings.limits.requests,
            answers: settings.limits.answers,
            ..Options::default()
        },
    )
}

impl Running {
    /// Waits until a task has ended without which the node can't serve.
    pub async fn wait_for_failure(&mut self) -> Failure {
        tokio::select! {
            // The other tasks end without the driver.
            biased;
            ended = &mut self.driver => {
                self.has_driver_ended = true;
                tasks::to_failure("driver", &ended)
            }
            failure = self.tasks.wait_for_failure() => failure,
        }
    }

    /// Carries out a planned stop: announces it, then refuses callers, then waits for the requests
    /// in progress. A signal, or the end of the time, aborts the remaining requests, whose callers
    /// are told so.
    ///
    /// # Errors
    /// Fails if the driver panics.
    pub async fn stop(mut self, signals: &mut StopSignals, within: Span) -> Result<Stop, Failure> {
        let stop = match self.has_driver_ended {
            // Nothing is left to wait for.
            true => Ok(Stop::Complete),
            false => self.drain(signals, within).await,
        };
        self.close().await;
        stop
    }

    async fn drain(&mut self, signals: &mut StopSignals, within: Span) -> Result<Stop, Failure> {
        let handle = self.handle.clone();
        let time = async {
            handle.send(Input::Event(Event::Stop));
            tokio::time::sleep(STOP_NOTICE).await;
            handle.send(Input::Event(Event::Close));
            tokio::select! {
                () = signals.wait() => {}
                () = tokio::time::sleep(to_duration(within)) => {}
            }
        };
        let (ended, stop) = tokio::select! {
            ended = &mut self.driver => (ended, Stop::Complete),
            () = time => {
                handle.send(Input::Event(Event::Abort));
                let aborting = tokio::time::timeout(LAST_ANSWERS_TIMEOUT, &mut self.driver);
                let Ok(ended) = aborting.await else {
                    return Ok(Stop::Aborted);
                };
                (ended, Stop::Aborted)
            }
        };
        match ended {
            Ok(()) => Ok(stop),
            Err(_) => Err(tasks::to_failure("driver", &ended)),
        }
    }

    /// Waits until the last answers are sent, then closes all connections.
    async fn close(self) {
        self.callers.stop_graceful(LAST_ANSWERS_TIMEOUT);
        // The other end of a connection may read slowly or not at all.
        let answered = tokio::time::timeout(LAST_ANSWERS_TIMEOUT, self.answering.closed());
        let _ = answered.await;
        self.operators.stop_graceful(LAST_ANSWERS_TIMEOUT);
        self.endpoint.close(0u32.into(), b"stopped");
        // An endpoint whose socket failed does not say that it is idle.
        let idle = tokio::time::timeout(LAST_ANSWERS_TIMEOUT, self.endpoint.wait_idle());
        let _ = idle.await;
    }
}
