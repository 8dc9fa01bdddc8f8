//! The state that all tasks of a node share. It runs the dispatcher, which does no I/O itself,
//! and delivers its decisions to the tasks that wait for them.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::pin::pin;
use std::rc::Rc;

use tokio::sync::oneshot;
use tokio::sync::watch;
use woadstage_clock::Elapsed;
use woadstage_dispatch::configuration::Limits;
use woadstage_dispatch::dispatcher::Decision;
use woadstage_dispatch::dispatcher::Dispatcher;
use woadstage_dispatch::dispatcher::ForwardEnd;
use woadstage_dispatch::dispatcher::LinkUpdate;
use woadstage_dispatch::dispatcher::Next;
use woadstage_dispatch::dispatcher::StartUpdate;
use woadstage_dispatch::dispatcher::Successor;
use woadstage_dispatch::endpoint::Endpoint;
use woadstage_dispatch::job;
use woadstage_dispatch::job::End;
use woadstage_dispatch::job::Job;
use woadstage_dispatch::link::Change;
use woadstage_dispatch::notice;
use woadstage_dispatch::pause;
use woadstage_dispatch::start;
use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

use crate::active_configuration::ActiveConfiguration;
use crate::clock::Clock;
use crate::connections::Capacity;
use crate::connections::Registry;
use crate::event::Event;
use crate::headers::Headers;
use crate::log::Log;
use crate::metrics::Metrics;
use crate::peers;
use crate::peers::reservations::Reservations;
use crate::peers::transfer;
use crate::serve::body_memory::BodyMemory;
use crate::serve::piece_rate::PieceRate;
use crate::upstream::Target;
use crate::upstream::Upstream;

/// A phase of a graceful shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// The node serves callers.
    Serving,
    /// The platform is told that the node is leaving. Callers are served and asked to connect
    /// elsewhere.
    Leaving,
    /// Connections close after the answer in progress. A new connection gets one answer.
    Closing,
    /// No connections are accepted any more. The node waits for the remaining requests to end.
    Stopped,
    /// The process exits. Requests that still arrive are refused.
    Ended,
}

/// The connections that others opened to this node, by listener.
pub struct Registries {
    /// Those of callers.
    pub callers: Registry,
    /// Those at the readiness address.
    pub ready: Registry,
    /// Those at the metrics address.
    pub metrics: Registry,
    /// Those of other nodes.
    pub nodes: Registry,
}

impl Registries {
    fn new(capacity: Capacity) -> Registries {
        Registries {
            callers: Registry::new(capacity.callers),
            ready: Registry::new(capacity.ready),
            metrics: Registry::new(capacity.metrics),
            nodes: Registry::new(capacity.nodes),
        }
    }

    /// Returns all registries, with their names in logs and metrics.
    pub fn named(&self) -> [(&'static str, &Registry); 4] {
        [
            ("callers", &self.callers),
            ("ready", &self.ready),
            ("metrics", &self.metrics),
            ("nodes", &self.nodes),
        ]
    }
}

/// The state that all tasks share. They run on one thread, so it needs no locks.
pub struct Shell {
    /// The clock.
    pub clock: Clock,
    /// The names of HTTP headers.
    pub headers: Headers,
    /// The event log.
    pub log: Log,
    /// The metrics.
    pub metrics: Metrics,
    /// The connections to endpoints.
    pub upstream: Upstream,
    /// The memory for request bodies.
    pub body_memory: BodyMemory,
    /// The limit on small pieces of request bodies.
    pub piece_rate: Rc<PieceRate>,
    /// The connections that others opened to this node.
    pub registries: Registries,
    /// The number of connections opened before [`Phase::Closing`] on which something has arrived.
    pub connections: Cell<usize>,
    /// The number of connections on which something has arrived first in [`Phase::Closing`] or later.
    pub late_connections: Cell<usize>,
    /// Sends messages to other nodes.
    pub peers: peers::Sender,
    /// The reservation requests to owners of quotas that are not answered yet.
    pub reservations: Reservations,
    /// The numbers of document transfers in progress, from and to other nodes.
    pub transfers: transfer::Counts,
    /// The configuration in force and where it came from.
    pub active_configuration: Cell<Option<ActiveConfiguration>>,
    /// When the platform last answered this node.
    pub platform_answered_at: Cell<Option<Time>>,
    /// The number of requests in progress that other nodes forwarded to this one.
    pub forwarded: Cell<usize>,
    /// Whether messages of other nodes wait to be read.
    pub has_unread_messages: Cell<bool>,
    /// Whether requests are held after a pause.
    is_holding: watch::Sender<bool>,
    /// How long the host had been suspended when the node last observed that it runs.
    suspended_before: Cell<Span>,
    /// The number of changes of links so far.
    link_changes: watch::Sender<u64>,
    /// The total time for which the host was suspended, as detected so far.
    suspended: watch::Sender<Span>,
    phase: watch::Sender<Phase>,
    /// When all answers must have been sent, once the node closes.
    answer_deadline: Cell<Option<Time>>,
    dispatcher: RefCell<Dispatcher>,
    waiters: RefCell<HashMap<job::Id, oneshot::Sender<Decision>>>,
}

/// The shortest suspension that is detected. Shorter ones delay a timer no more than a busy
/// host does.
const MIN_SUSPENSION: Span = Span::from_millis(50);

impl Shell {
    /// Creates the shared state of a node that is [`Phase::Serving`].
    pub fn new(
        dispatcher: Dispatcher,
        headers: Headers,
        clock: Clock,
        capacity: Capacity,
        log: Log,
        metrics: Metrics,
    ) -> Rc<Shell> {
        Rc::new(Shell {
            suspended: watch::Sender::new(clock.suspended()),
            suspended_before: Cell::new(clock.suspended()),
            clock,
            headers,
            log,
            metrics,
            upstream: Upstream::new(capacity.idle_endpoints, capacity.endpoints_buffer),
            body_memory: BodyMemory::new(capacity.body_memory),
            piece_rate: Rc::new(PieceRate::new(capacity.small_pieces_per_s)),
            registries: Registries::new(capacity),
            connections: Cell::new(0),
            late_connections: Cell::new(0),
            peers: peers::Sender::default(),
            reservations: Reservations::default(),
            transfers: transfer::Counts::default(),
            active_configuration: Cell::default(),
            platform_answered_at: Cell::default(),
            forwarded: Cell::new(0),
            has_unread_messages: Cell::new(false),
            is_holding: watch::Sender::new(false),
            link_changes: watch::Sender::new(0),
            phase: watch::Sender::new(Phase::Serving),
            answer_deadline: Cell::new(None),
            dispatcher: RefCell::new(dispatcher),
            waiters: RefCell::default(),
        })
    }

    /// Returns the current time.
    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// Returns the time since this process started.
    pub fn uptime(&self) -> Span {
        self.clock.uptime()
    }

    /// Detects whether the host was suspended. Timers do not advance during a suspension, so every
    /// [`Shell::timeout_at`] then recomputes its remaining time.
    pub fn check_suspension(&self) {
        let suspended = self.clock.suspended();
        self.suspended.send_if_modified(|known| {
            let is_suspension = suspended.0.saturating_sub(known.0) >= MIN_SUSPENSION.0;
            if is_suspension {
                *known = suspended;
            }
            is_suspension
        });
    }

    /// Returns a time, or when all answers must have been sent if that is earlier.
    pub fn limit_to_end(&self, time: Time) -> Time {
        let ends_at = self.answer_deadline.get();
        ends_at.map_or(time, |ends_at| ends_at.min(time))
    }

    /// Whether all answers must have been sent by now, since the node is stopping.
    pub fn must_have_answered(&self) -> bool {
        let ends_at = self.answer_deadline.get();
        ends_at.is_some_and(|ends_at| ends_at <= self.now())
    }

    /// Whether a request may be passed on: a stopping node could still send its answer.
    pub fn may_pass_on(&self) -> bool {
        self.phase() < Phase::Ended && !self.must_have_answered()
    }

    /// Waits for a future until `time`, which may pass during a suspension of the host, or until all
    /// answers must have been sent.
    ///
    /// # Errors
    /// Returns [`Elapsed`] if the future is not ready by then.
    pub async fn timeout_at<F: Future>(&self, time: Time, future: F) -> Result<F::Output, Elapsed> {
        let mut suspended = self.suspended.subscribe();
        let mut phase = self.phase.subscribe();
        let mut future = pin!(future);
        loop {
            let until = self.clock.to_instant(self.limit_to_end(time));
            tokio::select! {
                biased;
                output = future.as_mut() => return Ok(output),
                // Fails only if the sender was dropped, and `self` owns it.
                _ = suspended.changed() => {}
                _ = phase.changed() => {}
                () = tokio::time::sleep_until(until) => return Err(Elapsed),
            }
        }
    }

    /// Waits until a time, or until all answers must have been sent.
    pub async fn sleep_until(&self, time: Time) {
        // A future that is never ready always ends by the time limit.
        let _ = self.timeout_at(time, std::future::pending::<()>()).await;
    }

    /// Returns the phase of the shutdown.
    pub fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Waits until the shutdown has reached `phase` or a later one.
    pub async fn wait_for_phase(&self, phase: Phase) {
        let mut reached = self.phase.subscribe();
        // The guard that this returns locks the phase, so it is dropped at once. Fails only if
        // the sender was dropped, and `self` owns it.
        let _ = reached.wait_for(|now| *now >= phase).await.is_ok();
    }

    /// Sets the phase of the shutdown.
    pub fn set_phase(&self, phase: Phase) {
        self.phase.send_replace(phase);
    }

    /// Starts [`Phase::Closing`], in which all answers have to be sent within this time.
    pub fn start_closing(&self, within: Span) {
        self.answer_deadline.set(Some(self.now() + within));
        self.set_phase(Phase::Closing);
    }

    /// Returns when all answers must have been sent, or `None` if the node is not closing.
    pub fn answer_deadline_opt(&self) -> Option<Time> {
        self.answer_deadline.get()
    }

    /// Reads the dispatcher's state.
    pub fn query<R>(&self, query: impl FnOnce(&Dispatcher, Time) -> R) -> R {
        query(&self.dispatcher.borrow(), self.now())
    }

    /// Observes that the node runs, and detects whether its process stood still.
    pub fn observe(&self) {
        self.dispatcher.borrow_mut().observe(self.now());
        self.deliver_pause_changes();
    }

    /// Waits while requests are held after a pause of the node.
    pub async fn wait_until_current(&self) {
        self.observe();
        let mut is_holding = self.is_holding.subscribe();
        // Fails only if the sender was dropped, and `self` owns it.
        let _ = is_holding.wait_for(|is_holding| !is_holding).await.is_ok();
    }

    /// Waits until no message of another node waits to be read.
    pub async fn wait_until_messages_are_read(&self) {
        while self.has_unread_messages.get() {
            tokio::task::yield_now().await;
        }
    }

    /// Whether a request that was started may still be sent.
    pub fn may_send(&self, id: job::Id) -> bool {
        self.observe();
        self.query(|dispatcher, _| dispatcher.may_send(id))
    }

    /// Takes back a started request of which nothing was sent. Returns a receiver of the next decision
    /// if it is to be sent elsewhere.
    pub fn withdraw(&self, id: job::Id) -> (Next, Option<oneshot::Receiver<Decision>>) {
        let next = self.dispatcher.borrow_mut().withdraw(self.now(), id);
        let decision = (next == Next::Again).then(|| self.register_waiter(id));
        self.deliver();
        (next, decision)
    }

    /// Runs a command on the dispatcher and delivers the decisions that result.
    pub fn command<R>(&self, command: impl FnOnce(&mut Dispatcher, Time) -> R) -> R {
        self.dispatcher.borrow_mut().observe(self.now());
        let answer = command(&mut self.dispatcher.borrow_mut(), self.now());
        self.deliver();
        answer
    }

    /// Whether a caller's new connection is accepted.
    pub fn try_accept_connection(&self) -> bool {
        let is_serving = self.phase() == Phase::Serving;
        !is_serving
            || self
                .dispatcher
                .borrow_mut()
                .try_accept_connection(self.now())
    }

    /// Closes the connections on which the head of a request takes too long, and those on which too many
    /// peers read nothing.
    pub fn close_late_connections(&self) {
        let timeout = self.limits().head_timeout;
        for registry in [&self.registries.callers, &self.registries.nodes] {
            registry.close_late(self.now(), timeout);
        }
    }

    /// Returns the limits of the configuration in force.
    pub fn limits(&self) -> Limits {
        self.query(|dispatcher, _| {
            let configuration = dispatcher.configuration();
            configuration.map_or_else(Limits::default, |active| active.limits.clone())
        })
    }

    /// Queues a request and returns a receiver of its decision.
    pub fn enter(&self, job: Job) -> (job::Id, oneshot::Receiver<Decision>) {
        self.observe();
        let id = self.dispatcher.borrow_mut().enter(self.now(), job);
        let decision = self.register_waiter(id);
        self.deliver();
        (id, decision)
    }

    /// Reports how an attempt ended. Returns a receiver of the next decision if the request is
    /// to be tried again.
    pub fn end(&self, id: job::Id, end: End) -> (Next, Option<oneshot::Receiver<Decision>>) {
        self.observe();
        let next = self.dispatcher.borrow_mut().end(self.now(), id, end);
        let decision = (next == Next::Again).then(|| self.register_waiter(id));
        self.deliver();
        (next, decision)
    }

    /// Reports how a forwarded request ended. Returns a receiver of the next decision if the
    /// request is to be tried again.
    pub fn end_forward(
        &self,
        id: job::Id,
        end: ForwardEnd,
    ) -> (Next, Option<oneshot::Receiver<Decision>>) {
        self.observe();
        let now = self.now();
        let next = self.dispatcher.borrow_mut().end_forward(now, id, end);
        let decision = (next == Next::Again).then(|| self.register_waiter(id));
        self.deliver();
        (next, decision)
    }

    /// Submits a further attempt for a request in progress, if it can be sent again now. Returns it
    /// with a receiver of its decision.
    pub fn submit_successor(
        &self,
        id: job::Id,
    ) -> Option<(Successor, oneshot::Receiver<Decision>)> {
        self.observe();
        let now = self.now();
        let successor = self.dispatcher.borrow_mut().submit_successor(now, id)?;
        let decision = self.register_waiter(successor.job);
        self.deliver();
        Some((successor, decision))
    }

    /// Takes back a further attempt of which nothing was sent.
    pub fn cancel_successor(&self, successor: &Successor) {
        self.waiters.borrow_mut().remove(&successor.job);
        self.command(|dispatcher, now| dispatcher.cancel_successor(now, successor));
    }

    /// Waits until this node's link to an endpoint is lost, or until it isn't.
    pub async fn wait_for_link(&self, endpoint: &Endpoint, is_lost: bool) {
        let mut changes = self.link_changes.subscribe();
        while self.query(|dispatcher, _| dispatcher.is_link_lost(endpoint)) != is_lost {
            // Fails only if the sender was dropped, and `self` owns it.
            if changes.changed().await.is_err() {
                return;
            }
        }
    }

    fn register_waiter(&self, id: job::Id) -> oneshot::Receiver<Decision> {
        let (sender, receiver) = oneshot::channel();
        self.waiters.borrow_mut().insert(id, sender);
        receiver
    }

    /// Delivers everything that the dispatcher has produced: decisions, changes to log and
    /// messages to other nodes.
    fn deliver(&self) {
        self.deliver_pause_changes();
        loop {
            let decisions = self.dispatcher.borrow_mut().take_decisions();
            if decisions.is_empty() {
                break;
            }
            for decision in decisions {
                self.deliver_decision(decision);
            }
        }
        let changes = self.dispatcher.borrow_mut().take_changes();
        for change in changes {
            self.metrics.record_suspect_change(change.what);
            self.log(&Event::Suspect {
                feature: &change.feature.to_string(),
                kind: match change.feature.is_part() {
                    true => "part",
                    false => "request",
                },
                what: change.what.as_str(),
                ends: change.ends,
                barred: change.barred,
            });
        }
        let updates = self.dispatcher.borrow_mut().take_updates();
        for update in updates {
            self.record_endpoint_change("", update.endpoint.as_str(), update.change);
        }
        let updates = self.dispatcher.borrow_mut().take_link_updates();
        for update in updates {
            self.record_link_update(&update);
        }
        let updates = self.dispatcher.borrow_mut().take_start_updates();
        for update in updates {
            self.record_start_update(&update);
        }
        let starts = self.dispatcher.borrow_mut().take_booking_starts();
        for start in starts {
            self.metrics.record_booked_start(start);
        }
        let messages = self.dispatcher.borrow_mut().take_messages();
        for (to, message) in messages {
            self.metrics.record_lease_message(&message);
            self.peers.send(to, &message);
        }
    }

    /// Logs pauses and what followed, and tells the tasks that wait for it whether requests are held.
    fn deliver_pause_changes(&self) {
        let changes = self.dispatcher.borrow_mut().take_pause_changes();
        let suspended = self.clock.suspended();
        let suspended_before = self.suspended_before.replace(suspended);
        for change in changes {
            match change {
                pause::Change::Closed(paused) => {
                    self.metrics.record_state_change("paused");
                    self.log(&Event::Woke {
                        after_ms: paused.0 / 1_000,
                        suspended_ms: suspended.0.saturating_sub(suspended_before.0) / 1_000,
                    });
                }
                pause::Change::Opened(opened, held_for) => {
                    self.metrics.record_state_change(opened.as_str());
                    let list = self.query(|dispatcher, _| dispatcher.edition());
                    self.log(&Event::Current {
                        how: opened.as_str(),
                        held_ms: held_for.0 / 1_000,
                        list: list.revision,
                        settled: list.settled,
                    });
                }
            }
        }
        let is_holding = self.query(|dispatcher, _| dispatcher.is_holding());
        self.is_holding
            .send_if_modified(|known| std::mem::replace(known, is_holding) != is_holding);
    }

    /// Sends a decision to the task that waits for it, or abandons the request if that task is
    /// gone.
    fn deliver_decision(&self, decision: Decision) {
        let id = match &decision {
            Decision::Start { job, .. }
            | Decision::Forward { job, .. }
            | Decision::Refuse { job, .. } => *job,
        };
        let waiter = self.waiters.borrow_mut().remove(&id);
        let is_delivered = waiter.is_some_and(|waiter| waiter.send(decision).is_ok());
        if !is_delivered {
            self.dispatcher.borrow_mut().abandon(self.now(), id);
        }
    }

    /// Logs and counts a change in what is assumed of an endpoint. `request` is empty unless the
    /// change came with the answer to a request.
    pub fn record_endpoint_change(&self, request: &str, endpoint: &str, change: notice::Change) {
        self.metrics.record_state_change(change.as_str());
        self.log(&Event::Notice {
            request,
            endpoint,
            what: change.as_str(),
            now: &change.describe_after(),
            before: &change.describe_before(),
        });
    }

    /// Logs and counts a change of this node's link to an endpoint.
    fn record_link_update(&self, update: &LinkUpdate) {
        let (state, counted_as, evidence, after) = match update.change {
            Change::Lost(evidence) => ("lost", "link-lost", evidence.as_str(), Span::ZERO),
            Change::Regained(after) => ("regained", "link-regained", "", after),
        };
        self.metrics.record_state_change(counted_as);
        self.log(&Event::Link {
            endpoint: update.endpoint.name.as_str(),
            service: update.endpoint.service.as_str(),
            state,
            evidence,
            after_ms: after.0 / 1_000,
            lost: update.lost,
            open: update.open,
        });
        if matches!(update.change, Change::Lost(_)) {
            let target = Target::Endpoint(update.endpoint.to_instance());
            self.upstream.close_idle_to(&target);
        }
        self.link_changes.send_modify(|changes| *changes += 1);
    }

    /// Logs and counts a change of what is known of an endpoint's start.
    fn record_start_update(&self, update: &StartUpdate) {
        let (state, counted_as, cause, after) = match update.change {
            start::Change::Doubted(cause) => {
                ("doubted", "start-doubted", cause.as_str(), Span::ZERO)
            }
            start::Change::Confirmed(after) => ("confirmed", "start-confirmed", "", after),
        };
        self.metrics.record_state_change(counted_as);
        self.log(&Event::EndpointStart {
            endpoint: update.endpoint.name.as_str(),
            service: update.endpoint.service.as_str(),
            state,
            cause,
            after_ms: after.0 / 1_000,
        });
    }

    /// Writes an event to the log.
    pub fn log(&self, event: &Event<'_>) {
        self.log.write(event);
    }
}
