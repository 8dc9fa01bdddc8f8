//! A simulated fleet in virtual time: nodes that exchange messages with a latency, and
//! endpoints that run as many requests as they have slots.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::BinaryHeap;
use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::sync::Arc;

use woadstage_dispatch::cold;
use woadstage_dispatch::configuration::Configuration;
use woadstage_dispatch::dispatcher::Decision;
use woadstage_dispatch::dispatcher::Dispatcher;
use woadstage_dispatch::dispatcher::Options;
use woadstage_dispatch::dispatcher::Policy;
use woadstage_dispatch::edition::Era;
use woadstage_dispatch::endpoint::Endpoint;
use woadstage_dispatch::endpoint::List;
use woadstage_dispatch::job;
use woadstage_dispatch::job::End;
use woadstage_dispatch::job::Fingerprint;
use woadstage_dispatch::job::Job;
use woadstage_dispatch::link::Probe;
use woadstage_dispatch::map::HashMap;
use woadstage_dispatch::message::Document;
use woadstage_dispatch::message::Message;
use woadstage_dispatch::message::Status;
use woadstage_dispatch::protocol::Protocol;
use woadstage_dispatch::quarantine;
use woadstage_dispatch::rate_limit::Limit;
use woadstage_dispatch::region;
use woadstage_dispatch::stated_load;
use woadstage_types::code::Code;
use woadstage_types::hash;
use woadstage_types::id;
use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

use self::brittle::Brittle;
use self::engine::Engine;
use self::links::Links;
use self::links::Rates;
use self::notices::Notices;
pub use self::slow::Slow;
use crate::support::at;
use crate::support::configuration;
use crate::support::list;
use crate::support::options;

pub mod brittle;
mod callers;
mod cut;
mod ends;
mod engine;
pub mod links;
mod lists;
pub mod notices;
mod slow;

/// The time between two ticks of a node.
const TICK_INTERVAL: Span = Span::from_millis(20);

/// The time over which the starts of nodes that start together are spread.
const START_SPREAD: Span = Span::from_millis(300);

/// The time of a list transfer between nodes.
const TRANSFER_TIME: Span = Span::from_millis(10);

/// The size and properties of a fleet.
#[derive(Debug, Clone)]
pub struct Shape {
    /// The number of nodes in each data centre.
    pub nodes: u16,
    /// The number of data centres.
    pub centres: u16,
    /// The number of endpoints in each data centre.
    pub endpoints: u16,
    /// The number of slots of each endpoint.
    pub slots: u32,
    /// The service of all endpoints.
    pub service: &'static str,
    /// The average time of a call.
    pub call_time: Span,
    /// The latency of messages.
    pub latency: Span,
    /// The percentage of messages that are lost.
    pub loss_percent: u64,
    /// The bound on requests to cold endpoints.
    pub cold: Option<cold::Bound>,
    /// When crashing requests are barred.
    pub quarantine: quarantine::Options,
    /// The region of each data centre.
    pub regions: region::Map,
    /// The scheduling policy of all nodes.
    pub policy: Policy,
    /// Whether endpoints state their load in answers.
    pub states_load: bool,
    /// The latency between a node and an endpoint.
    pub endpoint_latency: Span,
    /// The slow periods of endpoints, if they have any.
    pub slow: Option<Slow>,
    /// Whether callers that are refused retry once.
    pub callers_retry: bool,
}

/// A scheduled event.
#[derive(Debug, Clone)]
enum Event {
    Tick(u16),
    Message {
        from: u16,
        to: u16,
        message: Box<Message>,
    },
    Arrive {
        node: u16,
        job: Box<Job>,
    },
    /// A request reaches its endpoint.
    Reach(u16, job::Id, id::Endpoint),
    FirstOutput(u16, job::Id, id::Endpoint),
    /// The whole answer of a request reaches its node, with the load that the endpoint stated.
    Answered(u16, job::Id, Option<stated_load::Load>),
    Transfer {
        node: u16,
        from: u16,
    },
    /// A node has read the list of endpoints from the platform.
    Read(u16),
    /// A node starts.
    Boot(u16),
    /// A node whose transfer was declined may ask again.
    Declined(u16),
    Finish(u16, job::Id, id::Endpoint),
    /// An endpoint ends by itself, or is crashed by a request.
    Crash(id::Endpoint, Option<Fingerprint>),
    /// A forwarded request reaches another node.
    ForwardArrives {
        node: u16,
        id: job::Id,
        to: u16,
    },
    /// A probe of an endpoint ends.
    Probed(u16, Box<Endpoint>, Probe),
    /// A node learns that its attempt broke.
    AttemptBroken(u16, job::Id, End),
    /// A node learns that its request was rejected.
    Rejected(u16, job::Id, id::Endpoint),
    /// A node's connection to an ended endpoint is refused.
    ConnectionRefused(u16, id::Endpoint),
    /// The replacement of an ended endpoint starts.
    Replace(id::Endpoint),
    /// The platform removes an endpoint from its list.
    Unlist(id::Endpoint),
}

/// An endpoint's end under a request that crashes it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Crash {
    /// When it ended.
    pub when: Time,
    /// The request that crashed it.
    pub fingerprint: Fingerprint,
}

/// The outcome of one request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Outcome {
    /// What it asks for.
    pub fingerprint: Fingerprint,
    /// When it arrived.
    pub arrived: Time,
    /// When an endpoint began to run it.
    pub began: Option<Time>,
    /// Whether it was refused.
    pub refused: bool,
    /// Whether it was refused because it crashes endpoints.
    pub barred: bool,
    /// How often it was sent or refused.
    pub decided: u32,
    /// Whether it waited at an endpoint.
    pub queued: bool,
    /// Whether its whole answer arrived.
    pub whole: bool,
    /// When an endpoint completed it.
    pub completed: Option<Time>,
    /// Whether its last attempt broke.
    pub broken: bool,
}

/// A fleet, its endpoints and the requests that arrived.
pub struct World {
    shape: Shape,
    /// Nodes that run.
    pub nodes: BTreeMap<u16, Dispatcher>,
    engines: HashMap<id::Endpoint, Engine>,
    /// The list of endpoints that the platform publishes.
    pub list: Arc<List>,
    /// Nodes without access to the platform.
    pub without_platform: BTreeSet<u16>,
    /// When requests arrived at each endpoint.
    pub arrivals: HashMap<id::Endpoint, Vec<Time>>,
    queue: BinaryHeap<Reverse<(Time, u64)>>,
    scheduled: HashMap<u64, Event>,
    next_number: u64,
    /// The virtual time.
    pub now: Time,
    /// The outcomes of requests, by node and id there.
    pub outcomes: HashMap<(u16, job::Id), Outcome>,
    /// Nodes that reach no endpoint.
    pub cut: BTreeSet<u16>,
    /// The requests that run at other nodes, by node and id there, with node and id where they
    /// arrived.
    forwarded: HashMap<(u16, job::Id), (u16, job::Id)>,
    /// Nodes that neither send nor receive messages.
    pub partitioned: BTreeSet<u16>,
    /// Nodes on a previous build.
    pub previous_build: BTreeSet<u16>,
    /// The protocol of that build. The first one has no eras, rate limits and notices.
    pub previous_protocol: Protocol,
    /// The list transfers of a fleet whose nodes start without a list.
    pub links: Option<Links>,
    /// The network partition of a node, if the fleet is partitioned.
    pub partition_of: Option<fn(u16) -> u16>,
    /// The number of messages sent, without statuses.
    pub messages: usize,
    /// The bytes of findings sent about crashing requests.
    pub findings_bytes: usize,
    /// The requests that crash the endpoints that run them.
    pub crashing: BTreeSet<Fingerprint>,
    /// Endpoints that ended.
    ended: BTreeSet<id::Endpoint>,
    /// The crashes of endpoints by requests.
    pub crashes: Vec<Crash>,
    /// When crashing requests reached endpoints, and from which node.
    pub crash_arrivals: Vec<(Time, u16, Fingerprint)>,
    /// The requests that callers retry once if they break.
    jobs: HashMap<(u16, job::Id), Job>,
    /// The rate limits that endpoints state.
    pub rate_limits: HashMap<id::Endpoint, Limit>,
    /// The other conditions that endpoints state.
    pub notices: Notices,
    /// What endpoints tolerate, if they are brittle.
    pub brittle: Option<Brittle>,
    /// The requests that were retried.
    retried: BTreeSet<Fingerprint>,
}

/// Returns the address of a node.
fn address(node: u16) -> SocketAddrV4 {
    let [high, low] = node.to_be_bytes();
    SocketAddrV4::new(Ipv4Addr::new(10, 1, high, low), 7_600)
}

/// Returns the bytes of findings in a message.
fn findings_bytes(message: &Message) -> usize {
    let findings = match message {
        Message::Status(status) => &status.findings,
        Message::Findings(findings) => findings,
        _ => return 0,
    };
    let written = postcard::to_extend(findings, Vec::new());
    written.expect("encodes").len()
}

/// Removes what builds of a protocol neither send nor read.
fn remove_later_parts(status: &mut Status, protocol: Protocol) {
    if protocol < Protocol::TOLERANCES {
        status.tolerances.clear();
    }
    if protocol < Protocol::ERAS {
        status.endpoints.era = Era::default();
        status.rate_limits.clear();
        status.notices.clear();
    }
}

fn to_node(address: SocketAddrV4) -> u16 {
    let [_, _, high, low] = address.ip().octets();
    u16::from_be_bytes([high, low])
}

impl World {
    /// Starts a fleet and lets its nodes discover each other.
    pub fn start(shape: Shape) -> World {
        let mut world = World::new(shape);
        let all = world.shape.nodes * world.shape.centres;
        for node in 0..all {
            world.boot(node, 1);
        }
        world.run_for(Span::from_millis(1_500));
        world
    }

    /// Creates a fleet whose nodes all start within 300 ms and have no list yet.
    pub fn start_together(shape: Shape, rates: Rates) -> World {
        let mut world = World::new(shape);
        world.links = Some(Links::new(rates));
        let all = world.shape.nodes * world.shape.centres;
        for node in 0..all {
            let after = hash::of(&node.to_be_bytes()) % START_SPREAD.0;
            world.schedule(world.now + Span(after), Event::Boot(node));
        }
        world
    }

    fn new(shape: Shape) -> World {
        let mut world = World {
            nodes: BTreeMap::new(),
            engines: HashMap::default(),
            list: Arc::default(),
            without_platform: BTreeSet::new(),
            arrivals: HashMap::default(),
            queue: BinaryHeap::new(),
            scheduled: HashMap::default(),
            next_number: 0,
            now: at(0),
            outcomes: HashMap::default(),
            cut: BTreeSet::new(),
            forwarded: HashMap::default(),
            partitioned: BTreeSet::new(),
            previous_build: BTreeSet::new(),
            previous_protocol: Protocol::FIRST,
            links: None,
            partition_of: None,
            messages: 0,
            findings_bytes: 0,
            crashing: BTreeSet::new(),
            ended: BTreeSet::new(),
            crashes: Vec::new(),
            crash_arrivals: Vec::new(),
            jobs: HashMap::default(),
            rate_limits: HashMap::default(),
            notices: Notices::default(),
            brittle: None,
            retried: BTreeSet::new(),
            shape,
        };
        world.list = list(1, &world.endpoints());
        world
    }

    /// Returns the data centre of a node.
    pub fn centre(&self, node: u16) -> u16 {
        node % self.shape.centres
    }

    /// Returns the initial endpoints.
    pub fn endpoints(&self) -> Vec<Endpoint> {
        let all = self.shape.endpoints * self.shape.centres;
        let make = |number: u16| Endpoint {
            data_centre: id::DataCentre::new(&format!("dc{}", number % self.shape.centres)),
            ..crate::support::endpoint(&format!("e{number}"), self.shape.service, self.shape.slots)
        };
        (0..all).map(make).collect()
    }

    fn configuration(&self) -> Arc<Configuration> {
        let mut configuration = (*configuration(1)).clone();
        for service in &mut configuration.services {
            service.cold = self.shape.cold;
        }
        Arc::new(configuration)
    }

    /// Starts a node under an incarnation.
    pub fn boot(&mut self, node: u16, life: u64) {
        self.notices.start(node);
        let all = self.shape.nodes * self.shape.centres;
        let seeds = (0..3).map(|seed| address(seed * (all / 3)));
        let mut dispatcher = Dispatcher::new(Options {
            own: address(node),
            incarnation: hash::chain(life, &node.to_le_bytes()),
            data_centre: id::DataCentre::new(&format!("dc{}", self.centre(node))),
            seeds: seeds.collect(),
            quarantine: self.shape.quarantine.clone(),
            regions: self.shape.regions.clone(),
            policy: self.shape.policy.clone(),
            ..options(1)
        });
        dispatcher.set_configuration(self.now, self.configuration());
        if !self.without_platform.contains(&node) && self.links.is_none() {
            dispatcher.set_endpoints(self.now, self.list_for(node));
        }
        self.nodes.insert(node, dispatcher);
        let first = Span(hash::of(&node.to_le_bytes()) % TICK_INTERVAL.0);
        self.schedule(self.now + first, Event::Tick(node));
    }

    /// Ends a node and whatever it runs at once.
    pub fn kill(&mut self, node: u16) {
        self.nodes.remove(&node);
        for engine in self.engines.values_mut() {
            engine.waiting.retain(|(of, _)| *of != node);
        }
        let gone: Vec<u64> = self
            .scheduled
            .iter()
            .filter(|(_, event)| matches!(event, Event::Tick(of) if *of == node))
            .map(|(number, _)| *number)
            .collect();
        for number in gone {
            self.scheduled.remove(&number);
        }
    }

    fn schedule(&mut self, when: Time, event: Event) {
        self.next_number += 1;
        self.queue.push(Reverse((when, self.next_number)));
        self.scheduled.insert(self.next_number, event);
    }

    /// Lets a request arrive at a node after a delay.
    pub fn arrive(&mut self, after: Span, node: u16, make: impl FnOnce(Time) -> Job) {
        let when = self.now + after;
        let job = Box::new(make(when));
        self.schedule(when, Event::Arrive { node, job });
    }

    /// Runs the simulation for a span.
    pub fn run_for(&mut self, span: Span) {
        let until = self.now + span;
        while let Some(Reverse((when, number))) = self.queue.peek().copied() {
            if when > until {
                break;
            }
            self.queue.pop();
            self.now = when;
            if let Some(event) = self.scheduled.remove(&number) {
                self.handle(event);
            }
        }
        self.now = until;
    }

    fn handle(&mut self, event: Event) {
        let now = self.now;
        match event {
            Event::Tick(node) => {
                let Some(dispatcher) = self.nodes.get_mut(&node) else {
                    return;
                };
                dispatcher.tick(now);
                self.start_probes(node);
                let Some(dispatcher) = self.nodes.get_mut(&node) else {
                    return;
                };
                let ahead = dispatcher.newer_peer_opt(now, Document::Endpoints, self.next_number);
                for (status, due) in dispatcher.statuses(now) {
                    for to in due {
                        let message = Box::new(Message::Status(Box::new(status.clone())));
                        self.send(node, to, message);
                    }
                }
                self.catch_up(node, ahead.map(to_node));
                self.schedule(now + TICK_INTERVAL, Event::Tick(node));
                self.apply_decisions(node);
            }
            Event::Boot(node) => self.boot(node, 1),
            Event::Read(node) => {
                self.mark_idle(node);
                let list = self.list_for(node);
                if let Some(dispatcher) = self.nodes.get_mut(&node) {
                    dispatcher.set_endpoints(now, list);
                }
            }
            Event::Declined(node) => self.mark_idle(node),
            Event::Message { from, to, message } => self.receive(from, to, *message),
            Event::Arrive { node, job } => {
                let Some(dispatcher) = self.nodes.get_mut(&node) else {
                    return;
                };
                let arrived = job.arrived;
                let left = job.deadline.since(arrived);
                let since_first_try = dispatcher.since_first_try(now, left, job.caller_timeout);
                let job = Job {
                    first_try: arrived - since_first_try,
                    ..*job
                };
                let outcome = Outcome {
                    fingerprint: job.fingerprint,
                    arrived,
                    began: None,
                    refused: false,
                    barred: false,
                    decided: 0,
                    queued: false,
                    whole: false,
                    completed: None,
                    broken: false,
                };
                let id = dispatcher.enter(now, job.clone());
                self.outcomes.insert((node, id), outcome);
                self.jobs.insert((node, id), job);
                self.apply_decisions(node);
            }
            Event::Reach(node, id, endpoint) => self.deliver(node, id, &endpoint),
            Event::Answered(node, id, load) => self.end_answered(node, id, load),
            Event::FirstOutput(node, ..) if self.is_cut(node) => {}
            Event::FirstOutput(node, id, endpoint) => {
                let notice = self.read_notice(node, &endpoint);
                let load = self.load_of_stream_opt(&endpoint);
                if let Some(dispatcher) = self.nodes.get_mut(&node) {
                    if let Some(load) = load {
                        dispatcher.record_stated_load(now, id, load);
                    }
                    dispatcher.apply_notice(now, id, &notice);
                    dispatcher.progress(now, id, 1);
                    self.apply_decisions(node);
                }
            }
            Event::Transfer { node, from } => {
                self.mark_idle(node);
                if let Some(links) = &mut self.links {
                    links.end_transfer(from);
                }
                self.transfer_list(node, from);
            }
            Event::Finish(node, id, endpoint) => self.finish_run(node, id, &endpoint),
            Event::Crash(endpoint, under) => self.crash(&endpoint, under),
            Event::ForwardArrives { node, id, to } => self.receive_forwarded(node, id, to),
            Event::Probed(node, endpoint, probe) => self.finish_probe(node, &endpoint, probe),
            Event::AttemptBroken(node, id, end) => self.handle_broken(node, id, end),
            Event::Rejected(node, id, endpoint) => self.handle_rejection(node, id, &endpoint),
            Event::ConnectionRefused(node, endpoint) => {
                let list = self.list.endpoints.iter();
                let found = list.clone().find(|one| one.name == endpoint);
                let number = found.map(Endpoint::to_number);
                if let Some((dispatcher, number)) = self.nodes.get_mut(&node).zip(number) {
                    dispatcher.record_endpoint_ended(now, number);
                    self.apply_decisions(node);
                }
            }
            Event::Replace(endpoint) => self.replace(&endpoint),
            Event::Unlist(endpoint) => {
                let mut list = (*self.list).clone();
                list.revision += 1;
                list.endpoints.retain(|one| one.name != endpoint);
                self.publish_to_readers(list);
            }
        }
    }

    fn receive(&mut self, from: u16, to: u16, message: Message) {
        let now = self.now;
        let Some(dispatcher) = self.nodes.get_mut(&to) else {
            return;
        };
        let from = address(from);
        match message {
            Message::Status(mut status) => {
                let is_previous = |node: u16| self.previous_build.contains(&node);
                if is_previous(to_node(from)) {
                    status.protocol = self.previous_protocol;
                }
                if is_previous(to) || is_previous(to_node(from)) {
                    remove_later_parts(&mut status, self.previous_protocol);
                }
                dispatcher.receive_status(now, from, *status);
            }
            Message::Lease(request) => dispatcher.receive_lease_request(now, from, *request),
            Message::Leased(reply) => dispatcher.receive_lease_reply(now, from, reply),
            Message::Report(report) => dispatcher.receive_lease_report(now, from, report),
            Message::Check(check) => dispatcher.answer_lease_check(from, check),
            Message::Findings(findings) => dispatcher.take_findings(now, &findings),
            Message::QueueReport(report) => dispatcher.receive_queue_report(now, from, report),
            Message::Bookings(announcement) => {
                dispatcher.receive_bookings(now, from, announcement);
            }
            Message::Bindings(statements) => dispatcher.receive_bindings(now, from, &statements),
            Message::DoubtedBindings(stated) => {
                dispatcher.receive_doubted_bindings(now, from, &stated);
            }
            Message::BindingsKept(keys) => dispatcher.confirm_bindings(now, from, &keys),
            Message::BindingQuestion(question) => dispatcher.answer_binding(now, from, question),
            Message::BindingReply(reply) => dispatcher.receive_binding_reply(now, from, reply),
            Message::Reserve(_) | Message::Reserved(_) | Message::Release(_) => {}
        }
        self.apply_decisions(to);
    }

    fn send(&mut self, from: u16, to: SocketAddrV4, message: Box<Message>) {
        self.findings_bytes += findings_bytes(&message);
        self.next_number += 1;
        let drawn = hash::of(&self.next_number.to_le_bytes()) % 100;
        if drawn < self.shape.loss_percent {
            return;
        }
        let to = to_node(to);
        if self.partitioned.contains(&from) || self.partitioned.contains(&to) {
            return;
        }
        if self.partition_of.is_some_and(|part| part(from) != part(to)) {
            return;
        }
        self.schedule(
            self.now + self.shape.latency,
            Event::Message { from, to, message },
        );
    }

    /// Carries out a node's decisions and sends its messages.
    fn apply_decisions(&mut self, node: u16) {
        let Some(dispatcher) = self.nodes.get_mut(&node) else {
            return;
        };
        let decisions = dispatcher.take_decisions();
        let messages = dispatcher.take_messages();
        self.messages += messages.len();
        for (to, message) in messages {
            self.send(node, to, Box::new(message));
        }
        for decision in decisions {
            match decision {
                Decision::Start { job, endpoint, .. }
                    if self.shape.endpoint_latency > Span::ZERO =>
                {
                    let reached = self.now + self.shape.endpoint_latency;
                    self.schedule(reached, Event::Reach(node, job, endpoint.name.clone()));
                }
                Decision::Start { job, endpoint, .. } => self.deliver(node, job, &endpoint.name),
                Decision::Forward { job, node: to, .. } => self.forward(node, job, to_node(to)),
                Decision::Refuse { job, refusal, .. } => {
                    let outcome = self
                        .outcomes
                        .get_mut(&(node, job))
                        .expect("the request arrived");
                    outcome.refused = true;
                    outcome.barred = matches!(refusal.code, Code::Barred | Code::PartBarred);
                    outcome.decided += 1;
                    if !self.return_forwarded(node, job) {
                        self.retry_refused(node, job, refusal);
                    }
                }
            }
        }
    }

    /// Returns the outcomes of requests that arrived since a time at matching nodes.
    pub fn arrived_at(&self, since: Time, matches: impl Fn(u16) -> bool) -> Vec<Outcome> {
        let outcomes = self.outcomes.iter();
        let there = outcomes.filter(|((node, _), one)| matches(*node) && one.arrived >= since);
        there.map(|(_, one)| *one).collect()
    }

    /// Returns the outcomes of requests that arrived from one time until before another.
    pub fn arrived_between(&self, from: Time, until: Time) -> Vec<Outcome> {
        let outcomes = self.outcomes.values().copied();
        outcomes
            .filter(|one| one.arrived >= from && one.arrived < until)
            .collect()
    }
}
