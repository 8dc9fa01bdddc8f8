//! The loop that owns the core: inputs in, actions out.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::task::AbortHandle;
use woadstage_config::hosts;
use woadstage_core::node::Arrival;
use woadstage_core::node::Call;
use woadstage_core::node::Event;
use woadstage_core::node::Node;
use woadstage_core::node::Refusal;
use woadstage_types::code::Code;
use woadstage_types::id;
use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

use crate::clock::Clock;
use crate::endpoints;
use crate::metrics::Metrics;
use crate::peers;

mod act;

/// How often bytes between nodes are counted.
const COUNT_EVERY: Span = Span::from_secs(1);

/// Parts of an answer that may wait for a slow caller.
pub const REPLY_WINDOW: usize = 16;

/// What is sent to an endpoint for a request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Work {
    /// HTTP method.
    pub method: String,
    /// Path and query at the endpoint.
    pub path: String,
    /// Content type, if any.
    pub content_type: Option<String>,
    /// Body.
    pub body: Bytes,
    /// True for a model's request: usage is read from its answer.
    pub is_model: bool,
    /// True where the answer is an event stream.
    pub is_stream: bool,
}

/// The first part of an answer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Head {
    /// HTTP status.
    pub status: u16,
    /// Content type, if any.
    pub content_type: Option<String>,
    /// Length, where the endpoint told it.
    pub length: Option<u64>,
    /// The result code.
    pub code: Code,
}

/// One part of an answer on its way to the caller.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// The node answers itself; nothing came before.
    Refuse(Refusal),
    /// An endpoint's answer begins.
    Head(Head),
    /// More of it.
    Data(Bytes),
    /// It is whole.
    End,
    /// It broke off.
    Broken(Refusal),
}

/// A whole answer, kept for repeats of its key.
#[derive(Debug, Clone)]
pub struct Answer {
    /// Its head.
    pub head: Head,
    /// Its body.
    pub body: Bytes,
}

/// A request handed to the loop.
#[derive(Debug)]
pub struct Request {
    /// What the core is told.
    pub arrival: Arrival,
    /// What the endpoint is sent.
    pub work: Arc<Work>,
    /// Where the answer goes.
    pub reply: mpsc::Sender<Reply>,
}

type Query = Box<dyn FnOnce(&mut Node, Time) + Send>;

/// What the loop takes in.
pub enum Input {
    /// A request.
    Request(Box<Request>),
    /// An event as the core knows it.
    Event(Event),
    /// Something happened to a call; a whole answer may come with it.
    Call {
        /// Whose.
        request: id::Request,
        /// Which attempt.
        attempt: u32,
        /// What.
        what: Call,
        /// The recorded answer.
        answer: Option<Answer>,
    },
    /// A question to the core.
    Query(Query),
}

/// A handle to the loop.
#[derive(Clone)]
pub struct Handle {
    inputs: mpsc::UnboundedSender<Input>,
}

impl Handle {
    /// Hands an input in. Lost only when the process is ending.
    pub fn put(&self, input: Input) {
        let _ = self.inputs.send(input);
    }

    /// Asks the core something and waits for the answer; none at the end of
    /// the process.
    pub async fn ask<T: Send + 'static>(
        &self,
        question: impl FnOnce(&mut Node, Time) -> T + Send + 'static,
    ) -> Option<T> {
        let (answer, asked) = oneshot::channel();
        self.put(Input::Query(Box::new(move |node, now| {
            let _ = answer.send(question(node, now));
        })));
        asked.await.ok()
    }
}

/// A request in the hands of the shell.
struct Held {
    work: Arc<Work>,
    reply: mpsc::Sender<Reply>,
    arrival: Option<Arrival>,
    /// True once part of an answer went to the caller.
    started: Arc<AtomicBool>,
    task: Option<AbortHandle>,
}

/// The loop's state beside the core.
pub struct Driver {
    node: Node,
    clock: Clock,
    inputs: mpsc::UnboundedReceiver<Input>,
    handle: Handle,
    held: HashMap<id::Request, Held>,
    answers: HashMap<id::Request, Answer>,
    endpoints: endpoints::Client,
    peers: peers::Peers,
    metrics: Arc<Metrics>,
    answer_limit: usize,
    list: Option<Arc<hosts::List>>,
    counted: Time,
}

/// What a driver is made of.
pub struct Parts {
    /// The core.
    pub node: Node,
    /// The clock.
    pub clock: Clock,
    /// Other nodes.
    pub peers: peers::Peers,
    /// What is counted.
    pub metrics: Arc<Metrics>,
    /// Bytes of one answer that are recorded at the most.
    pub answer_limit: usize,
}

/// A channel into a loop that is still to be made.
pub fn channel() -> (Handle, mpsc::UnboundedReceiver<Input>) {
    let (inputs, receiver) = mpsc::unbounded_channel();
    (Handle { inputs }, receiver)
}

impl Driver {
    /// A loop around a core.
    pub fn new(parts: Parts, handle: Handle, inputs: mpsc::UnboundedReceiver<Input>) -> Driver {
        let Parts {
            node,
            clock,
            peers,
            metrics,
            answer_limit,
        } = parts;
        Driver {
            node,
            clock,
            inputs,
            handle,
            held: HashMap::new(),
            answers: HashMap::new(),
            endpoints: endpoints::Client::new(),
            peers,
            metrics,
            answer_limit,
            list: None,
            counted: Time(0),
        }
    }

    /// Runs until the core is drained after a planned stop.
    pub async fn run(mut self) {
        while !self.node.is_drained() {
            let wake = self.clock.to_instant(self.node.next_wake());
            tokio::select! {
                biased;
                input = self.inputs.recv() => match input {
                    Some(input) => self.take(input),
                    None => return,
                },
                () = tokio::time::sleep_until(wake) => self.handle_event(Event::Tick),
            }
        }
    }

    fn take(&mut self, input: Input) {
        match input {
            Input::Request(request) => self.take_request(*request),
            Input::Event(event) => self.handle_event(event),
            Input::Call {
                request,
                attempt,
                what,
                answer,
            } => {
                // A call that ended after its request did has nobody to record
                // it for, and nobody who would ever say to forget it.
                if let Some(answer) = answer.filter(|_| self.held.contains_key(&request)) {
                    self.answers.insert(request, answer);
                }
                self.handle_event(Event::Call {
                    request,
                    attempt,
                    what,
                });
            }
            Input::Query(query) => {
                let now = self.clock.now();
                query(&mut self.node, now);
            }
        }
    }

    fn take_request(&mut self, request: Request) {
        let Request {
            arrival,
            work,
            reply,
        } = request;
        let held = Held {
            work,
            reply,
            arrival: Some(arrival.clone()),
            started: Arc::new(AtomicBool::new(false)),
            task: None,
        };
        self.held.insert(arrival.request, held);
        self.handle_event(Event::Arrive(arrival));
    }

    fn handle_event(&mut self, event: Event) {
        let now = self.clock.now();
        let actions = self.node.handle(now, event);
        for action in actions {
            self.act(action);
        }
        self.metrics.requests.set(self.node.requests() as i64);
        self.follow_list();
        self.count_bytes(now);
    }

    /// Counts bytes between nodes, once a second.
    fn count_bytes(&mut self, now: Time) {
        if now.since(self.counted) < COUNT_EVERY {
            return;
        }
        self.counted = now;
        let (sent, received) = self.peers.bytes();
        self.metrics.peer_sent.set(sent as i64);
        self.metrics.peer_received.set(received as i64);
    }

    /// Dials the entry hosts of a list that is new.
    fn follow_list(&mut self) {
        let Some(list) = self.node.hosts_opt() else {
            return;
        };
        if self
            .list
            .as_ref()
            .is_some_and(|known| Arc::ptr_eq(known, list))
        {
            return;
        }
        self.list = Some(list.clone());
        let entry = list
            .hosts
            .iter()
            .filter(|host| host.role == hosts::Role::Entry);
        let wanted: Vec<(id::Host, SocketAddr)> = entry
            .filter_map(|host| Some((id::Host::new(&host.name), host.address.parse().ok()?)))
            .collect();
        self.peers.set_wanted(&wanted);
    }

    fn is_started(held: &Held) -> bool {
        held.started.load(Ordering::Relaxed)
    }
}
