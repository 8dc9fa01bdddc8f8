//! Several nodes before engines of several versions.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddrV4;
use std::sync::Arc;

use woadstage_dispatch::binding::Key;
use woadstage_dispatch::dispatcher::Decision;
use woadstage_dispatch::dispatcher::Dispatcher;
use woadstage_dispatch::dispatcher::Options;
use woadstage_dispatch::dispatcher::ProbeTarget;
use woadstage_dispatch::endpoint::Endpoint;
use woadstage_dispatch::endpoint::List;
use woadstage_dispatch::job;
use woadstage_dispatch::job::Job;
use woadstage_dispatch::link::Probe;
use woadstage_dispatch::map::HashMap;
use woadstage_dispatch::message::Message;
use woadstage_types::code::Code;
use woadstage_types::id;
use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

use super::engine;
use super::stream;
use super::take_up;
use crate::support::at;
use crate::support::configuration;
use crate::support::list;
use crate::support::node;
use crate::support::options;

/// The data centre of a node or an engine.
pub fn centre(number: usize) -> &'static str {
    ["a", "b", "c"][number % 3]
}

/// Several nodes that exchange messages. Only those to and from nodes that are cut off are lost.
pub struct Fleet {
    pub nodes: BTreeMap<SocketAddrV4, Dispatcher>,
    pub now: Time,
    pub cut: BTreeSet<SocketAddrV4>,
    /// The endpoints that nodes don't reach, by name.
    pub unreachable: BTreeSet<(SocketAddrV4, String)>,
    /// What the platform lists.
    pub published: Arc<List>,
    /// The nodes that don't reach the platform.
    pub without_platform: BTreeSet<SocketAddrV4>,
    /// The endpoints that requests were sent to.
    placed: HashMap<(SocketAddrV4, job::Id), Endpoint>,
}

/// A stream that has begun.
pub struct Begun {
    pub key: Key,
    /// The endpoint at which it began.
    pub endpoint: Endpoint,
}

impl Fleet {
    /// Starts nodes in three data centres before engines of two versions, and waits until they know
    /// each other.
    pub fn start(count: u8) -> Fleet {
        let engines: Vec<Endpoint> = (0..usize::from(count) * 2)
            .map(|number| {
                let software = ["1", "2"][number / 3 % 2];
                engine(&format!("e-{number}"), software, centre(number))
            })
            .collect();
        let mut fleet = Fleet::with_list(count, &list(1, &engines));
        fleet.run_for(Span::from_secs(3));
        fleet
    }

    /// Starts nodes in three data centres that have this list.
    pub fn with_list(count: u8, list: &Arc<List>) -> Fleet {
        let mut fleet = Fleet {
            nodes: BTreeMap::new(),
            now: at(0),
            cut: BTreeSet::new(),
            unreachable: BTreeSet::new(),
            published: list.clone(),
            without_platform: BTreeSet::new(),
            placed: HashMap::default(),
        };
        for number in 1..=count {
            fleet.start_node(number, u64::from(number), list);
        }
        fleet
    }

    pub fn start_node(&mut self, number: u8, incarnation: u64, list: &Arc<List>) {
        if list.revision > self.published.revision {
            self.published = list.clone();
        }
        let options = Options {
            incarnation,
            data_centre: id::DataCentre::new(centre(usize::from(number))),
            seeds: vec![node(1), node(2)],
            ..options(number)
        };
        let mut dispatcher = Dispatcher::new(options);
        dispatcher.set_configuration(self.now, configuration(1));
        dispatcher.set_endpoints(self.now, list.clone());
        self.nodes.insert(node(number), dispatcher);
    }

    pub fn run_for(&mut self, span: Span) {
        let until = self.now + span;
        while self.now < until {
            self.now = self.now + Span::from_millis(20);
            let now = self.now;
            let mut sent = Vec::new();
            for (from, dispatcher) in &mut self.nodes {
                dispatcher.tick(now);
                for (status, to) in dispatcher.statuses(now) {
                    let message = Message::Status(Box::new(status));
                    sent.extend(to.into_iter().map(|to| (*from, to, message.clone())));
                }
                let messages = dispatcher.take_messages().into_iter();
                sent.extend(messages.map(|(to, message)| (*from, to, message)));
            }
            self.deliver(sent);
            self.answer_inquiries();
            self.probe_due();
        }
    }

    /// Has the platform answer the nodes that have to confirm what they know.
    fn answer_inquiries(&mut self) {
        for (address, dispatcher) in &mut self.nodes {
            if self.without_platform.contains(address) {
                continue;
            }
            if let Some(call) = dispatcher.unconfirmed_opt() {
                dispatcher.set_endpoints(self.now, self.published.clone());
                dispatcher.confirm(self.now, call);
            }
        }
    }

    /// Cuts the links of a node to endpoints: its calls break, and new connections are refused.
    pub fn cut_links(&mut self, number: u8, endpoints: &[Endpoint]) {
        let address = node(number);
        for endpoint in endpoints {
            let name = endpoint.name.as_str().to_owned();
            self.unreachable.insert((address, name));
        }
        for endpoint in endpoints {
            let now = self.now;
            let dispatcher = self.nodes.get_mut(&address).expect("the node lives");
            let target = dispatcher.probe_target_opt(now, endpoint);
            self.finish_probes(address, target);
        }
    }

    fn probe_due(&mut self) {
        let addresses: Vec<SocketAddrV4> = self.nodes.keys().copied().collect();
        for address in addresses {
            let now = self.now;
            let dispatcher = self.nodes.get_mut(&address).expect("the node lives");
            for target in dispatcher.take_probe_targets(now) {
                self.finish_probes(address, Some(target));
            }
        }
    }

    /// Answers a probe, and those that follow from its result.
    fn finish_probes(&mut self, address: SocketAddrV4, mut next: Option<ProbeTarget>) {
        let now = self.now;
        while let Some(target) = next.take() {
            let endpoint = &target.endpoint;
            let name = endpoint.name.as_str().to_owned();
            let dispatcher = self.nodes.get_mut(&address).expect("the node lives");
            if self.unreachable.contains(&(address, name)) {
                next = dispatcher.record_refused(now, endpoint);
                dispatcher.record_probe(now, endpoint, Probe::Failed);
            } else {
                dispatcher.record_connected(now, endpoint);
                dispatcher.record_probe(now, endpoint, Probe::Answered);
            }
        }
    }

    fn deliver(&mut self, sent: Vec<(SocketAddrV4, SocketAddrV4, Message)>) {
        let now = self.now;
        for (from, to, message) in sent {
            if self.cut.contains(&from) || self.cut.contains(&to) {
                continue;
            }
            let Some(node) = self.nodes.get_mut(&to) else {
                continue;
            };
            match message {
                Message::Status(status) => {
                    node.receive_status(now, from, *status);
                }
                Message::Lease(request) => node.receive_lease_request(now, from, *request),
                Message::Leased(reply) => node.receive_lease_reply(now, from, reply),
                Message::Report(report) => node.receive_lease_report(now, from, report),
                Message::Check(check) => node.answer_lease_check(from, check),
                Message::Findings(findings) => node.take_findings(now, &findings),
                Message::Bindings(statements) => node.receive_bindings(now, from, &statements),
                Message::DoubtedBindings(stated) => {
                    node.receive_doubted_bindings(now, from, &stated);
                }
                Message::BindingsKept(keys) => node.confirm_bindings(now, from, &keys),
                Message::BindingQuestion(question) => node.answer_binding(now, from, question),
                Message::BindingReply(reply) => node.receive_binding_reply(now, from, reply),
                _ => {}
            }
        }
    }

    /// Submits a request and returns the software of the endpoint that it is sent to.
    pub fn submit(&mut self, number: u8, request: Job) -> Result<(job::Id, id::Software), Code> {
        let address = node(number);
        let now = self.now;
        let dispatcher = self.nodes.get_mut(&address).expect("the node lives");
        let id = dispatcher.enter(now, request);
        for _ in 0..150 {
            let dispatcher = self.nodes.get_mut(&address).expect("the node lives");
            for decision in dispatcher.take_decisions() {
                match decision {
                    Decision::Start { job, endpoint, .. } if job == id => {
                        let placed = endpoint.as_ref().clone();
                        self.placed.insert((address, id), placed);
                        return Ok((id, endpoint.software.clone().expect("a version")));
                    }
                    Decision::Refuse { job, refusal, .. } if job == id => return Err(refusal.code),
                    _ => {}
                }
            }
            self.run_for(Span::from_millis(20));
        }
        panic!("no decision about the request");
    }

    /// Begins a stream and passes its first event on.
    pub fn begin(&mut self, number: u8, key: Key) -> (job::Id, id::Software) {
        let request = stream(key, self.now);
        let (id, software) = self.submit(number, request).expect("the stream begins");
        let now = self.now;
        let dispatcher = self.nodes.get_mut(&node(number)).expect("the node lives");
        dispatcher.bind(now, id, None);
        (id, software)
    }

    /// Begins streams at a node, which run side by side and then end.
    pub fn begin_all(&mut self, number: u8, count: u64) -> Vec<Begun> {
        let keys = (0..count).map(|key| Key(key * 1_000_003));
        let begun: Vec<(Key, job::Id)> = keys.map(|key| (key, self.begin(number, key).0)).collect();
        let begun = begun.into_iter().map(|(key, id)| {
            self.end(number, id);
            let endpoint = self.placed[&(node(number), id)].clone();
            Begun { key, endpoint }
        });
        begun.collect()
    }

    /// Takes a stream up at a node and ends it. Returns the version at which it goes on.
    pub fn take_up(&mut self, number: u8, key: Key) -> Result<id::Software, Code> {
        let request = take_up(Some(key), self.now);
        let (id, software) = self.submit(number, request)?;
        self.end(number, id);
        Ok(software)
    }

    /// Takes streams up at all nodes but the first in turn, and ends them. Returns the versions at which
    /// they go on.
    pub fn take_up_all(&mut self, begun: &[Begun]) -> Vec<Result<id::Software, Code>> {
        let others: Vec<SocketAddrV4> = self.nodes.keys().copied().collect();
        let numbers = others.iter().map(|address| address.ip().octets()[3]);
        let numbers: Vec<u8> = numbers.filter(|number| *number != 1).collect();
        let turns = begun.iter().zip(numbers.iter().cycle());
        let taken_up = turns.map(|(begun, number)| self.take_up(*number, begun.key));
        taken_up.collect()
    }

    /// Has all nodes apply a list.
    pub fn publish(&mut self, list: &Arc<List>) {
        let now = self.now;
        self.published = list.clone();
        for dispatcher in self.nodes.values_mut() {
            dispatcher.set_endpoints(now, list.clone());
        }
    }

    /// Ends a request at its endpoint.
    pub fn end(&mut self, number: u8, id: job::Id) {
        let now = self.now;
        let dispatcher = self.nodes.get_mut(&node(number)).expect("the node lives");
        dispatcher.end(now, id, job::End::Whole);
    }
}
