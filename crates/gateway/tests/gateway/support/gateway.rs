//! A gateway that runs in the test process.

use std::cell::Cell;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use hyper::header::HeaderName;
use tokio::task::spawn_local;
use woadstage_dispatch::configuration::Configuration;
use woadstage_dispatch::configuration::Customer;
use woadstage_dispatch::configuration::Key;
use woadstage_dispatch::configuration::Kind;
use woadstage_dispatch::configuration::Quota;
use woadstage_dispatch::configuration::Route;
use woadstage_dispatch::configuration::Service;
use woadstage_dispatch::dispatcher::Dispatcher;
use woadstage_dispatch::dispatcher::Options;
use woadstage_dispatch::dispatcher::Policy;
use woadstage_dispatch::endpoint::Endpoint;
use woadstage_dispatch::endpoint::List;
use woadstage_gateway::clock::Clock;
use woadstage_gateway::connections::Capacity;
use woadstage_gateway::connections::Limits;
use woadstage_gateway::connections::listen;
use woadstage_gateway::headers::Headers;
use woadstage_gateway::log;
use woadstage_gateway::log::Log;
use woadstage_gateway::metrics::Metrics;
use woadstage_gateway::serve;
use woadstage_gateway::shell::Shell;
use woadstage_types::id;
use woadstage_types::unit::Size;
use woadstage_types::unit::Span;

use super::KEY;
use super::SERVICE;
use super::worker::Worker;

/// Headers that callers may not set.
pub const RESERVED: [&str; 2] = ["x-order", "order-from"];

/// A log output that tests can read.
#[derive(Clone, Default)]
pub struct LogBuffer(Arc<Mutex<Vec<u8>>>);

impl Write for LogBuffer {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0
            .lock()
            .expect("the lock is not poisoned")
            .extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

impl LogBuffer {
    /// Returns everything that was logged so far.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.0.lock().expect("the lock is not poisoned")).into_owned()
    }
}

/// The memory that it may use.
const MEMORY: Size = Size::from_mib(64);

/// A gateway that runs in the test process.
pub struct Gateway {
    /// Its shared state.
    pub shell: Rc<Shell>,
    /// The address at which it serves callers.
    pub address: SocketAddrV4,
    /// Its log.
    pub lines: LogBuffer,
    /// The total time for which its simulated host was suspended.
    pub suspended: Rc<Cell<Duration>>,
    /// Whether the platform confirms after a pause what the gateway knows.
    pub confirms: Rc<Cell<bool>>,
}

/// Returns one route for each path prefix: `/once/`, `/repeatable/`, `/stream/` and so on.
pub fn routes() -> Vec<Route> {
    let route = |name: &str, kind, attempts| Route {
        name: name.into(),
        host: "host.example".into(),
        prefix: format!("/{name}/"),
        targets: vec![(id::Target::new(SERVICE), 1)],
        kind,
        timeout: Span::from_secs(20),
        objective: Span::from_secs(20),
        caller_timeout: Span::from_secs(20),
        pause: None,
        attempts,
        priority: 0,
        anonymous: false,
        resumable: false,
        regions: Default::default(),
    };
    let resumable = Route {
        resumable: true,
        ..route("resumable", Kind::Stream, 2)
    };
    let open = Route {
        anonymous: true,
        ..route("open", Kind::Once, 1)
    };
    let short = Route {
        timeout: Span::from_millis(300),
        ..route("short", Kind::Once, 1)
    };
    vec![
        route("once", Kind::Once, 1),
        route("twice", Kind::Once, 2),
        route("repeatable", Kind::Repeatable, 2),
        route("stream", Kind::Stream, 1),
        resumable,
        open,
        short,
    ]
}

/// Returns a configuration with one customer.
pub fn configuration(quota: Option<Quota>) -> Configuration {
    Configuration {
        version: 1,
        routes: routes(),
        services: vec![Service {
            name: id::Target::new(SERVICE),
            connections: 100,
            engine: false,
            cold: None,
            health_path: None,
        }],
        customers: Some(vec![Customer {
            name: id::Customer::new("customer"),
            keys: vec![Key::from_secret(KEY)],
            priority: None,
            quota,
            regions: Default::default(),
        }]),
        ..Configuration::default()
    }
}

impl Gateway {
    /// Starts a gateway with these endpoints and the default configuration.
    pub async fn start(workers: &[&Worker]) -> Gateway {
        let configuration = configuration(None);
        let options = log::Options::default();
        let gateway = Gateway::configured(workers, Some(configuration), options).await;
        gateway
            .shell
            .command(|dispatcher, now| dispatcher.tick(now));
        gateway
    }

    /// Starts a gateway with these endpoints and a configuration, or without one.
    pub async fn configured(
        workers: &[&Worker],
        configuration: Option<Configuration>,
        options: log::Options,
    ) -> Gateway {
        let gateway = Gateway::unconfigured(options).await;
        gateway.set_endpoints(workers);
        let shell = &gateway.shell;
        if let Some(configuration) = configuration {
            shell.command(|dispatcher, now| {
                dispatcher.set_configuration(now, Arc::new(configuration))
            });
        }
        gateway
    }

    /// Starts a gateway without a configuration or endpoints.
    pub async fn unconfigured(options: log::Options) -> Gateway {
        let capacity = Capacity::new(MEMORY, 4_096);
        Gateway::unconfigured_with_capacity(options, capacity).await
    }

    /// Starts a gateway with these endpoints that holds this number of callers' connections at most.
    pub async fn with_callers(workers: &[&Worker], callers: Limits) -> Gateway {
        let capacity = Capacity {
            callers,
            ..Capacity::new(MEMORY, 4_096)
        };
        let options = log::Options::default();
        let gateway = Gateway::unconfigured_with_capacity(options, capacity).await;
        gateway.set_endpoints(workers);
        let configuration = Arc::new(configuration(None));
        gateway
            .shell
            .command(|dispatcher, now| dispatcher.set_configuration(now, configuration));
        gateway
            .shell
            .command(|dispatcher, now| dispatcher.tick(now));
        gateway
    }

    async fn unconfigured_with_capacity(options: log::Options, capacity: Capacity) -> Gateway {
        let lines = LogBuffer::default();
        let log = Log::start(options, lines.clone()).expect("the log starts");
        let metrics = Metrics::new().expect("the metrics register");
        let suspended: Rc<Cell<Duration>> = Rc::default();
        let counted = suspended.clone();
        let clock = Clock::reading(move || woadstage_clock::since_boot() + counted.get());
        let buffer = capacity.callers_buffer;
        let shell = Shell::new(
            Dispatcher::new(dispatcher_options()),
            headers(),
            clock,
            capacity,
            log,
            metrics,
        );
        let any_port = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0);
        let listener = listen::listen(any_port, buffer, buffer).expect("bind to a free port");
        let SocketAddr::V4(address) = listener.local_addr().expect("the listener has an address")
        else {
            unreachable!("bound to IPv4");
        };
        spawn_local(serve::accept(shell.clone(), Rc::new(listener)));
        let confirms = Rc::new(Cell::new(true));
        spawn_local(observe(shell.clone(), confirms.clone()));
        Gateway {
            shell,
            address,
            lines,
            suspended,
            confirms,
        }
    }

    /// Replaces the list of endpoints.
    pub fn set_endpoints(&self, workers: &[&Worker]) {
        let revision = self
            .shell
            .query(|dispatcher, _| dispatcher.endpoints().revision);
        let list = Arc::new(List {
            settled: true,
            revision: revision + 1,
            endpoints: workers.iter().map(|worker| to_endpoint(worker)).collect(),
            ..List::default()
        });
        // Those of the first list have been watched for some time.
        let watched_for = match revision {
            0 => Span::from_secs(5),
            _ => Span::ZERO,
        };
        self.shell
            .command(|dispatcher, now| dispatcher.set_endpoints(now - watched_for, list));
    }

    /// Simulates a suspension of the host, which the gateway detects at once.
    pub fn suspend(&self, span: Duration) {
        self.suspended.set(self.suspended.get() + span);
        self.shell.check_suspension();
    }

    /// Waits until a line that contains all of these texts was logged, and returns it.
    pub async fn wait_for_line(&self, texts: &[&str]) -> String {
        loop {
            let all = self.lines.text();
            let line = all
                .lines()
                .find(|line| texts.iter().all(|text| line.contains(text)));
            if let Some(line) = line {
                return line.to_owned();
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }
}

/// Observes that the gateway runs, as its timer does, and confirms what it knows after pauses.
async fn observe(shell: Rc<Shell>, confirms: Rc<Cell<bool>>) {
    loop {
        shell.observe();
        let unconfirmed = shell.query(|dispatcher, _| dispatcher.unconfirmed_opt());
        if let Some(generation) = unconfirmed.filter(|_| confirms.get()) {
            shell.command(|dispatcher, now| dispatcher.confirm(now, generation));
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Returns the default header names, and two reserved ones.
fn headers() -> Headers {
    Headers {
        reserved: RESERVED.map(HeaderName::from_static).to_vec(),
        ..Headers::default()
    }
}

/// Returns the options of a node without peers.
pub fn dispatcher_options() -> Options {
    Options {
        own: SocketAddrV4::new(Ipv4Addr::LOCALHOST, 7_600),
        incarnation: 1,
        data_centre: id::DataCentre::new("a"),
        seeds: Vec::new(),
        policy: Policy::default(),
        worker: Default::default(),
        prefix_cache: Default::default(),
        member: Default::default(),
        quota: Default::default(),
        budget: woadstage_dispatch::budget::Options {
            extra: 1_000.0,
            ..Default::default()
        },
        quarantine: Default::default(),
        regions: Default::default(),
    }
}

/// Returns the entry for a scripted endpoint in the platform's list.
pub fn to_endpoint(worker: &Worker) -> Endpoint {
    Endpoint {
        name: id::Endpoint::new(worker.name),
        started_at: 0,
        service: id::Target::new(SERVICE),
        address: worker.address,
        data_centre: id::DataCentre::new("a"),
        slots: 4,
        leaving: false,
        cold_for: Span::ZERO,
        software: Some(id::Software::new(worker.software)),
    }
}
