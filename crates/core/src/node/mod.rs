//! The complete state of a node, as a deterministic state machine.
//!
//! [`Node::handle`] is the only entry point that processes events: it takes the
//! time and an event and returns actions. [`Node::issue_ticket`] hands out tickets, and the
//! other public methods are queries. Modules: `arrive` and `keyed` admit requests,
//! `ask` obtains endpoints from pool holders, `call` handles calls, `finish` ends
//! requests, `peer` handles other nodes, `platform` published documents and host
//! lists, `tick` timers, `stop` the planned stop and `query` queries.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Arc;

use woadstage_config::hosts;
use woadstage_config::published::Class;
use woadstage_config::published::Customer;
use woadstage_config::published::Target;
use woadstage_types::id;
use woadstage_types::unit::Size;
use woadstage_types::unit::Span;
use woadstage_types::unit::Time;
use woadstage_types::unit::Tokens;

use crate::document::Document;
use crate::ledger::Key;
use crate::ledger::Ledger;
use crate::limit;
use crate::member::Members;
use crate::pool;
use crate::pool::Peer;
use crate::pool::Pool;
use crate::trace::Trace;

mod arrive;
mod ask;
mod call;
mod event;
mod finish;
mod keyed;
mod peer;
mod platform;
pub mod query;
mod stop;
mod tick;

pub use event::Action;
pub use event::Arrival;
pub use event::Call;
pub use event::Ended;
pub use event::Event;
pub use event::Refusal;
pub use event::Waste;

/// The identity and the limits of a node.
#[derive(Debug, Clone)]
pub struct Options {
    /// The name of the entry host.
    pub host: id::Host,
    /// The host's data centre.
    pub data_centre: id::DataCentre,
    /// The incarnation of this process; unique for each start.
    pub incarnation: id::Incarnation,
    /// The interval between heartbeats.
    pub heartbeat: Span,
    /// The maximum number of requests in progress.
    pub requests: usize,
    /// The memory limit for recorded answers.
    pub answers: Size,
    /// The options of the pools.
    pub pool: pool::Options,
}

impl Default for Options {
    fn default() -> Options {
        Options {
            host: id::Host::new("host"),
            data_centre: id::DataCentre::new("centre"),
            incarnation: id::Incarnation(0),
            heartbeat: Span::from_millis(100),
            requests: 4_096,
            answers: Size::from_mib(4),
            pool: pool::Options::default(),
        }
    }
}

/// The state of a request in progress.
#[derive(Debug, Clone)]
enum Phase {
    /// Another request with the same key is running.
    Waiting,
    /// The request was forwarded to the node that owns its key.
    Forwarded,
    /// The pool holder was asked for an endpoint.
    Asking { holder: id::Host },
    /// An endpoint was called.
    Calling {
        holder: id::Host,
        endpoint: id::Endpoint,
        called_at: Time,
        last_progress: Time,
    },
}

/// A request in progress.
#[derive(Debug)]
struct Task {
    class: Arc<Class>,
    target: Arc<Target>,
    customer: Arc<Customer>,
    key: Option<Key>,
    key_text: Option<String>,
    prompt: Tokens,
    output_limit: Option<Tokens>,
    blocks: Vec<u64>,
    arrived_at: Time,
    deadline: Time,
    attempt: u32,
    retries: u32,
    avoid: Option<id::Endpoint>,
    /// Whether an earlier attempt may have reached an endpoint.
    was_sent: bool,
    phase: Phase,
    /// Whether the caller still waits for an answer.
    caller_waiting: bool,
    /// Whether a keyed call continues after its caller was answered.
    detached: bool,
    wait: Option<Span>,
    first: Option<Span>,
}

/// An endpoint as described by the host list.
#[derive(Debug, Clone)]
struct Endpoint {
    address: Arc<str>,
    target: id::Target,
    live: bool,
    /// Whether the endpoint itself reported that it is leaving.
    leaving: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Stage {
    Serving,
    Leaving,
    Closed,
}

/// Progress observed at an endpoint since the last progress message.
#[derive(Debug, Clone, Copy, Default)]
struct Progress {
    tokens: u64,
    busy: Span,
}

/// The state machine of one node.
#[derive(Debug)]
pub struct Node {
    options: Options,
    stage: Stage,
    document: Option<Document>,
    list: Option<Arc<hosts::List>>,
    list_index: u64,
    /// When a read from the platform last returned the current list.
    confirmed_at: Option<Time>,
    endpoints: HashMap<id::Endpoint, Endpoint>,
    members: Members,
    live: Vec<id::Host>,
    tasks: HashMap<id::Request, Task>,
    deadlines: BTreeSet<(Time, id::Request)>,
    pools: BTreeMap<id::Target, Pool>,
    reserves: Vec<u32>,
    ledger: Ledger,
    handover: stop::Handover,
    customers: limit::Customers,
    retries: limit::RetryBudget,
    trace: Trace,
    unreported: BTreeMap<(id::Target, id::Endpoint), Progress>,
    last_heartbeat: Time,
    /// Whether another node was heard whose configuration is not newer than the
    /// one held here.
    configuration_checked: bool,
    out: Vec<Action>,
}

impl Node {
    /// Creates a node without configuration or host list.
    pub fn new(now: Time, options: Options) -> Node {
        let Options {
            host,
            data_centre,
            heartbeat,
            ..
        } = options.clone();
        Node {
            stage: Stage::Serving,
            document: None,
            list: None,
            list_index: 0,
            confirmed_at: None,
            endpoints: HashMap::new(),
            live: vec![host.clone()],
            members: Members::new(host, data_centre, heartbeat),
            tasks: HashMap::new(),
            deadlines: BTreeSet::new(),
            pools: BTreeMap::new(),
            reserves: Vec::new(),
            ledger: Ledger::new(options.incarnation, now, options.answers),
            handover: stop::Handover::default(),
            customers: limit::Customers::default(),
            retries: limit::RetryBudget::default(),
            trace: Trace::default(),
            unreported: BTreeMap::new(),
            last_heartbeat: now,
            configuration_checked: false,
            out: Vec::new(),
            options,
        }
    }

    /// Processes an event and returns the resulting actions in order.
    pub fn handle(&mut self, now: Time, event: Event) -> Vec<Action> {
        match event {
            Event::Arrive(arrival) => self.arrive(now, arrival),
            Event::CallerGone(request) => self.handle_caller_gone(now, request),
            Event::Call {
                request,
                attempt,
                what,
            } => self.handle_call(now, request, attempt, what),
            Event::ForwardEnded(request) => self.forward_ended(now, request),
            Event::ForwardLost(request) => self.forward_lost(now, request),
            Event::PeerUp(peer) => self.peer_up(now, peer),
            Event::PeerDown(host) => self.peer_down(now, &host),
            Event::Message { from, message } => self.message(now, from, message),
            Event::Document { text, index } => self.document(now, text, index),
            Event::Hosts { list, index } => self.receive_hosts_from_platform(now, list, index),
            Event::Report {
                endpoint,
                busy,
                leaving,
            } => {
                self.report(now, &endpoint, busy, leaving);
            }
            Event::Stop => self.stop(now),
            Event::Close => self.close(now),
            Event::Abort => self.abort(now),
            Event::Tick => self.tick(now),
        }
        self.apply_decisions(now);
        std::mem::take(&mut self.out)
    }

    fn peer(&self) -> Peer {
        Peer {
            host: self.options.host.clone(),
            incarnation: self.options.incarnation,
        }
    }

    fn send(&mut self, to: &id::Host, message: crate::message::Message) {
        self.out.push(Action::Send {
            to: to.clone(),
            message,
        });
    }
}
