//! The event loop that owns the core: passes inputs to it and executes its
//! actions.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::mpsc;
use tokio::sync::mpsc::error::SendError;
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

/// How often the byte gauges of the connections between nodes are updated.
const BYTES_UPDATE_INTERVAL: Span = Span::from_secs(1);

/// The maximum number of parts of an answer queued for a slow caller.
pub const REPLY_WINDOW: usize = 16;

/// The request that is sent to an endpoint.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Work {
    /// The HTTP method.
    pub method: String,
    /// The path and query at the endpoint.
    pub path: String,
    /// The content type, if any.
    pub content_type: Option<String>,
    /// The body.
    pub body: Bytes,
    /// Whether this is a model request, in which case usage is read from its
    /// answer.
    pub is_model: bool,
    /// Whether the answer is an event stream.
    pub is_stream: bool,
}

/// The head of an answer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Head {
    /// The HTTP status.
    pub status: u16,
    /// The content type, if any.
    pub content_type: Option<String>,
    /// The content length, if the endpoint sent one.
    pub length: Option<u64>,
    /// The result code.
    pub code: Code,
}

/// One part of an answer to a caller.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// The node answers itself; no other part precedes this one.
    Refuse(Refusal),
    /// The head of an endpoint's answer.
    Head(Head),
    /// A chunk of the body.
    Data(Bytes),
    /// The answer is complete.
    End,
    /// The answer broke off.
    Broken(Refusal),
}

/// A complete answer, kept to answer repeats of its idempotency key.
#[derive(Debug, Clone)]
pub struct Answer {
    /// The head.
    pub head: Head,
    /// The body.
    pub body: Bytes,
}

/// A request submitted to the driver loop.
#[derive(Debug)]
pub struct Request {
    /// The request as the core receives it.
    pub arrival: Arrival,
    /// The request for the endpoint.
    pub work: Arc<Work>,
    /// The channel for the parts of the answer.
    pub reply: mpsc::Sender<Reply>,
}

impl Request {
    /// Refuses the request, which no node has admitted.
    fn refuse_as_stopping(self) {
        let refusal = Refusal::for_arrival(Code::Stopping, self.arrival.key.is_some());
        // The caller may have disconnected; otherwise the channel is empty.
        let _ = self.reply.try_send(Reply::Refuse(refusal));
    }
}

type Query = Box<dyn FnOnce(&mut Node, Time) + Send>;

/// An input of the driver loop.
pub enum Input {
    /// A submitted request.
    Request(Box<Request>),
    /// An event for the core.
    Event(Event),
    /// Progress of a call, with the complete answer if it was recorded.
    Call {
        /// The request.
        request: id::Request,
        /// The number of the attempt.
        attempt: u32,
        /// The progress.
        what: Call,
        /// The recorded answer.
        answer: Option<Answer>,
    },
    /// A query of the core.
    Query(Query),
}

/// A handle to the driver loop.
#[derive(Clone)]
pub struct Handle {
    inputs: mpsc::UnboundedSender<Input>,
}

impl Handle {
    /// Sends an input to the loop. It is lost only when the process is ending.
    pub fn send(&self, input: Input) {
        let _ = self.inputs.send(input);
    }

    /// Submits a request. A loop that has ended refuses it.
    pub fn submit(&self, request: Request) {
        let unsent = self.inputs.send(Input::Request(Box::new(request)));
        if let Err(SendError(Input::Request(request))) = unsent {
            request.refuse_as_stopping();
        }
    }

    /// Queries the core and waits for the result; `None` if the process is
    /// ending.
    pub async fn ask<T: Send + 'static>(
        &self,
        query: impl FnOnce(&mut Node, Time) -> T + Send + 'static,
    ) -> Option<T> {
        let (answer, result) = oneshot::channel();
        self.send(Input::Query(Box::new(move |node, now| {
            let _ = answer.send(query(node, now));
        })));
        result.await.ok()
    }
}

/// The input and output state of a request.
struct PendingRequest {
    work: Arc<Work>,
    reply: mpsc::Sender<Reply>,
    arrival: Option<Arrival>,
    /// Whether part of an answer has been sent to the caller.
    started: Arc<AtomicBool>,
    task: Option<AbortHandle>,
}

/// The state of the loop beside the core.
pub struct Driver {
    node: Node,
    clock: Clock,
    inputs: mpsc::UnboundedReceiver<Input>,
    handle: Handle,
    pending: HashMap<id::Request, PendingRequest>,
    answers: HashMap<id::Request, Answer>,
    endpoints: endpoints::Client,
    peers: peers::Peers,
    metrics: Arc<Metrics>,
    answer_limit: usize,
    list: Option<Arc<hosts::List>>,
    bytes_updated_at: Time,
}

/// The components of a driver.
pub struct Parts {
    /// The decision core.
    pub node: Node,
    /// The clock.
    pub clock: Clock,
    /// The connections to other nodes.
    pub peers: peers::Peers,
    /// The metrics.
    pub metrics: Arc<Metrics>,
    /// The maximum number of bytes recorded of one answer.
    pub answer_limit: usize,
}

/// Creates the channel for a loop that does not exist yet.
pub fn channel() -> (Handle, mpsc::UnboundedReceiver<Input>) {
    let (inputs, receiver) = mpsc::unbounded_channel();
    (Handle { inputs }, receiver)
}

impl Driver {
    /// Creates the loop around a core.
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
            pending: HashMap::new(),
            answers: HashMap::new(),
            endpoints: endpoints::Client::new(),
            peers,
            metrics,
            answer_limit,
            list: None,
            bytes_updated_at: Time(0),
        }
    }

    /// Runs until the core has drained after a planned stop, and refuses the requests that are
    /// queued behind its end.
    pub async fn run(mut self) {
        while !self.node.is_drained() {
            let wake = self.clock.to_instant(self.node.next_wake());
            tokio::select! {
                biased;
                input = self.inputs.recv() => match input {
                    Some(input) => self.handle_input(input),
                    None => return,
                },
                () = tokio::time::sleep_until(wake) => self.handle_event(Event::Tick),
            }
        }
        self.inputs.close();
        while let Some(input) = self.inputs.recv().await {
            if let Input::Request(request) = input {
                request.refuse_as_stopping();
            }
        }
    }

    fn handle_input(&mut self, input: Input) {
        match input {
            Input::Request(request) => self.handle_request(*request),
            Input::Event(event) => self.handle_event(event),
            Input::Call {
                request,
                attempt,
                what,
                answer,
            } => {
                // The answer of a call that ended after its request is dropped,
                // because the core would never ask to remove it.
                if let Some(answer) = answer.filter(|_| self.pending.contains_key(&request)) {
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

    fn handle_request(&mut self, request: Request) {
        let Request {
            arrival,
            work,
            reply,
        } = request;
        let pending = PendingRequest {
            work,
            reply,
            arrival: Some(arrival.clone()),
            started: Arc::new(AtomicBool::new(false)),
            task: None,
        };
        self.pending.insert(arrival.request, pending);
        self.handle_event(Event::Arrive(arrival));
    }

    fn handle_event(&mut self, event: Event) {
        let now = self.clock.now();
        let actions = self.node.handle(now, event);
        for action in actions {
            self.execute(action);
        }
        self.metrics.requests.set(self.node.requests() as i64);
        self.dial_new_hosts();
        self.update_peer_bytes(now);
    }

    /// Updates the byte gauges of the connections between nodes, once a second.
    fn update_peer_bytes(&mut self, now: Time) {
        if now.since(self.bytes_updated_at) < BYTES_UPDATE_INTERVAL {
            return;
        }
        self.bytes_updated_at = now;
        let (sent, received) = self.peers.bytes();
        self.metrics.peer_sent.set(sent as i64);
        self.metrics.peer_received.set(received as i64);
    }

    /// Dials the hosts of a new host list.
    fn dial_new_hosts(&mut self) {
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

    fn is_started(pending: &PendingRequest) -> bool {
        pending.started.load(Ordering::Relaxed)
    }
}
