//! Builds dispatchers with a few endpoints, and requests for them.

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::sync::Arc;

use woadstage_dispatch::binding::Binding;
use woadstage_dispatch::budget;
use woadstage_dispatch::configuration::Configuration;
use woadstage_dispatch::configuration::Kind;
use woadstage_dispatch::configuration::Rank;
use woadstage_dispatch::configuration::Route;
use woadstage_dispatch::configuration::Service;
use woadstage_dispatch::dispatcher::Decision;
use woadstage_dispatch::dispatcher::Dispatcher;
use woadstage_dispatch::dispatcher::Options;
use woadstage_dispatch::dispatcher::Policy;
use woadstage_dispatch::endpoint::Endpoint;
use woadstage_dispatch::endpoint::List;
use woadstage_dispatch::job;
use woadstage_dispatch::job::Fingerprint;
use woadstage_dispatch::job::History;
use woadstage_dispatch::job::Job;
use woadstage_dispatch::job::Prompt;
use woadstage_dispatch::member;
use woadstage_dispatch::message::Frame;
use woadstage_dispatch::message::Pull;
use woadstage_dispatch::message::Status;
use woadstage_dispatch::prefix_cache;
use woadstage_dispatch::quarantine;
use woadstage_dispatch::quota;
use woadstage_dispatch::region;
use woadstage_dispatch::region::Constraint;
use woadstage_dispatch::region::Regions;
use woadstage_dispatch::wire;
use woadstage_dispatch::worker;
use woadstage_types::id;
use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

/// The model used by most tests.
pub const MODEL: &str = "model";

/// A plain service.
pub const SERVICE: &str = "service";

/// The time `millis` milliseconds after the start of a test.
pub fn at(millis: u64) -> Time {
    Time(1_000_000_000) + Span::from_millis(millis)
}

/// The address of a node.
pub fn node(number: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, number), 7_600)
}

/// The options of a node.
pub fn options(number: u8) -> Options {
    Options {
        own: node(number),
        incarnation: u64::from(number),
        data_centre: id::DataCentre::new("a"),
        seeds: Vec::new(),
        policy: Policy::default(),
        worker: worker::Options::default(),
        prefix_cache: prefix_cache::Options::default(),
        member: member::Options::default(),
        quota: quota::Options::default(),
        budget: budget::Options {
            extra: 100.0,
            ..budget::Options::default()
        },
        quarantine: quarantine::Options::default(),
        regions: region::Map::default(),
    }
}

/// Transfers what one node pulls from another. Returns the number of bytes sent.
pub fn transfer_documents(from: &Dispatcher, to: &mut Dispatcher) -> usize {
    let pull = pull_from(from, to);
    let base = to.endpoints().clone();
    let snapshot = from.snapshot(&pull);
    let frames: Vec<Frame> = snapshot.into_frames().collect();
    let written = frames.iter().map(wire::frame_to_bytes);
    let bytes = written.map(|bytes| bytes.expect("encodes").len());
    let bytes = bytes.sum();
    let mut manifest = None;
    for frame in frames {
        match frame {
            Frame::Busy => unreachable!("nobody declines here"),
            Frame::Endpoints(difference) => {
                to.set_endpoints(at(1), Arc::new(difference.into_list(&base)));
            }
            Frame::Manifest(newer) => manifest = Some(newer),
            Frame::Part(part) => to.add_part(part),
        }
    }
    if let Some(manifest) = manifest {
        to.receive_manifest(at(1), &manifest);
    }
    bytes
}

/// Returns what `to` pulls from `from` after hearing its status.
pub fn pull_from(from: &Dispatcher, to: &mut Dispatcher) -> Pull {
    let known = from.versions();
    let status = Status {
        incarnation: 99,
        sequence: known.configuration + known.endpoints.revision + 1,
        configuration: known.configuration,
        endpoints: known.endpoints,
        ..Status::default()
    };
    to.receive_status(at(1), node(99), status);
    to.pull(node(99))
}

/// Builds a route to a service.
pub fn route(name: &str, target: &str, kind: Kind, priority: u8) -> Route {
    Route {
        name: name.into(),
        host: "host.example".into(),
        prefix: format!("/{name}/"),
        targets: vec![(id::Target::new(target), 1)],
        kind,
        timeout: Span::from_secs(8),
        objective: Span::from_secs(1),
        caller_timeout: Span::from_secs(8),
        pause: None,
        attempts: 2,
        priority,
        anonymous: false,
        resumable: false,
        regions: Regions::default(),
    }
}

/// Builds a configuration with an urgent and a routine route to the model and one route to the
/// plain service.
pub fn configuration(version: u64) -> Arc<Configuration> {
    let service = |name: &str, engine| Service {
        name: id::Target::new(name),
        connections: 100,
        engine,
        cold: None,
        health_path: None,
    };
    Arc::new(Configuration {
        version,
        routes: vec![
            route("urgent", MODEL, Kind::Stream, 0),
            route("routine", MODEL, Kind::Stream, 2),
            route("lookup", SERVICE, Kind::Repeatable, 2),
        ],
        services: vec![service(MODEL, true), service(SERVICE, false)],
        ..Configuration::default()
    })
}

/// Builds an endpoint.
pub fn endpoint(name: &str, service: &str, slots: u32) -> Endpoint {
    Endpoint {
        name: id::Endpoint::new(name),
        started_at: 0,
        service: id::Target::new(service),
        address: SocketAddrV4::new(Ipv4Addr::new(10, 1, 0, 1), 8_080),
        data_centre: id::DataCentre::new("a"),
        slots,
        leaving: false,
        cold_for: Span::ZERO,
        software: Some(id::Software::new("1")),
    }
}

/// Builds a list of endpoints.
pub fn list(revision: u64, endpoints: &[Endpoint]) -> Arc<List> {
    Arc::new(List {
        settled: true,
        revision,
        endpoints: endpoints.to_vec(),
        ..List::default()
    })
}

/// Creates a dispatcher with a configuration and the given endpoints.
pub fn dispatcher(endpoints: &[Endpoint]) -> Dispatcher {
    dispatcher_at(at(0) - WATCH_TIME, endpoints)
}

/// How long a node watches the endpoints of its first list before it relies on them.
const WATCH_TIME: Span = Span::from_secs(5);

/// Like [`dispatcher`], which has its list at this time, and has watched the endpoints since.
pub fn dispatcher_at(listed_at: Time, endpoints: &[Endpoint]) -> Dispatcher {
    let mut dispatcher = Dispatcher::new(options(1));
    dispatcher.set_configuration(listed_at, configuration(1));
    dispatcher.set_endpoints(listed_at, list(1, endpoints));
    let mut now = listed_at;
    while now <= listed_at + WATCH_TIME {
        dispatcher.tick(now);
        now = now + Span::from_secs(1);
    }
    dispatcher
}

/// Builds a request for a service with the priority of a route.
pub fn job(target: &str, urgency: u8, arrived: Time) -> Job {
    Job {
        fingerprint: Fingerprint(0),
        target: id::Target::new(target),
        route: "route".into(),
        rank: Rank {
            priority: urgency,
            urgency,
        },
        repeatable: false,
        attempts: 2,
        arrived,
        first_try: arrived,
        deadline: arrived + Span::from_secs(8),
        objective: Span::from_secs(1),
        caller_timeout: Span::from_secs(8),
        pause: None,
        prompt: Prompt::default(),
        history: History::default(),
        origin: None,
        only_endpoint: None,
        avoided: Vec::new(),
        trial: false,
        constraint: Constraint::default(),
        customer: None,
        is_booked: false,
        is_redirected: false,
        is_forwarded: false,
        declined_by: Vec::new(),
        stream: None,
        binding: Binding::Free,
    }
}

/// Takes the decisions and returns the started requests with their endpoints, in order.
pub fn starts(dispatcher: &mut Dispatcher) -> Vec<(job::Id, String)> {
    let decisions = dispatcher.take_decisions().into_iter();
    let starts = decisions.filter_map(|decision| match decision {
        Decision::Start { job, endpoint, .. } => Some((job, endpoint.name.to_string())),
        Decision::Forward { .. } | Decision::Refuse { .. } => None,
    });
    starts.collect()
}

/// Takes the decisions and returns the refused requests with the code and the time after which to
/// retry.
pub fn refusals(
    dispatcher: &mut Dispatcher,
) -> Vec<(job::Id, woadstage_types::code::Code, Option<Span>)> {
    let decisions = dispatcher.take_decisions().into_iter();
    let refusals = decisions.filter_map(|decision| match decision {
        Decision::Refuse { job, refusal, .. } => Some((job, refusal.code, refusal.retry_after)),
        Decision::Start { .. } | Decision::Forward { .. } => None,
    });
    refusals.collect()
}
