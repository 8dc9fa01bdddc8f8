//! Many cores under a virtual clock, with endpoints and a network that a test
//! can break. Deterministic: the same seed gives the same run.
//!
//! This is the narrow way to drive a core without HTTP, QUIC or tokio; a bench
//! of another make can do as `act.rs` does.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use woadstage_config::hosts;
use woadstage_core::node;
use woadstage_core::node::Arrival;
use woadstage_core::node::Event;
use woadstage_core::node::Node;
use woadstage_core::pool::Peer;
use woadstage_types::id;
use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

mod act;
mod endpoint;
mod fault;
mod forward;
mod item;
mod queue;
mod serve;
mod types;

pub use endpoint::Endpoint;
pub use endpoint::Kind;
pub use endpoint::Work;
use item::Item;
use item::Mail;
use queue::Queued;
pub use types::Answer;
pub use types::Asked;
pub use types::Options;

/// The virtual clock's start: some time in December 2026.
pub const START: Time = Time(1_796_000_000_000_000);

/// One call: a request's attempt at one node's run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CallId {
    request: id::Request,
    attempt: u32,
    incarnation: id::Incarnation,
}

/// An entry host.
pub struct Host {
    /// Its name.
    pub name: id::Host,
    /// Its data centre.
    pub data_centre: id::DataCentre,
    /// The run of its process.
    pub incarnation: id::Incarnation,
    /// The core; none while the host is dead.
    pub node: Option<Node>,
    paused: bool,
    backlog: Vec<Event>,
    skew: i64,
    tick_at: Option<Time>,
}

impl Host {
    /// True while it does nothing and notices nothing.
    pub fn is_paused(&self) -> bool {
        self.paused
    }
}

/// A world.
pub struct World {
    /// What it was made of.
    pub options: Options,
    now: Time,
    seq: u64,
    queue: BinaryHeap<Reverse<Queued>>,
    rng: StdRng,
    /// Entry hosts.
    pub hosts: Vec<Host>,
    /// Endpoints.
    pub endpoints: Vec<Endpoint>,
    list: Arc<hosts::List>,
    list_index: u64,
    cuts: HashSet<(usize, usize)>,
    /// What each request is for the endpoint.
    work: HashMap<id::Request, endpoint::Work>,
    arrivals: HashMap<id::Request, Arrival>,
    calls: HashMap<CallId, serve::CallState>,
    /// Answers that nodes recorded, by run and request.
    recorded: HashMap<(id::Incarnation, id::Request), String>,
    /// Requests passed on: where they came from.
    forwards: HashMap<(id::Incarnation, id::Request), Peer>,
    /// Requests passed on by a run that still waits for their answers.
    passing: HashSet<(id::Incarnation, id::Request)>,
    /// Requests that a run refused: as the core demands of a shell, nothing
    /// of a call that goes on reaches the caller after that.
    closed: HashSet<(id::Incarnation, id::Request)>,
    /// What callers asked and got.
    pub asked: BTreeMap<id::Request, Asked>,
    /// Executions of what was asked, at all services.
    pub runs: BTreeMap<String, u64>,
    /// Calls that reached an endpoint, by request.
    pub executed: HashMap<id::Request, u64>,
    /// When a request first reached an endpoint.
    pub begun: HashMap<id::Request, Time>,
    /// Prompt tokens that endpoints took from their caches.
    pub cached: u64,
    /// Prompt tokens computed for what was not delivered in time.
    pub wasted: u64,
    /// Requests that ended at the node that their caller used.
    pub ended: Vec<node::Ended>,
    /// Messages sent between nodes.
    pub messages: u64,
    /// Calls made to endpoints.
    pub called: u64,
}

impl World {
    /// A world whose hosts are up, connected and ready.
    pub fn new(options: Options, endpoints: Vec<Endpoint>) -> World {
        let rng = StdRng::seed_from_u64(options.seed);
        let mut world = World {
            now: START,
            seq: 0,
            queue: BinaryHeap::new(),
            rng,
            hosts: Vec::new(),
            endpoints,
            list: Arc::default(),
            list_index: 0,
            cuts: HashSet::new(),
            work: HashMap::new(),
            arrivals: HashMap::new(),
            calls: HashMap::new(),
            recorded: HashMap::new(),
            forwards: HashMap::new(),
            passing: HashSet::new(),
            closed: HashSet::new(),
            asked: BTreeMap::new(),
            runs: BTreeMap::new(),
            executed: HashMap::new(),
            begun: HashMap::new(),
            cached: 0,
            wasted: 0,
            ended: Vec::new(),
            messages: 0,
            called: 0,
            options,
        };
        world.open();
        world
    }

    fn open(&mut self) {
        for at in 0..self.options.nodes {
            let skew = self.options.skew.0 as i64;
            let skew = if skew == 0 {
                0
            } else {
                self.rng.random_range(-skew..=skew)
            };
            self.hosts.push(Host {
                name: id::Host::new(&format!("entry-{at}")),
                data_centre: id::DataCentre::new(["a", "b", "c"][at % 3]),
                incarnation: id::Incarnation(0),
                node: None,
                paused: false,
                backlog: Vec::new(),
                skew,
                tick_at: None,
            });
        }
        self.list = Arc::new(self.true_list());
        self.list_index = 1;
        for at in 0..self.options.nodes {
            self.start(at);
        }
        self.run_for(Span::from_secs(1));
    }

    /// The list as it would be if it did not lag.
    pub fn true_list(&self) -> hosts::List {
        let entry = self.hosts.iter().map(|host| {
            crate::sample::entry(host.name.as_str(), "127.0.0.1:1", host.data_centre.as_str())
        });
        let endpoints = self.endpoints.iter().map(|endpoint| {
            crate::sample::endpoint(
                endpoint.name.as_str(),
                "127.0.0.1:2",
                "a",
                endpoint.serves.as_str(),
            )
        });
        hosts::List {
            hosts: entry.chain(endpoints).collect(),
        }
    }

    /// The time now.
    pub fn now(&self) -> Time {
        self.now
    }

    /// The generator, for tests that choose.
    pub fn rng(&mut self) -> &mut StdRng {
        &mut self.rng
    }

    fn push(&mut self, at: Time, item: Item) {
        self.seq += 1;
        let queued = Queued {
            at: at.max(self.now),
            seq: self.seq,
            item,
        };
        self.queue.push(Reverse(queued));
    }

    /// Tells a run of a host something at a time, if it still lives then.
    fn tell_at(&mut self, at: Time, node: usize, incarnation: id::Incarnation, event: Event) {
        let event = Box::new(event);
        self.push(
            at,
            Item::Event {
                node,
                incarnation,
                event,
            },
        );
    }

    /// Does something at a time.
    pub fn at(&mut self, at: Time, act: impl FnOnce(&mut World) + 'static) {
        self.push(at, Item::Script(Box::new(act)));
    }

    /// Does something after a while.
    pub fn after(&mut self, span: Span, act: impl FnOnce(&mut World) + 'static) {
        self.at(self.now + span, act);
    }

    /// Lets time pass.
    pub fn run_for(&mut self, span: Span) {
        let until = self.now + span;
        while self
            .queue
            .peek()
            .is_some_and(|Reverse(next)| next.at <= until)
        {
            let Some(Reverse(Queued { at, item, .. })) = self.queue.pop() else {
                break;
            };
            self.now = at;
            self.take(item);
        }
        self.now = until;
    }

    /// Sends a caller's request to a node. `what` is what the endpoint is asked.
    pub fn ask(&mut self, node: usize, mut arrival: Arrival, work: endpoint::Work) -> id::Request {
        let timeout = arrival.timeout.unwrap_or(Span::from_secs(3_600));
        let request = self.note(node, timeout, work);
        arrival.request = request;
        if arrival.key.is_some() {
            self.arrivals.insert(request, arrival.clone());
        }
        if self.hosts[node].node.is_some() {
            self.tell(node, Event::Arrive(arrival));
        }
        request
    }

    /// Notes a caller's request that no core is told of, for baselines.
    pub fn note(&mut self, node: usize, timeout: Span, work: endpoint::Work) -> id::Request {
        let request = id::Request(id::new_v7(self.now, self.rng.random()));
        let asked = Asked {
            node,
            run: self.hosts[node].incarnation,
            what: work.what.clone(),
            at: self.now,
            deadline: self.now + timeout,
            first: None,
            answers: Vec::new(),
        };
        self.asked.insert(request, asked);
        self.work.insert(request, work);
        request
    }

    /// Tells a node's core something, now.
    pub fn tell(&mut self, node: usize, event: Event) {
        let now = self.clock(node);
        let host = &mut self.hosts[node];
        if host.paused {
            host.backlog.push(event);
            return;
        }
        let Some(core) = host.node.as_mut() else {
            return;
        };
        let actions = core.handle(now, event);
        let wake = core.next_wake();
        self.schedule_tick(node, wake);
        for action in actions {
            self.act(node, action);
        }
    }

    /// Asks a node's core something; none while the host is dead.
    pub fn query<T>(&self, node: usize, question: impl FnOnce(&Node) -> T) -> Option<T> {
        self.hosts[node].node.as_ref().map(question)
    }

    /// A node's own clock.
    pub fn clock(&self, node: usize) -> Time {
        Time(self.now.0.saturating_add_signed(self.hosts[node].skew))
    }

    fn schedule_tick(&mut self, node: usize, wake: Time) {
        let host = &mut self.hosts[node];
        let at = Time(wake.0.saturating_add_signed(-host.skew)).max(self.now);
        if host.tick_at.is_some_and(|known| known <= at) {
            return;
        }
        host.tick_at = Some(at);
        let incarnation = host.incarnation;
        self.push(at, Item::Tick { node, incarnation });
    }

    fn is_current(&self, node: usize, incarnation: id::Incarnation) -> bool {
        let host = &self.hosts[node];
        host.incarnation == incarnation && host.node.is_some()
    }

    fn take(&mut self, item: Item) {
        match item {
            Item::Event {
                node,
                incarnation,
                event,
            } => {
                if self.is_current(node, incarnation) {
                    self.tell(node, *event);
                }
            }
            Item::Mail {
                node,
                incarnation,
                mail,
            } => {
                let Mail { from, message } = *mail;
                let cut = self
                    .host(&from.host)
                    .is_none_or(|other| self.is_cut(node, other));
                if self.is_current(node, incarnation) && !cut {
                    self.tell(node, Event::Message { from, message });
                }
            }
            Item::Tick { node, incarnation } => self.tick(node, incarnation),
            Item::Reach(reach) => self.reach(*reach),
            Item::Leave { endpoint, call } => self.leave(endpoint, call),
            Item::Step { endpoint } => self.end_step(endpoint),
            Item::Served { endpoint, call } => self.served(endpoint, call),
            Item::Script(act) => act(self),
        }
    }

    fn tick(&mut self, node: usize, incarnation: id::Incarnation) {
        let now = self.now;
        let due = self.hosts[node].tick_at == Some(now);
        if !self.is_current(node, incarnation) || !due {
            return;
        }
        self.hosts[node].tick_at = None;
        if !self.hosts[node].paused {
            self.tell(node, Event::Tick);
        }
    }

    /// The place of a host.
    pub fn host(&self, name: &id::Host) -> Option<usize> {
        self.hosts.iter().position(|host| host.name == *name)
    }
}
