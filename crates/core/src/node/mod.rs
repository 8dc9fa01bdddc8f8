//! One node's whole state.
//!
//! [`Node::handle`] is the one command: the time and an event go in, actions
//! come out. Everything else here is a query. Files are named by what they
//! handle: `arrive.rs` and `keyed.rs` requests, `ask.rs` the way to an
//! endpoint, `call.rs` what endpoints do, `finish.rs` the end of a request,
//! `peer.rs` other nodes, `platform.rs` what is published, `tick.rs` time,
//! `stop.rs` the planned stop, `query.rs` queries.

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

/// Who a node is and how much it holds.
#[derive(Debug, Clone)]
pub struct Options {
    /// The entry host's name.
    pub host: id::Host,
    /// Its data centre.
    pub data_centre: id::DataCentre,
    /// This run of the process; never the same twice.
    pub incarnation: id::Incarnation,
    /// Time between two heartbeats.
    pub heartbeat: Span,
    /// Requests held at once.
    pub requests: usize,
    /// Bytes of recorded answers.
    pub answers: Size,
    /// The policy of pools.
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

/// Where a request stands.
#[derive(Debug, Clone)]
enum Phase {
    /// Another with its key runs.
    Waiting,
    /// The node that its key names has it.
    Forwarded,
    /// The holder of the pool was asked.
    Asking { of: id::Host },
    /// An endpoint was called.
    Calling {
        of: id::Host,
        endpoint: id::Endpoint,
        called: Time,
        last: Time,
    },
}

/// One request.
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
    since: Time,
    deadline: Time,
    attempt: u32,
    retries: u32,
    avoid: Option<id::Endpoint>,
    phase: Phase,
    /// False once the caller has its answer or went away.
    caller: bool,
    /// True for a keyed call that goes on after its caller was answered.
    lingers: bool,
    wait: Option<Span>,
    first: Option<Span>,
}

/// An endpoint, as the list names it.
#[derive(Debug, Clone)]
struct Endpoint {
    address: Arc<str>,
    target: id::Target,
    live: bool,
    /// True once it said itself that it is leaving.
    leaving: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Stage {
    Serving,
    Leaving,
    Closed,
}

/// Tokens seen from an endpoint since the last progress message.
#[derive(Debug, Clone, Copy, Default)]
struct Seen {
    tokens: u64,
    busy: Span,
}

/// One node.
#[derive(Debug)]
pub struct Node {
    options: Options,
    stage: Stage,
    document: Option<Document>,
    list: Option<Arc<hosts::List>>,
    list_index: u64,
    /// When a read of the platform last gave the list held.
    confirmed_at: Option<Time>,
    endpoints: HashMap<id::Endpoint, Endpoint>,
    members: Members,
    live: Vec<id::Host>,
    tasks: HashMap<id::Request, Task>,
    deadlines: BTreeSet<(Time, id::Request)>,
    pools: BTreeMap<id::Target, Pool>,
    reserves: Vec<u32>,
    ledger: Ledger,
    estate: stop::Handover,
    customers: limit::Customers,
    retries: limit::RetryBudget,
    trace: Trace,
    seen: BTreeMap<(id::Target, id::Endpoint), Seen>,
    beat: Time,
    /// True once a listed node was heard whose configuration is no newer than
    /// ours.
    checked: bool,
    out: Vec<Action>,
}

impl Node {
    /// A node that knows nothing yet.
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
            estate: stop::Handover::default(),
            customers: limit::Customers::default(),
            retries: limit::RetryBudget::default(),
            trace: Trace::default(),
            seen: BTreeMap::new(),
            beat: now,
            checked: false,
            out: Vec::new(),
            options,
        }
    }

    /// Takes in an event and gives what is to be done about it, in order.
    pub fn handle(&mut self, now: Time, event: Event) -> Vec<Action> {
        match event {
            Event::Arrive(arrival) => self.arrive(now, arrival),
            Event::Gone(request) => self.gone(now, request),
            Event::Call {
                request,
                attempt,
                what,
            } => self.called(now, request, attempt, what),
            Event::ForwardEnded(request) => self.forward_ended(now, request),
            Event::ForwardLost(request) => self.forward_lost(now, request),
            Event::PeerUp(peer) => self.peer_up(now, peer),
            Event::PeerDown(host) => self.peer_down(now, &host),
            Event::Message { from, message } => self.message(now, from, message),
            Event::Document { text, index } => self.document(now, text, index),
            Event::Hosts { list, index } => self.hosts_read(now, list, index),
            Event::Report {
                endpoint,
                busy,
                leaving,
            } => {
                self.report(now, &endpoint, busy, leaving);
            }
            Event::Stop => self.stop(now),
            Event::Close => self.close(now),
            Event::Tick => self.tick(now),
        }
        self.decide(now);
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
